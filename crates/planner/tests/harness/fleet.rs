//! Machines, list services and clients that run in the background of a test until they are dropped, and
//! report what they observed.

use super::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

/// Interval at which a machine or a list service polls its sockets.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Interval of a list service's keep-alive comments. The platform's is a second, too long for a short test.
const COMMENT_INTERVAL: Duration = Duration::from_millis(200);
/// Bytes written at each poll by machines and list services that fragment their writes.
const BYTES_PER_WRITE: usize = 3;
/// Tasks of load clients have higher numbers than this; machines end them at once.
pub const FIRST_LOAD_TASK: u64 = 1 << 32;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A thread that repeats a step until it is dropped.
struct BackgroundThread {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl BackgroundThread {
    fn run(mut step: impl FnMut() + Send + 'static) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                step();
                std::thread::sleep(POLL_INTERVAL);
            }
        });
        Self { stop, thread: Some(thread) }
    }
}

impl Drop for BackgroundThread {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// A connection with its input and its outgoing bytes.
struct Connection {
    stream: TcpStream,
    unread: Vec<u8>,
    unsent: Vec<u8>,
    closed: bool,
}

impl Connection {
    /// The next connection in the backlog, if any.
    fn next(listener: &TcpListener) -> Option<Self> {
        let (stream, _) = listener.accept().ok()?;
        stream.set_nonblocking(true).expect("is set");
        stream.set_nodelay(true).expect("is set");
        Some(Self { stream, unread: Vec::new(), unsent: Vec::new(), closed: false })
    }

    /// Reads all available input.
    fn read(&mut self) {
        let mut bytes = [0; 4096];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => {
                    self.closed = true;
                    return;
                }
                Ok(n) => self.unread.extend_from_slice(&bytes[..n]),
                Err(error) => {
                    self.closed |= error.kind() != std::io::ErrorKind::WouldBlock;
                    return;
                }
            }
        }
    }

    /// Writes as much as possible, or one fragment of it.
    fn write(&mut self, fragmented: bool) {
        let max_length = if fragmented { BYTES_PER_WRITE } else { usize::MAX };
        let bytes = &self.unsent[..self.unsent.len().min(max_length)];
        match self.stream.write(bytes) {
            Ok(n) => drop(self.unsent.drain(..n)),
            Err(error) => self.closed |= error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

/// How a machine behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Accepts all tasks. Those of load clients end at once, others keep running.
    Serves,
    /// The same, with fragmented writes.
    ServesFragmented,
    /// Has no capacity, and rejects after a delay.
    Rejects,
    /// Reports after a delay that the attempt had no effect.
    Returns,
    /// Never answers.
    Silent,
    /// Its process has died: connections are reset and refused.
    Dead,
}

/// Delay of a rejection: four attempts take longer than the tenth of a second after which none may be made
/// for a client that disconnected.
const REJECTION_DELAY: Duration = Duration::from_millis(70);

struct MachineState {
    behavior: Behavior,
    /// Tasks of start requests, and when each was read.
    start_requests: Vec<(u64, Instant)>,
    /// To be written on every open connection, or on the next one if there is none.
    to_send: Vec<u8>,
}

/// A machine that runs in the background.
pub struct Machine {
    pub at: SocketAddr,
    state: Arc<Mutex<MachineState>>,
    _thread: BackgroundThread,
}

impl Machine {
    pub fn new(host: u8, behavior: Behavior) -> Self {
        Self::listening_on(&listener(host), behavior)
    }

    /// A machine with this listener.
    pub fn listening_on(listener: &TcpListener, behavior: Behavior) -> Self {
        let (at, listener) = (address(listener), listener.try_clone().expect("is shared"));
        listener.set_nonblocking(true).expect("is set");
        let state = MachineState { behavior, start_requests: Vec::new(), to_send: Vec::new() };
        let state = Arc::new(Mutex::new(state));
        let shared = state.clone();
        let (mut connections, mut rejections) = (Vec::new(), Vec::new());
        let thread =
            BackgroundThread::run(move || run_machine(&listener, &shared, &mut connections, &mut rejections));
        Self { at, state, _thread: thread }
    }

    pub fn set_behavior(&self, behavior: Behavior) {
        lock(&self.state).behavior = behavior;
    }

    /// Tasks of start requests until now, and when each was read.
    pub fn start_requests(&self) -> Vec<(u64, Instant)> {
        lock(&self.state).start_requests.clone()
    }

    /// Reports that a task has ended.
    pub fn report_end(&self, task: u64) {
        lock(&self.state).to_send.extend(release(task, cause_code::ENDED));
    }
}

fn run_machine(
    listener: &TcpListener,
    state: &Mutex<MachineState>,
    connections: &mut Vec<(Connection, FrameBuffer)>,
    rejections: &mut Vec<(Instant, usize, Vec<u8>)>,
) {
    let state = &mut *lock(state);
    if state.behavior == Behavior::Dead {
        let _ = rustix::net::shutdown(listener, rustix::net::Shutdown::Both);
        connections.clear();
        return;
    }
    while let Some(connection) = Connection::next(listener) {
        connections.push((connection, FrameBuffer::default()));
    }
    let to_send = std::mem::take(&mut state.to_send);
    if connections.iter().all(|(connection, _)| connection.closed) {
        state.to_send.clone_from(&to_send);
    }
    let now = Instant::now();
    for (at, (connection, frames)) in
        connections.iter_mut().enumerate().filter(|(_, (connection, _))| !connection.closed)
    {
        connection.unsent.extend_from_slice(&to_send);
        connection.read();
        frames.extend(&std::mem::take(&mut connection.unread));
        while let Some(frame) = frames.next_frame().expect("valid frames") {
            if frame.kind != kind::START {
                continue;
            }
            state.start_requests.push((frame.task, now));
            match state.behavior {
                Behavior::Serves | Behavior::ServesFragmented => {
                    connection.unsent.extend(acceptance(frame.task));
                    if frame.task > FIRST_LOAD_TASK {
                        connection.unsent.extend(release(frame.task, cause_code::ENDED));
                    }
                }
                Behavior::Rejects => {
                    rejections.push((now + REJECTION_DELAY, at, release(frame.task, cause_code::FULL)))
                }
                Behavior::Returns => {
                    rejections.push((now + REJECTION_DELAY, at, release(frame.task, cause_code::NOT_SENT)))
                }
                Behavior::Silent | Behavior::Dead => {}
            }
        }
        rejections.retain(|(due, of, rejection)| {
            let waits = *of != at || *due > now;
            if !waits {
                connection.unsent.extend_from_slice(rejection);
            }
            waits
        });
        connection.write(state.behavior == Behavior::ServesFragmented);
    }
}

/// An event of the endpoint list.
#[derive(Clone)]
struct ListEvent {
    number: u64,
    is_snapshot: bool,
    entries: Vec<String>,
}

impl ListEvent {
    fn encoded(&self) -> Vec<u8> {
        format!("id: {}\ndata: {}\n\n", self.number, list_event(self.number, self.is_snapshot, &self.entries))
            .into_bytes()
    }
}

#[derive(Default)]
struct DiscoveryState {
    events: Vec<ListEvent>,
    /// Watches receive all events, whatever their last event id: the numbering has restarted.
    numbering_restarted: bool,
    fragmented: bool,
    /// Open watches receive nothing from now on, nor do so many later ones.
    silent: bool,
    silent_watches: usize,
    close_watches: bool,
    /// When watches were opened.
    watches: Vec<Instant>,
}

/// A list service that runs in the background.
pub struct Discovery {
    pub at: SocketAddr,
    state: Arc<Mutex<DiscoveryState>>,
    _thread: BackgroundThread,
}

/// One open watch.
struct Watch {
    connection: Connection,
    /// Index of its next event, once its request was read.
    next: Option<usize>,
    silent: bool,
    commented_at: Instant,
}

impl Discovery {
    pub fn new(host: u8) -> Self {
        Self::listening_on(&listener(host))
    }

    pub fn listening_on(listener: &TcpListener) -> Self {
        let (at, listener) = (address(listener), listener.try_clone().expect("is shared"));
        listener.set_nonblocking(true).expect("is set");
        let state = Arc::new(Mutex::new(DiscoveryState::default()));
        let shared = state.clone();
        let mut watches = Vec::new();
        let thread = BackgroundThread::run(move || run_discovery(&listener, &shared, &mut watches));
        Self { at, state, _thread: thread }
    }

    /// Publishes changes.
    pub fn send_changes(&self, number: u64, entries: &[String]) {
        lock(&self.state).events.push(ListEvent { number, is_snapshot: false, entries: entries.to_vec() });
    }

    /// Publishes a complete list.
    pub fn send_snapshot(&self, number: u64, entries: &[String]) {
        lock(&self.state).events.push(ListEvent { number, is_snapshot: true, entries: entries.to_vec() });
    }

    /// Open watches receive nothing from now on, not even keep-alive comments; nor do so many later ones.
    pub fn stop_sending(&self, watches: usize) {
        let state = &mut *lock(&self.state);
        (state.silent, state.silent_watches) = (true, watches);
    }

    /// Closes all open watches.
    pub fn close_watches(&self) {
        lock(&self.state).close_watches = true;
    }

    pub fn fragment_writes(&self) {
        lock(&self.state).fragmented = true;
    }

    /// Forgets its history and restarts its numbering with a complete list.
    pub fn restart_numbering(&self, entries: &[String]) {
        let state = &mut *lock(&self.state);
        state.events = vec![ListEvent { number: 1, is_snapshot: true, entries: entries.to_vec() }];
        (state.numbering_restarted, state.close_watches) = (true, true);
    }

    /// How many watches were opened since then.
    pub fn watches_since(&self, then: Instant) -> usize {
        lock(&self.state).watches.iter().filter(|at| **at >= then).count()
    }

    /// Waits for so many watches since then, and returns how long that took.
    pub fn wait_for_watches(&self, then: Instant, times: usize) -> Duration {
        while self.watches_since(then) < times {
            assert!(then.elapsed() < TIMEOUT, "{} watches of {times}", self.watches_since(then));
            std::thread::sleep(POLL_INTERVAL);
        }
        then.elapsed()
    }
}

fn run_discovery(listener: &TcpListener, state: &Mutex<DiscoveryState>, watches: &mut Vec<Watch>) {
    let state = &mut *lock(state);
    if std::mem::take(&mut state.close_watches) {
        watches.clear();
    }
    if std::mem::take(&mut state.silent) {
        watches.iter_mut().for_each(|watch| watch.silent = true);
    }
    let now = Instant::now();
    while let Some(connection) = Connection::next(listener) {
        let silent = state.silent_watches > 0;
        state.silent_watches -= usize::from(silent);
        watches.push(Watch { connection, next: None, silent, commented_at: now });
        state.watches.push(now);
    }
    for watch in watches.iter_mut().filter(|watch| !watch.silent && !watch.connection.closed) {
        watch.connection.read();
        if watch.next.is_none() {
            let Some(last) = last_event_id(&watch.connection.unread) else { continue };
            let next = state.events.iter().position(|event| state.numbering_restarted || event.number > last);
            watch.next = Some(next.unwrap_or(state.events.len()));
            let head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
            watch.connection.unsent.extend_from_slice(head);
        }
        let next = watch.next.as_mut().expect("was set");
        for event in state.events.iter().skip(*next) {
            watch.connection.unsent.extend(event.encoded());
        }
        *next = state.events.len().max(*next);
        if now - watch.commented_at >= COMMENT_INTERVAL && watch.connection.unsent.is_empty() {
            watch.commented_at = now;
            watch.connection.unsent.extend_from_slice(b": \n\n");
        }
        watch.connection.write(state.fragmented);
    }
}

/// The last event id, once the request of a watch is complete.
fn last_event_id(watch: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(watch).ok().filter(|text| text.ends_with("\r\n\r\n"))?;
    text.split("Last-Event-ID: ").nth(1)?.split("\r\n").next()?.parse().ok()
}
