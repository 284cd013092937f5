//! Days: the script of one, and the stage on which it is played.
//!
//! For: reading day scripts, saying in words what they do, drawing random troubles, and the stage: all
//! stand-ins of a day behind taps, which record every frame and do the network's troubles. The stage has no
//! I/O of its own: planners reach it through its doors, by sockets or in virtual time.
//! May not touch: planners' insides, sockets, clocks, how a day is judged.

mod script;
mod stage;
mod tap;
mod trouble;

pub use script::{BooksDay, CaseDay, Day, Fleet, ListModel, MachineModel, OwnerModel, Spot, parse_day};
pub use stage::{Behind, Fate, Look, PlannerDeed, Progress, Score, Stage, list_door};
pub use trouble::{Target, Trouble, What};
