//! Wakes a background task early, and lets others wait for the task's next round.

use crate::transport::{within, within_tick};
use async_channel::{Receiver, Sender};
use std::cell::RefCell;

/// Notifies one background task. Notifications that come while it works are merged into one.
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
    /// Wakes the task.
    pub fn notify(&self) {
        // Full: the task is about to wake up anyway.
        let _ = self.sender.try_send(());
    }

    /// Waits for a notification, for `ms` at most.
    pub async fn notified(&self, ms: u64) {
        let _ = within(ms, self.receiver.recv()).await;
    }

    /// Waits for a notification, until the next tick of `ms` at most.
    pub async fn notified_by_tick(&self, ms: u64) {
        let _ = within_tick(ms, self.receiver.recv()).await;
    }

    /// Wakes the task and waits for the result of a round that began afterwards; `None` after `ms`.
    pub async fn request_round(&self, ms: u64) -> Option<bool> {
        let (sender, receiver) = async_channel::bounded(1);
        self.waiters.borrow_mut().push(sender);
        self.notify();
        within(ms, receiver.recv()).await?.ok()
    }

    /// Those who wait for a round, taken at its start and sent its result at its end.
    pub fn take_waiters(&self) -> Vec<Sender<bool>> {
        std::mem::take(&mut self.waiters.borrow_mut())
    }
}
