//! Replication of the logs: pushing and receiving heads, requesting, serving and receiving entries.
//!
//! What a peer knows is recorded in its [`LogCursor`](super::cursor::LogCursor), the logs are in the log
//! store; this module turns the difference into messages.

use super::cursor::{Assembled, EntryRequest, NewHeads, ReceivedEntries};
use super::heartbeat::{self, MemberHeartbeat};
use super::work_logs::side_log;
use super::{Exchange, MAX_ITEMS, MAX_UNSENT_BYTES};
use mulleinhub_protocol::{self as protocol, Bad, Message};
use mulleinhub_quota::Phase;
use mulleinhub_replicated_log::{Digest, LogHead, LogId, LogKind};
use mulleinhub_sans_io::ConnectionId;
use std::collections::BTreeSet;

/// Bytes of entries in one message. A longer single entry is sent in several parts.
const MAX_ENTRY_BYTES_PER_MESSAGE: usize = 64 * 1024;
/// A message with this many bytes of entries is part of catching up, and counts as use of the connection.
/// Messages with recent entries are much shorter, and come from whichever peer announces them first.
const CATCH_UP_BYTES: usize = MAX_ENTRY_BYTES_PER_MESSAGE / 2;

/// The part of a long entry that one message carries.
struct EntryPart {
    /// Offset of its first byte.
    skip: usize,
    /// Bytes that follow it.
    remaining: usize,
}

/// The digest in a message of the protocol.
pub(super) fn digest_from_bytes(bytes: &[u8]) -> Digest {
    // Its length was checked when it was decoded.
    Digest(bytes.try_into().unwrap_or_default())
}

/// The head in a message of the protocol.
fn head_from_message(message: &protocol::Tip<'_>) -> LogHead {
    let id = LogId { writer: message.writer.into(), incarnation: message.life };
    LogHead { id, number: message.number, digest: digest_from_bytes(message.digest) }
}

/// A head as it goes over the wire.
pub(super) fn head_message(head: &LogHead) -> protocol::Tip<'_> {
    protocol::Tip {
        writer: &head.id.writer,
        life: head.id.incarnation,
        number: head.number,
        digest: &head.digest.0,
    }
}

/// Where the first entry is longer than one message, leaves only its next part, from byte `skip` on. The
/// requester has the bytes before `skip` of the entry that it requests; `is_requested_entry` says whether
/// that is the first of `entries`.
fn cut_long_entry(entries: &mut Vec<&[u8]>, skip: usize, is_requested_entry: bool) -> EntryPart {
    let Some(first) = entries.first_mut() else { return EntryPart { skip, remaining: 0 } };
    let skip = if is_requested_entry && skip < first.len() { skip } else { 0 };
    let end = first.len().min(skip + MAX_ENTRY_BYTES_PER_MESSAGE);
    let remaining = first.len() - end;
    *first = &first[skip..end];
    if remaining > 0 {
        entries.truncate(1);
    }
    EntryPart { skip, remaining }
}

impl Exchange {
    // Heads.

    /// Writes our digest of all heads, which begins the replication on a connection.
    pub(super) fn write_digest(&mut self, connection: ConnectionId) {
        let all = self.ledger.fleet_logs().heads_digest();
        let (tips, beats) = (Vec::new(), Vec::new());
        self.write(connection, &Message::Tips { all: &all.0, tips, beats, whole: false, log: None });
    }

    /// Records the heads that a peer sent; `all` is its digest of all heads.
    ///
    /// # Errors
    /// Where it announces a work log that is neither its own nor ours.
    pub(super) fn receive_heads(
        &mut self,
        connection: ConnectionId,
        kind: LogKind,
        all: Digest,
        messages: &[protocol::Tip<'_>],
        whole: bool,
    ) -> Result<(), Bad> {
        let me = &self.ledger.settings().me;
        let is_known = |head: &LogHead| self.addresses.contains_key(&head.id.writer) || head.id.writer == *me;
        let heads = messages.iter().map(head_from_message).filter(is_known).collect();
        if kind == LogKind::Work {
            return self.receive_work_heads(connection, all, heads, whole);
        }
        let Some(peer) = self.peers.get_mut(&connection) else { return Ok(()) };
        peer.fleet.receive_heads(self.ledger.fleet_logs(), all, heads, whole);
        Ok(())
    }

    /// Pushes what is new to a peer: directives, heads, heartbeats. Nothing is pushed to a peer that doesn't
    /// read.
    pub(super) fn push(&mut self, connection: ConnectionId) {
        if self.connections.pending_bytes(connection) > MAX_UNSENT_BYTES {
            return;
        }
        self.push_directives(connection);
        let now = self.now;
        let Some(peer) = self.peers.get_mut(&connection) else { return };
        if !peer.established || !peer.fleet.may_push(now) {
            return;
        }
        let new = peer.fleet.take_new_heads(self.ledger.fleet_logs());
        let is_first = peer.fleet.has_never_pushed();
        let mut heartbeats = Vec::new();
        if is_first || peer.heartbeats.is_due(now, self.heartbeat_interval) {
            let newest = heartbeat::newest(&self.ledger, self.heartbeats);
            heartbeats = peer.heartbeats.take_newer(now, newest);
        }
        if new.heads.is_empty() && heartbeats.is_empty() && !is_first {
            return;
        }
        peer.fleet.pushed(now);
        self.poll_again |= !new.complete;
        self.write_heads(connection, &new, &heartbeats);
    }

    /// Pushes to a peer without waiting for the gap between two pushes.
    pub(super) fn push_now(&mut self, connection: ConnectionId) {
        if let Some(peer) = self.peers.get_mut(&connection) {
            peer.fleet.push_without_gap();
        }
        self.push(connection);
    }

    /// Writes heads and heartbeats; heartbeats that don't fit into the message with the heads go before it.
    fn write_heads(&mut self, connection: ConnectionId, new: &NewHeads, heartbeats: &[MemberHeartbeat]) {
        let all = self.ledger.fleet_logs().heads_digest();
        for heartbeats in heartbeats.chunks(MAX_ITEMS).skip(1) {
            let beats = heartbeats.iter().map(MemberHeartbeat::message).collect();
            let (tips, whole) = (Vec::new(), false);
            self.write(connection, &Message::Tips { all: &all.0, tips, beats, whole, log: None });
        }
        let tips = new.heads.iter().map(head_message).collect();
        let beats = heartbeats.iter().take(MAX_ITEMS).map(MemberHeartbeat::message).collect();
        self.write(connection, &Message::Tips { all: &all.0, tips, beats, whole: new.complete, log: None });
    }

    /// Tells the ledger, while it is catching up, which members have announced all their heads and have
    /// nothing that we lack.
    pub(super) fn note_caught_up(&mut self) {
        if self.ledger.phase() != Phase::CatchingUp {
            return;
        }
        for peer in self.peers.values().filter(|peer| peer.is_exhausted()) {
            if let Some(name) = &peer.name {
                self.ledger.on_member_synced(name);
            }
        }
    }

    // Entries.

    /// The logs for which requests to any peer are in flight.
    pub(super) fn pending_logs(&self, kind: LogKind) -> BTreeSet<LogId> {
        let pending = self.peers.values().filter_map(|peer| peer.cursor(kind).pending_log(self.now));
        pending.cloned().collect()
    }

    /// Requests entries that a peer has and we lack. One log at a time is requested from each peer, and no
    /// log from two peers: `pending` are the logs for which requests are in flight.
    pub(super) fn request_entries(
        &mut self,
        connection: ConnectionId,
        kind: LogKind,
        pending: &mut BTreeSet<LogId>,
    ) {
        let Some(peer) = self.peers.get_mut(&connection) else { return };
        let log_store = self.ledger.logs(kind);
        if let Some(request) = peer.cursor_mut(kind).next_request(self.now, log_store, pending) {
            pending.insert(request.id.clone());
            self.write_request(connection, kind, &request);
        }
    }

    fn write_request(&mut self, connection: ConnectionId, kind: LogKind, request: &EntryRequest) {
        let EntryRequest { id: LogId { writer, incarnation: life }, after, digest, skip } = request;
        let (life, after, skip) = (*life, *after, *skip);
        let log = side_log(kind);
        self.write(connection, &Message::Want { writer, life, after, digest: &digest.0, skip, log });
    }

    /// Answers a request for entries; the reply is empty where we have none.
    pub(super) fn serve_entries(&mut self, connection: ConnectionId, kind: LogKind, request: &EntryRequest) {
        let EntryRequest { id, after, digest, skip } = request;
        let LogId { writer, incarnation: life } = id;
        let log = side_log(kind);
        let Some(piece) =
            self.ledger.logs(kind).entries_after(id, *after, *digest, MAX_ENTRY_BYTES_PER_MESSAGE)
        else {
            let (life, after, digest, rows) = (*life, *after, &digest.0, Vec::new());
            let (skip, rest) = (0, 0);
            let message = Message::Rows { writer, life, after, digest, rows, skip, rest, log };
            return self.write(connection, &message);
        };
        // A message holds a limited number of entries, however small. The requester requests the rest.
        let entries = piece.entries.iter().take(protocol::MOST_TIPS);
        let mut entries: Vec<&[u8]> = entries.map(|entry| &**entry).collect();
        let part = cut_long_entry(&mut entries, *skip as usize, piece.after == *after);
        let own = self.ledger.logs(kind).own_id().clone();
        let last = piece.after + entries.len() as u64 - u64::from(part.remaining > 0);
        let bytes = entries.iter().map(|entry| entry.len()).sum();
        let rows = entries.into_iter().map(protocol::RowBytes).collect();
        let (life, after, digest) = (*life, piece.after, &piece.digest.0);
        let (skip, rest) = (part.skip as u64, part.remaining as u64);
        let message = Message::Rows { writer, life, after, digest, rows, skip, rest, log };
        self.write(connection, &message);
        if kind == LogKind::Work && *id == own {
            self.on_replica_has(connection, last);
        }
        self.note_entries_transferred(connection, bytes);
    }

    /// Entries went over a connection. Guards against: where any entries counted as use, no connection
    /// became idle while there was work, and each member stayed connected to all.
    fn note_entries_transferred(&mut self, connection: ConnectionId, bytes: usize) {
        if bytes >= CATCH_UP_BYTES {
            self.mark_used(connection);
        }
    }

    /// Handles entries that a peer sent.
    ///
    /// # Errors
    /// Where they don't follow what was sent before, or the log store rejects them.
    pub(super) fn receive_entries(
        &mut self,
        connection: ConnectionId,
        kind: LogKind,
        received: &ReceivedEntries<'_>,
    ) -> Result<(), Bad> {
        self.note_entries_transferred(connection, received.entries.iter().map(|entry| entry.len()).sum());
        let Some(peer) = self.peers.get_mut(&connection) else { return Ok(()) };
        match peer.cursor_mut(kind).assemble(self.now, received)? {
            Assembled::Unrequested | Assembled::Nothing => Ok(()),
            Assembled::Incomplete => {
                let request = peer.cursor(kind).request_for(self.ledger.logs(kind), received.id.clone());
                self.write_request(connection, kind, &request);
                Ok(())
            }
            Assembled::Complete(entries) => {
                let entries: Vec<&[u8]> = entries.iter().map(|entry| &**entry).collect();
                self.append_entries(connection, kind, received, &entries)
            }
        }
    }

    /// Appends complete entries to the log store.
    fn append_entries(
        &mut self,
        connection: ConnectionId,
        kind: LogKind,
        received: &ReceivedEntries<'_>,
        entries: &[&[u8]],
    ) -> Result<(), Bad> {
        let ReceivedEntries { id, after, digest, .. } = received;
        let appended = self
            .ledger
            .logs_mut(kind)
            .append_entries(id, *after, *digest, entries)
            .map_err(|error| Bad(error.to_string()))?;
        self.counters.entries_in += appended.new as u64;
        if appended.forked && appended.new > 0 {
            self.counters.forks += 1;
            tracing::error!(writer = %id.writer, incarnation = id.incarnation, "a log has forked: both branches count");
        }
        if let Some(peer) = self.peers.get_mut(&connection) {
            peer.cursor_mut(kind).on_entries_appended(self.ledger.logs(kind), id, appended.new);
        }
        Ok(())
    }
}
