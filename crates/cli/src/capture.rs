//! `verdict` and `capture`.

use crate::report;
use clap::Subcommand;
use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub enum CaptureCommand {
    /// The life of one task as a person would read it
    Show {
        capture: PathBuf,
        #[arg(long)]
        task: u64,
    },
}

fn open(path: &Path) -> Result<BufReader<File>, String> {
    File::open(path).map(BufReader::new).map_err(|error| format!("{}: {error}", path.display()))
}

pub fn verdict(path: &Path) -> Result<ExitCode, String> {
    let verdict = mulleinhub_checker::judge(open(path)?).map_err(|e| format!("{}: {e}", path.display()))?;
    print!("{}", report::traffic(&verdict));
    print!("{}", report::rules(&verdict));
    Ok(if verdict.holds() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

pub fn run(command: CaptureCommand) -> Result<ExitCode, String> {
    let CaptureCommand::Show { capture, task } = command;
    let lines = mulleinhub_checker::life_of(open(&capture)?, task)
        .map_err(|e| format!("{}: {e}", capture.display()))?;
    if lines.is_empty() {
        return Err(format!("{}: nothing is said of task {task}", capture.display()));
    }
    lines.iter().for_each(|line| println!("{line}"));
    Ok(ExitCode::SUCCESS)
}
