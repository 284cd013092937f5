//! What all logs together say of each team's cap: what was spent of it, and what our share of it is.
//!
//! The part that others' logs say is kept for each team, and computed anew only where something new was
//! said of that team. What we ourselves drew, spent and gave is read from our own log at each look.

use super::Ledger;
use mulleinhub_replicated_log::{EffectiveDirective, Name, SplitAmount, Subject};
use std::collections::BTreeMap;

/// Open and last part of what members have, and of what they drew too much.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Balances {
    pub(super) has: [i128; 2],
    pub(super) owed: [i128; 2],
}

impl Balances {
    fn add(&mut self, balance: [i128; 2]) {
        for (part, balance) in balance.into_iter().enumerate() {
            self.has[part] += balance.max(0);
            self.owed[part] += (-balance).max(0);
        }
    }
}

/// What others' logs say of a team in a month, and what all logs say of gifts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Figures {
    /// The order that holds for the team's cap.
    order: Option<EffectiveDirective>,
    /// What others spent, and what of that nothing was left for.
    spent: u64,
    beyond: u64,
    /// What we got of the others' shares.
    got: SplitAmount,
    /// What the others have, where an order may have lowered the cap, and what we got by that reckoning.
    others: Balances,
    got_of_newest: SplitAmount,
}

/// The figures of all teams that nothing new was said of.
#[derive(Debug, Default)]
pub(super) struct FigureCache {
    month: u32,
    orders_stamp: u64,
    teams: Vec<Option<Figures>>,
    /// Teams by their names.
    places: BTreeMap<Name, usize>,
}

impl FigureCache {
    fn forget(&mut self, team: usize) {
        self.teams[team] = None;
    }
}

impl Ledger {
    /// Computes the figures anew of those teams of which something new was said.
    pub(super) fn refresh_figures(&mut self) {
        let mut cache = std::mem::take(&mut self.figures);
        let month = self.month.map_or(0, |month| month.number);
        let touched = self.library.take_dirty_teams();
        if cache.teams.is_empty() || cache.month != month || touched.is_all() {
            cache.teams = vec![None; self.settings.teams.len()];
            let places = self.settings.teams.iter().enumerate();
            cache.places = places.map(|(place, team)| (team.name.clone(), place)).collect();
        }
        cache.month = month;
        for team in touched.teams() {
            if let Some(place) = cache.places.get(team) {
                cache.forget(*place);
            }
        }
        if cache.orders_stamp != self.library.directives_revision() {
            cache.orders_stamp = self.library.directives_revision();
            for team in 0..cache.teams.len() {
                if cache.teams[team].is_some_and(|figures| figures.order != self.order_of(team)) {
                    cache.forget(team);
                }
            }
        }
        for (team, figures) in cache.teams.iter_mut().enumerate() {
            figures.get_or_insert_with(|| self.compute_figures(team, month));
        }
        self.figures = cache;
    }

    /// The figures of a team: those that are kept, unless something new was said since.
    pub(super) fn figures(&self, team: usize, month: u32) -> Figures {
        let cache = &self.figures;
        let is_current = cache.month == month
            && cache.orders_stamp == self.library.directives_revision()
            && !self.library.dirty_teams().contains(&self.settings.teams[team].name);
        let kept = cache.teams.get(team).copied().flatten().filter(|_| is_current);
        kept.unwrap_or_else(|| self.compute_figures(team, month))
    }

    pub(super) fn compute_figures(&self, team: usize, month: u32) -> Figures {
        let me = &self.settings.me;
        let name = &self.settings.teams[team].name;
        let order = self.order_of(team);
        let mut figures = Figures { order, ..Figures::default() };
        for writer in self.library.writers().iter().filter(|writer| *writer != me) {
            let purse = self.library.balance(writer, name, month);
            figures.spent = figures.spent.saturating_add(purse.spent);
            figures.beyond = figures.beyond.saturating_add(purse.overspent);
        }
        if order.is_none() {
            figures.got = self.library.transferred_in(me, self.valid_from(me), name, month);
            return figures;
        }
        let got = self.all_got(team, month);
        let got = |member: &Name| got.get(member).copied().unwrap_or_default();
        figures.got_of_newest = got(me);
        for member in self.settings.members.iter().filter(|member| *member != me) {
            let (open, last) = self.balance(member, team, month, got(member));
            figures.others.add([open, last]);
        }
        figures
    }

    /// The order that holds for a team's cap.
    fn order_of(&self, team: usize) -> Option<EffectiveDirective> {
        self.library.directives().get(&Subject::Team(self.settings.teams[team].name.clone()))
    }

    /// Our own share, less our part of what others drew under a cap that was lowered since: all together must
    /// come under the new one. Beside it, what we ourselves drew too much, and whether all together did.
    pub(super) fn mine(&self, team: usize, month: u32) -> (SplitAmount, SplitAmount, bool) {
        let me = &self.settings.me;
        let figures = self.figures(team, month);
        if figures.order.is_none() {
            return (self.left(me, team, month, figures.got), SplitAmount::default(), false);
        }
        let (open, last) = self.balance(me, team, month, figures.got_of_newest);
        let mine = [open, last];
        let mut all = figures.others;
        all.add(mine);
        let left = |at: usize| mine[at].max(0) * (all.has[at] - all.owed[at]).max(0) / all.has[at].max(1);
        let parts = |of: &dyn Fn(usize) -> i128| {
            let [open, last] = [of(0), of(1)].map(|amount| u64::try_from(amount).unwrap_or(0));
            SplitAmount { open, running_only: last }
        };
        (parts(&left), parts(&|at| -mine[at]), all.owed[0] > all.has[0])
    }

    /// What all schedulers say that they spent this month, and what of that nothing was left for.
    pub(super) fn spent(&self, team: usize) -> (u64, u64) {
        let month = self.month.map_or(0, |month| month.number);
        let figures = self.figures(team, month);
        let own = self.library.balance(&self.settings.me, &self.settings.teams[team].name, month);
        (figures.spent.saturating_add(own.spent), figures.beyond.saturating_add(own.overspent))
    }
}

#[cfg(test)]
mod tests;
