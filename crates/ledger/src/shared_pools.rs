//! The reservation pools of all teams, shared by the planner's event loop and the exchange thread.
//!
//! The pools are spread over shards, each under its own lock. The event loop admits, starts and ends tasks
//! through an [`AdmissionHandle`]; the exchange credits, withdraws and reads the pools on each ledger tick.

#[cfg(feature = "explored")]
use loom::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicBool, Ordering},
};
use mulleinhub_interface::{Duration, Quota, Resources, TaskKey, Ticket, Timestamp};
use mulleinhub_quota::{Prices, ReservationPool, ReservationPools, RetryAfter, Settings, TeamLimits};
use std::collections::BTreeMap;
use std::sync::OnceLock;
#[cfg(not(feature = "explored"))]
use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicBool, Ordering},
};

/// Number of locks over which the teams are spread.
const SHARDS: usize = 16;
/// Retry-After for requests that are rejected before the ledger has caught up.
const STARTUP_RETRY_AFTER: RetryAfter =
    RetryAfter { min: Duration::from_nanos(500_000_000), max: Duration::from_nanos(1_500_000_000) };

/// Wakes the thread that runs the ledger.
type WakeLedger = Box<dyn Fn() + Send + Sync>;

/// The reservation pools of all teams.
pub struct SharedPools {
    shards: Vec<Mutex<Vec<ReservationPool>>>,
    /// A request was rejected since the ledger's last tick.
    tick_requested: AtomicBool,
    /// All machines have reported what they run; not yet seen by the ledger.
    machines_reported: AtomicBool,
    wake_ledger: OnceLock<WakeLedger>,
    /// Status lines, written by the exchange.
    status: Mutex<Vec<String>>,
}

/// Locks; aborts the process where another thread panicked while it held the lock, as the state that it
/// protects may be inconsistent.
fn locked<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(|_| {
        tracing::error!("a ledger thread panicked while holding a lock; aborting the process");
        std::process::abort()
    })
}

impl SharedPools {
    /// Empty pools for the teams of the settings. They reject all new tasks until the ledger refreshes them.
    pub fn new(settings: &Settings) -> Arc<Self> {
        let teams = settings.teams.len();
        let shards = teams.clamp(1, SHARDS);
        // These limits hold until the directives are known.
        let pool = |team: usize| {
            let team = &settings.teams[team];
            let limits = TeamLimits {
                has_cap: team.cap.is_some(),
                has_account: team.account.is_some(),
                ..TeamLimits::default()
            };
            ReservationPool::new(settings.commitment, STARTUP_RETRY_AFTER, limits)
        };
        let shard_pools = |shard: usize| (shard..teams).step_by(shards).map(pool);
        Arc::new(Self {
            shards: (0..shards).map(|shard| Mutex::new(shard_pools(shard).collect())).collect(),
            tick_requested: AtomicBool::new(false),
            machines_reported: AtomicBool::new(false),
            wake_ledger: OnceLock::new(),
            status: Mutex::new(Vec::new()),
        })
    }

    /// Sets how the ledger's thread is woken when a request was rejected. Later calls have no effect.
    pub fn set_wake_ledger(&self, wake_ledger: WakeLedger) {
        drop(self.wake_ledger.set(wake_ledger));
    }

    /// Runs `act` on a team's pool, under the lock of its shard.
    fn lock_pool<T>(&self, team: usize, act: impl FnOnce(&mut ReservationPool) -> T) -> T {
        let shard = &self.shards[team % self.shards.len()];
        act(&mut locked(shard)[team / self.shards.len()])
    }

    /// Whether a request was rejected since the last [`take_tick_request`](Self::take_tick_request).
    pub fn is_tick_requested(&self) -> bool {
        self.tick_requested.load(Ordering::Acquire)
    }

    /// Whether a request was rejected since the last call.
    pub fn take_tick_request(&self) -> bool {
        self.tick_requested.swap(false, Ordering::AcqRel)
    }

    /// Whether it became known since the last call that all machines have reported what they run.
    pub fn take_machines_reported(&self) -> bool {
        self.machines_reported.swap(false, Ordering::AcqRel)
    }

    /// Replaces the status lines.
    pub fn set_status(&self, lines: Vec<String>) {
        *locked(&self.status) = lines;
    }

    /// Asks the ledger for a tick, as a request was rejected.
    fn request_tick(&self) {
        // Once until the ledger has ticked: a burst of rejections wakes it only once.
        if !self.tick_requested.swap(true, Ordering::AcqRel)
            && let Some(wake_ledger) = self.wake_ledger.get()
        {
            wake_ledger();
        }
    }
}

impl ReservationPools for &SharedPools {
    fn with_pool(&mut self, team: usize, act: &mut dyn FnMut(&mut ReservationPool)) {
        self.lock_pool(team, |pool| act(pool));
    }
}

/// The planner's access to the pools: it maps clients to teams and resources to prices, and takes one lock
/// per call.
pub struct AdmissionHandle {
    pools: Arc<SharedPools>,
    teams: BTreeMap<String, u32>,
    prices: Prices,
}

impl AdmissionHandle {
    /// A handle to these pools; teams, tenants and prices are those of the settings.
    pub fn new(pools: Arc<SharedPools>, settings: &Settings) -> Self {
        let tenants = settings
            .teams
            .iter()
            .zip(0..)
            .flat_map(|(team, at)| team.tenants.iter().map(move |tenant| (tenant.to_string(), at)));
        Self { pools, teams: tenants.collect(), prices: settings.prices }
    }

    /// The team of a client; its tenant is the client's name up to the first slash.
    fn team(&self, client: &str) -> Option<u32> {
        self.teams.get(client.split('/').next().unwrap_or(client)).copied()
    }
}

impl Quota for AdmissionHandle {
    fn admit(
        &mut self,
        now: Timestamp,
        client: &str,
        key: TaskKey,
        request: Resources,
        jitter: f64,
    ) -> Result<Option<Ticket>, Duration> {
        let Some(team) = self.team(client) else { return Ok(None) };
        let rate = self.prices.rate(request);
        let admission = self.pools.lock_pool(team as usize, |pool| pool.admit(now, team, key, rate, jitter));
        if admission.is_err() {
            self.pools.request_tick();
        }
        admission.map(Some)
    }

    fn on_never_ran(&mut self, now: Timestamp, ticket: Ticket) {
        self.pools.lock_pool(ticket.team as usize, |pool| pool.release_unstarted(now, ticket));
    }

    fn on_possible_run(&mut self, now: Timestamp, ticket: Ticket) {
        self.pools.lock_pool(ticket.team as usize, |pool| pool.charge_commitment(now, ticket));
    }

    fn on_running(&mut self, now: Timestamp, ticket: Ticket) {
        self.pools.lock_pool(ticket.team as usize, |pool| pool.start(now, ticket));
    }

    fn adopt(&mut self, now: Timestamp, client: &str, key: TaskKey, request: Resources) -> Option<Ticket> {
        let team = self.team(client)?;
        let rate = self.prices.rate(request);
        Some(self.pools.lock_pool(team as usize, |pool| pool.adopt(now, team, key, rate)))
    }

    fn on_ended(&mut self, now: Timestamp, ticket: Ticket, will_return: bool) {
        self.pools.lock_pool(ticket.team as usize, |pool| pool.end(now, ticket, will_return));
    }

    fn on_recovery_complete(&mut self, _: Timestamp) {
        self.pools.machines_reported.store(true, Ordering::Release);
    }

    fn status(&self, _: Timestamp) -> Vec<String> {
        locked(&self.pools.status).clone()
    }
}
