//! Tasks that are no longer held and may have run here: those that must not run twice, so that a request that
//! comes again under such an id is refused, and those of which a copy may run that nobody wants.

use crate::recent_map::RecentMap;
use crate::state::SchedulerState;
use crate::tasks::TaskRecord;
use mulleinhub_interface::{Duration, FailureDomain, Idempotency, TaskId, Timestamp};

/// A request may come again under its id within this: far longer than clients and networks take.
const RUN_RETENTION: Duration = Duration::from_secs(60);
/// A copy that nobody wants may end within this.
const UNWANTED_RETENTION: Duration = Duration::from_secs(3_600);

/// The ids of tasks, kept for a while after they were last held. In memory only.
#[derive(Debug)]
pub struct RecentTasks {
    retention: Duration,
    /// How many are kept.
    max: usize,
    /// When each was last held.
    held_at: RecentMap<TaskId, Timestamp>,
}

impl RecentTasks {
    fn new(retention: Duration, max: usize) -> Self {
        Self { retention, max, held_at: RecentMap::new(retention) }
    }

    /// For tasks that must not run twice.
    pub fn that_ran(max: usize) -> Self {
        Self::new(RUN_RETENTION, max)
    }

    /// For tasks whose clients cancelled them or had another final answer than an acceptance: the end of a copy
    /// that runs all the same would be a second answer.
    pub fn unwanted(max: usize) -> Self {
        Self::new(UNWANTED_RETENTION, max)
    }

    /// This task was held until now.
    fn record(&mut self, now: Timestamp, task: TaskId) {
        self.held_at.insert(now, task, now, self.max);
    }

    /// Whether a task with this id was held lately.
    pub fn contains(&self, now: Timestamp, task: TaskId) -> bool {
        self.held_at.get(&task).is_some_and(|at| now - *at <= self.retention)
    }
}

impl SchedulerState {
    /// This task is held no longer.
    pub fn forget_task(&mut self, id: TaskId) -> Option<TaskRecord> {
        let task = self.tasks.by_id.remove(&id)?;
        if let Some(attempt) = task.running_attempt() {
            self.tasks.remove_running(id, attempt.machine);
        }
        let idempotency = self.settings.use_cases[task.spec.use_case.0].idempotency;
        let may_repeat = matches!(
            idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { domain: FailureDomain::Cluster, .. }
        );
        if task.may_have_run_since.is_none() {
            return Some(task);
        }
        if !may_repeat {
            self.ran_tasks.record(self.now, id);
        }
        if task.is_cancelled() {
            self.unwanted_tasks.record(self.now, id);
        }
        Some(task)
    }
}
