//! The seam between programs and I/O.
//!
//! For: what each program and stand-in is made of. A [`StateMachine`] is told bytes, ends of connections and the
//! time, and leaves bytes, connections to open or end, and a wake time in its [`Connections`]. A shell with real
//! sockets and a runner in virtual time feed the same parties.
//! May not touch: sockets, clocks, threads, files; what bytes mean.

mod links;
mod timers;

pub use links::{ConnectionId, Connections, Unsent};
pub use timers::Timers;

use mulleinhub_interface::Timestamp;

/// How a connection ended, as far as this side can know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It never came up: nothing was delivered.
    Refused,
    /// It was never tried, for want of something of ours: a descriptor, a port. Nothing is known of the other
    /// side, and nothing was delivered.
    Untried,
    /// The other side closed it.
    Closed,
    /// It broke, or this side's own I/O failed.
    Broken,
}

/// The way in that a connection came through; the party that listens gives it its meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerId(pub u32);

/// What a shell or a runner has to do for a party, beside carrying bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Open a connection to this address, and call it by this link.
    Open(ConnectionId, String),
    /// End this connection once its outgoing bytes are written, or at once where `at_once` is set.
    End { link: ConnectionId, at_once: bool },
}

/// A program or stand-in without I/O.
///
/// A turn is: any number of `opened`, `up`, `received` and `ended`, then one `turn`. Whoever feeds it tells
/// all that has come in before `turn`, so that a standstill is no silence of the others.
pub trait StateMachine {
    /// Somebody opened a connection to this party.
    fn on_connection_accepted(&mut self, now: Timestamp, link: ConnectionId, door: ListenerId);
    /// A connection that this party asked for is up.
    fn on_connected(&mut self, now: Timestamp, link: ConnectionId);
    fn on_data(&mut self, now: Timestamp, link: ConnectionId, bytes: &[u8]);
    /// The connection is over; the link is never named again by either side.
    fn on_closed(&mut self, now: Timestamp, link: ConnectionId, end: CloseReason);
    /// All that came in was told: time to act.
    fn poll(&mut self, now: Timestamp);
    /// Some of what came in was told, and more lies unread: what was told may be answered, and nobody is
    /// taken for silent before `turn`.
    fn poll_early(&mut self, _now: Timestamp) {}
    /// Whether what comes on this connection is told before what comes on others, where much comes at once.
    fn is_priority(&self, _link: ConnectionId) -> bool {
        false
    }
    /// When `turn` is wanted at the latest, if nothing comes in before.
    fn next_wakeup(&self) -> Option<Timestamp>;
    fn connections(&mut self) -> &mut Connections;
    /// Whether a connection through this door is taken now; where not, it is refused.
    fn is_listening(&self, _: ListenerId) -> bool {
        true
    }
    /// How many more connections through this door are taken before the next turn; others wait outside.
    fn accept_budget(&self, _: ListenerId) -> usize {
        usize::MAX
    }
    /// No connection can be accepted for want of descriptors.
    fn on_descriptors_exhausted(&mut self, _now: Timestamp) {}
    /// What is to be kept for the party's next life, where that has changed since the last call.
    fn state_to_persist(&mut self) -> Option<Vec<u8>> {
        None
    }
}
