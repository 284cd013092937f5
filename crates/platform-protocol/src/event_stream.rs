//! Server-sent events over HTTP: the response head, the framing of the body, and the events in it.

use crate::ProtocolError;

/// The longest response head, in bytes.
const MAX_HEAD: usize = 16 * 1024;
/// The longest line of the stream and the longest data of an event, in bytes: a snapshot of 10,000 machines
/// with 800 bytes each fits. Seen: with 1 MiB a list of some 6,000 machines was taken for an endless line, on
/// every retry.
const MAX_LINE: usize = 1 << 23;
/// The longest line with a chunk's size, in bytes.
const MAX_CHUNK_LINE: usize = 1024;
/// The most headers of a response.
const MAX_HEADERS: usize = 64;

/// How the body of a response is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// It ends when the connection is closed.
    UntilClose,
    /// It has this many bytes.
    Length(u64),
    /// It is sent in chunks, each with its size.
    Chunked,
}

/// Decodes the head of a response from its bytes as they arrive.
#[derive(Debug, Default)]
pub struct ResponseHead(Vec<u8>);

impl ResponseHead {
    /// Appends bytes. Once the head is complete, returns the framing of the body and the bytes after the
    /// head.
    ///
    /// # Errors
    /// If it is not a response head, is too long, or has another status than 200.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<(BodyFraming, Vec<u8>)>, ProtocolError> {
        self.0.extend_from_slice(bytes);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let size = match response.parse(&self.0) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) if self.0.len() <= MAX_HEAD => return Ok(None),
            Ok(httparse::Status::Partial) => return Err(ProtocolError::new("HTTP head is too long")),
            Err(error) => return Err(ProtocolError::new(format!("malformed HTTP head: {error}"))),
        };
        if response.code != Some(200) {
            return Err(ProtocolError::new(format!("HTTP status {:?}", response.code)));
        }
        let framing = body_framing(response.headers)?;
        Ok(Some((framing, self.0.split_off(size))))
    }
}

fn body_framing(headers: &[httparse::Header<'_>]) -> Result<BodyFraming, ProtocolError> {
    let header = |name: &str| {
        let found = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        found.and_then(|header| std::str::from_utf8(header.value).ok()).map(str::trim)
    };
    let is_chunked = header("transfer-encoding").is_some_and(|codings| {
        codings.rsplit(',').next().is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
    });
    if is_chunked {
        return Ok(BodyFraming::Chunked);
    }
    let Some(length) = header("content-length") else { return Ok(BodyFraming::UntilClose) };
    let length = length.parse().map_err(|_| ProtocolError::new(format!("content length {length:?}")))?;
    Ok(BodyFraming::Length(length))
}

/// Where in the framing of a body the next byte is.
#[derive(Debug)]
enum Position {
    /// In a body without chunks, with this many bytes to come if that is known.
    Plain(Option<u64>),
    /// In the line with a chunk's size.
    ChunkSize(Vec<u8>),
    /// In a chunk, with this many bytes to come.
    Chunk(u64),
    /// In the line end after a chunk.
    ChunkEnd(Vec<u8>),
    /// After the last chunk.
    End,
}

/// Decodes the events of a body from its bytes as they arrive.
#[derive(Debug)]
pub struct EventStream {
    position: Position,
    lines: EventLines,
}

impl EventStream {
    /// A decoder at the start of a body.
    pub fn new(framing: BodyFraming) -> Self {
        let position = match framing {
            BodyFraming::UntilClose => Position::Plain(None),
            BodyFraming::Length(length) => Position::Plain(Some(length)),
            BodyFraming::Chunked => Position::ChunkSize(Vec::new()),
        };
        Self { position, lines: EventLines::default() }
    }

    /// Whether the body is complete: no more events follow on this connection.
    pub fn is_finished(&self) -> bool {
        matches!(self.position, Position::End | Position::Plain(Some(0)))
    }

    /// Decodes bytes and calls `on_event` with the data of each complete event.
    ///
    /// # Errors
    /// If the framing or a line is malformed; events that were complete before were passed on.
    pub fn feed(&mut self, mut bytes: &[u8], mut on_event: impl FnMut(&str)) -> Result<(), ProtocolError> {
        while !bytes.is_empty() {
            let available = bytes.len() as u64;
            match &mut self.position {
                Position::Plain(None) => return self.lines.feed(bytes, &mut on_event),
                Position::Plain(Some(remaining)) => {
                    let n = (*remaining).min(available);
                    *remaining -= n;
                    return self.lines.feed(&bytes[..n as usize], &mut on_event);
                }
                Position::ChunkSize(line) => {
                    let taken = extend_line(line, bytes)?;
                    bytes = &bytes[taken..];
                    if line.last() == Some(&b'\n') {
                        self.position = after_chunk_size(line)?;
                    }
                }
                Position::Chunk(remaining) => {
                    let n = (*remaining).min(available);
                    *remaining -= n;
                    let is_complete = *remaining == 0;
                    self.lines.feed(&bytes[..n as usize], &mut on_event)?;
                    bytes = &bytes[n as usize..];
                    if is_complete {
                        self.position = Position::ChunkEnd(Vec::new());
                    }
                }
                Position::ChunkEnd(line) => {
                    let taken = extend_line(line, bytes)?;
                    bytes = &bytes[taken..];
                    if line.last() == Some(&b'\n') {
                        if line.trim_ascii() != b"" {
                            return Err(ProtocolError::new("chunk is longer than its size"));
                        }
                        self.position = Position::ChunkSize(Vec::new());
                    }
                }
                Position::End => return Ok(()),
            }
        }
        Ok(())
    }
}

/// The position after a complete line with a chunk's size.
fn after_chunk_size(line: &[u8]) -> Result<Position, ProtocolError> {
    match httparse::parse_chunk_size(line) {
        Ok(httparse::Status::Complete((_, 0))) => Ok(Position::End),
        Ok(httparse::Status::Complete((_, size))) => Ok(Position::Chunk(size)),
        _ => Err(ProtocolError::new("chunk without a valid size")),
    }
}

/// Appends bytes to a short line, up to its end; returns how many.
fn extend_line(line: &mut Vec<u8>, bytes: &[u8]) -> Result<usize, ProtocolError> {
    let taken = bytes.iter().position(|byte| *byte == b'\n').map_or(bytes.len(), |at| at + 1);
    if line.len() + taken > MAX_CHUNK_LINE {
        return Err(ProtocolError::new("chunk size line is too long"));
    }
    line.extend_from_slice(&bytes[..taken]);
    Ok(taken)
}

/// Decodes the lines of an unframed body.
#[derive(Debug)]
struct EventLines {
    /// The line that is not complete yet.
    line: Vec<u8>,
    /// The last byte was a carriage return that ended a line.
    after_return: bool,
    is_first_line: bool,
    /// The data of the event that is not complete yet, and whether it has any.
    data: String,
    has_data: bool,
}

impl Default for EventLines {
    fn default() -> Self {
        Self {
            line: Vec::new(),
            after_return: false,
            is_first_line: true,
            data: String::new(),
            has_data: false,
        }
    }
}

impl EventLines {
    /// Decodes bytes. A line ends with a line feed, a carriage return, or both.
    fn feed(&mut self, bytes: &[u8], on_event: &mut impl FnMut(&str)) -> Result<(), ProtocolError> {
        for byte in bytes {
            match byte {
                b'\n' if std::mem::take(&mut self.after_return) => {}
                b'\n' | b'\r' => {
                    self.after_return = *byte == b'\r';
                    let line = std::mem::take(&mut self.line);
                    self.complete_line(&line, on_event)?;
                    self.line = line;
                    self.line.clear();
                }
                _ => {
                    self.after_return = false;
                    if self.line.len() >= MAX_LINE {
                        return Err(ProtocolError::new("line is too long"));
                    }
                    self.line.push(*byte);
                }
            }
        }
        Ok(())
    }

    fn complete_line(&mut self, line: &[u8], on_event: &mut impl FnMut(&str)) -> Result<(), ProtocolError> {
        let line = std::str::from_utf8(line).map_err(|_| ProtocolError::new("line is not UTF-8"))?;
        let is_first = std::mem::take(&mut self.is_first_line);
        let line = if is_first { line.trim_start_matches('\u{feff}') } else { line };
        if line.is_empty() {
            if std::mem::take(&mut self.has_data) {
                on_event(&self.data);
                self.data.clear();
            }
            return Ok(());
        }
        // The events contain their numbers: those of `id` fields are the same and are ignored.
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        if field == "data" {
            if self.has_data {
                self.data.push('\n');
            }
            self.has_data = true;
            self.data.push_str(value.strip_prefix(' ').unwrap_or(value));
            if self.data.len() > MAX_LINE {
                return Err(ProtocolError::new("event is too long"));
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
