//! Made results for the tests of slopes, plots and the page.
#![allow(dead_code, reason = "each test file uses a part of it")]

use mulleinhub_scale::results::{Host, Metric, Results, Role, Run, Sample, Size};
use mulleinhub_scale::targets::Target;

pub const SCHEDULERS: [u32; 5] = [3, 10, 30, 100, 250];
pub const HELD_OUT: u32 = 350;

pub const TARGET: &str = "\
schedulers 100 350 1000
chosen 350
workers 10000
accelerators 24000
jobs-a-day 63000
starts-a-second 4900
running 39000
largest-gang 128
teams 450
regions 5
zones 15
changes-a-day 3800
machine-failures-a-day 75
restarts-a-day 3900
control-machines 10
urgent-start 2.3s
in-force 3s
core-part 1.4%
memory 128MB
bytes-a-second 17kB
";

pub fn target() -> Target {
    Target::parse("target", TARGET).expect("is a target")
}

pub fn sample(role: Role, metric: Metric, value: f64) -> Sample {
    Sample { role, metric, value }
}

/// One run with one sample of a ledger member's bytes in.
pub fn run(size: Size, varied: f64, held_out: bool, value: f64) -> Run {
    let samples = vec![sample(Role::LedgerMember, Metric::BytesIn, value)];
    Run { size, varied, held_out, seconds: 30.0, samples }
}

pub fn results(profile: &str, vary: &str, runs: Vec<Run>) -> Results {
    Results {
        profile: profile.to_owned(),
        host: Host::HollowLedgers,
        seed: 7,
        version: "0.1.0".to_owned(),
        vary: vary.to_owned(),
        runs,
    }
}

pub fn small_size() -> Size {
    Size {
        schedulers: 30,
        workers: 100,
        regions: 5,
        zones: 15,
        teams: 450,
        running: 39000,
        starts: 10.0,
        changes: 0.1,
        failures: 0.0,
    }
}

/// A profile over schedulers whose bytes in are `of` the number; the largest run is held out.
pub fn over_schedulers(profile: &str, of: impl Fn(f64) -> f64) -> Results {
    let one = |schedulers: u32, held_out: bool| {
        let size = Size { schedulers, ..small_size() };
        run(size, f64::from(schedulers), held_out, of(f64::from(schedulers)))
    };
    let mut runs: Vec<Run> = SCHEDULERS.into_iter().map(|n| one(n, false)).collect();
    runs.push(one(HELD_OUT, true));
    results(profile, "schedulers", runs)
}

/// A profile over starts a second whose bytes in are `of` the rate.
pub fn over_starts(profile: &str, of: impl Fn(f64) -> f64) -> Results {
    let one = |starts: f64| run(Size { starts, ..small_size() }, starts, false, of(starts));
    results(profile, "starts", [10.0, 30.0, 100.0, 300.0, 1000.0].map(one).to_vec())
}
