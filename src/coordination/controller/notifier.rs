//! Wakes up a background task before its next tick, and lets callers wait for the task's next
//! round.

use crate::transport::{within, within_tick};
use async_channel::{Receiver, Sender};
use std::cell::RefCell;

/// Notifies one background task. Notifications that arrive while it works are merged into one.
pub struct Notifier {
    sender: Sender<()>,
    receiver: Receiver<()>,
    waiters: RefCell<Vec<Sender<bool>>>,
}

impl Default for Notifier {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Notifier {
            sender,
            receiver,
            waiters: RefCell::new(Vec::new()),
        }
    }
}

impl Notifier {
    /// Wakes up the task, at once or after its current round.
    pub fn notify(&self) {
        // If the channel is full, the task is about to wake up anyway.
        let _ = self.sender.try_send(());
    }

    /// Waits for a notification, for at most `ms` milliseconds.
    pub async fn notified(&self, ms: u64) {
        let _ = within(ms, self.receiver.recv()).await;
    }

    /// Waits for a notification, at most until the next multiple of `ms` milliseconds.
    pub async fn notified_by_tick(&self, ms: u64) {
        let _ = within_tick(ms, self.receiver.recv()).await;
    }

    /// Wakes up the task and waits for the result of a round that starts after this call; `None` if
    /// there is none within `ms` milliseconds.
    pub async fn request_round(&self, ms: u64) -> Option<bool> {
        let (sender, receiver) = async_channel::bounded(1);
        self.waiters.borrow_mut().push(sender);
        self.notify();
        within(ms, receiver.recv()).await?.ok()
    }

    /// Removes and returns the waiting callers of [`Notifier::request_round`]. The task calls this
    /// at the start of a round, and sends them the result at the end.
    pub fn take_waiters(&self) -> Vec<Sender<bool>> {
        std::mem::take(&mut self.waiters.borrow_mut())
    }
}
