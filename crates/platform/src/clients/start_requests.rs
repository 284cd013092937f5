//! Requests of clients to start a task, or to adopt one that runs.

use crate::adoptions::adopt;
use crate::error::{InvalidRequest, ProtocolError};
use crate::machines::machine_id;
use crate::state::{SchedulerState, SharedState};
use crate::tasks::{RequestPayload, TaskRecord, hex};
use mulleinhub_interface::{
    Duration, Idempotency, PolicyEvents, Resources, ServiceId, TaskId, TaskKey, TaskSpec, Timestamp,
    UseCaseId,
};
use mulleinhub_platform_protocol::{self as protocol, Cause, Frame, StartRequest, cause_code};
use mulleinhub_sans_io::ConnectionId;

/// A client for which there was no place retries after this: idle clients are closed after a shorter time.
const NO_PLACE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// A client that would wait so many times longer than the longest timeout sent an invalid request.
const EXCESSIVE_PATIENCE_FACTOR: u64 = 10;

/// A refusal before an attempt was made.
struct Refusal {
    cause: Cause,
    /// How long the client is to wait before it retries; zero where that is left to it.
    retry_after: Duration,
}

/// Handles a start request, or an adoption where it names the machine that runs the task.
///
/// # Errors
/// A task that is held already: the connection is to be closed.
pub fn handle(
    shared: &SharedState,
    events: &mut dyn PolicyEvents,
    connection_id: ConnectionId,
    frame: &Frame<'_>,
) -> Result<(), ProtocolError> {
    let id = TaskId(frame.task);
    let request = read_request(&shared.borrow(), frame);
    if let Ok((request, use_case)) = &request
        && let Some(uid) = request.resources.machine
    {
        let spec = task_spec(request, *use_case, Timestamp::from_nanos(u64::MAX));
        handle_adoption(shared, events, connection_id, spec, uid);
        return Ok(());
    }
    let state = &mut *shared.borrow_mut();
    if state.clients.has_left(connection_id) {
        // No answer is owed, and what it asked for is not wanted any more.
        return Ok(());
    }
    if state.tasks.by_id.contains_key(&id) {
        return Err(ProtocolError::DuplicateTask);
    }
    match request {
        Ok(_) if state.ran_tasks.contains(state.now, id) => {
            refuse_invalid(state, connection_id, id, &InvalidRequest::RepeatedId);
        }
        Ok((request, use_case)) => handle_start(state, connection_id, &request, use_case),
        Err(error) => refuse_invalid(state, connection_id, id, &error),
    }
    Ok(())
}

fn read_request<'a>(
    state: &SchedulerState,
    frame: &Frame<'a>,
) -> Result<(StartRequest<'a>, UseCaseId), InvalidRequest> {
    let request = StartRequest::parse(frame)?;
    let use_case = validate(state, &request)?;
    Ok((request, use_case))
}

/// Adopts a task, now or once a list names its machine.
fn handle_adoption(
    shared: &SharedState,
    events: &mut dyn PolicyEvents,
    connection_id: ConnectionId,
    spec: TaskSpec,
    machine_uid: &str,
) {
    let (id, machine) = (spec.id, machine_id(machine_uid));
    {
        let state = &mut *shared.borrow_mut();
        // It may name what is held already.
        if state.tasks.by_id.contains_key(&id) || state.adoptions.is_pending(id) {
            return;
        }
        if state.tasks.by_id.len() + state.adoptions.pending_count() >= state.max_adopted {
            return refuse_invalid(state, connection_id, id, &InvalidRequest::TooManyTasks);
        }
        if !state.machines.by_id.contains_key(&machine) {
            // Another scheduler's list may be ahead of ours. Seen: clients were notified that their tasks had
            // ended.
            state.clients.greeted(connection_id);
            return state.defer_adoption(spec, machine, connection_id);
        }
    }
    adopt(shared, events, spec, machine, connection_id);
}

/// Admits a task or refuses it. The policy is notified of an admitted one once everything that came on this
/// connection has been handled.
fn handle_start(
    state: &mut SchedulerState,
    connection_id: ConnectionId,
    request: &StartRequest<'_>,
    use_case: UseCaseId,
) {
    let id = TaskId(request.task);
    state.clients.greeted(connection_id);
    if let Some(client) = state.clients.by_connection.get_mut(&connection_id) {
        client.has_requested = true;
    }
    let patience = match admit(state, connection_id, request, use_case) {
        Ok(patience) => patience,
        Err(refusal) => {
            let retry_after_ms = refusal.retry_after.nanos() / 1_000_000;
            return state.send(connection_id, |out| {
                protocol::write_rejection(out, id.0, refusal.cause, retry_after_ms);
            });
        }
    };
    let deadline = state.now + patience;
    let deadline = state.answer_deadline().map_or(deadline, |last| deadline.min(last));
    let spec = task_spec(request, use_case, deadline);
    let payload = RequestPayload {
        name: request.name.to_owned(),
        key: request.idempotency_key.map(str::to_owned),
        description: request.description.to_owned(),
        reservation: state.payload_budget.reserve(request.description.len()),
    };
    let task = TaskRecord { payload: Some(Box::new(payload)), ..TaskRecord::new(spec, connection_id) };
    state.tasks.by_id.insert(id, task);
    state.tasks.unanswered += 1;
    state.counts.admitted += 1;
    tracing::debug!(task = hex(id), use_case = request.class, ?spec, "task admitted");
    state.clients.add_awaiting(connection_id, id);
    if let Some(client) = state.clients.by_connection.get_mut(&connection_id) {
        client.admitted.push(id);
    }
}

/// Whether a task is admitted: for how long its client still waits.
fn admit(
    state: &mut SchedulerState,
    connection_id: ConnectionId,
    request: &StartRequest<'_>,
    use_case: UseCaseId,
) -> Result<Duration, Refusal> {
    let client = state.clients.by_connection.get(&connection_id);
    let unread_for = client.map_or(Duration::ZERO, |client| {
        state.unread_for(client.read_mark) + client.unread_wait + client.backlog_wait
    });
    let is_rejected = client.is_some_and(|client| client.rejected);
    let longest = state.settings.use_cases[use_case.0].client_timeout;
    let patience = Duration::from_nanos(request.timeout_ms * 1_000_000).min(longest) - unread_for;
    if state.refuses_new_tasks() || patience == Duration::ZERO {
        return Err(Refusal { cause: cause_code::FULL, retry_after: Duration::ZERO });
    }
    if is_rejected {
        return Err(Refusal { cause: cause_code::BUSY, retry_after: NO_PLACE_RETRY_AFTER });
    }
    let has_place = state.payload_budget.has_place(request.description.len());
    if state.tasks.by_id.len() >= state.max_tasks || !has_place {
        return Err(Refusal { cause: cause_code::BUSY, retry_after: longest });
    }
    let load = state.clients.load_of(connection_id);
    let admission = state.admission.try_admit_of(state.now, request.resources.service, load);
    admission.map_err(|retry_after| Refusal { cause: cause_code::BUSY, retry_after })?;
    Ok(patience)
}

/// The connection stays open; the cause promises nothing.
fn refuse_invalid(
    state: &mut SchedulerState,
    connection_id: ConnectionId,
    id: TaskId,
    error: &InvalidRequest,
) {
    state.counts.invalid_requests += 1;
    state.warn("invalid start request", &error.to_string());
    state.send(connection_id, |out| protocol::write_rejection(out, id.0, cause_code::ERROR, 0));
}

/// The use case of a request, where everything that it says is possible.
fn validate(state: &SchedulerState, request: &StartRequest<'_>) -> Result<UseCaseId, InvalidRequest> {
    let settings = &state.settings;
    let position = settings.names.use_cases.iter().position(|name| name == request.class);
    let use_case = UseCaseId(position.ok_or(InvalidRequest::UnknownUseCase)?);
    let rules = &settings.use_cases[use_case.0];
    if matches!(rules.idempotency, Idempotency::Keyed { .. }) && request.idempotency_key.is_none() {
        return Err(InvalidRequest::MissingKey);
    }
    if std::str::from_utf8(request.description).is_err() {
        return Err(InvalidRequest::InvalidDescription);
    }
    let largest = settings.machine_kinds.iter().fold(Resources::ZERO, |most, size| most.max(*size));
    let requested = Resources::new(request.resources.cores, request.resources.memory);
    if !(largest + settings.acceptance.overcommit_allowance(largest)).fits(requested) {
        return Err(InvalidRequest::TooLarge);
    }
    let longest_ms = rules.client_timeout.nanos() / 1_000_000;
    let max_patience_ms = longest_ms.saturating_mul(EXCESSIVE_PATIENCE_FACTOR);
    if request.resources.machine.is_none() && request.timeout_ms > max_patience_ms {
        return Err(InvalidRequest::ExcessivePatience);
    }
    Ok(use_case)
}

fn task_spec(request: &StartRequest<'_>, use_case: UseCaseId, deadline: Timestamp) -> TaskSpec {
    TaskSpec {
        id: TaskId(request.task),
        key: TaskKey(request.name_number),
        use_case,
        service: ServiceId(request.resources.service),
        request: Resources::new(request.resources.cores, request.resources.memory),
        deadline,
        is_resubmitted: request.is_retry,
    }
}
