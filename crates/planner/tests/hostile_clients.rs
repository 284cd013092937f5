//! Clients that write slowly, stop half way, send at full speed or leave with much unread, beside usual ones: the
//! process stays within its memory, the others are answered, and nothing is forwarded for those that left.
//!
//! `cargo test --release -p mulleinhub-planner --test hostile_clients -- --nocapture --test-threads 1` prints the figures.

mod harness;

use harness::fleet::{Behavior, FIRST_LOAD_TASK, Machine};
use harness::load::{LoadClient, LoadStats};
use harness::*;
use mulleinhub_platform_protocol::{cause_code, code, kind, write_message};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The memory that the configuration allows, in megabytes.
const MEMORY_MB: f64 = 32.0;
/// Usual clients are served again within this once the others are gone.
const RECOVERY: Duration = Duration::from_secs(1);
/// How long the hostile clients go on.
const HOSTILITY: Duration = Duration::from_secs(2);
/// The client timeout of the settings, after which an answer is late.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Nothing may be forwarded so long after its client has left.
const FORWARDING_GRACE: Duration = Duration::from_millis(100);
/// The length of a description with which a message is nearly as long as may be.
const LONG_DESCRIPTION: usize = 15_900;

/// A scheduler with its limits, and a machine.
fn scheduler_with(descriptors: usize, behavior: Behavior) -> (Scheduler, Machine) {
    let scheduler = Scheduler::in_service(|config| {
        let sockets = format!(r#""memory_mb":32,"sockets":{descriptors}"#);
        config.replace(r#""memory_mb":32,"sockets":256"#, &sockets)
    });
    let machine = Machine::listening_on(&scheduler.machine, behavior);
    wait_until_handled(&mut scheduler.connect());
    (scheduler, machine)
}

/// What usual clients saw while hostile ones did their work, and after it.
struct Outcome {
    during: LoadStats,
    after: LoadStats,
    peak_memory_mb: f64,
}

/// Plays hostile clients, as many threads as are given, beside two usual ones.
fn play(
    name: &str,
    scheduler: &Scheduler,
    threads: usize,
    hostile: impl Fn(SocketAddr, usize, &AtomicBool) + Send + Sync + 'static,
) -> Outcome {
    let (stop, hostile) = (Arc::new(AtomicBool::new(false)), Arc::new(hostile));
    let usual = [LoadClient::new(scheduler.listen, 1), LoadClient::new(scheduler.listen, 2)];
    let workers: Vec<_> = (0..threads)
        .map(|number| {
            let (at, stop, hostile) = (scheduler.listen, stop.clone(), hostile.clone());
            std::thread::spawn(move || hostile(at, number, &stop))
        })
        .collect();
    std::thread::sleep(HOSTILITY);
    let during = sum(usual.map(LoadClient::stop));
    stop.store(true, Ordering::Relaxed);
    workers.into_iter().for_each(|worker| worker.join().expect("it ends"));
    std::thread::sleep(RECOVERY);
    let later = [LoadClient::new(scheduler.listen, 3), LoadClient::new(scheduler.listen, 4)];
    std::thread::sleep(RECOVERY);
    let after = sum(later.map(LoadClient::stop));
    let peak_memory_mb = scheduler.peak_memory_mb();
    println!("{name}: peak {peak_memory_mb:.1} MB of {MEMORY_MB} MB");
    for (phase, stats) in [("during", during), ("after", after)] {
        let LoadStats { requests, rejected, failed, unanswered, p99, .. } = stats;
        println!(
            "  {phase}: {requests} asked, p99 {p99:?}, {unanswered} lost, {rejected} refused, {failed} failed"
        );
    }
    Outcome { during, after, peak_memory_mb }
}

fn sum(stats: [LoadStats; 2]) -> LoadStats {
    let [one, two] = stats;
    LoadStats {
        requests: one.requests + two.requests,
        placed: one.placed + two.placed,
        rejected: one.rejected + two.rejected,
        failed: one.failed + two.failed,
        unanswered: one.unanswered + two.unanswered,
        longest_gap: one.longest_gap.max(two.longest_gap),
        p99: one.p99.max(two.p99),
    }
}

impl Outcome {
    /// The process kept its memory, and the usual clients their answers.
    fn check(&self) {
        assert!(self.peak_memory_mb < MEMORY_MB, "{} MB", self.peak_memory_mb);
        for stats in [self.during, self.after] {
            assert_eq!(stats.unanswered, 0, "{stats:?}");
            assert!(stats.requests > 0 && stats.p99 < CLIENT_TIMEOUT, "{stats:?}");
        }
        assert!(self.during.placed > self.during.requests / 2, "{:?}", self.during);
        assert!(self.after.placed > 0 && self.after.rejected + self.after.failed == 0, "{:?}", self.after);
    }
}

/// A start request that is nearly as long as a message may be.
fn long_request(task: u64) -> Vec<u8> {
    let figures = format!("cores:1;memory:2;service:{task:016x}");
    let description = vec![b'.'; LONG_DESCRIPTION];
    let params: [(u8, &[u8]); 5] = [
        (code::CLASS, b"front"),
        (code::TIMEOUT, b"2000"),
        (code::NAME, b"7f3a9c21e0b4d655"),
        (code::RESOURCES, figures.as_bytes()),
        (code::DESCRIPTION, &description),
    ];
    encoded(|out| write_message(out, kind::START, task, &params))
}

/// Connects at full speed until stopped, and has each connection do this; up to so many are kept open.
fn with_connections(
    at: SocketAddr,
    most: usize,
    stop: &AtomicBool,
    mut write: impl FnMut(&mut TcpStream, usize) -> std::io::Result<()>,
) {
    let mut open: Vec<TcpStream> = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        if open.len() < most
            && let Ok(stream) = TcpStream::connect_timeout(&at, Duration::from_millis(200))
        {
            stream.set_nonblocking(true).expect("is set");
            open.push(stream);
        }
        let mut number = 0;
        open.retain_mut(|stream| {
            number += 1;
            match write(stream, number) {
                Ok(()) => true,
                Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
            }
        });
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn slow_writers_of_long_requests_leave_memory_and_answers() {
    let (scheduler, _machine) = scheduler_with(1_024, Behavior::Serves);
    let outcome = play("600 clients write long requests by 16 bytes", &scheduler, 6, |at, worker, stop| {
        let request = long_request(worker as u64 + 1);
        let mut written = vec![0; 101];
        with_connections(at, 100, stop, |stream, number| {
            let from = written[number];
            let part = &request[from.min(request.len())..(from + 16).min(request.len())];
            written[number] += stream.write(part)?;
            Ok(())
        });
    });
    outcome.check();
}

#[test]
fn half_written_requests_leave_memory_and_answers() {
    let (scheduler, _machine) = scheduler_with(1_024, Behavior::Serves);
    let outcome =
        play("900 clients stop near the end of a long request", &scheduler, 6, |at, worker, stop| {
            let request = long_request(worker as u64 + 1);
            let mut newest = 0;
            with_connections(at, 150, stop, |stream, number| {
                if number > newest {
                    newest = number;
                    stream.write_all(&request[..request.len() - 10])?;
                }
                Ok(())
            });
        });
    outcome.check();
}

#[test]
fn messages_of_many_short_parameters_leave_memory_and_answers() {
    let (scheduler, _machine) = scheduler_with(1_024, Behavior::Serves);
    let outcome =
        play("300 clients send messages of 5,000 empty parameters", &scheduler, 6, |at, worker, stop| {
            let params = vec![(200_u8, &b""[..]); 5_000];
            let request = encoded(|out| write_message(out, kind::START, worker as u64 + 1, &params));
            with_connections(at, 50, stop, |stream, _| stream.write(&request).map(drop));
        });
    outcome.check();
}

/// Guards against a process that grew beyond its memory as it held many long requests, and those on their way to
/// machines twice (picture a).
#[test]
fn long_requests_that_wait_leave_memory_and_answers() {
    let (scheduler, _machine) = scheduler_with(1_024, Behavior::Silent);
    let stop = AtomicBool::new(false);
    let mut clients: Vec<TcpStream> = (0..200).map(|_| scheduler.connect()).collect();
    let mut task = 1;
    let began_at = Instant::now();
    while began_at.elapsed() < HOSTILITY && !stop.load(Ordering::Relaxed) {
        for client in &mut clients {
            client.set_nonblocking(true).expect("is set");
            for _ in 0..20 {
                task += 1;
                if client.write_all(&long_request(task)).is_err() {
                    break;
                }
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let peak = scheduler.peak_memory_mb();
    println!(
        "200 clients send long requests that no machine answers: peak {peak:.1} MB of {MEMORY_MB} MB, {task} written"
    );
    assert!(peak < MEMORY_MB, "{peak} MB");
}

#[test]
fn clients_that_never_read_leave_memory_and_answers() {
    let (scheduler, _machine) = scheduler_with(1_024, Behavior::Serves);
    let outcome = play("300 clients send invalid requests and read nothing", &scheduler, 6, |at, _, stop| {
        let request = encoded(|out| write_message(out, kind::START, 9, &[]));
        let many: Vec<u8> = (0..1_000).flat_map(|_| request.clone()).collect();
        with_connections(at, 50, stop, |stream, _| stream.write(&many).map(drop));
    });
    outcome.check();
}

/// One client on one connection, at full speed; answers are read or not.
fn flood(name: &str, reads: bool, message: impl Fn(u64, &mut Vec<u8>) + Send + Sync + 'static) -> Outcome {
    let (scheduler, _machine) = scheduler_with(256, Behavior::Serves);
    play(name, &scheduler, 1, move |at, _, stop| {
        // Tasks with such numbers end at once where they are placed, and take no capacity.
        let (mut task, mut bytes, mut read_buffer) = (10 * FIRST_LOAD_TASK, Vec::new(), vec![0; 1 << 16]);
        while !stop.load(Ordering::Relaxed) {
            let Ok(mut stream) = TcpStream::connect(at) else { continue };
            let timeout = Some(Duration::from_millis(50));
            stream.set_write_timeout(timeout).expect("is set");
            let mut reader = stream.try_clone().expect("is shared");
            reader.set_read_timeout(timeout).expect("is set");
            let ended = Arc::new(AtomicBool::new(false));
            let reading = ended.clone();
            let mut buffer = std::mem::replace(&mut read_buffer, vec![0; 1 << 16]);
            let reader = reads.then(|| {
                std::thread::spawn(move || {
                    while !reading.load(Ordering::Relaxed) {
                        let _ = std::io::Read::read(&mut reader, &mut buffer);
                    }
                })
            });
            loop {
                bytes.clear();
                (0..200).for_each(|_| {
                    task += 1;
                    message(task, &mut bytes);
                });
                if stop.load(Ordering::Relaxed) || stream.write_all(&bytes).is_err() {
                    break;
                }
            }
            ended.store(true, Ordering::Relaxed);
            reader.into_iter().for_each(|reader| reader.join().expect("it ends"));
        }
    })
}

#[test]
fn floods_of_small_messages_leave_memory_and_answers() {
    for reads in [true, false] {
        flood(&format!("notes at full speed, answers read: {reads}"), reads, |task, out| {
            write_message(out, kind::NOTE, task, &[]);
        })
        .check();
        flood(&format!("health checks at full speed, answers read: {reads}"), reads, |task, out| {
            write_message(out, kind::HEALTH_CHECK, task, &[(code::CAUSE, &[0])]);
        })
        .check();
        flood(
            &format!("releases and acknowledgements at full speed, answers read: {reads}"),
            reads,
            |task, out| {
                out.extend(release(task, cause_code::ENDED));
                write_message(out, kind::RELEASE_ACK, task, &[]);
            },
        )
        .check();
    }
}

#[test]
fn floods_of_invalid_requests_leave_memory_and_answers() {
    for reads in [true, false] {
        flood(&format!("invalid requests at full speed, answers read: {reads}"), reads, |task, out| {
            write_message(out, kind::START, task, &[]);
        })
        .check();
    }
}

#[test]
fn floods_of_adoptions_leave_memory_and_answers() {
    for (machine, reads) in [("s-1", true), ("unlisted", true), ("unlisted", false)] {
        flood(
            &format!("adoptions at {machine} at full speed, answers read: {reads}"),
            reads,
            move |task, out| {
                out.extend(request_of_service(task, 1, &format!(";at:{machine}")));
            },
        )
        .check();
    }
}

/// A start request of this service; `more` is appended to the figures.
fn request_of_service(task: u64, service: u64, more: &str) -> Vec<u8> {
    let figures = format!("cores:1;memory:2;service:{service:016x}{more}");
    let params: [(u8, &[u8]); 5] = [
        (code::CLASS, b"front"),
        (code::TIMEOUT, b"2000"),
        (code::NAME, b"7f3a9c21e0b4d655"),
        (code::RESOURCES, figures.as_bytes()),
        (code::DESCRIPTION, b"wanted"),
    ];
    encoded(|out| write_message(out, kind::START, task, &params))
}

#[test]
fn floods_of_requests_under_new_names_leave_memory_and_answers() {
    for takes_back in [true, false] {
        flood(
            &format!("requests of ever new services at full speed, taken back: {takes_back}"),
            true,
            move |task, out| {
                out.extend(request_of_service(task, task, ""));
                if takes_back {
                    out.extend(release(task, cause_code::ENDED));
                }
            },
        )
        .check();
    }
}

/// A client writes requests for this long, and leaves without having read an answer; returns when.
fn write_and_leave(mut client: TcpStream, length: Duration, request: impl Fn(u64) -> Vec<u8>) -> Instant {
    client.set_write_timeout(Some(length)).expect("is set");
    let began_at = Instant::now();
    let mut task = 10 * FIRST_LOAD_TASK;
    while began_at.elapsed() < length {
        let many: Vec<u8> = (0..20).flat_map(|number| request(task + number)).collect();
        task += 20;
        if client.write_all(&many).is_err() {
            break;
        }
    }
    let left_at = Instant::now();
    let _ = client.shutdown(Shutdown::Both);
    left_at
}

/// Guards against requests that are sent on long after their client has left (picture c).
#[test]
fn nothing_is_forwarded_for_a_client_that_left_with_much_unread() {
    for behavior in [Behavior::Silent, Behavior::Rejects, Behavior::Serves] {
        for (manner, is_long, stalls) in
            [("short", false, false), ("long", true, false), ("short unread", false, true)]
        {
            let (scheduler, machine) = scheduler_with(256, behavior);
            let request = move |task| {
                if is_long { long_request(task) } else { request_of_service(task, task % 16, "") }
            };
            let client = scheduler.connect();
            if stalls {
                scheduler.pause();
            }
            let left_at = write_and_leave(client, Duration::from_millis(700), request);
            if stalls {
                scheduler.resume();
            }
            std::thread::sleep(Duration::from_millis(2_500));
            let sent = machine.start_requests();
            let late: Vec<Duration> =
                sent.iter().map(|(_, at)| at.saturating_duration_since(left_at)).collect();
            let latest = late.iter().max().copied().unwrap_or_default();
            let begun_after = late.iter().filter(|after| !after.is_zero()).count();
            let after_grace = late.iter().filter(|after| **after > FORWARDING_GRACE).count();
            println!(
                "{manner} requests of a client that leaves, machine {behavior:?}: {} forwarded, {begun_after} after \
                 the close, {after_grace} over {FORWARDING_GRACE:?} after it, the last {latest:?}",
                sent.len()
            );
            assert_eq!(after_grace, 0, "the last after {latest:?}");
        }
    }
}

/// Guards against a task that runs twice: its client left, and the same id came again (picture c).
#[test]
fn id_that_comes_again_after_its_client_left_runs_once() {
    for class in ["once", "batch"] {
        let (scheduler, machine) = scheduler_with(256, Behavior::Silent);
        let mut first = scheduler.connect();
        first.write_all(&start_request_of(7, class, "")).expect("is sent");
        std::thread::sleep(Duration::from_millis(100));
        let sent_before = machine.start_requests().len();
        drop(first);
        std::thread::sleep(Duration::from_millis(100));
        machine.set_behavior(Behavior::Serves);
        let mut again = scheduler.connect();
        again.write_all(&start_request_of(7, class, "")).expect("is sent");
        let answer = next_message(&mut again);
        let sent = machine.start_requests().len();
        println!(
            "{class}: sent {sent_before} times before its client left, {sent} in all, then answered {answer:?}"
        );
        assert_eq!(sent, 1, "it may have run, and was sent again");
    }
}
