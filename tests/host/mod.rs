//! A tiny fake host: it takes down what one brain answers, and tells it what the story says.

use mulleinhub::interface::*;
use mulleinhub::{Duration, PlacementPolicy, SchedulingRound, Timestamp};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Said {
    Send(u64, u64),
    Rejection(u64),
    Error(u64),
    Move(u64),
    Recall(u64, u32),
    Watch,
    /// When the list is asked for again, in milliseconds.
    WatchAt(u64),
}

#[derive(Default)]
pub struct Notebook(pub Vec<Said>);

impl Dispatch for Notebook {
    fn send(&mut self, task: TaskId, machine: MachineId, _: Duration) {
        self.0.push(Said::Send(task.0, machine.0));
    }
    fn cancel_attempt(&mut self, task: TaskId, send: u32) {
        self.0.push(Said::Recall(task.0, send));
    }
    fn reject(&mut self, task: TaskId, _: Duration) {
        self.0.push(Said::Rejection(task.0));
    }
    fn fail(&mut self, task: TaskId) {
        self.0.push(Said::Error(task.0));
    }
    fn preempt(&mut self, task: TaskId) {
        self.0.push(Said::Move(task.0));
    }
    fn wake_at(&mut self, token: u64, at: Timestamp) {
        if token == 1 {
            self.0.push(Said::WatchAt(at.nanos() / 1_000_000));
        }
    }
    fn watch_endpoints(&mut self) {
        self.0.push(Said::Watch);
    }
}

/// Use case 0 is high-priority, 1 is low; both replayable unless the story changes that before `up`.
pub struct Host {
    pub use_cases: Vec<UseCase>,
    pub asked: bool,
    pub tells_pressure: bool,
    pub machine_price: f64,
    /// So many times its size a machine accepts; once, unless the story is about more.
    pub accepts: f64,
    pub young_limit: f64,
    pub schedulers: u32,
    pub number: u32,
    pub seed: u64,
    pub millis: u64,
    pub brain: Option<PlacementPolicy>,
}

pub const HIGH: usize = 0;
pub const LOW: usize = 1;

pub fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

impl Host {
    pub fn new() -> Self {
        let use_case = |priority| UseCase {
            latency_objective: secs(1),
            client_timeout: secs(8),
            idempotency: Idempotency::Idempotent,
            value_per_second: f64::from(priority) + 1.0,
            priority,
            machine_kind: None,
            spread: None,
            saturation_threshold: 0.8,
            degradation_range: 0.2,
        };
        let use_cases = vec![use_case(1), use_case(0)];
        Self {
            use_cases,
            asked: false,
            tells_pressure: true,
            machine_price: 0.0,
            accepts: 1.0,
            young_limit: 12.0,
            schedulers: 3,
            number: 0,
            seed: 7,
            millis: 100_000,
            brain: None,
        }
    }

    pub fn up(mut self, machines: &[MachineEntry]) -> Self {
        self.restart();
        self.tell(|r| r.on_endpoint_list(ListKind::Cached, machines));
        self
    }

    /// A new life: all that the last one knew is gone.
    pub fn restart(&mut self) {
        self.brain = Some(PlacementPolicy::new(
            self.seed,
            PolicySettings {
                use_cases: self.use_cases.clone(),
                machine_kinds: vec![Resources::new(10.0, 10.0), Resources::new(20.0, 20.0)],
                acceptance: AcceptanceRules {
                    cores_overcommit: self.accepts,
                    memory_overcommit: self.accepts,
                    accepts_when_running: false,
                    max_attempts: 3,
                    reports_pressure: self.tells_pressure,
                    supports_cancel: true,
                },
                slow_start: SlowStart {
                    warm_up_time: secs(10),
                    budget_window: secs(1),
                    attempt_budget: self.young_limit,
                    scheduler_count: self.schedulers,
                    scheduler_index: self.number,
                },
                discovery: Discovery { watch_required: self.asked, max_staleness: secs(10) },
                locality: LocalityCosts {
                    local_zone: ZoneId(0),
                    cross_zone_cost: 0.1,
                    machine_cost: self.machine_price,
                },
            },
        ));
    }

    pub fn now(&self) -> Timestamp {
        Timestamp::from_nanos(self.millis * 1_000_000)
    }

    /// One round; gives back what was said in it.
    pub fn tell<T>(&mut self, story: impl FnOnce(&mut SchedulingRound<'_, Notebook>) -> T) -> Vec<Said> {
        let mut notebook = Notebook::default();
        let now = self.now();
        self.brain.as_mut().expect("is up").round(now, &mut notebook, story);
        notebook.0
    }

    /// Lets time pass, with the tick that the brain waits for.
    pub fn after(&mut self, millis: u64) -> Vec<Said> {
        self.millis += millis;
        self.tell(|r| r.on_timer(0))
    }

    pub fn order(&self, id: u64, use_case: usize, ask: f64) -> TaskSpec {
        TaskSpec {
            id: TaskId(id),
            key: TaskKey(id),
            use_case: UseCaseId(use_case),
            service: ServiceId(id),
            request: Resources::new(ask, ask),
            deadline: self.now() + self.use_cases[use_case].client_timeout,
            is_resubmitted: false,
        }
    }

    pub fn ask(&mut self, id: u64, use_case: usize, ask: f64) -> Vec<Said> {
        let order = self.order(id, use_case, ask);
        self.tell(|r| r.on_new_task(order))
    }

    pub fn runs_on(&mut self, id: u64, use_case: usize, ask: f64, machine: u64) {
        let order = self.order(id, use_case, ask);
        self.tell(|r| r.on_adopted_task(order, MachineId(machine)));
    }

    pub fn ends(&mut self, id: u64, ending: Outcome) -> Vec<Said> {
        self.tell(|r| r.on_attempt_ended(TaskId(id), ending, false, LoadReport::default()))
    }
}

/// A machine of ten cores and ten of memory, with so much of both left, in cell and zone 0.
pub fn machine(id: u64, left: f64) -> MachineEntry {
    MachineEntry {
        id: MachineId(id),
        kind: KindId(0),
        cell: CellId(0),
        zone: ZoneId(0),
        state: MachineState::Active,
        started_at: None,
        available: Some(Resources::new(left, left)),
    }
}

pub fn sent_to(said: &[Said]) -> Option<u64> {
    said.iter().find_map(|s| if let Said::Send(_, machine) = s { Some(*machine) } else { None })
}
