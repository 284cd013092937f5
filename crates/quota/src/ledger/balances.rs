//! What each member has of a team's share, according to all logs.

use super::Ledger;
use mulleinhub_replicated_log::{DirectiveAction, Name, SplitAmount, Subject};
use std::collections::BTreeMap;

impl Ledger {
    /// The cap of a team: that of the newest directive, or else of the settings.
    pub(super) fn cap(&self, team: usize) -> Option<u64> {
        let team = &self.settings.teams[team];
        match self.fleet_logs.directives().get(&Subject::Team(team.name.clone())) {
            Some(standing) => match standing.action {
                DirectiveAction::Cap { amount } => Some(amount),
                _ => team.cap,
            },
            None => team.cap,
        }
    }

    /// The first incarnation of a member to which transfers are still valid.
    pub(super) fn valid_from(&self, member: &Name) -> u64 {
        self.fleet_logs.latest_state(member).map_or(0, |state| state.transfers_valid_from)
    }

    /// What a member has of a team's share that it neither reserved nor gave away; zero where it reserved
    /// more than it has.
    pub(super) fn remaining(
        &self,
        member: &Name,
        team: usize,
        month: u32,
        received: SplitAmount,
    ) -> SplitAmount {
        let amount = |balance: i128| u64::try_from(balance).unwrap_or(0);
        let (open, last) = self.signed_balance(member, team, month, received);
        SplitAmount { open: amount(open), running_only: amount(last) }
    }

    /// The same with a sign, open and running-only part: it is negative where a cap was lowered after more
    /// had been reserved.
    pub(super) fn signed_balance(
        &self,
        member: &Name,
        team: usize,
        month: u32,
        received: SplitAmount,
    ) -> (i128, i128) {
        let Some(cap) = self.cap(team) else { return (0, 0) };
        let name = &self.settings.teams[team].name;
        let void_through =
            self.fleet_logs.latest_state(member).map_or(0, |state| state.initial_share_void_through);
        let first = if month <= void_through {
            SplitAmount::default()
        } else {
            self.settings.first_share(member, cap)
        };
        let balance = self.fleet_logs.balance(member, name, month);
        let given = self.fleet_logs.transferred_out(member, name, month);
        let signed = |part: fn(SplitAmount) -> u64| {
            let [first, received, voided, reserved, given] =
                [first, received, balance.voided, balance.reserved, given]
                    .map(|parts| i128::from(part(parts)));
            first + received + voided - reserved - given
        };
        (signed(|parts| parts.open), signed(|parts| parts.running_only))
    }

    /// What each member received of a team's share, in one pass over all transfers.
    pub(super) fn received_by_member(&self, team: usize, month: u32) -> BTreeMap<Name, SplitAmount> {
        let mut received: BTreeMap<Name, SplitAmount> = BTreeMap::new();
        let transfers = self.fleet_logs.transfers_of(&self.settings.teams[team].name, month);
        for (transfer, parts) in transfers.filter(|(t, _)| t.incarnation >= self.valid_from(&t.to)) {
            let sum = received.entry(transfer.to.clone()).or_default();
            *sum = sum.saturating_add(*parts);
        }
        received
    }

    /// What each of the other members has.
    pub(super) fn remaining_of_others(&self, team: usize, month: u32) -> Vec<(Name, SplitAmount)> {
        let received = self.received_by_member(team, month);
        let remaining = |name: &Name| {
            let received = received.get(name).copied().unwrap_or_default();
            (name.clone(), self.remaining(name, team, month, received))
        };
        self.membership.members().map(remaining).collect()
    }
}
