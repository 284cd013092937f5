//! Work that runs has its place: its names go, under whatever team they stand.

use super::{Known, may_come_again};
use crate::reservation_pool::Place;
use crate::settings::Team;
use mulleinhub_replicated_log::{
    DisplacedWork, LogState, Name, READS_WORK_LOGS, RESTART_WINDOW_MS, RunningWork, WRITES_WORK_LOG,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, HashMap};

const TEAMS: u64 = 4;
/// An instant, in Unix time.
const UTC: u64 = RESTART_WINDOW_MS * 10;

/// What a scheduler's logs say: keys that run by its fleet log and by its work log, that may come again, and
/// that were taken before a hold, each with its team; and whether it is silent.
type Drawn = ([Vec<(u64, u64)>; 4], bool);

fn team_name(team: u64) -> Name {
    format!("team-{team}").as_str().into()
}

fn team(team: u64) -> Team {
    Team { name: team_name(team), account: None, tenants: Vec::new(), cap: None }
}

fn running(keys: &[(u64, u64)]) -> BTreeMap<u64, RunningWork> {
    let work = |team| RunningWork { team: team_name(team), rate: 1, since: UTC };
    keys.iter().map(|(key, team)| (*key, work(*team))).collect()
}

fn loose(keys: &[(u64, u64)]) -> BTreeMap<u64, DisplacedWork> {
    let loose = |team| DisplacedWork { team: team_name(team), until: UTC + 1 };
    keys.iter().map(|(key, team)| (*key, loose(*team))).collect()
}

fn scheduler() -> impl Strategy<Value = Drawn> {
    let keys = || prop::collection::vec((0..20u64, 0..TEAMS), 0..6);
    ([keys(), keys(), keys(), keys()], any::<bool>())
}

/// All names, then, one by one, those that run at a scheduler that is there taken out of all teams.
fn expected(drawn: &[Drawn]) -> Vec<BTreeMap<u64, bool>> {
    let mut names = vec![BTreeMap::new(); TEAMS as usize];
    let mut name = |keys: &[(u64, u64)], ran: bool| {
        let keys: BTreeMap<u64, u64> = keys.iter().copied().collect();
        for (key, team) in keys {
            *names[team as usize].entry(key).or_insert(ran) |= ran;
        }
    };
    for (n, ([fleet, work, loose, passes], silent)) in drawn.iter().enumerate() {
        name(passes, false);
        name(loose, true);
        if *silent && n > 0 {
            name(fleet, true);
            name(work, true);
        }
    }
    for (n, ([fleet, work, ..], silent)) in drawn.iter().enumerate() {
        let is_me = n == 0;
        let own = work.iter().filter(|_| is_me);
        for (key, _) in fleet.iter().chain(own).filter(|_| is_me || !silent) {
            names.iter_mut().for_each(|names| _ = names.remove(key));
        }
    }
    names
}

proptest! {
    /// The first of the schedulers is ourselves.
    #[test]
    fn work_that_runs_is_named_under_no_team(drawn in prop::collection::vec(scheduler(), 1..5)) {
        let writers: Vec<Name> = (0..drawn.len()).map(|n| format!("s{n}").as_str().into()).collect();
        let states = |([fleet, work, loose_keys, passes], _): &Drawn| {
            let fleet = LogState {
                running: running(fleet),
                displaced: loose(loose_keys),
                admitted: loose(passes),
                capabilities: READS_WORK_LOGS | WRITES_WORK_LOG,
                ..LogState::default()
            };
            (fleet, LogState { running: running(work), ..LogState::default() })
        };
        let states: Vec<(LogState, LogState)> = drawn.iter().map(states).collect();
        let mut all: Vec<Known<'_>> = Vec::new();
        for (n, (fleet, work)) in states.iter().enumerate() {
            let (is_me, silent) = (n == 0, n > 0 && drawn[n].1);
            let copy = Some((1, 1, work));
            all.push(Known { writer: &writers[n], life: 1, state: fleet, copy, silent, is_me });
        }
        let teams: Vec<Team> = (0..TEAMS).map(team).collect();
        let names = may_come_again(UTC, &teams, &all, &BTreeMap::new());
        let ran = |names: &HashMap<u64, Place>| -> BTreeMap<u64, bool> {
            names.iter().map(|(key, place)| (*key, place.ran)).collect()
        };
        prop_assert_eq!(names.iter().map(ran).collect::<Vec<_>>(), expected(&drawn));
    }
}
