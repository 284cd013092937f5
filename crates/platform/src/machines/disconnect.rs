//! The end of a connection to a machine, and what it proves about the start requests on it.

use super::{ConnectionPurpose, Machine, MachineConnection, REFUSALS_OF_DEAD};
use crate::state::SchedulerState;
use crate::tasks::{Attempt, AttemptState};
use mulleinhub_interface::{Duration, FailureCause, MachineId, Outcome, TaskId};
use mulleinhub_resilience::backoff;
use mulleinhub_sans_io::{CloseReason, ConnectionId, Unsent};

/// A machine has noticed by then that a connection was broken off.
const NOTICE_TIME: Duration = Duration::from_nanos(100_000_000);

/// Handles the end of a connection to a machine.
pub fn handle_disconnect(state: &mut SchedulerState, connection_id: ConnectionId, reason: CloseReason) {
    let unsent = state.connections.abort(connection_id);
    record_delivery(state, connection_id, reason);
    let Some(connection) = state.machines.remove_connection(state.now, connection_id) else { return };
    log_disconnect(state, connection_id, &connection, reason);
    if connection.established && reason == CloseReason::Broken {
        // It ended without the end of its stream: reports that the machine had written may be lost.
        if connection.retired && connection.purpose != ConnectionPurpose::Requests {
            // Where it hangs, the next one ends like this, too: each connect would be followed by another at once.
            state.record_lost_reports(connection.machine);
        } else {
            state.ask_for_reports(connection.machine);
        }
    }
    if connection.retired {
        return reschedule_lost_orders(state, connection.machine);
    }
    update_machine(state, &connection, reason);
    for task in &connection.awaiting {
        let Some(attempt) = state.tasks.attempt(*task) else { continue };
        let AttemptState::Sent { connection: carrier, token } = attempt.state else { continue };
        if carrier == connection_id {
            let never_left = unsent.contains(&(token, Unsent::Entire));
            settle_attempt(state, *task, attempt, Disconnect { reason, never_left, connection: &connection });
        }
    }
    state.schedule_check(connection.machine);
    reschedule_lost_orders(state, connection.machine);
}

/// This side breaks off an established connection. Its machine may go on to report on it until it has noticed that,
/// also after it has accepted another one. Seen in a soak: the end of a task was told 7 s late, as the connection on
/// which it might have been repeated had come up first.
pub fn break_connection(state: &mut SchedulerState, connection_id: ConnectionId) {
    let machine = state.machines.connections.get(&connection_id).map(|connection| connection.machine);
    handle_disconnect(state, connection_id, CloseReason::Broken);
    let machine = machine.and_then(|machine| state.machines.by_id.get_mut(&machine));
    if let Some(lost_at) = machine.and_then(|machine| machine.reports_lost_at.as_mut()) {
        *lost_at = state.now + NOTICE_TIME;
    }
}

/// A machine that closes its side of a connection behind this one's has read everything that was sent there.
fn record_delivery(state: &mut SchedulerState, connection_id: ConnectionId, reason: CloseReason) {
    let Some(connection) = state.machines.connections.get(&connection_id) else { return };
    if connection.retired && reason == CloseReason::Closed {
        let machine = state.machines.by_id.get_mut(&connection.machine);
        machine.into_iter().for_each(|machine| machine.stop_orders.on_delivered(connection_id));
    }
}

/// Orders to stop tasks that may be lost with a connection are given again: on another one, or on the next.
fn reschedule_lost_orders(state: &mut SchedulerState, id: MachineId) {
    state.send_stop_orders(id);
    if state.machines.by_id.get(&id).is_some_and(|machine| machine.stop_orders.has_unsent()) {
        state.schedule_urgent_check(id);
    }
}

/// The machine's backoff and liveness after a disconnect.
fn update_machine(state: &mut SchedulerState, connection: &MachineConnection, reason: CloseReason) {
    let id = connection.machine;
    let random_part = state.random.fraction();
    let has_others = state.machines.connections_of(id).any(|(_, other)| other.established);
    let (now, timeouts) = (state.now, state.machines.timeouts);
    let Some(machine) = state.machines.by_id.get_mut(&id) else { return };
    machine.slow_start.on_disconnected(now);
    if reason == CloseReason::Refused || (connection.established && reason == CloseReason::Broken) {
        machine.broken_at = Some(now);
    }
    machine.retract_liveness(connection, now, timeouts.idle);
    if reason == CloseReason::NotAttempted {
        // A lack of descriptors of this process proves nothing about the machine.
        machine.reconnect_at = now + timeouts.check_interval;
    } else if connection.established {
        machine.reconnect_at = now + backoff::reconnect_delay(timeouts.reconnect, random_part);
    } else {
        let delay = backoff::retry_delay(timeouts.reconnect, machine.failures, random_part);
        machine.reconnect_at = now + delay;
        machine.failed_at = connection.opened_at;
        count_failed_connect(machine, reason, has_others);
        if machine.refusals >= REFUSALS_OF_DEAD {
            state.lose_running_tasks(id, now, "it refuses connections");
        }
    }
}

/// A disconnect, as an attempt on that connection meets it.
struct Disconnect<'a> {
    reason: CloseReason,
    /// Not a byte of the start request had left.
    never_left: bool,
    connection: &'a MachineConnection,
}

/// What becomes of an attempt that waited for its answer on the connection: it is queued or sent again, or it
/// ended.
fn settle_attempt(state: &mut SchedulerState, task: TaskId, attempt: Attempt, disconnect: Disconnect<'_>) {
    let Disconnect { reason, never_left, connection } = disconnect;
    if reason == CloseReason::NotAttempted {
        set_attempt(state, task, Attempt { state: AttemptState::Queued, ..attempt });
        return state.queue_for_connection(attempt.id(task), connection.machine);
    }
    if never_left && connection.established && resend(state, task, attempt) {
        return;
    }
    let outcome =
        if never_left { Outcome::ConnectionFailed } else { Outcome::Lost(FailureCause::Unspecified) };
    state.policy_queue.push_outcome(attempt.id(task), outcome);
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
