//! When one that holds a copy of a silent member's work log announces what ran there.
//!
//! One announcement is enough. The holders are ranked, and each waits longer than the one before it: with
//! all of them there the first one speaks, and the others hear of it in time. Two that speak at the same
//! time do no harm: the later row number holds.

use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_replicated_log::{AnnouncedWork, LogState, Name};
use std::collections::BTreeMap;

/// How much longer a holder waits than the one before it.
const RANK_WAITS: Duration = Duration::from_secs(2);
/// A silence alone is waited out for so long more: a sign of life may only be late.
const SILENCE_WAITS: Duration = Duration::from_secs(1);
/// Between two announcements of one member by one holder.
const BETWEEN: Duration = Duration::from_secs(10);

/// How far a work log is known: a life of its writer, and the number of its last row.
pub type Extent = (u64, u64);

/// Since when members have been silent, and when we announced their work last.
#[derive(Debug, Default)]
pub struct Announcer {
    silent: BTreeMap<Name, Timestamp>,
    announced: BTreeMap<Name, Timestamp>,
}

impl Announcer {
    /// It was heard of again.
    pub fn is_back(&mut self, member: &Name) {
        self.silent.remove(member);
    }

    /// Whether to announce the work of a silent member now. `rank` is our place among the holders, `broke`
    /// whether a connection to it broke, `copy` how far we know its work log, `known` how far somebody
    /// announced it.
    pub fn is_due(
        &mut self,
        now: Timestamp,
        member: &Name,
        rank: usize,
        broke: bool,
        copy: Extent,
        known: Option<Extent>,
    ) -> bool {
        let since = *self.silent.entry(member.clone()).or_insert(now);
        let waits = RANK_WAITS * rank as f64 + if broke { Duration::ZERO } else { SILENCE_WAITS };
        let rests = self.announced.get(member).is_some_and(|at| now - *at < BETWEEN);
        if known.is_some_and(|known| known >= copy) || now - since < waits || rests {
            return false;
        }
        self.announced.insert(member.clone(), now);
        true
    }
}

/// Of each member whose work was announced, the announcement that knows most.
pub fn newest<'a>(states: impl Iterator<Item = &'a LogState>) -> BTreeMap<&'a Name, &'a AnnouncedWork> {
    let mut newest: BTreeMap<&Name, &AnnouncedWork> = BTreeMap::new();
    for (of, announced) in states.flat_map(|state| &state.announced) {
        let known = newest.entry(of).or_insert(announced);
        if (announced.incarnation, announced.number) > (known.incarnation, known.number) {
            *known = announced;
        }
    }
    newest
}
