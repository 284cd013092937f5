//! The tasks that this scheduler holds, each with its attempt that is in flight or running.

use mulleinhub_interface::{MachineId, TaskId, TaskSpec, Timestamp};
use mulleinhub_limits::PayloadReservation;
use mulleinhub_sans_io::ConnectionId;
use std::collections::{BTreeMap, BTreeSet};

/// The parts of a start request that go on to a machine unchanged. Dropped once the task runs.
#[derive(Debug)]
pub struct RequestPayload {
    /// The task's name, in hexadecimal.
    pub name: String,
    /// The idempotency key, where the use case has one.
    pub key: Option<String>,
    /// The task's description, opaque to the scheduler.
    pub description: Vec<u8>,
    /// Its place in the memory for payloads.
    #[expect(dead_code, reason = "frees the place once the payload is dropped")]
    pub reservation: PayloadReservation,
}

/// One attempt to start a task on a machine: the task, and the attempt's number within it, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The task that is to be started.
    pub task: TaskId,
    /// Attempts of this task before this one.
    pub number: u32,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// No connection carries it: the slow-start gate holds it back, or no connection may be opened.
    Queued,
    /// Its start request was handed to this connection, under a token by which it can be withdrawn while no
    /// byte of it has been written.
    Sent {
        /// The connection that carries the start request.
        connection: ConnectionId,
        /// Names the start request among the unsent frames of that connection.
        token: u64,
    },
    /// The task runs: its machine accepted it, or it was running when this scheduler adopted it.
    Running {
        /// The connection on which the machine accepted it; none for an adopted task.
        connection: Option<ConnectionId>,
        /// When its machine accepted it at the earliest, or this scheduler adopted it.
        since: Timestamp,
    },
}

/// The latest attempt of a task, while its outcome is unknown.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Attempts of the task before this one.
    pub number: u32,
    /// The machine that the policy chose.
    pub machine: MachineId,
    /// How far it has come.
    pub state: AttemptState,
    /// When the policy decided on it.
    pub decided_at: Timestamp,
    /// When the wait for an answer ends.
    pub deadline: Timestamp,
    /// It is not written later than this.
    pub write_deadline: Timestamp,
    /// It was written to a second connection, as the first one was reset before a byte of it had left.
    pub rewritten: bool,
}

impl Attempt {
    /// An attempt that is decided on now and that no connection carries yet.
    pub fn new(number: u32, machine: MachineId, now: Timestamp, deadline: Timestamp) -> Self {
        Self {
            number,
            machine,
            state: AttemptState::Queued,
            decided_at: now,
            deadline,
            write_deadline: Timestamp::from_nanos(u64::MAX),
            rewritten: false,
        }
    }

    /// Its id, as an attempt of this task.
    pub fn id(&self, task: TaskId) -> AttemptId {
        AttemptId { task, number: self.number }
    }

    /// The connection that carried it, if any did.
    pub fn connection(&self) -> Option<ConnectionId> {
        match self.state {
            AttemptState::Queued => None,
            AttemptState::Sent { connection, .. } => Some(connection),
            AttemptState::Running { connection, .. } => connection,
        }
    }

    /// Since when the task has been running, if it is.
    pub fn running_since(&self) -> Option<Timestamp> {
        match self.state {
            AttemptState::Running { since, .. } => Some(since),
            AttemptState::Queued | AttemptState::Sent { .. } => None,
        }
    }

    /// Whether the task runs on the machine.
    pub fn is_running(&self) -> bool {
        self.running_since().is_some()
    }
}

/// What the client of a task still wants of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientInterest {
    /// It waits for the final answer.
    AwaitsAnswer,
    /// It had the final answer, or needs none, and it wants to be notified of the task's end.
    AwaitsEnd,
    /// It cancelled the task or left before the answer: it gets no answer.
    Cancelled,
}

/// A task that this scheduler holds.
#[derive(Debug)]
pub struct TaskRecord {
    /// The task as the policy knows it.
    pub spec: TaskSpec,
    /// What is sent to a machine; none once the task runs.
    pub payload: Option<Box<RequestPayload>>,
    /// The client connection that it came on, unless its client left.
    pub client: Option<ConnectionId>,
    /// Attempts so far.
    pub attempts: u32,
    /// The attempt whose outcome is unknown.
    pub attempt: Option<Attempt>,
    /// When the first attempt was decided on that may have run, if any.
    pub may_have_run_since: Option<Timestamp>,
    /// What its client still wants.
    pub interest: ClientInterest,
}

impl TaskRecord {
    /// A task whose client waits for its answer on this connection.
    pub fn new(spec: TaskSpec, client: ConnectionId) -> Self {
        Self {
            spec,
            payload: None,
            client: Some(client),
            attempts: 0,
            attempt: None,
            may_have_run_since: None,
            interest: ClientInterest::AwaitsAnswer,
        }
    }

    /// Whether it waits for a final answer.
    pub fn awaits_answer(&self) -> bool {
        self.interest == ClientInterest::AwaitsAnswer
    }

    /// Whether its client wants nothing of it any more.
    pub fn is_cancelled(&self) -> bool {
        self.interest == ClientInterest::Cancelled
    }

    /// The attempt that runs, if the task does.
    pub fn running_attempt(&self) -> Option<Attempt> {
        self.attempt.filter(Attempt::is_running)
    }
}

/// All tasks that this scheduler holds. In memory only: lost with the process, and adopted again when clients
/// hand their running tasks to another scheduler.
#[derive(Debug, Default)]
pub struct Tasks {
    /// The tasks by their ids.
    pub by_id: BTreeMap<TaskId, TaskRecord>,
    /// How many of them wait for a final answer.
    pub unanswered: usize,
    /// Those that run, by their machines.
    running: BTreeMap<MachineId, BTreeSet<TaskId>>,
}

impl Tasks {
    /// The attempt of this task whose outcome is unknown.
    pub fn attempt(&self, id: TaskId) -> Option<Attempt> {
        self.by_id.get(&id).and_then(|task| task.attempt)
    }

    /// This task runs on this machine from now on.
    pub fn record_running(&mut self, id: TaskId, machine: MachineId) {
        self.running.entry(machine).or_default().insert(id);
    }

    /// This task runs on this machine no longer.
    pub fn remove_running(&mut self, id: TaskId, machine: MachineId) {
        let Some(tasks) = self.running.get_mut(&machine) else { return };
        tasks.remove(&id);
        if tasks.is_empty() {
            self.running.remove(&machine);
        }
    }

    /// Whether any task runs on this machine.
    pub fn any_running_on(&self, machine: MachineId) -> bool {
        self.running.contains_key(&machine)
    }

    /// The attempts that run on this machine, with their tasks.
    pub fn running_on(&self, machine: MachineId) -> Vec<(TaskId, Attempt)> {
        let ids = self.running.get(&machine).into_iter().flatten();
        ids.filter_map(|id| Some((*id, self.by_id.get(id)?.running_attempt()?))).collect()
    }

    /// On how many machines tasks run.
    pub fn machines_in_use(&self) -> usize {
        self.running.len()
    }

    /// How many tasks run.
    pub fn running_count(&self) -> usize {
        self.running.values().map(BTreeSet::len).sum()
    }
}

/// A task's id as the platform writes it, for the log.
pub fn hex(id: TaskId) -> String {
    format!("{:016x}", id.0)
}
