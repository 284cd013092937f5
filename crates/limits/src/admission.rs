//! Which asks are taken where work in hand is bounded, and how long the others are told to stay away.
//!
//! Met: a job of ten thousand tasks wanted at one instant took all the room in hand; every other service was
//! nacked with no word of when to come again, came again within seconds together with the ten thousand, and
//! so on for as long as the burst lasted.

use mulleinhub_interface::{Duration, Timestamp};
use std::collections::BTreeMap;

/// Below this part of the most, whoever asks is taken: there is nothing to share out.
const FREE_PART: f64 = 0.5;
/// Above this part only those with less than an equal part are taken, one part counted for whoever comes
/// next. Half in its place was tried: a burst alone then drained at half the pace.
const KEPT_ABOVE: f64 = 0.875;
/// A nacked one is told to stay away for this at the least and at the most.
const LEAST_AWAY: Duration = Duration::from_nanos(100_000_000);
const MOST_AWAY: Duration = Duration::from_secs(10);
/// How fast work drains is measured over spans of this, and smoothed by this weight of the newest.
const MEASURE: Duration = Duration::from_nanos(250_000_000);
const NEWEST: f64 = 0.5;
/// Before anything has drained, the most in hand is taken to drain within this.
const FIRST_GUESS: Duration = Duration::from_secs(1);
/// So many are called back for each place that comes free: one who comes too early is nacked again at little
/// cost, and one who comes too late leaves a place empty.
const CALLED: f64 = 2.0;

/// What asks wait for: room in hand, shared among the services that want it.
#[derive(Debug)]
pub struct Admission {
    most: usize,
    in_hand: usize,
    services: BTreeMap<u64, usize>,
    /// Final answers in the present span of measuring, and answers a second before.
    drained: usize,
    since: Timestamp,
    rate: Option<f64>,
    /// Room is promised up to this instant: each nack books the next place.
    booked: Timestamp,
}

impl Admission {
    pub fn new(most: usize) -> Self {
        Self {
            most: most.max(1),
            in_hand: 0,
            services: BTreeMap::new(),
            drained: 0,
            since: Timestamp::default(),
            rate: None,
            booked: Timestamp::default(),
        }
    }

    pub fn change(&mut self, most: usize) {
        self.most = most.max(1);
    }

    pub fn in_hand(&self) -> usize {
        self.in_hand
    }

    /// Whether a task of this service is taken now.
    ///
    /// # Errors
    /// For how long it is to stay away. Those nacked one after the other are called back one after the other,
    /// at the pace at which room comes free, so that they do not come back in step.
    pub fn ask(&mut self, now: Timestamp, service: u64) -> Result<(), Duration> {
        let of_service = self.services.get(&service).copied().unwrap_or(0);
        let under = |part: f64| (self.in_hand as f64) < self.most as f64 * part;
        let takes = under(FREE_PART)
            || (under(KEPT_ABOVE) && of_service < self.share(service, 0))
            || (under(1.0) && of_service < self.share(service, 1));
        if takes {
            self.in_hand += 1;
            *self.services.entry(service).or_default() += 1;
            return Ok(());
        }
        if of_service < self.share(service, 1) {
            // All room is taken by others; what comes free next is for such as this.
            return Err(LEAST_AWAY);
        }
        let guess = self.most as f64 / (FIRST_GUESS.nanos() as f64 / 1e9);
        let rate = self.rate.unwrap_or(guess).max(1.0) * CALLED;
        let gap = Duration::from_nanos((1e9 / rate) as u64);
        let latest = now + MOST_AWAY;
        self.booked = (self.booked.max(now + LEAST_AWAY) + gap).min(latest);
        Err(self.booked - now)
    }

    /// The room in hand that one service may have while it is scarce: an equal part for each that has some,
    /// and for so many more.
    fn share(&self, service: u64, more: usize) -> usize {
        let parts = self.services.len() + usize::from(!self.services.contains_key(&service)) + more;
        (self.most / parts).max(1)
    }

    /// A task of this service has had its final answer.
    pub fn done(&mut self, now: Timestamp, service: u64) {
        self.in_hand = self.in_hand.checked_sub(1).expect("an answer for each that was taken");
        let count = self.services.get_mut(&service).expect("a service with a task in hand");
        *count -= 1;
        if *count == 0 {
            self.services.remove(&service);
        }
        self.drained += 1;
        let span = now - self.since;
        if span >= MEASURE {
            let newest = self.drained as f64 / (span.nanos() as f64 / 1e9);
            let before = self.rate.unwrap_or(newest);
            self.rate = Some(before + (newest - before) * NEWEST);
            (self.drained, self.since) = (0, now);
        }
    }
}
