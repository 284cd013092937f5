//! Slopes: exact for polynomials, bounded under noise, refused where sizes don't carry one.

mod common;

use common::{over_schedulers, results, run, small_size};
use mulleinhub_scale::fit::{Curve, Fit, Refused, Term, fit};
use mulleinhub_scale::results::{Metric, Results, Role, Size};
use proptest::prelude::*;

fn bytes_in(results: &Results) -> Result<Fit, Refused> {
    fit(results, Role::LedgerMember, Metric::BytesIn)
}

fn near(one: f64, other: f64, magnitude: f64) -> bool {
    (one - other).abs() <= 1e-9 * magnitude
}

/// Values at sizes of the number of schedulers, none held out.
fn at_sizes(values: &[(f64, f64)]) -> Results {
    let one = |(varied, value): &(f64, f64)| run(small_size(), *varied, false, *value);
    results("made", "schedulers", values.iter().map(one).collect())
}

#[test]
fn an_exact_quadratic_is_found_exactly_and_predicts_the_held_out_run() {
    let fit = bytes_in(&over_schedulers("made", |n| 210.0 + 3.5 * n + 0.75 * n * n)).expect("is fitted");
    assert!(near(fit.curve.constant, 210.0, 1e5), "{:?}", fit.curve);
    assert!(near(fit.curve.linear, 3.5, 1e3), "{:?}", fit.curve);
    assert!(near(fit.curve.quadratic, 0.75, 1.0), "{:?}", fit.curve);
    assert!(fit.relative_residual < 1e-9, "{}", fit.relative_residual);
    assert_eq!(fit.curve.dominant(350.0), Term::Quadratic);
    assert_eq!(fit.curve.dominant(1.0), Term::Constant);
    assert!(fit.curve.quadratic_matters(350.0));
    let [held_out] = fit.held_out[..] else { panic!("one run is held out: {:?}", fit.held_out) };
    assert!(near(held_out.predicted, held_out.measured, 1e5), "{held_out:?}");
    assert!(!held_out.is_apart());
    assert!(near(fit.largest(), 350.0, 1.0));
}

#[test]
fn an_exact_line_has_no_quadratic_term_that_matters() {
    let fit = bytes_in(&over_schedulers("made", |n| 40.0 + 12.0 * n)).expect("is fitted");
    assert!(!fit.unchanged);
    assert!(!fit.curve.quadratic_matters(1000.0), "{:?}", fit.curve);
    assert_eq!(fit.curve.dominant(350.0), Term::Linear);
    assert!(near(fit.curve.predict(1000.0), 12_040.0, 1e5));
}

#[test]
fn what_rounding_leaves_is_neither_a_term_nor_a_residual() {
    let line = bytes_in(&over_schedulers("made", |n| 200.0 + 12.0 * n)).expect("is fitted");
    assert_eq!((line.curve.quadratic, line.residual, line.left_out), (0.0, 0.0, None));
    let parabola = bytes_in(&over_schedulers("made", |n| 0.25 * n * n)).expect("is fitted");
    assert_eq!((parabola.curve.constant, parabola.curve.linear, parabola.residual), (0.0, 0.0, 0.0));
}

#[test]
fn a_quadratic_term_like_noise_is_left_out_and_a_clear_one_stays() {
    let noise = [1.03, 0.98, 1.02, 0.97, 1.01];
    let noisy = |of: fn(f64) -> f64| {
        let mut made = over_schedulers("made", of);
        for (run, noise) in made.runs.iter_mut().zip(noise) {
            run.samples[0].value *= noise;
        }
        bytes_in(&made).expect("is fitted")
    };
    let line = noisy(|n| 500.0 + 180.0 * n);
    let left_out = line.left_out.expect("noise alone bends it");
    // Five sizes and three terms leave two degrees of freedom.
    assert!(left_out.term.abs() < 4.3 * left_out.standard_error, "{left_out:?}");
    assert_eq!(line.curve.quadratic, 0.0);
    let far = line.curve.predict(4_900.0);
    assert!((far - 882_500.0).abs() < 0.05 * 882_500.0, "{far}");
    let parabola = noisy(|n| 500.0 + 3.0 * n + n * n);
    assert_eq!(parabola.left_out, None);
    assert!((parabola.curve.quadratic - 1.0).abs() < 0.1, "{:?}", parabola.curve);
}

#[test]
fn a_curve_that_bends_down_is_followed_along_its_line_beyond_the_runs_alone() {
    let down = bytes_in(&over_schedulers("made", |n| 1_000.0 + 100.0 * n - 0.1 * n * n)).expect("is fitted");
    assert!(down.curve.quadratic < 0.0, "{:?}", down.curve);
    assert_eq!(down.followed_to(350.0), &down.curve, "350 was run");
    assert_eq!(down.followed_to(351.0), &down.line);
    assert_eq!(down.line.quadratic, 0.0);
    assert!(down.followed_to(4_900.0).predict(4_900.0) > down.curve.predict(350.0));
    let up = bytes_in(&over_schedulers("made", |n| 1_000.0 + 100.0 * n + 0.1 * n * n)).expect("is fitted");
    assert_eq!(up.followed_to(4_900.0), &up.curve);
}

#[test]
fn a_quadratic_term_matters_from_a_tenth_of_the_prediction_on() {
    let of = |quadratic: f64| Curve { constant: 0.0, linear: 1.0, quadratic };
    // At 100 the linear term gives 100: 11.2 of 111.2 is over a tenth, 11.0 of 111.0 is not.
    assert!(of(0.001_12).quadratic_matters(100.0));
    assert!(!of(0.001_1).quadratic_matters(100.0));
    assert!(of(-0.001_12).quadratic_matters(100.0), "a negative term matters by its size");
}

#[test]
fn a_held_out_run_thirty_percent_off_is_flagged_and_ten_percent_off_is_not() {
    for (off, apart) in [(1.3, true), (0.7, true), (1.1, false), (0.9, false)] {
        let mut made = over_schedulers("made", |n| 100.0 * n);
        let last = made.runs.last_mut().expect("has runs");
        last.samples[0].value *= off;
        let fit = bytes_in(&made).expect("is fitted");
        assert_eq!(fit.held_out[0].is_apart(), apart, "{off}: {:?}", fit.held_out);
        let ratio = fit.held_out[0].ratio().expect("was measured");
        assert!(near(ratio, 1.0 / off, 1e3), "{ratio}");
    }
}

#[test]
fn a_held_out_run_is_not_seen_by_the_fit() {
    let straight = bytes_in(&over_schedulers("made", |n| 100.0 * n)).expect("is fitted");
    let mut made = over_schedulers("made", |n| 100.0 * n);
    made.runs.last_mut().expect("has runs").samples[0].value = 1e9;
    assert_eq!(bytes_in(&made).expect("is fitted").curve, straight.curve);
}

#[test]
fn a_metric_that_does_not_change_is_a_constant() {
    let fit = bytes_in(&over_schedulers("made", |_| 512.0)).expect("is fitted");
    assert!(fit.unchanged);
    assert_eq!(fit.curve, Curve { constant: 512.0, linear: 0.0, quadratic: 0.0 });
    assert!(fit.residual.abs() < 1e-9);
    assert_eq!(bytes_in(&over_schedulers("made", |_| 0.0)).expect("is fitted").relative_residual, 0.0);
}

#[test]
fn too_few_sizes_are_refused_with_their_number() {
    let three = at_sizes(&[(3.0, 1.0), (30.0, 2.0), (300.0, 3.0), (300.0, 3.1)]);
    assert_eq!(bytes_in(&three), Err(Refused::TooFewSizes { sizes: 3 }));
    let words = Refused::TooFewSizes { sizes: 3 }.to_string();
    assert!(words.contains('3') && words.contains('4'), "{words}");
}

#[test]
fn sizes_too_near_each_other_are_refused_and_a_spread_of_thirty_is_not() {
    let near = at_sizes(&[(10.0, 1.0), (20.0, 2.0), (100.0, 3.0), (299.0, 9.0)]);
    assert_eq!(bytes_in(&near), Err(Refused::SpreadTooSmall { smallest: 10.0, largest: 299.0 }));
    let wide = at_sizes(&[(10.0, 1.0), (20.0, 2.0), (100.0, 3.0), (300.0, 9.0)]);
    assert!(bytes_in(&wide).is_ok());
    let from_none = at_sizes(&[(0.0, 1.0), (10.0, 2.0), (100.0, 3.0), (299.0, 9.0)]);
    assert!(bytes_in(&from_none).is_err(), "a run with none of the variable doesn't widen the spread");
    let only_none = at_sizes(&[(0.0, 1.0), (0.0, 2.0), (0.0, 3.0), (0.0, 9.0)]);
    assert!(bytes_in(&only_none).is_err());
}

#[test]
fn what_no_run_has_is_refused() {
    let made = over_schedulers("made", |n| n);
    assert_eq!(fit(&made, Role::Worker, Metric::BytesIn), Err(Refused::NotMeasured));
    assert_eq!(bytes_in(&results("empty", "schedulers", Vec::new())), Err(Refused::NotMeasured));
}

#[test]
fn figures_that_are_not_finite_are_refused_with_their_place() {
    for odd in [f64::NAN, f64::INFINITY] {
        let mut made = over_schedulers("made", |n| n);
        made.runs[2].samples[0].value = odd;
        assert_eq!(bytes_in(&made), Err(Refused::NotFinite { varied: 30.0 }));
    }
}

#[test]
fn runs_without_the_metric_are_left_out() {
    let mut made = over_schedulers("made", |n| 10.0 * n);
    made.runs[1].samples.clear();
    let fit = bytes_in(&made).expect("four sizes are left");
    assert_eq!(fit.points.len(), 4);
    made.runs[2].samples.clear();
    assert_eq!(bytes_in(&made), Err(Refused::TooFewSizes { sizes: 3 }));
}

proptest! {
    /// Noise of a few per cent moves the prediction within the sizes by no more than a few times as much.
    #[test]
    fn noise_moves_the_prediction_within_bounds(
        constant in 10.0..1_000.0f64,
        linear in 1.0..100.0f64,
        quadratic in 0.0..1.0f64,
        noise in prop::collection::vec(-0.02..0.02f64, 5),
    ) {
        let truth = |n: f64| constant + linear * n + quadratic * n * n;
        let mut made = over_schedulers("made", truth);
        for (run, noise) in made.runs.iter_mut().zip(&noise) {
            run.samples[0].value *= 1.0 + noise;
        }
        let fit = bytes_in(&made).expect("is fitted");
        let predicted = fit.curve.predict(250.0);
        prop_assert!((predicted - truth(250.0)).abs() <= 0.1 * truth(250.0), "{predicted}");
        prop_assert!(fit.relative_residual < 0.05, "{}", fit.relative_residual);
        prop_assert!(!fit.held_out[0].is_apart(), "{:?}", fit.held_out);
    }

    /// The same fit whatever the unit of the variable is.
    #[test]
    fn the_unit_of_the_variable_does_not_matter(factor in 1e-3..1e6f64, bend in 0.0..2.0f64) {
        let sizes = [3.0, 10.0, 30.0, 100.0, 250.0];
        let value = |n: f64| 100.0 + 7.0 * n + bend * n * n;
        let run_at = |n: f64| run(Size::default(), n * factor, false, value(n));
        let made = results("made", "schedulers", sizes.map(run_at).to_vec());
        let fit = bytes_in(&made).expect("is fitted");
        let predicted = fit.curve.predict(350.0 * factor);
        prop_assert!((predicted - value(350.0)).abs() <= 1e-6 * value(350.0), "{predicted}");
    }
}
