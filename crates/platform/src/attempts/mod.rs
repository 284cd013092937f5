//! Attempts on their way to machines: writing start requests, holding them back, withdrawing and giving them
//! up.
//!
//! What proves that an attempt never ran, which the second rule rests on: a refused connection, a start
//! request of which not a byte left this process, and a machine's own word. Everything else may have run:
//! start requests written in whole or in part whose connection ended, and attempts that timed out.

mod outcomes;
mod unsent;

pub use outcomes::{settle, settle_pending};
pub use unsent::UnsentRequests;

use crate::machines::ConnectionPurpose;
use crate::state::SchedulerState;
use crate::tasks::{Attempt, AttemptId, AttemptState, hex};
use crate::timers::TimerEvent;
use mulleinhub_interface::{Duration, Idempotency, MachineId, MachineState, Outcome, TaskId, Timestamp};
use mulleinhub_platform_protocol::{self as protocol, cause_code, kind};
use mulleinhub_sans_io::ConnectionId;

/// Time between two looks for a connection where none may be opened, as a part of the connect timeout.
const CONNECTION_RETRY_PART: f64 = 0.2;

impl SchedulerState {
    /// Until when an attempt that is decided on now may be written: a retry of a task that machines
    /// deduplicate within a window, until that window ends; one to a machine that warms up, within the time
    /// that its slow-start budget covers. Seen: what waited for a connection left after the window had ended.
    pub fn write_deadline(&self, id: TaskId, machine: MachineId) -> Timestamp {
        let never = Timestamp::from_nanos(u64::MAX);
        let (Some(task), Some(machine)) = (self.tasks.by_id.get(&id), self.machines.by_id.get(&machine))
        else {
            return never;
        };
        let effect = self.settings.use_cases[task.spec.use_case.0].idempotency;
        let window_end = match (effect, task.may_have_run_since) {
            (Idempotency::Keyed { window, .. }, Some(first)) => first + window,
            _ => never,
        };
        let budget_end = machine.slow_start.stale_after(self.now, self.settings.slow_start.budget_window);
        budget_end.map_or(window_end, |budget_end| budget_end.min(window_end))
    }

    /// Writes the start request of an attempt. False where there is no connection to the machine.
    pub fn write_start_request(&mut self, id: TaskId) -> bool {
        let now = self.now;
        let Some(attempt) = self.tasks.attempt(id) else { return false };
        if attempt.write_deadline < now {
            return false;
        }
        let Some(connection_id) = self.connection_for(attempt.machine, id) else { return false };
        let token = self.next_token();
        if let Some(machine) = self.machines.by_id.get_mut(&attempt.machine) {
            machine.slow_start.on_sent(now, id.0, attempt.number);
            // It would stop this attempt.
            machine.stop_orders.remove(id);
        }
        self.machines.pool.touch(now, connection_id.0);
        let connection = self.machines.connections.get_mut(&connection_id).expect("was chosen");
        connection.awaiting.push(id);
        connection.purpose = ConnectionPurpose::Requests;
        connection.used_at = now;
        let task = self.tasks.by_id.get_mut(&id).expect("has an attempt");
        let sent = AttemptState::Sent { connection: connection_id, token };
        let attempt = Attempt { state: sent, ..attempt };
        task.attempt = Some(attempt);
        self.send_start_request(id, attempt, connection_id, token);
        true
    }

    /// Composes the start request of an attempt, with the timeout that is left now, and hands it to its connection.
    fn send_start_request(&mut self, id: TaskId, attempt: Attempt, connection_id: ConnectionId, token: u64) {
        let now = self.now;
        let connection = &self.machines.connections[&connection_id];
        let task = &self.tasks.by_id[&id];
        let use_case = &self.settings.names.use_cases[task.spec.use_case.0];
        // A connection that is not established yet may carry it as late as this.
        let leaves_by =
            if connection.established { now } else { connection.opened_at + self.machines.timeouts.connect };
        let patience = (attempt.deadline - now).min(task.spec.deadline - leaves_by);
        let patience_ms = patience.nanos() / 1_000_000;
        let (number, machine) = (attempt.number, attempt.machine.0);
        let carrier = connection_id.0;
        tracing::debug!(
            task = hex(id),
            attempt = number,
            machine,
            connection = carrier,
            patience_ms,
            "attempt"
        );
        let payload = task.payload.as_ref().expect("is kept until the task runs");
        self.output.clear();
        protocol::write_start_request(
            &mut self.output,
            id.0,
            use_case,
            patience_ms.max(1),
            payload.key.as_deref(),
            &payload.name,
            &payload.description,
        );
        self.send_output(connection_id, Some(token));
        self.unsent_requests.push(now, attempt.id(id), token);
    }

    /// Whether the outcome of this attempt is known, and about to be reported to the policy.
    pub fn has_pending_outcome(&self, attempt: AttemptId) -> bool {
        self.policy_queue.outcomes.iter().any(|(other, _)| *other == attempt)
    }

    /// Ends the attempt of a task from this side, unless its outcome is known already: it is withdrawn, or
    /// given up at its machine. The policy gets the outcome that is proven, or `if_may_run` where nothing is.
    pub fn end_attempt(&mut self, id: TaskId, if_may_run: Outcome) {
        let Some(task) = self.tasks.by_id.get(&id) else { return };
        let Some(attempt) = task.attempt else { return };
        let attempt_id = attempt.id(id);
        if self.has_pending_outcome(attempt_id) {
            return;
        }
        let effect = self.settings.use_cases[task.spec.use_case.0].idempotency;
        let stop_if_accepted = effect == Idempotency::Idempotent;
        let outcome = self.retract(id, attempt, stop_if_accepted).unwrap_or(if_may_run);
        self.policy_queue.push_outcome(attempt_id, outcome);
    }

    /// Withdraws an attempt, or gives it up at its machine. Returns the outcome that proves that it never
    /// ran; none where it may have run.
    fn retract(&mut self, id: TaskId, attempt: Attempt, stop_if_accepted: bool) -> Option<Outcome> {
        let AttemptState::Sent { connection: connection_id, token } = attempt.state else {
            let attempt_id = attempt.id(id);
            self.remove_queued(attempt.machine, attempt_id);
            return Some(Outcome::NotSent);
        };
        let withdrawn = self.connections.retract(connection_id, token);
        let connection = self.machines.connections.get_mut(&connection_id)?;
        connection.remove_awaiting(id);
        if withdrawn {
            return Some(if connection.established { Outcome::NotSent } else { Outcome::ConnectionFailed });
        }
        connection.record_given_up(id, stop_if_accepted);
        tracing::debug!(task = hex(id), connection = connection_id.0, "attempt given up");
        self.send(connection_id, |out| {
            protocol::write_with_cause(out, kind::RELEASE, id.0, cause_code::ENDED)
        });
        None
    }

    /// Withdraws an attempt if not a byte of it was written; the policy is notified that it was not sent.
    pub fn withdraw_unsent(&mut self, attempt_id: AttemptId) {
        let attempt = self.tasks.attempt(attempt_id.task);
        let Some(attempt) = attempt.filter(|attempt| attempt.number == attempt_id.number) else { return };
        if attempt.is_running() || self.has_pending_outcome(attempt_id) {
            return;
        }
        if let AttemptState::Sent { connection, token } = attempt.state {
            if !self.connections.retract(connection, token) {
                return;
            }
            if let Some(connection) = self.machines.connections.get_mut(&connection) {
                connection.remove_awaiting(attempt_id.task);
            }
        } else {
            self.remove_queued(attempt.machine, attempt_id);
        }
        self.policy_queue.push_outcome(attempt_id, Outcome::NotSent);
    }

    fn remove_queued(&mut self, machine: MachineId, attempt: AttemptId) {
        if let Some(machine) = self.machines.by_id.get_mut(&machine) {
            machine.queued_attempts.retain(|queued| *queued != attempt);
        }
    }

    /// Withdraws the attempts to this machine that are not written yet: it drains, was removed, or another
    /// one has its address. Seen: a start request that waited for its connection left after the drain was
    /// announced.
    pub fn withdraw_all_unsent(&mut self, id: MachineId) {
        let Some(machine) = self.machines.by_id.get(&id) else { return };
        let mut attempts = machine.queued_attempts.clone();
        for (_, connection) in self.machines.connections_of(id) {
            let attempt_id = |task: &TaskId| {
                let number = self.tasks.attempt(*task)?.number;
                Some(AttemptId { task: *task, number })
            };
            attempts.extend(connection.awaiting.iter().filter_map(attempt_id));
        }
        attempts.into_iter().for_each(|attempt| self.withdraw_unsent(attempt));
    }

    /// A timer that was set for the queued attempts of this machine has fired.
    pub fn release_due(&mut self, id: MachineId) {
        let now = self.now;
        let Some(machine) = self.machines.by_id.get_mut(&id) else { return };
        // A later one whose place an earlier one has taken changes nothing.
        if machine.next_release_at.take_if(|at| *at <= now).is_some() {
            self.release_queued(id);
        }
    }

    /// Has the queued attempts of this machine looked at then, unless that is done sooner: one timer serves
    /// all of them. Guards against: each attempt set one of its own whenever it was looked at, for all of its
    /// machine's, and where several waited their number was multiplied by each look.
    fn schedule_release(&mut self, id: MachineId, at: Timestamp) {
        let Some(machine) = self.machines.by_id.get_mut(&id) else { return };
        if machine.next_release_at.is_none_or(|next| next > at) {
            machine.next_release_at = Some(at);
            self.timers.schedule(at, TimerEvent::ReleaseQueued(id));
        }
    }

    /// Writes the start requests that were held back, as far as the slow-start gate and the connections let
    /// them. What waited too long for a machine that warms up goes back to the policy, whose budget no longer
    /// counts it.
    pub fn release_queued(&mut self, id: MachineId) {
        let (now, window) = (self.now, self.settings.slow_start.budget_window);
        let Some(machine) = self.machines.by_id.get_mut(&id) else { return };
        if machine.queued_attempts.is_empty() {
            return;
        }
        let gate_opens_at = machine.slow_start.closed_until(now, window);
        let mut still_queued = Vec::new();
        let mut lacks_connection = false;
        for attempt_id in std::mem::take(&mut machine.queued_attempts) {
            let Some(attempt) = self.queued_attempt(attempt_id) else { continue };
            if let Some(outcome) = self.outcome_in_queue(id, &attempt) {
                self.policy_queue.push_outcome(attempt_id, outcome);
            } else if gate_opens_at.is_some() || attempt.deadline <= now {
                still_queued.push(attempt_id);
            } else if (lacks_connection && self.machines.is_unconnected(id))
                || !self.write_start_request(attempt_id.task)
            {
                lacks_connection = true;
                still_queued.push(attempt_id);
            }
        }
        if let Some(until) = gate_opens_at.filter(|_| !still_queued.is_empty()) {
            self.schedule_release(id, until);
        }
        if lacks_connection {
            self.schedule_release(id, now + self.connection_retry_interval());
        }
        self.machines.by_id.get_mut(&id).expect("is there").queued_attempts.extend(still_queued);
    }

    /// This attempt, if it is the current one of its task and no connection carries it.
    fn queued_attempt(&self, attempt_id: AttemptId) -> Option<Attempt> {
        let attempt = self.tasks.attempt(attempt_id.task)?;
        (attempt.number == attempt_id.number && attempt.state == AttemptState::Queued).then_some(attempt)
    }

    /// How an attempt ends that must not leave the queue of its machine for a connection any more.
    fn outcome_in_queue(&self, id: MachineId, attempt: &Attempt) -> Option<Outcome> {
        let (now, window) = (self.now, self.settings.slow_start.budget_window);
        let machine = &self.machines.by_id[&id];
        let is_stale = machine.slow_start.is_stale(now, window, attempt.decided_at);
        if is_stale || attempt.write_deadline < now || machine.entry.state != MachineState::Active {
            return Some(Outcome::NotSent);
        }
        machine.replaced.then_some(Outcome::ConnectionFailed)
    }

    /// Holds an attempt back until the slow-start gate of its machine opens.
    pub fn queue_for_slow_start(&mut self, attempt: AttemptId, id: MachineId, until: Timestamp) {
        let machine = self.machines.by_id.get_mut(&id).expect("the policy chooses listed machines");
        machine.queued_attempts.push(attempt);
        self.schedule_release(id, until);
    }

    /// Holds an attempt back as no connection may be opened for it: that is a limit of this process, and
    /// proves nothing about the machine. It waits until one comes free, as long as the policy waits for it.
    pub fn queue_for_connection(&mut self, attempt: AttemptId, id: MachineId) {
        let machine = self.machines.by_id.get_mut(&id).expect("the policy chooses listed machines");
        if machine.replaced {
            return self.policy_queue.push_outcome(attempt, Outcome::ConnectionFailed);
        }
        machine.queued_attempts.push(attempt);
        self.schedule_release(id, self.now + self.connection_retry_interval());
    }

    /// Time between two looks for a connection.
    fn connection_retry_interval(&self) -> Duration {
        self.machines.timeouts.connect * CONNECTION_RETRY_PART
    }

    /// The wait for an answer has ended: the attempt is given up at its machine before another one is made.
    pub fn time_out(&mut self, attempt_id: AttemptId) {
        let attempt = self.tasks.attempt(attempt_id.task);
        if attempt.is_some_and(|attempt| attempt.number == attempt_id.number && !attempt.is_running()) {
            self.end_attempt(attempt_id.task, Outcome::TimedOut);
        }
    }
}
