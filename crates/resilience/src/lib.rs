//! Protection against thundering herds, slow machines and pauses of this process.
//!
//! [`backoff`] computes reconnect and keepalive delays with jitter; [`SlowStartGate`] holds back task offers
//! to a machine in slow start whose connection is stalled; [`PauseDetector`] notices that this process itself
//! was paused. The engine and the platform use all three. The crate performs no I/O, has no clock and makes
//! no placement decision.

#![warn(missing_docs)]

pub mod backoff;
mod pause_detector;
mod slow_start;

pub use pause_detector::{MAX_POLL_INTERVAL, PAUSE_THRESHOLD, PauseDetector};
pub use slow_start::SlowStartGate;
