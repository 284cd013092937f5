//! The periodic work of the ledger.

use super::reservation_plan::ReservationPlan;
use super::totals::OwnShare;
use super::{Ledger, MAX_PAUSE, Phase};
use crate::calendar::Month;
use crate::money;
use crate::pace::{self, Pace};
use crate::reservation_pool::{PoolSnapshot, ReservationPools, RetryAfter, TeamLimits};
use crate::share_policy;
use crate::work_routing::MAX_WORKERS_PER_ENTRY;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_replicated_log::{DirectiveAction, Entry, Name, SplitAmount, Subject};

/// Time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_nanos(100_000_000);
/// What a pool knows is valid for this long after a tick. While the ledger's thread is stuck, nothing new is
/// admitted.
const FRESHNESS: Duration = MAX_PAUSE;
/// Retry delay of rejected clients while it isn't known what was used of a share.
const RETRY_WHILE_UNKNOWN: RetryAfter =
    RetryAfter { min: Duration::from_nanos(500_000_000), max: Duration::from_nanos(1_500_000_000) };
/// After a pause of the process nothing new is admitted until another member was heard of, or for this long.
const CONTACT_TIMEOUT: Duration = Duration::from_nanos(500_000_000);

/// What is the same for all teams at one tick.
struct Tick {
    now: Timestamp,
    /// Milliseconds of Unix time.
    utc: u64,
    month: Month,
    /// The pace of teams whose caps are not nearly spent.
    fleet_pace: Pace,
    /// The balances of these teams are due.
    is_batch: bool,
}

impl Ledger {
    /// Does the periodic work. `utc` is the time of day, in milliseconds of Unix time.
    pub fn tick(&mut self, now: Timestamp, utc: u64, pools: &mut dyn ReservationPools) {
        self.next_tick = Some(now + TICK_INTERVAL);
        let month = self.settings.calendar.month_at(utc);
        self.refresh_totals();
        if self.phase == Phase::CatchingUp {
            self.catching_up_since.get_or_insert(now);
            if !self.has_caught_up(now) {
                self.reject_while_catching_up(utc, pools);
                return self.update_readmissions(now, utc, pools);
            }
            self.begin_writing(month, utc, pools);
        }
        if month.number > self.month_number() {
            self.start_month(now, month, pools);
        }
        self.fall_back_for_legacy_members(utc);
        self.record_worker_events(now, utc, pools);
        self.refresh_totals();
        self.tick_teams(now, utc, pools);
        self.announce_silent_members(now, utc);
        self.update_readmissions(now, utc, pools);
        self.work_logs.drop_superseded();
        self.drop_spare_copies(now);
    }

    /// The number of the present month; 0 before the ledger writes.
    pub(super) fn month_number(&self) -> u32 {
        self.month.map_or(0, |month| month.number)
    }

    fn reject_while_catching_up(&self, utc: u64, pools: &mut dyn ReservationPools) {
        for team in 0..self.teams.len() {
            let limits = self.limits(team, utc);
            let stale = Timestamp::default();
            pools.with_pool(team, &mut |pool| pool.refresh(stale, RETRY_WHILE_UNKNOWN, limits));
        }
    }

    fn tick_teams(&mut self, now: Timestamp, utc: u64, pools: &mut dyn ReservationPools) {
        let (fleet_pace, is_batch) = self.fleet_pace(utc);
        let Some(month) = self.month else { return };
        let tick = Tick { now, utc, month, fleet_pace, is_batch };
        for team in 0..self.teams.len() {
            self.tick_team(&tick, team, pools);
        }
    }

    /// One team: its pool is filled, its balance written, shares are requested, and limits refreshed.
    fn tick_team(&mut self, tick: &Tick, team: usize, pools: &mut dyn ReservationPools) {
        let pace = self.team_pace(team, tick.fleet_pace);
        let snapshot = self.credit_durable_reservations(tick.now, team, pools);
        let usage = self.teams[team].usage();
        let share = self.own_share(team, tick.month.number);
        let reserved = snapshot.available.saturating_add(self.teams[team].pending_reservations());
        let free = share.free;
        let is_batch = tick.is_batch;
        let plan = ReservationPlan { snapshot, usage, free, reserved, pace, is_batch };
        self.adjust_reservation(tick, team, &plan, share.overdrawn, pools);
        self.request_share(tick.now, team, tick.month.number, usage.shortfall(free.saturating_add(reserved)));
        self.refresh_pool(tick, team, share, pools);
    }

    /// Credits reservations that are on disk to the pool, and takes a snapshot of it.
    fn credit_durable_reservations(
        &mut self,
        now: Timestamp,
        team: usize,
        pools: &mut dyn ReservationPools,
    ) -> PoolSnapshot {
        let durable = self.fleet_logs.durable_number();
        let ready = self.teams[team].take_durable_reservations(durable);
        let mut snapshot = PoolSnapshot::default();
        pools.with_pool(team, &mut |pool| {
            pool.credit(ready);
            snapshot = pool.take_snapshot(now);
        });
        self.teams[team].observe(now, snapshot);
        snapshot
    }

    /// Reserves a part of our share or returns what is not needed, and writes the balance if it changed.
    fn adjust_reservation(
        &mut self,
        tick: &Tick,
        team: usize,
        plan: &ReservationPlan,
        overdrawn: SplitAmount,
        pools: &mut dyn ReservationPools,
    ) {
        const NOTHING: SplitAmount = SplitAmount { open: 0, running_only: 0 };
        let to_reserve = plan.to_reserve();
        let to_return = match overdrawn {
            NOTHING if to_reserve == NOTHING => plan.to_return(),
            NOTHING => NOTHING,
            // The cap was lowered: what is available here of the old one is returned first.
            overdrawn => overdrawn,
        };
        let mut returned = NOTHING;
        if to_return != NOTHING {
            pools.with_pool(team, &mut |pool| returned = pool.withdraw(to_return));
        }
        let state = &mut self.teams[team];
        let spent = state.spent_before + plan.snapshot.spent;
        let is_due = plan.is_balance_due(tick.utc.saturating_sub(state.balance.at));
        if to_reserve == NOTHING && returned == NOTHING && !(is_due && spent != state.balance.spent) {
            return;
        }
        state.balance.reserved = state.balance.reserved.saturating_add(to_reserve).saturating_sub(returned);
        state.balance.spent = spent;
        state.balance.overspent = plan.snapshot.debt;
        state.balance.at = tick.utc;
        let entry_number = self.write_balance(team, tick.month.number);
        if to_reserve != NOTHING {
            self.teams[team].add_pending_reservation(entry_number, to_reserve);
        }
    }

    /// Tells the pool what applies to the team until the next tick.
    fn refresh_pool(&mut self, tick: &Tick, team: usize, share: OwnShare, pools: &mut dyn ReservationPools) {
        let is_current = self.is_current(tick.now);
        let left_ms = tick.month.ends.saturating_sub(tick.utc);
        let left_of_month = Duration::from_nanos(left_ms.saturating_mul(1_000_000));
        let fresh_until =
            if is_current { tick.now + FRESHNESS.min(left_of_month) } else { Timestamp::default() };
        let mut limits = self.limits(team, tick.utc);
        limits.nearly_spent |= share.fleet_overdrawn;
        let state = &mut self.teams[team];
        let has_share = state.others_have_share || share.free.open >= state.largest_request;
        let may_be_admitted = has_share && !limits.suspended && !limits.nearly_spent;
        let retry_after = match is_current {
            true => share_policy::retry_after(may_be_admitted, left_of_month),
            false => RETRY_WHILE_UNKNOWN,
        };
        let is_suspended_now = limits.suspended && !state.limits.suspended;
        let mut pending = Vec::new();
        pools.with_pool(team, &mut |pool| {
            pool.refresh(fresh_until, retry_after, limits);
            if is_suspended_now {
                pending = pool.pending_keys();
            }
        });
        state.limits = limits;
        self.record_admitted_before_suspension(tick.utc, team, &pending);
    }

    /// Whether what is known of other members is current: it isn't after a pause of the process, until one
    /// of them was heard of.
    fn is_current(&self, now: Timestamp) -> bool {
        let Some(paused_at) = self.paused_at else { return true };
        now - paused_at > CONTACT_TIMEOUT || self.contact_at.is_some_and(|contact| contact > paused_at)
    }

    /// Records the tasks that were admitted and not started when their account was suspended. They may be
    /// started wherever they are submitted again.
    fn record_admitted_before_suspension(&mut self, utc: u64, team: usize, keys: &[u64]) {
        let name = &self.settings.teams[team].name;
        let work: Vec<(u64, Name)> = keys.iter().map(|key| (*key, name.clone())).collect();
        for work in work.chunks(MAX_WORKERS_PER_ENTRY) {
            self.fleet_logs.write(&Entry::Admitted { at: utc, work: work.to_vec() });
        }
    }

    /// The limits of a team, according to the directives that are known.
    fn limits(&self, team: usize, utc: u64) -> TeamLimits {
        let account = self.settings.teams[team].account.clone();
        let has_account = account.is_some();
        let directive =
            account.and_then(|account| self.fleet_logs.directives().get(&Subject::Account(account)));
        let (suspended, finish_by) = match directive.map(|directive| directive.action) {
            Some(DirectiveAction::Suspend { finish_by }) => (true, finish_by),
            _ => (false, None),
        };
        let cap = self.cap(team);
        let open = cap.map(|cap| money::fraction(cap, self.settings.open_millionths));
        TeamLimits {
            has_cap: cap.is_some(),
            has_account,
            suspended,
            grace_period_over: finish_by.is_some_and(|by| utc / 1_000 >= by),
            nearly_spent: open.is_some_and(|open| self.spent_by_all(team).spent >= open),
        }
    }

    /// How often the balances of most teams are written by this incarnation, and whether all are due now.
    fn fleet_pace(&mut self, utc: u64) -> (Pace, bool) {
        if !self.writes_work_log {
            return (Pace::FAST, false);
        }
        let active_teams = self.teams.iter().filter(|state| !state.usage().is_idle()).count();
        let pace = Pace::for_fleet(self.settings.members.len(), active_teams);
        let is_batch = utc >= self.balances_due_at;
        if is_batch {
            self.balances_due_at = utc.saturating_add(pace.period.nanos() / 1_000_000);
        }
        (pace, is_batch)
    }

    /// How often one team's balance is written: a cap that is nearly spent is watched closely.
    fn team_pace(&self, team: usize, fleet_pace: Pace) -> Pace {
        if fleet_pace == Pace::FAST {
            return fleet_pace;
        }
        let Some(cap) = self.cap(team) else { return fleet_pace };
        let open = money::fraction(cap, self.settings.open_millionths);
        let spent = self.spent_by_all(team).spent;
        if pace::is_nearly_spent(open, spent, self.teams[team].balance) { Pace::FAST } else { fleet_pace }
    }
}
