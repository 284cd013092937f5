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
const FIRST: RetryAfter =
    RetryAfter { min: Duration::from_nanos(500_000_000), max: Duration::from_nanos(1_500_000_000) };

type Wakes = Box<dyn Fn() + Send + Sync>;

/// The tills of all teams.
pub struct SharedPools {
    shards: Vec<Mutex<Vec<ReservationPool>>>,
    /// Somebody was refused since the keeper looked last.
    wanted: AtomicBool,
    told: AtomicBool,
    wakes: OnceLock<Wakes>,
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
        let till = |team: usize| {
            let team = &settings.teams[team];
            let terms = TeamLimits {
                has_cap: team.cap.is_some(),
                has_account: team.account.is_some(),
                ..TeamLimits::default()
            };
            ReservationPool::new(settings.commitment, FIRST, terms)
        };
        let of = |shard: usize| (shard..teams).step_by(shards).map(till);
        Arc::new(Self {
            shards: (0..shards).map(|shard| Mutex::new(of(shard).collect())).collect(),
            wanted: AtomicBool::new(false),
            told: AtomicBool::new(false),
            wakes: OnceLock::new(),
            status: Mutex::new(Vec::new()),
        })
    }

    /// How the keeper is woken when somebody was refused.
    pub fn wakes_by(&self, wakes: Wakes) {
        drop(self.wakes.set(wakes));
    }

    fn till<T>(&self, team: usize, act: impl FnOnce(&mut ReservationPool) -> T) -> T {
        let shard = &self.shards[team % self.shards.len()];
        act(&mut locked(shard)[team / self.shards.len()])
    }

    /// Whether somebody was refused since `take_wanted`.
    pub fn is_wanted(&self) -> bool {
        self.wanted.load(Ordering::Acquire)
    }

    /// Whether somebody was refused since the last call.
    pub fn take_wanted(&self) -> bool {
        self.wanted.swap(false, Ordering::AcqRel)
    }

    /// Whether all machines have told what they hold, since the last call.
    pub fn take_told(&self) -> bool {
        self.told.swap(false, Ordering::AcqRel)
    }

    pub fn set_status(&self, lines: Vec<String>) {
        *locked(&self.status) = lines;
    }

    fn wants(&self) {
        // Once until the keeper has looked: a burst of refusals wakes it once.
        if !self.wanted.swap(true, Ordering::AcqRel)
            && let Some(wakes) = self.wakes.get()
        {
            wakes();
        }
    }
}

impl ReservationPools for &SharedPools {
    fn with_pool(&mut self, team: usize, act: &mut dyn FnMut(&mut ReservationPool)) {
        self.till(team, |till| act(till));
    }
}

/// The planner's side: which team an owner belongs to, what a worker costs, and one lock for each look.
pub struct AdmissionHandle {
    shelf: Arc<SharedPools>,
    teams: BTreeMap<String, u32>,
    prices: Prices,
}

impl AdmissionHandle {
    pub fn new(shelf: Arc<SharedPools>, settings: &Settings) -> Self {
        let tenants = settings
            .teams
            .iter()
            .zip(0..)
            .flat_map(|(team, at)| team.tenants.iter().map(move |tenant| (tenant.to_string(), at)));
        Self { shelf, teams: tenants.collect(), prices: settings.prices }
    }

    /// An owner's tenant is its name up to the first slash.
    fn team(&self, owner: &str) -> Option<u32> {
        self.teams.get(owner.split('/').next().unwrap_or(owner)).copied()
    }
}

impl Quota for AdmissionHandle {
    fn admit(
        &mut self,
        now: Timestamp,
        owner: &str,
        key: TaskKey,
        ask: Resources,
        drawn: f64,
    ) -> Result<Option<Ticket>, Duration> {
        let Some(team) = self.team(owner) else { return Ok(None) };
        let rate = self.prices.rate(ask);
        let answer = self.shelf.till(team as usize, |till| till.admit(now, team, key, rate, drawn));
        if answer.is_err() {
            self.shelf.wants();
        }
        answer.map(Some)
    }

    fn on_never_ran(&mut self, now: Timestamp, ticket: Ticket) {
        self.shelf.till(ticket.team as usize, |till| till.release_unstarted(now, ticket));
    }

    fn on_possible_run(&mut self, now: Timestamp, ticket: Ticket) {
        self.shelf.till(ticket.team as usize, |till| till.charge_commitment(now, ticket));
    }

    fn on_running(&mut self, now: Timestamp, ticket: Ticket) {
        self.shelf.till(ticket.team as usize, |till| till.start(now, ticket));
    }

    fn adopt(&mut self, now: Timestamp, owner: &str, key: TaskKey, ask: Resources) -> Option<Ticket> {
        let team = self.team(owner)?;
        let rate = self.prices.rate(ask);
        Some(self.shelf.till(team as usize, |till| till.adopt(now, team, key, rate)))
    }

    fn on_ended(&mut self, now: Timestamp, ticket: Ticket, comes_again: bool) {
        self.shelf.till(ticket.team as usize, |till| till.end(now, ticket, comes_again));
    }

    fn on_recovery_complete(&mut self, _: Timestamp) {
        self.shelf.told.store(true, Ordering::Release);
    }

    fn status(&self, _: Timestamp) -> Vec<String> {
        locked(&self.shelf.status).clone()
    }
}
