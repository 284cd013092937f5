//! `mulleinhub-planner SETTINGS`: the daemon that plans; `mulleinhub-planner platform`: the same scheduler on
//! the platform, which tells its settings by the environment.

use std::process::ExitCode;

fn main() -> ExitCode {
    let Some(settings) = std::env::args_os().nth(1) else {
        eprintln!("usage: mulleinhub-planner SETTINGS | platform");
        return ExitCode::from(2);
    };
    let ran = if settings == "platform" {
        mulleinhub_planner::run_on_platform()
    } else {
        mulleinhub_planner::run(std::path::Path::new(&settings))
    };
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(words) => {
            eprint!("{}", if words.ends_with('\n') { words } else { format!("error: {words}\n") });
            ExitCode::from(2)
        }
    }
}
