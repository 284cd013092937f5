//! Handling what clients send, and the deadlines of their connections.

use super::cancel::cancel_awaiting;
use super::{
    ClientProof, cancel_task, close_client, remove_disconnected_client, report_cancelled, start_requests,
};
use crate::error::ProtocolError;
use crate::state::{SchedulerState, SharedState};
use crate::tasks::TaskRecord;
use mulleinhub_interface::{Duration, PolicyEvents, TaskId};
use mulleinhub_limits::Action;
use mulleinhub_platform_protocol::{self as protocol, Frame, FrameBuffer, kind};
use mulleinhub_sans_io::ConnectionId;

/// Connections whose deadlines are looked at in one iteration.
const MAX_EXPIRED: usize = 64;

/// Handles what was received on a client's connection, as far as one iteration goes, and its close once all
/// of it has been handled.
pub fn handle_input(shared: &SharedState, events: &mut dyn PolicyEvents, connection_id: ConnectionId) {
    if shared.borrow().clients.has_left(connection_id) {
        cancel_awaiting(&mut shared.borrow_mut(), connection_id);
        report_cancelled(shared, events);
    } else if shared.borrow().awaits_reader(connection_id) {
        return shared.borrow_mut().park_client(connection_id);
    }
    // The frames are taken out meanwhile, so that messages can borrow them while handlers borrow the state.
    let take_frames = |state: &mut SchedulerState| {
        Some(std::mem::take(&mut state.clients.by_connection.get_mut(&connection_id)?.frames))
    };
    let Some(mut frames) = take_frames(&mut shared.borrow_mut()) else { return };
    match handle_frames(shared, events, connection_id, &mut frames) {
        Err(error) => {
            let state = &mut *shared.borrow_mut();
            state.counts.bad_clients += 1;
            state.warn("client protocol error; connection closed", &error.to_string());
            close_client(state, connection_id);
        }
        Ok(handled_any) => {
            let is_done = finish_input(&mut shared.borrow_mut(), connection_id, frames, handled_any);
            if is_done {
                announce_admitted(shared, events, connection_id);
            }
        }
    }
}

/// Handles the complete messages, as many as one connection may have handled in one iteration. Returns
/// whether there were any.
fn handle_frames(
    shared: &SharedState,
    events: &mut dyn PolicyEvents,
    connection_id: ConnectionId,
    frames: &mut FrameBuffer,
) -> Result<bool, ProtocolError> {
    let max_frames = shared.borrow().clients.limits.max_frames_per_iteration();
    let mut handled_any = false;
    for _ in 0..max_frames {
        let Some(frame) = frames.next_frame()? else { break };
        handle_message(shared, events, connection_id, &frame)?;
        handled_any = true;
        if shared.borrow().awaits_reader(connection_id) {
            break;
        }
    }
    Ok(handled_any)
}

fn handle_message(
    shared: &SharedState,
    events: &mut dyn PolicyEvents,
    connection_id: ConnectionId,
    frame: &Frame<'_>,
) -> Result<(), ProtocolError> {
    match frame.kind {
        kind::START => start_requests::handle(shared, events, connection_id, frame)?,
        kind::RELEASE => {
            cancel_task(&mut shared.borrow_mut(), connection_id, TaskId(frame.task));
            // Before anything else that this read has of the task: a further request may carry its id.
            report_cancelled(shared, events);
        }
        kind::HEALTH_CHECK => answer_health_check(&mut shared.borrow_mut(), connection_id, frame.task),
        kind::RELEASE_ACK => shared.borrow_mut().acknowledge_end(connection_id, TaskId(frame.task)),
        kind::PROGRESS | kind::NOTE => {}
        other => return Err(ProtocolError::UnexpectedType(other)),
    }
    Ok(())
}

/// Health checks pass until shutdown is requested.
fn answer_health_check(state: &mut SchedulerState, connection_id: ConnectionId, id: u64) {
    state.clients.greeted(connection_id);
    if let Some(client) = state.clients.by_connection.get_mut(&connection_id) {
        client.checks_health = true;
    }
    let passes = !state.shutdown.is_requested();
    state.send(connection_id, |out| {
        protocol::write_with_cause(out, kind::HEALTH_RESULT, id, u8::from(passes));
    });
}

/// Puts the frames back and decides what follows. True once everything that was received has been handled and
/// the connection lives.
fn finish_input(
    state: &mut SchedulerState,
    connection_id: ConnectionId,
    mut frames: FrameBuffer,
    handled_any: bool,
) -> bool {
    let now = state.now;
    let Some(client) = state.clients.by_connection.get_mut(&connection_id) else { return false };
    frames.release_if_empty();
    let (unprocessed, has_more) = (frames.unprocessed(), frames.has_frame());
    let has_partial = unprocessed > 0;
    client.frames = frames;
    if handled_any {
        client.backlog_wait = Duration::ZERO;
        state.clients.limits.frame_completed(connection_id.0);
    }
    let partial_since = client.partial_since.filter(|_| !handled_any).unwrap_or(now);
    client.partial_since = has_partial.then_some(partial_since);
    let (is_closed, rejected) = (client.close_reason.is_some(), client.rejected);
    state.clients.record_unhandled(connection_id, unprocessed);
    if handled_any {
        state.observe_acknowledgement(connection_id);
    }
    if has_more {
        // A message that is complete by now is not slow.
        state.clients.limits.set_partial_frame(now, connection_id.0, false);
        state.defer_client(connection_id);
        return false;
    }
    let was_paused = state.connections.is_reading_paused(connection_id);
    state.connections.set_reading_paused(connection_id, false);
    if rejected && !has_partial {
        state.drop_client(connection_id);
        return false;
    }
    state.clients.limits.set_partial_frame(now, connection_id.0, has_partial);
    if is_closed {
        remove_disconnected_client(state, connection_id);
        return false;
    }
    if was_paused {
        // More may lie unread, the client's leaving too.
        state.defer_client(connection_id);
    }
    !was_paused
}

/// Notifies the policy of the tasks that were admitted on this connection and that still want an answer.
fn announce_admitted(shared: &SharedState, events: &mut dyn PolicyEvents, connection_id: ConnectionId) {
    let take_admitted = |state: &mut SchedulerState| {
        let client = state.clients.by_connection.get_mut(&connection_id);
        client.map_or(Vec::new(), |client| std::mem::take(&mut client.admitted))
    };
    let admitted = take_admitted(&mut shared.borrow_mut());
    for id in admitted {
        let awaiting_answer = |state: &SchedulerState| {
            state.tasks.by_id.get(&id).filter(|task| task.awaits_answer()).map(|task| task.spec)
        };
        let spec = awaiting_answer(&shared.borrow());
        if let Some(spec) = spec {
            events.on_new_task(spec);
        }
    }
}

/// What came of a request of it shows that this connection is a client's.
pub fn proves_itself(state: &mut SchedulerState, connection_id: ConnectionId, proof: ClientProof) {
    if let Some(client) = state.clients.by_connection.get_mut(&connection_id) {
        client.proof = client.proof.max(proof);
        state.clients.limits.mark_legitimate(connection_id.0);
    }
}

/// A machine told of this task: whoever handed it over is a client.
pub fn prove_client_of(state: &mut SchedulerState, id: TaskId) {
    let Some(connection_id) = state.tasks.by_id.get(&id).and_then(|task| task.client) else { return };
    let client = state.clients.by_connection.get(&connection_id);
    if client.is_some_and(|client| client.proof != ClientProof::TaskKnown) {
        proves_itself(state, connection_id, ClientProof::TaskKnown);
    }
}

/// Whether an answer is to be given on this connection, or the end of a task that came on it.
fn is_owed_anything(state: &SchedulerState, connection_id: ConnectionId) -> bool {
    let Some(client) = state.clients.by_connection.get(&connection_id) else { return false };
    let is_its_task = |task: &TaskRecord| task.client == Some(connection_id) && !task.is_cancelled();
    !client.awaiting.is_empty() || (client.is_proven() && state.tasks.by_id.values().any(is_its_task))
}

/// Enforces the deadlines of client connections, a bounded number of them in one iteration, closes those that
/// are to make room, and reports ends that no client was connected to receive.
pub fn enforce_limits(state: &mut SchedulerState) {
    let (now, mut budget) = (state.now, MAX_EXPIRED);
    while let Some((conn, act)) = state.clients.limits.next_due(now, &mut budget) {
        let connection_id = ConnectionId(conn);
        match act {
            // There is no sign of life to ask for: an idle connection without a task may be closed. Where a
            // task waits, the answer is ours to give, and where one runs, its end. Seen: a client that waited for
            // longer than the idle timeout was closed, and one whose task ended after that was never notified.
            Action::Ping if is_owed_anything(state, connection_id) => {
                state.clients.limits.record_activity(now, conn);
            }
            Action::Ping | Action::Disconnect(_) => close_client(state, connection_id),
        }
    }
    state.evict_idle_clients();
    state.pass_on_unheld_ends();
    state.send_unreported_ends();
}
