//! The connection to a machine, and which tasks may be sent on it.

use mulleinhub_interface::{Duration, MachineId, TaskId, Timestamp};
use mulleinhub_platform_protocol::FrameBuffer;
use mulleinhub_sans_io::CloseReason;
use std::collections::VecDeque;

/// Attempts that were given up or refused on one connection and are remembered there.
const MAX_REMEMBERED: usize = 64;

/// Why this side closes a connection to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalClose {
    /// Nothing was sent or received on it for a while.
    Idle,
    /// The pool is used up, and its descriptor is needed for another machine.
    PoolExhausted,
    /// Late answers may still come on it, and a start request needs a connection without any.
    LateAnswersPossible,
    /// Another machine has the address.
    Replaced,
    /// It was a probe, and a later one was established.
    LaterProbe,
}

/// What a connection to a machine is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPurpose {
    /// Start requests: it was opened for one, or one was sent on it.
    Requests,
    /// To find out whether a silent machine is there.
    Probe,
    /// Reports that the machine is to repeat on it, or orders that wait.
    Reports,
}

/// An attempt that was given up on a connection; an acceptance of it is a late one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUpAttempt {
    /// The task.
    pub task: TaskId,
    /// Whether the task is to be stopped if its machine accepts it all the same.
    pub stop_if_accepted: bool,
}

/// A connection to a machine.
#[derive(Debug)]
pub struct MachineConnection {
    /// The machine.
    pub machine: MachineId,
    /// Bytes received and not handled yet.
    pub frames: FrameBuffer,
    /// Since when a part of a message has been here, if one is.
    pub partial_since: Option<Timestamp>,
    /// How long those may have lain unread in the system.
    pub unread_wait: Duration,
    /// How it was closed, once it was; what was received before is handled first.
    pub close_reason: Option<CloseReason>,
    /// It stands in the queue of connections to be handled.
    pub queued: bool,
    /// When it was asked for.
    pub opened_at: Timestamp,
    /// It was established.
    pub established: bool,
    /// When its machine had last shown before that that it was alive.
    pub machine_seen_before: Timestamp,
    /// This side has closed its sending side, and waits for the machine to close, too.
    pub retired: bool,
    /// What it is for.
    pub purpose: ConnectionPurpose,
    /// The machine sent something on it that shows that it is alive.
    pub proved_alive: bool,
    /// When something was last sent or received on it.
    pub used_at: Timestamp,
    /// Start requests that wait for their answers here.
    pub awaiting: Vec<TaskId>,
    /// Attempts given up here.
    pub given_up: VecDeque<GivenUpAttempt>,
    /// Tasks whose attempts ended here before they ran. Guards against: a rejection that came twice was taken
    /// for one of the task's next attempt on the same connection.
    pub refused: VecDeque<TaskId>,
}

impl MachineConnection {
    /// A connection that was just asked for.
    pub fn new(machine: MachineId, now: Timestamp) -> Self {
        Self {
            machine,
            frames: FrameBuffer::default(),
            partial_since: None,
            unread_wait: Duration::ZERO,
            close_reason: None,
            queued: false,
            opened_at: now,
            established: false,
            machine_seen_before: now,
            retired: false,
            purpose: ConnectionPurpose::Requests,
            proved_alive: false,
            used_at: now,
            awaiting: Vec::new(),
            given_up: VecDeque::new(),
            refused: VecDeque::new(),
        }
    }

    /// The attempt of this task no longer waits for its answer here.
    pub fn remove_awaiting(&mut self, task: TaskId) {
        self.awaiting.retain(|other| *other != task);
    }

    /// Remembers that an attempt was given up here.
    pub fn record_given_up(&mut self, task: TaskId, stop_if_accepted: bool) {
        if self.given_up.len() == MAX_REMEMBERED {
            self.given_up.pop_front();
        }
        self.given_up.push_back(GivenUpAttempt { task, stop_if_accepted });
    }

    /// Takes out the attempt of this task that was given up here.
    pub fn take_given_up(&mut self, task: TaskId) -> Option<GivenUpAttempt> {
        let position = self.given_up.iter().position(|attempt| attempt.task == task)?;
        self.given_up.remove(position)
    }

    /// Remembers that an attempt of this task ended here before it ran.
    pub fn record_refused(&mut self, task: TaskId) {
        if self.refused.len() == MAX_REMEMBERED {
            self.refused.pop_front();
        }
        self.refused.push_back(task);
    }

    /// Whether a start request of this task may be sent here: the late answer of an earlier one must not be
    /// taken for its own.
    pub fn may_carry(&self, task: TaskId) -> bool {
        let was_given_up = self.given_up.iter().any(|attempt| attempt.task == task);
        self.close_reason.is_none() && !was_given_up && !self.refused.contains(&task)
    }

    /// Whether it is established, and neither side has closed it.
    pub fn is_established(&self) -> bool {
        self.established && self.close_reason.is_none()
    }

    /// Whether it is established and no answer is awaited on it.
    pub fn is_idle(&self) -> bool {
        self.established && self.awaiting.is_empty()
    }
}
