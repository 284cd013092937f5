//! Machines as the endpoint list and their own load reports describe them.

use crate::{CellId, KindId, MachineId, Resources, Timestamp, ZoneId};

/// Whether a machine takes tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// It takes new tasks.
    Active,
    /// It takes no new tasks and is shutting down gracefully.
    Draining,
    /// It is no longer part of the cluster.
    Removed,
}

/// One machine of an endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct MachineEntry {
    /// Names the machine.
    pub id: MachineId,
    /// Its kind, which gives its capacity.
    pub kind: KindId,
    /// The cell that it belongs to.
    pub cell: CellId,
    /// The zone that it belongs to.
    pub zone: ZoneId,
    /// Whether it takes tasks.
    pub state: MachineState,
    /// When it last started; absent where that is long ago.
    pub started_at: Option<Timestamp>,
    /// Capacity minus the requests of all tasks on it, where the list reports it.
    pub available: Option<Resources>,
}

/// How complete and how recent an endpoint list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the machines that changed.
    Delta,
    /// All machines; those that are missing were removed.
    Snapshot,
    /// All machines as an earlier incarnation of this scheduler stored them; possibly outdated.
    Cached,
}

/// What a machine reports about its own load; parts that it does not report are absent.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Capacity minus actual usage.
    pub unused: Option<Resources>,
}
