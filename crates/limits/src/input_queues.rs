//! Connections whose input waits to be processed, and how many of them one event-loop iteration serves.

use crate::FairQueue;

/// One part in so many of each iteration is reserved for connections without tasks in flight.
const OTHERS_PART: usize = 4;

/// Two queues with a budget each per iteration; what one of them leaves unused goes to the other.
#[derive(Debug, Default)]
pub(crate) struct InputQueues {
    /// Clients that have tasks in flight, or come back to them after a reconnect.
    with_tasks: FairQueue,
    others: FairQueue,
    with_tasks_budget: usize,
    others_budget: usize,
}

impl InputQueues {
    /// Starts an iteration that serves `max` connections, and at least one of each queue.
    pub fn begin_iteration(&mut self, max: usize) {
        let max = max.max(2);
        self.others_budget = max.div_ceil(OTHERS_PART);
        self.with_tasks_budget = max - self.others_budget;
    }

    /// Appends a connection to the queue of its kind.
    pub fn push(&mut self, tenant: &str, connection: u64, has_tasks: bool) {
        let queue = if has_tasks { &mut self.with_tasks } else { &mut self.others };
        queue.push(tenant, connection);
    }

    /// The next connection, while this iteration has budget.
    pub fn pop(&mut self) -> Option<u64> {
        if self.with_tasks_budget > 0
            && let Some(connection) = self.with_tasks.pop()
        {
            self.with_tasks_budget -= 1;
            return Some(connection);
        }
        if self.others_budget > 0
            && let Some(connection) = self.others.pop()
        {
            self.others_budget -= 1;
            return Some(connection);
        }
        let unused = match self.with_tasks_budget {
            0 => &mut self.others_budget,
            _ => &mut self.with_tasks_budget,
        };
        *unused = unused.checked_sub(1)?;
        self.with_tasks.pop().or_else(|| self.others.pop())
    }

    /// Whether no connection is queued.
    pub fn is_empty(&self) -> bool {
        self.with_tasks.is_empty() && self.others.is_empty()
    }
}
