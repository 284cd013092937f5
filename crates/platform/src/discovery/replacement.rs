//! A new machine at the address of another one: what ran there is gone, but for what was sent to that address after
//! the new one had started, which runs on the new one.

use crate::machines::{LocalClose, MachineConnection};
use crate::state::SchedulerState;
use crate::tasks::{Attempt, TaskRecord};
use mulleinhub_interface::{
    LoadReport, MachineEntry, MachineId, Outcome, PolicyEvents, TaskId, TaskSpec, Timestamp,
};
use mulleinhub_sans_io::ConnectionId;

/// A task that was sent to one machine and runs on the one that has its address now.
#[derive(Clone, Copy, Debug)]
pub struct MovedTask {
    /// The task.
    pub spec: TaskSpec,
    /// Where it runs.
    pub machine: MachineId,
}

impl MovedTask {
    /// Notifies the policy, to which it ends on one machine and is found on the other.
    pub fn announce(self, events: &mut dyn PolicyEvents) {
        events.on_attempt_ended(self.spec.id, Outcome::Cancelled, true, LoadReport::default());
        events.on_adopted_task(self.spec, self.machine);
    }
}

/// The machine `old` is gone: `new`, which is listed, has its address.
pub fn replace(state: &mut SchedulerState, old: MachineId, new: MachineEntry) {
    let machine = state.machines.by_id.get_mut(&old).expect("is there");
    machine.replaced = true;
    // What is not written yet must not reach the machine that is there now.
    state.withdraw_all_unsent(old);
    if let Some(started_at) = new.started_at {
        move_connections(state, old, new.id, started_at);
        move_running_tasks(state, old, new.id, started_at);
    }
    state.lose_running_tasks(old, state.now, "another machine has its address");
    state.machines.by_id.get_mut(&old).expect("is there").stop_orders.clear();
    let connections = state.machines.connections_of(old);
    let unused = connections.filter(|(_, connection)| connection.awaiting.is_empty());
    let unused: Vec<ConnectionId> = unused.map(|(connection_id, _)| connection_id).collect();
    for connection_id in unused {
        state.close_machine_connection(connection_id, LocalClose::Replaced);
    }
}

/// Connections that were asked for after the new machine had started lead to it.
fn move_connections(state: &mut SchedulerState, old: MachineId, new: MachineId, started_at: Timestamp) {
    let leads_to_new = |connection: &MachineConnection| connection.opened_at >= started_at;
    let connections = state.machines.connections_of(old);
    let moved: Vec<ConnectionId> =
        connections.filter(|(_, connection)| leads_to_new(connection)).map(|(id, _)| id).collect();
    for connection_id in &moved {
        state.machines.connections.get_mut(connection_id).expect("was listed").machine = new;
    }
    if let Some(machine) = state.machines.by_id.get_mut(&old) {
        machine.connections.retain(|connection_id| !moved.contains(connection_id));
    }
    if let Some(machine) = state.machines.by_id.get_mut(&new) {
        machine.connections.extend(moved);
    }
    state.schedule_check(new);
}

/// Tasks run on the new machine whose connection leads to it, and those that were accepted after it had started and
/// after the last connection to that address had broken: with a process its connections break.
fn move_running_tasks(state: &mut SchedulerState, old: MachineId, new: MachineId, started_at: Timestamp) {
    let broken_at = state.machines.by_id[&old].broken_at;
    let is_moved = |attempt: &Attempt| {
        let connection = attempt.connection().and_then(|id| state.machines.connections.get(&id));
        match connection {
            Some(connection) => connection.machine == new,
            None => attempt.running_since().is_some_and(|since| {
                attempt.connection().is_some()
                    && since >= started_at
                    && broken_at.is_none_or(|broken_at| broken_at < since)
            }),
        }
    };
    let running = state.tasks.running_on(old);
    let moved: Vec<TaskId> =
        running.into_iter().filter(|(_, attempt)| is_moved(attempt)).map(|(id, _)| id).collect();
    moved.into_iter().for_each(|id| move_task(state, id, new));
    state.schedule_check(new);
}

/// A task that runs was sent to one machine and is on another one.
pub fn move_task(state: &mut SchedulerState, id: TaskId, to: MachineId) {
    let Some(task) = state.tasks.by_id.get_mut(&id) else { return };
    let Some(attempt) = task.attempt.as_mut() else { return };
    let from = std::mem::replace(&mut attempt.machine, to);
    let carrier = attempt.connection();
    let (spec, is_cancelled) = (task.spec, TaskRecord::is_cancelled(task));
    state.tasks.remove_running(id, from);
    state.record_running(id, to);
    tracing::debug!(
        task = crate::tasks::hex(id),
        machine = to.0,
        "task runs on the machine that has the address now"
    );
    state.policy_queue.moved.push(MovedTask { spec, machine: to });
    if is_cancelled {
        state.stop_running_task(to, id, carrier);
    }
}
