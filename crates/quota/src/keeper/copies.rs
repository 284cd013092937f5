//! What the keeper does with its copies of others' work logs: it announces what ran at members that are
//! silent, and lets go of copies that a later life took over.

use super::{Ledger, MOST_WORK, USUAL_REPLICAS};
use crate::announce;
use crate::work_log::{self, Running};
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_replicated_log::{
    ANNOUNCEMENT_WITHDRAWN, AnnouncedWork, Entry, LogId, LogKind, LogState, MemberState, Name, RunningWork,
    choose_replicas,
};
use std::collections::BTreeSet;

/// Between two looks at which copies are spare, and how long one is kept on.
const SPARE_LOOK: Duration = Duration::from_secs(60);
const SPARE_KEPT: Duration = Duration::from_secs(600);

impl Ledger {
    /// Lets go of copies of members that are there, and whose replica we have not been for long. One that
    /// is wrong about that gets the log again with its next row.
    pub(super) fn forget_copies(&mut self, now: Timestamp) {
        let Some(many) = self.settings.replicas.filter(|_| now - self.spare_looked_at >= SPARE_LOOK) else {
            return;
        };
        self.spare_looked_at = now;
        let me = &self.settings.me;
        let is_usable = |name: &Name| name == me || self.roll.member_state(now, name) != MemberState::Dead;
        let is_spare = |writer: &&Name| {
            let is_there = self.roll.member_state(now, writer) == MemberState::Alive;
            is_there && !choose_replicas(writer, &self.settings.sites, many, is_usable).contains(me)
        };
        let spare: BTreeSet<Name> = self.copies().filter(is_spare).cloned().collect();
        self.spare_copies.retain(|writer, _| spare.contains(writer));
        for writer in spare {
            let since = *self.spare_copies.entry(writer.clone()).or_insert(now);
            if now - since >= SPARE_KEPT {
                self.work.drop_writer(&writer);
                self.spare_copies.remove(&writer);
            }
        }
    }

    /// Announces what ran at members that are silent, and takes back what was announced of those that are
    /// there in a later life.
    pub(super) fn announce(&mut self, now: Timestamp, utc: u64) {
        let writers: BTreeSet<Name> = self.copies().cloned().collect();
        for writer in &writers {
            if self.roll.member_state(now, writer) == MemberState::Alive {
                self.announcer.is_back(writer);
                self.release_succeeded(utc, writer);
            } else {
                self.announce_silent(now, utc, writer);
            }
        }
        self.take_back_announcements(now);
    }

    /// How far our copy of a member's work log goes.
    pub(super) fn copy_of(&self, writer: &Name) -> Option<(u64, u64, &LogState)> {
        let life = self.work.newest_incarnation(writer)?;
        let column = self.work.log(&LogId { writer: writer.clone(), incarnation: life })?;
        Some((life, column.head().0, column.state()))
    }

    pub(super) fn announce_silent(&mut self, now: Timestamp, utc: u64, writer: &Name) {
        let Some((life, number, state)) = self.copy_of(writer) else { return };
        if self.is_succeeded(writer, life) {
            return;
        }
        let running = state.running.clone();
        let many = self.settings.replicas.unwrap_or(USUAL_REPLICAS);
        let me = &self.settings.me;
        let is_usable = |name: &Name| name == me || self.roll.member_state(now, name) != MemberState::Dead;
        let holders = choose_replicas(writer, &self.settings.sites, many, is_usable);
        let rank = holders.iter().position(|name| name == me).unwrap_or(many);
        let broke = self.roll.is_suspected(writer);
        let states = self.fleet_states();
        let known = announce::newest(states.iter().map(|(_, state)| *state));
        let known = known.get(writer).map(|known| (known.incarnation, known.number));
        if (running.is_empty() && known.is_none())
            || !self.announcer.is_due(now, writer, rank, broke, (life, number), known)
        {
            return;
        }
        let of = LogId { writer: writer.clone(), incarnation: life };
        let work: Vec<(u64, RunningWork)> = running.iter().map(|(key, work)| (*key, work.clone())).collect();
        let chunks = work.chunks(MOST_WORK);
        let rows = chunks.map(|work| Entry::Announced { of: of.clone(), number, work: work.to_vec() });
        let mut rows: Vec<Entry> = rows.collect();
        if rows.is_empty() {
            rows.push(Entry::Announced { of, number, work });
        }
        if self.has_older_members() {
            rows.extend(work_log::comes_again_rows(utc, &running));
        }
        self.write_all(LogKind::Fleet, &rows);
    }

    /// A later life of this member took all that stood in this work log over into its fleet log.
    pub(super) fn is_succeeded(&self, writer: &Name, life: u64) -> bool {
        let is_later = self.library.newest_incarnation(writer).is_some_and(|newest| newest > life);
        let state = self.library.latest_state(writer);
        is_later && state.is_some_and(|state| state.reads_work_logs() && !state.writes_work_log())
    }

    /// A copy that nobody needs any more: a later life writes no work log. One of a version that can't read
    /// them did not take over what stood there, so that it may come again is told to all.
    pub(super) fn release_succeeded(&mut self, utc: u64, writer: &Name) {
        let Some((life, _, state)) = self.copy_of(writer) else { return };
        let Some(newest) = self.library.newest_incarnation(writer).filter(|newest| *newest > life) else {
            return;
        };
        let id = LogId { writer: writer.clone(), incarnation: newest };
        let Some(now) = self.library.log(&id).map(mulleinhub_replicated_log::Log::state) else { return };
        if now.writes_work_log() {
            return;
        }
        if !now.reads_work_logs() {
            let lost = state.running.iter().filter(|(key, _)| !now.running.contains_key(key));
            let lost: Running = lost.map(|(key, work)| (*key, work.clone())).collect();
            self.write_all(LogKind::Fleet, &work_log::comes_again_rows(utc, &lost));
        }
        self.work.drop_writer(writer);
    }

    pub(super) fn take_back_announcements(&mut self, now: Timestamp) {
        let me = &self.settings.me;
        let Some(ours) = self.library.latest_state(me).map(|state| &state.announced) else { return };
        let back = |(of, announced): &(&Name, &AnnouncedWork)| {
            let is_later =
                self.library.newest_incarnation(of).is_some_and(|newest| newest > announced.incarnation);
            is_later && self.roll.member_state(now, of) == MemberState::Alive
        };
        let back = ours.iter().filter(back).map(|(of, announced)| Entry::Announced {
            of: LogId { writer: of.clone(), incarnation: announced.incarnation },
            number: ANNOUNCEMENT_WITHDRAWN,
            work: Vec::new(),
        });
        let back: Vec<Entry> = back.collect();
        self.write_all(LogKind::Fleet, &back);
    }
}
