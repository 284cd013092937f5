//! What silent connections cost the engine, without sockets:
//! `cargo run --release -p mulleinhub-engine --example idle -- CONNECTIONS`.
//!
//! Opens so many, each with a name of its own, and lets sixty virtual seconds of silence pass, in which every
//! question is answered. Then a steady client asks while all are silent, and while all speak in one moment;
//! then all drop and come back. Prints bytes a connection by the allocator's own count, CPU, turns and times.

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
        kinds: vec![Resources::new(16.0, 32.0)],
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
        remember: Duration::from_secs(3600),
        start_wait: Duration::from_nanos(1),
        clients: mulleinhub_limits::Settings {
            most,
            most_of_a_tenant: most,
            most_strangers: most,
            ..mulleinhub_limits::Settings::default()
        },
        most_in_hand: 20_000,
        most_unwritten: 1 << 24,
    }
}

struct Bench {
    engine: Engine,
    now: Timestamp,
    bytes: Vec<u8>,
    /// Links that were written a `welcome` or a `ping` in the last turn.
    welcomed: usize,
    asked: Vec<ConnectionId>,
    cpu: StdDuration,
    turns: u64,
    longest: StdDuration,
    ended: usize,
}

fn hello(name: &str, clock: u64) -> Message<'_> {
    Message::hello(Conversation::ClientPlanner, 0, name, 1, clock)
}

impl Bench {
    fn tell(&mut self, link: ConnectionId, message: &Message<'_>) {
        self.bytes.clear();
        protocol::encode(message, &mut self.bytes);
        let began = Instant::now();
        self.engine.on_data(self.now, link, &self.bytes);
        self.cpu += began.elapsed();
    }

    fn turn(&mut self) {
        let began = Instant::now();
        self.engine.poll(self.now);
        let took = began.elapsed();
        self.cpu += took;
        self.longest = self.longest.max(took);
        self.turns += 1;
        while let Some(link) = self.engine.connections().next_dirty() {
            let bytes = self.engine.connections().outgoing(link);
            // The kind of a message is the first item of its frame.
            match bytes.get(5).copied() {
                Some(1) => self.welcomed += 1,
                Some(3) => self.asked.push(link),
                _ => {}
            }
            let len = bytes.len();
            self.engine.connections().wrote(link, len);
        }
        while let Some(ask) = self.engine.connections().next_command() {
            if let Command::End { link, .. } = ask {
                self.engine.connections().discard(link);
                self.ended += 1;
            }
        }
    }

    fn open(&mut self, all: usize) -> Vec<ConnectionId> {
        let mut links = Vec::with_capacity(all);
        while links.len() < all {
            let room = self.engine.accept_budget(ListenerId(0)).min(all - links.len());
            for n in links.len()..links.len() + room {
                let link = self.engine.connections().register();
                let began = Instant::now();
                self.engine.on_connection_accepted(self.now, link, ListenerId(0));
                self.cpu += began.elapsed();
                let clock = self.now.nanos();
                self.tell(link, &hello(&format!("tool-{}/{n}", n % 100), clock));
                links.push(link);
            }
            self.now = self.now + Duration::from_nanos(1_000_000);
            self.turn();
        }
        while self.welcomed < all {
            self.turn();
        }
        self.welcomed = 0;
        links
    }

    /// A steady client asks; how long until its task is taken, with turns of so many at most.
    fn ask(&mut self, client: ConnectionId, task: u64, turns: u32) -> StdDuration {
        let shape = Shape { key: task, use_case: 0, service: 1, cores: 1.0, memory: 1.0, again: false };
        let before = self.engine.counts().taken;
        let began = Instant::now();
        let clock = self.now.nanos();
        self.tell(client, &Message::Ask { task, shape, patience: 3_600_000_000_000, clock });
        for _ in 0..turns {
            self.turn();
            if self.engine.counts().taken > before {
                let took = began.elapsed();
                // Tasks that wait cost the module's time, which is not what is measured here.
                self.tell(client, &Message::Withdraw { task });
                self.turn();
                return took;
            }
        }
        panic!("task {task} was not taken in {turns} turns");
    }
}

fn main() {
    let all: usize = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(1_000_000);
    let engine = Engine::new(settings(all + 1), 1, None);
    let now = Timestamp::from_nanos(1_000_000_000);
    let mut bench = Bench {
        engine,
        now,
        bytes: Vec::new(),
        welcomed: 0,
        asked: Vec::new(),
        cpu: StdDuration::ZERO,
        turns: 0,
        longest: StdDuration::ZERO,
        ended: 0,
    };
    bench.engine.poll(now);
    let Some(Command::Open(list, _)) = bench.engine.connections().next_command() else {
        panic!("the list is asked for")
    };
    bench.engine.on_connected(now, list);
    bench.tell(list, &Message::Welcome { version: 1, features: 0, name: "list", life: 1, silence: None });
    bench.tell(list, &Message::List { kind: protocol::ListKind::Whole, version: 1, entries: vec![] });
    bench.turn();
    let steady = bench.open(1)[0];

    let region = Region::new(ALLOCATOR);
    let began = Instant::now();
    let links = bench.open(all);
    let opened = began.elapsed();
    let held = |region: &Region<'_, System>| {
        let change = region.change();
        change.bytes_allocated as i64 - change.bytes_deallocated as i64 + change.bytes_reallocated as i64
    };
    // What this bench itself keeps for each.
    let own = (links.capacity() * size_of::<ConnectionId>()) as i64;
    println!("{all} connections, each of a name of its own");
    println!("opened and greeted: {:.0} a second", all as f64 / opened.as_secs_f64());
    println!("bytes a connection: {:.0}", (held(&region) - own) as f64 / all as f64);
    println!("of that, buffers: {} in all", bench.engine.buffers());
    println!("places of deadlines a connection: {:.2}", bench.engine.clients_open().1 as f64 / all as f64);

    let silent_for = 60;
    (bench.cpu, bench.turns, bench.longest) = (StdDuration::ZERO, 0, StdDuration::ZERO);
    let end = bench.now + Duration::from_secs(silent_for);
    let mut answered = 0;
    while bench.now < end {
        let next = bench.engine.next_wakeup().unwrap_or(end).min(end);
        bench.now = bench.now.max(next);
        if bench.turns.is_multiple_of(10) {
            bench.tell(steady, &Message::Pong { nonce: 0 });
        }
        bench.turn();
        for link in std::mem::take(&mut bench.asked) {
            answered += 1;
            bench.tell(link, &Message::Pong { nonce: 0 });
        }
    }
    let cpu = bench.cpu.as_secs_f64() / silent_for as f64;
    println!(
        "{silent_for} s of silence: CPU {:.3} ms a second for each 10,000, {answered} signs of life, \
         {} ended, longest turn {:.2} ms",
        cpu * 1e3 / (all as f64 / 1e4),
        bench.ended,
        bench.longest.as_secs_f64() * 1e3
    );

    let mut times = Histogram::<u64>::new(3).expect("fixed bounds");
    for task in 0..10_000 {
        bench.now = bench.now + Duration::from_nanos(1_000_000);
        let took = bench.ask(steady, task, 1);
        times.record(took.as_nanos() as u64).expect("grows with what it records");
    }
    let us = |part| times.value_at_quantile(part) as f64 / 1e3;
    println!(
        "ask to taken, all others silent: p50 {:.1} us, p99 {:.1}, p99.9 {:.1}",
        us(0.5),
        us(0.99),
        us(0.999)
    );

    (bench.turns, bench.longest) = (0, StdDuration::ZERO);
    let began = Instant::now();
    for (n, link) in links.iter().enumerate() {
        bench.tell(*link, &Message::Learn { task: 1_000_000 + n as u64 });
    }
    let told = began.elapsed();
    let took = bench.ask(steady, 500_000, 1);
    let before = bench.turns;
    while bench.engine.next_wakeup().is_some_and(|at| at <= bench.now) && bench.turns < before + 100_000 {
        bench.turn();
    }
    println!(
        "all speak at once: the steady one is taken {:.2} ms after its ask (a turn); all were heard \
         after {} turns and {:.2} s ({:.2} s to read them), longest turn {:.2} ms",
        took.as_secs_f64() * 1e3,
        bench.turns,
        began.elapsed().as_secs_f64(),
        told.as_secs_f64(),
        bench.longest.as_secs_f64() * 1e3
    );

    let began = Instant::now();
    (bench.turns, bench.longest) = (0, StdDuration::ZERO);
    for link in &links {
        bench.engine.on_closed(bench.now, *link, CloseReason::Closed);
    }
    bench.turn();
    while bench.engine.next_wakeup().is_some_and(|at| at <= bench.now) {
        bench.turn();
    }
    let gone = began.elapsed();
    let began = Instant::now();
    let back = bench.open(all);
    println!(
        "all drop at once: heard in {:.2} s; all come back and are greeted in {:.2} s; longest turn {:.2} ms",
        gone.as_secs_f64(),
        began.elapsed().as_secs_f64(),
        bench.longest.as_secs_f64() * 1e3
    );
    assert!(bench.engine.clients_open().0 == back.len() + 1, "all are here again");
}
