//! What silent connections cost the engine, without sockets:
//! `cargo run --release -p mulleinhub-engine --example idle -- CONNECTIONS`.
//!
//! Opens so many, each with a name of its own, and lets sixty virtual seconds of silence pass, in which every
//! ping is answered. Then a steady client submits tasks while all are silent, and while all speak at once;
//! then all disconnect and come back. Prints bytes a connection by the allocator's own count, CPU, iterations
//! and latencies.

use hdrhistogram::Histogram;
use mulleinhub_engine::{Engine, Settings};
use mulleinhub_interface::*;
use mulleinhub_protocol::{self as protocol, Conversation, Message, Shape};
use mulleinhub_sans_io::{CloseReason, Command, ConnectionId, ListenerId, StateMachine};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::time::{Duration as StdDuration, Instant};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn settings(most: usize) -> Settings {
    Settings {
        name: "planner-1".to_owned(),
        seed: 7,
        use_cases: vec![UseCase {
            latency_objective: Duration::from_secs(1),
            client_timeout: Duration::from_secs(3600),
            idempotency: Idempotency::Idempotent,
            value_per_second: 1.0,
            priority: 0,
            machine_kind: None,
            spread: None,
            saturation_threshold: 1.0,
            degradation_range: 1.0,
        }],
        machine_kinds: vec![Resources::new(16.0, 32.0)],
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
        answer_retention: Duration::from_secs(3600),
        startup_grace: Duration::from_nanos(1),
        client_limits: mulleinhub_limits::Settings {
            max_connections: most,
            max_per_tenant: most,
            max_unidentified: most,
            ..mulleinhub_limits::Settings::default()
        },
        max_open_tasks: 20_000,
        max_unsent_bytes: 1 << 24,
    }
}

struct Bench {
    engine: Engine,
    now: Timestamp,
    bytes: Vec<u8>,
    /// Clients that were welcomed.
    welcomed: usize,
    /// Connections that were pinged and have not answered.
    pinged: Vec<ConnectionId>,
    cpu: StdDuration,
    iterations: u64,
    longest: StdDuration,
    closed: usize,
}

fn hello(name: &str, clock: u64) -> Message<'_> {
    Message::hello(Conversation::ClientPlanner, 0, name, 1, clock)
}

impl Bench {
    /// A scheduler without machines that serves clients; room for so many, and one more.
    fn ready(all: usize) -> Self {
        let now = Timestamp::from_nanos(1_000_000_000);
        let mut bench = Self {
            engine: Engine::new(settings(all + 1), 1, None),
            now,
            bytes: Vec::new(),
            welcomed: 0,
            pinged: Vec::new(),
            cpu: StdDuration::ZERO,
            iterations: 0,
            longest: StdDuration::ZERO,
            closed: 0,
        };
        bench.engine.poll(now);
        let Some(Command::Open(list, _)) = bench.engine.connections().next_command() else {
            panic!("the scheduler connects to the endpoint list")
        };
        bench.engine.on_connected(now, list);
        bench.deliver(
            list,
            &Message::Welcome { version: 1, features: 0, name: "list", life: 1, silence: None },
        );
        bench.deliver(list, &Message::List { kind: protocol::ListKind::Whole, version: 1, entries: vec![] });
        bench.iterate();
        bench
    }

    /// Counts anew.
    fn reset(&mut self) {
        (self.cpu, self.iterations, self.longest) = (StdDuration::ZERO, 0, StdDuration::ZERO);
    }

    /// Whether the scheduler wants an iteration now.
    fn is_due(&self) -> bool {
        self.engine.next_wakeup().is_some_and(|at| at <= self.now)
    }

    fn deliver(&mut self, connection: ConnectionId, message: &Message<'_>) {
        self.bytes.clear();
        protocol::encode(message, &mut self.bytes);
        let began = Instant::now();
        self.engine.on_data(self.now, connection, &self.bytes);
        self.cpu += began.elapsed();
    }

    fn iterate(&mut self) {
        let began = Instant::now();
        self.engine.poll(self.now);
        let elapsed = began.elapsed();
        self.cpu += elapsed;
        self.longest = self.longest.max(elapsed);
        self.iterations += 1;
        while let Some(connection) = self.engine.connections().next_with_output() {
            let bytes = self.engine.connections().outgoing(connection);
            // The kind of a message is the first item of its frame.
            match bytes.get(5).copied() {
                Some(1) => self.welcomed += 1,
                Some(3) => self.pinged.push(connection),
                _ => {}
            }
            let len = bytes.len();
            self.engine.connections().mark_written(connection, len);
        }
        while let Some(command) = self.engine.connections().next_command() {
            if let Command::Close { connection, .. } = command {
                self.engine.connections().discard(connection);
                self.closed += 1;
            }
        }
    }

    fn open(&mut self, all: usize) -> Vec<ConnectionId> {
        let mut connections = Vec::with_capacity(all);
        while connections.len() < all {
            let budget = self.engine.accept_budget(ListenerId(0)).min(all - connections.len());
            for n in connections.len()..connections.len() + budget {
                let connection = self.engine.connections().register();
                let began = Instant::now();
                self.engine.on_connection_accepted(self.now, connection, ListenerId(0));
                self.cpu += began.elapsed();
                let clock = self.now.nanos();
                self.deliver(connection, &hello(&format!("tool-{}/{n}", n % 100), clock));
                connections.push(connection);
            }
            self.now = self.now + Duration::from_nanos(1_000_000);
            self.iterate();
        }
        while self.welcomed < all {
            self.iterate();
        }
        self.welcomed = 0;
        connections
    }

    /// A steady client submits a task; how long until it is accepted, within so many iterations.
    fn submit(&mut self, client: ConnectionId, task: u64, iterations: u32) -> StdDuration {
        let shape = Shape { key: task, use_case: 0, service: 1, cores: 1.0, memory: 1.0, again: false };
        let before = self.engine.counts().accepted;
        let began = Instant::now();
        let clock = self.now.nanos();
        self.deliver(client, &Message::Ask { task, shape, patience: 3_600_000_000_000, clock });
        for _ in 0..iterations {
            self.iterate();
            if self.engine.counts().accepted > before {
                let elapsed = began.elapsed();
                // Tasks that wait cost the policy's time, which is not what is measured here.
                self.deliver(client, &Message::Withdraw { task });
                self.iterate();
                return elapsed;
            }
        }
        panic!("task {task} was not taken in {iterations} turns");
    }
}

/// Opens all connections. Prints what they cost.
fn measure_open(bench: &mut Bench, all: usize) -> Vec<ConnectionId> {
    let region = Region::new(ALLOCATOR);
    let began = Instant::now();
    let connections = bench.open(all);
    let elapsed = began.elapsed();
    let change = region.change();
    let held =
        change.bytes_allocated as i64 - change.bytes_deallocated as i64 + change.bytes_reallocated as i64;
    // What this bench itself keeps for each.
    let own = (connections.capacity() * size_of::<ConnectionId>()) as i64;
    println!("{all} connections, each of a name of its own");
    println!("opened and greeted: {:.0} a second", all as f64 / elapsed.as_secs_f64());
    println!("bytes a connection: {:.0}", (held - own) as f64 / all as f64);
    println!("of that, buffers: {} in all", bench.engine.buffered_bytes());
    println!("places of deadlines a connection: {:.2}", bench.engine.open_clients().1 as f64 / all as f64);
    connections
}

/// Lets a minute of silence pass, in which every ping is answered. Prints what it costs.
fn measure_silence(bench: &mut Bench, steady: ConnectionId, all: usize) {
    let silent_for = 60;
    bench.reset();
    let end = bench.now + Duration::from_secs(silent_for);
    let mut answered = 0;
    while bench.now < end {
        let next = bench.engine.next_wakeup().unwrap_or(end).min(end);
        bench.now = bench.now.max(next);
        if bench.iterations.is_multiple_of(10) {
            bench.deliver(steady, &Message::Pong { nonce: 0 });
        }
        bench.iterate();
        for connection in std::mem::take(&mut bench.pinged) {
            answered += 1;
            bench.deliver(connection, &Message::Pong { nonce: 0 });
        }
    }
    let cpu = bench.cpu.as_secs_f64() / silent_for as f64;
    println!(
        "{silent_for} s of silence: CPU {:.3} ms a second for each 10,000, {answered} signs of life, \
         {} ended, longest turn {:.2} ms",
        cpu * 1e3 / (all as f64 / 1e4),
        bench.closed,
        bench.longest.as_secs_f64() * 1e3
    );
}

/// A steady client submits tasks while all others are silent.
fn measure_submissions(bench: &mut Bench, steady: ConnectionId) {
    let mut latencies = Histogram::<u64>::new(3).expect("fixed bounds");
    for task in 0..10_000 {
        bench.now = bench.now + Duration::from_nanos(1_000_000);
        let elapsed = bench.submit(steady, task, 1);
        latencies.record(elapsed.as_nanos() as u64).expect("grows with what it records");
    }
    let us = |part| latencies.value_at_quantile(part) as f64 / 1e3;
    println!(
        "ask to taken, all others silent: p50 {:.1} us, p99 {:.1}, p99.9 {:.1}",
        us(0.5),
        us(0.99),
        us(0.999)
    );
}

/// A steady client submits a task while all others speak at once.
fn measure_burst(bench: &mut Bench, steady: ConnectionId, connections: &[ConnectionId]) {
    bench.reset();
    let began = Instant::now();
    for (n, connection) in connections.iter().enumerate() {
        bench.deliver(*connection, &Message::Learn { task: 1_000_000 + n as u64 });
    }
    let delivered = began.elapsed();
    let elapsed = bench.submit(steady, 500_000, 1);
    let before = bench.iterations;
    while bench.is_due() && bench.iterations < before + 100_000 {
        bench.iterate();
    }
    println!(
        "all speak at once: the steady one is taken {:.2} ms after its ask (a turn); all were heard \
         after {} turns and {:.2} s ({:.2} s to read them), longest turn {:.2} ms",
        elapsed.as_secs_f64() * 1e3,
        bench.iterations,
        began.elapsed().as_secs_f64(),
        delivered.as_secs_f64(),
        bench.longest.as_secs_f64() * 1e3
    );
}

/// All connections close at once and are opened again.
fn measure_reconnect(bench: &mut Bench, connections: &[ConnectionId]) {
    let began = Instant::now();
    bench.reset();
    for connection in connections {
        bench.engine.on_closed(bench.now, *connection, CloseReason::Closed);
    }
    bench.iterate();
    while bench.is_due() {
        bench.iterate();
    }
    let dropped = began.elapsed();
    let began = Instant::now();
    let reopened = bench.open(connections.len());
    println!(
        "all drop at once: heard in {:.2} s; all come back and are greeted in {:.2} s; longest turn {:.2} ms",
        dropped.as_secs_f64(),
        began.elapsed().as_secs_f64(),
        bench.longest.as_secs_f64() * 1e3
    );
    assert!(bench.engine.open_clients().0 == reopened.len() + 1, "all are here again");
}

fn main() {
    let all: usize = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(1_000_000);
    let mut bench = Bench::ready(all);
    let steady = bench.open(1)[0];
    let connections = measure_open(&mut bench, all);
    measure_silence(&mut bench, steady, all);
    measure_submissions(&mut bench, steady);
    measure_burst(&mut bench, steady, &connections);
    measure_reconnect(&mut bench, &connections);
}
