//! `mulleinhub scale` as a person calls it: exit statuses, and what is said where.

use std::path::Path;
use std::process::{Command, Output};

const TARGET: &str = include_str!("../../../scale/target");
const PAGE: &str = "# Capacity\n\n<!-- scale:begin runs -->\n<!-- scale:end runs -->\n";

fn scale(folder: &Path, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mulleinhub"));
    command.arg("scale").args(args).current_dir(folder).output().expect("runs")
}

fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn words(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// A result file of a metric that grows by ten for each scheduler; the run that is held out has `held_out`.
fn results(held_out: f64) -> String {
    let run = |schedulers: u32, is_held_out: bool, value: f64| {
        format!(
            r#"{{ "size": {{ "schedulers": {schedulers}, "workers": 100, "regions": 1, "zones": 1, "teams": 10,
                "running": 300, "starts": 10.0, "changes": 0.0, "failures": 0.0 }},
                "varied": {schedulers}.0, "held_out": {is_held_out}, "seconds": 30.0,
                "samples": [ {{ "role": "ledger-member", "metric": "bytes-in", "value": {value:.1} }} ] }}"#
        )
    };
    let fitted = [3, 10, 30, 100].map(|n| run(n, false, f64::from(n) * 10.0));
    let runs = [fitted.join(",\n"), run(350, true, held_out)].join(",\n");
    format!(
        r#"{{ "profile": "made", "host": "hollow-ledgers", "seed": 1, "version": "0.1.0",
            "vary": "schedulers", "runs": [ {runs} ] }}"#
    )
}

/// A folder with target, results and page where `scale page` looks for them.
fn folder() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    let at = |path: &str| folder.path().join(path);
    std::fs::create_dir_all(at("scale/results")).expect("is made");
    std::fs::create_dir_all(at("docs")).expect("is made");
    std::fs::write(at("scale/target"), TARGET).expect("is written");
    std::fs::write(at("scale/results/made.json"), results(3_500.0)).expect("is written");
    std::fs::write(at("docs/CAPACITY.md"), PAGE).expect("is written");
    folder
}

#[test]
fn a_page_is_checked_written_and_checked_again() {
    let folder = folder();
    let before = scale(folder.path(), &["page", "--check"]);
    assert_eq!(before.status.code(), Some(1), "{}", errors(&before));
    assert!(errors(&before).contains("docs/CAPACITY.md: line 3: block runs"), "{}", errors(&before));
    let page = std::fs::read_to_string(folder.path().join("docs/CAPACITY.md")).expect("is there");
    assert_eq!(page, PAGE, "a check writes nothing");
    assert!(scale(folder.path(), &["page"]).status.success());
    let after = scale(folder.path(), &["page", "--check"]);
    assert!(after.status.success(), "{}", errors(&after));
}

#[test]
fn a_changed_figure_fails_the_check_with_the_blocks_name() {
    let folder = folder();
    assert!(scale(folder.path(), &["page"]).status.success());
    let path = folder.path().join("docs/CAPACITY.md");
    let page = std::fs::read_to_string(&path).expect("is there");
    std::fs::write(&path, page.replace("(350)", "(351)")).expect("is written");
    let output = scale(folder.path(), &["page", "--check"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(errors(&output).contains("block runs"), "{}", errors(&output));
}

#[test]
fn fits_are_printed_and_drawn_and_a_held_out_run_far_off_is_flagged() {
    let folder = folder();
    let output = scale(folder.path(), &["fit", "scale/results/made.json", "--plots", "plots"]);
    assert!(output.status.success(), "{}", errors(&output));
    assert!(words(&output).contains("predicted 3.50 KB/s, measured 3.50 KB/s"), "{}", words(&output));
    assert!(!words(&output).contains("APART"), "{}", words(&output));
    assert!(folder.path().join("plots/made-ledger-member-bytes-in.svg").exists());
    std::fs::write(folder.path().join("scale/results/made.json"), results(5_000.0)).expect("is written");
    let output = scale(folder.path(), &["fit", "scale/results/made.json"]);
    assert!(words(&output).contains("MORE THAN 20% APART"), "{}", words(&output));
}

#[test]
fn bad_input_is_told_with_its_place_and_a_nonzero_exit() {
    let folder = folder();
    let at = |path: &str| folder.path().join(path);
    std::fs::write(at("scale/results/made.json"), "{ \"profile\": 7 }").expect("is written");
    std::fs::write(at("profile"), "name small\nhost moon\n").expect("is written");
    std::fs::write(at("record"), "profile small\n").expect("is written");
    for (args, place) in [
        (&["page"][..], "made.json: line 1"),
        (&["fit", "scale/results/made.json"][..], "made.json: line 1"),
        (&["fit", "scale/results/none.json"][..], "none.json"),
        (&["run", "profile"][..], "profile:2"),
        (&["run", "no-profile"][..], "no-profile"),
        (&["check", "profile", "record"][..], "seed is missing"),
    ] {
        let output = scale(folder.path(), args);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {}", errors(&output));
        assert!(errors(&output).contains(place), "{args:?}: {}", errors(&output));
    }
    std::fs::write(at("scale/target"), TARGET.replace("450", "none")).expect("is written");
    let output = scale(folder.path(), &["page"]);
    assert!(errors(&output).contains("scale/target:"), "{}", errors(&output));
}
