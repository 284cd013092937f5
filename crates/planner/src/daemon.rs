//! The engine behind real sockets, with signals, logs, the kept list and the metrics endpoint.

use crate::books::{BooksConf, parse_orders};
use crate::conf::{Conf, LogFormat, read_conf};
use crate::metrics::Metrics;
use mulleinhub_engine::Engine;
use mulleinhub_event_loop::{Clock, EventLoop, Step};
use mulleinhub_interface::{Timestamp, mix};
use mulleinhub_ledger::{AdmissionHandle, Running, Start};
use mulleinhub_replicated_log::Order;
use mulleinhub_sans_io::{CloseReason, ConnectionId, Connections, ListenerId, StateMachine};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const METRICS: ListenerId = ListenerId(1);
const MOST_REQUEST: usize = 8 * 1024;
/// Who reads metrics at a time; they have their own share of the descriptors.
const MOST_READERS: usize = 16;

/// The engine, with a second door for those who read metrics.
struct Daemon {
    engine: Engine,
    metrics: Metrics,
    /// Requests that are not whole yet.
    readers: BTreeMap<ConnectionId, Vec<u8>>,
}

impl Daemon {
    fn answer(&mut self, link: ConnectionId) {
        let request = self.readers.remove(&link).unwrap_or_default();
        let path = request.split(|b| *b == b' ').nth(1).unwrap_or_default();
        let (status, body) = match path {
            b"/metrics" => ("200 OK", self.metrics.text(&self.engine)),
            b"/health" => ("200 OK", "well\n".to_owned()),
            b"/ready" => match self.engine.not_ready() {
                None => ("200 OK", "ready\n".to_owned()),
                Some(why) => ("503 Service Unavailable", format!("not ready: {why}\n")),
            },
            _ => ("404 Not Found", "only /metrics, /health and /ready are here\n".to_owned()),
        };
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Type: text/plain\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        self.engine.connections().send(link, format!("{head}{body}").as_bytes(), None);
        self.engine.connections().end(link);
    }
}

impl StateMachine for Daemon {
    fn on_connection_accepted(&mut self, now: Timestamp, link: ConnectionId, door: ListenerId) {
        if door == METRICS {
            self.readers.insert(link, Vec::new());
        } else {
            self.engine.on_connection_accepted(now, link, door);
        }
    }

    fn on_connected(&mut self, now: Timestamp, link: ConnectionId) {
        self.engine.on_connected(now, link);
    }

    fn on_data(&mut self, now: Timestamp, link: ConnectionId, bytes: &[u8]) {
        let Some(request) = self.readers.get_mut(&link) else {
            return self.engine.on_data(now, link, bytes);
        };
        request.extend_from_slice(bytes);
        if request.len() > MOST_REQUEST {
            self.readers.remove(&link);
            self.engine.connections().abort(link);
        } else if request.windows(4).any(|end| end == b"\r\n\r\n") {
            self.answer(link);
        }
    }

    fn on_closed(&mut self, now: Timestamp, link: ConnectionId, end: CloseReason) {
        if self.readers.remove(&link).is_some() {
            self.engine.connections().forget(link);
        } else {
            self.engine.on_closed(now, link, end);
        }
    }

    fn poll_early(&mut self, now: Timestamp) {
        self.engine.poll_early(now);
    }

    fn is_priority(&self, link: ConnectionId) -> bool {
        self.engine.is_priority(link)
    }

    fn poll(&mut self, now: Timestamp) {
        let began = Instant::now();
        self.engine.poll(now);
        self.engine.on_iteration_time(now, mulleinhub_event_loop::span(began.elapsed()));
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        self.engine.next_wakeup()
    }

    fn connections(&mut self) -> &mut Connections {
        self.engine.connections()
    }

    fn accept_budget(&self, door: ListenerId) -> usize {
        if door == METRICS {
            MOST_READERS.saturating_sub(self.readers.len())
        } else {
            self.engine.accept_budget(door)
        }
    }

    fn on_descriptors_exhausted(&mut self, now: Timestamp) {
        self.engine.on_descriptors_exhausted(now);
    }

    fn state_to_persist(&mut self) -> Option<Vec<u8>> {
        self.engine.state_to_persist()
    }
}

pub fn start_log(format: LogFormat) {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    // A second log in one process would be ours alone to blame; the first one serves.
    let _ = match format {
        LogFormat::Text => log.with_ansi(false).try_init(),
        LogFormat::Json => log.json().try_init(),
    };
}

/// The list that the last life kept; what can't be read is as none.
fn load(path: &Path) -> Option<Vec<u8>> {
    match std::fs::read(path) {
        Ok(bytes) => Some(bytes),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => None,
        Err(error) => {
            tracing::error!(%error, path = %path.display(), "the kept list can't be read");
            None
        }
    }
}

/// Written beside and renamed, so that a kill leaves the old list or the new one.
fn save(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let beside = path.with_extension("new");
    std::fs::write(&beside, bytes)?;
    std::fs::rename(&beside, path)
}

/// Whether nothing of the books changed that waits for the next start.
fn same_books(old: Option<&BooksConf>, new: Option<&BooksConf>) -> bool {
    let fixed = |of: &BooksConf| (of.terms.clone(), of.members.clone(), of.listen);
    old.map(fixed) == new.map(fixed)
}

/// Runs a planner until it is told to end.
///
/// # Errors
/// Faults of the settings, or what the system refuses, in words.
pub fn run(settings: &Path) -> Result<(), String> {
    let conf = read_conf(settings)?;
    start_log(conf.log);
    let listen = conf.listen.ok_or_else(|| format!("{}: listen is missing", settings.display()))?;
    let words = |what: &str, error: std::io::Error| format!("{what}: {error}");
    let kept: Option<PathBuf> = match &conf.state_dir {
        Some(dir) => {
            std::fs::create_dir_all(dir).map_err(|e| words(&dir.display().to_string(), e))?;
            Some(dir.join("list"))
        }
        None => None,
    };
    // Only tells one life of this planner from another; nothing is decided by it.
    let life = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as u64);
    let saved = kept.as_deref().and_then(load);
    let mut engine = Engine::new(conf.engine.clone(), life, saved);
    let clock = Clock::new(Timestamp::default());
    let mut books = None;
    if let (Some(of), Some(dir)) = (&conf.books, &conf.state_dir) {
        let running = start_books(of, dir, life, conf.engine.seed, clock)?;
        engine = engine.with_quota(Box::new(AdmissionHandle::new(running.shelf.clone(), &of.settings)));
        books = Some(running);
    }
    if let Some(most) = mulleinhub_event_loop::descriptors() {
        engine.set_descriptor_limit(most);
    }
    let daemon = Daemon { engine, metrics: Metrics, readers: BTreeMap::new() };
    let mut shell = EventLoop::new(daemon).map_err(|e| words("poll", e))?.with_clock(clock);
    shell.handle_signals(&[SIGTERM, SIGINT, SIGHUP]).map_err(|e| words("signals", e))?;
    let at = shell
        .listen_at(listen, ListenerId(0), conf.shared)
        .map_err(|e| words(&format!("listen {listen}"), e))?;
    if let Some(metrics) = conf.metrics {
        shell.listen(metrics, METRICS).map_err(|e| words(&format!("metrics {metrics}"), e))?;
    }
    tracing::info!(name = conf.engine.name, %at, life, "up");
    serve(&mut shell, settings, conf, kept.as_deref(), books.as_ref())
}

/// The threads that keep the books, and the operators' orders as they stand.
fn start_books(of: &BooksConf, dir: &Path, life: u64, seed: u64, clock: Clock) -> Result<Running, String> {
    let listen = of.listen.ok_or("books: this planner's own address is missing among the members")?;
    let orders = of.orders.as_deref().map(read_orders).transpose()?;
    let start = Start {
        settings: of.settings.clone(),
        members: of.members.clone(),
        listen,
        state_dir: dir,
        life,
        seed: own_seed(seed, life, &of.settings.me),
        ahead: of.ahead,
    };
    let running = mulleinhub_ledger::start(start, clock)?;
    running.order(orders.unwrap_or_default());
    Ok(running)
}

/// Of this planner in this life alone.
fn own_seed(seed: u64, life: u64, name: &str) -> u64 {
    name.bytes().fold(mix(seed, !life), |seed, byte| mix(seed, byte.into()))
}

fn read_orders(path: &Path) -> Result<Vec<Order>, String> {
    let words = |error| format!("{}: {error}", path.display());
    let text = std::fs::read_to_string(path).map_err(words)?;
    parse_orders(&path.display().to_string(), &text)
}

fn serve(
    shell: &mut EventLoop<Daemon>,
    path: &Path,
    mut conf: Conf,
    kept: Option<&Path>,
    books: Option<&Running>,
) -> Result<(), String> {
    let longest = conf.engine.use_cases.iter().map(|case| case.client_timeout).max().unwrap_or_default();
    let longest = Duration::from_nanos(longest.nanos());
    let mut ending: Option<Instant> = None;
    loop {
        let step = shell.step(Duration::from_secs(1)).map_err(|error| format!("poll: {error}"))?;
        if let (Some(bytes), Some(kept)) = (shell.party.state_to_persist(), kept)
            && let Err(error) = save(kept, &bytes)
        {
            tracing::error!(%error, path = %kept.display(), "the list can't be kept");
        }
        match step {
            Step::Signal(SIGHUP) => match read_conf(path) {
                Ok(new) => {
                    let mut fixed = shell.party.engine.reload(&new.engine);
                    if !same_books(conf.books.as_ref(), new.books.as_ref()) {
                        fixed.push("books");
                    }
                    conf = new;
                    if let (Some(running), Some(of)) = (books, &conf.books) {
                        running.set_ahead(of.ahead);
                        match of.orders.as_deref().map(read_orders).transpose() {
                            Ok(orders) => running.order(orders.unwrap_or_default()),
                            Err(faults) => {
                                tracing::error!(%faults, "the orders are faulty; the old ones stay")
                            }
                        }
                    }
                    tracing::info!(name = conf.engine.name, "settings read again");
                    if !fixed.is_empty() {
                        tracing::warn!(
                            directives = fixed.join(", "),
                            "these change with the next start only"
                        );
                    }
                }
                Err(faults) => tracing::error!(%faults, "the settings are faulty; the old ones stay"),
            },
            Step::Signal(_) if ending.is_none() => {
                tracing::info!(in_hand = shell.party.engine.counts().pending, "ending: nothing new is taken");
                shell.party.engine.begin_shutdown();
                ending = Some(Instant::now());
            }
            Step::Signal(_) => return Ok(()),
            Step::Went => {}
        }
        // All in hand has had its answer, and the answers are written.
        let engine = &shell.party.engine;
        let done = || engine.is_idle() && engine.is_flushed();
        if ending.is_some_and(|since| done() || since.elapsed() > longest) {
            let taken = shell.party.engine.counts().accepted;
            tracing::info!(system_calls = shell.calls, taken, "ended");
            return Ok(());
        }
    }
}
