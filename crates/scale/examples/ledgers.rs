//! Plays a profile of hollow ledgers, with the allocator's counts:
//! `cargo run --release -p mulleinhub-scale --example ledgers -- PROFILE [DIRECTORY]`.
//!
//! Prints a line for each run, and writes results where a directory is named.

use mulleinhub_scale::ledgers::{Outcome, play};
use mulleinhub_scale::profile::{Profile, parse};
use mulleinhub_scale::results::{Metric, Results, Role};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const BOUND: Duration = Duration::from_secs(15 * 60);

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let Some(path) = args.next() else {
        eprintln!("a profile is wanted");
        return ExitCode::FAILURE;
    };
    match run(Path::new(&path), args.next().as_deref().map(Path::new)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(words) => {
            eprintln!("{words}");
            ExitCode::FAILURE
        }
    }
}

fn run(path: &Path, directory: Option<&Path>) -> Result<(), String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let profile = parse(&path.display().to_string(), &text)?;
    let mut runs = Vec::new();
    for plan in profile.runs() {
        let outcome = play(&profile, &plan, BOUND);
        print(&profile, &outcome);
        runs.push(outcome.run);
    }
    let Some(directory) = directory else { return Ok(()) };
    let results = Results {
        profile: profile.name.clone(),
        host: profile.host,
        seed: profile.seed,
        version: env!("CARGO_PKG_VERSION").to_owned(),
        vary: profile.vary_word().to_owned(),
        runs,
    };
    results.write(directory).map_err(|error| error.to_string())
}

fn print(profile: &Profile, outcome: &Outcome) {
    let run = &outcome.run;
    let value = |metric| run.value(Role::LedgerMember, metric).unwrap_or(f64::NAN);
    println!(
        "{} {}={} out {:.0} B/s {:.1}/s in {:.0} B/s cpu {:.3}% memory {:.2} MB started {:.1}/s \
         change {:.3}/{:.3}/{:.3} s start {:.2} s {:.3} cpu-s catch-up {:.2} s {:.0} B, took {:.1} s",
        profile.name,
        profile.vary_word(),
        run.varied,
        value(Metric::BytesOut),
        value(Metric::MessagesOut),
        value(Metric::BytesIn),
        value(Metric::Processor) * 100.0,
        value(Metric::Memory) / 1e6,
        value(Metric::Started),
        value(Metric::ChangeP50),
        value(Metric::ChangeP99),
        value(Metric::ChangeMax),
        value(Metric::StartUp),
        value(Metric::StartUpProcessor),
        value(Metric::CatchUp),
        value(Metric::CatchUpBytes),
        outcome.took.as_secs_f64(),
    );
    for (kind, count) in &outcome.kinds {
        let a_second = 1.0 / run.seconds / f64::from(run.size.schedulers);
        let (messages, bytes) = (count.messages as f64 * a_second, count.bytes as f64 * a_second);
        println!("    {kind}: {messages:.2}/s {bytes:.0} B/s");
    }
    println!("    {:.1} connections", outcome.connections);
    for remark in &outcome.remarks {
        println!("    {remark}");
    }
}
