//! What is wrong with what a peer sent.

use mulleinhub_platform_protocol as protocol;
use std::fmt;

/// A message that ends the connection it came on.
#[derive(Debug)]
pub enum ProtocolError {
    /// The bytes are no message.
    Decode(protocol::ProtocolError),
    /// A message of a type that this peer does not send.
    UnexpectedType(u8),
    /// A start request for a task that is held already.
    DuplicateTask,
    /// An acceptance without the description that goes back to the client.
    MissingDescription,
    /// A release without its cause.
    MissingCause,
    /// A message that stops short.
    IncompleteMessage,
}

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Decode(error) => error.fmt(f),
            Self::UnexpectedType(kind) => write!(f, "unexpected message type {kind}"),
            Self::DuplicateTask => f.write_str("task id is already in use"),
            Self::MissingDescription => f.write_str("acceptance without a description"),
            Self::IncompleteMessage => f.write_str("message stops short"),
            Self::MissingCause => f.write_str("release without a cause"),
        }
    }
}

impl std::error::Error for ProtocolError {}

impl From<protocol::ProtocolError> for ProtocolError {
    fn from(error: protocol::ProtocolError) -> Self {
        Self::Decode(error)
    }
}

/// Why a start request is refused though its message is complete. The connection stays open.
#[derive(Debug)]
pub enum InvalidRequest {
    /// A part of it is missing or malformed.
    Malformed(protocol::InvalidRequest),
    /// Its use case is not in the settings.
    UnknownUseCase,
    /// Its use case needs an idempotency key and it has none.
    MissingKey,
    /// Its description is not UTF-8.
    InvalidDescription,
    /// It requests more resources than any machine accepts.
    TooLarge,
    /// Its client would wait many times longer than the longest timeout.
    ExcessivePatience,
    /// As many tasks are held as this process may hold.
    TooManyTasks,
    /// A task of the same id may have run a short while ago, and must not run again.
    RepeatedId,
    /// It hands over a task on a machine that no list named in time.
    UnlistedMachine,
}

impl fmt::Display for InvalidRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed(error) => error.0,
            Self::UnknownUseCase => "unknown use case",
            Self::MissingKey => "missing idempotency key",
            Self::InvalidDescription => "description is not UTF-8",
            Self::TooLarge => "resource request exceeds every machine",
            Self::ExcessivePatience => "patience exceeds every timeout",
            Self::TooManyTasks => "too many tasks",
            Self::RepeatedId => "task id was in use, and its task may have run",
            Self::UnlistedMachine => "machine is not listed",
        })
    }
}

impl std::error::Error for InvalidRequest {}

impl From<protocol::InvalidRequest> for InvalidRequest {
    fn from(error: protocol::InvalidRequest) -> Self {
        Self::Malformed(error)
    }
}
