//! Entries of our own work: in which of our two logs it is recorded while it runs, and when a member joins
//! that reads only one of them.

use super::Ledger;
use super::months::AdoptedWorker;
use crate::readmission;
use crate::reservation_pool::{ReservationPools, WorkerEvent};
use crate::work_routing::{self, RoutedChanges, Running, WorkChanges};
use mulleinhub_interface::Timestamp;
use mulleinhub_replicated_log::{Entry, LogKind, LogState, Name, RunningWork};
use std::collections::BTreeSet;

impl Ledger {
    /// Whether the newest fleet log of another member is by a version that can't read work logs.
    pub(super) fn has_legacy_members(&self) -> bool {
        let mut states = self.membership.members().filter_map(|name| self.fleet_logs.latest_state(name));
        states.any(|state| !state.reads_work_logs())
    }

    /// Once a member joined that can't read work logs: records in the fleet log what only the work log has,
    /// and from now on all work.
    pub(super) fn fall_back_for_legacy_members(&mut self, utc: u64) {
        if !self.writes_work_log || !self.has_legacy_members() {
            return;
        }
        self.writes_work_log = false;
        let me = self.settings.me.clone();
        let running = self.work_logs.latest_state(&me).map(|state| state.running.clone()).unwrap_or_default();
        self.write_all(LogKind::Fleet, &work_routing::started_entries(running.iter()));
        self.write_all(LogKind::Work, &work_routing::moved_entries(utc, running.into_keys()));
        let own = self.fleet_logs.latest_state(&me);
        let announced = own.map(|state| state.announced.clone()).unwrap_or_default();
        for announced in announced.into_values() {
            self.write_all(LogKind::Fleet, &work_routing::readmissible_entries(utc, &announced.work));
        }
    }

    /// Writes entries into one of our logs.
    pub(super) fn write_all(&mut self, kind: LogKind, entries: &[Entry]) {
        let logs = self.logs_mut(kind);
        for entry in entries {
            logs.write(entry);
        }
    }

    /// The state of each writer's newest fleet log.
    pub(super) fn fleet_states(&self) -> Vec<(Name, &LogState)> {
        let writers = self.fleet_logs.writers().into_iter();
        writers
            .filter_map(|writer| self.fleet_logs.latest_state(&writer).map(|state| (writer, state)))
            .collect()
    }

    /// Records what happened to workers since the last tick.
    pub(super) fn record_worker_events(
        &mut self,
        now: Timestamp,
        utc: u64,
        pools: &mut dyn ReservationPools,
    ) {
        let mut changes = WorkChanges::default();
        for team in 0..self.teams.len() {
            let mut events = std::mem::take(&mut self.event_buffer);
            pools.with_pool(team, &mut |pool| events = pool.take_events(std::mem::take(&mut events)));
            for event in events.drain(..) {
                if let WorkerEvent::Adopted { key, rate, at } = event {
                    let adopted_at = utc.saturating_sub((now - at).nanos() / 1_000_000);
                    self.charge_gap(now, &AdoptedWorker { team, key, rate, adopted_at }, pools);
                }
                self.add_worker_event(team, event, &mut changes);
            }
            self.event_buffer = events;
        }
        if std::mem::take(&mut self.all_machines_reported) {
            self.end_unclaimed_work(&mut changes);
        }
        self.write_work_changes(utc, changes);
    }

    fn add_worker_event(&mut self, team: usize, event: WorkerEvent, changes: &mut WorkChanges) {
        let name = self.settings.teams[team].name.clone();
        match event {
            WorkerEvent::Started { key, rate, is_replacement } => {
                changes.replacements.extend(is_replacement.then_some(key));
                changes.started.push((key, name, rate));
            }
            WorkerEvent::Adopted { key, rate, .. } => {
                self.adopted.insert(key);
                // What our own work log has runs on under the same scheduler.
                let is_ours = self.writes_work_log && self.runs_in_own_log(LogKind::Work, key);
                changes.replacements.extend((!is_ours).then_some(key));
                changes.started.push((key, name, rate));
            }
            WorkerEvent::Ended { key, readmissible } => {
                self.adopted.remove(&key);
                changes.ended.push((key, readmissible));
            }
        }
    }

    /// Ends what our earlier incarnations ran and no machine holds; it may be readmitted.
    fn end_unclaimed_work(&self, changes: &mut WorkChanges) {
        let started: BTreeSet<u64> = changes.started.iter().map(|(key, ..)| *key).collect();
        let is_claimed = |key: &u64| self.adopted.contains(key) || started.contains(key);
        let logs = [LogKind::Fleet, LogKind::Work].into_iter();
        let states = logs.filter_map(|kind| self.logs(kind).latest_state(&self.settings.me));
        let running: BTreeSet<u64> = states.flat_map(|state| state.running.keys()).copied().collect();
        changes.ended.extend(running.into_iter().filter(|key| !is_claimed(key)).map(|key| (key, true)));
    }

    fn runs_in_own_log(&self, kind: LogKind, key: u64) -> bool {
        let own = self.logs(kind).latest_state(&self.settings.me);
        own.is_some_and(|state| state.running.contains_key(&key))
    }

    fn write_work_changes(&mut self, utc: u64, changes: WorkChanges) {
        if !self.writes_work_log {
            return self.write_all(LogKind::Fleet, &changes.entries(utc));
        }
        if changes == WorkChanges::default() {
            return;
        }
        let me = &self.settings.me;
        let none = Running::new();
        let states = self.fleet_states();
        let in_fleet = self.fleet_logs.latest_state(me).map_or(&none, |state| &state.running);
        let in_work = self.work_logs.latest_state(me).map_or(&none, |state| &state.running);
        let known_work = |key| readmission::known_work(me, key, &states);
        let RoutedChanges { fleet, work } = work_routing::route(changes, in_fleet, in_work, known_work);
        self.write_all(LogKind::Fleet, &fleet.entries(utc));
        self.write_all(LogKind::Work, &work.entries(utc));
    }

    /// Moves work from our work log to the fleet log if others' fleet logs have the same keys.
    pub(super) fn promote_work_recorded_by_others(&mut self, utc: u64) {
        let me = &self.settings.me;
        let ours = self.work_logs.latest_state(me).map(|state| &state.running);
        let Some(ours) = ours.filter(|running| !running.is_empty()) else { return };
        let states = self.fleet_states();
        let keys: Vec<u64> = readmission::keys_recorded_by_others(me, ours, &states).into_iter().collect();
        if keys.is_empty() {
            return;
        }
        let work: Vec<(u64, RunningWork)> = keys.iter().map(|key| (*key, ours[key].clone())).collect();
        let mut entries = work_routing::started_entries(work.iter().map(|(key, work)| (key, work)));
        let replacements = WorkChanges { replacements: keys.clone(), ..WorkChanges::default() };
        entries.extend(replacements.entries(utc));
        self.write_all(LogKind::Fleet, &entries);
        self.write_all(LogKind::Work, &work_routing::moved_entries(utc, keys.into_iter()));
    }
}
