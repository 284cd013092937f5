//! `mulleinhub-soak`: real scheduler processes on loopback under faults drawn from a seed, checked against the
//! platform's rules. A run that injected no fault doesn't count, nor does one in which this program itself was
//! held up.

mod addresses;
mod checker;
mod clients;
mod connection;
mod discovery;
mod machines;
mod plan;
mod process;
mod world;

use clap::Parser;
use plan::Plan;
use std::path::PathBuf;
use std::process::ExitCode;
use world::{RunError, RunReport};

/// Plays seeds one after another, and prints a line for each.
#[derive(Parser)]
struct Options {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Keeps the logs of the schedulers and of the injected faults here
    #[arg(long)]
    logs: Option<PathBuf>,
    /// The folder with the programs; by default that of this one
    #[arg(long)]
    programs: Option<PathBuf>,
    /// Prints the plan of each run
    #[arg(long)]
    explain: bool,
}

/// How the runs ended.
#[derive(Default)]
struct Totals {
    kept: u64,
    broken: u64,
    uncounted: u64,
}

fn play(options: &Options, seed: u64) -> Result<RunReport, RunError> {
    let plan = Plan::draw(seed);
    if options.explain {
        println!("{plan:#?}");
    }
    let own = std::env::current_exe()?;
    let programs = options.programs.clone().or_else(|| own.parent().map(PathBuf::from)).unwrap_or_default();
    world::play(&plan, &programs, options.logs.as_deref())
}

fn count(totals: &mut Totals, seed: u64, report: &RunReport) {
    println!("seed {seed}: {}", report.summary());
    report.violations.iter().for_each(|violation| println!("  {violation}"));
    if !report.violations.is_empty() {
        totals.broken += 1;
    } else if report.counts() {
        totals.kept += 1;
    } else {
        totals.uncounted += 1;
    }
}

fn main() -> ExitCode {
    let options = Options::parse();
    let mut totals = Totals::default();
    for seed in options.seed..options.seed + options.seeds {
        match play(&options, seed) {
            Ok(report) => count(&mut totals, seed, &report),
            Err(error) => {
                eprintln!("seed {seed}: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    println!("{} kept, {} broken, {} not counted", totals.kept, totals.broken, totals.uncounted);
    if totals.broken == 0 && totals.uncounted == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
