//! What the end of a connection means, and what it proves of the attempts that it carried.

use super::attempt::on_attempt_ended;
use super::endpoint_list::on_list_disconnected;
use crate::peer::PeerKind;
use crate::state::{AttemptOutcome, SchedulerState};
use crate::task::{Attempt, AttemptId};
use crate::timer::Timer;
use mulleinhub_interface::{Duration, FailureCause, MachineId, Outcome, PolicyEvents, TaskId};
use mulleinhub_resilience::backoff;
use mulleinhub_sans_io::{CloseReason, ConnectionId, Unsent};
use std::cell::RefCell;

/// A connection was closed, and all that arrived on it before was handled.
pub(super) fn on_disconnected(
    shared: &RefCell<SchedulerState>,
    events: &mut dyn PolicyEvents,
    connection: ConnectionId,
    reason: CloseReason,
) {
    let mut borrowed = shared.borrow_mut();
    let state = &mut *borrowed;
    if state.peers.get(&connection).is_some_and(|peer| peer.kind.is_inbound()) {
        state.forget_client(connection);
        state.connections.abort(connection);
        state.peers.remove(&connection);
        return;
    }
    let unsent = state.unsent_offers(connection);
    let Some(peer) = state.peers.remove(&connection) else { return };
    match peer.kind {
        PeerKind::Unidentified | PeerKind::Client(_) => unreachable!("handled above"),
        PeerKind::EndpointList => {
            drop(borrowed);
            on_list_disconnected(shared, events);
        }
        PeerKind::Machine(id) => {
            let resolved = on_machine_disconnected(state, id, connection, reason, unsent);
            drop(borrowed);
            for ended in resolved {
                on_attempt_ended(shared, events, ended.attempt, ended.outcome, None);
            }
        }
    }
}

/// Sets when a machine is connected to again, and gives back the attempts whose outcome is known by this.
fn on_machine_disconnected(
    state: &mut SchedulerState,
    id: MachineId,
    connection: ConnectionId,
    reason: CloseReason,
    unsent: Vec<(AttemptId, Unsent)>,
) -> Vec<AttemptOutcome> {
    let (now, first_backoff) = (state.now, state.settings.reconnect_backoff);
    let jitter = state.random.fraction();
    let mut unanswered: Vec<(TaskId, Attempt)> = state.attempts_on(id);
    unanswered.retain(|(_, attempt)| !attempt.phase.is_placed() && attempt.connection.is_some());
    let slot = state.machines.get_mut(&id).filter(|slot| slot.connection_id() == Some(connection));
    let Some(slot) = slot else { return Vec::new() };
    let failed = slot.ready().is_none() || reason == CloseReason::Refused;
    let wait = match failed {
        true => backoff::retry_delay(first_backoff, slot.failures, jitter),
        // At once: the machine's inventory may prove what became of the attempts.
        false if !unanswered.is_empty() => Duration::ZERO,
        false => backoff::reconnect_delay(first_backoff, jitter),
    };
    slot.on_closed(now, wait, failed);
    let (retry_at, waiting) = (slot.retry_at, std::mem::take(&mut slot.waiting));
    state.timers.schedule(retry_at, Timer::Reconnect(id));
    state.timers.schedule(now + state.settings.lost_after, Timer::MachineLost(id));
    let not_delivered = |attempt| AttemptOutcome { attempt, outcome: Outcome::ConnectionFailed };
    let never_left = unsent.into_iter().filter(|(_, how)| *how == Unsent::Entire);
    let mut resolved: Vec<_> = never_left.map(|(attempt, _)| not_delivered(attempt)).collect();
    resolved.extend(waiting.into_iter().map(not_delivered));
    if failed {
        // The machine can't be asked what it accepted: each of these attempts may run.
        let may_run = |(task, attempt): (TaskId, Attempt)| AttemptOutcome {
            attempt: attempt.id(task),
            outcome: Outcome::Lost(FailureCause::Unspecified),
        };
        resolved.extend(unanswered.into_iter().map(may_run));
    }
    resolved
}
