//! Outcomes of attempts that this side has established and that are not handled yet.

use mulleinhub_interface::{Outcome, TaskId};
use std::collections::VecDeque;

/// One outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptOutcome {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
}

impl AttemptOutcome {
    /// This outcome of an attempt.
    pub fn new(task: TaskId, attempt: u32, outcome: Outcome) -> Self {
        Self { task, attempt, outcome }
    }

    fn is_of(&self, task: TaskId, attempt: u32) -> bool {
        (self.task, self.attempt) == (task, attempt)
    }
}

/// Outcomes in the order in which they were established: in the last scheduling round, or while frames are
/// handled. The policy is told of them within the iteration.
#[derive(Debug, Default)]
pub struct PendingOutcomes {
    queue: VecDeque<AttemptOutcome>,
}

impl PendingOutcomes {
    /// An attempt has ended so.
    pub fn push(&mut self, task: TaskId, attempt: u32, outcome: Outcome) {
        self.queue.push_back(AttemptOutcome::new(task, attempt, outcome));
    }

    /// The oldest outcome.
    pub fn pop(&mut self) -> Option<AttemptOutcome> {
        self.queue.pop_front()
    }

    /// Whether the end of this attempt is known already.
    pub fn contains(&self, task: TaskId, attempt: u32) -> bool {
        self.queue.iter().any(|known| known.is_of(task, attempt))
    }

    /// The outcome of this attempt was handled.
    pub fn remove(&mut self, task: TaskId, attempt: u32) {
        self.queue.retain(|known| !known.is_of(task, attempt));
    }

    /// The machine's acceptance arrived before the outcome was handled: outcomes that only this side decided
    /// on give way, lost connections do not.
    pub fn override_by_acceptance(&mut self, task: TaskId, attempt: u32) {
        self.queue.retain(|known| {
            !known.is_of(task, attempt) || matches!(known.outcome, Outcome::Lost(_) | Outcome::NoConnection)
        });
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// How many wait.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.queue.len()
    }
}

impl Extend<AttemptOutcome> for PendingOutcomes {
    fn extend<I: IntoIterator<Item = AttemptOutcome>>(&mut self, outcomes: I) {
        self.queue.extend(outcomes);
    }
}
