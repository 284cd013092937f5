//! Tables and verdict lines.

use comfy_table::{Table, presets::UTF8_HORIZONTAL_ONLY};
use mulleinhub_checker::{BooksVerdict, Verdict};
use mulleinhub_scenario::Score;

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_HORIZONTAL_ONLY).set_header(header.to_vec());
    table
}

fn ms(histogram: &hdrhistogram::Histogram<u64>) -> String {
    if histogram.is_empty() {
        return "none".to_owned();
    }
    let at = |part: f64| format!("{:.1}", histogram.value_at_quantile(part) as f64 / 1000.0);
    format!("{} / {} / {} ms", at(0.5), at(0.99), at(0.999))
}

/// What the traffic shows.
pub fn traffic(verdict: &Verdict) -> String {
    let figures = &verdict.figures;
    let name = |case: u32| {
        let terms = verdict.terms.as_ref();
        terms.and_then(|t| t.cases.get(case as usize)).map_or(format!("use case {case}"), |c| c.name.clone())
    };
    let mut cases = table(&["tasks by final answer", "taken", "placed", "nacked", "errored", "withdrawn"]);
    for (case, counts) in &figures.cases {
        let mut row = vec![name(*case)];
        row.extend(counts.iter().map(u64::to_string));
        cases.add_row(row);
    }
    let mut rest = table(&["of the traffic", ""]);
    let sends = figures.offers as f64 / figures.tasks_offered.max(1) as f64;
    rest.add_row(["sends a task", &format!("{sends:.3}")]);
    let nacks: Vec<String> = figures.nacks.iter().map(|(reason, n)| format!("{reason} {n}")).collect();
    rest.add_row(["nacks of machines", &if nacks.is_empty() { "none".to_owned() } else { nacks.join(", ") }]);
    rest.add_row(["machines lost", &verdict.machines_lost.to_string()]);
    rest.add_row(["take to send, p50 / p99 / p99.9", &ms(&figures.take_to_send)]);
    rest.add_row(["take to answer, p50 / p99 / p99.9", &ms(&figures.take_to_answer)]);
    rest.add_row(["frames", &format!("{} ({} KiB)", figures.frames, figures.frame_bytes / 1024)]);
    format!("{cases}\n{rest}\n")
}

/// What service came to, as the stand-ins saw it.
pub fn service(score: &Score) -> String {
    let mut service = table(&["service", "earned", "asked", "earned/asked", "starts in time"]);
    let of = |counts: &[u64], n: usize| counts.get(n).copied().unwrap_or(0);
    for (n, name) in score.cases.iter().enumerate() {
        let (earned, asked) = (score.earned.of(n), score.owners.asked.of(n));
        service.add_row([
            name.clone(),
            format!("{earned:.0}"),
            format!("{asked:.0}"),
            format!("{:.3}", earned / asked.max(1e-9)),
            format!("{} of {}", of(&score.owners.starts_in_time, n), of(&score.owners.first_starts, n)),
        ]);
    }
    service.add_row([
        "all".to_owned(),
        format!("{:.0}", score.earned.sum()),
        format!("{:.0}", score.owners.asked.sum()),
        format!("{:.3}", score.earned.sum() / score.owners.asked.sum().max(1e-9)),
        format!(
            "{} of {}",
            score.owners.starts_in_time.iter().sum::<u64>(),
            score.owners.first_starts.iter().sum::<u64>()
        ),
    ]);
    format!("{service}\n{}", silent(score))
}

fn silent(score: &Score) -> String {
    let (up, tally) = &score.silent;
    if tally.opened == 0 {
        return String::new();
    }
    let mut text = format!(
        "silent connections: {up} up at the end; opened {}, refused {}, ended {}; \
         asked for a sign {}, spoke {}, answered {}",
        tally.opened, tally.refused, tally.ended, tally.asked_for_sign, tally.spoke, tally.answered
    );
    if let Some(recovered) = tally.recovered {
        text += &format!("; all back {:.2} s after the last storm", recovered.nanos() as f64 / 1e9);
    }
    for (words, count) in &tally.byes {
        text += &format!("\n    told {count} times: {words}");
    }
    text + "\n"
}

/// A line for each rule, and its breaches.
/// How one rule came out, in a line.
fn state(breaches: usize, cases: u64) -> String {
    match (breaches, cases) {
        (0, 0) => "not met today".to_owned(),
        (0, cases) => format!("kept ({cases} cases)"),
        (broken, cases) => format!("BROKEN {broken} times ({cases} cases)"),
    }
}

/// The rules of the books, a line each, and what teams spent.
pub fn books(books: &BooksVerdict) -> String {
    let mut text = String::new();
    for (rule, name) in books.rules.iter().zip(BooksVerdict::NAMES) {
        text += &format!("books {name}: {}\n", state(rule.breaches.len(), rule.cases));
        for (why, count) in &rule.excused {
            text += &format!("    not judged: {count} {why}\n");
        }
        for breach in rule.breaches.iter().take(10) {
            text += &format!("    {breach}\n");
        }
        if rule.breaches.len() > 10 {
            text += &format!("    and {} more\n", rule.breaches.len() - 10);
        }
    }
    for (team, figures) in &books.figures {
        let cap = figures.cap.map_or("none".to_owned(), |cap| cap.to_string());
        text += &format!(
            "team {team}: cap {cap}, spent {}, charged {}, {} new workers, left for new ones at the \
             last {}\n",
            figures.spent, figures.charged, figures.workers, figures.left
        );
    }
    text + &format!("between planners: {} frames, {} KiB\n", books.frames, books.frame_bytes / 1024)
}

pub fn rules(verdict: &Verdict) -> String {
    let mut text = String::new();
    for (n, (rule, name)) in verdict.rules.iter().zip(Verdict::NAMES).enumerate() {
        let state = state(rule.breaches.len(), rule.cases);
        text += &format!("rule {} {name}: {state}\n", n + 1);
        for (why, count) in &rule.excused {
            text += &format!("    not judged: {count} {why}\n");
        }
        for breach in rule.breaches.iter().take(10) {
            let task = breach.task.map_or(String::new(), |task| format!(", task {task}"));
            let machine = breach.machine.map_or(String::new(), |machine| format!(", machine {machine}"));
            let planner = if breach.planner.is_empty() { "all planners" } else { &breach.planner };
            text += &format!(
                "    at {:.3} s, {planner}{task}{machine}: {}\n",
                breach.at as f64 / 1e9,
                breach.words
            );
        }
        if rule.breaches.len() > 10 {
            text += &format!("    and {} more\n", rule.breaches.len() - 10);
        }
    }
    text + &verdict.books.as_ref().map(books).unwrap_or_default()
}
