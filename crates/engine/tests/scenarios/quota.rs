//! What the quota is asked and told.

use crate::harness::*;
use mulleinhub_interface::{Duration, Quota, Resources, TaskKey, Ticket, Timestamp};
use mulleinhub_protocol::{Ending, Held, Message, Reason};
use mulleinhub_sans_io::{CloseReason, ConnectionId};
use std::sync::{Arc, Mutex};

/// Refuses keys from a hundred on, knows nobody called `free`, and records what it is told.
struct QuotaRecorder(Arc<Mutex<Vec<String>>>);

impl QuotaRecorder {
    fn record(&self, words: String) {
        self.0.lock().expect("one thread").push(words);
    }
}

fn ticket(key: TaskKey) -> Ticket {
    Ticket { team: 0, key, rate: 1, reserved_open: 1, reserved_last: 0 }
}

impl Quota for QuotaRecorder {
    fn admit(
        &mut self,
        _: Timestamp,
        client: &str,
        key: TaskKey,
        _: Resources,
        _: f64,
    ) -> Result<Option<Ticket>, Duration> {
        self.record(format!("ask {}", key.0));
        match key.0 {
            100.. => Err(Duration::from_nanos(7)),
            _ => Ok((client != "free").then(|| ticket(key))),
        }
    }

    fn on_never_ran(&mut self, _: Timestamp, ticket: Ticket) {
        self.record(format!("never ran {}", ticket.key.0));
    }

    fn on_possible_run(&mut self, _: Timestamp, ticket: Ticket) {
        self.record(format!("may run {}", ticket.key.0));
    }

    fn on_running(&mut self, _: Timestamp, ticket: Ticket) {
        self.record(format!("runs {}", ticket.key.0));
    }

    fn adopt(&mut self, _: Timestamp, _: &str, key: TaskKey, _: Resources) -> Option<Ticket> {
        self.record(format!("adopted {}", key.0));
        Some(ticket(key))
    }

    fn on_ended(&mut self, _: Timestamp, ticket: Ticket, comes_again: bool) {
        self.record(format!("over {}{}", ticket.key.0, if comes_again { ", comes again" } else { "" }));
    }

    fn on_recovery_complete(&mut self, _: Timestamp) {
        self.record("all told".into());
    }

    fn status(&self, _: Timestamp) -> Vec<String> {
        vec!["books are kept".into()]
    }
}

/// A scheduler with four machines, one of which holds a task of the last incarnation; what was recorded; and
/// a client.
fn with_quota_recorder() -> (Harness, Arc<Mutex<Vec<String>>>, ConnectionId) {
    let records = Arc::new(Mutex::new(Vec::new()));
    let mut harness = Harness::new(settings(), 1, None);
    let engine = mulleinhub_engine::Engine::new(settings(), 1, None);
    harness.engine = engine.with_quota(Box::new(QuotaRecorder(records.clone())));
    harness.poll();
    harness.accept_connection("list");
    harness.send_list(&(1..=4).map(|id| (id, mulleinhub_protocol::Mode::Active)).collect::<Vec<_>>());
    for id in 1..=4 {
        let running = Held {
            task: 50,
            send: 0,
            shape: shape(50, IDEMPOTENT),
            owner: "client",
            ended: None,
            runs: true,
        };
        harness.connect_machine(id, 100 + id, if id == 4 { vec![running] } else { vec![] });
    }
    let client = harness.connect_client("client");
    (harness, records, client)
}

fn recorded(records: &Arc<Mutex<Vec<String>>>) -> Vec<String> {
    std::mem::take(&mut *records.lock().expect("one thread"))
}

#[test]
fn quota_is_notified_of_admission_run_end_and_adoption() {
    let (mut harness, records, client) = with_quota_recorder();
    assert_eq!(recorded(&records), ["adopted 50", "all told"]);
    let (machine, _) = offered(&harness.submit(client, 1, IDEMPOTENT), 1).expect("there is capacity");
    assert_eq!(recorded(&records), ["ask 1"]);
    harness.send_from_machine(machine, Message::Accepted { task: 1, send: 0 });
    harness.send_from_machine(machine, Message::Accepted { task: 1, send: 0 });
    assert_eq!(recorded(&records), ["runs 1"], "once");
    let closed = |ending| Message::Closed { task: 1, send: 0, ending, reason: Reason::Untold };
    harness.send_from_machine(machine, closed(Ending::Evicted));
    assert_eq!(recorded(&records), ["over 1, comes again"]);
    harness.submit(client, 1, IDEMPOTENT);
    assert_eq!(recorded(&records), Vec::<String>::new(), "its answer is remembered");
    harness.send_from_machine(
        4,
        Message::Closed { task: 50, send: 0, ending: Ending::Done, reason: Reason::Untold },
    );
    assert_eq!(recorded(&records), ["over 50"]);
}

#[test]
fn task_over_quota_is_rejected_with_retry_after() {
    let (mut harness, records, client) = with_quota_recorder();
    recorded(&records);
    let output = harness.submit(client, 100, IDEMPOTENT);
    assert_eq!(output, [written("client", "nacked 100")]);
    assert_eq!((recorded(&records), harness.engine.counts().accepted), (vec!["ask 100".to_owned()], 0));
    assert!(harness.engine.status().contains("books are kept"));
}

#[test]
fn task_without_quota_is_not_reported() {
    let (mut harness, records, _) = with_quota_recorder();
    recorded(&records);
    let free = harness.connect_client("free");
    let (machine, _) = offered(&harness.submit(free, 1, IDEMPOTENT), 1).expect("there is capacity");
    harness.send_from_machine(machine, Message::Accepted { task: 1, send: 0 });
    harness.send_from_machine(
        machine,
        Message::Closed { task: 1, send: 0, ending: Ending::Done, reason: Reason::Untold },
    );
    assert_eq!(recorded(&records), ["ask 1"]);
}

#[test]
fn quota_is_returned_only_where_nothing_ran() {
    let (mut harness, records, client) = with_quota_recorder();
    recorded(&records);
    // Cancelled before any machine received it.
    harness.blocked = (1..=4).map(|id| harness.connection_to(&format!("m{id}"))).collect();
    harness.submit(client, 1, NON_IDEMPOTENT);
    harness.send(client, &[Message::Withdraw { task: 1 }]);
    assert_eq!(recorded(&records), ["ask 1", "never ran 1"]);
    harness.blocked.clear();
    // Offered, and the machine becomes unreachable: nobody knows.
    let (machine, _) = offered(&harness.submit(client, 2, NON_IDEMPOTENT), 2).expect("there is capacity");
    let connection = harness.connection_to(&format!("m{machine}"));
    harness.close(connection, CloseReason::Broken);
    let reconnected = harness.connection_to(&format!("m{machine}"));
    let output = harness.close(reconnected, CloseReason::Refused);
    assert!(has_message(&output, "client", "errored 2"), "{output:?}");
    assert_eq!(recorded(&records), ["ask 2", "may run 2"]);
}
