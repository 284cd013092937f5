//! What all logs together say of each team's cap: what was spent of it, and what our share of it is.
//!
//! The part that others' logs say is cached for each team, and recomputed only after a new entry about that
//! team. What we ourselves reserved, spent and gave away is read from our own log each time.

use super::Ledger;
use mulleinhub_replicated_log::{EffectiveDirective, Name, SplitAmount, Subject};
use std::collections::BTreeMap;

/// The part of a cap, as an index: open or running-only.
type PartIndex = usize;

/// What members have of a share, and what they reserved too much of it. Open part, then running-only part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct SignedTotals {
    has: [i128; 2],
    owed: [i128; 2],
}

impl SignedTotals {
    fn add(&mut self, balances: [i128; 2]) {
        for (part, balance) in balances.into_iter().enumerate() {
            self.has[part] += balance.max(0);
            self.owed[part] += (-balance).max(0);
        }
    }
}

/// What others' logs say of a team in a month, and what all logs say of transfers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct TeamTotals {
    /// The directive that sets the team's cap.
    directive: Option<EffectiveDirective>,
    /// Spending of all others.
    spending: Spending,
    /// What we received of others' shares.
    received: SplitAmount,
    /// Where a directive may have lowered the cap: what the others have, and what we received, counting
    /// only transfers that are valid for the receiver's incarnation.
    others: SignedTotals,
    received_valid: SplitAmount,
}

/// What was spent of a cap.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Spending {
    pub(super) spent: u64,
    /// What of that was spent without cover.
    pub(super) overspent: u64,
}

impl Spending {
    fn add(&mut self, spent: u64, overspent: u64) {
        self.spent = self.spent.saturating_add(spent);
        self.overspent = self.overspent.saturating_add(overspent);
    }
}

/// Our own share of a team's cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OwnShare {
    /// What is neither reserved nor given away, less our part of what others reserved too much.
    pub(super) free: SplitAmount,
    /// What we ourselves reserved too much.
    pub(super) overdrawn: SplitAmount,
    /// All members together reserved too much.
    pub(super) fleet_overdrawn: bool,
}

impl OwnShare {
    pub(super) fn new(free: SplitAmount, overdrawn: SplitAmount, fleet_overdrawn: bool) -> Self {
        Self { free, overdrawn, fleet_overdrawn }
    }
}

/// The totals of all teams about which there was no new entry.
#[derive(Debug, Default)]
pub(super) struct TotalsCache {
    month: u32,
    directives_stamp: u64,
    /// By index of the team in the settings.
    teams: Vec<Option<TeamTotals>>,
    /// Indexes of teams by name.
    indexes: BTreeMap<Name, usize>,
}

impl TotalsCache {
    fn invalidate(&mut self, team: usize) {
        self.teams[team] = None;
    }
}

impl Ledger {
    /// Recomputes the totals of those teams about which there are new entries.
    pub(super) fn refresh_totals(&mut self) {
        let mut cache = std::mem::take(&mut self.totals);
        let month = self.month_number();
        let touched = self.fleet_logs.take_dirty_teams();
        if cache.teams.is_empty() || cache.month != month || touched.is_all() {
            cache.teams = vec![None; self.settings.teams.len()];
            let teams = self.settings.teams.iter().enumerate();
            cache.indexes = teams.map(|(index, team)| (team.name.clone(), index)).collect();
        }
        cache.month = month;
        for team in touched.teams() {
            if let Some(index) = cache.indexes.get(team) {
                cache.invalidate(*index);
            }
        }
        if cache.directives_stamp != self.fleet_logs.directives_revision() {
            cache.directives_stamp = self.fleet_logs.directives_revision();
            for team in 0..cache.teams.len() {
                if cache.teams[team].is_some_and(|totals| totals.directive != self.cap_directive(team)) {
                    cache.invalidate(team);
                }
            }
        }
        for (team, totals) in cache.teams.iter_mut().enumerate() {
            totals.get_or_insert_with(|| self.compute_totals(team, month));
        }
        self.totals = cache;
    }

    /// The totals of a team: the cached ones, unless there are new entries.
    pub(super) fn totals(&self, team: usize, month: u32) -> TeamTotals {
        let cache = &self.totals;
        let is_current = cache.month == month
            && cache.directives_stamp == self.fleet_logs.directives_revision()
            && !self.fleet_logs.dirty_teams().contains(&self.settings.teams[team].name);
        let cached = cache.teams.get(team).copied().flatten().filter(|_| is_current);
        cached.unwrap_or_else(|| self.compute_totals(team, month))
    }

    pub(super) fn compute_totals(&self, team: usize, month: u32) -> TeamTotals {
        let me = &self.settings.me;
        let name = &self.settings.teams[team].name;
        let directive = self.cap_directive(team);
        let mut totals = TeamTotals { directive, ..TeamTotals::default() };
        for writer in self.fleet_logs.writers().iter().filter(|writer| *writer != me) {
            let balance = self.fleet_logs.balance(writer, name, month);
            totals.spending.add(balance.spent, balance.overspent);
        }
        if directive.is_none() {
            totals.received = self.fleet_logs.transferred_in(me, self.valid_from(me), name, month);
            return totals;
        }
        let received = self.received_by_member(team, month);
        let received = |member: &Name| received.get(member).copied().unwrap_or_default();
        totals.received_valid = received(me);
        for member in self.settings.members.iter().filter(|member| *member != me) {
            let (open, last) = self.signed_balance(member, team, month, received(member));
            totals.others.add([open, last]);
        }
        totals
    }

    /// The directive that sets a team's cap.
    fn cap_directive(&self, team: usize) -> Option<EffectiveDirective> {
        self.fleet_logs.directives().get(&Subject::Team(self.settings.teams[team].name.clone()))
    }

    /// Our own share. Where a cap was lowered, others may have reserved more than their shares; all shares
    /// are reduced in proportion, so that all members together come under the new cap.
    pub(super) fn own_share(&self, team: usize, month: u32) -> OwnShare {
        let me = &self.settings.me;
        let totals = self.totals(team, month);
        if totals.directive.is_none() {
            let free = self.remaining(me, team, month, totals.received);
            return OwnShare::new(free, SplitAmount::default(), false);
        }
        let (open, last) = self.signed_balance(me, team, month, totals.received_valid);
        let own = [open, last];
        let mut all = totals.others;
        all.add(own);
        let free = |part: PartIndex| {
            own[part].max(0) * (all.has[part] - all.owed[part]).max(0) / all.has[part].max(1)
        };
        let parts = |amount: &dyn Fn(PartIndex) -> i128| {
            let [open, last] = [amount(0), amount(1)].map(|amount| u64::try_from(amount).unwrap_or(0));
            SplitAmount { open, running_only: last }
        };
        OwnShare::new(parts(&free), parts(&|part| -own[part]), all.owed[0] > all.has[0])
    }

    /// What all schedulers are known to have spent this month.
    pub(super) fn spent_by_all(&self, team: usize) -> Spending {
        let month = self.month_number();
        let mut spending = self.totals(team, month).spending;
        let own = self.fleet_logs.balance(&self.settings.me, &self.settings.teams[team].name, month);
        spending.add(own.spent, own.overspent);
        spending
    }
}

#[cfg(test)]
mod tests;
