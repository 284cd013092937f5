//! Applying endpoint lists: which machines there are, where they are, and what that proves about the tasks
//! that ran there.

use super::replacement::replace;
use crate::adoptions::adopt;
use crate::clients::cancel_task;
use crate::machines::{Machine, machine_id};
use crate::state::{SchedulerState, SharedState};
use mulleinhub_interface::{
    CellId, KindId, ListKind, MachineEntry, MachineId, MachineState, PolicyEvents, Resources, Timestamp,
    ZoneId,
};
use mulleinhub_platform_protocol::Endpoint;
use std::collections::{BTreeMap, BTreeSet};

const NANOS_PER_MS: u64 = 1_000_000;

/// Machines by their addresses, also by those that they had when the index was made.
type AddressIndex = BTreeMap<String, BTreeSet<MachineId>>;

/// Applies the endpoint list of the configuration.
pub fn apply_initial(shared: &SharedState, events: &mut dyn PolicyEvents) {
    let initial = std::mem::take(&mut shared.borrow_mut().initial_endpoints);
    let mut by_uid: BTreeMap<String, Endpoint> = BTreeMap::new();
    for event in initial {
        if event.change.is_snapshot {
            by_uid.clear();
        }
        by_uid.extend(event.change.endpoints.into_iter().map(|listed| (listed.name.clone(), listed)));
    }
    let endpoints: Vec<Endpoint> = by_uid.into_values().collect();
    apply_list(shared, events, ListKind::Cached, &endpoints);
}

/// Applies the events that were received since the last iteration.
pub fn apply_events(shared: &SharedState, events: &mut dyn PolicyEvents) {
    let received = std::mem::take(&mut shared.borrow_mut().endpoint_watch.events);
    for event in received {
        let kind = if event.change.is_snapshot { ListKind::Snapshot } else { ListKind::Delta };
        apply_list(shared, events, kind, &event.change.endpoints);
    }
}

fn apply_list(shared: &SharedState, events: &mut dyn PolicyEvents, kind: ListKind, endpoints: &[Endpoint]) {
    let entries = update_machines(&mut shared.borrow_mut(), kind, endpoints);
    events.on_endpoint_list(kind, &entries);
    announce_moved(shared, events);
    let adoptable = {
        let state = &mut *shared.borrow_mut();
        withdraw_from_inactive(state);
        let known = &state.machines.by_id;
        state.adoptions.take_listed(|id| known.contains_key(&id))
    };
    for pending in adoptable {
        adopt(shared, events, pending.spec, pending.machine, pending.client);
        if pending.cancelled {
            cancel_task(&mut shared.borrow_mut(), pending.client, pending.spec.id);
        }
    }
    let state = &mut *shared.borrow_mut();
    let tasks = &state.tasks.by_id;
    state.machines.forget_removed(|id| {
        tasks.values().any(|task| task.attempt.is_some_and(|attempt| attempt.machine == id))
    });
}

/// Notifies the policy of the tasks that run on other machines than they were sent to.
pub fn announce_moved(shared: &SharedState, events: &mut dyn PolicyEvents) {
    let moved = std::mem::take(&mut shared.borrow_mut().policy_queue.moved);
    moved.into_iter().for_each(|task| task.announce(events));
}

fn update_machines(state: &mut SchedulerState, kind: ListKind, endpoints: &[Endpoint]) -> Vec<MachineEntry> {
    let entries: Vec<MachineEntry> =
        endpoints.iter().map(|listed| machine_entry(state, kind, listed)).collect();
    if kind != ListKind::Delta {
        let machines = state.machines.by_id.values_mut();
        machines.for_each(|machine| machine.entry.state = MachineState::Removed);
    }
    let mut index = None;
    for (listed, entry) in endpoints.iter().zip(&entries) {
        update_machine(state, &mut index, &listed.address, *entry);
        if let Some(machine) = state.machines.by_id.get_mut(&entry.id) {
            machine.told_start_ms = listed.late_start_ms;
        }
    }
    entries
}

/// Withdraws what waits for machines that drain, were removed or replaced.
fn withdraw_from_inactive(state: &mut SchedulerState) {
    let is_affected = |(_, machine): &(&MachineId, &Machine)| {
        (machine.entry.state != MachineState::Active || machine.replaced)
            && !(machine.connections.is_empty() && machine.queued_attempts.is_empty())
    };
    let machines = state.machines.by_id.iter();
    let affected: Vec<MachineId> = machines.filter(is_affected).map(|(id, _)| *id).collect();
    affected.into_iter().for_each(|id| state.withdraw_all_unsent(id));
}

/// When a machine started, on this process's clock. What was told before keeps its date.
fn started_at(state: &SchedulerState, kind: ListKind, listed: &Endpoint) -> Option<Timestamp> {
    let told_ms = listed.late_start_ms;
    let known = state.machines.by_id.get(&machine_id(&listed.name));
    if let Some(known) = known.filter(|known| known.told_start_ms == told_ms) {
        return known.entry.started_at;
    }
    let told = Timestamp::from_nanos(told_ms.saturating_mul(NANOS_PER_MS));
    let started_at = match kind {
        ListKind::Cached => state.wall_clock.start_from_initial_list(state.now, told),
        ListKind::Snapshot | ListKind::Delta => state.wall_clock.start_from_event(state.now, told),
    };
    (told_ms > 0).then_some(started_at)
}

fn machine_entry(state: &SchedulerState, kind: ListKind, listed: &Endpoint) -> MachineEntry {
    let position = |names: &[String], name: &str| names.iter().position(|known| known == name);
    let names = &state.settings.names;
    MachineEntry {
        id: machine_id(&listed.name),
        kind: KindId(position(&names.kinds, &listed.kind).unwrap_or(usize::MAX)),
        // A number that only has to differ.
        cell: CellId(listed.cell as u32),
        zone: ZoneId(position(&names.zones, &listed.zone).map_or(u32::MAX, |zone| zone as u32)),
        state: match listed.state.as_str() {
            "in_service" => MachineState::Active,
            "terminated" => MachineState::Removed,
            // Nothing new is placed where the state is not understood.
            _ => MachineState::Draining,
        },
        started_at: started_at(state, kind, listed),
        available: listed.free.map(|(cores, memory)| Resources::new(cores, memory)),
    }
}

fn address_index(state: &SchedulerState) -> AddressIndex {
    let mut index = AddressIndex::new();
    for (id, machine) in &state.machines.by_id {
        index.entry(machine.address.clone()).or_default().insert(*id);
    }
    index
}

/// Updates a machine from its list entry. A later start ended what had run there; a machine at the address of
/// another one ended that one. Where any address is new, all are looked up by an index that is made once.
fn update_machine(
    state: &mut SchedulerState,
    index: &mut Option<AddressIndex>,
    address: &str,
    entry: MachineEntry,
) {
    let (now, id) = (state.now, entry.id);
    let known = state.machines.by_id.get(&id);
    tracing::debug!(peer = address, ?entry, "endpoint listed");
    let has_new_address = known.is_none_or(|machine| machine.address != address);
    let started_before = known.and_then(|machine| machine.entry.started_at);
    if has_new_address && entry.state != MachineState::Removed {
        // Made before this one is there.
        index.get_or_insert_with(|| address_index(state));
    }
    if let Some(since) = entry.started_at.filter(|since| started_before != Some(*since)) {
        state.lose_running_tasks(id, since, "it was restarted");
    }
    let machines = &mut state.machines.by_id;
    let machine = machines.entry(id).or_insert_with(|| Machine::new(entry, address.to_owned(), now));
    machine.entry = entry;
    if has_new_address {
        address.clone_into(&mut machine.address);
    }
    if has_new_address && let Some(index) = index {
        if entry.state != MachineState::Removed {
            replace_others(state, index, address, entry);
        }
        index.entry(address.to_owned()).or_default().insert(id);
    }
    let Some(machine) = state.machines.by_id.get_mut(&id) else { return };
    let warm_at = entry.started_at.map(|since| since + state.settings.slow_start.warm_up_time);
    if let Some(warm_at) = warm_at.filter(|warm_at| *warm_at > now) {
        machine.slow_start.extend_slow_start(warm_at);
    }
}

/// The other machines at the address of this one are gone.
fn replace_others(state: &mut SchedulerState, index: &AddressIndex, address: &str, new: MachineEntry) {
    let is_there = |other: &&MachineId| {
        let machine = state.machines.by_id.get(*other);
        **other != new.id && machine.is_some_and(|machine| machine.address == address)
    };
    let at_address = index.get(address).into_iter().flatten();
    let others: Vec<MachineId> = at_address.filter(is_there).copied().collect();
    others.into_iter().for_each(|other| replace(state, other, new));
}
