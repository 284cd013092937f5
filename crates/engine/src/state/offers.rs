//! Connections to machines and to the endpoint list, and offers on their way to machines.

use super::SchedulerState;
use crate::machine::ConnectionState;
use crate::peer::PeerKind;
use crate::task::{Attempt, AttemptId, TaskRecord};
use crate::timer::Timer;
use mulleinhub_interface::{Idempotency, MachineId, Outcome, TaskId, Timestamp};
use mulleinhub_protocol::{Message, Mode};
use mulleinhub_resilience::backoff;
use mulleinhub_sans_io::{ConnectionId, Unsent};

impl SchedulerState {
    /// Connects to a machine, unless it is connected or has left.
    pub fn connect_to_machine(&mut self, id: MachineId) {
        let Some(slot) = self.machines.get(&id) else { return };
        if slot.connection != ConnectionState::Down || slot.mode == Mode::Left {
            return;
        }
        let connection = self.connections.open(&slot.address.clone());
        self.add_peer(connection, PeerKind::Machine(id));
        let (now, ping_timeout) = (self.now, self.settings.ping_timeout);
        let first_ping = backoff::first_keepalive_check(ping_timeout, self.random.fraction());
        let slot = self.machines.get_mut(&id).expect("checked above");
        slot.connection = ConnectionState::Connecting(connection);
        (slot.last_received_at, slot.pinged_at) = (now, Some(now));
        self.timers.schedule(now + first_ping, Timer::Ping(id, connection));
    }

    /// Connects to the endpoint list service, unless it is connected.
    pub fn connect_to_endpoint_list(&mut self) {
        if self.endpoint_list.connection.is_none() {
            let connection = self.connections.open(&self.settings.endpoint_list_address.clone());
            self.add_peer(connection, PeerKind::EndpointList);
            self.endpoint_list.connection = Some(connection);
        }
    }

    /// Writes the offer of the attempt in flight on the machine's connection.
    pub fn write_offer(&mut self, id: TaskId, connection: ConnectionId) {
        let now = self.now;
        let token = self.send_tokens.issue();
        let record = self.tasks.get_mut(&id).expect("a task with an attempt is open");
        let attempt = record.attempt.as_mut().expect("an attempt is in flight");
        (attempt.connection, attempt.send_token) = (Some(connection), token);
        let time_out = attempt.times_out_at - now;
        let (machine, attempt_id, shape) = (attempt.machine, attempt.id(id), record.shape);
        let client = std::mem::take(&mut record.client);
        if let Some(slot) = self.machines.get_mut(&machine) {
            slot.gate.on_sent(now, id.0, attempt_id.number);
        }
        self.send_tokens.assign(token, attempt_id);
        let offer = Message::Offer {
            task: id.0,
            send: attempt_id.number,
            shape,
            time_out: time_out.nanos(),
            owner: &client,
        };
        self.write_with_token(connection, &offer, Some(token));
        self.tasks.get_mut(&id).expect("was open above").client = client;
    }

    /// A timer that was set for the waiting offers of this machine has expired.
    pub fn release_due_offers(&mut self, machine: MachineId) {
        let now = self.now;
        let Some(slot) = self.machines.get_mut(&machine) else { return };
        // A later one whose place an earlier one has taken changes nothing.
        if slot.next_release_at.take_if(|at| *at <= now).is_some() {
            self.release_offers(machine);
        }
    }

    /// Has the waiting offers of this machine looked at then, unless that is done sooner: one timer serves all
    /// of them.
    pub fn schedule_release(&mut self, machine: MachineId, at: Timestamp) {
        let Some(slot) = self.machines.get_mut(&machine) else { return };
        if slot.next_release_at.is_none_or(|next| next > at) {
            slot.next_release_at = Some(at);
            self.timers.schedule(at, Timer::ReleaseOffers(machine));
        }
    }

    /// Writes the offers that wait for this machine's connection, as far as its slow-start gate lets them.
    /// What waited too long for a machine that warms up goes back to the policy, whose budget has dropped it.
    pub fn release_offers(&mut self, machine: MachineId) {
        let (now, fall) = (self.now, self.settings.slow_start.budget_window);
        let Some(slot) = self.machines.get_mut(&machine) else { return };
        let Some(connection) = slot.ready().filter(|_| !slot.waiting.is_empty()) else { return };
        let shut_until = slot.gate.closed_until(now, fall);
        let mut still_waiting = Vec::new();
        for waiting in std::mem::take(&mut slot.waiting) {
            let id = waiting.task;
            let Some(record) = self.tasks.get(&id) else { continue };
            let waits =
                |attempt: &Attempt| attempt.is(machine, waiting.number) && attempt.connection.is_none();
            let Some(attempt) = record.attempt.filter(waits) else { continue };
            if self.is_past_idempotency_window(record)
                || self.machines[&machine].gate.is_stale(now, fall, attempt.decided_at)
            {
                self.outcomes.push(waiting, Outcome::NotSent);
            } else if shut_until.is_some() || attempt.times_out_at <= now {
                // Its timeout is about to take it back. Seen after a pause: it was written in an early
                // iteration, with no time left, and may have run.
                still_waiting.push(waiting);
            } else {
                self.write_offer(id, connection);
            }
        }
        if let Some(until) = shut_until.filter(|_| !still_waiting.is_empty()) {
            self.schedule_release(machine, until);
        }
        self.machines.get_mut(&machine).expect("was there above").waiting = still_waiting;
    }

    /// A machine answered an offer: its slow-start gate may let another one through.
    pub fn on_offer_answered(&mut self, machine: MachineId, attempt: AttemptId) {
        let (now, fall) = (self.now, self.settings.slow_start.budget_window);
        if let Some(slot) = self.machines.get_mut(&machine) {
            slot.gate.on_answered(now, fall, attempt.task.0, attempt.number);
        }
        self.release_offers(machine);
    }

    /// Whether machines no longer recognise repeats of this task by its key. Seen: an offer that had waited
    /// for its connection until then.
    fn is_past_idempotency_window(&self, record: &TaskRecord) -> bool {
        match self.settings.use_cases[record.spec.use_case.0].idempotency {
            Idempotency::Keyed { window, .. } => {
                record.may_have_run_since.is_some_and(|since| self.now - since > window)
            }
            Idempotency::Idempotent | Idempotency::NonIdempotent => false,
        }
    }

    /// Takes the offer of the attempt in flight back, where not a byte of it left this process: then it never
    /// ran. False where it may have left.
    pub fn retract_offer(&mut self, id: TaskId) -> bool {
        let Some(attempt) = self.tasks.get(&id).and_then(|record| record.attempt) else { return false };
        let waits = attempt.id(id);
        let retracted = match attempt.connection {
            Some(connection) => self.connections.retract(connection, attempt.send_token),
            None => self.machines.get(&attempt.machine).is_some_and(|slot| slot.waiting.contains(&waits)),
        };
        if retracted && let Some(slot) = self.machines.get_mut(&attempt.machine) {
            slot.waiting.retain(|waiting| *waiting != waits);
        }
        retracted
    }

    /// Drops a closed connection, and gives back the attempts whose offers were not completely sent.
    pub fn unsent_offers(&mut self, connection: ConnectionId) -> Vec<(AttemptId, Unsent)> {
        let unsent = self.connections.abort(connection);
        let attempt = |(token, how): (u64, Unsent)| self.send_tokens.attempt(token).map(|id| (id, how));
        unsent.into_iter().filter_map(attempt).collect()
    }
}
