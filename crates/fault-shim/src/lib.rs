//! System-call faults for tests: a library that is loaded into one process with `LD_PRELOAD` and replaces
//! functions of the C library.
//!
//! [`FAULT_PLAN`](PLAN_VARIABLE) names a file with one [`Rule`] a line, [`FAULT_LOG`](LOG_VARIABLE) the file to
//! which every injected fault is appended, [`FAULT_SEED`](SEED_VARIABLE) the seed of the draws. Without a plan
//! all calls pass through. A run counts only if its log shows that faults were injected.

#![warn(missing_docs)]

mod calls;
mod injector;
mod plan;

pub use injector::{FOLDER_VARIABLE, LOG_VARIABLE, PLAN_VARIABLE, SEED_VARIABLE};
pub use plan::{Call, Fault, PlanError, Rule, parse_plan};
