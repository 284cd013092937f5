//! What the logs ask to be written to disk, and what comes back from it at the next start.

use crate::digest::Digest;
use crate::log_id::LogId;
use crate::log_kind::LogKind;
use std::sync::Arc;

/// A change of one log to be written to disk. Changes are applied in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum LogChange {
    /// An entry was appended.
    Append {
        /// The log.
        id: LogId,
        /// The number of the entry.
        number: u64,
        /// The digest of the log before it.
        before: Digest,
        /// The encoded entry.
        bytes: Arc<[u8]>,
    },
    /// Entries below this number are replaced by a snapshot.
    Trim {
        /// The log.
        id: LogId,
        /// The number of the snapshot.
        below: u64,
    },
    /// The log is no longer needed.
    Drop {
        /// The log.
        id: LogId,
    },
}

/// An entry as it stands on disk.
#[derive(Clone, Debug, PartialEq)]
pub struct PersistedEntry {
    /// The log.
    pub id: LogId,
    /// The number of the entry.
    pub number: u64,
    /// The digest of the log before it.
    pub before: Digest,
    /// The encoded entry.
    pub bytes: Vec<u8>,
}

/// Changes of both kinds of logs, to be written all or none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogChanges {
    /// Of fleet logs.
    pub fleet: Vec<LogChange>,
    /// Of work logs.
    pub work: Vec<LogChange>,
}

impl LogChanges {
    /// There is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.fleet.is_empty() && self.work.is_empty()
    }

    /// Adds later changes.
    pub fn extend(&mut self, later: Self) {
        self.fleet.extend(later.fleet);
        self.work.extend(later.work);
    }

    /// All changes with the kind of their log, those of fleet logs first.
    pub fn into_each(self) -> impl Iterator<Item = (LogKind, LogChange)> {
        let fleet = self.fleet.into_iter().map(|change| (LogKind::Fleet, change));
        fleet.chain(self.work.into_iter().map(|change| (LogKind::Work, change)))
    }
}

impl From<Vec<LogChange>> for LogChanges {
    fn from(fleet: Vec<LogChange>) -> Self {
        Self { fleet, work: Vec::new() }
    }
}

/// What earlier incarnations left on disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedLogs {
    /// Of fleet logs, in the order of writers, incarnations and numbers.
    pub fleet: Vec<PersistedEntry>,
    /// Of work logs, in the same order.
    pub work: Vec<PersistedEntry>,
}

impl From<Vec<PersistedEntry>> for PersistedLogs {
    fn from(fleet: Vec<PersistedEntry>) -> Self {
        Self { fleet, work: Vec::new() }
    }
}
