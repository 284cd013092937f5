//! Lists of machines that are too long for one message: how they are cut into pieces and put together again.
//!
//! A list is told whole in one `list` message where it fits, and in `list-piece` messages otherwise. All
//! pieces of one list have its version; they are numbered from 0, and the last one is marked. A reader uses
//! none of them before it has all. A sender whose list changes before it has sent the last piece either goes
//! on with the old list or begins again with piece 0 of a higher version; the reader then drops the pieces of
//! the old one, so that it never takes a list that is half old, half new.

use crate::frame::{Bad, Frames, decode, encode, try_encode};
use crate::message::{Entry, Held, ListKind, MOST_ENTRIES, MOST_HELD, Message};

/// The feature of a planner in its greeting to a list service that reads `list-piece`, and of a list service
/// in its welcome that writes it.
pub const LIST_PIECES: u64 = 1 << 1;
/// The most machines in a list, over all its pieces.
pub const MOST_LISTED: usize = 65_536;
/// The most bytes of addresses in a list, over all its pieces.
pub const MOST_ADDRESS_BYTES: usize = 8 * 1024 * 1024;
/// A sender may begin anew so often with a changed list before it has sent one whole.
pub const MOST_RESTARTS: u32 = 8;
/// Entries of so many encoded bytes go into one piece at the most.
const PIECE_BYTES: usize = 64 * 1024;
/// No entry takes more encoded bytes beside its address: eleven heads of arrays, texts and numbers, the
/// longest of them nine bytes.
const MOST_ENTRY_BYTES: usize = 11 * 9;
/// The same of a held task: the heads of its six fields, of the six in its shape and of both arrays.
const MOST_HELD_BYTES: usize = 14 * 9;

/// Puts a list as one `list` message behind what `out` holds.
///
/// # Errors
/// Where it has too many machines or bytes for one message; `out` is as it was.
pub fn encode_in_one(
    kind: ListKind,
    version: u64,
    entries: &[Entry<'_>],
    out: &mut Vec<u8>,
) -> Result<(), Bad> {
    if entries.len() > MOST_ENTRIES {
        let machines = entries.len();
        return Err(Bad(format!("{machines} machines in a list, {MOST_ENTRIES} at most in one message")));
    }
    let message = Message::List { kind, version, entries: entries.to_vec() };
    try_encode(&message, out).map_err(|too_long| Bad(format!("a list in one message: {too_long}")))
}

/// Puts a list behind what `out` holds, for readers of pieces: as one `list` message where it fits, else as
/// its pieces in order.
pub fn encode_list(kind: ListKind, version: u64, entries: &[Entry<'_>], out: &mut Vec<u8>) {
    if encode_in_one(kind, version, entries, out).is_ok() {
        return;
    }
    let mut pieces = cut(entries).enumerate().peekable();
    while let Some((number, piece)) = pieces.next() {
        let (number, last) = (number as u32, pieces.peek().is_none());
        encode(&Message::ListPiece { kind, version, number, last, entries: piece.to_vec() }, out);
    }
}

/// Reads a list as `encode_list` wrote it.
///
/// # Errors
/// Where it is no list, not a whole one, or something stands behind it.
pub fn decode_list(bytes: &[u8]) -> Result<WholeList, Bad> {
    let (mut frames, mut reader) = (Frames::default(), ListReader::default());
    frames.take(bytes);
    let mut whole = None;
    while let Some(frame) = frames.next_frame()? {
        if whole.is_some() {
            return Err(Bad("a frame behind the end of the list".into()));
        }
        whole = match decode(frame)? {
            Message::List { kind, version, entries } => {
                reader.no_pieces()?;
                reader.take(kind, version, 0, true, &entries)?
            }
            Message::ListPiece { kind, version, number, last, entries } => {
                reader.take(kind, version, number, last, &entries)?
            }
            _ => return Err(Bad("a message that is no list".into())),
        };
    }
    if frames.kept() > 0 {
        return Err(Bad(format!("{} bytes that are no whole frame", frames.kept())));
    }
    let pieces = reader.coming().map_or(0, |(_, pieces)| pieces);
    whole.ok_or_else(|| Bad(format!("it ends after {pieces} pieces of a list that is not whole")))
}

/// Cuts the entries of a list into those of its pieces, each of which fits into a frame. An empty list is one
/// empty piece.
pub fn cut<'e, 'b>(entries: &'e [Entry<'b>]) -> impl Iterator<Item = &'e [Entry<'b>]> {
    cut_by(entries, MOST_ENTRIES, |entry| MOST_ENTRY_BYTES + entry.address.len())
}

/// Cuts what a machine holds into parts, each of which fits into a `holds` message. Nothing held is one empty
/// part.
pub fn cut_held<'e, 'b>(tasks: &'e [Held<'b>]) -> impl Iterator<Item = &'e [Held<'b>]> {
    cut_by(tasks, MOST_HELD, |held| MOST_HELD_BYTES + held.owner.len())
}

/// Cuts items into runs of at most so many items and of `PIECE_BYTES` at most, but of one item at least.
fn cut_by<T>(items: &[T], most: usize, bytes_of: impl Fn(&T) -> usize) -> impl Iterator<Item = &[T]> {
    let mut rest = Some(items);
    std::iter::from_fn(move || {
        let items = rest?;
        let mut bytes = 0;
        let fitting = items.iter().take(most).take_while(|item| {
            bytes += bytes_of(item);
            bytes <= PIECE_BYTES
        });
        let (piece, more) = items.split_at(fitting.count().max(1).min(items.len()));
        rest = (!more.is_empty()).then_some(more);
        Some(piece)
    })
}

/// An entry that outlives its frame.
#[derive(Clone, Debug)]
struct KeptEntry {
    address: String,
    /// All but the address.
    rest: Entry<'static>,
}

/// A list all of whose pieces are there.
#[derive(Clone, Debug)]
pub struct WholeList {
    pub kind: ListKind,
    pub version: u64,
    entries: Vec<KeptEntry>,
}

impl WholeList {
    /// The entries of all pieces, in order.
    pub fn entries(&self) -> Vec<Entry<'_>> {
        self.entries.iter().map(|kept| Entry { address: &kept.address, ..kept.rest.clone() }).collect()
    }
}

/// Puts the pieces of a list together. What it holds is bounded by `MOST_LISTED` and `MOST_ADDRESS_BYTES`.
#[derive(Clone, Debug, Default)]
pub struct ListReader {
    begun: Option<WholeList>,
    /// The number of the piece that comes next.
    next: u32,
    address_bytes: usize,
    restarts: u32,
}

impl ListReader {
    /// The version of the list whose pieces are coming, and how many are there.
    pub fn coming(&self) -> Option<(u64, u32)> {
        self.begun.as_ref().map(|list| (list.version, self.next))
    }

    /// Machines of which an entry is held.
    pub fn held(&self) -> usize {
        self.begun.as_ref().map_or(0, |list| list.entries.len())
    }

    /// Drops what is there of a list: its connection ended.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether a list may come in one message now.
    ///
    /// # Errors
    /// Where pieces of another one are on their way.
    pub fn no_pieces(&self) -> Result<(), Bad> {
        match self.coming() {
            None => Ok(()),
            Some((version, pieces)) => {
                Err(Bad(format!("a list in one message after {pieces} pieces of version {version}")))
            }
        }
    }

    /// Takes one piece. Gives the list once it is whole.
    ///
    /// # Errors
    /// Where the piece is not the one that comes next, or the list becomes too long.
    pub fn take(
        &mut self,
        kind: ListKind,
        version: u64,
        number: u32,
        last: bool,
        entries: &[Entry<'_>],
    ) -> Result<Option<WholeList>, Bad> {
        if entries.is_empty() && !(last && number == 0) {
            return Err(Bad(format!("piece {number} of list version {version} is empty")));
        }
        self.follows(kind, version, number)?;
        if number == 0 {
            self.begin(kind, version)?;
        }
        self.add(entries)?;
        self.next += 1;
        if !last {
            return Ok(None);
        }
        let whole = self.begun.take();
        self.clear();
        Ok(whole)
    }

    /// Whether this is the piece that comes next, or the first one of a newer list.
    fn follows(&self, kind: ListKind, version: u64, number: u32) -> Result<(), Bad> {
        let Some(list) = &self.begun else {
            if number == 0 {
                return Ok(());
            }
            return Err(Bad(format!("piece {number} of list version {version} without those before it")));
        };
        if number == 0 && version > list.version {
            return Ok(());
        }
        if version != list.version || kind != list.kind {
            let (of, next) = (list.version, self.next);
            let words = format!("piece {number} of list version {version}, {kind:?}");
            return Err(Bad(format!("{words}, where piece {next} of version {of}, {:?}, comes", list.kind)));
        }
        if number != self.next {
            let next = self.next;
            return Err(Bad(format!("piece {number} of list version {version} where {next} comes next")));
        }
        Ok(())
    }

    fn begin(&mut self, kind: ListKind, version: u64) -> Result<(), Bad> {
        let restarts = self.restarts + u32::from(self.begun.is_some());
        if restarts > MOST_RESTARTS {
            return Err(Bad(format!("the list changed {restarts} times before it was told whole")));
        }
        let begun = Some(WholeList { kind, version, entries: Vec::new() });
        *self = Self { begun, restarts, ..Self::default() };
        Ok(())
    }

    fn add(&mut self, entries: &[Entry<'_>]) -> Result<(), Bad> {
        let Some(list) = &mut self.begun else { return Ok(()) };
        let machines = list.entries.len() + entries.len();
        if machines > MOST_LISTED {
            return Err(Bad(format!("{machines} machines in a list, {MOST_LISTED} at most")));
        }
        self.address_bytes += entries.iter().map(|entry| entry.address.len()).sum::<usize>();
        if self.address_bytes > MOST_ADDRESS_BYTES {
            let bytes = self.address_bytes;
            return Err(Bad(format!("addresses of {bytes} bytes in a list, {MOST_ADDRESS_BYTES} at most")));
        }
        list.entries.extend(entries.iter().map(KeptEntry::new));
        Ok(())
    }
}

impl KeptEntry {
    fn new(entry: &Entry<'_>) -> Self {
        let Entry { machine, address, kind, cell, zone, mode, life, up_for, cores_left, memory_left } =
            *entry;
        let rest =
            Entry { machine, address: "", kind, cell, zone, mode, life, up_for, cores_left, memory_left };
        Self { address: address.to_owned(), rest }
    }
}
