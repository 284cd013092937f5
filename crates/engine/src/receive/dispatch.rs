//! Which conversation a message belongs to, and who handles it.

use super::Received;
use super::client::receive_from_client;
use super::greeting::{Greeting, greet};
use super::machine::receive_from_machine;
use super::machine_list::{list_failed, receive_from_list};
use crate::desk::{Desk, ListFault, Peer, Who};
use mulleinhub_interface::PolicyEvents;
use mulleinhub_protocol::{Bad, Conversation, Message, Side};
use mulleinhub_sans_io::ConnectionId;
use std::cell::RefCell;

/// The conversation with a peer, and the side of it that the peer has.
fn conversation_with(peer: &Peer) -> (Conversation, Side) {
    match peer.who {
        Who::Stranger | Who::Client(_) => (Conversation::ClientPlanner, Side::Opener),
        Who::Machine(_) => (Conversation::PlannerMachine, Side::Opened),
        Who::List => (Conversation::PlannerList, Side::Opened),
    }
}

/// Handles one message.
pub(super) fn dispatch(
    shared: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    link: ConnectionId,
    message: &Message<'_>,
) -> Received {
    let mut borrowed = shared.borrow_mut();
    let desk = &mut *borrowed;
    let Some(peer) = desk.peers.get(&link) else { return Ok(()) };
    let (conversation, side) = conversation_with(peer);
    if !message.belongs(conversation, side) {
        return Err(Bad(format!("not a message for this side of {conversation:?}")));
    }
    if let Message::Hello { conversation: theirs, version, least_version, name, clock, .. } = message {
        if peer.greeted || *theirs != conversation {
            return Err(Bad(format!("a hello for {theirs:?} where {conversation:?} is spoken")));
        }
        let greeting = Greeting { version: *version, least_version: *least_version, name, clock: *clock };
        return greet(desk, link, &greeting);
    }
    if is_control(desk, link, message) {
        return Ok(());
    }
    let Some(peer) = desk.peers.get_mut(&link) else { return Ok(()) };
    if !peer.greeted && !matches!(message, Message::Welcome { .. }) {
        return Err(Bad("a message before the greeting".into()));
    }
    match &peer.who {
        Who::Machine(id) => {
            let id = *id;
            drop(borrowed);
            receive_from_machine(shared, round, link, id, message)
        }
        Who::Client(name) => {
            let name = name.clone();
            drop(borrowed);
            receive_from_client(shared, round, link, &name, message)
        }
        Who::List if matches!(message, Message::Welcome { .. }) => {
            peer.greeted = true;
            Ok(())
        }
        Who::List => {
            drop(borrowed);
            receive_from_list(shared, round, message)
        }
        Who::Stranger => Err(Bad("a message before the greeting".into())),
    }
}

/// Handles the messages that every conversation has; false for all others.
fn is_control(desk: &mut Desk, link: ConnectionId, message: &Message<'_>) -> bool {
    match message {
        Message::Ping { nonce } => desk.write(link, &Message::Pong { nonce: *nonce }),
        Message::Pong { .. } => {}
        Message::Bye { words } => {
            tracing::warn!(link = link.0, words, "a peer says why it ends");
            if desk.peers.get(&link).is_some_and(|peer| matches!(peer.who, Who::List)) {
                list_failed(desk, ListFault::Refused((*words).to_owned()));
            }
        }
        _ => return false,
    }
    true
}
