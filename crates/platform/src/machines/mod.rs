//! Machines and the connections to them.
//!
//! A machine is its uid. A corrupt answer costs its connection with all attempts that are in flight there, so
//! a start request has a connection to itself while the limit on connections allows it, and requests share
//! connections when it does not.

mod connect;
mod connection;
mod disconnect;
mod health;
mod messages;
mod replies;
mod stop_orders;
mod timeouts;

pub use connection::{ConnectionPurpose, LocalClose, MachineConnection};
pub use disconnect::{break_connection, handle_disconnect};
pub use health::check_machine;
pub use messages::{check_partial_message, handle_input};

use crate::tasks::AttemptId;
use mulleinhub_interface::{Duration, MachineEntry, MachineId, MachineState, TaskId, Timestamp};
use mulleinhub_limits::{ConnectionPool, machine_closing_allowance, machine_connection_limit};
use mulleinhub_resilience::SlowStartGate;
use mulleinhub_sans_io::ConnectionId;
use std::collections::BTreeMap;
use stop_orders::StopOrders;
use timeouts::Timeouts;

/// So many refused connects in a row: the process there has died, and what ran there with it.
const REFUSALS_OF_DEAD: u32 = 2;

/// What showed last that a machine was alive, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignOfLife {
    /// The list named it for the first time.
    Listed,
    /// A connection to it was established.
    Connected,
    /// It accepted a task.
    Accepted,
    /// It sent a note on a task.
    Noted,
    /// It reported the end of a task.
    Released,
}

/// A machine of the endpoint list.
#[derive(Debug)]
pub struct Machine {
    /// What the endpoint list says of it.
    pub entry: MachineEntry,
    /// Its address and port.
    pub address: String,
    /// The Unix time of its start, in milliseconds, as the endpoint list tells it; 0 where it tells none.
    pub told_start_ms: u64,
    /// Another machine has its address: nothing there belongs to this one any more.
    pub replaced: bool,
    /// The connections to it.
    pub connections: Vec<ConnectionId>,
    /// When it last showed that it is alive.
    pub last_seen_at: Timestamp,
    /// How.
    pub last_sign: SignOfLife,
    /// When the first of the tasks that run there became known to. Before that nobody asked for a sign of life.
    watched_since: Timestamp,
    /// Connects that failed since then.
    pub failures: u32,
    /// Connects that were refused, one after another.
    pub refusals: u32,
    /// When an established connection to it last broke, or a connect was refused.
    pub broken_at: Option<Timestamp>,
    /// When the last connect that failed was begun.
    pub failed_at: Timestamp,
    /// When the next connect may be made.
    pub reconnect_at: Timestamp,
    /// Spaces out attempts to it while it warms up.
    pub slow_start: SlowStartGate,
    /// Attempts that the slow-start gate or the limit on connections holds back.
    pub queued_attempts: Vec<AttemptId>,
    /// Tasks that run there and are to be stopped.
    pub stop_orders: StopOrders,
    /// When a connection to it ended that may have taken reports of running tasks with it. The machine repeats them
    /// on the next connection that it accepts.
    pub reports_lost_at: Option<Timestamp>,
    /// When it is checked next.
    pub next_check_at: Option<Timestamp>,
    /// When its queued attempts are looked at next.
    pub next_release_at: Option<Timestamp>,
}

impl Machine {
    /// A machine that was just listed.
    pub fn new(entry: MachineEntry, address: String, now: Timestamp) -> Self {
        Self {
            entry,
            address,
            told_start_ms: 0,
            replaced: false,
            connections: Vec::new(),
            last_seen_at: now,
            last_sign: SignOfLife::Listed,
            watched_since: now,
            failures: 0,
            refusals: 0,
            broken_at: None,
            failed_at: Timestamp::default(),
            reconnect_at: now,
            slow_start: SlowStartGate::default(),
            queued_attempts: Vec::new(),
            stop_orders: StopOrders::default(),
            reports_lost_at: None,
            next_check_at: None,
            next_release_at: None,
        }
    }

    /// Takes back the sign of life that an established connection was, where the other side closed it without
    /// a word and sooner than an idle one: nobody was there. Seen: a machine that had stopped let one more
    /// connection be established, and clients heard of the ends there half a second late.
    pub fn retract_liveness(
        &mut self,
        connection: &MachineConnection,
        now: Timestamp,
        idle_timeout: Duration,
    ) {
        if connection.established
            && !connection.proved_alive
            && now - connection.opened_at < idle_timeout
            && self.last_seen_at == connection.opened_at
        {
            self.last_seen_at = connection.machine_seen_before;
            self.failures += 1;
        }
    }

    /// A first task is known to run there: connects that failed before prove nothing about it. Seen: tasks that were
    /// handed over were told to be over at the first connect that failed, as nothing had been heard of their
    /// machine for a while.
    fn begin_watch(&mut self, now: Timestamp) {
        self.watched_since = now;
        (self.failures, self.refusals) = (0, 0);
    }

    /// For how long it has been silent. Where it was not asked for a sign of life before, it may be silent for
    /// `least_watch` yet until it is lost.
    fn silence(&self, now: Timestamp, timeouts: &Timeouts) -> Duration {
        now - self.silent_since(timeouts)
    }

    fn silent_since(&self, timeouts: &Timeouts) -> Timestamp {
        self.last_seen_at.max(self.watched_since - (timeouts.lost_after - timeouts.least_watch))
    }

    /// It showed that it was alive at this instant, or later. What it showed before a connect failed does not
    /// disprove the failure.
    pub fn mark_alive(&mut self, at: Timestamp, sign: SignOfLife) {
        if at > self.last_seen_at {
            (self.last_seen_at, self.last_sign) = (at, sign);
        }
        if at >= self.failed_at {
            (self.failures, self.refusals) = (0, 0);
        }
    }
}

/// All listed machines and the connections to them. In memory only.
#[derive(Debug)]
pub struct Machines {
    /// The machines by their ids.
    pub by_id: BTreeMap<MachineId, Machine>,
    /// The connections by their ids.
    pub connections: BTreeMap<ConnectionId, MachineConnection>,
    /// Descriptors of connections to machines, and when each was last used.
    pub pool: ConnectionPool,
    /// How many connections to machines may be open.
    pub max_connections: usize,
    /// The last iteration in which no idle connection could be closed for another one, by its instant.
    pub exhausted_at: Option<Timestamp>,
    /// Timeouts of machines and connections.
    pub timeouts: Timeouts,
}

/// The id of a machine for all schedulers: FNV-1a over the bytes of its uid, as it must be the same in all
/// processes and after restarts.
pub fn machine_id(uid: &str) -> MachineId {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    MachineId(uid.bytes().fold(OFFSET_BASIS, step))
}

impl Machines {
    /// No machines yet, in a process with so many descriptors.
    pub fn new(descriptors: usize, idle_timeout: Duration, connect_timeout: Duration) -> Self {
        let max_connections = machine_connection_limit(descriptors);
        Self {
            by_id: BTreeMap::new(),
            connections: BTreeMap::new(),
            pool: ConnectionPool::new(max_connections, machine_closing_allowance(descriptors)),
            max_connections,
            exhausted_at: None,
            timeouts: Timeouts::new(idle_timeout, connect_timeout),
        }
    }

    /// An established connection for a start request of this task on which no answer is awaited: the one used
    /// last, and since then. Seen: where machines close idle connections soon, a start request was written as
    /// its machine closed.
    pub fn free_connection(
        &self,
        machine: MachineId,
        task: TaskId,
        used_since: Timestamp,
    ) -> Option<ConnectionId> {
        let is_free = |(_, connection): &(ConnectionId, &MachineConnection)| {
            connection.is_idle() && connection.used_at > used_since && connection.may_carry(task)
        };
        self.connections_of(machine)
            .filter(is_free)
            .max_by_key(|(connection_id, connection)| (connection.used_at, *connection_id))
            .map(|(connection_id, _)| connection_id)
    }

    /// The connection to share where no more may be opened: the one with the fewest awaited answers.
    pub fn shared_connection(&self, machine: MachineId, task: TaskId) -> Option<ConnectionId> {
        self.connections_of(machine)
            .filter(|(_, connection)| connection.may_carry(task))
            .min_by_key(|(connection_id, connection)| (connection.awaiting.len(), *connection_id))
            .map(|(connection_id, _)| connection_id)
    }

    /// The connections to this machine, in the order of their opening.
    pub fn connections_of(
        &self,
        machine: MachineId,
    ) -> impl Iterator<Item = (ConnectionId, &MachineConnection)> {
        let connection_ids = self.by_id.get(&machine).map_or(&[][..], |machine| &machine.connections);
        connection_ids.iter().filter_map(|id| Some((*id, self.connections.get(id)?)))
    }

    /// Whether there is no connection to this machine, not even one that is being opened.
    pub fn is_unconnected(&self, machine: MachineId) -> bool {
        self.by_id.get(&machine).is_none_or(|machine| machine.connections.is_empty())
    }

    /// The machine sent something on this connection that shows that it was alive at this instant, or later.
    ///
    /// An earlier message of the same read may have led to its close: a rejection releases queued attempts,
    /// and one of these may take over the descriptor of a connection that awaits nothing.
    pub fn mark_alive_on(&mut self, connection_id: ConnectionId, at: Timestamp, sign: SignOfLife) {
        let Some(connection) = self.connections.get_mut(&connection_id) else { return };
        connection.proved_alive = true;
        if let Some(machine) = self.by_id.get_mut(&connection.machine) {
            machine.mark_alive(at, sign);
        }
    }

    /// This connection was established. That its machine was there is certain for the time at which it was
    /// asked for, as the answer may have been long on its way.
    pub fn mark_established(&mut self, connection_id: ConnectionId, now: Timestamp) {
        let Some(connection) = self.connections.get_mut(&connection_id) else { return };
        (connection.used_at, connection.established) = (now, true);
        if let Some(machine) = self.by_id.get_mut(&connection.machine) {
            connection.machine_seen_before = machine.last_seen_at;
            // Its machine may have accepted one that was asked for before, before it wrote the reports.
            machine.reports_lost_at =
                machine.reports_lost_at.filter(|lost_at| *lost_at > connection.opened_at);
            machine.mark_alive(connection.opened_at, SignOfLife::Connected);
        }
    }

    /// Closes the sending side of a connection: it is used for nothing more, and only what its machine still
    /// has to say is awaited there.
    pub fn retire_connection(&mut self, connection_id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&connection_id) else { return };
        connection.retired = true;
        self.pool.begin_closing(connection_id.0);
        if let Some(machine) = self.by_id.get_mut(&connection.machine) {
            machine.connections.retain(|other| *other != connection_id);
        }
    }

    /// Removes a connection and frees its descriptor.
    pub fn remove_connection(
        &mut self,
        now: Timestamp,
        connection_id: ConnectionId,
    ) -> Option<MachineConnection> {
        self.pool.remove(connection_id.0);
        let connection = self.connections.remove(&connection_id)?;
        if let Some(machine) = self.by_id.get_mut(&connection.machine) {
            machine.connections.retain(|other| *other != connection_id);
            machine.stop_orders.on_disconnected(now, connection_id);
        }
        Some(connection)
    }

    /// Forgets the machines that left the list and of which nothing is left.
    pub fn forget_removed(&mut self, is_needed: impl Fn(MachineId) -> bool) {
        self.by_id.retain(|id, machine| {
            machine.entry.state != MachineState::Removed || !machine.connections.is_empty() || is_needed(*id)
        });
    }
}
