//! The list of machines: late, told to whoever watches it, of fixed capacity.
//!
//! Guessed: it looks at all machines once a period; what it saw is told `late` afterwards; a machine that
//! went without a word stays listed for a while and then counts as left.

use mulleinhub_interface::{Span, Time};
use mulleinhub_protocol::{
    self as protocol, Bad, Conversation, Entry, Frames, ListKind, Message, Mode, Side,
};
use mulleinhub_seam::{Door, End, Link, Links, Party};
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Debug)]
pub struct ListSettings {
    pub late: Span,
    /// A machine gone without a word is listed for so long.
    pub silent_notice: Span,
    /// Lines that it can tell in a second; calls that would wait for two seconds of them fail.
    pub lines_a_second: f64,
}

/// What it saw of a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Fact {
    pub machine: u64,
    pub kind: u32,
    pub cell: u32,
    pub zone: u32,
    pub up: bool,
    pub draining: bool,
    pub life: u64,
    /// Its last start, where that is no longer ago than a machine takes to warm.
    pub started: Option<Time>,
    pub cores_left: f64,
    pub memory_left: f64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListPlight {
    /// Tells nothing and answers nothing.
    pub silent: bool,
    pub later: Span,
}

struct Line {
    fact: Fact,
    mode: Mode,
    /// The version in which it changed last.
    changed: u64,
    gone_since: Option<Time>,
}

struct Watcher {
    name: Option<String>,
    frames: Frames,
    /// The version that it was told last; nothing while it doesn't watch.
    told: Option<u64>,
}

pub struct ListService {
    settings: ListSettings,
    pub plight: ListPlight,
    /// The address of each machine, as the planner of this name reaches it.
    addresses: BTreeMap<(String, u64), String>,
    seen: VecDeque<(Time, Vec<Fact>)>,
    lines: BTreeMap<u64, Line>,
    version: u64,
    links: Links,
    watchers: BTreeMap<Link, Watcher>,
    /// Lines told beyond what it can, and when that was worked out.
    backlog: f64,
    backlog_at: Time,
    pub lines_told: u64,
}

impl ListService {
    pub fn new(settings: ListSettings) -> Self {
        Self {
            settings,
            plight: ListPlight::default(),
            addresses: BTreeMap::new(),
            seen: VecDeque::new(),
            lines: BTreeMap::new(),
            version: 0,
            links: Links::default(),
            watchers: BTreeMap::new(),
            backlog: 0.0,
            backlog_at: Time::default(),
            lines_told: 0,
        }
    }

    pub fn address(&mut self, planner: &str, machine: u64, address: String) {
        self.addresses.insert((planner.to_owned(), machine), address);
    }

    /// It looked at all machines; told later.
    pub fn observe(&mut self, now: Time, facts: Vec<Fact>) {
        let at = now + self.settings.late + self.plight.later;
        self.seen.push_back((at, facts));
    }

    /// What was seen long enough ago is the list now.
    fn apply(&mut self, now: Time) {
        while self.seen.front().is_some_and(|(at, _)| *at <= now) {
            let (_, facts) = self.seen.pop_front().expect("is there");
            for fact in facts {
                self.apply_one(now, fact);
            }
        }
    }

    fn apply_one(&mut self, now: Time, fact: Fact) {
        let before = self.lines.get(&fact.machine);
        let gone_since = (!fact.up).then(|| before.and_then(|line| line.gone_since).unwrap_or(now));
        let is_gone = gone_since.is_some_and(|since| now - since >= self.settings.silent_notice);
        if before.is_none() && !fact.up {
            return;
        }
        let mode = match (is_gone, fact.draining) {
            (true, _) => Mode::Left,
            (_, true) => Mode::Leaving,
            _ => Mode::Active,
        };
        // One that went without a word is told as it was last seen.
        let fact = match before {
            Some(line) if !fact.up => line.fact.clone(),
            _ => fact,
        };
        let same = before.is_some_and(|line| line.fact == fact && line.mode == mode);
        let changed = if same { before.map_or(0, |line| line.changed) } else { self.version + 1 };
        self.version = self.version.max(changed);
        self.lines.insert(fact.machine, Line { fact, mode, changed, gone_since });
    }

    fn tell(&mut self, now: Time) {
        if self.plight.silent {
            return;
        }
        let due: Vec<(Link, u64)> = self
            .watchers
            .iter()
            .filter_map(|(link, w)| Some((*link, w.told.filter(|told| *told < self.version)?)))
            .collect();
        for (link, told) in due {
            let lines: Vec<&Line> = self.lines.values().filter(|line| line.changed > told).collect();
            let Some(watcher) = self.watchers.get(&link) else { continue };
            let name = watcher.name.clone().unwrap_or_default();
            let address = |machine: u64| {
                let known = self.addresses.get(&(name.clone(), machine));
                known.cloned().unwrap_or_else(|| format!("machine-{machine}"))
            };
            let addresses: Vec<String> = lines.iter().map(|line| address(line.fact.machine)).collect();
            let entries: Vec<Entry<'_>> = lines
                .iter()
                .zip(&addresses)
                .map(|(Line { fact, mode, .. }, address)| Entry {
                    machine: fact.machine,
                    address,
                    kind: fact.kind,
                    cell: fact.cell,
                    zone: fact.zone,
                    mode: *mode,
                    life: fact.life,
                    up_for: fact.started.map(|at| (now - at).nanos()),
                    cores_left: Some(fact.cores_left),
                    memory_left: Some(fact.memory_left),
                })
                .collect();
            let kind = if told == 0 { ListKind::Whole } else { ListKind::Changes };
            self.lines_told += entries.len() as u64;
            self.backlog += entries.len() as f64;
            let mut frame = Vec::new();
            protocol::encode(&Message::List { kind, version: self.version, entries }, &mut frame);
            self.links.send(link, &frame, None);
            if let Some(watcher) = self.watchers.get_mut(&link) {
                watcher.told = Some(self.version);
            }
        }
    }

    fn hear(&mut self, now: Time, link: Link, message: &Message<'_>) -> Result<(), Bad> {
        if !message.belongs(Conversation::PlannerList, Side::Opener) {
            return Err(Bad("not a message for the list service".into()));
        }
        let Some(watcher) = self.watchers.get_mut(&link) else { return Ok(()) };
        let mut frame = Vec::new();
        match message {
            Message::Hello { conversation: Conversation::PlannerList, name, .. } => {
                watcher.name = Some((*name).to_owned());
                let version = protocol::VERSION;
                protocol::encode(
                    &Message::Welcome { version, features: 0, name: "list", life: 1, silence: None },
                    &mut frame,
                );
            }
            Message::Ping { nonce } => protocol::encode(&Message::Pong { nonce: *nonce }, &mut frame),
            Message::Watch {} if watcher.name.is_some() => {
                let passed = (now - self.backlog_at).nanos() as f64 / 1e9;
                self.backlog = (self.backlog - passed * self.settings.lines_a_second).max(0.0);
                self.backlog_at = now;
                if self.backlog > 2.0 * self.settings.lines_a_second {
                    return Err(Bad("too many calls wait".into()));
                }
                watcher.told = watcher.told.or(Some(0));
            }
            Message::Pong { .. } | Message::Bye { .. } => {}
            _ => return Err(Bad("a message before the greeting".into())),
        }
        self.links.send(link, &frame, None);
        Ok(())
    }
}

impl Party for ListService {
    fn opened(&mut self, _: Time, link: Link, _: Door) {
        self.watchers.insert(link, Watcher { name: None, frames: Frames::default(), told: None });
    }

    fn up(&mut self, _: Time, _: Link) {}

    fn received(&mut self, now: Time, link: Link, bytes: &[u8]) {
        if self.plight.silent {
            return;
        }
        let Some(watcher) = self.watchers.get_mut(&link) else { return };
        let mut frames = std::mem::take(&mut watcher.frames);
        frames.take(bytes);
        let bad = loop {
            let heard = match frames.next_frame() {
                Ok(None) => break None,
                Ok(Some(frame)) => protocol::decode(frame).and_then(|m| self.hear(now, link, &m)),
                Err(bad) => Err(bad),
            };
            if let Err(bad) = heard {
                break Some(bad);
            }
        };
        if let Some(Bad(words)) = bad {
            let mut frame = Vec::new();
            protocol::encode(&Message::Bye { words: &words }, &mut frame);
            self.links.send(link, &frame, None);
            self.watchers.remove(&link);
            self.links.end(link);
        } else if let Some(watcher) = self.watchers.get_mut(&link) {
            watcher.frames = frames;
        }
    }

    fn ended(&mut self, _: Time, link: Link, _: End) {
        self.watchers.remove(&link);
        self.links.forget(link);
    }

    fn turn(&mut self, now: Time) {
        self.apply(now);
        self.tell(now);
    }

    fn wake(&self) -> Option<Time> {
        self.seen.front().map(|(at, _)| *at)
    }

    fn links(&mut self) -> &mut Links {
        &mut self.links
    }
}
