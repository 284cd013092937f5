//! Tasks in hand, and their sends.

use mulleinhub_interface::{MachineId, TaskId, TaskSpec, Timestamp};
use mulleinhub_sans_io::ConnectionId;
use std::collections::BTreeMap;

/// What goes on to a machine unchanged. It is let go once the task stands.
#[derive(Clone, Debug)]
pub struct Wanted {
    pub name: String,
    pub key: Option<String>,
    pub description: Vec<u8>,
}

/// The open send of a task.
#[derive(Clone, Copy, Debug)]
pub struct Open {
    pub number: u32,
    pub machine: MachineId,
    /// The connection that carries it, and its mark there. None while the gate holds it back.
    pub link: Option<ConnectionId>,
    pub mark: u64,
    /// When the module decided on it, and when the wait for an answer ends.
    pub decided: Timestamp,
    pub due: Timestamp,
    /// It is not written later than this.
    pub write_by: Timestamp,
    /// It was written anew, as its first connection was reset before a byte of it had left.
    pub anew: bool,
    pub placed_at: Option<Timestamp>,
}

#[derive(Debug)]
pub struct Job {
    pub order: TaskSpec,
    pub wanted: Option<Box<Wanted>>,
    pub owner: Option<ConnectionId>,
    pub sends: u32,
    pub open: Option<Open>,
    /// When the first send was decided on that may have run, if any.
    pub may_have_run: Option<Timestamp>,
    /// Its owner has had the final answer, or none is owed.
    pub answered: bool,
    /// Nobody wants it any more.
    pub abandoned: bool,
}

impl Open {
    /// A send decided on now, which nothing has carried yet.
    pub fn new(number: u32, machine: MachineId, now: Timestamp, due: Timestamp) -> Self {
        let write_by = Timestamp::from_nanos(u64::MAX);
        Self {
            number,
            machine,
            link: None,
            mark: 0,
            decided: now,
            due,
            write_by,
            anew: false,
            placed_at: None,
        }
    }
}

impl Job {
    /// A task that waits for its answer on this connection.
    pub fn new(order: TaskSpec, owner: ConnectionId) -> Self {
        Self {
            order,
            wanted: None,
            owner: Some(owner),
            sends: 0,
            open: None,
            may_have_run: None,
            answered: false,
            abandoned: false,
        }
    }

    pub fn placed(&self) -> Option<Open> {
        self.open.filter(|open| open.placed_at.is_some())
    }
}

#[derive(Debug, Default)]
pub struct Tasks {
    pub by_id: BTreeMap<TaskId, Job>,
    /// How many of them are owed a final answer.
    pub unanswered: usize,
}

impl Tasks {
    /// Those that stand on this machine.
    pub fn standing_on(&self, machine: MachineId) -> Vec<(TaskId, Open)> {
        let on = |(id, job): (&TaskId, &Job)| {
            job.placed().filter(|open| open.machine == machine).map(|open| (*id, open))
        };
        self.by_id.iter().filter_map(on).collect()
    }

    pub fn standing(&self) -> usize {
        self.by_id.values().filter(|job| job.placed().is_some()).count()
    }
}

/// A task's id as the platform writes it, for the log.
pub fn hex(id: TaskId) -> String {
    format!("{:016x}", id.0)
}
