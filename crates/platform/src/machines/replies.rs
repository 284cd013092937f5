//! What machines answer to start requests: acceptances, rejections, and releases of tasks that ran.

use crate::attempts::settle;
use crate::clients::{ClientProof, prove_client_of, proves_itself};
use crate::discovery::{announce_moved, move_task};
use crate::state::{SchedulerState, SharedState};
use crate::tasks::{Attempt, AttemptId, AttemptState, hex};
use mulleinhub_interface::{FailureCause, MachineId, Outcome, PolicyEvents, Rejection, TaskId};
use mulleinhub_platform_protocol::{self as protocol, Cause, Reason, cause_code, kind};
use mulleinhub_sans_io::ConnectionId;

/// What a machine says as it releases a task.
#[derive(Clone, Copy, Debug)]
pub struct Release {
    /// The cause.
    pub cause: Cause,
    /// What it says beside the cause.
    pub detail: Option<Reason>,
}

/// A machine says that it accepted a task.
pub fn handle_acceptance(
    shared: &SharedState,
    events: &mut dyn PolicyEvents,
    connection_id: ConnectionId,
    id: TaskId,
    description: &[u8],
) {
    let mut borrowed = shared.borrow_mut();
    let state = &mut *borrowed;
    let attempt = state.tasks.attempt(id).filter(|attempt| attempt.connection() == Some(connection_id));
    let Some(attempt) = attempt else {
        return handle_late_acceptance(state, connection_id, id);
    };
    // An acceptance that comes twice changes nothing.
    if attempt.is_running() {
        return;
    }
    // Its outcome is decided and about to be settled, and its machine was told: the task does not stay there.
    if state.has_pending_outcome(attempt.id(id)) {
        return handle_late_acceptance(state, connection_id, id);
    }
    let client = mark_running(state, connection_id, id, attempt);
    settle_earlier_writes(state, attempt.machine, attempt.id(id));
    if let Some(client) = client {
        proves_itself(state, client, ClientProof::TaskKnown);
        state.send(client, |out| protocol::write_acceptance(out, id.0, description));
    }
    state.schedule_check(attempt.machine);
    lose_if_restarted(state, id);
    let machine = state.machines.connections.get(&connection_id).map(|connection| connection.machine);
    // Its connection leads to another machine, which has the address of the one that it was sent to.
    let moved_to = machine.filter(|machine| *machine != attempt.machine);
    drop(borrowed);
    events.on_accepted(id);
    if let Some(machine) = moved_to {
        move_task(&mut shared.borrow_mut(), id, machine);
        announce_moved(shared, events);
    }
}

/// A task that was accepted before its machine was restarted is gone with the process that accepted it. Seen: the
/// acceptance was read after a pause of this process, in which the machine was restarted.
fn lose_if_restarted(state: &mut SchedulerState, id: TaskId) {
    let Some(attempt) = state.tasks.attempt(id) else { return };
    let started_at = state.machines.by_id.get(&attempt.machine).and_then(|machine| machine.entry.started_at);
    if started_at.is_some_and(|started_at| attempt.running_since().is_some_and(|since| since < started_at)) {
        state.counts.lost += 1;
        state.policy_queue.push_outcome(attempt.id(id), Outcome::Lost(FailureCause::Unspecified));
    }
}

/// An acceptance of an attempt that was given up. The copy is stopped where nobody waits for it and it is of
/// no use; where a retry would be dropped in its favour, its client finds it and hands it over.
fn handle_late_acceptance(state: &mut SchedulerState, connection_id: ConnectionId, id: TaskId) {
    let Some(connection) = state.machines.connections.get_mut(&connection_id) else { return };
    let Some(given_up) = connection.take_given_up(id) else { return };
    let machine = connection.machine;
    state.counts.late_acceptances += 1;
    // An order to stop names the task alone. Where a later attempt of it is there, the order would end that one;
    // the first was given up before it. Seen: incident 22ad20.
    let is_later =
        |attempt: &Attempt| attempt.machine == machine && !state.has_pending_outcome(attempt.id(id));
    let has_later_attempt = state.tasks.attempt(id).is_some_and(|attempt| is_later(&attempt));
    let stopped = given_up.stop_if_accepted && !has_later_attempt;
    tracing::debug!(
        task = hex(id),
        connection = connection_id.0,
        machine = machine.0,
        stopped,
        "late acceptance"
    );
    if stopped {
        state.stop_running_task(machine, id, Some(connection_id));
    }
}

/// The machine runs the task from now on; returns the client that awaits the answer.
fn mark_running(
    state: &mut SchedulerState,
    connection_id: ConnectionId,
    id: TaskId,
    attempt: Attempt,
) -> Option<ConnectionId> {
    let since = state.accepted_at_earliest(connection_id);
    let running = AttemptState::Running { connection: Some(connection_id), since };
    let task = state.tasks.by_id.get_mut(&id).expect("it has an attempt");
    task.attempt = Some(Attempt { state: running, ..attempt });
    task.payload = None;
    task.may_have_run_since.get_or_insert(attempt.decided_at);
    let client = task.client;
    state.record_running(id, attempt.machine);
    let machine = attempt.machine.0;
    tracing::debug!(task = hex(id), machine, connection = connection_id.0, "task accepted");
    state.mark_answered(id);
    state.counts.placed += 1;
    if let Some(connection) = state.machines.connections.get_mut(&connection_id) {
        connection.remove_awaiting(id);
    }
    client
}

/// A machine answered this attempt: what was written before it has arrived too.
fn settle_earlier_writes(state: &mut SchedulerState, machine_id: MachineId, attempt: AttemptId) {
    let (now, window) = (state.now, state.settings.slow_start.budget_window);
    if let Some(machine) = state.machines.by_id.get_mut(&machine_id) {
        machine.slow_start.on_answered(now, window, attempt.task.0, attempt.number);
    }
    state.release_queued(machine_id);
}

/// A machine says that it released a task: it rejected the attempt, or the task ended.
pub fn handle_release(
    shared: &SharedState,
    events: &mut dyn PolicyEvents,
    connection_id: ConnectionId,
    id: TaskId,
    release: Release,
) {
    let cause = release.cause;
    tracing::debug!(task = hex(id), connection = connection_id.0, cause, "machine released task");
    let attempt = attempt_released(&mut shared.borrow_mut(), connection_id, id, release);
    let Some(attempt) = attempt else { return };
    let attempt_id = attempt.id(id);
    let is_its_connection = attempt.connection() == Some(connection_id);
    if attempt.is_running() {
        if matches!(release.cause, cause_code::FULL | cause_code::NOT_SENT) && !is_its_connection {
            // A rejection that comes twice is no end of what was sent there after the first.
            return;
        }
        prove_client_of(&mut shared.borrow_mut(), id);
        record_end(&mut shared.borrow_mut(), id, attempt.machine, release);
        settle(shared, events, attempt_id, outcome_of_running(release), release.cause);
    } else if shared.borrow().policy_queue.final_causes.contains_key(&attempt_id) {
        // The task is over with an earlier release, of which its client is about to be notified.
    } else if is_its_connection {
        // Of an unanswered attempt only its own connection tells: another one's release is about an earlier
        // attempt.
        settle_earlier_writes(&mut shared.borrow_mut(), attempt.machine, attempt_id);
        let outcome = outcome_of_unanswered(release);
        if matches!(outcome, Outcome::Lost(_)) {
            // The acceptance was lost or is still on its way, and the task has ended; a further attempt would
            // follow the end. Seen: incident 22ad20, where it came three seconds behind the release.
            return shared.borrow_mut().policy_queue.push_final_outcome(attempt_id, outcome, release.cause);
        }
        settle(shared, events, attempt_id, outcome, release.cause);
    }
}

/// Acknowledges a release; returns the attempt of the task on that machine, if the task is held.
fn attempt_released(
    state: &mut SchedulerState,
    connection_id: ConnectionId,
    id: TaskId,
    release: Release,
) -> Option<Attempt> {
    state.send(connection_id, |out| protocol::write_message(out, kind::RELEASE_ACK, id.0, &[]));
    let connection = state.machines.connections.get_mut(&connection_id)?;
    connection.given_up.retain(|given_up| given_up.task != id);
    let machine = connection.machine;
    // A rejection is the end of an attempt only, and a client that cancelled a task is not notified.
    let is_rejection = matches!(
        release.cause,
        cause_code::FULL | cause_code::BUSY | cause_code::ERROR | cause_code::NOT_SENT
    );
    if let Some(machine) = state.machines.by_id.get_mut(&machine).filter(|_| !is_rejection) {
        machine.stop_orders.remove(id);
    }
    if state.tasks.by_id.contains_key(&id) {
        let is_on =
            |attempt: &Attempt| attempt.machine == machine || attempt.connection() == Some(connection_id);
        return state.tasks.attempt(id).filter(is_on);
    }
    if !is_rejection && outcome_of_running(release) != Outcome::Cancelled {
        state.record_unheld_end(id, machine, release.cause);
    }
    None
}

/// Remembers the end of a task that ran: its machine repeats it on the next connection that it accepts, and the
/// task is not held then.
fn record_end(state: &mut SchedulerState, id: TaskId, machine: MachineId, release: Release) {
    if outcome_of_running(release) != Outcome::Cancelled {
        state.reported_ends.record(state.now, id, machine, release.cause, state.max_tasks);
    }
}

fn outcome_of_unanswered(release: Release) -> Outcome {
    match release.cause {
        cause_code::FULL => Outcome::Rejected(match release.detail {
            None => Rejection::Unspecified,
            Some(Reason::InsufficientCores) => Rejection::InsufficientCores,
            Some(Reason::InsufficientMemory) => Rejection::InsufficientMemory,
            Some(Reason::QueueFull) => Rejection::QueueFull,
            Some(Reason::NotHere) => Rejection::Ineligible,
            Some(Reason::Evicted | Reason::Preempted | Reason::Dismissed) => Rejection::Returned,
        }),
        cause_code::ERROR => Outcome::Failed,
        cause_code::NOT_SENT => Outcome::NotSent,
        _ => Outcome::Lost(FailureCause::Unspecified),
    }
}

fn outcome_of_running(release: Release) -> Outcome {
    match release.cause {
        cause_code::ENDED => Outcome::Succeeded,
        cause_code::CANCELLED => Outcome::Cancelled,
        _ => Outcome::Lost(match release.detail {
            Some(Reason::Evicted) => FailureCause::Evicted,
            Some(Reason::Preempted) => FailureCause::Preempted,
            Some(Reason::Dismissed) => FailureCause::Relocated,
            _ => FailureCause::Unspecified,
        }),
    }
}
