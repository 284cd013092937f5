//! Simple reference policies behind the same interface: random choice, least requested and most requested.
//!
//! They serve comparison on the same scenarios, never production. They keep the rules (machine kind, spread,
//! draining, idempotency, the warm-up budget) and know nothing of health, slack, pressure, programs or costs.
//! State is in memory only, driven by one thread. The crate depends on the interface alone.
#![warn(missing_docs)]

mod events;

use mulleinhub_interface::*;
use std::collections::BTreeMap;

/// How a baseline chooses among the machines that a task fits on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ranking {
    /// Any of them, at random.
    Random,
    /// The one with the least requested, cores and memory weighing the same.
    LeastRequested,
    /// The one with the most requested.
    MostRequested,
}

/// Pending tasks are considered again after so long.
const TICK_INTERVAL: Duration = Duration::from_nanos(50_000_000);
/// An attempt is waited for during this part of the client timeout.
const ATTEMPT_TIMEOUT_SHARE: f64 = 0.25;
/// So near its client timeout (as a part of it) a task gets its final answer.
const GIVE_UP_SHARE: f64 = 0.05;
/// A keyed task is sent again only within this part of its window.
const KEY_WINDOW_SHARE: f64 = 0.9;
/// The warm-up budget is counted over this many times the rule's window.
const BUDGET_WINDOW_FACTOR: f64 = 1.5;

#[derive(Clone, Copy, PartialEq)]
enum TaskState {
    Pending,
    Sent,
    Placed,
}

/// The first attempt that may have executed a task.
#[derive(Clone, Copy)]
struct PossibleRun {
    sent_at: Timestamp,
    machine: MachineId,
}

struct Task {
    spec: TaskSpec,
    state: TaskState,
    /// Where its attempt in flight went, or where it runs.
    machine: Option<MachineId>,
    sent_at: Timestamp,
    attempts: u32,
    possible_run: Option<PossibleRun>,
    /// The machine of its last attempt; the next one avoids it.
    last_machine: Option<MachineId>,
}

struct Machine {
    entry: MachineEntry,
    /// As the last list has it, less the requests of attempts since.
    available: Resources,
    warm_up_attempts: Vec<Timestamp>,
}

/// A reference policy.
pub struct Baseline {
    ranking: Ranking,
    settings: PolicySettings,
    tasks: BTreeMap<TaskId, Task>,
    machines: BTreeMap<MachineId, Machine>,
    is_tick_scheduled: bool,
    random_state: u64,
}

impl Baseline {
    /// A policy that knows no tasks and no machines yet. The same seed and events give the same commands.
    pub fn new(ranking: Ranking, seed: u64, settings: PolicySettings) -> Self {
        Self {
            ranking,
            settings,
            tasks: BTreeMap::new(),
            machines: BTreeMap::new(),
            is_tick_scheduled: false,
            random_state: seed | 1,
        }
    }

    /// A random number below `bound`; 0 where `bound` is 0.
    fn random_below(&mut self, bound: usize) -> usize {
        // Knuth's multiplier; the high bits are the good ones.
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.random_state >> 33) % bound.max(1) as u64) as usize
    }

    fn use_case(&self, task: &Task) -> &UseCase {
        &self.settings.use_cases[task.spec.use_case.0]
    }

    fn share_domain(&self, domain: FailureDomain, one: MachineId, other: MachineId) -> bool {
        let (Some(a), Some(b)) = (self.machines.get(&one), self.machines.get(&other)) else {
            return one == other;
        };
        match domain {
            FailureDomain::Machine => one == other,
            FailureDomain::Cell => a.entry.cell == b.entry.cell,
            FailureDomain::Zone => a.entry.zone == b.entry.zone,
            FailureDomain::Cluster => true,
        }
    }

    /// Whether the rules and the machine's resources let the task go there.
    fn is_eligible(&self, now: Timestamp, task: &Task, id: MachineId, machine: &Machine) -> bool {
        let kind = machine.entry.kind;
        let capacity = self.settings.machine_kinds.get(kind.0).copied().unwrap_or(Resources::ZERO);
        let accepted = machine.available + self.settings.acceptance.overcommit_allowance(capacity);
        machine.entry.state == MachineState::Active
            && accepted.fits(task.spec.request)
            && task.last_machine != Some(id)
            && self.use_case(task).machine_kind.is_none_or(|required| required == kind)
            && self.respects_idempotency(task, id)
            && self.respects_spread(task, id)
            && self.has_warm_up_budget(now, machine)
    }

    /// A keyed task that may have run stays within the machines that drop repeated executions.
    fn respects_idempotency(&self, task: &Task, machine: MachineId) -> bool {
        match (self.use_case(task).idempotency, task.possible_run) {
            (Idempotency::Keyed { domain, .. }, Some(run)) => self.share_domain(domain, run.machine, machine),
            _ => true,
        }
    }

    fn respects_spread(&self, task: &Task, machine: MachineId) -> bool {
        let Some((domain, limit)) = self.use_case(task).spread else { return true };
        let counts = |other: &&Task| {
            other.spec.service == task.spec.service
                && other.machine.is_some_and(|there| self.share_domain(domain, there, machine))
        };
        self.tasks.values().filter(counts).count() < limit
    }

    fn has_warm_up_budget(&self, now: Timestamp, machine: &Machine) -> bool {
        let SlowStart { warm_up_time, attempt_budget, scheduler_count, .. } = self.settings.slow_start;
        let is_warming_up = machine.entry.started_at.is_some_and(|at| now - at < warm_up_time);
        let share = (attempt_budget / f64::from(scheduler_count.max(1))).floor() as usize;
        let window = self.budget_window();
        let recent = machine.warm_up_attempts.iter().filter(|at| now - **at < window).count();
        !is_warming_up || recent < share
    }

    fn budget_window(&self) -> Duration {
        self.settings.slow_start.budget_window * BUDGET_WINDOW_FACTOR
    }

    fn select_machine(&mut self, now: Timestamp, task: TaskId) -> Option<MachineId> {
        let task = &self.tasks[&task];
        let eligible =
            self.machines.iter().filter(|(id, machine)| self.is_eligible(now, task, **id, machine));
        if self.ranking == Ranking::Random {
            let eligible: Vec<MachineId> = eligible.map(|(id, _)| *id).collect();
            let index = self.random_below(eligible.len());
            return eligible.get(index).copied();
        }
        let available_share = |machine: &Machine| {
            let capacity = self.settings.machine_kinds[machine.entry.kind.0];
            machine.available.cores / capacity.cores + machine.available.memory / capacity.memory
        };
        let best = match self.ranking {
            Ranking::MostRequested => {
                eligible.min_by(|(_, a), (_, b)| available_share(a).total_cmp(&available_share(b)))
            }
            _ => eligible.max_by(|(_, a), (_, b)| available_share(a).total_cmp(&available_share(b))),
        };
        best.map(|(id, _)| *id)
    }

    /// Sends a pending task, gives its final answer, or leaves it pending.
    fn try_place(&mut self, now: Timestamp, dispatch: &mut dyn Dispatch, id: TaskId) {
        if !self.may_attempt(now, &self.tasks[&id]) {
            self.give_up(dispatch, id);
            return;
        }
        let task = &self.tasks[&id];
        let client_timeout = self.use_case(task).client_timeout;
        let timeout = (client_timeout * ATTEMPT_TIMEOUT_SHARE).min(task.spec.deadline - now);
        let Some(machine_id) = self.select_machine(now, id) else { return };
        let window = self.budget_window();
        let task = self.tasks.get_mut(&id).expect("is pending");
        (task.state, task.machine, task.last_machine) = (TaskState::Sent, Some(machine_id), Some(machine_id));
        task.sent_at = now;
        task.attempts += 1;
        let machine = self.machines.get_mut(&machine_id).expect("was selected");
        machine.available -= task.spec.request;
        machine.warm_up_attempts.retain(|at| now - *at < window);
        machine.warm_up_attempts.push(now);
        dispatch.send(id, machine_id, timeout);
    }

    fn may_attempt(&self, now: Timestamp, task: &Task) -> bool {
        let use_case = self.use_case(task);
        let is_safe = match (use_case.idempotency, task.possible_run) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::NonIdempotent, _) => false,
            (Idempotency::Keyed { window, .. }, Some(run)) => now - run.sent_at < window * KEY_WINDOW_SHARE,
        };
        is_safe
            && task.attempts < self.settings.acceptance.max_attempts
            && task.spec.deadline - now > use_case.client_timeout * GIVE_UP_SHARE
    }

    /// Gives the final answer: a rejection where the client may safely submit the task again, else a failure.
    fn give_up(&mut self, dispatch: &mut dyn Dispatch, id: TaskId) {
        let task = &self.tasks[&id];
        let is_safe_anywhere = matches!(
            self.use_case(task).idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { domain: FailureDomain::Cluster, .. }
        );
        if is_safe_anywhere || task.possible_run.is_none() {
            dispatch.reject(id, Duration::ZERO);
        } else {
            dispatch.fail(id);
        }
        self.tasks.remove(&id);
    }
}
