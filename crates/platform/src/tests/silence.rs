//! Machines that fall silent for a while, or for good, at any moment.

use super::harness::*;
use mulleinhub_interface::Duration;
use mulleinhub_platform_protocol::kind;
use mulleinhub_sans_io::ConnectionId;

/// A partition after which tasks run on.
const PARTITION: Duration = Duration::from_secs(6);
/// A client must be notified within this of the end of a task that nobody could report.
const NOTIFICATION_LIMIT: Duration = Duration::from_secs(8);

/// A scheduler that holds one quiet task on each of so many machines, which its client handed over.
fn hold_quiet_tasks(machines: u64) -> (Harness, ConnectionId) {
    let mut harness = Harness::with_config(machines, |config_json| {
        config_json.replace(r#""memory_mb":32"#, r#""memory_mb":64"#)
    });
    let client = harness.connect_client();
    for n in 1..=machines {
        harness.deliver(client, &start_request(n, "front", &format!(";at:{}", uid(n))));
    }
    harness.advance(ms(1_000));
    (harness, client)
}

/// Open connections to these machines remain open and quiet, and new ones never come up.
fn cut_off(harness: &mut Harness, machines: impl Iterator<Item = u64>) {
    for n in machines {
        harness.reachability.insert(address(n), Reachability::Silent);
        harness.blocked.extend(harness.connections_to(&address(n)));
    }
}

/// These machines are in reach again. A connection that was asked for meanwhile never comes up.
fn bring_back(harness: &mut Harness, machines: impl Iterator<Item = u64>, open_before: &[ConnectionId]) {
    for n in machines {
        harness.reachability.remove(&address(n));
    }
    open_before.iter().for_each(|connection| harness.unblock(*connection));
}

/// Tasks whose end the client is told of.
fn told_ends(harness: &mut Harness, client: ConnectionId) -> Vec<u64> {
    let messages = harness.received_on(client).into_iter();
    messages.filter(|message| message.kind == kind::RELEASE).map(|message| message.task).collect()
}

/// Cuts off as many of the machines as are named, that long after the start, and returns the ends that are told.
fn ends_told_of_partition(machines: u64, silent: u64, begins_after: Duration) -> Vec<u64> {
    let (mut harness, client) = hold_quiet_tasks(machines);
    harness.advance(begins_after);
    let open_before: Vec<ConnectionId> =
        (1..=silent).flat_map(|n| harness.connections_to(&address(n))).collect();
    cut_off(&mut harness, 1..=silent);
    harness.advance(PARTITION);
    bring_back(&mut harness, 1..=silent, &open_before);
    harness.advance(NOTIFICATION_LIMIT);
    told_ends(&mut harness, client)
}

/// Guards against quiet tasks that are told to be over while they run: their machine's last sign of life was three
/// seconds old as it fell silent (review case 8).
#[test]
fn six_seconds_of_silence_lose_no_task_whenever_they_begin() {
    for begins_after in (0..4_000).step_by(130) {
        assert_eq!(
            ends_told_of_partition(2, 1, ms(begins_after)),
            Vec::<u64>::new(),
            "after {begins_after} ms"
        );
    }
}

/// Guards against the same where more machines fall silent at once than there are descriptors to probe them with one
/// after another: a zone that is partitioned.
#[test]
fn partition_of_many_machines_loses_no_task() {
    for (machines, silent) in [(20, 5), (20, 20), (130, 40)] {
        for begins_after in (0..2_000).step_by(400) {
            let told = ends_told_of_partition(machines, silent, ms(begins_after));
            assert_eq!(told, Vec::<u64>::new(), "{silent} of {machines}, after {begins_after} ms");
        }
    }
}

/// Guards against the same where the last connection before the silence never came up: one in fifty doesn't.
#[test]
fn connection_that_never_comes_up_before_a_silence_loses_no_task() {
    for begins_after in (0..1_000).step_by(70) {
        let (mut harness, client) = hold_quiet_tasks(1);
        harness.reachability.insert(address(1), Reachability::Silent);
        let known = harness.opened.len();
        while harness.opened.len() == known {
            harness.advance(ms(5));
        }
        harness.reachability.remove(&address(1));
        harness.advance(ms(begins_after));
        let open_before = harness.connections_to(&address(1));
        cut_off(&mut harness, 1..=1);
        harness.advance(PARTITION);
        bring_back(&mut harness, 1..=1, &open_before);
        harness.advance(NOTIFICATION_LIMIT);
        assert_eq!(told_ends(&mut harness, client), Vec::<u64>::new(), "after {begins_after} ms");
    }
}

#[test]
fn ends_on_a_machine_that_vanishes_are_told_in_time_whenever_that_is() {
    for vanishes_after in (0..4_000).step_by(130) {
        let (mut harness, client) = hold_quiet_tasks(3);
        harness.advance(ms(vanishes_after));
        cut_off(&mut harness, 2..=2);
        harness.advance(NOTIFICATION_LIMIT);
        assert_eq!(told_ends(&mut harness, client), [2], "after {vanishes_after} ms");
    }
}

/// Probes are frequent, and leave no more than a connection each behind.
#[test]
fn probes_of_quiet_machines_are_bounded() {
    let machines = 10;
    let (mut harness, _client) = hold_quiet_tasks(machines);
    let (seconds, mut opened) = (30, 0);
    let mut newest = harness.opened.keys().max().copied();
    for _ in 0..seconds * 20 {
        harness.advance(ms(50));
        let to_machines = |to: &String| !to.ends_with(":8500");
        opened += harness.opened.iter().filter(|(id, to)| Some(**id) > newest && to_machines(to)).count();
        newest = harness.opened.keys().max().copied().max(newest);
        let open = harness.opened.values().filter(|to| to_machines(to)).count();
        assert!(open as u64 <= 2 * machines, "{open} connections are open");
    }
    assert!(opened as u64 <= 2 * machines * seconds, "{opened} connections in {seconds} s");
}

/// Guards against a task that is told to be over as it is handed over: nothing was heard of its machine for ten seconds, as
/// nothing ran there, and the first connect failed (review plays late-hand-over, handover and
/// handed-over-after-late-connection).
#[test]
fn task_handed_over_to_a_machine_not_heard_of_for_long_runs_on() {
    for (how, fails_for) in [
        (Reachability::Unreachable, ms(30)),
        (Reachability::Refuses, ms(30)),
        (Reachability::Silent, ms(900)),
    ] {
        let mut harness = Harness::new(1);
        harness.advance(ms(12_000));
        let client = harness.connect_client();
        harness.reachability.insert(address(1), how);
        harness.deliver(client, &start_request(1, "front", &format!(";at:{}", uid(1))));
        harness.advance(fails_for);
        harness.reachability.remove(&address(1));
        harness.advance(NOTIFICATION_LIMIT);
        assert_eq!(told_ends(&mut harness, client), Vec::<u64>::new(), "{how:?}");
    }
}

/// Guards against the end of a task that nobody tells, as its machine had vanished before the hand-over.
#[test]
fn task_handed_over_to_a_machine_that_has_vanished_is_over_in_time() {
    let mut harness = Harness::new(1);
    harness.advance(ms(12_000));
    let client = harness.connect_client();
    cut_off(&mut harness, 1..=1);
    harness.deliver(client, &start_request(1, "front", &format!(";at:{}", uid(1))));
    harness.advance(ms(1_500));
    assert_eq!(told_ends(&mut harness, client), [1]);
}

/// Guards against a task that is told to be over as it is accepted: its machine took long to accept it, and a connect had
/// failed meanwhile.
#[test]
fn task_accepted_late_after_a_failed_connect_runs_on() {
    let mut harness = Harness::with_config(1, |config| {
        config
            .replace("\"deadline\":2500000000", "\"deadline\":30000000000")
            .replace("\"yesAt\":\"accepted\"", "\"yesAt\":\"running\"")
    });
    let client = harness.connect_client();
    harness.deliver(client, &with_patience(start_request(1, "front", ""), "30000"));
    let (carrier, _) = harness.start_requests().pop().expect("it is sent");
    harness.advance(ms(1_000));
    harness.reachability.insert(address(1), Reachability::Unreachable);
    harness.deliver(client, &start_request(2, "batch", ""));
    harness.advance(ms(3_000));
    harness.reachability.remove(&address(1));
    harness.advance(ms(3_500));
    harness.deliver(carrier, &acceptance(1));
    harness.advance(ms(3_000));
    let messages = harness.received_on(client).into_iter().filter(|message| message.task == 1);
    let kinds: Vec<u8> = messages.map(|message| message.kind).collect();
    assert_eq!(kinds, [kind::ACCEPT], "it runs");
}

/// Guards against a machine that hangs and whose line of waiting connections is filled: it closes none of those that are
/// closed from this side.
#[test]
fn probes_of_a_machine_that_closes_nothing_are_bounded() {
    let (mut harness, _client) = hold_quiet_tasks(1);
    let seconds = 30;
    let (mut opened, mut newest) = (0, harness.opened.keys().max().copied());
    for _ in 0..seconds * 100 {
        harness.advance(ms(10));
        let connections = harness.connections_to(&address(1));
        opened += connections.iter().filter(|connection| Some(**connection) > newest).count();
        newest = harness.opened.keys().max().copied().max(newest);
        harness.blocked.extend(connections);
    }
    assert!(opened as u64 <= 2 * seconds, "{opened} connections in {seconds} s");
}
