//! Spaces out offers to a machine in slow start whose connection is stalled.
//!
//! The placement policy spreads what such a machine can bear over half as long again as the rule's window, so
//! offers may be late by half a window. Seen on real sockets: behind a stalled connection, a stopped proxy or
//! a machine that hung, offers sent over seconds arrived together. So no more is sent while an offer to a
//! machine in slow start has been unanswered for longer than that, or for one window after an answer that
//! late.

use mulleinhub_interface::{Duration, Timestamp};
use std::collections::VecDeque;

/// The part of the rule's window by which an offer may be late.
const MAX_LATENESS: f64 = 0.5;

/// An offer that was sent and not answered.
#[derive(Debug)]
struct Offer {
    sent_at: Timestamp,
    task: u64,
    attempt: u32,
}

/// The gate in front of one machine. In memory only; it starts open.
#[derive(Debug, Default)]
pub struct SlowStartGate {
    slow_start_until: Option<Timestamp>,
    /// Offers without an answer, in the order of sending.
    unanswered: VecDeque<Offer>,
    late_answer_at: Option<Timestamp>,
}

impl SlowStartGate {
    /// The machine is in slow start until then, at least.
    pub fn extend_slow_start(&mut self, until: Timestamp) {
        self.slow_start_until = Some(self.slow_start_until.map_or(until, |known| known.max(until)));
    }

    fn is_in_slow_start(&self, now: Timestamp) -> bool {
        self.slow_start_until.is_some_and(|until| now < until)
    }

    /// An offer was handed to the connection.
    pub fn on_sent(&mut self, now: Timestamp, task: u64, attempt: u32) {
        if self.is_in_slow_start(now) {
            self.unanswered.push_back(Offer { sent_at: now, task, attempt });
        }
    }

    /// The machine has answered this attempt: offers sent before it have arrived too.
    pub fn on_answered(&mut self, now: Timestamp, window: Duration, task: u64, attempt: u32) {
        let is_answered = |offer: &Offer| (offer.task, offer.attempt) == (task, attempt);
        let Some(position) = self.unanswered.iter().position(is_answered) else { return };
        if now - self.unanswered[position].sent_at > window * MAX_LATENESS {
            self.late_answer_at = Some(now);
        }
        self.unanswered.drain(..=position);
    }

    /// The connection is closed: no offer can arrive any more, and some may just have arrived.
    pub fn on_disconnected(&mut self, now: Timestamp) {
        if !self.unanswered.is_empty() {
            self.late_answer_at = Some(now);
        }
        self.unanswered.clear();
    }

    /// Whether an offer that was decided at `decided` is too late for the window that it was counted in.
    /// Seen: offers of several windows waited for a connection or behind the gate, and were sent at one
    /// moment.
    pub fn is_stale(&self, now: Timestamp, window: Duration, decided: Timestamp) -> bool {
        self.is_in_slow_start(now) && now - decided > window * MAX_LATENESS
    }

    /// When an offer that is decided now becomes too late for its window.
    pub fn stale_after(&self, now: Timestamp, window: Duration) -> Option<Timestamp> {
        self.is_in_slow_start(now).then(|| now + window * MAX_LATENESS)
    }

    /// Until when nothing may be sent because the connection is stalled; a later call may return a later
    /// time.
    pub fn closed_until(&self, now: Timestamp, window: Duration) -> Option<Timestamp> {
        if !self.is_in_slow_start(now) {
            return None;
        }
        let after_late_answer = self.late_answer_at.map(|at| at + window).filter(|until| *until > now);
        let is_stalled = |offer: &Offer| now - offer.sent_at > window * MAX_LATENESS;
        if self.unanswered.front().is_some_and(is_stalled) {
            Some(after_late_answer.unwrap_or(now).max(now + window * MAX_LATENESS))
        } else {
            after_late_answer
        }
    }
}

#[cfg(test)]
mod tests;
