//! Endpoint lists: watches, staleness and unusual input.

use super::harness::*;
use mulleinhub::interface::*;

#[test]
fn watch_is_requested_at_start_and_retried_with_backoff() {
    let mut harness = Harness::new();
    harness.watch_required = true;
    let mut harness = harness.start(&[machine(1, 9.0)]);
    assert_eq!(harness.round(|round| round.on_start()), [Command::WatchEndpoints]);
    let mut waits = vec![];
    for _ in 0..20 {
        if let [Command::RetryWatchAt(at)] = harness.round(|round| round.on_watch_failed())[..] {
            waits.push(at - harness.now_millis);
        }
    }
    assert!(waits.len() == 20 && waits[0] > 0 && waits[..4].is_sorted(), "{waits:?}");
    assert!(waits[4..].iter().all(|wait| *wait > waits[2]), "with jitter: {waits:?}");
    assert!(waits.iter().all(|wait| *wait <= 3_125), "well within the ten seconds of the rule");
    assert_eq!(harness.round(|round| round.on_timer(1)), [Command::WatchEndpoints]);
}

#[test]
fn rejection_for_memory_outlives_stale_list() {
    let mut harness = Harness::new().start(&[machine(1, 9.0), machine(2, 3.0)]);
    harness.submit(1, HIGH, 2.0);
    assert_eq!(
        harness.end_attempt(1, Outcome::Rejected(Rejection::InsufficientMemory)),
        [Command::Send(1, 2)]
    );
    harness.update_machines(&[machine(1, 9.0)]);
    assert_ne!(sent_to(&harness.submit(2, HIGH, 2.0)), Some(1));
}

#[test]
fn unusual_input_neither_panics_nor_misplaces() {
    let mut harness = Harness::new().start(&[machine(1, 9.0)]);
    let sizeless = MachineEntry { kind: KindId(9), available: None, ..machine(2, 99.0) };
    harness.update_machines(&[sizeless]);
    assert_eq!(harness.submit(1, HIGH, 99.0), [], "larger than any machine");
    assert_eq!(harness.submit(2, LOW, 0.0), [Command::Send(2, 1)]);
    harness.round(|round| {
        (round.on_usage(TaskId(2), Some(f64::MAX), None), round.on_usage(TaskId(2), None, Some(-1.0)))
    });
    harness
        .round(|round| (round.on_service_level(TaskId(2), -5.0), round.on_machine_memory(TaskId(77), 2.0)));
    harness.end_task(1, Outcome::Succeeded);
    harness.now_millis -= 50_000;
    harness.tick_after(0);
    harness.round(|round| round.on_endpoint_list(ListKind::Snapshot, &[]));
    assert_eq!(harness.submit(3, LOW, 0.1), [], "an empty snapshot leaves no machine");
    harness.now_millis += 3_600_000;
    assert!(harness.tick_after(0).contains(&Command::Reject(3)));
    assert_eq!(Duration::from_secs(1) - Duration::from_secs(2), Duration::ZERO);
}

#[test]
fn stale_view_decays_to_mean() {
    let mut harness = Harness::new().start(&[machine(1, 9.0), machine(2, 3.0)]);
    assert_eq!(sent_to(&harness.submit(1, LOW, 0.1)), Some(1));
    harness.now_millis += 600_000;
    let sent = |harness: &mut Harness, id| sent_to(&harness.submit(id, LOW, 0.1));
    assert!(
        (10..40).any(|id| sent(&mut harness, id) == Some(2)),
        "a machine that was empty long ago is as good as any"
    );
}
