//! Writes the log to standard error.

use crate::settings::LogFormat;
use tracing_subscriber::EnvFilter;

/// Level without `RUST_LOG`.
const DEFAULT_LEVEL: &str = "info";

/// Installs the process's log, with the level of `RUST_LOG`.
pub(crate) fn start_logging(format: LogFormat) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(DEFAULT_LEVEL));
    // A line that can't be written is dropped: the subscriber's own report of that goes to standard error too, and
    // panics there.
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .log_internal_errors(false);
    // A process has one log; where it is installed already, that one serves.
    let _ = match format {
        LogFormat::Text => subscriber.with_ansi(false).try_init(),
        LogFormat::Json => subscriber.json().try_init(),
    };
}
