//! Discovery: the endpoint list of the platform and its changes, from the configuration and from the stream
//! of the discovery service.

mod endpoints;
mod replacement;
mod watch;

pub use endpoints::{announce_moved, apply_events, apply_initial};
pub use replacement::{MovedTask, move_task};
pub use watch::{EndpointWatch, SILENCE_TIMEOUT};

use crate::state::SchedulerState;
use crate::timers::TimerEvent;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_resilience::backoff;

/// A connection that is not established by then will not be.
const CONNECT_TIMEOUT: Duration = Duration::from_nanos(500_000_000);
/// Delay before the second reconnect; the first one is made at once.
const RECONNECT_DELAY: Duration = Duration::from_nanos(100_000_000);

impl SchedulerState {
    /// Connects to the discovery service, unless that is done or under way.
    pub fn connect_endpoint_watch(&mut self) {
        if self.endpoint_watch.connection.is_some() {
            return;
        }
        let connection_id = self.connections.open(&self.endpoint_watch.address);
        self.endpoint_watch.begin(connection_id, self.now);
        self.timers.schedule(self.now + CONNECT_TIMEOUT, TimerEvent::ConnectTimeout(connection_id));
    }

    /// Bytes of the stream were received.
    pub fn on_endpoint_data(&mut self, now: Timestamp, bytes: &[u8]) {
        if let Err(error) = self.endpoint_watch.receive(now, bytes) {
            self.warn("endpoint stream protocol error; reconnecting", &error.to_string());
            self.restart_endpoint_watch();
        } else if self.endpoint_watch.is_over() {
            self.restart_endpoint_watch();
        }
    }

    /// Ends the stream from this side and connects again.
    pub fn restart_endpoint_watch(&mut self) {
        if let Some(connection_id) = self.endpoint_watch.connection.take() {
            self.connections.abort(connection_id);
            self.reconnect_endpoint_watch();
        }
    }

    /// The stream was closed by the other side, or broke.
    pub fn on_endpoint_watch_closed(&mut self) {
        if self.endpoint_watch.connection.take().is_some() {
            self.reconnect_endpoint_watch();
        }
    }

    /// Connects again: at once, and with backoff where that failed.
    fn reconnect_endpoint_watch(&mut self) {
        let failures = self.endpoint_watch.failures;
        self.endpoint_watch.failures += 1;
        if failures == 0 {
            self.connect_endpoint_watch();
        } else {
            let delay = backoff::retry_delay(RECONNECT_DELAY, failures - 1, self.random.fraction());
            self.timers.schedule(self.now + delay, TimerEvent::ReconnectEndpointWatch);
        }
    }

    /// Goes over to another address; event numbers go on.
    pub fn move_endpoint_watch(&mut self, address: String) {
        if self.endpoint_watch.address == address {
            return;
        }
        self.endpoint_watch.address = address;
        if let Some(connection_id) = self.endpoint_watch.connection.take() {
            self.connections.abort(connection_id);
        }
        self.endpoint_watch.failures = 0;
        self.connect_endpoint_watch();
    }
}
