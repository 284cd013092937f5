//! A connection to another scheduler: its state, and what its peer knows.

use super::cursor::LogCursor;
use super::directives::DirectiveCursor;
use super::heartbeat::HeartbeatCursor;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_protocol::Frames;
use mulleinhub_replicated_log::{LOG_KINDS, LogKind, Name};

/// Longest wait for the handshake on a new connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// A connection that we opened to a member that is not a neighbor is closed when unused for this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// It stays open for at most this much longer while requested entries are outstanding.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// A connection without received data for this many heartbeat intervals counts as dead.
const DEAD_INTERVALS: f64 = 4.0;
/// A connection with received data within this many heartbeat intervals is responsive.
const RESPONSIVE_INTERVALS: f64 = 1.5;
/// A connection that is being opened counts as responsive for this long.
const OPENING_GRACE_PERIOD: Duration = Duration::from_nanos(500_000_000);

/// A connection to another scheduler.
#[derive(Debug, Default)]
pub(super) struct Peer {
    /// The member at the other end, once it is known.
    pub(super) name: Option<Name>,
    /// We opened the connection.
    pub(super) opened_by_us: bool,
    /// The handshake is complete.
    pub(super) established: bool,
    /// Bytes received and not yet decoded.
    pub(super) frames: Frames,
    /// When the connection was opened.
    pub(super) opened_at: Timestamp,
    /// When the last message was received.
    pub(super) received_at: Timestamp,
    /// When the connection last served for more than keep-alives.
    pub(super) used_at: Timestamp,
    /// Replication of the fleet log: the logs that all members copy.
    pub(super) fleet: LogCursor,
    /// It reads work logs, by its handshake.
    pub(super) reads_work_logs: bool,
    /// Replication of work logs: ours, where the peer is a replica of it, and its own.
    pub(super) work: LogCursor,
    /// Number of the last entry of our own work log that the peer has, by what we served and what it
    /// announced.
    pub(super) own_work_entries: u64,
    /// What the peer knows of the members' heartbeats.
    pub(super) heartbeats: HeartbeatCursor,
    /// What the peer knows of the operators' directives.
    pub(super) directives: DirectiveCursor,
    /// The peer announced that it closes the connection: that is no reason to suspect it.
    pub(super) announced_close: bool,
}

impl Peer {
    /// A connection that the peer opened.
    pub(super) fn accepted(now: Timestamp) -> Self {
        Self { opened_at: now, received_at: now, used_at: now, ..Self::default() }
    }

    /// A connection that we open to a member.
    pub(super) fn opening(now: Timestamp, name: Name) -> Self {
        Self { name: Some(name), opened_by_us: true, ..Self::accepted(now) }
    }

    /// Replication of a kind of logs.
    pub(super) fn cursor(&self, kind: LogKind) -> &LogCursor {
        match kind {
            LogKind::Fleet => &self.fleet,
            LogKind::Work => &self.work,
        }
    }

    /// Replication of a kind of logs.
    pub(super) fn cursor_mut(&mut self, kind: LogKind) -> &mut LogCursor {
        match kind {
            LogKind::Fleet => &mut self.fleet,
            LogKind::Work => &mut self.work,
        }
    }

    /// Whether the peer has announced all its heads, and none is ahead of ours, work logs included.
    pub(super) fn is_exhausted(&self) -> bool {
        self.fleet.is_exhausted() && !self.work.is_ahead()
    }

    /// Whether the peer is this member, as far as is known.
    pub(super) fn is(&self, name: &Name) -> bool {
        self.name.as_ref() == Some(name)
    }

    /// Whether nothing was received for so long that the connection counts as dead, or the handshake timed
    /// out.
    pub(super) fn is_dead(&self, now: Timestamp, heartbeat_interval: Duration) -> bool {
        match self.established {
            true => now - self.received_at > heartbeat_interval * DEAD_INTERVALS,
            false => now - self.opened_at > HANDSHAKE_TIMEOUT,
        }
    }

    /// Whether something was received lately, or the connection was just opened.
    pub(super) fn is_responsive(&self, now: Timestamp, heartbeat_interval: Duration) -> bool {
        match self.established {
            true => now - self.received_at <= heartbeat_interval * RESPONSIVE_INTERVALS,
            false => now - self.opened_at <= OPENING_GRACE_PERIOD,
        }
    }

    /// Whether we opened the connection, it was unused for long, and no entries are outstanding.
    pub(super) fn is_idle(&self, now: Timestamp) -> bool {
        let unused = now - self.used_at;
        let is_unused = self.opened_by_us && self.established && unused > IDLE_TIMEOUT;
        is_unused && (!self.awaits_entries(now) || unused > IDLE_TIMEOUT + ANSWER_TIMEOUT)
    }

    /// Whether entries were requested and the request has not timed out.
    fn awaits_entries(&self, now: Timestamp) -> bool {
        LOG_KINDS.into_iter().any(|kind| self.cursor(kind).pending_log(now).is_some())
    }

    /// This process was paused: the silence of that time doesn't count.
    pub(super) fn on_process_pause(&mut self, pause: Duration) {
        self.received_at = self.received_at + pause;
        self.opened_at = self.opened_at + pause;
    }
}
