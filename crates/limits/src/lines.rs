//! Those that wait to be heard, tenant after tenant: who has many in line doesn't hold up who has one.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// A line for each tenant, from which one is taken in turn.
#[derive(Debug, Default)]
pub struct Lines {
    lines: BTreeMap<Arc<str>, VecDeque<u64>>,
    /// Tenants with anybody in line, the next one first.
    order: VecDeque<Arc<str>>,
    len: usize,
}

impl Lines {
    pub fn put(&mut self, tenant: &str, conn: u64) {
        self.len += 1;
        if let Some(line) = self.lines.get_mut(tenant) {
            return line.push_back(conn);
        }
        let tenant: Arc<str> = tenant.into();
        self.lines.insert(tenant.clone(), VecDeque::from([conn]));
        self.order.push_back(tenant);
    }

    /// Takes the first of the tenant whose turn it is.
    #[expect(clippy::should_implement_trait, reason = "what is taken can be put again between two calls")]
    pub fn next(&mut self) -> Option<u64> {
        let tenant = self.order.pop_front()?;
        let line = self.lines.get_mut(&tenant).expect("who is in the order has a line");
        let conn = line.pop_front().expect("a line that is kept isn't empty");
        self.len -= 1;
        if line.is_empty() {
            self.lines.remove(&tenant);
        } else {
            self.order.push_back(tenant);
        }
        Some(conn)
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
