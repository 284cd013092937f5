//! The scheduler's five rules as properties of the whole engine.
//!
//! The real engine and placement policy stand among random events: submissions, cancellations at every stage,
//! odd, late and repeated answers, closed connections, restarts of machines, drains and returns, pauses of
//! the process. The oracle knows the rules and what crossed the wire, nothing of the code. After each run all
//! settles, and no state may be left. Seeds are fixed; a failure shrinks, and prints its events.
//!
//! - `events`: the events, and how they are generated
//! - `simulation`: the scheduler and its peers; `machines`, `client`: the peers' sides of the protocol
//! - `playback`: what each event does
//! - `oracle`: the rules on attempts; `client` has those on answers
//! - `records`: what the oracle remembers

mod client;
mod events;
mod machines;
mod oracle;
mod playback;
mod records;
mod simulation;

use crate::Settings;
use events::{Iteration, Scenario, scenario};
use mulleinhub_interface::{
    AcceptanceRules, Discovery, Duration, FailureDomain, Idempotency, LocalityCosts, Resources, SlowStart,
    UseCase, ZoneId,
};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use records::Coverage;
use simulation::Simulation;
use std::cell::RefCell;

/// A millisecond, in nanoseconds.
const MS: u64 = 1_000_000;
/// Machines of a run, two to a cell.
const MACHINES: usize = 4;
/// How much later than its deadline an answer may come.
const ANSWER_SLACK: u64 = 250 * MS;
/// Offers that a machine that warms up bears within its window.
const SLOW_START_LIMIT: usize = 3;
/// Use cases: idempotent of low priority; keyed within a cell; not idempotent, one to a machine; idempotent,
/// two to a cell.
const USE_CASES: usize = 4;

fn settings() -> Settings {
    let window = Duration::from_secs(5);
    let use_case = |effect, priority, spread| UseCase {
        latency_objective: Duration::from_secs(1),
        client_timeout: Duration::from_secs(8),
        idempotency: effect,
        value_per_second: 1.0,
        priority,
        machine_kind: None,
        spread,
        saturation_threshold: 1.0,
        degradation_range: 1.0,
    };
    Settings {
        name: "planner-1".to_owned(),
        seed: 7,
        use_cases: vec![
            use_case(Idempotency::Idempotent, 0, None),
            use_case(Idempotency::Keyed { domain: FailureDomain::Cell, window }, 1, None),
            use_case(Idempotency::NonIdempotent, 1, Some((FailureDomain::Machine, 1))),
            use_case(Idempotency::Idempotent, 1, Some((FailureDomain::Cell, 2))),
        ],
        machine_kinds: vec![Resources::new(16.0, 32.0)],
        acceptance: AcceptanceRules {
            cores_overcommit: 2.0,
            memory_overcommit: 1.5,
            accepts_when_running: false,
            max_attempts: 4,
            reports_pressure: true,
            supports_cancel: true,
        },
        slow_start: SlowStart {
            warm_up_time: Duration::from_secs(12),
            budget_window: Duration::from_secs(1),
            attempt_budget: SLOW_START_LIMIT as f64,
            scheduler_count: 1,
            scheduler_index: 0,
        },
        discovery: Discovery { watch_required: false, max_staleness: Duration::from_secs(10) },
        locality: LocalityCosts { local_zone: ZoneId(0), cross_zone_cost: 0.0, machine_cost: 0.0 },
        endpoint_list_address: "list".to_owned(),
        reconnect_backoff: Duration::from_nanos(200 * MS),
        lost_after: Duration::from_secs(2),
        ping_timeout: Duration::from_secs(2),
        answer_retention: Duration::from_secs(60),
        startup_grace: Duration::from_secs(1),
        client_limits: mulleinhub_limits::Settings::default(),
        max_open_tasks: 100,
        max_unsent_bytes: 64 * 1024,
    }
}

fn cell(machine: usize) -> usize {
    machine / 2
}

/// Runs so many scenarios from this seed; adds up what they covered.
fn run_scenarios(seed: u8, scenarios: u32) -> Coverage {
    let config = Config { cases: scenarios, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let coverage = RefCell::new(Coverage::default());
    let result = runner.run(&scenario(), |Scenario(events)| {
        let mut simulation = Simulation::new(u64::from(seed));
        for (event, iteration) in &events {
            simulation.play(event);
            match iteration {
                Iteration::Full => simulation.iterate(),
                Iteration::Early => simulation.iterate_early(),
                Iteration::None => {}
            }
        }
        simulation.settle();
        coverage.borrow_mut().add(simulation.coverage);
        Ok(())
    });
    if let Err(failed) = result {
        panic!("seed {seed}: {failed}");
    }
    coverage.into_inner()
}

#[test]
fn rules_hold_under_random_events_and_no_state_is_left() {
    let all: Vec<Coverage> = std::thread::scope(|scope| {
        let running: Vec<_> = (1..=4).map(|seed| scope.spawn(move || run_scenarios(seed, 500))).collect();
        running.into_iter().map(|thread| thread.join().expect("a property fails")).collect()
    });
    let claims = all.iter().map(|coverage| coverage.claims).sum::<u64>();
    assert!(claims >= 10, "tasks were hardly handed over");
    for coverage in all {
        println!("{coverage:?}");
        let rules = [
            coverage.answers,
            coverage.retries,
            coverage.drains,
            coverage.cold_offers,
            coverage.spread_attempts,
            coverage.pauses,
        ];
        assert!(rules.iter().all(|cases| *cases > 200), "a rule was hardly covered: {coverage:?}");
        // Pending, waiting for a connection, behind a slow-start gate, unsent, unanswered, placed, being
        // stopped, claimed, over; and once more after a pause.
        let stages = coverage.cancelled.values().filter(|times| **times >= 3).count();
        let is_covered = stages == 10 && coverage.timed_out.len() >= 6;
        assert!(is_covered, "a stage was hardly covered: {coverage:?}");
    }
}
