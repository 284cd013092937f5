//! The types that the scheduling policy shares with the programs around it.
//!
//! These are identifiers, resource amounts, durations, the description of tasks and machines, the settings of
//! a policy, and the traits through which events reach a policy ([`PolicyEvents`]) and commands leave it
//! ([`Dispatch`]). The crate holds no state, starts no thread and decides nothing.
#![warn(missing_docs)]

mod ids;
mod machine;
mod outcome;
mod policy;
mod quota;
mod random;
mod resources;
mod settings;
mod task;
mod time;

pub use ids::{CellId, KindId, MachineId, ServiceId, TaskId, TaskKey, UseCaseId, ZoneId};
pub use machine::{ListKind, LoadReport, MachineEntry, MachineState};
pub use outcome::{FailureCause, Outcome, Rejection};
pub use policy::{Dispatch, Policy, PolicyEvents};
pub use quota::{Quota, Ticket};
pub use random::{Pcg, mix};
pub use resources::Resources;
pub use settings::{AcceptanceRules, Discovery, LocalityCosts, PolicySettings, SlowStart};
pub use task::{FailureDomain, Idempotency, TaskSpec, UseCase};
pub use time::{Duration, Timestamp};
