//! What clients make this process hold, against its memory.

use super::harness::*;
use mulleinhub_platform_protocol::{MAX_MESSAGE_SIZE, cause_code, code, kind};
use mulleinhub_sans_io::{ConnectionId, StateMachine};

/// Bytes of the harness's memory.
const MEMORY: usize = 32 * 1024 * 1024;

/// A start request whose description has so many bytes.
fn described(task: u64, bytes: usize) -> Vec<u8> {
    let figures = format!("cores:1;memory:2;service:{task:016x}");
    let description = vec![b'.'; bytes];
    let params: [(u8, &[u8]); 5] = [
        (code::CLASS, b"front"),
        (code::TIMEOUT, b"2000"),
        (code::NAME, b"00000000000000cd"),
        (code::RESOURCES, figures.as_bytes()),
        (code::DESCRIPTION, &description),
    ];
    encode(kind::START, task, &params)
}

/// Guards against a process that grew beyond its memory with the long requests that waited for their answers (picture a).
#[test]
fn long_requests_that_wait_take_their_part_of_the_memory() {
    let drains = [endpoint(1, "terminating", 0)];
    let mut harness = Harness::with_endpoints(START, &drains, |config_json| config_json);
    let client = harness.connect_client();
    let length = 15_000;
    for task in 1..=900 {
        harness.deliver(client, &described(task, length));
    }
    let held = harness.scheduler.state.get_mut().tasks.unanswered;
    assert!(held * length * 2 <= MEMORY / 4, "{held} long requests are held");
    let refused = harness.received_on(client);
    assert_eq!(refused.len() + held, 900);
    assert!(refused.iter().all(|message| message.cause() == Some(cause_code::BUSY)));
    // Those of others have their place.
    let other = harness.connect_client();
    harness.deliver(other, &described(2_000, 200));
    assert!(harness.received_on(other).is_empty(), "it waits for a machine");
    // And the long ones' places are free again once they are answered.
    harness.advance(ms(3_000));
    harness.received_on(client);
    harness.deliver(client, &described(3_000, length));
    assert!(harness.received_on(client).is_empty(), "it waits for a machine");
}

/// Guards against a process that grew beyond its memory with the answers to clients that read none (picture a).
#[test]
fn client_that_reads_nothing_is_answered_no_further() {
    let mut harness = Harness::new(1);
    let client = harness.connect_client();
    harness.blocked.insert(client);
    let invalid: Vec<u8> = (1..=4_000).flat_map(|task| encode(kind::START, task, &[])).collect();
    harness.deliver(client, &invalid);
    harness.advance(ms(500));
    let waiting = harness.scheduler.connections().pending_bytes(client);
    assert!(waiting < 2 * MAX_MESSAGE_SIZE, "{waiting} bytes wait for it");
    assert!(harness.scheduler.connections().is_reading_paused(client));
    // It reads: all is answered.
    harness.unblock(client);
    let mut answers = 0;
    for _ in 0..400 {
        harness.advance(ms(5));
        answers += harness.received_on(client).len();
    }
    assert_eq!(answers, 4_000);
    assert!(!harness.scheduler.connections().is_reading_paused(client));
    // Another reads nothing for good.
    let silent = harness.connect_client();
    harness.blocked.insert(silent);
    harness.deliver(silent, &invalid);
    harness.advance(ms(3_500));
    assert!(!harness.scheduler.state.get_mut().clients.is_open(silent), "it is closed");
}

/// Guards against a client that was closed as one that does not read, though it had no chance to: many long answers came
/// for it at once after a pause of this process (review play stall-with-answers).
#[test]
fn many_long_answers_at_once_close_no_client() {
    let mut harness = Harness::new(30);
    let client = harness.connect_client();
    let requests: Vec<u8> = (1..=24).flat_map(|task| start_request(task, "front", "")).collect();
    harness.deliver(client, &requests);
    let sent = harness.start_requests();
    assert_eq!(sent.len(), 24);
    for (connection, message) in &sent {
        let answer = encode(kind::ACCEPT, message.task, &[(code::DESCRIPTION, &[b'.'; 12_000])]);
        harness.scheduler.on_data(harness.now, *connection, &answer);
    }
    harness.run_until_idle();
    harness.advance(ms(200));
    assert_eq!(harness.received_on(client).len(), 24);
    assert!(harness.scheduler.state.get_mut().clients.is_open(client));
}

/// Guards against a process that grew beyond its memory with input that it could not handle at once (picture a).
#[test]
fn input_that_waits_takes_its_part_of_the_memory() {
    let mut harness = Harness::new(1);
    let greeted_client = |harness: &mut Harness| {
        let client = harness.connect_client();
        harness.deliver(client, &encode(kind::HEALTH_CHECK, 1, &[(code::CAUSE, &[0])]));
        client
    };
    let clients: Vec<ConnectionId> = (0..85).map(|_| greeted_client(&mut harness)).collect();
    let read = 64 * 1024;
    let request = encode(kind::NOTE, 1, &[]);
    let input: Vec<u8> = request.iter().copied().cycle().take(read / request.len() * request.len()).collect();
    let mut unhandled = 0;
    for client in clients.iter().cycle().take(1_000) {
        if harness.scheduler.connections().is_reading_paused(*client) {
            continue;
        }
        let limit = harness.scheduler.read_limit(*client).clamp(1, input.len());
        harness.scheduler.on_data(harness.now, *client, &input[..limit]);
        unhandled += limit;
    }
    assert!(unhandled <= MEMORY / 8 + read + clients.len() * MAX_MESSAGE_SIZE, "{unhandled} bytes");
    harness.run_until_idle_within(20_000);
    for client in &clients {
        assert!(!harness.scheduler.connections().is_reading_paused(*client), "it is read from again");
    }
}
