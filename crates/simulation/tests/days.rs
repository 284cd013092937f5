//! Whole scenarios in virtual time, checked from their captures.

use mulleinhub_checker::{Verdict, judge};
use mulleinhub_scenario::{Day, parse_day};
use mulleinhub_settings::{Diagnostics, parse};
use mulleinhub_simulation::Simulation;
use std::path::Path;

fn scenario(name: &str, seed: u64) -> Day {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(name);
    let mut faults = Diagnostics::default();
    let directives = parse(&path, &mut faults).expect("the scenario file exists");
    let day = parse_day(&directives, &mut faults);
    Day { seed, ..day.unwrap_or_else(|| panic!("{}", faults.render())) }
}

fn run(day: Day) -> (Vec<u8>, Verdict) {
    let (_, _, capture) =
        Simulation::new(day, Vec::new()).run(|_, _| ()).expect("a vector can be written to");
    let report = judge(&capture[..]).expect("the capture is complete");
    (capture, report)
}

/// Runs seeds from `first` on with this many random faults each, on all cores, and adds up the cases of each
/// rule.
fn run_seeds(name: &str, idle_clients: usize, first: u64, seeds: u64, faults: usize) -> [u64; 5] {
    let threads = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    let mut sum = [0; 5];
    std::thread::scope(|scope| {
        let run_share = |thread: u64| {
            let mut cases = [0; 5];
            for seed in (first + thread..first + seeds).step_by(threads as usize) {
                let mut day = scenario(name, seed);
                day.silent = idle_clients;
                day.troubles.clear();
                day.random_troubles = mulleinhub_settings::Range { low: faults, high: faults };
                let (_, report) = run(day);
                for ((rule, name), sum) in report.rules.iter().zip(Verdict::NAMES).zip(&mut cases) {
                    let rerun = format!(
                        "mulleinhub day run --virtual --seed {seed} \
                         --random-troubles {faults} --no-troubles \
                         --silent {idle_clients} days/{name}"
                    );
                    assert_eq!(rule.breaches, [], "{name}; run again: {rerun}");
                    *sum += rule.cases;
                }
            }
            cases
        };
        let running: Vec<_> = (0..threads).map(|thread| scope.spawn(move || run_share(thread))).collect();
        for thread in running {
            let cases = thread.join().expect("a seed violates a rule");
            sum.iter_mut().zip(cases).for_each(|(sum, cases)| *sum += cases);
        }
    });
    sum
}

#[test]
fn random_faults_violate_no_rule() {
    let cases = run_seeds("bad-day.day", 0, 1, 200, 6);
    assert!(cases.iter().all(|cases| *cases > 0), "{cases:?}");
}

#[test]
fn random_faults_with_idle_clients_violate_no_rule() {
    let cases = run_seeds("silent-day.day", 150, 1, 60, 8);
    assert!(cases.iter().all(|cases| *cases > 0), "{cases:?}");
}

#[test]
fn idle_clients_reconnect_and_no_rule_is_violated() {
    let mut day = scenario("silent-day.day", 5);
    day.silent = 1_000;
    let mut simulation = Simulation::new(day, Vec::new());
    simulation.run_to_end(|_, _| ());
    let (score, _, capture) = simulation.run(|_, _| ()).expect("a vector can be written to");
    let report = judge(&capture[..]).expect("the capture is complete");
    assert!(report.holds());
    let (up, tally) = score.silent;
    assert!(up == 1_000 && tally.answered > 1_450, "{tally:?}");
    assert!(tally.byes.contains_key("a frame was not whole in time"), "{tally:?}");
}

#[test]
fn bad_day_is_reproducible_and_violates_no_rule() {
    let (capture, report) = run(scenario("bad-day.day", 7));
    for (rule, name) in report.rules.iter().zip(Verdict::NAMES) {
        assert_eq!(rule.breaches, [], "{name}");
        assert!(rule.cases > 0, "{name} has no cases");
    }
    assert!(capture == run(scenario("bad-day.day", 7)).0, "the same seed gives another capture");
    assert!(capture != run(scenario("bad-day.day", 8)).0, "another seed gives the same capture");
}

#[test]
fn ten_thousand_machines_place_all_tasks() {
    let mut day = scenario("throughput.day", 1);
    (day.machines, day.racks) = (10_000, 1_000);
    (day.rate, day.length) = (20.0, mulleinhub_interface::Duration::from_secs(8));
    day.troubles.clear();
    let (score, counts, capture) =
        Simulation::new(day, Vec::new()).run(|_, _| ()).expect("a vector can be written to");
    let report = judge(&capture[..]).expect("the capture is complete");
    assert!(report.rules.iter().all(|rule| rule.breaches.is_empty()));
    assert!(counts.accepted > 150 && counts.placed == counts.accepted, "{counts:?}");
    assert_eq!((counts.protocol_errors, score.owners.nacked, score.owners.errored), (0, 0, 0));
}

#[test]
fn too_large_scenario_is_rejected_with_reason() {
    let mut day = scenario("throughput.day", 1);
    day.machines = 30_000;
    assert_eq!(day.too_large().as_deref(), Some("30000 machines, 24576 at most"));
    (day.machines, day.planners) = (10, 9_000);
    assert_eq!(day.too_large().as_deref(), Some("9000 planners, 8191 at most"));
    day.planners = 1_000;
    assert_eq!(day.too_large(), None);
}
