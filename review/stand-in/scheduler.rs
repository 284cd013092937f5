//! A real scheduler, started with the command of the deploy file.

use crate::bulletin::Bulletin;
use crate::record::Record;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};

/// The processes that were started, to be ended whatever happens.
static STARTED: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    for child in STARTED.lock().unwrap_or_else(PoisonError::into_inner).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Settings like those of harbour-gate in deploy/sites: three halls, two kinds of nodes, a class that may repeat, a
/// keyed one and one that must run once only.
const SETTINGS: &str = r#"{
 "balancers": 3, "index": 0, "layer": 0, "layers": ["quay-fleet"], "family": "place", "countedBy": "work",
 "localities": ["quay", "dock", "tower"], "myZone": 0, "shapes": ["slab", "tall"], "customers": [],
 "overShareWorth": 0.1, "step": 2000000,
 "classes": [
  {"name": "gate-check", "effect": "repeatable", "group": "all", "deadline": 1200000000, "target": 300000000,
   "window": 700000000, "gain": 4.0, "lateShare": 0.1, "longLived": true},
  {"name": "berth-plan", "effect": "by_key", "group": "zone", "deadline": 1500000000, "target": 400000000,
   "window": 700000000, "gain": 6.0, "lateShare": 0.2, "longLived": true},
  {"name": "crane-order", "effect": "once", "group": "all", "deadline": 1500000000, "target": 500000000,
   "window": 700000000, "gain": 8.0, "lateShare": 0.2, "longLived": true}],
 "clients": {"marksRetry": true}, "discovery": "push", "feedback": {"names": [], "via": "none"},
 "goal": {"whole": 0.5, "worstClass": 0.3, "worstTenant": 0.0, "worstWindow": 0.2},
 "limits": {"atOncePerConn": 1048576, "cancel": true, "connectTimeout": 150000000, "cpuUsPerRequest": 0.0,
  "cpuUsPerS": 500000, "keepalive": 3000000000, "maxAttempts": 3, "maxOpen": 1000000,
  "maxRetryAfter": 1000000000, "peers": false, "probes": false, "retryAfter": true, "secondCopies": false},
 "rules": {"answerSlack": 8000000, "askWithin": 10000000000, "coldShare": 0.2, "drainGrace": 1000000000,
  "fall": 500000000, "tipMultiple": 2.5, "warmAfter": 9000000000},
 "specifics": {"acceptsCores": 2.0, "acceptsMemory": 1.3, "checkAfter": 3000000000, "classFade": [0.3, 1.0, 0.3],
  "classStartS": [8.0, 8.0, 10.0], "displaces": false, "evictionAsMoves": 2.0, "fullUpTo": [0.85, 1.0, 0.9],
  "kindByClass": [-1, -1, -1], "kindCores": [24, 48], "listsFree": true, "meanMemory": 1.3, "measuredBy": "asked",
  "memoryByKind": [48.0, 96.0], "noPrice": 0.02, "oneHome": false, "precedence": [1, 0, 2], "shareCores": [],
  "spreadOver": ["machine", "cell", "none"], "tellsPressure": false, "tellsUse": true, "togetherMax": [2, 3, 9],
  "usualCores": 0.7, "yesAt": "accepted", "youngLimit": 30.0},
 "tariffs": {"connection": 0.0, "crossZone": 0.04, "discovery": 0.0, "fleet": 0.1, "handshake": 0.0, "lateFail": 0.0,
  "moves": 0.06, "origin": 0.0, "peer": 0.0, "probe": 0.0, "waste": 0.06},
 "weights": "none"}"#;

pub struct Scheduler {
    pub name: String,
    pub address: SocketAddr,
    folder: String,
    command: String,
    root: String,
    record: Record,
    child: Option<usize>,
    starts: u32,
    /// The process that reads its log through a pipe, where one does.
    log_reader: Option<usize>,
    /// What is logged, as RUST_LOG says it.
    log_level: &'static str,
    memory_mb: u64,
    sockets: u64,
}

impl Scheduler {
    /// A scheduler at a free address; it is not started yet.
    pub fn new(name: &str, folder: &str, record: &Record) -> Result<Self, String> {
        let root = std::env::var("REVIEW_ROOT").map_err(|_| "REVIEW_ROOT is not set")?;
        let deploy = std::fs::read_to_string(format!("{root}/deploy/balancer.toml"))
            .map_err(|error| format!("deploy file: {error}"))?;
        let line = deploy.lines().find_map(|line| line.strip_prefix("run = ")).ok_or("no run command")?;
        let command = line.split('"').nth(1).ok_or("no run command")?.to_owned();
        let free = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
        let address = free.map_err(|error| error.to_string())?;
        Ok(Self {
            name: name.to_owned(),
            address,
            folder: folder.to_owned(),
            command,
            root,
            record: record.clone(),
            child: None,
            starts: 0,
            log_reader: None,
            log_level: "info",
            memory_mb: 128,
            sockets: 512,
        })
    }

    /// The limits in its configuration, from its next start on.
    pub fn set_limits(&mut self, memory_mb: u64, sockets: u64) {
        (self.memory_mb, self.sockets) = (memory_mb, sockets);
    }

    fn process_id(&self) -> Option<u32> {
        let started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
        self.child.and_then(|child| started.get(child)).map(Child::id)
    }

    /// What its process has used: memory of its own now, and processor time.
    pub fn usage(&self) -> String {
        let Some(id) = self.process_id() else { return "not running".to_owned() };
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        let ticks: u64 = stat.split(' ').skip(13).take(2).filter_map(|ticks| ticks.parse::<u64>().ok()).sum();
        format!("{} KB, {}.{:02} s of processor time", own_memory_kb(id).unwrap_or(0), ticks / 100, ticks % 100)
    }

    /// Starts a process, with what the bulletin knows now.
    pub fn start(&mut self, bulletin: &Bulletin) -> Result<(), String> {
        self.starts += 1;
        let config = format!(
            concat!(
                r#"{{"name":"{}","listen":"{}","seed":"{:016x}","#,
                r#""limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"#,
                r#""bulletin":"{}","known":{},"settings":{}}}"#
            ),
            self.name,
            self.address,
            7919 * u64::from(self.starts),
            self.memory_mb,
            self.sockets,
            bulletin.address,
            bulletin.known(),
            SETTINGS
        );
        let path = format!("{}/{}.json", self.folder, self.name);
        std::fs::write(&path, config).map_err(|error| error.to_string())?;
        let log = File::create(format!("{}/{}-{}.log", self.folder, self.name, self.starts));
        let log = log.map_err(|error| error.to_string())?;
        let (out, err): (Stdio, Stdio) = if self.log_level == "info" {
            (log.try_clone().map_err(|error| error.to_string())?.into(), log.into())
        } else {
            let (read, write) = std::io::pipe().map_err(|error| error.to_string())?;
            let reader = Command::new("cat").stdin(read).stdout(log).spawn().map_err(|error| error.to_string())?;
            self.log_reader = Some(self.keep(reader));
            (write.try_clone().map_err(|error| error.to_string())?.into(), write.into())
        };
        let child = Command::new("/bin/sh")
            .args(["-c", &self.command])
            .current_dir(&self.root)
            .env("LB_NAME", &self.name)
            .env("LB_LISTEN", self.address.to_string())
            .env("LB_CONFIG", &path)
            .env("TMPDIR", &self.folder)
            .env("RUST_LOG", self.log_level)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .map_err(|error| error.to_string())?;
        self.record.note(&format!("scheduler {} starts", self.name));
        self.child = Some(self.keep(child));
        Ok(())
    }

    /// Another process reads the log through a pipe; everything is logged.
    pub fn log_through_a_pipe(&mut self) {
        self.log_level = "debug";
    }

    fn keep(&self, child: Child) -> usize {
        // For whoever has to end it, should this program be ended first.
        let mut ids = std::fs::read_to_string(format!("{}/processes", self.folder)).unwrap_or_default();
        ids.push_str(&format!("{}\n", child.id()));
        let _ = std::fs::write(format!("{}/processes", self.folder), ids);
        let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
        started.push(child);
        started.len() - 1
    }

    /// Sends the process that reads its log a signal, by name.
    pub fn signal_log_reader(&self, name: &str) {
        let started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(child) = self.log_reader.and_then(|child| started.get(child)) {
            let _ = Command::new("kill").args([format!("-{name}"), child.id().to_string()]).status();
            self.record.note(&format!("the reader of the log of {} gets SIG{name}", self.name));
        }
    }

    /// Its exit status, if it has ended by itself.
    pub fn exit_status(&self) -> Option<String> {
        let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
        let child = started.get_mut(self.child?)?;
        child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Sends it a signal, by name.
    pub fn signal(&self, name: &str) {
        let started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(child) = self.child.and_then(|child| started.get(child)) {
            let _ = Command::new("kill").args([format!("-{name}"), child.id().to_string()]).status();
            self.record.note(&format!("scheduler {} gets SIG{name}", self.name));
        }
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(child) = self.child.take().and_then(|child| started.get_mut(child)) {
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(&format!("scheduler {} is killed", self.name));
        }
    }

    /// The last lines of its log that tell of faults.
    pub fn faults(&self) -> Vec<String> {
        let path = format!("{}/{}-{}.log", self.folder, self.name, self.starts);
        let log = std::fs::read_to_string(path).unwrap_or_default();
        let is_fault = |line: &&str| ["ERROR", "WARN", "panicked", "assert", "two attempts"].iter().any(|word| line.contains(word));
        log.lines().filter(is_fault).take(12).map(str::to_owned).collect()
    }
}

/// The memory of this process alone, without the pages of its program.
fn own_memory_kb(id: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    line.split_whitespace().next()?.parse().ok()
}
