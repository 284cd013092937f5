//! Which work may come again, by all that is known.

use crate::reservation_pool::Place;
use crate::settings::Team;
use crate::work_log::{Named, Running};
use mulleinhub_replicated_log::{AnnouncedWork, DisplacedWork, LogState, Name, RESTART_WINDOW_MS};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What is known of one scheduler.
pub struct Known<'a> {
    pub writer: &'a Name,
    /// Its newest life, and what the fleet log of that says.
    pub life: u64,
    pub state: &'a LogState,
    /// Our copy of its work log, or our own: life, last row, and what it says.
    pub copy: Option<(u64, u64, &'a LogState)>,
    /// Nobody can say now that its work is over.
    pub silent: bool,
    /// It is ourselves: the copy is the log itself. Others' may have been written on without us.
    pub is_me: bool,
}

impl Known<'_> {
    /// A later life took over what stood in the work log of this one, into its fleet log.
    fn is_succeeded(&self, life: u64) -> bool {
        life < self.life && self.state.reads_work_logs() && !self.state.writes_work_log()
    }

    /// What runs by its work log: our copy, or an announcement that knows more.
    fn work_log<'a>(&'a self, announced: Option<&'a AnnouncedWork>) -> Option<&'a Running> {
        let copy = self.copy.filter(|(life, ..)| !self.is_succeeded(*life));
        let extent = copy.map(|(life, number, _)| (life, number));
        let announced = announced.filter(|a| !self.is_succeeded(a.incarnation));
        let newer = announced.filter(|a| extent.is_none_or(|extent| (a.incarnation, a.number) > extent));
        newer.map(|announced| &announced.work).or_else(|| copy.map(|(.., state)| &state.running))
    }
}

/// For each team who may come again in whose place.
pub fn may_come_again(
    utc: u64,
    teams: &[Team],
    all: &[Known<'_>],
    announced: &BTreeMap<&Name, &AnnouncedWork>,
) -> Vec<HashMap<u64, Place>> {
    let place: BTreeMap<&Name, usize> = teams.iter().enumerate().map(|(at, team)| (&team.name, at)).collect();
    let mut names: Vec<HashMap<u64, Place>> = vec![HashMap::new(); teams.len()];
    // Who took the place of one that ran, and ended for good: nobody comes in that place any more,
    // unless it began anew since.
    let mut done: HashMap<u64, u64> = HashMap::new();
    for (key, until) in all.iter().flat_map(|known| &known.state.finished_replacements) {
        let known = done.entry(*key).or_default();
        *known = (*known).max(*until);
    }
    let mut name = |team: &Name, key: u64, ran: bool, until: u64| {
        if done.get(&key).is_some_and(|done| until <= *done) {
            return;
        }
        if let Some(at) = place.get(team) {
            let place = names[*at].entry(key).or_insert(Place { in_hand: false, ran });
            place.ran |= ran;
        }
    };
    for known in all {
        let state = known.state;
        let may = |(_, loose): &(&u64, &DisplacedWork)| loose.until > utc;
        state.admitted.iter().filter(may).for_each(|(key, l)| name(&l.team, *key, false, l.until));
        state.displaced.iter().filter(may).for_each(|(key, l)| name(&l.team, *key, true, l.until));
        if !known.silent {
            continue;
        }
        // What runs elsewhere has its place, unless nobody can say now that it is over.
        let in_work_log = known.work_log(announced.get(known.writer).copied());
        for (key, work) in state.running.iter().chain(in_work_log.into_iter().flatten()) {
            name(&work.team, *key, true, work.since.saturating_add(RESTART_WINDOW_MS));
        }
    }
    remove_running(all, &mut names);
    names
}

/// Takes out the names of work that runs at a scheduler that is there, under whatever team they stand.
fn remove_running(all: &[Known<'_>], names: &mut [HashMap<u64, Place>]) {
    let teams_of = |(team, names): (usize, &HashMap<u64, Place>)| -> Vec<(u64, usize)> {
        names.keys().map(|key| (*key, team)).collect()
    };
    let mut named: Vec<(u64, usize)> = names.iter().enumerate().flat_map(teams_of).collect();
    if named.is_empty() {
        return;
    }
    named.sort_unstable();
    for known in all.iter().filter(|known| !known.silent) {
        let own = known.copy.iter().filter(|_| known.is_me);
        let in_work_log = own.flat_map(|(.., state)| state.running.keys());
        for key in known.state.running.keys().chain(in_work_log) {
            let first = named.partition_point(|(named, _)| named < key);
            for (_, team) in named[first..].iter().take_while(|(named, _)| named == key) {
                names[*team].remove(key);
            }
        }
    }
}

/// What the fleet logs say of a key that `me` might begin, or has begun.
pub fn named(me: &Name, key: u64, states: &[(&Name, &LogState)]) -> Option<Named> {
    let ran = |(writer, state): &(&Name, &LogState)| {
        let runs_elsewhere = *writer != me && state.running.contains_key(&key);
        let announced = state.announced.iter().any(|(of, a)| of != me && a.work.contains_key(&key));
        runs_elsewhere || announced || state.displaced.contains_key(&key)
    };
    if states.iter().any(ran) {
        return Some(Named::Ran);
    }
    states.iter().any(|(_, state)| state.admitted.contains_key(&key)).then_some(Named::Taken)
}

/// Of what runs by our own work log, the keys that others' fleet logs name: two schedulers crossed, and all
/// have to know that it runs here.
pub fn crossed(me: &Name, ours: &Running, states: &[(&Name, &LogState)]) -> BTreeSet<u64> {
    let others = states.iter().filter(|(writer, _)| *writer != me);
    let keys = others.flat_map(|(_, state)| {
        let announced = state.announced.iter().filter(|(of, _)| *of != me);
        let announced = announced.flat_map(|(_, announced)| announced.work.keys());
        state.running.keys().chain(state.displaced.keys()).chain(state.admitted.keys()).chain(announced)
    });
    keys.filter(|key| ours.contains_key(key)).copied().collect()
}

#[cfg(test)]
mod tests;
