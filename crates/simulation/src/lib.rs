//! Plays a day in virtual time: the same engines and the same stage, one thread, one seed.
//!
//! For: running any bad day again, bit for bit. Planners are joined to the stage by wires that take no time;
//! all delays are the taps'. A stopped planner's bytes wait as in a socket's buffers; a killed one keeps what
//! it had asked to keep.
//! May not touch: real clocks, sockets, threads.

pub use mulleinhub_baselines::Ranking;

mod books;

use books::{Books, Disk};
use mulleinhub_baselines::Baseline;
use mulleinhub_engine::{Counts, Engine};
use mulleinhub_interface::{Duration, Pcg, PolicySettings, Timestamp};
use mulleinhub_planner::{
    LedgerText, PlannerSettings, SettingsText, parse_operator_directives, parse_settings_text,
};
use mulleinhub_sans_io::{CloseReason, Command, ConnectionId, ListenerId, StateMachine};
use mulleinhub_scenario::{Behind, Day, Fate, PlannerDeed, Score, Stage, list_door};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;

/// Bytes that a socket's buffers hold for a process that doesn't read.
const SOCKET: usize = 256 * 1024;
/// Turns at one instant after which the day is taken to run in circles.
const MOST_TURNS: u32 = 100_000;

#[derive(Default)]
struct Slot {
    engine: Option<Engine>,
    books: Option<Books>,
    stopped: bool,
    kept: Option<Vec<u8>>,
    disk: Disk,
    /// What was on its disk when it was killed, the last time and the time before.
    killed: [Disk; 2],
    disk_full: bool,
    /// By how much its clock is ahead, in milliseconds.
    ahead: i64,
    /// The operators' orders file.
    orders: String,
    life: u64,
    /// What came while it stood still, for the planner or for its books.
    waiting: Vec<(Seat, Waiting)>,
    waiting_bytes: usize,
}

/// Who in a planner's process has a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Seat {
    planner: usize,
    books: bool,
}

impl Slot {
    fn party(&mut self, seat: Seat) -> Option<&mut dyn StateMachine> {
        match seat.books {
            false => self.engine.as_mut().map(|engine| engine as &mut dyn StateMachine),
            true => self.books.as_mut().map(|books| &mut books.exchange as &mut dyn StateMachine),
        }
    }
}

enum Waiting {
    Opened(ConnectionId),
    Up(ConnectionId),
    Bytes(ConnectionId, Vec<u8>),
    Ended(ConnectionId, CloseReason),
}

/// A day in virtual time.
pub struct Runner<W: Write> {
    stage: Stage<W>,
    slots: Vec<Slot>,
    settings: Vec<PlannerSettings>,
    /// The wires: a planner's link and the stage's.
    to_stage: BTreeMap<(Seat, ConnectionId), ConnectionId>,
    to_planner: BTreeMap<ConnectionId, (Seat, ConnectionId)>,
    /// Planners' links whose bytes the stage did not read when they were offered.
    unread: BTreeSet<(Seat, ConnectionId)>,
    /// How long each sync takes.
    chance: Pcg,
    begins: u64,
    syncs: (Duration, Duration),
    now: Timestamp,
    counts: Counts,
    /// In place of the module: for comparison only.
    baseline: Option<Ranking>,
}

/// The settings text of a day's planner. `listen` and `list` are what the host of the planner has for it.
pub fn planner_text<'a>(
    day: &'a Day,
    planner: usize,
    listen: Option<std::net::SocketAddr>,
    list: String,
    state_dir: Option<&'a std::path::Path>,
    books: Option<LedgerText<'a>>,
) -> SettingsText<'a> {
    SettingsText {
        name: format!("planner-{}", planner + 1),
        number: planner,
        schedulers: day.planners,
        seed: day.seed.wrapping_mul(1_000_003).wrapping_add(planner as u64),
        zone: planner as u32 % day.halls,
        listen,
        list,
        state_dir,
        poll_for_list: day.list.asked,
        rules: &day.rules,
        kinds: &day.kinds,
        use_cases: day.cases.iter().map(|case| &case.case).collect(),
        accepts: (day.machine.accepts_cores, day.machine.accepts_memory),
        accepts_when_running: day.machine.yes_when_running,
        reports_pressure: day.machine.tells_pressure,
        prices: (day.machine_price, day.cross_hall_price),
        max_in_flight: day.most_in_hand,
        ledger: books,
    }
}

impl<W: Write> Runner<W> {
    /// # Panics Where the settings that the day gives its planners are faulty, which is a defect of the day's
    /// own checks.
    pub fn new(day: Day, out: W) -> Self {
        let mut stage = Stage::new(day.clone(), out);
        let doors = stage.doors();
        let members_of = |planner: usize| -> Vec<(String, String)> {
            let others = doors.iter().filter(|(_, of, _)| *of == planner);
            let books = others.filter_map(|(door, _, behind)| match behind {
                Behind::Books(other) => Some((format!("planner-{}", other + 1), format!("door:{}", door.0))),
                _ => None,
            });
            // Nobody calls itself.
            let me = (format!("planner-{}", planner + 1), "door:".to_owned());
            books.chain([me]).collect()
        };
        let settings = (0..day.planners)
            .map(|planner| {
                let list = format!("door:{}", list_door(planner).0);
                let books = day.books.as_ref().map(|books| LedgerText {
                    terms: &books.terms,
                    members: members_of(planner),
                    directives_file: None,
                    clock_ahead_ms: 0,
                });
                let text = planner_text(&day, planner, None, list, None, books).render();
                parse_settings_text(&text).unwrap_or_else(|faults| panic!("{faults}"))
            })
            .collect();
        let slots = (0..day.planners).map(|_| Slot::default()).collect();
        let begins = day.books.as_ref().map_or(0, |books| books.begins());
        let syncs =
            day.books.as_ref().map_or((Duration::ZERO, Duration::ZERO), |b| (b.syncs.low, b.syncs.high));
        let chance = Pcg::new(day.seed);
        for (door, ..) in doors {
            stage.set_address(door, format!("door:{}", door.0));
        }
        Self {
            stage,
            slots,
            settings,
            to_stage: BTreeMap::new(),
            to_planner: BTreeMap::new(),
            unread: BTreeSet::new(),
            chance,
            begins,
            syncs,
            now: Timestamp::default(),
            counts: Counts::default(),
            baseline: None,
        }
    }

    /// Lets a plain policy decide in the module's place.
    pub fn with_baseline(mut self, rule: Option<Ranking>) -> Self {
        self.baseline = rule;
        self
    }

    /// Plays the day to its end. `watch` is called about once a virtual second.
    ///
    /// # Errors
    /// Where the record could not be written.
    pub fn play(mut self, watch: impl FnMut(Timestamp, &Stage<W>)) -> std::io::Result<(Score, Counts, W)> {
        self.play_to_end(watch);
        for slot in &self.slots {
            if let Some(engine) = &slot.engine {
                add(&mut self.counts, &engine.counts());
            }
        }
        let (score, out) = self.stage.finish(self.now)?;
        Ok((score, self.counts, out))
    }

    /// How each planner that is up is, in lines for a person.
    pub fn status(&self) -> Vec<String> {
        self.slots.iter().filter_map(|slot| slot.engine.as_ref()).map(Engine::status).collect()
    }

    /// Plays on until the day is over.
    pub fn play_to_end(&mut self, mut watch: impl FnMut(Timestamp, &Stage<W>)) {
        let mut watched = 0;
        let mut turns = 0;
        while !self.stage.is_over(self.now) {
            self.turn();
            let second = self.now.nanos() / 1_000_000_000;
            if second > watched {
                watched = second;
                watch(self.now, &self.stage);
            }
            let engines =
                self.slots.iter().filter(|slot| !slot.stopped).filter_map(|slot| slot.engine.as_ref());
            let books = self.slots.iter().filter(|slot| !slot.stopped).filter_map(|slot| slot.books.as_ref());
            let next = engines.filter_map(Engine::next_wakeup).chain(books.filter_map(Books::wake));
            let next = next.chain(self.stage.next_wakeup()).min();
            let Some(next) = next else { break };
            turns = if next > self.now { 0 } else { turns + 1 };
            assert!(turns < MOST_TURNS, "the day runs in circles at {} ns", self.now.nanos());
            self.now = self.now.max(next);
        }
    }

    fn turn(&mut self) {
        self.stage.poll(self.now);
        self.carry_out_stage();
        while let Some(deed) = self.stage.next_deed() {
            self.do_deed(deed);
        }
        for planner in 0..self.slots.len() {
            let slot = &mut self.slots[planner];
            if slot.stopped {
                continue;
            }
            let Some(engine) = &mut slot.engine else { continue };
            engine.poll(self.now);
            if let Some(kept) = engine.state_to_persist() {
                slot.kept = Some(kept);
            }
            self.carry_out_planner(Seat { planner, books: false });
            let Slot { books: Some(books), disk, ahead, disk_full, .. } = &mut self.slots[planner] else {
                continue;
            };
            let (low, high) = self.syncs;
            let chance = &mut self.chance;
            if books.turn(self.now, *ahead, disk, *disk_full, || low + (high - low) * chance.fraction()) {
                self.carry_out_planner(Seat { planner, books: true });
            }
        }
        for (seat, link) in std::mem::take(&mut self.unread) {
            self.carry_to_stage(seat, link);
        }
    }

    fn do_deed(&mut self, deed: PlannerDeed) {
        match deed {
            PlannerDeed::Start(planner) => {
                let slot = &mut self.slots[planner];
                if slot.engine.is_some() {
                    return;
                }
                slot.life += 1;
                slot.stopped = false;
                let life = slot.life * 1_000 + planner as u64;
                let conf = &self.settings[planner];
                let (settings, kept) = (conf.engine.clone(), slot.kept.clone());
                let started =
                    conf.ledger.as_ref().map(|books| Books::start(books, self.begins, life, &slot.disk));
                let (books, teller) = started.unzip();
                slot.books = books;
                let engine = match self.baseline {
                    None => Engine::new(settings, life, kept),
                    Some(rule) => {
                        let policy_settings = PolicySettings {
                            use_cases: settings.use_cases.clone(),
                            machine_kinds: settings.machine_kinds.clone(),
                            acceptance: settings.acceptance,
                            slow_start: settings.slow_start,
                            discovery: settings.discovery,
                            locality: settings.locality,
                        };
                        let mind = Baseline::new(rule, settings.seed ^ life, policy_settings);
                        Engine::with_policy(Box::new(mind), settings, life, kept)
                    }
                };
                slot.engine = Some(books::with(engine, teller));
                self.give_orders(planner);
            }
            PlannerDeed::Kill(planner) => {
                let Some(engine) = self.slots[planner].engine.take() else { return };
                add(&mut self.counts, &engine.counts());
                let slot = &mut self.slots[planner];
                slot.books = None;
                slot.killed.swap(0, 1);
                slot.killed[0] = slot.disk.clone();
                slot.stopped = false;
                slot.waiting.clear();
                slot.waiting_bytes = 0;
                for link in self.links_of(planner) {
                    self.unwire(link);
                    self.stage.on_closed(self.now, link, CloseReason::Broken);
                }
            }
            PlannerDeed::Store(planner, fate) => {
                let slot = &mut self.slots[planner];
                slot.disk = match fate {
                    Fate::Lost => Disk::default(),
                    Fate::Old => slot.killed[1].clone(),
                };
            }
            PlannerDeed::Order(planner, place) => {
                let line = self.stage.order(place).to_owned() + "\n";
                self.slots[planner].orders += &line;
                self.give_orders(planner);
            }
            PlannerDeed::Clock(planner, ahead) => self.slots[planner].ahead = ahead,
            PlannerDeed::DiskFull(planner, full) => self.slots[planner].disk_full = full,
            PlannerDeed::Stop(planner) => {
                if self.slots[planner].engine.is_none() || self.slots[planner].stopped {
                    return;
                }
                self.slots[planner].stopped = true;
            }
            PlannerDeed::Continue(planner) => {
                if !std::mem::replace(&mut self.slots[planner].stopped, false) {
                    return;
                }
                self.slots[planner].waiting_bytes = 0;
                for (seat, waiting) in std::mem::take(&mut self.slots[planner].waiting) {
                    self.tell_planner(seat, waiting);
                }
                // What waited in the stage for room goes on.
                for link in self.links_of(planner) {
                    self.carry_to_planner(link);
                }
            }
        }
        self.stage.did(self.now, deed);
    }

    /// The stage's links to this planner.
    fn links_of(&self, planner: usize) -> Vec<ConnectionId> {
        self.to_planner
            .iter()
            .filter(|(_, (seat, _))| seat.planner == planner)
            .map(|(link, _)| *link)
            .collect()
    }

    fn unwire(&mut self, stage_link: ConnectionId) {
        if let Some(end) = self.to_planner.remove(&stage_link) {
            self.to_stage.remove(&end);
        }
    }

    /// The orders file is read at the start, and again when it changed.
    fn give_orders(&mut self, planner: usize) {
        let slot = &mut self.slots[planner];
        if let Some(books) = &mut slot.books {
            let orders =
                parse_operator_directives("orders", &slot.orders).unwrap_or_else(|faults| panic!("{faults}"));
            books.exchange.apply_directives(&orders);
            books.told = true;
        }
    }

    fn tell_planner(&mut self, seat: Seat, news: Waiting) {
        let now = self.now;
        let slot = &mut self.slots[seat.planner];
        if slot.stopped {
            if let Waiting::Bytes(_, bytes) = &news {
                slot.waiting_bytes += bytes.len();
            }
            slot.waiting.push((seat, news));
            return;
        }
        if let (true, Some(books)) = (seat.books, &mut slot.books) {
            books.told = true;
        }
        let Some(party) = slot.party(seat) else { return };
        match news {
            Waiting::Opened(link) => party.on_connection_accepted(now, link, ListenerId(0)),
            Waiting::Up(link) => party.on_connected(now, link),
            Waiting::Bytes(link, bytes) => party.on_data(now, link, &bytes),
            Waiting::Ended(link, end) => party.on_closed(now, link, end),
        }
    }

    fn carry_to_planner(&mut self, link: ConnectionId) {
        let Some((seat, theirs)) = self.to_planner.get(&link).copied() else { return };
        let slot = &self.slots[seat.planner];
        let room = if slot.stopped { SOCKET.saturating_sub(slot.waiting_bytes) } else { usize::MAX };
        let waits = self.stage.connections().outgoing(link);
        let bytes = waits[..waits.len().min(room)].to_vec();
        if !bytes.is_empty() {
            self.stage.connections().mark_written(link, bytes.len());
            self.tell_planner(seat, Waiting::Bytes(theirs, bytes));
        }
    }

    fn carry_out_stage(&mut self) {
        loop {
            while let Some(link) = self.stage.connections().next_with_output() {
                self.carry_to_planner(link);
            }
            let Some(ask) = self.stage.connections().next_command() else { return };
            match ask {
                Command::Open(link, address) => {
                    let (whose, number) = address.rsplit_once('-').unwrap_or_default();
                    let planner = number.parse::<usize>().map_or(usize::MAX, |n| n - 1);
                    let seat = Seat { planner, books: whose == "books" };
                    let up = self.slots.get_mut(planner).and_then(|slot| slot.party(seat));
                    match up {
                        Some(party) => {
                            let theirs = party.connections().register();
                            self.to_planner.insert(link, (seat, theirs));
                            self.to_stage.insert((seat, theirs), link);
                            self.tell_planner(seat, Waiting::Opened(theirs));
                            self.stage.on_connected(self.now, link);
                        }
                        None => {
                            self.stage.connections().discard(link);
                            self.stage.on_closed(self.now, link, CloseReason::Refused);
                        }
                    }
                }
                Command::Close { connection: link, immediately: at_once } => {
                    if !at_once {
                        self.carry_to_planner(link);
                    }
                    self.stage.connections().discard(link);
                    if let Some((seat, theirs)) = self.to_planner.get(&link).copied() {
                        self.unwire(link);
                        let end = if at_once { CloseReason::Broken } else { CloseReason::Closed };
                        self.tell_planner(seat, Waiting::Ended(theirs, end));
                    }
                }
            }
        }
    }

    fn carry_out_planner(&mut self, seat: Seat) {
        loop {
            let Some(party) = self.slots[seat.planner].party(seat) else { return };
            if let Some(link) = party.connections().next_with_output() {
                self.carry_to_stage(seat, link);
                continue;
            }
            let Some(ask) = party.connections().next_command() else { break };
            match ask {
                Command::Open(link, address) => {
                    let door = address.strip_prefix("door:").and_then(|n| n.parse().ok()).map(ListenerId);
                    match door.filter(|door| self.stage.is_listening(*door)) {
                        Some(door) => {
                            let ours = self.stage.connections().register();
                            self.to_planner.insert(ours, (seat, link));
                            self.to_stage.insert((seat, link), ours);
                            self.stage.on_connection_accepted(self.now, ours, door);
                            self.tell_planner(seat, Waiting::Up(link));
                        }
                        None => {
                            self.tell_planner(seat, Waiting::Ended(link, CloseReason::Refused));
                        }
                    }
                }
                Command::Close { connection: link, immediately: at_once } => {
                    if !at_once {
                        self.carry_to_stage(seat, link);
                    }
                    if let Some(party) = self.slots[seat.planner].party(seat) {
                        party.connections().discard(link);
                    }
                    if let Some(ours) = self.to_stage.get(&(seat, link)).copied() {
                        self.unwire(ours);
                        self.stage.on_closed(
                            self.now,
                            ours,
                            if at_once { CloseReason::Broken } else { CloseReason::Closed },
                        );
                    }
                }
            }
        }
    }

    /// All that waits goes over, unless the stage doesn't read from this connection now.
    fn carry_to_stage(&mut self, seat: Seat, link: ConnectionId) {
        let Some(ours) = self.to_stage.get(&(seat, link)).copied() else { return };
        let Some(party) = self.slots[seat.planner].party(seat) else { return };
        if self.stage.connections().is_reading_paused(ours) {
            self.unread.insert((seat, link));
            return;
        }
        let bytes = party.connections().outgoing(link).to_vec();
        if !bytes.is_empty() {
            party.connections().mark_written(link, bytes.len());
            self.stage.on_data(self.now, ours, &bytes);
        }
    }
}

fn add(sum: &mut Counts, counts: &Counts) {
    sum.accepted += counts.accepted;
    sum.placed += counts.placed;
    sum.rejected += counts.rejected;
    sum.failed += counts.failed;
    sum.attempts += counts.attempts;
    sum.late_acceptances += counts.late_acceptances;
    sum.protocol_errors += counts.protocol_errors;
}
