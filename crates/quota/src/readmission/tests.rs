//! Running work is not readmissible, whatever team it is listed under.

use super::{WriterView, readmissions};
use crate::reservation_pool::Readmission;
use crate::settings::Team;
use mulleinhub_replicated_log::{
    DisplacedWork, LogState, Name, READS_WORK_LOGS, RESTART_WINDOW_MS, RunningWork, WRITES_WORK_LOG,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, HashMap};

const TEAMS: u64 = 4;
/// An instant, in Unix time.
const UTC: u64 = RESTART_WINDOW_MS * 10;

/// What a scheduler's logs say: keys that run according to its fleet log and its work log, that may be
/// readmitted, and that were admitted before a suspension, each with its team; and whether it is silent.
type Sample = ([Vec<(u64, u64)>; 4], bool);

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

fn scheduler() -> impl Strategy<Value = Sample> {
    let keys = || prop::collection::vec((0..20u64, 0..TEAMS), 0..6);
    ([keys(), keys(), keys(), keys()], any::<bool>())
}

/// All readmissible keys, less those that run at a scheduler that is up, removed one by one from all teams.
fn expected(samples: &[Sample]) -> Vec<BTreeMap<u64, bool>> {
    let mut keys_by_team = vec![BTreeMap::new(); TEAMS as usize];
    let mut add = |keys: &[(u64, u64)], ran: bool| {
        let keys: BTreeMap<u64, u64> = keys.iter().copied().collect();
        for (key, team) in keys {
            *keys_by_team[team as usize].entry(key).or_insert(ran) |= ran;
        }
    };
    for (n, ([fleet, work, loose, passes], silent)) in samples.iter().enumerate() {
        add(passes, false);
        add(loose, true);
        if *silent && n > 0 {
            add(fleet, true);
            add(work, true);
        }
    }
    for (n, ([fleet, work, ..], silent)) in samples.iter().enumerate() {
        let is_me = n == 0;
        let own = work.iter().filter(|_| is_me);
        for (key, _) in fleet.iter().chain(own).filter(|_| is_me || !silent) {
            keys_by_team.iter_mut().for_each(|keys| _ = keys.remove(key));
        }
    }
    keys_by_team
}

proptest! {
    /// The first of the schedulers is ourselves.
    #[test]
    fn running_work_is_not_readmissible(samples in prop::collection::vec(scheduler(), 1..5)) {
        let writers: Vec<Name> = (0..samples.len()).map(|n| format!("s{n}").as_str().into()).collect();
        let states = |([fleet, work, loose_keys, passes], _): &Sample| {
            let fleet = LogState {
                running: running(fleet),
                displaced: loose(loose_keys),
                admitted: loose(passes),
                capabilities: READS_WORK_LOGS | WRITES_WORK_LOG,
                ..LogState::default()
            };
            (fleet, LogState { running: running(work), ..LogState::default() })
        };
        let states: Vec<(LogState, LogState)> = samples.iter().map(states).collect();
        let mut views: Vec<WriterView<'_>> = Vec::new();
        for (n, (fleet, work)) in states.iter().enumerate() {
            let (is_me, is_silent) = (n == 0, n > 0 && samples[n].1);
            let work_log = Some((1, 1, work));
            let writer = &writers[n];
            views.push(WriterView { writer, incarnation: 1, state: fleet, work_log, is_silent, is_me });
        }
        let teams: Vec<Team> = (0..TEAMS).map(team).collect();
        let readmissions = readmissions(UTC, &teams, &views, &BTreeMap::new());
        let ran = |keys: &HashMap<u64, Readmission>| -> BTreeMap<u64, bool> {
            keys.iter().map(|(key, readmission)| (*key, readmission.ran)).collect()
        };
        prop_assert_eq!(readmissions.iter().map(ran).collect::<Vec<_>>(), expected(&samples));
    }
}
