//! Plays a scheduler's peers by hand: frames in, frames out, and nothing in between.

use mulleinhub_engine::{Engine, Settings};
use mulleinhub_interface::*;
use mulleinhub_protocol::{self as protocol, Conversation, Frames, Message, Mode, Shape};
use mulleinhub_sans_io::{CloseReason, Command, ConnectionId, ListenerId, StateMachine};
use std::collections::BTreeMap;

pub const IDEMPOTENT: u32 = 0;
pub const KEYED: u32 = 1;
pub const NON_IDEMPOTENT: u32 = 2;

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
        machine_kinds: vec![Resources::new(16.0, 32.0)],
        acceptance: AcceptanceRules {
            cores_overcommit: 2.0,
            memory_overcommit: 1.5,
            accepts_when_running: false,
            max_attempts: 4,
            reports_pressure: true,
            supports_cancel: true,
        },
        slow_start: SlowStart {
            warm_up_time: Duration::from_secs(12),
            budget_window: Duration::from_secs(1),
            attempt_budget: 9.0,
            scheduler_count: 1,
            scheduler_index: 0,
        },
        discovery: Discovery { watch_required: false, max_staleness: Duration::from_secs(10) },
        locality: LocalityCosts { local_zone: ZoneId(0), cross_zone_cost: 0.0, machine_cost: 0.0 },
        endpoint_list_address: "list".to_owned(),
        reconnect_backoff: Duration::from_nanos(200_000_000),
        lost_after: Duration::from_secs(2),
        ping_timeout: Duration::from_secs(2),
        answer_retention: Duration::from_secs(60),
        startup_grace: Duration::from_secs(1),
        client_limits: mulleinhub_limits::Settings::default(),
        max_open_tasks: 100,
        max_unsent_bytes: 64 * 1024,
    }
}

/// A message that the scheduler wrote, as text that a test can compare.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Written {
    /// The receiver: the address of a machine, `list`, or the name of a client.
    pub to: String,
    /// The message, as `describe` puts it.
    pub message: String,
}

/// This message to this receiver.
pub fn written(to: &str, message: impl Into<String>) -> Written {
    Written { to: to.to_owned(), message: message.into() }
}

/// A scheduler and what it has written.
pub struct Harness {
    pub engine: Engine,
    pub now: Timestamp,
    /// Who is behind each connection, by the address that was connected to or by the client's name.
    pub names: BTreeMap<ConnectionId, String>,
    frames: BTreeMap<ConnectionId, Frames>,
    /// Connections whose peers don't read.
    pub blocked: Vec<ConnectionId>,
    pub opened: Vec<(ConnectionId, String)>,
    pub closed: Vec<ConnectionId>,
    /// When the scheduler pinged somebody.
    pub pings: Vec<Timestamp>,
}

impl Harness {
    pub fn new(settings: Settings, incarnation: u64, cached_list: Option<Vec<u8>>) -> Self {
        Self {
            engine: Engine::new(settings, incarnation, cached_list),
            now: Timestamp::from_nanos(1_000_000_000),
            names: BTreeMap::new(),
            frames: BTreeMap::new(),
            blocked: Vec::new(),
            opened: Vec::new(),
            closed: Vec::new(),
            pings: Vec::new(),
        }
    }

    /// A scheduler that serves clients, with empty machines 1 to n, two to a cell.
    pub fn with_machines(n: u64) -> Self {
        Self::ready(settings(), n)
    }

    /// The same with these settings.
    pub fn ready(settings: Settings, n: u64) -> Self {
        let mut harness = Self::new(settings, 1, None);
        harness.poll();
        harness.accept_connection("list");
        harness.send_list(&(1..=n).map(|id| (id, Mode::Active)).collect::<Vec<_>>());
        for id in 1..=n {
            harness.connect_machine(id, 100 + id, vec![]);
        }
        harness
    }

    /// A full iteration.
    pub fn poll(&mut self) -> Vec<Written> {
        self.engine.poll(self.now);
        self.exchange()
    }

    /// An early iteration: more is unread than is delivered before it.
    pub fn poll_early(&mut self) -> Vec<Written> {
        self.engine.poll_early(self.now);
        self.exchange()
    }

    fn exchange(&mut self) -> Vec<Written> {
        let mut output = Vec::new();
        loop {
            let connections = self.engine.connections();
            if let Some(connection) = connections.next_with_output() {
                if !self.blocked.contains(&connection) {
                    self.read(connection, usize::MAX, &mut output);
                }
                continue;
            }
            match connections.next_command() {
                None => return output,
                Some(Command::Open(connection, address)) => {
                    self.names.insert(connection, address.clone());
                    self.opened.push((connection, address));
                }
                Some(Command::Close { connection, .. }) => {
                    self.read(connection, usize::MAX, &mut output);
                    self.engine.connections().discard(connection);
                    self.closed.push(connection);
                }
            }
        }
    }

    /// Reads so many bytes of what waits on a connection.
    pub fn read(&mut self, connection: ConnectionId, max_bytes: usize, output: &mut Vec<Written>) {
        let unsent = self.engine.connections().outgoing(connection);
        let bytes = unsent[..unsent.len().min(max_bytes)].to_vec();
        self.engine.connections().mark_written(connection, bytes.len());
        let frames = self.frames.entry(connection).or_default();
        frames.take(&bytes);
        let who = self.names.get(&connection).cloned().unwrap_or_default();
        while let Some(frame) = frames.next_frame().expect("schedulers write frames") {
            let message = protocol::decode(frame).expect("schedulers write messages");
            if matches!(message, Message::Ping { .. }) {
                self.pings.push(self.now);
            } else {
                output.push(written(&who, describe(&message)));
            }
        }
    }

    /// So many milliseconds pass, then there is one iteration.
    pub fn advance(&mut self, ms: u64) -> Vec<Written> {
        self.now = self.now + Duration::from_nanos(ms * 1_000_000);
        self.poll()
    }

    /// Time passes as in a running process.
    pub fn run_for(&mut self, ms: u64) {
        self.run_until(self.now + Duration::from_nanos(ms * 1_000_000), |_, _| ());
        self.poll();
    }

    /// An iteration whenever the scheduler wants one until then; `each` sees the output of each.
    pub fn run_until(&mut self, until: Timestamp, mut each: impl FnMut(&mut Self, Vec<Written>)) {
        while let Some(at) = self.engine.next_wakeup().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            let output = self.poll();
            each(self, output);
        }
        self.now = until;
    }

    /// The newest connection that the scheduler opened to this address.
    pub fn connection_to(&self, address: &str) -> ConnectionId {
        self.opened
            .iter()
            .rev()
            .find(|(_, to)| to == address)
            .map(|(connection, _)| *connection)
            .expect("the scheduler connected to it")
    }

    /// The connection to this address is established, and greeted.
    pub fn accept_connection(&mut self, address: &str) -> Vec<Written> {
        let connection = self.connection_to(address);
        self.engine.on_connected(self.now, connection);
        let mut output = self.poll();
        output.extend(self.send(
            connection,
            &[Message::Welcome { version: 1, features: 0, name: address, life: 1, silence: None }],
        ));
        output
    }

    /// The endpoint list tells the states of these machines.
    pub fn send_list(&mut self, machines: &[(u64, Mode)]) -> Vec<Written> {
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
        let connection = self.connection_to("list");
        self.send(connection, &[Message::List { kind: protocol::ListKind::Changes, version: 1, entries }])
    }

    /// A machine answers the scheduler's greeting and reports its inventory.
    pub fn connect_machine(
        &mut self,
        id: u64,
        incarnation: u64,
        tasks: Vec<protocol::Held<'_>>,
    ) -> Vec<Written> {
        let address = format!("m{id}");
        if self.closed.contains(&self.connection_to(&address)) {
            // It is connected to again after a part of the first backoff.
            self.run_for(200);
        }
        let connection = self.connection_to(&address);
        self.engine.on_connected(self.now, connection);
        let mut output = self.poll();
        let name = format!("machine-{id}");
        let welcome =
            Message::Welcome { version: 1, features: 0, name: &name, life: incarnation, silence: None };
        output.extend(self.send(connection, &[welcome, Message::Holds { tasks, last: true }]));
        output
    }

    /// A message of a machine arrives, and the scheduler has an iteration.
    pub fn send_from_machine(&mut self, id: u64, message: Message<'_>) -> Vec<Written> {
        let connection = self.connection_to(&format!("m{id}"));
        self.send(connection, &[message])
    }

    /// Messages arrive on a connection, and the scheduler has an iteration.
    pub fn send(&mut self, connection: ConnectionId, messages: &[Message<'_>]) -> Vec<Written> {
        self.deliver(connection, messages);
        self.poll()
    }

    /// Messages arrive on a connection.
    pub fn deliver(&mut self, connection: ConnectionId, messages: &[Message<'_>]) {
        let mut bytes = Vec::new();
        messages.iter().for_each(|message| protocol::encode(message, &mut bytes));
        self.engine.on_data(self.now, connection, &bytes);
    }

    /// Somebody connects, and has sent nothing yet.
    pub fn open_client(&mut self, name: &str) -> ConnectionId {
        let connection = self.engine.connections().register();
        self.names.insert(connection, name.to_owned());
        self.engine.on_connection_accepted(self.now, connection, ListenerId(0));
        connection
    }

    /// A client connects and greets.
    pub fn connect_client(&mut self, name: &str) -> ConnectionId {
        let connection = self.open_client(name);
        let hello = hello(name, self.now);
        self.send(connection, &[hello]);
        connection
    }

    /// A client submits a task.
    pub fn submit(&mut self, client: ConnectionId, task: u64, use_case: u32) -> Vec<Written> {
        let message = submission(task, use_case, self.now);
        self.send(client, &[message])
    }

    /// The peer closes a connection.
    pub fn close(&mut self, connection: ConnectionId, end: CloseReason) -> Vec<Written> {
        self.engine.on_closed(self.now, connection, end);
        self.poll()
    }
}

pub fn hello(name: &str, now: Timestamp) -> Message<'_> {
    Message::hello(Conversation::ClientPlanner, 0, name, 1, now.nanos())
}

pub fn shape(task: u64, use_case: u32) -> Shape {
    Shape { key: task, use_case, service: task, cores: 1.0, memory: 1.0, again: false }
}

/// A submission of a task with eight seconds until its deadline.
pub fn submission(task: u64, use_case: u32, now: Timestamp) -> Message<'static> {
    Message::Ask { task, shape: shape(task, use_case), patience: 8_000_000_000, clock: now.nanos() }
}

fn describe(message: &Message<'_>) -> String {
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

/// The machine that a task was offered to, and the number of the attempt.
pub fn offered(output: &[Written], task: u64) -> Option<(u64, u32)> {
    output.iter().find_map(|written| {
        let send = written.message.strip_prefix(&format!("offer {task}."))?;
        Some((written.to.strip_prefix('m')?.parse().ok()?, send.parse().ok()?))
    })
}

/// Whether the scheduler wrote a message to this receiver that begins so.
pub fn has_message(output: &[Written], who: &str, prefix: &str) -> bool {
    output.iter().any(|written| written.to == who && written.message.starts_with(prefix))
}

/// A scheduler with machines, its client, and the machine that a task of this use case was offered to.
pub fn with_offer(use_case: u32) -> (Harness, ConnectionId, u64) {
    let mut harness = Harness::with_machines(4);
    let client = harness.connect_client("client");
    let output = harness.submit(client, 1, use_case);
    let (machine, _) = offered(&output, 1).expect("there is capacity");
    (harness, client, machine)
}

/// A scheduler whose machines accept a task once it runs: no attempt is cancelled before its timeout.
pub fn without_cancellation(machines: u64) -> Harness {
    let mut settings = settings();
    settings.acceptance.accepts_when_running = true;
    Harness::ready(settings, machines)
}

/// The first attempt of a task, as its machine reports it in its inventory.
pub fn running_task(task: u64, use_case: u32) -> protocol::Held<'static> {
    let shape = shape(task, use_case);
    protocol::Held { task, send: 0, shape, owner: "client", ended: None, runs: true }
}

/// How many offers the scheduler wrote.
pub fn offers(output: &[Written]) -> usize {
    output.iter().filter(|written| written.message.starts_with("offer ")).count()
}

/// A scheduler with one machine, and with changed limits on clients.
pub fn limited(change: impl FnOnce(&mut mulleinhub_limits::Settings)) -> Harness {
    let mut settings = settings();
    change(&mut settings.client_limits);
    let mut harness = Harness::new(settings, 1, None);
    harness.poll();
    harness.accept_connection("list");
    harness.send_list(&[(1, Mode::Active)]);
    harness.connect_machine(1, 101, vec![]);
    harness
}
