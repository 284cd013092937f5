//! The endpoint list: which machines there are, according to the list service, and whether the list is
//! usable.

use super::SchedulerState;
use crate::machine::MachineSlot;
use mulleinhub_protocol::{self as protocol, ListReader};
use mulleinhub_sans_io::ConnectionId;

/// Why there is no newer endpoint list, until one is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointListFault {
    /// What the list service sent can't be read.
    Unreadable(String),
    /// The list service closed the conversation, and said why.
    Refused(String),
}

impl std::fmt::Display for EndpointListFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreadable(reason) => write!(f, "the list can't be read: {reason}"),
            Self::Refused(reason) => write!(f, "the list service refuses: {reason}"),
        }
    }
}

/// Why a scheduler is not to be given tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotReady {
    /// It is shutting down, and accepts nothing new.
    ShuttingDown,
    /// There is no endpoint list, and the last one could not be used.
    NoList(EndpointListFault),
    /// There is an endpoint list, and a newer one can't be read.
    OutdatedList {
        /// What is wrong with the newer list.
        fault: EndpointListFault,
        /// The version of the list in use.
        version: u64,
    },
    /// No endpoint list has arrived yet.
    AwaitingList,
    /// A part of the first endpoint list has arrived.
    PartialList {
        /// The version of the list.
        version: u64,
        /// How many of its pieces have arrived.
        pieces: u32,
    },
    /// Machines have not reported their tasks yet.
    AwaitingInventories,
}

impl std::fmt::Display for NotReady {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::ShuttingDown => write!(f, "it ends and takes nothing new"),
            Self::NoList(fault) => write!(f, "{fault}; no list is known"),
            Self::OutdatedList { fault, version } => {
                write!(f, "{fault}; the last one, version {version}, is used")
            }
            Self::AwaitingList => write!(f, "no list has come yet"),
            Self::PartialList { version, pieces } => {
                write!(f, "{pieces} pieces of list version {version} came")
            }
            Self::AwaitingInventories => write!(f, "machines are asked what they hold"),
        }
    }
}

/// The endpoint list and its connection. The machines that it names are in `SchedulerState::machines`.
#[derive(Debug)]
pub struct EndpointList {
    /// The connection to the list service, also while it is being established.
    pub connection: Option<ConnectionId>,
    /// Connections that failed or closed since the service sent a list.
    pub failures: u32,
    /// The version of the last list.
    pub version: u64,
    /// The policy wants a newer list.
    pub watch_wanted: bool,
    /// There is a list, from the service or cached by the last incarnation.
    pub known: bool,
    /// Puts the pieces of a list together.
    pub reader: ListReader,
    /// Why there is no newer list.
    pub fault: Option<EndpointListFault>,
    /// The list has changed since it was last persisted.
    pub changed: bool,
}

impl Default for EndpointList {
    fn default() -> Self {
        Self {
            connection: None,
            failures: 0,
            version: 0,
            watch_wanted: true,
            known: false,
            reader: ListReader::default(),
            fault: None,
            changed: false,
        }
    }
}

impl EndpointList {
    /// Why machines of the list can't be used now; none where they can.
    fn not_ready(&self) -> Option<NotReady> {
        match (&self.fault, self.known) {
            (Some(fault), false) => Some(NotReady::NoList(fault.clone())),
            (Some(fault @ EndpointListFault::Unreadable(_)), true) => {
                Some(NotReady::OutdatedList { fault: fault.clone(), version: self.version })
            }
            (None, false) => match self.reader.coming() {
                Some((version, pieces)) => Some(NotReady::PartialList { version, pieces }),
                None => Some(NotReady::AwaitingList),
            },
            (_, true) => None,
        }
    }
}

impl SchedulerState {
    /// Why this scheduler is not to be given tasks now; none where it is ready for them.
    pub fn not_ready(&self) -> Option<NotReady> {
        if self.shutting_down {
            return Some(NotReady::ShuttingDown);
        }
        let starting = || (!self.clients.are_served).then_some(NotReady::AwaitingInventories);
        self.endpoint_list.not_ready().or_else(starting)
    }

    /// The endpoint list as frames, where it has changed since the last call.
    pub fn list_to_persist(&mut self) -> Option<Vec<u8>> {
        if !std::mem::take(&mut self.endpoint_list.changed) {
            return None;
        }
        let now = self.now;
        let entry = |slot: &'_ MachineSlot| {
            let up_for = slot.started_at.map(|started_at| (now - started_at).nanos());
            (slot.id.0, slot.address.clone(), up_for, slot.free)
        };
        let slots: Vec<_> = self.machines.values().map(|slot| (entry(slot), slot)).collect();
        let entries: Vec<_> = slots
            .iter()
            .map(|((machine, address, up_for, free), slot)| protocol::Entry {
                machine: *machine,
                address,
                kind: slot.kind.0 as u32,
                cell: slot.cell.0,
                zone: slot.zone.0,
                mode: slot.mode,
                life: slot.listed_incarnation,
                up_for: *up_for,
                cores_left: free.map(|free| free.0),
                memory_left: free.map(|free| free.1),
            })
            .collect();
        let mut frames = Vec::new();
        protocol::encode_list(protocol::ListKind::Whole, self.endpoint_list.version, &entries, &mut frames);
        Some(frames)
    }
}
