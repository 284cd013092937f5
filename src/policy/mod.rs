//! All decisions of mulleinhub, with every table and tuned value beside the code that uses it.
//!
//! A scheduling round, `policy.round(now, &mut dispatch, |events| { events.on_new_task(..); .. })`, delivers
//! all events that arrived and ends with the placement of pending tasks. Events and commands are the traits
//! of `crates/interface`; the design is docs/design.md.
//!
//! `placement` is the ordinary path, to be read first. `preemption` relieves hot machines, `retry` decides on
//! further attempts and final answers, `queue` on the order of pending tasks, and `lifecycle` follows a task
//! from its arrival to its end. Beside the ordinary path stand these mechanisms, six at most:
//! 1. circuit breakers and slow start (`admission`): a machine gets no attempts of a use case for a cool-down
//!    after faults, longer each time; a machine that started recently has a limit of starts in flight
//! 2. stale views (`cluster_view`): a rejection for lack of resources counts until a view can show it; a list
//!    without news decays towards the mean of all machines
//! 3. overcommit (`placement`): where few machines have the resources requested, what machines accept beyond
//!    their capacity counts too
//! 4. pressure (`pressure`): machines that serve poorly or start slowly come last; missed service and starts
//!    in flight make a machine rank as fuller
//! 5. rank penalties (`placement`): for machines without the service's program, in the service's own order of
//!    preferred machines, and for opening an unused machine
//! 6. order of pending tasks (`queue`): by value, those that can still start in time before late ones

mod admission;
mod cluster_view;
mod lifecycle;
mod placement;
mod preemption;
mod pressure;
mod queue;
mod retry;
#[cfg(test)]
mod tests;

use crate::interface::*;
use crate::slot_map::SlotMap;
use crate::state::{Machine, MachineSlot, Task, TaskSlot, TaskState};
use placement::{Candidate, ServiceCount};
use preemption::PreemptedTask;
use std::collections::VecDeque;

pub(crate) use queue::TICK_TIMER;

/// Peaks of usage are kept over this window (design).
const PEAK_WINDOW: Duration = Duration::from_secs(30);

/// The scheduling policy of one scheduler. It is driven by one thread, round by round, and keeps its state in
/// memory only: after a restart it learns tasks and machines anew from its events.
pub struct PlacementPolicy {
    settings: PolicySettings,
    lowest_priority: u8,
    /// How long a start typically takes, on a machine with and without the program.
    typical_start: [Duration; 2],
    random: Pcg,
    /// When this incarnation of the scheduler started.
    started_at: Timestamp,
    tasks: SlotMap<TaskSlot, TaskId, Task>,
    machines: SlotMap<MachineSlot, MachineId, Machine>,
    pending: Vec<TaskSlot>,
    /// Tasks that were preempted most recently, oldest first.
    preempted: VecDeque<PreemptedTask>,
    /// Scratch memory of one placement: the machines that fit.
    candidates: Vec<Candidate>,
    /// Scratch memory of one placement: where tasks of the service are.
    service_counts: Vec<ServiceCount>,
    is_tick_scheduled: bool,
    /// Starts in flight on all machines together, so that a large cluster is not walked to find that there
    /// are none.
    starting: usize,
    /// Failures of the watch in a row.
    watch_failures: u32,
    /// When an endpoint list last arrived, and the mean share of capacity that it showed as available.
    last_list_at: Timestamp,
    mean_available_share: Resources,
}

/// One scheduling round. It receives the events of the round as [`PolicyEvents`].
pub struct SchedulingRound<'a, D: Dispatch> {
    policy: &'a mut PlacementPolicy,
    now: Timestamp,
    dispatch: &'a mut D,
}

impl PlacementPolicy {
    /// A policy that knows no tasks and no machines yet. The same seed and events give the same commands.
    pub fn new(seed: u64, settings: PolicySettings) -> Self {
        let lowest_priority = settings.use_cases.iter().map(|case| case.priority).min().unwrap_or(0);
        Self {
            settings,
            lowest_priority,
            typical_start: [Duration::ZERO; 2],
            random: Pcg::new(seed),
            started_at: Timestamp::default(),
            tasks: SlotMap::with_capacity(4096),
            machines: SlotMap::with_capacity(64),
            pending: Vec::with_capacity(1024),
            preempted: VecDeque::with_capacity(preemption::HISTORY),
            candidates: Vec::with_capacity(64),
            service_counts: Vec::with_capacity(64),
            is_tick_scheduled: false,
            starting: 0,
            watch_failures: 0,
            last_list_at: Timestamp::default(),
            mean_available_share: Resources::ZERO,
        }
    }

    /// Runs one scheduling round: `deliver` reports the events that arrived, then pending tasks are placed.
    /// Returns what `deliver` returns.
    pub fn round<D: Dispatch, T>(
        &mut self,
        now: Timestamp,
        dispatch: &mut D,
        deliver: impl FnOnce(&mut SchedulingRound<'_, D>) -> T,
    ) -> T {
        let mut round = SchedulingRound { policy: self, now, dispatch };
        let result = deliver(&mut round);
        round.place_pending();
        result
    }

    fn use_case(&self, task: TaskSlot) -> &UseCase {
        &self.settings.use_cases[self.tasks[task].spec.use_case.0]
    }

    fn has_lowest_priority(&self, task: TaskSlot) -> bool {
        self.use_case(task).priority == self.lowest_priority
    }

    /// A running task and its machine.
    fn placed_task(&self, id: TaskId) -> Option<(TaskSlot, MachineSlot)> {
        let slot = self.tasks.slot(id)?;
        let task = &self.tasks[slot];
        (task.state == TaskState::Placed).then(|| (slot, task.attempt_machine()))
    }

    /// Number of schedulers of the cluster, at least this one.
    fn scheduler_count(&self) -> u32 {
        self.settings.slow_start.scheduler_count.max(1)
    }
}
