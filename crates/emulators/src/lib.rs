//! Stand-ins for what a planner speaks to: racks of machines, the list service, and the owners of tasks.
//!
//! For: models without I/O that behave as the operators' published rules say, troubles included. Where a rule
//! is silent the head of the model says what was guessed.
//! May not touch: sockets and clocks, the planner's engine, the module.

mod crowd;
mod dice;
mod list;
mod machine;
mod owner;
mod plan;
mod rack;
mod worth;

pub use crowd::{Crowd, CrowdSettings, CrowdTally};
pub use dice::Dice;
pub use list::{Fact, ListPlight, ListService, ListSettings};
pub use machine::{CaseModel, Drain, Happened, Machine, MachineSettings, Plight};
pub use owner::{Load, Owner, OwnerSettings, OwnerTally, ServiceCase};
pub use plan::{Planned, UseBook, UsePart, planned_key};
pub use rack::Rack;
pub use worth::{Tally, Worth};
