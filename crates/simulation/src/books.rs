//! The books of one planner in virtual time: the exchange, its tills, and a disk that takes its time.

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

/// Rows of logs of one kind.
type Rows = BTreeMap<(LogId, u64), (Digest, Vec<u8>)>;

/// What is on a planner's disk.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    fleet: Rows,
    work: Rows,
}

fn apply(rows: &mut Rows, change: LogChange) {
    match change {
        LogChange::Append { id, number, before, bytes } => {
            rows.insert((id, number), (before, bytes.to_vec()));
        }
        LogChange::Trim { id, below } => rows.retain(|(of, number), _| *of != id || *number >= below),
        LogChange::Drop { id } => rows.retain(|(of, _), _| *of != id),
    }
}

fn kept(rows: &Rows) -> Vec<PersistedEntry> {
    let kept = |((id, number), (before, bytes)): (&(LogId, u64), &(Digest, Vec<u8>))| PersistedEntry {
        id: id.clone(),
        number: *number,
        before: *before,
        bytes: bytes.clone(),
    };
    rows.iter().map(kept).collect()
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

    fn kept(&self) -> PersistedLogs {
        PersistedLogs { fleet: kept(&self.fleet), work: kept(&self.work) }
    }
}

/// Changes on their way to the disk: when they are there, and the last of our own rows among them.
type Sync = (Timestamp, LogChanges, LogPositions);

pub struct Books {
    pub exchange: Exchange,
    shelf: Arc<SharedPools>,
    syncs: VecDeque<Sync>,
    /// Something was told since its last turn.
    pub told: bool,
    /// Milliseconds of Unix time at the beginning of the day.
    begins: u64,
}

impl Books {
    /// The books of a planner that starts, and the planner's look into them.
    pub fn start(conf: &LedgerSettings, begins: u64, life: u64, disk: &Disk) -> (Self, AdmissionHandle) {
        let shelf = SharedPools::new(&conf.settings);
        let teller = AdmissionHandle::new(shelf.clone(), &conf.settings);
        let seed =
            life ^ conf.settings.me.bytes().fold(0, |sum, byte| mulleinhub_interface::mix(sum, byte.into()));
        let exchange = Exchange::new(
            conf.settings.clone(),
            conf.members.clone(),
            life,
            seed,
            disk.kept(),
            shelf.clone(),
        );
        (Self { exchange, shelf, syncs: VecDeque::new(), told: true, begins }, teller)
    }

    /// When the next turn is due.
    pub fn wake(&self) -> Option<Timestamp> {
        let disk = self.syncs.front().map(|(at, ..)| *at);
        [self.exchange.next_wakeup(), disk].into_iter().flatten().min()
    }

    /// A turn, where one is due or something came; `ahead` is how far the planner's clock is, in
    /// milliseconds.
    pub fn turn(
        &mut self,
        now: Timestamp,
        ahead: i64,
        disk: &mut Disk,
        full: bool,
        takes: impl FnOnce() -> Duration,
    ) -> bool {
        while let Some((_, changes, last)) = self.syncs.pop_front_if(|(at, ..)| *at <= now) {
            disk.apply(changes);
            self.exchange.on_durable(last);
            self.told = true;
        }
        let due = self.wake().is_some_and(|at| at <= now);
        if !(std::mem::take(&mut self.told) || due || self.shelf.is_tick_requested()) {
            return false;
        }
        let utc = (self.begins + now.nanos() / 1_000_000).saturating_add_signed(ahead);
        self.exchange.set_clock(utc);
        self.exchange.poll(now);
        let changes = if full { LogChanges::default() } else { self.exchange.take_changes() };
        if !changes.is_empty() {
            let last = self.exchange.last_own_entries(&changes);
            // One sync follows the other.
            let begins = self.syncs.back().map_or(now, |(at, ..)| now.max(*at));
            self.syncs.push_back((begins + takes(), changes, last));
        }
        true
    }
}

/// With the planner's look into its books, where it keeps any.
pub fn with(engine: Engine, teller: Option<AdmissionHandle>) -> Engine {
    match teller {
        Some(teller) => engine.with_quota(Box::new(teller)),
        None => engine,
    }
}
