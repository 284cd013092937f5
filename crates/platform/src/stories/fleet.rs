//! Stories at the size of a fleet: more machines than descriptors.

use super::rig::*;
use mulleinhub_interface::Span;
use mulleinhub_platform_protocol::{kind, why};
use mulleinhub_seam::Link;
use std::collections::BTreeSet;

/// Descriptors that the rig's configuration gives, and what of them is owners' and our own.
const DESCRIPTORS: usize = 256;
const OTHERS: usize = 256 / 3 + 64;

/// A scheduler that holds one task on each of so many machines.
fn fleet(machines: u64) -> (Rig, Link) {
    let mut rig = Rig::of(machines, |conf| conf.replace(r#""memory_mb":32"#, r#""memory_mb":64"#));
    let owner = rig.owner();
    for n in 1..=machines {
        let class = if n % 2 == 0 { "front" } else { "batch" };
        rig.say(owner, &set_up(n, class, &format!(";at:{}", uid(n))));
    }
    (rig, owner)
}

/// Lets time pass in small steps, and holds the open connections against the bound at each of them.
fn pass_within_bounds(rig: &mut Rig, span: Span) {
    let until = rig.now + span;
    while rig.now < until {
        rig.pass(ms(50));
        let ways = rig.opened.values().filter(|to| !to.ends_with(":8500")).count();
        assert!(ways <= DESCRIPTORS - OTHERS, "{ways} connections to machines");
    }
}

#[test]
fn a_machine_that_falls_silent_among_more_than_there_are_descriptors_for_is_found_out() {
    // Met: herd+mass and roll+mass, where one way to each of 400 was all that was allowed: a machine that had
    // vanished behind its open connection was never looked at again.
    for machines in [20, 400, 1_024] {
        let (mut rig, owner) = fleet(machines);
        pass_within_bounds(&mut rig, Span::from_secs(4));
        let gone: BTreeSet<u64> = [3, machines / 2, machines].into();
        for n in &gone {
            rig.doors.insert(address(*n), Entrance::Silent);
            rig.stuck.extend(rig.on(&address(*n)));
        }
        pass_within_bounds(&mut rig, Span::from_secs(8));
        let told: BTreeSet<u64> = rig.heard_on(owner).iter().map(|said| said.task).collect();
        assert_eq!(told, gone, "of {machines} machines");
    }
}

#[test]
fn ends_that_machines_can_tell_only_when_they_are_visited_are_told_within_eight_seconds() {
    for machines in [400, 1_024] {
        let (mut rig, owner) = fleet(machines);
        pass_within_bounds(&mut rig, Span::from_secs(4));
        // All end at one instant; each machine tells on the next connection that is opened to it.
        let (mut told, mut seen) = (BTreeSet::new(), rig.opened.keys().copied().collect::<BTreeSet<Link>>());
        for _ in 0..160 {
            pass_within_bounds(&mut rig, ms(50));
            let fresh: Vec<(Link, String)> = rig
                .opened
                .iter()
                .filter(|(link, _)| !seen.contains(link))
                .map(|(l, to)| (*l, to.clone()))
                .collect();
            for (link, to) in fresh {
                seen.insert(link);
                if let Some(n) = (1..=machines).find(|n| address(*n) == to).filter(|n| told.insert(*n)) {
                    rig.say(link, &release(n, why::ENDED));
                }
            }
        }
        let ends = rig.heard_on(owner);
        assert!(ends.iter().all(|said| said.kind == kind::RELEASE));
        assert_eq!(ends.len() as u64, machines, "each end is told once");
    }
}
