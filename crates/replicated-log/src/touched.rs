//! Of which teams balances may have changed since somebody looked at them.
//!
//! A library notes it with each change, so that whoever reckons what all logs say of a team need not do it
//! again where nothing new was said of it.

use crate::name::Name;
use crate::row::Entry;
use crate::state::{Before, State};
use std::collections::BTreeSet;

/// What one row may have changed of balances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Touch {
    Nothing,
    /// What its writer drew and spent of a team's cap.
    Balance(Name),
    /// What its writer gave of a team's share.
    ShareTransfer(Name),
    /// Whatever the writer says.
    All,
}

impl Touch {
    /// By a row that entered a log; `is_first` where the log said nothing before.
    pub(crate) fn of(entry: &Entry, is_first: bool) -> Self {
        match entry {
            Entry::Balance { team, .. } => Self::Balance(team.clone()),
            Entry::Gave { gift, .. } => Self::ShareTransfer(gift.team.clone()),
            // A later sum says what the rows before it said.
            Entry::Sum(_) if !is_first => Self::Nothing,
            Entry::Sum(_) | Entry::Month(_) => Self::All,
            Entry::Began { .. }
            | Entry::Over { .. }
            | Entry::Heard(_)
            | Entry::Passes { .. }
            | Entry::Again { .. }
            | Entry::Announced { .. }
            | Entry::Unread(_) => Self::Nothing,
        }
    }
}

/// Teams whose balances may have changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TouchedTeams {
    all: bool,
    teams: BTreeSet<Name>,
}

impl TouchedTeams {
    pub fn is_empty(&self) -> bool {
        !self.all && self.teams.is_empty()
    }

    /// Balances of any team may have changed.
    pub fn is_all(&self) -> bool {
        self.all
    }

    pub fn contains(&self, team: &Name) -> bool {
        self.all || self.teams.contains(team)
    }

    /// Those that are known one by one.
    pub fn teams(&self) -> impl Iterator<Item = &Name> {
        self.teams.iter()
    }

    pub(crate) fn merge(&mut self, other: Self) {
        self.all |= other.all;
        self.teams.extend(other.teams);
    }

    pub(crate) fn add(&mut self, team: Name) {
        self.teams.insert(team);
    }

    pub(crate) fn add_all(&mut self) {
        self.all = true;
    }

    /// What a writer says goes over from one state to another that says it in place of the first.
    pub(crate) fn add_difference(&mut self, before: &State, after: &State) {
        let of_whole = |state: &State| (state.valid_from, state.void_through);
        if of_whole(before) != of_whole(after) {
            return self.add_all();
        }
        let differs = |one: &State, other: &State| -> Vec<Name> {
            let purses = one.purses.iter().filter(|(key, purse)| other.purses.get(key) != Some(purse));
            let gifts = one.gave.iter().filter(|(gift, parts)| other.gave.get(gift) != Some(parts));
            let teams = purses.map(|((team, _), _)| team);
            teams.chain(gifts.map(|(gift, _)| &gift.team)).cloned().collect()
        };
        self.teams.extend(differs(before, after));
        self.teams.extend(differs(after, before));
    }
}

/// Whether a life took over all that is known of the one before it, which it says it goes on from.
pub(crate) fn took_all_over(before: Option<Before>, life: u64, tip: u64) -> bool {
    before.is_some_and(|before| before.life == life && before.number >= tip)
}
