//! Admission of task requests while the number of tasks in flight is bounded, and the `Retry-After` of those
//! that are rejected.
//!
//! Seen: a job of ten thousand tasks requested at one moment took all places; every other service was
//! rejected without a time to retry after, retried within seconds together with the ten thousand, and so on
//! for as long as the burst lasted.

use mulleinhub_interface::{Duration, Timestamp};
use std::collections::BTreeMap;

/// Below this part of the capacity every request is admitted.
const FREE_PART: f64 = 0.5;
/// Above this part only services below an equal share are admitted, with one share reserved for a service
/// that has none yet. One half was tried: a lone burst then drained at half the speed.
const RESERVED_ABOVE: f64 = 0.875;
/// The shortest time after which a rejected request is to be retried.
const MIN_RETRY_AFTER: Duration = Duration::from_nanos(100_000_000);
/// The longest time after which a rejected request is to be retried.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// The rate of completions is measured over this time.
const RATE_WINDOW: Duration = Duration::from_nanos(250_000_000);
/// The weight of the newest measurement in the smoothed rate.
const RATE_WEIGHT: f64 = 0.5;
/// Before the first completion, all capacity is assumed to be freed within this time.
const ASSUMED_DRAIN_TIME: Duration = Duration::from_secs(1);
/// Retries per place that becomes free: a retry that comes too early is rejected again at little cost, one
/// that comes too late leaves a place unused.
const RETRIES_PER_PLACE: f64 = 2.0;
const NANOS_PER_SECOND: f64 = 1e9;

/// How much of the capacity the client of a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLoad {
    /// Its own tasks in flight.
    pub in_flight: usize,
    /// Clients that have any.
    pub clients: usize,
}

impl ClientLoad {
    /// The only client, as far as the limits are concerned.
    pub const SOLE: Self = Self { in_flight: 0, clients: 0 };

    /// The places that one client may have while they are scarce: an equal share among the clients that have
    /// any, this one and `reserved` more.
    fn is_below_share(&self, capacity: usize, reserved: usize) -> bool {
        let shares = self.clients + usize::from(self.in_flight == 0) + reserved;
        self.in_flight < (capacity / shares.max(1)).max(1)
    }
}

/// Places for tasks in flight, shared among the services that request them, and among the clients.
#[derive(Debug)]
pub struct AdmissionControl {
    capacity: usize,
    in_flight: usize,
    /// Tasks in flight of each service that has any.
    services: BTreeMap<u64, usize>,
    /// Completions in the current window, and when it began.
    completed: usize,
    window_start: Timestamp,
    /// Completions per second, smoothed, once a window has passed.
    rate: Option<f64>,
    /// Places are promised up to this timestamp: each rejection reserves the next one.
    promised_until: Timestamp,
}

impl AdmissionControl {
    /// Admits at most `capacity` tasks at the same time, at least one.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            in_flight: 0,
            services: BTreeMap::new(),
            completed: 0,
            window_start: Timestamp::default(),
            rate: None,
            promised_until: Timestamp::default(),
        }
    }

    /// Changes the capacity; tasks already in flight are not affected.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity.max(1);
    }

    /// Tasks admitted and not released.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Admits a task of this service, or rejects it.
    ///
    /// # Errors
    /// As for [`try_admit_of`](Self::try_admit_of).
    pub fn try_admit(&mut self, now: Timestamp, service: u64) -> Result<(), Duration> {
        self.try_admit_of(now, service, ClientLoad::SOLE)
    }

    /// Admits a task of this service and client, or rejects it. Guards against: one client took all places with
    /// requests of ever new services, each of which was below its share.
    ///
    /// # Errors
    /// The time after which to retry. Requests rejected one after the other are called back one after the
    /// other, at the rate at which places become free, so that they don't retry in step.
    pub fn try_admit_of(&mut self, now: Timestamp, service: u64, client: ClientLoad) -> Result<(), Duration> {
        let of_service = self.services.get(&service).copied().unwrap_or(0);
        let below = |part: f64| (self.in_flight as f64) < self.capacity as f64 * part;
        let has_share = |reserved| {
            of_service < self.fair_share(service, reserved) && client.is_below_share(self.capacity, reserved)
        };
        let is_admitted =
            below(FREE_PART) || (below(RESERVED_ABOVE) && has_share(0)) || (below(1.0) && has_share(1));
        if is_admitted {
            self.in_flight += 1;
            *self.services.entry(service).or_default() += 1;
            return Ok(());
        }
        if has_share(1) {
            // All places are taken by other services; the next ones are for services below their share.
            return Err(MIN_RETRY_AFTER);
        }
        Err(self.reserve_retry(now))
    }

    /// The time after which the next rejected request is to be retried.
    fn reserve_retry(&mut self, now: Timestamp) -> Duration {
        let assumed = self.capacity as f64 / (ASSUMED_DRAIN_TIME.nanos() as f64 / NANOS_PER_SECOND);
        let rate = self.rate.unwrap_or(assumed).max(1.0) * RETRIES_PER_PLACE;
        let gap = Duration::from_nanos((NANOS_PER_SECOND / rate) as u64);
        let latest = now + MAX_RETRY_AFTER;
        self.promised_until = (self.promised_until.max(now + MIN_RETRY_AFTER) + gap).min(latest);
        self.promised_until - now
    }

    /// The places that one service may have while they are scarce: an equal share among the services that
    /// have any, this one and `reserved` more.
    fn fair_share(&self, service: u64, reserved: usize) -> usize {
        let shares = self.services.len() + usize::from(!self.services.contains_key(&service)) + reserved;
        (self.capacity / shares).max(1)
    }

    /// Releases the place of a task of this service that has its final outcome.
    ///
    /// # Panics
    /// If no task of this service is in flight.
    pub fn release(&mut self, now: Timestamp, service: u64) {
        self.in_flight = self.in_flight.checked_sub(1).expect("each release follows an admission");
        let count = self.services.get_mut(&service).expect("the service has a task in flight");
        *count -= 1;
        if *count == 0 {
            self.services.remove(&service);
        }
        self.completed += 1;
        let elapsed = now - self.window_start;
        if elapsed >= RATE_WINDOW {
            let newest = self.completed as f64 / (elapsed.nanos() as f64 / NANOS_PER_SECOND);
            let before = self.rate.unwrap_or(newest);
            self.rate = Some(before + (newest - before) * RATE_WEIGHT);
            (self.completed, self.window_start) = (0, now);
        }
    }
}
