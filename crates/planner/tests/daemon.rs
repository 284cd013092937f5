//! The daemon as a process: settings, signals, metrics, and clients over real sockets.

use mulleinhub_protocol::{self as protocol, Conversation, Frames, Message, Shape};
use rustix::process::{Pid, Signal, kill_process};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(10);

/// Another address each time: a port that was free a moment ago is given to two tests now and then.
fn free() -> SocketAddr {
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
    settings_with(listen, metrics, free(), extra)
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
        Self::start_with(free(), "", 1_000)
    }

    /// With so many descriptors at the most.
    fn start_with(listen: SocketAddr, extra: &str, descriptors: u32) -> Self {
        let metrics = free();
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

    fn logs(&self, words: &str) -> bool {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            if std::fs::read_to_string(&self.log).is_ok_and(|log| log.contains(words)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        eprintln!("no {words:?} in the log: {}", std::fs::read_to_string(&self.log).unwrap_or_default());
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What the planner answers to whoever asks its metrics port.
fn get(metrics: SocketAddr, path: &str) -> String {
    let mut http = TcpStream::connect(metrics).expect("listens");
    http.write_all(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).expect("is written");
    let mut text = String::new();
    http.read_to_string(&mut text).expect("is read");
    text
}

/// Asks until the answer has these words.
fn get_until(metrics: SocketAddr, path: &str, words: &str) -> String {
    let until = Instant::now() + PATIENCE;
    loop {
        let text = get(metrics, path);
        if text.contains(words) {
            return text;
        }
        assert!(Instant::now() < until, "{path} has no {words}: {text}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A list service that tells these frames to each planner that connects, and then reads on.
fn list_service(frames: Vec<u8>) -> SocketAddr {
    let host = Ipv4Addr::new(127, 0, 7, 250);
    let listener = TcpListener::bind((host, 0)).expect("a free port");
    let at = listener.local_addr().expect("has one");
    std::thread::spawn(move || {
        let mut told = Vec::new();
        let welcome = Message::Welcome {
            version: 1,
            features: protocol::LIST_PIECES,
            name: "list",
            life: 1,
            silence: None,
        };
        protocol::encode(&welcome, &mut told);
        told.extend(frames);
        for tcp in listener.incoming() {
            let Ok(mut tcp) = tcp else { return };
            let told = told.clone();
            std::thread::spawn(move || {
                let _ = tcp.write_all(&told);
                let _ = std::io::copy(&mut tcp, &mut std::io::sink());
            });
        }
    });
    at
}

/// The frames of a list of so many machines, none of which can be reached.
fn list_of(machines: u64) -> Vec<u8> {
    let closed = free().to_string();
    let entry = |machine| protocol::Entry {
        machine,
        address: &closed,
        kind: 0,
        cell: 0,
        zone: 0,
        // Such a machine is not connected to: the tests that use this are about the list alone.
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
    fn meets(at: SocketAddr) -> Self {
        let until = Instant::now() + PATIENCE;
        let tcp = loop {
            match TcpStream::connect(at) {
                Ok(tcp) => break tcp,
                Err(error) => assert!(Instant::now() < until, "{at}: {error}"),
            }
            std::thread::sleep(Duration::from_millis(20));
        };
        tcp.set_read_timeout(Some(PATIENCE)).expect("is set");
        let mut client = Self { tcp, frames: Frames::default() };
        client.says(&Message::hello(Conversation::ClientPlanner, 0, "test", 1, 0));
        assert!(client.hears().starts_with("Welcome"));
        client
    }

    fn says(&mut self, message: &Message<'_>) {
        let mut bytes = Vec::new();
        protocol::encode(message, &mut bytes);
        self.tcp.write_all(&bytes).expect("is written");
    }

    /// The next message, as it prints.
    fn hears(&mut self) -> String {
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

    fn asks(&mut self, task: u64) {
        let shape = Shape { key: task, use_case: 0, service: 1, cores: 1.0, memory: 1.0, again: false };
        self.says(&Message::Ask { task, shape, patience: 1_500_000_000, clock: 0 });
    }
}

#[test]
fn it_answers_all_in_hand_before_it_ends_and_takes_nothing_new() {
    let mut daemon = Daemon::start();
    let mut client = Client::meets(daemon.listen);
    client.asks(1);
    assert_eq!(client.hears(), "Taken { task: 1 }");
    daemon.signal(Signal::TERM);
    assert!(daemon.logs("no new tasks are accepted"));
    client.asks(2);
    assert_eq!(client.hears(), "Nacked { task: 2, stay_away: 0 }");
    assert_eq!(client.hears(), "Nacked { task: 1, stay_away: 0 }", "no machine is known");
    assert!(daemon.child.wait().expect("ends").success());
}

#[test]
fn it_reads_its_settings_again_and_keeps_the_old_ones_where_the_new_are_faulty() {
    let daemon = Daemon::start();
    let mut client = Client::meets(daemon.listen);
    std::fs::write(&daemon.settings, "name p1\nlisen 127.0.0.1:1\n").expect("is written");
    daemon.signal(Signal::HUP);
    assert!(daemon.logs("keeping the current ones") && daemon.logs("did you mean listen?"));
    client.asks(1);
    assert_eq!(client.hears(), "Taken { task: 1 }");
    let text = settings(daemon.listen, daemon.metrics, "hall 1\n");
    std::fs::write(&daemon.settings, text).expect("is written");
    daemon.signal(Signal::HUP);
    assert!(
        daemon.logs("settings reloaded") && daemon.logs("prices"),
        "a hall changes with the next start only"
    );
}

#[test]
fn it_tells_metrics_and_refuses_a_second_one_on_its_port() {
    let daemon = Daemon::start();
    let mut client = Client::meets(daemon.listen);
    client.asks(1);
    client.hears();
    let mut http = TcpStream::connect(daemon.metrics).expect("listens");
    http.write_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").expect("is written");
    let mut text = String::new();
    http.read_to_string(&mut text).expect("is read");
    assert!(text.starts_with("HTTP/1.1 200 OK") && text.contains("mulleinhub_tasks_taken 1"), "{text}");
    assert!(text.contains("take_to_answer_seconds_bucket{le=\"0.25\"} 0"), "{text}");
    let second = Command::new(env!("CARGO_BIN_EXE_mulleinhub-planner")).arg(&daemon.settings).output();
    let second = second.expect("runs");
    let told = String::from_utf8_lossy(&second.stderr).into_owned();
    assert!(!second.status.success() && told.contains("listen 127.0.7."), "{told}");
}

#[test]
fn faulty_settings_are_told_whole_and_nothing_starts() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("planner.conf");
    let text = "name p1\nlisten 8.8.8.8:53\nlist x\nuse-case web {\n soft-limit 5\n efect replayable\n}\n";
    std::fs::write(&path, text).expect("is written");
    let done = Command::new(env!("CARGO_BIN_EXE_mulleinhub-planner")).arg(&path).output().expect("runs");
    let told = String::from_utf8_lossy(&done.stderr).into_owned();
    assert!(!done.status.success());
    for words in [
        "only loopback addresses",
        "planner.conf:2:8",
        "needs a unit",
        "planner.conf:5:13",
        "did you mean effect?",
        "client-timeout is missing",
    ] {
        assert!(told.contains(words), "{words}:\n{told}");
    }
    let none = Command::new(env!("CARGO_BIN_EXE_mulleinhub-planner")).arg(Path::new("/nowhere")).output();
    assert!(!none.expect("runs").status.success());
}

#[test]
fn with_all_descriptors_taken_a_task_in_hand_keeps_its_connection_and_machines_keep_theirs() {
    let daemon = Daemon::start_with(free(), "", 60);
    let mut busy = Client::meets(daemon.listen);
    busy.asks(1);
    assert_eq!(busy.hears(), "Taken { task: 1 }");
    // 60 descriptors, of which 15 are kept: of 100 that greet and say nothing, those longest silent go.
    let mut idle: Vec<Client> = (0..100).map(|_| Client::meets(daemon.listen)).collect();
    assert_eq!(
        idle[0].hears(),
        r#"Bye { words: "room was needed and this connection was idle; come again later" }"#
    );
    assert_eq!(busy.hears(), "Nacked { task: 1, stay_away: 0 }", "its answer comes where it asked");
    let last = idle.last_mut().expect("a hundred");
    last.asks(2);
    assert_eq!(last.hears(), "Taken { task: 2 }");
    let log = std::fs::read_to_string(&daemon.log).expect("a log");
    assert!(!log.contains("can't be accepted"), "the limit is kept before it is met: {log}");
}

#[test]
fn two_planners_listen_at_one_port_and_each_has_its_part_of_the_connections() {
    let listen = free();
    let shared = "listen-shared yes\n";
    let one = Daemon::start_with(listen, shared, 1_000);
    let two = Daemon::start_with(listen, shared, 1_000);
    assert!(one.logs("planner started name") && two.logs("planner started name"));
    let clients: Vec<Client> = (0..60).map(|_| Client::meets(listen)).collect();
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
fn it_tells_that_it_is_not_ready_where_its_list_can_not_be_read_and_nacks_at_once() {
    let (listen, metrics) = (free(), free());
    // The last piece is lost, and the first comes again.
    let mut frames = list_of(10_000);
    let first = u32::from_be_bytes(*frames.first_chunk().expect("a length")) as usize + 4;
    let piece = frames[..first].to_vec();
    frames.truncate(first);
    frames.extend(piece);
    let text = settings_with(listen, metrics, list_service(frames), "");
    let daemon = Daemon::start_as(listen, metrics, &text, 1_000);
    assert!(daemon.logs("the list can't be read: piece 0 of list version 7 where 1 comes next"));
    let told = get_until(metrics, "/ready", "can't be read");
    assert!(told.starts_with("HTTP/1.1 503 ") && told.ends_with("; no list is known\n"), "{told}");
    assert!(get(metrics, "/health").starts_with("HTTP/1.1 200 OK"), "the process itself is well");
    assert!(get(metrics, "/metrics").contains("mulleinhub_ready 0"));
    let mut client = Client::meets(listen);
    client.asks(1);
    assert!(client.hears().starts_with("Nacked { task: 1"), "not at its deadline");
    client.says(&Message::StatusAsk {});
    assert!(client.hears().contains("not ready: the list can't be read"));
}

#[test]
fn it_keeps_a_list_of_ten_thousand_machines_on_its_disk_and_starts_with_it() {
    let (listen, metrics) = (free(), free());
    let folder = tempfile::tempdir().expect("a folder");
    let state = format!("state-dir {}\n", folder.path().join("state").display());
    let text = settings_with(listen, metrics, list_service(list_of(10_000)), &state);
    let daemon = Daemon::start_as(listen, metrics, &text, 1_000);
    assert!(daemon.logs("planner started name"));
    get_until(metrics, "/metrics", "mulleinhub_machines 10000");
    let kept = folder.path().join("state/list");
    let until = Instant::now() + PATIENCE;
    while !kept.exists() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    let bytes = std::fs::read(&kept).expect("is kept");
    assert_eq!(protocol::decode_list(&bytes).expect("is a list").entries().len(), 10_000);
    drop(daemon);
    // The list service is away, and the list is there.
    let text = settings_with(listen, metrics, free(), &state);
    let daemon = Daemon::start_as(listen, metrics, &text, 1_000);
    assert!(daemon.logs("planner started name"));
    get_until(metrics, "/metrics", "mulleinhub_machines 10000");
}
