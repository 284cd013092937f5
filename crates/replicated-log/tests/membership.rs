//! How silence and broken connections change the state of members.

use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_replicated_log::{MemberState, Membership, Name};

const INTERVAL: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_nanos(ms * 1_000_000)
}

/// A member whose heartbeats came each second up to this one.
fn regular(until: u64) -> (Membership, Name) {
    let name = Name::from("two");
    let mut membership = Membership::new([name.clone()], INTERVAL);
    (0..=until).for_each(|n| assert!(membership.on_heartbeat(at(n * 1_000), &name, (1, n + 1))));
    (membership, name)
}

#[test]
fn long_silence_makes_member_suspect_then_dead() {
    let (membership, name) = regular(20);
    assert_eq!(
        Membership::new([name.clone()], INTERVAL).member_state(at(0), &name),
        MemberState::Dead,
        "no heartbeat yet"
    );
    assert_eq!(membership.member_state(at(21_500), &name), MemberState::Alive);
    assert_eq!(membership.member_state(at(24_000), &name), MemberState::Suspect);
    assert_eq!(membership.member_state(at(40_000), &name), MemberState::Dead);
}

#[test]
fn process_pause_is_not_counted_as_silence() {
    let (mut membership, name) = regular(20);
    membership.on_process_pause(Duration::from_secs(30));
    assert_eq!(membership.member_state(at(51_000), &name), MemberState::Alive);
}

#[test]
fn irregular_heartbeats_extend_the_timeout() {
    let name = Name::from("two");
    let mut membership = Membership::new([name.clone()], INTERVAL);
    let mut now = 0;
    for n in 0..40 {
        now += if n % 2 == 0 { 200 } else { 4_000 };
        membership.on_heartbeat(at(now), &name, (1, n + 1));
    }
    assert_eq!(membership.member_state(at(now + 8_000), &name), MemberState::Alive);
}

#[test]
fn broken_connection_makes_member_suspect_until_heartbeat() {
    let (mut membership, name) = regular(20);
    membership.suspect(&name);
    assert_eq!(membership.member_state(at(20_100), &name), MemberState::Suspect);
    assert!(membership.on_heartbeat(at(20_200), &name, (1, 90)));
    assert_eq!(membership.member_state(at(20_200), &name), MemberState::Alive);
}

#[test]
fn heartbeats_of_earlier_incarnation_are_ignored() {
    let (mut membership, name) = regular(3);
    assert!(membership.on_heartbeat(at(4_000), &name, (2, 1)));
    assert!(!membership.on_heartbeat(at(9_000), &name, (1, 900)));
    assert_eq!(membership.member_state(at(9_000), &name), MemberState::Suspect);
}
