//! What the end of a connection means, and what it proves of the sends that it carried.

use super::machine_list::list_disconnected;
use super::outcome::close;
use crate::desk::{Desk, Due, Open, Who};
use mulleinhub_interface::{Duration, FailureCause, MachineId, Outcome, PolicyEvents, TaskId};
use mulleinhub_resilience::backoff;
use mulleinhub_sans_io::{CloseReason, ConnectionId, Unsent};
use std::cell::RefCell;

/// A connection has ended, and all that came on it before was received.
pub(super) fn disconnected(
    shared: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    link: ConnectionId,
    end: CloseReason,
) {
    let mut borrowed = shared.borrow_mut();
    let desk = &mut *borrowed;
    if desk.peers.get(&link).is_some_and(|peer| matches!(peer.who, Who::Stranger | Who::Client(_))) {
        desk.client_gone(link);
        desk.links.abort(link);
        desk.peers.remove(&link);
        return;
    }
    let unwritten = desk.unwritten_offers(link);
    let Some(peer) = desk.peers.remove(&link) else { return };
    match peer.who {
        Who::Stranger | Who::Client(_) => unreachable!("is dealt with above"),
        Who::List => {
            drop(borrowed);
            list_disconnected(shared, round);
        }
        Who::Machine(id) => {
            let resolved = machine_disconnected(desk, id, link, end, unwritten);
            drop(borrowed);
            for (task, send, ending) in resolved {
                close(shared, round, task, send, ending, None);
            }
        }
    }
}

/// Sets when a machine is connected to again, and gives back the sends whose end is known by this.
fn machine_disconnected(
    desk: &mut Desk,
    id: MachineId,
    link: ConnectionId,
    end: CloseReason,
    unwritten: Vec<(TaskId, u32, Unsent)>,
) -> Vec<(TaskId, u32, Outcome)> {
    let (now, reconnect, lost_after) = (desk.now, desk.settings.reconnect, desk.settings.lost_after);
    let drawn = desk.chance.fraction();
    let mut unanswered: Vec<(TaskId, Open)> = desk.jobs_on(id);
    unanswered.retain(|(_, open)| !open.placed && open.link.is_some());
    let spot = desk.machines.get_mut(&id).filter(|spot| spot.link() == Some(link));
    let Some(spot) = spot else { return Vec::new() };
    let failed = spot.ready().is_none() || end == CloseReason::Refused;
    let wait = match failed {
        true => backoff::after_failures(reconnect, spot.failures, drawn),
        // At once: the answer may prove what became of open sends.
        false if !unanswered.is_empty() => Duration::ZERO,
        false => backoff::after_end(reconnect, drawn),
    };
    spot.failed(now, wait, failed);
    let (retry_at, waiting) = (spot.retry_at, std::mem::take(&mut spot.waiting));
    desk.timers.set(retry_at, Due::Reconnect(id));
    desk.timers.set(now + lost_after, Due::Lost(id));
    let never_left = unwritten.into_iter().filter(|(.., how)| *how == Unsent::Whole);
    let mut resolved: Vec<_> =
        never_left.map(|(task, send, _)| (task, send, Outcome::ConnectionFailed)).collect();
    resolved.extend(waiting.into_iter().map(|(task, send)| (TaskId(task), send, Outcome::ConnectionFailed)));
    if failed {
        // It can't be asked what it took: each open send may run.
        let may_run =
            |(task, open): (TaskId, Open)| (task, open.number, Outcome::Lost(FailureCause::Unspecified));
        resolved.extend(unanswered.into_iter().map(may_run));
    }
    resolved
}
