//! Replication of work logs: each member's goes to its replicas alone, and back to itself when it restarts.
//!
//! The writer announces the head of its own work log to its replicas, which are neighbors for as long as they
//! are replicas. A member that holds a copy of another's work log announces its head to that member only:
//! from it a restarted member learns what its earlier incarnations wrote. Requests and entries are those of
//! the fleet logs.

use super::cursor::NewHeads;
use super::replication::head_message;
use super::{Exchange, MAX_UNSENT_BYTES};
use mulleinhub_interface::Duration;
use mulleinhub_protocol::{self as protocol, Bad, Message, SideLog};
use mulleinhub_replicated_log::{Digest, LogHead, LogKind, MemberState, Name};
use mulleinhub_sans_io::ConnectionId;

/// Least time between two choices of replicas.
const CHOICE_INTERVAL: Duration = Duration::from_nanos(200_000_000);
/// A member to which no connection can be established is no replica, even where others hear from it; it is
/// considered again after this.
const UNREACHABLE_FOR: Duration = Duration::from_secs(20);
/// Failed connection attempts in a row after which a member counts as unreachable.
const UNREACHABLE_AFTER: u32 = 2;
/// A replica that lacks at most this many entries, which may be in flight, holds our work log.
const MAX_ENTRIES_IN_FLIGHT: u64 = 64;

/// What the replicas of our work log are chosen by: they are chosen again when it changes.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct ReplicaChoice {
    /// The members that can be replicas, sorted by name.
    usable: Vec<Name>,
    /// Whether we write a work log.
    writes_work_log: bool,
}

/// The kind of logs that a message is about.
pub(super) fn log_kind(log: Option<SideLog>) -> LogKind {
    log.map_or(LogKind::Fleet, |SideLog::Work| LogKind::Work)
}

/// The field of a message that names a kind of logs.
pub(super) fn side_log(kind: LogKind) -> Option<SideLog> {
    match kind {
        LogKind::Fleet => None,
        LogKind::Work => Some(SideLog::Work),
    }
}

impl Exchange {
    // Which members are replicas.

    /// Chooses the replicas again where the set of reachable members has changed.
    pub(super) fn update_replicas(&mut self) {
        if self.now < self.choose_replicas_at {
            return;
        }
        self.choose_replicas_at = self.now + CHOICE_INTERVAL;
        let usable: Vec<Name> = self.addresses.keys().filter(|name| self.is_usable(name)).cloned().collect();
        let writes_work_log = self.ledger.writes_work_log();
        let choice = ReplicaChoice { usable, writes_work_log };
        if choice == self.replica_choice {
            return;
        }
        let replicas = self.ledger.replicas(|name| choice.usable.binary_search(name).is_ok());
        self.replica_choice = choice;
        if replicas == self.replicas {
            return;
        }
        tracing::debug!(?replicas, "replicas of our work log changed");
        self.replicas = replicas;
        // New replicas need all heads, also those that were pushed to the others long ago.
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

    /// Pushes to a peer the heads of work logs that concern it and are new to it.
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

    /// Records heads of work logs that a peer sent.
    ///
    /// # Errors
    /// Where it announces a work log that is neither its own nor ours.
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
        // Entries of our earlier incarnations are requested only until this one begins to write.
        let is_relevant = |head: &LogHead| head.id.writer != me || !log_store.is_open() || head.id == own;
        let heads = heads.into_iter().filter(is_relevant).collect();
        peer.work.receive_heads(log_store, all, heads, complete);
        Ok(())
    }

    /// Entries of our own work log up to `number` were served to a replica.
    pub(super) fn on_replica_has(&mut self, connection: ConnectionId, number: u64) {
        if let Some(peer) = self.peers.get_mut(&connection) {
            peer.own_work_entries = peer.own_work_entries.max(number);
        }
    }

    /// The protocol features that our handshake announces.
    pub(super) fn features(&self) -> u64 {
        if self.ledger.reads_work_logs() { protocol::BOOKS } else { protocol::WORK_LOGS - 1 }
    }
}
