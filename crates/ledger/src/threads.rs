//! The threads of the books: one that exchanges with the others, behind a poll of its own, and one that
//! writes to disk. The planner's loop is a third, which only looks at the shelf.
//!
//! What one tells another goes through queues. A thread that dies ends the process in words: a planner that
//! counted on without its books would spend what it doesn't have.

use crate::exchange::{Exchange, Member};
use crate::shared_pools::SharedPools;
use crate::store::Store;
use mulleinhub_event_loop::{Clock, EventLoop, Waker};
use mulleinhub_quota::Settings;
use mulleinhub_replicated_log::{Directive, LogChanges, LogPositions};
use mulleinhub_sans_io::ListenerId;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A step of the exchange waits no longer than this.
const MAX_POLL_WAIT: Duration = Duration::from_millis(500);
/// A disk that refuses is tried again after this.
const DISK_RETRY_DELAY: Duration = Duration::from_millis(500);

/// What the books are started with.
pub struct StartOptions<'a> {
    pub settings: Settings,
    pub members: Vec<Member>,
    pub listen: SocketAddr,
    pub state_dir: &'a Path,
    pub incarnation: u64,
    pub seed: u64,
    /// By how much the time of day is ahead of the system's clock, in milliseconds.
    pub clock_ahead_ms: i64,
}

/// The running threads, as the planner's loop sees them.
pub struct LedgerHandle {
    pub pools: Arc<SharedPools>,
    directives: Arc<Mutex<Vec<Directive>>>,
    clock_ahead_ms: Arc<AtomicI64>,
    waker: Waker,
}

impl LedgerHandle {
    /// Orders from the operators' file, read anew.
    pub fn apply_directives(&self, directives: Vec<Directive>) {
        self.directives.lock().unwrap_or_else(PoisonError::into_inner).extend(directives);
        self.waker.wake();
    }

    pub fn set_clock_ahead_ms(&self, clock_ahead_ms: i64) {
        self.clock_ahead_ms.store(clock_ahead_ms, Ordering::Release);
    }
}

/// Ends the process in words when its thread ends, which none of them does by itself.
struct ExitOnDrop(&'static str);

impl Drop for ExitOnDrop {
    fn drop(&mut self) {
        tracing::error!(thread = self.0, "a thread of the books has ended; so does the process");
        std::process::exit(70);
    }
}

fn spawn(name: &'static str, run: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let guarded = move || {
        let _ends = ExitOnDrop(name);
        run();
    };
    let spawned = std::thread::Builder::new().name(name.to_owned()).spawn(guarded);
    spawned.map(drop).map_err(|error| format!("no thread for the books: {error}"))
}

/// Starts the books. Clocks of the exchange and of the planner's loop count from one instant.
///
/// # Errors
/// What of the store or the address can't be used, in words.
pub fn start(start: StartOptions<'_>, clock: Clock) -> Result<LedgerHandle, String> {
    let (store, persisted) = Store::open(start.state_dir)?;
    let pools = SharedPools::new(&start.settings);
    let exchange =
        Exchange::new(start.settings, start.members, start.incarnation, start.seed, persisted, pools.clone());
    let mut event_loop =
        EventLoop::new(exchange).map_err(|error| format!("books: no poll: {error}"))?.with_clock(clock);
    let words = |error: std::io::Error| format!("books: listen {}: {error}", start.listen);
    event_loop.listen(start.listen, ListenerId(0)).map_err(words)?;
    let waker = event_loop.waker().map_err(|error| format!("books: no waker: {error}"))?;
    let store_waker = waker.clone();
    pools.set_wake_ledger(Box::new(move || store_waker.wake()));
    let directives = Arc::new(Mutex::new(Vec::new()));
    let clock_ahead_ms = Arc::new(AtomicI64::new(start.clock_ahead_ms));
    let durable = Arc::new(Mutex::new(LogPositions::default()));
    let (to_disk, changes) = channel();
    let (store_durable, store_waker) = (durable.clone(), waker.clone());
    spawn("books-store", move || persist_changes(&store, &changes, &store_durable, &store_waker))?;
    let (given, clock_ahead) = (directives.clone(), clock_ahead_ms.clone());
    spawn("books-exchange", move || run_exchange(&mut event_loop, &given, &clock_ahead, &durable, &to_disk))?;
    Ok(LedgerHandle { pools, directives, clock_ahead_ms, waker })
}

/// The store's thread: all that came in while the last group was written is the next one.
fn persist_changes(
    store: &Store,
    changes: &Receiver<(LogChanges, LogPositions)>,
    durable: &Mutex<LogPositions>,
    waker: &Waker,
) {
    while let Ok((mut group, mut last)) = changes.recv() {
        while let Ok((more, reached)) = changes.try_recv() {
            group.extend(more);
            last = last.max(reached);
        }
        // Nothing is told before it is persisted: with a full disk this planner goes on with what it has drawn.
        while let Err(words) = store.persist(&group) {
            tracing::error!(
                words,
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
            tracing::error!(%error, "the books' poll failed");
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
