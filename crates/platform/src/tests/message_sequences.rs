//! Random messages of clients and machines, several of them about one task in one read: whatever they say, the process goes on
//! and serves the others.

use super::harness::*;
use mulleinhub::Pcg;
use mulleinhub_platform_protocol::{cause_code, kind};
use mulleinhub_sans_io::{CloseReason, ConnectionId, StateMachine};

/// Few ids, so that messages meet.
const IDS: usize = 4;
const MACHINES: u64 = 3;
const SEEDS: u64 = 400;

fn random_task(random: &mut Pcg) -> u64 {
    1 + random.below(IDS) as u64
}

fn client_message(random: &mut Pcg) -> Vec<u8> {
    let task = random_task(random);
    let class = if random.below(2) == 0 { "front" } else { "batch" };
    match random.below(8) {
        0..=2 => with_patience(start_request(task, class, ""), "0400"),
        3 => start_request(task, class, &format!(";at:{}", uid(1 + random.below(4) as u64))),
        4..=5 => release(task, cause_code::ENDED),
        6 => release(task, cause_code::CANCELLED),
        _ => encode(kind::RELEASE_ACK, task, &[]),
    }
}

fn machine_message(random: &mut Pcg) -> Vec<u8> {
    let task = random_task(random);
    let causes = [
        cause_code::FULL,
        cause_code::BUSY,
        cause_code::ERROR,
        cause_code::NOT_SENT,
        cause_code::RESET,
        cause_code::CANCELLED,
        cause_code::ENDED,
        7,
    ];
    match random.below(4) {
        0 => acceptance(task),
        1..=2 => release(task, causes[random.below(causes.len())]),
        _ => encode(kind::NOTE, task, &[(121, b"running")]),
    }
}

fn read_of(random: &mut Pcg, message: impl Fn(&mut Pcg) -> Vec<u8>) -> Vec<u8> {
    (0..1 + random.below(5)).flat_map(|_| message(random)).collect()
}

/// What one step does, without an iteration after it.
fn step(harness: &mut Harness, clients: &mut [ConnectionId], random: &mut Pcg) {
    let machines: Vec<ConnectionId> =
        harness.opened.iter().filter(|(_, to)| *to != DISCOVERY).map(|(id, _)| *id).collect();
    let at = random.below(clients.len());
    match random.below(12) {
        0..=4 => {
            let bytes = read_of(random, client_message);
            harness.scheduler.on_data(harness.now, clients[at], &bytes);
        }
        5..=8 if !machines.is_empty() => {
            let bytes = read_of(random, machine_message);
            harness.scheduler.on_data(harness.now, machines[random.below(machines.len())], &bytes);
        }
        9 if !machines.is_empty() => {
            let connection = machines[random.below(machines.len())];
            harness.opened.remove(&connection);
            harness.scheduler.on_closed(harness.now, connection, CloseReason::Broken);
        }
        10 => harness.scheduler.on_closed(harness.now, clients[at], CloseReason::Closed),
        _ => {
            let machine = address(1 + random.below(MACHINES as usize) as u64);
            let states = [Reachability::Accepts, Reachability::Refuses, Reachability::Silent];
            harness.reachability.insert(machine, states[random.below(states.len())]);
        }
    }
}

/// The index of running tasks is what a walk over all tasks finds.
fn check_running(harness: &mut Harness) {
    let tasks = &harness.scheduler.state.get_mut().tasks;
    let running = tasks.by_id.iter().filter_map(|(id, task)| Some((*id, task.running_attempt()?.machine)));
    let mut count = 0;
    for (id, machine) in running {
        count += 1;
        assert!(tasks.running_on(machine).iter().any(|(other, _)| *other == id), "task {}", id.0);
    }
    assert_eq!(tasks.running_count(), count);
}

fn run(seed: u64) {
    let mut random = Pcg::new(seed);
    let mut harness = Harness::new(MACHINES);
    let mut clients: Vec<ConnectionId> = (0..3).map(|_| harness.connect_client()).collect();
    for _ in 0..120 {
        for _ in 0..1 + random.below(3) {
            step(&mut harness, &mut clients, &mut random);
        }
        harness.run_until_idle();
        harness.advance(ms(random.below(60) as u64));
        check_running(&mut harness);
        for client in &mut clients {
            let is_open = harness.scheduler.state.get_mut().clients.is_open(*client);
            *client = if is_open { *client } else { harness.connect_client() };
        }
    }
    harness.reachability.clear();
    harness.blocked.clear();
    harness.advance(ms(3_000));
    let unanswered = harness.scheduler.state.get_mut().tasks.unanswered;
    assert_eq!(unanswered, 0, "seed {seed}: requests without an answer");
}

/// Guards against a process that ends over what one peer says (review case 2 and play two-releases).
#[test]
fn no_sequence_of_messages_ends_the_process() {
    (0..SEEDS).for_each(run);
}
