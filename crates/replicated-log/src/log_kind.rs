//! The two logs that a scheduler writes in an incarnation.

/// Which of a writer's two logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LogKind {
    /// Copied by all members: balances, directives, and of work what is not ordinary.
    Fleet,
    /// Ordinary work, copied by the writer's replicas alone.
    Work,
}

/// Both kinds, in the order in which they are handled.
pub const LOG_KINDS: [LogKind; 2] = [LogKind::Fleet, LogKind::Work];

/// A position in each of our own two logs: the number of the last entry that is on disk, or is to be written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogPositions {
    /// In the fleet log.
    pub fleet: u64,
    /// In the work log.
    pub work: u64,
}

impl LogPositions {
    /// The later position in each log.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self { fleet: self.fleet.max(other.fleet), work: self.work.max(other.work) }
    }
}
