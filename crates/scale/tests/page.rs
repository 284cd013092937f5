//! The capacity page: blocks and figures are written from results, and a page that disagrees is named.

mod common;

use common::{TARGET, over_schedulers, over_starts, results, run, sample, small_size, target};
use mulleinhub_scale::page::{check, read_results, write};
use mulleinhub_scale::reckon::{Form, Quantity, Reckoned, Spender, reckon};
use mulleinhub_scale::results::{Host, Metric, Results, Role, Size};
use mulleinhub_scale::tables::{BLOCKS, Evidence};
use std::path::Path;

fn page_of_all_blocks() -> String {
    let mut page = "# Capacity\n\nWords before.\n".to_owned();
    for (name, _) in BLOCKS {
        page.push_str(&format!("\n## {name}\n\n<!-- scale:begin {name} -->\n<!-- scale:end {name} -->\n"));
    }
    page + "\nIdle it needs <!-- scale:value ledger-member bytes-in ledgers 100 -->?<!-- scale:end --> at 100.\n"
}

fn evidence() -> Evidence {
    let ledgers = over_schedulers("ledgers", |n| 200.0 + 10.0 * n + n * n);
    let starts = over_starts("ledgers-starts", |starts| 500.0 + 180.0 * starts);
    let replicas = over_schedulers("ledgers-replicas", |n| 200.0 + 10.0 * n);
    Evidence { target: target(), results: vec![ledgers, replicas, starts] }
}

fn of(all: &[Reckoned], form: Form, metric: Metric) -> &Reckoned {
    let is = |one: &&Reckoned| one.form == form && one.quantity == Quantity::Metric(metric);
    all.iter().find(is).expect("is reckoned")
}

fn block(page: &str, name: &str) -> String {
    let (_, rest) = page.split_once(&format!("scale:begin {name} -->\n")).expect("has the block");
    rest.split_once(&format!("<!-- scale:end {name}")).expect("ends it").0.to_owned()
}

#[test]
fn a_written_page_agrees_with_its_results_and_is_written_once() {
    let page = write(&page_of_all_blocks(), &evidence()).expect("is written");
    assert_eq!(check(&page, &evidence()).expect("is checked"), Vec::new());
    assert_eq!(write(&page, &evidence()).expect("is written"), page);
    assert!(page.starts_with("# Capacity\n\nWords before.\n"), "{page}");
    // 200 + 10 * 100 + 100 * 100
    assert!(page.contains("-->11.2 KB/s<!-- scale:end --> at 100."), "{page}");
}

#[test]
fn a_page_without_results_says_so_in_each_block() {
    let evidence = Evidence { target: target(), results: Vec::new() };
    let blocks =
        page_of_all_blocks().lines().filter(|line| !line.contains("value")).collect::<Vec<_>>().join("\n");
    let page = write(&(blocks + "\n"), &evidence).expect("is written");
    for (name, _) in BLOCKS {
        let body = block(&page, name);
        assert!(body.contains(" yet"), "{name}: {body}");
    }
}

#[test]
fn a_changed_figure_is_noticed_in_every_block_and_in_prose() {
    let page = write(&page_of_all_blocks(), &evidence()).expect("is written");
    for (name, _) in BLOCKS.into_iter().filter(|(name, _)| *name != "times") {
        let body = block(&page, name);
        let digit = body.rfind(|c: char| c.is_ascii_digit()).expect("has a figure");
        let mut changed = body.clone();
        let other = if &body[digit..=digit] == "9" { "8" } else { "9" };
        changed.replace_range(digit..=digit, other);
        let differences = check(&page.replacen(&body, &changed, 1), &evidence()).expect("is checked");
        assert_eq!(differences.len(), 1, "{name}: {differences:?}");
        assert_eq!(differences[0].name, format!("block {name}"));
        assert_ne!(differences[0].stands, differences[0].wanted);
    }
    let changed = page.replace("-->11.2 KB/s<!--", "-->11.3 KB/s<!--");
    let differences = check(&changed, &evidence()).expect("is checked");
    assert_eq!(differences[0].name, "value ledger-member bytes-in ledgers 100");
    assert_eq!(differences[0].line, page.lines().count());
}

#[test]
fn a_changed_result_is_noticed() {
    let page = write(&page_of_all_blocks(), &evidence()).expect("is written");
    let mut changed = evidence();
    changed.results[0].runs[3].samples[0].value *= 1.5;
    let names: Vec<String> =
        check(&page, &changed).expect("is checked").into_iter().map(|one| one.name).collect();
    for wanted in ["block slopes", "block held-out", "block target", "block ranking", "block before-after"] {
        assert!(names.iter().any(|name| name == wanted), "{wanted}: {names:?}");
    }
}

#[test]
fn a_line_that_was_added_to_a_block_or_taken_from_it_is_noticed() {
    let page = write(&page_of_all_blocks(), &evidence()).expect("is written");
    let added = page.replace("<!-- scale:end runs -->", "one more\n<!-- scale:end runs -->");
    let differences = check(&added, &evidence()).expect("is checked");
    assert_eq!(
        (differences[0].stands.as_str(), differences[0].wanted.as_str()),
        ("one more", "<!-- scale:end runs -->")
    );
    let rows = block(&page, "runs");
    let last = rows.lines().last().expect("has rows");
    assert_eq!(check(&page.replace(&format!("{last}\n"), ""), &evidence()).expect("is checked").len(), 1);
}

#[test]
fn what_is_reckoned_is_the_base_and_the_differences_of_other_slopes() {
    let reckoned = reckon(&target(), &evidence().results);
    let bytes = of(&reckoned, Form::CopiedToAll, Metric::BytesIn);
    // The base at 350, and 180 for each start beyond the base's ten.
    let wanted = |n: f64| 200.0 + 10.0 * n + n * n + 180.0 * (4_900.0 - 10.0);
    for need in &bytes.needs {
        let wanted = wanted(f64::from(need.schedulers));
        assert!((need.value - wanted).abs() < 1e-6 * wanted, "{need:?} {wanted}");
    }
    assert_eq!(bytes.profiles, ["ledgers", "ledgers-starts"]);
    assert_eq!(bytes.budget, Some(17_000.0));
    let ratio = bytes.ratios().expect("has a budget")[1];
    assert!((ratio - wanted(350.0) / 17_000.0).abs() < 1e-6, "{ratio}");
    let starts = bytes.beyond.iter().find(|beyond| beyond.variable.word() == "starts").expect("is beyond");
    assert_eq!((starts.largest, starts.target), (1_000.0, 4_900.0));
    let workers = bytes.unvaried.iter().find(|one| one.variable.word() == "workers").expect("is kept");
    assert_eq!((workers.fixed, workers.target), (Some(100.0), 10_000.0));
    assert!(!bytes.unvaried.iter().any(|one| one.variable.word() == "teams"), "450 is the target's own");
    let split = of(&reckoned, Form::ReplicaSets, Metric::BytesIn);
    let at_350 = split.at(350).expect("is reckoned for");
    assert!((at_350 - 3_700.0).abs() < 1e-6, "another form's slopes are not mixed in: {at_350}");
}

#[test]
fn placing_and_replica_sets_pay_for_a_schedulers_part_of_the_starts() {
    // A start costs 180 bytes, shared among the 30 schedulers of the profile.
    let own_part = |starts: f64| 500.0 + 180.0 * starts / 30.0;
    let mut planners = over_starts("planners-starts", own_part);
    planners.host = Host::HollowPlanners;
    for run in &mut planners.runs {
        run.samples[0].role = Role::Scheduler;
    }
    let replicas = over_starts("ledgers-starts-replicas", own_part);
    let reckoned = reckon(&target(), &[planners, replicas]);
    for form in [Form::CopiedToAll, Form::ReplicaSets] {
        let bytes = of(&reckoned, form, Metric::BytesIn);
        for need in &bytes.needs {
            let wanted = 500.0 + 180.0 * 4_900.0 / f64::from(need.schedulers);
            assert!((need.value - wanted).abs() < 1e-6 * wanted, "{form:?} {need:?} {wanted}");
        }
        // At 100 schedulers a part is 49 starts, as of 1,470 in the profile's fleet of 30.
        let [beyond] = bytes.beyond[..] else { panic!("{:?}", bytes.beyond) };
        assert!((beyond.target - 1_470.0).abs() < 1e-6, "{beyond:?}");
    }
    // Were every start paid for by all, it would be the profile's slope at 4,900.
    for form in [Form::CopiedToAll, Form::ReplicaSets] {
        let at_most = of(&reckoned, form, Metric::BytesIn).at_most.clone().expect("may be more");
        assert!((at_most[1].value - own_part(4_900.0)).abs() < 1e-3, "{at_most:?}");
    }
    let to_all = reckon(&target(), &[over_starts("ledgers-starts", own_part)]);
    assert_eq!(of(&to_all, Form::CopiedToAll, Metric::BytesIn).at_most, None, "all pay for all already");
}

#[test]
fn placing_follows_its_part_of_the_work_and_not_a_slope_over_schedulers() {
    let as_planners = |mut results: Results| {
        results.host = Host::HollowPlanners;
        for run in &mut results.runs {
            run.samples[0].role = Role::Scheduler;
        }
        results
    };
    // The same work for any number of schedulers: what one has falls as their number grows.
    let schedulers = as_planners(over_schedulers("planners-schedulers", |n| 3_000.0 / n));
    let starts = as_planners(over_starts("planners-starts", |starts| 10.0 * starts));
    let reckoned = reckon(&target(), &[schedulers, starts]);
    let bytes = of(&reckoned, Form::CopiedToAll, Metric::BytesIn);
    assert_eq!(bytes.profiles, ["planners-starts"]);
    assert!(!bytes.unvaried.iter().any(|one| one.variable.word() == "schedulers"), "{:?}", bytes.unvaried);
    let at_350 = bytes.at(350).expect("is reckoned for");
    assert!((at_350 - 10.0 * 30.0 * 4_900.0 / 350.0).abs() < 1e-6, "{at_350}");
}

#[test]
fn a_curve_that_bends_down_costs_no_less_beyond_the_runs_and_the_page_says_so() {
    let starts = over_starts("ledgers-starts", |starts| 65_000.0 + 140.0 * starts - 0.05 * starts * starts);
    let results = vec![starts];
    let reckoned = reckon(&target(), &results);
    let bytes = of(&reckoned, Form::CopiedToAll, Metric::BytesIn);
    let at_350 = bytes.at(350).expect("is reckoned for");
    assert!(at_350 > 65_000.0 + 140.0 * 1_000.0 - 0.05 * 1e6, "{at_350}");
    assert_eq!(bytes.straightened.iter().map(|one| one.word()).collect::<Vec<_>>(), ["starts"]);
    let page = "<!-- scale:begin target -->\n<!-- scale:end target -->\n";
    let page = write(page, &Evidence { target: target(), results }).expect("is written");
    assert!(page.contains("starts bends down: along a line"), "{page}");
}

#[test]
fn of_several_profiles_of_a_variable_the_one_nearest_to_the_target_counts() {
    let base_of = |all: &[Results]| {
        let reckoned = reckon(&target(), all);
        of(&reckoned, Form::CopiedToAll, Metric::BytesIn).profiles.clone()
    };
    // At the target a scheduler has 14 starts a second; 420 among 30 are as many, 1,000 and 4,900 are more.
    let moved = |profile: &str, factor: f64| {
        let mut results = over_starts(profile, |starts| 50.0 * starts);
        for run in &mut results.runs {
            run.varied *= factor;
            run.size.starts *= factor;
        }
        results
    };
    let (near, middle, far) = (moved("c-near", 0.42), moved("b-middle", 1.0), moved("a-far", 4.9));
    assert_eq!(base_of(&[far.clone(), middle.clone(), near]), ["c-near"]);
    assert_eq!(base_of(&[far, middle.clone()]), ["b-middle"]);
    assert_eq!(base_of(&[moved("d-twin", 1.0), middle]), ["b-middle"], "the first of equals");
}

#[test]
fn a_schedulers_traffic_is_that_with_the_list_for_all_starts_and_the_rest_for_its_own() {
    let roles = [(Role::Discovery, 30.0), (Role::Worker, 180.0 / 30.0), (Role::Client, 60.0 / 30.0)];
    let sum: f64 = roles.iter().map(|(_, a_start)| a_start).sum();
    let mut planners = over_starts("planners-starts", |_| 0.0);
    planners.host = Host::HollowPlanners;
    for run in &mut planners.runs {
        let varied = run.varied;
        run.samples = vec![sample(Role::Scheduler, Metric::BytesIn, sum * varied)];
        run.samples.extend(roles.map(|(role, a_start)| sample(role, Metric::BytesIn, a_start * varied)));
    }
    let reckoned = reckon(&target(), &[planners]);
    let is = |one: &&Reckoned| one.spender == Spender::Role(Role::Scheduler);
    let scheduler = reckoned.iter().find(is).expect("is reckoned");
    for need in &scheduler.needs {
        let wanted = 30.0 * 4_900.0 + 240.0 * 4_900.0 / f64::from(need.schedulers);
        assert!((need.value - wanted).abs() < 1e-6 * wanted, "{need:?} {wanted}");
    }
    assert_eq!(scheduler.budget, Some(17_000.0));
}

#[test]
fn figures_are_shown_in_three_digits() {
    use mulleinhub_scale::units::number;
    for (value, shown) in [
        (0.0, "0"),
        (0.099_999_6, "0.100"),
        (9.999, "10.0"),
        (999.6, "1,000"),
        (1_234_567.0, "1,234,567"),
        (0.5, "0.500"),
        (-17.25, "-17.2"),
        (0.000_123, "1.23e-4"),
    ] {
        assert_eq!(number(value), shown, "{value}");
    }
}

#[test]
fn control_with_placing_is_the_sum_and_both_ways_counts_in_and_out() {
    let mut ledgers = over_schedulers("ledgers", |n| 10.0 * n);
    // A start costs 3 bytes, shared among the 30 schedulers of the profile: 147 for 49 starts.
    let mut planners = over_starts("planners", |starts| 3.0 * starts / 30.0);
    planners.host = Host::HollowPlanners;
    for run in &mut planners.runs {
        run.samples[0].role = Role::Scheduler;
    }
    for run in &mut ledgers.runs {
        run.samples.push(sample(Role::LedgerMember, Metric::BytesOut, 5.0 * run.varied));
    }
    let reckoned = reckon(&target(), &[ledgers, planners]);
    let at = |spender: Spender, quantity: Quantity| {
        let is = |one: &&Reckoned| one.spender == spender && one.quantity == quantity;
        reckoned.iter().find(is).and_then(|one| one.at(100)).expect("is reckoned")
    };
    let bytes_in = Quantity::Metric(Metric::BytesIn);
    assert!((at(Spender::ControlWithPlacing, bytes_in) - 1_147.0).abs() < 1e-6);
    let member = Spender::Role(Role::LedgerMember);
    assert!((at(member, Quantity::BytesBothWays) - 1_500.0).abs() < 1e-6);
}

#[test]
fn the_ranking_begins_with_the_largest_need_over_budget() {
    let page = write(&page_of_all_blocks(), &evidence()).expect("is written");
    let ranking = block(&page, "ranking");
    let rows: Vec<&str> =
        ranking.lines().filter(|line| line.starts_with("| 1 ") || line.starts_with("| 2 ")).collect();
    assert!(rows[0].contains("copied to all") && rows[0].contains("starts, linear"), "{ranking}");
    assert!(rows[1].contains("replica sets"), "{ranking}");
}

#[test]
fn a_run_that_is_held_out_and_a_third_off_is_flagged_on_the_page() {
    let mut evidence = evidence();
    let page = write(&page_of_all_blocks(), &evidence).expect("is written");
    assert!(!block(&page, "held-out").contains("20% apart"));
    evidence.results[0].runs.last_mut().expect("has runs").samples[0].value *= 1.3;
    let page = write(&page_of_all_blocks(), &evidence).expect("is written");
    assert_eq!(block(&page, "held-out").matches("**more than 20% apart**").count(), 1);
}

#[test]
fn times_are_shown_where_a_run_has_them() {
    let mut times = over_schedulers("times", |_| 1.0);
    for run in &mut times.runs {
        run.samples = vec![
            sample(Role::LedgerMember, Metric::ChangeP99, 0.03),
            sample(Role::LedgerMember, Metric::CatchUpBytes, 2e6),
        ];
    }
    let page = write(
        &page_of_all_blocks().replace("ledgers 100", "ledgers 3"),
        &Evidence { target: target(), results: vec![over_schedulers("ledgers", |n| n), times] },
    );
    let times = block(&page.expect("is written"), "times");
    assert_eq!(times.matches("30.0 ms").count(), 6, "{times}");
    assert_eq!(times.matches("2.00 MB").count(), 6, "{times}");
}

#[test]
fn reckoned_figures_stand_in_prose_too() {
    let page =
        "It needs <!-- scale:value ledger-member bytes-in reckoned-replicas 350 --><!-- scale:end -->.\n";
    let page = write(page, &evidence()).expect("is written");
    assert!(page.contains("-->3.70 KB/s<!--"), "{page}");
}

#[test]
fn several_figures_may_stand_on_a_line() {
    let marker =
        |at: u32| format!("<!-- scale:value ledger-member bytes-in ledgers {at} -->x<!-- scale:end -->");
    let page = format!("From {} to {}, no more.\n", marker(3), marker(100));
    let page = write(&page, &evidence()).expect("is written");
    assert!(
        page.contains("239 B/s") && page.contains("11.2 KB/s") && page.ends_with(", no more.\n"),
        "{page}"
    );
}

#[test]
fn wrong_markers_are_refused_with_line_and_cause() {
    let value = "<!-- scale:value ledger-member bytes-in ledgers";
    let end = "<!-- scale:end -->";
    for (page, line, cause) in [
        ("\n<!-- scale:begin slips -->\n<!-- scale:end slips -->\n".to_owned(), 2, "there is no block slips"),
        ("<!-- scale:begin runs -->\n\n".to_owned(), 1, "block runs is never ended"),
        ("<!-- scale:begin runs -->\n<!-- scale:end slopes -->\n".to_owned(), 2, "within block runs"),
        ("a\n\n<!-- scale:end runs -->\n".to_owned(), 3, "not known: end runs"),
        ("<!-- scale:table runs -->\n".to_owned(), 1, "not known: table runs"),
        ("words <!-- scale:begin runs --> words\n".to_owned(), 1, "not known: begin runs"),
        (format!("{value} 100 -->12\n"), 1, "not ended on its line"),
        (format!("{value} 100\n"), 1, "not closed"),
        (format!("{value} 100 -->1<!-- scale:end"), 1, "not closed"),
        (format!("{value} 100 -->1<!-- scale:end runs -->\n"), 1, "nothing else"),
        (format!("{value} -->1{end}\n"), 1, "ROLE METRIC PROFILE VARIED"),
        (format!("{value} 101 -->1{end}\n"), 1, "no run at 101"),
        (format!("{value} some -->1{end}\n"), 1, "some is not a number"),
        (format!("<!-- scale:value ledger-member bytes-in nobody 3 -->1{end}\n"), 1, "profile nobody"),
        (format!("<!-- scale:value edge bytes-in ledgers 3 -->1{end}\n"), 1, "no role edge"),
        (format!("<!-- scale:value worker bites-in ledgers 3 -->1{end}\n"), 1, "no metric bites-in"),
        (format!("<!-- scale:value worker bytes-in ledgers 3 -->1{end}\n"), 1, "no result gives"),
        (format!("<!-- scale:value ledger-member bytes-in reckoned 7 -->1{end}\n"), 1, "no result gives"),
    ] {
        let words = write(&page, &evidence()).expect_err("is refused").to_string();
        assert!(words.contains(&format!("line {line}:")) && words.contains(cause), "{page:?}: {words}");
        assert_eq!(check(&page, &evidence()).expect_err("is refused").to_string(), words);
    }
}

/// A result file with these contents, read.
fn read(file: &str, text: &str) -> Result<Results, String> {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join(file);
    std::fs::write(&path, text).expect("is written");
    read_results(&path).map_err(|error| error.to_string().replace(&folder.path().display().to_string(), "."))
}

#[test]
fn bad_result_files_are_refused_with_place_and_cause() {
    let good = serde_json::to_string_pretty(&over_schedulers("made", |n| n)).expect("is written");
    assert!(read("made.json", &good).is_ok());
    for (from, to, cause) in [
        ("\"varied\": 3.0", "\"varied\": \"three\"", "line "),
        ("\"varied\": 3.0", "\"varied\": 1e999", "line "),
        ("ledger-member", "ledger", "line "),
        ("hollow-ledgers", "moon", "line "),
        ("\"vary\": \"schedulers\"", "\"vary\": \"racks\"", "racks"),
        ("\"varied\": 10.0", "\"varied\": 11.0", "run 2 (at 11)"),
        ("\"value\": 30.0", "\"value\": -30.0", "run 3 (at 30): sample 1"),
        ("\"seconds\": 30.0", "\"seconds\": -1.0", "run 1"),
        ("\"profile\": \"made\"", "\"profile\": \"other\"", "other"),
        ("\"runs\"", "\"walks\"", "runs"),
    ] {
        assert!(good.contains(from), "{from}: {good}");
        let words = read("made.json", &good.replacen(from, to, 1)).expect_err(to);
        assert!(words.contains("./made.json") && words.contains(cause), "{to}: {words}");
    }
    for (text, cause) in [("", "line 1"), ("[]", "line 1"), ("{", "line 1")] {
        let words = read("made.json", text).expect_err("is refused");
        assert!(words.contains("./made.json") && words.contains(cause), "{text:?}: {words}");
    }
}

#[test]
fn results_without_runs_or_with_a_figure_twice_are_refused() {
    let empty = results("made", "schedulers", Vec::new());
    let words = read("made.json", &serde_json::to_string(&empty).expect("is written")).expect_err("no runs");
    assert!(words.contains("no runs"), "{words}");
    let size = Size { schedulers: 3, ..small_size() };
    let mut twice = results("made", "schedulers", vec![run(size, 3.0, false, 1.0)]);
    let again = twice.runs[0].samples[0];
    twice.runs[0].samples.push(again);
    let words = read("made.json", &serde_json::to_string(&twice).expect("is written")).expect_err("twice");
    assert!(words.contains("run 1 (at 3): sample 2"), "{words}");
}

#[test]
fn evidence_is_read_in_the_order_of_names_and_from_json_alone() {
    let folder = tempfile::tempdir().expect("a folder");
    let target = folder.path().join("target");
    std::fs::write(&target, TARGET).expect("is written");
    let directory = folder.path().join("results");
    std::fs::create_dir(&directory).expect("is made");
    std::fs::write(directory.join("README.md"), "words").expect("is written");
    for name in ["c", "a", "b"] {
        over_schedulers(name, |n| n).write(&directory).expect("is written");
    }
    let evidence = Evidence::read(&target, &directory).expect("is read");
    let names: Vec<&str> = evidence.results.iter().map(|one| one.profile.as_str()).collect();
    assert_eq!(names, ["a", "b", "c"]);
    let missing = Evidence::read(&target, Path::new("no/such/results")).expect_err("isn't there");
    assert!(missing.to_string().contains("no/such/results"));
}

#[test]
fn the_committed_page_has_every_block_once() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CAPACITY.md");
    let page = std::fs::read_to_string(path).expect("is there");
    for (name, _) in BLOCKS {
        let begun = page.matches(&format!("<!-- scale:begin {name} -->")).count();
        assert_eq!(begun, 1, "{name}");
    }
}
