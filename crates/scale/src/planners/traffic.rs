//! What went between schedulers and those that they speak to, counted at the wire.

use mulleinhub_protocol::Message;

/// Whom a scheduler has a conversation with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Peer {
    /// The server of the list of workers.
    List,
    Worker,
    Client,
}

impl Peer {
    pub const ALL: [Self; 3] = [Self::List, Self::Worker, Self::Client];
}

/// Bytes and messages, as the scheduler sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flow {
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub messages_in: u64,
    pub messages_out: u64,
}

impl Flow {
    /// What was counted since an earlier look.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            bytes_in: self.bytes_in - earlier.bytes_in,
            bytes_out: self.bytes_out - earlier.bytes_out,
            messages_in: self.messages_in - earlier.messages_in,
            messages_out: self.messages_out - earlier.messages_out,
        }
    }

    /// The sum of two.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            bytes_in: self.bytes_in + other.bytes_in,
            bytes_out: self.bytes_out + other.bytes_out,
            messages_in: self.messages_in + other.messages_in,
            messages_out: self.messages_out + other.messages_out,
        }
    }
}

/// Messages of the kinds that a scheduler counts itself, so that both counts can be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Kinds {
    pub asks: u64,
    pub taken: u64,
    pub placed: u64,
    pub nacked: u64,
    pub errored: u64,
    pub ended: u64,
    pub offers: u64,
    pub accepted: u64,
    pub runs: u64,
    pub closed: u64,
    pub notes: u64,
    pub pings: u64,
}

impl Kinds {
    fn count(&mut self, message: &Message<'_>) {
        let kind = match message {
            Message::Ask { .. } => &mut self.asks,
            Message::Taken { .. } => &mut self.taken,
            Message::Placed { .. } => &mut self.placed,
            Message::Nacked { .. } => &mut self.nacked,
            Message::Errored { .. } => &mut self.errored,
            Message::Ended { .. } => &mut self.ended,
            Message::Offer { .. } => &mut self.offers,
            Message::Accepted { .. } => &mut self.accepted,
            Message::Runs { .. } => &mut self.runs,
            Message::Closed { .. } => &mut self.closed,
            Message::Note { .. } => &mut self.notes,
            Message::Ping { .. } => &mut self.pings,
            _ => return,
        };
        *kind += 1;
    }
}

/// The traffic of one scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerTraffic {
    flows: [Flow; Peer::ALL.len()],
    pub kinds: Kinds,
}

impl SchedulerTraffic {
    /// With one sort of peer.
    #[must_use]
    pub fn with(&self, peer: Peer) -> Flow {
        self.flows[peer as usize]
    }

    /// With all peers together.
    #[must_use]
    pub fn total(&self) -> Flow {
        self.flows.iter().fold(Flow::default(), |sum, flow| sum.plus(flow))
    }

    pub(super) fn came_in(&mut self, peer: Peer, bytes: usize, message: Option<&Message<'_>>) {
        let flow = &mut self.flows[peer as usize];
        flow.bytes_in += bytes as u64;
        flow.messages_in += 1;
        message.into_iter().for_each(|message| self.kinds.count(message));
    }

    pub(super) fn went_out(&mut self, peer: Peer, bytes: usize, message: Option<&Message<'_>>) {
        let flow = &mut self.flows[peer as usize];
        flow.bytes_out += bytes as u64;
        flow.messages_out += 1;
        message.into_iter().for_each(|message| self.kinds.count(message));
    }
}
