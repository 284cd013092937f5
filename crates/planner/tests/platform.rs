//! The platform mode of the built program: configured by its environment, over real sockets, until its exit.

mod harness;

use harness::*;
use mulleinhub_platform_protocol::{cause_code, kind, write_acceptance, write_with_cause};
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

#[test]
fn serves_reloads_rejects_invalid_bytes_and_stops_on_sigterm() {
    let mut scheduler = Scheduler::start();
    let mut client = scheduler.connect();
    client.write_all(&encoded(|out| write_with_cause(out, kind::HEALTH_CHECK, 1, 0))).expect("is sent");
    assert_eq!(next_message(&mut client), (kind::HEALTH_RESULT, 1, Some(1)));
    let (_first, _) = scheduler.list_service.accept().expect("it watches the list");
    // Invalid bytes close their own connection.
    let mut invalid = scheduler.connect();
    invalid.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("is sent");
    assert!(matches!(invalid.read(&mut [0; 16]), Ok(0) | Err(_)), "it is closed");
    // One task, requested and placed.
    client.write_all(&start_request(7)).expect("is sent");
    let (mut machine, _) = scheduler.machine.accept().expect("it is sent to the machine");
    machine.set_read_timeout(Some(TIMEOUT)).expect("is set");
    assert_eq!(next_message(&mut machine), (kind::START, 7, None));
    machine.write_all(&encoded(|out| write_acceptance(out, 7, b"made"))).expect("is sent");
    assert_eq!(next_message(&mut client), (kind::ACCEPT, 7, None));
    // An invalid file leaves the current configuration in force; a valid one moves the list service.
    std::fs::write(&scheduler.config, "{\"name\":").expect("is written");
    scheduler.signal(Signal::HUP);
    scheduler.wait_for_log(log_lines::CONFIGURATION_KEPT);
    let moved_service = listener(4);
    std::fs::write(&scheduler.config, config(address(&scheduler.machine), address(&moved_service)))
        .expect("is written");
    scheduler.signal(Signal::HUP);
    let (mut second, _) = moved_service.accept().expect("it watches the new address");
    second.set_read_timeout(Some(TIMEOUT)).expect("is set");
    let mut request = vec![0; 512];
    let n = second.read(&mut request).expect("the request");
    assert!(String::from_utf8_lossy(&request[..n]).contains("Last-Event-ID: 1\r\n"));
    // The task ends, and its client is notified on the connection that lasted through all this.
    machine
        .write_all(&encoded(|out| write_with_cause(out, kind::RELEASE, 7, cause_code::ENDED)))
        .expect("is sent");
    assert_eq!(next_message(&mut client), (kind::RELEASE, 7, Some(cause_code::ENDED)));
    assert_eq!(next_message(&mut machine).0, kind::RELEASE_ACK);
    // Shutdown: health checks fail, requests are accepted a while longer, and it exits with all answered.
    let signalled_at = Instant::now();
    scheduler.signal(Signal::TERM);
    scheduler.wait_for_log(log_lines::DRAINING_STARTED);
    client.write_all(&encoded(|out| write_with_cause(out, kind::HEALTH_CHECK, 2, 0))).expect("is sent");
    assert_eq!(next_message(&mut client), (kind::HEALTH_RESULT, 2, Some(0)));
    client.write_all(&start_request(8)).expect("is sent");
    assert_eq!(next_message(&mut machine), (kind::START, 8, None));
    scheduler.signal(Signal::TERM);
    machine.write_all(&encoded(|out| write_acceptance(out, 8, b"made"))).expect("is sent");
    assert_eq!(next_message(&mut client), (kind::ACCEPT, 8, None));
    assert_eq!(scheduler.wait_for_exit(), Some(0), "{}", scheduler.log());
    assert!(signalled_at.elapsed() >= Duration::from_millis(700), "requests were still accepted");
}

#[test]
fn invalid_configuration_is_reported_in_one_line_with_exit_status() {
    let folder = tempfile::tempdir().expect("a folder");
    let (path, log) = (folder.path().join("config.json"), folder.path().join("log"));
    for (text, expected) in
        [(None, "config.json"), (Some("{"), "EOF"), (Some("{\"seed\":\"7\"}"), "settings")]
    {
        let _ = text.map(|text| std::fs::write(&path, text).expect("is written"));
        let mut child = start(&path, address(&listener(1)), std::fs::File::create(&log).expect("is made"));
        assert_eq!(child.wait().expect("it ends").code(), Some(2));
        let output = std::fs::read_to_string(&log).expect("is read");
        assert!(output.lines().count() == 1 && output.contains(expected), "{output}");
    }
}

#[test]
fn signals_received_while_paused_are_both_handled() {
    let mut scheduler = Scheduler::start();
    let mut client = scheduler.connect();
    client.write_all(&encoded(|out| write_with_cause(out, kind::HEALTH_CHECK, 1, 0))).expect("is sent");
    assert_eq!(next_message(&mut client), (kind::HEALTH_RESULT, 1, Some(1)));
    let moved_service = listener(4);
    std::fs::write(&scheduler.config, config(address(&scheduler.machine), address(&moved_service)))
        .expect("is written");
    for signal in [Signal::STOP, Signal::TERM, Signal::HUP, Signal::CONT] {
        scheduler.signal(signal);
    }
    moved_service.accept().expect("it watches the new address");
    scheduler.wait_for_log(log_lines::DRAINING_STARTED);
    assert_eq!(scheduler.wait_for_exit(), Some(0), "{}", scheduler.log());
}

#[test]
fn few_descriptors_answer_every_request_and_lose_no_machine() {
    let scheduler = Scheduler::with_descriptors(48);
    let machine = scheduler.machine.try_clone().expect("is shared");
    std::thread::spawn(move || accept_all_tasks(machine));
    drop(scheduler.connect());
    let send_request = |task| {
        let mut client = scheduler.connect();
        client.write_all(&start_request(task)).expect("is sent");
        client
    };
    let clients: Vec<TcpStream> = (100..220).map(send_request).collect();
    let (mut placed, mut rejected) = (0, 0);
    for (task, mut client) in (100..).zip(clients) {
        match next_message(&mut client) {
            (kind::ACCEPT, of, None) if of == task => placed += 1,
            (kind::RELEASE, of, Some(cause_code::BUSY | cause_code::FULL)) if of == task => rejected += 1,
            other => panic!("task {task}: {other:?}"),
        }
    }
    assert!(placed >= 16, "{placed} placed, {rejected} rejected");
    let log = scheduler.log();
    assert!(!log.contains(log_lines::TASKS_LOST) && !log.contains(log_lines::ACCEPT_FAILED), "{log}");
}
