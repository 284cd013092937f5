//! Test support: what the policy's own books show, for checks that no event or command can make.

use crate::interface::Resources;
use crate::policy::PlacementPolicy;

/// What the policy holds in total.
pub(super) struct Accounting {
    pub tasks: usize,
    pub pending: usize,
    /// Starts in flight, as counted for all machines together.
    pub starting: usize,
    pub machines: Vec<MachineAccounting>,
}

/// What the policy holds of one machine.
pub(super) struct MachineAccounting {
    pub starting: usize,
    pub tasks: usize,
    pub usage: Resources,
    pub slack: Resources,
}

impl Accounting {
    pub fn of(policy: &PlacementPolicy) -> Self {
        let machines = policy.machines.iter().map(|(_, machine)| MachineAccounting {
            starting: machine.starting,
            tasks: machine.tasks.len(),
            usage: machine.usage,
            slack: machine.slack,
        });
        Self {
            tasks: policy.tasks.iter().count(),
            pending: policy.pending.len(),
            starting: policy.starting,
            machines: machines.collect(),
        }
    }
}
