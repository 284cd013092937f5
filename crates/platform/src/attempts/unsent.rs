//! Start requests that have left later than they were composed: the timeout that they pass on is longer by then
//! than what their clients have left. Those of which not a byte has left are composed anew; one of which a part is
//! stuck here is broken off with its connection.

use crate::machines::break_connection;
use crate::state::SchedulerState;
use crate::tasks::{AttemptId, AttemptState, hex};
use mulleinhub_interface::{Duration, Outcome, Timestamp};
use mulleinhub_sans_io::ConnectionId;
use std::collections::VecDeque;

/// A start request that has not left by then is composed anew.
const MAX_AGE: Duration = Duration::from_nanos(20_000_000);

/// A start request of which a part has not left by then is broken off: its machine never has it whole.
const MAX_PARTIAL_AGE: Duration = Duration::from_nanos(100_000_000);

/// A start request as it was composed.
#[derive(Clone, Copy, Debug)]
struct ComposedRequest {
    at: Timestamp,
    attempt: AttemptId,
    token: u64,
}

/// Start requests that may not have left yet, in the order of composing. In memory only.
#[derive(Debug, Default)]
pub struct UnsentRequests {
    composed: VecDeque<ComposedRequest>,
    /// Those of which a part had left when they were to be composed anew.
    partly_sent: Vec<ComposedRequest>,
}

impl UnsentRequests {
    /// The start request of this attempt was composed, with this token.
    pub fn push(&mut self, at: Timestamp, attempt: AttemptId, token: u64) {
        self.composed.push_back(ComposedRequest { at, attempt, token });
    }

    fn pop_composed_before(&mut self, limit: Timestamp) -> Option<ComposedRequest> {
        self.composed.pop_front_if(|request| request.at <= limit)
    }
}

impl SchedulerState {
    /// Composes the start requests anew that have waited for too long for their connection to take them.
    pub fn refresh_unsent_requests(&mut self) {
        while let Some(request) = self.unsent_requests.pop_composed_before(self.now - MAX_AGE) {
            self.refresh_unsent(request);
        }
        for request in std::mem::take(&mut self.unsent_requests.partly_sent) {
            self.check_partly_sent(request);
        }
    }

    /// Breaks off a start request of which a part is stuck here, and waits for others a while longer.
    fn check_partly_sent(&mut self, request: ComposedRequest) {
        let AttemptId { task: id, .. } = request.attempt;
        let Some(connection_id) = self.carrier_of(request) else { return };
        if !self.connections.is_unsent(connection_id, request.token) {
            return;
        }
        let connection = &self.machines.connections[&connection_id];
        let is_alone = connection.awaiting == [id];
        if self.now - request.at < MAX_PARTIAL_AGE || !is_alone || self.has_pending_outcome(request.attempt) {
            return self.unsent_requests.partly_sent.push(request);
        }
        tracing::debug!(task = hex(id), connection = connection_id.0, "start request broken off");
        self.policy_queue.push_outcome(request.attempt, Outcome::NotSent);
        if let Some(connection) = self.machines.connections.get_mut(&connection_id) {
            connection.remove_awaiting(id);
        }
        break_connection(self, connection_id);
    }

    /// The connection that carries this request, if it is the current one of its attempt.
    fn carrier_of(&self, request: ComposedRequest) -> Option<ConnectionId> {
        let attempt = self.tasks.attempt(request.attempt.task)?;
        match attempt.state {
            AttemptState::Sent { connection, token }
                if attempt.number == request.attempt.number && token == request.token =>
            {
                self.machines.connections.contains_key(&connection).then_some(connection)
            }
            _ => None,
        }
    }

    fn refresh_unsent(&mut self, request: ComposedRequest) {
        let ComposedRequest { attempt: AttemptId { task: id, .. }, token, .. } = request;
        let Some(connection_id) = self.carrier_of(request) else { return };
        if !self.tasks.by_id[&id].awaits_answer() {
            return;
        }
        if !self.machines.connections[&connection_id].established {
            // It passes on no more than is left when the connection is given up.
            return self.unsent_requests.push(self.now, request.attempt, token);
        }
        if !self.connections.retract(connection_id, token) {
            if self.connections.is_unsent(connection_id, token) {
                self.unsent_requests.partly_sent.push(request);
            }
            return;
        }
        let token = self.next_token();
        let task = self.tasks.by_id.get_mut(&id).expect("has an attempt");
        let attempt = task.attempt.as_mut().expect("a connection carries it");
        attempt.state = AttemptState::Sent { connection: connection_id, token };
        let attempt = *attempt;
        self.send_start_request(id, attempt, connection_id, token);
    }
}
