//! Stand-ins of the platform's parties: nodes, the bulletin, and connections of owners and bad clients.

use crate::world::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Idle connections to nodes close after this time, as the settings say.
const IDLE_MS: u64 = 15_000;
/// What a task uses changes every so often, and its node notes the change.
const USE_CHANGES_MS: u64 = 12_000;

/// What a node does with a set-up.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Accepts,
    /// Refuses with cause 34 and a reason: the task never ran.
    Full,
}

/// A task that stands at a node, with the connection of its set-up.
struct Standing {
    connection: Option<u64>,
}

#[derive(Default)]
struct NodeState {
    mode: Option<Mode>,
    connections: BTreeMap<u64, TcpStream>,
    opened: u64,
    /// When something was last sent or received on each connection.
    used_at: BTreeMap<u64, u64>,
    /// Connections close when they have been idle for so long.
    idle_ms: u64,
    noted_at: u64,
    /// So many of the next connections are reset as they are new.
    resets: usize,
    /// Its process has died.
    is_dead: bool,
    /// It is cut off: open connections are quiet, and new ones don't come up.
    is_cut_off: bool,
    /// What it has to say meanwhile, by connection.
    held_back: Vec<(u64, Message)>,
    standing: BTreeMap<u64, Standing>,
    /// Releases that are sent on the next connection opened, too.
    repeated: Vec<(u64, u8)>,
}

/// A node: one listener, and a thread for each connection.
pub struct Node {
    pub uid: String,
    pub address: SocketAddr,
    pub cell: u32,
    /// When it started, if that was late.
    boot_ms: u64,
    world: Arc<World>,
    state: Mutex<NodeState>,
}

impl Node {
    pub fn start(world: &Arc<World>, number: u32, cell: u32) -> Arc<Self> {
        let listener = TcpListener::bind((format!("127.40.1.{number}"), 0)).expect("a free port");
        Self::start_on(world, listener, number, cell, 0)
    }

    /// A new node at the address of this one, which has died. It starts late.
    pub fn replace(&self, number: u32) -> Arc<Self> {
        let listener = TcpListener::bind(self.address).expect("the address is free again");
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        Self::start_on(&self.world, listener, number, self.cell, since_1970.as_millis() as u64)
    }

    fn start_on(
        world: &Arc<World>,
        listener: TcpListener,
        number: u32,
        cell: u32,
        boot_ms: u64,
    ) -> Arc<Self> {
        let node = Arc::new(Self {
            uid: format!("s-{number:08x}"),
            address: listener.local_addr().expect("is bound"),
            cell,
            boot_ms,
            world: world.clone(),
            state: Mutex::new(NodeState {
                mode: Some(Mode::Accepts),
                idle_ms: IDLE_MS,
                ..NodeState::default()
            }),
        });
        let (accepting, ticking) = (node.clone(), node.clone());
        std::thread::spawn(move || accepting.listen(listener));
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            ticking.tick();
        });
        node
    }

    /// From now on it closes connections that have been idle for so long.
    pub fn close_idle_after(&self, ms: u64) {
        self.state.lock().unwrap().idle_ms = ms;
    }

    pub fn set_mode(&self, mode: Mode) {
        self.state.lock().unwrap().mode = Some(mode);
    }

    pub fn reset_next(&self, connections: usize) {
        self.state.lock().unwrap().resets = connections;
    }

    /// How many releases wait for the next connection that is opened.
    pub fn releases_to_repeat(&self) -> usize {
        self.state.lock().unwrap().repeated.len()
    }

    /// A task that another scheduler placed here stands.
    pub fn hold(&self, task: u64) {
        self.log(&format!("task {task:016x} stands here, placed by another scheduler"));
        self.state.lock().unwrap().standing.insert(task, Standing { connection: None });
    }

    pub fn stands(&self, task: u64) -> bool {
        self.state.lock().unwrap().standing.contains_key(&task)
    }

    fn log(&self, what: &str) {
        self.world.log(&format!("node {}", self.uid), what);
    }

    /// A standing task has come to its end: its release goes out on the connection of its set-up, else on any open
    /// one, and on the next one opened.
    pub fn end(&self, task: u64) {
        let state = &mut *self.state.lock().unwrap();
        let Some(standing) = state.standing.remove(&task) else { return };
        self.log(&format!("task {task:016x} has come to its end"));
        let own = standing.connection.filter(|id| state.connections.contains_key(id));
        if let Some(id) = own.or_else(|| state.connections.keys().next().copied()) {
            self.send(state, id, &Message::new(RELEASE, task).with(CAUSE, [16]));
        }
        state.repeated.push((task, 16));
    }

    fn send(&self, state: &mut NodeState, connection: u64, message: &Message) {
        if state.is_cut_off {
            return state.held_back.push((connection, message.clone()));
        }
        let Some(stream) = state.connections.get_mut(&connection) else { return };
        self.log(&format!("on {connection} sends {}", message.describe()));
        let _ = stream.write_all(&message.encode());
        state.used_at.insert(connection, self.world.ms());
    }

    /// Closes idle connections, and notes what the standing tasks use.
    fn tick(&self) {
        let state = &mut *self.state.lock().unwrap();
        let now = self.world.ms();
        for (id, stream) in &state.connections {
            let idle = now - state.used_at.get(id).copied().unwrap_or(now);
            if idle >= state.idle_ms && !state.is_cut_off {
                self.log(&format!("closes connection {id}, idle for {idle} ms"));
                let _ = stream.shutdown(Shutdown::Both);
                state.used_at.insert(*id, now);
            }
        }
        if now - state.noted_at >= USE_CHANGES_MS {
            state.noted_at = now;
            self.send_notes(state);
        }
    }

    fn send_notes(&self, state: &mut NodeState) {
        let any = state.connections.keys().next().copied();
        let notes: Vec<(u64, u64)> = state
            .standing
            .iter()
            .filter_map(|(task, standing)| {
                let own = standing.connection.filter(|id| state.connections.contains_key(id));
                Some((*task, own.or(any)?))
            })
            .collect();
        for (task, connection) in notes {
            for (topic, figure) in [("use_cpu", "0.3"), ("use_ram", "0.4")] {
                let note = Message::new(NOTE, task).with(TOPIC, topic).with(FIGURE, figure);
                self.send(state, connection, &note);
            }
        }
    }

    /// Its process dies: its connections are reset, its tasks are cut, and nobody listens there any more.
    pub fn die(&self) {
        let state = &mut *self.state.lock().unwrap();
        self.log("dies");
        state.is_dead = true;
        state.standing.clear();
        std::mem::take(&mut state.connections).into_values().for_each(reset_shared);
    }

    /// Resets the connections that are open.
    pub fn reset_connections(&self) {
        let state = &mut *self.state.lock().unwrap();
        for (id, stream) in std::mem::take(&mut state.connections) {
            self.log(&format!("connection {id} is reset"));
            reset_shared(stream);
        }
    }

    /// Cuts it off from the scheduler, or ends that.
    pub fn cut_off(&self, is_cut_off: bool) {
        let state = &mut *self.state.lock().unwrap();
        self.log(if is_cut_off { "is cut off" } else { "is in reach again" });
        state.is_cut_off = is_cut_off;
        if !is_cut_off {
            for (connection, message) in std::mem::take(&mut state.held_back) {
                self.send(state, connection, &message);
            }
        }
    }

    /// Accepts connections; while it is cut off, the line of those that wait to be accepted is full, so that no other
    /// comes up.
    fn listen(self: Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).expect("is set");
        let mut fillers: Option<Vec<TcpStream>> = None;
        loop {
            let is_cut_off = self.state.lock().unwrap().is_cut_off;
            if self.state.lock().unwrap().is_dead {
                return;
            }
            if is_cut_off && fillers.is_none() {
                set_backlog(&listener, 0);
                let connect = || TcpStream::connect_timeout(&self.address, Duration::from_millis(20)).ok();
                fillers = Some(std::iter::from_fn(connect).take(8).collect());
            } else if !is_cut_off {
                if let Some(fillers) = fillers.take() {
                    let own: Vec<_> = fillers.iter().filter_map(|filler| filler.local_addr().ok()).collect();
                    set_backlog(&listener, 128);
                    for _ in 0..fillers.len() {
                        if let Ok((stream, peer)) = listener.accept() {
                            if !own.contains(&peer) {
                                let _ = stream.set_nonblocking(false);
                                self.accept(stream);
                            }
                        }
                    }
                }
                while let Ok((stream, _)) = listener.accept() {
                    let _ = stream.set_nonblocking(false);
                    self.accept(stream);
                }
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn accept(self: &Arc<Self>, stream: TcpStream) {
        let state = &mut *self.state.lock().unwrap();
        state.opened += 1;
        let id = state.opened;
        if state.resets > 0 {
            state.resets -= 1;
            self.log(&format!("connection {id} is reset as it is new"));
            return reset(stream);
        }
        self.log(&format!("connection {id} accepted"));
        let _ = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else { return };
        state.connections.insert(id, stream);
        state.used_at.insert(id, self.world.ms());
        for (task, cause) in std::mem::take(&mut state.repeated) {
            self.send(state, id, &Message::new(RELEASE, task).with(CAUSE, [cause]));
        }
        let node = self.clone();
        std::thread::spawn(move || node.serve(id, reader));
    }

    fn serve(&self, id: u64, mut reader: TcpStream) {
        while let Some(message) = Message::read(&mut reader) {
            while self.state.lock().unwrap().is_cut_off {
                std::thread::sleep(Duration::from_millis(2));
            }
            self.log(&format!("on {id} receives {}", message.describe()));
            self.handle(id, &message);
        }
        let state = &mut *self.state.lock().unwrap();
        if let Some(stream) = state.connections.remove(&id) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        state.used_at.remove(&id);
        self.log(&format!("connection {id} is over"));
    }

    fn handle(&self, id: u64, message: &Message) {
        let state = &mut *self.state.lock().unwrap();
        let task = message.task;
        state.used_at.insert(id, self.world.ms());
        match message.kind {
            START => match state.mode.expect("is set") {
                Mode::Accepts => {
                    state.standing.insert(task, Standing { connection: Some(id) });
                    self.log(&format!("task {task:016x} named {} runs here", message.text(NAME)));
                    let answer =
                        Message::new(ANSWER, task).with(DESCRIPTION, format!("made by {}", self.uid));
                    self.send(state, id, &answer);
                    self.send(state, id, &Message::new(NOTE, task).with(TOPIC, "running"));
                }
                Mode::Full => {
                    let release = Message::new(RELEASE, task).with(CAUSE, [34]).with(TOPIC, "lack_cpu");
                    self.send(state, id, &release);
                }
            },
            RELEASE if state.standing.remove(&task).is_some() => {
                self.log(&format!("task {task:016x} is cut by its scheduler"));
                self.send(state, id, &Message::new(RELEASE, task).with(CAUSE, [31]));
            }
            TEST => self.send(state, id, &Message::new(TESTED, task).with(CAUSE, [1])),
            _ => {}
        }
    }

    /// Its entry in the list.
    pub fn entry(&self, state: &str) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"hall-a","model":"node-big","pod_group":{},"state":"{state}","capacity_hint":4,"boot_ms":{},"room":[50.0,60.0]}}"#,
            self.uid, self.address, self.cell, self.boot_ms
        )
    }
}

/// An event of the list.
pub fn event(number: u64, all: bool, entries: &[String]) -> String {
    format!(r#"{{"no":{number},"roster":{{"rev":{number},"all":{all},"targets":[{}]}}}}"#, entries.join(","))
}

/// The bulletin: it tells events above the number asked for, and a comment each second.
pub struct Bulletin {
    pub address: SocketAddr,
    world: Arc<World>,
    events: Mutex<Vec<(u64, String)>>,
}

impl Bulletin {
    pub fn start(world: &Arc<World>) -> Arc<Self> {
        let listener = TcpListener::bind(("127.40.2.1", 0)).expect("a free port");
        let address = listener.local_addr().expect("is bound");
        let bulletin = Arc::new(Self { address, world: world.clone(), events: Mutex::default() });
        let listening = bulletin.clone();
        std::thread::spawn(move || listening.listen(listener));
        bulletin
    }

    pub fn publish(&self, number: u64, event: String) {
        self.world.log("bulletin", &format!("holds event {event}"));
        self.events.lock().unwrap().push((number, event));
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            let bulletin = self.clone();
            std::thread::spawn(move || bulletin.serve(stream));
        }
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let (mut head, mut byte) = (Vec::new(), [0; 1]);
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).ok()?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let asked = head.lines().find_map(|line| line.strip_prefix("Last-Event-ID: "));
        let mut told: u64 = asked.and_then(|number| number.trim().parse().ok()).unwrap_or(0);
        self.world.log("bulletin", &format!("is asked for what follows event {told}"));
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n").ok()?;
        let mut since_comment = 0;
        loop {
            let events = self.events.lock().unwrap().clone();
            for (number, event) in events {
                if number > told {
                    told = number;
                    stream.write_all(format!("id: {number}\ndata: {event}\n\n").as_bytes()).ok()?;
                    self.world.log("bulletin", &format!("tells event {number}"));
                }
            }
            std::thread::sleep(Duration::from_millis(20));
            since_comment += 20;
            if since_comment >= 1_000 {
                since_comment = 0;
                stream.write_all(b": \n\n").ok()?;
            }
        }
    }
}

/// A connection to the scheduler, of an owner or a bad client.
pub struct Connection {
    name: String,
    world: Arc<World>,
    stream: Mutex<TcpStream>,
    received: Arc<Mutex<Vec<(u64, Message)>>>,
}

impl Connection {
    pub fn open(world: &Arc<World>, name: &str, scheduler: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(scheduler).ok()?;
        let _ = stream.set_nodelay(true);
        world.log(name, "connects");
        let mut reader = stream.try_clone().ok()?;
        let received = Arc::new(Mutex::new(Vec::new()));
        let (inbox, reading, name) = (received.clone(), world.clone(), name.to_owned());
        let reader_name = name.clone();
        std::thread::spawn(move || {
            while let Some(message) = Message::read(&mut reader) {
                reading.log(&reader_name, &format!("receives {}", message.describe()));
                inbox.lock().unwrap().push((reading.ms(), message));
            }
            reading.log(&reader_name, "the connection is over");
        });
        Some(Self { name, world: world.clone(), stream: Mutex::new(stream), received })
    }

    pub fn send(&self, message: &Message) {
        self.world.log(&self.name, &format!("sends {}", message.describe()));
        let _ = self.stream.lock().unwrap().write_all(&message.encode());
    }

    pub fn close(&self) {
        self.world.log(&self.name, "closes");
        let _ = self.stream.lock().unwrap().shutdown(Shutdown::Both);
    }

    /// The first message of this kind about this task, and when it came.
    pub fn find(&self, kind: u8, task: u64) -> Option<(u64, Message)> {
        let received = self.received.lock().unwrap();
        received.iter().find(|(_, message)| message.kind == kind && message.task == task).cloned()
    }

    /// Waits for that.
    pub fn wait_for(&self, kind: u8, task: u64, limit_ms: u64) -> Option<(u64, Message)> {
        self.world.wait(limit_ms, || self.find(kind, task).is_some());
        self.find(kind, task)
    }
}

/// A set-up of the class `wallet-api`, which may run twice.
pub fn wallet(task: u64, service: u64) -> Message {
    Message::new(START, task)
        .with(CLASS, "wallet-api")
        .with(WAIT, "8000")
        .with(NAME, format!("{:016x}", task ^ 0x7f3a_0000_0000_0000))
        .with(FIGURES, format!("cores:1;memory:2;service:{service:016x}"))
        .with(DESCRIPTION, "start a wallet front end")
}

/// The same set-up as a hand-over: the task stands at this node already.
pub fn at(mut setup: Message, uid: &str) -> Message {
    for (code, value) in &mut setup.params {
        if *code == FIGURES {
            value.extend(format!(";at:{uid}").bytes());
        }
    }
    setup
}

/// The same set-up for a task with this name.
pub fn named(mut setup: Message, name: u64) -> Message {
    for (code, value) in &mut setup.params {
        if *code == NAME {
            *value = format!("{name:016x}").into_bytes();
        }
    }
    setup
}
