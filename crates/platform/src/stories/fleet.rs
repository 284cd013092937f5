//! Stories at the size of a fleet: more machines than descriptors.

use super::rig::*;
use mulleinhub_interface::Duration;
use mulleinhub_platform_protocol::{cause_code, code, kind};
use mulleinhub_sans_io::{ConnectionId, ListenerId, StateMachine};
use std::collections::BTreeSet;

/// Descriptors that the rig's configuration gives, and what of them is owners' and our own.
const DESCRIPTORS: usize = 256;
const OTHERS: usize = 256 / 3 + 64;

/// A scheduler that holds one task on each of so many machines.
fn fleet(machines: u64) -> (Rig, ConnectionId) {
    let mut rig = Rig::of(machines, |conf| conf.replace(r#""memory_mb":32"#, r#""memory_mb":64"#));
    let owner = rig.owner();
    for n in 1..=machines {
        let class = if n % 2 == 0 { "front" } else { "batch" };
        rig.say(owner, &set_up(n, class, &format!(";at:{}", uid(n))));
    }
    (rig, owner)
}

/// Lets time pass in small steps, and holds the open connections against the bound at each of them.
fn pass_within_bounds(rig: &mut Rig, span: Duration) {
    let until = rig.now + span;
    while rig.now < until {
        rig.pass(ms(50));
        let connections = rig.opened.values().filter(|to| !to.ends_with(":8500")).count();
        assert!(connections <= DESCRIPTORS - OTHERS, "{connections} connections to machines");
    }
}

#[test]
fn a_machine_that_falls_silent_among_more_than_there_are_descriptors_for_is_found_out() {
    // Met: herd+mass and roll+mass, where one connection to each of 400 was all that was allowed: a machine
    // that had vanished behind its open connection was never looked at again.
    for machines in [20, 400, 1_024] {
        let (mut rig, owner) = fleet(machines);
        pass_within_bounds(&mut rig, Duration::from_secs(4));
        let gone: BTreeSet<u64> = [3, machines / 2, machines].into();
        for n in &gone {
            rig.doors.insert(address(*n), Entrance::Silent);
            rig.stuck.extend(rig.on(&address(*n)));
        }
        pass_within_bounds(&mut rig, Duration::from_secs(8));
        let told: BTreeSet<u64> = rig.heard_on(owner).iter().map(|said| said.task).collect();
        assert_eq!(told, gone, "of {machines} machines");
    }
}

#[test]
fn ends_that_machines_can_tell_only_when_they_are_visited_are_told_within_eight_seconds() {
    for machines in [400, 1_024] {
        let (mut rig, owner) = fleet(machines);
        pass_within_bounds(&mut rig, Duration::from_secs(4));
        // All end at one instant; each machine tells on the next connection that is opened to it.
        let (mut told, mut seen) =
            (BTreeSet::new(), rig.opened.keys().copied().collect::<BTreeSet<ConnectionId>>());
        for _ in 0..160 {
            pass_within_bounds(&mut rig, ms(50));
            let fresh: Vec<(ConnectionId, String)> = rig
                .opened
                .iter()
                .filter(|(link, _)| !seen.contains(link))
                .map(|(l, to)| (*l, to.clone()))
                .collect();
            for (link, to) in fresh {
                seen.insert(link);
                if let Some(n) = (1..=machines).find(|n| address(*n) == to).filter(|n| told.insert(*n)) {
                    rig.say(link, &release(n, cause_code::ENDED));
                }
            }
        }
        let ends = rig.heard_on(owner);
        assert!(ends.iter().all(|said| said.kind == kind::RELEASE));
        assert_eq!(ends.len() as u64, machines, "each end is told once");
    }
}

#[test]
fn a_connection_makes_room_only_where_nothing_of_it_is_here_to_be_heard() {
    let mut rig = Rig::new(20);
    // As many as may say nothing at a time.
    let strangers = DESCRIPTORS / 8;
    let early: Vec<ConnectionId> = (0..strangers).map(|_| rig.comes()).collect();
    rig.turn();
    // As many more come in one step, and what the early ones had sent before is read behind that.
    let late: Vec<ConnectionId> = (0..strangers).map(|_| rig.comes()).collect();
    for (task, link) in (1..).zip(&early) {
        let bytes = set_up(task, "front", "");
        rig.platform.on_data(rig.now, *link, &bytes);
    }
    rig.turn();
    assert_eq!(rig.set_ups().len(), strangers, "each goes on, on a connection of its own");
    rig.pass(Duration::from_secs(3));
    for (task, link) in (1..).zip(&early) {
        let answers = rig.heard_on(*link).iter().filter(|said| said.task == task).count();
        assert_eq!(answers, 1, "task {task}");
    }
    assert!(late.iter().all(|link| rig.closed.contains(link)), "they said nothing");
}

#[test]
fn whoever_comes_where_all_have_tasks_in_hand_is_refused_with_a_time_to_stay_away() {
    let mut rig = Rig::new(2);
    let promised = DESCRIPTORS as u64 / 3;
    for task in 1..=promised {
        let owner = rig.owner();
        rig.say(owner, &set_up(task, "front", ""));
        assert!(!rig.closed.contains(&owner));
    }
    let asks = rig.owner();
    let silent = rig.owner();
    rig.say(asks, &set_up(900, "front", ""));
    let said = rig.heard_on(asks);
    assert_eq!((said.len(), said[0].cause()), (1, Some(cause_code::BUSY)));
    assert!(said[0].param(code::RETRY_AFTER).is_some());
    assert!(rig.closed.contains(&asks), "and then it is ended");
    rig.pass(ms(300));
    assert!(rig.closed.contains(&silent));
    // More than are refused at a time wait outside.
    (0..40).for_each(|_| {
        if rig.platform.accept_budget(ListenerId(0)) > 0 {
            rig.owner();
        }
    });
    assert_eq!(rig.platform.accept_budget(ListenerId(0)), 0);
    rig.pass(ms(300));
    assert!(rig.platform.accept_budget(ListenerId(0)) > 0);
}

#[test]
fn a_want_of_descriptors_is_no_word_of_a_machine() {
    let mut rig = Rig::new(1);
    let owner = rig.owner();
    rig.say(owner, &set_up(1, "front", &format!(";at:{}", uid(1))));
    rig.doors.insert(address(1), Entrance::Untried);
    rig.say(owner, &set_up(2, "front", ""));
    rig.pass(ms(150));
    let (heard, sent) = (rig.heard_on(owner), rig.set_ups());
    assert!(heard.is_empty() && sent.is_empty(), "one stands, the other waits: {heard:?} {sent:?}");
    rig.doors.remove(&address(1));
    rig.pass(ms(60));
    let (connection, said) = rig.set_ups().pop().expect("the same send, once there is a descriptor");
    assert_eq!((said.task, rig.platform.counts().sends), (2, 1));
    rig.say(connection, &yes(2));
    assert_eq!(rig.heard_on(owner)[0].kind, kind::ACCEPT);
    // And for longer: what stands is not called lost for it, before silence tells.
    rig.end(connection, mulleinhub_sans_io::CloseReason::Closed);
    rig.doors.insert(address(1), Entrance::Untried);
    rig.pass(Duration::from_secs(6));
    assert!(rig.heard_on(owner).is_empty(), "they stand");
}

#[test]
fn the_last_answers_are_out_before_the_kill_also_where_client_timeouts_are_short() {
    // SIGKILL comes no sooner than the longest client timeout, three seconds at the most, and 0.7 s.
    for (longest, kill) in [(1_200, 1_900), (2_500, 3_200), (60_000, 3_700)] {
        let mut rig = Rig::of(2, |conf| {
            conf.replace("2500000000", &format!("{longest}000000"))
                .replace("2000000000", &format!("{longest}000000"))
        });
        let owner = rig.owner();
        rig.platform.wind_down(rig.now);
        rig.turn();
        let told = rig.now;
        rig.pass(ms(650));
        rig.say(owner, &set_up(1, "front", ""));
        rig.pass(Duration::from_secs(6));
        let said = rig.heard_on(owner);
        assert_eq!(said.len(), 1, "{longest}");
        assert!(said[0].at < told + ms(kill - 200), "{longest}: {:?}", said[0].at - told);
    }
}
