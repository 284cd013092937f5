//! The operators' acceptance criteria that need the built program: idle clients at the descriptor limit while
//! discovery is down, and readiness after a start.

mod harness;

use harness::*;
use mulleinhub_platform_protocol::{FrameBuffer, kind, write_with_cause};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Opens idle connections, as many as it can, until it is stopped. Some have identified themselves, some are
/// silent, some send a partial message; closed ones are replaced.
fn run_idle_clients(at: SocketAddr, stop: &AtomicBool) {
    let mut open: Vec<TcpStream> = Vec::new();
    let mut n = 0;
    while !stop.load(Ordering::Relaxed) {
        open.retain(|client| !matches!(client.peek(&mut [0]), Ok(0)));
        if open.len() >= 400 {
            std::thread::sleep(Duration::from_millis(2));
            continue;
        }
        let Ok(mut client) = TcpStream::connect(at) else { continue };
        client.set_nonblocking(true).expect("is set");
        n += 1;
        let _ = match n % 4 {
            0 => Ok(()),
            1 => client.write_all(&start_request(n)[..20]),
            2 => client.write_all(b"\xff\xff\xff\xff noise"),
            _ => client.write_all(&encoded(|out| write_with_cause(out, kind::HEALTH_CHECK, n, 0))),
        };
        open.push(client);
    }
}

#[test]
fn idle_clients_at_descriptor_limit_without_discovery_block_nobody() {
    for descriptors in [64, 256] {
        let list_service = listener(20);
        let at = address(&list_service);
        drop(list_service);
        let second = listener(21);
        let machine = second.try_clone().expect("is shared");
        std::thread::spawn(move || accept_all_tasks(machine));
        // The only known machine is draining.
        let scheduler = Scheduler::with_limits(Some(descriptors), |config| {
            let start = config.find("\"bulletin\":\"").expect("a bulletin") + 12;
            let end = start + config[start..].find('"').expect("its address");
            format!("{}{at}{}", &config[..start], &config[end..]).replacen("in_service", "terminating", 1)
        });
        wait_until_handled(&mut scheduler.connect());
        let stop = AtomicBool::new(false);
        std::thread::scope(|scope| {
            for _ in 0..2 {
                scope.spawn(|| run_idle_clients(scheduler.listen, &stop));
            }
            let stop_on_drop = StopOnDrop(&stop);
            std::thread::sleep(Duration::from_millis(1_500));
            // Discovery is back, and is used.
            let list_service = TcpListener::bind(at).expect("the same address");
            let mut watch = accept_connection(&list_service);
            assert_eq!(read_last_event_id(&mut watch), 1);
            watch.write_all(b"HTTP/1.1 200 OK\r\n\r\n: \n\n").expect("is sent");
            watch
                .write_all(&sse_event(2, &[list_entry("s-2", address(&second), "in_service", 0)]))
                .expect("is sent");
            scheduler.wait_for_log(&address(&second).to_string());
            // Clients with tasks are served at once, on new connections.
            for task in 9_001..9_011 {
                let started_at = Instant::now();
                let mut client = scheduler.connect();
                client.write_all(&start_request(task)).expect("is sent");
                assert_eq!(
                    next_message(&mut client),
                    (kind::ACCEPT, task, None),
                    "with {descriptors} descriptors"
                );
                assert!(started_at.elapsed() < Duration::from_secs(2), "{:?}", started_at.elapsed());
            }
            drop(stop_on_drop);
        });
        let log = scheduler.log();
        assert!(!log.contains(log_lines::ACCEPT_FAILED), "{log}");
        // And once the idle clients are gone, it serves as before.
        let mut client = scheduler.connect();
        client.write_all(&start_request(9_100)).expect("is sent");
        assert_eq!(next_message(&mut client), (kind::ACCEPT, 9_100, None));
    }
}

/// Stops the idle clients, also where a test fails.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Whether a health check succeeds at this address before the deadline.
fn becomes_ready(at: SocketAddr, deadline: Instant) -> bool {
    while Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(5));
        let Ok(mut front) = TcpStream::connect(at) else { continue };
        front.set_read_timeout(Some(Duration::from_millis(500))).expect("is set");
        if front.write_all(&encoded(|out| write_with_cause(out, kind::HEALTH_CHECK, 1, 0))).is_err() {
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
fn nine_of_ten_processes_are_ready_within_ten_seconds() {
    // Up, down, or silent before its response; with a list of one machine, or of a thousand that changed
    // often.
    let large: Vec<String> = (1..=1_000u64)
        .map(|n| {
            let at = SocketAddr::from(([127, 0, 10 + (n / 250) as u8, (n % 250) as u8], 5_080));
            list_entry(&format!("m-{n}"), at, "in_service", 0)
        })
        .collect();
    let events: Vec<String> = std::iter::once(list_event(1, true, &large))
        .chain((2..1_000).map(|number| list_event(number, false, &large[(number as usize) % 900..][..8])))
        .collect();
    for (discovery, known) in
        [("up", 1), ("down", 1), ("silent", 1), ("up", 999), ("down", 999), ("silent", 999)]
    {
        let started: Vec<Scheduler> = (0..10)
            .map(|_| {
                let scheduler = Scheduler::with_config(|config| {
                    if known == 1 {
                        return config;
                    }
                    let from = config.find("\"known\":").expect("a list");
                    let to = config.find("\"settings\":").expect("settings");
                    let known = format!("\"known\":{{\"no\":{known},\"items\":[{}]}},", events.join(","));
                    format!("{}{known}{}", &config[..from], &config[to..])
                });
                match discovery {
                    "up" => {
                        let list_service = scheduler.list_service.try_clone().expect("is shared");
                        std::thread::spawn(move || {
                            let Ok((mut watch, _)) = list_service.accept() else { return };
                            while watch.write_all(b"HTTP/1.1 200 OK\r\n\r\n: \n\n").is_ok() {
                                std::thread::sleep(Duration::from_secs(1));
                            }
                        });
                    }
                    // Watches are neither accepted nor refused.
                    "silent" => rustix::net::listen(&scheduler.list_service, 0).expect("is narrowed"),
                    _ => rustix::net::shutdown(&scheduler.list_service, rustix::net::Shutdown::Both)
                        .expect("refuses from now on"),
                }
                scheduler
            })
            .collect();
        let deadline = Instant::now() + Duration::from_secs(10);
        let ready = started.iter().filter(|scheduler| becomes_ready(scheduler.listen, deadline)).count();
        assert!(ready >= 9, "{ready} of 10 with discovery {discovery}, {known} events known");
    }
}

#[test]
fn start_waits_for_an_address_still_in_use() {
    // The listener stands for the previous process, which exits while the next one starts.
    let before = listener(22);
    let at = address(&before);
    let scheduler = Scheduler::listening_at(at);
    scheduler.wait_for_log(log_lines::STARTING);
    std::thread::sleep(Duration::from_millis(300));
    drop(before);
    assert!(becomes_ready(at, Instant::now() + Duration::from_secs(4)), "{}", scheduler.log());
}
