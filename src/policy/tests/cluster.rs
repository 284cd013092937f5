//! Three schedulers and the machines that they share: events in, commands out, time in between.

use super::MS;
use super::accounting::Accounting;
use super::events::Event;
use super::records::{
    Attempt, CommandLog, Coverage, MACHINES, SCHEDULERS, Scheduler, TaskRecord, machine_entry, settings,
};
use crate::SchedulingRound;
use crate::interface::*;
use crate::policy::PlacementPolicy;
use std::collections::{BTreeMap, BTreeSet};

/// A final answer may be late by so much.
const ANSWER_TOLERANCE: u64 = 250 * MS;

type Round<'a> = SchedulingRound<'a, CommandLog>;

pub(super) struct Cluster {
    pub now: u64,
    next_task: u64,
    pub schedulers: Vec<Scheduler>,
    /// When each machine started, where that is reported.
    started_at: [Option<u64>; MACHINES],
    /// Attempts of all schedulers on each machine while it was warming up.
    pub warm_up_attempts: Vec<Vec<u64>>,
    pub coverage: Coverage,
}

impl Cluster {
    pub fn new(seed: u64) -> Self {
        let scheduler = |index: u32| Scheduler {
            policy: Some(PlacementPolicy::new(seed + u64::from(index), settings(seed, index))),
            tasks: BTreeMap::new(),
            timers: BTreeSet::new(),
            listed: vec![None; MACHINES],
            warm_up_ends_at: [0; MACHINES],
        };
        let mut cluster = Self {
            now: 100_000 * MS,
            next_task: 1,
            schedulers: (0..SCHEDULERS as u32).map(scheduler).collect(),
            started_at: [None; MACHINES],
            warm_up_attempts: vec![Vec::new(); MACHINES],
            coverage: Coverage::default(),
        };
        for s in 0..SCHEDULERS {
            cluster.round(s, &[Event::ListSnapshot]);
        }
        cluster
    }

    /// The `n`th task that has an attempt in flight or runs.
    fn in_flight(&self, s: usize, n: usize) -> Option<u64> {
        let tasks = self.schedulers[s].tasks.iter().filter(|(_, task)| task.is_in_flight());
        let ids: Vec<u64> = tasks.map(|(id, _)| *id).collect();
        ids.get(n % ids.len().max(1)).copied()
    }

    /// One round of one scheduler, and the check of its commands.
    pub fn round(&mut self, s: usize, events: &[Event]) {
        let mut log = CommandLog::default();
        let now = Timestamp::from_nanos(self.now);
        let mut policy = self.schedulers[s].policy.take().expect("is back after each round");
        policy.round(now, &mut log, |round| {
            self.deliver_timers(s, round);
            events.iter().for_each(|event| self.deliver(s, event, round));
            self.deliver_timeouts(s, round);
        });
        let accounting = Accounting::of(&policy);
        let starting: usize = accounting.machines.iter().map(|machine| machine.starting).sum();
        assert_eq!(accounting.starting, starting, "starts in flight on all machines");
        self.schedulers[s].policy = Some(policy);
        log.0.into_iter().for_each(|command| self.check_command(s, command));
        for (id, task) in &mut self.schedulers[s].tasks {
            task.end_is_known = task.is_cancelled || task.has_ended;
            let is_waiting = !task.has_ended && !task.is_placed && !task.is_cancelled;
            let is_in_time = self.now <= task.deadline + ANSWER_TOLERANCE;
            assert!(!is_waiting || is_in_time, "rule 1: task {id} has no answer in time");
        }
    }

    fn deliver_timers(&mut self, s: usize, round: &mut Round<'_>) {
        let timers = &mut self.schedulers[s].timers;
        let due: Vec<(u64, u64)> = timers.range(..=(self.now, u64::MAX)).copied().collect();
        for timer in due {
            timers.remove(&timer);
            round.on_timer(timer.1);
        }
    }

    fn deliver_timeouts(&mut self, s: usize, round: &mut Round<'_>) {
        let tasks = self.schedulers[s].tasks.iter().filter(|(_, task)| task.has_timed_out(self.now));
        let late: Vec<u64> = tasks.map(|(id, _)| *id).collect();
        late.into_iter().for_each(|id| self.end_attempt(s, id, Outcome::TimedOut, round));
    }

    fn deliver(&mut self, s: usize, event: &Event, round: &mut Round<'_>) {
        match *event {
            Event::NewTask { case, service, request, patience } => {
                let deadline = self.now + patience * MS;
                let task = self.add_task(s, case, service, request, deadline);
                round.on_new_task(task);
            }
            Event::AdoptedTask { machine, .. }
                if self.schedulers[s].listed[machine] == Some(MachineState::Removed) => {}
            Event::AdoptedTask { case, service, machine } => {
                self.adopt_task(s, case, service, machine, round);
            }
            Event::Accepted(n) => {
                let Some(id) = self.in_flight(s, n) else { return };
                let task = self.schedulers[s].tasks.get_mut(&id).expect("is in flight");
                task.is_placed |= !task.is_cancelled;
                round.on_accepted(TaskId(id));
            }
            Event::Running(n) => {
                if let Some(id) = self.in_flight(s, n).filter(|id| self.schedulers[s].tasks[id].is_placed) {
                    round.on_running(TaskId(id));
                }
            }
            Event::AttemptEnded(n, outcome) => {
                if let Some(id) = self.in_flight(s, n) {
                    self.end_attempt(s, id, outcome, round);
                }
            }
            Event::ClientCancelled(n) => self.cancel_task(s, n, round),
            Event::Usage(n, cores, memory) => {
                if let Some(id) = self.in_flight(s, n) {
                    round.on_usage(TaskId(id), Some(cores), Some(memory));
                }
            }
            Event::ServiceLevel(n, service, memory) => {
                if let Some(id) = self.in_flight(s, n) {
                    round.on_service_level(TaskId(id), service);
                    round.on_machine_memory(TaskId(id), memory);
                }
            }
            Event::HotMachine(n) => {
                if let Some(id) = self.in_flight(s, n) {
                    round.on_usage(TaskId(id), Some(4.0), Some(4.0));
                    round.on_machine_memory(TaskId(id), 1.2);
                }
            }
            Event::UnknownTask(id, event) => self.deliver_unknown_task(s, id, event, round),
            Event::ListDelta(machine, state, is_fresh) => {
                if is_fresh {
                    self.started_at[machine] = Some(self.now - 200 * MS);
                }
                let started_at = self.started_at[machine];
                self.record_listed(s, machine, state, started_at);
                round.on_endpoint_list(ListKind::Delta, &[machine_entry(machine, state, started_at)]);
            }
            Event::ListSnapshot => self.deliver_snapshot(s, round),
            Event::WatchFailed => round.on_watch_failed(),
            // Nobody is connected to a machine that was removed.
            Event::MachineRestarted(machine)
                if self.schedulers[s].listed[machine] == Some(MachineState::Removed) => {}
            Event::MachineRestarted(machine) => {
                self.record_warm_up(s, machine, self.now);
                round.on_machine_restarted(MachineId(machine as u64));
            }
        }
    }

    fn adopt_task(&mut self, s: usize, case: usize, service: u64, machine: usize, round: &mut Round<'_>) {
        let spec = self.add_task(s, case, service, 1.0, u64::MAX);
        let task = self.schedulers[s].tasks.get_mut(&spec.id.0).expect("was added");
        (task.is_placed, task.deadline) = (true, u64::MAX - ANSWER_TOLERANCE);
        task.attempts.push(Attempt::new(machine, self.now, u64::MAX));
        round.on_adopted_task(spec, MachineId(machine as u64));
    }

    fn cancel_task(&mut self, s: usize, n: usize, round: &mut Round<'_>) {
        let is_live = |task: &TaskRecord| !task.has_ended && !task.is_cancelled;
        let tasks = &mut self.schedulers[s].tasks;
        let ids: Vec<u64> = tasks.iter().filter(|(_, task)| is_live(task)).map(|(id, _)| *id).collect();
        let Some(id) = ids.get(n % ids.len().max(1)).copied() else { return };
        let task = tasks.get_mut(&id).expect("is live");
        let is_in_flight = task.is_in_flight();
        self.coverage.cancellations[usize::from(is_in_flight) + usize::from(task.is_placed)] += 1;
        task.is_cancelled = true;
        task.has_ended |= !is_in_flight;
        round.on_client_cancelled(TaskId(id));
    }

    fn deliver_unknown_task(&mut self, s: usize, id: u64, event: usize, round: &mut Round<'_>) {
        let ended = self.schedulers[s].tasks.iter().find(|(_, task)| task.has_ended).map(|(id, _)| *id);
        let id = TaskId(ended.unwrap_or(id | 1 << 60));
        let lost = Outcome::Lost(FailureCause::Unspecified);
        match event {
            0 => round.on_accepted(id),
            1 => round.on_running(id),
            2 => round.on_client_cancelled(id),
            _ => round.on_attempt_ended(id, lost, true, LoadReport::default()),
        }
    }

    fn deliver_snapshot(&mut self, s: usize, round: &mut Round<'_>) {
        let started_at = self.started_at;
        let entry = |machine: usize| machine_entry(machine, MachineState::Active, started_at[machine]);
        let entries: Vec<MachineEntry> = (0..MACHINES).map(entry).collect();
        for (machine, started_at) in started_at.into_iter().enumerate() {
            self.record_listed(s, machine, MachineState::Active, started_at);
        }
        round.on_endpoint_list(ListKind::Snapshot, &entries);
    }

    fn add_task(&mut self, s: usize, case: usize, service: u64, request: f64, deadline: u64) -> TaskSpec {
        let id = self.next_task;
        self.next_task += 1;
        let service = service + 10 * case as u64;
        self.schedulers[s].tasks.insert(id, TaskRecord::new(case, service, deadline));
        TaskSpec {
            id: TaskId(id),
            key: TaskKey(id),
            use_case: UseCaseId(case),
            service: ServiceId(service),
            request: Resources::new(request, request),
            deadline: Timestamp::from_nanos(deadline),
            is_resubmitted: id.is_multiple_of(5),
        }
    }

    fn record_listed(&mut self, s: usize, machine: usize, state: MachineState, started_at: Option<u64>) {
        let before = self.schedulers[s].listed[machine].replace(state);
        let drains = state != MachineState::Active && before == Some(MachineState::Active);
        self.coverage.drains += u64::from(drains);
        if let Some(started_at) = started_at {
            self.record_warm_up(s, machine, started_at);
        }
    }

    fn record_warm_up(&mut self, s: usize, machine: usize, started_at: u64) {
        let ends_at = &mut self.schedulers[s].warm_up_ends_at[machine];
        *ends_at = (*ends_at).max(started_at + super::records::WARM_UP_TIME);
    }

    /// The attempt in flight, or the task that runs, ends.
    fn end_attempt(&mut self, s: usize, id: u64, outcome: Outcome, round: &mut Round<'_>) {
        let task = self.schedulers[s].tasks.get_mut(&id).expect("is in flight");
        let attempt = task.attempts.last_mut().expect("is in flight");
        let machine = attempt.machine;
        let is_returned = outcome == Outcome::Rejected(Rejection::Returned);
        attempt.has_ended = true;
        attempt.never_ran =
            matches!(outcome, Outcome::Rejected(_) | Outcome::ConnectionFailed | Outcome::NotSent)
                && (!task.is_placed || is_returned);
        let is_final = task.is_placed || task.is_cancelled;
        task.has_ended |= is_final;
        if matches!(outcome, Outcome::ConnectionFailed | Outcome::Lost(FailureCause::Unspecified)) {
            self.record_warm_up(s, machine, self.now);
        }
        round.on_attempt_ended(TaskId(id), outcome, is_final, LoadReport::default());
    }

    /// When a timer or a timeout of this scheduler falls due.
    fn next_due(&self, s: usize) -> u64 {
        let scheduler = &self.schedulers[s];
        let attempts = scheduler.tasks.values().filter(|task| !task.is_placed);
        let attempts = attempts.filter_map(|task| task.attempts.last());
        let timeouts = attempts.filter(|attempt| !attempt.has_ended).map(|attempt| attempt.times_out_at);
        timeouts.chain(scheduler.timers.first().map(|(at, _)| *at)).min().unwrap_or(u64::MAX)
    }

    /// Lets time pass; each scheduler but a paused one gets a round for what falls due.
    pub fn advance(&mut self, nanos: u64, paused: Option<usize>) {
        let end = self.now + nanos;
        loop {
            let running = (0..SCHEDULERS).filter(|s| Some(*s) != paused);
            let next = running.map(|s| (self.next_due(s), s)).min();
            let Some((at, s)) = next.filter(|(at, _)| *at <= end) else { break };
            self.now = self.now.max(at);
            self.round(s, &[]);
        }
        self.now = end;
    }

    /// Lets everything that runs end, without new tasks: all accounting returns to zero.
    pub fn finish(&mut self) {
        self.advance(10_000 * MS, None);
        for s in 0..SCHEDULERS {
            let ends: Vec<Event> = (0..500).map(|_| Event::AttemptEnded(0, Outcome::Succeeded)).collect();
            self.round(s, &ends);
        }
        self.advance(60_000 * MS, None);
        for scheduler in &self.schedulers {
            let policy = scheduler.policy.as_ref().expect("is back after each round");
            assert!(scheduler.tasks.values().all(|task| task.has_ended), "all have ended");
            let accounting = Accounting::of(policy);
            assert_eq!((accounting.tasks, accounting.pending), (0, 0), "tasks held");
            assert_eq!(accounting.starting, 0, "starts in flight");
            for machine in &accounting.machines {
                assert_eq!((machine.starting, machine.tasks), (0, 0), "held of a machine");
                let (usage, slack) = (machine.usage, machine.slack);
                let sums = [usage.cores, usage.memory, slack.cores, slack.memory];
                assert!(sums.iter().all(|sum| sum.abs() < 1e-9), "usage and slack of nothing: {sums:?}");
            }
        }
    }
}
