//! Requests of clients: tasks to accept, to cancel, to ask about or to hand over.

use super::Handled;
use super::status::status;
use super::task::{check_use_case, new_record, task_spec};
use crate::machine::MachineSlot;
use crate::state::SchedulerState;
use crate::task::{Attempt, AttemptId, AttemptPhase, FinalAnswer, TaskRecord};
use crate::timer::Timer;
use mulleinhub_interface::{Duration, MachineId, Outcome, PolicyEvents, TaskId, TaskSpec, Ticket, Timestamp};
use mulleinhub_protocol::{Bad, Message, Shape};
use mulleinhub_sans_io::ConnectionId;
use std::cell::RefCell;

/// Who sent a request.
#[derive(Clone, Copy)]
struct Requester<'a> {
    connection: ConnectionId,
    name: &'a str,
}

/// Handles one message of a client that has greeted.
pub(super) fn on_client_message(
    shared: &RefCell<SchedulerState>,
    events: &mut dyn PolicyEvents,
    connection: ConnectionId,
    name: &str,
    message: &Message<'_>,
) -> Handled {
    let client = Requester { connection, name };
    match message {
        Message::Ask { task, shape, patience, clock } => {
            let spec = {
                let state = &mut *shared.borrow_mut();
                let left = Duration::from_nanos(*patience) - state.queueing_delay(connection, *clock);
                accept_task(state, client, TaskId(*task), shape, left)?
            };
            if let Some(spec) = spec {
                events.on_new_task(spec);
            }
            Ok(())
        }
        Message::Withdraw { task } => cancel_task(shared, events, name, TaskId(*task)),
        Message::Learn { task } => {
            let state = &mut *shared.borrow_mut();
            if !report_known(state, client, TaskId(*task), None)? {
                state.write(connection, &Message::Unknown { task: *task });
            }
            Ok(())
        }
        Message::HandOver { task, shape, machine } => {
            let state = &mut *shared.borrow_mut();
            claim_task(state, client, TaskId(*task), shape, MachineId(*machine))
        }
        Message::StatusAsk {} => {
            let state = &mut *shared.borrow_mut();
            let text = status(state);
            state.write(connection, &Message::Status { words: &text });
            Ok(())
        }
        _ => Err(Bad("not a message of a client".into())),
    }
}

/// The client says that a machine holds this task, and hands it over: the machine is asked whether it does.
fn claim_task(
    state: &mut SchedulerState,
    client: Requester<'_>,
    id: TaskId,
    shape: &Shape,
    machine: MachineId,
) -> Handled {
    check_use_case(state, shape)?;
    if report_known(state, client, id, Some(shape.key))? {
        return Ok(());
    }
    let Some(to) = state.machines.get(&machine).and_then(MachineSlot::ready) else {
        state.write(client.connection, &Message::Unknown { task: id.0 });
        return Ok(());
    };
    let times_out_at = state.now + state.settings.ping_timeout;
    let attempt = Attempt {
        number: 0,
        machine,
        connection: Some(to),
        send_token: 0,
        decided_at: state.now,
        times_out_at,
        phase: AttemptPhase::Offered,
    };
    let spec = task_spec(id, shape, Timestamp::from_nanos(u64::MAX));
    let record = TaskRecord {
        claiming: true,
        answered: true,
        attempt: Some(attempt),
        attempts: 1,
        ..new_record(spec, *shape, client.name, client.connection, state.now)
    };
    state.tasks.insert(id, record);
    state.write(to, &Message::Claim { task: id.0, send: 0, key: shape.key, owner: client.name });
    state.timers.schedule(times_out_at, Timer::ClaimTimeout(id));
    Ok(())
}

/// Answers a client that asks again with what is known of a task; false where nothing is. The newest
/// connection of the client receives what follows.
///
/// # Errors
/// Where the task is another client's.
fn report_known(
    state: &mut SchedulerState,
    client: Requester<'_>,
    id: TaskId,
    key: Option<u64>,
) -> Result<bool, Bad> {
    let belongs_to_another = || Bad(format!("task {} is another's", id.0));
    if let Some(record) = state.tasks.get_mut(&id) {
        if record.client != client.name || key.is_some_and(|key| key != record.shape.key) {
            return Err(belongs_to_another());
        }
        let before = record.client_connection.replace(client.connection);
        let is_owed = !record.answered;
        let placed = record.attempt.filter(|attempt| attempt.phase.is_placed());
        let answer = match placed {
            Some(attempt) => Message::Placed { task: id.0, machine: attempt.machine.0 },
            None => Message::Taken { task: id.0 },
        };
        state.write(client.connection, &answer);
        if is_owed {
            state.count_open_task(before, false);
            state.count_open_task(Some(client.connection), true);
        }
        return Ok(true);
    }
    let Some((answer, name)) = state.answers.answers.get(&id) else { return Ok(false) };
    if name != client.name {
        return Err(belongs_to_another());
    }
    let message = answer.message(id);
    state.write(client.connection, &message);
    Ok(true)
}

/// Accepts a task, unless it is known or rejected at once.
fn accept_task(
    state: &mut SchedulerState,
    client: Requester<'_>,
    id: TaskId,
    shape: &Shape,
    time_left: Duration,
) -> Result<Option<TaskSpec>, Bad> {
    check_use_case(state, shape)?;
    if report_known(state, client, id, Some(shape.key))? {
        return Ok(None);
    }
    let longest = state.settings.use_cases[shape.use_case as usize].client_timeout;
    let time_left = time_left.min(longest);
    let spec = task_spec(id, shape, state.now + time_left);
    let admitted = match time_left {
        Duration::ZERO => Err(Duration::ZERO),
        _ => admit(state, client.name, shape, &spec),
    };
    let ticket = match admitted {
        Ok(ticket) => ticket,
        Err(stay_away) => {
            let rejected = Message::Nacked { task: id.0, stay_away: stay_away.nanos() };
            state.write(client.connection, &rejected);
            return Ok(None);
        }
    };
    let record = new_record(spec, *shape, client.name, client.connection, state.now);
    state.tasks.insert(id, TaskRecord { ticket, ..record });
    state.counts.accepted += 1;
    state.count_open_task(Some(client.connection), true);
    state.write(client.connection, &Message::Taken { task: id.0 });
    Ok(Some(spec))
}

/// Whether a task can be accepted: a list of machines is known or on its way, and there is capacity within
/// the quota of its tenant and within the limit of open tasks.
///
/// # Errors
/// For how long its client is to stay away.
fn admit(
    state: &mut SchedulerState,
    name: &str,
    shape: &Shape,
    spec: &TaskSpec,
) -> Result<Option<Ticket>, Duration> {
    if state.shutting_down {
        return Err(Duration::ZERO);
    }
    if !state.endpoint_list.known && state.endpoint_list.fault.is_some() {
        // No machine is known, and the list service is not asked again before this.
        return Err(state.settings.reconnect_backoff);
    }
    let ticket = match &mut state.quota {
        Some(quota) => quota.admit(state.now, name, spec.key, spec.request, state.random.fraction())?,
        None => None,
    };
    let admitted = state.clients.admission.try_admit(state.now, shape.service);
    if admitted.is_err()
        && let (Some(quota), Some(ticket)) = (&mut state.quota, ticket)
    {
        quota.on_never_ran(state.now, ticket);
    }
    admitted.map(|()| ticket)
}

/// Closes a task that its client wants no more: its attempt in flight is retracted, cancelled or stopped.
fn cancel_task(
    shared: &RefCell<SchedulerState>,
    events: &mut dyn PolicyEvents,
    name: &str,
    id: TaskId,
) -> Handled {
    let mut borrowed = shared.borrow_mut();
    let state = &mut *borrowed;
    // Copies of earlier attempts that prove to run from now on are nobody's. Seen: such a copy was disowned,
    // ran on until its machine ended it, and its client was asked to claim it.
    let earlier = state
        .answers
        .unresolved
        .range_mut(AttemptId { task: id, number: 0 }..=AttemptId { task: id, number: u32::MAX });
    for (_, unresolved) in earlier {
        unresolved.wanted &= unresolved.client != name;
    }
    let Some(record) = state.tasks.get_mut(&id) else { return Ok(()) };
    if record.client != name {
        return Err(Bad(format!("task {} is another's", id.0)));
    }
    record.cancelled = true;
    match record.attempt.as_mut() {
        None => state.finish(id, FinalAnswer::Cancelled),
        Some(attempt) => {
            attempt.phase.stop();
            let attempt = *attempt;
            cancel_in_flight(state, id, &attempt);
        }
    }
    drop(borrowed);
    events.on_client_cancelled(id);
    Ok(())
}

/// Cancels an attempt in flight: retracts an unsent offer, cancels a sent one, stops a placed task.
fn cancel_in_flight(state: &mut SchedulerState, id: TaskId, attempt: &Attempt) {
    let send = attempt.number;
    if attempt.phase.is_placed() {
        if let Some(to) = state.machines.get(&attempt.machine).and_then(MachineSlot::ready) {
            state.write(to, &Message::Stop { task: id.0, send, moves: false });
        }
    } else if state.retract_offer(id) {
        state.outcomes.push(attempt.id(id), Outcome::NotSent);
    } else if let Some(to) = attempt.connection {
        state.write(to, &Message::Recall { task: id.0, send });
    }
}
