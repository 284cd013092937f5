//! Final answers: notifying a client, and keeping the answer for a client that comes back.

use super::SchedulerState;
use crate::task::{AttemptId, FinalAnswer, UnresolvedAttempt};
use crate::timer::Timer;
use mulleinhub_interface::{TaskId, Timestamp};
use mulleinhub_protocol::Message;
use mulleinhub_sans_io::ConnectionId;
use std::collections::{BTreeMap, VecDeque};

/// What expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expiring {
    /// The final answer to a task.
    Answer(TaskId),
    /// An unresolved attempt.
    Attempt(AttemptId),
}

/// Answers and unresolved attempts, kept for a time that is the same for all.
#[derive(Debug, Default)]
pub struct AnswerStore {
    /// The final answer to each task, with the name of its client.
    pub answers: BTreeMap<TaskId, (FinalAnswer, String)>,
    /// Attempts that a machine may still accept.
    pub unresolved: BTreeMap<AttemptId, UnresolvedAttempt>,
    /// When to drop them, oldest first.
    expiry: VecDeque<(Timestamp, Expiring)>,
}

impl AnswerStore {
    /// How many deadlines are kept.
    #[cfg(test)]
    pub fn expiries(&self) -> usize {
        self.expiry.len()
    }
}

impl SchedulerState {
    /// Notifies the client of a task: on the connection that asked last, else on the client's newest.
    pub fn notify_client(&mut self, connection: Option<ConnectionId>, client: &str, message: &Message<'_>) {
        let open = connection.filter(|connection| self.peers.contains_key(connection));
        let open = open.or_else(|| self.clients.newest.get(client).copied());
        if let Some(connection) = open {
            self.write(connection, message);
        }
    }

    /// Closes a task with its final answer, which is kept for a client that comes back.
    pub fn finish(&mut self, id: TaskId, answer: FinalAnswer) {
        let record = self.tasks.remove(&id).expect("the task is open");
        if !record.answered {
            self.settle(record.client_connection, record.accepted_at, record.shape.service);
        }
        if let (Some(quota), Some(ticket)) = (&mut self.quota, record.ticket) {
            match answer {
                FinalAnswer::Ended(ending) => quota.on_ended(self.now, ticket, ending.comes_again()),
                _ if record.may_have_run_since.is_some() => quota.on_possible_run(self.now, ticket),
                _ => quota.on_never_ran(self.now, ticket),
            }
        }
        let _task = tracing::debug_span!("task", id = id.0, client = record.client).entered();
        tracing::debug!(?answer, attempts = record.attempts, "answered");
        // Who cancels a task asks for no answer.
        if answer != FinalAnswer::Cancelled {
            self.notify_client(record.client_connection, &record.client, &answer.message(id));
        }
        self.answers.answers.insert(id, (answer, record.client));
        self.expire_later(Expiring::Answer(id));
    }

    /// The final answer to a task that was accepted at this time is given: it is owed no longer.
    pub fn settle(&mut self, connection: Option<ConnectionId>, accepted_at: Timestamp, service: u64) {
        self.clients.admission.release(self.now, service);
        self.count_open_task(connection, false);
        self.latencies.to_answer.saturating_record((self.now - accepted_at).nanos() / 1000);
    }

    /// Keeps an attempt that a machine may still accept.
    pub fn keep_unresolved(&mut self, attempt: AttemptId, unresolved: UnresolvedAttempt) {
        self.answers.unresolved.insert(attempt, unresolved);
        self.expire_later(Expiring::Attempt(attempt));
    }

    fn expire_later(&mut self, what: Expiring) {
        let at = self.now + self.settings.answer_retention;
        if self.answers.expiry.is_empty() {
            self.timers.schedule(at, Timer::ExpireAnswers);
        }
        self.answers.expiry.push_back((at, what));
    }

    /// Drops what nobody may come back for any more.
    pub fn expire_answers(&mut self) {
        while let Some((at, what)) = self.answers.expiry.front().copied() {
            if at > self.now {
                self.timers.schedule(at, Timer::ExpireAnswers);
                return;
            }
            self.answers.expiry.pop_front();
            match what {
                Expiring::Attempt(attempt) => drop(self.answers.unresolved.remove(&attempt)),
                Expiring::Answer(id) => drop(self.answers.answers.remove(&id)),
            }
        }
    }
}
