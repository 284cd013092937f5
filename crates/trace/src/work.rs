//! The work that a trace describes: machines that come and go, and tasks with their lives, asks and use.

use crate::event::{Change, Event, MachineChange, Stamped, TaskKey, Way};
use crate::fault::{Fault, Out, Tally};
use crate::inspect::Mix;
use crate::map::Mapping;
use crate::read::{Progress, Reader, Summary};
use crate::sample::Sample;
use mulleinhub_interface::{Duration, Timestamp};
use std::collections::BTreeMap;

/// What was used from an instant on, in parts of the ask.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Use {
    /// After the task was wanted.
    pub after: Duration,
    pub cores: f64,
    pub memory: f64,
}

/// A task that somebody wants from an instant to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Task {
    pub key: TaskKey,
    pub service: u64,
    pub class: u32,
    pub priority: u32,
    pub at: Timestamp,
    pub until: Timestamp,
    pub cores: f64,
    pub memory: f64,
    /// In the order of their instants; none where the trace tells none.
    pub uses: Vec<Use>,
    /// Its like must stand on other machines.
    pub apart: bool,
    /// It was wanted before the slice began.
    pub early: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetChange {
    pub at: Timestamp,
    pub up: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct FleetMachine {
    pub machine: u64,
    pub cores: f64,
    pub memory: f64,
    pub domain: u64,
    /// In the order of their instants; the first may be at the very begin.
    pub changes: Vec<FleetChange>,
}

/// What is replayed.
#[derive(Clone, Debug, Default)]
pub struct Work {
    pub machines: Vec<FleetMachine>,
    /// In the order of being wanted.
    pub tasks: Vec<Task>,
    /// The slice's length, after compression.
    pub length: Duration,
    pub summary: Summary,
    /// What the whole of the slice asks for, and what the sample of it does.
    pub source: Mix,
    pub sampled: Mix,
    /// The part of jobs that were kept.
    pub share: f64,
    /// Tasks that were left out since too many were sampled.
    pub too_many: u64,
}

/// No ask is less than this, in cores and GiB: planners refuse one of nothing.
const LEAST_ASK: f64 = 0.01;
/// Use is told at the most so often for a task; more is thinned out.
const MOST_USES: usize = 64;
/// Tasks wanted before the slice come evenly over this part of it, not at one instant that the trace has not.
const EARLY_PART: f64 = 0.05;

#[derive(Debug)]
struct Draft {
    service: u64,
    class: u32,
    priority: u32,
    wanted: u64,
    again: u64,
    started: Option<u64>,
    ended: Option<(u64, Way)>,
    cores: f64,
    memory: f64,
    uses: Vec<(u64, f64, f64)>,
    apart: bool,
    last: (u64, Change),
}

#[derive(Debug)]
struct DraftMachine {
    cores: f64,
    memory: f64,
    domain: u64,
    changes: Vec<(u64, bool)>,
}

#[derive(Default)]
struct Drafts {
    machines: BTreeMap<u64, DraftMachine>,
    tasks: BTreeMap<TaskKey, Draft>,
    latest: u64,
    first: Option<u64>,
    too_many: u64,
}

impl Drafts {
    fn machine(
        &mut self,
        at: u64,
        machine: u64,
        change: MachineChange,
        tally: &mut Tally,
    ) -> Result<(), Out> {
        let place = || format!("machine {machine} at {at} us");
        match change {
            MachineChange::Up { cores, memory, domain } => {
                let known = self.machines.entry(machine).or_insert_with(|| DraftMachine {
                    cores,
                    memory,
                    domain,
                    changes: Vec::new(),
                });
                // The same instant again is an update of the size, unless nothing is changed.
                let same = (known.cores, known.memory) == (cores, memory);
                if known.changes.last() == Some(&(at, true)) && same {
                    return tally.meet_fatal(Fault::Duplicate, place);
                }
                // A fleet's machine keeps one size: the greatest that it had.
                (known.cores, known.memory) = (known.cores.max(cores), known.memory.max(memory));
                if known.changes.last().is_none_or(|(_, up)| !up) {
                    known.changes.push((at, true));
                }
            }
            MachineChange::Down => match self.machines.get_mut(&machine) {
                Some(known) if known.changes.last().is_some_and(|(_, up)| *up) => {
                    known.changes.push((at, false))
                }
                Some(_) => return tally.meet_fatal(Fault::Duplicate, place),
                None => return tally.meet_fatal(Fault::UndeclaredMachine, place),
            },
        }
        Ok(())
    }

    fn task(
        &mut self,
        at: u64,
        task: TaskKey,
        change: Change,
        most: usize,
        tally: &mut Tally,
    ) -> Result<(), Out> {
        let place = || format!("task {} of job {} at {at} us", task.index, task.job.0);
        let full = self.tasks.len() >= most;
        let Some(draft) = self.tasks.get_mut(&task) else {
            return match change {
                Change::Wanted { .. } if full => {
                    self.too_many += 1;
                    Ok(())
                }
                Change::Wanted { service, class, priority, cores, memory, apart, on } => {
                    let draft = Draft {
                        service,
                        class,
                        priority,
                        wanted: at,
                        again: at,
                        started: None,
                        ended: None,
                        cores,
                        memory,
                        uses: Vec::new(),
                        apart,
                        last: (at, change),
                    };
                    self.tasks.insert(task, draft);
                    on.map_or(Ok(()), |machine| self.declared(at, task, machine, tally))
                }
                Change::Uses { .. } => tally.meet_fatal(Fault::UsageWithoutTask, place),
                _ => tally.meet_fatal(Fault::EndWithoutStart, place),
            };
        };
        if draft.last == (at, change) {
            return tally.meet_fatal(Fault::Duplicate, place);
        }
        match change {
            Change::Wanted { .. } => {
                if draft.again == at && draft.ended.is_none_or(|(ended, _)| ended != at) {
                    return tally.meet_fatal(Fault::Duplicate, place);
                }
                draft.wanted = draft.wanted.min(at);
                draft.again = draft.again.max(at);
            }
            Change::Started { .. } => {
                draft.started.get_or_insert(at);
            }
            Change::Asks { cores, memory } => (draft.cores, draft.memory) = (cores, memory),
            Change::Ended(way) => {
                if draft.ended.is_none_or(|(ended, _)| ended <= at) {
                    draft.ended = Some((at, way));
                }
            }
            Change::Uses { from, cores, memory } => {
                let mut from = from;
                if from < draft.wanted {
                    tally.meet(Fault::UsageBeforeStart, place)?;
                    from = draft.wanted;
                }
                let part = |used: f64, asked: f64| if used < 0.0 { -used } else { used / asked.max(1e-9) };
                if draft.uses.len() >= MOST_USES {
                    thin(&mut draft.uses);
                }
                let figures = (from, part(cores, draft.cores), part(memory, draft.memory));
                draft.uses.push(figures);
            }
        }
        draft.last = (at, change);
        match change {
            Change::Started { machine } => self.declared(at, task, machine, tally),
            _ => Ok(()),
        }
    }

    /// A task runs on this machine: one that no row declared is taken as one of the commonest size.
    fn declared(&mut self, at: u64, task: TaskKey, machine: u64, tally: &mut Tally) -> Result<(), Out> {
        if self.machines.is_empty() || self.machines.contains_key(&machine) {
            return Ok(());
        }
        let place = || format!("task {} of job {} at {at} us, machine {machine}", task.index, task.job.0);
        tally.meet(Fault::UndeclaredMachine, place)?;
        let (cores, memory) = commonest(self.machines.values().map(|m| (m.cores, m.memory)));
        let declared = DraftMachine { cores, memory, domain: machine % 64, changes: vec![(0, true)] };
        self.machines.insert(machine, declared);
        Ok(())
    }
}

/// Every second one goes; the first stays.
fn thin(uses: &mut Vec<(u64, f64, f64)>) {
    let mut n = 0;
    uses.retain(|_| {
        n += 1;
        n % 2 == 1
    });
}

fn commonest(sizes: impl Iterator<Item = (f64, f64)>) -> (f64, f64) {
    let mut counts: BTreeMap<(u64, u64), u64> = BTreeMap::new();
    for (cores, memory) in sizes {
        *counts.entry((cores.to_bits(), memory.to_bits())).or_default() += 1;
    }
    let most = counts.into_iter().max_by_key(|(size, count)| (*count, *size));
    most.map_or((0.5, 0.5), |((cores, memory), _)| (f64::from_bits(cores), f64::from_bits(memory)))
}

/// Reads a trace and keeps the sample of it that was asked for.
///
/// # Errors
/// As the reader's.
pub fn collect(
    reader: &Reader,
    mapping: &Mapping,
    sample: &Sample,
    progress: &Progress,
) -> Result<Work, String> {
    let mut drafts = Drafts::default();
    let (mut source, mut sampled) = (Mix::default(), Mix::default());
    let scale = reader.layout.wholes().map_or((1.0, mapping.whole.1 / 100.0), |_| mapping.whole);
    let share = sample.share_of(reader, progress)?;
    let summary = reader.run(progress, |Stamped { at, event }, tally| match event {
        Event::Machine { machine, change } => drafts.machine(at, machine, change, tally),
        Event::Task { task, change } => {
            drafts.latest = drafts.latest.max(at);
            drafts.first = Some(drafts.first.map_or(at, |first| first.min(at)));
            let kept = sample.keeps(task.job, share);
            if let Change::Wanted { class, cores, memory, .. } = change
                && sample.is_within(at)
            {
                source.wanted(at, class, cores * scale.0, memory * scale.1);
                if kept {
                    sampled.wanted(at, class, cores * scale.0, memory * scale.1);
                }
            }
            if !kept {
                return Ok(());
            }
            drafts.task(at, task, change, sample.most_tasks, tally)
        }
    })?;
    let begin = sample.from.or(drafts.first).unwrap_or(0);
    let end = sample.to.unwrap_or(drafts.latest + 1).max(begin + 1);
    let clock = |at: u64| {
        let since = at.clamp(begin, end) - begin;
        Timestamp::from_nanos((since as f64 * 1_000.0 / sample.compress) as u64)
    };
    let length = clock(end) - Timestamp::default();
    let mut work =
        Work { length, summary, source, sampled, share, too_many: drafts.too_many, ..Work::default() };
    let declared: Vec<u64> = drafts.machines.keys().copied().collect();
    for machine in sample.machines(&declared) {
        let draft = &drafts.machines[&machine];
        let mut changes: Vec<FleetChange> = Vec::new();
        for (at, up) in &draft.changes {
            let change = FleetChange { at: clock(*at), up: *up };
            // What was before the slice comes down to its last state; the same instant keeps its order.
            if *at <= begin {
                changes.clear();
            }
            if *at < end {
                changes.push(change);
            }
        }
        work.machines.push(FleetMachine {
            machine,
            cores: draft.cores * scale.0,
            memory: draft.memory * scale.1,
            domain: draft.domain,
            changes,
        });
    }
    let ramp = length * EARLY_PART;
    let mut early = 0u64;
    for (key, draft) in drafts.tasks {
        // An end before the last time it was wanted was an eviction, after which it came again.
        let ended = draft.ended.filter(|(at, _)| *at >= draft.again).map(|(at, _)| at);
        if draft.wanted >= end || ended.is_some_and(|at| at <= begin) {
            continue;
        }
        let is_early = draft.wanted < begin || (draft.wanted == 0 && begin == 0);
        let mut at = clock(draft.wanted);
        if is_early {
            early += 1;
            // Evenly, by the golden ratio: any part of them is spread as the whole is.
            at = Timestamp::default() + ramp * (early as f64 * 0.618_033_988_749_895).fract();
        }
        // One that has no end lives on after the slice.
        let until = ended.filter(|ended| *ended <= end).map_or(clock(end) + length, clock);
        if until <= at {
            continue;
        }
        let wanted = clock(draft.wanted);
        let mut uses: Vec<Use> = Vec::new();
        for (from, cores, memory) in draft.uses {
            let after = clock(from) - wanted;
            uses.push(Use { after, cores: cores.min(1.5), memory: memory.min(1.3) });
        }
        uses.sort_by_key(|used| used.after);
        work.tasks.push(Task {
            key,
            service: draft.service,
            class: draft.class,
            priority: draft.priority,
            at,
            until,
            cores: (draft.cores * scale.0).max(LEAST_ASK),
            memory: (draft.memory * scale.1).max(LEAST_ASK),
            uses,
            apart: draft.apart,
            early: is_early,
        });
    }
    work.tasks.sort_by_key(|task| (task.at, task.key));
    Ok(work)
}
