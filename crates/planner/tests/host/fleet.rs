//! Machines, discovery and clients that act by themselves beside a test until they are dropped, and tell what
//! they saw.

use super::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

/// Between two looks at the sockets of a machine or of discovery.
const LOOK: Duration = Duration::from_millis(1);
/// Between two comments of discovery. The platform's come each second, which is too seldom for a short test.
const COMMENT: Duration = Duration::from_millis(200);
/// Bytes written at each look by whoever writes in pieces.
const PIECE: usize = 3;
/// Tasks of clients that ask by themselves have higher numbers than this; machines end them at once.
const OF_CLIENTS: u64 = 1 << 32;
/// A client's wait for an answer: the two seconds that it told, and as much for a machine that is busy.
const ANSWER_WITHIN: Duration = Duration::from_secs(4);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A thread that runs until it is dropped.
struct Beside {
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Beside {
    fn run(mut step: impl FnMut() + Send + 'static) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let told = over.clone();
        let thread = std::thread::spawn(move || {
            while !told.load(Ordering::Relaxed) {
                step();
                std::thread::sleep(LOOK);
            }
        });
        Self { over, thread: Some(thread) }
    }
}

impl Drop for Beside {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// A connection, what came on it and what is to be written to it.
struct Wire {
    stream: TcpStream,
    unread: Vec<u8>,
    unwritten: Vec<u8>,
    ended: bool,
}

impl Wire {
    /// The next connection that waits at this listener, if any.
    fn next(door: &TcpListener) -> Option<Self> {
        let (stream, _) = door.accept().ok()?;
        stream.set_nonblocking(true).expect("is set");
        stream.set_nodelay(true).expect("is set");
        Some(Self { stream, unread: Vec::new(), unwritten: Vec::new(), ended: false })
    }

    /// Reads all that is here.
    fn read(&mut self) {
        let mut bytes = [0; 4096];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => {
                    self.ended = true;
                    return;
                }
                Ok(n) => self.unread.extend_from_slice(&bytes[..n]),
                Err(error) => {
                    self.ended |= error.kind() != std::io::ErrorKind::WouldBlock;
                    return;
                }
            }
        }
    }

    /// Writes what it can, or a piece of it.
    fn write(&mut self, in_pieces: bool) {
        let most = if in_pieces { PIECE } else { usize::MAX };
        let bytes = &self.unwritten[..self.unwritten.len().min(most)];
        match self.stream.write(bytes) {
            Ok(n) => drop(self.unwritten.drain(..n)),
            Err(error) => self.ended |= error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

/// What a machine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    /// Takes all. Tasks of clients that ask by themselves end at once, others stand.
    Serves,
    /// The same, and writes in pieces.
    ServesInPieces,
    /// Has no room, and says so after a while.
    Refuses,
    /// Says after a while that what it was sent never left.
    HandsBack,
    /// Says nothing.
    Silent,
    /// Its process has died: connections are reset and refused.
    Dead,
}

/// A refusal is told after so long: four attempts take more than the tenth of a second after which none may
/// be made for a client that left.
const REFUSES_AFTER: Duration = Duration::from_millis(70);

struct MachineState {
    conduct: Conduct,
    /// Set-ups, and when each was read.
    set_ups: Vec<(u64, Instant)>,
    /// To be written on every connection that is open, and on the next one where none is.
    to_tell: Vec<u8>,
}

pub struct Machine {
    pub at: SocketAddr,
    state: Arc<Mutex<MachineState>>,
    _thread: Beside,
}

impl Machine {
    pub fn new(host: u8, conduct: Conduct) -> Self {
        Self::behind(&listener(host), conduct)
    }

    /// One that listens there.
    pub fn behind(door: &TcpListener, conduct: Conduct) -> Self {
        let (at, door) = (address(door), door.try_clone().expect("is shared"));
        door.set_nonblocking(true).expect("is set");
        let state = MachineState { conduct, set_ups: Vec::new(), to_tell: Vec::new() };
        let state = Arc::new(Mutex::new(state));
        let shared = state.clone();
        let (mut wires, mut refusals) = (Vec::new(), Vec::new());
        let thread = Beside::run(move || run_machine(&door, &shared, &mut wires, &mut refusals));
        Self { at, state, _thread: thread }
    }

    pub fn conducts(&self, conduct: Conduct) {
        lock(&self.state).conduct = conduct;
    }

    /// Its set-ups until now, and when each came.
    pub fn set_ups(&self) -> Vec<(u64, Instant)> {
        lock(&self.state).set_ups.clone()
    }

    /// What stood there is over.
    pub fn ends(&self, task: u64) {
        lock(&self.state).to_tell.extend(release(task, cause_code::ENDED));
    }
}

fn run_machine(
    door: &TcpListener,
    state: &Mutex<MachineState>,
    wires: &mut Vec<(Wire, FrameBuffer)>,
    refusals: &mut Vec<(Instant, usize, Vec<u8>)>,
) {
    let state = &mut *lock(state);
    if state.conduct == Conduct::Dead {
        let _ = rustix::net::shutdown(door, rustix::net::Shutdown::Both);
        wires.clear();
        return;
    }
    while let Some(wire) = Wire::next(door) {
        wires.push((wire, FrameBuffer::default()));
    }
    let to_tell = std::mem::take(&mut state.to_tell);
    if wires.iter().all(|(wire, _)| wire.ended) {
        state.to_tell.clone_from(&to_tell);
    }
    let now = Instant::now();
    for (at, (wire, frames)) in wires.iter_mut().enumerate().filter(|(_, (wire, _))| !wire.ended) {
        wire.unwritten.extend_from_slice(&to_tell);
        wire.read();
        frames.extend(&std::mem::take(&mut wire.unread));
        while let Some(frame) = frames.next_frame().expect("the program speaks rightly") {
            if frame.kind != kind::START {
                continue;
            }
            state.set_ups.push((frame.task, now));
            match state.conduct {
                Conduct::Serves | Conduct::ServesInPieces => {
                    wire.unwritten.extend(yes(frame.task));
                    if frame.task > OF_CLIENTS {
                        wire.unwritten.extend(release(frame.task, cause_code::ENDED));
                    }
                }
                Conduct::Refuses => {
                    refusals.push((now + REFUSES_AFTER, at, release(frame.task, cause_code::FULL)))
                }
                Conduct::HandsBack => {
                    refusals.push((now + REFUSES_AFTER, at, release(frame.task, cause_code::NOT_SENT)))
                }
                Conduct::Silent | Conduct::Dead => {}
            }
        }
        refusals.retain(|(due, of, refusal)| {
            let waits = *of != at || *due > now;
            if !waits {
                wire.unwritten.extend_from_slice(refusal);
            }
            waits
        });
        wire.write(state.conduct == Conduct::ServesInPieces);
    }
}

/// An event of the list.
#[derive(Clone)]
struct Told {
    no: u64,
    all: bool,
    lines: Vec<String>,
}

impl Told {
    fn written(&self) -> Vec<u8> {
        format!("id: {}\ndata: {}\n\n", self.no, event(self.no, self.all, &self.lines)).into_bytes()
    }
}

#[derive(Default)]
struct DiscoveryState {
    events: Vec<Told>,
    /// Calls are told all of them, whatever was heard before: the numbers start anew.
    anew: bool,
    in_pieces: bool,
    /// All that are open are told nothing from now on; so many later calls neither.
    silent: bool,
    silent_calls: usize,
    breaks_off: bool,
    /// When calls came.
    calls: Vec<Instant>,
}

/// The list service.
pub struct Discovery {
    pub at: SocketAddr,
    state: Arc<Mutex<DiscoveryState>>,
    _thread: Beside,
}

/// An open watch.
struct Call {
    wire: Wire,
    /// The next event for it, once the call was read.
    next: Option<usize>,
    silent: bool,
    commented: Instant,
}

impl Discovery {
    pub fn new(host: u8) -> Self {
        Self::behind(&listener(host))
    }

    pub fn behind(door: &TcpListener) -> Self {
        let (at, door) = (address(door), door.try_clone().expect("is shared"));
        door.set_nonblocking(true).expect("is set");
        let state = Arc::new(Mutex::new(DiscoveryState::default()));
        let shared = state.clone();
        let mut calls = Vec::new();
        let thread = Beside::run(move || run_discovery(&door, &shared, &mut calls));
        Self { at, state, _thread: thread }
    }

    /// Changes.
    pub fn tells(&self, no: u64, lines: &[String]) {
        lock(&self.state).events.push(Told { no, all: false, lines: lines.to_vec() });
    }

    /// The whole list.
    pub fn tells_all(&self, no: u64, lines: &[String]) {
        lock(&self.state).events.push(Told { no, all: true, lines: lines.to_vec() });
    }

    /// Open watches are told nothing from now on, not even that they live; nor are so many later calls.
    pub fn falls_silent(&self, calls: usize) {
        let state = &mut *lock(&self.state);
        (state.silent, state.silent_calls) = (true, calls);
    }

    /// All open watches end.
    pub fn breaks_off(&self) {
        lock(&self.state).breaks_off = true;
    }

    pub fn writes_in_pieces(&self) {
        lock(&self.state).in_pieces = true;
    }

    /// It has forgotten what it told, and its numbers start anew with a whole list.
    pub fn starts_anew(&self, lines: &[String]) {
        let state = &mut *lock(&self.state);
        state.events = vec![Told { no: 1, all: true, lines: lines.to_vec() }];
        (state.anew, state.breaks_off) = (true, true);
    }

    /// How many calls came since then.
    pub fn calls_since(&self, then: Instant) -> usize {
        lock(&self.state).calls.iter().filter(|at| **at >= then).count()
    }

    /// Waits for so many calls since then, and gives how long that took.
    pub fn is_called(&self, then: Instant, times: usize) -> Duration {
        while self.calls_since(then) < times {
            assert!(then.elapsed() < PATIENCE, "{} calls of {times}", self.calls_since(then));
            std::thread::sleep(LOOK);
        }
        then.elapsed()
    }
}

fn run_discovery(door: &TcpListener, state: &Mutex<DiscoveryState>, calls: &mut Vec<Call>) {
    let state = &mut *lock(state);
    if std::mem::take(&mut state.breaks_off) {
        calls.clear();
    }
    if std::mem::take(&mut state.silent) {
        calls.iter_mut().for_each(|call| call.silent = true);
    }
    let now = Instant::now();
    while let Some(wire) = Wire::next(door) {
        let silent = state.silent_calls > 0;
        state.silent_calls -= usize::from(silent);
        calls.push(Call { wire, next: None, silent, commented: now });
        state.calls.push(now);
    }
    for call in calls.iter_mut().filter(|call| !call.silent && !call.wire.ended) {
        call.wire.read();
        if call.next.is_none() {
            let Some(last) = last_of(&call.wire.unread) else { continue };
            let next = state.events.iter().position(|told| state.anew || told.no > last);
            call.next = Some(next.unwrap_or(state.events.len()));
            let head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
            call.wire.unwritten.extend_from_slice(head);
        }
        let next = call.next.as_mut().expect("was called");
        for told in state.events.iter().skip(*next) {
            call.wire.unwritten.extend(told.written());
        }
        *next = state.events.len().max(*next);
        if now - call.commented >= COMMENT && call.wire.unwritten.is_empty() {
            call.commented = now;
            call.wire.unwritten.extend_from_slice(b": \n\n");
        }
        call.wire.write(state.in_pieces);
    }
}

/// The last number heard, once a call is whole.
fn last_of(call: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(call).ok().filter(|text| text.ends_with("\r\n\r\n"))?;
    text.split("Last-Event-ID: ").nth(1)?.split("\r\n").next()?.parse().ok()
}

/// What came of a client's set-ups.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub asked: usize,
    pub placed: usize,
    pub refused: usize,
    pub errored: usize,
    /// Set-ups that got no answer in time, or whose connection ended without one.
    pub unanswered: usize,
    /// The longest time without one that was placed.
    pub longest_without: Duration,
}

/// A client that asks again and again, one set-up at a time.
pub struct Client {
    over: Arc<AtomicBool>,
    thread: JoinHandle<Tally>,
}

/// Between two set-ups of a client.
const ASKS_AGAIN: Duration = Duration::from_millis(10);

impl Client {
    /// The numbers of its tasks follow from its own.
    pub fn new(at: SocketAddr, number: u64) -> Self {
        Self::writing(at, number, |stream, bytes| stream.write_all(bytes))
    }

    /// One that writes its set-ups in pieces of so many bytes, with so long between them.
    pub fn in_pieces(at: SocketAddr, number: u64, piece: usize, pause: Duration) -> Self {
        Self::writing(at, number, move |stream, bytes| write_in_pieces(stream, bytes, piece, pause))
    }

    fn writing(
        at: SocketAddr,
        number: u64,
        write: impl Fn(&mut TcpStream, &[u8]) -> std::io::Result<()> + Send + 'static,
    ) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let told = over.clone();
        let thread = std::thread::spawn(move || asks(at, number, &told, write));
        Self { over, thread }
    }

    /// Asks no more; gives what came of all it asked.
    pub fn ends(self) -> Tally {
        self.over.store(true, Ordering::Relaxed);
        self.thread.join().expect("it counts to the end")
    }
}

pub fn write_in_pieces(
    stream: &mut TcpStream,
    bytes: &[u8],
    piece: usize,
    pause: Duration,
) -> std::io::Result<()> {
    for (at, part) in bytes.chunks(piece).enumerate() {
        if at > 0 {
            std::thread::sleep(pause);
        }
        stream.write_all(part)?;
    }
    Ok(())
}

fn asks(
    at: SocketAddr,
    number: u64,
    over: &AtomicBool,
    write: impl Fn(&mut TcpStream, &[u8]) -> std::io::Result<()>,
) -> Tally {
    let (mut tally, mut open, mut served) = (Tally::default(), None, Instant::now());
    for n in 1.. {
        let now = Instant::now();
        tally.longest_without = tally.longest_without.max(now - served);
        if over.load(Ordering::Relaxed) {
            break;
        }
        let task = number * OF_CLIENTS + n;
        let Some(mut stream) = open.take().or_else(|| TcpStream::connect(at).ok()) else {
            std::thread::sleep(ASKS_AGAIN);
            continue;
        };
        ready(&stream);
        stream.set_read_timeout(Some(ANSWER_WITHIN)).expect("is set");
        tally.asked += 1;
        let answer = write(&mut stream, &set_up(task)).ok().and_then(|()| answer_to(&mut stream, task));
        match answer {
            Some(Answer::Placed) => {
                tally.placed += 1;
                tally.longest_without = tally.longest_without.max(served.elapsed());
                served = Instant::now();
            }
            Some(Answer::Errored) => tally.errored += 1,
            Some(Answer::Refused) => tally.refused += 1,
            None => {
                tally.unanswered += 1;
                continue;
            }
        }
        open = Some(stream);
        std::thread::sleep(ASKS_AGAIN);
    }
    tally
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Placed,
    Refused,
    Errored,
}

/// The answer to this set-up; none where the connection ends without one, or none comes in time.
pub fn answer_to(stream: &mut TcpStream, task: u64) -> Option<Answer> {
    let (mut frames, mut bytes) = (FrameBuffer::default(), [0; 1]);
    while stream.read(&mut bytes).ok()? == 1 {
        frames.extend(&bytes);
        let Some(frame) = frames.next_frame().expect("spoken rightly") else { continue };
        match (frame.task == task, frame.kind) {
            (true, kind::ACCEPT) => return Some(Answer::Placed),
            (true, kind::RELEASE) => {
                let errored = mulleinhub_platform_protocol::cause(&frame) == Some(cause_code::ERROR);
                return Some(if errored { Answer::Errored } else { Answer::Refused });
            }
            // Ends of earlier ones.
            _ => {}
        }
    }
    None
}
