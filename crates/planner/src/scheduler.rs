//! The state machine that the daemon runs: the engine, with the HTTP endpoint as a second listener.

use crate::http::{self, HttpEndpoint, Progress};
use mulleinhub_engine::Engine;
use mulleinhub_event_loop::duration_from_std;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_sans_io::{CloseReason, ConnectionId, Connections, ListenerId, StateMachine};
use std::time::Instant;

/// The listener for clients.
pub(crate) const CLIENT_LISTENER: ListenerId = ListenerId(0);
/// The listener of the HTTP endpoint.
pub(crate) const HTTP_LISTENER: ListenerId = ListenerId(1);

/// The engine with its HTTP endpoint.
pub(crate) struct Scheduler {
    pub(crate) engine: Engine,
    http: HttpEndpoint,
}

impl Scheduler {
    pub(crate) fn new(engine: Engine) -> Self {
        Self { engine, http: HttpEndpoint::default() }
    }

    fn respond(&mut self, id: ConnectionId, path: &[u8]) {
        let response = http::response(path, &self.engine);
        self.engine.connections().send(id, response.as_bytes(), None);
        self.engine.connections().close(id);
    }
}

impl StateMachine for Scheduler {
    fn on_connection_accepted(&mut self, now: Timestamp, id: ConnectionId, listener: ListenerId) {
        if listener == HTTP_LISTENER {
            self.http.on_accepted(id);
        } else {
            self.engine.on_connection_accepted(now, id, listener);
        }
    }

    fn on_connected(&mut self, now: Timestamp, id: ConnectionId) {
        self.engine.on_connected(now, id);
    }

    fn on_data(&mut self, now: Timestamp, id: ConnectionId, bytes: &[u8]) {
        match self.http.on_data(id, bytes) {
            Progress::NotHttp => self.engine.on_data(now, id, bytes),
            Progress::Incomplete => {}
            Progress::TooLong => drop(self.engine.connections().abort(id)),
            Progress::Complete(path) => self.respond(id, &path),
        }
    }

    fn on_closed(&mut self, now: Timestamp, id: ConnectionId, reason: CloseReason) {
        if self.http.on_closed(id) {
            self.engine.connections().remove(id);
        } else {
            self.engine.on_closed(now, id, reason);
        }
    }

    fn poll_early(&mut self, now: Timestamp) {
        self.engine.poll_early(now);
    }

    fn is_priority(&self, id: ConnectionId) -> bool {
        self.engine.is_priority(id)
    }

    fn poll(&mut self, now: Timestamp) {
        let started_at = Instant::now();
        self.engine.poll(now);
        self.engine.on_iteration_time(now, duration_from_std(started_at.elapsed()));
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        self.engine.next_wakeup()
    }

    fn connections(&mut self) -> &mut Connections {
        self.engine.connections()
    }

    fn accept_budget(&self, listener: ListenerId) -> usize {
        if listener == HTTP_LISTENER {
            self.http.accept_budget()
        } else {
            self.engine.accept_budget(listener)
        }
    }

    fn on_unread_wait(&mut self, id: ConnectionId, waited: Duration) {
        self.engine.on_unread_wait(id, waited);
    }

    fn on_descriptors_exhausted(&mut self, now: Timestamp) {
        self.engine.on_descriptors_exhausted(now);
    }

    fn state_to_persist(&mut self) -> Option<Vec<u8>> {
        self.engine.state_to_persist()
    }
}
