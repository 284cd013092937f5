//! The line-based settings format of daemons and scenario scripts: directives, arguments, blocks.
//!
//! One grammar, typed values with units, and all errors of a file at once, each with its position and, for a
//! misspelt directive, a suggestion. A directive is a line; `{` at its end opens a block, `}` closes it; `#`
//! begins a comment; `"..."` quotes text with blanks; `include "FILE"` is replaced by the lines of that file.
//!
//! Reading takes two steps: [`parse`] turns text into [`Directive`]s, and a [`Scope`] per block turns
//! directives into typed [`Value`]s. Both add what is wrong to [`Diagnostics`] and go on. What a directive
//! means is up to the packages that read it.

#![warn(missing_docs)]

mod args;
mod diagnostics;
mod lexer;
mod parser;
mod scope;
mod value;

pub use args::Args;
pub use diagnostics::{Diagnostic, Diagnostics, SourceSpan, Sources};
pub use parser::{Directive, Word, parse, parse_text};
pub use scope::{Scope, suggest};
pub use value::{Bytes, Cores, Fraction, Name, Range, Value, ValueError};
