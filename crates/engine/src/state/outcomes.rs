//! Outcomes of attempts that this side has established and that are not handled yet.

use crate::task::AttemptId;
use mulleinhub_interface::Outcome;
use std::collections::VecDeque;

/// One outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptOutcome {
    /// The attempt.
    pub attempt: AttemptId,
    /// How it ended.
    pub outcome: Outcome,
}

/// Outcomes in the order in which they were established: in the last scheduling round, or while frames are
/// handled. They are reported to the policy within the iteration.
#[derive(Debug, Default)]
pub struct PendingOutcomes {
    queue: VecDeque<AttemptOutcome>,
}

impl PendingOutcomes {
    /// An attempt has ended so.
    pub fn push(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.queue.push_back(AttemptOutcome { attempt, outcome });
    }

    /// The oldest outcome.
    pub fn pop(&mut self) -> Option<AttemptOutcome> {
        self.queue.pop_front()
    }

    /// Whether the end of this attempt is known already.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.queue.iter().any(|known| known.attempt == attempt)
    }

    /// The outcome of this attempt was handled.
    pub fn remove(&mut self, attempt: AttemptId) {
        self.queue.retain(|known| known.attempt != attempt);
    }

    /// The machine's acceptance arrived before the outcome was handled: outcomes that only this side decided
    /// on give way, lost connections do not.
    pub fn override_by_acceptance(&mut self, attempt: AttemptId) {
        self.queue.retain(|known| {
            known.attempt != attempt || matches!(known.outcome, Outcome::Lost(_) | Outcome::ConnectionFailed)
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
