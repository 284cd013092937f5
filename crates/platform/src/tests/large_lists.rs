//! Whole lists at the size of a large fleet.

use super::harness::*;
use mulleinhub_platform_protocol::kind;
use mulleinhub_sans_io::ConnectionId;

const FLEET: u64 = 10_000;

fn lines(machines: std::ops::RangeInclusive<u64>) -> Vec<String> {
    machines.map(|n| endpoint(n, "in_service", 0)).collect()
}

/// The connection on which the discovery service tells.
fn discovery(harness: &Harness) -> ConnectionId {
    *harness.connections_to(DISCOVERY).last().expect("it is called")
}

/// An event of the discovery service, in parts as a network may cut it.
fn deliver_event(harness: &mut Harness, event: &str) {
    let connection_id = discovery(harness);
    for part in format!("data: {event}\n\n").as_bytes().chunks(60_000) {
        harness.deliver(connection_id, part);
    }
}

/// Places a task: where.
fn place_task_on(harness: &mut Harness, task: u64) -> String {
    let client = harness.connect_client();
    harness.deliver(client, &start_request(task, "batch", ""));
    let (connection, _) = harness.start_requests().pop().expect("it is sent at once");
    harness.deliver(connection, &acceptance(task));
    assert_eq!(harness.received_on(client).pop().map(|message| message.kind), Some(kind::ACCEPT));
    harness.opened[&connection].clone()
}

/// Hands over a task that runs on each of these machines.
fn adopt_tasks(harness: &mut Harness, machines: &[u64]) -> ConnectionId {
    let client = harness.connect_client();
    for n in machines {
        harness.deliver(client, &start_request(*n, "batch", &format!(";at:{}", uid(*n))));
    }
    client
}

#[test]
fn snapshot_of_ten_thousand_machines_is_applied() {
    let mut harness = Harness::new(1);
    // The one that was known has left.
    let event = event(2, true, &lines(2..=FLEET));
    assert!(event.len() > 1 << 20, "longer than a line could be before: {}", event.len());
    deliver_event(&mut harness, &event);
    assert_ne!(place_task_on(&mut harness, 1), address(1));
    assert_eq!(harness.connections_to(DISCOVERY).len(), 1, "it was read, and is not asked for again");
}

#[test]
fn start_with_ten_thousand_machines() {
    let mut harness = Harness::new(FLEET);
    place_task_on(&mut harness, 20_000);
    let client = adopt_tasks(&mut harness, &[1, FLEET]);
    harness.advance(ms(1_000));
    assert_eq!(harness.received_on(client), [], "both run");
    // The last one restarts, which ends what ran there.
    deliver_event(
        &mut harness,
        &event(2, false, &[endpoint(FLEET, "in_service", START.nanos() / 1_000_000 + 900)]),
    );
    harness.advance(ms(100));
    let reported: Vec<u64> = harness.received_on(client).iter().map(|message| message.task).collect();
    assert_eq!(reported, [FLEET]);
}

#[test]
fn replaced_machines_lose_their_tasks() {
    let mut harness = Harness::new(FLEET);
    let client = adopt_tasks(&mut harness, &[2, FLEET]);
    harness.advance(ms(1_000));
    let other = |n: u64| endpoint(n, "in_service", 0).replace(&uid(n), &uid(n + FLEET));
    deliver_event(&mut harness, &event(2, false, &(2..=FLEET).map(other).collect::<Vec<_>>()));
    harness.advance(ms(100));
    let reported: Vec<u64> = harness.received_on(client).iter().map(|message| message.task).collect();
    assert_eq!(reported, [2, FLEET]);
}
