//! The configuration that the platform gives.

use mulleinhub_platform_protocol::{InitialEvents, parse_initial_events};
use mulleinhub_platform_settings::PlatformSettings;
use serde_json::Value;

/// All that a scheduler is started with.
#[derive(Clone, Debug)]
pub struct Conf {
    pub name: String,
    pub listen: String,
    pub seed: u64,
    pub memory_mb: usize,
    pub descriptors: usize,
    pub bulletin: String,
    pub known: InitialEvents,
    pub site: PlatformSettings,
}

impl Conf {
    /// # Errors
    /// The first thing that is missing or can't be understood, and where.
    pub fn read(text: &str) -> Result<Self, String> {
        let value: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let text = |key: &str| {
            let text = value.get(key).and_then(Value::as_str);
            text.map(str::to_owned).ok_or_else(|| format!("{key}: a text is wanted"))
        };
        let limit = |key: &str| {
            let limit = value.get("limits").and_then(|limits| limits.get(key)).and_then(Value::as_u64);
            limit.map(|limit| limit as usize).ok_or_else(|| format!("limits.{key}: a number is wanted"))
        };
        let seed = text("seed")?;
        let settings = value.get("settings").ok_or("settings: missing")?;
        Ok(Self {
            name: text("name")?,
            listen: text("listen")?,
            seed: u64::from_str_radix(&seed, 16).map_err(|_| format!("seed: {seed:?} is no hex number"))?,
            memory_mb: limit("memory_mb")?,
            descriptors: limit("sockets")?,
            bulletin: text("bulletin")?,
            known: parse_initial_events(value.get("known").cloned().unwrap_or_default())
                .map_err(|bad| bad.to_string())?,
            site: PlatformSettings::from_json(settings)?,
        })
    }
}
