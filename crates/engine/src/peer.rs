//! What is known of the other side of one connection.

use mulleinhub_interface::{Duration, MachineId, Timestamp};
use mulleinhub_protocol::Frames;
use mulleinhub_resilience::{PAUSE_THRESHOLD, PauseDetector};
use mulleinhub_sans_io::CloseReason;
use std::sync::Arc;

/// Who is on the other side of a connection.
#[derive(Debug)]
pub enum PeerKind {
    /// A connection was accepted, and its peer has not greeted yet.
    Unidentified,
    /// A client, by its name.
    Client(Arc<str>),
    /// A machine that this scheduler connected to.
    Machine(MachineId),
    /// The endpoint list service that this scheduler connected to.
    EndpointList,
}

impl PeerKind {
    /// Whether the peer connected to this scheduler: a client, or one that may become a client.
    pub fn is_inbound(&self) -> bool {
        matches!(self, Self::Unidentified | Self::Client(_))
    }
}

/// The other side of one connection.
#[derive(Debug)]
pub struct Peer {
    /// Who it is, as far as is known.
    pub kind: PeerKind,
    /// Bytes that arrived and were not handled.
    pub frames: Frames,
    /// Whether the handshake is complete.
    pub greeted: bool,
    /// How the connection was closed, where it was: what arrived before is handled first.
    pub closed: Option<CloseReason>,
    /// Whether the connection waits for its frames to be handled.
    pub queued: bool,
    /// When the first of what waits to be handled arrived, and after how many iterations of the event loop.
    pub first_unread: (Timestamp, u64),
    /// How long that may have lain unread in the system.
    pub unread_wait: Duration,
    /// Tasks submitted on this connection that have no final answer yet.
    pub open_tasks: u32,
    /// How far our clock was ahead of the peer's on its quickest frame, in nanoseconds.
    clock_offset: Option<i64>,
    /// Whether that frame was read promptly, and not after a pause of this process.
    clock_offset_is_certain: bool,
}

impl Peer {
    /// A peer that has sent nothing yet.
    pub fn new(kind: PeerKind, first_unread: (Timestamp, u64)) -> Self {
        Self {
            kind,
            frames: Frames::default(),
            greeted: false,
            closed: None,
            queued: false,
            first_unread,
            unread_wait: Duration::ZERO,
            open_tasks: 0,
            clock_offset: None,
            clock_offset_is_certain: false,
        }
    }

    /// How long a frame waited between being written and being handled, beyond the quickest frame of this
    /// connection. `sent_at` is the sender's own clock when it wrote the frame, in nanoseconds.
    ///
    /// Seen: while schedulers paused or connections stalled, a submission that had waited for seconds was
    /// given its whole deadline anew, and was answered after its client timeout.
    pub fn queueing_delay(&mut self, now: Timestamp, pauses: &PauseDetector, sent_at: u64) -> Duration {
        let sent_at = i64::try_from(sent_at).unwrap_or(i64::MAX);
        let offset = (now.nanos() as i64).saturating_sub(sent_at);
        let unread_for = pauses.queued_for(now, self.first_unread) + self.unread_wait;
        let paused = if unread_for > PAUSE_THRESHOLD { unread_for.nanos() as i64 } else { 0 };
        // A frame read after a pause may have waited for all of it: until one is read promptly, the worst
        // is assumed.
        let is_prompt = paused == 0;
        let least = match self.clock_offset {
            Some(before) if self.clock_offset_is_certain => before.min(offset),
            Some(before) if !is_prompt => before.min(offset.saturating_sub(paused)),
            _ => offset.saturating_sub(paused),
        };
        self.clock_offset = Some(least);
        self.clock_offset_is_certain |= is_prompt;
        // What is read after a pause may have waited for all of it, whatever earlier frames say: theirs may
        // have waited on a stalled connection. A deadline too short is harmless, one too long is late.
        let shortest = if is_prompt { Duration::ZERO } else { unread_for };
        Duration::from_nanos(u64::try_from(offset.saturating_sub(least)).unwrap_or(0)).max(shortest)
    }
}
