//! How often balances are written: as before in small fleets, within a budget in large ones.

use mulleinhub_interface::Duration;
use mulleinhub_quota::Pace;

#[test]
fn small_fleets_keep_the_pace_of_a_second() {
    for (members, teams) in [(1, 1), (3, 2), (4, 5), (8, 1)] {
        assert_eq!(Pace::of_fleet(members, teams), Pace::QUICK, "{members} members, {teams} teams");
    }
}

#[test]
fn balances_of_a_large_fleet_stay_within_their_budget_and_blocks_last_for_two_periods() {
    for (members, teams) in [(100, 1), (350, 10), (350, 450), (1_000, 450)] {
        let pace = Pace::of_fleet(members, teams);
        let seconds = pace.period.ratio_to(Duration::from_secs(1));
        let bytes = members as f64 * (teams as f64 * 64.0 + 400.0) / seconds;
        assert!(bytes <= 4_097.0, "{members} members, {teams} teams: {bytes} bytes a second");
        assert!((pace.block - 2.0 * seconds).abs() < 0.01);
    }
    // A month has 43,000 minutes.
    assert!(Pace::of_fleet(350, 450).period < Duration::from_secs(45 * 60));
}
