//! Which attempt an unsent frame carries.

use crate::task::AttemptId;
use std::collections::BTreeMap;

/// Names the offers that may not have left this process. A token names one offer and is never used again.
#[derive(Debug, Default)]
pub struct SendTokens {
    attempts: BTreeMap<u64, AttemptId>,
    last: u64,
}

impl SendTokens {
    /// The next token, which names no attempt yet.
    pub fn issue(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// This token names this attempt from now on.
    pub fn assign(&mut self, token: u64, attempt: AttemptId) {
        self.attempts.insert(token, attempt);
    }

    /// The attempt that this token names, until it is released.
    pub fn attempt(&self, token: u64) -> Option<AttemptId> {
        self.attempts.get(&token).copied()
    }

    /// Nobody asks for this token any more.
    pub fn release(&mut self, token: u64) {
        self.attempts.remove(&token);
    }

    /// How many tokens name an attempt.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.attempts.len()
    }
}
