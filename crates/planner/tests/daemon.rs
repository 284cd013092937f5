//! The daemon as a process: settings, signals, metrics, and clients over real sockets.

use mulleinhub_protocol::{self as protocol, Conversation, Frames, Message, Shape};
use rustix::process::{Pid, Signal, kill_process};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(10);

/// An unused address on another host each time. Seen: two tests got the same port that was free a moment ago.
fn unused_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let host = Ipv4Addr::new(127, 0, 7, NEXT.fetch_add(1, Ordering::Relaxed));
    TcpListener::bind((host, 0)).and_then(|l| l.local_addr()).expect("a free port")
}

struct Daemon {
    child: Child,
    log: PathBuf,
    settings: PathBuf,
    listen: SocketAddr,
    metrics: SocketAddr,
    _folder: tempfile::TempDir,
}

fn settings(listen: SocketAddr, metrics: SocketAddr, extra: &str) -> String {
    settings_with(listen, metrics, unused_address(), extra)
}

fn settings_with(listen: SocketAddr, metrics: SocketAddr, list: SocketAddr, extra: &str) -> String {
    format!(
        "name p1\nlisten {listen}\nmetrics {metrics}\nlist \"{list}\"\n\
         kind small {{\n cores 4\n memory 8GiB\n}}\n\
         use-case web {{\n soft-limit 300ms\n client-timeout 1500ms\n effect replayable\n}}\n\
         links {{\n start-wait 100ms\n}}\n{extra}"
    )
}

impl Daemon {
    fn start() -> Self {
        Self::start_with(unused_address(), "", 1_000)
    }

    /// With this descriptor limit.
    fn start_with(listen: SocketAddr, extra: &str, descriptors: u32) -> Self {
        let metrics = unused_address();
        Self::start_as(listen, metrics, &settings(listen, metrics, extra), descriptors)
    }

    fn start_as(listen: SocketAddr, metrics: SocketAddr, text: &str, descriptors: u32) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("planner.conf");
        std::fs::write(&path, text).expect("is written");
        let log = folder.path().join("log");
        let out = std::fs::File::create(&log).expect("is made");
        let child = Command::new("sh")
            .args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\" \"$1\"")])
            .arg(env!("CARGO_BIN_EXE_mulleinhub-planner"))
            .arg(&path)
            .stdout(Stdio::null())
            .stderr(out)
            .spawn()
            .expect("starts");
        Self { child, log, settings: path, listen, metrics, _folder: folder }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("a process");
        kill_process(pid, signal).expect("is there");
    }

    /// Whether the log contains this text in time.
    fn wait_for_log(&self, expected: &str) -> bool {
        let until = Instant::now() + TIMEOUT;
        while Instant::now() < until {
            if std::fs::read_to_string(&self.log).is_ok_and(|log| log.contains(expected)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        eprintln!("no {expected:?} in the log: {}", std::fs::read_to_string(&self.log).unwrap_or_default());
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The response of the planner's HTTP endpoint.
fn get(metrics: SocketAddr, path: &str) -> String {
    let mut http = TcpStream::connect(metrics).expect("listens");
    http.write_all(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).expect("is written");
    let mut text = String::new();
    http.read_to_string(&mut text).expect("is read");
    text
}

/// Repeats the request until the response contains this text.
fn get_until(metrics: SocketAddr, path: &str, expected: &str) -> String {
    let until = Instant::now() + TIMEOUT;
    loop {
        let text = get(metrics, path);
        if text.contains(expected) {
            return text;
        }
        assert!(Instant::now() < until, "{path} has no {expected}: {text}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A list service that sends these frames to each planner that connects, and then only reads.
fn list_service(frames: Vec<u8>) -> SocketAddr {
    let host = Ipv4Addr::new(127, 0, 7, 250);
    let listener = TcpListener::bind((host, 0)).expect("a free port");
    let at = listener.local_addr().expect("has one");
    std::thread::spawn(move || {
        let mut reply = Vec::new();
        let welcome = Message::Welcome {
            version: 1,
            features: protocol::LIST_PIECES,
            name: "list",
            life: 1,
            silence: None,
        };
        protocol::encode(&welcome, &mut reply);
        reply.extend(frames);
        for tcp in listener.incoming() {
            let Ok(mut tcp) = tcp else { return };
            let reply = reply.clone();
            std::thread::spawn(move || {
                let _ = tcp.write_all(&reply);
                let _ = std::io::copy(&mut tcp, &mut std::io::sink());
            });
        }
    });
    at
}

/// The frames of a list of so many machines, all of them unreachable.
fn list_of(machines: u64) -> Vec<u8> {
    let closed = unused_address().to_string();
    let entry = |machine| protocol::Entry {
        machine,
        address: &closed,
        kind: 0,
        cell: 0,
        zone: 0,
        // Planners don't connect to a draining machine: these tests concern the list alone.
        mode: protocol::Mode::Leaving,
        life: 1,
        up_for: None,
        cores_left: Some(4.0),
        memory_left: Some(8.0),
    };
    let entries: Vec<_> = (1..=machines).map(entry).collect();
    let mut frames = Vec::new();
    protocol::encode_list(protocol::ListKind::Whole, 7, &entries, &mut frames);
    frames
}

struct Client {
    tcp: TcpStream,
    frames: Frames,
}

impl Client {
    fn connect(at: SocketAddr) -> Self {
        let until = Instant::now() + TIMEOUT;
        let tcp = loop {
            match TcpStream::connect(at) {
                Ok(tcp) => break tcp,
                Err(error) => assert!(Instant::now() < until, "{at}: {error}"),
            }
            std::thread::sleep(Duration::from_millis(20));
        };
        tcp.set_read_timeout(Some(TIMEOUT)).expect("is set");
        let mut client = Self { tcp, frames: Frames::default() };
        client.send(&Message::hello(Conversation::ClientPlanner, 0, "test", 1, 0));
        assert!(client.receive().starts_with("Welcome"));
        client
    }

    fn send(&mut self, message: &Message<'_>) {
        let mut bytes = Vec::new();
        protocol::encode(message, &mut bytes);
        self.tcp.write_all(&bytes).expect("is written");
    }

    /// The next message, in its debug format.
    fn receive(&mut self) -> String {
        let mut buffer = [0; 4096];
        loop {
            if let Some(frame) = self.frames.next_frame().expect("are frames") {
                return format!("{:?}", protocol::decode(frame).expect("is a message"));
            }
            let n = self.tcp.read(&mut buffer).expect("is read");
            assert!(n > 0, "the connection ended");
            self.frames.take(&buffer[..n]);
        }
    }

    fn request(&mut self, task: u64) {
        let shape = Shape { key: task, use_case: 0, service: 1, cores: 1.0, memory: 1.0, again: false };
        self.send(&Message::Ask { task, shape, patience: 1_500_000_000, clock: 0 });
    }
}

#[test]
fn sigterm_answers_tasks_in_flight_and_rejects_new_ones() {
    let mut daemon = Daemon::start();
    let mut client = Client::connect(daemon.listen);
    client.request(1);
    assert_eq!(client.receive(), "Taken { task: 1 }");
    daemon.signal(Signal::TERM);
    assert!(daemon.wait_for_log("no new tasks are accepted"));
    client.request(2);
    assert_eq!(client.receive(), "Nacked { task: 2, stay_away: 0 }");
    assert_eq!(client.receive(), "Nacked { task: 1, stay_away: 0 }", "no machine is known");
    assert!(daemon.child.wait().expect("ends").success());
}

#[test]
fn sighup_reloads_settings_and_keeps_current_ones_when_invalid() {
    let daemon = Daemon::start();
    let mut client = Client::connect(daemon.listen);
    std::fs::write(&daemon.settings, "name p1\nlisen 127.0.0.1:1\n").expect("is written");
    daemon.signal(Signal::HUP);
    assert!(daemon.wait_for_log("keeping the current ones") && daemon.wait_for_log("did you mean listen?"));
    client.request(1);
    assert_eq!(client.receive(), "Taken { task: 1 }");
    let text = settings(daemon.listen, daemon.metrics, "hall 1\n");
    std::fs::write(&daemon.settings, text).expect("is written");
    daemon.signal(Signal::HUP);
    assert!(
        daemon.wait_for_log("settings reloaded") && daemon.wait_for_log("prices"),
        "a hall changes with the next start only"
    );
}

#[test]
fn metrics_are_served_and_second_planner_on_the_port_fails() {
    let daemon = Daemon::start();
    let mut client = Client::connect(daemon.listen);
    client.request(1);
    client.receive();
    let mut http = TcpStream::connect(daemon.metrics).expect("listens");
    http.write_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").expect("is written");
    let mut text = String::new();
    http.read_to_string(&mut text).expect("is read");
    assert!(text.starts_with("HTTP/1.1 200 OK") && text.contains("mulleinhub_tasks_taken 1"), "{text}");
    assert!(text.contains("take_to_answer_seconds_bucket{le=\"0.25\"} 0"), "{text}");
    let second = Command::new(env!("CARGO_BIN_EXE_mulleinhub-planner")).arg(&daemon.settings).output();
    let second = second.expect("runs");
    let reply = String::from_utf8_lossy(&second.stderr).into_owned();
    assert!(!second.status.success() && reply.contains("listen 127.0.7."), "{reply}");
}

#[test]
fn invalid_settings_are_reported_completely_and_prevent_start() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("planner.conf");
    let text = "name p1\nlisten 8.8.8.8:53\nlist x\nuse-case web {\n soft-limit 5\n efect replayable\n}\n";
    std::fs::write(&path, text).expect("is written");
    let done = Command::new(env!("CARGO_BIN_EXE_mulleinhub-planner")).arg(&path).output().expect("runs");
    let reply = String::from_utf8_lossy(&done.stderr).into_owned();
    assert!(!done.status.success());
    for expected in [
        "only loopback addresses",
        "planner.conf:2:8",
        "needs a unit",
        "planner.conf:5:13",
        "did you mean effect?",
        "client-timeout is missing",
    ] {
        assert!(reply.contains(expected), "{expected}:\n{reply}");
    }
    let none = Command::new(env!("CARGO_BIN_EXE_mulleinhub-planner")).arg(Path::new("/nowhere")).output();
    assert!(!none.expect("runs").status.success());
}

#[test]
fn descriptor_limit_evicts_idle_clients_but_no_active_connection() {
    let daemon = Daemon::start_with(unused_address(), "", 60);
    let mut busy = Client::connect(daemon.listen);
    busy.request(1);
    assert_eq!(busy.receive(), "Taken { task: 1 }");
    // 60 descriptors, of which 15 are reserved: of 100 idle clients, those idle the longest are evicted.
    let mut idle: Vec<Client> = (0..100).map(|_| Client::connect(daemon.listen)).collect();
    assert_eq!(
        idle[0].receive(),
        r#"Bye { words: "room was needed and this connection was idle; come again later" }"#
    );
    assert_eq!(busy.receive(), "Nacked { task: 1, stay_away: 0 }", "its answer comes where it asked");
    let last = idle.last_mut().expect("a hundred");
    last.request(2);
    assert_eq!(last.receive(), "Taken { task: 2 }");
    let log = std::fs::read_to_string(&daemon.log).expect("a log");
    assert!(!log.contains("can't be accepted"), "the limit is kept before it is met: {log}");
}

#[test]
fn shared_port_distributes_connections_over_two_planners() {
    let listen = unused_address();
    let shared = "listen-shared yes\n";
    let one = Daemon::start_with(listen, shared, 1_000);
    let two = Daemon::start_with(listen, shared, 1_000);
    assert!(one.wait_for_log("planner started name") && two.wait_for_log("planner started name"));
    let clients: Vec<Client> = (0..60).map(|_| Client::connect(listen)).collect();
    let open = |daemon: &Daemon| {
        let mut http = TcpStream::connect(daemon.metrics).expect("listens");
        http.write_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").expect("is written");
        let mut text = String::new();
        http.read_to_string(&mut text).expect("is read");
        let line = text.lines().find_map(|line| line.strip_prefix("mulleinhub_clients "));
        line.and_then(|count| count.parse::<usize>().ok()).expect("is told")
    };
    let (one, two) = (open(&one), open(&two));
    assert!(one + two == clients.len() && one >= 10 && two >= 10, "{one} and {two}");
}

#[test]
fn unreadable_list_makes_planner_unready_and_rejects_tasks_at_once() {
    let (listen, metrics) = (unused_address(), unused_address());
    // The last piece is lost, and the first one is repeated.
    let mut frames = list_of(10_000);
    let first = u32::from_be_bytes(*frames.first_chunk().expect("a length")) as usize + 4;
    let piece = frames[..first].to_vec();
    frames.truncate(first);
    frames.extend(piece);
    let text = settings_with(listen, metrics, list_service(frames), "");
    let daemon = Daemon::start_as(listen, metrics, &text, 1_000);
    assert!(daemon.wait_for_log("the list can't be read: piece 0 of list version 7 where 1 comes next"));
    let reply = get_until(metrics, "/ready", "can't be read");
    assert!(reply.starts_with("HTTP/1.1 503 ") && reply.ends_with("; no list is known\n"), "{reply}");
    assert!(get(metrics, "/health").starts_with("HTTP/1.1 200 OK"), "the process itself is well");
    assert!(get(metrics, "/metrics").contains("mulleinhub_ready 0"));
    let mut client = Client::connect(listen);
    client.request(1);
    assert!(client.receive().starts_with("Nacked { task: 1"), "not at its deadline");
    client.send(&Message::StatusAsk {});
    assert!(client.receive().contains("not ready: the list can't be read"));
}

#[test]
fn cached_list_of_ten_thousand_machines_survives_restart() {
    let (listen, metrics) = (unused_address(), unused_address());
    let folder = tempfile::tempdir().expect("a folder");
    let state = format!("state-dir {}\n", folder.path().join("state").display());
    let text = settings_with(listen, metrics, list_service(list_of(10_000)), &state);
    let daemon = Daemon::start_as(listen, metrics, &text, 1_000);
    assert!(daemon.wait_for_log("planner started name"));
    get_until(metrics, "/metrics", "mulleinhub_machines 10000");
    let cached_list = folder.path().join("state/list");
    let until = Instant::now() + TIMEOUT;
    while !cached_list.exists() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    let bytes = std::fs::read(&cached_list).expect("is kept");
    assert_eq!(protocol::decode_list(&bytes).expect("is a list").entries().len(), 10_000);
    drop(daemon);
    // The list service is down, and the cached list is used.
    let text = settings_with(listen, metrics, unused_address(), &state);
    let daemon = Daemon::start_as(listen, metrics, &text, 1_000);
    assert!(daemon.wait_for_log("planner started name"));
    get_until(metrics, "/metrics", "mulleinhub_machines 10000");
}
