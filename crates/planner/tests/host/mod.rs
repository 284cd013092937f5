//! The built program, and what it meets on the platform: owners, machines and a bulletin that do what a test
//! says, over loopback sockets. Order is forced by what is written, held back and read: a program that is
//! frozen reads nothing, and a shut door lets no connection come up.
#![allow(dead_code, reason = "each test file uses its part")]

pub mod fleet;

use mulleinhub_platform_protocol::{
    FrameBuffer, cause_code, code, kind, write_acceptance, write_message, write_with_cause,
};
use rustix::process::{Pid, Signal, kill_process};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub const PATIENCE: Duration = Duration::from_secs(10);

pub fn listener(host: u8) -> TcpListener {
    TcpListener::bind(("127.0.9.".to_owned() + &host.to_string(), 0)).expect("a free port")
}

pub fn address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("is bound")
}

/// A line of the list.
pub fn listed(uid: &str, at: SocketAddr, state: &str, boot_ms: u64) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{at}","az":"hall","model":"big","pod_group":0,"state":"{state}",{}}}"#,
        format_args!(r#""boot_ms":{boot_ms},"room":[32.0,64.0]"#)
    )
}

pub fn event(no: u64, all: bool, lines: &[String]) -> String {
    format!(r#"{{"no":{no},"roster":{{"rev":{no},"all":{all},"targets":[{}]}}}}"#, lines.join(","))
}

/// As the bulletin writes it.
pub fn told(no: u64, lines: &[String]) -> Vec<u8> {
    format!("id: {no}\ndata: {}\n\n", event(no, false, lines)).into_bytes()
}

pub fn conf(machine: SocketAddr, bulletin: SocketAddr) -> String {
    let known = event(1, true, &[listed("s-1", machine, "in_service", 0)]);
    format!(
        r#"{{"name":"n0","listen":"127.0.9.1:0","seed":"8c1f30d27a5be964","bulletin":"{bulletin}",
        "limits":{{"cores":1.0,"memory_mb":32,"sockets":256}},
        "known":{{"no":1,"items":[{known}]}},
        "settings":{{"balancers":1,"index":0,"myZone":0,"discovery":"push","localities":["hall"],
        "shapes":["big"],
        "classes":[{{"name":"front","effect":"repeatable","target":1000000000,"deadline":2500000000,
                     "gain":9}},
                   {{"name":"batch","effect":"by_key","group":"cell","window":3000000000,
                     "target":1000000000,"deadline":2500000000,"gain":9}},
                   {{"name":"once","effect":"once","target":1000000000,"deadline":2500000000,"gain":9}}],
        "limits":{{"cancel":true,"connectTimeout":250000000,"keepalive":15000000000,
                   "maxAttempts":4}},
        "rules":{{"askWithin":10000000000,"fall":1000000000,"warmAfter":10000000000}},
        "specifics":{{"acceptsCores":2.0,"acceptsMemory":1.2,"kindCores":[32],"memoryByKind":[64],
                      "precedence":[0,0,0],"yesAt":"accepted","youngLimit":40,"tellsPressure":false}},
        "tariffs":{{}}}}}}"#
    )
}

/// Long waits, so that nothing but what a test does ends a send: connections may take ten seconds to come up,
/// owners wait for a minute.
pub fn patient(conf: String) -> String {
    conf.replace("\"connectTimeout\":250000000", "\"connectTimeout\":10000000000")
        .replace("\"deadline\":2500000000", "\"deadline\":60000000000")
}

pub struct Program {
    child: Child,
    pub conf: PathBuf,
    log: PathBuf,
    pub listen: SocketAddr,
    pub machine: TcpListener,
    pub bulletin: TcpListener,
    _folder: tempfile::TempDir,
}

pub fn start(conf: &std::path::Path, listen: SocketAddr, log: std::fs::File) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mulleinhub-planner"));
    command.arg("platform");
    start_by(command, conf, listen, log)
}

fn start_by(mut command: Command, conf: &std::path::Path, listen: SocketAddr, log: std::fs::File) -> Child {
    command.env("LB_CONFIG", conf).env("LB_LISTEN", listen.to_string()).env("LB_NAME", "n0");
    command.env("RUST_LOG", "debug");
    command.stdout(Stdio::null()).stderr(log).spawn().expect("starts")
}

impl Program {
    pub fn start() -> Self {
        Self::of(|conf| conf)
    }

    /// With other words in its configuration.
    pub fn of(change: impl Fn(String) -> String) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mulleinhub-planner"));
        command.arg("platform");
        Self::start_by(command, change)
    }

    /// With so many descriptors, whatever the configuration says.
    pub fn start_with(descriptors: usize) -> Self {
        Self::within(Some(descriptors), |conf| conf)
    }

    /// Both.
    pub fn within(descriptors: Option<usize>, change: impl Fn(String) -> String) -> Self {
        let Some(descriptors) = descriptors else { return Self::of(change) };
        let mut command = Command::new("sh");
        let program = env!("CARGO_BIN_EXE_mulleinhub-planner");
        command.args(["-c", &format!("ulimit -n {descriptors} && exec {program} platform")]);
        Self::start_by(command, change)
    }

    /// One that is to listen at this address.
    pub fn at(listen: SocketAddr) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mulleinhub-planner"));
        command.arg("platform");
        Self::start_at(command, listen, |conf| conf)
    }

    /// The next life of one that has ended: at the same address, with the same configuration.
    pub fn next_life(&self) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mulleinhub-planner"));
        command.arg("platform");
        let conf = std::fs::read_to_string(&self.conf).expect("is read");
        Self::start_at(command, self.listen, |_| conf.clone())
    }

    fn start_by(command: Command, change: impl Fn(String) -> String) -> Self {
        let listen = address(&listener(1));
        Self::start_at(command, listen, change)
    }

    fn start_at(command: Command, listen: SocketAddr, change: impl Fn(String) -> String) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let (machine, bulletin) = (listener(2), listener(3));
        let path = folder.path().join("config.json");
        std::fs::write(&path, change(conf(address(&machine), address(&bulletin)))).expect("is written");
        let log = folder.path().join("log");
        let child = start_by(command, &path, listen, std::fs::File::create(&log).expect("is made"));
        Self { child, conf: path, log, listen, machine, bulletin, _folder: folder }
    }

    pub fn owner(&self) -> TcpStream {
        let began = Instant::now();
        loop {
            match TcpStream::connect(self.listen) {
                Ok(owner) => {
                    ready(&owner);
                    return owner;
                }
                Err(error) => assert!(began.elapsed() < PATIENCE, "{error}: {}", self.log()),
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("it runs");
    }

    /// It stands still from now on: what is written to it lies unread.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.child.id());
        let stands = || {
            let stat = std::fs::read_to_string(&stat).expect("it is there");
            stat.rsplit(')').next().is_some_and(|behind| behind.trim_start().starts_with('T'))
        };
        while !stands() {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    pub fn wait_for(&self, words: &str) {
        let began = Instant::now();
        while !self.log().contains(words) {
            assert!(began.elapsed() < PATIENCE, "{words:?} is not in the log: {}", self.log());
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn exit(&mut self) -> Option<i32> {
        let began = Instant::now();
        while began.elapsed() < PATIENCE {
            if let Some(status) = self.child.try_wait().expect("it can be asked") {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The next connection to the machine.
    pub fn way(&self) -> TcpStream {
        accepted(&self.machine)
    }

    /// The bulletin's next call: its connection, with the head of the answer written, and the last number
    /// that the program says it heard.
    pub fn call(&self) -> (TcpStream, u64) {
        let mut call = accepted(&self.bulletin);
        let last = last_heard(&mut call);
        call.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: \n\n").expect("is sent");
        (call, last)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What is written on it is on the wire at once, also where a frozen program acknowledges nothing.
fn ready(stream: &TcpStream) {
    stream.set_nodelay(true).expect("is set");
    stream.set_nonblocking(false).expect("is set");
    stream.set_read_timeout(Some(PATIENCE)).expect("is set");
}

/// The next connection that comes, within the patience.
pub fn accepted(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).expect("is set");
    let began = Instant::now();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                ready(&stream);
                return stream;
            }
            Err(error) => assert!(began.elapsed() < PATIENCE, "no connection came: {error}"),
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// The last number heard, as a call for the bulletin says it.
pub fn last_heard(call: &mut TcpStream) -> u64 {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        assert_eq!(call.read(&mut byte).expect("in time"), 1, "the call ended");
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).expect("text");
    let behind = head.split("Last-Event-ID: ").nth(1).expect("names the last number");
    behind.split("\r\n").next().and_then(|no| no.parse().ok()).expect("a number")
}

/// The next message on a connection: its type, task and cause.
pub fn next(stream: &mut TcpStream) -> (u8, u64, Option<u8>) {
    let mut frames = FrameBuffer::default();
    loop {
        let mut byte = [0];
        assert_eq!(stream.read(&mut byte).expect("in time"), 1, "the connection ended");
        frames.extend(&byte);
        if let Some(frame) = frames.next_frame().expect("spoken rightly") {
            return (frame.kind, frame.task, mulleinhub_platform_protocol::cause(&frame));
        }
    }
}

/// All messages on a connection until it ends, in whatever way.
pub fn rest(mut stream: TcpStream) -> Vec<(u8, u64, Option<u8>)> {
    let (mut frames, mut bytes, mut all) = (FrameBuffer::default(), [0; 4096], Vec::new());
    while let Ok(n @ 1..) = stream.read(&mut bytes) {
        frames.extend(&bytes[..n]);
        while let Ok(Some(frame)) = frames.next_frame() {
            all.push((frame.kind, frame.task, mulleinhub_platform_protocol::cause(&frame)));
        }
    }
    all
}

pub fn set_up(task: u64) -> Vec<u8> {
    set_up_of(task, "front", "")
}

/// A set-up as owners send it; `more` goes behind the figures.
pub fn set_up_of(task: u64, class: &str, more: &str) -> Vec<u8> {
    let figures = format!("cores:1;memory:2;service:00000000b4d65521{more}");
    let mut params: Vec<(u8, &[u8])> = vec![(code::CLASS, class.as_bytes()), (code::TIMEOUT, b"2000")];
    if class == "batch" {
        params.push((code::IDEMPOTENCY_KEY, b"5c0f6e1a2b3d4c59a8b7c6d5e4f30211"));
    }
    params.push((code::NAME, b"7f3a9c21e0b4d655"));
    params.push((code::RESOURCES, figures.as_bytes()));
    params.push((code::DESCRIPTION, b"wanted"));
    written(|out| write_message(out, kind::START, task, &params))
}

/// The same, of an owner that waits for so long.
pub fn waits(set_up: Vec<u8>, ms: &str) -> Vec<u8> {
    let at = set_up.windows(6).position(|six| six == b"\x00\x042000").expect("it waits two seconds");
    let length = ms.len() as u16;
    let body = [&set_up[2..at], &length.to_be_bytes(), ms.as_bytes(), &set_up[at + 6..]].concat();
    [&(body.len() as u16).to_be_bytes()[..], &body].concat()
}

pub fn written(write: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut out = Vec::new();
    write(&mut out);
    out
}

pub fn release(task: u64, cause: u8) -> Vec<u8> {
    written(|out| write_with_cause(out, kind::RELEASE, task, cause))
}

pub fn yes(task: u64) -> Vec<u8> {
    written(|out| write_acceptance(out, task, b"made"))
}

/// All that was written on this connection before has been heard, and what came of it carried out: the second
/// test is answered in a later turn than the first.
pub fn is_heard(owner: &mut TcpStream) {
    for test in [u64::MAX - 1, u64::MAX] {
        owner.write_all(&written(|out| write_with_cause(out, kind::HEALTH_CHECK, test, 0))).expect("is sent");
        assert_eq!(next(owner), (kind::HEALTH_RESULT, test, Some(1)));
    }
}

/// A machine's entrance through which no connection comes up, until it is opened.
pub struct ShutDoor<'a> {
    door: &'a TcpListener,
    /// Connections that take all the room in which others would wait.
    waiting: Vec<TcpStream>,
}

impl<'a> ShutDoor<'a> {
    pub fn new(door: &'a TcpListener) -> Self {
        rustix::net::listen(door, 0).expect("is narrowed");
        let mut waiting = Vec::new();
        while let Ok(one) = TcpStream::connect_timeout(&address(door), Duration::from_millis(200)) {
            waiting.push(one);
        }
        Self { door, waiting }
    }

    /// Lets in who waits outside, and gives that connection.
    pub fn open(self) -> TcpStream {
        rustix::net::listen(self.door, 128).expect("is widened");
        for _ in &self.waiting {
            accepted(self.door);
        }
        accepted(self.door)
    }
}

/// A machine that takes whatever it is asked, on any number of connections.
pub fn takes_all(listener: TcpListener) {
    listener.set_nonblocking(false).expect("is set");
    while let Ok((mut way, _)) = listener.accept() {
        std::thread::spawn(move || {
            let (mut frames, mut bytes) = (FrameBuffer::default(), [0; 4096]);
            while let Ok(n @ 1..) = way.read(&mut bytes) {
                frames.extend(&bytes[..n]);
                let mut out = Vec::new();
                while let Ok(Some(frame)) = frames.next_frame() {
                    if frame.kind == kind::START {
                        write_acceptance(&mut out, frame.task, b"made");
                    }
                }
                if way.write_all(&out).is_err() {
                    return;
                }
            }
        });
    }
}

/// Whichever of these machines a connection comes to next.
pub fn accepted_by(doors: &[&TcpListener]) -> (usize, TcpStream) {
    let began = Instant::now();
    loop {
        for (at, door) in doors.iter().enumerate() {
            door.set_nonblocking(true).expect("is set");
            if let Ok((stream, _)) = door.accept() {
                ready(&stream);
                return (at, stream);
            }
        }
        assert!(began.elapsed() < PATIENCE, "no connection came");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Set-ups that came on connections which nobody accepted yet. The program has ended.
pub fn unaccepted_set_ups(door: &TcpListener) -> Vec<u64> {
    door.set_nonblocking(true).expect("is set");
    let mut all = Vec::new();
    while let Ok((stream, _)) = door.accept() {
        stream.set_nonblocking(false).expect("is set");
        all.extend(set_ups(stream));
    }
    all
}

/// Set-ups on a connection up to its end.
pub fn set_ups(stream: TcpStream) -> Vec<u64> {
    rest(stream).into_iter().filter(|(of, ..)| *of == kind::START).map(|(_, task, _)| task).collect()
}

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leaving {
    Fin,
    Rst,
    HalfClose,
    Cancel,
}

impl Leaving {
    pub const ALL: [Self; 4] = [Self::Fin, Self::Rst, Self::HalfClose, Self::Cancel];

    /// Leaves these tasks. What is given back is to be kept until the test is over. The system has carried it
    /// to the other side by then, as far as that takes it unread. Met: on a busy machine it had not, and a
    /// frozen program that was let go read the set-ups without the end behind them.
    pub fn leave(self, mut owner: TcpStream, tasks: impl Iterator<Item = u64>) -> Option<TcpStream> {
        let (own, peer) = (owner.local_addr().expect("is bound"), owner.peer_addr().expect("is up"));
        let kept = match self {
            Self::Fin => {
                drop(owner);
                None
            }
            Self::Rst => {
                let socket = rustix::net::sockopt::set_socket_linger(&owner, Some(Duration::ZERO));
                socket.expect("is set");
                drop(owner);
                None
            }
            Self::HalfClose => {
                owner.shutdown(std::net::Shutdown::Write).expect("is shut");
                Some(owner)
            }
            Self::Cancel => {
                let all: Vec<u8> = tasks.flat_map(|task| release(task, cause_code::ENDED)).collect();
                owner.write_all(&all).expect("is sent");
                Some(owner)
            }
        };
        let is_there = || match (self, Socket::of(own, peer), Socket::of(peer, own)) {
            // It lies behind more than the other side's system takes.
            (.., Some(theirs)) if theirs.unread > Socket::MUCH => true,
            (Self::Cancel, ours, _) => ours.is_none_or(|ours| ours.unacknowledged == 0),
            (.., theirs) => theirs.is_none_or(|theirs| theirs.state != Socket::ESTABLISHED),
        };
        let began = Instant::now();
        while !is_there() {
            assert!(began.elapsed() < PATIENCE, "{self:?} is not carried to the other side");
            std::thread::sleep(Duration::from_millis(1));
        }
        kept
    }
}

/// One side of a connection, as the system's table of sockets has it.
struct Socket {
    state: u8,
    /// Bytes written that the other side's system has not acknowledged.
    unacknowledged: u64,
    /// Bytes that came and were not read.
    unread: u64,
}

impl Socket {
    const ESTABLISHED: u8 = 1;
    const MUCH: u64 = 60_000;

    fn of(local: SocketAddr, remote: SocketAddr) -> Option<Self> {
        let written = |at: SocketAddr| match at {
            SocketAddr::V4(at) => format!("{:08X}:{:04X}", u32::from_ne_bytes(at.ip().octets()), at.port()),
            SocketAddr::V6(at) => panic!("{at}: only loopback of version 4 is used here"),
        };
        let (local, remote) = (written(local), written(remote));
        let table = std::fs::read_to_string("/proc/net/tcp").expect("is read");
        // Number, local, remote, state, bytes to be acknowledged and to be read.
        table.lines().map(|line| line.split_whitespace().collect::<Vec<&str>>()).find_map(|words| {
            let [_, of_local, of_remote, state, queues, ..] = words[..] else { return None };
            let (unacknowledged, unread) = queues.split_once(':')?;
            let number = |hex| u64::from_str_radix(hex, 16).expect("a number");
            (of_local == local && of_remote == remote).then(|| Self {
                state: u8::from_str_radix(state, 16).expect("a number"),
                unacknowledged: number(unacknowledged),
                unread: number(unread),
            })
        })
    }
}
