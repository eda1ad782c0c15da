//! Counts of the decisions that let a task start, stop or that end a matter for a caller, and of
//! the requests that did not arrive as a whole.
//!
//! The controller owns one [`EventCounts`]; handlers and background tasks count into it, and
//! `peer_messages` logs it once a minute. Each event is logged by itself at level debug.

use std::cell::Cell;

/// A kind of event that is counted.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CountedEvent {
    /// A permit to decide for a shard was issued.
    PermitIssued,
    /// A start command was sent in the response to a heartbeat.
    StartInResponse,
    /// A start command was sent directly.
    StartDirect,
    /// A stop command was sent, in the response to a heartbeat or directly.
    Stop,
    /// A job was reported to a user as done or cancelled.
    FinalState,
    /// A user's request was refused for good: malformed, impossible or about an unknown job.
    FinalRefusal,
    /// An attempt that was not done ended, as the worker showed its exit.
    EndedByExit,
    /// An attempt that was not done ended, as a heartbeat proved it absent.
    EndedByAbsence,
    /// An attempt that was not done ended with its worker's lease.
    EndedByLeaseExpiry,
    /// An attempt that was not done ended with its machine's deletion.
    EndedByDeletion,
    /// The line on an attempt's end was logged at level debug, as there were too many.
    EndLineLimited,
    /// A request was ended because its body did not arrive in time.
    BodyTimedOut,
    /// A request was ended because its connection ended before its body.
    BodyCutOff,
    /// A request was ended because its body was too large.
    BodyTooLarge,
    /// A request was ended because the transfer encoding of its body was malformed.
    BodyMalformed,
}

/// All kinds, each at the position of its counter, with its name in the log line.
const NAMES: [(CountedEvent, &str); 15] = [
    (CountedEvent::PermitIssued, "permits_issued"),
    (CountedEvent::StartInResponse, "starts_in_responses"),
    (CountedEvent::StartDirect, "starts_direct"),
    (CountedEvent::Stop, "stops"),
    (CountedEvent::FinalState, "final_states"),
    (CountedEvent::FinalRefusal, "final_refusals"),
    (CountedEvent::EndedByExit, "ended_by_exit"),
    (CountedEvent::EndedByAbsence, "ended_by_absence"),
    (CountedEvent::EndedByLeaseExpiry, "ended_by_lease_expiry"),
    (CountedEvent::EndedByDeletion, "ended_by_deletion"),
    (CountedEvent::EndLineLimited, "end_lines_limited"),
    (CountedEvent::BodyTimedOut, "bodies_timed_out"),
    (CountedEvent::BodyCutOff, "bodies_cut_off"),
    (CountedEvent::BodyTooLarge, "bodies_too_large"),
    (CountedEvent::BodyMalformed, "bodies_malformed"),
];

/// Number of events of each kind since they were last logged.
#[derive(Default)]
pub struct EventCounts {
    counts: [Cell<u64>; NAMES.len()],
}

impl EventCounts {
    /// Counts `times` events of a kind.
    pub fn add(&self, event: CountedEvent, times: usize) {
        let count = &self.counts[event as usize];
        count.set(count.get().saturating_add(times as u64));
    }

    /// Fields of a log line with all counts that are not zero; `None` if all are. Resets them.
    pub fn take_summary(&self) -> Option<String> {
        let fields: Vec<String> = NAMES
            .iter()
            .map(|(event, name)| (name, self.counts[*event as usize].take()))
            .filter(|(_, count)| *count > 0)
            .map(|(name, count)| format!("{name}={count}"))
            .collect();
        (!fields.is_empty()).then(|| fields.join(" "))
    }
}
