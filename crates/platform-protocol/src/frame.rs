//! Messages from a byte stream.

use crate::ProtocolError;

/// The least value of a message's length field: a type and a task number.
pub const MIN_LENGTH: usize = 9;
/// The greatest value of a message's length field.
pub const MAX_LENGTH: usize = 16 * 1024;
/// The most parameters of a message: the longest, a start request, has eight.
pub const MAX_PARAMETERS: usize = 64;
/// Bytes of the length field.
const LENGTH_SIZE: usize = 2;
/// The longest message, with its length field.
pub const MAX_MESSAGE_SIZE: usize = LENGTH_SIZE + MAX_LENGTH;

/// A complete message whose parameters are well-formed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The message type, one of [`crate::kind`].
    pub kind: u8,
    /// The number of the task on this connection.
    pub task: u64,
    params: &'a [u8],
}

impl<'a> Frame<'a> {
    /// Parses the bytes after the length field.
    ///
    /// # Errors
    /// If there are too few bytes, the parameters don't fill them exactly, or there are more than
    /// [`MAX_PARAMETERS`].
    pub fn parse(bytes: &'a [u8]) -> Result<Self, ProtocolError> {
        let (Some((kind, rest)), true) = (bytes.split_first(), bytes.len() >= MIN_LENGTH) else {
            return Err(ProtocolError::new(format!("message of {} bytes is too short", bytes.len())));
        };
        let (task, params) = rest.split_at(8);
        let task = u64::from_be_bytes(task.try_into().expect("eight bytes"));
        let (mut unchecked, mut count) = (params, 0);
        while !unchecked.is_empty() {
            count += 1;
            if count > MAX_PARAMETERS {
                return Err(ProtocolError::new(format!(
                    "a message with more than {MAX_PARAMETERS} parameters"
                )));
            }
            let Some((_, rest)) = split_param(unchecked) else {
                let message = format!("parameters of a message of type {kind} don't fill it");
                return Err(ProtocolError(message));
            };
            unchecked = rest;
        }
        Ok(Self { kind: *kind, task, params })
    }

    /// The codes and values of the parameters, in their order.
    pub fn params(&self) -> impl Iterator<Item = (u8, &'a [u8])> {
        let mut remaining = self.params;
        std::iter::from_fn(move || {
            let (param, rest) = split_param(remaining)?;
            remaining = rest;
            Some(param)
        })
    }

    /// The first value of a code.
    pub fn param(&self, code: u8) -> Option<&'a [u8]> {
        self.params().find(|(c, _)| *c == code).map(|(_, value)| value)
    }

    /// The first value of a code, if it is UTF-8.
    pub fn text(&self, code: u8) -> Option<&'a str> {
        std::str::from_utf8(self.param(code)?).ok()
    }
}

type Param<'a> = (u8, &'a [u8]);

/// Splits off the first parameter: a code, the length of the value, and the value.
fn split_param(bytes: &[u8]) -> Option<(Param<'_>, &[u8])> {
    let (head, rest) = bytes.split_at_checked(3)?;
    let (value, rest) = rest.split_at_checked(usize::from(u16::from_be_bytes([head[1], head[2]])))?;
    Some(((head[0], value), rest))
}

/// Input of a connection that was not processed. A length out of bounds is rejected before its bytes arrive,
/// so that no more than one message and one read are buffered.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    bytes: Vec<u8>,
    processed: usize,
}

impl FrameBuffer {
    /// Appends bytes that have arrived.
    pub fn extend(&mut self, bytes: &[u8]) {
        if self.processed > 0 {
            self.bytes.drain(..self.processed);
            self.processed = 0;
        }
        // Not more than what has arrived, or the whole message that it belongs to.
        let message_end = self.next_length().map_or(0, |length| LENGTH_SIZE + length.min(MAX_LENGTH));
        let wanted = message_end.max(self.bytes.len() + bytes.len());
        self.bytes.reserve_exact(wanted - self.bytes.len());
        self.bytes.extend_from_slice(bytes);
    }

    /// Buffered bytes that were not processed.
    pub fn unprocessed(&self) -> usize {
        self.bytes.len() - self.processed
    }

    /// The value of the next length field, if it is complete.
    fn next_length(&self) -> Option<usize> {
        let length = self.bytes[self.processed..].first_chunk::<LENGTH_SIZE>()?;
        Some(usize::from(u16::from_be_bytes(*length)))
    }

    /// Removes the next complete message.
    ///
    /// # Errors
    /// If it is malformed; nothing after it can be read either.
    pub fn next_frame(&mut self) -> Result<Option<Frame<'_>>, ProtocolError> {
        let Some(length) = self.next_length() else { return Ok(None) };
        if !(MIN_LENGTH..=MAX_LENGTH).contains(&length) {
            return Err(ProtocolError::new(format!("message length {length} is out of bounds")));
        }
        let start = self.processed + LENGTH_SIZE;
        let Some(body) = self.bytes.get(start..start + length) else { return Ok(None) };
        self.processed = start + length;
        Frame::parse(body).map(Some)
    }

    /// Whether `next_frame` would return a message or an error.
    pub fn has_frame(&self) -> bool {
        self.next_length().is_some_and(|length| {
            let is_valid = (MIN_LENGTH..=MAX_LENGTH).contains(&length);
            !is_valid || self.unprocessed() >= LENGTH_SIZE + length
        })
    }

    /// Frees the buffer's memory if everything is processed.
    pub fn release_if_empty(&mut self) {
        if self.unprocessed() == 0 {
            *self = Self::default();
        }
    }
}

#[cfg(test)]
mod tests;
