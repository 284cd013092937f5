//! The ordinary path: which machine a task is placed on.
//!
//! Low-priority tasks use predicted slack: requests of high-priority tasks minus their peak usage. A machine
//! is filtered by the rules and by its resources; the rest is ranked by the share of capacity that is
//! requested, least first, and a random one of the best is selected.

use super::{PlacementPolicy, SchedulingRound};
use crate::interface::*;
use crate::state::{Location, Machine, MachineSlot, Task, TaskSlot};

/// Weights of the requested shares of cores and memory in the score (design).
const CORES_WEIGHT: f64 = 0.38;
const MEMORY_WEIGHT: f64 = 0.62;
/// Machines whose score is so close to the best are equal (design).
const TIE_MARGIN: f64 = 0.05;
/// What a machine without the service's program must be emptier by, as a share of its capacity, for each
/// position that it is further down in the service's order of preferred machines. The order is the same for
/// all schedulers: none of them sees where the others started a program, and all see the same least requested
/// machine.
const PROGRAM_PENALTY: f64 = 6.0 * TIE_MARGIN;
/// So many positions of that order count.
const PREFERRED_MACHINES: usize = 6;
/// A machine ranks as fuller by this part of the service that it missed at worst within the peak window: what
/// was hot lately (a slow machine, a noisy neighbour, a hot service) soon is again.
const MISSED_SERVICE_PENALTY: f64 = 0.3;
/// And by this for each start in flight, of this scheduler and as many of each other one: a machine starts
/// few tasks at a time. Seen: a machine that had just been opened was the least requested for all schedulers,
/// and 25 starts queued there within two seconds.
const START_PENALTY: f64 = TIE_MARGIN / 2.0;
/// Where machines in use have a cost, an unused machine is opened last, whatever else it offers.
const OPENING_PENALTY: f64 = 1.0 + PROGRAM_PENALTY * PREFERRED_MACHINES as f64;
/// A machine of which no more than this share is requested counts as unused.
const UNUSED_SHARE: f64 = 0.02;

/// How far a machine departs from the ordinary path. Only the best tier that suffices is considered.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// It has the resources, is not under pressure and costs no crossing of zones.
    Ordinary,
    /// It is in a costly zone, or would accept the task beyond its capacity.
    Fallback,
    /// It is under pressure; only for tasks that have waited.
    LastResort,
}

/// A machine that a task may be placed on.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    machine: MachineSlot,
    /// Lower is better.
    score: f64,
    /// Sort key of the machine in the service's order of preferred machines.
    preference: u64,
    lacks_program: bool,
    tier: Tier,
}

/// How many tasks of the service that is being placed run on a machine.
pub(super) struct ServiceCount {
    location: Location,
    tasks: usize,
}

impl<D: Dispatch> SchedulingRound<'_, D> {
    /// Records the usage of a task. For high-priority tasks, request minus peak usage becomes slack of their
    /// machine.
    pub(crate) fn record_usage(&mut self, id: TaskId, cores: Option<f64>, memory: Option<f64>) {
        let now = self.now;
        let Some((slot, machine)) = self.policy.placed_task(id) else { return };
        let gives_slack = !self.policy.has_lowest_priority(slot);
        let task = &mut self.policy.tasks[slot];
        let (request, last_usage) = (task.spec.request, task.last_usage);
        if let Some(cores) = cores {
            task.peak_cores.record(now, cores);
            task.last_usage.cores = cores;
        }
        if let Some(memory) = memory {
            task.peak_memory.record(now, memory);
            task.last_usage.memory = memory;
        }
        let machine = &mut self.policy.machines[machine];
        machine.usage += task.last_usage - last_usage;
        if gives_slack {
            let slack = (request - task.peak_usage(now)).max(Resources::ZERO);
            machine.slack += slack - task.slack;
            task.slack = slack;
        }
    }

    /// Selects a machine for a pending task: filter, rank by least requested, random among the best.
    pub(super) fn select_machine(&mut self, slot: TaskSlot) -> Option<MachineSlot> {
        let mut candidates = std::mem::take(&mut self.policy.candidates);
        let mut service_counts = std::mem::take(&mut self.policy.service_counts);
        let task = &self.policy.tasks[slot];
        let use_case = self.policy.use_case(slot);
        self.policy.count_service(task.spec.service, use_case, &mut service_counts);
        let healthy = self.collect_candidates(task, use_case, &service_counts, &mut candidates);
        keep_sufficient_tier(&mut candidates, healthy);
        add_program_penalties(&mut candidates);
        keep_best_scores(&mut candidates);
        let selected = candidates.get(self.policy.random.below(candidates.len())).map(|best| best.machine);
        self.policy.candidates = candidates;
        self.policy.service_counts = service_counts;
        selected
    }

    /// Collects the machines that the task fits on. Returns how many machines are eligible, not under
    /// pressure and not in a costly zone, whether they have the resources or not.
    fn collect_candidates(
        &self,
        task: &Task,
        use_case: &UseCase,
        service_counts: &[ServiceCount],
        candidates: &mut Vec<Candidate>,
    ) -> usize {
        candidates.clear();
        let policy = &*self.policy;
        let staleness = policy.staleness(self.now);
        let mut healthy = 0;
        for (slot, machine) in policy.machines.iter() {
            if !self.is_eligible(task, use_case, slot, service_counts) {
                continue;
            }
            let available = policy.available(machine, staleness);
            let is_remote = policy.is_in_costly_zone(machine);
            healthy += usize::from(!machine.is_under_pressure(self.now) && !is_remote);
            let Some(tier) = self.tier(task, use_case, machine, available) else { continue };
            let service = task.spec.service;
            candidates.push(Candidate {
                machine: slot,
                score: self.score(task, machine, available),
                preference: mix(service.0, machine.id.0) >> 1 | u64::from(is_remote) << 63,
                lacks_program: machine.lacks_program(service),
                tier,
            });
        }
        healthy
    }

    /// Rules and trust: whether the task may go to this machine at all, whatever resources it has.
    pub(super) fn is_eligible(
        &self,
        task: &Task,
        use_case: &UseCase,
        slot: MachineSlot,
        service_counts: &[ServiceCount],
    ) -> bool {
        let machine = &self.policy.machines[slot];
        machine.state == MachineState::Active
            && task.avoided_machine != Some(slot)
            && self.policy.admits_attempt(task, machine, self.now)
            && has_required_kind(use_case, machine)
            && respects_idempotency(task, use_case, machine)
            && respects_spread(task, use_case, machine, service_counts)
            && self.policy.has_warm_up_budget(machine, self.now)
    }

    /// How far placing the task here departs from the ordinary path; nothing where it does not fit.
    fn tier(&self, task: &Task, use_case: &UseCase, machine: &Machine, available: Resources) -> Option<Tier> {
        let policy = &*self.policy;
        let has_low_priority = use_case.priority == policy.lowest_priority;
        let is_under_pressure = machine.is_under_pressure(self.now);
        if policy.has_resources(task, has_low_priority, machine, available) {
            return match is_under_pressure {
                false if policy.is_in_costly_zone(machine) => Some(Tier::Fallback),
                false => Some(Tier::Ordinary),
                true => task.is_waiting.then_some(Tier::LastResort),
            };
        }
        let accepted = available + policy.settings.acceptance.overcommit_allowance(machine.capacity);
        (!is_under_pressure && accepted.fits(task.spec.request)).then_some(Tier::Fallback)
    }

    /// The share of capacity that would be requested with this task, plus penalties. Lower is better.
    fn score(&self, task: &Task, machine: &Machine, available: Resources) -> f64 {
        let capacity = machine.capacity;
        let requested = capacity - available + task.spec.request;
        let mut score = CORES_WEIGHT * requested.cores / capacity.cores
            + MEMORY_WEIGHT * requested.memory / capacity.memory;
        let schedulers = f64::from(self.policy.scheduler_count());
        score += machine.missed_service.max(self.now).unwrap_or(0.0) * MISSED_SERVICE_PENALTY
            + machine.starting as f64 * START_PENALTY * schedulers;
        let has_cost = self.policy.settings.locality.machine_cost > 0.0;
        let is_unused = capacity.scaled(UNUSED_SHARE, UNUSED_SHARE).fits(capacity - available);
        score += if has_cost && is_unused { OPENING_PENALTY } else { 0.0 };
        score
    }
}

impl PlacementPolicy {
    /// Whether the resources available, plus predicted slack for low-priority tasks, suffice as far as the
    /// machine accepts.
    pub(super) fn has_resources(
        &self,
        task: &Task,
        has_low_priority: bool,
        machine: &Machine,
        available: Resources,
    ) -> bool {
        let slack = if has_low_priority { machine.slack } else { Resources::ZERO };
        let allowance = self.settings.acceptance.overcommit_allowance(machine.capacity);
        (available + slack).fits(task.reservation) && (available + allowance).fits(task.spec.request)
    }

    fn is_in_costly_zone(&self, machine: &Machine) -> bool {
        let locality = &self.settings.locality;
        machine.zone != locality.local_zone && locality.cross_zone_cost > 0.0
    }

    /// Counts the tasks of a service by machine, for use cases that spread over more than single machines.
    /// Seen: counted anew for each machine, which took all of a scheduler's part of a core where services
    /// spread over zones of 133 machines.
    pub(super) fn count_service(
        &self,
        service: ServiceId,
        use_case: &UseCase,
        counts: &mut Vec<ServiceCount>,
    ) {
        counts.clear();
        if use_case.spread.is_some_and(|(domain, _)| domain != FailureDomain::Machine) {
            let machines = self.machines.iter().map(|(_, machine)| machine);
            let all = machines.map(|m| ServiceCount { location: m.location(), tasks: m.tasks_of(service) });
            counts.extend(all.filter(|count| count.tasks > 0));
        }
    }
}

fn has_required_kind(use_case: &UseCase, machine: &Machine) -> bool {
    use_case.machine_kind.is_none_or(|kind| kind == machine.kind)
        && machine.capacity.cores > 0.0
        && machine.capacity.memory > 0.0
}

/// A keyed task that may have run stays within the machines that drop repeated executions.
fn respects_idempotency(task: &Task, use_case: &UseCase, machine: &Machine) -> bool {
    match (use_case.idempotency, task.possible_run) {
        (Idempotency::Keyed { domain, .. }, Some(run)) => machine.shares_domain(domain, run.location),
        _ => true,
    }
}

fn respects_spread(task: &Task, use_case: &UseCase, machine: &Machine, counts: &[ServiceCount]) -> bool {
    let Some((domain, limit)) = use_case.spread else { return true };
    let running: usize = match domain {
        FailureDomain::Machine => machine.tasks_of(task.spec.service),
        _ => {
            let in_domain = counts.iter().filter(|count| machine.shares_domain(domain, count.location));
            in_domain.map(|count| count.tasks).sum()
        }
    };
    running < limit
}

/// Keeps the candidates of the ordinary tier where these are at least half of the healthy machines: otherwise
/// all schedulers would pile on the few that have the resources, so the fallback tier counts too.
fn keep_sufficient_tier(candidates: &mut Vec<Candidate>, healthy: usize) {
    let ordinary = candidates.iter().filter(|candidate| candidate.tier == Tier::Ordinary).count();
    let has_fallback = candidates.iter().any(|candidate| candidate.tier <= Tier::Fallback);
    let worst = if 2 * ordinary >= healthy.max(1) {
        Tier::Ordinary
    } else if has_fallback {
        Tier::Fallback
    } else {
        Tier::LastResort
    };
    candidates.retain(|candidate| candidate.tier <= worst);
}

/// Adds the penalty for a missing program: a start without the program takes many times the work and misses
/// the latency objective.
fn add_program_penalties(candidates: &mut [Candidate]) {
    let preferred = PREFERRED_MACHINES.min(candidates.len());
    if preferred < candidates.len() {
        candidates.select_nth_unstable_by_key(preferred, |candidate| candidate.preference);
    }
    candidates[..preferred].sort_unstable_by_key(|candidate| candidate.preference);
    for (position, candidate) in candidates.iter_mut().enumerate() {
        let positions = position.min(PREFERRED_MACHINES) as f64;
        candidate.score += if candidate.lacks_program { PROGRAM_PENALTY * positions } else { 0.0 };
    }
}

/// Keeps the candidates whose score ties with the best.
fn keep_best_scores(candidates: &mut Vec<Candidate>) {
    let best = candidates.iter().map(|candidate| candidate.score).fold(f64::INFINITY, f64::min);
    candidates.retain(|candidate| candidate.score <= best + TIE_MARGIN);
}
