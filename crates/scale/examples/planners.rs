//! Plays profiles of planners with the allocator's count, and prints a table of each:
//!
//!     cargo run --release -p mulleinhub-scale --example planners -- PROFILE... [--out DIRECTORY]
//!
//! Real schedulers are `scale-planner`, which is built beside this.

use mulleinhub_scale::planners::{compare, play, run_virtual_twin};
use mulleinhub_scale::profile::{Profile, parse};
use mulleinhub_scale::results::{Host, Metric, Results, Role, Run};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

#[global_allocator]
static GLOBAL: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() -> ExitCode {
    let mut paths = Vec::new();
    let mut out = None;
    let mut args = std::env::args().skip(1);
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--out" => out = args.next().map(PathBuf::from),
            _ => paths.push(PathBuf::from(arg)),
        }
    }
    for path in paths {
        if let Err(words) = play_profile(&path, out.as_deref()) {
            eprintln!("error: {words}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn play_profile(path: &Path, out: Option<&Path>) -> Result<(), String> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
    let profile = parse(&shown, &text)?;
    println!("{}", profile.name);
    let results = play_runs(&profile)?;
    if let Some(out) = out {
        results.write(out).map_err(|e| e.to_string())?;
    }
    if profile.host == Host::RealPlanners {
        let twin = run_virtual_twin(&profile)?;
        for (real, twin) in results.runs.iter().zip(&twin.runs) {
            print_compared(real, twin);
        }
    }
    Ok(())
}

fn play_runs(profile: &Profile) -> Result<Results, String> {
    let program = beside("scale-planner")?;
    let mut runs = Vec::new();
    for plan in profile.runs() {
        let began = Instant::now();
        let run = play(profile, &plan, Some(&program))?;
        print_run(&run, began.elapsed().as_secs_f64());
        runs.push(run);
    }
    Ok(Results {
        profile: profile.name.clone(),
        host: profile.host,
        seed: profile.seed,
        version: env!("CARGO_PKG_VERSION").to_owned(),
        vary: profile.vary_word().to_owned(),
        runs,
    })
}

/// A program that is built into the folder above the examples'.
fn beside(name: &str) -> Result<PathBuf, String> {
    let me = std::env::current_exe().map_err(|e| format!("this program: {e}"))?;
    let folder = me.parent().and_then(Path::parent).ok_or("this program has no folder")?;
    Ok(folder.join(name))
}

fn print_run(run: &Run, took: f64) {
    let size = &run.size;
    println!(
        "varied {} (schedulers {} workers {} running {} starts {}): took {took:.1} s",
        run.varied, size.schedulers, size.workers, size.running, size.starts
    );
    for role in [Role::Scheduler, Role::Discovery, Role::Worker, Role::Client] {
        let of = |metric| run.value(role, metric).unwrap_or(f64::NAN);
        println!(
            "  {role:?}: bytes in {:.0} out {:.0}, messages in {:.1} out {:.1} a second",
            of(Metric::BytesIn),
            of(Metric::BytesOut),
            of(Metric::MessagesIn),
            of(Metric::MessagesOut)
        );
    }
    let of = |metric| run.value(Role::Scheduler, metric).unwrap_or(f64::NAN);
    println!(
        "  processor {:.5}, memory {:.0}, resident {:.0}, start-up {:.3} s and {:.4} processor s, started {:.1}",
        of(Metric::Processor),
        of(Metric::Memory),
        of(Metric::Resident),
        of(Metric::StartUp),
        of(Metric::StartUpProcessor),
        of(Metric::Started)
    );
}

fn print_compared(real: &Run, twin: &Run) {
    println!("real against virtual time:");
    for compared in compare(real, twin) {
        let factor = compared.factor().unwrap_or(f64::NAN);
        let (role, metric) = (compared.role, compared.metric);
        println!("  {role:?} {metric:?}: {:.4} {:.4} {factor:.3}", compared.real, compared.in_virtual_time);
    }
}
