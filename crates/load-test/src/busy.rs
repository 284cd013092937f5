//! The busy few: tasks asked for at fixed instants, whatever became of those before.

use hdrhistogram::Histogram;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_protocol::{self as protocol, Conversation, Frames, Message, Shape};
use mulleinhub_sans_io::{CloseReason, ConnectionId, Connections, ListenerId, StateMachine, Timers};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub struct BusySettings {
    pub planners: Vec<String>,
    /// Connections to each planner.
    pub each: usize,
    /// Asks a second, all together.
    pub rate: f64,
    pub use_case: u32,
    pub ask: (f64, f64),
    pub patience: Duration,
}

/// What was seen since the last `reset`, in microseconds from the instant at which an ask was due. An ask
/// that could not be written in time counts from then too, so that a standstill hides nothing.
#[derive(Clone, Debug)]
pub struct Seen {
    pub taken: Histogram<u64>,
    pub placed: Histogram<u64>,
    pub asked: u64,
    pub nacked: u64,
    pub errored: u64,
}

impl Default for Seen {
    fn default() -> Self {
        let histogram = || Histogram::new_with_bounds(1, 600_000_000, 3).expect("fixed bounds");
        Self { taken: histogram(), placed: histogram(), asked: 0, nacked: 0, errored: 0 }
    }
}

#[derive(Debug)]
struct Desk {
    to: String,
    link: Option<ConnectionId>,
    up: bool,
    frames: Frames,
}

#[derive(Clone, Copy, Debug)]
struct Out {
    desk: usize,
    due: Timestamp,
    taken: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Open(usize),
}

const RECONNECT: Duration = Duration::from_nanos(20_000_000);

pub struct Busy {
    settings: BusySettings,
    pub seen: Seen,
    links: Connections,
    desks: Vec<Desk>,
    timers: Timers<Due>,
    out: BTreeMap<u64, Out>,
    /// The next ask is due then; none while it rests.
    next: Option<Timestamp>,
    next_id: u64,
    asked: usize,
    /// Asks that were due while no connection of their turn was up.
    waiting: Vec<(usize, Timestamp)>,
    begun: bool,
    scratch: Vec<u8>,
}

impl Busy {
    pub fn new(settings: BusySettings) -> Self {
        let desk = |to: &String| Desk { to: to.clone(), link: None, up: false, frames: Frames::default() };
        let desks = (0..settings.each).flat_map(|_| settings.planners.iter().map(desk)).collect();
        Self {
            settings,
            seen: Seen::default(),
            links: Connections::default(),
            desks,
            timers: Timers::default(),
            out: BTreeMap::new(),
            next: None,
            next_id: 0,
            asked: 0,
            waiting: Vec::new(),
            begun: false,
            scratch: Vec::new(),
        }
    }

    pub fn all_up(&self) -> bool {
        self.desks.iter().all(|desk| desk.up)
    }

    /// Begins to ask, or rests.
    pub fn asks(&mut self, now: Timestamp, does: bool) {
        self.next = does.then_some(now);
    }

    pub fn reset(&mut self) {
        self.seen = Seen::default();
    }

    /// Asks that have had no final answer, or none that they were taken.
    pub fn open(&self) -> usize {
        self.out.len() + self.waiting.len()
    }

    fn write(&mut self, desk: usize, message: &Message<'_>) {
        if let Some(link) = self.desks[desk].link {
            self.scratch.clear();
            protocol::encode(message, &mut self.scratch);
            self.links.send(link, &self.scratch, None);
        }
    }

    fn ask(&mut self, now: Timestamp, desk: usize, due: Timestamp) {
        if !self.desks[desk].up {
            return self.waiting.push((desk, due));
        }
        self.next_id += 1;
        let (id, settings) = (self.next_id, &self.settings);
        let (cores, memory) = settings.ask;
        // Services of ten tasks each, so that spreading them has something to do.
        let service = id / 10;
        let shape = Shape { key: id, use_case: settings.use_case, service, cores, memory, again: false };
        let patience = settings.patience.nanos();
        self.out.insert(id, Out { desk, due, taken: false });
        self.write(desk, &Message::Ask { task: id, shape, patience, clock: now.nanos() });
    }

    fn hear(&mut self, now: Timestamp, desk: usize, message: &Message<'_>) {
        let since = |out: &Out| (now - out.due).nanos() / 1_000;
        match message {
            Message::Welcome { .. } => {
                self.desks[desk].up = true;
                let (ready, rest) =
                    std::mem::take(&mut self.waiting).into_iter().partition(|(d, _)| *d == desk);
                self.waiting = rest;
                for (desk, due) in Vec::from_iter::<Vec<(usize, Timestamp)>>(ready) {
                    self.ask(now, desk, due);
                }
                // What became of those that were out when the last connection ended?
                let out: Vec<u64> =
                    self.out.iter().filter(|(_, o)| o.desk == desk).map(|(id, _)| *id).collect();
                out.iter().for_each(|id| self.write(desk, &Message::Learn { task: *id }));
            }
            Message::Ping { nonce } => self.write(desk, &Message::Pong { nonce: *nonce }),
            Message::Taken { task } => {
                if let Some(out) = self.out.get_mut(task)
                    && !std::mem::replace(&mut out.taken, true)
                {
                    let took = since(out);
                    self.seen.taken.saturating_record(took.max(1));
                }
            }
            Message::Placed { task, .. } => {
                if let Some(out) = self.out.remove(task) {
                    self.seen.placed.saturating_record(since(&out).max(1));
                }
                self.write(desk, &Message::Withdraw { task: *task });
            }
            Message::Nacked { task, .. } => self.seen.nacked += u64::from(self.out.remove(task).is_some()),
            Message::Errored { task } => self.seen.errored += u64::from(self.out.remove(task).is_some()),
            // The planner's next life knows nothing of it: it comes again, and still counts from its instant.
            Message::Unknown { task } => {
                if let Some(out) = self.out.remove(task) {
                    self.ask(now, desk, out.due);
                }
            }
            _ => {}
        }
    }
}

impl StateMachine for Busy {
    fn on_connection_accepted(&mut self, _: Timestamp, link: ConnectionId, _: ListenerId) {
        self.links.abort(link);
    }

    fn on_connected(&mut self, now: Timestamp, link: ConnectionId) {
        let Some(desk) = self.desks.iter().position(|desk| desk.link == Some(link)) else { return };
        let has_tasks = self.out.values().any(|out| out.desk == desk);
        let name = format!("busy/{desk}");
        let hello = Message::hello(
            Conversation::ClientPlanner,
            if has_tasks { protocol::HAS_TASKS } else { 0 },
            &name,
            1,
            now.nanos(),
        );
        self.write(desk, &hello);
    }

    fn on_data(&mut self, now: Timestamp, link: ConnectionId, bytes: &[u8]) {
        let Some(desk) = self.desks.iter().position(|desk| desk.link == Some(link)) else { return };
        self.desks[desk].frames.take(bytes);
        let mut frames = std::mem::take(&mut self.desks[desk].frames);
        while let Ok(Some(frame)) = frames.next_frame() {
            if let Ok(message) = protocol::decode(frame) {
                self.hear(now, desk, &message);
            }
        }
        self.desks[desk].frames = frames;
    }

    fn on_closed(&mut self, now: Timestamp, link: ConnectionId, _: CloseReason) {
        self.links.remove(link);
        if let Some(desk) = self.desks.iter().position(|desk| desk.link == Some(link)) {
            let to = std::mem::take(&mut self.desks[desk].to);
            self.desks[desk] = Desk { to, link: None, up: false, frames: Frames::default() };
            self.timers.schedule(now + RECONNECT, Due::Open(desk));
        }
    }

    fn poll(&mut self, now: Timestamp) {
        if !std::mem::replace(&mut self.begun, true) {
            (0..self.desks.len()).for_each(|desk| self.timers.schedule(now, Due::Open(desk)));
        }
        while let Some(Due::Open(desk)) = self.timers.pop_due(now) {
            let link = self.links.open(&self.desks[desk].to.clone());
            self.desks[desk].link = Some(link);
        }
        let gap = Duration::from_nanos((1e9 / self.settings.rate.max(1e-3)) as u64);
        while let Some(due) = self.next.filter(|due| *due <= now) {
            self.next = Some(due + gap);
            self.seen.asked += 1;
            let desk = self.asked % self.desks.len();
            self.asked += 1;
            self.ask(now, desk, due);
        }
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        if !self.begun {
            return Some(Timestamp::default());
        }
        [self.timers.next_wakeup(), self.next].into_iter().flatten().min()
    }

    fn connections(&mut self) -> &mut Connections {
        &mut self.links
    }
}
