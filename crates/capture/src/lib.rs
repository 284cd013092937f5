//! The record of a day: every frame on every link, when it entered the tap and when it was handed on.
//!
//! For: writing and reading captures. A file is eight bytes of magic, then records, each four bytes of length
//! (the highest first) and one CBOR item; the last record counts the others.
//! May not touch: what frames mean, how a day is judged, sockets.

use minicbor::{Decode, Encode};
use mulleinhub_interface::Timestamp;
use std::io::{BufRead, Write};

pub const MAGIC: &[u8; 8] = b"MLNCAP1\n";
const MOST_RECORD: usize = 1 << 20;

/// What a second run of a use case's tasks would do, as figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Effect {
    #[n(0)]
    Replayable,
    #[n(1)]
    Referenced,
    #[n(2)]
    SingleUse,
}

/// A place that machines share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Reach {
    #[n(0)]
    Machine,
    #[n(1)]
    Cell,
    #[n(2)]
    Zone,
    #[n(3)]
    All,
}

/// What the rules say of a use case. Spans are nanoseconds.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct CaseTerms {
    #[n(0)]
    pub name: String,
    #[n(1)]
    pub soft_limit: u64,
    #[n(2)]
    pub client_timeout: u64,
    #[n(3)]
    pub effect: Effect,
    #[n(4)]
    pub group: Reach,
    #[n(5)]
    pub window: u64,
    /// Where spread is asked for: the place, and the most of one service there.
    #[n(6)]
    pub spread: Option<(Reach, u32)>,
    #[n(7)]
    pub earnings: f64,
    #[n(8)]
    pub start_seconds: f64,
    /// The work of a start with the program, in nanoseconds on a machine of usual speed.
    #[n(9)]
    pub work: u64,
}

/// Where a machine stands, and the starts a second that it does when warm.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct MachineTerms {
    #[n(0)]
    pub machine: u64,
    #[n(1)]
    pub cell: u32,
    #[n(2)]
    pub zone: u32,
    /// Offers of mean work that it starts in a second when it is warm.
    #[n(3)]
    pub starts_a_second: f64,
    /// The part of its pace at which it begins; it rises evenly until it is warm.
    #[n(4)]
    pub cold_from: f64,
}

/// A team whose tenants count against one cap.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct TeamTerms {
    #[n(0)]
    pub name: String,
    #[n(1)]
    pub account: Option<String>,
    /// Names of owners up to the first slash.
    #[n(2)]
    pub tenants: Vec<String>,
    /// A month, in micro-units.
    #[n(3)]
    pub cap: Option<u64>,
}

/// What the books of a day are judged by. Money is micro-units, spans are nanoseconds.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct BooksTerms {
    #[n(0)]
    pub teams: Vec<TeamTerms>,
    #[n(1)]
    pub core_second: u64,
    #[n(2)]
    pub memory_second: u64,
    /// The part of a cap that new workers may use, in millionths.
    #[n(3)]
    pub near: u32,
    #[n(4)]
    pub stretch: u64,
    /// When a month ends, by the tap's clock.
    #[n(5)]
    pub month_ends: Option<u64>,
    /// The month in which the day begins: twelve times the year, and its place in it from 0.
    #[n(6)]
    pub first_month: u32,
}

/// The figures that a day is judged by. Spans are nanoseconds.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Terms {
    #[n(0)]
    pub day: String,
    #[n(1)]
    pub seed: u64,
    #[n(2)]
    pub cases: Vec<CaseTerms>,
    #[n(3)]
    pub machines: Vec<MachineTerms>,
    #[n(4)]
    pub drain_grace: u64,
    /// A final answer may come so much later than the client timeout.
    #[n(5)]
    pub answer_slack: u64,
    #[n(6)]
    pub warm_after: u64,
    #[n(7)]
    pub fall: u64,
    /// Offers within `fall` that a cold machine can always take.
    #[n(8)]
    pub young_limit: u32,
    #[n(9)]
    pub most_sends: u32,
    /// A cold machine bears this multiple of the starts that it can do.
    #[n(10)]
    pub tip: f64,
    #[n(11)]
    pub books: Option<BooksTerms>,
}

/// Something that was done to a party, or that happened to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Deed {
    #[n(0)]
    Started,
    #[n(1)]
    Killed,
    #[n(2)]
    Stopped,
    #[n(3)]
    Continued,
    /// A machine is up, cold.
    #[n(4)]
    MachineUp,
    #[n(5)]
    MachineDown,
    /// A cold machine was pushed over.
    #[n(6)]
    FellOver,
    #[n(7)]
    TroubleBegins,
    #[n(8)]
    TroubleEnds,
    /// What a planner kept on disk is gone, or is an older copy.
    #[n(9)]
    StoreLost,
    #[n(10)]
    StoreOld,
}

/// The sides of a link: who opened it, and to whom it was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
#[cbor(index_only)]
pub enum Side {
    #[n(0)]
    Opener,
    #[n(1)]
    Opened,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(flat)]
pub enum Record<'b> {
    #[n(0)]
    Terms(#[n(0)] Terms),
    #[n(1)]
    Opened {
        #[n(0)]
        link: u32,
        #[b(1)]
        opener: &'b str,
        #[b(2)]
        opened: &'b str,
    },
    /// A frame came from this side into the tap. `number` counts the frames of the side from 0.
    #[n(2)]
    Frame {
        #[n(0)]
        link: u32,
        #[n(1)]
        side: Side,
        #[n(2)]
        number: u32,
        #[cbor(b(3), with = "minicbor::bytes")]
        bytes: &'b [u8],
    },
    /// That frame was handed to the other side.
    #[n(3)]
    Delivered {
        #[n(0)]
        link: u32,
        #[n(1)]
        side: Side,
        #[n(2)]
        number: u32,
    },
    #[n(4)]
    Ended {
        #[n(0)]
        link: u32,
        #[b(1)]
        how: &'b str,
    },
    #[n(5)]
    Deed {
        #[n(0)]
        deed: Deed,
        #[b(1)]
        who: &'b str,
        /// The machine, where it is one.
        #[n(2)]
        machine: Option<u64>,
    },
    /// The last record; so many stand before it.
    #[n(6)]
    Close {
        #[n(0)]
        records: u64,
    },
    /// From now on the tap doesn't read what this side writes, or reads it again: bytes wait where it can't
    /// see.
    /// An order of the operators, as it was given to a planner.
    #[n(8)]
    Order {
        #[b(0)]
        planner: &'b str,
        #[b(1)]
        words: &'b str,
    },
    #[n(7)]
    Unread {
        #[n(0)]
        link: u32,
        #[n(1)]
        side: Side,
        #[n(2)]
        on: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Stamped<'b> {
    /// Nanoseconds of the tap's clock.
    #[n(0)]
    pub at: u64,
    #[b(1)]
    pub record: Record<'b>,
}

/// Writes a capture, record by record.
pub struct Recorder<W: Write> {
    out: W,
    records: u64,
    scratch: Vec<u8>,
    failed: Option<std::io::Error>,
}

impl<W: Write> Recorder<W> {
    pub fn new(mut out: W) -> Self {
        let failed = out.write_all(MAGIC).err();
        Self { out, records: 0, scratch: Vec::with_capacity(1024), failed }
    }

    /// Failures are kept until `close`: a day goes on without its record.
    pub fn record(&mut self, at: Timestamp, record: Record<'_>) {
        self.scratch.clear();
        self.scratch.extend_from_slice(&[0; 4]);
        minicbor::encode(Stamped { at: at.nanos(), record }, &mut self.scratch).expect("a vector takes all");
        let len = (self.scratch.len() - 4) as u32;
        self.scratch[..4].copy_from_slice(&len.to_be_bytes());
        self.records += 1;
        if self.failed.is_none() {
            self.failed = self.out.write_all(&self.scratch).err();
        }
    }

    /// Ends the capture.
    ///
    /// # Errors
    /// Where anything could not be written.
    pub fn close(mut self, at: Timestamp) -> std::io::Result<W> {
        self.record(at, Record::Close { records: self.records });
        if let Some(failed) = self.failed {
            return Err(failed);
        }
        self.out.flush()?;
        Ok(self.out)
    }
}

/// Why a capture can't be read, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// Bytes of the file that were read before.
    pub at: u64,
    pub words: String,
}

impl std::fmt::Display for Unreadable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "byte {}: {}", self.at, self.words)
    }
}

impl std::error::Error for Unreadable {}

/// Reads a capture in bounded memory and tells each record in order.
///
/// # Errors
/// Where the file is no capture, is cut short, or a record is damaged; what was told before holds.
pub fn read(mut input: impl BufRead, mut tell: impl FnMut(Stamped<'_>)) -> Result<(), Unreadable> {
    let mut at = 0u64;
    let mut magic = [0; 8];
    let bad = |at: u64, words: String| Unreadable { at, words };
    input.read_exact(&mut magic).map_err(|e| bad(at, format!("no capture: {e}")))?;
    if &magic != MAGIC {
        return Err(bad(at, "no capture of this version: the first eight bytes are others".into()));
    }
    at += 8;
    let mut body = Vec::new();
    let mut records = 0u64;
    let mut last = 0u64;
    loop {
        let mut len = [0; 4];
        let short = |at, e: std::io::Error| bad(at, format!("cut short after {records} records ({e})"));
        input.read_exact(&mut len).map_err(|e| short(at, e))?;
        let len = u32::from_be_bytes(len) as usize;
        if len == 0 || len > MOST_RECORD {
            return Err(bad(at, format!("record {records} of {len} bytes (1 to {MOST_RECORD} are allowed)")));
        }
        body.resize(len, 0);
        input.read_exact(&mut body).map_err(|e| short(at, e))?;
        let stamped: Stamped<'_> =
            minicbor::decode(&body).map_err(|e| bad(at, format!("record {records} is damaged: {e}")))?;
        if stamped.at < last {
            return Err(bad(at, format!("record {records} is older than the one before it")));
        }
        last = stamped.at;
        at += 4 + len as u64;
        if let Record::Close { records: told } = stamped.record {
            if told != records {
                return Err(bad(at, format!("{told} records were written, {records} are here")));
            }
            let more = input.fill_buf().map_err(|e| bad(at, e.to_string()))?;
            return if more.is_empty() { Ok(()) } else { Err(bad(at, "bytes behind the end".into())) };
        }
        records += 1;
        tell(stamped);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn small() -> Vec<u8> {
        let mut recorder = Recorder::new(Vec::new());
        recorder.record(Timestamp::from_nanos(5), Record::Opened { link: 1, opener: "a", opened: "b" });
        recorder.record(
            Timestamp::from_nanos(6),
            Record::Frame { link: 1, side: Side::Opener, number: 0, bytes: &[1, 2, 3] },
        );
        recorder.close(Timestamp::from_nanos(7)).expect("a vector takes all")
    }

    #[test]
    fn what_was_recorded_is_read() {
        let mut seen = Vec::new();
        read(&small()[..], |s| seen.push((s.at, matches!(s.record, Record::Frame { bytes: [1, 2, 3], .. }))))
            .expect("is whole");
        assert_eq!(seen, [(5, false), (6, true)]);
    }

    #[test]
    fn a_capture_cut_anywhere_is_refused_with_its_place() {
        let whole = small();
        for cut in 0..whole.len() {
            let error = read(&whole[..cut], |_| ()).expect_err("is cut");
            assert!(error.at <= cut as u64 && !error.words.is_empty(), "{cut}: {error}");
        }
    }

    #[test]
    fn a_record_taken_out_is_missed() {
        let whole = small();
        let first = 8 + 4 + u32::from_be_bytes(whole[8..12].try_into().expect("four")) as usize;
        let fewer = [&whole[..8], &whole[first..]].concat();
        assert!(read(&fewer[..], |_| ()).expect_err("one is gone").words.contains("2 records were written"));
    }
}
