//! Two events that cross at the built program, each crossing forced over loopback sockets: docs/crossings.md
//! has a row for each.

mod host;

use host::*;
use mulleinhub_platform_protocol::{cause_code, kind};
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
fn of_a_client_that_left_nothing_is_sent_on_however_much_lay_before_its_end() {
    // In one turn, in several, and more than is read at a time.
    for tasks in [10, 200, 1_500] {
        for leaving in Leaving::ALL {
            let mut program = Program::start();
            let mut client = program.owner();
            is_heard(&mut client);
            program.freeze();
            let all: Vec<u8> = (1..=tasks).flat_map(set_up).collect();
            client.write_all(&all).expect("is sent");
            let kept = leaving.leave(client, 1..=tasks);
            program.thaw();
            turns(&program, 100);
            program.kill();
            let sent = unaccepted_set_ups(&program.machine);
            assert!(sent.is_empty(), "{leaving:?} of {tasks}: {} sent on", sent.len());
            drop(kept);
        }
    }
}

#[test]
fn who_connects_asks_and_leaves_while_it_waits_to_be_accepted_is_not_sent_on() {
    let mut program = Program::start();
    turns(&program, 2);
    program.freeze();
    for task in 1..=40 {
        let mut client = program.owner();
        client.write_all(&set_up(task)).expect("is sent");
        // The last one stays.
        if task < 40 {
            Leaving::Fin.leave(client, task..=task);
        } else {
            program.thaw();
            let mut way = program.way();
            assert_eq!(next(&mut way), (kind::START, 40, None));
            way.write_all(&yes(40)).expect("is sent");
            assert_eq!(next(&mut client), (kind::ACCEPT, 40, None));
        }
    }
    program.kill();
    assert!(unaccepted_set_ups(&program.machine).is_empty());
}

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

#[test]
fn a_refusal_that_crosses_the_clients_leaving_is_followed_by_no_further_attempt() {
    for leaving in Leaving::ALL {
        let second = listener(6);
        let mut program = Program::of(|conf| two_machines(patient(conf), &second));
        let mut client = program.owner();
        client.write_all(&waits(set_up(7), "60000")).expect("is sent");
        let (at, mut way) = accepted_by(&[&program.machine, &second]);
        assert_eq!(next(&mut way), (kind::START, 7, None));
        program.freeze();
        way.write_all(&release(7, cause_code::FULL)).expect("is sent");
        let kept = leaving.leave(client, 7..=7);
        program.thaw();
        turns(&program, 6);
        program.kill();
        assert_eq!(set_ups(way), NONE, "{leaving:?}");
        let other = [&second, &program.machine][at];
        assert_eq!(unaccepted_set_ups(other), NONE, "{leaving:?}");
        drop(kept);
    }
}

#[test]
fn a_time_out_that_crosses_the_clients_leaving_is_followed_by_no_further_attempt() {
    for leaving in Leaving::ALL {
        let second = listener(7);
        let mut program = Program::of(|conf| two_machines(conf, &second));
        let mut client = program.owner();
        client.write_all(&set_up(7)).expect("is sent");
        let (at, mut way) = accepted_by(&[&program.machine, &second]);
        assert_eq!(next(&mut way), (kind::START, 7, None));
        program.freeze();
        let kept = leaving.leave(client, 7..=7);
        // The send is recalled after a tenth of the client timeout without a word; two seconds are wanted.
        std::thread::sleep(Duration::from_millis(500));
        program.thaw();
        turns(&program, 6);
        program.kill();
        assert_eq!(set_ups(way), NONE, "{leaving:?}");
        assert_eq!(unaccepted_set_ups([&second, &program.machine][at]), NONE, "{leaving:?}");
        drop(kept);
    }
}

#[test]
fn a_client_that_leaves_as_its_answer_comes_is_told_no_more_and_the_machine_hears_of_it() {
    let program = Program::start();
    let mut client = program.owner();
    client.write_all(&set_up(7)).expect("is sent");
    let mut way = program.way();
    assert_eq!(next(&mut way), (kind::START, 7, None));
    program.freeze();
    way.write_all(&yes(7)).expect("is sent");
    client.write_all(&release(7, cause_code::ENDED)).expect("is sent");
    program.thaw();
    // Heard in either order, the copy is cut.
    let (of, task, _) = next(&mut way);
    assert_eq!((of, task), (kind::RELEASE, 7));
    is_heard_after_answers(&mut client);
}

/// As `is_heard`; an answer to a set-up may come before.
fn is_heard_after_answers(owner: &mut TcpStream) {
    let test = mulleinhub_platform_protocol::write_with_cause;
    owner.write_all(&written(|out| test(out, kind::HEALTH_CHECK, 99, 0))).expect("is sent");
    let mut answers = 0;
    loop {
        match next(owner) {
            (kind::HEALTH_RESULT, 99, Some(1)) => break,
            (kind::ACCEPT, 7, None) => answers += 1,
            other => panic!("{other:?}"),
        }
    }
    assert!(answers <= 1);
}

// What is decided and not written yet.

#[test]
fn a_drain_told_before_the_connection_came_up_sends_the_task_elsewhere() {
    let (first, second) = (listener(8), listener(10));
    let door = ShutDoor::new(&first);
    let mut program = Program::of(|conf| {
        let at = conf.find(r#""endpoint":""#).expect("a machine") + 12;
        let end = at + conf[at..].find('"').expect("its address");
        patient(format!("{}{}{}", &conf[..at], address(&first), &conf[end..]))
    });
    let mut client = program.owner();
    client.write_all(&waits(set_up(7), "60000")).expect("is sent");
    is_heard(&mut client);
    let (mut bulletin, _) = program.call();
    program.freeze();
    let lines =
        [listed("s-1", address(&first), "terminating", 0), listed("s-2", address(&second), "in_service", 0)];
    bulletin.write_all(&told(2, &lines)).expect("is sent");
    let way = door.open();
    program.thaw();
    let mut other = accepted(&second);
    assert_eq!(next(&mut other), (kind::START, 7, None));
    other.write_all(&yes(7)).expect("is sent");
    assert_eq!(next(&mut client), (kind::ACCEPT, 7, None));
    program.kill();
    assert_eq!(set_ups(way), NONE, "the machine drains");
}

#[test]
fn a_further_attempt_whose_window_of_repeats_ends_before_it_is_written_is_not_made() {
    let second = listener(11);
    let door = ShutDoor::new(&second);
    let mut program = Program::of(patient);
    let mut client = program.owner();
    client.write_all(&waits(set_up_of(7, "batch", ""), "60000")).expect("is sent");
    let mut way = program.way();
    assert_eq!(next(&mut way), (kind::START, 7, None));
    let since = Instant::now();
    let (mut bulletin, _) = program.call();
    bulletin.write_all(&told(2, &[listed("s-2", address(&second), "in_service", 0)])).expect("is sent");
    // It may have run.
    drop(way);
    program.wait_for("a connection is over");
    is_heard(&mut client);
    assert!(since.elapsed() < Duration::from_millis(2_500), "too slow a machine for this test");
    program.freeze();
    std::thread::sleep(Duration::from_millis(3_200).saturating_sub(since.elapsed()));
    let way = door.open();
    program.thaw();
    assert_eq!(next(&mut client), (kind::RELEASE, 7, Some(cause_code::ERROR)));
    program.kill();
    assert_eq!(set_ups(way), NONE, "three seconds after the first attempt it may run twice");
}

// The list.

#[test]
fn an_event_that_cannot_be_read_is_asked_for_again_though_good_ones_follow_it() {
    let second = listener(12);
    let mut program = Program::start();
    let (mut bulletin, last) = program.call();
    assert_eq!(last, 1);
    let two = told(2, &[listed("s-1", address(&program.machine), "terminating", 0)]);
    let three = told(3, &[listed("s-2", address(&second), "in_service", 0)]);
    let spoilt = String::from_utf8(two.clone()).expect("text").replace("\"targets\":[", "\"targets\":[7,");
    bulletin.write_all(&[spoilt.into_bytes(), three.clone()].concat()).expect("is sent");
    let (mut again, last) = program.call();
    assert_eq!(last, 1, "nothing behind it counts");
    again.write_all(&[two, three].concat()).expect("is sent");
    // The first machine drains: all goes to the second.
    let mut client = program.owner();
    program.wait_for("Draining");
    let mut ways = Vec::new();
    for task in 1..=5 {
        client.write_all(&set_up(task)).expect("is sent");
        let mut way = accepted(&second);
        assert_eq!(next(&mut way), (kind::START, task, None));
        ways.push(way);
    }
    program.kill();
    assert_eq!(unaccepted_set_ups(&program.machine), NONE);
}

#[test]
fn an_event_that_can_never_be_read_is_passed_over_in_the_end_and_calls_keep_their_pace() {
    let second = listener(13);
    let program = Program::start();
    let began = Instant::now();
    let mut calls = 0;
    let good = told(3, &[listed("s-2", address(&second), "in_service", 0)]);
    let both = [b"id: 2\ndata: {\"no\":2,\"roster\":7}\n\n".to_vec(), good].concat();
    while !program.log().contains("Active") || !program.log().contains(&address(&second).to_string()) {
        let (mut bulletin, last) = program.call();
        assert_eq!(last, 1);
        bulletin.write_all(&both).expect("is sent");
        // Nothing more comes on this connection; whether it is left is seen at the next call or in the log.
        calls += 1;
        assert!(began.elapsed() < PATIENCE && calls < 20, "{calls} calls");
        let _ = bulletin.set_read_timeout(Some(Duration::from_millis(200)));
        let _ = bulletin.read(&mut [0]);
    }
    assert!((2..=8).contains(&calls), "{calls} calls");
}

#[test]
fn numbers_that_jump_are_asked_for_once_more_and_then_taken_as_they_are() {
    let second = listener(14);
    let program = Program::start();
    let five = told(5, &[listed("s-2", address(&second), "in_service", 0)]);
    for _ in 0..2 {
        let (mut bulletin, last) = program.call();
        assert_eq!(last, 1, "what lies between was not heard");
        bulletin.write_all(&five).expect("is sent");
        if last == 1 && program.log().contains(&address(&second).to_string()) {
            break;
        }
        std::mem::forget(bulletin);
    }
    program.wait_for(&address(&second).to_string());
}

#[test]
fn a_bulletin_that_answers_and_breaks_off_at_once_is_called_at_a_pace() {
    let program = Program::start();
    let began = Instant::now();
    let mut calls = 0;
    while began.elapsed() < Duration::from_secs(2) {
        drop(program.call());
        calls += 1;
    }
    assert!((3..=40).contains(&calls), "{calls} calls in two seconds");
}

#[test]
fn a_bulletin_that_falls_silent_anywhere_is_called_anew_within_the_time_its_news_has() {
    let whole = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: \n\n";
    let event = told(2, &[]);
    let half = [&whole[..], &event[..event.len() / 2]].concat();
    std::thread::scope(|scope| {
        for said in [&b""[..], &whole[..20], &whole[..], &half[..]] {
            scope.spawn(move || {
                let program = Program::start();
                let mut silent = accepted(&program.bulletin);
                assert_eq!(last_heard(&mut silent), 1);
                silent.write_all(said).expect("is sent");
                let began = Instant::now();
                let (_again, last) = program.call();
                let took = began.elapsed();
                assert_eq!(last, 1);
                assert!(took < Duration::from_millis(3_500), "{took:?} after {} bytes", said.len());
            });
        }
    });
}

#[test]
fn a_move_that_crosses_the_end_of_the_old_connection_or_a_move_back_ends_at_one_address() {
    let program = Program::start();
    let (old, _) = program.call();
    let moved = listener(15);
    // An end and a move in one turn.
    program.freeze();
    std::fs::write(&program.conf, conf(address(&program.machine), address(&moved))).expect("is written");
    drop(old);
    program.signal(Signal::HUP);
    program.thaw();
    let mut there = accepted(&moved);
    assert_eq!(last_heard(&mut there), 1);
    // While that call is still unanswered: back again.
    std::fs::write(&program.conf, conf(address(&program.machine), address(&program.bulletin)))
        .expect("is written");
    program.signal(Signal::HUP);
    assert_eq!(there.read(&mut [0; 16]).unwrap_or(0), 0, "it is left");
    // Calls from before the move may lie there, ended.
    let began = Instant::now();
    loop {
        let mut back = accepted(&program.bulletin);
        assert!(began.elapsed() < PATIENCE);
        let mut call = [0; 512];
        if back.read(&mut call).unwrap_or(0) == 0 {
            continue;
        }
        back.set_read_timeout(Some(Duration::from_millis(300))).expect("is set");
        if back.read(&mut call).is_err() {
            assert!(String::from_utf8_lossy(&call).contains("Last-Event-ID: 1\r\n"));
            break;
        }
    }
}

// Hand-overs.

#[test]
fn an_end_that_was_heard_before_its_task_was_handed_over_is_told_at_the_hand_over() {
    let program = Program::start();
    let mut owner = program.owner();
    owner.write_all(&set_up(7)).expect("is sent");
    let mut way = program.way();
    assert_eq!(next(&mut way), (kind::START, 7, None));
    way.write_all(&yes(7)).expect("is sent");
    assert_eq!(next(&mut owner), (kind::ACCEPT, 7, None));
    // Of a task whose scheduler died a machine tells on any connection that is open.
    way.write_all(&release(99, cause_code::RESET)).expect("is sent");
    assert_eq!(next(&mut way), (kind::RELEASE_ACK, 99, None));
    owner.write_all(&set_up_of(99, "front", ";at:s-1")).expect("is sent");
    assert_eq!(next(&mut owner), (kind::RELEASE, 99, Some(cause_code::RESET)));
    // Once: handed over again, by whoever, it is a task like any other.
    is_heard(&mut owner);
}

#[test]
fn a_task_on_a_machine_that_no_list_names_yet_is_taken_over_once_one_does() {
    let second = listener(16);
    let program = Program::start();
    let (mut bulletin, _) = program.call();
    let mut owner = program.owner();
    // Handed over twice, and by two connections.
    let twice = [set_up_of(99, "front", ";at:s-2"), set_up_of(99, "front", ";at:s-2")].concat();
    owner.write_all(&twice).expect("is sent");
    let mut another = program.owner();
    another.write_all(&set_up_of(99, "front", ";at:s-2")).expect("is sent");
    is_heard(&mut owner);
    is_heard(&mut another);
    bulletin.write_all(&told(2, &[listed("s-2", address(&second), "in_service", 0)])).expect("is sent");
    let mut way = accepted(&second);
    way.write_all(&release(99, cause_code::ENDED)).expect("is sent");
    assert_eq!(next(&mut way), (kind::RELEASE_ACK, 99, None));
    let told = next(&mut owner);
    assert_eq!(told, (kind::RELEASE, 99, Some(cause_code::ENDED)));
    is_heard(&mut another);
}

#[test]
fn a_task_on_a_machine_that_is_never_listed_is_told_to_be_over_in_time() {
    let program = Program::start();
    let mut owner = program.owner();
    let began = Instant::now();
    owner.write_all(&set_up_of(99, "front", ";at:s-none")).expect("is sent");
    assert_eq!(next(&mut owner), (kind::RELEASE, 99, Some(cause_code::ERROR)));
    assert!(began.elapsed() < Duration::from_secs(3), "who speaks wrongly is owed a word in three seconds");
}

#[test]
fn a_flood_of_hand_overs_at_the_start_is_taken_whole_before_the_list_is_there() {
    let mut program = Program::start();
    let mut owner = program.owner();
    is_heard(&mut owner);
    program.freeze();
    let all: Vec<u8> = (1..=2_000).flat_map(|task| set_up_of(task, "front", ";at:s-1")).collect();
    owner.write_all(&all).expect("is sent");
    program.thaw();
    let mut way = program.way();
    let ends: Vec<u8> = (1..=2_000).flat_map(|task| release(task, cause_code::ENDED)).collect();
    // Heard one way or the other: what is over before its hand-over was heard is told with it.
    way.write_all(&ends).expect("is sent");
    let mut told = std::collections::BTreeSet::new();
    while told.len() < 2_000 {
        let (of, task, cause) = next(&mut owner);
        assert_eq!((of, cause), (kind::RELEASE, Some(cause_code::ENDED)));
        assert!(told.insert(task), "task {task} is told twice");
    }
    is_heard(&mut owner);
    program.kill();
    assert_eq!(set_ups(way), NONE);
}

// Standstills, limits and the end.

#[test]
fn a_half_read_message_whose_time_ends_with_its_owners_task_costs_that_connection_alone() {
    // The only machine drains, so the task waits; the half message and the task end in one turn.
    let program = Program::of(|conf| conf.replacen("in_service", "terminating", 1));
    let mut owner = program.owner();
    owner.write_all(&[set_up(7), set_up(8)[..30].to_vec()].concat()).expect("is sent");
    let mut other = program.owner();
    is_heard(&mut other);
    program.freeze();
    std::thread::sleep(Duration::from_millis(2_200));
    program.thaw();
    let (of, task, _) = next(&mut owner);
    assert_eq!((of, task), (kind::RELEASE, 7));
    is_heard(&mut other);
}

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
    program.wait_for("health checks fail from now on");
    program.signal(Signal::TERM);
    half.write_all(&set_up(1)[40..]).expect("is sent");
    for (task, owner) in (100..).zip(&mut backlog) {
        assert_eq!(next(owner), (kind::ACCEPT, task, None));
    }
    let mut answers: Vec<u64> = (200..220)
        .map(|_| {
            let (of, task, _) = next(&mut pipelines);
            assert_eq!(of, kind::ACCEPT);
            task
        })
        .collect();
    answers.sort_unstable();
    assert_eq!(answers, (200..220).collect::<Vec<u64>>());
    assert_eq!(next(&mut half), (kind::ACCEPT, 1, None));
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
    program.wait_for("health checks fail from now on");
    for task in 1..=2_000 {
        assert_eq!(next(&mut owner), (kind::RELEASE, task, Some(cause_code::ERROR)));
    }
    assert_eq!(owner.read(&mut [0; 16]).expect("an end, no reset"), 0);
    assert_eq!(program.exit(), Some(0), "{}", program.log());
}
