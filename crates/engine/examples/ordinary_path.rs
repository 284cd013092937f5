//! What one dull task costs: `cargo run --release -p mulleinhub-engine --example ordinary_path -- TASKS
//! IN_HAND [MACHINES]`.
//!
//! Drives one engine without sockets through tasks that are asked for, accepted, run and end, with so many in
//! hand, and prints allocations, bytes and CPU time a task, after a warm-up that isn't counted.

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
        kinds: vec![Resources::new(10_000.0, 10_000.0)],
        taking: AcceptanceRules {
            cores_overcommit: 1.0,
            memory_overcommit: 1.0,
            accepts_when_running: false,
            max_attempts: 4,
            reports_pressure: true,
            supports_cancel: true,
        },
        cold: SlowStart {
            warm_up_time: Duration::from_secs(12),
            budget_window: Duration::from_secs(1),
            attempt_budget: 9.0,
            scheduler_count: 1,
            scheduler_index: 0,
        },
        listing: Discovery { watch_required: false, max_staleness: Duration::from_secs(10) },
        home: LocalityCosts { local_zone: ZoneId(0), cross_zone_cost: 0.0, machine_cost: 0.0 },
        list_address: "list".to_owned(),
        reconnect: Duration::from_nanos(200_000_000),
        lost_after: Duration::from_secs(2),
        silence: Duration::from_secs(3600),
        remember: Duration::from_nanos(500_000_000),
        start_wait: Duration::from_nanos(1),
        clients: mulleinhub_limits::Settings::default(),
        most_in_hand: 1 << 20,
        most_unwritten: 1 << 24,
    }
}

struct Bench {
    engine: Engine,
    now: Timestamp,
    machines: Vec<ConnectionId>,
    client: ConnectionId,
    bytes: Vec<u8>,
    /// Offers written: the machine's place and the task.
    offers: VecDeque<(usize, u64)>,
}

impl Bench {
    fn tell(&mut self, link: ConnectionId, message: &Message<'_>) {
        self.bytes.clear();
        protocol::encode(message, &mut self.bytes);
        self.engine.on_data(self.now, link, &self.bytes);
    }

    fn turn(&mut self) {
        self.engine.poll(self.now);
        while let Some(link) = self.engine.connections().next_dirty() {
            // Links are numbered in the order in which they were asked for.
            let place = self.machines.binary_search(&link).ok();
            let bytes = self.engine.connections().outgoing(link);
            let (mut at, len) = (0, bytes.len());
            while at < len {
                let size = u32::from_be_bytes(bytes[at..at + 4].try_into().expect("a frame")) as usize + 4;
                if let Ok(Message::Offer { task, .. }) = protocol::decode(&bytes[at..at + size]) {
                    self.offers.push_back((place.expect("a machine"), task));
                }
                at += size;
            }
            self.engine.connections().wrote(link, len);
        }
    }

    fn up(many: usize) -> Self {
        let mut engine = Engine::new(settings(), 1, None);
        let now = Timestamp::from_nanos(1_000_000_000);
        engine.poll(now);
        let Some(Command::Open(list, _)) = engine.connections().next_command() else {
            panic!("the list is asked for")
        };
        let client = engine.connections().register();
        engine.on_connection_accepted(now, client, ListenerId(0));
        let (bytes, offers, machines) = (Vec::new(), VecDeque::new(), Vec::new());
        let mut bench = Self { engine, now, machines, client, bytes, offers };
        bench.engine.on_connected(now, list);
        bench.tell(list, &Message::Welcome { version: 1, features: 0, name: "list", life: 1, silence: None });
        let entries: Vec<_> = (1..=many as u64)
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
        bench.engine.on_data(now, list, &frames);
        bench.turn();
        while let Some(ask) = bench.engine.connections().next_command() {
            if let Command::Open(link, _) = ask {
                bench.machines.push(link);
            }
        }
        for link in bench.machines.clone() {
            bench.engine.on_connected(now, link);
            bench
                .tell(link, &Message::Welcome { version: 1, features: 0, name: "m", life: 1, silence: None });
            bench.tell(link, &Message::Holds { tasks: vec![], last: true });
        }
        let clock = now.nanos();
        bench.tell(client, &Message::hello(Conversation::ClientPlanner, 0, "owner", 1, clock));
        bench.turn();
        bench
    }

    /// A task is asked for and accepted; the oldest beyond so many in hand ends.
    fn task(&mut self, id: u64, held: &mut VecDeque<(usize, u64)>, in_hand: usize) {
        self.now = self.now + Duration::from_nanos(500_000);
        let shape = Shape { key: id, use_case: 0, service: id / 4, cores: 1.0, memory: 1.0, again: false };
        let clock = self.now.nanos();
        self.tell(self.client, &Message::Ask { task: id, shape, patience: 8_000_000_000, clock });
        self.turn();
        while let Some((machine, task)) = self.offers.pop_front() {
            let link = self.machines[machine];
            self.tell(link, &Message::Accepted { task, send: 0 });
            self.tell(link, &Message::Runs { task, send: 0 });
            held.push_back((machine, task));
        }
        if held.len() > in_hand {
            let (machine, task) = held.pop_front().expect("some are held");
            let (ending, reason) = (Ending::Done, Reason::Untold);
            self.tell(self.machines[machine], &Message::Closed { task, send: 0, ending, reason });
        }
        self.turn();
    }
}

fn main() {
    let mut args = std::env::args().skip(1).map(|arg| arg.parse::<usize>().expect("a whole number"));
    let (tasks, in_hand) = (args.next().unwrap_or(50_000), args.next().unwrap_or(1_000));
    let machines = args.next().unwrap_or(MACHINES);
    let mut bench = Bench::up(machines);
    let mut held = VecDeque::new();
    let warm = in_hand + 5_000;
    for id in 0..warm as u64 {
        bench.task(id, &mut held, in_hand);
    }
    let region = Region::new(ALLOCATOR);
    let began = Instant::now();
    for id in 0..tasks as u64 {
        bench.task(warm as u64 + id, &mut held, in_hand);
    }
    let (took, change) = (began.elapsed(), region.change());
    let each = |n: usize| n as f64 / tasks as f64;
    println!(
        "{tasks} tasks, {in_hand} in hand, {machines} machines: \
         {:.1} allocations, {:.0} bytes allocated, {:.2} us a task",
        each(change.allocations + change.reallocations),
        each(change.bytes_allocated),
        took.as_secs_f64() * 1e6 / tasks as f64
    );
    assert_eq!(bench.engine.counts().placed, (warm + tasks) as u64, "every task is placed");
}
