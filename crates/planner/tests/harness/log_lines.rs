//! Parts of the scheduler's log lines that tests look for. A line that is reworded is to be changed here,
//! too: a test that expects its absence would pass with any text.

/// Draining has begun.
pub const DRAINING_STARTED: &str = "health checks fail from now on";
/// A reload found an invalid configuration.
pub const CONFIGURATION_KEPT: &str = "the old one stays";
/// The process starts, and has not bound its address yet.
pub const STARTING: &str = "starting";
/// A machine connection was closed.
pub const CONNECTION_CLOSED: &str = "a connection is over";
/// A machine is listed as draining.
pub const MACHINE_DRAINING: &str = "Draining";
/// A machine is listed as active.
pub const MACHINE_ACTIVE: &str = "Active";
/// A machine was unreachable for so long that its tasks count as lost.
pub const TASKS_LOST: &str = "tasks are lost";
/// The process has run out of descriptors.
pub const ACCEPT_FAILED: &str = "can't be accepted";
