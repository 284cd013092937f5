//! The table of client connections: which are accepted, evicted, identified and removed.

use crate::connection::{Connection, NEVER};
use crate::descriptor_budget::reserved_descriptors;
use crate::input_queues::InputQueues;
use crate::name_usage::{NameUsage, tenant_of};
use crate::unidentified::Unidentified;
use crate::{AcceptRate, AdaptiveLimit, DisconnectReason, Settings, TimerWheel};
use mulleinhub_interface::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Frames of one connection that are processed in one iteration; the rest is queued with the input of others.
/// Seen: a client that sent requests for a thousand tasks in one write delayed the requests of all others.
const MAX_FRAMES_PER_ITERATION: usize = 64;
/// With more unprocessed bytes of one connection than this, reading from it is paused.
const MAX_UNPROCESSED_BYTES: usize = 64 * 1024;
/// Connections evicted at once where descriptors are exhausted all the same: other code in this process has
/// opened them.
const EVICTED_ON_EXHAUSTION: usize = 16;

/// The eviction order of idle connections: those not known to be legitimate first, then the longest silent
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IdleKey {
    legitimate: bool,
    last_activity: Timestamp,
    id: u64,
}

impl IdleKey {
    fn of(id: u64, connection: &Connection) -> Self {
        Self { legitimate: connection.legitimate, last_activity: connection.last_activity, id }
    }
}

/// All client connections, by a number that the caller gives each of them.
#[derive(Debug)]
pub struct ConnectionLimits {
    pub(crate) settings: Settings,
    pub(crate) connections: BTreeMap<u64, Box<Connection>>,
    usage: NameUsage,
    /// Connections without a task in flight.
    idle: BTreeSet<IdleKey>,
    unidentified: Unidentified,
    pub(crate) wheel: TimerWheel,
    adaptive_limit: AdaptiveLimit,
    accept_rate: AcceptRate,
    /// Descriptors that this process may open.
    descriptor_limit: usize,
    /// Connections to machines, each of which needs a descriptor.
    machine_connections: usize,
    iteration: u64,
    accepted_in_iteration: usize,
    /// When this process last continued after a pause.
    pub(crate) resumed_at: Timestamp,
    queues: InputQueues,
    /// How many connections were closed or rejected, by reason.
    pub disconnects: BTreeMap<DisconnectReason, u64>,
}

impl ConnectionLimits {
    /// An empty table; descriptors are unlimited until `set_descriptor_limit`.
    pub fn new(settings: Settings) -> Self {
        let adaptive_limit = AdaptiveLimit::new(settings.max_connections);
        let accept_rate = AcceptRate::new(settings.max_accepts_per_iteration);
        let mut limits = Self {
            settings,
            connections: BTreeMap::new(),
            usage: NameUsage::default(),
            idle: BTreeSet::new(),
            unidentified: Unidentified::default(),
            wheel: TimerWheel::default(),
            adaptive_limit,
            accept_rate,
            descriptor_limit: usize::MAX,
            machine_connections: 0,
            iteration: 0,
            accepted_in_iteration: 0,
            resumed_at: Timestamp::default(),
            queues: InputQueues::default(),
            disconnects: BTreeMap::new(),
        };
        limits.begin_iteration(0);
        limits
    }

    /// Open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Replaces the settings. The adaptive limit and the accept rate are kept, unless the setting that they
    /// derive from has changed.
    pub fn update_settings(&mut self, settings: Settings) {
        if settings.max_connections != self.settings.max_connections {
            self.adaptive_limit = AdaptiveLimit::new(settings.max_connections);
        }
        if settings.max_accepts_per_iteration != self.settings.max_accepts_per_iteration {
            self.accept_rate = AcceptRate::new(settings.max_accepts_per_iteration);
        }
        self.settings = settings;
    }

    /// Sets how many descriptors this process may open in all.
    pub fn set_descriptor_limit(&mut self, max: usize) {
        self.descriptor_limit = max;
    }

    /// Connections allowed at present: by the settings, by the load, and by the descriptors that machines and
    /// the endpoint list leave.
    pub fn current_limit(&self) -> usize {
        let reserved = reserved_descriptors(self.descriptor_limit) + self.machine_connections;
        let descriptors = self.descriptor_limit.saturating_sub(reserved).max(1);
        self.adaptive_limit.current().min(descriptors)
    }

    /// Starts an event-loop iteration, with this many connections to machines wanted.
    pub fn begin_iteration(&mut self, machine_connections: usize) {
        self.iteration += 1;
        (self.accepted_in_iteration, self.machine_connections) = (0, machine_connections);
        self.queues.begin_iteration(self.settings.max_queued_per_iteration);
    }

    /// This process was paused until now. Pinged connections get their whole timeout again: the ping may not
    /// have been written before the pause.
    pub fn on_process_resumed(&mut self, now: Timestamp) {
        self.resumed_at = now;
    }

    /// Records how long an iteration took.
    pub fn record_iteration_time(&mut self, now: Timestamp, took: Duration) {
        let open = self.len();
        self.adaptive_limit.record_iteration_time(now, took, open);
        self.accept_rate.record_iteration_time(took);
    }

    /// How many more connections are accepted in this iteration; the others wait in the kernel's backlog,
    /// where they cost nothing.
    pub fn accept_budget(&self) -> usize {
        self.accept_rate.current().saturating_sub(self.accepted_in_iteration)
    }

    /// Until when nothing is to be accepted: all places of unidentified connections are taken by such as are
    /// still within their grace period.
    pub fn accept_paused_until(&self) -> Option<Timestamp> {
        self.unidentified_to_evict().map(|(opened_at, _)| opened_at + self.settings.eviction_grace)
    }

    fn unidentified_to_evict(&self) -> Option<(Timestamp, u64)> {
        let has_free_places = self.connections.len() < self.current_limit();
        self.unidentified.to_evict(self.settings.max_unidentified, has_free_places)
    }

    /// How many frames of one connection are processed in one iteration.
    pub fn max_frames_per_iteration(&self) -> usize {
        MAX_FRAMES_PER_ITERATION
    }

    /// Whether reading from a connection is to be paused that has this many unprocessed bytes.
    pub fn should_pause_reading(&self, unprocessed: usize) -> bool {
        unprocessed > MAX_UNPROCESSED_BYTES
    }

    /// Admits a connection that was just opened. Returns the connection that is evicted for it, if any; the
    /// caller closes that one.
    ///
    /// # Errors
    /// Why the new connection is rejected.
    pub fn accept(&mut self, now: Timestamp, id: u64) -> Result<Option<u64>, DisconnectReason> {
        self.accepted_in_iteration += 1;
        // Guards against clients that connect and never send a greeting: they took the places of identified
        // ones.
        let mut evicted = self.unidentified_to_evict().map(|(_, evicted)| evicted);
        if evicted.is_none() && self.connections.len() >= self.current_limit() {
            let grace = self.settings.eviction_grace;
            let longest_idle = self.idle.first().filter(|idle| idle.last_activity + grace <= now);
            let Some(longest_idle) = longest_idle else {
                return Err(self.count_disconnect(DisconnectReason::ConnectionLimit));
            };
            evicted = Some(longest_idle.id);
        }
        if let Some(evicted) = evicted {
            self.remove(evicted);
            self.count_disconnect(DisconnectReason::Evicted);
        }
        self.insert(now, id);
        Ok(evicted)
    }

    fn insert(&mut self, now: Timestamp, id: u64) {
        let deadline = now + self.settings.greeting_timeout;
        let connection = Connection::new(now, deadline);
        self.idle.insert(IdleKey::of(id, &connection));
        self.connections.insert(id, Box::new(connection));
        self.unidentified.insert((now, id));
        self.wheel.insert(now, deadline, id);
    }

    /// Takes back an evicted connection that sent something before it was closed; no effect on one that is
    /// still in the table.
    pub fn readmit(&mut self, now: Timestamp, id: u64) {
        if !self.connections.contains_key(&id) {
            self.insert(now, id);
        }
    }

    /// The client on this connection has sent its name.
    ///
    /// # Errors
    /// The limit of its name or its tenant that is reached; the connection is removed.
    pub fn identify(&mut self, id: u64, name: &Arc<str>) -> Result<(), DisconnectReason> {
        let Some(connection) = self.connections.get_mut(&id) else { return Ok(()) };
        if connection.name.is_some() {
            return Ok(());
        }
        if let Some(reason) = self.usage.exceeded_limit(name, &self.settings) {
            self.remove(id);
            return Err(self.count_disconnect(reason));
        }
        self.unidentified.remove((connection.opened_at, id));
        connection.name = Some(name.clone());
        self.usage.add(name);
        Ok(())
    }

    /// Bytes have arrived.
    pub fn record_activity(&mut self, now: Timestamp, id: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if now - connection.last_activity > self.settings.steady_period {
            connection.steady_since = now;
        }
        if connection.tasks_in_flight == 0 && now != connection.last_activity {
            let key = IdleKey::of(id, connection);
            self.idle.remove(&key);
            self.idle.insert(IdleKey { last_activity: now, ..key });
        }
        (connection.last_activity, connection.pinged_at) = (now, NEVER);
    }

    /// All input was processed; `is_partial` where the start of a frame is left. The rest of the frame must
    /// arrive in time, however slowly single bytes of it come. Where a whole frame was processed before it,
    /// call `frame_completed` first.
    pub fn set_partial_frame(&mut self, now: Timestamp, id: u64, is_partial: bool) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.partial_since = if is_partial { connection.partial_since.min(now) } else { NEVER };
        self.set_greeting(id, is_partial);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        // Its wheel entry stays, unless the new deadline is earlier.
        let deadline = connection.deadline(id, &self.settings, self.resumed_at);
        if deadline < connection.wheel_entry {
            connection.wheel_entry = deadline;
            self.wheel.insert(now, deadline, id);
        }
    }

    /// A whole frame was processed: what is left belongs to the next one, whose timeout starts anew. Seen:
    /// successive reads that each ended within a frame were taken for one slow frame.
    pub fn frame_completed(&mut self, id: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.partial_since = NEVER;
        }
    }

    /// Records whether any part of the greeting of an unidentified connection has arrived.
    fn set_greeting(&mut self, id: u64, has_started: bool) {
        let unidentified = self.connections.get(&id).filter(|connection| connection.name.is_none());
        if let Some(connection) = unidentified {
            self.unidentified.set_greeting((connection.opened_at, id), has_started);
        }
    }

    /// Sets how many tasks the client on this connection has in flight.
    pub fn set_tasks_in_flight(&mut self, id: u64, tasks: u32) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let key = IdleKey::of(id, connection);
        match (connection.tasks_in_flight, tasks) {
            (0, 1..) => drop(self.idle.remove(&key)),
            (1.., 0) => drop(self.idle.insert(key)),
            _ => {}
        }
        connection.tasks_in_flight = tasks;
    }

    /// The client has done something that only a legitimate one does: others are evicted before it. Seen:
    /// hundreds that sent one request and stayed took the places of clients whose tasks were running, and
    /// nobody was left to receive the outcomes.
    pub fn mark_legitimate(&mut self, id: u64) {
        let Some(connection) = self.connections.get_mut(&id).filter(|connection| !connection.legitimate)
        else {
            return;
        };
        let key = IdleKey::of(id, connection);
        if self.idle.remove(&key) {
            self.idle.insert(IdleKey { legitimate: true, ..key });
        }
        connection.legitimate = true;
    }

    /// The connection is closed, for whatever reason.
    pub fn remove(&mut self, id: u64) {
        let Some(connection) = self.connections.remove(&id) else { return };
        self.idle.remove(&IdleKey::of(id, &connection));
        match connection.name {
            Some(name) => self.usage.remove(&name),
            None => self.unidentified.remove((connection.opened_at, id)),
        }
    }

    /// Whether the input of this connection is processed before that of connections that were silent until
    /// now.
    pub fn is_steady(&self, now: Timestamp, id: u64) -> bool {
        let connection = self.connections.get(&id);
        connection.is_some_and(|connection| now - connection.steady_since >= self.settings.steady_period)
    }

    /// A connection has input. True: it is processed in this iteration, with the other steady ones. False:
    /// the connection is queued, and `next_queued` returns it. `has_tasks`: its client has tasks in flight.
    pub fn admit_input(&mut self, now: Timestamp, id: u64, has_tasks: bool) -> bool {
        if self.is_steady(now, id) {
            let Some(name) = self.connections.get(&id).and_then(|connection| connection.name.as_ref()) else {
                return true;
            };
            // Guards against one tenant whose ten thousand connections all send every few seconds: it delayed
            // all others.
            let max = self.settings.max_queued_per_iteration;
            if self.usage.count_steady(name, self.iteration, max) {
                return true;
            }
        }
        self.enqueue_input(id, has_tasks);
        false
    }

    /// Queues the input of a connection for a later iteration.
    pub fn enqueue_input(&mut self, id: u64, has_tasks: bool) {
        self.set_greeting(id, true);
        let name = self.connections.get_mut(&id).and_then(|connection| {
            connection.queued = true;
            connection.name.as_deref()
        });
        self.queues.push(name.map_or("", tenant_of), id, has_tasks);
    }

    /// The next queued connection, while this iteration has budget: first those with tasks in flight, tenant
    /// after tenant; a part of the budget is reserved for the others.
    pub fn next_queued(&mut self) -> Option<u64> {
        let id = self.queues.pop()?;
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.queued = false;
        }
        Some(id)
    }

    /// Whether any connection is queued.
    pub fn has_queued(&self) -> bool {
        !self.queues.is_empty()
    }

    /// Descriptors are exhausted: evicts idle connections, which the caller closes. Fewer connections are
    /// allowed from now on, until iterations have been short for a while.
    pub fn on_descriptors_exhausted(&mut self, now: Timestamp) -> Vec<u64> {
        self.adaptive_limit.reduce_to(now, self.len().saturating_sub(EVICTED_ON_EXHAUSTION));
        let evicted: Vec<u64> = self.idle.iter().take(EVICTED_ON_EXHAUSTION).map(|idle| idle.id).collect();
        for id in &evicted {
            self.remove(*id);
            self.count_disconnect(DisconnectReason::Evicted);
        }
        evicted
    }

    pub(crate) fn count_disconnect(&mut self, reason: DisconnectReason) -> DisconnectReason {
        *self.disconnects.entry(reason).or_default() += 1;
        reason
    }
}
