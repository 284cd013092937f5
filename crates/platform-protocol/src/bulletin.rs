//! Server-sent events over HTTP: the head of the answer, the framing of its body, and the events in it.

use crate::Bad;

/// Of a head.
const MOST_HEAD: usize = 16 * 1024;
/// Of one line of the stream, and of the data of one event: a whole list of 10,000 machines with 800 bytes
/// for each fits. Met: with 1 MiB a list of some 6,000 machines was taken for an endless line, for ever.
const MOST_LINE: usize = 1 << 23;
/// Of the line that tells a chunk's length.
const MOST_CHUNK_LINE: usize = 1024;
const HEADERS: usize = 64;

/// How the body of an answer is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// Up to the end of the connection.
    Open,
    Length(u64),
    Chunked,
}

/// The head of an answer, as its bytes come.
#[derive(Debug, Default)]
pub struct Head(Vec<u8>);

impl Head {
    /// Takes bytes; once the head is whole, gives the framing, and the bytes that came behind it.
    ///
    /// # Errors
    /// Where it is no head, an endless one, or one of a call that failed.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Option<(Body, Vec<u8>)>, Bad> {
        self.0.extend_from_slice(bytes);
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let size = match response.parse(&self.0) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) if self.0.len() <= MOST_HEAD => return Ok(None),
            Ok(httparse::Status::Partial) => return Err(Bad("an endless head".into())),
            Err(e) => return Err(Bad(format!("no head: {e}"))),
        };
        if response.code != Some(200) {
            return Err(Bad(format!("answered with status {:?}", response.code)));
        }
        let header = |name: &str| {
            let found = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
            found.and_then(|header| std::str::from_utf8(header.value).ok()).map(str::trim)
        };
        let chunked = header("transfer-encoding").is_some_and(|how| {
            how.rsplit(',').next().is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
        });
        let body = match header("content-length") {
            _ if chunked => Body::Chunked,
            None => Body::Open,
            Some(length) => Body::Length(length.parse().map_err(|_| Bad(format!("a length of {length:?}")))?),
        };
        Ok(Some((body, self.0.split_off(size))))
    }
}

/// The events of a body, as its bytes come.
#[derive(Debug)]
pub struct Stream {
    framing: Framing,
    /// A line that is not whole yet, and whether the last one ended with a carriage return.
    line: Vec<u8>,
    after_return: bool,
    first: bool,
    data: String,
    any_data: bool,
}

#[derive(Debug)]
enum Framing {
    Plain(Option<u64>),
    /// The line that tells a chunk's length.
    Size(Vec<u8>),
    /// So many bytes of a chunk are left.
    Chunk(u64),
    /// The line end behind a chunk.
    Behind(Vec<u8>),
    Over,
}

impl Stream {
    pub fn new(body: Body) -> Self {
        Self {
            framing: match body {
                Body::Open => Framing::Plain(None),
                Body::Length(length) => Framing::Plain(Some(length)),
                Body::Chunked => Framing::Size(Vec::new()),
            },
            line: Vec::new(),
            after_return: false,
            first: true,
            data: String::new(),
            any_data: false,
        }
    }

    /// The body has come to its end; the connection has no more to tell.
    pub fn is_over(&self) -> bool {
        matches!(self.framing, Framing::Over | Framing::Plain(Some(0)))
    }

    /// Takes bytes and gives each whole event's data.
    ///
    /// # Errors
    /// Where framing or lines are none; what was whole before was given.
    pub fn take(&mut self, mut bytes: &[u8], mut whole: impl FnMut(&str)) -> Result<(), Bad> {
        while !bytes.is_empty() {
            let left = bytes.len() as u64;
            match &mut self.framing {
                Framing::Plain(None) => {
                    return self.lines(bytes, &mut whole);
                }
                Framing::Plain(Some(length)) => {
                    let n = (*length).min(left);
                    *length -= n;
                    return self.lines(&bytes[..n as usize], &mut whole);
                }
                Framing::Size(line) => {
                    let taken = take_line(line, bytes)?;
                    bytes = &bytes[taken..];
                    if line.last() != Some(&b'\n') {
                        continue;
                    }
                    let size = match httparse::parse_chunk_size(line) {
                        Ok(httparse::Status::Complete((_, size))) => size,
                        _ => return Err(Bad("a chunk without a length".into())),
                    };
                    self.framing = if size == 0 { Framing::Over } else { Framing::Chunk(size) };
                }
                Framing::Chunk(length) => {
                    let n = (*length).min(left);
                    *length -= n;
                    let done = *length == 0;
                    self.lines(&bytes[..n as usize], &mut whole)?;
                    bytes = &bytes[n as usize..];
                    if done {
                        self.framing = Framing::Behind(Vec::new());
                    }
                }
                Framing::Behind(line) => {
                    let taken = take_line(line, bytes)?;
                    bytes = &bytes[taken..];
                    if line.last() == Some(&b'\n') {
                        if line.trim_ascii() != b"" {
                            return Err(Bad("a chunk longer than it said".into()));
                        }
                        self.framing = Framing::Size(Vec::new());
                    }
                }
                Framing::Over => return Ok(()),
            }
        }
        Ok(())
    }

    /// Lines end with a line feed, a carriage return, or both.
    fn lines(&mut self, bytes: &[u8], whole: &mut impl FnMut(&str)) -> Result<(), Bad> {
        for byte in bytes {
            match byte {
                b'\n' if std::mem::take(&mut self.after_return) => {}
                b'\n' | b'\r' => {
                    self.after_return = *byte == b'\r';
                    let line = std::mem::take(&mut self.line);
                    self.line(&line, whole)?;
                    self.line = line;
                    self.line.clear();
                }
                _ => {
                    self.after_return = false;
                    if self.line.len() >= MOST_LINE {
                        return Err(Bad("an endless line".into()));
                    }
                    self.line.push(*byte);
                }
            }
        }
        Ok(())
    }

    fn line(&mut self, line: &[u8], whole: &mut impl FnMut(&str)) -> Result<(), Bad> {
        let line = std::str::from_utf8(line).map_err(|_| Bad("a line that is no text".into()))?;
        let line = if std::mem::take(&mut self.first) { line.trim_start_matches('\u{feff}') } else { line };
        if line.is_empty() {
            if std::mem::take(&mut self.any_data) {
                whole(&self.data);
                self.data.clear();
            }
            return Ok(());
        }
        // Numbers stand in the events themselves: those of `id` are the same and are passed over.
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        if field == "data" {
            if self.any_data {
                self.data.push('\n');
            }
            self.any_data = true;
            self.data.push_str(value.strip_prefix(' ').unwrap_or(value));
            if self.data.len() > MOST_LINE {
                return Err(Bad("an endless event".into()));
            }
        }
        Ok(())
    }
}

/// Adds bytes to a short line, up to its end; gives how many.
fn take_line(line: &mut Vec<u8>, bytes: &[u8]) -> Result<usize, Bad> {
    let taken = bytes.iter().position(|b| *b == b'\n').map_or(bytes.len(), |at| at + 1);
    if line.len() + taken > MOST_CHUNK_LINE {
        return Err(Bad("an endless chunk line".into()));
    }
    line.extend_from_slice(&bytes[..taken]);
    Ok(taken)
}

#[cfg(test)]
mod tests;
