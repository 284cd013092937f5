//! The five rules over random events from fixed seeds, checked from the messages alone.

use super::harness::*;
use mulleinhub::Pcg;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_platform_protocol::{cause_code, kind};
use mulleinhub_sans_io::{CloseReason, ConnectionId, StateMachine};
use std::collections::{BTreeMap, BTreeSet};

/// An attempt as it was seen on a machine's connection.
struct AttemptModel {
    connection: ConnectionId,
    machine: u64,
    at: Timestamp,
    in_flight: bool,
    may_have_run: bool,
}

/// What the checker knows of a task from the messages that passed.
struct TaskModel {
    client: ConnectionId,
    deadline: Timestamp,
    keyed: bool,
    service: u64,
    answers: usize,
    /// Attempts seen so far.
    attempts: Vec<AttemptModel>,
    running: bool,
    /// Its machine has reported its end.
    ended: bool,
    /// Its client has left: nothing of it is sent any more, and no answer is owed.
    client_left: bool,
}

#[derive(Default)]
struct Coverage {
    answered: usize,
    retried: usize,
    timed_out: usize,
    refused: usize,
    drained: usize,
    corrupted: usize,
    client_left: usize,
    crossed: usize,
    delayed: usize,
}

fn machine_of(address: &str) -> u64 {
    address.trim_start_matches("127.0.1.").split(':').next().unwrap().parse().unwrap()
}

struct RuleChecker {
    harness: Harness,
    tasks: BTreeMap<u64, TaskModel>,
    /// When each machine was told to drain.
    draining_since: BTreeMap<u64, Timestamp>,
    connections: BTreeMap<ConnectionId, u64>,
    /// Connections that clients have ended.
    departed: BTreeSet<ConnectionId>,
    /// Tasks of whose end a client heard on a connection that ended before it could say so.
    unacknowledged: BTreeSet<u64>,
    coverage: Coverage,
}

impl RuleChecker {
    /// Receives everything that was sent and checks it against the rules.
    fn check_messages(&mut self) {
        for (connection_id, address) in &self.harness.opened {
            if address.starts_with("127.0.1.") {
                self.connections.insert(*connection_id, machine_of(address));
            }
        }
        for (connection_id, message) in self.harness.received(|_| true) {
            let machine = self.connections.get(&connection_id).copied();
            match (machine, message.kind) {
                (Some(machine), kind::START) => {
                    self.check_attempt(connection_id, machine, message.task, message.at)
                }
                (Some(_), kind::RELEASE) => {
                    let Some(task) = self.tasks.get_mut(&message.task) else { continue };
                    for attempt in
                        task.attempts.iter_mut().filter(|attempt| attempt.connection == connection_id)
                    {
                        self.coverage.timed_out += usize::from(attempt.in_flight);
                        (attempt.in_flight, attempt.may_have_run) = (false, true);
                    }
                }
                (None, kind::ACCEPT) | (None, kind::RELEASE) => {
                    let task = self.tasks.get_mut(&message.task).expect("a task that was asked for");
                    // An acceptance that crossed its client's leaving was told to a connection that had
                    // ended.
                    let unheard = task.client_left
                        && connection_id != task.client
                        && task.attempts.iter().any(|attempt| attempt.may_have_run);
                    let is_unacknowledged = self.unacknowledged.remove(&message.task);
                    if message.kind == kind::RELEASE && (task.running || unheard || is_unacknowledged) {
                        task.running = false;
                        self.acknowledge(connection_id, message.task);
                        continue;
                    }
                    assert_eq!(connection_id, task.client, "answered where it was asked");
                    task.answers += 1;
                    assert_eq!(task.answers, 1, "rule 1: a second final answer of {}", message.task);
                    assert!(
                        message.at <= task.deadline + ms(50),
                        "rule 1: {} was answered late",
                        message.task
                    );
                    task.running = message.kind == kind::ACCEPT;
                    let harmless = message
                        .cause()
                        .is_some_and(|cause| [cause_code::FULL, cause_code::BUSY].contains(&cause));
                    let may_have_run =
                        task.attempts.iter().any(|attempt| attempt.may_have_run || attempt.in_flight);
                    assert!(
                        !(harmless && task.keyed && may_have_run),
                        "rule 2: rejected though it may have run"
                    );
                    self.coverage.answered += 1;
                }
                _ => {}
            }
        }
    }

    /// A client says that it has heard of an end, on the connection where it did. Where that has ended meanwhile it may
    /// be told once more.
    fn acknowledge(&mut self, connection_id: ConnectionId, id: u64) {
        if self.departed.contains(&connection_id) || self.harness.closed.contains(&connection_id) {
            self.unacknowledged.insert(id);
        } else {
            self.harness.scheduler.on_data(
                self.harness.now,
                connection_id,
                &encode(kind::RELEASE_ACK, id, &[]),
            );
        }
    }

    fn check_attempt(&mut self, connection_id: ConnectionId, machine: u64, id: u64, now: Timestamp) {
        let limit = |keyed: bool| if keyed { 2 } else { 1 };
        let (service, keyed) = (self.tasks[&id].service, self.tasks[&id].keyed);
        let held = self.tasks.values().filter(|task| task.service == service && task.keyed == keyed);
        let held: usize = held
            .map(|task| {
                let out = task
                    .attempts
                    .iter()
                    .filter(|attempt| attempt.machine == machine && attempt.in_flight)
                    .count();
                let running = task.running && !task.ended;
                out.max(usize::from(
                    running && task.attempts.last().is_some_and(|attempt| attempt.machine == machine),
                ))
            })
            .sum();
        assert!(held < limit(keyed), "rule 5: {} of service {service} on machine {machine}", held + 1);
        if let Some(since) = self.draining_since.get(&machine) {
            assert!(now <= *since + Duration::from_secs(2), "rule 3: sent to a machine that drains");
        }
        let task = self.tasks.get_mut(&id).unwrap();
        assert!(!task.client_left, "an attempt of {id}, whose client has left");
        assert_eq!(task.answers, 0, "rule 1: an attempt after the final answer");
        assert!(
            task.attempts.iter().all(|attempt| !attempt.in_flight),
            "rule 2: two attempts of {id} are in flight"
        );
        if let Some(first) = task.attempts.iter().find(|attempt| attempt.may_have_run)
            && task.keyed
        {
            assert_eq!(first.machine % 2, machine % 2, "rule 2: sent outside its cell");
            assert!(now <= first.at + Duration::from_secs(5), "rule 2: sent outside its window");
        }
        self.coverage.retried += usize::from(!task.attempts.is_empty());
        let connection = connection_id;
        let attempt = AttemptModel { connection, machine, at: now, in_flight: true, may_have_run: false };
        task.attempts.push(attempt);
    }

    /// Draws a client. One that was closed for its silence, with nothing left to answer, connects again.
    fn open_client(&mut self, clients: &mut [ConnectionId], random: &mut Pcg) -> ConnectionId {
        let at = random.below(clients.len());
        if self.harness.closed.contains(&clients[at]) {
            self.check_messages();
            let mut left = self.tasks.values().filter(|task| task.client == clients[at] && !task.client_left);
            assert!(left.all(|task| task.answers == 1), "rule 1: closed with a task unanswered");
            clients[at] = self.harness.connect_client();
        }
        clients[at]
    }

    /// A client cancels one of its tasks, or leaves with all of them. The iteration comes after this.
    fn cancel_or_disconnect(&mut self, clients: &mut [ConnectionId], random: &mut Pcg) {
        let at = random.below(clients.len());
        let client = clients[at];
        let is_waiting =
            |(_, task): &(&u64, &TaskModel)| task.client == client && task.answers == 0 && !task.client_left;
        let waiting: Vec<u64> = self.tasks.iter().filter(is_waiting).map(|(id, _)| *id).collect();
        if waiting.is_empty() {
            return;
        }
        let departed = if random.below(3) == 0 {
            let reason = if random.below(2) == 0 { CloseReason::Closed } else { CloseReason::Broken };
            self.harness.scheduler.on_closed(self.harness.now, client, reason);
            self.departed.insert(client);
            clients[at] = self.harness.accept_client();
            waiting
        } else {
            let id = waiting[random.below(waiting.len())];
            self.harness.scheduler.on_data(self.harness.now, client, &release(id, cause_code::ENDED));
            vec![id]
        };
        self.coverage.client_left += departed.len();
        for id in departed {
            self.tasks.get_mut(&id).expect("is known").client_left = true;
        }
    }

    /// Connections to one machine are held back for a while, or come up: then the client's leaving may lie
    /// here.
    fn toggle_reachability(&mut self, clients: &mut [ConnectionId], random: &mut Pcg) {
        let blocked: Vec<ConnectionId> = self.harness.blocked.iter().copied().collect();
        let machine = address(1 + random.below(6) as u64);
        if blocked.is_empty() || random.below(2) == 0 {
            self.harness.reachability.insert(machine, Reachability::Silent);
            return;
        }
        self.harness.reachability.clear();
        for connection_id in blocked {
            if self.harness.opened.contains_key(&connection_id) {
                // What the connection before carried off was sent before this leaving.
                self.check_messages();
                if random.below(2) == 0 {
                    self.cancel_or_disconnect(clients, random);
                }
                self.harness.establish(connection_id);
                self.coverage.delayed += 1;
            }
            self.harness.blocked.remove(&connection_id);
        }
    }

    /// Something happens to one of the attempts in flight.
    fn affect_attempt(&mut self, random: &mut Pcg) {
        let out = self.tasks.iter().flat_map(|(id, task)| {
            task.attempts
                .iter()
                .filter(|attempt| attempt.in_flight)
                .map(move |attempt| (*id, attempt.connection))
        });
        let out: Vec<(u64, ConnectionId)> = out.collect();
        if out.is_empty() {
            return;
        }
        let (id, connection_id) = out[random.below(out.len())];
        let mut settle = |ran: bool| {
            let attempts = &mut self.tasks.get_mut(&id).unwrap().attempts;
            let attempt = attempts
                .iter_mut()
                .find(|attempt| attempt.connection == connection_id && attempt.in_flight)
                .unwrap();
            (attempt.in_flight, attempt.may_have_run) = (false, ran);
        };
        match random.below(10) {
            0 => {
                settle(false);
                self.coverage.refused += 1;
                self.harness.deliver(connection_id, &release(id, cause_code::FULL));
            }
            1 => {
                settle(true);
                self.harness.deliver(connection_id, &release(id, cause_code::ERROR));
            }
            2 | 3 => {
                for (_, task) in self.tasks.iter_mut() {
                    for attempt in task
                        .attempts
                        .iter_mut()
                        .filter(|attempt| attempt.connection == connection_id && attempt.in_flight)
                    {
                        (attempt.in_flight, attempt.may_have_run) = (false, true);
                    }
                }
                self.coverage.corrupted += 1;
                match random.below(2) {
                    0 => self.harness.deliver(connection_id, b"\0\0noise"),
                    _ => self.harness.close(connection_id, CloseReason::Broken),
                }
            }
            4 | 5 => {}
            _ => {
                settle(true);
                self.harness.deliver(connection_id, &acceptance(id));
            }
        }
    }
}

fn run(seed: u64) -> Coverage {
    let mut random = Pcg::new(seed);
    let mut checker = RuleChecker {
        harness: Harness::new(6),
        tasks: BTreeMap::new(),
        draining_since: BTreeMap::new(),
        connections: BTreeMap::new(),
        departed: BTreeSet::new(),
        unacknowledged: BTreeSet::new(),
        coverage: Coverage::default(),
    };
    let mut clients: Vec<ConnectionId> = (0..4).map(|_| checker.harness.connect_client()).collect();
    let mut events = 1;
    for step in 0..600u64 {
        let client = checker.open_client(&mut clients, &mut random);
        match random.below(15) {
            0..=4 => {
                let (id, keyed) = (10 + step, random.below(2) == 0);
                let task = TaskModel {
                    client,
                    deadline: checker.harness.now + ms(2_000),
                    keyed,
                    service: id % 7,
                    answers: 0,
                    attempts: Vec::new(),
                    running: false,
                    ended: false,
                    client_left: false,
                };
                checker.tasks.insert(id, task);
                checker
                    .harness
                    .deliver(client, &start_request(id, if keyed { "batch" } else { "front" }, ""));
            }
            5..=8 => checker.affect_attempt(&mut random),
            // A leaving crosses what a machine says, in one iteration.
            10 => {
                checker.cancel_or_disconnect(&mut clients, &mut random);
                if random.below(2) == 0 {
                    checker.coverage.crossed += 1;
                    checker.affect_attempt(&mut random);
                }
                checker.harness.run_until_idle();
            }
            11 => checker.toggle_reachability(&mut clients, &mut random),
            9 if step % 97 == 0 && checker.draining_since.len() < 2 => {
                let machine = 1 + random.below(6) as u64;
                events += 1;
                let discovery = checker.harness.connections_to(DISCOVERY)[0];
                let event = event(events, false, &[endpoint(machine, "terminating", 0)]);
                checker.harness.deliver(discovery, format!("data: {event}\n\n").as_bytes());
                checker.draining_since.entry(machine).or_insert(checker.harness.now);
                checker.coverage.drained += 1;
            }
            _ => {
                let running: Vec<(u64, ConnectionId)> = checker
                    .tasks
                    .iter()
                    .filter(|(_, task)| task.running && !task.ended)
                    .filter_map(|(id, task)| Some((*id, task.attempts.last()?.connection)))
                    .filter(|(_, connection_id)| checker.harness.opened.contains_key(connection_id))
                    .collect();
                if let Some((id, connection_id)) = running.get(random.below(running.len().max(1))).copied() {
                    checker.harness.deliver(connection_id, &release(id, cause_code::ENDED));
                    // Its client may be told later, where none is connected, or never, where it cancelled it.
                    checker.tasks.get_mut(&id).expect("is known").ended = true;
                }
            }
        }
        checker.check_messages();
        checker.harness.advance(ms(1 + random.below(40) as u64));
        checker.check_messages();
    }
    checker.harness.advance(Duration::from_secs(4));
    checker.check_messages();
    for (id, task) in checker.tasks.iter().filter(|(_, task)| !task.client_left) {
        assert_eq!(task.answers, 1, "rule 1: {id} has no final answer");
    }
    checker.coverage
}

#[test]
fn rules_hold_over_random_events() {
    let mut all = Coverage::default();
    for seed in 0..96 {
        let coverage = run(seed);
        all.answered += coverage.answered;
        all.retried += coverage.retried;
        all.timed_out += coverage.timed_out;
        all.refused += coverage.refused;
        all.drained += coverage.drained;
        all.corrupted += coverage.corrupted;
        all.client_left += coverage.client_left;
        all.crossed += coverage.crossed;
        all.delayed += coverage.delayed;
    }
    assert!(all.answered > 5_000, "{}", all.answered);
    for (case, times) in [
        ("retried", all.retried),
        ("timed out", all.timed_out),
        ("refused", all.refused),
        ("drained", all.drained),
        ("corrupted", all.corrupted),
        ("client left", all.client_left),
        ("crossed", all.crossed),
        ("delayed", all.delayed),
    ] {
        assert!(times > 20, "the case {case:?} arose {times} times only");
    }
}
