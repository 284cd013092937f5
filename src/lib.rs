//! mulleinhub decides which machine of a cluster runs which task. Many schedulers run side by side, each of
//! which sees only its own traffic.
//!
//! All decisions are in [`policy`]; the other modules hold the records that it works on. The policy does no
//! input or output: events arrive through [`interface::PolicyEvents`] and commands leave through
//! [`interface::Dispatch`].
#![warn(missing_docs)]

mod events;
pub mod policy;
mod slot_map;
mod state;
mod windowed_max;

pub use mulleinhub_interface as interface;
pub use mulleinhub_interface::{Duration, Pcg, Timestamp, mix};
pub use policy::{PlacementPolicy, SchedulingRound};
