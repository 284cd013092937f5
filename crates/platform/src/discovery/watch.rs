//! The stream of endpoint events: its connection, and the number of the last event that was received.

use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_platform_protocol::{EventStream, ListEvent, ProtocolError, ResponseHead, parse_event};
use mulleinhub_sans_io::ConnectionId;

/// The service sends a comment each second; silence for this long is a fault of the other side.
pub const SILENCE_TIMEOUT: Duration = Duration::from_nanos(2_200_000_000);
/// A connection that lives this long without a fault was no failure: the service sends a comment each second.
const STABLE_AFTER: Duration = Duration::from_secs(1);
/// An event that can't be read is requested again this often. After that it is skipped, so that what follows
/// it is not lost too.
const MAX_UNREADABLE: u32 = 3;

/// The watch on the endpoint list. In memory only: after a restart it goes on from the number in the
/// configuration.
#[derive(Debug, Default)]
pub struct EndpointWatch {
    /// Address and port of the discovery service.
    pub address: String,
    /// The connection to it, if there is one.
    pub connection: Option<ConnectionId>,
    /// The connection is established.
    pub established: bool,
    /// When the connection was asked for, or bytes were last received.
    pub last_received_at: Timestamp,
    connecting_since: Timestamp,
    /// Connections in a row that brought nothing.
    pub failures: u32,
    /// Number of the last event that was received.
    pub last_event: u64,
    /// How often the event after `last_event` could not be read.
    unreadable: u32,
    /// That event was requested again as the numbers left a gap there, or it is to be skipped.
    accepts_gap: bool,
    /// No event was received on this connection yet.
    awaits_first: bool,
    head: ResponseHead,
    stream: Option<EventStream>,
    /// Events that were received and not applied yet.
    pub events: Vec<ListEvent>,
}

impl EndpointWatch {
    /// A watch that goes on after this event.
    pub fn new(address: String, last_event: u64) -> Self {
        Self { address, last_event, ..Self::default() }
    }

    /// A new connection begins.
    pub fn begin(&mut self, connection_id: ConnectionId, now: Timestamp) {
        self.connection = Some(connection_id);
        self.established = false;
        (self.last_received_at, self.connecting_since) = (now, now);
        self.awaits_first = true;
        (self.head, self.stream) = (ResponseHead::default(), None);
    }

    /// The connection is established; returns the request to send.
    pub fn on_connected(&mut self, now: Timestamp) -> String {
        self.established = true;
        self.last_received_at = now;
        format!(
            "GET /bulletins HTTP/1.1\r\nHost: {}\r\nAccept: text/event-stream\r\nLast-Event-ID: {}\r\n\r\n",
            self.address, self.last_event
        )
    }

    /// Receives bytes of the stream. Events received before are skipped, except a whole list with which a
    /// connection begins: there the numbers start again.
    ///
    /// # Errors
    /// Where it is no stream of events, or one that leaves some out. The events before that are kept, and
    /// those behind it don't count. Guards against: an event that could not be read was never requested
    /// again, as good ones with later numbers followed it.
    pub fn receive(&mut self, now: Timestamp, bytes: &[u8]) -> Result<(), ProtocolError> {
        self.last_received_at = now;
        let body_start;
        let mut body = bytes;
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => {
                let Some((framing, rest)) = self.head.feed(bytes)? else { return Ok(()) };
                body_start = rest;
                body = &body_start;
                EventStream::new(framing)
            }
        };
        let mut received_any = false;
        let mut event_error = None;
        let stream_result = stream.feed(body, |data| {
            if event_error.is_none() {
                match self.receive_event(data) {
                    Ok(is_new) => received_any |= is_new,
                    Err(error) => event_error = Some(error),
                }
            }
        });
        self.stream = Some(stream);
        let result = event_error.map_or(stream_result, Err);
        if received_any || (result.is_ok() && now - self.connecting_since >= STABLE_AFTER) {
            // Guards against: a service that answered and closed at once was called without a pause.
            self.failures = 0;
        }
        result
    }

    /// Receives one event; true where it is new.
    fn receive_event(&mut self, data: &str) -> Result<bool, ProtocolError> {
        let event = match parse_event(data) {
            Ok(event) => event,
            Err(_) if self.unreadable >= MAX_UNREADABLE => {
                // Its number is skipped with it.
                self.accepts_gap = true;
                return Ok(false);
            }
            Err(error) => {
                self.unreadable += 1;
                return Err(error);
            }
        };
        let is_whole = event.change.is_snapshot;
        let restarts_numbers = std::mem::take(&mut self.awaits_first) && is_whole;
        if event.sequence <= self.last_event && !(restarts_numbers && event.sequence < self.last_event) {
            return Ok(false);
        }
        if event.sequence > self.last_event + 1 && !is_whole && !self.accepts_gap {
            self.accepts_gap = true;
            return Err(ProtocolError(format!("number {} behind {}", event.sequence, self.last_event)));
        }
        self.last_event = event.sequence;
        (self.unreadable, self.accepts_gap) = (0, false);
        self.events.push(event);
        Ok(true)
    }

    /// Whether it is connected: what the service tells comes in time.
    pub fn is_established(&self) -> bool {
        self.connection.is_some() && self.established
    }

    /// The other side has nothing more to send on this connection.
    pub fn is_over(&self) -> bool {
        self.stream.as_ref().is_some_and(EventStream::is_finished)
    }
}
