//! `mulleinhub-planner SETTINGS`: the daemon that plans.

use std::process::ExitCode;

fn main() -> ExitCode {
    let Some(settings) = std::env::args_os().nth(1) else {
        eprintln!("usage: mulleinhub-planner SETTINGS");
        return ExitCode::from(2);
    };
    match mulleinhub_planner::run(std::path::Path::new(&settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(words) => {
            eprint!("{}", if words.ends_with('\n') { words } else { format!("error: {words}\n") });
            ExitCode::from(2)
        }
    }
}
