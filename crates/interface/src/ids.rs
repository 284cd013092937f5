//! Identifiers, one type for each kind of thing, so that they cannot be mixed up.

/// Names one submission of a task; unique among the submissions that one scheduler handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u64);

/// Names a task across submissions: the same each time that a client submits the task again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey(pub u64);

/// Names a machine; it keeps its id when it restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineId(pub u64);

/// Names a service: tasks of one service run the same program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u64);

/// Names a zone, a failure domain of many cells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneId(pub u32);

/// Names a cell, a failure domain of many machines within one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellId(pub u32);

/// The index of a machine kind in [`PolicySettings::machine_kinds`](crate::PolicySettings::machine_kinds).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindId(pub usize);

/// The index of a use case in [`PolicySettings::use_cases`](crate::PolicySettings::use_cases).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UseCaseId(pub usize);
