//! Codes of why a task was rejected or cancelled, or has ended.

/// The cause of a release, as one byte.
pub type Cause = u8;

/// The release of a task that has ended; before an acceptance, a start request that was withdrawn.
pub const ENDED: Cause = 16;
/// The client has cancelled the task.
pub const CANCELLED: Cause = 31;
/// Rejected for lack of capacity: the task never ran.
pub const FULL: Cause = 34;
/// The connection to the machine was lost.
pub const RESET: Cause = 41;
/// Rejected because of overload: the task never ran.
pub const BUSY: Cause = 42;
/// The task has failed.
pub const ERROR: Cause = 47;
/// The request was never sent to a machine.
pub const NOT_SENT: Cause = 102;
