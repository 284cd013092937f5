//! The names of roles, metrics and hosts as files have them, and figures with their units.

use crate::results::{Host, Metric, Role};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// All roles, in the order of the page.
pub const ROLES: [Role; 5] =
    [Role::Scheduler, Role::LedgerMember, Role::Discovery, Role::Worker, Role::Client];

/// All metrics, in the order of the page.
pub const METRICS: [Metric; 15] = [
    Metric::BytesIn,
    Metric::BytesOut,
    Metric::MessagesIn,
    Metric::MessagesOut,
    Metric::Processor,
    Metric::Memory,
    Metric::Resident,
    Metric::ChangeP50,
    Metric::ChangeP99,
    Metric::ChangeMax,
    Metric::StartUp,
    Metric::StartUpProcessor,
    Metric::CatchUp,
    Metric::CatchUpBytes,
    Metric::Started,
];

/// Digits that a figure is shown with.
const DIGITS: i32 = 3;
/// Below this a figure is shown with a power of ten.
const SMALLEST_PLAIN: f64 = 1e-3;

/// The name of a role, metric or host, as in result files.
///
/// # Panics
/// Never for the types of `results`: their names are texts.
#[must_use]
pub fn name<T: Serialize>(value: T) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(text)) => text,
        _ => unreachable!("roles, metrics and hosts are written as texts"),
    }
}

/// The role or metric of a name, where there is one.
#[must_use]
pub fn by_name<T: DeserializeOwned>(text: &str) -> Option<T> {
    serde_json::from_value(serde_json::Value::String(text.to_owned())).ok()
}

/// What a host is, for readers.
#[must_use]
pub fn host_words(host: Host) -> &'static str {
    match host {
        Host::HollowLedgers => "ledgers in one process, virtual time",
        Host::HollowPlanners => "planners in one process, virtual time",
        Host::RealPlanners => "planners in processes, loopback",
    }
}

/// What a figure of a metric is counted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    BytesPerSecond,
    PerSecond,
    /// Processor seconds a second.
    Cores,
    Bytes,
    Seconds,
}

/// The unit of a metric.
#[must_use]
pub fn unit(metric: Metric) -> Unit {
    match metric {
        Metric::BytesIn | Metric::BytesOut => Unit::BytesPerSecond,
        Metric::MessagesIn | Metric::MessagesOut | Metric::Started => Unit::PerSecond,
        Metric::Processor => Unit::Cores,
        Metric::Memory | Metric::Resident | Metric::CatchUpBytes => Unit::Bytes,
        Metric::ChangeP50
        | Metric::ChangeP99
        | Metric::ChangeMax
        | Metric::StartUp
        | Metric::StartUpProcessor
        | Metric::CatchUp => Unit::Seconds,
    }
}

impl Unit {
    /// The name of the unit itself, for the axis of a plot.
    #[must_use]
    pub fn axis(self) -> &'static str {
        match self {
            Self::BytesPerSecond => "bytes a second",
            Self::PerSecond => "a second",
            Self::Cores => "processor seconds a second",
            Self::Bytes => "bytes",
            Self::Seconds => "seconds",
        }
    }

    /// A figure with this unit, in three digits.
    #[must_use]
    pub fn show(self, value: f64) -> String {
        match self {
            Self::BytesPerSecond => format!("{}/s", bytes(value)),
            Self::PerSecond => format!("{}/s", number(value)),
            Self::Cores => format!("{}% of a core", number(value * 100.0)),
            Self::Bytes => bytes(value),
            Self::Seconds => seconds(value),
        }
    }
}

fn bytes(value: f64) -> String {
    let steps = [(1e9, "GB"), (1e6, "MB"), (1e3, "KB")];
    let step = steps.into_iter().find(|(size, _)| value.abs() >= *size);
    let (size, unit) = step.unwrap_or((1.0, "B"));
    format!("{} {unit}", number(value / size))
}

fn seconds(value: f64) -> String {
    let steps = [(1.0, "s"), (1e-3, "ms")];
    let step = steps.into_iter().find(|(size, _)| value.abs() >= *size);
    let (size, unit) = step.unwrap_or((1e-6, "us"));
    format!("{} {unit}", number(value / size))
}

/// A figure in three digits, without a unit.
#[must_use]
pub fn number(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    if value.abs() < SMALLEST_PLAIN {
        return format!("{value:.2e}");
    }
    // Of the rounded figure: 0.09999 is shown as 0.100.
    let rounded = format!("{value:.0$e}", DIGITS as usize - 1);
    let magnitude: i32 = rounded.split_once('e').and_then(|(_, power)| power.parse().ok()).unwrap_or(0);
    let decimals = (DIGITS - 1 - magnitude).max(0) as usize;
    grouped(&format!("{value:.decimals$}"))
}

/// A size of the fleet: whole where it is whole.
#[must_use]
pub fn size(value: f64) -> String {
    if value.fract() == 0.0 { grouped(&format!("{value:.0}")) } else { number(value) }
}

/// Commas between thousands.
fn grouped(text: &str) -> String {
    let (whole, rest) = text.split_at(text.find('.').unwrap_or(text.len()));
    let (sign, digits) = whole.split_at(usize::from(whole.starts_with('-')));
    let mut shown = sign.to_owned();
    for (at, digit) in digits.chars().enumerate() {
        if at > 0 && (digits.len() - at).is_multiple_of(3) {
            shown.push(',');
        }
        shown.push(digit);
    }
    shown + rest
}
