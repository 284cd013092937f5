//! The target file: what it says, and what is said where it is wrong.

mod common;

use common::{TARGET, target};
use mulleinhub_scale::profile::Variable;
use mulleinhub_scale::results::Metric;
use mulleinhub_scale::targets::{Target, TargetError};
use std::path::Path;

fn refused(text: &str) -> String {
    Target::parse("scale/target", text).expect_err("is no target").to_string()
}

#[test]
fn the_committed_target_is_the_one_that_the_operators_gave() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scale/target");
    assert_eq!(Target::read(&path).expect("is a target"), target());
}

#[test]
fn the_size_has_rates_a_second_and_the_schedulers_part_of_failures() {
    let size = target().size(350);
    assert_eq!((size.schedulers, size.workers, size.regions, size.zones), (350, 10_000, 5, 15));
    assert_eq!((size.teams, size.running, size.starts), (450, 39_000, 4_900.0));
    assert!((size.changes - 3_800.0 / 86_400.0).abs() < 1e-12);
    // 3,975 machines a day, of which 350 of 10,000 are a scheduler's, are 0.097 in a minute.
    assert!((size.failures - 0.096_6).abs() < 1e-4, "{}", size.failures);
    assert_eq!(Variable::Starts.value(&size), 4_900.0);
}

#[test]
fn budgets_are_in_the_units_of_results() {
    let target = target();
    assert_eq!(target.budget(Metric::BytesIn), Some(17_000.0));
    assert_eq!(target.budget(Metric::Memory), Some(128e6));
    assert!((target.budget(Metric::Processor).expect("has one") - 0.014).abs() < 1e-12);
    assert_eq!(target.budget(Metric::ChangeP99), Some(3.0));
    assert_eq!(target.budget(Metric::MessagesIn), None);
}

#[test]
fn every_variable_is_found_by_its_word() {
    for variable in Variable::ALL {
        assert_eq!(Variable::of(variable.word()), Some(variable));
    }
    assert_eq!(Variable::of("racks"), None);
}

#[test]
fn each_line_that_is_missing_is_named() {
    for line in TARGET.lines() {
        let directive = line.split(' ').next().expect("has a word");
        let without: String =
            TARGET.lines().filter(|other| *other != line).map(|l| format!("{l}\n")).collect();
        let words = refused(&without);
        assert!(words.contains(&format!("{directive} is missing")), "{directive}: {words}");
    }
}

#[test]
fn faults_are_told_all_at_once_with_line_and_cause() {
    let text = TARGET
        .replace("workers 10000", "workers many")
        .replace("memory 128MB", "memory 128MegaBytes")
        .replace("teams 450", "teems 450");
    let words = refused(&text);
    for wanted in ["scale/target:3", "many", "MegaBytes", "teems", "did you mean teams"] {
        assert!(words.contains(wanted), "{wanted}: {words}");
    }
}

#[test]
fn zeros_that_would_be_divided_by_are_refused() {
    for (line, zero) in [
        ("workers 10000", "workers 0"),
        ("bytes-a-second 17kB", "bytes-a-second 0"),
        ("memory 128MB", "memory 0MB"),
        ("core-part 1.4%", "core-part 0%"),
        ("in-force 3s", "in-force 0s"),
    ] {
        let words = refused(&TARGET.replace(line, zero));
        assert!(words.contains("more than zero is wanted"), "{zero}: {words}");
    }
}

#[test]
fn numbers_of_schedulers_rise_and_the_chosen_one_is_among_them() {
    for bad in ["schedulers 350 100", "schedulers 100 100 350", "schedulers 0 350"] {
        let words = refused(&TARGET.replace("schedulers 100 350 1000", bad));
        assert!(words.contains("rising"), "{bad}: {words}");
    }
    for bad in ["schedulers", "schedulers 100 some"] {
        let words = refused(&TARGET.replace("schedulers 100 350 1000", bad));
        assert!(words.contains("whole number"), "{bad}: {words}");
    }
    let words = refused(&TARGET.replace("chosen 350", "chosen 351"));
    assert!(words.contains("351 is none of the numbers"), "{words}");
    let twice = refused(&format!("{TARGET}schedulers 3\n"));
    assert!(twice.contains("second time"), "{twice}");
}

#[test]
fn a_file_that_is_not_there_is_named() {
    let error = Target::read(Path::new("no/such/target")).expect_err("isn't there");
    assert!(matches!(error, TargetError::File { .. }));
    assert!(error.to_string().contains("no/such/target"));
}

#[test]
fn no_text_makes_it_panic() {
    for text in ["", "\n\n", "{", "}", "schedulers {", "chosen", "\"", "workers 1 2 3", "include \"nowhere\""]
    {
        let words = refused(text);
        assert!(!words.is_empty(), "{text:?}");
    }
}
