//! How much of a share to keep, reserve, request from other members, and give to them.
//!
//! Each scheduler spends out of its own share, so no other member is involved in ordinary admissions. Shares
//! are transferred before they run out: a member that has less than half of what it uses within a horizon
//! requests from one other member what two horizons take. The donor keeps a horizon's usage of its own and
//! gives of the rest; an idle donor gives at least half of what it has, so that a busy member need not
//! request every reservation separately. One request per team is in flight at a time, to one member chosen
//! at random, weighted by how much each is believed to have: a burst at all schedulers then makes as many
//! requests as there are schedulers, and does not send them all to the richest.

use crate::reservation_pool::RetryAfter;
use mulleinhub_interface::{Duration, Pcg, Timestamp};
use mulleinhub_replicated_log::{Name, SplitAmount};

/// A member keeps the usage of this many seconds for itself and requests that of twice as many. Longer than
/// a request takes to be answered even with a retry, and short compared with a month.
const HORIZON_SECONDS: f64 = 5.0;
/// Least reservation, in seconds of usage. After a crash, what is left of a reservation counts as spent.
pub const RESERVATION_SECONDS: f64 = 2.0;
/// Time constant of the moving average of demand, in seconds.
const SMOOTHING_SECONDS: f64 = 3.0;
/// More is requested below this fraction of the horizon's usage.
const LOW_WATERMARK: f64 = 0.5;
/// A member that admits less than this, in micro-units per second, and runs nothing is idle.
pub const IDLE_DEMAND: f64 = 1.0;

/// Bounds of the retry delay in milliseconds, while other members still have shares to transfer.
const TRANSFER_RETRY_MS: (u64, u64) = (200, 1_000);
/// Bounds of the retry delay in milliseconds, once nobody has any share left.
const EXHAUSTED_RETRY_MS: (u64, u64) = (5_000, 30_000);

/// Moving average of what new workers want to commit, in micro-units per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandRate {
    per_second: f64,
    at: Timestamp,
}

impl DemandRate {
    /// Adds an amount that was requested since the last call.
    pub fn record(&mut self, now: Timestamp, requested: u64) {
        let elapsed = (now - self.at).nanos() as f64 / 1e9;
        self.at = self.at.max(now);
        if elapsed > 0.0 {
            let old_weight = (-elapsed / SMOOTHING_SECONDS).exp();
            self.per_second = self.per_second * old_weight + requested as f64 / elapsed * (1.0 - old_weight);
        }
    }

    /// The average, in micro-units per second.
    pub fn per_second(self) -> f64 {
        self.per_second
    }
}

/// What one scheduler uses of a team's share.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Demand of new workers, in micro-units per second.
    pub new: f64,
    /// Cost of running workers, in micro-units per second.
    pub running: u64,
    /// The largest commitment that one worker requested recently.
    pub largest_request: u64,
}

impl Usage {
    /// Whether next to nothing is requested by new workers.
    pub fn has_no_demand(self) -> bool {
        self.new < IDLE_DEMAND
    }

    /// Whether neither new nor running workers use the share.
    pub fn is_idle(self) -> bool {
        self.has_no_demand() && self.running == 0
    }

    fn over(self, seconds: f64) -> SplitAmount {
        let running = self.running as f64 * seconds;
        SplitAmount { open: (self.new * seconds + running) as u64, running_only: running as u64 }
    }

    /// What a scheduler keeps of its share for itself.
    fn own_need(self) -> SplitAmount {
        self.over(HORIZON_SECONDS)
    }

    /// The size of a reservation for this many seconds of usage, enough for at least two workers.
    pub fn reservation(self, seconds: f64) -> SplitAmount {
        let usage = self.over(seconds);
        let two_workers = if self.new > 0.0 { self.largest_request.saturating_mul(2) } else { 0 };
        SplitAmount { open: usage.open.max(two_workers), ..usage }
    }

    /// What a scheduler that has this much requests from others. The running-only part is requested only
    /// once the open one runs out.
    pub fn shortfall(self, has: SplitAmount) -> SplitAmount {
        let (low, high) = (self.over(HORIZON_SECONDS * LOW_WATERMARK), self.over(HORIZON_SECONDS * 2.0));
        let lacks_one_worker = self.new > 0.0 && has.open < self.largest_request;
        let open = if has.open < low.open || lacks_one_worker {
            (high.open + self.largest_request).saturating_sub(has.open)
        } else {
            0
        };
        let is_short = has.open < low.running_only && has.running_only < low.running_only;
        SplitAmount { open, running_only: if is_short { high.running_only - has.running_only } else { 0 } }
    }
}

/// What a donor with this much share and this usage of its own gives to a member that requests `requested`.
pub fn amount_to_give(has: SplitAmount, usage: Usage, requested: SplitAmount) -> SplitAmount {
    let spare = has.saturating_sub(usage.own_need());
    let is_idle = usage.is_idle();
    let give = |requested: u64, spare: u64| match requested {
        0 => 0,
        requested if is_idle => requested.max(spare / 2).min(spare),
        requested => requested.min(spare),
    };
    SplitAmount {
        open: give(requested.open, spare.open),
        running_only: give(requested.running_only, spare.running_only),
    }
}

/// Chooses the member to request a transfer from, at random, weighted by what each is believed to have.
pub fn choose_donor<'a>(random: &mut Pcg, others: &[(&'a Name, u64)]) -> Option<&'a Name> {
    let total = others.iter().fold(0u64, |sum, (_, has)| sum.saturating_add(*has));
    let mut position = (total as f64 * random.fraction()) as u64;
    for (name, has) in others {
        if *has > 0 && position < *has {
            return Some(name);
        }
        position = position.saturating_sub(*has);
    }
    None
}

/// When rejected clients may retry: after shares were transferred, where other members have some, and much
/// later where nobody has, so that retries are cheap in a month that is spent.
pub fn retry_after(others_have_share: bool, left_of_month: Duration) -> RetryAfter {
    let (min, max) = if others_have_share { TRANSFER_RETRY_MS } else { EXHAUSTED_RETRY_MS };
    let bound = |ms: u64| Duration::from_nanos(ms * 1_000_000).min(left_of_month);
    RetryAfter { min: bound(min), max: bound(max) }
}

#[cfg(test)]
mod tests;
