//! Terms of the operators' acceptance that want the built program: idle clients that fill the descriptors
//! while discovery is down, and readiness after a start.

mod host;

use host::*;
use mulleinhub_platform_protocol::{FrameBuffer, kind, write_with_cause};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Idle clients that take all they can get, until they are told to go. Some have said who they are, some say
/// nothing, some send half a message; whoever is closed comes again.
fn crowd(at: SocketAddr, over: &AtomicBool) {
    let mut open: Vec<TcpStream> = Vec::new();
    let mut n = 0;
    while !over.load(Ordering::Relaxed) {
        open.retain(|one| !matches!(one.peek(&mut [0]), Ok(0)));
        if open.len() >= 400 {
            std::thread::sleep(Duration::from_millis(2));
            continue;
        }
        let Ok(mut one) = TcpStream::connect(at) else { continue };
        one.set_nonblocking(true).expect("is set");
        n += 1;
        let _ = match n % 4 {
            0 => Ok(()),
            1 => one.write_all(&set_up(n)[..20]),
            2 => one.write_all(b"\xff\xff\xff\xff noise"),
            _ => one.write_all(&written(|out| write_with_cause(out, kind::HEALTH_CHECK, n, 0))),
        };
        open.push(one);
    }
}

#[test]
fn idle_clients_that_fill_the_descriptors_while_discovery_is_down_keep_nobody_out() {
    for descriptors in [64, 256] {
        let bulletin = listener(20);
        let at = address(&bulletin);
        drop(bulletin);
        let second = listener(21);
        let machine = second.try_clone().expect("is shared");
        std::thread::spawn(move || takes_all(machine));
        // The only machine that it knows drains.
        let program = Program::within(Some(descriptors), |conf| {
            let of_bulletin = conf.find("\"bulletin\":\"").expect("a bulletin") + 12;
            let end = of_bulletin + conf[of_bulletin..].find('"').expect("its address");
            format!("{}{at}{}", &conf[..of_bulletin], &conf[end..]).replacen("in_service", "terminating", 1)
        });
        is_heard(&mut program.owner());
        let over = AtomicBool::new(false);
        std::thread::scope(|scope| {
            for _ in 0..2 {
                scope.spawn(|| crowd(program.listen, &over));
            }
            let ends = Ends(&over);
            std::thread::sleep(Duration::from_millis(1_500));
            // Discovery is back, and is found.
            let bulletin = TcpListener::bind(at).expect("the same address");
            let mut call = accepted(&bulletin);
            assert_eq!(last_heard(&mut call), 1);
            call.write_all(b"HTTP/1.1 200 OK\r\n\r\n: \n\n").expect("is sent");
            call.write_all(&told(2, &[listed("s-2", address(&second), "in_service", 0)])).expect("is sent");
            program.wait_for(&address(&second).to_string());
            // Owners with work are served, on connections of their own, at once.
            for task in 9_001..9_011 {
                let began = Instant::now();
                let mut owner = program.owner();
                owner.write_all(&set_up(task)).expect("is sent");
                assert_eq!(next(&mut owner), (kind::ACCEPT, task, None), "with {descriptors} descriptors");
                assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
            }
            drop(ends);
        });
        let log = program.log();
        assert!(!log.contains("can't be accepted"), "{log}");
        // And when they have gone, it serves as ever.
        let mut owner = program.owner();
        owner.write_all(&set_up(9_100)).expect("is sent");
        assert_eq!(next(&mut owner), (kind::ACCEPT, 9_100, None));
    }
}

/// Tells the crowd to go, also where a test fails.
struct Ends<'a>(&'a AtomicBool);

impl Drop for Ends<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Whether a test is passed at this address, tried until then.
fn is_ready(at: SocketAddr, until: Instant) -> bool {
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(5));
        let Ok(mut front) = TcpStream::connect(at) else { continue };
        front.set_read_timeout(Some(Duration::from_millis(500))).expect("is set");
        if front.write_all(&written(|out| write_with_cause(out, kind::HEALTH_CHECK, 1, 0))).is_err() {
            continue;
        }
        let (mut frames, mut bytes) = (FrameBuffer::default(), [0; 256]);
        while let Ok(n @ 1..) = front.read(&mut bytes) {
            frames.extend(&bytes[..n]);
            if let Ok(Some(frame)) = frames.next_frame() {
                return frame.kind == kind::HEALTH_RESULT
                    && mulleinhub_platform_protocol::cause(&frame) == Some(1);
            }
        }
    }
    false
}

#[test]
fn nine_in_ten_that_start_are_ready_within_ten_seconds_whatever_discovery_does() {
    // Up, down, silent before its head; with a list of one machine, and of a thousand that changed often.
    let large: Vec<String> = (1..=1_000u64)
        .map(|n| {
            let at = SocketAddr::from(([127, 0, 10 + (n / 250) as u8, (n % 250) as u8], 5_080));
            listed(&format!("m-{n}"), at, "in_service", 0)
        })
        .collect();
    let events: Vec<String> = std::iter::once(event(1, true, &large))
        .chain((2..1_000).map(|no| event(no, false, &large[(no as usize) % 900..][..8])))
        .collect();
    for (discovery, known) in
        [("up", 1), ("down", 1), ("silent", 1), ("up", 999), ("down", 999), ("silent", 999)]
    {
        let started: Vec<Program> = (0..10)
            .map(|_| {
                let program = Program::of(|conf| {
                    if known == 1 {
                        return conf;
                    }
                    let from = conf.find("\"known\":").expect("a list");
                    let to = conf.find("\"settings\":").expect("settings");
                    let known = format!("\"known\":{{\"no\":{known},\"items\":[{}]}},", events.join(","));
                    format!("{}{known}{}", &conf[..from], &conf[to..])
                });
                match discovery {
                    "up" => {
                        let bulletin = program.bulletin.try_clone().expect("is shared");
                        std::thread::spawn(move || {
                            let Ok((mut call, _)) = bulletin.accept() else { return };
                            while call.write_all(b"HTTP/1.1 200 OK\r\n\r\n: \n\n").is_ok() {
                                std::thread::sleep(Duration::from_secs(1));
                            }
                        });
                    }
                    // Whoever calls is neither accepted nor refused.
                    "silent" => rustix::net::listen(&program.bulletin, 0).expect("is narrowed"),
                    _ => rustix::net::shutdown(&program.bulletin, rustix::net::Shutdown::Both)
                        .expect("refuses from now on"),
                }
                program
            })
            .collect();
        let until = Instant::now() + Duration::from_secs(10);
        let ready = started.iter().filter(|program| is_ready(program.listen, until)).count();
        assert!(ready >= 9, "{ready} of 10 with discovery {discovery}, {known} events known");
    }
}

#[test]
fn a_start_whose_address_is_still_held_waits_for_it() {
    // The listener stands for the life before, which ends as the next one starts.
    let before = listener(22);
    let at = address(&before);
    let program = Program::at(at);
    program.wait_for("starting");
    std::thread::sleep(Duration::from_millis(300));
    drop(before);
    assert!(is_ready(at, Instant::now() + Duration::from_secs(4)), "{}", program.log());
}
