//! Use cases: the `use-case` block.

use crate::machine_kind::MachineKind;
use crate::text::format_duration;
use crate::validation::{check, directive_spans, not_zero};
use garde::Validate;
use mulleinhub_interface::{Duration, FailureDomain, Idempotency, KindId, UseCase};
use mulleinhub_settings::{Args, Diagnostics, Directive, Name, Scope, SourceSpan, suggest};

/// Words for failure domains, and what they stand for.
const FAILURE_DOMAINS: [(&str, FailureDomain); 4] = [
    ("machine", FailureDomain::Machine),
    ("rack", FailureDomain::Cell),
    ("hall", FailureDomain::Zone),
    ("all", FailureDomain::Cluster),
];
/// Words for idempotency classes.
const REPLAYABLE: &str = "replayable";
const REFERENCED: &str = "referenced";
const SINGLE_USE: &str = "single-use";

/// A use case, by the directives that planners and scenarios share.
#[derive(Clone, Debug, Validate)]
#[garde(allow_unvalidated)]
pub struct UseCaseSettings {
    /// Unique name.
    pub name: String,
    /// The time within which a task should start; at most `client_timeout`.
    pub latency_objective: Duration,
    /// The time after which the client gives up.
    #[garde(custom(not_zero))]
    pub client_timeout: Duration,
    /// Whether a task may be attempted again, and where.
    pub idempotency: Idempotency,
    /// The value of one second of full service of a task of mean size.
    #[garde(range(min = 0.0, max = 1e9))]
    pub value_per_second: f64,
    /// The value of a first start in time, in seconds of full service.
    #[garde(range(min = 0.0, max = 1e6))]
    pub start_seconds: f64,
    /// Priority from 0 to 3.
    #[garde(range(max = 3))]
    pub priority: u8,
    /// Name of the only kind of machine that may run these tasks; `None` allows all.
    pub machine_kind: Option<String>,
    /// How many tasks of one service a scheduler may run at most within one such failure domain.
    pub spread: Option<(FailureDomain, usize)>,
    /// The share of busy cores up to which service is complete.
    #[garde(range(min = 0.0, max = 10.0))]
    pub saturation_threshold: f64,
    /// Service falls to nothing while the share of busy cores rises by so much beyond the threshold.
    #[garde(range(min = 0.001, max = 10.0))]
    pub degradation_range: f64,
}

/// Reads the directives of a use case that planners and scenarios share; the caller may read more from
/// `scope`, and finishes it. `None` where an error was added that leaves the use case incomplete.
pub fn read_use_case(
    directive: &Directive,
    scope: &mut Scope<'_>,
    diagnostics: &mut Diagnostics,
) -> Option<UseCaseSettings> {
    let mut args = Args::of(directive);
    let name = args.next::<Name>(diagnostics);
    args.finish(diagnostics);
    // All directives are read before the first `?`, so that every error is reported at once.
    let spread = read_spread(scope, diagnostics);
    let latency_objective = scope.required::<Duration>("soft-limit", diagnostics);
    let client_timeout = scope.required::<Duration>("client-timeout", diagnostics);
    let idempotency = read_idempotency(scope.once("effect", diagnostics), &directive.span, diagnostics);
    let value_per_second = scope.optional_or("earnings", 1.0, diagnostics);
    let start_seconds = scope.optional_or("start-seconds", 0.0, diagnostics);
    let priority = scope.optional_or("priority", 0u8, diagnostics);
    let machine_kind = scope.optional::<Name>("kind", diagnostics).map(|kind| kind.0);
    let saturation_threshold = scope.optional_or("full-up-to", 1.0, diagnostics);
    let degradation_range = scope.optional_or("fade", 0.5, diagnostics);
    let (latency_objective, client_timeout) = (latency_objective?, client_timeout?);
    let use_case = UseCaseSettings {
        name: name?.0,
        latency_objective,
        client_timeout,
        idempotency: idempotency?,
        value_per_second,
        start_seconds,
        priority,
        machine_kind,
        spread,
        saturation_threshold,
        degradation_range,
    };
    use_case.check(directive, diagnostics);
    Some(use_case)
}

fn read_spread(scope: &mut Scope<'_>, diagnostics: &mut Diagnostics) -> Option<(FailureDomain, usize)> {
    let directive = scope.once("spread", diagnostics)?;
    let mut args = Args::of(directive);
    let domain = next_failure_domain(&mut args, diagnostics);
    let max_tasks = args.next::<usize>(diagnostics);
    args.finish(diagnostics);
    domain.zip(max_tasks)
}

fn next_failure_domain(args: &mut Args<'_>, diagnostics: &mut Diagnostics) -> Option<FailureDomain> {
    let word = args.next_word()?;
    let found = FAILURE_DOMAINS.iter().find(|(name, _)| *name == word.text);
    if found.is_none() {
        let message = format!("{} is no group (machine, rack, hall and all are)", word.text);
        let hint = suggest(&word.text, &FAILURE_DOMAINS.map(|(name, _)| name));
        diagnostics.add_with_hint(&word.span, message, hint);
    }
    found.map(|(_, domain)| *domain)
}

fn failure_domain_name(domain: FailureDomain) -> &'static str {
    match domain {
        FailureDomain::Machine => "machine",
        FailureDomain::Cell => "rack",
        FailureDomain::Zone => "hall",
        FailureDomain::Cluster => "all",
    }
}

/// `use_case` is where a missing directive is reported.
fn read_idempotency(
    directive: Option<&Directive>,
    use_case: &SourceSpan,
    diagnostics: &mut Diagnostics,
) -> Option<Idempotency> {
    let Some(directive) = directive else {
        diagnostics.add(use_case, "effect is missing (replayable, referenced GROUP WINDOW, or single-use)");
        return None;
    };
    let mut args = Args::of(directive);
    let word = args.next_word();
    let idempotency = match word.map(|word| word.text.as_str()) {
        Some(REPLAYABLE) => Some(Idempotency::Idempotent),
        Some(SINGLE_USE) => Some(Idempotency::NonIdempotent),
        Some(REFERENCED) => {
            let domain = next_failure_domain(&mut args, diagnostics);
            let window = args.next::<Duration>(diagnostics);
            domain.zip(window).map(|(domain, window)| Idempotency::Keyed { domain, window })
        }
        other => {
            let span = word.map_or(&directive.span, |word| &word.span);
            let hint = other.and_then(|other| suggest(other, &[REPLAYABLE, REFERENCED, SINGLE_USE]));
            let message = "replayable, referenced GROUP WINDOW or single-use is wanted";
            diagnostics.add_with_hint(span, message, hint);
            return None;
        }
    };
    args.finish(diagnostics);
    idempotency
}

impl UseCaseSettings {
    fn check(&self, directive: &Directive, diagnostics: &mut Diagnostics) {
        let spans = directive_spans(directive.block.as_deref().unwrap_or_default());
        check(self, &spans, &directive.span, diagnostics);
        if self.latency_objective > self.client_timeout {
            let span = spans.get("soft-limit").unwrap_or(&directive.span);
            diagnostics.add(span, "the soft limit is longer than the client timeout");
        }
    }

    /// The use case as the scheduler's interface has it; `None` where its kind of machine is not in `kinds`.
    pub fn to_use_case(&self, kinds: &[MachineKind]) -> Option<UseCase> {
        let machine_kind = match &self.machine_kind {
            Some(name) => Some(KindId(kinds.iter().position(|kind| kind.name == *name)?)),
            None => None,
        };
        Some(UseCase {
            latency_objective: self.latency_objective,
            client_timeout: self.client_timeout,
            idempotency: self.idempotency,
            value_per_second: self.value_per_second,
            priority: self.priority,
            machine_kind,
            spread: self.spread,
            saturation_threshold: self.saturation_threshold,
            degradation_range: self.degradation_range,
        })
    }

    /// The `use-case` block that gives this use case.
    pub fn to_text(&self) -> String {
        let mut lines = vec![
            format!("use-case {} {{", self.name),
            format!("    soft-limit {}", format_duration(self.latency_objective)),
            format!("    client-timeout {}", format_duration(self.client_timeout)),
            format!("    effect {}", idempotency_text(self.idempotency)),
            format!("    earnings {}", self.value_per_second),
            format!("    start-seconds {}", self.start_seconds),
            format!("    priority {}", self.priority),
        ];
        lines.extend(self.machine_kind.iter().map(|kind| format!("    kind {kind}")));
        lines.extend(
            self.spread.iter().map(|(domain, max_tasks)| {
                format!("    spread {} {max_tasks}", failure_domain_name(*domain))
            }),
        );
        lines.push(format!("    full-up-to {}", self.saturation_threshold));
        lines.push(format!("    fade {}", self.degradation_range));
        lines.push("}\n".to_owned());
        lines.join("\n")
    }
}

fn idempotency_text(idempotency: Idempotency) -> String {
    match idempotency {
        Idempotency::Idempotent => REPLAYABLE.to_owned(),
        Idempotency::NonIdempotent => SINGLE_USE.to_owned(),
        Idempotency::Keyed { domain, window } => {
            format!("{REFERENCED} {} {}", failure_domain_name(domain), format_duration(window))
        }
    }
}
