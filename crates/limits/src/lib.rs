//! Decisions about connections of clients: which are taken, kept, asked for a sign of life, slowed or ended.
//!
//! For: limits by total, by name and by state; deadlines of greetings, frames and silence; whose frames are
//! heard first when many wake at once; what is let go when room runs short. Never a connection with a task in
//! hand while an idle one exists.
//! May not touch: sockets, frames, tasks themselves. It is told what happens and asked what to do.

mod pressure;
mod wheel;

pub use pressure::Pressure;
pub use wheel::Wheel;

use mulleinhub_interface::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
pub struct Settings {
    /// Connections of clients at a time.
    pub most: usize,
    /// Of one name.
    pub most_of_a_name: usize,
    /// A connection that has not greeted for so long is ended.
    pub greet_within: Span,
    /// A frame that is not whole after so long is never going to be.
    pub frame_within: Span,
    /// A connection silent for so long is asked for a sign of life.
    pub idle_after: Span,
    /// And ended without one after so long.
    pub sign_within: Span,
    /// One that spoke within this is steady; what others say waits its turn where much comes at once.
    pub steady_for: Span,
    /// Frames of connections that were silent before, heard in one turn.
    pub woken_frames: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            most: 100_000,
            most_of_a_name: 50_000,
            greet_within: Span::from_secs(5),
            frame_within: Span::from_secs(10),
            idle_after: Span::from_secs(60),
            sign_within: Span::from_secs(10),
            steady_for: Span::from_secs(5),
            woken_frames: 256,
        }
    }
}

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
    NameFull,
}

impl Why {
    pub fn words(self) -> &'static str {
        match self {
            Self::NoGreeting => "no greeting came in time",
            Self::SlowFrame => "a frame was not whole in time",
            Self::Silent => "no sign of life came in time",
            Self::MadeRoom => "room was needed and this connection was idle; come again later",
            Self::Full => "all connections are taken; come again later",
            Self::NameFull => "this name has all the connections that one name may have",
        }
    }
}

/// What is to be done to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    AskForSign,
    End(Why),
}

#[derive(Debug)]
struct Conn {
    name: Option<String>,
    opened: Time,
    heard: Time,
    /// Before that it had been silent for longer than steady ones are.
    steady_since: Time,
    /// A part of a frame has been here since then.
    partial_since: Option<Time>,
    asked_at: Option<Time>,
    /// Its place in the wheel stands for this instant; its true deadline may be later.
    in_wheel: Time,
    in_hand: u32,
}

/// All connections of clients, by a number of the caller's.
#[derive(Debug)]
pub struct Limits {
    settings: Settings,
    conns: BTreeMap<u64, Conn>,
    names: BTreeMap<String, usize>,
    /// Those without a task in hand, longest silent first.
    idle: BTreeSet<(Time, u64)>,
    wheel: Wheel,
    pub pressure: Pressure,
    /// How many were ended or refused, by reason.
    pub ended: BTreeMap<Why, u64>,
}

impl Limits {
    pub fn new(settings: Settings) -> Self {
        let pressure = Pressure::new(settings.most);
        Self {
            settings,
            conns: BTreeMap::new(),
            names: BTreeMap::new(),
            idle: BTreeSet::new(),
            wheel: Wheel::default(),
            pressure,
            ended: BTreeMap::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.conns.len()
    }

    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    pub fn change(&mut self, settings: Settings) {
        self.pressure = Pressure::new(settings.most);
        self.settings = settings;
    }

    /// A connection came in. It may cost another one its place: that one is named, and is to be ended.
    ///
    /// # Errors
    /// Why it can't be taken.
    pub fn opened(&mut self, now: Time, conn: u64) -> Result<Option<u64>, Why> {
        let mut room = None;
        if self.conns.len() >= self.pressure.allowed() {
            // One that greeted and has been silent longest; never one with a task in hand.
            let Some((_, oldest)) = self.idle.first().copied() else {
                return Err(self.count(Why::Full));
            };
            self.forget(oldest);
            self.count(Why::MadeRoom);
            room = Some(oldest);
        }
        let deadline = now + self.settings.greet_within;
        let entry = Conn {
            name: None,
            opened: now,
            heard: now,
            steady_since: now,
            partial_since: None,
            asked_at: None,
            in_wheel: deadline,
            in_hand: 0,
        };
        self.conns.insert(conn, entry);
        self.idle.insert((now, conn));
        self.wheel.put(now, deadline, conn);
        Ok(room)
    }

    /// It said who it is.
    ///
    /// # Errors
    /// Where its name has all the connections that one may have; it is forgotten.
    pub fn greeted(&mut self, conn: u64, name: &str) -> Result<(), Why> {
        let Some(entry) = self.conns.get_mut(&conn) else { return Ok(()) };
        let of_name = self.names.entry(name.to_owned()).or_default();
        if *of_name >= self.settings.most_of_a_name {
            self.forget(conn);
            return Err(self.count(Why::NameFull));
        }
        *of_name += 1;
        entry.name = Some(name.to_owned());
        Ok(())
    }

    /// Bytes came in; `partial` where the last frame of them is not whole.
    pub fn heard(&mut self, now: Time, conn: u64, partial: bool) {
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        if now - entry.heard > self.settings.steady_for {
            entry.steady_since = now;
        }
        if entry.in_hand == 0 {
            self.idle.remove(&(entry.heard, conn));
            self.idle.insert((now, conn));
        }
        (entry.heard, entry.asked_at) = (now, None);
        entry.partial_since = if partial { entry.partial_since.or(Some(now)) } else { None };
        // Nothing is moved in the wheel, unless the new deadline is sooner than its place there.
        let deadline = entry.deadline(&self.settings);
        if deadline < entry.in_wheel {
            entry.in_wheel = deadline;
            self.wheel.put(now, deadline, conn);
        }
    }

    /// It has so many tasks in hand now.
    pub fn in_hand(&mut self, conn: u64, tasks: u32) {
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        match (entry.in_hand, tasks) {
            (0, 1..) => drop(self.idle.remove(&(entry.heard, conn))),
            (1.., 0) => drop(self.idle.insert((entry.heard, conn))),
            _ => {}
        }
        entry.in_hand = tasks;
    }

    /// It is over, for whatever reason.
    pub fn forget(&mut self, conn: u64) {
        let Some(entry) = self.conns.remove(&conn) else { return };
        self.idle.remove(&(entry.heard, conn));
        if let Some(name) = entry.name
            && let Some(of_name) = self.names.get_mut(&name)
        {
            *of_name -= 1;
            if *of_name == 0 {
                self.names.remove(&name);
            }
        }
    }

    /// Whether it is heard before those that were silent until now.
    pub fn is_steady(&self, now: Time, conn: u64) -> bool {
        self.conns.get(&conn).is_some_and(|entry| now - entry.steady_since >= self.settings.steady_for)
    }

    /// Frames of connections that are not steady, in one turn.
    pub fn woken_frames(&self) -> usize {
        self.settings.woken_frames
    }

    /// The next connection to which something is to be done. Ask until there is none, or until enough was
    /// done for one turn: what is left stays due.
    pub fn due(&mut self, now: Time) -> Option<(u64, Act)> {
        loop {
            let (at, conn) = self.wheel.due(now)?;
            let Some(entry) = self.conns.get_mut(&conn) else { continue };
            if entry.in_wheel != at {
                // An older place of a connection that has a newer one.
                continue;
            }
            let deadline = entry.deadline(&self.settings);
            if deadline > now {
                entry.in_wheel = deadline;
                self.wheel.put(now, deadline, conn);
                continue;
            }
            let why = if entry.name.is_none() && entry.opened + self.settings.greet_within <= now {
                Some(Why::NoGreeting)
            } else if entry.partial_since.is_some_and(|since| since + self.settings.frame_within <= now) {
                Some(Why::SlowFrame)
            } else if entry.asked_at.is_some() {
                Some(Why::Silent)
            } else {
                None
            };
            let Some(why) = why else {
                entry.asked_at = Some(now);
                entry.in_wheel = entry.deadline(&self.settings);
                self.wheel.put(now, entry.in_wheel, conn);
                return Some((conn, Act::AskForSign));
            };
            self.forget(conn);
            self.count(why);
            return Some((conn, Act::End(why)));
        }
    }

    /// When `due` is to be asked again.
    pub fn wake(&self) -> Option<Time> {
        self.wheel.next()
    }

    fn count(&mut self, why: Why) -> Why {
        *self.ended.entry(why).or_default() += 1;
        why
    }
}

impl Conn {
    /// When something must have come, as things stand.
    fn deadline(&self, settings: &Settings) -> Time {
        let silence = match self.asked_at {
            Some(asked) => asked + settings.sign_within,
            None => self.heard + settings.idle_after,
        };
        let greeting = match self.name {
            None => self.opened + settings.greet_within,
            Some(_) => silence,
        };
        let frame = self.partial_since.map_or(silence, |since| since + settings.frame_within);
        silence.min(greeting).min(frame)
    }
}
