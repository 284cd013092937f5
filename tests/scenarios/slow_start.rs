//! Machines that started recently: start limit and warm-up budget.

use super::harness::*;
use mulleinhub::interface::*;

#[test]
fn restarted_machine_slow_starts_until_tasks_run() {
    let mut harness = Harness::new();
    harness.attempt_budget = 300.0;
    let mut harness = harness.start(&[machine(1, 9.0)]);
    let restarted = MachineEntry { started_at: Some(harness.now()), ..machine(1, 9.0) };
    harness.update_machines(&[restarted]);
    let sent: usize = (0..8).map(|id| harness.submit(id, LOW, 0.1).len()).sum();
    assert_eq!(sent, 2, "few are in flight at first");
    harness.round(|round| (round.on_accepted(TaskId(0)), round.on_accepted(TaskId(1))));
    assert_eq!(harness.tick_after(60), [], "accepted is not running");
    harness.round(|round| (round.on_running(TaskId(0)), round.on_running(TaskId(1))));
    assert_eq!(harness.tick_after(60).len(), 4, "each start in time adds one");
}

#[test]
fn warm_up_budget_is_shared_exactly_among_schedulers() {
    for (scheduler_count, limit) in [(1, 12), (2, 13), (5, 12), (40, 12), (300, 7)] {
        let mut sent = 0;
        for scheduler_index in 0..scheduler_count {
            let harness = Harness {
                scheduler_count,
                scheduler_index,
                attempt_budget: f64::from(limit),
                ..Harness::new()
            };
            let mut harness = harness.start(&[]);
            let restarted = MachineEntry { started_at: Some(harness.now()), ..machine(1, 9.0) };
            harness.update_machines(&[restarted]);
            for id in 0..20 {
                sent += harness.submit(id, LOW, 0.1).len();
                harness.end_attempt(id, Outcome::Rejected(Rejection::Ineligible));
                harness.now_millis += 10;
            }
        }
        assert_eq!(sent, limit as usize, "{scheduler_count} schedulers");
    }
}

#[test]
fn warm_up_budget_is_not_renewed_after_draining() {
    let fresh = |harness: &Harness, state| MachineEntry {
        state,
        started_at: Some(harness.now()),
        ..machine(1, 10.0)
    };
    let mut harness = Harness::new().start(&[]);
    let (restarted, draining) =
        (fresh(&harness, MachineState::Active), fresh(&harness, MachineState::Draining));
    harness.update_machines(&[restarted]);
    for id in 1..=4 {
        assert_eq!(harness.submit(id, HIGH, 1.0), [Command::Send(id, 1)], "its share is four of twelve");
        harness.end_attempt(id, Outcome::Rejected(Rejection::Ineligible));
    }
    harness.update_machines(&[draining]);
    harness.update_machines(&[restarted]);
    assert_eq!(harness.submit(5, HIGH, 1.0), [], "the window is not over");
}

#[test]
fn lost_machine_counts_as_warming_up() {
    let mut harness = Harness::new().start(&[machine(1, 9.0)]);
    harness.adopt(100, HIGH, 0.1, 1);
    harness.end_attempt(100, Outcome::Lost(FailureCause::Unspecified));
    harness.now_millis += 3_600;
    let sent: usize = (0..20).map(|id| harness.submit(id, LOW, 0.1).len()).sum();
    assert_eq!(sent, 4, "a third of twelve");
}
