//! Admission of tasks against the quota of their tenants, as the scheduler uses it.

use crate::{Duration, Resources, TaskKey, Timestamp};

/// An admission: the quota reserved for one task, held until the task has ended.
///
/// Amounts are micro-units of the quota's currency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The index of the tenant that pays.
    pub team: u32,
    /// The task.
    pub key: TaskKey,
    /// Cost per second, in micro-units.
    pub rate: u64,
    /// Reserved out of the part that new tasks may use, in micro-units.
    pub reserved_open: u64,
    /// Reserved out of the last part, which is kept for tasks that run, in micro-units.
    pub reserved_last: u64,
}

/// Admission control: asked before a task is taken, and notified of what becomes of it.
///
/// Clients that no quota applies to are admitted without a ticket.
pub trait Quota: Send {
    /// Admits a task of `client`, or says why not. `jitter` is a random fraction (0 to 1) by which waits
    /// differ, so that clients that are rejected together do not return together.
    ///
    /// # Errors
    /// The time after which the client may retry.
    fn admit(
        &mut self,
        now: Timestamp,
        client: &str,
        key: TaskKey,
        request: Resources,
        jitter: f64,
    ) -> Result<Option<Ticket>, Duration>;

    /// The task got its final answer and never ran.
    fn on_never_ran(&mut self, now: Timestamp, ticket: Ticket);

    /// The task got its final answer, but may run all the same.
    fn on_possible_run(&mut self, now: Timestamp, ticket: Ticket);

    /// The task runs.
    fn on_running(&mut self, now: Timestamp, ticket: Ticket);

    /// The task ran already when this scheduler took it over, from its own earlier incarnation or from a
    /// client.
    fn adopt(&mut self, now: Timestamp, client: &str, key: TaskKey, request: Resources) -> Option<Ticket>;

    /// The task no longer runs; `will_return` where it was lost, preempted or evicted.
    fn on_ended(&mut self, now: Timestamp, ticket: Ticket, will_return: bool);

    /// All machines have reported the tasks of this scheduler's earlier incarnation, or cannot be asked.
    fn on_recovery_complete(&mut self, now: Timestamp);

    /// The state of the quota, in lines for a person.
    fn status(&self, now: Timestamp) -> Vec<String>;
}
