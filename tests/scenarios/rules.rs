//! Hard cases of the five rules: answers, repeated execution, draining and spread.

use super::harness::*;
use mulleinhub::interface::*;

#[test]
fn unplaceable_task_is_rejected_before_client_timeout() {
    let mut harness = Harness::new().start(&[]);
    let deadline = harness.now() + Duration::from_secs(8);
    assert_eq!(harness.submit(1, HIGH, 1.0), []);
    let mut commands = vec![];
    while commands.is_empty() {
        assert!(harness.now() < deadline);
        commands = harness.tick_after(50);
    }
    assert_eq!(commands, [Command::Reject(1)]);
    assert_eq!(harness.tick_after(50), []);
}

#[test]
fn timeout_at_deadline_is_answered_in_same_round() {
    let mut harness = Harness::new().start(&[machine(1, 0.5)]);
    harness.submit(1, HIGH, 1.0);
    harness.now_millis += 7_000;
    harness.update_machines(&[machine(1, 5.0)]);
    assert_eq!(harness.tick_after(60), [Command::Send(1, 1)]);
    harness.submit(2, HIGH, 9.0);
    harness.now_millis += 940;
    assert_eq!(harness.end_attempt(1, Outcome::TimedOut), [Command::Reject(1)], "no tick came in between");
}

#[test]
fn task_out_of_attempts_is_answered_at_once() {
    let mut harness =
        Harness::new().start(&[machine(1, 9.0), machine(2, 8.0), machine(3, 7.0), machine(4, 6.0)]);
    harness.submit(1, HIGH, 1.0);
    assert!(sent_to(&harness.end_attempt(1, Outcome::Failed)).is_some());
    assert!(sent_to(&harness.end_attempt(1, Outcome::Failed)).is_some());
    assert_eq!(
        harness.end_attempt(1, Outcome::Failed),
        [Command::Reject(1)],
        "three attempts are all that it has"
    );
}

#[test]
fn cancelled_task_gets_no_commands() {
    let mut harness = Harness::new().start(&[machine(1, 9.0)]);
    harness.submit(1, HIGH, 1.0);
    assert_eq!(harness.cancel(1), []);
    assert_eq!(harness.end_attempt(1, Outcome::TimedOut), []);
    assert_eq!(
        harness.round(|round| (round.on_client_cancelled(TaskId(1)), round.on_accepted(TaskId(99)))),
        []
    );
}

fn harness_with_idempotency(idempotency: Idempotency) -> Harness {
    let mut harness = Harness::new();
    harness.use_cases[HIGH].idempotency = idempotency;
    let mut far = machine(2, 4.0);
    (far.cell, far.zone) = (CellId(1), ZoneId(0));
    let mut harness = harness.start(&[machine(1, 9.5), far]);
    let commands = harness.round(|round| {
        let task = TaskSpec { deadline: Timestamp::from_nanos(u64::MAX), ..task() };
        round.on_new_task(task);
    });
    assert_eq!(sent_to(&commands), Some(1));
    harness
}

fn task() -> TaskSpec {
    Harness::new().task(1, HIGH, 1.0)
}

#[test]
fn non_idempotent_task_fails_unless_it_provably_did_not_run() {
    assert_eq!(
        harness_with_idempotency(Idempotency::NonIdempotent).end_attempt(1, Outcome::TimedOut),
        [Command::Fail(1)]
    );
    assert_eq!(
        harness_with_idempotency(Idempotency::NonIdempotent).end_attempt(1, Outcome::Failed),
        [Command::Fail(1)]
    );
    assert_eq!(
        harness_with_idempotency(Idempotency::NonIdempotent)
            .end_attempt(1, Outcome::Rejected(Rejection::QueueFull)),
        [Command::Send(1, 2)]
    );
    assert_eq!(
        harness_with_idempotency(Idempotency::NonIdempotent).end_attempt(1, Outcome::ConnectionFailed),
        [Command::Send(1, 2)]
    );
}

#[test]
fn keyed_task_that_may_have_run_is_retried_in_its_domain() {
    let cell = Idempotency::Keyed { domain: FailureDomain::Cell, window: Duration::from_secs(5) };
    let mut harness = harness_with_idempotency(cell);
    assert_eq!(harness.end_attempt(1, Outcome::TimedOut), [], "the other machine is of another cell");
    let mut near = machine(3, 1.5);
    near.cell = CellId(0);
    harness.update_machines(&[near]);
    assert_eq!(harness.tick_after(100), [Command::Send(1, 3)]);
    let zone = Idempotency::Keyed { domain: FailureDomain::Zone, window: Duration::from_secs(5) };
    assert_eq!(harness_with_idempotency(zone).end_attempt(1, Outcome::TimedOut), [Command::Send(1, 2)]);
}

#[test]
fn expired_keyed_task_is_rejected_only_with_cluster_wide_keys() {
    for (domain, answer) in
        [(FailureDomain::Cell, Command::Fail(1)), (FailureDomain::Cluster, Command::Reject(1))]
    {
        let mut harness =
            harness_with_idempotency(Idempotency::Keyed { domain, window: Duration::from_secs(5) });
        harness.now_millis += 4_600;
        assert_eq!(
            harness.end_attempt(1, Outcome::TimedOut),
            [answer],
            "an attempt now might arrive too late"
        );
    }
}

#[test]
fn key_window_starts_at_first_attempt_that_may_have_run() {
    let mut harness = harness_with_idempotency(Idempotency::Keyed {
        domain: FailureDomain::Cluster,
        window: Duration::from_secs(5),
    });
    harness.now_millis += 1_000;
    assert_eq!(harness.end_attempt(1, Outcome::TimedOut), [Command::Send(1, 2)]);
    harness.now_millis += 3_700;
    let commands = harness.end_attempt(1, Outcome::Rejected(Rejection::QueueFull));
    assert_eq!(commands, [Command::Reject(1)], "the window runs from the first attempt that may have run");
}

#[test]
fn draining_and_removed_machines_get_no_attempts() {
    let mut harness = Harness::new().start(&[machine(1, 9.9), machine(2, 9.0), machine(3, 2.0)]);
    harness.adopt(100, HIGH, 1.0, 5);
    let draining = MachineEntry { state: MachineState::Draining, ..machine(1, 9.0) };
    harness.update_machines(&[draining]);
    assert_eq!(harness.submit(1, HIGH, 1.0), [Command::Send(1, 2)]);
    harness.round(|round| round.on_endpoint_list(ListKind::Snapshot, &[machine(3, 2.0)]));
    assert_eq!(harness.submit(2, HIGH, 1.0), [Command::Send(2, 3)]);
}

#[test]
fn spread_counts_running_tasks_and_attempts_in_flight() {
    for (domain, cell, zone) in
        [(FailureDomain::Machine, 0, 0), (FailureDomain::Cell, 1, 0), (FailureDomain::Zone, 1, 1)]
    {
        let mut harness = Harness::new();
        harness.use_cases[HIGH].spread = Some((domain, 2));
        let mut harness = harness.start(&[machine(1, 9.0)]);
        let of_service =
            |harness: &Harness, id| TaskSpec { service: ServiceId(77), ..harness.task(id, HIGH, 1.0) };
        let (first, second, third) =
            (of_service(&harness, 1), of_service(&harness, 2), of_service(&harness, 3));
        harness.round(|round| round.on_adopted_task(first, MachineId(1)));
        assert_eq!(harness.submit_task(second), [Command::Send(2, 1)]);
        harness.cancel(2);
        assert_eq!(harness.submit_task(third), [], "the cancelled attempt has no outcome yet");
        let elsewhere = MachineEntry { cell: CellId(cell), zone: ZoneId(zone), ..machine(2, 1.5) };
        harness.update_machines(&[elsewhere]);
        assert_eq!(harness.tick_after(60), [Command::Send(3, 2)]);
    }
}

#[test]
fn adopted_task_on_draining_machine_counts_for_spread() {
    let mut harness = Harness::new();
    harness.use_cases[HIGH].spread = Some((FailureDomain::Cell, 1));
    let mut harness = harness.start(&[machine(1, 10.0), machine(2, 10.0)]);
    harness.update_machines(&[MachineEntry { state: MachineState::Draining, ..machine(1, 10.0) }]);
    let service = ServiceId(7);
    let running = TaskSpec { service, ..harness.task(1, HIGH, 1.0) };
    harness.round(|round| round.on_adopted_task(running, MachineId(1)));
    let another = TaskSpec { service, ..harness.task(2, HIGH, 1.0) };
    assert_eq!(harness.submit_task(another), [], "its cell runs one of the service");
}

#[test]
fn shutdown_deadline_limits_waiting() {
    let mut harness = Harness::new().start(&[machine(1, 0.0)]);
    assert_eq!(harness.submit(1, LOW, 0.1), []);
    let deadline = harness.now() + Duration::from_nanos(2_000_000_000);
    harness.round(|round| round.on_shutdown(deadline));
    assert_eq!(harness.tick_after(1_500), []);
    assert_eq!(harness.tick_after(400), [Command::Reject(1)], "six seconds before its client timeout");
}
