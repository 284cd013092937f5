//! Many ledgers in one thread and in virtual time: from one instant at which something happens to the next.
//!
//! At an instant everything that comes to a member is told first, and then it has one turn. The processor
//! time of members is counted around these alone; what stands for wires and disks is left out.

use crate::ledgers::load::Cue;
use crate::ledgers::member::{Disk, Done, FleetSettings, Ledger, Told, Writes};
use crate::ledgers::network::{Connection, FlowId, Healed, Layout, Network, Parcel, other};
use crate::meter::Stopwatch;
use crate::profile::{Cut, Profile, RunPlan};
use mulleinhub_interface::{Duration, Pcg, Timestamp};
use mulleinhub_protocol::{Frames, Message, decode};
use mulleinhub_sans_io::{CloseReason, Command, ConnectionId, Timers};
use std::collections::BTreeMap;

/// When all begins: the first instants of a clock are special to nobody.
pub const BEGIN: Timestamp = Timestamp::from_nanos(1_000_000_000);
/// Members that start together do so within this.
const START_SPREAD: Duration = Duration::from_nanos(100_000_000);
/// Two turns of one member are so far apart at least.
const TURN: Duration = Duration::from_nanos(20_000);
/// What a group of writes takes until it is on disk.
const DISK_LEAST: Duration = Duration::from_nanos(2_000_000);
const DISK_MOST: Duration = Duration::from_nanos(8_000_000);

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A member starts.
    Start {
        member: usize,
    },
    /// A connection comes in at whom it was opened to.
    Called(FlowId),
    /// It was taken; whoever opened it hears of that.
    Taken(FlowId),
    /// Nobody listens there.
    Refused(FlowId),
    Bytes {
        connection: FlowId,
        to: usize,
        parcel: Parcel,
    },
    Closed {
        connection: FlowId,
        to: usize,
    },
    Breaks(FlowId),
    Written {
        member: usize,
        life: u64,
    },
    Wake {
        member: usize,
    },
    Cue(Cue),
}

/// Bytes and messages of one member, counted at its wires.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub messages_in: u64,
    pub messages_out: u64,
}

impl Counts {
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            bytes_in: self.bytes_in - earlier.bytes_in,
            bytes_out: self.bytes_out - earlier.bytes_out,
            messages_in: self.messages_in - earlier.messages_in,
            messages_out: self.messages_out - earlier.messages_out,
        }
    }
}

/// Messages of one kind, and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KindCount {
    pub messages: u64,
    pub bytes: u64,
}

/// A machine that a member runs on.
struct Seat {
    ledger: Option<Ledger>,
    life: u64,
    disk: Disk,
    /// What the disk is writing, and what waits for that.
    writing: Option<Writes>,
    waiting: Writes,
    wake_at: Option<Timestamp>,
    counts: Counts,
    started_at: Timestamp,
}

/// What a turn of a member brought.
#[derive(Clone, Copy, Debug)]
pub struct Turned {
    pub member: usize,
    /// It looked at all quotas: what it knew before is in force.
    pub looked: bool,
}

pub struct Fleet {
    settings: FleetSettings,
    seats: Vec<Seat>,
    network: Network,
    events: Timers<Event>,
    told: BTreeMap<usize, Vec<Told>>,
    chance: Pcg,
    stopwatch: Stopwatch,
    kinds: BTreeMap<&'static str, KindCount>,
    now: Timestamp,
}

impl Fleet {
    /// All members, to be started together.
    #[must_use]
    pub fn new(profile: &Profile, plan: &RunPlan) -> Self {
        let size = plan.size;
        let schedulers = size.schedulers as usize;
        let layout = Layout { zones: size.zones, regions: size.regions, round_trips: profile.round_trips };
        let settings = FleetSettings {
            schedulers,
            teams: size.teams as usize,
            team_running: u64::from(size.running) / u64::from(size.teams.max(1)),
            seed: profile.seed,
            replicas: profile.replicas.map(|replicas| replicas as usize),
            places: (0..schedulers).map(|member| layout.place(member)).collect(),
        };
        let disk_is_read = size.failures > 0.0;
        let seat = |_| Seat {
            ledger: None,
            life: 0,
            disk: Disk::new(disk_is_read),
            writing: None,
            waiting: Writes::default(),
            wake_at: None,
            counts: Counts::default(),
            started_at: Timestamp::default(),
        };
        let mut fleet = Self {
            settings,
            seats: (0..schedulers).map(seat).collect(),
            network: Network::new(profile, layout, schedulers),
            events: Timers::default(),
            told: BTreeMap::new(),
            chance: Pcg::new(profile.seed),
            stopwatch: Stopwatch::calibrated(),
            kinds: BTreeMap::new(),
            now: BEGIN,
        };
        for member in 0..schedulers {
            let at = BEGIN + START_SPREAD * fleet.chance.fraction();
            fleet.events.schedule(at, Event::Start { member });
        }
        fleet
    }

    // For whoever drives it.

    /// When something happens next.
    #[must_use]
    pub fn next(&self) -> Option<Timestamp> {
        self.events.next_wakeup()
    }

    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.now
    }

    pub fn cue(&mut self, at: Timestamp, cue: Cue) {
        self.events.schedule(at, Event::Cue(cue));
    }

    /// Tells members what comes at this instant; what of it is the driver's.
    pub fn deliver(&mut self, now: Timestamp) -> Vec<Cue> {
        self.now = now;
        let mut cues = Vec::new();
        while let Some(event) = self.events.pop_due(now) {
            match event {
                Event::Cue(cue) => cues.push(cue),
                event => self.happens(event),
            }
        }
        cues
    }

    /// All that were told something have their turn.
    pub fn turn(&mut self) -> Vec<Turned> {
        let told = std::mem::take(&mut self.told);
        let turned = told.into_iter().filter_map(|(member, told)| self.turn_of(member, told));
        turned.collect()
    }

    /// Does something to the ledger of a member that is up; its processor time counts.
    pub fn with_ledger<T>(&mut self, member: usize, act: impl FnOnce(&mut Ledger) -> T) -> Option<T> {
        let ledger = self.seats[member].ledger.as_mut()?;
        Some(self.stopwatch.time(|| act(ledger)))
    }

    #[must_use]
    pub fn ledger(&self, member: usize) -> Option<&Ledger> {
        self.seats[member].ledger.as_ref()
    }

    #[must_use]
    pub fn members(&self) -> usize {
        self.seats.len()
    }

    #[must_use]
    pub fn is_up(&self, member: usize) -> bool {
        self.seats[member].ledger.is_some()
    }

    /// When a member started last.
    #[must_use]
    pub fn started_at(&self, member: usize) -> Timestamp {
        self.seats[member].started_at
    }

    #[must_use]
    pub fn counts(&self, member: usize) -> Counts {
        self.seats[member].counts
    }

    #[must_use]
    pub fn kinds(&self) -> &BTreeMap<&'static str, KindCount> {
        &self.kinds
    }

    /// Processor time of all members together so far.
    #[must_use]
    pub fn processor(&self) -> f64 {
        self.stopwatch.seconds()
    }

    /// Each team's cap from the start.
    #[must_use]
    pub fn cap(&self) -> u64 {
        self.settings.cap()
    }

    /// A member has a turn at this instant.
    pub fn wake(&mut self, member: usize) {
        self.told.entry(member).or_default().push(Told::Woken);
    }

    /// Members die, with all that was not on disk.
    pub fn kill(&mut self, member: usize) {
        let seat = &mut self.seats[member];
        seat.ledger = None;
        (seat.writing, seat.waiting, seat.wake_at) = (None, Writes::default(), None);
        self.told.remove(&member);
        for (id, side) in self.network.all_of(member) {
            self.close(id, side);
        }
    }

    pub fn start(&mut self, member: usize) {
        let now = self.now;
        let seat = &mut self.seats[member];
        seat.life += 1;
        seat.started_at = now;
        let (settings, life, disk) = (&self.settings, seat.life, &seat.disk);
        let ledger = self.stopwatch.time(|| Ledger::start(settings, member, life, disk));
        seat.ledger = Some(ledger);
        self.wake(member);
    }

    pub fn begin_cut(&mut self, cut: &Cut) {
        self.network.begin_cut(cut);
    }

    pub fn end_cut(&mut self, cut: &Cut) {
        for healed in self.network.end_cut(cut) {
            match healed {
                Healed::Bytes { connection, to, parcel } => {
                    self.after_delay(connection, Event::Bytes { connection, to, parcel });
                }
                Healed::Closed { connection, to } => {
                    self.after_delay(connection, Event::Closed { connection, to });
                }
            }
        }
    }

    /// Connections between members.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.network.count()
    }

    #[must_use]
    pub fn is_cut(&self) -> bool {
        self.network.is_cut()
    }

    /// Gives up all ledgers, and tells how many were up.
    pub fn drop_ledgers(&mut self) -> usize {
        self.seats.iter_mut().filter_map(|seat| seat.ledger.take()).count()
    }

    // What happens.

    fn tell(&mut self, member: usize, told: Told) {
        if self.is_up(member) {
            self.told.entry(member).or_default().push(told);
        }
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Start { member } => self.start(member),
            Event::Called(id) => self.called(id),
            Event::Taken(id) => {
                if let Some((member, link)) = self.end_of(id, 0) {
                    self.tell(member, Told::Up(link));
                }
            }
            Event::Refused(id) => self.over(id, 0, CloseReason::Refused),
            Event::Bytes { connection, to, parcel } => self.arrived(connection, to, parcel),
            Event::Closed { connection, to } => self.over(connection, to, CloseReason::Closed),
            Event::Breaks(id) => {
                let ends = [0, 1].map(|side| self.end_of(id, side));
                self.network.forget(id);
                for (member, link) in ends.into_iter().flatten() {
                    self.tell(member, Told::Ended(link, CloseReason::Broken));
                }
            }
            Event::Written { member, life } => self.written(member, life),
            Event::Wake { member } => {
                if self.seats[member].wake_at == Some(self.now) {
                    self.tell(member, Told::Woken);
                }
            }
            Event::Cue(_) => unreachable!("cues are the driver's"),
        }
    }

    /// The member at one side of a connection and what it calls it by, as long as it holds it.
    fn end_of(&self, id: FlowId, side: usize) -> Option<(usize, ConnectionId)> {
        let side = &self.network.get(id)?.sides[side];
        side.link.filter(|_| side.is_open).map(|link| (side.member, link))
    }

    fn called(&mut self, id: FlowId) {
        let Some(Connection { sides, .. }) = self.network.get(id) else { return };
        let (from, to) = (sides[0].member, sides[1].member);
        if self.network.are_apart(from, to) {
            return;
        }
        if self.is_up(to) {
            self.tell(to, Told::Opened { connection: id });
            self.after_delay(id, Event::Taken(id));
            if let Some(span) = self.network.breaks_after() {
                self.events.schedule(self.now + span, Event::Breaks(id));
            }
        } else {
            self.after_delay(id, Event::Refused(id));
        }
    }

    fn arrived(&mut self, id: FlowId, to: usize, parcel: Parcel) {
        let Some((member, link)) = self.end_of(id, to) else { return };
        let counts = &mut self.seats[member].counts;
        counts.bytes_in += parcel.bytes.len() as u64;
        counts.messages_in += parcel.messages;
        self.tell(member, Told::Received(link, parcel.bytes));
    }

    /// A connection is over for this side, and so for both.
    fn over(&mut self, id: FlowId, side: usize, end: CloseReason) {
        let told = self.end_of(id, side);
        self.network.forget(id);
        if let Some((member, link)) = told {
            self.tell(member, Told::Ended(link, end));
        }
    }

    fn after_delay(&mut self, id: FlowId, event: Event) {
        if let Some(connection) = self.network.get(id) {
            self.events.schedule(self.now + connection.delay, event);
        }
    }

    // Turns.

    fn turn_of(&mut self, member: usize, told: Vec<Told>) -> Option<Turned> {
        let now = self.now;
        let seat = &mut self.seats[member];
        let ledger = seat.ledger.as_mut()?;
        let (done, wake) = self.stopwatch.time(|| {
            let done = ledger.turn(now, told);
            (done, ledger.wake())
        });
        let Done { accepted, sent, asks, writes, looked } = done;
        for (id, link) in accepted {
            self.network.accepted(id, link);
        }
        for (link, bytes) in sent {
            self.send(member, link, bytes);
        }
        for ask in asks {
            self.do_ask(member, ask);
        }
        self.write(member, writes);
        self.wake_at(member, wake);
        Some(Turned { member, looked })
    }

    fn wake_at(&mut self, member: usize, wake: Option<Timestamp>) {
        let seat = &mut self.seats[member];
        let at = wake.map(|at| at.max(self.now + TURN));
        if at != seat.wake_at
            && let Some(at) = at
        {
            self.events.schedule(at, Event::Wake { member });
        }
        seat.wake_at = at;
    }

    fn send(&mut self, member: usize, link: ConnectionId, bytes: Vec<u8>) {
        let Some((id, side)) = self.network.of(member, link) else { return };
        let messages = self.count(&bytes);
        let counts = &mut self.seats[member].counts;
        counts.bytes_out += bytes.len() as u64;
        counts.messages_out += messages;
        let to = other(side);
        let Some(Connection { sides, .. }) = self.network.get(id) else { return };
        let parcel = Parcel { bytes, messages };
        if self.network.are_apart(member, sides[to].member) {
            self.network.hold(id, side, parcel);
        } else {
            self.after_delay(id, Event::Bytes { connection: id, to, parcel });
        }
    }

    /// Messages in what was written, which is whole frames.
    fn count(&mut self, bytes: &[u8]) -> u64 {
        let mut frames = Frames::default();
        frames.take(bytes);
        let mut messages = 0;
        while let Ok(Some(frame)) = frames.next_frame() {
            messages += 1;
            let kind = self.kinds.entry(kind_of(frame)).or_default();
            kind.messages += 1;
            kind.bytes += frame.len() as u64;
        }
        messages
    }

    fn do_ask(&mut self, member: usize, ask: Command) {
        match ask {
            Command::Open(link, address) => {
                let to: usize = address.parse().expect("addresses are numbers of members");
                let id = self.network.open(member, link, to);
                if !self.network.are_apart(member, to) {
                    self.after_delay(id, Event::Called(id));
                }
            }
            Command::Close { connection: link, .. } => {
                if let Some((id, side)) = self.network.of(member, link) {
                    self.close(id, side);
                }
            }
        }
    }

    /// One side ends a connection, or its process does; the other hears of it, unless it is cut off.
    fn close(&mut self, id: FlowId, side: usize) {
        let Some(Connection { sides, .. }) = self.network.get(id) else { return };
        let apart = self.network.are_apart(sides[0].member, sides[1].member);
        if self.network.close(id, side) && !apart {
            self.after_delay(id, Event::Closed { connection: id, to: other(side) });
        }
    }

    // Disks.

    fn write(&mut self, member: usize, writes: Writes) {
        if writes.is_empty() {
            return;
        }
        self.seats[member].waiting.extend(writes);
        if self.seats[member].writing.is_none() {
            self.write_next(member);
        }
    }

    /// All that came while the last group was written is the next one.
    fn write_next(&mut self, member: usize) {
        let seat = &mut self.seats[member];
        if seat.waiting.is_empty() {
            return;
        }
        seat.writing = Some(std::mem::take(&mut seat.waiting));
        let life = seat.life;
        let takes = DISK_LEAST + (DISK_MOST - DISK_LEAST) * self.chance.fraction();
        self.events.schedule(self.now + takes, Event::Written { member, life });
    }

    fn written(&mut self, member: usize, life: u64) {
        let seat = &mut self.seats[member];
        if seat.life != life {
            return;
        }
        let Some(writes) = seat.writing.take() else { return };
        let durable = writes.durable();
        seat.disk.write(writes);
        self.tell(member, Told::Durable(durable));
        self.write_next(member);
    }
}

/// A message's kind, for counts by kind.
fn kind_of(frame: &[u8]) -> &'static str {
    match decode(frame) {
        Ok(Message::Tips { tips, beats, .. }) if tips.is_empty() && !beats.is_empty() => "heartbeats",
        Ok(Message::Tips { beats, .. }) if beats.is_empty() => "digests",
        Ok(Message::Tips { .. }) => "digests with heartbeats",
        Ok(Message::Want { .. }) => "wants",
        Ok(Message::Rows { .. }) => "rows",
        Ok(Message::Orders { .. }) => "orders",
        Ok(Message::ShareAsk { .. } | Message::ShareGiven { .. }) => "shares",
        Ok(Message::Hello { .. } | Message::Welcome { .. } | Message::Bye { .. }) => "greetings",
        _ => "other",
    }
}
