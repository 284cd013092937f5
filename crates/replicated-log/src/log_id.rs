//! The identity of a log.

use crate::name::Name;
use minicbor::{Decode, Encode};

/// Identifies a log: a scheduler begins a new one with each incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct LogId {
    /// The only scheduler that writes the log.
    #[n(0)]
    pub writer: Name,
    /// The incarnation of the writer that wrote it; greater at each start of the writer.
    #[n(1)]
    pub incarnation: u64,
}
