//! The brief's five rules as properties of the whole planner.
//!
//! The real engine and module stand among drawn events: asks, withdrawals at every stage, odd, late and
//! repeated answers, ends of connections, other lives of machines, drains and returns, standstills. The
//! oracle knows the rules' words and what crossed the wire, nothing of the code. After each run all falls
//! quiet, and every tally must be back at nought. Seeds are fixed; a failure shrinks, and prints its events.

use crate::{Engine, Settings};
use mulleinhub_interface::{
    AcceptanceRules, Discovery, Duration, FailureDomain, Idempotency, LocalityCosts, Resources, SlowStart,
    TaskId, Timestamp, UseCase, ZoneId,
};
use mulleinhub_protocol::{self as protocol, Conversation, Ending, Frames, Message, Mode, Reason, Shape};
use mulleinhub_sans_io::{CloseReason, Command, ConnectionId, ListenerId, StateMachine};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, VecDeque};

const MS: u64 = 1_000_000;
const MACHINES: usize = 4;
const ANSWER_SLACK: u64 = 250 * MS;
const YOUNG_LIMIT: usize = 3;
/// Cases of use cases: replayable and low, referenced in a cell, single-use one to a machine, replayable two
/// to a cell.
const CASES: usize = 4;

#[derive(Clone, Debug)]
enum Event {
    Ask {
        case: usize,
        service: u64,
        patience: u64,
    },
    Withdraw(usize),
    /// A machine answers what it has had longest.
    Answers(usize, Word),
    /// A task ends at a machine, of its own accord.
    Ends(usize, Ending),
    /// A machine says its last words again.
    SaysAgain(usize),
    /// A machine speaks of a send that nobody made.
    Odd(usize, u64),
    /// How a task fares, with its machine's memory.
    Notes(usize, u8, u8),
    Breaks(usize),
    /// Connections to it are refused, or no longer.
    Refuses(usize),
    Restarts(usize),
    /// It reads nothing and no connection to it comes up, or no longer.
    Deaf(usize),
    Listed(usize, Mode),
    OwnerGoes,
    OwnerComes,
    HandsOver(usize),
    /// In a process that goes on.
    Passes(u64),
    /// The planner stands still.
    Stands(u64),
}

#[derive(Clone, Copy, Debug)]
enum Word {
    Accepts,
    Nacks(Reason),
    Errs,
    /// It is dropped without a word.
    Swallows,
}

fn event() -> impl Strategy<Value = Event> {
    let m = 0..MACHINES;
    let word = prop_oneof![
        6 => Just(Word::Accepts),
        1 => prop_oneof![Just(Reason::NoCores), Just(Reason::LineFull), Just(Reason::NotHere),
                         Just(Reason::HandedBack), Just(Reason::Untold)].prop_map(Word::Nacks),
        1 => Just(Word::Errs),
        1 => Just(Word::Swallows),
    ];
    let ending =
        prop_oneof![Just(Ending::Done), Just(Ending::Evicted), Just(Ending::SentAway), Just(Ending::Errored)];
    let mode = prop_oneof![4 => Just(Mode::Active), 1 => Just(Mode::Leaving), 1 => Just(Mode::Left)];
    prop_oneof![
        12 => (0..CASES, 0u64..2, prop_oneof![3 => Just(8_000u64), 1 => 50..8_000u64])
            .prop_map(|(case, service, patience)| Event::Ask { case, service, patience }),
        6 => (0..40usize).prop_map(Event::Withdraw),
        12 => (m.clone(), word).prop_map(|(m, word)| Event::Answers(m, word)),
        2 => (m.clone(), ending).prop_map(|(m, ending)| Event::Ends(m, ending)),
        1 => m.clone().prop_map(Event::SaysAgain),
        1 => (m.clone(), 0u64..40).prop_map(|(m, task)| Event::Odd(m, task)),
        2 => (m.clone(), any::<u8>(), any::<u8>()).prop_map(|(m, a, b)| Event::Notes(m, a, b)),
        2 => m.clone().prop_map(Event::Breaks),
        1 => m.clone().prop_map(Event::Refuses),
        2 => m.clone().prop_map(Event::Restarts),
        3 => m.clone().prop_map(Event::Deaf),
        3 => (m, mode).prop_map(|(m, mode)| Event::Listed(m, mode)),
        1 => Just(Event::OwnerGoes),
        2 => Just(Event::OwnerComes),
        3 => (0..40usize).prop_map(Event::HandsOver),
        8 => prop_oneof![0..60u64, 60..900u64, 900..3_500u64].prop_map(Event::Passes),
        2 => prop_oneof![100..900u64, 900..9_000u64, 6_000..7_500u64].prop_map(Event::Stands),
    ]
}

/// What a planner does after an event.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Turn {
    Whole,
    /// More lies unread: what was heard is answered, and nothing falls due.
    Early,
    /// More comes in before its turn.
    None,
}

/// Events, and the planner's turn after each.
#[derive(Clone)]
struct Day(Vec<(Event, Turn)>);

impl std::fmt::Debug for Day {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|(event, turn)| write!(f, "\n    {event:?}, then {turn:?}"))
    }
}

fn day() -> impl Strategy<Value = Day> {
    let turn = prop_oneof![6 => Just(Turn::Whole), 2 => Just(Turn::Early), 3 => Just(Turn::None)];
    prop::collection::vec((event(), turn), 1..120).prop_map(Day)
}

#[derive(Debug)]
struct Sent {
    machine: usize,
    life: u64,
    link: ConnectionId,
    at: u64,
    gives_up_at: u64,
    /// The machine took it, whatever the planner knows.
    taken: bool,
    /// The planner was told so.
    accepted: bool,
    /// The planner was told its end, or wrote that it waits no longer.
    over: bool,
    /// The connection that carried it is over: nobody need wait for an answer.
    cut: bool,
    /// The planner was handed the proof.
    never_ran: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Answer {
    Placed,
    Nacked,
    Errored,
}

#[derive(Debug)]
struct Task {
    shape: Shape,
    taken: bool,
    deadline: u64,
    answer: Option<Answer>,
    /// Told to the planner; `heard` after the turn in which it was.
    withdrawn: bool,
    withdrawal_heard: bool,
    questions: u32,
    sends: BTreeMap<u32, Sent>,
}

impl Task {
    fn new(shape: Shape, deadline: u64) -> Self {
        Self {
            shape,
            taken: false,
            deadline,
            answer: None,
            withdrawn: false,
            withdrawal_heard: false,
            questions: 0,
            sends: BTreeMap::new(),
        }
    }
}

#[derive(Debug)]
struct Held {
    task: u64,
    send: u32,
    shape: Shape,
    disowned: bool,
}

struct Machine {
    life: u64,
    up_at: Option<u64>,
    link: Option<ConnectionId>,
    greeted: bool,
    refuses: bool,
    deaf: bool,
    line: VecDeque<(u64, u32, Shape)>,
    held: Vec<Held>,
    untold: Vec<(u64, u32, Shape, Ending)>,
    last_words: Option<Vec<u8>>,
    /// Said to drain or to be gone, and heard by the planner.
    closed_said: bool,
    closed: bool,
    /// Told of its present life, by list or by greeting.
    cold_known_at: Option<u64>,
    cold_offers: VecDeque<u64>,
}

/// How often each rule's case arose, and withdrawals by the stage at which they came.
#[derive(Clone, Debug, Default, PartialEq)]
struct Met {
    answers: u64,
    sent_again: u64,
    drains: u64,
    cold_offers: u64,
    spread_sends: u64,
    stood: u64,
    claims: u64,
    withdrawn: BTreeMap<&'static str, u64>,
    timed_out: BTreeMap<&'static str, u64>,
}

struct World {
    engine: Engine,
    now: u64,
    list: ConnectionId,
    owner: Option<ConnectionId>,
    frames: BTreeMap<ConnectionId, Frames>,
    coming: Vec<(ConnectionId, usize)>,
    machines: Vec<Machine>,
    tasks: BTreeMap<u64, Task>,
    next_task: u64,
    /// Offers that were read since all was last drained, and the machines that read them.
    offers: Vec<(u64, usize)>,
    nacked: Vec<u64>,
    /// What is read now may have been written long before.
    reads_old: bool,
    /// What a withdrawal said in this turn names.
    said_withdrawn: Vec<u64>,
    after_standstill: bool,
    met: Met,
}

fn settings() -> Settings {
    let window = Duration::from_secs(5);
    let case = |effect, priority, spread| UseCase {
        latency_objective: Duration::from_secs(1),
        client_timeout: Duration::from_secs(8),
        idempotency: effect,
        value_per_second: 1.0,
        priority,
        machine_kind: None,
        spread,
        saturation_threshold: 1.0,
        degradation_range: 1.0,
    };
    Settings {
        name: "planner-1".to_owned(),
        seed: 7,
        use_cases: vec![
            case(Idempotency::Idempotent, 0, None),
            case(Idempotency::Keyed { domain: FailureDomain::Cell, window }, 1, None),
            case(Idempotency::NonIdempotent, 1, Some((FailureDomain::Machine, 1))),
            case(Idempotency::Idempotent, 1, Some((FailureDomain::Cell, 2))),
        ],
        kinds: vec![Resources::new(16.0, 32.0)],
        taking: AcceptanceRules {
            cores_overcommit: 2.0,
            memory_overcommit: 1.5,
            accepts_when_running: false,
            max_attempts: 4,
            reports_pressure: true,
            supports_cancel: true,
        },
        cold: SlowStart {
            warm_up_time: Duration::from_secs(12),
            budget_window: Duration::from_secs(1),
            attempt_budget: YOUNG_LIMIT as f64,
            scheduler_count: 1,
            scheduler_index: 0,
        },
        listing: Discovery { watch_required: false, max_staleness: Duration::from_secs(10) },
        home: LocalityCosts { local_zone: ZoneId(0), cross_zone_cost: 0.0, machine_cost: 0.0 },
        list_address: "list".to_owned(),
        reconnect: Duration::from_nanos(200 * MS),
        lost_after: Duration::from_secs(2),
        silence: Duration::from_secs(2),
        remember: Duration::from_secs(60),
        start_wait: Duration::from_secs(1),
        clients: mulleinhub_limits::Settings::default(),
        most_in_hand: 100,
        most_unwritten: 64 * 1024,
    }
}

fn cell(machine: usize) -> usize {
    machine / 2
}

impl World {
    fn new(seed: u64) -> Self {
        let machine = |n| Machine {
            life: 100 + n,
            up_at: None,
            link: None,
            greeted: false,
            refuses: false,
            deaf: false,
            line: VecDeque::new(),
            held: Vec::new(),
            untold: Vec::new(),
            last_words: None,
            closed_said: false,
            closed: false,
            cold_known_at: None,
            cold_offers: VecDeque::new(),
        };
        let mut world = Self {
            engine: Engine::new(settings(), seed, None),
            now: 1_000 * MS,
            list: ConnectionId(0),
            owner: None,
            frames: BTreeMap::new(),
            coming: Vec::new(),
            machines: (0..MACHINES as u64).map(machine).collect(),
            tasks: BTreeMap::new(),
            next_task: 1,
            offers: Vec::new(),
            nacked: Vec::new(),
            reads_old: false,
            said_withdrawn: Vec::new(),
            after_standstill: false,
            met: Met::default(),
        };
        world.turn();
        for n in 0..MACHINES {
            world.listed(n, Mode::Active);
        }
        world.turn();
        world.owner_comes();
        world.turn();
        world
    }

    fn time(&self) -> Timestamp {
        Timestamp::from_nanos(self.now)
    }

    fn tell(&mut self, link: ConnectionId, message: &Message<'_>) -> Vec<u8> {
        let mut bytes = Vec::new();
        protocol::encode(message, &mut bytes);
        self.engine.on_data(self.time(), link, &bytes);
        bytes
    }

    fn machine_tells(&mut self, m: usize, message: &Message<'_>) -> bool {
        let Some(link) = self.machines[m].link.filter(|_| self.machines[m].greeted) else { return false };
        self.machines[m].last_words = Some(self.tell(link, message));
        true
    }

    fn sent(&mut self, task: u64, send: u32) -> Option<&mut Sent> {
        self.tasks.get_mut(&task)?.sends.get_mut(&send)
    }

    /// The planner's turn, and what follows at the same instant.
    fn turn(&mut self) {
        self.hears_list();
        for _ in 0..50 {
            self.engine.poll(self.time());
            self.drain();
            if self.engine.next_wakeup().is_none_or(|at| at > self.time()) {
                break;
            }
        }
        for id in std::mem::take(&mut self.said_withdrawn) {
            if let Some(task) = self.tasks.get_mut(&id) {
                task.withdrawal_heard = true;
            }
        }
        self.check_answers();
        self.after_standstill = false;
    }

    /// What the list said until now is heard in this turn.
    fn hears_list(&mut self) {
        self.machines.iter_mut().for_each(|machine| machine.closed = machine.closed_said);
    }

    fn early_turn(&mut self) {
        self.hears_list();
        self.engine.poll_early(self.time());
        self.drain();
    }

    /// Rule 1: whoever is connected has had its answer in time.
    fn check_answers(&self) {
        for (id, task) in self.tasks.iter().filter(|(_, t)| t.taken && t.answer.is_none() && !t.withdrawn) {
            let late = self.now > task.deadline + ANSWER_SLACK && self.owner.is_some();
            assert!(!late, "rule 1: task {id} has no answer {} ms late", (self.now - task.deadline) / MS);
        }
    }

    fn drain(&mut self) {
        loop {
            if let Some(link) = self.engine.connections().next_dirty() {
                self.take(link);
                continue;
            }
            match self.engine.connections().next_command() {
                None => return self.check_offers(),
                Some(Command::Open(link, address)) => match address.strip_prefix('m') {
                    Some(n) => {
                        let m = n.parse::<usize>().expect("a machine") - 1;
                        (self.machines[m].link, self.machines[m].greeted) = (Some(link), false);
                        self.coming.push((link, m));
                        self.come_up();
                    }
                    None => {
                        self.list = link;
                        self.engine.on_connected(self.time(), link);
                        let welcome = Message::Welcome {
                            version: 1,
                            features: 0,
                            name: "list",
                            life: 1,
                            silence: None,
                        };
                        self.tell(link, &welcome);
                    }
                },
                Some(Command::End { link, .. }) => {
                    self.engine.connections().discard(link);
                    self.coming.retain(|(coming, _)| *coming != link);
                    if let Some(m) = self.machines.iter().position(|m| m.link == Some(link)) {
                        self.machines[m].link = None;
                        self.cut(link);
                    }
                }
            }
        }
    }

    /// Connections that were asked for come up, or are refused, where the machine hears.
    fn come_up(&mut self) {
        for (link, m) in std::mem::take(&mut self.coming) {
            if self.machines[m].deaf {
                self.coming.push((link, m));
            } else if self.machines[m].refuses {
                self.machines[m].link = None;
                self.engine.on_closed(self.time(), link, CloseReason::Refused);
            } else {
                self.engine.on_connected(self.time(), link);
            }
        }
    }

    fn cut(&mut self, link: ConnectionId) {
        let sends = self.tasks.values_mut().flat_map(|task| task.sends.values_mut());
        sends.filter(|sent| sent.link == link).for_each(|sent| sent.cut = true);
    }

    fn take(&mut self, link: ConnectionId) {
        let m = self.machines.iter().position(|m| m.link == Some(link));
        if m.is_some_and(|m| self.machines[m].deaf) {
            return;
        }
        let bytes = self.engine.connections().outgoing(link).to_vec();
        self.engine.connections().wrote(link, bytes.len());
        let mut frames = self.frames.remove(&link).unwrap_or_default();
        frames.take(&bytes);
        while let Some(frame) = frames.next_frame().expect("planners write frames") {
            let message = protocol::decode(frame).expect("planners write messages");
            match m {
                Some(m) => self.at_machine(m, link, &message),
                None if Some(link) == self.owner => self.at_owner(link, &message),
                None => {}
            }
        }
        self.frames.insert(link, frames);
    }

    fn at_machine(&mut self, m: usize, link: ConnectionId, message: &Message<'_>) {
        match message {
            Message::Hello { .. } => self.greet(m, link),
            Message::Offer { task, send, shape, time_out, .. } => {
                self.offered(m, link, *task, *send, *shape, *time_out);
            }
            Message::Recall { task, send } => {
                self.is_over(*task, *send);
                let machine = &mut self.machines[m];
                let before = machine.line.len();
                machine.line.retain(|(t, s, _)| (t, s) != (task, send));
                if machine.line.len() < before {
                    self.closes(m, *task, *send, Ending::Recalled, Reason::Untold);
                }
            }
            Message::Stop { task, send, moves } => {
                self.is_over(*task, *send);
                let at = self.machines[m].held.iter().position(|h| (h.task, h.send) == (*task, *send));
                if let Some(at) = at {
                    self.ends(m, at, if *moves { Ending::Moved } else { Ending::Stopped });
                }
            }
            Message::Disown { task, send } => {
                self.is_over(*task, *send);
                // Known for as long as answers are kept.
                let known = |sent: &Sent| self.now < sent.at + settings().remember.nanos();
                let gone = |task: &Task| task.withdrawal_heard && task.sends.get(send).is_some_and(known);
                let gone = self.tasks.get(task).is_some_and(gone);
                let held = &mut self.machines[m].held;
                if let Some(held) = held.iter_mut().find(|h| (h.task, h.send) == (*task, *send)) {
                    assert!(
                        !gone || self.reads_old,
                        "task {task}: a copy that its owner withdrew is left to run"
                    );
                    held.disowned = true;
                }
            }
            Message::Claim { task, send, key, .. } => {
                let held = &mut self.machines[m].held;
                match held.iter_mut().find(|held| held.disowned && held.shape.key == *key) {
                    Some(held) => {
                        (held.task, held.send, held.disowned) = (*task, *send, false);
                        self.met.claims += 1;
                        self.accepts(m, link, *task, *send);
                    }
                    None => self.closes(m, *task, *send, Ending::Nacked, Reason::NotHere),
                }
            }
            Message::Ping { nonce } => drop(self.tell(link, &Message::Pong { nonce: *nonce })),
            Message::Heard { task, send } => {
                self.machines[m].untold.retain(|(t, s, ..)| (t, s) != (task, send));
            }
            _ => {}
        }
    }

    fn is_over(&mut self, task: u64, send: u32) {
        if let Some(sent) = self.sent(task, send) {
            sent.over = true;
        }
    }

    fn greet(&mut self, m: usize, link: ConnectionId) {
        let machine = &mut self.machines[m];
        machine.greeted = true;
        let life = machine.life;
        // What waited on an older connection can't be answered: it is dropped.
        machine.line.clear();
        if machine.up_at.is_some() {
            machine.cold_known_at.get_or_insert(self.now);
        }
        let held = machine.held.iter().filter(|held| !held.disowned);
        let mut tasks: Vec<protocol::Held<'_>> = held
            .map(|held| protocol::Held {
                task: held.task,
                send: held.send,
                shape: held.shape,
                owner: "owner",
                ended: None,
                runs: true,
            })
            .collect();
        tasks.extend(machine.untold.iter().map(|(task, send, shape, ending)| protocol::Held {
            task: *task,
            send: *send,
            shape: *shape,
            owner: "owner",
            ended: Some(*ending),
            runs: false,
        }));
        let told: Vec<(u64, u32, bool)> = tasks.iter().map(|h| (h.task, h.send, h.ended.is_some())).collect();
        let holds = Message::Holds { tasks, last: true };
        let mut bytes = Vec::new();
        let welcome = Message::Welcome { version: 1, features: 0, name: "m", life, silence: None };
        [welcome, holds].iter().for_each(|message| protocol::encode(message, &mut bytes));
        let now = self.time();
        self.engine.on_data(now, link, &bytes);
        // What this proves of the sends of older connections.
        for (id, task) in &mut self.tasks {
            for (n, sent) in task.sends.iter_mut().filter(|(_, s)| s.machine == m && s.link != link) {
                match told.iter().find(|(t, s, _)| (t, s) == (id, n)) {
                    Some((_, _, ended)) if *ended => sent.over = true,
                    Some(_) => (sent.cut, sent.link) = (sent.cut && !sent.accepted, link),
                    None => {
                        sent.over = true;
                        sent.never_ran |= sent.life == life && !sent.taken;
                    }
                }
            }
        }
    }

    /// Rules 1 to 5, at each offer that a machine reads.
    fn offered(&mut self, m: usize, link: ConnectionId, id: u64, send: u32, shape: Shape, time_out: u64) {
        let now = self.now;
        let cases = settings().use_cases;
        let case = &cases[shape.use_case as usize];
        let task = self.tasks.get(&id).expect("a task of ours");
        assert!(task.answer.is_none(), "rule 1: task {id} is offered after its answer {:?}", task.answer);
        assert!(!task.withdrawal_heard, "task {id} is offered after its owner withdrew it");
        // A system's buffer gives away after a standstill what was written before it, and how long a
        // standstill was is known to a heartbeat.
        assert!(
            now <= task.deadline + ANSWER_SLACK || self.reads_old,
            "task {id} is offered after its client timeout"
        );
        assert!(time_out > 0, "task {id} is offered when its own time-out has passed");
        self.met.sent_again += u64::from(!task.sends.is_empty());
        if let Some(first) = task.sends.values().find(|sent| !sent.never_ran) {
            match case.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => {
                    panic!("rule 2: single-use task {id} is sent again: {:?}", task.sends)
                }
                Idempotency::Keyed { window, .. } => {
                    assert_eq!(cell(first.machine), cell(m), "rule 2: task {id} left its group");
                    let within = now <= first.at + window.nanos() || self.reads_old;
                    assert!(within, "rule 2: task {id} is sent again after its window");
                }
            }
        }
        assert!(!self.machines[m].closed, "rule 3: task {id} is offered to machine {m}, which is closed");
        let cold = settings().cold;
        let machine = &mut self.machines[m];
        let is_cold = machine.up_at.is_some_and(|up| now < up + cold.warm_up_time.nanos());
        if is_cold && machine.cold_known_at.is_some() {
            self.met.cold_offers += 1;
            machine.cold_offers.push_back(now);
            machine.cold_offers.retain(|at| now - at < cold.budget_window.nanos());
            let many = machine.cold_offers.len();
            assert!(many <= YOUNG_LIMIT, "rule 4: {many} offers reach cold machine {m} within its window");
        }
        machine.line.push_back((id, send, shape));
        let sent = Sent {
            machine: m,
            life: machine.life,
            link,
            at: now,
            gives_up_at: now + time_out,
            taken: false,
            accepted: false,
            over: false,
            cut: false,
            never_ran: false,
        };
        self.tasks.get_mut(&id).expect("is there").sends.insert(send, sent);
        self.met.spread_sends += u64::from(case.spread.is_some());
        self.offers.push((id, m));
    }

    /// Whether the planner still counts on a send: as far as the machine reads, it was not called back.
    fn is_out(&self, sent: &Sent) -> bool {
        let unread = self.machines[sent.machine].deaf;
        !unread && !sent.over && !sent.cut && (sent.accepted || self.now < sent.gives_up_at)
    }

    /// What was written together is looked at together, since a call back may be read after the next offer.
    fn check_offers(&mut self) {
        let cases = settings().use_cases;
        for id in std::mem::take(&mut self.nacked) {
            let out = self.tasks[&id].sends.values().any(|sent| self.is_out(sent));
            assert!(
                !out,
                "rule 2: task {id} is nacked with a send out at {}: {:?}",
                self.now, self.tasks[&id]
            );
        }
        for (id, m) in std::mem::take(&mut self.offers) {
            let task = &self.tasks[&id];
            let out: Vec<u32> = task.sends.iter().filter(|(_, s)| self.is_out(s)).map(|(n, _)| *n).collect();
            assert!(out.len() <= 1, "rule 2: sends {out:?} of task {id} are out at once");
            let task = self.tasks.get_mut(&id).expect("is there");
            // Whoever sends again has given up the sends before, whatever becomes of them.
            task.sends.values_mut().rev().skip(1).for_each(|sent| sent.over = true);
            let task = &self.tasks[&id];
            let Some((reach, most)) = cases[task.shape.use_case as usize].spread else { continue };
            let within = |sent: &&Sent| match reach {
                FailureDomain::Machine => sent.machine == m,
                _ => cell(sent.machine) == cell(m),
            };
            let same = self.tasks.values().filter(|t| t.shape.service == task.shape.service);
            let held = same.filter(|t| t.sends.values().filter(within).any(|sent| self.is_out(sent))).count();
            assert!(held <= most, "rule 5: {held} tasks of service {} by machine {m}", task.shape.service);
        }
    }

    fn accepts(&mut self, m: usize, link: ConnectionId, task: u64, send: u32) {
        if self.machine_tells(m, &Message::Accepted { task, send }) {
            let (now, life) = (self.now, self.machines[m].life);
            let Some(task) = self.tasks.get_mut(&task) else { return };
            let sent = task.sends.entry(send).or_insert(Sent {
                machine: m,
                life,
                link,
                at: now,
                gives_up_at: now,
                taken: true,
                accepted: true,
                over: false,
                cut: false,
                never_ran: false,
            });
            sent.accepted = !sent.over;
        }
    }

    /// What it holds there ends; that is told again until it was heard.
    fn ends(&mut self, m: usize, at: usize, ending: Ending) {
        let Held { task, send, shape, .. } = self.machines[m].held.remove(at);
        self.machines[m].untold.push((task, send, shape, ending));
        self.closes(m, task, send, ending, Reason::Untold);
    }

    fn closes(&mut self, m: usize, task: u64, send: u32, ending: Ending, reason: Reason) {
        if self.machine_tells(m, &Message::Closed { task, send, ending, reason })
            && let Some(sent) = self.sent(task, send)
        {
            sent.over = true;
            sent.never_ran |= !sent.taken && matches!(ending, Ending::Nacked | Ending::Recalled);
        }
    }

    fn at_owner(&mut self, link: ConnectionId, message: &Message<'_>) {
        let (id, answer) = match message {
            Message::Taken { task } => {
                self.tasks.get_mut(task).expect("it asked").taken = true;
                return;
            }
            Message::Placed { task, machine } => {
                let sends = self.tasks.get_mut(task).into_iter().flat_map(|task| task.sends.values_mut());
                let there = |sent: &&mut Sent| sent.machine as u64 + 1 == *machine && !sent.over;
                sends.filter(there).for_each(|sent| (sent.accepted, sent.cut) = (true, false));
                (*task, Answer::Placed)
            }
            Message::Nacked { task, .. } => (*task, Answer::Nacked),
            Message::Errored { task } => (*task, Answer::Errored),
            Message::Ended { task, .. } => {
                let Some(task) = self.tasks.get_mut(task) else { return };
                // Placed and over while the owner was away.
                task.answer.get_or_insert(Answer::Placed);
                return;
            }
            Message::Unknown { task } => {
                let known = self.tasks.get(task).is_some_and(|task| task.taken);
                assert!(!known, "rule 1: task {task} was taken and is not known any more");
                return;
            }
            Message::Ping { nonce } => return drop(self.tell(link, &Message::Pong { nonce: *nonce })),
            _ => return,
        };
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let asked = task.questions > 0;
        task.questions = task.questions.saturating_sub(1);
        match task.answer {
            Some(before) => {
                assert!(
                    before == answer && asked,
                    "rule 1: task {id} is answered {before:?}, then {answer:?}"
                );
            }
            None => {
                assert!(!task.withdrawal_heard || asked, "task {id} is answered after its owner withdrew it");
                let at = task.deadline + ANSWER_SLACK;
                assert!(
                    self.now <= at || asked || self.after_standstill,
                    "rule 1: task {id} is answered late"
                );
                task.answer = Some(answer);
                self.met.answers += 1;
            }
        }
        if answer == Answer::Nacked {
            self.nacked.push(id);
            let harmless = [0, 3].contains(&task.shape.use_case);
            let ran = task.sends.values().any(|sent| !sent.never_ran);
            assert!(harmless || !ran, "rule 2: task {id} is nacked though it may have run");
        }
    }

    fn owner_comes(&mut self) {
        if self.owner.is_some() {
            return;
        }
        let link = self.engine.connections().register();
        self.owner = Some(link);
        let now = self.time();
        self.engine.on_connection_accepted(now, link, ListenerId(0));
        self.tell(
            link,
            &Message::hello(Conversation::ClientPlanner, protocol::HAS_TASKS, "owner", 1, self.now),
        );
        let open: Vec<u64> = self
            .tasks
            .iter_mut()
            .filter(|(_, task)| task.taken && task.answer.is_none() && !task.withdrawn)
            .map(|(id, task)| {
                task.questions += 1;
                *id
            })
            .collect();
        for task in open {
            self.tell(link, &Message::Learn { task });
        }
    }

    fn listed(&mut self, m: usize, mode: Mode) {
        let machine = &mut self.machines[m];
        let closes = mode != Mode::Active;
        machine.closed &= closes;
        if !std::mem::replace(&mut machine.closed_said, closes) && closes {
            self.met.drains += 1;
        }
        if machine.up_at.is_some() {
            machine.cold_known_at.get_or_insert(self.now);
        }
        let address = format!("m{}", m + 1);
        let entry = protocol::Entry {
            machine: m as u64 + 1,
            address: &address,
            kind: 0,
            cell: cell(m) as u32,
            zone: 0,
            mode,
            life: machine.life,
            up_for: machine.up_at.map(|at| self.now - at),
            cores_left: Some(16.0),
            memory_left: Some(32.0),
        };
        let link = self.list;
        let kind = protocol::ListKind::Changes;
        self.tell(link, &Message::List { kind, version: 1, entries: vec![entry] });
    }

    /// A task by its number among all that were asked for.
    fn task(&self, n: usize) -> Option<u64> {
        self.tasks.keys().nth(n % self.tasks.len().max(1)).copied()
    }

    /// How far the planner is with a task.
    fn stage(&self, id: u64) -> &'static str {
        let desk = self.engine.desk.borrow();
        let Some(job) = desk.jobs.get(&TaskId(id)) else { return "over or unread" };
        let Some(open) = job.open else { return "pending" };
        let spot = desk.machines.get(&open.machine);
        match open.link {
            _ if job.claiming => "claimed",
            _ if open.stopping => "being stopped",
            _ if open.placed => "placed",
            None if spot.is_some_and(|spot| spot.ready().is_some()) => "behind a gate",
            None => "waiting for a connection",
            Some(link) if desk.links.unwritten(link) > 0 => "unwritten",
            Some(_) => "unanswered",
        }
    }

    fn ends_link(&mut self, m: usize) {
        if let Some(link) = self.machines[m].link.take() {
            self.machines[m].greeted = false;
            self.coming.retain(|(coming, _)| *coming != link);
            self.cut(link);
            let now = self.time();
            self.engine.on_closed(now, link, CloseReason::Broken);
        }
    }

    fn happens(&mut self, event: &Event) {
        match event {
            Event::Ask { case, service, patience } => {
                let Some(link) = self.owner else { return };
                let (id, now) = (self.next_task, self.now);
                self.next_task += 1;
                let service = *service + 10 * *case as u64;
                let shape =
                    Shape { key: id, use_case: *case as u32, service, cores: 1.0, memory: 1.0, again: false };
                self.tasks.insert(id, Task::new(shape, now + patience * MS));
                self.tell(link, &Message::Ask { task: id, shape, patience: patience * MS, clock: now });
            }
            Event::Withdraw(n) => {
                let Some(link) = self.owner else { return };
                let id = self.task(*n).unwrap_or(9_999);
                self.withdraw(link, id);
            }
            Event::Answers(m, word) => self.answers(*m, *word),
            Event::Ends(m, ending) => {
                if self.machines[*m].held.first().is_some_and(|held| !held.disowned) {
                    self.ends(*m, 0, *ending);
                }
            }
            Event::SaysAgain(m) => {
                let machine = &self.machines[*m];
                if let (Some(link), true, Some(words)) =
                    (machine.link, machine.greeted, machine.last_words.clone())
                {
                    let now = self.time();
                    self.engine.on_data(now, link, &words);
                }
            }
            Event::Odd(m, task) => {
                // A send of this number was never made.
                let (task, send) = (*task, 77);
                let odd = match task % 3 {
                    0 => Message::Accepted { task, send },
                    1 => Message::Closed { task, send, ending: Ending::Done, reason: Reason::Untold },
                    _ => Message::Runs { task, send },
                };
                let words = self.machines[*m].last_words.take();
                self.machine_tells(*m, &odd);
                self.machines[*m].last_words = words;
            }
            Event::Notes(m, served, memory) => {
                let Some(held) = self.machines[*m].held.first() else { return };
                let (task, part) = (held.task, |byte: &u8| Some(f64::from(*byte) / 255.0));
                let note = Message::Note {
                    task,
                    cores: part(served),
                    memory: Some(0.5),
                    served: part(served),
                    machine_memory: part(memory),
                };
                self.machine_tells(*m, &note);
            }
            Event::Breaks(m) => self.ends_link(*m),
            Event::Refuses(m) => {
                let refuses = !self.machines[*m].refuses;
                self.machines[*m].refuses = refuses;
                if refuses {
                    self.ends_link(*m);
                }
            }
            Event::Restarts(m) => {
                self.ends_link(*m);
                let machine = &mut self.machines[*m];
                machine.life += 1_000;
                (machine.up_at, machine.cold_known_at) = (Some(self.now), None);
                machine.cold_offers.clear();
                machine.line.clear();
                machine.held.clear();
                machine.untold.clear();
                machine.last_words = None;
            }
            Event::Deaf(m) => {
                self.machines[*m].deaf = !self.machines[*m].deaf;
                if !self.machines[*m].deaf {
                    self.hears_again(*m);
                }
            }
            Event::Listed(m, mode) => self.listed(*m, *mode),
            Event::OwnerGoes => {
                if let Some(link) = self.owner.take() {
                    let now = self.time();
                    self.engine.on_closed(now, link, CloseReason::Broken);
                }
            }
            Event::OwnerComes => self.owner_comes(),
            Event::HandsOver(n) => {
                // A copy that nobody holds, where there is one.
                let free = self.machines.iter().enumerate().flat_map(|(m, machine)| {
                    machine.held.iter().filter(|held| held.disowned).map(move |held| (m, held.shape))
                });
                let free: Vec<(usize, Shape)> = free.collect();
                let any = self.task(*n).map(|id| (*n % MACHINES, self.tasks[&id].shape));
                let copy = free.get(*n % free.len().max(1)).copied().or(any);
                let (Some(link), Some((m, shape))) = (self.owner, copy) else { return };
                let machine = m as u64 + 1;
                let task = self.next_task;
                self.next_task += 1;
                self.tasks.insert(task, Task::new(shape, u64::MAX - ANSWER_SLACK));
                self.tell(link, &Message::HandOver { task, shape, machine });
            }
            Event::Passes(ms) => self.passes(*ms),
            Event::Stands(ms) => {
                self.met.stood += 1;
                self.now += ms * MS;
                self.after_standstill = true;
            }
        }
    }

    fn hears_again(&mut self, m: usize) {
        self.come_up();
        if let Some(link) = self.machines[m].link {
            self.reads_old = true;
            self.take(link);
            self.reads_old = false;
        }
    }

    fn withdraw(&mut self, link: ConnectionId, id: u64) {
        let stage = self.stage(id);
        *self.met.withdrawn.entry(stage).or_default() += 1;
        if self.after_standstill {
            *self.met.withdrawn.entry("after a standstill").or_default() += 1;
        }
        if let Some(task) = self.tasks.get_mut(&id) {
            task.withdrawn = true;
            self.said_withdrawn.push(id);
        }
        self.tell(link, &Message::Withdraw { task: id });
    }

    fn answers(&mut self, m: usize, word: Word) {
        let Some((task, send, shape)) = self.machines[m].line.pop_front() else { return };
        match word {
            Word::Accepts => {
                self.machines[m].held.push(Held { task, send, shape, disowned: false });
                if let Some(sent) = self.sent(task, send) {
                    sent.taken = true;
                }
                let link = self.machines[m].link.unwrap_or(ConnectionId(u64::MAX));
                self.accepts(m, link, task, send);
            }
            Word::Nacks(reason) => self.closes(m, task, send, Ending::Nacked, reason),
            // Dropped unaccepted, where nobody can be told.
            Word::Errs if !self.machines[m].greeted => {}
            Word::Errs => {
                if let Some(sent) = self.sent(task, send) {
                    sent.taken = true;
                }
                self.closes(m, task, send, Ending::Errored, Reason::Untold);
            }
            Word::Swallows => {}
        }
    }

    /// Time as it passes for a process that goes on: it has its turns when it wants them.
    fn passes(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        self.turn();
        while self.now < end {
            let wake = self.engine.next_wakeup().map_or(end, Timestamp::nanos);
            let waits: Vec<(u64, &'static str)> = self
                .tasks
                .iter()
                .filter(|(_, task)| task.taken && task.answer.is_none() && !task.withdrawn)
                .filter(|(_, task)| task.deadline > self.now && task.deadline <= end.min(wake))
                .map(|(id, _)| (*id, self.stage(*id)))
                .collect();
            for (_, stage) in waits {
                *self.met.timed_out.entry(stage).or_default() += 1;
            }
            self.now = wake.clamp(self.now + 1, end);
            self.turn();
        }
    }

    /// All falls quiet: machines hear and answer, the owner withdraws whatever it asked for.
    fn falls_quiet(&mut self) {
        self.owner_comes();
        self.passes(10);
        for m in 0..MACHINES {
            (self.machines[m].deaf, self.machines[m].refuses) = (false, false);
            self.hears_again(m);
            self.listed(m, Mode::Active);
        }
        // What was withdrawn before is not withdrawn again.
        let wanted: Vec<u64> =
            self.tasks.iter().filter(|(_, task)| !task.withdrawn).map(|(id, _)| *id).collect();
        for id in wanted {
            let link = self.owner.expect("is there");
            self.withdraw(link, id);
        }
        for _ in 0..30 {
            for m in 0..MACHINES {
                while !self.machines[m].line.is_empty() {
                    self.answers(m, Word::Accepts);
                }
            }
            self.passes(500);
        }
        for machine in &self.machines {
            let left: Vec<&Held> = machine.held.iter().filter(|held| !held.disowned).collect();
            assert!(left.is_empty(), "withdrawn, and they run on: {left:?}");
        }
        // Long enough for all that is kept for late answers.
        self.passes(70_000);
        let desk = self.engine.desk.borrow();
        assert!(desk.jobs.is_empty(), "tasks in hand: {:?}", desk.jobs);
        assert_eq!(desk.admission.in_hand(), 0, "room in hand");
        assert_eq!((desk.late.len(), desk.answered.len(), desk.to_forget.len()), (0, 0, 0), "kept for later");
        assert_eq!((desk.marks_held(), desk.closings.len()), (0, 0), "marks and ends to be told");
        for spot in desk.machines.values() {
            assert!(spot.waiting.is_empty() && spot.told.is_empty(), "machine {}: offers wait", spot.id.0);
        }
        assert!(desk.peers.values().all(|peer| peer.in_hand == 0), "tasks in hand of a connection");
        assert!(desk.timers.len() < 40, "{} timers", desk.timers.len());
    }
}

/// Plays so many days from this seed; adds up what they met.
fn plays(seed: u8, days: u32) -> Met {
    let config = Config { cases: days, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let met = std::cell::RefCell::new(Met::default());
    let played = runner.run(&day(), |Day(events)| {
        let mut world = World::new(u64::from(seed));
        for (event, turn) in &events {
            world.happens(event);
            match turn {
                Turn::Whole => world.turn(),
                Turn::Early => world.early_turn(),
                Turn::None => {}
            }
        }
        world.falls_quiet();
        let mut sum = met.borrow_mut();
        let new = world.met;
        sum.answers += new.answers;
        sum.sent_again += new.sent_again;
        sum.drains += new.drains;
        sum.cold_offers += new.cold_offers;
        sum.spread_sends += new.spread_sends;
        sum.stood += new.stood;
        sum.claims += new.claims;
        new.withdrawn.into_iter().for_each(|(stage, n)| *sum.withdrawn.entry(stage).or_default() += n);
        new.timed_out.into_iter().for_each(|(stage, n)| *sum.timed_out.entry(stage).or_default() += n);
        Ok(())
    });
    if let Err(failed) = played {
        panic!("seed {seed}: {failed}");
    }
    met.into_inner()
}

#[test]
fn the_five_rules_hold_over_drawn_events_and_all_tallies_come_back_to_nought() {
    let all: Vec<Met> = std::thread::scope(|scope| {
        let running: Vec<_> = (1..=4).map(|seed| scope.spawn(move || plays(seed, 500))).collect();
        running.into_iter().map(|thread| thread.join().expect("a property fails")).collect()
    });
    assert!(all.iter().map(|met| met.claims).sum::<u64>() >= 10, "tasks were hardly handed over");
    for met in all {
        println!("{met:?}");
        let rules = [met.answers, met.sent_again, met.drains, met.cold_offers, met.spread_sends, met.stood];
        assert!(rules.iter().all(|cases| *cases > 200), "a rule was hardly met: {met:?}");
        // Pending, waiting for a connection, behind a gate, unwritten, unanswered, placed, being stopped,
        // claimed, over; and once more after a standstill.
        let many = met.withdrawn.values().filter(|times| **times >= 3).count();
        assert!(many == 10 && met.timed_out.len() >= 6, "a stage was hardly met: {met:?}");
    }
}
