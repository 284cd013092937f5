//! The event loop itself: its state, its configuration, one iteration, and the orderly shutdown.

mod accept;
mod commands;
mod connection;
mod linger;
mod polling;
mod read;
mod write;

use crate::clock::Clock;
use crate::socket::{self, descriptor_limit};
use crate::waker::Waker;
use accept::Listener;
use connection::Connection;
use mio::{Events, Interest, Poll, Token};
use mulleinhub_interface::Timestamp;
use mulleinhub_sans_io::{ConnectionId, ListenerId, StateMachine};
use polling::{MAX_EVENTS_PER_POLL, SIGNALS, WAKER};
use signal_hook_mio::v1_0::Signals;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Polls without waiting before the state machine is polled: input that arrived while other connections were
/// read is handed over too.
const MAX_POLLS_PER_ITERATION: usize = 16;
/// Full polls (with as many events as one poll can return) per iteration that don't count towards
/// [`MAX_POLLS_PER_ITERATION`].
const MAX_FULL_POLLS_PER_ITERATION: usize = 64;

/// How an iteration of the event loop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IterationOutcome {
    /// Input, a timer or the maximum wait was handled.
    Completed,
    /// The same, and this signal number was received. Further signals are returned by the next iterations.
    Signal(i32),
}

/// Runs one state machine on real sockets, in the thread of the caller.
pub struct EventLoop<S: StateMachine> {
    /// The state machine that is run.
    pub state_machine: S,
    /// System calls made to wait, accept, read and write, for measurements.
    pub system_calls: u64,
    poll: Poll,
    events: Events,
    listeners: Vec<Listener>,
    connections: BTreeMap<ConnectionId, Connection>,
    /// Connections whose bytes are to be read, and since when these may have been there.
    readable: BTreeMap<ConnectionId, Instant>,
    /// Those of them that became readable since the state machine was last asked for priority connections.
    newly_readable: Vec<ConnectionId>,
    /// When the last poll returned.
    last_poll_at: Instant,
    /// What the last poll reported was not there before.
    input_since: Instant,
    /// Writes of this iteration took too long, and some are left.
    writes_left: bool,
    /// Connections that were established or became writable. They are written to once the state machine has
    /// been polled. Seen: bytes that waited for a connection were sent as it was established, though the end
    /// of their client's connection was still unread here.
    writable: Vec<ConnectionId>,
    /// Addresses by the names that the state machine uses; other names are parsed as addresses.
    addresses: BTreeMap<String, SocketAddr>,
    clock: Clock,
    waker: Option<Arc<mio::Waker>>,
    signals: Option<Signals>,
    /// Signals received and not returned yet. Guards against losing the first of two signals that arrive
    /// within one poll.
    pending_signals: VecDeque<i32>,
    /// Accepted connections that this side closes, and until when each is kept for that.
    lingering: VecDeque<(Instant, ConnectionId)>,
    max_lingering: usize,
    /// The last poll returned as many events as it can.
    last_poll_full: bool,
    read_buffer: Vec<u8>,
}

impl<S: StateMachine> EventLoop<S> {
    /// Creates an event loop whose clock starts at zero.
    ///
    /// # Errors
    /// If the system can't create a poll instance.
    pub fn new(state_machine: S) -> std::io::Result<Self> {
        Ok(Self {
            state_machine,
            system_calls: 0,
            poll: Poll::new()?,
            events: Events::with_capacity(MAX_EVENTS_PER_POLL),
            listeners: Vec::new(),
            connections: BTreeMap::new(),
            readable: BTreeMap::new(),
            newly_readable: Vec::new(),
            last_poll_at: Instant::now(),
            input_since: Instant::now(),
            writes_left: false,
            writable: Vec::new(),
            addresses: BTreeMap::new(),
            clock: Clock::new(Timestamp::default()),
            waker: None,
            signals: None,
            pending_signals: VecDeque::new(),
            lingering: VecDeque::new(),
            max_lingering: linger::max_lingering(descriptor_limit()),
            last_poll_full: false,
            read_buffer: vec![0; read::MAX_BYTES_PER_READ],
        })
    }

    /// Counts time from this origin, for state machines that receive timestamps of another clock.
    #[must_use]
    pub fn with_origin(mut self, origin: Timestamp) -> Self {
        self.clock = self.clock.with_origin(origin);
        self
    }

    /// Uses this clock, so that several event loops show the same time.
    #[must_use]
    pub fn with_clock(mut self, clock: Clock) -> Self {
        self.clock = clock;
        self
    }

    /// The current time of this event loop's clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// The number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Returns a handle that ends an iteration's wait from any thread.
    ///
    /// # Errors
    /// If the system can't create one.
    pub fn waker(&mut self) -> std::io::Result<Waker> {
        let waker = match &self.waker {
            Some(waker) => waker.clone(),
            None => Arc::new(mio::Waker::new(self.poll.registry(), WAKER)?),
        };
        self.waker = Some(waker.clone());
        Ok(Waker(waker))
    }

    /// Listens at a loopback address. Returns the bound address, which matters for port 0.
    ///
    /// # Errors
    /// If the address is no loopback address or can't be bound.
    pub fn listen(&mut self, address: SocketAddr, listener: ListenerId) -> std::io::Result<SocketAddr> {
        self.listen_with(address, listener, false)
    }

    /// The same; with `shared_port`, other processes may listen there too, and the system distributes the
    /// connections.
    ///
    /// # Errors
    /// As for [`listen`](Self::listen).
    pub fn listen_with(
        &mut self,
        address: SocketAddr,
        listener: ListenerId,
        shared_port: bool,
    ) -> std::io::Result<SocketAddr> {
        let mut tcp = socket::bind_listener(address, shared_port)?;
        let token = Token(self.listeners.len());
        self.poll.registry().register(&mut tcp, token, Interest::READABLE)?;
        let bound = tcp.local_addr()?;
        self.listeners.push(Listener::new(tcp, listener));
        Ok(bound)
    }

    /// Sets the socket address behind a name that the state machine connects to.
    pub fn set_address(&mut self, name: String, address: SocketAddr) {
        self.addresses.insert(name, address);
    }

    /// Handles these signals from now on; each iteration returns one at most.
    ///
    /// # Errors
    /// If the system refuses a handler for one of them.
    pub fn handle_signals(&mut self, numbers: &[i32]) -> std::io::Result<()> {
        let mut signals = Signals::new(numbers)?;
        self.poll.registry().register(&mut signals, SIGNALS, Interest::READABLE)?;
        self.signals = Some(signals);
        Ok(())
    }

    /// Waits for input, a timer or a signal for `max_wait` at most, hands all input to the state machine,
    /// polls it, and executes its commands.
    ///
    /// # Errors
    /// If the poll itself fails. Failures of single connections are reported to the state machine.
    pub fn run_once(&mut self, max_wait: Duration) -> std::io::Result<IterationOutcome> {
        let wait = self.time_to_wait(max_wait);
        self.poll_once(Some(wait))?;
        self.handle_input()?;
        self.state_machine.poll(self.now());
        self.write_to_writable();
        self.execute_commands();
        self.drop_expired_lingering();
        Ok(self.pending_signals.pop_front().map_or(IterationOutcome::Completed, IterationOutcome::Signal))
    }

    /// Whether no input, as far as the last poll returned it, waits to be handled.
    pub fn is_idle(&mut self) -> bool {
        let connections = self.state_machine.connections();
        self.pending_signals.is_empty()
            && !connections.has_work()
            // A listener that pauses for lack of descriptors may have many connections queued.
            && self.listeners.iter().all(|listener| !listener.ready && listener.paused_until.is_none())
            && self.readable.keys().all(|id| connections.is_reading_paused(*id))
    }

    /// Shuts down: stops listening, and gives the peers of accepted connections up to `timeout` to read all
    /// that was written to them.
    pub fn shutdown(&mut self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        self.listeners.clear();
        self.close_accepted_connections();
        loop {
            for id in self.readable.keys().copied().collect::<Vec<ConnectionId>>() {
                self.linger(id);
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || !self.connections.values().any(|connection| connection.accepted) {
                return;
            }
            if self.poll_once(Some(left)).is_err() {
                return;
            }
            self.write_to_writable();
        }
    }

    /// How long the next poll may wait: until the next timer, and not at all while input is left over.
    fn time_to_wait(&mut self, max_wait: Duration) -> Duration {
        let now = self.now();
        let mut wait = max_wait;
        if let Some(wakeup) = self.state_machine.next_wakeup() {
            wait = wait.min(Duration::from_nanos((wakeup - now).nanos()));
        }
        if let Some((until, _)) = self.lingering.front() {
            wait = wait.min(until.saturating_duration_since(Instant::now()));
        }
        if !self.writable.is_empty() {
            wait = wait.min(write::WRITE_RETRY_INTERVAL);
        }
        if self.listeners.iter().any(|listener| listener.paused_until.is_some()) {
            wait = wait.min(accept::ACCEPT_PAUSE);
        }
        if self.has_leftover_input() { Duration::ZERO } else { wait }
    }

    /// Whether signals, connections, bytes or commands are left over from the last iteration.
    fn has_leftover_input(&mut self) -> bool {
        let state_machine = &self.state_machine;
        let can_accept = |listener: &Listener| listener.ready && state_machine.accept_budget(listener.id) > 0;
        if !self.pending_signals.is_empty() || self.listeners.iter().any(can_accept) {
            return true;
        }
        let connections = self.state_machine.connections();
        if self.writes_left || connections.has_work() {
            return true;
        }
        self.readable.keys().any(|id| !connections.is_reading_paused(*id))
    }

    /// Accepts and reads, and polls again without waiting, until nothing more arrives or the limits are met.
    fn handle_input(&mut self) -> std::io::Result<()> {
        let (mut polls, mut full_polls) = (0, 0);
        while polls < MAX_POLLS_PER_ITERATION {
            if self.last_poll_full && full_polls < MAX_FULL_POLLS_PER_ITERATION {
                full_polls += 1;
            } else {
                polls += 1;
            }
            self.accept_all();
            if !self.read_all()? {
                break;
            }
            self.poll_once(Some(Duration::ZERO))?;
        }
        Ok(())
    }
}
