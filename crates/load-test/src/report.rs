//! The figures of a campaign: rows of CSV that a later run goes on from, and a plot.

use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// One thing measured. Times of the busy are from the instant at which an ask was due.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// `silent`, `burst` or `storm`.
    pub what: String,
    /// Of which program: `this`, or the file name of another.
    pub program: String,
    pub planners: usize,
    pub rate: f64,
    /// Silent connections wanted, and up.
    pub idle: usize,
    pub up: usize,
    pub opened_a_second: f64,
    /// Resident bytes of planners a connection, beyond what they had without any.
    pub ours_bytes: f64,
    /// Bytes of the kernel's caches a connection, of both its ends.
    pub kernel_bytes: f64,
    /// CPU milliseconds of planners in a second of silence for each 10,000 connections, beyond what they use
    /// without any.
    pub silent_cpu_ms: f64,
    pub asked: u64,
    pub unanswered: u64,
    pub taken_p50_us: u64,
    pub taken_p99_us: u64,
    pub taken_p999_us: u64,
    pub placed_p50_us: u64,
    pub placed_p99_us: u64,
    pub placed_p999_us: u64,
    /// For `storm`: until the busy, and until all, were greeted again.
    pub busy_back_ms: u64,
    pub all_back_ms: u64,
}

/// The rows of an earlier run, if there was one.
///
/// # Errors
/// Where the file is there and is not of this kind: it is not written over.
pub fn read(path: &Path) -> Result<Vec<Row>, String> {
    if !path.exists() {
        return Ok(Vec::new());
    }
    let mut reader = csv::Reader::from_path(path).map_err(|e| format!("{}: {e}", path.display()))?;
    reader.deserialize().map(|row| row.map_err(|e| format!("{}: {e}", path.display()))).collect()
}

/// Writes all rows, beside and renamed.
///
/// # Errors
/// What the system refuses.
pub fn write(path: &Path, rows: &[Row]) -> Result<(), String> {
    let beside = path.with_extension("new");
    let words = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let mut writer = csv::Writer::from_path(&beside).map_err(|e| words(&e))?;
    rows.iter().try_for_each(|row| writer.serialize(row)).map_err(|e| words(&e))?;
    writer.flush().map_err(|e| words(&e))?;
    drop(writer);
    std::fs::rename(&beside, path).map_err(|e| words(&e))
}

/// The first number of silent connections at which p99 of the busy is twice what it is with none.
pub fn doubles_at(rows: &[Row]) -> Option<usize> {
    let silent = || rows.iter().filter(|row| row.what == "silent");
    let alone = silent().find(|row| row.idle == 0)?.taken_p99_us;
    silent().filter(|row| row.idle > 0 && row.taken_p99_us >= 2 * alone).map(|row| row.idle).min()
}

/// Draws the times of the busy against the number of silent connections.
///
/// # Errors
/// Where the file can't be written.
pub fn plot(path: &Path, rows: &[Row]) -> Result<(), String> {
    let silent: Vec<&Row> = rows.iter().filter(|row| row.what == "silent").collect();
    let words = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let most = silent.iter().map(|row| row.up).max().unwrap_or(1).max(1);
    let top = silent.iter().map(|row| row.taken_p999_us).max().unwrap_or(1).max(10) * 2;
    let area = SVGBackend::new(path, (800, 480)).into_drawing_area();
    area.fill(&WHITE).map_err(|e| words(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .caption("From an ask's instant until it is taken", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(64)
        .build_cartesian_2d(0..most, (10u64..top).log_scale())
        .map_err(|e| words(&e))?;
    chart
        .configure_mesh()
        .max_light_lines(1)
        .x_desc("silent connections")
        .y_desc("microseconds")
        .draw()
        .map_err(|e| words(&e))?;
    let colors = [RGBColor(40, 110, 60), RGBColor(30, 80, 160), RGBColor(170, 60, 40)];
    for (n, (name, color)) in ["p50", "p99", "p99.9"].into_iter().zip(colors).enumerate() {
        let of = |row: &Row| [row.taken_p50_us, row.taken_p99_us, row.taken_p999_us][n].max(10);
        let points: Vec<(usize, u64)> = silent.iter().map(|row| (row.up, of(row))).collect();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))
            .map_err(|e| words(&e))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
        let dots = points.iter().map(|point| Circle::new(*point, 3, color.filled()));
        chart.draw_series(dots).map_err(|e| words(&e))?;
    }
    let legend = chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw();
    legend.map_err(|e| words(&e))?;
    area.present().map_err(|e| words(&e))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn row(idle: usize, p99: u64) -> Row {
        let what = "silent".to_owned();
        Row { what, idle, up: idle, taken_p99_us: p99, taken_p999_us: p99 * 2, ..Row::default() }
    }

    #[test]
    fn the_doubling_point_is_the_first_with_twice_the_time_of_none() {
        assert_eq!(doubles_at(&[row(0, 100), row(10, 150), row(20, 200), row(30, 190)]), Some(20));
        assert_eq!(doubles_at(&[row(0, 100), row(10, 150)]), None);
        assert_eq!(doubles_at(&[row(10, 150)]), None, "nothing to compare with");
    }

    #[test]
    fn rows_are_read_as_they_were_written_and_a_foreign_file_is_left_alone() {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("idle.csv");
        let rows = vec![row(0, 100), row(10, 150)];
        write(&path, &rows).expect("is written");
        assert_eq!(read(&path), Ok(rows.clone()));
        plot(&folder.path().join("idle.svg"), &rows).expect("is drawn");
        std::fs::write(&path, "name,age\na,1\n").expect("is written");
        assert!(read(&path).is_err());
    }
}
