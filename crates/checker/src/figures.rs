//! Figures of a day that its traffic shows.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Counts and times; times are in microseconds, to three digits.
#[derive(Clone, Debug)]
pub struct Figures {
    /// By use case: taken, placed, nacked, errored, withdrawn.
    pub cases: BTreeMap<u32, [u64; 5]>,
    /// Ends of placed tasks that owners were told of, by how.
    pub endings: BTreeMap<&'static str, u64>,
    pub offers: u64,
    /// Tasks of which at least one offer was written.
    pub tasks_offered: u64,
    /// Nacks of machines, by reason.
    pub nacks: BTreeMap<&'static str, u64>,
    pub take_to_send: Histogram<u64>,
    pub take_to_answer: Histogram<u64>,
    pub frames: u64,
    pub frame_bytes: u64,
}

pub const TAKEN: usize = 0;
pub const PLACED: usize = 1;
pub const NACKED: usize = 2;
pub const ERRORED: usize = 3;
pub const WITHDRAWN: usize = 4;

impl Default for Figures {
    fn default() -> Self {
        let histogram = || Histogram::new_with_bounds(1, 600_000_000, 3).expect("fixed bounds");
        Self {
            cases: BTreeMap::new(),
            endings: BTreeMap::new(),
            offers: 0,
            tasks_offered: 0,
            nacks: BTreeMap::new(),
            take_to_send: histogram(),
            take_to_answer: histogram(),
            frames: 0,
            frame_bytes: 0,
        }
    }
}

impl Figures {
    pub(crate) fn count(&mut self, case: u32, what: usize) {
        self.cases.entry(case).or_default()[what] += 1;
    }
}
