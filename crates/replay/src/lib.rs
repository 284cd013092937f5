//! Replays of traces: the same owners, planners and machines as on any day, with work and fleet of a trace.
//!
//! For: making a day of a trace's sample, playing it in virtual time under the module or a plain policy, a
//! bound that capacity alone sets, and reports of it: JSON, text, and one page with plots. May not touch: how
//! traces are read, what planners decide, sockets and clocks.

mod bound;
mod build;
mod play;
mod report;

pub use bound::{Bound, bound};
pub use build::{DEFAULT_MAP, LeftOut, Replay, build, read_map};
pub use play::{Outcome, Point, play};
pub use report::{Report, html, text};
