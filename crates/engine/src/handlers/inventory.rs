//! The inventory of a machine: the tasks that it reports after a handshake, and what it proves of those that
//! it lacks.

use super::attempt::{on_accepted, on_accepted_late, on_attempt_ended, on_started, policy_outcome};
use super::task::{check_use_case, new_record, task_spec};
use crate::state::{AttemptOutcome, SchedulerState};
use crate::task::{Attempt, AttemptId, AttemptPhase, TaskRecord};
use mulleinhub_interface::{FailureCause, MachineId, Outcome, PolicyEvents, TaskId, Timestamp};
use mulleinhub_protocol::{self as protocol, Message, Reason};
use mulleinhub_sans_io::ConnectionId;
use std::cell::RefCell;

/// What is known of a task of the inventory.
struct Known {
    /// Its attempt in flight is this one.
    is_in_flight: bool,
    /// The machine's inventory was complete once before.
    is_inventory_known: bool,
    /// The task is open, or the attempt is kept as unresolved.
    is_known: bool,
}

/// Handles one task of the inventory: ours, of an earlier incarnation of ours, or over for us.
pub(super) fn on_reported_task(
    shared: &RefCell<SchedulerState>,
    events: &mut dyn PolicyEvents,
    connection: ConnectionId,
    machine: MachineId,
    reported: &protocol::Held<'_>,
) {
    let id = AttemptId::new(reported.task, reported.send);
    let known = note_reported(&mut shared.borrow_mut(), connection, machine, id);
    let Some(known) = known else { return };
    if reported.ended.is_some() {
        let state = &mut *shared.borrow_mut();
        state.write(connection, &Message::Heard { task: reported.task, send: reported.send });
        state.answers.unresolved.remove(&id);
    }
    match (known.is_in_flight, reported.ended) {
        (true, Some(ending)) => {
            let outcome = policy_outcome(ending, Reason::Untold);
            on_attempt_ended(shared, events, id, outcome, Some(ending));
        }
        (true, None) => {
            on_accepted(shared, events, connection, machine, id);
            if reported.runs {
                on_started(shared, events, machine, id);
            }
        }
        (false, Some(_)) => {}
        // Our earlier incarnation placed it: it is ours again, with all that it counts for.
        (false, None) if !known.is_inventory_known && !known.is_known => {
            adopt(shared, events, connection, machine, reported);
        }
        (false, None) => {
            on_accepted_late(&mut shared.borrow_mut(), connection, machine, id);
        }
    }
}

/// Notes that the machine reported an attempt. None where the machine is not listed any more.
fn note_reported(
    state: &mut SchedulerState,
    connection: ConnectionId,
    machine: MachineId,
    id: AttemptId,
) -> Option<Known> {
    let slot = state.machines.get_mut(&machine)?;
    slot.reported.push(id);
    let is_inventory_known = slot.inventory_known;
    let attempt = state.tasks.get_mut(&id.task).and_then(|record| record.attempt.as_mut());
    let attempt = attempt.filter(|attempt| attempt.is(machine, id.number));
    let is_in_flight = attempt.is_some();
    if let Some(attempt) = attempt {
        attempt.connection = Some(connection);
    }
    let is_known = state.tasks.contains_key(&id.task) || state.answers.unresolved.contains_key(&id);
    Some(Known { is_in_flight, is_inventory_known, is_known })
}

/// Takes over a task that an earlier incarnation of ours placed.
fn adopt(
    shared: &RefCell<SchedulerState>,
    events: &mut dyn PolicyEvents,
    connection: ConnectionId,
    machine: MachineId,
    reported: &protocol::Held<'_>,
) {
    let id = TaskId(reported.task);
    let spec = task_spec(id, &reported.shape, Timestamp::from_nanos(u64::MAX));
    {
        let state = &mut *shared.borrow_mut();
        if check_use_case(state, &reported.shape).is_err() {
            tracing::error!(
                task = reported.task,
                machine = machine.0,
                "task of an unknown use case disowned"
            );
            state.write(connection, &Message::Disown { task: reported.task, send: reported.send });
            return;
        }
        let now = state.now;
        let attempt = Attempt {
            number: reported.send,
            machine,
            connection: Some(connection),
            send_token: 0,
            decided_at: now,
            times_out_at: now,
            phase: AttemptPhase::Placed { running: reported.runs, stopping: false },
        };
        let record = new_record(spec, reported.shape, reported.owner, connection, now);
        let ticket =
            state.quota.as_mut().and_then(|quota| quota.adopt(now, reported.owner, spec.key, spec.request));
        let adopted = TaskRecord {
            ticket,
            client_connection: None,
            attempts: reported.send + 1,
            attempt: Some(attempt),
            may_have_run_since: Some(now),
            answered: true,
            ..record
        };
        state.tasks.insert(id, adopted);
    }
    events.on_adopted_task(spec, machine);
}

/// The inventory is complete: the machine never accepted what it lacks, and offers may be written.
pub(super) fn on_inventory_complete(
    shared: &RefCell<SchedulerState>,
    events: &mut dyn PolicyEvents,
    connection: ConnectionId,
    machine: MachineId,
) {
    let resolved = resolve(&mut shared.borrow_mut(), connection, machine);
    for ended in resolved {
        on_attempt_ended(shared, events, ended.attempt, ended.outcome, None);
    }
    shared.borrow_mut().release_offers(machine);
}

/// The attempts whose outcome is known by a complete inventory. Stops that may have been lost are sent again.
fn resolve(state: &mut SchedulerState, connection: ConnectionId, machine: MachineId) -> Vec<AttemptOutcome> {
    let Some(slot) = state.machines.get_mut(&machine) else { return Vec::new() };
    slot.on_ready(connection);
    let was_known = std::mem::replace(&mut slot.inventory_known, true);
    let reported = std::mem::take(&mut slot.reported);
    let mut resolved = Vec::new();
    if !was_known && !reported.is_empty() {
        // What waits was decided on without knowing what the machine holds. Seen when a scheduler had
        // started while a machine hung: its offers were written with the inventory, and broke the spread.
        let waiting = std::mem::take(&mut slot.waiting);
        let not_sent = |attempt| AttemptOutcome { attempt, outcome: Outcome::NotSent };
        resolved.extend(waiting.into_iter().map(not_sent));
    }
    let mut stops_to_repeat = Vec::new();
    for (task, attempt) in state.attempts_on(machine) {
        let id = attempt.id(task);
        let is_here = reported.contains(&id);
        if is_here && attempt.phase.is_stopping() {
            stops_to_repeat.push(id);
        }
        // A new incarnation is dealt with by the outcomes that its welcome established.
        let is_over = state.outcomes.contains(id);
        let is_older = attempt.connection.is_some_and(|offered_on| offered_on != connection);
        if !is_here && !is_over && is_older {
            let outcome = match attempt.phase.is_placed() {
                true => Outcome::Lost(FailureCause::Unspecified),
                false => Outcome::NotSent,
            };
            resolved.push(AttemptOutcome { attempt: id, outcome });
        }
    }
    for id in stops_to_repeat {
        let moves = !state.tasks[&id.task].cancelled;
        state.write(connection, &Message::Stop { task: id.task.0, send: id.number, moves });
    }
    resolved
}
