//! Plots of slopes: one SVG for a profile, role and metric.

use crate::fit::{Fit, HeldOut, Point};
use plotters::coord::ranged1d::{AsRangedCoord, Ranged, ValueFormatter};
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (800, 480);
/// A logarithmic axis where the largest value is at least so many times the smallest.
const LARGE_SPREAD: f64 = 30.0;
/// Points that the curve is drawn through.
const STEPS: u32 = 200;
/// Room beyond the outermost values.
const ROOM: f64 = 1.15;
/// The range of an axis on which there is nothing above zero.
const EMPTY_AXIS: f64 = 1.0;
const POINT: i32 = 4;
const CURVE_COLOR: RGBColor = RGBColor(30, 80, 160);
const HELD_OUT_COLOR: RGBColor = RGBColor(170, 60, 40);
const TARGET_COLOR: RGBColor = RGBColor(40, 110, 60);
const BUDGET_COLOR: RGBColor = RGBColor(150, 90, 0);

/// All that a plot shows.
#[derive(Clone, Debug)]
pub struct Picture<'a> {
    pub title: String,
    /// Names of the axes, with their units.
    pub x_name: String,
    pub y_name: String,
    pub fit: &'a Fit,
    /// The target's value of the variable.
    pub target: Option<f64>,
    /// What may be spent.
    pub budget: Option<f64>,
}

/// Why a plot was not drawn.
#[derive(Debug)]
pub struct PlotError {
    pub path: String,
    pub cause: String,
}

impl std::fmt::Display for PlotError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.path, self.cause)
    }
}

impl std::error::Error for PlotError {}

/// A range of values, and whether it is shown on a logarithmic axis.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Axis {
    least: f64,
    most: f64,
    logarithmic: bool,
}

impl Axis {
    fn over(values: impl Iterator<Item = f64> + Clone) -> Self {
        let most = values.clone().fold(0.0, f64::max);
        let least = values.clone().fold(f64::INFINITY, f64::min);
        let smallest = values.filter(|value| *value > 0.0).fold(f64::INFINITY, f64::min);
        if least > 0.0 && most >= LARGE_SPREAD * smallest {
            return Self { least: smallest / ROOM, most: most * ROOM, logarithmic: true };
        }
        let most = if most > 0.0 { most * ROOM } else { EMPTY_AXIS };
        Self { least: least.min(0.0), most, logarithmic: false }
    }
}

/// Draws a picture into a file.
///
/// # Errors
/// Where the file can't be written.
pub fn draw(path: &Path, picture: &Picture) -> Result<(), PlotError> {
    let drawn = draw_on(path, picture);
    drawn.map_err(|cause| PlotError { path: path.display().to_string(), cause: cause.to_string() })
}

type Drawn = Result<(), Box<dyn std::error::Error>>;

fn draw_on(path: &Path, picture: &Picture) -> Drawn {
    std::fs::write(path, "")?;
    let (x, y) = axes(picture);
    let linear_x: std::ops::Range<f64> = x.least..x.most;
    let linear_y: std::ops::Range<f64> = y.least..y.most;
    match (x.logarithmic, y.logarithmic) {
        (true, true) => chart(path, picture, linear_x.log_scale(), linear_y.log_scale(), x, y),
        (true, false) => chart(path, picture, linear_x.log_scale(), linear_y, x, y),
        (false, true) => chart(path, picture, linear_x, linear_y.log_scale(), x, y),
        (false, false) => {
            chart::<std::ops::Range<f64>, std::ops::Range<f64>>(path, picture, linear_x, linear_y, x, y)
        }
    }
}

/// The ranges of both axes. The curve's ends belong to what is shown.
fn axes(picture: &Picture) -> (Axis, Axis) {
    let fit = picture.fit;
    let points = fit.points.iter().map(|point| (point.varied, point.measured));
    let held_out = fit.held_out.iter().map(|run| (run.varied, run.measured));
    let shown: Vec<(f64, f64)> = points.chain(held_out).collect();
    let x = Axis::over(shown.iter().map(|(x, _)| *x).chain(picture.target));
    let at_target = picture.target.map(|target| fit.curve.predict(target)).filter(|value| *value > 0.0);
    let y = Axis::over(shown.iter().map(|(_, y)| *y).chain(at_target).chain(picture.budget));
    (x, y)
}

/// The values at which the curve is drawn: even steps on the axis, up to the target or the last run.
fn steps(x: Axis, picture: &Picture) -> Vec<f64> {
    let end = picture.target.unwrap_or(0.0).max(picture.fit.largest());
    let first = picture.fit.points.iter().map(|point| point.varied).fold(end, f64::min);
    let part = |step: u32| f64::from(step) / f64::from(STEPS);
    let at = |step: u32| {
        if x.logarithmic {
            first * (end / first).powf(part(step))
        } else {
            first + (end - first) * part(step)
        }
    };
    (0..=STEPS).map(at).collect()
}

fn chart<X, Y>(path: &Path, picture: &Picture, x_range: X, y_range: Y, x: Axis, y: Axis) -> Drawn
where
    X: AsRangedCoord<Value = f64>,
    Y: AsRangedCoord<Value = f64>,
    X::CoordDescType: Ranged<ValueType = f64> + ValueFormatter<f64>,
    Y::CoordDescType: Ranged<ValueType = f64> + ValueFormatter<f64>,
{
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(&picture.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(80)
        .build_cartesian_2d(x_range, y_range)?;
    chart
        .configure_mesh()
        .max_light_lines(1)
        .x_desc(&picture.x_name)
        .y_desc(&picture.y_name)
        .x_label_formatter(&|value| crate::units::number(*value))
        .y_label_formatter(&|value| crate::units::number(*value))
        .draw()?;
    let fit = picture.fit;
    let inside = |value: f64| value >= y.least && value <= y.most;
    let curve = steps(x, picture).into_iter().map(|at| (at, fit.curve.predict(at)));
    let curve: Vec<(f64, f64)> = curve.filter(|(_, value)| inside(*value)).collect();
    chart
        .draw_series(LineSeries::new(curve, CURVE_COLOR.stroke_width(2)))?
        .label("fitted")
        .legend(|at| line_key(at, CURVE_COLOR));
    let dot = |point: &Point| Circle::new((point.varied, point.measured), POINT, CURVE_COLOR.filled());
    chart
        .draw_series(fit.points.iter().map(dot))?
        .label("measured")
        .legend(|(x, y)| Circle::new((x + 9, y), POINT, CURVE_COLOR.filled()));
    let cross =
        |run: &HeldOut| Cross::new((run.varied, run.measured), POINT + 2, HELD_OUT_COLOR.stroke_width(3));
    if !fit.held_out.is_empty() {
        chart
            .draw_series(fit.held_out.iter().map(cross))?
            .label("held out of the fit")
            .legend(|(x, y)| Cross::new((x + 9, y), POINT + 2, HELD_OUT_COLOR.stroke_width(3)));
    }
    if let Some(target) = picture.target {
        let line = [(target, y.least), (target, y.most)];
        chart
            .draw_series(LineSeries::new(line, TARGET_COLOR.stroke_width(1)))?
            .label(format!("target: {}", crate::units::size(target)))
            .legend(|at| line_key(at, TARGET_COLOR));
    }
    if let Some(budget) = picture.budget {
        let line = [(x.least, budget), (x.most, budget)];
        chart
            .draw_series(LineSeries::new(line, BUDGET_COLOR.stroke_width(1)))?
            .label(format!("budget: {}", crate::units::number(budget)))
            .legend(|at| line_key(at, BUDGET_COLOR));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}

/// The stroke beside a line's name.
fn line_key((x, y): (i32, i32), color: RGBColor) -> PathElement<(i32, i32)> {
    PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2))
}
