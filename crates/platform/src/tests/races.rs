//! Races whose instant can't be forced from outside: docs/crossings.md has a row for each.

use super::harness::*;
use mulleinhub_interface::Duration;
use mulleinhub_platform_protocol::{cause_code, code, kind};
use mulleinhub_sans_io::{CloseReason, ConnectionId, StateMachine};
use std::collections::BTreeSet;

#[test]
fn waiting_client_outlives_idle_timeout() {
    // The only machine drains: the task waits for more than a minute.
    let mut harness = Harness::with_endpoints(START, &[endpoint(1, "terminating", 0)], |config_json| {
        config_json.replace("2500000000", "100000000000")
    });
    let client = harness.connect_client();
    harness.deliver(client, &with_patience(start_request(1, "front", ""), "100000"));
    harness.advance(Duration::from_secs(80));
    assert!(!harness.closed.contains(&client), "it waits");
    let received = harness.received_on(client);
    assert!(received.is_empty(), "it waits: {received:?}");
    let discovery = harness.connections_to(DISCOVERY)[0];
    let line = event(2, false, &[endpoint(1, "in_service", 0)]);
    harness.deliver(discovery, format!("data: {line}\n\n").as_bytes());
    harness.advance(ms(200));
    let (connection, _) = harness.start_requests().pop().expect("it is sent");
    harness.deliver(connection, &acceptance(1));
    assert_eq!(harness.received_on(client)[0].kind, kind::ACCEPT);
}

#[test]
fn message_completed_at_its_deadline_is_handled() {
    let mut harness = Harness::new(20);
    let client = harness.connect_client();
    let request = |task| with_patience(start_request(task, "front", ""), "2500");
    let first = request(1);
    harness.deliver(client, &first[..30]);
    // The rest, and more than one iteration handles, in the iteration in which the deadline passes.
    harness.now = harness.now + ms(2_100);
    let rest: Vec<u8> = (2..=100).flat_map(request).collect();
    harness.deliver(client, &[&first[30..], &rest].concat());
    assert!(!harness.closed.contains(&client));
    assert_eq!(harness.start_requests().len(), 100);
}

#[test]
fn idle_connection_is_not_reused_near_its_timeout() {
    // Machines close idle connections after a second; checks come seldom enough to miss the instant.
    for idle in (550..900).step_by(10) {
        let mut harness =
            Harness::with_config(1, |config_json| config_json.replace("15000000000", "1000000000"));
        let client = harness.connect_client();
        harness.deliver(client, &start_request(1, "front", ""));
        let (first, _) = harness.start_requests().pop().expect("it is sent");
        harness.deliver(first, &release(1, cause_code::ERROR));
        harness.advance(ms(idle));
        harness.deliver(client, &start_request(2, "batch", ""));
        let (connection, message) = harness.start_requests().pop().expect("it is sent");
        assert_eq!((message.task, connection == first), (2, idle < 600), "{idle} ms idle");
    }
}

#[test]
fn duplicate_rejection_ends_no_later_attempt() {
    let mut harness = Harness::new(2);
    let client = harness.connect_client();
    harness.deliver(client, &start_request(1, "front", ""));
    let (first, _) = harness.start_requests().pop().expect("it is sent");
    harness.deliver(first, &release(1, cause_code::FULL));
    let (second, _) = harness.start_requests().pop().expect("to the other machine");
    harness.deliver(second, &release(1, cause_code::FULL));
    harness.advance(ms(1_100));
    let (third, _) =
        harness.start_requests().pop().expect("to the first one again, once its backoff has ended");
    assert_eq!(harness.address_of(first), harness.address_of(third));
    // The first refusal once more, before the answer and after it.
    harness.deliver(first, &release(1, cause_code::FULL));
    assert!(
        harness.start_requests().is_empty() && harness.received_on(client).is_empty(),
        "the third attempt is in flight"
    );
    harness.deliver(third, &acceptance(1));
    harness.deliver(first, &release(1, cause_code::FULL));
    let received = harness.received_on(client);
    assert_eq!((received.len(), received[0].kind), (1, kind::ACCEPT), "{received:?}");
    harness.deliver(third, &release(1, cause_code::ENDED));
    assert_eq!(harness.received_on(client).len(), 1);
}

/// Guards against a crash: of two releases of one attempt in one read the first was kept as the final one, and the
/// second had the task sent again (review play two-releases).
#[test]
fn second_release_of_an_attempt_changes_nothing() {
    let causes = [cause_code::RESET, cause_code::ERROR, cause_code::FULL, cause_code::NOT_SENT, 31, 16];
    for first in causes {
        for second in causes {
            for class in ["front", "batch"] {
                let mut harness = Harness::new(3);
                let client = harness.connect_client();
                harness.deliver(client, &start_request(1, class, ""));
                let (connection, _) = harness.start_requests().pop().expect("it is sent");
                harness.deliver(connection, &[release(1, first), release(1, second)].concat());
                let (mut answers, mut rounds) = (harness.received_on(client), 0);
                while answers.is_empty() && rounds < 20 {
                    for (connection, _) in harness.start_requests() {
                        harness.deliver(connection, &acceptance(1));
                    }
                    harness.advance(ms(200));
                    answers.extend(harness.received_on(client));
                    rounds += 1;
                }
                assert_eq!(answers.len(), 1, "{class}: {first}, then {second}: {answers:?}");
            }
        }
    }
}

#[test]
fn rejection_timeout_and_cancel_end_attempt_once() {
    // 0: the machine's release, 1: the client's cancel; the timeout falls due at the instant.
    for cause in [cause_code::FULL, cause_code::ERROR, cause_code::RESET, cause_code::NOT_SENT] {
        for order in [[0, 1], [1, 0]] {
            for class in ["front", "batch"] {
                let mut harness = Harness::new(3);
                let client = harness.connect_client();
                harness.deliver(client, &start_request(1, class, ""));
                let (connection, _) = harness.start_requests().pop().expect("it is sent");
                // The instant of the timeout, without an iteration before it.
                harness.now = harness.now + ms(2_000);
                for event in order {
                    match event {
                        0 => harness.scheduler.on_data(harness.now, connection, &release(1, cause)),
                        _ => harness.scheduler.on_data(harness.now, client, &release(1, cause_code::ENDED)),
                    }
                }
                harness.run_until_idle();
                harness.advance(Duration::from_secs(3));
                assert!(harness.start_requests().is_empty(), "{class} {cause} {order:?}");
                assert!(harness.received_on(client).is_empty(), "none is owed: {class} {cause} {order:?}");
                assert!(harness.scheduler.state.get_mut().tasks.by_id.is_empty());
            }
        }
    }
}

#[test]
fn acceptance_crossing_timeout_gives_one_answer() {
    let mut harness = Harness::new(1);
    let client = harness.connect_client();
    harness.deliver(client, &start_request(1, "front", ""));
    let (connection, _) = harness.start_requests().pop().expect("it is sent");
    harness.now = harness.now + ms(1_990);
    harness.scheduler.poll(harness.now);
    // Given up in that iteration; the acceptance comes before the policy is told.
    harness.scheduler.on_data(harness.now, connection, &acceptance(1));
    harness.run_until_idle();
    harness.advance(Duration::from_secs(2));
    let received = harness.received_on(client);
    let answers = received.iter().filter(|message| message.kind == kind::ACCEPT).count();
    let ends = received.iter().filter(|message| message.kind == kind::RELEASE).count();
    assert!(answers <= 1 && ends <= 1 && answers + ends >= 1, "{received:?}");
    assert_eq!(harness.scheduler.state.get_mut().tasks.by_id.len(), answers.saturating_sub(ends));
}

/// Guards against incident 22ad20: an acceptance that came between the policy's cancellation of its attempt and the
/// next iteration was passed on to the client, which never heard of the end that the cancellation brought about.
#[test]
fn acceptance_crossing_cancellation_is_not_passed_on_without_its_end() {
    for class in ["front", "batch"] {
        let mut harness = Harness::new(4);
        let client = harness.connect_client();
        harness.deliver(client, &start_request(1, class, ""));
        let (connection, _) = harness.start_requests().pop().expect("it is sent");
        let is_given_up = |(_, message): &(ConnectionId, Message)| message.cause() == Some(cause_code::ENDED);
        while !harness.received(|other| other == connection).iter().any(is_given_up) {
            harness.now = harness.now + ms(5);
            harness.iterate();
        }
        // Given up in that iteration; the acceptance comes before the outcome is settled.
        harness.deliver(connection, &acceptance(1));
        harness.deliver(connection, &release(1, cause_code::RESET));
        harness.advance(ms(1_000));
        let received = harness.received_on(client);
        let answers = received.iter().filter(|message| message.kind == kind::ACCEPT).count();
        let ends = received.iter().filter(|message| message.kind == kind::RELEASE).count();
        assert!(answers <= ends, "{class}: {received:?}");
    }
}

#[test]
fn snapshot_without_machine_withdraws_unsent_attempts() {
    let mut harness = Harness::new(1);
    harness.reachability.insert(address(1), Reachability::Silent);
    let client = harness.connect_client();
    harness.deliver(client, &start_request(1, "front", ""));
    let delayed = harness.connections_to(&address(1))[0];
    harness.reachability.remove(&address(1));
    let discovery = harness.connections_to(DISCOVERY)[0];
    harness.deliver(
        discovery,
        format!("data: {}\n\n", event(2, true, &[endpoint(2, "in_service", 0)])).as_bytes(),
    );
    let (connection, message) =
        harness.start_requests().pop().expect("it goes to the machine that is listed");
    assert_eq!((message.task, harness.address_of(connection)), (1, &address(2)[..]));
    harness.establish(delayed);
    assert!(harness.start_requests().is_empty(), "nothing of it is left there");
    // And what is out when its machine is dropped has its answer still.
    harness.deliver(
        discovery,
        format!("data: {}\n\n", event(3, true, &[endpoint(3, "in_service", 0)])).as_bytes(),
    );
    harness.deliver(connection, &acceptance(1));
    assert_eq!(harness.received_on(client)[0].kind, kind::ACCEPT);
    harness.deliver(connection, &release(1, cause_code::ENDED));
    assert_eq!(harness.received_on(client)[0].kind, kind::RELEASE);
}

#[test]
fn replacement_machine_gets_no_old_attempts() {
    let mut harness = Harness::new(1);
    harness.reachability.insert(address(1), Reachability::Silent);
    let client = harness.connect_client();
    harness.deliver(client, &start_request(1, "front", ""));
    let delayed = harness.connections_to(&address(1))[0];
    let discovery = harness.connections_to(DISCOVERY)[0];
    let line = endpoint(9, "in_service", 0).replace(&address(9), &address(1));
    // The list still has the old one.
    harness.deliver(discovery, format!("data: {}\n\n", event(2, false, &[line])).as_bytes());
    if harness.opened.contains_key(&delayed) {
        harness.establish(delayed);
    }
    assert!(harness.start_requests().iter().all(|(connection, _)| *connection != delayed));
    // It is the new one's task only if it is sent to that one.
    harness.reachability.remove(&address(1));
    harness.advance(ms(500));
    for (connection, message) in harness.start_requests() {
        assert!(connection != delayed && message.task == 1);
    }
}

#[test]
fn first_snapshot_restarts_event_numbers() {
    let mut harness = Harness::new(1);
    let discovery = harness.connections_to(DISCOVERY)[0];
    let deliver = |harness: &mut Harness, connection_id, text: String| {
        harness.deliver(connection_id, format!("data: {text}\n\n").as_bytes())
    };
    deliver(&mut harness, discovery, event(2, false, &[endpoint(2, "in_service", 0)]));
    deliver(&mut harness, discovery, event(2, false, &[endpoint(2, "terminated", 0)]));
    deliver(&mut harness, discovery, event(1, true, &[endpoint(7, "in_service", 0)]));
    let known = |harness: &mut Harness| {
        let known = harness.scheduler.state.get_mut().machines.by_id.values();
        known.map(|machine| machine.address.clone()).collect::<BTreeSet<String>>()
    };
    assert_eq!(known(&mut harness), [address(1), address(2)].into(), "events received before are skipped");
    harness.close(discovery, CloseReason::Closed);
    let reconnected = harness.connections_to(DISCOVERY)[0];
    harness.deliver(reconnected, b"HTTP/1.1 200 OK\r\n\r\n");
    deliver(&mut harness, reconnected, event(1, true, &[endpoint(3, "in_service", 0)]));
    deliver(&mut harness, reconnected, event(2, false, &[endpoint(4, "in_service", 0)]));
    assert_eq!(known(&mut harness), [address(3), address(4)].into());
    assert_eq!(harness.scheduler.state.get_mut().endpoint_watch.last_event, 2);
}

#[test]
fn ends_of_unknown_tasks_are_bounded() {
    let mut harness =
        Harness::with_config(1, |config_json| config_json.replace(r#""memory_mb":32"#, r#""memory_mb":1"#));
    let client = harness.connect_client();
    let connection = place_task(&mut harness, client, 1, "front");
    (100..1_000).for_each(|task| harness.deliver(connection, &release(task, cause_code::ENDED)));
    assert_eq!(harness.scheduler.state.get_mut().reported_ends.len(), 4 * 32);
    // Of the newest it is known, and a refusal or a cancel is no end.
    harness.deliver(
        connection,
        &[release(2_000, cause_code::FULL), release(2_001, cause_code::CANCELLED)].concat(),
    );
    harness.received_on(client);
    for (task, is_over) in [(999, true), (2_000, false), (2_001, false)] {
        harness.deliver(client, &start_request(task, "front", &format!(";at:{}", uid(1))));
        let received = harness.received_on(client);
        assert_eq!(!received.is_empty(), is_over, "{task}");
        assert!(received.iter().all(|message| message.param(code::CAUSE) == Some(&[cause_code::ENDED])));
    }
}

#[test]
fn rejections_do_not_keep_stopped_machine_alive() {
    // Seen: join+mass on centro-dados-sede, where clients heard of ends up to ten seconds late.
    let mut harness = Harness::new(1);
    let client = harness.connect_client();
    let connection = place_task(&mut harness, client, 1, "front");
    harness.advance(ms(1_000));
    harness.deliver(connection, &encode(kind::NOTE, 1, &[(code::NOTE, b"use_cpu"), (code::VALUE, b"0.5")]));
    let stopped_at = harness.now;
    harness.reachability.insert(address(1), Reachability::Refuses);
    // The list still has it: more start requests are sent, and rejected on the connection that is open.
    let other_client = harness.connect_client();
    let (mut refused, mut requested) = (0, 0);
    while harness.received_on(client).is_empty() {
        assert!(harness.now - stopped_at < ms(8_000), "its client must have been notified by now");
        harness.advance(ms(50));
        for message in harness.received_on(connection) {
            if message.kind == kind::START {
                refused += 1;
                harness.deliver(connection, &release(message.task, cause_code::FULL));
            }
        }
        // And it passes a health check that nobody sent.
        harness.deliver(connection, &encode(kind::HEALTH_RESULT, 9, &[(code::CAUSE, &[1])]));
        requested += 1;
        if requested % 20 == 0 {
            harness.deliver(other_client, &start_request(100 + requested, "batch", ""));
        }
    }
    assert!(refused > 0, "it was asked");
    assert!(harness.now - stopped_at > ms(6_000), "one that drains keeps its tasks for a while");
}

#[test]
fn connect_timeout_does_not_reset_refusals() {
    let mut harness = Harness::new(1);
    let client = harness.connect_client();
    let connection = place_task(&mut harness, client, 1, "front");
    harness.reachability.insert(address(1), Reachability::Refuses);
    harness.close(connection, CloseReason::Broken);
    let mut failed_connects = 0;
    while harness.received_on(client).is_empty() {
        let failures = harness.scheduler.state.get_mut().machines.by_id.values().map(|m| m.failures).sum();
        if failures > failed_connects {
            // Refused, then nothing, then refused.
            failed_connects = failures;
            let next = if failed_connects == 1 { Reachability::Silent } else { Reachability::Refuses };
            harness.reachability.insert(address(1), next);
        }
        assert!(failed_connects <= 3, "two refusals are enough");
        harness.advance(ms(10));
    }
    assert_eq!(failed_connects, 2, "lost at the second refusal, the third connect");
}

#[test]
fn silent_connection_does_not_prove_liveness() {
    let mut harness = Harness::new(1);
    let client = harness.connect_client();
    let connection = place_task(&mut harness, client, 1, "front");
    // It stops and leaves that one open; one more is established and closed at once, then all are refused.
    let stopped_at = harness.now;
    while harness.connections_to(&address(1)).len() < 2 {
        harness.advance(ms(20));
    }
    let late = harness
        .connections_to(&address(1))
        .into_iter()
        .find(|connection_id| *connection_id != connection)
        .expect("a second one");
    assert!(harness.now - stopped_at > ms(500), "it was probed as the machine was silent");
    harness.reachability.insert(address(1), Reachability::Refuses);
    harness.close(late, CloseReason::Closed);
    while harness.received_on(client).is_empty() {
        // Half a second sooner than if the late connection counted.
        assert!(harness.now - stopped_at < ms(7_300), "its client must have been notified by now");
        harness.advance(ms(20));
    }
    assert!(harness.now - stopped_at > ms(6_000), "one that drains keeps its tasks for a while");
}

/// Its client leaves while an attempt waits: by a cancel, or by disconnecting.
fn cancel_or_disconnect(harness: &mut Harness, client: ConnectionId, task: u64, cancels: bool) {
    if cancels {
        harness.deliver(client, &release(task, cause_code::ENDED));
    } else {
        harness.close(client, CloseReason::Closed);
    }
}

#[test]
fn cancelled_task_is_not_sent_after_descriptor_wait() {
    for cancels in [true, false] {
        let mut harness = Harness::new(1);
        harness.reachability.insert(address(1), Reachability::Untried);
        let client = harness.connect_client();
        harness.deliver(client, &start_request(1, "front", ""));
        harness.advance(ms(120));
        cancel_or_disconnect(&mut harness, client, 1, cancels);
        harness.reachability.remove(&address(1));
        harness.advance(Duration::from_secs(3));
        assert!(harness.start_requests().is_empty());
        assert!(harness.scheduler.state.get_mut().tasks.by_id.is_empty());
    }
}

#[test]
fn cancelled_task_is_not_sent_after_slow_start_wait() {
    for cancels in [true, false] {
        let boot = START.nanos() / 1_000_000 - 1_000;
        let mut harness =
            Harness::with_endpoints(START, &[endpoint(1, "in_service", boot)], |config_json| config_json);
        // The attempts of an earlier incarnation are out of the window.
        harness.advance(ms(1_600));
        let (first, client) = (harness.connect_client(), harness.connect_client());
        harness.deliver(first, &start_request(1, "batch", ""));
        let (connection, _) = harness.start_requests().pop().expect("it is sent");
        // Silent for longer than an attempt to a machine that warms up may be: the gate is shut.
        harness.now = harness.now + ms(600);
        harness.deliver(client, &start_request(2, "front", ""));
        assert!(harness.start_requests().is_empty(), "it waits behind the gate");
        cancel_or_disconnect(&mut harness, client, 2, cancels);
        harness.deliver(connection, &acceptance(1));
        harness.advance(Duration::from_secs(3));
        assert!(harness.start_requests().is_empty());
    }
}

#[test]
fn cancelled_pending_adoption_stops_task() {
    let mut harness = Harness::new(1);
    let client = harness.connect_client();
    harness.deliver(client, &start_request(5, "front", &format!(";at:{}", uid(2))));
    harness.deliver(client, &release(5, cause_code::ENDED));
    let discovery = harness.connections_to(DISCOVERY)[0];
    let line = event(2, false, &[endpoint(2, "in_service", 0)]);
    harness.deliver(discovery, format!("data: {line}\n\n").as_bytes());
    harness.advance(ms(500));
    let stops = harness.received(|connection_id| connection_id != client);
    let stop = stops.iter().find(|(_, message)| message.task == 5).expect("its machine is told");
    assert_eq!((stop.1.kind, stop.1.cause()), (kind::RELEASE, Some(cause_code::CANCELLED)));
    harness.deliver(stop.0, &release(5, cause_code::CANCELLED));
    assert!(harness.received_on(client).is_empty(), "a client that cancelled is owed nothing");
    assert!(harness.scheduler.state.get_mut().tasks.by_id.is_empty());
}

#[test]
fn cancelled_pending_adoption_reports_no_end() {
    let mut harness = Harness::new(1);
    let client = harness.connect_client();
    for task in [5, 6] {
        harness.deliver(client, &start_request(task, "front", &format!(";at:{}", uid(2))));
    }
    harness.deliver(client, &release(5, cause_code::ENDED));
    harness.advance(Duration::from_secs(3));
    let reported: Vec<u64> = harness.received_on(client).iter().map(|message| message.task).collect();
    assert_eq!(reported, [6], "a cancelled one is owed nothing, the other one is notified in time");
}

#[test]
fn message_read_after_pause_counts_from_before_it() {
    // Its last note lies here for two seconds, unread; it has stopped since.
    let mut harness = Harness::new(1);
    let client = harness.connect_client();
    let connection = place_task(&mut harness, client, 1, "front");
    harness.advance(ms(1_000));
    let stopped_at = harness.now;
    harness.reachability.insert(address(1), Reachability::Refuses);
    harness.now = harness.now + ms(2_000);
    harness.deliver(connection, &encode(kind::NOTE, 1, &[(code::NOTE, b"use_cpu"), (code::VALUE, b"0.5")]));
    while harness.received_on(client).is_empty() {
        assert!(harness.now - stopped_at < ms(8_000), "its client must have been notified by now");
        harness.advance(ms(20));
    }
    assert!(harness.now - stopped_at > ms(7_000), "one that drains keeps its tasks for a while");
}

#[test]
fn late_acceptance_stops_no_later_attempt_on_the_same_machine() {
    // Seen: incident 22ad20. An attempt was given up and a later one accepted by the same machine; the acceptance
    // of the first one came three seconds late, and the order to stop it cut the task that ran.
    let mut harness = Harness::new(2);
    let client = harness.connect_client();
    harness.deliver(client, &start_request(1, "front", ""));
    let (first, _) = harness.start_requests().pop().expect("it is sent");
    let next_attempt = |harness: &mut Harness| {
        (0..40).find_map(|_| {
            harness.advance(ms(40));
            harness.start_requests().pop()
        })
    };
    let (second, _) = next_attempt(&mut harness).expect("the first machine was silent");
    harness.deliver(second, &release(1, cause_code::FULL));
    let (third, _) = next_attempt(&mut harness).expect("to the first one again");
    assert_eq!(harness.address_of(first), harness.address_of(third));
    assert_ne!(first, third, "a connection of its own");
    harness.deliver(third, &acceptance(1));
    assert_eq!(harness.received_on(client)[0].kind, kind::ACCEPT);
    harness.received_on(first);
    harness.deliver(first, &acceptance(1));
    harness.advance(ms(100));
    let to_machine = harness.received(|connection_id| connection_id == first || connection_id == third);
    assert!(to_machine.is_empty(), "it runs: {to_machine:?}");
    harness.deliver(third, &release(1, cause_code::ENDED));
    assert_eq!(harness.received_on(client).len(), 1, "its end is reported");
}
