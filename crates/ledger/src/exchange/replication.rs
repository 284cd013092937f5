//! Replication of the logs: pushing and receiving heads, requesting, serving and receiving rows.
//!
//! What is known of a peer stands in its [`LogCursor`](super::cursor::LogCursor), what is known of the logs
//! in the library; here both meet, and become messages.

use super::cursor::{Assembled, NewHeads, ReceivedRows, RowRequest};
use super::heartbeat::{self, MemberHeartbeat};
use super::work_logs::side_log;
use super::{Exchange, MAX_ITEMS, MAX_UNREAD};
use mulleinhub_protocol::{self as protocol, Bad, Message};
use mulleinhub_quota::Phase;
use mulleinhub_replicated_log::{Digest, LogHead, LogId, LogKind};
use mulleinhub_sans_io::ConnectionId;
use std::collections::BTreeSet;

/// Bytes of rows in one message. A single row may be longer: it goes in several pieces.
const PIECE: usize = 64 * 1024;
/// A message with so many bytes of rows is part of catching up, for which a connection is kept. Those that
/// tell what was written lately are much shorter, and come from whichever peer tells of it first.
const CATCH_UP_BYTES: usize = PIECE / 2;

/// The part of a long row that goes in one message.
struct RowPart {
    /// Offset of its first byte.
    skip: usize,
    /// Bytes that follow it.
    rest: usize,
}

/// The digest that came over the wire.
pub(super) fn digest_of(bytes: &[u8]) -> Digest {
    // Its length was checked when it was decoded.
    Digest(bytes.try_into().unwrap_or_default())
}

/// The head that came over the wire.
fn head_of(told: &protocol::Tip<'_>) -> LogHead {
    let id = LogId { writer: told.writer.into(), incarnation: told.life };
    LogHead { id, number: told.number, digest: digest_of(told.digest) }
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

/// Cuts rows to what fits into one message, where the first of them is longer than that: its next piece,
/// from byte `skip` on, and no other row. The asker has the bytes before `skip` of the row that it asks for:
/// `is_asked_for` tells whether that is the first of these.
fn cut_long_row(rows: &mut Vec<&[u8]>, skip: usize, is_asked_for: bool) -> RowPart {
    let Some(first) = rows.first_mut() else { return RowPart { skip, rest: 0 } };
    let skip = if is_asked_for && skip < first.len() { skip } else { 0 };
    let end = first.len().min(skip + PIECE);
    let rest = first.len() - end;
    *first = &first[skip..end];
    if rest > 0 {
        rows.truncate(1);
    }
    RowPart { skip, rest }
}

impl Exchange {
    // Heads.

    /// Writes our digest of all heads, which begins the replication on a connection.
    pub(super) fn write_digest(&mut self, link: ConnectionId) {
        let all = self.keeper.fleet_logs().heads_digest();
        let (tips, beats) = (Vec::new(), Vec::new());
        self.write(link, &Message::Tips { all: &all.0, tips, beats, whole: false, log: None });
    }

    /// Takes in the heads that a peer told; `all` is its digest of all.
    ///
    /// # Errors
    /// Where it tells of a work log that is none of its business.
    pub(super) fn receive_heads(
        &mut self,
        link: ConnectionId,
        kind: LogKind,
        all: Digest,
        told: &[protocol::Tip<'_>],
        whole: bool,
    ) -> Result<(), Bad> {
        let me = &self.keeper.settings().me;
        let is_known = |head: &LogHead| self.addresses.contains_key(&head.id.writer) || head.id.writer == *me;
        let heads = told.iter().map(head_of).filter(is_known).collect();
        if kind == LogKind::Work {
            return self.receive_work_heads(link, all, heads, whole);
        }
        let Some(peer) = self.peers.get_mut(&link) else { return Ok(()) };
        peer.fleet.receive_heads(self.keeper.fleet_logs(), all, heads, whole);
        Ok(())
    }

    /// Pushes what is new to a peer: orders, heads, heartbeats. A peer that doesn't read gets nothing.
    pub(super) fn push(&mut self, link: ConnectionId) {
        if self.links.pending_bytes(link) > MAX_UNREAD {
            return;
        }
        self.push_orders(link);
        let now = self.now;
        let Some(peer) = self.peers.get_mut(&link) else { return };
        if !peer.greeted || !peer.fleet.may_push(now) {
            return;
        }
        let new = peer.fleet.take_new_heads(self.keeper.fleet_logs());
        let is_first = peer.fleet.is_untold();
        let mut heartbeats = Vec::new();
        if is_first || peer.heartbeats.is_due(now, self.heartbeat_interval) {
            let newest = heartbeat::newest(&self.keeper, self.heartbeats);
            heartbeats = peer.heartbeats.take_newer(now, newest);
        }
        if new.heads.is_empty() && heartbeats.is_empty() && !is_first {
            return;
        }
        peer.fleet.pushed(now);
        self.turn_again |= !new.whole;
        self.write_heads(link, &new, &heartbeats);
    }

    /// Pushes to a peer without waiting for the gap between two pushes.
    pub(super) fn push_now(&mut self, link: ConnectionId) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.fleet.push_without_gap();
        }
        self.push(link);
    }

    /// Writes heads and heartbeats; heartbeats that don't fit into the message with the heads go before it.
    fn write_heads(&mut self, link: ConnectionId, new: &NewHeads, heartbeats: &[MemberHeartbeat]) {
        let all = self.keeper.fleet_logs().heads_digest();
        for heartbeats in heartbeats.chunks(MAX_ITEMS).skip(1) {
            let beats = heartbeats.iter().map(MemberHeartbeat::message).collect();
            let (tips, whole) = (Vec::new(), false);
            self.write(link, &Message::Tips { all: &all.0, tips, beats, whole, log: None });
        }
        let tips = new.heads.iter().map(head_message).collect();
        let beats = heartbeats.iter().take(MAX_ITEMS).map(MemberHeartbeat::message).collect();
        self.write(link, &Message::Tips { all: &all.0, tips, beats, whole: new.whole, log: None });
    }

    /// Tells the ledger, while it is catching up, which members have told all and have nothing that we lack.
    pub(super) fn note_caught_up(&mut self) {
        if self.keeper.phase() != Phase::CatchingUp {
            return;
        }
        for peer in self.peers.values().filter(|peer| peer.is_exhausted()) {
            if let Some(name) = &peer.name {
                self.keeper.on_member_synced(name);
            }
        }
    }

    // Rows.

    /// The logs that some peer was asked for, while the answers can still be expected.
    pub(super) fn pending_logs(&self, kind: LogKind) -> BTreeSet<LogId> {
        let pending = self.peers.values().filter_map(|peer| peer.cursor(kind).pending_log(self.now));
        pending.cloned().collect()
    }

    /// Asks a peer for rows that it has and we lack. One log at a time is asked of each peer, and no log of
    /// two: `pending` are those that some peer was asked for.
    pub(super) fn request_rows(&mut self, link: ConnectionId, kind: LogKind, pending: &mut BTreeSet<LogId>) {
        let Some(peer) = self.peers.get_mut(&link) else { return };
        let library = self.keeper.logs(kind);
        if let Some(request) = peer.cursor_mut(kind).next_request(self.now, library, pending) {
            pending.insert(request.id.clone());
            self.write_request(link, kind, &request);
        }
    }

    fn write_request(&mut self, link: ConnectionId, kind: LogKind, request: &RowRequest) {
        let RowRequest { id: LogId { writer, incarnation: life }, after, digest, skip } = request;
        let (life, after, skip) = (*life, *after, *skip);
        let log = side_log(kind);
        self.write(link, &Message::Want { writer, life, after, digest: &digest.0, skip, log });
    }

    /// Answers a peer that asks for rows: with none where we have none for it.
    pub(super) fn serve_rows(&mut self, link: ConnectionId, kind: LogKind, request: &RowRequest) {
        let RowRequest { id, after, digest, skip } = request;
        let LogId { writer, incarnation: life } = id;
        let log = side_log(kind);
        let Some(piece) = self.keeper.logs(kind).entries_after(id, *after, *digest, PIECE) else {
            let (life, after, digest, rows) = (*life, *after, &digest.0, Vec::new());
            let (skip, rest) = (0, 0);
            let message = Message::Rows { writer, life, after, digest, rows, skip, rest, log };
            return self.write(link, &message);
        };
        // Small rows may be more than a message holds, though their bytes are few. The asker asks again.
        let rows = piece.entries.iter().take(protocol::MOST_TIPS);
        let mut rows: Vec<&[u8]> = rows.map(|row| &**row).collect();
        let part = cut_long_row(&mut rows, *skip as usize, piece.after == *after);
        let own = self.keeper.logs(kind).own_id().clone();
        let last = piece.after + rows.len() as u64 - u64::from(part.rest > 0);
        let bytes = rows.iter().map(|row| row.len()).sum();
        let rows = rows.into_iter().map(protocol::RowBytes).collect();
        let (life, after, digest) = (*life, piece.after, &piece.digest.0);
        let (skip, rest) = (part.skip as u64, part.rest as u64);
        let message = Message::Rows { writer, life, after, digest, rows, skip, rest, log };
        self.write(link, &message);
        if kind == LogKind::Work && *id == own {
            self.note_replica_has(link, last);
        }
        self.note_rows(link, bytes);
    }

    /// Rows went over a connection. The failure defended against: where any rows count as use, no connection
    /// that was ever opened goes unused while there is work, and each member stays connected to all.
    fn note_rows(&mut self, link: ConnectionId, bytes: usize) {
        if bytes >= CATCH_UP_BYTES {
            self.mark_used(link);
        }
    }

    /// Takes in rows that a peer sent.
    ///
    /// # Errors
    /// Where they don't follow what was sent before, or the library refuses them.
    pub(super) fn receive_rows(
        &mut self,
        link: ConnectionId,
        kind: LogKind,
        received: &ReceivedRows<'_>,
    ) -> Result<(), Bad> {
        self.note_rows(link, received.rows.iter().map(|row| row.len()).sum());
        let Some(peer) = self.peers.get_mut(&link) else { return Ok(()) };
        match peer.cursor_mut(kind).assemble(self.now, received)? {
            Assembled::Unasked | Assembled::Nothing => Ok(()),
            Assembled::Incomplete => {
                let request = peer.cursor(kind).request_for(self.keeper.logs(kind), received.id.clone());
                self.write_request(link, kind, &request);
                Ok(())
            }
            Assembled::Complete(rows) => {
                let rows: Vec<&[u8]> = rows.iter().map(|row| &**row).collect();
                self.take_rows(link, kind, received, &rows)
            }
        }
    }

    /// Takes whole rows into the library.
    fn take_rows(
        &mut self,
        link: ConnectionId,
        kind: LogKind,
        received: &ReceivedRows<'_>,
        rows: &[&[u8]],
    ) -> Result<(), Bad> {
        let ReceivedRows { id, after, digest, .. } = received;
        let taken = self
            .keeper
            .logs_mut(kind)
            .append_entries(id, *after, *digest, rows)
            .map_err(|error| Bad(error.to_string()))?;
        self.figures.rows_in += taken.new as u64;
        if taken.forked && taken.new > 0 {
            self.figures.forks += 1;
            tracing::error!(writer = %id.writer, life = id.incarnation, "a column has forked: both branches count");
        }
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.cursor_mut(kind).rows_taken(self.keeper.logs(kind), id, taken.new);
        }
        Ok(())
    }
}
