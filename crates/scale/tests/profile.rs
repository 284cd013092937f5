//! Profiles are read whole, and what is wrong with one is told all at once, with place and cause.

use mulleinhub_interface::Duration;
use mulleinhub_scale::limits;
use mulleinhub_scale::profile::{Cut, Variable, parse};
use mulleinhub_scale::results::Host;

const WHOLE: &str = "\
name ledger-teams
host hollow-ledgers
seed 7
length 30s
warm-up 20s
schedulers 30
regions 5
zones 15
teams 10
running 300
starts 10
changes 0.1
failures 2
round-trip zone 0.5ms
round-trip region 3ms
round-trip between-regions 80ms
drops 0.001
cut 2 from 5s for 10s
cut 5 from 20s for 10s
replicas 2
vary teams 10 30 100 300
hold-out 450
";

fn faults(text: &str) -> String {
    parse("test.profile", text).expect_err("the profile is faulty")
}

#[test]
fn a_whole_profile_gives_a_run_for_each_value_and_the_held_out_one_last() {
    let profile = parse("test.profile", WHOLE).expect("is a profile");
    assert_eq!((profile.name.as_str(), profile.host, profile.seed), ("ledger-teams", Host::HollowLedgers, 7));
    assert_eq!((profile.length, profile.warm_up), (Duration::from_secs(30), Duration::from_secs(20)));
    assert_eq!(profile.round_trips.region, Duration::from_nanos(3_000_000));
    assert_eq!((profile.drops, profile.replicas), (0.001, Some(2)));
    let second = Cut { region: 5, from: Duration::from_secs(20), length: Duration::from_secs(10) };
    assert_eq!(profile.cuts[1], second);
    assert_eq!(profile.vary.as_ref().map(|vary| vary.variable), Some(Variable::Teams));
    let runs = profile.runs();
    let told: Vec<(u32, f64, bool)> = runs.iter().map(|r| (r.size.teams, r.varied, r.held_out)).collect();
    let wanted =
        [(10, 10.0, false), (30, 30.0, false), (100, 100.0, false), (300, 300.0, false), (450, 450.0, true)];
    assert_eq!(told, wanted);
    assert!(runs.iter().all(|run| run.size.schedulers == 30 && run.size.failures == 2.0));
    assert_eq!(runs[0].task_life(), Some(Duration::from_secs(30)));
}

#[test]
fn a_profile_without_a_varied_variable_gives_one_run() {
    let text = "name small\nhost real-planners\nlength 5s\nschedulers 12\n";
    let profile = parse("test.profile", text).expect("is a profile");
    let runs = profile.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!((runs[0].size.schedulers, runs[0].held_out, runs[0].task_life()), (12, false, None));
    assert_eq!(profile.vary_word(), "");
}

#[test]
fn all_faults_are_told_at_once_each_with_place_and_cause() {
    let told = faults(
        "host hollow-leger\nlength 30\nschedulers 2000\nregions 2.5\nround-trip moon 1ms\nlenght 3s\n\
         cut 1 until 5s\ndrops 1\nvary starts 10 5\nhold-out 3\nreplicas 9\n",
    );
    for wanted in [
        "name is missing",
        "test.profile:1:6",
        "hollow-ledgers, hollow-planners or real-planners is wanted",
        "test.profile:2:8",
        "30: a span of time needs a unit",
        "test.profile:3:12",
        "schedulers is from 1 to 1024",
        "test.profile:4:9",
        "regions is a whole number",
        "test.profile:5:12",
        "zone, region or between-regions is wanted",
        "test.profile:6:1",
        "did you mean length?",
        "test.profile:7:7",
        "from and a span of time are wanted",
        "test.profile:8:1",
        "drops is a chance from 0 to below 1",
        "test.profile:9:16",
        "values rise from one to the next",
        "test.profile:10:10",
        "the held-out value is greater than all others (5)",
        "test.profile:11:1",
        "replicas is from 1 to 8",
    ] {
        assert!(told.contains(wanted), "{wanted} isn't in\n{told}");
    }
}

#[test]
fn numbers_that_do_not_go_together_are_told_at_the_value_that_breaks_them() {
    let text = "name a\nhost hollow-ledgers\nlength 10s\nzones 3\nvary regions 2 3 4\ncut 3 from 1s for 20s\n\
                starts 4\n";
    let told = faults(text);
    for wanted in [
        "test.profile:5:18",
        "3 zones are fewer than 4 regions",
        "there is no region 3 to cut off of 2",
        "the cut lasts longer than what is measured",
        "tasks start and none runs",
    ] {
        assert!(told.contains(wanted), "{wanted} isn't in\n{told}");
    }
}

#[test]
fn an_unknown_variable_and_a_value_without_one_are_told() {
    let told = faults("name a\nhost hollow-ledgers\nlength 10s\nvary team 1 2\n");
    assert!(told.contains("team is no variable") && told.contains("did you mean teams?"), "{told}");
    let told = faults("name a\nhost hollow-ledgers\nlength 10s\nhold-out 5\n");
    assert!(told.contains("hold-out needs a variable to vary"), "{told}");
    let told = faults("name a\nhost hollow-ledgers\nlength 10s\nvary teams 10 many\n");
    assert!(told.contains("many: a number is wanted"), "{told}");
}

/// Slopes are fitted over sizes that are so far apart.
const LEAST_SPREAD: f64 = 30.0;
const LEAST_SIZES: usize = 4;

#[test]
fn all_profiles_of_the_repository_are_whole_and_those_of_ledgers_have_sizes_far_apart() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scale/profiles");
    let mut ledgers = 0;
    for entry in std::fs::read_dir(directory).expect("the directory is there") {
        let path = entry.expect("can be read").path();
        let text = std::fs::read_to_string(&path).expect("can be read");
        let profile = parse(&path.display().to_string(), &text).unwrap_or_else(|faults| panic!("{faults}"));
        assert_eq!(Some(profile.name.as_str()), path.file_stem().and_then(|stem| stem.to_str()));
        if profile.host != Host::HollowLedgers {
            continue;
        }
        ledgers += 1;
        // Bounds are those of any machine that has 4 GB.
        assert_eq!(limits::check_against(&profile, 4 << 30), Ok(()), "{}", profile.name);
        if let Some(vary) = &profile.vary {
            let spread = vary.values[vary.values.len() - 1] / vary.values[0];
            assert!(vary.values.len() >= LEAST_SIZES && spread >= LEAST_SPREAD, "{}", profile.name);
            assert!(vary.held_out.is_some(), "{}", profile.name);
        }
    }
    assert!(ledgers >= 11, "{ledgers}");
}
