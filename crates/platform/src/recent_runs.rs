//! Tasks that are no longer held and may have run here, of those that must not run twice: a request that comes
//! again under such an id is refused.

use crate::state::SchedulerState;
use crate::tasks::TaskRecord;
use mulleinhub_interface::{Duration, FailureDomain, Idempotency, TaskId, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// A request may come again under its id within this: far longer than clients and networks take.
const RETENTION: Duration = Duration::from_secs(60);

/// The ids of such tasks. In memory only.
#[derive(Debug, Default)]
pub struct RecentRuns {
    /// Each with when it was last held.
    ids: BTreeMap<TaskId, Timestamp>,
    /// The same, oldest first.
    by_age: VecDeque<(Timestamp, TaskId)>,
}

impl RecentRuns {
    /// This task may have run; keeps `max` of them.
    fn record(&mut self, now: Timestamp, task: TaskId, max: usize) {
        let is_over = |at: Timestamp, count: usize| count >= max || now - at > RETENTION;
        while self.by_age.front().is_some_and(|(at, _)| is_over(*at, self.by_age.len())) {
            let (_, oldest) = self.by_age.pop_front().expect("checked to be there");
            self.ids.remove(&oldest);
        }
        if self.ids.insert(task, now).is_none() {
            self.by_age.push_back((now, task));
        }
    }

    /// Whether a task with this id may have run lately.
    pub fn contains(&self, now: Timestamp, task: TaskId) -> bool {
        self.ids.get(&task).is_some_and(|at| now - *at <= RETENTION)
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
        if task.may_have_run_since.is_some() && !may_repeat {
            self.recent_runs.record(self.now, id, self.max_tasks);
        }
        Some(task)
    }
}
