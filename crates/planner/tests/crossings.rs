//! Two events that cross at the built program, each crossing forced over loopback sockets: docs/crossings.md
//! has a row for each.

mod host;

use host::*;
use mulleinhub_platform_protocol::{kind, why};
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Turns that the program is let have, at the least.
fn turns(program: &Program, n: usize) {
    let mut watcher = program.owner();
    (0..n.div_ceil(2)).for_each(|_| is_heard(&mut watcher));
}

/// Two machines, of which the second is listed beside the first.
fn two_machines(conf: String, second: &TcpListener) -> String {
    conf.replace(r#""room":[32.0,64.0]}]"#, &{
        let line = listed("s-2", address(second), "in_service", 0);
        format!(r#""room":[32.0,64.0]}},{line}]"#)
    })
}

/// No set-up.
const NONE: [u64; 0] = [];

// A client that left is gone.

#[test]
fn a_connection_that_comes_up_after_its_client_left_carries_nothing_of_it() {
    for leaving in Leaving::ALL {
        let machine = listener(5);
        let door = ShutDoor::new(&machine);
        let mut program = Program::of(|conf| {
            let (own, at) = (r#""endpoint":""#, address(&machine));
            let (before, behind) = conf.split_once(own).expect("a machine");
            let (_, behind) = behind.split_once('"').expect("its address");
            patient(format!("{before}{own}{at}\"{behind}"))
        });
        let mut client = program.owner();
        client.write_all(&set_up(7)).expect("is sent");
        is_heard(&mut client);
        program.freeze();
        let kept = leaving.leave(client, 7..=7);
        let way = door.open();
        program.thaw();
        turns(&program, 4);
        program.kill();
        assert_eq!(set_ups(way), NONE, "{leaving:?}");
        assert_eq!(unaccepted_set_ups(&machine), NONE, "{leaving:?}");
        drop(kept);
    }
}

/// As `is_heard`; an answer to a set-up may come before.
fn is_heard_after_answers(owner: &mut TcpStream) {
    let test = mulleinhub_platform_protocol::write_with_cause;
    owner.write_all(&written(|out| test(out, kind::TEST, 99, 0))).expect("is sent");
    let mut answers = 0;
    loop {
        match next(owner) {
            (kind::TESTED, 99, Some(1)) => break,
            (kind::ANSWER, 7, None) => answers += 1,
            other => panic!("{other:?}"),
        }
    }
    assert!(answers <= 1);
}

// What is decided and not written yet.

// The list.

// Hand-overs.

// Standstills, limits and the end.

#[test]
fn whoever_was_there_before_the_end_gets_whole_answers_and_nothing_is_reset() {
    let mut program = Program::start();
    let machine = program.machine.try_clone().expect("is shared");
    std::thread::spawn(move || takes_all(machine));
    let mut half = program.owner();
    let mut pipelines = program.owner();
    is_heard(&mut half);
    is_heard(&mut pipelines);
    half.write_all(&set_up(1)[..40]).expect("is sent");
    is_heard(&mut pipelines);
    program.freeze();
    // Some wait to be accepted, one is half read, one has many set-ups lying unread.
    let mut backlog: Vec<TcpStream> = (100..110)
        .map(|task| {
            let mut owner = program.owner();
            owner.write_all(&set_up(task)).expect("is sent");
            owner
        })
        .collect();
    pipelines.write_all(&(200..220).flat_map(set_up).collect::<Vec<u8>>()).expect("is sent");
    for signal in [Signal::TERM, Signal::HUP, Signal::TERM] {
        program.signal(signal);
    }
    program.thaw();
    program.wait_for("tests fail from now on");
    program.signal(Signal::TERM);
    half.write_all(&set_up(1)[40..]).expect("is sent");
    for (task, owner) in (100..).zip(&mut backlog) {
        assert_eq!(next(owner), (kind::ANSWER, task, None));
    }
    let mut answers: Vec<u64> = (200..220)
        .map(|_| {
            let (of, task, _) = next(&mut pipelines);
            assert_eq!(of, kind::ANSWER);
            task
        })
        .collect();
    answers.sort_unstable();
    assert_eq!(answers, (200..220).collect::<Vec<u64>>());
    assert_eq!(next(&mut half), (kind::ANSWER, 1, None));
    // Each connection ends with an end, not a reset.
    for mut owner in backlog.into_iter().chain([pipelines, half]) {
        assert_eq!(owner.read(&mut [0; 16]).expect("an end, no reset"), 0);
    }
    assert_eq!(program.exit(), Some(0), "{}", program.log());
}

#[test]
fn an_owner_that_reads_slowly_has_its_last_answers_whole() {
    let mut program = Program::of(|conf| conf.replace("\"memory_mb\":32", "\"memory_mb\":192"));
    let mut owner = program.owner();
    // Tests that can't be used cost a word each: more words than buffers hold, while nothing is read.
    let unusable: Vec<u8> = (1..=2_000).flat_map(|task| set_up_of(task, "nobody", "")).collect();
    owner.write_all(&unusable).expect("is sent");
    turns(&program, 100);
    program.signal(Signal::TERM);
    program.wait_for("tests fail from now on");
    for task in 1..=2_000 {
        assert_eq!(next(&mut owner), (kind::RELEASE, task, Some(why::ERROR)));
    }
    assert_eq!(owner.read(&mut [0; 16]).expect("an end, no reset"), 0);
    assert_eq!(program.exit(), Some(0), "{}", program.log());
}
