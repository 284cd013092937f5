//! Work logs and sites, as a day's script states them.

use mulleinhub_scenario::{Day, parse_day};
use mulleinhub_settings::{Diagnostics, parse};
use std::path::Path;

fn read(path: &Path) -> Result<Day, String> {
    let mut faults = Diagnostics::default();
    let directives = parse(path, &mut faults).expect("it is there");
    parse_day(&directives, &mut faults).filter(|_| faults.is_empty()).ok_or_else(|| faults.render())
}

#[test]
fn replicas_and_sites_of_planners_are_read() {
    let days = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days");
    let books = read(&days.join("books-replicas.day")).expect("it is fine").books.expect("it keeps books");
    assert_eq!((books.terms.replicas, books.terms.sites.len()), (Some(2), 8));
    assert_eq!(books.terms.sites["planner-6"].to_text(), " zone b region west");
    let books = read(&days.join("books-caps.day")).expect("it is fine").books.expect("it keeps books");
    assert!(books.terms.replicas.is_none() && books.terms.sites.is_empty());
}

#[test]
fn faulty_replicas_and_sites_are_told_with_line_and_cause() {
    let days = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days");
    let script = std::fs::read_to_string(days.join("books-replicas.day")).expect("it is there");
    let dir = tempfile::tempdir().expect("a directory");
    std::fs::copy(days.join("town.day"), dir.path().join("town.day")).expect("it is there");
    let path = dir.path().join("faulty.day");
    for (from, to, wanted) in [
        ("site 8 zone d", "site 9 zone d", "there are planners 1 to 8, and no 9"),
        ("site 8 zone d", "site 7 zone d", "stands here for the second time"),
        ("site 8 zone d region west", "site 8 region west zone d", "takes no more arguments"),
        ("replicas 2", "replicas 0", "replicas must be 1 to 8"),
    ] {
        std::fs::write(&path, script.replace(from, to)).expect("a file");
        let words = read(&path).expect_err("it is faulty");
        assert!(words.contains(wanted) && words.contains("faulty.day:"), "{wanted}: {words}");
    }
}
