//! The outcome of a send: accepted, started, closed.

use crate::desk::{Answer, Desk, Late};
use mulleinhub_interface::{
    FailureCause, Idempotency, LoadReport, MachineId, Outcome, PolicyEvents, Rejection, TaskId,
};
use mulleinhub_protocol::{self as protocol, Message, Reason};
use mulleinhub_sans_io::ConnectionId;
use std::cell::RefCell;
use tracing::span::EnteredSpan;

/// An ending that a machine told, as the module knows it.
pub(super) fn module_ending(ending: protocol::Ending, reason: Reason) -> Outcome {
    match ending {
        protocol::Ending::Done | protocol::Ending::Stopped => Outcome::Succeeded,
        protocol::Ending::Errored => Outcome::Failed,
        protocol::Ending::Nacked => Outcome::Rejected(match reason {
            Reason::Untold => Rejection::Unspecified,
            Reason::NoCores => Rejection::InsufficientCores,
            Reason::NoMemory => Rejection::InsufficientMemory,
            Reason::LineFull => Rejection::QueueFull,
            Reason::NotHere => Rejection::Ineligible,
            Reason::HandedBack => Rejection::Returned,
        }),
        // The machine's own word that it dropped the offer before it accepted: proof.
        protocol::Ending::Recalled => Outcome::NotSent,
        protocol::Ending::Lost => Outcome::Lost(FailureCause::Unspecified),
        protocol::Ending::Evicted => Outcome::Lost(FailureCause::Evicted),
        protocol::Ending::PushedOut => Outcome::Lost(FailureCause::Preempted),
        protocol::Ending::SentAway | protocol::Ending::Moved => Outcome::Lost(FailureCause::Relocated),
    }
}

/// A machine accepted a send: its task is placed, unless the send is over for us.
pub(super) fn accepted(
    shared: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    link: ConnectionId,
    machine: MachineId,
    id: TaskId,
    send: u32,
) {
    let mut borrowed = shared.borrow_mut();
    let desk = &mut *borrowed;
    // The answer came before the end that this side made in this turn was told: the answer counts.
    desk.closings.retain(|(task, number, ending)| {
        (*task, *number) != (id, send) || matches!(ending, Outcome::Lost(_) | Outcome::ConnectionFailed)
    });
    let Some(job) = desk.jobs.get_mut(&id) else { return accepted_late(desk, link, machine, id, send) };
    let (withdrawn, claiming, order) = (job.withdrawn, job.claiming, job.order);
    let Some(open) = job.open.as_mut().filter(|open| open.machine == machine && open.number == send) else {
        return accepted_late(desk, link, machine, id, send);
    };
    if std::mem::replace(&mut open.placed, true) {
        return;
    }
    // Met: a stop that was lost with its connection was never said again, and a withdrawn task ran on.
    open.stopping = withdrawn;
    let mark = open.mark;
    job.claiming = false;
    job.may_have_run.get_or_insert(open.decided);
    if let Some(quota) = &mut desk.quota {
        match job.ticket {
            Some(ticket) => quota.on_running(desk.now, ticket),
            None if claiming => job.ticket = quota.adopt(desk.now, &job.owner, order.key, order.request),
            None => {}
        }
    }
    desk.forget_mark(mark);
    if withdrawn {
        desk.write(link, &Message::Stop { task: id.0, send, moves: false });
        return;
    }
    let _task = tell_placed(desk, machine, id, send);
    drop(borrowed);
    if claiming { round.on_adopted_task(order, machine) } else { round.on_accepted(id) }
}

/// Counts a task as placed, and tells its owner. What is logged while the span is held belongs to the task.
fn tell_placed(desk: &mut Desk, machine: MachineId, id: TaskId, send: u32) -> EnteredSpan {
    desk.counts.placed += 1;
    let job = desk.jobs.get_mut(&id).expect("is there");
    let (owner_link, owner) = (job.owner_link, job.owner.clone());
    if !std::mem::replace(&mut job.answered, true) {
        let (came, service) = (job.came, job.shape.service);
        desk.owes_less(owner_link, came, service);
    }
    let span = tracing::debug_span!("task", id = id.0, owner).entered();
    tracing::debug!(machine = machine.0, send, "placed");
    desk.tell_owner(owner_link, &owner, &Message::Placed { task: id.0, machine: machine.0 });
    span
}

/// A machine started a placed task.
pub(super) fn started(
    shared: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    machine: MachineId,
    id: TaskId,
    send: u32,
) {
    let first = {
        let desk = &mut *shared.borrow_mut();
        let open = desk.jobs.get_mut(&id).and_then(|job| job.open.as_mut());
        open.filter(|open| open.placed && open.machine == machine && open.number == send)
            .is_some_and(|open| !std::mem::replace(&mut open.runs, true))
    };
    if first {
        round.on_running(id);
    }
}

/// A machine took a send that is over for us. Nobody may count on that copy, and it must not be lost sight
/// of: a replayable one is stopped; of others the owner learns, who may hand it over before the machine ends
/// it.
pub(super) fn accepted_late(desk: &mut Desk, link: ConnectionId, machine: MachineId, id: TaskId, send: u32) {
    desk.counts.late_yes += 1;
    // It stays known until its end is told: what is written now may be lost on the way, and asked for again.
    let Some(late) = desk.late.get(&(id, send)) else {
        desk.write(link, &Message::Disown { task: id.0, send });
        return;
    };
    let case = &desk.settings.use_cases[late.shape.use_case as usize];
    if !late.wanted || case.idempotency == Idempotency::Idempotent {
        desk.write(link, &Message::Stop { task: id.0, send, moves: false });
        return;
    }
    let (key, owner) = (late.shape.key, late.owner.clone());
    desk.write(link, &Message::Disown { task: id.0, send });
    // While the task is in hand its next send, within the group, takes the place of this copy.
    if !desk.jobs.contains_key(&id) {
        let told = Message::ProvesToRun { task: id.0, key, machine: machine.0 };
        desk.tell_owner(None, &owner, &told);
    }
}

/// The end of a send: told to the module, and to the owner where the task was placed.
pub(super) fn close(
    shared: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    id: TaskId,
    send: u32,
    ending: Outcome,
    told: Option<protocol::Ending>,
) {
    let mut borrowed = shared.borrow_mut();
    let desk = &mut *borrowed;
    let Some(job) = desk.jobs.get_mut(&id) else { return };
    let Some(open) = job.open.filter(|open| open.number == send) else { return };
    job.open = None;
    let never_ran = matches!(ending, Outcome::Rejected(_) | Outcome::ConnectionFailed | Outcome::NotSent);
    if !never_ran {
        job.may_have_run.get_or_insert(open.decided);
    }
    let (shape, owner, owner_link) = (job.shape, job.owner.clone(), job.owner_link);
    let (wanted, claiming) = (!job.withdrawn, job.claiming);
    let _task = tracing::debug_span!("task", id = id.0, owner).entered();
    tracing::debug!(machine = open.machine.0, send, ?ending, "closed");
    desk.forget_mark(open.mark);
    desk.closings.retain(|(task, number, _)| (*task, *number) != (id, send));
    if !never_ran && told.is_none() {
        // Not the machine's own word: a copy may run.
        desk.late.insert((id, send), Late { shape, owner: owner.clone(), wanted });
        desk.forget_later(id, Some(send));
    }
    if claiming {
        desk.tell_owner(owner_link, &owner, &Message::Unknown { task: id.0 });
        desk.jobs.remove(&id);
        return;
    }
    let over = open.placed || !wanted;
    if open.placed {
        desk.answer(id, Answer::Ended(told.unwrap_or(protocol::Ending::Lost)));
    } else if !wanted {
        desk.answer(id, Answer::Withdrawn);
    }
    drop(borrowed);
    round.on_attempt_ended(id, ending, over, LoadReport::default());
}

/// Ends that this side made: in the round before, or while receiving.
pub fn close_pending(shared: &RefCell<Desk>, round: &mut dyn PolicyEvents) {
    loop {
        let next = shared.borrow_mut().closings.pop_front();
        let Some((id, send, ending)) = next else { return };
        close(shared, round, id, send, ending, None);
    }
}
