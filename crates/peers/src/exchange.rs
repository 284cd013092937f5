//! The exchange between schedulers: who is connected to whom, who is told what, and who is asked for it.
//!
//! Bounded anti-entropy: each scheduler keeps connections to a few others, drawn anew now and then. On
//! each, both tell one figure over the ends of all columns first; where the figures differ, the ends, and
//! from then on those that change. Rows go to who asks for them, in pieces. Orders and parts of shares go
//! ahead of rows. A connection that doesn't read is told nothing more until it does, and costs the others
//! nothing.

use crate::shelf::Shelf;
use mulleinhub_accounts::{Keeper, Phase, Settings, Wanted};
use mulleinhub_interface::{Span, Time};
use mulleinhub_pacing::{STANDSTILL, again};
use mulleinhub_protocol::{self as protocol, Bad, Conversation, Frames, Message, Side, decode, encode};
use mulleinhub_replica::{
    Change, ColumnId, Digest, Kept, Name, Order, Parts, Presence, Standing, Subject, Tip, Word,
};
use mulleinhub_seam::{Door, End, Link, Links, Party};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Connections that one keeps to others.
const FAN: usize = 3;
/// One of them is drawn anew this often, so that halves that have met nobody of the other meet.
const REDRAWN: Span = Span::from_secs(20);
/// Between signs of life; with hundreds of members longer, as each sign goes to all.
const BEAT: Span = Span::from_secs(1);
const MEMBERS_A_BEAT: usize = 100;
/// Between two tellings on one connection, so that many rows go together.
const GAP: Span = Span::from_nanos(20_000_000);
/// Connections asked for at a time.
const MOST_OPENING: usize = 32;
const RETRY: Span = Span::from_nanos(200_000_000);
/// A greeting that doesn't come, and rows that were asked for.
const GREETING: Span = Span::from_secs(3);
const ROWS: Span = Span::from_secs(2);
/// A connection that is nobody's friend and was not used for so long.
const UNUSED: Span = Span::from_secs(10);
/// Without a sign for so many beats, a connection is taken for dead; for so many, or not up for so long, it
/// is doubted.
const SILENT_BEATS: f64 = 4.0;
const LIVELY_BEATS: f64 = 1.5;
const OPENS: Span = Span::from_nanos(500_000_000);
/// One that spoke wrongly is let in again after this.
const BARRED: Span = Span::from_secs(5);
/// Frames of one peer that are heard in a turn, and bytes of it that may wait.
const FRAMES: usize = 64;
const MOST_WAITING: usize = 512 * 1024;
/// More is told to a peer once less than this waits for it.
const UNREAD: usize = 256 * 1024;
/// Rows in one piece. A single row may be longer: it goes in several.
const PIECE: usize = 64 * 1024;
const MOST_PARTIAL: usize = 16 << 20;
const MOST_TIPS: usize = 512;

/// A scheduler that books are exchanged with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub name: Name,
    pub address: String,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub rows_in: u64,
    /// Peers that spoke wrongly and were cut off.
    pub bad: u64,
    pub forks: u64,
    pub asks: u64,
    pub gifts: u64,
}

/// Rows that were asked for.
#[derive(Debug)]
struct Asked {
    id: ColumnId,
    since: Time,
    /// Bytes of a row that is longer than a piece.
    partial: Vec<u8>,
}

#[derive(Debug, Default)]
struct Peer {
    name: Option<Name>,
    ours: bool,
    greeted: bool,
    frames: Frames,
    since: Time,
    heard: Time,
    used: Time,
    /// Of our changes it was told those up to this one.
    told: u64,
    told_at: Time,
    beats_at: Time,
    beats: BTreeMap<Name, (u64, u64)>,
    orders_at: u64,
    orders: BTreeMap<Subject, Standing>,
    /// What it knows, and what of that we want.
    knows: BTreeMap<ColumnId, u64>,
    newer: BTreeMap<ColumnId, Tip>,
    asked: Option<Asked>,
    /// It has told its figure of all, and all that it knows.
    first: bool,
    whole: bool,
    /// It said that it ends the connection: that is no sign that it is gone.
    said_bye: bool,
}

pub struct Exchange {
    keeper: Keeper,
    shelf: Arc<Shelf>,
    links: Links,
    addresses: BTreeMap<Name, String>,
    peers: BTreeMap<Link, Peer>,
    arrived: BTreeSet<Link>,
    friends: BTreeSet<Name>,
    redraw_at: Time,
    tries: BTreeMap<Name, (u32, Time)>,
    barred: BTreeMap<Name, Time>,
    beat: Span,
    beats: u64,
    beat_at: Time,
    status_at: Time,
    utc: u64,
    now: Time,
    promised: Option<Time>,
    again: bool,
    begun: bool,
    figures: Figures,
    scratch: Vec<u8>,
}

impl Exchange {
    /// `life` is greater at each start.
    pub fn new(
        settings: Settings,
        members: Vec<Member>,
        life: u64,
        seed: u64,
        kept: Vec<Kept>,
        shelf: Arc<Shelf>,
    ) -> Self {
        let beat = BEAT * (members.len() as f64 / MEMBERS_A_BEAT as f64).max(1.0);
        let me = settings.me.clone();
        let others = members.into_iter().filter(|member| member.name != me);
        Self {
            keeper: Keeper::new(settings, life, seed, kept, beat),
            shelf,
            links: Links::default(),
            addresses: others.map(|member| (member.name, member.address)).collect(),
            peers: BTreeMap::new(),
            arrived: BTreeSet::new(),
            friends: BTreeSet::new(),
            redraw_at: Time::default(),
            tries: BTreeMap::new(),
            barred: BTreeMap::new(),
            beat,
            beats: 0,
            beat_at: Time::default(),
            status_at: Time::default(),
            utc: 0,
            now: Time::default(),
            promised: None,
            again: false,
            begun: false,
            figures: Figures::default(),
            scratch: Vec::new(),
        }
    }

    pub fn keeper(&self) -> &Keeper {
        &self.keeper
    }

    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// The time of day for the next turn, in milliseconds of Unix time.
    pub fn set_clock(&mut self, utc: u64) {
        self.utc = utc;
    }

    /// What is to be kept; `is_durable` tells when it is.
    pub fn take_changes(&mut self) -> Vec<Change> {
        self.keeper.take_changes()
    }

    /// The last of our own rows among changes.
    pub fn last_own(&self, changes: &[Change]) -> u64 {
        let own = self.keeper.library().own();
        let mine = changes.iter().filter_map(|change| match change {
            Change::Row { id, number, .. } if id == own => Some(*number),
            _ => None,
        });
        mine.max().unwrap_or(0)
    }

    /// Our own rows up to this one are on disk.
    pub fn is_durable(&mut self, number: u64) {
        self.keeper.is_durable(number);
        self.again = true;
    }

    /// Orders of the operators, from their file.
    pub fn order(&mut self, orders: &[Order]) {
        orders.iter().for_each(|order| self.keeper.order(order));
        self.again = true;
    }

    /// Whether anybody is connected.
    pub fn is_alone(&self) -> bool {
        !self.peers.values().any(|peer| peer.greeted)
    }

    // Writing.

    fn write(&mut self, link: Link, message: &Message<'_>) {
        self.scratch.clear();
        encode(message, &mut self.scratch);
        self.figures.bytes_out += self.scratch.len() as u64;
        self.links.send(link, &self.scratch, None);
    }

    fn end(&mut self, link: Link, words: &str) {
        self.write(link, &Message::Bye { words });
        self.peers.remove(&link);
        self.links.end(link);
    }

    /// Ends the connection of a peer that spoke wrongly, and no other.
    fn cut(&mut self, link: Link, bad: &Bad) {
        self.figures.bad += 1;
        let name = self.peers.get(&link).and_then(|peer| peer.name.clone());
        tracing::warn!(peer = ?name, %bad, "a scheduler speaks wrongly; its connection ends");
        let mut words = bad.to_string();
        words.truncate(words.floor_char_boundary(protocol::MOST_WORDS));
        if let Some(name) = name {
            self.barred.insert(name, self.now + BARRED);
        }
        self.end(link, &words);
    }

    fn link_to(&self, name: &Name) -> Option<Link> {
        let is = |(_, peer): &(&Link, &Peer)| peer.greeted && peer.name.as_ref() == Some(name);
        self.peers.iter().rev().find(is).map(|(link, _)| *link)
    }

    // Hearing.

    fn hear_all(&mut self) {
        for link in std::mem::take(&mut self.arrived) {
            let Some(peer) = self.peers.get_mut(&link) else { continue };
            let mut frames = std::mem::take(&mut peer.frames);
            let mut left = FRAMES;
            let heard = loop {
                if left == 0 {
                    self.arrived.insert(link);
                    break Ok(());
                }
                left -= 1;
                match frames.next_frame() {
                    Ok(None) => break Ok(()),
                    Ok(Some(frame)) => {
                        let heard = decode(frame).and_then(|message| self.hear(link, &message));
                        if heard.is_err() || !self.peers.contains_key(&link) {
                            break heard;
                        }
                    }
                    Err(bad) => break Err(bad),
                }
            };
            if let Some(peer) = self.peers.get_mut(&link) {
                peer.frames = frames;
                let full = peer.frames.kept() > MOST_WAITING;
                self.links.pause(link, full);
            }
            if let Err(bad) = heard {
                self.cut(link, &bad);
            }
        }
        self.again |= !self.arrived.is_empty();
    }

    fn hear(&mut self, link: Link, message: &Message<'_>) -> Result<(), Bad> {
        let now = self.now;
        let Some(peer) = self.peers.get_mut(&link) else { return Ok(()) };
        peer.heard = now;
        let side = if peer.ours { Side::Opened } else { Side::Opener };
        if !message.belongs(Conversation::PlannerPlanner, side) {
            return Err(Bad("not a message between schedulers".into()));
        }
        match message {
            Message::Bye { words } => {
                peer.said_bye = true;
                tracing::info!(peer = ?peer.name, words, "a scheduler says why it ends");
                return Ok(());
            }
            Message::Ping { nonce } => {
                self.write(link, &Message::Pong { nonce: *nonce });
                return Ok(());
            }
            Message::Pong { .. } => return Ok(()),
            Message::Hello { conversation, version, least_version, name, .. } => {
                if peer.greeted || *conversation != Conversation::PlannerPlanner {
                    return Err(Bad("a hello that has no place here".into()));
                }
                if *least_version > protocol::VERSION || *version < protocol::LEAST_VERSION {
                    return Err(Bad(format!("versions {least_version} to {version} are spoken")));
                }
                return self.greeted(link, name, true);
            }
            Message::Welcome { name, .. } => {
                if peer.greeted || !peer.ours {
                    return Err(Bad("a welcome that has no place here".into()));
                }
                if peer.name.as_deref() != Some(*name) {
                    return Err(Bad(format!("{name} answers where {:?} was called", peer.name)));
                }
                return self.greeted(link, name, false);
            }
            _ if !peer.greeted => return Err(Bad("a message before the greeting".into())),
            _ => {}
        }
        let name = peer.name.clone().expect("who has greeted has a name");
        self.keeper.heard(now);
        match message {
            Message::Tips { all, tips, beats, whole } => self.tips(link, all, tips, beats, *whole),
            Message::Want { writer, life, after, digest, skip } => {
                let id = ColumnId { writer: (*writer).into(), life: *life };
                self.wanted(link, &id, *after, digest_of(digest), *skip);
                Ok(())
            }
            Message::Rows { writer, life, after, digest, rows, skip, rest } => {
                let id = ColumnId { writer: (*writer).into(), life: *life };
                let rows: Vec<&[u8]> = rows.iter().map(|row| row.0).collect();
                self.rows(link, &id, *after, digest_of(digest), rows, *skip, *rest)
            }
            Message::Orders { orders } => orders.iter().try_for_each(|told| self.order_told(link, told)),
            Message::ShareAsk { team, month, life, open, last } => {
                let parts = Parts { open: *open, last: *last };
                let wanted =
                    Wanted { to: name.clone(), life: *life, team: (*team).into(), month: *month, parts };
                let shelf = self.shelf.clone();
                self.keeper.asked(now, &name, *life, &wanted, &mut &*shelf);
                self.used(link);
                Ok(())
            }
            Message::ShareGiven { team, open, last, .. } => {
                let parts = Parts { open: *open, last: *last };
                self.figures.gifts += u64::from(parts.sum() > 0);
                self.keeper.answered(now, &name, &(*team).into(), parts);
                self.used(link);
                Ok(())
            }
            _ => Err(Bad("not a message between schedulers".into())),
        }
    }

    fn used(&mut self, link: Link) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.used = self.now;
        }
    }

    /// Both have said who they are.
    fn greeted(&mut self, link: Link, name: &str, came: bool) -> Result<(), Bad> {
        if !self.addresses.contains_key(name) {
            return Err(Bad(format!("{name} is none of the members")));
        }
        let name = Name::from(name);
        let now = self.now;
        if self.barred.get(&name).is_some_and(|until| *until > now) {
            return Err(Bad("it spoke wrongly a moment ago".into()));
        }
        let peer = self.peers.get_mut(&link).expect("it speaks");
        (peer.greeted, peer.used) = (true, now);
        peer.name = Some(name.clone());
        self.tries.remove(&name);
        if came {
            let (me, life) = (self.keeper.settings().me.clone(), self.keeper.life());
            let (version, features) = (protocol::VERSION, protocol::BOOKS);
            self.write(link, &Message::Welcome { version, features, name: &me, life, silence: None });
        }
        // One connection is enough for two: the one that the first of their names opened.
        let is_twin = |(other, peer): &(&Link, &Peer)| {
            **other != link && peer.greeted && peer.name.as_ref() == Some(&name)
        };
        let twin = self.peers.iter().find(is_twin).map(|(other, peer)| (*other, peer.ours));
        if let Some((other, ours)) = twin
            && self.keeper.settings().me > name
        {
            let end = if ours { other } else { link };
            if self.peers.get(&end).is_some_and(|peer| peer.ours) {
                self.end(end, "one connection is enough");
            }
        }
        if self.peers.contains_key(&link) {
            let all = self.keeper.library().all();
            self.write(
                link,
                &Message::Tips { all: &all.0, tips: Vec::new(), beats: Vec::new(), whole: false },
            );
        }
        Ok(())
    }

    fn tips(
        &mut self,
        link: Link,
        all: &[u8],
        tips: &[protocol::Tip<'_>],
        beats: &[protocol::Beat<'_>],
        whole: bool,
    ) -> Result<(), Bad> {
        let now = self.now;
        for beat in beats {
            let (name, beat) = (Name::from(beat.name), (beat.life, beat.count));
            self.keeper.roll.beat(now, &name, beat);
            if let Some(peer) = self.peers.get_mut(&link) {
                let told = peer.beats.entry(name).or_default();
                *told = (*told).max(beat);
            }
        }
        let library = self.keeper.library();
        let same = library.all() == digest_of(all);
        let stamp = library.stamp();
        let Some(peer) = self.peers.get_mut(&link) else { return Ok(()) };
        if same {
            // It knows what we know: nothing of that need be told.
            (peer.told, peer.whole) = (stamp, true);
        }
        peer.first = true;
        peer.whole |= whole;
        for tip in tips {
            let id = ColumnId { writer: tip.writer.into(), life: tip.life };
            if !self.addresses.contains_key(&id.writer) && id.writer != self.keeper.settings().me {
                continue;
            }
            let tip = Tip { id: id.clone(), number: tip.number, digest: digest_of(tip.digest) };
            peer.knows.insert(id.clone(), tip.number);
            if self.keeper.library().wants(&tip) {
                peer.newer.insert(id, tip);
            }
        }
        Ok(())
    }

    /// Rows that a peer asks for.
    fn wanted(&mut self, link: Link, id: &ColumnId, after: u64, digest: Digest, skip: u64) {
        let piece = self.keeper.library().rows_after(id, after, digest, PIECE);
        let (writer, life) = (id.writer.clone(), id.life);
        let Some(piece) = piece else {
            let (digest, rows) = (&digest.0, Vec::new());
            let message = Message::Rows { writer: &writer, life, after, digest, rows, skip: 0, rest: 0 };
            return self.write(link, &message);
        };
        let mut rows: Vec<&[u8]> = piece.rows.iter().map(|row| &**row).collect();
        // Of a row that is longer than a piece, the next part.
        let (mut skip, mut rest) = (skip as usize, 0);
        if let Some(first) = rows.first_mut() {
            skip = if piece.after == after && skip < first.len() { skip } else { 0 };
            let end = first.len().min(skip + PIECE);
            rest = first.len() - end;
            *first = &first[skip..end];
        }
        if rest > 0 {
            rows.truncate(1);
        }
        let rows = rows.into_iter().map(protocol::RowBytes).collect();
        let (after, digest) = (piece.after, &piece.digest.0);
        let (skip, rest) = (skip as u64, rest as u64);
        self.write(link, &Message::Rows { writer: &writer, life, after, digest, rows, skip, rest });
        self.used(link);
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn rows(
        &mut self,
        link: Link,
        id: &ColumnId,
        after: u64,
        digest: Digest,
        rows: Vec<&[u8]>,
        skip: u64,
        rest: u64,
    ) -> Result<(), Bad> {
        let Some(peer) = self.peers.get_mut(&link) else { return Ok(()) };
        // What was asked for so long ago that another was asked since comes too late.
        let Some(mut asked) = peer.asked.take_if(|asked| asked.id == *id) else { return Ok(()) };
        if skip as usize != asked.partial.len() {
            if skip != 0 {
                return Err(Bad(format!("a row from byte {skip}, {} are here", asked.partial.len())));
            }
            asked.partial.clear();
        }
        let mut rows = rows;
        if !rows.is_empty() && (rest > 0 || !asked.partial.is_empty()) {
            asked.partial.extend_from_slice(rows[0]);
            if asked.partial.len() > MOST_PARTIAL {
                return Err(Bad("a row without end".into()));
            }
            if rest > 0 {
                asked.since = self.now;
                peer.asked = Some(asked);
                self.want(link, id);
                return Ok(());
            }
            rows[0] = &asked.partial;
        }
        if rows.is_empty() {
            peer.newer.remove(id);
            return Ok(());
        }
        let taken = self.keeper.library_mut().take(id, after, digest, &rows).map_err(|bad| Bad(bad.0))?;
        self.figures.rows_in += taken.new as u64;
        if taken.forked && taken.new > 0 {
            self.figures.forks += 1;
            tracing::error!(writer = %id.writer, life = id.life, "a column has forked: both branches count");
        }
        let peer = self.peers.get_mut(&link).expect("it speaks");
        if let Some(tip) = peer.newer.get(id)
            && (!self.keeper.library().wants(tip) || taken.new == 0)
        {
            peer.newer.remove(id);
        }
        self.used(link);
        Ok(())
    }

    /// Asks for the rows of a column that follow what we have.
    fn want(&mut self, link: Link, id: &ColumnId) {
        let library = self.keeper.library();
        let tip = self.peers.get(&link).and_then(|peer| peer.newer.get(id));
        let (after, digest) = tip.map_or_else(|| library.known_of(id), |tip| library.asks_after(tip));
        let skip =
            self.peers.get(&link).and_then(|peer| peer.asked.as_ref()).map_or(0, |a| a.partial.len() as u64);
        let (writer, life) = (id.writer.clone(), id.life);
        self.write(link, &Message::Want { writer: &writer, life, after, digest: &digest.0, skip });
    }

    fn order_told(&mut self, link: Link, told: &protocol::OrderTold<'_>) -> Result<(), Bad> {
        let name = Name::from(told.name);
        let subject = if told.account { Subject::Account(name) } else { Subject::Team(name) };
        let word = match (told.word, told.figure) {
            (protocol::OrderWord::Cleared, _) => Word::Cleared {},
            (protocol::OrderWord::Held, finish_by) => Word::Held { finish_by },
            (protocol::OrderWord::Cap, Some(amount)) => Word::Cap { amount },
            (protocol::OrderWord::Cap, None) => return Err(Bad("a cap without a figure".into())),
        };
        let order = Order { subject: subject.clone(), number: told.number, word };
        order.check().map_err(|bad| Bad(bad.0))?;
        let standing = Standing { differs: told.differs, ..order.standing() };
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.orders.insert(subject.clone(), standing);
        }
        if self.keeper.library_mut().hear_order(&subject, standing) {
            tracing::info!(?subject, number = told.number, ?word, "an order was heard");
        }
        Ok(())
    }

    // Telling.

    fn tell(&mut self, link: Link) {
        if self.links.unwritten(link) > UNREAD {
            return;
        }
        self.tell_orders(link);
        let now = self.now;
        let Some(peer) = self.peers.get_mut(&link).filter(|peer| peer.greeted && peer.first) else { return };
        if now - peer.told_at < GAP && peer.told_at > Time::default() {
            return;
        }
        let library = self.keeper.library();
        let mut tips: Vec<Tip> = Vec::new();
        let mut whole = true;
        for (stamp, tip) in library.tips_after(peer.told) {
            if tips.len() >= MOST_TIPS {
                whole = false;
                break;
            }
            peer.told = stamp;
            if peer.knows.get(&tip.id).is_none_or(|known| *known < tip.number) {
                peer.knows.insert(tip.id.clone(), tip.number);
                tips.push(tip);
            }
        }
        let first = peer.told_at == Time::default();
        let mut beats: Vec<(Name, (u64, u64))> = Vec::new();
        if now - peer.beats_at >= self.beat || first {
            peer.beats_at = now;
            let me = (self.keeper.settings().me.clone(), (self.keeper.life(), self.beats));
            let others =
                self.keeper.roll.members().map(|name| (name.clone(), self.keeper.roll.beat_of(name)));
            for (name, beat) in others.chain([me]) {
                if beat > peer.beats.get(&name).copied().unwrap_or_default() {
                    peer.beats.insert(name.clone(), beat);
                    beats.push((name, beat));
                }
            }
        }
        if tips.is_empty() && beats.is_empty() && !first {
            return;
        }
        peer.told_at = now;
        self.again |= !whole;
        let all = self.keeper.library().all();
        for beats in beats.chunks(MOST_TIPS).skip(1) {
            let beats = beats.iter().map(beat_told).collect();
            self.write(link, &Message::Tips { all: &all.0, tips: Vec::new(), beats, whole: false });
        }
        let tips = tips.iter().map(tip_told).collect();
        let beats = beats.iter().take(MOST_TIPS).map(beat_told).collect();
        self.write(link, &Message::Tips { all: &all.0, tips, beats, whole });
    }

    fn tell_orders(&mut self, link: Link) {
        let stamp = self.keeper.library().orders_stamp();
        let Some(peer) = self.peers.get_mut(&link).filter(|peer| peer.greeted && peer.orders_at < stamp)
        else {
            return;
        };
        peer.orders_at = stamp;
        let orders = self.keeper.library().orders().iter();
        let new = orders.filter(|(subject, standing)| peer.orders.get(subject) != Some(standing));
        let new: Vec<(Subject, Standing)> =
            new.map(|(subject, standing)| (subject.clone(), *standing)).collect();
        peer.orders.extend(new.iter().cloned());
        for new in new.chunks(MOST_TIPS) {
            let orders = new.iter().map(order_of).collect();
            self.write(link, &Message::Orders { orders });
        }
    }

    /// Asks peers for what they know and we don't: one column at a time of each, and each column of one.
    fn want_rows(&mut self, link: Link) {
        let now = self.now;
        let out: BTreeSet<ColumnId> = self
            .peers
            .values()
            .filter_map(|peer| peer.asked.as_ref())
            .filter(|asked| now - asked.since < ROWS)
            .map(|asked| asked.id.clone())
            .collect();
        let library = self.keeper.library();
        let Some(peer) = self.peers.get_mut(&link) else { return };
        if peer.asked.as_ref().is_some_and(|asked| now - asked.since < ROWS) {
            return;
        }
        peer.asked = None;
        peer.newer.retain(|_, tip| library.wants(tip));
        let Some(id) = peer.newer.keys().find(|id| !out.contains(*id)).cloned() else { return };
        peer.asked = Some(Asked { id: id.clone(), since: now, partial: Vec::new() });
        self.want(link, &id);
    }

    fn shares(&mut self) {
        for wanted in self.keeper.take_wanted() {
            let Some(link) = self.link_to(&wanted.to) else {
                // It is called, and asked once it is there: the keeper asks again.
                self.call(&wanted.to.clone());
                continue;
            };
            self.figures.asks += 1;
            let Wanted { team, month, life, parts: Parts { open, last }, .. } = wanted;
            self.write(link, &Message::ShareAsk { team: &team, month, life, open, last });
            self.used(link);
        }
        for reply in self.keeper.take_replies() {
            if let Some(link) = self.link_to(&reply.to) {
                let (team, month, number) = (reply.team, reply.month, reply.number);
                let Parts { open, last } = reply.parts;
                // The row goes with it: what was given can be used at once.
                self.tell_now(link);
                self.write(link, &Message::ShareGiven { team: &team, month, open, last, number });
            }
        }
    }

    fn tell_now(&mut self, link: Link) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.told_at = Time::default() + Span::from_nanos(1);
        }
        self.tell(link);
    }

    // Connections.

    fn call(&mut self, name: &Name) {
        let now = self.now;
        let known = self.peers.values().any(|peer| peer.name.as_ref() == Some(name));
        let rests = self.tries.get(name).is_some_and(|(_, at)| *at > now)
            || self.barred.get(name).is_some_and(|until| *until > now);
        let opening = self.peers.values().filter(|peer| peer.ours && !peer.greeted).count();
        let Some(address) = self.addresses.get(name).filter(|_| !known && !rests && opening < MOST_OPENING)
        else {
            return;
        };
        let link = self.links.open(&address.clone());
        let peer = Peer {
            name: Some(name.clone()),
            ours: true,
            since: now,
            heard: now,
            used: now,
            ..Peer::default()
        };
        self.peers.insert(link, peer);
    }

    fn connections(&mut self) {
        let now = self.now;
        let silent = self.beat * SILENT_BEATS;
        let dead = |peer: &Peer| match peer.greeted {
            true => now - peer.heard > silent,
            false => now - peer.since > GREETING,
        };
        let catching_up = self.keeper.phase() == Phase::CatchingUp;
        let unused = |peer: &Peer| {
            let friend = peer.name.as_ref().is_some_and(|name| self.friends.contains(name));
            peer.ours && peer.greeted && !catching_up && !friend && now - peer.used > UNUSED
        };
        let over: Vec<(Link, bool)> = self
            .peers
            .iter()
            .filter(|(_, peer)| dead(peer) || unused(peer))
            .map(|(link, peer)| (*link, dead(peer)))
            .collect();
        for (link, dead) in over {
            if dead {
                self.failed(link);
                self.links.abort(link);
            } else {
                self.end(link, "it was not used");
            }
        }
        if now >= self.redraw_at {
            self.redraw_at = now + REDRAWN * (1.0 - 0.25 * self.keeper.part());
            self.drop_friend();
            while self.friends.len() > FAN {
                self.drop_friend();
            }
        }
        self.draw_friends();
        let mut calls: Vec<Name> = self.friends.iter().cloned().collect();
        if catching_up {
            calls = self.addresses.keys().filter(|name| !self.keeper.has_met(name)).cloned().collect();
        }
        calls.iter().for_each(|name| self.call(name));
    }

    /// Nothing came on the connection to a friend for longer than usual, or it doesn't come up.
    fn is_doubtful(&self, name: &Name) -> bool {
        let now = self.now;
        let lively = |peer: &Peer| match peer.greeted {
            true => now - peer.heard <= self.beat * LIVELY_BEATS,
            false => now - peer.since <= OPENS,
        };
        let mut links = self.peers.values().filter(|peer| peer.name.as_ref() == Some(name)).peekable();
        links.peek().is_some() && !links.any(lively)
    }

    /// Friends are drawn among those who are there, where any are. Beside doubtful ones others are drawn.
    /// Met: one whose friends were all in the half that it was cut from told nobody anything, with others
    /// in its own half.
    fn draw_friends(&mut self) {
        let lively = self.friends.iter().filter(|name| !self.is_doubtful(name)).count();
        let missing = FAN.saturating_sub(lively).min((2 * FAN).saturating_sub(self.friends.len()));
        let draws: Vec<f64> = (0..missing).map(|_| self.keeper.part()).collect();
        let now = self.now;
        let rests = |name: &Name| self.tries.get(name).is_some_and(|(_, at)| *at > now);
        let others = self.addresses.keys().filter(|name| !self.friends.contains(*name) && !rests(name));
        let others: Vec<&Name> = others.collect();
        let who = |is: &dyn Fn(Presence) -> bool| -> Vec<&Name> {
            others.iter().copied().filter(|name| is(self.keeper.roll.presence(now, name))).collect()
        };
        let mut among = who(&|is| is == Presence::There);
        if among.len() < missing {
            among = who(&|is| is != Presence::Gone);
        }
        if among.is_empty() {
            among.clone_from(&others);
        }
        let mut drawn = Vec::new();
        for part in draws.into_iter().take(among.len()) {
            let at = (among.len() as f64 * part) as usize;
            drawn.push(among.swap_remove(at).clone());
        }
        self.friends.extend(drawn);
    }

    /// One friend fewer, a doubtful one where there are any.
    fn drop_friend(&mut self) {
        let doubtful: Vec<Name> =
            self.friends.iter().filter(|name| self.is_doubtful(name)).cloned().collect();
        let among = if doubtful.is_empty() { self.friends.iter().cloned().collect() } else { doubtful };
        let at = self.keeper.below(among.len());
        if let Some(name) = among.get(at) {
            self.friends.remove(name);
        }
    }

    /// A connection is over that was not ended by us.
    fn failed(&mut self, link: Link) {
        let Some(peer) = self.peers.remove(&link) else { return };
        if let Some(name) = peer.name.as_ref().filter(|_| peer.greeted && !peer.said_bye) {
            self.keeper.roll.suspect(name);
        }
        let Some(name) = peer.name.filter(|_| peer.ours) else { return };
        let drawn = self.keeper.part();
        let tries = self.tries.entry(name.clone()).or_default();
        tries.1 = match peer.greeted {
            true => self.now + again::after_end(RETRY, drawn),
            false => self.now + again::after_failures(RETRY, tries.0, drawn),
        };
        tries.0 += u32::from(!peer.greeted);
        if !peer.greeted && self.friends.len() < self.addresses.len() {
            self.friends.remove(&name);
        }
    }

    /// Who has told all and has nothing left that we want.
    fn meetings(&mut self) {
        if self.keeper.phase() != Phase::CatchingUp {
            return;
        }
        for peer in self.peers.values() {
            if let Some(name) = peer.name.as_ref().filter(|_| peer.whole && peer.newer.is_empty()) {
                self.keeper.met(name);
            }
        }
    }

    // For whoever watches.

    fn tell_status(&mut self) {
        if self.now < self.status_at {
            return;
        }
        self.status_at = self.now + BEAT;
        let (now, keeper) = (self.now, &self.keeper);
        let roll = &keeper.roll;
        let of = |is: Presence| roll.members().filter(|name| roll.presence(now, name) == is).count();
        let newest = roll.members().filter_map(|name| roll.silent(now, name)).min();
        let news = newest.map_or("none".to_owned(), |span| format!("{:.1} s", span.over(Span::from_secs(1))));
        let mut lines = vec![format!(
            "books {:?}, connections {}, members there {} slow {} gone {}, newest news {news}, rows here {}",
            keeper.phase(),
            self.peers.values().filter(|peer| peer.greeted).count(),
            of(Presence::There),
            of(Presence::Slow),
            of(Presence::Gone),
            keeper.library().columns().map(|(_, column)| column.kept()).sum::<usize>(),
        )];
        lines.extend(keeper.looks().iter().map(|look| {
            format!(
                "team {} month {}-{:02} cap {} spent {} beyond {} free here {} + {} at hand {} + {}{}{}",
                look.team,
                look.month / 12,
                look.month % 12 + 1,
                look.cap.map_or("none".to_owned(), |cap| cap.to_string()),
                look.spent,
                look.beyond,
                look.free.open,
                look.free.last,
                look.at_hand.open,
                look.at_hand.last,
                if look.held { ", held" } else { "" },
                if look.differs { ", ORDERS DIFFER" } else { "" },
            )
        }));
        let forked = keeper.library().columns().filter(|(_, column)| column.is_forked());
        lines.extend(forked.map(|(id, _)| format!("column {} life {} HAS FORKED", id.writer, id.life)));
        self.shelf.set_status(lines);
    }
}

fn digest_of(bytes: &[u8]) -> Digest {
    // Its length was checked when it was decoded.
    Digest(bytes.try_into().unwrap_or_default())
}

fn tip_told(tip: &Tip) -> protocol::Tip<'_> {
    protocol::Tip { writer: &tip.id.writer, life: tip.id.life, number: tip.number, digest: &tip.digest.0 }
}

fn beat_told((name, (life, count)): &(Name, (u64, u64))) -> protocol::Beat<'_> {
    protocol::Beat { name, life: *life, count: *count }
}

fn order_of((subject, standing): &(Subject, Standing)) -> protocol::OrderTold<'_> {
    let (account, name) = match subject {
        Subject::Account(name) => (true, name),
        Subject::Team(name) => (false, name),
    };
    let (word, figure) = match standing.word {
        Word::Cleared {} => (protocol::OrderWord::Cleared, None),
        Word::Held { finish_by } => (protocol::OrderWord::Held, finish_by),
        Word::Cap { amount } => (protocol::OrderWord::Cap, Some(amount)),
    };
    protocol::OrderTold { account, name, number: standing.number, word, figure, differs: standing.differs }
}

impl Party for Exchange {
    fn opened(&mut self, now: Time, link: Link, _: Door) {
        self.now = self.now.max(now);
        let now = self.now;
        self.peers.insert(link, Peer { since: now, heard: now, used: now, ..Peer::default() });
    }

    fn up(&mut self, now: Time, link: Link) {
        self.now = self.now.max(now);
        let (me, life) = (self.keeper.settings().me.clone(), self.keeper.life());
        let hello = Message::hello(Conversation::PlannerPlanner, protocol::BOOKS, &me, life, now.nanos());
        self.write(link, &hello);
    }

    fn received(&mut self, now: Time, link: Link, bytes: &[u8]) {
        self.now = self.now.max(now);
        self.figures.bytes_in += bytes.len() as u64;
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.frames.take(bytes);
            self.arrived.insert(link);
        }
    }

    fn ended(&mut self, now: Time, link: Link, _: End) {
        self.now = self.now.max(now);
        self.links.forget(link);
        self.failed(link);
    }

    fn turn(&mut self, now: Time) {
        self.now = self.now.max(now);
        let now = self.now;
        self.again = false;
        let late = self.promised.map_or(Span::ZERO, |promised| now - promised);
        if late > STANDSTILL {
            self.keeper.stood(now, late);
            self.peers
                .values_mut()
                .for_each(|peer| (peer.heard, peer.since) = (peer.heard + late, peer.since + late));
        }
        self.begun = true;
        self.hear_all();
        if now >= self.beat_at {
            (self.beats, self.beat_at) = (self.beats + 1, now + self.beat);
        }
        self.meetings();
        let shelf = self.shelf.clone();
        if shelf.take_told() {
            self.keeper.all_told();
        }
        if shelf.take_wanted() || self.keeper.due().is_none_or(|due| due <= now) {
            let utc = self.utc;
            self.keeper.tick(now, utc, &mut &*shelf);
        }
        for words in self.keeper.take_told() {
            tracing::error!("{words}");
        }
        self.shares();
        self.connections();
        let links: Vec<Link> =
            self.peers.iter().filter(|(_, peer)| peer.greeted).map(|(link, _)| *link).collect();
        for link in links {
            self.tell(link);
            self.want_rows(link);
        }
        self.tell_status();
        self.promised = self.wake();
    }

    fn wake(&self) -> Option<Time> {
        if self.again || !self.begun {
            return Some(self.now);
        }
        let stamp = self.keeper.library().stamp();
        // Whoever doesn't read is told more when it has read.
        let waits = |(link, peer): &(&Link, &Peer)| {
            peer.greeted && peer.first && peer.told < stamp && self.links.unwritten(**link) <= UNREAD
        };
        let tells = self.peers.iter().filter(waits).map(|(_, peer)| peer.told_at + GAP).min();
        [tells, self.keeper.due(), Some(self.beat_at)].into_iter().flatten().min()
    }

    fn links(&mut self) -> &mut Links {
        &mut self.links
    }
}
