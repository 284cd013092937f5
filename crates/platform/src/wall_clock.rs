//! Instants that the platform tells in Unix time, on the clock of this process.
//!
//! This process counts real time from its start and never again looks at the wall clock for a deadline. What
//! the endpoint list tells of a machine's start is Unix time, though, and the wall clock may have been wrong at
//! the start of this process, or be set while it runs, here or where the list is made. An event of the stream is
//! about the last moments, so a start that lies far from them by both readings counts as of now: the machine
//! warms up for longer than need be, never for too short a time.

use mulleinhub_interface::{Duration, Timestamp};

/// An event of the endpoint stream tells of a start that was no longer ago than this: far longer than the service
/// is away, and far less than a wall clock is set by.
const MAX_LISTING_LAG: Duration = Duration::from_secs(20 * 60);
/// Clocks that are right may differ by this much.
const MAX_SKEW: Duration = Duration::from_secs(1);

/// The wall clock, as far as it is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct WallClock {
    /// The last reading, and the instant of this process's clock at which it was made.
    last_reading: Option<(Timestamp, Timestamp)>,
}

impl WallClock {
    /// The wall clock shows this time now.
    pub fn observe(&mut self, now: Timestamp, unix_time: Timestamp) {
        self.last_reading = Some((now, unix_time));
    }

    /// When a machine started that a list which existed before this process says to have started then. A start
    /// that lies ahead is one of now.
    pub fn start_from_initial_list(&self, now: Timestamp, told: Timestamp) -> Timestamp {
        if told <= now + MAX_SKEW { told } else { now }
    }

    /// When a machine started that an event of the stream says to have started then: as this process's clock
    /// counts from its start, or as the wall clock shows now, whichever is about the present.
    pub fn start_from_event(&self, now: Timestamp, told: Timestamp) -> Timestamp {
        let is_recent = |at: &Timestamp| *at <= now + MAX_SKEW && now - *at <= MAX_LISTING_LAG;
        let by_wall_clock = self.last_reading.map(|(read_at, unix_time)| {
            // What the wall clock is ahead, or behind, of this process's clock.
            let (ahead, behind) = (unix_time - read_at, read_at - unix_time);
            told - ahead + behind
        });
        [Some(told), by_wall_clock].into_iter().flatten().filter(is_recent).max().unwrap_or(now)
    }
}
