//! The list of machines: the one cached by the last incarnation, and what the endpoint list service sends.

use super::Handled;
use crate::machine::{ConnectionState, MachineSlot};
use crate::state::{EndpointListFault, SchedulerState};
use crate::timer::Timer;
use mulleinhub_interface::{
    ListKind, MachineEntry, MachineId, MachineState, Outcome, PolicyEvents, Resources,
};
use mulleinhub_protocol::{self as protocol, Bad, Message};
use mulleinhub_resilience::backoff;
use mulleinhub_sans_io::ConnectionId;
use std::cell::RefCell;
use std::collections::BTreeSet;

/// The first iteration: applies the cached list, and asks for a newer one.
pub fn start(shared: &RefCell<SchedulerState>, events: &mut dyn PolicyEvents, cached_list: Option<Vec<u8>>) {
    match cached_list.as_deref().map(protocol::decode_list) {
        Some(Ok(cached)) => apply(shared, events, ListKind::Cached, cached.version, &cached.entries()),
        Some(Err(error)) => tracing::error!(%error, "cached endpoint list unreadable; starting without it"),
        None => {}
    }
    let state = &mut *shared.borrow_mut();
    if !state.settings.discovery.watch_required {
        state.connect_to_endpoint_list();
    }
    let grace_ends = state.now + state.settings.startup_grace;
    state.timers.schedule(grace_ends, Timer::StartupGrace);
}

/// The endpoint list service sent nothing that can be used.
pub(super) fn on_list_failed(state: &mut SchedulerState, fault: EndpointListFault) {
    let list = &mut state.endpoint_list;
    let version = list.known.then_some(list.version);
    tracing::error!(error = %fault, ?version, "endpoint list failed; the service is asked again");
    list.fault = Some(fault);
}

/// The connection to the endpoint list service is over: it is connected to again after a backoff.
pub(super) fn on_list_disconnected(shared: &RefCell<SchedulerState>, events: &mut dyn PolicyEvents) {
    let mut borrowed = shared.borrow_mut();
    let state = &mut *borrowed;
    let list = &mut state.endpoint_list;
    list.connection = None;
    list.reader.clear();
    if state.settings.discovery.watch_required {
        drop(borrowed);
        return events.on_watch_failed();
    }
    let (jitter, failures) = (state.random.fraction(), list.failures);
    list.failures += 1;
    let retry_at = state.now + backoff::retry_delay(state.settings.reconnect_backoff, failures, jitter);
    state.timers.schedule(retry_at, Timer::ConnectToEndpointList);
}

/// Handles one message of the endpoint list service.
pub(super) fn on_list_message(
    shared: &RefCell<SchedulerState>,
    events: &mut dyn PolicyEvents,
    message: &Message<'_>,
) -> Handled {
    match message {
        Message::List { kind, version, entries } => {
            shared.borrow().endpoint_list.reader.no_pieces()?;
            apply(shared, events, list_kind(*kind), *version, entries);
        }
        Message::ListPiece { kind, version, number, last, entries } => {
            let complete =
                shared.borrow_mut().endpoint_list.reader.take(*kind, *version, *number, *last, entries)?;
            if let Some(list) = complete {
                apply(shared, events, list_kind(list.kind), list.version, &list.entries());
            }
        }
        _ => return Err(Bad("not a message of a list service".into())),
    }
    Ok(())
}

fn list_kind(kind: protocol::ListKind) -> ListKind {
    match kind {
        protocol::ListKind::Changes => ListKind::Delta,
        protocol::ListKind::Whole => ListKind::Snapshot,
    }
}

/// Takes a list over and reports it to the policy.
fn apply(
    shared: &RefCell<SchedulerState>,
    events: &mut dyn PolicyEvents,
    kind: ListKind,
    version: u64,
    entries: &[protocol::Entry<'_>],
) {
    let listed = update_machines(&mut shared.borrow_mut(), kind, version, entries);
    events.on_endpoint_list(kind, &listed);
}

fn update_machines(
    state: &mut SchedulerState,
    kind: ListKind,
    version: u64,
    entries: &[protocol::Entry<'_>],
) -> Vec<MachineEntry> {
    let list = &mut state.endpoint_list;
    list.version = version;
    list.known = true;
    list.failures = 0;
    if kind != ListKind::Cached {
        list.changed = true;
        list.fault = None;
    }
    if kind == ListKind::Snapshot {
        mark_unlisted_as_removed(state, entries);
    }
    for entry in entries {
        update_machine(state, entry);
    }
    retract_from_inactive(state);
    let listed =
        entries.iter().map(|entry| policy_entry(&state.machines[&MachineId(entry.machine)])).collect();
    drop_removed(state);
    listed
}

fn mark_unlisted_as_removed(state: &mut SchedulerState, entries: &[protocol::Entry<'_>]) {
    let listed: BTreeSet<u64> = entries.iter().map(|entry| entry.machine).collect();
    for slot in state.machines.values_mut().filter(|slot| !listed.contains(&slot.id.0)) {
        slot.mode = protocol::Mode::Left;
    }
}

/// Takes one entry over, and connects to its machine where that is due.
fn update_machine(state: &mut SchedulerState, entry: &protocol::Entry<'_>) {
    let now = state.now;
    let id = MachineId(entry.machine);
    let slot = state.machines.entry(id).or_insert_with(|| MachineSlot::new(entry, now));
    slot.update(entry, now);
    if let Some(started_at) = slot.started_at {
        slot.gate.extend_slow_start(started_at + state.settings.slow_start.warm_up_time);
    }
    let is_down = slot.connection == ConnectionState::Down;
    if entry.mode != protocol::Mode::Active || !is_down || slot.retry_at > now {
        return;
    }
    if state.clients.are_served {
        // Many schedulers read this at one instant; whoever sends an attempt to the machine does not wait.
        let at = now + backoff::reconnect_delay(state.settings.reconnect_backoff, state.random.fraction());
        state.timers.schedule(at, Timer::Reconnect(id));
    } else {
        state.connect_to_machine(id);
    }
}

/// Retracts unsent offers from machines that accept nothing new: the rule on draining machines counts what
/// is sent.
fn retract_from_inactive(state: &mut SchedulerState) {
    let inactive: Vec<MachineId> = state
        .machines
        .values()
        .filter(|slot| slot.mode != protocol::Mode::Active)
        .map(|slot| slot.id)
        .collect();
    for id in inactive {
        let attempts = state.attempts_on(id);
        for (task, attempt) in attempts.into_iter().filter(|(_, attempt)| !attempt.phase.is_placed()) {
            if state.retract_offer(task) {
                state.outcomes.push(attempt.id(task), Outcome::NotSent);
            }
        }
    }
}

/// Machines that were removed and hold no task of ours need no connection any more.
fn drop_removed(state: &mut SchedulerState) {
    let is_removed = |slot: &&MachineSlot| slot.mode == protocol::Mode::Left;
    let removed = state.machines.values().filter(is_removed);
    let removed: Vec<(MachineId, Option<ConnectionId>)> =
        removed.map(|slot| (slot.id, slot.connection_id())).collect();
    for (id, connection) in removed {
        if !state.attempts_on(id).is_empty() {
            continue;
        }
        if let Some(connection) = connection {
            state.peers.remove(&connection);
            state.connections.abort(connection);
        }
        state.machines.remove(&id);
    }
}

/// A machine as the policy knows it.
fn policy_entry(slot: &MachineSlot) -> MachineEntry {
    MachineEntry {
        id: slot.id,
        kind: slot.kind,
        cell: slot.cell,
        zone: slot.zone,
        state: match slot.mode {
            protocol::Mode::Active => MachineState::Active,
            protocol::Mode::Leaving => MachineState::Draining,
            protocol::Mode::Left => MachineState::Removed,
        },
        started_at: slot.started_at,
        available: slot.free.map(|(cores, memory)| Resources::new(cores, memory)),
    }
}
