//! The settings object that a scheduler receives, on the simulator's wire and in the platform's
//! configuration.
//!
//! Reads it into the types of the interface, once for both adapters. Unknown keys are ignored. The crate
//! makes no decision and adds no value that is not in the object, except for the defaults that the format
//! defines.

#![warn(missing_docs)]

mod error;
mod json;
mod use_cases;

pub use error::SettingsError;

use json::{duration, flag, list, number, required, strings, text};
use mulleinhub::interface::*;
use mulleinhub::{Duration, PlacementPolicy};
use serde_json::Value;

/// What a scheduler knows of the platform that it serves, and of itself.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The use cases, in the order of their numbers.
    pub use_cases: Vec<UseCase>,
    /// The sizes of the machine kinds, in the order of their numbers.
    pub machine_kinds: Vec<Resources>,
    /// How machines accept tasks.
    pub acceptance: AcceptanceRules,
    /// How machines that have just started are loaded.
    pub slow_start: SlowStart,
    /// How the scheduler learns of machines.
    pub discovery: Discovery,
    /// The scheduler's zone, and what remote machines cost.
    pub locality_costs: LocalityCosts,
    /// The names behind the numbers.
    pub names: Names,
    /// The names of a load report's values.
    pub report_fields: Vec<String>,
    /// The values x0 and x1 of a load report are the resources not in use; else those not requested.
    pub report_measures_usage: bool,
    /// A connection that is not established after this time has failed.
    pub connect_timeout: Duration,
    /// The peer closes a connection without traffic after this time.
    pub idle_timeout: Duration,
}

/// The names of use cases, machine kinds and zones, each in the order of their numbers.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// The names of the use cases.
    pub use_cases: Vec<String>,
    /// The names of the machine kinds.
    pub kinds: Vec<String>,
    /// The names of the zones.
    pub zones: Vec<String>,
}

impl PlatformSettings {
    /// Reads the settings object.
    ///
    /// # Errors
    /// The first key that is missing or has a value of the wrong type.
    pub fn from_json(config: &Value) -> Result<Self, SettingsError> {
        let facts = required(config, "specifics")?;
        let rules = required(config, "rules")?;
        let limits = required(config, "limits")?;
        let tariffs = required(config, "tariffs")?;
        let zone = ZoneId(number(config, "myZone")? as u32);
        let classes = list(config, "classes")?;
        Ok(Self {
            use_cases: use_cases::use_cases(config, facts)?,
            machine_kinds: use_cases::machine_kinds(facts)?,
            acceptance: acceptance_rules(facts, limits)?,
            slow_start: slow_start(config, rules, facts)?,
            discovery: Discovery {
                watch_required: text(config, "discovery") == Some("ask"),
                max_staleness: duration(rules, "askWithin")?,
            },
            locality_costs: LocalityCosts {
                local_zone: zone,
                cross_zone_cost: number(tariffs, "crossZone").unwrap_or(0.0),
                machine_cost: number(tariffs, "fleet").unwrap_or(0.0),
            },
            names: Names {
                use_cases: classes.iter().map(|c| text(c, "name").unwrap_or_default().to_owned()).collect(),
                kinds: strings(config, "shapes"),
                zones: strings(config, "localities"),
            },
            report_fields: report_fields(config),
            report_measures_usage: text(facts, "measuredBy") == Some("used"),
            connect_timeout: duration(limits, "connectTimeout")?,
            idle_timeout: duration(limits, "keepalive")?,
        })
    }

    /// The placement policy for these settings.
    pub fn placement_policy(&self, seed: u64) -> PlacementPolicy {
        PlacementPolicy::new(
            seed,
            PolicySettings {
                use_cases: self.use_cases.clone(),
                machine_kinds: self.machine_kinds.clone(),
                acceptance: self.acceptance,
                slow_start: self.slow_start,
                discovery: self.discovery,
                locality: self.locality_costs,
            },
        )
    }
}

fn acceptance_rules(facts: &Value, limits: &Value) -> Result<AcceptanceRules, SettingsError> {
    Ok(AcceptanceRules {
        cores_overcommit: number(facts, "acceptsCores")?,
        memory_overcommit: number(facts, "acceptsMemory")?,
        accepts_when_running: text(facts, "yesAt") == Some("running"),
        max_attempts: number(limits, "maxAttempts")? as u32,
        reports_pressure: flag(facts, "tellsPressure"),
        supports_cancel: flag(limits, "cancel"),
    })
}

fn slow_start(config: &Value, rules: &Value, facts: &Value) -> Result<SlowStart, SettingsError> {
    Ok(SlowStart {
        warm_up_time: duration(rules, "warmAfter")?,
        budget_window: duration(rules, "fall")?,
        attempt_budget: number(facts, "youngLimit")?,
        scheduler_count: number(config, "balancers")? as u32,
        scheduler_index: number(config, "index")? as u32,
    })
}

fn report_fields(config: &Value) -> Vec<String> {
    let names = config.get("feedback").and_then(|feedback| feedback.get("names")).and_then(Value::as_array);
    names.into_iter().flatten().filter_map(|name| name.as_str().map(String::from)).collect()
}
