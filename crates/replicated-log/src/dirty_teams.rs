//! The teams whose balances may have changed since they were last looked at.
//!
//! A log store notes them with each change, so that whoever sums up what all logs say of a team need not do
//! it again where nothing new was said.

use crate::entry::Entry;
use crate::name::Name;
use crate::state::LogState;
use std::collections::BTreeSet;

/// What one entry may have changed of balances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BalanceChange {
    /// Nobody's.
    Nothing,
    /// What its writer reserved and spent of a team's cap.
    Balance(Name),
    /// What its writer transferred of a team's share.
    ShareTransfer(Name),
    /// Anything that the writer says.
    All,
}

impl BalanceChange {
    /// By an entry that was appended; `is_first` where the log said nothing before.
    pub(crate) fn of(entry: &Entry, is_first: bool) -> Self {
        match entry {
            Entry::Balance { team, .. } => Self::Balance(team.clone()),
            Entry::Transferred { transfer, .. } => Self::ShareTransfer(transfer.team.clone()),
            // A later snapshot says what the entries before it said.
            Entry::Snapshot(_) if !is_first => Self::Nothing,
            Entry::Snapshot(_) | Entry::Month(_) => Self::All,
            Entry::Started { .. }
            | Entry::Ended { .. }
            | Entry::Directive(_)
            | Entry::Admitted { .. }
            | Entry::Replacements { .. }
            | Entry::Announced { .. }
            | Entry::Unknown(_) => Self::Nothing,
        }
    }
}

/// Teams whose balances may have changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirtyTeams {
    all: bool,
    teams: BTreeSet<Name>,
}

impl DirtyTeams {
    /// No balance has changed.
    pub fn is_empty(&self) -> bool {
        !self.all && self.teams.is_empty()
    }

    /// Balances of any team may have changed.
    pub fn is_all(&self) -> bool {
        self.all
    }

    /// The balances of this team may have changed.
    pub fn contains(&self, team: &Name) -> bool {
        self.all || self.teams.contains(team)
    }

    /// The teams that are known one by one; see [`Self::is_all`] first.
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

    /// Adds the teams of which a state says something else than the one that it replaces.
    pub(crate) fn add_difference(&mut self, before: &LogState, after: &LogState) {
        let validity = |state: &LogState| (state.transfers_valid_from, state.initial_share_void_through);
        if validity(before) != validity(after) {
            return self.add_all();
        }
        self.teams.extend(teams_only_in(before, after));
        self.teams.extend(teams_only_in(after, before));
    }
}

/// The teams of balances and transfers that stand in one state and not, or differently, in another.
fn teams_only_in(one: &LogState, other: &LogState) -> Vec<Name> {
    let balances = one.balances.iter().filter(|(key, balance)| other.balances.get(key) != Some(balance));
    let transfers = one
        .transferred_out
        .iter()
        .filter(|(transfer, total)| other.transferred_out.get(transfer) != Some(total));
    let teams = balances.map(|((team, _), _)| team);
    teams.chain(transfers.map(|(transfer, _)| &transfer.team)).cloned().collect()
}
