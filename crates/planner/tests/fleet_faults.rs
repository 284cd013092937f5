//! Faults around running schedulers: reload and drain, list watches that fall silent late, snapshots, early
//! kills, fragmented requests, and slow start under a few dozen processes. Load clients count unanswered
//! requests and the longest time without service. docs/crossings.md has a row for each.

mod harness;

use harness::disconnect::Disconnect;
use harness::fleet::*;
use harness::load::*;
use harness::*;
use mulleinhub_platform_protocol::{cause_code, kind};
use rustix::process::Signal;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest time without service after a change of the list: 2.2 s after which a silent watch is replaced,
/// half a second for late connections, and as much as both again for a machine that is busy with other tests.
/// A scheduler that serves nobody fails by far.
const MAX_SERVICE_GAP: Duration = Duration::from_millis(5_500);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A scheduler with this first machine and this list service, which several may share.
fn start_scheduler(machine: SocketAddr, list_service: SocketAddr) -> Scheduler {
    Scheduler::with_config(|_| config(machine, list_service))
}

/// Every request was answered, and the gaps in service were short.
fn assert_served(stats: LoadStats, within: Duration) {
    assert_eq!(stats.unanswered, 0, "{stats:?}");
    assert!(stats.placed > 0 && stats.longest_gap < within, "{stats:?}");
}

fn move_list_service(scheduler: &Scheduler, machine: SocketAddr, list_service: SocketAddr) {
    std::fs::write(&scheduler.config, config(machine, list_service)).expect("is written");
    scheduler.signal(Signal::HUP);
}

#[test]
fn reloads_with_drains_and_shutdown_leave_no_request_unanswered() {
    let mut scheduler = Scheduler::start();
    let first = Machine::listening_on(&scheduler.machine, Behavior::Serves);
    let (second, third) = (Machine::new(30, Behavior::Serves), Machine::new(31, Behavior::Serves));
    let old = Discovery::listening_on(&scheduler.list_service);
    let load = LoadClient::new(scheduler.listen, 1);
    let mut client = scheduler.connect();
    client.write_all(&start_request(7)).expect("is sent");
    assert_eq!(next_message(&mut client), (kind::ACCEPT, 7, None));
    old.wait_for_watches(Instant::now() - ms(5_000), 1);
    // The first event of the new service is a drain.
    let moved_service = Discovery::new(32);
    moved_service.send_changes(
        2,
        &[list_entry("s-1", first.at, "terminating", 0), list_entry("s-2", second.at, "in_service", 0)],
    );
    move_list_service(&scheduler, first.at, moved_service.at);
    scheduler.wait_for_log(log_lines::MACHINE_DRAINING);
    wait_until_handled(&mut client);
    let drained = first.start_requests().len();
    // A task there runs until its machine reports the end; then the machine dies.
    first.report_end(7);
    assert_eq!(next_message(&mut client), (kind::RELEASE, 7, Some(cause_code::ENDED)));
    std::thread::sleep(ms(100));
    assert_eq!(first.start_requests().len(), drained, "it drains");
    first.set_behavior(Behavior::Dead);
    // An address without a service yet; when there is one, its first event is the next drain.
    let later = listener(33);
    let at = address(&later);
    drop(later);
    move_list_service(&scheduler, first.at, at);
    std::thread::sleep(ms(700));
    let later = Discovery::listening_on(&TcpListener::bind(at).expect("the same address"));
    later.send_changes(
        3,
        &[list_entry("s-2", second.at, "terminating", 0), list_entry("s-3", third.at, "in_service", 0)],
    );
    scheduler.wait_for_log(&third.at.to_string());
    wait_until_handled(&mut client);
    let drained = second.start_requests().len();
    // Back and forth at once, and then the shutdown, after which all requests are still answered.
    for n in 0..6 {
        move_list_service(&scheduler, first.at, [later.at, moved_service.at][n % 2]);
    }
    scheduler.signal(Signal::TERM);
    scheduler.signal(Signal::HUP);
    std::thread::sleep(ms(500));
    assert_served(load.stop(), MAX_SERVICE_GAP);
    drop(client);
    assert_eq!(scheduler.wait_for_exit(), Some(0), "{}", scheduler.log());
    assert_eq!(second.start_requests().len(), drained, "it drains");
}

#[test]
fn late_silent_watches_do_not_interrupt_service() {
    // The only machine is replaced while the schedulers' watches are silent.
    let mut machine = Machine::new(34, Behavior::Serves);
    let discovery = Discovery::new(35);
    let schedulers: Vec<Scheduler> = (0..4).map(|_| start_scheduler(machine.at, discovery.at)).collect();
    let loads: Vec<LoadClient> =
        (1..).zip(&schedulers).map(|(n, one)| LoadClient::new(one.listen, n)).collect();
    let started_at = Instant::now();
    discovery.wait_for_watches(started_at - ms(1_000), 4);
    // Watches work first, and then fall silent; once the next watch is silent, too.
    for (round, silent_watches) in [(0, 0), (1, 0), (2, 4)] {
        let new = Machine::new(36 + round, Behavior::Serves);
        std::thread::sleep(ms(1_200));
        discovery.stop_sending(silent_watches);
        let since = Instant::now();
        std::thread::sleep(ms(20));
        machine.set_behavior(Behavior::Dead);
        let uid = |round| format!("s-{}", round + 1);
        let number = u64::from(round) + 2;
        let removed = list_entry(&uid(round), machine.at, "terminated", 0);
        discovery.send_changes(number, &[removed, list_entry(&uid(round + 1), new.at, "in_service", 0)]);
        // Each scheduler detects its silence alone; its list counts as stale four seconds after the silence
        // began.
        let elapsed = discovery.wait_for_watches(since, 4);
        assert!(elapsed < ms(3_500), "{elapsed:?}");
        schedulers.iter().for_each(|scheduler| scheduler.wait_for_log(&new.at.to_string()));
        machine = new;
    }
    std::thread::sleep(ms(500));
    for load in loads {
        // At most two silent watches in a row.
        assert_served(load.stop(), MAX_SERVICE_GAP + ms(2_200));
    }
}

#[test]
fn snapshots_instead_of_changes_do_not_interrupt_service() {
    let machines: Vec<Machine> = (40..44).map(|host| Machine::new(host, Behavior::Serves)).collect();
    let entry = |n: usize| list_entry(&format!("s-{}", n + 1), machines[n].at, "in_service", 0);
    let discovery = Discovery::new(44);
    let scheduler = start_scheduler(machines[0].at, discovery.at);
    let load = LoadClient::new(scheduler.listen, 1);
    let mut client = scheduler.connect();
    client.write_all(&start_request(7)).expect("is sent");
    assert_eq!(next_message(&mut client), (kind::ACCEPT, 7, None));
    // A snapshot where changes were expected; it removes the known machine.
    discovery.send_snapshot(2, &[entry(1)]);
    wait_for_requests_on(&machines, 1);
    // A task on a removed machine keeps running, and its end is reported.
    machines[0].report_end(7);
    assert_eq!(next_message(&mut client), (kind::RELEASE, 7, Some(cause_code::ENDED)));
    // Several snapshots on an open watch, with gaps in the numbering, one of them empty for a moment.
    discovery.send_snapshot(5, &[entry(2)]);
    wait_for_requests_on(&machines, 2);
    discovery.send_snapshot(6, &[]);
    std::thread::sleep(ms(300));
    discovery.send_snapshot(9, &[entry(0), entry(1)]);
    wait_for_requests_on_any(&machines[..2]);
    // Fragmented, closed in the middle, and sent again.
    discovery.fragment_writes();
    discovery.send_snapshot(10, &[entry(3)]);
    std::thread::sleep(ms(15));
    discovery.close_watches();
    wait_for_requests_on(&machines, 3);
    // The service lost its history: its numbering restarts with a snapshot.
    discovery.restart_numbering(&[entry(0)]);
    wait_for_requests_on(&machines, 0);
    discovery.send_snapshot(2, &[entry(2)]);
    wait_for_requests_on(&machines, 2);
    assert_served(load.stop(), MAX_SERVICE_GAP);
}

/// Waits until all requests go to one machine.
fn wait_for_requests_on(machines: &[Machine], n: usize) {
    let started_at = Instant::now();
    let counts = |machines: &[Machine]| -> Vec<usize> {
        machines.iter().map(|machine| machine.start_requests().len()).collect()
    };
    loop {
        let before = counts(machines);
        std::thread::sleep(ms(200));
        let after = counts(machines);
        let grew: Vec<usize> = (0..machines.len()).filter(|at| after[*at] > before[*at]).collect();
        if grew == [n] {
            return;
        }
        assert!(started_at.elapsed() < MAX_SERVICE_GAP, "requests go to {grew:?}, not to {n} alone");
    }
}

/// Waits for a request to any of these machines.
fn wait_for_requests_on_any(machines: &[Machine]) {
    let count = || machines.iter().map(|machine| machine.start_requests().len()).sum::<usize>();
    let (before, started_at) = (count(), Instant::now());
    while count() == before {
        assert!(started_at.elapsed() < MAX_SERVICE_GAP, "no request arrived");
        std::thread::sleep(ms(5));
    }
}

#[test]
fn all_requests_are_answered_before_the_earliest_kill() {
    // SIGKILL comes no sooner than the longest client timeout, counted as three seconds where it is longer,
    // and 0.7 s after SIGTERM; requests arrive until 0.6 s.
    for (wait, kill) in [("2500", 3_200), ("60000", 3_700)] {
        let deadline = format!("\"deadline\":{wait}000000");
        let mut scheduler =
            Scheduler::with_config(|config| config.replace("\"deadline\":2500000000", &deadline));
        let _silent = Machine::listening_on(&scheduler.machine, Behavior::Silent);
        let mut clients: Vec<_> = (0..8).map(|_| scheduler.connect()).collect();
        wait_until_handled(&mut clients[0]);
        let signalled_at = Instant::now();
        scheduler.signal(Signal::TERM);
        for (task, client) in (1..).zip(&mut clients) {
            client.write_all(&with_client_timeout(start_request(task), wait)).expect("is sent");
            std::thread::sleep(ms(75));
        }
        assert!(signalled_at.elapsed() < ms(690), "too slow a machine for this test");
        for (task, mut client) in (1..).zip(clients) {
            let answer = answer_to(&mut client, task);
            assert!(answer.is_some(), "{task} has no answer");
        }
        let elapsed = signalled_at.elapsed();
        assert!(elapsed < ms(kill), "the last answer came {elapsed:?} after SIGTERM");
        assert_eq!(scheduler.wait_for_exit(), Some(0), "{}", scheduler.log());
        assert!(signalled_at.elapsed() < ms(kill), "it was there when the kill came");
    }
}

#[test]
fn early_terminations_leave_neighbours_and_successor_serving() {
    let machine = Machine::new(45, Behavior::Serves);
    let discovery = Discovery::new(46);
    let neighbour = start_scheduler(machine.at, discovery.at);
    let load = LoadClient::new(neighbour.listen, 1);
    let mut client = neighbour.connect();
    for (n, (signal, after)) in [
        (Signal::KILL, 0),
        (Signal::TERM, 0),
        (Signal::TERM, 3),
        (Signal::KILL, 10),
        (Signal::TERM, 10),
        (Signal::KILL, 60),
        (Signal::TERM, 60),
    ]
    .into_iter()
    .enumerate()
    {
        let mut early_scheduler = start_scheduler(machine.at, discovery.at);
        std::thread::sleep(ms(after));
        // A client that connects and sends its request before the signal gets an answer.
        let mut early_client = std::net::TcpStream::connect(early_scheduler.listen).ok();
        let task = 100 + n as u64;
        if let Some(early_client) = early_client.as_mut() {
            early_client.set_read_timeout(Some(TIMEOUT)).expect("is set");
            early_client.write_all(&start_request(task)).expect("is sent");
        }
        early_scheduler.signal(signal);
        if signal == Signal::KILL {
            early_scheduler.kill();
        } else {
            if let Some(early_client) = early_client.as_mut() {
                assert!(
                    answer_to(early_client, task).is_some(),
                    "{signal:?} after {after} ms: {}",
                    early_scheduler.log()
                );
            }
            let started_at = Instant::now();
            let _ = early_scheduler.wait_for_exit();
            assert!(started_at.elapsed() < ms(5_000), "{}", early_scheduler.log());
        }
        // Its task is handed over to a neighbour, which adopts it and reports its end.
        client.write_all(&start_request_of(task, "front", ";at:s-1")).expect("is sent");
        wait_until_handled(&mut client);
        machine.report_end(task);
        assert_eq!(next_message(&mut client), (kind::RELEASE, task, Some(cause_code::ENDED)));
        // The successor at the address serves, though connections of the old process linger.
        let started_at = Instant::now();
        let successor = early_scheduler.start_successor();
        let successor_load = LoadClient::new(successor.listen, 2 + n as u64);
        let first_task = format!("task=\"{:08x}", 2 + n);
        successor.wait_for_log(&first_task);
        assert!(started_at.elapsed() < ms(10_000));
        std::thread::sleep(ms(100));
        assert_served(successor_load.stop(), MAX_SERVICE_GAP);
    }
    assert_served(load.stop(), MAX_SERVICE_GAP);
}

#[test]
fn fragmented_requests_answers_and_lists_are_reassembled() {
    let discovery = Discovery::new(47);
    discovery.fragment_writes();
    let machine = Machine::new(48, Behavior::ServesFragmented);
    let second = Machine::new(49, Behavior::ServesFragmented);
    let scheduler = start_scheduler(machine.at, discovery.at);
    let unfragmented = LoadClient::new(scheduler.listen, 1);
    let fragments = [(1, 1), (7, 5), (40, 100), (120, 300)];
    let loads: Vec<LoadClient> = (2..)
        .zip(fragments)
        .map(|(n, (fragment_length, pause))| {
            LoadClient::fragmented(scheduler.listen, n, fragment_length, ms(pause))
        })
        .collect();
    discovery.send_changes(2, &[list_entry("s-2", second.at, "in_service", 0)]);
    scheduler.wait_for_log(&second.at.to_string());
    std::thread::sleep(ms(2_000));
    assert_served(unfragmented.stop(), MAX_SERVICE_GAP);
    loads.into_iter().for_each(|load| assert_served(load.stop(), MAX_SERVICE_GAP));
}

#[test]
fn fragmented_first_requests_of_all_guaranteed_clients_are_answered() {
    // A third of the descriptors is guaranteed to clients. All of them are new and have sent no complete
    // request.
    let scheduler = Scheduler::start();
    let _machine = Machine::listening_on(&scheduler.machine, Behavior::Serves);
    wait_until_handled(&mut scheduler.connect());
    let send_fragmented = |n: u64| {
        let (mut client, task) = (scheduler.connect(), (1 << 32) + n);
        let request = start_request(task);
        client.write_all(&request[..60]).expect("is sent");
        std::thread::spawn(move || {
            std::thread::sleep(ms(200));
            write_fragmented(&mut client, &request[60..], 60, ms(150)).ok()?;
            answer_to(&mut client, task)
        })
    };
    let threads: Vec<_> = (0..256 / 3 - 1).map(send_fragmented).collect();
    let answers: Vec<_> = threads.into_iter().map(|thread| thread.join().expect("sends")).collect();
    let unanswered = answers.iter().filter(|answer| answer.is_none()).count();
    assert_eq!(unanswered, 0, "of {}", answers.len());
    assert!(answers.iter().all(|answer| *answer == Some(Answer::Placed)), "{answers:?}");
}

#[test]
fn late_fragmented_first_request_is_answered() {
    // A connection that is silent for two seconds is closed; a message has two seconds from its first byte.
    let scheduler = Scheduler::start();
    let _machine = Machine::listening_on(&scheduler.machine, Behavior::Serves);
    let mut client = scheduler.connect();
    wait_until_handled(&mut scheduler.connect());
    std::thread::sleep(ms(1_700));
    let task = (1 << 32) + 1;
    write_fragmented(&mut client, &start_request(task), 60, ms(400)).expect("is sent");
    assert_eq!(answer_to(&mut client, task), Some(Answer::Placed));
}

#[test]
fn overlapping_fragments_do_not_count_as_a_slow_message() {
    // For longer than one message may take, a part of the next one is always received.
    let scheduler = Scheduler::start();
    let _machine = Machine::listening_on(&scheduler.machine, Behavior::Serves);
    let mut client = scheduler.connect();
    wait_until_handled(&mut client);
    let tasks = (1 << 32) + 1..(1 << 32) + 121;
    let all: Vec<u8> = tasks.clone().flat_map(start_request).collect();
    let length = start_request(1 << 32).len();
    let mut reader = client.try_clone().expect("is shared");
    let answered = std::thread::spawn(move || tasks.filter_map(|task| answer_to(&mut reader, task)).count());
    // The first fragment is half a request, all others end in the middle of one.
    client.write_all(&all[..length / 2]).expect("is sent");
    for fragment in all[length / 2..].chunks(length) {
        std::thread::sleep(ms(25));
        client.write_all(fragment).expect("is sent");
    }
    assert_eq!(answered.join().expect("counts"), 120);
}

#[test]
fn slow_start_budget_holds_across_two_dozen_processes() {
    const PROCESSES: usize = 24;
    const LIMIT: f64 = 40.0;
    let full = Machine::new(50, Behavior::Rejects);
    let warming_up = Machine::new(51, Behavior::Serves);
    let discovery = Discovery::new(52);
    let without_capacity = |entry: String| entry.replace("[32.0,64.0]", "[0.0,0.0]");
    let of_fleet = |n: usize, config: String| {
        without_capacity(config)
            .replace("\"balancers\":1,\"index\":0", &format!("\"balancers\":{PROCESSES},\"index\":{n}"))
    };
    let start = |n: usize| Scheduler::with_config(|_| of_fleet(n, config(full.at, discovery.at)));
    let mut schedulers: Vec<Scheduler> = (0..PROCESSES).map(start).collect();
    let started_at = Instant::now();
    discovery.wait_for_watches(started_at - ms(5_000), PROCESSES);
    // Several clients each, so that together they want far more than the budget.
    let start_clients = |n: usize, scheduler: &Scheduler, incarnation: u64| -> Vec<LoadClient> {
        (0..4)
            .map(|k| LoadClient::new(scheduler.listen, 1 + (n as u64 * 4 + k) + incarnation * 1_000))
            .collect()
    };
    let mut loads: Vec<Vec<LoadClient>> =
        schedulers.iter().enumerate().map(|(n, scheduler)| start_clients(n, scheduler, 0)).collect();
    let boot = SystemTime::now().duration_since(UNIX_EPOCH).expect("after the epoch").as_millis();
    let entry = list_entry("s-2", warming_up.at, "in_service", boot as u64);
    discovery.send_changes(2, std::slice::from_ref(&entry));
    std::thread::sleep(ms(900));
    // Seven in ten are killed and restarted, and forget what they sent.
    for n in (0..PROCESSES).filter(|n| n % 10 < 7) {
        schedulers[n].kill();
        for load in std::mem::take(&mut loads[n]) {
            load.stop();
        }
        schedulers[n] = start(n);
        loads[n] = start_clients(n, &schedulers[n], 1);
    }
    std::thread::sleep(ms(2_600));
    drop(schedulers);
    for load in loads.into_iter().flatten() {
        load.stop();
    }
    let request_times: Vec<Instant> = warming_up.start_requests().into_iter().map(|(_, at)| at).collect();
    // The budget is per second; requests a little later may have been read late.
    let window =
        |from: &Instant| request_times.iter().filter(|at| **at >= *from && **at - *from <= ms(1_000)).count();
    let most = request_times.iter().map(window).max().unwrap_or(0);
    let bound = LIMIT + 2.0 * LIMIT.sqrt() + 2.0;
    assert!(most as f64 <= bound, "{most} requests within a second, {bound:.1} allowed");
    assert!(request_times.len() > 20, "it is used: {} requests", request_times.len());
}

#[test]
fn no_attempt_follows_a_disconnect_after_a_tenth_of_a_second() {
    // Every machine returns all attempts after a delay, so that retries are always pending.
    let machines = [Machine::new(53, Behavior::Returns), Machine::new(54, Behavior::Returns)];
    let discovery = Discovery::new(55);
    let scheduler = start_scheduler(machines[0].at, discovery.at);
    discovery.send_changes(2, &[list_entry("s-2", machines[1].at, "in_service", 0)]);
    scheduler.wait_for_log(&machines[1].at.to_string());
    let mut watcher = scheduler.connect();
    let (mut disconnected, mut still_open) = (Vec::new(), Vec::new());
    for task in 1..=60u64 {
        let mut client = scheduler.connect();
        client.write_all(&start_request(task)).expect("is sent");
        std::thread::sleep(ms(task * 7 % 130));
        still_open.extend(Disconnect::ALL[task as usize % 4].perform(client, task..=task));
        let at = Instant::now();
        // Allows for the time that a message and its answer take now: the machine may be busy.
        wait_until_handled(&mut watcher);
        disconnected.push((task, at + ms(100) + at.elapsed()));
    }
    std::thread::sleep(ms(1_500));
    let all: Vec<(u64, Instant)> = machines.iter().flat_map(Machine::start_requests).collect();
    for (task, until) in disconnected {
        let late = all.iter().filter(|(of, at)| *of == task && *at > until).count();
        assert_eq!(late, 0, "task {task}");
    }
    // Requests were forwarded before the disconnects, and some were retried.
    assert!(all.len() > 70, "{} attempts", all.len());
}

#[test]
fn disconnected_waiting_client_is_not_forwarded_to_a_new_machine() {
    let machine = Machine::new(56, Behavior::Serves);
    let (draining, discovery) = (Machine::new(57, Behavior::Serves), Discovery::new(58));
    let scheduler = Scheduler::with_config(|_| {
        with_long_timeouts(config(draining.at, discovery.at).replacen("in_service", "terminating", 1))
    });
    // The forty disconnects may take seconds on a busy machine: no client's own timeout ends its wait.
    let patient = |task| with_client_timeout(start_request(task), "60000");
    let mut still_open = Vec::new();
    let mut connected = scheduler.connect();
    connected.write_all(&patient((1 << 32) + 1)).expect("is sent");
    for task in 1..=40u64 {
        let mut client = scheduler.connect();
        client.write_all(&patient(task)).expect("is sent");
        wait_until_handled(&mut client);
        still_open.extend(Disconnect::ALL[task as usize % 4].perform(client, task..=task));
    }
    std::thread::sleep(ms(300));
    discovery.send_changes(2, &[list_entry("s-2", machine.at, "in_service", 0)]);
    assert_eq!(answer_to(&mut connected, (1 << 32) + 1), Some(Answer::Placed));
    std::thread::sleep(ms(300));
    let sent: Vec<u64> = machine.start_requests().into_iter().map(|(task, _)| task).collect();
    assert_eq!(sent, [(1 << 32) + 1]);
    assert!(draining.start_requests().is_empty());
}

#[test]
fn lists_of_over_a_thousand_entries_are_used_completely() {
    const ENTRIES: usize = 1_100;
    let (known_last, snapshot_last) =
        (Machine::new(59, Behavior::Serves), Machine::new(60, Behavior::Serves));
    let discovery = Discovery::new(61);
    let unreachable_entry = |n: usize| {
        let at = SocketAddr::from(([127, 0, 20 + (n / 250) as u8, (n % 250) as u8], 5_080));
        list_entry(&format!("m-{n}"), at, "terminating", 0)
    };
    let entries = |last: &Machine, uid: &str| -> Vec<String> {
        let last = list_entry(uid, last.at, "in_service", 0);
        (1..ENTRIES).map(unreachable_entry).chain([last]).collect()
    };
    let known = list_event(1, true, &entries(&known_last, "z-1"));
    let scheduler = Scheduler::with_config(|_| {
        let config = config(known_last.at, discovery.at);
        let (from, to) =
            (config.find("\"known\":").expect("a list"), config.find("\"settings\":").expect("settings"));
        format!("{}\"known\":{{\"no\":1,\"items\":[{known}]}},{}", &config[..from], &config[to..]).replace(
            "\"balancers\":1,\"index\":0",
            &format!("\"balancers\":{ENTRIES},\"index\":{}", ENTRIES - 1),
        )
    });
    let load = LoadClient::new(scheduler.listen, 1);
    wait_for_requests_on_any(std::slice::from_ref(&known_last));
    discovery.send_snapshot(2, &entries(&snapshot_last, "z-2"));
    wait_for_requests_on_any(std::slice::from_ref(&snapshot_last));
    assert_served(load.stop(), MAX_SERVICE_GAP);
}
