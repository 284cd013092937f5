//! A relay between two ends: what it holds on its way, when each parcel is due, and the weather on it.
//!
//! Bytes go on frame by frame, so that the record knows each frame's two instants. A part of a frame goes on
//! as it comes, and is recorded with its last byte; what is not a frame goes on without a record.

use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_protocol::Frames;
use mulleinhub_sans_io::{CloseReason, ConnectionId};
use std::collections::VecDeque;

/// So many bytes a way takes in before the sender has to wait, as a socket's buffers would.
pub const WINDOW: usize = 256 * 1024;

/// Who stands at an end of a pipe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum At {
    Node(usize),
    /// Outside of the stage: a planner.
    Outside,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Parcel {
    Open,
    Up,
    Bytes { bytes: Vec<u8>, number: Option<u32> },
    End(CloseReason),
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Weather {
    /// Nothing is handed on; it arrives together afterwards.
    pub stalled: bool,
    /// Nothing is handed on, ever.
    pub half_open: bool,
    pub cut: bool,
    pub extra: Duration,
    /// Nothing is read from the planner's side.
    pub slow_reader: bool,
    /// What comes from this side is swallowed, and nobody is told.
    pub mute: Option<usize>,
}

#[derive(Debug, Default)]
pub struct Way {
    queue: VecDeque<(Timestamp, Parcel)>,
    bytes: usize,
    last_due: Timestamp,
    frames: Frames,
    /// Bytes of the frame that is not whole yet that went on already.
    passed: usize,
    numbers: u32,
    /// What came was no frame: all goes on as it comes.
    raw: bool,
}

impl Way {
    /// Takes bytes in; `entered` is told each whole frame with its number.
    pub fn take(
        &mut self,
        now: Timestamp,
        delay: Duration,
        bytes: &[u8],
        mut entered: impl FnMut(u32, &[u8]),
    ) {
        if self.raw {
            return self.put(now + delay, Parcel::Bytes { bytes: bytes.to_vec(), number: None });
        }
        let mut frames = std::mem::take(&mut self.frames);
        frames.take(bytes);
        loop {
            match frames.next_frame() {
                Ok(Some(frame)) => {
                    let number = self.numbers;
                    self.numbers += 1;
                    entered(number, frame);
                    let bytes = frame[std::mem::take(&mut self.passed)..].to_vec();
                    self.put(now + delay, Parcel::Bytes { bytes, number: Some(number) });
                }
                Ok(None) => break,
                Err(_) => {
                    self.raw = true;
                    let bytes = frames.rest()[std::mem::take(&mut self.passed)..].to_vec();
                    return self.put(now + delay, Parcel::Bytes { bytes, number: None });
                }
            }
        }
        let part = frames.rest()[self.passed..].to_vec();
        if !part.is_empty() {
            self.passed += part.len();
            self.put(now + delay, Parcel::Bytes { bytes: part, number: None });
        }
        self.frames = frames;
    }

    /// The sender is gone.
    pub fn end(&mut self, now: Timestamp, delay: Duration, end: CloseReason) {
        self.put(now + delay, Parcel::End(end));
    }

    pub fn put(&mut self, due: Timestamp, parcel: Parcel) {
        // Streams keep their order whatever the delay does.
        self.last_due = self.last_due.max(due);
        if let Parcel::Bytes { bytes, .. } = &parcel {
            self.bytes += bytes.len();
        }
        self.queue.push_back((self.last_due, parcel));
    }

    pub fn due(&self) -> Option<Timestamp> {
        self.queue.front().map(|(due, _)| *due)
    }

    pub fn next(&mut self) -> Option<Parcel> {
        let (_, parcel) = self.queue.pop_front()?;
        if let Parcel::Bytes { bytes, .. } = &parcel {
            self.bytes -= bytes.len();
        }
        Some(parcel)
    }

    pub fn is_full(&self) -> bool {
        self.bytes >= WINDOW
    }
}

/// One connection, from its opener (side 0) to whom it was opened (side 1).
#[derive(Debug)]
pub struct Pipe {
    pub ends: [Option<(At, ConnectionId)>; 2],
    pub ways: [Way; 2],
    pub weather: Weather,
    /// Which side is the planner's, and where the pipe leads: for troubles.
    pub planner_side: usize,
    pub planner: usize,
    /// Between planners: the one that was called.
    pub other: Option<usize>,
    pub cross: bool,
    /// The address or door that side 1 is reached by.
    pub to: To,
}

#[derive(Clone, Debug, PartialEq)]
pub enum To {
    /// A door of a node.
    Node(usize, u32),
    Outside(String),
}
