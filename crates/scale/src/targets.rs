//! The operators' size and budgets, read from the line-based file `scale/target`.

use crate::profile::Variable;
use crate::results::{Metric, Size};
use mulleinhub_interface::Duration;
use mulleinhub_settings::{
    Args, Bytes, Diagnostics, Directive, Fraction, Scope, SourceSpan, Value, parse_text,
};
use std::path::Path;

const SECONDS_A_DAY: f64 = 86_400.0;
const MINUTES_A_DAY: f64 = 1_440.0;

/// The name of a variable with its unit, for the axis of a plot.
#[must_use]
pub fn axis_name(word: &str) -> &str {
    match Variable::of(word) {
        Some(Variable::Running) => "running tasks, whole fleet",
        Some(Variable::Starts) => "task starts a second, whole fleet",
        Some(Variable::Changes) => "configuration changes a second, whole fleet",
        Some(Variable::Failures) => "schedulers that fail and return in a minute",
        _ => word,
    }
}

/// What the operators' fleet grows to, and what a scheduler may spend for control.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Numbers of schedulers that the page reckons for, rising.
    pub schedulers: Vec<u32>,
    /// The one of them that the page argues for.
    pub chosen: u32,
    pub workers: u32,
    pub accelerators: u32,
    pub jobs_a_day: u32,
    pub starts_a_second: f64,
    pub running: u32,
    pub largest_gang: u32,
    pub teams: u32,
    pub regions: u32,
    pub zones: u32,
    pub changes_a_day: u32,
    pub machine_failures_a_day: u32,
    pub restarts_a_day: u32,
    /// Machines set aside for control.
    pub control_machines: u32,
    pub urgent_start_seconds: f64,
    pub in_force_seconds: f64,
    pub budget: Budget,
}

/// What a scheduler may spend for control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Processor seconds a second.
    pub cores: f64,
    pub memory_bytes: f64,
    pub bytes_a_second: f64,
}

/// Why there is no target: the file can't be read, or what is wrong in it, with places.
#[derive(Debug)]
pub enum TargetError {
    File { path: String, cause: std::io::Error },
    Faults { rendered: String },
}

impl std::fmt::Display for TargetError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::File { path, cause } => write!(f, "{path}: {cause}"),
            Self::Faults { rendered } => f.write_str(rendered),
        }
    }
}

impl std::error::Error for TargetError {}

impl Target {
    /// Reads a target file.
    ///
    /// # Errors
    /// Where it can't be read, or with all its faults, each with its place.
    pub fn read(path: &Path) -> Result<Self, TargetError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| TargetError::File { path: shown.clone(), cause })?;
        Self::parse(&shown, &text)
    }

    /// Reads the text of a target file; `name` is what messages call it.
    ///
    /// # Errors
    /// With all faults, each with its place.
    pub fn parse(name: &str, text: &str) -> Result<Self, TargetError> {
        let mut faults = Diagnostics::default();
        let directives = parse_text(name, text, &mut faults);
        let target = read(&directives, &mut faults);
        match target {
            Some(target) if faults.is_empty() => Ok(target),
            _ => Err(TargetError::Faults { rendered: faults.render() }),
        }
    }

    /// The whole size with a number of schedulers. Failures are the schedulers' part of all machines that
    /// fail or are restarted, spread evenly over the day.
    #[must_use]
    pub fn size(&self, schedulers: u32) -> Size {
        let lost_a_day = f64::from(self.machine_failures_a_day + self.restarts_a_day);
        let part = f64::from(schedulers) / f64::from(self.workers);
        Size {
            schedulers,
            workers: self.workers,
            regions: self.regions,
            zones: self.zones,
            teams: self.teams,
            running: self.running,
            starts: self.starts_a_second,
            changes: f64::from(self.changes_a_day) / SECONDS_A_DAY,
            failures: lost_a_day / MINUTES_A_DAY * part,
        }
    }

    /// What one scheduler may spend of a metric, where the operators say.
    #[must_use]
    pub fn budget(&self, metric: Metric) -> Option<f64> {
        match metric {
            Metric::BytesIn | Metric::BytesOut => Some(self.budget.bytes_a_second),
            Metric::Processor => Some(self.budget.cores),
            Metric::Memory | Metric::Resident => Some(self.budget.memory_bytes),
            Metric::ChangeP50 | Metric::ChangeP99 | Metric::ChangeMax => Some(self.in_force_seconds),
            Metric::MessagesIn
            | Metric::MessagesOut
            | Metric::StartUp
            | Metric::StartUpProcessor
            | Metric::CatchUp
            | Metric::CatchUpBytes
            | Metric::Started => None,
        }
    }
}

fn read(directives: &[Directive], faults: &mut Diagnostics) -> Option<Target> {
    let mut scope = Scope::new(directives, SourceSpan { file: 0, bytes: 0..0 });
    let schedulers = numbers_of_schedulers(&mut scope, faults);
    let chosen = positive(&mut scope, "chosen", faults);
    let workers = positive(&mut scope, "workers", faults);
    let accelerators = scope.required("accelerators", faults);
    let jobs_a_day = positive(&mut scope, "jobs-a-day", faults);
    let starts_a_second = positive(&mut scope, "starts-a-second", faults);
    let running = positive(&mut scope, "running", faults);
    let largest_gang = positive(&mut scope, "largest-gang", faults);
    let teams = positive(&mut scope, "teams", faults);
    let regions = positive(&mut scope, "regions", faults);
    let zones = positive(&mut scope, "zones", faults);
    let changes_a_day = positive(&mut scope, "changes-a-day", faults);
    let machine_failures_a_day = scope.required("machine-failures-a-day", faults);
    let restarts_a_day = scope.required("restarts-a-day", faults);
    let control_machines = positive(&mut scope, "control-machines", faults);
    let urgent_start = positive::<Duration>(&mut scope, "urgent-start", faults);
    let in_force = positive::<Duration>(&mut scope, "in-force", faults);
    let cores = positive::<Fraction>(&mut scope, "core-part", faults);
    let memory = positive::<Bytes>(&mut scope, "memory", faults);
    let bytes = positive::<Bytes>(&mut scope, "bytes-a-second", faults);
    scope.finish(faults);
    let (schedulers, chosen) = (schedulers?, chosen?);
    if !schedulers.contains(&chosen) {
        let place = directives.iter().find(|directive| directive.name.text == "chosen")?.span.clone();
        faults.add(&place, format!("{chosen} is none of the numbers of schedulers"));
    }
    Some(Target {
        schedulers,
        chosen,
        workers: workers?,
        accelerators: accelerators?,
        jobs_a_day: jobs_a_day?,
        starts_a_second: starts_a_second?,
        running: running?,
        largest_gang: largest_gang?,
        teams: teams?,
        regions: regions?,
        zones: zones?,
        changes_a_day: changes_a_day?,
        machine_failures_a_day: machine_failures_a_day?,
        restarts_a_day: restarts_a_day?,
        control_machines: control_machines?,
        urgent_start_seconds: urgent_start?.ratio_to(Duration::from_secs(1)),
        in_force_seconds: in_force?.ratio_to(Duration::from_secs(1)),
        budget: Budget { cores: cores?.0, memory_bytes: memory?.0 as f64, bytes_a_second: bytes?.0 as f64 },
    })
}

/// A figure that nothing can be divided by if it is zero.
trait Figure: Value + Copy {
    fn is_zero(self) -> bool;
}

impl Figure for u32 {
    fn is_zero(self) -> bool {
        self == 0
    }
}

impl Figure for f64 {
    fn is_zero(self) -> bool {
        self == 0.0
    }
}

impl Figure for Duration {
    fn is_zero(self) -> bool {
        self == Self::ZERO
    }
}

impl Figure for Fraction {
    fn is_zero(self) -> bool {
        self.0 == 0.0
    }
}

impl Figure for Bytes {
    fn is_zero(self) -> bool {
        self.0 == 0
    }
}

/// A directive that must stand, with more than zero.
fn positive<T: Figure>(scope: &mut Scope<'_>, name: &'static str, faults: &mut Diagnostics) -> Option<T> {
    let value: T = scope.required(name, faults)?;
    if !value.is_zero() {
        return Some(value);
    }
    let place = scope.each(name).first()?.span.clone();
    faults.add(&place, format!("{name}: more than zero is wanted"));
    None
}

/// `schedulers 100 350 1000`: at least one number, rising.
fn numbers_of_schedulers(scope: &mut Scope<'_>, faults: &mut Diagnostics) -> Option<Vec<u32>> {
    let Some(directive) = scope.once("schedulers", faults) else {
        // Says that it is missing, and where.
        let _: Option<u32> = scope.required("schedulers", faults);
        return None;
    };
    let mut args = Args::of(directive);
    let mut numbers: Vec<u32> = vec![args.next(faults)?];
    while args.peek().is_some() {
        numbers.push(args.next(faults)?);
    }
    if numbers[0] == 0 || !numbers.is_sorted_by(|one, next| one < next) {
        faults.add(&directive.span, "schedulers: rising numbers from 1 on are wanted, as 100 350 1000");
        return None;
    }
    Some(numbers)
}
