//! The quota ledger of one scheduler: its exchange with other schedulers, its store, and the planner's
//! access.
//!
//! - `exchange`: the state machine that exchanges logs, directives and quota transfers with other members. It
//!   does no I/O, so that simulations in virtual time run the same code, and owns the ledger.
//! - `shared_pools`: the reservation pools, which the planner's event loop and the exchange share.
//! - `store`: persistence of the logs on disk.
//! - `threads`: the threads that run the exchange and the store beside the planner's event loop.
//!
//! What a share is worth and who may have it is decided by `mulleinhub-quota`; nothing here knows the engine.
//!
//! Locking: one lock at a time, never nested, and none is held during I/O or a sync. The planner's event
//! loop locks one shard of the pools per call, the exchange one after the other.

#![warn(missing_docs)]

#[cfg(not(feature = "explored"))]
mod exchange;
mod shared_pools;
#[cfg(not(feature = "explored"))]
mod store;
#[cfg(not(feature = "explored"))]
mod threads;

#[cfg(not(feature = "explored"))]
pub use exchange::{Exchange, ExchangeCounters, Member};
pub use shared_pools::{AdmissionHandle, SharedPools};
#[cfg(not(feature = "explored"))]
pub use store::{Store, StoreError};
#[cfg(not(feature = "explored"))]
pub use threads::{LedgerHandle, StartError, StartOptions, start};
