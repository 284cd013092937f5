//! Pairs of versions on the same drawn days, over sockets, with planners as processes of either version.

use crate::build::{program, root, tree, versions};
use mulleinhub_checker::{Verdict, judge};
use mulleinhub_interface::Timestamp;
use mulleinhub_scenario::{Day, parse_day};
use mulleinhub_settings::{Diagnostics, parse};
use std::io::BufReader;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Which planners of a fleet are of the present version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fleet {
    /// The first so many.
    New(usize),
    /// Old ones that come back as new ones once half of the day is over, and the reverse.
    RolledUp,
    RolledDown,
}

impl Fleet {
    fn is_new(self, planner: usize, now: Timestamp, half: Timestamp) -> bool {
        match self {
            Self::New(many) => planner < many,
            Self::RolledUp => now >= half,
            Self::RolledDown => now < half,
        }
    }

    fn name(self, all: usize) -> String {
        match self {
            Self::New(0) => "all old".into(),
            Self::New(many) if many == all => "all new".into(),
            Self::New(many) => format!("{many} of {all} new"),
            Self::RolledUp => "rolled up".into(),
            Self::RolledDown => "rolled down".into(),
        }
    }
}

/// What one play came to.
struct Played {
    fleet: usize,
    seed: u64,
    earned: f64,
    refused: f64,
    broken: Vec<String>,
}

fn read(path: &Path, seed: u64) -> Result<Day, String> {
    let mut faults = Diagnostics::default();
    let directives = parse(path, &mut faults).map_err(|error| format!("{}: {error}", path.display()))?;
    let day = parse_day(&directives, &mut faults).ok_or_else(|| faults.render())?;
    Ok(Day { seed, ..day })
}

fn has_work_logs(day: &Day) -> bool {
    day.books.as_ref().is_some_and(|books| books.terms.replicas.is_some() || !books.terms.sites.is_empty())
}

/// An older planner refuses directives that it doesn't know, as the operators would leave them out: a script
/// that starts it with its settings, but for the replicas and where members run.
fn without_work_logs(root: &Path, old: &Path) -> Result<PathBuf, String> {
    let at = root.join("target/versions/older-planner");
    let leave_out = r#"sed -e '/^    replicas /d' -e 's/^\(    member [^ ]* "[^"]*"\).*/\1/'"#;
    let text = format!("#!/bin/sh\n{leave_out} \"$1\" >\"$1.older\"\nexec {old:?} \"$1.older\"\n");
    let words = |error: std::io::Error| format!("{}: {error}", at.display());
    std::fs::write(&at, text).map_err(words)?;
    std::fs::set_permissions(&at, std::fs::Permissions::from_mode(0o755)).map_err(words)?;
    Ok(at)
}

/// Plays all fleets on each drawn day; true where every rule held.
///
/// # Errors
/// What git, a build or the system refuses, in words.
pub fn pair(
    version: &str,
    script: &Path,
    seed: u64,
    days: u64,
    fleets: Option<usize>,
    at_a_time: usize,
) -> Result<bool, String> {
    let root = root()?;
    let known = versions()?;
    let Some(of) = known.iter().find(|of| of.name == version) else {
        let names: Vec<&str> = known.iter().map(|of| of.name.as_str()).collect();
        return Err(format!("no version {version}; there are {}", names.join(", ")));
    };
    println!("{} ({}): {}", of.name, of.commit, of.words);
    let old =
        program(&root, &tree(&root, &of.name, &of.commit)?, "mulleinhub-planner", "mulleinhub-planner")?;
    let new = program(&root, &root, "mulleinhub-planner", "mulleinhub-planner")?;
    let day = read(script, seed)?;
    let planners = day.planners;
    let old = if has_work_logs(&day) { without_work_logs(&root, &old)? } else { old };
    let usual =
        [Fleet::New(0), Fleet::New(planners), Fleet::New(planners / 2), Fleet::RolledUp, Fleet::RolledDown];
    let others = (1..planners).filter(|many| *many != planners / 2).map(Fleet::New);
    let all: Vec<Fleet> = usual.into_iter().chain(others).take(fleets.unwrap_or(usize::MAX)).collect();
    let plays: Vec<(usize, u64)> =
        (0..days).flat_map(|day| (0..all.len()).map(move |fleet| (fleet, seed + day))).collect();
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..at_a_time.max(1).min(plays.len()) {
            scope.spawn(|| {
                while let Some((fleet, seed)) = plays.get(next.fetch_add(1, Ordering::Relaxed)).copied() {
                    let played = play(script, fleet, all[fleet], seed, &old, &new);
                    results.lock().expect("no thread panics with it").push(played);
                }
            });
        }
    });
    let results = results.into_inner().expect("no thread panics with it");
    let mut played = results.into_iter().collect::<Result<Vec<Played>, String>>()?;
    played.sort_by_key(|play| (play.fleet, play.seed));
    Ok(told(&played, &all, planners))
}

fn play(script: &Path, at: usize, fleet: Fleet, seed: u64, old: &Path, new: &Path) -> Result<Played, String> {
    let day = read(script, seed)?;
    let half = Timestamp::default() + day.length * 0.5;
    let folder = std::env::temp_dir().join(format!("mulleinhub-versions-{}-{at}-{seed}", std::process::id()));
    let capture = folder.join("capture");
    let programs = |planner: usize, now: Timestamp| -> Option<PathBuf> {
        Some(if fleet.is_new(planner, now, half) { new } else { old }.to_owned())
    };
    let played = mulleinhub_load_test::play_over_sockets(day, &folder, &capture, &programs, |_, _| ());
    let (score, ..) = played.map_err(|words| format!("{fleet:?}, seed {seed}: {words}"))?;
    let file = std::fs::File::open(&capture).map_err(|error| format!("{}: {error}", capture.display()))?;
    let verdict = judge(BufReader::new(file)).map_err(|error| error.to_string())?;
    let broken = broken(&verdict);
    if broken.is_empty() {
        // Of a day that broke a rule everything stays, for whoever looks for the cause.
        std::fs::remove_dir_all(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    }
    let asks = score.owners.placed + score.owners.nacked + score.owners.errored;
    Ok(Played {
        fleet: at,
        seed,
        earned: score.earned.sum() / score.owners.asked.sum().max(1e-9),
        refused: score.owners.nacked as f64 / asks.max(1) as f64,
        broken,
    })
}

fn broken(verdict: &Verdict) -> Vec<String> {
    let rules = verdict.rules.iter().zip(Verdict::NAMES);
    let rules = rules.filter(|(rule, _)| !rule.breaches.is_empty());
    let rules = rules.map(|(rule, name)| format!("{name}: {}", rule.breaches[0].words));
    let books = verdict.books.iter().flat_map(|books| &books.rules);
    let books = books.zip(mulleinhub_checker::BooksVerdict::NAMES);
    let books = books.filter(|(rule, _)| !rule.breaches.is_empty());
    rules.chain(books.map(|(rule, name)| format!("books {name}: {}", rule.breaches[0]))).collect()
}

/// Mean and standard error.
fn mean(values: &[f64]) -> (f64, f64) {
    let many = values.len().max(1) as f64;
    let mean = values.iter().sum::<f64>() / many;
    let spread = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (many - 1.0).max(1.0);
    (mean, (spread / many).sqrt())
}

fn told(played: &[Played], all: &[Fleet], planners: usize) -> bool {
    let of = |fleet: usize| played.iter().filter(move |play| play.fleet == fleet);
    println!(
        "fleet          days  earned/asked  refused  against all old, paired (earned, refused; +- standard error)"
    );
    for (at, fleet) in all.iter().enumerate() {
        let (earned, _) = mean(&of(at).map(|play| play.earned).collect::<Vec<_>>());
        let (refused, _) = mean(&of(at).map(|play| play.refused).collect::<Vec<_>>());
        let pairs = || of(at).zip(of(0));
        let (more, noise) = mean(&pairs().map(|(one, old)| one.earned - old.earned).collect::<Vec<_>>());
        let (less, its) = mean(&pairs().map(|(one, old)| one.refused - old.refused).collect::<Vec<_>>());
        println!(
            "{:<14} {:>4}  {earned:>12.3}  {refused:>7.3}  {more:+.3} +- {noise:.3}, {less:+.3} +- {its:.3}",
            fleet.name(planners),
            of(at).count(),
        );
    }
    for play in played {
        let name = all[play.fleet].name(planners);
        play.broken.iter().for_each(|words| println!("{name}, seed {}: BROKEN {words}", play.seed));
    }
    let holds = played.iter().all(|play| play.broken.is_empty());
    println!("{}", if holds { "all rules kept" } else { "rules were broken" });
    holds
}
