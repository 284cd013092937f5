//! Loads planners over real sockets and measures what they and their clients see.
//!
//! For: campaigns of rising load against planners in processes of their own: who asks, at which instants,
//! what is counted, how a campaign goes on where it was broken off, and how its figures are written.
//! May not touch: what planners decide; anything but loopback addresses; processes that it did not start.

mod busy;
mod crowd_host;
mod idle;
mod planners;
mod process;
mod report;
mod stage_host;
mod town;

pub use crowd_host::host as host_crowd;
pub use idle::{Campaign, run};
pub use process::{PlannerProcess, Usage};
pub use stage_host::{Programs, play as play_over_sockets};
