//! The module behind the traits of the interface, for those who may also call another mind.

use crate::brain::{PlacementPolicy, SchedulingRound};
use crate::interface::*;

impl<W: Dispatch> PolicyEvents for SchedulingRound<'_, W> {
    fn on_start(&mut self) {
        self.on_start();
    }
    fn on_new_task(&mut self, order: TaskSpec) {
        self.on_new_task(order);
    }
    fn on_adopted_task(&mut self, order: TaskSpec, machine: MachineId) {
        self.on_adopted_task(order, machine);
    }
    fn on_accepted(&mut self, task: TaskId) {
        self.on_accepted(task);
    }
    fn on_running(&mut self, task: TaskId) {
        self.on_running(task);
    }
    fn on_usage(&mut self, task: TaskId, cores: Option<f64>, memory: Option<f64>) {
        self.on_usage(task, cores, memory);
    }
    fn on_service_level(&mut self, task: TaskId, share: f64) {
        self.on_service_level(task, share);
    }
    fn on_machine_memory(&mut self, task: TaskId, share: f64) {
        self.on_machine_memory(task, share);
    }
    fn on_health_check(&mut self, machine: MachineId, report: LoadReport) {
        self.on_health_check(machine, report);
    }
    fn on_machine_restarted(&mut self, machine: MachineId) {
        self.on_machine_restarted(machine);
    }
    fn on_attempt_ended(&mut self, task: TaskId, ending: Outcome, over: bool, report: LoadReport) {
        self.on_attempt_ended(task, ending, over, report);
    }
    fn on_client_cancelled(&mut self, task: TaskId) {
        self.on_client_cancelled(task);
    }
    fn on_shutdown(&mut self, at: Timestamp) {
        self.on_shutdown(at);
    }
    fn on_timer(&mut self, token: u64) {
        self.on_timer(token);
    }
    fn on_watch_failed(&mut self) {
        self.on_watch_failed();
    }
    fn on_endpoint_list(&mut self, kind: ListKind, entries: &[MachineEntry]) {
        self.on_endpoint_list(kind, entries);
    }
}

impl Policy for PlacementPolicy {
    fn round(
        &mut self,
        now: Timestamp,
        mut out: &mut dyn Dispatch,
        tell: &mut dyn FnMut(&mut dyn PolicyEvents),
    ) {
        Self::round(self, now, &mut out, |round| tell(round));
    }
}
