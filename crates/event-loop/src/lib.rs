//! Event loop that connects a [`StateMachine`](mulleinhub_sans_io::StateMachine) to real sockets.
//!
//! Job: everything between the operating system and a state machine: listening, connecting, reading, writing,
//! timeouts, signals and wake-ups. One thread, one `poll`, no async runtime.
//!
//! All input that can be read is handed to the state machine before it is polled, also after this process was
//! paused, so that no peer is considered silent while its bytes wait here.
//!
//! Out of scope: the meaning of the bytes. Only loopback addresses are served.

#![warn(missing_docs)]

mod clock;
mod event_loop;
mod socket;
mod waker;

pub use clock::{Clock, duration_from_std};
pub use event_loop::{EventLoop, IterationOutcome};
pub use socket::descriptor_limit;
pub use waker::Waker;
