//! Hand-overs that cross something: the end of a task heard before its hand-over, and a hand-over heard
//! before the list names its machine.

use mulleinhub_interface::{Duration, MachineId, TaskId, TaskSpec, Timestamp};
use mulleinhub_platform_protocol::Cause;
use mulleinhub_sans_io::ConnectionId;
use std::collections::{BTreeMap, VecDeque};

/// For so long a hand-over waits until a list names its machine: lists reach schedulers up to some two
/// seconds apart, and whoever speaks wrongly is owed a word within three.
const LISTED_WITHIN: Duration = Duration::from_nanos(2_500_000_000);
/// For so long the end of a task that is not in hand may matter: until its scheduler is known to have died,
/// and its owner has waited and asked.
const MATTERS_FOR: Duration = Duration::from_secs(60);

/// A task that runs on a machine which no list has named yet.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    pub order: TaskSpec,
    pub machine: MachineId,
    pub owner: ConnectionId,
    pub until: Timestamp,
    /// Its owner has ended it meanwhile.
    pub given_up: bool,
}

#[derive(Debug, Default)]
pub struct HandOvers {
    /// The first to come first.
    pub waiting: VecDeque<Waiting>,
    /// Ends of tasks that were not in hand, by task and machine, and in their order. Met: what a machine told
    /// of a task whose scheduler had died, on a connection of ours, was dropped; handed over after that, the
    /// task was taken to run for ever.
    ends: BTreeMap<(TaskId, MachineId), Cause>,
    heard: VecDeque<(Timestamp, TaskId, MachineId)>,
}

impl HandOvers {
    /// A machine told the end of a task that is not in hand; of so many it is remembered.
    pub fn has_ended(&mut self, now: Timestamp, task: TaskId, machine: MachineId, cause: Cause, most: usize) {
        while self.heard.front().is_some_and(|(at, ..)| self.heard.len() >= most || now - *at > MATTERS_FOR) {
            let (_, task, machine) = self.heard.pop_front().expect("was there");
            self.ends.remove(&(task, machine));
        }
        if self.ends.insert((task, machine), cause).is_none() {
            self.heard.push_back((now, task, machine));
        }
    }

    /// How a task ended that is handed over now, where that was heard before.
    pub fn end_of(&self, task: TaskId, machine: MachineId) -> Option<Cause> {
        self.ends.get(&(task, machine)).copied()
    }

    /// Waits for its machine to be listed; gives until when.
    pub fn waits(
        &mut self,
        now: Timestamp,
        order: TaskSpec,
        machine: MachineId,
        owner: ConnectionId,
    ) -> Timestamp {
        let until = now + LISTED_WITHIN;
        self.waiting.push_back(Waiting { order, machine, owner, until, given_up: false });
        until
    }

    pub fn is_waiting(&self, task: TaskId) -> bool {
        self.waiting.iter().any(|waiting| waiting.order.id == task)
    }

    /// Its owner ends it. False where it does not wait here.
    pub fn give_up(&mut self, task: TaskId) -> bool {
        let waiting = self.waiting.iter_mut().find(|waiting| waiting.order.id == task);
        waiting.map(|waiting| waiting.given_up = true).is_some()
    }

    /// Those whose machine is listed by now.
    pub fn listed(&mut self, is_listed: impl Fn(MachineId) -> bool) -> Vec<Waiting> {
        let all = std::mem::take(&mut self.waiting);
        let (listed, wait_on): (VecDeque<_>, _) = all.into_iter().partition(|w| is_listed(w.machine));
        self.waiting = wait_on;
        listed.into()
    }

    /// The next one that has waited for too long.
    pub fn overdue(&mut self, now: Timestamp) -> Option<Waiting> {
        self.waiting.pop_front_if(|waiting| waiting.until <= now)
    }

    /// Ends that are remembered, for stories.
    #[cfg(test)]
    pub fn remembered(&self) -> usize {
        self.heard.len()
    }
}
