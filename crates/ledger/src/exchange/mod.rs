//! The exchange between schedulers: anti-entropy of their logs, membership, orders and share transfers.
//!
//! Each scheduler keeps connections to a few neighbors, drawn anew now and then. On each connection both
//! sides first tell a digest of the heads of all logs; where the digests differ, the heads, and from then on
//! those that change. Rows go to whoever asks for them, in pieces. Orders and share transfers go ahead of
//! rows. A peer that doesn't read is told nothing more until it does, and costs the others nothing.
//!
//! - `peer`: a connection and what its peer knows
//! - `cursor`: the state of replicating one set of logs with one peer
//! - `receive`: decoding, greeting, dispatch
//! - `replication`: heads and rows
//! - `work_logs`: which logs of few copies go to whom
//! - `orders`, `heartbeat`, `share_transfer`: what else goes over a connection
//! - `connections`, `neighbors`: which connections there are
//! - `status`: lines for the operators

mod connections;
mod cursor;
mod heartbeat;
mod neighbors;
mod orders;
mod peer;
mod receive;
mod replication;
mod share_transfer;
mod status;
mod work_logs;

use self::peer::Peer;
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

/// Heads, heartbeats or orders in one message.
const MAX_ITEMS: usize = 512;
/// A peer with more unwritten bytes than this is told nothing more until they are written.
const MAX_UNREAD: usize = 256 * 1024;

/// A scheduler that books are exchanged with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name, by which all members know it.
    pub name: Name,
    /// Where it listens.
    pub address: String,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes written.
    pub bytes_out: u64,
    /// Rows received that were new.
    pub rows_in: u64,
    /// Peers that broke the protocol and were cut off.
    pub bad: u64,
    /// Forked logs that were found.
    pub forks: u64,
    /// Asks for parts of others' shares.
    pub asks: u64,
    /// Parts of shares that were received.
    pub gifts: u64,
}

/// When a member is called again after failures.
#[derive(Debug, Default)]
struct Retry {
    /// Connections that didn't come up since the last one that did.
    failures: u32,
    /// It is not called before this instant.
    not_before: Timestamp,
}

/// The exchange of one scheduler with all others: a party without I/O of its own.
pub struct Exchange {
    keeper: Ledger,
    shelf: Arc<SharedPools>,
    links: Connections,
    /// The other members and where they listen.
    addresses: BTreeMap<Name, String>,
    peers: BTreeMap<ConnectionId, Peer>,
    /// Connections on which something came that is not yet decoded.
    arrived: BTreeSet<ConnectionId>,
    neighbors: BTreeSet<Name>,
    /// Who holds our work log: neighbors, for as long as they do.
    replicas: Vec<Name>,
    /// The members that could, and whether we write one, when they were chosen; and when to look again.
    usable: (Vec<Name>, bool),
    choose_at: Timestamp,
    redraw_at: Timestamp,
    call_dead_at: Timestamp,
    /// For what is drawn beside the ledger's draws.
    chance: Pcg,
    retries: BTreeMap<Name, Retry>,
    banned_until: BTreeMap<Name, Timestamp>,
    heartbeat_interval: Duration,
    /// Our own heartbeats in this life.
    heartbeats: u64,
    next_heartbeat_at: Timestamp,
    status_at: Timestamp,
    /// The time of day, in milliseconds of Unix time.
    utc: u64,
    now: Timestamp,
    /// When the next turn was asked for.
    promised: Option<Timestamp>,
    /// Another turn is wanted at once.
    turn_again: bool,
    /// The first turn has been.
    begun: bool,
    figures: Figures,
    /// Space for encoding a message.
    scratch: Vec<u8>,
}

impl Exchange {
    /// `life` is greater at each start.
    pub fn new(
        settings: Settings,
        members: Vec<Member>,
        life: u64,
        seed: u64,
        kept: impl Into<PersistedLogs>,
        shelf: Arc<SharedPools>,
    ) -> Self {
        let heartbeat_interval = heartbeat::interval(members.len());
        let me = settings.me.clone();
        let others = members.into_iter().filter(|member| member.name != me);
        Self {
            keeper: Ledger::new(settings, life, seed, kept.into(), heartbeat_interval),
            shelf,
            links: Connections::default(),
            addresses: others.map(|member| (member.name, member.address)).collect(),
            peers: BTreeMap::new(),
            arrived: BTreeSet::new(),
            neighbors: BTreeSet::new(),
            replicas: Vec::new(),
            usable: (Vec::new(), false),
            choose_at: Timestamp::default(),
            redraw_at: Timestamp::default(),
            call_dead_at: Timestamp::default(),
            chance: Pcg::new(seed),
            retries: BTreeMap::new(),
            banned_until: BTreeMap::new(),
            heartbeat_interval,
            heartbeats: 0,
            next_heartbeat_at: Timestamp::default(),
            status_at: Timestamp::default(),
            utc: 0,
            now: Timestamp::default(),
            promised: None,
            turn_again: false,
            begun: false,
            figures: Figures::default(),
            scratch: Vec::new(),
        }
    }

    /// It neither reads nor writes work logs, as versions before them: for trials of fleets of both.
    #[must_use]
    pub fn without_work_logs(mut self) -> Self {
        self.keeper = self.keeper.without_work_logs();
        self
    }

    /// Who holds our work log, the first choice first.
    pub fn replicas(&self) -> &[Name] {
        &self.replicas
    }

    /// The ledger.
    pub fn keeper(&self) -> &Ledger {
        &self.keeper
    }

    /// Counts since the start.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// The time of day for the next turn, in milliseconds of Unix time.
    pub fn set_clock(&mut self, utc: u64) {
        self.utc = utc;
    }

    /// What is to be kept; `is_durable` tells when it is.
    pub fn take_changes(&mut self) -> LogChanges {
        self.keeper.take_changes()
    }

    /// The last of our own rows among changes, of each of our logs.
    pub fn last_own(&self, changes: &LogChanges) -> LogPositions {
        let own = self.keeper.fleet_logs().own_id();
        let last = |changes: &[LogChange]| {
            let mine = changes.iter().filter_map(|change| match change {
                LogChange::Append { id, number, .. } if id == own => Some(*number),
                _ => None,
            });
            mine.max().unwrap_or(0)
        };
        LogPositions { fleet: last(&changes.fleet), work: last(&changes.work) }
    }

    /// Our own rows up to these are on disk.
    pub fn is_durable(&mut self, reached: LogPositions) {
        self.keeper.on_durable(reached);
        self.turn_again = true;
    }

    /// Orders of the operators, from their file.
    pub fn order(&mut self, orders: &[Directive]) {
        orders.iter().for_each(|order| self.keeper.apply_directive(order));
        self.turn_again = true;
    }

    /// Whether nobody is connected.
    pub fn is_alone(&self) -> bool {
        !self.peers.values().any(|peer| peer.greeted)
    }

    /// Where this turn comes much later than it was asked for, the process was paused: that is no silence of
    /// the others.
    fn excuse_pause(&mut self) {
        let late = self.promised.map_or(Duration::ZERO, |promised| self.now - promised);
        if late > PAUSE_THRESHOLD {
            self.keeper.on_process_pause(self.now, late);
            self.peers.values_mut().for_each(|peer| peer.excuse_pause(late));
        }
    }

    /// Lets the ledger act where it is time to, or where the planner asks for it.
    fn tick_ledger(&mut self) {
        let shelf = self.shelf.clone();
        if shelf.take_told() {
            self.keeper.on_all_machines_reported();
        }
        if shelf.take_wanted() || self.keeper.next_tick().is_none_or(|due| due <= self.now) {
            self.keeper.tick(self.now, self.utc, &mut &*shelf);
        }
        for words in self.keeper.take_alerts() {
            tracing::error!("{words}");
        }
    }

    /// Pushes what is new to each peer, and requests what we lack.
    fn replicate(&mut self) {
        let greeted = self.peers.iter().filter(|(_, peer)| peer.greeted);
        let links: Vec<ConnectionId> = greeted.map(|(link, _)| *link).collect();
        let mut pending = LOG_KINDS.map(|kind| (kind, self.pending_logs(kind)));
        for link in links {
            self.push(link);
            self.push_work_heads(link);
            pending.iter_mut().for_each(|(kind, pending)| self.request_rows(link, *kind, pending));
        }
    }

    /// The earliest instant at which something can be pushed. A peer that doesn't read is told more once it
    /// has read.
    fn next_push_at(&self) -> Option<Timestamp> {
        let next = |kind: LogKind| {
            let stamp = self.keeper.logs(kind).revision();
            let waits = |(link, peer): &(&ConnectionId, &Peer)| {
                let is_read = kind == LogKind::Fleet || peer.reads_work_logs;
                let is_behind = peer.greeted && is_read && peer.cursor(kind).is_behind(stamp);
                is_behind && self.links.pending_bytes(**link) <= MAX_UNREAD
            };
            self.peers.iter().filter(waits).map(|(_, peer)| peer.cursor(kind).next_push_at()).min()
        };
        LOG_KINDS.into_iter().filter_map(next).min()
    }
}

impl StateMachine for Exchange {
    fn on_connection_accepted(&mut self, now: Timestamp, link: ConnectionId, _: ListenerId) {
        self.now = self.now.max(now);
        self.peers.insert(link, Peer::accepted(self.now));
    }

    fn on_connected(&mut self, now: Timestamp, link: ConnectionId) {
        self.now = self.now.max(now);
        self.write_hello(link, now);
    }

    fn on_data(&mut self, now: Timestamp, link: ConnectionId, bytes: &[u8]) {
        self.now = self.now.max(now);
        self.figures.bytes_in += bytes.len() as u64;
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.frames.take(bytes);
            self.arrived.insert(link);
        }
    }

    fn on_closed(&mut self, now: Timestamp, link: ConnectionId, _: CloseReason) {
        self.now = self.now.max(now);
        self.links.remove(link);
        self.failed(link);
    }

    fn poll(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
        self.turn_again = false;
        self.excuse_pause();
        self.begun = true;
        self.receive_all();
        self.count_heartbeat();
        self.note_caught_up();
        self.tick_ledger();
        self.transfer_shares();
        self.update_connections();
        self.replicate();
        self.update_status();
        self.promised = self.next_wakeup();
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        if self.turn_again || !self.begun {
            return Some(self.now);
        }
        let due = [self.next_push_at(), self.keeper.next_tick(), Some(self.next_heartbeat_at)];
        due.into_iter().flatten().min()
    }

    fn connections(&mut self) -> &mut Connections {
        &mut self.links
    }
}
