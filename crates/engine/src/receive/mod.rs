//! Receiving: what each message, disconnection and timer means, and what the module is told of it.
//!
//! What proves that a send never ran, which the second rule rests on:
//! - an offer of which no byte left this process (`Whole` unwritten, or taken back),
//! - a machine's own word: nacked, recalled before it was accepted,
//! - the same life of the machine, connected again, doesn't hold the send: a new greeting ends the old
//!   connection for the machine, so what it had not accepted by then it never will.
//!
//! Everything else may have run: half-written and written offers whose machine can't be asked, time-outs, and
//! whatever a former life of the machine was sent.
//!
//! - `inbound`: frames of the connections that have any, a bounded number of them in one turn
//! - `dispatch`: which message belongs to which conversation, and who handles it
//! - `greeting`: a client's greeting, and the refusal of peers that break the protocol
//! - `client`: requests of clients; `task`: the records of a task that they create
//! - `machine`: messages of machines; `inventory`: the tasks that a machine reports after a greeting
//! - `outcome`: a send is accepted, started or closed
//! - `disconnect`: what the end of a connection proves
//! - `timers`: time-outs, reconnects and pings
//! - `machine_list`: the list of machines
//! - `status`: lines for the operators

mod client;
mod disconnect;
mod dispatch;
mod greeting;
mod inbound;
mod inventory;
mod machine;
mod machine_list;
mod outcome;
mod status;
mod task;
mod timers;

pub use inbound::receive_pending;
pub use machine_list::start;
pub use outcome::close_pending;
pub use status::status;
pub use timers::{on_time_out, on_timer};

use mulleinhub_protocol::Bad;

/// Whether a message was understood, or how it breaks the protocol.
type Received = Result<(), Bad>;
