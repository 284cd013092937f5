//! The exchange between schedulers: anti-entropy of their logs, membership, directives and share transfers.
//!
//! Each scheduler keeps connections to a few neighbors, redrawn from time to time. On each connection both
//! sides first send a digest of the heads of all logs; where the digests differ, the heads, and from then on
//! those that change. Entries are sent on request, in batches. Directives and share transfers go ahead of
//! entries. Nothing is pushed to a peer that doesn't read until it does, and other peers are not delayed.
//!
//! The exchange owns the [`Ledger`] and all connection state. It runs on one thread: in production that of
//! `threads`, in simulations that of the caller.
//!
//! - `peer`: a connection and what its peer knows
//! - `cursor`: the state of replicating one set of logs with one peer
//! - `receive`: decoding, handshake, dispatch
//! - `replication`: heads and entries
//! - `work_logs`: which logs of few copies go to whom
//! - `directives`, `heartbeat`, `share_transfers`: what else goes over a connection
//! - `connections`, `neighbors`: which connections there are
//! - `status`: lines for the operators

mod connections;
mod cursor;
mod directives;
mod heartbeat;
mod neighbors;
mod peer;
mod receive;
mod replication;
mod share_transfers;
mod status;
mod work_logs;

use self::peer::Peer;
use self::work_logs::ReplicaChoice;
use crate::shared_pools::SharedPools;
use mulleinhub_interface::{Duration, Pcg, Timestamp};
use mulleinhub_quota::{Ledger, Settings};
use mulleinhub_replicated_log::{
    Directive, LOG_KINDS, LogChange, LogChanges, LogKind, LogPositions, Name, PersistedLogs,
};
use mulleinhub_resilience::PAUSE_THRESHOLD;
use mulleinhub_sans_io::{CloseReason, ConnectionId, Connections, ListenerId, StateMachine};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Heads, heartbeats or directives in one message.
const MAX_ITEMS: usize = 512;
/// Nothing more is pushed to a peer with more unsent bytes than this.
const MAX_UNSENT_BYTES: usize = 256 * 1024;

/// A scheduler with which logs are exchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name, by which all members know it.
    pub name: Name,
    /// Where it listens.
    pub address: String,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExchangeCounters {
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes written.
    pub bytes_out: u64,
    /// Entries received that were new.
    pub entries_in: u64,
    /// Peers that broke the protocol and were disconnected.
    pub protocol_errors: u64,
    /// Forked logs that were found.
    pub forks: u64,
    /// Requests for parts of other members' shares.
    pub share_requests: u64,
    /// Share replies received that granted something.
    pub share_grants: u64,
}

/// When a connection to a member is retried after failures.
#[derive(Debug, Default)]
struct Retry {
    /// Failed attempts since the last connection that was established.
    failures: u32,
    /// No attempt is made before this time.
    not_before: Timestamp,
}

/// The exchange of one scheduler with all others: a state machine without I/O.
pub struct Exchange {
    ledger: Ledger,
    pools: Arc<SharedPools>,
    connections: Connections,
    /// The other members and where they listen.
    addresses: BTreeMap<Name, String>,
    peers: BTreeMap<ConnectionId, Peer>,
    /// Connections with received bytes that are not yet decoded.
    arrived: BTreeSet<ConnectionId>,
    neighbors: BTreeSet<Name>,
    /// The replicas of our work log; they are neighbors for as long as they are replicas.
    replicas: Vec<Name>,
    /// What the replicas were last chosen by.
    replica_choice: ReplicaChoice,
    choose_replicas_at: Timestamp,
    redraw_neighbors_at: Timestamp,
    connect_dead_at: Timestamp,
    /// Random source beside the ledger's own.
    random: Pcg,
    retries: BTreeMap<Name, Retry>,
    banned_until: BTreeMap<Name, Timestamp>,
    heartbeat_interval: Duration,
    /// Our own heartbeats in this incarnation.
    heartbeats: u64,
    next_heartbeat_at: Timestamp,
    status_at: Timestamp,
    /// The time of day, in milliseconds of Unix time.
    utc_ms: u64,
    now: Timestamp,
    /// When the next poll was due, as of the last one.
    expected_poll_at: Option<Timestamp>,
    /// Another poll is due at once.
    poll_again: bool,
    /// The first poll has run.
    has_polled: bool,
    counters: ExchangeCounters,
    /// Space for encoding a message.
    scratch: Vec<u8>,
}

impl Exchange {
    /// An exchange with `members` (this one included). `incarnation` must be greater at each start;
    /// `persisted` is what the store had.
    pub fn new(
        settings: Settings,
        members: Vec<Member>,
        incarnation: u64,
        seed: u64,
        persisted: impl Into<PersistedLogs>,
        pools: Arc<SharedPools>,
    ) -> Self {
        let heartbeat_interval = heartbeat::interval(members.len());
        let me = settings.me.clone();
        let others = members.into_iter().filter(|member| member.name != me);
        Self {
            ledger: Ledger::new(settings, incarnation, seed, persisted.into(), heartbeat_interval),
            pools,
            connections: Connections::default(),
            addresses: others.map(|member| (member.name, member.address)).collect(),
            peers: BTreeMap::new(),
            arrived: BTreeSet::new(),
            neighbors: BTreeSet::new(),
            replicas: Vec::new(),
            replica_choice: ReplicaChoice::default(),
            choose_replicas_at: Timestamp::default(),
            redraw_neighbors_at: Timestamp::default(),
            connect_dead_at: Timestamp::default(),
            random: Pcg::new(seed),
            retries: BTreeMap::new(),
            banned_until: BTreeMap::new(),
            heartbeat_interval,
            heartbeats: 0,
            next_heartbeat_at: Timestamp::default(),
            status_at: Timestamp::default(),
            utc_ms: 0,
            now: Timestamp::default(),
            expected_poll_at: None,
            poll_again: false,
            has_polled: false,
            counters: ExchangeCounters::default(),
            scratch: Vec::new(),
        }
    }

    /// Makes it neither read nor write work logs, as earlier versions do; for tests of mixed fleets.
    #[must_use]
    pub fn without_work_logs(mut self) -> Self {
        self.ledger = self.ledger.without_work_logs();
        self
    }

    /// The replicas of our work log, the first choice first.
    pub fn replicas(&self) -> &[Name] {
        &self.replicas
    }

    /// The ledger.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Counts since the start.
    pub fn counters(&self) -> ExchangeCounters {
        self.counters
    }

    /// The time of day for the next poll, in milliseconds of Unix time.
    pub fn set_clock(&mut self, utc_ms: u64) {
        self.utc_ms = utc_ms;
    }

    /// The changes to persist; [`on_durable`](Self::on_durable) is to be called once they are.
    pub fn take_changes(&mut self) -> LogChanges {
        self.ledger.take_changes()
    }

    /// The numbers of the last own entries among changes, for each kind of log; zero for none.
    pub fn last_own_entries(&self, changes: &LogChanges) -> LogPositions {
        let own = self.ledger.fleet_logs().own_id();
        let last = |changes: &[LogChange]| {
            let numbers = changes.iter().filter_map(|change| match change {
                LogChange::Append { id, number, .. } if id == own => Some(*number),
                _ => None,
            });
            numbers.max().unwrap_or(0)
        };
        LogPositions { fleet: last(&changes.fleet), work: last(&changes.work) }
    }

    /// Own entries up to these numbers are on disk, and may be announced.
    pub fn on_durable(&mut self, reached: LogPositions) {
        self.ledger.on_durable(reached);
        self.poll_again = true;
    }

    /// Applies directives of the operators' file.
    pub fn apply_directives(&mut self, directives: &[Directive]) {
        directives.iter().for_each(|directive| self.ledger.apply_directive(directive));
        self.poll_again = true;
    }

    /// Whether no peer is connected.
    pub fn is_alone(&self) -> bool {
        !self.peers.values().any(|peer| peer.established)
    }

    /// Where this poll comes much later than it was due, the process was paused: the peers' silence of that
    /// time doesn't count.
    fn on_process_pause(&mut self) {
        let late =
            self.expected_poll_at.map_or(Duration::ZERO, |expected_poll_at| self.now - expected_poll_at);
        if late > PAUSE_THRESHOLD {
            self.ledger.on_process_pause(self.now, late);
            self.peers.values_mut().for_each(|peer| peer.on_process_pause(late));
        }
    }

    /// Ticks the ledger where a tick is due or requested.
    fn tick_ledger(&mut self) {
        let pools = self.pools.clone();
        if pools.take_machines_reported() {
            self.ledger.on_all_machines_reported();
        }
        if pools.take_tick_request() || self.ledger.next_tick().is_none_or(|due| due <= self.now) {
            self.ledger.tick(self.now, self.utc_ms, &mut &*pools);
        }
        for alert in self.ledger.take_alerts() {
            tracing::error!("{alert}");
        }
    }

    /// Pushes what is new to each peer, and requests what we lack.
    fn replicate(&mut self) {
        let established = self.peers.iter().filter(|(_, peer)| peer.established);
        let connections: Vec<ConnectionId> = established.map(|(connection, _)| *connection).collect();
        let mut pending = LOG_KINDS.map(|kind| (kind, self.pending_logs(kind)));
        for connection in connections {
            self.push(connection);
            self.push_work_heads(connection);
            pending.iter_mut().for_each(|(kind, pending)| self.request_entries(connection, *kind, pending));
        }
    }

    /// The earliest time at which something can be pushed. Peers that don't read are left out.
    fn next_push_at(&self) -> Option<Timestamp> {
        let next = |kind: LogKind| {
            let revision = self.ledger.logs(kind).revision();
            let waits = |(connection, peer): &(&ConnectionId, &Peer)| {
                let is_read = kind == LogKind::Fleet || peer.reads_work_logs;
                let is_behind = peer.established && is_read && peer.cursor(kind).is_behind(revision);
                is_behind && self.connections.pending_bytes(**connection) <= MAX_UNSENT_BYTES
            };
            self.peers.iter().filter(waits).map(|(_, peer)| peer.cursor(kind).next_push_at()).min()
        };
        LOG_KINDS.into_iter().filter_map(next).min()
    }
}

impl StateMachine for Exchange {
    fn on_connection_accepted(&mut self, now: Timestamp, connection: ConnectionId, _: ListenerId) {
        self.now = self.now.max(now);
        self.peers.insert(connection, Peer::accepted(self.now));
    }

    fn on_connected(&mut self, now: Timestamp, connection: ConnectionId) {
        self.now = self.now.max(now);
        self.write_hello(connection, now);
    }

    fn on_data(&mut self, now: Timestamp, connection: ConnectionId, bytes: &[u8]) {
        self.now = self.now.max(now);
        self.counters.bytes_in += bytes.len() as u64;
        if let Some(peer) = self.peers.get_mut(&connection) {
            peer.frames.take(bytes);
            self.arrived.insert(connection);
        }
    }

    fn on_closed(&mut self, now: Timestamp, connection: ConnectionId, _: CloseReason) {
        self.now = self.now.max(now);
        self.connections.remove(connection);
        self.on_connection_failed(connection);
    }

    fn poll(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
        self.poll_again = false;
        self.on_process_pause();
        self.has_polled = true;
        self.receive_all();
        self.count_heartbeat();
        self.note_caught_up();
        self.tick_ledger();
        self.transfer_shares();
        self.update_connections();
        self.replicate();
        self.update_status();
        self.expected_poll_at = self.next_wakeup();
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        if self.poll_again || !self.has_polled {
            return Some(self.now);
        }
        let due = [self.next_push_at(), self.ledger.next_tick(), Some(self.next_heartbeat_at)];
        due.into_iter().flatten().min()
    }

    fn connections(&mut self) -> &mut Connections {
        &mut self.connections
    }
}
