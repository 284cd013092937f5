//! The scheduler on the platform: configured by environment variables and a JSON file, reloaded on SIGHUP,
//! drained and stopped on SIGTERM. Runs in the main thread and owns the event loop.

use crate::error::{Operation, PlannerError};
use crate::logging::start_logging;
use crate::settings::LogFormat;
use mulleinhub_event_loop::{EventLoop, IterationOutcome, descriptor_limit, duration_from_std};
use mulleinhub_interface::Timestamp;
use mulleinhub_platform::{Config, Scheduler};
use mulleinhub_sans_io::ListenerId;
use rustix::io::Errno;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "LB_CONFIG";
/// Environment variable with the address to listen at; without it, the configuration's address counts.
const LISTEN_VARIABLE: &str = "LB_LISTEN";
/// The listener for clients.
const CLIENT_LISTENER: ListenerId = ListenerId(0);
/// How long clients have to read their last answers at the shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest wait of one iteration. The event loop wakes for whatever is due; this bounds the wait for a
/// shutdown that no event announces.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// A configuration is not older than this as a scheduler starts with it.
const MAX_CONFIGURATION_AGE: mulleinhub_interface::Duration =
    mulleinhub_interface::Duration::from_secs(50 * 60);
/// How long a start waits for its address, and how often it retries.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the scheduler until SIGTERM or SIGINT has stopped it.
///
/// # Errors
/// If the environment or the configuration is invalid, or the system refuses what the scheduler needs.
pub fn run() -> Result<(), PlannerError> {
    let path = std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from);
    let path = path.ok_or(PlannerError::MissingVariable { name: CONFIG_VARIABLE })?;
    let mut configuration = read_configuration(&path)?;
    // The system's limit counts where it is below the configured one.
    configuration.descriptors =
        descriptor_limit().map_or(configuration.descriptors, |limit| limit.min(configuration.descriptors));
    let listen = listen_address(&configuration)?;
    start_logging(LogFormat::Text);
    tracing::info!(name = configuration.name, %listen, "starting");
    PlatformDaemon::start(path, configuration, listen)?.serve()
}

fn read_configuration(path: &Path) -> Result<Config, PlannerError> {
    let text = std::fs::read_to_string(path).map_err(PlannerError::file(path))?;
    Config::parse(&text).map_err(|reason| PlannerError::InvalidConfiguration {
        path: path.to_owned(),
        reason: reason.to_string(),
    })
}

fn listen_address(configuration: &Config) -> Result<SocketAddr, PlannerError> {
    let value = std::env::var(LISTEN_VARIABLE).unwrap_or_else(|_| configuration.listen.clone());
    value.parse().map_err(|_| PlannerError::InvalidAddress { variable: LISTEN_VARIABLE, value })
}

/// Time since the Unix epoch, from which the scheduler's clock counts.
fn unix_time() -> Timestamp {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    Timestamp::default() + duration_from_std(since_epoch)
}

/// The Unix time of this start, from which the scheduler's clock counts. The configuration was written just
/// before, by the clock that the endpoint list tells in: a wall clock that is most of an hour away from that was
/// set, and the file's time counts.
fn start_time(configuration: &Path) -> Timestamp {
    let now = unix_time();
    let modified = std::fs::metadata(configuration).and_then(|metadata| metadata.modified());
    let written = modified.ok().and_then(|time| time.duration_since(UNIX_EPOCH).ok());
    let Some(written) = written.map(|since| Timestamp::default() + duration_from_std(since)) else {
        return now;
    };
    let difference = (now - written).max(written - now);
    if difference > MAX_CONFIGURATION_AGE { written } else { now }
}

/// A scheduler that runs on the platform.
struct PlatformDaemon {
    event_loop: EventLoop<Scheduler>,
    configuration_path: PathBuf,
}

impl PlatformDaemon {
    fn start(
        configuration_path: PathBuf,
        configuration: Config,
        listen: SocketAddr,
    ) -> Result<Self, PlannerError> {
        let origin = start_time(&configuration_path);
        let mut event_loop = EventLoop::new(Scheduler::new(configuration))
            .map_err(PlannerError::system(Operation::Poll))?
            .with_origin(origin);
        event_loop
            .handle_signals(&[SIGHUP, SIGTERM, SIGINT])
            .map_err(PlannerError::system(Operation::HandleSignals))?;
        listen_when_free(&mut event_loop, listen).map_err(PlannerError::system(Operation::Listen(listen)))?;
        Ok(Self { event_loop, configuration_path })
    }

    fn serve(mut self) -> Result<(), PlannerError> {
        // It stops only if a second iteration, without waiting, finds nothing new either.
        let mut was_done = false;
        loop {
            let wait = if was_done { Duration::ZERO } else { MAX_WAIT };
            let now = self.event_loop.now();
            self.event_loop.state_machine.observe_wall_clock(now, unix_time());
            let outcome = self.event_loop.run_once(wait).map_err(PlannerError::system(Operation::Poll))?;
            let now = self.event_loop.now();
            match outcome {
                IterationOutcome::Signal(SIGHUP) => self.reload(now),
                IterationOutcome::Signal(_) => self.start_draining(now),
                IterationOutcome::Completed => {}
            }
            let done = outcome == IterationOutcome::Completed && self.is_done(now);
            if done && was_done {
                self.stop();
                return Ok(());
            }
            was_done = done;
        }
    }

    /// Reads the configuration again; an invalid one leaves the current one in force.
    fn reload(&mut self, now: Timestamp) {
        match read_configuration(&self.configuration_path) {
            Ok(configuration) => {
                tracing::info!(bulletin = configuration.discovery_address, "configuration reloaded");
                self.event_loop.state_machine.reload(now, configuration);
            }
            Err(error) => tracing::error!(%error, "the configuration is faulty; the old one stays"),
        }
    }

    fn start_draining(&mut self, now: Timestamp) {
        tracing::info!("draining: health checks fail from now on");
        self.event_loop.state_machine.begin_shutdown(now);
    }

    /// Whether draining is complete and no input is left over.
    fn is_done(&mut self, now: Timestamp) -> bool {
        self.event_loop.state_machine.is_shutdown_complete(now) && self.event_loop.is_idle()
    }

    fn stop(&mut self) {
        self.event_loop.shutdown(SHUTDOWN_TIMEOUT);
        tracing::info!(counts = ?self.event_loop.state_machine.counts(), "stopped");
    }
}

/// Whether listening may succeed a little later: the previous process may still hold the address while it stops,
/// or the system lacks a resource for the moment.
fn is_transient(error: &std::io::Error) -> bool {
    const LACKING: [Errno; 5] =
        [Errno::NFILE, Errno::MFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL];
    let errno = Errno::from_io_error(error);
    matches!(error.kind(), ErrorKind::AddrInUse | ErrorKind::Interrupted)
        || errno.is_some_and(|errno| LACKING.contains(&errno))
}

/// Listens there, as soon as the system lets it.
fn listen_when_free(event_loop: &mut EventLoop<Scheduler>, address: SocketAddr) -> std::io::Result<()> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    loop {
        match event_loop.listen(address, CLIENT_LISTENER) {
            Err(error) if is_transient(&error) && Instant::now() < deadline => {
                std::thread::sleep(BIND_RETRY_INTERVAL);
            }
            result => return result.map(drop),
        }
    }
}
