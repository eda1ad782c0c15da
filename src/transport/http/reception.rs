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
    limit: usize,
    last_number: Cell<u64>,
    /// By the order in which they began; dropping the sender ends the reception.
    receiving: RefCell<BTreeMap<u64, Sender<()>>>,
}

impl Receptions {
    /// At most `limit` receptions at a time.
    pub(super) fn new(limit: usize) -> Rc<Receptions> {
        Rc::new(Receptions {
            limit: limit.max(1),
            last_number: Cell::new(0),
            receiving: RefCell::default(),
        })
    }

    /// Begins the reception of a request, and ends the oldest one if there are too many.
    pub(super) fn begin(self: &Rc<Receptions>) -> Reception {
        let mut receiving = self.receiving.borrow_mut();
        if receiving.len() >= self.limit {
            receiving.pop_first();
        }
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let (sender, displaced) = async_channel::bounded(1);
        receiving.insert(number, sender);
        Reception {
            receptions: self.clone(),
            number,
            displaced,
        }
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
    }
}
