//! What a timer of the scheduler stands for.

use crate::task::AttemptId;
use mulleinhub_interface::{MachineId, TaskId};
use mulleinhub_sans_io::ConnectionId;

/// What is to be done when a timer expires. Nothing is cancelled early: the handler checks whether it still
/// applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A timer of the policy, by the policy's own token.
    Policy(u64),
    /// The timeout of an attempt.
    AttemptTimeout(AttemptId),
    /// A machine may be connected to again.
    Reconnect(MachineId),
    /// A machine has been unreachable for so long that its tasks are lost.
    MachineLost(MachineId),
    /// The next liveness check of a machine, on this connection alone: the next connection has its own.
    Ping(MachineId, ConnectionId),
    /// The endpoint list may be connected to again.
    ConnectToEndpointList,
    /// The start waits no longer for machines to report their tasks.
    StartupGrace,
    /// The oldest of the kept answers and unresolved attempts expire.
    ExpireAnswers,
    /// A machine has not said in time whether it holds a claimed task.
    ClaimTimeout(TaskId),
    /// Offers that the slow-start gate of a machine held back may be written.
    ReleaseOffers(MachineId),
}
