//! The scheduler daemon's program. `mulleinhub-planner SETTINGS` runs it with a settings file;
//! `mulleinhub-planner platform` runs it on the platform, which configures it by environment variables.
//!
//! Exit status: 0 after an orderly shutdown, 2 for wrong usage, invalid settings or a failed start.

use mulleinhub_planner::PlannerError;
use std::io::Write;
use std::process::ExitCode;

const EXIT_FAILURE: u8 = 2;

/// Writes to standard error. Where that fails nobody is left to be told, and the exit status counts.
fn report(text: &str) {
    let _ = std::io::stderr().write_all(text.as_bytes());
}

fn main() -> ExitCode {
    let Some(settings) = std::env::args_os().nth(1) else {
        report("usage: mulleinhub-planner SETTINGS | platform\n");
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
            self::report(&report.to_string());
            ExitCode::from(EXIT_FAILURE)
        }
        Err(error) => {
            report(&format!("error: {error}\n"));
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
