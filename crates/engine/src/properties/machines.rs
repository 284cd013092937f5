//! The simulated machines' side of the protocol.

use super::events::Reply;
use super::records::{Offer, RunningTask, SentAttempt, SubmittedTask};
use super::settings;
use super::simulation::Simulation;
use mulleinhub_protocol::{self as protocol, Ending, Message, Reason};
use mulleinhub_sans_io::{ConnectionId, StateMachine};

impl Simulation {
    pub(super) fn on_message_to_machine(
        &mut self,
        index: usize,
        connection: ConnectionId,
        message: &Message<'_>,
    ) {
        match message {
            Message::Hello { .. } => self.complete_handshake(index, connection),
            Message::Offer { task, send, shape, time_out, .. } => {
                let offer = Offer { task: *task, send: *send, shape: *shape, time_out: *time_out };
                self.check_offer(index, connection, &offer);
            }
            Message::Recall { task, send } => {
                self.mark_over(*task, *send);
                let machine = &mut self.machines[index];
                let before = machine.queue.len();
                machine.queue.retain(|(t, s, _)| (t, s) != (task, send));
                if machine.queue.len() < before {
                    self.send_closed(index, *task, *send, Ending::Recalled, Reason::Untold);
                }
            }
            Message::Stop { task, send, moves } => {
                self.mark_over(*task, *send);
                let at = self.machines[index].running.iter().position(|h| (h.task, h.send) == (*task, *send));
                if let Some(at) = at {
                    self.end_task(index, at, if *moves { Ending::Moved } else { Ending::Stopped });
                }
            }
            Message::Disown { task, send } => {
                self.mark_over(*task, *send);
                self.on_disown(index, *task, *send);
            }
            Message::Claim { task, send, key, .. } => self.on_claim(index, connection, (*task, *send), *key),
            Message::Ping { nonce } => drop(self.deliver(connection, &Message::Pong { nonce: *nonce })),
            Message::Heard { task, send } => {
                self.machines[index].unacknowledged.retain(|(t, s, ..)| (t, s) != (task, send));
            }
            _ => {}
        }
    }

    /// The scheduler says that a task is nobody's. That must not happen to a task that its client cancelled.
    fn on_disown(&mut self, index: usize, task: u64, send: u32) {
        // Known for as long as answers are kept.
        let known = |attempt: &SentAttempt| self.now < attempt.at + settings().answer_retention.nanos();
        let is_cancelled =
            |task: &SubmittedTask| task.cancellation_handled && task.attempts.get(&send).is_some_and(known);
        let is_cancelled = self.tasks.get(&task).is_some_and(is_cancelled);
        let mut running = self.machines[index].running.iter_mut();
        if let Some(running) = running.find(|running| (running.task, running.send) == (task, send)) {
            assert!(
                !is_cancelled || self.reads_delayed,
                "task {task}: a copy of a cancelled task is left to run"
            );
            running.disowned = true;
        }
    }

    /// The scheduler asks whether the machine runs a copy with this key that nobody holds.
    fn on_claim(&mut self, index: usize, connection: ConnectionId, (task, send): (u64, u32), key: u64) {
        let mut running = self.machines[index].running.iter_mut();
        match running.find(|running| running.disowned && running.shape.key == key) {
            Some(running) => {
                (running.task, running.send, running.disowned) = (task, send, false);
                self.coverage.claims += 1;
                self.send_accepted(index, connection, task, send);
            }
            None => self.send_closed(index, task, send, Ending::Nacked, Reason::NotHere),
        }
    }

    /// Nobody counts on this attempt any more, as the scheduler or its machine has written.
    pub(super) fn mark_over(&mut self, task: u64, send: u32) {
        if let Some(attempt) = self.attempt(task, send) {
            attempt.is_over = true;
        }
    }

    pub(super) fn complete_handshake(&mut self, index: usize, connection: ConnectionId) {
        let machine = &mut self.machines[index];
        machine.greeted = true;
        let life = machine.incarnation;
        // What waited on an older connection can't be answered: it is dropped.
        machine.queue.clear();
        if machine.up_at.is_some() {
            machine.restart_known_at.get_or_insert(self.now);
        }
        let running = machine.running.iter().filter(|running| !running.disowned);
        let mut tasks: Vec<protocol::Held<'_>> = running
            .map(|running| protocol::Held {
                task: running.task,
                send: running.send,
                shape: running.shape,
                owner: "client",
                ended: None,
                runs: true,
            })
            .collect();
        tasks.extend(machine.unacknowledged.iter().map(|(task, send, shape, ending)| protocol::Held {
            task: *task,
            send: *send,
            shape: *shape,
            owner: "client",
            ended: Some(*ending),
            runs: false,
        }));
        let reported: Vec<(u64, u32, bool)> =
            tasks.iter().map(|h| (h.task, h.send, h.ended.is_some())).collect();
        let holds = Message::Holds { tasks, last: true };
        let mut bytes = Vec::new();
        let welcome = Message::Welcome { version: 1, features: 0, name: "m", life, silence: None };
        [welcome, holds].iter().for_each(|message| protocol::encode(message, &mut bytes));
        let now = self.timestamp();
        self.engine.on_data(now, connection, &bytes);
        // What this proves of the attempts on older connections.
        for (id, task) in &mut self.tasks {
            for (n, attempt) in
                task.attempts.iter_mut().filter(|(_, s)| s.machine == index && s.connection != connection)
            {
                match reported.iter().find(|(t, s, _)| (t, s) == (id, n)) {
                    Some((_, _, ended)) if *ended => attempt.is_over = true,
                    Some(_) => {
                        (attempt.disconnected, attempt.connection) =
                            (attempt.disconnected && !attempt.accepted, connection)
                    }
                    None => {
                        attempt.is_over = true;
                        attempt.never_ran |= attempt.incarnation == life && !attempt.taken;
                    }
                }
            }
        }
    }

    pub(super) fn send_accepted(&mut self, index: usize, connection: ConnectionId, task: u64, send: u32) {
        if self.send_from_machine(index, &Message::Accepted { task, send }) {
            let (now, incarnation) = (self.now, self.machines[index].incarnation);
            let Some(task) = self.tasks.get_mut(&task) else { return };
            let attempt = task.attempts.entry(send).or_insert(SentAttempt {
                machine: index,
                incarnation,
                connection,
                at: now,
                times_out_at: now,
                taken: true,
                accepted: true,
                is_over: false,
                disconnected: false,
                never_ran: false,
            });
            attempt.accepted = !attempt.is_over;
        }
    }

    /// A task that the machine holds ends; that is reported again until it was acknowledged.
    pub(super) fn end_task(&mut self, index: usize, at: usize, ending: Ending) {
        let RunningTask { task, send, shape, .. } = self.machines[index].running.remove(at);
        self.machines[index].unacknowledged.push((task, send, shape, ending));
        self.send_closed(index, task, send, ending, Reason::Untold);
    }

    pub(super) fn send_closed(&mut self, index: usize, task: u64, send: u32, ending: Ending, reason: Reason) {
        if self.send_from_machine(index, &Message::Closed { task, send, ending, reason })
            && let Some(attempt) = self.attempt(task, send)
        {
            attempt.is_over = true;
            attempt.never_ran |= !attempt.taken && matches!(ending, Ending::Nacked | Ending::Recalled);
        }
    }

    pub(super) fn resume_reading(&mut self, index: usize) {
        self.establish_connections();
        if let Some(connection) = self.machines[index].connection {
            self.reads_delayed = true;
            self.read_from(connection);
            self.reads_delayed = false;
        }
    }

    pub(super) fn reply(&mut self, index: usize, reply: Reply) {
        let Some((task, send, shape)) = self.machines[index].queue.pop_front() else { return };
        match reply {
            Reply::Accepts => {
                self.machines[index].running.push(RunningTask { task, send, shape, disowned: false });
                if let Some(attempt) = self.attempt(task, send) {
                    attempt.taken = true;
                }
                let connection = self.machines[index].connection.unwrap_or(ConnectionId(u64::MAX));
                self.send_accepted(index, connection, task, send);
            }
            Reply::Rejects(reason) => self.send_closed(index, task, send, Ending::Nacked, reason),
            // Dropped unaccepted, where no connection can carry the failure.
            Reply::Fails if !self.machines[index].greeted => {}
            Reply::Fails => {
                if let Some(attempt) = self.attempt(task, send) {
                    attempt.taken = true;
                }
                self.send_closed(index, task, send, Ending::Errored, Reason::Untold);
            }
            Reply::Drops => {}
        }
    }
}
