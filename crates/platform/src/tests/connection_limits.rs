//! Tests at the size of a fleet: more machines than descriptors.

use super::harness::*;
use mulleinhub_interface::Duration;
use mulleinhub_platform_protocol::{cause_code, code, kind};
use mulleinhub_sans_io::{ConnectionId, ListenerId, StateMachine};
use std::collections::BTreeSet;

/// Descriptors that the harness's configuration gives, and what of them is clients' and our own.
const DESCRIPTORS: usize = 256;
const OTHERS: usize = 256 / 3 + 64;

/// A scheduler that holds one task on each of so many machines.
fn cluster(machines: u64) -> (Harness, ConnectionId) {
    let mut harness = Harness::with_config(machines, |config_json| {
        config_json.replace(r#""memory_mb":32"#, r#""memory_mb":64"#)
    });
    let client = harness.connect_client();
    for n in 1..=machines {
        let class = if n % 2 == 0 { "front" } else { "batch" };
        harness.deliver(client, &start_request(n, class, &format!(";at:{}", uid(n))));
    }
    (harness, client)
}

/// Lets time pass in small steps, and holds the open connections against the bound at each of them.
fn pass_within_bounds(harness: &mut Harness, span: Duration) {
    let until = harness.now + span;
    while harness.now < until {
        harness.advance(ms(50));
        let connections = harness.opened.values().filter(|to| !to.ends_with(":8500")).count();
        assert!(connections <= DESCRIPTORS - OTHERS, "{connections} connections to machines");
    }
}

#[test]
fn silent_machine_is_found_with_too_few_descriptors() {
    // Seen: herd+mass and roll+mass, where one connection to each of 400 was all that was allowed: a machine
    // that had vanished behind its open connection was never looked at again.
    for machines in [20, 400, 1_024] {
        let (mut harness, client) = cluster(machines);
        pass_within_bounds(&mut harness, Duration::from_secs(4));
        let vanished: BTreeSet<u64> = [3, machines / 2, machines].into();
        for n in &vanished {
            harness.reachability.insert(address(*n), Reachability::Silent);
            harness.blocked.extend(harness.connections_to(&address(*n)));
        }
        pass_within_bounds(&mut harness, Duration::from_secs(8));
        let reported: BTreeSet<u64> =
            harness.received_on(client).iter().map(|message| message.task).collect();
        assert_eq!(reported, vanished, "of {machines} machines");
    }
}

#[test]
fn ends_on_unconnected_machines_are_reported_in_time() {
    for machines in [400, 1_024] {
        let (mut harness, client) = cluster(machines);
        pass_within_bounds(&mut harness, Duration::from_secs(4));
        // All end at one instant; each machine tells on the next connection that is opened to it.
        let (mut reported, mut coverage) =
            (BTreeSet::new(), harness.opened.keys().copied().collect::<BTreeSet<ConnectionId>>());
        for _ in 0..160 {
            pass_within_bounds(&mut harness, ms(50));
            let fresh: Vec<(ConnectionId, String)> = harness
                .opened
                .iter()
                .filter(|(connection_id, _)| !coverage.contains(connection_id))
                .map(|(l, to)| (*l, to.clone()))
                .collect();
            for (connection_id, to) in fresh {
                coverage.insert(connection_id);
                if let Some(n) = (1..=machines).find(|n| address(*n) == to).filter(|n| reported.insert(*n)) {
                    harness.deliver(connection_id, &release(n, cause_code::ENDED));
                }
            }
        }
        let ends = harness.received_on(client);
        assert!(ends.iter().all(|message| message.kind == kind::RELEASE));
        assert_eq!(ends.len() as u64, machines, "each end is reported once");
    }
}

#[test]
fn client_with_unread_request_is_not_evicted() {
    let mut harness = Harness::new(20);
    // As many as may say nothing at a time.
    let unidentified = DESCRIPTORS / 8;
    let early: Vec<ConnectionId> = (0..unidentified).map(|_| harness.accept_client()).collect();
    harness.run_until_idle();
    // As many more come in one step, and what the early ones had sent before is read behind that.
    let late: Vec<ConnectionId> = (0..unidentified).map(|_| harness.accept_client()).collect();
    for (task, connection_id) in (1..).zip(&early) {
        let bytes = start_request(task, "front", "");
        harness.scheduler.on_data(harness.now, *connection_id, &bytes);
    }
    harness.run_until_idle();
    assert_eq!(harness.start_requests().len(), unidentified, "each goes on, on a connection of its own");
    harness.advance(Duration::from_secs(3));
    for (task, connection_id) in (1..).zip(&early) {
        let answers =
            harness.received_on(*connection_id).iter().filter(|message| message.task == task).count();
        assert_eq!(answers, 1, "task {task}");
    }
    assert!(late.iter().all(|connection_id| harness.closed.contains(connection_id)), "they sent nothing");
}

#[test]
fn client_over_limit_is_refused_with_retry_after() {
    let mut harness = Harness::new(2);
    let promised = DESCRIPTORS as u64 / 3;
    for task in 1..=promised {
        let client = harness.connect_client();
        harness.deliver(client, &start_request(task, "front", ""));
        assert!(!harness.closed.contains(&client));
    }
    let requester = harness.connect_client();
    let silent = harness.connect_client();
    harness.deliver(requester, &start_request(900, "front", ""));
    let messages = harness.received_on(requester);
    assert_eq!((messages.len(), messages[0].cause()), (1, Some(cause_code::BUSY)));
    assert!(messages[0].param(code::RETRY_AFTER).is_some());
    assert!(harness.closed.contains(&requester), "and then it is ended");
    harness.advance(ms(300));
    assert!(harness.closed.contains(&silent));
    // More than are refused at a time wait outside.
    (0..40).for_each(|_| {
        if harness.scheduler.accept_budget(ListenerId(0)) > 0 {
            harness.connect_client();
        }
    });
    assert_eq!(harness.scheduler.accept_budget(ListenerId(0)), 0);
    harness.advance(ms(300));
    assert!(harness.scheduler.accept_budget(ListenerId(0)) > 0);
}

/// Guards against a scheduler that never left an iteration: each attempt that waited for a connection set timers of its
/// own, and their number doubled at every look (review case 1).
#[test]
fn burst_over_more_machines_than_descriptors_is_answered() {
    let mut harness = Harness::with_config(200, |config_json| {
        config_json.replace(r#""memory_mb":32"#, r#""memory_mb":128"#)
    });
    let client = harness.connect_client();
    let requests = 400;
    let burst: Vec<u8> = (1..=requests).flat_map(|task| start_request(task, "front", "")).collect();
    harness.deliver(client, &burst);
    let (mut answered, began_at) = (0, harness.now);
    while harness.now < began_at + ms(2_500) {
        harness.advance(ms(12));
        for (connection, message) in harness.start_requests() {
            if harness.opened.contains_key(&connection) {
                harness.deliver(connection, &release(message.task, cause_code::ERROR));
            }
        }
        answered += harness.received_on(client).len() as u64;
        let timers = harness.scheduler.state.get_mut().timers.len() as u64;
        // An attempt has its timeout, a connection its own, and a machine its check and its look at the queue.
        assert!(timers <= 10 * requests, "{timers} timers after {:?}", harness.now - began_at);
    }
    assert_eq!(answered, requests);
}

#[test]
fn lack_of_descriptors_proves_nothing_about_machine() {
    let mut harness = Harness::new(1);
    let client = harness.connect_client();
    harness.deliver(client, &start_request(1, "front", &format!(";at:{}", uid(1))));
    harness.reachability.insert(address(1), Reachability::Untried);
    harness.deliver(client, &start_request(2, "front", ""));
    harness.advance(ms(150));
    let (received, sent) = (harness.received_on(client), harness.start_requests());
    assert!(received.is_empty() && sent.is_empty(), "one runs, the other waits: {received:?} {sent:?}");
    harness.reachability.remove(&address(1));
    harness.advance(ms(60));
    let (connection, message) =
        harness.start_requests().pop().expect("the same attempt, once there is a descriptor");
    assert_eq!((message.task, harness.scheduler.counts().attempts), (2, 1));
    harness.deliver(connection, &acceptance(2));
    assert_eq!(harness.received_on(client)[0].kind, kind::ACCEPT);
    // And for longer: what runs does not count as lost for it, before the silence does.
    harness.close(connection, mulleinhub_sans_io::CloseReason::Closed);
    harness.reachability.insert(address(1), Reachability::Untried);
    harness.advance(Duration::from_secs(6));
    assert!(harness.received_on(client).is_empty(), "they run");
}
