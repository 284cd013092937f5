//! The end of an attempt: its effect on the machine's standing, further attempts, and final answers.

use super::admission::COOL_DOWN_SHARE;
use super::{PlacementPolicy, SchedulingRound};
use crate::interface::*;
use crate::state::{MachineSlot, PossibleRun, TaskSlot, TaskState};

/// Where acceptance comes before the start, a silent machine is waited for during this part of the client
/// timeout.
const SILENCE_SHARE: f64 = 0.1;
/// One that answers others, or may only be slow in starting, is waited for during this part: a cancelled
/// attempt goes on as a copy that nobody waits for, and queues grow by it.
const PATIENCE_SHARE: f64 = 0.75;
/// A task that still waits so near its client timeout (as a part of it) gets its final answer.
const GIVE_UP_SHARE: f64 = 0.03;
/// A keyed task is sent again only within this part of its window, so that the attempt arrives inside it.
const KEY_WINDOW_SHARE: f64 = 0.9;
/// Waits are longer by up to this random part, so that schedulers that learn something at one instant do not
/// all return at one. Seen: 120 that had lost a machine or the list together sent again in the same ten
/// milliseconds.
const JITTER: f64 = 0.25;
/// Machines are assumed to cache the programs of so many services: those whose tasks ended there last.
const CACHED_PROGRAMS: usize = 8;
/// A rejection shows that slightly less than the request is available.
const REJECTED_REQUEST_FACTOR: f64 = 0.99;

impl<D: Dispatch> SchedulingRound<'_, D> {
    /// An attempt ended. Unless `is_final`, the final answer is still this scheduler's to give.
    pub(crate) fn end_attempt(&mut self, id: TaskId, outcome: Outcome, is_final: bool, report: LoadReport) {
        let Some(slot) = self.policy.tasks.slot(id) else { return };
        // Drawn before anything else is known of the attempt: the order of random numbers is part of the
        // reproducible behaviour.
        let cool_down = self.policy.use_case(slot).client_timeout * COOL_DOWN_SHARE;
        let cool_down = self.policy.with_jitter(cool_down);
        let task = &self.policy.tasks[slot];
        let state = task.state;
        if task.attempts == 0 || state == TaskState::Pending {
            return;
        }
        let machine_slot = task.attempt_machine();
        self.release_resources(slot, machine_slot);
        self.assess_machine(slot, machine_slot, outcome, cool_down);
        self.record_attempt_end(slot, machine_slot, outcome);
        if is_final || state != TaskState::Sent {
            self.policy.tasks.remove(slot);
        } else {
            // Considered in this very round: a timeout at the deadline leaves no time to wait for a tick.
            let task = &mut self.policy.tasks[slot];
            (task.state, task.is_waiting) = (TaskState::Pending, false);
            self.policy.pending.push(slot);
        }
        let machine = &mut self.policy.machines[machine_slot];
        if matches!(outcome, Outcome::ConnectionFailed | Outcome::Lost(FailureCause::Unspecified)) {
            machine.lost_at = Some(self.now);
        }
        let machine = machine.id;
        self.record_load_report(machine, report);
    }

    /// Takes the task off its machine's records.
    fn release_resources(&mut self, slot: TaskSlot, machine: MachineSlot) {
        let task = &mut self.policy.tasks[slot];
        let machine = &mut self.policy.machines[machine];
        machine.tasks.retain(|hosted| hosted.slot != slot);
        if task.state == TaskState::Placed {
            machine.record_recent_service(task.spec.service, CACHED_PROGRAMS);
        }
        machine.slack -= task.slack;
        machine.usage -= task.last_usage;
        machine.record_change(self.now, task.spec.request);
        machine.starting -= usize::from(task.is_starting);
        self.policy.starting -= usize::from(task.is_starting);
        task.is_starting = false;
        task.slack = Resources::ZERO;
    }

    /// What the outcome says about the machine.
    fn assess_machine(
        &mut self,
        slot: TaskSlot,
        machine_slot: MachineSlot,
        outcome: Outcome,
        cool_down: Duration,
    ) {
        let now = self.now;
        let task = &mut self.policy.tasks[slot];
        let machine = &mut self.policy.machines[machine_slot];
        let breaker = &mut machine.breakers[task.spec.use_case.0];
        match outcome {
            // The machine answered others since this was sent, or the task was preempted: a long queue, no
            // fault.
            Outcome::TimedOut | Outcome::Cancelled
                if task.state != TaskState::Sent || breaker.last_answer_at > task.sent_at => {}
            Outcome::ConnectionFailed
            | Outcome::Lost(FailureCause::Unspecified)
            | Outcome::Rejected(Rejection::QueueFull) => {
                machine.breakers.iter_mut().for_each(|breaker| breaker.trip(now, cool_down));
            }
            // Where another machine failed it too, the fault is the task's. Seen: start requests that no
            // machine could use, each of which opened the breakers of four machines.
            Outcome::Failed if std::mem::replace(&mut task.has_failed, true) => {}
            // Failures, silence, or a rejection without a reason: this use case alone may be affected.
            Outcome::Failed
            | Outcome::TimedOut
            | Outcome::Cancelled
            | Outcome::Rejected(Rejection::Unspecified) => breaker.trip(now, cool_down),
            Outcome::Rejected(Rejection::InsufficientCores) => {
                let shortage = self.shortage(slot, machine_slot);
                self.policy.machines[machine_slot].record_change(now, shortage.scaled(1.0, 0.0));
            }
            Outcome::Rejected(Rejection::InsufficientMemory) => {
                let shortage = self.shortage(slot, machine_slot);
                self.policy.machines[machine_slot].record_change(now, shortage.scaled(0.0, 1.0));
            }
            Outcome::Lost(FailureCause::Evicted) | Outcome::Rejected(Rejection::Returned) => {
                self.record_eviction(machine_slot);
            }
            _ => {}
        }
    }

    /// What the view of a machine that rejected a request shows too much of (negative). The machine knows its
    /// resources: for as long as the view may be stale, less than this request is available.
    fn shortage(&self, slot: TaskSlot, machine: MachineSlot) -> Resources {
        let request = self.policy.tasks[slot].spec.request;
        let machine = &self.policy.machines[machine];
        let allowance = self.policy.settings.acceptance.overcommit_allowance(machine.capacity);
        let most = request.scaled(REJECTED_REQUEST_FACTOR, REJECTED_REQUEST_FACTOR) - allowance;
        (most - machine.available()).min(Resources::ZERO)
    }

    /// Records what the attempt means for later ones.
    fn record_attempt_end(&mut self, slot: TaskSlot, machine: MachineSlot, outcome: Outcome) {
        let task = &mut self.policy.tasks[slot];
        let may_have_run = !outcome.proves_not_run() && task.state == TaskState::Sent;
        if may_have_run && task.possible_run.is_none() {
            let location = self.policy.machines[machine].location();
            task.possible_run = Some(PossibleRun { sent_at: task.sent_at, location });
        }
        task.avoided_machine = Some(machine);
    }

    /// Cancels attempts on machines that have answered nothing since, while others can still be tried.
    pub(super) fn cancel_silent_attempts(&mut self) {
        let policy = &*self.policy;
        for (_, machine) in policy.machines.iter().filter(|(_, machine)| machine.starting > 0) {
            for hosted in &machine.tasks {
                let task = &policy.tasks[hosted.slot];
                let patience = policy.use_case(hosted.slot).client_timeout * SILENCE_SHARE;
                let last_answer_at = machine.breakers[task.spec.use_case.0].last_answer_at;
                let is_silent = last_answer_at <= task.sent_at && self.now - task.sent_at >= patience;
                if task.state == TaskState::Sent && is_silent {
                    self.dispatch.cancel_attempt(task.spec.id, task.attempts - 1);
                }
            }
        }
    }

    /// Gives the final answer of a task without an attempt in flight: a rejection where the client may safely
    /// submit it again, else a failure.
    pub(super) fn give_up(&mut self, slot: TaskSlot) {
        let task = &self.policy.tasks[slot];
        let is_safe_anywhere = matches!(
            self.policy.use_case(slot).idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { domain: FailureDomain::Cluster, .. }
        );
        if is_safe_anywhere || task.possible_run.is_none() {
            self.dispatch.reject(task.spec.id, Duration::ZERO);
        } else {
            self.dispatch.fail(task.spec.id);
        }
        self.policy.tasks.remove(slot);
    }
}

impl PlacementPolicy {
    /// A wait, longer by a random part.
    pub(super) fn with_jitter(&mut self, wait: Duration) -> Duration {
        wait * (1.0 + JITTER * self.random.fraction())
    }

    /// Whether a pending task may have another attempt.
    pub(super) fn may_attempt(&self, slot: TaskSlot, now: Timestamp) -> bool {
        let (task, use_case) = (&self.tasks[slot], self.use_case(slot));
        let time_left = task.spec.deadline - now;
        self.is_rerun_safe(slot, now)
            && task.attempts < self.settings.acceptance.max_attempts
            && time_left > use_case.client_timeout * GIVE_UP_SHARE
    }

    /// Whether a task that may have run may be attempted once more.
    fn is_rerun_safe(&self, slot: TaskSlot, now: Timestamp) -> bool {
        match (self.use_case(slot).idempotency, self.tasks[slot].possible_run) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::NonIdempotent, _) => false,
            (Idempotency::Keyed { window, .. }, Some(run)) => now - run.sent_at < window * KEY_WINDOW_SHARE,
        }
    }

    /// How long an attempt may take: patient where silence is noticed otherwise or means a slow start.
    pub(super) fn attempt_timeout(&self, slot: TaskSlot, now: Timestamp) -> Duration {
        let acceptance = &self.settings.acceptance;
        let is_patient = acceptance.supports_cancel || acceptance.accepts_when_running;
        let share = if is_patient { PATIENCE_SHARE } else { SILENCE_SHARE };
        let time_left = self.tasks[slot].spec.deadline - now;
        (self.use_case(slot).client_timeout * share).min(time_left)
    }
}
