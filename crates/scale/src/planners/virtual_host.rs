//! Engines and their surroundings in virtual time, on one thread, joined by wires with round trips.
//!
//! A wire has one delay, keeps the order of what goes over it, and is never full. Turns take no virtual time:
//! what a turn costs is measured as processor time of this thread, around the engine's own work alone.

use super::measured::is_told_start;
use super::meter::Meter;
use super::scenario::{Deed, Scenario};
use super::settings;
use super::surroundings::{LIST_DOOR, Surroundings};
use super::traffic::SchedulerTraffic;
use mulleinhub_engine::{Counts, Engine, Settings as EngineSettings};
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_planner::parse_settings_text;
use mulleinhub_sans_io::{CloseReason, Command, ConnectionId, Connections, ListenerId, StateMachine};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};

/// Turns at one instant after which the run is taken to go round in circles.
const MOST_TURNS_AT_ONCE: u32 = 1_000_000;
/// Addresses in virtual time are as long as those of loopback sockets, so that lists have the same bytes.
const FIRST_PORT: usize = 10_000;
/// No address has a greater port.
const LAST_PORT: usize = 65_534;
const LIST_ADDRESS: &str = "127.0.0.1:9999";

/// The address of a worker in virtual time.
fn worker_address(worker: usize) -> String {
    format!("127.0.0.1:{}", FIRST_PORT + worker)
}

/// The most workers that have an address.
pub const MOST_WORKERS: usize = LAST_PORT - FIRST_PORT;

/// Lives of one scheduler count on from here.
fn first_life(number: usize) -> u64 {
    (number as u64 + 1) * 1_000
}

fn door_of(address: &str) -> Option<ListenerId> {
    if address == LIST_ADDRESS {
        return Some(LIST_DOOR);
    }
    let port: usize = address.strip_prefix("127.0.0.1:")?.parse().ok()?;
    Some(ListenerId(port.checked_sub(FIRST_PORT)? as u32))
}

/// What is on its way.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Parcel {
    Opened(DoorNumber),
    Up,
    Bytes(Vec<u8>),
    Ended(HowEnded),
}

type DoorNumber = u32;

/// `End` in an order, which the queue needs and never looks at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum HowEnded {
    Closed,
    Broken,
}

impl From<HowEnded> for CloseReason {
    fn from(how: HowEnded) -> Self {
        match how {
            HowEnded::Closed => Self::Closed,
            HowEnded::Broken => Self::Broken,
        }
    }
}

/// What a scheduler asks its host for.
enum Wish {
    Open(ConnectionId, ListenerId),
    End { link: ConnectionId, at_once: bool },
}

/// The next of a scheduler's asks. One for an address that is none of this run is passed over.
fn next_ask(links: &mut Connections) -> Option<Wish> {
    loop {
        match links.next_command()? {
            Command::Close { connection: link, immediately: at_once } => {
                return Some(Wish::End { link, at_once });
            }
            Command::Open(link, address) => {
                if let Some(door) = door_of(&address) {
                    return Some(Wish::Open(link, door));
                }
            }
        }
    }
}

/// Which end of a wire something goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Toward {
    Scheduler,
    Surroundings,
}

/// A connection between a scheduler and its surroundings.
#[derive(Clone, Copy, Debug)]
struct Wire {
    scheduler: usize,
    /// The link of either end, once it has one; none after its end was told.
    at_scheduler: Option<ConnectionId>,
    at_surroundings: Option<ConnectionId>,
    one_way: Duration,
}

/// Due then, in the order of sending.
type Delivery = Reverse<(Timestamp, u64, usize, Toward, Parcel)>;

struct Scheduler {
    engine: Engine,
    settings: EngineSettings,
    meter: Meter,
    /// The wire of each of its links.
    wires: Vec<Option<usize>>,
    /// What came in since its last turn.
    inbox: Vec<(ConnectionId, Parcel)>,
    wake: Option<Timestamp>,
    is_up: bool,
    lives: u64,
    /// The list that its last life kept.
    kept: Option<Vec<u8>>,
    /// Processor time when it started, in nanoseconds; nothing once its start is done.
    starting: Option<u64>,
}

/// A look at the counts of a run.
#[derive(Clone, Debug)]
pub struct Look {
    pub traffic: Vec<SchedulerTraffic>,
    /// Processor time of each scheduler so far, in nanoseconds.
    pub processor: Vec<u64>,
    pub counts: Vec<Counts>,
}

/// A run in virtual time.
pub struct VirtualHost {
    scenario: Scenario,
    schedulers: Vec<Scheduler>,
    surroundings: Surroundings,
    wires: Vec<Wire>,
    /// The wire of each link of the surroundings.
    outer_wires: Vec<Option<usize>>,
    queue: BinaryHeap<Delivery>,
    sent: u64,
    wakes: BTreeSet<(Timestamp, usize)>,
    touched: BTreeSet<usize>,
    now: Timestamp,
    deeds: VecDeque<(Timestamp, Deed, usize)>,
    /// Processor time of each start that is done and told, in nanoseconds.
    start_up_processor: Vec<u64>,
}

fn place<T: Copy>(places: &mut Vec<Option<T>>, link: ConnectionId, value: T) {
    let at = link.0 as usize;
    if places.len() <= at {
        places.resize(at + 1, None);
    }
    places[at] = Some(value);
}

impl VirtualHost {
    /// # Errors
    /// Where there are more workers than addresses.
    pub fn new(scenario: &Scenario) -> Result<Self, String> {
        if scenario.workers() > MOST_WORKERS {
            return Err(format!("workers: {} at most have addresses in virtual time", MOST_WORKERS));
        }
        let schedulers = (0..scenario.schedulers()).map(|n| Scheduler::new(scenario, n));
        let schedulers: Vec<Scheduler> = schedulers.collect::<Result<_, String>>()?;
        let mut surroundings = Surroundings::new(scenario);
        for worker in 0..scenario.workers() {
            surroundings.set_address(worker, &worker_address(worker));
        }
        Ok(Self {
            surroundings,
            scenario: scenario.clone(),
            deeds: scenario.deeds(),
            start_up_processor: Vec::new(),
            schedulers,
            wires: Vec::new(),
            outer_wires: Vec::new(),
            queue: BinaryHeap::new(),
            sent: 0,
            wakes: BTreeSet::new(),
            touched: BTreeSet::new(),
            now: Timestamp::default(),
        })
    }

    /// Plays on up to an instant.
    ///
    /// # Panics
    /// Where the run goes round in circles, which is a defect of a party.
    pub fn play_until(&mut self, until: Timestamp) {
        let mut turns = 0;
        while let Some(next) = self.next_instant().filter(|next| *next < until) {
            turns = if next > self.now { 0 } else { turns + 1 };
            assert!(turns < MOST_TURNS_AT_ONCE, "the run goes round in circles at {} ns", self.now.nanos());
            self.now = self.now.max(next);
            self.turn();
        }
        self.now = until;
    }

    /// What was counted so far.
    #[must_use]
    pub fn look(&self) -> Look {
        Look {
            traffic: self.surroundings.traffic().to_vec(),
            processor: self.schedulers.iter().map(|scheduler| scheduler.meter.processor()).collect(),
            counts: self.schedulers.iter().map(|scheduler| scheduler.engine.counts()).collect(),
        }
    }

    /// Bytes that each scheduler holds, by the allocator's count; nothing where it doesn't count.
    pub fn memory(&self) -> Option<Vec<u64>> {
        self.schedulers.iter().map(|scheduler| scheduler.meter.memory()).collect()
    }

    /// Processor time of each start that results tell, in nanoseconds.
    #[must_use]
    pub fn start_up_processor(&self) -> &[u64] {
        &self.start_up_processor
    }

    #[must_use]
    pub fn surroundings(&self) -> &Surroundings {
        &self.surroundings
    }

    fn next_instant(&self) -> Option<Timestamp> {
        let delivery = self.queue.peek().map(|Reverse((at, ..))| *at);
        let wake = self.wakes.first().map(|(at, _)| *at);
        let deed = self.deeds.front().map(|(at, ..)| *at);
        [delivery, wake, deed, self.surroundings.next_wakeup()].into_iter().flatten().min()
    }

    fn turn(&mut self) {
        while let Some((_, deed, number)) = self.deeds.pop_front_if(|(at, ..)| *at <= self.now) {
            match deed {
                Deed::Start => self.start(number),
                Deed::Fail => self.fail(number),
            }
        }
        self.deliver();
        self.surroundings.poll(self.now);
        self.carry_from_surroundings();
        while self.wakes.first().is_some_and(|(at, _)| *at <= self.now) {
            let Some((_, scheduler)) = self.wakes.pop_first() else { break };
            self.schedulers[scheduler].wake = None;
            self.touched.insert(scheduler);
        }
        for scheduler in std::mem::take(&mut self.touched) {
            self.turn_of(scheduler);
        }
        self.note_ready();
    }

    fn start(&mut self, number: usize) {
        let scheduler = &mut self.schedulers[number];
        scheduler.is_up = true;
        scheduler.starting = Some(scheduler.meter.processor());
        self.surroundings.starts(self.now, number);
        self.touched.insert(number);
    }

    /// Its process ends at once; what it kept is there for its next life.
    fn fail(&mut self, number: usize) {
        for wire in 0..self.wires.len() {
            if self.wires[wire].scheduler == number && self.wires[wire].at_scheduler.take().is_some() {
                self.send(wire, Toward::Surroundings, Parcel::Ended(HowEnded::Broken));
            }
        }
        let scheduler = &mut self.schedulers[number];
        if let Some(before) = scheduler.wake.take() {
            self.wakes.remove(&(before, number));
        }
        self.touched.remove(&number);
        scheduler.fail();
    }

    fn turn_of(&mut self, number: usize) {
        let scheduler = &mut self.schedulers[number];
        if !scheduler.is_up {
            return;
        }
        scheduler.turn(self.now);
        let wake = scheduler.engine.next_wakeup();
        if let Some(before) = std::mem::replace(&mut scheduler.wake, wake) {
            self.wakes.remove(&(before, number));
        }
        self.wakes.extend(wake.map(|at| (at, number)));
        self.carry_from_scheduler(number);
    }

    /// Hands over all that is due by now.
    fn deliver(&mut self) {
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= self.now) {
            let Some(Reverse((_, _, wire, toward, parcel))) = self.queue.pop() else { return };
            match toward {
                Toward::Surroundings => self.deliver_to_surroundings(wire, parcel),
                Toward::Scheduler => self.deliver_to_scheduler(wire, parcel),
            }
        }
    }

    /// It waits for the scheduler's turn, which is at this instant.
    fn deliver_to_scheduler(&mut self, wire: usize, parcel: Parcel) {
        let number = self.wires[wire].scheduler;
        let scheduler = &mut self.schedulers[number];
        if matches!(parcel, Parcel::Opened(_)) && !scheduler.is_up {
            return self.send(wire, Toward::Surroundings, Parcel::Ended(HowEnded::Closed));
        }
        if matches!(parcel, Parcel::Opened(_)) {
            let link = scheduler.hold(Connections::register);
            place(&mut scheduler.wires, link, wire);
            self.wires[wire].at_scheduler = Some(link);
        }
        let Some(link) = self.wires[wire].at_scheduler else { return };
        if matches!(parcel, Parcel::Ended(_)) {
            self.wires[wire].at_scheduler = None;
        }
        let is_opened = matches!(parcel, Parcel::Opened(_));
        self.schedulers[number].inbox.push((link, parcel));
        self.touched.insert(number);
        if is_opened {
            self.send(wire, Toward::Surroundings, Parcel::Up);
        }
    }

    fn deliver_to_surroundings(&mut self, wire: usize, parcel: Parcel) {
        if let Parcel::Opened(door) = parcel {
            let link = self.surroundings.connections().register();
            self.wires[wire].at_surroundings = Some(link);
            place(&mut self.outer_wires, link, wire);
            self.surroundings.on_connection_accepted(self.now, link, ListenerId(door));
            self.send(wire, Toward::Scheduler, Parcel::Up);
            return;
        }
        let Some(link) = self.wires[wire].at_surroundings else { return };
        match parcel {
            Parcel::Opened(_) => {}
            Parcel::Up => self.surroundings.on_connected(self.now, link),
            Parcel::Bytes(bytes) => self.surroundings.on_data(self.now, link, &bytes),
            Parcel::Ended(how) => {
                self.wires[wire].at_surroundings = None;
                self.surroundings.on_closed(self.now, link, how.into());
            }
        }
    }

    fn send(&mut self, wire: usize, toward: Toward, parcel: Parcel) {
        let at = self.now + self.wires[wire].one_way;
        self.sent += 1;
        self.queue.push(Reverse((at, self.sent, wire, toward, parcel)));
    }

    fn wire_of_outer(&self, link: ConnectionId) -> Option<usize> {
        self.outer_wires.get(link.0 as usize).copied().flatten()
    }

    fn carry_from_surroundings(&mut self) {
        loop {
            if let Some(link) = self.surroundings.connections().next_with_output() {
                self.carry_outer(link);
                continue;
            }
            let Some(ask) = self.surroundings.connections().next_command() else { return };
            match ask {
                Command::Open(link, address) => self.client_opens(link, &address),
                Command::Close { connection: link, immediately: at_once } => {
                    self.carry_outer(link);
                    self.surroundings.connections().discard(link);
                    if let Some(wire) = self.wire_of_outer(link) {
                        self.wires[wire].at_surroundings = None;
                        let how = if at_once { HowEnded::Broken } else { HowEnded::Closed };
                        self.send(wire, Toward::Scheduler, Parcel::Ended(how));
                    }
                }
            }
        }
    }

    fn carry_outer(&mut self, link: ConnectionId) {
        let bytes = self.surroundings.connections().outgoing(link).to_vec();
        if let (false, Some(wire)) = (bytes.is_empty(), self.wire_of_outer(link)) {
            self.surroundings.connections().mark_written(link, bytes.len());
            self.send(wire, Toward::Scheduler, Parcel::Bytes(bytes));
        }
    }

    /// A client opens a connection to its scheduler, which is of its own zone.
    fn client_opens(&mut self, link: ConnectionId, address: &str) {
        let scheduler = settings::scheduler_number(address);
        let is_up = |number: &usize| self.schedulers.get(*number).is_some_and(|s| s.is_up);
        let Some(scheduler) = scheduler.filter(is_up) else {
            self.surroundings.connections().discard(link);
            self.surroundings.on_closed(self.now, link, CloseReason::Refused);
            return;
        };
        let zone = self.scenario.zone(scheduler);
        let wire = self.new_wire(scheduler, None, Some(link), self.scenario.one_way(zone, zone));
        place(&mut self.outer_wires, link, wire);
        self.send(wire, Toward::Scheduler, Parcel::Opened(0));
    }

    fn new_wire(
        &mut self,
        scheduler: usize,
        at_scheduler: Option<ConnectionId>,
        at_surroundings: Option<ConnectionId>,
        one_way: Duration,
    ) -> usize {
        self.wires.push(Wire { scheduler, at_scheduler, at_surroundings, one_way });
        self.wires.len() - 1
    }

    fn carry_from_scheduler(&mut self, number: usize) {
        loop {
            if let Some(link) = self.schedulers[number].hold(Connections::next_with_output) {
                self.carry_inner(number, link);
                continue;
            }
            match self.schedulers[number].hold(next_ask) {
                None => return,
                Some(Wish::Open(link, door)) => self.scheduler_opens(number, link, door),
                Some(Wish::End { link, at_once }) => {
                    self.carry_inner(number, link);
                    self.schedulers[number].hold(|links| links.discard(link));
                    if let Some(wire) = self.schedulers[number].wire(link) {
                        self.wires[wire].at_scheduler = None;
                        let how = if at_once { HowEnded::Broken } else { HowEnded::Closed };
                        self.send(wire, Toward::Surroundings, Parcel::Ended(how));
                    }
                }
            }
        }
    }

    fn carry_inner(&mut self, number: usize, link: ConnectionId) {
        let scheduler = &mut self.schedulers[number];
        let bytes = scheduler.engine.connections().outgoing(link).to_vec();
        if let (false, Some(wire)) = (bytes.is_empty(), scheduler.wire(link)) {
            scheduler.hold(|links| links.mark_written(link, bytes.len()));
            self.send(wire, Toward::Surroundings, Parcel::Bytes(bytes));
        }
    }

    /// A scheduler opens a connection to a worker, or to the list service, which stands in the first zone.
    fn scheduler_opens(&mut self, number: usize, link: ConnectionId, door: ListenerId) {
        let scenario = &self.scenario;
        let there = if door == LIST_DOOR { 0 } else { scenario.zone(door.0 as usize) };
        let one_way = scenario.one_way(scenario.zone(number), there);
        let wire = self.new_wire(number, Some(link), None, one_way);
        place(&mut self.schedulers[number].wires, link, wire);
        self.send(wire, Toward::Surroundings, Parcel::Opened(door.0));
    }

    fn note_ready(&mut self) {
        let start_ups = self.surroundings.start_ups().iter();
        for (start_up, scheduler) in start_ups.zip(&mut self.schedulers) {
            if !start_up.is_ready {
                continue;
            }
            let Some(before) = scheduler.starting.take() else { continue };
            if is_told_start(&self.scenario, start_up.began) {
                self.start_up_processor.push(scheduler.meter.processor() - before);
            }
        }
    }
}

impl Scheduler {
    fn new(scenario: &Scenario, number: usize) -> Result<Self, String> {
        let settings = parse_settings_text(&settings::text(scenario, number, LIST_ADDRESS, None))?.engine;
        let mut meter = Meter::default();
        let engine = meter.measure(|| Engine::new(settings.clone(), first_life(number), None));
        Ok(Self {
            engine,
            settings,
            meter,
            wires: Vec::new(),
            inbox: Vec::new(),
            wake: None,
            is_up: false,
            lives: first_life(number),
            kept: None,
            starting: None,
        })
    }

    /// Its next life has its settings and the list that it kept, and knows nothing else.
    fn fail(&mut self) {
        self.is_up = false;
        self.starting = None;
        self.wires.clear();
        self.inbox.clear();
        self.lives += 1;
        self.meter.forget_memory();
        let (settings, life, kept) = (self.settings.clone(), self.lives, self.kept.clone());
        let next = self.meter.measure(|| Engine::new(settings, life, kept));
        drop(std::mem::replace(&mut self.engine, next));
    }

    fn wire(&self, link: ConnectionId) -> Option<usize> {
        self.wires.get(link.0 as usize).copied().flatten()
    }

    /// Does something with its connections as whoever feeds it; what that takes or gives back of memory is
    /// the scheduler's.
    fn hold<T>(&mut self, work: impl FnOnce(&mut Connections) -> T) -> T {
        let links = self.engine.connections();
        self.meter.hold(|| work(links))
    }

    /// Tells all that came in, and has a turn.
    fn turn(&mut self, now: Timestamp) {
        let inbox = std::mem::take(&mut self.inbox);
        let engine = &mut self.engine;
        let kept = self.meter.measure(|| {
            for (link, parcel) in &inbox {
                match parcel {
                    Parcel::Opened(door) => engine.on_connection_accepted(now, *link, ListenerId(*door)),
                    Parcel::Up => engine.on_connected(now, *link),
                    Parcel::Bytes(bytes) => engine.on_data(now, *link, bytes),
                    Parcel::Ended(how) => engine.on_closed(now, *link, (*how).into()),
                }
            }
            engine.poll(now);
            engine.state_to_persist()
        });
        // A process writes it to its disk.
        if let Some(kept) = kept {
            self.kept = Some(kept.clone());
            self.meter.hold(|| drop(kept));
        }
    }
}
