//! Test harness for the platform mode: the built program as a process, and scripted clients, machines and
//! list services around it, over loopback sockets.
//!
//! Tests force the order of events: a paused process reads nothing, and a blocked listener lets no connection
//! be established.
#![allow(dead_code, reason = "each test file uses its part")]

pub mod disconnect;
pub mod faults;
pub mod fleet;
pub mod load;
pub mod log_lines;
mod messages;

pub use messages::*;

use mulleinhub_platform_protocol::{
    FrameBuffer, cause_code, code, kind, write_acceptance, write_message, write_with_cause,
};
use rustix::process::{Pid, Signal, kill_process};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// How long a test waits for anything before it fails.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// Ports that schedulers listen at: below those that systems give by themselves.
const FIRST_PORT: u16 = 20_000;
const PORTS: u32 = 10_000;

/// The variable that says what the program logs; everything, where a test does not set it.
const LOG_LEVEL_VARIABLE: &str = "RUST_LOG";

/// A listener on a free port of a loopback address of its own.
pub fn listener(host: u8) -> TcpListener {
    TcpListener::bind(("127.0.9.".to_owned() + &host.to_string(), 0)).expect("a free port")
}

/// A loopback address that no other scheduler of this process has, with a port that no system gives by itself. Guards
/// against: a port that was bound to find a free one was given to two tests; and a process that was being started by
/// another test held it open for a moment, so that a client connected there and was reset.
fn unused_address() -> SocketAddr {
    static NEXT_HOST: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT_HOST.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    // Another port for each test process, as two may run at a time.
    let port = FIRST_PORT + (std::process::id() % PORTS) as u16;
    SocketAddr::from((Ipv4Addr::new(127, 8, high, low), port))
}

pub fn address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("is bound")
}

/// One entry of the endpoint list, as JSON.
pub fn list_entry(uid: &str, at: SocketAddr, state: &str, boot_ms: u64) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{at}","az":"hall","model":"big","pod_group":0,"state":"{state}",{}}}"#,
        format_args!(r#""boot_ms":{boot_ms},"room":[32.0,64.0]"#)
    )
}

/// An event of the endpoint list, as JSON: a snapshot if `all` is set, else changes.
pub fn list_event(number: u64, all: bool, entries: &[String]) -> String {
    format!(r#"{{"no":{number},"roster":{{"rev":{number},"all":{all},"targets":[{}]}}}}"#, entries.join(","))
}

/// The changes as a server-sent event.
pub fn sse_event(number: u64, entries: &[String]) -> Vec<u8> {
    format!("id: {number}\ndata: {}\n\n", list_event(number, false, entries)).into_bytes()
}

/// A configuration with one known machine.
pub fn config(machine: SocketAddr, list_service: SocketAddr) -> String {
    let known = list_event(1, true, &[list_entry("s-1", machine, "in_service", 0)]);
    format!(
        r#"{{"name":"n0","listen":"127.0.9.1:0","seed":"8c1f30d27a5be964","bulletin":"{list_service}",
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

/// Long timeouts, so that only the test itself ends an attempt: connections may take ten seconds to be
/// established, clients wait for a minute.
pub fn with_long_timeouts(config: String) -> String {
    config
        .replace("\"connectTimeout\":250000000", "\"connectTimeout\":10000000000")
        .replace("\"deadline\":2500000000", "\"deadline\":60000000000")
}

/// A scheduler process on the platform, and the listeners of its machine and its list service.
pub struct Scheduler {
    child: Child,
    pub config: PathBuf,
    log: PathBuf,
    pub listen: SocketAddr,
    pub machine: TcpListener,
    pub list_service: TcpListener,
    _folder: tempfile::TempDir,
}

pub fn start(config: &std::path::Path, listen: SocketAddr, log: std::fs::File) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mulleinhub-planner"));
    command.arg("platform");
    start_by(command, config, listen, log)
}

fn start_by(mut command: Command, config: &std::path::Path, listen: SocketAddr, log: std::fs::File) -> Child {
    command.env("LB_CONFIG", config).env("LB_LISTEN", listen.to_string()).env("LB_NAME", "n0");
    if !command.get_envs().any(|(name, _)| name == LOG_LEVEL_VARIABLE) {
        command.env(LOG_LEVEL_VARIABLE, "debug");
    }
    command.stdout(Stdio::null()).stderr(log).spawn().expect("starts")
}

impl Scheduler {
    pub fn start() -> Self {
        Self::with_config(|config| config)
    }

    /// With a changed configuration.
    pub fn with_config(change: impl Fn(String) -> String) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mulleinhub-planner"));
        command.arg("platform");
        Self::started_by(command, change)
    }

    /// With a changed configuration, and the log that it has in service.
    pub fn in_service(change: impl Fn(String) -> String) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mulleinhub-planner"));
        command.arg("platform").env(LOG_LEVEL_VARIABLE, "info");
        Self::started_by(command, change)
    }

    /// The most memory that the process has had, in megabytes.
    pub fn peak_memory_mb(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("it runs");
        let kilobytes: f64 =
            line.split_whitespace().next().and_then(|number| number.parse().ok()).expect("a number");
        kilobytes / 1024.0
    }

    /// With this descriptor limit, whatever the configuration says.
    pub fn with_descriptors(descriptors: usize) -> Self {
        Self::with_limits(Some(descriptors), |config| config)
    }

    /// With a descriptor limit and a changed configuration.
    pub fn with_limits(descriptors: Option<usize>, change: impl Fn(String) -> String) -> Self {
        let Some(descriptors) = descriptors else { return Self::with_config(change) };
        let mut command = Command::new("sh");
        let program = env!("CARGO_BIN_EXE_mulleinhub-planner");
        command.args(["-c", &format!("ulimit -n {descriptors} && exec {program} platform")]);
        Self::started_by(command, change)
    }

    /// Listens at this address.
    pub fn listening_at(listen: SocketAddr) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mulleinhub-planner"));
        command.arg("platform");
        Self::start_at(command, listen, |config| config)
    }

    /// Starts a new process at the same address, with the same configuration.
    pub fn start_successor(&self) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mulleinhub-planner"));
        command.arg("platform");
        let config = std::fs::read_to_string(&self.config).expect("is read");
        Self::start_at(command, self.listen, |_| config.clone())
    }

    /// Started by this command, with a changed configuration.
    pub fn started_by(command: Command, change: impl Fn(String) -> String) -> Self {
        Self::start_at(command, unused_address(), change)
    }

    fn start_at(command: Command, listen: SocketAddr, change: impl Fn(String) -> String) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let (machine, list_service) = (listener(2), listener(3));
        let path = folder.path().join("config.json");
        std::fs::write(&path, change(config(address(&machine), address(&list_service)))).expect("is written");
        let log = folder.path().join("log");
        let child = start_by(command, &path, listen, std::fs::File::create(&log).expect("is made"));
        Self { child, config: path, log, listen, machine, list_service, _folder: folder }
    }

    /// A new client connection.
    pub fn connect(&self) -> TcpStream {
        let started_at = Instant::now();
        loop {
            match TcpStream::connect(self.listen) {
                Ok(client) => {
                    configure(&client);
                    return client;
                }
                Err(error) => assert!(started_at.elapsed() < TIMEOUT, "{error}: {}", self.log()),
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

    /// Stops the process (SIGSTOP) and waits until it stands: bytes written to it stay unread.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.child.id());
        let is_stopped = || {
            let stat = std::fs::read_to_string(&stat).expect("it is there");
            stat.rsplit(')').next().is_some_and(|state| state.trim_start().starts_with('T'))
        };
        while !is_stopped() {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits until the log contains this text.
    pub fn wait_for_log(&self, text: &str) {
        let started_at = Instant::now();
        while !self.log().contains(text) {
            assert!(started_at.elapsed() < TIMEOUT, "{text:?} is not in the log: {}", self.log());
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// The exit status, once the process has exited in time.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let started_at = Instant::now();
        while started_at.elapsed() < TIMEOUT {
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
    pub fn accept_machine(&self) -> TcpStream {
        accept_connection(&self.machine)
    }

    /// Accepts the next list watch and answers its head. Returns its connection and its last event id.
    pub fn accept_watch(&self) -> (TcpStream, u64) {
        let mut watch = accept_connection(&self.list_service);
        let last = read_last_event_id(&mut watch);
        watch
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: \n\n")
            .expect("is sent");
        (watch, last)
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Bytes are sent at once, also while a paused process acknowledges nothing.
fn configure(stream: &TcpStream) {
    stream.set_nodelay(true).expect("is set");
    stream.set_nonblocking(false).expect("is set");
    stream.set_read_timeout(Some(TIMEOUT)).expect("is set");
}

/// The next connection, within the timeout.
pub fn accept_connection(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).expect("is set");
    let started_at = Instant::now();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                configure(&stream);
                return stream;
            }
            Err(error) => assert!(started_at.elapsed() < TIMEOUT, "no connection came: {error}"),
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Reads the request of a list watch, and returns its last event id.
pub fn read_last_event_id(watch: &mut TcpStream) -> u64 {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        assert_eq!(watch.read(&mut byte).expect("in time"), 1, "the watch ended");
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).expect("text");
    let id = head.split("Last-Event-ID: ").nth(1).expect("has a last event id");
    id.split("\r\n").next().and_then(|number| number.parse().ok()).expect("a number")
}

/// A machine's listener with a full backlog: no connection is established until it is opened.
pub struct BlockedListener<'a> {
    listener: &'a TcpListener,
    /// Connections that fill the backlog.
    waiting: Vec<TcpStream>,
}

impl<'a> BlockedListener<'a> {
    pub fn new(listener: &'a TcpListener) -> Self {
        rustix::net::listen(listener, 0).expect("is narrowed");
        let mut waiting = Vec::new();
        while let Ok(connection) = TcpStream::connect_timeout(&address(listener), Duration::from_millis(200))
        {
            waiting.push(connection);
        }
        Self { listener, waiting }
    }

    /// Unblocks the listener, and returns the connection that waited.
    pub fn open(self) -> TcpStream {
        rustix::net::listen(self.listener, 128).expect("is widened");
        for _ in &self.waiting {
            accept_connection(self.listener);
        }
        accept_connection(self.listener)
    }
}

/// A machine that accepts every task, on any number of connections.
pub fn accept_all_tasks(listener: TcpListener) {
    listener.set_nonblocking(false).expect("is set");
    while let Ok((mut machine_connection, _)) = listener.accept() {
        std::thread::spawn(move || {
            let (mut frames, mut bytes) = (FrameBuffer::default(), [0; 4096]);
            while let Ok(n @ 1..) = machine_connection.read(&mut bytes) {
                frames.extend(&bytes[..n]);
                let mut out = Vec::new();
                while let Ok(Some(frame)) = frames.next_frame() {
                    if frame.kind == kind::START {
                        write_acceptance(&mut out, frame.task, b"made");
                    }
                }
                if machine_connection.write_all(&out).is_err() {
                    return;
                }
            }
        });
    }
}

/// The next connection to any of these machines, with the index of the machine.
pub fn accept_from_any(listeners: &[&TcpListener]) -> (usize, TcpStream) {
    let started_at = Instant::now();
    loop {
        for (at, listener) in listeners.iter().enumerate() {
            listener.set_nonblocking(true).expect("is set");
            if let Ok((stream, _)) = listener.accept() {
                configure(&stream);
                return (at, stream);
            }
        }
        assert!(started_at.elapsed() < TIMEOUT, "no connection came");
        std::thread::sleep(Duration::from_millis(2));
    }
}
