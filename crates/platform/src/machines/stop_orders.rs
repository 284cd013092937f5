//! Orders to a machine to stop tasks, kept until it has followed them.

use crate::state::SchedulerState;
use mulleinhub_interface::{Duration, MachineId, TaskId, Timestamp};
use mulleinhub_platform_protocol::{self as protocol, cause_code};
use mulleinhub_sans_io::ConnectionId;
use std::collections::BTreeMap;

/// A client that has ended a task may ask for it anew within this: an order that waits has a hurry.
const ORDER_DEADLINE: Duration = Duration::from_secs(3);

/// Orders to one machine. An order ends with the machine's release of the task, or with a connection that both
/// sides have closed in order behind it: then its machine has read it. Whatever else becomes of the connection
/// that carries it, it is given again on another one. In memory only.
#[derive(Debug, Default)]
pub struct StopOrders {
    /// The tasks, with the connection that carries the order; none while it waits for one.
    by_task: BTreeMap<TaskId, Option<ConnectionId>>,
    /// When an order last began to wait for a connection.
    waiting_since: Timestamp,
}

impl StopOrders {
    /// The task is to be stopped.
    pub fn add(&mut self, now: Timestamp, task: TaskId) {
        self.by_task.insert(task, None);
        self.waiting_since = now;
    }

    /// Nothing is to be stopped for this task any more.
    pub fn remove(&mut self, task: TaskId) {
        self.by_task.remove(&task);
    }

    /// Nothing that was to be stopped is there any more.
    pub fn clear(&mut self) {
        self.by_task.clear();
    }

    /// Whether any order waits for a connection.
    pub fn has_unsent(&self) -> bool {
        self.by_task.values().any(Option::is_none)
    }

    /// Whether an order that waits for a connection may still come before its client asks for the task anew.
    pub fn are_urgent(&self, now: Timestamp) -> bool {
        self.has_unsent() && now - self.waiting_since < ORDER_DEADLINE
    }

    /// The orders that wait for a connection: this one carries them from now on.
    fn take_unsent(&mut self, connection_id: ConnectionId) -> Vec<TaskId> {
        let unsent = self.by_task.iter_mut().filter(|(_, carrier)| carrier.is_none());
        let assigned = unsent.map(|(task, carrier)| {
            *carrier = Some(connection_id);
            *task
        });
        assigned.collect()
    }

    /// The machine has read everything that was sent on this connection.
    pub fn on_delivered(&mut self, connection_id: ConnectionId) {
        self.by_task.retain(|_, carrier| *carrier != Some(connection_id));
    }

    /// This connection is gone, and what it carried may be lost.
    pub fn on_disconnected(&mut self, now: Timestamp, connection_id: ConnectionId) {
        let lost = self.by_task.values_mut().filter(|carrier| **carrier == Some(connection_id));
        for carrier in lost {
            (*carrier, self.waiting_since) = (None, now);
        }
    }
}

impl SchedulerState {
    /// Stops a task that runs on a machine: at once where a connection is established, else on the next one.
    pub fn stop_running_task(&mut self, id: MachineId, task: TaskId, preferred: Option<ConnectionId>) {
        let Some(machine) = self.machines.by_id.get_mut(&id) else { return };
        machine.stop_orders.add(self.now, task);
        let is_usable = |connection_id: &ConnectionId| {
            let connection = self.machines.connections.get(connection_id);
            connection.is_some_and(|known| known.established && !known.retired)
        };
        match preferred.filter(is_usable) {
            Some(connection_id) => self.send_stop_orders_on(id, connection_id),
            None => self.send_stop_orders(id),
        }
        if self.machines.is_unconnected(id) {
            self.open_machine_connection(id);
        }
        if self.machines.by_id.get(&id).is_some_and(|machine| machine.stop_orders.has_unsent()) {
            self.schedule_urgent_check(id);
        }
    }

    /// Gives the orders that wait for a connection to this machine, if one is established.
    pub fn send_stop_orders(&mut self, id: MachineId) {
        if !self.machines.by_id.get(&id).is_some_and(|machine| machine.stop_orders.has_unsent()) {
            return;
        }
        let mut established =
            self.machines.connections_of(id).filter(|(_, connection)| connection.is_established());
        let connection_id = established.next().map(|(connection_id, _)| connection_id);
        drop(established);
        if let Some(connection_id) = connection_id {
            self.send_stop_orders_on(id, connection_id);
        }
    }

    fn send_stop_orders_on(&mut self, id: MachineId, connection_id: ConnectionId) {
        let Some(machine) = self.machines.by_id.get_mut(&id) else { return };
        for task in machine.stop_orders.take_unsent(connection_id) {
            self.send(connection_id, |out| {
                protocol::write_with_cause(out, protocol::kind::RELEASE, task.0, cause_code::CANCELLED);
            });
        }
    }
}
