//! A day of a trace: its machines as kinds and racks, its tasks as what owners want.

use mulleinhub_emulators::{Planned, UseBook, UsePart, planned_key};
use mulleinhub_interface::{Duration, Resources};
use mulleinhub_scenario::{Day, Fleet, Spot, parse_day};
use mulleinhub_settings::{Diagnostics, Directive, SourceSpan, parse_text};
use mulleinhub_trace::{Mapping, Work, read_mapping};
use mulleinhub_workload_settings::MachineKind;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The mapping that is used where none is named.
pub const DEFAULT_MAP: &str = include_str!("../../../days/traces.map");

/// What of the sample is not replayed, and why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LeftOut {
    /// No rule of the mapping fits their class.
    pub unmapped: u64,
    /// They ask for more than the greatest machine has.
    pub too_big: u64,
    /// More tasks were sampled than are allowed.
    pub too_many: u64,
    /// Machines beyond what a day holds.
    pub machines: u64,
}

/// A day made of a trace.
#[derive(Clone, Debug)]
pub struct Replay {
    pub day: Day,
    pub left_out: LeftOut,
    pub tasks: u64,
}

/// A day holds so many machines at the most.
const MOST_MACHINES: usize = 900;
const MOST_RACKS: u32 = 20;
/// Sizes beyond so many are rounded to the nearest of them.
const MOST_KINDS: usize = 12;

/// Reads a mapping: its own lines, and a day's lines that stand beside them.
///
/// # Errors
/// All faults, rendered.
pub fn read_map(directives: &[Directive], mut faults: Diagnostics) -> Result<(Mapping, Day), String> {
    let (mapping, mut others) = read_mapping(directives, &mut faults);
    // What the trace tells stands in for these.
    let text = "length 1h\nkind trace {\n    cores 1\n    memory 1GiB\n}\n";
    others.extend(parse_text("trace", text, &mut faults));
    let day = parse_day(&others, &mut faults);
    let is = |directive: &Directive, name: &str| {
        directive.name.text == "use-case" && directive.args.first().is_some_and(|word| word.text == name)
    };
    let nowhere = SourceSpan { file: 0, bytes: 0..0 };
    for rule in &mapping.rules {
        if !others.iter().any(|directive| is(directive, &rule.use_case)) {
            faults.add(&nowhere, format!("class: there is no use case {}", rule.use_case));
        }
    }
    if mapping.rules.is_empty() {
        faults.add(&nowhere, "class RANGE use-case NAME is missing: no task would be replayed");
    }
    match day {
        Some(day) if faults.is_empty() => Ok((mapping, day)),
        _ => Err(faults.render()),
    }
}

/// Makes a day of a sample.
///
/// # Errors
/// Where nothing is left to replay, or the sample is longer than a day may be.
pub fn build(work: &Work, mapping: &Mapping, base: &Day, name: &str) -> Result<Replay, String> {
    if work.machines.is_empty() {
        return Err("the trace declares no machine (is the machines' table among the files?)".to_owned());
    }
    if work.length < Duration::from_secs(1) || work.length > Duration::from_secs(24 * 3600) {
        return Err(format!(
            "the slice is {:.1} s long after compression; a day of 1 s to 24 h is wanted \
             (--from, --to, --compress)",
            work.length.nanos() as f64 / 1e9
        ));
    }
    let mut left_out = LeftOut { too_many: work.too_many, ..LeftOut::default() };
    left_out.machines = work.machines.len().saturating_sub(MOST_MACHINES) as u64;
    let machines = &work.machines[..work.machines.len().min(MOST_MACHINES)];
    let (kinds, kind_of) = kinds(machines.iter().map(|m| (m.cores, m.memory)));
    let mut day = base.clone();
    day.name = name.to_owned();
    day.length = work.length;
    (day.machines, day.spare_machines, day.rate) = (machines.len(), 0, 0.0);
    day.kinds = kinds;
    // Domains in the order of their numbers, dealt out to racks.
    let mut domains: Vec<u64> = machines.iter().map(|m| m.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    day.racks = (domains.len() as u32).clamp(1, MOST_RACKS.min(machines.len() as u32));
    day.halls = day.halls.min(day.racks);
    let spots = machines
        .iter()
        .zip(&kind_of)
        .map(|(machine, kind)| Spot {
            kind: *kind,
            rack: domains.binary_search(&machine.domain).unwrap_or(0) as u32 % day.racks,
            changes: machine.changes.iter().map(|change| (change.at, change.up)).collect(),
        })
        .collect();
    let greatest = day.kinds.iter().fold(Resources::ZERO, |a, kind| {
        Resources::new(a.cores.max(kind.size.cores), a.memory.max(kind.size.memory))
    });
    let mut wanted: Vec<Vec<Planned>> = vec![Vec::new(); day.owners];
    let mut uses = UseBook::default();
    let mut sums: BTreeMap<usize, (f64, f64, u64)> = BTreeMap::new();
    let mut tasks = 0;
    for task in &work.tasks {
        let case = mapping
            .use_case(task.class, task.priority)
            .and_then(|name| day.cases.iter().position(|case| case.case.name == name));
        let Some(case) = case else {
            left_out.unmapped += 1;
            continue;
        };
        if task.cores > greatest.cores || task.memory > greatest.memory {
            left_out.too_big += 1;
            continue;
        }
        let owner = (task.service % day.owners as u64) as usize;
        let key = planned_key(owner as u32 + 1, wanted[owner].len());
        let parts: Vec<UsePart> = task
            .uses
            .iter()
            .map(|used| UsePart { after: used.after, cores: used.cores, memory: used.memory })
            .collect();
        if !parts.is_empty() {
            uses.0.insert(key, parts);
        }
        let sum = sums.entry(case).or_default();
        *sum = (sum.0 + task.cores, sum.1 + task.memory, sum.2 + 1);
        wanted[owner].push(Planned {
            at: task.at,
            until: task.until,
            use_case: case as u32,
            service: task.service,
            cores: task.cores,
            memory: task.memory,
        });
        tasks += 1;
    }
    if tasks == 0 {
        return Err(
            "no task of the sample is left to replay (slice, share and class lines decide)".to_owned()
        );
    }
    // What a second of service is worth goes by the mean ask, as on any day.
    for (n, case) in day.cases.iter_mut().enumerate() {
        let (cores, memory, count) = sums.get(&n).copied().unwrap_or((1.0, 1.0, 0));
        case.share = count as f64 / tasks as f64;
        if count > 0 {
            case.asks = vec![(cores / count as f64, memory / count as f64)];
        }
    }
    day.fleet = Some(Arc::new(Fleet {
        spots,
        wanted: wanted.into_iter().map(Arc::new).collect(),
        uses: Arc::new(uses),
    }));
    Ok(Replay { day, left_out, tasks })
}

/// The kinds that these sizes make, and each size's.
fn kinds(sizes: impl Iterator<Item = (f64, f64)> + Clone) -> (Vec<MachineKind>, Vec<usize>) {
    let round = |(cores, memory): (f64, f64)| {
        ((cores * 100.0).round().max(1.0) as u64, (memory * 100.0).round().max(1.0) as u64)
    };
    let mut counts: BTreeMap<(u64, u64), u64> = BTreeMap::new();
    sizes.clone().for_each(|size| *counts.entry(round(size)).or_default() += 1);
    let mut common: Vec<((u64, u64), u64)> = counts.into_iter().collect();
    // The commonest first; of as common ones the smaller.
    common.sort_by_key(|(size, count)| (std::cmp::Reverse(*count), *size));
    common.truncate(MOST_KINDS);
    let far = |a: (u64, u64), b: (u64, u64)| {
        let part = |a: u64, b: u64| (a as f64 / b as f64).ln().abs();
        part(a.0, b.0) + part(a.1, b.1)
    };
    let nearest = |size: (u64, u64)| {
        let all = common.iter().enumerate();
        all.min_by(|(_, a), (_, b)| far(a.0, size).total_cmp(&far(b.0, size))).map_or(0, |(n, _)| n)
    };
    let kind_of = sizes.map(|size| nearest(round(size))).collect();
    let kinds = common
        .iter()
        .enumerate()
        .map(|(n, ((cores, memory), _))| MachineKind {
            name: format!("size-{}", n + 1),
            size: Resources::new(*cores as f64 / 100.0, *memory as f64 / 100.0),
        })
        .collect();
    (kinds, kind_of)
}
