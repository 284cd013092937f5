//! Messages of machines.

use super::Received;
use super::inventory::{inventory_complete, receive_held};
use super::outcome::{accepted, close, module_ending, started};
use crate::desk::Desk;
use mulleinhub_interface::{FailureCause, LoadReport, MachineId, Outcome, PolicyEvents, Resources, TaskId};
use mulleinhub_protocol::{self as protocol, Bad, Message, Reason};
use mulleinhub_sans_io::ConnectionId;
use std::cell::RefCell;

/// Handles one message of a machine.
pub(super) fn receive_from_machine(
    shared: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    link: ConnectionId,
    machine: MachineId,
    message: &Message<'_>,
) -> Received {
    match message {
        Message::Welcome { life, .. } => return welcomed(shared, round, link, machine, *life),
        Message::Holds { tasks, last } => {
            for held in tasks {
                receive_held(shared, round, link, machine, held);
            }
            if *last {
                inventory_complete(shared, round, link, machine);
            }
        }
        Message::Accepted { task, send } => {
            shared.borrow_mut().answered_by(machine, *task, *send);
            accepted(shared, round, link, machine, TaskId(*task), *send);
        }
        Message::Runs { task, send } => started(shared, round, machine, TaskId(*task), *send),
        Message::Note { task, cores, memory, served, machine_memory } => {
            if !is_placed_on(&shared.borrow(), TaskId(*task), machine) {
                return Ok(());
            }
            if cores.is_some() || memory.is_some() {
                round.on_usage(TaskId(*task), *cores, *memory);
            }
            if let Some(served) = served {
                round.on_service_level(TaskId(*task), *served);
            }
            if let Some(share) = machine_memory {
                round.on_machine_memory(TaskId(*task), *share);
            }
        }
        Message::Closed { task, send, ending, reason } => {
            closed(shared, round, link, machine, TaskId(*task), *send, (*ending, *reason));
        }
        Message::Report { cores_unused, memory_unused, .. } => {
            let unused =
                cores_unused.zip(*memory_unused).map(|(cores, memory)| Resources::new(cores, memory));
            round.on_health_check(machine, LoadReport { unused });
        }
        _ => return Err(Bad("not a message of a machine".into())),
    }
    Ok(())
}

/// A machine answered our greeting. In another life than the last it holds nothing that the former was sent.
fn welcomed(
    shared: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    link: ConnectionId,
    machine: MachineId,
    life: u64,
) -> Received {
    let mut borrowed = shared.borrow_mut();
    let desk = &mut *borrowed;
    let Some(peer) = desk.peers.get_mut(&link) else { return Ok(()) };
    if std::mem::replace(&mut peer.greeted, true) {
        return Err(Bad("a second welcome".into()));
    }
    let Some(spot) = desk.machines.get_mut(&machine) else { return Ok(()) };
    spot.told.clear();
    // Before its first greeting the list's word holds, also one that an earlier life of ours kept.
    if spot.life.replace(life).unwrap_or(spot.listed_life) == life {
        return Ok(());
    }
    spot.gate.is_cold_until(desk.now + desk.settings.cold.warm_up_time);
    // What waits was decided on for a warm machine. Met: all of it reached the cold one at once.
    let waiting = std::mem::take(&mut spot.waiting);
    // Whatever the former life was sent or held went with it. An answer of it can't come any more: its
    // connection is over, and this one began after it.
    let sent = desk.jobs_on(machine).into_iter().filter(|(_, open)| open.link.is_some());
    let lost: Vec<_> =
        sent.map(|(id, open)| (id, open.number, Outcome::Lost(FailureCause::Unspecified))).collect();
    desk.closings.extend(lost);
    desk.closings.extend(waiting.into_iter().map(|(id, send)| (TaskId(id), send, Outcome::NotSent)));
    drop(borrowed);
    round.on_machine_restarted(machine);
    Ok(())
}

fn is_placed_on(desk: &Desk, id: TaskId, machine: MachineId) -> bool {
    let open = desk.jobs.get(&id).and_then(|job| job.open);
    open.is_some_and(|open| open.placed && open.machine == machine)
}

/// A machine told the end of a send, which is acknowledged whether or not it is ours.
fn closed(
    shared: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    link: ConnectionId,
    machine: MachineId,
    id: TaskId,
    send: u32,
    (ending, reason): (protocol::Ending, Reason),
) {
    let open = {
        let desk = &mut *shared.borrow_mut();
        desk.write(link, &Message::Heard { task: id.0, send });
        desk.answered_by(machine, id.0, send);
        desk.late.remove(&(id, send));
        desk.jobs.get(&id).and_then(|job| job.open)
    };
    if open.is_some_and(|open| open.machine == machine && open.number == send) {
        close(shared, round, id, send, module_ending(ending, reason), Some(ending));
    }
}
