//! What all logs of a writer, or of all writers, say together.

use super::LogStore;
use crate::balance::{Balance, ShareTransfer, SplitAmount};
use crate::log::Log;
use crate::log_id::LogId;
use crate::name::Name;
use crate::state::{LogState, Predecessor};
use std::ops::Range;

/// What a writer wrote beside the entries that its newest incarnation inherited: the difference between two
/// states.
struct Divergence<'a> {
    before: LogState,
    after: &'a LogState,
}

impl LogStore {
    /// What a writer reserved and spent, in all its incarnations and branches.
    pub fn balance(&self, writer: &Name, team: &Name, month: u32) -> Balance {
        let latest = self.latest_state(writer);
        let mut sum = latest.map_or_else(Balance::default, |state| state.balance(team, month));
        for Divergence { before, after } in self.divergences(writer) {
            let (before, after) = (before.balance(team, month), after.balance(team, month));
            sum.reserved = sum.reserved.saturating_add(after.reserved.saturating_sub(before.reserved));
            sum.spent += after.spent.saturating_sub(before.spent);
            sum.overspent += after.overspent.saturating_sub(before.overspent);
        }
        sum
    }

    /// All that a writer transferred of its share.
    pub fn transferred_out(&self, writer: &Name, team: &Name, month: u32) -> SplitAmount {
        self.sum_of_transfers(writer, &transfers_of_month(team, month))
    }

    /// All transfers to an incarnation of a receiver and to its later ones, by all writers.
    pub fn transferred_in(&self, to: &Name, from_incarnation: u64, team: &Name, month: u32) -> SplitAmount {
        let first =
            ShareTransfer { team: team.clone(), month, to: to.clone(), incarnation: from_incarnation };
        let last = ShareTransfer { incarnation: u64::MAX, ..first.clone() };
        let transfers = first..last;
        self.writers().iter().fold(SplitAmount::default(), |sum, writer| {
            sum.saturating_add(self.sum_of_transfers(writer, &transfers))
        })
    }

    /// All transfers of a team's share in a month, by the newest incarnations of all writers.
    pub fn transfers_of(
        &self,
        team: &Name,
        month: u32,
    ) -> impl Iterator<Item = (&ShareTransfer, &SplitAmount)> {
        let transfers = transfers_of_month(team, month);
        let newest =
            self.logs().filter(|(id, _)| self.newest_incarnation(&id.writer) == Some(id.incarnation));
        newest.flat_map(move |(_, log)| log.state().transferred_out.range(transfers.clone()))
    }

    fn sum_of_transfers(&self, writer: &Name, transfers: &Range<ShareTransfer>) -> SplitAmount {
        let sum_in = |state: &LogState| {
            let transfers = state.transferred_out.range(transfers.clone());
            transfers.fold(SplitAmount::default(), |sum, (_, amount)| sum.saturating_add(*amount))
        };
        let latest = self.latest_state(writer).map_or_else(SplitAmount::default, sum_in);
        self.divergences(writer).iter().fold(latest, |sum, Divergence { before, after }| {
            sum.saturating_add(sum_in(after).saturating_sub(sum_in(before)))
        })
    }

    /// The divergences of all incarnations and branches of a writer.
    fn divergences(&self, writer: &Name) -> Vec<Divergence<'_>> {
        let mut newest_first = self.incarnations(writer).rev();
        let newest = newest_first.next();
        if newest_first.next().is_none() && newest.is_none_or(|(_, log)| !log.is_forked()) {
            return Vec::new();
        }
        let logs: Vec<(&LogId, &Log)> = self.incarnations(writer).collect();
        let mut divergences: Vec<Divergence<'_>> = Vec::new();
        for (at, (id, log)) in logs.iter().enumerate() {
            let branch = log.branch.iter();
            divergences.extend(
                branch.map(|branch| Divergence { before: branch.before.clone(), after: &branch.state }),
            );
            let successor = logs.get(at + 1).and_then(|(_, next)| next.state().predecessor);
            let Some(inherited) = successor.filter(|inherited| inherited.incarnation == id.incarnation)
            else {
                continue;
            };
            if log.head().0 > inherited.number
                && let Some(before) = log.state_at(inherited.number)
            {
                divergences.push(Divergence { before, after: log.state() });
            }
        }
        divergences
    }

    /// The state that a new incarnation of ours begins with: all that our earlier ones are known to have
    /// said.
    pub fn inherited_state(&self) -> LogState {
        let own = &self.own_id;
        let mut earlier = self.incarnations(&own.writer);
        let Some((id, log)) = earlier.rfind(|(id, _)| id.incarnation < own.incarnation) else {
            return LogState::default();
        };
        let (number, digest) = log.head();
        let predecessor = Some(Predecessor { incarnation: id.incarnation, number, digest });
        LogState { predecessor, ..log.state().clone() }
    }
}

/// All transfers of a team's share in a month, to whomever.
fn transfers_of_month(team: &Name, month: u32) -> Range<ShareTransfer> {
    ShareTransfer::first_of_month(team, month)..ShareTransfer::first_of_month(team, month + 1)
}
