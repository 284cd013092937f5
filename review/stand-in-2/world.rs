//! What all cases use: the record, the platform's messages, and the scheduler as a process.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const START: u8 = 1;
pub const PROGRESS: u8 = 6;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;
pub const HEARD: u8 = 16;
pub const NOTE: u8 = 44;
pub const MOVE: u8 = 51;
pub const TEST: u8 = 52;
pub const TESTED: u8 = 53;

pub const CLASS: u8 = 100;
pub const WAIT: u8 = 103;
pub const NAME: u8 = 112;
pub const FIGURES: u8 = 115;
pub const TOPIC: u8 = 121;
pub const FIGURE: u8 = 136;
pub const CAUSE: u8 = 142;
pub const DESCRIPTION: u8 = 145;

/// The clock and the record of a run.
pub struct World {
    started: Instant,
    record: Mutex<File>,
    pub folder: PathBuf,
    pub trouble: bool,
}

impl World {
    pub fn new(case: &Path) -> Arc<Self> {
        let record = File::create(case.join("record.txt")).expect("the record can be written");
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let unique = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_nanos();
        let folder = std::env::temp_dir().join(format!("review-2-{}-{unique}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let world = Self { started: Instant::now(), record: Mutex::new(record), folder, trouble };
        world.log("run", &format!("TROUBLE={}", u8::from(world.trouble)));
        Arc::new(world)
    }

    /// Milliseconds since the start of the run.
    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn log(&self, who: &str, what: &str) {
        let line = format!("{:>7} ms  {who}: {what}\n", self.ms());
        self.record.lock().unwrap().write_all(line.as_bytes()).expect("the record can be written");
    }

    /// Waits until this holds, at most so long. Returns whether it does.
    pub fn wait(&self, limit_ms: u64, mut holds: impl FnMut() -> bool) -> bool {
        let until = self.ms() + limit_ms;
        loop {
            if holds() {
                return true;
            }
            if self.ms() >= until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn pause(&self, ms: u64) {
        std::thread::sleep(Duration::from_millis(ms));
    }
}

#[derive(Clone, Debug)]
pub struct Message {
    pub kind: u8,
    pub task: u64,
    pub params: Vec<(u8, Vec<u8>)>,
}

impl Message {
    pub fn new(kind: u8, task: u64) -> Self {
        Self { kind, task, params: Vec::new() }
    }

    pub fn with(mut self, code: u8, value: impl AsRef<[u8]>) -> Self {
        self.params.push((code, value.as_ref().to_vec()));
        self
    }

    pub fn param(&self, code: u8) -> Option<&[u8]> {
        self.params.iter().find(|(c, _)| *c == code).map(|(_, value)| &value[..])
    }

    pub fn text(&self, code: u8) -> String {
        self.param(code).map_or(String::new(), |value| String::from_utf8_lossy(value).into_owned())
    }

    pub fn cause(&self) -> Option<u8> {
        self.param(CAUSE).and_then(|value| value.first().copied())
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut body = vec![self.kind];
        body.extend(self.task.to_be_bytes());
        for (code, value) in &self.params {
            body.push(*code);
            body.extend((value.len() as u16).to_be_bytes());
            body.extend(value);
        }
        let mut bytes = (body.len() as u16).to_be_bytes().to_vec();
        bytes.extend(body);
        bytes
    }

    /// Reads the next message; none where the connection has ended.
    pub fn read(from: &mut TcpStream) -> Option<Self> {
        let mut head = [0; 2];
        from.read_exact(&mut head).ok()?;
        let mut body = vec![0; usize::from(u16::from_be_bytes(head))];
        from.read_exact(&mut body).ok()?;
        let task = u64::from_be_bytes(body.get(1..9)?.try_into().ok()?);
        let mut message = Self::new(body[0], task);
        let mut rest = &body[9..];
        while rest.len() >= 3 {
            let size = usize::from(u16::from_be_bytes([rest[1], rest[2]]));
            message.params.push((rest[0], rest.get(3..3 + size)?.to_vec()));
            rest = &rest[3 + size..];
        }
        Some(message)
    }

    pub fn describe(&self) -> String {
        let kind = match self.kind {
            START => "set-up",
            PROGRESS => "progress",
            ANSWER => "answer",
            RELEASE => "release",
            HEARD => "release heard",
            NOTE => "note",
            MOVE => "move",
            TEST => "test",
            TESTED => "test result",
            _ => "unknown message",
        };
        let mut text = format!("{kind} {:016x}", self.task);
        for (code, value) in &self.params {
            if *code == CAUSE {
                text += &format!(" cause {}", value.first().copied().unwrap_or(0));
            } else {
                text += &format!(" {code}={}", String::from_utf8_lossy(value));
            }
        }
        text
    }
}

/// Ends a connection with a reset, though another thread reads from it.
pub fn reset_shared(stream: TcpStream) {
    set_reset(&stream);
    let _ = stream.shutdown(std::net::Shutdown::Read);
}

/// Ends a connection with a reset.
pub fn reset(stream: TcpStream) {
    set_reset(&stream);
}

/// The connection is reset once its descriptors are closed.
fn set_reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, size: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: the descriptor is open, and the value lives through the call.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
}

/// Has this process killed as soon as the one that started it has ended.
fn end_with_parent() -> std::io::Result<()> {
    extern "C" {
        fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
    }
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: it sets a number of this process alone.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0) };
    Ok(())
}

/// So many connections may wait to be accepted, and one more.
pub fn set_backlog(listener: &TcpListener, connections: i32) {
    use std::os::fd::AsRawFd;
    extern "C" {
        fn listen(fd: i32, backlog: i32) -> i32;
    }
    // SAFETY: the descriptor is open.
    unsafe { listen(listener.as_raw_fd(), connections) };
}

/// A free port of this loopback host.
pub fn free_address(host: &str) -> SocketAddr {
    let listener = TcpListener::bind((host, 0)).expect("a free port");
    listener.local_addr().expect("is bound")
}

/// The command of a line of the deploy file.
fn deploy_command(key: &str) -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with(&format!("{key} = \""))).expect("a command");
    line.split('"').nth(1).expect("quoted").to_owned()
}

/// The settings of a small main-campus: its classes, kinds and limits.
pub fn settings(schedulers: usize, number: usize) -> String {
    format!(
        r#"{{"balancers":{schedulers},"index":{number},"myZone":0,"discovery":"push","localities":["hall-a","hall-b"],
"shapes":["node-std","node-big"],
"classes":[
 {{"name":"ledger-worker","effect":"by_key","group":"cell","window":5000000000,"target":600000000,
   "deadline":6000000000,"gain":3,"lateShare":0.2,"longLived":true}},
 {{"name":"wallet-api","effect":"repeatable","target":4000000000,"deadline":8000000000,"gain":9,
   "lateShare":0.2,"longLived":true}}],
"limits":{{"cancel":true,"connectTimeout":250000000,"keepalive":15000000000,"maxAttempts":4,
 "secondCopies":false,"probes":true,"retryAfter":true,"maxRetryAfter":3000000000}},
"rules":{{"askWithin":10000000000,"fall":1000000000,"warmAfter":14000000000,"drainGrace":2000000000,
 "tipMultiple":2,"coldShare":0.17,"answerSlack":50000000}},
"specifics":{{"acceptsCores":2.5,"acceptsMemory":1.5,"kindCores":[28,56],"memoryByKind":[36,72],
 "kindByClass":[-1,1],"precedence":[0,1],"spreadOver":["machine","machine"],"togetherMax":[2,1],
 "yesAt":"accepted","youngLimit":20,"tellsPressure":false,"tellsUse":true,"listsFree":true,
 "measuredBy":"asked","checkAfter":3000000000,"fullUpTo":[1.0,0.8],"classFade":[1.0,0.2],
 "classStartS":[8,12],"displaces":true,"oneHome":false}},
"feedback":{{"via":"none","names":[]}},
"tariffs":{{"crossZone":0,"fleet":0.25,"moves":0.048,"waste":0.03,"probe":0.0035}}}}"#
    )
}

/// A scheduler, started with the command of the deploy file. It is killed when this is dropped.
pub struct Scheduler {
    child: Child,
    pub listen: SocketAddr,
}

impl Scheduler {
    /// Starts the scheduler of this number with what is known of the list, and waits until it listens.
    pub fn start(world: &World, number: usize, bulletin: SocketAddr, known: &str) -> Option<Self> {
        let listen = free_address(&format!("127.40.0.{}", number + 1));
        Self::start_at(world, number, listen, bulletin, known)
    }

    /// The same at this address: a scheduler starts again under its name and address.
    pub fn start_at(
        world: &World,
        number: usize,
        listen: SocketAddr,
        bulletin: SocketAddr,
        known: &str,
    ) -> Option<Self> {
        let config = world.folder.join(format!("config-{number}.json"));
        let text = format!(
            r#"{{"name":"n{number}","listen":"{listen}","seed":"8c1f30d27a5be964","bulletin":"{bulletin}",
"limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},
"known":{{"no":1,"items":[{known}]}},"settings":{}}}"#,
            settings(2, number)
        );
        std::fs::write(&config, text).expect("the configuration is written");
        let temporary = world.folder.join(format!("tmp-{number}"));
        std::fs::create_dir_all(&temporary).expect("a folder");
        let log = File::options()
            .append(true)
            .create(true)
            .open(world.folder.join(format!("scheduler-{number}.log")))
            .expect("a log");
        let mut command = Command::new("/bin/sh");
        // SAFETY: the call is allowed between fork and exec.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .args(["-c", &deploy_command("run")])
            .env("LB_NAME", format!("n{number}"))
            .env("LB_LISTEN", listen.to_string())
            .env("LB_CONFIG", &config)
            .env("TMPDIR", &temporary)
            .env("RUST_LOG", std::env::var("REVIEW_LOG").unwrap_or("info".to_owned()))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .ok()?;
        let mut scheduler = Self { child, listen };
        world.log("run", &format!("scheduler n{number} started, listens at {listen}"));
        let is_up = world.wait(10_000, || TcpStream::connect(listen).is_ok());
        (is_up && scheduler.is_running()).then_some(scheduler)
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Passes a test, as the front asks for one before it admits a scheduler.
    pub fn passes_test(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.listen) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let test = Message::new(TEST, 1).with(CAUSE, [0]);
        stream.write_all(&test.encode()).is_ok()
            && Message::read(&mut stream)
                .is_some_and(|reply| reply.kind == TESTED && reply.cause() == Some(1))
    }
}

impl Drop for Scheduler {
    /// Kills it outright.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
