//! Hollow schedulers: many real ledgers in one process, one thread and virtual time.
//!
//! Of each scheduler the ledger is real: the exchange with the others, the keeper of quotas and the admission
//! that the planner asks. In place of the rest stand: a driver that starts and ends tasks and gives changes
//! ([`load`]), wires ([`network`]) and disks ([`fleet`]). Counts of messages and bytes follow from profile
//! and seed alone. Processor time is that of the members' own code, without system calls, sockets and store.
//!
//! Metrics are those of one member, on the mean over all and over the measured span. [`Metric::StartUp`] is
//! the longest start of one member: of those that came back after a failure, or, in profiles without
//! failures, of those that started together. A change is in force at a member with the first look at all
//! quotas after it is known there; while a region is cut off, and until that is caught up, none is measured.

pub mod fleet;
pub mod load;
pub mod member;
pub mod network;
mod watch;

use crate::meter;
use crate::profile::{Profile, RunPlan};
use crate::results::{Metric, Role, Run, Sample};
use fleet::{BEGIN, Counts, Fleet, KindCount};
use load::{Cue, Load, LoadCounts, Note};
use mulleinhub_interface::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::time::{Duration as StdDuration, Instant};
use watch::Watch;

/// The real time of a run is looked at after so many instants.
const INSTANTS_A_LOOK: u32 = 256;

/// What one run gave.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub run: Run,
    /// What went otherwise than the profile says, in words; a run that was cut short is partial.
    pub remarks: Vec<String>,
    /// The bound on real time ended it.
    pub is_partial: bool,
    /// Counts of each member, over the measured span.
    pub counts: Vec<Counts>,
    /// Messages of all members by kind, over the measured span.
    pub kinds: BTreeMap<&'static str, KindCount>,
    /// Over the whole run.
    pub load: LoadCounts,
    /// Connections between members when the run ended, at one member: those it opened and those that came in.
    pub connections: f64,
    /// Real time.
    pub took: StdDuration,
}

/// Plays one run of a profile; after so much real time it ends with what it has.
#[must_use]
pub fn play(profile: &Profile, plan: &RunPlan, bound: StdDuration) -> Outcome {
    let mut game = Game::new(profile, plan, bound);
    game.run();
    game.outcome()
}

/// What was counted when the measured span began.
struct Start {
    at: Timestamp,
    counts: Vec<Counts>,
    kinds: BTreeMap<&'static str, KindCount>,
    processor: f64,
    started: u64,
}

struct Game {
    plan: RunPlan,
    fleet: Fleet,
    load: Load,
    watch: Watch,
    start: Option<Start>,
    end: Timestamp,
    begun: Instant,
    bound: StdDuration,
    is_partial: bool,
    remarks: Vec<String>,
}

impl Game {
    fn new(profile: &Profile, plan: &RunPlan, bound: StdDuration) -> Self {
        let begun = Instant::now();
        let mut fleet = Fleet::new(profile, plan);
        let load = Load::new(profile, plan, &mut fleet);
        let watch = Watch::new(&mut fleet);
        let remarks = Vec::new();
        Self {
            plan: *plan,
            fleet,
            load,
            watch,
            start: None,
            end: BEGIN + profile.warm_up + profile.length,
            begun,
            bound,
            is_partial: false,
            remarks,
        }
    }

    fn run(&mut self) {
        let mut instants = 0;
        while let Some(now) = self.fleet.next().filter(|now| *now <= self.end) {
            self.instant(now);
            instants += 1;
            if instants % INSTANTS_A_LOOK == 0 && self.begun.elapsed() > self.bound {
                self.is_partial = true;
                self.remarks.push(format!("partial: {} s of real time are over", self.bound.as_secs()));
                return;
            }
        }
    }

    /// Cues may want a turn of a member at once, so they come before the turns.
    fn instant(&mut self, now: Timestamp) {
        for cue in self.fleet.deliver(now) {
            self.cue(cue);
        }
        let turned = self.fleet.turn();
        self.watch.turned(&turned, &self.fleet);
    }

    fn cue(&mut self, cue: Cue) {
        match cue {
            Cue::Measure => self.measure(),
            Cue::Look => self.watch.look(&mut self.fleet),
            Cue::BeginCut(_) => self.watch.cut(),
            Cue::Return(member) => self.watch.restarted(member),
            _ => {}
        }
        match self.load.act(cue, &mut self.fleet) {
            Some(Note::Changed(change)) => self.watch.changed(change, &self.fleet),
            Some(Note::Killed(member)) => self.watch.killed(member),
            Some(Note::Healed) => self.watch.healed(&mut self.fleet),
            None => {}
        }
    }

    fn measure(&mut self) {
        let late = self.watch.not_ready();
        if late > 0 {
            let all = self.fleet.members();
            self.remarks.push(format!("{late} of {all} members weren't ready when the warm-up ended"));
        }
        self.watch.measure();
        self.start = Some(Start {
            at: self.fleet.now(),
            counts: self.counts(),
            kinds: self.fleet.kinds().clone(),
            processor: self.fleet.processor(),
            started: self.load.counts.started,
        });
    }

    fn counts(&self) -> Vec<Counts> {
        (0..self.fleet.members()).map(|member| self.fleet.counts(member)).collect()
    }

    fn outcome(mut self) -> Outcome {
        if self.start.is_none() {
            self.remarks.push("nothing was measured: the warm-up didn't end".to_owned());
            self.measure();
        }
        let Some(start) = self.start.take() else { unreachable!("was measured just now") };
        let span = if self.is_partial { self.fleet.now() - start.at } else { self.end - start.at };
        let seconds = span.ratio_to(Duration::from_secs(1));
        let counts: Vec<Counts> =
            self.counts().into_iter().zip(&start.counts).map(|(now, then)| now.since(*then)).collect();
        let kinds = kinds_since(self.fleet.kinds(), &start.kinds);
        let mut samples = self.samples(&start, &counts, seconds);
        let connections = 2.0 * self.fleet.connections() as f64 / self.fleet.members() as f64;
        let memory = self.memory();
        samples.extend(memory.map(|bytes| sample(Metric::Memory, bytes)));
        self.remark();
        Outcome {
            run: Run {
                size: self.plan.size,
                varied: self.plan.varied,
                held_out: self.plan.held_out,
                seconds,
                samples,
            },
            remarks: self.remarks,
            is_partial: self.is_partial,
            counts,
            kinds,
            load: self.load.counts,
            connections,
            took: self.begun.elapsed(),
        }
    }

    fn samples(&self, start: &Start, counts: &[Counts], seconds: f64) -> Vec<Sample> {
        let members = self.fleet.members();
        let mean = |of: fn(&Counts) -> u64| {
            let sum: u64 = counts.iter().map(of).sum();
            sum as f64 / members as f64 / seconds
        };
        let processor = (self.fleet.processor() - start.processor) / members as f64 / seconds;
        let started = (self.load.counts.started - start.started) as f64 / seconds;
        let rates = [
            (Metric::BytesIn, mean(|counts| counts.bytes_in)),
            (Metric::BytesOut, mean(|counts| counts.bytes_out)),
            (Metric::MessagesIn, mean(|counts| counts.messages_in)),
            (Metric::MessagesOut, mean(|counts| counts.messages_out)),
            (Metric::Processor, processor),
            (Metric::Started, started),
        ];
        let times = self.watch.metrics(members);
        rates.into_iter().chain(times).map(|(metric, value)| sample(metric, value)).collect()
    }

    /// Bytes of one member: what is given back when all are dropped.
    fn memory(&mut self) -> Option<f64> {
        let before = meter::live_bytes()?;
        let dropped = self.fleet.drop_ledgers();
        let after = meter::live_bytes()?;
        Some(before.saturating_sub(after) as f64 / dropped.max(1) as f64)
    }

    fn remark(&mut self) {
        if self.watch.still_catches_up() {
            self.remarks.push("not all was caught up when the run ended".to_owned());
        }
        let spreading = self.watch.still_spreading();
        if spreading > 0 {
            self.remarks.push(format!("{spreading} changes weren't in force everywhere when the run ended"));
        }
        let refused = self.load.counts.refused;
        if refused > 0 {
            self.remarks.push(format!("{refused} asks were refused and came again"));
        }
    }
}

fn sample(metric: Metric, value: f64) -> Sample {
    Sample { role: Role::LedgerMember, metric, value }
}

fn kinds_since(
    now: &BTreeMap<&'static str, KindCount>,
    then: &BTreeMap<&'static str, KindCount>,
) -> BTreeMap<&'static str, KindCount> {
    let since = |(kind, count): (&&'static str, &KindCount)| {
        let before = then.get(kind).copied().unwrap_or_default();
        let (messages, bytes) = (count.messages - before.messages, count.bytes - before.bytes);
        (*kind, KindCount { messages, bytes })
    };
    now.iter().map(since).collect()
}
