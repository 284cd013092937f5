//! The end of a connection to a machine, and what it proves about the start requests on it.

use super::{Machine, MachineConnection, REFUSALS_OF_DEAD};
use crate::state::SchedulerState;
use crate::tasks::{Attempt, AttemptId, AttemptState};
use mulleinhub_interface::{FailureCause, Outcome, TaskId};
use mulleinhub_resilience::backoff;
use mulleinhub_sans_io::{CloseReason, ConnectionId, Unsent};

/// Handles the end of a connection to a machine.
pub fn handle_disconnect(state: &mut SchedulerState, connection_id: ConnectionId, reason: CloseReason) {
    let unsent = state.connections.abort(connection_id);
    let Some(connection) = state.machines.remove_connection(connection_id) else { return };
    let id = connection.machine;
    log_disconnect(state, connection_id, &connection, reason);
    let random_part = state.random.part();
    let has_others = state.machines.connections_of(id).any(|(_, other)| other.established);
    let (now, timeouts) = (state.now, state.machines.timeouts);
    if let Some(machine) = state.machines.by_id.get_mut(&id) {
        machine.slow_start.on_disconnected(now);
        machine.retract_liveness(&connection, now, timeouts.idle);
        if reason == CloseReason::NotAttempted {
            // A lack of descriptors of this process proves nothing about the machine.
            machine.reconnect_at = now + timeouts.check_interval;
        } else if connection.established {
            machine.reconnect_at = now + backoff::reconnect_delay(timeouts.reconnect, random_part);
        } else {
            let delay = backoff::retry_delay(timeouts.reconnect, machine.failures, random_part);
            machine.reconnect_at = now + delay;
            count_failed_connect(machine, reason, has_others);
            if machine.refusals >= REFUSALS_OF_DEAD {
                state.lose_running_tasks(id, now, "it refuses connections");
            }
        }
    }
    for task in connection.awaiting {
        let Some(attempt) = state.tasks.attempt(task) else { continue };
        let AttemptState::Sent { connection: carrier, token } = attempt.state else { continue };
        if carrier != connection_id {
            continue;
        }
        if reason == CloseReason::NotAttempted {
            set_attempt(state, task, Attempt { state: AttemptState::Queued, ..attempt });
            state.queue_for_connection(AttemptId { task, number: attempt.number }, id);
            continue;
        }
        let never_left = unsent.contains(&(token, Unsent::Entire));
        if never_left && connection.established && resend(state, task, attempt) {
            continue;
        }
        let outcome =
            if never_left { Outcome::NoConnection } else { Outcome::Lost(FailureCause::Unspecified) };
        state.policy_queue.outcomes.push_back((AttemptId { task, number: attempt.number }, outcome));
    }
    state.schedule_check(id);
}

fn log_disconnect(
    state: &SchedulerState,
    connection_id: ConnectionId,
    connection: &MachineConnection,
    reason: CloseReason,
) {
    if let Some(machine) = state.machines.by_id.get(&connection.machine) {
        tracing::debug!(
            peer = machine.address,
            connection = connection_id.0,
            established = connection.established,
            ?reason,
            awaiting = connection.awaiting.len(),
            "a connection is over"
        );
    }
}

/// Counts a connect that failed, and the refusals in a row.
///
/// A process that dies resets its connections, so a refusal counts only where none is open. Seen: machines
/// that drain refuse new connections, and what ran there was taken for lost. A connect that times out says
/// nothing. Seen: one between two refusals, and the second counted as the first.
fn count_failed_connect(machine: &mut Machine, reason: CloseReason, has_others: bool) {
    machine.failures += 1;
    if reason == CloseReason::Refused {
        machine.refusals = if has_others { 0 } else { machine.refusals + 1 };
    }
}

/// Sends an attempt again, once, of which not a byte had left on an established connection: the machine had
/// closed an idle connection, or reset one as it was established. False where that can't be done.
fn resend(state: &mut SchedulerState, task: TaskId, attempt: Attempt) -> bool {
    if attempt.rewritten {
        return false;
    }
    set_attempt(state, task, Attempt { state: AttemptState::Queued, rewritten: true, ..attempt });
    state.write_start_request(task)
}

fn set_attempt(state: &mut SchedulerState, task: TaskId, attempt: Attempt) {
    if let Some(task) = state.tasks.by_id.get_mut(&task) {
        task.attempt = Some(attempt);
    }
}
