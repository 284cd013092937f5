//! `check` and `day`.

use crate::report;
use clap::{Args, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use mulleinhub_checker::Verdict;
use mulleinhub_interface::Timestamp;
use mulleinhub_load_test::play_over_sockets;
use mulleinhub_scenario::{Day, Progress, Score, parse_day};
use mulleinhub_settings::{Diagnostics, Directive, parse, parse_text};
use mulleinhub_simulation::{Ranking, Simulation};
use std::fs::File;
use std::io::{BufReader, BufWriter, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The day that is played where none is named, and what it includes.
const DEFAULT_DAY: &str = include_str!("../../../days/bad-day.day");
const DEFAULT_TOWN: &str = include_str!("../../../days/town.day");

#[derive(Subcommand)]
pub enum DayCommand {
    /// Plays a day: real processes and sockets, or virtual time
    Run(Run),
    /// Lists the day scripts of a folder
    List {
        #[arg(default_value = "days")]
        folder: PathBuf,
    },
    /// Says in words what a script does
    Explain { script: Option<PathBuf> },
}

#[derive(Args)]
pub struct Run {
    /// The script; a bad day where none is named
    script: Option<PathBuf>,
    /// Virtual time, one thread: the same seed gives the same capture, bit for bit
    #[arg(long = "virtual")]
    in_virtual_time: bool,
    #[arg(long)]
    seed: Option<u64>,
    /// Plays this many seeds one after the other, from --seed on (virtual time)
    #[arg(long, requires = "in_virtual_time")]
    seeds: Option<u64>,
    /// Adds so many random troubles, drawn from the seed
    #[arg(long)]
    random_troubles: Option<usize>,
    /// Leaves out the script's own troubles
    #[arg(long)]
    no_troubles: bool,
    /// New tasks a second, in place of the script's
    #[arg(long)]
    rate: Option<f64>,
    /// Machines, in place of the script's
    #[arg(long)]
    machines: Option<usize>,
    /// Racks, in place of the script's
    #[arg(long)]
    racks: Option<u32>,
    /// Planners, in place of the script's
    #[arg(long)]
    planners: Option<usize>,
    /// Silent connections, in place of the script's
    #[arg(long)]
    silent: Option<usize>,
    /// Ends after so long, as 20s, in place of the script's length
    #[arg(long)]
    length: Option<String>,
    /// Lets a plain policy decide in place of the module, for comparison (virtual time)
    #[arg(long, requires = "in_virtual_time", value_enum)]
    baseline: Option<Baseline>,
    /// Prints at the end how each planner is (virtual time)
    #[arg(long, requires = "in_virtual_time")]
    status: bool,
    /// Where the capture goes
    #[arg(long)]
    capture: Option<PathBuf>,
}

#[derive(Clone, Copy, clap::ValueEnum)]
pub enum Baseline {
    Random,
    LeastRequested,
    TightFit,
}

impl Baseline {
    pub fn rule(self) -> Ranking {
        match self {
            Self::Random => Ranking::Random,
            Self::LeastRequested => Ranking::LeastRequested,
            Self::TightFit => Ranking::MostRequested,
        }
    }
}

fn scripts(path: Option<&Path>, faults: &mut Diagnostics) -> Result<Vec<Directive>, String> {
    match path {
        Some(path) => parse(path, faults).map_err(|error| format!("{}: {error}", path.display())),
        None => {
            // The embedded script can't include a file that may not be there.
            let text = DEFAULT_DAY.replace("include \"town.day\"", "");
            let mut directives = parse_text("bad-day.day", &text, faults);
            directives.extend(parse_text("town.day", DEFAULT_TOWN, faults));
            Ok(directives)
        }
    }
}

fn read(path: Option<&Path>) -> Result<Day, String> {
    let mut faults = Diagnostics::default();
    let directives = scripts(path, &mut faults)?;
    parse_day(&directives, &mut faults).ok_or_else(|| faults.render())
}

/// A day's script has `length`, a planner's settings have `list`.
pub fn check(path: &Path) -> Result<ExitCode, String> {
    let mut faults = Diagnostics::default();
    let directives = scripts(Some(path), &mut faults)?;
    let is_day = directives.iter().any(|d| d.name.text == "length");
    let fine = if is_day {
        parse_day(&directives, &mut faults).map(|day| format!("a day, {:?}", day.name))
    } else {
        mulleinhub_planner::parse_settings(&directives, &mut faults)
            .map(|conf| format!("settings of the planner {}", conf.engine.name))
    };
    match fine {
        Some(what) => {
            println!("{}: fine, {what}", path.display());
            Ok(ExitCode::SUCCESS)
        }
        None => Err(faults.render()),
    }
}

pub fn run(command: DayCommand) -> Result<ExitCode, String> {
    match command {
        DayCommand::Run(run) => run.go(),
        DayCommand::Explain { script } => {
            read(script.as_deref())?.explain().iter().for_each(|line| println!("{line}"));
            Ok(ExitCode::SUCCESS)
        }
        DayCommand::List { folder } => {
            let entries = std::fs::read_dir(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
            let mut paths: Vec<PathBuf> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
            paths.retain(|path| path.extension().is_some_and(|end| end == "day"));
            paths.sort();
            for path in paths {
                match read(Some(&path)) {
                    Ok(day) => {
                        let troubles = day.troubles.len();
                        println!("{}: {}, {troubles} troubles", path.display(), day.name);
                    }
                    // What only other scripts include is no day of its own.
                    Err(faults) if faults.contains("length is missing") => {}
                    Err(faults) => println!("{}: faulty\n{faults}", path.display()),
                }
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

impl Run {
    fn day(&self) -> Result<Day, String> {
        let mut day = read(self.script.as_deref())?;
        day.seed = self.seed.unwrap_or(day.seed);
        day.rate = self.rate.unwrap_or(day.rate);
        day.machines = self.machines.unwrap_or(day.machines);
        day.racks = self.racks.unwrap_or(day.racks);
        day.planners = self.planners.unwrap_or(day.planners);
        day.silent = self.silent.unwrap_or(day.silent);
        if let Some(n) = self.random_troubles {
            day.random_troubles = mulleinhub_settings::Range { low: n, high: n };
        }
        if self.no_troubles {
            day.troubles.clear();
        }
        if let Some(length) = &self.length {
            use mulleinhub_settings::Value;
            day.length = mulleinhub_interface::Duration::parse(length)
                .map_err(|words| format!("--length {length}: {words}"))?;
        }
        match day.too_large() {
            Some(words) => Err(words),
            None => Ok(day),
        }
    }

    /// The command that plays this seed again.
    fn again(&self, seed: u64) -> String {
        let mut words = vec!["mulleinhub day run --virtual".to_owned(), format!("--seed {seed}")];
        words.extend(self.random_troubles.map(|n| format!("--random-troubles {n}")));
        words.extend(self.no_troubles.then(|| "--no-troubles".to_owned()));
        words.extend(self.rate.map(|rate| format!("--rate {rate}")));
        words.extend(self.machines.map(|n| format!("--machines {n}")));
        words.extend(self.racks.map(|n| format!("--racks {n}")));
        words.extend(self.planners.map(|n| format!("--planners {n}")));
        words.extend(self.silent.map(|n| format!("--silent {n}")));
        words.extend(self.length.as_ref().map(|length| format!("--length {length}")));
        words.extend(self.script.as_ref().map(|script| script.display().to_string()));
        words.join(" ")
    }

    fn go(&self) -> Result<ExitCode, String> {
        let day = self.day()?;
        if let Some(seeds) = self.seeds {
            return self.many(&day, seeds);
        }
        if self.in_virtual_time {
            let path = self.capture.clone().unwrap_or_else(|| folder(&day).join("capture"));
            let (path, score, end) = self.in_virtual(day, &path)?;
            told(&path, &score, end, None)
        } else {
            let folder = folder(&day);
            let path = self.capture.clone().unwrap_or_else(|| folder.join("capture"));
            real(day, &folder, &path)
        }
    }

    fn in_virtual(&self, day: Day, path: &Path) -> Result<(PathBuf, Score, Timestamp), String> {
        let words = |e: std::io::Error| format!("{}: {e}", path.display());
        if let Some(parent) = path.parent() {
            std::fs::create_dir_all(parent).map_err(words)?;
        }
        let out = BufWriter::new(File::create(path).map_err(words)?);
        let watch = Watch::new(&day);
        let mut end = Timestamp::default();
        let rule = self.baseline.map(Baseline::rule);
        let mut simulation = Simulation::new(day, out).with_baseline(rule);
        simulation.run_to_end(|now, stage| {
            end = now;
            watch.see(now, &stage.progress());
        });
        watch.done();
        if self.status {
            simulation.status().iter().for_each(|words| println!("{words}\n"));
        }
        let played = simulation.run(|_, _| ());
        let (score, _, mut out) = played.map_err(words)?;
        out.flush().map_err(words)?;
        Ok((path.to_owned(), score, end))
    }

    /// Seed after seed on all cores; each failing one is told with the command that plays it again.
    fn many(&self, day: &Day, seeds: u64) -> Result<ExitCode, String> {
        let first = day.seed;
        let next = std::sync::atomic::AtomicU64::new(0);
        let results = std::sync::Mutex::new(Vec::new());
        let threads = std::thread::available_parallelism().map_or(1, usize::from);
        std::thread::scope(|scope| {
            for _ in 0..threads {
                scope.spawn(|| {
                    loop {
                        let n = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                        if n >= seeds {
                            return;
                        }
                        let seed = first + n;
                        let one = Day { seed, ..day.clone() };
                        let played = std::panic::catch_unwind(|| {
                            let rule = self.baseline.map(Baseline::rule);
                            let played = Simulation::new(one, Vec::new()).with_baseline(rule).run(|_, _| ());
                            let (score, _, capture) = played.map_err(|e| e.to_string())?;
                            let verdict =
                                mulleinhub_checker::judge(&capture[..]).map_err(|e| e.to_string())?;
                            Ok::<_, String>((score, verdict))
                        });
                        let played = played.unwrap_or_else(|_| Err("an assertion failed".to_owned()));
                        results.lock().expect("no thread panics with it").push((seed, played));
                    }
                });
            }
        });
        let mut results = results.into_inner().expect("no thread panics with it");
        results.sort_by_key(|(seed, _)| *seed);
        let mut cases = [0u64; 5];
        let mut shares = Vec::new();
        let mut failed = 0;
        for (seed, played) in &results {
            match played {
                Ok((score, verdict)) => {
                    shares.push((score.earned.sum() / score.owners.asked.sum().max(1e-9), *seed));
                    cases.iter_mut().zip(&verdict.rules).for_each(|(sum, rule)| *sum += rule.cases);
                    if !verdict.holds() {
                        failed += 1;
                        println!("seed {seed} breaks a rule; again: {}", self.again(*seed));
                        print!("{}", report::rules(verdict));
                    }
                }
                Err(words) => {
                    failed += 1;
                    println!("seed {seed}: {words}; again: {}", self.again(*seed));
                }
            }
        }
        shares.sort_by(|a, b| a.0.total_cmp(&b.0));
        let at = |part: f64| {
            shares.get(((shares.len().max(1) - 1) as f64 * part) as usize).copied().unwrap_or((0.0, 0))
        };
        println!(
            "{seeds} seeds, {failed} failed; earned/asked \
             lowest {:.3} (seed {}), median {:.3}, highest {:.3}",
            at(0.0).0,
            at(0.0).1,
            at(0.5).0,
            at(1.0).0
        );
        for (name, cases) in Verdict::NAMES.iter().zip(cases) {
            println!("{name}: {cases} cases");
        }
        Ok(if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }
}

/// Plays a day over sockets and tells what it came to.
fn real(day: Day, folder: &Path, path: &Path) -> Result<ExitCode, String> {
    let watch = Watch::new(&day);
    let played = play_over_sockets(day, folder, path, &|_, _| None, |now, progress| watch.see(now, progress));
    let (score, end, usage) = played?;
    watch.done();
    told(path, &score, end, Some(usage))
}

/// The same for a day that no script tells.
pub fn play_real(day: Day) -> Result<ExitCode, String> {
    let folder = folder(&day);
    real(day, &folder, &folder.join("capture"))
}

/// The troubles of a day's script, to be laid over another day.
pub fn troubles(path: &Path) -> Result<Vec<mulleinhub_scenario::Trouble>, String> {
    Ok(read(Some(path))?.troubles)
}

fn told(
    path: &Path,
    score: &Score,
    end: Timestamp,
    usage: Option<mulleinhub_load_test::Usage>,
) -> Result<ExitCode, String> {
    let file = File::open(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let verdict =
        mulleinhub_checker::judge(BufReader::new(file)).map_err(|e| format!("{}: {e}", path.display()))?;
    print(&verdict, score);
    if let Some(usage) = usage {
        let taken: u64 = verdict.figures.cases.values().map(|counts| counts[0]).sum();
        println!(
            "planners' CPU: {:.0} us a task, {:.2} s in all; most memory of one: {} KiB",
            usage.cpu.as_micros() as f64 / taken.max(1) as f64,
            usage.cpu.as_secs_f64(),
            usage.most_memory
        );
    }
    println!("{:.1} s played; capture: {}", end.nanos() as f64 / 1e9, path.display());
    Ok(if verdict.holds() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn folder(day: &Day) -> PathBuf {
    let name: String = day.name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
    std::env::temp_dir().join(format!("mulleinhub-{name}-{}", std::process::id()))
}

fn print(verdict: &Verdict, score: &Score) {
    print!("{}", report::traffic(verdict));
    print!("{}", report::service(score));
    print!("{}", report::rules(verdict));
}

/// Progress: a bar on a terminal, a line every five seconds elsewhere.
struct Watch {
    bar: Option<ProgressBar>,
    length: u64,
    last: std::cell::Cell<u64>,
}

impl Watch {
    fn new(day: &Day) -> Self {
        let length = day.length.nanos() / 1_000_000;
        let bar = std::io::stdout().is_terminal().then(|| {
            let bar = ProgressBar::new(length);
            let style = ProgressStyle::with_template("{bar:30} {percent:>3}% {msg}");
            bar.set_style(style.expect("a fixed template"));
            bar
        });
        Self { bar, length, last: std::cell::Cell::new(0) }
    }

    fn see(&self, now: Timestamp, progress: &Progress) {
        let ms = now.nanos() / 1_000_000;
        let troubles =
            if progress.troubles.is_empty() { "none".to_owned() } else { progress.troubles.join(", ") };
        let words = format!(
            "placed {} running {} waiting {} nacked {} errored {}; troubles: {troubles}",
            progress.placed, progress.running, progress.waiting, progress.nacked, progress.errored
        );
        match &self.bar {
            Some(bar) => {
                bar.set_position(ms.min(self.length));
                bar.set_message(words);
            }
            None if ms / 5_000 > self.last.get() => {
                self.last.set(ms / 5_000);
                println!("{:>3} s: {words}", ms / 1_000);
            }
            None => {}
        }
    }

    fn done(&self) {
        if let Some(bar) = &self.bar {
            bar.finish_and_clear();
        }
    }
}
