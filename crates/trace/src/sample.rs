//! A slice and a sample of a trace that fit a fleet.

use crate::event::{Event, JobId, MachineChange, Stamped};
use crate::read::{Progress, Reader};
use std::collections::BTreeMap;

/// Which part of the jobs is kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Share {
    Part(f64),
    /// As much as the kept machines are of all machines, by cores, times this.
    ByMachines(f64),
}

/// How a trace is cut down. Jobs are kept whole: bursts and the mix of asks stay as they are.
#[derive(Clone, Debug)]
pub struct Sample {
    pub seed: u64,
    pub share: Share,
    /// So many machines, drawn by the seed; all of them where none are named.
    pub machines: Option<usize>,
    /// The slice, in microseconds of the trace's clock.
    pub from: Option<u64>,
    pub to: Option<u64>,
    /// Time goes so many times faster.
    pub compress: f64,
    /// No more tasks are kept, however great the sample.
    pub most_tasks: usize,
}

impl Default for Sample {
    fn default() -> Self {
        Self {
            seed: 1,
            share: Share::Part(1.0),
            machines: None,
            from: None,
            to: None,
            compress: 1.0,
            most_tasks: 2_000_000,
        }
    }
}

impl Sample {
    fn draw(&self, number: u64) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(&number.to_le_bytes(), self.seed)
    }

    /// Whether a job is kept, the same for all of its rows wherever they stand.
    pub fn keeps(&self, job: JobId, share: f64) -> bool {
        share >= 1.0 || (self.draw(job.0) as f64) < share * u64::MAX as f64
    }

    pub fn is_within(&self, at: u64) -> bool {
        self.from.is_none_or(|from| at >= from) && self.to.is_none_or(|to| at < to)
    }

    /// The machines that are kept, in the order of their numbers.
    pub fn machines(&self, all: &[u64]) -> Vec<u64> {
        let mut drawn: Vec<(u64, u64)> = all.iter().map(|machine| (self.draw(*machine), *machine)).collect();
        drawn.sort_unstable();
        drawn.truncate(self.machines.unwrap_or(usize::MAX));
        let mut kept: Vec<u64> = drawn.into_iter().map(|(_, machine)| machine).collect();
        kept.sort_unstable();
        kept
    }

    /// The part of the jobs that is kept. Where it follows the machines, their tables are read for it first.
    ///
    /// # Errors
    /// As the reader's.
    pub fn share_of(&self, reader: &Reader, progress: &Progress) -> Result<f64, String> {
        let load = match self.share {
            Share::Part(part) => return Ok(part.clamp(0.0, 1.0)),
            Share::ByMachines(load) => load,
        };
        let tables = reader.layout.tables();
        let without =
            tables.iter().filter(|table| !table.machines).map(|table| table.name.to_owned()).collect();
        let machines = Reader {
            layout: reader.layout,
            sources: reader.sources.clone(),
            policies: reader.policies.clone(),
            window: reader.window,
            without,
            threads: reader.threads,
        };
        let mut sizes: BTreeMap<u64, f64> = BTreeMap::new();
        machines.run(progress, |Stamped { event, .. }, _| {
            if let Event::Machine { machine, change: MachineChange::Up { cores, .. } } = event {
                let known = sizes.entry(machine).or_default();
                *known = known.max(cores);
            }
            Ok(())
        })?;
        let all: f64 = sizes.values().sum();
        let kept = self.machines(&sizes.keys().copied().collect::<Vec<_>>());
        let kept: f64 = kept.iter().map(|machine| sizes[machine]).sum();
        Ok((load * kept / all.max(1e-9)).clamp(0.0, 1.0))
    }
}
