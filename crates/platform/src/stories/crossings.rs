//! Crossings whose instant can't be forced from outside: docs/crossings.md has a row for each.

use super::placed;
use super::rig::*;
use mulleinhub_interface::Duration;
use mulleinhub_platform_protocol::{cause_code, code, kind};
use mulleinhub_sans_io::{CloseReason, ConnectionId, StateMachine};
use std::collections::BTreeSet;

#[test]
fn an_owner_that_waits_for_longer_than_silence_may_last_is_not_let_go() {
    // The only machine drains: the task waits for more than a minute.
    let mut rig = Rig::knowing(START, &[listed(1, "terminating", 0)], |conf| {
        conf.replace("2500000000", "100000000000")
    });
    let owner = rig.owner();
    rig.say(owner, &waits(set_up(1, "front", ""), "100000"));
    rig.pass(Duration::from_secs(80));
    assert!(!rig.closed.contains(&owner), "it waits");
    let heard = rig.heard_on(owner);
    assert!(heard.is_empty(), "it waits: {heard:?}");
    let bulletin = rig.on(BULLETIN)[0];
    let line = event(2, false, &[listed(1, "in_service", 0)]);
    rig.say(bulletin, format!("data: {line}\n\n").as_bytes());
    rig.pass(ms(200));
    let (connection, _) = rig.set_ups().pop().expect("it is sent");
    rig.say(connection, &yes(1));
    assert_eq!(rig.heard_on(owner)[0].kind, kind::ACCEPT);
}

#[test]
fn a_message_that_becomes_whole_as_its_time_ends_is_heard_with_all_behind_it() {
    let mut rig = Rig::new(20);
    let owner = rig.owner();
    let asks = |task| waits(set_up(task, "front", ""), "2500");
    let first = asks(1);
    rig.say(owner, &first[..30]);
    // The rest, and more than one turn hears, in the turn in which the time is over.
    rig.now = rig.now + ms(2_100);
    let rest: Vec<u8> = (2..=100).flat_map(asks).collect();
    rig.say(owner, &[&first[30..], &rest].concat());
    assert!(!rig.closed.contains(&owner));
    assert_eq!(rig.set_ups().len(), 100);
}

#[test]
fn a_connection_that_its_machine_may_be_closing_as_idle_carries_no_set_up() {
    // Machines close idle connections after a second; looks come seldom enough to miss the instant.
    for idle in (550..900).step_by(10) {
        let mut rig = Rig::of(1, |conf| conf.replace("15000000000", "1000000000"));
        let owner = rig.owner();
        rig.say(owner, &set_up(1, "front", ""));
        let (first, _) = rig.set_ups().pop().expect("it is sent");
        rig.say(first, &release(1, cause_code::ERROR));
        rig.pass(ms(idle));
        rig.say(owner, &set_up(2, "batch", ""));
        let (connection, said) = rig.set_ups().pop().expect("it is sent");
        assert_eq!((said.task, connection == first), (2, idle < 600), "{idle} ms idle");
    }
}

#[test]
fn a_refusal_that_comes_twice_ends_neither_the_next_send_nor_what_stands() {
    let mut rig = Rig::new(2);
    let owner = rig.owner();
    rig.say(owner, &set_up(1, "front", ""));
    let (first, _) = rig.set_ups().pop().expect("it is sent");
    rig.say(first, &release(1, cause_code::FULL));
    let (second, _) = rig.set_ups().pop().expect("to the other machine");
    rig.say(second, &release(1, cause_code::FULL));
    rig.pass(ms(1_100));
    let (third, _) = rig.set_ups().pop().expect("to the first one again, once it has rested");
    assert_eq!(rig.address_of(first), rig.address_of(third));
    // The first refusal once more, before the answer and after it.
    rig.say(first, &release(1, cause_code::FULL));
    assert!(rig.set_ups().is_empty() && rig.heard_on(owner).is_empty(), "the third send is out");
    rig.say(third, &yes(1));
    rig.say(first, &release(1, cause_code::FULL));
    let heard = rig.heard_on(owner);
    assert_eq!((heard.len(), heard[0].kind), (1, kind::ACCEPT), "{heard:?}");
    rig.say(third, &release(1, cause_code::ENDED));
    assert_eq!(rig.heard_on(owner).len(), 1);
}

#[test]
fn the_end_of_a_send_its_time_out_and_a_cancel_in_one_turn_end_it_once_in_every_order() {
    // 0: the machine's word, 1: the owner's cancel; the time-out falls due at the instant.
    for cause in [cause_code::FULL, cause_code::ERROR, cause_code::RESET, cause_code::NOT_SENT] {
        for order in [[0, 1], [1, 0]] {
            for class in ["front", "batch"] {
                let mut rig = Rig::new(3);
                let owner = rig.owner();
                rig.say(owner, &set_up(1, class, ""));
                let (connection, _) = rig.set_ups().pop().expect("it is sent");
                // The instant of the time-out, without a turn before it.
                rig.now = rig.now + ms(2_000);
                for event in order {
                    match event {
                        0 => rig.platform.on_data(rig.now, connection, &release(1, cause)),
                        _ => rig.platform.on_data(rig.now, owner, &release(1, cause_code::ENDED)),
                    }
                }
                rig.turn();
                rig.pass(Duration::from_secs(3));
                assert!(rig.set_ups().is_empty(), "{class} {cause} {order:?}");
                assert!(rig.heard_on(owner).is_empty(), "none is owed: {class} {cause} {order:?}");
                assert!(rig.platform.desk.get_mut().tasks.by_id.is_empty());
            }
        }
    }
}

#[test]
fn a_yes_that_crosses_the_time_out_leaves_one_final_answer() {
    let mut rig = Rig::new(1);
    let owner = rig.owner();
    rig.say(owner, &set_up(1, "front", ""));
    let (connection, _) = rig.set_ups().pop().expect("it is sent");
    rig.now = rig.now + ms(1_990);
    rig.platform.poll(rig.now);
    // Given up in that turn; the yes comes before the module has heard of it.
    rig.platform.on_data(rig.now, connection, &yes(1));
    rig.turn();
    rig.pass(Duration::from_secs(2));
    let heard = rig.heard_on(owner);
    let answers = heard.iter().filter(|said| said.kind == kind::ACCEPT).count();
    let ends = heard.iter().filter(|said| said.kind == kind::RELEASE).count();
    assert!(answers <= 1 && ends <= 1 && answers + ends >= 1, "{heard:?}");
    assert_eq!(rig.platform.desk.get_mut().tasks.by_id.len(), answers.saturating_sub(ends));
}

#[test]
fn a_whole_list_that_drops_a_machine_takes_back_what_waits_for_it_and_keeps_what_is_out() {
    let mut rig = Rig::new(1);
    rig.doors.insert(address(1), Entrance::Silent);
    let owner = rig.owner();
    rig.say(owner, &set_up(1, "front", ""));
    let held_back = rig.on(&address(1))[0];
    rig.doors.remove(&address(1));
    let bulletin = rig.on(BULLETIN)[0];
    rig.say(bulletin, format!("data: {}\n\n", event(2, true, &[listed(2, "in_service", 0)])).as_bytes());
    let (connection, said) = rig.set_ups().pop().expect("it goes to the machine that is listed");
    assert_eq!((said.task, rig.address_of(connection)), (1, &address(2)[..]));
    rig.comes_up(held_back);
    assert!(rig.set_ups().is_empty(), "nothing of it is left there");
    // And what is out when its machine is dropped has its answer still.
    rig.say(bulletin, format!("data: {}\n\n", event(3, true, &[listed(3, "in_service", 0)])).as_bytes());
    rig.say(connection, &yes(1));
    assert_eq!(rig.heard_on(owner)[0].kind, kind::ACCEPT);
    rig.say(connection, &release(1, cause_code::ENDED));
    assert_eq!(rig.heard_on(owner)[0].kind, kind::RELEASE);
}

#[test]
fn a_machine_that_comes_at_the_address_of_another_gets_nothing_that_waited_for_that_one() {
    let mut rig = Rig::new(1);
    rig.doors.insert(address(1), Entrance::Silent);
    let owner = rig.owner();
    rig.say(owner, &set_up(1, "front", ""));
    let held_back = rig.on(&address(1))[0];
    let bulletin = rig.on(BULLETIN)[0];
    let line = listed(9, "in_service", 0).replace(&address(9), &address(1));
    // The old one is not told to be gone yet.
    rig.say(bulletin, format!("data: {}\n\n", event(2, false, &[line])).as_bytes());
    if rig.opened.contains_key(&held_back) {
        rig.comes_up(held_back);
    }
    assert!(rig.set_ups().iter().all(|(connection, _)| *connection != held_back));
    // It is the new one's task only if it is sent to that one.
    rig.doors.remove(&address(1));
    rig.pass(ms(500));
    for (connection, said) in rig.set_ups() {
        assert!(connection != held_back && said.task == 1);
    }
}

#[test]
fn a_whole_list_at_the_start_of_a_connection_begins_the_numbers_anew_and_an_event_told_twice_does_not() {
    let mut rig = Rig::new(1);
    let bulletin = rig.on(BULLETIN)[0];
    let say = |rig: &mut Rig, link, text: String| rig.say(link, format!("data: {text}\n\n").as_bytes());
    say(&mut rig, bulletin, event(2, false, &[listed(2, "in_service", 0)]));
    say(&mut rig, bulletin, event(2, false, &[listed(2, "terminated", 0)]));
    say(&mut rig, bulletin, event(1, true, &[listed(7, "in_service", 0)]));
    let known = |rig: &mut Rig| {
        let known = rig.platform.desk.get_mut().machines.by_id.values();
        known.map(|machine| machine.address.clone()).collect::<BTreeSet<String>>()
    };
    assert_eq!(known(&mut rig), [address(1), address(2)].into(), "what was heard before is passed over");
    rig.end(bulletin, CloseReason::Closed);
    let again = rig.on(BULLETIN)[0];
    rig.say(again, b"HTTP/1.1 200 OK\r\n\r\n");
    say(&mut rig, again, event(1, true, &[listed(3, "in_service", 0)]));
    say(&mut rig, again, event(2, false, &[listed(4, "in_service", 0)]));
    assert_eq!(known(&mut rig), [address(3), address(4)].into());
    assert_eq!(rig.platform.desk.get_mut().watch.last, 2);
}

#[test]
fn what_machines_tell_of_tasks_that_are_not_in_hand_is_remembered_within_bounds() {
    let mut rig = Rig::of(1, |conf| conf.replace(r#""memory_mb":32"#, r#""memory_mb":1"#));
    let owner = rig.owner();
    let connection = placed(&mut rig, owner, 1, "front");
    (100..1_000).for_each(|task| rig.say(connection, &release(task, cause_code::ENDED)));
    assert_eq!(rig.platform.desk.get_mut().handovers.remembered(), 4 * 32);
    // Of the newest it is known, and a refusal or a cancel is no end.
    rig.say(connection, &[release(2_000, cause_code::FULL), release(2_001, cause_code::CANCELLED)].concat());
    rig.heard_on(owner);
    for (task, is_over) in [(999, true), (2_000, false), (2_001, false)] {
        rig.say(owner, &set_up(task, "front", &format!(";at:{}", uid(1))));
        let heard = rig.heard_on(owner);
        assert_eq!(!heard.is_empty(), is_over, "{task}");
        assert!(heard.iter().all(|said| said.param(code::CAUSE) == Some(&[cause_code::ENDED])));
    }
}

#[test]
fn a_machine_that_stopped_and_answers_on_what_it_left_open_is_over_all_the_same() {
    // Met: join+mass on centro-dados-sede, where owners heard of ends up to ten seconds late.
    let mut rig = Rig::new(1);
    let owner = rig.owner();
    let connection = placed(&mut rig, owner, 1, "front");
    rig.pass(ms(1_000));
    rig.say(connection, &message(kind::NOTE, 1, &[(code::NOTE, b"use_cpu"), (code::VALUE, b"0.5")]));
    let over = rig.now;
    rig.doors.insert(address(1), Entrance::Refuses);
    // Its place in the list is not told yet: more set-ups come, and are refused on what is open.
    let asks = rig.owner();
    let (mut refused, mut asked) = (0, 0);
    while rig.heard_on(owner).is_empty() {
        assert!(rig.now - over < ms(8_000), "its owner must have heard by now");
        rig.pass(ms(50));
        for said in rig.heard_on(connection) {
            if said.kind == kind::START {
                refused += 1;
                rig.say(connection, &release(said.task, cause_code::FULL));
            }
        }
        // And passes a test that nobody sent.
        rig.say(connection, &message(kind::HEALTH_RESULT, 9, &[(code::CAUSE, &[1])]));
        asked += 1;
        if asked % 20 == 0 {
            rig.say(asks, &set_up(100 + asked, "batch", ""));
        }
    }
    assert!(refused > 0, "it was asked");
    assert!(rig.now - over > ms(6_000), "one that drains keeps its tasks for a while");
}

#[test]
fn a_try_that_comes_to_nothing_between_two_refusals_does_not_make_the_second_the_first() {
    let mut rig = Rig::new(1);
    let owner = rig.owner();
    let connection = placed(&mut rig, owner, 1, "front");
    rig.doors.insert(address(1), Entrance::Refuses);
    rig.end(connection, CloseReason::Broken);
    let mut tries = 0;
    while rig.heard_on(owner).is_empty() {
        let failures = rig.platform.desk.get_mut().machines.by_id.values().map(|m| m.failures).sum();
        if failures > tries {
            // Refused, then nothing, then refused.
            tries = failures;
            let next = if tries == 1 { Entrance::Silent } else { Entrance::Refuses };
            rig.doors.insert(address(1), next);
        }
        assert!(tries <= 3, "two refusals are enough");
        rig.pass(ms(10));
    }
    assert_eq!(tries, 2, "told at the second refusal, the third try");
}

#[test]
fn a_connection_that_comes_up_and_ends_without_a_word_is_no_sign_of_life() {
    let mut rig = Rig::new(1);
    let owner = rig.owner();
    let connection = placed(&mut rig, owner, 1, "front");
    // It stops and leaves that one open; one more comes up and is closed at once, then all are refused.
    let over = rig.now;
    while rig.on(&address(1)).len() < 2 {
        rig.pass(ms(20));
    }
    let late = rig.on(&address(1)).into_iter().find(|link| *link != connection).expect("a second one");
    assert!(rig.now - over > ms(2_500), "it was tried as the machine was quiet");
    rig.doors.insert(address(1), Entrance::Refuses);
    rig.end(late, CloseReason::Closed);
    while rig.heard_on(owner).is_empty() {
        assert!(rig.now - over < ms(8_000), "its owner must have heard by now");
        rig.pass(ms(20));
    }
    assert!(rig.now - over > ms(6_000), "one that drains keeps its tasks for a while");
}

/// Its client leaves while a send waits: by a cancel, or by its end.
fn leaves(rig: &mut Rig, owner: ConnectionId, task: u64, cancels: bool) {
    if cancels {
        rig.say(owner, &release(task, cause_code::ENDED));
    } else {
        rig.end(owner, CloseReason::Closed);
    }
}

#[test]
fn a_client_that_leaves_while_its_send_waits_for_a_descriptor_is_not_sent_on_once_there_is_one() {
    for cancels in [true, false] {
        let mut rig = Rig::new(1);
        rig.doors.insert(address(1), Entrance::Untried);
        let owner = rig.owner();
        rig.say(owner, &set_up(1, "front", ""));
        rig.pass(ms(120));
        leaves(&mut rig, owner, 1, cancels);
        rig.doors.remove(&address(1));
        rig.pass(Duration::from_secs(3));
        assert!(rig.set_ups().is_empty());
        assert!(rig.platform.desk.get_mut().tasks.by_id.is_empty());
    }
}

#[test]
fn a_client_that_leaves_while_its_send_waits_behind_the_cold_gate_is_not_sent_on_when_it_opens() {
    for cancels in [true, false] {
        let boot = START.nanos() / 1_000_000 - 1_000;
        let mut rig = Rig::knowing(START, &[listed(1, "in_service", boot)], |conf| conf);
        // Its earlier life's sends are out of the window.
        rig.pass(ms(1_600));
        let (first, owner) = (rig.owner(), rig.owner());
        rig.say(first, &set_up(1, "batch", ""));
        let (connection, _) = rig.set_ups().pop().expect("it is sent");
        // Silent for longer than an offer to a cold machine may be: the gate is shut.
        rig.now = rig.now + ms(600);
        rig.say(owner, &set_up(2, "front", ""));
        assert!(rig.set_ups().is_empty(), "it waits behind the gate");
        leaves(&mut rig, owner, 2, cancels);
        rig.say(connection, &yes(1));
        rig.pass(Duration::from_secs(3));
        assert!(rig.set_ups().is_empty());
    }
}

#[test]
fn a_hand_over_that_its_owner_ends_before_its_machine_is_listed_is_cut_there() {
    let mut rig = Rig::new(1);
    let owner = rig.owner();
    rig.say(owner, &set_up(5, "front", &format!(";at:{}", uid(2))));
    rig.say(owner, &release(5, cause_code::ENDED));
    let bulletin = rig.on(BULLETIN)[0];
    let line = event(2, false, &[listed(2, "in_service", 0)]);
    rig.say(bulletin, format!("data: {line}\n\n").as_bytes());
    rig.pass(ms(500));
    let cuts = rig.heard(|link| link != owner);
    let cut = cuts.iter().find(|(_, said)| said.task == 5).expect("its machine hears of it");
    assert_eq!((cut.1.kind, cut.1.cause()), (kind::RELEASE, Some(cause_code::CANCELLED)));
    rig.say(cut.0, &release(5, cause_code::CANCELLED));
    assert!(rig.heard_on(owner).is_empty(), "whoever ended it is owed nothing");
    assert!(rig.platform.desk.get_mut().tasks.by_id.is_empty());
}

#[test]
fn a_hand_over_that_its_owner_ends_and_whose_machine_is_never_listed_is_told_of_no_end() {
    let mut rig = Rig::new(1);
    let owner = rig.owner();
    for task in [5, 6] {
        rig.say(owner, &set_up(task, "front", &format!(";at:{}", uid(2))));
    }
    rig.say(owner, &release(5, cause_code::ENDED));
    rig.pass(Duration::from_secs(3));
    let told: Vec<u64> = rig.heard_on(owner).iter().map(|said| said.task).collect();
    assert_eq!(told, [6], "whoever ended it is owed nothing, the other one hears in time");
}

#[test]
fn what_a_machine_said_before_a_standstill_of_ours_counts_from_before_it() {
    // Its last note lies here for two seconds, unread; it has stopped since.
    let mut rig = Rig::new(1);
    let owner = rig.owner();
    let connection = placed(&mut rig, owner, 1, "front");
    rig.pass(ms(1_000));
    let over = rig.now;
    rig.doors.insert(address(1), Entrance::Refuses);
    rig.now = rig.now + ms(2_000);
    rig.say(connection, &message(kind::NOTE, 1, &[(code::NOTE, b"use_cpu"), (code::VALUE, b"0.5")]));
    while rig.heard_on(owner).is_empty() {
        assert!(rig.now - over < ms(8_000), "its owner must have heard by now");
        rig.pass(ms(20));
    }
    assert!(rig.now - over > ms(7_000), "one that drains keeps its tasks for a while");
}
