//! Seeded faults of the network and of machines: messages that are held up, lost or delivered
//! twice, and machines that freeze or restart.

use std::cell::{Cell, RefCell};
use std::ops::RangeInclusive;

/// Delay of a message that is held up for seconds, ms.
const SHORT_DELAY_MS: RangeInclusive<u64> = 2_000..=16_000;
/// Delay of a message that is held up for longer, ms.
const LONG_DELAY_MS: RangeInclusive<u64> = 30_000..=90_000;
/// Share of the messages held up that are held up for longer.
const LONG_DELAY_SHARE: f64 = 0.2;
/// Time for which a machine freezes, ms: less than the lease of its worker.
const FREEZE_MS: RangeInclusive<u64> = 1_000..=8_000;

/// Time for which a machine reaches no controller, ms: mostly longer than the lease of its worker.
const MUTE_MS: RangeInclusive<u64> = 6_000..=25_000;
/// Time from the beginning of a mute spell to a restart within it, ms.
const RESTART_WHILE_MUTE_MS: RangeInclusive<u64> = 0..=6_000;
/// Share of the mute spells with a restart.
const RESTART_WHILE_MUTE_SHARE: f64 = 0.75;
/// Time for which a restarting machine is down, ms.
const RESTART_MS: RangeInclusive<u64> = 0..=3_000;

/// Probability of each fault: per message, or per heartbeat for those of machines.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultRates {
    /// A direct command is not answered and carried out late.
    pub late_command: f64,
    /// A direct command is carried out once more, late.
    pub duplicated_command: f64,
    /// A copy of a heartbeat arrives at some controller, late.
    pub duplicated_heartbeat: f64,
    /// The response to a heartbeat is lost.
    pub lost_response: f64,
    /// A machine freezes for seconds within its lease.
    pub frozen_machine: f64,
    /// A machine restarts under its name without its tasks.
    pub restarted_machine: f64,
    /// A machine reaches no controller for seconds, while direct commands reach it.
    pub muted_machine: f64,
    /// A transaction is not answered and carried out late.
    pub late_transaction: f64,
    /// A transaction is carried out and its answer lost.
    pub lost_commit_response: f64,
    /// A rental or deletion of machines is not answered and carried out late.
    pub late_cloud_request: f64,
}

impl FaultRates {
    /// Rates at which each kind of fault occurs several times a minute among ten machines.
    pub fn frequent() -> FaultRates {
        FaultRates {
            late_command: 0.08,
            duplicated_command: 0.2,
            duplicated_heartbeat: 0.15,
            lost_response: 0.1,
            frozen_machine: 0.03,
            restarted_machine: 0.03,
            muted_machine: 0.06,
            late_transaction: 0.01,
            lost_commit_response: 0.02,
            late_cloud_request: 0.2,
        }
    }
}

/// What happens to a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Delivery {
    /// It is carried out and answered.
    Normal,
    /// It is not answered, and carried out after this time.
    Late {
        /// Delay in milliseconds.
        ms: u64,
    },
    /// It is carried out and answered, and carried out again after this time.
    Twice {
        /// Delay of the second time in milliseconds.
        ms: u64,
    },
    /// It is carried out, and its answer is lost.
    AnswerLost,
}

/// What a restarted machine remembers.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Restart {
    /// Nothing: agent epoch, sequence and fencing token begin anew.
    Anew,
    /// The agent epoch, which is one higher, its sequence and the fencing token.
    NextEpoch,
}

/// A spell in which a machine's heartbeats are lost.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct MuteSpell {
    /// Duration of the spell in milliseconds.
    pub ms: u64,
    /// Time until the machine restarts within the spell, in milliseconds; `None`: it does not.
    pub restart_after_ms: Option<u64>,
}

/// Draws faults from a seed while they are switched on.
#[derive(Default)]
pub struct Faults {
    rates: Cell<FaultRates>,
    rng: RefCell<fastrand::Rng>,
    drawn: Cell<u64>,
}

impl Faults {
    /// Switches faults on.
    pub fn start(&self, rates: FaultRates, seed: u64) {
        self.rates.set(rates);
        self.rng.replace(fastrand::Rng::with_seed(seed));
    }

    /// Switches all faults off; messages that are held up are still delivered.
    pub fn stop(&self) {
        self.rates.set(FaultRates::default());
    }

    /// Number of faults so far.
    pub fn drawn(&self) -> u64 {
        self.drawn.get()
    }

    /// What happens to a direct command.
    pub fn command(&self) -> Delivery {
        let rates = self.rates.get();
        if self.happens(rates.late_command) {
            Delivery::Late {
                ms: self.delay_ms(),
            }
        } else if self.happens(rates.duplicated_command) {
            Delivery::Twice {
                ms: self.delay_ms(),
            }
        } else {
            Delivery::Normal
        }
    }

    /// What happens to a transaction.
    pub fn transaction(&self) -> Delivery {
        let rates = self.rates.get();
        if self.happens(rates.late_transaction) {
            Delivery::Late {
                ms: self.draw(SHORT_DELAY_MS),
            }
        } else if self.happens(rates.lost_commit_response) {
            Delivery::AnswerLost
        } else {
            Delivery::Normal
        }
    }

    /// What happens to a rental or deletion of machines.
    pub fn cloud_request(&self) -> Delivery {
        if self.happens(self.rates.get().late_cloud_request) {
            Delivery::Late {
                ms: self.draw(SHORT_DELAY_MS),
            }
        } else {
            Delivery::Normal
        }
    }

    /// Delay after which a copy of a heartbeat arrives, ms; `None`: there is no copy.
    pub fn heartbeat_copy(&self) -> Option<u64> {
        self.happens(self.rates.get().duplicated_heartbeat)
            .then(|| self.delay_ms())
    }

    /// Whether the response to a heartbeat is lost.
    pub fn loses_response(&self) -> bool {
        self.happens(self.rates.get().lost_response)
    }

    /// Time for which a machine freezes now, ms; `None`: it does not.
    pub fn freeze(&self) -> Option<u64> {
        self.happens(self.rates.get().frozen_machine)
            .then(|| self.draw(FREEZE_MS))
    }

    /// Whether and how a machine restarts now.
    pub fn restart(&self) -> Option<Restart> {
        if !self.happens(self.rates.get().restarted_machine) {
            return None;
        }
        let anew = self.rng.borrow_mut().bool();
        Some(if anew {
            Restart::Anew
        } else {
            Restart::NextEpoch
        })
    }

    /// The mute spell of a machine that begins now; `None`: none does.
    pub fn mute(&self) -> Option<MuteSpell> {
        if !self.happens(self.rates.get().muted_machine) {
            return None;
        }
        let restarts = self.rng.borrow_mut().f64() < RESTART_WHILE_MUTE_SHARE;
        Some(MuteSpell {
            ms: self.draw(MUTE_MS),
            restart_after_ms: restarts.then(|| self.draw(RESTART_WHILE_MUTE_MS)),
        })
    }

    /// Time for which a restarting machine is down, ms.
    pub fn restart_duration_ms(&self) -> u64 {
        self.draw(RESTART_MS)
    }

    /// Index of the controller to which a copy of a heartbeat goes.
    pub fn choose(&self, controllers: usize) -> usize {
        self.rng.borrow_mut().usize(..controllers)
    }

    fn happens(&self, probability: f64) -> bool {
        let happens = probability > 0.0 && self.rng.borrow_mut().f64() < probability;
        self.drawn.set(self.drawn.get() + u64::from(happens));
        happens
    }

    fn delay_ms(&self) -> u64 {
        let long = self.rng.borrow_mut().f64() < LONG_DELAY_SHARE;
        self.draw(if long { LONG_DELAY_MS } else { SHORT_DELAY_MS })
    }

    fn draw(&self, range: RangeInclusive<u64>) -> u64 {
        self.rng.borrow_mut().u64(range)
    }
}
