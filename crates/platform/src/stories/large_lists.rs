//! Whole lists at the size of a large fleet.

use super::rig::*;
use mulleinhub_platform_protocol::kind;
use mulleinhub_sans_io::ConnectionId;

const FLEET: u64 = 10_000;

fn lines(machines: std::ops::RangeInclusive<u64>) -> Vec<String> {
    machines.map(|n| listed(n, "in_service", 0)).collect()
}

/// The connection on which the bulletin tells.
fn bulletin(rig: &Rig) -> ConnectionId {
    *rig.on(BULLETIN).last().expect("it is called")
}

/// An event of the bulletin, in parts as a network may cut it.
fn tells(rig: &mut Rig, event: &str) {
    let link = bulletin(rig);
    for part in format!("data: {event}\n\n").as_bytes().chunks(60_000) {
        rig.say(link, part);
    }
}

/// Places a task: where.
fn places(rig: &mut Rig, task: u64) -> String {
    let owner = rig.owner();
    rig.say(owner, &set_up(task, "batch", ""));
    let (connection, _) = rig.set_ups().pop().expect("it is sent at once");
    rig.say(connection, &yes(task));
    assert_eq!(rig.heard_on(owner).pop().map(|said| said.kind), Some(kind::ACCEPT));
    rig.opened[&connection].clone()
}

/// A task that stands on each of these machines, told by its owner.
fn stand(rig: &mut Rig, machines: &[u64]) -> ConnectionId {
    let owner = rig.owner();
    for n in machines {
        rig.say(owner, &set_up(*n, "batch", &format!(";at:{}", uid(*n))));
    }
    owner
}

#[test]
fn a_whole_list_of_ten_thousand_machines_in_one_event_is_read_and_used() {
    let mut rig = Rig::new(1);
    // The one that was known has left.
    let event = event(2, true, &lines(2..=FLEET));
    assert!(event.len() > 1 << 20, "longer than a line could be before: {}", event.len());
    tells(&mut rig, &event);
    assert_ne!(places(&mut rig, 1), address(1));
    assert_eq!(rig.on(BULLETIN).len(), 1, "it was read, and is not asked for again");
}

#[test]
fn a_scheduler_that_starts_with_ten_thousand_machines_places_and_knows_the_last_of_them() {
    let mut rig = Rig::new(FLEET);
    places(&mut rig, 20_000);
    let owner = stand(&mut rig, &[1, FLEET]);
    rig.pass(ms(1_000));
    assert_eq!(rig.heard_on(owner), [], "both stand");
    // The last one starts anew, which ends what stood there.
    tells(&mut rig, &event(2, false, &[listed(FLEET, "in_service", START.nanos() / 1_000_000 + 900)]));
    rig.pass(ms(100));
    let told: Vec<u64> = rig.heard_on(owner).iter().map(|said| said.task).collect();
    assert_eq!(told, [FLEET]);
}

#[test]
fn a_fleet_of_which_each_machine_is_replaced_at_its_address_ends_what_stood_there() {
    let mut rig = Rig::new(FLEET);
    let owner = stand(&mut rig, &[2, FLEET]);
    rig.pass(ms(1_000));
    let other = |n: u64| listed(n, "in_service", 0).replace(&uid(n), &uid(n + FLEET));
    tells(&mut rig, &event(2, false, &(2..=FLEET).map(other).collect::<Vec<_>>()));
    rig.pass(ms(100));
    let told: Vec<u64> = rig.heard_on(owner).iter().map(|said| said.task).collect();
    assert_eq!(told, [2, FLEET]);
}
