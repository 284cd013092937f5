//! How often balances are written down, and how much is drawn at a time, where their number would
//! otherwise fill the exchange.
//!
//! Each member that uses a team's cap writes its balance for all members. So many balances a second as one
//! a second for each team at each member are too many for large fleets; what they are for, the look whether
//! a cap is nearly spent, needs them often only near its end.

use crate::shares::BLOCK;
use mulleinhub_interface::Duration;
use mulleinhub_replicated_log::Balance;

/// What was spent is written down this often at the most, where nothing else is: a crash leaves so much to
/// be reckoned.
pub const LEAST_PERIOD: Duration = Duration::from_secs(1);
/// About what one balance costs each member, in bytes, and what all that are written together cost beside:
/// ends of logs that are told, and the asking for rows.
const BALANCE: u64 = 64;
const TELLING: u64 = 400;
/// What balances of the whole fleet may cost each member in a second, in bytes.
const BUDGET: u64 = 4_096;
/// A cap whose open part is spent but for this part of it is watched closely.
const CLOSE: u64 = 20;

/// Between two writings of a team's balance, and what a block that is drawn lasts for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    pub period: Duration,
    /// In seconds of use.
    pub block: f64,
}

impl Pace {
    /// As it was before there were work logs, and is for caps that are nearly spent.
    pub const QUICK: Self = Self { period: LEAST_PERIOD, block: BLOCK };

    /// For so many members, each of which uses so many teams' caps as we do.
    pub fn of_fleet(members: usize, teams: usize) -> Self {
        let each = (teams as u64).saturating_mul(BALANCE).saturating_add(TELLING);
        let bytes = (members as u64).saturating_mul(each);
        let period = Duration::from_secs(1) * (bytes as f64 / BUDGET as f64);
        let period = period.max(LEAST_PERIOD);
        Self { period, block: (2.0 * period.ratio_to(Duration::from_secs(1))).max(BLOCK) }
    }
}

/// Whether all together have nearly spent the open part of a cap, or more than it, or we owe.
pub fn is_close(open: u64, spent: u64, own: Balance) -> bool {
    own.beyond > 0 || spent >= open - open / CLOSE
}
