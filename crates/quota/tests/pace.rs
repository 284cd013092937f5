//! The pace of balances: fast in small fleets, within a traffic budget in large ones.

use mulleinhub_interface::Duration;
use mulleinhub_quota::Pace;

#[test]
fn small_fleets_use_the_fast_pace() {
    for (members, teams) in [(1, 1), (3, 2), (4, 5), (8, 1)] {
        assert_eq!(Pace::for_fleet(members, teams), Pace::FAST, "{members} members, {teams} teams");
    }
}

#[test]
fn large_fleets_stay_within_the_traffic_budget() {
    for (members, teams) in [(100, 1), (350, 10), (350, 450), (1_000, 450)] {
        let pace = Pace::for_fleet(members, teams);
        let seconds = pace.period.ratio_to(Duration::from_secs(1));
        let bytes = members as f64 * (teams as f64 * 64.0 + 400.0) / seconds;
        assert!(bytes <= 4_097.0, "{members} members, {teams} teams: {bytes} bytes a second");
        assert!((pace.reservation_seconds - 2.0 * seconds).abs() < 0.01);
    }
    // A month has 43,000 minutes.
    assert!(Pace::for_fleet(350, 450).period < Duration::from_secs(45 * 60));
}
