//! How often balances are written to the log, and how much is reserved at a time.
//!
//! Each member that uses a team's cap writes its balance for all members to read. One balance per second,
//! team and member is too much traffic in a large fleet. Balances are needed that often only near the end
//! of a cap, where they tell whether it is nearly spent; otherwise the interval grows with the fleet.

use crate::share_policy::RESERVATION_SECONDS;
use mulleinhub_interface::Duration;
use mulleinhub_replicated_log::Balance;

/// Least time between two entries of what a team spent, where nothing else changed. After a crash, the cost
/// of this long is unaccounted for and has to be recomputed.
pub const MIN_PERIOD: Duration = Duration::from_secs(1);
/// Approximate cost of one balance at each member, in bytes.
const BALANCE_BYTES: u64 = 64;
/// Approximate cost of one batch of balances at each member beside the balances: log heads and requests for
/// entries, in bytes.
const BATCH_BYTES: u64 = 400;
/// What balances of the whole fleet may cost each member, in bytes per second.
const BYTES_PER_SECOND: u64 = 4_096;
/// A cap of whose open part less than one in this many is left is watched closely.
const NEARLY_SPENT_DIVISOR: u64 = 20;

/// How often a team's balance is written, and for how long a reservation lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Time between two entries of a team's balance.
    pub period: Duration,
    /// How much is reserved at a time, in seconds of usage.
    pub reservation_seconds: f64,
}

impl Pace {
    /// The pace of fleets without work logs, and of caps that are nearly spent.
    pub const FAST: Self = Self { period: MIN_PERIOD, reservation_seconds: RESERVATION_SECONDS };

    /// The pace for a number of members, each of which uses this many teams' caps.
    pub fn for_fleet(members: usize, teams: usize) -> Self {
        let member_bytes = (teams as u64).saturating_mul(BALANCE_BYTES).saturating_add(BATCH_BYTES);
        let fleet_bytes = (members as u64).saturating_mul(member_bytes);
        let period = Duration::from_secs(1) * (fleet_bytes as f64 / BYTES_PER_SECOND as f64);
        let period = period.max(MIN_PERIOD);
        let reservation_seconds = (2.0 * period.ratio_to(Duration::from_secs(1))).max(RESERVATION_SECONDS);
        Self { period, reservation_seconds }
    }
}

/// Whether the open part of a cap is nearly spent by the whole fleet, or this member spent more than it had.
pub fn is_nearly_spent(open: u64, spent: u64, own: Balance) -> bool {
    own.overspent > 0 || spent >= open - open / NEARLY_SPENT_DIVISOR
}
