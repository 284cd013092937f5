//! The two logs that a scheduler may write in a life, and what of both is to be kept on disk.

use crate::log_store::{Change, Kept};

/// Which of a writer's two logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Copied by all members: money, orders, and of work what is not ordinary.
    Fleet,
    /// Ordinary work, copied by the writer's replicas alone.
    Work,
}

/// Both kinds, in the order in which they are looked at.
pub const KINDS: [Kind; 2] = [Kind::Fleet, Kind::Work];

/// What changed in both kinds of logs and is to be kept, all of it or nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    pub fleet: Vec<Change>,
    pub work: Vec<Change>,
}

impl Changes {
    pub fn is_empty(&self) -> bool {
        self.fleet.is_empty() && self.work.is_empty()
    }

    /// Those that came later.
    pub fn extend(&mut self, later: Self) {
        self.fleet.extend(later.fleet);
        self.work.extend(later.work);
    }

    /// All of them with the kind of their log.
    pub fn into_each(self) -> impl Iterator<Item = (Kind, Change)> {
        let fleet = self.fleet.into_iter().map(|change| (Kind::Fleet, change));
        fleet.chain(self.work.into_iter().map(|change| (Kind::Work, change)))
    }
}

impl From<Vec<Change>> for Changes {
    fn from(fleet: Vec<Change>) -> Self {
        Self { fleet, work: Vec::new() }
    }
}

/// What earlier lives left on disk, of both kinds of logs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KeptLogs {
    pub fleet: Vec<Kept>,
    pub work: Vec<Kept>,
}

impl From<Vec<Kept>> for KeptLogs {
    fn from(fleet: Vec<Kept>) -> Self {
        Self { fleet, work: Vec::new() }
    }
}

/// Up to which row each of our own two logs is on disk, or stands among changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reached {
    pub fleet: u64,
    pub work: u64,
}

impl Reached {
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self { fleet: self.fleet.max(other.fleet), work: self.work.max(other.work) }
    }
}
