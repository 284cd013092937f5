//! What is due at an instant, and what is done then.

use crate::discovery::SILENCE_TIMEOUT;
use crate::machines::{check_machine, check_partial_message, handle_disconnect};
use crate::state::{SchedulerState, SharedState};
use crate::status;
use crate::tasks::AttemptId;
use mulleinhub_interface::{MachineId, PolicyEvents};
use mulleinhub_sans_io::{CloseReason, ConnectionId};

/// What a timer was set for. No timer is cancelled: when it fires, its handler looks whether it still
/// matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerEvent {
    /// The policy asked to be woken with this token.
    Policy(u64),
    /// The wait for the answer to an attempt ends.
    AttemptTimeout(AttemptId),
    /// The last instant at which an attempt may be written.
    WriteDeadline(AttemptId),
    /// A connection that should be established by then.
    ConnectTimeout(ConnectionId),
    /// A message of which a part has been received should be complete by then.
    PartialMessage(ConnectionId),
    /// The machine should have closed its side by then, too, of a connection that this side closes.
    RetirementTimeout(ConnectionId),
    /// A machine is to be checked.
    CheckMachine(MachineId),
    /// Attempts that are held back may be written.
    ReleaseQueued(MachineId),
    /// A client for which there was no place has had its time.
    CloseRejectedClients,
    /// A client that is to make room has had its time to complete a message; wakes the event loop.
    EvictClients,
    /// An adoption has waited long enough for its machine to be listed.
    AdoptionDeadline,
    /// The endpoint stream may have been silent for too long.
    EndpointSilence(ConnectionId),
    /// The endpoint stream is to be connected again.
    ReconnectEndpointWatch,
    /// The status line is to be logged.
    LogStatus,
}

/// Fires the timers that are due. What they set for this very instant waits for the next iteration.
pub fn fire_due(shared: &SharedState, events: &mut dyn PolicyEvents) {
    let (now, mark) = {
        let state = shared.borrow();
        (state.now, state.timers.last_sequence())
    };
    loop {
        let due = shared.borrow_mut().timers.pop_due_up_to(now, mark);
        match due {
            Some(TimerEvent::Policy(token)) => events.on_timer(token),
            Some(event) => fire(&mut shared.borrow_mut(), event),
            None => return,
        }
    }
}

fn fire(state: &mut SchedulerState, event: TimerEvent) {
    match event {
        TimerEvent::Policy(_) | TimerEvent::EvictClients => {}
        TimerEvent::AttemptTimeout(attempt) => state.time_out(attempt),
        TimerEvent::WriteDeadline(attempt) => state.withdraw_unsent(attempt),
        TimerEvent::ConnectTimeout(connection_id) => check_connect_timeout(state, connection_id),
        TimerEvent::PartialMessage(connection_id) => check_partial_message(state, connection_id),
        TimerEvent::RetirementTimeout(connection_id) => {
            handle_disconnect(state, connection_id, CloseReason::Broken);
        }
        TimerEvent::CheckMachine(machine) => check_machine(state, machine),
        TimerEvent::ReleaseQueued(machine) => state.release_due(machine),
        TimerEvent::CloseRejectedClients => state.close_overdue_rejected_clients(),
        TimerEvent::AdoptionDeadline => state.refuse_overdue_adoptions(),
        TimerEvent::EndpointSilence(connection_id) => check_endpoint_silence(state, connection_id),
        TimerEvent::ReconnectEndpointWatch => state.connect_endpoint_watch(),
        TimerEvent::LogStatus => status::log_and_reschedule(state),
    }
}

fn check_connect_timeout(state: &mut SchedulerState, connection_id: ConnectionId) {
    let connection = state.machines.connections.get(&connection_id);
    if connection.is_some_and(|connection| !connection.established) {
        handle_disconnect(state, connection_id, CloseReason::Broken);
    } else if state.endpoint_watch.connection == Some(connection_id) && !state.endpoint_watch.established {
        state.restart_endpoint_watch();
    }
}

fn check_endpoint_silence(state: &mut SchedulerState, connection_id: ConnectionId) {
    if state.endpoint_watch.connection != Some(connection_id) {
        return;
    }
    let deadline = state.endpoint_watch.last_received_at + SILENCE_TIMEOUT;
    if deadline <= state.now {
        state.restart_endpoint_watch();
    } else {
        state.timers.schedule(deadline, TimerEvent::EndpointSilence(connection_id));
    }
}
