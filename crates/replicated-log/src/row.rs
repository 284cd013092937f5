//! Rows of a column, and the chain of digests that holds them together.

use crate::Bad;
use crate::name::Name;
use crate::orders::Order;
use crate::state::{Balance, Parts, ShareTransfer, State, Work};
use minicbor::{Decode, Encode};
use sha2::{Digest as _, Sha256};

/// The most bytes of a row that isn't a whole state: a longer one is not read.
pub const MOST_ROW: usize = 256 * 1024;

/// A column: whose it is, and in which of its writer's lives it was written.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct LogId {
    #[n(0)]
    pub writer: Name,
    #[n(1)]
    pub life: u64,
}

/// Of all rows up to one, the first sixteen bytes of a SHA-256.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Digest(pub [u8; 16]);

impl std::fmt::Debug for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0[..4].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl Digest {
    /// Of these bytes one after the other.
    pub(crate) fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        parts.iter().for_each(|part| hash.update(part));
        Self(std::array::from_fn({
            let whole = hash.finalize();
            move |n| whole[n]
        }))
    }

    /// Before the first row.
    pub fn first(id: &LogId) -> Self {
        Self::of(&[id.writer.as_bytes(), &[0], &id.life.to_be_bytes()])
    }

    /// After this row, which is the one of that number.
    #[must_use]
    pub fn after(self, number: u64, row: &[u8]) -> Self {
        Self::of(&[&self.0, &number.to_be_bytes(), row])
    }

    /// Of a column's end, so that the ends of all columns can be told by one figure.
    pub fn of_tip(id: &LogId, number: u64, digest: Self) -> Self {
        Self::of(&[&digest.0, &number.to_be_bytes(), &id.life.to_be_bytes(), id.writer.as_bytes()])
    }

    /// Joins figures in whatever order.
    #[must_use]
    pub fn xor(self, other: Self) -> Self {
        Self(std::array::from_fn(|n| self.0[n] ^ other.0[n]))
    }
}

impl<C> Encode<C> for Digest {
    fn encode<W: minicbor::encode::Write>(
        &self,
        e: &mut minicbor::Encoder<W>,
        _: &mut C,
    ) -> Result<(), minicbor::encode::Error<W::Error>> {
        e.bytes(&self.0)?.ok()
    }
}

impl<'b, C> Decode<'b, C> for Digest {
    fn decode(d: &mut minicbor::Decoder<'b>, _: &mut C) -> Result<Self, minicbor::decode::Error> {
        let bytes = d.bytes()?;
        bytes.try_into().map(Self).map_err(|_| minicbor::decode::Error::message("a digest has sixteen bytes"))
    }
}

/// What a row says. All figures are of the whole life up to it, not of a step: the last one of a kind holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// All that the column says so far. The first row of every life, and again where rows have become many.
    Sum(Box<State>),
    /// From now on new spending belongs to this month.
    Month(u32),
    /// What of a team's cap was drawn and spent in a month.
    Balance {
        team: Name,
        month: u32,
        purse: Balance,
    },
    /// What was given away of a share, all gifts to this life of a receiver together.
    Gave {
        gift: ShareTransfer,
        parts: Parts,
    },
    /// Workers that run from now on: key, team, and rate in micro-units a second; the instant is Unix time
    /// in ms.
    Began {
        at: u64,
        work: Vec<(u64, Name, u64)>,
    },
    /// Workers that run no longer; true where the worker may come again in the place of this one.
    Over {
        at: u64,
        work: Vec<(u64, bool)>,
    },
    Heard(Order),
    /// Tasks that were taken before a hold and have not run: they are no new submissions wherever they come
    /// again.
    Passes {
        at: u64,
        work: Vec<(u64, Name)>,
    },
    /// Of the workers that began, those that took the place of one that ran before.
    Again {
        at: u64,
        keys: Vec<u64>,
    },
    /// Work that ran at a member that isn't there, as a copy of its work log says up to a row of it. Rows
    /// of one number go on from each other; another number takes the place of what was announced before.
    /// `TAKEN_BACK` for a number takes it back.
    Announced {
        of: LogId,
        number: u64,
        work: Vec<(u64, Work)>,
    },
    /// Of a kind that a later version writes: kept and handed on unread.
    Unread(Vec<u8>),
}

const SUM: u16 = 1;
const MONTH: u16 = 2;
const PURSE: u16 = 3;
const GAVE: u16 = 4;
const BEGAN: u16 = 5;
const OVER: u16 = 6;
const HEARD: u16 = 7;
const PASSES: u16 = 8;
const AGAIN: u16 = 9;
const ANNOUNCED: u16 = 10;

fn encoded<T: Encode<()>>(kind: u16, body: T) -> Vec<u8> {
    let mut bytes = kind.to_be_bytes().to_vec();
    minicbor::encode(body, &mut bytes).expect("a vector takes all");
    bytes
}

fn decoded<'b, T: Decode<'b, ()>>(body: &'b [u8]) -> Result<T, Bad> {
    minicbor::decode(body).map_err(|error| Bad(format!("a row can't be read: {error}")))
}

impl Entry {
    pub fn bytes(&self) -> Vec<u8> {
        match self {
            Self::Sum(state) => encoded(SUM, state),
            Self::Month(month) => encoded(MONTH, month),
            Self::Balance { team, month, purse } => encoded(PURSE, (team, month, purse)),
            Self::Gave { gift, parts } => encoded(GAVE, (gift, parts)),
            Self::Began { at, work } => encoded(BEGAN, (at, work)),
            Self::Over { at, work } => encoded(OVER, (at, work)),
            Self::Heard(order) => encoded(HEARD, order),
            Self::Passes { at, work } => encoded(PASSES, (at, work)),
            Self::Again { at, keys } => encoded(AGAIN, (at, keys)),
            Self::Announced { of, number, work } => encoded(ANNOUNCED, (of, number, work)),
            Self::Unread(bytes) => bytes.clone(),
        }
    }

    /// # Errors
    /// Where a row of a known kind is malformed.
    pub fn read(bytes: &[u8]) -> Result<Self, Bad> {
        let Some((kind, body)) = bytes.split_first_chunk::<2>() else {
            return Err(Bad("a row without a kind".into()));
        };
        Ok(match u16::from_be_bytes(*kind) {
            SUM => Self::Sum(decoded(body)?),
            _ if bytes.len() > MOST_ROW => {
                return Err(Bad(format!("a row of {} bytes, {MOST_ROW} at most", bytes.len())));
            }
            MONTH => Self::Month(decoded(body)?),
            PURSE => {
                let (team, month, purse) = decoded(body)?;
                Self::Balance { team, month, purse }
            }
            GAVE => {
                let (gift, parts) = decoded(body)?;
                Self::Gave { gift, parts }
            }
            BEGAN => {
                let (at, work) = decoded(body)?;
                Self::Began { at, work }
            }
            OVER => {
                let (at, work) = decoded(body)?;
                Self::Over { at, work }
            }
            HEARD => {
                let order: Order = decoded(body)?;
                order.check()?;
                Self::Heard(order)
            }
            PASSES => {
                let (at, work) = decoded(body)?;
                Self::Passes { at, work }
            }
            AGAIN => {
                let (at, keys) = decoded(body)?;
                Self::Again { at, keys }
            }
            ANNOUNCED => {
                let (of, number, work) = decoded(body)?;
                Self::Announced { of, number, work }
            }
            _ => Self::Unread(bytes.to_vec()),
        })
    }
}
