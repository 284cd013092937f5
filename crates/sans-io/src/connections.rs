//! The connections of one state machine: their outgoing bytes, and which frames can still be retracted.

use crate::Command;
use std::collections::{BTreeMap, VecDeque};

/// A connection, by a number that its state machine never uses again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// How much of a frame with a send token had not left this process when its connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsent {
    /// No byte was handed to the operating system.
    Entire,
    /// Some bytes were handed over, but not all.
    Partial,
}

/// Where a frame with a send token lies, in bytes since the output buffer was taken into use.
#[derive(Debug)]
struct TokenFrame {
    start: u64,
    end: u64,
    token: u64,
}

/// Outgoing bytes of a connection.
#[derive(Debug, Default)]
struct OutputBuffer {
    bytes: Vec<u8>,
    /// Bytes that were written since this buffer was taken into use: the offset of `bytes[0]`.
    written: u64,
    /// Frames with a token that are not completely written, in the order of their offsets.
    frames: VecDeque<TokenFrame>,
}

/// A connection; one without outgoing bytes owns no buffer.
#[derive(Debug, Default)]
struct Connection {
    output: Option<Box<OutputBuffer>>,
    reading_paused: bool,
    /// Nothing more is sent: its sending side is closed once the outgoing bytes are written.
    finishing: bool,
    /// It is listed in `Connections::with_output`.
    has_output: bool,
}

/// Emptied buffers kept for reuse; a burst's further ones are freed.
const MAX_SPARE_BUFFERS: usize = 64;
/// A buffer with more capacity than this is not reused.
const MAX_SPARE_CAPACITY: usize = 16 * 1024;

/// All connections of a state machine. The state machine writes frames; its host takes the bytes out.
#[derive(Debug, Default)]
pub struct Connections {
    next_id: u64,
    open: BTreeMap<ConnectionId, Connection>,
    /// Connections with outgoing bytes, in the order of the first write, so that what was written first is
    /// handed over first, on whatever connection. Seen: an attempt that was given up on one connection and
    /// its successor on another were sent in the order of the connection ids.
    with_output: VecDeque<ConnectionId>,
    commands: VecDeque<Command>,
    #[expect(clippy::vec_box, reason = "the boxes move from here into connections and back")]
    spare: Vec<Box<OutputBuffer>>,
}

/// What the state machine calls.
impl Connections {
    /// Requests a connection to an address; `on_connected` or `on_closed` reports the result.
    pub fn open(&mut self, address: &str) -> ConnectionId {
        let id = self.register();
        self.commands.push_back(Command::Open(id, address.to_owned()));
        id
    }

    /// Closes a connection after its outgoing bytes are written. `on_closed` is not called.
    pub fn close(&mut self, id: ConnectionId) {
        if self.open.contains_key(&id) {
            self.commands.push_back(Command::Close { connection: id, immediately: false });
        }
    }

    /// Closes the sending side of a connection after its outgoing bytes are written; nothing more can be sent on
    /// it. What the peer has sent, or sends until it has seen that, is still reported, and then `on_closed`: no
    /// message that was under way is lost with the connection. A peer that never closes its side keeps the
    /// connection open until `abort`.
    pub fn finish(&mut self, id: ConnectionId) {
        let Some(connection) = self.open.get_mut(&id) else { return };
        connection.finishing = true;
        if !std::mem::replace(&mut connection.has_output, true) {
            self.with_output.push_back(id);
        }
    }

    /// Closes a connection immediately and returns the tokens of the frames that were not completely handed
    /// over. `on_closed` is not called. No effect on a connection that is closed.
    pub fn abort(&mut self, id: ConnectionId) -> Vec<(u64, Unsent)> {
        if self.open.contains_key(&id) {
            self.commands.push_back(Command::Close { connection: id, immediately: true });
        }
        self.remove(id)
    }

    /// Appends a frame to the outgoing bytes. A token identifies it for `retract` and `remove`. No effect on a
    /// connection that is closed or finishing.
    pub fn send(&mut self, id: ConnectionId, frame: &[u8], token: Option<u64>) {
        let Some(connection) = self.open.get_mut(&id).filter(|connection| !connection.finishing) else {
            return;
        };
        let spare = &mut self.spare;
        let output = connection.output.get_or_insert_with(|| spare.pop().unwrap_or_default());
        let start = output.written + output.bytes.len() as u64;
        output.bytes.extend_from_slice(frame);
        if let Some(token) = token {
            output.frames.push_back(TokenFrame { start, end: start + frame.len() as u64, token });
        }
        if !std::mem::replace(&mut connection.has_output, true) {
            self.with_output.push_back(id);
        }
    }

    /// Removes a frame from the outgoing bytes if no byte of it was handed over. True if it will never be
    /// sent.
    pub fn retract(&mut self, id: ConnectionId, token: u64) -> bool {
        let output = self.open.get_mut(&id).and_then(|connection| connection.output.as_mut());
        let Some(output) = output else { return false };
        let is_unsent = |frame: &TokenFrame| frame.token == token && frame.start >= output.written;
        let Some(position) = output.frames.iter().position(is_unsent) else { return false };
        let TokenFrame { start, end, .. } = output.frames.remove(position).expect("the position was found");
        let len = end - start;
        output.bytes.drain((start - output.written) as usize..(end - output.written) as usize);
        for later in output.frames.iter_mut().skip(position) {
            later.start -= len;
            later.end -= len;
        }
        true
    }

    /// Whether any byte of a frame was not handed over yet.
    pub fn is_unsent(&self, id: ConnectionId, token: u64) -> bool {
        let output = self.open.get(&id).and_then(|connection| connection.output.as_ref());
        output.is_some_and(|output| output.frames.iter().any(|frame| frame.token == token))
    }

    /// Outgoing bytes that were not handed over.
    pub fn pending_bytes(&self, id: ConnectionId) -> usize {
        self.outgoing(id).len()
    }

    /// Sets whether the host stops reading from this connection for now.
    pub fn set_reading_paused(&mut self, id: ConnectionId, paused: bool) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.reading_paused = paused;
        }
    }

    /// Removes a connection that `on_closed` reported; returns the tokens of the frames that were not
    /// completely handed over.
    pub fn remove(&mut self, id: ConnectionId) -> Vec<(u64, Unsent)> {
        let Some(output) = self.open.remove(&id).and_then(|connection| connection.output) else {
            return Vec::new();
        };
        let unsent = |start| if start >= output.written { Unsent::Entire } else { Unsent::Partial };
        output.frames.iter().map(|frame| (frame.token, unsent(frame.start))).collect()
    }
}

/// What the host calls.
impl Connections {
    /// Registers a connection that was accepted.
    pub fn register(&mut self) -> ConnectionId {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.open.insert(id, Connection::default());
        id
    }

    /// The next command of the state machine.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// The next connection that has got outgoing bytes since it was last returned.
    pub fn next_with_output(&mut self) -> Option<ConnectionId> {
        loop {
            let id = self.with_output.pop_front()?;
            // One that was removed since has nothing to write.
            if let Some(connection) = self.open.get_mut(&id) {
                connection.has_output = false;
                return Some(id);
            }
        }
    }

    /// Whether `next_with_output` or `next_command` may return something.
    pub fn has_work(&self) -> bool {
        !self.with_output.is_empty() || !self.commands.is_empty()
    }

    /// The outgoing bytes that were not handed over.
    pub fn outgoing(&self, id: ConnectionId) -> &[u8] {
        let output = self.open.get(&id).and_then(|connection| connection.output.as_ref());
        output.map_or(&[], |output| &output.bytes)
    }

    /// Records that the first `count` outgoing bytes were handed over; they can't be retracted any more.
    ///
    /// # Panics
    /// If there are fewer outgoing bytes.
    pub fn mark_written(&mut self, id: ConnectionId, count: usize) {
        let Some(connection) = self.open.get_mut(&id) else { return };
        let Some(output) = &mut connection.output else {
            assert!(count == 0, "more bytes were written than were pending");
            return;
        };
        assert!(count <= output.bytes.len(), "more bytes were written than were pending");
        output.bytes.drain(..count);
        output.written += count as u64;
        while output.frames.front().is_some_and(|frame| frame.end <= output.written) {
            output.frames.pop_front();
        }
        if output.bytes.is_empty() {
            assert!(output.frames.is_empty(), "a frame has a token, and all bytes are written");
            let mut output = connection.output.take().expect("the output was just used");
            if self.spare.len() < MAX_SPARE_BUFFERS && output.bytes.capacity() <= MAX_SPARE_CAPACITY {
                output.written = 0;
                self.spare.push(output);
            }
        }
    }

    /// Whether nothing more is sent on this connection once its outgoing bytes are written.
    pub fn is_finishing(&self, id: ConnectionId) -> bool {
        self.open.get(&id).is_some_and(|connection| connection.finishing)
    }

    /// Whether reading from this connection is paused.
    pub fn is_reading_paused(&self, id: ConnectionId) -> bool {
        self.open.get(&id).is_some_and(|connection| connection.reading_paused)
    }

    /// Bytes of memory in output buffers, spare ones included.
    pub fn buffer_capacity(&self) -> usize {
        let used = self.open.values().filter_map(|connection| connection.output.as_ref());
        used.chain(&self.spare).map(|output| output.bytes.capacity()).sum()
    }

    /// Removes a connection that is closed on both sides, without a report.
    pub fn discard(&mut self, id: ConnectionId) {
        self.open.remove(&id);
    }
}

#[cfg(test)]
mod tests;
