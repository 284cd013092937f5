//! Whole replays of made traces, in virtual time.

use mulleinhub_replay::*;
use mulleinhub_settings::{Diagnostics, parse_text};
use mulleinhub_simulation::Ranking;
use mulleinhub_trace::*;
use std::path::Path;

fn read(folder: &Path, sample: &Sample) -> (Work, Replay) {
    let mut faults = Diagnostics::default();
    let directives = parse_text("traces.map", DEFAULT_MAP, &mut faults);
    let (mapping, base) = read_map(&directives, faults).expect("is in the repository");
    let (layout, sources) = find_sources(&[folder.to_owned()], None, None).expect("tables are there");
    let window = mapping.window.nanos() / 1_000;
    let policies = mapping.policies.clone();
    let reader = Reader { layout, sources, policies, window, without: Vec::new(), threads: 4 };
    let work = collect(&reader, &mapping, sample, &Progress::default()).expect("is read");
    let mut replay = build(&work, &mapping, &base, "a trace").expect("something is left");
    replay.day.seed = sample.seed;
    (work, replay)
}

fn made(layout: &str, change: impl FnOnce(&mut Model)) -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    let mut model = Model {
        layout: layout.to_owned(),
        machines: 60,
        jobs: 200,
        length: 60,
        faults: 3,
        ..Model::default()
    };
    change(&mut model);
    make(&model, folder.path()).expect("is made");
    folder
}

fn report(folder: &Path, sample: &Sample, rule: Option<Ranking>) -> (String, Outcome) {
    let (work, replay) = read(folder, sample);
    let bound = bound(&replay.day, &replay.day.worth());
    let mut report = Report::new("made", sample.seed, &work, &replay, &bound);
    let outcome = play(&replay.day, rule, |_| ()).expect("is played");
    report.add("one", &outcome);
    (report.json(), outcome)
}

#[test]
fn a_replay_keeps_all_rules_and_its_report_is_the_same_to_the_byte_for_one_seed_alone() {
    for layout in ["google-2011", "alibaba-2018"] {
        let folder = made(layout, |_| ());
        let sample = Sample { machines: Some(30), share: Share::ByMachines(1.0), ..Sample::default() };
        let (one, outcome) = report(folder.path(), &sample, None);
        assert!(outcome.verdict.holds(), "{layout}");
        assert!(outcome.score.owners.placed > 100, "{layout}: {} placed", outcome.score.owners.placed);
        let (two, _) = report(folder.path(), &sample, None);
        assert_eq!(xxhash_rust::xxh3::xxh3_64(one.as_bytes()), xxhash_rust::xxh3::xxh3_64(two.as_bytes()));
        let (other, _) = report(folder.path(), &Sample { seed: 2, ..sample }, None);
        assert_ne!(one, other, "another seed is another sample");
    }
}

#[test]
fn every_task_of_the_trace_is_asked_for_once_and_ends_at_its_instant_or_never() {
    let folder = made("google-2011", |model| model.faults = 0);
    let (work, replay) = read(folder.path(), &Sample::default());
    assert_eq!(replay.tasks as usize, work.tasks.len());
    assert_eq!(replay.left_out, LeftOut::default());
    let outcome = play(&replay.day, None, |_| ()).expect("is played");
    assert!(outcome.verdict.holds());
    let starts: u64 = outcome.score.owners.first_starts.iter().sum();
    assert!(starts <= replay.tasks && starts * 10 >= replay.tasks * 9, "{starts} of {}", replay.tasks);
    // Some machines vanish in the trace, with tasks on them: each is told to be lost once, and comes again.
    assert!(outcome.score.machines_lost > 0);
}

#[test]
fn two_thousand_tasks_at_one_instant_are_drained_and_small_services_do_not_starve() {
    let folder = made("google-2011", |model| (model.burst, model.jobs) = (2_000, 100));
    let (_, mut replay) = read(folder.path(), &Sample::default());
    replay.day.most_in_hand = Some(100);
    let outcome = play(&replay.day, None, |_| ()).expect("is played");
    assert!(outcome.verdict.holds() && outcome.score.owners.nacked > 0, "the bound was met");
    let service = &outcome.score;
    let (first, in_time) = (service.owners.first_starts[0], service.owners.starts_in_time[0]);
    assert!(in_time * 10 >= first * 8, "{in_time} of {first} starts of services in time");
}

#[test]
fn the_bound_is_over_what_any_policy_earns_by_service_alone() {
    let folder = made("alibaba-2018", |model| model.machines = 8);
    let (_, replay) = read(folder.path(), &Sample::default());
    let worth = replay.day.worth();
    let bound = bound(&replay.day, &worth);
    assert!(bound.part() < 1.0, "eight machines have no room for all of it");
    for rule in [None, Some(Ranking::Random), Some(Ranking::MostRequested)] {
        let outcome = play(&replay.day, rule, |_| ()).expect("is played");
        let service = outcome.points.last().expect("was looked at").look.earned;
        assert!(service <= bound.most * 1.02, "{service} over {}", bound.most);
    }
}

#[test]
fn what_no_rule_maps_or_no_machine_holds_is_counted_and_a_faulty_map_is_told() {
    let folder = made("google-2011", |_| ());
    let mut faults = Diagnostics::default();
    let text = DEFAULT_MAP.replace("class 2..3                   use-case service", "");
    let (mapping, base) = read_map(&parse_text("m", &text, &mut faults), faults).expect("is fine");
    let (layout, sources) = find_sources(&[folder.path().to_owned()], None, None).expect("tables");
    let policies = Policies::default();
    let reader = Reader { layout, sources, policies, window: 300_000_000, without: Vec::new(), threads: 4 };
    let work = collect(&reader, &mapping, &Sample::default(), &Progress::default()).expect("is read");
    let replay = build(&work, &mapping, &base, "a trace").expect("something is left");
    assert!(replay.left_out.unmapped > 0);
    assert_eq!(replay.tasks + replay.left_out.unmapped, work.tasks.len() as u64);
    let mut faults = Diagnostics::default();
    let text = DEFAULT_MAP.replace("use-case batch\n", "use-case bach\n") + "fault negativ skip\n";
    let words = read_map(&parse_text("m", &text, &mut faults), faults).expect_err("is faulty");
    assert!(words.contains("no use case bach") && words.contains("did you mean negative?"), "{words}");
}
