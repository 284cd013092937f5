//! Why an entry or a directive was refused.

use crate::balance::SplitAmount;
use crate::digest::Digest;
use crate::log_id::LogId;
use crate::name::Name;

/// Why entries of a peer or of a file were not appended, or a directive was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogError {
    /// An entry is too short to carry its kind.
    MissingKind,
    /// An entry of a known kind can't be decoded.
    Malformed(String),
    /// An entry other than a snapshot is too large.
    TooLarge {
        /// Its size in bytes.
        bytes: usize,
        /// The maximum size in bytes.
        limit: usize,
    },
    /// A first entry is not a snapshot.
    MissingSnapshot {
        /// The number of that entry.
        number: u64,
    },
    /// The digest that a log starts from is not that of an empty log of this writer and incarnation.
    WrongFirstDigest,
    /// Entries don't chain to the entry that they are said to follow.
    BrokenChain {
        /// The number of the entry that they are said to follow.
        after: u64,
    },
    /// Entries differ from ours in a part of the log that is compacted here.
    CompactedMismatch {
        /// The last compacted number.
        through: u64,
        /// Our digest there.
        digest: Digest,
    },
    /// A fork begins in a part of the log that is compacted here.
    ForkBeforeSnapshot {
        /// The last number that both branches share.
        from: u64,
    },
    /// A peer sent entries of our present incarnation that we didn't write.
    UnknownOwnEntries,
    /// A snapshot differs from the entries that it replaces.
    SnapshotDiffers,
    /// A snapshot beyond the head of our copy reports less than our copy does.
    SnapshotRegresses,
    /// A month is not later than the current one.
    MonthRegresses {
        /// The month of the entry.
        month: u32,
        /// The writer's current month.
        current: u32,
    },
    /// A balance belongs to a month that is closed already.
    ClosedMonth {
        /// The month of the entry.
        month: u32,
        /// The writer's current month.
        current: u32,
    },
    /// A balance reports less than an earlier one.
    SpendingRegresses {
        /// The team of the balance.
        team: Name,
        /// What the entry says was spent, in micro-units.
        spent: u64,
        /// What an earlier entry said, in micro-units.
        known: u64,
    },
    /// A total of transfers is lower than an earlier one.
    TransferRegresses {
        /// The receiver.
        to: Name,
        /// What the entry says.
        total: SplitAmount,
        /// What an earlier entry said.
        known: SplitAmount,
    },
    /// A cap was set for an account: only teams have caps.
    CapForAccount(Name),
    /// A team was suspended or reinstated: that is done to accounts.
    SuspensionOfTeam(Name),
}

impl std::fmt::Display for LogError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::MissingKind => f.write_str("an entry without a kind"),
            Self::Malformed(error) => write!(f, "an entry can't be read: {error}"),
            Self::TooLarge { bytes, limit } => write!(f, "an entry of {bytes} bytes, {limit} at most"),
            Self::MissingSnapshot { number } => {
                write!(f, "entry {number} has nothing before it and is no snapshot")
            }
            Self::WrongFirstDigest => f.write_str("a log that doesn't begin with its own name"),
            Self::BrokenChain { after } => {
                write!(f, "entries after {after} that don't chain to the entry that they are said to follow")
            }
            Self::CompactedMismatch { through, digest } => {
                write!(f, "entries up to {through} that don't match {digest:?}, which is compacted")
            }
            Self::ForkBeforeSnapshot { from } => write!(f, "a fork at entry {from}, which is compacted"),
            Self::UnknownOwnEntries => f.write_str("entries of our own incarnation that we didn't write"),
            Self::SnapshotDiffers => f.write_str("a snapshot differs from the entries that it replaces"),
            Self::SnapshotRegresses => f.write_str("a snapshot that takes back what earlier entries said"),
            Self::MonthRegresses { month, current } => {
                write!(f, "a log goes back: month {month} after month {current}")
            }
            Self::ClosedMonth { month, current } => {
                write!(f, "a log goes back: month {month} is closed, it is {current}")
            }
            Self::SpendingRegresses { team, spent, known } => {
                write!(f, "a log goes back: team {team} has spent {spent}, it had {known}")
            }
            Self::TransferRegresses { to, total, known } => {
                write!(f, "a log goes back: transferred {total:?} to {to}, it was {known:?}")
            }
            Self::CapForAccount(name) => write!(f, "a cap for account {name}: only teams have caps"),
            Self::SuspensionOfTeam(name) => {
                write!(f, "a suspension of team {name}: only accounts are suspended")
            }
        }
    }
}

impl std::error::Error for LogError {}

/// Where a persisted log can't be restored; what follows is left out, and comes back from other schedulers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DamagedLog {
    /// The damaged log.
    pub id: LogId,
    /// The number of the first entry that was refused.
    pub number: u64,
    /// Why it was refused.
    pub error: LogError,
}

impl std::fmt::Display for DamagedLog {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let LogId { writer, incarnation } = &self.id;
        let Self { number, error, .. } = self;
        write!(f, "log {writer} incarnation {incarnation} is damaged at entry {number}: {error}")
    }
}
