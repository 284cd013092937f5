//! Reading the arguments of one directive, one after the other.

use crate::diagnostics::Diagnostics;
use crate::parser::{Directive, Word};
use crate::value::Value;

/// The arguments of one directive, and how many of them were read.
pub struct Args<'a> {
    directive: &'a Directive,
    index: usize,
}

impl<'a> Args<'a> {
    /// All arguments of a directive.
    pub fn of(directive: &'a Directive) -> Self {
        Self { directive, index: 0 }
    }

    /// The next argument, which stays the next; `None` after the last.
    pub fn peek(&self) -> Option<&'a Word> {
        self.directive.args.get(self.index)
    }

    /// The next argument as it is written; `None` after the last.
    pub fn next_word(&mut self) -> Option<&'a Word> {
        let word = self.peek()?;
        self.index += 1;
        Some(word)
    }

    /// The next argument as a value. Adds an error where it is missing or malformed.
    pub fn next<T: Value>(&mut self, diagnostics: &mut Diagnostics) -> Option<T> {
        let Some(word) = self.next_word() else {
            let name = &self.directive.name.text;
            let message = format!("{name} lacks an argument: {} is wanted", T::EXPECTED);
            diagnostics.add(&self.directive.span, message);
            return None;
        };
        match T::parse(&word.text) {
            Ok(value) => Some(value),
            Err(error) => {
                diagnostics.add(&word.span, format!("{}: {error}", word.text));
                None
            }
        }
    }

    /// Skips the next argument if it is this keyword, without quotes; returns whether it was.
    pub fn next_if(&mut self, keyword: &str) -> bool {
        let matches = self.peek().is_some_and(|word| !word.quoted && word.text == keyword);
        self.index += usize::from(matches);
        matches
    }

    /// Adds an error if an argument was not read.
    pub fn finish(self, diagnostics: &mut Diagnostics) {
        if let Some(word) = self.peek() {
            let message = format!("{} takes no more arguments here", self.directive.name.text);
            diagnostics.add(&word.span, message);
        }
    }
}
