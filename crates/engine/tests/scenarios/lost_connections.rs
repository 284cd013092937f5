//! What a restarted connection proves about the attempts that it carried.

use crate::harness::*;
use mulleinhub_protocol::{Ending, Message, Reason};
use mulleinhub_sans_io::{CloseReason, StateMachine};

#[test]
fn accepted_task_is_offered_placed_and_ended() {
    let (mut harness, _, machine) = with_offer(IDEMPOTENT);
    let output = harness.send_from_machine(machine, Message::Accepted { task: 1, send: 0 });
    assert_eq!(output, [written("client", format!("placed 1 on {machine}"))]);
    let done = Message::Closed { task: 1, send: 0, ending: Ending::Done, reason: Reason::Untold };
    let output = harness.send_from_machine(machine, done);
    assert!(
        has_message(&output, "client", "ended 1 Done")
            && has_message(&output, &format!("m{machine}"), "heard 1.0")
    );
}

#[test]
fn unsent_offer_is_retried_elsewhere_even_if_not_idempotent() {
    let mut harness = Harness::with_machines(4);
    let client = harness.connect_client("client");
    let connections: Vec<_> = (1..=4).map(|id| harness.connection_to(&format!("m{id}"))).collect();
    harness.blocked.clone_from(&connections);
    harness.submit(client, 1, NON_IDEMPOTENT);
    let stalled = connections
        .into_iter()
        .find(|connection| harness.engine.connections().pending_bytes(*connection) > 0)
        .expect("is offered");
    harness.blocked.clear();
    let output = harness.close(stalled, CloseReason::Broken);
    assert!(offered(&output, 1).is_some_and(|(_, send)| send == 1), "{output:?}");
}

#[test]
fn partly_sent_offer_may_have_run() {
    let mut harness = Harness::with_machines(4);
    let client = harness.connect_client("client");
    let connections: Vec<_> = (1..=4).map(|id| harness.connection_to(&format!("m{id}"))).collect();
    harness.blocked.clone_from(&connections);
    harness.submit(client, 1, NON_IDEMPOTENT);
    let stalled = connections
        .into_iter()
        .find(|connection| harness.engine.connections().pending_bytes(*connection) > 0)
        .expect("is offered");
    harness.read(stalled, 5, &mut Vec::new());
    harness.blocked.clear();
    let address = harness.names[&stalled].clone();
    harness.close(stalled, CloseReason::Broken);
    let reconnected = harness.connection_to(&address);
    let output = harness.close(reconnected, CloseReason::Refused);
    assert!(has_message(&output, "client", "errored 1") && offered(&output, 1).is_none(), "{output:?}");
}

#[test]
fn offer_missing_from_same_incarnation_never_ran() {
    let (mut harness, _, machine) = with_offer(NON_IDEMPOTENT);
    let connection = harness.connection_to(&format!("m{machine}"));
    let output = harness.close(connection, CloseReason::Broken);
    assert!(offered(&output, 1).is_none(), "nothing is known yet");
    let output = harness.connect_machine(machine, 100 + machine, vec![]);
    assert!(offered(&output, 1).is_some_and(|(_, send)| send == 1), "{output:?}");
}

#[test]
fn offer_in_inventory_of_same_incarnation_is_accepted() {
    let (mut harness, _, machine) = with_offer(NON_IDEMPOTENT);
    let connection = harness.connection_to(&format!("m{machine}"));
    harness.close(connection, CloseReason::Broken);
    let output = harness.connect_machine(machine, 100 + machine, vec![running_task(1, NON_IDEMPOTENT)]);
    assert!(has_message(&output, "client", &format!("placed 1 on {machine}")), "{output:?}");
}

#[test]
fn restarted_machine_proves_nothing_about_earlier_offers() {
    let (mut harness, _, machine) = with_offer(NON_IDEMPOTENT);
    let connection = harness.connection_to(&format!("m{machine}"));
    harness.close(connection, CloseReason::Broken);
    let output = harness.connect_machine(machine, 999, vec![]);
    assert!(has_message(&output, "client", "errored 1") && offered(&output, 1).is_none(), "{output:?}");
}

#[test]
fn tasks_are_lost_with_a_restart_not_with_a_reconnect() {
    for (incarnation, restarted) in [(0, false), (999, true)] {
        let (mut harness, _, machine) = with_offer(IDEMPOTENT);
        harness.send_from_machine(machine, Message::Accepted { task: 1, send: 0 });
        let connection = harness.connection_to(&format!("m{machine}"));
        harness.close(connection, CloseReason::Broken);
        let (incarnation, tasks) = if restarted {
            (incarnation, vec![])
        } else {
            (100 + machine, vec![running_task(1, IDEMPOTENT)])
        };
        let output = harness.connect_machine(machine, incarnation, tasks);
        assert_eq!(has_message(&output, "client", "ended 1 Lost"), restarted, "{output:?}");
    }
}

#[test]
fn tasks_on_unreachable_machine_are_lost_after_timeout() {
    let (mut harness, _, machine) = with_offer(IDEMPOTENT);
    harness.send_from_machine(machine, Message::Accepted { task: 1, send: 0 });
    let connection = harness.connection_to(&format!("m{machine}"));
    harness.close(connection, CloseReason::Broken);
    let mut lost_after = None;
    for ms in (100..4_000).step_by(100) {
        let attempts: Vec<_> =
            harness.opened.drain(..).filter(|(_, to)| *to == format!("m{machine}")).collect();
        for (connection, _) in attempts {
            harness.engine.on_closed(harness.now, connection, CloseReason::Refused);
        }
        if has_message(&harness.advance(100), "client", "ended 1 Lost") {
            lost_after.get_or_insert(ms);
        }
    }
    assert!(lost_after.is_some_and(|ms| (2_000..2_300).contains(&ms)), "{lost_after:?}");
}
