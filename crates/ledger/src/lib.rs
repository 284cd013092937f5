//! The books between schedulers: exchange, store, and the planner's look.
//!
//! For: the party that exchanges columns, orders and parts of shares with other schedulers; the shards that
//! the planner's loop looks into, each under its own lock; the store; and the threads that run the last two
//! beside the loop. The party has no I/O of its own, so that a day in virtual time plays it, too.
//! May not touch: the engine, the module; what a share is worth or who may have it, which `accounts` decides.
//!
//! Locks are taken one at a time and in no nest: the loop locks one shard for a look, the exchange one
//! after the other, and none is held over I/O, a sync, or the taking of another.

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
pub use store::Store;
#[cfg(not(feature = "explored"))]
pub use threads::{LedgerHandle, StartOptions, start};
