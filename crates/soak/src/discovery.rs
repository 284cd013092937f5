//! The discovery service: a stream of endpoint events for each scheduler.

use crate::addresses::{Role, address_of};
use crate::connection::Connection;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

const COMMENT_INTERVAL: Duration = Duration::from_millis(500);
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// One open stream.
struct Watch {
    connection: Connection,
    /// The number of its next event, once its request was read.
    next: Option<usize>,
    silent: bool,
    commented_at: Instant,
}

/// The service. Event numbers count from 1.
pub struct Discovery {
    listener: TcpListener,
    /// Where it listens.
    pub address: SocketAddr,
    /// The events so far; each is a list of entries.
    events: Vec<Vec<String>>,
    watches: Vec<Watch>,
    /// When streams last stopped telling.
    pub disturbed_at: Option<Instant>,
}

/// One entry of the list.
pub fn list_entry(uid: &str, at: SocketAddr, state: &str, boot_ms: u64) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{at}","az":"hall","model":"big","pod_group":0,"state":"{state}","boot_ms":{boot_ms},"room":[32.0,64.0]}}"#
    )
}

/// An event as JSON.
pub fn list_event(number: usize, is_snapshot: bool, entries: &[String]) -> String {
    format!(
        r#"{{"no":{number},"roster":{{"rev":{number},"all":{is_snapshot},"targets":[{}]}}}}"#,
        entries.join(",")
    )
}

impl Discovery {
    /// A service whose first event has these entries.
    pub fn new(first: Vec<String>) -> std::io::Result<Self> {
        let listener = TcpListener::bind((address_of(Role::Discovery, 0), 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address, events: vec![first], watches: Vec::new(), disturbed_at: None })
    }

    /// All events so far, as a configuration states them.
    pub fn known_events(&self) -> String {
        let events: Vec<String> =
            (1..).zip(&self.events).map(|(n, event)| list_event(n, n == 1, event)).collect();
        format!(r#"{{"no":{},"items":[{}]}}"#, events.len(), events.join(","))
    }

    /// Tells of a change.
    pub fn publish(&mut self, entries: Vec<String>) {
        self.events.push(entries);
    }

    /// Open streams stay open and tell nothing more.
    pub fn fall_silent(&mut self, now: Instant) {
        self.watches.iter_mut().for_each(|watch| watch.silent = true);
        self.disturbed_at = Some(now);
    }

    /// Open streams are closed.
    pub fn close_all(&mut self, now: Instant) {
        self.watches.clear();
        self.disturbed_at = Some(now);
    }

    /// Serves all streams.
    pub fn step(&mut self, now: Instant) {
        while let Some(connection) = Connection::accept(&self.listener) {
            self.watches.push(Watch { connection, next: None, silent: false, commented_at: now });
        }
        self.watches.retain(|watch| !watch.connection.closed);
        for watch in self.watches.iter_mut().filter(|watch| !watch.silent) {
            watch.connection.read(true);
            let Some(next) = watch.next.or_else(|| last_event_id(&watch.connection.text)) else { continue };
            if watch.next.is_none() {
                watch.connection.send(HEAD);
            }
            for (at, event) in self.events.iter().enumerate().skip(next) {
                let text = format!("id: {0}\ndata: {1}\n\n", at + 1, list_event(at + 1, at == 0, event));
                watch.connection.send(text.as_bytes());
            }
            watch.next = Some(self.events.len());
            if now - watch.commented_at >= COMMENT_INTERVAL {
                watch.commented_at = now;
                watch.connection.send(b": \n\n");
            }
            watch.connection.flush();
        }
    }
}

/// The last event that a watch knows, once its request is complete.
fn last_event_id(request: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(request).ok().filter(|text| text.ends_with("\r\n\r\n"))?;
    text.split("Last-Event-ID: ").nth(1)?.split("\r\n").next()?.parse().ok()
}
