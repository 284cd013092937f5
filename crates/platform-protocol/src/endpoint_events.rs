//! The events of the endpoint list: which machines there are, and their state.

use crate::ProtocolError;
use serde::Deserialize;

/// A numbered change of the endpoint list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListEvent {
    /// The number of the change; each is one more than that of the change before.
    #[serde(rename = "no")]
    pub sequence: u64,
    /// What changes.
    #[serde(rename = "roster")]
    pub change: ListChange,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListChange {
    /// `endpoints` is the complete list, not only what has changed.
    #[serde(default, rename = "all")]
    pub is_snapshot: bool,
    /// The endpoints of the list, or those that have changed.
    #[serde(default, rename = "targets")]
    pub endpoints: Vec<Endpoint>,
}

/// A machine, as the endpoint list describes it.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoint {
    /// The machine's name.
    #[serde(rename = "uid")]
    pub name: String,
    /// The address to connect to.
    #[serde(rename = "endpoint")]
    pub address: String,
    /// The zone; empty where a deployment has none.
    #[serde(default, rename = "az")]
    pub zone: String,
    /// The machine kind; empty where a deployment has none.
    #[serde(default, rename = "model")]
    pub kind: String,
    /// The cell; 0 where a deployment has none.
    #[serde(default, rename = "pod_group")]
    pub cell: i64,
    /// The state, as the platform names it.
    pub state: String,
    /// When the machine has started, in Unix milliseconds, if that was late; else 0.
    #[serde(default, rename = "boot_ms")]
    pub late_start_ms: u64,
    /// Cores and memory that no task has requested.
    #[serde(default, rename = "room")]
    pub free: Option<(f64, f64)>,
}

/// The events that a scheduler is started with.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct InitialEvents {
    /// The number of the last event.
    #[serde(default, rename = "no")]
    pub sequence: u64,
    /// The events.
    #[serde(default, rename = "items")]
    pub events: Vec<ListEvent>,
}

/// Parses the data of one event.
///
/// # Errors
/// If it is not an endpoint list event.
pub fn parse_event(text: &str) -> Result<ListEvent, ProtocolError> {
    serde_json::from_str(text).map_err(|error| ProtocolError::new(format!("malformed event: {error}")))
}

/// Parses the events of a scheduler's configuration.
///
/// # Errors
/// If they are not endpoint list events.
pub fn parse_initial_events(value: serde_json::Value) -> Result<InitialEvents, ProtocolError> {
    serde_json::from_value(value)
        .map_err(|error| ProtocolError::new(format!("malformed initial events: {error}")))
}

#[cfg(test)]
mod tests;
