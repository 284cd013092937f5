//! Checks of machines: idle connections are closed before the machine does it, a machine where tasks run is
//! kept connected, and a silent one is found out and its tasks are reported as lost.

use super::{ConnectionPurpose, LocalClose, Machine, REFUSALS_OF_DEAD, Timeouts};
use crate::state::SchedulerState;
use crate::timers::TimerEvent;
use mulleinhub_interface::{Duration, FailureCause, MachineId, Outcome, TaskId, Timestamp};
use mulleinhub_resilience::backoff;
use mulleinhub_sans_io::ConnectionId;

/// Connects to a machine at a time where one of them must be established soon: as a machine falls silent, shortly
/// before it is lost, and after reports were lost.
const MAX_URGENT_CONNECTS: usize = 3;
/// Lost reports are asked for again, and orders given, by connects that begin so long one after another, whatever
/// became of those before, and the first within as long at random: other schedulers may have lost theirs at the
/// same moment.
const URGENT_RETRY_INTERVAL: Duration = Duration::from_nanos(100_000_000);
/// A client must be notified within this of a machine's report. After that lost ones have no hurry.
const REPORT_DEADLINE: Duration = Duration::from_secs(1);

/// What a check of a machine starts from.
struct Check {
    reconnect_at: Timestamp,
    failures: u32,
    refusals: u32,
    replaced: bool,
    /// For how long the machine has been silent.
    silence: Duration,
    has_running_tasks: bool,
    has_unsent_orders: bool,
    reports_lost: bool,
    /// A report that was lost may still reach its client in time, or an order its machine.
    is_urgent: bool,
    /// How many connections to it are being opened.
    connecting: usize,
    /// How many connections to it are established.
    established: usize,
    /// Those of them on which no answer is awaited, and when each was last used.
    idle: Vec<(ConnectionId, Timestamp)>,
}

impl Check {
    fn begin(state: &mut SchedulerState, id: MachineId) -> Option<Self> {
        let machine = state.machines.by_id.get_mut(&id)?;
        machine.next_check_at = None;
        let machine = &state.machines.by_id[&id];
        let connections = || state.machines.connections_of(id).map(|(_, connection)| connection);
        let idle = state.machines.connections_of(id).filter(|(_, connection)| connection.is_idle());
        Some(Self {
            reconnect_at: machine.reconnect_at,
            failures: machine.failures,
            refusals: machine.refusals,
            replaced: machine.replaced,
            silence: machine.silence(state.now, &state.machines.timeouts),
            has_running_tasks: state.tasks.any_running_on(id),
            has_unsent_orders: machine.stop_orders.has_unsent(),
            reports_lost: machine.reports_lost_at.is_some(),
            is_urgent: machine.is_urgent(state.now),
            connecting: connections().filter(|connection| !connection.established).count(),
            established: connections().filter(|connection| connection.established).count(),
            idle: idle.map(|(connection_id, connection)| (connection_id, connection.used_at)).collect(),
        })
    }

    /// Whether a connection is needed, before idle ones are closed.
    fn needs_connection(&self, state: &SchedulerState) -> bool {
        let timeouts = &state.machines.timeouts;
        let has_capacity = state.machines.pool.has_capacity();
        let probe_after = if has_capacity {
            timeouts.probe_after
        } else {
            timeouts.tour_interval(state.tasks.machines_in_use(), state.machines.max_connections)
        };
        let is_unconnected = self.established == 0 && has_capacity;
        let is_due = self.silence >= probe_after || is_unconnected || self.reports_lost;
        let max_connecting =
            if self.probes_without_backoff(timeouts) || self.is_urgent { MAX_URGENT_CONNECTS } else { 1 };
        self.connecting < max_connecting && (self.has_unsent_orders || (self.has_running_tasks && is_due))
    }

    /// What a connection is for that is opened now.
    fn purpose(&self) -> ConnectionPurpose {
        if self.reports_lost || self.has_unsent_orders {
            ConnectionPurpose::Reports
        } else {
            ConnectionPurpose::Probe
        }
    }

    /// Whether a probe follows on another one without backoff: as the machine has just fallen silent, and shortly
    /// before it is lost. Where it refuses connections the first backoff counts: it may be dead, and is not to be
    /// taken for that by two refusals of one moment.
    fn probes_without_backoff(&self, timeouts: &Timeouts) -> bool {
        let is_first = timeouts.is_first_probe(self.silence);
        self.silence >= timeouts.final_probes_after || (is_first && self.refusals == 0)
    }
}

/// Checks a machine and schedules the next check, as long as there is anything to check.
pub fn check_machine(state: &mut SchedulerState, id: MachineId) {
    let is_due = |machine: &Machine| machine.next_check_at.is_some_and(|at| at <= state.now);
    if !state.machines.by_id.get(&id).is_some_and(is_due) {
        // An earlier one took the place of this check.
        return;
    }
    let Some(mut check) = Check::begin(state, id) else { return };
    let mut needs_connection = check.needs_connection(state);
    needs_connection |= close_idle_connections(state, &mut check);
    if needs_connection {
        reconnect(state, id, &check);
    }
    let is_silent = check.silence >= state.machines.timeouts.lost_after && check.failures > 0;
    if check.has_running_tasks && (is_silent || check.refusals >= REFUSALS_OF_DEAD || check.replaced) {
        state.lose_running_tasks(id, state.now, "it is silent, refuses connections, or was replaced");
    }
    let is_connected = !state.machines.by_id[&id].connections.is_empty();
    if check.has_running_tasks || check.has_unsent_orders || is_connected {
        state.schedule_check(id);
    }
}

/// Closes the connections that have been idle for too long. The last one to a machine where tasks run is kept
/// until it is replaced; true where it needs to be.
fn close_idle_connections(state: &mut SchedulerState, check: &mut Check) -> bool {
    let (now, idle_timeout) = (state.now, state.machines.timeouts.idle);
    let mut needs_connection = false;
    for (connection_id, used_at) in &check.idle {
        if now - *used_at < idle_timeout {
            continue;
        }
        if check.has_running_tasks && check.established == 1 {
            needs_connection |= check.connecting == 0;
        } else {
            state.close_machine_connection(*connection_id, LocalClose::Idle);
            check.established -= 1;
        }
    }
    needs_connection
}

/// Opens one more connection, unless the machine is in backoff; where the pool is used up, an idle one makes
/// room.
fn reconnect(state: &mut SchedulerState, id: MachineId, check: &Check) {
    let timeouts = state.machines.timeouts;
    let may_connect =
        state.now >= check.reconnect_at || check.probes_without_backoff(&timeouts) || check.is_urgent;
    if !may_connect || check.replaced {
        return;
    }
    let oldest_idle = check
        .idle
        .iter()
        .filter(|(connection_id, _)| state.machines.connections.contains_key(connection_id))
        .min_by_key(|(_, used_at)| *used_at);
    let needs_descriptor = !state.machines.pool.has_capacity() && check.established > 1;
    if let Some((connection_id, _)) = oldest_idle.filter(|_| needs_descriptor) {
        state.close_machine_connection(*connection_id, LocalClose::PoolExhausted);
    }
    let opened = state.open_machine_connection(id);
    if let Some(connection) = opened.and_then(|opened| state.machines.connections.get_mut(&opened)) {
        connection.purpose = check.purpose();
    }
}

impl Machine {
    /// Whether a report that was lost may still reach its client in time, or an order its machine. Where the machine
    /// refuses connections, the backoff counts: it may be dead, and is not to be taken for that by two refusals
    /// of one moment.
    fn is_urgent(&self, now: Timestamp) -> bool {
        let awaits_reports = self.reports_lost_at.is_some_and(|lost_at| now - lost_at < REPORT_DEADLINE);
        self.refusals == 0 && (awaits_reports || self.stop_orders.are_urgent(now))
    }
}

impl SchedulerState {
    /// Schedules a check of this machine, unless one is scheduled.
    pub fn schedule_check(&mut self, id: MachineId) {
        // Drawn in any case, so that the sequence of draws depends on the calls alone.
        let random = self.random.fraction();
        let has_running_tasks = self.tasks.any_running_on(id);
        let Some(machine) = self.machines.by_id.get(&id).filter(|machine| machine.next_check_at.is_none())
        else {
            return;
        };
        let (now, timeouts) = (self.now, &self.machines.timeouts);
        let ordinary = now + backoff::keepalive_check(timeouts.check_interval * 2.0, random);
        let urgent = machine.is_urgent(now).then_some(now + URGENT_RETRY_INTERVAL);
        let silent_since = machine.silent_since(timeouts);
        let next_probe = timeouts.next_probe_after(now - silent_since).filter(|_| has_running_tasks);
        let at = urgent.or(next_probe.map(|interval| now + interval)).unwrap_or(ordinary);
        // Those that find it silent, and lost, come in time.
        let first_probe_at = timeouts.probe_at(silent_since, random);
        let lost_at = silent_since + timeouts.lost_after;
        let due = [first_probe_at, lost_at].into_iter().filter(|due| has_running_tasks && *due > now);
        let at = due.fold(at, Timestamp::min);
        self.set_check(id, at);
    }

    /// Schedules a check of a machine whose reports were lost, or for which orders wait: soon, though a later one may be
    /// scheduled.
    pub fn schedule_urgent_check(&mut self, id: MachineId) {
        let at = self.now + URGENT_RETRY_INTERVAL * self.random.fraction();
        let next = self.machines.by_id.get(&id).and_then(|machine| machine.next_check_at);
        if next.is_none_or(|next| next > at) {
            self.set_check(id, at);
        }
    }

    /// Reports of tasks that run on this machine may have been lost: it repeats them on the next connection that it
    /// accepts. So they may be where a task is adopted: its machine may have reported its end to another scheduler
    /// before.
    pub fn ask_for_reports(&mut self, id: MachineId) {
        if self.record_lost_reports(id) {
            self.schedule_urgent_check(id);
        }
    }

    /// The same, where the next ordinary check is soon enough to open that connection. False where no task runs there.
    pub fn record_lost_reports(&mut self, id: MachineId) -> bool {
        let has_running_tasks = self.tasks.any_running_on(id);
        let machine = self.machines.by_id.get_mut(&id).filter(|_| has_running_tasks);
        let Some(machine) = machine else { return false };
        machine.reports_lost_at = Some(self.now);
        true
    }

    fn set_check(&mut self, id: MachineId, at: Timestamp) {
        if let Some(machine) = self.machines.by_id.get_mut(&id) {
            machine.next_check_at = Some(at);
            self.timers.schedule(at, TimerEvent::CheckMachine(id));
        }
    }

    /// This task is known to run on this machine from now on.
    pub fn record_running(&mut self, task: TaskId, id: MachineId) {
        if !self.tasks.any_running_on(id)
            && let Some(machine) = self.machines.by_id.get_mut(&id)
        {
            machine.begin_watch(self.now);
        }
        self.tasks.record_running(task, id);
    }

    /// The tasks that have been running on a machine since before this instant are lost with it.
    pub fn lose_running_tasks(&mut self, id: MachineId, before: Timestamp, reason: &str) {
        let mut lost = 0;
        for (task, attempt) in self.tasks.running_on(id) {
            if attempt.running_since().is_some_and(|since| since < before) {
                lost += 1;
                let outcome = Outcome::Lost(FailureCause::Unspecified);
                self.policy_queue.push_outcome(attempt.id(task), outcome);
            }
        }
        self.counts.lost += lost;
        if let Some(machine) = self.machines.by_id.get(&id).filter(|_| lost > 0) {
            let silent_ms = (self.now - machine.last_seen_at).nanos() / 1_000_000;
            tracing::warn!(
                reason,
                lost,
                silent_ms,
                last_sign = ?machine.last_sign,
                failures = machine.failures,
                peer = machine.address,
                connections = machine.connections.len(),
                "tasks are lost"
            );
        }
    }
}
