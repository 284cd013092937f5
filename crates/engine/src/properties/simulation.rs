//! A scheduler among simulated machines, one client and the endpoint list.

use super::events::Reply;
use super::records::{Coverage, RunningTask, SentAttempt, SimulatedMachine, SubmittedTask};
use super::{MACHINES, MS, cell, settings};
use crate::Engine;
use mulleinhub_interface::{TaskId, Timestamp};
use mulleinhub_protocol::{self as protocol, Frames, Message, Mode};
use mulleinhub_sans_io::{CloseReason, Command, ConnectionId, StateMachine};
use std::collections::{BTreeMap, VecDeque};

/// The scheduler and its peers, and what the oracle knows of them.
pub(super) struct Simulation {
    pub(super) engine: Engine,
    /// Virtual time, in nanoseconds.
    pub(super) now: u64,
    pub(super) list_connection: ConnectionId,
    /// The client's connection, while it has one.
    pub(super) client: Option<ConnectionId>,
    frames: BTreeMap<ConnectionId, Frames>,
    /// Connections that were asked for, and the machines that they lead to.
    connecting: Vec<(ConnectionId, usize)>,
    pub(super) machines: Vec<SimulatedMachine>,
    pub(super) tasks: BTreeMap<u64, SubmittedTask>,
    pub(super) next_task: u64,
    /// Offers that were read since all was last exchanged, and the machines that read them.
    pub(super) offers_read: Vec<(u64, usize)>,
    /// Tasks that were rejected since then.
    pub(super) rejected: Vec<u64>,
    /// What is read now may have been written long before.
    pub(super) reads_delayed: bool,
    /// Tasks whose cancellation was delivered and is handled in the next iteration.
    pub(super) cancelled_now: Vec<u64>,
    /// The process was paused, and has had no iteration since.
    pub(super) after_pause: bool,
    pub(super) coverage: Coverage,
}

impl Simulation {
    pub(super) fn new(seed: u64) -> Self {
        let machine = |n| SimulatedMachine {
            incarnation: 100 + n,
            up_at: None,
            connection: None,
            greeted: false,
            refuses: false,
            unresponsive: false,
            queue: VecDeque::new(),
            running: Vec::new(),
            unacknowledged: Vec::new(),
            last_message: None,
            listed_inactive: false,
            inactive: false,
            restart_known_at: None,
            cold_offers: VecDeque::new(),
        };
        let mut simulation = Self {
            engine: Engine::new(settings(), seed, None),
            now: 1_000 * MS,
            list_connection: ConnectionId(0),
            client: None,
            frames: BTreeMap::new(),
            connecting: Vec::new(),
            machines: (0..MACHINES as u64).map(machine).collect(),
            tasks: BTreeMap::new(),
            next_task: 1,
            offers_read: Vec::new(),
            rejected: Vec::new(),
            reads_delayed: false,
            cancelled_now: Vec::new(),
            after_pause: false,
            coverage: Coverage::default(),
        };
        simulation.iterate();
        for n in 0..MACHINES {
            simulation.send_list_entry(n, Mode::Active);
        }
        simulation.iterate();
        simulation.connect_client();
        simulation.iterate();
        simulation
    }

    pub(super) fn timestamp(&self) -> Timestamp {
        Timestamp::from_nanos(self.now)
    }

    pub(super) fn deliver(&mut self, connection: ConnectionId, message: &Message<'_>) -> Vec<u8> {
        let mut bytes = Vec::new();
        protocol::encode(message, &mut bytes);
        self.engine.on_data(self.timestamp(), connection, &bytes);
        bytes
    }

    pub(super) fn send_from_machine(&mut self, index: usize, message: &Message<'_>) -> bool {
        let Some(connection) = self.machines[index].connection.filter(|_| self.machines[index].greeted)
        else {
            return false;
        };
        self.machines[index].last_message = Some(self.deliver(connection, message));
        true
    }

    pub(super) fn attempt(&mut self, task: u64, send: u32) -> Option<&mut SentAttempt> {
        self.tasks.get_mut(&task)?.attempts.get_mut(&send)
    }

    /// An iteration of the scheduler, and what follows at the same instant.
    pub(super) fn iterate(&mut self) {
        self.apply_list_states();
        for _ in 0..50 {
            self.engine.poll(self.timestamp());
            self.exchange();
            if self.engine.next_wakeup().is_none_or(|at| at > self.timestamp()) {
                break;
            }
        }
        for id in std::mem::take(&mut self.cancelled_now) {
            if let Some(task) = self.tasks.get_mut(&id) {
                task.cancellation_handled = true;
            }
        }
        self.check_answers();
        self.after_pause = false;
    }

    /// What the endpoint list said until now is handled in this iteration.
    pub(super) fn apply_list_states(&mut self) {
        self.machines.iter_mut().for_each(|machine| machine.inactive = machine.listed_inactive);
    }

    pub(super) fn iterate_early(&mut self) {
        self.apply_list_states();
        self.engine.poll_early(self.timestamp());
        self.exchange();
    }

    pub(super) fn exchange(&mut self) {
        loop {
            if let Some(connection) = self.engine.connections().next_with_output() {
                self.read_from(connection);
                continue;
            }
            match self.engine.connections().next_command() {
                None => return self.check_offers(),
                Some(Command::Open(connection, address)) => match address.strip_prefix('m') {
                    Some(n) => {
                        let index = n.parse::<usize>().expect("a machine") - 1;
                        (self.machines[index].connection, self.machines[index].greeted) =
                            (Some(connection), false);
                        self.connecting.push((connection, index));
                        self.establish_connections();
                    }
                    None => {
                        self.list_connection = connection;
                        self.engine.on_connected(self.timestamp(), connection);
                        let welcome = Message::Welcome {
                            version: 1,
                            features: 0,
                            name: "list",
                            life: 1,
                            silence: None,
                        };
                        self.deliver(connection, &welcome);
                    }
                },
                Some(Command::Close { connection, .. }) => {
                    self.engine.connections().discard(connection);
                    self.connecting.retain(|(other, _)| *other != connection);
                    if let Some(index) =
                        self.machines.iter().position(|machine| machine.connection == Some(connection))
                    {
                        self.machines[index].connection = None;
                        self.mark_disconnected(connection);
                    }
                }
            }
        }
    }

    /// Connections that were asked for are established or refused, where the machine responds.
    pub(super) fn establish_connections(&mut self) {
        for (connection, index) in std::mem::take(&mut self.connecting) {
            if self.machines[index].unresponsive {
                self.connecting.push((connection, index));
            } else if self.machines[index].refuses {
                self.machines[index].connection = None;
                self.engine.on_closed(self.timestamp(), connection, CloseReason::Refused);
            } else {
                self.engine.on_connected(self.timestamp(), connection);
            }
        }
    }

    pub(super) fn mark_disconnected(&mut self, connection: ConnectionId) {
        let attempts = self.tasks.values_mut().flat_map(|task| task.attempts.values_mut());
        attempts
            .filter(|attempt| attempt.connection == connection)
            .for_each(|attempt| attempt.disconnected = true);
    }

    pub(super) fn read_from(&mut self, connection: ConnectionId) {
        let index = self.machines.iter().position(|machine| machine.connection == Some(connection));
        if index.is_some_and(|index| self.machines[index].unresponsive) {
            return;
        }
        let bytes = self.engine.connections().outgoing(connection).to_vec();
        self.engine.connections().mark_written(connection, bytes.len());
        let mut frames = self.frames.remove(&connection).unwrap_or_default();
        frames.take(&bytes);
        while let Some(frame) = frames.next_frame().expect("schedulers write frames") {
            let message = protocol::decode(frame).expect("schedulers write messages");
            match index {
                Some(index) => self.on_message_to_machine(index, connection, &message),
                None if Some(connection) == self.client => self.on_message_to_client(connection, &message),
                None => {}
            }
        }
        self.frames.insert(connection, frames);
    }

    pub(super) fn send_list_entry(&mut self, index: usize, mode: Mode) {
        let machine = &mut self.machines[index];
        let closes = mode != Mode::Active;
        machine.inactive &= closes;
        if !std::mem::replace(&mut machine.listed_inactive, closes) && closes {
            self.coverage.drains += 1;
        }
        if machine.up_at.is_some() {
            machine.restart_known_at.get_or_insert(self.now);
        }
        let address = format!("m{}", index + 1);
        let entry = protocol::Entry {
            machine: index as u64 + 1,
            address: &address,
            kind: 0,
            cell: cell(index) as u32,
            zone: 0,
            mode,
            life: machine.incarnation,
            up_for: machine.up_at.map(|at| self.now - at),
            cores_left: Some(16.0),
            memory_left: Some(32.0),
        };
        let connection = self.list_connection;
        let kind = protocol::ListKind::Changes;
        self.deliver(connection, &Message::List { kind, version: 1, entries: vec![entry] });
    }

    /// A task by its number among all that were submitted.
    pub(super) fn nth_task(&self, n: usize) -> Option<u64> {
        self.tasks.keys().nth(n % self.tasks.len().max(1)).copied()
    }

    /// How far the scheduler is with a task.
    pub(super) fn stage(&self, id: u64) -> &'static str {
        let state = self.engine.state.borrow();
        let Some(record) = state.tasks.get(&TaskId(id)) else { return "over or unread" };
        let Some(attempt) = record.attempt else { return "pending" };
        let slot = state.machines.get(&attempt.machine);
        match attempt.connection {
            _ if record.claiming => "claimed",
            _ if attempt.phase.is_stopping() => "being stopped",
            _ if attempt.phase.is_placed() => "placed",
            None if slot.is_some_and(|slot| slot.ready().is_some()) => "behind a slow-start gate",
            None => "waiting for a connection",
            Some(connection) if state.connections.pending_bytes(connection) > 0 => "unsent",
            Some(_) => "unanswered",
        }
    }

    pub(super) fn break_connection(&mut self, index: usize) {
        if let Some(connection) = self.machines[index].connection.take() {
            self.machines[index].greeted = false;
            self.connecting.retain(|(other, _)| *other != connection);
            self.mark_disconnected(connection);
            let now = self.timestamp();
            self.engine.on_closed(now, connection, CloseReason::Broken);
        }
    }

    /// Time as it passes for a running process: it has its iterations when it wants them.
    pub(super) fn pass_time(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        self.iterate();
        while self.now < end {
            let wake = self.engine.next_wakeup().map_or(end, Timestamp::nanos);
            let waits: Vec<(u64, &'static str)> = self
                .tasks
                .iter()
                .filter(|(_, task)| task.taken && task.answer.is_none() && !task.cancelled)
                .filter(|(_, task)| task.deadline > self.now && task.deadline <= end.min(wake))
                .map(|(id, _)| (*id, self.stage(*id)))
                .collect();
            for (_, stage) in waits {
                *self.coverage.timed_out.entry(stage).or_default() += 1;
            }
            self.now = wake.clamp(self.now + 1, end);
            self.iterate();
        }
    }

    /// Machines respond and answer, the client cancels whatever it submitted; then no state may be left.
    pub(super) fn settle(&mut self) {
        self.connect_client();
        self.pass_time(10);
        for index in 0..MACHINES {
            (self.machines[index].unresponsive, self.machines[index].refuses) = (false, false);
            self.resume_reading(index);
            self.send_list_entry(index, Mode::Active);
        }
        // What was cancelled before is not cancelled again.
        let wanted: Vec<u64> =
            self.tasks.iter().filter(|(_, task)| !task.cancelled).map(|(id, _)| *id).collect();
        for id in wanted {
            let connection = self.client.expect("was there above");
            self.cancel(connection, id);
        }
        for _ in 0..30 {
            for index in 0..MACHINES {
                while !self.machines[index].queue.is_empty() {
                    self.reply(index, Reply::Accepts);
                }
            }
            self.pass_time(500);
        }
        for machine in &self.machines {
            let left: Vec<&RunningTask> =
                machine.running.iter().filter(|running| !running.disowned).collect();
            assert!(left.is_empty(), "cancelled, and they run on: {left:?}");
        }
        // Long enough for all that is kept for late answers to expire.
        self.pass_time(70_000);
        self.check_no_state_left();
    }
}
