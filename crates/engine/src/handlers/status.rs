//! Status lines for the operators.

use crate::machine::{ConnectionState, MachineSlot};
use crate::state::SchedulerState;
use mulleinhub_protocol as protocol;

/// Bytes of a status, which is sent in one frame; lines beyond are counted only.
const MAX_STATUS_BYTES: usize = protocol::MOST_FRAME / 4 * 3;

/// The status, in lines for the operators.
pub fn status(state: &SchedulerState) -> String {
    let counts = state.counts();
    let attempts = state.attempts_by_machine();
    let machine =
        |slot: &MachineSlot| machine_line(slot, attempts.get(&slot.id).copied().unwrap_or_default());
    let mut lines = vec![
        format!("planner {} life {}", state.settings.name, state.incarnation),
        format!(
            "tasks taken {} placed {} nacked {} errored {}",
            counts.accepted, counts.placed, counts.rejected, counts.failed
        ),
        format!("in hand pending {} sent {} placed {}", counts.pending, counts.in_flight, counts.running),
        format!(
            "sends {} late yes {} bad frames {}",
            counts.attempts, counts.late_acceptances, counts.protocol_errors
        ),
        format!(
            "clients' connections {} of {} allowed, deadlines held {}",
            state.clients.limits.len(),
            state.clients.limits.current_limit(),
            state.clients.limits.timer_entries()
        ),
        format!(
            "machines {} of {} ready, list version {}",
            counts.machines_ready, counts.machines, state.endpoint_list.version
        ),
    ];
    lines.push(state.not_ready().map_or_else(|| "ready".to_owned(), |reason| format!("not ready: {reason}")));
    lines.extend(state.quota.iter().flat_map(|quota| quota.status(state.now)));
    lines.extend(state.machines.values().map(machine));
    // Who asks may not have read all of it before more is written.
    join_lines(&lines, MAX_STATUS_BYTES.min(state.settings.max_unsent_bytes / 2))
}

fn machine_line(slot: &MachineSlot, tasks: usize) -> String {
    let connection = match slot.connection {
        ConnectionState::Down => "down",
        ConnectionState::Connecting(_) => "coming",
        ConnectionState::Ready(_) => "ready",
    };
    let (cores, memory) = slot.free.unwrap_or_default();
    format!(
        "machine {} {connection} {:?} tasks {tasks} left {cores:.1} cores {memory:.1} memory",
        slot.id.0, slot.mode
    )
}

/// The lines in at most so many bytes, and how many more there are.
fn join_lines(lines: &[String], max_bytes: usize) -> String {
    let mut text = String::new();
    for (n, line) in lines.iter().enumerate() {
        if text.len() + line.len() > max_bytes {
            return format!("{text}\nand {} lines more", lines.len() - n);
        }
        if n > 0 {
            text.push('\n');
        }
        text.push_str(line);
    }
    text
}
