//! Ends of tasks that machines reported lately, and how those of tasks that are not held reach a client: another
//! scheduler started such a task, which may have died, or an earlier process of this one did. A machine need
//! not report an end to the scheduler that holds the task, so whoever receives it notifies a client.

use crate::recent_map::RecentMap;
use crate::state::SchedulerState;
use crate::tasks::hex;
use mulleinhub_interface::{Duration, MachineId, TaskId, Timestamp};
use mulleinhub_platform_protocol::Cause;
use std::collections::VecDeque;

/// A reported end may matter this long: until the scheduler of its task is known to have died, and its client
/// has waited and retried.
const RETENTION: Duration = Duration::from_secs(60);
/// A task that is not held may be about to be handed over: its end waits this long for that. It is due within a
/// second.
const ADOPTION_GRACE: Duration = Duration::from_nanos(300_000_000);

/// Reported ends, by task and machine, and those of them that wait to be passed on. In memory only.
#[derive(Debug)]
pub struct ReportedEnds {
    causes: RecentMap<(TaskId, MachineId), Cause>,
    /// When each one that waits is passed on, the next first.
    pending: VecDeque<(Timestamp, TaskId, Cause)>,
}

impl Default for ReportedEnds {
    fn default() -> Self {
        Self { causes: RecentMap::new(RETENTION), pending: VecDeque::new() }
    }
}

impl ReportedEnds {
    /// Remembers that a machine reported the end of a task; keeps `max` of them. False where it is known already.
    pub fn record(
        &mut self,
        now: Timestamp,
        task: TaskId,
        machine: MachineId,
        cause: Cause,
        max: usize,
    ) -> bool {
        self.causes.insert(now, (task, machine), cause, max)
    }

    /// How a task that ran on this machine has ended, if its end was reported.
    pub fn cause(&self, task: TaskId, machine: MachineId) -> Option<Cause> {
        self.causes.get(&(task, machine)).copied()
    }

    /// Lets an end wait for its task to be handed over; of more than `max` the oldest are dropped.
    fn defer(&mut self, now: Timestamp, task: TaskId, cause: Cause, max: usize) {
        if self.pending.len() >= max {
            self.pending.pop_front();
        }
        self.pending.push_back((now + ADOPTION_GRACE, task, cause));
    }

    /// The task was handed over: its end waits no more.
    pub fn remove_pending(&mut self, task: TaskId) {
        self.pending.retain(|(_, other, _)| *other != task);
    }

    fn take_due(&mut self, now: Timestamp) -> Option<(TaskId, Cause)> {
        let (_, task, cause) = self.pending.pop_front_if(|(due, ..)| *due <= now)?;
        Some((task, cause))
    }

    /// How many ends are remembered.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.causes.len()
    }
}

impl SchedulerState {
    /// A machine reports the end of a task that is not held. A report that is repeated changes nothing, nor does one
    /// of a task whose client had its final answer from this scheduler.
    pub fn record_unheld_end(&mut self, task: TaskId, machine: MachineId, cause: Cause) {
        let (now, max) = (self.now, self.max_tasks);
        let is_new = self.reported_ends.record(now, task, machine, cause, max);
        if is_new && !self.unwanted_tasks.contains(now, task) {
            tracing::debug!(task = hex(task), machine = machine.0, cause, "end of a task that is not held");
            self.reported_ends.defer(now, task, cause, max);
        }
    }

    /// Passes on the ends that have waited long enough for their tasks to be handed over. A task that was handed over
    /// meanwhile runs on another machine than the one that reported its end.
    pub fn pass_on_unheld_ends(&mut self) {
        while let Some((task, cause)) = self.reported_ends.take_due(self.now) {
            let is_held = self.tasks.by_id.contains_key(&task) || self.adoptions.is_pending(task);
            if !is_held && self.clients.unreported_ends.len() < self.max_tasks {
                self.counts.unheld_ends += 1;
                self.report_end(None, task, cause);
            }
        }
    }
}
