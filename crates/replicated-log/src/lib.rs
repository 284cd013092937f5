//! What schedulers replicate among each other, without I/O, clocks and threads.
//!
//! - Logs of numbered entries, each with a single writer and chained by digests, which the other schedulers
//!   copy ([`LogStore`]).
//! - The operators' directives, which merge to the same result in whatever order they arrive
//!   ([`Directives`]).
//! - Which members are alive, suspected or dead ([`Membership`]), and which of them hold a copy of a log
//!   ([`choose_replicas`]).
//!
//! All state is in memory and owned by the caller, who uses it from one thread; what has to survive a restart
//! is handed out as [`LogChange`]. Sockets, files and threads don't belong here, nor does the decision what a
//! share is worth and who may have it, which is that of the `quota` crate.

#![warn(missing_docs)]

mod apply;
mod balance;
mod digest;
mod directives;
mod dirty_teams;
mod entry;
mod error;
mod log;
mod log_id;
mod log_kind;
mod log_store;
mod membership;
mod name;
mod persistence;
mod replica_set;
mod state;
mod work;

pub use balance::{Balance, ShareTransfer, SplitAmount};
pub use digest::Digest;
pub use directives::{Directive, DirectiveAction, Directives, EffectiveDirective, Subject};
pub use dirty_teams::DirtyTeams;
pub use entry::Entry;
pub use error::{DamagedLog, LogError};
pub use log::{ChainedEntry, Log};
pub use log_id::LogId;
pub use log_kind::{LOG_KINDS, LogKind, LogPositions};
pub use log_store::{Appended, EntryBatch, LogHead, LogStore};
pub use membership::{MemberState, Membership};
pub use name::Name;
pub use persistence::{LogChange, LogChanges, PersistedEntry, PersistedLogs};
pub use replica_set::{Location, choose_replicas};
pub use state::{LogState, Predecessor, READS_WORK_LOGS, WRITES_WORK_LOG};
pub use work::{ANNOUNCEMENT_WITHDRAWN, AnnouncedWork, DisplacedWork, RESTART_WINDOW_MS, RunningWork};
