//! Status of teams, for the operators.

use super::Ledger;
use super::team_state::TeamState;
use mulleinhub_replicated_log::{Name, SplitAmount, Subject};

/// The account of a team, as far as this scheduler knows. Amounts are in micro-units.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamStatus {
    /// Name of the team.
    pub team: Name,
    /// The month, as numbered by [`crate::Month::number`].
    pub month: u32,
    /// The cap at present, if there is one.
    pub cap: Option<u64>,
    /// Spent by all schedulers.
    pub spent: u64,
    /// What of that was spent without cover.
    pub overspent: u64,
    /// What is left of our own share.
    pub free: SplitAmount,
    /// Available in our pool.
    pub available: SplitAmount,
    /// Its account is suspended.
    pub suspended: bool,
    /// A directive that applies was given twice under one number, with different contents.
    pub directives_differ: bool,
}

impl Ledger {
    /// The status of each team, in the order of the settings.
    pub fn team_statuses(&self) -> Vec<TeamStatus> {
        self.teams.iter().enumerate().map(|(team, state)| self.team_status(team, state)).collect()
    }

    fn team_status(&self, team: usize, state: &TeamState) -> TeamStatus {
        let month = self.month_number();
        let settings = &self.settings.teams[team];
        let total = self.spent_by_all(team);
        let directives = self.fleet_logs.directives();
        let of_team = directives.get(&Subject::Team(settings.name.clone()));
        let account = settings.account.clone();
        let of_account = account.and_then(|account| directives.get(&Subject::Account(account)));
        TeamStatus {
            team: settings.name.clone(),
            month,
            cap: self.cap(team),
            spent: total.spent,
            overspent: total.overspent,
            free: self.own_share(team, month).free,
            available: state.snapshot.available,
            suspended: state.limits.suspended,
            directives_differ: of_team.into_iter().chain(of_account).any(|directive| directive.conflicting),
        }
    }
}
