//! Who of the members is there, slow, or gone, judged from what exchanges bring and nothing else.
//!
//! Every scheduler counts its own beats; counts spread with whatever else is exchanged, so that a member is
//! heard of through others while the way to it is cut (van Renesse, Minsky, Hayden: A Gossip-Style Failure
//! Detection Service, 1998). How long a silence may be follows from how regularly its beats came before
//! (Jacobson's mean and deviation, 1988; the phi accrual detector, Hayashibara and others, 2004, does the
//! same with a full distribution).

use crate::name::Name;
use mulleinhub_interface::{Duration, Timestamp};
use std::collections::BTreeMap;

/// Weight of the newest gap in the mean, and in the deviation.
const NEWEST: f64 = 0.125;
/// Slow beyond the mean and so many deviations, gone beyond this many times that.
const DEVIATIONS: f64 = 4.0;
const GONE: f64 = 4.0;
/// No gap is taken for shorter than this part of a beat: chance alone must not make one slow.
const LEAST_DEVIATION: f64 = 0.5;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    Alive,
    /// Nothing was heard for longer than usual: what it is asked for may come late.
    Suspect,
    Dead,
}

#[derive(Clone, Debug)]
struct Member {
    /// Life and count: a new life's beats begin anew.
    beat: (u64, u64),
    heard: Option<Timestamp>,
    mean: Duration,
    deviation: Duration,
    /// A connection to it broke, and it has not been heard of since.
    suspected: bool,
}

/// The members of the fleet but oneself.
#[derive(Clone, Debug)]
pub struct Membership {
    every: Duration,
    members: BTreeMap<Name, Member>,
}

impl Membership {
    pub fn new(members: impl IntoIterator<Item = Name>, every: Duration) -> Self {
        let deviation = every * LEAST_DEVIATION;
        let fresh = Member { beat: (0, 0), heard: None, mean: every, deviation, suspected: false };
        Self { every, members: members.into_iter().map(|name| (name, fresh.clone())).collect() }
    }

    /// A count of a member's beats; true where it is newer than what was known.
    pub fn beat(&mut self, now: Timestamp, name: &Name, beat: (u64, u64)) -> bool {
        let every = self.every;
        let Some(member) = self.members.get_mut(name) else { return false };
        if beat <= member.beat {
            return false;
        }
        if let Some(heard) = member.heard.replace(now) {
            let gap = now - heard;
            let off = if gap > member.mean { gap - member.mean } else { member.mean - gap };
            member.mean = member.mean.moved_towards(gap, NEWEST).max(every * LEAST_DEVIATION);
            member.deviation = member.deviation.moved_towards(off, NEWEST).max(every * LEAST_DEVIATION);
        }
        (member.beat, member.suspected) = (beat, false);
        true
    }

    /// A connection to it broke: it counts as slow until it is heard of.
    pub fn suspect(&mut self, name: &Name) {
        if let Some(member) = self.members.get_mut(name) {
            member.suspected = true;
        }
    }

    /// This process stood still: what was silent meanwhile may have spoken.
    pub fn stood(&mut self, still: Duration) {
        for heard in self.members.values_mut().filter_map(|member| member.heard.as_mut()) {
            *heard = *heard + still;
        }
    }

    pub fn presence(&self, now: Timestamp, name: &Name) -> MemberState {
        let Some(member) = self.members.get(name) else { return MemberState::Dead };
        let Some(heard) = member.heard else { return MemberState::Dead };
        let usual = member.mean + member.deviation * DEVIATIONS;
        match now - heard {
            silent if silent <= usual && !member.suspected => MemberState::Alive,
            silent if silent <= usual * GONE => MemberState::Suspect,
            _ => MemberState::Dead,
        }
    }

    /// A connection to it broke, and it has not been heard of since: more than a silence.
    pub fn is_suspected(&self, name: &Name) -> bool {
        self.members.get(name).is_some_and(|member| member.suspected)
    }

    pub fn beat_of(&self, name: &Name) -> (u64, u64) {
        self.members.get(name).map_or((0, 0), |member| member.beat)
    }

    /// For how long nothing new was heard of it; nothing where it was never heard of.
    pub fn silent(&self, now: Timestamp, name: &Name) -> Option<Duration> {
        self.members.get(name)?.heard.map(|heard| now - heard)
    }

    pub fn members(&self) -> impl Iterator<Item = &Name> {
        self.members.keys()
    }

    pub fn holds(&self, name: &str) -> bool {
        self.members.contains_key(name)
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const EVERY: Duration = Duration::from_secs(1);

    fn at(ms: u64) -> Timestamp {
        Timestamp::from_nanos(ms * 1_000_000)
    }

    fn regular(until: u64) -> (Membership, Name) {
        let name = Name::from("two");
        let mut roll = Membership::new([name.clone()], EVERY);
        (0..=until).for_each(|n| assert!(roll.beat(at(n * 1_000), &name, (1, n + 1))));
        (roll, name)
    }

    #[test]
    fn a_member_is_slow_after_an_unusual_silence_and_gone_after_a_long_one() {
        let (roll, name) = regular(20);
        assert_eq!(
            Membership::new([name.clone()], EVERY).presence(at(0), &name),
            MemberState::Dead,
            "never heard of"
        );
        assert_eq!(roll.presence(at(21_500), &name), MemberState::Alive);
        assert_eq!(roll.presence(at(24_000), &name), MemberState::Suspect);
        assert_eq!(roll.presence(at(40_000), &name), MemberState::Dead);
    }

    #[test]
    fn our_own_standstill_is_no_silence_of_the_others() {
        let (mut roll, name) = regular(20);
        roll.stood(Duration::from_secs(30));
        assert_eq!(roll.presence(at(51_000), &name), MemberState::Alive);
    }

    #[test]
    fn one_that_beats_irregularly_is_waited_for_longer() {
        let name = Name::from("two");
        let mut roll = Membership::new([name.clone()], EVERY);
        let mut now = 0;
        for n in 0..40 {
            now += if n % 2 == 0 { 200 } else { 4_000 };
            roll.beat(at(now), &name, (1, n + 1));
        }
        assert_eq!(roll.presence(at(now + 8_000), &name), MemberState::Alive);
    }

    #[test]
    fn one_whose_connection_broke_is_slow_until_it_is_heard_of() {
        let (mut roll, name) = regular(20);
        roll.suspect(&name);
        assert_eq!(roll.presence(at(20_100), &name), MemberState::Suspect);
        assert!(roll.beat(at(20_200), &name, (1, 90)));
        assert_eq!(roll.presence(at(20_200), &name), MemberState::Alive);
    }

    #[test]
    fn beats_of_a_former_life_that_come_late_count_for_nothing() {
        let (mut roll, name) = regular(3);
        assert!(roll.beat(at(4_000), &name, (2, 1)));
        assert!(!roll.beat(at(9_000), &name, (1, 900)));
        assert_eq!(roll.presence(at(9_000), &name), MemberState::Suspect);
    }
}
