//! How the memory of a process is divided among what its clients make it hold: input that was not handled yet, and
//! the payloads of requests that wait for their answers.

use std::cell::Cell;
use std::rc::Rc;

const BYTES_PER_MEGABYTE: usize = 1024 * 1024;
/// Unhandled input beyond one message of each client may use one in so many bytes of the memory.
const INPUT_PART: usize = 8;
/// Payloads may use one in so many bytes; each may be held twice while it waits to be written.
const PAYLOAD_PART: usize = 4;
/// A payload that is no longer than an equal share divided by this always has its place.
const SHORT_PART: usize = 2;

/// Input of all clients that was received and not handled.
#[derive(Debug)]
pub struct InputBudget {
    max: usize,
    used: usize,
}

impl InputBudget {
    /// The budget of a process with so many megabytes.
    pub fn new(megabytes: usize) -> Self {
        Self { max: megabytes.max(1) * BYTES_PER_MEGABYTE / INPUT_PART, used: 0 }
    }

    /// What one client holds has changed from so many bytes to so many.
    pub fn update(&mut self, before: usize, after: usize) {
        self.used = self.used + after - before;
    }

    /// Whether no client may have more than one message here.
    pub fn is_exhausted(&self) -> bool {
        self.used >= self.max
    }
}

/// Payloads of the requests that wait for their answers. Short ones always have a place, as the number of
/// requests is bounded; long ones share what is left.
#[derive(Debug)]
pub struct PayloadBudget {
    /// Up to this length a payload is a short one.
    max_short: usize,
    /// Bytes that all long ones together may have.
    max_long: usize,
    long: Rc<Cell<usize>>,
}

/// The place of one payload; it is free again once this is dropped.
#[derive(Debug)]
pub struct PayloadReservation {
    bytes: usize,
    long: Rc<Cell<usize>>,
}

impl PayloadBudget {
    /// The budget of a process with so many megabytes and at most so many requests.
    pub fn new(megabytes: usize, max_requests: usize) -> Self {
        let max = megabytes.max(1) * BYTES_PER_MEGABYTE / PAYLOAD_PART;
        let max_short = max / max_requests.max(1) / SHORT_PART;
        Self { max_short, max_long: max - max / SHORT_PART, long: Rc::default() }
    }

    /// Whether a payload of so many bytes has a place.
    pub fn has_place(&self, bytes: usize) -> bool {
        bytes <= self.max_short || self.long.get() + bytes <= self.max_long
    }

    /// Reserves the place of a payload.
    pub fn reserve(&self, bytes: usize) -> PayloadReservation {
        let counted = if bytes <= self.max_short { 0 } else { bytes };
        self.long.set(self.long.get() + counted);
        PayloadReservation { bytes: counted, long: self.long.clone() }
    }
}

impl Drop for PayloadReservation {
    fn drop(&mut self) {
        self.long.set(self.long.get() - self.bytes);
    }
}
