//! Bounds of a run: what a profile is reckoned to need, and what a machine has for it.
//!
//! A run may take half of the machine's memory, so many processes, and so much real time. What it needs is
//! reckoned before it starts, and refused with the sum where it is too much.

use crate::profile::{Profile, RunPlan};
use crate::results::{Host, Size};
use mulleinhub_interface::Duration;
use std::fmt;
use std::time::Duration as StdDuration;

pub const MOST_PROCESSES: u64 = 200;
/// After so much real time a run ends with what it has, where nothing else is asked for.
pub const REAL_TIME: StdDuration = StdDuration::from_secs(15 * 60);
/// Of the machine's memory a run may take one part in so many.
pub(crate) const PART_OF_MEMORY: u64 = 2;
pub(crate) const MEMORY_FILE: &str = "/proc/meminfo";

// Bytes of a hollow ledger, measured by the allocator's count (profiles under scale/profiles) and rounded up.

/// Of a member alone.
const MEMBER: u64 = 64 << 10;
/// Of each member that a member knows, while all start together and all are connected: 22 KB at 100 members.
const PAIR: u64 = 24 << 10;
/// Of each team at each member, most of it spare room for names: 8 KB.
const TEAM: u64 = 10 << 10;
/// Of each team's balance at each writer, at each member.
const BALANCE: u64 = 300;
/// Of each running task at each member: 115 bytes at 30,000, and the row that told it.
const TASK: u64 = 200;
/// Of each row since its writer's last sum, at each member: 150 bytes.
const ROW: u64 = 200;
/// The same on a disk that is played.
const ROW_ON_DISK: u64 = 300;
/// A writer sums up after so many rows.
const ROWS: u64 = 2_048;
/// A member looks for news this often in a second, and writes a row of tasks that began and one of those that
/// ended.
const LOOKS: f64 = 10.0;
/// Of each running task at the driver.
const DRIVEN_TASK: u64 = 300;

/// One part of what a run needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    pub of: &'static str,
    pub many: u64,
    pub bytes_each: u64,
}

impl Part {
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.many.saturating_mul(self.bytes_each)
    }
}

/// What a run is reckoned to need.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Estimate {
    pub memory: Vec<Part>,
    pub processes: u64,
}

impl Estimate {
    /// Of one run of a profile. The memory of planners isn't reckoned here, only their number.
    #[must_use]
    pub fn of(profile: &Profile, plan: &RunPlan) -> Self {
        match profile.host {
            Host::HollowLedgers => {
                Self { memory: hollow_ledgers(plan, profile.warm_up + profile.length), processes: 1 }
            }
            Host::HollowPlanners => Self { memory: Vec::new(), processes: 1 },
            // This process, which hosts the workers, beside the planners.
            Host::RealPlanners => Self { memory: Vec::new(), processes: 1 + u64::from(plan.size.schedulers) },
        }
    }

    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.memory.iter().map(Part::bytes).fold(0, u64::saturating_add)
    }
}

impl fmt::Display for Estimate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for part in &self.memory {
            let (many, of, each, bytes) = (part.many, part.of, part.bytes_each, megabytes(part.bytes()));
            writeln!(f, "    {many} {of} of {each} bytes: {bytes} MB")?;
        }
        write!(f, "    together {} MB in {} processes", megabytes(self.bytes()), self.processes)
    }
}

fn megabytes(bytes: u64) -> u64 {
    bytes.div_ceil(1_000_000)
}

/// How many rows a writer has since its last sum, at the most.
fn rows(size: &Size, span: Duration) -> u64 {
    let schedulers = f64::from(size.schedulers);
    let tasks = 2.0 * (size.starts / schedulers).min(LOOKS);
    let balances = (f64::from(size.running) / schedulers).min(size.teams.into());
    let changes = size.changes / schedulers;
    let written = (tasks + balances + changes) * span.ratio_to(Duration::from_secs(1));
    (written as u64 + u64::from(size.teams)).min(ROWS)
}

fn hollow_ledgers(plan: &RunPlan, span: Duration) -> Vec<Part> {
    let size = &plan.size;
    let [members, teams, running] = [size.schedulers, size.teams, size.running].map(u64::from);
    let pairs = members * members;
    let rows = pairs * rows(size, span);
    let on_disk = if size.failures > 0.0 { rows } else { 0 };
    let part = |of, many, bytes_each| Part { of, many, bytes_each };
    let parts = vec![
        part("members", members, MEMBER),
        part("pairs of members", pairs, PAIR),
        part("teams at members", members * teams, TEAM),
        part("balances of teams and writers at members", pairs * teams, BALANCE),
        part("running tasks at members", members * running, TASK),
        part("rows at members", rows, ROW),
        part("rows on disks that are read again", on_disk, ROW_ON_DISK),
        part("running tasks at the driver", running, DRIVEN_TASK),
    ];
    parts.into_iter().filter(|part| part.many > 0).collect()
}

/// Why a profile isn't run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    Memory { run: String, estimate: Estimate, allowed: u64 },
    Processes { run: String, estimate: Estimate },
    Unknown(String),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Memory { run, estimate, allowed } => {
                let (needs, allowed) = (megabytes(estimate.bytes()), allowed / 1_000_000);
                writeln!(f, "{run} needs {needs} MB, and half of the machine's memory is {allowed} MB:")?;
                write!(f, "{estimate}")
            }
            Self::Processes { run, estimate } => {
                let processes = estimate.processes;
                write!(f, "{run} needs {processes} processes, and {MOST_PROCESSES} are allowed")
            }
            Self::Unknown(words) => f.write_str(words),
        }
    }
}

impl std::error::Error for Refused {}

/// Checks all runs of a profile against this machine.
///
/// # Errors
/// The first run that needs too much, with the sum; or that the machine's memory isn't known.
pub fn check(profile: &Profile) -> Result<(), Refused> {
    let text = std::fs::read_to_string(MEMORY_FILE)
        .map_err(|error| Refused::Unknown(format!("{MEMORY_FILE}: {error}")))?;
    check_against(profile, machine_memory(&text).map_err(Refused::Unknown)?)
}

/// The same against a machine that has so many bytes of memory.
///
/// # Errors
/// The first run that needs too much, with the sum.
pub fn check_against(profile: &Profile, memory: u64) -> Result<(), Refused> {
    let allowed = memory / PART_OF_MEMORY;
    for plan in profile.runs() {
        let estimate = Estimate::of(profile, &plan);
        let run = match &profile.vary {
            Some(vary) => format!("{} with {} {}", profile.name, vary.variable.word(), plan.varied),
            None => profile.name.clone(),
        };
        if estimate.processes > MOST_PROCESSES {
            return Err(Refused::Processes { run, estimate });
        }
        if estimate.bytes() > allowed {
            return Err(Refused::Memory { run, estimate, allowed });
        }
    }
    Ok(())
}

/// All of a machine's memory, from the text of its `/proc/meminfo`.
///
/// # Errors
/// Where the text has no such line, in words.
pub fn machine_memory(text: &str) -> Result<u64, String> {
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kibibytes = line.and_then(|rest| rest.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
    kibibytes.map(|kib| kib * 1024).ok_or_else(|| format!("{MEMORY_FILE} has no line MemTotal in kB"))
}
