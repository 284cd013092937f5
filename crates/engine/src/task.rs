//! The records of open tasks, of their attempts, and of answers given.

use mulleinhub_interface::{MachineId, TaskId, TaskSpec, Ticket, Timestamp};
use mulleinhub_protocol::{self as protocol, Message, Shape};
use mulleinhub_sans_io::ConnectionId;

/// Names one attempt of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt among those of its task, from 0.
    pub number: u32,
}

impl AttemptId {
    /// The attempt of this number, as messages name it.
    pub fn new(task: u64, number: u32) -> Self {
        Self { task: TaskId(task), number }
    }
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptPhase {
    /// Decided on; no machine has accepted it yet.
    Offered,
    /// A machine has accepted it.
    Placed {
        /// The machine reported that the task started.
        running: bool,
        /// The machine was asked to stop it, by preemption or cancellation.
        stopping: bool,
    },
}

impl AttemptPhase {
    /// Whether a machine has accepted the attempt.
    pub fn is_placed(self) -> bool {
        matches!(self, Self::Placed { .. })
    }

    /// Whether the machine was asked to stop the task.
    pub fn is_stopping(self) -> bool {
        matches!(self, Self::Placed { stopping: true, .. })
    }

    /// Notes that the machine is asked to stop the task. An attempt that is not placed is cancelled instead.
    pub fn stop(&mut self) {
        if let Self::Placed { stopping, .. } = self {
            *stopping = true;
        }
    }

    /// Notes that the task started. True where it is placed and was not known to run before.
    pub fn start(&mut self) -> bool {
        match self {
            Self::Placed { running, .. } => !std::mem::replace(running, true),
            Self::Offered => false,
        }
    }
}

/// The attempt of a task that is in flight.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Its number among the attempts of its task, from 0.
    pub number: u32,
    /// The machine that it was sent to.
    pub machine: MachineId,
    /// The connection that carried the offer. None while the offer waits for one.
    pub connection: Option<ConnectionId>,
    /// Names the offer among the unsent frames of its connection.
    pub send_token: u64,
    /// When the policy decided on it.
    pub decided_at: Timestamp,
    /// When its timeout expires.
    pub times_out_at: Timestamp,
    /// How far it has come.
    pub phase: AttemptPhase,
}

impl Attempt {
    /// Its name, as an attempt of this task.
    pub fn id(&self, task: TaskId) -> AttemptId {
        AttemptId { task, number: self.number }
    }

    /// Whether this is the attempt of this number on this machine.
    pub fn is(&self, machine: MachineId, number: u32) -> bool {
        self.machine == machine && self.number == number
    }
}

/// An open task.
#[derive(Debug)]
pub struct TaskRecord {
    /// What the policy knows of it.
    pub spec: TaskSpec,
    /// What the client asked for, as on the wire.
    pub shape: Shape,
    /// The name of its client.
    pub client: String,
    /// The connection on which the client asked for it last.
    pub client_connection: Option<ConnectionId>,
    /// When it was accepted from the client.
    pub accepted_at: Timestamp,
    /// How many attempts were started.
    pub attempts: u32,
    /// The attempt in flight, if any.
    pub attempt: Option<Attempt>,
    /// When the first attempt was decided on that may have run, if any may.
    pub may_have_run_since: Option<Timestamp>,
    /// Its client has cancelled it.
    pub cancelled: bool,
    /// Handed over by its client; the machine has not said yet that it holds the task.
    pub claiming: bool,
    /// Its client has had the final answer, or none is owed.
    pub answered: bool,
    /// Its place within the quota of its tenant, where that is counted.
    pub ticket: Option<Ticket>,
}

/// The final answer to a task, also for a client that asks again later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// Rejected; the client is to stay away for so many nanoseconds.
    Rejected(u64),
    /// Failed: it may have run, and no retry is allowed.
    Failed,
    /// It was placed and has ended.
    Ended(protocol::Ending),
    /// Its client has cancelled it.
    Cancelled,
}

impl FinalAnswer {
    /// The message that notifies a client of it.
    pub fn message(self, id: TaskId) -> Message<'static> {
        match self {
            Self::Rejected(stay_away) => Message::Nacked { task: id.0, stay_away },
            Self::Failed => Message::Errored { task: id.0 },
            Self::Ended(ending) => Message::Ended { task: id.0, ending },
            Self::Cancelled => Message::Ended { task: id.0, ending: protocol::Ending::Stopped },
        }
    }
}

/// An attempt that is over without proof that it never ran: a machine may still accept it.
#[derive(Debug)]
pub struct UnresolvedAttempt {
    /// What the client asked for.
    pub shape: Shape,
    /// The name of its client.
    pub client: String,
    /// Its client has not cancelled the task, as far as is known.
    pub wanted: bool,
}
