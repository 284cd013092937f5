//! The choice of replicas: alike everywhere, spread over regions and zones, and steady when members come and
//! go.

use mulleinhub_replicated_log::{Name, Site, replicas};
use std::collections::{BTreeMap, BTreeSet};

const MANY: usize = 350;
const REGIONS: usize = 5;
const ZONES: usize = 15;

fn name(n: usize) -> Name {
    format!("planner-{n}").as_str().into()
}

fn site(n: usize) -> Site {
    let region = format!("region-{}", n % REGIONS);
    let zone = format!("zone-{}", n % ZONES);
    Site { region: Some(region.as_str().into()), zone: Some(zone.as_str().into()) }
}

fn fleet(many: usize) -> BTreeMap<Name, Site> {
    (0..many).map(|n| (name(n), site(n))).collect()
}

fn all_sets(
    sites: &BTreeMap<Name, Site>,
    many: usize,
    without: &BTreeSet<Name>,
) -> BTreeMap<Name, Vec<Name>> {
    let set = |writer: &Name| replicas(writer, sites, many, |name| !without.contains(name));
    sites.keys().map(|writer| (writer.clone(), set(writer))).collect()
}

#[test]
fn replicas_are_other_members_and_as_many_as_are_asked_for_or_there() {
    let sites = fleet(4);
    for many in 1..=8 {
        let set = replicas(&name(0), &sites, many, |_| true);
        assert_eq!(set.len(), many.min(3));
        assert!(!set.contains(&name(0)));
        assert_eq!(set.iter().collect::<BTreeSet<_>>().len(), set.len());
    }
    assert!(replicas(&name(0), &sites, 2, |_| false).is_empty());
    assert!(replicas(&name(0), &fleet(1), 2, |_| true).is_empty());
}

/// Reckoned beside with another SHA-256: a version that weighs otherwise would look for copies where there
/// are none.
#[test]
fn the_choice_is_the_same_in_every_version() {
    let sites: BTreeMap<Name, Site> = (0..6).map(|n| (name(n), Site::default())).collect();
    let of = |n: usize| replicas(&name(n), &sites, 2, |_| true);
    let chosen: Vec<Vec<Name>> = (0..3).map(of).collect();
    assert_eq!(
        format!("{chosen:?}"),
        "[[planner-2, planner-3], [planner-3, planner-2], [planner-5, planner-1]]"
    );
}

#[test]
fn replicas_lie_in_other_regions_and_in_other_zones_where_there_is_one_region() {
    let sites = fleet(MANY);
    for (writer, set) in all_sets(&sites, 3, &BTreeSet::new()) {
        let regions: BTreeSet<_> = set.iter().map(|name| sites[name].region.clone()).collect();
        assert_eq!(regions.len(), 3, "{writer}: {set:?}");
        let away = set.iter().filter(|name| sites[*name].region != sites[&writer].region).count();
        assert!(away >= 2, "{writer}: {set:?}");
    }
    let one_region: BTreeMap<Name, Site> =
        (0..30).map(|n| (name(n), Site { region: None, ..site(n % 3) })).collect();
    for (writer, set) in all_sets(&one_region, 2, &BTreeSet::new()) {
        let zones: BTreeSet<_> = set.iter().map(|name| one_region[name].zone.clone()).collect();
        assert_eq!(zones.len(), 2, "{writer}: {set:?}");
    }
}

/// A zone that is lost takes no log with it: of two replicas one at least lies elsewhere.
#[test]
fn a_lost_zone_takes_no_log_with_it() {
    let sites = fleet(MANY);
    for zone in 0..ZONES {
        let lost = |name: &Name| sites[name].zone == site(zone).zone;
        for (writer, set) in all_sets(&sites, 2, &BTreeSet::new()).iter().filter(|(writer, _)| lost(writer)) {
            assert!(!set.iter().all(lost), "{writer}: {set:?}");
        }
    }
}

#[test]
fn a_member_that_goes_or_comes_changes_only_the_sets_that_it_is_in() {
    let sites = fleet(MANY);
    let many = 3;
    let before = all_sets(&sites, many, &BTreeSet::new());
    let mut moved = 0;
    for n in (0..MANY).step_by(7) {
        let gone = BTreeSet::from([name(n)]);
        let after = all_sets(&sites, many, &gone);
        for (writer, set) in &before {
            if set.contains(&name(n)) {
                moved += after[writer].iter().filter(|name| !set.contains(name)).count();
                assert!(!after[writer].contains(&name(n)));
            } else {
                assert_eq!(after[writer], *set, "{writer} has nothing of {n}");
            }
        }
    }
    // Each is in three sets on average; the greedy spread may replace a second member of such a set.
    let goings = MANY.div_ceil(7);
    assert!(moved >= goings && moved <= goings * many * 2, "{moved} copies moved with {goings} members");
}

#[test]
fn members_hold_about_equally_many_logs() {
    let sites = fleet(MANY);
    let mut held: BTreeMap<Name, usize> = BTreeMap::new();
    for name in all_sets(&sites, 3, &BTreeSet::new()).into_values().flatten() {
        *held.entry(name).or_default() += 1;
    }
    let most = held.values().max().copied().unwrap_or_default();
    assert!(most <= 14 && held.len() > MANY * 9 / 10, "{most} at most, {} hold any", held.len());
}
