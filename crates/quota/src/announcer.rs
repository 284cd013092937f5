//! When a member that holds a copy of a silent member's work log announces the work that ran there.
//!
//! One announcement is enough. The holders of copies are ranked, and each waits longer than the one ranked
//! before it: while all of them are up, the first announces and the others learn of it in time. Two
//! announcements at the same time do no harm: the one with the higher entry number applies.

use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_replicated_log::{AnnouncedWork, LogState, Name};
use std::collections::BTreeMap;

/// How much longer a holder waits than the one ranked before it.
const WAIT_PER_RANK: Duration = Duration::from_secs(2);
/// Additional wait where the member is only silent and no connection to it broke: its heartbeat may be late.
const SILENCE_WAIT: Duration = Duration::from_secs(1);
/// Least time between two announcements of one member by one holder.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(10);

/// How far a work log is known: an incarnation of its writer, and the number of its last entry.
pub type Extent = (u64, u64);

/// A silent member whose work may have to be announced, as this holder of a copy sees it.
pub struct SilentMember<'a> {
    pub name: &'a Name,
    /// Our rank among the holders of copies of its work log.
    pub rank: usize,
    /// A connection to it broke.
    pub is_disconnected: bool,
    /// How far our copy goes.
    pub copy: Extent,
    /// How far its work log was announced by anybody.
    pub announced: Option<Extent>,
}

/// Since when members have been silent, and when this scheduler last announced their work.
#[derive(Debug, Default)]
pub struct Announcer {
    silent_since: BTreeMap<Name, Timestamp>,
    announced_at: BTreeMap<Name, Timestamp>,
}

impl Announcer {
    /// The member is alive again.
    pub fn on_member_alive(&mut self, member: &Name) {
        self.silent_since.remove(member);
    }

    /// Whether to announce the work of a silent member now. If so, that is remembered.
    pub fn is_due(&mut self, now: Timestamp, member: &SilentMember<'_>) -> bool {
        let since = *self.silent_since.entry(member.name.clone()).or_insert(now);
        let silence_wait = if member.is_disconnected { Duration::ZERO } else { SILENCE_WAIT };
        let wait = WAIT_PER_RANK * member.rank as f64 + silence_wait;
        let is_too_soon =
            self.announced_at.get(member.name).is_some_and(|at| now - *at < ANNOUNCEMENT_INTERVAL);
        let is_known = member.announced.is_some_and(|announced| announced >= member.copy);
        if is_known || now - since < wait || is_too_soon {
            return false;
        }
        self.announced_at.insert(member.name.clone(), now);
        true
    }
}

/// Of each member whose work was announced, the most recent announcement.
pub fn newest_announcements<'a>(
    states: impl Iterator<Item = &'a LogState>,
) -> BTreeMap<&'a Name, &'a AnnouncedWork> {
    let mut newest: BTreeMap<&Name, &AnnouncedWork> = BTreeMap::new();
    for (writer, announced) in states.flat_map(|state| &state.announced) {
        let known = newest.entry(writer).or_insert(announced);
        if (announced.incarnation, announced.number) > (known.incarnation, known.number) {
            *known = announced;
        }
    }
    newest
}
