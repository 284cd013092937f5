//! Recorded figures of a profile in virtual time: what later versions must not grow beyond.
//!
//! ```text
//! profile small
//! seed 7
//! sample 30 ledger-member bytes-in 387.25     # value of the variable, role, metric, figure
//! ```

use crate::results::{Host, Metric, Results, Role};
use crate::units::{by_name, name, unit};
use mulleinhub_settings::{Args, Diagnostics, Directive, Name, Scope, SourceSpan, parse_text};
use std::fmt::Write;
use std::path::Path;

/// What is recorded: virtual time makes these exact.
const RECORDED: [Metric; 4] = [Metric::BytesIn, Metric::BytesOut, Metric::MessagesIn, Metric::MessagesOut];
/// Roles that are held to their records.
const ROLES: [Role; 2] = [Role::Scheduler, Role::LedgerMember];
/// Figures are sums of parts divided by seconds: the last digits say nothing.
const ROUNDING: f64 = 1e-9;

/// A recorded figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    pub varied: f64,
    pub role: Role,
    pub metric: Metric,
    pub value: f64,
}

/// The recorded figures of a profile.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub profile: String,
    pub seed: u64,
    pub figures: Vec<Figure>,
}

/// Why there is no record, or none to compare with.
#[derive(Debug)]
pub enum RecordError {
    File {
        path: String,
        cause: std::io::Error,
    },
    Faults {
        rendered: String,
    },
    /// Figures of real processes are never the same twice.
    NotVirtual {
        profile: String,
    },
    /// The record is of another profile or seed.
    OfAnother {
        recorded: String,
        run: String,
    },
    /// A run has nothing that is recorded.
    Empty {
        profile: String,
    },
}

impl std::fmt::Display for RecordError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::File { path, cause } => write!(f, "{path}: {cause}"),
            Self::Faults { rendered } => f.write_str(rendered),
            Self::NotVirtual { profile } => {
                write!(f, "profile {profile} doesn't run in virtual time: its figures can't be recorded")
            }
            Self::OfAnother { recorded, run } => write!(f, "the record is of {recorded}, the run of {run}"),
            Self::Empty { profile } => write!(f, "the run of {profile} counted no bytes and messages"),
        }
    }
}

impl std::error::Error for RecordError {}

/// A figure that is not as it was recorded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    Grew {
        figure: Figure,
        now: f64,
    },
    Fell {
        figure: Figure,
        now: f64,
    },
    /// The run doesn't have it any more.
    Missing {
        figure: Figure,
    },
    /// The record doesn't have it.
    New {
        figure: Figure,
    },
}

impl Change {
    /// Whether a check fails by it: only a figure that fell doesn't.
    #[must_use]
    pub fn fails(&self) -> bool {
        !matches!(self, Self::Fell { .. })
    }
}

impl std::fmt::Display for Change {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (Self::Grew { figure, .. }
        | Self::Fell { figure, .. }
        | Self::Missing { figure }
        | Self::New { figure }) = self;
        let Figure { varied, role, metric, value } = figure;
        let show = |value: &f64| format!("{} ({value})", unit(*metric).show(*value));
        write!(f, "at {varied}, {} {}: ", name(role), name(metric))?;
        match self {
            Self::Grew { now, .. } => write!(f, "grew from {} to {}", show(value), show(now)),
            Self::Fell { now, .. } => write!(f, "fell from {} to {}", show(value), show(now)),
            Self::Missing { .. } => write!(f, "is recorded as {} and was not measured", show(value)),
            Self::New { .. } => write!(f, "is not recorded; it is {}", show(value)),
        }
    }
}

impl Record {
    /// The figures of a run in virtual time.
    ///
    /// # Errors
    /// Where the run was not in virtual time, or has none of the figures.
    pub fn of(results: &Results) -> Result<Self, RecordError> {
        let profile = results.profile.clone();
        if results.host == Host::RealPlanners {
            return Err(RecordError::NotVirtual { profile });
        }
        let mut figures = Vec::new();
        for run in &results.runs {
            for role in ROLES {
                for metric in RECORDED {
                    let value = run.value(role, metric);
                    figures.extend(value.map(|value| Figure { varied: run.varied, role, metric, value }));
                }
            }
        }
        if figures.is_empty() {
            return Err(RecordError::Empty { profile });
        }
        Ok(Self { profile, seed: results.seed, figures })
    }

    /// Reads a record.
    ///
    /// # Errors
    /// Where it can't be read, or with all its faults, each with its place.
    pub fn read(path: &Path) -> Result<Self, RecordError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| RecordError::File { path: shown.clone(), cause })?;
        Self::parse(&shown, &text)
    }

    /// Reads the text of a record; `file` is what messages call it.
    ///
    /// # Errors
    /// With all faults, each with its place.
    pub fn parse(file: &str, text: &str) -> Result<Self, RecordError> {
        let mut faults = Diagnostics::default();
        let directives = parse_text(file, text, &mut faults);
        let mut scope = Scope::new(&directives, SourceSpan { file: 0, bytes: 0..0 });
        let profile: Option<Name> = scope.required("profile", &mut faults);
        let seed = scope.required("seed", &mut faults);
        let samples = scope.each("sample");
        let figures = samples.into_iter().filter_map(|sample| figure(sample, &mut faults)).collect();
        scope.finish(&mut faults);
        match (profile, seed) {
            (Some(profile), Some(seed)) if faults.is_empty() => {
                Ok(Self { profile: profile.0, seed, figures })
            }
            _ => Err(RecordError::Faults { rendered: faults.render() }),
        }
    }

    /// The text of the record.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = format!(
            "# Written by `mulleinhub scale check --record`: what each scheduler sends and receives a second.\n\
             # Virtual time makes it exact; a version that needs more fails the check.\n\n\
             profile {}\nseed {}\n",
            self.profile, self.seed
        );
        for Figure { varied, role, metric, value } in &self.figures {
            let (role, metric) = (name(role), name(metric));
            writeln!(text, "sample {varied} {role} {metric} {value}").expect("a text can be written to");
        }
        text
    }

    /// What differs in a later run.
    ///
    /// # Errors
    /// Where the run is of another profile or seed.
    pub fn compare(&self, now: &Self) -> Result<Vec<Change>, RecordError> {
        if (&self.profile, self.seed) != (&now.profile, now.seed) {
            let words = |record: &Self| format!("profile {} with seed {}", record.profile, record.seed);
            return Err(RecordError::OfAnother { recorded: words(self), run: words(now) });
        }
        let mut changes = Vec::new();
        for figure in &self.figures {
            match now.like(figure) {
                None => changes.push(Change::Missing { figure: *figure }),
                Some(other) => changes.extend(change(figure, other.value)),
            }
        }
        let new = now.figures.iter().filter(|figure| self.like(figure).is_none());
        changes.extend(new.map(|figure| Change::New { figure: *figure }));
        Ok(changes)
    }

    fn like(&self, figure: &Figure) -> Option<&Figure> {
        let of = |other: &&Figure| {
            (other.varied, other.role, other.metric) == (figure.varied, figure.role, figure.metric)
        };
        self.figures.iter().find(of)
    }
}

fn change(figure: &Figure, now: f64) -> Option<Change> {
    let slack = ROUNDING * figure.value.abs();
    if now > figure.value + slack {
        Some(Change::Grew { figure: *figure, now })
    } else if now < figure.value - slack {
        Some(Change::Fell { figure: *figure, now })
    } else {
        None
    }
}

/// `sample VARIED ROLE METRIC VALUE`
fn figure(directive: &Directive, faults: &mut Diagnostics) -> Option<Figure> {
    let mut args = Args::of(directive);
    let varied = args.next(faults)?;
    let role = named(&mut args, directive, "role", faults)?;
    let metric = named(&mut args, directive, "metric", faults)?;
    let value = args.next(faults)?;
    args.finish(faults);
    Some(Figure { varied, role, metric, value })
}

/// A role or metric by its name.
fn named<T: serde::de::DeserializeOwned>(
    args: &mut Args<'_>,
    directive: &Directive,
    what: &str,
    faults: &mut Diagnostics,
) -> Option<T> {
    let Some(word) = args.next_word() else {
        faults.add(&directive.span, format!("sample lacks a {what}"));
        return None;
    };
    let value = by_name(&word.text);
    if value.is_none() {
        faults.add(&word.span, format!("there is no {what} {}", word.text));
    }
    value
}
