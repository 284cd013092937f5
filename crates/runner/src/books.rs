//! The books of one planner in virtual time: the exchange, its tills, and a disk that takes its time.

use mulleinhub_engine::Engine;
use mulleinhub_interface::{Span, Time};
use mulleinhub_peers::{Exchange, Shelf, Teller};
use mulleinhub_planner::BooksConf;
use mulleinhub_replica::{Change, ColumnId, Digest, Kept};
use mulleinhub_seam::Party;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// What is on a planner's disk.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    rows: BTreeMap<(ColumnId, u64), (Digest, Vec<u8>)>,
}

impl Disk {
    fn apply(&mut self, change: Change) {
        match change {
            Change::Row { id, number, before, bytes } => {
                self.rows.insert((id, number), (before, bytes.to_vec()));
            }
            Change::Trim { id, below } => self.rows.retain(|(of, number), _| *of != id || *number >= below),
            Change::Drop { id } => self.rows.retain(|(of, _), _| *of != id),
        }
    }

    fn kept(&self) -> Vec<Kept> {
        let kept = |((id, number), (before, bytes)): (&(ColumnId, u64), &(Digest, Vec<u8>))| Kept {
            id: id.clone(),
            number: *number,
            before: *before,
            bytes: bytes.clone(),
        };
        self.rows.iter().map(kept).collect()
    }
}

/// Changes on their way to the disk: when they are there, and the last of our own rows among them.
type Sync = (Time, Vec<Change>, u64);

pub struct Books {
    pub exchange: Exchange,
    shelf: Arc<Shelf>,
    syncs: VecDeque<Sync>,
    /// Something was told since its last turn.
    pub told: bool,
    /// Milliseconds of Unix time at the beginning of the day.
    begins: u64,
}

impl Books {
    /// The books of a planner that starts, and the planner's look into them.
    pub fn start(conf: &BooksConf, begins: u64, life: u64, disk: &Disk) -> (Self, Teller) {
        let shelf = Shelf::new(&conf.settings);
        let teller = Teller::new(shelf.clone(), &conf.settings);
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
    pub fn wake(&self) -> Option<Time> {
        let disk = self.syncs.front().map(|(at, ..)| *at);
        [self.exchange.wake(), disk].into_iter().flatten().min()
    }

    /// A turn, where one is due or something came; `ahead` is how far the planner's clock is, in
    /// milliseconds.
    pub fn turn(
        &mut self,
        now: Time,
        ahead: i64,
        disk: &mut Disk,
        full: bool,
        takes: impl FnOnce() -> Span,
    ) -> bool {
        while let Some((_, changes, last)) = self.syncs.pop_front_if(|(at, ..)| *at <= now) {
            changes.into_iter().for_each(|change| disk.apply(change));
            self.exchange.is_durable(last);
            self.told = true;
        }
        let due = self.wake().is_some_and(|at| at <= now);
        if !(std::mem::take(&mut self.told) || due || self.shelf.is_wanted()) {
            return false;
        }
        let utc = (self.begins + now.nanos() / 1_000_000).saturating_add_signed(ahead);
        self.exchange.set_clock(utc);
        self.exchange.turn(now);
        let changes = if full { Vec::new() } else { self.exchange.take_changes() };
        if !changes.is_empty() {
            let last = self.exchange.last_own(&changes);
            // One sync follows the other.
            let begins = self.syncs.back().map_or(now, |(at, ..)| now.max(*at));
            self.syncs.push_back((begins + takes(), changes, last));
        }
        true
    }
}

/// With the planner's look into its books, where it keeps any.
pub fn with(engine: Engine, teller: Option<Teller>) -> Engine {
    match teller {
        Some(teller) => engine.with_quota(Box::new(teller)),
        None => engine,
    }
}
