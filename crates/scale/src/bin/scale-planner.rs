//! `scale-planner SETTINGS`: one scheduler in a process of its own, for runs with real schedulers.

use std::process::ExitCode;

fn main() -> ExitCode {
    let Some(settings) = std::env::args_os().nth(1) else {
        eprintln!("usage: scale-planner SETTINGS");
        return ExitCode::from(2);
    };
    match mulleinhub_planner::run(std::path::Path::new(&settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(words) => {
            eprintln!("error: {words}");
            ExitCode::from(2)
        }
    }
}
