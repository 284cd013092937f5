//! What a scheduler has reserved, spent and transferred of a team's monthly cap. All amounts are in
//! micro-units.

use crate::name::Name;
use minicbor::{Decode, Encode};

/// An amount of a team's cap in two parts: one that any work may use, and one that is set aside for work
/// that runs already or is restarted. In micro-units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct SplitAmount {
    /// For new work.
    #[n(0)]
    pub open: u64,
    /// Only for work that runs, or comes again after it was lost, moved or evicted.
    #[n(1)]
    pub running_only: u64,
}

impl SplitAmount {
    /// Both parts together.
    pub fn total(self) -> u64 {
        self.open.saturating_add(self.running_only)
    }

    /// Adds each part.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            open: self.open.saturating_add(other.open),
            running_only: self.running_only.saturating_add(other.running_only),
        }
    }

    /// Subtracts each part, down to zero.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            open: self.open.saturating_sub(other.open),
            running_only: self.running_only.saturating_sub(other.running_only),
        }
    }
}

/// What a scheduler did with a team's cap in a month.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Balance {
    /// Reserved out of the scheduler's share, to be spent; what was returned is subtracted.
    #[n(0)]
    pub reserved: SplitAmount,
    /// The cost of the work that it ran.
    #[n(1)]
    pub spent: u64,
    /// The part of `spent` that no reservation covered.
    #[n(2)]
    pub overspent: u64,
    /// Reserved and transferred out by incarnations whose share is void: their initial share and the
    /// transfers to them no longer count, so neither does this.
    #[n(3)]
    pub voided: SplitAmount,
    /// The instant up to which `spent` counts, in milliseconds of Unix time.
    #[n(4)]
    pub at: u64,
}

/// Identifies the transfers of a team's share to a receiver in a month. They belong to one incarnation of
/// the receiver: one that restarts and doesn't know what it has used must not use it again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct ShareTransfer {
    /// The team whose share it is.
    #[n(0)]
    pub team: Name,
    /// The month, counted from year zero.
    #[n(1)]
    pub month: u32,
    /// The receiving scheduler.
    #[n(2)]
    pub to: Name,
    /// The receiver's incarnation.
    #[n(3)]
    pub incarnation: u64,
}

impl ShareTransfer {
    /// The least key of a team and month: transfers of one month are the range up to that of the next.
    pub(crate) fn first_of_month(team: &Name, month: u32) -> Self {
        Self { team: team.clone(), month, to: Name::from(""), incarnation: 0 }
    }
}
