//! The daemon that plans: its settings file, and the engine behind real sockets.
//!
//! For: reading `mulleinhub-planner`'s settings and running the engine with them.
//! May not touch: what the engine does with what it hears.

mod conf;
mod daemon;
mod metrics;
mod platform;

pub use conf::{Conf, ConfText, LogFormat, conf_of_text, parse_conf, read_conf};
pub use daemon::run;
pub use platform::run as run_on_platform;
