//! The state of a scheduler beside its policy, and the iterations of the event loop over it.
//!
//! Each part has a module and an owner:
//! - `clients`: the connections of clients, their limits and the tasks that they wait for
//! - `connections`: bytes in and out of all connections, and the order in which they are handled
//! - `offers`: connections to machines, and offers on their way there
//! - `answers`: final answers, and what is kept of them
//! - `endpoint_list`: the endpoint list and whether it is usable
//! - `outcomes`: outcomes of attempts that are known and not yet handled
//! - `send_tokens`: which attempt an unsent frame carries
//!
//! Everything here is used by the thread of the event loop alone and lost when the process ends, apart from
//! the endpoint list, which is persisted.

mod answers;
mod clients;
mod connections;
mod endpoint_list;
mod offers;
mod outcomes;
mod send_tokens;

pub use answers::AnswerStore;
pub use clients::ClientTable;
pub use endpoint_list::{EndpointList, EndpointListFault, NotReady};
pub use outcomes::{AttemptOutcome, PendingOutcomes};
pub use send_tokens::SendTokens;

use crate::counters::{Counts, Latencies};
use crate::machine::MachineSlot;
use crate::peer::Peer;
use crate::settings::Settings;
use crate::task::{Attempt, TaskRecord};
use crate::timer::Timer;
use connections::ReadQueue;
use mulleinhub::{Pcg, mix};
use mulleinhub_interface::{MachineId, Quota, TaskId, Timestamp};
use mulleinhub_protocol::Spare;
use mulleinhub_resilience::{MAX_POLL_INTERVAL, PauseDetector};
use mulleinhub_sans_io::{ConnectionId, Connections, Timers};
use std::collections::BTreeMap;

/// The state of a scheduler beside its policy.
pub struct SchedulerState {
    /// What it was started with, and what a reload changed.
    pub settings: Settings,
    /// The number of this run of the process: another one at each start.
    pub incarnation: u64,
    /// The time of the present iteration.
    pub now: Timestamp,
    /// All connections, with their unsent bytes.
    pub connections: Connections,
    /// The other side of each connection.
    pub peers: BTreeMap<ConnectionId, Box<Peer>>,
    /// Connections whose frames wait to be handled.
    read_queue: ReadQueue,
    /// Buffers for connections on which a part of a frame arrived.
    pub spare_buffers: Spare,
    /// The machines of the endpoint list, and those that left it and still hold tasks.
    pub machines: BTreeMap<MachineId, MachineSlot>,
    /// The endpoint list and its connection.
    pub endpoint_list: EndpointList,
    /// The open tasks.
    pub tasks: BTreeMap<TaskId, TaskRecord>,
    /// Final answers and unresolved attempts that are kept.
    pub answers: AnswerStore,
    /// Outcomes that this side has established, to be handled in this iteration.
    pub outcomes: PendingOutcomes,
    /// When to come back, and why.
    pub timers: Timers<Timer>,
    /// The attempts whose offers may be unsent.
    pub send_tokens: SendTokens,
    /// The clients, their limits, and whether they are served.
    pub clients: ClientTable,
    /// Connections to be closed after the scheduling round, and why.
    to_abort: Vec<(ConnectionId, &'static str)>,
    /// Counts what tenants use; none where the settings keep no quotas.
    pub quota: Option<Box<dyn Quota>>,
    pauses: PauseDetector,
    /// Nothing new is accepted.
    pub shutting_down: bool,
    /// The counters since the start; gauges in it are not kept up to date, `counts` computes them.
    pub counts: Counts,
    /// The latencies since the start.
    pub latencies: Latencies,
    /// Jitter: schedulers that learn of one thing at one instant must not act on it at one instant.
    pub random: Pcg,
    encode_buffer: Vec<u8>,
}

/// The seed of this scheduler in this incarnation alone, also where many have the same settings or start at
/// one instant.
pub fn instance_seed(settings: &Settings, incarnation: u64) -> u64 {
    let seed = mix(settings.seed, incarnation);
    settings.name.bytes().fold(seed, |seed, byte| mix(seed, u64::from(byte)))
}

impl SchedulerState {
    /// The state at a start, before the first iteration.
    pub fn new(settings: Settings, incarnation: u64) -> Self {
        let random = Pcg::new(instance_seed(&settings, !incarnation));
        let clients = ClientTable::new(&settings);
        Self {
            settings,
            incarnation,
            now: Timestamp::default(),
            connections: Connections::default(),
            peers: BTreeMap::new(),
            read_queue: ReadQueue::default(),
            spare_buffers: Spare::default(),
            machines: BTreeMap::new(),
            endpoint_list: EndpointList::default(),
            tasks: BTreeMap::new(),
            answers: AnswerStore::default(),
            outcomes: PendingOutcomes::default(),
            timers: Timers::default(),
            send_tokens: SendTokens::default(),
            clients,
            to_abort: Vec::new(),
            quota: None,
            pauses: PauseDetector::default(),
            shutting_down: false,
            counts: Counts::default(),
            latencies: Latencies::default(),
            random,
            encode_buffer: Vec::with_capacity(1024),
        }
    }

    /// The counters, with the gauges of this moment.
    pub fn counts(&self) -> Counts {
        let is_placed =
            |record: &&TaskRecord| record.attempt.is_some_and(|attempt| attempt.phase.is_placed());
        let running = self.tasks.values().filter(is_placed).count();
        let with_attempt = self.tasks.values().filter(|record| record.attempt.is_some()).count();
        let in_flight = with_attempt - running;
        Counts {
            pending: self.tasks.len() - running - in_flight,
            in_flight,
            running,
            machines: self.machines.len(),
            machines_ready: self.machines.values().filter(|slot| slot.ready().is_some()).count(),
            ..self.counts
        }
    }

    /// How many tasks have an attempt in flight, by machine.
    pub fn attempts_by_machine(&self) -> BTreeMap<MachineId, usize> {
        let mut attempts = BTreeMap::new();
        for attempt in self.tasks.values().filter_map(|record| record.attempt) {
            *attempts.entry(attempt.machine).or_default() += 1;
        }
        attempts
    }

    /// The attempts in flight on this machine.
    pub fn attempts_on(&self, machine: MachineId) -> Vec<(TaskId, Attempt)> {
        let on_machine = |(id, record): (&TaskId, &TaskRecord)| {
            record.attempt.filter(|attempt| attempt.machine == machine).map(|attempt| (*id, attempt))
        };
        self.tasks.iter().filter_map(on_machine).collect()
    }

    /// Whether an iteration would have anything to do.
    pub fn has_work(&self) -> bool {
        !self.read_queue.ready.is_empty()
            || self.clients.limits.has_queued()
            || !self.read_queue.deferred.is_empty()
            || self.clients.limits.next_wakeup().is_some_and(|at| at <= self.now)
            || !self.outcomes.is_empty()
            || self.timers.next_wakeup().is_some_and(|at| at <= self.now)
    }

    /// The next timer that is due and was set before this mark of the timers.
    pub fn next_due_timer(&mut self, mark: u64) -> Option<Timer> {
        self.timers.pop_due_up_to(self.now, mark)
    }

    /// When the next iteration is due at the latest.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let clients_wait = self.clients.limits.has_queued() || !self.read_queue.deferred.is_empty();
        if !self.outcomes.is_empty() || (self.clients.are_served && clients_wait) {
            return Some(self.now);
        }
        // Where clients are served there is an iteration at least so often: its lateness reveals a pause of
        // this process. Seen: without it, the first client's submission waited in a pause that went
        // unnoticed.
        let heartbeat = self.clients.are_served.then_some(self.now + MAX_POLL_INTERVAL);
        [self.timers.next_wakeup(), self.clients.limits.next_wakeup(), heartbeat].into_iter().flatten().min()
    }

    fn detect_pause(&mut self, now: Timestamp) {
        if self.pauses.begin_iteration(now) {
            self.clients.limits.on_process_resumed(now);
        }
    }

    /// An iteration begins. What was deferred in the last one stands in line now.
    pub fn begin_iteration(&mut self, now: Timestamp) {
        self.now = now;
        self.detect_pause(now);
        self.clients.limits.begin_iteration(self.machines.len());
        for connection in std::mem::take(&mut self.read_queue.deferred) {
            let returns = self.peers.get(&connection).is_some_and(|peer| peer.open_tasks > 0);
            self.clients.limits.enqueue_input(connection.0, returns);
        }
    }

    /// An early iteration begins, as much is unread: what arrived is handled, no timer expires. False where
    /// nothing waits that is handled now.
    pub fn begin_early_iteration(&mut self, now: Timestamp) -> bool {
        self.now = now;
        self.detect_pause(now);
        self.pauses.mark_early(now);
        !self.read_queue.ready.is_empty() || !self.outcomes.is_empty()
    }

    /// The iteration is over. The promised wake-up is what a later pause is measured by.
    pub fn end_iteration(&mut self) {
        self.pauses.end_iteration(self.next_wakeup());
    }
}
