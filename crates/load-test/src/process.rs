//! A planner in a process of its own: started, signalled, killed, and what the system tells of it.

use rustix::process::{Pid, Signal, kill_process};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

/// What a process used up to now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub cpu: Duration,
    /// Resident now, and at the most, in KiB.
    pub resident: u64,
    pub most_memory: u64,
}

impl Usage {
    /// Nothing where the system doesn't tell.
    fn of(pid: u32) -> Self {
        let schedstat = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
        let cpu = schedstat.split(' ').next().and_then(|nanos| nanos.parse().ok()).unwrap_or(0);
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        Self {
            cpu: Duration::from_nanos(cpu),
            resident: kib(&status, "VmRSS:").unwrap_or(0),
            most_memory: kib(&status, "VmHWM:").unwrap_or(0),
        }
    }
}

/// A figure of the system's, in KiB, from a line of `NAME: FIGURE kB`.
pub fn kib(text: &str, name: &str) -> Option<u64> {
    let words = text.lines().find_map(|line| line.strip_prefix(name))?;
    words.trim().strip_suffix(" kB")?.trim().parse().ok()
}

/// A planner's process; it is killed when this is dropped.
pub struct PlannerProcess {
    program: Option<PathBuf>,
    settings: PathBuf,
    pub log: PathBuf,
    child: Option<Child>,
}

impl PlannerProcess {
    /// This program's own planner, or `program` in its place. It is not started yet.
    pub fn new(settings: PathBuf, log: PathBuf, program: Option<&Path>) -> Self {
        Self { program: program.map(Path::to_owned), settings, log, child: None }
    }

    /// From its next start on it is this program, or this one's own planner.
    pub fn set_program(&mut self, program: Option<PathBuf>) {
        self.program = program;
    }

    /// Starts it, unless it runs.
    ///
    /// # Errors
    /// What the system refuses, in words.
    pub fn start(&mut self) -> Result<(), String> {
        if self.child.is_some() {
            return Ok(());
        }
        let words = |what: &Path, e: std::io::Error| format!("{}: {e}", what.display());
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(|e| words(&self.log, e))?;
        let mut command = match &self.program {
            Some(program) => Command::new(program),
            None => {
                let mut command =
                    Command::new(std::env::current_exe().map_err(|e| format!("this program: {e}"))?);
                command.arg("planner");
                command
            }
        };
        command.arg(&self.settings).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = command.spawn().map_err(|e| words(Path::new(command.get_program()), e))?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills it, if it runs.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Gone already is as good.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether it was started and is not known to be over.
    pub fn runs(&self) -> bool {
        self.child.is_some()
    }

    /// How it ended, where it did so by itself.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.as_mut().and_then(|child| child.try_wait().ok()).flatten()
    }

    /// What it used; nothing where it doesn't run.
    pub fn usage(&self) -> Usage {
        self.child.as_ref().map_or(Usage::default(), |child| Usage::of(child.id()))
    }
}

impl Drop for PlannerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
