//! Graceful shutdown: health checks fail at once, new tasks are refused a little later, and the process may
//! exit once every admitted task has its answer.

use crate::state::{SchedulerState, SharedState};
use crate::timers::TimerEvent;
use mulleinhub_interface::{Duration, PolicyEvents, Timestamp};

/// Clients may go on sending start requests this long after the first failed health check; later ones are
/// refused at once.
const ADMISSION_GRACE: Duration = Duration::from_nanos(700_000_000);
/// The longest client timeout, as far as it counts: everything admitted must be answered within it, after the
/// grace.
const MAX_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// What the last answers may take on their way out of a process that has a part of a core.
const LAST_ANSWERS_MARGIN: Duration = Duration::from_nanos(300_000_000);
/// The process does not exit sooner than this.
const MIN_DURATION: Duration = Duration::from_nanos(1_000_000_000);

/// How far the shutdown has come.
#[derive(Debug, Default)]
pub struct Shutdown {
    requested_at: Option<Timestamp>,
    /// The policy was notified of the answer deadline.
    announced: bool,
}

impl Shutdown {
    /// Begins the shutdown; a second request changes nothing.
    pub fn request(&mut self, now: Timestamp) {
        self.requested_at.get_or_insert(now);
    }

    /// Whether the shutdown has begun.
    pub fn is_requested(&self) -> bool {
        self.requested_at.is_some()
    }
}

impl SchedulerState {
    /// By when all answers must be given, once the shutdown has begun.
    pub fn answer_deadline(&self) -> Option<Timestamp> {
        let timeouts = self.settings.use_cases.iter().map(|use_case| use_case.client_timeout);
        let longest = timeouts.max().unwrap_or(MAX_CLIENT_TIMEOUT).min(MAX_CLIENT_TIMEOUT);
        let answered_within = longest + ADMISSION_GRACE - LAST_ANSWERS_MARGIN;
        self.shutdown.requested_at.map(|requested_at| requested_at + answered_within)
    }

    /// Whether start requests are refused at once.
    pub fn refuses_new_tasks(&self) -> bool {
        self.shutdown.requested_at.is_some_and(|requested_at| self.now - requested_at >= ADMISSION_GRACE)
    }

    /// Whether the process may exit: nothing that was admitted is unanswered, and no answer is unsent.
    pub fn is_shutdown_complete(&self, now: Timestamp) -> bool {
        self.shutdown.requested_at.is_some_and(|requested_at| now - requested_at >= MIN_DURATION)
            && self.tasks.unanswered == 0
            && !self.has_unhandled_input()
            && self.clients.by_connection.keys().all(|id| self.connections.pending_bytes(*id) == 0)
    }
}

/// Once the shutdown has begun, cuts the deadlines of unanswered tasks and of their attempts in flight to the
/// time that is left, and notifies the policy.
pub fn announce(shared: &SharedState, events: &mut dyn PolicyEvents) {
    let deadline = cut_deadlines(&mut shared.borrow_mut());
    if let Some(deadline) = deadline {
        events.on_shutdown(deadline);
    }
}

fn cut_deadlines(state: &mut SchedulerState) -> Option<Timestamp> {
    let last = state.answer_deadline()?;
    if std::mem::replace(&mut state.shutdown.announced, true) {
        return None;
    }
    for (id, task) in state.tasks.by_id.iter_mut().filter(|(_, task)| task.awaits_answer()) {
        task.spec.deadline = task.spec.deadline.min(last);
        if let Some(attempt) = task.attempt.as_mut().filter(|attempt| attempt.deadline > last) {
            attempt.deadline = last;
            let attempt_id = attempt.id(*id);
            state.timers.schedule(last, TimerEvent::AttemptTimeout(attempt_id));
        }
    }
    Some(last)
}
