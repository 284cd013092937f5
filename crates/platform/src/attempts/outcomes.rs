//! Outcomes of attempts, on their way to the policy.

use crate::state::{SchedulerState, SharedState};
use crate::tasks::{Attempt, AttemptId, hex};
use mulleinhub_interface::{LoadReport, Outcome, PolicyEvents, TaskId};
use mulleinhub_platform_protocol::{self as protocol, Cause, cause_code};

/// Notifies the policy of the cancelled tasks, and of the outcomes that this side found out.
pub fn settle_pending(shared: &SharedState, events: &mut dyn PolicyEvents) {
    crate::clients::report_cancelled(shared, events);
    loop {
        let next = shared.borrow_mut().policy_queue.outcomes.pop_front();
        let Some((attempt, outcome)) = next else { return };
        let final_cause = shared.borrow_mut().policy_queue.final_causes.remove(&attempt);
        if let Some(cause) = final_cause {
            answer_ended_task(&mut shared.borrow_mut(), attempt.task, cause);
        }
        settle(shared, events, attempt, outcome, cause_code::RESET);
    }
}

/// Gives the final answer of a task that has ended before its acceptance was received.
fn answer_ended_task(state: &mut SchedulerState, id: TaskId, cause: Cause) {
    let Some(task) = state.tasks.by_id.get(&id).filter(|task| task.awaits_answer()) else { return };
    let client = task.client;
    state.mark_refused(id);
    state.counts.failed += 1;
    if let Some(client) = client {
        state.send(client, |out| protocol::write_rejection(out, id.0, cause, 0));
    }
}

/// Settles an attempt with its outcome, unless it is settled already: the policy is notified, and the client
/// where its task ended.
pub fn settle(
    shared: &SharedState,
    events: &mut dyn PolicyEvents,
    attempt_id: AttemptId,
    outcome: Outcome,
    cause: Cause,
) {
    let AttemptId { task, number } = attempt_id;
    tracing::debug!(task = hex(task), attempt = number, ?outcome, cause, "attempt ended");
    let is_task_over = {
        let state = &mut *shared.borrow_mut();
        let Some(attempt) = state.tasks.attempt(task).filter(|attempt| attempt.number == number) else {
            return;
        };
        remove_attempt(state, task, attempt);
        if attempt.is_running() {
            end_running_task(state, task, cause);
            true
        } else {
            end_unanswered_attempt(state, task, attempt, outcome)
        }
    };
    events.on_attempt_ended(task, outcome, is_task_over, LoadReport::default());
}

fn remove_attempt(state: &mut SchedulerState, id: TaskId, attempt: Attempt) {
    state.tasks.by_id.get_mut(&id).expect("it has an attempt").attempt = None;
    if attempt.is_running() {
        state.tasks.remove_running(id, attempt.machine);
    }
    let connection_id = attempt.connection();
    if let Some(connection) = connection_id.and_then(|id| state.machines.connections.get_mut(&id)) {
        connection.remove_awaiting(id);
        if !attempt.is_running() {
            connection.record_refused(id);
        }
    }
}

/// A task that ran has ended. A client that cancelled it is not notified, nor one that cancelled or moved it as its
/// machine says.
fn end_running_task(state: &mut SchedulerState, id: TaskId, cause: Cause) {
    let task = state.forget_task(id).expect("it had an attempt");
    if !task.is_cancelled() && cause != cause_code::CANCELLED {
        state.report_end(task.client, id, cause);
    }
}

/// An attempt ended before its machine accepted the task. True where the task is over with it.
fn end_unanswered_attempt(
    state: &mut SchedulerState,
    id: TaskId,
    attempt: Attempt,
    outcome: Outcome,
) -> bool {
    let task = state.tasks.by_id.get_mut(&id).expect("it had an attempt");
    if !matches!(outcome, Outcome::Rejected(_) | Outcome::ConnectionFailed | Outcome::NotSent) {
        task.may_have_run_since.get_or_insert(attempt.decided_at);
    }
    let is_cancelled = task.is_cancelled();
    if is_cancelled {
        state.forget_task(id);
    }
    is_cancelled
}
