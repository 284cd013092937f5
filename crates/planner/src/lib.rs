//! The daemon that plans: its settings file, and the engine behind real sockets.
//!
//! For: reading `mulleinhub-planner`'s settings and running the engine with them.
//! May not touch: what the engine does with what it hears.

mod books;
mod conf;
mod daemon;
mod metrics;
mod platform;

pub use books::{BooksConf, parse_orders};
pub use conf::{BooksText, Conf, ConfText, LogFormat, conf_of_text, parse_conf, read_conf};
pub use daemon::run;
pub use platform::run as run_on_platform;
