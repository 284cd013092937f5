//! Replication of work logs: each member's goes to its replicas alone, and back to itself when it restarts.
//!
//! The writer tells the head of its own work log to its replicas, which are neighbors for as long as they
//! are replicas. Whoever holds a copy of somebody's work log tells its head to that member, and to nobody
//! else: one that restarts learns from it what its earlier lives wrote. Requests and rows are those of the
//! fleet logs.

use super::cursor::NewHeads;
use super::replication::head_message;
use super::{Exchange, MAX_UNSENT_BYTES};
use mulleinhub_interface::Duration;
use mulleinhub_protocol::{self as protocol, Bad, Message, SideLog};
use mulleinhub_replicated_log::{Digest, LogHead, LogKind, MemberState, Name};
use mulleinhub_sans_io::ConnectionId;

/// Least time between two looks at who can be a replica.
const CHOICE_INTERVAL: Duration = Duration::from_nanos(200_000_000);
/// A member to which no connection comes up is no replica, though others hear of it; it is tried again
/// after this.
const UNREACHABLE_FOR: Duration = Duration::from_secs(20);
const UNREACHABLE_AFTER: u32 = 2;
/// A replica that lacks no more rows than this, which may be under way, holds our work log.
const MAX_ENTRIES_IN_FLIGHT: u64 = 64;

/// The kind of logs that a message is about.
pub(super) fn log_kind(log: Option<SideLog>) -> LogKind {
    log.map_or(LogKind::Fleet, |SideLog::Work| LogKind::Work)
}

/// How a message says so.
pub(super) fn side_log(kind: LogKind) -> Option<SideLog> {
    match kind {
        LogKind::Fleet => None,
        LogKind::Work => Some(SideLog::Work),
    }
}

impl Exchange {
    // Which members are replicas.

    /// Chooses the replicas anew where other members can be reached than before.
    pub(super) fn update_replicas(&mut self) {
        if self.now < self.choose_replicas_at {
            return;
        }
        self.choose_replicas_at = self.now + CHOICE_INTERVAL;
        let usable: Vec<Name> = self.addresses.keys().filter(|name| self.is_usable(name)).cloned().collect();
        let writes_work_log = self.ledger.writes_work_log();
        if (&usable, writes_work_log) == (&self.usable_replicas.0, self.usable_replicas.1) {
            return;
        }
        let replicas = self.ledger.replicas(|name| usable.binary_search(name).is_ok());
        self.usable_replicas = (usable, writes_work_log);
        if replicas == self.replicas {
            return;
        }
        tracing::debug!(?replicas, "replicas of our work log changed");
        self.replicas = replicas;
        // Those that are new get all that the others were told long ago.
        self.peers.values_mut().for_each(|peer| peer.work.resend_all());
    }

    fn is_usable(&self, name: &Name) -> bool {
        let retry = self.retries.get(name);
        let unreachable = retry.is_some_and(|retry| {
            retry.failures >= UNREACHABLE_AFTER && self.now < retry.not_before + UNREACHABLE_FOR
        });
        !unreachable && self.ledger.membership.member_state(self.now, name) != MemberState::Dead
    }

    /// Of the replicas of our work log, how many hold it.
    pub(super) fn holding_replicas(&self) -> usize {
        let work = self.ledger.logs(LogKind::Work);
        let head_number = work.announced_head(work.own_id()).map_or(0, |(number, _)| number);
        let holds = |name: &&Name| {
            let mut peers = self.peers.values().filter(|peer| peer.established && peer.is(name));
            peers.any(|peer| {
                peer.own_work_entries > 0 && peer.own_work_entries + MAX_ENTRIES_IN_FLIGHT >= head_number
            })
        };
        self.replicas.iter().filter(holds).count()
    }

    // Heads.

    /// Whether work logs are replicated with a peer at all.
    fn shares_work_logs(&self, connection: ConnectionId) -> bool {
        self.ledger.reads_work_logs()
            && self.peers.get(&connection).is_some_and(|peer| peer.established && peer.reads_work_logs)
    }

    /// Tells a peer the heads of work logs that concern it and are new to it.
    pub(super) fn push_work_heads(&mut self, connection: ConnectionId) {
        if !self.shares_work_logs(connection) || self.connections.pending_bytes(connection) > MAX_UNSENT_BYTES
        {
            return;
        }
        let now = self.now;
        let Some(peer) = self.peers.get_mut(&connection).filter(|peer| peer.work.may_push(now)) else {
            return;
        };
        let Some(name) = peer.name.clone() else { return };
        let log_store = self.ledger.logs(LogKind::Work);
        let is_replica = self.replicas.contains(&name);
        let concerns =
            |head: &LogHead| head.id.writer == name || (is_replica && head.id == *log_store.own_id());
        let NewHeads { heads, complete } = peer.work.take_new_heads_of(log_store, concerns);
        if heads.is_empty() {
            return;
        }
        peer.work.pushed(now);
        self.poll_again |= !complete;
        let all = log_store.heads_digest();
        let tips = heads.iter().map(head_message).collect();
        let log = Some(SideLog::Work);
        self.write(connection, &Message::Tips { all: &all.0, tips, beats: Vec::new(), whole: complete, log });
    }

    /// Takes in heads of work logs that a peer told.
    ///
    /// # Errors
    /// Where it tells of a work log that is neither its own nor ours: nobody has to ask it for that.
    pub(super) fn receive_work_heads(
        &mut self,
        connection: ConnectionId,
        all: Digest,
        heads: Vec<LogHead>,
        complete: bool,
    ) -> Result<(), Bad> {
        if !self.shares_work_logs(connection) {
            return Err(Bad("work logs of one that doesn't read them".into()));
        }
        let me = self.ledger.settings().me.clone();
        let Some(peer) = self.peers.get_mut(&connection) else { return Ok(()) };
        let is_theirs = |head: &LogHead| peer.name.as_ref() == Some(&head.id.writer);
        if let Some(head) = heads.iter().find(|head| head.id.writer != me && !is_theirs(head)) {
            return Err(Bad(format!("the work log of {} is not for us", head.id.writer)));
        }
        let log_store = self.ledger.logs(LogKind::Work);
        let own = log_store.own_id().clone();
        if let Some(head) = heads.iter().find(|head| head.id == own) {
            peer.own_work_entries = peer.own_work_entries.max(head.number);
        }
        // What earlier lives of ours wrote is wanted until this one begins to write.
        let is_relevant = |head: &LogHead| head.id.writer != me || !log_store.is_open() || head.id == own;
        let heads = heads.into_iter().filter(is_relevant).collect();
        peer.work.receive_heads(log_store, all, heads, complete);
        Ok(())
    }

    /// Answers a request for rows of our own work log: the asker has it up to there.
    pub(super) fn on_replica_has(&mut self, connection: ConnectionId, number: u64) {
        if let Some(peer) = self.peers.get_mut(&connection) {
            peer.own_work_entries = peer.own_work_entries.max(number);
        }
    }

    /// The features that we greet with.
    pub(super) fn features(&self) -> u64 {
        if self.ledger.reads_work_logs() { protocol::BOOKS } else { protocol::WORK_LOGS - 1 }
    }
}
