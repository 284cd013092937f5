//! The keeper's own work: in which of the two logs it stands, when a life begins, while it runs, and when a
//! member comes that reads only one of them.

use super::Ledger;
use crate::names;
use crate::reservation_pool::{News, ReservationPools};
use crate::work_log::{self, Divided, Running, WorkNews};
use mulleinhub_interface::Timestamp;
use mulleinhub_replicated_log::{
    Entry, LogKind, LogState, Name, READS_WORK_LOGS, RunningWork, WRITES_WORK_LOG,
};
use std::collections::BTreeSet;

impl Ledger {
    /// Opens the logs of this life. The work log goes on from the last one of ours that is known; where this
    /// life has none, its work stands in the fleet log.
    pub(super) fn open_logs(&mut self, mut state: LogState) {
        let me = self.settings.me.clone();
        let before = self.library.latest_state(&me);
        let had_work_log = before.is_some_and(LogState::writes_work_log);
        let mut work = self.work.inherited_state();
        let fleet_life = state.predecessor.map_or(0, |before| before.incarnation);
        if !had_work_log && work.predecessor.is_some_and(|before| before.incarnation < fleet_life) {
            // A life since then took all of it over into its fleet log.
            work.running.clear();
        }
        work = LogState { predecessor: work.predecessor, running: work.running, ..LogState::default() };
        self.is_split = self.settings.replicas.is_some() && !self.is_older && !self.has_older_members();
        state.capabilities = match (self.is_older, self.is_split) {
            (true, _) => 0,
            (_, false) => READS_WORK_LOGS,
            (_, true) => READS_WORK_LOGS | WRITES_WORK_LOG,
        };
        if self.is_older {
            state.announced.clear();
        }
        if self.is_split {
            work.running.retain(|key, _| !state.running.contains_key(key));
            self.work.open(work);
        } else {
            work.running.append(&mut state.running);
            state.running = work.running;
            self.work.drop_writer(&me);
        }
        self.library.open(state);
    }

    /// The newest fleet log of another member is by a version that can't read work logs.
    pub(super) fn has_older_members(&self) -> bool {
        let mut states = self.roll.members().filter_map(|name| self.library.latest_state(name));
        states.any(|state| !state.reads_work_logs())
    }

    /// A member that can't read work logs came: what stands only there is told in the fleet log, and from
    /// now on all is.
    pub(super) fn fall_back_for_older(&mut self, utc: u64) {
        if !self.is_split || !self.has_older_members() {
            return;
        }
        self.is_split = false;
        let me = self.settings.me.clone();
        let running = self.work.latest_state(&me).map(|state| state.running.clone()).unwrap_or_default();
        self.write_all(LogKind::Fleet, &work_log::began_rows(running.iter()));
        self.write_all(LogKind::Work, &work_log::moved_rows(utc, running.into_keys()));
        let announced =
            self.library.latest_state(&me).map(|state| state.announced.clone()).unwrap_or_default();
        for announced in announced.into_values() {
            self.write_all(LogKind::Fleet, &work_log::comes_again_rows(utc, &announced.work));
        }
    }

    pub(super) fn write_all(&mut self, kind: LogKind, entries: &[Entry]) {
        let library = self.logs_mut(kind);
        for entry in entries {
            library.write(entry);
        }
    }

    /// The newest fleet log of each writer.
    pub(super) fn fleet_states(&self) -> Vec<(Name, &LogState)> {
        let writers = self.library.writers().into_iter();
        writers.filter_map(|writer| self.library.latest_state(&writer).map(|state| (writer, state))).collect()
    }

    /// What became of workers since the last look, as rows.
    pub(super) fn tell_news(&mut self, now: Timestamp, utc: u64, tills: &mut dyn ReservationPools) {
        let me = self.settings.me.clone();
        let mut told = WorkNews::default();
        for team in 0..self.desks.len() {
            let mut all = std::mem::take(&mut self.room);
            tills.with(team, &mut |till| all = till.take_news(std::mem::take(&mut all)));
            let name = self.settings.teams[team].name.clone();
            for news in all.drain(..) {
                match news {
                    News::Began { key, rate, again: came_again } => {
                        told.again.extend(came_again.then_some(key));
                        told.began.push((key, name.clone(), rate));
                    }
                    News::Adopted { key, rate, at } => {
                        self.adopted.insert(key);
                        let until = utc.saturating_sub((now - at).nanos() / 1_000_000);
                        self.charge_gap(now, until, team, key, rate, tills);
                        // What our own work log says runs on under the same scheduler.
                        let ours = self.is_split && self.runs_by(LogKind::Work, &me, key);
                        told.again.extend((!ours).then_some(key));
                        told.began.push((key, name.clone(), rate));
                    }
                    News::Over { key, comes_again } => {
                        self.adopted.remove(&key);
                        told.over.push((key, comes_again));
                    }
                }
            }
            self.room = all;
        }
        if std::mem::take(&mut self.all_told) {
            // What our earlier lives ran and no machine holds is over; its owner may come again.
            let began: BTreeSet<u64> = told.began.iter().map(|(key, ..)| *key).collect();
            let here = |key: &u64| self.adopted.contains(key) || began.contains(key);
            let states = [LogKind::Fleet, LogKind::Work]
                .into_iter()
                .filter_map(|kind| self.logs(kind).latest_state(&me));
            let running: BTreeSet<u64> = states.flat_map(|state| state.running.keys()).copied().collect();
            told.over.extend(running.into_iter().filter(|key| !here(key)).map(|key| (key, true)));
        }
        self.write_news(utc, told);
    }

    pub(super) fn runs_by(&self, kind: LogKind, writer: &Name, key: u64) -> bool {
        self.logs(kind).latest_state(writer).is_some_and(|state| state.running.contains_key(&key))
    }

    pub(super) fn write_news(&mut self, utc: u64, news: WorkNews) {
        if !self.is_split {
            return self.write_all(LogKind::Fleet, &news.entries(utc));
        }
        if news == WorkNews::default() {
            return;
        }
        let me = self.settings.me.clone();
        let none = Running::new();
        let states = self.fleet_states();
        let states: Vec<(&Name, &LogState)> = states.iter().map(|(writer, state)| (writer, *state)).collect();
        let in_fleet = self.library.latest_state(&me).map_or(&none, |state| &state.running);
        let in_work = self.work.latest_state(&me).map_or(&none, |state| &state.running);
        let named = |key| names::named(&me, key, &states);
        let Divided { fleet, work } = work_log::divide(news, in_fleet, in_work, named);
        self.write_all(LogKind::Fleet, &fleet.entries(utc));
        self.write_all(LogKind::Work, &work.entries(utc));
    }

    /// What runs by our work log and others name in the fleet's is told in the fleet log.
    pub(super) fn promote_crossed(&mut self, utc: u64) {
        let me = self.settings.me.clone();
        let Some(ours) = self.work.latest_state(&me).map(|state| &state.running).filter(|r| !r.is_empty())
        else {
            return;
        };
        let states = self.fleet_states();
        let states: Vec<(&Name, &LogState)> = states.iter().map(|(writer, state)| (writer, *state)).collect();
        let keys: Vec<u64> = names::crossed(&me, ours, &states).into_iter().collect();
        if keys.is_empty() {
            return;
        }
        let work: Vec<(u64, RunningWork)> = keys.iter().map(|key| (*key, ours[key].clone())).collect();
        let mut rows = work_log::began_rows(work.iter().map(|(key, work)| (key, work)));
        rows.extend(WorkNews { again: keys.clone(), ..WorkNews::default() }.entries(utc));
        self.write_all(LogKind::Fleet, &rows);
        self.write_all(LogKind::Work, &work_log::moved_rows(utc, keys.into_iter()));
    }
}
