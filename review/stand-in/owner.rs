//! An owner's connection to a scheduler.

use crate::record::Record;
use crate::wire::{self, Message};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Owner {
    name: String,
    stream: Arc<TcpStream>,
    received: Arc<Mutex<Vec<(Instant, Message)>>>,
    closed: Arc<Mutex<Option<Instant>>>,
    record: Record,
    /// It says nothing, whatever it receives.
    mute: bool,
}

/// A set-up. Each task is of a service of its own.
pub fn set_up(task: u64, name: u64, class: &str, timeout_ms: u64, at: Option<&str>) -> Message {
    let at = at.map_or(String::new(), |uid| format!(";at:{uid}"));
    let figures = format!("cores:0.5;memory:1;service:{name:016x}{at}");
    let message = Message::new(wire::START, task)
        .with(wire::CLASS, class.as_bytes())
        .with(wire::TIMEOUT, timeout_ms.to_string().as_bytes())
        .with(wire::NAME, format!("{name:016x}").as_bytes());
    let message = if class == "berth-plan" {
        message.with(wire::KEY, format!("{name:032x}").as_bytes())
    } else {
        message
    };
    message.with(wire::FIGURES, figures.as_bytes()).with(wire::DESCRIPTION, b"wanted")
}

/// A set-up with this description, of a task that asks for little.
pub fn set_up_described(task: u64, class: &str, timeout_ms: u64, description: &[u8]) -> Message {
    Message::new(wire::START, task)
        .with(wire::CLASS, class.as_bytes())
        .with(wire::TIMEOUT, timeout_ms.to_string().as_bytes())
        .with(wire::NAME, format!("{task:016x}").as_bytes())
        .with(wire::FIGURES, format!("cores:0.25;memory:0.5;service:{task:016x}").as_bytes())
        .with(wire::DESCRIPTION, description)
}

impl Owner {
    pub fn connect(name: &str, address: SocketAddr, record: &Record) -> Result<Self, String> {
        let stream = TcpStream::connect(address).map_err(|error| format!("connect: {error}"))?;
        let _ = stream.set_nodelay(true);
        let owner = Self {
            name: name.to_owned(),
            stream: Arc::new(stream),
            received: Arc::new(Mutex::new(Vec::new())),
            closed: Arc::new(Mutex::new(None)),
            record: record.clone(),
            mute: name == "silent client" || name == "bad client",
        };
        let reader = owner.clone();
        std::thread::spawn(move || reader.read());
        Ok(owner)
    }

    /// Connects once a test is passed there, as the front does.
    pub fn connect_when_ready(name: &str, address: SocketAddr, record: &Record) -> Result<Self, String> {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(30) {
            if let Ok(front) = Self::connect("front", address, record) {
                let _ = (&*front.stream).write_all(&Message::new(wire::TEST, 1).with(wire::CAUSE, &[0]).encode());
                let is_passed = |message: &Message| message.kind == wire::TEST_RESULT && message.cause() == Some(1);
                let passed = front.wait(Duration::from_secs(1), is_passed).is_some();
                front.close();
                if passed {
                    record.note("front: the test is passed");
                    return Self::connect(name, address, record);
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err("the scheduler is not ready within 30 s".to_owned())
    }

    fn read(&self) {
        let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
        'connection: while let Ok(count) = (&*self.stream).read(&mut buffer) {
            if count == 0 {
                break;
            }
            bytes.extend_from_slice(&buffer[..count]);
            loop {
                match Message::take(&mut bytes) {
                    Ok(Some(message)) => self.handle(message),
                    Ok(None) => break,
                    Err(_) => break 'connection,
                }
            }
        }
        self.closed.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert(Instant::now());
    }

    fn handle(&self, message: Message) {
        if self.name != "front" {
            self.record.note(&format!("{} receives {}", self.name, message.describe()));
        }
        // What has stood and is over: the owner says that it has heard that.
        let mut received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        let was_answered = received.iter().any(|(_, other)| other.kind == wire::ANSWER && other.task == message.task);
        if !self.mute && message.kind == wire::RELEASE && (was_answered || message.cause() == Some(wire::GIVEN_UP)) {
            let _ = (&*self.stream).write_all(&Message::new(wire::RELEASE_HEARD, message.task).encode());
        }
        received.push((Instant::now(), message));
    }

    /// Sends messages in one write.
    pub fn send(&self, messages: &[Message]) -> Instant {
        for message in messages {
            self.record.note(&format!("{} sends {}", self.name, message.describe()));
        }
        let bytes: Vec<u8> = messages.iter().flat_map(Message::encode).collect();
        let _ = (&*self.stream).write_all(&bytes);
        Instant::now()
    }

    /// The first message of which this holds, with its time, if it comes in time.
    pub fn wait(&self, most: Duration, which: impl Fn(&Message) -> bool) -> Option<(Instant, Message)> {
        let began = Instant::now();
        loop {
            let received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(found) = received.iter().find(|(_, message)| which(message)) {
                return Some(found.clone());
            }
            drop(received);
            if began.elapsed() >= most {
                return None;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// The final answer of a set-up: an answer, or a release.
    pub fn final_answer(&self, task: u64, most: Duration) -> Option<(Instant, Message)> {
        self.wait(most, |message| message.task == task && [wire::ANSWER, wire::RELEASE].contains(&message.kind))
    }

    /// A release of a task that stood.
    pub fn told_over(&self, task: u64, most: Duration) -> Option<(Instant, Message)> {
        self.wait(most, |message| message.task == task && message.kind == wire::RELEASE)
    }

    pub fn is_closed(&self) -> bool {
        self.closed.lock().unwrap_or_else(PoisonError::into_inner).is_some()
    }

    pub fn close(&self) {
        if self.name != "front" {
            self.record.note(&format!("{} closes its connection", self.name));
        }
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
