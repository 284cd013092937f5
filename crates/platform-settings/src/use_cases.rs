//! Use cases and machine sizes.

use crate::SettingsError;
use crate::json::{duration, list, number, text};
use mulleinhub::interface::*;
use serde_json::Value;

/// The sizes of the machine kinds, in the order of their numbers.
pub(crate) fn machine_kinds(facts: &Value) -> Result<Vec<Resources>, SettingsError> {
    let (cores, memory) = (list(facts, "kindCores")?, list(facts, "memoryByKind")?);
    let size = |(cores, memory): (&Value, &Value)| Some(Resources::new(cores.as_f64()?, memory.as_f64()?));
    let sizes: Option<Vec<Resources>> = cores.iter().zip(memory).map(size).collect();
    sizes.ok_or_else(|| SettingsError::wrong_type("kindCores and memoryByKind", "lists of numbers"))
}

/// The use cases, in the order of their numbers.
pub(crate) fn use_cases(config: &Value, facts: &Value) -> Result<Vec<UseCase>, SettingsError> {
    list(config, "classes")?.iter().enumerate().map(|(n, class)| use_case(facts, n, class)).collect()
}

/// Use case number `n`: of its own object, and of the lists in `facts` that have a value for each use case.
fn use_case(facts: &Value, n: usize, class: &Value) -> Result<UseCase, SettingsError> {
    let value = |key: &str| facts.get(key).and_then(|values| values.get(n));
    let figure = |key: &str| value(key).and_then(Value::as_f64);
    let effect = idempotency(class)?;
    let spread_domain = value("spreadOver").and_then(Value::as_str).and_then(spread_domain);
    Ok(UseCase {
        latency_objective: duration(class, "target")?,
        client_timeout: duration(class, "deadline")?,
        idempotency: effect,
        value_per_second: number(class, "gain")?,
        priority: figure("precedence").unwrap_or(0.0) as u8,
        machine_kind: figure("kindByClass").filter(|kind| *kind >= 0.0).map(|kind| KindId(kind as usize)),
        spread: spread_domain.zip(figure("togetherMax").map(|max| max as usize)),
        saturation_threshold: figure("fullUpTo").unwrap_or(1.0),
        degradation_range: figure("classFade").unwrap_or(0.0),
    })
}

/// Whether tasks of a use case may be repeated; without a known value they may not.
fn idempotency(class: &Value) -> Result<Idempotency, SettingsError> {
    Ok(match text(class, "effect") {
        Some("repeatable") => Idempotency::Idempotent,
        Some("by_key") => {
            Idempotency::Keyed { domain: key_domain(class), window: duration(class, "window")? }
        }
        _ => Idempotency::NonIdempotent,
    })
}

/// The domain within which machines share their idempotency keys.
fn key_domain(class: &Value) -> FailureDomain {
    match text(class, "group") {
        Some("all") => FailureDomain::Cluster,
        Some("zone") => FailureDomain::Zone,
        _ => FailureDomain::Cell,
    }
}

/// The failure domain over which the tasks of a job are spread.
fn spread_domain(name: &str) -> Option<FailureDomain> {
    match name {
        "machine" => Some(FailureDomain::Machine),
        "cell" => Some(FailureDomain::Cell),
        "zone" => Some(FailureDomain::Zone),
        _ => None,
    }
}
