//! A test harness around one policy: it records the commands and delivers the events that a scenario names.

use mulleinhub::interface::*;
use mulleinhub::{PlacementPolicy, SchedulingRound};

/// A command of the policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Command {
    /// Task and machine.
    Send(u64, u64),
    Reject(u64),
    Fail(u64),
    Preempt(u64),
    /// Task and attempt.
    CancelAttempt(u64, u32),
    WatchEndpoints,
    /// When the watch is requested again, in milliseconds.
    RetryWatchAt(u64),
}

/// The commands of one round; ticks are left out.
#[derive(Default)]
pub struct CommandLog(pub Vec<Command>);

impl Dispatch for CommandLog {
    fn send(&mut self, task: TaskId, machine: MachineId, _: Duration) {
        self.0.push(Command::Send(task.0, machine.0));
    }
    fn cancel_attempt(&mut self, task: TaskId, attempt: u32) {
        self.0.push(Command::CancelAttempt(task.0, attempt));
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
        if token == WATCH_TIMER {
            self.0.push(Command::RetryWatchAt(at.nanos() / 1_000_000));
        }
    }
    fn watch_endpoints(&mut self) {
        self.0.push(Command::WatchEndpoints);
    }
}

/// Timer tokens of the policy.
pub const TICK_TIMER: u64 = 0;
pub const WATCH_TIMER: u64 = 1;

/// The use cases of the harness: both idempotent unless a scenario changes that before `start`.
pub const HIGH: usize = 0;
pub const LOW: usize = 1;

/// One scheduler's policy, its settings and its clock.
pub struct Harness {
    pub use_cases: Vec<UseCase>,
    pub watch_required: bool,
    pub reports_pressure: bool,
    pub machine_cost: f64,
    /// Machines accept so many times their capacity.
    pub overcommit: f64,
    pub attempt_budget: f64,
    pub scheduler_count: u32,
    pub scheduler_index: u32,
    pub seed: u64,
    pub now_millis: u64,
    /// Set by `start`.
    pub policy: Option<PlacementPolicy>,
}

impl Harness {
    pub fn new() -> Self {
        let use_case = |priority| UseCase {
            latency_objective: Duration::from_secs(1),
            client_timeout: Duration::from_secs(8),
            idempotency: Idempotency::Idempotent,
            value_per_second: f64::from(priority) + 1.0,
            priority,
            machine_kind: None,
            spread: None,
            saturation_threshold: 0.8,
            degradation_range: 0.2,
        };
        Self {
            use_cases: vec![use_case(1), use_case(0)],
            watch_required: false,
            reports_pressure: true,
            machine_cost: 0.0,
            overcommit: 1.0,
            attempt_budget: 12.0,
            scheduler_count: 3,
            scheduler_index: 0,
            seed: 7,
            now_millis: 100_000,
            policy: None,
        }
    }

    /// Starts the policy with a cached list of these machines.
    pub fn start(mut self, machines: &[MachineEntry]) -> Self {
        self.policy = Some(PlacementPolicy::new(self.seed, self.settings()));
        self.round(|round| round.on_endpoint_list(ListKind::Cached, machines));
        self
    }

    fn settings(&self) -> PolicySettings {
        PolicySettings {
            use_cases: self.use_cases.clone(),
            machine_kinds: vec![Resources::new(10.0, 10.0), Resources::new(20.0, 20.0)],
            acceptance: AcceptanceRules {
                cores_overcommit: self.overcommit,
                memory_overcommit: self.overcommit,
                accepts_when_running: false,
                max_attempts: 3,
                reports_pressure: self.reports_pressure,
                supports_cancel: true,
            },
            slow_start: SlowStart {
                warm_up_time: Duration::from_secs(10),
                budget_window: Duration::from_secs(1),
                attempt_budget: self.attempt_budget,
                scheduler_count: self.scheduler_count,
                scheduler_index: self.scheduler_index,
            },
            discovery: Discovery {
                watch_required: self.watch_required,
                max_staleness: Duration::from_secs(10),
            },
            locality: LocalityCosts {
                local_zone: ZoneId(0),
                cross_zone_cost: 0.1,
                machine_cost: self.machine_cost,
            },
        }
    }

    pub fn now(&self) -> Timestamp {
        Timestamp::from_nanos(self.now_millis * 1_000_000)
    }

    /// Runs one round and returns its commands.
    pub fn round<T>(
        &mut self,
        deliver: impl FnOnce(&mut SchedulingRound<'_, CommandLog>) -> T,
    ) -> Vec<Command> {
        let mut log = CommandLog::default();
        let now = self.now();
        self.policy.as_mut().expect("is started").round(now, &mut log, deliver);
        log.0
    }

    /// Lets time pass up to a tick.
    pub fn tick_after(&mut self, millis: u64) -> Vec<Command> {
        self.now_millis += millis;
        self.round(|round| round.on_timer(TICK_TIMER))
    }

    /// A task of its own service that requests so many cores and so much memory.
    pub fn task(&self, id: u64, use_case: usize, request: f64) -> TaskSpec {
        TaskSpec {
            id: TaskId(id),
            key: TaskKey(id),
            use_case: UseCaseId(use_case),
            service: ServiceId(id),
            request: Resources::new(request, request),
            deadline: self.now() + self.use_cases[use_case].client_timeout,
            is_resubmitted: false,
        }
    }

    pub fn submit(&mut self, id: u64, use_case: usize, request: f64) -> Vec<Command> {
        let task = self.task(id, use_case, request);
        self.submit_task(task)
    }

    pub fn submit_task(&mut self, task: TaskSpec) -> Vec<Command> {
        self.round(|round| round.on_new_task(task))
    }

    pub fn adopt(&mut self, id: u64, use_case: usize, request: f64, machine: u64) {
        let task = self.task(id, use_case, request);
        self.round(|round| round.on_adopted_task(task, MachineId(machine)));
    }

    pub fn cancel(&mut self, id: u64) -> Vec<Command> {
        self.round(|round| round.on_client_cancelled(TaskId(id)))
    }

    /// An attempt ends without a final answer.
    pub fn end_attempt(&mut self, id: u64, outcome: Outcome) -> Vec<Command> {
        self.round(|round| round.on_attempt_ended(TaskId(id), outcome, false, LoadReport::default()))
    }

    /// An attempt ends, and the client has its final answer.
    pub fn end_task(&mut self, id: u64, outcome: Outcome) -> Vec<Command> {
        self.round(|round| round.on_attempt_ended(TaskId(id), outcome, true, LoadReport::default()))
    }

    /// The task uses so many cores and so much memory.
    pub fn report_usage(&mut self, id: u64, usage: f64) {
        self.round(|round| {
            round.on_usage(TaskId(id), Some(usage), None);
            round.on_usage(TaskId(id), None, Some(usage));
        });
    }

    pub fn report_service_level(&mut self, id: u64, share: f64) -> Vec<Command> {
        self.round(|round| round.on_service_level(TaskId(id), share))
    }

    /// The task's machine uses this share of its memory.
    pub fn report_machine_memory(&mut self, id: u64, share: f64) -> Vec<Command> {
        self.round(|round| round.on_machine_memory(TaskId(id), share))
    }

    /// An endpoint list that names changed machines arrives.
    pub fn update_machines(&mut self, machines: &[MachineEntry]) -> Vec<Command> {
        self.round(|round| round.on_endpoint_list(ListKind::Delta, machines))
    }
}

/// A machine of ten cores and ten of memory, with so much of both available, in cell and zone 0.
pub fn machine(id: u64, available: f64) -> MachineEntry {
    MachineEntry {
        id: MachineId(id),
        kind: KindId(0),
        cell: CellId(0),
        zone: ZoneId(0),
        state: MachineState::Active,
        started_at: None,
        available: Some(Resources::new(available, available)),
    }
}

/// The machine of the first attempt among the commands.
pub fn sent_to(commands: &[Command]) -> Option<u64> {
    commands.iter().find_map(|command| match command {
        Command::Send(_, machine) => Some(*machine),
        _ => None,
    })
}
