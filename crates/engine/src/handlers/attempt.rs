//! An attempt is accepted, starts or ends.

use crate::state::SchedulerState;
use crate::task::{AttemptId, AttemptPhase, FinalAnswer, UnresolvedAttempt};
use mulleinhub_interface::{
    FailureCause, Idempotency, LoadReport, MachineId, Outcome, PolicyEvents, Rejection,
};
use mulleinhub_protocol::{self as protocol, Message, Reason};
use mulleinhub_sans_io::ConnectionId;
use std::cell::RefCell;
use tracing::span::EnteredSpan;

/// The outcome that a machine reported, as the policy knows it.
pub(super) fn policy_outcome(ending: protocol::Ending, reason: Reason) -> Outcome {
    match ending {
        protocol::Ending::Done | protocol::Ending::Stopped => Outcome::Succeeded,
        protocol::Ending::Errored => Outcome::Failed,
        protocol::Ending::Nacked => Outcome::Rejected(match reason {
            Reason::Untold => Rejection::Unspecified,
            Reason::NoCores => Rejection::InsufficientCores,
            Reason::NoMemory => Rejection::InsufficientMemory,
            Reason::LineFull => Rejection::QueueFull,
            Reason::NotHere => Rejection::Ineligible,
            Reason::HandedBack => Rejection::Returned,
        }),
        // The machine's own statement that it dropped the offer before it accepted: proof.
        protocol::Ending::Recalled => Outcome::NotSent,
        protocol::Ending::Lost => Outcome::Lost(FailureCause::Unspecified),
        protocol::Ending::Evicted => Outcome::Lost(FailureCause::Evicted),
        protocol::Ending::PushedOut => Outcome::Lost(FailureCause::Preempted),
        protocol::Ending::SentAway | protocol::Ending::Moved => Outcome::Lost(FailureCause::Relocated),
    }
}

/// A machine accepted an attempt: its task is placed, unless the attempt is over for us.
pub(super) fn on_accepted(
    shared: &RefCell<SchedulerState>,
    events: &mut dyn PolicyEvents,
    connection: ConnectionId,
    machine: MachineId,
    id: AttemptId,
) {
    let mut borrowed = shared.borrow_mut();
    let state = &mut *borrowed;
    state.outcomes.override_by_acceptance(id);
    let Some(record) = state.tasks.get_mut(&id.task) else {
        return on_accepted_late(state, connection, machine, id);
    };
    let (cancelled, claiming, spec) = (record.cancelled, record.claiming, record.spec);
    let Some(attempt) = record.attempt.as_mut().filter(|attempt| attempt.is(machine, id.number)) else {
        return on_accepted_late(state, connection, machine, id);
    };
    if attempt.phase.is_placed() {
        return;
    }
    // Seen: a stop that was lost with its connection was never sent again, and a cancelled task ran on.
    attempt.phase = AttemptPhase::Placed { running: false, stopping: cancelled };
    let token = attempt.send_token;
    record.claiming = false;
    record.may_have_run_since.get_or_insert(attempt.decided_at);
    if let Some(quota) = &mut state.quota {
        match record.ticket {
            Some(ticket) => quota.on_running(state.now, ticket),
            None if claiming => {
                record.ticket = quota.adopt(state.now, &record.client, spec.key, spec.request);
            }
            None => {}
        }
    }
    state.send_tokens.release(token);
    if cancelled {
        state.write(connection, &Message::Stop { task: id.task.0, send: id.number, moves: false });
        return;
    }
    let _task = notify_placed(state, machine, id);
    drop(borrowed);
    if claiming { events.on_adopted_task(spec, machine) } else { events.on_accepted(id.task) }
}

/// Counts a task as placed, and notifies its client. What is logged while the span is entered belongs to the
/// task.
fn notify_placed(state: &mut SchedulerState, machine: MachineId, id: AttemptId) -> EnteredSpan {
    state.counts.placed += 1;
    let record = state.tasks.get_mut(&id.task).expect("a placed task is open");
    let (client_connection, client) = (record.client_connection, record.client.clone());
    if !std::mem::replace(&mut record.answered, true) {
        let (accepted_at, service) = (record.accepted_at, record.shape.service);
        state.settle(client_connection, accepted_at, service);
    }
    let span = tracing::debug_span!("task", id = id.task.0, client).entered();
    tracing::debug!(machine = machine.0, attempt = id.number, "placed");
    state.notify_client(client_connection, &client, &Message::Placed { task: id.task.0, machine: machine.0 });
    span
}

/// A machine started a placed task.
pub(super) fn on_started(
    shared: &RefCell<SchedulerState>,
    events: &mut dyn PolicyEvents,
    machine: MachineId,
    id: AttemptId,
) {
    let has_started = {
        let state = &mut *shared.borrow_mut();
        let attempt = state.tasks.get_mut(&id.task).and_then(|record| record.attempt.as_mut());
        attempt.filter(|attempt| attempt.is(machine, id.number)).is_some_and(|attempt| attempt.phase.start())
    };
    if has_started {
        events.on_running(id.task);
    }
}

/// A late acceptance: a machine accepted an attempt that is over for us. Nobody may count on that copy, and
/// it must not be lost sight of. An idempotent one is stopped. Of others the client learns, who may hand the
/// copy over to a scheduler before the machine ends it.
pub(super) fn on_accepted_late(
    state: &mut SchedulerState,
    connection: ConnectionId,
    machine: MachineId,
    id: AttemptId,
) {
    state.counts.late_acceptances += 1;
    // It stays known until the machine reports its end: what is written now may be lost on the way, and the
    // machine may report the copy again.
    let Some(unresolved) = state.answers.unresolved.get(&id) else {
        state.write(connection, &Message::Disown { task: id.task.0, send: id.number });
        return;
    };
    let use_case = &state.settings.use_cases[unresolved.shape.use_case as usize];
    if !unresolved.wanted || use_case.idempotency == Idempotency::Idempotent {
        state.write(connection, &Message::Stop { task: id.task.0, send: id.number, moves: false });
        return;
    }
    let (key, client) = (unresolved.shape.key, unresolved.client.clone());
    state.write(connection, &Message::Disown { task: id.task.0, send: id.number });
    // While the task is open its next attempt, within the retry scope, takes the place of this copy.
    if !state.tasks.contains_key(&id.task) {
        let message = Message::ProvesToRun { task: id.task.0, key, machine: machine.0 };
        state.notify_client(None, &client, &message);
    }
}

/// An attempt has ended: the policy learns it, and the client where the task was placed. `reported`
/// is the end that the machine itself reported, if it did.
pub(super) fn on_attempt_ended(
    shared: &RefCell<SchedulerState>,
    events: &mut dyn PolicyEvents,
    id: AttemptId,
    outcome: Outcome,
    reported: Option<protocol::Ending>,
) {
    let mut borrowed = shared.borrow_mut();
    let state = &mut *borrowed;
    let Some(record) = state.tasks.get_mut(&id.task) else { return };
    let Some(attempt) = record.attempt.filter(|attempt| attempt.number == id.number) else { return };
    record.attempt = None;
    let never_ran = matches!(outcome, Outcome::Rejected(_) | Outcome::ConnectionFailed | Outcome::NotSent);
    if !never_ran {
        record.may_have_run_since.get_or_insert(attempt.decided_at);
    }
    let (shape, client, client_connection) = (record.shape, record.client.clone(), record.client_connection);
    let (wanted, claiming) = (!record.cancelled, record.claiming);
    let _task = tracing::debug_span!("task", id = id.task.0, client).entered();
    tracing::debug!(machine = attempt.machine.0, attempt = id.number, ?outcome, "closed");
    state.send_tokens.release(attempt.send_token);
    state.outcomes.remove(id);
    if !never_ran && reported.is_none() {
        // Not the machine's own statement: a copy may run.
        let unresolved = UnresolvedAttempt { shape, client: client.clone(), wanted };
        state.keep_unresolved(id, unresolved);
    }
    if claiming {
        state.notify_client(client_connection, &client, &Message::Unknown { task: id.task.0 });
        state.tasks.remove(&id.task);
        return;
    }
    let is_placed = attempt.phase.is_placed();
    if is_placed {
        state.finish(id.task, FinalAnswer::Ended(reported.unwrap_or(protocol::Ending::Lost)));
    } else if !wanted {
        state.finish(id.task, FinalAnswer::Cancelled);
    }
    drop(borrowed);
    events.on_attempt_ended(id.task, outcome, is_placed || !wanted, LoadReport::default());
}

/// Handles the outcomes that this side has established: in the last scheduling round, or in this iteration.
pub fn handle_outcomes(shared: &RefCell<SchedulerState>, events: &mut dyn PolicyEvents) {
    loop {
        let next = shared.borrow_mut().outcomes.pop();
        let Some(ended) = next else { return };
        on_attempt_ended(shared, events, ended.attempt, ended.outcome, None);
    }
}
