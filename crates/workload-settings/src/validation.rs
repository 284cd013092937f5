//! Checks of values after they are read, with errors shown at their directives.

use garde::Validate;
use mulleinhub_interface::Duration;
use mulleinhub_settings::{Diagnostics, Directive, Range, Scope, SourceSpan, Value};
use std::collections::BTreeMap;

/// Fields that are set by a directive of another name, as they appear in a report of `garde`.
const RENAMED_DIRECTIVES: [(&str, &str); 9] = [
    ("attempt_budget", "young-limit"),
    ("budget_window", "fall"),
    ("degradation_range", "fade"),
    ("max_attempts", "most-sends"),
    ("max_staleness", "ask-within"),
    ("response_slack", "answer-slack"),
    ("saturation_threshold", "full-up-to"),
    ("value_per_second", "earnings"),
    ("warm_up_time", "warm-after"),
];

/// Checks a value against the bounds of its fields. Each error is shown at the directive that sets the field,
/// or at `fallback` where there is none.
pub fn check<T: Validate<Context = ()>>(
    value: &T,
    spans: &BTreeMap<String, SourceSpan>,
    fallback: &SourceSpan,
    diagnostics: &mut Diagnostics,
) {
    let Err(report) = value.validate() else { return };
    for (path, error) in report.iter() {
        let directive = directive_of(&path.to_string());
        let span = spans.get(&directive).unwrap_or(fallback);
        diagnostics.add(span, format!("{directive}: {error}"));
    }
}

/// The name of the directive that sets a field: the field's with `-` for `_`, with few exceptions.
fn directive_of(field: &str) -> String {
    let renamed = RENAMED_DIRECTIVES.iter().find(|(name, _)| *name == field);
    renamed.map_or_else(|| field.replace('_', "-"), |(_, directive)| (*directive).to_owned())
}

/// The position of each directive of a block, by name; of the last where a name is repeated.
pub fn directive_spans(block: &[Directive]) -> BTreeMap<String, SourceSpan> {
    block.iter().map(|directive| (directive.name.text.clone(), directive.span.clone())).collect()
}

/// The range given by an optional directive; from `low` to `high` where it is missing or malformed.
pub fn range_or<T: Value + Copy + PartialOrd>(
    scope: &mut Scope<'_>,
    name: &'static str,
    low: T,
    high: T,
    diagnostics: &mut Diagnostics,
) -> Range<T> {
    scope.optional_or(name, Range { low, high }, diagnostics)
}

/// A bound for `garde`: the duration must not be 0.
pub(crate) fn not_zero(duration: &Duration, (): &()) -> garde::Result {
    if *duration > Duration::ZERO { Ok(()) } else { Err(garde::Error::new("more than no time is wanted")) }
}
