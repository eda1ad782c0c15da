//! Deadlines and sleeps of all tasks, multiplexed on a single reactor timer.
//!
//! Most deadlines are dropped before they pass, because the awaited response arrives first. Setting
//! a reactor timer wakes the reactor, which costs about six system calls, so all deadlines of the
//! process share one timer. It is set again only when a deadline earlier than its current setting
//! is added.
//!
//! Invariant: while the table holds a deadline, the timer is set to fire no later than the earliest
//! one.

use async_io::Timer;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

/// Key of a pending deadline in a [`DeadlineTable`], ordered by due time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct DeadlineKey {
    due_ms: u64,
    number: u64,
}

/// Pending deadlines and the wakers of the tasks that wait for them.
///
/// The table reads no clock and sets no timer: the caller passes all times, in ms since the process
/// started.
#[derive(Default)]
pub struct DeadlineTable {
    waiting: BTreeMap<DeadlineKey, Waker>,
    last_number: u64,
    armed_for_ms: Option<u64>,
}

impl DeadlineTable {
    /// Due time of a deadline `delay_ms` after `now_ms`, rounded up by at most an eighth of the delay
    /// so that deadlines close to each other share one timer setting.
    pub fn due_at(now_ms: u64, delay_ms: u64) -> u64 {
        let step = 1u64 << (delay_ms / 8).max(1).ilog2();
        (now_ms + delay_ms).div_ceil(step) * step
    }
    /// The next multiple of `interval_ms` after `now_ms`. Background tasks with the same interval wake
    /// at the same time.
    pub fn next_tick(now_ms: u64, interval_ms: u64) -> u64 {
        (now_ms / interval_ms.max(1) + 1) * interval_ms.max(1)
    }
    /// Adds a deadline whose task is woken through `waker`.
    pub fn add(&mut self, due_ms: u64, waker: Waker) -> DeadlineKey {
        self.last_number += 1;
        let key = DeadlineKey {
            due_ms,
            number: self.last_number,
        };
        self.waiting.insert(key, waker);
        key
    }
    /// True if the deadline is still pending; in that case `waker` replaces its registered waker.
    pub fn is_waiting(&mut self, key: DeadlineKey, waker: &Waker) -> bool {
        match self.waiting.get_mut(&key) {
            Some(registered) => {
                registered.clone_from(waker);
                true
            }
            None => false,
        }
    }
    /// Removes a deadline that no task waits for any longer.
    pub fn remove(&mut self, key: DeadlineKey) {
        self.waiting.remove(&key);
    }
    /// Returns the time to which the caller has to set the timer, and records it as set; `None` if
    /// there is no deadline or the timer is already set early enough.
    pub fn arm_earliest(&mut self) -> Option<u64> {
        let earliest = self.waiting.keys().next()?.due_ms;
        if self.armed_for_ms.is_some_and(|armed| armed <= earliest) {
            return None;
        }
        self.armed_for_ms = Some(earliest);
        Some(earliest)
    }
    /// Removes the deadlines that are due and returns their wakers. Marks the timer as not set.
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

/// The deadline table of this process with its timer.
#[derive(Default)]
struct ArmedTable {
    table: DeadlineTable,
    /// The timer that is currently set. Dropping a timer cancels it.
    timer: Option<Timer>,
}

/// The deadline table of this process and the process start, from which its times count.
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
    /// Sets the timer to the earliest deadline if that is earlier than its current setting.
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
            // The earliest deadline has already passed: wake its tasks, then arm for the next one.
            let due = armed.table.take_due(self.now_ms());
            // Unlock before waking: a woken task may add a deadline.
            drop(armed);
            due.into_iter().for_each(Waker::wake);
        }
    }
}

/// Wakes the tasks whose deadlines are due when the timer fires, on the reactor's current thread.
struct TimerFired;

impl Wake for TimerFired {
    fn wake(self: Arc<Self>) {
        let deadlines = process_deadlines();
        let due = deadlines.lock().table.take_due(deadlines.now_ms());
        due.into_iter().for_each(Waker::wake);
        deadlines.arm();
    }
}

/// Rule for the due time of a [`Deadline`].
#[derive(Clone, Copy)]
enum Due {
    /// This many ms after the first poll, rounded as in [`DeadlineTable::due_at`].
    After(u64),
    /// The next multiple of this many ms since the process started.
    NextTick(u64),
}

/// A future that completes when its deadline passes.
pub struct Deadline {
    due: Due,
    key: Option<DeadlineKey>,
}

impl Deadline {
    /// A deadline `ms` milliseconds after it is first polled.
    pub fn after(ms: u64) -> Deadline {
        Deadline {
            due: Due::After(ms),
            key: None,
        }
    }
    /// A deadline at the next multiple of `ms` milliseconds since the process started.
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
