//! `mulleinhub-versions`: plays earlier versions against the present one, and looks whether seeded faults are
//! found.
//!
//! For: building named commits of this repository's own history, playing pairs of them on the same drawn days
//! with planners as processes, fleets of both, rolls from one to the other and back; and mutants of the
//! books. May not touch: anything outside of this repository and its target directory; processes that it did
//! not start.

mod build;
mod mutants;
mod play;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "mulleinhub-versions", version, about = "Pairs of versions, and seeded faults")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a version against the present one: all planners of either, and fleets of both
    Pair {
        /// A name of crates/versions/versions.list
        version: String,
        /// Days, by their scripts
        #[arg(long, default_value = "days/books-roll.day")]
        day: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Drawn days, from the seed on; each is played once for each fleet
        #[arg(long, default_value_t = 6)]
        days: u64,
        /// Only so many of the fleets: all old, all new, half and half, rolled up, rolled down, then the
        /// others
        #[arg(long)]
        fleets: Option<usize>,
        /// Played at a time; each takes about a tenth of a core
        #[arg(long, default_value_t = 12)]
        at_a_time: usize,
    },
    /// Seeds faults into the books, one at a time, and looks whether the judge names the rule that each
    /// breaks
    Mutants {
        /// Only those whose name contains this
        #[arg(long, default_value = "")]
        only: String,
        /// Only so many, from the first on
        #[arg(long)]
        most: Option<usize>,
    },
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Pair { version, day, seed, days, fleets, at_a_time } => {
            play::pair(&version, &day, seed, days, fleets, at_a_time)
        }
        Command::Mutants { only, most } => mutants::all(&only, most.unwrap_or(usize::MAX)),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(words) => {
            eprintln!("error: {}", words.trim_end());
            ExitCode::from(2)
        }
    }
}
