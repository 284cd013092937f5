//! The platform's wire formats: binary messages between clients, schedulers and machines, and the endpoint
//! list, a stream of server-sent events over HTTP.
//!
//! The decoders are incremental and bounded: input that is truncated, corrupt or endless costs one bounded
//! buffer and an error. The crate performs no I/O, has no clock and keeps no state of tasks.

#![warn(missing_docs)]

pub mod cause_code;
pub mod code;
mod endpoint_events;
mod error;
mod event_stream;
mod frame;
pub mod kind;
mod message;
mod start_request;

pub use cause_code::Cause;
pub use endpoint_events::{
    Endpoint, InitialEvents, ListChange, ListEvent, parse_event, parse_initial_events,
};
pub use error::ProtocolError;
pub use event_stream::{BodyFraming, EventStream, ResponseHead};
pub use frame::{Frame, FrameBuffer, MAX_LENGTH, MAX_MESSAGE_SIZE, MAX_PARAMETERS, MIN_LENGTH};
pub use message::{Reason, cause, note, reason};
pub use message::{write_acceptance, write_message, write_rejection, write_start_request, write_with_cause};
pub use start_request::{InvalidRequest, ResourceRequest, StartRequest};
