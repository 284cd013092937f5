//! Listeners and accepting connections, also when the process runs out of descriptors.

use super::EventLoop;
use super::connection::Connection;
use crate::clock::duration_from_std;
use mio::net::{TcpListener, TcpStream};
use mulleinhub_sans_io::{ListenerId, StateMachine};
use rustix::io::Errno;
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// Pause after accepting failed, most likely for lack of descriptors: an immediate retry would spin.
pub(super) const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Accepts in a row that may fail for one connection or be interrupted before all else has its turn.
const MAX_FAILURES: usize = 16;
/// Minimum time between two log lines about failed accepts of one listener.
const ACCEPT_ERROR_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// One listening socket.
pub(super) struct Listener {
    tcp: TcpListener,
    pub(super) id: ListenerId,
    /// Connections may be queued.
    pub(super) ready: bool,
    /// Since when the backlog may hold connections that could not be accepted.
    waiting_since: Option<Instant>,
    pub(super) paused_until: Option<Instant>,
    error_logged_at: Option<Instant>,
}

impl Listener {
    pub(super) fn new(tcp: TcpListener, id: ListenerId) -> Self {
        Self { tcp, id, ready: false, waiting_since: None, paused_until: None, error_logged_at: None }
    }

    /// Connections may be queued, since then if not before.
    pub(super) fn mark_ready(&mut self, since: Instant) {
        self.ready = true;
        self.waiting_since.get_or_insert(since);
    }

    fn resume_if_due(&mut self) {
        if self.paused_until.is_some_and(|until| Instant::now() >= until) {
            (self.paused_until, self.ready) = (None, true);
        }
    }

    fn pause_after(&mut self, error: &std::io::Error) {
        let now = Instant::now();
        if self.error_logged_at.is_none_or(|at| now - at >= ACCEPT_ERROR_LOG_INTERVAL) {
            self.error_logged_at = Some(now);
            tracing::error!(%error, "connections can't be accepted");
        }
        self.waiting_since.get_or_insert(now);
        (self.ready, self.paused_until) = (false, Some(now + ACCEPT_PAUSE));
    }
}

/// Whether an accept failed for the connection that it would have returned, or was interrupted: the next one may
/// be there. Linux passes errors that are pending on the new socket on (accept(2)).
fn concerns_one_connection(error: &std::io::Error) -> bool {
    const CONNECTION_ERRORS: [Errno; 9] = [
        Errno::CONNABORTED,
        Errno::PROTO,
        Errno::NOPROTOOPT,
        Errno::OPNOTSUPP,
        Errno::NETDOWN,
        Errno::NETUNREACH,
        Errno::HOSTDOWN,
        Errno::HOSTUNREACH,
        Errno::NONET,
    ];
    let errno = Errno::from_io_error(error);
    error.kind() == ErrorKind::Interrupted || errno.is_some_and(|errno| CONNECTION_ERRORS.contains(&errno))
}

impl<S: StateMachine> EventLoop<S> {
    /// Accepts connections on all listeners, as many as the state machine's budget allows.
    pub(super) fn accept_all(&mut self) {
        for at in 0..self.listeners.len() {
            self.listeners[at].resume_if_due();
            let calls_before = self.system_calls;
            let mut failures = 0;
            while self.listeners[at].ready
                && failures < MAX_FAILURES
                && self.state_machine.accept_budget(self.listeners[at].id) > 0
            {
                failures = if self.accept_one(at) { 0 } else { failures + 1 };
            }
            if self.listeners[at].ready && self.system_calls > calls_before {
                // What is left over is accepted with the next batch. Under a steady storm the backlog is never
                // empty, and nothing in it waits for as long as that.
                self.listeners[at].waiting_since = Some(Instant::now());
            }
        }
    }

    /// Returns whether a connection was accepted.
    fn accept_one(&mut self, at: usize) -> bool {
        self.system_calls += 1;
        let listener = &mut self.listeners[at];
        match listener.tcp.accept() {
            Ok((tcp, _)) => {
                let (id, waited) =
                    (listener.id, listener.waiting_since.map_or(Duration::ZERO, |at| at.elapsed()));
                self.state_machine.on_backlog_wait(id, duration_from_std(waited));
                self.add_accepted(tcp, id);
                return true;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                (listener.ready, listener.waiting_since) = (false, None);
            }
            Err(error) if concerns_one_connection(&error) => {}
            Err(error) => {
                listener.pause_after(&error);
                // Where the system lacks a resource, connections of this process that it closes don't help.
                if Errno::from_io_error(&error) == Some(Errno::MFILE) {
                    let now = self.now();
                    self.state_machine.on_descriptors_exhausted(now);
                    // Connections that the state machine evicted get their reason and release their descriptors.
                    self.execute_commands();
                }
            }
        }
        false
    }

    fn add_accepted(&mut self, tcp: TcpStream, listener: ListenerId) {
        if !self.state_machine.is_listening(listener) {
            return;
        }
        let now = self.now();
        let id = self.state_machine.connections().register();
        if self.add_connection(id, Connection::accepted(tcp)) {
            self.state_machine.on_connection_accepted(now, id, listener);
        } else {
            self.state_machine.connections().discard(id);
        }
    }
}
