//! The events and the scheduling round of a baseline.

use super::{Baseline, Machine, PossibleRun, TICK_INTERVAL, Task, TaskState};
use mulleinhub_interface::*;

const TICK_TIMER: u64 = 0;
const WATCH_TIMER: u64 = 1;
/// A failed watch of the endpoint list is requested again after so long.
const WATCH_BACKOFF: Duration = Duration::from_secs(1);

/// One scheduling round.
struct Round<'a> {
    baseline: &'a mut Baseline,
    now: Timestamp,
    dispatch: &'a mut dyn Dispatch,
}

impl Round<'_> {
    fn request_watch(&mut self) {
        if self.baseline.settings.discovery.watch_required {
            self.dispatch.watch_endpoints();
        }
    }

    fn add_task(&mut self, spec: TaskSpec, state: TaskState, machine: Option<MachineId>, attempts: u32) {
        let (sent_at, possible_run, last_machine) = (self.now, None, machine);
        let task = Task { spec, state, machine, sent_at, attempts, possible_run, last_machine };
        self.baseline.tasks.insert(spec.id, task);
    }
}

impl PolicyEvents for Round<'_> {
    fn on_start(&mut self) {
        self.request_watch();
    }

    fn on_new_task(&mut self, task: TaskSpec) {
        self.add_task(task, TaskState::Pending, None, 0);
    }

    fn on_adopted_task(&mut self, task: TaskSpec, machine: MachineId) {
        self.add_task(task, TaskState::Placed, Some(machine), 1);
    }

    fn on_accepted(&mut self, task: TaskId) {
        if let Some(task) = self.baseline.tasks.get_mut(&task) {
            task.state = TaskState::Placed;
        }
    }

    fn on_attempt_ended(&mut self, id: TaskId, outcome: Outcome, is_final: bool, _: LoadReport) {
        let Some(task) = self.baseline.tasks.get_mut(&id) else { return };
        let Some(machine) = task.machine.take() else { return };
        if !outcome.proves_not_run() && task.possible_run.is_none() {
            task.possible_run = Some(PossibleRun { sent_at: task.sent_at, machine });
        }
        let (request, was_placed) = (task.spec.request, task.state == TaskState::Placed);
        task.state = TaskState::Pending;
        if let Some(machine) = self.baseline.machines.get_mut(&machine) {
            machine.available += request;
        }
        if is_final || was_placed {
            self.baseline.tasks.remove(&id);
        }
    }

    fn on_client_cancelled(&mut self, id: TaskId) {
        if self.baseline.tasks.get(&id).is_some_and(|task| task.state == TaskState::Pending) {
            self.baseline.tasks.remove(&id);
        }
    }

    fn on_shutdown(&mut self, deadline: Timestamp) {
        for task in self.baseline.tasks.values_mut() {
            task.spec.deadline = task.spec.deadline.min(deadline);
        }
    }

    fn on_timer(&mut self, token: u64) {
        match token {
            TICK_TIMER => self.baseline.is_tick_scheduled = false,
            _ => self.request_watch(),
        }
    }

    fn on_watch_failed(&mut self) {
        self.dispatch.wake_at(WATCH_TIMER, self.now + WATCH_BACKOFF);
    }

    fn on_endpoint_list(&mut self, kind: ListKind, entries: &[MachineEntry]) {
        if kind != ListKind::Delta {
            for machine in self.baseline.machines.values_mut() {
                machine.entry.state = MachineState::Removed;
            }
        }
        for entry in entries {
            let available = entry.available.unwrap_or(Resources::ZERO);
            let new = Machine { entry: *entry, available, warm_up_attempts: Vec::new() };
            let machine = self.baseline.machines.entry(entry.id).or_insert(new);
            (machine.entry, machine.available) = (*entry, available);
        }
    }

    fn on_machine_restarted(&mut self, machine: MachineId) {
        if let Some(machine) = self.baseline.machines.get_mut(&machine) {
            machine.entry.started_at = Some(self.now);
        }
    }

    fn on_running(&mut self, _: TaskId) {}
    fn on_usage(&mut self, _: TaskId, _: Option<f64>, _: Option<f64>) {}
    fn on_service_level(&mut self, _: TaskId, _: f64) {}
    fn on_machine_memory(&mut self, _: TaskId, _: f64) {}
    fn on_health_check(&mut self, _: MachineId, _: LoadReport) {}
}

impl Policy for Baseline {
    fn round(
        &mut self,
        now: Timestamp,
        dispatch: &mut dyn Dispatch,
        deliver: &mut dyn FnMut(&mut dyn PolicyEvents),
    ) {
        deliver(&mut Round { baseline: self, now, dispatch });
        let tasks = self.tasks.iter().filter(|(_, task)| task.state == TaskState::Pending);
        let pending: Vec<TaskId> = tasks.map(|(id, _)| *id).collect();
        let is_waiting = !pending.is_empty();
        pending.into_iter().for_each(|id| self.try_place(now, dispatch, id));
        if is_waiting && !std::mem::replace(&mut self.is_tick_scheduled, true) {
            dispatch.wake_at(TICK_TIMER, now + TICK_INTERVAL);
        }
    }
}
