//! Monthly spending caps of teams, divided among the schedulers of a fleet.
//!
//! Each scheduler owns a share of every team's cap. It draws reservations out of its share into a local
//! [`ReservationPool`], from which new workers are admitted without asking anybody, and transfers parts of
//! its share to schedulers that need more. Operators may change a team's cap and suspend an account; a
//! suspended account gets no new workers.
//!
//! * [`ReservationPool`] decides whether a worker is admitted, and accounts for what workers cost.
//! * [`Ledger`] fills the pools, writes this scheduler's log entries, and requests and grants transfers.
//!
//! Amounts of money are in micro-units, rates in micro-units per second. This crate has no sockets, files,
//! clocks or threads and does not choose machines: time is an argument of every call.

#![warn(missing_docs)]

mod announcer;
mod calendar;
mod ledger;
mod money;
mod pace;
mod readmission;
mod reservation_pool;
mod settings;
mod share_policy;
mod work_routing;

pub use calendar::{Calendar, CalendarError, Month};
pub use ledger::{Ledger, Phase, ShareReply, ShareRequest, TICK_INTERVAL, TeamStatus};
pub use money::{GIB, Prices};
pub use pace::Pace;
pub use reservation_pool::{
    PoolSnapshot, Readmission, ReservationPool, ReservationPools, RetryAfter, TeamLimits, WorkerEvent,
};
pub use settings::{Settings, Team};
