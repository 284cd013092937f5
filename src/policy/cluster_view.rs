//! The view of the cluster: endpoint lists, what they show as available, and how much to trust an old list.

use super::{PEAK_WINDOW, PlacementPolicy, SchedulingRound};
use crate::interface::*;
use crate::state::{Machine, MachineSlot};

/// How old a list may be when it arrives: own attempts younger than this are not in it.
const LIST_AGE: Duration = Duration::from_nanos(800_000_000);
/// A list without news is trusted for this part of the longest silence that the rules allow.
const TRUSTED_SILENCE_SHARE: f64 = 0.25;
/// After a failure the watch is requested again after so many recheck intervals, doubled by each further
/// failure, at most so often.
const WATCH_BACKOFF_INTERVALS: u32 = 8;
const MAX_WATCH_DOUBLINGS: u32 = 4;

/// The timer token of a renewed watch request.
const WATCH_TIMER: u64 = 1;

impl<D: Dispatch> SchedulingRound<'_, D> {
    /// The scheduler has started.
    pub(crate) fn start(&mut self) {
        self.policy.started_at = self.now;
        self.request_watch();
    }

    /// Requests the endpoint list, where it does not arrive unrequested.
    pub(crate) fn request_watch(&mut self) {
        if self.policy.settings.discovery.watch_required {
            self.dispatch.watch_endpoints();
        }
    }

    /// Schedules the next watch request: with backoff, but well within the longest silence allowed.
    pub(crate) fn retry_watch(&mut self) {
        let doublings = self.policy.watch_failures.min(MAX_WATCH_DOUBLINGS);
        let backoff = self.policy.recheck_interval() * f64::from(WATCH_BACKOFF_INTERVALS << doublings);
        self.policy.watch_failures += 1;
        let longest = self.policy.settings.discovery.max_staleness * TRUSTED_SILENCE_SHARE;
        let backoff = self.policy.with_jitter(backoff.min(longest));
        self.dispatch.wake_at(WATCH_TIMER, self.now + backoff);
    }

    /// Takes over an endpoint list.
    pub(crate) fn update_machines(&mut self, kind: ListKind, entries: &[MachineEntry]) {
        if kind != ListKind::Cached {
            self.policy.watch_failures = 0;
        }
        if kind != ListKind::Delta {
            self.policy.machines.iter_mut().for_each(|(_, machine)| machine.state = MachineState::Removed);
        }
        entries.iter().for_each(|entry| self.update_machine(entry));
        self.forget_removed_machine();
        self.refresh_view();
    }

    fn update_machine(&mut self, entry: &MachineEntry) {
        let now = self.now;
        let slot = self.machine_slot(entry.id);
        let capacity =
            self.policy.settings.machine_kinds.get(entry.kind.0).copied().unwrap_or(Resources::ZERO);
        let is_recent_start = self.policy.is_recent_start(entry.started_at, now);
        let start_limit = self.policy.initial_start_limit();
        let machine = &mut self.policy.machines[slot];
        (machine.kind, machine.cell, machine.zone) = (entry.kind, entry.cell, entry.zone);
        (machine.capacity, machine.state) = (capacity, entry.state);
        machine.reported_available = entry.available.unwrap_or(machine.reported_available);
        if is_recent_start && machine.started_at != entry.started_at {
            machine.start_limit = start_limit;
            machine.breakers.iter_mut().for_each(|breaker| breaker.close(now));
        }
        machine.started_at = entry.started_at;
    }

    /// Forgets one removed machine that nothing depends on. One that drains stays, as does one that is
    /// warming up: it may come back, and its warm-up budget still counts.
    fn forget_removed_machine(&mut self) {
        let policy = &mut *self.policy;
        let is_unneeded = |machine: &Machine| {
            machine.state == MachineState::Removed
                && machine.tasks.is_empty()
                && !policy.is_warming_up(machine, self.now)
        };
        let unneeded = policy.machines.iter().find(|(_, machine)| is_unneeded(machine)).map(|(slot, _)| slot);
        if let Some(slot) = unneeded {
            policy.machines.remove(slot);
        }
    }

    /// Machines that a list does not name have not changed: their view is as recent as that of the named
    /// ones.
    fn refresh_view(&mut self) {
        self.policy.last_list_at = self.now;
        let (mut available, mut capacity) = (Resources::ZERO, Resources::ZERO);
        for (_, machine) in self.policy.machines.iter_mut() {
            machine.drop_reported_changes(self.now, LIST_AGE);
            if machine.state == MachineState::Active {
                available += machine.reported_available;
                capacity += machine.capacity;
            }
        }
        self.policy.mean_available_share =
            available.scaled(1.0 / capacity.cores.max(1e-9), 1.0 / capacity.memory.max(1e-9));
    }

    /// The machine's slot. A machine that no list has named yet gets a record, but no attempts.
    pub(super) fn machine_slot(&mut self, id: MachineId) -> MachineSlot {
        let policy = &mut *self.policy;
        let use_cases = policy.settings.use_cases.len();
        policy
            .machines
            .slot(id)
            .unwrap_or_else(|| policy.machines.insert(id, Machine::new(id, PEAK_WINDOW, use_cases, self.now)))
    }

    /// A machine said itself that it restarted: it is cold, long before a list shows its start.
    pub(crate) fn record_restart(&mut self, machine: MachineId) {
        if let Some(slot) = self.policy.machines.slot(machine) {
            self.policy.machines[slot].lost_at = Some(self.now);
        }
    }
}

impl PlacementPolicy {
    /// How little the last list is trusted: 0 while it is recent, towards 1 as it ages. Otherwise a scheduler
    /// that gets no lists fills the machines that once were empty.
    pub(super) fn staleness(&self, now: Timestamp) -> f64 {
        let trusted = self.settings.discovery.max_staleness * TRUSTED_SILENCE_SHARE;
        let silence = (now - self.last_list_at).ratio_to(trusted);
        1.0 - 1.0 / silence.max(1.0)
    }

    /// What nobody has requested of a machine: a stale view is moved towards the mean of all machines.
    pub(super) fn available(&self, machine: &Machine, staleness: f64) -> Resources {
        let mean_share = self.mean_available_share;
        let mean = machine.capacity.scaled(mean_share.cores, mean_share.memory);
        machine.available() + (mean - machine.reported_available).scaled(staleness, staleness)
    }
}
