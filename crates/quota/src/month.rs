//! Months, in the zone that the settings name.

use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan, civil};

/// A month: twelve times its year, and its place in it from 0; its ends are in milliseconds of Unix time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Month {
    pub number: u32,
    pub begins: u64,
    pub ends: u64,
}

/// The calendar by which caps count.
#[derive(Clone, Debug)]
pub struct Months(TimeZone);

impl Months {
    /// # Errors
    /// Where there is no such zone.
    pub fn of_zone(name: &str) -> Result<Self, String> {
        TimeZone::get(name).map(Self).map_err(|error| error.to_string())
    }

    /// The month of an instant, in milliseconds of Unix time.
    pub fn at(&self, utc: u64) -> Month {
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

    /// An instant as settings and days write it, `2026-10-31T23:59:40`, on the clocks of the zone.
    ///
    /// # Errors
    /// Where it is none.
    pub fn instant(&self, text: &str) -> Result<u64, String> {
        let civil: civil::DateTime = text.parse().map_err(|error: jiff::Error| error.to_string())?;
        let zoned = civil.to_zoned(self.0.clone()).map_err(|error| error.to_string())?;
        u64::try_from(zoned.timestamp().as_millisecond()).map_err(|_| "a time before 1970".into())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn months_end_by_the_clocks_of_their_zone() {
        let months = Months::of_zone("Africa/Windhoek").expect("there is such a zone");
        let last = months.instant("2026-10-31T23:59:59").expect("an instant");
        let month = months.at(last);
        assert_eq!((month.number, month.ends), (2026 * 12 + 9, last + 1_000));
        let next = months.at(month.ends);
        assert_eq!((next.number, next.begins), (month.number + 1, month.ends));
        // 22:00 in UTC is midnight there.
        assert_eq!(month.ends % 86_400_000, 22 * 3_600_000);
        let december = months.instant("2026-12-15T00:00:00").expect("an instant");
        assert_eq!(months.at(months.at(december).ends).number, 2027 * 12);
        assert!(Months::of_zone("Africa/Nowhere").is_err() && months.instant("soon").is_err());
    }
}
