//! Messages of machines.

use super::Handled;
use super::attempt::{on_accepted, on_attempt_ended, on_started, policy_outcome};
use super::inventory::{on_inventory_complete, on_reported_task};
use crate::state::{AttemptOutcome, SchedulerState};
use crate::task::AttemptId;
use mulleinhub_interface::{FailureCause, LoadReport, MachineId, Outcome, PolicyEvents, Resources, TaskId};
use mulleinhub_protocol::{self as protocol, Bad, Message, Reason};
use mulleinhub_sans_io::ConnectionId;
use std::cell::RefCell;

/// Handles one message of a machine.
pub(super) fn on_machine_message(
    shared: &RefCell<SchedulerState>,
    events: &mut dyn PolicyEvents,
    connection: ConnectionId,
    machine: MachineId,
    message: &Message<'_>,
) -> Handled {
    match message {
        Message::Welcome { life, .. } => return on_welcome(shared, events, connection, machine, *life),
        Message::Holds { tasks, last } => {
            for reported in tasks {
                on_reported_task(shared, events, connection, machine, reported);
            }
            if *last {
                on_inventory_complete(shared, events, connection, machine);
            }
        }
        Message::Accepted { task, send } => {
            let attempt = AttemptId::new(*task, *send);
            shared.borrow_mut().on_offer_answered(machine, attempt);
            on_accepted(shared, events, connection, machine, attempt);
        }
        Message::Runs { task, send } => on_started(shared, events, machine, AttemptId::new(*task, *send)),
        Message::Note { .. } => on_usage_note(shared, events, machine, message),
        Message::Closed { task, send, ending, reason } => {
            let report =
                EndReport { attempt: AttemptId::new(*task, *send), ending: *ending, reason: *reason };
            on_reported_end(shared, events, connection, machine, report);
        }
        Message::Report { cores_unused, memory_unused, .. } => {
            let unused = cores_unused.zip(*memory_unused);
            let unused = unused.map(|(cores, memory)| Resources::new(cores, memory));
            events.on_health_check(machine, LoadReport { unused });
        }
        _ => return Err(Bad("not a message of a machine".into())),
    }
    Ok(())
}

/// How a placed task fares: its usage, its service level, and its machine's memory.
fn on_usage_note(
    shared: &RefCell<SchedulerState>,
    events: &mut dyn PolicyEvents,
    machine: MachineId,
    message: &Message<'_>,
) {
    let Message::Note { task, cores, memory, served, machine_memory } = message else { return };
    let id = TaskId(*task);
    if !is_placed_on(&shared.borrow(), id, machine) {
        return;
    }
    if cores.is_some() || memory.is_some() {
        events.on_usage(id, *cores, *memory);
    }
    if let Some(served) = served {
        events.on_service_level(id, *served);
    }
    if let Some(share) = machine_memory {
        events.on_machine_memory(id, *share);
    }
}

/// A machine answered our greeting. In another incarnation than the last it holds nothing that the earlier
/// one was sent.
fn on_welcome(
    shared: &RefCell<SchedulerState>,
    events: &mut dyn PolicyEvents,
    connection: ConnectionId,
    machine: MachineId,
    incarnation: u64,
) -> Handled {
    let mut borrowed = shared.borrow_mut();
    let state = &mut *borrowed;
    let Some(peer) = state.peers.get_mut(&connection) else { return Ok(()) };
    if std::mem::replace(&mut peer.greeted, true) {
        return Err(Bad("a second welcome".into()));
    }
    let Some(slot) = state.machines.get_mut(&machine) else { return Ok(()) };
    slot.reported.clear();
    // Before its first handshake the endpoint list's word holds, also one that our last incarnation cached.
    if slot.incarnation.replace(incarnation).unwrap_or(slot.listed_incarnation) == incarnation {
        return Ok(());
    }
    slot.gate.extend_slow_start(state.now + state.settings.slow_start.warm_up_time);
    // What waits was decided on for a warm machine. Seen: all of it reached the cold one at once.
    let waiting = std::mem::take(&mut slot.waiting);
    // Whatever the earlier incarnation was sent or held is gone with it. No answer to it can arrive any more:
    // its connection is over, and this one began after it.
    let attempts = state.attempts_on(machine).into_iter();
    let lost = attempts.filter(|(_, attempt)| attempt.connection.is_some()).map(|(id, attempt)| {
        AttemptOutcome { attempt: attempt.id(id), outcome: Outcome::Lost(FailureCause::Unspecified) }
    });
    state.outcomes.extend(lost);
    for attempt in waiting {
        state.outcomes.push(attempt, Outcome::NotSent);
    }
    drop(borrowed);
    events.on_machine_restarted(machine);
    Ok(())
}

fn is_placed_on(state: &SchedulerState, id: TaskId, machine: MachineId) -> bool {
    let attempt = state.tasks.get(&id).and_then(|record| record.attempt);
    attempt.is_some_and(|attempt| attempt.phase.is_placed() && attempt.machine == machine)
}

/// The end of an attempt as its machine reports it.
#[derive(Clone, Copy)]
struct EndReport {
    attempt: AttemptId,
    ending: protocol::Ending,
    reason: Reason,
}

/// A machine reported the end of an attempt, which is acknowledged whether or not it is ours.
fn on_reported_end(
    shared: &RefCell<SchedulerState>,
    events: &mut dyn PolicyEvents,
    connection: ConnectionId,
    machine: MachineId,
    report: EndReport,
) {
    let id = report.attempt;
    let attempt = {
        let state = &mut *shared.borrow_mut();
        state.write(connection, &Message::Heard { task: id.task.0, send: id.number });
        state.on_offer_answered(machine, id);
        state.answers.unresolved.remove(&id);
        state.tasks.get(&id.task).and_then(|record| record.attempt)
    };
    if attempt.is_some_and(|attempt| attempt.is(machine, id.number)) {
        let outcome = policy_outcome(report.ending, report.reason);
        on_attempt_ended(shared, events, id, outcome, Some(report.ending));
    }
}
