//! Preemption: a hot machine sheds low-priority tasks of this scheduler, newest first.

use super::SchedulingRound;
use crate::interface::*;
use crate::state::{Machine, MachineSlot, TaskSlot, TaskState};

/// A machine is hot above this share of its capacity. The design's starting value is 0.8; but a preemption
/// costs a start, and until a machine is nearly used up it does little harm.
pub(super) const HOT_SHARE: f64 = 0.95;
/// The peaks of so many preempted tasks are kept until the tasks return.
pub(super) const HISTORY: usize = 64;

/// A task that was preempted, and its peak usage.
pub(super) struct PreemptedTask {
    key: TaskKey,
    peak_usage: Resources,
}

impl<D: Dispatch> SchedulingRound<'_, D> {
    /// Preempts low-priority tasks until the usage that remains is below the hot mark. The machine's peaks
    /// are then forgotten, so that a fresh report must come before more tasks go.
    pub(super) fn preempt_if_hot(&mut self, slot: MachineSlot) {
        let now = self.now;
        let machine = &mut self.policy.machines[slot];
        let usage = machine_peak_usage(machine, now);
        let limit = machine.capacity.scaled(HOT_SHARE, HOT_SHARE);
        if limit.fits(usage) {
            return;
        }
        machine.cores_utilization.clear();
        machine.memory_utilization.clear();
        // What is being stopped, by this scheduler or a client, ends soon. Seen: one hot machine, and two
        // tasks preempted for it.
        let machine = &self.policy.machines[slot];
        let terminating = self.terminating_usage(machine);
        let (usage, own_usage) = (usage - terminating, machine.usage - terminating);
        if limit.fits(usage) {
            return;
        }
        // Other schedulers see the same: this one sheds only its own part of the usage.
        let own_share = Resources::new(
            own_usage.cores / usage.cores.max(1e-9),
            own_usage.memory / usage.memory.max(1e-9),
        );
        let excess = (usage - limit).scaled(own_share.cores.min(1.0), own_share.memory.min(1.0));
        self.preempt_newest(slot, excess);
    }

    /// Last reported usage of the tasks on a machine that are being stopped.
    fn terminating_usage(&self, machine: &Machine) -> Resources {
        let tasks = machine.tasks.iter().map(|hosted| &self.policy.tasks[hosted.slot]);
        let terminating = tasks.filter(|task| task.state == TaskState::Terminating);
        terminating.fold(Resources::ZERO, |sum, task| sum + task.last_usage)
    }

    /// Preempts tasks, newest first, until their last usage covers the excess.
    fn preempt_newest(&mut self, machine: MachineSlot, mut excess: Resources) {
        for index in (0..self.policy.machines[machine].tasks.len()).rev() {
            let slot = self.policy.machines[machine].tasks[index].slot;
            if !self.is_preemptible(slot) {
                continue;
            }
            // Less than a whole task is shed with a probability of that part.
            let usage = self.policy.tasks[slot].last_usage;
            let part = (excess.cores / usage.cores).max(excess.memory / usage.memory);
            if part < self.policy.random.fraction() {
                break;
            }
            excess -= usage;
            self.preempt(slot);
        }
    }

    /// Whether a task may be preempted and would find resources elsewhere. One that was resubmitted stays:
    /// moving it once more would only pass the load around.
    fn is_preemptible(&self, slot: TaskSlot) -> bool {
        let task = &self.policy.tasks[slot];
        !task.spec.is_resubmitted
            && task.state == TaskState::Placed
            && task.last_usage != Resources::ZERO
            && self.policy.has_lowest_priority(slot)
            && self.fits_elsewhere(slot)
    }

    /// Only resources on a machine without pressure make a preemption worth its cost.
    fn fits_elsewhere(&self, slot: TaskSlot) -> bool {
        let policy = &*self.policy;
        let (task, use_case) = (&policy.tasks[slot], policy.use_case(slot));
        let staleness = policy.staleness(self.now);
        let mut service_counts = Vec::new();
        policy.count_service(task.spec.service, use_case, &mut service_counts);
        policy.machines.iter().any(|(candidate, machine)| {
            !machine.is_under_pressure(self.now)
                && self.is_eligible(task, use_case, candidate, &service_counts)
                && policy.has_resources(task, true, machine, policy.available(machine, staleness))
        })
    }

    /// Stops a task and keeps its peak usage for its return.
    fn preempt(&mut self, slot: TaskSlot) {
        let task = &mut self.policy.tasks[slot];
        let preempted = PreemptedTask { key: task.spec.key, peak_usage: task.peak_usage(self.now) };
        task.state = TaskState::Terminating;
        self.dispatch.preempt(task.spec.id);
        if self.policy.preempted.len() == HISTORY {
            self.policy.preempted.pop_front();
        }
        self.policy.preempted.push_back(preempted);
    }

    /// The peak usage of a task that was preempted lately and now returns. It is forgotten.
    pub(super) fn take_preempted_peak(&mut self, key: TaskKey) -> Option<Resources> {
        let index = self.policy.preempted.iter().position(|preempted| preempted.key == key)?;
        self.policy.preempted.remove(index).map(|preempted| preempted.peak_usage)
    }
}

/// Peak usage of a machine by all its tenants, from its peak utilization; 0 where nothing was reported.
fn machine_peak_usage(machine: &Machine, now: Timestamp) -> Resources {
    let cores = machine.cores_utilization.max(now).unwrap_or(0.0);
    let memory = machine.memory_utilization.max(now).unwrap_or(0.0);
    Resources::new(cores, memory).scaled(machine.capacity.cores, machine.capacity.memory)
}
