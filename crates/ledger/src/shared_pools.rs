//! Where the planner's loop and the keeper of the books meet: the tills, in shards each under its own lock.

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

/// Teams are spread over so many locks.
const SHARDS: usize = 16;
/// Before the books are known, whoever asks is to come again soon.
const STARTUP_RETRY_AFTER: RetryAfter =
    RetryAfter { min: Duration::from_nanos(500_000_000), max: Duration::from_nanos(1_500_000_000) };

type WakeLedger = Box<dyn Fn() + Send + Sync>;

/// The tills of all teams.
pub struct SharedPools {
    shards: Vec<Mutex<Vec<ReservationPool>>>,
    /// Somebody was refused since the keeper looked last.
    tick_requested: AtomicBool,
    machines_reported: AtomicBool,
    wake_ledger: OnceLock<WakeLedger>,
    status: Mutex<Vec<String>>,
}

/// A thread that died while it changed what others rely on: nothing can be made of that, so the process ends.
fn locked<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(|_| {
        tracing::error!("a thread of the books died with a lock in its hand; the process ends");
        std::process::abort()
    })
}

impl SharedPools {
    pub fn new(settings: &Settings) -> Arc<Self> {
        let teams = settings.teams.len();
        let shards = teams.clamp(1, SHARDS);
        // Until orders are known, what the settings say.
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

    /// How the keeper is woken when somebody was refused.
    pub fn set_wake_ledger(&self, wake_ledger: WakeLedger) {
        drop(self.wake_ledger.set(wake_ledger));
    }

    fn lock_pool<T>(&self, team: usize, act: impl FnOnce(&mut ReservationPool) -> T) -> T {
        let shard = &self.shards[team % self.shards.len()];
        act(&mut locked(shard)[team / self.shards.len()])
    }

    /// Whether somebody was refused since `take_tick_request`.
    pub fn is_tick_requested(&self) -> bool {
        self.tick_requested.load(Ordering::Acquire)
    }

    /// Whether somebody was refused since the last call.
    pub fn take_tick_request(&self) -> bool {
        self.tick_requested.swap(false, Ordering::AcqRel)
    }

    /// Whether all machines have told what they hold, since the last call.
    pub fn take_machines_reported(&self) -> bool {
        self.machines_reported.swap(false, Ordering::AcqRel)
    }

    pub fn set_status(&self, lines: Vec<String>) {
        *locked(&self.status) = lines;
    }

    fn request_tick(&self) {
        // Once until the keeper has looked: a burst of refusals wake_ledger it once.
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

/// The planner's side: which team an client belongs to, what a worker costs, and one lock for each look.
pub struct AdmissionHandle {
    pools: Arc<SharedPools>,
    teams: BTreeMap<String, u32>,
    prices: Prices,
}

impl AdmissionHandle {
    pub fn new(pools: Arc<SharedPools>, settings: &Settings) -> Self {
        let tenants = settings
            .teams
            .iter()
            .zip(0..)
            .flat_map(|(team, at)| team.tenants.iter().map(move |tenant| (tenant.to_string(), at)));
        Self { pools, teams: tenants.collect(), prices: settings.prices }
    }

    /// An client's tenant is its name up to the first slash.
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
        let answer = self.pools.lock_pool(team as usize, |pool| pool.admit(now, team, key, rate, jitter));
        if answer.is_err() {
            self.pools.request_tick();
        }
        answer.map(Some)
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
