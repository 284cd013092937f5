//! Endpoint lists at the size of a large fleet, and lists that can't be read.

use crate::harness::*;
use mulleinhub_interface::Duration;
use mulleinhub_protocol::{self as protocol, Entry, ListKind, Message, Mode, WholeList};
use mulleinhub_sans_io::{CloseReason, ConnectionId, StateMachine};

const FLEET: u64 = 10_000;

fn entry(machine: u64, address: &str) -> Entry<'_> {
    Entry {
        machine,
        address,
        kind: 0,
        cell: machine as u32 / 10,
        zone: 0,
        mode: Mode::Active,
        life: 100 + machine,
        up_for: None,
        cores_left: Some(16.0),
        memory_left: Some(32.0),
    }
}

/// The frames of a list of machines 1 to n.
fn list_frames(kind: ListKind, version: u64, machines: u64) -> Vec<u8> {
    let addresses: Vec<String> = (1..=machines).map(|machine| format!("m{machine}")).collect();
    let entries: Vec<Entry<'_>> = (1..).zip(&addresses).map(|(id, address)| entry(id, address)).collect();
    let mut frames = Vec::new();
    protocol::encode_list(kind, version, &entries, &mut frames);
    frames
}

/// A piece of a list, with one machine.
fn piece(version: u64, number: u32, machine: u64, last: bool) -> Message<'static> {
    let entries = vec![entry(machine, "m1")];
    Message::ListPiece { kind: ListKind::Whole, version, number, last, entries }
}

/// A scheduler that has asked the list service for the list.
fn watching_list(saved: Option<Vec<u8>>) -> (Harness, ConnectionId) {
    let mut harness = Harness::new(settings(), 1, saved);
    harness.poll();
    harness.accept_connection("list");
    let connection = harness.connection_to("list");
    (harness, connection)
}

/// Bytes arrive on a connection, in parts as a network may cut them.
fn receive_in_parts(harness: &mut Harness, connection: ConnectionId, bytes: &[u8]) -> Vec<Written> {
    let mut output = Vec::new();
    for part in bytes.chunks(50_000) {
        harness.engine.on_data(harness.now, connection, part);
        output.extend(harness.poll());
    }
    output
}

/// A client submits a task, and the machine that it is offered to accepts it.
fn place_task(harness: &mut Harness, task: u64) -> Vec<Written> {
    let client = harness.connect_client("client");
    let output = harness.submit(client, task, IDEMPOTENT);
    let (machine, send) = offered(&output, task).expect("there is capacity");
    harness.send_from_machine(machine, Message::Accepted { task, send })
}

/// The list that the scheduler persists.
fn persisted(harness: &mut Harness) -> WholeList {
    protocol::decode_list(&harness.engine.state_to_persist().expect("the list changed")).expect("is a list")
}

#[test]
fn list_of_ten_thousand_machines_is_read_cached_and_used() {
    let (mut harness, connection) = watching_list(None);
    receive_in_parts(&mut harness, connection, &list_frames(ListKind::Whole, 5, FLEET));
    assert_eq!(harness.engine.counts().machines, FLEET as usize);
    for id in 1..=FLEET {
        harness.connect_machine(id, 100 + id, Vec::new());
    }
    assert_eq!((harness.engine.not_ready(), harness.engine.counts().machines_ready), (None, FLEET as usize));
    let output = place_task(&mut harness, 1);
    assert!(has_message(&output, "client", "placed 1"), "{output:?}");
    let cached = harness.engine.state_to_persist().expect("the list changed");
    let whole = protocol::decode_list(&cached).expect("is a list");
    assert_eq!((whole.version, whole.entries().len()), (5, FLEET as usize));

    // The next incarnation starts with it, though the list service is unreachable.
    let mut next = Harness::new(settings(), 2, Some(cached));
    next.poll();
    assert_eq!(next.engine.counts().machines, FLEET as usize);
    for id in 1..=FLEET {
        next.connect_machine(id, 100 + id, Vec::new());
    }
    let output = place_task(&mut next, 1);
    assert!(has_message(&output, "client", "placed 1"), "{output:?}");
}

#[test]
fn status_of_ten_thousand_machines_fits_into_a_frame() {
    let (mut harness, connection) = watching_list(None);
    receive_in_parts(&mut harness, connection, &list_frames(ListKind::Whole, 5, FLEET));
    harness.advance(1_000);
    let client = harness.connect_client("status");
    let output = harness.send(client, &[Message::StatusAsk {}]);
    assert!(has_message(&output, "status", "Status"), "{output:?}");
    let status = harness.engine.status();
    assert!(status.contains("machines 0 of 10000 ready, list version 5\nready\n"), "{status}");
    assert!(status.contains("\nmachine 1 coming Active") && status.ends_with(" lines more"), "{status}");
}

#[test]
fn delta_list_arrives_in_pieces() {
    let (mut harness, connection) = watching_list(None);
    receive_in_parts(&mut harness, connection, &list_frames(ListKind::Whole, 5, FLEET));
    receive_in_parts(&mut harness, connection, &list_frames(ListKind::Changes, 6, FLEET / 2));
    assert_eq!(harness.engine.counts().machines, FLEET as usize, "who is not named stays");
    assert_eq!(persisted(&mut harness).version, 6);
}

#[test]
fn partial_list_changes_nothing_and_is_shown() {
    let (mut harness, connection) = watching_list(None);
    let list = list_frames(ListKind::Whole, 5, FLEET);
    receive_in_parts(&mut harness, connection, &list[..list.len() - 1]);
    assert_eq!((harness.engine.counts().machines, harness.engine.state_to_persist()), (0, None));
    let fault = harness.engine.not_ready().expect("no list is complete").to_string();
    assert!(fault.ends_with("pieces of list version 5 came"), "{fault}");
    assert!(harness.engine.status().contains(&format!("not ready: {fault}")));
    receive_in_parts(&mut harness, connection, &list[list.len() - 1..]);
    assert_eq!(harness.engine.counts().machines, FLEET as usize);
}

#[test]
fn pieces_are_dropped_with_their_connection() {
    let (mut harness, connection) = watching_list(None);
    let list = list_frames(ListKind::Whole, 5, FLEET);
    receive_in_parts(&mut harness, connection, &list[..list.len() / 2]);
    harness.close(connection, CloseReason::Broken);
    harness.run_for(2_000);
    harness.accept_connection("list");
    let connection = harness.connection_to("list");
    receive_in_parts(&mut harness, connection, &list_frames(ListKind::Whole, 5, 2_500));
    assert_eq!(harness.engine.counts().machines, 2_500);
}

#[test]
fn newer_list_replaces_partial_one() {
    let (mut harness, connection) = watching_list(None);
    let list = list_frames(ListKind::Whole, 5, FLEET);
    receive_in_parts(&mut harness, connection, &list[..list.len() / 2]);
    // What is left of a frame comes first.
    let mut frames = protocol::Frames::default();
    frames.take(&list[..list.len() / 2]);
    while frames.next_frame().expect("are frames").is_some() {}
    let whole_frame = u32::from_be_bytes(*frames.rest().first_chunk().expect("a length")) as usize + 4;
    let cut = list.len() / 2 + whole_frame - frames.kept();
    receive_in_parts(&mut harness, connection, &list[list.len() / 2..cut]);
    assert_eq!(harness.engine.counts().machines, 0);
    receive_in_parts(&mut harness, connection, &list_frames(ListKind::Whole, 6, 3_000));
    assert_eq!(harness.engine.counts().machines, 3_000);
    assert_eq!(persisted(&mut harness).version, 6);
}

#[test]
fn unreadable_list_is_reported_and_tasks_are_rejected() {
    let (mut harness, connection) = watching_list(None);
    let client = harness.connect_client("client");
    harness.run_for(1_000);
    let output = harness.send(connection, &[piece(5, 1, 1, false)]);
    let fault = "piece 1 of list version 5 without those before it";
    assert!(has_message(&output, "list", &format!("bye {fault}")), "{output:?}");
    assert!(harness.closed.contains(&connection), "this connection alone");
    let reason = harness.engine.not_ready().expect("no list").to_string();
    assert_eq!(reason, format!("the list can't be read: {fault}; no list is known"));
    assert!(harness.engine.status().contains(&reason) && harness.engine.counts().protocol_errors == 1);
    let output = harness.submit(client, 1, IDEMPOTENT);
    assert_eq!(output, [written("client", "nacked 1")], "not at its deadline");

    // The list service is asked again, and its next list is used.
    harness.run_for(5_000);
    harness.accept_connection("list");
    let connection = harness.connection_to("list");
    receive_in_parts(&mut harness, connection, &list_frames(ListKind::Whole, 6, 1));
    harness.run_for(1_000);
    harness.connect_machine(1, 101, Vec::new());
    assert_eq!(harness.engine.not_ready(), None);
    assert!(has_message(&place_task(&mut harness, 2), "client", "placed 2"));
}

#[test]
fn overlong_list_message_is_reported() {
    let (mut harness, connection) = watching_list(None);
    let entries: Vec<Entry<'_>> = (1..=2_500).map(|id| entry(id, "m")).collect();
    let output = harness.send(connection, &[Message::List { kind: ListKind::Whole, version: 1, entries }]);
    let fault = "2500 machines in one message, 2000 at most";
    assert!(has_message(&output, "list", &format!("bye {fault}")), "{output:?}");
    assert!(harness.engine.not_ready().is_some_and(|reason| reason.to_string().contains(fault)));
}

#[test]
fn older_list_stays_in_use_while_newer_is_unreadable() {
    let (mut harness, connection) = watching_list(Some(list_frames(ListKind::Whole, 4, 2)));
    for id in [1, 2] {
        harness.connect_machine(id, 100 + id, Vec::new());
    }
    assert_eq!(harness.engine.not_ready(), None);
    harness.send(connection, &[piece(5, 0, 1, false), piece(5, 2, 2, true)]);
    let reason = harness.engine.not_ready().expect("the newer list can't be read").to_string();
    assert!(
        reason.ends_with("piece 2 of list version 5 where 1 comes next; the last one, version 4, is used")
    );
    assert_eq!(harness.engine.counts().machines, 2);
    assert!(has_message(&place_task(&mut harness, 1), "client", "placed 1"));
}

#[test]
fn refusal_by_list_service_is_reported_and_retried() {
    let (mut harness, connection) = watching_list(None);
    let client = harness.connect_client("client");
    harness.run_for(1_000);
    harness.send(connection, &[Message::Bye { words: "the list has 2500 machines" }]);
    harness.close(connection, CloseReason::Closed);
    let reason = harness.engine.not_ready().expect("no list").to_string();
    assert_eq!(reason, "the list service refuses: the list has 2500 machines; no list is known");
    assert!(has_message(&harness.submit(client, 1, IDEMPOTENT), "client", "nacked 1"));
    let before = harness.opened.len();
    harness.run_for(5_000);
    assert!(harness.opened[before..].iter().any(|(_, to)| to == "list"));
}

#[test]
fn endless_list_restarts_are_refused() {
    let (mut harness, connection) = watching_list(None);
    let mut refused = Vec::new();
    for version in 1..100 {
        refused.extend(harness.send(connection, &[piece(version, 0, 1, false)]));
    }
    assert!(
        has_message(&refused, "list", "bye the list changed 9 times before it was told whole"),
        "{refused:?}"
    );
    assert!(harness.closed.contains(&connection));
    assert_eq!(harness.engine.counts().machines, 0);
    harness.now = harness.now + Duration::from_secs(1);
    assert!(harness.engine.not_ready().is_some());
}

#[test]
fn restart_adopts_39000_tasks_on_ten_thousand_machines() {
    const RUNNING: u64 = 39_000;
    let (mut harness, connection) = watching_list(None);
    receive_in_parts(&mut harness, connection, &list_frames(ListKind::Whole, 5, FLEET));
    for id in 1..=FLEET {
        let tasks = (0..RUNNING).filter(|task| task % FLEET + 1 == id).map(|task| {
            let shape = shape(task, IDEMPOTENT);
            protocol::Held { task, send: 0, shape, owner: "client", ended: None, runs: true }
        });
        harness.connect_machine(id, 100 + id, tasks.collect());
    }
    let counts = harness.engine.counts();
    assert_eq!((counts.running, counts.machines_ready), (RUNNING as usize, FLEET as usize));
    assert!(has_message(&place_task(&mut harness, RUNNING), "client", &format!("placed {RUNNING}")));
    assert!(harness.engine.status().contains("in hand pending 0 sent 0 placed 39001"));
}
