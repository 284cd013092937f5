//! Wakes an event loop from another thread.

use std::sync::Arc;

/// Ends the wait of an event loop's current or next iteration; can be used from any thread.
#[derive(Clone, Debug)]
pub struct Waker(pub(crate) Arc<mio::Waker>);

impl Waker {
    /// Wakes the event loop; does nothing where the loop no longer exists.
    pub fn wake(&self) {
        // An event loop that was dropped has nothing to be woken for.
        let _ = self.0.wake();
    }
}
