//! The settings of the limits on client connections.

use mulleinhub_interface::Duration;

/// Limits and timeouts of client connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Client connections open at the same time.
    pub max_connections: usize,
    /// Connections of one tenant: of all names that are equal up to their first slash.
    pub max_per_tenant: usize,
    /// Connections of one client name.
    pub max_per_name: usize,
    /// Connections whose peer has not identified itself.
    pub max_unidentified: usize,
    /// Connections accepted in one event-loop iteration.
    pub max_accepts_per_iteration: usize,
    /// A connection without the start of a greeting after this time is closed.
    pub greeting_timeout: Duration,
    /// A connection whose frame is incomplete after this time is closed.
    pub frame_timeout: Duration,
    /// A connection is pinged after at most this much silence.
    pub keepalive_time: Duration,
    /// A pinged connection without an answer after this time is closed.
    pub keepalive_timeout: Duration,
    /// A connection is steady once it has been active for this time without a silence of the same length.
    /// Input of steady connections is processed first; that of the others is queued.
    pub steady_period: Duration,
    /// An idle connection isn't evicted before this time has passed since its last activity, and while an
    /// unidentified one would have to be evicted sooner after its opening, none is accepted: what was sent
    /// with the connection is still on its way. Seen: of a hundred clients that connected at once and sent
    /// requests, some were disconnected before their requests were read.
    pub eviction_grace: Duration,
    /// Queued connections processed in one event-loop iteration; also the steady connections of one tenant
    /// that are processed without queueing.
    pub max_queued_per_iteration: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_connections: 100_000,
            max_per_tenant: 50_000,
            max_per_name: 1_000,
            max_unidentified: 10_000,
            max_accepts_per_iteration: 256,
            greeting_timeout: Duration::from_secs(5),
            frame_timeout: Duration::from_secs(10),
            keepalive_time: Duration::from_secs(60),
            keepalive_timeout: Duration::from_secs(10),
            steady_period: Duration::from_secs(5),
            eviction_grace: Duration::ZERO,
            max_queued_per_iteration: 256,
        }
    }
}
