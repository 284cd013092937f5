//! Test harness: ledgers of a few schedulers, connected without delay, with disks that can be blocked.

#![allow(dead_code, reason = "each test file uses its part")]

use mulleinhub_interface::{Duration, Quota, Resources, TaskKey, Ticket, Timestamp};
use mulleinhub_ledger::{AdmissionHandle, Exchange, Member, SharedPools};
use mulleinhub_protocol::{self as protocol, Conversation, Frames, Message};
use mulleinhub_quota::{Calendar, Prices, Settings, Team};
use mulleinhub_replicated_log::{
    Digest, Directive, DirectiveAction, Location, LogChange, LogChanges, LogId, LogKind, LogPositions, Name,
    PersistedEntry, PersistedLogs, Subject,
};
use mulleinhub_sans_io::{CloseReason, Command, ConnectionId, ListenerId, StateMachine};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub const STEP: Duration = Duration::from_nanos(10_000_000);
/// An instant in the middle of a month, in milliseconds of Unix time.
const MID_MONTH_MS: u64 = 1_792_022_400_000;

/// The entries on a disk, by kind of log, log and number.
pub type Disk = BTreeMap<(LogKind, LogId, u64), (Digest, Vec<u8>)>;

thread_local! {
    /// Replicas of work logs in the settings of schedulers that are started from now on.
    static REPLICAS: Cell<Option<usize>> = const { Cell::new(None) };
}

/// Runs a scenario in which each scheduler has a work log with this many replicas.
pub fn with_replica_count(count: usize, scenario: fn()) {
    REPLICAS.set(Some(count));
    scenario();
    REPLICAS.set(None);
}

/// Schedulers that start from now on have this many replicas of their work logs; `None` for no work logs.
pub fn set_replica_count(count: Option<usize>) {
    REPLICAS.set(count);
}

/// Number of regions, and of zones in all; the schedulers are spread over them in turn.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    pub regions: usize,
    pub zones: usize,
}

impl Topology {
    pub fn zone(self, n: usize) -> usize {
        n % self.zones
    }

    pub fn region(self, n: usize) -> usize {
        self.zone(n) % self.regions
    }

    fn location(self, n: usize) -> Location {
        let named = |what: &str, n: usize| Some(format!("{what}-{n}").as_str().into());
        Location { region: named("region", self.region(n)), zone: named("zone", self.zone(n)) }
    }
}

pub struct Node {
    pub exchange: Exchange,
    pub admission: AdmissionHandle,
    /// Nothing is written to the disk while this is set.
    pub disk_blocked: bool,
    pub disk: Disk,
    unwritten: Vec<(LogChanges, LogPositions)>,
}

pub struct Network {
    pub now: Timestamp,
    pub nodes: Vec<Option<Node>>,
    /// Pairs of schedulers that can't reach each other, the lower index first.
    pub partitioned: BTreeSet<(usize, usize)>,
    peers: BTreeMap<(usize, ConnectionId), (usize, ConnectionId)>,
    /// What was sent to a peer that is not one of the schedulers.
    pub intruder: Vec<u8>,
    intruder_connection: Option<(usize, ConnectionId)>,
    incarnations: u64,
    pub utc_offset_ms: u64,
    /// Number of messages by kind.
    pub message_counts: BTreeMap<&'static str, u64>,
    /// Bytes that each scheduler sent to others.
    pub bytes: Vec<u64>,
    /// Schedulers of an earlier version, which knows no work logs.
    pub older: BTreeSet<usize>,
    map: Topology,
    cap: u64,
}

pub fn name(n: usize) -> Name {
    format!("s{n}").as_str().into()
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_nanos(ms * 1_000_000)
}

pub fn settings(n: usize, count: usize, cap: u64, map: Topology) -> Settings {
    let team = |name: &str, cap| Team {
        name: name.into(),
        account: Some("acme".into()),
        tenants: vec![name.into()],
        cap,
    };
    Settings {
        me: name(n),
        members: (0..count).map(name).collect(),
        teams: vec![team("free", None), team("pay", Some(cap))],
        prices: Prices { core_second: 10, memory_second: 0 },
        calendar: Calendar::in_zone("UTC").expect("is a zone"),
        open_millionths: 900_000,
        commitment: Duration::from_secs(10),
        catch_up_timeout: Duration::from_secs(3),
        replicas: REPLICAS.get(),
        locations: (0..count).map(|n| (name(n), map.location(n))).collect(),
    }
}

impl Network {
    /// This many schedulers that share a cap, all started and caught up.
    pub fn new(count: usize, cap: u64) -> Self {
        Self::over(count, cap, Topology { regions: 1, zones: count }, &[])
    }

    /// The same, in zones and regions, and with some schedulers of an earlier version.
    pub fn over(count: usize, cap: u64, map: Topology, older: &[usize]) -> Self {
        let mut network = Self {
            now: Timestamp::from_nanos(1_000_000_000),
            nodes: (0..count).map(|_| None).collect(),
            partitioned: BTreeSet::new(),
            peers: BTreeMap::new(),
            intruder: Vec::new(),
            intruder_connection: None,
            incarnations: 0,
            utc_offset_ms: 0,
            message_counts: BTreeMap::new(),
            bytes: vec![0; count],
            older: older.iter().copied().collect(),
            map,
            cap,
        };
        (0..count).for_each(|n| network.start(n, BTreeMap::new()));
        network.run(ms(1_500));
        network
    }

    pub fn start(&mut self, n: usize, disk: Disk) {
        self.incarnations += 1;
        let count = self.nodes.len();
        let settings = settings(n, count, self.cap, self.map);
        let pools: Arc<SharedPools> = SharedPools::new(&settings);
        let admission = AdmissionHandle::new(pools.clone(), &settings);
        let members = (0..count).map(|m| Member { name: name(m), address: m.to_string() }).collect();
        let persisted = |kind: LogKind| -> Vec<PersistedEntry> {
            let rows = disk.iter().filter(|((of, ..), _)| *of == kind);
            let persisted = rows.map(|((_, id, number), (before, bytes))| PersistedEntry {
                id: id.clone(),
                number: *number,
                before: *before,
                bytes: bytes.clone(),
            });
            persisted.collect()
        };
        let is_older = self.older.contains(&n);
        // An earlier version leaves the entries of work logs on disk, unread.
        let work = if is_older { Vec::new() } else { persisted(LogKind::Work) };
        let persisted = PersistedLogs { fleet: persisted(LogKind::Fleet), work };
        let exchange = Exchange::new(settings, members, self.incarnations, 7 + n as u64, persisted, pools);
        let exchange = if is_older { exchange.without_work_logs() } else { exchange };
        self.nodes[n] = Some(Node { exchange, admission, disk_blocked: false, disk, unwritten: Vec::new() });
    }

    /// Kills a scheduler; returns its disk.
    pub fn kill(&mut self, n: usize) -> Disk {
        let node = self.nodes[n].take().expect("is up");
        let connections: Vec<(usize, ConnectionId)> =
            self.peers.keys().filter(|(of, _)| *of == n).copied().collect();
        for end in connections {
            if let Some((other, connection)) = self.peers.remove(&end) {
                self.peers.remove(&(other, connection));
                if let Some(node) = &mut self.nodes[other] {
                    node.exchange.on_closed(self.now, connection, CloseReason::Broken);
                }
            }
        }
        node.disk
    }

    /// Number of connections of a scheduler, whoever opened them.
    pub fn connections(&self, n: usize) -> usize {
        self.peers.keys().filter(|(of, _)| *of == n).count()
    }

    pub fn node(&mut self, n: usize) -> &mut Node {
        self.nodes[n].as_mut().expect("is up")
    }

    /// Advances the time for all schedulers that are up.
    pub fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now = self.now + STEP;
            for n in 0..self.nodes.len() {
                self.poll(n);
            }
        }
    }

    pub fn poll(&mut self, n: usize) {
        let now = self.now;
        let utc = MID_MONTH_MS + self.utc_offset_ms + now.nanos() / 1_000_000;
        let Some(node) = &mut self.nodes[n] else { return };
        node.exchange.set_clock(utc);
        node.exchange.poll(now);
        let changes = node.exchange.take_changes();
        if !changes.is_empty() {
            let last = node.exchange.last_own_entries(&changes);
            node.unwritten.push((changes, last));
        }
        if !node.disk_blocked {
            for (changes, last) in std::mem::take(&mut node.unwritten) {
                for (kind, change) in changes.into_each() {
                    match change {
                        LogChange::Append { id, number, before, bytes } => {
                            node.disk.insert((kind, id, number), (before, bytes.to_vec()));
                        }
                        LogChange::Trim { id, below } => node.disk.retain(|(of_kind, of, number), _| {
                            (of_kind, of) != (&kind, &id) || *number >= below
                        }),
                        LogChange::Drop { id } => {
                            node.disk.retain(|(of_kind, of, _), _| (of_kind, of) != (&kind, &id));
                        }
                    }
                }
                node.exchange.on_durable(last);
            }
        }
        self.deliver(n);
    }

    fn deliver(&mut self, n: usize) {
        loop {
            let Some(node) = &mut self.nodes[n] else { return };
            let connections = node.exchange.connections();
            if let Some(connection) = connections.next_with_output() {
                self.deliver_on(n, connection);
                continue;
            }
            let Some(command) = connections.next_command() else { return };
            match command {
                Command::Open(connection, address) => {
                    let other: usize = address.parse().expect("is a number");
                    let is_partitioned = self.partitioned.contains(&(n.min(other), n.max(other)));
                    let now = self.now;
                    match self.nodes[other].as_mut().filter(|_| !is_partitioned) {
                        Some(node) => {
                            let theirs = node.exchange.connections().register();
                            node.exchange.on_connection_accepted(now, theirs, ListenerId(0));
                            self.peers.insert((n, connection), (other, theirs));
                            self.peers.insert((other, theirs), (n, connection));
                            self.node(n).exchange.on_connected(now, connection);
                        }
                        None => self.node(n).exchange.on_closed(now, connection, CloseReason::Refused),
                    }
                }
                Command::Close { connection, .. } => {
                    self.deliver_on(n, connection);
                    self.node(n).exchange.connections().discard(connection);
                    if let Some((other, theirs)) = self.peers.remove(&(n, connection)) {
                        self.peers.remove(&(other, theirs));
                        let now = self.now;
                        if let Some(node) = &mut self.nodes[other] {
                            node.exchange.on_closed(now, theirs, CloseReason::Closed);
                        }
                    } else if self.intruder_connection == Some((n, connection)) {
                        self.intruder_connection = None;
                    }
                }
            }
        }
    }

    fn deliver_on(&mut self, n: usize, connection: ConnectionId) {
        let now = self.now;
        let peer = self.peers.get(&(n, connection)).copied();
        let is_intruder = self.intruder_connection == Some((n, connection));
        let is_partitioned =
            peer.is_some_and(|(other, _)| self.partitioned.contains(&(n.min(other), n.max(other))));
        let connections = self.node(n).exchange.connections();
        let bytes = connections.outgoing(connection).to_vec();
        if bytes.is_empty() || is_partitioned {
            return;
        }
        connections.mark_written(connection, bytes.len());
        if is_intruder {
            self.intruder.extend(bytes);
            return;
        }
        let Some((other, theirs)) = peer else { return };
        self.bytes[n] += bytes.len() as u64;
        let mut frames = Frames::default();
        frames.take(&bytes);
        while let Ok(Some(frame)) = frames.next_frame() {
            let kind = match protocol::decode(frame) {
                Ok(Message::ShareAsk { .. }) => "share-ask",
                Ok(Message::ShareGiven { .. }) => "share-given",
                Ok(Message::Rows { log: Some(_), .. }) => "work-rows",
                Ok(Message::Tips { log: Some(_), .. }) => "work-tips",
                Ok(Message::Rows { .. }) => "rows",
                Ok(Message::Tips { .. }) => "tips",
                _ => "other",
            };
            *self.message_counts.entry(kind).or_default() += 1;
        }
        if let Some(node) = &mut self.nodes[other] {
            node.exchange.on_data(now, theirs, &bytes);
        }
    }

    /// A peer that is not one of the schedulers connects, sends a hello with this name, and these messages.
    pub fn intruder_sends(&mut self, n: usize, name: &str, messages: &[Message<'_>]) {
        let mut bytes = Vec::new();
        if self.intruder_connection.is_none() {
            let now = self.now;
            let connection = self.node(n).exchange.connections().register();
            self.node(n).exchange.on_connection_accepted(now, connection, ListenerId(0));
            self.intruder_connection = Some((n, connection));
            let features = protocol::BOOKS;
            protocol::encode(&Message::hello(Conversation::PlannerPlanner, features, name, 1, 0), &mut bytes);
        }
        messages.iter().for_each(|message| protocol::encode(message, &mut bytes));
        self.intruder_writes(n, &bytes);
    }

    pub fn intruder_writes(&mut self, n: usize, bytes: &[u8]) {
        let now = self.now;
        if let Some((_, connection)) = self.intruder_connection {
            self.node(n).exchange.on_data(now, connection, bytes);
        }
        self.poll(n);
    }

    pub fn intruder_is_disconnected(&self) -> bool {
        self.intruder_connection.is_none()
    }

    /// Admits and starts a worker of two cores: 20 micro-units a second, 200 reserved.
    pub fn add(&mut self, n: usize, key: u64) -> Result<Ticket, Duration> {
        let now = self.now;
        let admission = &mut self.node(n).admission;
        let ticket = admission.admit(now, "pay/tool", TaskKey(key), Resources::new(2.0, 1.0), 0.5)?;
        let ticket = ticket.expect("its tenant is of a team");
        admission.on_running(now, ticket);
        Ok(ticket)
    }

    /// Tries to add this many; returns those admitted.
    pub fn add_many(&mut self, n: usize, first: u64, count: u64) -> Vec<Ticket> {
        (first..first + count).filter_map(|key| self.add(n, key).ok()).collect()
    }

    /// Adds this many, unwritten for reservations; returns those admitted within a second.
    pub fn fill(&mut self, n: usize, first: u64, count: u64) -> Vec<Ticket> {
        let mut added = Vec::new();
        for _ in 0..20 {
            for key in first + added.len() as u64..first + count {
                match self.add(n, key) {
                    Ok(ticket) => added.push(ticket),
                    Err(_) => break,
                }
            }
            if added.len() as u64 == count {
                break;
            }
            self.run(ms(50));
        }
        added
    }

    pub fn apply_directive(&mut self, n: usize, subject: Subject, number: u64, word: DirectiveAction) {
        self.node(n).exchange.apply_directives(&[Directive { subject, number, action: word }]);
    }

    /// The digest of all heads of fleet logs, at each scheduler that is up.
    pub fn heads_digests(&self) -> Vec<Digest> {
        self.nodes.iter().flatten().map(|node| node.exchange.ledger().fleet_logs().heads_digest()).collect()
    }
}
