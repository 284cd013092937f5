//! Whole days in virtual time, judged from their captures.

use mulleinhub_checker::{Verdict, judge};
use mulleinhub_scenario::{Day, parse_day};
use mulleinhub_settings::{Diagnostics, parse};
use mulleinhub_simulation::Runner;
use std::path::Path;

fn day(name: &str, seed: u64) -> Day {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(name);
    let mut faults = Diagnostics::default();
    let directives = parse(&path, &mut faults).expect("is in the repository");
    let day = parse_day(&directives, &mut faults);
    Day { seed, ..day.unwrap_or_else(|| panic!("{}", faults.render())) }
}

fn play(day: Day) -> (Vec<u8>, Verdict) {
    let (_, _, capture) = Runner::new(day, Vec::new()).play(|_, _| ()).expect("a vector takes all");
    let verdict = judge(&capture[..]).expect("is whole");
    (capture, verdict)
}

/// Plays seeds from `first` on with this many random troubles, on all cores; the rules' cases are added up.
fn play_many(name: &str, silent: usize, first: u64, seeds: u64, troubles: usize) -> [u64; 5] {
    let threads = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    let mut sum = [0; 5];
    std::thread::scope(|scope| {
        let one = |thread: u64| {
            let mut cases = [0; 5];
            for seed in (first + thread..first + seeds).step_by(threads as usize) {
                let mut day = day(name, seed);
                day.silent = silent;
                day.troubles.clear();
                day.random_troubles = mulleinhub_settings::Range { low: troubles, high: troubles };
                let (_, verdict) = play(day);
                for ((rule, name), sum) in verdict.rules.iter().zip(Verdict::NAMES).zip(&mut cases) {
                    let again = format!(
                        "mulleinhub day run --virtual --seed {seed} \
                         --random-troubles {troubles} --no-troubles \
                         --silent {silent} days/{name}"
                    );
                    assert_eq!(rule.breaches, [], "{name}; again: {again}");
                    *sum += rule.cases;
                }
            }
            cases
        };
        let running: Vec<_> = (0..threads).map(|thread| scope.spawn(move || one(thread))).collect();
        for thread in running {
            let cases = thread.join().expect("a seed breaks a rule");
            sum.iter_mut().zip(cases).for_each(|(sum, cases)| *sum += cases);
        }
    });
    sum
}

#[test]
fn two_hundred_seeds_of_random_troubles_keep_all_rules() {
    let cases = play_many("bad-day.day", 0, 1, 200, 6);
    assert!(cases.iter().all(|cases| *cases > 0), "{cases:?}");
}

#[test]
fn storms_bursts_and_slow_senders_among_random_troubles_keep_all_rules() {
    let cases = play_many("silent-day.day", 150, 1, 60, 8);
    assert!(cases.iter().all(|cases| *cases > 0), "{cases:?}");
}

#[test]
fn the_silent_day_keeps_all_rules_and_all_silent_connections_are_back() {
    let mut day = day("silent-day.day", 5);
    day.silent = 1_000;
    let mut runner = Runner::new(day, Vec::new());
    runner.play_to_end(|_, _| ());
    let (score, _, capture) = runner.play(|_, _| ()).expect("a vector takes all");
    let verdict = judge(&capture[..]).expect("is whole");
    assert!(verdict.holds());
    let (up, tally) = score.silent;
    assert!(up == 1_000 && tally.answered > 1_450, "{tally:?}");
    assert!(tally.byes.contains_key("a frame was not whole in time"), "{tally:?}");
}

#[test]
fn the_bad_day_keeps_all_rules_and_is_the_same_twice() {
    let (one, verdict) = play(day("bad-day.day", 7));
    for (rule, name) in verdict.rules.iter().zip(Verdict::NAMES) {
        assert_eq!(rule.breaches, [], "{name}");
        assert!(rule.cases > 0, "{name} was not met");
    }
    assert!(one == play(day("bad-day.day", 7)).0, "the same seed gives another capture");
    assert!(one != play(day("bad-day.day", 8)).0, "another seed gives the same capture");
}

#[test]
fn a_day_with_ten_thousand_machines_places_all_its_tasks() {
    let mut day = day("throughput.day", 1);
    (day.machines, day.racks) = (10_000, 1_000);
    (day.rate, day.length) = (20.0, mulleinhub_interface::Duration::from_secs(8));
    day.troubles.clear();
    let (score, counts, capture) = Runner::new(day, Vec::new()).play(|_, _| ()).expect("a vector takes all");
    let verdict = judge(&capture[..]).expect("is whole");
    assert!(verdict.rules.iter().all(|rule| rule.breaches.is_empty()));
    assert!(counts.accepted > 150 && counts.placed == counts.accepted, "{counts:?}");
    assert_eq!((counts.protocol_errors, score.owners.nacked, score.owners.errored), (0, 0, 0));
}

#[test]
fn a_day_that_the_stage_has_no_room_for_is_refused_in_words() {
    let mut day = day("throughput.day", 1);
    day.machines = 30_000;
    assert_eq!(day.too_large().as_deref(), Some("30000 machines, 24576 at most"));
    (day.machines, day.planners) = (10, 9_000);
    assert_eq!(day.too_large().as_deref(), Some("9000 planners, 8191 at most"));
    day.planners = 1_000;
    assert_eq!(day.too_large(), None);
}
