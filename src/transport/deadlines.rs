//! Deadlines and pauses of all routines behind one timer of the reactor.
//!
//! Most deadlines never pass: an answer comes first. Each timer of its own wakes the reactor
//! when it is set, which costs half a dozen system calls, so they share one that is set only
//! when an earlier one comes.

use async_io::Timer;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

/// When something is due, ms, and its number.
pub type Key = (u64, u64);

/// What waits until when. Pure: times come from the caller.
#[derive(Default)]
pub struct Table {
    due: BTreeMap<Key, Waker>,
    next: u64,
    armed: Option<u64>,
}

impl Table {
    /// When something asked for `ms` from now is due: at most an eighth later, so that what
    /// is due at about the same time is due together.
    pub fn due_at(now: u64, ms: u64) -> u64 {
        let step = 1u64 << (ms / 8).max(1).ilog2();
        (now + ms).div_ceil(step) * step
    }
    /// The next beat of `ms`: duties that tick at the same rate tick in one turn.
    pub fn next_beat(now: u64, ms: u64) -> u64 {
        (now / ms.max(1) + 1) * ms.max(1)
    }
    /// Adds a waiting routine.
    pub fn add(&mut self, at: u64, waker: Waker) -> Key {
        self.next += 1;
        let key = (at, self.next);
        self.due.insert(key, waker);
        key
    }
    /// True if it still waits; notes whom to wake.
    pub fn waits(&mut self, key: Key, waker: &Waker) -> bool {
        match self.due.get_mut(&key) {
            Some(w) => {
                w.clone_from(waker);
                true
            }
            None => false,
        }
    }
    /// Takes one out that is not waited for any more.
    pub fn remove(&mut self, key: Key) {
        self.due.remove(&key);
    }
    /// When the timer has to be set to, if it is not set early enough already.
    pub fn to_arm(&mut self) -> Option<u64> {
        let (first, _) = *self.due.keys().next()?;
        if self.armed.is_some_and(|a| a <= first) {
            return None;
        }
        self.armed = Some(first);
        Some(first)
    }
    /// Takes out what is due; the timer is no longer set.
    pub fn take_due(&mut self, now: u64) -> Vec<Waker> {
        self.armed = None;
        let later = self.due.split_off(&(now + 1, 0));
        std::mem::replace(&mut self.due, later)
            .into_values()
            .collect()
    }
}

/// The process' table and the one timer that serves it.
struct Shared {
    began: Instant,
    table: Mutex<(Table, Option<Timer>)>,
}

fn shared() -> &'static Shared {
    static SHARED: OnceLock<Shared> = OnceLock::new();
    SHARED.get_or_init(|| Shared {
        began: Instant::now(),
        table: Mutex::default(),
    })
}

impl Shared {
    fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
    fn lock(&self) -> MutexGuard<'_, (Table, Option<Timer>)> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// Sets the timer if something is due earlier than it is set to.
    fn arm(&self) {
        loop {
            let mut held = self.lock();
            let Some(at) = held.0.to_arm() else { return };
            let mut timer = Timer::at(self.began + Duration::from_millis(at));
            let bell = Waker::from(Arc::new(Bell));
            let set = Pin::new(&mut timer).poll(&mut Context::from_waker(&bell));
            if set.is_pending() {
                held.1 = Some(timer);
                return;
            }
            // It is due by now.
            let woken = held.0.take_due(self.now());
            drop(held);
            woken.into_iter().for_each(Waker::wake);
        }
    }
}

/// Rings when the timer has run out, in whichever thread the reactor runs.
struct Bell;

impl Wake for Bell {
    fn wake(self: Arc<Self>) {
        let s = shared();
        let woken = s.lock().0.take_due(s.now());
        woken.into_iter().for_each(Waker::wake);
        s.arm();
    }
}

/// Ends after some time; see [`Table::due_at`] for how exactly.
pub struct Deadline {
    ms: u64,
    beat: bool,
    key: Option<Key>,
}

impl Deadline {
    /// A deadline in `ms` from the moment it is first waited for.
    pub fn after(ms: u64) -> Deadline {
        Deadline {
            ms,
            beat: false,
            key: None,
        }
    }
    /// A deadline at the next multiple of `ms`, counted from the start of the process.
    pub fn beat(ms: u64) -> Deadline {
        Deadline {
            ms,
            beat: true,
            key: None,
        }
    }
}

impl Future for Deadline {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let s = shared();
        if let Some(key) = self.key {
            if s.lock().0.waits(key, cx.waker()) {
                return Poll::Pending;
            }
            self.key = None;
            return Poll::Ready(());
        }
        let at = if self.beat {
            Table::next_beat(s.now(), self.ms)
        } else {
            Table::due_at(s.now(), self.ms)
        };
        self.key = Some(s.lock().0.add(at, cx.waker().clone()));
        s.arm();
        Poll::Pending
    }
}

impl Drop for Deadline {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            shared().lock().0.remove(key);
        }
    }
}
