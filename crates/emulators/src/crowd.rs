//! Those who keep a connection open and say almost nothing: deploy tools, pipelines, dashboards.
//!
//! From the protocol: each greets, answers questions for a sign of life, and after an end comes back at a
//! moment that it draws, later after each refusal but the first, so that a crowd that lost its planner does
//! not come back in step. One that hears nothing for twice the silence it was told of takes its connection
//! for dead. Guessed: each has one connection, to one planner.

use crate::dice::Dice;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_protocol::{self as protocol, Conversation, Frames, Message, Spare};
use mulleinhub_sans_io::{CloseReason, ConnectionId, Connections, ListenerId, StateMachine, Timers};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub struct CrowdSettings {
    /// Names are this, a tenant's number, and a number.
    pub name: String,
    pub many: usize,
    /// So many tenants share the names.
    pub tenants: usize,
    /// Addresses of planners; one after the other is given to each of the crowd.
    pub planners: Vec<String>,
    /// Opened in a second at the beginning.
    pub opens_a_second: f64,
    /// After an end each comes back within this, and within up to eight times that after refusals.
    pub back_within: Duration,
}

/// What the crowd saw.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CrowdTally {
    pub opened: u64,
    pub refused: u64,
    /// Ended by the planner or by the way between, without words.
    pub ended: u64,
    /// What planners said before they ended a connection.
    pub byes: BTreeMap<String, u64>,
    pub asked_for_sign: u64,
    pub spoke: u64,
    pub answered: u64,
    /// From the last storm until all were greeted again.
    pub recovered: Option<Duration>,
}

#[derive(Debug, Default)]
struct One {
    link: Option<ConnectionId>,
    up: bool,
    frames: Frames,
    refusals: u32,
    heard: Timestamp,
    silence: Option<Duration>,
    /// A frame that it writes a byte a second of, and how far it is.
    slow: Option<usize>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Open(u32),
    Dead(u32, ConnectionId),
    Byte(u32),
}

/// Between two bytes of a slow sender.
const A_BYTE: Duration = Duration::from_secs(1);

pub struct Crowd {
    settings: CrowdSettings,
    pub tally: CrowdTally,
    links: Connections,
    all: Vec<One>,
    by_link: BTreeMap<ConnectionId, u32>,
    timers: Timers<Due>,
    up: usize,
    storm_at: Option<Timestamp>,
    dice: Dice,
    begun: bool,
    spare: Spare,
    scratch: Vec<u8>,
}

impl Crowd {
    pub fn new(settings: CrowdSettings, seed: u64) -> Self {
        let dice = Dice::new(seed, &settings.name);
        Self {
            tally: CrowdTally::default(),
            links: Connections::default(),
            all: (0..settings.many).map(|_| One::default()).collect(),
            by_link: BTreeMap::new(),
            timers: Timers::default(),
            up: 0,
            storm_at: None,
            dice,
            begun: false,
            spare: Spare::default(),
            scratch: Vec::new(),
            settings,
        }
    }

    /// Greeted connections.
    pub fn up(&self) -> usize {
        self.up
    }

    /// More of them; they open as the first did.
    pub fn grow(&mut self, now: Timestamp, many: usize) {
        let before = self.all.len();
        self.all.resize_with(many.max(before), One::default);
        self.open_from(now, before);
    }

    fn open_from(&mut self, now: Timestamp, first: usize) {
        let gap = Duration::from_nanos((1e9 / self.settings.opens_a_second.max(1e-3)) as u64);
        for n in first..self.all.len() {
            self.timers.schedule(now + gap * (n - first) as f64, Due::Open(n as u32));
        }
    }

    fn some(&mut self, part: f64) -> Vec<u32> {
        (0..self.all.len() as u32).filter(|_| self.dice.happens(part)).collect()
    }

    /// A part of them drops its connections, and comes back within so long.
    pub fn storm(&mut self, now: Timestamp, part: f64, within: Duration) {
        (self.storm_at, self.tally.recovered) = (Some(now), None);
        for n in self.some(part) {
            if let Some(link) = self.all[n as usize].link {
                self.links.abort(link);
                self.gone(n);
                let wait = self.dice.span(Duration::ZERO, within);
                self.timers.schedule(now + wait, Due::Open(n));
            }
        }
    }

    /// A part of them, silent so far, says something in the same moment.
    pub fn speaks(&mut self, part: f64) {
        for n in self.some(part) {
            if self.all[n as usize].up && self.all[n as usize].slow.is_none() {
                self.tally.spoke += 1;
                self.write(n, &Message::Learn { task: u64::MAX - u64::from(n) });
            }
        }
    }

    /// A part of them begins a frame and sends a byte a second of it.
    pub fn slow_senders(&mut self, now: Timestamp, part: f64) {
        for n in self.some(part) {
            let one = &mut self.all[n as usize];
            if one.up && one.slow.is_none() {
                one.slow = Some(0);
                self.timers.schedule(now, Due::Byte(n));
            }
        }
    }

    /// Slow senders send the rest of their frames.
    pub fn slow_senders_finish(&mut self) {
        for n in 0..self.all.len() as u32 {
            while self.all[n as usize].slow.is_some() {
                self.next_byte(n);
            }
        }
    }

    /// The next byte of what a slow sender writes. It learns of a task that nobody knows.
    fn next_byte(&mut self, n: u32) {
        self.scratch.clear();
        protocol::encode(&Message::Learn { task: u64::MAX - u64::from(n) }, &mut self.scratch);
        let one = &mut self.all[n as usize];
        let (Some(at), Some(link)) = (one.slow, one.link) else { return };
        self.links.send(link, &self.scratch[at..=at], None);
        one.slow = (at + 1 < self.scratch.len()).then_some(at + 1);
        if one.slow.is_none() {
            self.tally.spoke += 1;
        }
    }

    fn write(&mut self, n: u32, message: &Message<'_>) {
        if let Some(link) = self.all[n as usize].link {
            self.scratch.clear();
            protocol::encode(message, &mut self.scratch);
            self.links.send(link, &self.scratch, None);
        }
    }

    fn gone(&mut self, n: u32) {
        let one = &mut self.all[n as usize];
        if let Some(link) = one.link.take() {
            self.by_link.remove(&link);
            self.links.remove(link);
        }
        self.up -= usize::from(one.up);
        (one.up, one.frames, one.slow) = (false, Frames::default(), None);
    }

    fn open(&mut self, n: u32) {
        if self.all[n as usize].link.is_some() {
            return;
        }
        let to = &self.settings.planners[n as usize % self.settings.planners.len()];
        let link = self.links.open(to);
        self.all[n as usize].link = Some(link);
        self.by_link.insert(link, n);
        self.tally.opened += 1;
    }

    fn hear(&mut self, now: Timestamp, n: u32, message: &Message<'_>) {
        match message {
            Message::Welcome { silence, .. } => {
                let one = &mut self.all[n as usize];
                one.silence = silence.map(Duration::from_nanos);
                self.up += usize::from(!std::mem::replace(&mut one.up, true));
                if let (Some(silence), Some(link)) = (one.silence, one.link) {
                    self.timers.schedule(now + silence * 2.0, Due::Dead(n, link));
                }
                if self.up == self.all.len()
                    && let Some(since) = self.storm_at.take()
                {
                    self.tally.recovered = Some(now - since);
                }
            }
            Message::Ping { nonce } => {
                self.tally.asked_for_sign += 1;
                // One that was kept so long was not unwanted.
                self.all[n as usize].refusals = 0;
                // Whoever is in the middle of a frame can't say anything else.
                if self.all[n as usize].slow.is_none() {
                    self.write(n, &Message::Pong { nonce: *nonce });
                }
            }
            Message::Unknown { .. } => self.tally.answered += 1,
            Message::Bye { words } => {
                self.all[n as usize].refusals += 1;
                *self.tally.byes.entry((*words).to_owned()).or_default() += 1;
            }
            _ => {}
        }
    }

    fn is_due(&mut self, now: Timestamp, due: Due) {
        match due {
            Due::Open(n) => self.open(n),
            Due::Dead(n, link) => {
                let one = &self.all[n as usize];
                let Some(silence) = one.silence.filter(|_| one.link == Some(link)) else { return };
                if one.heard + silence * 2.0 > now {
                    return self.timers.schedule(one.heard + silence * 2.0, Due::Dead(n, link));
                }
                self.links.abort(link);
                self.gone(n);
                self.comes_back(now, n);
            }
            Due::Byte(n) => {
                self.next_byte(n);
                if self.all[n as usize].slow.is_some() {
                    self.timers.schedule(now + A_BYTE, Due::Byte(n));
                }
            }
        }
    }

    fn comes_back(&mut self, now: Timestamp, n: u32) {
        let refusals = self.all[n as usize].refusals.saturating_sub(1).min(3);
        let within = self.settings.back_within * f64::from(1u32 << refusals);
        let wait = self.dice.span(Duration::ZERO, within);
        self.timers.schedule(now + wait, Due::Open(n));
    }
}

impl StateMachine for Crowd {
    fn on_connection_accepted(&mut self, _: Timestamp, link: ConnectionId, _: ListenerId) {
        self.links.abort(link);
    }

    fn on_connected(&mut self, now: Timestamp, link: ConnectionId) {
        let Some(n) = self.by_link.get(&link).copied() else { return };
        let tenant = n as usize % self.settings.tenants.max(1);
        let name = format!("{}-{tenant}/{n}", self.settings.name);
        self.all[n as usize].heard = now;
        let hello = Message::hello(Conversation::ClientPlanner, 0, &name, 1, now.nanos());
        self.write(n, &hello);
    }

    fn on_data(&mut self, now: Timestamp, link: ConnectionId, bytes: &[u8]) {
        let Some(n) = self.by_link.get(&link).copied() else { return };
        let one = &mut self.all[n as usize];
        one.heard = now;
        one.frames.take_with(bytes, &mut self.spare);
        let mut frames = std::mem::take(&mut one.frames);
        while let Ok(Some(frame)) = frames.next_frame() {
            if let Ok(message) = protocol::decode(frame) {
                self.hear(now, n, &message);
            }
        }
        frames.tidy(&mut self.spare);
        self.all[n as usize].frames = frames;
    }

    fn on_closed(&mut self, now: Timestamp, link: ConnectionId, end: CloseReason) {
        let Some(n) = self.by_link.get(&link).copied() else { return };
        self.gone(n);
        if end == CloseReason::Refused {
            self.tally.refused += 1;
            self.all[n as usize].refusals += 1;
        } else {
            self.tally.ended += 1;
        }
        self.comes_back(now, n);
    }

    fn poll(&mut self, now: Timestamp) {
        if !std::mem::replace(&mut self.begun, true) {
            self.open_from(now, 0);
        }
        let mark = self.timers.last_sequence();
        while let Some(due) = self.timers.pop_due_up_to(now, mark) {
            self.is_due(now, due);
        }
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        if self.begun { self.timers.next_wakeup() } else { Some(Timestamp::default()) }
    }

    fn connections(&mut self) -> &mut Connections {
        &mut self.links
    }
}
