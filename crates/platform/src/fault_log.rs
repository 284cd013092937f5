//! Rate-limited warnings about faults of peers.

use mulleinhub_interface::{Duration, Timestamp};

/// Faults that are logged within one window.
const MAX_LOGGED: u32 = 5;
/// Length of the window.
const WINDOW: Duration = Duration::from_secs(1);

/// Logs the first few faults of each second, so that broken peers can't flood the log.
#[derive(Debug, Default)]
pub struct FaultLog {
    window_start: Timestamp,
    faults_in_window: u32,
}

impl FaultLog {
    /// Logs a warning, unless too many were logged within this second.
    pub fn warn(&mut self, now: Timestamp, message: &str, error: &str) {
        if now - self.window_start >= WINDOW {
            (self.window_start, self.faults_in_window) = (now, 0);
        }
        self.faults_in_window += 1;
        if self.faults_in_window <= MAX_LOGGED {
            tracing::warn!(error, "{message}");
        }
    }
}
