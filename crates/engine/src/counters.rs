//! Counters and latency histograms of one scheduler, for logs, status and metrics.

use hdrhistogram::Histogram;

/// Counters since the start, and gauges of this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Tasks accepted from clients since the start.
    pub accepted: u64,
    /// Tasks placed on a machine since the start.
    pub placed: u64,
    /// Tasks rejected since the start, after they had been accepted.
    pub rejected: u64,
    /// Tasks failed since the start.
    pub failed: u64,
    /// Attempts started since the start, retries included.
    pub attempts: u64,
    /// Acceptances that arrived after their attempt was over.
    pub late_acceptances: u64,
    /// Messages that broke the protocol; each one cost its connection.
    pub protocol_errors: u64,
    /// Open tasks without an attempt in flight.
    pub pending: usize,
    /// Open tasks with an attempt in flight that no machine has accepted yet.
    pub in_flight: usize,
    /// Tasks that are placed on a machine now.
    pub running: usize,
    /// Machines whose connection is ready for offers.
    pub machines_ready: usize,
    /// Machines known, ready or not.
    pub machines: usize,
}

/// Latencies of tasks since the start, in microseconds to three significant digits.
#[derive(Clone, Debug)]
pub struct Latencies {
    /// From accepting a task to its first attempt.
    pub to_first_attempt: Histogram<u64>,
    /// From accepting a task to its final answer.
    pub to_answer: Histogram<u64>,
}

/// The longest latency that the histograms resolve: ten minutes.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

impl Default for Latencies {
    fn default() -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3).expect("fixed bounds");
        Self { to_first_attempt: histogram(), to_answer: histogram() }
    }
}
