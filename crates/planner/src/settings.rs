//! The planner's settings file: reading it, with all faults reported by place.

mod directives;
mod ledger;
mod text;

pub use directives::parse_operator_directives;
pub use ledger::LedgerSettings;
pub use text::{LedgerText, SettingsText};

use crate::error::PlannerError;
use mulleinhub_engine::Settings;
use mulleinhub_interface::{AcceptanceRules, Discovery, Duration, LocalityCosts, SlowStart, UseCase, ZoneId};
use mulleinhub_limits::Settings as ClientLimits;
use mulleinhub_settings::{Bytes, Diagnostics, Directive, Name, Scope, SourceSpan, parse, parse_text};
use mulleinhub_workload_settings::{MachineKind, RuleSettings, read_machine_kind, read_rules, read_use_case};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const NANOS_PER_MILLI: u64 = 1_000_000;
/// File name in the faults of settings that are in no file.
const UNNAMED_FILE: &str = "planner.conf";

/// Format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text, a line an event.
    Text,
    /// A JSON object a line.
    Json,
}

/// All settings of a planner.
#[derive(Clone, Debug)]
pub struct PlannerSettings {
    /// Settings of the engine.
    pub engine: Settings,
    /// Address for clients; `None` in virtual time.
    pub listen: Option<SocketAddr>,
    /// Other processes listen at the same port, and the system distributes the connections.
    pub shared_port: bool,
    /// Address of the HTTP endpoint.
    pub metrics: Option<SocketAddr>,
    /// Directory of the cached endpoint list and the ledger; `None` keeps neither.
    pub state_dir: Option<PathBuf>,
    /// Format of the log.
    pub log_format: LogFormat,
    /// The ledger that is shared with other planners; `None` keeps none.
    pub ledger: Option<LedgerSettings>,
}

/// Reads a settings file.
///
/// # Errors
/// If the file can't be read, or has faults.
pub fn read_settings(path: &Path) -> Result<PlannerSettings, PlannerError> {
    let mut faults = Diagnostics::default();
    let directives = parse(path, &mut faults).map_err(PlannerError::file(path))?;
    settings_or_faults(&directives, faults)
}

/// Reads settings from a text that is in no file.
///
/// # Errors
/// If the text has faults.
pub fn parse_settings_text(text: &str) -> Result<PlannerSettings, PlannerError> {
    let mut faults = Diagnostics::default();
    let directives = parse_text(UNNAMED_FILE, text, &mut faults);
    settings_or_faults(&directives, faults)
}

fn settings_or_faults(
    directives: &[Directive],
    mut faults: Diagnostics,
) -> Result<PlannerSettings, PlannerError> {
    parse_settings(directives, &mut faults)
        .ok_or_else(|| PlannerError::InvalidSettings { report: faults.render() })
}

/// Reads a planner's settings from parsed directives. Returns `None` if there are faults, which are added to
/// `faults`.
pub fn parse_settings(directives: &[Directive], faults: &mut Diagnostics) -> Option<PlannerSettings> {
    let file_start = SourceSpan { file: 0, bytes: 0..0 };
    let mut scope = Scope::new(directives, file_start.clone());
    let identity = Identity::read(&mut scope, faults);
    let listen = loopback_address(&mut scope, "listen", faults);
    let shared_port = scope.optional_or("listen-shared", false, faults);
    let metrics = loopback_address(&mut scope, "metrics", faults);
    let list_address = scope.required::<String>("list", faults);
    let state_dir = scope.optional::<String>("state-dir", faults).map(PathBuf::from);
    let log_format = read_log_format(&mut scope, &file_start, faults);
    let poll_for_list = scope.optional_or("list-must-be-asked", false, faults);
    let rules = read_rules(scope.once("rules", faults), faults);
    let workload = Workload::read(&mut scope, &file_start, faults);
    let acceptance = read_acceptance_rules(&mut scope, &rules, faults);
    let costs = read_locality_costs(&mut scope, identity.zone, faults);
    let connections = ConnectionSettings::read(&mut scope, faults);
    let clients = read_client_limits(&mut scope, faults);
    let name = identity.name.as_ref().map_or("", |name| name.0.as_str());
    let ledger = scope.once("books", faults).and_then(|directive| ledger::read(directive, name, faults));
    if ledger.as_ref().is_some_and(|ledger| ledger.listen.is_some()) && state_dir.is_none() {
        faults.add(&file_start, "books are kept in the state directory: state-dir is missing");
    }
    scope.finish(faults);
    connections.check(&file_start, faults);
    identity.check(&file_start, faults);
    let slow_start = identity.slow_start(&rules);
    let engine = Settings {
        name: identity.name?.0,
        seed: identity.seed,
        use_cases: workload.use_cases,
        machine_kinds: workload.kinds.iter().map(|kind| kind.size).collect(),
        acceptance,
        slow_start,
        discovery: Discovery { watch_required: poll_for_list, max_staleness: rules.max_staleness },
        locality: costs,
        endpoint_list_address: list_address?,
        reconnect_backoff: connections.reconnect,
        lost_after: connections.lost_after,
        ping_timeout: connections.silence,
        answer_retention: connections.remember,
        startup_grace: connections.start_wait,
        client_limits: clients,
        max_open_tasks: connections.max_in_flight,
        max_unsent_bytes: connections.max_unsent_bytes,
    };
    let settings = PlannerSettings { engine, listen, shared_port, metrics, state_dir, log_format, ledger };
    faults.is_empty().then_some(settings)
}

/// Who this planner is among the schedulers.
struct Identity {
    name: Option<Name>,
    /// Its number, from 0.
    number: u32,
    schedulers: u32,
    seed: u64,
    zone: u32,
}

impl Identity {
    fn read(scope: &mut Scope<'_>, faults: &mut Diagnostics) -> Self {
        Self {
            name: scope.required::<Name>("name", faults),
            number: scope.optional_or("number", 0, faults),
            schedulers: scope.optional_or("schedulers", 1, faults),
            seed: scope.optional_or("seed", 1, faults),
            zone: scope.optional_or("hall", 0, faults),
        }
    }

    fn check(&self, place: &SourceSpan, faults: &mut Diagnostics) {
        let Self { number, schedulers, .. } = self;
        if number >= schedulers {
            faults.add(place, format!("number {number} of {schedulers} schedulers: numbers count from 0"));
        }
    }

    fn slow_start(&self, rules: &RuleSettings) -> SlowStart {
        SlowStart {
            warm_up_time: rules.warm_up_time,
            budget_window: rules.budget_window,
            attempt_budget: f64::from(rules.attempt_budget),
            scheduler_count: self.schedulers,
            scheduler_index: self.number,
        }
    }
}

/// Kinds of machines, and use cases that run on them.
struct Workload {
    kinds: Vec<MachineKind>,
    use_cases: Vec<UseCase>,
}

impl Workload {
    fn read(scope: &mut Scope<'_>, file_start: &SourceSpan, faults: &mut Diagnostics) -> Self {
        let kinds: Vec<MachineKind> =
            scope.each("kind").into_iter().filter_map(|kind| read_machine_kind(kind, faults)).collect();
        let mut use_cases = Vec::new();
        let mut any = false;
        for directive in scope.each("use-case") {
            let mut block = Scope::of(directive);
            let use_case = read_use_case(directive, &mut block, faults);
            block.finish(faults);
            let Some(use_case) = use_case else { continue };
            any = true;
            match use_case.to_use_case(&kinds) {
                Some(use_case) => use_cases.push(use_case),
                None => faults.add(&directive.span, "its kind of machine is not among the kinds"),
            }
        }
        if !any {
            faults.add(file_start, "a use case is missing: use-case NAME { ... }");
        }
        Self { kinds, use_cases }
    }
}

/// The `links` block: limits on connections to machines, the list service and clients.
struct ConnectionSettings {
    reconnect: Duration,
    lost_after: Duration,
    silence: Duration,
    remember: Duration,
    start_wait: Duration,
    max_in_flight: usize,
    max_unsent_bytes: usize,
}

impl ConnectionSettings {
    fn read(scope: &mut Scope<'_>, faults: &mut Diagnostics) -> Self {
        let millis = |millis: u64| Duration::from_nanos(millis * NANOS_PER_MILLI);
        let mut block = optional_block(scope, "links", faults);
        let settings = Self {
            reconnect: block.optional_or("reconnect", millis(200), faults),
            lost_after: block.optional_or("lost-after", millis(2_000), faults),
            silence: block.optional_or("silence", millis(2_000), faults),
            remember: block.optional_or("remember", Duration::from_secs(60), faults),
            start_wait: block.optional_or("start-wait", millis(1_000), faults),
            max_in_flight: block.optional_or("most-in-hand", 20_000, faults),
            max_unsent_bytes: block.optional_or("most-unwritten", Bytes(4 << 20), faults).0 as usize,
        };
        block.finish(faults);
        settings
    }

    fn check(&self, place: &SourceSpan, faults: &mut Diagnostics) {
        let durations =
            [("reconnect", self.reconnect), ("silence", self.silence), ("remember", self.remember)];
        for (name, duration) in durations {
            if duration == Duration::ZERO {
                faults.add(place, format!("links: {name} must be more than no time"));
            }
        }
    }
}

fn read_acceptance_rules(
    scope: &mut Scope<'_>,
    rules: &RuleSettings,
    faults: &mut Diagnostics,
) -> AcceptanceRules {
    let mut block = optional_block(scope, "taking", faults);
    let acceptance = AcceptanceRules {
        cores_overcommit: block.optional_or("accepts-cores", 1.0, faults),
        memory_overcommit: block.optional_or("accepts-memory", 1.0, faults),
        accepts_when_running: block.optional_or("yes-when-running", false, faults),
        max_attempts: rules.max_attempts,
        reports_pressure: block.optional_or("tells-pressure", true, faults),
        supports_cancel: block.optional_or("recalls", true, faults),
    };
    block.finish(faults);
    acceptance
}

fn read_locality_costs(scope: &mut Scope<'_>, zone: u32, faults: &mut Diagnostics) -> LocalityCosts {
    let mut block = optional_block(scope, "prices", faults);
    let costs = LocalityCosts {
        local_zone: ZoneId(zone),
        cross_zone_cost: block.optional_or("cross-hall", 0.0, faults),
        machine_cost: block.optional_or("machine", 0.0, faults),
    };
    block.finish(faults);
    costs
}

fn read_client_limits(scope: &mut Scope<'_>, faults: &mut Diagnostics) -> ClientLimits {
    let mut block = optional_block(scope, "clients", faults);
    let default = ClientLimits::default();
    let limits = ClientLimits {
        max_connections: block.optional_or("most", default.max_connections, faults).max(1),
        max_per_tenant: block.optional_or("most-of-a-tenant", default.max_per_tenant, faults).max(1),
        max_per_name: block.optional_or("most-of-a-name", default.max_per_name, faults).max(1),
        max_unidentified: block.optional_or("most-strangers", default.max_unidentified, faults).max(1),
        max_accepts_per_iteration: block
            .optional_or("opens-a-turn", default.max_accepts_per_iteration, faults)
            .max(1),
        greeting_timeout: block.optional_or("greet-within", default.greeting_timeout, faults),
        frame_timeout: block.optional_or("frame-within", default.frame_timeout, faults),
        keepalive_time: block.optional_or("idle-after", default.keepalive_time, faults),
        keepalive_timeout: block.optional_or("sign-within", default.keepalive_timeout, faults),
        steady_period: block.optional_or("steady-for", default.steady_period, faults),
        eviction_grace: default.eviction_grace,
        max_queued_per_iteration: block
            .optional_or("woken-a-turn", default.max_queued_per_iteration, faults)
            .max(1),
    };
    block.finish(faults);
    limits
}

fn read_log_format(scope: &mut Scope<'_>, place: &SourceSpan, faults: &mut Diagnostics) -> LogFormat {
    match scope.optional::<String>("log", faults).as_deref() {
        None | Some("text") => LogFormat::Text,
        Some("json") => LogFormat::Json,
        Some(other) => {
            faults.add(place, format!("log {other}: text or json is wanted"));
            LogFormat::Text
        }
    }
}

/// A loopback address and port; no other addresses are served.
fn loopback_address(
    scope: &mut Scope<'_>,
    name: &'static str,
    faults: &mut Diagnostics,
) -> Option<SocketAddr> {
    let directive = scope.once(name, faults)?;
    let argument = directive.args.first();
    let place = argument.map_or(&directive.span, |argument| &argument.span).clone();
    match argument.and_then(|argument| argument.text.parse::<SocketAddr>().ok()) {
        Some(address) if address.ip().is_loopback() => Some(address),
        Some(_) => {
            faults.add(&place, format!("{name}: only loopback addresses are served"));
            None
        }
        None => {
            faults.add(&place, format!("{name}: an address and port is wanted, as 127.0.0.1:7000"));
            None
        }
    }
}

/// A block that may be left out; it is empty then, and all its directives have their defaults.
fn optional_block<'a>(scope: &mut Scope<'a>, name: &'static str, faults: &mut Diagnostics) -> Scope<'a> {
    let empty = Scope::new(&[], SourceSpan { file: 0, bytes: 0..0 });
    scope.once(name, faults).map_or(empty, Scope::of)
}

#[cfg(test)]
mod tests;
