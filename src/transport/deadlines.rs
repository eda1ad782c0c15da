//! Deadlines and pauses of all tasks behind one timer of the reactor.
//!
//! Most deadlines never pass: an answer comes first. Setting a timer wakes the reactor, which
//! costs half a dozen system calls, so all deadlines share one timer. It is set anew only for a
//! deadline that is earlier than the one it is set to.
//!
//! Invariant: while the table holds a deadline, the timer is set to the earliest or an earlier one.

use async_io::Timer;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

/// Identifies a waiting deadline; ordered by the time at which it is due.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct DeadlineKey {
    due_ms: u64,
    number: u64,
}

/// Who waits until when. Pure: times come from the caller, in ms since the process started.
#[derive(Default)]
pub struct DeadlineTable {
    waiting: BTreeMap<DeadlineKey, Waker>,
    last_number: u64,
    armed_for_ms: Option<u64>,
}

impl DeadlineTable {
    /// When a deadline in `ms` from now is due: at most an eighth later, so that what is due at
    /// about the same time is due together.
    pub fn due_at(now_ms: u64, delay_ms: u64) -> u64 {
        let step = 1u64 << (delay_ms / 8).max(1).ilog2();
        (now_ms + delay_ms).div_ceil(step) * step
    }
    /// The next tick of `ms`: background tasks of the same interval run in one round.
    pub fn next_tick(now_ms: u64, interval_ms: u64) -> u64 {
        (now_ms / interval_ms.max(1) + 1) * interval_ms.max(1)
    }
    /// Adds a waiting task.
    pub fn add(&mut self, due_ms: u64, waker: Waker) -> DeadlineKey {
        self.last_number += 1;
        let key = DeadlineKey {
            due_ms,
            number: self.last_number,
        };
        self.waiting.insert(key, waker);
        key
    }
    /// True if the deadline has not passed; `waker` replaces the one to be woken.
    pub fn is_waiting(&mut self, key: DeadlineKey, waker: &Waker) -> bool {
        match self.waiting.get_mut(&key) {
            Some(registered) => {
                registered.clone_from(waker);
                true
            }
            None => false,
        }
    }
    /// Removes a deadline that nobody waits for any more.
    pub fn remove(&mut self, key: DeadlineKey) {
        self.waiting.remove(&key);
    }
    /// The time that the timer has to be set to, if it is not set early enough already.
    pub fn arm_earliest(&mut self) -> Option<u64> {
        let earliest = self.waiting.keys().next()?.due_ms;
        if self.armed_for_ms.is_some_and(|armed| armed <= earliest) {
            return None;
        }
        self.armed_for_ms = Some(earliest);
        Some(earliest)
    }
    /// Removes the deadlines that are due; the timer is no longer set.
    pub fn take_due(&mut self, now_ms: u64) -> Vec<Waker> {
        self.armed_for_ms = None;
        let first_later = DeadlineKey {
            due_ms: now_ms + 1,
            number: 0,
        };
        let later = self.waiting.split_off(&first_later);
        std::mem::replace(&mut self.waiting, later)
            .into_values()
            .collect()
    }
}

/// The table of this process and the timer that serves it.
#[derive(Default)]
struct ArmedTable {
    table: DeadlineTable,
    /// Kept so that it runs; a new one replaces it.
    timer: Option<Timer>,
}

/// The deadlines of this process.
struct ProcessDeadlines {
    started: Instant,
    armed: Mutex<ArmedTable>,
}

fn process_deadlines() -> &'static ProcessDeadlines {
    static DEADLINES: OnceLock<ProcessDeadlines> = OnceLock::new();
    DEADLINES.get_or_init(|| ProcessDeadlines {
        started: Instant::now(),
        armed: Mutex::default(),
    })
}

impl ProcessDeadlines {
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
    fn lock(&self) -> MutexGuard<'_, ArmedTable> {
        self.armed.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// Sets the timer if something is due earlier than it is set to.
    fn arm(&self) {
        loop {
            let mut armed = self.lock();
            let Some(due_ms) = armed.table.arm_earliest() else {
                return;
            };
            let mut timer = Timer::at(self.started + Duration::from_millis(due_ms));
            let waker = Waker::from(Arc::new(TimerFired));
            let fired = Pin::new(&mut timer).poll(&mut Context::from_waker(&waker));
            if fired.is_pending() {
                armed.timer = Some(timer);
                return;
            }
            // It is due by now: wake those who wait and arm for the next.
            let due = armed.table.take_due(self.now_ms());
            // A woken task may set a deadline of its own.
            drop(armed);
            due.into_iter().for_each(Waker::wake);
        }
    }
}

/// Wakes what is due when the timer has run out, in whichever thread the reactor runs.
struct TimerFired;

impl Wake for TimerFired {
    fn wake(self: Arc<Self>) {
        let deadlines = process_deadlines();
        let due = deadlines.lock().table.take_due(deadlines.now_ms());
        due.into_iter().for_each(Waker::wake);
        deadlines.arm();
    }
}

/// When a [`Deadline`] passes.
#[derive(Clone, Copy)]
enum Due {
    /// So many ms after it is first polled; see [`DeadlineTable::due_at`] for how exactly.
    After(u64),
    /// At the next multiple of so many ms since the process started.
    NextTick(u64),
}

/// A future that completes after some time.
pub struct Deadline {
    due: Due,
    key: Option<DeadlineKey>,
}

impl Deadline {
    /// A deadline in `ms` from the moment it is first waited for.
    pub fn after(ms: u64) -> Deadline {
        Deadline {
            due: Due::After(ms),
            key: None,
        }
    }
    /// A deadline at the next multiple of `ms`, counted from the start of the process.
    pub fn next_tick(ms: u64) -> Deadline {
        Deadline {
            due: Due::NextTick(ms),
            key: None,
        }
    }
}

impl Future for Deadline {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let deadlines = process_deadlines();
        if let Some(key) = self.key {
            if deadlines.lock().table.is_waiting(key, cx.waker()) {
                return Poll::Pending;
            }
            self.key = None;
            return Poll::Ready(());
        }
        let due_ms = match self.due {
            Due::After(ms) => DeadlineTable::due_at(deadlines.now_ms(), ms),
            Due::NextTick(ms) => DeadlineTable::next_tick(deadlines.now_ms(), ms),
        };
        self.key = Some(deadlines.lock().table.add(due_ms, cx.waker().clone()));
        deadlines.arm();
        Poll::Pending
    }
}

impl Drop for Deadline {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            process_deadlines().lock().table.remove(key);
        }
    }
}
