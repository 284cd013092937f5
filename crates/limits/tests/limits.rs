//! Stories and properties of the limits on connections.

use mulleinhub_interface::{Span, Time};
use mulleinhub_limits::{Act, Limits, Pressure, Settings, Wheel, Why};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn at(ms: u64) -> Time {
    Time::from_nanos(ms * 1_000_000)
}

fn limits(most: usize) -> Limits {
    Limits::new(Settings { most, most_of_a_name: 3, ..Settings::default() })
}

fn all_due(limits: &mut Limits, ms: u64) -> Vec<(u64, Act)> {
    std::iter::from_fn(|| limits.due(at(ms))).collect()
}

#[test]
fn whoever_does_not_greet_in_time_is_ended() {
    let mut limits = limits(10);
    limits.opened(at(0), 1).expect("there is room");
    limits.opened(at(0), 2).expect("there is room");
    limits.greeted(2, "fine").expect("is the first");
    assert_eq!(all_due(&mut limits, 4_900), []);
    assert_eq!(all_due(&mut limits, 5_100), [(1, Act::End(Why::NoGreeting))]);
}

#[test]
fn a_byte_a_second_does_not_hold_a_frame_open_for_ever() {
    let mut limits = limits(10);
    limits.opened(at(0), 1).expect("there is room");
    limits.greeted(1, "slow").expect("is the first");
    for second in 1..=12 {
        limits.heard(at(second * 1_000), 1, true);
    }
    assert_eq!(all_due(&mut limits, 11_200), [(1, Act::End(Why::SlowFrame))]);
}

#[test]
fn silence_is_asked_about_and_ends_only_without_a_sign() {
    let mut limits = limits(10);
    for conn in [1, 2] {
        limits.opened(at(0), conn).expect("there is room");
        limits.greeted(conn, "quiet").expect("is one of three");
    }
    assert_eq!(all_due(&mut limits, 60_100), [(1, Act::AskForSign), (2, Act::AskForSign)]);
    limits.heard(at(60_200), 1, false);
    assert_eq!(all_due(&mut limits, 70_300), [(2, Act::End(Why::Silent))]);
    assert_eq!(all_due(&mut limits, 120_300), [(1, Act::AskForSign)]);
}

#[test]
fn our_own_standstill_ends_nobody() {
    let mut limits = limits(10);
    limits.opened(at(0), 1).expect("there is room");
    limits.greeted(1, "quiet").expect("is the first");
    // Woken after ten minutes: the first thing is the question, and only silence after it ends.
    assert_eq!(all_due(&mut limits, 600_000), [(1, Act::AskForSign)]);
    assert_eq!(all_due(&mut limits, 609_000), []);
}

#[test]
fn a_new_one_takes_the_place_of_the_longest_idle_and_never_of_one_with_a_task() {
    let mut limits = limits(2);
    for conn in [1, 2] {
        limits.opened(at(conn), conn).expect("there is room");
        limits.greeted(conn, "owner").expect("is one of three");
    }
    limits.in_hand(1, 1);
    assert_eq!(limits.opened(at(10), 3), Ok(Some(2)));
    limits.in_hand(3, 2);
    assert_eq!(limits.opened(at(11), 4), Err(Why::Full));
    limits.in_hand(1, 0);
    assert_eq!(limits.opened(at(12), 4), Ok(Some(1)), "its task is over");
}

#[test]
fn one_name_has_so_many_connections_and_gets_their_places_back() {
    let mut limits = limits(10);
    for conn in 0..4 {
        limits.opened(at(0), conn).expect("there is room");
        assert_eq!(limits.greeted(conn, "greedy").is_ok(), conn < 3);
    }
    limits.forget(0);
    limits.opened(at(0), 9).expect("there is room");
    assert_eq!(limits.greeted(9, "greedy"), Ok(()));
}

#[test]
fn those_that_woke_are_heard_after_those_that_spoke_all_along() {
    let mut limits = limits(10);
    for conn in [1, 2] {
        limits.opened(at(0), conn).expect("there is room");
    }
    for second in 0..10 {
        limits.heard(at(second * 1_000), 1, false);
    }
    limits.heard(at(10_000), 2, false);
    assert!(limits.is_steady(at(10_000), 1) && !limits.is_steady(at(10_000), 2));
}

#[test]
fn pressure_cuts_what_is_open_and_gives_back_slowly_without_swinging() {
    let mut pressure = Pressure::new(1_000);
    let slow = Span::from_nanos(80_000_000);
    let short = Span::from_nanos(1_000_000);
    pressure.turn_took(at(3_000), slow, 500);
    assert_eq!(pressure.allowed(), 400);
    pressure.turn_took(at(3_500), slow, 500);
    assert_eq!(pressure.allowed(), 400, "the cut has had no time to act");
    pressure.turn_took(at(6_000), Span::from_nanos(30_000_000), 400);
    assert_eq!(pressure.allowed(), 400, "neither too long nor short");
    let mut now = 10_000;
    let mut last = pressure.allowed();
    for _ in 0..200 {
        pressure.turn_took(at(now), short, last);
        assert!(pressure.allowed() >= last && pressure.allowed() - last <= 21);
        last = pressure.allowed();
        now += 2_000;
    }
    assert_eq!(last, 1_000);
}

proptest! {
    #[test]
    fn the_wheel_hands_out_every_entry_once_and_never_early(
        entries in proptest::collection::vec(0u64..400_000, 1..200),
        steps in proptest::collection::vec(1u64..90_000, 1..20),
    ) {
        let mut wheel = Wheel::default();
        for (n, ms) in entries.iter().enumerate() {
            wheel.put(at(0), at(*ms), n as u64);
        }
        let mut now = 0;
        let mut seen = BTreeMap::new();
        for step in steps.into_iter().chain([500_000]) {
            now += step;
            let next = wheel.next();
            while let Some((due, n)) = wheel.due(at(now)) {
                prop_assert!(due <= at(now) && due == at(entries[n as usize]));
                prop_assert!(next.is_some_and(|next| next <= at(now)), "it would not be woken for this");
                prop_assert!(seen.insert(n, now).is_none());
            }
            for (n, ms) in entries.iter().enumerate() {
                prop_assert!(*ms + 64 > now || seen.contains_key(&(n as u64)), "{ms} is overdue at {now}");
            }
        }
        prop_assert_eq!(seen.len(), entries.len());
        prop_assert!(wheel.is_empty());
    }

    #[test]
    fn never_over_a_limit_and_never_a_busy_one_before_an_idle_one(
        steps in proptest::collection::vec((0u8..6, 0u64..12, 1u64..4_000), 1..400),
    ) {
        let mut limits = limits(5);
        let mut open: BTreeMap<u64, u32> = BTreeMap::new();
        let (mut now, mut next) = (0, 100);
        for (what, which, wait) in steps {
            now += wait;
            let chosen = open.keys().nth(which as usize % open.len().max(1)).copied();
            match (what, chosen) {
                (0 | 1, _) => {
                    next += 1;
                    match limits.opened(at(now), next) {
                        Ok(room) => {
                            if let Some(gone) = room {
                                prop_assert_eq!(open.remove(&gone), Some(0), "one with a task was let go");
                            }
                            open.insert(next, 0);
                        }
                        Err(why) => {
                            prop_assert_eq!(why, Why::Full);
                            prop_assert!(open.values().all(|tasks| *tasks > 0), "an idle one was to go");
                        }
                    }
                }
                (2, Some(conn)) => {
                    limits.in_hand(conn, (which % 3) as u32);
                    open.insert(conn, (which % 3) as u32);
                }
                (3, Some(conn)) => limits.heard(at(now), conn, which % 4 == 0),
                (4, Some(conn)) if limits.greeted(conn, "someone").is_err() => drop(open.remove(&conn)),
                (4, Some(_)) => {}
                (_, Some(conn)) => {
                    limits.forget(conn);
                    open.remove(&conn);
                }
                _ => {}
            }
            while let Some((conn, act)) = limits.due(at(now)) {
                if matches!(act, Act::End(_)) {
                    prop_assert!(open.remove(&conn).is_some(), "it was over already");
                }
            }
            prop_assert!(limits.len() <= 5);
            prop_assert_eq!(limits.len(), open.len());
        }
    }
}
