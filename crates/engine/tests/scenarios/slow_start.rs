//! Machines that warm up after a restart.

use crate::harness::*;
use mulleinhub_sans_io::{CloseReason, StateMachine};

#[test]
fn offers_wait_while_connection_to_cold_machine_stalls() {
    let mut harness = Harness::with_machines(1);
    let connection = harness.connection_to("m1");
    harness.close(connection, CloseReason::Broken);
    harness.connect_machine(1, 999, vec![]);
    harness.advance(12_000 - 3_000);
    let client = harness.connect_client("client");
    let mut output = harness.submit(client, 1, IDEMPOTENT);
    for _ in 0..40 {
        output.extend(harness.advance(50));
    }
    assert!(offered(&output, 1).is_some(), "{output:?}");
    let output = harness.submit(client, 2, IDEMPOTENT);
    assert!(offered(&output, 2).is_none(), "the first has been out for half a window: {output:?}");
}

#[test]
fn machine_with_new_incarnation_is_cold_before_list_update() {
    let mut harness = Harness::with_machines(1);
    let client = harness.connect_client("client");
    harness.close(harness.connection_to("m1"), CloseReason::Broken);
    for task in 1..=12 {
        harness.submit(client, task, IDEMPOTENT);
    }
    let mut output = harness.connect_machine(1, 999, vec![]);
    for task in 13..=24 {
        output.extend(harness.submit(client, task, IDEMPOTENT));
    }
    output.extend(harness.advance(100));
    assert!(offers(&output) <= 9, "it bears nine in its window, and has {}", offers(&output));
}

#[test]
fn machine_restarted_during_downtime_is_cold_at_first_handshake() {
    let mut harness = Harness::with_machines(1);
    let cached = harness.engine.state_to_persist().expect("the list changed");
    let mut harness = Harness::new(settings(), 2, Some(cached));
    harness.poll();
    harness.connect_machine(1, 999, vec![]);
    let client = harness.connect_client("client");
    let mut output = Vec::new();
    for task in 1..=24 {
        output.extend(harness.submit(client, task, IDEMPOTENT));
    }
    output.extend(harness.advance(100));
    assert!(offers(&output) <= 9, "it bears nine in its window, and has {}", offers(&output));
}

#[test]
fn waiting_offers_do_not_reach_cold_machine_together() {
    let mut harness = without_cancellation(1);
    let client = harness.connect_client("client");
    harness.close(harness.connection_to("m1"), CloseReason::Broken);
    harness.connect_machine(1, 999, vec![]);
    harness.close(harness.connection_to("m1"), CloseReason::Broken);
    for task in 1..=12 {
        harness.submit(client, task, IDEMPOTENT);
    }
    harness.run_for(1_700);
    for task in 13..=24 {
        harness.submit(client, task, IDEMPOTENT);
    }
    let mut output = harness.connect_machine(1, 999, vec![]);
    output.extend(harness.advance(100));
    assert!(offers(&output) <= 9, "it bears nine in its window, and has {}", offers(&output));
}
