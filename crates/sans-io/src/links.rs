//! The connections of one party: their outgoing bytes, and which frames of them can still be taken back.

use crate::Command;
use std::collections::{BTreeMap, VecDeque};

/// A connection, by a number that its party never uses again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What of a marked frame may have left this process when its connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsent {
    /// Not a byte was handed to the system.
    Whole,
    /// Some bytes were, not all.
    Part,
}

/// Bytes on their way out, with the places of the frames that carry a mark.
#[derive(Debug, Default)]
struct Outbox {
    bytes: Vec<u8>,
    /// How many bytes stood before `bytes[0]` since this box was taken.
    gone: u64,
    /// Start, end and mark of each marked frame that is not wholly written, in order of their places.
    marks: VecDeque<(u64, u64, u64)>,
}

/// A connection; one that has nothing to write owns no buffer.
#[derive(Debug, Default)]
struct Slot {
    out: Option<Box<Outbox>>,
    paused: bool,
    /// It stands in `dirty`.
    dirty: bool,
}

/// Emptied boxes that are kept for the next ones that write; what a burst took beyond that is given back.
const SPARE: usize = 64;
/// A box that grew beyond this is not kept.
const MOST_SPARE: usize = 16 * 1024;

/// All connections of a party. The party writes frames into it; the shell or runner takes bytes out of it.
#[derive(Debug, Default)]
pub struct Connections {
    next: u64,
    open: BTreeMap<ConnectionId, Slot>,
    /// In the order of writing, so that what was written first is handed over first, on whatever connection.
    /// Met: a send given up on one connection and its successor on another went out in the order of the
    /// links.
    dirty: VecDeque<ConnectionId>,
    asks: VecDeque<Command>,
    #[expect(clippy::vec_box, reason = "boxes go from here into slots and come back")]
    spare: Vec<Box<Outbox>>,
}

impl Connections {
    /// A link for a connection that came in. For whoever feeds the party.
    pub fn register(&mut self) -> ConnectionId {
        let link = ConnectionId(self.next);
        self.next += 1;
        self.open.insert(link, Slot::default());
        link
    }

    /// Asks for a connection; `up` or `ended` tells how it went.
    pub fn open(&mut self, to: &str) -> ConnectionId {
        let link = self.register();
        self.asks.push_back(Command::Open(link, to.to_owned()));
        link
    }

    /// Ends a connection after what is written has gone out. No `ended` follows: the party asked for it.
    pub fn end(&mut self, link: ConnectionId) {
        if self.open.contains_key(&link) {
            self.asks.push_back(Command::End { link, at_once: false });
        }
    }

    /// Ends a connection now, and gives back the marked frames that were not wholly handed over. No `ended`
    /// follows. Harmless for a connection that is over.
    pub fn abort(&mut self, link: ConnectionId) -> Vec<(u64, Unsent)> {
        if self.open.contains_key(&link) {
            self.asks.push_back(Command::End { link, at_once: true });
        }
        self.forget(link)
    }

    /// Puts a frame behind what is on its way. A mark names it for `take_back` and `forget`.
    pub fn send(&mut self, link: ConnectionId, frame: &[u8], mark: Option<u64>) {
        let Some(slot) = self.open.get_mut(&link) else { return };
        let spare = &mut self.spare;
        let out = slot.out.get_or_insert_with(|| spare.pop().unwrap_or_default());
        let start = out.gone + out.bytes.len() as u64;
        out.bytes.extend_from_slice(frame);
        if let Some(mark) = mark {
            out.marks.push_back((start, start + frame.len() as u64, mark));
        }
        if !std::mem::replace(&mut slot.dirty, true) {
            self.dirty.push_back(link);
        }
    }

    /// Takes a marked frame out again if not a byte of it was handed over. True where it will never be sent.
    pub fn retract(&mut self, link: ConnectionId, mark: u64) -> bool {
        let Some(out) = self.open.get_mut(&link).and_then(|slot| slot.out.as_mut()) else { return false };
        let Some(at) = out.marks.iter().position(|(start, _, m)| *m == mark && *start >= out.gone) else {
            return false;
        };
        let (start, end, _) = out.marks.remove(at).expect("was found");
        let len = end - start;
        out.bytes.drain((start - out.gone) as usize..(end - out.gone) as usize);
        for (later_start, later_end, _) in out.marks.iter_mut().skip(at) {
            *later_start -= len;
            *later_end -= len;
        }
        true
    }

    /// Bytes that wait to go out.
    pub fn unwritten(&self, link: ConnectionId) -> usize {
        self.outgoing(link).len()
    }

    /// Whether whoever feeds the party should stop reading from this connection for now.
    pub fn pause(&mut self, link: ConnectionId, paused: bool) {
        if let Some(slot) = self.open.get_mut(&link) {
            slot.paused = paused;
        }
    }

    pub fn is_paused(&self, link: ConnectionId) -> bool {
        self.open.get(&link).is_some_and(|slot| slot.paused)
    }

    /// For the party when it is told of an end: the marked frames that were not wholly handed over.
    pub fn forget(&mut self, link: ConnectionId) -> Vec<(u64, Unsent)> {
        let Some(out) = self.open.remove(&link).and_then(|slot| slot.out) else { return Vec::new() };
        let whole = |start| if start >= out.gone { Unsent::Whole } else { Unsent::Part };
        out.marks.iter().map(|(start, _, mark)| (*mark, whole(*start))).collect()
    }

    // For whoever feeds the party.

    pub fn next_command(&mut self) -> Option<Command> {
        self.asks.pop_front()
    }

    /// A connection that has bytes to go out and was not looked at since they came.
    pub fn next_dirty(&mut self) -> Option<ConnectionId> {
        loop {
            let link = self.dirty.pop_front()?;
            // One that is over since then has nothing to write.
            if let Some(slot) = self.open.get_mut(&link) {
                slot.dirty = false;
                return Some(link);
            }
        }
    }

    pub fn outgoing(&self, link: ConnectionId) -> &[u8] {
        self.open.get(&link).and_then(|slot| slot.out.as_ref()).map_or(&[], |out| &out.bytes)
    }

    /// So many bytes were handed over; they can't be taken back.
    pub fn wrote(&mut self, link: ConnectionId, n: usize) {
        let Some(slot) = self.open.get_mut(&link) else { return };
        let Some(out) = &mut slot.out else {
            assert!(n == 0, "more was written than there was");
            return;
        };
        assert!(n <= out.bytes.len(), "more was written than there was");
        out.bytes.drain(..n);
        out.gone += n as u64;
        while out.marks.front().is_some_and(|(_, end, _)| *end <= out.gone) {
            out.marks.pop_front();
        }
        if out.bytes.is_empty() {
            assert!(out.marks.is_empty(), "a frame is marked, and all is written");
            let mut out = slot.out.take().expect("was there");
            if self.spare.len() < SPARE && out.bytes.capacity() <= MOST_SPARE {
                out.gone = 0;
                self.spare.push(out);
            }
        }
    }

    /// Bytes of buffers that are held, by connections and spare: for measurements.
    pub fn held(&self) -> usize {
        let boxes = self.open.values().filter_map(|slot| slot.out.as_ref()).chain(&self.spare);
        boxes.map(|out| out.bytes.capacity()).sum()
    }

    /// The connection is over for both sides; nothing is told.
    pub fn discard(&mut self, link: ConnectionId) {
        self.open.remove(&link);
    }
}

#[cfg(test)]
mod tests;
