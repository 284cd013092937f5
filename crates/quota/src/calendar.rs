//! The calendar months by which caps count, in the time zone of the settings.

use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan, civil};
use std::fmt;

/// A calendar month.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Month {
    /// Twelve times the year plus the month of the year, counted from 0.
    pub number: u32,
    /// The first instant of the month, in milliseconds of Unix time.
    pub begins: u64,
    /// The first instant of the next month, in milliseconds of Unix time.
    pub ends: u64,
}

/// Why a calendar or an instant could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CalendarError {
    /// There is no such time zone.
    UnknownZone(String),
    /// The text is no date and time, or does not exist in the zone.
    InvalidInstant(String),
    /// The instant is before 1970.
    BeforeUnixEpoch,
}

impl fmt::Display for CalendarError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownZone(reason) | Self::InvalidInstant(reason) => f.write_str(reason),
            Self::BeforeUnixEpoch => f.write_str("a time before 1970"),
        }
    }
}

impl std::error::Error for CalendarError {}

/// The calendar of a time zone.
#[derive(Clone, Debug)]
pub struct Calendar(TimeZone);

impl Calendar {
    /// The calendar of a time zone, by its IANA name.
    ///
    /// # Errors
    /// [`CalendarError::UnknownZone`] where there is no such zone.
    pub fn in_zone(name: &str) -> Result<Self, CalendarError> {
        TimeZone::get(name).map(Self).map_err(|error| CalendarError::UnknownZone(error.to_string()))
    }

    /// The month of an instant, given in milliseconds of Unix time.
    pub fn month_at(&self, utc: u64) -> Month {
        let instant = i64::try_from(utc).ok().and_then(|ms| Timestamp::from_millisecond(ms).ok());
        let date = instant.unwrap_or(Timestamp::UNIX_EPOCH).to_zoned(self.0.clone()).date();
        let first = date.first_of_month();
        let midnight = |date: civil::Date| {
            let zoned = date.to_zoned(self.0.clone()).ok()?;
            u64::try_from(zoned.timestamp().as_millisecond()).ok()
        };
        Month {
            number: date.year() as u32 * 12 + date.month() as u32 - 1,
            begins: midnight(first).unwrap_or(0),
            ends: first.checked_add(1.month()).ok().and_then(midnight).unwrap_or(u64::MAX),
        }
    }

    /// Reads a local date and time of the zone, such as `2026-10-31T23:59:40`, as milliseconds of Unix time.
    ///
    /// # Errors
    /// [`CalendarError::InvalidInstant`] where it is none, [`CalendarError::BeforeUnixEpoch`] where it is
    /// too early.
    pub fn parse_instant(&self, text: &str) -> Result<u64, CalendarError> {
        let invalid = |error: jiff::Error| CalendarError::InvalidInstant(error.to_string());
        let civil: civil::DateTime = text.parse().map_err(invalid)?;
        let zoned = civil.to_zoned(self.0.clone()).map_err(invalid)?;
        u64::try_from(zoned.timestamp().as_millisecond()).map_err(|_| CalendarError::BeforeUnixEpoch)
    }
}

#[cfg(test)]
mod tests;
