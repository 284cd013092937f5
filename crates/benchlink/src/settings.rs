//! Reads the settings of `HELLO` into the types of the interface. Unknown keys are passed over.

use crate::reporting::Reporting;
use crate::values::{Bad, Values};
use mulleinhub::interface::*;
use mulleinhub::{Brain, Span};
use serde_json::Value;

pub fn hello(values: &mut Values<'_>) -> Result<(Brain, Reporting), Bad> {
    let seed = values.whole("salt")?;
    let config: Value =
        serde_json::from_str(values.rest("config")?).map_err(|e| format!("HELLO: config is no JSON: {e}"))?;
    let facts = part(&config, "specifics")?;
    let rules = part(&config, "rules")?;
    let limits = part(&config, "limits")?;
    let tariffs = part(&config, "tariffs")?;
    let zone = ZoneId(number(&config, "myZone")? as u32);
    let names = config.get("feedback").and_then(|f| f.get("names")).and_then(Value::as_array);
    let use_cases = use_cases(&config, facts)?;
    let reporting = Reporting {
        names: names.into_iter().flatten().filter_map(|n| n.as_str().map(String::from)).collect(),
        of_use: facts.get("measuredBy").and_then(Value::as_str) == Some("used"),
        use_cases: use_cases.len(),
    };
    let brain = Brain::new(
        seed,
        use_cases,
        kinds(facts)?,
        Taking {
            cores: number(facts, "acceptsCores")?,
            memory: number(facts, "acceptsMemory")?,
            yes_when_running: facts.get("yesAt").and_then(Value::as_str) == Some("running"),
            max_sends: number(limits, "maxAttempts")? as u32,
            tells_pressure: facts.get("tellsPressure").and_then(Value::as_bool) == Some(true),
            recalls: limits.get("cancel").and_then(Value::as_bool) == Some(true),
        },
        ColdRule {
            warm_after: span(rules, "warmAfter")?,
            fall: span(rules, "fall")?,
            young_limit: number(facts, "youngLimit")?,
            schedulers: number(&config, "balancers")? as u32,
            number: number(&config, "index")? as u32,
        },
        Listing {
            asked: config.get("discovery").and_then(Value::as_str) == Some("ask"),
            ask_within: span(rules, "askWithin")?,
        },
        Home {
            zone,
            cross_zone_price: number(tariffs, "crossZone").unwrap_or(0.0),
            machine_price: number(tariffs, "fleet").unwrap_or(0.0),
        },
    );
    Ok((brain, reporting))
}

fn part<'a>(of: &'a Value, key: &str) -> Result<&'a Value, Bad> {
    of.get(key).ok_or_else(|| format!("HELLO: config lacks {key}"))
}

fn number(of: &Value, key: &str) -> Result<f64, Bad> {
    part(of, key)?.as_f64().ok_or_else(|| format!("HELLO: {key} is no number"))
}

fn span(of: &Value, key: &str) -> Result<Span, Bad> {
    let nanos = part(of, key)?.as_u64().ok_or_else(|| format!("HELLO: {key} is no span of time"))?;
    Ok(Span::from_nanos(nanos))
}

fn list<'a>(of: &'a Value, key: &str) -> Result<&'a [Value], Bad> {
    part(of, key)?.as_array().map(Vec::as_slice).ok_or_else(|| format!("HELLO: {key} is no list"))
}

fn kinds(facts: &Value) -> Result<Vec<Room>, Bad> {
    let (cores, memory) = (list(facts, "kindCores")?, list(facts, "memoryByKind")?);
    let size = |(c, m): (&Value, &Value)| Some(Room::new(c.as_f64()?, m.as_f64()?));
    let sizes: Option<Vec<Room>> = cores.iter().zip(memory).map(size).collect();
    sizes.ok_or_else(|| "HELLO: kindCores and memoryByKind must be numbers".into())
}

fn use_cases(config: &Value, facts: &Value) -> Result<Vec<UseCase>, Bad> {
    let at = |key: &str, n: usize| facts.get(key).and_then(|values| values.get(n));
    let figure = |key: &str, n: usize| at(key, n).and_then(Value::as_f64);
    let read = |(n, class): (usize, &Value)| {
        let group = match class.get("group").and_then(Value::as_str) {
            Some("all") => Reach::All,
            Some("zone") => Reach::Zone,
            _ => Reach::Cell,
        };
        let effect = match class.get("effect").and_then(Value::as_str) {
            Some("repeatable") => Effect::Replayable,
            Some("by_key") => Effect::Referenced { group, window: span(class, "window")? },
            _ => Effect::SingleUse,
        };
        let reach = match at("spreadOver", n).and_then(Value::as_str) {
            Some("machine") => Some(Reach::Machine),
            Some("cell") => Some(Reach::Cell),
            Some("zone") => Some(Reach::Zone),
            _ => None,
        };
        Ok(UseCase {
            soft_limit: span(class, "target")?,
            client_timeout: span(class, "deadline")?,
            effect,
            earnings: number(class, "gain")?,
            priority: figure("precedence", n).unwrap_or(0.0) as u8,
            kind: figure("kindByClass", n).filter(|kind| *kind >= 0.0).map(|kind| KindId(kind as usize)),
            spread: reach.zip(figure("togetherMax", n).map(|most| most as usize)),
            full_up_to: figure("fullUpTo", n).unwrap_or(1.0),
            fade: figure("classFade", n).unwrap_or(0.0),
        })
    };
    list(config, "classes")?.iter().enumerate().map(read).collect()
}
