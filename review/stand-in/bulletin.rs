//! The bulletin: numbered events over HTTP, as server-sent events, with a comment each second.

use crate::node::Node;
use crate::record::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

struct State {
    /// The data of the events, from number 1 on, and when each was published.
    events: Vec<(String, Instant)>,
    /// How long a call waits for its turn before it is answered.
    turn: Duration,
    calls: usize,
    /// It is down: calls are closed at once, and those that stood are closed.
    down: bool,
}

#[derive(Clone)]
pub struct Bulletin {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

/// An entry of the list.
pub fn entry(node: &Node, status: &str, boot_ms: u64) -> String {
    entry_with_room(node, status, boot_ms, 24)
}

/// The same, with so many cores that nobody has asked for, and twice as much memory.
pub fn entry_with_room(node: &Node, status: &str, boot_ms: u64, cores: u32) -> String {
    format!(
        concat!(
            r#"{{"uid":"{}","endpoint":"{}","az":"quay","model":"slab","pod_group":1,"#,
            r#""state":"{}","capacity_hint":1,"boot_ms":{},"room":[{},{}]}}"#
        ),
        node.uid,
        node.address,
        status,
        boot_ms,
        cores,
        2 * cores
    )
}

impl Bulletin {
    pub fn start(record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State { events: Vec::new(), turn: Duration::ZERO, calls: 0, down: false };
        let bulletin = Self {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
        };
        let server = bulletin.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        Ok(bulletin)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes an event with these entries; the first one is the whole list.
    pub fn publish(&self, entries: &[String]) {
        let mut state = self.lock();
        let number = state.events.len() + 1;
        let all = number == 1;
        let list = entries.join(",");
        let event = format!(r#"{{"no":{number},"roster":{{"rev":{number},"all":{all},"targets":[{list}]}}}}"#);
        self.record.note(&format!("bulletin publishes {event}"));
        state.events.push((event, Instant::now()));
    }

    /// The events so far, in the form of the configuration's `known`.
    pub fn known(&self) -> String {
        let state = self.lock();
        let events: Vec<&str> = state.events.iter().map(|(event, _)| event.as_str()).collect();
        format!(r#"{{"no":{},"items":[{}]}}"#, events.len(), events.join(","))
    }

    pub fn set_turn(&self, turn: Duration) {
        self.lock().turn = turn;
    }

    pub fn set_down(&self, down: bool) {
        self.record.note(if down { "bulletin goes down" } else { "bulletin is back" });
        self.lock().down = down;
    }

    pub fn calls(&self) -> usize {
        self.lock().calls
    }

    fn serve(&self, mut stream: TcpStream) {
        if self.lock().down {
            return;
        }
        let (mut request, mut buffer) = (Vec::new(), [0; 1024]);
        while !request.windows(4).any(|part| part == b"\r\n\r\n") {
            match stream.read(&mut buffer) {
                Ok(count) if count > 0 => request.extend_from_slice(&buffer[..count]),
                _ => return,
            }
        }
        let text = String::from_utf8_lossy(&request).to_ascii_lowercase();
        let last = text.lines().find_map(|line| line.strip_prefix("last-event-id:"));
        let mut last: usize = last.and_then(|value| value.trim().parse().ok()).unwrap_or(0);
        let (turn, call) = {
            let mut state = self.lock();
            state.calls += 1;
            (state.turn, state.calls)
        };
        self.record.note(&format!("bulletin gets call {call}, which knows events to {last}"));
        std::thread::sleep(turn);
        let head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n";
        if stream.write_all(head).is_err() {
            return;
        }
        self.record.note(&format!("bulletin answers call {call}"));
        let mut commented = Instant::now();
        loop {
            let state = self.lock();
            if state.down {
                return;
            }
            let mut out = String::new();
            for (event, _) in state.events.iter().skip(last) {
                last += 1;
                out.push_str(&format!("id: {last}\ndata: {event}\n\n"));
            }
            drop(state);
            if commented.elapsed() >= Duration::from_secs(1) {
                commented = Instant::now();
                out.push_str(": here\n\n");
            }
            if !out.is_empty() && stream.write_all(out.as_bytes()).is_err() {
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}
