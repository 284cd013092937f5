//! A queue that serves tenants round robin: a tenant with many entries doesn't delay one with few.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// A first-in, first-out queue of connections for each tenant; the queues are served in rotation.
#[derive(Debug, Default)]
pub struct FairQueue {
    queues: BTreeMap<Arc<str>, VecDeque<u64>>,
    /// Tenants with a queue, the next one to be served first.
    rotation: VecDeque<Arc<str>>,
    len: usize,
}

impl FairQueue {
    /// Appends a connection to its tenant's queue.
    pub fn push(&mut self, tenant: &str, connection: u64) {
        self.len += 1;
        if let Some(queue) = self.queues.get_mut(tenant) {
            return queue.push_back(connection);
        }
        let tenant: Arc<str> = tenant.into();
        self.queues.insert(tenant.clone(), VecDeque::from([connection]));
        self.rotation.push_back(tenant);
    }

    /// Removes the first connection of the tenant that is served next.
    pub fn pop(&mut self) -> Option<u64> {
        let tenant = self.rotation.pop_front()?;
        let queue = self.queues.get_mut(&tenant).expect("each tenant in the rotation has a queue");
        let connection = queue.pop_front().expect("an empty queue is removed");
        self.len -= 1;
        if queue.is_empty() {
            self.queues.remove(&tenant);
        } else {
            self.rotation.push_back(tenant);
        }
        Some(connection)
    }

    /// Connections in all queues.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no connection is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
