//! The process of one planner: its state machines while it is up, and what outlives them.

use crate::ledger::{Disk, Ledger};
use mulleinhub_engine::Engine;
use mulleinhub_interface::Timestamp;
use mulleinhub_sans_io::{CloseReason, ConnectionId, ListenerId, StateMachine};

/// Bytes that the socket buffers hold for a process that doesn't read.
const SOCKET_BUFFER_BYTES: usize = 256 * 1024;

/// One planner, up or down.
#[derive(Default)]
pub(crate) struct PlannerProcess {
    /// `None` while the process is down.
    pub(crate) engine: Option<Engine>,
    /// `None` while the process is down, and where the scenario has no ledger.
    pub(crate) ledger: Option<Ledger>,
    /// Whether the process is paused (SIGSTOP).
    pub(crate) paused: bool,
    /// What the engine last asked to have persisted.
    pub(crate) persisted_state: Option<Vec<u8>>,
    /// What the ledger has persisted.
    pub(crate) disk: Disk,
    /// The disk as it was at the last kill, and at the one before.
    pub(crate) disks_at_kill: [Disk; 2],
    pub(crate) disk_full: bool,
    /// How far the machine's wall clock is ahead, in milliseconds; negative where it is behind.
    pub(crate) clock_offset_ms: i64,
    /// The text of the operators' directives file.
    pub(crate) directives: String,
    /// How often the process has been started.
    pub(crate) starts: u64,
    /// Events that came while the process was paused, in order.
    queued: Vec<(Component, ConnectionEvent)>,
    queued_bytes: usize,
}

/// A state machine in a planner's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Component {
    Engine,
    Ledger,
}

/// The state machine that has a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Endpoint {
    pub(crate) planner: usize,
    pub(crate) component: Component,
}

/// What happens to a planner's connection.
pub(crate) enum ConnectionEvent {
    Accepted(ConnectionId),
    Connected(ConnectionId),
    Data(ConnectionId, Vec<u8>),
    Closed(ConnectionId, CloseReason),
}

impl PlannerProcess {
    /// The state machine of a component; `None` while it isn't running.
    pub(crate) fn state_machine(&mut self, component: Component) -> Option<&mut dyn StateMachine> {
        match component {
            Component::Engine => self.engine.as_mut().map(|engine| engine as &mut dyn StateMachine),
            Component::Ledger => {
                self.ledger.as_mut().map(|ledger| ledger.exchange() as &mut dyn StateMachine)
            }
        }
    }

    /// When the process has to run next; `None` while it is down or paused, or idle.
    pub(crate) fn next_wakeup(&self) -> Option<Timestamp> {
        if self.paused {
            return None;
        }
        let engine = self.engine.as_ref().and_then(Engine::next_wakeup);
        let ledger = self.ledger.as_ref().and_then(Ledger::next_wakeup);
        [engine, ledger].into_iter().flatten().min()
    }

    /// Hands an event to a component, or queues it while the process is paused.
    pub(crate) fn on_event(&mut self, now: Timestamp, component: Component, event: ConnectionEvent) {
        if self.paused {
            if let ConnectionEvent::Data(_, bytes) = &event {
                self.queued_bytes += bytes.len();
            }
            self.queued.push((component, event));
            return;
        }
        if let (Component::Ledger, Some(ledger)) = (component, &mut self.ledger) {
            ledger.notify();
        }
        let Some(state_machine) = self.state_machine(component) else { return };
        match event {
            ConnectionEvent::Accepted(connection) => {
                state_machine.on_connection_accepted(now, connection, ListenerId(0));
            }
            ConnectionEvent::Connected(connection) => state_machine.on_connected(now, connection),
            ConnectionEvent::Data(connection, bytes) => state_machine.on_data(now, connection, &bytes),
            ConnectionEvent::Closed(connection, reason) => state_machine.on_closed(now, connection, reason),
        }
    }

    /// How many more bytes the process takes from its connections.
    pub(crate) fn receive_capacity(&self) -> usize {
        if self.paused { SOCKET_BUFFER_BYTES.saturating_sub(self.queued_bytes) } else { usize::MAX }
    }

    /// Takes the queued events out.
    pub(crate) fn take_queued(&mut self) -> Vec<(Component, ConnectionEvent)> {
        self.queued_bytes = 0;
        std::mem::take(&mut self.queued)
    }
}
