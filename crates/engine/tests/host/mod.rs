//! Plays a planner's peers by hand: frames in, frames out, and nothing in between.

use mulleinhub_engine::{Engine, Settings};
use mulleinhub_interface::*;
use mulleinhub_protocol::{self as protocol, Conversation, Frames, Message, Mode, Shape};
use mulleinhub_sans_io::{CloseReason, Command, ConnectionId, ListenerId, StateMachine};
use std::collections::BTreeMap;

pub const REPLAYABLE: u32 = 0;
pub const REFERENCED: u32 = 1;
pub const SINGLE_USE: u32 = 2;

pub fn settings() -> Settings {
    let case = |effect| UseCase {
        latency_objective: Duration::from_secs(1),
        client_timeout: Duration::from_secs(8),
        idempotency: effect,
        value_per_second: 1.0,
        priority: 1,
        machine_kind: None,
        spread: None,
        saturation_threshold: 1.0,
        degradation_range: 1.0,
    };
    let window = Duration::from_secs(5);
    Settings {
        name: "planner-1".to_owned(),
        seed: 7,
        use_cases: vec![
            case(Idempotency::Idempotent),
            case(Idempotency::Keyed { domain: FailureDomain::Cell, window }),
            case(Idempotency::NonIdempotent),
        ],
        kinds: vec![Resources::new(16.0, 32.0)],
        taking: AcceptanceRules {
            cores_overcommit: 2.0,
            memory_overcommit: 1.5,
            accepts_when_running: false,
            max_attempts: 4,
            reports_pressure: true,
            supports_cancel: true,
        },
        cold: SlowStart {
            warm_up_time: Duration::from_secs(12),
            budget_window: Duration::from_secs(1),
            attempt_budget: 9.0,
            scheduler_count: 1,
            scheduler_index: 0,
        },
        listing: Discovery { watch_required: false, max_staleness: Duration::from_secs(10) },
        home: LocalityCosts { local_zone: ZoneId(0), cross_zone_cost: 0.0, machine_cost: 0.0 },
        list_address: "list".to_owned(),
        reconnect: Duration::from_nanos(200_000_000),
        lost_after: Duration::from_secs(2),
        silence: Duration::from_secs(2),
        remember: Duration::from_secs(60),
        start_wait: Duration::from_secs(1),
        clients: mulleinhub_limits::Settings::default(),
        most_in_hand: 100,
        most_unwritten: 64 * 1024,
    }
}

/// What the planner wrote, in words that a story can compare.
pub type Said = (String, String);

pub struct Host {
    pub engine: Engine,
    pub now: Timestamp,
    /// Who is behind each link, by the planner's address for it or the client's name.
    pub links: BTreeMap<ConnectionId, String>,
    frames: BTreeMap<ConnectionId, Frames>,
    /// Links from which nothing is taken: their peers don't read.
    pub unread: Vec<ConnectionId>,
    pub opening: Vec<(ConnectionId, String)>,
    pub ended: Vec<ConnectionId>,
    /// When the planner asked somebody for a sign of life.
    pub pings: Vec<Timestamp>,
}

impl Host {
    pub fn new(settings: Settings, life: u64, saved: Option<Vec<u8>>) -> Self {
        Self {
            engine: Engine::new(settings, life, saved),
            now: Timestamp::from_nanos(1_000_000_000),
            links: BTreeMap::new(),
            frames: BTreeMap::new(),
            unread: Vec::new(),
            opening: Vec::new(),
            ended: Vec::new(),
            pings: Vec::new(),
        }
    }

    /// A planner that is up with machines 1 to n, each in a cell of its own pair, all empty.
    pub fn with_machines(n: u64) -> Self {
        Self::up(settings(), n)
    }

    pub fn up(settings: Settings, n: u64) -> Self {
        let mut host = Self::new(settings, 1, None);
        host.turn();
        host.accept("list");
        host.list(&(1..=n).map(|id| (id, Mode::Active)).collect::<Vec<_>>());
        for id in 1..=n {
            host.meets(id, 100 + id, vec![]);
        }
        host
    }

    pub fn turn(&mut self) -> Vec<Said> {
        self.engine.poll(self.now);
        self.drain()
    }

    /// More lies unread than is told before the planner answers some.
    pub fn early(&mut self) -> Vec<Said> {
        self.engine.poll_early(self.now);
        self.drain()
    }

    fn drain(&mut self) -> Vec<Said> {
        let mut said = Vec::new();
        loop {
            let links = self.engine.connections();
            if let Some(link) = links.next_dirty() {
                if !self.unread.contains(&link) {
                    self.take(link, usize::MAX, &mut said);
                }
                continue;
            }
            match links.next_command() {
                None => return said,
                Some(Command::Open(link, address)) => {
                    self.links.insert(link, address.clone());
                    self.opening.push((link, address));
                }
                Some(Command::End { link, .. }) => {
                    self.take(link, usize::MAX, &mut said);
                    self.engine.connections().discard(link);
                    self.ended.push(link);
                }
            }
        }
    }

    /// Takes so many bytes of what waits on a link.
    pub fn take(&mut self, link: ConnectionId, most: usize, said: &mut Vec<Said>) {
        let waits = self.engine.connections().outgoing(link);
        let bytes = waits[..waits.len().min(most)].to_vec();
        self.engine.connections().wrote(link, bytes.len());
        let frames = self.frames.entry(link).or_default();
        frames.take(&bytes);
        let who = self.links.get(&link).cloned().unwrap_or_default();
        while let Some(frame) = frames.next_frame().expect("planners write frames") {
            let message = protocol::decode(frame).expect("planners write messages");
            if matches!(message, Message::Ping { .. }) {
                self.pings.push(self.now);
            } else {
                said.push((who.clone(), words(&message)));
            }
        }
    }

    pub fn after(&mut self, ms: u64) -> Vec<Said> {
        self.now = self.now + Duration::from_nanos(ms * 1_000_000);
        self.turn()
    }

    /// Time passes as in a process that goes on.
    pub fn lives(&mut self, ms: u64) {
        self.goes_on(self.now + Duration::from_nanos(ms * 1_000_000), |_, _| ());
        self.turn();
    }

    /// A turn whenever the planner wants one until then; `each` sees what it did in a turn.
    pub fn goes_on(&mut self, until: Timestamp, mut each: impl FnMut(&mut Self, Vec<Said>)) {
        while let Some(at) = self.engine.next_wakeup().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            let said = self.turn();
            each(self, said);
        }
        self.now = until;
    }

    /// The newest link that the planner opened to this address.
    pub fn link(&self, address: &str) -> ConnectionId {
        self.opening.iter().rev().find(|(_, to)| to == address).map(|(link, _)| *link).expect("was asked for")
    }

    pub fn accept(&mut self, address: &str) -> Vec<Said> {
        let link = self.link(address);
        self.engine.on_connected(self.now, link);
        let mut said = self.turn();
        said.extend(self.tell(
            link,
            &[Message::Welcome { version: 1, features: 0, name: address, life: 1, silence: None }],
        ));
        said
    }

    pub fn list(&mut self, machines: &[(u64, Mode)]) -> Vec<Said> {
        let addresses: Vec<String> = machines.iter().map(|(id, _)| format!("m{id}")).collect();
        let entries = machines
            .iter()
            .zip(&addresses)
            .map(|((id, mode), address)| protocol::Entry {
                machine: *id,
                address,
                kind: 0,
                cell: (*id as u32 - 1) / 2,
                zone: 0,
                mode: *mode,
                life: 100 + *id,
                up_for: None,
                cores_left: Some(16.0),
                memory_left: Some(32.0),
            })
            .collect();
        let link = self.link("list");
        self.tell(link, &[Message::List { kind: protocol::ListKind::Changes, version: 1, entries }])
    }

    /// A machine answers the planner's greeting and tells what it holds.
    pub fn meets(&mut self, id: u64, life: u64, tasks: Vec<protocol::Held<'_>>) -> Vec<Said> {
        let address = format!("m{id}");
        if self.ended.contains(&self.link(&address)) {
            // It comes back after a part of the first wait.
            self.lives(200);
        }
        let link = self.link(&address);
        self.engine.on_connected(self.now, link);
        let mut said = self.turn();
        let name = format!("machine-{id}");
        let welcome = Message::Welcome { version: 1, features: 0, name: &name, life, silence: None };
        said.extend(self.tell(link, &[welcome, Message::Holds { tasks, last: true }]));
        said
    }

    pub fn machine(&mut self, id: u64, message: Message<'_>) -> Vec<Said> {
        let link = self.link(&format!("m{id}"));
        self.tell(link, &[message])
    }

    /// Messages come in on a link, and the planner has its turn.
    pub fn tell(&mut self, link: ConnectionId, messages: &[Message<'_>]) -> Vec<Said> {
        self.only_tell(link, messages);
        self.turn()
    }

    pub fn only_tell(&mut self, link: ConnectionId, messages: &[Message<'_>]) {
        let mut bytes = Vec::new();
        messages.iter().for_each(|message| protocol::encode(message, &mut bytes));
        self.engine.on_data(self.now, link, &bytes);
    }

    /// Somebody opens a connection, and has said nothing yet.
    pub fn opens(&mut self, name: &str) -> ConnectionId {
        let link = self.engine.connections().register();
        self.links.insert(link, name.to_owned());
        self.engine.on_connection_accepted(self.now, link, ListenerId(0));
        link
    }

    pub fn client(&mut self, name: &str) -> ConnectionId {
        let link = self.opens(name);
        let hello = hello(name, self.now);
        self.tell(link, &[hello]);
        link
    }

    pub fn ask(&mut self, client: ConnectionId, task: u64, use_case: u32) -> Vec<Said> {
        let message = ask(task, use_case, self.now);
        self.tell(client, &[message])
    }

    pub fn ends(&mut self, link: ConnectionId, end: CloseReason) -> Vec<Said> {
        self.engine.on_closed(self.now, link, end);
        self.turn()
    }
}

pub fn hello(name: &str, now: Timestamp) -> Message<'_> {
    Message::hello(Conversation::ClientPlanner, 0, name, 1, now.nanos())
}

pub fn shape(task: u64, use_case: u32) -> Shape {
    Shape { key: task, use_case, service: task, cores: 1.0, memory: 1.0, again: false }
}

pub fn ask(task: u64, use_case: u32, now: Timestamp) -> Message<'static> {
    Message::Ask { task, shape: shape(task, use_case), patience: 8_000_000_000, clock: now.nanos() }
}

fn words(message: &Message<'_>) -> String {
    match message {
        Message::Offer { task, send, .. } => format!("offer {task}.{send}"),
        Message::Recall { task, send } => format!("recall {task}.{send}"),
        Message::Stop { task, send, .. } => format!("stop {task}.{send}"),
        Message::Disown { task, send } => format!("disown {task}.{send}"),
        Message::Claim { task, send, .. } => format!("claim {task}.{send}"),
        Message::Heard { task, send } => format!("heard {task}.{send}"),
        Message::Taken { task } => format!("taken {task}"),
        Message::Placed { task, machine } => format!("placed {task} on {machine}"),
        Message::Nacked { task, .. } => format!("nacked {task}"),
        Message::Errored { task } => format!("errored {task}"),
        Message::Ended { task, ending } => format!("ended {task} {ending:?}"),
        Message::Unknown { task } => format!("unknown {task}"),
        Message::ProvesToRun { task, machine, .. } => format!("proves {task} on {machine}"),
        Message::Bye { words } => format!("bye {words}"),
        other => format!("{other:?}"),
    }
}

/// Where a task's offer went, and its number.
pub fn offered(said: &[Said], task: u64) -> Option<(u64, u32)> {
    said.iter().find_map(|(who, words)| {
        let send = words.strip_prefix(&format!("offer {task}."))?;
        Some((who.strip_prefix('m')?.parse().ok()?, send.parse().ok()?))
    })
}

pub fn says(said: &[Said], who: &str, words: &str) -> bool {
    said.iter().any(|(to, what)| to == who && what.starts_with(words))
}
