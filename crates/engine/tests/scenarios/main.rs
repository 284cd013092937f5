//! Scenarios of the scheduler without I/O: what it writes, frame by frame, while its peers misbehave.

mod answers;
mod backpressure;
mod client_limits;
mod endpoint_list;
mod harness;
mod invalid_input;
mod lost_connections;
mod partial_messages;
mod quota;
mod restarts_and_pauses;
mod slow_start;
mod thundering_herd;
