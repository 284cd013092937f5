//! Clients: requests, answers, limits on their connections, and what is left of them.

use super::harness::*;
use mulleinhub_interface::Duration;
use mulleinhub_platform_protocol::{cause_code, code, kind};
use mulleinhub_sans_io::{CloseReason, ConnectionId, StateMachine};

#[test]
fn request_answer_and_end_are_forwarded() {
    let mut harness = Harness::new(3);
    let client = harness.connect_client();
    harness.deliver(client, &start_request(77, "batch", ""));
    let (connection, message) = harness.start_requests().pop().unwrap();
    assert_eq!(message.param(code::CLASS), Some(&b"batch"[..]));
    assert_eq!(message.param(code::IDEMPOTENCY_KEY), Some(KEY));
    assert_eq!(message.param(code::NAME), Some(&b"000000000000ab80"[..]));
    assert_eq!(message.param(code::DESCRIPTION), Some(&b"wanted\r\n"[..]));
    assert!(message.param(code::RESOURCES).is_none() && message.param(code::RETRY).is_none());
    harness.deliver(connection, &acceptance(77));
    let answers = harness.received_on(client);
    assert_eq!(answers.len(), 1);
    assert_eq!(
        (answers[0].kind, answers[0].param(code::DESCRIPTION)),
        (kind::ACCEPT, Some(&b"made\r\n"[..]))
    );
    // A second acceptance, and one that was not requested, change nothing.
    harness.deliver(connection, &[acceptance(77), acceptance(78)].concat());
    harness.advance(ms(500));
    harness.deliver(connection, &release(77, cause_code::ENDED));
    let ends = harness.received_on(client);
    assert_eq!(ends.len(), 1);
    assert_eq!((ends[0].kind, ends[0].cause()), (kind::RELEASE, Some(cause_code::ENDED)));
}

/// Guards against a crash: each copy of a request that came back under its number within one read became a record of
/// the policy, and two of them were sent (review case 2).
#[test]
fn request_taken_back_and_repeated_in_one_read_is_sent_once() {
    let cancel = || release(7, cause_code::ENDED);
    let request = || start_request(7, "front", "");
    for times_taken_back in 1..4 {
        let mut harness = Harness::new(3);
        let usual = harness.connect_client();
        harness.deliver(usual, &start_request(1, "front", ""));
        let (usual_connection, _) = harness.start_requests().pop().expect("it is sent");
        let client = harness.connect_client();
        let taken_back = (0..times_taken_back).flat_map(|_| [request(), cancel()].concat());
        harness.deliver(client, &taken_back.chain(request()).collect::<Vec<u8>>());
        let sent = harness.start_requests();
        assert_eq!(sent.len(), 1, "taken back {times_taken_back} times: {sent:?}");
        // A refusal of the one attempt leaves it to a further one, and its answer to that.
        harness.deliver(sent[0].0, &release(7, cause_code::FULL));
        let (connection, _) = harness.start_requests().pop().expect("another machine is asked");
        harness.deliver(connection, &acceptance(7));
        assert_eq!(harness.received_on(client).len(), 1);
        harness.deliver(usual_connection, &acceptance(1));
        assert_eq!(harness.received_on(usual).len(), 1);
    }
}

/// Guards against a request without an answer: taken back while it waited for a machine and sent again in the same
/// read, it was taken for the first one, which the policy then forgot.
#[test]
fn waiting_request_taken_back_and_repeated_in_one_read_is_answered() {
    let mut harness = Harness::new(2);
    let client = harness.connect_client();
    let reject_all = |harness: &mut Harness| {
        for (connection, message) in harness.start_requests() {
            harness.deliver(connection, &release(message.task, cause_code::FULL));
        }
    };
    harness.deliver(client, &start_request(7, "front", ""));
    (0..3).for_each(|_| reject_all(&mut harness));
    harness.deliver(client, &[release(7, cause_code::ENDED), start_request(7, "front", "")].concat());
    for _ in 0..60 {
        harness.advance(ms(50));
        reject_all(&mut harness);
    }
    assert_eq!(harness.received_on(client).len(), 1, "the repeated one");
    assert!(harness.scheduler.state.get_mut().tasks.by_id.is_empty());
}

/// Guards against a running task that the policy forgot: its request was taken back and the task handed over in one read.
#[test]
fn request_taken_back_and_handed_over_in_one_read_is_adopted() {
    for waits in [false, true] {
        let drains = [endpoint(1, "terminating", 0)];
        let mut harness = Harness::with_endpoints(START, &drains, |config_json| config_json);
        let client = harness.connect_client();
        let (request, cancel) = (start_request(7, "front", ""), release(7, cause_code::ENDED));
        let handed_over = start_request(7, "front", &format!(";at:{}", uid(1)));
        if waits {
            harness.deliver(client, &request);
            harness.deliver(client, &[cancel, handed_over].concat());
        } else {
            harness.deliver(client, &[request, cancel, handed_over].concat());
        }
        // Longer than the request would have waited.
        harness.advance(ms(2_500));
        let connection = harness.connections_to(&address(1))[0];
        harness.deliver(connection, &release(7, cause_code::ENDED));
        let received = harness.received_on(client);
        assert_eq!((received.len(), received[0].kind), (1, kind::RELEASE), "{received:?}");
    }
}

#[test]
fn end_of_adopted_task_waits_for_client() {
    let mut harness = Harness::new(2);
    let client = harness.connect_client();
    harness.deliver(client, &start_request(5, "batch", &format!(";at:{}", uid(2))));
    assert!(harness.received_on(client).is_empty(), "no answer is owed");
    // The delay of the reconnect is random, so that not all come back at one instant.
    harness.advance(ms(500));
    let connection = harness.connections_to(&address(2))[0];
    harness.close(client, CloseReason::Closed);
    harness.deliver(connection, &release(5, cause_code::ENDED));
    harness.advance(ms(900));
    // One that only sent a request is not notified: it need be no client.
    let another = harness.connect_client();
    harness.deliver(another, &start_request(6, "front", ""));
    assert!(harness.received_on(another).is_empty());
    let (connection, _) = harness.start_requests().pop().unwrap();
    harness.deliver(connection, &acceptance(6));
    let reported = harness.received_on(another);
    assert!(
        reported.iter().any(|message| (message.kind, message.task) == (kind::RELEASE, 5)),
        "{reported:?}"
    );
}

#[test]
fn invalid_requests_are_refused_and_bad_frames_close() {
    let mut harness = Harness::new(2);
    let good = harness.connect_client();
    harness.deliver(good, &start_request(1, "front", ""));
    let (connection, _) = harness.start_requests().pop().unwrap();
    let invalid = [
        start_request(0, "front", ""),
        start_request(2, "nobody", ""),
        start_request(3, "front", ";cores:1"),
        encode(kind::START, 4, &[]),
    ];
    for bytes in invalid {
        let bad = harness.connect_client();
        harness.deliver(bad, &bytes);
        let messages = harness.received_on(bad);
        assert_eq!((messages.len(), messages[0].cause()), (1, Some(cause_code::ERROR)));
        assert!(!harness.closed.contains(&bad), "the connection stays open");
    }
    let malformed = [
        vec![0, 3, 1],
        vec![0xff; 40_000],
        encode(200, 9, &[]),
        vec![0, 12, kind::RELEASE, 0, 0, 0, 0, 0, 0, 0, 1, code::CAUSE, 9, 9],
        // The id of an open request of another client.
        start_request(1, "batch", ""),
    ];
    for bytes in malformed {
        let bad = harness.connect_client();
        harness.deliver(bad, &bytes);
        assert!(harness.closed.contains(&bad));
    }
    // Cancelled by another client: untouched.
    let bad = harness.connect_client();
    harness.deliver(bad, &release(1, cause_code::ENDED));
    assert!(harness.start_requests().is_empty(), "nothing invalid was forwarded");
    harness.deliver(connection, &acceptance(1));
    assert_eq!(harness.received_on(good)[0].kind, kind::ACCEPT);
    // Two requests under one number: the first has its one answer before the connection ends.
    let bad = harness.connect_client();
    harness.deliver(bad, &[start_request(8, "front", ""), start_request(8, "front", "")].concat());
    assert_eq!(harness.received_on(bad).len(), 1);
    assert!(harness.closed.contains(&bad));
    // A list may still name the machine of an adoption; after that it is refused, within three seconds.
    let bad = harness.connect_client();
    harness.deliver(bad, &start_request(5, "front", ";at:s-none"));
    harness.advance(ms(2_600));
    let messages = harness.received_on(bad);
    assert_eq!((messages.len(), messages[0].cause()), (1, Some(cause_code::ERROR)));
    assert!(!harness.closed.contains(&bad), "the connection stays open");
}

#[test]
fn silent_connections_do_not_displace_clients() {
    let mut harness = Harness::new(2);
    let silent = harness.connect_client();
    let half = harness.connect_client();
    harness.deliver(half, &start_request(1, "front", "")[..20]);
    harness.advance(ms(2_600));
    assert!(harness.closed.contains(&silent) && harness.closed.contains(&half));
    let good = harness.connect_client();
    place_task(&mut harness, good, 2, "front");
    let idle_clients: Vec<ConnectionId> = (0..400).map(|_| harness.connect_client()).collect();
    let open = idle_clients.iter().filter(|connection_id| !harness.closed.contains(connection_id)).count();
    assert!(open <= 256 / 8, "{open}");
    assert!(!harness.closed.contains(&good));
    let late = harness.connect_client();
    place_task(&mut harness, late, 3, "front");
}

#[test]
fn unproven_connections_displace_no_client() {
    let mut harness = Harness::new(2);
    let client = harness.connect_client();
    let connection = place_task(&mut harness, client, 1, "front");
    for n in 0..400 {
        let idle_client = harness.connect_client();
        harness.deliver(idle_client, &start_request(100 + n, "front", ""));
        harness.deliver(idle_client, &release(100 + n, cause_code::ENDED));
        harness.advance(ms(2));
    }
    assert!(!harness.closed.contains(&client), "others are closed before it");
    harness.deliver(connection, &release(1, cause_code::ENDED));
    assert_eq!(harness.received_on(client).iter().filter(|message| message.task == 1).count(), 1);
}

#[test]
fn tasks_and_unreported_ends_are_bounded() {
    let mut harness =
        Harness::with_config(2, |config_json| config_json.replace(r#""memory_mb":32"#, r#""memory_mb":1"#));
    let client = harness.connect_client();
    let at = format!(";at:{}", uid(1));
    (1..=200).for_each(|task| harness.deliver(client, &start_request(task, "front", &at)));
    // A quarter of the places is kept for requests.
    assert_eq!(harness.scheduler.state.get_mut().tasks.by_id.len(), 3 * 32);
    let refused = harness.received_on(client);
    assert!(refused.len() == 104 && refused.iter().all(|message| message.cause() == Some(cause_code::ERROR)));
    harness.reachability.insert(address(1), Reachability::Silent);
    harness.reachability.insert(address(2), Reachability::Silent);
    // Some clients, as one alone is not given all places.
    let others: Vec<ConnectionId> = (0..8).map(|_| harness.connect_client()).collect();
    for task in 500..540 {
        harness.deliver(others[task as usize % 8], &start_request(task, "front", ""));
    }
    let held = harness.scheduler.state.get_mut().tasks.by_id.len();
    assert!((3 * 32 + 28..=4 * 32).contains(&held), "{held} of 128 places");
    let mut busy = 0;
    for client in others {
        let refused = harness.received_on(client);
        assert!(refused.iter().all(|message| message.cause() == Some(cause_code::BUSY)), "{refused:?}");
        busy += refused.len();
        harness.close(client, CloseReason::Closed);
    }
    assert_eq!(held + busy, 3 * 32 + 40, "each is held or refused");
    harness.reachability.clear();
    harness.advance(ms(500));
    let connection = harness.connections_to(&address(1))[0];
    harness.close(client, CloseReason::Closed);
    (1..=96).for_each(|task| harness.deliver(connection, &release(task, cause_code::ENDED)));
    assert_eq!(harness.scheduler.state.get_mut().clients.unreported_ends.len(), 96);
    harness.advance(Duration::from_secs(61));
    assert!(harness.scheduler.state.get_mut().clients.unreported_ends.is_empty());
}

#[test]
fn finished_tasks_leave_no_state() {
    let mut harness = Harness::new(2);
    for n in 0..300u64 {
        let client = harness.connect_client();
        let connection =
            place_task(&mut harness, client, 1_000 + n, if n % 2 == 0 { "front" } else { "batch" });
        harness.deliver(connection, &release(1_000 + n, cause_code::ENDED));
        harness.close(client, CloseReason::Closed);
        let (new, discovery) = (100 + n, harness.connections_to(DISCOVERY)[0]);
        for (number, state) in [(2 + 2 * n, "in_service"), (3 + 2 * n, "terminated")] {
            let event = event(number, false, &[endpoint(new, state, 0)]);
            harness.deliver(discovery, format!("data: {event}\n\n").as_bytes());
        }
        harness.advance(ms(100));
    }
    harness.advance(Duration::from_secs(20));
    let state = harness.scheduler.state.get_mut();
    assert!(state.tasks.by_id.is_empty() && state.clients.by_connection.is_empty());
    assert_eq!((state.machines.by_id.len(), state.machines.connections.len()), (2, 0));
    assert!(state.timers.len() < 20 && state.policy_queue.outcomes.is_empty(), "{}", state.timers.len());
    assert_eq!(state.clients.limits.len(), 0);
    assert!(state.connections.buffer_capacity() < 2_000_000);
}

/// Guards against a scheduler that refuses everything, as a client has handed over more tasks than there are places
/// for, at machines that don't hold them (picture b).
#[test]
fn flood_of_adoptions_leaves_places_for_requests() {
    let mut harness = Harness::new(8);
    let bad = harness.connect_client();
    for (first, machine) in [(10_000, uid(3)), (20_000, uid(99))] {
        for task in first..first + 6_000 {
            harness.scheduler.on_data(
                harness.now,
                bad,
                &start_request(task, "batch", &format!(";at:{machine}")),
            );
        }
        harness.run_until_idle_within(1_000);
    }
    let client = harness.connect_client();
    for task in 1..=100 {
        harness.deliver(client, &start_request(task, "front", ""));
        for (connection, message) in harness.start_requests() {
            harness.deliver(connection, &[acceptance(message.task), release(message.task, 16)].concat());
        }
        let messages = harness.received_on(client);
        assert_eq!(messages[0].kind, kind::ACCEPT, "request {task}: {messages:?}");
    }
}

/// Guards against attempts for a client that has left, while much of what it had sent is still unread (picture c).
#[test]
fn client_that_left_behind_unread_input_gets_no_attempt() {
    let mut harness = Harness::new(2);
    let client = harness.connect_client();
    harness.deliver(client, &[start_request(1, "batch", ""), start_request(2, "front", "")].concat());
    let sent = harness.start_requests();
    assert_eq!(sent.len(), 2);
    // Its leaving is known, and its requests are read after that; hand-overs and orders count all the same.
    harness.scheduler.on_read_closed(harness.now, client);
    let handed_over = start_request(9, "front", &format!(";at:{}", uid(1)));
    let unread = [start_request(3, "front", ""), handed_over, start_request(4, "batch", "")].concat();
    harness.scheduler.on_data(harness.now, client, &unread);
    harness.run_until_idle();
    for (connection, message) in &sent {
        let given_up = harness.received_on(*connection);
        assert!(given_up.iter().any(|other| other.task == message.task && other.kind == kind::RELEASE));
        harness.deliver(*connection, &release(message.task, cause_code::FULL));
    }
    harness.advance(ms(1_000));
    assert!(harness.start_requests().is_empty(), "nobody waits for an answer");
    harness.close(client, CloseReason::Closed);
    let held: Vec<u64> = harness.scheduler.state.get_mut().tasks.by_id.keys().map(|id| id.0).collect();
    assert_eq!(held, [9]);
}

/// Guards against a task that runs twice: its client left, and the same id came again (picture c).
#[test]
fn id_that_comes_again_is_not_run_again() {
    for (class, outcome, repeats) in [
        ("batch", None, false),
        ("batch", Some(cause_code::FULL), true),
        ("batch", Some(cause_code::ENDED), false),
        ("front", None, true),
    ] {
        let mut harness = Harness::new(2);
        let client = harness.connect_client();
        harness.deliver(client, &start_request(1, class, ""));
        let (connection, _) = harness.start_requests().pop().expect("it is sent");
        match outcome {
            Some(cause_code::ENDED) => {
                harness.deliver(connection, &[acceptance(1), release(1, cause_code::ENDED)].concat());
            }
            Some(cause) => {
                harness.scheduler.on_data(harness.now, connection, &release(1, cause));
                harness.scheduler.on_closed(harness.now, client, CloseReason::Closed);
                harness.run_until_idle();
                harness.start_requests();
            }
            None => harness.close(client, CloseReason::Closed),
        }
        harness.advance(ms(100));
        let again = harness.connect_client();
        harness.deliver(again, &start_request(1, class, ""));
        let answers = harness.received_on(again);
        let is_failed = answers.iter().any(|answer| answer.cause() == Some(cause_code::ERROR));
        let sent = harness.start_requests().len();
        assert_eq!((sent == 1, is_failed), (repeats, !repeats), "{class}, {outcome:?}: {answers:?}");
        // Not for ever.
        harness.advance(Duration::from_secs(65));
        harness.start_requests();
        let much_later = harness.connect_client();
        harness.deliver(much_later, &start_request(1, class, ""));
        assert_eq!(harness.start_requests().len(), 1, "{class}, {outcome:?}");
    }
}
