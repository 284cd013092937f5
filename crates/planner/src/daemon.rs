//! The daemon's life: start, serve, reload on SIGHUP, drain and stop on SIGTERM.
//!
//! Runs in the main thread and owns the event loop. The ledger, where it is configured, has threads of its
//! own.

use crate::error::{Operation, PlannerError};
use crate::logging::start_logging;
use crate::scheduler::{CLIENT_LISTENER, HTTP_LISTENER, Scheduler};
use crate::settings::{LedgerSettings, PlannerSettings, parse_operator_directives, read_settings};
use crate::state_dir::CachedList;
use mulleinhub_engine::Engine;
use mulleinhub_event_loop::{Clock, EventLoop, IterationOutcome, descriptor_limit};
use mulleinhub_interface::{Timestamp, mix};
use mulleinhub_ledger::{AdmissionHandle, LedgerHandle, StartOptions};
use mulleinhub_replicated_log::Directive as OperatorDirective;
use mulleinhub_sans_io::StateMachine;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest wait of one iteration. The event loop wakes for whatever is due; this bounds the rest.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Name of the ledger's block among the settings that a reload leaves as they are.
const LEDGER_BLOCK: &str = "books";

/// Runs a planner until SIGTERM or SIGINT has stopped it.
///
/// # Errors
/// If the settings are invalid or the system refuses what the planner needs.
pub fn run(settings_path: &Path) -> Result<(), PlannerError> {
    let settings = read_settings(settings_path)?;
    start_logging(settings.log_format);
    Daemon::start(settings_path, settings)?.serve()
}

/// A running planner.
struct Daemon {
    event_loop: EventLoop<Scheduler>,
    settings_path: PathBuf,
    settings: PlannerSettings,
    cached_list: Option<CachedList>,
    ledger: Option<LedgerHandle>,
    /// When draining began, once it has.
    draining_since: Option<Instant>,
}

impl Daemon {
    fn start(settings_path: &Path, settings: PlannerSettings) -> Result<Self, PlannerError> {
        let listen = settings
            .listen
            .ok_or_else(|| PlannerError::MissingListenAddress { path: settings_path.to_owned() })?;
        let cached_list = settings.state_dir.as_deref().map(CachedList::open).transpose()?;
        let incarnation = new_incarnation();
        let clock = Clock::new(Timestamp::default());
        let saved = cached_list.as_ref().and_then(CachedList::load);
        let engine = Engine::new(settings.engine.clone(), incarnation, saved);
        let (mut engine, ledger) = with_ledger(engine, &settings, incarnation, clock)?;
        if let Some(limit) = descriptor_limit() {
            engine.set_descriptor_limit(limit);
        }
        let mut event_loop = EventLoop::new(Scheduler::new(engine))
            .map_err(PlannerError::system(Operation::Poll))?
            .with_clock(clock);
        event_loop
            .handle_signals(&[SIGTERM, SIGINT, SIGHUP])
            .map_err(PlannerError::system(Operation::HandleSignals))?;
        let address = event_loop
            .listen_with(listen, CLIENT_LISTENER, settings.shared_port)
            .map_err(PlannerError::system(Operation::Listen(listen)))?;
        if let Some(metrics) = settings.metrics {
            event_loop
                .listen(metrics, HTTP_LISTENER)
                .map_err(PlannerError::system(Operation::ListenForMetrics(metrics)))?;
        }
        tracing::info!(name = settings.engine.name, %address, incarnation, "planner started");
        let settings_path = settings_path.to_owned();
        Ok(Self { event_loop, settings_path, settings, cached_list, ledger, draining_since: None })
    }

    fn serve(mut self) -> Result<(), PlannerError> {
        let drain_timeout = self.longest_client_timeout();
        loop {
            let outcome =
                self.event_loop.run_once(MAX_WAIT).map_err(PlannerError::system(Operation::Poll))?;
            self.save_list();
            match outcome {
                IterationOutcome::Signal(SIGHUP) => self.reload(),
                IterationOutcome::Signal(_) if self.draining_since.is_none() => self.start_draining(),
                // A second signal stops at once.
                IterationOutcome::Signal(_) => return Ok(()),
                IterationOutcome::Completed => {}
            }
            if self.is_drained(drain_timeout) {
                self.log_stop();
                return Ok(());
            }
        }
    }

    /// Saves the endpoint list where the engine has a new one.
    fn save_list(&mut self) {
        if let (Some(bytes), Some(cached_list)) =
            (self.event_loop.state_machine.state_to_persist(), &self.cached_list)
        {
            cached_list.save(&bytes);
        }
    }

    /// Reads the settings again; invalid ones leave the current ones in force.
    fn reload(&mut self) {
        let new = match read_settings(&self.settings_path) {
            Ok(new) => new,
            Err(error) => {
                tracing::error!(%error, "settings are invalid; keeping the current ones");
                return;
            }
        };
        let mut unchanged = self.event_loop.state_machine.engine.reload(&new.engine);
        if needs_restart(self.settings.ledger.as_ref(), new.ledger.as_ref()) {
            unchanged.push(LEDGER_BLOCK);
        }
        self.settings = new;
        self.reload_ledger();
        tracing::info!(name = self.settings.engine.name, "settings reloaded");
        if !unchanged.is_empty() {
            let directives = unchanged.join(", ");
            tracing::warn!(directives, "some settings take effect at the next start only");
        }
    }

    /// Passes the clock offset and the operators' directives to the running ledger.
    fn reload_ledger(&self) {
        let (Some(ledger), Some(settings)) = (&self.ledger, &self.settings.ledger) else { return };
        ledger.set_clock_ahead_ms(settings.clock_ahead_ms);
        match read_directives(settings) {
            Ok(directives) => ledger.apply_directives(directives),
            Err(error) => {
                tracing::error!(%error, "operators' directives are invalid; keeping the current ones");
            }
        }
    }

    fn start_draining(&mut self) {
        let engine = &mut self.event_loop.state_machine.engine;
        tracing::info!(in_flight = engine.counts().pending, "draining: no new tasks are accepted");
        engine.begin_shutdown();
        self.draining_since = Some(Instant::now());
    }

    /// Whether all tasks in flight have their answer and all answers are written, or the timeout is over.
    fn is_drained(&self, timeout: Duration) -> bool {
        let engine = &self.event_loop.state_machine.engine;
        let all_answered = || engine.is_idle() && engine.is_flushed();
        self.draining_since.is_some_and(|since| all_answered() || since.elapsed() > timeout)
    }

    fn log_stop(&self) {
        let tasks_taken = self.event_loop.state_machine.engine.counts().accepted;
        tracing::info!(system_calls = self.event_loop.system_calls, tasks_taken, "planner stopped");
    }

    fn longest_client_timeout(&self) -> Duration {
        let timeouts = self.settings.engine.use_cases.iter().map(|use_case| use_case.client_timeout);
        Duration::from_nanos(timeouts.max().unwrap_or_default().nanos())
    }
}

/// A number that distinguishes this process from earlier ones of the same planner; nothing else depends on
/// it.
fn new_incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as u64)
}

/// Starts the ledger where one is configured, and connects the engine to it.
fn with_ledger(
    engine: Engine,
    settings: &PlannerSettings,
    incarnation: u64,
    clock: Clock,
) -> Result<(Engine, Option<LedgerHandle>), PlannerError> {
    let (Some(ledger), Some(state_dir)) = (&settings.ledger, &settings.state_dir) else {
        return Ok((engine, None));
    };
    let seed = ledger_seed(settings.engine.seed, incarnation, &ledger.settings.me);
    let running = start_ledger(ledger, state_dir, incarnation, seed, clock)?;
    let admission = AdmissionHandle::new(running.pools.clone(), &ledger.settings);
    Ok((engine.with_quota(Box::new(admission)), Some(running)))
}

/// Starts the ledger's threads, and passes them the operators' directives.
fn start_ledger(
    settings: &LedgerSettings,
    state_dir: &Path,
    incarnation: u64,
    seed: u64,
    clock: Clock,
) -> Result<LedgerHandle, PlannerError> {
    let listen = settings.listen.ok_or(PlannerError::NotALedgerMember)?;
    let directives = read_directives(settings)?;
    let start = StartOptions {
        settings: settings.settings.clone(),
        members: settings.members.clone(),
        listen,
        state_dir,
        incarnation,
        seed,
        clock_ahead_ms: settings.clock_ahead_ms,
    };
    let running = mulleinhub_ledger::start(start, clock)
        .map_err(|error| PlannerError::Ledger { reason: error.to_string() })?;
    running.apply_directives(directives);
    Ok(running)
}

/// A seed of this planner and this incarnation alone.
fn ledger_seed(seed: u64, incarnation: u64, name: &str) -> u64 {
    name.bytes().fold(mix(seed, !incarnation), |seed, byte| mix(seed, byte.into()))
}

/// The operators' directives; none without a directives file.
fn read_directives(settings: &LedgerSettings) -> Result<Vec<OperatorDirective>, PlannerError> {
    let Some(path) = &settings.directives_file else { return Ok(Vec::new()) };
    let text = std::fs::read_to_string(path).map_err(PlannerError::file(path))?;
    parse_operator_directives(&path.display().to_string(), &text)
}

/// Whether the ledger's settings changed in a way that only a restart puts in force.
fn needs_restart(old: Option<&LedgerSettings>, new: Option<&LedgerSettings>) -> bool {
    let fixed = |of: &LedgerSettings| (of.terms.clone(), of.members.clone(), of.listen);
    old.map(fixed) != new.map(fixed)
}
