//! When a planner comes back to a peer that it lost, or asks one for a sign of life.
//!
//! Met, counted over 120 planners: whoever learnt of a lost rack or list at one instant came back at one
//! instant, and again at each doubling; whoever started together asked for signs of life together for ever
//! after. So a part of each wait is drawn, and no wait between tries is longer than it would be undrawn. What
//! can't wait doesn't: open sends that want a proof, and sends to a machine that has not refused.

use mulleinhub_interface::Duration;

/// The part of a wait between tries that is drawn.
const TRY: f64 = 0.5;
/// And of that between two looks for signs of life.
const LOOK: f64 = 0.25;
/// Waits double so often at the most.
const DOUBLINGS: u32 = 3;

/// How long to wait after so many tries that failed; `drawn` is a part of a whole, by chance.
pub fn after_failures(first: Duration, failures: u32, drawn: f64) -> Duration {
    first * f64::from(1u32 << failures.min(DOUBLINGS)) * (1.0 - TRY * drawn)
}

/// How long after a connection that was up has ended, where nothing waits for what the other side tells.
pub fn after_end(first: Duration, drawn: f64) -> Duration {
    first * drawn
}

/// From the asking for a connection to the first look for signs of life: a greeting has all the silence.
pub fn first_sign(silence: Duration, drawn: f64) -> Duration {
    silence + sign(silence, drawn) * 0.5
}

/// From one look for signs of life to the next.
pub fn sign(silence: Duration, drawn: f64) -> Duration {
    silence * 0.5 * (1.0 - LOOK * drawn)
}
