//! Who counts what a tenant may use, as the planner sees it.

use crate::{Duration, Resources, TaskKey, Timestamp};

/// A place that was given to a task, kept with it until it is over. Figures are micro-units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    pub team: u32,
    pub key: TaskKey,
    /// What it costs in a second.
    pub rate: u64,
    /// Reserved for it out of what new workers may use, and out of the last part.
    pub open: u64,
    pub last: u64,
}

/// Asked before a task is taken, and told what becomes of it. Who counts for nothing has no ticket.
pub trait Quota: Send {
    /// `drawn` is a part of a whole, by chance: those who are refused together don't come back together.
    ///
    /// # Errors
    /// For how long the owner is to stay away.
    fn ask(
        &mut self,
        now: Timestamp,
        owner: &str,
        key: TaskKey,
        ask: Resources,
        drawn: f64,
    ) -> Result<Option<Ticket>, Duration>;

    /// It had its final answer, and never ran.
    fn never_ran(&mut self, now: Timestamp, ticket: Ticket);

    /// It had its final answer, and may run all the same.
    fn may_run(&mut self, now: Timestamp, ticket: Ticket);

    fn runs(&mut self, now: Timestamp, ticket: Ticket);

    /// It ran already when this planner took it over: from its own earlier life, or handed over by its owner.
    fn adopted(&mut self, now: Timestamp, owner: &str, key: TaskKey, ask: Resources) -> Option<Ticket>;

    /// It runs no longer; `comes_again` where it was lost, moved or evicted.
    fn over(&mut self, now: Timestamp, ticket: Ticket, comes_again: bool);

    /// All machines have told what they hold of this planner's earlier life, or can't be asked.
    fn all_told(&mut self, now: Timestamp);

    /// How it is, in lines for a person.
    fn status(&self, now: Timestamp) -> Vec<String>;
}
