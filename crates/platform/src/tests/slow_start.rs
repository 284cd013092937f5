//! What a machine that warms up gets from all schedulers together: at most N + 2 x root of N + 2 start
//! requests in every window of the rule, N being what the settings say that one always bears. Many schedulers
//! over instance late endpoint list, some of which restart in the middle of it, connections that are delayed
//! and established together, and rejections.

use super::harness::*;
use mulleinhub::{Pcg, mix};
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_platform_protocol::cause_code;
use mulleinhub_sans_io::ConnectionId;
use std::collections::BTreeMap;

const WINDOW: Duration = Duration::from_secs(1);
/// The machine that everybody knows and that has no capacity left.
const FULL: u64 = 1;
/// The machines that warm up.
const WARMING_UP: std::ops::RangeInclusive<u64> = 2..=4;

struct Instance {
    harness: Harness,
    client: ConnectionId,
    /// When each change of the list reaches it.
    pending_events: Vec<(Timestamp, Vec<String>)>,
    last_event: u64,
    delayed: Vec<(Timestamp, ConnectionId)>,
}

struct Cluster {
    all: Vec<Instance>,
    limit: u64,
    random: Pcg,
    /// When start requests came to each machine.
    calls: BTreeMap<u64, Vec<Timestamp>>,
    next_task: u64,
}

fn without_capacity(line: String) -> String {
    line.replace("[32.0,64.0]", "[0.0,0.0]")
}

impl Cluster {
    fn new(schedulers: usize, limit: u64, seed: u64) -> Self {
        let mut cluster =
            Self { all: Vec::new(), limit, random: Pcg::new(seed), calls: BTreeMap::new(), next_task: 1 };
        for n in 0..schedulers {
            let instance =
                cluster.scheduler(n, schedulers, START, &[without_capacity(endpoint(FULL, "in_service", 0))]);
            cluster.all.push(instance);
        }
        cluster
    }

    fn scheduler(&mut self, n: usize, total: usize, now: Timestamp, known: &[String]) -> Instance {
        let (seed, limit) = (mix(self.random.below(1 << 30) as u64, n as u64), self.limit);
        let mut harness = Harness::with_endpoints(now, known, |config_json| {
            config_json
                .replace("\"balancers\":1,\"index\":0", &format!("\"balancers\":{total},\"index\":{n}"))
                .replace("\"youngLimit\":40", &format!("\"youngLimit\":{limit}"))
                .replace("00000000000000a7", &format!("{seed:016x}"))
                .replace("\"spreadOver\":[\"machine\",\"machine\"]", "\"spreadOver\":[\"none\",\"none\"]")
        });
        let client = harness.connect_client();
        Instance { harness, client, pending_events: Vec::new(), last_event: 1, delayed: Vec::new() }
    }

    /// Advances all schedulers: list changes arrive, tasks come, machines answer.
    fn step(&mut self, step: Duration, tasks: f64) {
        for at in 0..self.all.len() {
            let instance = &mut self.all[at];
            instance.harness.advance(step);
            let now = instance.harness.now;
            while instance.pending_events.first().is_some_and(|(at, _)| *at <= now) {
                let (_, lines) = instance.pending_events.remove(0);
                instance.last_event += 1;
                let text = format!("data: {}\n\n", event(instance.last_event, false, &lines));
                let discovery = instance.harness.connections_to(DISCOVERY)[0];
                instance.harness.deliver(discovery, text.as_bytes());
            }
            if self.random.fraction() < tasks {
                let class = if self.next_task.is_multiple_of(3) { "batch" } else { "front" };
                let task = start_request(self.next_task, class, "");
                self.next_task += 1;
                instance.harness.deliver(instance.client, &task);
            }
            // Now and then connections to machines that warm up come up late, those of a moment together.
            for n in WARMING_UP {
                let silent = now.nanos() / 400_000_000 % 4 == n % 4;
                if silent {
                    instance.harness.reachability.insert(address(n), Reachability::Silent);
                } else {
                    instance.harness.reachability.remove(&address(n));
                }
                let waiting: Vec<ConnectionId> = instance
                    .harness
                    .connections_to(&address(n))
                    .into_iter()
                    .filter(|connection_id| instance.harness.blocked.contains(connection_id))
                    .collect();
                for connection_id in waiting {
                    if !instance.delayed.iter().any(|(_, other)| *other == connection_id) {
                        instance.delayed.push((now + ms(200), connection_id));
                    }
                }
            }
            let up: Vec<ConnectionId> = instance
                .delayed
                .iter()
                .filter(|(at, _)| *at <= now)
                .map(|(_, connection_id)| *connection_id)
                .collect();
            instance.delayed.retain(|(at, _)| *at > now);
            for connection_id in up {
                if instance.harness.opened.contains_key(&connection_id) {
                    instance.harness.establish(connection_id);
                }
            }
            for (connection, message) in instance.harness.start_requests() {
                let machine = (1..=9)
                    .find(|n| address(*n) == instance.harness.address_of(connection))
                    .expect("a machine");
                self.calls.entry(machine).or_default().push(message.at);
                match self.random.below(5) {
                    // A silent one now and then, and one that was lost.
                    0 => {}
                    1 => instance.harness.deliver(connection, &release(message.task, cause_code::FULL)),
                    2 => instance.harness.deliver(connection, &release(message.task, cause_code::ERROR)),
                    _ => instance.harness.deliver(connection, &acceptance(message.task)),
                }
            }
        }
    }

    /// The most start requests to one machine in any window of the rule.
    fn max_in_window(&self, machine: u64) -> usize {
        let mut calls = self.calls.get(&machine).cloned().unwrap_or_default();
        calls.sort_unstable();
        let in_window =
            |from: &Timestamp| calls.iter().filter(|at| *at >= from && **at - *from <= WINDOW).count();
        calls.iter().map(in_window).max().unwrap_or(0)
    }
}

/// Five seconds: new machines are listed, and schedulers hear of them late; the part `restarts` of them
/// restarts. Returns the least number of start requests that any new machine got.
fn run(schedulers: usize, limit: u64, restarts: f64, seed: u64) -> usize {
    let mut cluster = Cluster::new(schedulers, limit, seed);
    let start = START + ms(300);
    let boot = start.nanos() / 1_000_000;
    let lines: Vec<String> = WARMING_UP.map(|n| endpoint(n, "in_service", boot)).collect();
    for at in 0..schedulers {
        let late = ms(200 + 10 * cluster.random.below(60) as u64);
        cluster.all[at].pending_events.push((start + late, lines.clone()));
    }
    let step = ms(10);
    // As many tasks as want far more than the budget, however many schedulers share them.
    let tasks = (6.0 / schedulers as f64).min(1.0);
    for n in 0..500u64 {
        cluster.step(step, tasks);
        if n == 130 || n == 160 {
            let now = cluster.all[0].harness.now;
            for at in 0..schedulers {
                if cluster.random.fraction() >= restarts {
                    continue;
                }
                let knows = [&[without_capacity(endpoint(FULL, "in_service", 0))], &lines[..]].concat();
                cluster.all[at] = cluster.scheduler(at, schedulers, now, &knows);
            }
        }
    }
    let bound = limit as f64 + 2.0 * (limit as f64).sqrt() + 2.0;
    let mut least = usize::MAX;
    for machine in WARMING_UP {
        let max_in_window = cluster.max_in_window(machine);
        assert!(
            max_in_window as f64 <= bound,
            "{schedulers} schedulers, seed {seed}: {max_in_window} calls to machine {machine}, {bound:.1} allowed"
        );
        least = least.min(cluster.calls.get(&machine).map_or(0, Vec::len));
    }
    least
}

#[test]
fn slow_start_budget_is_shared_by_schedulers() {
    let mut used = 0;
    for schedulers in [1, 2, 16, 20, 30, 48] {
        for seed in 0..3 {
            used += run(schedulers, 40, 0.0, seed);
        }
    }
    assert!(used > 15 * 20, "machines that warm up are used: {used}");
}

#[test]
fn restarted_schedulers_keep_slow_start_budget() {
    for schedulers in [1, 2, 16, 20, 30, 48] {
        for seed in 10..13 {
            run(schedulers, 40, 0.7, seed);
        }
    }
    // Fewer than one for each scheduler.
    run(30, 12, 0.7, 20);
}

#[test]
fn hundreds_of_schedulers_keep_slow_start_budget() {
    // Far fewer calls than there are schedulers, some of which restart.
    assert!(run(350, 40, 0.3, 30) > 0, "machines that warm up are used");
}
