//! What the oracle records of schedulers, tasks and attempts, and the settings of the test.

use super::MS;
use crate::interface::*;
use crate::policy::PlacementPolicy;
use std::collections::{BTreeMap, BTreeSet};

pub(super) const SCHEDULERS: usize = 3;
pub(super) const MACHINES: usize = 4;
pub(super) const ATTEMPT_BUDGET: usize = 4;
pub(super) const MAX_ATTEMPTS: usize = 4;
pub(super) const BUDGET_WINDOW: u64 = 1_000 * MS;
pub(super) const WARM_UP_TIME: u64 = 10_000 * MS;

/// A command that the policy gave, with times in nanoseconds.
#[derive(Clone, Copy, Debug)]
pub(super) enum Command {
    Send(u64, u64, u64),
    Reject(u64),
    Fail(u64),
    Preempt(u64),
    CancelAttempt(u64),
    WakeAt(u64, u64),
}

/// The commands of one round.
#[derive(Default)]
pub(super) struct CommandLog(pub Vec<Command>);

impl Dispatch for CommandLog {
    fn send(&mut self, task: TaskId, machine: MachineId, timeout: Duration) {
        self.0.push(Command::Send(task.0, machine.0, timeout.nanos()));
    }
    fn cancel_attempt(&mut self, task: TaskId, _: u32) {
        self.0.push(Command::CancelAttempt(task.0));
    }
    fn reject(&mut self, task: TaskId, _: Duration) {
        self.0.push(Command::Reject(task.0));
    }
    fn fail(&mut self, task: TaskId) {
        self.0.push(Command::Fail(task.0));
    }
    fn preempt(&mut self, task: TaskId) {
        self.0.push(Command::Preempt(task.0));
    }
    fn wake_at(&mut self, token: u64, at: Timestamp) {
        self.0.push(Command::WakeAt(token, at.nanos()));
    }
    fn watch_endpoints(&mut self) {}
}

#[derive(Debug)]
pub(super) struct Attempt {
    pub machine: usize,
    pub sent_at: u64,
    pub times_out_at: u64,
    pub has_ended: bool,
    pub never_ran: bool,
}

impl Attempt {
    pub fn new(machine: usize, sent_at: u64, times_out_at: u64) -> Self {
        Self { machine, sent_at, times_out_at, has_ended: false, never_ran: false }
    }
}

#[derive(Debug)]
pub(super) struct TaskRecord {
    pub case: usize,
    pub service: u64,
    pub deadline: u64,
    pub attempts: Vec<Attempt>,
    pub is_placed: bool,
    /// It was answered, or ended in another way.
    pub has_ended: bool,
    pub is_cancelled: bool,
    /// The policy learned in an earlier round that it was cancelled or has ended.
    pub end_is_known: bool,
    pub is_preempted: bool,
}

impl TaskRecord {
    pub fn new(case: usize, service: u64, deadline: u64) -> Self {
        Self {
            case,
            service,
            deadline,
            attempts: Vec::new(),
            is_placed: false,
            has_ended: false,
            is_cancelled: false,
            end_is_known: false,
            is_preempted: false,
        }
    }

    /// An attempt is in flight, or it runs.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.last().is_some_and(|attempt| !attempt.has_ended)
    }

    pub fn has_timed_out(&self, now: u64) -> bool {
        let is_late = |attempt: &Attempt| !attempt.has_ended && attempt.times_out_at <= now;
        !self.is_placed && self.attempts.last().is_some_and(is_late)
    }
}

/// What one scheduler was told, and what it commanded.
pub(super) struct Scheduler {
    /// Taken out for a round, so that events can be drawn on the cluster.
    pub policy: Option<PlacementPolicy>,
    pub tasks: BTreeMap<u64, TaskRecord>,
    /// Timers: when, and which token.
    pub timers: BTreeSet<(u64, u64)>,
    pub listed: Vec<Option<MachineState>>,
    /// Until when it must treat each machine as warming up.
    pub warm_up_ends_at: [u64; MACHINES],
}

/// How often each rule was put to the test.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Coverage {
    pub answers: u64,
    pub retries: u64,
    pub drains: u64,
    pub warm_up_attempts: u64,
    pub spread_attempts: u64,
    pub preemptions: u64,
    /// Cancelled by the client: without an attempt in flight, with one, and while it ran.
    pub cancellations: [u64; 3],
}

impl Coverage {
    pub fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.retries += other.retries;
        self.drains += other.drains;
        self.warm_up_attempts += other.warm_up_attempts;
        self.spread_attempts += other.spread_attempts;
        self.preemptions += other.preemptions;
        for (sum, count) in self.cancellations.iter_mut().zip(other.cancellations) {
            *sum += count;
        }
    }

    pub fn counts(&self) -> impl Iterator<Item = u64> {
        let rules = [self.answers, self.retries, self.drains, self.warm_up_attempts, self.spread_attempts];
        rules.into_iter().chain([self.preemptions]).chain(self.cancellations)
    }
}

pub(super) fn use_cases() -> Vec<UseCase> {
    let window = Duration::from_secs(5);
    let case = |idempotency, priority, spread| UseCase {
        latency_objective: Duration::from_secs(1),
        client_timeout: Duration::from_secs(8),
        idempotency,
        value_per_second: f64::from(priority) + 1.0,
        priority,
        machine_kind: None,
        spread,
        saturation_threshold: 0.8,
        degradation_range: 0.2,
    };
    vec![
        case(Idempotency::Idempotent, 0, None),
        case(Idempotency::Keyed { domain: FailureDomain::Cell, window }, 1, None),
        case(Idempotency::NonIdempotent, 1, Some((FailureDomain::Machine, 1))),
        case(Idempotency::Idempotent, 1, Some((FailureDomain::Cell, 2))),
    ]
}

pub(super) fn settings(seed: u64, scheduler_index: u32) -> PolicySettings {
    PolicySettings {
        use_cases: use_cases(),
        machine_kinds: vec![Resources::new(10.0, 10.0)],
        acceptance: AcceptanceRules {
            cores_overcommit: 2.0,
            memory_overcommit: 2.0,
            accepts_when_running: seed.is_multiple_of(2),
            max_attempts: MAX_ATTEMPTS as u32,
            reports_pressure: true,
            supports_cancel: true,
        },
        slow_start: SlowStart {
            warm_up_time: Duration::from_nanos(WARM_UP_TIME),
            budget_window: Duration::from_nanos(BUDGET_WINDOW),
            attempt_budget: ATTEMPT_BUDGET as f64,
            scheduler_count: SCHEDULERS as u32,
            scheduler_index,
        },
        discovery: Discovery { watch_required: true, max_staleness: Duration::from_secs(10) },
        locality: LocalityCosts { local_zone: ZoneId(0), cross_zone_cost: 0.0, machine_cost: 0.1 },
    }
}

pub(super) fn machine_entry(machine: usize, state: MachineState, started_at: Option<u64>) -> MachineEntry {
    MachineEntry {
        id: MachineId(machine as u64),
        kind: KindId(0),
        cell: CellId(machine as u32 / 2),
        zone: ZoneId(0),
        state,
        started_at: started_at.map(Timestamp::from_nanos),
        available: Some(Resources::new(10.0, 10.0)),
    }
}
