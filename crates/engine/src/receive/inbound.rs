//! Frames of the connections on which bytes arrived: a bounded number of each client's in one turn.

use super::disconnect::disconnected;
use super::dispatch::dispatch;
use super::greeting::refuse;
use crate::desk::{Desk, Who};
use crate::machines::Spot;
use mulleinhub_interface::PolicyEvents;
use mulleinhub_protocol::{self as protocol, Frames};
use mulleinhub_sans_io::{CloseReason, ConnectionId};
use std::cell::RefCell;

/// Receives from every connection on which bytes arrived, in the order of arrival.
pub fn receive_pending(shared: &RefCell<Desk>, round: &mut dyn PolicyEvents) {
    loop {
        let next = shared.borrow_mut().next_arrival();
        let Some(link) = next else {
            // Clients are received from once machines reported their tasks: what waited is handled now.
            if !open_to_clients(&mut shared.borrow_mut()) {
                return;
            }
            continue;
        };
        receive_from(shared, round, link);
    }
}

/// Begins to receive from clients when all machines of the first list have reported their tasks, or can't be
/// reached. False where it doesn't, or did before.
fn open_to_clients(desk: &mut Desk) -> bool {
    let is_settled =
        |spot: &Spot| spot.mode != protocol::Mode::Active || spot.ready().is_some() || spot.failures > 0;
    if desk.hears_clients || !desk.list_known || !desk.machines.values().all(is_settled) {
        return false;
    }
    desk.hear_clients();
    true
}

/// What is left after the frames of one connection were received.
struct Batch {
    received_any: bool,
    /// The turn's bound on frames of one client is used up.
    is_used_up: bool,
}

fn receive_from(shared: &RefCell<Desk>, round: &mut dyn PolicyEvents, link: ConnectionId) {
    // The frames are taken out for the while, so that messages can borrow them and the desk stays free.
    let taken = shared.borrow_mut().peers.get_mut(&link).map(|peer| std::mem::take(&mut peer.frames));
    let Some(mut frames) = taken else { return };
    let Some(batch) = receive_batch(shared, round, link, &mut frames) else { return };
    let end = put_back(&mut shared.borrow_mut(), link, frames, &batch);
    if let Some(end) = end {
        disconnected(shared, round, link, end);
    }
}

/// Receives the frames that are whole, as far as the bound allows; nothing where the connection is over.
fn receive_batch(
    shared: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    link: ConnectionId,
    frames: &mut Frames,
) -> Option<Batch> {
    let mut left = shared.borrow().limits.max_frames_per_iteration();
    let mut received_any = false;
    while left > 0 {
        let received = match frames.next_frame() {
            Ok(None) => break,
            Ok(Some(frame)) => {
                protocol::decode(frame).and_then(|message| dispatch(shared, round, link, &message))
            }
            Err(bad) => Err(bad),
        };
        if let Err(bad) = received {
            refuse(shared, round, link, &bad);
            break;
        }
        received_any = true;
        let desk = shared.borrow();
        let peer = desk.peers.get(&link)?;
        left -= usize::from(matches!(peer.who, Who::Stranger | Who::Client(_)));
    }
    Some(Batch { received_any, is_used_up: left == 0 })
}

/// Keeps the rest for later, and gives back how the connection has ended, if it has and all was received.
fn put_back(desk: &mut Desk, link: ConnectionId, mut frames: Frames, batch: &Batch) -> Option<CloseReason> {
    let peer = desk.peers.get_mut(&link)?;
    frames.tidy(&mut desk.spare);
    let partial = frames.kept() > 0;
    peer.frames = frames;
    let end = peer.end;
    if batch.received_any {
        desk.limits.frame_completed(link.0);
    }
    if batch.is_used_up && partial && peer.frames.peek().is_some() {
        desk.hear_rest_later(link);
        return None;
    }
    if matches!(peer.who, Who::Stranger | Who::Client(_)) {
        desk.links.set_reading_paused(link, false);
        let now = desk.now;
        desk.limits.set_partial_frame(now, link.0, partial);
    }
    end
}
