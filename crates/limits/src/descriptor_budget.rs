//! How the descriptors and the memory of a process are divided where it has few of both.

/// Descriptors of this process that belong to no client connection, beside one for each machine: the endpoint
/// list, listeners, files, metrics requests, signals, and one to accept with.
const RESERVED: usize = 64;
/// Where the system allows few, at most one in so many is reserved, and at least `MIN_RESERVED`.
const RESERVED_PART: usize = 4;
const MIN_RESERVED: usize = 16;
/// One in so many descriptors is guaranteed to clients.
const CLIENTS_PART: usize = 3;
/// Connections to one machine: as each has one task on its way at a time, more are never in use at once.
pub const MAX_CONNECTIONS_PER_MACHINE: usize = 16;
/// Tasks in flight for each megabyte: with descriptions of the greatest length they take half of the memory.
const TASKS_PER_MEGABYTE: usize = 32;
/// Tasks tracked for each task in flight.
const TRACKED_PER_IN_FLIGHT: usize = 4;
/// One in so many reserved descriptors is for connections accepted in one iteration, beside those that are
/// evicted for them at its end.
const ACCEPTS_PART: usize = 4;
/// One in so many reserved descriptors is for connections that are being rejected.
const REJECTIONS_PART: usize = 8;

/// One in so many reserved descriptors is for connections to machines that are being closed.
const CLOSINGS_PART: usize = 8;

/// Connections to machines that may be in closing beyond those that may be open.
pub fn machine_closing_allowance(descriptors: usize) -> usize {
    (reserved_descriptors(descriptors) / CLOSINGS_PART).max(1)
}

/// Descriptors that are reserved for other uses than connections to clients and machines.
pub(crate) fn reserved_descriptors(descriptors: usize) -> usize {
    RESERVED.min((descriptors / RESERVED_PART).max(MIN_RESERVED)).min(descriptors / 2)
}

/// Connections beyond the limit that exist for a moment: the accept gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptBudget {
    /// Connections accepted in one iteration.
    pub max_accepts: usize,
    /// Connections that are being told that they are rejected.
    pub max_rejections: usize,
}

impl AcceptBudget {
    /// The budget of a process that may open this many descriptors.
    pub fn new(descriptors: usize) -> Self {
        let reserved = reserved_descriptors(descriptors);
        Self {
            max_accepts: (reserved / ACCEPTS_PART).max(1),
            max_rejections: (reserved / REJECTIONS_PART).max(1),
        }
    }
}

/// Descriptors for the connections to all machines together: those that are neither reserved nor guaranteed
/// to clients.
pub fn machine_connection_limit(descriptors: usize) -> usize {
    descriptors.saturating_sub(reserved_descriptors(descriptors) + descriptors / CLIENTS_PART).max(1)
}

/// Tasks without a final outcome that a process with so many megabytes may hold.
pub fn max_tasks_in_flight(megabytes: usize) -> usize {
    megabytes.max(1) * TASKS_PER_MEGABYTE
}

/// Tasks that may be tracked in all, running ones included: these take far less memory once their
/// descriptions are freed.
pub fn max_tasks_tracked(megabytes: usize) -> usize {
    max_tasks_in_flight(megabytes) * TRACKED_PER_IN_FLIGHT
}

#[cfg(test)]
mod tests;
