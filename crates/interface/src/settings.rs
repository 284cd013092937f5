//! The settings of a scheduling policy.

use crate::{Duration, Resources, UseCase, ZoneId};

/// All settings of a scheduling policy.
#[derive(Clone, Debug)]
pub struct PolicySettings {
    /// The use cases, by [`UseCaseId`](crate::UseCaseId).
    pub use_cases: Vec<UseCase>,
    /// The capacity of each kind of machine, by [`KindId`](crate::KindId).
    pub machine_kinds: Vec<Resources>,
    /// What machines accept.
    pub acceptance: AcceptanceRules,
    /// Limits for machines that started recently.
    pub slow_start: SlowStart,
    /// How the endpoint list is obtained.
    pub discovery: Discovery,
    /// Costs that depend on where tasks run.
    pub locality: LocalityCosts,
}

/// How far machines accept tasks beyond their capacity, and what their acceptance means.
#[derive(Clone, Copy, Debug)]
pub struct AcceptanceRules {
    /// Machines accept requests up to this multiple of their cores.
    pub cores_overcommit: f64,
    /// Machines accept requests up to this multiple of their memory.
    pub memory_overcommit: f64,
    /// A machine accepts a task only once it runs, so that acceptance and start are one event.
    pub accepts_when_running: bool,
    /// How many attempts a submission may have.
    pub max_attempts: u32,
    /// Machines report how well tasks are served and how short memory is.
    pub reports_pressure: bool,
    /// An attempt in flight can be cancelled.
    pub supports_cancel: bool,
}

impl AcceptanceRules {
    /// What a machine of this capacity accepts beyond its capacity.
    pub fn overcommit_allowance(&self, capacity: Resources) -> Resources {
        capacity.scaled(self.cores_overcommit - 1.0, self.memory_overcommit - 1.0)
    }
}

/// The limits for machines that started recently: all schedulers together may make at most `attempt_budget`
/// attempts on such a machine within any `budget_window`.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// How long after its start a machine counts as warming up.
    pub warm_up_time: Duration,
    /// The window over which attempts are counted.
    pub budget_window: Duration,
    /// Attempts within one window, of all schedulers together.
    pub attempt_budget: f64,
    /// Number of schedulers that share the budget.
    pub scheduler_count: u32,
    /// The index of this scheduler among them, from 0.
    pub scheduler_index: u32,
}

/// How the endpoint list is obtained.
#[derive(Clone, Copy, Debug)]
pub struct Discovery {
    /// The scheduler has to request the watch itself; otherwise lists arrive unrequested.
    pub watch_required: bool,
    /// After so long without a message, the last list counts as outdated.
    pub max_staleness: Duration,
}

/// Where this scheduler runs, and what it costs to run tasks elsewhere or to use more machines.
#[derive(Clone, Copy, Debug)]
pub struct LocalityCosts {
    /// The scheduler's own zone.
    pub local_zone: ZoneId,
    /// Cost of a task that runs in another zone; 0 for none.
    pub cross_zone_cost: f64,
    /// Cost of a machine in use; 0 for none.
    pub machine_cost: f64,
}
