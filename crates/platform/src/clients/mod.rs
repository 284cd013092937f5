//! Client connections: what was received on them, and which tasks are to be answered there.

mod accept;
mod backpressure;
mod cancel;
mod messages;
mod reports;
mod start_requests;

pub use backpressure::PARKED_CLIENTS_INTERVAL;
pub use cancel::{cancel_task, close_client, remove_disconnected_client, report_cancelled};
pub use messages::{enforce_limits, handle_input, prove_client_of, proves_itself};

use crate::inbound::ReadMark;
use backpressure::ParkedClient;
use mulleinhub_interface::{Duration, TaskId, Timestamp};
use mulleinhub_limits::{AcceptBudget, ClientLoad, ConnectionLimits, InputBudget, Settings};
use mulleinhub_platform_protocol::{Cause, FrameBuffer};
use mulleinhub_sans_io::{CloseReason, ConnectionId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Connections without a message so far may use one in so many descriptors.
const UNIDENTIFIED_DIVISOR: usize = 8;
/// A new connection must send its first message within this.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_nanos(2_000_000_000);
/// A message must be complete within this.
const MESSAGE_TIMEOUT: Duration = Duration::from_nanos(2_000_000_000);
/// A connection that is idle for longer may be closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long an idle connection has after that.
const IDLE_GRACE: Duration = Duration::from_secs(10);
/// A client that sent something within this is served before those that wake up.
const ACTIVE_WITHIN: Duration = Duration::from_secs(5);
/// A connection that was just accepted, or just spoke, is not evicted for this long.
const EVICTION_GRACE: Duration = Duration::from_nanos(20_000_000);
/// What a client sends first has had an effect that proves it by then.
const PROOF_TIME: Duration = Duration::from_nanos(300_000_000);
/// Connections that were idle before and are handled in one iteration.
const MAX_WOKEN: usize = 256;
/// One name for all clients, as the platform's have none.
const CLIENT_NAME: &str = "owner";

/// The connection of a client.
#[derive(Debug)]
pub struct Client {
    /// Bytes received and not handled yet.
    pub frames: FrameBuffer,
    /// How many those are, as the budget counts them.
    unhandled_bytes: usize,
    /// How it was closed, once it was; what was received before is handled first.
    pub close_reason: Option<CloseReason>,
    /// It has closed its sending side: it wants nothing more that it asked for.
    pub has_left: bool,
    /// It stands in a queue of connections to be handled.
    pub queued: bool,
    /// Since when a part of a message has been here, if one is.
    pub partial_since: Option<Timestamp>,
    /// When the first of what waits to be handled was read.
    pub read_mark: ReadMark,
    /// How long that may have lain unread in the system.
    pub unread_wait: Duration,
    /// How long its first message may have waited before the connection was accepted; zero once it is handled.
    pub backlog_wait: Duration,
    /// When it was accepted.
    pub accepted_at: Timestamp,
    /// When bytes were last received.
    pub last_received_at: Timestamp,
    /// What shows that it is a client's: one that is proven may be notified of the end of any task. Guards against:
    /// a connection that only sent valid requests need be no client's, and ends that were reported there
    /// reached nobody.
    pub proof: ClientProof,
    /// It sent a valid start request, as clients do.
    pub has_requested: bool,
    /// It sent a health check, as those do that admit schedulers; clients send none.
    pub checks_health: bool,
    /// Tasks that are to be answered here.
    pub awaiting: BTreeSet<TaskId>,
    /// Those of them that the policy is notified of once everything here has been handled: the client may
    /// have left behind them. Seen: a client that sent many requests and left during a pause of this process
    /// had its tasks placed, as its leaving lay behind more messages than one iteration handles.
    pub admitted: Vec<TaskId>,
    /// Ends of tasks that were written to it lately and that it has not acknowledged, oldest first.
    pub unacknowledged_ends: VecDeque<UnreportedEnd>,
    /// Since when it is to be evicted: it is closed once an iteration has passed in which nothing of it was
    /// here to be handled. Seen: connections were closed with an unread start request on them.
    pub eviction_requested_at: Option<Timestamp>,
    /// There was no place for it: what it requests is refused, and then it is closed.
    pub rejected: bool,
}

impl Client {
    /// A connection that was just accepted.
    pub fn new(read_mark: ReadMark) -> Self {
        Self {
            frames: FrameBuffer::default(),
            unhandled_bytes: 0,
            close_reason: None,
            has_left: false,
            queued: false,
            partial_since: None,
            read_mark,
            unread_wait: Duration::ZERO,
            backlog_wait: Duration::ZERO,
            accepted_at: read_mark.at,
            last_received_at: read_mark.at,
            proof: ClientProof::Unproven,
            has_requested: false,
            checks_health: false,
            awaiting: BTreeSet::new(),
            admitted: Vec::new(),
            unacknowledged_ends: VecDeque::new(),
            eviction_requested_at: None,
            rejected: false,
        }
    }
}

impl Client {
    /// Whether anything shows that it is a client's.
    pub fn is_proven(&self) -> bool {
        self.proof != ClientProof::Unproven
    }

    /// Whether neither side has closed it.
    pub fn is_open(&self) -> bool {
        self.close_reason.is_none() && !self.has_left
    }
}

/// What has shown that a connection is a client's, the weakest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientProof {
    /// Nothing.
    Unproven,
    /// It handed a task over, of which no machine has told anything yet: it may have made the task up.
    HandedOver,
    /// A machine told of a task of it, or it acknowledged the end of one.
    TaskKnown,
}

/// Whether clients acknowledge the ends of tasks, which is free to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acknowledgement {
    /// None did so far, and none passed an end over in silence.
    Unknown,
    /// One did.
    Expected,
    /// One has sent something long after it was sent an end, and has not acknowledged that.
    Omitted,
}

/// The end of a task that no client was connected to receive.
#[derive(Clone, Copy, Debug)]
pub struct UnreportedEnd {
    /// When it was to be reported.
    pub since: Timestamp,
    /// The task.
    pub task: TaskId,
    /// How it ended.
    pub cause: Cause,
    /// A connection that may be a client's on which it was sent for want of a proven one.
    pub offered_on: Option<ConnectionId>,
}

/// All client connections, the limits on them, and reports that wait for a client. In memory only.
#[derive(Debug)]
pub struct Clients {
    /// The clients by their connections.
    pub by_connection: BTreeMap<ConnectionId, Client>,
    /// Limits and deadlines of their connections, and the order in which they are served.
    pub limits: ConnectionLimits,
    /// How many connections are accepted beyond the limits, for a moment.
    accept_gate: AcceptBudget,
    /// Those that are to be evicted, as of the last iteration and of this one.
    eviction_candidates: Vec<ConnectionId>,
    /// Those for which there was no place, the first to come first, and until when they may send requests.
    rejected: VecDeque<(Timestamp, ConnectionId)>,
    /// Whether clients acknowledge the ends that they read.
    pub acknowledgement: Acknowledgement,
    /// How long connections that are accepted now may have waited for that.
    pub backlog_wait: Duration,
    /// How long the bytes of a client that are reported next may have lain unread in the system.
    pub unread_wait: Duration,
    /// Ends of tasks that no client was connected to receive, oldest first.
    pub unreported_ends: VecDeque<UnreportedEnd>,
    /// Clients with tasks that are to be answered.
    awaiting_clients: usize,
    /// Input that was received and not handled.
    pub input_budget: InputBudget,
    /// Clients whose input waits until they have read their output.
    parked: BTreeMap<ConnectionId, ParkedClient>,
    name: Arc<str>,
}

impl Clients {
    /// No clients yet, in a process with so many descriptors and so many megabytes of memory.
    pub fn new(descriptors: usize, memory_mb: usize) -> Self {
        let accept_gate = AcceptBudget::new(descriptors);
        let mut limits = ConnectionLimits::new(Settings {
            max_connections: descriptors,
            max_per_tenant: descriptors,
            max_per_name: descriptors,
            max_unidentified: (descriptors / UNIDENTIFIED_DIVISOR).max(1),
            max_accepts_per_iteration: accept_gate.max_accepts,
            greeting_timeout: FIRST_MESSAGE_TIMEOUT,
            frame_timeout: MESSAGE_TIMEOUT,
            keepalive_time: IDLE_TIMEOUT,
            keepalive_timeout: IDLE_GRACE,
            steady_period: ACTIVE_WITHIN,
            eviction_grace: EVICTION_GRACE,
            max_queued_per_iteration: MAX_WOKEN,
        });
        limits.set_descriptor_limit(descriptors);
        Self {
            by_connection: BTreeMap::new(),
            limits,
            accept_gate,
            eviction_candidates: Vec::new(),
            rejected: VecDeque::new(),
            acknowledgement: Acknowledgement::Unknown,
            backlog_wait: Duration::ZERO,
            unread_wait: Duration::ZERO,
            unreported_ends: VecDeque::new(),
            awaiting_clients: 0,
            input_budget: InputBudget::new(memory_mb),
            parked: BTreeMap::new(),
            name: CLIENT_NAME.into(),
        }
    }

    /// Removes a client, with its input that was not handled.
    fn remove(&mut self, connection_id: ConnectionId) -> Option<Client> {
        self.limits.remove(connection_id.0);
        self.parked.remove(&connection_id);
        let client = self.by_connection.remove(&connection_id)?;
        self.awaiting_clients -= usize::from(!client.awaiting.is_empty());
        self.input_budget.update(client.unhandled_bytes, 0);
        Some(client)
    }

    /// Whether the input of any client waits until it has read its output.
    pub fn has_parked(&self) -> bool {
        !self.parked.is_empty()
    }

    /// The input of a client that waits to be handled has so many bytes now.
    pub fn record_unhandled(&mut self, connection_id: ConnectionId, bytes: usize) {
        let Some(client) = self.by_connection.get_mut(&connection_id) else { return };
        let before = std::mem::replace(&mut client.unhandled_bytes, bytes);
        self.input_budget.update(before, bytes);
    }

    /// It has sent a message that clients send.
    pub fn greeted(&mut self, connection_id: ConnectionId) {
        // There is no limit on one name here, and a second time changes nothing.
        let _ = self.limits.identify(connection_id.0, &self.name);
    }

    /// A task is to be answered on this connection.
    pub fn add_awaiting(&mut self, connection_id: ConnectionId, task: TaskId) {
        let Some(client) = self.by_connection.get_mut(&connection_id) else { return };
        self.awaiting_clients += usize::from(client.awaiting.is_empty());
        client.awaiting.insert(task);
        self.limits.set_tasks_in_flight(connection_id.0, client.awaiting.len() as u32);
    }

    /// A task is no longer to be answered on this connection.
    pub fn remove_awaiting(&mut self, connection_id: ConnectionId, task: TaskId) {
        let Some(client) = self.by_connection.get_mut(&connection_id) else { return };
        let was_last = client.awaiting.remove(&task) && client.awaiting.is_empty();
        self.awaiting_clients -= usize::from(was_last);
        self.limits.set_tasks_in_flight(connection_id.0, client.awaiting.len() as u32);
    }

    /// The policy is not notified of a task that was admitted on this connection. False where it has been.
    fn forget_admitted(&mut self, connection_id: ConnectionId, task: TaskId) -> bool {
        let Some(client) = self.by_connection.get_mut(&connection_id) else { return false };
        let position = client.admitted.iter().position(|admitted| *admitted == task);
        position.map(|position| client.admitted.remove(position)).is_some()
    }

    /// How much of what may wait for an answer is this client's.
    pub fn load_of(&self, connection_id: ConnectionId) -> ClientLoad {
        let client = self.by_connection.get(&connection_id);
        let in_flight = client.map_or(0, |client| client.awaiting.len());
        ClientLoad { in_flight, clients: self.awaiting_clients }
    }

    /// Tasks that are to be answered on this connection.
    fn awaiting_on(&self, connection_id: ConnectionId) -> Vec<TaskId> {
        let client = self.by_connection.get(&connection_id);
        client.map_or(Vec::new(), |client| client.awaiting.iter().copied().collect())
    }

    /// Where the end of a task is reported: on the connection that it came on, else on the one that last sent
    /// something of those with the best proof. Seen: a client that had made up the task that it handed over was
    /// notified in the place of another one.
    pub fn recipient(&self, came_on: Option<ConnectionId>) -> Option<ConnectionId> {
        let last_with = |proof: ClientProof| self.last_heard(|client| client.proof == proof);
        came_on
            .filter(|id| self.is_open(*id))
            .or_else(|| last_with(ClientProof::TaskKnown))
            .or_else(|| last_with(ClientProof::HandedOver))
    }

    /// Where a client may be that has connected anew and of which nothing has proven it yet: one that has sent a
    /// request, else one that has sent nothing for so long. Seen: silent connections that were opened after a
    /// client's were taken for clients before it.
    pub fn likely_recipient(&self, now: Timestamp) -> Option<ConnectionId> {
        let may_be = |client: &Client| {
            !client.checks_health && !client.rejected && now - client.accepted_at >= PROOF_TIME
        };
        let has_requested = |client: &Client| client.has_requested && may_be(client);
        self.last_heard(has_requested).or_else(|| self.last_heard(may_be))
    }

    /// Whether this client wants nothing more that it asked for.
    pub fn has_left(&self, connection_id: ConnectionId) -> bool {
        self.by_connection.get(&connection_id).is_some_and(|client| client.has_left)
    }

    /// Whether this connection is open.
    pub fn is_open(&self, connection_id: ConnectionId) -> bool {
        self.by_connection.get(&connection_id).is_some_and(Client::is_open)
    }

    /// The open connection that last sent something, of those for which this holds.
    fn last_heard(&self, which: impl Fn(&Client) -> bool) -> Option<ConnectionId> {
        let open = self.by_connection.iter().filter(|(_, client)| client.is_open());
        open.filter(|(_, client)| which(client))
            .max_by_key(|(connection_id, client)| (client.last_received_at, **connection_id))
            .map(|(connection_id, _)| *connection_id)
    }
}
