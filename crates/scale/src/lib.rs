//! Measures what each role of the scheduler costs as the fleet grows.
//!
//! A profile says what to run and which variable to change. A run gives samples by role and metric; runs of
//! one profile make a result file. Slopes are fitted to result files, and the capacity page is written from
//! both.

pub mod ledgers;
pub mod limits;
pub mod meter;
pub mod profile;
pub mod results;
