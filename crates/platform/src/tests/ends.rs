//! Ends of tasks, kept until a client has heard of them.

use super::harness::*;
use mulleinhub_interface::Duration;
use mulleinhub_platform_protocol::{cause_code, code, kind};
use mulleinhub_sans_io::{CloseReason, ConnectionId};

/// Ends of this task that were reported on a connection since the last look.
fn ends(harness: &mut Harness, client: ConnectionId, task: u64) -> usize {
    let messages = harness.received_on(client);
    messages.iter().filter(|message| (message.kind, message.task) == (kind::RELEASE, task)).count()
}

fn acknowledge(harness: &mut Harness, client: ConnectionId, task: u64) {
    harness.deliver(client, &encode(kind::RELEASE_ACK, task, &[]));
}

/// A request that no machine takes, and its answer.
fn request_and_reject(harness: &mut Harness, client: ConnectionId, task: u64) {
    harness.deliver(client, &start_request(task, "front", ""));
    for _ in 0..60 {
        for (connection, message) in harness.start_requests() {
            harness.deliver(connection, &release(message.task, cause_code::FULL));
        }
        harness.advance(ms(50));
    }
}

/// Guards against an end that is told to nobody, as the first one of a process was not repeated when its connection was
/// reset (review play first-end).
#[test]
fn end_on_a_connection_that_breaks_is_reported_on_another_one() {
    for is_acknowledging in [false, true] {
        let mut harness = Harness::new(2);
        let (first, second) = (harness.connect_client(), harness.connect_client());
        let connection = place_task(&mut harness, first, 1, "front");
        let other_connection = place_task(&mut harness, second, 2, "front");
        if is_acknowledging {
            harness.deliver(other_connection, &release(2, cause_code::ENDED));
            acknowledge(&mut harness, second, 2);
            harness.received_on(second);
        }
        harness.blocked.insert(first);
        harness.deliver(connection, &release(1, cause_code::ENDED));
        // It is cut off for longer than a client takes to acknowledge.
        let cut_off = if is_acknowledging { ms(4_000) } else { ms(30) };
        harness.advance(cut_off);
        harness.close(first, CloseReason::Broken);
        harness.advance(ms(100));
        assert_eq!(ends(&mut harness, second, 1), 1, "clients are known to acknowledge: {is_acknowledging}");
    }
}

/// Guards against ends that are reported twice to clients that acknowledge nothing.
#[test]
fn end_is_not_repeated_where_clients_acknowledge_nothing() {
    let mut harness = Harness::new(2);
    let (first, second) = (harness.connect_client(), harness.connect_client());
    let connection = place_task(&mut harness, first, 1, "front");
    place_task(&mut harness, second, 2, "front");
    harness.deliver(connection, &release(1, cause_code::ENDED));
    harness.advance(ms(1_500));
    request_and_reject(&mut harness, first, 3);
    harness.received_on(first);
    let connection = place_task(&mut harness, first, 4, "batch");
    harness.deliver(connection, &release(4, cause_code::ENDED));
    harness.close(first, CloseReason::Broken);
    harness.advance(ms(2_000));
    assert_eq!(ends(&mut harness, second, 1) + ends(&mut harness, second, 4), 0);
}

/// Guards against a client that is never told of an end, as its new connection had brought nothing yet that proved it, and
/// no client of this process had acknowledged anything (review plays end-under-drain and end-after-restart).
#[test]
fn end_is_offered_to_a_client_whose_requests_were_refused() {
    let mut harness = Harness::new(2);
    let first = harness.connect_client();
    let connection = place_task(&mut harness, first, 1, "front");
    harness.close(first, CloseReason::Closed);
    let next = harness.connect_client();
    request_and_reject(&mut harness, next, 2);
    // Silent ones are opened after it.
    for _ in 0..10 {
        harness.connect_client();
    }
    harness.advance(ms(400));
    harness.received_on(next);
    harness.deliver(connection, &release(1, cause_code::ENDED));
    harness.advance(ms(1_000));
    assert_eq!(ends(&mut harness, next, 1), 1, "within a second");
    acknowledge(&mut harness, next, 1);
    harness.advance(ms(5_000));
    assert_eq!(ends(&mut harness, next, 1), 0, "once");
}

/// Guards against a task that counts as running for ever: it ended before it was handed over, and its machine had told
/// another scheduler (review case 4).
#[test]
fn adoption_asks_the_machine_for_reports_on_a_new_connection() {
    let mut harness = Harness::new(1);
    let client = harness.connect_client();
    let connection = place_task(&mut harness, client, 1, "front");
    harness.deliver(client, &start_request(2, "front", &format!(";at:{}", uid(1))));
    harness.advance(ms(200));
    let next = harness.connections_to(&address(1)).into_iter().find(|other| *other != connection);
    let next = next.expect("the machine repeats its reports there");
    harness.deliver(next, &release(2, cause_code::ENDED));
    assert_eq!(ends(&mut harness, client, 2), 1);
    assert_eq!(ends(&mut harness, client, 1), 0, "it runs");
}

/// Guards against a report that is taken for the rest of an answer which stopped short on the same connection, so that its
/// client is never told (review play stops-short).
#[test]
fn message_that_stops_short_swallows_no_report() {
    for notes_follow in [false, true] {
        let mut harness = Harness::new(1);
        let client = harness.connect_client();
        let connection = place_task(&mut harness, client, 1, "front");
        harness.deliver(client, &start_request(2, "front", ""));
        harness.start_requests();
        let answer = encode(kind::ACCEPT, 2, &[(code::DESCRIPTION, &[b'.'; 4_000])]);
        harness.deliver(connection, &answer[..2_000]);
        let until = harness.now + ms(600);
        while harness.now < until {
            harness.advance(ms(100));
            if notes_follow && harness.opened.contains_key(&connection) {
                harness.deliver(connection, &encode(kind::NOTE, 1, &[(121, b"running")]));
            }
        }
        assert!(!harness.opened.contains_key(&connection), "notes follow: {notes_follow}");
        harness.advance(ms(300));
        let next =
            *harness.connections_to(&address(1)).last().expect("the machine repeats its reports there");
        harness.deliver(next, &release(1, cause_code::ENDED));
        assert_eq!(ends(&mut harness, client, 1), 1);
        // One that comes in time, though in pieces, costs nothing.
        let third = place_task(&mut harness, client, 3, "batch");
        harness.deliver(third, &release(3, cause_code::ENDED)[..5]);
        harness.advance(ms(300));
        harness.deliver(third, &release(3, cause_code::ENDED)[5..]);
        harness.advance(ms(1_000));
        assert!(harness.opened.contains_key(&third));
    }
}

/// Guards against a report that goes on a connection which this side has broken off, after the machine has accepted the next
/// one: it is repeated on a further one only.
#[test]
fn broken_off_connection_has_reports_asked_for_until_it_is_noticed() {
    let mut harness = Harness::new(1);
    let client = harness.connect_client();
    place_task(&mut harness, client, 1, "front");
    harness.deliver(client, &start_request(2, "front", ""));
    let (connection, _) = harness.start_requests().pop().expect("it is sent");
    let broken_at = harness.now;
    harness.deliver(connection, b"\0\0noise");
    let mut opened_after = false;
    while harness.now < broken_at + ms(400) {
        let before = harness.connections_to(&address(1));
        harness.advance(ms(5));
        let after = harness.connections_to(&address(1));
        let is_new = after.iter().any(|connection| !before.contains(connection));
        opened_after |= is_new && harness.now >= broken_at + ms(100);
    }
    assert!(opened_after, "a connection that is asked for once the machine has noticed");
}

/// Guards against a connection that is closed as idle while a task runs whose end is to be reported there (review case 5).
#[test]
fn quiet_client_with_a_running_task_stays_connected() {
    let mut harness = Harness::new(1);
    let client = harness.connect_client();
    let idle = harness.connect_client();
    let connection = place_task(&mut harness, idle, 2, "front");
    harness.deliver(connection, &release(2, cause_code::ENDED));
    place_task(&mut harness, client, 1, "front");
    for _ in 0..80 {
        harness.advance(Duration::from_secs(1));
        let connection = harness.connections_to(&address(1))[0];
        harness.deliver(connection, &encode(kind::NOTE, 1, &[(121, b"running")]));
    }
    assert!(harness.closed.contains(&idle), "nothing is owed there");
    let connection = harness.connections_to(&address(1))[0];
    harness.deliver(connection, &release(1, cause_code::ENDED));
    assert_eq!(ends(&mut harness, client, 1), 1);
}

/// Guards against the end of a task that nobody tells: its scheduler was killed, and its machine reported the end to this
/// one, which kept it to itself (review case 7).
#[test]
fn end_of_a_task_of_another_scheduler_is_passed_on() {
    for cause in [cause_code::ENDED, cause_code::RESET] {
        let mut harness = Harness::new(1);
        let client = harness.connect_client();
        let connection = place_task(&mut harness, client, 1, "front");
        harness.deliver(connection, &release(71, cause));
        harness.advance(ms(1_000));
        assert_eq!(ends(&mut harness, client, 71), 1, "within a second");
        // It is reported on the next connection, too. A rejection or a cancelled task is no end.
        harness.deliver(connection, &release(71, cause));
        for no_end in [cause_code::FULL, cause_code::BUSY, cause_code::NOT_SENT, cause_code::CANCELLED] {
            harness.deliver(connection, &release(72, no_end));
        }
        harness.advance(ms(2_000));
        assert!(harness.received_on(client).is_empty());
    }
}

/// Guards against the same where no client is connected as the end is reported.
#[test]
fn end_of_a_task_of_another_scheduler_waits_for_a_client() {
    let mut harness = Harness::new(1);
    let first = harness.connect_client();
    let connection = place_task(&mut harness, first, 1, "front");
    harness.close(first, CloseReason::Closed);
    harness.deliver(connection, &release(71, cause_code::ENDED));
    harness.advance(ms(5_000));
    let next = harness.connect_client();
    harness.advance(ms(900));
    assert_eq!(ends(&mut harness, next, 71), 1);
}

/// Guards against a second answer: a copy of a task that was refused, cancelled or over before ends later, or its end is
/// reported again.
#[test]
fn end_of_a_copy_that_nobody_wants_is_not_passed_on() {
    let mut harness = Harness::new(1);
    let client = harness.connect_client();
    let running = place_task(&mut harness, client, 1, "front");
    // It is cancelled before its answer, and runs all the same.
    harness.deliver(client, &start_request(3, "batch", ""));
    assert_eq!(harness.start_requests().len(), 1);
    harness.deliver(client, &release(3, cause_code::CANCELLED));
    // It is broken off on its way, as its machine has it.
    harness.deliver(client, &start_request(2, "batch", ""));
    let (connection, _) = harness.start_requests().pop().expect("it is sent");
    harness.deliver(connection, &release(2, cause_code::RESET));
    assert_eq!(ends(&mut harness, client, 2), 1, "its final answer");
    harness.deliver(running, &release(1, cause_code::ENDED));
    assert_eq!(ends(&mut harness, client, 1), 1);
    for task in [1, 2, 3] {
        harness.deliver(running, &release(task, cause_code::ENDED));
    }
    harness.advance(ms(2_000));
    assert_eq!(harness.received_on(client), []);
}

/// Guards against a task that is told to be over while it runs: its end is reported by a machine on which another copy of
/// it ran, before it is handed over.
#[test]
fn reported_end_waits_for_the_hand_over_of_its_task() {
    for (machine, is_over) in [(1, true), (2, false)] {
        let mut harness = Harness::new(2);
        let client = harness.connect_client();
        harness.deliver(client, &start_request(1, "front", &format!(";at:{}", uid(1))));
        harness.advance(ms(500));
        let connection = harness.connections_to(&address(1))[0];
        harness.deliver(connection, &release(71, cause_code::ENDED));
        harness.advance(ms(200));
        harness.deliver(client, &start_request(71, "front", &format!(";at:{}", uid(machine))));
        harness.advance(ms(1_000));
        assert_eq!(ends(&mut harness, client, 71), usize::from(is_over), "at machine {machine}");
    }
}

/// Guards against an end that a bad client is told in the owner's place: it had handed over a task that no machine knows
/// (review play unknown-ids).
#[test]
fn client_that_made_a_task_up_is_not_told_of_others_ends() {
    let mut harness = Harness::new(2);
    let (first, second) = (harness.connect_client(), harness.connect_client());
    let connection = place_task(&mut harness, first, 1, "front");
    place_task(&mut harness, second, 2, "front");
    harness.close(first, CloseReason::Closed);
    harness.advance(ms(300));
    let bad = harness.connect_client();
    harness.deliver(bad, &start_request(0xbad0, "front", &format!(";at:{}", uid(1))));
    harness.advance(ms(300));
    harness.deliver(connection, &release(1, cause_code::ENDED));
    harness.advance(ms(500));
    assert_eq!((ends(&mut harness, second, 1), ends(&mut harness, bad, 1)), (1, 0));
    // One that handed over what runs is as good as any other.
    let heir = harness.connect_client();
    harness.deliver(heir, &start_request(3, "front", &format!(";at:{}", uid(1))));
    harness.deliver(connection, &encode(kind::NOTE, 3, &[(121, b"running")]));
    harness.close(second, CloseReason::Closed);
    harness.deliver(bad, &start_request(0xbad1, "front", &format!(";at:{}", uid(1))));
    harness.deliver(connection, &release(71, cause_code::ENDED));
    harness.advance(ms(1_000));
    assert_eq!((ends(&mut harness, heir, 71), ends(&mut harness, bad, 71)), (1, 0));
}

/// Guards against an end that nobody is told, as its client acknowledges none, has connected anew, and all machines refuse
/// its requests for the moment (review case 9).
#[test]
fn client_that_acknowledges_nothing_is_told_though_its_requests_are_refused() {
    let mut harness = Harness::new(2);
    let first = harness.connect_client();
    let connection = place_task(&mut harness, first, 1, "front");
    harness.deliver(connection, &release(1, cause_code::ENDED));
    harness.advance(ms(1_500));
    harness.received_on(first);
    let connection = place_task(&mut harness, first, 2, "batch");
    harness.close(first, CloseReason::Closed);
    let next = harness.connect_client();
    request_and_reject(&mut harness, next, 3);
    harness.received_on(next);
    harness.deliver(connection, &release(2, cause_code::ENDED));
    harness.advance(ms(1_000));
    assert_eq!(ends(&mut harness, next, 2), 1, "within a second");
}

/// Guards against a task that is told to be over while it runs: its machine was started while discovery was down, and no list
/// could name it (review play hand-over).
#[test]
fn task_handed_over_in_an_outage_of_discovery_waits_for_the_list() {
    let mut harness = Harness::new(1);
    harness.reachability.insert(DISCOVERY.to_owned(), Reachability::Refuses);
    let discovery = harness.connections_to(DISCOVERY)[0];
    harness.close(discovery, CloseReason::Broken);
    let client = harness.connect_client();
    harness.deliver(client, &start_request(5, "front", &format!(";at:{}", uid(9))));
    harness.deliver(client, &start_request(6, "front", ";at:s-none"));
    harness.advance(ms(8_000));
    assert!(harness.received_on(client).is_empty());
    harness.reachability.remove(DISCOVERY);
    while harness.connections_to(DISCOVERY).is_empty() {
        harness.advance(ms(1));
    }
    let discovery = harness.connections_to(DISCOVERY)[0];
    let event = event(2, false, &[endpoint(9, "in_service", 0)]);
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    harness.deliver(discovery, format!("{head}data: {event}\n\n").as_bytes());
    for _ in 0..3 {
        harness.advance(ms(900));
        harness.deliver(discovery, b": \n\n");
    }
    // The one is refused that no list names once one can come.
    let told: Vec<u64> = harness.received_on(client).iter().map(|message| message.task).collect();
    assert_eq!(told, [6]);
    let connection = harness.connections_to(&address(9))[0];
    harness.deliver(connection, &release(5, cause_code::ENDED));
    assert_eq!(ends(&mut harness, client, 5), 1);
}
