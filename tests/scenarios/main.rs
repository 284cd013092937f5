//! Scenario tests: one policy, driven event by event through a test harness.

mod cluster_view;
mod harness;
mod machine_health;
mod placement;
mod preemption;
mod rules;
mod slow_start;

use harness::*;
use mulleinhub::interface::*;

/// A task of a service that prefers machine 1 of two equal ones.
fn task_preferring_machine_1(harness: &Harness, id: u64, use_case: usize, request: f64) -> TaskSpec {
    let of = |service| TaskSpec { service: ServiceId(service), ..harness.task(id, use_case, request) };
    let prefers_machine_1 = |service: &u64| {
        let mut equal = Harness::new().start(&[machine(1, 9.0), machine(2, 9.0)]);
        sent_to(&equal.submit_task(of(*service))) == Some(1)
    };
    of((50..90).find(prefers_machine_1).expect("half of the services do"))
}
