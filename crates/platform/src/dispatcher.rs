//! Carries out what the policy decides, and checks the rules that every decision must keep.
//!
//! The policy holds the dispatcher during a scheduling round in which messages are handled too, so each of
//! them borrows the state for a moment only.

use crate::state::{SchedulerState, SharedState};
use crate::tasks::{Attempt, AttemptId, TaskRecord};
use crate::timers::TimerEvent;
use mulleinhub_interface::{
    Dispatch, Duration, FailureDomain, Idempotency, MachineId, MachineState, Outcome, TaskId, Timestamp,
};
use mulleinhub_platform_protocol::{self as protocol, Cause, cause_code, kind};

/// The policy's way to act: every method is one decision.
pub struct Dispatcher<'a>(pub &'a SharedState);

/// Gives a final answer other than an acceptance, on the connection that the task came on; the task is over.
fn refuse(state: &mut SchedulerState, task: TaskId, cause: Cause, retry_after: Duration) {
    let record = &state.tasks.by_id[&task];
    let client = record.client.filter(|_| record.awaits_answer());
    state.mark_refused(task);
    state.forget_task(task);
    if let Some(connection_id) = client {
        let retry_after_ms = retry_after.nanos() / 1_000_000;
        state.send(connection_id, |out| protocol::write_rejection(out, task.0, cause, retry_after_ms));
    }
}

/// Whether the client may be answered that the task never ran.
fn is_safe_to_reject(state: &SchedulerState, task: &TaskRecord) -> bool {
    match state.settings.use_cases[task.spec.use_case.0].idempotency {
        Idempotency::Idempotent | Idempotency::Keyed { domain: FailureDomain::Cluster, .. } => true,
        Idempotency::Keyed { .. } | Idempotency::NonIdempotent => task.may_have_run_since.is_none(),
    }
}

/// Registers the attempt and its deadlines.
fn begin_attempt(state: &mut SchedulerState, id: TaskId, machine: MachineId, timeout: Duration) -> AttemptId {
    let now = state.now;
    let task = state.tasks.by_id.get_mut(&id).expect("the policy dispatches tasks that are held");
    assert!(task.attempt.is_none(), "task {}: two attempts in flight at once", id.0);
    assert!(now <= task.spec.deadline, "task {}: an attempt after its client timeout", id.0);
    assert!(task.awaits_answer(), "task {}: an attempt after its final answer", id.0);
    let attempt_id = AttemptId { task: id, number: task.attempts };
    task.attempts += 1;
    let deadline = now + timeout;
    state.counts.attempts += 1;
    state.timers.schedule(deadline, TimerEvent::AttemptTimeout(attempt_id));
    let write_deadline = state.write_deadline(id, machine);
    if write_deadline < deadline {
        state.timers.schedule(write_deadline, TimerEvent::WriteDeadline(attempt_id));
    }
    let attempt = Attempt { write_deadline, ..Attempt::new(attempt_id.number, machine, now, deadline) };
    state.tasks.by_id.get_mut(&id).expect("was there").attempt = Some(attempt);
    attempt_id
}

impl Dispatch for Dispatcher<'_> {
    fn send(&mut self, task: TaskId, machine: MachineId, timeout: Duration) {
        let state = &mut *self.0.borrow_mut();
        let attempt_id = begin_attempt(state, task, machine, timeout);
        let target = state.machines.by_id.get(&machine).expect("the policy chooses listed machines");
        let is_active = target.entry.state == MachineState::Active;
        assert!(is_active, "task {}: an attempt to a machine that drains or was removed", task.0);
        if let Some(until) =
            target.slow_start.closed_until(state.now, state.settings.slow_start.budget_window)
        {
            state.queue_for_slow_start(attempt_id, machine, until);
        } else if !state.write_start_request(task) {
            state.queue_for_connection(attempt_id, machine);
        }
    }

    fn cancel_attempt(&mut self, task: TaskId, number: u32) {
        let state = &mut *self.0.borrow_mut();
        let Some(attempt) = state.tasks.attempt(task) else { return };
        if attempt.number == number && !attempt.is_running() {
            state.end_attempt(task, Outcome::Cancelled);
        }
    }

    fn reject(&mut self, task: TaskId, retry_after: Duration) {
        let state = &mut *self.0.borrow_mut();
        let record = &state.tasks.by_id[&task];
        assert!(record.attempt.is_none(), "task {}: rejected with an attempt in flight", task.0);
        assert!(is_safe_to_reject(state, record), "task {}: rejected though it may have run", task.0);
        state.counts.rejected += 1;
        refuse(state, task, cause_code::FULL, retry_after);
    }

    fn fail(&mut self, task: TaskId) {
        let state = &mut *self.0.borrow_mut();
        let has_attempt = state.tasks.by_id[&task].attempt.is_some();
        assert!(!has_attempt, "task {}: failed with an attempt in flight", task.0);
        state.counts.failed += 1;
        refuse(state, task, cause_code::ERROR, Duration::ZERO);
    }

    fn preempt(&mut self, task: TaskId) {
        let state = &mut *self.0.borrow_mut();
        let record = state.tasks.by_id.get(&task);
        let Some(record) = record.filter(|record| record.running_attempt().is_some()) else { return };
        if let Some(connection_id) = state.clients.recipient(record.client) {
            state.send(connection_id, |out| protocol::write_message(out, kind::MIGRATE, task.0, &[]));
        }
    }

    fn wake_at(&mut self, token: u64, at: Timestamp) {
        self.0.borrow_mut().timers.schedule(at, TimerEvent::Policy(token));
    }

    fn watch_endpoints(&mut self) {
        self.0.borrow_mut().connect_endpoint_watch();
    }
}
