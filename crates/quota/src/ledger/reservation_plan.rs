//! How much of a team's share is reserved or returned at a tick.

use crate::pace::{MIN_PERIOD, Pace};
use crate::reservation_pool::PoolSnapshot;
use crate::share_policy::Usage;
use mulleinhub_replicated_log::SplitAmount;

/// At least this fraction (one in so many) of the free share is kept reserved, even without any demand, so
/// that the first worker of a burst need not wait for the disk.
const MIN_RESERVATION_DIVISOR: u64 = 64;
/// Between two batches of balances, a reservation is renewed once less than this fraction (one in so many)
/// of it is left.
const LOW_RESERVATION_DIVISOR: u64 = 8;

/// The situation of one team at a tick. Amounts are in micro-units.
pub(super) struct ReservationPlan {
    pub(super) snapshot: PoolSnapshot,
    pub(super) usage: Usage,
    /// What is left of our share.
    pub(super) free: SplitAmount,
    /// Available in the pool, or reserved and not on disk yet.
    pub(super) reserved: SplitAmount,
    pub(super) pace: Pace,
    /// A batch of balances is written at this tick.
    pub(super) is_batch: bool,
}

impl ReservationPlan {
    /// The size of a reservation.
    fn target(&self) -> SplitAmount {
        let target = self.usage.reservation(self.pace.reservation_seconds);
        SplitAmount { open: target.open.max(self.free.open / MIN_RESERVATION_DIVISOR), ..target }
    }

    fn is_fast(&self) -> bool {
        self.pace == Pace::FAST
    }

    /// The open part is renewed below this. With a batch of balances reservations are filled up, so that few
    /// balances are written between two batches.
    fn low_watermark(&self, target: SplitAmount) -> u64 {
        match (self.is_fast(), self.is_batch) {
            (true, _) => target.open / 2,
            (false, true) => target.open,
            (false, false) => target.open / LOW_RESERVATION_DIVISOR,
        }
    }

    /// What is to be reserved: for new and running workers out of the open part, and, once that is used up,
    /// for running workers out of the running-only part.
    pub(super) fn to_reserve(&self) -> SplitAmount {
        let target = self.target();
        let (free, reserved, debt) = (self.free, self.reserved, self.snapshot.debt);
        let is_low = reserved.open < self.low_watermark(target);
        let missing = if is_low { target.open - reserved.open } else { 0 };
        let open = (missing + debt).min(free.open);
        let debt_left = debt.saturating_sub(open);
        let missing_last = target.running_only.saturating_sub(reserved.open + open + reserved.running_only);
        let last = if free.open > open { 0 } else { (debt_left + missing_last).min(free.running_only) };
        SplitAmount { open, running_only: last }
    }

    /// What is to be returned from the pool into our share, from where it can be transferred, while nobody
    /// requests it here.
    pub(super) fn to_return(&self) -> SplitAmount {
        let target = self.target();
        let available = self.snapshot.available.open;
        let may_return = self.is_fast() || self.is_batch;
        if may_return && self.usage.has_no_demand() && available > target.open.saturating_mul(2) {
            SplitAmount { open: available - target.open, running_only: 0 }
        } else {
            SplitAmount::default()
        }
    }

    /// Whether a changed balance is to be written, where the last one was written this long ago, in
    /// milliseconds.
    pub(super) fn is_balance_due(&self, age_ms: u64) -> bool {
        if self.is_fast() { age_ms * 1_000_000 >= MIN_PERIOD.nanos() } else { self.is_batch }
    }
}
