//! The line-based settings of daemons and day scripts: directive, arguments, blocks.
//!
//! For: one grammar, typed values with units, and every fault of a file at once, each with its place and, for
//! a misspelt directive, a suggestion. A directive is a line; `{` at its end opens a block, `}` closes it;
//! `#` begins a comment; `"..."` keeps blanks; `include "FILE"` puts another file's lines in its place.
//! May not touch: what any directive means.

mod fault;
mod lexer;
mod parse;
mod scope;
mod value;

pub use fault::{Fault, Faults, Place, Sources};
pub use parse::{Directive, Word, parse, parse_text};
pub use scope::{Args, Scope, suggest};
pub use value::{Bytes, Cores, Name, Range, Share, Value};
