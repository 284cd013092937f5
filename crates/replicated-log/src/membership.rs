//! Which members are alive, suspected or dead, judged only from what exchanges bring.
//!
//! Every scheduler counts its own heartbeats; the counts spread with whatever else is exchanged, so that news
//! of a member comes through others while the connection to it is cut (van Renesse, Minsky, Hayden: A
//! Gossip-Style Failure Detection Service, 1998). How long a silence may be follows from how regularly its
//! heartbeats came before (Jacobson's mean and deviation, 1988; the phi accrual detector, Hayashibara and
//! others, 2004, does the same with a full distribution).

use crate::name::Name;
use mulleinhub_interface::{Duration, Timestamp};
use std::collections::BTreeMap;

/// The weight of the newest interval in the mean, and in the deviation.
const NEWEST_WEIGHT: f64 = 0.125;
/// A member is suspected when its silence exceeds the mean by so many deviations.
const SUSPECT_DEVIATIONS: f64 = 4.0;
/// It is dead when its silence exceeds so many times that.
const DEAD_FACTOR: f64 = 4.0;
/// The least mean and deviation, as a part of the heartbeat interval: chance alone must not make a member
/// suspected.
const LEAST_DEVIATION: f64 = 0.5;

/// What is known of a member's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Its heartbeats come as usual.
    Alive,
    /// It is silent for longer than usual, or the connection to it broke: it may answer late.
    Suspect,
    /// It is silent for far longer than usual, or no heartbeat has come yet.
    Dead,
}

#[derive(Clone, Debug)]
struct Member {
    /// Incarnation and count: the count begins anew with each incarnation.
    heartbeat: (u64, u64),
    last_heartbeat_at: Option<Timestamp>,
    mean_interval: Duration,
    deviation: Duration,
    /// The connection to it broke, and no heartbeat has come since.
    is_suspected: bool,
}

/// The members of the fleet other than this scheduler.
#[derive(Clone, Debug)]
pub struct Membership {
    interval: Duration,
    members: BTreeMap<Name, Member>,
}

impl Membership {
    /// Members of which nothing is known yet, each of which sends a heartbeat at this interval.
    pub fn new(members: impl IntoIterator<Item = Name>, interval: Duration) -> Self {
        let fresh = Member {
            heartbeat: (0, 0),
            last_heartbeat_at: None,
            mean_interval: interval,
            deviation: interval * LEAST_DEVIATION,
            is_suspected: false,
        };
        Self { interval, members: members.into_iter().map(|name| (name, fresh.clone())).collect() }
    }

    /// A member's heartbeat (incarnation and count) arrived, directly or through others; true where it is
    /// newer than what was known.
    pub fn on_heartbeat(&mut self, now: Timestamp, name: &Name, heartbeat: (u64, u64)) -> bool {
        let least = self.interval * LEAST_DEVIATION;
        let Some(member) = self.members.get_mut(name) else { return false };
        if heartbeat <= member.heartbeat {
            return false;
        }
        if let Some(last_heartbeat_at) = member.last_heartbeat_at.replace(now) {
            let gap = now - last_heartbeat_at;
            let mean = member.mean_interval;
            let deviation = if gap > mean { gap - mean } else { mean - gap };
            member.mean_interval = mean.moved_towards(gap, NEWEST_WEIGHT).max(least);
            member.deviation = member.deviation.moved_towards(deviation, NEWEST_WEIGHT).max(least);
        }
        (member.heartbeat, member.is_suspected) = (heartbeat, false);
        true
    }

    /// The connection to a member broke: it is suspected until its next heartbeat.
    pub fn suspect(&mut self, name: &Name) {
        if let Some(member) = self.members.get_mut(name) {
            member.is_suspected = true;
        }
    }

    /// This process was paused for so long: the others may have sent heartbeats meanwhile.
    pub fn on_process_pause(&mut self, pause: Duration) {
        for last_heartbeat_at in
            self.members.values_mut().filter_map(|member| member.last_heartbeat_at.as_mut())
        {
            *last_heartbeat_at = *last_heartbeat_at + pause;
        }
    }

    /// A member's state by its silence; unknown names are dead.
    pub fn member_state(&self, now: Timestamp, name: &Name) -> MemberState {
        let Some(member) = self.members.get(name) else { return MemberState::Dead };
        let Some(last_heartbeat_at) = member.last_heartbeat_at else { return MemberState::Dead };
        let usual = member.mean_interval + member.deviation * SUSPECT_DEVIATIONS;
        match now - last_heartbeat_at {
            silence if silence <= usual && !member.is_suspected => MemberState::Alive,
            silence if silence <= usual * DEAD_FACTOR => MemberState::Suspect,
            _ => MemberState::Dead,
        }
    }

    /// The connection to a member broke, and no heartbeat has come since: more than a silence.
    pub fn is_suspected(&self, name: &Name) -> bool {
        self.members.get(name).is_some_and(|member| member.is_suspected)
    }

    /// The newest heartbeat of a member: incarnation and count, zero where none is known.
    pub fn heartbeat_of(&self, name: &Name) -> (u64, u64) {
        self.members.get(name).map_or((0, 0), |member| member.heartbeat)
    }

    /// The time since a member's last heartbeat; nothing where none has come.
    pub fn silence(&self, now: Timestamp, name: &Name) -> Option<Duration> {
        self.members.get(name)?.last_heartbeat_at.map(|last_heartbeat_at| now - last_heartbeat_at)
    }

    /// The names of all members, in their order.
    pub fn members(&self) -> impl Iterator<Item = &Name> {
        self.members.keys()
    }

    /// Whether there is a member of this name.
    pub fn contains(&self, name: &str) -> bool {
        self.members.contains_key(name)
    }

    /// The number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// There are no other members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}
