//! What is in a trace: its rows, range, classes and faults, and the mix of what is asked for.

use crate::event::{Change, Event, MachineChange, Stamped, Way};
use crate::fault::Tally;
use crate::read::{Progress, Reader};
use serde::Serialize;
use std::collections::BTreeMap;

/// Steps of a spread in one doubling.
const STEPS: f64 = 8.0;

/// How figures are spread, to a twelfth, in memory that doesn't grow with their number.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    counts: BTreeMap<i32, u64>,
    all: u64,
}

impl Spread {
    pub fn add(&mut self, figure: f64) {
        let step =
            if figure > 0.0 { (figure.log2() * STEPS).round().clamp(-400.0, 400.0) as i32 } else { -401 };
        *self.counts.entry(step).or_default() += 1;
        self.all += 1;
    }

    pub fn len(&self) -> u64 {
        self.all
    }

    pub fn is_empty(&self) -> bool {
        self.all == 0
    }

    /// The figure under which this part lies.
    pub fn at(&self, part: f64) -> f64 {
        let wanted = (part * self.all as f64).ceil().max(1.0) as u64;
        let mut sum = 0;
        for (step, count) in &self.counts {
            sum += count;
            if sum >= wanted {
                return if *step == -401 { 0.0 } else { (f64::from(*step) / STEPS).exp2() };
            }
        }
        0.0
    }

    /// The greatest distance between two spreads, from 0 (the same) to 1: Kolmogorov and Smirnov's.
    pub fn distance(&self, other: &Self) -> f64 {
        if self.all == 0 || other.all == 0 {
            return if self.all == other.all { 0.0 } else { 1.0 };
        }
        let steps: std::collections::BTreeSet<i32> =
            self.counts.keys().chain(other.counts.keys()).copied().collect();
        let (mut ours, mut theirs, mut most) = (0, 0, 0f64);
        for step in steps {
            ours += self.counts.get(&step).copied().unwrap_or(0);
            theirs += other.counts.get(&step).copied().unwrap_or(0);
            most = most.max((ours as f64 / self.all as f64 - theirs as f64 / other.all as f64).abs());
        }
        most
    }
}

/// What is asked for: how much, how often, of which classes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Mix {
    pub tasks: u64,
    pub cores: Spread,
    pub memory: Spread,
    pub classes: BTreeMap<u32, u64>,
    /// Tasks wanted in each minute in which any were.
    #[serde(skip)]
    minutes: BTreeMap<u64, u64>,
}

impl Mix {
    pub fn wanted(&mut self, at: u64, class: u32, cores: f64, memory: f64) {
        self.tasks += 1;
        self.cores.add(cores);
        self.memory.add(memory);
        *self.classes.entry(class).or_default() += 1;
        *self.minutes.entry(at / 60_000_000).or_default() += 1;
    }

    /// Tasks wanted in a minute as parts of the mean minute: how bursts come.
    pub fn bursts(&self) -> Spread {
        let mut spread = Spread::default();
        let mean = self.tasks as f64 / self.minutes.len().max(1) as f64;
        self.minutes.values().for_each(|count| spread.add(*count as f64 / mean.max(1e-9)));
        spread
    }

    /// How far two mixes are apart, by what is compared.
    pub fn distances(&self, other: &Self) -> Vec<(&'static str, f64)> {
        let part = |mix: &Self, class: u32| {
            mix.classes.get(&class).copied().unwrap_or(0) as f64 / mix.tasks.max(1) as f64
        };
        let classes: std::collections::BTreeSet<u32> =
            self.classes.keys().chain(other.classes.keys()).copied().collect();
        let apart =
            classes.iter().map(|class| (part(self, *class) - part(other, *class)).abs()).sum::<f64>() / 2.0;
        vec![
            ("asked cores", self.cores.distance(&other.cores)),
            ("asked memory", self.memory.distance(&other.memory)),
            ("tasks a minute", self.bursts().distance(&other.bursts())),
            ("classes", apart),
        ]
    }
}

/// What was found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Inspection {
    pub layout: String,
    pub rows: BTreeMap<String, u64>,
    /// Microseconds of the trace's own clock.
    pub first: Option<u64>,
    pub last: u64,
    /// Rows that the layout tells to lie after its end.
    pub after: u64,
    pub machines: u64,
    pub machine_ends: u64,
    pub wanted: u64,
    pub starts: u64,
    pub ends: BTreeMap<&'static str, u64>,
    pub usage: u64,
    pub mix: Mix,
    pub faults: Tally,
    pub partial: bool,
}

/// Reads all of a trace once, in bounded memory: faults of single rows and of their order are found, not
/// those between rows that lie far apart.
///
/// # Errors
/// As the reader's.
pub fn inspect(reader: &Reader, progress: &Progress) -> Result<Inspection, String> {
    let mut found = Inspection { layout: reader.layout.name().to_owned(), ..Inspection::default() };
    let summary = reader.run(progress, |Stamped { at, event }, _| {
        found.first = Some(found.first.map_or(at, |first| first.min(at)));
        found.last = found.last.max(at);
        match event {
            Event::Machine { change: MachineChange::Up { .. }, .. } => found.machines += 1,
            Event::Machine { .. } => found.machine_ends += 1,
            Event::Task { change, .. } => match change {
                Change::Wanted { class, cores, memory, .. } => {
                    found.wanted += 1;
                    found.mix.wanted(at, class, cores, memory);
                }
                Change::Started { .. } => found.starts += 1,
                Change::Asks { .. } => {}
                Change::Ended(way) => {
                    let name = match way {
                        Way::Finished => "finished",
                        Way::Failed => "failed",
                        Way::Killed => "killed",
                        Way::Evicted => "evicted",
                        Way::Lost => "lost",
                    };
                    *found.ends.entry(name).or_default() += 1;
                }
                Change::Uses { .. } => found.usage += 1,
            },
        }
        Ok(())
    })?;
    found.rows = summary.rows.iter().map(|(name, rows)| ((*name).to_owned(), *rows)).collect();
    (found.after, found.faults, found.partial) = (summary.after, summary.tally, summary.partial);
    Ok(found)
}
