//! Orders to stop tasks, and what becomes of the connections that carry them.

use super::harness::*;
use mulleinhub_platform_protocol::{cause_code, kind};
use mulleinhub_sans_io::{CloseReason, ConnectionId};

/// The connections on which a machine got the order to stop this task, since the last look.
fn stops(harness: &mut Harness, client: ConnectionId, task: u64) -> Vec<ConnectionId> {
    let received = harness.received(|connection| connection != client);
    let is_stop = |(connection, message): (ConnectionId, Message)| {
        let is_stop = message.kind == kind::RELEASE
            && message.task == task
            && message.cause() == Some(cause_code::CANCELLED);
        is_stop.then_some(connection)
    };
    received.into_iter().filter_map(is_stop).collect()
}

/// Guards against a task that ran twice: the order to stop it left with a connection that never came up, and was lost
/// for good (review case 3).
#[test]
fn stop_order_outlives_connections_that_never_come_up() {
    for failure in [Reachability::Silent, Reachability::Untried, Reachability::Unreachable] {
        let mut harness = Harness::new(1);
        let client = harness.connect_client();
        harness.reachability.insert(address(1), failure);
        harness.deliver(client, &start_request(1, "batch", &format!(";at:{}", uid(1))));
        harness.advance(ms(300));
        harness.deliver(client, &release(1, cause_code::ENDED));
        harness.advance(ms(800));
        assert!(stops(&mut harness, client, 1).is_empty());
        harness.reachability.clear();
        let until = harness.now + ms(1_000);
        let mut carriers = Vec::new();
        while carriers.is_empty() && harness.now < until {
            harness.advance(ms(20));
            carriers = stops(&mut harness, client, 1);
        }
        assert_eq!(carriers.len(), 1, "{failure:?}: within a second of the machine's coming up");
        harness.deliver(carriers[0], &release(1, cause_code::CANCELLED));
        harness.close(carriers[0], CloseReason::Broken);
        harness.advance(ms(2_000));
        assert!(stops(&mut harness, client, 1).is_empty(), "{failure:?}: once it is followed, that is all");
        assert!(harness.received_on(client).is_empty(), "a client that cancelled is owed nothing");
    }
}

/// Guards against an order that left with a connection which then ended, whoever had closed it.
#[test]
fn stop_order_is_given_again_until_it_is_followed() {
    for retired in [false, true] {
        let mut harness = Harness::new(1);
        let client = harness.connect_client();
        let connection = place_task(&mut harness, client, 1, "batch");
        harness.deliver(client, &release(1, cause_code::ENDED));
        assert_eq!(stops(&mut harness, client, 1), [connection]);
        if retired {
            let state = harness.scheduler.state.get_mut();
            state.machines.retire_connection(connection);
        }
        harness.close(connection, CloseReason::Broken);
        harness.advance(ms(500));
        let again = stops(&mut harness, client, 1);
        assert_eq!(again.len(), 1, "retired: {retired}");
        harness.deliver(again[0], &release(1, cause_code::CANCELLED));
        harness.close(again[0], CloseReason::Broken);
        harness.advance(ms(2_000));
        assert!(stops(&mut harness, client, 1).is_empty(), "retired: {retired}");
    }
}

/// Guards against a machine that is connected to for ever, as it says nothing to an order for a task that it does not hold.
#[test]
fn stop_order_that_was_read_is_not_given_again() {
    let mut harness = Harness::new(1);
    let client = harness.connect_client();
    place_task(&mut harness, client, 1, "front");
    harness.deliver(client, &release(1, cause_code::ENDED));
    assert_eq!(stops(&mut harness, client, 1).len(), 1);
    // The connection is closed as idle, in order.
    harness.advance(ms(40_000));
    assert!(stops(&mut harness, client, 1).is_empty());
}

/// Guards against an order that is late and ends a later attempt of the same task.
#[test]
fn stop_order_does_not_reach_a_later_attempt() {
    let mut harness = Harness::new(1);
    let client = harness.connect_client();
    let connection = place_task(&mut harness, client, 1, "front");
    harness.deliver(client, &release(1, cause_code::ENDED));
    stops(&mut harness, client, 1);
    // The machine is taken for lost, and with it the task; its order is still out.
    harness.reachability.insert(address(1), Reachability::Silent);
    harness.close(connection, CloseReason::Broken);
    harness.advance(ms(9_000));
    harness.reachability.clear();
    harness.deliver(client, &start_request(2, "front", ""));
    // The backoff after connects that failed is two seconds at most.
    harness.advance(ms(2_500));
    let carriers = stops(&mut harness, client, 1);
    assert_eq!(carriers.len(), 1, "it is given as the machine is back");
    let later = harness.connect_client();
    harness.deliver(later, &start_request(1, "front", ""));
    let sent = harness.start_requests();
    assert_eq!(sent.iter().filter(|(_, message)| message.task == 1).count(), 1);
    harness.close(carriers[0], CloseReason::Broken);
    harness.advance(ms(1_000));
    assert!(stops(&mut harness, later, 1).is_empty());
}
