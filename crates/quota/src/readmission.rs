//! Which tasks may be admitted again, according to all logs known here.

use crate::reservation_pool::Readmission;
use crate::settings::Team;
use crate::work_routing::{KnownWork, Running};
use mulleinhub_replicated_log::{AnnouncedWork, DisplacedWork, LogState, Name, RESTART_WINDOW_MS};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What the logs of one scheduler say, as far as they are known here.
pub struct WriterView<'a> {
    pub writer: &'a Name,
    /// The newest incarnation that is known.
    pub incarnation: u64,
    /// The state of its fleet log in that incarnation.
    pub state: &'a LogState,
    /// Our copy of its work log, or our own: incarnation, number of the last entry, and state.
    pub work_log: Option<(u64, u64, &'a LogState)>,
    /// Nobody can tell at present whether its work has ended.
    pub is_silent: bool,
    /// It is this scheduler: `work_log` is the log itself, while the logs of others may have more entries.
    pub is_me: bool,
}

impl WriterView<'_> {
    /// A later incarnation took the work log of this one over into its fleet log.
    fn is_superseded(&self, incarnation: u64) -> bool {
        incarnation < self.incarnation && self.state.reads_work_logs() && !self.state.writes_work_log()
    }

    /// The work that runs according to its work log: our copy, or an announcement that is newer.
    fn running_in_work_log<'a>(&'a self, announced: Option<&'a AnnouncedWork>) -> Option<&'a Running> {
        let copy = self.work_log.filter(|(incarnation, ..)| !self.is_superseded(*incarnation));
        let extent = copy.map(|(incarnation, number, _)| (incarnation, number));
        let announced = announced.filter(|a| !self.is_superseded(a.incarnation));
        let newer = announced.filter(|a| extent.is_none_or(|extent| (a.incarnation, a.number) > extent));
        newer.map(|announced| &announced.work).or_else(|| copy.map(|(.., state)| &state.running))
    }
}

/// For each team, the tasks that may be admitted again without counting as new.
pub fn readmissions(
    utc: u64,
    teams: &[Team],
    writers: &[WriterView<'_>],
    announced: &BTreeMap<&Name, &AnnouncedWork>,
) -> Vec<HashMap<u64, Readmission>> {
    let mut collector = Collector::new(teams, writers);
    for writer in writers {
        let state = writer.state;
        let is_valid = |(_, displaced): &(&u64, &DisplacedWork)| displaced.until > utc;
        let admitted = state.admitted.iter().filter(is_valid);
        admitted.for_each(|(key, d)| collector.add(&d.team, *key, false, d.until));
        let displaced = state.displaced.iter().filter(is_valid);
        displaced.for_each(|(key, d)| collector.add(&d.team, *key, true, d.until));
        if !writer.is_silent {
            continue;
        }
        // Running work keeps its place, unless nobody can tell at present whether it has ended.
        let in_work_log = writer.running_in_work_log(announced.get(writer.writer).copied());
        for (key, work) in state.running.iter().chain(in_work_log.into_iter().flatten()) {
            collector.add(&work.team, *key, true, work.since.saturating_add(RESTART_WINDOW_MS));
        }
    }
    let mut readmissions = collector.readmissions;
    remove_running(writers, &mut readmissions);
    readmissions
}

/// Collects the tasks of each team that may be admitted again.
struct Collector<'a> {
    /// Indexes of teams by name.
    teams: BTreeMap<&'a Name, usize>,
    /// Until when a readmitted task that ended for good can't be admitted again, unless it started anew
    /// since.
    done: HashMap<u64, u64>,
    readmissions: Vec<HashMap<u64, Readmission>>,
}

impl<'a> Collector<'a> {
    fn new(teams: &'a [Team], writers: &[WriterView<'_>]) -> Self {
        let mut done: HashMap<u64, u64> = HashMap::new();
        for (key, until) in writers.iter().flat_map(|writer| &writer.state.finished_replacements) {
            let known = done.entry(*key).or_default();
            *known = (*known).max(*until);
        }
        Self {
            teams: teams.iter().enumerate().map(|(index, team)| (&team.name, index)).collect(),
            done,
            readmissions: vec![HashMap::new(); teams.len()],
        }
    }

    fn add(&mut self, team: &Name, key: u64, ran: bool, until: u64) {
        if self.done.get(&key).is_some_and(|done| until <= *done) {
            return;
        }
        if let Some(index) = self.teams.get(team) {
            let readmissions = &mut self.readmissions[*index];
            let readmission = readmissions.entry(key).or_insert(Readmission { in_use: false, ran });
            readmission.ran |= ran;
        }
    }
}

/// Removes the keys of work that runs at a scheduler that is up, whatever team they are listed under.
fn remove_running(writers: &[WriterView<'_>], readmissions: &mut [HashMap<u64, Readmission>]) {
    let keys_of = |(team, readmissions): (usize, &HashMap<u64, Readmission>)| -> Vec<(u64, usize)> {
        readmissions.keys().map(|key| (*key, team)).collect()
    };
    let mut listed: Vec<(u64, usize)> = readmissions.iter().enumerate().flat_map(keys_of).collect();
    if listed.is_empty() {
        return;
    }
    listed.sort_unstable();
    for writer in writers.iter().filter(|writer| !writer.is_silent) {
        let own_work_log = writer.work_log.iter().filter(|_| writer.is_me);
        let in_work_log = own_work_log.flat_map(|(.., state)| state.running.keys());
        for key in writer.state.running.keys().chain(in_work_log) {
            let first = listed.partition_point(|(listed, _)| listed < key);
            for (_, team) in listed[first..].iter().take_while(|(listed, _)| listed == key) {
                readmissions[*team].remove(key);
            }
        }
    }
}

/// What the fleet logs say of a key that `me` might start or has started.
pub fn known_work(me: &Name, key: u64, states: &[(Name, &LogState)]) -> Option<KnownWork> {
    let ran = |(writer, state): &(Name, &LogState)| {
        let runs_elsewhere = writer != me && state.running.contains_key(&key);
        let is_announced = state.announced.iter().any(|(of, a)| of != me && a.work.contains_key(&key));
        runs_elsewhere || is_announced || state.displaced.contains_key(&key)
    };
    if states.iter().any(ran) {
        return Some(KnownWork::Ran);
    }
    states.iter().any(|(_, state)| state.admitted.contains_key(&key)).then_some(KnownWork::Admitted)
}

/// The keys that run according to our own work log and are also in others' fleet logs: two schedulers
/// started the same task, and all have to know that it runs here.
pub fn keys_recorded_by_others(me: &Name, ours: &Running, states: &[(Name, &LogState)]) -> BTreeSet<u64> {
    let others = states.iter().filter(|(writer, _)| writer != me);
    let keys = others.flat_map(|(_, state)| {
        let announced = state.announced.iter().filter(|(of, _)| *of != me);
        let announced = announced.flat_map(|(_, announced)| announced.work.keys());
        state.running.keys().chain(state.displaced.keys()).chain(state.admitted.keys()).chain(announced)
    });
    keys.filter(|key| ours.contains_key(key)).copied().collect()
}

#[cfg(test)]
mod tests;
