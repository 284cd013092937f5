//! Message types.

/// A client or scheduler requests the start of a task.
pub const START: u8 = 1;
/// A scheduler or machine reports that the request is being processed.
pub const PROGRESS: u8 = 6;
/// The task is accepted.
pub const ACCEPT: u8 = 9;
/// A rejection, a cancelled start request, or the release of a running task: the cause and the state of the
/// task tell which.
pub const RELEASE: u8 = 12;
/// A release was received.
pub const RELEASE_ACK: u8 = 16;
/// A machine reports a named value, or the reason of an outcome.
pub const NOTE: u8 = 44;
/// A running task migrates to another machine.
pub const MIGRATE: u8 = 51;
/// A health check.
pub const HEALTH_CHECK: u8 = 52;
/// The result of a health check.
pub const HEALTH_RESULT: u8 = 53;
