//! The ledger of one planner in virtual time: the exchange of quota between the planners, its admission
//! handle, and a disk whose writes take time.
//!
//! A [`Ledger`] lives as long as its planner's process; the [`Disk`] belongs to the planner and outlives it.

use mulleinhub_engine::Engine;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_ledger::{AdmissionHandle, Exchange, SharedPools};
use mulleinhub_planner::LedgerSettings;
use mulleinhub_replicated_log::{
    Digest, LogChange, LogChanges, LogId, LogKind, LogPositions, PersistedEntry, PersistedLogs,
};
use mulleinhub_sans_io::StateMachine;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// The entries of all logs of one kind, by log and number: the digest of the entry before, and the bytes.
type Entries = BTreeMap<(LogId, u64), (Digest, Vec<u8>)>;

/// What is on a planner's disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disk {
    fleet: Entries,
    work: Entries,
}

impl Disk {
    fn apply(&mut self, changes: LogChanges) {
        for (kind, change) in changes.into_each() {
            match kind {
                LogKind::Fleet => apply(&mut self.fleet, change),
                LogKind::Work => apply(&mut self.work, change),
            }
        }
    }

    fn persisted(&self) -> PersistedLogs {
        PersistedLogs { fleet: persisted(&self.fleet), work: persisted(&self.work) }
    }
}

fn apply(entries: &mut Entries, change: LogChange) {
    match change {
        LogChange::Append { id, number, before, bytes } => {
            entries.insert((id, number), (before, bytes.to_vec()));
        }
        LogChange::Trim { id, below } => entries.retain(|(of, number), _| *of != id || *number >= below),
        LogChange::Drop { id } => entries.retain(|(of, _), _| *of != id),
    }
}

fn persisted(entries: &Entries) -> Vec<PersistedEntry> {
    let persisted = |((id, number), (before, bytes)): (&(LogId, u64), &(Digest, Vec<u8>))| PersistedEntry {
        id: id.clone(),
        number: *number,
        before: *before,
        bytes: bytes.clone(),
    };
    entries.iter().map(persisted).collect()
}

/// Changes on their way to the disk.
struct PendingSync {
    completes_at: Timestamp,
    changes: LogChanges,
    /// The last of the planner's own entries among the changes.
    last_own: LogPositions,
}

/// The clock and the disk of a planner's machine in one iteration of its ledger.
pub(crate) struct Machine<'a> {
    /// How far the machine's wall clock is ahead, in milliseconds; negative where it is behind.
    pub(crate) clock_offset_ms: i64,
    pub(crate) disk: &'a mut Disk,
    pub(crate) disk_full: bool,
}

/// The ledger of a planner that is up.
pub(crate) struct Ledger {
    exchange: Exchange,
    pools: Arc<SharedPools>,
    pending_syncs: VecDeque<PendingSync>,
    /// Whether the exchange received an event since its last iteration.
    notified: bool,
    /// Unix time at the start of the scenario, in milliseconds.
    start_unix_ms: u64,
}

impl Ledger {
    /// The ledger of a planner that starts from `disk`, and the admission handle for the planner's engine.
    pub(crate) fn start(
        settings: &LedgerSettings,
        start_unix_ms: u64,
        incarnation: u64,
        disk: &Disk,
    ) -> (Self, AdmissionHandle) {
        let LedgerSettings { settings, members, .. } = settings;
        let pools = SharedPools::new(settings);
        let admission = AdmissionHandle::new(pools.clone(), settings);
        let name_hash =
            settings.me.bytes().fold(0, |hash, byte| mulleinhub_interface::mix(hash, byte.into()));
        let exchange = Exchange::new(
            settings.clone(),
            members.clone(),
            incarnation,
            incarnation ^ name_hash,
            disk.persisted(),
            pools.clone(),
        );
        let ledger = Self { exchange, pools, pending_syncs: VecDeque::new(), notified: true, start_unix_ms };
        (ledger, admission)
    }

    /// The exchange, to hand it an event; [`Self::notify`] then makes the next iteration run.
    pub(crate) fn exchange(&mut self) -> &mut Exchange {
        &mut self.exchange
    }

    /// Makes the next iteration run although no timer is due.
    pub(crate) fn notify(&mut self) {
        self.notified = true;
    }

    /// When the next iteration is due.
    pub(crate) fn next_wakeup(&self) -> Option<Timestamp> {
        let sync = self.pending_syncs.front().map(|sync| sync.completes_at);
        [self.exchange.next_wakeup(), sync].into_iter().flatten().min()
    }

    /// Runs an iteration where one is due or an event came, and returns whether it ran. `sync_duration` is
    /// called once where changes are written.
    pub(crate) fn poll(
        &mut self,
        now: Timestamp,
        machine: Machine<'_>,
        sync_duration: impl FnOnce() -> Duration,
    ) -> bool {
        self.complete_syncs(now, machine.disk);
        let due = self.next_wakeup().is_some_and(|at| at <= now);
        if !(std::mem::take(&mut self.notified) || due || self.pools.is_tick_requested()) {
            return false;
        }
        let elapsed_ms = now.nanos() / 1_000_000;
        let unix_ms = (self.start_unix_ms + elapsed_ms).saturating_add_signed(machine.clock_offset_ms);
        self.exchange.set_clock(unix_ms);
        self.exchange.poll(now);
        if !machine.disk_full {
            self.start_sync(now, sync_duration);
        }
        true
    }

    fn complete_syncs(&mut self, now: Timestamp, disk: &mut Disk) {
        while let Some(sync) = self.pending_syncs.pop_front_if(|sync| sync.completes_at <= now) {
            disk.apply(sync.changes);
            self.exchange.on_durable(sync.last_own);
            self.notified = true;
        }
    }

    /// Starts writing what the exchange wants persisted. Syncs run one after the other.
    fn start_sync(&mut self, now: Timestamp, sync_duration: impl FnOnce() -> Duration) {
        let changes = self.exchange.take_changes();
        if changes.is_empty() {
            return;
        }
        let last_own = self.exchange.last_own_entries(&changes);
        let starts_at = self.pending_syncs.back().map_or(now, |sync| now.max(sync.completes_at));
        let completes_at = starts_at + sync_duration();
        self.pending_syncs.push_back(PendingSync { completes_at, changes, last_own });
    }
}

/// The engine with its admission handle, where the planner has a ledger.
pub(crate) fn with_admission(engine: Engine, admission: Option<AdmissionHandle>) -> Engine {
    match admission {
        Some(admission) => engine.with_quota(Box::new(admission)),
        None => engine,
    }
}
