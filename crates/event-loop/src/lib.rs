//! A party behind real sockets: one thread, one poll, no runtime.
//!
//! For: everything between mio and a [`StateMachine`]: listening, connecting, reading, writing, waking, signals. All
//! that is readable is told before the party's turn, also after this process stood still.
//! May not touch: what bytes mean. Addresses are loopback ones alone.

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_sans_io::{CloseReason, Command, ConnectionId, ListenerId, StateMachine};
use signal_hook_mio::v1_0::Signals;
use socket2::{Domain, Socket, Type};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::{Duration as StdDuration, Instant};

const SIGNALS: Token = Token(usize::MAX - 1);
const WAKER: Token = Token(usize::MAX - 2);
/// Tokens below are listeners', the others are links'.
const LISTENERS: usize = 1 << 20;
/// Read from one connection before the others get their turn.
const ONE_READ: usize = 64 * 1024;
/// Connections that are read before those that are prompt have another look.
const ONE_SLICE: usize = 256;
/// Polls without waiting before a turn: what came in while others were read is told too.
const MOST_POLLS: usize = 16;
/// Told by one poll. Where a poll tells as many there are more, and they come before the turn too: no peer is
/// taken for silent whose bytes are here.
const EVENTS: usize = 4096;
/// Polls that were full before a turn, at the most.
const MOST_FULL_POLLS: usize = 64;
/// After accepting failed for want of descriptors, it rests for this.
const ACCEPT_REST: StdDuration = StdDuration::from_millis(100);
/// And why it failed is told once in this.
const TELL_AGAIN: StdDuration = StdDuration::from_secs(60);
/// A connection that came in and that we end is read on for so long after our last word, so that the other
/// side hears it: one that is closed with bytes unread is reset, and what was just written goes with it.
const LINGER: StdDuration = StdDuration::from_millis(1000);
/// Such connections at a time, as a part of the descriptors, and at the most; with more, the first ones are
/// closed.
const LINGERING_PART: usize = 64;
const MOST_LINGERING: usize = 8;
/// Connections that wait to be accepted, kept by the system.
const BACKLOG: i32 = 4096;

struct Stream {
    tcp: TcpStream,
    up: bool,
    /// The other side writes no more: what is left is read to its end.
    closing: bool,
    /// No more is written once what waits has gone out.
    ending: bool,
    /// It came in through a listener.
    came: bool,
    /// All is written: what still comes is read and let go until the other side has closed it, too.
    lingers: bool,
}

struct Listening {
    tcp: TcpListener,
    door: ListenerId,
    ready: bool,
    rests_until: Option<Instant>,
    told_at: Option<Instant>,
}

/// The time since an instant, and what it showed then. Copies count alike.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Instant,
    origin: Timestamp,
}

impl Clock {
    pub fn new(origin: Timestamp) -> Self {
        Self { began: Instant::now(), origin }
    }

    pub fn now(&self) -> Timestamp {
        self.origin + span(self.began.elapsed())
    }
}

/// Ends the wait of a shell's step.
#[derive(Clone, Debug)]
pub struct Waker(Arc<mio::Waker>);

impl Waker {
    pub fn wake(&self) {
        // A shell that is gone has nothing to be woken for.
        let _ = self.0.wake();
    }
}

/// What made a step return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Went,
    Signal(i32),
}

pub struct EventLoop<P: StateMachine> {
    pub party: P,
    poll: Poll,
    events: Events,
    listeners: Vec<Listening>,
    streams: BTreeMap<ConnectionId, Stream>,
    /// Connections whose bytes are to be read.
    readable: BTreeSet<ConnectionId>,
    /// Those of them that became readable since they were last asked about.
    fresh: Vec<ConnectionId>,
    /// Connections that came up, or take bytes again. They are written to once the party has had its turn.
    /// Met: what waited for a connection left as it came up, though its client's leaving lay here unread.
    writable: Vec<ConnectionId>,
    /// Addresses by the names that the party uses; others are read as addresses.
    names: BTreeMap<String, SocketAddr>,
    clock: Clock,
    waker: Option<Arc<mio::Waker>>,
    signals: Option<Signals>,
    /// Signals that came in and were not told yet. Met: of two within one poll the first was never heard.
    heard: VecDeque<i32>,
    /// Connections that came in and that we end, and until when they are kept for that.
    lingering: VecDeque<(Instant, ConnectionId)>,
    most_lingering: usize,
    /// The last poll told as much as it can.
    full: bool,
    buffer: Vec<u8>,
    /// Calls of the system to wait, accept, read and write, for measurements.
    pub calls: u64,
}

impl<P: StateMachine> EventLoop<P> {
    /// # Errors
    /// Where the system has no poll for us.
    pub fn new(party: P) -> std::io::Result<Self> {
        Ok(Self {
            party,
            poll: Poll::new()?,
            events: Events::with_capacity(EVENTS),
            listeners: Vec::new(),
            streams: BTreeMap::new(),
            readable: BTreeSet::new(),
            fresh: Vec::new(),
            writable: Vec::new(),
            names: BTreeMap::new(),
            clock: Clock::new(Timestamp::default()),
            waker: None,
            signals: None,
            heard: VecDeque::new(),
            lingering: VecDeque::new(),
            most_lingering: descriptors()
                .map_or(MOST_LINGERING, |d| (d / LINGERING_PART).min(MOST_LINGERING)),
            full: false,
            buffer: vec![0; ONE_READ],
            calls: 0,
        })
    }

    /// Counts from this instant of another clock, for parties that are told points of it.
    #[must_use]
    pub fn from_origin(mut self, origin: Timestamp) -> Self {
        self.clock.origin = origin;
        self
    }

    /// Counts as another shell does.
    #[must_use]
    pub fn with_clock(mut self, clock: Clock) -> Self {
        self.clock = clock;
        self
    }

    /// The time since this shell began, from its origin on.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Ends a step's wait, from whatever thread.
    ///
    /// # Errors
    /// Where the system has none for us.
    pub fn waker(&mut self) -> std::io::Result<Waker> {
        let waker = match &self.waker {
            Some(waker) => waker.clone(),
            None => Arc::new(mio::Waker::new(self.poll.registry(), WAKER)?),
        };
        self.waker = Some(waker.clone());
        Ok(Waker(waker))
    }

    /// Listens at a loopback address; gives back where, for a port of 0.
    ///
    /// # Errors
    /// Where the address can't be had, or is not a loopback one.
    pub fn listen(&mut self, at: SocketAddr, door: ListenerId) -> std::io::Result<SocketAddr> {
        self.listen_at(at, door, false)
    }

    /// The same; with `shared`, other processes may listen there too, and the system spreads connections.
    ///
    /// # Errors
    /// As for `listen`.
    pub fn listen_at(
        &mut self,
        at: SocketAddr,
        door: ListenerId,
        shared: bool,
    ) -> std::io::Result<SocketAddr> {
        if !at.ip().is_loopback() {
            return Err(std::io::Error::new(
                ErrorKind::InvalidInput,
                format!("{at} is not a loopback address"),
            ));
        }
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(shared)?;
        socket.set_nonblocking(true)?;
        socket.bind(&at.into())?;
        socket.listen(BACKLOG)?;
        let mut tcp = TcpListener::from_std(socket.into());
        let token = Token(self.listeners.len());
        self.poll.registry().register(&mut tcp, token, Interest::READABLE)?;
        let address = tcp.local_addr()?;
        self.listeners.push(Listening { tcp, door, ready: false, rests_until: None, told_at: None });
        Ok(address)
    }

    /// What the party calls an address.
    pub fn name(&mut self, name: String, address: SocketAddr) {
        self.names.insert(name, address);
    }

    /// Hears these signals from now on; each step tells of one at the most.
    ///
    /// # Errors
    /// Where the system refuses one of them.
    pub fn handle_signals(&mut self, signals: &[i32]) -> std::io::Result<()> {
        let mut heard = Signals::new(signals)?;
        self.poll.registry().register(&mut heard, SIGNALS, Interest::READABLE)?;
        self.signals = Some(heard);
        Ok(())
    }

    /// Waits for something to happen, at most so long, and lets the party have its turn.
    ///
    /// # Errors
    /// Where the poll itself fails. Failures of single connections are told to the party.
    pub fn step(&mut self, at_most: StdDuration) -> std::io::Result<Step> {
        let now = self.now();
        let mut wait = at_most;
        if let Some(wake) = self.party.next_wakeup() {
            wait = wait.min(StdDuration::from_nanos((wake - now).nanos()));
        }
        if let Some((until, _)) = self.lingering.front() {
            wait = wait.min(until.saturating_duration_since(Instant::now()));
        }
        if !self.heard.is_empty() {
            wait = StdDuration::ZERO;
        }
        if self.listeners.iter().any(|listening| listening.rests_until.is_some()) {
            wait = wait.min(ACCEPT_REST);
        }
        if self
            .listeners
            .iter()
            .any(|listening| listening.ready && self.party.accept_budget(listening.door) > 0)
        {
            // More was there than one turn takes.
            wait = StdDuration::ZERO;
        }
        let links = self.party.connections();
        if self.readable.iter().any(|link| !links.is_reading_paused(*link)) {
            wait = StdDuration::ZERO;
        }
        self.poll_once(Some(wait))?;
        let (mut polls, mut full) = (0, 0);
        while polls < MOST_POLLS {
            if self.full && full < MOST_FULL_POLLS {
                full += 1;
            } else {
                polls += 1;
            }
            self.accept_all();
            if !self.read_all()? {
                break;
            }
            self.poll_once(Some(StdDuration::ZERO))?;
        }
        self.party.poll(self.now());
        self.write_to_writable();
        self.carry_out();
        self.let_lingering_go();
        Ok(self.heard.pop_front().map_or(Step::Went, Step::Signal))
    }

    /// Whether nothing that has come in, as far as the last poll told, waits to be told.
    pub fn is_quiet(&mut self) -> bool {
        let links = self.party.connections();
        self.heard.is_empty()
            // One that rests for want of descriptors may have many waiting outside.
            && self.listeners.iter().all(|listening| !listening.ready && listening.rests_until.is_none())
            && self.readable.iter().all(|link| links.is_reading_paused(*link))
    }

    /// The end of this process: nobody is taken any more, and whoever came in hears all that was written to
    /// him, as far as he takes it within this time.
    pub fn finish(&mut self, at_most: StdDuration) {
        let until = Instant::now() + at_most;
        self.listeners.clear();
        let links: Vec<ConnectionId> =
            self.streams.iter().filter(|(_, s)| s.came).map(|(link, _)| *link).collect();
        for link in &links {
            if let Some(stream) = self.streams.get_mut(link) {
                stream.ending = true;
                self.write_one(*link);
            }
        }
        loop {
            for link in self.readable.iter().copied().collect::<Vec<ConnectionId>>() {
                self.linger(link);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || !self.streams.values().any(|stream| stream.came) {
                return;
            }
            if self.poll_once(Some(left)).is_err() {
                return;
            }
            self.write_to_writable();
        }
    }

    fn poll_once(&mut self, wait: Option<StdDuration>) -> std::io::Result<()> {
        self.calls += 1;
        match self.poll.poll(&mut self.events, wait) {
            Err(error) if error.kind() == ErrorKind::Interrupted => return Ok(()),
            done => done?,
        }
        self.full = self.events.iter().count() >= EVENTS;
        let events: Vec<(Token, bool, bool, bool)> = self
            .events
            .iter()
            .map(|e| (e.token(), e.is_readable(), e.is_read_closed() || e.is_error(), e.is_writable()))
            .collect();
        for (token, readable, closing, writable) in events {
            if token == SIGNALS {
                if let Some(signals) = &mut self.signals {
                    self.heard.extend(signals.pending());
                }
            } else if token == WAKER {
                // The poll has returned, which is all that was wanted.
            } else if token.0 < LISTENERS {
                if let Some(listening) = self.listeners.get_mut(token.0) {
                    listening.ready = true;
                }
            } else {
                let link = ConnectionId((token.0 - LISTENERS) as u64);
                if writable {
                    self.is_writable(link);
                }
                if (readable || closing)
                    && let Some(stream) = self.streams.get_mut(&link)
                {
                    stream.closing |= closing;
                    if self.readable.insert(link) {
                        self.fresh.push(link);
                    }
                }
            }
        }
        Ok(())
    }

    fn accept_all(&mut self) {
        for at in 0..self.listeners.len() {
            let listening = &mut self.listeners[at];
            if listening.rests_until.is_some_and(|until| Instant::now() >= until) {
                (listening.rests_until, listening.ready) = (None, true);
            }
            while self.listeners[at].ready && self.party.accept_budget(self.listeners[at].door) > 0 {
                self.calls += 1;
                let listening = &mut self.listeners[at];
                match listening.tcp.accept() {
                    Ok((tcp, _)) => {
                        let door = listening.door;
                        self.came(tcp, door);
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => listening.ready = false,
                    Err(error) if error.kind() == ErrorKind::Interrupted => {}
                    Err(error) => {
                        // Descriptors have run out, most likely: trying again at once would spin.
                        let now = Instant::now();
                        if listening.told_at.is_none_or(|at| now - at >= TELL_AGAIN) {
                            listening.told_at = Some(now);
                            tracing::error!(%error, "connections can't be accepted");
                        }
                        (listening.ready, listening.rests_until) = (false, Some(now + ACCEPT_REST));
                        let now = self.now();
                        self.party.on_descriptors_exhausted(now);
                        // What was let go has its reason written and its descriptor given back.
                        self.carry_out();
                    }
                }
            }
        }
    }

    fn came(&mut self, tcp: TcpStream, door: ListenerId) {
        if !self.party.is_listening(door) {
            return;
        }
        let now = self.now();
        let link = self.party.connections().register();
        if self.add(link, tcp, true, true) {
            self.party.on_connection_accepted(now, link, door);
        } else {
            self.party.connections().discard(link);
        }
    }

    fn add(&mut self, link: ConnectionId, mut tcp: TcpStream, up: bool, came: bool) -> bool {
        let token = Token(LISTENERS + link.0 as usize);
        let interest = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut tcp, token, interest).is_err() {
            return false;
        }
        // Frames are small and answers are waited for.
        let _ = tcp.set_nodelay(true);
        let stream = Stream { tcp, up, closing: false, ending: false, came, lingers: false };
        self.streams.insert(link, stream);
        true
    }

    /// Reads from every connection that has bytes; true where any had. Where many have, those that the party
    /// calls prompt are read between slices of the others.
    fn read_all(&mut self) -> std::io::Result<bool> {
        let mut any = self.read_prompt();
        let rest: Vec<ConnectionId> = self.readable.iter().copied().collect();
        for (n, slice) in rest.chunks(ONE_SLICE).enumerate() {
            if n > 0 {
                self.party.poll_early(self.now());
                self.carry_out();
                self.poll_once(Some(StdDuration::ZERO))?;
                any |= self.read_prompt();
            }
            for link in slice {
                any |= self.read_one(*link);
            }
        }
        Ok(any)
    }

    fn read_prompt(&mut self) -> bool {
        let mut any = false;
        for link in std::mem::take(&mut self.fresh) {
            if self.party.is_priority(link) {
                any |= self.read_one(link);
            }
        }
        any
    }

    fn read_one(&mut self, link: ConnectionId) -> bool {
        let Some(stream) = self.streams.get_mut(&link) else {
            self.readable.remove(&link);
            return false;
        };
        if stream.lingers {
            self.linger(link);
            return false;
        }
        if self.party.connections().is_reading_paused(link) {
            return false;
        }
        if !stream.up {
            // Looked at again when it is up.
            self.readable.remove(&link);
            return false;
        }
        self.calls += 1;
        match stream.tcp.read(&mut self.buffer) {
            Ok(0) => {
                self.gone(link, CloseReason::Closed);
                true
            }
            Ok(n) => {
                // Less than there was room for is all that there was: what comes later is told anew. An end
                // that came with it isn't.
                if n < self.buffer.len() && !stream.closing {
                    self.readable.remove(&link);
                }
                let now = self.now();
                self.party.on_data(now, link, &self.buffer[..n]);
                true
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                self.readable.remove(&link);
                false
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => true,
            Err(_) => {
                self.gone(link, CloseReason::Broken);
                true
            }
        }
    }

    fn gone(&mut self, link: ConnectionId, end: CloseReason) {
        self.readable.remove(&link);
        if self.streams.remove(&link).is_some() {
            let now = self.now();
            self.party.on_closed(now, link, end);
        }
    }

    fn is_writable(&mut self, link: ConnectionId) {
        let Some(stream) = self.streams.get_mut(&link) else { return };
        if !stream.up {
            let error = stream.tcp.take_error().ok().flatten();
            match stream.tcp.peer_addr() {
                Ok(_) if error.is_none() => {
                    stream.up = true;
                    self.readable.insert(link);
                    let now = self.now();
                    self.party.on_connected(now, link);
                }
                Err(not_yet) if not_yet.kind() == ErrorKind::NotConnected && error.is_none() => return,
                _ => {
                    // Only a refusal says that nobody is there.
                    let refused = error.is_some_and(|error| error.kind() == ErrorKind::ConnectionRefused);
                    return self.gone(link, if refused { CloseReason::Refused } else { CloseReason::Broken });
                }
            }
        }
        self.writable.push(link);
    }

    fn write_to_writable(&mut self) {
        for link in std::mem::take(&mut self.writable) {
            self.write_one(link);
        }
    }

    /// Writes what waits, as much as the system takes.
    fn write_one(&mut self, link: ConnectionId) {
        let Some(stream) = self.streams.get_mut(&link) else { return };
        if !stream.up || stream.lingers {
            return;
        }
        loop {
            let bytes = self.party.connections().outgoing(link);
            if bytes.is_empty() {
                break;
            }
            self.calls += 1;
            match stream.tcp.write(bytes) {
                Ok(n) => self.party.connections().mark_written(link, n),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) if stream.ending || self.party.connections().is_reading_paused(link) => {
                    return self.gone(link, CloseReason::Broken);
                }
                Err(_) => {
                    // What the other side said before lies here still, and its end behind it. Met in a test:
                    // the last words of a peer that reset its connection were lost where we wrote to it
                    // first.
                    stream.closing = true;
                    self.readable.insert(link);
                    return;
                }
            }
        }
        if stream.ending {
            self.party.connections().discard(link);
            if !stream.came || stream.tcp.shutdown(Shutdown::Write).is_err() {
                self.readable.remove(&link);
                self.streams.remove(&link);
                return;
            }
            stream.lingers = true;
            self.linger(link);
        }
    }

    /// Lets go what still comes on a connection that we have ended, and the connection once the other side
    /// has ended it, too.
    fn linger(&mut self, link: ConnectionId) {
        let Some(stream) = self.streams.get_mut(&link) else { return };
        for _ in 0..MOST_POLLS {
            match stream.tcp.read(&mut self.buffer) {
                Ok(n) if n > 0 => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.readable.remove(&link);
                    return;
                }
                _ => {
                    self.readable.remove(&link);
                    self.streams.remove(&link);
                    return;
                }
            }
        }
    }

    /// Connections that we ended and the other side hasn't for too long, or of which there are too many.
    fn let_lingering_go(&mut self) {
        let now = Instant::now();
        if self.lingering.len() > self.most_lingering {
            let streams = &self.streams;
            self.lingering.retain(|(_, link)| streams.contains_key(link));
        }
        while let Some((until, link)) = self.lingering.front().copied() {
            let many = self.lingering.len() > self.most_lingering;
            if !many && until > now && self.streams.contains_key(&link) {
                return;
            }
            self.lingering.pop_front();
            self.readable.remove(&link);
            if self.streams.remove(&link).is_some() {
                self.party.connections().discard(link);
            }
        }
    }

    /// Opens, ends and writes what the party asks for.
    fn carry_out(&mut self) {
        loop {
            while let Some(link) = self.party.connections().next_with_output() {
                self.write_one(link);
            }
            let Some(ask) = self.party.connections().next_command() else { return };
            match ask {
                Command::Open(link, to) => self.connect(link, &to),
                Command::Close { connection: link, immediately: true } => {
                    self.readable.remove(&link);
                    self.streams.remove(&link);
                }
                Command::Close { connection: link, immediately: false } => {
                    if let Some(stream) = self.streams.get_mut(&link) {
                        stream.ending = true;
                        self.lingering.push_back((Instant::now() + LINGER, link));
                        self.write_one(link);
                    }
                }
            }
        }
    }

    fn connect(&mut self, link: ConnectionId, to: &str) {
        // `TO from ADDRESS`: from this address of ours, for more connections than one has ports for.
        let (to, from) = to.split_once(" from ").map_or((to, None), |(to, from)| (to, Some(from)));
        let address = self.names.get(to).copied().or_else(|| to.parse().ok());
        // An address that is none has nobody behind it.
        let none = || std::io::Error::from(ErrorKind::ConnectionRefused);
        let tcp = address.filter(|a| a.ip().is_loopback()).ok_or_else(none).and_then(|a| match from {
            None => TcpStream::connect(a),
            Some(from) => connect_from(from.parse().map_err(|_| none())?, a),
        });
        let end = match tcp {
            Ok(tcp) => match self.add(link, tcp, false, false) {
                true => return,
                false => CloseReason::NotAttempted,
            },
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => CloseReason::Refused,
            // Met: want of descriptors here was told as the other side's refusal.
            Err(_) => CloseReason::NotAttempted,
        };
        let now = self.now();
        self.party.on_closed(now, link, end);
    }

    /// Connections that are open now.
    pub fn connections(&self) -> usize {
        self.streams.len()
    }
}

fn connect_from(from: IpAddr, to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::new(from, 0).into())?;
    match socket.connect(&to.into()) {
        // It goes on; whether it came up is seen when it can be written.
        Err(error) if error.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {
            Err(error)
        }
        _ => Ok(TcpStream::from_std(socket.into())),
    }
}

/// How many descriptors this process may have; nothing where the system sets no limit.
pub fn descriptors() -> Option<usize> {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current.and_then(|most| usize::try_from(most).ok())
}

/// A real span of time as the project's own.
pub fn span(duration: StdDuration) -> Duration {
    Duration::from_nanos(duration.as_nanos() as u64)
}
