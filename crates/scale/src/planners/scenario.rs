//! One run of a profile, as both hosts play it: who is where, and when what begins.

use crate::profile::{Profile, RoundTrips, RunPlan};
use crate::results::Size;
use mulleinhub_interface::{Duration, Timestamp};
use std::collections::VecDeque;

/// Workers of one rack.
const WORKERS_A_RACK: usize = 40;
/// Schedulers start, and clients look for them, once the list service has seen all workers.
pub const SCHEDULERS_START: Timestamp = Timestamp::from_nanos(2_000_000_000);
/// Tasks that run from the beginning are asked for from then on,
const FILL_BEGINS: Timestamp = Timestamp::from_nanos(4_500_000_000);
/// and until so long before what is measured; from then on tasks start and end at an even pace.
const SETTLES: Duration = Duration::from_nanos(2_500_000_000);
/// After what is measured, answers that are still to come get so long.
const DRAIN: Duration = Duration::from_secs(2);
/// A scheduler that fails is down for so long.
const DOWN: Duration = Duration::from_secs(1);
/// The shortest warm-up in which tasks can be asked for.
const LEAST_WARM_UP: Duration = Duration::from_secs(8);

/// What happens to a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Deed {
    Start,
    Fail,
}

/// One run: sizes, places and times.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub size: Size,
    pub round_trips: RoundTrips,
    /// What is measured begins then, and ends then.
    pub from: Timestamp,
    pub until: Timestamp,
}

impl Scenario {
    /// # Errors
    /// Where the profile asks for something that planners' hosts don't play.
    pub fn new(profile: &Profile, plan: &RunPlan) -> Result<Self, String> {
        let faulty = |words: &str| Err(format!("profile {}: {words}", profile.name));
        let size = plan.size;
        if size.workers == 0 {
            return faulty("workers: schedulers without workers have nothing to do");
        }
        if !profile.cuts.is_empty() || profile.drops > 0.0 {
            return faulty("cut and drops are played by hollow-ledgers alone");
        }
        if size.changes > 0.0 || profile.replicas.is_some() {
            return faulty("changes and replicas are played by hollow-ledgers alone");
        }
        if size.running > 0 && profile.warm_up < LEAST_WARM_UP {
            return faulty("warm-up: tasks that run need 8s at least");
        }
        let from = Timestamp::default() + profile.warm_up;
        Ok(Self {
            seed: profile.seed,
            size,
            round_trips: profile.round_trips,
            from,
            until: from + profile.length,
        })
    }

    #[must_use]
    pub fn schedulers(&self) -> usize {
        self.size.schedulers as usize
    }

    #[must_use]
    pub fn workers(&self) -> usize {
        self.size.workers as usize
    }

    /// When the run is over: nothing is asked for after what is measured, and all answers have come.
    #[must_use]
    pub fn over(&self) -> Timestamp {
        self.until + DRAIN
    }

    /// Seconds that are measured.
    #[must_use]
    pub fn seconds(&self) -> f64 {
        (self.until - self.from).nanos() as f64 / 1e9
    }

    /// What happens to which scheduler, in the order of time: all start at one instant, and while it is
    /// measured they fail and return, one after the other.
    #[must_use]
    pub fn deeds(&self) -> VecDeque<(Timestamp, Deed, usize)> {
        let starts = (0..self.schedulers()).map(|number| (SCHEDULERS_START, Deed::Start, number));
        let mut deeds: Vec<_> = starts.collect();
        let failures = self.size.failures / 60.0 * self.seconds();
        for nth in 0..failures.round() as usize {
            let part = (nth as f64 + 0.5) / failures;
            let at = self.from + (self.until - self.from) * part;
            let number = nth % self.schedulers();
            deeds.push((at, Deed::Fail, number));
            deeds.push((at + DOWN, Deed::Start, number));
        }
        deeds.sort_unstable();
        deeds.into()
    }

    /// Whether schedulers fail and return.
    #[must_use]
    pub fn has_failures(&self) -> bool {
        self.size.failures > 0.0
    }

    /// The zone of a scheduler or worker, by its number.
    #[must_use]
    pub fn zone(&self, number: usize) -> u32 {
        (number % self.size.zones.max(1) as usize) as u32
    }

    /// The rack of a worker. The workers of a rack are of one zone.
    #[must_use]
    pub fn rack(&self, worker: usize) -> u32 {
        let zones = self.size.zones.max(1) as usize;
        let of_its_zone = worker / zones / WORKERS_A_RACK;
        (of_its_zone * zones + worker % zones) as u32
    }

    /// One way between two zones.
    #[must_use]
    pub fn one_way(&self, a: u32, b: u32) -> Duration {
        let regions = self.size.regions.max(1);
        let there_and_back = if a == b {
            self.round_trips.zone
        } else if a % regions == b % regions {
            self.round_trips.region
        } else {
            self.round_trips.between_regions
        };
        there_and_back * 0.5
    }

    /// When the tasks that run from the beginning are asked for: first and last.
    #[must_use]
    pub fn fill(&self) -> (Timestamp, Timestamp) {
        (FILL_BEGINS, self.steady_from())
    }

    /// From then on tasks start and end at an even pace.
    #[must_use]
    pub fn steady_from(&self) -> Timestamp {
        Timestamp::default() + (self.from - Timestamp::default() - SETTLES)
    }

    /// How long a task runs; nothing where none ends.
    #[must_use]
    pub fn life(&self) -> Option<Duration> {
        let seconds = f64::from(self.size.running) / self.size.starts;
        (self.size.starts > 0.0).then(|| Duration::from_secs(1) * seconds)
    }
}
