//! The records of a task: its order to the module, and its job here.

use super::Received;
use crate::desk::{Desk, Job};
use mulleinhub_interface::{Resources, ServiceId, TaskId, TaskKey, TaskSpec, Timestamp, UseCaseId};
use mulleinhub_protocol::{Bad, Shape};
use mulleinhub_sans_io::ConnectionId;

/// The order of a task of this shape.
pub(super) fn order(id: TaskId, shape: &Shape, deadline: Timestamp) -> TaskSpec {
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

/// A job without a send, of a task that arrived then.
pub(super) fn new_job(
    order: TaskSpec,
    shape: Shape,
    owner: &str,
    link: ConnectionId,
    came: Timestamp,
) -> Job {
    Job {
        order,
        shape,
        owner: owner.to_owned(),
        owner_link: Some(link),
        came,
        sends: 0,
        open: None,
        may_have_run: None,
        withdrawn: false,
        claiming: false,
        answered: false,
        ticket: None,
    }
}

/// Whether the settings have the use case of a task.
pub(super) fn check_use_case(desk: &Desk, shape: &Shape) -> Received {
    let known = desk.settings.use_cases.len();
    if (shape.use_case as usize) < known {
        Ok(())
    } else {
        Err(Bad(format!("use case {} of {known}", shape.use_case)))
    }
}
