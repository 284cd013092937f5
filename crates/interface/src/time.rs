//! Points in time and durations: two types, so that one cannot be used in place of the other.
//!
//! Both count nanoseconds and both serve for real and for virtual clocks. Arithmetic saturates instead of
//! overflowing.

use std::ops::{Add, Mul, Sub};

/// A point in time, in nanoseconds of the caller's clock.
///
/// ```
/// use mulleinhub_interface::{Duration, Timestamp};
/// let start = Timestamp::from_nanos(5_000);
/// assert_eq!(start + Duration::from_nanos(10) - start, Duration::from_nanos(10));
/// assert_eq!(start - (start + Duration::from_nanos(10)), Duration::ZERO, "a clock that jumps back");
/// ```
/// ```compile_fail
/// # use mulleinhub_interface::Timestamp;
/// let wrong = Timestamp::from_nanos(1) + Timestamp::from_nanos(1);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(u64);

/// A length of time, in nanoseconds, never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Duration(u64);

impl Timestamp {
    /// The point in time `nanos` nanoseconds after the clock's zero.
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// Nanoseconds since the clock's zero.
    pub const fn nanos(self) -> u64 {
        self.0
    }
}

impl Duration {
    /// No time at all.
    pub const ZERO: Self = Self(0);

    /// A duration of `nanos` nanoseconds.
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// A duration of `secs` seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000_000_000))
    }

    /// The length in nanoseconds.
    pub const fn nanos(self) -> u64 {
        self.0
    }

    /// How many times `other` fits into this duration. A zero `other` counts as one nanosecond.
    pub fn ratio_to(self, other: Self) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }

    /// An exponential moving average: this duration moved towards `sample` by `weight` (0 to 1) of the
    /// distance. A zero duration stands for no average yet and is replaced by the sample.
    pub fn moved_towards(self, sample: Self, weight: f64) -> Self {
        if self == Self::ZERO { sample } else { self * (1.0 - weight) + sample * weight }
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;
    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(duration.0))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;
    fn sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(duration.0))
    }
}

impl Sub for Timestamp {
    type Output = Duration;
    fn sub(self, earlier: Timestamp) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Duration {
    type Output = Duration;
    fn add(self, other: Duration) -> Duration {
        Duration(self.0.saturating_add(other.0))
    }
}

impl Sub for Duration {
    type Output = Duration;
    fn sub(self, other: Duration) -> Duration {
        Duration(self.0.saturating_sub(other.0))
    }
}

impl Mul<f64> for Duration {
    type Output = Duration;
    fn mul(self, factor: f64) -> Duration {
        Duration((self.0 as f64 * factor) as u64)
    }
}
