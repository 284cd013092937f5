//! Peers that don't read, drains, and more tasks than are admitted.

use crate::harness::*;
use mulleinhub_protocol::{Message, Mode};
use mulleinhub_sans_io::StateMachine;

#[test]
fn unsent_offer_is_retracted_at_timeout_and_retried_elsewhere() {
    let mut harness = Harness::with_machines(2);
    let client = harness.connect_client("client");
    let connections = [harness.connection_to("m1"), harness.connection_to("m2")];
    harness.blocked.extend(connections);
    harness.submit(client, 1, NON_IDEMPOTENT);
    let first = connections
        .into_iter()
        .position(|connection| harness.engine.connections().pending_bytes(connection) > 0)
        .expect("is offered");
    harness.blocked.retain(|connection| *connection == connections[first]);
    let output = harness.advance(6_050);
    assert!(
        offered(&output, 1).is_some_and(|(machine, send)| machine != first as u64 + 1 && send == 1),
        "{output:?}"
    );
    let mut left = Vec::new();
    harness.read(connections[first], usize::MAX, &mut left);
    assert_eq!(left, [], "nothing of it is left to write");
}

#[test]
fn peer_that_does_not_read_is_closed_alone() {
    let mut harness = Harness::with_machines(2);
    let (blocked, other) = (harness.connect_client("deaf"), harness.connect_client("fine"));
    harness.blocked.push(blocked);
    for task in 0..20_000 {
        harness.deliver(blocked, &[Message::Learn { task }]);
    }
    for _ in 0..200 {
        harness.poll();
    }
    assert!(harness.closed.contains(&blocked));
    assert!(has_message(&harness.submit(other, 70_000, IDEMPOTENT), "fine", "taken 70000"));
}

#[test]
fn unsent_offer_is_retracted_when_machine_drains() {
    let mut harness = Harness::with_machines(2);
    let client = harness.connect_client("client");
    let connections = [harness.connection_to("m1"), harness.connection_to("m2")];
    harness.blocked.extend(connections);
    harness.submit(client, 1, NON_IDEMPOTENT);
    let first = connections
        .into_iter()
        .position(|connection| harness.engine.connections().pending_bytes(connection) > 0)
        .expect("is offered");
    harness.blocked.retain(|connection| *connection == connections[first]);
    let output = harness.send_list(&[(first as u64 + 1, Mode::Leaving)]);
    assert!(offered(&output, 1).is_some_and(|(machine, _)| machine != first as u64 + 1), "{output:?}");
    assert_eq!(harness.engine.connections().pending_bytes(connections[first]), 0);
}

#[test]
fn tasks_over_limit_or_during_shutdown_are_rejected() {
    let mut harness = Harness::new(settings(), 1, None);
    harness.poll();
    harness.accept_connection("list");
    harness.send_list(&[]);
    let client = harness.connect_client("client");
    for task in 0..100 {
        assert!(has_message(&harness.submit(client, task, IDEMPOTENT), "client", "taken"));
    }
    assert!(has_message(&harness.submit(client, 100, IDEMPOTENT), "client", "nacked 100"));
    harness.engine.begin_shutdown();
    assert!(!harness.engine.is_idle());
    for _ in 0..100 {
        harness.advance(100);
    }
    assert!(harness.engine.is_idle(), "all in hand have had their answer");
    assert!(has_message(&harness.submit(client, 101, IDEMPOTENT), "client", "nacked 101"));
}
