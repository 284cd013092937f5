//! Connections between planners and the testbed: wires that take no time. All delays are those of the
//! testbed's proxies.

use crate::Simulation;
use crate::process::{Component, ConnectionEvent, Endpoint};
use mulleinhub_sans_io::{CloseReason, Command, ConnectionId, ListenerId, StateMachine};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;

/// Before the number of a listener in the addresses that planners are given.
pub(crate) const ADDRESS_PREFIX: &str = "door:";
/// Before the number of a planner in the address under which the testbed connects to its ledger.
const LEDGER_HOST: &str = "books";

/// Which connection of a planner is joined with which connection of the testbed.
#[derive(Default)]
pub(crate) struct Wires {
    to_testbed: BTreeMap<(Endpoint, ConnectionId), ConnectionId>,
    to_planner: BTreeMap<ConnectionId, (Endpoint, ConnectionId)>,
    /// Planners' connections from which the testbed did not read when it was offered bytes.
    unread: BTreeSet<(Endpoint, ConnectionId)>,
}

impl Wires {
    /// The testbed's connections to a planner.
    pub(crate) fn of_planner(&self, planner: usize) -> Vec<ConnectionId> {
        let of_planner = self.to_planner.iter().filter(|(_, (endpoint, _))| endpoint.planner == planner);
        of_planner.map(|(connection, _)| *connection).collect()
    }

    /// Removes the wire of a testbed's connection.
    pub(crate) fn remove(&mut self, testbed_connection: ConnectionId) {
        if let Some(planner_end) = self.to_planner.remove(&testbed_connection) {
            self.to_testbed.remove(&planner_end);
        }
    }

    fn insert(&mut self, testbed_connection: ConnectionId, planner_end: (Endpoint, ConnectionId)) {
        self.to_planner.insert(testbed_connection, planner_end);
        self.to_testbed.insert(planner_end, testbed_connection);
    }
}

fn close_reason(immediately: bool) -> CloseReason {
    if immediately { CloseReason::Broken } else { CloseReason::Closed }
}

/// The state machine that the testbed connects to, by its address: `planner-2`, or `books-2` for its ledger.
fn endpoint_of(address: &str) -> Endpoint {
    let (host, number) = address.rsplit_once('-').unwrap_or_default();
    let planner = number.parse::<usize>().map_or(usize::MAX, |number| number - 1);
    let component = if host == LEDGER_HOST { Component::Ledger } else { Component::Engine };
    Endpoint { planner, component }
}

impl<W: Write> Simulation<W> {
    /// Hands an event to a planner; it is queued while the planner is paused.
    pub(crate) fn notify_planner(&mut self, endpoint: Endpoint, event: ConnectionEvent) {
        self.processes[endpoint.planner].on_event(self.now, endpoint.component, event);
    }

    /// Transfers the testbed's output and carries out its commands until there are none.
    pub(crate) fn drive_testbed(&mut self) {
        loop {
            while let Some(connection) = self.testbed.connections().next_with_output() {
                self.transfer_to_planner(connection);
            }
            let Some(command) = self.testbed.connections().next_command() else { return };
            match command {
                Command::Open(connection, address) => self.connect_to_planner(connection, &address),
                Command::Close { connection, immediately } => {
                    self.close_from_testbed(connection, immediately);
                }
            }
        }
    }

    fn connect_to_planner(&mut self, connection: ConnectionId, address: &str) {
        let endpoint = endpoint_of(address);
        let process = self.processes.get_mut(endpoint.planner);
        match process.and_then(|process| process.state_machine(endpoint.component)) {
            Some(state_machine) => {
                let planner_connection = state_machine.connections().register();
                self.wires.insert(connection, (endpoint, planner_connection));
                self.notify_planner(endpoint, ConnectionEvent::Accepted(planner_connection));
                self.testbed.on_connected(self.now, connection);
            }
            None => {
                self.testbed.connections().discard(connection);
                self.testbed.on_closed(self.now, connection, CloseReason::Refused);
            }
        }
    }

    fn close_from_testbed(&mut self, connection: ConnectionId, immediately: bool) {
        if !immediately {
            self.transfer_to_planner(connection);
        }
        self.testbed.connections().discard(connection);
        if let Some((endpoint, planner_connection)) = self.wires.to_planner.get(&connection).copied() {
            self.wires.remove(connection);
            let event = ConnectionEvent::Closed(planner_connection, close_reason(immediately));
            self.notify_planner(endpoint, event);
        }
    }

    /// Transfers what the testbed has for a planner, as much as the planner's socket buffers hold.
    pub(crate) fn transfer_to_planner(&mut self, connection: ConnectionId) {
        let Some((endpoint, planner_connection)) = self.wires.to_planner.get(&connection).copied() else {
            return;
        };
        let capacity = self.processes[endpoint.planner].receive_capacity();
        let outgoing = self.testbed.connections().outgoing(connection);
        let bytes = outgoing[..outgoing.len().min(capacity)].to_vec();
        if !bytes.is_empty() {
            self.testbed.connections().mark_written(connection, bytes.len());
            self.notify_planner(endpoint, ConnectionEvent::Data(planner_connection, bytes));
        }
    }

    /// Transfers the output of one of a planner's state machines and carries out its commands until there
    /// are none.
    pub(crate) fn drive_planner(&mut self, endpoint: Endpoint) {
        loop {
            let process = &mut self.processes[endpoint.planner];
            let Some(state_machine) = process.state_machine(endpoint.component) else { return };
            if let Some(connection) = state_machine.connections().next_with_output() {
                self.transfer_to_testbed(endpoint, connection);
                continue;
            }
            let Some(command) = state_machine.connections().next_command() else { return };
            match command {
                Command::Open(connection, address) => self.connect_to_testbed(endpoint, connection, &address),
                Command::Close { connection, immediately } => {
                    self.close_from_planner(endpoint, connection, immediately);
                }
            }
        }
    }

    fn connect_to_testbed(&mut self, endpoint: Endpoint, connection: ConnectionId, address: &str) {
        let number = address.strip_prefix(ADDRESS_PREFIX).and_then(|number| number.parse().ok());
        let listener = number.map(ListenerId);
        match listener.filter(|listener| self.testbed.is_listening(*listener)) {
            Some(listener) => {
                let testbed_connection = self.testbed.connections().register();
                self.wires.insert(testbed_connection, (endpoint, connection));
                self.testbed.on_connection_accepted(self.now, testbed_connection, listener);
                self.notify_planner(endpoint, ConnectionEvent::Connected(connection));
            }
            None => {
                let event = ConnectionEvent::Closed(connection, CloseReason::Refused);
                self.notify_planner(endpoint, event);
            }
        }
    }

    fn close_from_planner(&mut self, endpoint: Endpoint, connection: ConnectionId, immediately: bool) {
        if !immediately {
            self.transfer_to_testbed(endpoint, connection);
        }
        if let Some(state_machine) = self.processes[endpoint.planner].state_machine(endpoint.component) {
            state_machine.connections().discard(connection);
        }
        if let Some(testbed_connection) = self.wires.to_testbed.get(&(endpoint, connection)).copied() {
            self.wires.remove(testbed_connection);
            self.testbed.on_closed(self.now, testbed_connection, close_reason(immediately));
        }
    }

    /// Transfers all output of a connection, unless the testbed has paused reading from it.
    fn transfer_to_testbed(&mut self, endpoint: Endpoint, connection: ConnectionId) {
        let wire = (endpoint, connection);
        let Some(testbed_connection) = self.wires.to_testbed.get(&wire).copied() else { return };
        let process = &mut self.processes[endpoint.planner];
        let Some(state_machine) = process.state_machine(endpoint.component) else { return };
        if self.testbed.connections().is_reading_paused(testbed_connection) {
            self.wires.unread.insert(wire);
            return;
        }
        let bytes = state_machine.connections().outgoing(connection).to_vec();
        if !bytes.is_empty() {
            state_machine.connections().mark_written(connection, bytes.len());
            self.testbed.on_data(self.now, testbed_connection, &bytes);
        }
    }

    /// Offers the testbed again what it did not read.
    pub(crate) fn transfer_unread(&mut self) {
        for (endpoint, connection) in std::mem::take(&mut self.wires.unread) {
            self.transfer_to_testbed(endpoint, connection);
        }
    }
}
