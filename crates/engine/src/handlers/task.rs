//! The records of a task: its specification for the policy, and its record here.

use super::Handled;
use crate::state::SchedulerState;
use crate::task::TaskRecord;
use mulleinhub_interface::{Resources, ServiceId, TaskId, TaskKey, TaskSpec, Timestamp, UseCaseId};
use mulleinhub_protocol::{Bad, Shape};
use mulleinhub_sans_io::ConnectionId;

/// The specification of a task of this shape.
pub(super) fn task_spec(id: TaskId, shape: &Shape, deadline: Timestamp) -> TaskSpec {
    TaskSpec {
        id,
        key: TaskKey(shape.key),
        use_case: UseCaseId(shape.use_case as usize),
        service: ServiceId(shape.service),
        request: Resources::new(shape.cores, shape.memory),
        deadline,
        is_resubmitted: shape.again,
    }
}

/// The record of a task without an attempt, accepted at this time.
pub(super) fn new_record(
    spec: TaskSpec,
    shape: Shape,
    client: &str,
    connection: ConnectionId,
    accepted_at: Timestamp,
) -> TaskRecord {
    TaskRecord {
        spec,
        shape,
        client: client.to_owned(),
        client_connection: Some(connection),
        accepted_at,
        attempts: 0,
        attempt: None,
        may_have_run_since: None,
        cancelled: false,
        claiming: false,
        answered: false,
        ticket: None,
    }
}

/// Whether the settings have the use case of a task.
pub(super) fn check_use_case(state: &SchedulerState, shape: &Shape) -> Handled {
    let known = state.settings.use_cases.len();
    if (shape.use_case as usize) < known {
        Ok(())
    } else {
        Err(Bad(format!("use case {} of {known}", shape.use_case)))
    }
}
