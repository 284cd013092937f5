//! One machine from the side of its connection: when it is connected to again, closed, or given up.

use crate::task::AttemptId;
use mulleinhub_interface::{CellId, Duration, KindId, MachineId, Timestamp, ZoneId};
use mulleinhub_protocol::{Entry, Mode};
use mulleinhub_resilience::SlowStartGate;
use mulleinhub_sans_io::ConnectionId;

/// The state of the connection to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// There is none.
    Down,
    /// Asked for, or in its handshake: offers wait until the machine has reported its tasks.
    Connecting(ConnectionId),
    /// The machine has reported its tasks: offers may be written.
    Ready(ConnectionId),
}

/// A machine of the endpoint list, with its connection.
#[derive(Debug)]
pub struct MachineSlot {
    /// Its number in the endpoint list.
    pub id: MachineId,
    /// Where it listens.
    pub address: String,
    /// The state of its connection.
    pub connection: ConnectionState,
    /// The incarnation that it named in its last handshake.
    pub incarnation: Option<u64>,
    /// The incarnation in the endpoint list.
    pub listed_incarnation: u64,
    /// When the listed incarnation began, by this scheduler's clock.
    pub started_at: Option<Timestamp>,
    /// Its kind, which determines its capacity.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its state in the endpoint list.
    pub mode: Mode,
    /// Cores and memory that are free according to the endpoint list, if it says so.
    pub free: Option<(f64, f64)>,
    /// Attempts to connect that were refused since the last success.
    pub failures: u32,
    /// No earlier than this is it connected to again.
    pub retry_at: Timestamp,
    /// Since when it is unreachable.
    pub down_since: Option<Timestamp>,
    /// When bytes arrived from it last.
    pub last_received_at: Timestamp,
    /// When it was pinged, if it has sent nothing since.
    pub pinged_at: Option<Timestamp>,
    /// Attempts whose offers wait for the connection.
    pub waiting: Vec<AttemptId>,
    /// When these are looked at next.
    pub next_release_at: Option<Timestamp>,
    /// The part of its inventory that has arrived.
    pub reported: Vec<AttemptId>,
    /// It has reported its inventory once to this incarnation of the scheduler.
    pub inventory_known: bool,
    /// Bounds the offers to it while it warms up.
    pub gate: SlowStartGate,
}

impl MachineSlot {
    /// A machine that the endpoint list names for the first time.
    pub fn new(entry: &Entry<'_>, now: Timestamp) -> Self {
        Self {
            id: MachineId(entry.machine),
            address: entry.address.to_owned(),
            connection: ConnectionState::Down,
            incarnation: None,
            listed_incarnation: entry.life,
            started_at: entry.up_for.map(|up| now - Duration::from_nanos(up)),
            kind: KindId(entry.kind as usize),
            cell: CellId(entry.cell),
            zone: ZoneId(entry.zone),
            mode: entry.mode,
            free: None,
            failures: 0,
            retry_at: now,
            down_since: None,
            last_received_at: now,
            pinged_at: None,
            waiting: Vec::new(),
            next_release_at: None,
            reported: Vec::new(),
            inventory_known: false,
            gate: SlowStartGate::default(),
        }
    }

    /// Takes over an entry of the endpoint list. A start keeps the instant at which it was first listed, so
    /// that it counts as one start.
    pub fn update(&mut self, entry: &Entry<'_>, now: Timestamp) {
        if self.address != entry.address {
            entry.address.clone_into(&mut self.address);
        }
        if self.listed_incarnation != entry.life {
            self.listed_incarnation = entry.life;
            self.started_at = entry.up_for.map(|up| now - Duration::from_nanos(up));
            self.retry_at = now;
        }
        self.kind = KindId(entry.kind as usize);
        (self.cell, self.zone, self.mode) = (CellId(entry.cell), ZoneId(entry.zone), entry.mode);
        self.free = entry.cores_left.zip(entry.memory_left).or(self.free);
    }

    /// The connection, ready or not.
    pub fn connection_id(&self) -> Option<ConnectionId> {
        match self.connection {
            ConnectionState::Down => None,
            ConnectionState::Connecting(connection) | ConnectionState::Ready(connection) => Some(connection),
        }
    }

    /// The connection, where offers may be written on it.
    pub fn ready(&self) -> Option<ConnectionId> {
        match self.connection {
            ConnectionState::Ready(connection) => Some(connection),
            _ => None,
        }
    }

    /// The connection was refused or has closed. The next attempt waits for `backoff`.
    pub fn on_closed(&mut self, now: Timestamp, backoff: Duration, refused: bool) {
        self.connection = ConnectionState::Down;
        self.gate.on_disconnected(now);
        self.reported.clear();
        self.pinged_at = None;
        self.down_since.get_or_insert(now);
        self.retry_at = now + backoff;
        self.failures += u32::from(refused);
    }

    /// The machine has reported its inventory on this connection.
    pub fn on_ready(&mut self, connection: ConnectionId) {
        self.connection = ConnectionState::Ready(connection);
        (self.failures, self.down_since) = (0, None);
    }

    /// Whether it has been unreachable for so long that its tasks are lost.
    pub fn is_lost(&self, now: Timestamp, lost_after: Duration) -> bool {
        self.ready().is_none() && self.down_since.is_some_and(|since| now - since >= lost_after)
    }
}
