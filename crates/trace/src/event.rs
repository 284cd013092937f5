//! What rows of all layouts come down to.

/// A job or app, by the number that the layout gives it, or a stable hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A task: one of a job's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    pub job: JobId,
    pub index: u64,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Finished,
    Failed,
    Killed,
    Evicted,
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MachineChange {
    /// There, of this size from now on; cores and GiB where the layout tells them, else parts of a whole.
    Up {
        cores: f64,
        memory: f64,
        domain: u64,
    },
    Down,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Wanted, with what it asks for and its class: what the layout has for priorities.
    Wanted {
        service: u64,
        class: u32,
        priority: u32,
        cores: f64,
        memory: f64,
        apart: bool,
        /// The machine that it runs on at once, where a row tells both.
        on: Option<u64>,
    },
    Started {
        machine: u64,
    },
    Asks {
        cores: f64,
        memory: f64,
    },
    Ended(Way),
    /// What it used from then up to the event's instant, in cores and memory; negative figures are parts of
    /// what it asks for.
    Uses {
        from: u64,
        cores: f64,
        memory: f64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    Machine { machine: u64, change: MachineChange },
    Task { task: TaskKey, change: Change },
}

/// An event at an instant, in microseconds of the trace's own clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stamped {
    pub at: u64,
    pub event: Event,
}
