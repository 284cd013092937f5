//! Hot machines shed low-priority tasks.

use super::harness::*;
use mulleinhub::interface::*;

/// Three low-priority tasks and a high-priority one on machine 1, which use all of it and two units more.
fn hot_machine() -> Harness {
    let mut harness = Harness::new().start(&[machine(1, 9.0), machine(2, 9.0)]);
    for (id, use_case) in [(1, LOW), (2, LOW), (3, HIGH), (4, LOW)] {
        harness.adopt(id, use_case, 1.0, 1);
        let usage = if use_case == LOW { 2.5 } else { 4.5 };
        harness.report_usage(id, usage);
    }
    harness
}

#[test]
fn hot_machine_sheds_newest_low_priority_task_once_per_report() {
    let mut harness = hot_machine();
    assert_eq!(
        harness.report_machine_memory(3, 1.2),
        [Command::Preempt(4)],
        "2.5 too much: one is preempted"
    );
    assert_eq!(harness.tick_after(100), [], "no more before the next report");
    assert_eq!(harness.report_machine_memory(3, 1.2), [], "the first has not ended yet");
    harness.end_attempt(4, Outcome::Lost(FailureCause::Relocated));
    harness.adopt(5, HIGH, 1.0, 1);
    harness.report_usage(5, 2.5);
    assert_eq!(harness.report_machine_memory(3, 1.2), [Command::Preempt(2)]);
}

#[test]
fn cancelled_task_is_not_preempted_and_its_usage_is_discounted() {
    for stopped in [1, 2, 4] {
        let mut harness = hot_machine();
        harness.cancel(stopped);
        assert_eq!(harness.report_machine_memory(3, 1.2), [], "{stopped} ends soon");
    }
    let mut harness = hot_machine();
    assert_eq!(harness.report_machine_memory(3, 1.2), [Command::Preempt(4)]);
    assert_eq!(harness.cancel(4), [], "the other order");
    assert_eq!(harness.report_machine_memory(3, 1.2), [], "its usage is discounted once");
}

/// A high-priority task that uses all of machine 1, with two units more; what comes on top is this
/// scheduler's to shed.
fn fill_machine(harness: &mut Harness) {
    harness.adopt(900, HIGH, 1.0, 1);
    harness.report_usage(900, 10.0);
}

#[test]
fn scheduler_sheds_only_its_share_of_excess() {
    let preemptions = |seed| {
        let mut harness = Harness { seed, ..Harness::new() }.start(&[machine(1, 9.0), machine(2, 9.0)]);
        harness.adopt(1, LOW, 1.0, 1);
        harness.report_usage(1, 1.2);
        harness.report_machine_memory(1, 1.2).len()
    };
    let preempted: usize = (0..400).map(preemptions).sum();
    assert!((60..110).contains(&preempted), "a tenth of 2.5, as a share of its 1.2: {preempted} of 400");
}

#[test]
fn preempted_task_returns_at_peak_usage_and_is_preempted_once() {
    let mut harness =
        Harness { overcommit: 1.5, ..Harness::new() }.start(&[machine(1, 9.0), machine(2, 5.0)]);
    fill_machine(&mut harness);
    harness.adopt(1, LOW, 4.0, 1);
    harness.report_usage(1, 2.0);
    assert_eq!(harness.report_machine_memory(1, 1.2), [Command::Preempt(1)]);
    harness.end_task(1, Outcome::Cancelled);
    harness.update_machines(&[machine(1, 0.0), machine(2, 3.0)]);
    let returning =
        TaskSpec { id: TaskId(2), key: TaskKey(1), is_resubmitted: true, ..harness.task(2, LOW, 4.0) };
    assert_eq!(harness.submit_task(returning), [Command::Send(2, 2)], "three are enough for its peak of two");
    harness.round(|round| {
        (
            round.on_accepted(TaskId(2)),
            round.on_usage(TaskId(2), Some(2.0), None),
            round.on_usage(TaskId(2), None, Some(2.0)),
        )
    });
    harness.update_machines(&[machine(3, 9.0)]);
    assert_eq!(harness.report_machine_memory(2, 0.96), []);
}
