//! One machine: looks at one offer at a time, starts a few at once, runs tasks and tells how they fare.
//!
//! From the published rules: accepting by asks up to multiples of the size, one offer looked at at a time, a
//! bounded line, so many starts at once, more work without the program, kept programs, yes when accepted or
//! when running, push-outs and evictions by priority, the cold pace and falling over, the manners of
//! draining. Guessed: use over time is a sine about a mean drawn for the task; memory grows to it within five
//! seconds; a start takes one core; the pace of a cold machine rises evenly until it is warm; half of what
//! lower priorities use counts as busy.

use crate::dice::Dice;
use crate::plan::UseBook;
use crate::worth::Worth;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_interface::{FailureDomain, Resources};
use mulleinhub_protocol::{Ending, Reason, Shape};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// What machines know of a use case.
#[derive(Clone, Debug)]
pub struct CaseModel {
    pub priority: u8,
    /// Work of a start with the program.
    pub work: Duration,
    /// Where one copy of a key stands; nothing where copies do no harm.
    pub one_copy_in: Option<FailureDomain>,
    pub full_up_to: f64,
    pub fade: f64,
    /// Mean use as a part of the ask, lowest and highest.
    pub cores_use: (f64, f64),
    pub memory_use: (f64, f64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drain {
    /// Tasks stay until they stop.
    Keeps,
    /// Tasks are sent away one by one, so long apart.
    SendsAway(Duration),
}

#[derive(Clone, Debug)]
pub struct MachineSettings {
    pub id: u64,
    pub kind: u32,
    pub cell: u32,
    pub zone: u32,
    pub size: Resources,
    /// Multiples of the size up to which asks are accepted.
    pub accepts: Resources,
    pub look: Duration,
    pub line: usize,
    pub starts: usize,
    /// A start without the program takes so many times the work.
    pub setup: f64,
    pub keeps: usize,
    pub speed: f64,
    pub cold_from: f64,
    pub cold_for: Duration,
    pub fall: Duration,
    pub tip: f64,
    pub young_limit: u32,
    pub yes_when_running: bool,
    pub displaces: bool,
    pub tells_use: bool,
    pub tells_pressure: bool,
    pub note_every: Duration,
    pub drain: Drain,
    /// A copy that nobody holds is ended after this.
    pub claim_within: Duration,
    /// What tasks use, where that is known beforehand.
    pub uses: Arc<UseBook>,
}

/// What is the matter with a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Plight {
    /// Takes bytes, answers nothing.
    pub hangs: bool,
    pub slow: f64,
    /// The part of starts that fail, soon.
    pub fails: f64,
    /// The part of the cores that another program takes.
    pub neighbour: f64,
    /// Of one use case this part is left unanswered, or errs where the flag is set.
    pub case_fails: Option<(u32, f64, bool)>,
    /// Of one use case's tasks this part uses so many times what it did.
    pub heavy: Option<(u32, f64, f64)>,
}

impl Default for Plight {
    fn default() -> Self {
        Self { hangs: false, slow: 1.0, fails: 0.0, neighbour: 0.0, case_fails: None, heavy: None }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Stage {
    Waits,
    Starts { until: Timestamp, fails: bool },
    Runs { since: Timestamp },
}

/// An accepted task.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub planner: Option<String>,
    pub task: u64,
    pub send: u32,
    pub shape: Shape,
    pub owner: String,
    pub stage: Stage,
    pub unclaimed_until: Option<Timestamp>,
    mean_use: Resources,
    turn: f64,
    in_use: Resources,
    served: f64,
    settled: Timestamp,
}

#[derive(Clone, Debug)]
pub(crate) struct Offer {
    pub planner: String,
    pub task: u64,
    pub send: u32,
    pub shape: Shape,
    pub owner: String,
}

/// What a machine has to tell a planner, or the day.
#[derive(Clone, Debug, PartialEq)]
pub enum Happened {
    Accepted {
        planner: String,
        task: u64,
        send: u32,
    },
    Runs {
        planner: String,
        task: u64,
        send: u32,
    },
    /// `was` is what an accepted task was; absent where the offer was never accepted.
    Closed {
        planner: String,
        task: u64,
        send: u32,
        ending: Ending,
        reason: Reason,
        was: Option<(Shape, String)>,
    },
    Note {
        planner: String,
        task: u64,
        cores: f64,
        memory: f64,
        served: f64,
        machine_memory: f64,
    },
    /// A task runs for the first time on this machine; for the count of starts in time.
    Started {
        key: u64,
    },
    FellOver,
}

pub struct Machine {
    pub settings: MachineSettings,
    pub plight: Plight,
    pub life: u64,
    pub up_since: Timestamp,
    pub draining: bool,
    pub down: bool,
    cold_at_birth: bool,
    pub(crate) line: VecDeque<Offer>,
    looking: Option<(Timestamp, Offer)>,
    pub(crate) held: Vec<Held>,
    kept: VecDeque<u64>,
    arrivals: VecDeque<(Timestamp, f64)>,
    next_note: Timestamp,
    next_sent_away: Option<Timestamp>,
    /// Worth of the service given, by the key of the task.
    pub earned: BTreeMap<u64, f64>,
    /// Cores and memory asked for, of all that is accepted.
    pub asked: Resources,
    dice: Dice,
}

impl Machine {
    pub fn new(settings: MachineSettings, life: u64, now: Timestamp, cold: bool, seed: u64) -> Self {
        let dice = Dice::new(seed, &format!("machine {} {life}", settings.id));
        Self {
            settings,
            plight: Plight::default(),
            life,
            up_since: now,
            draining: false,
            down: false,
            cold_at_birth: cold,
            line: VecDeque::new(),
            looking: None,
            held: Vec::new(),
            kept: VecDeque::new(),
            arrivals: VecDeque::new(),
            next_note: now,
            next_sent_away: None,
            earned: BTreeMap::new(),
            asked: Resources::ZERO,
            dice,
        }
    }

    pub fn is_cold(&self, now: Timestamp) -> bool {
        self.cold_at_birth && now - self.up_since < self.settings.cold_for
    }

    /// The part of its usual pace at which it starts tasks now.
    fn pace(&self, now: Timestamp) -> f64 {
        if !self.is_cold(now) {
            return 1.0;
        }
        let warmth = (now - self.up_since).ratio_to(self.settings.cold_for);
        self.settings.cold_from + (1.0 - self.settings.cold_from) * warmth
    }

    pub fn left(&self) -> Resources {
        self.settings.size - self.asked
    }

    /// An offer has arrived. Every one pushes a cold machine, whatever becomes of it.
    pub(crate) fn offered(
        &mut self,
        now: Timestamp,
        offer: Offer,
        cases: &[CaseModel],
        out: &mut Vec<Happened>,
    ) {
        if self.is_cold(now) && self.is_pushed_over(now, offer.shape.use_case, cases) {
            self.goes_down();
            out.push(Happened::FellOver);
            return;
        }
        if let Some((case, share, errs)) = self.plight.case_fails
            && case == offer.shape.use_case
            && self.dice.happens(share)
        {
            if errs {
                out.push(closed(offer, Ending::Errored, Reason::Untold));
            }
            return;
        }
        if self.line.len() >= self.settings.line {
            out.push(closed(offer, Ending::Nacked, Reason::LineFull));
            return;
        }
        self.line.push_back(offer);
        self.look_next(now);
    }

    fn is_pushed_over(&mut self, now: Timestamp, case: u32, cases: &[CaseModel]) -> bool {
        let mean = cases.iter().map(|c| c.work.nanos() as f64).sum::<f64>() / cases.len().max(1) as f64;
        let weight = cases.get(case as usize).map_or(1.0, |c| c.work.nanos() as f64 / mean.max(1.0));
        self.arrivals.push_back((now, weight));
        let fall = self.settings.fall;
        self.arrivals.retain(|(at, _)| now - *at < fall);
        let sum: f64 = self.arrivals.iter().map(|(_, weight)| weight).sum();
        let starts = self.settings.starts as f64 * self.settings.fall.nanos() as f64 / mean.max(1.0);
        let can = starts * self.settings.speed * self.pace(now);
        self.arrivals.len() > self.settings.young_limit as usize && sum > self.settings.tip * can
    }

    /// Everything on it is gone.
    pub fn goes_down(&mut self) {
        self.down = true;
        self.line.clear();
        self.looking = None;
        self.held.clear();
        self.asked = Resources::ZERO;
    }

    /// Takes up the next offer in line, where none is looked at.
    pub(crate) fn look_next(&mut self, now: Timestamp) {
        if self.looking.is_none()
            && let Some(offer) = self.line.pop_front()
        {
            self.looking = Some((now + self.settings.look * self.plight.slow, offer));
        }
    }

    /// The planner doesn't wait any more: true where the offer had not been accepted and is dropped.
    pub(crate) fn recall(&mut self, now: Timestamp, planner: &str, task: u64, send: u32) -> bool {
        let is = |offer: &Offer| offer.planner == planner && (offer.task, offer.send) == (task, send);
        if self.looking.as_ref().is_some_and(|(_, offer)| is(offer)) {
            self.looking = None;
            self.look_next(now);
            return true;
        }
        let before = self.line.len();
        self.line.retain(|offer| !is(offer));
        self.line.len() < before
    }

    /// The planner's connection is over: what it had in line can't be answered.
    pub(crate) fn forget_line(&mut self, now: Timestamp, planner: &str) {
        self.line.retain(|offer| offer.planner != planner);
        if self.looking.as_ref().is_some_and(|(_, offer)| offer.planner == planner) {
            self.looking = None;
            self.look_next(now);
        }
    }

    /// Where in `held` the copy of this send stands.
    pub(crate) fn find(&self, planner: &str, task: u64, send: u32) -> Option<usize> {
        self.held.iter().position(|held| {
            held.planner.as_deref() == Some(planner) && (held.task, held.send) == (task, send)
        })
    }

    /// Takes a copy off the machine; its program may be kept.
    pub(crate) fn end(&mut self, now: Timestamp, at: usize, worth: &Worth) -> Held {
        self.settle(now, worth);
        let held = self.held.remove(at);
        self.asked -= Resources::new(held.shape.cores, held.shape.memory);
        let service = held.shape.service;
        if matches!(held.stage, Stage::Runs { .. }) && !self.held.iter().any(|h| h.shape.service == service) {
            self.kept.retain(|kept| *kept != service);
            self.kept.push_back(service);
            if self.kept.len() > self.settings.keeps {
                self.kept.pop_front();
            }
        }
        held
    }

    /// Books the service since the last change.
    fn settle(&mut self, now: Timestamp, worth: &Worth) {
        for held in &mut self.held {
            if matches!(held.stage, Stage::Runs { .. }) && held.planner.is_some() {
                let seconds = (now - held.settled).nanos() as f64 / 1e9;
                let second = worth.second(held.shape.use_case, held.shape.cores, held.shape.memory);
                *self.earned.entry(held.shape.key).or_default() += seconds * held.served * second;
            }
            held.settled = now;
        }
    }

    pub(crate) fn wake(&self) -> Option<Timestamp> {
        if self.down || self.plight.hangs {
            return None;
        }
        let looked = self.looking.as_ref().map(|(at, _)| *at);
        let note = (!self.held.is_empty()).then_some(self.next_note);
        let starts = self.held.iter().filter_map(|held| match held.stage {
            Stage::Starts { until, .. } => Some(until),
            _ => held.unclaimed_until,
        });
        starts.chain(looked).chain(note).chain(self.next_sent_away).min()
    }

    /// The offer that is due to be decided on now, if any.
    pub(crate) fn looked_at(&mut self, now: Timestamp) -> Option<Offer> {
        if self.looking.as_ref().is_none_or(|(at, _)| *at > now) {
            return None;
        }
        let (_, offer) = self.looking.take()?;
        Some(offer)
    }

    /// Decides on an offer, for which no copy of its key stands in the way.
    pub(crate) fn decide(
        &mut self,
        now: Timestamp,
        offer: Offer,
        cases: &[CaseModel],
        worth: &Worth,
        out: &mut Vec<Happened>,
    ) {
        self.look_next(now);
        if self.draining {
            out.push(closed(offer, Ending::Nacked, Reason::NotHere));
            return;
        }
        let ask = Resources::new(offer.shape.cores, offer.shape.memory);
        let most = self.settings.size.scaled(self.settings.accepts.cores, self.settings.accepts.memory);
        if !(most - self.asked).fits(ask) && !self.push_out_for(now, &offer, most, cases, worth, out) {
            let reason =
                if ask.cores > (most - self.asked).cores { Reason::NoCores } else { Reason::NoMemory };
            out.push(closed(offer, Ending::Nacked, reason));
            return;
        }
        let case = &cases[offer.shape.use_case as usize];
        let mean_use = ask.scaled(
            self.dice.between(case.cores_use.0, case.cores_use.1),
            self.dice.between(case.memory_use.0, case.memory_use.1),
        );
        self.asked += ask;
        if !self.settings.yes_when_running {
            out.push(Happened::Accepted {
                planner: offer.planner.clone(),
                task: offer.task,
                send: offer.send,
            });
        }
        if self.held.is_empty() {
            self.next_note = now + self.settings.note_every;
        }
        self.held.push(Held {
            planner: Some(offer.planner),
            task: offer.task,
            send: offer.send,
            shape: offer.shape,
            owner: offer.owner,
            stage: Stage::Waits,
            unclaimed_until: None,
            mean_use,
            turn: self.dice.between(0.0, 1.0),
            in_use: Resources::ZERO,
            served: 1.0,
            settled: now,
        });
        self.start_next(now, cases);
    }

    /// Makes room by ending tasks of lower priority, newest of the lowest first; nothing if that isn't
    /// enough.
    fn push_out_for(
        &mut self,
        now: Timestamp,
        offer: &Offer,
        most: Resources,
        cases: &[CaseModel],
        worth: &Worth,
        out: &mut Vec<Happened>,
    ) -> bool {
        let priority = cases[offer.shape.use_case as usize].priority;
        let of = |held: &Held| cases[held.shape.use_case as usize].priority;
        if !self.settings.displaces {
            return false;
        }
        let ask = Resources::new(offer.shape.cores, offer.shape.memory);
        let mut lower: Vec<usize> =
            (0..self.held.len()).filter(|at| of(&self.held[*at]) < priority).collect();
        lower.sort_by_key(|at| (of(&self.held[*at]), std::cmp::Reverse(*at)));
        let mut room = most - self.asked;
        let mut going = Vec::new();
        for at in lower {
            if room.fits(ask) {
                break;
            }
            room += Resources::new(self.held[at].shape.cores, self.held[at].shape.memory);
            going.push(at);
        }
        if !room.fits(ask) {
            return false;
        }
        going.sort_unstable_by(|a, b| b.cmp(a));
        for at in going {
            let held = self.end(now, at, worth);
            out.extend(told_end(held, Ending::PushedOut));
        }
        true
    }

    fn start_next(&mut self, now: Timestamp, cases: &[CaseModel]) {
        let starting = |held: &Held| matches!(held.stage, Stage::Starts { .. });
        while self.held.iter().filter(|held| starting(held)).count() < self.settings.starts {
            let Some(at) = self.held.iter().position(|held| held.stage == Stage::Waits) else { return };
            let service = self.held[at].shape.service;
            let runs =
                |held: &Held| held.shape.service == service && matches!(held.stage, Stage::Runs { .. });
            let bare = !self.kept.contains(&service) && !self.held.iter().any(runs);
            let work = cases[self.held[at].shape.use_case as usize].work;
            let fails = self.dice.happens(self.plight.fails);
            let share = 1.0 - self.plight.neighbour * 0.5;
            let pace = self.settings.speed * self.pace(now) * share / self.plight.slow;
            let factor = if bare { self.settings.setup } else { 1.0 } * if fails { 0.1 } else { 1.0 };
            self.held[at].stage = Stage::Starts { until: now + work * (factor / pace), fails };
        }
    }

    /// Brings everything up to now: starts that are done, notes, evictions, tasks sent away, copies
    /// unclaimed.
    pub(crate) fn turn(
        &mut self,
        now: Timestamp,
        cases: &[CaseModel],
        worth: &Worth,
        out: &mut Vec<Happened>,
    ) {
        let mut at = 0;
        let mut started = false;
        while at < self.held.len() {
            match self.held[at].stage {
                Stage::Starts { until, fails } if until <= now && fails => {
                    let held = self.end(now, at, worth);
                    out.extend(told_end(held, Ending::Errored));
                }
                Stage::Starts { until, .. } if until <= now => {
                    self.settle(now, worth);
                    let held = &mut self.held[at];
                    held.stage = Stage::Runs { since: now };
                    out.push(Happened::Started { key: held.shape.key });
                    if let Some(planner) = held.planner.clone() {
                        let (task, send) = (held.task, held.send);
                        out.push(if self.settings.yes_when_running {
                            Happened::Accepted { planner, task, send }
                        } else {
                            Happened::Runs { planner, task, send }
                        });
                    }
                    started = true;
                    at += 1;
                }
                _ if self.held[at].unclaimed_until.is_some_and(|until| until <= now) => {
                    self.end(now, at, worth);
                }
                _ => at += 1,
            }
        }
        self.start_next(now, cases);
        if started || (self.next_note <= now && !self.held.is_empty()) {
            self.measure(now, cases, worth, out);
        }
        if self.next_note <= now {
            self.next_note = now + self.settings.note_every;
            self.tell_notes(out);
        }
        if let Some(due) = self.next_sent_away
            && due <= now
            && let Drain::SendsAway(apart) = self.settings.drain
        {
            if !self.held.is_empty() {
                let held = self.end(now, 0, worth);
                out.extend(told_end(held, Ending::SentAway));
            }
            self.next_sent_away = (!self.held.is_empty()).then(|| now + apart);
        }
    }

    /// What the tasks on it ask for, what they use, and how many they are.
    pub fn load(&self) -> (Resources, Resources, usize) {
        let used = self.held.iter().fold(Resources::ZERO, |sum, held| sum + held.in_use);
        (self.asked, used, self.held.len())
    }

    /// From now on it takes nothing new.
    pub fn drains(&mut self, now: Timestamp) {
        self.draining = true;
        if matches!(self.settings.drain, Drain::SendsAway(_)) {
            self.next_sent_away = Some(now);
        }
    }

    /// Works out use and service anew, and evicts where memory has run out.
    fn measure(&mut self, now: Timestamp, cases: &[CaseModel], worth: &Worth, out: &mut Vec<Happened>) {
        self.settle(now, worth);
        let seconds = now.nanos() as f64 / 1e9;
        let heavy = self.plight.heavy;
        for held in &mut self.held {
            let Stage::Runs { since } = held.stage else { continue };
            let swing = 1.0 + 0.2 * (std::f64::consts::TAU * (seconds / 17.0 + held.turn)).sin();
            let grown = (0.5 + 0.1 * (now - since).nanos() as f64 / 1e9).min(1.0);
            let is_heavy =
                |(case, part, _): &(u32, f64, f64)| held.shape.use_case == *case && held.turn < *part;
            let more = heavy.filter(is_heavy).map_or(1.0, |(.., by)| by);
            let cap = Resources::new(held.shape.cores, held.shape.memory).scaled(1.5, 1.3);
            held.in_use = match self.settings.uses.at(held.shape.key, now - since) {
                Some(part) => Resources::new(held.shape.cores, held.shape.memory)
                    .scaled(part.cores * more, part.memory * more)
                    .min(cap),
                None => held.mean_use.scaled(swing * more, grown * more).min(cap),
            };
        }
        loop {
            let memory: f64 = self.held.iter().map(|held| held.in_use.memory).sum();
            if memory <= self.settings.size.memory {
                break;
            }
            let over = |held: &Held| held.in_use.memory - held.shape.memory;
            let runs = |at: &usize| matches!(self.held[*at].stage, Stage::Runs { .. });
            let first = (0..self.held.len()).filter(runs).min_by(|a, b| {
                let (a, b) = (&self.held[*a], &self.held[*b]);
                let priority = |held: &Held| cases[held.shape.use_case as usize].priority;
                priority(a).cmp(&priority(b)).then(over(b).total_cmp(&over(a)))
            });
            let Some(at) = first else { break };
            let held = self.end(now, at, worth);
            out.extend(told_end(held, Ending::Evicted));
        }
        let starts = self.held.iter().filter(|h| matches!(h.stage, Stage::Starts { .. })).count() as f64;
        let memory = self.memory_share();
        let choke = if memory > 0.92 { 1.0 - 0.7 * ((memory - 0.92) / 0.08).min(1.0) } else { 1.0 };
        let served: Vec<f64> = cases
            .iter()
            .map(|case| {
                let counts = |held: &Held| {
                    let lower = cases[held.shape.use_case as usize].priority < case.priority;
                    held.in_use.cores * if lower { 0.5 } else { 1.0 }
                };
                let cores = self.settings.size.cores;
                let busy =
                    (self.held.iter().map(counts).sum::<f64>() + starts) / cores + self.plight.neighbour;
                let missed = ((busy - case.full_up_to) / case.fade.max(1e-9)).clamp(0.0, 1.0);
                (1.0 - missed) * choke / self.plight.slow.sqrt()
            })
            .collect();
        for held in &mut self.held {
            held.served = served[held.shape.use_case as usize];
        }
    }

    pub fn memory_share(&self) -> f64 {
        self.held.iter().map(|held| held.in_use.memory).sum::<f64>() / self.settings.size.memory
    }

    /// Cores and memory not in use, for a probe.
    pub fn unused(&self) -> Resources {
        let used = self.held.iter().fold(Resources::ZERO, |sum, held| sum + held.in_use);
        self.settings.size - used
    }

    fn tell_notes(&self, out: &mut Vec<Happened>) {
        if !self.settings.tells_use {
            return;
        }
        let machine_memory = self.memory_share();
        for held in self.held.iter().filter(|held| matches!(held.stage, Stage::Runs { .. })) {
            if let Some(planner) = held.planner.clone() {
                out.push(Happened::Note {
                    planner,
                    task: held.task,
                    cores: held.in_use.cores,
                    memory: held.in_use.memory,
                    served: held.served,
                    machine_memory,
                });
            }
        }
    }

    /// Books all service up to now; for the end of a day.
    pub fn book(&mut self, now: Timestamp, worth: &Worth) {
        self.settle(now, worth);
    }
}

fn closed(offer: Offer, ending: Ending, reason: Reason) -> Happened {
    Happened::Closed { planner: offer.planner, task: offer.task, send: offer.send, ending, reason, was: None }
}

/// The end of an accepted task, where somebody holds it. One that must go before it runs is handed back.
pub(crate) fn told_end(held: Held, ending: Ending) -> Option<Happened> {
    let (task, send) = (held.task, held.send);
    let was = Some((held.shape, held.owner));
    held.planner.map(|planner| Happened::Closed { planner, task, send, ending, reason: Reason::Untold, was })
}
