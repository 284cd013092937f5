//! The queue of pending tasks: their order, and when they are considered.

use super::{PlacementPolicy, SchedulingRound};
use crate::interface::*;
use crate::state::TaskSlot;

/// Pending tasks are considered again after this part of the shortest latency objective, if nothing comes in
/// before.
const RECHECK_SHARE: f64 = 0.05;
/// A first start within the latency objective multiplies the value of a task.
const IN_TIME_FACTOR: f64 = 2.0;

/// The timer token of the tick, at which all pending tasks are considered.
pub(crate) const TICK_TIMER: u64 = 0;

impl<D: Dispatch> SchedulingRound<'_, D> {
    /// The tick fired.
    pub(crate) fn tick(&mut self) {
        self.policy.is_tick_scheduled = false;
    }

    /// Pending tasks, most valuable first, then oldest: each is sent, waits on, or is given up.
    pub(super) fn place_pending(&mut self) {
        let mut pending = std::mem::take(&mut self.policy.pending);
        let policy = &*self.policy;
        pending.sort_unstable_by(|a, b| {
            let by_value = policy.value(*b, self.now).total_cmp(&policy.value(*a, self.now));
            by_value.then(policy.tasks[*a].arrived_at.cmp(&policy.tasks[*b].arrived_at))
        });
        // The whole queue is walked at ticks only, which keeps the cost of a long queue down.
        let is_tick = !self.policy.is_tick_scheduled;
        let AcceptanceRules { reports_pressure, supports_cancel, accepts_when_running, .. } =
            self.policy.settings.acceptance;
        if is_tick && self.policy.starting > 0 && !reports_pressure {
            self.detect_slow_starts();
        }
        pending.retain(|slot| (!is_tick && self.policy.tasks[*slot].is_waiting) || !self.try_place(*slot));
        self.policy.pending = pending;
        if is_tick && self.policy.starting > 0 && supports_cancel && !accepts_when_running {
            self.cancel_silent_attempts();
        }
        self.schedule_tick();
    }

    /// Schedules the next tick while anything waits.
    fn schedule_tick(&mut self) {
        let is_waiting = !self.policy.pending.is_empty() || self.policy.starting > 0;
        if is_waiting && !self.policy.is_tick_scheduled {
            self.policy.is_tick_scheduled = true;
            self.dispatch.wake_at(TICK_TIMER, self.now + self.policy.recheck_interval());
        }
    }

    /// Sends a pending task or gives it up; false where it waits on.
    fn try_place(&mut self, slot: TaskSlot) -> bool {
        if !self.policy.may_attempt(slot, self.now) {
            self.give_up(slot);
            return true;
        }
        let timeout = self.policy.attempt_timeout(slot, self.now);
        let Some(machine) = self.select_machine(slot) else {
            self.policy.tasks[slot].is_waiting = true;
            return false;
        };
        self.start_attempt(slot, machine, timeout);
        true
    }
}

impl PlacementPolicy {
    /// The shortest wait that makes sense: a small part of the tightest latency objective.
    pub(super) fn recheck_interval(&self) -> Duration {
        let objectives = self.settings.use_cases.iter().map(|use_case| use_case.latency_objective);
        let tightest = objectives.min().unwrap_or(Duration::from_secs(1));
        tightest * RECHECK_SHARE + Duration::from_nanos(1)
    }

    /// The value of placing a task now.
    fn value(&self, slot: TaskSlot, now: Timestamp) -> f64 {
        let (task, use_case) = (&self.tasks[slot], self.use_case(slot));
        let is_in_time = !task.spec.is_resubmitted && now - task.arrived_at < use_case.latency_objective;
        use_case.value_per_second * if is_in_time { IN_TIME_FACTOR } else { 1.0 }
    }
}
