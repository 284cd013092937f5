//! Stories and properties of the limits on connections.

use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_limits::{Act, Limits, Pressure, Settings, Wheel, Why};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_nanos(ms * 1_000_000)
}

fn limits(most: usize) -> Limits {
    Limits::new(Settings { most, most_of_a_name: 3, ..Settings::default() })
}

fn all_due(limits: &mut Limits, ms: u64) -> Vec<(u64, Act)> {
    std::iter::from_fn(|| limits.due(at(ms), &mut usize::MAX.clone())).collect()
}

#[test]
fn whoever_does_not_greet_in_time_is_ended() {
    let mut limits = limits(10);
    limits.opened(at(0), 1).expect("there is room");
    limits.opened(at(0), 2).expect("there is room");
    limits.greeted(2, &"fine".into()).expect("is the first");
    assert_eq!(all_due(&mut limits, 4_900), []);
    assert_eq!(all_due(&mut limits, 5_100), [(1, Act::End(Why::NoGreeting))]);
}

#[test]
fn a_byte_a_second_does_not_hold_a_frame_open_for_ever() {
    let mut limits = limits(10);
    limits.opened(at(0), 1).expect("there is room");
    limits.greeted(1, &"slow".into()).expect("is the first");
    for second in 1..=12 {
        limits.heard(at(second * 1_000), 1);
        limits.read(at(second * 1_000), 1, true);
    }
    assert_eq!(all_due(&mut limits, 11_200), [(1, Act::End(Why::SlowFrame))]);
}

#[test]
fn silence_is_asked_about_and_ends_only_without_a_sign() {
    let mut limits = limits(10);
    for conn in [1, 2] {
        limits.opened(at(0), conn).expect("there is room");
        limits.greeted(conn, &"quiet".into()).expect("is one of three");
    }
    assert_eq!(all_due(&mut limits, 60_100), [(1, Act::AskForSign), (2, Act::AskForSign)]);
    limits.heard(at(60_200), 1);
    assert_eq!(all_due(&mut limits, 70_300), [(2, Act::End(Why::Silent))]);
    assert_eq!(all_due(&mut limits, 120_300), [(1, Act::AskForSign)]);
}

#[test]
fn our_own_standstill_ends_nobody() {
    let mut limits = limits(10);
    limits.opened(at(0), 1).expect("there is room");
    limits.greeted(1, &"quiet".into()).expect("is the first");
    // Woken after ten minutes: the first thing is the question, and only silence after it ends.
    assert_eq!(all_due(&mut limits, 600_000), [(1, Act::AskForSign)]);
    assert_eq!(all_due(&mut limits, 609_000), []);
}

#[test]
fn a_new_one_takes_the_place_of_the_longest_idle_and_never_of_one_with_a_task() {
    let mut limits = limits(2);
    for conn in [1, 2] {
        limits.opened(at(conn), conn).expect("there is room");
        limits.greeted(conn, &"owner".into()).expect("is one of three");
    }
    limits.in_hand(1, 1);
    assert_eq!(limits.opened(at(30), 3), Ok(Some(2)));
    limits.in_hand(3, 2);
    assert_eq!(limits.opened(at(31), 4), Err(Why::Full));
    limits.in_hand(1, 0);
    assert_eq!(limits.opened(at(32), 4), Ok(Some(1)), "its task is over");
}

#[test]
fn strangers_make_room_only_once_they_had_the_time_to_speak_and_one_that_spoke_stays() {
    let mut limits = Limits::new(Settings {
        most_strangers: 2,
        may_speak: Duration::from_nanos(20_000_000),
        ..Settings::default()
    });
    for conn in [1, 2] {
        assert_eq!(limits.waits_until(), None);
        limits.opened(at(conn), conn).expect("there is room");
    }
    assert_eq!(limits.waits_until(), Some(at(21)), "others wait outside until then");
    assert_eq!(limits.opened(at(21), 3), Ok(Some(1)));
    limits.stays(at(21), 1);
    limits.greeted(1, &"owner".into()).expect("is the first");
    assert_eq!((limits.len(), limits.waits_until()), (3, Some(at(22))));
}

#[test]
fn those_within_their_greetings_hold_nobody_up_while_places_are_free_and_make_room_when_none_is() {
    let mut limits = Limits::new(Settings {
        most: 6,
        most_strangers: 2,
        may_speak: Duration::from_nanos(20_000_000),
        ..Settings::default()
    });
    for conn in 1..=4 {
        assert_eq!(limits.opened(at(conn), conn), Ok(None));
        limits.read(at(conn), conn, true);
    }
    assert_eq!(limits.opened(at(5), 5), Ok(None));
    assert_eq!(limits.waits_until(), None, "one alone has said nothing");
    assert_eq!(limits.opened(at(6), 6), Ok(None));
    assert_eq!(limits.waits_until(), Some(at(25)), "two have, and the first of them makes room");
    limits.read(at(7), 5, true);
    assert_eq!(limits.waits_until(), Some(at(21)), "all places are taken: the first of all makes room");
    assert_eq!(limits.opened(at(21), 7), Ok(Some(1)));
}

#[test]
fn one_name_has_so_many_connections_and_gets_their_places_back() {
    let mut limits = limits(10);
    for conn in 0..4 {
        limits.opened(at(0), conn).expect("there is room");
        assert_eq!(limits.greeted(conn, &"greedy".into()).is_ok(), conn < 3);
    }
    limits.forget(0);
    limits.opened(at(0), 9).expect("there is room");
    assert_eq!(limits.greeted(9, &"greedy".into()), Ok(()));
}

#[test]
fn those_that_woke_are_heard_after_those_that_spoke_all_along() {
    let mut limits = limits(10);
    for conn in [1, 2] {
        limits.opened(at(0), conn).expect("there is room");
    }
    for second in 0..10 {
        limits.heard(at(second * 1_000), 1);
    }
    limits.heard(at(10_000), 2);
    assert!(limits.is_steady(at(10_000), 1) && !limits.is_steady(at(10_000), 2));
}

#[test]
fn pressure_cuts_what_is_open_and_gives_back_slowly_without_swinging() {
    let mut pressure = Pressure::new(1_000);
    let slow = Duration::from_nanos(80_000_000);
    let short = Duration::from_nanos(1_000_000);
    pressure.turn_took(at(3_000), slow, 500);
    assert_eq!(pressure.allowed(), 400);
    pressure.turn_took(at(3_500), slow, 500);
    assert_eq!(pressure.allowed(), 400, "the cut has had no time to act");
    pressure.turn_took(at(6_000), Duration::from_nanos(30_000_000), 400);
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

#[test]
fn who_opens_and_never_greets_takes_no_place_of_those_who_did() {
    let mut limits = Limits::new(Settings { most: 100, most_strangers: 5, ..Settings::default() });
    for conn in 0..50 {
        limits.opened(at(conn), conn).expect("there is room");
        limits.greeted(conn, &format!("tool/{conn}").as_str().into()).expect("there is room");
    }
    for conn in 100..105 {
        assert_eq!(limits.opened(at(conn), conn), Ok(None));
    }
    for conn in 105..200 {
        assert_eq!(limits.opened(at(conn), conn), Ok(Some(conn - 5)), "the first stranger makes room");
    }
}

#[test]
fn a_tenant_has_so_many_connections_under_whatever_names() {
    let mut limits = Limits::new(Settings { most_of_a_tenant: 3, ..Settings::default() });
    for (conn, name) in ["a/1", "a/2", "a/2", "a/3", "a", "b/1"].into_iter().enumerate() {
        limits.opened(at(0), conn as u64).expect("there is room");
        let fits = conn < 3 || name == "b/1";
        assert_eq!(limits.greeted(conn as u64, &name.into()).is_ok(), fits, "{name}");
    }
}

#[test]
fn those_who_came_at_one_moment_are_not_asked_at_one_moment() {
    const ALL: u64 = 100_000;
    let most = ALL as usize;
    let mut limits = Limits::new(Settings {
        most_of_a_name: most,
        most_of_a_tenant: most,
        most_strangers: most,
        ..Settings::default()
    });
    for conn in 0..ALL {
        limits.opened(at(0), conn).expect("there is room");
        limits.greeted(conn, &"all".into()).expect("there is room");
        limits.heard(at(1), conn);
    }
    let (mut now, mut worst, mut asked) = (0, 0, 0);
    while now < 140_000 {
        now += 64;
        let due = all_due(&mut limits, now);
        assert!(due.iter().all(|(_, act)| *act == Act::AskForSign));
        due.iter().for_each(|(conn, _)| limits.heard(at(now + 1), *conn));
        (worst, asked) = (worst.max(due.len()), asked + due.len() as u64);
    }
    assert!(asked > ALL * 2, "each is asked every 45 to 60 s");
    assert!(worst < 700, "{worst} in 64 ms; spread evenly over the quarter of 60 s it would be 427");
}

#[test]
fn a_hundred_thousand_due_at_one_moment_are_worked_off_in_slices() {
    let mut limits = Limits::new(Settings { most_strangers: 100_000, ..Settings::default() });
    for conn in 0..100_000 {
        limits.opened(at(0), conn).expect("there is room");
    }
    // None greets: all are due at one tick, and nothing else is late for it.
    let mut ended = 0;
    for _ in 0..196 {
        let mut budget = 512;
        let before = ended;
        while let Some((_, act)) = limits.due(at(5_100), &mut budget) {
            assert_eq!(act, Act::End(Why::NoGreeting));
            ended += 1;
        }
        assert!(
            ended - before <= 512 && (limits.is_empty() || limits.wake().is_some_and(|at_| at_ <= at(5_100)))
        );
    }
    assert_eq!(ended, 100_000);
}

#[test]
fn while_a_greeting_waits_in_our_line_it_is_not_late_and_a_standstill_gives_all_time_anew() {
    let mut limits = limits(10);
    limits.opened(at(0), 1).expect("there is room");
    limits.heard(at(10), 1);
    limits.stands_in_line(1, false);
    assert_eq!(all_due(&mut limits, 9_000), []);
    assert_eq!(limits.next_heard(), Some(1));
    limits.greeted(1, &"late".into()).expect("is the first");
    assert_eq!(all_due(&mut limits, 60_100), [(1, Act::AskForSign)]);
    // Here the process stands still for 20 s, before the question went out.
    limits.woke(at(80_000));
    assert_eq!(all_due(&mut limits, 80_001), []);
    assert_eq!(all_due(&mut limits, 90_100), [(1, Act::End(Why::Silent))]);
}

#[test]
fn machines_have_their_descriptors_before_clients_and_a_pinch_lets_idle_ones_go() {
    let mut limits = Limits::new(Settings::default());
    limits.descriptors(1_000);
    limits.begin_turn(500);
    assert_eq!(limits.allowed(), 1_000 - 500 - 64);
    for conn in 0..300 {
        limits.opened(at(conn), conn).expect("there is room");
        limits.in_hand(conn, u32::from(conn % 2 == 0));
    }
    let out = limits.pinched(at(1_000));
    assert_eq!(out, (0..16).map(|n| n * 2 + 1).collect::<Vec<_>>(), "idle ones, longest silent first");
    assert!(limits.allowed() <= 284 && limits.len() == 284);
}

#[test]
fn so_many_are_taken_in_a_turn_and_fewer_where_turns_are_long() {
    let mut limits = Limits::new(Settings { opens_a_turn: 64, ..Settings::default() });
    for conn in 0..64 {
        limits.opened(at(0), conn).expect("there is room");
    }
    assert_eq!(limits.takes(), 0);
    let long = Duration::from_nanos(60_000_000);
    for _ in 0..10 {
        limits.turn_took(at(0), long);
    }
    limits.begin_turn(0);
    assert_eq!(limits.takes(), 4, "never none");
    for _ in 0..20 {
        limits.turn_took(at(0), Duration::from_nanos(1_000_000));
    }
    assert_eq!(limits.takes(), 64);
}

#[test]
fn a_tenant_that_keeps_all_its_connections_speaking_is_steady_for_a_share_of_a_turn_alone() {
    let mut limits = Limits::new(Settings { woken_a_turn: 8, ..Settings::default() });
    for conn in 0..101 {
        limits.opened(at(0), conn).expect("there is room");
        let name = if conn < 100 { format!("loud/{conn}") } else { "quiet".to_owned() };
        limits.greeted(conn, &name.as_str().into()).expect("there is room");
    }
    for second in 1..10 {
        (0..101).for_each(|conn| limits.heard(at(second * 1_000), conn));
    }
    limits.begin_turn(0);
    let now: Vec<u64> = (0..101).filter(|conn| limits.speaks(at(9_500), *conn, false)).collect();
    assert_eq!(now, [0, 1, 2, 3, 4, 5, 6, 7, 100]);
}

#[test]
fn those_with_tasks_in_hand_are_heard_first_and_the_others_have_a_part() {
    let mut limits = Limits::new(Settings { woken_a_turn: 8, ..Settings::default() });
    (0..40).for_each(|conn| limits.stands_in_line(conn, conn >= 20));
    limits.begin_turn(0);
    let heard: Vec<u64> = std::iter::from_fn(|| limits.next_heard()).collect();
    assert_eq!(heard, [20, 21, 22, 23, 24, 25, 0, 1]);
}

proptest! {
    #[test]
    fn nobody_in_line_waits_for_more_than_one_round_of_the_tenants_before_it(
        lines in proptest::collection::vec((0u8..5, any::<bool>()), 1..200),
        most in 1usize..20,
    ) {
        let mut limits = Limits::new(Settings { woken_a_turn: most, ..Settings::default() });
        let mut waits = BTreeMap::new();
        for (conn, (tenant, returns)) in lines.iter().enumerate() {
            let conn = conn as u64;
            limits.opened(at(0), conn).expect("there is room");
            limits.greeted(conn, &format!("{tenant}/{conn}").as_str().into()).expect("there is room");
            limits.stands_in_line(conn, *returns);
            waits.insert(conn, (*tenant, *returns));
        }
        while limits.any_in_line() {
            limits.begin_turn(0);
            let heard: Vec<u64> = std::iter::from_fn(|| limits.next_heard()).collect();
            prop_assert!(!heard.is_empty() && heard.len() <= most.max(2));
            // Of the others one is heard in every turn, whoever comes back.
            if waits.values().any(|(_, returns)| !returns) {
                prop_assert!(heard.iter().any(|conn| !waits[conn].1));
            }
            for conn in &heard {
                let (tenant, returns) = waits.remove(conn).expect("is heard once");
                let ahead = |(other, w): (&u64, &(u8, bool))| *w == (tenant, returns) && other < conn;
                prop_assert!(!waits.iter().any(ahead), "within a tenant, in the order of coming");
            }
        }
        prop_assert!(waits.is_empty());
    }

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
                (3, Some(conn)) => {
                    limits.heard(at(now), conn);
                    limits.read(at(now), conn, which % 4 == 0);
                }
                (4, Some(conn)) if limits.greeted(conn, &"someone".into()).is_err() => {
                    open.remove(&conn);
                }
                (4, Some(_)) => {}
                (_, Some(conn)) => {
                    limits.forget(conn);
                    open.remove(&conn);
                }
                _ => {}
            }
            while let Some((conn, act)) = limits.due(at(now), &mut 1_000) {
                if matches!(act, Act::End(_)) {
                    prop_assert!(open.remove(&conn).is_some(), "it was over already");
                }
            }
            prop_assert!(limits.len() <= 5);
            prop_assert_eq!(limits.len(), open.len());
        }
    }
}
