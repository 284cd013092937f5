//! The oracle: the five rules, checked on each command.

use super::cluster::Cluster;
use super::records::{ATTEMPT_BUDGET, Attempt, BUDGET_WINDOW, Command, MAX_ATTEMPTS, TaskRecord, use_cases};
use crate::interface::*;

impl Cluster {
    pub fn check_command(&mut self, s: usize, command: Command) {
        match command {
            Command::WakeAt(token, at) => {
                self.schedulers[s].timers.insert((at.max(self.now + 1), token));
            }
            Command::CancelAttempt(id) => {
                let is_in_flight = self.schedulers[s].tasks[&id].is_in_flight();
                assert!(is_in_flight, "task {id}: an attempt is cancelled that has ended");
            }
            Command::Preempt(id) => self.check_preemption(s, id),
            Command::Reject(id) => self.check_answer(s, id, true),
            Command::Fail(id) => self.check_answer(s, id, false),
            Command::Send(id, machine, timeout) => self.check_attempt(s, id, machine as usize, timeout),
        }
    }

    fn check_preemption(&mut self, s: usize, id: u64) {
        let task = self.schedulers[s].tasks.get_mut(&id).expect("a task of this scheduler");
        assert!(task.is_placed, "task {id} is preempted and doesn't run");
        assert!(!std::mem::replace(&mut task.is_preempted, true), "task {id} is preempted twice");
        assert!(!task.end_is_known, "task {id} is preempted though it has ended, or its client stops it");
        assert_eq!(use_cases()[task.case].priority, 0, "only low-priority tasks are preempted");
        self.coverage.preemptions += 1;
    }

    fn check_answer(&mut self, s: usize, id: u64, is_rejection: bool) {
        let task = self.schedulers[s].tasks.get_mut(&id).expect("a task of this scheduler");
        assert!(!task.has_ended && !task.is_placed, "rule 1: task {id} is answered twice");
        assert!(!task.is_cancelled, "task {id} is answered though nobody waits");
        let all_ended = task.attempts.iter().all(|attempt| attempt.has_ended);
        assert!(all_ended, "rule 2: {id} is answered with an attempt in flight");
        let may_have_run = task.attempts.iter().any(|attempt| !attempt.never_ran);
        let is_harmless = !may_have_run || use_cases()[task.case].idempotency == Idempotency::Idempotent;
        assert!(!is_rejection || is_harmless, "rule 2: task {id} is rejected though it may have run");
        task.has_ended = true;
        self.coverage.answers += 1;
    }

    fn check_attempt(&mut self, s: usize, id: u64, machine: usize, timeout: u64) {
        let (now, cases) = (self.now, use_cases());
        let scheduler = &mut self.schedulers[s];
        let task = scheduler.tasks.get_mut(&id).expect("a task of this scheduler");
        let case = &cases[task.case];
        check_may_attempt(id, task, now);
        self.coverage.retries += u64::from(!task.attempts.is_empty());
        check_idempotency(id, task, case.idempotency, machine, now);
        task.attempts.push(Attempt::new(machine, now, now + timeout));
        let service = task.service;
        assert_eq!(
            scheduler.listed[machine],
            Some(MachineState::Active),
            "rule 3: task {id} is sent to closed machine {machine}"
        );
        if now < scheduler.warm_up_ends_at[machine] {
            self.check_warm_up_budget(machine);
        }
        if let Some(spread) = case.spread {
            self.check_spread(s, service, machine, spread);
        }
    }

    fn check_warm_up_budget(&mut self, machine: usize) {
        let now = self.now;
        let attempts = &mut self.warm_up_attempts[machine];
        attempts.push(now);
        attempts.retain(|at| now - at < BUDGET_WINDOW);
        let count = attempts.len();
        assert!(
            count <= ATTEMPT_BUDGET,
            "rule 4: {count} attempts of all schedulers on machine {machine} while it warms up"
        );
        self.coverage.warm_up_attempts += 1;
    }

    fn check_spread(
        &mut self,
        s: usize,
        service: u64,
        machine: usize,
        (domain, limit): (FailureDomain, usize),
    ) {
        let is_near = |attempt: &Attempt| match domain {
            FailureDomain::Machine => attempt.machine == machine,
            _ => attempt.machine / 2 == machine / 2,
        };
        let is_hosted = |task: &&TaskRecord| {
            task.service == service
                && task.attempts.iter().any(|attempt| !attempt.has_ended && is_near(attempt))
        };
        let hosted = self.schedulers[s].tasks.values().filter(is_hosted).count();
        assert!(hosted <= limit, "rule 5: {hosted} tasks of one service by machine {machine}");
        self.coverage.spread_attempts += 1;
    }
}

fn check_may_attempt(id: u64, task: &TaskRecord, now: u64) {
    let is_waiting = !task.has_ended && !task.is_placed && !task.is_cancelled;
    assert!(is_waiting, "rule 1: task {id} is sent after its end");
    assert!(now <= task.deadline, "rule 1: task {id} is sent after its client timeout");
    let all_ended = task.attempts.iter().all(|attempt| attempt.has_ended);
    assert!(all_ended, "rule 2: task {id} has two attempts in flight");
    assert!(task.attempts.len() < MAX_ATTEMPTS, "task {id} is sent too often");
}

fn check_idempotency(id: u64, task: &TaskRecord, idempotency: Idempotency, machine: usize, now: u64) {
    let Some(first) = task.attempts.iter().find(|attempt| !attempt.never_ran) else { return };
    match idempotency {
        Idempotency::Idempotent => {}
        Idempotency::NonIdempotent => panic!("rule 2: non-idempotent task {id} is sent again"),
        Idempotency::Keyed { window, .. } => {
            assert_eq!(first.machine / 2, machine / 2, "rule 2: task {id} leaves its domain");
            assert!(now <= first.sent_at + window.nanos(), "rule 2: task {id} is sent after its window");
        }
    }
}
