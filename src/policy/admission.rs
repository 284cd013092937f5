//! Admission of attempts to a machine: circuit breakers after faults, and slow start of machines that started
//! recently.

use super::PlacementPolicy;
use crate::interface::*;
use crate::state::{CircuitBreaker, Machine, Task};

/// A circuit breaker opens for this part of the client timeout, doubled by each further trip, at most so
/// often.
pub(super) const COOL_DOWN_SHARE: f64 = 0.35;
const MAX_DOUBLINGS: u32 = 5;
/// Starts in flight that a freshly started machine bears from all schedulers; each start in time adds one.
const INITIAL_START_LIMIT: f64 = 6.0;
/// The warm-up budget is counted over this many times the rule's window: attempts may bunch up on their way.
const BUDGET_WINDOW_FACTOR: f64 = 1.5;

impl CircuitBreaker {
    /// Opens the breaker, for twice as long each time up to a bound. What ends while it is open was sent
    /// before and is the same fault. Seen: one hang with many attempts in flight, each of which doubled the
    /// cool-down, and a machine idle for a minute.
    pub(super) fn trip(&mut self, now: Timestamp, cool_down: Duration) {
        if self.is_open(now) {
            return;
        }
        self.open_until = now + cool_down * f64::from(1u32 << self.trips);
        self.trips = (self.trips + 1).min(MAX_DOUBLINGS);
    }

    /// Closes the breaker and forgets its trips.
    pub(super) fn close(&mut self, now: Timestamp) {
        self.open_until = now;
        self.trips = 0;
    }

    fn is_open(&self, now: Timestamp) -> bool {
        now < self.open_until
    }
}

impl Machine {
    /// A start in time lets one more start be in flight.
    pub(super) fn record_start(&mut self, duration: Duration, objective: Duration) {
        if duration < objective {
            self.start_limit += 1.0;
        }
    }
}

impl PlacementPolicy {
    /// Whether the task's circuit breaker is closed and another start may be in flight.
    pub(super) fn admits_attempt(&self, task: &Task, machine: &Machine, now: Timestamp) -> bool {
        let breaker = &machine.breakers[task.spec.use_case.0];
        !breaker.is_open(now) && (machine.starting as f64) < machine.start_limit
    }

    /// This scheduler's part of the starts that a freshly started machine bears.
    pub(super) fn initial_start_limit(&self) -> f64 {
        (INITIAL_START_LIMIT / f64::from(self.scheduler_count())).max(1.0)
    }

    /// Whether a machine that started then is still warming up.
    pub(super) fn is_recent_start(&self, start: Option<Timestamp>, now: Timestamp) -> bool {
        start.is_some_and(|at| now - at < self.settings.slow_start.warm_up_time)
    }

    /// Whether it started recently or was lost: a lost machine comes back cold, long before the endpoint list
    /// shows its start.
    pub(super) fn is_warming_up(&self, machine: &Machine, now: Timestamp) -> bool {
        self.is_recent_start(machine.started_at, now) || self.is_recent_start(machine.lost_at, now)
    }

    /// The window over which attempts on a machine that is warming up are counted.
    pub(super) fn warm_up_window(&self) -> Duration {
        self.settings.slow_start.budget_window * BUDGET_WINDOW_FACTOR
    }

    /// Whether the machine is warm, or this scheduler's part of its warm-up budget is not used up.
    pub(super) fn has_warm_up_budget(&self, machine: &Machine, now: Timestamp) -> bool {
        if !self.is_warming_up(machine, now) {
            return true;
        }
        let window = self.warm_up_window();
        // Seen: seven in ten schedulers restarted, and each sent what its earlier incarnation had sent
        // already.
        let may_have_sent =
            now - self.started_at <= window && machine.started_at.is_some_and(|at| at < self.started_at);
        let attempts = machine.warm_up_attempts.iter().filter(|sent_at| now - **sent_at <= window).count();
        !may_have_sent && attempts < self.warm_up_share(machine)
    }

    /// This scheduler's part of the machine's warm-up budget. The budget is dealt one by one over all
    /// schedulers, from one that the machine's id determines: the sum holds whichever schedulers stall or
    /// fail, and some may send where an equal part is below one.
    fn warm_up_share(&self, machine: &Machine) -> usize {
        let SlowStart { attempt_budget, scheduler_index, .. } = self.settings.slow_start;
        let (budget, schedulers) = (attempt_budget as u64, u64::from(self.scheduler_count()));
        let first = mix(machine.id.0, budget) % schedulers;
        let position = (u64::from(scheduler_index) + schedulers - first) % schedulers;
        ((budget + schedulers - 1 - position) / schedulers) as usize
    }
}
