//! A node: it takes set-ups, holds tasks until the script ends them, and reports their ends.

use crate::record::Record;
use crate::wire::{self, Message};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

unsafe extern "C" {
    /// The C library's: how many connections may wait to be accepted.
    safe fn listen(descriptor: i32, backlog: i32) -> i32;
}

/// What a node does with a set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// It answers: the task stands.
    Takes,
    /// It releases it as full: it never ran.
    Full,
    /// The task starts, and then the set-up is released with this cause instead of an answer.
    StartsAndReleases(u8),
    /// Two releases in one write, with these causes.
    ReleasesTwice(u8, u8),
    /// The task runs, and the first half of the answer is all that is ever written of it.
    StopsShort,
}

/// A set-up as it arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub task: u64,
    pub at: Instant,
    /// The task ran, from then on.
    pub ran: bool,
}

struct State {
    manner: Manner,
    answer_delay: Duration,
    /// Bytes of the description in an answer; 0 for a short one.
    description: usize,
    arrivals: Vec<Arrival>,
    /// Tasks that stand, each with the connection of its set-up.
    standing: BTreeMap<u64, usize>,
    /// The node's listener; connections to it come up late while it is held back.
    listener: Option<Arc<TcpListener>>,
    held_back: bool,
    links: Vec<(usize, TcpStream)>,
    next_link: usize,
    /// Releases that go out on the next connection that is opened, too.
    repeats: Vec<Message>,
    /// The connection on which an answer stopped short.
    spoilt: Option<usize>,
}

#[derive(Clone)]
pub struct Node {
    pub uid: String,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    stopped: Arc<AtomicBool>,
    record: Record,
}

impl Node {
    /// A node at this address; port 0 for a free one.
    pub fn start(uid: &str, address: &str, manner: Manner, record: &Record) -> std::io::Result<Self> {
        let listener = Arc::new(TcpListener::bind(address)?);
        listener.set_nonblocking(true)?;
        let node = Self {
            uid: uid.to_owned(),
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State {
                manner,
                answer_delay: Duration::ZERO,
                description: 0,
                arrivals: Vec::new(),
                standing: BTreeMap::new(),
                listener: Some(listener.clone()),
                held_back: false,
                links: Vec::new(),
                next_link: 0,
                repeats: Vec::new(),
                spoilt: None,
            })),
            stopped: Arc::new(AtomicBool::new(false)),
            record: record.clone(),
        };
        let acceptor = node.clone();
        std::thread::spawn(move || acceptor.accept(&listener));
        Ok(node)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn accept(&self, listener: &TcpListener) {
        while !self.stopped.load(Ordering::Relaxed) {
            let accepted = if self.lock().held_back { None } else { listener.accept().ok() };
            let Some((stream, _)) = accepted else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let (Ok(reader), mut state) = (stream.try_clone(), self.lock()) else { continue };
            state.next_link += 1;
            let link = state.next_link;
            state.links.push((link, stream));
            for release in std::mem::take(&mut state.repeats) {
                self.write(&state, link, &release);
            }
            drop(state);
            let node = self.clone();
            std::thread::spawn(move || node.read(link, reader));
        }
    }

    fn read(&self, link: usize, mut stream: TcpStream) {
        let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
        'connection: while let Ok(count) = stream.read(&mut buffer) {
            if count == 0 {
                break;
            }
            bytes.extend_from_slice(&buffer[..count]);
            loop {
                match Message::take(&mut bytes) {
                    Ok(Some(message)) => self.handle(link, &message),
                    Ok(None) => break,
                    Err(_) => break 'connection,
                }
            }
        }
        self.lock().links.retain(|(other, _)| *other != link);
    }

    fn handle(&self, link: usize, message: &Message) {
        let mut state = self.lock();
        if self.stopped.load(Ordering::Relaxed) {
            return;
        }
        match message.kind {
            wire::START => {
                self.record.note(&format!("node {} gets {}", self.uid, message.describe()));
                self.take_set_up(&mut state, link, message);
            }
            wire::RELEASE => {
                self.record.note(&format!("node {} gets {}", self.uid, message.describe()));
                if state.standing.remove(&message.task).is_some() {
                    self.record.note(&format!("node {} cuts task {:016x}", self.uid, message.task));
                    self.write(&state, link, &Message::release(message.task, wire::CANCELLED));
                }
            }
            wire::TEST => {
                let passed = Message::new(wire::TEST_RESULT, message.task).with(wire::CAUSE, &[1]);
                self.write(&state, link, &passed);
            }
            _ => {}
        }
    }

    fn take_set_up(&self, state: &mut State, link: usize, message: &Message) {
        let task = message.task;
        let ran = state.manner != Manner::Full;
        state.arrivals.push(Arrival { task, at: Instant::now(), ran });
        let answer = match state.manner {
            Manner::Takes => {
                state.standing.insert(task, link);
                self.record.note(&format!("node {} runs task {task:016x}", self.uid));
                let mut description = self.uid.clone().into_bytes();
                description.resize(description.len().max(state.description), b'.');
                Message::new(wire::ANSWER, task).with(wire::DESCRIPTION, &description)
            }
            Manner::Full => Message::release(task, wire::FULL),
            Manner::ReleasesTwice(first, second) => {
                if let Some((_, stream)) = state.links.iter().find(|(other, _)| *other == link) {
                    self.record.note(&format!("node {} releases task {task:016x} with causes {first} and {second}", self.uid));
                    let mut bytes = Message::release(task, first).encode();
                    bytes.extend(Message::release(task, second).encode());
                    let _ = (&*stream).write_all(&bytes);
                }
                return;
            }
            Manner::StopsShort => {
                state.standing.insert(task, link);
                state.spoilt = Some(link);
                self.record.note(&format!("node {} runs task {task:016x}", self.uid));
                let bytes = Message::new(wire::ANSWER, task).with(wire::DESCRIPTION, &[b'.'; 4_000]).encode();
                let half = &bytes[..bytes.len() / 2];
                if let Some((_, stream)) = state.links.iter().find(|(other, _)| *other == link) {
                    self.record.note(&format!(
                        "node {} sends an answer {task:016x} that stops short: {} of {} bytes, on link {link}",
                        self.uid,
                        half.len(),
                        bytes.len()
                    ));
                    let _ = (&*stream).write_all(half);
                }
                return;
            }
            Manner::StartsAndReleases(cause) => {
                self.record.note(&format!("node {} runs task {task:016x}", self.uid));
                Message::release(task, cause)
            }
        };
        if state.answer_delay == Duration::ZERO {
            return self.write(state, link, &answer);
        }
        let (node, delay) = (self.clone(), state.answer_delay);
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            let state = node.lock();
            node.write(&state, link, &answer);
        });
    }

    fn write(&self, state: &State, link: usize, message: &Message) {
        if let Some((_, stream)) = state.links.iter().find(|(other, _)| *other == link) {
            self.record.note(&format!("node {} sends {}", self.uid, message.describe()));
            let _ = (&*stream).write_all(&message.encode());
        }
    }

    /// Its answers have descriptions of so many bytes.
    pub fn describe_with(&self, bytes: usize) {
        self.lock().description = bytes;
    }

    /// What it answers to set-ups comes so much later.
    pub fn answer_late(&self, delay: Duration) {
        self.lock().answer_delay = delay;
    }

    /// New connections don't come up from now on, for so long.
    pub fn hold_connections_back(&self, length: Duration) {
        let listener = {
            let mut state = self.lock();
            state.held_back = true;
            let Some(listener) = state.listener.clone() else { return };
            listener
        };
        // A queue of waiting connections that is full leaves further ones unanswered.
        listen(listener.as_raw_fd(), 0);
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&self.address, Duration::from_millis(20)) {
            fillers.push(filler);
        }
        self.record.note(&format!("connections to node {} don't come up", self.uid));
        let node = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(length);
            // They wait ahead of all others.
            fillers.iter().for_each(|_| drop(listener.accept()));
            drop(fillers);
            listen(listener.as_raw_fd(), 1024);
            node.lock().held_back = false;
            node.record.note(&format!("connections to node {} come up again", node.uid));
        });
    }

    /// It holds this task since before the schedulers started.
    pub fn hold(&self, task: u64) {
        self.record.note(&format!("node {} runs task {task:016x}", self.uid));
        self.lock().standing.insert(task, 0);
    }

    /// From now on it tells every half second how many cores each task uses, on the connection of its set-up.
    pub fn tell_use(&self) {
        let node = self.clone();
        std::thread::spawn(move || {
            while !node.stopped.load(Ordering::Relaxed) {
                {
                    let state = node.lock();
                    for (task, link) in &state.standing {
                        let note = Message::new(wire::NOTE, *task)
                            .with(wire::NOTE_NAME, b"use_cpu")
                            .with(wire::NOTE_VALUE, b"0.25");
                        node.write(&state, *link, &note);
                    }
                }
                std::thread::sleep(Duration::from_millis(500));
            }
        });
    }

    /// The connection of a task's set-up.
    pub fn link_of(&self, task: u64) -> Option<usize> {
        self.lock().standing.get(&task).copied()
    }

    /// The connection on which an answer stopped short.
    pub fn spoilt_link(&self) -> Option<usize> {
        self.lock().spoilt
    }

    pub fn set_manner(&self, manner: Manner) {
        self.lock().manner = manner;
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    pub fn holds(&self, task: u64) -> bool {
        self.lock().standing.contains_key(&task)
    }

    /// A task comes to its end: the node says so on the connection of its set-up, else on any open one, and on
    /// the next one that is opened.
    pub fn end_task(&self, task: u64) {
        let mut state = self.lock();
        let Some(link) = state.standing.remove(&task) else { return };
        self.record.note(&format!("node {}: task {task:016x} comes to its end", self.uid));
        let release = Message::release(task, wire::GIVEN_UP);
        let is_open = state.links.iter().any(|(other, _)| *other == link);
        let carrier = if is_open { Some(link) } else { state.links.first().map(|(other, _)| *other) };
        if let Some(carrier) = carrier {
            self.write(&state, carrier, &release);
        }
        state.repeats.push(release);
    }

    /// All its connections end; what was on its way there is lost.
    pub fn reset_connections(&self) {
        self.record.note(&format!("the connections of node {} are reset", self.uid));
        for (_, stream) in self.lock().links.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// The process of the node dies: its connections are reset, its tasks are cut, its address is free.
    pub fn die(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        let mut state = self.lock();
        self.record.note(&format!("node {} dies", self.uid));
        for (_, stream) in state.links.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        state.standing.clear();
        state.listener = None;
    }
}
