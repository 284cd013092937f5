//! The simulated client's side of the protocol, with the rules on final answers.

use super::ANSWER_SLACK;
use super::records::Answer;
use super::simulation::Simulation;
use mulleinhub_protocol::{self as protocol, Conversation, Message};
use mulleinhub_sans_io::{ConnectionId, ListenerId, StateMachine};

impl Simulation {
    pub(super) fn on_message_to_client(&mut self, connection: ConnectionId, message: &Message<'_>) {
        let (id, answer) = match message {
            Message::Taken { task } => {
                self.tasks.get_mut(task).expect("was submitted").taken = true;
                return;
            }
            Message::Placed { task, machine } => {
                self.mark_placed(*task, *machine as usize - 1);
                (*task, Answer::Placed)
            }
            Message::Nacked { task, .. } => (*task, Answer::Rejected),
            Message::Errored { task } => (*task, Answer::Failed),
            Message::Ended { task, .. } => {
                let Some(task) = self.tasks.get_mut(task) else { return };
                // Placed and over while the client was away.
                task.answer.get_or_insert(Answer::Placed);
                return;
            }
            Message::Unknown { task } => {
                let known = self.tasks.get(task).is_some_and(|task| task.taken);
                assert!(!known, "rule 1: task {task} was accepted and is not known any more");
                return;
            }
            Message::Ping { nonce } => {
                return drop(self.deliver(connection, &Message::Pong { nonce: *nonce }));
            }
            _ => return,
        };
        self.check_answer(id, answer);
    }

    /// The scheduler counts on the attempt on this machine from now on, if it is not over.
    fn mark_placed(&mut self, task: u64, index: usize) {
        let Some(task) = self.tasks.get_mut(&task) else { return };
        for attempt in task.attempts.values_mut() {
            if attempt.machine == index && !attempt.is_over {
                (attempt.accepted, attempt.disconnected) = (true, false);
            }
        }
    }

    /// Rules 1 and 2, at each final answer that the client receives.
    fn check_answer(&mut self, id: u64, answer: Answer) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let asked = task.questions > 0;
        task.questions = task.questions.saturating_sub(1);
        match task.answer {
            Some(before) => {
                assert!(
                    before == answer && asked,
                    "rule 1: task {id} is answered {before:?}, then {answer:?}"
                );
            }
            None => {
                assert!(
                    !task.cancellation_handled || asked,
                    "task {id} is answered after its client cancelled it"
                );
                let at = task.deadline + ANSWER_SLACK;
                assert!(self.now <= at || asked || self.after_pause, "rule 1: task {id} is answered late");
                task.answer = Some(answer);
                self.coverage.answers += 1;
            }
        }
        if answer == Answer::Rejected {
            self.rejected.push(id);
            let is_idempotent = [0, 3].contains(&task.shape.use_case);
            let ran = task.attempts.values().any(|attempt| !attempt.never_ran);
            assert!(is_idempotent || !ran, "rule 2: task {id} is rejected though it may have run");
        }
    }

    /// The client connects, and asks for its open tasks.
    pub(super) fn connect_client(&mut self) {
        if self.client.is_some() {
            return;
        }
        let connection = self.engine.connections().register();
        self.client = Some(connection);
        let now = self.timestamp();
        self.engine.on_connection_accepted(now, connection, ListenerId(0));
        self.deliver(
            connection,
            &Message::hello(Conversation::ClientPlanner, protocol::HAS_TASKS, "client", 1, self.now),
        );
        let open: Vec<u64> = self
            .tasks
            .iter_mut()
            .filter(|(_, task)| task.taken && task.answer.is_none() && !task.cancelled)
            .map(|(id, task)| {
                task.questions += 1;
                *id
            })
            .collect();
        for task in open {
            self.deliver(connection, &Message::Learn { task });
        }
    }

    pub(super) fn cancel(&mut self, connection: ConnectionId, id: u64) {
        let stage = self.stage(id);
        *self.coverage.cancelled.entry(stage).or_default() += 1;
        if self.after_pause {
            *self.coverage.cancelled.entry("after a standstill").or_default() += 1;
        }
        if let Some(task) = self.tasks.get_mut(&id) {
            task.cancelled = true;
            self.cancelled_now.push(id);
        }
        self.deliver(connection, &Message::Withdraw { task: id });
    }
}
