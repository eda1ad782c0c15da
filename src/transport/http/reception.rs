//! Limit on the number of requests that are being received at a time.
//!
//! A request that is being received holds buffers for as long as its sender takes. Invariant: the
//! number of these requests, and so their memory, has a bound. A request beyond it ends the one that
//! has been received for the longest time, so that slow senders do not keep others out.

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;

/// The requests that a listener is receiving.
pub(super) struct Receptions {
    /// One message for each further reception that may begin.
    places: (Sender<()>, Receiver<()>),
    /// Number of receptions that wait for a place.
    waiting: Cell<usize>,
    last_number: Cell<u64>,
    /// By the order in which they began; dropping the sender ends the reception.
    receiving: RefCell<BTreeMap<u64, Sender<()>>>,
}

impl Receptions {
    /// At most `limit` receptions at a time.
    pub(super) fn new(limit: usize) -> Rc<Receptions> {
        let places = async_channel::bounded(limit.max(1));
        while places.0.try_send(()).is_ok() {}
        Rc::new(Receptions {
            places,
            waiting: Cell::new(0),
            last_number: Cell::new(0),
            receiving: RefCell::default(),
        })
    }

    /// Begins the reception of a request. If there are too many, it ends the oldest one and waits
    /// until that has freed its memory.
    pub(super) async fn begin(self: &Rc<Receptions>) -> Reception {
        if self.places.1.try_recv().is_err() {
            self.receiving.borrow_mut().pop_first();
            let waiting = Waiting::begin(&self.waiting);
            // The channel is never closed: `self` holds both ends.
            let _ = self.places.1.recv().await;
            drop(waiting);
        }
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let (sender, displaced) = async_channel::bounded(1);
        // With others waiting, a request has its place only for as long as it need not wait itself:
        // dropping the sender displaces it once it does.
        if self.waiting.get() == 0 {
            self.receiving.borrow_mut().insert(number, sender);
        }
        Reception {
            receptions: self.clone(),
            number,
            displaced,
        }
    }
}

/// Counts a reception that waits for a place, until dropped.
struct Waiting<'a>(&'a Cell<usize>);

impl Waiting<'_> {
    fn begin(count: &Cell<usize>) -> Waiting<'_> {
        count.set(count.get() + 1);
        Waiting(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The reception of one request, which ends when this is dropped.
pub(super) struct Reception {
    receptions: Rc<Receptions>,
    number: u64,
    displaced: Receiver<()>,
}

impl Reception {
    /// Runs `work` until it completes; `None` if a newer reception has displaced this one first.
    pub(super) async fn run<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        async { Some(work.await) }
            .or(async {
                // The channel carries nothing: it is closed when the reception is displaced.
                let _ = self.displaced.recv().await;
                None
            })
            .await
    }
}

impl Drop for Reception {
    fn drop(&mut self) {
        self.receptions.receiving.borrow_mut().remove(&self.number);
        // There is space: each place is returned once.
        let _ = self.receptions.places.0.try_send(());
    }
}
