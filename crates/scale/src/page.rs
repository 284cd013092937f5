//! The capacity page: its generated blocks and figures, written from committed results and checked.
//!
//! A block stands between `<!-- scale:begin NAME -->` and `<!-- scale:end NAME -->`, each on a line of its
//! own. A figure in prose stands within a line between `<!-- scale:value ROLE METRIC PROFILE VARIED -->` and
//! `<!-- scale:end -->`. For what is reckoned at the target size, PROFILE is `reckoned` or
//! `reckoned-replicas`, and VARIED a number of schedulers of the target.

use crate::profile::Variable;
use crate::reckon::{FORMS, Quantity, Spender, reckon};
use crate::results::{Metric, Results, ResultsError, Role};
use crate::tables::{BLOCKS, Block, Evidence};
use crate::targets::{Target, TargetError};
use crate::units::{by_name, unit};
use std::path::{Path, PathBuf};

const MARKER: &str = "<!-- scale:";
const MARKER_END: &str = "-->";
const BEGIN: &str = "begin";
const END: &str = "end";
const VALUE: &str = "value";

/// Why the page can't be written or checked.
#[derive(Debug)]
pub enum PageError {
    /// A marker that is unknown, not closed, or asks for what no result has. Lines count from 1.
    Marker {
        line: usize,
        cause: String,
    },
    File {
        path: String,
        cause: std::io::Error,
    },
    Results(ResultsError),
    /// A result file that can be read and can't be right.
    Unusable {
        path: String,
        cause: String,
    },
    Target(TargetError),
}

impl std::fmt::Display for PageError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Marker { line, cause } => write!(f, "line {line}: {cause}"),
            Self::File { path, cause } => write!(f, "{path}: {cause}"),
            Self::Results(cause) => write!(f, "{cause}"),
            Self::Unusable { path, cause } => write!(f, "{path}: {cause}"),
            Self::Target(cause) => write!(f, "{cause}"),
        }
    }
}

impl std::error::Error for PageError {}

/// A block or figure of the page that says something else than the results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The block's name, or `value` and what it is of.
    pub name: String,
    /// The line of its marker, from 1.
    pub line: usize,
    /// The first line that differs, as it stands and as the results have it.
    pub stands: String,
    pub wanted: String,
}

impl std::fmt::Display for Difference {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { name, line, stands, wanted } = self;
        write!(f, "line {line}: {name} and the results disagree:\n  page:    {stands}\n  results: {wanted}")
    }
}

impl Evidence {
    /// Reads the target and all result files of a directory, in the order of profiles.
    ///
    /// # Errors
    /// With the file, and the place in it where there is one.
    pub fn read(target: &Path, directory: &Path) -> Result<Self, PageError> {
        let target = Target::read(target).map_err(PageError::Target)?;
        let mut results = Vec::new();
        for path in result_files(directory)? {
            results.push(read_results(&path)?);
        }
        results.sort_by(|one, other| one.profile.cmp(&other.profile));
        Ok(Self { target, results })
    }
}

/// The JSON files of a directory, sorted.
fn result_files(directory: &Path) -> Result<Vec<PathBuf>, PageError> {
    let words = |cause| PageError::File { path: directory.display().to_string(), cause };
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(directory).map_err(words)? {
        let path = entry.map_err(words)?.path();
        if path.extension().is_some_and(|extension| extension == "json") {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

/// Reads a result file and checks what its format can't.
///
/// # Errors
/// Where it can't be read, is named after another profile, changes an unknown variable, or has no runs.
pub fn read_results(path: &Path) -> Result<Results, PageError> {
    let results = Results::read(path).map_err(PageError::Results)?;
    let unusable = |cause| PageError::Unusable { path: path.display().to_string(), cause };
    let stem = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
    if stem != results.profile {
        return Err(unusable(format!("holds the results of profile {:?}", results.profile)));
    }
    if !results.vary.is_empty() && Variable::of(&results.vary).is_none() {
        return Err(unusable(format!("{:?} is no variable that a profile can change", results.vary)));
    }
    if results.runs.is_empty() {
        return Err(unusable("has no runs".to_owned()));
    }
    check_runs(&results).map_err(unusable)?;
    Ok(results)
}

/// Sizes and figures are finite and not negative, and no run has a metric of a role twice.
fn check_runs(results: &Results) -> Result<(), String> {
    for (at, run) in results.runs.iter().enumerate() {
        let place = format!("run {} (at {})", at + 1, run.varied);
        let is_odd = |value: f64| !value.is_finite() || value < 0.0;
        if is_odd(run.varied) || is_odd(run.seconds) {
            return Err(format!("{place}: its size and length must be finite and not negative"));
        }
        let variable = Variable::of(&results.vary);
        if variable.is_some_and(|variable| variable.value(&run.size) != run.varied) {
            return Err(format!("{place}: its size has another value of {}", results.vary));
        }
        for (nth, sample) in run.samples.iter().enumerate() {
            let same =
                |other: &&crate::results::Sample| (other.role, other.metric) == (sample.role, sample.metric);
            if is_odd(sample.value) {
                return Err(format!("{place}: sample {} must be finite and not negative", nth + 1));
            }
            if run.samples[..nth].iter().any(|other| same(&other)) {
                return Err(format!("{place}: sample {} says what an earlier one said", nth + 1));
            }
        }
    }
    Ok(())
}

/// The page with all its blocks and figures written anew.
///
/// # Errors
/// At a marker that is wrong, with its line.
pub fn write(page: &str, evidence: &Evidence) -> Result<String, PageError> {
    let pieces = pieces(page)?;
    let mut text = String::with_capacity(page.len());
    for piece in &pieces {
        text.push_str(&piece.write(evidence)?);
    }
    Ok(text)
}

/// What of the page says something else than the results.
///
/// # Errors
/// At a marker that is wrong, with its line.
pub fn check(page: &str, evidence: &Evidence) -> Result<Vec<Difference>, PageError> {
    let mut differences = Vec::new();
    for piece in pieces(page)? {
        let wanted = piece.write(evidence)?;
        let stands = piece.stands();
        if wanted != stands {
            differences.push(difference(&piece, &stands, &wanted));
        }
    }
    Ok(differences)
}

fn difference(piece: &Piece, stands: &str, wanted: &str) -> Difference {
    let name = match &piece.kind {
        Kind::Text => "text".to_owned(),
        Kind::Block { name, .. } => format!("block {name}"),
        Kind::Value { asked } => format!("value {asked}"),
    };
    let (mut ours, mut theirs) = (stands.lines(), wanted.lines());
    loop {
        let (stands, wanted) = (ours.next(), theirs.next());
        if stands != wanted || stands.is_none() {
            let shown = |line: Option<&str>| line.unwrap_or("(nothing)").to_owned();
            return Difference { name, line: piece.line, stands: shown(stands), wanted: shown(wanted) };
        }
    }
}

/// A part of the page: what a person wrote, a block, or a figure.
struct Piece {
    kind: Kind,
    /// The line on which it begins, from 1.
    line: usize,
    /// Its text as it stands, without the markers.
    body: String,
}

enum Kind {
    Text,
    Block {
        name: &'static str,
        block: Block,
    },
    /// What the marker asks for.
    Value {
        asked: String,
    },
}

impl Piece {
    /// As it stands on the page.
    fn stands(&self) -> String {
        self.with_body(&self.body)
    }

    fn with_body(&self, body: &str) -> String {
        match &self.kind {
            Kind::Text => body.to_owned(),
            Kind::Block { name, .. } => {
                format!("{MARKER}{BEGIN} {name} {MARKER_END}\n{body}{MARKER}{END} {name} {MARKER_END}\n")
            }
            Kind::Value { asked } => {
                format!("{MARKER}{VALUE} {asked} {MARKER_END}{body}{MARKER}{END} {MARKER_END}")
            }
        }
    }

    fn write(&self, evidence: &Evidence) -> Result<String, PageError> {
        match &self.kind {
            Kind::Text => Ok(self.body.clone()),
            Kind::Block { block, .. } => Ok(self.with_body(&block.write(evidence))),
            Kind::Value { asked } => {
                let marker = |cause| PageError::Marker { line: self.line, cause };
                let value = value(asked, evidence).map_err(marker)?;
                Ok(self.with_body(&value))
            }
        }
    }
}

/// Cuts the page at its markers. Each line that begins a block is a line of its own.
fn pieces(page: &str) -> Result<Vec<Piece>, PageError> {
    let mut pieces = Vec::new();
    let mut lines = page.split_inclusive('\n').enumerate();
    while let Some((at, text)) = lines.next() {
        let line = at + 1;
        match begins(text, line)? {
            Some((name, block)) => {
                let body = block_body(&mut lines, name, line)?;
                pieces.push(Piece { kind: Kind::Block { name, block }, line, body });
            }
            None => line_pieces(text, line, &mut pieces)?,
        }
    }
    Ok(pieces)
}

/// The block that a line begins, if it begins one.
fn begins(text: &str, line: usize) -> Result<Option<(&'static str, Block)>, PageError> {
    let Some(words) = whole_marker(text.trim_end()) else { return Ok(None) };
    let [BEGIN, name] = words[..] else { return Ok(None) };
    match BLOCKS.into_iter().find(|(known, _)| *known == name) {
        Some(block) => Ok(Some(block)),
        None => {
            let known = BLOCKS.map(|(name, _)| name).join(", ");
            let cause = format!("there is no block {name} (there are {known})");
            Err(PageError::Marker { line, cause })
        }
    }
}

/// The words of a marker that is all of a line.
fn whole_marker(text: &str) -> Option<Vec<&str>> {
    let inner = text.strip_prefix(MARKER)?.strip_suffix(MARKER_END)?;
    (!inner.contains(MARKER_END)).then(|| inner.split_whitespace().collect())
}

/// The lines up to the end of a block.
fn block_body<'a>(
    lines: &mut impl Iterator<Item = (usize, &'a str)>,
    name: &str,
    begun: usize,
) -> Result<String, PageError> {
    let mut body = String::new();
    for (at, text) in lines {
        if whole_marker(text.trim_end()).is_some_and(|words| words == [END, name]) {
            return Ok(body);
        }
        if text.contains(MARKER) {
            let cause = format!("a marker stands within block {name}, which line {begun} began");
            return Err(PageError::Marker { line: at + 1, cause });
        }
        body.push_str(text);
    }
    Err(PageError::Marker { line: begun, cause: format!("block {name} is never ended") })
}

/// A line of prose, with the figures in it.
fn line_pieces(text: &str, line: usize, pieces: &mut Vec<Piece>) -> Result<(), PageError> {
    let marker = |cause: &str| PageError::Marker { line, cause: cause.to_owned() };
    let mut rest = text;
    while let Some(at) = rest.find(MARKER) {
        let (before, from) = rest.split_at(at);
        pieces.push(Piece { kind: Kind::Text, line, body: before.to_owned() });
        let inner = &from[MARKER.len()..];
        let (words, after) = inner.split_once(MARKER_END).ok_or_else(|| marker("a marker is not closed"))?;
        let words: Vec<&str> = words.split_whitespace().collect();
        let Some((&VALUE, asked)) = words.split_first() else {
            let cause = format!("a marker that is not known: {}", words.join(" "));
            return Err(PageError::Marker { line, cause });
        };
        let (body, end) = after
            .split_once(MARKER)
            .ok_or_else(|| marker("a value is not ended on its line by <!-- scale:end -->"))?;
        let (end, after) = end.split_once(MARKER_END).ok_or_else(|| marker("a marker is not closed"))?;
        if end.trim() != END {
            return Err(marker("a value is ended by <!-- scale:end -->, and by nothing else"));
        }
        let kind = Kind::Value { asked: asked.join(" ") };
        pieces.push(Piece { kind, line, body: body.to_owned() });
        rest = after;
    }
    pieces.push(Piece { kind: Kind::Text, line, body: rest.to_owned() });
    Ok(())
}

/// The figure that a marker in prose asks for, with its unit.
fn value(asked: &str, evidence: &Evidence) -> Result<String, String> {
    let words: Vec<&str> = asked.split_whitespace().collect();
    let [role, metric, profile, varied] = words[..] else {
        return Err("a value is asked for by ROLE METRIC PROFILE VARIED".to_owned());
    };
    let role: Role = by_name(role).ok_or_else(|| format!("there is no role {role}"))?;
    let metric: Metric = by_name(metric).ok_or_else(|| format!("there is no metric {metric}"))?;
    let varied: f64 = varied.parse().map_err(|_| format!("{varied} is not a number"))?;
    let value = match FORMS.into_iter().find(|form| form.marker() == profile) {
        Some(form) => {
            let is = |one: &crate::reckon::Reckoned| {
                one.form == form
                    && one.spender == Spender::Role(role)
                    && one.quantity == Quantity::Metric(metric)
            };
            let reckoned = reckon(&evidence.target, &evidence.results);
            let found = reckoned.iter().find(|one| is(one));
            found.and_then(|one| {
                one.needs.iter().find(|need| f64::from(need.schedulers) == varied).map(|need| need.value)
            })
        }
        None => {
            let results = evidence.results.iter().find(|results| results.profile == profile);
            let results = results.ok_or_else(|| format!("there are no results of profile {profile}"))?;
            let run = results.runs.iter().find(|run| run.varied == varied);
            let run = run.ok_or_else(|| format!("profile {profile} has no run at {varied}"))?;
            run.value(role, metric)
        }
    };
    let value = value.ok_or_else(|| format!("no result gives {asked}"))?;
    Ok(unit(metric).show(value))
}
