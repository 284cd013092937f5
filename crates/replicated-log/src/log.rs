//! One log: its chained entries since the last snapshot, the state that they lead to, and a second branch
//! where the writer's chain has forked.

use crate::digest::Digest;
use crate::dirty_teams::BalanceChange;
use crate::entry::Entry;
use crate::error::LogError;
use crate::log_id::LogId;
use crate::state::LogState;
use std::collections::VecDeque;
use std::sync::Arc;

/// An encoded entry, and the digest of the log up to it.
#[derive(Clone, Debug, PartialEq)]
pub struct ChainedEntry {
    /// The encoded entry.
    pub bytes: Arc<[u8]>,
    /// The digest up to and with this entry.
    pub digest: Digest,
}

/// Entries that chain to a number of the log, but not to the next entry that we have.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Branch {
    /// The last number that both have.
    pub from: u64,
    /// The state at that number.
    pub before: LogState,
    /// The state at the head of the branch.
    pub state: LogState,
    /// The number of its last entry.
    pub head: u64,
    /// The digest up to its last entry.
    pub digest: Digest,
}

/// The effect of an entry that was appended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendEffect {
    /// The entries before it were dropped.
    pub is_snapshot: bool,
    /// Whose balances it may have changed.
    pub balance_change: BalanceChange,
}

/// A log, or a copy of another scheduler's.
#[derive(Clone, Debug, PartialEq)]
pub struct Log {
    /// The number before the first retained entry, and the digest up to it.
    compacted_through: u64,
    compacted_digest: Digest,
    entries: VecDeque<ChainedEntry>,
    state: LogState,
    pub(crate) branch: Option<Box<Branch>>,
}

impl Log {
    /// The empty log of an incarnation that begins.
    pub fn new(id: &LogId) -> Self {
        Self::starting_after(0, Digest::first(id))
    }

    /// A log whose entries up to a number are compacted everywhere; the next one is a snapshot.
    pub fn starting_after(compacted_through: u64, compacted_digest: Digest) -> Self {
        let (entries, state) = (VecDeque::new(), LogState::default());
        Self { compacted_through, compacted_digest, entries, state, branch: None }
    }

    /// The state at the head.
    pub fn state(&self) -> &LogState {
        &self.state
    }

    /// The number before the first retained entry, and the digest up to it.
    pub fn compacted_through(&self) -> (u64, Digest) {
        (self.compacted_through, self.compacted_digest)
    }

    /// The number of the last entry, and the digest up to it.
    pub fn head(&self) -> (u64, Digest) {
        let number = self.compacted_through + self.entries.len() as u64;
        (number, self.entries.back().map_or(self.compacted_digest, |entry| entry.digest))
    }

    /// How many entries are retained: the last snapshot and those after it.
    pub fn retained(&self) -> usize {
        self.entries.len()
    }

    /// The writer has written different entries with the same number.
    pub fn is_forked(&self) -> bool {
        self.branch.is_some()
    }

    /// The digest up to a number; nothing where that is compacted, or beyond the head.
    pub fn digest_at(&self, number: u64) -> Option<Digest> {
        if number == self.compacted_through {
            return Some(self.compacted_digest);
        }
        let at = number.checked_sub(self.compacted_through + 1)?;
        self.entries.get(usize::try_from(at).ok()?).map(|entry| entry.digest)
    }

    /// The entries after a number, which is not less than that of [`Self::compacted_through`].
    pub fn entries_after(&self, number: u64) -> impl Iterator<Item = &ChainedEntry> {
        self.entries.iter().skip((number - self.compacted_through) as usize)
    }

    /// Appends the next entry. A snapshot replaces the entries before it.
    ///
    /// # Errors
    /// Where the entry can't be read, takes back what earlier ones said, or is the first and no snapshot.
    /// The log is as before.
    pub fn append(&mut self, bytes: &[u8]) -> Result<AppendEffect, LogError> {
        let entry = Entry::read(bytes)?;
        let is_snapshot = matches!(entry, Entry::Snapshot(_));
        let (head, digest) = self.head();
        if self.entries.is_empty() && !is_snapshot {
            return Err(LogError::MissingSnapshot { number: head + 1 });
        }
        let is_first = is_snapshot && self.state == LogState::default();
        let balance_change = BalanceChange::of(&entry, is_first);
        self.state.apply(&entry)?;
        if is_snapshot {
            self.entries.clear();
            (self.compacted_through, self.compacted_digest) = (head, digest);
        }
        let digest = digest.after(head + 1, bytes);
        self.entries.push_back(ChainedEntry { bytes: bytes.into(), digest });
        Ok(AppendEffect { is_snapshot, balance_change })
    }

    /// The state at a number, read again from the snapshot on; nothing where that is compacted, or beyond
    /// the head.
    pub fn state_at(&self, number: u64) -> Option<LogState> {
        let count = usize::try_from(number.checked_sub(self.compacted_through)?).ok()?;
        if count > self.entries.len() {
            return None;
        }
        // A snapshot says what all entries before it lead to. Seen: a log that was compacted right after a
        // later incarnation had inherited it was counted a second time, in full, beside that incarnation.
        let count = if self.compacted_through > 0 { count.max(1) } else { count };
        let mut state = LogState::default();
        for chained in self.entries.iter().take(count) {
            let entry = Entry::read(&chained.bytes).expect("it was read when it was appended");
            state.apply(&entry).expect("it was applied when it was appended");
        }
        Some(state)
    }

    /// Records entries that leave the chain after a number: the first such branch that arrives is counted,
    /// and what continues it. A third branch is ignored: a writer that forks once is trusted no further.
    /// True where these entries were new.
    ///
    /// # Errors
    /// Where the number is compacted, an entry can't be read, or it takes back what earlier ones said.
    pub(crate) fn record_fork(&mut self, from: u64, entries: &[&[u8]]) -> Result<bool, LogError> {
        let (Some(before), Some(mut digest)) = (self.state_at(from), self.digest_at(from)) else {
            return Err(LogError::ForkBeforeSnapshot { from });
        };
        let first = || Branch { from, state: before.clone(), before, head: from, digest };
        let mut branch = self.branch.as_deref().cloned().unwrap_or_else(first);
        if branch.from != from {
            return Ok(false);
        }
        let known_head = branch.head;
        for (number, bytes) in (from + 1..).zip(entries) {
            digest = digest.after(number, bytes);
            if number == known_head && digest != branch.digest {
                return Ok(false);
            }
            if number > known_head {
                branch.state.apply(&Entry::read(bytes)?)?;
                (branch.head, branch.digest) = (number, digest);
            }
        }
        let is_new = branch.head > known_head;
        self.branch = Some(Box::new(branch));
        Ok(is_new)
    }
}
