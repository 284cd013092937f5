//! Opening, choosing and closing connections to machines, within the limit on descriptors.

use super::{ConnectionPurpose, LocalClose, MachineConnection};
use crate::state::SchedulerState;
use crate::timers::TimerEvent;
use mulleinhub_interface::{MachineId, TaskId};
use mulleinhub_limits::MAX_CONNECTIONS_PER_MACHINE;
use mulleinhub_sans_io::ConnectionId;

impl SchedulerState {
    /// Whether a connection to a machine may be opened: where the pool is used up, the idle one that was used
    /// longest ago makes room. One used just now may still bring what its machine has to report.
    fn reserve_descriptor(&mut self) -> bool {
        if self.machines.pool.has_capacity() {
            return true;
        }
        // What was used in this iteration stays, so a second look in it would find no more.
        if self.machines.exhausted_at == Some(self.now) || !self.machines.pool.may_begin_closing() {
            return false;
        }
        let unused_since = self.now - self.machines.timeouts.connect;
        let connections = &self.machines.connections;
        let may_close = |conn: u64| {
            connections.get(&ConnectionId(conn)).is_some_and(|connection| {
                connection.is_idle() && connection.close_reason.is_none() && !connection.queued
            })
        };
        let least_used = self.machines.pool.least_recently_used(unused_since, may_close);
        let Some(least_used) = least_used else {
            self.machines.exhausted_at = Some(self.now);
            return false;
        };
        self.close_machine_connection(ConnectionId(least_used), LocalClose::PoolExhausted);
        self.machines.pool.has_capacity()
    }

    /// Opens a connection to this machine; none where none may be opened.
    pub fn open_machine_connection(&mut self, id: MachineId) -> Option<ConnectionId> {
        let is_unusable = self.machines.by_id.get(&id).is_none_or(|machine| machine.replaced);
        if is_unusable || !self.reserve_descriptor() {
            return None;
        }
        let machine = self.machines.by_id.get_mut(&id)?;
        let connection_id = self.connections.open(&machine.address);
        machine.connections.push(connection_id);
        let now = self.now;
        self.machines.pool.insert(now, connection_id.0);
        self.machines.connections.insert(connection_id, MachineConnection::new(id, now));
        self.timers.schedule(now + self.machines.timeouts.connect, TimerEvent::ConnectTimeout(connection_id));
        let peer = &self.machines.by_id[&id].address;
        tracing::debug!(peer, machine = id.0, connection = connection_id.0, "machine connection opened");
        self.schedule_check(id);
        Some(connection_id)
    }

    /// A connection for a start request: a free one, a new one, or a shared one.
    pub fn connection_for(&mut self, machine: MachineId, task: TaskId) -> Option<ConnectionId> {
        let used_since = self.now - self.machines.timeouts.idle;
        if let Some(free) = self.machines.free_connection(machine, task, used_since) {
            return Some(free);
        }
        let may_open = self
            .machines
            .by_id
            .get(&machine)
            .is_some_and(|machine| machine.connections.len() < MAX_CONNECTIONS_PER_MACHINE);
        if may_open && let Some(new) = self.open_machine_connection(machine) {
            return Some(new);
        }
        self.machines.shared_connection(machine, task).or_else(|| {
            // Each of them may still bring a late answer of this task: one on which no answer is awaited
            // makes room.
            let unused = self
                .machines
                .connections_of(machine)
                .find(|(_, connection)| connection.awaiting.is_empty())
                .map(|(connection_id, _)| connection_id)?;
            self.close_machine_connection(unused, LocalClose::LateAnswersPossible);
            self.open_machine_connection(machine)
        })
    }

    /// This connection was established. Where it is a probe, those of the same machine before it that carry no start
    /// requests have served their purpose, and their descriptors are needed for the next ones.
    pub fn close_earlier_probes(&mut self, machine: MachineId, connection_id: ConnectionId) {
        let is_probe = |connection: &MachineConnection| connection.purpose == ConnectionPurpose::Probe;
        if !self.machines.connections.get(&connection_id).is_some_and(is_probe) {
            return;
        }
        let is_served = |connection: &MachineConnection| {
            connection.purpose != ConnectionPurpose::Requests
                && connection.is_idle()
                && connection.close_reason.is_none()
                && !connection.queued
        };
        let connections = self.machines.connections_of(machine);
        let served =
            connections.filter(|(other, connection)| *other < connection_id && is_served(connection));
        let served: Vec<ConnectionId> = served.map(|(other, _)| other).collect();
        for probe in served {
            if self.machines.pool.may_begin_closing() {
                self.close_machine_connection(probe, LocalClose::LaterProbe);
            }
        }
    }

    /// Closes a connection to a machine on which no answer is awaited. What the machine sent before it learnt
    /// of that is still read: the end of a task, once reported, is repeated on a later connection only.
    pub fn close_machine_connection(&mut self, connection_id: ConnectionId, reason: LocalClose) {
        if let Some(connection) = self.machines.connections.get(&connection_id)
            && let Some(machine) = self.machines.by_id.get(&connection.machine)
        {
            let (peer, connections) = (&machine.address, machine.connections.len());
            tracing::debug!(
                peer,
                connection = connection_id.0,
                ?reason,
                connections,
                "machine connection closed"
            );
        }
        let is_established = |connection: &MachineConnection| connection.established;
        if self.machines.connections.get(&connection_id).is_some_and(is_established) {
            self.machines.retire_connection(connection_id);
            self.connections.finish(connection_id);
            let until = self.now + self.machines.timeouts.connect;
            self.timers.schedule(until, TimerEvent::RetirementTimeout(connection_id));
        } else {
            self.machines.remove_connection(self.now, connection_id);
            self.connections.abort(connection_id);
        }
    }
}
