//! A frame is four bytes of length, the highest first, and so many bytes of one CBOR item.

use crate::message::Message;

/// No frame is longer, without its length. A list of a thousand machines fits.
pub const MOST_FRAME: usize = 256 * 1024;

/// Why a peer's bytes are no frames, in words that name the place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bad(pub String);

impl std::fmt::Display for Bad {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Bad {}

/// Puts one message as a frame behind what `out` holds.
pub fn encode(message: &Message<'_>, out: &mut Vec<u8>) {
    let at = out.len();
    out.extend_from_slice(&[0; 4]);
    minicbor::encode(message, &mut *out).expect("a vector takes all");
    let len = out.len() - at - 4;
    assert!(len <= MOST_FRAME, "a frame of {len} bytes can't be sent");
    out[at..at + 4].copy_from_slice(&(len as u32).to_be_bytes());
}

/// Cuts a stream of bytes into frames. What is not yet a whole frame is kept, and nothing else.
#[derive(Debug, Default)]
pub struct Frames {
    bytes: Vec<u8>,
    at: usize,
    /// Bytes of the stream before `bytes[0]`, for messages about it.
    before: u64,
}

impl Frames {
    pub fn take(&mut self, bytes: &[u8]) {
        if self.at > 0 {
            self.bytes.drain(..self.at);
            self.before += self.at as u64;
            self.at = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole frame with its length before it, or nothing yet.
    ///
    /// # Errors
    /// Where the length is none or too great; the stream can't be read any further.
    pub fn next_frame(&mut self) -> Result<Option<&[u8]>, Bad> {
        let rest = &self.bytes[self.at..];
        let Some(len) = rest.first_chunk::<4>().map(|len| u32::from_be_bytes(*len) as usize) else {
            return Ok(None);
        };
        if len == 0 || len > MOST_FRAME {
            let place = self.before + self.at as u64;
            return Err(Bad(format!("byte {place}: a frame of {len} bytes (1 to {MOST_FRAME} are allowed)")));
        }
        if rest.len() < len + 4 {
            return Ok(None);
        }
        let start = self.at;
        self.at += len + 4;
        Ok(Some(&self.bytes[start..self.at]))
    }

    /// What is kept of a frame that is not whole, or of what is none.
    pub fn rest(&self) -> &[u8] {
        &self.bytes[self.at..]
    }

    /// Bytes kept of a frame that is not whole.
    pub fn kept(&self) -> usize {
        self.bytes.len() - self.at
    }
}

/// Reads the message of a whole frame, its length included.
///
/// # Errors
/// Where it is no message, or something stands behind it.
pub fn decode(frame: &[u8]) -> Result<Message<'_>, Bad> {
    let body = frame.get(4..).ok_or_else(|| Bad("a frame without its length".into()))?;
    let mut decoder = minicbor::Decoder::new(body);
    let message: Message<'_> =
        decoder.decode().map_err(|e| Bad(format!("byte {} of a frame: {e}", decoder.position())))?;
    if decoder.position() != body.len() {
        return Err(Bad(format!("byte {} of a frame: more than one message", decoder.position())));
    }
    message.check()?;
    Ok(message)
}
