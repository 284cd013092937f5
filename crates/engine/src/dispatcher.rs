//! Carries out what the policy decides.

use crate::machine::{ConnectionState, MachineSlot};
use crate::state::SchedulerState;
use crate::task::{Attempt, AttemptId, AttemptPhase, FinalAnswer};
use crate::timer::Timer;
use mulleinhub_interface::{
    Dispatch, Duration, FailureDomain, Idempotency, MachineId, Outcome, TaskId, Timestamp,
};
use mulleinhub_protocol::{Message, Mode};
use std::cell::RefCell;

/// Carries out what the policy decides.
///
/// The policy holds the dispatcher for a whole scheduling round, and in that round the handlers change the
/// same state and report to the policy. Neither can own the state, so both borrow it from a `RefCell`, for a
/// moment at a time. The assertions in here are checked in release builds too: a policy that breaks one
/// of the scheduler's rules must not reach the wire.
pub struct Dispatcher<'a>(pub &'a RefCell<SchedulerState>);

impl Dispatch for Dispatcher<'_> {
    fn send(&mut self, task: TaskId, machine: MachineId, time_out: Duration) {
        let state = &mut *self.0.borrow_mut();
        let attempt = start_attempt(state, task, machine, time_out);
        let now = state.now;
        let slot = state.machines.get_mut(&machine).expect("the policy sends to listed machines");
        assert!(slot.mode == Mode::Active, "task {}: a send to a machine that drains or is gone", task.0);
        let shut_until = slot.gate.closed_until(now, state.settings.slow_start.budget_window);
        match (slot.connection, shut_until) {
            (ConnectionState::Ready(_), Some(until)) => {
                slot.waiting.push(attempt);
                state.schedule_release(machine, until);
            }
            (ConnectionState::Ready(connection), None) => state.write_offer(task, connection),
            // One that has not refused since it was connected last is tried at once.
            (ConnectionState::Down, _) if slot.failures > 0 && slot.retry_at > now => {
                state.outcomes.push(attempt, Outcome::ConnectionFailed);
            }
            (ConnectionState::Down | ConnectionState::Connecting(_), _) => {
                slot.waiting.push(attempt);
                state.connect_to_machine(machine);
            }
        }
    }

    fn cancel_attempt(&mut self, task: TaskId, number: u32) {
        let state = &mut *self.0.borrow_mut();
        let Some(attempt) = state.tasks.get(&task).and_then(|record| record.attempt) else { return };
        let id = AttemptId { task, number };
        // The outcome of one that was cancelled in this very iteration is on its way already.
        if attempt.number != number || attempt.phase.is_placed() || state.outcomes.contains(id) {
            return;
        }
        if state.retract_offer(task) {
            state.outcomes.push(id, Outcome::NotSent);
            return;
        }
        if let Some(connection) = attempt.connection {
            state.write(connection, &Message::Recall { task: task.0, send: number });
        }
        state.outcomes.push(id, Outcome::Cancelled);
    }

    fn reject(&mut self, task: TaskId, stay_away: Duration) {
        let state = &mut *self.0.borrow_mut();
        let record = &state.tasks[&task];
        assert!(record.attempt.is_none(), "task {}: nacked with a send out", task.0);
        let is_harmless = match state.settings.use_cases[record.spec.use_case.0].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { domain: FailureDomain::Cluster, .. } => true,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => record.may_have_run_since.is_none(),
        };
        assert!(is_harmless, "task {}: nacked though it may have run", task.0);
        state.counts.rejected += 1;
        state.finish(task, FinalAnswer::Rejected(stay_away.nanos()));
    }

    fn fail(&mut self, task: TaskId) {
        let state = &mut *self.0.borrow_mut();
        assert!(state.tasks[&task].attempt.is_none(), "task {}: errored with a send out", task.0);
        state.counts.failed += 1;
        state.finish(task, FinalAnswer::Failed);
    }

    fn preempt(&mut self, task: TaskId) {
        let state = &mut *self.0.borrow_mut();
        let record = state.tasks.get_mut(&task);
        let Some(attempt) = record.and_then(|record| record.attempt.as_mut()) else { return };
        attempt.phase.stop();
        let (machine, send) = (attempt.machine, attempt.number);
        if let Some(connection) = state.machines.get(&machine).and_then(MachineSlot::ready) {
            state.write(connection, &Message::Stop { task: task.0, send, moves: true });
        }
    }

    fn wake_at(&mut self, token: u64, at: Timestamp) {
        self.0.borrow_mut().timers.schedule(at, Timer::Policy(token));
    }

    fn watch_endpoints(&mut self) {
        let state = &mut *self.0.borrow_mut();
        state.endpoint_list.watch_wanted = true;
        let is_greeted = |connection: &_| state.peers.get(connection).is_some_and(|peer| peer.greeted);
        match state.endpoint_list.connection.filter(is_greeted) {
            Some(connection) => state.write(connection, &Message::Watch {}),
            None => state.connect_to_endpoint_list(),
        }
    }
}

/// Records a new attempt of a task and starts its timeout. Gives back its name.
fn start_attempt(
    state: &mut SchedulerState,
    task: TaskId,
    machine: MachineId,
    time_out: Duration,
) -> AttemptId {
    let now = state.now;
    let record = state.tasks.get_mut(&task).expect("the policy sends open tasks");
    assert!(record.attempt.is_none(), "task {}: two sends out at once", task.0);
    assert!(now <= record.spec.deadline, "task {}: a send after its client timeout", task.0);
    let number = record.attempts;
    record.attempts += 1;
    if number == 0 {
        let waited = now - record.accepted_at;
        state.latencies.to_first_attempt.saturating_record(waited.nanos() / 1000);
    }
    let _task = tracing::debug_span!("task", id = task.0, client = record.client).entered();
    tracing::debug!(machine = machine.0, attempt = number, "sent");
    let times_out_at = now + time_out;
    record.attempt = Some(Attempt {
        number,
        machine,
        connection: None,
        send_token: 0,
        decided_at: now,
        times_out_at,
        phase: AttemptPhase::Offered,
    });
    state.counts.attempts += 1;
    let attempt = AttemptId { task, number };
    state.timers.schedule(times_out_at, Timer::AttemptTimeout(attempt));
    attempt
}
