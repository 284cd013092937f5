//! Receiving: decoding received bytes, the handshake, and the dispatch of messages.

use super::Exchange;
use super::cursor::{EntryRequest, ReceivedEntries};
use super::replication::digest_from_bytes;
use super::work_logs::log_kind;
use mulleinhub_interface::Timestamp;
use mulleinhub_protocol::{self as protocol, Bad, Conversation, Frames, Message, Side, decode};
use mulleinhub_quota::ShareRequest;
use mulleinhub_replicated_log::{LogId, Name, SplitAmount};
use mulleinhub_sans_io::ConnectionId;

/// Frames of one peer that are decoded in one poll.
const MAX_FRAMES_PER_POLL: usize = 64;
/// Bytes of one peer that may wait to be decoded; with more, reading from its connection pauses.
const MAX_UNDECODED_BYTES: usize = 512 * 1024;

/// Whether a message was one of the session itself: handshake, keep-alive, close.
enum MessageOutcome {
    /// It was, and has been handled.
    Handled,
    /// It concerns the ledger.
    LedgerMessage,
}

impl Exchange {
    /// Decodes and handles what was received since the last poll, a bounded number of frames of each peer.
    pub(super) fn receive_all(&mut self) {
        for connection in std::mem::take(&mut self.arrived) {
            let Some(peer) = self.peers.get_mut(&connection) else { continue };
            let mut frames = std::mem::take(&mut peer.frames);
            let received = self.receive_frames(connection, &mut frames);
            if let Some(peer) = self.peers.get_mut(&connection) {
                peer.frames = frames;
                let is_full = peer.frames.kept() > MAX_UNDECODED_BYTES;
                self.connections.set_reading_paused(connection, is_full);
            }
            if let Err(error) = received {
                self.close_faulty(connection, &error);
            }
        }
        self.poll_again |= !self.arrived.is_empty();
    }

    /// Handles frames of one peer; those beyond the bound wait for the next poll.
    fn receive_frames(&mut self, connection: ConnectionId, frames: &mut Frames) -> Result<(), Bad> {
        for _ in 0..MAX_FRAMES_PER_POLL {
            let Some(frame) = frames.next_frame()? else { return Ok(()) };
            let message = decode(frame)?;
            self.receive(connection, &message)?;
            if !self.peers.contains_key(&connection) {
                return Ok(());
            }
        }
        self.arrived.insert(connection);
        Ok(())
    }

    /// Handles a message.
    fn receive(&mut self, connection: ConnectionId, message: &Message<'_>) -> Result<(), Bad> {
        match self.receive_session_message(connection, message)? {
            MessageOutcome::Handled => Ok(()),
            MessageOutcome::LedgerMessage => self.receive_ledger_message(connection, message),
        }
    }

    /// Handles a message where it is one of the session: handshake, keep-alive, close.
    fn receive_session_message(
        &mut self,
        connection: ConnectionId,
        message: &Message<'_>,
    ) -> Result<MessageOutcome, Bad> {
        let Some(peer) = self.peers.get_mut(&connection) else { return Ok(MessageOutcome::Handled) };
        peer.received_at = self.now;
        let side = if peer.opened_by_us { Side::Opened } else { Side::Opener };
        if !message.belongs(Conversation::PlannerPlanner, side) {
            return Err(Bad("not a message between schedulers".into()));
        }
        match message {
            Message::Bye { words } => {
                peer.announced_close = true;
                tracing::info!(peer = ?peer.name, reason = words, "a peer closed the connection and gave its reason");
            }
            Message::Ping { nonce } => self.write(connection, &Message::Pong { nonce: *nonce }),
            Message::Pong { .. } => {}
            Message::Hello { conversation, version, least_version, features, name, .. } => {
                if peer.established || *conversation != Conversation::PlannerPlanner {
                    return Err(Bad("a hello that has no place here".into()));
                }
                if *least_version > protocol::VERSION || *version < protocol::LEAST_VERSION {
                    return Err(Bad(format!("versions {least_version} to {version} are spoken")));
                }
                peer.reads_work_logs = *features >= protocol::WORK_LOGS;
                self.on_handshake(connection, name, true)?;
            }
            Message::Welcome { features, name, .. } => {
                if peer.established || !peer.opened_by_us {
                    return Err(Bad("a welcome that has no place here".into()));
                }
                if peer.name.as_deref() != Some(*name) {
                    return Err(Bad(format!("{name} answers where {:?} was called", peer.name)));
                }
                peer.reads_work_logs = *features >= protocol::WORK_LOGS;
                self.on_handshake(connection, name, false)?;
            }
            _ if !peer.established => return Err(Bad("a message before the greeting".into())),
            _ => return Ok(MessageOutcome::LedgerMessage),
        }
        Ok(MessageOutcome::Handled)
    }

    /// Handles a message for the ledger, of a peer whose handshake is complete.
    fn receive_ledger_message(&mut self, connection: ConnectionId, message: &Message<'_>) -> Result<(), Bad> {
        let Some(sender) = self.peers.get(&connection).and_then(|peer| peer.name.clone()) else {
            return Ok(());
        };
        self.ledger.on_contact(self.now);
        match message {
            Message::Tips { all, tips, beats, whole, log } => {
                self.receive_heartbeats(connection, beats);
                self.receive_heads(connection, log_kind(*log), digest_from_bytes(all), tips, *whole)?;
            }
            Message::Want { writer, life, after, digest, skip, log } => {
                let id = LogId { writer: (*writer).into(), incarnation: *life };
                let (after, digest, skip) = (*after, digest_from_bytes(digest), *skip);
                self.serve_entries(connection, log_kind(*log), &EntryRequest { id, after, digest, skip });
            }
            Message::Rows { writer, life, after, digest, rows, skip, rest, log } => {
                let id = LogId { writer: (*writer).into(), incarnation: *life };
                let entries = rows.iter().map(|entry| entry.0).collect();
                let (after, digest, skip, rest) = (*after, digest_from_bytes(digest), *skip, *rest);
                let received = ReceivedEntries { id, after, digest, entries, skip, remaining: rest };
                self.receive_entries(connection, log_kind(*log), &received)?;
            }
            Message::Orders { orders } => self.receive_directives(connection, orders)?,
            Message::ShareAsk { team, month, life, open, last } => {
                let amount = SplitAmount { open: *open, running_only: *last };
                let (team, month, life) = ((*team).into(), *month, *life);
                self.receive_share_request(
                    connection,
                    &ShareRequest { to: sender, incarnation: life, team, month, amount },
                );
            }
            Message::ShareGiven { team, open, last, .. } => {
                let amount = SplitAmount { open: *open, running_only: *last };
                self.receive_share_reply(connection, &sender, &(*team).into(), amount);
            }
            _ => return Err(Bad("not a message between schedulers".into())),
        }
        Ok(())
    }

    /// Both have said who they are. `accepted`: the peer opened the connection, and waits for our welcome.
    fn on_handshake(&mut self, connection: ConnectionId, name: &str, accepted: bool) -> Result<(), Bad> {
        if !self.addresses.contains_key(name) {
            return Err(Bad(format!("{name} is none of the members")));
        }
        let name = Name::from(name);
        if self.is_banned(&name) {
            return Err(Bad("it spoke wrongly a moment ago".into()));
        }
        let Some(peer) = self.peers.get_mut(&connection) else { return Ok(()) };
        peer.established = true;
        peer.used_at = self.now;
        peer.name = Some(name.clone());
        self.retries.remove(&name);
        if accepted {
            self.write_welcome(connection);
        }
        self.close_duplicate(connection, &name);
        if self.peers.contains_key(&connection) {
            if let Some(peer) = self.peers.get_mut(&connection) {
                peer.work.allow_push();
            }
            // Before the digest: a peer that lacks nothing else then already knows of its work logs.
            self.push_work_heads(connection);
            self.write_digest(connection);
        }
        Ok(())
    }

    /// Greets a peer to whom we opened the connection.
    pub(super) fn write_hello(&mut self, connection: ConnectionId, now: Timestamp) {
        let (me, life) = (self.ledger.settings().me.clone(), self.ledger.incarnation());
        let (conversation, features) = (Conversation::PlannerPlanner, self.features());
        self.write(connection, &Message::hello(conversation, features, &me, life, now.nanos()));
    }

    /// Greets a peer that opened the connection.
    fn write_welcome(&mut self, connection: ConnectionId) {
        let (me, life) = (self.ledger.settings().me.clone(), self.ledger.incarnation());
        let (version, features) = (protocol::VERSION, self.features());
        self.write(connection, &Message::Welcome { version, features, name: &me, life, silence: None });
    }
}
