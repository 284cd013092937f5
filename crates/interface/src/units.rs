//! A point in time and a span between two of them: two types, so that one can't stand in for the other.

use std::ops::{Add, Mul, Sub};

/// A point in time, in nanoseconds of the caller's clock.
///
/// ```
/// use mulleinhub_interface::{Span, Time};
/// let start = Time::from_nanos(5_000);
/// assert_eq!(start + Span::from_nanos(10) - start, Span::from_nanos(10));
/// assert_eq!(start - (start + Span::from_nanos(10)), Span::ZERO, "a clock that jumps back gives no span");
/// ```
/// ```compile_fail
/// let wrong = mulleinhub_interface::Time::from_nanos(1) + mulleinhub_interface::Time::from_nanos(1);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(u64);

/// A span of time, in nanoseconds, never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Duration(u64);

impl Timestamp {
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    pub const fn nanos(self) -> u64 {
        self.0
    }
}

impl Duration {
    pub const ZERO: Self = Self(0);

    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000_000_000))
    }

    pub const fn nanos(self) -> u64 {
        self.0
    }

    /// How many times the other span this one is.
    pub fn over(self, other: Self) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }

    /// This span moved toward `other` by a part of the way; all of it where there was no span yet.
    pub fn toward(self, other: Self, part: f64) -> Self {
        if self == Self::ZERO { other } else { self * (1.0 - part) + other * part }
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;
    fn add(self, span: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(span.0))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;
    fn sub(self, span: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(span.0))
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
