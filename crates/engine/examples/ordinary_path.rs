//! What one ordinary task costs: `cargo run --release -p mulleinhub-engine --example ordinary_path -- TASKS
//! IN_HAND [MACHINES]`.
//!
//! Drives one engine without sockets through tasks that are submitted, accepted, run and end, with so many
//! open at a time, and prints allocations, bytes and CPU time a task, after a warm-up that isn't counted.

use mulleinhub_engine::{Engine, Settings};
use mulleinhub_interface::*;
use mulleinhub_protocol::{self as protocol, Conversation, Ending, Message, Mode, Reason, Shape};
use mulleinhub_sans_io::{Command, ConnectionId, ListenerId, StateMachine};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::collections::VecDeque;
use std::time::Instant;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Unless another number is given.
const MACHINES: usize = 100;

fn settings() -> Settings {
    Settings {
        name: "planner-1".to_owned(),
        seed: 7,
        use_cases: vec![UseCase {
            latency_objective: Duration::from_secs(1),
            client_timeout: Duration::from_secs(8),
            idempotency: Idempotency::Idempotent,
            value_per_second: 1.0,
            priority: 0,
            machine_kind: None,
            spread: None,
            saturation_threshold: 1.0,
            degradation_range: 1.0,
        }],
        machine_kinds: vec![Resources::new(10_000.0, 10_000.0)],
        acceptance: AcceptanceRules {
            cores_overcommit: 1.0,
            memory_overcommit: 1.0,
            accepts_when_running: false,
            max_attempts: 4,
            reports_pressure: true,
            supports_cancel: true,
        },
        slow_start: SlowStart {
            warm_up_time: Duration::from_secs(12),
            budget_window: Duration::from_secs(1),
            attempt_budget: 9.0,
            scheduler_count: 1,
            scheduler_index: 0,
        },
        discovery: Discovery { watch_required: false, max_staleness: Duration::from_secs(10) },
        locality: LocalityCosts { local_zone: ZoneId(0), cross_zone_cost: 0.0, machine_cost: 0.0 },
        endpoint_list_address: "list".to_owned(),
        reconnect_backoff: Duration::from_nanos(200_000_000),
        lost_after: Duration::from_secs(2),
        ping_timeout: Duration::from_secs(3600),
        answer_retention: Duration::from_nanos(500_000_000),
        startup_grace: Duration::from_nanos(1),
        client_limits: mulleinhub_limits::Settings::default(),
        max_open_tasks: 1 << 20,
        max_unsent_bytes: 1 << 24,
    }
}

struct Bench {
    engine: Engine,
    now: Timestamp,
    machines: Vec<ConnectionId>,
    client: ConnectionId,
    bytes: Vec<u8>,
    /// Offers written: the machine's index and the task.
    offers: VecDeque<(usize, u64)>,
}

impl Bench {
    fn deliver(&mut self, connection: ConnectionId, message: &Message<'_>) {
        self.bytes.clear();
        protocol::encode(message, &mut self.bytes);
        self.engine.on_data(self.now, connection, &self.bytes);
    }

    fn iterate(&mut self) {
        self.engine.poll(self.now);
        while let Some(connection) = self.engine.connections().next_with_output() {
            // Connections are numbered in the order in which they were asked for.
            let machine = self.machines.binary_search(&connection).ok();
            let bytes = self.engine.connections().outgoing(connection);
            let (mut at, len) = (0, bytes.len());
            while at < len {
                let size = u32::from_be_bytes(bytes[at..at + 4].try_into().expect("a frame")) as usize + 4;
                if let Ok(Message::Offer { task, .. }) = protocol::decode(&bytes[at..at + size]) {
                    self.offers.push_back((machine.expect("a machine"), task));
                }
                at += size;
            }
            self.engine.connections().mark_written(connection, len);
        }
    }

    /// A scheduler with a client and so many machines.
    fn ready(machines: usize) -> Self {
        let mut engine = Engine::new(settings(), 1, None);
        let now = Timestamp::from_nanos(1_000_000_000);
        engine.poll(now);
        let Some(Command::Open(list, _)) = engine.connections().next_command() else {
            panic!("the scheduler connects to the endpoint list")
        };
        let client = engine.connections().register();
        engine.on_connection_accepted(now, client, ListenerId(0));
        let mut bench =
            Self { engine, now, machines: Vec::new(), client, bytes: Vec::new(), offers: VecDeque::new() };
        bench.connect_machines(list, machines);
        bench.deliver(client, &Message::hello(Conversation::ClientPlanner, 0, "owner", 1, now.nanos()));
        bench.iterate();
        bench
    }

    fn welcome(&mut self, connection: ConnectionId, name: &str) {
        self.engine.on_connected(self.now, connection);
        self.deliver(connection, &Message::Welcome { version: 1, features: 0, name, life: 1, silence: None });
    }

    /// The endpoint list names so many machines, and each reports an empty inventory.
    fn connect_machines(&mut self, list: ConnectionId, machines: usize) {
        self.welcome(list, "list");
        let entries: Vec<_> = (1..=machines as u64)
            .map(|machine| protocol::Entry {
                machine,
                address: "m",
                kind: 0,
                cell: (machine % 20) as u32,
                zone: 0,
                mode: Mode::Active,
                life: 1,
                up_for: None,
                cores_left: Some(10_000.0),
                memory_left: Some(10_000.0),
            })
            .collect();
        let mut frames = Vec::new();
        protocol::encode_list(protocol::ListKind::Whole, 1, &entries, &mut frames);
        self.engine.on_data(self.now, list, &frames);
        self.iterate();
        while let Some(command) = self.engine.connections().next_command() {
            if let Command::Open(connection, _) = command {
                self.machines.push(connection);
            }
        }
        for connection in self.machines.clone() {
            self.welcome(connection, "m");
            self.deliver(connection, &Message::Holds { tasks: vec![], last: true });
        }
    }

    /// A task is submitted and accepted; the oldest beyond so many open ones ends.
    fn run_task(&mut self, id: u64, held: &mut VecDeque<(usize, u64)>, in_hand: usize) {
        self.now = self.now + Duration::from_nanos(500_000);
        let shape = Shape { key: id, use_case: 0, service: id / 4, cores: 1.0, memory: 1.0, again: false };
        let clock = self.now.nanos();
        self.deliver(self.client, &Message::Ask { task: id, shape, patience: 8_000_000_000, clock });
        self.iterate();
        while let Some((machine, task)) = self.offers.pop_front() {
            let connection = self.machines[machine];
            self.deliver(connection, &Message::Accepted { task, send: 0 });
            self.deliver(connection, &Message::Runs { task, send: 0 });
            held.push_back((machine, task));
        }
        if held.len() > in_hand {
            let (machine, task) = held.pop_front().expect("some are held");
            let (ending, reason) = (Ending::Done, Reason::Untold);
            self.deliver(self.machines[machine], &Message::Closed { task, send: 0, ending, reason });
        }
        self.iterate();
    }
}

fn main() {
    let mut args = std::env::args().skip(1).map(|arg| arg.parse::<usize>().expect("a whole number"));
    let (tasks, in_hand) = (args.next().unwrap_or(50_000), args.next().unwrap_or(1_000));
    let machines = args.next().unwrap_or(MACHINES);
    let mut bench = Bench::ready(machines);
    let mut held = VecDeque::new();
    let warm_up = in_hand + 5_000;
    for id in 0..warm_up as u64 {
        bench.run_task(id, &mut held, in_hand);
    }
    let region = Region::new(ALLOCATOR);
    let began = Instant::now();
    for id in 0..tasks as u64 {
        bench.run_task(warm_up as u64 + id, &mut held, in_hand);
    }
    let (elapsed, change) = (began.elapsed(), region.change());
    let each = |n: usize| n as f64 / tasks as f64;
    println!(
        "{tasks} tasks, {in_hand} in hand, {machines} machines: \
         {:.1} allocations, {:.0} bytes allocated, {:.2} us a task",
        each(change.allocations + change.reallocations),
        each(change.bytes_allocated),
        elapsed.as_secs_f64() * 1e6 / tasks as f64
    );
    assert_eq!(bench.engine.counts().placed, (warm_up + tasks) as u64, "every task is placed");
}
