//! The scheduler as a state machine without I/O.

use crate::counters::{Counts, Latencies};
use crate::dispatcher::Dispatcher;
use crate::handlers;
use crate::settings::Settings;
use crate::state::{NotReady, SchedulerState, instance_seed};
use crate::timer::Timer;
use mulleinhub::PlacementPolicy;
use mulleinhub_interface::{Duration, Policy, PolicyEvents, PolicySettings, Quota, Timestamp};
use mulleinhub_limits::DisconnectReason;
use mulleinhub_sans_io::{CloseReason, ConnectionId, Connections, ListenerId, StateMachine};
use std::cell::RefCell;

/// One scheduler.
pub struct Engine {
    policy: Box<dyn Policy>,
    /// Shared with the dispatcher within a scheduling round: see [`Dispatcher`].
    pub(crate) state: RefCell<SchedulerState>,
    /// The first iteration is over.
    started: bool,
    /// The endpoint list that the last incarnation persisted, until the first iteration.
    cached_list: Option<Vec<u8>>,
}

impl Engine {
    /// A scheduler with the placement policy. `incarnation` is another number at each start; `cached_list` is
    /// what the last incarnation persisted, if it persisted anything.
    pub fn new(settings: Settings, incarnation: u64, cached_list: Option<Vec<u8>>) -> Self {
        let policy = PlacementPolicy::new(
            instance_seed(&settings, incarnation),
            PolicySettings {
                use_cases: settings.use_cases.clone(),
                machine_kinds: settings.machine_kinds.clone(),
                acceptance: settings.acceptance,
                slow_start: settings.slow_start,
                discovery: settings.discovery,
                locality: settings.locality,
            },
        );
        Self::with_policy(Box::new(policy), settings, incarnation, cached_list)
    }

    /// A scheduler with another policy: baselines, for comparison only.
    pub fn with_policy(
        policy: Box<dyn Policy>,
        settings: Settings,
        incarnation: u64,
        cached_list: Option<Vec<u8>>,
    ) -> Self {
        let state = RefCell::new(SchedulerState::new(settings, incarnation));
        Self { policy, state, started: false, cached_list }
    }

    /// The same scheduler, with somebody who counts what tenants use.
    #[must_use]
    pub fn with_quota(mut self, quota: Box<dyn Quota>) -> Self {
        self.state.get_mut().quota = Some(quota);
        self
    }

    /// Counters since the start, and gauges of this moment.
    pub fn counts(&self) -> Counts {
        self.state.borrow().counts()
    }

    /// The latencies of tasks since the start.
    pub fn latencies(&self) -> Latencies {
        self.state.borrow().latencies.clone()
    }

    /// The status, in lines for the operators.
    pub fn status(&self) -> String {
        handlers::status(&self.state.borrow())
    }

    /// Why this scheduler is not to be given tasks now; none where it is ready for them.
    pub fn not_ready(&self) -> Option<NotReady> {
        self.state.borrow().not_ready()
    }

    /// Accepts nothing new from now on. The scheduler is idle once all open tasks have their final answer.
    pub fn begin_shutdown(&mut self) {
        self.state.borrow_mut().shutting_down = true;
    }

    /// Takes over the settings that may change in service; gives back the directives of others that differ,
    /// which wait for the next start.
    pub fn reload(&mut self, new: &Settings) -> Vec<&'static str> {
        let state = self.state.get_mut();
        let settings = &mut state.settings;
        settings.reconnect_backoff = new.reconnect_backoff;
        settings.lost_after = new.lost_after;
        settings.ping_timeout = new.ping_timeout;
        settings.answer_retention = new.answer_retention;
        settings.startup_grace = new.startup_grace;
        settings.client_limits = new.client_limits.clone();
        settings.max_open_tasks = new.max_open_tasks;
        settings.max_unsent_bytes = new.max_unsent_bytes;
        state.clients.limits.update_settings(new.client_limits.clone());
        state.clients.admission.set_capacity(new.max_open_tasks);
        fixed_directives(&state.settings, new)
    }

    /// Clients' connections that were closed or refused by limits, by reason.
    pub fn closed_clients(&self) -> Vec<(&'static str, u64)> {
        let closed = &self.state.borrow().clients.limits.disconnects;
        DisconnectReason::ALL
            .into_iter()
            .map(|why| (why.metric_key(), closed.get(&why).copied().unwrap_or(0)))
            .collect()
    }

    /// Bytes of all buffers that are held for connections, spare ones included.
    pub fn buffered_bytes(&self) -> usize {
        let state = self.state.borrow();
        let partial: usize = state.peers.values().map(|peer| peer.frames.owned()).sum();
        state.connections.buffer_capacity() + state.spare_buffers.held() + partial
    }

    /// How long the last iteration took, from whoever has a clock: where iterations take long, fewer
    /// connections are allowed.
    pub fn on_iteration_time(&mut self, now: Timestamp, took: Duration) {
        self.state.get_mut().clients.limits.record_iteration_time(now, took);
    }

    /// How many descriptors this process may have: clients get what machines and the endpoint list leave.
    pub fn set_descriptor_limit(&mut self, limit: usize) {
        self.state.get_mut().clients.limits.set_descriptor_limit(limit);
    }

    /// Clients' connections that are open, and deadlines that are held for them.
    pub fn open_clients(&self) -> (usize, usize) {
        let state = self.state.borrow();
        (state.clients.limits.len(), state.clients.limits.timer_entries())
    }

    /// Nothing waits to be sent to clients.
    pub fn is_flushed(&self) -> bool {
        let state = self.state.borrow();
        state.clients.newest.values().all(|connection| state.connections.pending_bytes(*connection) == 0)
    }

    /// Every task that was accepted has its final answer.
    pub fn is_idle(&self) -> bool {
        self.state.borrow().clients.admission.in_flight() == 0
    }
}

/// The directives of a settings file that differ and can't change in service.
fn fixed_directives(old: &Settings, new: &Settings) -> Vec<&'static str> {
    let differs = [
        ("name", old.name != new.name),
        ("seed", old.seed != new.seed),
        ("list", old.endpoint_list_address != new.endpoint_list_address),
        ("kind", old.machine_kinds != new.machine_kinds),
        ("use-case", format!("{:?}", old.use_cases) != format!("{:?}", new.use_cases)),
        ("taking", format!("{:?}", old.acceptance) != format!("{:?}", new.acceptance)),
        ("rules", format!("{:?}", old.slow_start) != format!("{:?}", new.slow_start)),
        ("prices", format!("{:?}", old.locality) != format!("{:?}", new.locality)),
    ];
    differs.into_iter().filter(|(_, differs)| *differs).map(|(directive, _)| directive).collect()
}

/// One scheduling round's part outside the policy: handles what has arrived and expired.
fn handle_events(state: &RefCell<SchedulerState>, events: &mut dyn PolicyEvents) {
    handlers::handle_arrivals(state, events);
    // Timers only now: an answer that waited while this process was paused came before its timeout.
    let mark = state.borrow().timers.last_sequence();
    loop {
        let due = state.borrow_mut().next_due_timer(mark);
        match due {
            Some(Timer::Policy(token)) => events.on_timer(token),
            Some(Timer::AttemptTimeout(attempt)) => handlers::on_attempt_timeout(state, events, attempt),
            Some(other) => handlers::on_timer(state, events, other),
            None => break,
        }
    }
    handlers::handle_outcomes(state, events);
    state.borrow_mut().enforce_client_deadlines();
}

impl StateMachine for Engine {
    fn on_connection_accepted(&mut self, now: Timestamp, connection: ConnectionId, _: ListenerId) {
        self.state.get_mut().on_client_connected(now, connection);
    }

    fn on_connected(&mut self, now: Timestamp, connection: ConnectionId) {
        self.state.get_mut().on_connected(now, connection);
    }

    fn on_data(&mut self, now: Timestamp, connection: ConnectionId, bytes: &[u8]) {
        self.state.get_mut().on_data(now, connection, bytes);
    }

    fn on_closed(&mut self, _: Timestamp, connection: ConnectionId, reason: CloseReason) {
        self.state.get_mut().on_closed(connection, reason);
    }

    fn poll_early(&mut self, now: Timestamp) {
        let Self { policy, state, started, .. } = self;
        if !*started || !state.get_mut().begin_early_iteration(now) {
            return;
        }
        let shared = &*state;
        policy.round(now, &mut Dispatcher(shared), &mut |events| {
            handlers::handle_arrivals(shared, events);
            handlers::handle_outcomes(shared, events);
        });
        state.get_mut().abort_stuck_connections();
    }

    fn is_priority(&self, connection: ConnectionId) -> bool {
        self.state.borrow().is_priority(connection)
    }

    fn poll(&mut self, now: Timestamp) {
        let Self { policy, state, started, cached_list } = self;
        state.get_mut().begin_iteration(now);
        let is_first = !std::mem::replace(started, true);
        if !is_first && !state.get_mut().has_work() {
            // Seen: an iteration without work promised no next one, and a pause after it went unnoticed.
            return state.get_mut().end_iteration();
        }
        let shared = &*state;
        policy.round(now, &mut Dispatcher(shared), &mut |events| {
            if is_first {
                events.on_start();
                handlers::start(shared, events, cached_list.take());
            }
            handle_events(shared, events);
        });
        state.get_mut().abort_stuck_connections();
        state.get_mut().end_iteration();
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        if self.started { self.state.borrow().next_wakeup() } else { Some(Timestamp::default()) }
    }

    fn connections(&mut self) -> &mut Connections {
        &mut self.state.get_mut().connections
    }

    fn accept_budget(&self, _: ListenerId) -> usize {
        self.state.borrow().clients.limits.accept_budget()
    }

    fn on_unread_wait(&mut self, connection: ConnectionId, waited: Duration) {
        self.state.get_mut().on_unread_wait(connection, waited);
    }

    fn on_descriptors_exhausted(&mut self, now: Timestamp) {
        self.state.get_mut().on_descriptors_exhausted(now);
    }

    fn state_to_persist(&mut self) -> Option<Vec<u8>> {
        self.state.get_mut().list_to_persist()
    }
}
