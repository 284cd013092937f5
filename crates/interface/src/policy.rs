//! The traits between a scheduling policy and the program that runs it.

use crate::{Duration, ListKind, LoadReport, MachineEntry, MachineId, Outcome, TaskId, TaskSpec, Timestamp};

/// Receives the commands of a policy, in the order in which they are given.
pub trait Dispatch {
    /// Starts an attempt of the task on the machine; without an answer within `timeout` it ends as timed out.
    fn send(&mut self, task: TaskId, machine: MachineId, timeout: Duration);
    /// Cancels an attempt of the task; attempts are numbered from 0.
    fn cancel_attempt(&mut self, task: TaskId, attempt: u32);
    /// Final answer: the task was rejected. The client may retry after `retry_after`.
    fn reject(&mut self, task: TaskId, retry_after: Duration);
    /// Final answer: the task failed and may have run.
    fn fail(&mut self, task: TaskId);
    /// Stops a running task; its client submits it again.
    fn preempt(&mut self, task: TaskId);
    /// Asks for [`PolicyEvents::on_timer`] with this token at the given time.
    fn wake_at(&mut self, token: u64, at: Timestamp);
    /// Requests a watch of the endpoint list.
    fn watch_endpoints(&mut self);
}

impl<D: Dispatch + ?Sized> Dispatch for &mut D {
    fn send(&mut self, task: TaskId, machine: MachineId, timeout: Duration) {
        (**self).send(task, machine, timeout);
    }
    fn cancel_attempt(&mut self, task: TaskId, attempt: u32) {
        (**self).cancel_attempt(task, attempt);
    }
    fn reject(&mut self, task: TaskId, retry_after: Duration) {
        (**self).reject(task, retry_after);
    }
    fn fail(&mut self, task: TaskId) {
        (**self).fail(task);
    }
    fn preempt(&mut self, task: TaskId) {
        (**self).preempt(task);
    }
    fn wake_at(&mut self, token: u64, at: Timestamp) {
        (**self).wake_at(token, at);
    }
    fn watch_endpoints(&mut self) {
        (**self).watch_endpoints();
    }
}

/// The events of one scheduling round.
///
/// Events about tasks or machines that the policy does not know are ignored.
pub trait PolicyEvents {
    /// The scheduler has started.
    fn on_start(&mut self);
    /// A client submitted a task.
    fn on_new_task(&mut self, task: TaskSpec);
    /// A task that runs already has become this scheduler's.
    fn on_adopted_task(&mut self, task: TaskSpec, machine: MachineId);
    /// The machine accepted the task's attempt in flight.
    fn on_accepted(&mut self, task: TaskId);
    /// The task has started to run.
    fn on_running(&mut self, task: TaskId);
    /// The usage of a running task; a part that was not measured is absent.
    fn on_usage(&mut self, task: TaskId, cores: Option<f64>, memory: Option<f64>);
    /// The share (0 to 1) of complete service that a running task gets.
    fn on_service_level(&mut self, task: TaskId, share: f64);
    /// The share of its machine's memory in use, as a running task's machine reports it; may exceed 1.
    fn on_machine_memory(&mut self, task: TaskId, share: f64);
    /// A machine answered a health check.
    fn on_health_check(&mut self, machine: MachineId, report: LoadReport);
    /// A machine said itself that it restarted, before any endpoint list shows it.
    fn on_machine_restarted(&mut self, machine: MachineId);
    /// An attempt ended. Unless `is_final`, the policy still owes the client the final answer.
    fn on_attempt_ended(&mut self, task: TaskId, outcome: Outcome, is_final: bool, report: LoadReport);
    /// The client cancelled the task.
    fn on_client_cancelled(&mut self, task: TaskId);
    /// The scheduler shuts down: no final answer may come later than `deadline`.
    fn on_shutdown(&mut self, deadline: Timestamp);
    /// A timer of [`Dispatch::wake_at`] fired.
    fn on_timer(&mut self, token: u64);
    /// A request for the endpoint list failed, or its watch ended.
    fn on_watch_failed(&mut self);
    /// An endpoint list arrived.
    fn on_endpoint_list(&mut self, kind: ListKind, machines: &[MachineEntry]);
}

/// A scheduling policy.
pub trait Policy {
    /// Runs one scheduling round: `deliver` reports all events of the round, and by the end of the call the
    /// policy has given its commands to `dispatch`.
    fn round(
        &mut self,
        now: Timestamp,
        dispatch: &mut dyn Dispatch,
        deliver: &mut dyn FnMut(&mut dyn PolicyEvents),
    );
}
