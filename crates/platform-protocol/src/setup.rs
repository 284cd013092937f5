//! Set-ups: what an owner says of a task, and what of it can't be used.

use crate::code;
use crate::frames::Frame;

/// A set-up that can be read. Which class and machine are known is not asked here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SetUp<'a> {
    pub task: u64,
    pub class: &'a str,
    pub patience_ms: u64,
    pub again: bool,
    /// The task's name as it came, and as the number that it is.
    pub name: &'a str,
    pub name_number: u64,
    pub key: Option<&'a str>,
    pub figures: Figures<'a>,
    pub description: &'a [u8],
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures<'a> {
    pub cores: f64,
    pub memory: f64,
    pub service: u64,
    /// The machine that holds the task already.
    pub at: Option<&'a str>,
}

/// Why a set-up can't be used, though its message is whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unusable(pub &'static str);

/// A longest name of a machine, and a longest key.
const MOST_NAME: usize = 256;

fn hex(text: &str) -> Option<u64> {
    let is_hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    is_hex.then(|| u64::from_str_radix(text, 16).ok())?
}

/// A plain decimal number above nought; neither signs nor exponents.
fn amount(text: &str) -> Option<f64> {
    let plain = text.len() <= 16 && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let amount: f64 = plain.then(|| text.parse().ok())??;
    (amount > 0.0).then_some(amount)
}

impl<'a> SetUp<'a> {
    /// # Errors
    /// What of it is absent, doubled or can't be what it says.
    pub fn read(frame: &Frame<'a>) -> Result<Self, Unusable> {
        let one = |code: u8, doubled: &'static str| {
            let mut values = frame.params().filter(|(c, _)| *c == code).map(|(_, value)| value);
            let first = values.next();
            if values.next().is_some() { Err(Unusable(doubled)) } else { Ok(first) }
        };
        let text = |value: Option<&'a [u8]>, bad: &'static str| {
            value.map(|value| std::str::from_utf8(value).map_err(|_| Unusable(bad))).transpose()
        };
        if frame.task == 0 {
            return Err(Unusable("no id"));
        }
        let class = text(one(code::CLASS, "two classes")?, "a class that is no text")?;
        let patience = text(one(code::PATIENCE, "two waits")?, "a wait that is no text")?;
        let again = one(code::AGAIN, "two marks of a retry")?;
        let name = text(one(code::NAME, "two names")?, "a name that is no text")?;
        let key = text(one(code::KEY, "two keys")?, "a key that is no text")?;
        let figures = text(one(code::FIGURES, "figures twice")?, "figures that are no text")?;
        let description = one(code::DESCRIPTION, "two descriptions")?;
        let name = name.ok_or(Unusable("no name"))?;
        let whole = |text: &str| text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok())?;
        Ok(Self {
            task: frame.task,
            class: class.ok_or(Unusable("no class"))?,
            patience_ms: patience.and_then(whole).ok_or(Unusable("a wait that is no number"))?,
            again: match again {
                None | Some(b"0") => false,
                Some(b"1") => true,
                Some(_) => return Err(Unusable("a mark of a retry that is none")),
            },
            name,
            name_number: hex(name).ok_or(Unusable("a name that is no 16 hex digits"))?,
            key: match key {
                Some(key) if key.len() != 32 || !key.bytes().all(|b| b.is_ascii_hexdigit()) => {
                    return Err(Unusable("a key that is no 32 hex digits"));
                }
                key => key,
            },
            figures: Figures::read(figures.ok_or(Unusable("no figures"))?)?,
            description: match description {
                Some(text) if !text.is_empty() => text,
                _ => return Err(Unusable("no description")),
            },
        })
    }
}

impl<'a> Figures<'a> {
    fn read(text: &'a str) -> Result<Self, Unusable> {
        let (mut cores, mut memory, mut service, mut at) = (None, None, None, None);
        for pair in text.split(';').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once(':').ok_or(Unusable("a figure without a value"))?;
            let slot = match name {
                "cores" => &mut cores,
                "memory" => &mut memory,
                "service" => &mut service,
                "at" => &mut at,
                _ => continue,
            };
            if slot.replace(value).is_some() {
                return Err(Unusable("a figure twice"));
            }
        }
        Ok(Self {
            cores: cores.and_then(amount).ok_or(Unusable("cores that are no amount"))?,
            memory: memory.and_then(amount).ok_or(Unusable("memory that is no amount"))?,
            service: service.and_then(hex).ok_or(Unusable("a service that is no 16 hex digits"))?,
            at: match at {
                Some(at) if at.is_empty() || at.len() > MOST_NAME => {
                    return Err(Unusable("a machine without a name"));
                }
                at => at,
            },
        })
    }
}

#[cfg(test)]
mod tests;
