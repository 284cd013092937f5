//! Races of two events at the built program, each forced over loopback sockets. docs/crossings.md has a row
//! for each.

mod harness;

use harness::disconnect::Disconnect;
use harness::*;
use mulleinhub_platform_protocol::{cause_code, kind};
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Waits until the scheduler has had at least so many iterations of its event loop.
fn wait_for_iterations(scheduler: &Scheduler, n: usize) {
    let mut watcher = scheduler.connect();
    (0..n.div_ceil(2)).for_each(|_| wait_until_handled(&mut watcher));
}

/// Lists a second machine beside the first.
fn two_machines(config: String, second: &TcpListener) -> String {
    config.replace(r#""room":[32.0,64.0]}]"#, &{
        let entry = list_entry("s-2", address(second), "in_service", 0);
        format!(r#""room":[32.0,64.0]}},{entry}]"#)
    })
}

/// No task.
const NONE: [u64; 0] = [];

// Disconnected clients.

#[test]
fn no_request_of_a_disconnected_client_is_forwarded() {
    // Handled in one iteration, in several, and more than is read at a time.
    for tasks in [10, 200, 1_500] {
        for disconnect in Disconnect::ALL {
            let mut scheduler = Scheduler::start();
            let mut client = scheduler.connect();
            wait_until_handled(&mut client);
            scheduler.pause();
            let all: Vec<u8> = (1..=tasks).flat_map(start_request).collect();
            client.write_all(&all).expect("is sent");
            let still_open = disconnect.perform(client, 1..=tasks);
            scheduler.resume();
            wait_for_iterations(&scheduler, 100);
            scheduler.kill();
            let sent = backlogged_start_requests(&scheduler.machine);
            assert!(sent.is_empty(), "{disconnect:?} of {tasks}: {} forwarded", sent.len());
            drop(still_open);
        }
    }
}

#[test]
fn client_that_disconnects_before_accept_is_not_forwarded() {
    let mut scheduler = Scheduler::start();
    wait_for_iterations(&scheduler, 2);
    scheduler.pause();
    for task in 1..=40 {
        let mut client = scheduler.connect();
        client.write_all(&start_request(task)).expect("is sent");
        // The last one stays connected.
        if task < 40 {
            Disconnect::Fin.perform(client, task..=task);
        } else {
            scheduler.resume();
            let mut machine_connection = scheduler.accept_machine();
            assert_eq!(next_message(&mut machine_connection), (kind::START, 40, None));
            machine_connection.write_all(&acceptance(40)).expect("is sent");
            assert_eq!(next_message(&mut client), (kind::ACCEPT, 40, None));
        }
    }
    scheduler.kill();
    assert!(backlogged_start_requests(&scheduler.machine).is_empty());
}

#[test]
fn machine_connection_established_after_disconnect_carries_no_request() {
    for disconnect in Disconnect::ALL {
        let machine = listener(5);
        let blocked = BlockedListener::new(&machine);
        let mut scheduler = Scheduler::with_config(|config| {
            let (key, at) = (r#""endpoint":""#, address(&machine));
            let (before, after) = config.split_once(key).expect("a machine");
            let (_, after) = after.split_once('"').expect("its address");
            with_long_timeouts(format!("{before}{key}{at}\"{after}"))
        });
        let mut client = scheduler.connect();
        client.write_all(&start_request(7)).expect("is sent");
        wait_until_handled(&mut client);
        scheduler.pause();
        let still_open = disconnect.perform(client, 7..=7);
        let machine_connection = blocked.open();
        scheduler.resume();
        wait_for_iterations(&scheduler, 4);
        scheduler.kill();
        assert_eq!(start_requests(machine_connection), NONE, "{disconnect:?}");
        assert_eq!(backlogged_start_requests(&machine), NONE, "{disconnect:?}");
        drop(still_open);
    }
}

#[test]
fn rejection_crossing_a_disconnect_is_not_retried() {
    for disconnect in Disconnect::ALL {
        let second = listener(6);
        let mut scheduler =
            Scheduler::with_config(|config| two_machines(with_long_timeouts(config), &second));
        let mut client = scheduler.connect();
        client.write_all(&with_client_timeout(start_request(7), "60000")).expect("is sent");
        let (at, mut machine_connection) = accept_from_any(&[&scheduler.machine, &second]);
        assert_eq!(next_message(&mut machine_connection), (kind::START, 7, None));
        scheduler.pause();
        machine_connection.write_all(&release(7, cause_code::FULL)).expect("is sent");
        let still_open = disconnect.perform(client, 7..=7);
        scheduler.resume();
        wait_for_iterations(&scheduler, 6);
        scheduler.kill();
        assert_eq!(start_requests(machine_connection), NONE, "{disconnect:?}");
        let other = [&second, &scheduler.machine][at];
        assert_eq!(backlogged_start_requests(other), NONE, "{disconnect:?}");
        drop(still_open);
    }
}

#[test]
fn timeout_crossing_a_disconnect_is_not_retried() {
    for disconnect in Disconnect::ALL {
        let second = listener(7);
        let mut scheduler = Scheduler::with_config(|config| two_machines(config, &second));
        let mut client = scheduler.connect();
        client.write_all(&start_request(7)).expect("is sent");
        let (at, mut machine_connection) = accept_from_any(&[&scheduler.machine, &second]);
        assert_eq!(next_message(&mut machine_connection), (kind::START, 7, None));
        scheduler.pause();
        let still_open = disconnect.perform(client, 7..=7);
        // The attempt is cancelled after a tenth of the client timeout, which is two seconds.
        std::thread::sleep(Duration::from_millis(500));
        scheduler.resume();
        wait_for_iterations(&scheduler, 6);
        scheduler.kill();
        assert_eq!(start_requests(machine_connection), NONE, "{disconnect:?}");
        assert_eq!(backlogged_start_requests([&second, &scheduler.machine][at]), NONE, "{disconnect:?}");
        drop(still_open);
    }
}

#[test]
fn disconnect_crossing_an_acceptance_cancels_on_the_machine() {
    let scheduler = Scheduler::start();
    let mut client = scheduler.connect();
    client.write_all(&start_request(7)).expect("is sent");
    let mut machine_connection = scheduler.accept_machine();
    assert_eq!(next_message(&mut machine_connection), (kind::START, 7, None));
    scheduler.pause();
    machine_connection.write_all(&acceptance(7)).expect("is sent");
    client.write_all(&release(7, cause_code::ENDED)).expect("is sent");
    scheduler.resume();
    // Handled in either order, the attempt is cancelled.
    let (of, task, _) = next_message(&mut machine_connection);
    assert_eq!((of, task), (kind::RELEASE, 7));
    wait_until_handled_after_answers(&mut client);
}

/// As `wait_until_handled`; the answer to a start request may arrive before.
fn wait_until_handled_after_answers(client: &mut TcpStream) {
    let write = mulleinhub_platform_protocol::write_with_cause;
    client.write_all(&encoded(|out| write(out, kind::HEALTH_CHECK, 99, 0))).expect("is sent");
    let mut answers = 0;
    loop {
        match next_message(client) {
            (kind::HEALTH_RESULT, 99, Some(1)) => break,
            (kind::ACCEPT, 7, None) => answers += 1,
            other => panic!("{other:?}"),
        }
    }
    assert!(answers <= 1);
}

// Attempts that are decided and not written yet.

#[test]
fn drain_during_connect_sends_task_to_another_machine() {
    let (first, second) = (listener(8), listener(10));
    let blocked = BlockedListener::new(&first);
    let mut scheduler = Scheduler::with_config(|config| {
        let at = config.find(r#""endpoint":""#).expect("a machine") + 12;
        let end = at + config[at..].find('"').expect("its address");
        with_long_timeouts(format!("{}{}{}", &config[..at], address(&first), &config[end..]))
    });
    let mut client = scheduler.connect();
    client.write_all(&with_client_timeout(start_request(7), "60000")).expect("is sent");
    wait_until_handled(&mut client);
    let (mut list_service, _) = scheduler.accept_watch();
    scheduler.pause();
    let entries = [
        list_entry("s-1", address(&first), "terminating", 0),
        list_entry("s-2", address(&second), "in_service", 0),
    ];
    list_service.write_all(&sse_event(2, &entries)).expect("is sent");
    let machine_connection = blocked.open();
    scheduler.resume();
    let mut other = accept_connection(&second);
    assert_eq!(next_message(&mut other), (kind::START, 7, None));
    other.write_all(&acceptance(7)).expect("is sent");
    assert_eq!(next_message(&mut client), (kind::ACCEPT, 7, None));
    scheduler.kill();
    assert_eq!(start_requests(machine_connection), NONE, "the machine drains");
}

#[test]
fn retry_after_its_idempotency_window_is_not_sent() {
    let second = listener(11);
    let blocked = BlockedListener::new(&second);
    let mut scheduler = Scheduler::with_config(with_long_timeouts);
    let mut client = scheduler.connect();
    client.write_all(&with_client_timeout(start_request_of(7, "batch", ""), "60000")).expect("is sent");
    let mut machine_connection = scheduler.accept_machine();
    assert_eq!(next_message(&mut machine_connection), (kind::START, 7, None));
    let since = Instant::now();
    let (mut list_service, _) = scheduler.accept_watch();
    list_service
        .write_all(&sse_event(2, &[list_entry("s-2", address(&second), "in_service", 0)]))
        .expect("is sent");
    // The first attempt may have run.
    drop(machine_connection);
    scheduler.wait_for_log(log_lines::CONNECTION_CLOSED);
    wait_until_handled(&mut client);
    assert!(since.elapsed() < Duration::from_millis(2_500), "too slow a machine for this test");
    scheduler.pause();
    std::thread::sleep(Duration::from_millis(3_200).saturating_sub(since.elapsed()));
    let machine_connection = blocked.open();
    scheduler.resume();
    assert_eq!(next_message(&mut client), (kind::RELEASE, 7, Some(cause_code::ERROR)));
    scheduler.kill();
    assert_eq!(
        start_requests(machine_connection),
        NONE,
        "three seconds after the first attempt it may run twice"
    );
}

// The endpoint list.

#[test]
fn unreadable_list_event_is_requested_again() {
    let second = listener(12);
    let mut scheduler = Scheduler::start();
    let (mut list_service, last) = scheduler.accept_watch();
    assert_eq!(last, 1);
    let two = sse_event(2, &[list_entry("s-1", address(&scheduler.machine), "terminating", 0)]);
    let three = sse_event(3, &[list_entry("s-2", address(&second), "in_service", 0)]);
    let corrupt = String::from_utf8(two.clone()).expect("text").replace("\"targets\":[", "\"targets\":[7,");
    list_service.write_all(&[corrupt.into_bytes(), three.clone()].concat()).expect("is sent");
    let (mut again, last) = scheduler.accept_watch();
    assert_eq!(last, 1, "later events don't count");
    again.write_all(&[two, three].concat()).expect("is sent");
    // The first machine drains: all tasks go to the second.
    let mut client = scheduler.connect();
    scheduler.wait_for_log(log_lines::MACHINE_DRAINING);
    let mut machine_connections = Vec::new();
    for task in 1..=5 {
        client.write_all(&start_request(task)).expect("is sent");
        let mut machine_connection = accept_connection(&second);
        assert_eq!(next_message(&mut machine_connection), (kind::START, task, None));
        machine_connections.push(machine_connection);
    }
    scheduler.kill();
    assert_eq!(backlogged_start_requests(&scheduler.machine), NONE);
}

#[test]
fn permanently_unreadable_list_event_is_skipped_with_backoff() {
    let second = listener(13);
    let scheduler = Scheduler::start();
    let started_at = Instant::now();
    let mut watches = 0;
    let good = sse_event(3, &[list_entry("s-2", address(&second), "in_service", 0)]);
    let both = [b"id: 2\ndata: {\"no\":2,\"roster\":7}\n\n".to_vec(), good].concat();
    while !scheduler.log().contains(log_lines::MACHINE_ACTIVE)
        || !scheduler.log().contains(&address(&second).to_string())
    {
        let (mut list_service, last) = scheduler.accept_watch();
        assert_eq!(last, 1);
        list_service.write_all(&both).expect("is sent");
        // Nothing more is sent on this watch; whether it is closed shows at the next one or in the log.
        watches += 1;
        assert!(started_at.elapsed() < TIMEOUT && watches < 20, "{watches} watches");
        let _ = list_service.set_read_timeout(Some(Duration::from_millis(200)));
        let _ = list_service.read(&mut [0]);
    }
    assert!((2..=8).contains(&watches), "{watches} watches");
}

#[test]
fn gap_in_event_numbers_is_requested_once_and_then_accepted() {
    let second = listener(14);
    let scheduler = Scheduler::start();
    let five = sse_event(5, &[list_entry("s-2", address(&second), "in_service", 0)]);
    for _ in 0..2 {
        let (mut list_service, last) = scheduler.accept_watch();
        assert_eq!(last, 1, "the events between were not received");
        list_service.write_all(&five).expect("is sent");
        if last == 1 && scheduler.log().contains(&address(&second).to_string()) {
            break;
        }
        std::mem::forget(list_service);
    }
    scheduler.wait_for_log(&address(&second).to_string());
}

#[test]
fn list_service_that_closes_at_once_is_called_with_backoff() {
    let scheduler = Scheduler::start();
    let started_at = Instant::now();
    let mut watches = 0;
    while started_at.elapsed() < Duration::from_secs(2) {
        drop(scheduler.accept_watch());
        watches += 1;
    }
    assert!((3..=40).contains(&watches), "{watches} watches in two seconds");
}

#[test]
fn silent_list_watch_is_replaced_in_time() {
    let complete = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: \n\n";
    let list_event = sse_event(2, &[]);
    let half = [&complete[..], &list_event[..list_event.len() / 2]].concat();
    std::thread::scope(|scope| {
        for response in [&b""[..], &complete[..20], &complete[..], &half[..]] {
            scope.spawn(move || {
                let scheduler = Scheduler::start();
                let mut silent = accept_connection(&scheduler.list_service);
                assert_eq!(read_last_event_id(&mut silent), 1);
                silent.write_all(response).expect("is sent");
                let started_at = Instant::now();
                let (_again, last) = scheduler.accept_watch();
                let elapsed = started_at.elapsed();
                assert_eq!(last, 1);
                assert!(elapsed < Duration::from_millis(3_500), "{elapsed:?} after {} bytes", response.len());
            });
        }
    });
}

#[test]
fn list_service_moves_crossing_a_close_end_at_one_address() {
    let scheduler = Scheduler::start();
    let (old, _) = scheduler.accept_watch();
    let moved_service = listener(15);
    // A close and a move in one iteration.
    scheduler.pause();
    std::fs::write(&scheduler.config, config(address(&scheduler.machine), address(&moved_service)))
        .expect("is written");
    drop(old);
    scheduler.signal(Signal::HUP);
    scheduler.resume();
    let mut there = accept_connection(&moved_service);
    assert_eq!(read_last_event_id(&mut there), 1);
    // Back again while that watch is still unanswered.
    std::fs::write(&scheduler.config, config(address(&scheduler.machine), address(&scheduler.list_service)))
        .expect("is written");
    scheduler.signal(Signal::HUP);
    assert_eq!(there.read(&mut [0; 16]).unwrap_or(0), 0, "it is closed");
    // Watches from before the move may still be in the backlog, closed.
    let started_at = Instant::now();
    loop {
        let mut back = accept_connection(&scheduler.list_service);
        assert!(started_at.elapsed() < TIMEOUT);
        let mut watch = [0; 512];
        if back.read(&mut watch).unwrap_or(0) == 0 {
            continue;
        }
        back.set_read_timeout(Some(Duration::from_millis(300))).expect("is set");
        if back.read(&mut watch).is_err() {
            assert!(String::from_utf8_lossy(&watch).contains("Last-Event-ID: 1\r\n"));
            break;
        }
    }
}

// Handovers.

#[test]
fn end_known_before_handover_is_reported_at_handover() {
    let scheduler = Scheduler::start();
    let mut client = scheduler.connect();
    client.write_all(&start_request(7)).expect("is sent");
    let mut machine_connection = scheduler.accept_machine();
    assert_eq!(next_message(&mut machine_connection), (kind::START, 7, None));
    machine_connection.write_all(&acceptance(7)).expect("is sent");
    assert_eq!(next_message(&mut client), (kind::ACCEPT, 7, None));
    // A machine reports the end of a task whose scheduler died on any open connection.
    machine_connection.write_all(&release(99, cause_code::RESET)).expect("is sent");
    assert_eq!(next_message(&mut machine_connection), (kind::RELEASE_ACK, 99, None));
    client.write_all(&start_request_of(99, "front", ";at:s-1")).expect("is sent");
    assert_eq!(next_message(&mut client), (kind::RELEASE, 99, Some(cause_code::RESET)));
    // Once only: handed over again, it is a task like any other.
    wait_until_handled(&mut client);
}

#[test]
fn handed_over_task_is_adopted_once_its_machine_is_listed() {
    let second = listener(16);
    let scheduler = Scheduler::start();
    let (mut list_service, _) = scheduler.accept_watch();
    let mut client = scheduler.connect();
    // Handed over twice on one connection, and once on another.
    let twice = [start_request_of(99, "front", ";at:s-2"), start_request_of(99, "front", ";at:s-2")].concat();
    client.write_all(&twice).expect("is sent");
    let mut another = scheduler.connect();
    another.write_all(&start_request_of(99, "front", ";at:s-2")).expect("is sent");
    wait_until_handled(&mut client);
    wait_until_handled(&mut another);
    list_service
        .write_all(&sse_event(2, &[list_entry("s-2", address(&second), "in_service", 0)]))
        .expect("is sent");
    let mut machine_connection = accept_connection(&second);
    machine_connection.write_all(&release(99, cause_code::ENDED)).expect("is sent");
    assert_eq!(next_message(&mut machine_connection), (kind::RELEASE_ACK, 99, None));
    let message = next_message(&mut client);
    assert_eq!(message, (kind::RELEASE, 99, Some(cause_code::ENDED)));
    wait_until_handled(&mut another);
}

#[test]
fn handed_over_task_on_unknown_machine_fails_in_time() {
    let scheduler = Scheduler::start();
    let mut client = scheduler.connect();
    let started_at = Instant::now();
    client.write_all(&start_request_of(99, "front", ";at:s-none")).expect("is sent");
    assert_eq!(next_message(&mut client), (kind::RELEASE, 99, Some(cause_code::ERROR)));
    assert!(
        started_at.elapsed() < Duration::from_secs(3),
        "an invalid request is answered within three seconds"
    );
}

#[test]
fn many_handovers_before_the_first_list_are_all_adopted() {
    let mut scheduler = Scheduler::start();
    let mut client = scheduler.connect();
    wait_until_handled(&mut client);
    scheduler.pause();
    let all: Vec<u8> = (1..=2_000).flat_map(|task| start_request_of(task, "front", ";at:s-1")).collect();
    client.write_all(&all).expect("is sent");
    scheduler.resume();
    let mut machine_connection = scheduler.accept_machine();
    let ends: Vec<u8> = (1..=2_000).flat_map(|task| release(task, cause_code::ENDED)).collect();
    // Reported either way: an end that arrives before its handover is reported with it.
    machine_connection.write_all(&ends).expect("is sent");
    let mut reported = std::collections::BTreeSet::new();
    while reported.len() < 2_000 {
        let (of, task, cause) = next_message(&mut client);
        assert_eq!((of, cause), (kind::RELEASE, Some(cause_code::ENDED)));
        assert!(reported.insert(task), "task {task} is reported twice");
    }
    wait_until_handled(&mut client);
    scheduler.kill();
    assert_eq!(start_requests(machine_connection), NONE);
}

// Pauses, limits and shutdown.

#[test]
fn partial_message_timeout_closes_only_its_connection() {
    // The only machine drains, so the task waits; the partial message and the task time out in one iteration.
    let scheduler = Scheduler::with_config(|config| config.replacen("in_service", "terminating", 1));
    let mut client = scheduler.connect();
    client.write_all(&[start_request(7), start_request(8)[..30].to_vec()].concat()).expect("is sent");
    let mut other = scheduler.connect();
    wait_until_handled(&mut other);
    scheduler.pause();
    std::thread::sleep(Duration::from_millis(2_200));
    scheduler.resume();
    let (of, task, _) = next_message(&mut client);
    assert_eq!((of, task), (kind::RELEASE, 7));
    wait_until_handled(&mut other);
}

#[test]
fn clients_connected_before_shutdown_get_complete_answers() {
    let mut scheduler = Scheduler::start();
    let machine = scheduler.machine.try_clone().expect("is shared");
    std::thread::spawn(move || accept_all_tasks(machine));
    let mut partial = scheduler.connect();
    let mut pipelined = scheduler.connect();
    wait_until_handled(&mut partial);
    wait_until_handled(&mut pipelined);
    partial.write_all(&start_request(1)[..40]).expect("is sent");
    wait_until_handled(&mut pipelined);
    scheduler.pause();
    // Some are in the backlog, one has sent a partial request, one has many requests unread.
    let mut backlog: Vec<TcpStream> = (100..110)
        .map(|task| {
            let mut client = scheduler.connect();
            client.write_all(&start_request(task)).expect("is sent");
            client
        })
        .collect();
    pipelined.write_all(&(200..220).flat_map(start_request).collect::<Vec<u8>>()).expect("is sent");
    for signal in [Signal::TERM, Signal::HUP, Signal::TERM] {
        scheduler.signal(signal);
    }
    scheduler.resume();
    scheduler.wait_for_log(log_lines::DRAINING_STARTED);
    scheduler.signal(Signal::TERM);
    partial.write_all(&start_request(1)[40..]).expect("is sent");
    for (task, client) in (100..).zip(&mut backlog) {
        assert_eq!(next_message(client), (kind::ACCEPT, task, None));
    }
    let mut answers: Vec<u64> = (200..220)
        .map(|_| {
            let (of, task, _) = next_message(&mut pipelined);
            assert_eq!(of, kind::ACCEPT);
            task
        })
        .collect();
    answers.sort_unstable();
    assert_eq!(answers, (200..220).collect::<Vec<u64>>());
    assert_eq!(next_message(&mut partial), (kind::ACCEPT, 1, None));
    // Each connection is closed, not reset.
    for mut client in backlog.into_iter().chain([pipelined, partial]) {
        assert_eq!(client.read(&mut [0; 16]).expect("an end, no reset"), 0);
    }
    assert_eq!(scheduler.wait_for_exit(), Some(0), "{}", scheduler.log());
}

#[test]
fn slow_reader_gets_its_last_answers_complete() {
    let mut scheduler =
        Scheduler::with_config(|config| config.replace("\"memory_mb\":32", "\"memory_mb\":192"));
    let mut client = scheduler.connect();
    // Each invalid request is answered: more answers than buffers hold, while nothing is read.
    let invalid: Vec<u8> = (1..=2_000).flat_map(|task| start_request_of(task, "nobody", "")).collect();
    client.write_all(&invalid).expect("is sent");
    wait_for_iterations(&scheduler, 100);
    scheduler.signal(Signal::TERM);
    scheduler.wait_for_log(log_lines::DRAINING_STARTED);
    for task in 1..=2_000 {
        assert_eq!(next_message(&mut client), (kind::RELEASE, task, Some(cause_code::ERROR)));
    }
    assert_eq!(client.read(&mut [0; 16]).expect("an end, no reset"), 0);
    assert_eq!(scheduler.wait_for_exit(), Some(0), "{}", scheduler.log());
}
