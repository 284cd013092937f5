//! A connection to another scheduler: its state, and what its peer knows.

use super::cursor::LogCursor;
use super::directives::DirectiveCursor;
use super::heartbeat::HeartbeatCursor;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_protocol::Frames;
use mulleinhub_replicated_log::{LOG_KINDS, LogKind, Name};

/// Longest wait for the greeting on a new connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// A connection of ours to somebody who is no neighbor ends once it was not used for so long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// It stays for so long at the most until rows come that were asked for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// A connection on which nothing came for so many heartbeat intervals is taken for dead.
const DEAD_INTERVALS: f64 = 4.0;
/// A connection on which something came within so many heartbeat intervals is lively.
const RESPONSIVE_INTERVALS: f64 = 1.5;
/// A connection that is being opened is lively for so long.
const OPENING_GRACE_PERIOD: Duration = Duration::from_nanos(500_000_000);

/// A connection to another scheduler.
#[derive(Debug, Default)]
pub(super) struct Peer {
    /// The member at the other end, once it is known.
    pub(super) name: Option<Name>,
    /// We opened the connection.
    pub(super) opened_by_us: bool,
    /// Both have said who they are.
    pub(super) established: bool,
    /// Bytes that came and are not yet decoded.
    pub(super) frames: Frames,
    /// When the connection was opened.
    pub(super) opened_at: Timestamp,
    /// When the last message came.
    pub(super) received_at: Timestamp,
    /// When the connection last served for more than signs of life.
    pub(super) used_at: Timestamp,
    /// Replication of the fleet log: the logs that all members copy.
    pub(super) fleet: LogCursor,
    /// It reads work logs, by its greeting.
    pub(super) reads_work_logs: bool,
    /// Replication of work logs: ours, where the peer is a replica of it, and its own.
    pub(super) work: LogCursor,
    /// Of our own work log the peer has the rows up to this one, as far as we served them or it told.
    pub(super) own_work_entries: u64,
    /// What the peer knows of the members' heartbeats.
    pub(super) heartbeats: HeartbeatCursor,
    /// What the peer knows of the operators' orders.
    pub(super) directives: DirectiveCursor,
    /// It said that it ends the connection: that is no sign that it is gone.
    pub(super) announced_close: bool,
}

impl Peer {
    /// A connection that somebody opened to us.
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

    /// The peer has told all that it has, and nothing of it is ahead of ours, of work logs either.
    pub(super) fn is_exhausted(&self) -> bool {
        self.fleet.is_exhausted() && !self.work.is_ahead()
    }

    /// The other end is this member, as far as is known.
    pub(super) fn is(&self, name: &Name) -> bool {
        self.name.as_ref() == Some(name)
    }

    /// Nothing came for so long that the connection is taken for dead, or the greeting didn't come.
    pub(super) fn is_dead(&self, now: Timestamp, heartbeat_interval: Duration) -> bool {
        match self.established {
            true => now - self.received_at > heartbeat_interval * DEAD_INTERVALS,
            false => now - self.opened_at > HANDSHAKE_TIMEOUT,
        }
    }

    /// Something came lately, or the connection was opened a moment ago.
    pub(super) fn is_responsive(&self, now: Timestamp, heartbeat_interval: Duration) -> bool {
        match self.established {
            true => now - self.received_at <= heartbeat_interval * RESPONSIVE_INTERVALS,
            false => now - self.opened_at <= OPENING_GRACE_PERIOD,
        }
    }

    /// A connection of ours that is up and was not used for long, and on which no rows are to come.
    pub(super) fn is_idle(&self, now: Timestamp) -> bool {
        let unused = now - self.used_at;
        let is_unused = self.opened_by_us && self.established && unused > IDLE_TIMEOUT;
        is_unused && (!self.awaits_entries(now) || unused > IDLE_TIMEOUT + ANSWER_TIMEOUT)
    }

    /// The peer was asked for rows, and the answer can still be expected.
    fn awaits_entries(&self, now: Timestamp) -> bool {
        LOG_KINDS.into_iter().any(|kind| self.cursor(kind).pending_log(now).is_some())
    }

    /// This process was paused: what was silent meanwhile may have spoken.
    pub(super) fn on_process_pause(&mut self, pause: Duration) {
        self.received_at = self.received_at + pause;
        self.opened_at = self.opened_at + pause;
    }
}
