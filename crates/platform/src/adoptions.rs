//! Adoption of running tasks that clients hand over from another scheduler, also before their machine is
//! listed.

use crate::clients::{ClientProof, proves_itself};
use crate::error::InvalidRequest;
use crate::state::{SchedulerState, SharedState};
use crate::tasks::{Attempt, AttemptState, ClientInterest, TaskRecord, hex};
use crate::timers::TimerEvent;
use mulleinhub_interface::{Duration, MachineId, PolicyEvents, TaskId, TaskSpec, Timestamp};
use mulleinhub_platform_protocol::cause_code;
use mulleinhub_sans_io::ConnectionId;
use std::collections::{BTreeMap, VecDeque};

/// An adoption waits this long until a list names its machine: lists reach schedulers up to some two seconds
/// apart, and a client that sends an invalid request is owed an answer within three.
const MAX_LISTING_DELAY: Duration = Duration::from_nanos(2_500_000_000);
/// While no list can come, it waits on, in all for this long at most.
const MAX_OUTAGE: Duration = Duration::from_secs(30);

/// A task that runs on a machine which no list has named yet.
#[derive(Clone, Copy, Debug)]
pub struct PendingAdoption {
    /// The task.
    pub spec: TaskSpec,
    /// The machine that is said to run it.
    pub machine: MachineId,
    /// The client connection that it came on.
    pub client: ConnectionId,
    /// When it came.
    since: Timestamp,
    /// How long it waits for a list to name the machine.
    deadline: Timestamp,
    /// Its client has cancelled the task meanwhile.
    pub cancelled: bool,
}

/// Adoptions that wait for their machine. In memory only.
#[derive(Debug, Default)]
pub struct Adoptions {
    pending: BTreeMap<TaskId, PendingAdoption>,
    /// Their deadlines, in order; also those of adoptions that wait no more.
    deadlines: VecDeque<(Timestamp, TaskId)>,
}

impl Adoptions {
    fn insert(&mut self, adoption: PendingAdoption) {
        self.deadlines.push_back((adoption.deadline, adoption.spec.id));
        self.pending.insert(adoption.spec.id, adoption);
    }

    /// Whether the adoption of this task waits for its machine.
    pub fn is_pending(&self, task: TaskId) -> bool {
        self.pending.contains_key(&task)
    }

    /// How many wait for their machine.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Its client cancels the task. False where it does not wait here.
    pub fn cancel(&mut self, task: TaskId) -> bool {
        let pending = self.pending.get_mut(&task);
        pending.map(|pending| pending.cancelled = true).is_some()
    }

    /// Takes out those whose machine is listed by now.
    pub fn take_listed(&mut self, is_listed: impl Fn(MachineId) -> bool) -> Vec<PendingAdoption> {
        self.pending
            .extract_if(.., |_, pending| is_listed(pending.machine))
            .map(|(_, pending)| pending)
            .collect()
    }

    /// Takes out the next one whose deadline has passed.
    fn take_overdue(&mut self, now: Timestamp) -> Option<PendingAdoption> {
        while let Some((_, task)) = self.deadlines.pop_front_if(|(deadline, _)| *deadline <= now) {
            let is_overdue = self.pending.get(&task).is_some_and(|pending| pending.deadline <= now);
            if is_overdue {
                return self.pending.remove(&task);
            }
        }
        None
    }
}

impl SchedulerState {
    /// Lets an adoption wait for its machine to be listed.
    pub fn defer_adoption(&mut self, spec: TaskSpec, machine: MachineId, client: ConnectionId) {
        let (since, deadline) = (self.now, self.now + MAX_LISTING_DELAY);
        self.adoptions.insert(PendingAdoption { spec, machine, client, since, deadline, cancelled: false });
        self.timers.schedule(deadline, TimerEvent::AdoptionDeadline);
    }

    /// Refuses the adoptions whose machine no list has named in time. Those wait on that came in an outage of
    /// discovery. Seen: a machine was started during one, and the client of a task there was told that the task was
    /// over.
    pub fn refuse_overdue_adoptions(&mut self) {
        while let Some(pending) = self.adoptions.take_overdue(self.now) {
            if !self.endpoint_watch.is_established() && self.now - pending.since < MAX_OUTAGE {
                let deadline = self.now + MAX_LISTING_DELAY;
                self.adoptions.insert(PendingAdoption { deadline, ..pending });
                self.timers.schedule(deadline, TimerEvent::AdoptionDeadline);
            } else if !pending.cancelled {
                // The sender may be a client or not: the machine may never have been.
                self.counts.invalid_requests += 1;
                self.warn("invalid start request", &InvalidRequest::UnlistedMachine.to_string());
                self.report_end(Some(pending.client), pending.spec.id, cause_code::ERROR);
            }
        }
    }
}

/// Adopts a task that runs on this machine, unless its end was received before.
pub fn adopt(
    shared: &SharedState,
    events: &mut dyn PolicyEvents,
    spec: TaskSpec,
    machine: MachineId,
    client: ConnectionId,
) {
    let mut borrowed = shared.borrow_mut();
    let state = &mut *borrowed;
    let id = spec.id;
    if state.tasks.by_id.contains_key(&id) {
        return;
    }
    state.clients.greeted(client);
    state.counts.adopted += 1;
    tracing::debug!(task = hex(id), machine = machine.0, ask = ?spec.request, "task adopted");
    // Guards against: the end of a task whose scheduler had died was reported here, and the task, adopted after
    // that, counted as running for ever.
    if let Some(cause) = state.reported_ends.cause(id, machine) {
        proves_itself(state, client, ClientProof::TaskKnown);
        state.reported_ends.remove_pending(id);
        return state.report_end(Some(client), id, cause);
    }
    proves_itself(state, client, ClientProof::HandedOver);
    let running = AttemptState::Running { connection: None, since: state.now };
    let attempt = Attempt { state: running, ..Attempt::new(0, machine, state.now, spec.deadline) };
    let task = TaskRecord {
        attempts: 1,
        attempt: Some(attempt),
        interest: ClientInterest::AwaitsEnd,
        ..TaskRecord::new(spec, client)
    };
    state.tasks.by_id.insert(id, task);
    state.record_running(id, machine);
    // Otherwise the next check opens one.
    if state.machines.connections_of(machine).any(|(_, connection)| connection.is_established()) {
        state.ask_for_reports(machine);
    }
    state.schedule_check(machine);
    drop(borrowed);
    events.on_adopted_task(spec, machine);
}
