//! A few schedulers' books joined by wires that take no time, with disks that can be held up.

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
const MIDDLE: u64 = 1_792_022_400_000;

/// What is on a disk: rows by the kind of their log, column and number.
pub type Disk = BTreeMap<(LogKind, LogId, u64), (Digest, Vec<u8>)>;

thread_local! {
    /// What the settings of the schedulers ask for that are started in this test.
    static REPLICAS: Cell<Option<usize>> = const { Cell::new(None) };
}

/// A story in which each scheduler has a work log with so many replicas.
pub fn with_replicas(many: usize, story: fn()) {
    REPLICAS.set(Some(many));
    story();
    REPLICAS.set(None);
}

/// Schedulers that start from now on ask for so many replicas of their work logs.
pub fn ask_for_replicas(many: Option<usize>) {
    REPLICAS.set(many);
}

/// How many regions, and zones in all, the schedulers lie in, one after the other.
#[derive(Clone, Copy, Debug)]
pub struct Map {
    pub regions: usize,
    pub zones: usize,
}

impl Map {
    pub fn zone(self, n: usize) -> usize {
        n % self.zones
    }

    pub fn region(self, n: usize) -> usize {
        self.zone(n) % self.regions
    }

    fn site(self, n: usize) -> Location {
        let named = |what: &str, n: usize| Some(format!("{what}-{n}").as_str().into());
        Location { region: named("region", self.region(n)), zone: named("zone", self.zone(n)) }
    }
}

pub struct Node {
    pub exchange: Exchange,
    pub teller: AdmissionHandle,
    /// Nothing is written to its disk while this holds.
    pub disk_waits: bool,
    pub disk: Disk,
    waiting: Vec<(LogChanges, LogPositions)>,
}

pub struct Net {
    pub now: Timestamp,
    pub nodes: Vec<Option<Node>>,
    /// Pairs between whom nothing goes.
    pub cut: BTreeSet<(usize, usize)>,
    wires: BTreeMap<(usize, ConnectionId), (usize, ConnectionId)>,
    /// What goes to and comes from somebody who is no scheduler of ours.
    pub stranger: Vec<u8>,
    stranger_link: Option<(usize, ConnectionId)>,
    lives: u64,
    pub utc_off: u64,
    /// Messages by their kind.
    pub counted: BTreeMap<&'static str, u64>,
    /// Bytes that each scheduler wrote to others, of rows and all else.
    pub bytes: Vec<u64>,
    /// Schedulers that know no work logs, as versions before them.
    pub older: BTreeSet<usize>,
    map: Map,
    cap: u64,
}

pub fn name(n: usize) -> Name {
    format!("s{n}").as_str().into()
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_nanos(ms * 1_000_000)
}

pub fn settings(n: usize, many: usize, cap: u64, map: Map) -> Settings {
    let team = |name: &str, cap| Team {
        name: name.into(),
        account: Some("acme".into()),
        tenants: vec![name.into()],
        cap,
    };
    Settings {
        me: name(n),
        members: (0..many).map(name).collect(),
        teams: vec![team("free", None), team("pay", Some(cap))],
        prices: Prices { core_second: 10, memory_second: 0 },
        calendar: Calendar::in_zone("UTC").expect("is a zone"),
        open_millionths: 900_000,
        commitment: Duration::from_secs(10),
        catch_up_timeout: Duration::from_secs(3),
        replicas: REPLICAS.get(),
        locations: (0..many).map(|n| (name(n), map.site(n))).collect(),
    }
}

impl Net {
    /// So many schedulers that share a cap, all started and caught up.
    pub fn new(many: usize, cap: u64) -> Self {
        Self::over(many, cap, Map { regions: 1, zones: many }, &[])
    }

    /// The same, in zones and regions, and with some that know no work logs.
    pub fn over(many: usize, cap: u64, map: Map, older: &[usize]) -> Self {
        let mut net = Self {
            now: Timestamp::from_nanos(1_000_000_000),
            nodes: (0..many).map(|_| None).collect(),
            cut: BTreeSet::new(),
            wires: BTreeMap::new(),
            stranger: Vec::new(),
            stranger_link: None,
            lives: 0,
            utc_off: 0,
            counted: BTreeMap::new(),
            bytes: vec![0; many],
            older: older.iter().copied().collect(),
            map,
            cap,
        };
        (0..many).for_each(|n| net.start(n, BTreeMap::new()));
        net.run(ms(1_500));
        net
    }

    pub fn start(&mut self, n: usize, disk: Disk) {
        self.lives += 1;
        let many = self.nodes.len();
        let settings = settings(n, many, self.cap, self.map);
        let shelf: Arc<SharedPools> = SharedPools::new(&settings);
        let teller = AdmissionHandle::new(shelf.clone(), &settings);
        let members = (0..many).map(|m| Member { name: name(m), address: m.to_string() }).collect();
        let kept = |kind: LogKind| -> Vec<PersistedEntry> {
            let rows = disk.iter().filter(|((of, ..), _)| *of == kind);
            let kept = rows.map(|((_, id, number), (before, bytes))| PersistedEntry {
                id: id.clone(),
                number: *number,
                before: *before,
                bytes: bytes.clone(),
            });
            kept.collect()
        };
        let is_older = self.older.contains(&n);
        // A version that knows no work logs leaves their rows where they are, unread.
        let work = if is_older { Vec::new() } else { kept(LogKind::Work) };
        let kept = PersistedLogs { fleet: kept(LogKind::Fleet), work };
        let exchange = Exchange::new(settings, members, self.lives, 7 + n as u64, kept, shelf);
        let exchange = if is_older { exchange.without_work_logs() } else { exchange };
        self.nodes[n] = Some(Node { exchange, teller, disk_waits: false, disk, waiting: Vec::new() });
    }

    /// It dies at once; what is left of its disk.
    pub fn kill(&mut self, n: usize) -> Disk {
        let node = self.nodes[n].take().expect("is up");
        let links: Vec<(usize, ConnectionId)> =
            self.wires.keys().filter(|(of, _)| *of == n).copied().collect();
        for end in links {
            if let Some((other, link)) = self.wires.remove(&end) {
                self.wires.remove(&(other, link));
                if let Some(node) = &mut self.nodes[other] {
                    node.exchange.on_closed(self.now, link, CloseReason::Broken);
                }
            }
        }
        node.disk
    }

    /// Connections that a scheduler has, whoever opened them.
    pub fn connections(&self, n: usize) -> usize {
        self.wires.keys().filter(|(of, _)| *of == n).count()
    }

    pub fn node(&mut self, n: usize) -> &mut Node {
        self.nodes[n].as_mut().expect("is up")
    }

    /// Time passes for all that are up.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + STEP;
            for n in 0..self.nodes.len() {
                self.turn(n);
            }
        }
    }

    pub fn turn(&mut self, n: usize) {
        let now = self.now;
        let utc = MIDDLE + self.utc_off + now.nanos() / 1_000_000;
        let Some(node) = &mut self.nodes[n] else { return };
        node.exchange.set_clock(utc);
        node.exchange.poll(now);
        let changes = node.exchange.take_changes();
        if !changes.is_empty() {
            let last = node.exchange.last_own(&changes);
            node.waiting.push((changes, last));
        }
        if !node.disk_waits {
            for (changes, last) in std::mem::take(&mut node.waiting) {
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
                node.exchange.is_durable(last);
            }
        }
        self.carry(n);
    }

    fn carry(&mut self, n: usize) {
        loop {
            let Some(node) = &mut self.nodes[n] else { return };
            let links = node.exchange.connections();
            if let Some(link) = links.next_with_output() {
                self.carry_link(n, link);
                continue;
            }
            let Some(ask) = links.next_command() else { return };
            match ask {
                Command::Open(link, address) => {
                    let other: usize = address.parse().expect("is a number");
                    let apart = self.cut.contains(&(n.min(other), n.max(other)));
                    let now = self.now;
                    match self.nodes[other].as_mut().filter(|_| !apart) {
                        Some(node) => {
                            let theirs = node.exchange.connections().register();
                            node.exchange.on_connection_accepted(now, theirs, ListenerId(0));
                            self.wires.insert((n, link), (other, theirs));
                            self.wires.insert((other, theirs), (n, link));
                            self.node(n).exchange.on_connected(now, link);
                        }
                        None => self.node(n).exchange.on_closed(now, link, CloseReason::Refused),
                    }
                }
                Command::Close { connection: link, .. } => {
                    self.carry_link(n, link);
                    self.node(n).exchange.connections().discard(link);
                    if let Some((other, theirs)) = self.wires.remove(&(n, link)) {
                        self.wires.remove(&(other, theirs));
                        let now = self.now;
                        if let Some(node) = &mut self.nodes[other] {
                            node.exchange.on_closed(now, theirs, CloseReason::Closed);
                        }
                    } else if self.stranger_link == Some((n, link)) {
                        self.stranger_link = None;
                    }
                }
            }
        }
    }

    fn carry_link(&mut self, n: usize, link: ConnectionId) {
        let now = self.now;
        let wire = self.wires.get(&(n, link)).copied();
        let is_strange = self.stranger_link == Some((n, link));
        let apart = wire.is_some_and(|(other, _)| self.cut.contains(&(n.min(other), n.max(other))));
        let links = self.node(n).exchange.connections();
        let bytes = links.outgoing(link).to_vec();
        if bytes.is_empty() || apart {
            return;
        }
        links.mark_written(link, bytes.len());
        if is_strange {
            self.stranger.extend(bytes);
            return;
        }
        let Some((other, theirs)) = wire else { return };
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
            *self.counted.entry(kind).or_default() += 1;
        }
        if let Some(node) = &mut self.nodes[other] {
            node.exchange.on_data(now, theirs, &bytes);
        }
    }

    /// Somebody who is none of ours opens a connection, greets by this name, and writes these messages.
    pub fn stranger_says(&mut self, n: usize, name: &str, messages: &[Message<'_>]) {
        let mut bytes = Vec::new();
        if self.stranger_link.is_none() {
            let now = self.now;
            let link = self.node(n).exchange.connections().register();
            self.node(n).exchange.on_connection_accepted(now, link, ListenerId(0));
            self.stranger_link = Some((n, link));
            let features = protocol::BOOKS;
            protocol::encode(&Message::hello(Conversation::PlannerPlanner, features, name, 1, 0), &mut bytes);
        }
        messages.iter().for_each(|message| protocol::encode(message, &mut bytes));
        self.stranger_writes(n, &bytes);
    }

    pub fn stranger_writes(&mut self, n: usize, bytes: &[u8]) {
        let now = self.now;
        if let Some((_, link)) = self.stranger_link {
            self.node(n).exchange.on_data(now, link, bytes);
        }
        self.turn(n);
    }

    pub fn stranger_is_cut_off(&self) -> bool {
        self.stranger_link.is_none()
    }

    /// A worker of two cores, 20 micro-units a second, 200 reserved: asked for and running at once.
    pub fn add(&mut self, n: usize, key: u64) -> Result<Ticket, Duration> {
        let now = self.now;
        let teller = &mut self.node(n).teller;
        let ticket = teller.admit(now, "pay/tool", TaskKey(key), Resources::new(2.0, 1.0), 0.5)?;
        let ticket = ticket.expect("its tenant is of a team");
        teller.on_running(now, ticket);
        Ok(ticket)
    }

    /// As many as are taken, of so many.
    pub fn add_many(&mut self, n: usize, first: u64, many: u64) -> Vec<Ticket> {
        (first..first + many).filter_map(|key| self.add(n, key).ok()).collect()
    }

    /// So many, while blocks are drawn; those that were added within a second.
    pub fn fill(&mut self, n: usize, first: u64, many: u64) -> Vec<Ticket> {
        let mut added = Vec::new();
        for _ in 0..20 {
            for key in first + added.len() as u64..first + many {
                match self.add(n, key) {
                    Ok(ticket) => added.push(ticket),
                    Err(_) => break,
                }
            }
            if added.len() as u64 == many {
                break;
            }
            self.run(ms(50));
        }
        added
    }

    pub fn order(&mut self, n: usize, subject: Subject, number: u64, word: DirectiveAction) {
        self.node(n).exchange.order(&[Directive { subject, number, action: word }]);
    }

    /// Of all rows on all disks: how far each scheduler knows each column.
    pub fn all(&self) -> Vec<Digest> {
        self.nodes.iter().flatten().map(|node| node.exchange.keeper().fleet_logs().heads_digest()).collect()
    }
}
