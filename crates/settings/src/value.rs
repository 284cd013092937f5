//! Typed values: what an argument may be, and what is said where it is not.

use mulleinhub_interface::Duration;

pub trait Value: Sized {
    /// What is wanted, for messages: "a span of time, as 600ms".
    const WANTED: &'static str;

    /// # Errors
    /// What is wrong, where more can be said than what is wanted.
    fn read(text: &str) -> Result<Self, String>;
}

fn wanted<T: Value>() -> String {
    format!("{} is wanted", T::WANTED)
}

/// Splits a figure from its unit.
fn figure(text: &str) -> Option<(f64, &str)> {
    let end = text.find(|c: char| !(c.is_ascii_digit() || c == '.')).unwrap_or(text.len());
    let number: f64 = text[..end].parse().ok()?;
    number.is_finite().then_some((number, &text[end..]))
}

impl Value for Duration {
    const WANTED: &'static str = "a span of time, as 600ms, 5s or 2min";

    fn read(text: &str) -> Result<Self, String> {
        let (number, unit) = figure(text).ok_or_else(wanted::<Self>)?;
        let nanos = match unit {
            "ns" => 1.0,
            "us" => 1e3,
            "ms" => 1e6,
            "s" => 1e9,
            "min" => 60e9,
            "h" => 3600e9,
            "" if number == 0.0 => 0.0,
            "" => return Err(format!("a span of time needs a unit: {text}ms or {text}s?")),
            other => return Err(format!("{other:?} is no unit of time (ns, us, ms, s, min, h are)")),
        };
        let nanos = number * nanos;
        if nanos > 1e18 {
            Err("a span of more than thirty years".into())
        } else {
            Ok(Self::from_nanos(nanos as u64))
        }
    }
}

/// Bytes, as `64GiB`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bytes(pub u64);

impl Value for Bytes {
    const WANTED: &'static str = "a number of bytes, as 512KiB or 64GiB";

    fn read(text: &str) -> Result<Self, String> {
        let (number, unit) = figure(text).ok_or_else(wanted::<Self>)?;
        let factor: u64 = match unit {
            "" | "B" => 1,
            "KiB" => 1 << 10,
            "MiB" => 1 << 20,
            "GiB" => 1 << 30,
            "TiB" => 1 << 40,
            "kB" => 1_000,
            "MB" => 1_000_000,
            "GB" => 1_000_000_000,
            other => {
                return Err(format!("{other:?} is no unit of bytes (B, KiB, MiB, GiB, TiB, kB, MB, GB are)"));
            }
        };
        let bytes = number * factor as f64;
        if bytes > 1e18 { Err("more bytes than can be counted".into()) } else { Ok(Self(bytes as u64)) }
    }
}

/// Cores, as `2.5cores` or `2.5`.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Cores(pub f64);

impl Value for Cores {
    const WANTED: &'static str = "a number of cores, as 2.5cores";

    fn read(text: &str) -> Result<Self, String> {
        match figure(text) {
            Some((number, "" | "cores" | "core")) if number > 0.0 => Ok(Self(number)),
            _ => Err(wanted::<Self>()),
        }
    }
}

/// A part of a whole, as `0.5` or `50%`.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Share(pub f64);

impl Value for Share {
    const WANTED: &'static str = "a part from 0 to 1, as 0.5 or 50%";

    fn read(text: &str) -> Result<Self, String> {
        let share = match figure(text) {
            Some((number, "")) => number,
            Some((number, "%")) => number / 100.0,
            _ => return Err(wanted::<Self>()),
        };
        if share <= 1.0 { Ok(Self(share)) } else { Err(wanted::<Self>()) }
    }
}

impl Value for f64 {
    const WANTED: &'static str = "a number";

    fn read(text: &str) -> Result<Self, String> {
        match figure(text) {
            Some((number, "")) => Ok(number),
            _ => Err(wanted::<Self>()),
        }
    }
}

macro_rules! whole {
    ($($type:ty),*) => {$(
        impl Value for $type {
            const WANTED: &'static str = "a whole number";

            fn read(text: &str) -> Result<Self, String> {
                text.parse().map_err(|_| wanted::<Self>())
            }
        }
    )*};
}

whole!(u8, u32, u64, usize);

impl Value for String {
    const WANTED: &'static str = "a text";

    fn read(text: &str) -> Result<Self, String> {
        Ok(text.to_owned())
    }
}

impl Value for bool {
    const WANTED: &'static str = "yes or no";

    fn read(text: &str) -> Result<Self, String> {
        match text {
            "yes" => Ok(true),
            "no" => Ok(false),
            _ => Err(wanted::<Self>()),
        }
    }
}

/// A name: letters, digits, `-`, `_` and `.`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Name(pub String);

impl Value for Name {
    const WANTED: &'static str = "a name of letters, digits, -, _ and .";

    fn read(text: &str) -> Result<Self, String> {
        let fine = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if !text.is_empty() && text.len() <= 64 && text.chars().all(fine) {
            Ok(Self(text.to_owned()))
        } else {
            Err(wanted::<Self>())
        }
    }
}

/// One value or two with `..` between them, of which the second is not the lesser.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range<T> {
    pub low: T,
    pub high: T,
}

impl<T: Value + Copy + PartialOrd> Value for Range<T> {
    const WANTED: &'static str = T::WANTED;

    fn read(text: &str) -> Result<Self, String> {
        let (low, high) = text.split_once("..").unwrap_or((text, text));
        let (low, high) = (T::read(low)?, T::read(high)?);
        if low <= high { Ok(Self { low, high }) } else { Err("the range ends before it begins".into()) }
    }
}
