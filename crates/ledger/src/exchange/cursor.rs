//! The replication cursor: the state of replicating one set of logs with one peer.
//!
//! It records which of our heads (ends of logs) were pushed to the peer, which it is known to have, which of
//! its logs are ahead of ours, and which entries were requested from it. It does no I/O and knows neither the
//! peer nor the connection, so that a peer can have one cursor for each set of logs.

use super::MAX_ITEMS;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_protocol::Bad;
use mulleinhub_replicated_log::{Digest, LogHead, LogId, LogStore};
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};

/// Least time between two pushes to one peer, so that many changes go together.
const PUSH_GAP: Duration = Duration::from_nanos(20_000_000);
/// A request for entries that is not answered within this is abandoned, and sent to another peer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest entry that is assembled from parts, in bytes.
const MAX_ASSEMBLED_ENTRY: usize = 16 << 20;
/// Recorded as the time of the last push where the next one need not wait for the gap. It differs from
/// `Timestamp::default()`, which stands for no push at all.
const GAP_ELAPSED: Duration = Duration::from_nanos(1);

/// A request for the entries of a log that follow `after`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct EntryRequest {
    /// The log.
    pub(super) id: LogId,
    /// Number of the last entry that the requester has, or zero.
    pub(super) after: u64,
    /// The requester's digest at `after`.
    pub(super) digest: Digest,
    /// Bytes of the next entry that the requester already has.
    pub(super) skip: u64,
}

/// Entries as a peer sent them: complete ones, or a part of a single long one.
#[derive(Debug)]
pub(super) struct ReceivedEntries<'b> {
    /// The log.
    pub(super) id: LogId,
    /// Number of the entry before the first.
    pub(super) after: u64,
    /// The sender's digest at `after`.
    pub(super) digest: Digest,
    /// The entries' bytes.
    pub(super) entries: Vec<&'b [u8]>,
    /// Offset at which the first entry's bytes begin.
    pub(super) skip: u64,
    /// Bytes of the last entry that are still to come.
    pub(super) remaining: u64,
}

/// The result of joining received entries with the parts received before.
#[derive(Debug)]
pub(super) enum Assembled<'b> {
    /// They were not requested, or the request has been replaced by another one.
    Unrequested,
    /// A part of an entry; the next part is to be requested.
    Incomplete,
    /// The peer has no such entries.
    Nothing,
    /// Complete entries.
    Complete(Vec<Cow<'b, [u8]>>),
}

/// Heads that have not been pushed to a peer.
#[derive(Debug)]
pub(super) struct NewHeads {
    /// The heads, oldest change first.
    pub(super) heads: Vec<LogHead>,
    /// No more are waiting.
    pub(super) complete: bool,
}

/// A request for entries that is in flight.
#[derive(Debug)]
struct PendingRequest {
    id: LogId,
    since: Timestamp,
    /// The bytes received so far of an entry that comes in parts.
    partial: Vec<u8>,
}

/// What was pushed to one peer, what it has, and what was requested from it, of one set of logs.
#[derive(Debug, Default)]
pub(super) struct LogCursor {
    /// Changes up to this revision of the log store were pushed.
    pushed_revision: u64,
    /// When heads were last pushed; `Timestamp::default()` for never.
    pushed_at: Timestamp,
    /// The peer has these logs up to these numbers.
    known_numbers: BTreeMap<LogId, u64>,
    /// Heads of the peer that are ahead of ours.
    ahead: BTreeMap<LogId, LogHead>,
    /// The last request to the peer.
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

    /// The earliest time of the next push.
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
    /// into one message. They count as pushed.
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
        // Logs that were dropped have changed the log store, too.
        self.pushed_revision = self.pushed_revision.max(log_store.revision());
        NewHeads { heads, complete: true }
    }

    /// Allows pushes though the peer sends no digest: its handshake said that it reads these logs.
    pub(super) fn allow_push(&mut self) {
        self.has_digest = true;
    }

    /// Considers all heads again: logs that didn't concern the peer may concern it now.
    pub(super) fn resend_all(&mut self) {
        self.pushed_revision = 0;
    }

    /// Some log of the peer is ahead of ours.
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
            // The peer has what we have: none of it need be pushed.
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

    // Requesting entries.

    /// The log that was requested from the peer, until the request times out.
    pub(super) fn pending_log(&self, now: Timestamp) -> Option<&LogId> {
        let pending = self.pending.as_ref().filter(|pending| now - pending.since < REQUEST_TIMEOUT);
        pending.map(|pending| &pending.id)
    }

    /// The next request to this peer, where none is in flight: for a log that is ahead of ours at the peer,
    /// and that is not requested from another peer.
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

    /// The request for the entries of a log that follow ours.
    pub(super) fn request_for(&self, log_store: &LogStore, id: LogId) -> EntryRequest {
        let (after, digest) = match self.ahead.get(&id) {
            Some(head) => log_store.fetch_position(head),
            None => log_store.known_head(&id),
        };
        let skip = self.pending.as_ref().map_or(0, |pending| pending.partial.len() as u64);
        EntryRequest { id, after, digest, skip }
    }

    // Receiving entries.

    /// Joins received entries with the parts received before. That completes the request, unless more parts
    /// are to come.
    ///
    /// # Errors
    /// Where a part doesn't follow those received before, or the entry gets too long.
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

    /// Entries of a log were appended to the log store, `new` of them unknown before. Where the peer has no
    /// more of the log, its head no longer counts as ahead of ours.
    pub(super) fn on_entries_appended(&mut self, log_store: &LogStore, id: &LogId, new: usize) {
        let is_done = |head: &LogHead| new == 0 || !log_store.wants(head);
        if self.ahead.get(id).is_some_and(is_done) {
            self.ahead.remove(id);
        }
    }
}
