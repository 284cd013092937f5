//! All that a planner holds beside the module, and the pen that carries out the module's choices.

use crate::machines::{Reach, Spot};
use crate::settings::Settings;
use hdrhistogram::Histogram;
use mulleinhub::{Pcg, mix};
use mulleinhub_interface::{
    Dispatch, FailureDomain as Group, Idempotency, MachineId, Outcome, Quota, TaskId, TaskSpec, Ticket,
};
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_limits::{Act, Admission, Limits, Why};
use mulleinhub_protocol::{self as protocol, Conversation, Frames, ListReader, Message, Mode, Shape, Spare};
use mulleinhub_resilience::{HEARTBEAT, PAUSE_THRESHOLD, PauseDetector, backoff};
use mulleinhub_sans_io::{CloseReason, ConnectionId, Connections, Timers, Unsent};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Figures for logs, status and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub taken: u64,
    pub placed: u64,
    pub nacked: u64,
    pub errored: u64,
    pub sends: u64,
    pub late_yes: u64,
    pub bad_frames: u64,
    pub pending: usize,
    pub sent: usize,
    pub running: usize,
    pub machines_ready: usize,
    pub machines: usize,
}

/// How long tasks take, in microseconds to three digits, since the start.
#[derive(Clone, Debug)]
pub struct Times {
    pub take_to_send: Histogram<u64>,
    pub take_to_answer: Histogram<u64>,
}

impl Default for Times {
    fn default() -> Self {
        let histogram = || Histogram::new_with_bounds(1, 600_000_000, 3).expect("fixed bounds");
        Self { take_to_send: histogram(), take_to_answer: histogram() }
    }
}

#[derive(Debug)]
pub enum Who {
    /// Somebody opened a connection and has not said who it is.
    Stranger,
    Client(Arc<str>),
    Machine(MachineId),
    List,
}

#[derive(Debug)]
pub struct Peer {
    pub who: Who,
    pub frames: Frames,
    pub greeted: bool,
    /// How far our clock was ahead of the peer's on its quickest frame, in nanoseconds.
    pub ahead: Option<i64>,
    /// That frame was not read after a standstill of ours.
    pub ahead_is_sure: bool,
    pub end: Option<CloseReason>,
    pub queued: bool,
    /// When the first of what waits to be heard was read, and after how many turns.
    pub since: (Timestamp, u64),
    /// Tasks asked for on this connection that have had no final answer.
    pub in_hand: u32,
}

/// The open send of a task.
#[derive(Clone, Copy, Debug)]
pub struct Open {
    pub number: u32,
    pub machine: MachineId,
    /// The connection that carried the offer, and its mark there. None while it waits for one.
    pub link: Option<ConnectionId>,
    pub mark: u64,
    /// When the module decided on it, and when the wait for an answer ends.
    pub decided: Timestamp,
    pub due: Timestamp,
    pub placed: bool,
    pub runs: bool,
    /// Moved or withdrawn: its end is no news for the owner's timer.
    pub stopping: bool,
}

/// A task in hand.
#[derive(Debug)]
pub struct Job {
    pub order: TaskSpec,
    pub shape: Shape,
    pub owner: String,
    pub owner_link: Option<ConnectionId>,
    pub came: Timestamp,
    pub sends: u32,
    pub open: Option<Open>,
    /// When the first send was decided on that may have run, if any.
    pub may_have_run: Option<Timestamp>,
    pub withdrawn: bool,
    /// Handed over by its owner; the machine has not yet said that it holds it.
    pub claiming: bool,
    /// Its owner has had the final answer, or none is owed.
    pub answered: bool,
    /// Its place within what its tenant may use, where that is counted.
    pub ticket: Option<Ticket>,
}

/// What its owner is told of a task, also when it asks again later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Nacked(u64),
    Errored,
    Ended(protocol::Ending),
    Withdrawn,
}

impl Answer {
    pub fn message(self, id: TaskId) -> Message<'static> {
        match self {
            Self::Nacked(stay_away) => Message::Nacked { task: id.0, stay_away },
            Self::Errored => Message::Errored { task: id.0 },
            Self::Ended(ending) => Message::Ended { task: id.0, ending },
            Self::Withdrawn => Message::Ended { task: id.0, ending: protocol::Ending::Stopped },
        }
    }
}

/// A send that was closed without proof that it never ran.
#[derive(Debug)]
pub struct Late {
    pub shape: Shape,
    pub owner: String,
    /// Its owner wants the task, as far as is known.
    pub wanted: bool,
}

/// Why there is no newer list of machines, until one is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListFault {
    /// What the list service told can't be read.
    Unreadable(String),
    /// The list service ended the conversation, and said why.
    Refused(String),
}

impl std::fmt::Display for ListFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreadable(why) => write!(f, "the list can't be read: {why}"),
            Self::Refused(why) => write!(f, "the list service refuses: {why}"),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Token(u64),
    Send(TaskId, u32),
    Reconnect(MachineId),
    Lost(MachineId),
    /// For this connection alone: another one has its own.
    Ping(MachineId, ConnectionId),
    List,
    Start,
    Forget,
    Claim(TaskId),
    Release(MachineId),
}

pub struct Desk {
    pub settings: Settings,
    pub life: u64,
    pub now: Timestamp,
    pub links: Connections,
    pub peers: BTreeMap<ConnectionId, Box<Peer>>,
    arrivals: VecDeque<ConnectionId>,
    /// Connections of which more came than is heard in a turn: they stand in line from the next one on.
    rest: Vec<ConnectionId>,
    /// Buffers of connections on which nothing comes in now.
    pub spare: Spare,
    pub machines: BTreeMap<MachineId, Spot>,
    pub list_link: Option<ConnectionId>,
    /// Tries and connections that ended since it last told anything.
    pub list_failures: u32,
    pub list_version: u64,
    pub list_wanted: bool,
    pub list_known: bool,
    /// Puts the pieces of a list together that come on the list's connection.
    pub list_reader: ListReader,
    pub list_fault: Option<ListFault>,
    list_changed: bool,
    pub jobs: BTreeMap<TaskId, Job>,
    pub late: BTreeMap<(TaskId, u32), Late>,
    pub answered: BTreeMap<TaskId, (Answer, String)>,
    /// When to forget answers and closed sends, oldest first.
    pub to_forget: VecDeque<(Timestamp, TaskId, Option<u32>)>,
    /// Ends that this side made, to be told at the next chance.
    pub closings: VecDeque<(TaskId, u32, Outcome)>,
    pub timers: Timers<Due>,
    marks: BTreeMap<u64, (TaskId, u32)>,
    next_mark: u64,
    /// The newest connection of each client, by its name.
    pub clients: BTreeMap<Arc<str>, ConnectionId>,
    /// Connections to be ended after the round, and why.
    stuck: Vec<(ConnectionId, &'static str)>,
    pub limits: Limits,
    /// Knows how many final answers are owed, and to which services.
    pub admission: Admission,
    /// Who counts what tenants may use; nobody where the settings keep no books.
    pub quota: Option<Box<dyn Quota>>,
    stood: PauseDetector,
    pub hears_clients: bool,
    pub winding_down: bool,
    pub counts: Counts,
    pub times: Times,
    /// Draws when to come back, so that planners that learnt of one thing at one instant don't act at one.
    pub chance: Pcg,
    scratch: Vec<u8>,
}

/// Of this planner in this life alone, also where many have the same settings or start at one instant.
pub fn own_seed(settings: &Settings, life: u64) -> u64 {
    settings.name.bytes().fold(mix(settings.seed, life), |seed, byte| mix(seed, u64::from(byte)))
}

impl Desk {
    pub fn new(settings: Settings, life: u64) -> Self {
        let chance = Pcg::new(own_seed(&settings, !life));
        let limits = Limits::new(settings.clients.clone());
        let admission = Admission::new(settings.most_in_hand);
        Self {
            settings,
            life,
            now: Timestamp::default(),
            links: Connections::default(),
            peers: BTreeMap::new(),
            arrivals: VecDeque::new(),
            rest: Vec::new(),
            spare: Spare::default(),
            machines: BTreeMap::new(),
            list_link: None,
            list_failures: 0,
            list_version: 0,
            list_wanted: true,
            list_known: false,
            list_reader: ListReader::default(),
            list_fault: None,
            list_changed: false,
            jobs: BTreeMap::new(),
            late: BTreeMap::new(),
            answered: BTreeMap::new(),
            to_forget: VecDeque::new(),
            closings: VecDeque::new(),
            timers: Timers::default(),
            marks: BTreeMap::new(),
            next_mark: 0,
            clients: BTreeMap::new(),
            stuck: Vec::new(),
            limits,
            admission,
            quota: None,
            stood: PauseDetector::default(),
            hears_clients: false,
            winding_down: false,
            counts: Counts::default(),
            times: Times::default(),
            chance,
            scratch: Vec::with_capacity(1024),
        }
    }

    pub fn counts(&self) -> Counts {
        let placed = |job: &&Job| job.open.is_some_and(|open| open.placed);
        let running = self.jobs.values().filter(placed).count();
        let sent = self.jobs.values().filter(|job| job.open.is_some()).count() - running;
        Counts {
            pending: self.jobs.len() - running - sent,
            sent,
            running,
            machines: self.machines.len(),
            machines_ready: self.machines.values().filter(|m| m.ready().is_some()).count(),
            ..self.counts
        }
    }

    // What whoever feeds the planner tells.

    fn add_peer(&mut self, link: ConnectionId, who: Who) {
        self.peers.insert(
            link,
            Box::new(Peer {
                who,
                frames: Frames::default(),
                greeted: false,
                ahead: None,
                ahead_is_sure: false,
                end: None,
                queued: false,
                since: (self.now, self.stood.turns()),
                in_hand: 0,
            }),
        );
    }

    /// For how long a frame that its sender wrote at this instant of its own clock has lain on the way,
    /// beyond the quickest one of this connection. It was met when planners stood still or links stalled: an
    /// ask that had lain for seconds was given its whole patience anew, and answered after its client
    /// timeout.
    pub fn lain(&mut self, link: ConnectionId, clock: u64) -> Duration {
        let ahead = (self.now.nanos() as i64).saturating_sub(i64::try_from(clock).unwrap_or(i64::MAX));
        let Some(peer) = self.peers.get_mut(&link) else { return Duration::ZERO };
        let lay = self.stood.lay(self.now, peer.since);
        let stood = if lay > PAUSE_THRESHOLD { lay.nanos() as i64 } else { 0 };
        // A frame read after a standstill may have lain for all of it: until one is read promptly, the worst
        // holds.
        let sure = stood == 0;
        let least = match peer.ahead {
            Some(before) if peer.ahead_is_sure => before.min(ahead),
            Some(before) if !sure => before.min(ahead.saturating_sub(stood)),
            _ => ahead.saturating_sub(stood),
        };
        (peer.ahead, peer.ahead_is_sure) = (Some(least), peer.ahead_is_sure || sure);
        // What is read after a standstill may have lain for all of it, whatever earlier frames say: theirs
        // may have lain on a stalled link. Too little patience is harmless, too much is late.
        Duration::from_nanos(u64::try_from(ahead.saturating_sub(least)).unwrap_or(0)).max(if sure {
            Duration::ZERO
        } else {
            lay
        })
    }

    pub fn client_came(&mut self, now: Timestamp, link: ConnectionId) {
        self.now = self.now.max(now);
        self.add_peer(link, Who::Stranger);
        match self.limits.opened(self.now, link.0) {
            Ok(None) => {}
            Ok(Some(idle)) => self.let_go(ConnectionId(idle), Why::MadeRoom.words()),
            Err(why) => self.let_go(link, why.words()),
        }
    }

    /// A client's connection is ended, with the reason in a frame before. What came on it and was not heard
    /// is never taken: there is no `Taken` for it.
    pub fn let_go(&mut self, link: ConnectionId, words: &str) {
        self.write(link, &Message::Bye { words });
        self.client_gone(link);
        self.peers.remove(&link);
        self.links.end(link);
    }

    /// Its tasks stay in hand; their ends wait for it to come back. They still name its link, which nobody
    /// has again: `tell_owner` sees that it is over.
    pub fn client_gone(&mut self, link: ConnectionId) {
        self.limits.forget(link.0);
        if let Some(Who::Client(name)) = self.peers.get(&link).map(|peer| &peer.who)
            && self.clients.get(name) == Some(&link)
        {
            self.clients.remove(name);
        }
    }

    /// A task in hand is this connection's now, or no longer.
    pub fn hand(&mut self, link: Option<ConnectionId>, more: bool) {
        let Some(link) = link else { return };
        let Some(peer) = self.peers.get_mut(&link) else { return };
        peer.in_hand = if more { peer.in_hand + 1 } else { peer.in_hand.saturating_sub(1) };
        self.limits.in_hand(link.0, peer.in_hand);
    }

    /// Deadlines of clients' connections, a bounded number of them in one turn.
    pub fn look_after_clients(&mut self) {
        // Few at a time: met, in the p99 of the busy, the questions of one tick of the wheel written
        // together.
        let mut budget = 16;
        while let Some((conn, act)) = self.limits.due(self.now, &mut budget) {
            match act {
                Act::AskForSign => self.write(ConnectionId(conn), &Message::Ping { nonce: conn }),
                Act::End(why) => self.let_go(ConnectionId(conn), why.words()),
            }
        }
    }

    pub fn is_up(&mut self, now: Timestamp, link: ConnectionId) {
        self.now = now;
        let conversation = match self.peers.get(&link).map(|peer| &peer.who) {
            Some(Who::Machine(_)) => Conversation::PlannerMachine,
            Some(Who::List) => Conversation::PlannerList,
            _ => return,
        };
        let (name, life) = (self.settings.name.clone(), self.life);
        let features = match conversation {
            Conversation::PlannerList => protocol::LIST_PIECES,
            _ => 0,
        };
        self.write(link, &Message::hello(conversation, features, &name, life, now.nanos()));
        if matches!(conversation, Conversation::PlannerList) && self.list_wanted {
            self.write(link, &Message::Watch {});
        }
    }

    pub fn came_in(&mut self, now: Timestamp, link: ConnectionId, bytes: &[u8]) {
        let Some(peer) = self.peers.get_mut(&link) else { return };
        peer.frames.take_with(bytes, &mut self.spare);
        if !peer.queued {
            peer.since = (now, self.stood.turns());
        }
        // Who sends more than is heard in a turn waits until that was heard.
        if matches!(peer.who, Who::Stranger | Who::Client(_)) && self.limits.slows(peer.frames.kept()) {
            self.links.pause(link, true);
        }
        match peer.who {
            Who::Machine(id) => {
                if let Some(spot) = self.machines.get_mut(&id) {
                    (spot.heard_at, spot.pinged_at) = (now, None);
                }
            }
            // Heard at once, so that no deadline passes over bytes that are here.
            Who::Stranger | Who::Client(_) => self.limits.heard(now, link.0),
            Who::List => {}
        }
        self.queue(link);
    }

    pub fn has_ended(&mut self, link: ConnectionId, end: CloseReason) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.end = Some(end);
            self.queue(link);
        }
    }

    fn queue(&mut self, link: ConnectionId) {
        let Some(peer) = self.peers.get_mut(&link) else { return };
        if std::mem::replace(&mut peer.queued, true) {
            return;
        }
        let now = match peer.who {
            Who::Machine(_) | Who::List => true,
            Who::Client(_) if self.hears_clients => self.limits.speaks(self.now, link.0, peer.in_hand > 0),
            // Who comes back with tasks in hand says so in its greeting.
            Who::Stranger | Who::Client(_) => {
                let greeting = peer.frames.peek().and_then(|frame| protocol::decode(frame).ok());
                let returns = matches!(greeting, Some(Message::Hello { features, .. })
                    if features & protocol::HAS_TASKS != 0);
                self.limits.stands_in_line(link.0, returns);
                false
            }
        };
        if now {
            self.arrivals.push_back(link);
        }
    }

    /// More of it was here than is heard in one turn.
    pub fn hear_rest_later(&mut self, link: ConnectionId) {
        let Some(peer) = self.peers.get_mut(&link) else { return };
        if !std::mem::replace(&mut peer.queued, true) {
            self.rest.push(link);
        }
    }

    /// What a pinch of descriptors costs: idle connections, with a reason.
    pub fn pinched(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
        for conn in self.limits.pinched(self.now) {
            self.let_go(ConnectionId(conn), Why::MadeRoom.words());
        }
    }

    pub fn has_news(&self) -> bool {
        !self.arrivals.is_empty()
            || self.limits.any_in_line()
            || !self.rest.is_empty()
            || self.limits.wake().is_some_and(|at| at <= self.now)
            || !self.closings.is_empty()
            || self.timers.next().is_some_and(|at| at <= self.now)
    }

    /// The next connection that something came in on. Clients wait until machines told what they hold.
    pub fn next_arrival(&mut self) -> Option<ConnectionId> {
        let link = match self.arrivals.pop_front() {
            Some(link) => link,
            // Those that were silent before are heard after all others, so many in one turn.
            None if self.hears_clients => ConnectionId(self.limits.next_heard()?),
            None => return None,
        };
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.queued = false;
        }
        Some(link)
    }

    pub fn due(&mut self, mark: u64) -> Option<Due> {
        self.timers.due_of(self.now, mark)
    }

    pub fn wake(&self) -> Option<Timestamp> {
        if !self.closings.is_empty()
            || (self.hears_clients && (self.limits.any_in_line() || !self.rest.is_empty()))
        {
            return Some(self.now);
        }
        // A turn at least so often, where clients are heard: by its lateness a standstill is known. Met
        // without one: the first client's ask lay in a standstill that nobody knew of.
        let heartbeat = self.hears_clients.then_some(self.now + HEARTBEAT);
        [self.timers.next(), self.limits.wake(), heartbeat].into_iter().flatten().min()
    }

    fn note_standstill(&mut self, now: Timestamp) {
        if self.stood.begin(now) {
            self.limits.woke(now);
        }
    }

    /// A turn begins: so many frames of those that woke are heard in it.
    pub fn begin_turn(&mut self, now: Timestamp) {
        self.now = now;
        self.note_standstill(now);
        self.limits.begin_turn(self.machines.len());
        for link in std::mem::take(&mut self.rest) {
            let returns = self.peers.get(&link).is_some_and(|peer| peer.in_hand > 0);
            self.limits.stands_in_line(link.0, returns);
        }
    }

    /// Much lies unread: what came is heard, nothing is due yet. False where nothing came that is heard now.
    pub fn begin_early(&mut self, now: Timestamp) -> bool {
        self.now = now;
        self.note_standstill(now);
        self.stood.is_early(now);
        !self.arrivals.is_empty() || !self.closings.is_empty()
    }

    /// Machines, the list and clients that spoke all along are read before others, where many have bytes.
    pub fn is_prompt(&self, link: ConnectionId) -> bool {
        match self.peers.get(&link).map(|peer| &peer.who) {
            None | Some(Who::Stranger) => false,
            Some(Who::Machine(_) | Who::List) => true,
            Some(Who::Client(_)) => self.limits.is_steady(self.now, link.0),
        }
    }

    /// The turn is over; the next one is due at the latest by then.
    pub fn end_turn(&mut self) {
        self.stood.end(self.wake());
    }

    /// Peers that don't read are let go: what waits for them is bounded.
    pub fn after_round(&mut self) {
        for (link, why) in std::mem::take(&mut self.stuck) {
            tracing::warn!(link = link.0, why, "a connection is ended");
            self.end_of_ours(link);
        }
    }

    /// Ends a connection from this side; what follows is as if it had broken.
    pub fn end_of_ours(&mut self, link: ConnectionId) {
        match self.peers.get(&link).map(|peer| &peer.who) {
            None => {}
            // What it sent and was not heard was never taken.
            Some(Who::Stranger | Who::Client(_)) => {
                self.client_gone(link);
                self.peers.remove(&link);
                self.links.abort(link);
            }
            // What is unwritten must be known before it is dropped.
            Some(Who::Machine(_) | Who::List) => self.has_ended(link, CloseReason::Broken),
        }
    }

    // Writing.

    pub fn write(&mut self, link: ConnectionId, message: &Message<'_>) {
        self.write_marked(link, message, None);
    }

    fn write_marked(&mut self, link: ConnectionId, message: &Message<'_>, mark: Option<u64>) {
        self.scratch.clear();
        if let Err(too_long) = protocol::try_encode(message, &mut self.scratch) {
            tracing::error!(link = link.0, %too_long, "a message is not sent");
            self.stuck.push((link, "what it is to be told is too long for a frame"));
            return;
        }
        self.links.send(link, &self.scratch, mark);
        if self.links.unwritten(link) > self.settings.most_unwritten {
            self.stuck.push((link, "it doesn't read, and too much waits for it"));
        }
    }

    pub fn open_machine(&mut self, id: MachineId) {
        let Some(spot) = self.machines.get(&id) else { return };
        if spot.reach != Reach::Down || spot.mode == Mode::Left {
            return;
        }
        let link = self.links.open(&spot.address.clone());
        self.add_peer(link, Who::Machine(id));
        let (now, silence) = (self.now, self.settings.silence);
        let first = backoff::first_sign(silence, self.chance.fraction());
        let spot = self.machines.get_mut(&id).expect("was there");
        spot.reach = Reach::Coming(link);
        (spot.heard_at, spot.pinged_at) = (now, Some(now));
        self.timers.set(now + first, Due::Ping(id, link));
    }

    pub fn open_list(&mut self) {
        if self.list_link.is_none() {
            let link = self.links.open(&self.settings.list_address.clone());
            self.add_peer(link, Who::List);
            self.list_link = Some(link);
        }
    }

    /// Tells the owner of a task: on the connection that asked last, else on the owner's newest.
    pub fn tell_owner(&mut self, link: Option<ConnectionId>, owner: &str, message: &Message<'_>) {
        let link = link.filter(|link| self.peers.contains_key(link));
        let link = link.or_else(|| self.clients.get(owner).copied());
        if let Some(link) = link {
            self.write(link, message);
        }
    }

    /// Writes the offer of an open send on the machine's connection.
    pub fn write_offer(&mut self, id: TaskId, link: ConnectionId) {
        let now = self.now;
        self.next_mark += 1;
        let mark = self.next_mark;
        let job = self.jobs.get_mut(&id).expect("has an open send");
        let open = job.open.as_mut().expect("has an open send");
        (open.link, open.mark) = (Some(link), mark);
        let time_out = open.due - now;
        let (machine, send, shape) = (open.machine, open.number, job.shape);
        let owner = std::mem::take(&mut job.owner);
        if let Some(spot) = self.machines.get_mut(&machine) {
            spot.gate.wrote(now, id.0, send);
        }
        self.marks.insert(mark, (id, send));
        self.write_marked(
            link,
            &Message::Offer { task: id.0, send, shape, time_out: time_out.nanos(), owner: &owner },
            Some(mark),
        );
        self.jobs.get_mut(&id).expect("is there").owner = owner;
    }

    /// Writes the offers that wait for this machine's connection, as far as the gate of a cold one lets them.
    /// What waited too long for a cold one goes back to the module, whose budget counts it no longer.
    pub fn release(&mut self, machine: MachineId) {
        let (now, fall) = (self.now, self.settings.cold.budget_window);
        let Some(spot) = self.machines.get_mut(&machine) else { return };
        let Some(link) = spot.ready().filter(|_| !spot.waiting.is_empty()) else { return };
        let shut = spot.gate.shut_until(now, fall);
        let mut waits_on = Vec::new();
        for (task, send) in std::mem::take(&mut spot.waiting) {
            let id = TaskId(task);
            let Some(job) = self.jobs.get(&id) else { continue };
            let is_it = |open: &Open| (open.machine, open.number, open.link) == (machine, send, None);
            let Some(open) = job.open.filter(is_it) else { continue };
            if self.is_past_window(job) || self.machines[&machine].gate.is_stale(now, fall, open.decided) {
                self.closings.push_back((id, send, Outcome::NotSent));
            } else if shut.is_some() || open.due <= now {
                // Its time-out is about to take it back. Met after a standstill: it went out in an early
                // turn, with no time left, and may have run.
                waits_on.push((task, send));
            } else {
                self.write_offer(id, link);
            }
        }
        if let Some(until) = shut.filter(|_| !waits_on.is_empty()) {
            self.timers.set(until, Due::Release(machine));
        }
        self.machines.get_mut(&machine).expect("is there").waiting = waits_on;
    }

    /// A machine said something of a send.
    pub fn answered_by(&mut self, machine: MachineId, task: u64, send: u32) {
        let (now, fall) = (self.now, self.settings.cold.budget_window);
        if let Some(spot) = self.machines.get_mut(&machine) {
            spot.gate.answered(now, fall, task, send);
        }
        self.release(machine);
    }

    /// Whether the end of a send is known, and told in this turn.
    pub fn is_closing(&self, id: TaskId, send: u32) -> bool {
        self.closings.iter().any(|(task, number, _)| (*task, *number) == (id, send))
    }

    /// Whether machines drop repeats of this task no longer. Met: an offer that had waited for its connection
    /// until then.
    fn is_past_window(&self, job: &Job) -> bool {
        match self.settings.use_cases[job.order.use_case.0].idempotency {
            Idempotency::Keyed { window, .. } => job.may_have_run.is_some_and(|at| self.now - at > window),
            Idempotency::Idempotent | Idempotency::NonIdempotent => false,
        }
    }

    /// Takes the offer of an open send back, where not a byte of it left this process.
    pub fn take_back(&mut self, id: TaskId) -> bool {
        let Some(open) = self.jobs.get(&id).and_then(|job| job.open) else { return false };
        let back = match open.link {
            Some(link) => self.links.retract(link, open.mark),
            None => {
                self.machines.get(&open.machine).is_some_and(|m| m.waiting.contains(&(id.0, open.number)))
            }
        };
        if back && let Some(spot) = self.machines.get_mut(&open.machine) {
            spot.waiting.retain(|waits| *waits != (id.0, open.number));
        }
        back
    }

    /// The offers of an ended connection that were not wholly written.
    pub fn unwritten_offers(&mut self, link: ConnectionId) -> Vec<(TaskId, u32, Unsent)> {
        let unwritten = self.links.abort(link);
        let named =
            |(mark, how): (u64, Unsent)| self.marks.get(&mark).map(|(task, send)| (*task, *send, how));
        unwritten.into_iter().filter_map(named).collect()
    }

    #[cfg(test)]
    pub fn marks_held(&self) -> usize {
        self.marks.len()
    }

    pub fn forget_mark(&mut self, mark: u64) {
        self.marks.remove(&mark);
    }

    /// Keeps the final answer for an owner that comes back, and tells it where it is connected.
    pub fn answer(&mut self, id: TaskId, answer: Answer) {
        let job = self.jobs.remove(&id).expect("a task in hand");
        if !job.answered {
            self.owes_less(job.owner_link, job.came, job.shape.service);
        }
        if let (Some(quota), Some(ticket)) = (&mut self.quota, job.ticket) {
            match answer {
                Answer::Ended(ending) => quota.on_ended(self.now, ticket, ending.comes_again()),
                _ if job.may_have_run.is_some() => quota.on_possible_run(self.now, ticket),
                _ => quota.on_never_ran(self.now, ticket),
            }
        }
        let _task = tracing::debug_span!("task", id = id.0, owner = job.owner).entered();
        tracing::debug!(?answer, sends = job.sends, "answered");
        // Who withdrew it asked for no answer.
        if answer != Answer::Withdrawn {
            self.tell_owner(job.owner_link, &job.owner, &answer.message(id));
        }
        self.remember(id, answer, job.owner);
    }

    /// The final answer of a task that came then is given.
    pub fn owes_less(&mut self, link: Option<ConnectionId>, came: Timestamp, service: u64) {
        self.admission.done(self.now, service);
        self.hand(link, false);
        self.times.take_to_answer.saturating_record((self.now - came).nanos() / 1000);
    }

    fn remember(&mut self, id: TaskId, answer: Answer, owner: String) {
        self.answered.insert(id, (answer, owner));
        self.forget_later(id, None);
    }

    pub fn forget_later(&mut self, id: TaskId, send: Option<u32>) {
        let at = self.now + self.settings.remember;
        if self.to_forget.is_empty() {
            self.timers.set(at, Due::Forget);
        }
        self.to_forget.push_back((at, id, send));
    }

    /// Forgets what nobody may come back for any more.
    pub fn forget_old(&mut self) {
        while let Some((at, id, send)) = self.to_forget.front().copied() {
            if at > self.now {
                self.timers.set(at, Due::Forget);
                return;
            }
            self.to_forget.pop_front();
            match send {
                Some(send) => drop(self.late.remove(&(id, send))),
                None => drop(self.answered.remove(&id)),
            }
        }
    }

    // The list.

    pub fn list_changes(&mut self) {
        self.list_changed = true;
    }

    /// Why this planner is not to be given tasks now; nothing where it is ready for them.
    pub fn not_ready(&self) -> Option<String> {
        let fault = self.list_fault.as_ref();
        match (fault, self.list_known) {
            _ if self.winding_down => Some("it ends and takes nothing new".to_owned()),
            (Some(fault), false) => Some(format!("{fault}; no list is known")),
            (Some(fault @ ListFault::Unreadable(_)), true) => {
                Some(format!("{fault}; the last one, version {}, is used", self.list_version))
            }
            (None, false) => match self.list_reader.coming() {
                Some((version, pieces)) => Some(format!("{pieces} pieces of list version {version} came")),
                None => Some("no list has come yet".to_owned()),
            },
            (_, true) if !self.hears_clients => Some("machines are asked what they hold".to_owned()),
            (_, true) => None,
        }
    }

    /// The last list as frames, where it changed.
    pub fn list_to_keep(&mut self) -> Option<Vec<u8>> {
        if !std::mem::take(&mut self.list_changed) {
            return None;
        }
        let now = self.now;
        let entry = |m: &'_ Spot| (m.id.0, m.address.clone(), m.since.map(|at| (now - at).nanos()), m.left);
        let held: Vec<_> = self.machines.values().map(|m| (entry(m), m)).collect();
        let entries: Vec<_> = held
            .iter()
            .map(|((machine, address, up_for, left), m)| protocol::Entry {
                machine: *machine,
                address,
                kind: m.kind.0 as u32,
                cell: m.cell.0,
                zone: m.zone.0,
                mode: m.mode,
                life: m.listed_life,
                up_for: *up_for,
                cores_left: left.map(|left| left.0),
                memory_left: left.map(|left| left.1),
            })
            .collect();
        let mut frames = Vec::new();
        protocol::encode_list(protocol::ListKind::Whole, self.list_version, &entries, &mut frames);
        Some(frames)
    }

    /// Opens the door for clients: all machines of the first list have told what they hold, or can't be
    /// reached.
    pub fn hear_clients(&mut self) {
        if !std::mem::replace(&mut self.hears_clients, true)
            && let Some(quota) = &mut self.quota
        {
            quota.on_recovery_complete(self.now);
        }
    }

    /// How many tasks have an open send, by machine.
    pub fn jobs_by_machine(&self) -> BTreeMap<MachineId, usize> {
        let mut jobs = BTreeMap::new();
        for open in self.jobs.values().filter_map(|job| job.open) {
            *jobs.entry(open.machine).or_default() += 1;
        }
        jobs
    }

    /// The tasks with an open send on this machine.
    pub fn jobs_on(&self, machine: MachineId) -> Vec<(TaskId, Open)> {
        let on = |(id, job): (&TaskId, &Job)| {
            job.open.filter(|open| open.machine == machine).map(|open| (*id, open))
        };
        self.jobs.iter().filter_map(on).collect()
    }
}

/// Carries out what the module chooses. The module holds it during a round in which the desk hears, so each
/// borrows the desk for a moment only.
pub struct Pen<'a>(pub &'a RefCell<Desk>);

impl Dispatch for Pen<'_> {
    fn send(&mut self, task: TaskId, machine: MachineId, time_out: Duration) {
        let desk = &mut *self.0.borrow_mut();
        let now = desk.now;
        let job = desk.jobs.get_mut(&task).expect("the module sends tasks in hand");
        assert!(job.open.is_none(), "task {}: two sends out at once", task.0);
        assert!(now <= job.order.deadline, "task {}: a send after its client timeout", task.0);
        let number = job.sends;
        job.sends += 1;
        if number == 0 {
            desk.times.take_to_send.saturating_record((now - job.came).nanos() / 1000);
        }
        let _task = tracing::debug_span!("task", id = task.0, owner = job.owner).entered();
        tracing::debug!(machine = machine.0, send = number, "sent");
        job.open = Some(Open {
            number,
            machine,
            link: None,
            mark: 0,
            decided: now,
            due: now + time_out,
            placed: false,
            runs: false,
            stopping: false,
        });
        desk.counts.sends += 1;
        desk.timers.set(now + time_out, Due::Send(task, number));
        let spot = desk.machines.get(&machine).expect("the module sends to listed machines");
        assert!(spot.mode == Mode::Active, "task {}: a send to a machine that drains or is gone", task.0);
        let shut = spot.gate.shut_until(now, desk.settings.cold.budget_window);
        match spot.reach {
            Reach::Ready(_) if shut.is_some() => {
                desk.machines.get_mut(&machine).expect("is there").waiting.push((task.0, number));
                desk.timers.set(shut.expect("is shut"), Due::Release(machine));
            }
            Reach::Ready(link) => desk.write_offer(task, link),
            // One that has not refused since it was there last is tried at once.
            Reach::Down if spot.failures > 0 && spot.retry_at > now => {
                desk.closings.push_back((task, number, Outcome::ConnectionFailed));
            }
            _ => {
                desk.machines.get_mut(&machine).expect("is there").waiting.push((task.0, number));
                desk.open_machine(machine);
            }
        }
    }

    fn cancel_attempt(&mut self, task: TaskId, send: u32) {
        let desk = &mut *self.0.borrow_mut();
        let Some(open) = desk.jobs.get(&task).and_then(|job| job.open) else { return };
        // A send called back in this very turn has its end on the way already.
        if open.number != send || open.placed || desk.is_closing(task, send) {
            return;
        }
        if desk.take_back(task) {
            desk.closings.push_back((task, send, Outcome::NotSent));
            return;
        }
        if let Some(link) = open.link {
            desk.write(link, &Message::Recall { task: task.0, send });
        }
        desk.closings.push_back((task, send, Outcome::Cancelled));
    }

    fn reject(&mut self, task: TaskId, stay_away: Duration) {
        let desk = &mut *self.0.borrow_mut();
        let job = &desk.jobs[&task];
        assert!(job.open.is_none(), "task {}: nacked with a send out", task.0);
        let harmless = match desk.settings.use_cases[job.order.use_case.0].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { domain: Group::Cluster, .. } => true,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => job.may_have_run.is_none(),
        };
        assert!(harmless, "task {}: nacked though it may have run", task.0);
        desk.counts.nacked += 1;
        desk.answer(task, Answer::Nacked(stay_away.nanos()));
    }

    fn fail(&mut self, task: TaskId) {
        let desk = &mut *self.0.borrow_mut();
        assert!(desk.jobs[&task].open.is_none(), "task {}: errored with a send out", task.0);
        desk.counts.errored += 1;
        desk.answer(task, Answer::Errored);
    }

    fn preempt(&mut self, task: TaskId) {
        let desk = &mut *self.0.borrow_mut();
        let Some(open) = desk.jobs.get_mut(&task).and_then(|job| job.open.as_mut()) else { return };
        open.stopping = true;
        let (machine, send) = (open.machine, open.number);
        if let Some(link) = desk.machines.get(&machine).and_then(Spot::ready) {
            desk.write(link, &Message::Stop { task: task.0, send, moves: true });
        }
    }

    fn wake_at(&mut self, token: u64, at: Timestamp) {
        self.0.borrow_mut().timers.set(at, Due::Token(token));
    }

    fn watch_endpoints(&mut self) {
        let desk = &mut *self.0.borrow_mut();
        desk.list_wanted = true;
        match desk.list_link.filter(|link| desk.peers.get(link).is_some_and(|peer| peer.greeted)) {
            Some(link) => desk.write(link, &Message::Watch {}),
            None => desk.open_list(),
        }
    }
}
