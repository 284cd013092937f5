//! Receiving: decoding what came on the connections, the greeting, and the dispatch of messages.

use super::Exchange;
use super::cursor::{ReceivedRows, RowRequest};
use super::replication::digest_of;
use super::work_logs::kind_of;
use mulleinhub_interface::Timestamp;
use mulleinhub_protocol::{self as protocol, Bad, Conversation, Frames, Message, Side, decode};
use mulleinhub_quota::ShareRequest;
use mulleinhub_replicated_log::{LogId, Name, SplitAmount};
use mulleinhub_sans_io::ConnectionId;

/// Frames of one peer that are decoded in a turn.
const MAX_FRAMES: usize = 64;
/// Bytes of one peer that may wait to be decoded; with more, reading from its connection pauses.
const MAX_WAITING: usize = 512 * 1024;

/// Whether a message was one of the session itself: greeting, signs of life, the end.
enum Session {
    /// It was, and has been handled.
    Handled,
    /// It is one of the exchange of books.
    Books,
}

impl Exchange {
    /// Decodes and handles what came since the last turn, a bounded number of frames of each peer.
    pub(super) fn receive_all(&mut self) {
        for link in std::mem::take(&mut self.arrived) {
            let Some(peer) = self.peers.get_mut(&link) else { continue };
            let mut frames = std::mem::take(&mut peer.frames);
            let received = self.receive_frames(link, &mut frames);
            if let Some(peer) = self.peers.get_mut(&link) {
                peer.frames = frames;
                let is_full = peer.frames.kept() > MAX_WAITING;
                self.links.set_reading_paused(link, is_full);
            }
            if let Err(bad) = received {
                self.cut(link, &bad);
            }
        }
        self.turn_again |= !self.arrived.is_empty();
    }

    /// Handles frames of one peer; those beyond the bound wait for the next turn.
    fn receive_frames(&mut self, link: ConnectionId, frames: &mut Frames) -> Result<(), Bad> {
        for _ in 0..MAX_FRAMES {
            let Some(frame) = frames.next_frame()? else { return Ok(()) };
            let message = decode(frame)?;
            self.receive(link, &message)?;
            if !self.peers.contains_key(&link) {
                return Ok(());
            }
        }
        self.arrived.insert(link);
        Ok(())
    }

    /// Handles a message.
    fn receive(&mut self, link: ConnectionId, message: &Message<'_>) -> Result<(), Bad> {
        match self.receive_of_session(link, message)? {
            Session::Handled => Ok(()),
            Session::Books => self.receive_of_books(link, message),
        }
    }

    /// Handles a message where it is one of the session: greeting, signs of life, the end.
    fn receive_of_session(&mut self, link: ConnectionId, message: &Message<'_>) -> Result<Session, Bad> {
        let Some(peer) = self.peers.get_mut(&link) else { return Ok(Session::Handled) };
        peer.received_at = self.now;
        let side = if peer.opened_by_us { Side::Opened } else { Side::Opener };
        if !message.belongs(Conversation::PlannerPlanner, side) {
            return Err(Bad("not a message between schedulers".into()));
        }
        match message {
            Message::Bye { words } => {
                peer.said_bye = true;
                tracing::info!(peer = ?peer.name, words, "a scheduler says why it ends");
            }
            Message::Ping { nonce } => self.write(link, &Message::Pong { nonce: *nonce }),
            Message::Pong { .. } => {}
            Message::Hello { conversation, version, least_version, features, name, .. } => {
                if peer.greeted || *conversation != Conversation::PlannerPlanner {
                    return Err(Bad("a hello that has no place here".into()));
                }
                if *least_version > protocol::VERSION || *version < protocol::LEAST_VERSION {
                    return Err(Bad(format!("versions {least_version} to {version} are spoken")));
                }
                peer.reads_work_logs = *features >= protocol::WORK_LOGS;
                self.greeted(link, name, true)?;
            }
            Message::Welcome { features, name, .. } => {
                if peer.greeted || !peer.opened_by_us {
                    return Err(Bad("a welcome that has no place here".into()));
                }
                if peer.name.as_deref() != Some(*name) {
                    return Err(Bad(format!("{name} answers where {:?} was called", peer.name)));
                }
                peer.reads_work_logs = *features >= protocol::WORK_LOGS;
                self.greeted(link, name, false)?;
            }
            _ if !peer.greeted => return Err(Bad("a message before the greeting".into())),
            _ => return Ok(Session::Books),
        }
        Ok(Session::Handled)
    }

    /// Handles a message for the books, of a peer that has greeted.
    fn receive_of_books(&mut self, link: ConnectionId, message: &Message<'_>) -> Result<(), Bad> {
        let Some(from) = self.peers.get(&link).and_then(|peer| peer.name.clone()) else { return Ok(()) };
        self.keeper.on_contact(self.now);
        match message {
            Message::Tips { all, tips, beats, whole, log } => {
                self.receive_heartbeats(link, beats);
                self.receive_heads(link, kind_of(*log), digest_of(all), tips, *whole)?;
            }
            Message::Want { writer, life, after, digest, skip, log } => {
                let id = LogId { writer: (*writer).into(), incarnation: *life };
                let (after, digest, skip) = (*after, digest_of(digest), *skip);
                self.serve_rows(link, kind_of(*log), &RowRequest { id, after, digest, skip });
            }
            Message::Rows { writer, life, after, digest, rows, skip, rest, log } => {
                let id = LogId { writer: (*writer).into(), incarnation: *life };
                let rows = rows.iter().map(|row| row.0).collect();
                let (after, digest, skip, rest) = (*after, digest_of(digest), *skip, *rest);
                let received = ReceivedRows { id, after, digest, rows, skip, rest };
                self.receive_rows(link, kind_of(*log), &received)?;
            }
            Message::Orders { orders } => self.receive_orders(link, orders)?,
            Message::ShareAsk { team, month, life, open, last } => {
                let parts = SplitAmount { open: *open, running_only: *last };
                let (team, month, life) = ((*team).into(), *month, *life);
                self.receive_share_ask(
                    link,
                    &ShareRequest { to: from, incarnation: life, team, month, amount: parts },
                );
            }
            Message::ShareGiven { team, open, last, .. } => {
                let parts = SplitAmount { open: *open, running_only: *last };
                self.receive_share_given(link, &from, &(*team).into(), parts);
            }
            _ => return Err(Bad("not a message between schedulers".into())),
        }
        Ok(())
    }

    /// Both have said who they are. `accepted`: the peer opened the connection, and waits for our welcome.
    fn greeted(&mut self, link: ConnectionId, name: &str, accepted: bool) -> Result<(), Bad> {
        if !self.addresses.contains_key(name) {
            return Err(Bad(format!("{name} is none of the members")));
        }
        let name = Name::from(name);
        if self.is_banned(&name) {
            return Err(Bad("it spoke wrongly a moment ago".into()));
        }
        let Some(peer) = self.peers.get_mut(&link) else { return Ok(()) };
        peer.greeted = true;
        peer.used_at = self.now;
        peer.name = Some(name.clone());
        self.retries.remove(&name);
        if accepted {
            self.write_welcome(link);
        }
        self.end_twin(link, &name);
        if self.peers.contains_key(&link) {
            if let Some(peer) = self.peers.get_mut(&link) {
                peer.work.begin();
            }
            // Before the digest: where that is all that a peer lacks, it has heard of its work logs, too.
            self.push_work_heads(link);
            self.write_digest(link);
        }
        Ok(())
    }

    /// Greets a peer to whom we opened the connection.
    pub(super) fn write_hello(&mut self, link: ConnectionId, now: Timestamp) {
        let (me, life) = (self.keeper.settings().me.clone(), self.keeper.incarnation());
        let (conversation, features) = (Conversation::PlannerPlanner, self.features());
        self.write(link, &Message::hello(conversation, features, &me, life, now.nanos()));
    }

    /// Greets a peer that opened the connection.
    fn write_welcome(&mut self, link: ConnectionId) {
        let (me, life) = (self.keeper.settings().me.clone(), self.keeper.incarnation());
        let (version, features) = (protocol::VERSION, self.features());
        self.write(link, &Message::Welcome { version, features, name: &me, life, silence: None });
    }
}
