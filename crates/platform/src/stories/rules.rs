//! The five rules over drawn events from fixed seeds, judged from the messages alone.

use super::rig::*;
use mulleinhub::Pcg;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_platform_protocol::{cause_code, kind};
use mulleinhub_sans_io::{CloseReason, ConnectionId, StateMachine};
use std::collections::BTreeMap;

/// What the oracle knows of a task from what passed.
struct Known {
    owner: ConnectionId,
    deadline: Timestamp,
    keyed: bool,
    service: u64,
    answers: usize,
    /// Sends: their connection, machine, when, and whether they are out, and may have run.
    sends: Vec<(ConnectionId, u64, Timestamp, bool, bool)>,
    stands: bool,
    /// Its machine has told its end.
    over: bool,
    /// Its client has left: nothing of it is sent any more, and no answer is owed.
    left: bool,
}

#[derive(Default)]
struct Seen {
    answered: usize,
    resent: usize,
    timed_out: usize,
    refused: usize,
    drained: usize,
    spoilt: usize,
    left: usize,
    crossed: usize,
    held_back: usize,
}

fn machine_of(address: &str) -> u64 {
    address.trim_start_matches("127.0.1.").split(':').next().unwrap().parse().unwrap()
}

struct Judge {
    rig: Rig,
    tasks: BTreeMap<u64, Known>,
    /// When each machine was told to drain.
    drains: BTreeMap<u64, Timestamp>,
    connections: BTreeMap<ConnectionId, u64>,
    seen: Seen,
}

impl Judge {
    /// Hears all that was written and holds it against the rules.
    fn look(&mut self) {
        for (link, address) in &self.rig.opened {
            if address.starts_with("127.0.1.") {
                self.connections.insert(*link, machine_of(address));
            }
        }
        for (link, said) in self.rig.heard(|_| true) {
            let machine = self.connections.get(&link).copied();
            match (machine, said.kind) {
                (Some(machine), kind::START) => self.sent(link, machine, said.task, said.at),
                (Some(_), kind::RELEASE) => {
                    let Some(task) = self.tasks.get_mut(&said.task) else { continue };
                    for send in task.sends.iter_mut().filter(|send| send.0 == link) {
                        self.seen.timed_out += usize::from(send.3);
                        (send.3, send.4) = (false, true);
                    }
                }
                (None, kind::ACCEPT) | (None, kind::RELEASE) => {
                    let task = self.tasks.get_mut(&said.task).expect("a task that was asked for");
                    // A yes that crossed its client's leaving was told to a connection that had ended.
                    let unheard = task.left && link != task.owner && task.sends.iter().any(|send| send.4);
                    if said.kind == kind::RELEASE && (task.stands || unheard) {
                        task.stands = false;
                        continue;
                    }
                    assert_eq!(link, task.owner, "answered where it was asked");
                    task.answers += 1;
                    assert_eq!(task.answers, 1, "rule 1: a second final answer of {}", said.task);
                    assert!(said.at <= task.deadline + ms(50), "rule 1: {} was answered late", said.task);
                    task.stands = said.kind == kind::ACCEPT;
                    let harmless = said
                        .cause()
                        .is_some_and(|cause| [cause_code::FULL, cause_code::BUSY].contains(&cause));
                    let may_have_run = task.sends.iter().any(|send| send.4 || send.3);
                    assert!(
                        !(harmless && task.keyed && may_have_run),
                        "rule 2: nacked though it may have run"
                    );
                    self.seen.answered += 1;
                }
                _ => {}
            }
        }
    }

    fn sent(&mut self, link: ConnectionId, machine: u64, id: u64, now: Timestamp) {
        let limit = |keyed: bool| if keyed { 2 } else { 1 };
        let (service, keyed) = (self.tasks[&id].service, self.tasks[&id].keyed);
        let held = self.tasks.values().filter(|task| task.service == service && task.keyed == keyed);
        let held: usize = held
            .map(|task| {
                let out = task.sends.iter().filter(|send| send.1 == machine && send.3).count();
                let stands = task.stands && !task.over;
                out.max(usize::from(stands && task.sends.last().is_some_and(|send| send.1 == machine)))
            })
            .sum();
        assert!(held < limit(keyed), "rule 5: {} of service {service} on machine {machine}", held + 1);
        if let Some(told) = self.drains.get(&machine) {
            assert!(now <= *told + Duration::from_secs(2), "rule 3: sent to a machine that drains");
        }
        let task = self.tasks.get_mut(&id).unwrap();
        assert!(!task.left, "a send of {id}, whose client has left");
        assert_eq!(task.answers, 0, "rule 1: a send after the final answer");
        assert!(task.sends.iter().all(|send| !send.3), "rule 2: two sends of {id} are out");
        if let Some(first) = task.sends.iter().find(|send| send.4)
            && task.keyed
        {
            assert_eq!(first.1 % 2, machine % 2, "rule 2: sent outside its cell");
            assert!(now <= first.2 + Duration::from_secs(5), "rule 2: sent outside its window");
        }
        self.seen.resent += usize::from(!task.sends.is_empty());
        task.sends.push((link, machine, now, true, false));
    }

    /// A client cancels one of its tasks, or leaves with all of them. The turn comes after this.
    fn leaves(&mut self, owners: &mut [ConnectionId], chance: &mut Pcg) {
        let at = chance.below(owners.len());
        let owner = owners[at];
        let waits = |(_, task): &(&u64, &Known)| task.owner == owner && task.answers == 0 && !task.left;
        let waiting: Vec<u64> = self.tasks.iter().filter(waits).map(|(id, _)| *id).collect();
        if waiting.is_empty() {
            return;
        }
        let gone = if chance.below(3) == 0 {
            let end = if chance.below(2) == 0 { CloseReason::Closed } else { CloseReason::Broken };
            self.rig.platform.on_closed(self.rig.now, owner, end);
            owners[at] = self.rig.comes();
            waiting
        } else {
            let id = waiting[chance.below(waiting.len())];
            self.rig.platform.on_data(self.rig.now, owner, &release(id, cause_code::ENDED));
            vec![id]
        };
        self.seen.left += gone.len();
        for id in gone {
            self.tasks.get_mut(&id).expect("is known").left = true;
        }
    }

    /// Connections to one machine are held back for a while, or come up: then the client's leaving may lie
    /// here.
    fn holds_back(&mut self, owners: &mut [ConnectionId], chance: &mut Pcg) {
        let stuck: Vec<ConnectionId> = self.rig.stuck.iter().copied().collect();
        let machine = address(1 + chance.below(6) as u64);
        if stuck.is_empty() || chance.below(2) == 0 {
            self.rig.doors.insert(machine, Entrance::Silent);
            return;
        }
        self.rig.doors.clear();
        for link in stuck {
            if self.rig.opened.contains_key(&link) {
                // What the connection before carried off was sent before this leaving.
                self.look();
                if chance.below(2) == 0 {
                    self.leaves(owners, chance);
                }
                self.rig.comes_up(link);
                self.seen.held_back += 1;
            }
            self.rig.stuck.remove(&link);
        }
    }

    /// Something happens to one of the sends that are out.
    fn stir(&mut self, chance: &mut Pcg) {
        let out = self
            .tasks
            .iter()
            .flat_map(|(id, task)| task.sends.iter().filter(|send| send.3).map(move |send| (*id, send.0)));
        let out: Vec<(u64, ConnectionId)> = out.collect();
        if out.is_empty() {
            return;
        }
        let (id, link) = out[chance.below(out.len())];
        let mut is_over = |ran: bool| {
            let sends = &mut self.tasks.get_mut(&id).unwrap().sends;
            let send = sends.iter_mut().find(|send| send.0 == link && send.3).unwrap();
            (send.3, send.4) = (false, ran);
        };
        match chance.below(10) {
            0 => {
                is_over(false);
                self.seen.refused += 1;
                self.rig.say(link, &release(id, cause_code::FULL));
            }
            1 => {
                is_over(true);
                self.rig.say(link, &release(id, cause_code::ERROR));
            }
            2 | 3 => {
                for (_, task) in self.tasks.iter_mut() {
                    for send in task.sends.iter_mut().filter(|send| send.0 == link && send.3) {
                        (send.3, send.4) = (false, true);
                    }
                }
                self.seen.spoilt += 1;
                match chance.below(2) {
                    0 => self.rig.say(link, b"\0\0noise"),
                    _ => self.rig.end(link, CloseReason::Broken),
                }
            }
            4 | 5 => {}
            _ => {
                is_over(true);
                self.rig.say(link, &yes(id));
            }
        }
    }
}

fn play(seed: u64) -> Seen {
    let mut chance = Pcg::new(seed);
    let mut judge = Judge {
        rig: Rig::new(6),
        tasks: BTreeMap::new(),
        drains: BTreeMap::new(),
        connections: BTreeMap::new(),
        seen: Seen::default(),
    };
    let mut owners: Vec<ConnectionId> = (0..4).map(|_| judge.rig.owner()).collect();
    let mut events = 1;
    for step in 0..600u64 {
        let owner = owners[chance.below(owners.len())];
        match chance.below(15) {
            0..=4 => {
                let (id, keyed) = (10 + step, chance.below(2) == 0);
                let known = Known {
                    owner,
                    deadline: judge.rig.now + ms(2_000),
                    keyed,
                    service: id % 7,
                    answers: 0,
                    sends: Vec::new(),
                    stands: false,
                    over: false,
                    left: false,
                };
                judge.tasks.insert(id, known);
                judge.rig.say(owner, &set_up(id, if keyed { "batch" } else { "front" }, ""));
            }
            5..=8 => judge.stir(&mut chance),
            // A leaving crosses what a machine says, in one turn.
            10 => {
                judge.leaves(&mut owners, &mut chance);
                if chance.below(2) == 0 {
                    judge.seen.crossed += 1;
                    judge.stir(&mut chance);
                }
                judge.rig.turn();
            }
            11 => judge.holds_back(&mut owners, &mut chance),
            9 if step % 97 == 0 && judge.drains.len() < 2 => {
                let machine = 1 + chance.below(6) as u64;
                events += 1;
                let bulletin = judge.rig.on(BULLETIN)[0];
                let event = event(events, false, &[listed(machine, "terminating", 0)]);
                judge.rig.say(bulletin, format!("data: {event}\n\n").as_bytes());
                judge.drains.entry(machine).or_insert(judge.rig.now);
                judge.seen.drained += 1;
            }
            _ => {
                let standing: Vec<(u64, ConnectionId)> = judge
                    .tasks
                    .iter()
                    .filter(|(_, task)| task.stands && !task.over)
                    .filter_map(|(id, task)| Some((*id, task.sends.last()?.0)))
                    .filter(|(_, link)| judge.rig.opened.contains_key(link))
                    .collect();
                if let Some((id, link)) = standing.get(chance.below(standing.len().max(1))).copied() {
                    judge.rig.say(link, &release(id, cause_code::ENDED));
                    // Its owner may be told later, where none is connected, or not at all, where he ended it.
                    judge.tasks.get_mut(&id).expect("is known").over = true;
                }
            }
        }
        judge.look();
        judge.rig.pass(ms(1 + chance.below(40) as u64));
        judge.look();
    }
    judge.rig.pass(Duration::from_secs(4));
    judge.look();
    for (id, task) in judge.tasks.iter().filter(|(_, task)| !task.left) {
        assert_eq!(task.answers, 1, "rule 1: {id} has no final answer");
    }
    judge.seen
}

#[test]
fn the_rules_hold_over_drawn_events() {
    let mut all = Seen::default();
    for seed in 0..96 {
        let seen = play(seed);
        all.answered += seen.answered;
        all.resent += seen.resent;
        all.timed_out += seen.timed_out;
        all.refused += seen.refused;
        all.drained += seen.drained;
        all.spoilt += seen.spoilt;
        all.left += seen.left;
        all.crossed += seen.crossed;
        all.held_back += seen.held_back;
    }
    assert!(all.answered > 5_000, "{}", all.answered);
    for (case, times) in [
        ("resent", all.resent),
        ("timed out", all.timed_out),
        ("refused", all.refused),
        ("drained", all.drained),
        ("spoilt", all.spoilt),
        ("left", all.left),
        ("crossed", all.crossed),
        ("held back", all.held_back),
    ] {
        assert!(times > 20, "the case {case:?} arose {times} times only");
    }
}
