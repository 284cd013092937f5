//! Circuit breakers, pressure and silent machines.

use super::harness::*;
use super::task_preferring_machine_1;
use mulleinhub::interface::*;

#[test]
fn failing_machine_cools_down_longer_each_time() {
    let mut harness = Harness::new().start(&[machine(1, 9.0)]);
    let mut attempts = 0;
    for id in 0..100 {
        attempts += harness.submit(id, LOW, 0.1).len();
        harness.end_task(id, Outcome::Failed);
        harness.cancel(id);
        harness.now_millis += 300;
    }
    assert!((3..=8).contains(&attempts), "{attempts} attempts in half a minute");
}

#[test]
fn one_hang_trips_circuit_breaker_once() {
    let mut harness = Harness::new().start(&[machine(1, 9.0)]);
    (1..=8).for_each(|id| assert_eq!(harness.submit(id, LOW, 0.1), [Command::Send(id, 1)]));
    harness.now_millis += 1_000;
    for id in 1..=8 {
        harness.end_task(id, Outcome::TimedOut);
        harness.now_millis += 10;
    }
    harness.now_millis += 3_500;
    assert_eq!(
        harness.submit(9, LOW, 0.1),
        [Command::Send(9, 1)],
        "0.35 of eight seconds, plus a quarter of jitter"
    );
}

#[test]
fn machine_under_pressure_is_a_last_resort() {
    let mut harness =
        Harness { scheduler_count: 1, ..Harness::new() }.start(&[machine(1, 9.0), machine(2, 2.0)]);
    harness.adopt(1, HIGH, 1.0, 1);
    harness.report_service_level(1, 0.5);
    assert_eq!(harness.submit(2, HIGH, 1.0), [Command::Send(2, 2)]);
    assert_eq!(harness.submit(3, HIGH, 5.0), []);
    assert_eq!(harness.tick_after(200), [Command::Send(3, 1)], "under pressure is better than not at all");
    harness.report_service_level(1, 1.0);
    assert_eq!(harness.submit(4, HIGH, 0.5), [Command::Send(4, 1)], "a good report ends it");
}

#[test]
fn pressure_ends_only_by_report_of_same_kind() {
    let mut id = 10;
    let mut is_selected = |harness: &mut Harness| {
        id += 1;
        sent_to(&harness.submit(id, HIGH, 0.5)) == Some(1)
    };
    let harness = || {
        let mut harness = Harness::new().start(&[machine(1, 9.5), machine(2, 2.0)]);
        harness.adopt(1, HIGH, 0.5, 1);
        harness.adopt(2, HIGH, 0.5, 1);
        harness
    };
    assert!(is_selected(&mut harness()), "it has far more available");
    let mut poor = harness();
    poor.round(|round| (round.on_service_level(TaskId(1), 0.5), round.on_machine_memory(TaskId(1), 0.5)));
    assert!(!is_selected(&mut poor), "it serves poorly, whatever memory is available");
    let mut evicting = harness();
    evicting.end_task(2, Outcome::Lost(FailureCause::Evicted));
    evicting.report_service_level(1, 1.0);
    assert!(!is_selected(&mut evicting), "it has just evicted, however well it serves");
    evicting.report_machine_memory(1, 0.5);
    assert!(is_selected(&mut evicting), "a better report of the same kind");
}

#[test]
fn attempts_on_silent_machine_are_cancelled() {
    let mut harness = Harness::new().start(&[machine(1, 9.0), machine(2, 3.0)]);
    harness.submit(1, LOW, 0.1);
    harness.submit(2, LOW, 0.1);
    harness.now_millis += 1_000;
    harness.round(|round| round.on_accepted(TaskId(1)));
    harness.submit(3, LOW, 0.1);
    assert_eq!(harness.tick_after(600), [], "the machine has answered one since");
    assert_eq!(
        harness.tick_after(300),
        [Command::CancelAttempt(3, 0)],
        "silent for a tenth of the client timeout"
    );
    assert_eq!(sent_to(&harness.end_attempt(3, Outcome::Cancelled)), Some(2));
}

#[test]
fn recent_poor_service_ranks_machine_as_fuller() {
    for evicts in [false, true] {
        let mut harness = Harness::new().start(&[machine(1, 8.0), machine(2, 8.9)]);
        harness.adopt(100, HIGH, 0.1, 1);
        if evicts {
            harness.end_attempt(100, Outcome::Lost(FailureCause::Evicted));
        } else {
            harness.round(|round| {
                (round.on_service_level(TaskId(100), 0.0), round.on_service_level(TaskId(100), 1.0))
            });
        }
        for (id, wait, to) in [(1, 3_500, 2), (2, 40_000, 1)] {
            harness.now_millis += wait;
            harness.update_machines(&[]);
            let task = task_preferring_machine_1(&harness, id, HIGH, 0.1);
            assert_eq!(sent_to(&harness.submit_task(task)), Some(to));
            harness.end_attempt(id, Outcome::Succeeded);
        }
    }
}

#[test]
fn machine_with_full_queue_cools_down() {
    let mut harness = Harness::new().start(&[machine(1, 9.0), machine(2, 4.0)]);
    harness.submit(1, LOW, 0.1);
    assert_eq!(harness.end_attempt(1, Outcome::Rejected(Rejection::QueueFull)), [Command::Send(1, 2)]);
    harness.now_millis += 500;
    assert_eq!(sent_to(&harness.submit(2, LOW, 0.1)), Some(2));
    harness.now_millis += 3_100;
    assert_eq!(sent_to(&harness.submit(3, LOW, 0.1)), Some(1));
}

#[test]
fn circuit_breaker_opens_per_use_case() {
    for outcome in [Outcome::Cancelled, Outcome::Failed, Outcome::Rejected(Rejection::Unspecified)] {
        let mut harness = Harness::new().start(&[machine(1, 9.0), machine(2, 4.0)]);
        harness.submit(1, LOW, 0.1);
        harness.now_millis += 2_000;
        harness.submit(2, HIGH, 0.1);
        harness.round(|round| (round.on_accepted(TaskId(2)), round.on_running(TaskId(2))));
        assert_eq!(harness.tick_after(60), [Command::CancelAttempt(1, 0)]);
        assert_eq!(harness.end_attempt(1, outcome), [Command::Send(1, 2)]);
        assert_eq!(sent_to(&harness.submit(3, LOW, 0.1)), Some(2));
        assert_eq!(sent_to(&harness.submit(4, HIGH, 0.1)), Some(1));
    }
}

#[test]
fn slow_start_counts_as_pressure_without_reports() {
    for (reports_pressure, to) in [(true, 1), (false, 2)] {
        let mut harness =
            Harness { reports_pressure, ..Harness::new() }.start(&[machine(1, 9.0), machine(2, 2.0)]);
        for (id, took) in [(1, 100), (2, 400)] {
            assert_eq!(harness.submit(id, LOW, 0.1), [Command::Send(id, 1)]);
            harness.now_millis += took;
            harness.round(|round| (round.on_accepted(TaskId(id)), round.on_running(TaskId(id))));
        }
        assert_eq!(sent_to(&harness.submit(3, LOW, 0.1)), Some(to));
    }
}

#[test]
fn overdue_start_counts_as_pressure_without_reports() {
    let mut harness =
        Harness { reports_pressure: false, ..Harness::new() }.start(&[machine(1, 9.0), machine(2, 2.0)]);
    harness.submit(1, LOW, 0.1);
    harness.now_millis += 100;
    harness.round(|round| (round.on_accepted(TaskId(1)), round.on_running(TaskId(1))));
    assert_eq!(sent_to(&harness.submit(2, LOW, 0.1)), Some(1));
    harness.round(|round| round.on_accepted(TaskId(2)));
    harness.tick_after(400);
    assert_eq!(sent_to(&harness.submit(3, LOW, 0.1)), Some(2), "the second start is still in flight");
}

#[test]
fn failing_task_trips_only_one_circuit_breaker() {
    let mut harness = Harness::new().start(&[machine(1, 9.0), machine(2, 9.0), machine(3, 9.0)]);
    let first = sent_to(&harness.submit(1, LOW, 0.1));
    let second = sent_to(&harness.end_attempt(1, Outcome::Failed));
    assert!(second.is_some() && second != first);
    harness.end_attempt(1, Outcome::Failed);
    let to: Vec<_> = (10..60).filter_map(|id| sent_to(&harness.submit(id, LOW, 0.01))).collect();
    let cools_down = |machine: Option<u64>| !to.contains(&machine.expect("a machine"));
    assert!(!cools_down(second), "the fault is the task's");
    assert!(cools_down(first), "the first may have been at fault");
}
