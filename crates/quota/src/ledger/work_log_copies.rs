//! Our copies of others' work logs: announces the work of members that are silent, and drops copies that are
//! no longer needed.

use super::Ledger;
use crate::announcer::{self, SilentMember};
use crate::work_routing::{self, MAX_WORKERS_PER_ENTRY, Running};
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_replicated_log::{
    ANNOUNCEMENT_WITHDRAWN, AnnouncedWork, Entry, Log, LogId, LogKind, LogState, MemberState, Name,
    RunningWork, choose_replicas,
};
use std::collections::BTreeSet;

/// Time between two checks for copies of members whose replica we are not.
const SPARE_CHECK_INTERVAL: Duration = Duration::from_secs(60);
/// How long such a copy is kept.
const SPARE_RETENTION: Duration = Duration::from_secs(600);
/// The number of replicas by which holders of copies are ranked where our own settings have none.
const DEFAULT_REPLICAS: usize = 2;

impl Ledger {
    /// Drops copies of members that are alive and whose replica we have not been for long. A member that
    /// sees this differently sends its log again with its next entry.
    pub(super) fn drop_spare_copies(&mut self, now: Timestamp) {
        let is_due = now - self.spare_copies_checked_at >= SPARE_CHECK_INTERVAL;
        let Some(count) = self.settings.replicas.filter(|_| is_due) else { return };
        self.spare_copies_checked_at = now;
        let me = &self.settings.me;
        let is_spare = |writer: &&Name| {
            let is_alive = self.membership.member_state(now, writer) == MemberState::Alive;
            is_alive && !self.copy_holders(now, writer, count).contains(me)
        };
        let spare: BTreeSet<Name> = self.copied_writers().filter(is_spare).cloned().collect();
        self.spare_copies.retain(|writer, _| spare.contains(writer));
        for writer in spare {
            let since = *self.spare_copies.entry(writer.clone()).or_insert(now);
            if now - since >= SPARE_RETENTION {
                self.work_logs.drop_writer(&writer);
                self.spare_copies.remove(&writer);
            }
        }
    }

    /// The members that are to hold copies of a writer's work log, in order of rank.
    fn copy_holders(&self, now: Timestamp, writer: &Name, count: usize) -> Vec<Name> {
        let me = &self.settings.me;
        let is_usable =
            |name: &Name| name == me || self.membership.member_state(now, name) != MemberState::Dead;
        choose_replicas(writer, &self.settings.locations, count, is_usable)
    }

    /// Announces the work of members that are silent, and takes back our announcements of those that are up
    /// in a later incarnation.
    pub(super) fn announce_silent_members(&mut self, now: Timestamp, utc: u64) {
        let writers: BTreeSet<Name> = self.copied_writers().cloned().collect();
        for writer in &writers {
            if self.membership.member_state(now, writer) == MemberState::Alive {
                self.announcer.on_member_alive(writer);
                self.drop_superseded_copy(utc, writer);
            } else {
                self.announce_silent_member(now, utc, writer);
            }
        }
        self.take_back_announcements(now);
    }

    /// Our copy of a writer's work log: incarnation, number of the last entry, and state.
    pub(super) fn copy_of(&self, writer: &Name) -> Option<(u64, u64, &LogState)> {
        let incarnation = self.work_logs.newest_incarnation(writer)?;
        let log = self.work_logs.log(&LogId { writer: writer.clone(), incarnation })?;
        Some((incarnation, log.head().0, log.state()))
    }

    fn announce_silent_member(&mut self, now: Timestamp, utc: u64, writer: &Name) {
        let Some((incarnation, number, state)) = self.copy_of(writer) else { return };
        if self.is_superseded(writer, incarnation) {
            return;
        }
        let running = state.running.clone();
        let count = self.settings.replicas.unwrap_or(DEFAULT_REPLICAS);
        let holders = self.copy_holders(now, writer, count);
        let announced = self.announced_extent(writer);
        let member = SilentMember {
            name: writer,
            rank: holders.iter().position(|name| *name == self.settings.me).unwrap_or(count),
            is_disconnected: self.membership.is_suspected(writer),
            copy: (incarnation, number),
            announced,
        };
        let nothing_to_announce = running.is_empty() && announced.is_none();
        if nothing_to_announce || !self.announcer.is_due(now, &member) {
            return;
        }
        let id = LogId { writer: writer.clone(), incarnation };
        let mut entries = announcement_entries(&id, number, &running);
        if self.has_legacy_members() {
            entries.extend(work_routing::readmissible_entries(utc, &running));
        }
        self.write_all(LogKind::Fleet, &entries);
    }

    /// How far a writer's work log was announced by anybody: incarnation and entry number.
    fn announced_extent(&self, writer: &Name) -> Option<(u64, u64)> {
        let states = self.fleet_states();
        let announced = announcer::newest_announcements(states.iter().map(|(_, state)| *state));
        announced.get(writer).map(|announced| (announced.incarnation, announced.number))
    }

    /// A later incarnation of this member took the whole work log over into its fleet log.
    fn is_superseded(&self, writer: &Name, incarnation: u64) -> bool {
        let is_later = self.fleet_logs.newest_incarnation(writer).is_some_and(|newest| newest > incarnation);
        let state = self.fleet_logs.latest_state(writer);
        is_later && state.is_some_and(|state| state.reads_work_logs() && !state.writes_work_log())
    }

    /// Drops a copy that nobody needs any more, because a later incarnation writes no work log. Where that
    /// is of a version that can't read work logs, it did not take over the work in it: all schedulers are
    /// told that it may be readmitted.
    fn drop_superseded_copy(&mut self, utc: u64, writer: &Name) {
        let Some((incarnation, _, state)) = self.copy_of(writer) else { return };
        let newest = self.fleet_logs.newest_incarnation(writer).filter(|newest| *newest > incarnation);
        let Some(newest) = newest else { return };
        let id = LogId { writer: writer.clone(), incarnation: newest };
        let Some(present) = self.fleet_logs.log(&id).map(Log::state) else { return };
        if present.writes_work_log() {
            return;
        }
        if !present.reads_work_logs() {
            let lost = state.running.iter().filter(|(key, _)| !present.running.contains_key(key));
            let lost: Running = lost.map(|(key, work)| (*key, work.clone())).collect();
            self.write_all(LogKind::Fleet, &work_routing::readmissible_entries(utc, &lost));
        }
        self.work_logs.drop_writer(writer);
    }

    /// Takes back our announcements of members that are alive in a later incarnation.
    fn take_back_announcements(&mut self, now: Timestamp) {
        let Some(own) = self.fleet_logs.latest_state(&self.settings.me) else { return };
        let is_outdated = |(writer, announced): &(&Name, &AnnouncedWork)| {
            let is_later = self
                .fleet_logs
                .newest_incarnation(writer)
                .is_some_and(|newest| newest > announced.incarnation);
            is_later && self.membership.member_state(now, writer) == MemberState::Alive
        };
        let outdated = own.announced.iter().filter(is_outdated);
        let entries = outdated.map(|(writer, announced)| Entry::Announced {
            of: LogId { writer: writer.clone(), incarnation: announced.incarnation },
            number: ANNOUNCEMENT_WITHDRAWN,
            work: Vec::new(),
        });
        let entries: Vec<Entry> = entries.collect();
        self.write_all(LogKind::Fleet, &entries);
    }
}

/// Entries that announce the work of a writer's work log up to a entry number; at least one.
fn announcement_entries(id: &LogId, number: u64, running: &Running) -> Vec<Entry> {
    let work: Vec<(u64, RunningWork)> = running.iter().map(|(key, work)| (*key, work.clone())).collect();
    if work.is_empty() {
        return vec![Entry::Announced { of: id.clone(), number, work }];
    }
    let chunks = work.chunks(MAX_WORKERS_PER_ENTRY);
    chunks.map(|work| Entry::Announced { of: id.clone(), number, work: work.to_vec() }).collect()
}
