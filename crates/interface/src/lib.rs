//! What the decisions are called with: ids as the wire gives them, settings as types, points in time, and the
//! traits of who hears and who writes.
//!
//! For: types that the module, its adapters and everything around them share.
//! May not touch: anything; nothing here decides or does.

mod pcg;
mod quota;
mod units;

pub use pcg::{Pcg, mix};
pub use quota::{Quota, Ticket};
pub use units::{Duration, Timestamp};

use std::ops::{Add, AddAssign, Sub, SubAssign};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u64);
/// Names a task; the same each time that it comes again, under whatever id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey(pub u64);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineId(pub u64);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u64);
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneId(pub u32);
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellId(pub u32);
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindId(pub usize);
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UseCaseId(pub usize);

/// Cores and memory: a size, an ask, a use or what is left.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    pub cores: f64,
    pub memory: f64,
}

impl Resources {
    pub const ZERO: Self = Self { cores: 0.0, memory: 0.0 };

    pub const fn new(cores: f64, memory: f64) -> Self {
        Self { cores, memory }
    }

    pub fn times(self, cores: f64, memory: f64) -> Self {
        Self::new(self.cores * cores, self.memory * memory)
    }

    pub fn at_least(self, other: Self) -> Self {
        Self::new(self.cores.max(other.cores), self.memory.max(other.memory))
    }

    pub fn at_most(self, other: Self) -> Self {
        Self::new(self.cores.min(other.cores), self.memory.min(other.memory))
    }

    pub fn fits(self, other: Self) -> bool {
        other.cores <= self.cores && other.memory <= self.memory
    }
}

impl Add for Resources {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self::new(self.cores + other.cores, self.memory + other.memory)
    }
}

impl Sub for Resources {
    type Output = Self;
    fn sub(self, other: Self) -> Self {
        Self::new(self.cores - other.cores, self.memory - other.memory)
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureDomain {
    Machine,
    Cell,
    Zone,
    All,
}

/// What a second run of a task would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    /// Repeats are dropped by the machines of one `group`, for `window` after the send that may have run.
    Keyed {
        domain: FailureDomain,
        window: Duration,
    },
    NonIdempotent,
}

#[derive(Clone, Debug)]
pub struct UseCase {
    pub soft_limit: Duration,
    pub client_timeout: Duration,
    pub effect: Idempotency,
    /// For a second of full service of a task of mean size.
    pub earnings: f64,
    pub priority: u8,
    pub kind: Option<KindId>,
    /// Where one service may have at most so many tasks of this scheduler.
    pub spread: Option<(FailureDomain, usize)>,
    /// Service is full while cores are busy up to this part, and nothing at `full_up_to + fade`.
    pub full_up_to: f64,
    pub fade: f64,
}

/// How far machines take tasks, as multiples of their size, and what their yes means.
#[derive(Clone, Copy, Debug)]
pub struct AcceptanceRules {
    pub cores: f64,
    pub memory: f64,
    pub yes_when_running: bool,
    pub max_sends: u32,
    /// Notes tell how well tasks are served and how short memory is.
    pub tells_pressure: bool,
    /// Sends may be called back.
    pub recalls: bool,
}

impl AcceptanceRules {
    /// What a machine of this size takes on beyond it.
    pub fn beyond(&self, size: Resources) -> Resources {
        size.times(self.cores - 1.0, self.memory - 1.0)
    }
}

/// The fourth rule's figures, and among how many schedulers its budget is shared.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    pub warm_after: Duration,
    pub fall: Duration,
    pub young_limit: f64,
    pub schedulers: u32,
    /// Which of them this one is, from 0.
    pub number: u32,
}

/// Whether the list must be asked for, and the silence after which its news counts as told.
#[derive(Clone, Copy, Debug)]
pub struct Discovery {
    pub asked: bool,
    pub ask_within: Duration,
}

/// Where this scheduler stands, the price of tasks that run in another zone, and that of machines in use.
#[derive(Clone, Copy, Debug)]
pub struct LocalityCosts {
    pub zone: ZoneId,
    pub cross_zone_price: f64,
    pub machine_price: f64,
}

/// A task as it comes, to be placed or already running.
#[derive(Clone, Copy, Debug)]
pub struct TaskSpec {
    pub id: TaskId,
    pub key: TaskKey,
    pub use_case: UseCaseId,
    pub service: ServiceId,
    pub ask: Resources,
    pub deadline: Timestamp,
    /// It came before and was refused, failed, moved or lost.
    pub again: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    Active,
    Draining,
    Removed,
}

#[derive(Clone, Copy, Debug)]
pub struct MachineEntry {
    pub id: MachineId,
    pub kind: KindId,
    pub cell: CellId,
    pub zone: ZoneId,
    pub mode: MachineState,
    /// Its last start; nothing where that is long ago.
    pub since: Option<Timestamp>,
    /// What nobody has asked for, where lists tell it.
    pub left: Option<Resources>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Delta,
    Snapshot,
    /// As an earlier life of this scheduler held it; possibly outdated.
    Cached,
}

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Failed,
    Rejected(Rejection),
    TimedOut,
    NoConnection,
    Lost(FailureCause),
    Cancelled,
    NotSent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    Unspecified,
    /// Accepted, and given back before it ran.
    Returned,
    InsufficientCores,
    InsufficientMemory,
    QueueFull,
    NotHere,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    Unspecified,
    Evicted,
    Preempted,
    SentAway,
}

/// What a machine tells of itself; a part that it does not tell is absent.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    pub unused: Option<Resources>,
}

/// Takes the answers, in the order in which they are given.
pub trait Dispatch {
    fn send(&mut self, task: TaskId, machine: MachineId, time_out: Duration);
    fn cancel_attempt(&mut self, task: TaskId, send: u32);
    fn reject(&mut self, task: TaskId, stay_away: Duration);
    fn fail(&mut self, task: TaskId);
    /// Stops a placed task, so that its owner asks again.
    fn preempt(&mut self, task: TaskId);
    fn wake_at(&mut self, token: u64, at: Timestamp);
    fn watch_endpoints(&mut self);
}

impl<W: Dispatch + ?Sized> Dispatch for &mut W {
    fn send(&mut self, task: TaskId, machine: MachineId, time_out: Duration) {
        (**self).send(task, machine, time_out);
    }
    fn cancel_attempt(&mut self, task: TaskId, send: u32) {
        (**self).cancel_attempt(task, send);
    }
    fn reject(&mut self, task: TaskId, stay_away: Duration) {
        (**self).reject(task, stay_away);
    }
    fn fail(&mut self, task: TaskId) {
        (**self).fail(task);
    }
    fn preempt(&mut self, task: TaskId) {
        (**self).preempt(task);
    }
    fn wake_at(&mut self, token: u64, at: Timestamp) {
        (**self).wake_at(token, at);
    }
    fn watch_endpoints(&mut self) {
        (**self).watch_endpoints();
    }
}

/// Hears what came in during one round.
pub trait PolicyEvents {
    fn on_start(&mut self);
    fn on_new_task(&mut self, order: TaskSpec);
    /// A task that runs already has become this scheduler's charge.
    fn on_adopted_task(&mut self, order: TaskSpec, machine: MachineId);
    fn on_accepted(&mut self, task: TaskId);
    fn on_running(&mut self, task: TaskId);
    fn on_usage(&mut self, task: TaskId, cores: Option<f64>, memory: Option<f64>);
    /// The part of full service that a task gets.
    fn on_service_level(&mut self, task: TaskId, share: f64);
    /// The part of its machine's memory in use.
    fn on_machine_memory(&mut self, task: TaskId, share: f64);
    fn on_health_check(&mut self, machine: MachineId, report: LoadReport);
    /// The machine itself told that it started anew, before any list does.
    fn on_machine_restarted(&mut self, machine: MachineId);
    /// The end of a send. Where `over` is not set, the final answer is still to be given.
    fn on_attempt_ended(&mut self, task: TaskId, ending: Outcome, over: bool, report: LoadReport);
    fn on_client_cancelled(&mut self, task: TaskId);
    /// This scheduler is to end: no final answer may come later than then.
    fn on_shutdown(&mut self, at: Timestamp);
    fn on_timer(&mut self, token: u64);
    fn on_watch_failed(&mut self);
    fn on_endpoint_list(&mut self, kind: ListKind, entries: &[MachineEntry]);
}

/// Decides: hears all that came in during a round, and writes its answers by the end of it.
pub trait Policy {
    fn round(&mut self, now: Timestamp, out: &mut dyn Dispatch, tell: &mut dyn FnMut(&mut dyn PolicyEvents));
}
