//! Entries of a log, and their encoding: two bytes of a kind, then CBOR.

use crate::balance::{Balance, ShareTransfer, SplitAmount};
use crate::directives::Directive;
use crate::error::LogError;
use crate::log_id::LogId;
use crate::name::Name;
use crate::state::LogState;
use crate::work::RunningWork;
use minicbor::{Decode, Encode};

/// The maximum size of an entry that is not a snapshot; a larger one is refused.
pub const MAX_ENTRY_BYTES: usize = 256 * 1024;

/// What an entry says. All amounts are totals of the incarnation up to this entry, not increments: the last
/// entry of a kind holds. Instants are in milliseconds of Unix time.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// The complete state so far: the first entry of each incarnation, and again at each compaction.
    Snapshot(Box<LogState>),
    /// From now on new spending belongs to this month.
    Month(u32),
    /// What was reserved and spent of a team's cap in a month.
    Balance {
        /// The team.
        team: Name,
        /// The month.
        month: u32,
        /// All of that month so far.
        balance: Balance,
    },
    /// What was transferred of a share to one incarnation of a receiver, all such transfers together.
    Transferred {
        /// Whose share, in which month, and to whom.
        transfer: ShareTransfer,
        /// The total so far.
        total: SplitAmount,
    },
    /// Work that runs from now on.
    Started {
        /// When it started.
        at: u64,
        /// Key, team, and cost in micro-units a second.
        work: Vec<(u64, Name, u64)>,
    },
    /// Work that runs no longer.
    Ended {
        /// When it ended.
        at: u64,
        /// Key, and whether it may be submitted again as the same work.
        work: Vec<(u64, bool)>,
    },
    /// A directive of the operators that the writer received.
    Directive(Directive),
    /// Tasks that were admitted before a suspension and have not run: they are no new submissions wherever
    /// they are submitted again.
    Admitted {
        /// When this was noted.
        at: u64,
        /// Key and team.
        work: Vec<(u64, Name)>,
    },
    /// Of the work that started, that which replaced work that ran before.
    Replacements {
        /// When this was noted.
        at: u64,
        /// The keys.
        keys: Vec<u64>,
    },
    /// Work that ran at an unreachable member, as a copy of its work log says up to an entry. Announcements
    /// with the same number add to each other; one with another number replaces them.
    /// [`crate::ANNOUNCEMENT_WITHDRAWN`] for a number withdraws them.
    Announced {
        /// The work log.
        of: LogId,
        /// The last entry of it that the copy has.
        number: u64,
        /// What ran, by key.
        work: Vec<(u64, RunningWork)>,
    },
    /// An entry of a kind that a later version writes, with its kind: stored and forwarded as it is.
    Unknown(Vec<u8>),
}

// The kinds as they stand on the wire and on disk.
const SNAPSHOT: u16 = 1;
const MONTH: u16 = 2;
const BALANCE: u16 = 3;
const TRANSFERRED: u16 = 4;
const STARTED: u16 = 5;
const ENDED: u16 = 6;
const DIRECTIVE: u16 = 7;
const ADMITTED: u16 = 8;
const REPLACEMENTS: u16 = 9;
const ANNOUNCED: u16 = 10;

fn encoded<T: Encode<()>>(kind: u16, body: T) -> Vec<u8> {
    let mut bytes = kind.to_be_bytes().to_vec();
    minicbor::encode(body, &mut bytes).expect("writing to a vector can't fail");
    bytes
}

fn decoded<'b, T: Decode<'b, ()>>(body: &'b [u8]) -> Result<T, LogError> {
    minicbor::decode(body).map_err(|error| LogError::Malformed(error.to_string()))
}

impl Entry {
    /// The encoded entry.
    pub fn bytes(&self) -> Vec<u8> {
        match self {
            Self::Snapshot(state) => encoded(SNAPSHOT, state),
            Self::Month(month) => encoded(MONTH, month),
            Self::Balance { team, month, balance } => encoded(BALANCE, (team, month, balance)),
            Self::Transferred { transfer, total } => encoded(TRANSFERRED, (transfer, total)),
            Self::Started { at, work } => encoded(STARTED, (at, work)),
            Self::Ended { at, work } => encoded(ENDED, (at, work)),
            Self::Directive(directive) => encoded(DIRECTIVE, directive),
            Self::Admitted { at, work } => encoded(ADMITTED, (at, work)),
            Self::Replacements { at, keys } => encoded(REPLACEMENTS, (at, keys)),
            Self::Announced { of, number, work } => encoded(ANNOUNCED, (of, number, work)),
            Self::Unknown(bytes) => bytes.clone(),
        }
    }

    /// Decodes an entry.
    ///
    /// # Errors
    /// Where an entry of a known kind is malformed or too large, or a directive doesn't suit its subject.
    pub fn read(bytes: &[u8]) -> Result<Self, LogError> {
        let (kind, body) = bytes.split_first_chunk::<2>().ok_or(LogError::MissingKind)?;
        let kind = u16::from_be_bytes(*kind);
        if kind != SNAPSHOT && bytes.len() > MAX_ENTRY_BYTES {
            return Err(LogError::TooLarge { bytes: bytes.len(), limit: MAX_ENTRY_BYTES });
        }
        Ok(match kind {
            SNAPSHOT => Self::Snapshot(decoded(body)?),
            MONTH => Self::Month(decoded(body)?),
            BALANCE => {
                let (team, month, balance) = decoded(body)?;
                Self::Balance { team, month, balance }
            }
            TRANSFERRED => {
                let (transfer, total) = decoded(body)?;
                Self::Transferred { transfer, total }
            }
            STARTED => {
                let (at, work) = decoded(body)?;
                Self::Started { at, work }
            }
            ENDED => {
                let (at, work) = decoded(body)?;
                Self::Ended { at, work }
            }
            DIRECTIVE => {
                let directive: Directive = decoded(body)?;
                directive.check()?;
                Self::Directive(directive)
            }
            ADMITTED => {
                let (at, work) = decoded(body)?;
                Self::Admitted { at, work }
            }
            REPLACEMENTS => {
                let (at, keys) = decoded(body)?;
                Self::Replacements { at, keys }
            }
            ANNOUNCED => {
                let (of, number, work) = decoded(body)?;
                Self::Announced { of, number, work }
            }
            _ => Self::Unknown(bytes.to_vec()),
        })
    }
}
