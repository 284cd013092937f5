//! mulleinhub decides which machine of a cluster runs which task. Many copies run side by side, each seeing
//! only its own traffic. All decisions stand in [`brain`]; the rest is what it is called with and built from.

pub mod brain;
mod mind;
mod peak;
#[cfg(test)]
mod properties;
mod slab;
mod state;

pub use brain::{PlacementPolicy, SchedulingRound};
pub use mulleinhub_interface as interface;
pub use mulleinhub_interface::{Duration, Pcg, Timestamp, mix};
