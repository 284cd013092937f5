//! A client's greeting, and the refusal of peers that break the protocol.

use super::Received;
use super::machine_list::{list_disconnected, list_failed};
use crate::desk::{Desk, ListFault, Who};
use mulleinhub_interface::PolicyEvents;
use mulleinhub_protocol::{self as protocol, Bad, Message};
use mulleinhub_sans_io::{CloseReason, ConnectionId};
use std::cell::RefCell;
use std::sync::Arc;

/// What a client says of itself in its hello.
pub(super) struct Greeting<'a> {
    pub version: u16,
    pub least_version: u16,
    pub name: &'a str,
    /// Its clock when it wrote the hello, in nanoseconds.
    pub clock: u64,
}

/// Welcomes a client, or ends its connection where its name or tenant has too many.
pub(super) fn greet(desk: &mut Desk, link: ConnectionId, greeting: &Greeting<'_>) -> Received {
    let (least_version, version) = (greeting.least_version, greeting.version);
    if least_version > protocol::VERSION || version < protocol::LEAST_VERSION {
        return Err(Bad(format!(
            "versions {least_version} to {version} are spoken, {} to {} are understood",
            protocol::LEAST_VERSION,
            protocol::VERSION
        )));
    }
    let Some(peer) = desk.peers.get_mut(&link) else { return Ok(()) };
    // One copy of the name serves all that know it.
    let known = desk.clients.get_key_value(greeting.name);
    let name: Arc<str> = known.map_or_else(|| greeting.name.into(), |(name, _)| name.clone());
    (peer.who, peer.greeted) = (Who::Client(name.clone()), true);
    desk.clients.insert(name.clone(), link);
    if let Err(why) = desk.limits.identify(link.0, &name) {
        desk.let_go(link, why.message());
        return Ok(());
    }
    desk.lain(link, greeting.clock);
    let (name, life) = (desk.settings.name.clone(), desk.life);
    let version = protocol::VERSION.min(version);
    let silence = Some(desk.limits.settings().keepalive_time.nanos());
    desk.write(link, &Message::Welcome { version, features: 0, name: &name, life, silence });
    Ok(())
}

/// Tells a peer how it breaks the protocol, and ends its connection alone.
pub(super) fn refuse(shared: &RefCell<Desk>, round: &mut dyn PolicyEvents, link: ConnectionId, bad: &Bad) {
    let mut borrowed = shared.borrow_mut();
    let desk = &mut *borrowed;
    desk.counts.bad_frames += 1;
    tracing::warn!(link = link.0, %bad, "a peer speaks wrongly; its connection ends");
    let mut words = bad.to_string();
    words.truncate(words.floor_char_boundary(protocol::MOST_WORDS));
    let Some(peer) = desk.peers.get_mut(&link) else { return };
    match peer.who {
        Who::Stranger | Who::Client(_) => desk.let_go(link, &words),
        Who::Machine(_) => {
            peer.end = Some(CloseReason::Broken);
            desk.write(link, &Message::Bye { words: &words });
        }
        Who::List => {
            desk.write(link, &Message::Bye { words: &words });
            desk.peers.remove(&link);
            desk.links.close(link);
            list_failed(desk, ListFault::Unreadable(words));
            drop(borrowed);
            list_disconnected(shared, round);
        }
    }
}
