//! What the platform speaks: binary messages between owners, schedulers and machines, and the bulletin, a
//! stream of events over HTTP.
//!
//! For: bounded incremental decoders, and writing of messages. Whatever is cut, spoilt or endless costs one
//! bounded buffer and an error in words.
//! May not touch: sockets, clocks, any state of tasks; what a message means for one.

mod bulletin;
mod events;
mod frames;
mod message;
mod setup;

pub use bulletin::{Body, Head, Stream};
pub use events::{Change, Event, Known, Listed, event, known};
pub use frames::{Frame, Frames, LEAST, MOST};
pub use message::{Cause, Why, cause, note, why};
pub use message::{write_answer, write_message, write_refusal, write_setup, write_with_cause};
pub use setup::{Figures, SetUp, Unusable};

/// What is wrong with what a peer sent, in words for a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bad(pub String);

impl std::fmt::Display for Bad {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Bad {}

/// Types of messages.
pub mod kind {
    pub const SET_UP: u8 = 1;
    pub const PROGRESS: u8 = 6;
    pub const ANSWER: u8 = 9;
    /// A refusal, a set-up given up, or the release of a task that stands: the cause and the moment tell.
    pub const RELEASE: u8 = 12;
    pub const RELEASE_HEARD: u8 = 16;
    pub const NOTE: u8 = 44;
    pub const MOVE: u8 = 51;
    pub const TEST: u8 = 52;
    pub const TESTED: u8 = 53;
}

/// Codes of parameters.
pub mod code {
    pub const CLASS: u8 = 100;
    pub const PATIENCE: u8 = 103;
    pub const AGAIN: u8 = 109;
    pub const NAME: u8 = 112;
    pub const FIGURES: u8 = 115;
    pub const STAY_AWAY: u8 = 118;
    pub const NOTE: u8 = 121;
    pub const FIGURE: u8 = 136;
    pub const KEY: u8 = 139;
    pub const CAUSE: u8 = 142;
    pub const DESCRIPTION: u8 = 145;
}
