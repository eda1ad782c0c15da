//! Random days: jobs with dependencies, cancellations and overlapping faults, by a seed.

use super::controller::Standby;
use super::job;
use super::liveness::Liveness;
use super::world::{Trouble, World};
use fastrand::Rng;
use pointhook::protocol::users::{JobKind, JobSpec, Priority};

const CONTROLLERS: usize = 3;
const MACHINES: usize = 6;
const STEP_MS: u64 = 500;
/// Steps with faults; a while without any follows.
const FAULTY_STEPS: u32 = 240;
/// Longest fault, in steps.
const LONGEST_FAULT: u32 = 40;
/// All jobs are over by then.
const LONGEST_DAY_MS: u64 = 900_000;

/// A fault of the world, with what it strikes.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Fault {
    Outage,
    StoreRefuses(usize),
    PeersUnreachable(usize),
    ControllerDown(usize),
    ZoneCut,
    LateTransactions,
    LostTransactionAnswers,
    MachineDeaf(usize),
    MachineMute(usize),
    MachineHangs(usize),
    MachineLosesAnswers(usize),
    MachineSlow(usize),
}

impl Fault {
    fn random(rng: &mut Rng) -> Fault {
        let controller = rng.usize(..CONTROLLERS);
        let machine = rng.usize(..MACHINES);
        match rng.u8(..14) {
            0 => Fault::Outage,
            1 => Fault::StoreRefuses(controller),
            2 => Fault::PeersUnreachable(controller),
            3..=5 => Fault::ControllerDown(controller),
            6 => Fault::ZoneCut,
            7 => Fault::LateTransactions,
            8 => Fault::LostTransactionAnswers,
            9 => Fault::MachineDeaf(machine),
            10 => Fault::MachineMute(machine),
            11 => Fault::MachineHangs(machine),
            12 => Fault::MachineLosesAnswers(machine),
            _ => Fault::MachineSlow(machine),
        }
    }

    fn set(self, world: &mut World, on: bool) {
        match self {
            Fault::Outage => world.outage = on,
            Fault::StoreRefuses(at) => world.trouble[at].refused = on,
            Fault::PeersUnreachable(at) => world.trouble[at].alone = on,
            Fault::ControllerDown(at) if on => world.end(at),
            // One that can't read the records yet is tried again at each step.
            Fault::ControllerDown(_) => {}
            Fault::ZoneCut => world.cut_zone(on),
            Fault::LateTransactions => world.store.execution_delay_ms = on.then_some(4000),
            Fault::LostTransactionAnswers => world.store.drops_responses = on,
            Fault::MachineDeaf(at) => world.hosts[at].ill.deaf = on,
            Fault::MachineMute(at) => world.hosts[at].ill.mute = on,
            Fault::MachineHangs(at) => world.hosts[at].ill.hangs = on,
            Fault::MachineLosesAnswers(at) => world.hosts[at].ill.loses_answers = on,
            Fault::MachineSlow(at) => world.hosts[at].ill.slow = on,
        }
    }
}

/// A day that is being played.
pub struct Day {
    rng: Rng,
    pub world: World,
    jobs: u32,
    /// Cancellations that were confirmed.
    pub confirmed: u32,
    /// Faults under way and the step at which each ends.
    faults: Vec<(Fault, u32)>,
    liveness: Liveness,
}

impl Day {
    pub fn new(seed: u64, standby: Standby) -> Day {
        let mut rng = Rng::with_seed(seed);
        let mut world = World::with(MACHINES, standby);
        for host in &mut world.hosts {
            host.worker.run_ms = rng.u64(3000..15_000);
        }
        // Some days begin in the first form of records, which holds no dependencies.
        if rng.u8(..4) > 0 {
            world.begin_record_format_v2();
        }
        Day {
            rng,
            world,
            jobs: 0,
            confirmed: 0,
            faults: Vec::new(),
            liveness: Liveness::default(),
        }
    }

    pub fn play(&mut self) {
        for step in 0..FAULTY_STEPS {
            self.world.run(STEP_MS);
            self.world.try_begin_record_format_v2();
            self.end_faults(step);
            self.start_controllers();
            if self.rng.u8(..6) == 0 {
                self.begin_fault(step);
            }
            let at = self.rng.usize(..CONTROLLERS);
            match self.rng.u8(..10) {
                0..=3 => self.submit(at),
                4 => self.cancel(at),
                5 => self.deliver_old_report(at),
                _ => self.poll(at),
            }
        }
        self.recover();
    }

    fn begin_fault(&mut self, step: u32) {
        let fault = Fault::random(&mut self.rng);
        if self.faults.iter().any(|(other, _)| *other == fault) {
            return;
        }
        fault.set(&mut self.world, true);
        let end = step + self.rng.u32(1..LONGEST_FAULT);
        self.faults.push((fault, end));
    }

    fn end_faults(&mut self, step: u32) {
        let world = &mut self.world;
        self.faults.retain(|(fault, end)| {
            let over = *end <= step;
            if over {
                fault.set(world, false);
            }
            !over
        });
    }

    fn start_controllers(&mut self) {
        for at in 0..CONTROLLERS {
            let down = Fault::ControllerDown(at);
            let kept_down = self.faults.iter().any(|(fault, _)| *fault == down);
            if self.world.nodes[at].is_none() && !kept_down {
                self.world.start(at);
            }
        }
    }

    fn submit(&mut self, at: usize) {
        self.jobs += 1;
        let mut spec = job(&format!("job-{}", self.jobs), self.rng.u32(1..5));
        if self.rng.bool() {
            spec.team = "mixers".into();
            spec.tasks = spec.tasks.min(2);
        }
        spec.one_zone = self.rng.bool();
        spec.kind = match self.rng.u8(..6) {
            0 | 1 => JobKind::Gang,
            2 => JobKind::Service,
            _ => JobKind::Array,
        };
        if self.world.takes_dependencies(at) && self.rng.bool() {
            self.add_dependencies(&mut spec);
        }
        self.world.submit(at, spec);
    }

    fn add_dependencies(&mut self, spec: &mut JobSpec) {
        let mut ids = self.world.accepted_without_services();
        self.rng.shuffle(&mut ids);
        ids.truncate(self.rng.usize(1..3));
        spec.dependencies = ids;
        spec.priority = [Priority::High, Priority::Normal, Priority::Low][self.rng.usize(..3)];
    }

    fn any_job(&mut self) -> Option<String> {
        (self.jobs > 0).then(|| format!("job-{}", self.rng.u32(1..=self.jobs)))
    }

    fn cancel(&mut self, at: usize) {
        let Some(id) = self.any_job() else { return };
        self.confirmed += u32::from(self.world.cancel(at, &id));
        let other = self.rng.usize(..CONTROLLERS);
        self.world.poll(other, &id);
    }

    fn poll(&mut self, at: usize) {
        if let Some(id) = self.any_job() {
            self.world.poll(at, &id);
        }
    }

    fn deliver_old_report(&mut self, at: usize) {
        let host = self.rng.usize(..MACHINES);
        let sent = self.world.hosts[host].sent.len().max(1);
        let which = self.rng.usize(..sent);
        self.world.deliver_old(host, which, at);
    }

    /// Ends all faults and gives the jobs time to end; services are cancelled for that.
    fn recover(&mut self) {
        self.end_faults(u32::MAX);
        assert!(self.world.trouble.iter().all(|t| *t == Trouble::default()));
        self.world.run(6000);
        self.start_controllers();
        self.run_calmly(120_000);
        for id in self.world.services() {
            self.world.cancel(0, &id);
        }
        while self.world.now < LONGEST_DAY_MS && !self.world.unfinished().is_empty() {
            self.run_calmly(10_000);
        }
    }

    /// Lets time pass without faults, in which no job may wait while there is room.
    fn run_calmly(&mut self, ms: u64) {
        let end = self.world.now + ms;
        while self.world.now < end {
            self.world.run(STEP_MS);
            let late = self.liveness.check(&self.world);
            self.world.broken.extend(late);
        }
    }
}
