//! Which conversation a message belongs to, and who handles it.

use super::Handled;
use super::client::on_client_message;
use super::endpoint_list::{on_list_failed, on_list_message};
use super::greeting::{Greeting, greet};
use super::machine::on_machine_message;
use crate::peer::{Peer, PeerKind};
use crate::state::{EndpointListFault, SchedulerState};
use mulleinhub_interface::PolicyEvents;
use mulleinhub_protocol::{Bad, Conversation, Message, Side};
use mulleinhub_sans_io::ConnectionId;
use std::cell::RefCell;

/// The conversation with a peer, and the side of it that the peer has.
fn conversation_with(peer: &Peer) -> (Conversation, Side) {
    match peer.kind {
        PeerKind::Unidentified | PeerKind::Client(_) => (Conversation::ClientPlanner, Side::Opener),
        PeerKind::Machine(_) => (Conversation::PlannerMachine, Side::Opened),
        PeerKind::EndpointList => (Conversation::PlannerList, Side::Opened),
    }
}

/// Handles one message.
pub(super) fn dispatch(
    shared: &RefCell<SchedulerState>,
    events: &mut dyn PolicyEvents,
    connection: ConnectionId,
    message: &Message<'_>,
) -> Handled {
    let mut borrowed = shared.borrow_mut();
    let state = &mut *borrowed;
    let Some(peer) = state.peers.get(&connection) else { return Ok(()) };
    let (conversation, side) = conversation_with(peer);
    if !message.belongs(conversation, side) {
        return Err(Bad(format!("not a message for this side of {conversation:?}")));
    }
    if let Message::Hello { conversation: theirs, version, least_version, name, clock, .. } = message {
        if peer.greeted || *theirs != conversation {
            return Err(Bad(format!("a hello for {theirs:?} where {conversation:?} is spoken")));
        }
        let greeting = Greeting { version: *version, least_version: *least_version, name, sent_at: *clock };
        return greet(state, connection, &greeting);
    }
    if handle_control(state, connection, message) {
        return Ok(());
    }
    let Some(peer) = state.peers.get_mut(&connection) else { return Ok(()) };
    if !peer.greeted && !matches!(message, Message::Welcome { .. }) {
        return Err(Bad("a message before the greeting".into()));
    }
    match &peer.kind {
        PeerKind::Machine(id) => {
            let id = *id;
            drop(borrowed);
            on_machine_message(shared, events, connection, id, message)
        }
        PeerKind::Client(name) => {
            let name = name.clone();
            drop(borrowed);
            on_client_message(shared, events, connection, &name, message)
        }
        PeerKind::EndpointList if matches!(message, Message::Welcome { .. }) => {
            peer.greeted = true;
            Ok(())
        }
        PeerKind::EndpointList => {
            drop(borrowed);
            on_list_message(shared, events, message)
        }
        PeerKind::Unidentified => Err(Bad("a message before the greeting".into())),
    }
}

/// Handles the messages that every conversation has; false for all others.
fn handle_control(state: &mut SchedulerState, connection: ConnectionId, message: &Message<'_>) -> bool {
    match message {
        Message::Ping { nonce } => state.write(connection, &Message::Pong { nonce: *nonce }),
        Message::Pong { .. } => {}
        Message::Bye { words } => {
            tracing::warn!(connection = connection.0, reason = words, "connection closed by its peer");
            if state.peers.get(&connection).is_some_and(|peer| matches!(peer.kind, PeerKind::EndpointList)) {
                on_list_failed(state, EndpointListFault::Refused((*words).to_owned()));
            }
        }
        _ => return false,
    }
    true
}
