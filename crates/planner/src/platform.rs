//! The scheduler on the platform: its configuration file, signals, logs, and the party behind real sockets.

use crate::LogFormat;
use crate::daemon::start_log;
use mulleinhub_event_loop::{EventLoop, Step, span};
use mulleinhub_interface::Timestamp;
use mulleinhub_platform::{Config, Scheduler};
use mulleinhub_sans_io::ListenerId;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const OWNERS: ListenerId = ListenerId(0);
/// At the end, owners have so long to take their last answers.
const LAST_WORDS: Duration = Duration::from_millis(150);
/// The shell wakes by itself for whatever is due; this bounds the wait for an end that nothing tells of.
const AT_MOST: Duration = Duration::from_millis(100);
/// A start waits so long for its address, and looks so often.
const ADDRESS_WITHIN: Duration = Duration::from_secs(5);
const ADDRESS_AGAIN: Duration = Duration::from_millis(20);

fn read(path: &Path) -> Result<Config, String> {
    let words = |what: String| format!("{}: {what}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| words(e.to_string()))?;
    Config::parse(&text).map_err(|error| words(error.to_string()))
}

/// Listens there; waits for an address that the life before this one may still hold, as it ends.
fn listen_once_free(shell: &mut EventLoop<Scheduler>, at: SocketAddr) -> std::io::Result<()> {
    let until = Instant::now() + ADDRESS_WITHIN;
    loop {
        match shell.listen(at, OWNERS) {
            Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < until => {
                std::thread::sleep(ADDRESS_AGAIN);
            }
            done => return done.map(drop),
        }
    }
}

/// Serves until it is told to end.
///
/// # Errors
/// What of the environment or the configuration can't be read, or what the system refuses, in words.
pub fn run() -> Result<(), String> {
    let path = std::env::var_os("LB_CONFIG").map(PathBuf::from).ok_or("LB_CONFIG is not set")?;
    let mut conf = read(&path)?;
    // What the system allows binds, where it is less than was told.
    conf.descriptors =
        mulleinhub_event_loop::descriptors().map_or(conf.descriptors, |most| most.min(conf.descriptors));
    let listen = std::env::var("LB_LISTEN").unwrap_or_else(|_| conf.listen.clone());
    let listen = listen.parse().map_err(|_| format!("LB_LISTEN: {listen:?} is no address and port"))?;
    start_log(LogFormat::Text);
    tracing::info!(name = conf.name, %listen, "starting");
    let since = SystemTime::now().duration_since(UNIX_EPOCH).map_or(Duration::ZERO, |since| since);
    let origin = Timestamp::default() + span(since);
    let words = |what: &'static str| move |error: std::io::Error| format!("{what}: {error}");
    let shell = EventLoop::new(Scheduler::new(conf)).map_err(words("no poll"))?;
    let mut shell = shell.from_origin(origin);
    shell.handle_signals(&[SIGHUP, SIGTERM, SIGINT]).map_err(words("no signals"))?;
    listen_once_free(&mut shell, listen).map_err(words("listen"))?;
    // It is done only if a second look, without waiting, finds nothing new either.
    let mut was_done = false;
    loop {
        let wait = if was_done { Duration::ZERO } else { AT_MOST };
        let step = shell.step(wait).map_err(words("the poll failed"))?;
        let now = shell.now();
        match step {
            Step::Signal(SIGHUP) => match read(&path) {
                Ok(conf) => {
                    tracing::info!(bulletin = conf.discovery_address, "the configuration was read again");
                    shell.party.reload(now, conf);
                }
                Err(fault) => tracing::error!(fault, "the configuration is faulty; the old one stays"),
            },
            Step::Signal(_) => {
                tracing::info!("ending: tests fail from now on");
                shell.party.begin_shutdown(now);
            }
            Step::Went => {}
        }
        let done = step == Step::Went && shell.party.is_shutdown_complete(now) && shell.is_quiet();
        if done && was_done {
            shell.finish(LAST_WORDS);
            tracing::info!(counts = ?shell.party.counts(), "ended");
            return Ok(());
        }
        was_done = done;
    }
}
