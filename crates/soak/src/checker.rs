//! The rules, checked from what clients and machines observed. Each bound is that of the platform's page.

use crate::clients::{Answer, Request};
use crate::machines::{Acceptance, Observation};
use crate::world::World;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Up to so long after its time an answer earns nothing; later it is lost.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// A request that crosses a close on a connection that was used before is sent again by its client.
const CROSSING: Duration = Duration::from_millis(50);
/// An attempt later than this after its client left is a lost request.
const GONE_SLACK: Duration = Duration::from_millis(100);
/// What a timeout that is passed on may be longer than what the client has left.
const TIMEOUT_SLACK_MS: u64 = 150;
/// An end is told within this of the machine's release, or of an end that could not be reported; with the 50 ms
/// that the rules give on sockets.
const REPORT_DEADLINE: Duration = Duration::from_millis(1_050);
const UNREPORTED_DEADLINE: Duration = Duration::from_millis(8_050);
/// What is handed over counts from so much later.
const HANDOVER_SLACK: Duration = Duration::from_millis(200);
/// Attempts may arrive at a machine for this long after its drain was told; more where the stream was disturbed.
const DRAIN_GRACE: Duration = Duration::from_millis(2_050);
const DISTURBED_GRACE: Duration = Duration::from_secs(4);
/// What was written while a machine was cut off arrives within this of its return: retransmission takes time.
const ARRIVAL_AFTER_CUT_OFF: Duration = Duration::from_millis(400);
const LOST_WITH_RESET: Duration = Duration::from_millis(50);
const WARM_UP: Duration = Duration::from_secs(10);
const BUDGET_WINDOW: Duration = Duration::from_secs(1);
/// Below this budget the platform allows for more chance.
const SMALL_BUDGET: f64 = 30.0;
const READY_LIMIT: Duration = Duration::from_secs(10);
/// What this program's own step adds to what it measures.
const STEP_SLACK: Duration = Duration::from_millis(20);
/// Faults of the shim that break a connection, as its log writes their numbers.
const BREAKING_FAULTS: [&str; 5] =
    ["Accept Error(103)", "Receive Error(110)", "Receive Error(113)", "Send Error(110)", "Send Error(113)"];

/// The end of a scheduler's process.
pub struct ProcessEnd {
    /// The scheduler.
    pub scheduler: usize,
    /// Its process.
    pub incarnation: u32,
    /// When it was gone.
    pub at: Instant,
    /// It was killed without a SIGTERM before.
    pub outright: bool,
}

struct Checker<'a> {
    world: &'a World<'a>,
    now: Instant,
    /// How many connections the shim broke, by scheduler.
    broken_by_shim: Vec<usize>,
    /// Connections that the shim broke: their schedulers, and when their clients found out.
    excused: BTreeSet<(usize, Instant)>,
    violations: Vec<String>,
}

/// Everything that broke a rule.
pub fn check(world: &World<'_>, now: Instant) -> Vec<String> {
    let breaks = |line: &String| BREAKING_FAULTS.iter().any(|fault| line.contains(fault));
    let broken = world.schedulers.iter().map(|it| it.injected().iter().filter(|line| breaks(line)).count());
    let broken_by_shim = broken.collect();
    let mut checker =
        Checker { world, now, broken_by_shim, excused: BTreeSet::new(), violations: Vec::new() };
    checker.violations.extend(world.crashes.iter().map(|crash| format!("crash: {crash}")));
    checker.check_answers();
    checker.check_attempts();
    checker.check_ends();
    checker.check_overtaken();
    checker.check_slow_start();
    checker.check_readiness();
    checker.violations
}

impl Checker<'_> {
    fn report(&mut self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.world.started_at).as_secs_f64();
        self.violations.push(format!("{seconds:.3} {text}"));
    }

    fn process_end(&self, request: &Request) -> Option<&ProcessEnd> {
        let is_its =
            |end: &&ProcessEnd| (end.scheduler, end.incarnation) == (request.scheduler, request.incarnation);
        self.world.process_ends.iter().find(is_its)
    }

    /// Each request gets one final answer, in time.
    fn check_answers(&mut self) {
        for (task, request) in &self.world.requests {
            let due = request.written_at + request.timeout + ANSWER_SLACK + STEP_SLACK;
            if request.answers > 1 {
                self.report(request.written_at, &format!("lost: {task} has {} answers", request.answers));
            }
            match (request.answer, request.closed_at) {
                _ if request.gone_at.is_some() => {}
                (Some((at, _)), _) if at > due => {
                    self.report(at, &format!("lost: {task} was answered {:?} late", at - due));
                }
                (Some(_), _) => {}
                (None, Some(closed_at)) => self.check_closed(*task, request, closed_at),
                (None, None) if due < self.now => {
                    self.report(
                        due,
                        &format!("lost: {task} of scheduler {} has no answer", request.scheduler),
                    );
                }
                (None, None) => {}
            }
        }
    }

    /// A connection ended with this request unanswered.
    fn check_closed(&mut self, task: u64, request: &Request, closed_at: Instant) {
        let killed =
            self.process_end(request).is_some_and(|end| end.outright && closed_at >= end.at - CROSSING);
        let crosses = !request.is_first && closed_at - request.written_at <= CROSSING + STEP_SLACK;
        if killed || crosses {
            return;
        }
        // A connection that broke takes all its requests with it; each break of the shim excuses one connection.
        let connection = (request.scheduler, closed_at);
        if self.excused.contains(&connection) {
            return;
        }
        let by_shim = &mut self.broken_by_shim[request.scheduler];
        if *by_shim > 0 {
            *by_shim -= 1;
            self.excused.insert(connection);
            return;
        }
        let text = format!(
            "lost: {task} of scheduler {}: closed after {:?} with no answer{}",
            request.scheduler,
            closed_at - request.written_at,
            if request.is_first { ", the first on its connection" } else { "" }
        );
        self.report(closed_at, &text);
    }

    /// Attempts as they arrived at machines.
    fn check_attempts(&mut self) {
        let mut accepted: BTreeMap<u64, usize> = BTreeMap::new();
        for (machine, at, what) in self.world.observations() {
            match what {
                Observation::Arrived { task, timeout_ms } => {
                    self.check_arrival(machine, at, task, timeout_ms)
                }
                Observation::Accepted { task } => *accepted.entry(task).or_default() += 1,
                _ => {}
            }
        }
        for (task, times) in accepted {
            if times > 1 && self.world.requests.get(&task).is_some_and(|request| request.is_once) {
                self.report(self.now, &format!("duplicate: {task} was accepted {times} times"));
            }
        }
    }

    fn check_arrival(&mut self, machine: usize, at: Instant, task: u64, timeout_ms: u64) {
        let Some(request) = self.world.requests.get(&task) else { return };
        let is_after = |(_, until): &(Instant, Instant)| at >= *until && at - *until <= ARRIVAL_AFTER_CUT_OFF;
        if self.world.machines[machine].cut_off_times.iter().any(is_after) {
            // It was on its way, and so was what gives it up, until the machine could be reached again.
            return;
        }
        if request.gone_at.is_some_and(|gone_at| at > gone_at + GONE_SLACK + STEP_SLACK) {
            self.report(at, &format!("lost: an attempt of {task} after its client had gone"));
        }
        let refused_at = request.answer.filter(|(_, answer)| *answer != Answer::Placed).map(|(at, _)| at);
        if refused_at.is_some_and(|answered_at| at > answered_at + GONE_SLACK + STEP_SLACK) {
            self.report(at, &format!("lost: an attempt of {task} after its final answer"));
        }
        let left = (request.written_at + request.timeout).saturating_duration_since(at).as_millis() as u64;
        if timeout_ms > left + TIMEOUT_SLACK_MS + STEP_SLACK.as_millis() as u64 {
            self.report(at, &format!("lost: {timeout_ms} ms are passed on for {task}, {left} ms are left"));
        }
        let Some(since) = self.world.machines[machine].drains_since else { return };
        let disturbed = self.world.discovery.disturbed_at.is_some();
        let grace = DRAIN_GRACE + if disturbed { DISTURBED_GRACE } else { Duration::ZERO };
        if at > since + grace + STEP_SLACK {
            self.report(at, &format!("drain: {task} was sent to machine {machine}"));
        }
    }

    /// What was placed and is over is told.
    fn check_ends(&mut self) {
        for (machine, at, what) in self.world.observations() {
            let Observation::Over { task, acceptance, reported } = what else { continue };
            let acceptance = Acceptance { machine, number: acceptance };
            let Some(request) = self.world.requests.get(&task) else { continue };
            let is_placed = request.answer.is_some_and(|(_, answer)| answer == Answer::Placed);
            if !is_placed || request.acceptance != Some(acceptance) || request.gone_at.is_some() {
                continue;
            }
            // The reset of a machine that dies discards what it has just written.
            let died_at = self.world.machines[machine].died_at;
            let reported = reported && died_at.is_none_or(|died_at| died_at > at + LOST_WITH_RESET);
            let ended = self.process_end(request).map(|end| end.at);
            let deadline = match (request.handed_over, ended) {
                (Some((handed_over_at, _)), _) => {
                    at.max(handed_over_at + HANDOVER_SLACK) + UNREPORTED_DEADLINE
                }
                // Nobody was there to be handed the task in time.
                (None, Some(ended)) if ended <= at + UNREPORTED_DEADLINE => continue,
                _ if reported => at + REPORT_DEADLINE,
                _ => at + UNREPORTED_DEADLINE,
            } + STEP_SLACK;
            let is_late = request.told_at.map_or(deadline < self.now, |told_at| told_at > deadline);
            if is_late {
                let told = request.told_at.map(|told_at| told_at.saturating_duration_since(at));
                let text = format!(
                    "lost: {task} of scheduler {} on machine {machine} is over (reported: {reported}), told after {told:?}",
                    request.scheduler
                );
                self.report(at, &text);
            }
        }
    }

    /// A task that was released ahead of its acceptance is over; its client gets an answer that says so.
    fn check_overtaken(&mut self) {
        for (machine, at, what) in self.world.observations() {
            let Observation::Overtaken { task } = what else { continue };
            let Some(request) = self.world.requests.get(&task) else { continue };
            let is_exempt = request.gone_at.is_some() || request.closed_at.is_some();
            let deadline = at + REPORT_DEADLINE + STEP_SLACK;
            let was_first = request.answer.is_none_or(|(answered_at, _)| answered_at >= at);
            if is_exempt || !was_first || deadline > self.now || self.process_end(request).is_some() {
                continue;
            }
            if !request.answer.is_some_and(|(at, answer)| at <= deadline && answer == Answer::Failed) {
                let text = format!(
                    "lost: {task} is over on machine {machine}, and was answered {:?}",
                    request.answer
                );
                self.report(at, &text);
            }
        }
    }

    /// Cold machines get no more than they bear.
    fn check_slow_start(&mut self) {
        let budget = f64::from(self.world.plan.slow_start_budget);
        let chance =
            if budget < SMALL_BUDGET { 3.0 * budget.sqrt() + 3.0 } else { 2.0 * budget.sqrt() + 2.0 };
        let limit = (budget + chance) as usize;
        for (index, machine) in self.world.machines.iter().enumerate() {
            let Some((since, _)) = machine.started_cold else { continue };
            let calls: Vec<Instant> = self
                .world
                .observations()
                .filter(|(at_machine, at, what)| {
                    *at_machine == index
                        && *at < since + WARM_UP
                        && matches!(what, Observation::Arrived { .. })
                })
                .map(|(_, at, _)| at)
                .collect();
            let in_window = |from: &Instant| {
                calls.iter().filter(|at| (*from..*from + BUDGET_WINDOW).contains(*at)).count()
            };
            if let Some(most) = calls.iter().map(in_window).max().filter(|most| *most > limit) {
                self.report(
                    since,
                    &format!("failback: {most} calls of cold machine {index} within a second"),
                );
            }
        }
    }

    /// Nine in ten processes are ready in time.
    fn check_readiness(&mut self) {
        let ready = &self.world.ready_times;
        let late = ready.iter().flatten().filter(|time| **time > READY_LIMIT).count()
            + self.world.late_processes(self.now, READY_LIMIT);
        if late * 10 > ready.len() + late {
            self.report(self.now, &format!("ready: {late} processes were not ready in ten seconds"));
        }
    }
}
