//! Status lines for the operators.

use crate::desk::Desk;
use crate::machines::{Reach, Spot};
use mulleinhub_protocol as protocol;

/// Bytes of a status, which goes in one frame; lines beyond are counted only.
const MOST_STATUS: usize = protocol::MOST_FRAME / 4 * 3;

/// How the planner is, in lines for a person.
pub fn status(desk: &Desk) -> String {
    let counts = desk.counts();
    let jobs = desk.jobs_by_machine();
    let machine = |spot: &Spot| machine_line(spot, jobs.get(&spot.id).copied().unwrap_or_default());
    let mut lines = vec![
        format!("planner {} life {}", desk.settings.name, desk.life),
        format!(
            "tasks taken {} placed {} nacked {} errored {}",
            counts.taken, counts.placed, counts.nacked, counts.errored
        ),
        format!("in hand pending {} sent {} placed {}", counts.pending, counts.sent, counts.running),
        format!("sends {} late yes {} bad frames {}", counts.sends, counts.late_yes, counts.bad_frames),
        format!(
            "clients' connections {} of {} allowed, deadlines held {}",
            desk.limits.len(),
            desk.limits.current_limit(),
            desk.limits.timer_entries()
        ),
        format!(
            "machines {} of {} ready, list version {}",
            counts.machines_ready, counts.machines, desk.list_version
        ),
    ];
    lines.push(desk.not_ready().map_or_else(|| "ready".to_owned(), |why| format!("not ready: {why}")));
    lines.extend(desk.quota.iter().flat_map(|quota| quota.status(desk.now)));
    lines.extend(desk.machines.values().map(machine));
    // Who asks may not have read it all before more is written.
    joined(&lines, MOST_STATUS.min(desk.settings.most_unwritten / 2))
}

fn machine_line(spot: &Spot, tasks: usize) -> String {
    let reach = match spot.reach {
        Reach::Down => "down",
        Reach::Coming(_) => "coming",
        Reach::Ready(_) => "ready",
    };
    let (cores, memory) = spot.left.unwrap_or_default();
    format!(
        "machine {} {reach} {:?} tasks {tasks} left {cores:.1} cores {memory:.1} memory",
        spot.id.0, spot.mode
    )
}

/// The lines in so many bytes, and how many more there are.
fn joined(lines: &[String], most: usize) -> String {
    let mut text = String::new();
    for (n, line) in lines.iter().enumerate() {
        if text.len() + line.len() > most {
            return format!("{text}\nand {} lines more", lines.len() - n);
        }
        if n > 0 {
            text.push('\n');
        }
        text.push_str(line);
    }
    text
}
