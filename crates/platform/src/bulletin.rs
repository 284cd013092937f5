//! The bulletin: its connection, and the last number that was heard whole.

use mulleinhub_interface::{Span, Time};
use mulleinhub_platform_protocol::{Bad, Event, Head, Stream, event};
use mulleinhub_seam::Link;

/// A comment comes each second; so long without one is a standstill of the other side.
pub const SILENCE: Span = Span::from_nanos(2_200_000_000);
/// Between two tries, at first.
pub const AGAIN: Span = Span::from_nanos(100_000_000);
/// A connection that is not up by then is not coming.
pub const CONNECT: Span = Span::from_nanos(500_000_000);

#[derive(Debug, Default)]
pub struct Bulletin {
    pub address: String,
    pub link: Option<Link>,
    pub up: bool,
    /// When it was asked for, or last told anything.
    pub heard_at: Time,
    /// Tries that told nothing, one after another.
    pub failures: u32,
    pub last: u64,
    head: Head,
    stream: Option<Stream>,
    /// Events that were heard and not told yet.
    pub events: Vec<Event>,
}

impl Bulletin {
    pub fn new(address: String, last: u64) -> Self {
        Self { address, last, ..Self::default() }
    }

    /// A new connection begins.
    pub fn begins(&mut self, link: Link, now: Time) {
        (self.link, self.up, self.heard_at) = (Some(link), false, now);
        (self.head, self.stream) = (Head::default(), None);
    }

    pub fn call(&self) -> String {
        format!(
            "GET /bulletins HTTP/1.1\r\nHost: {}\r\nAccept: text/event-stream\r\nLast-Event-ID: {}\r\n\r\n",
            self.address, self.last
        )
    }

    /// Takes what came; numbers heard before are passed over.
    ///
    /// # Errors
    /// Where it is no stream of events. What was whole before is kept.
    pub fn take(&mut self, now: Time, bytes: &[u8]) -> Result<(), Bad> {
        self.heard_at = now;
        let behind;
        let mut bytes = bytes;
        if self.stream.is_none() {
            let Some((body, rest)) = self.head.take(bytes)? else { return Ok(()) };
            self.stream = Some(Stream::new(body));
            behind = rest;
            bytes = &behind;
        }
        let stream = self.stream.as_mut().expect("was made");
        let (last, events) = (&mut self.last, &mut self.events);
        let mut bad = None;
        let read = stream.take(bytes, |data| match event(data) {
            Ok(event) if event.no > *last => {
                *last = event.no;
                events.push(event);
            }
            Ok(_) => {}
            Err(what) => bad = Some(what),
        });
        match bad {
            Some(bad) => Err(bad),
            None => {
                self.failures = if read.is_ok() { 0 } else { self.failures };
                read
            }
        }
    }

    /// The other side has no more to tell on this connection.
    pub fn is_over(&self) -> bool {
        self.stream.as_ref().is_some_and(Stream::is_over)
    }
}
