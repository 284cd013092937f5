//! Messages that arrive in pieces: a part of a message is slow only when that message itself takes too long.

use crate::harness::limited;
use crate::harness::*;
use mulleinhub_interface::Duration;
use mulleinhub_protocol::{self as protocol, Message};
use mulleinhub_sans_io::{ConnectionId, StateMachine};

fn bytes_of(messages: &[Message<'_>]) -> Vec<u8> {
    let mut bytes = Vec::new();
    messages.iter().for_each(|message| protocol::encode(message, &mut bytes));
    bytes
}

fn receive(harness: &mut Harness, connection: ConnectionId, bytes: &[u8]) -> Vec<Written> {
    harness.engine.on_data(harness.now, connection, bytes);
    harness.poll()
}

/// The greeting of a new connection, cut in the middle.
fn greeting(harness: &Harness, name: &str) -> (Vec<u8>, Vec<u8>) {
    let mut first = bytes_of(&[hello(name, harness.now)]);
    let rest = first.split_off(first.len() / 2);
    (first, rest)
}

#[test]
fn misaligned_pieces_are_no_slow_message() {
    let mut harness = limited(|clients| clients.frame_timeout = Duration::from_secs(2));
    let client = harness.connect_client("pieces");
    let one = bytes_of(&[Message::Learn { task: u64::MAX }]);
    let all = one.repeat(40);
    let mut answers = receive(&mut harness, client, &all[..one.len() / 2]).len();
    for piece in all[one.len() / 2..].chunks(one.len()) {
        harness.run_for(200);
        answers += receive(&mut harness, client, piece).len();
    }
    assert!(
        !harness.closed.contains(&client),
        "a part of a message was here for eight seconds, never of the same"
    );
    assert_eq!(answers, 40);
}

#[test]
fn backlog_before_partial_message_is_no_slow_message() {
    let mut harness = limited(|clients| clients.frame_timeout = Duration::from_secs(2));
    let client = harness.connect_client("many");
    let one = bytes_of(&[Message::Learn { task: u64::MAX }]);
    let piece = [&one[one.len() / 2..], &one.repeat(100), &one[..one.len() / 2]].concat();
    receive(&mut harness, client, &one[..one.len() / 2]);
    for _ in 0..20 {
        harness.now = harness.now + Duration::from_nanos(200_000_000);
        receive(&mut harness, client, &piece);
    }
    assert!(!harness.closed.contains(&client));
}

#[test]
fn partial_greetings_keep_their_slots_below_limit() {
    const PLACES: usize = 40;
    let mut harness = limited(|clients| (clients.max_connections, clients.max_unidentified) = (PLACES, 5));
    let mut waiting = Vec::new();
    for n in 0..PLACES {
        let name = format!("new-{n}");
        let connection = harness.open_client(&name);
        let (first, rest) = greeting(&harness, &name);
        receive(&mut harness, connection, &first);
        waiting.push((name, connection, rest));
    }
    harness.run_for(200);
    let welcomed = waiting.iter().filter(|(name, connection, rest)| {
        let output = receive(&mut harness, *connection, rest);
        has_message(&output, name, "Welcome")
    });
    assert_eq!(welcomed.count(), PLACES);
}

#[test]
fn unhandled_greetings_keep_their_slots_below_limit() {
    const PLACES: usize = 40;
    let change = |clients: &mut mulleinhub_limits::Settings| {
        (clients.max_connections, clients.max_unidentified, clients.max_queued_per_iteration) =
            (PLACES, 5, 2);
    };
    let mut harness = limited(change);
    for n in 0..PLACES {
        let name = format!("new-{n}");
        let connection = harness.open_client(&name);
        harness.deliver(connection, &[hello(&name, harness.now)]);
    }
    harness.run_for(1_000);
    assert_eq!(harness.closed, []);
}

#[test]
fn partial_greetings_yield_to_greeted_clients_at_limit() {
    let mut harness = limited(|clients| (clients.max_connections, clients.max_unidentified) = (20, 5));
    let greeted: Vec<ConnectionId> =
        (0..10).map(|n| harness.connect_client(&format!("greeted-{n}"))).collect();
    for n in 0..100 {
        let name = format!("half-{n}");
        let connection = harness.open_client(&name);
        let (first, _) = greeting(&harness, &name);
        receive(&mut harness, connection, &first);
        harness.run_for(10);
    }
    assert_eq!(harness.closed.len(), 90, "of those that never ended their greeting, ten find a place");
    assert!(greeted.iter().all(|connection| !harness.closed.contains(connection)));
    let late = harness.connect_client("late");
    assert!(!harness.closed.contains(&late));
}

#[test]
fn late_greeting_in_pieces_has_its_own_timeout() {
    let mut harness = limited(|_| ());
    let late = harness.open_client("late");
    let (first, rest) = greeting(&harness, "late");
    harness.run_for(4_500);
    receive(&mut harness, late, &first);
    harness.run_for(1_500);
    assert!(has_message(&receive(&mut harness, late, &rest), "late", "Welcome"));
}

#[test]
fn incomplete_greeting_times_out() {
    let mut harness = limited(|_| ());
    let slow = harness.open_client("slow");
    let (first, _) = greeting(&harness, "slow");
    harness.run_for(4_500);
    for byte in first.iter().take(9) {
        receive(&mut harness, slow, &[*byte]);
        harness.run_for(1_000);
    }
    assert!(!harness.closed.contains(&slow));
    harness.run_for(1_200);
    assert!(harness.closed.contains(&slow), "it has had ten seconds and a tick of the wheel");
}
