//! The frames of the conversations: client to planner, planner to machine, planner to list service.
//!
//! For: turning messages into frames and back, with bounds on every length, and knowing which message belongs
//! to which conversation. `docs/protocol.md` has the same in words and as a schema.
//! May not touch: sockets, the decisions, what a message leads to.

mod frame;
mod message;

pub use frame::{Bad, Frames, MOST_FRAME, Spare, decode, encode};
pub use message::*;
