//! Tells the pools which tasks may be admitted again, whenever the logs that say so have changed.

use super::Ledger;
use crate::announcer;
use crate::readmission::{self, WriterView};
use crate::reservation_pool::ReservationPools;
use mulleinhub_interface::Timestamp;
use mulleinhub_replicated_log::{MemberState, Name};

/// What the readmissions were computed from.
#[derive(PartialEq, Eq)]
pub(super) struct ReadmissionSources {
    /// Counts that grow with each change of the logs.
    fleet_stamp: u64,
    work_stamp: u64,
    /// The members that are not alive.
    silent: Vec<Name>,
}

impl Ledger {
    /// Updates the readmissions of all pools, if anything they depend on has changed.
    pub(super) fn update_readmissions(&mut self, now: Timestamp, utc: u64, pools: &mut dyn ReservationPools) {
        let sources = ReadmissionSources {
            fleet_stamp: self.fleet_logs.revision(),
            work_stamp: self.work_logs.revision(),
            silent: self.silent_writers(now),
        };
        if self.readmission_sources.as_ref() == Some(&sources) {
            return;
        }
        let known_stamp = self.readmission_sources.as_ref().map(|known| known.fleet_stamp);
        let is_fleet_changed = known_stamp != Some(sources.fleet_stamp);
        let readmissions = {
            let states = self.fleet_states();
            let view = |(writer, state)| WriterView {
                writer,
                incarnation: self.fleet_logs.newest_incarnation(writer).unwrap_or(0),
                state,
                work_log: self.copy_of(writer),
                is_silent: sources.silent.contains(writer),
                is_me: *writer == self.settings.me,
            };
            let views: Vec<WriterView<'_>> =
                states.iter().map(|(writer, state)| (writer, *state)).map(view).collect();
            let announcers = states.iter().filter(|_| !self.ignores_work_logs);
            let announced = announcer::newest_announcements(announcers.map(|(_, state)| *state));
            readmission::readmissions(utc, &self.settings.teams, &views, &announced)
        };
        self.readmission_sources = Some(sources);
        for (team, mut readmissions) in readmissions.into_iter().enumerate() {
            pools.with_pool(team, &mut |pool| {
                readmissions = pool.set_readmissions(std::mem::take(&mut readmissions));
            });
        }
        if is_fleet_changed && self.writes_work_log {
            self.promote_work_recorded_by_others(utc);
        }
    }

    /// The other writers of fleet logs that are not alive.
    fn silent_writers(&self, now: Timestamp) -> Vec<Name> {
        let is_silent = |writer: &Name| {
            *writer != self.settings.me && self.membership.member_state(now, writer) != MemberState::Alive
        };
        let states = self.fleet_states().into_iter();
        states.map(|(writer, _)| writer).filter(is_silent).collect()
    }
}
