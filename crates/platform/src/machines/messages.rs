//! Handling what machines send.

use super::disconnect::break_connection;
use super::{SignOfLife, handle_disconnect, replies};
use crate::clients::prove_client_of;
use crate::error::ProtocolError;
use crate::state::{SchedulerState, SharedState};
use crate::tasks::{TaskRecord, hex};
use crate::timers::TimerEvent;
use mulleinhub_interface::{Duration, PolicyEvents, TaskId};
use mulleinhub_platform_protocol::{self as protocol, Frame, FrameBuffer, kind};
use mulleinhub_sans_io::ConnectionId;

/// A message of a machine must be complete within this; the end of a task is to be reported within a second.
const MESSAGE_TIMEOUT: Duration = Duration::from_nanos(500_000_000);

/// Handles everything that was received on a connection to a machine, and its close after that.
pub fn handle_input(shared: &SharedState, events: &mut dyn PolicyEvents, connection_id: ConnectionId) {
    let take_frames = |state: &mut SchedulerState| {
        Some(std::mem::take(&mut state.machines.connections.get_mut(&connection_id)?.frames))
    };
    let Some(mut frames) = take_frames(&mut shared.borrow_mut()) else { return };
    let handled = handle_frames(shared, events, connection_id, &mut frames);
    let state = &mut *shared.borrow_mut();
    if let Err(error) = &handled {
        state.counts.bad_machines += 1;
        state.warn("machine protocol error; connection closed", &error.to_string());
        return break_connection(state, connection_id);
    }
    let Some(connection) = state.machines.connections.get_mut(&connection_id) else { return };
    frames.release_if_empty();
    let has_partial = frames.unprocessed() > 0;
    connection.frames = frames;
    connection.unread_wait = Duration::ZERO;
    if let Some(reason) = connection.close_reason {
        return handle_disconnect(state, connection_id, reason);
    }
    watch_partial_message(state, connection_id, has_partial, handled.is_ok_and(|any| any));
}

/// A part of a message is left, or none any more: the rest must come in time, however slowly bytes of it do.
fn watch_partial_message(
    state: &mut SchedulerState,
    connection_id: ConnectionId,
    has_partial: bool,
    handled_any: bool,
) {
    let now = state.now;
    let Some(connection) = state.machines.connections.get_mut(&connection_id) else { return };
    let since = connection.partial_since.filter(|_| has_partial && !handled_any);
    connection.partial_since = has_partial.then_some(since.unwrap_or(now));
    if has_partial && since.is_none() {
        state.timers.schedule(now + MESSAGE_TIMEOUT, TimerEvent::PartialMessage(connection_id));
    }
}

/// Ends a connection on which a message of the machine has stopped short: what follows it there can't be told apart
/// from its rest. Seen: the report of another task was taken for that, and its client was never notified.
pub fn check_partial_message(state: &mut SchedulerState, connection_id: ConnectionId) {
    let Some(connection) = state.machines.connections.get(&connection_id) else { return };
    if connection.partial_since.is_some_and(|since| state.now - since >= MESSAGE_TIMEOUT) {
        state.counts.bad_machines += 1;
        let error = ProtocolError::IncompleteMessage.to_string();
        state.warn("machine protocol error; connection closed", &error);
        break_connection(state, connection_id);
    }
}

/// Handles the complete messages; returns whether there were any.
fn handle_frames(
    shared: &SharedState,
    events: &mut dyn PolicyEvents,
    connection_id: ConnectionId,
    frames: &mut FrameBuffer,
) -> Result<bool, ProtocolError> {
    let mut handled_any = false;
    while let Some(frame) = frames.next_frame()? {
        record_liveness(&mut shared.borrow_mut(), connection_id, &frame);
        handle_message(shared, events, connection_id, &frame)?;
        handled_any = true;
    }
    Ok(handled_any)
}

/// An acceptance, a note, or the end of a task that runs shows that a machine is alive.
///
/// A rejection says nothing about what runs there, nor does a health check, passed or failed. Seen: machines
/// that had stopped passed health checks, and rejected start requests, on the connections they had left open,
/// and clients were notified of ends there too late; machines that drained failed them, and hundreds of tasks
/// of a day were released while they ran.
///
/// A message may have been long on its way, so an acceptance is a sign for the time of its start request. Seen:
/// the acceptance of another task came three seconds late, after its machine had stopped, and clients were
/// notified too late. What is sent unasked has no such date; what it takes on its way is in the margin of
/// `LOST_PART`.
fn record_liveness(state: &mut SchedulerState, connection_id: ConnectionId, frame: &Frame<'_>) {
    let task = state.tasks.by_id.get(&TaskId(frame.task));
    let sign = match frame.kind {
        kind::ACCEPT => {
            let attempt = task.and_then(|task| task.attempt);
            let attempt = attempt.filter(|attempt| attempt.connection() == Some(connection_id));
            attempt.map(|attempt| (attempt.decided_at, SignOfLife::Accepted))
        }
        kind::RELEASE if task.is_none_or(|task| task.running_attempt().is_none()) => None,
        kind::NOTE => Some((state.earliest_sent_at(connection_id), SignOfLife::Noted)),
        kind::RELEASE => Some((state.earliest_sent_at(connection_id), SignOfLife::Released)),
        _ => None,
    };
    if let Some((at, sign)) = sign {
        state.machines.mark_alive_on(connection_id, at, sign);
    }
}

fn handle_message(
    shared: &SharedState,
    events: &mut dyn PolicyEvents,
    connection_id: ConnectionId,
    frame: &Frame<'_>,
) -> Result<(), ProtocolError> {
    let id = TaskId(frame.task);
    match frame.kind {
        kind::ACCEPT => {
            let description = frame.param(protocol::code::DESCRIPTION);
            let description = description.ok_or(ProtocolError::MissingDescription)?;
            replies::handle_acceptance(shared, events, connection_id, id, description);
        }
        kind::RELEASE => {
            let cause = protocol::cause(frame).ok_or(ProtocolError::MissingCause)?;
            let release = replies::Release { cause, detail: protocol::reason(frame) };
            replies::handle_release(shared, events, connection_id, id, release);
        }
        kind::NOTE => handle_note(shared, events, connection_id, id, frame),
        kind::PROGRESS | kind::RELEASE_ACK | kind::HEALTH_RESULT => {}
        other => return Err(ProtocolError::UnexpectedType(other)),
    }
    Ok(())
}

/// A note about a task that runs on this machine.
fn handle_note(
    shared: &SharedState,
    events: &mut dyn PolicyEvents,
    connection_id: ConnectionId,
    id: TaskId,
    frame: &Frame<'_>,
) {
    let runs_there = {
        let state = shared.borrow();
        let machine = state.machines.connections.get(&connection_id).map(|connection| connection.machine);
        let attempt = state.tasks.by_id.get(&id).and_then(TaskRecord::running_attempt);
        attempt.is_some_and(|attempt| Some(attempt.machine) == machine)
    };
    if !runs_there {
        return;
    }
    prove_client_of(&mut shared.borrow_mut(), id);
    let note = protocol::note(frame);
    tracing::debug!(task = hex(id), ?note, "note");
    match note {
        Some(("running", _)) => events.on_running(id),
        Some(("use_cpu", cores @ Some(_))) => events.on_usage(id, cores, None),
        Some(("use_ram", memory @ Some(_))) => events.on_usage(id, None, memory),
        Some(("health", Some(fraction))) => events.on_service_level(id, fraction),
        Some(("ram_high", Some(fraction))) => events.on_machine_memory(id, fraction),
        _ => {}
    }
}
