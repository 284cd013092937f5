//! What a fleet of ledgers has to do: tasks that start and end, changes of configuration, members that fail,
//! regions that are cut off.
//!
//! Everything comes evenly, spread over all members and teams. Of the warm-up the first two fifths are for
//! catching up; until nine tenths of it the tasks come that run from the start; from then on all goes at
//! the profile's pace.

use crate::ledgers::fleet::{BEGIN, Fleet};
use crate::ledgers::member::ConfigChange;
use crate::profile::{Cut, Profile, RunPlan};
use mulleinhub_interface::{Duration, Pcg, Ticket, Timestamp, mix};
use std::collections::BTreeMap;

/// Parts of the warm-up.
const CATCHING_UP: f64 = 0.4;
const FILLED: f64 = 0.9;
/// A member that failed is back after this, and its tasks are told by their machines after that.
const DOWN: Duration = Duration::from_secs(10);
const ADOPTED_AFTER: Duration = Duration::from_secs(1);
/// Between two balances that a member writes of a team.
const BALANCES_APART: Duration = Duration::from_secs(1);
/// Changes come by up to so much later than evenly.
const CHANGE_SPREAD: Duration = Duration::from_nanos(100_000_000);
const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);

/// What the driver does at some instant. Tasks, changes and failures are numbered as they come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cue {
    /// Every team's cap is given by an order, as in a fleet that has run for a while.
    FirstChanges,
    /// A task that runs from the start.
    Fill(u64),
    Start(u64),
    /// One that was refused comes again.
    Retry(u64),
    End(u64),
    Change(u64),
    Fail(u64),
    Return(usize),
    Adopt(usize),
    BeginCut(usize),
    EndCut(usize),
    /// What is measured begins.
    Measure,
    /// Something is waited for: whether it has come is looked at.
    Look,
}

#[derive(Clone, Copy, Debug)]
enum TaskState {
    /// It was refused, and comes again.
    Waits,
    Runs(Ticket),
    /// Its scheduler is down; it runs on.
    Orphaned,
}

#[derive(Clone, Copy, Debug)]
struct Task {
    member: usize,
    team: usize,
    state: TaskState,
}

/// What was done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadCounts {
    pub started: u64,
    pub refused: u64,
    pub ended: u64,
    pub changes: u64,
    pub failures: u64,
}

/// Something that whoever measures has to know of.
#[derive(Clone, Copy, Debug)]
pub enum Note {
    Changed(ConfigChange),
    Killed(usize),
    /// All cuts are healed.
    Healed,
}

pub struct Load {
    plan: RunPlan,
    cuts: Vec<Cut>,
    seed: u64,
    chance: Pcg,
    tasks: BTreeMap<u64, Task>,
    pub counts: LoadCounts,
    /// When the tasks that run from the start are there, and all goes at its pace.
    filled: Timestamp,
}

/// The instant of the n-th of things that come so many in a span.
fn nth(from: Timestamp, n: u64, rate: f64, every: Duration) -> Timestamp {
    from + every * ((n + 1) as f64 / rate)
}

impl Load {
    /// Sets the first of everything.
    pub fn new(profile: &Profile, plan: &RunPlan, fleet: &mut Fleet) -> Self {
        let filled = BEGIN + profile.warm_up * FILLED;
        let load = Self {
            plan: *plan,
            cuts: profile.cuts.clone(),
            seed: profile.seed,
            chance: Pcg::new(profile.seed ^ 0x6c6f_6164),
            tasks: BTreeMap::new(),
            counts: LoadCounts::default(),
            filled,
        };
        let size = plan.size;
        let caught_up = BEGIN + profile.warm_up * CATCHING_UP;
        fleet.cue(caught_up, Cue::FirstChanges);
        load.cue_fill(caught_up, fleet);
        if size.starts > 0.0 {
            fleet.cue(nth(filled, 0, size.starts, SECOND), Cue::Start(0));
        }
        if size.changes > 0.0 {
            fleet.cue(nth(filled, 0, size.changes, SECOND), Cue::Change(0));
        }
        let measured = BEGIN + profile.warm_up;
        fleet.cue(measured, Cue::Measure);
        if size.failures > 0.0 {
            fleet.cue(nth(measured, 0, size.failures, MINUTE), Cue::Fail(0));
        }
        for (at, cut) in profile.cuts.iter().enumerate() {
            fleet.cue(measured + cut.from, Cue::BeginCut(at));
            fleet.cue(measured + cut.until(), Cue::EndCut(at));
        }
        load
    }

    /// The tasks that run from the start come evenly. A member writes a team's balance at even intervals from
    /// its first task on: so that these don't fall together where many tasks come, each team's tasks at each
    /// member come later by a span of its own.
    fn cue_fill(&self, caught_up: Timestamp, fleet: &mut Fleet) {
        let running = u64::from(self.plan.size.running);
        let span = self.filled - caught_up - BALANCES_APART;
        for n in 0..running {
            let Some((member, team)) = self.place(n) else { return };
            let mut own = Pcg::new(mix(self.seed, mix(member as u64, team as u64)));
            let later = BALANCES_APART * own.fraction();
            fleet.cue(nth(caught_up, n, running as f64, span) + later, Cue::Fill(n));
        }
    }

    /// The member and the team whose turn it is with the n-th task.
    fn place(&self, n: u64) -> Option<(usize, usize)> {
        let size = self.plan.size;
        let (schedulers, teams) = (u64::from(size.schedulers), u64::from(size.teams));
        let team = (n / schedulers).checked_rem(teams)?;
        Some(((n % schedulers) as usize, team as usize))
    }

    pub fn act(&mut self, cue: Cue, fleet: &mut Fleet) -> Option<Note> {
        match cue {
            Cue::FirstChanges => {
                (0..self.plan.size.teams as usize).for_each(|team| self.first_change(team, fleet));
                fleet.wake(0);
            }
            Cue::Fill(n) => {
                self.start(n, fleet);
                self.ends_in_turn(n, fleet);
            }
            Cue::Start(n) => {
                self.start(u64::from(self.plan.size.running) + n, fleet);
                fleet.cue(nth(self.filled, n + 1, self.plan.size.starts, SECOND), Cue::Start(n + 1));
            }
            Cue::Retry(n) => self.try_start(n, fleet),
            Cue::End(n) => self.end(n, fleet),
            Cue::Change(n) => {
                // Looks at quotas come at even intervals: changes don't, or all would meet the same instant.
                let at = nth(self.filled, n + 1, self.plan.size.changes, SECOND);
                fleet.cue(at + CHANGE_SPREAD * self.chance.fraction(), Cue::Change(n + 1));
                return self.change(n, fleet).map(Note::Changed);
            }
            Cue::Fail(n) => return self.fail(n, fleet).map(Note::Killed),
            Cue::Return(member) => {
                fleet.start(member);
                fleet.cue(fleet.now() + ADOPTED_AFTER, Cue::Adopt(member));
            }
            Cue::Adopt(member) => self.adopt(member, fleet),
            Cue::BeginCut(at) => fleet.begin_cut(&self.cuts[at]),
            Cue::EndCut(at) => {
                fleet.end_cut(&self.cuts[at]);
                return (!fleet.is_cut()).then_some(Note::Healed);
            }
            Cue::Measure | Cue::Look => {}
        }
        None
    }

    // Tasks.

    /// The n-th task.
    fn start(&mut self, n: u64, fleet: &mut Fleet) {
        let Some((member, team)) = self.place(n) else { return };
        self.tasks.insert(n, Task { member, team, state: TaskState::Waits });
        self.try_start(n, fleet);
        if n >= u64::from(self.plan.size.running)
            && let Some(life) = self.plan.task_life()
        {
            fleet.cue(fleet.now() + life, Cue::End(n));
        }
    }

    fn try_start(&mut self, n: u64, fleet: &mut Fleet) {
        let Some(Task { member, team, .. }) = self.tasks.get(&n).copied() else { return };
        let Some(member) = next_up(fleet, member) else { return };
        let (now, key, drawn) = (fleet.now(), mix(self.seed, n), self.chance.fraction());
        let asked = fleet.with_ledger(member, |ledger| ledger.start_task(now, team, key, drawn));
        match asked {
            Some(Ok(ticket)) => {
                self.tasks.insert(n, Task { member, team, state: TaskState::Runs(ticket) });
                self.counts.started += 1;
            }
            Some(Err(away)) => {
                self.counts.refused += 1;
                if fleet.ledger(member).is_some_and(|ledger| ledger.is_wanted()) {
                    fleet.wake(member);
                }
                fleet.cue(now + away, Cue::Retry(n));
            }
            None => {}
        }
    }

    /// Of the tasks that run from the start one ends whenever a new one starts.
    fn ends_in_turn(&mut self, n: u64, fleet: &mut Fleet) {
        if self.plan.size.starts > 0.0 {
            fleet.cue(nth(self.filled, n, self.plan.size.starts, SECOND), Cue::End(n));
        }
    }

    fn end(&mut self, n: u64, fleet: &mut Fleet) {
        let Some(Task { member, state, .. }) = self.tasks.remove(&n) else { return };
        let now = fleet.now();
        if let TaskState::Runs(ticket) = state {
            fleet.with_ledger(member, |ledger| ledger.end_task(now, ticket));
        }
        self.counts.ended += 1;
    }

    // Changes.

    fn first_change(&mut self, team: usize, fleet: &mut Fleet) {
        let cap = fleet.cap();
        fleet.with_ledger(0, |ledger| ledger.change(ConfigChange { team, number: 1, cap }));
    }

    /// Given to one member that is up and ready.
    fn change(&mut self, n: u64, fleet: &mut Fleet) -> Option<ConfigChange> {
        let ready = |member: &usize| fleet.ledger(*member).is_some_and(|ledger| ledger.is_ready());
        let ready: Vec<usize> = (0..fleet.members()).filter(ready).collect();
        let member = *ready.get(self.chance.below(ready.len()))?;
        let team = (n % u64::from(self.plan.size.teams.max(1))) as usize;
        let change = ConfigChange { team, number: n + 2, cap: fleet.cap() + n };
        fleet.with_ledger(member, |ledger| ledger.change(change));
        fleet.wake(member);
        self.counts.changes += 1;
        Some(change)
    }

    // Failures.

    fn fail(&mut self, n: u64, fleet: &mut Fleet) -> Option<usize> {
        let measured = fleet.now();
        let next = MINUTE * (1.0 / self.plan.size.failures);
        fleet.cue(measured + next, Cue::Fail(n + 1));
        let up: Vec<usize> = (0..fleet.members()).filter(|member| fleet.is_up(*member)).collect();
        let member = up.get(self.chance.below(up.len())).copied()?;
        fleet.kill(member);
        self.counts.failures += 1;
        for task in self.tasks.values_mut().filter(|task| task.member == member) {
            if let TaskState::Runs(_) = task.state {
                task.state = TaskState::Orphaned;
            }
        }
        fleet.cue(measured + DOWN, Cue::Return(member));
        Some(member)
    }

    /// The machines tell a scheduler that is back what they run of it.
    fn adopt(&mut self, member: usize, fleet: &mut Fleet) {
        if !fleet.is_up(member) {
            return;
        }
        let now = fleet.now();
        for (n, task) in self.tasks.iter_mut().filter(|(_, task)| task.member == member) {
            let TaskState::Orphaned = task.state else { continue };
            let key = mix(self.seed, *n);
            let ticket = fleet.with_ledger(member, |ledger| ledger.adopt_task(now, task.team, key));
            task.state = ticket.map_or(TaskState::Orphaned, TaskState::Runs);
        }
        fleet.with_ledger(member, |ledger| ledger.all_adopted(now));
        fleet.wake(member);
    }
}

/// This member, or the next one that is up.
fn next_up(fleet: &Fleet, member: usize) -> Option<usize> {
    let members = fleet.members();
    (0..members).map(|n| (member + n) % members).find(|member| fleet.is_up(*member))
}
