//! What planners and days both state: use cases, kinds of machine, and the figures of the rules.
//!
//! For: reading and writing these directives, the same in every file, and checking their values.
//! May not touch: what is done with them.

mod books;

pub use books::{BooksTerms, SiteTerms, TeamTerms, read_books};

use garde::Validate;
use mulleinhub_interface::Duration;
use mulleinhub_interface::{FailureDomain, Idempotency, KindId, Resources, UseCase};
use mulleinhub_settings::{Args, Bytes, Cores, Directive, Faults, Name, Place, Range, Scope, suggest};
use std::collections::BTreeMap;

/// A use case, by the directives that planners and days share.
#[derive(Clone, Debug, Validate)]
#[garde(allow_unvalidated)]
pub struct Case {
    pub name: String,
    pub soft_limit: Duration,
    #[garde(custom(some_time))]
    pub client_timeout: Duration,
    pub effect: Idempotency,
    #[garde(range(min = 0.0, max = 1e9))]
    pub earnings: f64,
    #[garde(range(min = 0.0, max = 1e6))]
    pub start_seconds: f64,
    #[garde(range(max = 3))]
    pub priority: u8,
    pub kind: Option<String>,
    pub spread: Option<(FailureDomain, usize)>,
    #[garde(range(min = 0.0, max = 10.0))]
    pub full_up_to: f64,
    #[garde(range(min = 0.001, max = 10.0))]
    pub fade: f64,
}

/// A kind of machine: all of one kind are of one size.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: String,
    pub size: Resources,
}

/// The figures of the five rules.
#[derive(Clone, Debug, Validate)]
#[garde(allow_unvalidated)]
pub struct Rules {
    pub drain_grace: Duration,
    pub answer_slack: Duration,
    #[garde(custom(some_time))]
    pub warm_after: Duration,
    #[garde(custom(some_time))]
    pub fall: Duration,
    #[garde(range(min = 1, max = 10_000))]
    pub young_limit: u32,
    #[garde(range(min = 1, max = 100))]
    pub most_sends: u32,
    /// A list that must be asked for and was not for so long counts as told.
    #[garde(custom(some_time))]
    pub ask_within: Duration,
}

fn some_time(span: &Duration, (): &()) -> garde::Result {
    if *span > Duration::ZERO { Ok(()) } else { Err(garde::Error::new("more than no time is wanted")) }
}

/// Checks a value by its own bounds; each fault is shown where its directive stands, else at `place`.
pub fn check<T: Validate<Context = ()>>(
    value: &T,
    places: &BTreeMap<String, Place>,
    place: &Place,
    faults: &mut Faults,
) {
    let Err(report) = value.validate() else { return };
    for (path, error) in report.iter() {
        let directive = path.to_string().replace('_', "-");
        let place = places.get(&directive).unwrap_or(place);
        faults.add(place, format!("{directive}: {error}"));
    }
}

/// Where each directive of a block stands.
pub fn places(block: &[Directive]) -> BTreeMap<String, Place> {
    block.iter().map(|d| (d.name.text.clone(), d.place.clone())).collect()
}

fn reach(args: &mut Args<'_>, faults: &mut Faults) -> Option<FailureDomain> {
    let word = args.word()?;
    let known = ["machine", "rack", "hall", "all"];
    match word.text.as_str() {
        "machine" => Some(FailureDomain::Machine),
        "rack" => Some(FailureDomain::Cell),
        "hall" => Some(FailureDomain::Zone),
        "all" => Some(FailureDomain::Cluster),
        other => {
            let words = format!("{other} is no group (machine, rack, hall and all are)");
            faults.add_with_hint(&word.place, words, suggest(other, &known));
            None
        }
    }
}

fn reach_word(reach: FailureDomain) -> &'static str {
    match reach {
        FailureDomain::Machine => "machine",
        FailureDomain::Cell => "rack",
        FailureDomain::Zone => "hall",
        FailureDomain::Cluster => "all",
    }
}

fn effect(directive: Option<&Directive>, scope: &Place, faults: &mut Faults) -> Option<Idempotency> {
    let Some(directive) = directive else {
        faults.add(scope, "effect is missing (replayable, referenced GROUP WINDOW, or single-use)");
        return None;
    };
    let mut args = Args::of(directive);
    let word = args.word();
    let effect = match word.map(|word| word.text.as_str()) {
        Some("replayable") => Some(Idempotency::Idempotent),
        Some("single-use") => Some(Idempotency::NonIdempotent),
        Some("referenced") => {
            let group = reach(&mut args, faults);
            let window = args.next::<Duration>(faults);
            group.zip(window).map(|(group, window)| Idempotency::Keyed { domain: group, window })
        }
        other => {
            let known = ["replayable", "referenced", "single-use"];
            let place = word.map_or(&directive.place, |word| &word.place);
            let hint = other.and_then(|other| suggest(other, &known));
            faults.add_with_hint(place, "replayable, referenced GROUP WINDOW or single-use is wanted", hint);
            return None;
        }
    };
    args.finish(faults);
    effect
}

/// Reads the directives of a use case that planners and days share; the scope may hold more.
pub fn read_case(directive: &Directive, scope: &mut Scope<'_>, faults: &mut Faults) -> Option<Case> {
    let mut args = Args::of(directive);
    let name = args.next::<Name>(faults);
    args.finish(faults);
    let spread = scope.once("spread", faults).and_then(|directive| {
        let mut args = Args::of(directive);
        let reach = reach(&mut args, faults);
        let most = args.next::<usize>(faults);
        args.finish(faults);
        reach.zip(most)
    });
    let soft_limit = scope.must::<Duration>("soft-limit", faults);
    let client_timeout = scope.must::<Duration>("client-timeout", faults);
    let effect = effect(scope.once("effect", faults), &directive.place, faults);
    let earnings = scope.or("earnings", 1.0, faults);
    let start_seconds = scope.or("start-seconds", 0.0, faults);
    let priority = scope.or("priority", 0u8, faults);
    let kind = scope.maybe::<Name>("kind", faults).map(|kind| kind.0);
    let full_up_to = scope.or("full-up-to", 1.0, faults);
    let fade = scope.or("fade", 0.5, faults);
    let (soft_limit, client_timeout) = (soft_limit?, client_timeout?);
    let case = Case {
        name: name?.0,
        soft_limit,
        client_timeout,
        effect: effect?,
        earnings,
        start_seconds,
        priority,
        kind,
        spread,
        full_up_to,
        fade,
    };
    let places = places(directive.block.as_deref().unwrap_or_default());
    check(&case, &places, &directive.place, faults);
    if soft_limit > client_timeout {
        let place = places.get("soft-limit").unwrap_or(&directive.place);
        faults.add(place, "the soft limit is longer than the client timeout");
    }
    Some(case)
}

pub fn read_kind(directive: &Directive, faults: &mut Faults) -> Option<Kind> {
    let mut args = Args::of(directive);
    let name = args.next::<Name>(faults);
    args.finish(faults);
    let mut scope = Scope::of(directive);
    let cores = scope.must::<Cores>("cores", faults);
    let memory = scope.must::<Bytes>("memory", faults);
    scope.finish(faults);
    Some(Kind { name: name?.0, size: Resources::new(cores?.0, gib(memory?)) })
}

/// Memory is counted in GiB, where it is no longer bytes.
pub fn gib(bytes: Bytes) -> f64 {
    bytes.0 as f64 / (1u64 << 30) as f64
}

pub fn read_rules(directive: Option<&Directive>, faults: &mut Faults) -> Rules {
    let none = Place { file: 0, bytes: 0..0 };
    let block = directive.and_then(|d| d.block.as_deref()).unwrap_or_default();
    let place = directive.map_or(&none, |d| &d.place);
    let mut scope = Scope::new(block, place.clone());
    let rules = Rules {
        drain_grace: scope.or("drain-grace", Duration::from_secs(2), faults),
        answer_slack: scope.or("answer-slack", Duration::from_nanos(250_000_000), faults),
        warm_after: scope.or("warm-after", Duration::from_secs(14), faults),
        fall: scope.or("fall", Duration::from_secs(1), faults),
        young_limit: scope.or("young-limit", 9, faults),
        most_sends: scope.or("most-sends", 4, faults),
        ask_within: scope.or("ask-within", Duration::from_secs(10), faults),
    };
    scope.finish(faults);
    check(&rules, &places(block), place, faults);
    rules
}

/// A span as settings files state it: the largest unit in which it is a whole number.
pub fn show_span(span: Duration) -> String {
    let nanos = span.nanos();
    for (unit, name) in [(1_000_000_000, "s"), (1_000_000, "ms"), (1_000, "us")] {
        if nanos.is_multiple_of(unit) {
            return format!("{}{name}", nanos / unit);
        }
    }
    format!("{nanos}ns")
}

impl Case {
    /// The use case as the module is given it; an unknown kind is a fault for whoever calls.
    pub fn for_module(&self, kinds: &[Kind]) -> Option<UseCase> {
        let kind = match &self.kind {
            Some(name) => Some(KindId(kinds.iter().position(|kind| kind.name == *name)?)),
            None => None,
        };
        Some(UseCase {
            latency_objective: self.soft_limit,
            client_timeout: self.client_timeout,
            idempotency: self.effect,
            value_per_second: self.earnings,
            priority: self.priority,
            machine_kind: kind,
            spread: self.spread,
            saturation_threshold: self.full_up_to,
            degradation_range: self.fade,
        })
    }

    /// The use case as a settings file states it.
    pub fn show(&self) -> String {
        let effect = match self.effect {
            Idempotency::Idempotent => "replayable".to_owned(),
            Idempotency::NonIdempotent => "single-use".to_owned(),
            Idempotency::Keyed { domain, window } => {
                format!("referenced {} {}", reach_word(domain), show_span(window))
            }
        };
        let mut lines = vec![
            format!("use-case {} {{", self.name),
            format!("    soft-limit {}", show_span(self.soft_limit)),
            format!("    client-timeout {}", show_span(self.client_timeout)),
            format!("    effect {effect}"),
            format!("    earnings {}", self.earnings),
            format!("    start-seconds {}", self.start_seconds),
            format!("    priority {}", self.priority),
        ];
        lines.extend(self.kind.iter().map(|kind| format!("    kind {kind}")));
        lines.extend(
            self.spread.iter().map(|(reach, most)| format!("    spread {} {most}", reach_word(*reach))),
        );
        lines.push(format!("    full-up-to {}", self.full_up_to));
        lines.push(format!("    fade {}", self.fade));
        lines.push("}\n".to_owned());
        lines.join("\n")
    }
}

impl Kind {
    pub fn show(&self) -> String {
        let bytes = (self.size.memory * (1u64 << 30) as f64) as u64;
        format!("kind {} {{\n    cores {}\n    memory {bytes}B\n}}\n", self.name, self.size.cores)
    }
}

impl Rules {
    pub fn show(&self) -> String {
        let span = |name: &str, span| format!("    {name} {}\n", show_span(span));
        format!(
            "rules {{\n{}{}{}{}{}    young-limit {}\n    most-sends {}\n}}\n",
            span("drain-grace", self.drain_grace),
            span("answer-slack", self.answer_slack),
            span("warm-after", self.warm_after),
            span("fall", self.fall),
            span("ask-within", self.ask_within),
            self.young_limit,
            self.most_sends
        )
    }
}

/// Whole spans and shares come from ranges: both ends of one value where none is given.
pub fn range_or<T: mulleinhub_settings::Value + Copy + PartialOrd>(
    scope: &mut Scope<'_>,
    name: &'static str,
    low: T,
    high: T,
    faults: &mut Faults,
) -> Range<T> {
    scope.or(name, Range { low, high }, faults)
}
