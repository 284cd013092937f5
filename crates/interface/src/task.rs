//! Tasks as clients submit them, and the use cases that they belong to.

use crate::{Duration, KindId, Resources, ServiceId, TaskId, TaskKey, Timestamp, UseCaseId};

/// The kinds of failure domain, or of sets of machines that share something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureDomain {
    /// One machine.
    Machine,
    /// All machines of a cell.
    Cell,
    /// All machines of a zone.
    Zone,
    /// All machines of the cluster.
    Cluster,
}

/// Whether a task may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A second execution does no harm.
    Idempotent,
    /// The task carries an idempotency key: the machines of one `domain` drop repeated executions.
    Keyed {
        /// The machines that share their memory of keys.
        domain: FailureDomain,
        /// For how long a key is remembered, counted from the first attempt that may have run.
        window: Duration,
    },
    /// A second execution is never allowed.
    NonIdempotent,
}

/// What the tasks of one kind of work have in common.
#[derive(Clone, Debug)]
pub struct UseCase {
    /// The latency objective of a first start: a task that runs within it counts as started in time.
    pub latency_objective: Duration,
    /// How long a client waits for the final answer of a submission.
    pub client_timeout: Duration,
    /// Whether its tasks may be executed more than once.
    pub idempotency: Idempotency,
    /// The value of one second of full service of a task of mean size.
    pub value_per_second: f64,
    /// Higher is more important. The lowest priority of all use cases is the one that uses predicted slack.
    pub priority: u8,
    /// The only kind of machine that its tasks can run on, if they are bound to one.
    pub machine_kind: Option<KindId>,
    /// How many tasks of one service this scheduler may run at most within one such failure domain.
    pub spread: Option<(FailureDomain, usize)>,
    /// The share of busy cores (0 to 1) up to which service is complete.
    pub saturation_threshold: f64,
    /// Service falls to nothing while the share of busy cores rises by so much beyond the threshold.
    pub degradation_range: f64,
}

/// A task as a client submits it, or as it is adopted while it runs.
#[derive(Clone, Copy, Debug)]
pub struct TaskSpec {
    /// Names this submission.
    pub id: TaskId,
    /// Names the task across submissions.
    pub key: TaskKey,
    /// The use case that it belongs to.
    pub use_case: UseCaseId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The resource request.
    pub request: Resources,
    /// When the client stops waiting for the final answer.
    pub deadline: Timestamp,
    /// It was submitted before and was rejected, failed, preempted or lost.
    pub is_resubmitted: bool,
}
