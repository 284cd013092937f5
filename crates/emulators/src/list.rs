//! The list of machines: late, told to whoever watches it, of fixed capacity.
//!
//! Guessed: it looks at all machines once a period; what it saw is told `late` afterwards; a machine that
//! went without a word stays listed for a while and then counts as left.
//!
//! What is too long for one message goes in pieces, a few at a time, as far as the planner reads. Where the
//! list changes meanwhile, the telling begins anew, a few times; then all pieces are written at once. A
//! planner that reads no pieces gets changes in several messages, and is refused where the whole list doesn't
//! fit in one.

use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_protocol::{
    self as protocol, Bad, Conversation, Entry, Frames, ListKind, Message, Mode, Side,
};
use mulleinhub_sans_io::{CloseReason, ConnectionId, Connections, ListenerId, StateMachine};
use std::collections::{BTreeMap, VecDeque};

/// No piece is written for a planner for which so many bytes wait.
const MOST_WAITING: usize = 128 * 1024;
/// While pieces are still to be written it looks so often whether the planner has read.
const PIECE_PAUSE: Duration = Duration::from_nanos(1_000_000);
/// A telling begins so often anew with a list that changed, and is written at once then.
const MOST_RESTARTS: u32 = 3;

#[derive(Clone, Debug)]
pub struct ListSettings {
    pub late: Duration,
    /// A machine gone without a word is listed for so long.
    pub silent_notice: Duration,
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
    pub started: Option<Timestamp>,
    pub cores_left: f64,
    pub memory_left: f64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListPlight {
    /// Tells nothing and answers nothing.
    pub silent: bool,
    pub later: Duration,
}

struct Line {
    fact: Fact,
    mode: Mode,
    /// The version in which it changed last.
    changed: u64,
    gone_since: Option<Timestamp>,
    /// For planners that were told no other.
    address: String,
}

struct Watcher {
    name: Option<String>,
    frames: Frames,
    reads_pieces: bool,
    /// The version that it was told last; nothing while it doesn't watch.
    told: Option<u64>,
    /// A list that is told in pieces, as far as it is.
    telling: Option<Telling>,
}

/// How far a list is told.
#[derive(Clone, Copy)]
struct Telling {
    version: u64,
    /// The number of the next piece.
    number: u32,
    /// The last machine of the piece before.
    after: Option<u64>,
    restarts: u32,
}

impl Telling {
    fn new(version: u64, restarts: u32) -> Self {
        Self { version, number: 0, after: None, restarts }
    }
}

pub struct ListService {
    settings: ListSettings,
    pub plight: ListPlight,
    /// The address of each machine, as the planner of this name reaches it.
    addresses: BTreeMap<String, BTreeMap<u64, String>>,
    seen: VecDeque<(Timestamp, Vec<Fact>)>,
    lines: BTreeMap<u64, Line>,
    version: u64,
    links: Connections,
    watchers: BTreeMap<ConnectionId, Watcher>,
    /// Lines told beyond what it can, and when that was worked out.
    backlog: f64,
    backlog_at: Timestamp,
    pub lines_told: u64,
    now: Timestamp,
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
            links: Connections::default(),
            watchers: BTreeMap::new(),
            backlog: 0.0,
            backlog_at: Timestamp::default(),
            lines_told: 0,
            now: Timestamp::default(),
        }
    }

    pub fn address(&mut self, planner: &str, machine: u64, address: String) {
        self.addresses.entry(planner.to_owned()).or_default().insert(machine, address);
    }

    /// It looked at all machines; told later.
    pub fn observe(&mut self, now: Timestamp, facts: Vec<Fact>) {
        let at = now + self.settings.late + self.plight.later;
        self.seen.push_back((at, facts));
    }

    /// What was seen long enough ago is the list now.
    fn apply(&mut self, now: Timestamp) {
        while self.seen.front().is_some_and(|(at, _)| *at <= now) {
            let (_, facts) = self.seen.pop_front().expect("is there");
            for fact in facts {
                self.apply_one(now, fact);
            }
        }
    }

    fn apply_one(&mut self, now: Timestamp, fact: Fact) {
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
        let address = format!("machine-{}", fact.machine);
        self.lines.insert(fact.machine, Line { fact, mode, changed, gone_since, address });
    }

    fn tell(&mut self, now: Timestamp) {
        if self.plight.silent {
            return;
        }
        let due = |w: &Watcher| w.told.is_some_and(|told| told < self.version);
        let due: Vec<ConnectionId> =
            self.watchers.iter().filter(|(_, w)| due(w)).map(|(link, _)| *link).collect();
        for link in due {
            if self.watchers[&link].telling.is_some() {
                self.tell_on(now, link);
            } else {
                self.tell_one(now, link);
            }
        }
    }

    /// Begins to tell a planner what changed since it was told last: all of it, where it fits in one message.
    fn tell_one(&mut self, now: Timestamp, link: ConnectionId) {
        let watcher = &self.watchers[&link];
        let Some(told) = watcher.told else { return };
        let reads_pieces = watcher.reads_pieces;
        let entries = self.entries(now, link, told, None, usize::MAX);
        let (kind, version) = (kind_after(told), self.version);
        let mut frames = Vec::new();
        let fits = protocol::encode_in_one(kind, version, &entries, &mut frames);
        let many = entries.len();
        match fits {
            Ok(()) => self.has_told(link, &frames, many),
            Err(_) if reads_pieces => {
                if let Some(watcher) = self.watchers.get_mut(&link) {
                    watcher.telling = Some(Telling::new(version, 0));
                }
                return self.tell_on(now, link);
            }
            Err(_) if kind == ListKind::Changes => {
                for part in protocol::cut(&entries) {
                    let changes = Message::List { kind, version, entries: part.to_vec() };
                    protocol::encode(&changes, &mut frames);
                }
                self.has_told(link, &frames, many);
            }
            Err(Bad(why)) => {
                return self.refuse(link, &format!("{why}; a planner that reads pieces gets it"));
            }
        }
        if let Some(watcher) = self.watchers.get_mut(&link) {
            watcher.told = Some(version);
        }
    }

    /// Goes on with a list that is told in pieces, as far as the planner reads.
    fn tell_on(&mut self, now: Timestamp, link: ConnectionId) {
        loop {
            let Some(Watcher { told: Some(told), telling: Some(telling), .. }) = self.watchers.get(&link)
            else {
                return;
            };
            let (told, mut telling) = (*told, *telling);
            if telling.version != self.version {
                telling = Telling::new(self.version, telling.restarts + 1);
            }
            let at_once = telling.restarts >= MOST_RESTARTS;
            if !at_once && self.links.pending_bytes(link) >= MOST_WAITING {
                return;
            }
            let is_last = self.tell_piece(now, link, told, &mut telling);
            let Some(watcher) = self.watchers.get_mut(&link) else { return };
            watcher.telling = (!is_last).then_some(telling);
            if is_last {
                watcher.told = Some(telling.version);
                return;
            }
        }
    }

    /// Writes the next piece. True where it was the last one.
    fn tell_piece(&mut self, now: Timestamp, link: ConnectionId, told: u64, telling: &mut Telling) -> bool {
        // One entry more than a piece can have shows whether there is another.
        let entries = self.entries(now, link, told, telling.after, protocol::MOST_ENTRIES + 1);
        let piece = protocol::cut(&entries).next().unwrap_or_default().to_vec();
        let (many, last) = (piece.len(), piece.len() == entries.len());
        let Telling { version, number, .. } = *telling;
        telling.after = piece.last().map(|entry| entry.machine);
        telling.number += 1;
        let piece = Message::ListPiece { kind: kind_after(told), version, number, last, entries: piece };
        let mut frame = Vec::new();
        protocol::encode(&piece, &mut frame);
        self.has_told(link, &frame, many);
        last
    }

    /// The entries, for the planner behind a link, of machines behind `after` that changed since a version.
    fn entries(
        &self,
        now: Timestamp,
        link: ConnectionId,
        told: u64,
        after: Option<u64>,
        most: usize,
    ) -> Vec<Entry<'_>> {
        let name = self.watchers.get(&link).and_then(|watcher| watcher.name.as_deref()).unwrap_or_default();
        let addresses = self.addresses.get(name);
        let from = after.map_or(0, |machine| machine.saturating_add(1));
        let lines = self.lines.range(from..).map(|(_, line)| line);
        lines
            .filter(|line| line.changed > told)
            .take(most)
            .map(|Line { fact, mode, address, .. }| Entry {
                machine: fact.machine,
                address: addresses.and_then(|known| known.get(&fact.machine)).unwrap_or(address),
                kind: fact.kind,
                cell: fact.cell,
                zone: fact.zone,
                mode: *mode,
                life: fact.life,
                up_for: fact.started.map(|at| (now - at).nanos()),
                cores_left: Some(fact.cores_left),
                memory_left: Some(fact.memory_left),
            })
            .collect()
    }

    fn has_told(&mut self, link: ConnectionId, frames: &[u8], lines: usize) {
        self.lines_told += lines as u64;
        self.backlog += lines as f64;
        self.links.send(link, frames, None);
    }

    /// Ends a conversation, with the reason before.
    fn refuse(&mut self, link: ConnectionId, words: &str) {
        let mut frame = Vec::new();
        let words = &words[..words.floor_char_boundary(protocol::MOST_WORDS)];
        protocol::encode(&Message::Bye { words }, &mut frame);
        self.links.send(link, &frame, None);
        self.watchers.remove(&link);
        self.links.close(link);
    }

    fn hear(&mut self, now: Timestamp, link: ConnectionId, message: &Message<'_>) -> Result<(), Bad> {
        if !message.belongs(Conversation::PlannerList, Side::Opener) {
            return Err(Bad("not a message for the list service".into()));
        }
        let Some(watcher) = self.watchers.get_mut(&link) else { return Ok(()) };
        let mut frame = Vec::new();
        match message {
            Message::Hello { conversation: Conversation::PlannerList, name, features, .. } => {
                watcher.name = Some((*name).to_owned());
                watcher.reads_pieces = features & protocol::LIST_PIECES != 0;
                let (version, features) = (protocol::VERSION, protocol::LIST_PIECES);
                protocol::encode(
                    &Message::Welcome { version, features, name: "list", life: 1, silence: None },
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

impl StateMachine for ListService {
    fn on_connection_accepted(&mut self, _: Timestamp, link: ConnectionId, _: ListenerId) {
        let (frames, reads_pieces) = (Frames::default(), false);
        self.watchers.insert(link, Watcher { name: None, frames, reads_pieces, told: None, telling: None });
    }

    fn on_connected(&mut self, _: Timestamp, _: ConnectionId) {}

    fn on_data(&mut self, now: Timestamp, link: ConnectionId, bytes: &[u8]) {
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
            self.refuse(link, &words);
        } else if let Some(watcher) = self.watchers.get_mut(&link) {
            watcher.frames = frames;
        }
    }

    fn on_closed(&mut self, _: Timestamp, link: ConnectionId, _: CloseReason) {
        self.watchers.remove(&link);
        self.links.remove(link);
    }

    fn poll(&mut self, now: Timestamp) {
        self.now = now;
        self.apply(now);
        self.tell(now);
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        let tells = !self.plight.silent && self.watchers.values().any(|watcher| watcher.telling.is_some());
        let pieces = tells.then_some(self.now + PIECE_PAUSE);
        self.seen.front().map(|(at, _)| *at).into_iter().chain(pieces).min()
    }

    fn connections(&mut self) -> &mut Connections {
        &mut self.links
    }
}

/// A planner that was told nothing yet is told the whole list.
fn kind_after(told: u64) -> ListKind {
    if told == 0 { ListKind::Whole } else { ListKind::Changes }
}
