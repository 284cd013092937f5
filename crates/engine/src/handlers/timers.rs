//! Timers: timeouts of attempts and claims, reconnects, pings, and answers that expire.

use super::arrivals::handle_arrivals;
use super::attempt::on_attempt_ended;
use crate::machine::{ConnectionState, MachineSlot};
use crate::state::SchedulerState;
use crate::task::AttemptId;
use crate::timer::Timer;
use mulleinhub_interface::{FailureCause, MachineId, Outcome, PolicyEvents, TaskId};
use mulleinhub_protocol::Message;
use mulleinhub_resilience::backoff;
use mulleinhub_sans_io::ConnectionId;
use std::cell::RefCell;

/// A timer has expired, other than the policy's own and those of attempts.
pub fn on_timer(shared: &RefCell<SchedulerState>, events: &mut dyn PolicyEvents, timer: Timer) {
    match timer {
        Timer::Reconnect(id) => reconnect(&mut shared.borrow_mut(), id),
        Timer::MachineLost(id) => on_machine_lost(shared, events, id),
        Timer::Ping(id, connection) => ping(&mut shared.borrow_mut(), id, connection),
        Timer::ConnectToEndpointList => shared.borrow_mut().connect_to_endpoint_list(),
        Timer::StartupGrace => {
            shared.borrow_mut().serve_clients();
            handle_arrivals(shared, events);
        }
        Timer::ExpireAnswers => shared.borrow_mut().expire_answers(),
        Timer::ReleaseOffers(machine) => shared.borrow_mut().release_due_offers(machine),
        Timer::ClaimTimeout(id) => on_claim_timeout(shared, events, id),
        Timer::Policy(_) | Timer::AttemptTimeout(..) => unreachable!("the event loop handles these itself"),
    }
}

fn reconnect(state: &mut SchedulerState, id: MachineId) {
    let now = state.now;
    let is_due = |slot: &MachineSlot| slot.connection == ConnectionState::Down && slot.retry_at <= now;
    if state.machines.get(&id).is_some_and(is_due) {
        state.connect_to_machine(id);
    }
}

/// The tasks placed on a machine that was unreachable for too long are lost.
fn on_machine_lost(shared: &RefCell<SchedulerState>, events: &mut dyn PolicyEvents, id: MachineId) {
    let lost: Vec<_> = {
        let state = shared.borrow();
        let (now, lost_after) = (state.now, state.settings.lost_after);
        if !state.machines.get(&id).is_some_and(|slot| slot.is_lost(now, lost_after)) {
            return;
        }
        state.attempts_on(id).into_iter().filter(|(_, attempt)| attempt.phase.is_placed()).collect()
    };
    for (task, attempt) in lost {
        let outcome = Outcome::Lost(FailureCause::Unspecified);
        on_attempt_ended(shared, events, attempt.id(task), outcome, None);
    }
}

/// Pings a machine that has been silent for a while, and closes the connection of one that did not answer.
fn ping(state: &mut SchedulerState, id: MachineId, connection: ConnectionId) {
    let (now, ping_timeout) = (state.now, state.settings.ping_timeout);
    let slot = state.machines.get_mut(&id).filter(|slot| slot.connection_id() == Some(connection));
    let Some(slot) = slot else { return };
    match slot.pinged_at {
        Some(at) if now - at >= ping_timeout => {
            tracing::warn!(machine = id.0, "silent to a ping; its connection ends");
            state.abort_connection(connection);
        }
        None if now - slot.last_received_at >= ping_timeout * 0.5 => {
            slot.pinged_at = Some(now);
            state.write(connection, &Message::Ping { nonce: now.nanos() });
        }
        _ => {}
    }
    let next = now + backoff::keepalive_check(ping_timeout, state.random.fraction());
    state.timers.schedule(next, Timer::Ping(id, connection));
}

/// A machine did not say in time whether it holds a task that was handed over.
fn on_claim_timeout(shared: &RefCell<SchedulerState>, events: &mut dyn PolicyEvents, id: TaskId) {
    let claim = {
        let state = shared.borrow();
        state.tasks.get(&id).filter(|record| record.claiming).and_then(|record| record.attempt)
    };
    if let Some(attempt) = claim {
        on_attempt_ended(shared, events, attempt.id(id), Outcome::TimedOut, None);
    }
}

/// No machine answered an offer in time. An offer that is still unsent is retracted, which proves that the
/// attempt never ran.
pub fn on_attempt_timeout(
    shared: &RefCell<SchedulerState>,
    events: &mut dyn PolicyEvents,
    expired: AttemptId,
) {
    let id = expired.task;
    let outcome = {
        let state = &mut *shared.borrow_mut();
        let record = state.tasks.get(&id).filter(|record| !record.claiming);
        let Some(attempt) = record.and_then(|record| record.attempt) else { return };
        // Seen: an offer retracted from a draining machine timed out in the same iteration, and lost its
        // proof.
        if attempt.number != expired.number || attempt.phase.is_placed() || state.outcomes.contains(expired) {
            return;
        }
        if state.retract_offer(id) {
            Outcome::NotSent
        } else {
            if let Some(connection) = attempt.connection {
                state.write(connection, &Message::Recall { task: id.0, send: expired.number });
            }
            Outcome::TimedOut
        }
    };
    on_attempt_ended(shared, events, expired, outcome, None);
}
