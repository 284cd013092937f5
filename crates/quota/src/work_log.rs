//! Which rows of work stand in the fleet log, and which in the work log.
//!
//! Ordinary work, which begins and ends where it was taken first, concerns nobody but the replicas of its
//! scheduler's work log. What took the place of work that ran, and what may come again, concerns everybody:
//! it stands in the fleet log, in rows as they were before there were two logs.

use mulleinhub_replicated_log::{Entry, Name, RunningWork};
use std::collections::{BTreeMap, BTreeSet};

/// Workers in one row.
const MOST_WORK: usize = 1_000;

/// Work by its key.
pub type Running = BTreeMap<u64, RunningWork>;

/// What became of workers since the last look.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkNews {
    pub began: Vec<(u64, Name, u64)>,
    /// Of those that began, the ones that took the place of one that ran.
    pub again: Vec<u64>,
    /// True where it may come again.
    pub over: Vec<(u64, bool)>,
}

impl WorkNews {
    /// The rows that say so. One that ended within a look had begun before.
    pub fn entries(&self, at: u64) -> Vec<Entry> {
        let began = self.began.chunks(MOST_WORK).map(|work| Entry::Started { at, work: work.to_vec() });
        let again = self.again.chunks(MOST_WORK).map(|keys| Entry::Replacements { at, keys: keys.to_vec() });
        let over = self.over.chunks(MOST_WORK).map(|work| Entry::Ended { at, work: work.to_vec() });
        began.chain(again).chain(over).collect()
    }
}

/// The same, for each of the two logs.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Divided {
    pub fleet: WorkNews,
    pub work: WorkNews,
}

/// What the fleet log of any scheduler says of a key that somebody else may want to begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Named {
    /// It was taken before a hold.
    Taken,
    /// It runs or ran.
    Ran,
}

/// Divides news of workers between the logs. `in_fleet` and `in_work` are what runs by our own logs; `named`
/// tells what is known of a key in the fleet's.
pub fn divide(
    news: WorkNews,
    in_fleet: &Running,
    in_work: &Running,
    named: impl Fn(u64) -> Option<Named>,
) -> Divided {
    let mut divided = Divided::default();
    let again: BTreeSet<u64> = news.again.into_iter().collect();
    let mut ordinary: BTreeMap<u64, (Name, u64)> = BTreeMap::new();
    let mut in_fleet: BTreeSet<u64> = in_fleet.keys().copied().collect();
    for (key, team, rate) in news.began {
        let named = named(key);
        let came_again = again.contains(&key) || named == Some(Named::Ran);
        if came_again || named.is_some() || in_fleet.contains(&key) {
            divided.fleet.again.extend(came_again.then_some(key));
            divided.fleet.began.push((key, team, rate));
            in_fleet.insert(key);
            if in_work.contains_key(&key) {
                divided.work.over.push((key, false));
            }
        } else {
            ordinary.insert(key, (team.clone(), rate));
            divided.work.began.push((key, team, rate));
        }
    }
    for (key, comes_again) in news.over {
        if in_fleet.contains(&key) {
            divided.fleet.over.push((key, comes_again));
            continue;
        }
        let known = in_work.get(&key).map(|work| (work.team.clone(), work.rate));
        let Some((team, rate)) = ordinary.get(&key).cloned().or(known) else { continue };
        divided.work.over.push((key, false));
        if comes_again {
            // That it may come again is said to all.
            divided.fleet.began.push((key, team, rate));
            divided.fleet.over.push((key, true));
        }
    }
    divided
}

/// Rows after which this work runs by a log in which it didn't, since the instants at which it began.
pub fn began_rows<'a>(work: impl Iterator<Item = (&'a u64, &'a RunningWork)>) -> Vec<Entry> {
    let mut by_instant: BTreeMap<u64, Vec<(u64, Name, u64)>> = BTreeMap::new();
    for (key, work) in work {
        by_instant.entry(work.since).or_default().push((*key, work.team.clone(), work.rate));
    }
    let rows = |(at, work): (u64, Vec<(u64, Name, u64)>)| {
        let chunks: Vec<Entry> =
            work.chunks(MOST_WORK).map(|work| Entry::Started { at, work: work.to_vec() }).collect();
        chunks
    };
    by_instant.into_iter().flat_map(rows).collect()
}

/// Rows after which work may come again anywhere, in a log in which it never ran.
pub fn comes_again_rows(at: u64, work: &Running) -> Vec<Entry> {
    let news = WorkNews {
        began: work.iter().map(|(key, work)| (*key, work.team.clone(), work.rate)).collect(),
        again: Vec::new(),
        over: work.keys().map(|key| (*key, true)).collect(),
    };
    news.entries(at)
}

/// Rows after which this work runs no longer by its log, as another log says that it does.
pub fn moved_rows(at: u64, keys: impl Iterator<Item = u64>) -> Vec<Entry> {
    WorkNews { over: keys.map(|key| (key, false)).collect(), ..WorkNews::default() }.entries(at)
}
