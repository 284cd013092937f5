//! Share transfers: requesting parts of other members' shares, and granting parts of our own.

use super::team_state::OutstandingRequest;
use super::{Ledger, Phase};
use crate::reservation_pool::{PoolSnapshot, ReservationPools};
use crate::share_policy;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_replicated_log::{Entry, MemberState, Name, ShareTransfer, SplitAmount};

/// A share request without a reply is given up after this.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// A member that had nothing to give, or did not reply, is not asked for at least this long. After an empty
/// reply a random part of the same is added.
const DONOR_BACKOFF: Duration = Duration::from_secs(2);
/// Least time between two computations of what other members have.
const DONOR_CHECK_INTERVAL: Duration = Duration::from_nanos(200_000_000);

/// A request for a part of another member's share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareRequest {
    /// The member the request goes to; on the receiving side, the member it comes from.
    pub to: Name,
    /// The incarnation of the requesting scheduler. A transfer is valid for it and later ones.
    pub incarnation: u64,
    /// The team whose share is requested.
    pub team: Name,
    /// The month, as numbered by [`crate::Month::number`].
    pub month: u32,
    /// The amounts requested.
    pub amount: SplitAmount,
}

/// The reply to a share request, sent once the entry of the transfer is on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareReply {
    /// The requesting member.
    pub to: Name,
    /// The team whose share was requested.
    pub team: Name,
    /// The month of the request.
    pub month: u32,
    /// What was transferred, possibly nothing.
    pub amount: SplitAmount,
    /// The number of the transfer's entry in our fleet log; 0 where nothing was transferred.
    pub entry_number: u64,
}

/// Granting.
impl Ledger {
    /// Another member requests a part of our share. The transfer is recorded now; the reply follows once the
    /// entry is on disk.
    pub fn on_share_request(
        &mut self,
        now: Timestamp,
        from: &Name,
        incarnation: u64,
        request: &ShareRequest,
        pools: &mut dyn ReservationPools,
    ) {
        let (amount, entry_number) = self.grant(now, from, incarnation, request, pools);
        let (team, month) = (request.team.clone(), request.month);
        self.share_replies.push(ShareReply { to: from.clone(), team, month, amount, entry_number });
    }

    /// Transfers what can be spared, and returns it with the number of its entry; zeros for nothing.
    fn grant(
        &mut self,
        now: Timestamp,
        from: &Name,
        incarnation: u64,
        request: &ShareRequest,
        pools: &mut dyn ReservationPools,
    ) -> (SplitAmount, u64) {
        const NOTHING: (SplitAmount, u64) = (SplitAmount { open: 0, running_only: 0 }, 0);
        let team = self.settings.teams.iter().position(|team| team.name == request.team);
        let month = self.month.map(|month| month.number);
        let is_current = self.phase == Phase::Writing && month == Some(request.month);
        let Some(team) = team.filter(|_| is_current) else { return NOTHING };
        let free = self.own_share(team, request.month).free;
        let usage = self.teams[team].usage();
        let mut snapshot = PoolSnapshot::default();
        pools.with_pool(team, &mut |pool| snapshot = pool.take_snapshot(now));
        self.teams[team].demand.record(now, snapshot.requested);
        let wanted =
            share_policy::amount_to_give(free.saturating_add(snapshot.available), usage, request.amount);
        if wanted == SplitAmount::default() {
            return NOTHING;
        }
        self.return_reserved(team, request.month, wanted.saturating_sub(free), pools);
        let free = self.own_share(team, request.month).free;
        let amount = SplitAmount {
            open: wanted.open.min(free.open),
            running_only: wanted.running_only.min(free.running_only),
        };
        if amount == SplitAmount::default() {
            return NOTHING;
        }
        let transfer =
            ShareTransfer { team: request.team.clone(), month: request.month, to: from.clone(), incarnation };
        (amount, self.write_transfer(transfer, amount))
    }

    /// Returns up to so much from the pool into our share.
    fn return_reserved(
        &mut self,
        team: usize,
        month: u32,
        amount: SplitAmount,
        pools: &mut dyn ReservationPools,
    ) {
        if amount == SplitAmount::default() {
            return;
        }
        let mut returned = SplitAmount::default();
        pools.with_pool(team, &mut |pool| returned = pool.withdraw(amount));
        let balance = &mut self.teams[team].balance;
        balance.reserved = balance.reserved.saturating_sub(returned);
        self.write_balance(team, month);
    }

    /// Records a transfer. Entries carry the sum of all transfers to an incarnation of a member.
    fn write_transfer(&mut self, transfer: ShareTransfer, amount: SplitAmount) -> u64 {
        let own = self.fleet_logs.latest_state(&self.settings.me);
        let before = own.and_then(|state| state.transferred_out.get(&transfer)).copied().unwrap_or_default();
        self.fleet_logs.write(&Entry::Transferred { transfer, total: before.saturating_add(amount) })
    }

    /// Takes the replies whose entries are on disk.
    pub fn take_share_replies(&mut self) -> Vec<ShareReply> {
        let durable = self.fleet_logs.durable_number();
        let replies = std::mem::take(&mut self.share_replies).into_iter();
        let (ready, waiting) = replies.partition(|reply| reply.entry_number <= durable);
        self.share_replies = waiting;
        ready
    }
}

/// Requesting.
impl Ledger {
    /// Takes the share requests that are to be sent.
    pub fn take_share_requests(&mut self) -> Vec<ShareRequest> {
        std::mem::take(&mut self.share_requests)
    }

    /// Another member's reply to our request. What it transferred counts once its log entry arrives.
    pub fn on_share_reply(&mut self, now: Timestamp, from: &Name, team: &Name, amount: SplitAmount) {
        let Some(team) = self.settings.teams.iter().position(|t| t.name == *team) else { return };
        let backoff_until = now + DONOR_BACKOFF * (1.0 + self.random.fraction());
        let state = &mut self.teams[team];
        if state.outstanding_request.as_ref().is_some_and(|request| request.donor == *from) {
            state.outstanding_request = None;
            if amount == SplitAmount::default() {
                state.donor_backoff.insert(from.clone(), backoff_until);
            }
        }
    }

    /// Requests a part of another member's share, unless a request is outstanding.
    pub(super) fn request_share(&mut self, now: Timestamp, team: usize, month: u32, amount: SplitAmount) {
        let state = &mut self.teams[team];
        if state.outstanding_request.as_ref().is_some_and(|request| now < request.deadline) {
            return;
        }
        if let Some(request) = state.outstanding_request.take() {
            // The donor may be slow: others are asked first for a while.
            state.donor_backoff.insert(request.donor, now + DONOR_BACKOFF);
        }
        let was_checked = state.donors_checked_at.is_some_and(|at| now - at < DONOR_CHECK_INTERVAL);
        if amount == SplitAmount::default() || was_checked {
            return;
        }
        state.donors_checked_at = Some(now);
        state.donor_backoff.retain(|_, until| now < *until);
        let Some(donor) = self.choose_donor(now, team, month, amount) else { return };
        let deadline = now + REPLY_TIMEOUT;
        self.teams[team].outstanding_request = Some(OutstandingRequest { donor: donor.clone(), deadline });
        let (incarnation, team) = (self.incarnation(), self.settings.teams[team].name.clone());
        self.share_requests.push(ShareRequest { to: donor, incarnation, team, month, amount });
    }

    /// Computes what others have of a team's share, and chooses one of them to request a transfer from.
    fn choose_donor(&mut self, now: Timestamp, team: usize, month: u32, amount: SplitAmount) -> Option<Name> {
        let needs_open = amount.open > 0;
        let wanted_part = |has: SplitAmount| if needs_open { has.open } else { has.running_only };
        let remaining = self.remaining_of_others(team, month).into_iter();
        let others: Vec<(Name, u64)> = remaining.map(|(name, has)| (name, wanted_part(has))).collect();
        let total = others.iter().fold(0u64, |sum, (_, has)| sum.saturating_add(*has));
        let state = &mut self.teams[team];
        state.others_have_share = total >= state.largest_request.max(1);
        let candidates: Vec<(&Name, u64)> = others
            .iter()
            .filter(|(name, _)| !state.donor_backoff.contains_key(name))
            .filter(|(name, _)| self.membership.member_state(now, name) != MemberState::Dead)
            .map(|(name, has)| (name, *has))
            .collect();
        share_policy::choose_donor(&mut self.random, &candidates).cloned()
    }
}
