//! The records that the policy keeps of each task and each machine, in memory only. Nothing here decides.

use crate::interface::*;
use crate::slot_map::Slot;
use crate::windowed_max::WindowedMax;
use std::collections::VecDeque;

/// Changes beyond so many are merged with their successor, which bounds memory without endpoint lists.
const MAX_UNREPORTED_CHANGES: usize = 64;

/// The slot of a task record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskSlot(usize);

/// The slot of a machine record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineSlot(usize);

impl Slot for TaskSlot {
    fn from_index(index: usize) -> Self {
        Self(index)
    }
    fn index(self) -> usize {
        self.0
    }
}

impl Slot for MachineSlot {
    fn from_index(index: usize) -> Self {
        Self(index)
    }
    fn index(self) -> usize {
        self.0
    }
}

/// Where a task is in its life.
#[derive(Clone, Copy, PartialEq)]
pub enum TaskState {
    /// No attempt is in flight.
    Pending,
    /// An attempt is in flight and not accepted yet.
    Sent,
    /// A machine has accepted it.
    Placed,
    /// Cancelled by its client or preempted; only the end of its last attempt is still to come.
    Terminating,
}

/// A machine and the failure domains that it belongs to.
#[derive(Clone, Copy)]
pub struct Location {
    pub machine: MachineId,
    pub cell: CellId,
    pub zone: ZoneId,
}

/// The first attempt that may have executed a task.
#[derive(Clone, Copy)]
pub struct PossibleRun {
    pub sent_at: Timestamp,
    pub location: Location,
}

/// A task that this scheduler answers for.
pub struct Task {
    pub spec: TaskSpec,
    pub state: TaskState,
    pub arrived_at: Timestamp,
    /// What placement reserves for it: its request, or its peak usage where this scheduler preempted it.
    pub reservation: Resources,
    /// No machine was found the last time that it was considered.
    pub is_waiting: bool,
    /// An attempt was sent, and the task is not known to run yet.
    pub is_starting: bool,
    /// Number of attempts so far.
    pub attempts: u32,
    /// The last attempt went to a machine without its service's program.
    pub started_without_program: bool,
    /// The machine of its last attempt.
    pub machine: Option<MachineSlot>,
    /// When its last attempt was sent.
    pub sent_at: Timestamp,
    pub possible_run: Option<PossibleRun>,
    /// The machine whose attempt ended last; the next attempt avoids it.
    pub avoided_machine: Option<MachineSlot>,
    /// A machine failed to run it.
    pub has_failed: bool,
    pub peak_cores: WindowedMax,
    pub peak_memory: WindowedMax,
    pub last_usage: Resources,
    /// Its part of its machine's slack.
    pub slack: Resources,
}

/// A circuit breaker: no attempt is made while it is open.
#[derive(Clone, Copy)]
pub struct CircuitBreaker {
    /// When the machine last answered.
    pub last_answer_at: Timestamp,
    pub open_until: Timestamp,
    /// How often in a row it opened.
    pub trips: u32,
}

/// Until when a machine counts as under pressure, by resource, unless a better report comes.
pub struct PressureUntil {
    pub cores: Timestamp,
    pub memory: Timestamp,
}

/// A task of this scheduler on a machine.
#[derive(Clone, Copy)]
pub struct HostedTask {
    pub slot: TaskSlot,
    pub service: ServiceId,
}

/// A machine as this scheduler sees it.
pub struct Machine {
    pub id: MachineId,
    pub kind: KindId,
    pub cell: CellId,
    pub zone: ZoneId,
    pub capacity: Resources,
    /// As the endpoint list has it; one that no list names counts as removed.
    pub state: MachineState,
    pub started_at: Option<Timestamp>,
    /// Capacity minus the requests of all tasks, by the last endpoint list.
    pub reported_available: Resources,
    /// Own requests (negative) and ends (positive) that the endpoint list may not show yet.
    unreported: VecDeque<(Timestamp, Resources)>,
    unreported_sum: Resources,
    /// Own tasks whose last attempt has not ended, oldest first.
    pub tasks: Vec<HostedTask>,
    /// Sum of the last reported usage of these tasks.
    pub usage: Resources,
    /// Services whose tasks ended here most recently, oldest first.
    pub recent_services: VecDeque<ServiceId>,
    /// Predicted slack: request minus peak usage, over own tasks of high priority.
    pub slack: Resources,
    pub cores_utilization: WindowedMax,
    pub memory_utilization: WindowedMax,
    /// The share of service that a task missed.
    pub missed_service: WindowedMax,
    pub pressure_until: PressureUntil,
    /// Starts in flight.
    pub starting: usize,
    /// How many starts may be in flight.
    pub start_limit: f64,
    /// When it restarted by its own word, or an attempt or a task was lost with it.
    pub lost_at: Option<Timestamp>,
    /// By use case, as a machine may leave only one of them unanswered or rejected.
    pub breakers: Vec<CircuitBreaker>,
    /// When attempts were sent while it was warming up.
    pub warm_up_attempts: VecDeque<Timestamp>,
}

impl Task {
    /// A record without attempts. Peaks are kept over `peak_window`.
    pub fn new(spec: TaskSpec, state: TaskState, peak_window: Duration, now: Timestamp) -> Self {
        Self {
            spec,
            state,
            arrived_at: now,
            reservation: spec.request,
            is_waiting: false,
            is_starting: false,
            attempts: 0,
            started_without_program: false,
            machine: None,
            sent_at: now,
            possible_run: None,
            avoided_machine: None,
            has_failed: false,
            peak_cores: WindowedMax::new(peak_window),
            peak_memory: WindowedMax::new(peak_window),
            last_usage: Resources::ZERO,
            slack: Resources::ZERO,
        }
    }

    /// Its peak usage within the window; its request where none was reported.
    pub fn peak_usage(&self, now: Timestamp) -> Resources {
        let request = self.spec.request;
        Resources::new(
            self.peak_cores.max(now).unwrap_or(request.cores),
            self.peak_memory.max(now).unwrap_or(request.memory),
        )
    }

    /// The machine of its last attempt.
    ///
    /// # Panics
    /// Before its first attempt.
    pub fn attempt_machine(&self) -> MachineSlot {
        self.machine.expect("a task with an attempt has a machine")
    }
}

impl Machine {
    /// A machine that no endpoint list has named yet. Peaks are kept over `peak_window`.
    pub fn new(id: MachineId, peak_window: Duration, use_cases: usize, now: Timestamp) -> Self {
        Self {
            id,
            kind: KindId(usize::MAX),
            cell: CellId(u32::MAX),
            zone: ZoneId(u32::MAX),
            capacity: Resources::ZERO,
            state: MachineState::Removed,
            started_at: None,
            reported_available: Resources::ZERO,
            unreported: VecDeque::with_capacity(16),
            unreported_sum: Resources::ZERO,
            tasks: Vec::with_capacity(32),
            usage: Resources::ZERO,
            recent_services: VecDeque::with_capacity(16),
            slack: Resources::ZERO,
            cores_utilization: WindowedMax::new(peak_window),
            memory_utilization: WindowedMax::new(peak_window),
            missed_service: WindowedMax::new(peak_window),
            pressure_until: PressureUntil { cores: now, memory: now },
            starting: 0,
            start_limit: f64::INFINITY,
            lost_at: None,
            breakers: vec![CircuitBreaker { last_answer_at: now, open_until: now, trips: 0 }; use_cases],
            warm_up_attempts: VecDeque::new(),
        }
    }

    /// The machine and its failure domains.
    pub fn location(&self) -> Location {
        Location { machine: self.id, cell: self.cell, zone: self.zone }
    }

    /// Whether a report says that cores or memory are short.
    pub fn is_under_pressure(&self, now: Timestamp) -> bool {
        self.pressure_until.cores > now || self.pressure_until.memory > now
    }

    /// Whether it is in the same domain of this kind as `other`.
    pub fn shares_domain(&self, domain: FailureDomain, other: Location) -> bool {
        match domain {
            FailureDomain::Cluster => true,
            FailureDomain::Zone => self.zone == other.zone,
            FailureDomain::Cell => self.cell == other.cell,
            FailureDomain::Machine => self.id == other.machine,
        }
    }

    /// Number of own tasks of the service here.
    pub fn tasks_of(&self, service: ServiceId) -> usize {
        self.tasks.iter().filter(|task| task.service == service).count()
    }

    /// It neither hosts a task of the service nor is assumed to cache its program.
    pub fn lacks_program(&self, service: ServiceId) -> bool {
        !self.recent_services.contains(&service) && self.tasks_of(service) == 0
    }

    /// Records a change of own requests that endpoint lists cannot show yet.
    pub fn record_change(&mut self, now: Timestamp, change: Resources) {
        if self.unreported.len() >= MAX_UNREPORTED_CHANGES {
            let (_, oldest) = self.unreported.pop_front().expect("is long");
            self.unreported.front_mut().expect("is long").1 += oldest;
        }
        self.unreported.push_back((now, change));
        self.unreported_sum += change;
    }

    /// Drops the changes that are older than `max_age`: a new endpoint list shows them.
    pub fn drop_reported_changes(&mut self, now: Timestamp, max_age: Duration) {
        while self.unreported.front().is_some_and(|(at, _)| now - *at > max_age) {
            self.unreported.pop_front();
        }
        self.unreported_sum = self.unreported.iter().fold(Resources::ZERO, |sum, (_, change)| sum + *change);
    }

    /// Records an attempt while it is warming up, and drops those older than `window`.
    pub fn record_warm_up_attempt(&mut self, now: Timestamp, window: Duration) {
        self.warm_up_attempts.retain(|sent_at| now - *sent_at <= window);
        self.warm_up_attempts.push_back(now);
    }

    /// Records that a task of the service ended here, and keeps the latest `capacity` services.
    pub fn record_recent_service(&mut self, service: ServiceId, capacity: usize) {
        self.recent_services.retain(|recent| *recent != service);
        self.recent_services.push_back(service);
        if self.recent_services.len() > capacity {
            self.recent_services.pop_front();
        }
    }

    /// What the endpoint list shows as available, corrected by the changes that it cannot show yet.
    pub fn available(&self) -> Resources {
        self.reported_available + self.unreported_sum
    }
}
