//! The frames of the conversations: client to planner, planner to machine, planner to list service.
//!
//! For: turning messages into frames and back, with bounds on every length, and knowing which message belongs
//! to which conversation. `docs/protocol.md` has the same in words and as a schema.
//! May not touch: sockets, the decisions, what a message leads to.

mod frame;
mod list;
mod message;

pub use frame::{Bad, Frames, MOST_FRAME, Spare, TooLong, decode, encode, try_encode};
pub use list::{
    LIST_PIECES, ListReader, MOST_ADDRESS_BYTES, MOST_LISTED, MOST_RESTARTS, WholeList, cut, cut_held,
    decode_list, encode_in_one, encode_list,
};
pub use message::*;
