//! `scale`: profiles run, slopes fitted, the capacity page written and checked.

use clap::{Args, Subcommand};
use mulleinhub_interface::Duration;
use mulleinhub_scale::fit::{Fit, fit};
use mulleinhub_scale::hosts;
use mulleinhub_scale::page::{self, read_results};
use mulleinhub_scale::plot::{self, Picture};
use mulleinhub_scale::profile;
use mulleinhub_scale::reckon::target_value;
use mulleinhub_scale::record::Record;
use mulleinhub_scale::results::{Metric, Results, Role};
use mulleinhub_scale::tables::{Evidence, measured};
use mulleinhub_scale::targets::{Target, axis_name};
use mulleinhub_scale::units::{name, number, size, unit};
use mulleinhub_settings::Value;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration as StdDuration;

#[derive(Subcommand)]
pub enum ScaleCommand {
    /// Runs a profile at all its sizes and writes the results as JSON and CSV
    Run(Run),
    /// Fits slopes to result files, and compares them with the runs that are held out
    Fit(FitFiles),
    /// Writes the generated parts of the capacity page from the committed results
    Page(Page),
    /// Runs a profile in virtual time and compares bytes and messages with recorded ones
    Check(Check),
}

#[derive(Args)]
pub struct Run {
    profile: PathBuf,
    /// In place of the profile's seed
    #[arg(long)]
    seed: Option<u64>,
    /// The directory for PROFILE.json and PROFILE.csv
    #[arg(long, default_value = ".")]
    out: PathBuf,
    /// A run of ledgers that takes longer is given up, and the profile has no results
    #[arg(long, default_value = "15min", value_parser = span)]
    at_most: StdDuration,
}

#[derive(Args)]
pub struct FitFiles {
    #[arg(required = true)]
    results: Vec<PathBuf>,
    /// A directory for an SVG of each profile, role and metric
    #[arg(long)]
    plots: Option<PathBuf>,
    /// The operators' size and budgets
    #[arg(long, default_value = "scale/target")]
    target: PathBuf,
}

#[derive(Args)]
pub struct Page {
    /// Only tells, by a nonzero exit, whether page and results agree
    #[arg(long)]
    check: bool,
    #[arg(long, default_value = "docs/CAPACITY.md")]
    page: PathBuf,
    /// The directory of the committed results
    #[arg(long, default_value = "scale/results")]
    results: PathBuf,
    /// The operators' size and budgets
    #[arg(long, default_value = "scale/target")]
    target: PathBuf,
}

#[derive(Args)]
pub struct Check {
    profile: PathBuf,
    /// The recorded figures
    figures: PathBuf,
    /// Writes the figures in place of comparing
    #[arg(long)]
    record: bool,
    /// A run that takes longer is given up
    #[arg(long, default_value = "1min", value_parser = span)]
    at_most: StdDuration,
}

pub fn run(command: ScaleCommand) -> Result<ExitCode, String> {
    match command {
        ScaleCommand::Run(run) => run_profile(&run),
        ScaleCommand::Fit(files) => fit_files(&files),
        ScaleCommand::Page(page) => write_page(&page),
        ScaleCommand::Check(check) => check_profile(&check),
    }
}

fn words(path: &Path, cause: &dyn std::fmt::Display) -> String {
    format!("{}: {cause}", path.display())
}

fn run_profile(run: &Run) -> Result<ExitCode, String> {
    std::fs::create_dir_all(&run.out).map_err(|cause| words(&run.out, &cause))?;
    let results = play(&run.profile, run.seed, run.at_most)?;
    for one in &results.runs {
        let held_out = if one.held_out { ", held out" } else { "" };
        let at = if results.vary.is_empty() {
            String::new()
        } else {
            format!(" at {} {}", size(one.varied), results.vary)
        };
        println!("{}{at}{held_out}", results.profile);
        for sample in &one.samples {
            let shown = unit(sample.metric).show(sample.value);
            println!("  {} {}: {shown}", name(sample.role), name(sample.metric));
        }
    }
    results.write(&run.out).map_err(|error| error.to_string())?;
    Ok(ExitCode::SUCCESS)
}

fn fit_files(files: &FitFiles) -> Result<ExitCode, String> {
    let target = Target::read(&files.target).map_err(|error| error.to_string())?;
    if let Some(plots) = &files.plots {
        std::fs::create_dir_all(plots).map_err(|cause| words(plots, &cause))?;
    }
    for path in &files.results {
        let results = read_results(path).map_err(|error| error.to_string())?;
        for (role, metric) in measured(&results) {
            let head = format!("{} {} {}", results.profile, name(role), name(metric));
            match fit(&results, role, metric) {
                Err(refused) => println!("{head}: no fit: {refused}"),
                Ok(fit) => {
                    let at = target_value(&target, target.chosen, &results, role);
                    println!("{head}: {}", told(&fit, metric, at));
                    if let Some(plots) = &files.plots {
                        draw(plots, &results, role, metric, &fit, &target)?;
                    }
                }
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// A fit in words, with its prediction at the target and beside the runs that were held out.
fn told(fit: &Fit, metric: Metric, target: Option<f64>) -> String {
    let show = |value| unit(metric).show(value);
    let curve = &fit.curve;
    let mut text = if fit.unchanged {
        format!("constant, {}", show(curve.constant))
    } else {
        let (constant, linear, quadratic) = (show(curve.constant), show(curve.linear), show(curve.quadratic));
        let relative = number(fit.relative_residual * 100.0);
        format!("{constant} + {linear} each + {quadratic} each squared, residual {relative}%")
    };
    if let Some(target) = target {
        let (at, value) = (size(target), show(curve.predict(target)));
        text.push_str(&format!("; at {at}: {value}, most from the {} term", curve.dominant(target)));
        if curve.quadratic_matters(target) {
            text.push_str(", and the quadratic term matters");
        }
    }
    if let Some(left_out) = fit.left_out {
        let (term, error) = (show(left_out.term), show(left_out.standard_error));
        text.push_str(&format!(", a quadratic term of {term} left out as like noise (error {error})"));
    }
    for run in &fit.held_out {
        let (predicted, measured) = (show(run.predicted), show(run.measured));
        let at = size(run.varied);
        text.push_str(&format!("\n  held out at {at}: predicted {predicted}, measured {measured}"));
        if run.is_apart() {
            text.push_str(": MORE THAN 20% APART");
        }
    }
    text
}

fn draw(
    plots: &Path,
    results: &Results,
    role: Role,
    metric: Metric,
    fit: &Fit,
    target: &Target,
) -> Result<(), String> {
    let (role_name, metric_name) = (name(role), name(metric));
    let path = plots.join(format!("{}-{role_name}-{metric_name}.svg", results.profile));
    let has_budget = matches!(role, Role::Scheduler | Role::LedgerMember);
    let picture = Picture {
        title: format!("{}: {metric_name} of one {role_name}", results.profile),
        x_name: axis_name(&results.vary).to_owned(),
        y_name: unit(metric).axis().to_owned(),
        fit,
        target: target_value(target, target.chosen, results, role),
        budget: target.budget(metric).filter(|_| has_budget),
    };
    plot::draw(&path, &picture).map_err(|error| error.to_string())
}

fn write_page(page: &Page) -> Result<ExitCode, String> {
    let evidence = Evidence::read(&page.target, &page.results).map_err(|error| error.to_string())?;
    let text = std::fs::read_to_string(&page.page).map_err(|cause| words(&page.page, &cause))?;
    if !page.check {
        let written = page::write(&text, &evidence).map_err(|error| words(&page.page, &error))?;
        if written != text {
            std::fs::write(&page.page, written).map_err(|cause| words(&page.page, &cause))?;
        }
        return Ok(ExitCode::SUCCESS);
    }
    let differences = page::check(&text, &evidence).map_err(|error| words(&page.page, &error))?;
    for difference in &differences {
        eprintln!("{}: {difference}", page.page.display());
    }
    if differences.is_empty() {
        println!("{} agrees with the results", page.page.display());
        Ok(ExitCode::SUCCESS)
    } else {
        eprintln!("after a change of results, `mulleinhub scale page` writes these parts anew");
        Ok(ExitCode::FAILURE)
    }
}

fn check_profile(check: &Check) -> Result<ExitCode, String> {
    let text = |error: mulleinhub_scale::record::RecordError| error.to_string();
    let recorded = if check.record { None } else { Some(Record::read(&check.figures).map_err(text)?) };
    let results = play(&check.profile, None, check.at_most)?;
    let now = Record::of(&results).map_err(text)?;
    let Some(recorded) = recorded else {
        std::fs::write(&check.figures, now.text()).map_err(|cause| words(&check.figures, &cause))?;
        println!("{} figures are recorded", now.figures.len());
        return Ok(ExitCode::SUCCESS);
    };
    let changes = recorded.compare(&now).map_err(text)?;
    for change in &changes {
        println!("{change}");
    }
    if changes.iter().any(|change| change.fails()) {
        eprintln!("{}: a scheduler needs more than is recorded", check.figures.display());
        return Ok(ExitCode::FAILURE);
    }
    println!("{} figures are within what is recorded", recorded.figures.len());
    Ok(ExitCode::SUCCESS)
}

/// Reads a profile and runs it on its host.
fn play(path: &Path, seed: Option<u64>, at_most: StdDuration) -> Result<Results, String> {
    let text = std::fs::read_to_string(path).map_err(|cause| words(path, &cause))?;
    let mut profile = profile::parse(&path.display().to_string(), &text)?;
    profile.seed = seed.unwrap_or(profile.seed);
    hosts::run(&profile, at_most, &mut |words| eprintln!("{words}")).map_err(|error| error.to_string())
}

fn span(text: &str) -> Result<StdDuration, String> {
    Ok(StdDuration::from_nanos(Duration::parse(text)?.nanos()))
}
