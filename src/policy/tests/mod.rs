//! The five rules as properties of the policy: three schedulers that share machines and nothing else, random
//! events, and an oracle that states the rules in their own words. What a whole scheduler process makes of
//! them is tested in `crates/engine`; here are the outcomes that no wire of ours carries, and the sum over
//! schedulers.

mod accounting;
mod cluster;
mod events;
mod records;
mod rules;

use cluster::Cluster;
use events::{Scenario, scenario};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use records::Coverage;

const MS: u64 = 1_000_000;

fn run_scenarios(seed: u8, cases: u32) -> Coverage {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let coverage = std::cell::RefCell::new(Coverage::default());
    let result = TestRunner::new_with_rng(config, rng).run(&scenario(), |Scenario(steps)| {
        let mut cluster = Cluster::new(u64::from(seed));
        for step in &steps {
            cluster.advance(step.wait * MS, step.is_paused.then_some(step.scheduler));
            cluster.round(step.scheduler, &step.events);
        }
        cluster.finish();
        coverage.borrow_mut().add(&cluster.coverage);
        Ok(())
    });
    if let Err(failure) = result {
        panic!("seed {seed}: {failure}");
    }
    coverage.into_inner()
}

#[test]
fn five_rules_hold_for_three_schedulers_and_accounting_returns_to_zero() {
    let all: Vec<Coverage> = std::thread::scope(|scope| {
        let threads: Vec<_> = (1..=4).map(|seed| scope.spawn(move || run_scenarios(seed, 1_000))).collect();
        threads.into_iter().map(|thread| thread.join().expect("a property fails")).collect()
    });
    for coverage in all {
        println!("{coverage:?}");
        assert!(coverage.counts().all(|cases| cases > 20), "rarely covered: {coverage:?}");
    }
}
