//! A client's greeting, and the refusal of peers that break the protocol.

use super::Handled;
use super::endpoint_list::{on_list_disconnected, on_list_failed};
use crate::peer::PeerKind;
use crate::state::{EndpointListFault, SchedulerState};
use mulleinhub_interface::PolicyEvents;
use mulleinhub_protocol::{self as protocol, Bad, Message};
use mulleinhub_sans_io::{CloseReason, ConnectionId};
use std::cell::RefCell;
use std::sync::Arc;

/// What a client says of itself in its hello.
pub(super) struct Greeting<'a> {
    /// The newest version of the protocol that it speaks.
    pub version: u16,
    /// The oldest one.
    pub least_version: u16,
    /// Its name.
    pub name: &'a str,
    /// Its clock when it wrote the hello, in nanoseconds.
    pub sent_at: u64,
}

/// Welcomes a client, or closes its connection where its name or tenant has too many.
pub(super) fn greet(
    state: &mut SchedulerState,
    connection: ConnectionId,
    greeting: &Greeting<'_>,
) -> Handled {
    let (least_version, version) = (greeting.least_version, greeting.version);
    if least_version > protocol::VERSION || version < protocol::LEAST_VERSION {
        return Err(Bad(format!(
            "versions {least_version} to {version} are spoken, {} to {} are understood",
            protocol::LEAST_VERSION,
            protocol::VERSION
        )));
    }
    let Some(peer) = state.peers.get_mut(&connection) else { return Ok(()) };
    // One copy of the name serves all that know it.
    let known = state.clients.newest.get_key_value(greeting.name);
    let name: Arc<str> = known.map_or_else(|| greeting.name.into(), |(name, _)| name.clone());
    (peer.kind, peer.greeted) = (PeerKind::Client(name.clone()), true);
    state.clients.newest.insert(name.clone(), connection);
    if let Err(why) = state.clients.limits.identify(connection.0, &name) {
        state.close_client(connection, why.message());
        return Ok(());
    }
    // Calibrates the offset of the client's clock.
    state.queueing_delay(connection, greeting.sent_at);
    let (name, incarnation) = (state.settings.name.clone(), state.incarnation);
    let version = protocol::VERSION.min(version);
    let silence = Some(state.clients.limits.settings().keepalive_time.nanos());
    state.write(
        connection,
        &Message::Welcome { version, features: 0, name: &name, life: incarnation, silence },
    );
    Ok(())
}

/// Notifies a peer of how it breaks the protocol, and closes its connection alone.
pub(super) fn refuse(
    shared: &RefCell<SchedulerState>,
    events: &mut dyn PolicyEvents,
    connection: ConnectionId,
    error: &Bad,
) {
    let mut borrowed = shared.borrow_mut();
    let state = &mut *borrowed;
    state.counts.protocol_errors += 1;
    tracing::warn!(connection = connection.0, %error, "protocol error; connection closed");
    let mut reason = error.to_string();
    reason.truncate(reason.floor_char_boundary(protocol::MOST_WORDS));
    let Some(peer) = state.peers.get_mut(&connection) else { return };
    match peer.kind {
        PeerKind::Unidentified | PeerKind::Client(_) => state.close_client(connection, &reason),
        PeerKind::Machine(_) => {
            peer.closed = Some(CloseReason::Broken);
            state.write(connection, &Message::Bye { words: &reason });
        }
        PeerKind::EndpointList => {
            state.write(connection, &Message::Bye { words: &reason });
            state.peers.remove(&connection);
            state.connections.close(connection);
            on_list_failed(state, EndpointListFault::Unreadable(reason));
            drop(borrowed);
            on_list_disconnected(shared, events);
        }
    }
}
