//! Whole days in virtual time, judged from their captures.

use mulleinhub_day::{Day, parse_day};
use mulleinhub_runner::Runner;
use mulleinhub_settings::{Faults, parse};
use mulleinhub_verdict::{Verdict, judge};
use std::path::Path;

fn day(name: &str, seed: u64) -> Day {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(name);
    let mut faults = Faults::default();
    let directives = parse(&path, &mut faults).expect("is in the repository");
    let day = parse_day(&directives, &mut faults);
    Day { seed, ..day.unwrap_or_else(|| panic!("{}", faults.render())) }
}

fn play(day: Day) -> (Vec<u8>, Verdict) {
    let (_, _, capture) = Runner::new(day, Vec::new()).play(|_, _| ()).expect("a vector takes all");
    let verdict = judge(&capture[..]).expect("is whole");
    (capture, verdict)
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
