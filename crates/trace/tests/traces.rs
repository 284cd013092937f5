//! Made traces read back: faults counted as they were put in, order, ends, samples.

use mulleinhub_interface::Timestamp;
use mulleinhub_trace::*;
use std::path::Path;

fn model(layout: &str) -> Model {
    Model { layout: layout.to_owned(), machines: 40, jobs: 120, ..Model::default() }
}

fn reader(folder: &Path) -> Reader {
    let (layout, sources) = find_sources(&[folder.to_owned()], None, None).expect("tables are there");
    let window = 300_000_000;
    Reader { layout, sources, policies: Policies::default(), window, without: Vec::new(), threads: 4 }
}

fn whole(folder: &Path) -> Work {
    collect(&reader(folder), &Mapping::default(), &Sample::default(), &Progress::default()).expect("is read")
}

#[test]
fn faults_are_counted_exactly_as_they_were_made_in_both_layouts_plain_or_gzip_in_one_file_or_parts() {
    for layout in ["google-2011", "alibaba-2018"] {
        for (gzip, parts) in [(false, 1), (true, 3)] {
            let folder = tempfile::tempdir().expect("a folder");
            let model = Model { faults: 7, gzip, parts, ..model(layout) };
            let made = make(&model, folder.path()).expect("is made");
            let work = whole(folder.path());
            for fault in Fault::ALL {
                let put_in = made.faults.get(&fault).copied().unwrap_or(0);
                assert_eq!(work.summary.tally.of(fault), put_in, "{layout}, {}", fault.name());
            }
            assert!(made.faults.len() >= 10 && work.tasks.len() as u64 >= made.tasks);
        }
    }
}

#[test]
fn a_trace_without_faults_reads_without_any_and_each_task_once() {
    for layout in ["google-2011", "alibaba-2018"] {
        let folder = tempfile::tempdir().expect("a folder");
        let made = make(&model(layout), folder.path()).expect("is made");
        let work = whole(folder.path());
        assert_eq!(work.summary.tally.all(), 0, "{:?}", work.summary.tally);
        assert_eq!(work.tasks.len() as u64, made.tasks);
        assert!(work.tasks.is_sorted_by_key(|task| task.at));
        assert!(work.tasks.iter().all(|task| task.until > task.at && task.cores > 0.0));
        let used = work.tasks.iter().filter(|task| !task.uses.is_empty()).count();
        assert!(used * 2 > work.tasks.len(), "use is known of most");
        assert_eq!(work.machines.len(), 40);
    }
}

#[test]
fn a_machine_that_goes_and_comes_back_in_the_same_microsecond_is_up_and_its_order_is_kept() {
    let folder = tempfile::tempdir().expect("a folder");
    make(&model("google-2011"), folder.path()).expect("is made");
    let work = whole(folder.path());
    let machine = work.machines.iter().find(|m| m.machine == 2).expect("is declared");
    let ups: Vec<bool> = machine.changes.iter().map(|change| change.up).collect();
    assert_eq!(ups, [true, false, true]);
    assert_eq!(machine.changes[1].at, machine.changes[2].at);
    let vanished = work.machines.iter().find(|m| m.machine == 13).expect("is declared");
    assert!(vanished.changes.last().is_some_and(|last| !last.up));
}

#[test]
fn the_clock_of_zero_and_the_sentinel_of_the_end_are_no_instants_of_the_trace() {
    let folder = tempfile::tempdir().expect("a folder");
    let model = model("google-2011");
    make(&model, folder.path()).expect("is made");
    let work = whole(folder.path());
    assert_eq!(work.summary.after, 1);
    assert!(work.length.nanos() <= model.length * 2 * 1_000_000_000, "{:?}", work.length);
    assert!(work.machines.iter().all(|m| m.changes[0].at >= Timestamp::default()));
}

#[test]
fn a_gzip_that_is_cut_short_gives_what_was_whole_and_says_where() {
    let folder = tempfile::tempdir().expect("a folder");
    make(&Model { gzip: true, ..model("google-2011") }, folder.path()).expect("is made");
    let path = folder.path().join("task_events.csv.gz");
    let bytes = std::fs::read(&path).expect("is there");
    std::fs::write(&path, &bytes[..bytes.len() / 2]).expect("is written");
    let work = whole(folder.path());
    assert_eq!(work.summary.tally.of(Fault::CutShort), 1);
    assert!(work.summary.tally.first[&Fault::CutShort].contains("task_events.csv.gz:"));
    assert!(!work.tasks.is_empty());
    let mut strict = reader(folder.path());
    strict.policies.set(Fault::CutShort, Policy::Stop).expect("can stop");
    let stopped = inspect(&strict, &Progress::default()).expect_err("stops");
    assert!(stopped.contains("task_events.csv.gz:") && stopped.contains("cut-short"), "{stopped}");
}

#[test]
fn rows_at_the_windows_edge_are_put_right_and_those_beyond_are_kept_out() {
    let folder = tempfile::tempdir().expect("a folder");
    let row = |at: u64, job: u64| format!("{at},,{job},0,,0,u,0,0,0.1,0.1,0.001,0\n");
    let text = row(1_000_000, 1) + &row(2_000_000, 2) + &row(1_000_000, 3) + &row(999_999, 4);
    std::fs::write(folder.path().join("task_events.csv"), text).expect("is written");
    let reader = Reader { window: 1_000_000, ..reader(folder.path()) };
    let work =
        collect(&reader, &Mapping::default(), &Sample::default(), &Progress::default()).expect("is read");
    let tally = &work.summary.tally;
    assert_eq!((tally.of(Fault::OutOfOrder), tally.of(Fault::TooLate)), (1, 1));
    let jobs: Vec<u64> = work.tasks.iter().map(|task| task.key.job.0).collect();
    assert_eq!(jobs, [1, 3, 2]);
}

#[test]
fn an_eviction_after_which_a_task_comes_again_is_no_end_and_one_before_its_placement_is() {
    let folder = tempfile::tempdir().expect("a folder");
    let row = |at: u64, job: u64, kind: u32| format!("{at},,{job},0,,{kind},u,0,0,0.1,0.1,0.001,0\n");
    let text = row(1_000, 1, 0)
        + &row(1_500, 2, 0)
        + &row(2_000, 1, 2)
        + &row(2_500, 2, 5)
        + &row(2_600, 1, 0)
        + &row(9_000, 1, 4);
    std::fs::write(folder.path().join("task_events.csv"), text).expect("is written");
    let work = whole(folder.path());
    let ends: Vec<u64> = work.tasks.iter().map(|task| task.until.nanos() / 1_000).collect();
    assert_eq!(ends, [8_000, 1_500], "microseconds after the first row");
}

#[test]
fn a_sample_keeps_jobs_whole_and_its_mix_is_near_the_whole() {
    let folder = tempfile::tempdir().expect("a folder");
    make(&Model { jobs: 4_000, ..model("google-2011") }, folder.path()).expect("is made");
    let all = whole(folder.path());
    let sample = Sample { share: Share::Part(0.25), ..Sample::default() };
    let part =
        collect(&reader(folder.path()), &Mapping::default(), &sample, &Progress::default()).expect("is read");
    let size = |work: &Work, job: JobId| work.tasks.iter().filter(|task| task.key.job == job).count();
    for task in part.tasks.iter().step_by(97) {
        assert_eq!(size(&part, task.key.job), size(&all, task.key.job));
    }
    let share = part.tasks.len() as f64 / all.tasks.len() as f64;
    assert!((0.2..0.3).contains(&share), "{share}");
    for (what, distance) in part.source.distances(&part.sampled) {
        assert!(distance < if what == "tasks a minute" { 0.7 } else { 0.1 }, "{what}: {distance}");
    }
    assert_eq!(all.source.distances(&all.sampled).iter().map(|(_, d)| *d).sum::<f64>(), 0.0);
}

#[test]
fn the_same_seed_makes_and_reads_the_same_and_another_seed_does_not() {
    let folders: Vec<_> = (0..3).map(|_| tempfile::tempdir().expect("a folder")).collect();
    for (folder, seed) in folders.iter().zip([5, 5, 6]) {
        make(&Model { seed, faults: 2, ..model("alibaba-2018") }, folder.path()).expect("is made");
    }
    let works: Vec<Work> = folders.iter().map(|folder| whole(folder.path())).collect();
    assert_eq!(works[0].tasks, works[1].tasks);
    assert_eq!(works[0].machines, works[1].machines);
    assert_ne!(works[0].tasks, works[2].tasks);
}

#[test]
fn what_is_read_does_not_hang_on_the_number_of_threads() {
    for layout in ["google-2011", "alibaba-2018"] {
        let folder = tempfile::tempdir().expect("a folder");
        make(&Model { faults: 4, jobs: 1_500, parts: 2, ..model(layout) }, folder.path()).expect("is made");
        let with = |threads: usize| {
            let reader = Reader { threads, ..reader(folder.path()) };
            let sample = Sample { share: Share::Part(0.5), ..Sample::default() };
            collect(&reader, &Mapping::default(), &sample, &Progress::default()).expect("is read")
        };
        let one = with(1);
        for threads in [2, 3, 16] {
            let other = with(threads);
            assert_eq!((&one.tasks, &one.machines), (&other.tasks, &other.machines));
            assert_eq!(one.summary.tally, other.summary.tally);
        }
    }
}

#[test]
fn reading_that_is_ended_early_says_that_it_is_of_a_part() {
    let folder = tempfile::tempdir().expect("a folder");
    make(&Model { jobs: 5_000, ..model("google-2011") }, folder.path()).expect("is made");
    let progress = Progress::default();
    progress.stop.store(true, std::sync::atomic::Ordering::Relaxed);
    let found = inspect(&reader(folder.path()), &progress).expect("is read");
    assert!(found.partial && found.wanted < 5_000 * 3, "{}", found.wanted);
}

#[test]
fn policies_stop_or_skip_as_they_are_set_and_name_the_place() {
    let folder = tempfile::tempdir().expect("a folder");
    make(&Model { faults: 3, ..model("google-2011") }, folder.path()).expect("is made");
    let mut strict = reader(folder.path());
    strict.policies.set(Fault::Negative, Policy::Stop).expect("can stop");
    let words = inspect(&strict, &Progress::default()).expect_err("stops");
    assert!(words.contains("task_events.csv:") && words.contains("CPU request: negative"), "{words}");
    let mut skips = reader(folder.path());
    skips.policies.set(Fault::Negative, Policy::Skip).expect("can be skipped");
    let found = inspect(&skips, &Progress::default()).expect("is read");
    assert_eq!(found.faults.skipped.get(&Fault::Negative), Some(&3));
    assert!(skips.policies.set(Fault::TooLate, Policy::Repair).is_err(), "there is nothing to repair");
}

proptest::proptest! {
    #[test]
    fn no_bytes_make_a_reader_panic(bytes in proptest::collection::vec(0u8.., 0..600), table in 0usize..11) {
        let folder = tempfile::tempdir().expect("a folder");
        let names: Vec<&str> = LAYOUTS.iter().flat_map(|l| l.tables()).map(|table| table.name).collect();
        std::fs::write(folder.path().join(format!("{}.csv", names[table])), bytes).expect("is written");
        let reader = reader(folder.path());
        let _ = collect(&reader, &Mapping::default(), &Sample::default(), &Progress::default());
    }
}
