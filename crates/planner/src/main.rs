//! The scheduler daemon's program. `mulleinhub-planner SETTINGS` runs it with a settings file;
//! `mulleinhub-planner platform` runs it on the platform, which configures it by environment variables.
//!
//! Exit status: 0 after an orderly shutdown, 2 for wrong usage, invalid settings or a failed start.

use mulleinhub_planner::PlannerError;
use std::process::ExitCode;

const EXIT_FAILURE: u8 = 2;

fn main() -> ExitCode {
    let Some(settings) = std::env::args_os().nth(1) else {
        eprintln!("usage: mulleinhub-planner SETTINGS | platform");
        return ExitCode::from(EXIT_FAILURE);
    };
    let result = if settings == "platform" {
        mulleinhub_planner::run_on_platform()
    } else {
        mulleinhub_planner::run(std::path::Path::new(&settings))
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        // The report has its own prefix on each line.
        Err(PlannerError::InvalidSettings { report }) => {
            eprint!("{report}");
            ExitCode::from(EXIT_FAILURE)
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
