//! The stage of a day: racks, list service and owners behind taps, the script's troubles, the record.

use crate::script::{BooksDay, CaseDay, Day};
use crate::tap::{At, Parcel, Pipe, To, Way, Weather};
use crate::trouble::{Far, Store, Struck, Target, Trouble, What};
use mulleinhub_capture::{self as capture, Deed, Record, Recorder, Side};
use mulleinhub_emulators::{
    CaseModel, Crowd, CrowdSettings, CrowdTally, Dice, Drain, Fact, ListPlight, ListService, ListSettings,
    Load, Machine, MachineSettings, Owner, OwnerSettings, OwnerTally, Plight, Rack, ServiceCase, Tally,
    Worth,
};
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_interface::{FailureDomain, Idempotency, Resources};
use mulleinhub_sans_io::{CloseReason, Command, ConnectionId, Connections, ListenerId, StateMachine};
use mulleinhub_settings::Range;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;

/// Doors of one planner begin at this many times its number; the last is the list's, those before are other
/// planners'.
const DOORS: u32 = 1 << 15;
const LIST_DOOR: u32 = DOORS - 1;
const BOOKS_DOORS: u32 = 3 * (DOORS / 4);
/// A day may have so many machines, each with a door at every planner, and so many planners.
pub(crate) const MOST_MACHINES: usize = BOOKS_DOORS as usize;
pub(crate) const MOST_PLANNERS: usize = (LIST_DOOR - BOOKS_DOORS) as usize;

/// The list's door of a planner.
pub fn list_door(planner: usize) -> ListenerId {
    ListenerId(planner as u32 * DOORS + LIST_DOOR)
}

/// The door of a planner behind which another one keeps books.
fn books_door(planner: usize, other: usize) -> ListenerId {
    ListenerId(planner as u32 * DOORS + BOOKS_DOORS + other as u32)
}

/// What is behind a door.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behind {
    Machine(u64),
    List,
    /// The books of that planner.
    Books(usize),
}

/// What a planner finds on its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Lost,
    /// What was there when it was killed the time before.
    Old,
}
/// Silent connections are of so many tenants.
const SILENT_TENANTS: usize = 20;

/// What is to be done to a planner, by whoever runs it. Numbers from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannerDeed {
    Start(usize),
    Kill(usize),
    Stop(usize),
    Continue(usize),
    /// While it is down, its disk is changed.
    Store(usize, Fate),
    /// An order of the operators, by its place in `Stage::order`.
    Order(usize, usize),
    /// Its clock is ahead by so many milliseconds from now on.
    Clock(usize, i64),
    DiskFull(usize, bool),
}

/// How far a day is, for whoever watches.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    pub placed: u64,
    pub nacked: u64,
    pub errored: u64,
    pub waiting: usize,
    pub running: usize,
    pub troubles: Vec<&'static str>,
}

/// How the machines of a day are at an instant.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Look {
    pub machines: u64,
    pub in_use: u64,
    pub tasks: u64,
    pub waiting: u64,
    pub size: Resources,
    pub asked: Resources,
    pub used: Resources,
    /// By machines, up to when they last counted.
    pub earned: f64,
}

/// What a day came to, as the stand-ins saw it.
#[derive(Clone, Debug, Default)]
pub struct Score {
    pub cases: Vec<String>,
    pub earned: Tally,
    /// Of all owners together.
    pub owners: OwnerTally,
    pub machines_lost: u64,
    pub machines_fallen: u64,
    pub list_lines: u64,
    /// Silent connections that were up at the end, and what they saw.
    pub silent: (usize, CrowdTally),
}

enum Body {
    Rack(Box<Rack>),
    List(Box<ListService>),
    Owner(Box<Owner>),
    Crowd(Box<Crowd>),
}

impl Body {
    fn party(&mut self) -> &mut dyn StateMachine {
        match self {
            Self::Rack(rack) => rack.as_mut(),
            Self::List(list) => list.as_mut(),
            Self::Owner(owner) => owner.as_mut(),
            Self::Crowd(crowd) => crowd.as_mut(),
        }
    }

    fn wake(&self) -> Option<Timestamp> {
        match self {
            Self::Rack(rack) => rack.next_wakeup(),
            Self::List(list) => list.next_wakeup(),
            Self::Owner(owner) => owner.next_wakeup(),
            Self::Crowd(crowd) => crowd.next_wakeup(),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Act {
    Begin(usize),
    End(usize),
    /// Troubles that come and go are looked at anew.
    Toggle,
    MachineUp(usize),
    MachineDown(usize),
    Planner(PlannerDeed),
}

/// A trouble under way, with what chance gave.
#[derive(Clone, Debug)]
struct Active {
    trouble: usize,
    begun: Timestamp,
    machines: Vec<usize>,
    planners: Vec<usize>,
    amount: f64,
    every: Duration,
}

pub struct Stage<W: Write> {
    day: Day,
    troubles: Vec<Trouble>,
    worth: Worth,
    nodes: Vec<Body>,
    names: Vec<String>,
    /// Which rack and door each machine is, by its number from 0.
    spots: Vec<(usize, usize)>,
    /// Of a start, in nanoseconds, over the use cases.
    mean_work: f64,
    list_node: usize,
    owner_nodes: Vec<usize>,
    pipes: BTreeMap<u32, Pipe>,
    next_pipe: u32,
    by_end: BTreeMap<(At, ConnectionId), (u32, usize)>,
    /// The next parcel of each way that may be handed on.
    due: BTreeSet<(Timestamp, u32, usize)>,
    touched: BTreeSet<usize>,
    /// When each node wants its next turn, by node and in order of time.
    wakes: Vec<Option<Timestamp>>,
    wake_order: BTreeSet<(Timestamp, usize)>,
    timeline: BTreeMap<(Timestamp, u64), Act>,
    acts: u64,
    active: Vec<Active>,
    deeds: Vec<PlannerDeed>,
    next_look: Timestamp,
    outside: Connections,
    recorder: Recorder<W>,
    dice: Dice,
    lives: u64,
    machines_lost: u64,
    machines_fallen: u64,
    begun: bool,
    now: Timestamp,
}

fn to_reach(reach: FailureDomain) -> capture::Reach {
    match reach {
        FailureDomain::Machine => capture::Reach::Machine,
        FailureDomain::Cell => capture::Reach::Cell,
        FailureDomain::Zone => capture::Reach::Zone,
        FailureDomain::Cluster => capture::Reach::All,
    }
}

impl<W: Write> Stage<W> {
    /// The stage of a day. `out` takes the record.
    pub fn new(day: Day, out: W) -> Self {
        let mut dice = Dice::new(day.seed, "stage");
        let mut troubles = day.troubles.clone();
        let names: Vec<String> = day.cases.iter().map(|case| case.case.name.clone()).collect();
        let Range { low, high } = day.random_troubles;
        let teams: Vec<(String, u64)> = day.books.iter().flat_map(|books| books.capped()).collect();
        for n in 0..low + dice.below(high - low + 1) {
            // On days with books every second one is about them.
            let trouble = match n % 2 {
                0 if !teams.is_empty() => {
                    Trouble::random_between(&mut dice, day.length, day.planners, &teams)
                }
                _ => Trouble::random(&mut dice, day.length, &names, day.planners, day.racks, day.silent > 0),
            };
            troubles.push(trouble);
        }
        let worth = day.worth();
        let mut stage = Self {
            troubles,
            worth,
            nodes: Vec::new(),
            names: Vec::new(),
            spots: Vec::new(),
            mean_work: 0.0,
            list_node: 0,
            owner_nodes: Vec::new(),
            pipes: BTreeMap::new(),
            next_pipe: 0,
            by_end: BTreeMap::new(),
            due: BTreeSet::new(),
            touched: BTreeSet::new(),
            wakes: Vec::new(),
            wake_order: BTreeSet::new(),
            timeline: BTreeMap::new(),
            acts: 0,
            active: Vec::new(),
            deeds: Vec::new(),
            next_look: Timestamp::default(),
            outside: Connections::default(),
            recorder: Recorder::new(out),
            dice,
            lives: 0,
            machines_lost: 0,
            machines_fallen: 0,
            begun: false,
            now: Timestamp::default(),
            day,
        };
        stage.build();
        stage
    }

    fn build(&mut self) {
        let day = self.day.clone();
        let cases: Vec<CaseModel> = day
            .cases
            .iter()
            .map(|case| CaseModel {
                priority: case.case.priority,
                work: self.dice.span(case.work.low, case.work.high),
                one_copy_in: match case.case.idempotency {
                    Idempotency::Keyed { domain: group, .. } => Some(group),
                    _ => None,
                },
                full_up_to: case.case.saturation_threshold,
                fade: case.case.degradation_range,
                cores_use: (case.cores_use.low, case.cores_use.high),
                memory_use: (case.memory_use.low, case.memory_use.high),
            })
            .collect();
        let work: u64 = cases.iter().map(|case| case.work.nanos()).sum();
        self.mean_work = work as f64 / cases.len().max(1) as f64;
        let all = day.machines + day.spare_machines;
        let now = Timestamp::default();
        let groups = if day.groups_are_wide() { 1 } else { day.racks as usize };
        let mut racks: Vec<Vec<Machine>> = (0..groups).map(|_| Vec::new()).collect();
        for n in 0..all {
            let settings = self.machine_settings(n);
            let mut machine = Machine::new(settings, 0, Timestamp::default(), false, day.seed);
            machine.down = n >= day.machines;
            if let Some(fleet) = &day.fleet {
                let spot = &fleet.spots[n];
                machine.down = !spot.is_up(now);
                for (at, up) in spot.changes.iter().filter(|(at, _)| *at > now) {
                    self.at(*at, if *up { Act::MachineUp(n) } else { Act::MachineDown(n) });
                }
            }
            let group = day.rack_of(n) as usize % groups;
            self.spots.push((group, racks[group].len()));
            racks[group].push(machine);
        }
        for (n, machines) in racks.into_iter().enumerate() {
            self.nodes.push(Body::Rack(Box::new(Rack::new(machines, cases.clone(), self.worth.clone()))));
            self.names.push(format!("rack-{}", n + 1));
        }
        let list = ListSettings {
            late: day.list.late,
            silent_notice: day.list.silent_notice,
            lines_a_second: day.list.lines_a_second,
        };
        self.list_node = self.nodes.len();
        self.nodes.push(Body::List(Box::new(ListService::new(list))));
        self.names.push("list".to_owned());
        let service_cases: Vec<ServiceCase> = day
            .cases
            .iter()
            .map(|case| ServiceCase {
                share: case.share,
                soft_limit: case.case.latency_objective,
                client_timeout: case.case.client_timeout,
                harms: case.case.idempotency != Idempotency::Idempotent,
                asks: case.asks.clone(),
                lives: (case.lives.low, case.lives.high),
                batch: (case.batch.low, case.batch.high),
            })
            .collect();
        for n in 0..day.owners {
            let settings = OwnerSettings {
                name: format!("owner-{}", n + 1),
                number: n as u32 + 1,
                cases: service_cases.clone(),
                planners: (0..day.planners).map(|p| format!("planner-{}", p + 1)).collect(),
                rate: day.rate / day.owners as f64,
                until: Timestamp::default() + day.length,
                again: (day.owner.again.low, day.owner.again.high),
                settle: day.owner.settle,
                reconnect: day.owner.reconnect,
                planned: day
                    .fleet
                    .as_ref()
                    .and_then(|fleet| fleet.wanted.get(n).cloned())
                    .unwrap_or_default(),
            };
            self.owner_nodes.push(self.nodes.len());
            self.names.push(settings.name.clone());
            self.nodes.push(Body::Owner(Box::new(Owner::new(settings, self.worth.clone(), day.seed))));
        }
        if day.silent > 0 {
            let settings = CrowdSettings {
                name: "silent".to_owned(),
                many: day.silent,
                tenants: SILENT_TENANTS,
                planners: (0..day.planners).map(|p| format!("planner-{}", p + 1)).collect(),
                // All are there after the first twentieth of the day.
                opens_a_second: day.silent as f64 * 20e9 / day.length.nanos() as f64,
                back_within: day.owner.reconnect * 2.0,
            };
            self.names.push(settings.name.clone());
            self.nodes.push(Body::Crowd(Box::new(Crowd::new(settings, day.seed))));
        }
        let now = Timestamp::default();
        for planner in 0..day.planners {
            self.at(now, Act::Planner(PlannerDeed::Start(planner)));
        }
        for n in 0..self.troubles.len() {
            let trouble = self.troubles[n].clone();
            if !self.dice.happens(trouble.chance) && trouble.chance < 1.0 {
                continue;
            }
            let begin = now + self.dice.span(trouble.at.low, trouble.at.high);
            let length = self.dice.span(trouble.length.low, trouble.length.high);
            self.at(begin, Act::Begin(n));
            if length > Duration::ZERO {
                self.at(begin + length, Act::End(n));
            }
        }
    }

    fn machine_settings(&mut self, n: usize) -> MachineSettings {
        let day = &self.day;
        let model = &day.machine;
        let (rack, kind) = (day.rack_of(n), day.kind_of(n));
        let dice = &mut self.dice;
        let whole = |dice: &mut Dice, range: Range<usize>| range.low + dice.below(range.high - range.low + 1);
        MachineSettings {
            id: n as u64 + 1,
            kind: kind as u32,
            cell: rack,
            zone: rack % day.halls,
            size: day.kinds[kind].size,
            accepts: Resources::new(model.accepts_cores, model.accepts_memory),
            look: dice.span(model.look.low, model.look.high),
            line: whole(dice, model.line),
            starts: whole(dice, model.starts),
            setup: dice.between(model.setup.low, model.setup.high),
            keeps: whole(dice, model.keeps),
            speed: dice.between(model.speed.low, model.speed.high),
            cold_from: dice.between(model.cold_from.low, model.cold_from.high),
            cold_for: day.rules.warm_up_time,
            fall: day.rules.budget_window,
            tip: model.tip,
            young_limit: day.rules.attempt_budget,
            yes_when_running: model.yes_when_running,
            displaces: model.displaces,
            tells_use: model.tells_use,
            tells_pressure: model.tells_pressure,
            note_every: model.note_every,
            drain: model.sends_away.map_or(Drain::Keeps, Drain::SendsAway),
            claim_within: day.owner.settle + Duration::from_secs(1),
            uses: day.fleet.as_ref().map(|fleet| fleet.uses.clone()).unwrap_or_default(),
        }
    }

    fn terms(&self) -> capture::Terms {
        let day = &self.day;
        let cases = day
            .cases
            .iter()
            .map(|CaseDay { case, work, .. }| {
                let (effect, group, window) = match case.idempotency {
                    Idempotency::Idempotent => {
                        (capture::Effect::Replayable, FailureDomain::Cluster, Duration::ZERO)
                    }
                    Idempotency::NonIdempotent => {
                        (capture::Effect::SingleUse, FailureDomain::Cluster, Duration::ZERO)
                    }
                    Idempotency::Keyed { domain: group, window } => {
                        (capture::Effect::Referenced, group, window)
                    }
                };
                capture::CaseTerms {
                    name: case.name.clone(),
                    soft_limit: case.latency_objective.nanos(),
                    client_timeout: case.client_timeout.nanos(),
                    effect,
                    group: to_reach(group),
                    window: window.nanos(),
                    spread: case.spread.map(|(reach, most)| (to_reach(reach), most as u32)),
                    earnings: case.value_per_second,
                    start_seconds: case.start_seconds,
                    work: work.low.nanos(),
                }
            })
            .collect();
        let machines = (0..self.spots.len() as u32)
            .map(|n| {
                let cell = day.rack_of(n as usize);
                let settings = &self.machine(n as usize).settings;
                capture::MachineTerms {
                    machine: u64::from(n) + 1,
                    cell,
                    zone: cell % day.halls,
                    starts_a_second: settings.starts as f64 * settings.speed * 1e9 / self.mean_work.max(1.0),
                    cold_from: settings.cold_from,
                }
            })
            .collect();
        capture::Terms {
            day: day.name.clone(),
            seed: day.seed,
            cases,
            machines,
            drain_grace: day.rules.drain_grace.nanos(),
            answer_slack: day.rules.response_slack.nanos(),
            warm_after: day.rules.warm_up_time.nanos(),
            fall: day.rules.budget_window.nanos(),
            young_limit: day.rules.attempt_budget,
            most_sends: day.rules.max_attempts,
            tip: day.machine.tip,
            books: day.books.as_ref().map(|books| capture::BooksTerms {
                teams: books
                    .terms
                    .teams
                    .iter()
                    .map(|team| capture::TeamTerms {
                        name: team.name.clone(),
                        account: team.account.clone(),
                        tenants: team.tenants.clone(),
                        cap: team.cap,
                    })
                    .collect(),
                core_second: books.terms.core_second,
                memory_second: books.terms.memory_second,
                near: books.terms.open_millionths,
                stretch: books.terms.commitment.nanos(),
                month_ends: books.month_ends.map(Duration::nanos),
                first_month: BooksDay::FIRST_MONTH,
            }),
        }
    }

    // For whoever hosts the planners.

    pub fn day(&self) -> &Day {
        &self.day
    }

    /// Every way in: its number, the planner it is for, and what is behind it.
    pub fn doors(&self) -> Vec<(ListenerId, usize, Behind)> {
        let many = if self.day.books.is_some() { self.day.planners } else { 0 };
        let of = |planner: usize| {
            let base = planner as u32 * DOORS;
            let machines = (0..self.spots.len())
                .map(move |n| (ListenerId(base + n as u32), planner, Behind::Machine(n as u64 + 1)));
            let others = (0..many).filter(move |other| *other != planner);
            let books = others.map(move |other| (books_door(planner, other), planner, Behind::Books(other)));
            machines.chain([(list_door(planner), planner, Behind::List)]).chain(books)
        };
        (0..self.day.planners).flat_map(of).collect()
    }

    /// The line of an order, for whoever gives it to a planner.
    pub fn order(&self, place: usize) -> &str {
        match self.troubles.get(place).map(|trouble| &trouble.what) {
            Some(What::Order { line }) => line,
            _ => "",
        }
    }

    /// Tells the list service under which address a planner reaches the machine behind a door.
    pub fn set_address(&mut self, door: ListenerId, address: String) {
        let (planner, n) = ((door.0 / DOORS) as usize, door.0 % DOORS);
        if let (Body::List(list), true) = (&mut self.nodes[self.list_node], n < BOOKS_DOORS) {
            list.address(&format!("planner-{}", planner + 1), u64::from(n) + 1, address);
        }
    }

    pub fn next_deed(&mut self) -> Option<PlannerDeed> {
        if self.deeds.is_empty() { None } else { Some(self.deeds.remove(0)) }
    }

    /// A planner's deed was done.
    pub fn did(&mut self, now: Timestamp, deed: PlannerDeed) {
        let (deed, planner) = match deed {
            PlannerDeed::Start(planner) => (Deed::Started, planner),
            PlannerDeed::Kill(planner) => (Deed::Killed, planner),
            PlannerDeed::Stop(planner) => (Deed::Stopped, planner),
            PlannerDeed::Continue(planner) => (Deed::Continued, planner),
            PlannerDeed::Store(planner, Fate::Lost) => (Deed::StoreLost, planner),
            PlannerDeed::Store(planner, Fate::Old) => (Deed::StoreOld, planner),
            PlannerDeed::Order(planner, place) => {
                let (who, words) = (format!("planner-{}", planner + 1), self.order(place).to_owned());
                self.recorder.record(now.max(self.now), Record::Order { planner: &who, words: &words });
                return;
            }
            PlannerDeed::Clock(..) | PlannerDeed::DiskFull(..) => return,
        };
        let who = format!("planner-{}", planner + 1);
        self.recorder.record(now.max(self.now), Record::Deed { deed, who: &who, machine: None });
        self.now = self.now.max(now);
    }

    pub fn progress(&self) -> Progress {
        let mut progress = Progress::default();
        for node in &self.owner_nodes {
            let Body::Owner(owner) = &self.nodes[*node] else { continue };
            let (waiting, running) = owner.in_hand();
            progress.waiting += waiting;
            progress.running += running;
            progress.placed += owner.tally.placed;
            progress.nacked += owner.tally.nacked;
            progress.errored += owner.tally.errored;
        }
        progress.troubles = self.active.iter().map(|active| self.troubles[active.trouble].name()).collect();
        progress
    }

    /// How the machines are now, for whoever draws it over time.
    pub fn fleet_now(&self) -> Look {
        let mut look = Look::default();
        for node in &self.nodes {
            let Body::Rack(rack) = node else { continue };
            for machine in rack.machines.iter().filter(|machine| !machine.down) {
                let (asked, used, tasks) = machine.load();
                look.machines += 1;
                look.in_use += u64::from(tasks > 0);
                (look.tasks, look.size) = (look.tasks + tasks as u64, look.size + machine.settings.size);
                (look.asked, look.used) = (look.asked + asked, look.used + used);
            }
            look.earned += rack.machines.iter().flat_map(|machine| machine.earned.values()).sum::<f64>();
        }
        look.waiting = self.progress().waiting as u64;
        look
    }

    /// The day's length is over, and every owner has heard of its tasks or has waited as long as it would.
    pub fn is_over(&self, now: Timestamp) -> bool {
        let end = Timestamp::default() + self.day.length;
        let longest =
            self.day.cases.iter().map(|case| case.case.client_timeout).max().unwrap_or(Duration::ZERO);
        now >= end + longest || (now >= end && self.progress().waiting == 0)
    }

    /// Ends the day.
    ///
    /// # Errors
    /// Where the record could not be written.
    pub fn finish(mut self, now: Timestamp) -> std::io::Result<(Score, W)> {
        let now = now.max(self.now);
        let mut score = Score {
            cases: self.day.cases.iter().map(|case| case.case.name.clone()).collect(),
            machines_lost: self.machines_lost,
            machines_fallen: self.machines_fallen,
            ..Score::default()
        };
        let mut earned: BTreeMap<u64, f64> = BTreeMap::new();
        for node in &mut self.nodes {
            match node {
                Body::Rack(rack) => {
                    rack.book(now);
                    for (key, amount) in rack.machines.iter().flat_map(|machine| &machine.earned) {
                        *earned.entry(*key).or_default() += amount;
                    }
                }
                Body::List(list) => score.list_lines = list.lines_told,
                Body::Crowd(crowd) => score.silent = (crowd.up(), crowd.tally.clone()),
                Body::Owner(owner) => {
                    owner.book(now);
                    score.earned.join(&owner.tally.in_time);
                    score.owners.join(&owner.tally);
                }
            }
        }
        for (key, amount) in earned {
            for node in &self.owner_nodes {
                if let Body::Owner(owner) = &self.nodes[*node]
                    && let Some((case, amount)) = owner.wanted(key, amount)
                {
                    score.earned.add(case, amount);
                }
            }
        }
        let out = self.recorder.close(now)?;
        Ok((score, out))
    }

    // Time.

    fn at(&mut self, at: Timestamp, act: Act) {
        self.acts += 1;
        self.timeline.insert((at, self.acts), act);
    }

    fn play(&mut self, now: Timestamp) {
        while let Some(entry) = self.timeline.first_entry()
            && entry.key().0 <= now
        {
            let act = entry.remove();
            self.act(now, act);
        }
    }

    fn act(&mut self, now: Timestamp, act: Act) {
        match act {
            Act::Planner(deed) => self.deeds.push(deed),
            Act::Toggle => self.strike(now),
            Act::MachineUp(n) => self.machine_up(now, n),
            Act::MachineDown(n) => self.machine_down(now, n),
            Act::Begin(n) => self.begin(now, n),
            Act::End(n) => {
                self.record_trouble(now, Deed::TroubleEnds, n);
                let ended: Vec<Active> = self.active.iter().filter(|a| a.trouble == n).cloned().collect();
                self.active.retain(|active| active.trouble != n);
                for active in ended {
                    let planners = active.planners.iter().copied();
                    match self.troubles[n].what {
                        What::Stop => self.deeds.extend(planners.map(PlannerDeed::Continue)),
                        What::Clock { .. } => self.deeds.extend(planners.map(|p| PlannerDeed::Clock(p, 0))),
                        What::DiskFull => {
                            self.deeds.extend(planners.map(|p| PlannerDeed::DiskFull(p, false)))
                        }
                        _ => {}
                    }
                }
                self.strike(now);
                if matches!(self.troubles[n].what, What::SlowSenders { .. }) {
                    self.with_crowd(|crowd| crowd.slow_senders_finish());
                }
                if matches!(self.troubles[n].what, What::HalfOpen | What::OneWay) {
                    self.end_half_open(now, n);
                }
            }
        }
    }

    fn record_trouble(&mut self, now: Timestamp, deed: Deed, n: usize) {
        let words = self.troubles[n].words();
        self.recorder.record(now, Record::Deed { deed, who: &words, machine: None });
    }

    fn draw(&mut self, range: Range<f64>) -> f64 {
        self.dice.between(range.low, range.high)
    }

    /// A part of them, one at the least, by chance.
    fn some<T: Clone>(&mut self, all: Vec<T>, share: f64) -> Vec<T> {
        let count =
            ((all.len() as f64 * share).round() as usize).clamp(usize::from(!all.is_empty()), all.len());
        let mut rest = all;
        let mut chosen = Vec::with_capacity(count);
        for _ in 0..count {
            let at = self.dice.below(rest.len());
            chosen.push(rest.remove(at));
        }
        chosen
    }

    fn targets(&mut self, trouble: &Trouble) -> (Vec<usize>, Vec<usize>) {
        let share = self.draw(trouble.share);
        let day = &self.day;
        match trouble.struck() {
            Struck::Machines => {
                let is = |n: &usize| {
                    let rack = day.rack_of(*n);
                    let up = !self.machine(*n).down;
                    up && match &trouble.target {
                        Target::Machine(id) => *id == *n as u64 + 1,
                        Target::Rack(number) => rack + 1 == *number,
                        Target::Hall(hall) => rack % day.halls + 1 == *hall,
                        Target::Kind(name) => day.kinds[day.kind_of(*n)].name == *name,
                        _ => true,
                    }
                };
                let all: Vec<usize> = (0..self.spots.len()).filter(is).collect();
                (self.some(all, share), Vec::new())
            }
            Struck::Planners => {
                let is = |n: &usize| match &trouble.target {
                    Target::Planner(number) => *number == n + 1,
                    Target::Hall(hall) => *n as u32 % day.halls + 1 == *hall,
                    _ => true,
                };
                let all: Vec<usize> = (0..day.planners).filter(is).collect();
                (Vec::new(), self.some(all, share))
            }
            Struck::Connections | Struck::Nothing => (Vec::new(), Vec::new()),
        }
    }

    fn begin(&mut self, now: Timestamp, n: usize) {
        self.record_trouble(now, Deed::TroubleBegins, n);
        let trouble = self.troubles[n].clone();
        let (machines, planners) = self.targets(&trouble);
        let (mut amount, mut every) = (0.0, Duration::ZERO);
        let length = trouble.length.high;
        match &trouble.what {
            What::Slow { by } | What::Heavy { by, .. } | What::Surge { by } => amount = self.draw(*by),
            What::FastErrors { part } | What::Unanswered { part, .. } | What::HotService { part } => {
                amount = self.draw(*part);
            }
            What::Neighbour { part, every: on_off } => {
                amount = self.draw(*part);
                every = self.dice.span(on_off.low, on_off.high);
                let mut at = now + every;
                while at < now + length {
                    self.at(at, Act::Toggle);
                    at = at + every.max(Duration::from_nanos(1_000_000));
                }
            }
            What::ListLate { by } | What::Delay { by } => every = self.dice.span(by.low, by.high),
            What::Restart { down } => {
                for n in &machines {
                    let down = self.dice.span(down.low, down.high);
                    self.machine_down(now, *n);
                    self.at(now + down, Act::MachineUp(*n));
                }
            }
            What::Gone => machines.iter().for_each(|n| self.machine_down(now, *n)),
            What::Drain { then_gone } => {
                for n in &machines {
                    let (rack, at) = self.spots[*n];
                    if let Body::Rack(rack) = &mut self.nodes[rack] {
                        rack.machines[at].drains(now);
                    }
                    self.touched.insert(rack);
                    if let Some(after) = then_gone {
                        let after = self.dice.span(after.low, after.high);
                        self.at(now + after, Act::MachineDown(*n));
                    }
                }
            }
            What::Grow { part } => {
                let spare: Vec<usize> =
                    (self.day.machines..self.spots.len()).filter(|n| self.machine(*n).down).collect();
                let part = self.draw(*part);
                for n in self.some(spare, part) {
                    let after = self.dice.span(Duration::ZERO, length);
                    self.at(now + after, Act::MachineUp(n));
                }
            }
            What::Kill { down, store } => {
                for planner in &planners {
                    let down = self.dice.span(down.low, down.high);
                    self.deeds.push(PlannerDeed::Kill(*planner));
                    match store {
                        Store::Kept => {}
                        Store::Lost => self.deeds.push(PlannerDeed::Store(*planner, Fate::Lost)),
                        Store::Old => self.deeds.push(PlannerDeed::Store(*planner, Fate::Old)),
                    }
                    self.at(now + down, Act::Planner(PlannerDeed::Start(*planner)));
                }
            }
            What::Stop => self.deeds.extend(planners.iter().map(|planner| PlannerDeed::Stop(*planner))),
            What::Stalls { stop, every } => {
                let (stop, every) =
                    (self.dice.span(stop.low, stop.high), self.dice.span(every.low, every.high));
                let mut at = now;
                while at + stop <= now + length {
                    for planner in &planners {
                        self.at(at, Act::Planner(PlannerDeed::Stop(*planner)));
                        self.at(at + stop, Act::Planner(PlannerDeed::Continue(*planner)));
                    }
                    at = at + every.max(stop + Duration::from_nanos(100_000_000));
                }
            }
            What::Roll { down, every } => {
                let (down, every) =
                    (self.dice.span(down.low, down.high), self.dice.span(every.low, every.high));
                for (n, planner) in planners.iter().enumerate() {
                    let at = now + every * n as f64;
                    self.at(at, Act::Planner(PlannerDeed::Kill(*planner)));
                    self.at(at + down, Act::Planner(PlannerDeed::Start(*planner)));
                }
            }
            What::Reconnect { part } => {
                let part = self.draw(*part);
                for node in self.some(self.owner_nodes.clone(), part) {
                    if let Body::Owner(owner) = &mut self.nodes[node] {
                        owner.drops_connections(now);
                    }
                    self.touched.insert(node);
                }
            }
            What::AskAgain { part } => {
                let part = self.draw(*part);
                for node in self.owner_nodes.clone() {
                    if let Body::Owner(owner) = &mut self.nodes[node] {
                        owner.asks_again(now, part);
                    }
                    self.touched.insert(node);
                }
            }
            What::Storm { part, within } => {
                let part = self.draw(*part);
                let within = self.dice.span(within.low, within.high);
                self.with_crowd(|crowd| crowd.storm(now, part, within));
                for node in self.some(self.owner_nodes.clone(), part) {
                    if let Body::Owner(owner) = &mut self.nodes[node] {
                        owner.drops_connections(now);
                    }
                    self.touched.insert(node);
                }
            }
            What::SilentBurst { part } => {
                let part = self.draw(*part);
                self.with_crowd(|crowd| crowd.speaks(part));
            }
            What::SlowSenders { part } => {
                let part = self.draw(*part);
                self.with_crowd(|crowd| crowd.slow_senders(now, part));
            }
            What::Order { .. } => self.deeds.extend(planners.iter().map(|p| PlannerDeed::Order(*p, n))),
            What::Clock { ahead, by } => {
                let by = (self.dice.span(by.low, by.high).nanos() / 1_000_000) as i64;
                let by = if *ahead { by } else { -by };
                self.deeds.extend(planners.iter().map(|planner| PlannerDeed::Clock(*planner, by)));
            }
            What::DiskFull => self.deeds.extend(planners.iter().map(|p| PlannerDeed::DiskFull(*p, true))),
            What::Hang
            | What::OneWay
            | What::ListSilent
            | What::Cut
            | What::Reset
            | What::HalfOpen
            | What::StallLink
            | What::SlowReader => {}
        }
        if length > Duration::ZERO {
            self.active.push(Active { trouble: n, begun: now, machines, planners, amount, every });
        }
        match trouble.what {
            What::Cut => self.end_pipes(now, &trouble, false),
            What::Reset => self.end_pipes(now, &trouble, true),
            _ => {}
        }
        self.strike(now);
    }

    fn with_crowd(&mut self, act: impl FnOnce(&mut Crowd)) {
        let crowd = self.nodes.iter().position(|node| matches!(node, Body::Crowd(_)));
        if let Some(node) = crowd
            && let Body::Crowd(crowd) = &mut self.nodes[node]
        {
            act(crowd);
            self.touched.insert(node);
        }
    }

    fn machine(&self, n: usize) -> &Machine {
        let (rack, at) = self.spots[n];
        match &self.nodes[rack] {
            Body::Rack(rack) => &rack.machines[at],
            _ => unreachable!("machines stand in racks"),
        }
    }

    fn machine_up(&mut self, now: Timestamp, n: usize) {
        let (rack, at) = self.spots[n];
        self.lives += 1;
        let (life, seed) = (self.lives, self.day.seed);
        if let Body::Rack(rack) = &mut self.nodes[rack] {
            rack.comes_up(at, now, life, seed);
        }
        self.touched.insert(rack);
        let who = format!("machine-{}", n + 1);
        self.recorder
            .record(now, Record::Deed { deed: Deed::MachineUp, who: &who, machine: Some(n as u64 + 1) });
        self.strike(now);
    }

    fn machine_down(&mut self, now: Timestamp, n: usize) {
        let (rack, at) = self.spots[n];
        if let Body::Rack(rack) = &mut self.nodes[rack]
            && !rack.machines[at].down
        {
            rack.goes_down(at);
            self.machines_lost += 1;
        }
        self.touched.insert(rack);
        let who = format!("machine-{}", n + 1);
        self.recorder
            .record(now, Record::Deed { deed: Deed::MachineDown, who: &who, machine: Some(n as u64 + 1) });
    }

    /// Works out anew what is the matter with everything.
    fn strike(&mut self, now: Timestamp) {
        let mut plights = vec![Plight::default(); self.spots.len()];
        let mut load = Load::default();
        let mut list = ListPlight::default();
        for active in &self.active {
            let amount = active.amount;
            match &self.troubles[active.trouble].what {
                What::Surge { by: _ } => load.rate *= amount,
                What::HotService { .. } => load.hot = load.hot.max(amount),
                What::ListSilent => list.silent = true,
                What::ListLate { .. } => list.later = list.later + active.every,
                _ => {}
            }
            for n in &active.machines {
                let plight = &mut plights[*n];
                match &self.troubles[active.trouble].what {
                    What::Hang => plight.hangs = true,
                    What::Slow { .. } => plight.slow *= amount,
                    What::FastErrors { .. } => plight.fails = plight.fails.max(amount),
                    What::Neighbour { .. } => {
                        let turns = (now - active.begun).nanos() / active.every.nanos().max(1);
                        if turns.is_multiple_of(2) {
                            plight.neighbour = (plight.neighbour + amount).min(0.95);
                        }
                    }
                    What::Unanswered { case, errs, .. } => {
                        let case = self.day.cases.iter().position(|c| c.case.name == *case).unwrap_or(0);
                        plight.case_fails = Some((case as u32, amount, *errs));
                    }
                    What::Heavy { case, part, .. } => {
                        let case = self.day.cases.iter().position(|c| c.case.name == *case).unwrap_or(0);
                        plight.heavy = Some((case as u32, part.high, amount));
                    }
                    _ => {}
                }
            }
        }
        for (n, plight) in plights.into_iter().enumerate() {
            let (rack, at) = self.spots[n];
            if let Body::Rack(body) = &mut self.nodes[rack]
                && body.machines[at].plight != plight
            {
                body.machines[at].plight = plight;
                self.touched.insert(rack);
            }
        }
        for node in &self.owner_nodes {
            if let Body::Owner(owner) = &mut self.nodes[*node] {
                owner.load = load.clone();
            }
        }
        if let Body::List(body) = &mut self.nodes[self.list_node] {
            body.plight = list;
        }
        self.touched.insert(self.list_node);
        let pipes: Vec<u32> = self.pipes.keys().copied().collect();
        for id in pipes {
            let pipe = &self.pipes[&id];
            let weather = self.pipe_weather(pipe);
            if pipe.weather != weather {
                let (unread, side) = (pipe.weather.slow_reader, pipe.planner_side);
                self.pipes.get_mut(&id).expect("is there").weather = weather;
                if unread != weather.slow_reader {
                    let side = if side == 0 { Side::Opener } else { Side::Opened };
                    self.recorder.record(now, Record::Unread { link: id, side, on: weather.slow_reader });
                }
                for side in 0..2 {
                    self.schedule(now, id, side);
                    self.pump_side(now, id, side);
                }
            }
        }
    }

    // Pipes.

    fn far_matches(&self, far: &Far, node: usize, machine: Option<usize>) -> bool {
        match far {
            Far::Planner(_) | Far::Planners | Far::OtherHalf => false,
            Far::Machines => machine.is_some(),
            Far::Machine(id) => machine.is_some_and(|n| n as u64 + 1 == *id),
            Far::Rack(rack) => machine.is_some_and(|n| self.day.rack_of(n) + 1 == *rack),
            Far::Owners => self.owner_nodes.contains(&node),
            Far::List => node == self.list_node,
        }
    }

    /// Which side of a connection between planners a target names first; nothing where it doesn't mean it.
    fn side_of(target: &Target, planner: usize, other: usize) -> Option<usize> {
        let Target::Link { planner: who, far } = target else { return None };
        let sides = [(0, planner, other), (1, other, planner)];
        let is = |(_, one, two): &(usize, usize, usize)| {
            who.is_none_or(|p| p == one + 1)
                && match far {
                    Far::Planner(n) => *n == two + 1,
                    Far::Planners => true,
                    Far::OtherHalf => one % 2 != two % 2,
                    _ => false,
                }
        };
        sides.into_iter().find(is).map(|(side, ..)| side)
    }

    /// The weather between two planners' books.
    fn weather_between(&self, planner: usize, other: usize) -> Weather {
        let sides = |target: &Target| Self::side_of(target, planner, other);
        self.weather_of(sides)
    }

    /// The weather between a planner and a node; `machine` where it is one.
    fn weather(&self, planner: usize, node: usize, machine: Option<usize>) -> Weather {
        let machine = machine.filter(|n| *n < self.spots.len());
        self.weather_of(|target| {
            let Target::Link { planner: who, far } = target else { return None };
            (who.is_none_or(|p| p == planner + 1) && self.far_matches(far, node, machine)).then_some(0)
        })
    }

    fn weather_of(&self, struck: impl Fn(&Target) -> Option<usize>) -> Weather {
        let mut weather = Weather::default();
        for active in &self.active {
            let trouble = &self.troubles[active.trouble];
            let Some(side) = struck(&trouble.target).filter(|_| trouble.struck() == Struck::Connections)
            else {
                continue;
            };
            match trouble.what {
                What::OneWay => weather.mute = Some(side),
                What::Cut => weather.cut = true,
                What::HalfOpen => weather.half_open = true,
                What::StallLink => weather.stalled = true,
                What::Delay { .. } => weather.extra = weather.extra + active.every,
                What::SlowReader => weather.slow_reader = true,
                _ => {}
            }
        }
        weather
    }

    /// The node at the far end of a pipe, and the machine there.
    fn far_of(&self, pipe: &Pipe) -> (usize, Option<usize>) {
        match (&pipe.to, pipe.ends[0]) {
            (To::Node(node, door), _) => {
                let machine = self.spots.iter().position(|spot| *spot == (*node, *door as usize));
                (*node, machine.filter(|_| *node != self.list_node))
            }
            (To::Outside(_), Some((At::Node(node), _))) => (node, None),
            _ => (usize::MAX, None),
        }
    }

    fn pipe_weather(&self, pipe: &Pipe) -> Weather {
        if let Some(other) = pipe.other {
            return self.weather_between(pipe.planner, other);
        }
        let (node, machine) = self.far_of(pipe);
        self.weather(pipe.planner, node, machine)
    }

    /// Ends the pipes that a trouble strikes; in the middle of a frame where `torn` is set.
    fn end_pipes(&mut self, now: Timestamp, trouble: &Trouble, torn: bool) {
        let Target::Link { planner, far } = &trouble.target else { return };
        let struck = |pipe: &&u32| {
            let pipe = &self.pipes[*pipe];
            if let Some(other) = pipe.other {
                return Self::side_of(&trouble.target, pipe.planner, other).is_some();
            }
            let (node, machine) = self.far_of(pipe);
            planner.is_none_or(|p| p == pipe.planner + 1) && self.far_matches(far, node, machine)
        };
        let ids: Vec<u32> = self.pipes.keys().filter(struck).copied().collect();
        for id in ids {
            self.break_pipe(now, id, torn);
        }
    }

    fn end_half_open(&mut self, now: Timestamp, n: usize) {
        let trouble = self.troubles[n].clone();
        self.end_pipes(now, &trouble, false);
    }

    /// Both ends are told that the connection broke; of what is on its way nothing arrives, or half a frame.
    fn break_pipe(&mut self, now: Timestamp, id: u32, torn: bool) {
        let Some(mut pipe) = self.pipes.remove(&id) else { return };
        self.recorder.record(now, Record::Ended { link: id, how: if torn { "reset" } else { "cut" } });
        for side in 0..2 {
            self.due.retain(|(_, pipe, _)| *pipe != id);
            let Some((at, link)) = pipe.ends[side] else { continue };
            if torn && let Some(Parcel::Bytes { bytes, .. }) = pipe.ways[1 - side].next() {
                self.hand_bytes(now, at, link, &bytes[..bytes.len() / 2]);
            }
            self.by_end.remove(&(at, link));
            self.hand_end(now, at, link, CloseReason::Broken);
        }
    }

    fn hand_bytes(&mut self, now: Timestamp, at: At, link: ConnectionId, bytes: &[u8]) {
        match at {
            At::Node(node) => {
                self.nodes[node].party().on_data(now, link, bytes);
                self.touched.insert(node);
            }
            At::Outside => self.outside.send(link, bytes, None),
        }
    }

    fn hand_end(&mut self, now: Timestamp, at: At, link: ConnectionId, end: CloseReason) {
        match at {
            At::Node(node) => {
                self.nodes[node].party().on_closed(now, link, end);
                self.touched.insert(node);
            }
            At::Outside if end == CloseReason::Broken => {
                self.outside.abort(link);
            }
            At::Outside => self.outside.close(link),
        }
    }

    fn delay(&mut self, id: u32) -> Duration {
        let pipe = &self.pipes[&id];
        let range = if pipe.cross { self.day.cross_delay } else { self.day.delay };
        let extra = pipe.weather.extra;
        self.dice.span(range.low, range.high) + extra
    }

    #[expect(clippy::too_many_arguments, reason = "two ends with their names, and what lies between")]
    fn new_pipe(
        &mut self,
        now: Timestamp,
        opener: (At, ConnectionId),
        opener_name: String,
        opened_name: String,
        to: To,
        planner: usize,
        other: Option<usize>,
    ) {
        let id = self.next_pipe;
        self.next_pipe += 1;
        let planner_side = usize::from(matches!(to, To::Outside(_)) && other.is_none());
        self.recorder.record(now, Record::Opened { link: id, opener: &opener_name, opened: &opened_name });
        let mut pipe = Pipe {
            ends: [Some(opener), None],
            ways: [Way::default(), Way::default()],
            weather: Weather::default(),
            planner_side,
            planner,
            other,
            cross: false,
            to,
        };
        pipe.weather = self.pipe_weather(&pipe);
        let (_, machine) = self.far_of(&pipe);
        let hall = planner as u32 % self.day.halls;
        pipe.cross = machine.is_some_and(|n| self.day.rack_of(n) % self.day.halls != hall)
            || other.is_some_and(|other| other as u32 % self.day.halls != hall);
        self.pipes.insert(id, pipe);
        self.by_end.insert(opener, (id, 0));
        let delay = self.delay(id);
        self.put(now, id, 0, now + delay, Parcel::Open);
    }

    fn put(&mut self, now: Timestamp, id: u32, side: usize, due: Timestamp, parcel: Parcel) {
        if let Some(pipe) = self.pipes.get_mut(&id) {
            pipe.ways[side].put(due, parcel);
            self.schedule(now, id, side);
        }
    }

    /// Notes when the next parcel from this side is to be handed on, unless the weather holds it.
    fn schedule(&mut self, now: Timestamp, id: u32, side: usize) {
        let Some(pipe) = self.pipes.get(&id) else { return };
        if let Some(due) = pipe.ways[side].due()
            && !pipe.weather.stalled
        {
            self.due.insert((due.max(now), id, side));
        }
    }

    /// Takes what a party wrote into the way from its side.
    fn enter(&mut self, now: Timestamp, id: u32, side: usize, bytes: &[u8]) {
        let delay = self.delay(id);
        let Some(pipe) = self.pipes.get_mut(&id) else { return };
        let recorder = &mut self.recorder;
        let from = if side == 0 { Side::Opener } else { Side::Opened };
        pipe.ways[side].take(now, delay, bytes, |number, frame| {
            recorder.record(now, Record::Frame { link: id, side: from, number, bytes: frame });
        });
        self.schedule(now, id, side);
    }

    /// The party of this side is done with the connection.
    fn leave(&mut self, now: Timestamp, id: u32, side: usize, end: CloseReason) {
        let delay = self.delay(id);
        let Some(pipe) = self.pipes.get_mut(&id) else { return };
        if let Some(end) = pipe.ends[side].take() {
            self.by_end.remove(&end);
        }
        let how = match end {
            CloseReason::Refused => "refused",
            CloseReason::NotAttempted => "untried",
            CloseReason::Closed => "closed",
            CloseReason::Broken => "broken",
        };
        self.recorder.record(now, Record::Ended { link: id, how });
        if pipe.ends[1 - side].is_none() && pipe.ways[side].due().is_none() {
            self.pipes.remove(&id);
            return;
        }
        pipe.ways[side].end(now, delay, end);
        self.schedule(now, id, side);
    }

    /// Takes in what waits at this end, as far as the way has room.
    fn pump_side(&mut self, now: Timestamp, id: u32, side: usize) {
        let Some(pipe) = self.pipes.get(&id) else { return };
        let Some((at, link)) = pipe.ends[side] else { return };
        let blocked = pipe.ways[side].is_full() || (pipe.weather.slow_reader && side == pipe.planner_side);
        match at {
            At::Outside => self.outside.set_reading_paused(link, blocked),
            At::Node(node) if !blocked => {
                let links = self.nodes[node].party().connections();
                let bytes = links.outgoing(link).to_vec();
                if !bytes.is_empty() {
                    links.mark_written(link, bytes.len());
                    self.enter(now, id, side, &bytes);
                }
            }
            At::Node(_) => {}
        }
    }

    fn deliver(&mut self, now: Timestamp) {
        while let Some((due, id, side)) = self.due.first().copied()
            && due <= now
        {
            self.due.pop_first();
            let Some(pipe) = self.pipes.get_mut(&id) else { continue };
            if pipe.weather.stalled || pipe.ways[side].due().is_none_or(|due| due > now) {
                self.schedule(now, id, side);
                continue;
            }
            let Some(parcel) = pipe.ways[side].next() else { continue };
            let mute = pipe.weather.half_open || pipe.weather.mute == Some(side);
            let swallowed = mute && !matches!(parcel, Parcel::Open | Parcel::Up);
            if !swallowed {
                self.hand(now, id, side, parcel);
            }
            self.schedule(now, id, side);
            self.pump_side(now, id, side);
        }
    }

    fn hand(&mut self, now: Timestamp, id: u32, side: usize, parcel: Parcel) {
        let pipe = &self.pipes[&id];
        let far = pipe.ends[1 - side];
        match parcel {
            Parcel::Open => self.hand_open(now, id),
            Parcel::Up => {
                if let Some((At::Node(node), link)) = far {
                    self.nodes[node].party().on_connected(now, link);
                    self.touched.insert(node);
                }
            }
            Parcel::Bytes { bytes, number } => {
                let Some((at, link)) = far else { return };
                if let Some(number) = number {
                    let from = if side == 0 { Side::Opener } else { Side::Opened };
                    self.recorder.record(now, Record::Delivered { link: id, side: from, number });
                }
                self.hand_bytes(now, at, link, &bytes);
            }
            Parcel::End(end) => {
                if let Some(far) = far {
                    self.by_end.remove(&far);
                    self.hand_end(now, far.0, far.1, end);
                }
                self.pipes.remove(&id);
            }
        }
    }

    fn hand_open(&mut self, now: Timestamp, id: u32) {
        let pipe = &self.pipes[&id];
        match pipe.to.clone() {
            To::Outside(address) => {
                let refused = pipe.weather.cut;
                if refused {
                    return self.refuse(now, id);
                }
                let link = self.outside.open(&address);
                self.pipes.get_mut(&id).expect("is there").ends[1] = Some((At::Outside, link));
                self.by_end.insert((At::Outside, link), (id, 1));
            }
            To::Node(node, door) => {
                let listens = match &self.nodes[node] {
                    Body::Rack(rack) => rack.listens(ListenerId(door)),
                    _ => true,
                };
                if !listens || pipe.weather.cut {
                    return self.refuse(now, id);
                }
                let party = self.nodes[node].party();
                let link = party.connections().register();
                party.on_connection_accepted(now, link, ListenerId(door));
                self.touched.insert(node);
                self.pipes.get_mut(&id).expect("is there").ends[1] = Some((At::Node(node), link));
                self.by_end.insert((At::Node(node), link), (id, 1));
                let delay = self.delay(id);
                self.put(now, id, 1, now + delay, Parcel::Up);
            }
        }
    }

    fn refuse(&mut self, now: Timestamp, id: u32) {
        let delay = self.delay(id);
        self.recorder.record(now, Record::Ended { link: id, how: "refused" });
        self.put(now, id, 1, now + delay, Parcel::End(CloseReason::Refused));
    }

    /// Carries out what the nodes that were touched ask for.
    fn settle(&mut self, now: Timestamp) {
        while let Some(node) = self.touched.pop_first() {
            self.nodes[node].party().poll(now);
            self.gather(now, node);
            self.note_wake(node);
        }
    }

    fn note_wake(&mut self, node: usize) {
        let wake = self.nodes[node].wake();
        self.wakes.resize(self.nodes.len(), None);
        if let Some(before) = std::mem::replace(&mut self.wakes[node], wake) {
            self.wake_order.remove(&(before, node));
        }
        if let Some(at) = wake {
            self.wake_order.insert((at, node));
        }
    }

    fn gather(&mut self, now: Timestamp, node: usize) {
        loop {
            let links = self.nodes[node].party().connections();
            if let Some(link) = links.next_with_output() {
                if let Some((id, side)) = self.by_end.get(&(At::Node(node), link)).copied() {
                    self.pump_side(now, id, side);
                }
                continue;
            }
            let Some(ask) = links.next_command() else { break };
            match ask {
                Command::Open(link, address) => {
                    let planner =
                        address.rsplit('-').next().and_then(|n| n.parse::<usize>().ok()).unwrap_or(1);
                    let name = self.names[node].clone();
                    let to = To::Outside(address.clone());
                    self.new_pipe(now, (At::Node(node), link), name, address, to, planner - 1, None);
                }
                Command::Close { connection: link, immediately: at_once } => {
                    if let Some((id, side)) = self.by_end.get(&(At::Node(node), link)).copied() {
                        if !at_once {
                            let bytes = self.nodes[node].party().connections().outgoing(link).to_vec();
                            self.enter(now, id, side, &bytes);
                        }
                        self.nodes[node].party().connections().discard(link);
                        self.leave(
                            now,
                            id,
                            side,
                            if at_once { CloseReason::Broken } else { CloseReason::Closed },
                        );
                    }
                }
            }
        }
        let mut started = Vec::new();
        if let Body::Rack(rack) = &mut self.nodes[node] {
            started = std::mem::take(&mut rack.started);
            for machine in std::mem::take(&mut rack.fell_over) {
                self.machines_fallen += 1;
                let who = format!("machine-{machine}");
                self.recorder
                    .record(now, Record::Deed { deed: Deed::FellOver, who: &who, machine: Some(machine) });
            }
        }
        for (at, key) in started {
            for owner in &self.owner_nodes {
                if let Body::Owner(owner) = &mut self.nodes[*owner] {
                    owner.started(at, key);
                }
            }
        }
    }

    /// The list service looks at all machines.
    fn look(&mut self, now: Timestamp) {
        if self.next_look > now {
            return;
        }
        self.next_look = now + self.day.list.period;
        let warm_after = self.day.rules.warm_up_time;
        let fact = |n: usize| {
            let machine = self.machine(n);
            let (settings, left) = (&machine.settings, machine.left());
            let fresh = machine.life > 0 && now - machine.up_since < warm_after;
            Fact {
                machine: settings.id,
                kind: settings.kind,
                cell: settings.cell,
                zone: settings.zone,
                up: !machine.down,
                draining: machine.draining,
                life: machine.life,
                started: fresh.then_some(machine.up_since),
                cores_left: left.cores,
                memory_left: left.memory,
            }
        };
        let facts = (0..self.spots.len()).map(fact).collect();
        if let Body::List(list) = &mut self.nodes[self.list_node] {
            list.observe(now, facts);
        }
        self.note_wake(self.list_node);
    }
}

impl<W: Write> StateMachine for Stage<W> {
    fn on_connection_accepted(&mut self, now: Timestamp, link: ConnectionId, door: ListenerId) {
        let now = now.max(self.now);
        let (planner, n) = ((door.0 / DOORS) as usize, door.0 % DOORS);
        if (BOOKS_DOORS..LIST_DOOR).contains(&n) {
            let other = (n - BOOKS_DOORS) as usize;
            let [mine, theirs] = [planner, other].map(|n| format!("books-{}", n + 1));
            let to = To::Outside(theirs.clone());
            return self.new_pipe(now, (At::Outside, link), mine, theirs, to, planner, Some(other));
        }
        let (to, name) = if n == LIST_DOOR {
            (To::Node(self.list_node, 0), "list".to_owned())
        } else {
            let (rack, at) = self.spots[n as usize];
            (To::Node(rack, at as u32), format!("machine-{}", n + 1))
        };
        self.new_pipe(now, (At::Outside, link), format!("planner-{}", planner + 1), name, to, planner, None);
    }

    fn on_connected(&mut self, now: Timestamp, link: ConnectionId) {
        let now = now.max(self.now);
        if let Some((id, side)) = self.by_end.get(&(At::Outside, link)).copied() {
            let delay = self.delay(id);
            self.put(now, id, side, now + delay, Parcel::Up);
        }
    }

    fn on_data(&mut self, now: Timestamp, link: ConnectionId, bytes: &[u8]) {
        let now = now.max(self.now);
        if let Some((id, side)) = self.by_end.get(&(At::Outside, link)).copied() {
            self.enter(now, id, side, bytes);
            self.pump_side(now, id, side);
        }
    }

    fn on_closed(&mut self, now: Timestamp, link: ConnectionId, end: CloseReason) {
        let now = now.max(self.now);
        self.outside.remove(link);
        if let Some((id, side)) = self.by_end.get(&(At::Outside, link)).copied() {
            self.leave(now, id, side, end);
        }
    }

    fn poll(&mut self, now: Timestamp) {
        let now = now.max(self.now);
        self.now = now;
        if !std::mem::replace(&mut self.begun, true) {
            let terms = self.terms();
            self.recorder.record(now, Record::Terms(terms));
            self.touched.extend(0..self.nodes.len());
        }
        loop {
            self.play(now);
            self.look(now);
            self.deliver(now);
            let due = self.wake_order.iter().take_while(|(at, _)| *at <= now);
            self.touched.extend(due.map(|(_, node)| *node));
            if self.touched.is_empty() {
                return;
            }
            self.settle(now);
        }
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        if !self.begun {
            return Some(Timestamp::default());
        }
        let node = self.wake_order.first().map(|(at, _)| *at);
        let due = self.due.first().map(|(due, ..)| *due);
        let act = self.timeline.first_key_value().map(|((at, _), _)| *at);
        [node, due, act, Some(self.next_look)].into_iter().flatten().min()
    }

    fn connections(&mut self) -> &mut Connections {
        &mut self.outside
    }

    fn is_listening(&self, door: ListenerId) -> bool {
        let (planner, n) = ((door.0 / DOORS) as usize, door.0 % DOORS);
        if (BOOKS_DOORS..LIST_DOOR).contains(&n) {
            return !self.weather_between(planner, (n - BOOKS_DOORS) as usize).cut;
        }
        let to = if n == LIST_DOOR {
            self.list_node
        } else {
            self.spots.get(n as usize).map_or(usize::MAX, |s| s.0)
        };
        let weather = self.weather(planner, to, Some(n as usize));
        let up = match self.spots.get(n as usize) {
            Some((rack, at)) if n != LIST_DOOR => match &self.nodes[*rack] {
                Body::Rack(rack) => rack.listens(ListenerId(*at as u32)),
                _ => false,
            },
            _ => n == LIST_DOOR,
        };
        up && !weather.cut
    }
}
