//! Limits on client connections and on the requests that clients make.
//!
//! [`ConnectionLimits`] decides which connections are accepted, probed, evicted or closed, and whose input is
//! processed first when many clients send at once. [`AdmissionControl`] decides which task requests are
//! admitted while the number of tasks in flight is bounded. [`ConnectionPool`] counts the connections to
//! machines, [`AcceptBudget`] and its neighbours split the descriptors of a small process, and [`InputBudget`] and
//! [`PayloadBudget`] its memory.
//!
//! A connection with a task in flight is never evicted while an idle one exists.
//!
//! The crate performs no I/O and knows neither frames nor tasks: its caller reports what happens, identifies
//! connections by numbers of its own and asks what to do. All state is in memory and belongs to the thread
//! that runs the caller.

#![warn(missing_docs)]

mod admission;
mod connection;
mod connection_pool;
mod connections;
mod deadlines;
mod descriptor_budget;
mod fair_queue;
mod input_queues;
mod load_limit;
mod memory_budget;
mod name_usage;
mod reason;
mod settings;
mod timer_wheel;
mod unidentified;

pub use admission::{AdmissionControl, ClientLoad};
pub use connection_pool::ConnectionPool;
pub use connections::ConnectionLimits;
pub use descriptor_budget::{
    AcceptBudget, MAX_CONNECTIONS_PER_MACHINE, machine_closing_allowance, machine_connection_limit,
    max_tasks_in_flight, max_tasks_tracked,
};
pub use fair_queue::FairQueue;
pub use load_limit::{AcceptRate, AdaptiveLimit};
pub use memory_budget::{InputBudget, PayloadBudget, PayloadReservation};
pub use reason::{Action, DisconnectReason};
pub use settings::Settings;
pub use timer_wheel::TimerWheel;
