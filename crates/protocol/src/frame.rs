//! A frame is four bytes of length, the highest first, and so many bytes of one CBOR item.

use crate::message::Message;

/// No frame is longer, without its length. Longer lists of machines or of held tasks go in several messages.
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

/// A message that is longer than a frame may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong {
    /// Bytes of the message.
    pub bytes: usize,
}

impl std::fmt::Display for TooLong {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "a message of {} bytes can't be sent ({MOST_FRAME} at most)", self.bytes)
    }
}

impl std::error::Error for TooLong {}

/// Puts one message as a frame behind what `out` holds.
///
/// # Errors
/// Where it is longer than a frame may be; `out` is as it was.
pub fn try_encode(message: &Message<'_>, out: &mut Vec<u8>) -> Result<(), TooLong> {
    let at = out.len();
    out.extend_from_slice(&[0; 4]);
    minicbor::encode(message, &mut *out).expect("a vector takes all");
    let bytes = out.len() - at - 4;
    if bytes > MOST_FRAME {
        out.truncate(at);
        return Err(TooLong { bytes });
    }
    out[at..at + 4].copy_from_slice(&(bytes as u32).to_be_bytes());
    Ok(())
}

/// Puts one message as a frame behind what `out` holds, for messages whose parts are bounded. One that is too
/// long after all is replaced by a `bye` that says so: its reader learns that it can't know what was told.
pub fn encode(message: &Message<'_>, out: &mut Vec<u8>) {
    if let Err(too_long) = try_encode(message, out) {
        let words = too_long.to_string();
        try_encode(&Message::Bye { words: &words }, out).expect("a few words fit");
    }
}

/// Emptied buffers for the next connections on which something comes in: those of idle ones.
#[derive(Debug, Default)]
pub struct Spare(
    #[expect(clippy::vec_box, reason = "boxes go from here into frames and come back")] Vec<Box<Buffer>>,
);

/// So many are kept; what a burst took beyond that is given back.
const SPARE: usize = 64;
/// A buffer that grew beyond this is not kept.
const MOST_SPARE: usize = 16 * 1024;

impl Spare {
    /// Bytes of memory that are held.
    pub fn held(&self) -> usize {
        self.0.iter().map(|buffer| buffer.bytes.capacity()).sum()
    }
}

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    at: usize,
}

/// Cuts a stream of bytes into frames. What is not yet a whole frame is kept, and nothing else: with nothing
/// kept, after `tidy`, no buffer is owned.
#[derive(Debug, Default)]
pub struct Frames {
    buffer: Option<Box<Buffer>>,
    /// Bytes of the stream before the buffer's first, for messages about it.
    before: u64,
}

impl Frames {
    pub fn take(&mut self, bytes: &[u8]) {
        self.take_with(bytes, &mut Spare::default());
    }

    /// The same, with a buffer of the spare ones where one is needed.
    pub fn take_with(&mut self, bytes: &[u8], spare: &mut Spare) {
        let buffer = self.buffer.get_or_insert_with(|| spare.0.pop().unwrap_or_default());
        if buffer.at > 0 {
            buffer.bytes.drain(..buffer.at);
            self.before += buffer.at as u64;
            buffer.at = 0;
        }
        buffer.bytes.extend_from_slice(bytes);
    }

    /// Gives the buffer back where nothing is kept in it; a part of a frame keeps what it needs.
    pub fn tidy(&mut self, spare: &mut Spare) {
        let kept = self.kept();
        let Some(buffer) = &mut self.buffer else { return };
        self.before += buffer.at as u64;
        buffer.bytes.drain(..buffer.at);
        buffer.at = 0;
        if kept > 0 {
            if buffer.bytes.capacity() > 1024 && buffer.bytes.capacity() / 4 > kept {
                buffer.bytes.shrink_to_fit();
            }
            return;
        }
        let buffer = self.buffer.take().expect("was there");
        if spare.0.len() < SPARE && buffer.bytes.capacity() <= MOST_SPARE {
            spare.0.push(buffer);
        }
    }

    /// The next whole frame with its length before it, or nothing yet.
    ///
    /// # Errors
    /// Where the length is none or too great; the stream can't be read any further.
    pub fn next_frame(&mut self) -> Result<Option<&[u8]>, Bad> {
        let Some(len) = self.length()? else { return Ok(None) };
        let Some(buffer) = &mut self.buffer else { return Ok(None) };
        let start = buffer.at;
        buffer.at += len + 4;
        Ok(Some(&buffer.bytes[start..buffer.at]))
    }

    /// The next whole frame, which stays where it is; nothing where there is none or it is wrong.
    pub fn peek(&self) -> Option<&[u8]> {
        let len = self.length().ok()??;
        Some(&self.rest()[..len + 4])
    }

    /// The length of the next frame, where the whole of it is here.
    fn length(&self) -> Result<Option<usize>, Bad> {
        let rest = self.rest();
        let Some(len) = rest.first_chunk::<4>().map(|len| u32::from_be_bytes(*len) as usize) else {
            return Ok(None);
        };
        if len == 0 || len > MOST_FRAME {
            let place = self.before + self.buffer.as_ref().map_or(0, |buffer| buffer.at as u64);
            return Err(Bad(format!("byte {place}: a frame of {len} bytes (1 to {MOST_FRAME} are allowed)")));
        }
        Ok((rest.len() >= len + 4).then_some(len))
    }

    /// What is kept of a frame that is not whole, or of what is none.
    pub fn rest(&self) -> &[u8] {
        self.buffer.as_ref().map_or(&[], |buffer| &buffer.bytes[buffer.at..])
    }

    /// Bytes kept of a frame that is not whole.
    pub fn kept(&self) -> usize {
        self.rest().len()
    }

    /// Bytes of memory that are owned for it.
    pub fn owned(&self) -> usize {
        self.buffer.as_ref().map_or(0, |buffer| buffer.bytes.capacity())
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
