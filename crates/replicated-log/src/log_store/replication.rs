//! What is announced of logs, which entries are fetched and sent, and how a peer's entries enter a copy.

use super::{LogStore, StoredLog};
use crate::digest::Digest;
use crate::error::LogError;
use crate::log::Log;
use crate::log_id::LogId;
use crate::persistence::LogChange;
use std::sync::Arc;

/// How far a scheduler knows a log.
#[derive(Clone, Debug, PartialEq, Eq, minicbor::Encode, minicbor::Decode)]
pub struct LogHead {
    /// The log.
    #[n(0)]
    pub id: LogId,
    /// The number of the last entry.
    #[n(1)]
    pub number: u64,
    /// The digest up to it.
    #[n(2)]
    pub digest: Digest,
}

/// What a peer's entries added to a copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Appended {
    /// How many entries were new; a branch counts as one.
    pub new: usize,
    /// They leave the chain that is known here: their writer wrote two entries with one number.
    pub forked: bool,
}

/// Entries to be sent to a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryBatch {
    /// The number before the first of them.
    pub after: u64,
    /// The digest up to that number.
    pub digest: Digest,
    /// The encoded entries.
    pub entries: Vec<Arc<[u8]>>,
    /// There are more entries after them.
    pub more: bool,
}

impl LogStore {
    /// How far others may know a log: our own as far as it is on disk.
    pub fn announced_head(&self, id: &LogId) -> Option<(u64, Digest)> {
        let log = self.log(id)?;
        if *id != self.own_id {
            return Some(log.head());
        }
        let number = log.head().0.min(self.durable_number);
        // What was compacted is on disk, as the snapshot that replaces it is.
        log.digest_at(number).map(|digest| (number, digest)).filter(|(number, _)| *number > 0)
    }

    /// One digest of all announced heads, equal where two schedulers know the same.
    pub fn heads_digest(&self) -> Digest {
        self.heads_digest
    }

    /// A count that grows with each change of a head.
    pub fn revision(&self) -> u64 {
        self.last_revision
    }

    /// The heads that changed after a revision with the revision of their change, oldest first.
    pub fn heads_changed_since(&self, revision: u64) -> impl Iterator<Item = (u64, LogHead)> {
        self.by_revision.range(revision + 1..).filter_map(|(revision, id)| {
            let (number, digest) = self.announced_head(id)?;
            Some((*revision, LogHead { id: id.clone(), number, digest }))
        })
    }

    /// Whether a peer with this head has entries that we want.
    pub fn wants(&self, head: &LogHead) -> bool {
        if self.is_inherited(&head.id, head.number) {
            return false;
        }
        let Some(log) = self.log(&head.id) else { return head.number > 0 };
        let (number, _) = log.head();
        let branch = log.branch.as_deref();
        let is_fork = log.digest_at(head.number).is_some_and(|digest| digest != head.digest);
        if is_fork {
            return branch.is_none_or(|branch| head.number > branch.head);
        }
        let is_our_branch =
            branch.is_some_and(|branch| (branch.head, branch.digest) == (head.number, head.digest));
        head.number > number && !is_our_branch
    }

    /// Whether a later incarnation has inherited all that a log with this head says.
    pub(super) fn is_inherited(&self, id: &LogId, head: u64) -> bool {
        let predecessor = self.latest_state(&id.writer).and_then(|state| state.predecessor);
        Some(id.incarnation) < self.newest_incarnation(&id.writer)
            && predecessor.is_some_and(|predecessor| predecessor.includes(id.incarnation, head))
    }

    /// How far we know a log; number zero and the first digest where we don't.
    pub fn known_head(&self, id: &LogId) -> (u64, Digest) {
        self.log(id).map_or((0, Digest::first(id)), Log::head)
    }

    /// After which entry to fetch from a peer with this head, and our digest there: where it has fewer
    /// entries than we, and different ones, it sees by that digest which ones we lack.
    pub fn fetch_position(&self, head: &LogHead) -> (u64, Digest) {
        let (known, digest) = self.known_head(&head.id);
        if head.number >= known {
            return (known, digest);
        }
        let at_head = self.log(&head.id).and_then(|log| log.digest_at(head.number));
        (head.number, at_head.unwrap_or_default())
    }

    /// The entries for a peer that knows a log up to a number: as many as fit into `max_bytes`, but at least
    /// one. Where the peer's digest isn't ours, the batch begins with the first entry that is retained.
    /// Nothing where the peer knows more than may be announced.
    pub fn entries_after(
        &self,
        id: &LogId,
        known: u64,
        digest: Digest,
        max_bytes: usize,
    ) -> Option<EntryBatch> {
        let (last, _) = self.announced_head(id)?;
        let log = self.log(id)?;
        if known > last {
            return None;
        }
        let chains = log.digest_at(known) == Some(digest);
        let (after, digest) = if chains { (known, digest) } else { log.compacted_through() };
        let mut entries = Vec::new();
        let mut bytes = 0;
        for entry in log.entries_after(after).take((last - after) as usize) {
            bytes += entry.bytes.len();
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.bytes.clone());
        }
        let more = after + (entries.len() as u64) < last;
        Some(EntryBatch { after, digest, entries, more })
    }

    /// Appends a peer's entries, which follow this number and digest, to the copy of a log.
    ///
    /// # Errors
    /// Where they can't be read, don't follow, or are entries of our present incarnation that we never
    /// wrote: nothing of the first such entry nor of any after it has entered.
    pub fn append_entries(
        &mut self,
        id: &LogId,
        after: u64,
        digest: Digest,
        entries: &[&[u8]],
    ) -> Result<Appended, LogError> {
        if *id == self.own_id {
            let known = self.log(id).and_then(|log| log.digest_at(after));
            if known != Some(digest) || after + entries.len() as u64 > self.durable_number {
                return Err(LogError::UnknownOwnEntries);
            }
            return Ok(Appended::default());
        }
        let log = self.copy_starting_after(id, after, digest, entries.is_empty())?;
        if after > log.head().0 {
            return self.replace_by_later(id, after, digest, entries);
        }
        if log.digest_at(after).is_some_and(|known| known != digest) {
            return Err(LogError::BrokenChain { after });
        }
        let appended = self.append_following(id, after, digest, entries)?;
        if appended.new > 0 {
            self.apply_directives_of(id);
        }
        Ok(appended)
    }

    /// The copy of a log, which begins here where there is none yet.
    fn copy_starting_after(
        &mut self,
        id: &LogId,
        after: u64,
        digest: Digest,
        is_empty: bool,
    ) -> Result<&Log, LogError> {
        if self.log(id).is_none() {
            if after == 0 && digest != Digest::first(id) {
                return Err(LogError::WrongFirstDigest);
            }
            self.logs.insert(id.clone(), StoredLog::new(Log::starting_after(after, digest)));
            if is_empty {
                self.dirty_teams.add_all();
            }
        }
        Ok(self.existing_log_mut(id))
    }

    /// Appends entries that chain to an entry of ours, skips those that we have, and records a fork.
    fn append_following(
        &mut self,
        id: &LogId,
        after: u64,
        digest: Digest,
        entries: &[&[u8]],
    ) -> Result<Appended, LogError> {
        let (through, compacted_digest) = self.existing_log_mut(id).compacted_through();
        let mut appended = Appended::default();
        let mut chained = digest;
        for (at, bytes) in entries.iter().enumerate() {
            let number = after + 1 + at as u64;
            chained = chained.after(number, bytes);
            let log = self.existing_log_mut(id);
            if number > log.head().0 {
                self.append_to_copy(id, bytes)?;
                appended.new += 1;
                continue;
            }
            if log.digest_at(number).is_none_or(|known| known == chained) {
                continue;
            }
            if number <= through {
                return Err(LogError::CompactedMismatch { through, digest: compacted_digest });
            }
            appended.forked = true;
            appended.new += usize::from(log.record_fork(number - 1, &entries[at..])?);
            self.dirty_teams.add_all();
            break;
        }
        Ok(appended)
    }

    /// Appends the next entry to a copy, and removes the copy again where it was to be the first.
    fn append_to_copy(&mut self, id: &LogId, bytes: &[u8]) -> Result<(), LogError> {
        let appended = self.append_one(id, bytes);
        if appended.is_err() && self.existing_log_mut(id).retained() == 0 {
            self.logs.remove(id);
        }
        appended.map(drop)
    }

    /// Replaces a copy by entries that begin with a snapshot beyond its head: whoever sent them has
    /// compacted the ones between. The snapshot has to say at least what we know.
    fn replace_by_later(
        &mut self,
        id: &LogId,
        after: u64,
        digest: Digest,
        entries: &[&[u8]],
    ) -> Result<Appended, LogError> {
        let mut log = Log::starting_after(after, digest);
        for entry in entries {
            log.append(entry)?;
        }
        let known = self.existing_log_mut(id);
        if !log.state().covers(known.state()) {
            return Err(LogError::SnapshotRegresses);
        }
        log.branch = known.branch.take();
        *known = log;
        self.dirty_teams.add_all();
        self.changes.push(LogChange::Drop { id: id.clone() });
        let (mut number, mut before) = (after, digest);
        for entry in entries {
            number += 1;
            self.changes.push(LogChange::Append { id: id.clone(), number, before, bytes: (*entry).into() });
            before = before.after(number, entry);
        }
        self.note_change(id);
        self.apply_directives_of(id);
        Ok(Appended { new: entries.len(), forked: false })
    }
}
