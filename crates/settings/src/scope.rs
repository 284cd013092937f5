//! Reading the directives of one block by name, with errors for missing, unknown, repeated and malformed
//! ones.

use crate::args::Args;
use crate::diagnostics::{Diagnostics, SourceSpan};
use crate::parser::Directive;
use crate::value::Value;

/// The least Jaro-Winkler similarity, from 0 to 1, of a misspelt name to one that is suggested.
const MIN_SIMILARITY: f64 = 0.75;

/// The directives of one block, and the names that were asked for so far.
pub struct Scope<'a> {
    directives: &'a [Directive],
    span: SourceSpan,
    known: Vec<&'static str>,
}

impl<'a> Scope<'a> {
    /// A scope over these directives; errors about missing directives are shown at `span`.
    pub fn new(directives: &'a [Directive], span: SourceSpan) -> Self {
        Self { directives, span, known: Vec::new() }
    }

    /// A scope over the block of a directive; empty where it has no block.
    pub fn of(directive: &'a Directive) -> Self {
        Self::new(directive.block.as_deref().unwrap_or_default(), directive.span.clone())
    }

    /// Every directive of this name.
    pub fn each(&mut self, name: &'static str) -> Vec<&'a Directive> {
        self.known.push(name);
        self.directives.iter().filter(|directive| directive.name.text == name).collect()
    }

    /// The first directive of this name. Adds an error for each further one.
    pub fn once(&mut self, name: &'static str, diagnostics: &mut Diagnostics) -> Option<&'a Directive> {
        let all = self.each(name);
        for repeated in all.iter().skip(1) {
            diagnostics.add(&repeated.span, format!("{name} stands here for the second time"));
        }
        all.first().copied()
    }

    /// The only argument of an optional directive.
    pub fn optional<T: Value>(&mut self, name: &'static str, diagnostics: &mut Diagnostics) -> Option<T> {
        let directive = self.once(name, diagnostics)?;
        let mut args = Args::of(directive);
        let value = args.next(diagnostics);
        args.finish(diagnostics);
        value
    }

    /// The only argument of an optional directive; `default` where it is missing or malformed.
    pub fn optional_or<T: Value>(
        &mut self,
        name: &'static str,
        default: T,
        diagnostics: &mut Diagnostics,
    ) -> T {
        self.optional(name, diagnostics).unwrap_or(default)
    }

    /// The only argument of a required directive. Adds an error where the directive is missing.
    pub fn required<T: Value>(&mut self, name: &'static str, diagnostics: &mut Diagnostics) -> Option<T> {
        if !self.directives.iter().any(|directive| directive.name.text == name) {
            diagnostics.add(&self.span, format!("{name} is missing ({})", T::EXPECTED));
        }
        self.optional(name, diagnostics)
    }

    /// Adds an error for each directive that was never asked for.
    pub fn finish(self, diagnostics: &mut Diagnostics) {
        for directive in self.directives {
            let name = directive.name.text.as_str();
            if self.known.contains(&name) {
                continue;
            }
            let hint = suggest(name, &self.known);
            diagnostics.add_with_hint(&directive.name.span, format!("unknown directive {name}"), hint);
        }
    }
}

/// A hint that names the most similar of the known names, if one is similar enough.
pub fn suggest(name: &str, known: &[&str]) -> Option<String> {
    let (similarity, best) = known
        .iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), *candidate))
        .max_by(|a, b| a.0.total_cmp(&b.0))?;
    (similarity >= MIN_SIMILARITY).then(|| format!("did you mean {best}?"))
}
