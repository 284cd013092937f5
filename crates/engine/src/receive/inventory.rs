//! The inventory of a machine: the tasks that it reports after a greeting, and what it proves of those
//! that it lacks.

use super::outcome::{accepted, accepted_late, close, module_ending, started};
use super::task::{check_use_case, new_job, order};
use crate::desk::{Desk, Job, Open};
use mulleinhub_interface::{FailureCause, MachineId, Outcome, PolicyEvents, TaskId, Timestamp};
use mulleinhub_protocol::{self as protocol, Message, Reason};
use mulleinhub_sans_io::ConnectionId;
use std::cell::RefCell;

/// One task of the inventory: ours, of a former life of ours, or over for us.
pub(super) fn receive_held(
    shared: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    link: ConnectionId,
    machine: MachineId,
    held: &protocol::Held<'_>,
) {
    let id = TaskId(held.task);
    let (ours, met, known) = {
        let desk = &mut *shared.borrow_mut();
        let Some(spot) = desk.machines.get_mut(&machine) else { return };
        spot.told.push((held.task, held.send));
        let met = spot.met;
        let open = desk.jobs.get_mut(&id).and_then(|job| job.open.as_mut());
        let ours = match open.filter(|open| open.machine == machine && open.number == held.send) {
            Some(open) => {
                open.link = Some(link);
                true
            }
            None => false,
        };
        (ours, met, desk.jobs.contains_key(&id) || desk.late.contains_key(&(id, held.send)))
    };
    if held.ended.is_some() {
        let desk = &mut *shared.borrow_mut();
        desk.write(link, &Message::Heard { task: held.task, send: held.send });
        desk.late.remove(&(id, held.send));
    }
    match (ours, held.ended) {
        (true, Some(ending)) => {
            close(shared, round, id, held.send, module_ending(ending, Reason::Untold), Some(ending));
        }
        (true, None) => {
            accepted(shared, round, link, machine, id, held.send);
            if held.runs {
                started(shared, round, machine, id, held.send);
            }
        }
        (false, Some(_)) => {}
        // Our former life placed it: it is ours again, with all that it counts for.
        (false, None) if !met && !known => adopt(shared, round, link, machine, held),
        (false, None) => accepted_late(&mut shared.borrow_mut(), link, machine, id, held.send),
    }
}

/// Takes over a task that a former life of ours placed.
fn adopt(
    shared: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    link: ConnectionId,
    machine: MachineId,
    held: &protocol::Held<'_>,
) {
    let id = TaskId(held.task);
    let order = order(id, &held.shape, Timestamp::from_nanos(u64::MAX));
    {
        let desk = &mut *shared.borrow_mut();
        if check_use_case(desk, &held.shape).is_err() {
            tracing::error!(task = held.task, "a machine holds a task of a use case that the settings lack");
            desk.write(link, &Message::Disown { task: held.task, send: held.send });
            return;
        }
        let open = Open {
            number: held.send,
            machine,
            link: Some(link),
            mark: 0,
            decided: desk.now,
            due: desk.now,
            placed: true,
            runs: held.runs,
            stopping: false,
        };
        let adopted = new_job(order, held.shape, held.owner, link, desk.now);
        let ticket =
            desk.quota.as_mut().and_then(|q| q.adopt(desk.now, held.owner, order.key, order.request));
        let adopted = Job {
            ticket,
            owner_link: None,
            sends: held.send + 1,
            open: Some(open),
            may_have_run: Some(desk.now),
            answered: true,
            ..adopted
        };
        desk.jobs.insert(id, adopted);
    }
    round.on_adopted_task(order, machine);
}

/// The inventory is complete: what it lacks is known never to have been accepted, and offers may go.
pub(super) fn inventory_complete(
    shared: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    link: ConnectionId,
    machine: MachineId,
) {
    let resolved = resolve(&mut shared.borrow_mut(), link, machine);
    for (id, send, ending) in resolved {
        close(shared, round, id, send, ending, None);
    }
    shared.borrow_mut().release(machine);
}

/// The sends whose end is known by a complete inventory. Stops that may have been lost are said again.
fn resolve(desk: &mut Desk, link: ConnectionId, machine: MachineId) -> Vec<(TaskId, u32, Outcome)> {
    let Some(spot) = desk.machines.get_mut(&machine) else { return Vec::new() };
    spot.is_ready(link);
    let met = std::mem::replace(&mut spot.met, true);
    let told = std::mem::take(&mut spot.told);
    let mut resolved = Vec::new();
    if !met && !told.is_empty() {
        // What waits was decided on without knowing what the machine holds. Met when a planner had
        // started while a machine hung: its offers went out with its inventory, and broke the spread.
        let waiting = std::mem::take(&mut spot.waiting);
        resolved.extend(waiting.into_iter().map(|(task, send)| (TaskId(task), send, Outcome::NotSent)));
    }
    let mut stop_again = Vec::new();
    for (id, open) in desk.jobs_on(machine) {
        let here = told.contains(&(id.0, open.number));
        if here && open.stopping {
            stop_again.push((id, open.number));
        }
        // A new life is dealt with by the closings that its welcome left.
        let is_over = desk.is_closing(id, open.number);
        if !here && !is_over && open.link.is_some_and(|offered| offered != link) {
            let ending =
                if open.placed { Outcome::Lost(FailureCause::Unspecified) } else { Outcome::NotSent };
            resolved.push((id, open.number, ending));
        }
    }
    for (id, send) in stop_again {
        let moves = !desk.jobs[&id].withdrawn;
        desk.write(link, &Message::Stop { task: id.0, send, moves });
    }
    resolved
}
