//! What each message, closed connection and timer means, and what is reported to the policy.
//!
//! These prove that an attempt never ran, so that a task that must not run twice may be retried:
//! - an offer of which no byte left this process (unsent as a whole, or retracted),
//! - the machine's own statement: rejected, or cancelled before it was accepted,
//! - the same incarnation of the machine, connected again, doesn't hold the attempt: a new handshake ends the
//!   old connection for the machine, so what it had not accepted by then it never will.
//!
//! Everything else may have run: offers sent in part or as a whole whose machine can't be asked, timeouts,
//! and whatever an earlier incarnation of the machine was sent.
//!
//! - `arrivals`: frames of the connections that have any, a bounded number of them in one iteration
//! - `dispatch`: which message belongs to which conversation, and who handles it
//! - `greeting`: a client's greeting, and the refusal of peers that break the protocol
//! - `client`: requests of clients; `task`: the records of a task that they create
//! - `machine`: messages of machines; `inventory`: the tasks that a machine reports after a handshake
//! - `attempt`: an attempt is accepted, starts or ends
//! - `disconnect`: what the end of a connection proves
//! - `timers`: timeouts, reconnects and pings
//! - `endpoint_list`: the list of machines
//! - `status`: lines for the operators
//!
//! The policy calls the handlers within its scheduling round. They borrow the state for a moment at a time
//! and never across a call of the policy, which may call the dispatcher.

mod arrivals;
mod attempt;
mod client;
mod disconnect;
mod dispatch;
mod endpoint_list;
mod greeting;
mod inventory;
mod machine;
mod status;
mod task;
mod timers;

pub use arrivals::handle_arrivals;
pub use attempt::handle_outcomes;
pub use endpoint_list::start;
pub use status::status;
pub use timers::{on_attempt_timeout, on_timer};

use mulleinhub_protocol::Bad;

/// Whether a message was understood, or how it breaks the protocol.
type Handled = Result<(), Bad>;
