//! Tests and properties of the limits on client connections.

use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_limits::{Action, AdaptiveLimit, ConnectionLimits, DisconnectReason, Settings, TimerWheel};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_nanos(ms * 1_000_000)
}

fn limits(max_connections: usize) -> ConnectionLimits {
    ConnectionLimits::new(Settings { max_connections, max_per_name: 3, ..Settings::default() })
}

fn all_due(limits: &mut ConnectionLimits, ms: u64) -> Vec<(u64, Action)> {
    std::iter::from_fn(|| limits.next_due(at(ms), &mut usize::MAX.clone())).collect()
}

#[test]
fn connection_without_greeting_times_out() {
    let mut limits = limits(10);
    limits.accept(at(0), 1).expect("below the limits");
    limits.accept(at(0), 2).expect("below the limits");
    limits.identify(2, &"prompt".into()).expect("below the name limit");
    assert_eq!(all_due(&mut limits, 4_900), []);
    assert_eq!(all_due(&mut limits, 5_100), [(1, Action::Disconnect(DisconnectReason::GreetingTimeout))]);
}

#[test]
fn slow_frame_times_out_despite_activity() {
    let mut limits = limits(10);
    limits.accept(at(0), 1).expect("below the limits");
    limits.identify(1, &"slow".into()).expect("below the name limit");
    for second in 1..=12 {
        limits.record_activity(at(second * 1_000), 1);
        limits.set_partial_frame(at(second * 1_000), 1, true);
    }
    assert_eq!(all_due(&mut limits, 11_200), [(1, Action::Disconnect(DisconnectReason::FrameTimeout))]);
}

#[test]
fn silent_connection_is_pinged_then_closed() {
    let mut limits = limits(10);
    for id in [1, 2] {
        limits.accept(at(0), id).expect("below the limits");
        limits.identify(id, &"quiet".into()).expect("below the name limit");
    }
    assert_eq!(all_due(&mut limits, 60_100), [(1, Action::Ping), (2, Action::Ping)]);
    limits.record_activity(at(60_200), 1);
    assert_eq!(all_due(&mut limits, 70_300), [(2, Action::Disconnect(DisconnectReason::KeepaliveTimeout))]);
    assert_eq!(all_due(&mut limits, 120_300), [(1, Action::Ping)]);
}

#[test]
fn process_pause_closes_no_connection() {
    let mut limits = limits(10);
    limits.accept(at(0), 1).expect("below the limits");
    limits.identify(1, &"quiet".into()).expect("below the name limit");
    // Resumed after ten minutes: a ping is sent first, and only silence after it closes the connection.
    assert_eq!(all_due(&mut limits, 600_000), [(1, Action::Ping)]);
    assert_eq!(all_due(&mut limits, 609_000), []);
}

#[test]
fn new_connection_evicts_longest_idle_never_one_with_tasks() {
    let mut limits = limits(2);
    for id in [1, 2] {
        limits.accept(at(id), id).expect("below the limits");
        limits.identify(id, &"client".into()).expect("below the name limit");
    }
    limits.set_tasks_in_flight(1, 1);
    assert_eq!(limits.accept(at(30), 3), Ok(Some(2)));
    limits.set_tasks_in_flight(3, 2);
    assert_eq!(limits.accept(at(31), 4), Err(DisconnectReason::ConnectionLimit));
    limits.set_tasks_in_flight(1, 0);
    assert_eq!(limits.accept(at(32), 4), Ok(Some(1)), "its task has closed");
}

#[test]
fn unidentified_connection_is_evicted_after_grace_and_readmitted_if_it_spoke() {
    let mut limits = ConnectionLimits::new(Settings {
        max_unidentified: 2,
        eviction_grace: Duration::from_nanos(20_000_000),
        ..Settings::default()
    });
    for id in [1, 2] {
        assert_eq!(limits.accept_paused_until(), None);
        limits.accept(at(id), id).expect("below the limits");
    }
    assert_eq!(limits.accept_paused_until(), Some(at(21)), "accepting is paused until then");
    assert_eq!(limits.accept(at(21), 3), Ok(Some(1)));
    limits.readmit(at(21), 1);
    limits.identify(1, &"client".into()).expect("below the name limit");
    assert_eq!((limits.len(), limits.accept_paused_until()), (3, Some(at(22))));
}

#[test]
fn partial_greetings_are_evicted_only_when_no_place_is_free() {
    let mut limits = ConnectionLimits::new(Settings {
        max_connections: 6,
        max_unidentified: 2,
        eviction_grace: Duration::from_nanos(20_000_000),
        ..Settings::default()
    });
    for id in 1..=4 {
        assert_eq!(limits.accept(at(id), id), Ok(None));
        limits.set_partial_frame(at(id), id, true);
    }
    assert_eq!(limits.accept(at(5), 5), Ok(None));
    assert_eq!(limits.accept_paused_until(), None, "only one has sent nothing");
    assert_eq!(limits.accept(at(6), 6), Ok(None));
    assert_eq!(
        limits.accept_paused_until(),
        Some(at(25)),
        "two have sent nothing; the first of them is evicted next"
    );
    limits.set_partial_frame(at(7), 5, true);
    assert_eq!(
        limits.accept_paused_until(),
        Some(at(21)),
        "no place is free: the oldest of all is evicted next"
    );
    assert_eq!(limits.accept(at(21), 7), Ok(Some(1)));
}

#[test]
fn name_limit_is_enforced_and_freed_on_close() {
    let mut limits = limits(10);
    for id in 0..4 {
        limits.accept(at(0), id).expect("below the limits");
        assert_eq!(limits.identify(id, &"greedy".into()).is_ok(), id < 3);
    }
    limits.remove(0);
    limits.accept(at(0), 9).expect("below the limits");
    assert_eq!(limits.identify(9, &"greedy".into()), Ok(()));
}

#[test]
fn resumed_connection_is_not_steady() {
    let mut limits = limits(10);
    for id in [1, 2] {
        limits.accept(at(0), id).expect("below the limits");
    }
    for second in 0..10 {
        limits.record_activity(at(second * 1_000), 1);
    }
    limits.record_activity(at(10_000), 2);
    assert!(limits.is_steady(at(10_000), 1) && !limits.is_steady(at(10_000), 2));
}

#[test]
fn adaptive_limit_drops_fast_and_recovers_slowly() {
    let mut limit = AdaptiveLimit::new(1_000);
    let slow = Duration::from_nanos(80_000_000);
    let short = Duration::from_nanos(1_000_000);
    limit.record_iteration_time(at(3_000), slow, 500);
    assert_eq!(limit.current(), 400);
    limit.record_iteration_time(at(3_500), slow, 500);
    assert_eq!(limit.current(), 400, "the reduction has not settled");
    limit.record_iteration_time(at(6_000), Duration::from_nanos(30_000_000), 400);
    assert_eq!(limit.current(), 400, "neither too long nor short");
    let mut now = 10_000;
    let mut last = limit.current();
    for _ in 0..200 {
        limit.record_iteration_time(at(now), short, last);
        assert!(limit.current() >= last && limit.current() - last <= 21);
        last = limit.current();
        now += 2_000;
    }
    assert_eq!(last, 1_000);
}

#[test]
fn unidentified_connections_never_evict_identified_ones() {
    let mut limits =
        ConnectionLimits::new(Settings { max_connections: 100, max_unidentified: 5, ..Settings::default() });
    for id in 0..50 {
        limits.accept(at(id), id).expect("below the limits");
        limits.identify(id, &format!("tool/{id}").as_str().into()).expect("below the limits");
    }
    for id in 100..105 {
        assert_eq!(limits.accept(at(id), id), Ok(None));
    }
    for id in 105..200 {
        assert_eq!(limits.accept(at(id), id), Ok(Some(id - 5)), "the oldest unidentified one is evicted");
    }
}

#[test]
fn tenant_limit_spans_all_its_names() {
    let mut limits = ConnectionLimits::new(Settings { max_per_tenant: 3, ..Settings::default() });
    for (id, name) in ["a/1", "a/2", "a/2", "a/3", "a", "b/1"].into_iter().enumerate() {
        limits.accept(at(0), id as u64).expect("below the limits");
        let is_accepted = id < 3 || name == "b/1";
        assert_eq!(limits.identify(id as u64, &name.into()).is_ok(), is_accepted, "{name}");
    }
}

#[test]
fn simultaneous_connections_are_pinged_at_different_times() {
    const ALL: u64 = 100_000;
    let max = ALL as usize;
    let mut limits = ConnectionLimits::new(Settings {
        max_per_name: max,
        max_per_tenant: max,
        max_unidentified: max,
        ..Settings::default()
    });
    for id in 0..ALL {
        limits.accept(at(0), id).expect("below the limits");
        limits.identify(id, &"all".into()).expect("below the limits");
        limits.record_activity(at(1), id);
    }
    let (mut now, mut most_due, mut pings) = (0, 0, 0);
    while now < 140_000 {
        now += 64;
        let due = all_due(&mut limits, now);
        assert!(due.iter().all(|(_, action)| *action == Action::Ping));
        due.iter().for_each(|(id, _)| limits.record_activity(at(now + 1), *id));
        (most_due, pings) = (most_due.max(due.len()), pings + due.len() as u64);
    }
    assert!(pings > ALL * 2, "each is pinged every 45 to 60 s");
    assert!(most_due < 700, "{most_due} in 64 ms; spread evenly over the quarter of 60 s it would be 427");
}

#[test]
fn simultaneous_deadlines_are_processed_within_budget() {
    let mut limits = ConnectionLimits::new(Settings { max_unidentified: 100_000, ..Settings::default() });
    for id in 0..100_000 {
        limits.accept(at(0), id).expect("below the limits");
    }
    // No greeting arrives: all deadlines fall into one tick.
    let mut closed = 0;
    for _ in 0..196 {
        let mut budget = 512;
        let before = closed;
        while let Some((_, action)) = limits.next_due(at(5_100), &mut budget) {
            assert_eq!(action, Action::Disconnect(DisconnectReason::GreetingTimeout));
            closed += 1;
        }
        assert!(
            closed - before <= 512
                && (limits.is_empty() || limits.next_wakeup().is_some_and(|wakeup| wakeup <= at(5_100)))
        );
    }
    assert_eq!(closed, 100_000);
}

#[test]
fn queued_greeting_does_not_time_out_and_pause_restarts_ping_timeout() {
    let mut limits = limits(10);
    limits.accept(at(0), 1).expect("below the limits");
    limits.record_activity(at(10), 1);
    limits.enqueue_input(1, false);
    assert_eq!(all_due(&mut limits, 9_000), []);
    assert_eq!(limits.next_queued(), Some(1));
    limits.identify(1, &"late".into()).expect("below the name limit");
    assert_eq!(all_due(&mut limits, 60_100), [(1, Action::Ping)]);
    // The process is paused for 20 s before the ping is written.
    limits.on_process_resumed(at(80_000));
    assert_eq!(all_due(&mut limits, 80_001), []);
    assert_eq!(all_due(&mut limits, 90_100), [(1, Action::Disconnect(DisconnectReason::KeepaliveTimeout))]);
}

#[test]
fn machine_descriptors_are_reserved_and_exhaustion_evicts_idle_connections() {
    let mut limits = ConnectionLimits::new(Settings::default());
    limits.set_descriptor_limit(1_000);
    limits.begin_iteration(500);
    assert_eq!(limits.current_limit(), 1_000 - 500 - 64);
    for id in 0..300 {
        limits.accept(at(id), id).expect("below the limits");
        limits.set_tasks_in_flight(id, u32::from(id % 2 == 0));
    }
    let evicted = limits.on_descriptors_exhausted(at(1_000));
    assert_eq!(
        evicted,
        (0..16).map(|n| n * 2 + 1).collect::<Vec<_>>(),
        "idle connections, longest silent first"
    );
    assert!(limits.current_limit() <= 284 && limits.len() == 284);
}

#[test]
fn accept_rate_falls_after_long_iterations() {
    let mut limits = ConnectionLimits::new(Settings { max_accepts_per_iteration: 64, ..Settings::default() });
    for id in 0..64 {
        limits.accept(at(0), id).expect("below the limits");
    }
    assert_eq!(limits.accept_budget(), 0);
    let long = Duration::from_nanos(60_000_000);
    for _ in 0..10 {
        limits.record_iteration_time(at(0), long);
    }
    limits.begin_iteration(0);
    assert_eq!(limits.accept_budget(), 4, "never zero");
    for _ in 0..20 {
        limits.record_iteration_time(at(0), Duration::from_nanos(1_000_000));
    }
    assert_eq!(limits.accept_budget(), 64);
}

#[test]
fn steady_connections_per_tenant_are_bounded_per_iteration() {
    let mut limits = ConnectionLimits::new(Settings { max_queued_per_iteration: 8, ..Settings::default() });
    for id in 0..101 {
        limits.accept(at(0), id).expect("below the limits");
        let name = if id < 100 { format!("loud/{id}") } else { "quiet".to_owned() };
        limits.identify(id, &name.as_str().into()).expect("below the limits");
    }
    for second in 1..10 {
        (0..101).for_each(|id| limits.record_activity(at(second * 1_000), id));
    }
    limits.begin_iteration(0);
    let immediate: Vec<u64> = (0..101).filter(|id| limits.admit_input(at(9_500), *id, false)).collect();
    assert_eq!(immediate, [0, 1, 2, 3, 4, 5, 6, 7, 100]);
}

#[test]
fn connections_with_tasks_are_processed_first_and_others_have_a_share() {
    let mut limits = ConnectionLimits::new(Settings { max_queued_per_iteration: 8, ..Settings::default() });
    (0..40).for_each(|id| limits.enqueue_input(id, id >= 20));
    limits.begin_iteration(0);
    let processed: Vec<u64> = std::iter::from_fn(|| limits.next_queued()).collect();
    assert_eq!(processed, [20, 21, 22, 23, 24, 25, 0, 1]);
}

proptest! {
    #[test]
    fn queued_connections_are_served_round_robin_by_tenant(
        queued in proptest::collection::vec((0u8..5, any::<bool>()), 1..200),
        max in 1usize..20,
    ) {
        let settings = Settings { max_queued_per_iteration: max, ..Settings::default() };
        let mut limits = ConnectionLimits::new(settings);
        let mut waiting = BTreeMap::new();
        for (id, (tenant, has_tasks)) in queued.iter().enumerate() {
            let id = id as u64;
            limits.accept(at(0), id).expect("below the limits");
            limits.identify(id, &format!("{tenant}/{id}").as_str().into()).expect("below the limits");
            limits.enqueue_input(id, *has_tasks);
            waiting.insert(id, (*tenant, *has_tasks));
        }
        while limits.has_queued() {
            limits.begin_iteration(0);
            let processed: Vec<u64> = std::iter::from_fn(|| limits.next_queued()).collect();
            prop_assert!(!processed.is_empty() && processed.len() <= max.max(2));
            // In every iteration at least one of the others is processed.
            if waiting.values().any(|(_, has_tasks)| !has_tasks) {
                prop_assert!(processed.iter().any(|id| !waiting[id].1));
            }
            for id in &processed {
                let (tenant, has_tasks) = waiting.remove(id).expect("is processed once");
                let ahead = |(other, w): (&u64, &(u8, bool))| *w == (tenant, has_tasks) && other < id;
                prop_assert!(!waiting.iter().any(ahead), "first in, first out within a tenant");
            }
        }
        prop_assert!(waiting.is_empty());
    }

    #[test]
    fn timer_wheel_returns_each_entry_once_and_never_early(
        entries in proptest::collection::vec(0u64..400_000, 1..200),
        steps in proptest::collection::vec(1u64..90_000, 1..20),
    ) {
        let mut wheel = TimerWheel::default();
        for (n, ms) in entries.iter().enumerate() {
            wheel.insert(at(0), at(*ms), n as u64);
        }
        let mut now = 0;
        let mut seen = BTreeMap::new();
        for step in steps.into_iter().chain([500_000]) {
            now += step;
            let next = wheel.next_wakeup();
            while let Some((due, n)) = wheel.pop_due(at(now)) {
                prop_assert!(due <= at(now) && due == at(entries[n as usize]));
                prop_assert!(next.is_some_and(|next| next <= at(now)), "next_wakeup is too late");
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
    fn limits_hold_and_busy_connections_are_never_evicted(
        steps in proptest::collection::vec((0u8..6, 0u64..12, 1u64..4_000), 1..400),
    ) {
        let mut limits = limits(5);
        let mut open: BTreeMap<u64, u32> = BTreeMap::new();
        let (mut now, mut newest) = (0, 100);
        for (step, which, wait) in steps {
            now += wait;
            let chosen = open.keys().nth(which as usize % open.len().max(1)).copied();
            match (step, chosen) {
                (0 | 1, _) => {
                    newest += 1;
                    match limits.accept(at(now), newest) {
                        Ok(evicted) => {
                            if let Some(evicted) = evicted {
                                let tasks = open.remove(&evicted);
                                prop_assert_eq!(tasks, Some(0), "a connection with a task was evicted");
                            }
                            open.insert(newest, 0);
                        }
                        Err(reason) => {
                            prop_assert_eq!(reason, DisconnectReason::ConnectionLimit);
                            let no_idle = open.values().all(|tasks| *tasks > 0);
                            prop_assert!(no_idle, "an idle one should have been evicted");
                        }
                    }
                }
                (2, Some(id)) => {
                    limits.set_tasks_in_flight(id, (which % 3) as u32);
                    open.insert(id, (which % 3) as u32);
                }
                (3, Some(id)) => {
                    limits.record_activity(at(now), id);
                    limits.set_partial_frame(at(now), id, which % 4 == 0);
                }
                (4, Some(id)) if limits.identify(id, &"someone".into()).is_err() => {
                    open.remove(&id);
                }
                (4, Some(_)) => {}
                (_, Some(id)) => {
                    limits.remove(id);
                    open.remove(&id);
                }
                _ => {}
            }
            while let Some((id, action)) = limits.next_due(at(now), &mut 1_000) {
                if matches!(action, Action::Disconnect(_)) {
                    prop_assert!(open.remove(&id).is_some(), "the connection was closed already");
                }
            }
            prop_assert!(limits.len() <= 5);
            prop_assert_eq!(limits.len(), open.len());
        }
    }
}
