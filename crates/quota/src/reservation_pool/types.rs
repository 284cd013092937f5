//! What a reservation pool takes from the ledger and reports to it.

use super::ReservationPool;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_replicated_log::SplitAmount;

/// The range from which the retry delay of a rejected client is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfter {
    /// Shortest delay.
    pub min: Duration,
    /// Longest delay.
    pub max: Duration,
}

impl RetryAfter {
    /// The delay at a fraction of the range; clients get random fractions so that they don't retry together.
    pub fn jittered(self, fraction: f64) -> Duration {
        self.min + (self.max - self.min) * fraction
    }
}

/// What happened to a worker, to be recorded by the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerEvent {
    /// It runs now.
    Started {
        /// Task key.
        key: u64,
        /// Cost in micro-units per second.
        rate: u64,
        /// It takes the place of a worker that ran before.
        is_replacement: bool,
    },
    /// It ran under another scheduler, or in an earlier incarnation of this one.
    Adopted {
        /// Task key.
        key: u64,
        /// Cost in micro-units per second.
        rate: u64,
        /// When it was adopted.
        at: Timestamp,
    },
    /// It runs no longer.
    Ended {
        /// Task key.
        key: u64,
        /// It was lost, moved or evicted, and may run again.
        readmissible: bool,
    },
}

/// The right of a task to be admitted again, because it ran or was admitted before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Readmission {
    /// An admission that uses this right is pending.
    pub in_use: bool,
    /// The task ran; otherwise it was admitted before its account was suspended and never ran.
    pub ran: bool,
}

/// What applies to a team at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamLimits {
    /// The team has a cap.
    pub has_cap: bool,
    /// The team has an account, which operators may suspend.
    pub has_account: bool,
    /// Its account is suspended: nothing new is admitted.
    pub suspended: bool,
    /// The grace period of the suspension is over: what ran is not readmitted either.
    pub grace_period_over: bool,
    /// The whole fleet is known to have spent the part of the cap that new workers may use. What this pool
    /// still has of it was returned by workers that ended, while others run on beyond their shares.
    pub nearly_spent: bool,
}

/// State of a pool, and its requests since the previous snapshot. Amounts are in micro-units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolSnapshot {
    /// Reserved from the share, neither committed nor spent.
    pub available: SplitAmount,
    /// Committed to workers that are pending or running.
    pub committed: u64,
    /// Spent without cover.
    pub debt: u64,
    /// Cost of all running workers, per second.
    pub rate: u64,
    /// Spent in this month, by this incarnation.
    pub spent: u64,
    /// What new workers would have committed that were requested since the previous snapshot, including
    /// rejected ones.
    pub requested: u64,
    /// The largest of these requests.
    pub largest_request: u64,
    /// The number of requests rejected since the previous snapshot.
    pub rejected: u64,
}

/// The pools of all teams, each behind whatever lock its owner uses.
pub trait ReservationPools {
    /// Calls `act` with the pool of a team, given by its index in the settings.
    fn with_pool(&mut self, team: usize, act: &mut dyn FnMut(&mut ReservationPool));
}

impl ReservationPools for Vec<ReservationPool> {
    fn with_pool(&mut self, team: usize, act: &mut dyn FnMut(&mut ReservationPool)) {
        act(&mut self[team]);
    }
}
