//! Signals of pressure on a machine: poor service, short memory, load reports and slow starts.
//!
//! A machine under pressure is considered last, whoever causes it: other tenants, load peaks or this
//! scheduler. Each signal may also find the machine hot, which preempts tasks.

use super::preemption::HOT_SHARE;
use super::{PlacementPolicy, SchedulingRound};
use crate::interface::*;
use crate::state::{MachineSlot, Task};

/// Service below this share of complete service is poor.
const GOOD_SERVICE_SHARE: f64 = 0.95;
/// A machine counts as under pressure for so long unless a better report of the same kind comes.
const PRESSURE_DURATION: Duration = Duration::from_secs(3);
/// Where machines report no pressure, a start so many times slower than typical counts as a report.
const SLOW_START_FACTOR: f64 = 3.0;
/// The weight of each start in the moving average of start durations.
const TYPICAL_START_WEIGHT: f64 = 1.0 / 16.0;

impl<D: Dispatch> SchedulingRound<'_, D> {
    /// Records the share of complete service that a task gets. How busy the cores are follows from it by the
    /// use case's own curve.
    pub(crate) fn record_service_level(&mut self, id: TaskId, share: f64) {
        let Some((slot, machine_slot)) = self.policy.placed_task(id) else { return };
        let use_case = self.policy.use_case(slot);
        let utilization = use_case.saturation_threshold + (1.0 - share) * use_case.degradation_range;
        let machine = &mut self.policy.machines[machine_slot];
        machine.missed_service.record(self.now, 1.0 - share);
        machine.cores_utilization.record(self.now, utilization);
        machine.pressure_until.cores = pressure_end(self.now, share < GOOD_SERVICE_SHARE);
        self.preempt_if_hot(machine_slot);
    }

    /// Records the share of its memory that a machine uses, as one of its tasks reports it.
    pub(crate) fn record_machine_memory(&mut self, id: TaskId, share: f64) {
        let Some((_, machine_slot)) = self.policy.placed_task(id) else { return };
        let machine = &mut self.policy.machines[machine_slot];
        machine.memory_utilization.record(self.now, share);
        machine.pressure_until.memory = pressure_end(self.now, share > HOT_SHARE);
        self.preempt_if_hot(machine_slot);
    }

    /// Records a machine's load report.
    pub(crate) fn record_load_report(&mut self, id: MachineId, report: LoadReport) {
        let (Some(slot), Some(unused)) = (self.policy.machines.slot(id), report.unused) else { return };
        let machine = &mut self.policy.machines[slot];
        let cores = 1.0 - unused.cores / machine.capacity.cores;
        let memory = 1.0 - unused.memory / machine.capacity.memory;
        machine.cores_utilization.record(self.now, cores);
        machine.memory_utilization.record(self.now, memory);
        machine.pressure_until.cores = pressure_end(self.now, cores > HOT_SHARE);
        machine.pressure_until.memory = pressure_end(self.now, memory > HOT_SHARE);
        self.preempt_if_hot(slot);
    }

    /// A task was evicted: the machine is out of memory, whoever used it up.
    pub(super) fn record_eviction(&mut self, slot: MachineSlot) {
        let machine = &mut self.policy.machines[slot];
        machine.pressure_until.memory = self.now + PRESSURE_DURATION;
        machine.missed_service.record(self.now, 1.0);
    }

    /// Updates the typical duration of starts. Far slower than typical means a slow or crowded machine, also
    /// where nothing else reports pressure.
    pub(super) fn record_start_duration(
        &mut self,
        slot: MachineSlot,
        duration: Duration,
        without_program: bool,
    ) {
        let policy = &mut *self.policy;
        let typical = &mut policy.typical_start[usize::from(without_program)];
        if !policy.settings.acceptance.reports_pressure && is_slow(duration, *typical) {
            policy.machines[slot].pressure_until.cores = self.now + PRESSURE_DURATION;
        }
        *typical = typical.moved_towards(duration, TYPICAL_START_WEIGHT);
    }

    /// A start that is still in flight after far longer than typical says as much as one that completes so
    /// late. Seen: a slow machine on which more than a third of what was placed ended before it ever ran.
    pub(super) fn detect_slow_starts(&mut self) {
        let now = self.now;
        let PlacementPolicy { machines, tasks, typical_start, .. } = &mut *self.policy;
        let starts_slowly = |task: &Task| {
            let typical = typical_start[usize::from(task.started_without_program)];
            task.is_starting && is_slow(now - task.sent_at, typical)
        };
        for (_, machine) in machines.iter_mut().filter(|(_, machine)| machine.starting > 0) {
            if machine.tasks.iter().any(|hosted| starts_slowly(&tasks[hosted.slot])) {
                machine.pressure_until.cores = now + PRESSURE_DURATION;
            }
        }
    }
}

/// Until when a machine is under pressure by this report. A better report of the same kind ends it; one of
/// another kind does not. Seen: a machine that had just evicted took tasks again, as its cores were idle.
fn pressure_end(now: Timestamp, is_under_pressure: bool) -> Timestamp {
    if is_under_pressure { now + PRESSURE_DURATION } else { now }
}

/// Whether a start of this duration is far slower than typical, where typical is known.
fn is_slow(duration: Duration, typical: Duration) -> bool {
    typical > Duration::ZERO && duration > typical * SLOW_START_FACTOR
}
