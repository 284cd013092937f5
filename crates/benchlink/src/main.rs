//! Speaks the simulator's wire on standard input and output and hosts one brain for each scheduler.

mod batch;
mod reporting;
mod values;
mod writer;

use batch::{Batch, Line, Rosters};
use mulleinhub::interface::PolicyEvents;
use mulleinhub::{PlacementPolicy, Timestamp};
use mulleinhub_platform_settings::PlatformSettings;
use reporting::Reporting;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use values::Bad;

fn main() -> std::process::ExitCode {
    match serve(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(bad) => {
            eprintln!("mulleinhub-benchlink: {bad}");
            std::process::ExitCode::FAILURE
        }
    }
}

fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), Bad> {
    let mut brains: BTreeMap<u64, (PlacementPolicy, Reporting)> = BTreeMap::new();
    let mut rosters = Rosters::default();
    let mut batch = Batch::default();
    let mut reply = String::new();
    while batch.read(&mut input, &mut rosters)? {
        reply.clear();
        for (instance, lines) in batch.schedulers() {
            host(&batch, instance, lines, &mut brains, &mut reply)
                .map_err(|bad| format!("scheduler {instance}: {bad}"))?;
        }
        reply.push_str("DONE\n");
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|e| format!("cannot write the reply: {e}"))?;
    }
    Ok(())
}

/// A scheduler as its first message sets it up.
fn hello(values: &mut values::Values<'_>) -> Result<(PlacementPolicy, Reporting), Bad> {
    let seed = values.whole("salt")?;
    let config =
        serde_json::from_str(values.rest("config")?).map_err(|e| format!("HELLO: config is no JSON: {e}"))?;
    let site = PlatformSettings::from_json(&config).map_err(|bad| format!("HELLO: {bad}"))?;
    let brain = site.placement_policy(seed);
    let use_cases = site.use_cases.len();
    Ok((brain, Reporting { names: site.report_fields, of_use: site.report_measures_usage, use_cases }))
}

/// One scheduler's part of a batch. What came before its last end is nobody's business any more.
fn host(
    batch: &Batch,
    instance: u64,
    mut lines: &[Line],
    brains: &mut BTreeMap<u64, (PlacementPolicy, Reporting)>,
    reply: &mut String,
) -> Result<(), Bad> {
    if let Some(end) = lines.iter().rposition(|line| batch.name(line) == "EXIT") {
        brains.remove(&instance);
        lines = &lines[end + 1..];
    }
    let Some(first) = lines.first() else { return Ok(()) };
    let fresh = batch.name(first) == "HELLO";
    if fresh {
        let up = hello(&mut batch.values(first))?;
        if brains.insert(instance, up).is_some() {
            return Err("HELLO for a scheduler that is up".into());
        }
        lines = &lines[1..];
    }
    let (brain, reporting) = brains.get_mut(&instance).ok_or("an event before HELLO")?;
    let mut writer = writer::WireWriter { instance, reply };
    brain.round(Timestamp::from_nanos(batch.clock), &mut writer, |round| {
        if fresh {
            round.on_start();
        }
        lines.iter().try_for_each(|line| batch.tell(line, round, reporting))
    })
}
