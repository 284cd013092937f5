//! Plots: what each shows, and that odd values draw all the same.

mod common;

use common::over_schedulers;
use mulleinhub_scale::fit::{Fit, fit};
use mulleinhub_scale::plot::{Picture, draw};
use mulleinhub_scale::results::{Metric, Results, Role};
use std::path::Path;

fn fitted(results: &Results) -> Fit {
    fit(results, Role::LedgerMember, Metric::BytesIn).expect("is fitted")
}

fn picture(fit: &Fit, target: Option<f64>, budget: Option<f64>) -> Picture<'_> {
    let title = "ledgers: bytes-in of one ledger-member".to_owned();
    let (x_name, y_name) = ("schedulers".to_owned(), "bytes a second".to_owned());
    Picture { title, x_name, y_name, fit, target, budget }
}

fn drawn(picture: &Picture) -> String {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("plot.svg");
    draw(&path, picture).expect("is drawn");
    std::fs::read_to_string(path).expect("is there")
}

#[test]
fn a_plot_names_its_axes_target_budget_and_the_held_out_run() {
    let fit = fitted(&over_schedulers("ledgers", |n| 200.0 + 10.0 * n + n * n));
    let svg = drawn(&picture(&fit, Some(1000.0), Some(17_000.0)));
    for wanted in [
        "<svg",
        "ledgers: bytes-in",
        "schedulers",
        "bytes a second",
        "fitted",
        "measured",
        "held out of the fit",
        "target: 1,000",
        "budget: 17,000",
        "</svg>",
    ] {
        assert!(svg.contains(wanted), "{wanted}: {svg}");
    }
    // Five measured runs, and one in the legend.
    assert_eq!(svg.matches("<circle").count(), 6, "{svg}");
}

#[test]
fn what_there_is_not_is_not_drawn() {
    let mut results = over_schedulers("ledgers", |n| 10.0 * n);
    results.runs.pop();
    let fit = fitted(&results);
    let svg = drawn(&picture(&fit, None, None));
    for unwanted in ["held out", "target:", "budget:"] {
        assert!(!svg.contains(unwanted), "{unwanted}: {svg}");
    }
}

#[test]
fn the_same_picture_is_the_same_file() {
    let fit = fitted(&over_schedulers("ledgers", |n| 200.0 + n * n));
    let once = drawn(&picture(&fit, Some(350.0), Some(17_000.0)));
    assert_eq!(once, drawn(&picture(&fit, Some(350.0), Some(17_000.0))));
}

#[test]
fn odd_values_are_drawn_too() {
    let shapes: [fn(f64) -> f64; 5] =
        [|_| 0.0, |n| n - 3.0, |n| 1_000.0 - 4.0 * n, |n| 1e-9 * n, |n| 1e15 * n * n];
    for of in shapes {
        let mut results = over_schedulers("ledgers", of);
        // From none on, and still spread by thirty without that.
        (results.runs[0].varied, results.runs[4].varied) = (0.0, 300.0);
        let fit = fitted(&results);
        for target in [None, Some(2.0), Some(1e6)] {
            let svg = drawn(&picture(&fit, target, Some(17_000.0)));
            assert!(svg.contains("</svg>"), "{svg}");
        }
    }
}

#[test]
fn a_place_that_can_not_be_written_is_named() {
    let fit = fitted(&over_schedulers("ledgers", |n| n));
    let path = Path::new("no/such/folder/plot.svg");
    let words = draw(path, &picture(&fit, None, None)).expect_err("can't be written").to_string();
    assert!(words.contains("no/such/folder/plot.svg"), "{words}");
}
