//! What schedulers keep of each other, without I/O, clocks and threads.
//!
//! For: columns of numbered rows, each with one writer and chained by digests, which others copy; the
//! operators' orders, which merge alike in whatever order they are heard; and who of the members is there,
//! slow or gone.
//! May not touch: sockets, files, threads; what a share is worth or who may have it, which `accounts`
//! decides.

mod log;
mod log_kind;
mod log_store;
mod membership;
mod name;
mod orders;
mod replica_set;
mod row;
mod state;
mod touched;

pub use log::Log;
pub use log_kind::{Changes, KINDS, KeptLogs, Kind, Reached};
pub use log_store::{Change, Kept, LogHead, LogStore, Piece, Taken};
pub use membership::{MemberState, Membership};
pub use name::Name;
pub use orders::{Order, Orders, Standing, Subject, Word};
pub use replica_set::{Site, replicas};
pub use row::{Digest, Entry, LogId};
pub use state::{
    Announced, Balance, Before, COMES_AGAIN, Displaced, Parts, READS_WORK_LOGS, ShareTransfer, State,
    TAKEN_BACK, WRITES_WORK_LOG, Work,
};
pub use touched::{Touch, TouchedTeams};

/// What a peer or a file told that can't be, in words.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bad(pub String);

impl std::fmt::Display for Bad {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Bad {}
