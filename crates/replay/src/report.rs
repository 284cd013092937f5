//! What a replay came to: figures that are the same to the byte for the same trace and seed, as JSON, as text
//! and as one page with plots that needs nothing else.

use crate::bound::Bound;
use crate::build::{LeftOut, Replay};
use crate::play::{Outcome, Point};
use mulleinhub_checker::Verdict;
use mulleinhub_trace::{Mix, Spread, Work};
use plotters::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub layout: String,
    pub seed: u64,
    pub trace: Traced,
    pub sample: Sampled,
    pub left_out: LeftOut,
    /// Of what was wanted, the part that there is room for.
    pub bound: f64,
    /// Machines of the mean size that would hold what is asked for, in the mean over time.
    pub machines_needed: f64,
    pub runs: Vec<Run>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Traced {
    pub rows: BTreeMap<String, u64>,
    pub after_the_end: u64,
    /// Repaired and kept out, by kind.
    pub repaired: BTreeMap<String, u64>,
    pub kept_out: BTreeMap<String, u64>,
    pub partial: bool,
}

#[derive(Clone, Debug, Serialize)]
pub struct Sampled {
    pub share_of_jobs: f64,
    pub tasks: u64,
    pub machines: usize,
    pub seconds: f64,
    /// What is compared, and the greatest distance between the source's and the sample's spread, 0 to 1.
    pub distances: BTreeMap<String, f64>,
    /// By what is compared: p50, p90 and p99 of the source and of the sample.
    pub spreads: BTreeMap<String, [[f64; 3]; 2]>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Run {
    pub policy: String,
    pub earned: f64,
    pub asked: f64,
    pub cases: Vec<CaseRun>,
    pub rules: Vec<RuleRun>,
    pub sends_a_task: f64,
    pub nacks: BTreeMap<String, u64>,
    pub endings: BTreeMap<String, u64>,
    pub placed: u64,
    pub nacked: u64,
    pub errored: u64,
    pub unanswered: u64,
    pub machines_lost: u64,
    /// Milliseconds from taking a task to its final answer: p50, p99, p99.9.
    pub take_to_answer_ms: [f64; 3],
    /// Means over time: machines up and in use, and parts of their cores and memory asked for and used.
    pub machines_up: f64,
    pub machines_in_use: f64,
    pub cores_asked: f64,
    pub cores_used: f64,
    pub memory_asked: f64,
    pub memory_used: f64,
    pub over_time: Vec<[f64; 8]>,
}

#[derive(Clone, Debug, Serialize)]
pub struct CaseRun {
    pub name: String,
    pub earned: f64,
    pub asked: f64,
    pub first_starts: u64,
    pub in_time: u64,
}

#[derive(Clone, Debug, Serialize)]
pub struct RuleRun {
    pub name: String,
    pub cases: u64,
    pub breaches: usize,
}

/// Figures are kept to six digits: a sum's last bits say nothing.
fn round(figure: f64) -> f64 {
    if figure == 0.0 || !figure.is_finite() {
        return 0.0;
    }
    let scale = 10f64.powi(5 - figure.abs().log10().floor() as i32);
    (figure * scale).round() / scale
}

fn three(spread: &Spread) -> [f64; 3] {
    [0.5, 0.9, 0.99].map(|part| round(spread.at(part)))
}

impl Report {
    /// A report of a sample, without runs yet.
    pub fn new(layout: &str, seed: u64, work: &Work, replay: &Replay, bound: &Bound) -> Self {
        let named = |counts: &BTreeMap<mulleinhub_trace::Fault, u64>| {
            counts.iter().map(|(fault, count)| (fault.name().to_owned(), *count)).collect()
        };
        let tally = &work.summary.tally;
        let spreads = |mix: &Mix| {
            [
                ("asked cores", three(&mix.cores)),
                ("asked memory", three(&mix.memory)),
                ("tasks a minute", three(&mix.bursts())),
            ]
        };
        let both = spreads(&work.source).into_iter().zip(spreads(&work.sampled));
        let distances = work.source.distances(&work.sampled);
        Self {
            layout: layout.to_owned(),
            seed,
            trace: Traced {
                rows: work.summary.rows.iter().map(|(name, rows)| ((*name).to_owned(), *rows)).collect(),
                after_the_end: work.summary.after,
                repaired: named(&tally.repaired),
                kept_out: named(&tally.skipped),
                partial: work.summary.partial,
            },
            sample: Sampled {
                share_of_jobs: round(work.share),
                tasks: replay.tasks,
                machines: replay.day.machines,
                seconds: round(replay.day.length.nanos() as f64 / 1e9),
                distances: distances.into_iter().map(|(what, far)| (what.to_owned(), round(far))).collect(),
                spreads: both.map(|((what, a), (_, b))| (what.to_owned(), [a, b])).collect(),
            },
            left_out: replay.left_out,
            bound: round(bound.part()),
            machines_needed: round(bound.needed()),
            runs: Vec::new(),
        }
    }

    /// Adds what one policy came to.
    pub fn add(&mut self, policy: &str, outcome: &Outcome) {
        let Outcome { score, verdict, points } = outcome;
        let of = |counts: &[u64], n: usize| counts.get(n).copied().unwrap_or(0);
        let cases = score.cases.iter().enumerate().map(|(n, name)| CaseRun {
            name: name.clone(),
            earned: round(score.earned.of(n)),
            asked: round(score.owners.asked.of(n)),
            first_starts: of(&score.owners.first_starts, n),
            in_time: of(&score.owners.starts_in_time, n),
        });
        let rules = verdict.rules.iter().zip(Verdict::NAMES).map(|(rule, name)| RuleRun {
            name: name.to_owned(),
            cases: rule.cases,
            breaches: rule.breaches.len(),
        });
        let figures = &verdict.figures;
        let owned = |counts: &BTreeMap<&'static str, u64>| {
            counts.iter().map(|(name, count)| ((*name).to_owned(), *count)).collect()
        };
        let ms = |part| round(figures.take_to_answer.value_at_quantile(part) as f64 / 1e3);
        let mean = |of: &dyn Fn(&Point) -> f64| {
            round(points.iter().map(of).sum::<f64>() / points.len().max(1) as f64)
        };
        let over_time = points.iter().map(|point| {
            let look = &point.look;
            [
                point.seconds,
                look.machines as f64,
                look.in_use as f64,
                look.waiting as f64,
                look.asked.cores / look.size.cores.max(1e-9),
                look.used.cores / look.size.cores.max(1e-9),
                look.used.memory / look.size.memory.max(1e-9),
                look.earned,
            ]
            .map(round)
        });
        self.runs.push(Run {
            policy: policy.to_owned(),
            earned: round(score.earned.sum()),
            asked: round(score.owners.asked.sum()),
            cases: cases.collect(),
            rules: rules.collect(),
            sends_a_task: round(figures.offers as f64 / figures.tasks_offered.max(1) as f64),
            nacks: owned(&figures.nacks),
            endings: owned(&figures.endings),
            placed: score.owners.placed,
            nacked: score.owners.nacked,
            errored: score.owners.errored,
            unanswered: score.owners.unanswered,
            machines_lost: score.machines_lost,
            take_to_answer_ms: [ms(0.5), ms(0.99), ms(0.999)],
            machines_up: mean(&|point| point.look.machines as f64),
            machines_in_use: mean(&|point| point.look.in_use as f64),
            cores_asked: mean(&|point| point.look.asked.cores / point.look.size.cores.max(1e-9)),
            cores_used: mean(&|point| point.look.used.cores / point.look.size.cores.max(1e-9)),
            memory_asked: mean(&|point| point.look.asked.memory / point.look.size.memory.max(1e-9)),
            memory_used: mean(&|point| point.look.used.memory / point.look.size.memory.max(1e-9)),
            over_time: over_time.collect(),
        });
    }

    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("figures and names serialize")
    }

    /// Whether every rule was kept under the policy that is asked about, which is the first.
    pub fn holds(&self) -> bool {
        self.runs.first().is_some_and(|run| run.rules.iter().all(|rule| rule.breaches == 0))
    }
}

/// The rows of the table that compares runs: what, and each run's figure.
fn compared(report: &Report) -> Vec<(String, Vec<String>)> {
    let row =
        |name: &str, of: &dyn Fn(&Run) -> String| (name.to_owned(), report.runs.iter().map(of).collect());
    let percent = |part: f64| format!("{:.1}%", part * 100.0);
    let mut rows: Vec<(String, Vec<String>)> = vec![
        row("earned/asked", &|run| format!("{:.3}", run.earned / run.asked.max(1e-9))),
        row("of the bound", &|run| format!("{:.3}", run.earned / (run.asked * report.bound).max(1e-9))),
        row("starts in time", &|run| {
            let (first, in_time) =
                run.cases.iter().fold((0, 0), |(a, b), case| (a + case.first_starts, b + case.in_time));
            format!("{in_time} of {first}")
        }),
        row("take to answer p50/p99, ms", &|run| {
            format!("{:.0}/{:.0}", run.take_to_answer_ms[0], run.take_to_answer_ms[1])
        }),
        row("sends a task", &|run| format!("{:.3}", run.sends_a_task)),
        row("placed", &|run| run.placed.to_string()),
        row("nacked, errored, unanswered", &|run| {
            format!("{}, {}, {}", run.nacked, run.errored, run.unanswered)
        }),
        row("machines in use of up", &|run| format!("{:.1} of {:.1}", run.machines_in_use, run.machines_up)),
        row("cores asked, used", &|run| format!("{}, {}", percent(run.cores_asked), percent(run.cores_used))),
        row("memory asked, used", &|run| {
            format!("{}, {}", percent(run.memory_asked), percent(run.memory_used))
        }),
    ];
    let mut kinds = |what: &str, of: fn(&Run) -> &BTreeMap<String, u64>| {
        let names: std::collections::BTreeSet<&String> =
            report.runs.iter().flat_map(|run| of(run).keys()).collect();
        for name in names {
            let counts = report.runs.iter().map(|run| of(run).get(name).copied().unwrap_or(0).to_string());
            rows.push((format!("{what}: {name}"), counts.collect()));
        }
    };
    kinds("nacks", |run| &run.nacks);
    kinds("ended", |run| &run.endings);
    for case in report.runs.first().map_or(&[][..], |run| &run.cases) {
        let of = |run: &Run| {
            let same = run.cases.iter().find(|other| other.name == case.name);
            same.map_or(String::new(), |same| format!("{:.3}", same.earned / same.asked.max(1e-9)))
        };
        rows.push((format!("earned/asked: {}", case.name), report.runs.iter().map(of).collect()));
    }
    for (n, rule) in report.runs.first().map_or(&[][..], |run| &run.rules).iter().enumerate() {
        let of = |run: &Run| match run.rules.get(n) {
            Some(rule) if rule.breaches == 0 => format!("kept ({})", rule.cases),
            Some(rule) => format!("BROKEN {}", rule.breaches),
            None => String::new(),
        };
        rows.push((format!("rule {}: {}", n + 1, rule.name), report.runs.iter().map(of).collect()));
    }
    rows
}

/// What was read and sampled, in lines.
fn story(report: &Report) -> Vec<String> {
    let counts = |counts: &BTreeMap<String, u64>| {
        let all: Vec<String> = counts.iter().map(|(name, count)| format!("{name} {count}")).collect();
        if all.is_empty() { "none".to_owned() } else { all.join(", ") }
    };
    let sample = &report.sample;
    let mut lines = vec![
        format!("{}: rows read: {}", report.layout, counts(&report.trace.rows)),
        format!("faults repaired: {}", counts(&report.trace.repaired)),
        format!(
            "kept out: {}; after the trace's end: {}",
            counts(&report.trace.kept_out),
            report.trace.after_the_end
        ),
        format!(
            "replayed: {} tasks on {} machines over {:.0} s, {:.1}% of the jobs (seed {})",
            sample.tasks,
            sample.machines,
            sample.seconds,
            sample.share_of_jobs * 100.0,
            report.seed
        ),
        format!(
            "left out: {} of classes that no rule maps, {} greater than any machine, \
             {} beyond the most tasks",
            report.left_out.unmapped, report.left_out.too_big, report.left_out.too_many
        ),
        format!(
            "room alone would allow {:.1}% of what is asked for; {:.1} machines would hold it in the mean",
            report.bound * 100.0,
            report.machines_needed
        ),
    ];
    if report.trace.partial {
        lines.push("PARTIAL: reading was ended early; all figures are of a part of the trace".to_owned());
    }
    for (what, far) in &sample.distances {
        let mut line =
            format!("{what}: the sample is {far:.3} from the source (0: the same, 1: nothing in common)");
        if let Some([a, b]) = sample.spreads.get(what) {
            let _ = write!(line, "; p50/p90/p99 {a:?} in the source, {b:?} in the sample");
        }
        lines.push(line);
    }
    lines
}

/// For a terminal.
pub fn text(report: &Report) -> String {
    let mut out = story(report).join("\n") + "\n\n";
    let rows = compared(report);
    let first = rows.iter().map(|(name, _)| name.len()).max().unwrap_or(0);
    let width = |n: usize| {
        let cells = rows.iter().filter_map(|(_, cells)| cells.get(n)).map(String::len).max().unwrap_or(0);
        cells.max(report.runs[n].policy.len())
    };
    let _ = write!(out, "{:first$}", "");
    for (n, run) in report.runs.iter().enumerate() {
        let _ = write!(out, "  {:>1$}", run.policy, width(n));
    }
    out.push('\n');
    for (name, cells) in &rows {
        let _ = write!(out, "{name:first$}");
        for (n, cell) in cells.iter().enumerate() {
            let width = width(n);
            let _ = write!(out, "  {cell:>width$}");
        }
        out.push('\n');
    }
    out
}

const COLORS: [RGBColor; 5] = [
    RGBColor(30, 80, 160),
    RGBColor(170, 60, 40),
    RGBColor(40, 110, 60),
    RGBColor(130, 90, 20),
    RGBColor(90, 90, 90),
];

/// Points over which a rate is taken.
const RATE_POINTS: usize = 12;

/// One plot as SVG: named lines over seconds.
fn plot(title: &str, unit: &str, lines: &[(String, Vec<(f64, f64)>)]) -> Result<String, String> {
    let mut svg = String::new();
    let words = |e: &dyn std::fmt::Display| format!("a plot: {e}");
    {
        let points = || lines.iter().flat_map(|(_, points)| points.iter());
        let right = points().map(|point| point.0).fold(1.0, f64::max);
        let top = points().map(|point| point.1).fold(1e-9, f64::max) * 1.05;
        let area = SVGBackend::with_string(&mut svg, (760, 300)).into_drawing_area();
        area.fill(&WHITE).map_err(|e| words(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..right, 0.0..top)
            .map_err(|e| words(&e))?;
        let mesh = chart.configure_mesh().max_light_lines(1).x_desc("seconds").y_desc(unit).draw();
        mesh.map_err(|e| words(&e))?;
        for ((name, points), color) in lines.iter().zip(COLORS.iter().cycle()) {
            chart
                .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))
                .map_err(|e| words(&e))?
                .label(name.as_str())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
        }
        let legend = chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw();
        legend.map_err(|e| words(&e))?;
        area.present().map_err(|e| words(&e))?;
    }
    Ok(svg)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// One page with everything in it.
///
/// # Errors
/// Where a plot can't be drawn.
pub fn html(report: &Report, bound: &Bound) -> Result<String, String> {
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>A trace replayed</title>\n<style>\
         body{font:15px sans-serif;max-width:60em;margin:2em auto;padding:0 1em;color:#222}\
         table{border-collapse:collapse}td,th{padding:.2em .8em;border-bottom:1px solid #ddd;\
         text-align:right}td:first-child{text-align:left}svg{max-width:100%;height:auto}</style>\n\
         <h1>A trace replayed</h1>\n<ul>\n",
    );
    story(report).iter().for_each(|line| page += &format!("<li>{}</li>\n", escape(line)));
    page += "</ul>\n<table><tr><th></th>";
    report.runs.iter().for_each(|run| page += &format!("<th>{}</th>", escape(&run.policy)));
    page += "</tr>\n";
    for (name, cells) in compared(report) {
        page += &format!("<tr><td>{}</td>", escape(&name));
        cells.iter().for_each(|cell| page += &format!("<td>{}</td>", escape(cell)));
        page += "</tr>\n";
    }
    page += "</table>\n";
    let over_time = |at: usize| -> Vec<(String, Vec<(f64, f64)>)> {
        let line = |run: &Run| {
            let points = run.over_time.iter().map(|point| (point[0], point[at])).collect();
            (run.policy.clone(), points)
        };
        report.runs.iter().map(line).collect()
    };
    let wanted = bound.over_time.iter().map(|(at, wanted, ..)| (*at, *wanted)).collect();
    let possible = bound.over_time.iter().map(|(at, _, possible, _)| (*at, *possible)).collect();
    let rate = |run: &Run| {
        // Over several points: machines count what was earned at steps of their own.
        let spans = run.over_time.windows(RATE_POINTS);
        let rate = spans.map(|span| {
            let (first, last) = (span[0], span[span.len() - 1]);
            ((first[0] + last[0]) / 2.0, ((last[7] - first[7]) / (last[0] - first[0]).max(1e-9)).max(0.0))
        });
        (run.policy.clone(), rate.collect())
    };
    let mut earned: Vec<(String, Vec<(f64, f64)>)> = report.runs.iter().take(2).map(rate).collect();
    earned.push(("asked".to_owned(), wanted));
    earned.push(("room allows".to_owned(), possible));
    page += &plot("Worth of a second of service", "worth", &earned)?;
    page += &plot("Tasks that wait", "tasks", &over_time(3))?;
    let mut in_use = over_time(2);
    in_use.push(("needed".to_owned(), bound.over_time.iter().map(|step| (step.0, step.3)).collect()));
    page += &plot("Machines in use, and as many as would hold what is asked for", "machines", &in_use)?;
    page += &plot("Cores used, of those up", "part", &over_time(5))?;
    page += &plot("Memory used, of what is up", "part", &over_time(6))?;
    page += "</html>\n";
    Ok(page)
}
