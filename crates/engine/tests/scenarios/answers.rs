//! Final answers, late acceptances, and cancellations.

use crate::harness::*;
use mulleinhub_protocol::{Ending, Message, Reason};
use mulleinhub_sans_io::CloseReason;

#[test]
fn newest_connection_of_client_receives_answer() {
    let (mut harness, client, machine) = with_offer(IDEMPOTENT);
    harness.close(client, CloseReason::Broken);
    let returned = harness.connect_client("client");
    assert!(has_message(&harness.send(returned, &[Message::Learn { task: 1 }]), "client", "taken 1"));
    let output = harness.send_from_machine(machine, Message::Accepted { task: 1, send: 0 });
    assert!(has_message(&output, "client", "placed 1"));
    // Submitted again, on a third connection: the same answer, and the task is not accepted twice.
    let third = harness.connect_client("client");
    let output = harness.submit(third, 1, IDEMPOTENT);
    assert!(has_message(&output, "client", "placed 1") && offered(&output, 1).is_none(), "{output:?}");
    assert_eq!(harness.engine.counts().accepted, 1);
}

#[test]
fn task_of_another_client_is_refused() {
    let (mut harness, _, _) = with_offer(IDEMPOTENT);
    for message in
        [Message::Learn { task: 1 }, submission(1, IDEMPOTENT, harness.now), Message::Withdraw { task: 1 }]
    {
        let other = harness.connect_client("other");
        let output = harness.send(other, &[message]);
        assert!(has_message(&output, "other", "bye task 1 is another's"), "{output:?}");
    }
    assert_eq!(harness.engine.counts().in_flight, 1, "the task goes on");
}

#[test]
fn answer_is_retained_for_disconnected_client() {
    let (mut harness, client, machine) = with_offer(NON_IDEMPOTENT);
    harness.close(client, CloseReason::Closed);
    let nack = Message::Closed { task: 1, send: 0, ending: Ending::Errored, reason: Reason::Untold };
    harness.send_from_machine(machine, nack);
    let returned = harness.connect_client("client");
    assert!(has_message(&harness.send(returned, &[Message::Learn { task: 1 }]), "client", "errored 1"));
    assert!(has_message(&harness.send(returned, &[Message::Learn { task: 2 }]), "client", "unknown 2"));
}

#[test]
fn queueing_delay_shortens_deadline() {
    let mut harness = Harness::with_machines(4);
    let client = harness.connect_client("client");
    let late = submission(1, IDEMPOTENT, harness.now);
    let too_late = submission(2, IDEMPOTENT, harness.now);
    harness.advance(7_900);
    let output = harness.send(client, &[late]);
    assert!(
        has_message(&output, "client", "taken 1") && has_message(&output, "client", "nacked 1"),
        "{output:?}"
    );
    harness.advance(200);
    let output = harness.send(client, &[too_late]);
    assert!(
        has_message(&output, "client", "nacked 2") && !has_message(&output, "client", "taken 2"),
        "{output:?}"
    );
}

#[test]
fn late_acceptance_of_idempotent_task_is_stopped() {
    let (mut harness, _, machine) = with_offer(IDEMPOTENT);
    harness.advance(6_100);
    let output = harness.send_from_machine(machine, Message::Accepted { task: 1, send: 0 });
    assert!(has_message(&output, &format!("m{machine}"), "stop 1.0"), "{output:?}");
}

#[test]
fn late_acceptance_is_disowned_and_can_be_handed_over() {
    let (mut harness, client, machine) = with_offer(NON_IDEMPOTENT);
    let output = harness.advance(6_100);
    assert!(has_message(&output, "client", "errored 1"), "{output:?}");
    let output = harness.send_from_machine(machine, Message::Accepted { task: 1, send: 0 });
    assert!(has_message(&output, &format!("m{machine}"), "disown 1.0"), "{output:?}");
    assert!(has_message(&output, "client", &format!("proves 1 on {machine}")), "{output:?}");
    let hand_over = Message::HandOver { task: 2, shape: shape(1, NON_IDEMPOTENT), machine };
    let output = harness.send(client, &[hand_over]);
    assert!(has_message(&output, &format!("m{machine}"), "claim 2.0"), "{output:?}");
    let output = harness.send_from_machine(machine, Message::Accepted { task: 2, send: 0 });
    assert!(has_message(&output, "client", &format!("placed 2 on {machine}")), "{output:?}");
}

#[test]
fn keyed_task_is_retried_within_its_scope() {
    let (mut harness, _, machine) = with_offer(KEYED);
    let connection = harness.connection_to(&format!("m{machine}"));
    harness.close(connection, CloseReason::Broken);
    let reconnected = harness.connection_to(&format!("m{machine}"));
    let mut output = harness.close(reconnected, CloseReason::Refused);
    output.extend(harness.advance(100));
    let (other, send) = offered(&output, 1).expect("its neighbour has room");
    assert_eq!(
        ((other - 1) / 2, send),
        ((machine - 1) / 2, 1),
        "machines 1 and 2 share a rack, so do 3 and 4"
    );
}

#[test]
fn copy_that_no_machine_holds_cannot_be_handed_over() {
    let mut harness = Harness::with_machines(2);
    let client = harness.connect_client("client");
    harness.send(client, &[Message::HandOver { task: 2, shape: shape(1, NON_IDEMPOTENT), machine: 1 }]);
    let not_here = Message::Closed { task: 2, send: 0, ending: Ending::Nacked, reason: Reason::NotHere };
    assert!(has_message(&harness.send_from_machine(1, not_here), "client", "unknown 2"));
    let output = harness.send(client, &[Message::HandOver { task: 3, shape: shape(1, 2), machine: 77 }]);
    assert!(has_message(&output, "client", "unknown 3"), "no such machine: {output:?}");
}

#[test]
fn cancelled_task_is_stopped_and_gets_no_answer() {
    let (mut harness, client, machine) = with_offer(IDEMPOTENT);
    let output = harness.send(client, &[Message::Withdraw { task: 1 }]);
    assert!(has_message(&output, &format!("m{machine}"), "recall 1.0"), "{output:?}");
    let output = harness.send_from_machine(machine, Message::Accepted { task: 1, send: 0 });
    assert!(
        has_message(&output, &format!("m{machine}"), "stop 1.0") && !has_message(&output, "client", "placed"),
        "{output:?}"
    );
    let stopped = Message::Closed { task: 1, send: 0, ending: Ending::Stopped, reason: Reason::Untold };
    harness.send_from_machine(machine, stopped);
    assert!(harness.engine.is_idle());
}

#[test]
fn copy_of_earlier_attempt_is_stopped_after_cancellation() {
    let (mut harness, client, machine) = with_offer(KEYED);
    let address = format!("m{machine}");
    harness.close(harness.connection_to(&address), CloseReason::Broken);
    let mut output = harness.close(harness.connection_to(&address), CloseReason::Refused);
    output.extend(harness.advance(100));
    assert!(offered(&output, 1).is_some_and(|(_, send)| send == 1), "{output:?}");
    harness.send(client, &[Message::Withdraw { task: 1 }]);
    harness.advance(1_000);
    let output = harness.connect_machine(machine, 100 + machine, vec![running_task(1, KEYED)]);
    assert!(
        has_message(&output, &address, "stop 1.0") && !has_message(&output, &address, "disown"),
        "{output:?}"
    );
}

#[test]
fn disowned_copy_is_stopped_after_cancellation() {
    let (mut harness, client, machine) = with_offer(NON_IDEMPOTENT);
    let address = format!("m{machine}");
    harness.advance(6_100);
    harness.blocked.push(harness.connection_to(&address));
    harness.send_from_machine(machine, Message::Accepted { task: 1, send: 0 });
    harness.close(harness.connection_to(&address), CloseReason::Broken);
    harness.send(client, &[Message::Withdraw { task: 1 }]);
    let output = harness.connect_machine(machine, 100 + machine, vec![running_task(1, NON_IDEMPOTENT)]);
    assert!(
        has_message(&output, &address, "stop 1.0") && !has_message(&output, &address, "disown"),
        "{output:?}"
    );
}

#[test]
fn stop_lost_with_connection_is_repeated() {
    let (mut harness, client, machine) = with_offer(IDEMPOTENT);
    let address = format!("m{machine}");
    harness.send(client, &[Message::Withdraw { task: 1 }]);
    harness.blocked.push(harness.connection_to(&address));
    harness.send_from_machine(machine, Message::Accepted { task: 1, send: 0 });
    harness.close(harness.connection_to(&address), CloseReason::Broken);
    let output = harness.connect_machine(machine, 100 + machine, vec![running_task(1, IDEMPOTENT)]);
    assert!(has_message(&output, &address, "stop 1.0"), "{output:?}");
}
