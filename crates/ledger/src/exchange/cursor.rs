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
const MAX_ASSEMBLED_ENTRY: usize = 16 << 20;
/// The instant of the last push, where the next one must not wait for the gap. It differs from
/// `Timestamp::default()`, which stands for no push at all.
const GAP_ELAPSED: Duration = Duration::from_nanos(1);

/// Asks for the rows of a log that follow `after`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct EntryRequest {
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
pub(super) struct ReceivedEntries<'b> {
    /// The log.
    pub(super) id: LogId,
    /// Number of the row before the first.
    pub(super) after: u64,
    /// The sender's digest at `after`.
    pub(super) digest: Digest,
    /// The rows' bytes.
    pub(super) entries: Vec<&'b [u8]>,
    /// Offset at which the first row's bytes begin.
    pub(super) skip: u64,
    /// Bytes of the last row that are still to come.
    pub(super) remaining: u64,
}

/// What received rows amount to, together with the pieces that came before.
#[derive(Debug)]
pub(super) enum Assembled<'b> {
    /// They were not asked for, or so long ago that something else was asked for since.
    Unrequested,
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
    pub(super) complete: bool,
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
    pushed_revision: u64,
    /// When it was last told heads; `Timestamp::default()` for never.
    pushed_at: Timestamp,
    /// The peer has these logs up to these numbers.
    known_numbers: BTreeMap<LogId, u64>,
    /// Heads of the peer that are ahead of ours.
    ahead: BTreeMap<LogId, LogHead>,
    /// What the peer was asked for last.
    pending: Option<PendingRequest>,
    /// The peer has sent its digest of all heads.
    has_digest: bool,
    /// The peer has sent all heads that it has.
    has_all_heads: bool,
}

impl LogCursor {
    // Pushing heads.

    /// Whether a push may go now: the peer has sent its digest, and the last push is long enough ago.
    pub(super) fn may_push(&self, now: Timestamp) -> bool {
        self.has_digest && (self.has_never_pushed() || now - self.pushed_at >= PUSH_GAP)
    }

    /// Whether nothing at all was pushed so far.
    pub(super) fn has_never_pushed(&self) -> bool {
        self.pushed_at == Timestamp::default()
    }

    /// Whether changes up to `revision` include some that are to be pushed.
    pub(super) fn is_behind(&self, revision: u64) -> bool {
        self.has_digest && self.pushed_revision < revision
    }

    /// The earliest instant of the next push.
    pub(super) fn next_push_at(&self) -> Timestamp {
        self.pushed_at + PUSH_GAP
    }

    /// The next push does not wait for the gap.
    pub(super) fn push_without_gap(&mut self) {
        self.pushed_at = Timestamp::default() + GAP_ELAPSED;
    }

    /// A push went out.
    pub(super) fn pushed(&mut self, now: Timestamp) {
        self.pushed_at = now;
    }

    /// The heads that changed since the last call and that the peer is not known to have, as many as fit
    /// into one message. They count as told.
    pub(super) fn take_new_heads(&mut self, log_store: &LogStore) -> NewHeads {
        self.take_new_heads_of(log_store, |_| true)
    }

    /// The same, of those logs alone that concern the peer.
    pub(super) fn take_new_heads_of(
        &mut self,
        log_store: &LogStore,
        concerns: impl Fn(&LogHead) -> bool,
    ) -> NewHeads {
        let mut heads: Vec<LogHead> = Vec::new();
        for (revision, head) in log_store.heads_changed_since(self.pushed_revision) {
            if heads.len() >= MAX_ITEMS {
                return NewHeads { heads, complete: false };
            }
            self.pushed_revision = revision;
            let is_new = self.known_numbers.get(&head.id).is_none_or(|known| *known < head.number);
            if is_new && concerns(&head) {
                self.known_numbers.insert(head.id.clone(), head.number);
                heads.push(head);
            }
        }
        // Logs that were dropped have changed the library, too.
        self.pushed_revision = self.pushed_revision.max(log_store.revision());
        NewHeads { heads, complete: true }
    }

    /// Heads may be pushed though the peer sends no digest: it was told by the greeting that it reads them.
    pub(super) fn allow_push(&mut self) {
        self.has_digest = true;
    }

    /// Logs that didn't concern the peer may concern it now: all are looked at again.
    pub(super) fn resend_all(&mut self) {
        self.pushed_revision = 0;
    }

    /// Something of the peer is ahead of ours.
    pub(super) fn is_ahead(&self) -> bool {
        !self.ahead.is_empty()
    }

    // Receiving heads.

    /// The peer sent its digest of all heads, and these heads; `complete` where it has no others.
    pub(super) fn receive_heads(
        &mut self,
        log_store: &LogStore,
        all: Digest,
        heads: Vec<LogHead>,
        complete: bool,
    ) {
        if log_store.heads_digest() == all {
            // The peer has what we have: nothing of that need be pushed.
            self.pushed_revision = log_store.revision();
            self.has_all_heads = true;
        }
        self.has_digest = true;
        self.has_all_heads |= complete;
        for head in heads {
            self.known_numbers.insert(head.id.clone(), head.number);
            if log_store.wants(&head) {
                self.ahead.insert(head.id.clone(), head);
            }
        }
    }

    /// The peer has sent all heads that it has, and none is ahead of ours.
    pub(super) fn is_exhausted(&self) -> bool {
        self.has_all_heads && self.ahead.is_empty()
    }

    // Requesting rows.

    /// The log that the peer was asked for, while the answer can still be expected.
    pub(super) fn pending_log(&self, now: Timestamp) -> Option<&LogId> {
        let pending = self.pending.as_ref().filter(|pending| now - pending.since < REQUEST_TIMEOUT);
        pending.map(|pending| &pending.id)
    }

    /// The next request to this peer, where none is under way: for a log of which it has more than we, and
    /// which is not asked for elsewhere.
    pub(super) fn next_request(
        &mut self,
        now: Timestamp,
        log_store: &LogStore,
        pending_elsewhere: &BTreeSet<LogId>,
    ) -> Option<EntryRequest> {
        if self.pending_log(now).is_some() {
            return None;
        }
        self.pending = None;
        self.ahead.retain(|_, head| log_store.wants(head));
        let id = self.ahead.keys().find(|id| !pending_elsewhere.contains(*id)).cloned()?;
        self.pending = Some(PendingRequest { id: id.clone(), since: now, partial: Vec::new() });
        Some(self.request_for(log_store, id))
    }

    /// The request for the rows of a log that follow what is here.
    pub(super) fn request_for(&self, log_store: &LogStore, id: LogId) -> EntryRequest {
        let (after, digest) = match self.ahead.get(&id) {
            Some(head) => log_store.fetch_position(head),
            None => log_store.known_head(&id),
        };
        let skip = self.pending.as_ref().map_or(0, |pending| pending.partial.len() as u64);
        EntryRequest { id, after, digest, skip }
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
        received: &ReceivedEntries<'b>,
    ) -> Result<Assembled<'b>, Bad> {
        let Some(mut pending) = self.pending.take_if(|pending| pending.id == received.id) else {
            return Ok(Assembled::Unrequested);
        };
        if received.skip as usize != pending.partial.len() {
            if received.skip != 0 {
                let (skip, here) = (received.skip, pending.partial.len());
                return Err(Bad(format!("a row from byte {skip}, {here} are here")));
            }
            pending.partial.clear();
        }
        let Some((first, others)) = received.entries.split_first() else {
            self.ahead.remove(&received.id);
            return Ok(Assembled::Nothing);
        };
        let mut entries: Vec<Cow<'b, [u8]>> = Vec::with_capacity(received.entries.len());
        if received.remaining > 0 || !pending.partial.is_empty() {
            pending.partial.extend_from_slice(first);
            if pending.partial.len() > MAX_ASSEMBLED_ENTRY {
                return Err(Bad("a row without end".into()));
            }
            if received.remaining > 0 {
                pending.since = now;
                self.pending = Some(pending);
                return Ok(Assembled::Incomplete);
            }
            entries.push(Cow::Owned(pending.partial));
        } else {
            entries.push(Cow::Borrowed(first));
        }
        entries.extend(others.iter().map(|entry| Cow::Borrowed(*entry)));
        Ok(Assembled::Complete(entries))
    }

    /// Rows of a log were taken into the library, `new` of them unknown before. Where nothing more can be
    /// had from this peer, its head counts as ahead of ours no longer.
    pub(super) fn on_entries_appended(&mut self, log_store: &LogStore, id: &LogId, new: usize) {
        let is_done = |head: &LogHead| new == 0 || !log_store.wants(head);
        if self.ahead.get(id).is_some_and(is_done) {
            self.ahead.remove(id);
        }
    }
}
