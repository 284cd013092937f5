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
const STEP: Duration = Duration::from_millis(500);
/// A disk that refuses is tried again after this.
const DISK_RESTS: Duration = Duration::from_millis(500);

/// What the books are started with.
pub struct Start<'a> {
    pub settings: Settings,
    pub members: Vec<Member>,
    pub listen: SocketAddr,
    pub state_dir: &'a Path,
    pub life: u64,
    pub seed: u64,
    /// By how much the time of day is ahead of the system's clock, in milliseconds.
    pub ahead: i64,
}

/// The running threads, as the planner's loop sees them.
pub struct Running {
    pub shelf: Arc<SharedPools>,
    orders: Arc<Mutex<Vec<Directive>>>,
    ahead: Arc<AtomicI64>,
    waker: Waker,
}

impl Running {
    /// Orders from the operators' file, read anew.
    pub fn order(&self, orders: Vec<Directive>) {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner).extend(orders);
        self.waker.wake();
    }

    pub fn set_ahead(&self, ahead: i64) {
        self.ahead.store(ahead, Ordering::Release);
    }
}

/// Ends the process in words when its thread ends, which none of them does by itself.
struct Ends(&'static str);

impl Drop for Ends {
    fn drop(&mut self) {
        tracing::error!(thread = self.0, "a thread of the books has ended; so does the process");
        std::process::exit(70);
    }
}

fn spawn(name: &'static str, run: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let guarded = move || {
        let _ends = Ends(name);
        run();
    };
    let spawned = std::thread::Builder::new().name(name.to_owned()).spawn(guarded);
    spawned.map(drop).map_err(|error| format!("no thread for the books: {error}"))
}

/// Starts the books. Clocks of the exchange and of the planner's loop count from one instant.
///
/// # Errors
/// What of the store or the address can't be used, in words.
pub fn start(start: Start<'_>, clock: Clock) -> Result<Running, String> {
    let (store, kept) = Store::open(start.state_dir)?;
    let shelf = SharedPools::new(&start.settings);
    let exchange = Exchange::new(start.settings, start.members, start.life, start.seed, kept, shelf.clone());
    let mut shell =
        EventLoop::new(exchange).map_err(|error| format!("books: no poll: {error}"))?.with_clock(clock);
    let words = |error: std::io::Error| format!("books: listen {}: {error}", start.listen);
    shell.listen(start.listen, ListenerId(0)).map_err(words)?;
    let waker = shell.waker().map_err(|error| format!("books: no waker: {error}"))?;
    let wakes = waker.clone();
    shelf.wakes_by(Box::new(move || wakes.wake()));
    let orders = Arc::new(Mutex::new(Vec::new()));
    let ahead = Arc::new(AtomicI64::new(start.ahead));
    let durable = Arc::new(Mutex::new(LogPositions::default()));
    let (to_disk, changes) = channel();
    let (is_kept, wakes) = (durable.clone(), waker.clone());
    spawn("books-store", move || keep(&store, &changes, &is_kept, &wakes))?;
    let (given, clock_ahead) = (orders.clone(), ahead.clone());
    spawn("books-exchange", move || run(&mut shell, &given, &clock_ahead, &durable, &to_disk))?;
    Ok(Running { shelf, orders, ahead, waker })
}

/// The store's thread: all that came in while the last group was written is the next one.
fn keep(
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
        // Nothing is told before it is kept: with a full disk this planner goes on with what it has drawn.
        while let Err(words) = store.keep(&group) {
            tracing::error!(
                words,
                "the books can't be written; nothing new is drawn or given until they can"
            );
            std::thread::sleep(DISK_RESTS);
        }
        {
            let mut durable = durable.lock().unwrap_or_else(PoisonError::into_inner);
            *durable = durable.max(last);
        }
        waker.wake();
    }
}

fn run(
    shell: &mut EventLoop<Exchange>,
    orders: &Mutex<Vec<Directive>>,
    ahead: &AtomicI64,
    durable: &Mutex<LogPositions>,
    to_disk: &Sender<(LogChanges, LogPositions)>,
) {
    let mut known = LogPositions::default();
    loop {
        let new = std::mem::take(&mut *orders.lock().unwrap_or_else(PoisonError::into_inner));
        if !new.is_empty() {
            shell.state_machine.order(&new);
        }
        let kept = *durable.lock().unwrap_or_else(PoisonError::into_inner);
        if kept != known {
            known = kept;
            shell.state_machine.is_durable(kept);
        }
        let utc = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        shell.state_machine.set_clock(utc.saturating_add_signed(ahead.load(Ordering::Acquire)));
        if let Err(error) = shell.run_once(STEP) {
            tracing::error!(%error, "the books' poll failed");
            return;
        }
        let changes = shell.state_machine.take_changes();
        if !changes.is_empty() {
            let last = shell.state_machine.last_own(&changes);
            if to_disk.send((changes, last)).is_err() {
                return;
            }
        }
    }
}
