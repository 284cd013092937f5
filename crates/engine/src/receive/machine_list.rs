//! The list of machines: the one kept from the last life, and what the list service tells.

use super::Received;
use crate::desk::{Desk, Due, ListFault};
use crate::machines::{Reach, Spot};
use mulleinhub_interface::{
    ListKind, MachineEntry, MachineId, MachineState, Outcome, PolicyEvents, Resources,
};
use mulleinhub_protocol::{self as protocol, Bad, Message};
use mulleinhub_resilience::backoff;
use mulleinhub_sans_io::ConnectionId;
use std::cell::RefCell;
use std::collections::BTreeSet;

/// The first turn: applies the list kept from the last life, and asks for a newer one.
pub fn start(shared: &RefCell<Desk>, round: &mut dyn PolicyEvents, saved: Option<Vec<u8>>) {
    match saved.as_deref().map(protocol::decode_list) {
        Some(Ok(kept)) => apply(shared, round, ListKind::Cached, kept.version, &kept.entries()),
        Some(Err(bad)) => tracing::error!(%bad, "the kept list can't be read; going on without it"),
        None => {}
    }
    let desk = &mut *shared.borrow_mut();
    if !desk.settings.listing.watch_required {
        desk.open_list();
    }
    let start_at = desk.now + desk.settings.start_wait;
    desk.timers.set(start_at, Due::Start);
}

/// The list service told nothing that can be used.
pub(super) fn list_failed(desk: &mut Desk, fault: ListFault) {
    let known = desk.list_known.then_some(desk.list_version);
    tracing::error!(%fault, ?known, "no newer list of machines; the list service is asked again");
    desk.list_fault = Some(fault);
}

/// The connection to the list service is over: it is asked again after a while.
pub(super) fn list_disconnected(shared: &RefCell<Desk>, round: &mut dyn PolicyEvents) {
    let mut borrowed = shared.borrow_mut();
    let desk = &mut *borrowed;
    desk.list_link = None;
    desk.list_reader.clear();
    if desk.settings.listing.watch_required {
        drop(borrowed);
        return round.on_watch_failed();
    }
    let (drawn, failures) = (desk.chance.fraction(), desk.list_failures);
    desk.list_failures += 1;
    let retry_at = desk.now + backoff::after_failures(desk.settings.reconnect, failures, drawn);
    desk.timers.set(retry_at, Due::List);
}

/// Handles one message of the list service.
pub(super) fn receive_from_list(
    shared: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    message: &Message<'_>,
) -> Received {
    match message {
        Message::List { kind, version, entries } => {
            shared.borrow().list_reader.no_pieces()?;
            apply(shared, round, list_kind(*kind), *version, entries);
        }
        Message::ListPiece { kind, version, number, last, entries } => {
            let whole = shared.borrow_mut().list_reader.take(*kind, *version, *number, *last, entries)?;
            if let Some(whole) = whole {
                apply(shared, round, list_kind(whole.kind), whole.version, &whole.entries());
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

/// Takes a list over and tells the module of it.
fn apply(
    shared: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    kind: ListKind,
    version: u64,
    entries: &[protocol::Entry<'_>],
) {
    let listed = update_machines(&mut shared.borrow_mut(), kind, version, entries);
    round.on_endpoint_list(kind, &listed);
}

fn update_machines(
    desk: &mut Desk,
    kind: ListKind,
    version: u64,
    entries: &[protocol::Entry<'_>],
) -> Vec<MachineEntry> {
    desk.list_version = version;
    desk.list_known = true;
    desk.list_failures = 0;
    if kind != ListKind::Cached {
        desk.list_changes();
        desk.list_fault = None;
    }
    if kind == ListKind::Snapshot {
        mark_unlisted_as_left(desk, entries);
    }
    for entry in entries {
        update_machine(desk, entry);
    }
    take_back_from_closed(desk);
    let listed =
        entries.iter().map(|entry| module_entry(&desk.machines[&MachineId(entry.machine)])).collect();
    forget_left(desk);
    listed
}

fn mark_unlisted_as_left(desk: &mut Desk, entries: &[protocol::Entry<'_>]) {
    let listed: BTreeSet<u64> = entries.iter().map(|entry| entry.machine).collect();
    for spot in desk.machines.values_mut().filter(|spot| !listed.contains(&spot.id.0)) {
        spot.mode = protocol::Mode::Left;
    }
}

/// Takes one entry over, and connects to its machine where that is due.
fn update_machine(desk: &mut Desk, entry: &protocol::Entry<'_>) {
    let now = desk.now;
    let id = MachineId(entry.machine);
    let spot = desk.machines.entry(id).or_insert_with(|| Spot::new(entry, now));
    spot.update(entry, now);
    if let Some(since) = spot.since {
        spot.gate.is_cold_until(since + desk.settings.cold.warm_up_time);
    }
    if entry.mode != protocol::Mode::Active || spot.reach != Reach::Down || spot.retry_at > now {
        return;
    }
    if desk.hears_clients {
        // Many planners read this at one instant; whoever sends to it does not wait.
        let at = now + backoff::after_end(desk.settings.reconnect, desk.chance.fraction());
        desk.timers.set(at, Due::Reconnect(id));
    } else {
        desk.open_machine(id);
    }
}

/// Takes unwritten offers back from machines that take nothing new: the third rule counts what goes out
/// on the wire.
fn take_back_from_closed(desk: &mut Desk) {
    let closed: Vec<MachineId> = desk
        .machines
        .values()
        .filter(|spot| spot.mode != protocol::Mode::Active)
        .map(|spot| spot.id)
        .collect();
    for id in closed {
        for (task, open) in desk.jobs_on(id).into_iter().filter(|(_, open)| !open.placed) {
            if desk.take_back(task) {
                desk.closings.push_back((task, open.number, Outcome::NotSent));
            }
        }
    }
}

/// Machines that have left and hold nothing of ours need no connection any more.
fn forget_left(desk: &mut Desk) {
    let has_left = |spot: &&Spot| spot.mode == protocol::Mode::Left;
    let left: Vec<(MachineId, Option<ConnectionId>)> =
        desk.machines.values().filter(has_left).map(|spot| (spot.id, spot.link())).collect();
    for (id, link) in left {
        if !desk.jobs_on(id).is_empty() {
            continue;
        }
        if let Some(link) = link {
            desk.peers.remove(&link);
            desk.links.abort(link);
        }
        desk.machines.remove(&id);
    }
}

/// A machine as the module is told of it.
fn module_entry(spot: &Spot) -> MachineEntry {
    MachineEntry {
        id: spot.id,
        kind: spot.kind,
        cell: spot.cell,
        zone: spot.zone,
        state: match spot.mode {
            protocol::Mode::Active => MachineState::Active,
            protocol::Mode::Leaving => MachineState::Draining,
            protocol::Mode::Left => MachineState::Removed,
        },
        started_at: spot.since,
        available: spot.left.map(|(cores, memory)| Resources::new(cores, memory)),
    }
}
