//! Machines: they accept tasks, run them for a while, report their ends as the protocol says, and fail as the
//! plan says.

use crate::addresses::{Role, address_of};
use crate::connection::Connection;
use mulleinhub_interface::Pcg;
use mulleinhub_platform_protocol::{
    Frame, cause, cause_code, code, kind, write_acceptance, write_message, write_with_cause,
};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A release is repeated on connections that are opened within this.
const REPEAT_TIME: Duration = Duration::from_secs(9);
/// Between two notes on a running task.
const NOTE_INTERVAL: Duration = Duration::from_millis(900);
/// From the start of a drain to the stop of the machine.
const DRAIN_TIME: Duration = Duration::from_millis(3_000);
const BACKLOG: i32 = 1_024;
/// A release that overtakes its acceptance comes so long after the start request; the acceptance comes later.
const OVERTAKING_DELAY: Duration = Duration::from_millis(80);
const OVERTAKEN_DELAY: Duration = Duration::from_millis(2_500);

/// What was observed at a machine.
#[derive(Clone, Copy, Debug)]
pub enum Observation {
    /// A start request arrived complete; its client is to wait so many milliseconds longer.
    Arrived { task: u64, timeout_ms: u64 },
    /// The task was accepted.
    Accepted { task: u64 },
    /// The task of this acceptance is over; reported at once where that is set.
    Over { task: u64, acceptance: u64, reported: bool },
    /// The task is over, and its release was sent ahead of its acceptance.
    Overtaken { task: u64 },
}

/// An acceptance, as the description that goes with it names it: a task may be accepted more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acceptance {
    /// The machine.
    pub machine: usize,
    /// Its number there.
    pub number: u64,
}

impl std::fmt::Display for Acceptance {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.machine, self.number)
    }
}

impl Acceptance {
    /// Reads a description.
    pub fn parse(text: &str) -> Option<Self> {
        let (machine, number) = text.split_once(' ')?;
        Some(Self { machine: machine.parse().ok()?, number: number.parse().ok()? })
    }
}

/// An observation, its machine and its time.
#[derive(Clone, Copy, Debug)]
pub struct Observed {
    pub machine: usize,
    pub at: Instant,
    pub what: Observation,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Reach {
    Up,
    /// Nothing is read, written or accepted; until then, or for good.
    CutOff(Option<Instant>),
    Dead,
}

struct Link {
    id: u64,
    connection: Connection,
}

/// To be sent then, on that link.
struct DelayedMessage {
    at: Instant,
    link: u64,
    bytes: Vec<u8>,
    /// The task whose acceptance it overtakes.
    overtakes: Option<u64>,
}

struct RunningTask {
    acceptance: u64,
    ends_at: Instant,
    noted_at: Instant,
    carrier: u64,
}

/// A machine.
pub struct Machine {
    /// Its name in the list.
    pub uid: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Since when it is cold, and the Unix time of that, if it started during the run.
    pub started_cold: Option<(Instant, u64)>,
    /// When it was cut off, and came back.
    pub cut_off_times: Vec<(Instant, Instant)>,
    /// When its process died.
    pub died_at: Option<Instant>,
    /// When its drain was published.
    pub drains_since: Option<Instant>,
    index: usize,
    listener: Option<TcpListener>,
    /// Connections that fill the backlog while it is cut off.
    fillers: Vec<TcpStream>,
    reach: Reach,
    links: Vec<Link>,
    next_link: u64,
    running: BTreeMap<u64, RunningTask>,
    delayed: Vec<DelayedMessage>,
    releases: Vec<(Instant, Vec<u8>)>,
    /// Releases that could not be sent on any connection yet.
    unreported: Vec<Vec<u8>>,
    held_up: Option<(Instant, Duration)>,
    overtaking: usize,
    last_acceptance: u64,
    random: Pcg,
}

fn encoded(write: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = Vec::new();
    write(&mut bytes);
    bytes
}

impl Machine {
    /// A machine that is up.
    pub fn new(index: usize, seed: u64) -> std::io::Result<Self> {
        let listener = TcpListener::bind((address_of(Role::Machine, index), 0))?;
        listener.set_nonblocking(true)?;
        Ok(Self {
            uid: format!("s-{index:08x}"),
            address: listener.local_addr()?,
            started_cold: None,
            cut_off_times: Vec::new(),
            died_at: None,
            drains_since: None,
            index,
            listener: Some(listener),
            fillers: Vec::new(),
            reach: Reach::Up,
            links: Vec::new(),
            next_link: 1,
            running: BTreeMap::new(),
            delayed: Vec::new(),
            releases: Vec::new(),
            unreported: Vec::new(),
            held_up: None,
            overtaking: 0,
            last_acceptance: 0,
            random: Pcg::new(seed + index as u64),
        })
    }

    /// Whether it serves.
    pub fn is_up(&self) -> bool {
        self.reach == Reach::Up && self.drains_since.is_none()
    }

    /// Its process dies.
    pub fn die(&mut self, now: Instant, out: &mut Vec<Observed>) {
        self.reach = Reach::Dead;
        self.died_at.get_or_insert(now);
        self.listener = None;
        self.fillers.clear();
        self.links.drain(..).for_each(|link| link.connection.reset());
        self.end_all(now, out);
    }

    /// It vanishes.
    pub fn vanish(&mut self, now: Instant, out: &mut Vec<Observed>) {
        self.cut_off(now, None);
        self.end_all(now, out);
    }

    fn end_all(&mut self, now: Instant, out: &mut Vec<Observed>) {
        for (task, running) in std::mem::take(&mut self.running) {
            let what = Observation::Over { task, acceptance: running.acceptance, reported: false };
            out.push(Observed { machine: self.index, at: now, what });
        }
    }

    /// It can't be reached until then, or for good.
    pub fn cut_off(&mut self, now: Instant, until: Option<Instant>) {
        match self.reach {
            Reach::Dead => {}
            // It was cut off when it vanished: it doesn't come back.
            Reach::CutOff(_) if until.is_none() => self.reach = Reach::CutOff(None),
            Reach::CutOff(_) => {}
            Reach::Up => self.block(now, until),
        }
    }

    fn block(&mut self, now: Instant, until: Option<Instant>) {
        self.cut_off_times.extend(until.map(|until| (now, until)));
        self.reach = Reach::CutOff(until);
        if let Some(listener) = &self.listener
            && rustix::net::listen(listener, 0).is_ok()
        {
            let brief = Duration::from_millis(5);
            while let Ok(filler) = TcpStream::connect_timeout(&self.address, brief) {
                self.fillers.push(filler);
            }
        }
    }

    fn come_back(&mut self) {
        self.reach = Reach::Up;
        self.fillers.clear();
        if let Some(listener) = &self.listener {
            // The backlog is as it was before.
            let _ = rustix::net::listen(listener, BACKLOG);
        }
    }

    /// It refuses new connections and tasks from now on.
    pub fn drain(&mut self, now: Instant) {
        self.drains_since = Some(now);
        self.listener = None;
    }

    /// All its connections are reset.
    pub fn reset_connections(&mut self) {
        self.links.drain(..).for_each(|link| link.connection.reset());
    }

    /// All its connections are closed in order.
    pub fn close_connections(&mut self) {
        self.links.clear();
    }

    /// What it answers to start requests comes late by this, for a while.
    pub fn hold_up_answers(&mut self, now: Instant, delay: Duration) {
        self.held_up = Some((now + delay, delay));
    }

    /// The next releases overtake their acceptances.
    pub fn let_releases_overtake(&mut self, count: usize) {
        self.overtaking = count;
    }

    /// Serves all its connections.
    pub fn step(&mut self, now: Instant, out: &mut Vec<Observed>) {
        match self.reach {
            Reach::Dead => return,
            Reach::CutOff(Some(until)) if now >= until => self.come_back(),
            Reach::CutOff(until) => {
                if until.is_some() {
                    self.end_due(now, false, out);
                }
                return;
            }
            Reach::Up => {}
        }
        if self.drains_since.is_some_and(|since| now - since >= DRAIN_TIME) {
            return self.die(now, out);
        }
        self.accept(now);
        self.read(now, out);
        self.report_unreported();
        self.end_due(now, true, out);
        self.send_notes(now);
        self.send_delayed(now, out);
        for link in &mut self.links {
            link.connection.flush();
        }
        self.links.retain(|link| !link.connection.closed);
    }

    fn accept(&mut self, now: Instant) {
        self.releases.retain(|(at, _)| now - *at < REPEAT_TIME);
        while let Some(mut connection) = self.listener.as_ref().and_then(Connection::accept) {
            self.releases.iter().for_each(|(_, release)| connection.send(release));
            self.links.push(Link { id: self.next_link, connection });
            self.next_link += 1;
        }
    }

    fn read(&mut self, now: Instant, out: &mut Vec<Observed>) {
        for mut link in std::mem::take(&mut self.links) {
            link.connection.read(false);
            let mut frames = std::mem::take(&mut link.connection.frames);
            while let Ok(Some(frame)) = frames.next_frame() {
                match frame.kind {
                    kind::START => self.handle_start(now, link.id, &frame, out),
                    kind::RELEASE => self.handle_stop(now, link.id, &frame, out),
                    _ => {}
                }
            }
            link.connection.frames = frames;
            self.links.push(link);
        }
    }

    fn handle_start(&mut self, now: Instant, link: u64, frame: &Frame<'_>, out: &mut Vec<Observed>) {
        let task = frame.task;
        let timeout_ms = frame.text(code::TIMEOUT).and_then(|text| text.parse().ok()).unwrap_or(0);
        let index = self.index;
        let mut observe = |what| out.push(Observed { machine: index, at: now, what });
        observe(Observation::Arrived { task, timeout_ms });
        let delay = match self.held_up {
            Some((until, most)) if now < until => self.held_up_by(most),
            _ => Duration::from_millis(self.random.below(12) as u64),
        };
        let refusal = match self.random.below(40) {
            _ if self.drains_since.is_some() => Some(cause_code::FULL),
            0 => Some(cause_code::FULL),
            1 => Some(cause_code::ERROR),
            _ => None,
        };
        if let Some(cause) = refusal {
            let bytes = encoded(|out| write_with_cause(out, kind::RELEASE, task, cause));
            return self.delay(now + delay, link, bytes);
        }
        observe(Observation::Accepted { task });
        self.last_acceptance += 1;
        let number = self.last_acceptance;
        let description = Acceptance { machine: self.index, number }.to_string();
        let acceptance = encoded(|out| write_acceptance(out, task, description.as_bytes()));
        if self.overtaking > 0 {
            self.overtaking -= 1;
            let bytes = encoded(|out| write_with_cause(out, kind::RELEASE, task, cause_code::RESET));
            let at = now + OVERTAKING_DELAY;
            self.delayed.push(DelayedMessage { at, link, bytes, overtakes: Some(task) });
            return self.delay(now + OVERTAKEN_DELAY, link, acceptance);
        }
        self.delay(now + delay, link, acceptance);
        let ends_at = now + delay + Duration::from_millis(200 + self.random.below(6_000) as u64);
        self.running.insert(task, RunningTask { acceptance: number, ends_at, noted_at: now, carrier: link });
    }

    /// How late an answer is: by all of the delay or by a part of it, so that some cross what schedulers do in the
    /// meantime.
    fn held_up_by(&mut self, most: Duration) -> Duration {
        let part = Duration::from_millis(self.random.below(most.as_millis() as usize) as u64);
        if self.random.below(2) == 0 { most } else { part }
    }

    /// A scheduler gives an attempt up, or stops a task as its client wishes: what runs is cut.
    fn handle_stop(&mut self, now: Instant, link: u64, frame: &Frame<'_>, out: &mut Vec<Observed>) {
        let task = frame.task;
        let Some(RunningTask { acceptance, .. }) = self.running.remove(&task) else { return };
        let what = Observation::Over { task, acceptance, reported: true };
        out.push(Observed { machine: self.index, at: now, what });
        let is_clients_wish = cause(frame) == Some(cause_code::CANCELLED);
        let cause = if is_clients_wish { cause_code::CANCELLED } else { cause_code::RESET };
        let bytes = encoded(|out| write_with_cause(out, kind::RELEASE, task, cause));
        self.delay(now, link, bytes);
    }

    /// Reports what ended while nothing could be sent, on whatever is open now.
    fn report_unreported(&mut self) {
        if self.links.iter().all(|link| link.connection.closed) {
            return;
        }
        for release in std::mem::take(&mut self.unreported) {
            self.links.iter_mut().for_each(|link| link.connection.send(&release));
        }
    }

    /// Ends the tasks that have run their time; a machine that can't be reached reports them later.
    fn end_due(&mut self, now: Instant, can_report: bool, out: &mut Vec<Observed>) {
        let due = self.running.iter().filter(|(_, running)| running.ends_at <= now);
        let due: Vec<u64> = due.map(|(task, _)| *task).collect();
        for task in due {
            let Some(running) = self.running.remove(&task) else { continue };
            let release = encoded(|out| write_with_cause(out, kind::RELEASE, task, cause_code::ENDED));
            let is_carrier = |link: &&mut Link| link.id == running.carrier && !link.connection.closed;
            let carrier = self.links.iter_mut().find(is_carrier);
            let reported = can_report && carrier.is_some();
            match carrier {
                _ if !can_report => self.unreported.push(release.clone()),
                Some(carrier) => carrier.connection.send(&release),
                None => self.links.iter_mut().for_each(|link| link.connection.send(&release)),
            }
            self.releases.push((now, release));
            let what = Observation::Over { task, acceptance: running.acceptance, reported };
            out.push(Observed { machine: self.index, at: now, what });
        }
    }

    fn send_notes(&mut self, now: Instant) {
        for (task, running) in &mut self.running {
            let is_due = now - running.noted_at >= NOTE_INTERVAL && task.is_multiple_of(2);
            let carrier = self.links.iter_mut().find(|link| link.id == running.carrier);
            if let Some(carrier) = carrier.filter(|_| is_due) {
                running.noted_at = now;
                let params: [(u8, &[u8]); 2] = [(code::NOTE, b"use_cpu"), (code::VALUE, b"0.5")];
                carrier.connection.send(&encoded(|out| write_message(out, kind::NOTE, *task, &params)));
            }
        }
    }

    fn delay(&mut self, at: Instant, link: u64, bytes: Vec<u8>) {
        self.delayed.push(DelayedMessage { at, link, bytes, overtakes: None });
    }

    fn send_delayed(&mut self, now: Instant, out: &mut Vec<Observed>) {
        let (due, later) = std::mem::take(&mut self.delayed).into_iter().partition(|it| it.at <= now);
        self.delayed = later;
        let due: Vec<DelayedMessage> = due;
        for message in due {
            let Some(link) = self.links.iter_mut().find(|link| link.id == message.link) else { continue };
            link.connection.send(&message.bytes);
            let what = message.overtakes.map(|task| Observation::Overtaken { task });
            out.extend(what.map(|what| Observed { machine: self.index, at: now, what }));
        }
    }
}
