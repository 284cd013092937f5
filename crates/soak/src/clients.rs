//! Clients of the schedulers: they send requests on connections that stay open, cancel some, leave, and go on
//! until their scheduler's process is killed.

use crate::connection::Connection;
use crate::machines::Acceptance;
use mulleinhub_interface::Pcg;
use mulleinhub_platform_protocol::{cause, cause_code, code, kind, write_message, write_with_cause};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Client connections of a scheduler.
const CONNECTIONS: usize = 4;
/// The longest wait of a client: a longer timeout of the settings is not used up.
const MAX_WAIT: Duration = Duration::from_millis(2_500);
/// New connections keep coming for this long after SIGTERM.
const CONNECT_AFTER_TERM: Duration = Duration::from_millis(300);
/// What was handed over longer ago was read, where the connection is still open.
const HANDOVER_MEMORY: Duration = Duration::from_secs(1);
const CLASSES: [&str; 3] = ["front", "batch", "once"];

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A machine accepted the task.
    Placed,
    /// Refused, with the promise that it never ran.
    Rejected,
    /// It failed, and may have run.
    Failed,
}

/// A request and what came of it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The scheduler that was asked.
    pub scheduler: usize,
    /// Its process.
    pub incarnation: u32,
    /// When its last byte was written.
    pub written_at: Instant,
    /// How long its client waits.
    pub timeout: Duration,
    /// It was the first one on its connection.
    pub is_first: bool,
    /// It may not be repeated.
    pub is_once: bool,
    /// The final answer.
    pub answer: Option<(Instant, Answer)>,
    /// Which machine accepted it, and which of its acceptances this is, as its description says.
    pub acceptance: Option<Acceptance>,
    /// Final answers.
    pub answers: u32,
    /// When the client cancelled it, or left.
    pub gone_at: Option<Instant>,
    /// When its connection ended without an answer.
    pub closed_at: Option<Instant>,
    /// When the client was told of the end of the task.
    pub told_at: Option<Instant>,
    /// When and to which scheduler the running task was handed over.
    pub handed_over: Option<(Instant, usize)>,
}

struct Client {
    connection: Connection,
    requests: u64,
    waiting: Vec<u64>,
    next_at: Instant,
    /// Tasks that were handed over here lately, and when.
    handed_over: Vec<(Instant, Vec<u8>)>,
}

/// The clients of one scheduler.
pub struct Clients {
    scheduler: usize,
    address: SocketAddr,
    connected: Vec<Client>,
    /// To be written on the next connection.
    adoptions: Vec<Vec<u8>>,
    random: Pcg,
}

/// All requests, by task.
pub type Requests = BTreeMap<u64, Request>;

fn encoded(write: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = Vec::new();
    write(&mut bytes);
    bytes
}

fn start_request(task: u64, class: &str, timeout: Duration, more: &str) -> Vec<u8> {
    let figures = format!("cores:0.25;memory:0.25;service:{:016x}{more}", task % 5);
    let (name, timeout) = (format!("{task:016x}"), timeout.as_millis().to_string());
    let mut params: Vec<(u8, &[u8])> =
        vec![(code::CLASS, class.as_bytes()), (code::TIMEOUT, timeout.as_bytes())];
    if class == "batch" {
        params.push((code::IDEMPOTENCY_KEY, b"5c0f6e1a2b3d4c59a8b7c6d5e4f30211"));
    }
    params.push((code::NAME, name.as_bytes()));
    params.push((code::RESOURCES, figures.as_bytes()));
    params.push((code::DESCRIPTION, b"wanted"));
    encoded(|out| write_message(out, kind::START, task, &params))
}

impl Clients {
    /// No connections yet.
    pub fn new(scheduler: usize, address: SocketAddr, seed: u64) -> Self {
        let random = Pcg::new(seed * 77 + scheduler as u64);
        Self { scheduler, address, connected: Vec::new(), adoptions: Vec::new(), random }
    }

    /// Whether any is connected.
    pub fn is_connected(&self) -> bool {
        !self.connected.is_empty()
    }

    /// Hands a running task over to this scheduler.
    pub fn hand_over(&mut self, task: u64, machine_uid: &str) {
        self.adoptions.push(start_request(task, "front", MAX_WAIT, &format!(";at:{machine_uid}")));
    }

    /// All leave, with requests unanswered.
    pub fn leave(&mut self, now: Instant, requests: &mut Requests) {
        for client in self.connected.drain(..) {
            for task in &client.waiting {
                requests.entry(*task).and_modify(|request| request.gone_at = Some(now));
            }
        }
    }

    /// Reads what came, and sends requests while `sends` is set.
    pub fn step(
        &mut self,
        now: Instant,
        process: &ProcessView,
        next_task: &mut u64,
        requests: &mut Requests,
    ) {
        self.connect(now, process);
        let Self { scheduler, connected, adoptions, random, .. } = self;
        for client in connected.iter_mut() {
            client.connection.read(false);
            client.handle_frames(now, requests);
            if client.connection.closed {
                client.end(now, requests);
                // It may not have been read: a client hands its tasks over again on its next connection.
                adoptions.extend(client.handed_over.drain(..).map(|(_, adoption)| adoption));
                continue;
            }
            client.hand_over(now, adoptions);
            if now >= client.next_at && process.sends {
                client.next_at = now + Duration::from_millis(30 + random.below(160) as u64);
                client.act(now, *scheduler, process, random, next_task, requests);
            }
            client.connection.flush();
        }
        connected.retain(|client| !client.connection.closed);
    }

    fn connect(&mut self, now: Instant, process: &ProcessView) {
        let may_connect = process.terminated_at.is_none_or(|at| now - at < CONNECT_AFTER_TERM);
        if self.connected.len() >= CONNECTIONS || !may_connect || !process.runs {
            return;
        }
        if let Some(connection) = Connection::connect(self.address) {
            self.connected.push(Client {
                connection,
                requests: 0,
                waiting: Vec::new(),
                next_at: now,
                handed_over: Vec::new(),
            });
        }
    }
}

/// What clients know of their scheduler's process.
pub struct ProcessView {
    pub incarnation: u32,
    pub runs: bool,
    pub terminated_at: Option<Instant>,
    pub sends: bool,
    pub client_timeout: Duration,
}

impl Client {
    fn handle_frames(&mut self, now: Instant, requests: &mut Requests) {
        let mut frames = std::mem::take(&mut self.connection.frames);
        let mut acknowledgements = Vec::new();
        while let Ok(Some(frame)) = frames.next_frame() {
            let Some(request) = requests.get_mut(&frame.task) else { continue };
            let is_waiting = self.waiting.contains(&frame.task);
            let answer = match (frame.kind, cause(&frame)) {
                (kind::ACCEPT, _) => Answer::Placed,
                (kind::RELEASE, Some(cause_code::FULL | cause_code::BUSY | cause_code::NOT_SENT)) => {
                    Answer::Rejected
                }
                (kind::RELEASE, _) => Answer::Failed,
                _ => continue,
            };
            if is_waiting {
                self.waiting.retain(|task| *task != frame.task);
                request.answer = Some((now, answer));
                request.acceptance = frame.text(code::DESCRIPTION).and_then(Acceptance::parse);
                request.answers += 1;
            } else if frame.kind == kind::RELEASE {
                request.told_at.get_or_insert(now);
                acknowledgements.push(frame.task);
            } else if request.gone_at.is_none() {
                request.answers += 1;
            }
        }
        self.connection.frames = frames;
        for task in acknowledgements {
            self.connection.send(&encoded(|out| write_message(out, kind::RELEASE_ACK, task, &[])));
        }
    }

    /// Hands tasks over on this connection.
    fn hand_over(&mut self, now: Instant, adoptions: &mut Vec<Vec<u8>>) {
        self.handed_over.retain(|(at, _)| now - *at < HANDOVER_MEMORY);
        for adoption in adoptions.drain(..) {
            self.connection.send(&adoption);
            self.handed_over.push((now, adoption));
        }
    }

    /// Its connection has ended.
    fn end(&mut self, now: Instant, requests: &mut Requests) {
        for task in &self.waiting {
            requests.entry(*task).and_modify(|request| request.closed_at = Some(now));
        }
    }

    fn act(
        &mut self,
        now: Instant,
        scheduler: usize,
        process: &ProcessView,
        random: &mut Pcg,
        next_task: &mut u64,
        requests: &mut Requests,
    ) {
        if random.below(25) == 0
            && let Some(task) = self.waiting.pop()
        {
            self.connection
                .send(&encoded(|out| write_with_cause(out, kind::RELEASE, task, cause_code::ENDED)));
            requests.entry(task).and_modify(|request| request.gone_at = Some(now));
            return;
        }
        *next_task += 1;
        let (task, class) = (*next_task, CLASSES[random.below(CLASSES.len())]);
        let timeout = process.client_timeout.min(MAX_WAIT);
        self.connection.send(&start_request(task, class, timeout, ""));
        if !self.connection.flush() {
            return;
        }
        requests.insert(
            task,
            Request {
                scheduler,
                incarnation: process.incarnation,
                written_at: now,
                timeout,
                is_first: self.requests == 0,
                is_once: class == "once",
                answer: None,
                acceptance: None,
                answers: 0,
                gone_at: None,
                closed_at: None,
                told_at: None,
                handed_over: None,
            },
        );
        self.requests += 1;
        self.waiting.push(task);
    }
}
