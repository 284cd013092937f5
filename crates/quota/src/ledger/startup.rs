//! From a restart to the first entry of a new incarnation.

use super::Ledger;
use crate::calendar::Month;
use crate::reservation_pool::ReservationPools;
use mulleinhub_interface::Timestamp;
use mulleinhub_replicated_log::{Entry, LogState, READS_WORK_LOGS, SplitAmount, WRITES_WORK_LOG};

/// Clocks of schedulers differ by less than this, in milliseconds. Whatever an unknown earlier incarnation
/// started, it started no later than this after our present time.
const MAX_CLOCK_SKEW_MS: u64 = 60_000;

/// Whether this scheduler has begun to write in this incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It learns from others how far its own log is known, and what the others wrote.
    CatchingUp,
    /// It writes its logs.
    Writing,
}

impl Ledger {
    /// Whether enough members told us all they know, or the others had time enough to.
    pub(super) fn has_caught_up(&self, now: Timestamp) -> bool {
        let others = self.membership.len();
        let waited =
            self.catching_up_since.is_some_and(|since| now - since >= self.settings.catch_up_timeout);
        // Every entry that was ever pushed is by then known to most of the others, or to members that can't
        // be reached.
        let majority = others.div_ceil(2);
        self.synced_members.len() >= others || (waited && self.synced_members.len() >= majority)
    }

    /// Begins an incarnation. What earlier ones did not use is ours only if we kept all that they wrote.
    pub(super) fn begin_writing(&mut self, month: Month, utc: u64, pools: &mut dyn ReservationPools) {
        self.start_after_known();
        let mut state = self.fleet_logs.inherited_state();
        let known = state.predecessor.map(|before| (before.incarnation, before.number));
        let is_complete = known == self.restored_extent;
        if !is_complete {
            self.void_shares(&mut state, utc);
            self.alerts.push(format!(
                "the store lacks rows that others know ({known:?}, here {:?}): what is left of our shares \
                 this month counts as spent",
                self.restored_extent
            ));
        }
        let number = month.number.max(state.month);
        self.month = Some(Month { number, ..month });
        for (team, team_state) in self.settings.teams.iter().zip(&mut self.teams) {
            team_state.balance = state.balance(&team.name, number);
            team_state.spent_before = team_state.balance.spent;
        }
        // Directives that came ahead of their entries are recorded by whoever received them.
        for (subject, standing) in self.fleet_logs.directives().iter() {
            state.directives.insert(subject.clone(), *standing);
        }
        let is_new_month = state.month < number;
        self.open_logs(state);
        if is_new_month {
            self.fleet_logs.write(&Entry::Month(number));
        }
        self.phase = Phase::Writing;
        if is_complete {
            self.credit_unspent(pools);
        }
    }

    /// Makes our incarnation a later one than all that are known by now.
    fn start_after_known(&mut self) {
        let me = &self.settings.me;
        let newest =
            self.fleet_logs.newest_incarnation(me).max(self.work_logs.newest_incarnation(me)).unwrap_or(0);
        let incarnation = self.incarnation().max(newest + 1);
        self.fleet_logs.advance_incarnation_past(incarnation - 1);
        self.work_logs.advance_incarnation_past(incarnation - 1);
    }

    /// Makes our first share and all transfers to earlier incarnations void, as we don't know what they used
    /// of them. What they are known to have reserved and given away counts as lost.
    fn void_shares(&self, state: &mut LogState, utc: u64) {
        let latest = self.settings.calendar.month_at(utc + MAX_CLOCK_SKEW_MS).number;
        state.transfers_valid_from = self.incarnation();
        state.initial_share_void_through = latest.max(state.month);
        for team in &self.settings.teams {
            for month in
                [state.initial_share_void_through.saturating_sub(1), state.initial_share_void_through]
            {
                let given = self.fleet_logs.transferred_out(&self.settings.me, &team.name, month);
                let balance = state.balances.entry((team.name.clone(), month)).or_default();
                balance.voided = balance.reserved.saturating_add(given);
            }
        }
    }

    /// Makes what earlier incarnations reserved and did not spend available to workers that run on, and to
    /// nothing new.
    fn credit_unspent(&self, pools: &mut dyn ReservationPools) {
        for (team, state) in self.teams.iter().enumerate() {
            let last = state.balance.reserved.total().saturating_sub(state.balance.spent);
            pools.with_pool(team, &mut |pool| pool.credit(SplitAmount { open: 0, running_only: last }));
        }
    }

    /// Opens the logs of this incarnation. The work log continues the last one of ours that is known; where
    /// this incarnation has none, its work is recorded in the fleet log.
    fn open_logs(&mut self, mut state: LogState) {
        let me = self.settings.me.clone();
        let before = self.fleet_logs.latest_state(&me);
        let had_work_log = before.is_some_and(LogState::writes_work_log);
        let mut work = self.work_logs.inherited_state();
        let fleet_incarnation = state.predecessor.map_or(0, |before| before.incarnation);
        if !had_work_log && work.predecessor.is_some_and(|before| before.incarnation < fleet_incarnation) {
            // A later incarnation took all of it over into its fleet log.
            work.running.clear();
        }
        work = LogState { predecessor: work.predecessor, running: work.running, ..LogState::default() };
        self.writes_work_log =
            self.settings.replicas.is_some() && !self.ignores_work_logs && !self.has_legacy_members();
        state.capabilities = match (self.ignores_work_logs, self.writes_work_log) {
            (true, _) => 0,
            (_, false) => READS_WORK_LOGS,
            (_, true) => READS_WORK_LOGS | WRITES_WORK_LOG,
        };
        if self.ignores_work_logs {
            state.announced.clear();
        }
        if self.writes_work_log {
            work.running.retain(|key, _| !state.running.contains_key(key));
            self.work_logs.open(work);
        } else {
            work.running.append(&mut state.running);
            state.running = work.running;
            self.work_logs.drop_writer(&me);
        }
        self.fleet_logs.open(state);
    }
}
