//! Admission of workers against what this scheduler has reserved of one team's share.
//!
//! The ledger credits reservations to the pool; workers spend them. A new worker commits its cost for a
//! fixed duration out of the open part. While it runs, its cost is paid from what is available beside that
//! commitment: first from the open part, then from the running-only part, which new workers can't use. So
//! at any instant the reservations cover what was spent plus the commitments of all running workers. When
//! nothing is left, workers run on and their cost becomes a debt.
//!
//! The pool is called by the scheduler's event loop and, under the same lock, by the ledger. Admission
//! doesn't allocate: the ledger provides the capacity for events and pending keys.

mod types;

pub use types::{PoolSnapshot, Readmission, ReservationPools, RetryAfter, TeamLimits, WorkerEvent};

use crate::money::{accrued, cost};
use mulleinhub_interface::{Duration, TaskKey, Ticket, Timestamp};
use mulleinhub_replicated_log::SplitAmount;
use std::collections::HashMap;

/// Bounds of the spare capacity for pending keys.
const MAX_SPARE_KEYS: usize = 256;
const MIN_SPARE_KEYS: usize = 1;
/// Spare capacity for pending keys, as a multiple of the recent peak of requests between two refreshes.
const SPARE_KEYS_PER_REQUEST: usize = 2;
/// The peak of requests is forgotten after this.
const PEAK_MEMORY: Duration = Duration::from_secs(60);

/// The reservations of one team at one scheduler. Amounts are in micro-units.
#[derive(Debug)]
pub struct ReservationPool {
    /// How long a worker's cost is committed for in advance.
    commitment: Duration,
    /// Up to when costs are accrued.
    at: Timestamp,
    /// Nothing new is admitted after this instant until the next refresh.
    fresh_until: Timestamp,
    retry_after: RetryAfter,
    limits: TeamLimits,
    available: SplitAmount,
    /// Commitments of all workers that are pending or running.
    committed: u64,
    /// Spent without cover.
    debt: u64,
    rate: u64,
    spent: u64,
    /// Remainder of the accrued cost, in nano-parts of a micro-unit.
    remainder: u64,
    /// Tasks that may be admitted again, whichever scheduler they ran at.
    readmissions: HashMap<u64, Readmission>,
    /// Keys that were admitted here and don't run yet, and how often.
    pending: HashMap<u64, u32>,
    /// Requests since the last refresh, and the recent peak of that with the time when it was reached.
    requests: usize,
    peak_requests: usize,
    peak_requests_at: Timestamp,
    // Since the previous snapshot.
    requested: u64,
    rejected: u64,
    largest_request: u64,
    /// Not yet taken by the ledger.
    events: Vec<WorkerEvent>,
}

/// Admission and the life cycle of workers, called by the scheduler.
impl ReservationPool {
    /// An empty pool, which admits nothing to a team with a cap or an account before the first
    /// [`refresh`](Self::refresh).
    pub fn new(commitment: Duration, retry_after: RetryAfter, limits: TeamLimits) -> Self {
        Self {
            commitment,
            at: Timestamp::default(),
            fresh_until: Timestamp::default(),
            retry_after,
            limits,
            available: SplitAmount::default(),
            committed: 0,
            debt: 0,
            rate: 0,
            spent: 0,
            remainder: 0,
            readmissions: HashMap::new(),
            pending: HashMap::new(),
            requests: 0,
            peak_requests: 0,
            peak_requests_at: Timestamp::default(),
            requested: 0,
            rejected: 0,
            largest_request: 0,
            events: Vec::new(),
        }
    }

    /// Admits one more worker of this rate (micro-units per second), and returns its ticket. `jitter` is a
    /// random fraction that spreads the retries of rejected clients.
    ///
    /// # Errors
    /// The worker is rejected; the value is the delay before the client may retry.
    pub fn admit(
        &mut self,
        now: Timestamp,
        team: u32,
        key: TaskKey,
        rate: u64,
        jitter: f64,
    ) -> Result<Ticket, Duration> {
        self.accrue(now);
        self.requests += 1;
        let commitment = cost(rate, self.commitment);
        let ticket = Ticket { team, key, rate, reserved_open: 0, reserved_last: 0 };
        let grace_period_over = self.limits.grace_period_over;
        let readmission = self.readmissions.get_mut(&key.0).filter(|r| !r.in_use && !grace_period_over);
        if let Some(readmission) = readmission {
            readmission.in_use = true;
            if readmission.ran {
                // It takes its own place again: not a new worker, and never rejected.
                return Ok(self.commit(ticket, commitment));
            }
        } else if self.limits.suspended {
            return Err(self.reject(jitter));
        }
        match self.admit_new(now, ticket, commitment) {
            Some(ticket) => {
                *self.pending.entry(key.0).or_default() += 1;
                Ok(ticket)
            }
            None => {
                self.release_readmission(key.0);
                Err(self.reject(jitter))
            }
        }
    }

    fn reject(&mut self, jitter: f64) -> Duration {
        self.rejected += 1;
        self.retry_after.jittered(jitter)
    }

    /// Commits the cost of a new worker, where enough is available.
    fn admit_new(&mut self, now: Timestamp, ticket: Ticket, commitment: u64) -> Option<Ticket> {
        let is_fresh = now <= self.fresh_until;
        if !self.limits.has_cap {
            return (is_fresh || !self.limits.has_account).then_some(ticket);
        }
        self.requested = self.requested.saturating_add(commitment);
        self.largest_request = self.largest_request.max(commitment);
        if !is_fresh || self.limits.nearly_spent || self.available.open < commitment {
            return None;
        }
        self.available.open -= commitment;
        self.committed += commitment;
        Some(Ticket { reserved_open: commitment, ..ticket })
    }

    fn release_readmission(&mut self, key: u64) {
        if let Some(readmission) = self.readmissions.get_mut(&key) {
            readmission.in_use = false;
        }
    }

    fn remove_pending(&mut self, key: u64) {
        if let Some(count) = self.pending.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.pending.remove(&key);
            }
        }
    }

    /// Commits the cost of a worker that can't be rejected: out of the running-only part, then out of the
    /// open one, as far as they go.
    fn commit(&mut self, ticket: Ticket, commitment: u64) -> Ticket {
        let last = commitment.min(self.available.running_only);
        let open = (commitment - last).min(self.available.open);
        self.available = self.available.saturating_sub(SplitAmount { open, running_only: last });
        self.committed += open + last;
        Ticket { reserved_open: open, reserved_last: last, ..ticket }
    }

    fn return_commitment(&mut self, ticket: Ticket) {
        self.committed -= ticket.reserved_open + ticket.reserved_last;
        self.available = self
            .available
            .saturating_add(SplitAmount { open: ticket.reserved_open, running_only: ticket.reserved_last });
        self.cover_debt();
    }

    /// The task had its final outcome and never ran: its commitment is returned.
    pub fn release_unstarted(&mut self, now: Timestamp, ticket: Ticket) {
        self.accrue(now);
        self.return_commitment(ticket);
        self.release_readmission(ticket.key.0);
        self.remove_pending(ticket.key.0);
    }

    /// The task had its final outcome but may be running all the same: its whole commitment counts as spent.
    pub fn charge_commitment(&mut self, now: Timestamp, ticket: Ticket) {
        self.accrue(now);
        let commitment = ticket.reserved_open + ticket.reserved_last;
        self.committed -= commitment;
        self.spent += commitment;
        self.release_readmission(ticket.key.0);
        self.remove_pending(ticket.key.0);
    }

    /// An admitted worker runs now.
    pub fn start(&mut self, now: Timestamp, ticket: Ticket) {
        self.accrue(now);
        self.rate += ticket.rate;
        self.remove_pending(ticket.key.0);
        let is_replacement = self.readmissions.get(&ticket.key.0).is_some_and(|readmission| readmission.ran);
        self.events.push(WorkerEvent::Started { key: ticket.key.0, rate: ticket.rate, is_replacement });
    }

    /// Takes over a worker that runs already, and returns its ticket.
    pub fn adopt(&mut self, now: Timestamp, team: u32, key: TaskKey, rate: u64) -> Ticket {
        self.accrue(now);
        let commitment = cost(rate, self.commitment);
        self.rate += rate;
        self.events.push(WorkerEvent::Adopted { key: key.0, rate, at: now });
        self.commit(Ticket { team, key, rate, reserved_open: 0, reserved_last: 0 }, commitment)
    }

    /// A worker runs no longer; `readmissible` if it was lost, moved or evicted and may run again.
    pub fn end(&mut self, now: Timestamp, ticket: Ticket, readmissible: bool) {
        self.accrue(now);
        self.rate -= ticket.rate;
        self.return_commitment(ticket);
        if readmissible {
            self.readmissions.insert(ticket.key.0, Readmission { in_use: false, ran: true });
        } else {
            self.readmissions.remove(&ticket.key.0);
        }
        self.events.push(WorkerEvent::Ended { key: ticket.key.0, readmissible });
    }

    /// Charges what running workers cost since the previous call.
    fn accrue(&mut self, now: Timestamp) {
        let elapsed = now - self.at;
        self.at = self.at.max(now);
        let (cost, remainder) = accrued(self.rate, elapsed, self.remainder);
        self.remainder = remainder;
        self.spend(cost);
    }

    fn spend(&mut self, cost: u64) {
        self.spent += cost;
        self.debt += cost;
        self.cover_debt();
    }

    fn cover_debt(&mut self) {
        let open = self.debt.min(self.available.open);
        let last = (self.debt - open).min(self.available.running_only);
        self.available = self.available.saturating_sub(SplitAmount { open, running_only: last });
        self.debt -= open + last;
        if !self.limits.has_cap {
            self.debt = 0;
        }
    }
}

/// Refilling and accounting, called by the ledger.
impl ReservationPool {
    /// The state of the pool. Resets the counters of requests.
    pub fn take_snapshot(&mut self, now: Timestamp) -> PoolSnapshot {
        self.accrue(now);
        let snapshot = PoolSnapshot {
            available: self.available,
            committed: self.committed,
            debt: self.debt,
            rate: self.rate,
            spent: self.spent,
            requested: self.requested,
            largest_request: self.largest_request,
            rejected: self.rejected,
        };
        (self.requested, self.largest_request, self.rejected) = (0, 0, 0);
        snapshot
    }

    /// What happened to workers since the last call, in order. The capacity of `empty` is used for the next
    /// events.
    pub fn take_events(&mut self, empty: Vec<WorkerEvent>) -> Vec<WorkerEvent> {
        std::mem::replace(&mut self.events, empty)
    }

    /// Sets the limits that apply until `fresh_until`.
    pub fn refresh(&mut self, fresh_until: Timestamp, retry_after: RetryAfter, limits: TeamLimits) {
        (self.fresh_until, self.retry_after, self.limits) = (fresh_until, retry_after, limits);
        self.reserve_capacity();
    }

    /// Reserves capacity for pending keys by the number of recent requests, so that admission need not
    /// allocate.
    fn reserve_capacity(&mut self) {
        let requests = std::mem::take(&mut self.requests);
        let is_old = self.at - self.peak_requests_at > PEAK_MEMORY;
        if requests >= self.peak_requests || is_old {
            (self.peak_requests, self.peak_requests_at) = (requests, self.at);
        }
        let spare = (self.peak_requests * SPARE_KEYS_PER_REQUEST).clamp(MIN_SPARE_KEYS, MAX_SPARE_KEYS);
        if is_old {
            self.pending.shrink_to(self.pending.len() + spare);
        }
        self.pending.reserve(spare);
    }

    /// Keys that were admitted and don't run yet, in ascending order.
    pub fn pending_keys(&self) -> Vec<u64> {
        let mut keys: Vec<u64> = self.pending.keys().copied().collect();
        keys.sort_unstable();
        keys
    }

    /// Adds a reservation, whose log entry must be on disk.
    pub fn credit(&mut self, amount: SplitAmount) {
        self.available = self.available.saturating_add(amount);
        self.cover_debt();
    }

    /// Takes up to `max` of what is available out of the pool, and returns how much that was.
    pub fn withdraw(&mut self, max: SplitAmount) -> SplitAmount {
        let withdrawn = SplitAmount {
            open: self.available.open.min(max.open),
            running_only: self.available.running_only.min(max.running_only),
        };
        self.available = self.available.saturating_sub(withdrawn);
        withdrawn
    }

    /// Charges what a worker cost before it was adopted.
    pub fn charge(&mut self, now: Timestamp, cost: u64) {
        self.accrue(now);
        self.spend(cost);
    }

    /// Replaces the tasks that may be admitted again, and returns the old map. Rights in use, and those of
    /// workers whose end is not yet recorded by the ledger, are kept.
    pub fn set_readmissions(
        &mut self,
        mut readmissions: HashMap<u64, Readmission>,
    ) -> HashMap<u64, Readmission> {
        for (key, readmission) in self.readmissions.iter().filter(|(_, readmission)| readmission.in_use) {
            readmissions.insert(*key, *readmission);
        }
        for event in &self.events {
            if let WorkerEvent::Ended { key, readmissible: true } = event {
                readmissions.insert(*key, Readmission { in_use: false, ran: true });
            }
        }
        std::mem::replace(&mut self.readmissions, readmissions)
    }

    /// Closes the month, and returns what was spent in it and what of that is owed. What is available
    /// expires; what is committed is owed by the new month, whose share has to cover it.
    pub fn close_month(&mut self, now: Timestamp) -> (u64, u64) {
        self.accrue(now);
        let closed = (std::mem::take(&mut self.spent), std::mem::replace(&mut self.debt, self.committed));
        self.available = SplitAmount::default();
        closed
    }
}

#[cfg(test)]
mod tests;
