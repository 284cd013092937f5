//! All that schedulers speak to, in one party: the list service, hollow workers and hollow clients.
//!
//! The same party stands behind real sockets and in virtual time, and counts the traffic at its edge.

use super::client::{Client, Task};
use super::scenario::{SCHEDULERS_START, Scenario};
use super::settings::{CLIENT_TIMEOUT_SECONDS, WORKER_MEMORY, scheduler_name, scheduler_number};
use super::traffic::{Peer, SchedulerTraffic};
use super::worker::{SendId, Worker};
use mulleinhub_emulators::{Fact, ListService, ListSettings};
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_protocol::{self as protocol, Bad, Conversation, Ending, Frames, Message, Reason, Spare};
use mulleinhub_sans_io::{CloseReason, Command, ConnectionId, Connections, ListenerId, StateMachine, Timers};

/// How long a worker looks at an offer, and how long a start takes.
const LOOK: Duration = Duration::from_nanos(1_000_000);
const START: Duration = Duration::from_nanos(50_000_000);
/// Between two times that a worker tells how its tasks fare.
const NOTE_EVERY: Duration = Duration::from_secs(1);
/// Cores and memory that a running task uses, as parts of what it asked for.
const TASK_USES: f64 = 0.5;
/// How often the list service looks at all workers, and how late it tells what it saw.
const LIST_PERIOD: Duration = Duration::from_nanos(500_000_000);
const LIST_LATE: Duration = Duration::from_secs(1);
/// The list service's own pace is no part of what is measured.
const LIST_LINES_A_SECOND: f64 = 1e12;
/// A client tries again after this.
const RECONNECT: Duration = Duration::from_nanos(50_000_000);
/// A client waits for so long before it asks again after an error, and at least so long after a refusal.
const ASKS_AGAIN: Duration = Duration::from_secs(1);
/// Longest list of tasks in one message.
const MOST_HELD: usize = 500;

/// The door of the list service; each worker's door is its number from 0.
pub const LIST_DOOR: ListenerId = ListenerId(u32::MAX);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    ListLooks,
    Decide(usize, SendId),
    Started(usize, SendId),
    Notes(usize),
    Connect(usize),
    /// A client wants its next task.
    Wants(usize),
    /// A client asks again under this number.
    AsksAgain(usize, u64),
    /// The life of a client's task is over.
    Withdraw(usize, u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Worker(usize),
    /// With its link at the list service.
    List(ConnectionId),
    Client(usize),
}

impl Role {
    fn peer(self) -> Peer {
        match self {
            Self::Worker(_) => Peer::Worker,
            Self::List(_) => Peer::List,
            Self::Client(_) => Peer::Client,
        }
    }
}

#[derive(Debug)]
struct Connection {
    role: Role,
    /// The scheduler at the other end, once it is known.
    scheduler: Option<usize>,
    frames: Frames,
}

/// How far a scheduler is with its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartUp {
    pub began: Timestamp,
    pub workers_greeted: usize,
    client_greeted: bool,
    pub is_ready: bool,
}

/// A start that is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DoneStart {
    pub began: Timestamp,
    pub took: Duration,
}

/// The list service, workers and clients of a run.
pub struct Surroundings {
    scenario: Scenario,
    links: Connections,
    /// By link.
    connections: Vec<Option<Connection>>,
    spare: Spare,
    list: ListService,
    /// By the list service's link: ours.
    list_links: Vec<Option<ConnectionId>>,
    workers: Vec<Worker>,
    clients: Vec<Client>,
    timers: Timers<Due>,
    traffic: Vec<SchedulerTraffic>,
    start_ups: Vec<StartUp>,
    done_starts: Vec<DoneStart>,
    begun: bool,
    scratch: Vec<u8>,
}

impl Surroundings {
    #[must_use]
    pub fn new(scenario: &Scenario) -> Self {
        let schedulers = scenario.schedulers();
        let list = ListService::new(ListSettings {
            late: LIST_LATE,
            silent_notice: Duration::from_secs(8),
            lines_a_second: LIST_LINES_A_SECOND,
        });
        Self {
            scenario: scenario.clone(),
            links: Connections::default(),
            connections: Vec::new(),
            spare: Spare::default(),
            list,
            list_links: Vec::new(),
            workers: (0..scenario.workers()).map(|_| Worker::new(schedulers)).collect(),
            clients: (0..schedulers).map(|n| Client::new(n, scenario.seed)).collect(),
            timers: Timers::default(),
            traffic: vec![SchedulerTraffic::default(); schedulers],
            start_ups: vec![StartUp::default(); schedulers],
            done_starts: Vec::new(),
            begun: false,
            scratch: Vec::new(),
        }
    }

    /// Under which address schedulers reach a worker.
    pub fn set_address(&mut self, worker: usize, address: &str) {
        for scheduler in 0..self.traffic.len() {
            self.list.address(&scheduler_name(scheduler), worker_id(worker), address.to_owned());
        }
    }

    /// What went to and from each scheduler so far.
    pub fn traffic(&self) -> &[SchedulerTraffic] {
        &self.traffic
    }

    /// A scheduler starts now.
    pub fn starts(&mut self, now: Timestamp, scheduler: usize) {
        self.start_ups[scheduler] = StartUp { began: now, ..StartUp::default() };
    }

    /// How far each scheduler is with its last start.
    pub fn start_ups(&self) -> &[StartUp] {
        &self.start_ups
    }

    /// All starts that are done: the scheduler had reached all workers and greeted its client.
    pub fn done_starts(&self) -> &[DoneStart] {
        &self.done_starts
    }

    /// What the clients saw.
    pub fn clients(&self) -> impl Iterator<Item = &Client> {
        self.clients.iter()
    }

    /// Tasks that run now.
    pub fn running(&self) -> usize {
        self.workers.iter().map(|worker| worker.running().count()).sum()
    }

    fn connection(&mut self, link: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(link.0 as usize)?.as_mut()
    }

    fn connect(&mut self, link: ConnectionId, role: Role, scheduler: Option<usize>) {
        let at = link.0 as usize;
        if self.connections.len() <= at {
            self.connections.resize_with(at + 1, || None);
        }
        self.connections[at] = Some(Connection { role, scheduler, frames: Frames::default() });
    }

    fn disconnect(&mut self, now: Timestamp, link: ConnectionId) {
        let Some(connection) = self.connections.get_mut(link.0 as usize).and_then(Option::take) else {
            return;
        };
        match connection.role {
            Role::Worker(worker) => {
                let Some(scheduler) = connection.scheduler else { return };
                if self.workers[worker].links[scheduler] == Some(link) {
                    self.workers[worker].links[scheduler] = None;
                    self.workers[worker].forget_offers(scheduler);
                }
            }
            Role::List(inner) => {
                self.list_links[inner.0 as usize] = None;
                self.list.on_closed(now, inner, CloseReason::Closed);
            }
            Role::Client(client) => {
                self.clients[client].link = None;
                self.clients[client].greeted = false;
                self.timers.schedule(now + RECONNECT, Due::Connect(client));
            }
        }
    }

    fn write(&mut self, link: ConnectionId, message: &Message<'_>) {
        let Some(connection) = self.connections.get(link.0 as usize).and_then(Option::as_ref) else { return };
        self.scratch.clear();
        protocol::encode(message, &mut self.scratch);
        if let Some(scheduler) = connection.scheduler {
            self.traffic[scheduler].came_in(connection.role.peer(), self.scratch.len(), Some(message));
        }
        self.links.send(link, &self.scratch, None);
    }

    fn write_to(&mut self, worker: usize, scheduler: usize, message: &Message<'_>) {
        if let Some(link) = self.workers[worker].links[scheduler] {
            self.write(link, message);
        }
    }

    fn hear_frames(&mut self, now: Timestamp, link: ConnectionId, bytes: &[u8]) -> Result<(), Bad> {
        let Some(connection) = self.connections.get_mut(link.0 as usize).and_then(Option::as_mut) else {
            return Ok(());
        };
        let role = connection.role;
        let mut frames = std::mem::take(&mut connection.frames);
        frames.take_with(bytes, &mut self.spare);
        while let Some(frame) = frames.next_frame()? {
            let message = protocol::decode(frame)?;
            self.count_heard(link, role, frame.len(), &message);
            match role {
                Role::Worker(worker) => self.worker_hears(now, link, worker, &message)?,
                Role::List(_) => {}
                Role::Client(client) => self.client_hears(now, client, &message),
            }
        }
        frames.tidy(&mut self.spare);
        if let Some(connection) = self.connection(link) {
            connection.frames = frames;
        }
        Ok(())
    }

    /// The first frame of a scheduler tells which one it is.
    fn count_heard(&mut self, link: ConnectionId, role: Role, bytes: usize, message: &Message<'_>) {
        let schedulers = self.traffic.len();
        let Some(connection) = self.connection(link) else { return };
        if let Message::Hello { name, .. } = message {
            connection.scheduler = scheduler_number(name).filter(|number| *number < schedulers);
        }
        if let Some(scheduler) = connection.scheduler {
            self.traffic[scheduler].went_out(role.peer(), bytes, Some(message));
        }
    }

    // Workers.

    fn worker_hears(
        &mut self,
        now: Timestamp,
        link: ConnectionId,
        worker: usize,
        message: &Message<'_>,
    ) -> Result<(), Bad> {
        let Some(scheduler) = self.connection(link).and_then(|connection| connection.scheduler) else {
            return Err(Bad("a scheduler that is none of this run".into()));
        };
        let id = |task: u64, send: u32| SendId { scheduler, task, send };
        match message {
            Message::Hello { .. } => self.worker_greets(now, link, worker, scheduler),
            Message::Ping { nonce } => self.write(link, &Message::Pong { nonce: *nonce }),
            Message::Offer { task, send, shape, owner, .. } => {
                self.workers[worker].offered(id(*task, *send), *shape, owner);
                self.timers.schedule(now + LOOK, Due::Decide(worker, id(*task, *send)));
            }
            Message::Recall { task, send } => {
                if self.workers[worker].recall(id(*task, *send)) {
                    self.close(worker, id(*task, *send), Ending::Recalled, Reason::Untold);
                }
            }
            Message::Stop { task, send, moves } => {
                let id = id(*task, *send);
                let ending = if *moves { Ending::Moved } else { Ending::Stopped };
                if self.workers[worker].stop(id, ending) {
                    self.close(worker, id, ending, Reason::Untold);
                } else if self.workers[worker].recall(id) {
                    self.close(worker, id, Ending::Recalled, Reason::Untold);
                }
            }
            Message::Heard { task, send } => self.workers[worker].heard(id(*task, *send)),
            Message::Probe { nonce } => {
                let left = self.workers[worker].left();
                let (cores, memory) = (Some(left.cores), Some(left.memory));
                let report = Message::Report { nonce: *nonce, cores_unused: cores, memory_unused: memory };
                self.write(link, &report);
            }
            Message::Claim { task, send, .. } => {
                self.close(worker, id(*task, *send), Ending::Nacked, Reason::NotHere);
            }
            // Nobody's copy of a task that may run twice: it is gone at once.
            Message::Disown { task, send } => {
                let id = id(*task, *send);
                self.workers[worker].stop(id, Ending::Stopped);
                self.workers[worker].heard(id);
            }
            Message::Pong { .. } | Message::Bye { .. } => {}
            _ => return Err(Bad("not a message for a worker".into())),
        }
        Ok(())
    }

    fn worker_greets(&mut self, now: Timestamp, link: ConnectionId, worker: usize, scheduler: usize) {
        let older = self.workers[worker].links[scheduler].replace(link);
        if let Some(older) = older {
            self.connections[older.0 as usize] = None;
            self.links.abort(older);
        }
        self.workers[worker].forget_offers(scheduler);
        let name = format!("machine-{}", worker_id(worker));
        let (version, features, life) = (protocol::VERSION, 0, 1);
        self.write(link, &Message::Welcome { version, features, name: &name, life, silence: None });
        self.tell_held(link, worker, scheduler);
        self.start_ups[scheduler].workers_greeted += usize::from(older.is_none());
        self.look_whether_ready(now, scheduler);
    }

    fn tell_held(&mut self, link: ConnectionId, worker: usize, scheduler: usize) {
        let held: Vec<_> = self.workers[worker].held_for(scheduler).cloned().collect();
        let mut parts = held.chunks(MOST_HELD).peekable();
        if parts.peek().is_none() {
            self.write(link, &Message::Holds { tasks: Vec::new(), last: true });
        }
        while let Some(part) = parts.next() {
            let tasks = part.iter().map(super::worker::Held::frame).collect();
            self.write(link, &Message::Holds { tasks, last: parts.peek().is_none() });
        }
    }

    fn close(&mut self, worker: usize, id: SendId, ending: Ending, reason: Reason) {
        let closed = Message::Closed { task: id.task, send: id.send, ending, reason };
        self.write_to(worker, id.scheduler, &closed);
    }

    fn worker_decides(&mut self, now: Timestamp, worker: usize, id: SendId) {
        match self.workers[worker].decide(id) {
            None => {}
            Some(false) => self.close(worker, id, Ending::Nacked, Reason::NoCores),
            Some(true) => {
                let accepted = Message::Accepted { task: id.task, send: id.send };
                self.write_to(worker, id.scheduler, &accepted);
                self.timers.schedule(now + START, Due::Started(worker, id));
            }
        }
    }

    fn task_started(&mut self, now: Timestamp, worker: usize, id: SendId) {
        if !self.workers[worker].started(id) {
            return;
        }
        self.write_to(worker, id.scheduler, &Message::Runs { task: id.task, send: id.send });
        if !std::mem::replace(&mut self.workers[worker].tells, true) {
            self.timers.schedule(now + NOTE_EVERY, Due::Notes(worker));
        }
    }

    fn worker_notes(&mut self, now: Timestamp, worker: usize) {
        let running: Vec<SendId> = self.workers[worker].running().collect();
        if running.is_empty() {
            self.workers[worker].tells = false;
            return;
        }
        let used = 1.0 - self.workers[worker].left().memory / WORKER_MEMORY;
        let room = super::settings::TASK_ROOM;
        for id in running {
            let note = Message::Note {
                task: id.task,
                cores: Some(room.cores * TASK_USES),
                memory: Some(room.memory * TASK_USES),
                served: Some(1.0),
                machine_memory: Some(used * TASK_USES),
            };
            self.write_to(worker, id.scheduler, &note);
        }
        self.timers.schedule(now + NOTE_EVERY, Due::Notes(worker));
    }

    // The list service.

    fn list_looks(&mut self, now: Timestamp) {
        let scenario = &self.scenario;
        let facts = self.workers.iter().enumerate().map(|(number, worker)| {
            let left = worker.left();
            Fact {
                machine: worker_id(number),
                kind: 0,
                cell: scenario.rack(number),
                zone: scenario.zone(number),
                up: true,
                draining: false,
                life: 1,
                started: None,
                cores_left: left.cores,
                memory_left: left.memory,
            }
        });
        self.list.observe(now, facts.collect());
        self.timers.schedule(now + LIST_PERIOD, Due::ListLooks);
    }

    /// What the list service wrote goes out on our links, and is counted.
    fn carry_list(&mut self) {
        while let Some(inner) = self.list.connections().next_with_output() {
            let bytes = self.list.connections().outgoing(inner).to_vec();
            self.list.connections().mark_written(inner, bytes.len());
            let Some(Some(link)) = self.list_links.get(inner.0 as usize).copied() else { continue };
            self.count_list(link, &bytes);
            self.links.send(link, &bytes, None);
        }
        while let Some(ask) = self.list.connections().next_command() {
            let Command::Close { connection: inner, .. } = ask else { continue };
            self.list.connections().discard(inner);
            let link = self.list_links.get_mut(inner.0 as usize).and_then(Option::take);
            if let Some(link) = link {
                self.connections[link.0 as usize] = None;
                self.links.close(link);
            }
        }
    }

    fn count_list(&mut self, link: ConnectionId, bytes: &[u8]) {
        let Some(scheduler) = self.connection(link).and_then(|connection| connection.scheduler) else {
            return;
        };
        let mut frames = Frames::default();
        frames.take(bytes);
        while let Ok(Some(frame)) = frames.next_frame() {
            self.traffic[scheduler].came_in(Peer::List, frame.len(), None);
        }
    }

    // Clients.

    fn client_connects(&mut self, client: usize) {
        if self.clients[client].link.is_some() {
            return;
        }
        let link = self.links.open(&scheduler_name(client));
        self.connect(link, Role::Client(client), Some(client));
        self.clients[client].link = Some(link);
    }

    fn client_writes(&mut self, client: usize, message: &Message<'_>) {
        if let Some(link) = self.clients[client].link {
            self.write(link, message);
        }
    }

    fn client_wants(&mut self, now: Timestamp, client: usize) {
        let (id, task) = self.clients[client].new_task(now, &self.scenario);
        self.ask(now, client, id, task);
        self.wants_next(client);
    }

    fn wants_next(&mut self, client: usize) {
        if let Some(at) = self.clients[client].next_ask(&self.scenario) {
            self.timers.schedule(at, Due::Wants(client));
        }
    }

    fn ask(&mut self, now: Timestamp, client: usize, id: u64, task: Task) {
        self.clients[client].tasks.insert(id, task);
        if !self.clients[client].greeted {
            self.timers.schedule(now + ASKS_AGAIN, Due::AsksAgain(client, id));
            return;
        }
        let patience = Duration::from_secs(CLIENT_TIMEOUT_SECONDS).nanos();
        let ask = Message::Ask { task: id, shape: task.shape, patience, clock: now.nanos() };
        self.client_writes(client, &ask);
    }

    /// Asks once more for a task that came to nothing, under another number.
    fn asks_again(&mut self, now: Timestamp, client: usize, id: u64) {
        let Some(mut task) = self.clients[client].tasks.remove(&id) else { return };
        if task.until.is_some_and(|until| until <= now) {
            return;
        }
        (task.shape.again, task.placed) = (true, false);
        self.clients[client].counts.asked_again += 1;
        let id = self.clients[client].fresh_id();
        self.ask(now, client, id, task);
    }

    fn client_hears(&mut self, now: Timestamp, client: usize, message: &Message<'_>) {
        match message {
            Message::Welcome { .. } => {
                self.clients[client].greeted = true;
                self.start_ups[client].client_greeted = true;
                self.look_whether_ready(now, client);
                self.learn_all(now, client);
            }
            Message::Ping { nonce } => self.client_writes(client, &Message::Pong { nonce: *nonce }),
            Message::Placed { task, .. } => self.client_is_served(now, client, *task),
            Message::Nacked { task, stay_away } => {
                let wait = ASKS_AGAIN.max(Duration::from_nanos(*stay_away));
                self.timers.schedule(now + wait, Due::AsksAgain(client, *task));
            }
            Message::Unknown { task } => self.asks_again(now, client, *task),
            Message::Errored { task } => {
                self.timers.schedule(now + ASKS_AGAIN, Due::AsksAgain(client, *task))
            }
            Message::Ended { task, ending } if ending.comes_again() => self.asks_again(now, client, *task),
            Message::Ended { task, .. } => drop(self.clients[client].tasks.remove(task)),
            _ => {}
        }
    }

    /// A client that comes back asks what became of its tasks, and withdraws those whose life is over.
    fn learn_all(&mut self, now: Timestamp, client: usize) {
        let tasks: Vec<(u64, Option<Timestamp>)> =
            self.clients[client].tasks.iter().map(|(id, task)| (*id, task.until)).collect();
        for (id, until) in tasks {
            self.client_writes(client, &Message::Learn { task: id });
            if until.is_some_and(|until| until <= now) {
                self.client_writes(client, &Message::Withdraw { task: id });
            }
        }
    }

    fn client_is_served(&mut self, now: Timestamp, client: usize, id: u64) {
        let client_state = &mut self.clients[client];
        let Some(task) = client_state.tasks.get_mut(&id) else { return };
        if std::mem::replace(&mut task.placed, true) {
            return;
        }
        client_state.counts.served += 1;
        if let Some(until) = task.until {
            self.timers.schedule(until.max(now), Due::Withdraw(client, id));
        }
    }

    fn look_whether_ready(&mut self, now: Timestamp, scheduler: usize) {
        let start_up = &mut self.start_ups[scheduler];
        let is_ready = start_up.client_greeted && start_up.workers_greeted == self.workers.len();
        if is_ready && !std::mem::replace(&mut start_up.is_ready, true) {
            let began = start_up.began;
            self.done_starts.push(DoneStart { began, took: now - began });
        }
    }

    fn begin(&mut self, now: Timestamp) {
        self.timers.schedule(now, Due::ListLooks);
        for client in 0..self.clients.len() {
            self.timers.schedule(SCHEDULERS_START, Due::Connect(client));
            self.wants_next(client);
        }
    }

    fn fall_due(&mut self, now: Timestamp, due: Due) {
        match due {
            Due::ListLooks => self.list_looks(now),
            Due::Decide(worker, id) => self.worker_decides(now, worker, id),
            Due::Started(worker, id) => self.task_started(now, worker, id),
            Due::Notes(worker) => self.worker_notes(now, worker),
            Due::Connect(client) => self.client_connects(client),
            Due::Wants(client) => self.client_wants(now, client),
            Due::AsksAgain(client, id) => self.asks_again(now, client, id),
            Due::Withdraw(client, id) => {
                if self.clients[client].tasks.contains_key(&id) {
                    self.client_writes(client, &Message::Withdraw { task: id });
                }
            }
        }
    }
}

/// The list's number of a worker.
fn worker_id(worker: usize) -> u64 {
    worker as u64 + 1
}

impl StateMachine for Surroundings {
    fn on_connection_accepted(&mut self, now: Timestamp, link: ConnectionId, door: ListenerId) {
        if door == LIST_DOOR {
            let inner = self.list.connections().register();
            self.list_links.resize(inner.0 as usize + 1, None);
            self.list_links[inner.0 as usize] = Some(link);
            self.list.on_connection_accepted(now, inner, ListenerId(0));
            self.connect(link, Role::List(inner), None);
        } else {
            self.connect(link, Role::Worker(door.0 as usize), None);
        }
    }

    fn on_connected(&mut self, now: Timestamp, link: ConnectionId) {
        let role = self.connection(link).map(|connection| connection.role);
        let Some(Role::Client(client)) = role else { return };
        let name = self.clients[client].name();
        let features = if self.clients[client].tasks.is_empty() { 0 } else { protocol::HAS_TASKS };
        self.write(link, &Message::hello(Conversation::ClientPlanner, features, &name, 1, now.nanos()));
    }

    fn on_data(&mut self, now: Timestamp, link: ConnectionId, bytes: &[u8]) {
        let heard = self.hear_frames(now, link, bytes);
        let role = self.connection(link).map(|connection| connection.role);
        if let (Ok(()), Some(Role::List(inner))) = (&heard, role) {
            self.list.on_data(now, inner, bytes);
        }
        if let Err(Bad(words)) = heard {
            self.write(link, &Message::Bye { words: &words });
            self.links.close(link);
            self.disconnect(now, link);
        }
    }

    fn on_closed(&mut self, now: Timestamp, link: ConnectionId, _: CloseReason) {
        self.links.remove(link);
        self.disconnect(now, link);
    }

    fn poll(&mut self, now: Timestamp) {
        if !std::mem::replace(&mut self.begun, true) {
            self.begin(now);
        }
        while let Some(due) = self.timers.pop_due(now) {
            self.fall_due(now, due);
        }
        self.list.poll(now);
        self.carry_list();
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        if !self.begun {
            return Some(Timestamp::default());
        }
        [self.timers.next_wakeup(), self.list.next_wakeup()].into_iter().flatten().min()
    }

    fn connections(&mut self) -> &mut Connections {
        &mut self.links
    }
}
