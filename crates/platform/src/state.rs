//! All state of a scheduler beside the policy's.

use crate::adoptions::Adoptions;
use crate::attempts::UnsentRequests;
use crate::clients::{Clients, PARKED_CLIENTS_INTERVAL};
use crate::config::Config;
use crate::discovery::{EndpointWatch, MovedTask};
use crate::fault_log::FaultLog;
use crate::inbound::{InboundQueue, Peer};
use crate::machines::Machines;
use crate::recent_tasks::RecentTasks;
use crate::reported_ends::ReportedEnds;
use crate::shutdown::Shutdown;
use crate::status::Counts;
use crate::tasks::{AttemptId, Tasks};
use crate::timers::TimerEvent;
use crate::wall_clock::WallClock;
use mulleinhub::{Pcg, mix};
use mulleinhub_interface::{Outcome, TaskId, Timestamp};
use mulleinhub_limits::{AdmissionControl, PayloadBudget, max_tasks_in_flight, max_tasks_tracked};
use mulleinhub_platform_protocol::{Cause, ListEvent};
use mulleinhub_platform_settings::PlatformSettings;
use mulleinhub_resilience::{MAX_POLL_INTERVAL, PauseDetector};
use mulleinhub_sans_io::{CloseReason, ConnectionId, Connections, Timers};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Bytes that may wait for one peer that doesn't read.
const MAX_UNSENT: usize = 256 * 1024;
/// Capacity of the buffer in which messages are composed.
const OUTPUT_CAPACITY: usize = 1024;

/// The state as the handlers of a scheduling round and the policy's dispatcher share it.
///
/// In a round a handler notifies the policy of an event, and the policy answers it at once, before the call
/// returns, through the dispatcher, which writes to the same state. Neither can own it alone: the dispatcher
/// lives as long as the round does, and so do the handlers. All of it runs on one thread, so a `RefCell`
/// makes that safe at the cost of a flag, and each side borrows for one step only. No borrow may be held over
/// a call of [`PolicyEvents`](mulleinhub_interface::PolicyEvents).
pub type SharedState = RefCell<SchedulerState>;

/// What the policy is yet to be notified of.
#[derive(Debug, Default)]
pub struct PolicyQueue {
    /// Outcomes of attempts that this side found out.
    pub outcomes: VecDeque<(AttemptId, Outcome)>,
    /// Causes of those with which the task is over, though no acceptance of it was received.
    pub final_causes: BTreeMap<AttemptId, Cause>,
    /// Tasks that nobody wants any more.
    pub cancelled: Vec<TaskId>,
    /// Tasks that run on other machines than they were sent to.
    pub moved: Vec<MovedTask>,
}

impl PolicyQueue {
    /// An attempt ended in a way that this side found out.
    pub fn push_outcome(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.outcomes.push_back((attempt, outcome));
    }

    /// An attempt ended, and its task with it: the client gets this cause as its final answer, unless it has
    /// cancelled the task by the time at which outcomes are settled.
    pub fn push_final_outcome(&mut self, attempt: AttemptId, outcome: Outcome, cause: Cause) {
        self.push_outcome(attempt, outcome);
        self.final_causes.insert(attempt, cause);
    }
}

/// The state of a scheduler: connections, tasks, and what is due. In memory only; lost with the process.
pub struct SchedulerState {
    /// Use cases, machine kinds and rules of the platform.
    pub settings: PlatformSettings,
    /// The instant of this iteration.
    pub now: Timestamp,
    /// Dates what is told in Unix time.
    pub wall_clock: WallClock,
    /// The connections' outgoing bytes, and commands to the event loop.
    pub connections: Connections,
    /// What is due, and when.
    pub timers: Timers<TimerEvent>,
    /// Client connections.
    pub clients: Clients,
    /// Machines and the connections to them.
    pub machines: Machines,
    /// The stream of endpoint events.
    pub endpoint_watch: EndpointWatch,
    /// The endpoint list of the configuration; empty once the policy was notified.
    pub initial_endpoints: Vec<ListEvent>,
    /// The tasks that are held.
    pub tasks: Tasks,
    /// Tasks that are held no longer and must not run again.
    pub ran_tasks: RecentTasks,
    /// Tasks that are held no longer and of which a copy may run that nobody wants.
    pub unwanted_tasks: RecentTasks,
    /// Ends of tasks that machines reported lately.
    pub reported_ends: ReportedEnds,
    /// Start requests that may not have left yet.
    pub unsent_requests: UnsentRequests,
    /// Shares the places for unanswered tasks among services.
    pub admission: AdmissionControl,
    /// Memory for the payloads of unanswered tasks.
    pub payload_budget: PayloadBudget,
    /// Tasks that may be held in all.
    pub max_tasks: usize,
    /// Tasks up to which others are adopted: what is left has place for as many new ones as may wait for their
    /// answers. Seen: a client handed over thousands that did not exist, and no request was admitted any more.
    pub max_adopted: usize,
    /// Adoptions that wait for their machine.
    pub adoptions: Adoptions,
    /// Connections with something to be handled.
    pub inbound: InboundQueue,
    /// What the policy is yet to be notified of.
    pub policy_queue: PolicyQueue,
    /// How far a graceful shutdown has come.
    pub shutdown: Shutdown,
    /// Finds out when this process was paused.
    pub pauses: PauseDetector,
    /// The source of all random draws.
    pub random: Pcg,
    /// What was done since the start.
    pub counts: Counts,
    /// The message that is being composed.
    pub output: Vec<u8>,
    last_token: u64,
    fault_log: FaultLog,
    /// Peers for which more waits than may, unless they read it by the end of the next iteration.
    slow_readers: BTreeSet<ConnectionId>,
}

impl SchedulerState {
    /// A scheduler that was just started.
    pub fn new(config: Config) -> Self {
        let settings = config.settings;
        Self {
            clients: Clients::new(config.descriptors, config.memory_mb),
            machines: Machines::new(config.descriptors, settings.idle_timeout, settings.connect_timeout),
            admission: AdmissionControl::new(max_tasks_in_flight(config.memory_mb)),
            payload_budget: PayloadBudget::new(config.memory_mb, max_tasks_in_flight(config.memory_mb)),
            max_tasks: max_tasks_tracked(config.memory_mb),
            max_adopted: max_tasks_tracked(config.memory_mb) - max_tasks_in_flight(config.memory_mb),
            now: Timestamp::default(),
            wall_clock: WallClock::default(),
            connections: Connections::default(),
            timers: Timers::default(),
            endpoint_watch: EndpointWatch::new(config.discovery_address, config.initial_endpoints.sequence),
            initial_endpoints: config.initial_endpoints.events,
            tasks: Tasks::default(),
            ran_tasks: RecentTasks::that_ran(max_tasks_tracked(config.memory_mb)),
            unwanted_tasks: RecentTasks::unwanted(max_tasks_in_flight(config.memory_mb)),
            reported_ends: ReportedEnds::default(),
            unsent_requests: UnsentRequests::default(),
            adoptions: Adoptions::default(),
            inbound: InboundQueue::default(),
            policy_queue: PolicyQueue::default(),
            shutdown: Shutdown::default(),
            pauses: PauseDetector::default(),
            random: Pcg::new(mix(config.seed, settings.slow_start.scheduler_index.into())),
            counts: Counts::default(),
            output: Vec::with_capacity(OUTPUT_CAPACITY),
            last_token: 0,
            fault_log: FaultLog::default(),
            slow_readers: BTreeSet::new(),
            settings,
        }
    }

    /// An iteration begins: everything that came in before it was reported.
    pub fn begin_iteration(&mut self, now: Timestamp) {
        self.now = now;
        if self.pauses.begin_iteration(now) {
            self.clients.limits.on_process_resumed(now);
        }
        self.close_slow_readers();
        self.begin_inbound();
    }

    /// An iteration begins, and what the one before composed was written as far as the peers take it: those for
    /// which too much is left are closed. Seen: a client that was sent twenty long answers at once after a pause of
    /// this process was closed before it could read any.
    fn close_slow_readers(&mut self) {
        for connection_id in std::mem::take(&mut self.slow_readers) {
            if self.connections.pending_bytes(connection_id) <= MAX_UNSENT {
                continue;
            }
            let error = format!("connection {}", connection_id.0);
            self.warn("peer does not read; connection closed", &error);
            if let Some(Peer::Client | Peer::Machine) = self.peer(connection_id) {
                self.on_closed(self.now, connection_id, CloseReason::Broken);
            }
        }
    }

    /// The iteration is over.
    pub fn end_iteration(&mut self) {
        self.pauses.end_iteration(self.next_wakeup());
    }

    /// When the next iteration is needed at the latest.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let has_work = !self.policy_queue.outcomes.is_empty()
            || !self.policy_queue.cancelled.is_empty()
            || self.has_unhandled_input();
        if has_work {
            return Some(self.now);
        }
        let limits = &self.clients.limits;
        let parked_clients_at = self.clients.has_parked().then_some(self.now + PARKED_CLIENTS_INTERVAL);
        let accept_resumes_at = limits.accept_paused_until().filter(|until| *until > self.now);
        [
            self.timers.next_wakeup(),
            limits.next_wakeup(),
            accept_resumes_at,
            parked_clients_at,
            Some(self.now + MAX_POLL_INTERVAL),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Logs a fault of a peer, at a limited rate.
    pub fn warn(&mut self, message: &str, error: &str) {
        self.fault_log.warn(self.now, message, error);
    }

    /// Composes a message and sends it.
    pub fn send(&mut self, connection_id: ConnectionId, write: impl FnOnce(&mut Vec<u8>)) {
        self.output.clear();
        write(&mut self.output);
        self.send_output(connection_id, None);
    }

    /// Sends the message that was composed; one with a token can be withdrawn while it is unsent.
    pub fn send_output(&mut self, connection_id: ConnectionId, token: Option<u64>) {
        self.connections.send(connection_id, &self.output, token);
        if self.connections.pending_bytes(connection_id) > MAX_UNSENT {
            self.slow_readers.insert(connection_id);
        }
    }

    /// A token that was not used before.
    pub fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }
}
