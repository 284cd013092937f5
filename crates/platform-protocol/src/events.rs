//! What the bulletin tells of machines.

use crate::Bad;
use serde::Deserialize;

/// A numbered change of the list.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    pub no: u64,
    pub roster: Change,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Change {
    /// The whole list, not what has changed alone.
    #[serde(default)]
    pub all: bool,
    #[serde(default)]
    pub targets: Vec<Listed>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Listed {
    pub uid: String,
    pub endpoint: String,
    /// Absent, as the two below, where a deployment has none.
    #[serde(default)]
    pub az: String,
    #[serde(default)]
    pub model: String,
    #[serde(default)]
    pub pod_group: i64,
    pub state: String,
    /// The Unix millisecond of a late start, or 0.
    #[serde(default)]
    pub boot_ms: u64,
    /// Cores and memory that nobody has asked for.
    #[serde(default)]
    pub room: Option<(f64, f64)>,
}

/// The events of a start.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Known {
    #[serde(default)]
    pub no: u64,
    #[serde(default)]
    pub items: Vec<Event>,
}

/// # Errors
/// Where it is no event.
pub fn event(text: &str) -> Result<Event, Bad> {
    serde_json::from_str(text).map_err(|e| Bad(format!("no event: {e}")))
}

/// # Errors
/// Where these are no events.
pub fn known(value: serde_json::Value) -> Result<Known, Bad> {
    serde_json::from_value(value).map_err(|e| Bad(format!("known: {e}")))
}

#[cfg(test)]
mod tests;
