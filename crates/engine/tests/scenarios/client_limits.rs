//! The limits on clients' connections.

use crate::harness::*;
use mulleinhub_interface::Duration;
use mulleinhub_protocol::{HAS_TASKS, Message};
use mulleinhub_sans_io::{ListenerId, StateMachine};

#[test]
fn longest_idle_client_is_evicted_at_connection_limit() {
    let mut harness = limited(|clients| clients.max_connections = 2);
    let busy = harness.connect_client("busy");
    harness.submit(busy, 1, IDEMPOTENT);
    harness.advance(10);
    let idle = harness.connect_client("idle");
    harness.advance(10);
    harness.connect_client("new");
    assert!(harness.closed.contains(&idle) && !harness.closed.contains(&busy));
    let last = harness.connect_client("last");
    assert!(!harness.closed.contains(&last), "the other idle one made room");
}

#[test]
fn task_on_evicted_connection_is_never_accepted() {
    let mut harness = limited(|clients| clients.max_connections = 1);
    let idle = harness.connect_client("idle");
    harness.deliver(idle, &[submission(1, IDEMPOTENT, harness.now)]);
    harness.open_client("new");
    let output = harness.poll();
    assert!(
        has_message(&output, "idle", "bye room was needed") && !has_message(&output, "idle", "taken"),
        "{output:?}"
    );
    assert_eq!(harness.engine.counts().accepted, 0);
    let returned = harness.connect_client("idle");
    assert!(
        has_message(&harness.submit(returned, 1, IDEMPOTENT), "idle", "taken 1"),
        "it can be submitted again"
    );
}

#[test]
fn silent_peers_time_out_unless_they_answer_pings() {
    let mut harness = limited(|_| ());
    let unidentified = harness.engine.connections().register();
    harness.engine.on_connection_accepted(harness.now, unidentified, ListenerId(0));
    let client = harness.connect_client("quiet");
    harness.run_for(5_200);
    assert!(harness.closed.contains(&unidentified) && !harness.closed.contains(&client));
    harness.run_for(55_200);
    harness.send(client, &[Message::Pong { nonce: 0 }]);
    harness.run_for(10_200);
    assert!(!harness.closed.contains(&client));
    harness.run_for(60_200);
    harness.run_for(10_200);
    assert!(harness.closed.contains(&client));
}

#[test]
fn burst_of_woken_clients_is_bounded_per_iteration() {
    let mut harness = limited(|clients| clients.max_queued_per_iteration = 10);
    let steady = harness.connect_client("steady");
    for _ in 0..7 {
        harness.advance(1_000);
        harness.send(steady, &[Message::Pong { nonce: 0 }]);
    }
    let woken: Vec<_> = (0..50).map(|n| harness.connect_client(&format!("woken{n}"))).collect();
    for (n, connection) in woken.iter().enumerate() {
        harness.deliver(*connection, &[submission(100 + n as u64, IDEMPOTENT, harness.now)]);
    }
    harness.deliver(steady, &[submission(1, IDEMPOTENT, harness.now)]);
    let output = harness.poll();
    let taken =
        |output: &[Written]| output.iter().filter(|written| written.message.starts_with("taken")).count();
    assert!(has_message(&output, "steady", "taken 1") && taken(&output) == 11, "{}", taken(&output));
    let mut all = taken(&output);
    for _ in 0..4 {
        all += taken(&harness.poll());
    }
    assert_eq!(all, 51, "nothing is lost, only later");
}

#[test]
fn pause_with_many_keepalives_due_closes_no_live_client() {
    const ALL: usize = 100_000;
    let mut harness = limited(|clients| {
        (clients.keepalive_timeout, clients.max_unidentified) = (Duration::from_secs(1), ALL);
    });
    let all: Vec<_> = (0..ALL).map(|n| harness.open_client(&format!("quiet{n}"))).collect();
    for (n, connection) in all.iter().enumerate() {
        harness.deliver(*connection, &[hello(&format!("quiet{n}"), harness.now)]);
    }
    for _ in 0..ALL / 200 {
        harness.poll();
    }
    // Silence for fifty seconds: some have been pinged, each within the last of its time.
    harness.run_for(45_700);
    // A pause of two seconds, longer than the time for an answer to a ping. Half of the answers wait in
    // buffers, the other half arrives within a second: the pings to them had waited here.
    harness.now = harness.now + Duration::from_secs(2);
    let (before, after) = all.split_at(ALL / 2);
    before.iter().for_each(|connection| harness.deliver(*connection, &[Message::Pong { nonce: 0 }]));
    (0..10).for_each(|_| drop(harness.poll()));
    harness.run_for(500);
    after.iter().for_each(|connection| harness.deliver(*connection, &[Message::Pong { nonce: 0 }]));
    harness.run_for(900);
    assert!(all.iter().all(|connection| !harness.closed.contains(connection)));
}

#[test]
fn clients_with_open_tasks_are_served_first_after_restart() {
    let mut harness = limited(|clients| clients.max_queued_per_iteration = 4);
    for n in 0..40 {
        let name = format!("back{n}");
        let connection = harness.open_client(&name);
        let features = if n >= 30 { HAS_TASKS } else { 0 };
        let Message::Hello { conversation, version, least_version, name, life, clock, .. } =
            hello(&name, harness.now)
        else {
            unreachable!("is a hello")
        };
        let message = Message::Hello { conversation, version, least_version, features, name, life, clock };
        harness.deliver(connection, &[message]);
    }
    let mut order = Vec::new();
    for _ in 0..10 {
        let output = harness.poll();
        order.extend(output.into_iter().map(|written| written.to).filter(|to| to.starts_with("back")));
    }
    let last = order.iter().rposition(|to| to.as_str() >= "back30" && to.len() == 6);
    assert!(order.len() == 40 && last.is_some_and(|last| last < 16), "{order:?}");
}

#[test]
fn burst_of_one_client_does_not_delay_others() {
    let mut harness = limited(|_| ());
    let (greedy, other) = (harness.connect_client("greedy"), harness.connect_client("other"));
    let now = harness.now;
    let submissions: Vec<_> = (0..90).map(|n| submission(n, IDEMPOTENT, now)).collect();
    harness.deliver(greedy, &submissions);
    harness.deliver(other, &[submission(1_000, IDEMPOTENT, now)]);
    let output = harness.poll();
    let of = |output: &[Written]| {
        output.iter().filter(|written| written.to == "greedy" && written.message.contains("aken")).count()
    };
    assert!(has_message(&output, "other", "taken 1000") && of(&output) == 64, "{}", of(&output));
    assert_eq!(of(&harness.poll()), 26, "the rest is heard next");
}

#[test]
fn idle_connection_holds_no_buffer() {
    let mut harness = limited(|_| ());
    let all: Vec<_> = (0..500).map(|n| harness.connect_client(&format!("quiet{n}"))).collect();
    for connection in &all {
        harness.send(*connection, &[Message::StatusAsk {}]);
    }
    assert!(
        harness.engine.buffered_bytes() < 2 * 64 * 16 * 1024,
        "{} bytes",
        harness.engine.buffered_bytes()
    );
    let half = [0, 0, 0, 40, 1, 2, 3];
    harness.engine.on_data(harness.now, all[3], &half);
    harness.poll();
    let owned = harness.engine.buffered_bytes();
    harness.engine.on_data(harness.now, all[3], &[0; 37]);
    harness.poll();
    assert!(harness.engine.buffered_bytes() <= owned + 16 * 1024 && harness.closed.contains(&all[3]));
}

#[test]
fn descriptor_exhaustion_evicts_idle_clients_only() {
    let mut harness = limited(|_| ());
    let busy = harness.connect_client("busy");
    harness.submit(busy, 1, IDEMPOTENT);
    let idle: Vec<_> = (0..20).map(|n| harness.connect_client(&format!("idle{n}"))).collect();
    let now = harness.now;
    harness.engine.on_descriptors_exhausted(now);
    let output = harness.poll();
    assert!(has_message(&output, "idle0", "bye room was needed"), "{output:?}");
    let evicted = idle.iter().filter(|connection| harness.closed.contains(connection)).count();
    assert!(evicted == 16 && !harness.closed.contains(&busy));
}

#[test]
fn slow_frame_times_out_but_slow_client_does_not() {
    let mut harness = limited(|_| ());
    let (slow, prompt) = (harness.connect_client("slow"), harness.connect_client("fine"));
    let mut bytes = Vec::new();
    mulleinhub_protocol::encode(&Message::Learn { task: u64::MAX }, &mut bytes);
    for byte in bytes.iter().take(12) {
        harness.engine.on_data(harness.now, slow, &[*byte]);
        harness.deliver(prompt, &[Message::Learn { task: 1 }]);
        harness.run_for(1_000);
    }
    assert!(harness.closed.contains(&slow) && !harness.closed.contains(&prompt));
}

#[test]
fn early_iteration_answers_but_times_nobody_out() {
    let mut harness = limited(|clients| clients.greeting_timeout = Duration::from_secs(1));
    let steady = harness.connect_client("steady");
    for _ in 0..7 {
        harness.run_for(1_000);
        harness.send(steady, &[Message::Pong { nonce: 0 }]);
    }
    let (_, unidentified) = (harness.submit(steady, 1, IDEMPOTENT), harness.open_client("stranger"));
    harness.poll();
    // The process is paused; then so much is unread that the steady client is answered in between.
    harness.now = harness.now + Duration::from_secs(2);
    harness.deliver(steady, &[submission(2, IDEMPOTENT, harness.now)]);
    harness.engine.poll_early(harness.now);
    assert!(harness.engine.counts().accepted == 2 && !harness.closed.contains(&unidentified));
    harness.deliver(unidentified, &[hello("stranger", harness.now)]);
    harness.poll();
    assert!(!harness.closed.contains(&unidentified), "its greeting lay here");
}
