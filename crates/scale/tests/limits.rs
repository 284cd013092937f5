//! A profile that needs too much is refused before it runs, with the sum.

use mulleinhub_scale::limits::{Estimate, Refused, check, check_against, machine_memory};
use mulleinhub_scale::profile::{Profile, parse};

const GIB: u64 = 1 << 30;

fn profile(text: &str) -> Profile {
    parse("test.profile", text).expect("is a profile")
}

#[test]
fn a_fleet_that_needs_over_half_of_the_memory_is_refused_with_the_sum() {
    let large = profile(
        "name large\nhost hollow-ledgers\nlength 60s\nteams 450\nrunning 39000\nstarts 4900\n\
         vary schedulers 10 350\n",
    );
    let refused = check_against(&large, 16 * GIB).expect_err("it needs too much");
    let Refused::Memory { estimate, allowed, .. } = &refused else { panic!("{refused}") };
    assert_eq!(*allowed, 8 * GIB);
    let sum: u64 = estimate.memory.iter().map(|part| part.many * part.bytes_each).sum();
    assert!(sum > *allowed && sum == estimate.bytes(), "{estimate}");
    let words = refused.to_string();
    let needs = sum.div_ceil(1_000_000);
    for wanted in [
        format!("large with schedulers 350 needs {needs} MB"),
        "half of the machine's memory is 8589 MB".to_owned(),
        "122500 pairs of members".to_owned(),
        "13650000 running tasks at members of 200 bytes: 2730 MB".to_owned(),
        format!("together {needs} MB in 1 processes"),
    ] {
        assert!(words.contains(&wanted), "{wanted} isn't in\n{words}");
    }
}

#[test]
fn what_fits_is_let_through_and_the_bound_is_half_of_the_memory() {
    let small = profile("name small\nhost hollow-ledgers\nlength 60s\nschedulers 100\nteams 10\n");
    let needs = Estimate::of(&small, &small.runs()[0]).bytes();
    assert_eq!(check_against(&small, 2 * needs), Ok(()));
    assert!(check_against(&small, 2 * needs - 2).is_err());
}

#[test]
fn more_processes_than_allowed_are_refused() {
    let text = |many| format!("name real\nhost real-planners\nlength 10s\nschedulers {many}\n");
    assert_eq!(check_against(&profile(&text(199)), GIB), Ok(()));
    let refused = check_against(&profile(&text(200)), GIB).expect_err("these are too many");
    assert_eq!(refused.to_string(), "real needs 201 processes, and 200 are allowed");
}

#[test]
fn the_memory_of_a_machine_is_read_from_its_line() {
    let text = "MemTotal:       24617184 kB\nMemFree:        10 kB\n";
    assert_eq!(machine_memory(text), Ok(24_617_184 * 1024));
    assert!(machine_memory("MemFree: 10 kB\n").is_err());
    assert!(machine_memory("MemTotal: many kB\n").is_err());
    let small = profile("name small\nhost hollow-ledgers\nlength 1s\nschedulers 2\n");
    assert_eq!(check(&small), Ok(()));
}
