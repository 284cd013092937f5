//! All that is held beside the module: connections, tasks and what is due.

use crate::conf::Conf;
use crate::handover::HandOvers;
use crate::machines::{Connection, Machines, Patience};
use crate::owners::{Owner, Owners};
use crate::tasks::{Open, Tasks, hex};
use crate::watch::{self, Watch};
use mulleinhub::{Pcg, mix};
use mulleinhub_interface::{Duration, Idempotency, MachineId, MachineState, Outcome, TaskId, Timestamp};
use mulleinhub_limits::{
    Admission, Doorway, Limits, MOST_CONNECTIONS, Pool, connections_to_machines, tasks_held, tasks_in_hand,
};
use mulleinhub_platform_protocol::{self as protocol, Cause, Event, kind, why};
use mulleinhub_platform_settings::Site;
use mulleinhub_resilience::{HEARTBEAT, PauseDetector, backoff};
use mulleinhub_sans_io::{CloseReason, ConnectionId, Connections, Timers};
use std::collections::VecDeque;
use std::sync::Arc;

/// Bytes that may wait for one peer that doesn't read.
const MOST_UNWRITTEN: usize = 256 * 1024;
/// The end of a task is owed for so long where no owner is connected to hear of it.
const OWED_FOR: Duration = Duration::from_secs(60);
/// Faults of peers that are logged within a second.
const MOST_LOGGED: u32 = 5;
/// After so long from the word to end nobody comes any more, and later set-ups are refused at once.
pub const STILL_COMING: Duration = Duration::from_nanos(700_000_000);
/// All that was taken must have its answer by then: the longest wait, as far as it counts, behind whoever
/// came last, less what the last answers may take on their way out of a process that has a part of a core.
const COUNTED_WAIT: Duration = Duration::from_secs(3);
const LAST_ANSWERS: Duration = Duration::from_nanos(300_000_000);
/// A connection for which there is no room may ask for so long; it is refused and ended.
const ASKS_WITHIN: Duration = Duration::from_nanos(250_000_000);
/// And no end before this is past.
const NO_END_BEFORE: Duration = Duration::from_nanos(1_000_000_000);

/// Between two looks for a connection where none may be opened, as a part of the time that one takes to
/// come up.
const CONNECTION_PART: f64 = 0.2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Token(u64),
    Send(TaskId, u32),
    /// The last instant at which this send may be written.
    Write(TaskId, u32),
    /// A connection that should be up by then.
    Up(ConnectionId),
    Look(MachineId),
    Release(MachineId),
    /// One for whom there was no room has had its time.
    TurnedAway,
    /// One that is to make room has had its time to end a message.
    GiveWay,
    /// A hand-over has waited long enough for its machine to be listed.
    HandOver,
    Watch(ConnectionId),
    OpenWatch,
    Tell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    Owner,
    Machine,
    Watch,
}

/// What was done since the start, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub taken: u64,
    pub placed: u64,
    pub nacked: u64,
    pub errored: u64,
    pub sends: u64,
    pub late_yes: u64,
    pub unusable: u64,
    pub bad_owners: u64,
    pub bad_machines: u64,
    pub handed: u64,
    pub lost: u64,
}

pub struct Desk {
    pub site: Site,
    pub now: Timestamp,
    pub links: Connections,
    pub owners: Owners,
    pub machines: Machines,
    pub watch: Watch,
    pub tasks: Tasks,
    pub limits: Limits,
    pub admission: Admission,
    pub patience: Patience,
    /// Descriptors of connections to machines.
    pub pool: Pool,
    connections_in_all: usize,
    doorway: Doorway,
    /// Tasks that may be held in all.
    pub most_held: usize,
    pub handovers: HandOvers,
    /// One name for all owners: the platform's have none.
    pub owners_name: Arc<str>,
    /// The list that the configuration knew; told first.
    pub saved: Vec<Event>,
    /// Connections to machines on which something came in.
    arrivals: VecDeque<ConnectionId>,
    /// Owners of whom more came than is heard in a turn.
    rest: Vec<ConnectionId>,
    /// Ends of sends that are to be told to the module.
    pub closings: VecDeque<(TaskId, u32, Outcome)>,
    /// Connections to machines that came up since the last turn.
    came_up: Vec<ConnectionId>,
    /// Tasks that nobody wants any more, to be told to the module.
    pub gone: Vec<TaskId>,
    pub timers: Timers<Due>,
    next_mark: u64,
    pub stood: PauseDetector,
    pub chance: Pcg,
    /// Since when it is to end, and whether the module has heard by when its answers are owed.
    pub ending: Option<Timestamp>,
    pub told_end: bool,
    pub counts: Counts,
    logged: (Timestamp, u32),
    stuck: Vec<ConnectionId>,
    scratch: Vec<u8>,
}

impl Desk {
    pub fn new(conf: Conf) -> Self {
        let doorway = Doorway::new(conf.descriptors);
        let limits = mulleinhub_limits::Settings {
            most: conf.descriptors,
            most_of_a_tenant: conf.descriptors,
            most_of_a_name: conf.descriptors,
            // Who says nothing has a part of what owners have, and no more.
            most_strangers: (conf.descriptors / 8).max(1),
            opens_a_turn: doorway.taken_a_turn,
            greet_within: Duration::from_nanos(2_000_000_000),
            frame_within: Duration::from_nanos(2_000_000_000),
            idle_after: Duration::from_secs(30),
            sign_within: Duration::from_secs(10),
            steady_for: Duration::from_secs(5),
            may_speak: Duration::from_nanos(20_000_000),
            woken_a_turn: 256,
        };
        let mut limits = Limits::new(limits);
        limits.descriptors(conf.descriptors);
        let patience = Patience::new(conf.site.idle_after, conf.site.connect_within);
        Self {
            limits,
            patience,
            admission: Admission::new(tasks_in_hand(conf.memory_mb)),
            now: Timestamp::default(),
            links: Connections::default(),
            owners: Owners::default(),
            machines: Machines::default(),
            watch: Watch::new(conf.bulletin, conf.known.no),
            tasks: Tasks::default(),
            pool: Pool::new(connections_to_machines(conf.descriptors)),
            doorway,
            connections_in_all: connections_to_machines(conf.descriptors),
            most_held: tasks_held(conf.memory_mb),
            handovers: HandOvers::default(),
            owners_name: "owner".into(),
            saved: conf.known.items,
            arrivals: VecDeque::new(),
            rest: Vec::new(),
            closings: VecDeque::new(),
            came_up: Vec::new(),
            gone: Vec::new(),
            timers: Timers::default(),
            next_mark: 0,
            stood: PauseDetector::default(),
            chance: Pcg::new(mix(conf.seed, conf.site.cold.scheduler_index.into())),
            ending: None,
            told_end: false,
            counts: Counts::default(),
            logged: (Timestamp::default(), 0),
            stuck: Vec::new(),
            scratch: Vec::with_capacity(1024),
            site: conf.site,
        }
    }

    // What whoever feeds the party tells.

    pub fn owner_came(&mut self, now: Timestamp, link: ConnectionId) {
        self.now = self.now.max(now);
        self.owners.by_link.insert(link, Owner::new((self.now, self.stood.turns())));
        match self.limits.opened(self.now, link.0) {
            Ok(None) => {}
            Ok(Some(idle)) => self.is_to_give_way(ConnectionId(idle)),
            Err(_) => {
                let until = self.now + ASKS_WITHIN;
                self.owners.by_link.get_mut(&link).expect("just came").turned_away = true;
                self.owners.turned_away.push_back((until, link));
                self.timers.set(until, Due::TurnedAway);
            }
        }
    }

    /// An owner's connection without anything open on it is ended.
    pub fn drop_owner(&mut self, link: ConnectionId) {
        self.limits.forget(link.0);
        self.owners.turned_away.retain(|(_, other)| *other != link);
        self.owners.by_link.remove(&link);
        self.links.end(link);
    }

    /// An idle connection is to make room, unless something of it is here when the turn has heard all.
    pub fn is_to_give_way(&mut self, link: ConnectionId) {
        if let Some(owner) = self.owners.by_link.get_mut(&link) {
            owner.gives_way = Some(self.now);
            self.owners.giving_way.push(link);
        }
    }

    /// All that came before this turn was read and heard: those that said nothing make room.
    pub fn give_way(&mut self) {
        for link in std::mem::take(&mut self.owners.giving_way) {
            let Some(owner) = self.owners.by_link.get(&link) else { continue };
            let Some(since) = owner.gives_way else { continue };
            let until = since + self.limits.settings().may_speak;
            let speaks =
                owner.queued || owner.frames.has_next() || !owner.open.is_empty() || owner.end.is_some();
            // Met: of as many new owners as there were places for, all beyond an eighth of the descriptors
            // were ended in the middle of their first set-up, which came in pieces.
            let has_room = self.owners.by_link.len() <= self.limits.allowed();
            if speaks || (has_room && self.is_within_a_message(link)) {
                self.stays(link);
            } else if owner.frames.kept() > 0 && until > self.now {
                // The rest of a message may be on its way. Met: whoever sent a part of one kept its place for
                // two seconds beyond all limits, and such clients took every descriptor there was.
                self.owners.giving_way.push(link);
                self.timers.set(until, Due::GiveWay);
            } else {
                self.drop_owner(link);
            }
        }
    }

    /// Whether a part of a message is here that still has time to become whole.
    fn is_within_a_message(&self, link: ConnectionId) -> bool {
        let since = self.owners.by_link.get(&link).and_then(|owner| owner.partial_since);
        since.is_some_and(|since| self.now - since < self.limits.settings().frame_within)
    }

    /// It spoke, so it makes no room.
    fn stays(&mut self, link: ConnectionId) {
        let Some(owner) = self.owners.by_link.get_mut(&link) else { return };
        owner.gives_way = None;
        let (proven, open, partial_since) = (owner.proven, owner.open.len() as u32, owner.partial_since);
        self.limits.stays(self.now, link.0);
        if let Some(since) = partial_since {
            self.limits.read(since, link.0, true);
        }
        if proven {
            // There is no bound on one name here.
            let _ = self.limits.greeted(link.0, &self.owners_name);
            self.limits.is_of_use(link.0);
        }
        self.limits.in_hand(link.0, open);
    }

    /// Those for whom there was no room and who asked nothing in time.
    pub fn end_turned_away(&mut self) {
        while let Some((until, link)) = self.owners.turned_away.front().copied() {
            if until > self.now {
                return;
            }
            self.drop_owner(link);
        }
    }

    /// How many connections of owners are taken before the next turn.
    pub fn takes(&self) -> usize {
        if self.limits.waits_until().is_some_and(|until| until > self.now) {
            return 0;
        }
        let refused = self.doorway.turned_away.saturating_sub(self.owners.turned_away.len());
        // Those who make room are still here.
        let most = self.limits.allowed() + self.doorway.taken_a_turn + self.doorway.turned_away;
        self.limits.takes().min(refused).min(most.saturating_sub(self.owners.by_link.len()))
    }

    pub fn who(&self, link: ConnectionId) -> Option<Who> {
        if self.owners.by_link.contains_key(&link) {
            Some(Who::Owner)
        } else if self.machines.connections.contains_key(&link) {
            Some(Who::Machine)
        } else {
            (self.watch.link == Some(link)).then_some(Who::Watch)
        }
    }

    pub fn is_up(&mut self, now: Timestamp, link: ConnectionId) {
        self.now = self.now.max(now);
        match self.who(link) {
            Some(Who::Machine) => {
                self.pool.used(now, link.0);
                self.came_up.push(link);
            }
            Some(Who::Watch) => {
                self.watch.up = true;
                self.watch.heard_at = now;
                let call = self.watch.call();
                self.links.send(link, call.as_bytes(), None);
                self.timers.set(now + watch::SILENCE, Due::Watch(link));
            }
            Some(Who::Owner) | None => {}
        }
    }

    pub fn came_in(&mut self, now: Timestamp, link: ConnectionId, bytes: &[u8]) {
        match self.who(link) {
            Some(Who::Owner) => {
                let turns = self.stood.turns();
                let owner = self.owners.by_link.get_mut(&link).expect("is one");
                owner.frames.take(bytes);
                owner.heard_at = now;
                if !owner.queued {
                    owner.since = (now, turns);
                }
                if self.limits.slows(owner.frames.kept()) {
                    self.links.pause(link, true);
                }
                self.limits.heard(now, link.0);
                self.queue_owner(link);
            }
            Some(Who::Machine) => {
                self.pool.used(now, link.0);
                let connection = self.machines.connections.get_mut(&link).expect("is one");
                connection.used_at = now;
                connection.frames.take(bytes);
                self.queue_machine(link);
            }
            Some(Who::Watch) => {
                if let Err(bad) = self.watch.take(now, bytes) {
                    self.grumble("the bulletin speaks wrongly; it is called anew", &bad.0);
                    self.watch_ended(true);
                } else if self.watch.is_over() {
                    self.watch_ended(true);
                }
            }
            None => {}
        }
    }

    pub fn has_ended(&mut self, now: Timestamp, link: ConnectionId, end: CloseReason) {
        self.now = self.now.max(now);
        match self.who(link) {
            Some(Who::Owner) => {
                self.owners.by_link.get_mut(&link).expect("is one").end = Some(end);
                self.queue_owner(link);
            }
            Some(Who::Machine) => {
                self.machines.connections.get_mut(&link).expect("is one").end = Some(end);
                self.queue_machine(link);
            }
            Some(Who::Watch) => {
                self.links.forget(link);
                self.watch_ended(false);
            }
            None => drop(self.links.forget(link)),
        }
    }

    fn queue_owner(&mut self, link: ConnectionId) {
        let owner = self.owners.by_link.get_mut(&link).expect("is one");
        if std::mem::replace(&mut owner.queued, true) {
            return;
        }
        let returns = !owner.open.is_empty();
        if self.limits.speaks(self.now, link.0, returns) {
            self.arrivals.push_back(link);
        }
    }

    fn queue_machine(&mut self, link: ConnectionId) {
        let connection = self.machines.connections.get_mut(&link).expect("is one");
        if !std::mem::replace(&mut connection.queued, true) {
            self.arrivals.push_back(link);
        }
    }

    /// More of it was here than is heard in one turn.
    pub fn hear_rest_later(&mut self, link: ConnectionId) {
        if let Some(owner) = self.owners.by_link.get_mut(&link)
            && !std::mem::replace(&mut owner.queued, true)
        {
            self.rest.push(link);
        }
    }

    /// The next connection that something came in on.
    pub fn next_arrival(&mut self) -> Option<ConnectionId> {
        let link = self.arrivals.pop_front().or_else(|| self.limits.next_heard().map(ConnectionId))?;
        if let Some(owner) = self.owners.by_link.get_mut(&link) {
            owner.queued = false;
        } else if let Some(connection) = self.machines.connections.get_mut(&link) {
            connection.queued = false;
        }
        Some(link)
    }

    // Turns.

    pub fn begin_turn(&mut self, now: Timestamp) {
        self.now = now;
        if self.stood.begin(now) {
            self.limits.woke(now);
        }
        self.limits.begin_turn(self.connections_in_all);
        let up_at = self.said_at();
        for link in std::mem::take(&mut self.came_up) {
            self.machines.comes_up(now, up_at, link);
            tracing::debug!(connection = link.0, "a connection is up");
        }
        for link in std::mem::take(&mut self.rest) {
            self.limits.stands_in_line(link.0, true);
        }
    }

    /// When what was read before this turn was said at the earliest. Met in a story: what a machine had said
    /// before it stopped lay here through a standstill of ours, and counted from when it was read.
    pub fn said_at(&self) -> Timestamp {
        let lay = self.stood.lay(self.now, (self.now, self.stood.turns() - 1));
        Timestamp::default() + ((self.now - Timestamp::default()) - lay)
    }

    pub fn end_turn(&mut self) {
        for link in std::mem::take(&mut self.stuck) {
            self.grumble("ended: it doesn't read, and too much waits for it", &format!("link {}", link.0));
            match self.who(link) {
                Some(Who::Owner | Who::Machine) => self.has_ended(self.now, link, CloseReason::Broken),
                Some(Who::Watch) | None => {}
            }
        }
        self.stood.end(self.wake());
    }

    pub fn wake(&self) -> Option<Timestamp> {
        let at_once = !self.closings.is_empty()
            || !self.gone.is_empty()
            || !self.arrivals.is_empty()
            || !self.rest.is_empty()
            || self.limits.any_in_line();
        if at_once {
            return Some(self.now);
        }
        let takes_again = self.limits.waits_until().filter(|until| *until > self.now);
        [self.timers.next(), self.limits.wake(), takes_again, Some(self.now + HEARTBEAT)]
            .into_iter()
            .flatten()
            .min()
    }

    /// A fault of a peer, logged a few times a second at the most.
    pub fn grumble(&mut self, what: &str, why: &str) {
        let (since, times) = self.logged;
        let fresh = self.now - since >= Duration::from_secs(1);
        self.logged = if fresh { (self.now, 1) } else { (since, times + 1) };
        if self.logged.1 <= MOST_LOGGED {
            tracing::warn!(why, "{what}");
        }
    }

    // Writing.

    pub fn send(&mut self, link: ConnectionId, write: impl FnOnce(&mut Vec<u8>)) {
        self.scratch.clear();
        write(&mut self.scratch);
        self.send_scratch(link, None);
    }

    fn send_scratch(&mut self, link: ConnectionId, mark: Option<u64>) {
        self.links.send(link, &self.scratch, mark);
        if self.links.unwritten(link) > MOST_UNWRITTEN {
            self.stuck.push(link);
        }
    }

    /// The end of a task that stood, or of one that is not in hand.
    pub fn tell_end(&mut self, came_on: Option<ConnectionId>, task: TaskId, cause: Cause) {
        if !self.tell_now(came_on, task, cause) {
            self.owners.owed.push_back((self.now, task, cause));
        }
    }

    /// False where no owner is connected to hear of it.
    fn tell_now(&mut self, came_on: Option<ConnectionId>, task: TaskId, cause: Cause) -> bool {
        let Some(link) = self.owners.to_tell(came_on) else { return false };
        tracing::debug!(task = hex(task), link = link.0, cause, "its owner is told");
        self.send(link, |out| protocol::write_with_cause(out, kind::RELEASE, task.0, cause));
        true
    }

    /// What is owed to owners goes out once one of them is connected.
    pub fn pay_owed(&mut self) {
        // After that nobody waits for it.
        while self.owners.owed.front().is_some_and(|(at, ..)| self.now - *at > OWED_FOR) {
            self.owners.owed.pop_front();
        }
        while let Some((_, task, cause)) = self.owners.owed.front().copied() {
            if !self.tell_now(None, task, cause) {
                return;
            }
            self.owners.owed.pop_front();
        }
    }

    /// A task is to be answered on this connection, or no longer.
    pub fn hand(&mut self, link: Option<ConnectionId>, id: TaskId, more: bool) {
        let Some(link) = link else { return };
        let Some(owner) = self.owners.by_link.get_mut(&link) else { return };
        if more {
            owner.open.insert(id)
        } else {
            owner.open.remove(&id)
        };
        self.limits.in_hand(link.0, owner.open.len() as u32);
    }

    /// The final answer of a task in hand is given, or none is owed any more.
    pub fn is_answered(&mut self, id: TaskId) {
        let Some(job) = self.tasks.by_id.get_mut(&id) else { return };
        if std::mem::replace(&mut job.answered, true) {
            return;
        }
        let (service, link) = (job.order.service.0, job.owner);
        self.tasks.unanswered -= 1;
        self.admission.done(self.now, service);
        self.hand(link, id, false);
    }

    // Machines.

    /// Whether a connection to a machine may be opened: where the pool is used up, the idle one that was used
    /// longest ago makes room. One used just now may still bring what its machine has to tell.
    pub fn makes_room(&mut self) -> bool {
        if self.pool.has_room() {
            return true;
        }
        let connections = &self.machines.connections;
        let is_idle = |connection: &Connection| {
            connection.up && connection.end.is_none() && !connection.queued && connection.open.is_empty()
        };
        let since = Timestamp::default() + (self.now - (Timestamp::default() + self.patience.connect));
        let longest =
            self.pool.to_let_go(since, |conn| connections.get(&ConnectionId(conn)).is_some_and(is_idle));
        let Some(longest) = longest else { return false };
        self.end_connection(ConnectionId(longest));
        true
    }

    /// Asks for a connection to this machine; none where none may be opened.
    pub fn open_connection(&mut self, id: MachineId) -> Option<ConnectionId> {
        if self.machines.by_id.get(&id).is_none_or(|machine| machine.replaced) || !self.makes_room() {
            return None;
        }
        let machine = self.machines.by_id.get_mut(&id)?;
        let link = self.links.open(&machine.address);
        machine.connections.push(link);
        let (now, cuts) = (self.now, std::mem::take(&mut machine.cuts));
        self.pool.opened(now, link.0);
        self.machines.connections.insert(link, Connection::new(id, now));
        for task in cuts {
            self.send(link, |out| protocol::write_with_cause(out, kind::RELEASE, task.0, why::CANCELLED));
        }
        self.timers.set(now + self.patience.connect, Due::Up(link));
        self.look_after(id);
        Some(link)
    }

    /// Cuts a task that stands on a machine: at once where there is a connection, else on the next one.
    pub fn cut(&mut self, id: MachineId, task: TaskId, came_on: Option<ConnectionId>) {
        let connection = came_on.filter(|link| self.machines.connections.contains_key(link));
        let connection = connection.or_else(|| self.machines.connections_of(id).map(|(link, _)| link).next());
        if let Some(connection) = connection.or_else(|| self.open_connection(id)) {
            self.send(connection, |out| {
                protocol::write_with_cause(out, kind::RELEASE, task.0, why::CANCELLED)
            });
        } else if let Some(machine) = self.machines.by_id.get_mut(&id) {
            machine.cuts.push(task);
            self.look_after(id);
        }
    }

    /// It is looked at from now on, as long as there is anything to look after.
    pub fn look_after(&mut self, id: MachineId) {
        let drawn = self.now + backoff::sign(self.patience.look * 2.0, self.chance.fraction());
        if let Some(machine) = self.machines.by_id.get_mut(&id)
            && !std::mem::replace(&mut machine.looked_after, true)
        {
            // The look that finds it lost comes in time.
            let lost = machine.heard_at + self.patience.lost;
            let at = if lost > self.now { drawn.min(lost) } else { drawn };
            self.timers.set(at, Due::Look(id));
        }
    }

    /// A connection for a set-up: one with nothing open, a new one, or a shared one.
    fn connection_for(&mut self, machine: MachineId, task: TaskId) -> Option<ConnectionId> {
        let since = Timestamp::default() + (self.now - (Timestamp::default() + self.patience.idle));
        if let Some(link) = self.machines.free_connection(machine, task, since) {
            return Some(link);
        }
        if self
            .machines
            .by_id
            .get(&machine)
            .is_some_and(|machine| machine.connections.len() < MOST_CONNECTIONS)
            && let Some(link) = self.open_connection(machine)
        {
            return Some(link);
        }
        self.machines.shared_connection(machine, task).or_else(|| {
            // Each of them may still bring a late answer of this task: one that has nothing open makes room.
            let idle =
                self.machines.connections_of(machine).find(|(_, connection)| connection.open.is_empty());
            let (link, _) = idle?;
            self.end_connection(link);
            self.open_connection(machine)
        })
    }

    pub fn forget_connection(&mut self, link: ConnectionId) -> Option<Connection> {
        self.pool.over(link.0);
        self.machines.forget_connection(link)
    }

    /// Ends a connection to a machine on which nothing is open.
    pub fn end_connection(&mut self, link: ConnectionId) {
        self.forget_connection(link);
        self.links.end(link);
    }

    /// Writes the set-up of an open send. False where there is no connection to the machine.
    pub fn write_setup(&mut self, id: TaskId) -> bool {
        let now = self.now;
        let Some(open) = self.tasks.by_id.get(&id).and_then(|job| job.open) else { return false };
        if open.write_by < now {
            return false;
        }
        let Some(link) = self.connection_for(open.machine, id) else { return false };
        self.next_mark += 1;
        let mark = self.next_mark;
        if let Some(machine) = self.machines.by_id.get_mut(&open.machine) {
            machine.gate.wrote(now, id.0, open.number);
        }
        self.pool.used(now, link.0);
        let connection = self.machines.connections.get_mut(&link).expect("was chosen");
        connection.open.push(id);
        connection.used_at = now;
        let job = self.tasks.by_id.get_mut(&id).expect("has an open send");
        job.open = Some(Open { link: Some(link), mark, ..open });
        let class = &self.site.names.use_cases[job.order.use_case.0];
        let patience = (open.due - now).nanos() / 1_000_000;
        let wanted = job.wanted.as_ref().expect("is kept until the task stands");
        self.scratch.clear();
        protocol::write_setup(
            &mut self.scratch,
            id.0,
            class,
            patience.max(1),
            wanted.key.as_deref(),
            &wanted.name,
            &wanted.description,
        );
        self.send_scratch(link, Some(mark));
        true
    }

    /// Whether the end of this send is on its way to the module already.
    fn is_closing(&self, id: TaskId, send: u32) -> bool {
        self.closings.iter().any(|(task, number, _)| (*task, *number) == (id, send))
    }

    /// Ends the open send of a task from this side, unless its end is on its way already: it is taken back,
    /// or given up at its machine. The module is told what is proven, or `may_run` where nothing is.
    pub fn give_up(&mut self, id: TaskId, may_run: Outcome) {
        let Some(job) = self.tasks.by_id.get(&id) else { return };
        let Some(open) = job.open else { return };
        if self.is_closing(id, open.number) {
            return;
        }
        let cut = self.site.use_cases[job.order.use_case.0].idempotency == Idempotency::Idempotent;
        let ending = self.retract(id, open, cut).unwrap_or(may_run);
        self.closings.push_back((id, open.number, ending));
    }

    /// Takes a send back if not a byte of it was written; the module hears that it was not sent.
    pub fn take_back(&mut self, id: TaskId, send: u32) {
        let open = self.tasks.by_id.get(&id).and_then(|job| job.open);
        let Some(open) = open.filter(|open| open.number == send && open.placed_at.is_none()) else { return };
        if self.is_closing(id, open.number) {
            return;
        }
        if let Some(link) = open.link {
            if !self.links.retract(link, open.mark) {
                return;
            }
            if let Some(connection) = self.machines.connections.get_mut(&link) {
                connection.open.retain(|task| *task != id);
            }
        } else if let Some(machine) = self.machines.by_id.get_mut(&open.machine) {
            machine.waiting.retain(|waits| *waits != (id, send));
        }
        self.closings.push_back((id, send, Outcome::NotSent));
    }

    /// Takes back what was decided for this machine and not written yet: it drains, is gone, or another one
    /// has its address. Met: a set-up that waited for its connection left after the drain was told.
    pub fn take_back_all(&mut self, id: MachineId) {
        let Some(machine) = self.machines.by_id.get(&id) else { return };
        let mut sends = machine.waiting.clone();
        for (_, connection) in self.machines.connections_of(id) {
            let number = |task: &TaskId| Some((*task, self.tasks.by_id.get(task)?.open?.number));
            sends.extend(connection.open.iter().filter_map(number));
        }
        sends.into_iter().for_each(|(task, send)| self.take_back(task, send));
    }

    /// Until when a send that is decided on now may be written: a further one of a task that machines drop
    /// repeats of within their window, one to a cold machine within what its budget was dealt for. Met: what
    /// waited for a connection left after the window had ended.
    pub fn write_by(&self, id: TaskId, machine: MachineId) -> Timestamp {
        let never = Timestamp::from_nanos(u64::MAX);
        let (Some(job), Some(machine)) = (self.tasks.by_id.get(&id), self.machines.by_id.get(&machine))
        else {
            return never;
        };
        let window = match (self.site.use_cases[job.order.use_case.0].idempotency, job.may_have_run) {
            (Idempotency::Keyed { window, .. }, Some(first)) => first + window,
            _ => never,
        };
        machine
            .gate
            .stale_after(self.now, self.site.cold.budget_window)
            .map_or(window, |cold| cold.min(window))
    }

    /// What proves that a send never ran, once it is taken back; nothing where it may.
    fn retract(&mut self, id: TaskId, open: Open, cut: bool) -> Option<Outcome> {
        let Some(link) = open.link else {
            if let Some(machine) = self.machines.by_id.get_mut(&open.machine) {
                machine.waiting.retain(|waits| *waits != (id, open.number));
            }
            return Some(Outcome::NotSent);
        };
        let back = self.links.retract(link, open.mark);
        let connection = self.machines.connections.get_mut(&link)?;
        connection.open.retain(|task| *task != id);
        if back {
            return Some(if connection.up { Outcome::NotSent } else { Outcome::ConnectionFailed });
        }
        connection.gives_up(id, cut);
        self.send(link, |out| protocol::write_with_cause(out, kind::RELEASE, id.0, why::ENDED));
        None
    }

    /// Writes the set-ups that the gate held back, as far as it lets them. What waited too long for a cold
    /// machine goes back to the module, whose budget counts it no longer.
    pub fn release(&mut self, id: MachineId) {
        let (now, fall) = (self.now, self.site.cold.budget_window);
        let Some(machine) = self.machines.by_id.get_mut(&id).filter(|m| !m.waiting.is_empty()) else {
            return;
        };
        let shut = machine.gate.shut_until(now, fall);
        let mut waits_on = Vec::new();
        for (task, send) in std::mem::take(&mut machine.waiting) {
            let open = self.tasks.by_id.get(&task).and_then(|job| job.open);
            let is_it = |open: &Open| open.number == send && open.link.is_none();
            let Some(open) = open.filter(is_it) else { continue };
            let machine = &self.machines.by_id[&id];
            let stale = machine.gate.is_stale(now, fall, open.decided) || open.write_by < now;
            if stale || machine.entry.state != MachineState::Active {
                self.closings.push_back((task, send, Outcome::NotSent));
            } else if shut.is_some() || open.due <= now {
                waits_on.push((task, send));
            } else if !self.write_setup(task) {
                self.waits_for_connection(task, send, id);
            }
        }
        if let Some(until) = shut.filter(|_| !waits_on.is_empty()) {
            self.timers.set(until, Due::Release(id));
        }
        self.machines.by_id.get_mut(&id).expect("is there").waiting.extend(waits_on);
    }

    /// No connection may be opened for this send: that is a bound of ours, and proves nothing of the machine.
    /// It waits until one comes free, as long as the module waits for it.
    pub fn waits_for_connection(&mut self, task: TaskId, send: u32, id: MachineId) {
        let machine = self.machines.by_id.get_mut(&id).expect("a machine that is sent to");
        if machine.replaced {
            return self.closings.push_back((task, send, Outcome::ConnectionFailed));
        }
        machine.waiting.push((task, send));
        self.timers.set(self.now + self.patience.connect * CONNECTION_PART, Due::Release(id));
    }

    /// All that stands on a machine is over with it.
    pub fn is_lost(&mut self, id: MachineId, before: Timestamp, why: &str) {
        let mut lost = 0;
        for (task, open) in self.tasks.standing_on(id) {
            if open.placed_at.is_some_and(|at| at < before) {
                lost += 1;
                let loss = Outcome::Lost(mulleinhub_interface::FailureCause::Unspecified);
                self.closings.push_back((task, open.number, loss));
            }
        }
        self.counts.lost += lost;
        if let Some(machine) = self.machines.by_id.get(&id).filter(|_| lost > 0) {
            let quiet = (self.now - machine.heard_at).nanos() / 1_000_000;
            tracing::warn!(
                why,
                lost,
                quiet,
                at = machine.address,
                connections = machine.connections.len(),
                "tasks are lost"
            );
        }
    }

    // The bulletin.

    pub fn open_watch(&mut self) {
        if self.watch.link.is_some() {
            return;
        }
        let link = self.links.open(&self.watch.address);
        self.watch.begins(link, self.now);
        self.timers.set(self.now + watch::CONNECT, Due::Up(link));
    }

    /// Its connection is over: a new one is made at once, and later ones at a pace.
    pub fn watch_ended(&mut self, ours: bool) {
        let Some(link) = self.watch.link.take() else { return };
        if ours {
            self.links.abort(link);
        }
        let failures = self.watch.failures;
        self.watch.failures += 1;
        if failures == 0 {
            self.open_watch();
        } else {
            let wait = backoff::after_failures(watch::AGAIN, failures - 1, self.chance.fraction());
            self.timers.set(self.now + wait, Due::OpenWatch);
        }
    }

    /// Goes over to another address, with the numbers heard so far.
    pub fn move_watch(&mut self, address: String) {
        if self.watch.address == address {
            return;
        }
        self.watch.address = address;
        if let Some(link) = self.watch.link.take() {
            self.links.abort(link);
        }
        self.watch.failures = 0;
        self.open_watch();
    }

    // The end.

    /// Whether anything was read and not heard yet.
    fn has_unheard(&self) -> bool {
        !self.arrivals.is_empty() || !self.rest.is_empty() || self.limits.any_in_line()
    }

    /// By when all answers are owed, where it is to end.
    pub fn answered_by(&self) -> Option<Timestamp> {
        let longest =
            self.site.use_cases.iter().map(|case| case.client_timeout).max().unwrap_or(COUNTED_WAIT);
        let by = longest.min(COUNTED_WAIT) + STILL_COMING - LAST_ANSWERS;
        self.ending.map(|since| since + by)
    }

    /// Whether set-ups are refused at once.
    pub fn is_closed(&self) -> bool {
        self.ending.is_some_and(|since| self.now - since >= STILL_COMING)
    }

    /// Whether nobody comes any more and nothing that was taken is unanswered.
    pub fn is_done(&self, now: Timestamp) -> bool {
        self.ending.is_some_and(|since| now - since >= NO_END_BEFORE)
            && self.tasks.unanswered == 0
            && !self.has_unheard()
            && self.owners.by_link.keys().all(|link| self.links.unwritten(*link) == 0)
    }
}
