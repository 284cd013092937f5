//! The traits of the interface, implemented by the policy: each event is one call of the module that handles
//! it.

use crate::interface::*;
use crate::policy::{PlacementPolicy, SchedulingRound, TICK_TIMER};

impl<D: Dispatch> PolicyEvents for SchedulingRound<'_, D> {
    fn on_start(&mut self) {
        self.start();
    }
    fn on_new_task(&mut self, task: TaskSpec) {
        self.add_task(task);
    }
    fn on_adopted_task(&mut self, task: TaskSpec, machine: MachineId) {
        self.adopt_task(task, machine);
    }
    fn on_accepted(&mut self, task: TaskId) {
        self.accept(task);
    }
    fn on_running(&mut self, task: TaskId) {
        self.complete_start(task);
    }
    fn on_usage(&mut self, task: TaskId, cores: Option<f64>, memory: Option<f64>) {
        self.record_usage(task, cores, memory);
    }
    fn on_service_level(&mut self, task: TaskId, share: f64) {
        self.record_service_level(task, share);
    }
    fn on_machine_memory(&mut self, task: TaskId, share: f64) {
        self.record_machine_memory(task, share);
    }
    fn on_health_check(&mut self, machine: MachineId, report: LoadReport) {
        self.record_load_report(machine, report);
    }
    fn on_machine_restarted(&mut self, machine: MachineId) {
        self.record_restart(machine);
    }
    fn on_attempt_ended(&mut self, task: TaskId, outcome: Outcome, is_final: bool, report: LoadReport) {
        self.end_attempt(task, outcome, is_final, report);
    }
    fn on_client_cancelled(&mut self, task: TaskId) {
        self.cancel_task(task);
    }
    fn on_shutdown(&mut self, deadline: Timestamp) {
        self.limit_deadlines(deadline);
    }
    fn on_timer(&mut self, token: u64) {
        match token {
            TICK_TIMER => self.tick(),
            _ => self.request_watch(),
        }
    }
    fn on_watch_failed(&mut self) {
        self.retry_watch();
    }
    fn on_endpoint_list(&mut self, kind: ListKind, machines: &[MachineEntry]) {
        self.update_machines(kind, machines);
    }
}

impl Policy for PlacementPolicy {
    fn round(
        &mut self,
        now: Timestamp,
        mut dispatch: &mut dyn Dispatch,
        deliver: &mut dyn FnMut(&mut dyn PolicyEvents),
    ) {
        Self::round(self, now, &mut dispatch, |round| deliver(round));
    }
}
