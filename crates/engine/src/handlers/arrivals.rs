//! Frames of the connections on which bytes arrived: a bounded number of each client's in one iteration.

use super::disconnect::on_disconnected;
use super::dispatch::dispatch;
use super::greeting::refuse;
use crate::machine::MachineSlot;
use crate::state::SchedulerState;
use mulleinhub_interface::PolicyEvents;
use mulleinhub_protocol::{self as protocol, Frames};
use mulleinhub_sans_io::{CloseReason, ConnectionId};
use std::cell::RefCell;

/// Handles the frames of every connection on which bytes arrived, in the order of arrival.
pub fn handle_arrivals(shared: &RefCell<SchedulerState>, events: &mut dyn PolicyEvents) {
    loop {
        let next = shared.borrow_mut().next_readable();
        let Some(connection) = next else {
            // Clients are served once machines have reported their tasks: what waited is handled now.
            if !open_to_clients(&mut shared.borrow_mut()) {
                return;
            }
            continue;
        };
        handle_connection(shared, events, connection);
    }
}

/// Begins to serve clients when all machines of the first list have reported their tasks, or can't be
/// reached. False where it doesn't, or did before.
fn open_to_clients(state: &mut SchedulerState) -> bool {
    let is_settled = |slot: &MachineSlot| {
        slot.mode != protocol::Mode::Active || slot.ready().is_some() || slot.failures > 0
    };
    if state.clients.are_served || !state.endpoint_list.known || !state.machines.values().all(is_settled) {
        return false;
    }
    state.serve_clients();
    true
}

/// How the frames of one connection were handled.
struct Batch {
    /// At least one frame was complete.
    handled_any: bool,
    /// The iteration's bound on frames of one client is used up.
    is_used_up: bool,
}

fn handle_connection(
    shared: &RefCell<SchedulerState>,
    events: &mut dyn PolicyEvents,
    connection: ConnectionId,
) {
    // The frames are taken out meanwhile, so that messages can borrow them while the state stays free.
    let taken = shared.borrow_mut().peers.get_mut(&connection).map(|peer| std::mem::take(&mut peer.frames));
    let Some(mut frames) = taken else { return };
    let Some(batch) = handle_batch(shared, events, connection, &mut frames) else { return };
    let closed = put_back(&mut shared.borrow_mut(), connection, frames, &batch);
    if let Some(reason) = closed {
        on_disconnected(shared, events, connection, reason);
    }
}

/// Handles the frames that are complete, as far as the bound allows; none where the connection is over.
fn handle_batch(
    shared: &RefCell<SchedulerState>,
    events: &mut dyn PolicyEvents,
    connection: ConnectionId,
    frames: &mut Frames,
) -> Option<Batch> {
    let mut budget = shared.borrow().clients.limits.max_frames_per_iteration();
    let mut handled_any = false;
    while budget > 0 {
        let handled = match frames.next_frame() {
            Ok(None) => break,
            Ok(Some(frame)) => {
                protocol::decode(frame).and_then(|message| dispatch(shared, events, connection, &message))
            }
            Err(error) => Err(error),
        };
        if let Err(error) = handled {
            refuse(shared, events, connection, &error);
            break;
        }
        handled_any = true;
        let state = shared.borrow();
        let peer = state.peers.get(&connection)?;
        budget -= usize::from(peer.kind.is_inbound());
    }
    Some(Batch { handled_any, is_used_up: budget == 0 })
}

/// Keeps what is left for later, and gives back how the connection was closed, if it was and all was handled.
fn put_back(
    state: &mut SchedulerState,
    connection: ConnectionId,
    mut frames: Frames,
    batch: &Batch,
) -> Option<CloseReason> {
    let peer = state.peers.get_mut(&connection)?;
    frames.tidy(&mut state.spare_buffers);
    let is_partial = frames.kept() > 0;
    peer.frames = frames;
    let closed = peer.closed;
    if batch.handled_any {
        state.clients.limits.frame_completed(connection.0);
    }
    if batch.is_used_up && is_partial && peer.frames.peek().is_some() {
        state.defer(connection);
        return None;
    }
    if peer.kind.is_inbound() {
        state.connections.set_reading_paused(connection, false);
        state.clients.limits.set_partial_frame(state.now, connection.0, is_partial);
    }
    closed
}
