//! The module behind the traits of the interface, for those who may also call another mind.

use crate::brain::{PlacementPolicy, SchedulingRound};
use crate::interface::*;

impl<W: Dispatch> PolicyEvents for SchedulingRound<'_, W> {
    fn start(&mut self) {
        self.start();
    }
    fn new_task(&mut self, order: TaskSpec) {
        self.new_task(order);
    }
    fn running(&mut self, order: TaskSpec, machine: MachineId) {
        self.running(order, machine);
    }
    fn accepted(&mut self, task: TaskId) {
        self.accepted(task);
    }
    fn runs(&mut self, task: TaskId) {
        self.runs(task);
    }
    fn uses(&mut self, task: TaskId, cores: Option<f64>, memory: Option<f64>) {
        self.uses(task, cores, memory);
    }
    fn served(&mut self, task: TaskId, share: f64) {
        self.served(task, share);
    }
    fn machine_memory(&mut self, task: TaskId, share: f64) {
        self.machine_memory(task, share);
    }
    fn probed(&mut self, machine: MachineId, report: LoadReport) {
        self.probed(machine, report);
    }
    fn restarted(&mut self, machine: MachineId) {
        self.restarted(machine);
    }
    fn closed(&mut self, task: TaskId, ending: Outcome, over: bool, report: LoadReport) {
        self.closed(task, ending, over, report);
    }
    fn abandoned(&mut self, task: TaskId) {
        self.abandoned(task);
    }
    fn ends_by(&mut self, at: Timestamp) {
        self.ends_by(at);
    }
    fn woken(&mut self, token: u64) {
        self.woken(token);
    }
    fn list_failed(&mut self) {
        self.list_failed();
    }
    fn list(&mut self, kind: ListKind, entries: &[MachineEntry]) {
        self.list(kind, entries);
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
