//! Reading a block's directives by name, with faults for what is missing, unknown, twice or malformed.

use crate::fault::{Faults, Place};
use crate::parse::{Directive, Word};
use crate::value::Value;

/// How alike a misspelt name must be to one that is known, for a suggestion.
const ALIKE: f64 = 0.75;

/// The directives of one block, while they are read.
pub struct Scope<'a> {
    directives: &'a [Directive],
    place: Place,
    known: Vec<&'static str>,
}

impl<'a> Scope<'a> {
    /// `place` is where faults about what is missing are shown.
    pub fn new(directives: &'a [Directive], place: Place) -> Self {
        Self { directives, place, known: Vec::new() }
    }

    pub fn of(directive: &'a Directive) -> Self {
        Self::new(directive.block.as_deref().unwrap_or_default(), directive.place.clone())
    }

    /// Every directive of this name.
    pub fn each(&mut self, name: &'static str) -> Vec<&'a Directive> {
        self.known.push(name);
        self.directives.iter().filter(|d| d.name.text == name).collect()
    }

    /// The directive of this name, which may stand once at the most.
    pub fn once(&mut self, name: &'static str, faults: &mut Faults) -> Option<&'a Directive> {
        let all = self.each(name);
        for twice in all.iter().skip(1) {
            faults.add(&twice.place, format!("{name} stands here for the second time"));
        }
        all.first().copied()
    }

    /// The one argument of a directive that may be left out.
    pub fn maybe<T: Value>(&mut self, name: &'static str, faults: &mut Faults) -> Option<T> {
        let directive = self.once(name, faults)?;
        let mut args = Args::of(directive);
        let value = args.next(faults);
        args.finish(faults);
        value
    }

    /// The same with a value where it is left out or can't be read.
    pub fn or<T: Value>(&mut self, name: &'static str, default: T, faults: &mut Faults) -> T {
        self.maybe(name, faults).unwrap_or(default)
    }

    /// The one argument of a directive that must stand.
    pub fn must<T: Value>(&mut self, name: &'static str, faults: &mut Faults) -> Option<T> {
        if !self.directives.iter().any(|d| d.name.text == name) {
            faults.add(&self.place, format!("{name} is missing ({})", T::WANTED));
        }
        self.maybe(name, faults)
    }

    /// Faults for every directive that nobody asked for.
    pub fn finish(self, faults: &mut Faults) {
        for directive in self.directives {
            let name = directive.name.text.as_str();
            if self.known.contains(&name) {
                continue;
            }
            faults.add_with_hint(
                &directive.name.place,
                format!("unknown directive {name}"),
                suggest(name, &self.known),
            );
        }
    }
}

/// The known name that is most alike, if any is.
pub fn suggest(name: &str, known: &[&str]) -> Option<String> {
    let best =
        known.iter().map(|k| (strsim::jaro_winkler(name, k), *k)).max_by(|a, b| a.0.total_cmp(&b.0))?;
    (best.0 >= ALIKE).then(|| format!("did you mean {}?", best.1))
}

/// The arguments of one directive, one after the other.
pub struct Args<'a> {
    directive: &'a Directive,
    at: usize,
}

impl<'a> Args<'a> {
    pub fn of(directive: &'a Directive) -> Self {
        Self { directive, at: 0 }
    }

    pub fn peek(&self) -> Option<&'a Word> {
        self.directive.args.get(self.at)
    }

    pub fn word(&mut self) -> Option<&'a Word> {
        let word = self.peek()?;
        self.at += 1;
        Some(word)
    }

    /// The next argument; a fault where it is missing or malformed.
    pub fn next<T: Value>(&mut self, faults: &mut Faults) -> Option<T> {
        match self.word() {
            None => {
                let words =
                    format!("{} lacks an argument: {} is wanted", self.directive.name.text, T::WANTED);
                faults.add(&self.directive.place, words);
                None
            }
            Some(word) => match T::read(&word.text) {
                Ok(value) => Some(value),
                Err(words) => {
                    faults.add(&word.place, format!("{}: {words}", word.text));
                    None
                }
            },
        }
    }

    /// Takes this very word, if it is the next.
    pub fn takes(&mut self, text: &str) -> bool {
        let is = self.peek().is_some_and(|word| !word.quoted && word.text == text);
        self.at += usize::from(is);
        is
    }

    pub fn finish(self, faults: &mut Faults) {
        if let Some(word) = self.peek() {
            faults.add(&word.place, format!("{} takes no more arguments here", self.directive.name.text));
        }
    }
}
