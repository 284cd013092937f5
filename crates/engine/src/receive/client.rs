//! Requests of clients: tasks to take, to withdraw, to ask about or to hand over.

use super::Received;
use super::status::status;
use super::task::{check_use_case, new_job, order};
use crate::desk::{Answer, Desk, Due, Job, Open};
use crate::machines::Spot;
use mulleinhub_interface::{Duration, MachineId, Outcome, PolicyEvents, TaskId, TaskSpec, Ticket, Timestamp};
use mulleinhub_protocol::{Bad, Message, Shape};
use mulleinhub_sans_io::ConnectionId;
use std::cell::RefCell;

/// Handles one message of a client that has greeted.
pub(super) fn receive_from_client(
    shared: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    link: ConnectionId,
    name: &str,
    message: &Message<'_>,
) -> Received {
    match message {
        Message::Ask { task, shape, patience, clock } => {
            let order = {
                let desk = &mut *shared.borrow_mut();
                let left = Duration::from_nanos(*patience) - desk.lain(link, *clock);
                take(desk, link, name, *task, shape, left)?
            };
            if let Some(order) = order {
                round.on_new_task(order);
            }
            Ok(())
        }
        Message::Withdraw { task } => withdraw(shared, round, name, TaskId(*task)),
        Message::Learn { task } => {
            let desk = &mut *shared.borrow_mut();
            if !report_known(desk, link, name, TaskId(*task), None)? {
                desk.write(link, &Message::Unknown { task: *task });
            }
            Ok(())
        }
        Message::HandOver { task, shape, machine } => {
            let desk = &mut *shared.borrow_mut();
            hand_over(desk, link, name, TaskId(*task), shape, MachineId(*machine))
        }
        Message::StatusAsk {} => {
            let desk = &mut *shared.borrow_mut();
            let words = status(desk);
            desk.write(link, &Message::Status { words: &words });
            Ok(())
        }
        _ => Err(Bad("not a message of a client".into())),
    }
}

/// Claims a task that its owner says a machine holds: the machine is asked whether it does.
fn hand_over(
    desk: &mut Desk,
    link: ConnectionId,
    name: &str,
    id: TaskId,
    shape: &Shape,
    machine: MachineId,
) -> Received {
    check_use_case(desk, shape)?;
    if report_known(desk, link, name, id, Some(shape.key))? {
        return Ok(());
    }
    let Some(to) = desk.machines.get(&machine).and_then(Spot::ready) else {
        desk.write(link, &Message::Unknown { task: id.0 });
        return Ok(());
    };
    let due = desk.now + desk.settings.silence;
    let open = Open {
        number: 0,
        machine,
        link: Some(to),
        mark: 0,
        decided: desk.now,
        due,
        placed: false,
        runs: false,
        stopping: false,
    };
    let order = order(id, shape, Timestamp::from_nanos(u64::MAX));
    let job = Job {
        claiming: true,
        answered: true,
        open: Some(open),
        sends: 1,
        ..new_job(order, *shape, name, link, desk.now)
    };
    desk.jobs.insert(id, job);
    desk.write(to, &Message::Claim { task: id.0, send: 0, key: shape.key, owner: name });
    desk.timers.set(due, Due::Claim(id));
    Ok(())
}

/// Tells whoever asks again what is known of a task; false where nothing is. The newest connection of its
/// owner hears what comes later.
fn report_known(
    desk: &mut Desk,
    link: ConnectionId,
    name: &str,
    id: TaskId,
    key: Option<u64>,
) -> Result<bool, Bad> {
    let another = || Bad(format!("task {} is another's", id.0));
    if let Some(job) = desk.jobs.get_mut(&id) {
        if job.owner != name || key.is_some_and(|key| key != job.shape.key) {
            return Err(another());
        }
        let before = job.owner_link.replace(link);
        let owed = !job.answered;
        let placed = job.open.filter(|open| open.placed).map(|open| open.machine.0);
        match placed {
            Some(machine) => desk.write(link, &Message::Placed { task: id.0, machine }),
            None => desk.write(link, &Message::Taken { task: id.0 }),
        }
        if owed {
            desk.hand(before, false);
            desk.hand(Some(link), true);
        }
        return Ok(true);
    }
    let Some((answer, owner)) = desk.answered.get(&id) else { return Ok(false) };
    if owner != name {
        return Err(another());
    }
    let message = answer.message(id);
    desk.write(link, &message);
    Ok(true)
}

/// Takes a task, unless it is known or there is no room for it.
fn take(
    desk: &mut Desk,
    link: ConnectionId,
    name: &str,
    task: u64,
    shape: &Shape,
    patience: Duration,
) -> Result<Option<TaskSpec>, Bad> {
    check_use_case(desk, shape)?;
    let id = TaskId(task);
    if report_known(desk, link, name, id, Some(shape.key))? {
        return Ok(None);
    }
    let longest = desk.settings.use_cases[shape.use_case as usize].client_timeout;
    let patience = patience.min(longest);
    if desk.winding_down || patience == Duration::ZERO {
        desk.write(link, &Message::Nacked { task, stay_away: 0 });
        return Ok(None);
    }
    if !desk.list_known && desk.list_fault.is_some() {
        // No machine is known, and the list service is not asked again before this.
        let stay_away = desk.settings.reconnect.nanos();
        desk.write(link, &Message::Nacked { task, stay_away });
        return Ok(None);
    }
    let order = order(id, shape, desk.now + patience);
    let ticket = match admit(desk, name, shape, &order) {
        Ok(ticket) => ticket,
        Err(away) => {
            desk.write(link, &Message::Nacked { task, stay_away: away.nanos() });
            return Ok(None);
        }
    };
    desk.jobs.insert(id, Job { ticket, ..new_job(order, *shape, name, link, desk.now) });
    desk.counts.taken += 1;
    desk.hand(Some(link), true);
    desk.write(link, &Message::Taken { task });
    Ok(Some(order))
}

/// Whether there is room for a task within what its tenant may use, and in hand.
///
/// # Errors
/// For how long its owner is to stay away.
fn admit(desk: &mut Desk, name: &str, shape: &Shape, order: &TaskSpec) -> Result<Option<Ticket>, Duration> {
    let ticket = match &mut desk.quota {
        Some(quota) => quota.admit(desk.now, name, order.key, order.request, desk.chance.fraction())?,
        None => None,
    };
    let admitted = desk.admission.ask(desk.now, shape.service);
    if admitted.is_err()
        && let (Some(quota), Some(ticket)) = (&mut desk.quota, ticket)
    {
        quota.on_never_ran(desk.now, ticket);
    }
    admitted.map(|()| ticket)
}

/// Ends a task that its owner wants no more: its open send is taken back, recalled or stopped.
fn withdraw(shared: &RefCell<Desk>, round: &mut dyn PolicyEvents, name: &str, id: TaskId) -> Received {
    let mut borrowed = shared.borrow_mut();
    let desk = &mut *borrowed;
    // Copies of earlier sends that prove to run from now on are nobody's. Met: such a copy was disowned, ran
    // on until its machine ended it, and its owner was told to come for it.
    for late in desk.late.range_mut((id, 0)..=(id, u32::MAX)).map(|(_, late)| late) {
        late.wanted &= late.owner != name;
    }
    let Some(job) = desk.jobs.get_mut(&id) else { return Ok(()) };
    if job.owner != name {
        return Err(Bad(format!("task {} is another's", id.0)));
    }
    job.withdrawn = true;
    let Some(open) = job.open.as_mut() else {
        desk.answer(id, Answer::Withdrawn);
        drop(borrowed);
        round.on_client_cancelled(id);
        return Ok(());
    };
    open.stopping |= open.placed;
    let open = *open;
    call_back(desk, id, &open);
    drop(borrowed);
    round.on_client_cancelled(id);
    Ok(())
}

/// Calls an open send back: takes an unwritten offer back, recalls a written one, stops a placed task.
fn call_back(desk: &mut Desk, id: TaskId, open: &Open) {
    let send = open.number;
    if open.placed {
        if let Some(to) = desk.machines.get(&open.machine).and_then(Spot::ready) {
            desk.write(to, &Message::Stop { task: id.0, send, moves: false });
        }
    } else if desk.take_back(id) {
        desk.closings.push_back((id, send, Outcome::NotSent));
    } else if let Some(to) = open.link {
        desk.write(to, &Message::Recall { task: id.0, send });
    }
}
