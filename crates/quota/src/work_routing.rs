//! Which entries of work go into the fleet log, and which into the work log.
//!
//! Ordinary work, which starts and ends where it was first admitted, concerns only the replicas of its
//! scheduler's work log. Work that takes the place of other work, and work that may be replacements, concerns
//! every scheduler: it is recorded in the fleet log, in the format used before there were two logs.

use mulleinhub_replicated_log::{Entry, Name, RunningWork};
use std::collections::{BTreeMap, BTreeSet};

/// The most workers in one entry.
pub const MAX_WORKERS_PER_ENTRY: usize = 1_000;

/// Running work by task key.
pub type Running = BTreeMap<u64, RunningWork>;

/// A worker that started: task key, team, and rate in micro-units per second.
type StartedWorker = (u64, Name, u64);

/// Changes of workers that are not recorded yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkChanges {
    /// Workers that started.
    pub started: Vec<StartedWorker>,
    /// Keys of those that started in the place of one that ran before.
    pub replacements: Vec<u64>,
    /// Keys of workers that ended; true where the task may be replacements.
    pub ended: Vec<(u64, bool)>,
}

impl WorkChanges {
    /// The log entries of these changes at an instant in milliseconds of Unix time. Starts come before ends:
    /// a worker may do both between two ticks.
    pub fn entries(&self, at: u64) -> Vec<Entry> {
        let chunk = MAX_WORKERS_PER_ENTRY;
        let started = self.started.chunks(chunk).map(|work| Entry::Started { at, work: work.to_vec() });
        let replacements =
            self.replacements.chunks(chunk).map(|keys| Entry::Replacements { at, keys: keys.to_vec() });
        let ended = self.ended.chunks(chunk).map(|work| Entry::Ended { at, work: work.to_vec() });
        started.chain(replacements).chain(ended).collect()
    }
}

/// Changes of workers, divided between the two logs.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RoutedChanges {
    pub fleet: WorkChanges,
    pub work: WorkChanges,
}

/// What the fleet log of any scheduler says of a key that another scheduler may want to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownWork {
    /// It was admitted before a suspension.
    Admitted,
    /// It runs or ran.
    Ran,
}

/// Divides changes of workers between the two logs. `in_fleet` and `in_work` are the workers that run
/// according to our own logs; `known_work` looks up a key in all fleet logs.
pub fn route(
    changes: WorkChanges,
    in_fleet: &Running,
    in_work: &Running,
    known_work: impl Fn(u64) -> Option<KnownWork>,
) -> RoutedChanges {
    let mut routed = RoutedChanges::default();
    let replacements: BTreeSet<u64> = changes.replacements.into_iter().collect();
    let mut ordinary: BTreeMap<u64, (Name, u64)> = BTreeMap::new();
    let mut in_fleet: BTreeSet<u64> = in_fleet.keys().copied().collect();
    for (key, team, rate) in changes.started {
        let known = known_work(key);
        let is_replacement = replacements.contains(&key) || known == Some(KnownWork::Ran);
        if is_replacement || known.is_some() || in_fleet.contains(&key) {
            routed.fleet.replacements.extend(is_replacement.then_some(key));
            routed.fleet.started.push((key, team, rate));
            in_fleet.insert(key);
            if in_work.contains_key(&key) {
                routed.work.ended.push((key, false));
            }
        } else {
            ordinary.insert(key, (team.clone(), rate));
            routed.work.started.push((key, team, rate));
        }
    }
    for (key, readmissible) in changes.ended {
        if in_fleet.contains(&key) {
            routed.fleet.ended.push((key, readmissible));
            continue;
        }
        let known = in_work.get(&key).map(|work| (work.team.clone(), work.rate));
        let Some((team, rate)) = ordinary.get(&key).cloned().or(known) else { continue };
        routed.work.ended.push((key, false));
        if readmissible {
            // All schedulers have to know that it may be replacements.
            routed.fleet.started.push((key, team, rate));
            routed.fleet.ended.push((key, true));
        }
    }
    routed
}

/// Entries that add running work to a log that doesn't have it, with the instants when it started.
pub fn started_entries<'a>(work: impl Iterator<Item = (&'a u64, &'a RunningWork)>) -> Vec<Entry> {
    let mut by_instant: BTreeMap<u64, Vec<StartedWorker>> = BTreeMap::new();
    for (key, work) in work {
        by_instant.entry(work.since).or_default().push((*key, work.team.clone(), work.rate));
    }
    let mut entries = Vec::new();
    for (at, work) in by_instant {
        let chunks = work.chunks(MAX_WORKERS_PER_ENTRY);
        entries.extend(chunks.map(|work| Entry::Started { at, work: work.to_vec() }));
    }
    entries
}

/// Entries that make work readmissible anywhere, for a log in which it never ran.
pub fn readmissible_entries(at: u64, work: &Running) -> Vec<Entry> {
    let changes = WorkChanges {
        started: work.iter().map(|(key, work)| (*key, work.team.clone(), work.rate)).collect(),
        replacements: Vec::new(),
        ended: work.keys().map(|key| (*key, true)).collect(),
    };
    changes.entries(at)
}

/// Entries that remove work from a log because the other log has it from now on.
pub fn moved_entries(at: u64, keys: impl Iterator<Item = u64>) -> Vec<Entry> {
    WorkChanges { ended: keys.map(|key| (key, false)).collect(), ..WorkChanges::default() }.entries(at)
}
