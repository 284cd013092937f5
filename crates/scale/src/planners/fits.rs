//! Whether a run fits this machine, reckoned before it begins.

use crate::limits::{MEMORY_FILE, PART_OF_MEMORY, machine_memory};
use crate::results::{Host, Size};

/// Bytes that one scheduler's view of one worker takes, with the hollow worker's side and the wire between.
const BYTES_A_CONNECTION: u64 = 6_000;
/// Bytes of a running task, with its scheduler, its worker and its client.
const BYTES_A_TASK: u64 = 3_000;
/// Bytes of a scheduler that knows nobody: hollow, and as a process.
const BYTES_A_SCHEDULER: u64 = 1_000_000;
const BYTES_A_PROCESS: u64 = 12_000_000;

/// What a run is reckoned to take, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reckoned {
    pub schedulers: u64,
    pub connections: u64,
    pub tasks: u64,
}

impl Reckoned {
    #[must_use]
    pub fn sum(&self) -> u64 {
        self.schedulers + self.connections + self.tasks
    }
}

/// What a run of this size takes.
#[must_use]
pub fn reckon(host: Host, size: &Size) -> Reckoned {
    let one = if host == Host::RealPlanners { BYTES_A_PROCESS } else { BYTES_A_SCHEDULER };
    let schedulers = u64::from(size.schedulers);
    Reckoned {
        schedulers: schedulers * one,
        connections: schedulers * u64::from(size.workers) * BYTES_A_CONNECTION,
        tasks: u64::from(size.running) * BYTES_A_TASK,
    }
}

/// # Errors
/// Where a run takes more than its part of this machine's memory, with the sum.
pub fn check(host: Host, size: &Size) -> Result<(), String> {
    let text = std::fs::read_to_string(MEMORY_FILE).unwrap_or_default();
    let Ok(machine) = machine_memory(&text) else { return Ok(()) };
    let reckoned = reckon(host, size);
    let most = machine / PART_OF_MEMORY;
    if reckoned.sum() <= most {
        return Ok(());
    }
    let mib = |bytes: u64| bytes >> 20;
    Err(format!(
        "{} schedulers and {} workers don't fit: schedulers {} MiB, connections {} MiB, tasks {} MiB, \
         together {} MiB of {} MiB that may be used",
        size.schedulers,
        size.workers,
        mib(reckoned.schedulers),
        mib(reckoned.connections),
        mib(reckoned.tasks),
        mib(reckoned.sum()),
        mib(most)
    ))
}
