//! How attempts to run a task on a machine end.

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The task ran to its end.
    Succeeded,
    /// The machine failed to run the task.
    Failed,
    /// The machine refused the attempt; the task did not run.
    Rejected(Rejection),
    /// The attempt's timeout passed without an answer.
    TimedOut,
    /// No connection to the machine; the attempt was never delivered.
    ConnectionFailed,
    /// The task was interrupted, or the connection broke while its fate was open.
    Lost(FailureCause),
    /// The scheduler cancelled the attempt.
    Cancelled,
    /// The attempt was dropped before it was written to a connection.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt did not execute the task.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::Rejected(_) | Self::ConnectionFailed | Self::NotSent)
    }
}

/// Why a machine rejected an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// It gave no reason.
    Unspecified,
    /// It had accepted the task and returned it before it ran.
    Returned,
    /// Too few cores are available.
    InsufficientCores,
    /// Too little memory is available.
    InsufficientMemory,
    /// Its queue of starts is full.
    QueueFull,
    /// It does not take such tasks, or none at all at present.
    Ineligible,
}

/// Why a task that had been accepted ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// Unknown: the machine or the connection to it was lost.
    Unspecified,
    /// Evicted by its machine, which ran out of memory.
    Evicted,
    /// Preempted on its machine by a task of higher priority.
    Preempted,
    /// Ended because its machine drains, or because a scheduler moved it.
    Relocated,
}
