//! Settings that planners and scenarios share: use cases, kinds of machines, the scheduling rules and the
//! ledger.
//!
//! Reads these directives the same way from every file, checks their values, and writes them as settings
//! text. What is done with the values is up to the packages that read them. Directive names are part of the
//! file format; the fields carry the names that the scheduler's interface uses.

#![warn(missing_docs)]

mod ledger;
mod machine_kind;
mod rules;
mod text;
mod use_case;
mod validation;

pub use ledger::{SharedLedgerSettings, SiteSettings, TeamSettings, read_ledger_settings};
pub use machine_kind::{MachineKind, gib, read_machine_kind};
pub use rules::{RuleSettings, read_rules};
pub use text::format_duration;
pub use use_case::{UseCaseSettings, read_use_case};
pub use validation::{check, directive_spans, range_or};
