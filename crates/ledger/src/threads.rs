//! The threads of the ledger: one runs the exchange in an event loop of its own, one writes to disk.
//!
//! The planner's event loop is a third thread; it only uses the [`SharedPools`]. The exchange thread owns the
//! ledger, the store thread the database. Changes go to the store thread through a channel, durable positions
//! and directives come back through mutexes with a wake-up. A thread that ends, ends the process with a log
//! line: a planner without its ledger would spend quota that it doesn't have.

use crate::exchange::{Exchange, Member};
use crate::shared_pools::SharedPools;
use crate::store::{Store, StoreError};
use mulleinhub_event_loop::{Clock, EventLoop, Waker};
use mulleinhub_quota::Settings;
use mulleinhub_replicated_log::{Directive, LogChanges, LogPositions};
use mulleinhub_sans_io::ListenerId;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Longest wait in one iteration of the exchange's event loop.
const MAX_POLL_WAIT: Duration = Duration::from_millis(500);
/// Wait before a failed write to disk is retried.
const DISK_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Exit status of the process when one of its ledger threads ends.
const THREAD_ENDED_EXIT_STATUS: i32 = 70;

/// What the ledger is started with.
pub struct StartOptions<'a> {
    /// Settings of the ledger.
    pub settings: Settings,
    /// All members, this one included.
    pub members: Vec<Member>,
    /// Address on which other members connect.
    pub listen: SocketAddr,
    /// Directory of the store.
    pub state_dir: &'a Path,
    /// Number of this incarnation, greater at each start.
    pub incarnation: u64,
    /// Seed of the random source.
    pub seed: u64,
    /// By how much the time of day is ahead of the system's clock, in milliseconds.
    pub clock_ahead_ms: i64,
}

/// Why the ledger can't be started.
#[derive(Debug)]
pub enum StartError {
    /// The store can't be opened.
    Store(StoreError),
    /// A thread can't be spawned.
    Thread(std::io::Error),
    /// The event loop can't be created.
    Poll(std::io::Error),
    /// The address can't be listened on.
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system reported.
        source: std::io::Error,
    },
    /// The event loop's waker can't be created.
    Waker(std::io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => error.fmt(f),
            Self::Thread(error) => write!(f, "no thread for the books: {error}"),
            Self::Poll(error) => write!(f, "books: no poll: {error}"),
            Self::Listen { address, source } => write!(f, "books: listen {address}: {source}"),
            Self::Waker(error) => write!(f, "books: no waker: {error}"),
        }
    }
}

impl std::error::Error for StartError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Store(error) => Some(error),
            Self::Thread(error) | Self::Poll(error) | Self::Waker(error) => Some(error),
            Self::Listen { source, .. } => Some(source),
        }
    }
}

impl From<StoreError> for StartError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

/// The running ledger, as the planner's event loop sees it.
pub struct LedgerHandle {
    /// The reservation pools.
    pub pools: Arc<SharedPools>,
    directives: Arc<Mutex<Vec<Directive>>>,
    clock_ahead_ms: Arc<AtomicI64>,
    waker: Waker,
}

impl LedgerHandle {
    /// Passes directives of the operators' file to the ledger.
    pub fn apply_directives(&self, directives: Vec<Directive>) {
        self.directives.lock().unwrap_or_else(PoisonError::into_inner).extend(directives);
        self.waker.wake();
    }

    /// Sets by how much the time of day is ahead of the system's clock, in milliseconds.
    pub fn set_clock_ahead_ms(&self, clock_ahead_ms: i64) {
        self.clock_ahead_ms.store(clock_ahead_ms, Ordering::Release);
    }
}

/// Ends the process with a log line when its thread ends, which no ledger thread does in normal operation.
struct ExitOnDrop(&'static str);

impl Drop for ExitOnDrop {
    fn drop(&mut self) {
        tracing::error!(thread = self.0, "a ledger thread has ended; exiting the process");
        std::process::exit(THREAD_ENDED_EXIT_STATUS);
    }
}

fn spawn(name: &'static str, run: impl FnOnce() + Send + 'static) -> Result<(), StartError> {
    let guarded = move || {
        let _exit_on_drop = ExitOnDrop(name);
        run();
    };
    let spawned = std::thread::Builder::new().name(name.to_owned()).spawn(guarded);
    spawned.map(drop).map_err(StartError::Thread)
}

/// Starts the ledger's threads. `clock` is that of the planner's event loop: both count from one instant.
///
/// # Errors
/// Where the store can't be opened, the address can't be listened on, or a thread can't be started.
pub fn start(options: StartOptions<'_>, clock: Clock) -> Result<LedgerHandle, StartError> {
    let (mut store, persisted) = Store::open(options.state_dir)?;
    let pools = SharedPools::new(&options.settings);
    let exchange = Exchange::new(
        options.settings,
        options.members,
        options.incarnation,
        options.seed,
        persisted,
        pools.clone(),
    );
    let mut event_loop = EventLoop::new(exchange).map_err(StartError::Poll)?.with_clock(clock);
    let listen_failed = |source| StartError::Listen { address: options.listen, source };
    event_loop.listen(options.listen, ListenerId(0)).map_err(listen_failed)?;
    let waker = event_loop.waker().map_err(StartError::Waker)?;
    let rejection_waker = waker.clone();
    pools.set_wake_ledger(Box::new(move || rejection_waker.wake()));
    let directives = Arc::new(Mutex::new(Vec::new()));
    let clock_ahead_ms = Arc::new(AtomicI64::new(options.clock_ahead_ms));
    let durable = Arc::new(Mutex::new(LogPositions::default()));
    let (to_disk, changes) = channel();
    let (store_durable, store_waker) = (durable.clone(), waker.clone());
    spawn("books-store", move || persist_changes(&mut store, &changes, &store_durable, &store_waker))?;
    let (new_directives, clock_ahead) = (directives.clone(), clock_ahead_ms.clone());
    spawn("books-exchange", move || {
        run_exchange(&mut event_loop, &new_directives, &clock_ahead, &durable, &to_disk)
    })?;
    Ok(LedgerHandle { pools, directives, clock_ahead_ms, waker })
}

/// The store thread: all changes that arrived while the last group was written form the next one.
fn persist_changes(
    store: &mut Store,
    changes: &Receiver<(LogChanges, LogPositions)>,
    durable: &Mutex<LogPositions>,
    waker: &Waker,
) {
    while let Ok((mut group, mut last)) = changes.recv() {
        while let Ok((more, reached)) = changes.try_recv() {
            group.extend(more);
            last = last.max(reached);
        }
        // Nothing is announced before it is durable: with a full disk this planner goes on with the quota
        // that it has reserved.
        while let Err(error) = store.persist(&group) {
            tracing::error!(
                %error,
                "the books can't be written; nothing new is drawn or given until they can"
            );
            std::thread::sleep(DISK_RETRY_DELAY);
        }
        {
            let mut durable = durable.lock().unwrap_or_else(PoisonError::into_inner);
            *durable = durable.max(last);
        }
        waker.wake();
    }
}

/// The exchange thread: passes directives, the time of day and durable positions to the exchange, and its
/// changes to the store thread. Returns only on errors.
fn run_exchange(
    event_loop: &mut EventLoop<Exchange>,
    directives: &Mutex<Vec<Directive>>,
    clock_ahead_ms: &AtomicI64,
    durable: &Mutex<LogPositions>,
    to_disk: &Sender<(LogChanges, LogPositions)>,
) {
    let mut known = LogPositions::default();
    loop {
        let new = std::mem::take(&mut *directives.lock().unwrap_or_else(PoisonError::into_inner));
        if !new.is_empty() {
            event_loop.state_machine.apply_directives(&new);
        }
        let persisted = *durable.lock().unwrap_or_else(PoisonError::into_inner);
        if persisted != known {
            known = persisted;
            event_loop.state_machine.on_durable(persisted);
        }
        let utc = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        event_loop.state_machine.set_clock(utc.saturating_add_signed(clock_ahead_ms.load(Ordering::Acquire)));
        if let Err(error) = event_loop.run_once(MAX_POLL_WAIT) {
            tracing::error!(%error, "the ledger's event loop failed");
            return;
        }
        let changes = event_loop.state_machine.take_changes();
        if !changes.is_empty() {
            let last = event_loop.state_machine.last_own_entries(&changes);
            if to_disk.send((changes, last)).is_err() {
                return;
            }
        }
    }
}
