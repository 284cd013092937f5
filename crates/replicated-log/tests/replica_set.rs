//! The choice of replicas: alike everywhere, spread over regions and zones, and stable when members
//! come and go.

use mulleinhub_replicated_log::{Location, Name, choose_replicas};
use std::collections::{BTreeMap, BTreeSet};

const MEMBERS: usize = 350;
const REGIONS: usize = 5;
const ZONES: usize = 15;

fn name(n: usize) -> Name {
    format!("planner-{n}").as_str().into()
}

fn location(n: usize) -> Location {
    let region = format!("region-{}", n % REGIONS);
    let zone = format!("zone-{}", n % ZONES);
    Location { region: Some(region.as_str().into()), zone: Some(zone.as_str().into()) }
}

fn fleet(count: usize) -> BTreeMap<Name, Location> {
    (0..count).map(|n| (name(n), location(n))).collect()
}

fn all_sets(
    locations: &BTreeMap<Name, Location>,
    count: usize,
    without: &BTreeSet<Name>,
) -> BTreeMap<Name, Vec<Name>> {
    let set = |writer: &Name| choose_replicas(writer, locations, count, |name| !without.contains(name));
    locations.keys().map(|writer| (writer.clone(), set(writer))).collect()
}

#[test]
fn replicas_are_distinct_other_members() {
    let locations = fleet(4);
    for count in 1..=8 {
        let set = choose_replicas(&name(0), &locations, count, |_| true);
        assert_eq!(set.len(), count.min(3));
        assert!(!set.contains(&name(0)));
        assert_eq!(set.iter().collect::<BTreeSet<_>>().len(), set.len());
    }
    assert!(choose_replicas(&name(0), &locations, 2, |_| false).is_empty());
    assert!(choose_replicas(&name(0), &fleet(1), 2, |_| true).is_empty());
}

/// The expected names were computed with another implementation of SHA-256: a version with other weights
/// would look for copies where there are none.
#[test]
fn replica_choice_is_stable_across_versions() {
    let locations: BTreeMap<Name, Location> = (0..6).map(|n| (name(n), Location::default())).collect();
    let of = |n: usize| choose_replicas(&name(n), &locations, 2, |_| true);
    let chosen: Vec<Vec<Name>> = (0..3).map(of).collect();
    assert_eq!(
        format!("{chosen:?}"),
        "[[planner-2, planner-3], [planner-3, planner-2], [planner-5, planner-1]]"
    );
}

#[test]
fn replicas_spread_over_regions_then_zones() {
    let locations = fleet(MEMBERS);
    for (writer, set) in all_sets(&locations, 3, &BTreeSet::new()) {
        let regions: BTreeSet<_> = set.iter().map(|name| locations[name].region.clone()).collect();
        assert_eq!(regions.len(), 3, "{writer}: {set:?}");
        let away = set.iter().filter(|name| locations[*name].region != locations[&writer].region).count();
        assert!(away >= 2, "{writer}: {set:?}");
    }
    let one_region: BTreeMap<Name, Location> =
        (0..30).map(|n| (name(n), Location { region: None, ..location(n % 3) })).collect();
    for (writer, set) in all_sets(&one_region, 2, &BTreeSet::new()) {
        let zones: BTreeSet<_> = set.iter().map(|name| one_region[name].zone.clone()).collect();
        assert_eq!(zones.len(), 2, "{writer}: {set:?}");
    }
}

/// A lost zone takes no log with it: of two replicas at least one is elsewhere.
#[test]
fn lost_zone_leaves_a_replica() {
    let locations = fleet(MEMBERS);
    for zone in 0..ZONES {
        let is_lost = |name: &Name| locations[name].zone == location(zone).zone;
        for (writer, set) in
            all_sets(&locations, 2, &BTreeSet::new()).iter().filter(|(writer, _)| is_lost(writer))
        {
            assert!(!set.iter().all(is_lost), "{writer}: {set:?}");
        }
    }
}

#[test]
fn leaving_member_changes_only_its_own_sets() {
    let locations = fleet(MEMBERS);
    let count = 3;
    let before = all_sets(&locations, count, &BTreeSet::new());
    let mut moved = 0;
    for n in (0..MEMBERS).step_by(7) {
        let left = BTreeSet::from([name(n)]);
        let after = all_sets(&locations, count, &left);
        for (writer, set) in &before {
            if set.contains(&name(n)) {
                moved += after[writer].iter().filter(|name| !set.contains(name)).count();
                assert!(!after[writer].contains(&name(n)));
            } else {
                assert_eq!(after[writer], *set, "{writer} has no replica at {n}");
            }
        }
    }
    // Each is in three sets on average; the greedy spread may replace a second member of such a set.
    let departures = MEMBERS.div_ceil(7);
    assert!(
        moved >= departures && moved <= departures * count * 2,
        "{moved} copies moved with {departures} members"
    );
}

#[test]
fn replicas_are_balanced_over_members() {
    let locations = fleet(MEMBERS);
    let mut copies: BTreeMap<Name, usize> = BTreeMap::new();
    for name in all_sets(&locations, 3, &BTreeSet::new()).into_values().flatten() {
        *copies.entry(name).or_default() += 1;
    }
    let most = copies.values().max().copied().unwrap_or_default();
    assert!(most <= 14 && copies.len() > MEMBERS * 9 / 10, "{most} at most, {} hold any", copies.len());
}
