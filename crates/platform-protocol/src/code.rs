//! Parameter codes.

/// The use case, by name.
pub const CLASS: u8 = 100;
/// How long the requester waits, in milliseconds.
pub const TIMEOUT: u8 = 103;
/// "1" for a retry.
pub const RETRY: u8 = 109;
/// The task's name, 16 hexadecimal digits.
pub const NAME: u8 = 112;
/// The resource request.
pub const RESOURCES: u8 = 115;
/// The time after which a rejected request is to be retried, in milliseconds.
pub const RETRY_AFTER: u8 = 118;
/// The name of a note.
pub const NOTE: u8 = 121;
/// The value of a note.
pub const VALUE: u8 = 136;
/// The idempotency key, 32 hexadecimal digits.
pub const IDEMPOTENCY_KEY: u8 = 139;
/// The cause of a release.
pub const CAUSE: u8 = 142;
/// The task's description.
pub const DESCRIPTION: u8 = 145;
