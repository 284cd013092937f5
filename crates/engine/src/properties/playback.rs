//! What each event does.

use super::events::Event;
use super::records::SubmittedTask;
use super::simulation::Simulation;
use super::{ANSWER_SLACK, MACHINES, MS};
use mulleinhub_protocol::{Ending, Message, Reason, Shape};
use mulleinhub_sans_io::{CloseReason, StateMachine};

/// The number of an attempt that was never made.
const UNKNOWN_ATTEMPT: u32 = 77;

impl Simulation {
    pub(super) fn play(&mut self, event: &Event) {
        match event {
            Event::Submit { case, service, patience } => self.submit(*case, *service, patience * MS),
            Event::Cancel(n) => {
                let Some(connection) = self.client else { return };
                let id = self.nth_task(*n).unwrap_or(9_999);
                self.cancel(connection, id);
            }
            Event::MachineReplies(index, reply) => self.reply(*index, *reply),
            Event::TaskEnds(index, ending) => {
                if self.machines[*index].running.first().is_some_and(|running| !running.disowned) {
                    self.end_task(*index, 0, *ending);
                }
            }
            Event::RepeatsLastMessage(index) => self.repeat_last_message(*index),
            Event::ReportsUnknownAttempt(index, task) => self.report_unknown_attempt(*index, *task),
            Event::ReportsUsage(index, served, memory) => self.report_usage(*index, *served, *memory),
            Event::ConnectionBreaks(index) => self.break_connection(*index),
            Event::TogglesRefusing(index) => {
                let refuses = !self.machines[*index].refuses;
                self.machines[*index].refuses = refuses;
                if refuses {
                    self.break_connection(*index);
                }
            }
            Event::MachineRestarts(index) => self.restart_machine(*index),
            Event::TogglesUnresponsive(index) => {
                self.machines[*index].unresponsive = !self.machines[*index].unresponsive;
                if !self.machines[*index].unresponsive {
                    self.resume_reading(*index);
                }
            }
            Event::Listed(index, mode) => self.send_list_entry(*index, *mode),
            Event::ClientDisconnects => {
                if let Some(connection) = self.client.take() {
                    let now = self.timestamp();
                    self.engine.on_closed(now, connection, CloseReason::Broken);
                }
            }
            Event::ClientConnects => self.connect_client(),
            Event::HandsOver(n) => self.hand_over(*n),
            Event::TimePasses(ms) => self.pass_time(*ms),
            Event::ProcessPauses(ms) => {
                self.coverage.pauses += 1;
                self.now += ms * MS;
                self.after_pause = true;
            }
        }
    }

    /// The client submits a task, with so many nanoseconds until its deadline.
    fn submit(&mut self, case: usize, service: u64, patience: u64) {
        let Some(connection) = self.client else { return };
        let (id, now) = (self.next_task, self.now);
        self.next_task += 1;
        let service = service + 10 * case as u64;
        let shape = Shape { key: id, use_case: case as u32, service, cores: 1.0, memory: 1.0, again: false };
        self.tasks.insert(id, SubmittedTask::new(shape, now + patience));
        self.deliver(connection, &Message::Ask { task: id, shape, patience, clock: now });
    }

    fn repeat_last_message(&mut self, index: usize) {
        let machine = &self.machines[index];
        if let (Some(connection), true, Some(message)) =
            (machine.connection, machine.greeted, machine.last_message.clone())
        {
            let now = self.timestamp();
            self.engine.on_data(now, connection, &message);
        }
    }

    fn report_unknown_attempt(&mut self, index: usize, task: u64) {
        let send = UNKNOWN_ATTEMPT;
        let message = match task % 3 {
            0 => Message::Accepted { task, send },
            1 => Message::Closed { task, send, ending: Ending::Done, reason: Reason::Untold },
            _ => Message::Runs { task, send },
        };
        let last_message = self.machines[index].last_message.take();
        self.send_from_machine(index, &message);
        self.machines[index].last_message = last_message;
    }

    fn report_usage(&mut self, index: usize, served: u8, memory: u8) {
        let Some(running) = self.machines[index].running.first() else { return };
        let (task, part) = (running.task, |byte: u8| Some(f64::from(byte) / 255.0));
        let note = Message::Note {
            task,
            cores: part(served),
            memory: Some(0.5),
            served: part(served),
            machine_memory: part(memory),
        };
        self.send_from_machine(index, &note);
    }

    fn restart_machine(&mut self, index: usize) {
        self.break_connection(index);
        let machine = &mut self.machines[index];
        machine.incarnation += 1_000;
        (machine.up_at, machine.restart_known_at) = (Some(self.now), None);
        machine.cold_offers.clear();
        machine.queue.clear();
        machine.running.clear();
        machine.unacknowledged.clear();
        machine.last_message = None;
    }

    /// The client hands over a copy that nobody holds, where there is one, or any task.
    fn hand_over(&mut self, n: usize) {
        let disowned = self.machines.iter().enumerate().flat_map(|(index, machine)| {
            machine
                .running
                .iter()
                .filter(|running| running.disowned)
                .map(move |running| (index, running.shape))
        });
        let disowned: Vec<(usize, Shape)> = disowned.collect();
        let any = self.nth_task(n).map(|id| (n % MACHINES, self.tasks[&id].shape));
        let copy = disowned.get(n % disowned.len().max(1)).copied().or(any);
        let (Some(connection), Some((index, shape))) = (self.client, copy) else { return };
        let machine = index as u64 + 1;
        let task = self.next_task;
        self.next_task += 1;
        self.tasks.insert(task, SubmittedTask::new(shape, u64::MAX - ANSWER_SLACK));
        self.deliver(connection, &Message::HandOver { task, shape, machine });
    }
}
