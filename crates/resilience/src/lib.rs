//! What every way in and out needs beside the module: returns that are drawn, the gate before a cold machine,
//! and the knowledge that this process stood still.
//!
//! For: the engine and the platform's party.
//! May not touch: frames, connections, any choice of the module.

pub mod backoff;
mod cold;
mod standstill;

pub use cold::SlowStartGate;
pub use standstill::{HEARTBEAT, PAUSE_THRESHOLD, PauseDetector};
