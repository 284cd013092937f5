//! One replay in virtual time, and what it came to.

use mulleinhub_checker::Verdict;
use mulleinhub_interface::Timestamp;
use mulleinhub_scenario::{Day, Look, Score};
use mulleinhub_simulation::{Ranking, Simulation};
use std::io::{BufReader, BufWriter, Seek, Write};

/// How things were at an instant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    pub seconds: f64,
    pub look: Look,
}

pub struct Outcome {
    pub score: Score,
    pub verdict: Verdict,
    /// At most some hundreds, evenly over the day.
    pub points: Vec<Point>,
}

const POINTS: u64 = 300;

/// Plays a day under the module, or under a plain policy.
///
/// # Errors
/// Where the capture can't be kept or read back.
pub fn play(day: &Day, rule: Option<Ranking>, mut watch: impl FnMut(Timestamp)) -> Result<Outcome, String> {
    let words = |e: std::io::Error| format!("a file for the capture: {e}");
    let file = tempfile::tempfile().map_err(words)?;
    let every = (day.length.nanos() / POINTS).max(1);
    let mut points = Vec::new();
    let mut next = 0;
    let simulation = Simulation::new(day.clone(), BufWriter::new(file)).with_baseline(rule);
    let played = simulation.run(|now, stage| {
        watch(now);
        if now.nanos() >= next {
            next = now.nanos() + every;
            points.push(Point { seconds: now.nanos() as f64 / 1e9, look: stage.fleet_now() });
        }
    });
    let (score, _, mut out) = played.map_err(words)?;
    out.flush().map_err(words)?;
    let mut file = out.into_inner().map_err(|e| format!("a file for the capture: {e}"))?;
    file.rewind().map_err(words)?;
    let verdict = mulleinhub_checker::judge(BufReader::new(file)).map_err(|e| format!("the capture: {e}"))?;
    Ok(Outcome { score, verdict, points })
}
