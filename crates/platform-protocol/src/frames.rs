//! Messages out of bytes, cut anywhere.

use crate::Bad;

/// What a length counts at the least: a type and a task.
pub const LEAST: usize = 9;
/// And at the most.
pub const MOST: usize = 16 * 1024;

/// A whole message whose parameters add up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    pub kind: u8,
    pub task: u64,
    params: &'a [u8],
}

impl<'a> Frame<'a> {
    /// What follows the length.
    ///
    /// # Errors
    /// Where it is too short, or its parameters do not add up.
    pub fn read(bytes: &'a [u8]) -> Result<Self, Bad> {
        let (Some((kind, rest)), true) = (bytes.split_first(), bytes.len() >= LEAST) else {
            return Err(Bad(format!("a message of {} bytes", bytes.len())));
        };
        let (task, params) = rest.split_at(8);
        let task = u64::from_be_bytes(task.try_into().expect("eight bytes"));
        let mut left = params;
        while !left.is_empty() {
            let Some((_, rest)) = split_param(left) else {
                return Err(Bad(format!("parameters of a message of type {kind} don't add up")));
            };
            left = rest;
        }
        Ok(Self { kind: *kind, task, params })
    }

    /// Codes and values, in their order.
    pub fn params(&self) -> impl Iterator<Item = (u8, &'a [u8])> {
        let mut left = self.params;
        std::iter::from_fn(move || {
            let (param, rest) = split_param(left)?;
            left = rest;
            Some(param)
        })
    }

    /// The first value of this code.
    pub fn param(&self, code: u8) -> Option<&'a [u8]> {
        self.params().find(|(c, _)| *c == code).map(|(_, value)| value)
    }

    /// The first value of this code, where it is text.
    pub fn text(&self, code: u8) -> Option<&'a str> {
        std::str::from_utf8(self.param(code)?).ok()
    }
}

type Param<'a> = (u8, &'a [u8]);

fn split_param(left: &[u8]) -> Option<(Param<'_>, &[u8])> {
    let (head, rest) = left.split_at_checked(3)?;
    let (value, rest) = rest.split_at_checked(usize::from(u16::from_be_bytes([head[1], head[2]])))?;
    Some(((head[0], value), rest))
}

/// What came in on a connection and is not heard yet. A length out of bounds is found before its bytes come,
/// so that no more than one message and one read are held.
#[derive(Debug, Default)]
pub struct Frames {
    bytes: Vec<u8>,
    heard: usize,
}

impl Frames {
    pub fn take(&mut self, bytes: &[u8]) {
        if self.heard > 0 {
            self.bytes.drain(..self.heard);
            self.heard = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Bytes that are held and not heard.
    pub fn kept(&self) -> usize {
        self.bytes.len() - self.heard
    }

    /// The next whole message.
    ///
    /// # Errors
    /// Where what comes next is none; nothing after it can be read either.
    pub fn next_frame(&mut self) -> Result<Option<Frame<'_>>, Bad> {
        let left = &self.bytes[self.heard..];
        let Some(length) = left.first_chunk::<2>().map(|head| usize::from(u16::from_be_bytes(*head))) else {
            return Ok(None);
        };
        if !(LEAST..=MOST).contains(&length) {
            return Err(Bad(format!("a length of {length}")));
        }
        let Some(body) = left.get(2..2 + length) else { return Ok(None) };
        self.heard += 2 + length;
        Frame::read(body).map(Some)
    }

    /// Whether a whole message, or what can't be one, is here to be heard.
    pub fn has_next(&self) -> bool {
        let left = &self.bytes[self.heard..];
        let length = left.first_chunk::<2>().map(|head| usize::from(u16::from_be_bytes(*head)));
        length.is_some_and(|length| !(LEAST..=MOST).contains(&length) || left.len() >= 2 + length)
    }

    /// Gives the buffer back where nothing is kept in it.
    pub fn tidy(&mut self) {
        if self.kept() == 0 {
            *self = Self::default();
        }
    }
}

#[cfg(test)]
mod tests;
