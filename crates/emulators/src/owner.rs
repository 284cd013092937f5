//! Those who ask for tasks: a product team's deploy tool, say, with services of several tasks each.
//!
//! From the published rules: an owner asks again after a nack, an error, a move or a loss, later after many;
//! where a send may have run and a second start could do harm it waits first; a task that proves to run is
//! handed to a planner. Guessed: an owner keeps one connection to each planner that it knows, spreads its
//! tasks over those that are up, and asks what became of its tasks when a connection is up again.

use crate::dice::Dice;
use crate::plan::{Planned, planned_key};
use crate::worth::{Tally, Worth};
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_protocol::{self as protocol, Bad, Conversation, Ending, Frames, Message, Shape};
use mulleinhub_sans_io::{CloseReason, ConnectionId, Connections, ListenerId, StateMachine, Timers};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What an owner knows of a use case.
#[derive(Clone, Debug)]
pub struct ServiceCase {
    /// Of all services, so much have this use case.
    pub share: f64,
    pub soft_limit: Duration,
    pub client_timeout: Duration,
    /// A second start could do harm.
    pub harms: bool,
    /// Cores and memory that a task may ask for.
    pub asks: Vec<(f64, f64)>,
    pub lives: (Duration, Duration),
    /// Tasks that a service asks for at once.
    pub batch: (usize, usize),
}

#[derive(Clone, Debug)]
pub struct OwnerSettings {
    pub name: String,
    pub number: u32,
    pub cases: Vec<ServiceCase>,
    /// Addresses of the planners that it asks.
    pub planners: Vec<String>,
    /// Tasks a second that it wants anew.
    pub rate: f64,
    /// It wants nothing new from then on.
    pub until: Timestamp,
    /// After a nack, an error or an eviction it waits at least so long, and at most.
    pub again: (Duration, Duration),
    /// Where a send may have run and a second start could do harm.
    pub settle: Duration,
    pub reconnect: Duration,
    /// In the order of their instants; an owner that has some wants nothing else.
    pub planned: Arc<Vec<Planned>>,
}

/// What drives an owner harder or otherwise than usual.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    pub rate: f64,
    /// The part of new services that repeat one and the same service.
    pub hot: f64,
}

impl Default for Load {
    fn default() -> Self {
        Self { rate: 1.0, hot: 0.0 }
    }
}

/// What an owner saw.
#[derive(Clone, Debug, Default)]
pub struct OwnerTally {
    pub asked: Tally,
    pub in_time: Tally,
    pub first_starts: Vec<u64>,
    pub starts_in_time: Vec<u64>,
    pub placed: u64,
    pub nacked: u64,
    pub errored: u64,
    /// Answers that had not come when the client timeout was over.
    pub unanswered: u64,
    pub lost: u64,
    pub handed_over: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Asked at this planner, under this id.
    Asking {
        id: u64,
        planner: usize,
        until: Timestamp,
    },
    HandingOver {
        id: u64,
        planner: usize,
        until: Timestamp,
    },
    Placed {
        id: u64,
        planner: usize,
    },
    /// Comes again then.
    Waiting {
        at: Timestamp,
    },
    /// Withdrawn; its end is still to come.
    Ending {
        id: u64,
        planner: usize,
    },
    Over,
}

struct Want {
    shape: Shape,
    since: Timestamp,
    until: Timestamp,
    state: State,
    failures: u32,
    started: bool,
    /// When its wanted seconds were booked last, and what they are worth so far.
    booked: Timestamp,
    asked: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    NewService,
    Planned(usize),
    Look(u64),
    Reconnect(usize),
}

struct Desk {
    link: Option<ConnectionId>,
    up: bool,
    frames: Frames,
}

pub struct Owner {
    pub settings: OwnerSettings,
    pub load: Load,
    pub tally: OwnerTally,
    worth: Worth,
    links: Connections,
    desks: Vec<Desk>,
    wants: BTreeMap<u64, Want>,
    by_id: BTreeMap<u64, u64>,
    timers: Timers<Due>,
    next_id: u64,
    next_key: u64,
    turn_of: usize,
    hot_service: Option<(u32, u64, (f64, f64))>,
    dice: Dice,
    begun: bool,
    scratch: Vec<u8>,
}

impl Owner {
    pub fn new(settings: OwnerSettings, worth: Worth, seed: u64) -> Self {
        let dice = Dice::new(seed, &settings.name);
        let desk = || Desk { link: None, up: false, frames: Frames::default() };
        let desks = settings.planners.iter().map(|_| desk()).collect();
        let first = u64::from(settings.number) << 40;
        let planned = settings.planned.len() as u64;
        Self {
            settings,
            load: Load::default(),
            tally: OwnerTally::default(),
            worth,
            links: Connections::default(),
            desks,
            wants: BTreeMap::new(),
            by_id: BTreeMap::new(),
            timers: Timers::default(),
            next_id: first,
            next_key: first + planned,
            turn_of: 0,
            hot_service: None,
            dice,
            begun: false,
            scratch: Vec::new(),
        }
    }

    /// Tasks that wait for an answer, and that run.
    pub fn in_hand(&self) -> (usize, usize) {
        let runs = self.wants.values().filter(|want| matches!(want.state, State::Placed { .. })).count();
        let over = self.wants.values().filter(|want| want.state == State::Over).count();
        (self.wants.len() - runs - over, runs)
    }

    /// A task of this key runs for the first time on some machine.
    pub fn started(&mut self, now: Timestamp, key: u64) {
        let Some(want) = self.wants.get_mut(&key) else { return };
        if std::mem::replace(&mut want.started, true) {
            return;
        }
        let case = want.shape.use_case as usize;
        count(&mut self.tally.first_starts, case);
        if now - want.since <= self.settings.cases[case].soft_limit {
            count(&mut self.tally.starts_in_time, case);
            let start = self.worth.start(case as u32, want.shape.cores, want.shape.memory);
            self.tally.in_time.add(case as u32, start);
        }
    }

    /// Books what is wanted up to now.
    pub fn book(&mut self, now: Timestamp) {
        for want in self.wants.values_mut() {
            book_one(&mut self.tally, &self.worth, want, now);
        }
    }

    /// Of what machines earned with a task, what its owner wanted: a copy that ran on earns nothing more.
    pub fn wanted(&self, key: u64, earned: f64) -> Option<(u32, f64)> {
        let want = self.wants.get(&key)?;
        Some((want.shape.use_case, earned.min(want.asked)))
    }

    /// Drops all connections; they come again within a moment.
    pub fn drops_connections(&mut self, now: Timestamp) {
        for planner in 0..self.desks.len() {
            if let Some(link) = self.desks[planner].link.take() {
                self.links.abort(link);
                self.gone(now, planner, Duration::ZERO);
            }
        }
    }

    /// Stops this part of its services and asks for all their tasks again.
    pub fn asks_again(&mut self, now: Timestamp, share: f64) {
        let services: Vec<u64> = self.wants.values().map(|want| want.shape.service).collect();
        let mut chosen = BTreeMap::new();
        for service in services {
            chosen.entry(service).or_insert_with(|| self.dice.happens(share));
        }
        let keys: Vec<u64> = self
            .wants
            .iter()
            .filter(|(_, w)| chosen[&w.shape.service] && w.state != State::Over)
            .map(|(k, _)| *k)
            .collect();
        for key in keys {
            let want = &self.wants[&key];
            let (shape, until) = (want.shape, want.until);
            self.no_longer_wanted(now, key);
            let key = self.fresh_key();
            self.want(now, Shape { key, ..shape }, until);
        }
    }

    fn fresh_key(&mut self) -> u64 {
        self.next_key += 1;
        self.next_key
    }

    fn write(&mut self, planner: usize, message: &Message<'_>) {
        if let Some(link) = self.desks[planner].link {
            self.scratch.clear();
            protocol::encode(message, &mut self.scratch);
            self.links.send(link, &self.scratch, None);
        }
    }

    fn open(&mut self, planner: usize) {
        if self.desks[planner].link.is_none() {
            let link = self.links.open(&self.settings.planners[planner].clone());
            self.desks[planner] = Desk { link: Some(link), up: false, frames: Frames::default() };
        }
    }

    fn gone(&mut self, now: Timestamp, planner: usize, after: Duration) {
        self.desks[planner] = Desk { link: None, up: false, frames: Frames::default() };
        self.timers.schedule(now + after, Due::Reconnect(planner));
    }

    fn new_service(&mut self, now: Timestamp) {
        let draw = self.dice.between(0.0, self.settings.cases.iter().map(|case| case.share).sum());
        let mut sum = 0.0;
        let mut chosen = self.settings.cases.len() - 1;
        for (n, case) in self.settings.cases.iter().enumerate() {
            sum += case.share;
            if draw < sum {
                chosen = n;
                break;
            }
        }
        let case = self.settings.cases[chosen].clone();
        let ask = case.asks[self.dice.below(case.asks.len())];
        let mut service = (chosen as u32, self.dice.number(), ask);
        if self.dice.happens(self.load.hot) {
            service = *self.hot_service.get_or_insert(service);
        }
        let (use_case, service, (cores, memory)) = service;
        let case = &self.settings.cases[use_case as usize];
        let (lives, batch) = (case.lives, case.batch);
        let tasks = batch.0 + self.dice.below(batch.1 - batch.0 + 1);
        for _ in 0..tasks {
            let key = self.fresh_key();
            let life = self.dice.span(lives.0, lives.1);
            self.want(now, Shape { key, use_case, service, cores, memory, again: false }, now + life);
        }
        let mean =
            self.settings.cases.iter().map(|c| c.share * (c.batch.0 + c.batch.1) as f64 / 2.0).sum::<f64>()
                / self.settings.cases.iter().map(|c| c.share).sum::<f64>();
        let rate = (self.settings.rate * self.load.rate).max(1e-6);
        let wait = self.dice.wait(Duration::from_nanos((mean / rate * 1e9) as u64));
        if now + wait < self.settings.until {
            self.timers.schedule(now + wait, Due::NewService);
        }
    }

    /// Asks for all that is planned up to now.
    fn planned(&mut self, now: Timestamp, first: usize) {
        let planned = self.settings.planned.clone();
        for (n, task) in planned.iter().enumerate().skip(first) {
            if task.at > now {
                return self.timers.schedule(task.at, Due::Planned(n));
            }
            let shape = Shape {
                key: planned_key(self.settings.number, n),
                use_case: task.use_case,
                service: task.service,
                cores: task.cores,
                memory: task.memory,
                again: false,
            };
            self.want(now, shape, task.until);
        }
    }

    fn want(&mut self, now: Timestamp, shape: Shape, until: Timestamp) {
        let key = shape.key;
        let state = State::Waiting { at: now };
        let want =
            Want { shape, since: now, until, state, failures: 0, started: false, booked: now, asked: 0.0 };
        self.wants.insert(key, want);
        let start = self.worth.start(shape.use_case, shape.cores, shape.memory);
        self.tally.asked.add(shape.use_case, start);
        self.timers.schedule(until, Due::Look(key));
        self.ask(now, key);
    }

    fn fresh_id(&mut self, key: u64) -> u64 {
        self.next_id += 1;
        self.by_id.insert(self.next_id, key);
        self.next_id
    }

    /// Asks one of the planners that are up, in turn; waits a moment where none is.
    fn ask(&mut self, now: Timestamp, key: u64) {
        let all = self.desks.len();
        let next = (0..all).map(|n| (self.turn_of + n) % all).find(|n| self.desks[*n].up);
        self.turn_of = (self.turn_of + 1) % all.max(1);
        let Some(planner) = next else {
            let at = now + self.settings.reconnect;
            self.wants.get_mut(&key).expect("is wanted").state = State::Waiting { at };
            self.timers.schedule(at, Due::Look(key));
            return;
        };
        let id = self.fresh_id(key);
        let want = self.wants.get_mut(&key).expect("is wanted");
        let patience = self.settings.cases[want.shape.use_case as usize].client_timeout;
        let until = now + patience;
        want.state = State::Asking { id, planner, until };
        let shape = want.shape;
        // Beyond the slack that the rules allow nothing comes any more.
        self.timers.schedule(until + patience * 0.25, Due::Look(key));
        self.write(
            planner,
            &Message::Ask { task: id, shape, patience: patience.nanos(), clock: now.nanos() },
        );
    }

    /// The last ask came to nothing: it comes again, unless its time is over.
    fn comes_again(&mut self, now: Timestamp, key: u64, wait: Duration) {
        let Some(want) = self.wants.get_mut(&key) else { return };
        want.shape.again = true;
        want.failures += 1;
        let at = now + wait;
        if at >= want.until {
            want.state = State::Over;
            return;
        }
        want.state = State::Waiting { at };
        self.timers.schedule(at, Due::Look(key));
    }

    /// Longer after many failures.
    fn patience(&mut self, key: u64) -> Duration {
        let (low, high) = self.settings.again;
        let failures = self.wants.get(&key).map_or(0, |want| want.failures);
        self.dice.span(low, high) * f64::from(1 + failures.min(4)) * 0.5 + low * 0.5
    }

    fn may_run(&mut self, now: Timestamp, key: u64) {
        let Some(want) = self.wants.get(&key) else { return };
        let harms = self.settings.cases[want.shape.use_case as usize].harms;
        let wait = if harms { self.settings.settle } else { self.patience(key) };
        self.comes_again(now, key, wait);
    }

    fn no_longer_wanted(&mut self, now: Timestamp, key: u64) {
        let Some(want) = self.wants.get_mut(&key) else { return };
        book_one(&mut self.tally, &self.worth, want, now);
        want.until = want.until.min(now);
        match want.state {
            State::Asking { id, planner, .. } | State::Placed { id, planner } => {
                want.state = State::Ending { id, planner };
                self.write(planner, &Message::Withdraw { task: id });
            }
            State::HandingOver { id, planner, .. } => want.state = State::Ending { id, planner },
            State::Waiting { .. } => want.state = State::Over,
            State::Ending { .. } | State::Over => {}
        }
    }

    fn look(&mut self, now: Timestamp, key: u64) {
        let Some(want) = self.wants.get(&key) else { return };
        if want.until <= now {
            return self.no_longer_wanted(now, key);
        }
        match want.state {
            State::Waiting { at } if at <= now => self.ask(now, key),
            State::Asking { until, .. } if until < now => {
                let case = &self.settings.cases[want.shape.use_case as usize];
                if now - until >= case.client_timeout * 0.2 {
                    self.tally.unanswered += 1;
                    self.may_run(now, key);
                }
            }
            State::HandingOver { until, .. } if until <= now => self.comes_again(now, key, Duration::ZERO),
            _ => {}
        }
    }

    fn hear(&mut self, now: Timestamp, planner: usize, message: &Message<'_>) -> Result<(), Bad> {
        match message {
            Message::Welcome { .. } => {
                self.desks[planner].up = true;
                self.learn_all(planner);
            }
            Message::Ping { nonce } => self.write(planner, &Message::Pong { nonce: *nonce }),
            Message::Taken { .. } | Message::Pong { .. } | Message::Bye { .. } | Message::Status { .. } => {}
            Message::Placed { task, .. } => self.placed(now, planner, *task),
            Message::Nacked { task, stay_away } => {
                if let Some(key) = self.awaited(*task) {
                    self.tally.nacked += 1;
                    let wait = self.patience(key).max(Duration::from_nanos(*stay_away));
                    self.comes_again(now, key, wait);
                }
            }
            Message::Errored { task } => {
                if let Some(key) = self.awaited(*task) {
                    self.tally.errored += 1;
                    self.may_run(now, key);
                }
            }
            Message::Ended { task, ending } => {
                if let Some(key) = self.current(*task) {
                    self.ends(now, key, *ending);
                }
            }
            Message::Unknown { task } => {
                if let Some(key) = self.current(*task) {
                    self.tally.lost += 1;
                    match self.wants[&key].state {
                        State::Ending { .. } => {
                            self.wants.get_mut(&key).expect("is there").state = State::Over
                        }
                        State::HandingOver { .. } => self.comes_again(now, key, Duration::ZERO),
                        _ => self.may_run(now, key),
                    }
                }
            }
            Message::ProvesToRun { key, machine, .. } => {
                let key = *key;
                let waits = |want: &Want| matches!(want.state, State::Waiting { .. }) && want.until > now;
                if self.wants.get(&key).is_some_and(waits) {
                    let id = self.fresh_id(key);
                    let shape = self.wants[&key].shape;
                    let until = now + self.settings.settle;
                    self.wants.get_mut(&key).expect("is there").state =
                        State::HandingOver { id, planner, until };
                    self.timers.schedule(until, Due::Look(key));
                    self.tally.handed_over += 1;
                    self.write(planner, &Message::HandOver { task: id, shape, machine: *machine });
                }
            }
            _ => return Err(Bad("not a message for an owner".into())),
        }
        Ok(())
    }

    /// The task of this id, where that is its present ask.
    fn current(&self, id: u64) -> Option<u64> {
        let key = *self.by_id.get(&id)?;
        let now = match self.wants.get(&key)?.state {
            State::Asking { id, .. }
            | State::HandingOver { id, .. }
            | State::Placed { id, .. }
            | State::Ending { id, .. } => id,
            State::Waiting { .. } | State::Over => return None,
        };
        (now == id).then_some(key)
    }

    fn awaited(&mut self, id: u64) -> Option<u64> {
        let key = self.current(id)?;
        match self.wants[&key].state {
            State::Asking { .. } | State::HandingOver { .. } => Some(key),
            State::Ending { .. } => {
                self.wants.get_mut(&key).expect("is there").state = State::Over;
                None
            }
            _ => None,
        }
    }

    fn placed(&mut self, now: Timestamp, planner: usize, id: u64) {
        let Some(key) = self.current(id) else {
            // An answer to an ask that was given up: nobody wants that copy.
            if self.by_id.contains_key(&id) {
                self.write(planner, &Message::Withdraw { task: id });
            }
            return;
        };
        let want = self.wants.get_mut(&key).expect("is there");
        match want.state {
            State::Ending { .. } => self.write(planner, &Message::Withdraw { task: id }),
            State::Placed { .. } => {}
            _ => {
                self.tally.placed += 1;
                want.state = State::Placed { id, planner };
                want.failures = 0;
                self.timers.schedule(want.until.max(now), Due::Look(key));
            }
        }
    }

    fn ends(&mut self, now: Timestamp, key: u64, ending: Ending) {
        let want = self.wants.get_mut(&key).expect("is there");
        if matches!(want.state, State::Ending { .. }) {
            want.state = State::Over;
            return;
        }
        match ending {
            Ending::Lost => {
                self.tally.lost += 1;
                let harms = self.settings.cases[want.shape.use_case as usize].harms;
                let wait = if harms { self.settings.settle } else { Duration::ZERO };
                self.comes_again(now, key, wait);
            }
            Ending::Evicted | Ending::Errored => {
                let wait = self.patience(key);
                self.comes_again(now, key, wait);
            }
            _ => self.comes_again(now, key, Duration::ZERO),
        }
    }

    /// A connection is up again: what became of the tasks of that planner?
    fn learn_all(&mut self, planner: usize) {
        let open = |want: &Want| match want.state {
            State::Asking { id, planner: at, .. }
            | State::HandingOver { id, planner: at, .. }
            | State::Placed { id, planner: at }
            | State::Ending { id, planner: at } => (at == planner).then_some((id, want.state)),
            _ => None,
        };
        let asked: Vec<(u64, State)> = self.wants.values().filter_map(open).collect();
        for (id, state) in asked {
            self.write(planner, &Message::Learn { task: id });
            if matches!(state, State::Ending { .. }) {
                self.write(planner, &Message::Withdraw { task: id });
            }
        }
    }
}

impl OwnerTally {
    /// Adds what another owner saw.
    pub fn join(&mut self, other: &Self) {
        self.asked.join(&other.asked);
        self.in_time.join(&other.in_time);
        add(&mut self.first_starts, &other.first_starts);
        add(&mut self.starts_in_time, &other.starts_in_time);
        self.placed += other.placed;
        self.nacked += other.nacked;
        self.errored += other.errored;
        self.unanswered += other.unanswered;
        self.lost += other.lost;
        self.handed_over += other.handed_over;
    }
}

fn add(to: &mut Vec<u64>, from: &[u64]) {
    if to.len() < from.len() {
        to.resize(from.len(), 0);
    }
    to.iter_mut().zip(from).for_each(|(to, from)| *to += from);
}

fn count(counts: &mut Vec<u64>, case: usize) {
    if counts.len() <= case {
        counts.resize(case + 1, 0);
    }
    counts[case] += 1;
}

fn book_one(tally: &mut OwnerTally, worth: &Worth, want: &mut Want, now: Timestamp) {
    let until = now.min(want.until);
    let seconds = (until - want.booked).nanos() as f64 / 1e9;
    want.booked = want.booked.max(until);
    let second = worth.second(want.shape.use_case, want.shape.cores, want.shape.memory);
    want.asked += seconds * second;
    tally.asked.add(want.shape.use_case, seconds * second);
}

impl StateMachine for Owner {
    fn on_connection_accepted(&mut self, _: Timestamp, link: ConnectionId, _: ListenerId) {
        self.links.abort(link);
    }

    fn on_connected(&mut self, now: Timestamp, link: ConnectionId) {
        if let Some(planner) = self.desks.iter().position(|desk| desk.link == Some(link)) {
            let name = self.settings.name.clone();
            let out = |want: &Want| match want.state {
                State::Asking { planner: at, .. } | State::Placed { planner: at, .. } => at == planner,
                _ => false,
            };
            let has_tasks = self.wants.values().any(out);
            self.write(
                planner,
                &Message::hello(
                    Conversation::ClientPlanner,
                    if has_tasks { protocol::HAS_TASKS } else { 0 },
                    &name,
                    1,
                    now.nanos(),
                ),
            );
        }
    }

    fn on_data(&mut self, now: Timestamp, link: ConnectionId, bytes: &[u8]) {
        let Some(planner) = self.desks.iter().position(|desk| desk.link == Some(link)) else { return };
        let mut frames = std::mem::take(&mut self.desks[planner].frames);
        frames.take(bytes);
        let bad = loop {
            let heard = match frames.next_frame() {
                Ok(None) => break false,
                Ok(Some(frame)) => protocol::decode(frame).and_then(|m| self.hear(now, planner, &m)),
                Err(bad) => Err(bad),
            };
            if heard.is_err() {
                break true;
            }
        };
        self.desks[planner].frames = frames;
        if bad {
            self.links.abort(link);
            self.gone(now, planner, self.settings.reconnect);
        }
    }

    fn on_closed(&mut self, now: Timestamp, link: ConnectionId, _: CloseReason) {
        self.links.remove(link);
        if let Some(planner) = self.desks.iter().position(|desk| desk.link == Some(link)) {
            self.gone(now, planner, self.settings.reconnect);
        }
    }

    fn poll(&mut self, now: Timestamp) {
        if !std::mem::replace(&mut self.begun, true) {
            for planner in 0..self.desks.len() {
                self.open(planner);
            }
            let first = self.dice.span(Duration::ZERO, Duration::from_secs(1));
            match self.settings.planned.first() {
                None => self.timers.schedule(now + first, Due::NewService),
                Some(planned) => self.timers.schedule(planned.at, Due::Planned(0)),
            }
        }
        while let Some(due) = self.timers.pop_due(now) {
            match due {
                Due::NewService => self.new_service(now),
                Due::Planned(n) => self.planned(now, n),
                Due::Look(key) => self.look(now, key),
                Due::Reconnect(planner) => self.open(planner),
            }
        }
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        if self.begun { self.timers.next_wakeup() } else { Some(Timestamp::default()) }
    }

    fn connections(&mut self) -> &mut Connections {
        &mut self.links
    }
}
