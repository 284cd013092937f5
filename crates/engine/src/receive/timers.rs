//! Timers: time-outs of sends and claims, reconnects, pings, and what is forgotten.

use super::inbound::receive_pending;
use super::outcome::close;
use crate::desk::{Desk, Due};
use crate::machines::Reach;
use mulleinhub_interface::{FailureCause, MachineId, Outcome, PolicyEvents, TaskId};
use mulleinhub_protocol::Message;
use mulleinhub_resilience::backoff;
use mulleinhub_sans_io::ConnectionId;
use std::cell::RefCell;

/// A timer has expired, other than the module's own and those of sends.
pub fn on_timer(shared: &RefCell<Desk>, round: &mut dyn PolicyEvents, due: Due) {
    match due {
        Due::Reconnect(id) => reconnect(&mut shared.borrow_mut(), id),
        Due::Lost(id) => machine_lost(shared, round, id),
        Due::Ping(id, link) => ping(&mut shared.borrow_mut(), id, link),
        Due::List => shared.borrow_mut().open_list(),
        Due::Start => {
            shared.borrow_mut().hear_clients();
            receive_pending(shared, round);
        }
        Due::Forget => shared.borrow_mut().forget_old(),
        Due::Release(machine) => shared.borrow_mut().release(machine),
        Due::Claim(id) => claim_timed_out(shared, round, id),
        Due::Token(_) | Due::Send(..) => unreachable!("are told where they fall due"),
    }
}

fn reconnect(desk: &mut Desk, id: MachineId) {
    let now = desk.now;
    if desk.machines.get(&id).is_some_and(|spot| spot.reach == Reach::Down && spot.retry_at <= now) {
        desk.open_machine(id);
    }
}

/// What was placed on a machine that was out of reach for too long is lost.
fn machine_lost(shared: &RefCell<Desk>, round: &mut dyn PolicyEvents, id: MachineId) {
    let lost: Vec<_> = {
        let desk = shared.borrow();
        let (now, lost_after) = (desk.now, desk.settings.lost_after);
        if !desk.machines.get(&id).is_some_and(|spot| spot.is_lost(now, lost_after)) {
            return;
        }
        desk.jobs_on(id).into_iter().filter(|(_, open)| open.placed).collect()
    };
    for (task, open) in lost {
        close(shared, round, task, open.number, Outcome::Lost(FailureCause::Unspecified), None);
    }
}

/// Asks a machine that has been silent for a while for a sign of life, and ends the connection of one that
/// gave none.
fn ping(desk: &mut Desk, id: MachineId, link: ConnectionId) {
    let (now, silence) = (desk.now, desk.settings.silence);
    let Some(spot) = desk.machines.get_mut(&id).filter(|spot| spot.link() == Some(link)) else { return };
    match spot.pinged_at {
        Some(at) if now - at >= silence => {
            tracing::warn!(machine = id.0, "silent to a ping; its connection ends");
            desk.end_of_ours(link);
        }
        None if now - spot.heard_at >= silence * 0.5 => {
            spot.pinged_at = Some(now);
            desk.write(link, &Message::Ping { nonce: now.nanos() });
        }
        _ => {}
    }
    let next = now + backoff::sign(silence, desk.chance.fraction());
    desk.timers.set(next, Due::Ping(id, link));
}

/// A machine did not say in time whether it holds a task that was handed over.
fn claim_timed_out(shared: &RefCell<Desk>, round: &mut dyn PolicyEvents, id: TaskId) {
    let claim = shared.borrow().jobs.get(&id).filter(|job| job.claiming).and_then(|job| job.open);
    if let Some(open) = claim {
        close(shared, round, id, open.number, Outcome::TimedOut, None);
    }
}

/// Nobody answered in time. An offer still unwritten is taken back, which proves that it never ran.
pub fn on_time_out(shared: &RefCell<Desk>, round: &mut dyn PolicyEvents, id: TaskId, send: u32) {
    let ending = {
        let desk = &mut *shared.borrow_mut();
        let Some(open) = desk.jobs.get(&id).filter(|job| !job.claiming).and_then(|job| job.open) else {
            return;
        };
        // Met: an offer taken back from a draining machine timed out in the same turn, and lost its proof.
        if open.number != send || open.placed || desk.is_closing(id, send) {
            return;
        }
        if desk.take_back(id) {
            Outcome::NotSent
        } else {
            if let Some(link) = open.link {
                desk.write(link, &Message::Recall { task: id.0, send });
            }
            Outcome::TimedOut
        }
    };
    close(shared, round, id, send, ending, None);
}
