//! Work as logs report it. Work is identified by a key of 64 bits that is the same wherever it runs.

use crate::name::Name;
use minicbor::{Decode, Encode};
use std::collections::BTreeMap;

/// For how long work that was lost, moved or evicted may be submitted again as the same work, in
/// milliseconds: longer than clients wait.
pub const RESTART_WINDOW_MS: u64 = 10 * 60 * 1000;

/// In place of the number of an entry in [`crate::Entry::Announced`]: the announcement is withdrawn.
pub const ANNOUNCEMENT_WITHDRAWN: u64 = u64::MAX;

/// Work that runs.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RunningWork {
    /// The team that pays for it.
    #[n(0)]
    pub team: Name,
    /// Its cost in micro-units a second.
    #[n(1)]
    pub rate: u64,
    /// When it started, in milliseconds of Unix time.
    #[n(2)]
    pub since: u64,
}

/// Work that does not run but may be submitted again until an instant.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DisplacedWork {
    /// The team that pays for it.
    #[n(0)]
    pub team: Name,
    /// Until when, in milliseconds of Unix time.
    #[n(1)]
    pub until: u64,
}

/// Work of an unreachable member, as announced by a scheduler that holds a copy of its work log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct AnnouncedWork {
    /// The incarnation of the member whose work log it is.
    #[n(0)]
    pub incarnation: u64,
    /// The last entry of that log which the copy had.
    #[n(1)]
    pub number: u64,
    /// What ran by that log, by key.
    #[n(2)]
    pub work: BTreeMap<u64, RunningWork>,
}
