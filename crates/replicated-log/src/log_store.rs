//! All logs that a scheduler knows: its own, which it alone writes, and copies of the others'.

mod replication;
mod retention;
mod totals;

pub use replication::{Appended, EntryBatch, LogHead};

use crate::digest::Digest;
use crate::directives::{Directives, EffectiveDirective, Subject};
use crate::dirty_teams::{BalanceChange, DirtyTeams};
use crate::entry::Entry;
use crate::error::{DamagedLog, LogError};
use crate::log::{AppendEffect, Log};
use crate::log_id::LogId;
use crate::name::Name;
use crate::persistence::{LogChange, PersistedEntry};
use crate::state::LogState;
use std::collections::BTreeMap;

/// With more entries than this since its last snapshot a log is compacted by its writer.
const MAX_RETAINED_ENTRIES: usize = 2048;

#[derive(Debug)]
struct StoredLog {
    log: Log,
    /// The store's revision at the last change of the announced head.
    revision: u64,
    /// The digest of the announced head, as combined into that of all heads.
    announced_digest: Option<Digest>,
}

impl StoredLog {
    /// A log that is not announced yet.
    fn new(log: Log) -> Self {
        Self { log, revision: 0, announced_digest: None }
    }
}

/// Logs by writer and incarnation, and what they say together.
///
/// A writer's newest incarnation begins with all that was known of the earlier ones; what these wrote
/// beside that is added when balances are summed up.
#[derive(Debug)]
pub struct LogStore {
    own_id: LogId,
    logs: BTreeMap<LogId, StoredLog>,
    /// The logs in the order of their last change.
    by_revision: BTreeMap<u64, LogId>,
    last_revision: u64,
    heads_digest: Digest,
    /// Our own entries up to this one are on disk: no later one may be announced.
    durable_number: u64,
    directives: Directives,
    directives_revision: u64,
    /// Not yet taken to be written to disk.
    changes: Vec<LogChange>,
    dirty_teams: DirtyTeams,
}

impl LogStore {
    /// An empty store of a scheduler whose incarnation has not begun to write.
    pub fn new(own_id: LogId) -> Self {
        Self {
            own_id,
            logs: BTreeMap::new(),
            by_revision: BTreeMap::new(),
            last_revision: 0,
            heads_digest: Digest::default(),
            durable_number: 0,
            directives: Directives::default(),
            directives_revision: 0,
            changes: Vec::new(),
            dirty_teams: DirtyTeams::default(),
        }
    }

    /// Our own log.
    pub fn own_id(&self) -> &LogId {
        &self.own_id
    }

    /// Makes our incarnation greater than this one: the clock may have been set back since.
    ///
    /// # Panics
    /// Where the incarnation has begun to write.
    pub fn advance_incarnation_past(&mut self, incarnation: u64) {
        assert!(!self.is_open(), "an incarnation that has begun to write stays what it is");
        self.own_id.incarnation = self.own_id.incarnation.max(incarnation + 1);
    }

    /// Restores what earlier incarnations persisted, in the order of numbers. Gives back where logs are
    /// damaged: what follows there is left out, and comes back from other schedulers.
    pub fn restore(&mut self, persisted: Vec<PersistedEntry>) -> Vec<DamagedLog> {
        let mut damaged: Vec<DamagedLog> = Vec::new();
        for PersistedEntry { id, number, before, bytes } in persisted {
            if damaged.last().is_some_and(|damaged| damaged.id == id) {
                continue;
            }
            let new = || StoredLog::new(Log::starting_after(number - 1, before));
            let log = &mut self.logs.entry(id.clone()).or_insert_with(new).log;
            let appended = if log.head() == (number - 1, before) {
                log.append(&bytes).map(drop)
            } else {
                Err(LogError::BrokenChain { after: number - 1 })
            };
            if let Err(error) = appended {
                if log.retained() == 0 {
                    self.logs.remove(&id);
                }
                damaged.push(DamagedLog { id, number, error });
            }
        }
        self.dirty_teams.add_all();
        let ids: Vec<LogId> = self.logs.keys().cloned().collect();
        for id in ids {
            self.apply_directives_of(&id);
            self.note_change(&id);
        }
        damaged
    }

    /// The changes since the last call, to be written to disk.
    pub fn take_changes(&mut self) -> Vec<LogChange> {
        std::mem::take(&mut self.changes)
    }

    /// Teams whose balances have changed since the last call: by others, or by our own transfers. What we
    /// ourselves reserve and spend in this incarnation isn't among it.
    pub fn take_dirty_teams(&mut self) -> DirtyTeams {
        std::mem::take(&mut self.dirty_teams)
    }

    /// The same, without taking it.
    pub fn dirty_teams(&self) -> &DirtyTeams {
        &self.dirty_teams
    }

    /// Our own entries up to this one are on disk.
    pub fn mark_durable(&mut self, number: u64) {
        if number > self.durable_number {
            self.durable_number = number;
            let own_id = self.own_id.clone();
            self.note_change(&own_id);
        }
    }

    /// The last of our own entries that is on disk.
    pub fn durable_number(&self) -> u64 {
        self.durable_number
    }

    /// Begins our log with a snapshot of all that our earlier incarnations said. Nothing was written before.
    pub fn open(&mut self, state: LogState) -> u64 {
        let own_id = self.own_id.clone();
        let new = || StoredLog::new(Log::new(&own_id));
        self.logs.entry(own_id.clone()).or_insert_with(new).log = Log::new(&own_id);
        self.write(&Entry::Snapshot(Box::new(state)))
    }

    /// Whether this incarnation has begun to write.
    pub fn is_open(&self) -> bool {
        self.log(&self.own_id).is_some()
    }

    /// Appends an entry to our own log, compacts it where it has grown long, and gives back the number of
    /// the last entry written.
    ///
    /// # Panics
    /// Where the log is not open, or the entry takes back what an earlier one said: a defect of ours, which
    /// must not reach any other scheduler.
    pub fn write(&mut self, entry: &Entry) -> u64 {
        let bytes = entry.bytes();
        let own_id = self.own_id.clone();
        let number = self.append_one(&own_id, &bytes).expect("our own entries are consistent");
        if let Entry::Directive(directive) = entry {
            self.apply_directive(&directive.subject, directive.effective());
        }
        let log = self.log(&own_id).expect("the log is open");
        if log.retained() > MAX_RETAINED_ENTRIES && !matches!(entry, Entry::Snapshot(_)) {
            let state = log.state().clone();
            return self.write(&Entry::Snapshot(Box::new(state)));
        }
        number
    }

    /// Appends the next entry to a log that exists; its number.
    fn append_one(&mut self, id: &LogId, bytes: &[u8]) -> Result<u64, LogError> {
        let log = self.existing_log_mut(id);
        let (head, before) = log.head();
        let AppendEffect { is_snapshot, balance_change } = log.append(bytes)?;
        let number = head + 1;
        self.changes.push(LogChange::Append { id: id.clone(), number, before, bytes: bytes.into() });
        if is_snapshot {
            self.changes.push(LogChange::Trim { id: id.clone(), below: number });
        }
        match balance_change {
            BalanceChange::All if is_snapshot => self.note_new_incarnation(id),
            // What an incarnation wrote beside what its successor inherited is known from its entries, which
            // a snapshot drops.
            _ if is_snapshot && self.newest_incarnation(&id.writer) != Some(id.incarnation) => {
                self.note_balance_change(id, BalanceChange::All);
            }
            balance_change => self.note_balance_change(id, balance_change),
        }
        self.note_change(id);
        Ok(number)
    }

    fn existing_log_mut(&mut self, id: &LogId) -> &mut Log {
        &mut self.logs.get_mut(id).expect("the log exists").log
    }

    fn note_balance_change(&mut self, id: &LogId, change: BalanceChange) {
        match change {
            BalanceChange::Nothing => {}
            BalanceChange::Balance(_) if *id == self.own_id => {}
            BalanceChange::Balance(team) | BalanceChange::ShareTransfer(team) => self.dirty_teams.add(team),
            BalanceChange::All => self.dirty_teams.add_all(),
        }
    }

    /// An incarnation begins: only those balances are new in which it differs from the one before.
    fn note_new_incarnation(&mut self, id: &LogId) {
        let mut newest_first = self.incarnations(&id.writer).rev();
        let (newest, earlier) = (newest_first.next(), newest_first.next());
        let mut dirty_teams = DirtyTeams::default();
        match (newest, earlier) {
            (Some((newest, log)), Some((earlier, earlier_log)))
                if newest == id && continues_whole(log, earlier, earlier_log) =>
            {
                dirty_teams.add_difference(earlier_log.state(), log.state());
            }
            _ => dirty_teams.add_all(),
        }
        drop(newest_first);
        self.dirty_teams.merge(dirty_teams);
    }

    /// Brings the revision and the digest of all heads up to date with a log's announced head.
    fn note_change(&mut self, id: &LogId) {
        let head = self.announced_head(id);
        let Some(stored) = self.logs.get_mut(id) else { return };
        let digest = head.map(|(number, digest)| Digest::of_head(id, number, digest));
        if stored.announced_digest == digest {
            return;
        }
        let before = std::mem::replace(&mut stored.announced_digest, digest);
        self.heads_digest = [before, digest].into_iter().flatten().fold(self.heads_digest, Digest::xor);
        self.last_revision += 1;
        self.by_revision.remove(&std::mem::replace(&mut stored.revision, self.last_revision));
        self.by_revision.insert(self.last_revision, id.clone());
    }

    /// A log that is known here.
    pub fn log(&self, id: &LogId) -> Option<&Log> {
        self.logs.get(id).map(|stored| &stored.log)
    }

    /// All logs, by writer and incarnation.
    pub fn logs(&self) -> impl Iterator<Item = (&LogId, &Log)> {
        self.logs.iter().map(|(id, stored)| (id, &stored.log))
    }

    /// The logs of a writer, oldest incarnation first.
    fn incarnations(&self, writer: &Name) -> impl DoubleEndedIterator<Item = (&LogId, &Log)> {
        let first = LogId { writer: writer.clone(), incarnation: 0 };
        let last = LogId { writer: writer.clone(), incarnation: u64::MAX };
        self.logs.range(first..=last).map(|(id, stored)| (id, &stored.log))
    }

    /// The newest incarnation of a writer that is known here.
    pub fn newest_incarnation(&self, writer: &Name) -> Option<u64> {
        self.incarnations(writer).next_back().map(|(id, _)| id.incarnation)
    }

    /// The state of a writer's newest incarnation, which inherited what the earlier ones said.
    pub fn latest_state(&self, writer: &Name) -> Option<&LogState> {
        self.incarnations(writer).next_back().map(|(_, log)| log.state())
    }

    /// The writers of all logs, in their order.
    pub fn writers(&self) -> Vec<Name> {
        let mut writers: Vec<Name> = self.logs.keys().map(|id| id.writer.clone()).collect();
        writers.dedup();
        writers
    }

    /// All directives that are known, by entries or ahead of them.
    pub fn directives(&self) -> &Directives {
        &self.directives
    }

    /// Applies a directive that arrived ahead of its entry; true where that changed anything.
    pub fn apply_directive(&mut self, subject: &Subject, effective: EffectiveDirective) -> bool {
        let is_new = self.directives.apply(subject, effective);
        self.directives_revision += u64::from(is_new);
        is_new
    }

    /// A count that grows with each change of the directives.
    pub fn directives_revision(&self) -> u64 {
        self.directives_revision
    }

    /// Applies the directives that a log and its branch carry.
    fn apply_directives_of(&mut self, id: &LogId) {
        let Some(log) = self.log(id) else { return };
        let branch = log.branch.iter().flat_map(|branch| &branch.state.directives);
        let all = log.state().directives.iter().chain(branch);
        let new = all.filter(|(subject, effective)| {
            self.directives.get(subject).is_none_or(|known| known.join(**effective) != known)
        });
        let new: Vec<(Subject, EffectiveDirective)> =
            new.map(|(subject, effective)| (subject.clone(), *effective)).collect();
        for (subject, effective) in new {
            self.apply_directive(&subject, effective);
        }
    }
}

/// Whether a log inherited all that is known of the one before it.
fn continues_whole(log: &Log, earlier: &LogId, earlier_log: &Log) -> bool {
    let continues = log.state().predecessor.is_some_and(|predecessor| {
        predecessor.incarnation == earlier.incarnation && predecessor.number >= earlier_log.head().0
    });
    continues && !earlier_log.is_forked()
}
