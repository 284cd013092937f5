//! Errors of reading the settings object.

use std::fmt;

/// What is wrong with the settings object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// A key is missing.
    Missing {
        /// The key.
        key: String,
    },
    /// The value of a key has the wrong type.
    WrongType {
        /// The key.
        key: String,
        /// What its value must be.
        expected: &'static str,
    },
}

impl SettingsError {
    pub(crate) fn missing(key: &str) -> Self {
        Self::Missing { key: key.to_owned() }
    }

    pub(crate) fn wrong_type(key: &str, expected: &'static str) -> Self {
        Self::WrongType { key: key.to_owned(), expected }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing { key } => write!(f, "settings: {key} is missing"),
            Self::WrongType { key, expected } => write!(f, "settings: {key} must be {expected}"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// For callers that report configuration errors as text.
impl From<SettingsError> for String {
    fn from(error: SettingsError) -> Self {
        error.to_string()
    }
}
