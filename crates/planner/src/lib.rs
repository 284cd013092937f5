//! The scheduler daemon: reads its settings and runs the scheduler's engine on real sockets.
//!
//! Two modes: [`run`] with a settings file of this project, and [`run_on_platform`] on the platform, which
//! configures the process by environment variables and a JSON file.
//!
//! Out of scope: how the engine or the platform adapter handles messages.

#![warn(missing_docs)]

mod daemon;
mod error;
mod http;
mod logging;
mod metrics;
mod platform;
mod scheduler;
mod settings;
mod state_dir;

pub use daemon::run;
pub use error::PlannerError;
pub use platform::run as run_on_platform;
pub use settings::{
    LedgerSettings, LedgerText, LogFormat, PlannerSettings, SettingsText, parse_operator_directives,
    parse_settings, parse_settings_text, read_settings,
};
