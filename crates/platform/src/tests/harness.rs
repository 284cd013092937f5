//! Clients, machines and a discovery service around one scheduler, in virtual time: they do what a test says
//! and no more.

use crate::{Config, Scheduler};
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_platform_protocol::{FrameBuffer, code, kind, write_message};
use mulleinhub_sans_io::{CloseReason, Command, ConnectionId, ListenerId, StateMachine};
use std::collections::{BTreeMap, BTreeSet};

/// A message that the scheduler sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub at: Timestamp,
    pub kind: u8,
    pub task: u64,
    pub params: Vec<(u8, Vec<u8>)>,
}

impl Message {
    pub fn param(&self, code: u8) -> Option<&[u8]> {
        self.params.iter().find(|(c, _)| *c == code).map(|(_, value)| &value[..])
    }

    pub fn cause(&self) -> Option<u8> {
        self.param(code::CAUSE).map(|cause| cause[0])
    }
}

/// What an address does with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    Accepts,
    Refuses,
    /// It is neither established nor refused.
    Silent,
    /// This process has no descriptor for it.
    Untried,
    /// It fails without proof that nobody listens there.
    Unreachable,
}

pub struct Harness {
    pub scheduler: Scheduler,
    pub now: Timestamp,
    pub reachability: BTreeMap<String, Reachability>,
    /// Connections that the scheduler opened, by address, and whether bytes are taken from them.
    pub opened: BTreeMap<ConnectionId, String>,
    pub blocked: BTreeSet<ConnectionId>,
    clients: BTreeSet<ConnectionId>,
    frames: BTreeMap<ConnectionId, FrameBuffer>,
    pub raw_bytes: BTreeMap<ConnectionId, Vec<u8>>,
    received: Vec<(ConnectionId, Message)>,
    pub closed: BTreeSet<ConnectionId>,
}

pub const DISCOVERY: &str = "127.0.0.1:8500";
pub const START: Timestamp = Timestamp::from_nanos(1_700_000_000_000_000_000);

pub fn ms(ms: u64) -> Duration {
    Duration::from_nanos(ms * 1_000_000)
}

pub fn uid(n: u64) -> String {
    format!("s-{n:08x}")
}

pub fn address(n: u64) -> String {
    format!("127.0.{}.{}:5080", 1 + n / 250, n % 250)
}

/// One entry of the endpoint list.
pub fn endpoint(n: u64, state: &str, boot_ms: u64) -> String {
    format!(
        r#"{{"uid":"{}","endpoint":"{}","az":"hall-{}","model":"big","pod_group":{},"state":"{state}",
        "capacity_hint":1,"boot_ms":{boot_ms},"room":[32.0,64.0]}}"#,
        uid(n),
        address(n),
        n % 2,
        n % 2
    )
    .replace('\n', "")
}

pub fn event(number: u64, all: bool, lines: &[String]) -> String {
    format!(r#"{{"no":{number},"roster":{{"rev":{number},"all":{all},"targets":[{}]}}}}"#, lines.join(","))
}

pub fn config_json(known: &str, discovery: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"00000000000000a7","bulletin":"{discovery}",
        "limits":{{"cores":1.0,"memory_mb":32,"sockets":256}},"known":{{"no":1,"items":[{known}]}},
        "settings":{{"balancers":1,"index":0,"myZone":0,"discovery":"push","localities":["hall-0","hall-1"],
        "shapes":["big"],
        "classes":[{{"name":"batch","effect":"by_key","group":"cell","window":5000000000,"target":600000000,
                     "deadline":2000000000,"gain":3}},
                   {{"name":"front","effect":"repeatable","target":1000000000,
                     "deadline":2500000000,"gain":9}}],
        "limits":{{"cancel":true,"connectTimeout":250000000,"keepalive":15000000000,"maxAttempts":4}},
        "rules":{{"askWithin":10000000000,"fall":1000000000,"warmAfter":10000000000}},
        "specifics":{{"acceptsCores":2.0,"acceptsMemory":1.2,"kindCores":[32],"memoryByKind":[64],
                      "kindByClass":[-1,-1],"precedence":[0,1],"spreadOver":["machine","machine"],
                      "togetherMax":[2,1],"yesAt":"accepted","youngLimit":40,"tellsPressure":false,
                      "fullUpTo":[1.0,0.8],"classFade":[1.0,0.2]}},
        "tariffs":{{"fleet":0.2}}}}}}"#
    )
}

impl Harness {
    /// A scheduler that knows so many machines, has had its first iteration, and is connected to the
    /// discovery service.
    pub fn new(machines: u64) -> Self {
        Self::with_config(machines, |config_json| config_json)
    }

    /// With a changed configuration.
    pub fn with_config(machines: u64, change: impl Fn(String) -> String) -> Self {
        let lines: Vec<String> = (1..=machines).map(|n| endpoint(n, "in_service", 0)).collect();
        Self::with_endpoints(START, &lines, change)
    }

    /// One that starts then with this endpoint list.
    pub fn with_endpoints(now: Timestamp, lines: &[String], change: impl Fn(String) -> String) -> Self {
        let config =
            Config::parse(&change(config_json(&event(1, true, lines), DISCOVERY))).expect("a good one");
        let mut harness = Self {
            scheduler: Scheduler::new(config),
            now,
            reachability: BTreeMap::new(),
            opened: BTreeMap::new(),
            blocked: BTreeSet::new(),
            clients: BTreeSet::new(),
            frames: BTreeMap::new(),
            raw_bytes: BTreeMap::new(),
            received: Vec::new(),
            closed: BTreeSet::new(),
        };
        harness.run_until_idle();
        let connection_id = harness.connections_to(DISCOVERY)[0];
        harness.deliver(connection_id, b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: \n\n");
        harness
    }

    /// One iteration after another until nothing is left to do at this instant.
    pub fn run_until_idle(&mut self) {
        self.run_until_idle_within(50);
    }

    /// The same, for what takes more iterations.
    pub fn run_until_idle_within(&mut self, iterations: usize) {
        for _ in 0..iterations {
            self.scheduler.poll(self.now);
            if !self.transfer() && self.scheduler.next_wakeup().is_none_or(|wake| wake > self.now) {
                return;
            }
        }
        panic!("no rest within {iterations} iterations of one instant");
    }

    /// One iteration, and what it sends.
    pub fn iterate(&mut self) {
        self.scheduler.poll(self.now);
        self.transfer();
    }

    /// Takes the scheduler's output and carries out its commands; true where it has to handle a result.
    fn transfer(&mut self) -> bool {
        let mut brought_back = false;
        loop {
            while let Some(connection_id) = self.scheduler.connections().next_with_output() {
                self.take_output(connection_id);
            }
            let Some(command) = self.scheduler.connections().next_command() else { return brought_back };
            match command {
                Command::Open(connection_id, to) => {
                    self.opened.insert(connection_id, to.clone());
                    match self.reachability.get(&to).copied().unwrap_or(Reachability::Accepts) {
                        Reachability::Accepts => {
                            self.scheduler.on_connected(self.now, connection_id);
                            self.take_output(connection_id);
                        }
                        failure @ (Reachability::Refuses
                        | Reachability::Untried
                        | Reachability::Unreachable) => {
                            self.opened.remove(&connection_id);
                            let reason = match failure {
                                Reachability::Refuses => CloseReason::Refused,
                                Reachability::Untried => CloseReason::NotAttempted,
                                _ => CloseReason::Broken,
                            };
                            self.scheduler.on_closed(self.now, connection_id, reason);
                        }
                        Reachability::Silent => {
                            self.blocked.insert(connection_id);
                        }
                    }
                    brought_back = true;
                }
                Command::Close { connection: connection_id, .. } => {
                    self.take_output(connection_id);
                    self.scheduler.connections().discard(connection_id);
                    self.opened.remove(&connection_id);
                    self.closed.insert(connection_id);
                }
            }
        }
    }

    fn take_output(&mut self, connection_id: ConnectionId) {
        let is_there = self.clients.contains(&connection_id) || self.opened.contains_key(&connection_id);
        if !is_there || self.blocked.contains(&connection_id) {
            return;
        }
        let bytes = self.scheduler.connections().outgoing(connection_id).to_vec();
        self.scheduler.connections().mark_written(connection_id, bytes.len());
        if self.opened.get(&connection_id).is_some_and(|to| to.ends_with(":8500") || to.ends_with(":8501")) {
            return self.raw_bytes.entry(connection_id).or_default().extend(bytes);
        }
        self.read_frames(connection_id, &bytes);
        if self.scheduler.connections().is_finishing(connection_id) {
            // The machine reads the end of the stream, and closes its side.
            self.opened.remove(&connection_id);
            self.closed.insert(connection_id);
            self.scheduler.on_closed(self.now, connection_id, CloseReason::Closed);
        }
    }

    fn read_frames(&mut self, connection_id: ConnectionId, bytes: &[u8]) {
        let frames = self.frames.entry(connection_id).or_default();
        frames.extend(bytes);
        while let Some(frame) = frames.next_frame().expect("the scheduler sends valid frames") {
            let params = frame.params().map(|(code, value)| (code, value.to_vec())).collect();
            self.received
                .push((connection_id, Message { at: self.now, kind: frame.kind, task: frame.task, params }));
        }
    }

    /// Lets time pass, in steps as short as the scheduler wants its iterations.
    pub fn advance(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            let wake = self.scheduler.next_wakeup().unwrap_or(until).max(self.now + ms(1));
            self.now = wake.min(until);
            self.keep_discovery_alive();
            self.run_until_idle();
        }
    }

    /// The discovery service's comment, so that it is not silent.
    fn keep_discovery_alive(&mut self) {
        let open: Vec<ConnectionId> =
            self.connections_to(DISCOVERY).into_iter().filter(|l| !self.blocked.contains(l)).collect();
        for connection_id in open {
            self.scheduler.on_data(self.now, connection_id, b": \n\n");
        }
    }

    /// Connections that the scheduler has open to this address.
    pub fn connections_to(&self, address: &str) -> Vec<ConnectionId> {
        self.opened.iter().filter(|(_, to)| *to == address).map(|(connection_id, _)| *connection_id).collect()
    }

    pub fn connect_client(&mut self) -> ConnectionId {
        let connection_id = self.accept_client();
        self.run_until_idle();
        connection_id
    }

    /// A client's connection is taken, and no iteration follows yet.
    pub fn accept_client(&mut self) -> ConnectionId {
        let connection_id = self.scheduler.connections().register();
        self.clients.insert(connection_id);
        self.scheduler.on_connection_accepted(self.now, connection_id, ListenerId(0));
        connection_id
    }

    pub fn deliver(&mut self, connection_id: ConnectionId, bytes: &[u8]) {
        self.scheduler.on_data(self.now, connection_id, bytes);
        self.run_until_idle();
    }

    /// The other side ends this connection.
    pub fn close(&mut self, connection_id: ConnectionId, reason: CloseReason) {
        self.opened.remove(&connection_id);
        self.scheduler.on_closed(self.now, connection_id, reason);
        self.run_until_idle();
    }

    /// A connection that was held back is established: what waits for it leaves once the scheduler has had
    /// its iteration.
    pub fn establish(&mut self, connection_id: ConnectionId) {
        self.scheduler.on_connected(self.now, connection_id);
        self.scheduler.poll(self.now);
        self.blocked.remove(&connection_id);
        self.take_output(connection_id);
        self.run_until_idle();
    }

    /// A connection from which no bytes were taken takes them again.
    pub fn unblock(&mut self, connection_id: ConnectionId) {
        self.blocked.remove(&connection_id);
        self.take_output(connection_id);
    }

    /// Takes the messages that were sent on connections for which this holds.
    pub fn received(&mut self, which: impl Fn(ConnectionId) -> bool) -> Vec<(ConnectionId, Message)> {
        let (taken, rest) = std::mem::take(&mut self.received)
            .into_iter()
            .partition(|(connection_id, _)| which(*connection_id));
        self.received = rest;
        taken
    }

    pub fn received_on(&mut self, connection_id: ConnectionId) -> Vec<Message> {
        self.received(|other| other == connection_id).into_iter().map(|(_, message)| message).collect()
    }

    /// Start requests that machines got and nobody looked at yet.
    pub fn start_requests(&mut self) -> Vec<(ConnectionId, Message)> {
        let clients = self.clients.clone();
        let all = self.received(|connection_id| !clients.contains(&connection_id));
        let (start_requests, others): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|(_, message)| message.kind == kind::START);
        self.received.extend(others);
        start_requests
    }

    pub fn address_of(&self, connection_id: ConnectionId) -> &str {
        &self.opened[&connection_id]
    }
}

/// A message of any kind.
pub fn encode(kind: u8, task: u64, params: &[(u8, &[u8])]) -> Vec<u8> {
    let mut out = Vec::new();
    write_message(&mut out, kind, task, params);
    out
}

pub const KEY: &[u8] = b"5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

/// A start request as clients send it; `more` goes behind the figures.
pub fn start_request(task: u64, class: &str, more: &str) -> Vec<u8> {
    let name = format!("{:016x}", task ^ 0xabcd);
    let figures = format!("cores:1;memory:2;service:{:016x}{more}", task % 7);
    let mut params: Vec<(u8, &[u8])> = vec![(code::CLASS, class.as_bytes()), (code::TIMEOUT, b"2000")];
    if class == "batch" {
        params.push((code::IDEMPOTENCY_KEY, KEY));
    }
    params.push((code::NAME, name.as_bytes()));
    params.push((code::RESOURCES, figures.as_bytes()));
    params.push((code::DESCRIPTION, b"wanted\r\n"));
    encode(kind::START, task, &params)
}

/// The same, of a client that waits for so long.
pub fn with_patience(start_request: Vec<u8>, ms: &str) -> Vec<u8> {
    let at = start_request.windows(6).position(|six| six == b"\x00\x042000").expect("it waits two seconds");
    let body =
        [&start_request[2..at], &(ms.len() as u16).to_be_bytes(), ms.as_bytes(), &start_request[at + 6..]]
            .concat();
    [&(body.len() as u16).to_be_bytes()[..], &body].concat()
}

pub fn acceptance(task: u64) -> Vec<u8> {
    encode(kind::ACCEPT, task, &[(code::DESCRIPTION, b"made\r\n")])
}

pub fn release(task: u64, cause: u8) -> Vec<u8> {
    encode(kind::RELEASE, task, &[(code::CAUSE, &[cause])])
}

/// Places a task: the client's connection, and the one to the machine.
pub fn place_task(harness: &mut Harness, client: ConnectionId, task: u64, class: &str) -> ConnectionId {
    harness.deliver(client, &start_request(task, class, ""));
    let (connection, message) = harness.start_requests().pop().expect("it is sent at once");
    assert_eq!(message.task, task);
    harness.deliver(connection, &acceptance(task));
    assert_eq!(harness.received_on(client).len(), 1);
    connection
}
