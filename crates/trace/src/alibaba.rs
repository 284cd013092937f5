//! The Alibaba cluster trace of 2018.
//!
//! Written from the published schema of cluster-trace-v2018. Instants are whole seconds from the trace's
//! begin. Cores of a machine are told as they are; asks for cores are hundredths of one; memory is a
//! hundredth part of the greatest machine's. Files have no header; rows follow names, not the clock, except
//! for usage.

use crate::event::{Change, Event, JobId, MachineChange, Stamped, TaskKey, Way};
use crate::fault::{Out, Tally};
use crate::layout::{Layout, Order, Table};
use crate::row::{Row, name_number};

pub struct Alibaba2018;

const SECOND: u64 = 1_000_000;
const MOST_CORES: f64 = 1_024.0;
const MOST_PERCENT: f64 = 100.0;
/// Classes of this layout, which has none of its own: long-running containers, and batch.
pub const CONTAINER: u32 = 3;
pub const BATCH: u32 = 0;

const MACHINE_META: usize = 0;
const CONTAINER_META: usize = 1;
const BATCH_TASK: usize = 2;
const CONTAINER_USAGE: usize = 3;
const BATCH_INSTANCE: usize = 4;

static TABLES: [Table; 6] = [
    Table {
        name: "machine_meta",
        columns: &[
            "machine_id",
            "time_stamp",
            "failure_domain_1",
            "failure_domain_2",
            "cpu_num",
            "mem_size",
            "status",
        ],
        order: Order::ByName,
        machines: true,
    },
    Table {
        name: "container_meta",
        columns: &[
            "container_id",
            "machine_id",
            "time_stamp",
            "app_du",
            "status",
            "cpu_request",
            "cpu_limit",
            "mem_size",
        ],
        order: Order::ByName,
        machines: false,
    },
    Table {
        name: "batch_task",
        columns: &[
            "task_name",
            "instance_num",
            "job_name",
            "task_type",
            "status",
            "start_time",
            "end_time",
            "plan_cpu",
            "plan_mem",
        ],
        order: Order::ByName,
        machines: false,
    },
    Table {
        name: "container_usage",
        columns: &["container_id", "machine_id", "time_stamp", "cpu_util_percent", "mem_util_percent"],
        order: Order::ByName,
        machines: false,
    },
    Table {
        name: "batch_instance",
        columns: &[
            "instance_name",
            "task_name",
            "job_name",
            "task_type",
            "status",
            "start_time",
            "end_time",
            "machine_id",
            "seq_no",
            "total_seq_no",
            "cpu_avg",
            "cpu_max",
            "mem_avg",
            "mem_max",
        ],
        order: Order::ByName,
        machines: false,
    },
    // What machines used in all: what of it was the tasks' is told by the other tables.
    Table {
        name: "machine_usage",
        columns: &["machine_id", "time_stamp", "cpu_util_percent", "mem_util_percent"],
        order: Order::ByName,
        machines: false,
    },
];

impl Layout for Alibaba2018 {
    fn name(&self) -> &'static str {
        "alibaba-2018"
    }

    fn about(&self) -> &'static str {
        "Alibaba cluster-trace-v2018: machine_meta, container_meta, container_usage, batch_task, \
         batch_instance, machine_usage. Services are apps (app_du) and jobs; containers are class 3, batch \
         is class 0; a batch task is instance_num tasks that are wanted from its start to its end, since \
         no row tells when it was asked for; a container is wanted from its first row to the trace's end; \
         use of containers is a part of their ask; failure domains are failure_domain_2."
    }

    fn tables(&self) -> &'static [Table] {
        &TABLES
    }

    fn wholes(&self) -> Option<(f64, f64)> {
        None
    }

    fn read(
        &self,
        table: usize,
        row: &Row<'_>,
        out: &mut Vec<Stamped>,
        tally: &mut Tally,
    ) -> Result<(), Out> {
        match table {
            MACHINE_META => machine_meta(row, out, tally),
            CONTAINER_META => container_meta(row, out, tally),
            BATCH_TASK => batch_task(row, out, tally),
            CONTAINER_USAGE => container_usage(row, out, tally),
            BATCH_INSTANCE => batch_instance(row, out, tally),
            _ => {
                row.must(0, tally)?;
                row.must_number(1, tally)?;
                row.figure_or(2, 0.0, MOST_PERCENT, tally)?;
                row.figure_or(3, 0.0, MOST_PERCENT, tally).map(drop)
            }
        }
    }
}

fn machine_meta(row: &Row<'_>, out: &mut Vec<Stamped>, tally: &mut Tally) -> Result<(), Out> {
    let machine = name_number(row.must(0, tally)?);
    let at = row.must_number(1, tally)? * SECOND;
    let domain = row.maybe(3).map_or(machine % 64, name_number);
    let cores = row.figure(4, 96.0, MOST_CORES, tally)?;
    let memory = row.figure(5, MOST_PERCENT, MOST_PERCENT, tally)?;
    let change = match row.must(6, tally)? {
        "USING" | "IMPORT" => MachineChange::Up { cores, memory, domain },
        "OFFLINE" | "OFF" | "DOWN" => MachineChange::Down,
        _ => return row.unknown(6, tally),
    };
    out.push(Stamped { at, event: Event::Machine { machine, change } });
    Ok(())
}

/// Usage rows don't name the app, so a container is a job of its own, and its app is its service.
fn container_key(row: &Row<'_>, tally: &mut Tally) -> Result<TaskKey, Out> {
    Ok(TaskKey { job: JobId(name_number(row.must(0, tally)?)), index: 0 })
}

fn container_meta(row: &Row<'_>, out: &mut Vec<Stamped>, tally: &mut Tally) -> Result<(), Out> {
    let task = container_key(row, tally)?;
    let service = name_number(row.must(3, tally)?);
    let machine = name_number(row.must(1, tally)?);
    let at = row.must_number(2, tally)? * SECOND;
    let cores = row.figure(5, 400.0, MOST_CORES * 100.0, tally)? / 100.0;
    let memory = row.figure(7, 1.0, MOST_PERCENT, tally)?;
    match row.must(4, tally)? {
        "started" | "allocated" | "unknown" => {
            let change = Change::Wanted {
                service,
                class: CONTAINER,
                priority: 0,
                cores,
                memory,
                apart: false,
                on: Some(machine),
            };
            out.push(Stamped { at, event: Event::Task { task, change } });
        }
        "stopped" => {
            out.push(Stamped { at, event: Event::Task { task, change: Change::Ended(Way::Finished) } });
        }
        _ => return row.unknown(4, tally),
    }
    Ok(())
}

fn batch_task(row: &Row<'_>, out: &mut Vec<Stamped>, tally: &mut Tally) -> Result<(), Out> {
    /// No published task has more instances; a greater number is a fault.
    const MOST_INSTANCES: f64 = 200_000.0;
    let name = row.must(0, tally)?;
    let instances = row.figure(1, 1.0, MOST_INSTANCES, tally)? as u64;
    let job = JobId(name_number(row.must(2, tally)?));
    let way = match row.must(4, tally)? {
        "Terminated" => Some(Way::Finished),
        "Failed" => Some(Way::Failed),
        "Cancelled" | "Interrupted" => Some(Way::Killed),
        "Running" | "Waiting" | "Ready" => None,
        _ => return row.unknown(4, tally),
    };
    let at = row.must_number(5, tally)? * SECOND;
    let end = row.figure_or(6, 0.0, 1e12, tally)? as u64 * SECOND;
    let cores = row.figure(7, 100.0, MOST_CORES * 100.0, tally)? / 100.0;
    let memory = row.figure(8, 0.5, MOST_PERCENT, tally)?;
    let first = batch_index(name);
    for n in 0..instances {
        let task = TaskKey { job, index: first.wrapping_add(n) };
        let change = Change::Wanted {
            service: job.0,
            class: BATCH,
            priority: 0,
            cores,
            memory,
            apart: false,
            on: None,
        };
        out.push(Stamped { at, event: Event::Task { task, change } });
        if let Some(way) = way
            && end >= at
        {
            out.push(Stamped { at: end, event: Event::Task { task, change: Change::Ended(way) } });
        }
    }
    Ok(())
}

/// Where the instances of a batch task begin among the tasks of its job.
fn batch_index(task: &str) -> u64 {
    name_number(task) << 20
}

fn batch_instance(row: &Row<'_>, out: &mut Vec<Stamped>, tally: &mut Tally) -> Result<(), Out> {
    row.must(0, tally)?;
    let name = row.must(1, tally)?;
    let job = JobId(name_number(row.must(2, tally)?));
    let at = row.must_number(5, tally)? * SECOND;
    let end = row.figure_or(6, 0.0, 1e12, tally)? as u64 * SECOND;
    let number = row.must_number(8, tally)?.max(1) - 1;
    let task = TaskKey { job, index: batch_index(name).wrapping_add(number) };
    if let Some(machine) = row.maybe(7) {
        let change = Change::Started { machine: name_number(machine) };
        out.push(Stamped { at, event: Event::Task { task, change } });
    }
    let cores = row.figure_or(10, 0.0, MOST_CORES * 100.0, tally)? / 100.0;
    let memory = row.figure_or(12, 0.0, MOST_PERCENT, tally)?;
    if cores > 0.0 || memory > 0.0 {
        let change = Change::Uses { from: at, cores, memory };
        out.push(Stamped { at: end.max(at), event: Event::Task { task, change } });
    }
    Ok(())
}

fn container_usage(row: &Row<'_>, out: &mut Vec<Stamped>, tally: &mut Tally) -> Result<(), Out> {
    let task = container_key(row, tally)?;
    let at = row.must_number(2, tally)? * SECOND;
    // Parts of the container's ask: told as negative figures until the ask is known.
    let cores = row.figure_or(3, 0.0, MOST_PERCENT, tally)? / MOST_PERCENT;
    let memory = row.figure_or(4, 0.0, MOST_PERCENT, tally)? / MOST_PERCENT;
    let change = Change::Uses { from: at.saturating_sub(300 * SECOND), cores: -cores, memory: -memory };
    out.push(Stamped { at, event: Event::Task { task, change } });
    Ok(())
}
