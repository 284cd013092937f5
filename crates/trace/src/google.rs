//! The Google cluster-usage traces of 2011, format and schema of version 2.
//!
//! Written from the published schema: C. Reiss, J. Wilkes, J. L. Hellerstein, "Google cluster-usage traces:
//! format + schema" (2011, revised 2014). Instants are microseconds from 600 s before the trace begins; 0
//! stands for what was before, 2^63 - 1 for what came after. Sizes and asks are parts of the greatest
//! machine's. Files have no header and come in numbered parts.

use crate::event::{Change, Event, JobId, MachineChange, Stamped, TaskKey, Way};
use crate::fault::{Out, Tally};
use crate::layout::{Layout, Order, Table};
use crate::row::{Row, name_number};

pub struct Google2011;

/// What came after the trace's end.
pub const AFTER: u64 = (1 << 63) - 1;
/// No machine and no ask is greater than the greatest machine; figures of use may pass it by a little.
const MOST_ASK: f64 = 1.0;
const MOST_USE: f64 = 4.0;

const MACHINE_EVENTS: usize = 0;
const TASK_EVENTS: usize = 1;
const TASK_USAGE: usize = 2;
const JOB_EVENTS: usize = 3;

static TABLES: [Table; 5] = [
    Table {
        name: "machine_events",
        columns: &["time", "machine ID", "event type", "platform ID", "CPUs", "Memory"],
        order: Order::ByTime,
        machines: true,
    },
    Table {
        name: "task_events",
        columns: &[
            "time",
            "missing info",
            "job ID",
            "task index",
            "machine ID",
            "event type",
            "user",
            "scheduling class",
            "priority",
            "CPU request",
            "memory request",
            "disk space request",
            "different machines restriction",
        ],
        order: Order::ByTime,
        machines: false,
    },
    Table {
        name: "task_usage",
        columns: &[
            "start time",
            "end time",
            "job ID",
            "task index",
            "machine ID",
            "CPU rate",
            "canonical memory usage",
            "assigned memory usage",
        ],
        order: Order::ByTime,
        machines: false,
    },
    Table {
        name: "job_events",
        columns: &[
            "time",
            "missing info",
            "job ID",
            "event type",
            "user",
            "scheduling class",
            "job name",
            "logical job name",
        ],
        order: Order::ByTime,
        machines: false,
    },
    // Which attributes a machine must have: the attributes are obfuscated, so nothing is decided by them.
    Table {
        name: "task_constraints",
        columns: &[
            "time",
            "job ID",
            "task index",
            "comparison operator",
            "attribute name",
            "attribute value",
        ],
        order: Order::ByTime,
        machines: false,
    },
];

impl Layout for Google2011 {
    fn name(&self) -> &'static str {
        "google-2011"
    }

    fn about(&self) -> &'static str {
        "Google cluster-usage traces 2011, schema version 2: machine_events, task_events, task_usage, \
         job_events, task_constraints. Services are jobs; sizes are parts of the greatest machine; failure \
         domains are not told, so racks are drawn from the platform and the machine's number; constraints \
         are read and not used."
    }

    fn tables(&self) -> &'static [Table] {
        &TABLES
    }

    fn wholes(&self) -> Option<(f64, f64)> {
        Some((1.0, 1.0))
    }

    fn read(
        &self,
        table: usize,
        row: &Row<'_>,
        out: &mut Vec<Stamped>,
        tally: &mut Tally,
    ) -> Result<(), Out> {
        match table {
            MACHINE_EVENTS => machine_event(row, out, tally),
            TASK_EVENTS => task_event(row, out, tally),
            TASK_USAGE => task_usage(row, out, tally),
            JOB_EVENTS => job_event(row, tally),
            _ => {
                // Rows are looked at, so that faults in them are told.
                row.must_number(0, tally)?;
                row.must_number(1, tally)?;
                Ok(())
            }
        }
    }
}

fn machine_event(row: &Row<'_>, out: &mut Vec<Stamped>, tally: &mut Tally) -> Result<(), Out> {
    let at = row.must_number(0, tally)?;
    let machine = row.must_number(1, tally)?;
    let change = match row.must(2, tally)? {
        // A machine without a size can't be scheduled on: the published note says that some rows lack it.
        "0" | "2" => MachineChange::Up {
            cores: row.figure(4, 0.5, MOST_ASK, tally)?,
            memory: row.figure(5, 0.5, MOST_ASK, tally)?,
            domain: row.maybe(3).map_or(0, name_number) ^ (machine % 64),
        },
        "1" => MachineChange::Down,
        _ => return row.unknown(2, tally),
    };
    out.push(Stamped { at, event: Event::Machine { machine, change } });
    Ok(())
}

fn task_event(row: &Row<'_>, out: &mut Vec<Stamped>, tally: &mut Tally) -> Result<(), Out> {
    let at = row.must_number(0, tally)?;
    let task = TaskKey { job: JobId(row.must_number(2, tally)?), index: row.must_number(3, tally)? };
    let kind = row.must(5, tally)?;
    let change = match kind {
        "0" => Change::Wanted {
            service: task.job.0,
            class: row.one_of(7, 4, 0, tally)? as u32,
            priority: row.one_of(8, 12, 0, tally)? as u32,
            cores: row.figure(9, 0.01, MOST_ASK, tally)?,
            memory: row.figure(10, 0.01, MOST_ASK, tally)?,
            apart: row.maybe(12) == Some("1"),
            on: None,
        },
        "1" => Change::Started { machine: row.must_number(4, tally)? },
        "2" => Change::Ended(Way::Evicted),
        "3" => Change::Ended(Way::Failed),
        "4" => Change::Ended(Way::Finished),
        "5" => Change::Ended(Way::Killed),
        "6" => Change::Ended(Way::Lost),
        "7" | "8" => Change::Asks {
            cores: row.figure(9, 0.01, MOST_ASK, tally)?,
            memory: row.figure(10, 0.01, MOST_ASK, tally)?,
        },
        _ => return row.unknown(5, tally),
    };
    out.push(Stamped { at, event: Event::Task { task, change } });
    Ok(())
}

fn task_usage(row: &Row<'_>, out: &mut Vec<Stamped>, tally: &mut Tally) -> Result<(), Out> {
    let at = row.must_number(0, tally)?;
    let until = row.must_number(1, tally)?;
    let task = TaskKey { job: JobId(row.must_number(2, tally)?), index: row.must_number(3, tally)? };
    let cores = row.figure(5, 0.0, MOST_USE, tally)?;
    let memory = row.figure_or(6, 0.0, MOST_USE, tally)?;
    // Told at its end: a window of measuring may begin before its task.
    let change = Change::Uses { from: at, cores, memory };
    out.push(Stamped { at: until, event: Event::Task { task, change } });
    Ok(())
}

/// Jobs are known by their tasks; their own rows are looked at for faults.
fn job_event(row: &Row<'_>, tally: &mut Tally) -> Result<(), Out> {
    row.must_number(0, tally)?;
    row.must_number(2, tally)?;
    match row.must(3, tally)?.parse::<u64>() {
        Ok(0..=8) => Ok(()),
        _ => row.unknown(3, tally),
    }
}
