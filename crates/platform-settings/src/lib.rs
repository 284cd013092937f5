//! The settings object that a scheduler is given, on the simulator's wire and in the platform's
//! configuration.
//!
//! For: reading it into the types of the interface, once for both adapters. Unknown keys are passed over.
//! May not touch: any decision, any value that is not in the object.

use mulleinhub::interface::*;
use mulleinhub::{Duration, PlacementPolicy};
use serde_json::Value;

/// What was wrong, in words for whoever reads standard error.
pub type Bad = String;

/// What a scheduler is told of the site it serves, and of itself.
#[derive(Clone, Debug)]
pub struct Site {
    pub use_cases: Vec<UseCase>,
    /// Sizes of the kinds of machine.
    pub kinds: Vec<Resources>,
    pub taking: AcceptanceRules,
    pub cold: SlowStart,
    pub listing: Discovery,
    pub home: LocalityCosts,
    pub names: Names,
    /// The names of a load report's values, and whether x0 and x1 tell room not in use (else room not asked
    /// for).
    pub report: Vec<String>,
    pub report_of_use: bool,
    /// A connection that is not up after this counts as none.
    pub connect_within: Duration,
    /// After so long without traffic the other side closes a connection.
    pub idle_after: Duration,
}

/// What use cases, kinds of machine and zones are called, each in the order of their numbers.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub use_cases: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
}

impl Site {
    /// # Errors
    /// What is missing or can't be understood.
    pub fn read(config: &Value) -> Result<Self, Bad> {
        let facts = part(config, "specifics")?;
        let rules = part(config, "rules")?;
        let limits = part(config, "limits")?;
        let tariffs = part(config, "tariffs")?;
        let zone = ZoneId(number(config, "myZone")? as u32);
        let names = config.get("feedback").and_then(|f| f.get("names")).and_then(Value::as_array);
        let class_names =
            list(config, "classes")?.iter().map(|class| class.get("name").and_then(Value::as_str));
        Ok(Self {
            use_cases: use_cases(config, facts)?,
            kinds: kinds(facts)?,
            taking: AcceptanceRules {
                cores_overcommit: number(facts, "acceptsCores")?,
                memory_overcommit: number(facts, "acceptsMemory")?,
                accepts_when_running: facts.get("yesAt").and_then(Value::as_str) == Some("running"),
                max_attempts: number(limits, "maxAttempts")? as u32,
                reports_pressure: facts.get("tellsPressure").and_then(Value::as_bool) == Some(true),
                supports_cancel: limits.get("cancel").and_then(Value::as_bool) == Some(true),
            },
            cold: SlowStart {
                warm_up_time: span(rules, "warmAfter")?,
                budget_window: span(rules, "fall")?,
                attempt_budget: number(facts, "youngLimit")?,
                scheduler_count: number(config, "balancers")? as u32,
                scheduler_index: number(config, "index")? as u32,
            },
            listing: Discovery {
                watch_required: config.get("discovery").and_then(Value::as_str) == Some("ask"),
                max_staleness: span(rules, "askWithin")?,
            },
            home: LocalityCosts {
                local_zone: zone,
                cross_zone_cost: number(tariffs, "crossZone").unwrap_or(0.0),
                machine_cost: number(tariffs, "fleet").unwrap_or(0.0),
            },
            names: Names {
                use_cases: class_names.map(|name| name.unwrap_or_default().to_owned()).collect(),
                kinds: texts(config, "shapes"),
                zones: texts(config, "localities"),
            },
            report: names.into_iter().flatten().filter_map(|n| n.as_str().map(String::from)).collect(),
            report_of_use: facts.get("measuredBy").and_then(Value::as_str) == Some("used"),
            connect_within: span(limits, "connectTimeout")?,
            idle_after: span(limits, "keepalive")?,
        })
    }

    pub fn brain(&self, seed: u64) -> PlacementPolicy {
        PlacementPolicy::new(
            seed,
            PolicySettings {
                use_cases: self.use_cases.clone(),
                machine_kinds: self.kinds.clone(),
                acceptance: self.taking,
                slow_start: self.cold,
                discovery: self.listing,
                locality: self.home,
            },
        )
    }
}

fn texts(of: &Value, key: &str) -> Vec<String> {
    let texts = of.get(key).and_then(Value::as_array).into_iter().flatten();
    texts.map(|text| text.as_str().unwrap_or_default().to_owned()).collect()
}

fn part<'a>(of: &'a Value, key: &str) -> Result<&'a Value, Bad> {
    of.get(key).ok_or_else(|| format!("the settings lack {key}"))
}

fn number(of: &Value, key: &str) -> Result<f64, Bad> {
    part(of, key)?.as_f64().ok_or_else(|| format!("settings: {key} is no number"))
}

fn span(of: &Value, key: &str) -> Result<Duration, Bad> {
    let nanos = part(of, key)?.as_u64().ok_or_else(|| format!("settings: {key} is no span of time"))?;
    Ok(Duration::from_nanos(nanos))
}

fn list<'a>(of: &'a Value, key: &str) -> Result<&'a [Value], Bad> {
    part(of, key)?.as_array().map(Vec::as_slice).ok_or_else(|| format!("settings: {key} is no list"))
}

fn kinds(facts: &Value) -> Result<Vec<Resources>, Bad> {
    let (cores, memory) = (list(facts, "kindCores")?, list(facts, "memoryByKind")?);
    let size = |(c, m): (&Value, &Value)| Some(Resources::new(c.as_f64()?, m.as_f64()?));
    let sizes: Option<Vec<Resources>> = cores.iter().zip(memory).map(size).collect();
    sizes.ok_or_else(|| "settings: kindCores and memoryByKind must be numbers".into())
}

fn use_cases(config: &Value, facts: &Value) -> Result<Vec<UseCase>, Bad> {
    let at = |key: &str, n: usize| facts.get(key).and_then(|values| values.get(n));
    let figure = |key: &str, n: usize| at(key, n).and_then(Value::as_f64);
    let read = |(n, class): (usize, &Value)| {
        let group = match class.get("group").and_then(Value::as_str) {
            Some("all") => FailureDomain::Cluster,
            Some("zone") => FailureDomain::Zone,
            _ => FailureDomain::Cell,
        };
        let effect = match class.get("effect").and_then(Value::as_str) {
            Some("repeatable") => Idempotency::Idempotent,
            Some("by_key") => Idempotency::Keyed { domain: group, window: span(class, "window")? },
            _ => Idempotency::NonIdempotent,
        };
        let reach = match at("spreadOver", n).and_then(Value::as_str) {
            Some("machine") => Some(FailureDomain::Machine),
            Some("cell") => Some(FailureDomain::Cell),
            Some("zone") => Some(FailureDomain::Zone),
            _ => None,
        };
        Ok(UseCase {
            latency_objective: span(class, "target")?,
            client_timeout: span(class, "deadline")?,
            idempotency: effect,
            value_per_second: number(class, "gain")?,
            priority: figure("precedence", n).unwrap_or(0.0) as u8,
            machine_kind: figure("kindByClass", n)
                .filter(|kind| *kind >= 0.0)
                .map(|kind| KindId(kind as usize)),
            spread: reach.zip(figure("togetherMax", n).map(|most| most as usize)),
            saturation_threshold: figure("fullUpTo", n).unwrap_or(1.0),
            degradation_range: figure("classFade", n).unwrap_or(0.0),
        })
    };
    list(config, "classes")?.iter().enumerate().map(read).collect()
}
