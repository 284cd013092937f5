//! Counters, and the status line of the log.

use crate::state::SchedulerState;
use crate::timers::TimerEvent;
use mulleinhub_interface::Duration;

/// Time between two status lines.
pub const STATUS_INTERVAL: Duration = Duration::from_secs(5);

/// What was done since the start, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Tasks admitted.
    pub admitted: u64,
    /// Tasks that a machine accepted.
    pub placed: u64,
    /// Tasks that the policy rejected.
    pub rejected: u64,
    /// Tasks that the policy failed: they may have run.
    pub failed: u64,
    /// Attempts made.
    pub attempts: u64,
    /// Acceptances of attempts that had been given up.
    pub late_acceptances: u64,
    /// Start requests that were invalid.
    pub invalid_requests: u64,
    /// Client connections closed for a protocol error.
    pub bad_clients: u64,
    /// Machine connections closed for a protocol error.
    pub bad_machines: u64,
    /// Running tasks adopted from another scheduler.
    pub adopted: u64,
    /// Running tasks lost with their machines.
    pub lost: u64,
    /// Ends passed on of tasks that were not held.
    pub unheld_ends: u64,
}

/// Logs the status line and sets the timer for the next one.
pub fn log_and_reschedule(state: &mut SchedulerState) {
    log(state);
    state.timers.schedule(state.now + STATUS_INTERVAL, TimerEvent::LogStatus);
}

/// One line that can be compared with what passed on the sockets.
fn log(state: &SchedulerState) {
    let machines = state.machines.by_id.values();
    let connected = machines.clone().filter(|machine| !machine.connections.is_empty()).count();
    tracing::info!(
        waiting = state.tasks.unanswered,
        running = state.tasks.running_count(),
        machines = machines.len(),
        connected,
        connections = state.machines.connections.len(),
        clients = state.clients.by_connection.len(),
        endpoint_event = state.endpoint_watch.last_event,
        unreported_ends = state.clients.unreported_ends.len(),
        counts = ?state.counts,
        "status"
    );
}
