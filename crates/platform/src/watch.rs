//! The bulletin: its connection, and the last number that was heard whole.

use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_platform_protocol::{EventStream, ListEvent, ProtocolError, ResponseHead, parse_event};
use mulleinhub_sans_io::ConnectionId;

/// A comment comes each second; so long without one is a standstill of the other side.
pub const SILENCE: Duration = Duration::from_nanos(2_200_000_000);
/// Between two tries, at first.
pub const AGAIN: Duration = Duration::from_nanos(100_000_000);
/// A connection that is not up by then is not coming.
pub const CONNECT: Duration = Duration::from_nanos(500_000_000);
/// A connection that lives for so long without a fault was no failed try: a comment comes each second.
const LIVES: Duration = Duration::from_secs(1);
/// So often an event is asked for again that can't be read. After that it is passed over, so that what
/// follows it is not lost too.
const UNREAD: u32 = 3;

#[derive(Debug, Default)]
pub struct Watch {
    pub address: String,
    pub link: Option<ConnectionId>,
    pub up: bool,
    /// When it was asked for, or last told anything.
    pub heard_at: Timestamp,
    /// Since when the present connection was asked for.
    began: Timestamp,
    /// Tries that told nothing, one after another.
    pub failures: u32,
    pub last: u64,
    /// How often what comes after `last` could not be read, and whether it was asked for again as the numbers
    /// jumped there.
    unread: u32,
    jumped: bool,
    /// Nothing was heard on this connection yet that has a number.
    first: bool,
    head: ResponseHead,
    stream: Option<EventStream>,
    /// Events that were heard and not told yet.
    pub events: Vec<ListEvent>,
}

impl Watch {
    pub fn new(address: String, last: u64) -> Self {
        Self { address, last, ..Self::default() }
    }

    /// A new connection begins.
    pub fn begins(&mut self, link: ConnectionId, now: Timestamp) {
        (self.link, self.up, self.heard_at, self.began, self.first) = (Some(link), false, now, now, true);
        (self.head, self.stream) = (ResponseHead::default(), None);
    }

    pub fn call(&self) -> String {
        format!(
            "GET /bulletins HTTP/1.1\r\nHost: {}\r\nAccept: text/event-stream\r\nLast-Event-ID: {}\r\n\r\n",
            self.address, self.last
        )
    }

    /// Takes what came; numbers heard before are passed over, but for a whole list that a connection begins
    /// with: there the numbers start anew.
    ///
    /// # Errors
    /// Where it is no stream of events, or one that leaves some out. What was whole before is kept, and
    /// nothing counts that came behind. Met: an event that could not be read was never asked for again, as
    /// good ones with later numbers followed it.
    pub fn take(&mut self, now: Timestamp, bytes: &[u8]) -> Result<(), ProtocolError> {
        self.heard_at = now;
        let behind;
        let mut bytes = bytes;
        if self.stream.is_none() {
            let Some((body, rest)) = self.head.feed(bytes)? else { return Ok(()) };
            self.stream = Some(EventStream::new(body));
            behind = rest;
            bytes = &behind;
        }
        let stream = self.stream.as_mut().expect("was made");
        let (last, events, first) = (&mut self.last, &mut self.events, &mut self.first);
        let (unread, jumped) = (&mut self.unread, &mut self.jumped);
        let (mut bad, mut told) = (None, false);
        let read = stream.feed(bytes, |data| {
            if bad.is_some() {
                return;
            }
            match parse_event(data) {
                Ok(event) => {
                    let (whole, anew) =
                        (event.change.is_snapshot, std::mem::take(first) && event.change.is_snapshot);
                    if event.sequence <= *last && !(anew && event.sequence < *last) {
                        return;
                    }
                    if event.sequence > *last + 1 && !whole && !*jumped {
                        *jumped = true;
                        bad = Some(ProtocolError(format!("number {} behind {last}", event.sequence)));
                        return;
                    }
                    (*last, *unread, *jumped, told) = (event.sequence, 0, false, true);
                    events.push(event);
                }
                // Its number with it.
                Err(_) if *unread >= UNREAD => *jumped = true,
                Err(what) => {
                    *unread += 1;
                    bad = Some(what);
                }
            }
        });
        if told || (bad.is_none() && read.is_ok() && now - self.began >= LIVES) {
            // Met: a service that answered and broke off at once was called without a pause.
            self.failures = 0;
        }
        bad.map_or(read, Err)
    }

    /// The other side has no more to tell on this connection.
    pub fn is_over(&self) -> bool {
        self.stream.as_ref().is_some_and(EventStream::is_finished)
    }
}
