//! Values of the scheduling rules: the `rules` block.

use crate::text::format_duration;
use crate::validation::{check, directive_spans, not_zero};
use garde::Validate;
use mulleinhub_interface::Duration;
use mulleinhub_settings::{Diagnostics, Directive, Scope, SourceSpan};

/// Values of the five scheduling rules.
#[derive(Clone, Debug, Validate)]
#[garde(allow_unvalidated)]
pub struct RuleSettings {
    /// How long after the notice that a machine drains attempts may still be sent to it.
    pub drain_grace: Duration,
    /// A final response may come so much later than the client timeout.
    pub response_slack: Duration,
    /// How long after its start a machine counts as warming up.
    #[garde(custom(not_zero))]
    pub warm_up_time: Duration,
    /// The window over which attempts at a machine that is warming up are counted.
    #[garde(custom(not_zero))]
    pub budget_window: Duration,
    /// Attempts within one window, of all schedulers together.
    #[garde(range(min = 1, max = 10_000))]
    pub attempt_budget: u32,
    /// Attempts of one task at the most.
    #[garde(range(min = 1, max = 100))]
    pub max_attempts: u32,
    /// After so long without a message, the last endpoint list counts as outdated.
    #[garde(custom(not_zero))]
    pub max_staleness: Duration,
}

/// Reads a `rules` block; what it leaves out, or all where there is none, has defaults.
pub fn read_rules(directive: Option<&Directive>, diagnostics: &mut Diagnostics) -> RuleSettings {
    let file_start = SourceSpan { file: 0, bytes: 0..0 };
    let block = directive.and_then(|directive| directive.block.as_deref()).unwrap_or_default();
    let span = directive.map_or(&file_start, |directive| &directive.span);
    let mut scope = Scope::new(block, span.clone());
    let rules = RuleSettings {
        drain_grace: scope.optional_or("drain-grace", Duration::from_secs(2), diagnostics),
        response_slack: scope.optional_or("answer-slack", Duration::from_nanos(250_000_000), diagnostics),
        warm_up_time: scope.optional_or("warm-after", Duration::from_secs(14), diagnostics),
        budget_window: scope.optional_or("fall", Duration::from_secs(1), diagnostics),
        attempt_budget: scope.optional_or("young-limit", 9, diagnostics),
        max_attempts: scope.optional_or("most-sends", 4, diagnostics),
        max_staleness: scope.optional_or("ask-within", Duration::from_secs(10), diagnostics),
    };
    scope.finish(diagnostics);
    check(&rules, &directive_spans(block), span, diagnostics);
    rules
}

impl RuleSettings {
    /// The `rules` block that gives these values.
    pub fn to_text(&self) -> String {
        let duration_line = |name: &str, duration| format!("    {name} {}\n", format_duration(duration));
        format!(
            "rules {{\n{}{}{}{}{}    young-limit {}\n    most-sends {}\n}}\n",
            duration_line("drain-grace", self.drain_grace),
            duration_line("answer-slack", self.response_slack),
            duration_line("warm-after", self.warm_up_time),
            duration_line("fall", self.budget_window),
            duration_line("ask-within", self.max_staleness),
            self.attempt_budget,
            self.max_attempts
        )
    }
}
