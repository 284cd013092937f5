//! The life of a task: arrival, attempt, acceptance, start and cancellation. How it ends is in `retry`.

use super::{PEAK_WINDOW, SchedulingRound};
use crate::interface::*;
use crate::state::{HostedTask, MachineSlot, Task, TaskSlot, TaskState};

impl<D: Dispatch> SchedulingRound<'_, D> {
    /// A client submitted a task. One that this scheduler preempted is sized at its peak usage.
    pub(crate) fn add_task(&mut self, spec: TaskSpec) {
        let mut task = Task::new(spec, TaskState::Pending, PEAK_WINDOW, self.now);
        task.reservation = self.take_preempted_peak(spec.key).unwrap_or(spec.request);
        let slot = self.policy.tasks.insert(spec.id, task);
        self.policy.pending.push(slot);
    }

    /// A task that runs already has become this scheduler's.
    pub(crate) fn adopt_task(&mut self, spec: TaskSpec, machine: MachineId) {
        let machine = self.machine_slot(machine);
        let mut task = Task::new(spec, TaskState::Placed, PEAK_WINDOW, self.now);
        task.machine = Some(machine);
        task.attempts = 1;
        let slot = self.policy.tasks.insert(spec.id, task);
        self.policy.machines[machine].tasks.push(HostedTask { slot, service: spec.service });
    }

    /// Sends a pending task to a machine.
    pub(super) fn start_attempt(&mut self, slot: TaskSlot, machine: MachineSlot, timeout: Duration) {
        let now = self.now;
        let is_warming_up = self.policy.is_warming_up(&self.policy.machines[machine], now);
        let window = self.policy.warm_up_window();
        let task = &mut self.policy.tasks[slot];
        let TaskSpec { id, service, request, .. } = task.spec;
        task.started_without_program = self.policy.machines[machine].lacks_program(service);
        (task.state, task.is_starting) = (TaskState::Sent, true);
        (task.machine, task.sent_at) = (Some(machine), now);
        task.attempts += 1;
        self.policy.starting += 1;
        let machine = &mut self.policy.machines[machine];
        machine.tasks.push(HostedTask { slot, service });
        machine.starting += 1;
        machine.record_change(now, Resources::ZERO - request);
        if is_warming_up {
            machine.record_warm_up_attempt(now, window);
        }
        self.dispatch.send(id, machine.id, timeout);
    }

    /// A machine accepted a task.
    pub(crate) fn accept(&mut self, id: TaskId) {
        let Some(slot) = self.policy.tasks.slot(id) else { return };
        let task = &mut self.policy.tasks[slot];
        if task.state != TaskState::Sent {
            return;
        }
        task.state = TaskState::Placed;
        let machine = &mut self.policy.machines[task.attempt_machine()];
        machine.breakers[task.spec.use_case.0].last_answer_at = self.now;
        if self.policy.settings.acceptance.accepts_when_running {
            self.complete_start(id);
        }
    }

    /// A task has started to run.
    pub(crate) fn complete_start(&mut self, id: TaskId) {
        let Some(slot) = self.policy.tasks.slot(id) else { return };
        let objective = self.policy.use_case(slot).latency_objective;
        let task = &mut self.policy.tasks[slot];
        if !std::mem::take(&mut task.is_starting) {
            return;
        }
        let duration = self.now - task.sent_at;
        let without_program = task.started_without_program;
        let machine_slot = task.attempt_machine();
        let machine = &mut self.policy.machines[machine_slot];
        machine.starting -= 1;
        self.policy.starting -= 1;
        machine.breakers[task.spec.use_case.0].close(self.now);
        machine.record_start(duration, objective);
        self.record_start_duration(machine_slot, duration, without_program);
    }

    /// The client cancelled its task.
    pub(crate) fn cancel_task(&mut self, id: TaskId) {
        let Some(slot) = self.policy.tasks.slot(id) else { return };
        let task = &mut self.policy.tasks[slot];
        match task.state {
            TaskState::Pending => {
                self.policy.pending.retain(|pending| *pending != slot);
                self.policy.tasks.remove(slot);
            }
            // Neither the slack nor the usage of a task that is being stopped lasts.
            TaskState::Sent | TaskState::Placed => {
                task.state = TaskState::Terminating;
                let machine = &mut self.policy.machines[task.attempt_machine()];
                machine.slack -= std::mem::take(&mut task.slack);
            }
            TaskState::Terminating => {}
        }
    }

    /// The scheduler shuts down: final answers are due by then. Seen: waits longer than the time that was
    /// left.
    pub(crate) fn limit_deadlines(&mut self, deadline: Timestamp) {
        for (_, task) in self.policy.tasks.iter_mut() {
            task.spec.deadline = task.spec.deadline.min(deadline);
        }
    }
}
