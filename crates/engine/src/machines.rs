//! What is known of each machine's connection, and when it is tried again, ended, or given up.

use mulleinhub_interface::{CellId, KindId, MachineId, ZoneId};
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_protocol::{Entry, Mode};
use mulleinhub_resilience::SlowStartGate;
use mulleinhub_sans_io::ConnectionId;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    Down,
    /// Asked for, or greeting: offers wait until it has told what it holds.
    Coming(ConnectionId),
    Ready(ConnectionId),
}

/// A machine, from the connection's side.
#[derive(Debug)]
pub struct Spot {
    pub id: MachineId,
    pub address: String,
    pub reach: Reach,
    /// The life that the last welcome told.
    pub life: Option<u64>,
    /// The life that the list tells, and when that life began by this planner's clock.
    pub listed_life: u64,
    pub since: Option<Timestamp>,
    pub kind: KindId,
    pub cell: CellId,
    pub zone: ZoneId,
    pub mode: Mode,
    pub left: Option<(f64, f64)>,
    pub failures: u32,
    pub retry_at: Timestamp,
    /// Since when it could not be reached.
    pub down_since: Option<Timestamp>,
    pub heard_at: Timestamp,
    pub pinged_at: Option<Timestamp>,
    /// Sends that wait for the connection, as task and number.
    pub waiting: Vec<(u64, u32)>,
    /// What it told so far in its telling of what it holds.
    pub told: Vec<(u64, u32)>,
    /// It has told once, in this life of ours, what it holds.
    pub met: bool,
    pub gate: SlowStartGate,
}

impl Spot {
    pub fn new(entry: &Entry<'_>, now: Timestamp) -> Self {
        Self {
            id: MachineId(entry.machine),
            address: entry.address.to_owned(),
            reach: Reach::Down,
            life: None,
            listed_life: entry.life,
            since: entry.up_for.map(|up| now - Duration::from_nanos(up)),
            kind: KindId(entry.kind as usize),
            cell: CellId(entry.cell),
            zone: ZoneId(entry.zone),
            mode: entry.mode,
            left: None,
            failures: 0,
            retry_at: now,
            down_since: None,
            heard_at: now,
            pinged_at: None,
            waiting: Vec::new(),
            told: Vec::new(),
            met: false,
            gate: SlowStartGate::default(),
        }
    }

    /// Takes over what the list tells. A start keeps the instant first heard of it, so that it is one start.
    pub fn update(&mut self, entry: &Entry<'_>, now: Timestamp) {
        if self.address != entry.address {
            entry.address.clone_into(&mut self.address);
        }
        if self.listed_life != entry.life {
            self.listed_life = entry.life;
            self.since = entry.up_for.map(|up| now - Duration::from_nanos(up));
            self.retry_at = now;
        }
        self.kind = KindId(entry.kind as usize);
        (self.cell, self.zone, self.mode) = (CellId(entry.cell), ZoneId(entry.zone), entry.mode);
        self.left = entry.cores_left.zip(entry.memory_left).or(self.left);
    }

    pub fn link(&self) -> Option<ConnectionId> {
        match self.reach {
            Reach::Down => None,
            Reach::Coming(link) | Reach::Ready(link) => Some(link),
        }
    }

    pub fn ready(&self) -> Option<ConnectionId> {
        if let Reach::Ready(link) = self.reach { Some(link) } else { None }
    }

    /// A try failed or the connection ended. The next try waits for so long.
    pub fn failed(&mut self, now: Timestamp, wait: Duration, refused: bool) {
        self.reach = Reach::Down;
        self.gate.on_disconnected(now);
        self.told.clear();
        self.pinged_at = None;
        self.down_since.get_or_insert(now);
        self.retry_at = now + wait;
        self.failures += u32::from(refused);
    }

    pub fn is_ready(&mut self, link: ConnectionId) {
        self.reach = Reach::Ready(link);
        (self.failures, self.down_since) = (0, None);
    }

    /// Whether its tasks are to be taken for lost.
    pub fn is_lost(&self, now: Timestamp, lost_after: Duration) -> bool {
        self.ready().is_none() && self.down_since.is_some_and(|since| now - since >= lost_after)
    }
}
