//! The built program on the platform: started by its environment, over real sockets, until its exit.

use mulleinhub_platform_protocol::{Frames, code, kind, why, write_answer, write_message, write_with_cause};
use rustix::process::{Pid, Signal, kill_process};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(10);

fn listener(host: u8) -> TcpListener {
    TcpListener::bind(("127.0.9.".to_owned() + &host.to_string(), 0)).expect("a free port")
}

fn address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("is bound")
}

fn conf(machine: SocketAddr, bulletin: SocketAddr) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.9.1:0","seed":"8c1f30d27a5be964","bulletin":"{bulletin}",
        "limits":{{"cores":1.0,"memory_mb":32,"sockets":256}},
        "known":{{"no":1,"items":[{{"no":1,"roster":{{"all":true,"targets":[{{"uid":"s-1",
            "endpoint":"{machine}",
            "az":"hall","model":"big","pod_group":0,"state":"in_service",
            "boot_ms":0,"room":[32.0,64.0]}}]}}}}]}},
        "settings":{{"balancers":1,"index":0,"myZone":0,"discovery":"push","localities":["hall"],
        "shapes":["big"],
        "classes":[{{"name":"front","effect":"repeatable","target":1000000000,"deadline":2500000000,
                     "gain":9}}],
        "limits":{{"cancel":true,"connectTimeout":250000000,"keepalive":15000000000,
                   "maxAttempts":4}},
        "rules":{{"askWithin":10000000000,"fall":1000000000,"warmAfter":10000000000}},
        "specifics":{{"acceptsCores":2.0,"acceptsMemory":1.2,"kindCores":[32],"memoryByKind":[64],
                      "precedence":[0],"yesAt":"accepted","youngLimit":40,"tellsPressure":false}},
        "tariffs":{{}}}}}}"#
    )
}

struct Program {
    child: Child,
    conf: PathBuf,
    log: PathBuf,
    listen: SocketAddr,
    machine: TcpListener,
    bulletin: TcpListener,
    _folder: tempfile::TempDir,
}

fn start(conf: &std::path::Path, listen: SocketAddr, log: std::fs::File) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mulleinhub-planner"));
    command.arg("platform");
    start_by(command, conf, listen, log)
}

fn start_by(mut command: Command, conf: &std::path::Path, listen: SocketAddr, log: std::fs::File) -> Child {
    command.env("LB_CONFIG", conf).env("LB_LISTEN", listen.to_string()).env("LB_NAME", "n0");
    command.stdout(Stdio::null()).stderr(log).spawn().expect("starts")
}

impl Program {
    fn start() -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mulleinhub-planner"));
        command.arg("platform");
        Self::start_by(command)
    }

    /// With so many descriptors, whatever the configuration says.
    fn start_with(descriptors: usize) -> Self {
        let mut command = Command::new("sh");
        let program = env!("CARGO_BIN_EXE_mulleinhub-planner");
        command.args(["-c", &format!("ulimit -n {descriptors} && exec {program} platform")]);
        Self::start_by(command)
    }

    fn start_by(command: Command) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let (machine, bulletin) = (listener(2), listener(3));
        let listen = address(&listener(1));
        let path = folder.path().join("config.json");
        std::fs::write(&path, conf(address(&machine), address(&bulletin))).expect("is written");
        let log = folder.path().join("log");
        let child = start_by(command, &path, listen, std::fs::File::create(&log).expect("is made"));
        Self { child, conf: path, log, listen, machine, bulletin, _folder: folder }
    }

    fn owner(&self) -> TcpStream {
        let began = Instant::now();
        loop {
            match TcpStream::connect(self.listen) {
                Ok(owner) => {
                    owner.set_read_timeout(Some(PATIENCE)).expect("is set");
                    return owner;
                }
                Err(error) => assert!(began.elapsed() < PATIENCE, "{error}: {}", self.log()),
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("it runs");
    }

    fn wait_for(&self, words: &str) {
        let began = Instant::now();
        while !self.log().contains(words) {
            assert!(began.elapsed() < PATIENCE, "{words:?} is not in the log: {}", self.log());
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn exit(&mut self) -> Option<i32> {
        let began = Instant::now();
        while began.elapsed() < PATIENCE {
            if let Some(status) = self.child.try_wait().expect("it can be asked") {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The next message on a connection: its type, task and cause.
fn next(stream: &mut TcpStream) -> (u8, u64, Option<u8>) {
    let mut frames = Frames::default();
    loop {
        let mut byte = [0];
        assert_eq!(stream.read(&mut byte).expect("in time"), 1, "the connection ended");
        frames.take(&byte);
        if let Some(frame) = frames.next_frame().expect("spoken rightly") {
            return (frame.kind, frame.task, mulleinhub_platform_protocol::cause(&frame));
        }
    }
}

fn set_up(task: u64) -> Vec<u8> {
    let params: [(u8, &[u8]); 5] = [
        (code::CLASS, b"front"),
        (code::PATIENCE, b"2000"),
        (code::NAME, b"7f3a9c21e0b4d655"),
        (code::FIGURES, b"cores:1;memory:2;service:00000000b4d65521"),
        (code::DESCRIPTION, b"wanted"),
    ];
    written(|out| write_message(out, kind::SET_UP, task, &params))
}

fn written(write: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut out = Vec::new();
    write(&mut out);
    out
}

#[test]
fn it_serves_reads_its_configuration_again_refuses_bad_bytes_and_ends_when_told() {
    let mut program = Program::start();
    let mut owner = program.owner();
    owner.write_all(&written(|out| write_with_cause(out, kind::TEST, 1, 0))).expect("is sent");
    assert_eq!(next(&mut owner), (kind::TESTED, 1, Some(1)));
    let (_first, _) = program.bulletin.accept().expect("it calls the bulletin");
    // Bad bytes cost their own connection.
    let mut bad = program.owner();
    bad.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("is sent");
    assert!(matches!(bad.read(&mut [0; 16]), Ok(0) | Err(_)), "it is closed");
    // One task, there and back.
    owner.write_all(&set_up(7)).expect("is sent");
    let (mut machine, _) = program.machine.accept().expect("it is sent to the machine");
    machine.set_read_timeout(Some(PATIENCE)).expect("is set");
    assert_eq!(next(&mut machine), (kind::SET_UP, 7, None));
    machine.write_all(&written(|out| write_answer(out, 7, b"made"))).expect("is sent");
    assert_eq!(next(&mut owner), (kind::ANSWER, 7, None));
    // A faulty file leaves the old one in force; a good one moves the bulletin.
    std::fs::write(&program.conf, "{\"name\":").expect("is written");
    program.signal(Signal::HUP);
    program.wait_for("the old one stays");
    let moved = listener(4);
    std::fs::write(&program.conf, conf(address(&program.machine), address(&moved))).expect("is written");
    program.signal(Signal::HUP);
    let (mut second, _) = moved.accept().expect("it goes over to the new address");
    second.set_read_timeout(Some(PATIENCE)).expect("is set");
    let mut call = vec![0; 512];
    let n = second.read(&mut call).expect("the call");
    assert!(String::from_utf8_lossy(&call[..n]).contains("Last-Event-ID: 1\r\n"));
    // What stood ends, and its owner hears of it on the connection that lived through all this.
    machine.write_all(&written(|out| write_with_cause(out, kind::RELEASE, 7, why::ENDED))).expect("is sent");
    assert_eq!(next(&mut owner), (kind::RELEASE, 7, Some(why::ENDED)));
    assert_eq!(next(&mut machine).0, kind::RELEASE_HEARD);
    // The end: tests fail, set-ups are taken a while longer, and it exits with all answered.
    let told = Instant::now();
    program.signal(Signal::TERM);
    program.wait_for("tests fail from now on");
    owner.write_all(&written(|out| write_with_cause(out, kind::TEST, 2, 0))).expect("is sent");
    assert_eq!(next(&mut owner), (kind::TESTED, 2, Some(0)));
    owner.write_all(&set_up(8)).expect("is sent");
    assert_eq!(next(&mut machine), (kind::SET_UP, 8, None));
    program.signal(Signal::TERM);
    machine.write_all(&written(|out| write_answer(out, 8, b"made"))).expect("is sent");
    assert_eq!(next(&mut owner), (kind::ANSWER, 8, None));
    assert_eq!(program.exit(), Some(0), "{}", program.log());
    assert!(told.elapsed() >= Duration::from_millis(700), "set-ups were still coming");
}

#[test]
fn a_configuration_that_cannot_be_read_is_told_in_one_line_and_an_exit_status() {
    let folder = tempfile::tempdir().expect("a folder");
    let (path, log) = (folder.path().join("config.json"), folder.path().join("log"));
    for (text, word) in [(None, "config.json"), (Some("{"), "EOF"), (Some("{\"seed\":\"7\"}"), "settings")] {
        let _ = text.map(|text| std::fs::write(&path, text).expect("is written"));
        let mut child = start(&path, address(&listener(1)), std::fs::File::create(&log).expect("is made"));
        assert_eq!(child.wait().expect("it ends").code(), Some(2));
        let said = std::fs::read_to_string(&log).expect("is read");
        assert!(said.lines().count() == 1 && said.contains(word), "{said}");
    }
}

#[test]
fn both_signals_that_came_while_it_stood_still_are_acted_on() {
    let mut program = Program::start();
    let mut owner = program.owner();
    owner.write_all(&written(|out| write_with_cause(out, kind::TEST, 1, 0))).expect("is sent");
    assert_eq!(next(&mut owner), (kind::TESTED, 1, Some(1)));
    let moved = listener(4);
    std::fs::write(&program.conf, conf(address(&program.machine), address(&moved))).expect("is written");
    for signal in [Signal::STOP, Signal::TERM, Signal::HUP, Signal::CONT] {
        program.signal(signal);
    }
    moved.accept().expect("it goes over to the new address");
    program.wait_for("tests fail from now on");
    assert_eq!(program.exit(), Some(0), "{}", program.log());
}

/// A machine that takes whatever it is asked, on any number of connections.
fn takes_all(listener: TcpListener) {
    while let Ok((mut way, _)) = listener.accept() {
        std::thread::spawn(move || {
            let (mut frames, mut bytes) = (Frames::default(), [0; 4096]);
            while let Ok(n @ 1..) = way.read(&mut bytes) {
                frames.take(&bytes[..n]);
                let mut out = Vec::new();
                while let Ok(Some(frame)) = frames.next_frame() {
                    if frame.kind == kind::SET_UP {
                        write_answer(&mut out, frame.task, b"made");
                    }
                }
                if way.write_all(&out).is_err() {
                    return;
                }
            }
        });
    }
}

#[test]
fn with_few_descriptors_every_set_up_is_answered_and_no_machine_is_called_dead() {
    let program = Program::start_with(48);
    let machine = program.machine.try_clone().expect("is shared");
    std::thread::spawn(move || takes_all(machine));
    drop(program.owner());
    let ask = |task| {
        let mut owner = program.owner();
        owner.write_all(&set_up(task)).expect("is sent");
        owner
    };
    let owners: Vec<TcpStream> = (100..220).map(ask).collect();
    let (mut placed, mut refused) = (0, 0);
    for (task, mut owner) in (100..).zip(owners) {
        match next(&mut owner) {
            (kind::ANSWER, of, None) if of == task => placed += 1,
            (kind::RELEASE, of, Some(why::BUSY | why::FULL)) if of == task => refused += 1,
            other => panic!("task {task}: {other:?}"),
        }
    }
    assert!(placed >= 16, "{placed} placed, {refused} refused");
    let log = program.log();
    assert!(!log.contains("tasks are lost") && !log.contains("can't be accepted"), "{log}");
}
