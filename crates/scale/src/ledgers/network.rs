//! Connections between members: how long bytes are on their way, what breaks, and what is cut off.
//!
//! A connection behaves as one of TCP: bytes come in order; to a member that is down it is refused; across a
//! cut nothing comes, and what was written waits until the cut is healed or the writer gives up. Neither
//! the bandwidth of links nor the headers of packets are played.

use super::member::Place;
use crate::profile::{Cut, Profile, RoundTrips};
use mulleinhub_interface::{Duration, Pcg};
use mulleinhub_sans_io::ConnectionId;
use std::collections::{BTreeMap, BTreeSet};

/// A connection, by a number that is never used again.
pub type FlowId = u64;

/// Where members stand: zones take turns, and regions take turns of zones.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    pub zones: u32,
    pub regions: u32,
    pub round_trips: RoundTrips,
}

impl Layout {
    #[must_use]
    pub fn zone(&self, member: usize) -> u32 {
        member as u32 % self.zones
    }

    /// Counted from 1.
    #[must_use]
    pub fn region(&self, member: usize) -> u32 {
        self.zone(member) % self.regions + 1
    }

    /// Where a member runs.
    #[must_use]
    pub fn place(&self, member: usize) -> Place {
        Place { zone: self.zone(member), region: self.region(member) }
    }

    /// One way, from one member to another.
    #[must_use]
    pub fn delay(&self, one: usize, other: usize) -> Duration {
        let round_trip = if self.zone(one) == self.zone(other) {
            self.round_trips.zone
        } else if self.region(one) == self.region(other) {
            self.round_trips.region
        } else {
            self.round_trips.between_regions
        };
        round_trip * 0.5
    }
}

/// Whole frames on their way.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Parcel {
    pub bytes: Vec<u8>,
    pub messages: u64,
}

/// One side of a connection.
#[derive(Debug)]
pub struct Side {
    pub member: usize,
    /// What its member calls it by, from when it knows of it.
    pub link: Option<ConnectionId>,
    /// Its member has not ended it.
    pub is_open: bool,
    /// Written while the other side can't be reached.
    pub held: Vec<Parcel>,
}

#[derive(Debug)]
pub struct Connection {
    /// The side that opened it comes first.
    pub sides: [Side; 2],
    pub delay: Duration,
}

/// The other side's index.
#[must_use]
pub fn other(side: usize) -> usize {
    1 - side
}

/// Something to do once a cut is healed.
#[derive(Debug)]
pub enum Healed {
    Bytes { connection: FlowId, to: usize, parcel: Parcel },
    Closed { connection: FlowId, to: usize },
}

/// All connections.
pub struct Network {
    layout: Layout,
    drops: f64,
    chance: Pcg,
    connections: BTreeMap<FlowId, Connection>,
    by_link: Vec<BTreeMap<ConnectionId, (FlowId, usize)>>,
    next: FlowId,
    /// Regions that nobody outside can reach.
    cut_off: BTreeSet<u32>,
}

impl Network {
    #[must_use]
    pub fn new(profile: &Profile, layout: Layout, members: usize) -> Self {
        Self {
            layout,
            drops: profile.drops,
            chance: Pcg::new(profile.seed ^ 0x6e65_7477),
            connections: BTreeMap::new(),
            by_link: vec![BTreeMap::new(); members],
            next: 0,
            cut_off: BTreeSet::new(),
        }
    }

    /// Whether nothing goes between two members.
    #[must_use]
    pub fn are_apart(&self, one: usize, other: usize) -> bool {
        let (one, other) = (self.layout.region(one), self.layout.region(other));
        one != other && (self.cut_off.contains(&one) || self.cut_off.contains(&other))
    }

    #[must_use]
    pub fn is_cut(&self) -> bool {
        !self.cut_off.is_empty()
    }

    /// A member asks for a connection to another.
    pub fn open(&mut self, from: usize, link: ConnectionId, to: usize) -> FlowId {
        let id = self.next;
        self.next += 1;
        let side = |member, link| Side { member, link, is_open: true, held: Vec::new() };
        let connection = Connection {
            sides: [side(from, Some(link)), side(to, None)],
            delay: self.layout.delay(from, to),
        };
        self.connections.insert(id, connection);
        self.by_link[from].insert(link, (id, 0));
        id
    }

    /// The member that was called took it, and calls it by this link.
    pub fn accepted(&mut self, id: FlowId, link: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.sides[1].link = Some(link);
            self.by_link[connection.sides[1].member].insert(link, (id, 1));
        }
    }

    #[must_use]
    pub fn get(&self, id: FlowId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    /// The connection that a member calls by this link, and which of its sides that is.
    #[must_use]
    pub fn of(&self, member: usize, link: ConnectionId) -> Option<(FlowId, usize)> {
        self.by_link[member].get(&link).copied()
    }

    /// All connections of a member.
    #[must_use]
    pub fn all_of(&self, member: usize) -> Vec<(FlowId, usize)> {
        self.by_link[member].values().copied().collect()
    }

    /// Connections of all members that are held by both sides.
    #[must_use]
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Bytes that can't be on their way before a cut is healed.
    pub fn hold(&mut self, id: FlowId, side: usize, parcel: Parcel) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.sides[side].held.push(parcel);
        }
    }

    /// One side ends it. True where the other is still to be told.
    pub fn close(&mut self, id: FlowId, side: usize) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        let closing = &mut connection.sides[side];
        closing.is_open = false;
        closing.held.clear();
        if let Some(link) = closing.link {
            self.by_link[closing.member].remove(&link);
        }
        let rest = &connection.sides[other(side)];
        let tells = rest.is_open && rest.link.is_some();
        if !tells {
            self.forget(id);
        }
        tells
    }

    /// It is over for both.
    pub fn forget(&mut self, id: FlowId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        for side in &connection.sides {
            if let Some(link) = side.link {
                self.by_link[side.member].remove(&link);
            }
        }
        Some(connection)
    }

    /// After how long a connection that is up now breaks, where connections do.
    pub fn breaks_after(&mut self) -> Option<Duration> {
        if self.drops <= 0.0 {
            return None;
        }
        // Exponential: the chance of each second is the same.
        let drawn = (self.chance.below(1 << 30) as f64 + 1.0) / f64::from(1 << 30);
        let seconds = drawn.ln() / (1.0 - self.drops).ln();
        Some(Duration::from_secs(1) * seconds)
    }

    pub fn begin_cut(&mut self, cut: &Cut) {
        self.cut_off.insert(cut.region);
    }

    /// Ends a cut; what waited for it.
    pub fn end_cut(&mut self, cut: &Cut) -> Vec<Healed> {
        self.cut_off.remove(&cut.region);
        let mut healed = Vec::new();
        let ids: Vec<FlowId> = self.connections.keys().copied().collect();
        for id in ids {
            let [one, two] = [0, 1].map(|side| self.connections[&id].sides[side].member);
            if self.layout.region(one) != self.layout.region(two) && !self.are_apart(one, two) {
                self.release(id, &mut healed);
            }
        }
        healed
    }

    fn release(&mut self, id: FlowId, healed: &mut Vec<Healed>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        for side in [0, 1] {
            let to = other(side);
            for parcel in std::mem::take(&mut connection.sides[side].held) {
                healed.push(Healed::Bytes { connection: id, to, parcel });
            }
            if !connection.sides[side].is_open {
                healed.push(Healed::Closed { connection: id, to });
            }
        }
    }
}
