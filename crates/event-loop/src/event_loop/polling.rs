//! Polls the system for events and sorts them: listeners, readable and writable connections, signals.

use super::EventLoop;
use mio::Token;
use mio::event::Event;
use mulleinhub_sans_io::{CloseReason, ConnectionId, StateMachine};
use std::collections::btree_map::Entry;
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// Token of the signal handler.
pub(super) const SIGNALS: Token = Token(usize::MAX - 1);
/// Token of the waker.
pub(super) const WAKER: Token = Token(usize::MAX - 2);
/// Lower tokens are listeners', all others are connections'.
pub(super) const FIRST_CONNECTION_TOKEN: usize = 1 << 20;
/// Events returned by one poll. After a poll with that many there are more, and they are handled before the
/// state machine is polled, too: no peer is considered silent while its bytes are here.
pub(super) const MAX_EVENTS_PER_POLL: usize = 4096;

/// After work of this length it counts when input arrived.
const LONG_WORK: Duration = Duration::from_millis(5);
/// A wait that takes so much longer than it may was followed by a stop of the process.
const MAX_LATENESS: Duration = Duration::from_millis(20);
/// Interruptions in a row after which a poll counts as one that found nothing.
const MAX_INTERRUPTIONS: usize = 16;

/// What the system reported for one token.
struct Readiness {
    token: Token,
    readable: bool,
    /// The peer closed its sending side, or the connection failed.
    read_closed: bool,
    writable: bool,
}

impl From<&Event> for Readiness {
    fn from(event: &Event) -> Self {
        Self {
            token: event.token(),
            readable: event.is_readable(),
            read_closed: event.is_read_closed() || event.is_error(),
            writable: event.is_writable(),
        }
    }
}

impl<S: StateMachine> EventLoop<S> {
    /// Waits for events, and records them. `None` waits without limit.
    ///
    /// What is found without waiting may have arrived at any time since the poll before. So after work that took
    /// its time there is a look first.
    pub(super) fn poll_once(&mut self, wait: Option<Duration>) -> std::io::Result<()> {
        self.input_since = self.last_poll_at;
        let looks_first = self.last_poll_at.elapsed() >= LONG_WORK;
        let first_wait = if looks_first { Some(Duration::ZERO) } else { wait };
        self.last_poll_at = self.wait_for_events(first_wait)?;
        if looks_first && self.events.is_empty() && wait != Some(Duration::ZERO) {
            self.last_poll_at = self.wait_for_events(wait)?;
            self.input_since = self.last_poll_at;
        }
        self.last_poll_full = self.events.iter().count() >= MAX_EVENTS_PER_POLL;
        let events: Vec<Readiness> = self.events.iter().map(Readiness::from).collect();
        for event in events {
            self.record(&event);
        }
        Ok(())
    }

    /// A wait that is interrupted looks once more for what is there, without waiting: it may have been
    /// interrupted by a stop of the process, in which much has arrived.
    ///
    /// Returns an instant at which nothing was there but what was found. A process that was stopped as it left the
    /// system call comes back late, and much may have arrived since.
    fn wait_for_events(&mut self, wait: Option<Duration>) -> std::io::Result<Instant> {
        let began_at = Instant::now();
        self.wait_through_interruptions(wait)?;
        let returned_at = Instant::now();
        let is_late = wait.is_some_and(|wait| returned_at - began_at > wait + MAX_LATENESS);
        Ok(if is_late { began_at } else { returned_at })
    }

    fn wait_through_interruptions(&mut self, wait: Option<Duration>) -> std::io::Result<()> {
        let mut wait = wait;
        for _ in 0..MAX_INTERRUPTIONS {
            self.system_calls += 1;
            match self.poll.poll(&mut self.events, wait) {
                Err(error) if error.kind() == ErrorKind::Interrupted => wait = Some(Duration::ZERO),
                done => return done,
            }
        }
        self.events.clear();
        Ok(())
    }

    fn record(&mut self, event: &Readiness) {
        match event.token {
            SIGNALS => {
                if let Some(signals) = &mut self.signals {
                    self.pending_signals.extend(signals.pending());
                }
            }
            // The poll has returned, which is all that a wake-up is for.
            WAKER => {}
            Token(at) if at < FIRST_CONNECTION_TOKEN => {
                if let Some(listener) = self.listeners.get_mut(at) {
                    listener.mark_ready(self.input_since);
                }
            }
            Token(at) => self.record_connection(ConnectionId((at - FIRST_CONNECTION_TOKEN) as u64), event),
        }
    }

    fn record_connection(&mut self, id: ConnectionId, event: &Readiness) {
        if event.writable {
            self.on_writable(id);
        }
        if event.read_closed && self.connections.get(&id).is_some_and(|connection| connection.established) {
            let now = self.now();
            self.state_machine.on_read_closed(now, id);
        }
        let has_input = event.readable || event.read_closed;
        if has_input
            && self.connections.contains_key(&id)
            && let Entry::Vacant(entry) = self.readable.entry(id)
        {
            entry.insert(self.input_since);
            self.newly_readable.push(id);
        }
    }

    /// A connection accepts bytes (again); the first time shows whether it was established.
    fn on_writable(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !connection.established {
            let error = connection.tcp.take_error().ok().flatten();
            match connection.tcp.peer_addr() {
                Ok(_) if error.is_none() => {
                    connection.established = true;
                    self.readable.entry(id).or_insert(self.input_since);
                    let now = self.now();
                    self.state_machine.on_connected(now, id);
                }
                Err(not_yet) if not_yet.kind() == ErrorKind::NotConnected && error.is_none() => return,
                _ => {
                    // Only a refusal proves that nobody listens there.
                    let refused = error.is_some_and(|error| error.kind() == ErrorKind::ConnectionRefused);
                    let reason = if refused { CloseReason::Refused } else { CloseReason::Broken };
                    return self.close_connection(id, reason);
                }
            }
        }
        self.writable.push(id);
    }
}
