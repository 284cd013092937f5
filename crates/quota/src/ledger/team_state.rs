//! What the ledger keeps for one team.

use crate::reservation_pool::{PoolSnapshot, TeamLimits};
use crate::share_policy::{DemandRate, Usage};
use mulleinhub_interface::Timestamp;
use mulleinhub_replicated_log::{Balance, Name, SplitAmount};
use std::collections::{BTreeMap, VecDeque};

/// A reservation that becomes available once the entry of it is on disk.
#[derive(Debug)]
struct PendingReservation {
    entry_number: u64,
    amount: SplitAmount,
}

/// A share request that waits for its reply.
#[derive(Debug)]
pub(super) struct OutstandingRequest {
    pub(super) donor: Name,
    /// When it is given up.
    pub(super) deadline: Timestamp,
}

/// State of one team at this scheduler. Amounts are in micro-units.
#[derive(Debug)]
pub(super) struct TeamState {
    /// What our log says of this month, including what is not on disk yet.
    pub(super) balance: Balance,
    /// What earlier incarnations spent of it.
    pub(super) spent_before: u64,
    pending_reservations: VecDeque<PendingReservation>,
    pub(super) demand: DemandRate,
    /// The last largest request of one worker that was not zero.
    pub(super) largest_request: u64,
    pub(super) outstanding_request: Option<OutstandingRequest>,
    /// When the shares of other members were last computed.
    pub(super) donors_checked_at: Option<Timestamp>,
    /// Members that are not asked for a transfer until these instants.
    pub(super) donor_backoff: BTreeMap<Name, Timestamp>,
    /// The pool at the last tick.
    pub(super) snapshot: PoolSnapshot,
    /// All others together have enough for one worker.
    pub(super) others_have_share: bool,
    /// The limits at the last tick.
    pub(super) limits: TeamLimits,
}

impl TeamState {
    pub(super) fn new() -> Self {
        Self {
            balance: Balance::default(),
            spent_before: 0,
            pending_reservations: VecDeque::new(),
            demand: DemandRate::default(),
            largest_request: 0,
            outstanding_request: None,
            donors_checked_at: None,
            donor_backoff: BTreeMap::new(),
            snapshot: PoolSnapshot::default(),
            others_have_share: true,
            limits: TeamLimits::default(),
        }
    }

    /// What this scheduler uses of the team's share.
    pub(super) fn usage(&self) -> Usage {
        Usage {
            new: self.demand.per_second(),
            running: self.snapshot.rate,
            largest_request: self.largest_request,
        }
    }

    pub(super) fn add_pending_reservation(&mut self, entry_number: u64, amount: SplitAmount) {
        self.pending_reservations.push_back(PendingReservation { entry_number, amount });
    }

    /// Takes the reservations whose entries are on disk, up to `durable`.
    pub(super) fn take_durable_reservations(&mut self, durable: u64) -> SplitAmount {
        let mut ready = SplitAmount::default();
        self.pending_reservations.retain(|reservation| {
            if reservation.entry_number > durable {
                return true;
            }
            ready = ready.saturating_add(reservation.amount);
            false
        });
        ready
    }

    /// The sum of reservations whose entries are not on disk yet.
    pub(super) fn pending_reservations(&self) -> SplitAmount {
        self.pending_reservations.iter().fold(SplitAmount::default(), |sum, r| sum.saturating_add(r.amount))
    }

    pub(super) fn clear_pending_reservations(&mut self) {
        self.pending_reservations.clear();
    }

    /// Remembers what the pool says at a tick.
    pub(super) fn observe(&mut self, now: Timestamp, snapshot: PoolSnapshot) {
        self.demand.record(now, snapshot.requested);
        if snapshot.largest_request > 0 {
            self.largest_request = snapshot.largest_request;
        }
        self.snapshot = snapshot;
    }
}
