//! The scheduler without I/O.
//!
//! It handles what clients, machines and the endpoint list service send, reports it to the policy, and
//! carries out what the policy decides. One iteration of the event loop is one scheduling round of the
//! policy.
//!
//! In here: connections and what their end proves, attempts and the proofs that they never ran, final answers
//! and who is to receive them, copies of tasks that nobody holds.
//! Not in here: sockets, clocks, files; any choice of machine, cool-down, order or rejection, which is the
//! policy's.
//!
//! - `engine`: the public face, a state machine without I/O
//! - `state`: all that the scheduler holds beside its policy
//! - `handlers`: what each message, closed connection and timer means, and what is reported to the policy
//! - `dispatcher`: carries out what the policy decides
//! - `task`, `machine`, `peer`, `timer`: the records that the state is made of
//! - `counters`, `settings`: what operators read and write

#![warn(missing_docs)]

mod counters;
mod dispatcher;
mod engine;
mod handlers;
mod machine;
mod peer;
#[cfg(test)]
mod properties;
mod settings;
mod state;
mod task;
mod timer;

pub use counters::{Counts, Latencies};
pub use engine::Engine;
pub use settings::Settings;
pub use state::{EndpointListFault, NotReady};
