//! Peers that break the protocol, and extreme values.

use crate::harness::*;
use mulleinhub_interface::Timestamp;
use mulleinhub_protocol::{Conversation, Message};
use mulleinhub_sans_io::StateMachine;

#[test]
fn invalid_frame_closes_its_connection_alone_with_reason() {
    let mut harness = Harness::with_machines(2);
    let other = harness.connect_client("fine");
    harness.submit(other, 1, IDEMPOTENT);
    let old = Message::Hello {
        conversation: Conversation::ClientPlanner,
        version: 0,
        least_version: 0,
        features: 0,
        name: "old",
        life: 1,
        clock: 0,
    };
    let machine = Message::Hello {
        conversation: Conversation::PlannerMachine,
        version: 1,
        least_version: 1,
        features: 0,
        name: "wrong",
        life: 1,
        clock: 0,
    };
    for (first, reason) in [
        (old, "bye versions 0 to 0 are spoken"),
        (machine, "bye a hello for PlannerMachine"),
        (submission(5, 0, harness.now), "bye a message before the greeting"),
        (
            Message::Offer { task: 1, send: 0, shape: shape(1, 0), time_out: 1, owner: "x" },
            "bye not a message",
        ),
    ] {
        let connection = harness.open_client("bad");
        let output = harness.send(connection, &[first]);
        assert!(has_message(&output, "bad", reason), "{reason}: {output:?}");
        assert!(harness.closed.contains(&connection));
    }
    for (bytes, reason) in [
        (&[0xff, 0xff, 0xff, 0xff, 1][..], "bye byte 0: a frame of 4294967295 bytes"),
        (&[0, 0, 0, 0][..], "bye byte 0: a frame of 0 bytes"),
        (&[0, 0, 0, 2, 0xff, 0xff][..], "bye byte"),
    ] {
        let connection = harness.open_client("bad");
        harness.engine.on_data(harness.now, connection, bytes);
        let output = harness.poll();
        assert!(has_message(&output, "bad", reason), "{reason}: {output:?}");
    }
    let wrong_case = harness.connect_client("bad");
    assert!(has_message(&harness.submit(wrong_case, 8, 9), "bad", "bye use case 9 of 3"));
    assert_eq!(harness.engine.counts().protocol_errors, 8);
    assert!(has_message(&harness.submit(other, 2, IDEMPOTENT), "fine", "taken 2"), "the others are unharmed");
}

#[test]
fn machine_that_breaks_protocol_is_reconnected() {
    let (mut harness, _, machine) = with_offer(NON_IDEMPOTENT);
    let before = harness.opened.len();
    harness.send_from_machine(machine, Message::Taken { task: 1 });
    assert!(harness.opened.len() > before, "it is tried again");
    let output = harness.connect_machine(machine, 100 + machine, vec![]);
    assert!(offered(&output, 1).is_some(), "{output:?}");
}

#[test]
fn extreme_ids_and_times_are_harmless() {
    let mut harness = Harness::with_machines(2);
    let client = harness.connect_client("client");
    let largest =
        Message::Ask { task: u64::MAX, shape: shape(u64::MAX, 0), patience: u64::MAX, clock: u64::MAX };
    let output = harness.send(client, &[largest]);
    assert!(has_message(&output, "client", &format!("taken {}", u64::MAX)), "{output:?}");
    let none = Message::Ask { task: 0, shape: shape(0, 0), patience: 0, clock: 0 };
    assert!(has_message(&harness.send(client, &[none]), "client", "nacked 0"));
    harness.now = Timestamp::from_nanos(u64::MAX);
    harness.poll();
}
