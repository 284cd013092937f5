//! The change of months, and the cost of workers while no scheduler accounted for them.

use super::Ledger;
use crate::announcer;
use crate::calendar::Month;
use crate::money::cost;
use crate::reservation_pool::ReservationPools;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_replicated_log::{Balance, Entry, LogState, Name};

/// A worker that was adopted, and ran until then unaccounted for.
pub(super) struct AdoptedWorker {
    pub(super) team: usize,
    pub(super) key: u64,
    /// Cost in micro-units per second.
    pub(super) rate: u64,
    /// When it was adopted, in milliseconds of Unix time.
    pub(super) adopted_at: u64,
}

/// The duration between two instants in milliseconds of Unix time; zero where they are reversed.
fn duration_between(from: u64, to: u64) -> Duration {
    Duration::from_nanos(to.saturating_sub(from).saturating_mul(1_000_000))
}

impl Ledger {
    /// Closes the present month, writes its balances, and starts a new one.
    pub(super) fn start_month(&mut self, now: Timestamp, month: Month, pools: &mut dyn ReservationPools) {
        let old = self.month.replace(month).map_or(0, |month| month.number);
        for team in 0..self.teams.len() {
            let (mut spent, mut owed) = (0, 0);
            pools.with_pool(team, &mut |pool| (spent, owed) = pool.close_month(now));
            let state = &mut self.teams[team];
            state.balance.spent = state.spent_before + spent;
            state.balance.overspent = owed;
            state.balance.at = month.begins;
            state.clear_pending_reservations();
            if state.balance != Balance::default() {
                self.write_balance(team, old);
            }
        }
        self.fleet_logs.write(&Entry::Month(month.number));
        for (team, state) in self.settings.teams.iter().zip(&mut self.teams) {
            let balance = self.fleet_logs.balance(&self.settings.me, &team.name, month.number);
            (state.balance, state.spent_before) = (balance, balance.spent);
            state.outstanding_request = None;
            state.snapshot.spent = 0;
        }
        self.fleet_logs.drop_closed();
    }

    /// Charges what an adopted worker cost since it was last accounted for: this month's part to the pool,
    /// last month's to the closed balance.
    pub(super) fn charge_gap(
        &mut self,
        now: Timestamp,
        worker: &AdoptedWorker,
        pools: &mut dyn ReservationPools,
    ) {
        let Some(month) = self.month else { return };
        let Some(since) = self.accounted_until(month, worker) else { return };
        let until = worker.adopted_at;
        let this_month = cost(worker.rate, duration_between(since.max(month.begins), until));
        pools.with_pool(worker.team, &mut |pool| pool.charge(now, this_month));
        let last_month = cost(worker.rate, duration_between(since, month.begins.min(until)));
        if last_month > 0 {
            let name = self.settings.teams[worker.team].name.clone();
            let number = month.number - 1;
            let mut balance = self.fleet_logs.balance(&self.settings.me, &name, number);
            balance.spent += last_month;
            balance.overspent += last_month;
            self.fleet_logs.write(&Entry::Balance { team: name, month: number, balance });
        }
    }

    /// Until when any scheduler accounted for a worker, in milliseconds of Unix time; `None` where no log
    /// has it.
    fn accounted_until(&self, month: Month, worker: &AdoptedWorker) -> Option<u64> {
        let team = &self.settings.teams[worker.team].name;
        let states = self.fleet_states();
        let announced = announcer::newest_announcements(states.iter().map(|(_, state)| *state));
        let accounted_until = |(writer, state): &(Name, &LogState)| {
            let key = &worker.key;
            let in_copy = || self.work_logs.latest_state(writer).and_then(|state| state.running.get(key));
            let in_announced = || announced.get(writer).and_then(|announced| announced.work.get(key));
            let work = state.running.get(key).or_else(in_copy).or_else(in_announced);
            let work = work.filter(|work| work.team == *team)?;
            let balance_at = |number| state.balance(team, number).at;
            Some(work.since.max(balance_at(month.number)).max(balance_at(month.number - 1)))
        };
        states.iter().filter_map(accounted_until).max()
    }

    /// Writes a team's balance, and returns the number of the entry.
    pub(super) fn write_balance(&mut self, team: usize, month: u32) -> u64 {
        let (name, balance) = (self.settings.teams[team].name.clone(), self.teams[team].balance);
        self.fleet_logs.write(&Entry::Balance { team: name, month, balance })
    }
}
