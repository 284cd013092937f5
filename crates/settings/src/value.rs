//! Typed values: what an argument may be, and the error where it is something else.

use mulleinhub_interface::Duration;
use std::fmt;

/// The longest name, in bytes.
const MAX_NAME_LENGTH: usize = 64;
/// Durations of more nanoseconds than this are rejected.
const MAX_NANOS: f64 = 1e18;
/// Sizes of more bytes than this are rejected.
const MAX_BYTES: f64 = 1e18;

/// A type that an argument of a directive can be read as.
pub trait Value: Sized {
    /// What is expected, for messages: "a span of time, as 600ms".
    const EXPECTED: &'static str;

    /// Reads an argument.
    ///
    /// # Errors
    /// Where the text is no value of this type.
    fn parse(text: &str) -> Result<Self, ValueError>;
}

/// Why an argument is no value of its type. `Display` gives the text that settings errors show.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ValueError {
    /// The text is something else than what is expected.
    Unexpected {
        /// [`Value::EXPECTED`] of the type.
        expected: &'static str,
    },
    /// A duration without a unit.
    MissingTimeUnit {
        /// The text as it is written.
        text: String,
    },
    /// A duration with a unit that there isn't.
    UnknownTimeUnit {
        /// The unit as it is written.
        unit: String,
    },
    /// A duration of more than 10^18 ns.
    DurationTooLong,
    /// A size with a unit that there isn't.
    UnknownByteUnit {
        /// The unit as it is written.
        unit: String,
    },
    /// A size of more than 10^18 bytes.
    TooManyBytes,
    /// A range whose end is less than its beginning.
    ReversedRange,
}

impl ValueError {
    /// The text is not what a `T` looks like.
    pub fn unexpected<T: Value>() -> Self {
        Self::Unexpected { expected: T::EXPECTED }
    }
}

impl fmt::Display for ValueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unexpected { expected } => write!(f, "{expected} is wanted"),
            Self::MissingTimeUnit { text } => write!(f, "a span of time needs a unit: {text}ms or {text}s?"),
            Self::UnknownTimeUnit { unit } => {
                write!(f, "{unit:?} is no unit of time (ns, us, ms, s, min, h are)")
            }
            Self::DurationTooLong => f.write_str("a span of more than thirty years"),
            Self::UnknownByteUnit { unit } => {
                write!(f, "{unit:?} is no unit of bytes (B, KiB, MiB, GiB, TiB, kB, MB, GB are)")
            }
            Self::TooManyBytes => f.write_str("more bytes than can be counted"),
            Self::ReversedRange => f.write_str("the range ends before it begins"),
        }
    }
}

impl std::error::Error for ValueError {}

/// For the command line, whose parsers return text.
impl From<ValueError> for String {
    fn from(error: ValueError) -> Self {
        error.to_string()
    }
}

/// Splits a number from the unit behind it.
fn split_unit(text: &str) -> Option<(f64, &str)> {
    let end = text.find(|c: char| !(c.is_ascii_digit() || c == '.')).unwrap_or(text.len());
    let number: f64 = text[..end].parse().ok()?;
    number.is_finite().then_some((number, &text[end..]))
}

impl Value for Duration {
    const EXPECTED: &'static str = "a span of time, as 600ms, 5s or 2min";

    fn parse(text: &str) -> Result<Self, ValueError> {
        let (number, unit) = split_unit(text).ok_or_else(ValueError::unexpected::<Self>)?;
        let nanos_per_unit = match unit {
            "ns" => 1.0,
            "us" => 1e3,
            "ms" => 1e6,
            "s" => 1e9,
            "min" => 60e9,
            "h" => 3600e9,
            "" if number == 0.0 => 0.0,
            "" => return Err(ValueError::MissingTimeUnit { text: text.to_owned() }),
            unit => return Err(ValueError::UnknownTimeUnit { unit: unit.to_owned() }),
        };
        let nanos = number * nanos_per_unit;
        if nanos > MAX_NANOS { Err(ValueError::DurationTooLong) } else { Ok(Self::from_nanos(nanos as u64)) }
    }
}

/// A number of bytes, as `64GiB`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bytes(pub u64);

impl Value for Bytes {
    const EXPECTED: &'static str = "a number of bytes, as 512KiB or 64GiB";

    fn parse(text: &str) -> Result<Self, ValueError> {
        let (number, unit) = split_unit(text).ok_or_else(ValueError::unexpected::<Self>)?;
        let bytes_per_unit: u64 = match unit {
            "" | "B" => 1,
            "KiB" => 1 << 10,
            "MiB" => 1 << 20,
            "GiB" => 1 << 30,
            "TiB" => 1 << 40,
            "kB" => 1_000,
            "MB" => 1_000_000,
            "GB" => 1_000_000_000,
            unit => return Err(ValueError::UnknownByteUnit { unit: unit.to_owned() }),
        };
        let bytes = number * bytes_per_unit as f64;
        if bytes > MAX_BYTES { Err(ValueError::TooManyBytes) } else { Ok(Self(bytes as u64)) }
    }
}

/// A number of cores above 0, as `2.5cores` or `2.5`.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Cores(pub f64);

impl Value for Cores {
    const EXPECTED: &'static str = "a number of cores, as 2.5cores";

    fn parse(text: &str) -> Result<Self, ValueError> {
        match split_unit(text) {
            Some((number, "" | "cores" | "core")) if number > 0.0 => Ok(Self(number)),
            _ => Err(ValueError::unexpected::<Self>()),
        }
    }
}

/// A fraction from 0 to 1, as `0.5` or `50%`.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Fraction(pub f64);

impl Value for Fraction {
    const EXPECTED: &'static str = "a part from 0 to 1, as 0.5 or 50%";

    fn parse(text: &str) -> Result<Self, ValueError> {
        let fraction = match split_unit(text) {
            Some((number, "")) => number,
            Some((number, "%")) => number / 100.0,
            _ => return Err(ValueError::unexpected::<Self>()),
        };
        if fraction <= 1.0 { Ok(Self(fraction)) } else { Err(ValueError::unexpected::<Self>()) }
    }
}

impl Value for f64 {
    const EXPECTED: &'static str = "a number";

    fn parse(text: &str) -> Result<Self, ValueError> {
        match split_unit(text) {
            Some((number, "")) => Ok(number),
            _ => Err(ValueError::unexpected::<Self>()),
        }
    }
}

macro_rules! impl_value_for_integers {
    ($($type:ty),*) => {$(
        impl Value for $type {
            const EXPECTED: &'static str = "a whole number";

            fn parse(text: &str) -> Result<Self, ValueError> {
                text.parse().map_err(|_| ValueError::unexpected::<Self>())
            }
        }
    )*};
}

impl_value_for_integers!(u8, u32, u64, usize);

impl Value for String {
    const EXPECTED: &'static str = "a text";

    fn parse(text: &str) -> Result<Self, ValueError> {
        Ok(text.to_owned())
    }
}

impl Value for bool {
    const EXPECTED: &'static str = "yes or no";

    fn parse(text: &str) -> Result<Self, ValueError> {
        match text {
            "yes" => Ok(true),
            "no" => Ok(false),
            _ => Err(ValueError::unexpected::<Self>()),
        }
    }
}

/// A name of 1 to 64 letters, digits, `-`, `_` and `.`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Name(pub String);

impl Value for Name {
    const EXPECTED: &'static str = "a name of letters, digits, -, _ and .";

    fn parse(text: &str) -> Result<Self, ValueError> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if !text.is_empty() && text.len() <= MAX_NAME_LENGTH && text.chars().all(is_allowed) {
            Ok(Self(text.to_owned()))
        } else {
            Err(ValueError::unexpected::<Self>())
        }
    }
}

/// A range, as `2s..1min`, or a single value, which is both ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range<T> {
    /// The least value.
    pub low: T,
    /// The greatest value, which belongs to the range.
    pub high: T,
}

impl<T: Value + Copy + PartialOrd> Value for Range<T> {
    const EXPECTED: &'static str = T::EXPECTED;

    fn parse(text: &str) -> Result<Self, ValueError> {
        let (low, high) = text.split_once("..").unwrap_or((text, text));
        let (low, high) = (T::parse(low)?, T::parse(high)?);
        if low <= high { Ok(Self { low, high }) } else { Err(ValueError::ReversedRange) }
    }
}
