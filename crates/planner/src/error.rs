//! Why a planner could not start, or had to stop.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Why a planner could not start, or had to stop.
#[derive(Debug)]
pub enum PlannerError {
    /// The settings or the operators' directives are invalid.
    InvalidSettings {
        /// All faults with their places, ready to print, with a line break at the end.
        report: String,
    },
    /// The settings have no `listen` address.
    MissingListenAddress {
        /// The settings file.
        path: PathBuf,
    },
    /// A file or directory can't be used.
    File {
        /// The file or directory.
        path: PathBuf,
        /// What the system reported.
        error: std::io::Error,
    },
    /// The system refused something that is not a file.
    System {
        /// What was refused.
        operation: Operation,
        /// What the system reported.
        error: std::io::Error,
    },
    /// The planner shares a ledger, but its own address is not among the members.
    NotALedgerMember,
    /// The ledger could not be started.
    Ledger {
        /// The ledger's own message.
        reason: String,
    },
    /// The platform's configuration file is invalid.
    InvalidConfiguration {
        /// The configuration file.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
    /// The environment lacks a variable.
    MissingVariable {
        /// The variable's name.
        name: &'static str,
    },
    /// An environment variable has no address and port.
    InvalidAddress {
        /// The variable's name.
        variable: &'static str,
        /// Its value.
        value: String,
    },
}

/// What the system was asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Create a poll instance, or wait for events.
    Poll,
    /// Install the signal handlers.
    HandleSignals,
    /// Listen for clients.
    Listen(SocketAddr),
    /// Listen for readers of metrics.
    ListenForMetrics(SocketAddr),
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Poll => write!(f, "poll"),
            Self::HandleSignals => write!(f, "signals"),
            Self::Listen(address) => write!(f, "listen {address}"),
            Self::ListenForMetrics(address) => write!(f, "metrics {address}"),
        }
    }
}

impl PlannerError {
    /// For `map_err`: a file or directory that can't be used.
    pub(crate) fn file(path: &Path) -> impl FnOnce(std::io::Error) -> Self {
        move |error| Self::File { path: path.to_owned(), error }
    }

    /// For `map_err`: an operation that the system refused.
    pub(crate) fn system(operation: Operation) -> impl FnOnce(std::io::Error) -> Self {
        move |error| Self::System { operation, error }
    }
}

impl fmt::Display for PlannerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidSettings { report } => write!(f, "{report}"),
            Self::MissingListenAddress { path } => write!(f, "{}: listen is missing", path.display()),
            Self::File { path, error } => write!(f, "{}: {error}", path.display()),
            Self::System { operation, error } => write!(f, "{operation}: {error}"),
            Self::NotALedgerMember => {
                write!(f, "books: this planner's own address is missing among the members")
            }
            Self::Ledger { reason } => write!(f, "{reason}"),
            Self::InvalidConfiguration { path, reason } => write!(f, "{}: {reason}", path.display()),
            Self::MissingVariable { name } => write!(f, "{name} is not set"),
            Self::InvalidAddress { variable, value } => {
                write!(f, "{variable}: {value:?} is no address and port")
            }
        }
    }
}

impl std::error::Error for PlannerError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::File { error, .. } | Self::System { error, .. } => Some(error),
            _ => None,
        }
    }
}

impl From<PlannerError> for String {
    fn from(error: PlannerError) -> Self {
        error.to_string()
    }
}
