//! The scheduler as the platform's state machine, without I/O.
//!
//! It receives the messages of clients, machines and the discovery service, notifies the placement policy of
//! what they mean, and carries out what the policy decides. It owns what stands between the messages and the
//! decisions: connections and what their ends prove, final answers and who is to receive them, and machines
//! that can't be reached. It makes no decision about placement, retries or rejections, and touches no
//! sockets, clocks or files: the event loop calls it from one thread, and each call of [`StateMachine::poll`]
//! is one scheduling round.

#![warn(missing_docs)]

mod adoptions;
mod attempts;
mod clients;
mod config;
mod discovery;
mod dispatcher;
mod error;
mod fault_log;
mod inbound;
mod machines;
mod recent_map;
mod recent_tasks;
mod reported_ends;
mod shutdown;
mod state;
mod status;
mod tasks;
#[cfg(test)]
mod tests;
mod timers;
mod wall_clock;

pub use config::{Config, ConfigError};
pub use status::Counts;

use dispatcher::Dispatcher;
use inbound::Peer;
use mulleinhub::PlacementPolicy;
use mulleinhub_interface::{Duration, Policy, PolicyEvents, Timestamp};
use mulleinhub_sans_io::{CloseReason, ConnectionId, Connections, ListenerId, StateMachine};
use state::{SchedulerState, SharedState};
use std::cell::RefCell;
use timers::TimerEvent;

/// A scheduler of the platform: its policy and its state.
pub struct Scheduler {
    policy: PlacementPolicy,
    state: SharedState,
    /// The first scheduling round has begun.
    started: bool,
}

impl Scheduler {
    /// A scheduler that was just started. It acts from the first [`StateMachine::poll`] on.
    pub fn new(config: Config) -> Self {
        let policy = config.settings.placement_policy(config.seed);
        Self { policy, state: RefCell::new(SchedulerState::new(config)), started: false }
    }

    /// Takes the address of the discovery service from a configuration that was read again; event numbers go
    /// on, and everything else stays as it is.
    pub fn reload(&mut self, now: Timestamp, config: Config) {
        let state = self.state.get_mut();
        state.now = state.now.max(now);
        state.move_endpoint_watch(config.discovery_address);
    }

    /// The wall clock shows this time now. It dates what the endpoint list tells in Unix time, and nothing else.
    pub fn observe_wall_clock(&mut self, now: Timestamp, unix_time: Timestamp) {
        self.state.get_mut().wall_clock.observe(now, unix_time);
    }

    /// Begins a graceful shutdown: health checks fail from now on. A second call changes nothing.
    pub fn begin_shutdown(&mut self, now: Timestamp) {
        self.state.get_mut().shutdown.request(now);
    }

    /// Whether the process may exit: no client comes any more, and every admitted task has its answer.
    pub fn is_shutdown_complete(&self, now: Timestamp) -> bool {
        self.state.borrow().is_shutdown_complete(now)
    }

    /// What was done since the start.
    pub fn counts(&self) -> Counts {
        self.state.borrow().counts
    }
}

/// One scheduling round. Its order counts: what was received is handled before any timer, so that an answer
/// that lay unread while this process was paused comes before its timeout.
fn run_round(state: &SharedState, events: &mut dyn PolicyEvents, is_first: bool) {
    if is_first {
        events.on_start();
        start(state, events);
    }
    discovery::apply_events(state, events);
    shutdown::announce(state, events);
    handle_inputs(state, events);
    // Outcomes that come up below are reported in the next round, which follows at once: the release that
    // gives an attempt up is sent by then, before the policy's next attempt of that task.
    attempts::settle_pending(state, events);
    timers::fire_due(state, events);
    clients::enforce_limits(&mut state.borrow_mut());
    // In this very round. Guards against: a connection was closed for half a message, and the policy answered
    // the task that had waited there, which was no longer held.
    clients::report_cancelled(state, events);
    state.borrow_mut().refresh_unsent_requests();
}

/// The first round: applies the endpoint list of the configuration, and connects for what changed since.
fn start(shared: &SharedState, events: &mut dyn PolicyEvents) {
    discovery::apply_initial(shared, events);
    let state = &mut *shared.borrow_mut();
    state.connect_endpoint_watch();
    state.timers.schedule(state.now + status::STATUS_INTERVAL, TimerEvent::LogStatus);
}

/// Handles every connection on which something was received, in the order of receiving.
fn handle_inputs(shared: &SharedState, events: &mut dyn PolicyEvents) {
    loop {
        let next = shared.borrow_mut().next_ready();
        let Some(connection_id) = next else { return };
        let peer = shared.borrow().peer(connection_id);
        match peer {
            Some(Peer::Client) => {
                clients::handle_input(shared, events, connection_id);
                clients::report_cancelled(shared, events);
            }
            Some(Peer::Machine) => machines::handle_input(shared, events, connection_id),
            Some(Peer::Discovery) | None => {}
        }
    }
}

impl StateMachine for Scheduler {
    fn on_connection_accepted(&mut self, now: Timestamp, connection_id: ConnectionId, _: ListenerId) {
        self.state.get_mut().on_accepted_client(now, connection_id);
    }

    fn on_connected(&mut self, now: Timestamp, connection_id: ConnectionId) {
        self.state.get_mut().on_connected(now, connection_id);
    }

    fn on_data(&mut self, now: Timestamp, connection_id: ConnectionId, bytes: &[u8]) {
        self.state.get_mut().on_data(now, connection_id, bytes);
    }

    fn on_read_closed(&mut self, now: Timestamp, connection_id: ConnectionId) {
        self.state.get_mut().on_read_closed(now, connection_id);
    }

    fn on_closed(&mut self, now: Timestamp, connection_id: ConnectionId, reason: CloseReason) {
        self.state.get_mut().on_closed(now, connection_id, reason);
    }

    fn poll(&mut self, now: Timestamp) {
        let Self { policy, state, started } = self;
        state.get_mut().begin_iteration(now);
        let is_first = !std::mem::replace(started, true);
        let shared = &*state;
        Policy::round(policy, now, &mut Dispatcher(shared), &mut |events| {
            run_round(shared, events, is_first);
        });
        self.state.get_mut().end_iteration();
    }

    fn is_priority(&self, connection_id: ConnectionId) -> bool {
        !matches!(self.state.borrow().peer(connection_id), Some(Peer::Client) | None)
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        if self.started { self.state.borrow().next_wakeup() } else { Some(Timestamp::default()) }
    }

    fn connections(&mut self) -> &mut Connections {
        &mut self.state.get_mut().connections
    }

    fn accept_budget(&self, _: ListenerId) -> usize {
        self.state.borrow().accept_budget()
    }

    fn on_backlog_wait(&mut self, _: ListenerId, waited: Duration) {
        self.state.get_mut().clients.backlog_wait = waited;
    }

    fn on_unread_wait(&mut self, connection_id: ConnectionId, waited: Duration) {
        let state = self.state.get_mut();
        if let Some(connection) = state.machines.connections.get_mut(&connection_id) {
            connection.unread_wait = connection.unread_wait.max(waited);
        } else {
            state.clients.unread_wait = waited;
        }
    }

    fn read_limit(&self, connection_id: ConnectionId) -> usize {
        self.state.borrow().read_limit(connection_id)
    }

    fn on_descriptors_exhausted(&mut self, now: Timestamp) {
        let state = self.state.get_mut();
        state.now = state.now.max(now);
        for connection in state.clients.limits.on_descriptors_exhausted(now) {
            state.request_eviction(ConnectionId(connection));
        }
    }
}
