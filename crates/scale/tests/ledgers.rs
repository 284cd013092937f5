//! Fleets of hollow ledgers: counts that follow from the seed, counts that agree, and faults that heal.

use mulleinhub_interface::Timestamp;
use mulleinhub_scale::ledgers::fleet::{Counts, Fleet};
use mulleinhub_scale::ledgers::load::Load;
use mulleinhub_scale::ledgers::{Outcome, play};
use mulleinhub_scale::profile::{Profile, parse};
use mulleinhub_scale::results::{Metric, Role};
use std::time::Duration;

const BOUND: Duration = Duration::from_secs(300);

fn profile(text: &str) -> Profile {
    parse("test.profile", text).expect("is a profile")
}

fn play_one(text: &str) -> Outcome {
    let profile = profile(text);
    play(&profile, &profile.runs()[0], BOUND)
}

fn value(outcome: &Outcome, metric: Metric) -> f64 {
    let value = outcome.run.value(Role::LedgerMember, metric);
    value.unwrap_or_else(|| panic!("{metric:?} was not measured: {:?}", outcome.remarks))
}

const SMALL: &str = "name small\nhost hollow-ledgers\nlength 20s\nwarm-up 10s\nschedulers 6\nregions 2\n\
    zones 3\nteams 3\nrunning 60\nstarts 5\nchanges 1\nfailures 6\ndrops 0.01\n";

#[test]
fn the_same_seed_gives_the_same_counts_to_the_byte_and_another_seed_others() {
    let (one, two) = (play_one(SMALL), play_one(SMALL));
    assert_eq!(one.counts, two.counts);
    assert_eq!((&one.kinds, one.load), (&two.kinds, two.load));
    assert!(one.load.failures >= 2 && one.load.started >= 160 && one.load.changes >= 20, "{:?}", one.load);
    let other = play_one(&format!("{SMALL}seed 2\n"));
    assert_ne!(one.counts, other.counts);
    assert!(one.counts.iter().all(|counts| counts.bytes_in > 0 && counts.messages_out > 0));
}

#[test]
fn counted_bytes_of_two_members_are_what_their_exchanges_count_themselves() {
    let profile = profile(
        "name two\nhost hollow-ledgers\nlength 10s\nschedulers 2\nteams 2\nrunning 20\nstarts 4\nchanges 1\n",
    );
    let plan = profile.runs()[0];
    let mut fleet = Fleet::new(&profile, &plan);
    let mut load = Load::new(&profile, &plan, &mut fleet);
    let end = Timestamp::from_nanos(20_000_000_000);
    while let Some(now) = fleet.next().filter(|now| *now < end) {
        for cue in fleet.deliver(now) {
            load.act(cue, &mut fleet);
        }
        fleet.turn();
    }
    for member in 0..2 {
        let figures = fleet.ledger(member).expect("is up").figures();
        let Counts { bytes_in, bytes_out, .. } = fleet.counts(member);
        assert_eq!((bytes_in, bytes_out), (figures.bytes_in, figures.bytes_out));
        assert!(figures.entries_in > 10, "{figures:?}");
        assert_eq!((figures.protocol_errors, figures.forks), (0, 0));
    }
    assert!(fleet.kinds().values().map(|kind| kind.bytes).sum::<u64>() > 0);
    // What one wrote the other got, but for what is on its way.
    let (one, two) = (fleet.counts(0), fleet.counts(1));
    assert!(one.messages_out - two.messages_in <= 2 && two.messages_out - one.messages_in <= 2);
}

#[test]
fn changes_are_in_force_everywhere_soon_and_not_before_they_can_have_come() {
    let outcome = play_one(
        "name changes\nhost hollow-ledgers\nlength 20s\nschedulers 6\nregions 2\nzones 2\nteams 3\n\
         changes 2\nround-trip between-regions 100ms\n",
    );
    let [half, most] = [Metric::ChangeP50, Metric::ChangeMax].map(|metric| value(&outcome, metric));
    assert!(half >= 0.05 && most <= 1.0 && half <= most, "{half} {most}");
}

#[test]
fn a_cut_heals_and_what_was_missed_is_caught_up() {
    let outcome = play_one(
        "name cut\nhost hollow-ledgers\nlength 60s\nschedulers 6\nregions 2\nzones 2\nteams 3\nrunning 60\n\
         starts 5\nchanges 1\ncut 2 from 10s for 30s\n",
    );
    assert!(outcome.remarks.is_empty(), "{:?}", outcome.remarks);
    let (took, bytes) = (value(&outcome, Metric::CatchUp), value(&outcome, Metric::CatchUpBytes));
    assert!(took > 0.0 && took < 15.0 && bytes > 1_000.0, "{took} {bytes}");
}

#[test]
fn members_that_fail_come_back_with_what_they_had_on_disk() {
    let outcome = play_one(SMALL);
    assert!(outcome.load.failures >= 2);
    let start = value(&outcome, Metric::StartUp);
    assert!(start > 0.0 && start < 11.0, "{start}");
    let spreads = outcome.remarks.iter().any(|remark| remark.contains("in force"));
    assert!(!spreads, "{:?}", outcome.remarks);
}

#[test]
fn a_run_ends_by_itself_when_its_real_time_is_over() {
    let profile = profile(
        "name long\nhost hollow-ledgers\nlength 20h\nwarm-up 1s\nschedulers 10\nteams 5\nrunning 100\n\
         starts 20\n",
    );
    let outcome = play(&profile, &profile.runs()[0], Duration::from_millis(300));
    assert!(outcome.is_partial && outcome.took < Duration::from_secs(60), "{:?}", outcome.took);
    assert!(outcome.remarks.iter().any(|remark| remark.starts_with("partial")), "{:?}", outcome.remarks);
    assert!(outcome.run.seconds < 20.0 * 3600.0);
}

#[test]
fn with_replica_sets_starts_of_the_fleet_cost_a_member_far_less() {
    let text = |replicas: &str| {
        format!(
            "name work\nhost hollow-ledgers\nlength 10s\nwarm-up 20s\nschedulers 12\nregions 3\nzones 6\n\
             teams 3\nrunning 240\nstarts 120\n{replicas}"
        )
    };
    let [all, few] = ["", "replicas 2\n"].map(|replicas| play_one(&text(replicas)));
    let bytes = [&all, &few].map(|outcome| value(outcome, Metric::BytesIn));
    assert!(bytes[1] * 3.0 < bytes[0], "{bytes:?} bytes a second");
    assert_eq!(few.counts, play_one(&text("replicas 2\n")).counts, "the same seed gives the same counts");
}
