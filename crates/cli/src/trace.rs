//! `trace`: what is in public cluster traces, small made ones, and replays of samples of them.

use crate::day::Baseline;
use clap::{Args, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_replay::{Bound, DEFAULT_MAP, Replay, Report, bound, build, html, play, read_map, text};
use mulleinhub_scenario::Day;
use mulleinhub_settings::{Diagnostics, Value, parse, parse_text};
use mulleinhub_simulation::Ranking;
use mulleinhub_trace::{
    Inspection, LAYOUTS, Mapping, Model, Progress, Reader, Sample, Share, Work, by_name, collect,
    find_sources, inspect, make,
};
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::time::{Duration as StdDuration, Instant};

#[derive(Subcommand)]
pub enum TraceCommand {
    /// Says what is in these files: tables, time range, classes, mix, faults
    Inspect(Inspect),
    /// Writes a small trace, with faults that are counted as they are put in
    Make(Make),
    /// Replays a sample of a trace under the module, and judges the five rules
    Replay(Play),
    /// Replays it under the module and plain policies, and writes tables, JSON and a page with plots
    Report(Play),
    /// Lists the layouts that are read, their tables, and what is derived
    Layouts,
}

#[derive(Args)]
pub struct Files {
    /// Files or folders of tables, plain or gzip; - is standard input
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// The layout; told by the files' names where it is not named
    #[arg(long)]
    layout: Option<String>,
    /// The table that standard input is
    #[arg(long)]
    table: Option<String>,
    /// Tables that are left out
    #[arg(long, value_delimiter = ',')]
    without: Vec<String>,
    /// Tables that are parsed at a time; figures don't hang on it
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// The mapping file: classes, faults, machines; an embedded one where none is named
    #[arg(long)]
    map: Option<PathBuf>,
}

#[derive(Args)]
pub struct Inspect {
    #[command(flatten)]
    files: Files,
    /// Prints JSON
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct Make {
    /// The folder that the tables are written to
    folder: PathBuf,
    #[arg(long, default_value = "google-2011")]
    layout: String,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 100)]
    machines: u64,
    #[arg(long, default_value_t = 500)]
    jobs: u64,
    #[arg(long, default_value = "10min", value_parser = span)]
    length: Duration,
    /// One job of so many tasks at one instant, in the middle
    #[arg(long, default_value_t = 0)]
    burst: u64,
    /// So many faults of each kind
    #[arg(long, default_value_t = 0)]
    faults: u64,
    #[arg(long)]
    gzip: bool,
    /// Numbered parts of each table
    #[arg(long, default_value_t = 1)]
    parts: usize,
}

#[derive(Args)]
pub struct Play {
    #[command(flatten)]
    files: Files,
    /// So many machines of the trace's, drawn by the seed
    #[arg(long)]
    machines: Option<usize>,
    /// The part of the jobs: a number, or `machines` for as much as the kept machines are of all
    #[arg(long, default_value = "machines")]
    jobs: String,
    /// Times what `--jobs machines` gives
    #[arg(long, default_value_t = 1.0)]
    load: f64,
    /// The slice's begin on the trace's clock
    #[arg(long, value_parser = span)]
    from: Option<Duration>,
    #[arg(long, value_parser = span)]
    to: Option<Duration>,
    /// Time goes so many times faster
    #[arg(long, default_value_t = 1.0)]
    compress: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Planners, in place of the mapping's
    #[arg(long)]
    planners: Option<usize>,
    /// A day's script whose troubles are laid over the trace
    #[arg(long)]
    troubles: Option<PathBuf>,
    /// Plain policies beside the module (report)
    #[arg(long, value_enum, value_delimiter = ',', default_value = "random,least-requested,tight-fit")]
    baselines: Vec<Baseline>,
    /// Where report.json and report.html go
    #[arg(long, default_value = "trace-report")]
    out: PathBuf,
    /// Real sockets and processes in place of virtual time (replay)
    #[arg(long)]
    real: bool,
    /// No more tasks are kept, however great the sample
    #[arg(long, default_value_t = 1_000_000)]
    most_tasks: usize,
}

fn span(text: &str) -> Result<Duration, String> {
    Ok(Duration::parse(text)?)
}

pub fn run(command: TraceCommand) -> Result<ExitCode, String> {
    match command {
        TraceCommand::Inspect(inspect) => inspect.go(),
        TraceCommand::Make(make) => make.go(),
        TraceCommand::Replay(play) => play.go(true),
        TraceCommand::Report(play) => play.go(false),
        TraceCommand::Layouts => {
            for layout in LAYOUTS {
                println!("{}: {}", layout.name(), layout.about());
                for table in layout.tables() {
                    println!("    {}: {}", table.name, table.columns.join(", "));
                }
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

impl Files {
    fn map(&self) -> Result<(Mapping, Day), String> {
        let mut faults = Diagnostics::default();
        let directives = match &self.map {
            Some(path) => parse(path, &mut faults).map_err(|e| format!("{}: {e}", path.display()))?,
            None => parse_text("traces.map", DEFAULT_MAP, &mut faults),
        };
        read_map(&directives, faults)
    }

    fn reader(&self, mapping: &Mapping) -> Result<Reader, String> {
        let layout = match &self.layout {
            None => None,
            Some(name) => Some(by_name(name).ok_or_else(|| {
                let known: Vec<&str> = LAYOUTS.iter().map(|layout| layout.name()).collect();
                format!("{name}: no such layout ({})", known.join(", "))
            })?),
        };
        let (layout, sources) = find_sources(&self.files, layout, self.table.as_deref())?;
        let window = mapping.window.nanos() / 1_000;
        let policies = mapping.policies.clone();
        Ok(Reader { layout, sources, policies, window, without: self.without.clone(), threads: self.threads })
    }
}

/// Shows how many rows were read while `work` reads; an interrupt ends reading early.
fn watched<T>(work: impl FnOnce(&Progress) -> T) -> Result<T, String> {
    let progress = Progress::default();
    let signal = signal_hook::consts::SIGINT;
    let heard = signal_hook::flag::register(signal, progress.stop.clone());
    let heard = heard.map_err(|e| format!("signals: {e}"))?;
    let bar = std::io::stderr().is_terminal().then(ProgressBar::new_spinner);
    if let Some(bar) = &bar {
        bar.set_style(ProgressStyle::with_template("{spinner} {msg}").expect("a fixed template"));
    }
    let over = std::sync::atomic::AtomicBool::new(false);
    let done = std::thread::scope(|scope| {
        scope.spawn(|| {
            while !over.load(Ordering::Relaxed) {
                if let Some(bar) = &bar {
                    bar.set_message(format!("{} rows", progress.rows.load(Ordering::Relaxed)));
                    bar.tick();
                }
                std::thread::sleep(StdDuration::from_millis(50));
            }
        });
        let done = work(&progress);
        over.store(true, Ordering::Relaxed);
        done
    });
    signal_hook::low_level::unregister(heard);
    if let Some(bar) = bar {
        bar.finish_and_clear();
    }
    Ok(done)
}

impl Inspect {
    fn go(&self) -> Result<ExitCode, String> {
        let (mapping, _) = self.files.map()?;
        let reader = self.files.reader(&mapping)?;
        let began = Instant::now();
        let found = watched(|progress| inspect(&reader, progress))??;
        if self.json {
            println!("{}", serde_json::to_string_pretty(&found).map_err(|e| e.to_string())?);
        } else {
            tell(&found, &mapping, began.elapsed());
        }
        Ok(if found.partial { ExitCode::FAILURE } else { ExitCode::SUCCESS })
    }
}

fn tell(found: &Inspection, mapping: &Mapping, took: StdDuration) {
    let all: u64 = found.rows.values().sum();
    println!("layout {}; {all} rows in {:.1} s", found.layout, took.as_secs_f64());
    for (table, rows) in &found.rows {
        println!("    {table}: {rows} rows");
    }
    let seconds = |at: u64| at as f64 / 1e6;
    println!(
        "clock: {:.0} s to {:.0} s; {} events after the end",
        seconds(found.first.unwrap_or(0)),
        seconds(found.last),
        found.after
    );
    println!("machines: {} times up, {} times gone", found.machines, found.machine_ends);
    println!("tasks: {} times wanted, {} started; usage rows: {}", found.wanted, found.starts, found.usage);
    let ends: Vec<String> = found.ends.iter().map(|(way, count)| format!("{way} {count}")).collect();
    println!("ends: {}", if ends.is_empty() { "none".to_owned() } else { ends.join(", ") });
    for (class, count) in &found.mix.classes {
        let case = mapping.use_case(*class, 0).unwrap_or("no use case");
        println!("class {class}: {count} tasks; {case}");
    }
    let at = |part| (found.mix.cores.at(part), found.mix.memory.at(part));
    println!("asked cores and memory, in the layout's units: p50 {:.4?}, p99 {:.4?}", at(0.5), at(0.99));
    println!("busiest minute: {:.1} times the mean", found.mix.bursts().at(1.0));
    for (what, counts) in [("repaired", &found.faults.repaired), ("kept out", &found.faults.skipped)] {
        for (fault, count) in counts {
            let first = found.faults.first.get(fault).map_or("", String::as_str);
            println!("{what}: {} {count} times, first at {first}", fault.name());
        }
    }
    if found.partial {
        println!("PARTIAL: reading was ended early; all of this is of a part");
    }
}

impl Make {
    fn go(&self) -> Result<ExitCode, String> {
        let model = Model {
            layout: self.layout.clone(),
            seed: self.seed,
            machines: self.machines.max(1),
            jobs: self.jobs.max(1),
            length: (self.length.nanos() / 1_000_000_000).max(10),
            burst: self.burst,
            faults: self.faults,
            gzip: self.gzip,
            parts: self.parts,
        };
        let made = make(&model, &self.folder)?;
        println!("{} tasks on {} machines in {}", made.tasks, model.machines, self.folder.display());
        made.rows.iter().for_each(|(table, rows)| println!("    {table}: {rows} rows"));
        made.faults.iter().for_each(|(fault, count)| println!("fault {}: {count}", fault.name()));
        Ok(ExitCode::SUCCESS)
    }
}

impl Play {
    fn sample(&self) -> Result<Sample, String> {
        let share = match self.jobs.as_str() {
            "machines" => Share::ByMachines(self.load),
            part => match part.parse::<f64>() {
                Ok(part) if part > 0.0 && part <= 1.0 => Share::Part(part),
                _ => return Err(format!("--jobs {part}: a part from 0 to 1, or machines, is wanted")),
            },
        };
        if !(self.compress > 0.0 && self.compress <= 1e6) {
            return Err("--compress: more than 0 and at most 1000000 is wanted".to_owned());
        }
        let clock = |span: Option<Duration>| span.map(|span| span.nanos() / 1_000);
        Ok(Sample {
            seed: self.seed,
            share,
            machines: self.machines,
            from: clock(self.from),
            to: clock(self.to),
            compress: self.compress,
            most_tasks: self.most_tasks,
        })
    }

    fn read(&self) -> Result<(Work, Replay, Bound, Report), String> {
        let (mapping, base) = self.files.map()?;
        let reader = self.files.reader(&mapping)?;
        let sample = self.sample()?;
        let work = watched(|progress| collect(&reader, &mapping, &sample, progress))??;
        let mut replay = build(&work, &mapping, &base, "a trace")?;
        replay.day.seed = self.seed;
        replay.day.planners = self.planners.unwrap_or(replay.day.planners).clamp(1, 100);
        if let Some(path) = &self.troubles {
            replay.day.troubles = crate::day::troubles(path)?;
        }
        let bound = bound(&replay.day, &replay.day.worth());
        let report = Report::new(reader.layout.name(), self.seed, &work, &replay, &bound);
        Ok((work, replay, bound, report))
    }

    fn go(&self, alone: bool) -> Result<ExitCode, String> {
        let (_, replay, bound, mut report) = self.read()?;
        if self.real {
            return crate::day::play_real(replay.day);
        }
        let mut rules = vec![("the module".to_owned(), None)];
        if !alone {
            rules.extend(self.baselines.iter().map(|policy| {
                let name =
                    policy.to_possible_value().map_or(String::new(), |value| value.get_name().to_owned());
                (name.replace('-', " "), Some(policy.rule()))
            }));
        }
        for (name, rule) in rules {
            let outcome = play_watched(&replay.day, &name, rule)?;
            report.add(&name, &outcome);
        }
        print!("{}", text(&report));
        let words = |path: &Path, e: std::io::Error| format!("{}: {e}", path.display());
        std::fs::create_dir_all(&self.out).map_err(|e| words(&self.out, e))?;
        let (json, page) = (self.out.join("report.json"), self.out.join("report.html"));
        std::fs::write(&json, report.json()).map_err(|e| words(&json, e))?;
        std::fs::write(&page, html(&report, &bound)?).map_err(|e| words(&page, e))?;
        println!("{} and {}", json.display(), page.display());
        Ok(if report.holds() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }
}

fn play_watched(day: &Day, name: &str, rule: Option<Ranking>) -> Result<mulleinhub_replay::Outcome, String> {
    let began = Instant::now();
    let length = day.length.nanos() / 1_000_000_000;
    let bar = std::io::stderr().is_terminal().then(|| ProgressBar::new(length));
    let mut told = began;
    let outcome = play(day, rule, |now: Timestamp| {
        let seconds = now.nanos() / 1_000_000_000;
        if let Some(bar) = &bar {
            bar.set_position(seconds.min(length));
        } else if told.elapsed() > StdDuration::from_secs(5) {
            told = Instant::now();
            eprintln!("{name}: {seconds} s of {length} s");
        }
    })?;
    if let Some(bar) = bar {
        bar.finish_and_clear();
    }
    eprintln!("{name}: {length} s played in {:.1} s", began.elapsed().as_secs_f64());
    Ok(outcome)
}
