//! How many connections each client name and each tenant has.

use crate::{DisconnectReason, Settings};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What is counted of one tenant.
#[derive(Debug, Default)]
struct TenantUsage {
    connections: usize,
    /// Its steady connections that were processed in `iteration`.
    steady_processed: usize,
    iteration: u64,
}

/// Connections by client name and by tenant.
#[derive(Debug, Default)]
pub(crate) struct NameUsage {
    names: BTreeMap<Arc<str>, u32>,
    tenants: BTreeMap<Arc<str>, TenantUsage>,
}

/// The tenant of a client name: the part before the first slash.
pub(crate) fn tenant_of(name: &str) -> &str {
    name.split('/').next().unwrap_or(name)
}

impl NameUsage {
    /// The limit that one more connection of this name would exceed.
    pub fn exceeded_limit(&self, name: &str, settings: &Settings) -> Option<DisconnectReason> {
        let of_name = self.names.get(name).copied().unwrap_or(0) as usize;
        let of_tenant = self.tenants.get(tenant_of(name)).map_or(0, |usage| usage.connections);
        if of_name >= settings.max_per_name {
            Some(DisconnectReason::NameLimit)
        } else {
            (of_tenant >= settings.max_per_tenant).then_some(DisconnectReason::TenantLimit)
        }
    }

    /// Counts a connection of this name.
    pub fn add(&mut self, name: &Arc<str>) {
        *self.names.entry(name.clone()).or_default() += 1;
        let tenant = tenant_of(name);
        if let Some(usage) = self.tenants.get_mut(tenant) {
            usage.connections += 1;
            return;
        }
        let key = if tenant.len() == name.len() { name.clone() } else { tenant.into() };
        self.tenants.insert(key, TenantUsage { connections: 1, ..TenantUsage::default() });
    }

    /// A connection of this name is closed.
    pub fn remove(&mut self, name: &str) {
        if let Some(connections) = self.names.get_mut(name) {
            *connections -= 1;
            if *connections == 0 {
                self.names.remove(name);
            }
        }
        if let Some(usage) = self.tenants.get_mut(tenant_of(name)) {
            usage.connections -= 1;
            if usage.connections == 0 {
                self.tenants.remove(tenant_of(name));
            }
        }
    }

    /// Counts a steady connection of this name that has input; whether its tenant has had no more than `max`
    /// of them in this iteration.
    pub fn count_steady(&mut self, name: &str, iteration: u64, max: usize) -> bool {
        let Some(usage) = self.tenants.get_mut(tenant_of(name)) else { return true };
        if usage.iteration != iteration {
            (usage.iteration, usage.steady_processed) = (iteration, 0);
        }
        usage.steady_processed += 1;
        usage.steady_processed <= max
    }
}
