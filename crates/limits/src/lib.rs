//! Decisions about connections of clients: which are taken, kept, asked for a sign of life, slowed or ended;
//! and about their asks: which are taken where work in hand is bounded.
//!
//! For: limits by total, by name and by state; deadlines of greetings, frames and silence; whose frames are
//! heard first when many wake at once; what is let go when room runs short. Never a connection with a task in
//! hand while an idle one exists.
//! May not touch: sockets, frames, tasks themselves. It is told what happens and asked what to do.

mod admission;
mod lines;
mod pool;
mod pressure;
mod shares;
mod wheel;

pub use admission::Admission;
pub use lines::Lines;
pub use pool::Pool;
pub use pressure::{Pace, Pressure};
pub use shares::{Doorway, MOST_CONNECTIONS, connections_to_machines, tasks_held, tasks_in_hand};
pub use wheel::Wheel;

use mulleinhub_interface::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Connections of clients at a time.
    pub most: usize,
    /// Of one tenant: of all names that are the same up to their first slash.
    pub most_of_a_tenant: usize,
    /// Of one name.
    pub most_of_a_name: usize,
    /// That have not said who they are.
    pub most_strangers: usize,
    /// Taken in one turn.
    pub opens_a_turn: usize,
    /// A connection that has not greeted for so long is ended.
    pub greet_within: Duration,
    /// A frame that is not whole after so long is never going to be.
    pub frame_within: Duration,
    /// A connection silent for so long at the most is asked for a sign of life.
    pub idle_after: Duration,
    /// And ended without one after so long.
    pub sign_within: Duration,
    /// One that spoke within this is steady; what others say waits its turn where much comes at once.
    pub steady_for: Duration,
    /// Who has just come, or just spoken, may speak for so long before it makes room for others: what it sent
    /// with its coming is still on its way. Met: of a hundred that came at once and asked, some were ended
    /// unheard.
    pub may_speak: Duration,
    /// Connections that were silent before, heard in one turn; and of one tenant's steady ones.
    pub woken_a_turn: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            most: 100_000,
            most_of_a_tenant: 50_000,
            most_of_a_name: 1_000,
            most_strangers: 10_000,
            opens_a_turn: 256,
            greet_within: Duration::from_secs(5),
            frame_within: Duration::from_secs(10),
            idle_after: Duration::from_secs(60),
            sign_within: Duration::from_secs(10),
            steady_for: Duration::from_secs(5),
            may_speak: Duration::ZERO,
            woken_a_turn: 256,
        }
    }
}

/// The last part of the wait before a question that is drawn, so that clients that all came at one moment are
/// not asked at one moment for ever after.
const DRAWN: f64 = 0.25;
/// Descriptors that are no client's, beside one for each machine: the list, listeners, files, who reads
/// metrics, and one to accept with.
const OWN_DESCRIPTORS: usize = 64;
/// Where the system allows few, at most this part of them is kept, and no less than this.
const OWN_PART: usize = 4;
const OWN_LEAST: usize = 16;
/// Frames of one connection that are heard in one turn; the rest stands in line with others'. Met: an owner
/// that asked for a thousand tasks in one write held up the asks of all others for that turn.
const FRAMES_A_TURN: usize = 64;
/// Bytes that wait to be heard of one connection; with more, nothing is read from it.
const MOST_UNHEARD: usize = 64 * 1024;
/// Let go together where descriptors have run out all the same: others in this process took them.
const PINCH: usize = 16;
/// Of what is heard from those that wait, this part is kept for those that come without a task in hand.
const FOR_OTHERS: usize = 4;

/// Why a connection is ended or not taken; its words go out in a frame before the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    NoGreeting,
    SlowFrame,
    Silent,
    /// Room was needed, and it had been idle longest.
    MadeRoom,
    /// All connections are taken, and none is idle.
    Full,
    TenantFull,
    NameFull,
}

impl Why {
    pub const ALL: [Self; 7] = [
        Self::NoGreeting,
        Self::SlowFrame,
        Self::Silent,
        Self::MadeRoom,
        Self::Full,
        Self::TenantFull,
        Self::NameFull,
    ];

    pub fn words(self) -> &'static str {
        match self {
            Self::NoGreeting => "no greeting came in time",
            Self::SlowFrame => "a frame was not whole in time",
            Self::Silent => "no sign of life came in time",
            Self::MadeRoom => "room was needed and this connection was idle; come again later",
            Self::Full => "all connections are taken; come again later",
            Self::TenantFull => "this tenant has all the connections that one tenant may have",
            Self::NameFull => "this name has all the connections that one name may have",
        }
    }

    /// As it is called in status and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoGreeting => "no-greeting",
            Self::SlowFrame => "slow-frame",
            Self::Silent => "silent",
            Self::MadeRoom => "made-room",
            Self::Full => "full",
            Self::TenantFull => "tenant-full",
            Self::NameFull => "name-full",
        }
    }
}

/// What is to be done to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    AskForSign,
    End(Why),
}

/// No instant.
const NEVER: Timestamp = Timestamp::from_nanos(u64::MAX);

#[derive(Debug)]
struct Conn {
    name: Option<Arc<str>>,
    opened: Timestamp,
    heard: Timestamp,
    /// Before that it had been silent for longer than steady ones are.
    steady_since: Timestamp,
    /// A part of a frame has been here since then, or `NEVER`: an option of an instant takes twice the room,
    /// and there are many of these.
    partial_since: Timestamp,
    asked_at: Timestamp,
    /// Its place in the wheel stands for this instant; its true deadline may be later.
    in_wheel: Timestamp,
    in_hand: u32,
    /// Something came of it that only a rightful client brings about.
    of_use: bool,
    /// What came on it waits for us to hear it.
    in_line: bool,
}

/// What is counted of a name or a tenant.
#[derive(Debug, Default)]
struct Count {
    open: usize,
    /// Steady connections of it heard in this turn.
    heard: usize,
    turn: u64,
}

/// All connections of clients, by a number of the caller's.
#[derive(Debug)]
pub struct Limits {
    settings: Settings,
    conns: BTreeMap<u64, Box<Conn>>,
    names: BTreeMap<Arc<str>, u32>,
    tenants: BTreeMap<Arc<str>, Count>,
    /// Those without a task in hand: those never known to be of use first, then longest silent first.
    idle: BTreeSet<(bool, Timestamp, u64)>,
    /// Those that have not greeted, the first to come first: of whose greeting nothing is here.
    strangers: BTreeSet<(Timestamp, u64)>,
    /// And of whose greeting a part is here, or all of it unheard.
    greeting: BTreeSet<(Timestamp, u64)>,
    wheel: Wheel,
    pub pressure: Pressure,
    pace: Pace,
    /// Descriptors that this process may have, and how many machines want one each.
    descriptors: usize,
    machines: usize,
    turn: u64,
    taken: usize,
    /// When this process last went on after it had stood still.
    woke: Timestamp,
    /// Those that came back with tasks in hand, and all others that wait to be heard.
    returning: Lines,
    woken: Lines,
    returning_left: usize,
    woken_left: usize,
    /// How many were ended or refused, by reason.
    pub ended: BTreeMap<Why, u64>,
}

/// The tenant of a name: what stands before its first slash.
fn tenant(name: &str) -> &str {
    name.split('/').next().unwrap_or(name)
}

impl Limits {
    pub fn new(settings: Settings) -> Self {
        let pressure = Pressure::new(settings.most);
        let pace = Pace::new(settings.opens_a_turn);
        let mut limits = Self {
            settings,
            conns: BTreeMap::new(),
            names: BTreeMap::new(),
            tenants: BTreeMap::new(),
            idle: BTreeSet::new(),
            strangers: BTreeSet::new(),
            greeting: BTreeSet::new(),
            wheel: Wheel::default(),
            pressure,
            pace,
            descriptors: usize::MAX,
            machines: 0,
            turn: 0,
            taken: 0,
            woke: Timestamp::default(),
            returning: Lines::default(),
            woken: Lines::default(),
            returning_left: 0,
            woken_left: 0,
            ended: BTreeMap::new(),
        };
        limits.begin_turn(0);
        limits
    }

    pub fn len(&self) -> usize {
        self.conns.len()
    }

    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    pub fn change(&mut self, settings: Settings) {
        // What pressure has learnt stays, unless it was learnt of another number.
        if settings.most != self.settings.most {
            self.pressure = Pressure::new(settings.most);
        }
        if settings.opens_a_turn != self.settings.opens_a_turn {
            self.pace = Pace::new(settings.opens_a_turn);
        }
        self.settings = settings;
    }

    /// So many descriptors this process may have, in all.
    pub fn descriptors(&mut self, most: usize) {
        self.descriptors = most;
    }

    /// Connections that are allowed as things stand: by the settings, by pressure, and by descriptors, of
    /// which machines and the list service have theirs before any client.
    pub fn allowed(&self) -> usize {
        let own = shares::own(self.descriptors) + self.machines;
        let descriptors = self.descriptors.saturating_sub(own).max(1);
        self.pressure.allowed().min(descriptors)
    }

    /// A turn begins, with so many machines to be connected to.
    pub fn begin_turn(&mut self, machines: usize) {
        self.turn += 1;
        (self.taken, self.machines) = (0, machines);
        let most = self.settings.woken_a_turn.max(2);
        self.woken_left = most.div_ceil(FOR_OTHERS);
        self.returning_left = most - self.woken_left;
    }

    /// This process stood still until now. Who was asked for a sign of life has all the time for it once
    /// more: the question may have lain here unwritten.
    pub fn woke(&mut self, now: Timestamp) {
        self.woke = now;
    }

    /// A turn has taken so long.
    pub fn turn_took(&mut self, now: Timestamp, took: Duration) {
        let open = self.len();
        self.pressure.turn_took(now, took, open);
        self.pace.turn_took(took);
    }

    /// How many connections are taken yet in this turn; more wait outside, where they cost nothing.
    pub fn takes(&self) -> usize {
        self.pace.now().saturating_sub(self.taken)
    }

    /// Until when nobody more is to be taken: all places of those that have not spoken are taken by such as
    /// have hardly come.
    pub fn waits_until(&self) -> Option<Timestamp> {
        self.stranger_to_make_room().map(|(opened, _)| opened + self.settings.may_speak)
    }

    /// The one that makes room where too many have not greeted, and when it came. While places are free,
    /// those within their greetings keep theirs, and don't count. Met: of as many new clients as there were
    /// places for, which sent their greetings in pieces, those beyond the most strangers were ended in the
    /// middle of them.
    fn stranger_to_make_room(&self) -> Option<(Timestamp, u64)> {
        let most = self.settings.most_strangers;
        let silent = self.strangers.first().copied();
        if self.strangers.len() >= most {
            return silent;
        }
        let are_too_many = self.strangers.len() + self.greeting.len() >= most;
        if !are_too_many || self.conns.len() < self.allowed() {
            return None;
        }
        silent.into_iter().chain(self.greeting.first().copied()).min()
    }

    /// How many frames of one connection are heard in one turn.
    pub fn frames_a_turn(&self) -> usize {
        FRAMES_A_TURN
    }

    /// Whether nothing more is to be read from a connection of which so many bytes wait to be heard.
    pub fn slows(&self, unheard: usize) -> bool {
        unheard > MOST_UNHEARD
    }

    /// A connection came in. It may cost another one its place: that one is named, and is to be ended.
    ///
    /// # Errors
    /// Why it can't be taken.
    pub fn opened(&mut self, now: Timestamp, conn: u64) -> Result<Option<u64>, Why> {
        self.taken += 1;
        // Met: who opens and never greets took the places of those who had.
        let mut room = self.stranger_to_make_room();
        if room.is_none() && self.conns.len() >= self.allowed() {
            // One that has been silent longest; never one with a task in hand.
            let longest =
                self.idle.first().filter(|(_, heard, _)| *heard + self.settings.may_speak <= now).copied();
            let Some((_, heard, longest)) = longest else {
                return Err(self.count(Why::Full));
            };
            room = Some((heard, longest));
        }
        let room = room.map(|(_, out)| {
            self.forget(out);
            self.count(Why::MadeRoom);
            out
        });
        self.take(now, conn);
        Ok(room)
    }

    fn take(&mut self, now: Timestamp, conn: u64) {
        let deadline = now + self.settings.greet_within;
        let entry = Conn {
            name: None,
            opened: now,
            heard: now,
            steady_since: now,
            partial_since: NEVER,
            asked_at: NEVER,
            in_wheel: deadline,
            in_hand: 0,
            of_use: false,
            in_line: false,
        };
        self.conns.insert(conn, Box::new(entry));
        self.idle.insert((false, now, conn));
        self.strangers.insert((now, conn));
        self.wheel.put(now, deadline, conn);
    }

    /// It was to make room and spoke before it was ended: it stays, and another one makes room.
    pub fn stays(&mut self, now: Timestamp, conn: u64) {
        if !self.conns.contains_key(&conn) {
            self.take(now, conn);
        }
    }

    /// It said who it is.
    ///
    /// # Errors
    /// Where its name or its tenant has all the connections that one may have; it is forgotten.
    pub fn greeted(&mut self, conn: u64, name: &Arc<str>) -> Result<(), Why> {
        let Some(entry) = self.conns.get_mut(&conn) else { return Ok(()) };
        if entry.name.is_some() {
            return Ok(());
        }
        let of_name = self.names.get(name).copied().unwrap_or(0) as usize;
        let of_tenant = self.tenants.get(tenant(name)).map_or(0, |count| count.open);
        let full = if of_name >= self.settings.most_of_a_name {
            Some(Why::NameFull)
        } else {
            (of_tenant >= self.settings.most_of_a_tenant).then_some(Why::TenantFull)
        };
        if let Some(why) = full {
            self.forget(conn);
            return Err(self.count(why));
        }
        self.strangers.remove(&(entry.opened, conn));
        self.greeting.remove(&(entry.opened, conn));
        entry.name = Some(name.clone());
        *self.names.entry(name.clone()).or_default() += 1;
        match self.tenants.get_mut(tenant(name)) {
            Some(count) => count.open += 1,
            None => {
                let short = tenant(name);
                let key = if short.len() == name.len() { name.clone() } else { short.into() };
                self.tenants.insert(key, Count { open: 1, ..Count::default() });
            }
        }
        Ok(())
    }

    /// Bytes came in.
    pub fn heard(&mut self, now: Timestamp, conn: u64) {
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        if now - entry.heard > self.settings.steady_for {
            entry.steady_since = now;
        }
        if entry.in_hand == 0 && now != entry.heard {
            self.idle.remove(&(entry.of_use, entry.heard, conn));
            self.idle.insert((entry.of_use, now, conn));
        }
        (entry.heard, entry.asked_at) = (now, NEVER);
    }

    /// All that came was read; `partial` where a part of a frame is left. The rest of it must come in time,
    /// whatever comes of it a byte at a time. Where a whole frame was heard before it, `frame_heard` says so.
    pub fn read(&mut self, now: Timestamp, conn: u64, partial: bool) {
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        entry.partial_since = if partial { entry.partial_since.min(now) } else { NEVER };
        self.note_greeting(conn, partial);
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        // Nothing is moved in the wheel, unless the new deadline is sooner than its place there.
        let deadline = entry.deadline(conn, &self.settings, self.woke);
        if deadline < entry.in_wheel {
            entry.in_wheel = deadline;
            self.wheel.put(now, deadline, conn);
        }
    }

    /// A whole frame was heard: a part that is left belongs to another one, whose time begins anew. Met:
    /// parts of frames in a row, none of which ended where a frame does, were taken for one slow frame.
    pub fn frame_heard(&mut self, conn: u64) {
        if let Some(entry) = self.conns.get_mut(&conn) {
            entry.partial_since = NEVER;
        }
    }

    /// Whether something is here of the greeting of one that has not greeted.
    fn note_greeting(&mut self, conn: u64, is_here: bool) {
        let Some(entry) = self.conns.get(&conn).filter(|entry| entry.name.is_none()) else { return };
        let (from, to) = match is_here {
            true => (&mut self.strangers, &mut self.greeting),
            false => (&mut self.greeting, &mut self.strangers),
        };
        if from.remove(&(entry.opened, conn)) {
            to.insert((entry.opened, conn));
        }
    }

    /// It has so many tasks in hand now.
    pub fn in_hand(&mut self, conn: u64, tasks: u32) {
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        match (entry.in_hand, tasks) {
            (0, 1..) => drop(self.idle.remove(&(entry.of_use, entry.heard, conn))),
            (1.., 0) => drop(self.idle.insert((entry.of_use, entry.heard, conn))),
            _ => {}
        }
        entry.in_hand = tasks;
    }

    /// It is of use: others are let go before it. Met: hundreds that asked once and stayed took the places of
    /// owners whose tasks stood, and nobody was left to hear of their ends.
    pub fn is_of_use(&mut self, conn: u64) {
        let Some(entry) = self.conns.get_mut(&conn).filter(|entry| !entry.of_use) else { return };
        if self.idle.remove(&(false, entry.heard, conn)) {
            self.idle.insert((true, entry.heard, conn));
        }
        entry.of_use = true;
    }

    /// It is over, for whatever reason.
    pub fn forget(&mut self, conn: u64) {
        let Some(entry) = self.conns.remove(&conn) else { return };
        self.idle.remove(&(entry.of_use, entry.heard, conn));
        let Some(name) = entry.name else {
            self.strangers.remove(&(entry.opened, conn));
            self.greeting.remove(&(entry.opened, conn));
            return;
        };
        if let Some(of_name) = self.names.get_mut(&name) {
            *of_name -= 1;
            if *of_name == 0 {
                self.names.remove(&name);
            }
        }
        if let Some(count) = self.tenants.get_mut(tenant(&name)) {
            count.open -= 1;
            if count.open == 0 {
                self.tenants.remove(tenant(&name));
            }
        }
    }

    /// Whether it is heard before those that were silent until now.
    pub fn is_steady(&self, now: Timestamp, conn: u64) -> bool {
        self.conns.get(&conn).is_some_and(|entry| now - entry.steady_since >= self.settings.steady_for)
    }

    /// Something came on a connection that is to be heard. True: now, with the steady ones. False: it stands
    /// in line, and `next_heard` names it. `returns` is for one that comes back with tasks in hand.
    pub fn speaks(&mut self, now: Timestamp, conn: u64, returns: bool) -> bool {
        if self.is_steady(now, conn) {
            // Met: one tenant whose ten thousand connections all spoke every few seconds held up all others.
            let name = self.conns.get(&conn).and_then(|entry| entry.name.as_ref());
            let Some(count) = name.and_then(|name| self.tenants.get_mut(tenant(name))) else { return true };
            if count.turn != self.turn {
                (count.turn, count.heard) = (self.turn, 0);
            }
            count.heard += 1;
            if count.heard <= self.settings.woken_a_turn {
                return true;
            }
        }
        self.stands_in_line(conn, returns);
        false
    }

    /// It is to be heard in a later turn.
    pub fn stands_in_line(&mut self, conn: u64, returns: bool) {
        self.note_greeting(conn, true);
        let name = self.conns.get_mut(&conn).and_then(|entry| {
            entry.in_line = true;
            entry.name.as_deref()
        });
        let line = if returns { &mut self.returning } else { &mut self.woken };
        line.put(name.map_or("", tenant), conn);
    }

    /// The next of those that stand in line, as far as this turn has room for them: first those that came
    /// back with tasks in hand, tenant after tenant; a part is kept for the others.
    pub fn next_heard(&mut self) -> Option<u64> {
        let conn = self.next_in_line()?;
        if let Some(entry) = self.conns.get_mut(&conn) {
            entry.in_line = false;
        }
        Some(conn)
    }

    fn next_in_line(&mut self) -> Option<u64> {
        if self.returning_left > 0
            && let Some(conn) = self.returning.next()
        {
            self.returning_left -= 1;
            return Some(conn);
        }
        if self.woken_left > 0
            && let Some(conn) = self.woken.next()
        {
            self.woken_left -= 1;
            return Some(conn);
        }
        // What the ones leave is the others'.
        let left = match self.returning_left {
            0 => &mut self.woken_left,
            _ => &mut self.returning_left,
        };
        *left = left.checked_sub(1)?;
        self.returning.next().or_else(|| self.woken.next())
    }

    /// Whether anybody stands in line.
    pub fn any_in_line(&self) -> bool {
        !self.returning.is_empty() || !self.woken.is_empty()
    }

    /// Descriptors have run out: these are to be let go, none of them with a task in hand. Fewer connections
    /// are allowed from now on, until turns have been short for a while.
    pub fn pinched(&mut self, now: Timestamp) -> Vec<u64> {
        self.pressure.cut_to(now, self.len().saturating_sub(PINCH));
        let out: Vec<u64> = self.idle.iter().take(PINCH).map(|(.., conn)| *conn).collect();
        for conn in &out {
            self.forget(*conn);
            self.count(Why::MadeRoom);
        }
        out
    }

    /// The next connection to which something is to be done. Ask until there is none; each place of the wheel
    /// that is looked at costs one of `budget`, and what is left stays due.
    pub fn due(&mut self, now: Timestamp, budget: &mut usize) -> Option<(u64, Act)> {
        loop {
            if *budget == 0 {
                return None;
            }
            let (at, conn) = self.wheel.due(now)?;
            *budget -= 1;
            let Some(entry) = self.conns.get_mut(&conn) else { continue };
            if entry.in_wheel != at {
                // An older place of a connection that has a newer one.
                continue;
            }
            // Met: who had greeted was ended for not greeting, while its greeting waited for our start.
            let deadline = match entry.in_line {
                true => now + self.settings.greet_within,
                false => entry.deadline(conn, &self.settings, self.woke),
            };
            if deadline > now {
                entry.in_wheel = deadline;
                self.wheel.put(now, deadline, conn);
                continue;
            }
            let why = if entry.greets_until(&self.settings) <= now {
                Some(Why::NoGreeting)
            } else if entry.partial_since != NEVER && entry.partial_since + self.settings.frame_within <= now
            {
                Some(Why::SlowFrame)
            } else if entry.asked_at != NEVER {
                Some(Why::Silent)
            } else {
                None
            };
            let Some(why) = why else {
                entry.asked_at = now;
                entry.in_wheel = entry.deadline(conn, &self.settings, self.woke);
                self.wheel.put(now, entry.in_wheel, conn);
                return Some((conn, Act::AskForSign));
            };
            self.forget(conn);
            self.count(why);
            return Some((conn, Act::End(why)));
        }
    }

    /// When `due` is to be asked again.
    pub fn wake(&self) -> Option<Timestamp> {
        self.wheel.next()
    }

    /// Places in the wheel: one for a connection, and now and then an older one.
    pub fn timers(&self) -> usize {
        self.wheel.len()
    }

    fn count(&mut self, why: Why) -> Why {
        *self.ended.entry(why).or_default() += 1;
        why
    }
}

impl Conn {
    /// Until when its greeting must begin. One that has begun has a frame's time. Met: one that began late
    /// was cut off in its middle.
    fn greets_until(&self, settings: &Settings) -> Timestamp {
        match self.name {
            None if self.partial_since == NEVER => self.opened + settings.greet_within,
            _ => NEVER,
        }
    }

    /// When something must have come, as things stand.
    fn deadline(&self, conn: u64, settings: &Settings, woke: Timestamp) -> Timestamp {
        let silence = match self.asked_at {
            asked if asked != NEVER => asked.max(woke) + settings.sign_within,
            _ => self.heard + settings.idle_after * (1.0 - DRAWN * draw(conn, self.heard)),
        };
        let greeting = self.greets_until(settings);
        // Beyond the clock's end, where there is none.
        let frame = self.partial_since + settings.frame_within;
        silence.min(greeting).min(frame)
    }
}

/// From 0 to 1, another for each silence of each connection: drawn from both by SplitMix64's steps, so that
/// nothing is kept for it.
fn draw(conn: u64, heard: Timestamp) -> f64 {
    let mut z = conn.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ heard.nanos();
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
