//! The brief's five rules as properties of the decisions: three schedulers that share machines and nothing
//! else, drawn events, and an oracle that has the rules' words. What a whole planner makes of them is
//! tested in `crates/engine`; here are endings that no wire of ours tells, and the sum over schedulers.

use crate::interface::*;
use crate::{Duration, PlacementPolicy, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

const MS: u64 = 1_000_000;
const SCHEDULERS: usize = 3;
const MACHINES: usize = 4;
const YOUNG_LIMIT: usize = 4;
const MOST_SENDS: usize = 4;
const ANSWER_SLACK: u64 = 250 * MS;
const FALL: u64 = 1_000 * MS;
const WARM: u64 = 10_000 * MS;

#[derive(Clone, Debug)]
enum Event {
    New {
        case: usize,
        service: u64,
        ask: f64,
        patience: u64,
    },
    Runs {
        case: usize,
        service: u64,
        machine: usize,
    },
    /// Of the tasks that wait for an answer or run, the one of this number.
    Accepted(usize),
    Started(usize),
    Closed(usize, Outcome),
    Abandoned(usize),
    Noted(usize, f64, f64),
    Fares(usize, f64, f64),
    /// It uses much, and its machine's memory is short.
    Heats(usize),
    /// Of a task that is over, or never was.
    Odd(u64, usize),
    Listed(usize, MachineState, bool),
    WholeList,
    ListFailed,
    Restarted(usize),
}

#[derive(Clone, Debug)]
struct Step {
    scheduler: usize,
    wait: u64,
    /// It hears nothing until all of the wait is over, time-outs neither.
    stands: bool,
    events: Vec<Event>,
}

fn event() -> impl Strategy<Value = Event> {
    let endings = vec![
        Outcome::Ok,
        Outcome::Failed,
        Outcome::Rejected(Rejection::Unspecified),
        Outcome::Rejected(Rejection::Returned),
        Outcome::Rejected(Rejection::InsufficientCores),
        Outcome::Rejected(Rejection::InsufficientMemory),
        Outcome::Rejected(Rejection::QueueFull),
        Outcome::Rejected(Rejection::NotHere),
        Outcome::TimedOut,
        Outcome::NoConnection,
        Outcome::Lost(FailureCause::Unspecified),
        Outcome::Lost(FailureCause::Evicted),
        Outcome::Cancelled,
        Outcome::NotSent,
    ];
    let (m, n) = (0..MACHINES, 0..12usize);
    let mode = prop_oneof![4 => Just(MachineState::Active), 1 => Just(MachineState::Draining), 1 => Just(MachineState::Removed)];
    prop_oneof![
        12 => (0..4usize, 0..3u64, 1..8u32, prop_oneof![3 => Just(8_000u64), 1 => 1..8_000u64]).prop_map(
            |(case, service, ask, patience)| Event::New { case, service, ask: f64::from(ask) * 0.5, patience }
        ),
        1 => (0..4usize, 0..3u64, m.clone())
            .prop_map(|(case, service, machine)| Event::Runs { case, service, machine }),
        8 => n.clone().prop_map(Event::Accepted),
        4 => n.clone().prop_map(Event::Started),
        8 => (n.clone(), prop::sample::select(endings)).prop_map(|(n, ending)| Event::Closed(n, ending)),
        4 => n.clone().prop_map(Event::Abandoned),
        3 => (n.clone(), 0..4u32, 0..4u32)
            .prop_map(|(n, c, m)| Event::Noted(n, f64::from(c) * 2.0, f64::from(m) * 2.0)),
        3 => (n, 0..5u32, 0..5u32)
            .prop_map(|(n, s, m)| Event::Fares(n, f64::from(s) / 4.0, f64::from(m) * 0.4)),
        3 => (0..12usize).prop_map(Event::Heats),
        1 => (any::<u64>(), 0..4usize).prop_map(|(id, n)| Event::Odd(id, n)),
        5 => (m.clone(), mode, any::<bool>()).prop_map(|(m, mode, fresh)| Event::Listed(m, mode, fresh)),
        1 => Just(Event::WholeList),
        1 => Just(Event::ListFailed),
        1 => m.prop_map(Event::Restarted),
    ]
}

#[derive(Clone)]
struct Day(Vec<Step>);

impl std::fmt::Debug for Day {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|step| write!(f, "\n    {step:?}"))
    }
}

fn day() -> impl Strategy<Value = Day> {
    let wait = prop_oneof![4 => Just(0u64), 4 => 1..100u64, 2 => 100..2_000u64];
    let step = (0..SCHEDULERS, wait, prop::bool::weighted(0.1), prop::collection::vec(event(), 1..4));
    let step = step.prop_map(|(scheduler, wait, stands, events)| Step { scheduler, wait, stands, events });
    prop::collection::vec(step, 1..100).prop_map(Day)
}

#[derive(Clone, Copy, Debug)]
enum Said {
    Send(u64, u64, u64),
    Rejection(u64),
    Error(u64),
    Move(u64),
    Recall(u64),
    Wake(u64, u64),
}

#[derive(Default)]
struct Notebook(Vec<Said>);

impl Dispatch for Notebook {
    fn send(&mut self, task: TaskId, machine: MachineId, time_out: Duration) {
        self.0.push(Said::Send(task.0, machine.0, time_out.nanos()));
    }
    fn cancel_attempt(&mut self, task: TaskId, _: u32) {
        self.0.push(Said::Recall(task.0));
    }
    fn reject(&mut self, task: TaskId, _: Duration) {
        self.0.push(Said::Rejection(task.0));
    }
    fn fail(&mut self, task: TaskId) {
        self.0.push(Said::Error(task.0));
    }
    fn preempt(&mut self, task: TaskId) {
        self.0.push(Said::Move(task.0));
    }
    fn wake_at(&mut self, token: u64, at: Timestamp) {
        self.0.push(Said::Wake(token, at.nanos()));
    }
    fn watch_endpoints(&mut self) {}
}

#[derive(Debug)]
struct Sent {
    machine: usize,
    at: u64,
    due: u64,
    over: bool,
    never_ran: bool,
}

#[derive(Debug)]
struct Task {
    case: usize,
    service: u64,
    deadline: u64,
    sends: Vec<Sent>,
    placed: bool,
    /// Answered, or over in another way.
    over: bool,
    abandoned: bool,
    /// Abandoned or over in a round before this one.
    heard: bool,
    moved: bool,
}

/// What one scheduler was told, and what it said.
struct Scheduler {
    /// Taken out for a round, so that events can be drawn on the world.
    brain: Option<PlacementPolicy>,
    tasks: BTreeMap<u64, Task>,
    wakes: BTreeSet<(u64, u64)>,
    listed: Vec<Option<MachineState>>,
    /// Until when it must take each machine for cold.
    cold_until: [u64; MACHINES],
}

#[derive(Clone, Copy, Debug, Default)]
struct Met {
    answers: u64,
    bound_again: u64,
    drains: u64,
    cold_sends: u64,
    spread_sends: u64,
    moves: u64,
    abandoned: [u64; 3],
}

struct World {
    now: u64,
    next: u64,
    schedulers: Vec<Scheduler>,
    /// When each machine started, where that is told.
    up_at: [Option<u64>; MACHINES],
    cold_sends: Vec<Vec<u64>>,
    met: Met,
}

fn use_cases() -> Vec<UseCase> {
    let window = Duration::from_secs(5);
    let case = |effect, priority, spread| UseCase {
        soft_limit: Duration::from_secs(1),
        client_timeout: Duration::from_secs(8),
        effect,
        earnings: f64::from(priority) + 1.0,
        priority,
        kind: None,
        spread,
        full_up_to: 0.8,
        fade: 0.2,
    };
    vec![
        case(Idempotency::Idempotent, 0, None),
        case(Idempotency::Keyed { domain: FailureDomain::Cell, window }, 1, None),
        case(Idempotency::NonIdempotent, 1, Some((FailureDomain::Machine, 1))),
        case(Idempotency::Idempotent, 1, Some((FailureDomain::Cell, 2))),
    ]
}

fn entry(m: usize, mode: MachineState, since: Option<u64>) -> MachineEntry {
    MachineEntry {
        id: MachineId(m as u64),
        kind: KindId(0),
        cell: CellId(m as u32 / 2),
        zone: ZoneId(0),
        mode,
        since: since.map(Timestamp::from_nanos),
        left: Some(Resources::new(10.0, 10.0)),
    }
}

impl World {
    fn new(seed: u64) -> Self {
        let scheduler = |number| {
            let taking = AcceptanceRules {
                cores: 2.0,
                memory: 2.0,
                yes_when_running: seed.is_multiple_of(2),
                max_sends: MOST_SENDS as u32,
                tells_pressure: true,
                recalls: true,
            };
            let cold = SlowStart {
                warm_after: Duration::from_nanos(WARM),
                fall: Duration::from_nanos(FALL),
                young_limit: YOUNG_LIMIT as f64,
                schedulers: SCHEDULERS as u32,
                number,
            };
            let listing = Discovery { asked: true, ask_within: Duration::from_secs(10) };
            let home = LocalityCosts { zone: ZoneId(0), cross_zone_price: 0.0, machine_price: 0.1 };
            let kinds = vec![Resources::new(10.0, 10.0)];
            let seed = seed + u64::from(number);
            Scheduler {
                brain: Some(PlacementPolicy::new(seed, use_cases(), kinds, taking, cold, listing, home)),
                tasks: BTreeMap::new(),
                wakes: BTreeSet::new(),
                listed: vec![None; MACHINES],
                cold_until: [0; MACHINES],
            }
        };
        let mut world = Self {
            now: 100_000 * MS,
            next: 1,
            schedulers: (0..SCHEDULERS as u32).map(scheduler).collect(),
            up_at: [None; MACHINES],
            cold_sends: vec![Vec::new(); MACHINES],
            met: Met::default(),
        };
        for s in 0..SCHEDULERS {
            world.round(s, &[Event::WholeList]);
        }
        world
    }

    /// The `n`th task that has a send out or runs.
    fn open(&self, s: usize, n: usize) -> Option<u64> {
        let open = |task: &Task| task.sends.last().is_some_and(|sent| !sent.over);
        let open: Vec<u64> =
            self.schedulers[s].tasks.iter().filter(|(_, t)| open(t)).map(|(id, _)| *id).collect();
        open.get(n % open.len().max(1)).copied()
    }

    /// One round of one scheduler, and what it says.
    fn round(&mut self, s: usize, events: &[Event]) {
        let mut book = Notebook::default();
        let now = Timestamp::from_nanos(self.now);
        let mut brain = self.schedulers[s].brain.take().expect("is back after each round");
        brain.round(now, &mut book, |round| {
            let due: Vec<(u64, u64)> =
                self.schedulers[s].wakes.range(..=(self.now, u64::MAX)).copied().collect();
            for wake in due {
                self.schedulers[s].wakes.remove(&wake);
                round.on_timer(wake.1);
            }
            events.iter().for_each(|event| self.tell(s, event, round));
            let late: Vec<u64> = self.schedulers[s]
                .tasks
                .iter()
                .filter(|(_, t)| is_due(t, self.now))
                .map(|(id, _)| *id)
                .collect();
            late.into_iter().for_each(|id| self.close(s, id, Outcome::TimedOut, round));
        });
        let starting: usize = brain.machines.iter().map(|(_, m)| m.starting).sum();
        assert_eq!(brain.starting, starting, "starts under way on all machines");
        self.schedulers[s].brain = Some(brain);
        book.0.into_iter().for_each(|said| self.said(s, said));
        self.schedulers[s].tasks.values_mut().for_each(|task| task.heard = task.abandoned || task.over);
        for (id, task) in
            self.schedulers[s].tasks.iter().filter(|(_, t)| !t.over && !t.placed && !t.abandoned)
        {
            assert!(self.now <= task.deadline + ANSWER_SLACK, "rule 1: task {id} has no answer in time");
        }
    }

    fn tell(&mut self, s: usize, event: &Event, round: &mut crate::SchedulingRound<'_, Notebook>) {
        match *event {
            Event::New { case, service, ask, patience } => {
                let deadline = self.now + patience * MS;
                let order = self.order(s, case, service, ask, deadline);
                round.on_new_task(order);
            }
            Event::Runs { machine, .. }
                if self.schedulers[s].listed[machine] == Some(MachineState::Removed) => {}
            Event::Runs { case, service, machine } => {
                let order = self.order(s, case, service, 1.0, u64::MAX);
                let sent = Sent { machine, at: self.now, due: u64::MAX, over: false, never_ran: false };
                let task = self.schedulers[s].tasks.get_mut(&order.id.0).expect("is there");
                (task.placed, task.deadline) = (true, u64::MAX - ANSWER_SLACK);
                task.sends.push(sent);
                round.on_adopted_task(order, MachineId(machine as u64));
            }
            Event::Accepted(n) => {
                let Some(id) = self.open(s, n) else { return };
                let task = self.schedulers[s].tasks.get_mut(&id).expect("is open");
                task.placed |= !task.abandoned;
                round.on_accepted(TaskId(id));
            }
            Event::Started(n) => {
                if let Some(id) = self.open(s, n).filter(|id| self.schedulers[s].tasks[id].placed) {
                    round.on_running(TaskId(id));
                }
            }
            Event::Closed(n, ending) => {
                if let Some(id) = self.open(s, n) {
                    self.close(s, id, ending, round);
                }
            }
            Event::Abandoned(n) => {
                let live = |task: &Task| !task.over && !task.abandoned;
                let tasks = &mut self.schedulers[s].tasks;
                let ids: Vec<u64> = tasks.iter().filter(|(_, t)| live(t)).map(|(id, _)| *id).collect();
                let Some(id) = ids.get(n % ids.len().max(1)).copied() else { return };
                let task = tasks.get_mut(&id).expect("is live");
                let out = task.sends.last().is_some_and(|sent| !sent.over);
                self.met.abandoned[usize::from(out) + usize::from(task.placed)] += 1;
                task.abandoned = true;
                task.over |= !out;
                round.on_client_cancelled(TaskId(id));
            }
            Event::Noted(n, cores, memory) => {
                if let Some(id) = self.open(s, n) {
                    round.on_usage(TaskId(id), Some(cores), Some(memory));
                }
            }
            Event::Fares(n, served, memory) => {
                if let Some(id) = self.open(s, n) {
                    round.on_service_level(TaskId(id), served);
                    round.on_machine_memory(TaskId(id), memory);
                }
            }
            Event::Heats(n) => {
                if let Some(id) = self.open(s, n) {
                    round.on_usage(TaskId(id), Some(4.0), Some(4.0));
                    round.on_machine_memory(TaskId(id), 1.2);
                }
            }
            Event::Odd(id, n) => {
                let over = self.schedulers[s].tasks.iter().find(|(_, t)| t.over).map(|(id, _)| *id);
                let id = TaskId(over.unwrap_or(id | 1 << 60));
                match n {
                    0 => round.on_accepted(id),
                    1 => round.on_running(id),
                    2 => round.on_client_cancelled(id),
                    _ => round.on_attempt_ended(
                        id,
                        Outcome::Lost(FailureCause::Unspecified),
                        true,
                        LoadReport::default(),
                    ),
                }
            }
            Event::Listed(m, mode, fresh) => {
                if fresh {
                    self.up_at[m] = Some(self.now - 200 * MS);
                }
                let since = self.up_at[m];
                self.listed(s, m, mode, since);
                round.on_endpoint_list(ListKind::Delta, &[entry(m, mode, since)]);
            }
            Event::WholeList => {
                let up_at = self.up_at;
                let entries: Vec<MachineEntry> =
                    (0..MACHINES).map(|m| entry(m, MachineState::Active, up_at[m])).collect();
                (0..MACHINES).for_each(|m| self.listed(s, m, MachineState::Active, up_at[m]));
                round.on_endpoint_list(ListKind::Snapshot, &entries);
            }
            Event::ListFailed => round.on_watch_failed(),
            // Nobody is connected to a machine that has left.
            Event::Restarted(m) if self.schedulers[s].listed[m] == Some(MachineState::Removed) => {}
            Event::Restarted(m) => {
                self.is_cold(s, m, self.now);
                round.on_machine_restarted(MachineId(m as u64));
            }
        }
    }

    fn order(&mut self, s: usize, case: usize, service: u64, ask: f64, deadline: u64) -> TaskSpec {
        let id = self.next;
        self.next += 1;
        let service = service + 10 * case as u64;
        let task = Task {
            case,
            service,
            deadline,
            sends: Vec::new(),
            placed: false,
            over: false,
            abandoned: false,
            heard: false,
            moved: false,
        };
        self.schedulers[s].tasks.insert(id, task);
        TaskSpec {
            id: TaskId(id),
            key: TaskKey(id),
            use_case: UseCaseId(case),
            service: ServiceId(service),
            ask: Resources::new(ask, ask),
            deadline: Timestamp::from_nanos(deadline),
            again: id.is_multiple_of(5),
        }
    }

    fn listed(&mut self, s: usize, m: usize, mode: MachineState, since: Option<u64>) {
        let before = self.schedulers[s].listed[m].replace(mode);
        self.met.drains += u64::from(mode != MachineState::Active && before == Some(MachineState::Active));
        if let Some(since) = since {
            self.is_cold(s, m, since);
        }
    }

    fn is_cold(&mut self, s: usize, m: usize, since: u64) {
        let until = &mut self.schedulers[s].cold_until[m];
        *until = (*until).max(since + WARM);
    }

    /// The send that is out, or the task that runs, ends.
    fn close(
        &mut self,
        s: usize,
        id: u64,
        ending: Outcome,
        round: &mut crate::SchedulingRound<'_, Notebook>,
    ) {
        let task = self.schedulers[s].tasks.get_mut(&id).expect("is open");
        let sent = task.sends.last_mut().expect("is open");
        let (m, handed_back) = (sent.machine, ending == Outcome::Rejected(Rejection::Returned));
        sent.over = true;
        sent.never_ran = matches!(ending, Outcome::Rejected(_) | Outcome::NoConnection | Outcome::NotSent)
            && (!task.placed || handed_back);
        let over = task.placed || task.abandoned;
        task.over |= over;
        if matches!(ending, Outcome::NoConnection | Outcome::Lost(FailureCause::Unspecified)) {
            self.is_cold(s, m, self.now);
        }
        round.on_attempt_ended(TaskId(id), ending, over, LoadReport::default());
    }

    fn said(&mut self, s: usize, said: Said) {
        let (now, cases) = (self.now, use_cases());
        match said {
            Said::Wake(token, at) => drop(self.schedulers[s].wakes.insert((at.max(now + 1), token))),
            Said::Recall(id) => {
                let out = self.schedulers[s].tasks[&id].sends.last().is_some_and(|sent| !sent.over);
                assert!(out, "task {id}: a send is called back that is over");
            }
            Said::Move(id) => {
                let task = self.schedulers[s].tasks.get_mut(&id).expect("a task of ours");
                assert!(task.placed, "task {id} is moved and doesn't run");
                assert!(!std::mem::replace(&mut task.moved, true), "task {id} is moved twice");
                assert!(!task.heard, "task {id} is moved though it is over, or its owner stops it");
                assert_eq!(cases[task.case].priority, 0, "only low-priority tasks are moved");
                self.met.moves += 1;
            }
            Said::Rejection(id) | Said::Error(id) => {
                let task = self.schedulers[s].tasks.get_mut(&id).expect("a task of ours");
                assert!(!task.over && !task.placed, "rule 1: task {id} is answered twice");
                assert!(!task.abandoned, "task {id} is answered though nobody waits");
                assert!(task.sends.iter().all(|sent| sent.over), "rule 2: {id} is answered with a send out");
                let may_run = task.sends.iter().any(|sent| !sent.never_ran);
                let harmless = !may_run || cases[task.case].effect == Idempotency::Idempotent;
                let nack = matches!(said, Said::Rejection(_));
                assert!(!nack || harmless, "rule 2: task {id} is nacked though it may have run");
                task.over = true;
                self.met.answers += 1;
            }
            Said::Send(id, m, time_out) => self.sent(s, id, m as usize, time_out),
        }
    }

    fn sent(&mut self, s: usize, id: u64, m: usize, time_out: u64) {
        let (now, cases) = (self.now, use_cases());
        let scheduler = &mut self.schedulers[s];
        let task = scheduler.tasks.get_mut(&id).expect("a task of ours");
        let case = &cases[task.case];
        assert!(!task.over && !task.placed && !task.abandoned, "rule 1: task {id} is sent after its end");
        assert!(now <= task.deadline, "rule 1: task {id} is sent after its client timeout");
        assert!(task.sends.iter().all(|sent| sent.over), "rule 2: task {id} has two sends out");
        assert!(task.sends.len() < MOST_SENDS, "task {id} is sent too often");
        self.met.bound_again += u64::from(!task.sends.is_empty());
        if let Some(first) = task.sends.iter().find(|sent| !sent.never_ran) {
            match case.effect {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("rule 2: single-use task {id} is sent again"),
                Idempotency::Keyed { window, .. } => {
                    assert_eq!(first.machine / 2, m / 2, "rule 2: task {id} leaves its group");
                    assert!(now <= first.at + window.nanos(), "rule 2: task {id} is sent after its window");
                }
            }
        }
        task.sends.push(Sent { machine: m, at: now, due: now + time_out, over: false, never_ran: false });
        let service = task.service;
        assert_eq!(
            scheduler.listed[m],
            Some(MachineState::Active),
            "rule 3: task {id} is sent to closed machine {m}"
        );
        if now < scheduler.cold_until[m] {
            let sends = &mut self.cold_sends[m];
            sends.push(now);
            sends.retain(|at| now - at < FALL);
            let many = sends.len();
            assert!(many <= YOUNG_LIMIT, "rule 4: {many} sends of all schedulers to cold machine {m}");
            self.met.cold_sends += 1;
        }
        if let Some((reach, most)) = case.spread {
            let there = |sent: &Sent| match reach {
                FailureDomain::Machine => sent.machine == m,
                _ => sent.machine / 2 == m / 2,
            };
            let holds =
                |t: &&Task| t.service == service && t.sends.iter().any(|sent| !sent.over && there(sent));
            let held = self.schedulers[s].tasks.values().filter(holds).count();
            assert!(held <= most, "rule 5: {held} tasks of one service by machine {m}");
            self.met.spread_sends += 1;
        }
    }

    /// When something of this scheduler falls due.
    fn next_due(&self, s: usize) -> u64 {
        let scheduler = &self.schedulers[s];
        let sends = scheduler.tasks.values().filter(|t| !t.placed).filter_map(|t| t.sends.last());
        let sends = sends.filter(|sent| !sent.over).map(|sent| sent.due);
        sends.chain(scheduler.wakes.first().map(|(at, _)| *at)).min().unwrap_or(u64::MAX)
    }

    /// Time passes, and each scheduler but one that stands still hears what falls due.
    fn passes(&mut self, nanos: u64, stands: Option<usize>) {
        let end = self.now + nanos;
        loop {
            let live = (0..SCHEDULERS).filter(|s| Some(*s) != stands);
            let Some((at, s)) = live.map(|s| (self.next_due(s), s)).min().filter(|(at, _)| *at <= end) else {
                break;
            };
            self.now = self.now.max(at);
            self.round(s, &[]);
        }
        self.now = end;
    }

    /// All that runs ends, nothing new comes: every tally comes back to nought.
    fn falls_quiet(&mut self) {
        self.passes(10_000 * MS, None);
        for s in 0..SCHEDULERS {
            let ends: Vec<Event> = (0..500).map(|_| Event::Closed(0, Outcome::Ok)).collect();
            self.round(s, &ends);
        }
        self.passes(60_000 * MS, None);
        for scheduler in &self.schedulers {
            let brain = scheduler.brain.as_ref().expect("is back after each round");
            assert!(scheduler.tasks.values().all(|task| task.over), "all are over");
            assert_eq!((brain.tasks.iter().count(), brain.pending.len()), (0, 0), "tasks held");
            assert_eq!(brain.starting, 0, "starts under way");
            for (_, m) in brain.machines.iter() {
                assert_eq!((m.starting, m.tasks.len()), (0, 0), "held of a machine");
                let sums = [m.used.cores, m.used.memory, m.slack.cores, m.slack.memory];
                assert!(sums.iter().all(|sum| sum.abs() < 1e-9), "use and slack of nothing: {sums:?}");
            }
        }
    }
}

fn is_due(task: &Task, now: u64) -> bool {
    !task.placed && task.sends.last().is_some_and(|sent| !sent.over && sent.due <= now)
}

fn plays(seed: u8, days: u32) -> Met {
    let config = Config { cases: days, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let met = std::cell::RefCell::new(Met::default());
    let played = TestRunner::new_with_rng(config, rng).run(&day(), |Day(steps)| {
        let mut world = World::new(u64::from(seed));
        for step in &steps {
            world.passes(step.wait * MS, step.stands.then_some(step.scheduler));
            world.round(step.scheduler, &step.events);
        }
        world.falls_quiet();
        let (mut sum, new) = (met.borrow_mut(), world.met);
        sum.answers += new.answers;
        sum.bound_again += new.bound_again;
        sum.drains += new.drains;
        sum.cold_sends += new.cold_sends;
        sum.spread_sends += new.spread_sends;
        sum.moves += new.moves;
        sum.abandoned.iter_mut().zip(new.abandoned).for_each(|(sum, new)| *sum += new);
        Ok(())
    });
    if let Err(failed) = played {
        panic!("seed {seed}: {failed}");
    }
    met.into_inner()
}

#[test]
fn the_five_rules_hold_for_three_schedulers_and_all_tallies_come_back_to_nought() {
    let met: Vec<Met> = std::thread::scope(|scope| {
        let running: Vec<_> = (1..=4).map(|seed| scope.spawn(move || plays(seed, 1_000))).collect();
        running.into_iter().map(|thread| thread.join().expect("a property fails")).collect()
    });
    for met in met {
        println!("{met:?}");
        let rules = [met.answers, met.bound_again, met.drains, met.cold_sends, met.spread_sends, met.moves];
        assert!(rules.iter().chain(&met.abandoned).all(|cases| *cases > 20), "not met often: {met:?}");
    }
}
