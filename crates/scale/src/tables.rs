//! The generated blocks of the capacity page: tables in Markdown from results, slopes and the target.

use crate::fit::{Fit, LeftOut, fit};
use crate::profile::Variable;
use crate::reckon::{
    Beyond, FORMS, Form, Need, Quantity, REPLICAS, Reckoned, Spender, Unvaried, reckon, target_value,
};
use crate::results::{Metric, Results, Role, Run};
use crate::targets::Target;
use crate::units::{METRICS, ROLES, host_words, name, number, size, unit};

/// A generated block of the page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Block {
    Runs,
    Slopes,
    HeldOut,
    Target,
    Ranking,
    BeforeAfter,
    Times,
}

/// All blocks, by the names that markers have.
pub const BLOCKS: [(&str, Block); 7] = [
    ("runs", Block::Runs),
    ("slopes", Block::Slopes),
    ("held-out", Block::HeldOut),
    ("target", Block::Target),
    ("ranking", Block::Ranking),
    ("before-after", Block::BeforeAfter),
    ("times", Block::Times),
];

/// What a page is written from.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    pub target: Target,
    /// Sorted by profile.
    pub results: Vec<Results>,
}

impl Block {
    /// The lines between the block's markers.
    #[must_use]
    pub fn write(self, evidence: &Evidence) -> String {
        match self {
            Self::Runs => runs(evidence),
            Self::Slopes => slopes(evidence),
            Self::HeldOut => held_out(evidence),
            Self::Target => target(evidence),
            Self::Ranking => ranking(evidence),
            Self::BeforeAfter => before_after(evidence),
            Self::Times => times(evidence),
        }
    }
}

/// A table in Markdown.
struct Table {
    text: String,
    rows: usize,
}

impl Table {
    fn new<const N: usize>(head: [&str; N]) -> Self {
        let text = format!("| {} |\n|{}\n", head.join(" | "), " --- |".repeat(N));
        Self { text, rows: 0 }
    }

    fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.text.push_str(&format!("| {} |\n", cells.join(" | ")));
        self.rows += 1;
    }

    /// The table, or what is said in place of one without rows.
    fn or(self, otherwise: &str) -> String {
        if self.rows == 0 { format!("{otherwise}\n") } else { self.text }
    }
}

/// What the page says of sizes that no run or file gives.
const NOTHING: &str = "-";

fn yes(is: bool, words: &str) -> String {
    if is { words.to_owned() } else { NOTHING.to_owned() }
}

fn code(text: &str) -> String {
    format!("`{text}`")
}

fn runs(evidence: &Evidence) -> String {
    let head =
        ["profile", "host", "version", "seed", "varied", "sizes (held out in brackets)", "measured", "fixed"];
    let mut table = Table::new(head);
    for results in &evidence.results {
        let is_varied = !results.vary.is_empty();
        let sizes: Vec<String> = results.runs.iter().filter(|_| is_varied).map(run_size).collect();
        table.row([
            code(&results.profile),
            host_words(results.host).to_owned(),
            results.version.clone(),
            results.seed.to_string(),
            if is_varied { results.vary.clone() } else { NOTHING.to_owned() },
            if is_varied { sizes.join(", ") } else { NOTHING.to_owned() },
            measured_for(results),
            fixed(results),
        ]);
    }
    table.or("No results are committed yet.")
}

fn run_size(run: &Run) -> String {
    if run.held_out { format!("({})", size(run.varied)) } else { size(run.varied) }
}

/// The value of the variable with its name, for results that have one.
fn varied(results: &Results, run: &Run) -> String {
    if results.vary.is_empty() {
        NOTHING.to_owned()
    } else {
        format!("{} {}", size(run.varied), results.vary)
    }
}

/// The seconds of each run, once where all are the same.
fn measured_for(results: &Results) -> String {
    let least = results.runs.iter().map(|run| run.seconds).fold(f64::INFINITY, f64::min);
    let most = results.runs.iter().map(|run| run.seconds).fold(0.0, f64::max);
    if least < most {
        format!("{} to {} s", number(least), number(most))
    } else {
        format!("{} s", number(most))
    }
}

/// What the runs of a profile have in common.
fn fixed(results: &Results) -> String {
    let Some(first) = results.runs.first() else { return NOTHING.to_owned() };
    let is_fixed = |variable: &Variable| {
        let value = variable.value(&first.size);
        value != 0.0 && results.runs.iter().all(|run| variable.value(&run.size) == value)
    };
    let shown = |variable: Variable| format!("{} {}", size(variable.value(&first.size)), variable.word());
    let fixed: Vec<String> = Variable::ALL.into_iter().filter(is_fixed).map(shown).collect();
    if fixed.is_empty() { NOTHING.to_owned() } else { fixed.join(", ") }
}

/// The metrics of each role that any run of the results has, in the order of the page.
#[must_use]
pub fn measured(results: &Results) -> Vec<(Role, Metric)> {
    let all = ROLES.into_iter().flat_map(|role| METRICS.into_iter().map(move |metric| (role, metric)));
    let has =
        |(role, metric): &(Role, Metric)| results.runs.iter().any(|run| run.value(*role, *metric).is_some());
    all.filter(has).collect()
}

fn slopes(evidence: &Evidence) -> String {
    let head = [
        "profile",
        "role",
        "metric",
        "constant",
        "for each",
        "for each squared",
        "residual",
        "at the target, most from",
        "quadratic",
    ];
    let mut table = Table::new(head);
    for results in &evidence.results {
        for (role, metric) in measured(results) {
            let chosen = evidence.target.chosen;
            let at = target_value(&evidence.target, chosen, results, role);
            let first = [code(&results.profile), name(role), name(metric)];
            match fit(results, role, metric) {
                Ok(fit) => table.row(slope(first, metric, &fit, at)),
                Err(refused) => {
                    let [profile, role, metric] = first;
                    let empty = || NOTHING.to_owned();
                    let why = format!("no fit: {refused}");
                    table.row([profile, role, metric, empty(), empty(), empty(), empty(), empty(), why]);
                }
            }
        }
    }
    table.or("No results are committed yet.")
}

fn slope(first: [String; 3], metric: Metric, fit: &Fit, at: Option<f64>) -> [String; 9] {
    let [profile, role, name] = first;
    let show = |value| unit(metric).show(value);
    if fit.unchanged {
        let empty = || NOTHING.to_owned();
        let constant = show(fit.curve.constant);
        return [
            profile,
            role,
            name,
            constant,
            empty(),
            empty(),
            empty(),
            "constant".into(),
            "doesn't change".into(),
        ];
    }
    let dominant = at.map_or(NOTHING.to_owned(), |at| {
        let beyond = if at > fit.largest() { ", beyond the largest run" } else { "" };
        format!("{} (at {}{beyond})", fit.curve.dominant(at), size(at))
    });
    let quadratic = at.is_some_and(|at| fit.curve.quadratic_matters(at));
    [
        profile,
        role,
        name,
        show(fit.curve.constant),
        show(fit.curve.linear),
        show(fit.curve.quadratic),
        format!("{} ({}%)", show(fit.residual), number(fit.relative_residual * 100.0)),
        dominant,
        quadratic_note(metric, fit, quadratic, at),
    ]
}

/// What is to be known of the quadratic term.
fn quadratic_note(metric: Metric, fit: &Fit, matters: bool, at: Option<f64>) -> String {
    let Some(LeftOut { term, standard_error }) = fit.left_out else {
        return yes(matters, "matters at the target");
    };
    let show = |value| unit(metric).show(value);
    let would = at.map_or(String::new(), |at| format!(", at the target {}", show(term * at * at)));
    format!("left out, like noise: {} with error {}{would}", show(term), show(standard_error))
}

fn held_out(evidence: &Evidence) -> String {
    let mut table = Table::new([
        "profile",
        "role",
        "metric",
        "at",
        "predicted",
        "measured",
        "predicted / measured",
        "finding",
    ]);
    for results in &evidence.results {
        for (role, metric) in measured(results) {
            let Ok(fit) = fit(results, role, metric) else { continue };
            for run in &fit.held_out {
                table.row([
                    code(&results.profile),
                    name(role),
                    name(metric),
                    size(run.varied),
                    unit(metric).show(run.predicted),
                    unit(metric).show(run.measured),
                    run.ratio().map_or(NOTHING.to_owned(), number),
                    yes(run.is_apart(), "**more than 20% apart**"),
                ]);
            }
        }
    }
    table.or("No run was held out of a fit yet.")
}

const HOW_RECKONED: &str = "\
These figures are reckoned, not measured: no run here had the whole size. Each begins with the prediction of
one profile (the first of its row, with all other variables as that profile fixes them) and adds, for every
variable that another profile changes, the difference between the target's value and the fixed one by that
profile's slope. It is right as far as the variables add up; where one multiplies another, it is too low.
Workers and clients cost a scheduler its own part of starts and running tasks, spread evenly: their slopes
are read there, and the number of schedulers matters to placing by that part alone. The list, and logs that
are copied to all, cost it the whole fleet's; a scheduler's traffic is the sum of list, workers and clients.
With replica sets a ledger member is reckoned to pay for its part. A curve that bends down is followed along
its line beyond the runs. Where a part may be too little, the column `at most` says what it were if every
scheduler paid for all.
";

fn target(evidence: &Evidence) -> String {
    let reckoned = reckon(&evidence.target, &evidence.results);
    if reckoned.is_empty() {
        return "Nothing is reckoned yet: no results with slopes are committed.\n".to_owned();
    }
    let mut text = HOW_RECKONED.to_owned();
    for form in FORMS {
        let of_form: Vec<&Reckoned> = reckoned.iter().filter(|one| one.form == form).collect();
        if !of_form.is_empty() {
            text.push_str(&format!("\nLedger: {}.\n\n", form.words()));
            text.push_str(&target_table(&evidence.target, &of_form));
        }
    }
    text
}

fn target_table(target: &Target, reckoned: &[&Reckoned]) -> String {
    let needs = format!("need at {} schedulers", at_each(target));
    let head = ["role", "metric", &needs, "at most", "budget", "need / budget", "from", "limits"];
    let mut table = Table::new(head);
    let mut notes: Vec<String> = Vec::new();
    for one in reckoned {
        table.row([
            spender(one.spender),
            quantity(one.quantity),
            each(one.quantity, &one.needs),
            one.at_most.as_ref().map_or(NOTHING.to_owned(), |needs| each(one.quantity, needs)),
            one.budget.map_or(NOTHING.to_owned(), |budget| one.quantity.unit().show(budget)),
            each_ratio(one),
            one.profiles.iter().map(|profile| code(profile)).collect::<Vec<_>>().join(" "),
            note(limits(one), &mut notes),
        ]);
    }
    let mut text = table.or("Nothing is reckoned yet.");
    if !notes.is_empty() {
        text.push_str("\nLimits:\n\n");
    }
    for (at, words) in notes.iter().enumerate() {
        text.push_str(&format!("{}. {words}\n", at + 1));
    }
    text
}

/// The number of a note below the table; words that are there already are not said twice.
fn note(words: Option<String>, notes: &mut Vec<String>) -> String {
    let Some(words) = words else { return NOTHING.to_owned() };
    let known = notes.iter().position(|note| *note == words);
    let at = known.unwrap_or_else(|| {
        notes.push(words);
        notes.len() - 1
    });
    format!("({})", at + 1)
}

fn at_each(target: &Target) -> String {
    let shown: Vec<String> = target.schedulers.iter().map(|n| size(f64::from(*n))).collect();
    shown.join(" / ")
}

fn each(quantity: Quantity, needs: &[Need]) -> String {
    let shown: Vec<String> = needs.iter().map(|need| quantity.unit().show(need.value)).collect();
    shown.join(" / ")
}

fn each_ratio(one: &Reckoned) -> String {
    let Some(ratios) = one.ratios() else { return NOTHING.to_owned() };
    ratios.into_iter().map(number).collect::<Vec<_>>().join(" / ")
}

fn spender(spender: Spender) -> String {
    match spender {
        Spender::Role(role) => name(role),
        Spender::ControlWithPlacing => "control with placing".to_owned(),
    }
}

fn quantity(quantity: Quantity) -> String {
    match quantity {
        Quantity::Metric(metric) => name(metric),
        Quantity::BytesBothWays => "bytes in and out".to_owned(),
    }
}

/// Where a reckoned figure goes beyond what was run.
fn limits(one: &Reckoned) -> Option<String> {
    let mut words: Vec<String> = Vec::new();
    if one.is_sum {
        words.push("a sum: the limits of its parts".to_owned());
    }
    words.extend(one.beyond.iter().map(beyond));
    let line = |variable: &Variable| format!("{} bends down: along a line", variable.word());
    words.extend(one.straightened.iter().map(line));
    words.extend(one.unvaried.iter().map(unvaried));
    if one.needs.iter().any(|need| need.value < 0.0) {
        words.push("the slopes give less than nothing: not usable".to_owned());
    }
    (!words.is_empty()).then(|| words.join("; "))
}

fn beyond(beyond: &Beyond) -> String {
    format!("{} run to {} of {}", beyond.variable.word(), size(beyond.largest), size(beyond.target))
}

fn unvaried(unvaried: &Unvaried) -> String {
    let word = unvaried.variable.word();
    match unvaried.fixed {
        Some(fixed) => format!("{word} kept at {} of {}", size(fixed), size(unvaried.target)),
        None => format!("{word} changes along with the base"),
    }
}

fn ranking(evidence: &Evidence) -> String {
    let target = &evidence.target;
    let reckoned = reckon(target, &evidence.results);
    let ratio = |one: &Reckoned| Some(one.at(target.chosen)? / one.budget?);
    let mut ranked: Vec<(f64, &Reckoned)> =
        reckoned.iter().filter_map(|one| Some((ratio(one)?, one))).collect();
    ranked.sort_by(|one, other| other.0.total_cmp(&one.0));
    let each = format!("need / budget at {}", at_each(target));
    let chosen = format!("need at {}", size(f64::from(target.chosen)));
    let head = ["rank", "ledger", "role", "metric", &chosen, "budget", &each, "driven by"];
    let mut table = Table::new(head);
    for (at, (_, one)) in ranked.iter().enumerate() {
        let show =
            |value: Option<f64>| value.map_or(NOTHING.to_owned(), |value| one.quantity.unit().show(value));
        table.row([
            (at + 1).to_string(),
            one.form.words().to_owned(),
            spender(one.spender),
            quantity(one.quantity),
            show(one.at(target.chosen)),
            show(one.budget),
            each_ratio(one),
            one.drives.map_or(NOTHING.to_owned(), |(variable, term)| format!("{}, {term}", variable.word())),
        ]);
    }
    let table = table.or("Nothing is ranked yet: no results with slopes are committed.");
    if ranked.is_empty() { table } else { format!("Reckoned, as the table before.\n\n{table}") }
}

fn before_after(evidence: &Evidence) -> String {
    let head = ["profile", "varied", "role", "metric", "copied to all", "replica sets", "after / before"];
    let mut table = Table::new(head);
    for after in evidence.results.iter().filter(|one| Form::of(&one.profile) == Form::ReplicaSets) {
        let plain = after.profile.trim_end_matches(REPLICAS);
        let Some(before) = evidence.results.iter().find(|one| one.profile == plain) else { continue };
        for (one, other) in pairs(before, after) {
            for (role, metric) in measured(before) {
                let (Some(was), Some(is)) = (one.value(role, metric), other.value(role, metric)) else {
                    continue;
                };
                table.row([
                    code(plain),
                    varied(before, one),
                    name(role),
                    name(metric),
                    unit(metric).show(was),
                    unit(metric).show(is),
                    if was == 0.0 { NOTHING.to_owned() } else { number(is / was) },
                ]);
            }
        }
    }
    table.or("No profile has been run in both forms of the ledger yet.")
}

/// Runs of the same value of the variable.
fn pairs<'a>(before: &'a Results, after: &'a Results) -> Vec<(&'a Run, &'a Run)> {
    let same = |run: &'a Run| {
        let other = after.runs.iter().find(|other| other.varied == run.varied)?;
        Some((run, other))
    };
    before.runs.iter().filter_map(same).collect()
}

/// The times of a run, in the order of the table.
const TIMES: [Metric; 7] = [
    Metric::ChangeP50,
    Metric::ChangeP99,
    Metric::ChangeMax,
    Metric::StartUp,
    Metric::StartUpProcessor,
    Metric::CatchUp,
    Metric::CatchUpBytes,
];

fn times(evidence: &Evidence) -> String {
    let head = [
        "profile",
        "role",
        "varied",
        "change p50",
        "change p99",
        "change max",
        "start-up",
        "processor to start",
        "catch-up",
        "bytes to catch up",
    ];
    let mut table = Table::new(head);
    for results in &evidence.results {
        for run in &results.runs {
            for role in ROLES {
                let values = TIMES.map(|metric| run.value(role, metric));
                if values.iter().all(Option::is_none) {
                    continue;
                }
                let [p50, p99, max, start, start_processor, catch_up, catch_up_bytes] =
                    std::array::from_fn(|at| {
                        values[at].map_or(NOTHING.to_owned(), |v| unit(TIMES[at]).show(v))
                    });
                let [profile, role, varied] = [code(&results.profile), name(role), varied(results, run)];
                table.row([
                    profile,
                    role,
                    varied,
                    p50,
                    p99,
                    max,
                    start,
                    start_processor,
                    catch_up,
                    catch_up_bytes,
                ]);
            }
        }
    }
    table.or("No times have been measured yet.")
}
