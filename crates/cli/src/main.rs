//! `mulleinhub`: plays days, judges captures, checks settings, asks planners.

mod capture;
mod day;
mod load;
mod report;
mod scale;
mod status;
mod trace;

use clap::{CommandFactory, Parser, Subcommand};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::path::PathBuf;
use std::process::ExitCode;

/// Counts what is allocated, for `scale run`.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

#[derive(Parser)]
#[command(name = "mulleinhub", version, about = "A cluster scheduler of which many copies run side by side")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Checks a planner's settings or a day's script, and tells all faults at once
    Check { file: PathBuf },
    /// Plays a day of trouble and judges it
    #[command(subcommand)]
    Day(day::DayCommand),
    /// Loads planners with rising numbers and measures them
    #[command(subcommand)]
    Load(load::LoadCommand),
    /// What each role costs as the fleet grows: runs, slopes, and the capacity page
    #[command(subcommand)]
    Scale(scale::ScaleCommand),
    /// Judges the five rules from a capture
    Verdict { capture: PathBuf },
    /// Looks into a capture
    #[command(subcommand)]
    Capture(capture::CaptureCommand),
    /// Public cluster traces: what is in them, and replays of them
    #[command(subcommand)]
    Trace(trace::TraceCommand),
    /// Asks a running planner how it is
    Status {
        /// Where it hears clients, as 127.0.0.1:7000
        address: std::net::SocketAddr,
    },
    /// Prints completions for a shell
    Completions { shell: clap_complete::Shell },
    /// A planner that a day starts; operators run mulleinhub-planner
    #[command(hide = true)]
    Planner { settings: PathBuf },
    /// A part of the silent crowd of `load idle`, told by lines on its input
    #[command(hide = true)]
    Crowd { number: usize, rate: f64, planners: Vec<std::net::SocketAddr> },
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Check { file } => day::check(&file),
        Command::Day(command) => day::run(command),
        Command::Load(command) => load::run(command),
        Command::Scale(command) => scale::run(command),
        Command::Crowd { number, rate, planners } => {
            mulleinhub_load_test::host_crowd(number, &planners, rate).map(|()| ExitCode::SUCCESS)
        }
        Command::Verdict { capture } => capture::verdict(&capture),
        Command::Capture(command) => capture::run(command),
        Command::Trace(command) => trace::run(command),
        Command::Status { address } => status::ask(address),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "mulleinhub", &mut std::io::stdout());
            Ok(ExitCode::SUCCESS)
        }
        Command::Planner { settings } => {
            mulleinhub_planner::run(&settings).map(|()| ExitCode::SUCCESS).map_err(|error| error.to_string())
        }
    };
    done.unwrap_or_else(|words| {
        eprint!("{}", if words.ends_with('\n') { words } else { format!("error: {words}\n") });
        ExitCode::from(2)
    })
}
