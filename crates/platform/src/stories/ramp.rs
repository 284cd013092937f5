//! What cold machines get from all schedulers together: at most N + 2 x root of N + 2 calls in every window
//! of the rule, N being what the settings say that one always bears. Many schedulers over one late list, some
//! of which start anew in the middle of it, connections that are held back and let go together, and refusals.

use super::rig::*;
use mulleinhub::{Pcg, mix};
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_platform_protocol::why;
use mulleinhub_sans_io::ConnectionId;
use std::collections::BTreeMap;

const FALL: Duration = Duration::from_secs(1);
/// The machine that everybody knows and that has no room left, and the cold ones.
const FULL: u64 = 1;
const COLD: std::ops::RangeInclusive<u64> = 2..=4;

struct One {
    rig: Rig,
    owner: ConnectionId,
    /// When each change of the list reaches it, and what was told.
    to_tell: Vec<(Timestamp, Vec<String>)>,
    told: u64,
    held_back: Vec<(Timestamp, ConnectionId)>,
}

struct Fleet {
    all: Vec<One>,
    limit: u64,
    chance: Pcg,
    /// Calls that came to each machine.
    calls: BTreeMap<u64, Vec<Timestamp>>,
    next_task: u64,
}

fn no_room(line: String) -> String {
    line.replace("[32.0,64.0]", "[0.0,0.0]")
}

impl Fleet {
    fn new(schedulers: usize, limit: u64, seed: u64) -> Self {
        let mut fleet =
            Self { all: Vec::new(), limit, chance: Pcg::new(seed), calls: BTreeMap::new(), next_task: 1 };
        for n in 0..schedulers {
            let one = fleet.scheduler(n, schedulers, START, &[no_room(listed(FULL, "in_service", 0))]);
            fleet.all.push(one);
        }
        fleet
    }

    fn scheduler(&mut self, n: usize, of: usize, now: Timestamp, known: &[String]) -> One {
        let (seed, limit) = (mix(self.chance.below(1 << 30) as u64, n as u64), self.limit);
        let mut rig = Rig::knowing(now, known, |conf| {
            conf.replace("\"balancers\":1,\"index\":0", &format!("\"balancers\":{of},\"index\":{n}"))
                .replace("\"youngLimit\":40", &format!("\"youngLimit\":{limit}"))
                .replace("00000000000000a7", &format!("{seed:016x}"))
                .replace("\"spreadOver\":[\"machine\",\"machine\"]", "\"spreadOver\":[\"none\",\"none\"]")
        });
        let owner = rig.owner();
        One { rig, owner, to_tell: Vec::new(), told: 1, held_back: Vec::new() }
    }

    /// A step of all: what is due is told, tasks come, machines answer.
    fn step(&mut self, step: Duration, tasks: f64) {
        for at in 0..self.all.len() {
            let one = &mut self.all[at];
            one.rig.pass(step);
            let now = one.rig.now;
            while one.to_tell.first().is_some_and(|(at, _)| *at <= now) {
                let (_, lines) = one.to_tell.remove(0);
                one.told += 1;
                let text = format!("data: {}\n\n", event(one.told, false, &lines));
                let bulletin = one.rig.on(BULLETIN)[0];
                one.rig.say(bulletin, text.as_bytes());
            }
            if self.chance.fraction() < tasks {
                let class = if self.next_task.is_multiple_of(3) { "batch" } else { "front" };
                let task = set_up(self.next_task, class, "");
                self.next_task += 1;
                one.rig.say(one.owner, &task);
            }
            // Now and then connections to cold machines come up late, those of a moment together.
            for n in COLD {
                let silent = now.nanos() / 400_000_000 % 4 == n % 4;
                if silent {
                    one.rig.doors.insert(address(n), Entrance::Silent);
                } else {
                    one.rig.doors.remove(&address(n));
                }
                let waiting: Vec<ConnectionId> =
                    one.rig.on(&address(n)).into_iter().filter(|link| one.rig.stuck.contains(link)).collect();
                for link in waiting {
                    if !one.held_back.iter().any(|(_, other)| *other == link) {
                        one.held_back.push((now + ms(200), link));
                    }
                }
            }
            let up: Vec<ConnectionId> =
                one.held_back.iter().filter(|(at, _)| *at <= now).map(|(_, link)| *link).collect();
            one.held_back.retain(|(at, _)| *at > now);
            for link in up {
                if one.rig.opened.contains_key(&link) {
                    one.rig.comes_up(link);
                }
            }
            for (connection, said) in one.rig.set_ups() {
                let machine =
                    (1..=9).find(|n| address(*n) == one.rig.address_of(connection)).expect("a machine");
                self.calls.entry(machine).or_default().push(said.at);
                match self.chance.below(5) {
                    // A silent one now and then, and one that was lost.
                    0 => {}
                    1 => one.rig.say(connection, &release(said.task, why::FULL)),
                    2 => one.rig.say(connection, &release(said.task, why::ERROR)),
                    _ => one.rig.say(connection, &yes(said.task)),
                }
            }
        }
    }

    /// The most calls to one machine in any window of the rule.
    fn most(&self, machine: u64) -> usize {
        let mut calls = self.calls.get(&machine).cloned().unwrap_or_default();
        calls.sort_unstable();
        let in_window =
            |from: &Timestamp| calls.iter().filter(|at| *at >= from && **at - *from <= FALL).count();
        calls.iter().map(in_window).max().unwrap_or(0)
    }
}

/// A day of five seconds: cold machines come, everybody hears of them late; `restarts` of all start anew.
fn play(schedulers: usize, limit: u64, restarts: f64, seed: u64) -> usize {
    let mut fleet = Fleet::new(schedulers, limit, seed);
    let start = START + ms(300);
    let boot = start.nanos() / 1_000_000;
    let lines: Vec<String> = COLD.map(|n| listed(n, "in_service", boot)).collect();
    for at in 0..schedulers {
        let late = ms(200 + 10 * fleet.chance.below(60) as u64);
        fleet.all[at].to_tell.push((start + late, lines.clone()));
    }
    let step = ms(10);
    // As many tasks as want far more than the budget, however many schedulers share them.
    let tasks = (6.0 / schedulers as f64).min(1.0);
    for n in 0..500u64 {
        fleet.step(step, tasks);
        if n == 130 || n == 160 {
            let now = fleet.all[0].rig.now;
            for at in 0..schedulers {
                if fleet.chance.fraction() >= restarts {
                    continue;
                }
                let knows = [&[no_room(listed(FULL, "in_service", 0))], &lines[..]].concat();
                fleet.all[at] = fleet.scheduler(at, schedulers, now, &knows);
            }
        }
    }
    let bound = limit as f64 + 2.0 * (limit as f64).sqrt() + 2.0;
    let mut least = usize::MAX;
    for machine in COLD {
        let most = fleet.most(machine);
        assert!(
            most as f64 <= bound,
            "{schedulers} schedulers, seed {seed}: {most} calls to machine {machine}, {bound:.1} allowed"
        );
        least = least.min(fleet.calls.get(&machine).map_or(0, Vec::len));
    }
    least
}

#[test]
fn a_cold_machine_gets_its_budget_from_all_schedulers_together() {
    let mut used = 0;
    for schedulers in [1, 2, 16, 20, 30, 48] {
        for seed in 0..3 {
            used += play(schedulers, 40, 0.0, seed);
        }
    }
    assert!(used > 15 * 20, "cold machines are used: {used}");
}

#[test]
fn schedulers_that_start_anew_and_forgot_what_they_sent_do_not_send_it_twice() {
    for schedulers in [1, 2, 16, 20, 30, 48] {
        for seed in 10..13 {
            play(schedulers, 40, 0.7, seed);
        }
    }
    // Fewer than one for each scheduler.
    play(30, 12, 0.7, 20);
}

#[test]
fn a_fleet_of_hundreds_of_schedulers_keeps_the_budget_of_a_cold_machine_too() {
    // Far fewer calls than there are schedulers, some of which start anew.
    assert!(play(350, 40, 0.3, 30) > 0, "cold machines are used");
}
