//! The built program on the platform: started by its environment, over real sockets, until its exit.

mod host;

use host::*;
use mulleinhub_platform_protocol::{cause_code, kind, write_acceptance, write_with_cause};
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

#[test]
fn it_serves_reads_its_configuration_again_refuses_bad_bytes_and_ends_when_told() {
    let mut program = Program::start();
    let mut owner = program.owner();
    owner.write_all(&written(|out| write_with_cause(out, kind::HEALTH_CHECK, 1, 0))).expect("is sent");
    assert_eq!(next(&mut owner), (kind::HEALTH_RESULT, 1, Some(1)));
    let (_first, _) = program.bulletin.accept().expect("it calls the bulletin");
    // Bad bytes cost their own connection.
    let mut bad = program.owner();
    bad.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("is sent");
    assert!(matches!(bad.read(&mut [0; 16]), Ok(0) | Err(_)), "it is closed");
    // One task, there and back.
    owner.write_all(&set_up(7)).expect("is sent");
    let (mut machine, _) = program.machine.accept().expect("it is sent to the machine");
    machine.set_read_timeout(Some(PATIENCE)).expect("is set");
    assert_eq!(next(&mut machine), (kind::START, 7, None));
    machine.write_all(&written(|out| write_acceptance(out, 7, b"made"))).expect("is sent");
    assert_eq!(next(&mut owner), (kind::ACCEPT, 7, None));
    // A faulty file leaves the old one in force; a good one moves the bulletin.
    std::fs::write(&program.conf, "{\"name\":").expect("is written");
    program.signal(Signal::HUP);
    program.wait_for("keeping the current one");
    let moved = listener(4);
    std::fs::write(&program.conf, conf(address(&program.machine), address(&moved))).expect("is written");
    program.signal(Signal::HUP);
    let (mut second, _) = moved.accept().expect("it goes over to the new address");
    second.set_read_timeout(Some(PATIENCE)).expect("is set");
    let mut call = vec![0; 512];
    let n = second.read(&mut call).expect("the call");
    assert!(String::from_utf8_lossy(&call[..n]).contains("Last-Event-ID: 1\r\n"));
    // What stood ends, and its owner hears of it on the connection that lived through all this.
    machine
        .write_all(&written(|out| write_with_cause(out, kind::RELEASE, 7, cause_code::ENDED)))
        .expect("is sent");
    assert_eq!(next(&mut owner), (kind::RELEASE, 7, Some(cause_code::ENDED)));
    assert_eq!(next(&mut machine).0, kind::RELEASE_ACK);
    // The end: tests fail, set-ups are taken a while longer, and it exits with all answered.
    let told = Instant::now();
    program.signal(Signal::TERM);
    program.wait_for("health checks fail from now on");
    owner.write_all(&written(|out| write_with_cause(out, kind::TEST, 2, 0))).expect("is sent");
    assert_eq!(next(&mut owner), (kind::TESTED, 2, Some(0)));
    owner.write_all(&set_up(8)).expect("is sent");
    assert_eq!(next(&mut machine), (kind::START, 8, None));
    program.signal(Signal::TERM);
    machine.write_all(&written(|out| write_acceptance(out, 8, b"made"))).expect("is sent");
    assert_eq!(next(&mut owner), (kind::ACCEPT, 8, None));
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
    owner.write_all(&written(|out| write_with_cause(out, kind::HEALTH_CHECK, 1, 0))).expect("is sent");
    assert_eq!(next(&mut owner), (kind::HEALTH_RESULT, 1, Some(1)));
    let moved = listener(4);
    std::fs::write(&program.conf, conf(address(&program.machine), address(&moved))).expect("is written");
    for signal in [Signal::STOP, Signal::TERM, Signal::HUP, Signal::CONT] {
        program.signal(signal);
    }
    moved.accept().expect("it goes over to the new address");
    program.wait_for("health checks fail from now on");
    assert_eq!(program.exit(), Some(0), "{}", program.log());
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
            (kind::ACCEPT, of, None) if of == task => placed += 1,
            (kind::RELEASE, of, Some(cause_code::BUSY | cause_code::FULL)) if of == task => refused += 1,
            other => panic!("task {task}: {other:?}"),
        }
    }
    assert!(placed >= 16, "{placed} placed, {refused} refused");
    let log = program.log();
    assert!(!log.contains("tasks are lost") && !log.contains("can't be accepted"), "{log}");
}
