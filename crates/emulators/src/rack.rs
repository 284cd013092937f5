//! Machines that share a group of repeats: of a referenced task one copy stands among them.
//!
//! Each machine has a door of its own and speaks the machine's side of the protocol. Guessed: the machines of
//! a group know of each other's copies at once; a repeat is turned away while somebody holds the standing
//! copy, and takes its place where nobody does or where it comes from the planner that sent the first.

use crate::machine::{CaseModel, Happened, Held, Machine, Offer, Stage, told_end};
use crate::worth::Worth;
use mulleinhub_interface::Timestamp;
use mulleinhub_protocol::{self as protocol, Bad, Conversation, Ending, Frames, Message, Reason, Side};
use mulleinhub_sans_io::{CloseReason, ConnectionId, Connections, ListenerId, StateMachine};
use std::collections::BTreeMap;

/// A connection of a planner to one of the machines.
struct Caller {
    machine: usize,
    name: Option<String>,
    frames: Frames,
}

/// An end that its planner has not heard of yet.
struct Untold {
    machine: usize,
    planner: String,
    task: u64,
    send: u32,
    shape: protocol::Shape,
    owner: String,
    ending: Ending,
}

pub struct Rack {
    pub machines: Vec<Machine>,
    cases: Vec<CaseModel>,
    worth: Worth,
    links: Connections,
    callers: BTreeMap<ConnectionId, Caller>,
    /// What came to a machine while it hung, in order.
    kept_in: Vec<(ConnectionId, Vec<u8>)>,
    untold: Vec<Untold>,
    happened: Vec<Happened>,
    /// For the day: starts of keys, machines that fell over.
    pub started: Vec<(Timestamp, u64)>,
    pub fell_over: Vec<u64>,
    scratch: Vec<u8>,
}

impl Rack {
    pub fn new(machines: Vec<Machine>, cases: Vec<CaseModel>, worth: Worth) -> Self {
        Self {
            machines,
            cases,
            worth,
            links: Connections::default(),
            callers: BTreeMap::new(),
            kept_in: Vec::new(),
            untold: Vec::new(),
            happened: Vec::new(),
            started: Vec::new(),
            fell_over: Vec::new(),
            scratch: Vec::new(),
        }
    }

    /// Whether somebody listens behind this door.
    pub fn listens(&self, door: ListenerId) -> bool {
        self.machines.get(door.0 as usize).is_some_and(|machine| !machine.down)
    }

    /// The machine's process ends: its tasks are lost, its connections break.
    pub fn goes_down(&mut self, at: usize) {
        self.machines[at].goes_down();
        self.untold.retain(|untold| untold.machine != at);
        let links: Vec<ConnectionId> =
            self.callers.iter().filter(|(_, c)| c.machine == at).map(|(l, _)| *l).collect();
        for link in links {
            self.callers.remove(&link);
            self.links.abort(link);
        }
        self.kept_in.retain(|(link, _)| self.callers.contains_key(link));
    }

    /// A new life of the machine, cold, under the same id.
    pub fn comes_up(&mut self, at: usize, now: Timestamp, life: u64, seed: u64) {
        let before = &self.machines[at];
        let (settings, earned) = (before.settings.clone(), before.earned.clone());
        self.machines[at] = Machine::new(settings, life, now, true, seed);
        self.machines[at].earned = earned;
    }

    /// Books all service up to now.
    pub fn book(&mut self, now: Timestamp) {
        for machine in &mut self.machines {
            machine.book(now, &self.worth);
        }
    }

    fn write(&mut self, link: ConnectionId, message: &Message<'_>) {
        self.scratch.clear();
        protocol::encode(message, &mut self.scratch);
        self.links.send(link, &self.scratch, None);
    }

    fn link_of(&self, machine: usize, planner: &str) -> Option<ConnectionId> {
        let is = |c: &Caller| c.machine == machine && c.name.as_deref() == Some(planner);
        self.callers.iter().find(|(_, caller)| is(caller)).map(|(link, _)| *link)
    }

    fn hear(&mut self, now: Timestamp, link: ConnectionId, bytes: &[u8]) {
        let Some(caller) = self.callers.get_mut(&link) else { return };
        let mut frames = std::mem::take(&mut caller.frames);
        frames.take(bytes);
        let bad = loop {
            let heard = match frames.next_frame() {
                Ok(None) => break None,
                Ok(Some(frame)) => protocol::decode(frame).and_then(|m| self.hear_one(now, link, &m)),
                Err(bad) => Err(bad),
            };
            if let Err(bad) = heard {
                break Some(bad);
            }
            if !self.callers.contains_key(&link) {
                return;
            }
        };
        if let Some(Bad(words)) = bad {
            self.write(link, &Message::Bye { words: &words });
            self.callers.remove(&link);
            self.links.close(link);
        } else if let Some(caller) = self.callers.get_mut(&link) {
            caller.frames = frames;
        }
    }

    fn hear_one(&mut self, now: Timestamp, link: ConnectionId, message: &Message<'_>) -> Result<(), Bad> {
        if !message.belongs(Conversation::PlannerMachine, Side::Opener) {
            return Err(Bad("not a message for a machine".into()));
        }
        let Some(caller) = self.callers.get(&link) else { return Ok(()) };
        let at = caller.machine;
        let Some(planner) = caller.name.clone() else {
            let Message::Hello { conversation: Conversation::PlannerMachine, name, .. } = message else {
                return Err(Bad("a message before the greeting".into()));
            };
            self.greet(now, link, at, name);
            return Ok(());
        };
        match message {
            Message::Ping { nonce } => self.write(link, &Message::Pong { nonce: *nonce }),
            Message::Offer { task, send, shape, owner, .. } => {
                if shape.use_case as usize >= self.cases.len() {
                    return Err(Bad(format!("use case {} of {}", shape.use_case, self.cases.len())));
                }
                let (planner, owner) = (planner, (*owner).to_owned());
                let offer = Offer { planner, task: *task, send: *send, shape: *shape, owner };
                self.machines[at].offered(now, offer, &self.cases, &mut self.happened);
            }
            Message::Recall { task, send } => {
                if self.machines[at].recall(now, &planner, *task, *send) {
                    self.close(link, *task, *send, Ending::Recalled, Reason::Untold);
                }
            }
            Message::Stop { task, send, moves } => {
                let ending = if *moves { Ending::Moved } else { Ending::Stopped };
                if let Some(found) = self.machines[at].find(&planner, *task, *send) {
                    let held = self.machines[at].end(now, found, &self.worth);
                    self.happened.extend(told_end(held, ending));
                } else if self.machines[at].recall(now, &planner, *task, *send) {
                    self.close(link, *task, *send, Ending::Recalled, Reason::Untold);
                }
            }
            Message::Disown { task, send } => {
                if let Some(found) = self.machines[at].find(&planner, *task, *send) {
                    let within = self.machines[at].settings.claim_within;
                    let held = &mut self.machines[at].held[found];
                    held.planner = None;
                    held.unclaimed_until = Some(now + within);
                }
            }
            Message::Claim { task, send, key, owner } => {
                let unheld = |held: &Held| held.planner.is_none() && held.shape.key == *key;
                match self.machines[at].held.iter_mut().find(|held| unheld(held)) {
                    Some(held) => {
                        (held.planner, held.unclaimed_until) = (Some(planner), None);
                        (held.task, held.send) = (*task, *send);
                        (*owner).clone_into(&mut held.owner);
                        let runs = matches!(held.stage, Stage::Runs { .. });
                        self.write(link, &Message::Accepted { task: *task, send: *send });
                        if runs {
                            self.write(link, &Message::Runs { task: *task, send: *send });
                        }
                    }
                    None => self.close(link, *task, *send, Ending::Nacked, Reason::NotHere),
                }
            }
            Message::Probe { nonce } => {
                let unused = self.machines[at].unused();
                self.write(
                    link,
                    &Message::Report {
                        nonce: *nonce,
                        cores_unused: Some(unused.cores),
                        memory_unused: Some(unused.memory),
                    },
                );
            }
            Message::Heard { task, send } => {
                self.untold.retain(|u| {
                    !(u.machine == at && u.planner == planner && (u.task, u.send) == (*task, *send))
                });
            }
            Message::Pong { .. } | Message::Bye { .. } => {}
            _ => return Err(Bad("a second greeting".into())),
        }
        Ok(())
    }

    fn close(&mut self, link: ConnectionId, task: u64, send: u32, ending: Ending, reason: Reason) {
        self.write(link, &Message::Closed { task, send, ending, reason });
    }

    /// A planner greets: an older connection of its is over, and with it all that it had in line.
    fn greet(&mut self, now: Timestamp, link: ConnectionId, at: usize, planner: &str) {
        if let Some(old) = self.link_of(at, planner) {
            self.callers.remove(&old);
            self.kept_in.retain(|(kept, _)| *kept != old);
            self.links.abort(old);
        }
        self.machines[at].forget_line(now, planner);
        self.callers.get_mut(&link).expect("it speaks").name = Some(planner.to_owned());
        let life = self.machines[at].life;
        let name = format!("machine-{}", self.machines[at].settings.id);
        self.write(
            link,
            &Message::Welcome { version: protocol::VERSION, features: 0, name: &name, life, silence: None },
        );
        let ours = self.machines[at].held.iter().filter(|held| held.planner.as_deref() == Some(planner));
        // With yes when running, what doesn't run yet has had no yes: the planner must not take it for
        // placed.
        let yes_when_running = self.machines[at].settings.yes_when_running;
        let runs = |held: &Held| matches!(held.stage, Stage::Runs { .. });
        let mut tasks: Vec<protocol::Held<'_>> = ours
            .filter(|held| !yes_when_running || runs(held))
            .map(|held| protocol::Held {
                task: held.task,
                send: held.send,
                shape: held.shape,
                owner: &held.owner,
                ended: None,
                runs: runs(held),
            })
            .collect();
        tasks.extend(self.untold.iter().filter(|u| u.machine == at && u.planner == planner).map(|u| {
            protocol::Held {
                task: u.task,
                send: u.send,
                shape: u.shape,
                owner: &u.owner,
                ended: Some(u.ending),
                runs: false,
            }
        }));
        let mut frames = Vec::new();
        let mut parts = protocol::cut_held(&tasks).peekable();
        while let Some(part) = parts.next() {
            let last = parts.peek().is_none();
            protocol::encode(&Message::Holds { tasks: part.to_vec(), last }, &mut frames);
        }
        self.links.send(link, &frames, None);
    }

    /// The standing copy of a key in this group: which machine, and where there.
    fn standing(&self, key: u64) -> Option<(usize, usize)> {
        let find = |m: &Machine| m.held.iter().position(|held| held.shape.key == key);
        self.machines.iter().enumerate().find_map(|(at, machine)| Some((at, find(machine)?)))
    }

    /// Decides on offers whose look is done; a repeat of a referenced task meets the copy that stands.
    fn decide(&mut self, now: Timestamp, at: usize) {
        while let Some(offer) = self.machines[at].looked_at(now) {
            let one_copy = self.cases[offer.shape.use_case as usize].one_copy_in.is_some();
            if one_copy && let Some((other, place)) = self.standing(offer.shape.key) {
                let held = &self.machines[other].held[place];
                let given_up =
                    held.planner.as_deref() == Some(offer.planner.as_str()) && held.task == offer.task;
                if held.planner.is_some() && !given_up {
                    let (planner, task, send) = (offer.planner.clone(), offer.task, offer.send);
                    let (ending, reason) = (Ending::Nacked, Reason::NotHere);
                    self.happened.push(Happened::Closed { planner, task, send, ending, reason, was: None });
                    self.machines[at].look_next(now);
                    continue;
                }
                // Whoever held it has given it up: nobody is told of its end.
                self.machines[other].end(now, place, &self.worth);
            }
            self.machines[at].decide(now, offer, &self.cases, &self.worth, &mut self.happened);
        }
    }

    /// Tells what happened to whom it concerns; ends are kept until they were heard.
    fn tell(&mut self, now: Timestamp, at: usize) {
        for happened in std::mem::take(&mut self.happened) {
            match happened {
                Happened::Accepted { planner, task, send } => {
                    if let Some(link) = self.link_of(at, &planner) {
                        self.write(link, &Message::Accepted { task, send });
                    }
                }
                Happened::Runs { planner, task, send } => {
                    if let Some(link) = self.link_of(at, &planner) {
                        self.write(link, &Message::Runs { task, send });
                    }
                }
                Happened::Closed { planner, task, send, ending, reason, was } => {
                    if let Some(link) = self.link_of(at, &planner) {
                        self.close(link, task, send, ending, reason);
                    }
                    if let Some((shape, owner)) = was {
                        self.untold.push(Untold { machine: at, planner, task, send, shape, owner, ending });
                    }
                }
                Happened::Note { planner, task, cores, memory, served, machine_memory } => {
                    let pressure = self.machines[at].settings.tells_pressure;
                    if let Some(link) = self.link_of(at, &planner) {
                        self.write(
                            link,
                            &Message::Note {
                                task,
                                cores: Some(cores),
                                memory: Some(memory),
                                served: pressure.then_some(served),
                                machine_memory: pressure.then_some(machine_memory),
                            },
                        );
                    }
                }
                Happened::Started { key } => self.started.push((now, key)),
                Happened::FellOver => {
                    self.fell_over.push(self.machines[at].settings.id);
                    self.goes_down(at);
                }
            }
        }
    }
}

impl StateMachine for Rack {
    fn on_connection_accepted(&mut self, _: Timestamp, link: ConnectionId, door: ListenerId) {
        let machine = door.0 as usize;
        if self.listens(door) {
            self.callers.insert(link, Caller { machine, name: None, frames: Frames::default() });
        } else {
            self.links.abort(link);
        }
    }

    fn on_connected(&mut self, _: Timestamp, _: ConnectionId) {}

    fn on_data(&mut self, now: Timestamp, link: ConnectionId, bytes: &[u8]) {
        let Some(caller) = self.callers.get(&link) else { return };
        let at = caller.machine;
        if self.machines[at].plight.hangs {
            self.kept_in.push((link, bytes.to_vec()));
            return;
        }
        self.hear(now, link, bytes);
        self.tell(now, at);
    }

    fn on_closed(&mut self, now: Timestamp, link: ConnectionId, _: CloseReason) {
        self.links.remove(link);
        if let Some(Caller { machine, name: Some(planner), .. }) = self.callers.remove(&link) {
            self.machines[machine].forget_line(now, &planner);
        }
    }

    fn poll(&mut self, now: Timestamp) {
        // What lay waiting while a machine hung is heard first.
        let kept = std::mem::take(&mut self.kept_in);
        for (link, bytes) in kept {
            self.on_data(now, link, &bytes);
        }
        for at in 0..self.machines.len() {
            if self.machines[at].down || self.machines[at].plight.hangs {
                continue;
            }
            if self.machines[at].wake().is_some_and(|wake| wake <= now) {
                self.decide(now, at);
                self.machines[at].turn(now, &self.cases, &self.worth, &mut self.happened);
                self.tell(now, at);
            }
        }
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        self.machines.iter().filter_map(Machine::wake).min()
    }

    fn connections(&mut self) -> &mut Connections {
        &mut self.links
    }
}
