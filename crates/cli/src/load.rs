//! `load`: campaigns of rising load, measured.

use clap::{Args, Subcommand};
use mulleinhub_interface::Duration;
use mulleinhub_load_test::{Campaign, run as run_campaign};
use mulleinhub_settings::Value;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration as StdDuration;

#[derive(Subcommand)]
pub enum LoadCommand {
    /// Rising numbers of silent connections beside a few busy ones; prints what each costs
    Idle(Idle),
}

#[derive(Args)]
pub struct Idle {
    /// Numbers of silent connections, rising
    #[arg(long, value_delimiter = ',', default_value = "0,1000,2000,5000,10000,15000")]
    steps: Vec<usize>,
    /// Planners, each in a process of its own
    #[arg(long, default_value_t = 1)]
    planners: usize,
    /// Processes that hold the silent connections
    #[arg(long, default_value_t = 1)]
    crowds: usize,
    /// Asks a second of the busy, at fixed instants
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    /// Connections of the busy to each planner
    #[arg(long, default_value_t = 8)]
    busy: usize,
    /// How long silence is measured at each number
    #[arg(long, default_value = "20s", value_parser = span)]
    silent_for: StdDuration,
    /// How long the busy ask at each number
    #[arg(long, default_value = "10s", value_parser = span)]
    busy_for: StdDuration,
    /// Planners ask after so many seconds of silence
    #[arg(long, default_value_t = 20)]
    idle_after: u64,
    /// Planners that are killed and started again at one moment, at the end
    #[arg(long, default_value_t = 1)]
    storm_planners: usize,
    /// Another planner's program in place of this one, to compare with
    #[arg(long)]
    program: Option<PathBuf>,
    /// Where the rows go; rows that are there are not measured again
    #[arg(long, default_value = "idle.csv")]
    csv: PathBuf,
    /// Where the plot goes; beside the rows where it is not named
    #[arg(long)]
    svg: Option<PathBuf>,
    /// It ends by itself after so long, whatever is left
    #[arg(long, default_value = "10min", value_parser = span)]
    at_most: StdDuration,
}

fn span(text: &str) -> Result<StdDuration, String> {
    Ok(StdDuration::from_nanos(Duration::parse(text)?.nanos()))
}

pub fn run(command: LoadCommand) -> Result<ExitCode, String> {
    let LoadCommand::Idle(idle) = command;
    if !idle.steps.is_sorted() || idle.steps.is_empty() {
        return Err("--steps: rising numbers are wanted, as 0,1000,10000".to_owned());
    }
    if !(1..=200).contains(&idle.planners) || !(1..=200).contains(&idle.crowds) || idle.busy == 0 {
        return Err("--planners and --crowds: 1 to 200 are wanted; --busy: 1 at the least".to_owned());
    }
    if !(idle.rate > 0.0 && idle.rate <= 100_000.0) {
        return Err("--rate: more than 0 and at most 100000 asks a second are wanted".to_owned());
    }
    let svg = idle.svg.unwrap_or_else(|| idle.csv.with_extension("svg"));
    let campaign = Campaign {
        steps: idle.steps,
        planners: idle.planners,
        crowds: idle.crowds,
        rate: idle.rate,
        busy: idle.busy,
        silent_for: idle.silent_for,
        busy_for: idle.busy_for,
        storm_planners: idle.storm_planners,
        program: idle.program,
        idle_after: idle.idle_after.max(1),
        csv: idle.csv,
        svg,
        at_most: idle.at_most,
    };
    run_campaign(&campaign, |words| println!("{words}"))?;
    Ok(ExitCode::SUCCESS)
}
