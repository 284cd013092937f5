//! Records: read as written, and growth beyond them fails.

mod common;

use common::{over_schedulers, sample};
use mulleinhub_scale::record::{Change, Record};
use mulleinhub_scale::results::{Host, Metric, Results, Role};

fn made() -> Results {
    let mut results = over_schedulers("small", |n| n / 7.0);
    for run in &mut results.runs {
        run.samples.push(sample(Role::LedgerMember, Metric::MessagesOut, run.varied / 3.0));
        run.samples.push(sample(Role::LedgerMember, Metric::Processor, 0.5));
    }
    results
}

fn record(results: &Results) -> Record {
    Record::of(results).expect("has figures")
}

#[test]
fn a_record_is_read_as_it_was_written_to_the_last_digit() {
    let record = record(&made());
    assert_eq!(record.figures.len(), 12, "bytes and messages, and no processor time");
    let read = Record::parse("record", &record.text()).expect("is a record");
    assert_eq!(read, record);
    assert_eq!(read.compare(&record).expect("is comparable"), Vec::new());
}

#[test]
fn growth_by_a_thousandth_fails_and_a_fall_does_not() {
    let recorded = record(&made());
    let mut more = made();
    more.runs[2].samples[0].value *= 1.001;
    let changes = recorded.compare(&record(&more)).expect("is comparable");
    assert!(matches!(changes[..], [Change::Grew { figure, .. }] if figure.varied == 30.0), "{changes:?}");
    assert!(changes[0].fails());
    assert!(changes[0].to_string().contains("at 30, ledger-member bytes-in: grew"), "{}", changes[0]);
    let mut less = made();
    less.runs[2].samples[0].value *= 0.5;
    let changes = recorded.compare(&record(&less)).expect("is comparable");
    assert!(matches!(changes[..], [Change::Fell { .. }]), "{changes:?}");
    assert!(!changes[0].fails());
}

#[test]
fn figures_that_are_missing_or_new_fail() {
    let mut fewer = made();
    fewer.runs[0].samples.remove(0);
    let (all, fewer) = (record(&made()), record(&fewer));
    let missing = all.compare(&fewer).expect("is comparable");
    assert!(matches!(missing[..], [Change::Missing { .. }]) && missing[0].fails(), "{missing:?}");
    let new = fewer.compare(&all).expect("is comparable");
    assert!(matches!(new[..], [Change::New { .. }]) && new[0].fails(), "{new:?}");
}

#[test]
fn another_profile_or_seed_is_refused() {
    let recorded = record(&made());
    let mut other = made();
    other.seed = 8;
    let words = recorded.compare(&record(&other)).expect_err("another seed").to_string();
    assert!(words.contains("seed 7") && words.contains("seed 8"), "{words}");
    let mut other = made();
    other.profile = "large".to_owned();
    assert!(recorded.compare(&record(&other)).is_err());
}

#[test]
fn real_processes_and_empty_runs_are_not_recorded() {
    let mut real = made();
    real.host = Host::RealPlanners;
    let words = Record::of(&real).expect_err("not virtual").to_string();
    assert!(words.contains("virtual time"), "{words}");
    let mut empty = made();
    empty.runs.iter_mut().for_each(|run| run.samples.clear());
    assert!(Record::of(&empty).is_err());
}

#[test]
fn a_bad_record_is_refused_with_place_and_cause() {
    let head = "profile small\nseed 7\n";
    for (text, cause) in [
        ("seed 7\n".to_owned(), "profile is missing"),
        ("profile small\nseed seven\n".to_owned(), "seven"),
        (format!("{head}sample 3 ledger bytes-in 5\n"), "record:3"),
        (format!("{head}sample 3 ledger-member bites 5\n"), "there is no metric bites"),
        (format!("{head}sample 3 ledger-member bytes-in\n"), "lacks an argument"),
        (format!("{head}sample 3 ledger-member bytes-in x\n"), "a number is wanted"),
        (format!("{head}sample 3 ledger-member bytes-in 5 6\n"), "no more arguments"),
        (format!("{head}sample\n"), "lacks an argument"),
        (format!("{head}sample 3\n"), "lacks a role"),
        (format!("{head}samples 3\n"), "did you mean sample"),
    ] {
        let words = Record::parse("record", &text).expect_err("is refused").to_string();
        assert!(words.contains(cause), "{text:?}: {words}");
    }
}
