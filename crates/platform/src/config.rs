//! The configuration file that the platform gives a scheduler, read into typed values.

use mulleinhub_platform_protocol::{InitialEvents, parse_initial_events};
use mulleinhub_platform_settings::PlatformSettings;
use serde_json::Value;
use std::fmt;

/// Everything that a scheduler is started with.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of this scheduler, for the log.
    pub name: String,
    /// Address and port on which clients connect.
    pub listen: String,
    /// Seed of all random draws.
    pub seed: u64,
    /// Memory that this process may use, in megabytes.
    pub memory_mb: usize,
    /// File descriptors that this process may use.
    pub descriptors: usize,
    /// Address and port of the discovery service, which streams the endpoint list.
    pub discovery_address: String,
    /// The endpoint list as it was when the configuration was written, with its last event number.
    pub initial_endpoints: InitialEvents,
    /// Use cases, machine kinds, acceptance rules and timeouts of the platform.
    pub settings: PlatformSettings,
}

/// Why a configuration can't be used. `Display` names the key.
#[derive(Debug)]
pub enum ConfigError {
    /// The text is not JSON.
    Json(serde_json::Error),
    /// A key that holds text is missing or holds something else.
    MissingText(&'static str),
    /// A key of `limits` that holds a number is missing or holds something else.
    MissingLimit(&'static str),
    /// There is no `settings` object.
    MissingSettings,
    /// The seed is not a hexadecimal number.
    InvalidSeed(String),
    /// The list of known endpoints can't be read.
    InvalidEndpoints(String),
    /// The `settings` object can't be read.
    InvalidSettings(String),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(error) => error.fmt(f),
            Self::MissingText(key) => write!(f, "{key}: a text is wanted"),
            Self::MissingLimit(key) => write!(f, "limits.{key}: a number is wanted"),
            Self::MissingSettings => f.write_str("settings: missing"),
            Self::InvalidSeed(seed) => write!(f, "seed: {seed:?} is no hex number"),
            Self::InvalidEndpoints(error) | Self::InvalidSettings(error) => f.write_str(error),
        }
    }
}

impl std::error::Error for ConfigError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Json(error) => Some(error),
            _ => None,
        }
    }
}

impl Config {
    /// Parses the JSON text of a configuration file.
    ///
    /// # Errors
    /// The first key that is missing or can't be understood.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let value: Value = serde_json::from_str(text).map_err(ConfigError::Json)?;
        let text = |key: &'static str| {
            let text = value.get(key).and_then(Value::as_str);
            text.map(str::to_owned).ok_or(ConfigError::MissingText(key))
        };
        let limit = |key: &'static str| {
            let limit = value.get("limits").and_then(|limits| limits.get(key)).and_then(Value::as_u64);
            limit.map(|limit| limit as usize).ok_or(ConfigError::MissingLimit(key))
        };
        let seed = text("seed")?;
        let settings = value.get("settings").ok_or(ConfigError::MissingSettings)?;
        let known_endpoints = value.get("known").cloned().unwrap_or_default();
        Ok(Self {
            name: text("name")?,
            listen: text("listen")?,
            seed: u64::from_str_radix(&seed, 16).map_err(|_| ConfigError::InvalidSeed(seed))?,
            memory_mb: limit("memory_mb")?,
            descriptors: limit("sockets")?,
            discovery_address: text("bulletin")?,
            initial_endpoints: parse_initial_events(known_endpoints)
                .map_err(|error| ConfigError::InvalidEndpoints(error.to_string()))?,
            settings: PlatformSettings::from_json(settings)
                .map_err(|error| ConfigError::InvalidSettings(error.to_string()))?,
        })
    }
}
