//! The record of one client connection, and its deadlines.

use crate::Settings;
use mulleinhub_interface::Timestamp;
use std::sync::Arc;

/// The part of the keepalive time that is random, so that clients that connected at the same moment are not
/// pinged at the same moment ever after.
const KEEPALIVE_JITTER: f64 = 0.25;

/// No timestamp. An `Option` would take twice the memory, and there are many connections.
pub(crate) const NEVER: Timestamp = Timestamp::from_nanos(u64::MAX);

/// One client connection.
#[derive(Debug)]
pub(crate) struct Connection {
    /// The client's name, once it has identified itself.
    pub name: Option<Arc<str>>,
    pub opened_at: Timestamp,
    pub last_activity: Timestamp,
    /// The first activity after the last silence of at least the steady period.
    pub steady_since: Timestamp,
    /// Since when a part of a frame has been waiting for the rest, or `NEVER`.
    pub partial_since: Timestamp,
    /// When the unanswered ping was sent, or `NEVER`.
    pub pinged_at: Timestamp,
    /// The timestamp of its valid entry in the timer wheel; the real deadline may be later.
    pub wheel_entry: Timestamp,
    pub tasks_in_flight: u32,
    /// It has done something that only a legitimate client does.
    pub legitimate: bool,
    /// Its input waits to be processed.
    pub queued: bool,
}

impl Connection {
    /// A connection opened now, whose wheel entry is at `deadline`.
    pub fn new(now: Timestamp, deadline: Timestamp) -> Self {
        Self {
            name: None,
            opened_at: now,
            last_activity: now,
            steady_since: now,
            partial_since: NEVER,
            pinged_at: NEVER,
            wheel_entry: deadline,
            tasks_in_flight: 0,
            legitimate: false,
            queued: false,
        }
    }

    /// By when its greeting must start. A greeting that has started has the time of a frame. Seen: one that
    /// started late was cut off in the middle.
    pub fn greeting_deadline(&self, settings: &Settings) -> Timestamp {
        match self.name {
            None if self.partial_since == NEVER => self.opened_at + settings.greeting_timeout,
            _ => NEVER,
        }
    }

    /// By when the next input must arrive. `resumed_at`: when this process last continued after a pause.
    pub fn deadline(&self, id: u64, settings: &Settings, resumed_at: Timestamp) -> Timestamp {
        let keepalive = match self.pinged_at {
            pinged_at if pinged_at != NEVER => pinged_at.max(resumed_at) + settings.keepalive_timeout,
            _ => {
                let part = 1.0 - KEEPALIVE_JITTER * jitter(id, self.last_activity);
                self.last_activity + settings.keepalive_time * part
            }
        };
        // Saturates at the end of the clock where there is no partial frame.
        let frame = self.partial_since + settings.frame_timeout;
        keepalive.min(self.greeting_deadline(settings)).min(frame)
    }

    /// Whether a partial frame has been waiting for too long.
    pub fn frame_timed_out(&self, now: Timestamp, settings: &Settings) -> bool {
        self.partial_since != NEVER && self.partial_since + settings.frame_timeout <= now
    }
}

/// A number from 0 to 1 that differs for each silence of each connection: the mixing steps of SplitMix64 over
/// both, so that no random state is kept per connection.
fn jitter(id: u64, last_activity: Timestamp) -> f64 {
    let mut z = id.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ last_activity.nanos();
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
