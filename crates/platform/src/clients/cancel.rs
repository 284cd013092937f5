//! Clients that cancel tasks, leave, or have their connection closed.

use crate::state::{SchedulerState, SharedState};
use crate::tasks::{ClientInterest, hex};
use mulleinhub_interface::{Outcome, PolicyEvents, TaskId};
use mulleinhub_platform_protocol::{self as protocol, cause_code};
use mulleinhub_sans_io::ConnectionId;

/// A client cancels a task: one that waits for its answer on this very connection, or one that runs.
pub fn cancel_task(state: &mut SchedulerState, connection_id: ConnectionId, id: TaskId) {
    tracing::debug!(task = hex(id), connection = connection_id.0, "client cancels");
    if state.adoptions.cancel(id) {
        return;
    }
    let Some(task) = state.tasks.by_id.get_mut(&id) else { return };
    let Some(attempt) = task.running_attempt() else {
        if task.client == Some(connection_id) {
            cancel_unanswered(state, id);
        }
        return;
    };
    task.interest = ClientInterest::Cancelled;
    state.stop_running_task(attempt.machine, id, attempt.connection());
    state.policy_queue.cancelled.push(id);
}

/// Nobody waits for the answer of this task any more.
fn cancel_unanswered(state: &mut SchedulerState, id: TaskId) {
    if state.tasks.by_id.get(&id).is_none_or(|task| !task.awaits_answer()) {
        return;
    }
    state.mark_answered(id);
    let task = state.tasks.by_id.get_mut(&id).expect("checked to be there");
    task.interest = ClientInterest::Cancelled;
    let client = task.client.take();
    if client.is_some_and(|client| state.clients.forget_admitted(client, id)) {
        // The policy was not notified of it, and is not to be of a later task with the same id in its place.
        state.tasks.by_id.remove(&id);
        return;
    }
    let task = &state.tasks.by_id[&id];
    if task.attempt.is_some() {
        state.end_attempt(id, Outcome::Cancelled);
    } else {
        state.forget_task(id);
    }
    state.policy_queue.cancelled.push(id);
}

/// Notifies the policy of the tasks that nobody wants any more.
pub fn report_cancelled(shared: &SharedState, events: &mut dyn PolicyEvents) {
    let cancelled = std::mem::take(&mut shared.borrow_mut().policy_queue.cancelled);
    cancelled.into_iter().for_each(|id| events.on_client_cancelled(id));
}

/// Closes a client's connection from this side. Nothing that was admitted on it is left without an answer.
pub fn close_client(state: &mut SchedulerState, connection_id: ConnectionId) {
    for id in state.clients.awaiting_on(connection_id) {
        state.send(connection_id, |out| protocol::write_rejection(out, id.0, cause_code::ERROR, 0));
        cancel_unanswered(state, id);
    }
    state.drop_client(connection_id);
}

/// A client has left: its unanswered tasks are cancelled.
pub fn cancel_awaiting(state: &mut SchedulerState, connection_id: ConnectionId) {
    for id in state.clients.awaiting_on(connection_id) {
        cancel_unanswered(state, id);
    }
}

/// A client's connection was closed by the client or broke: its unanswered tasks are cancelled.
pub fn remove_disconnected_client(state: &mut SchedulerState, connection_id: ConnectionId) {
    cancel_awaiting(state, connection_id);
    let client = state.clients.remove(connection_id);
    state.connections.abort(connection_id);
    if let Some(client) = client {
        state.repeat_unacknowledged_ends(client);
    }
}
