//! Delays before a planner reconnects to a peer, and between keepalive checks, with jitter.
//!
//! Seen, counted over 120 planners: those that lost a rack or the endpoint list at the same moment
//! reconnected at the same moment, and again at each doubling; those that started together sent keepalives
//! together ever after. So a part of each delay is random, and no delay is longer than it would be without
//! jitter. What can't wait is not delayed: attempts in flight that need a confirmation, and attempts on a
//! machine that has not rejected any.
//!
//! The `random` parameters are uniform numbers from 0 to 1 that the caller draws.

use mulleinhub_interface::Duration;

/// The part of a retry delay that is random.
const RETRY_JITTER: f64 = 0.5;
/// The part of a keepalive interval that is random.
const KEEPALIVE_JITTER: f64 = 0.25;
/// The part of the keepalive timeout between two checks.
const CHECK_PART: f64 = 0.5;
/// A retry delay is doubled at most this often.
const MAX_DOUBLINGS: u32 = 3;

/// The delay before the next attempt after this many consecutive failures: exponential, with jitter.
pub fn retry_delay(initial: Duration, failures: u32, random: f64) -> Duration {
    initial * f64::from(1u32 << failures.min(MAX_DOUBLINGS)) * (1.0 - RETRY_JITTER * random)
}

/// The delay before the reconnect after an established connection was closed, where nothing waits for the
/// peer.
pub fn reconnect_delay(initial: Duration, random: f64) -> Duration {
    initial * random
}

/// The delay from the connection attempt to the first keepalive check: the greeting has the whole timeout.
pub fn first_keepalive_check(timeout: Duration, random: f64) -> Duration {
    timeout + keepalive_check(timeout, random) * CHECK_PART
}

/// The delay from one keepalive check to the next.
pub fn keepalive_check(timeout: Duration, random: f64) -> Duration {
    timeout * CHECK_PART * (1.0 - KEEPALIVE_JITTER * random)
}
