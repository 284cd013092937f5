//! Machines and the connections to them.
//!
//! A machine is its uid. A spoilt answer spends its connection with all that is open there, so a set-up has a
//! connection to itself while the bound on connections allows it, and set-ups share when it does not.

use mulleinhub_interface::{Duration, MachineEntry, MachineId, MachineState, TaskId, Timestamp};
use mulleinhub_platform_protocol::Frames;
use mulleinhub_resilience::SlowStartGate;
use mulleinhub_sans_io::{CloseReason, ConnectionId};
use std::collections::{BTreeMap, VecDeque};

/// Set-ups given up on one connection that are remembered there: a yes to one of them is a late one.
const MOST_GIVEN_UP: usize = 64;

/// A connection to a machine.
#[derive(Debug)]
pub struct Connection {
    pub machine: MachineId,
    pub frames: Frames,
    pub end: Option<CloseReason>,
    pub queued: bool,
    pub up: bool,
    /// When it came up, and when its machine had last shown before that it is there.
    came_up: (Timestamp, Timestamp),
    /// The machine said something on it.
    pub heard: bool,
    /// When something last passed on it.
    pub used_at: Timestamp,
    /// Set-ups that wait for their answers here.
    pub open: Vec<TaskId>,
    /// Set-ups given up here, and whether a copy that comes of one is to be cut.
    pub given_up: VecDeque<(TaskId, bool)>,
    /// Those that had their end here before they stood. Met in a story: a refusal that came twice was taken
    /// for one of the next send of that task on the same connection.
    pub refused: VecDeque<TaskId>,
}

impl Connection {
    pub fn new(machine: MachineId, now: Timestamp) -> Self {
        Self {
            machine,
            frames: Frames::default(),
            end: None,
            queued: false,
            up: false,
            came_up: (now, now),
            heard: false,
            used_at: now,
            open: Vec::new(),
            given_up: VecDeque::new(),
            refused: VecDeque::new(),
        }
    }

    pub fn gives_up(&mut self, task: TaskId, cut: bool) {
        if self.given_up.len() == MOST_GIVEN_UP {
            self.given_up.pop_front();
        }
        self.given_up.push_back((task, cut));
    }

    pub fn has_refused(&mut self, task: TaskId) {
        if self.refused.len() == MOST_GIVEN_UP {
            self.refused.pop_front();
        }
        self.refused.push_back(task);
    }

    /// Whether a set-up of this task may be written here: the late answer of an earlier one must not be taken
    /// for its own.
    fn suits(&self, task: TaskId) -> bool {
        let had_it = self.given_up.iter().any(|(given_up, _)| *given_up == task);
        self.end.is_none() && !had_it && !self.refused.contains(&task)
    }
}

#[derive(Debug)]
pub struct Machine {
    pub entry: MachineEntry,
    pub address: String,
    /// Another machine has its address: nothing there is this one's any more.
    pub replaced: bool,
    pub connections: Vec<ConnectionId>,
    /// When it last showed that it is there.
    pub heard_at: Timestamp,
    /// Tries for a connection that failed since then, and when the next one may be made.
    pub failures: u32,
    pub refusals: u32,
    pub retry_at: Timestamp,
    pub gate: SlowStartGate,
    /// Sends that the gate holds back, as task and number.
    pub waiting: Vec<(TaskId, u32)>,
    /// Tasks that stand there and are to be cut, once there is a connection.
    pub cuts: Vec<TaskId>,
    /// A look at it is on its way.
    pub looked_after: bool,
}

impl Machine {
    pub fn new(entry: MachineEntry, address: String, now: Timestamp) -> Self {
        Self {
            entry,
            address,
            replaced: false,
            connections: Vec::new(),
            heard_at: now,
            failures: 0,
            refusals: 0,
            retry_at: now,
            gate: SlowStartGate::default(),
            waiting: Vec::new(),
            cuts: Vec::new(),
            looked_after: false,
        }
    }

    /// A connection that had come up was ended by the other side without a word, sooner than one that is
    /// idle: nobody was there. Met: join+mass on centro-dados-sede, where a machine that had stopped let one
    /// come up once more, and owners heard of the ends there half a second late.
    pub fn was_not_there(&mut self, connection: &Connection, now: Timestamp, idle: Duration) {
        let (came_up, before) = connection.came_up;
        if connection.up && !connection.heard && now - came_up < idle && self.heard_at == came_up {
            self.heard_at = before;
            self.failures += 1;
        }
    }

    /// It showed that it is there, at this instant or later.
    pub fn is_there(&mut self, at: Timestamp) {
        self.heard_at = self.heard_at.max(at);
        (self.failures, self.refusals) = (0, 0);
    }
}

#[derive(Debug, Default)]
pub struct Machines {
    pub by_id: BTreeMap<MachineId, Machine>,
    pub connections: BTreeMap<ConnectionId, Connection>,
}

/// The number that stands for a uid with everybody: FNV-1a over its bytes, as it must be the same for all
/// schedulers and in all lives.
pub fn id_of(uid: &str) -> MachineId {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    MachineId(uid.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}

impl Machines {
    /// An open connection for a set-up of this task, with nothing else open on it: the one used last, and
    /// since then. Met: where machines close idle connections soon, a set-up was written as its machine
    /// closed.
    pub fn free_connection(
        &self,
        machine: MachineId,
        task: TaskId,
        since: Timestamp,
    ) -> Option<ConnectionId> {
        let fits = |(_, connection): &(ConnectionId, &Connection)| {
            connection.up
                && connection.used_at > since
                && connection.open.is_empty()
                && connection.suits(task)
        };
        self.connections_of(machine)
            .filter(fits)
            .max_by_key(|(link, connection)| (connection.used_at, *link))
            .map(|(l, _)| l)
    }

    /// The connection to be shared where no more may be opened: the one with the fewest open set-ups.
    pub fn shared_connection(&self, machine: MachineId, task: TaskId) -> Option<ConnectionId> {
        let fits = |(_, connection): &(ConnectionId, &Connection)| connection.suits(task);
        self.connections_of(machine)
            .filter(fits)
            .min_by_key(|(link, connection)| (connection.open.len(), *link))
            .map(|(l, _)| l)
    }

    pub fn connections_of(&self, machine: MachineId) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        let links = self.by_id.get(&machine).map_or(&[][..], |machine| &machine.connections);
        links.iter().filter_map(|link| Some((*link, self.connections.get(link)?)))
    }

    /// The machine said something on this connection, at this instant or later.
    pub fn shows_life(&mut self, said_at: Timestamp, link: ConnectionId) {
        let connection = self.connections.get_mut(&link).expect("a connection to a machine");
        connection.heard = true;
        if let Some(machine) = self.by_id.get_mut(&connection.machine) {
            machine.is_there(said_at);
        }
    }

    /// This connection came up, at this instant or later.
    pub fn comes_up(&mut self, now: Timestamp, up_at: Timestamp, link: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        (connection.used_at, connection.up) = (now, true);
        if let Some(machine) = self.by_id.get_mut(&connection.machine) {
            connection.came_up = (up_at, machine.heard_at);
            machine.is_there(up_at);
        }
    }

    pub fn forget_connection(&mut self, link: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(&link)?;
        if let Some(machine) = self.by_id.get_mut(&connection.machine) {
            machine.connections.retain(|other| *other != link);
        }
        Some(connection)
    }

    /// Machines that are over, and of which nothing is left.
    pub fn forget_gone(&mut self, still_needed: impl Fn(MachineId) -> bool) {
        self.by_id.retain(|id, machine| {
            machine.entry.state != MachineState::Removed
                || !machine.connections.is_empty()
                || still_needed(*id)
        });
    }
}

/// How long a machine may be quiet, and how its connections are kept.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Between two looks at a machine.
    pub look: Duration,
    /// After so long without a sign a new connection is tried: that costs the machine no work, as a test
    /// does.
    pub quiet: Duration,
    /// After so long without a sign and without a new connection it is lost, with what stood there.
    pub lost: Duration,
    /// A connection that is not up by then is not coming.
    pub connect: Duration,
    /// Idle ones are closed by us before the machine does.
    pub idle: Duration,
    /// Between two tries, at first.
    pub again: Duration,
}

/// Owners must hear within this of an end that nobody could tell.
const OWNERS_HEAR: Duration = Duration::from_secs(8);
/// What is lost is told this part of that after the last sign. Met: where machines were given up after half
/// of it, a part of the fleet that was cut off for six seconds came back to find its tasks released, and two
/// in five tasks of that day were lost for nothing.
const LOST_PART: f64 = 15.0 / 16.0;
/// Parts of the time after which a machine is lost: between two looks, before a quiet one is tried.
const LOOK_PART: f64 = 0.06;
const QUIET_PART: f64 = 0.4;
/// The part of the time after which machines close idle connections.
const IDLE_PART: f64 = 0.6;

impl Patience {
    pub fn new(idle_after: Duration, connect_within: Duration) -> Self {
        let lost = OWNERS_HEAR * LOST_PART;
        Self {
            look: lost * LOOK_PART,
            quiet: lost * QUIET_PART,
            lost,
            connect: connect_within,
            idle: idle_after * IDLE_PART,
            again: connect_within,
        }
    }
}
