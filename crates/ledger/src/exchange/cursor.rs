//! The replication cursor: the state of replicating one set of logs with one peer.
//!
//! It records which of our heads (ends of logs) the peer was told, which it is known to have, which of its
//! logs are ahead of ours, and which entries it was asked for. It does no I/O and knows neither the peer
//! nor the connection, so that a peer can have one cursor for each set of logs.

use super::MAX_ITEMS;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_protocol::Bad;
use mulleinhub_replicated_log::{Digest, LogHead, LogId, LogStore};
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};

/// Least time between two pushes to one peer, so that many changes go together.
const PUSH_GAP: Duration = Duration::from_nanos(20_000_000);
/// A request for rows that is not answered for so long is given up, and the rows are asked for elsewhere.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest row that is assembled from pieces, in bytes.
const MAX_ASSEMBLED_ROW: usize = 16 << 20;
/// The instant of the last push, where the next one must not wait for the gap. It differs from
/// `Timestamp::default()`, which stands for no push at all.
const LONG_AGO: Duration = Duration::from_nanos(1);

/// Asks for the rows of a log that follow `after`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RowRequest {
    /// The log.
    pub(super) id: LogId,
    /// Number of the last row that the asker has, or nought.
    pub(super) after: u64,
    /// The asker's digest at `after`.
    pub(super) digest: Digest,
    /// Bytes of the next row that the asker has already.
    pub(super) skip: u64,
}

/// Rows as a peer sent them: whole ones, or a piece of a single long one.
#[derive(Debug)]
pub(super) struct ReceivedRows<'b> {
    /// The log.
    pub(super) id: LogId,
    /// Number of the row before the first.
    pub(super) after: u64,
    /// The sender's digest at `after`.
    pub(super) digest: Digest,
    /// The rows' bytes.
    pub(super) rows: Vec<&'b [u8]>,
    /// Offset at which the first row's bytes begin.
    pub(super) skip: u64,
    /// Bytes of the last row that are still to come.
    pub(super) rest: u64,
}

/// What received rows amount to, together with the pieces that came before.
#[derive(Debug)]
pub(super) enum Assembled<'b> {
    /// They were not asked for, or so long ago that something else was asked for since.
    Unasked,
    /// A piece of a row; the next piece is to be asked for.
    Incomplete,
    /// The peer has no rows for us after all.
    Nothing,
    /// Whole rows.
    Complete(Vec<Cow<'b, [u8]>>),
}

/// Heads that a peer has not been told.
#[derive(Debug)]
pub(super) struct NewHeads {
    /// The heads, oldest change first.
    pub(super) heads: Vec<LogHead>,
    /// No more are waiting.
    pub(super) whole: bool,
}

/// A request for rows that is under way.
#[derive(Debug)]
struct PendingRequest {
    id: LogId,
    since: Timestamp,
    /// The bytes so far of a row that is longer than a piece.
    partial: Vec<u8>,
}

/// What one peer was told, has, and was asked for, of one set of logs.
#[derive(Debug, Default)]
pub(super) struct LogCursor {
    /// The peer was told our changes up to this stamp of the library.
    told: u64,
    /// When it was last told heads; `Timestamp::default()` for never.
    told_at: Timestamp,
    /// The peer has these logs up to these numbers.
    knows: BTreeMap<LogId, u64>,
    /// Heads of the peer that are ahead of ours.
    newer: BTreeMap<LogId, LogHead>,
    /// What the peer was asked for last.
    asked: Option<PendingRequest>,
    /// The peer has sent its digest of all heads.
    first: bool,
    /// The peer has sent all heads that it has.
    whole: bool,
}

impl LogCursor {
    // Pushing heads.

    /// Whether a push may go now: the peer has sent its digest, and the last push is long enough ago.
    pub(super) fn may_push(&self, now: Timestamp) -> bool {
        self.first && (self.is_untold() || now - self.told_at >= PUSH_GAP)
    }

    /// Whether nothing at all was pushed so far.
    pub(super) fn is_untold(&self) -> bool {
        self.told_at == Timestamp::default()
    }

    /// Whether changes up to `stamp` include some that are to be pushed.
    pub(super) fn is_behind(&self, stamp: u64) -> bool {
        self.first && self.told < stamp
    }

    /// The earliest instant of the next push.
    pub(super) fn next_push_at(&self) -> Timestamp {
        self.told_at + PUSH_GAP
    }

    /// The next push does not wait for the gap.
    pub(super) fn push_without_gap(&mut self) {
        self.told_at = Timestamp::default() + LONG_AGO;
    }

    /// A push went out.
    pub(super) fn pushed(&mut self, now: Timestamp) {
        self.told_at = now;
    }

    /// The heads that changed since the last call and that the peer is not known to have, as many as fit
    /// into one message. They count as told.
    pub(super) fn take_new_heads(&mut self, library: &LogStore) -> NewHeads {
        self.take_new_heads_of(library, |_| true)
    }

    /// The same, of those logs alone that concern the peer.
    pub(super) fn take_new_heads_of(
        &mut self,
        library: &LogStore,
        concerns: impl Fn(&LogHead) -> bool,
    ) -> NewHeads {
        let mut heads: Vec<LogHead> = Vec::new();
        for (stamp, head) in library.heads_changed_since(self.told) {
            if heads.len() >= MAX_ITEMS {
                return NewHeads { heads, whole: false };
            }
            self.told = stamp;
            let is_new = self.knows.get(&head.id).is_none_or(|known| *known < head.number);
            if is_new && concerns(&head) {
                self.knows.insert(head.id.clone(), head.number);
                heads.push(head);
            }
        }
        // Logs that were dropped have changed the library, too.
        self.told = self.told.max(library.revision());
        NewHeads { heads, whole: true }
    }

    /// Heads may be pushed though the peer sends no digest: it was told by the greeting that it reads them.
    pub(super) fn begin(&mut self) {
        self.first = true;
    }

    /// Logs that didn't concern the peer may concern it now: all are looked at again.
    pub(super) fn tell_again(&mut self) {
        self.told = 0;
    }

    /// Something of the peer is ahead of ours.
    pub(super) fn has_newer(&self) -> bool {
        !self.newer.is_empty()
    }

    // Receiving heads.

    /// The peer sent its digest of all heads, and these heads; `whole` where it has no others.
    pub(super) fn receive_heads(
        &mut self,
        library: &LogStore,
        all: Digest,
        heads: Vec<LogHead>,
        whole: bool,
    ) {
        if library.heads_digest() == all {
            // The peer has what we have: nothing of that need be pushed.
            self.told = library.revision();
            self.whole = true;
        }
        self.first = true;
        self.whole |= whole;
        for head in heads {
            self.knows.insert(head.id.clone(), head.number);
            if library.wants(&head) {
                self.newer.insert(head.id.clone(), head);
            }
        }
    }

    /// The peer has sent all heads that it has, and none is ahead of ours.
    pub(super) fn is_exhausted(&self) -> bool {
        self.whole && self.newer.is_empty()
    }

    // Requesting rows.

    /// The log that the peer was asked for, while the answer can still be expected.
    pub(super) fn pending_log(&self, now: Timestamp) -> Option<&LogId> {
        let pending = self.asked.as_ref().filter(|asked| now - asked.since < REQUEST_TIMEOUT);
        pending.map(|asked| &asked.id)
    }

    /// The next request to this peer, where none is under way: for a log of which it has more than we, and
    /// which is not asked for elsewhere.
    pub(super) fn next_request(
        &mut self,
        now: Timestamp,
        library: &LogStore,
        pending_elsewhere: &BTreeSet<LogId>,
    ) -> Option<RowRequest> {
        if self.pending_log(now).is_some() {
            return None;
        }
        self.asked = None;
        self.newer.retain(|_, head| library.wants(head));
        let id = self.newer.keys().find(|id| !pending_elsewhere.contains(*id)).cloned()?;
        self.asked = Some(PendingRequest { id: id.clone(), since: now, partial: Vec::new() });
        Some(self.request_for(library, id))
    }

    /// The request for the rows of a log that follow what is here.
    pub(super) fn request_for(&self, library: &LogStore, id: LogId) -> RowRequest {
        let (after, digest) = match self.newer.get(&id) {
            Some(head) => library.fetch_position(head),
            None => library.known_head(&id),
        };
        let skip = self.asked.as_ref().map_or(0, |asked| asked.partial.len() as u64);
        RowRequest { id, after, digest, skip }
    }

    // Receiving rows.

    /// Joins received rows with the pieces that came before them. The request is over with that, unless
    /// more pieces are to come.
    ///
    /// # Errors
    /// Where a piece doesn't follow those that came before, or the row gets too long.
    pub(super) fn assemble<'b>(
        &mut self,
        now: Timestamp,
        received: &ReceivedRows<'b>,
    ) -> Result<Assembled<'b>, Bad> {
        let Some(mut asked) = self.asked.take_if(|asked| asked.id == received.id) else {
            return Ok(Assembled::Unasked);
        };
        if received.skip as usize != asked.partial.len() {
            if received.skip != 0 {
                let (skip, here) = (received.skip, asked.partial.len());
                return Err(Bad(format!("a row from byte {skip}, {here} are here")));
            }
            asked.partial.clear();
        }
        let Some((first, others)) = received.rows.split_first() else {
            self.newer.remove(&received.id);
            return Ok(Assembled::Nothing);
        };
        let mut rows: Vec<Cow<'b, [u8]>> = Vec::with_capacity(received.rows.len());
        if received.rest > 0 || !asked.partial.is_empty() {
            asked.partial.extend_from_slice(first);
            if asked.partial.len() > MAX_ASSEMBLED_ROW {
                return Err(Bad("a row without end".into()));
            }
            if received.rest > 0 {
                asked.since = now;
                self.asked = Some(asked);
                return Ok(Assembled::Incomplete);
            }
            rows.push(Cow::Owned(asked.partial));
        } else {
            rows.push(Cow::Borrowed(first));
        }
        rows.extend(others.iter().map(|row| Cow::Borrowed(*row)));
        Ok(Assembled::Complete(rows))
    }

    /// Rows of a log were taken into the library, `new` of them unknown before. Where nothing more can be
    /// had from this peer, its head counts as ahead of ours no longer.
    pub(super) fn rows_taken(&mut self, library: &LogStore, id: &LogId, new: usize) {
        let is_done = |head: &LogHead| new == 0 || !library.wants(head);
        if self.newer.get(id).is_some_and(is_done) {
            self.newer.remove(id);
        }
    }
}
