//! Keeps offers to a cold machine apart where the way to it is stalled.
//!
//! The module deals out what a cold machine always bears, over half as long again as the rule's window, so
//! offers may be late by half a window. Met on real sockets: behind a stalled link, a stopped tap or a
//! machine that hung, what was offered over seconds arrived together. So while an offer to a cold machine is
//! out unanswered for longer than that, or was answered so late within the last window, no more is written to
//! it.

use mulleinhub_interface::{Duration, Timestamp};
use std::collections::VecDeque;

/// The part of the rule's window by which an offer may be late.
const LATE: f64 = 0.5;

#[derive(Debug, Default)]
pub struct SlowStartGate {
    cold_until: Option<Timestamp>,
    /// Offers without an answer, in the order of writing.
    out: VecDeque<(Timestamp, u64, u32)>,
    late_at: Option<Timestamp>,
}

impl SlowStartGate {
    /// The machine is cold until then.
    pub fn is_cold_until(&mut self, until: Timestamp) {
        self.cold_until = Some(self.cold_until.map_or(until, |known| known.max(until)));
    }

    fn is_cold(&self, now: Timestamp) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    pub fn wrote(&mut self, now: Timestamp, task: u64, send: u32) {
        if self.is_cold(now) {
            self.out.push_back((now, task, send));
        }
    }

    /// The machine said something of this send: what was written before it has arrived too.
    pub fn answered(&mut self, now: Timestamp, fall: Duration, task: u64, send: u32) {
        let Some(at) = self.out.iter().position(|(_, t, s)| (*t, *s) == (task, send)) else { return };
        let (written, ..) = self.out[at];
        if now - written > fall * LATE {
            self.late_at = Some(now);
        }
        self.out.drain(..=at);
    }

    /// The connection is over: nothing of it can arrive any more, and some may just have.
    pub fn ended(&mut self, now: Timestamp) {
        if !self.out.is_empty() {
            self.late_at = Some(now);
        }
        self.out.clear();
    }

    /// Whether an offer that was decided on then comes too late for the budget that it was counted in. Met:
    /// offers of several windows waited for a connection or behind the gate, and went out in one instant.
    pub fn is_stale(&self, now: Timestamp, fall: Duration, decided: Timestamp) -> bool {
        self.is_cold(now) && now - decided > fall * LATE
    }

    /// From when on an offer that is decided on now comes too late for that budget.
    pub fn stale_after(&self, now: Timestamp, fall: Duration) -> Option<Timestamp> {
        self.is_cold(now).then(|| now + fall * LATE)
    }

    /// Until when nothing more may be written, where the way is stalled; later looks may say later.
    pub fn shut_until(&self, now: Timestamp, fall: Duration) -> Option<Timestamp> {
        if !self.is_cold(now) {
            return None;
        }
        let late = self.late_at.map(|at| at + fall).filter(|until| *until > now);
        let waits = self.out.front().is_some_and(|(written, ..)| now - *written > fall * LATE);
        if waits { Some(late.unwrap_or(now).max(now + fall * LATE)) } else { late }
    }
}

#[cfg(test)]
mod tests;
