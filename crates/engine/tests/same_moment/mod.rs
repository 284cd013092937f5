//! What many planners do at one moment: arrivals in ten milliseconds at one machine or at the list, counted
//! over planners of the same settings that learnt of the same thing at the same instant.

use crate::host::*;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_protocol::{Ending, Message, Reason};
use mulleinhub_sans_io::CloseReason;
use std::collections::BTreeMap;

const PLANNERS: usize = 120;
const MS: u64 = 1_000_000;

/// Planners that differ by their names alone, also in what they draw.
fn planners(asked: bool) -> impl Iterator<Item = Host> {
    (0..PLANNERS).map(move |n| {
        let mut settings = settings();
        settings.name = format!("planner-{n}");
        settings.listing.watch_required = asked;
        Host::up(settings, 1)
    })
}

/// The most instants that fall into one ten milliseconds, and how far the last is from the first.
fn crowding(instants: &[Timestamp]) -> (usize, Duration) {
    let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
    instants.iter().for_each(|at| *counts.entry(at.nanos() / (10 * MS)).or_default() += 1);
    let (first, last) = (instants.iter().min().expect("some"), instants.iter().max().expect("some"));
    (counts.into_values().max().expect("some"), *last - *first)
}

/// Everybody loses this peer, which refuses connections for a while: when each planner tries again, by the
/// number of the try, until it is let in.
fn tries(to: &str, asked: bool, refuses_for: Duration) -> Vec<Vec<Timestamp>> {
    let mut tries: Vec<Vec<Timestamp>> = Vec::new();
    for mut host in planners(asked) {
        let lost_at = host.now;
        let mut seen = host.opening.len();
        host.ends(host.link(to), CloseReason::Broken);
        let until = lost_at + refuses_for + Duration::from_secs(10);
        let (mut number, mut is_in) = (0, false);
        let mut look = |host: &mut Host, _| {
            while let Some((link, _)) = host.opening.get(seen).cloned().filter(|(_, address)| address == to) {
                seen += 1;
                if std::mem::replace(&mut is_in, host.now >= lost_at + refuses_for) {
                    continue;
                }
                if tries.len() == number {
                    tries.push(Vec::new());
                }
                tries[number].push(host.now);
                number += 1;
                if !is_in {
                    host.ends(link, CloseReason::Refused);
                }
            }
        };
        look(&mut host, Vec::new());
        host.goes_on(until, look);
    }
    tries
}

/// After the first tries no more than this part of all may come within ten milliseconds.
const AT_ONCE: usize = PLANNERS / 4;

#[test]
fn planners_that_lost_a_machine_together_do_not_come_back_together() {
    let tries = tries("m1", false, Duration::from_secs(3));
    for (n, tries) in tries.iter().enumerate() {
        let (most, over) = crowding(tries);
        println!("machine, try {n}: {most} of {} in 10 ms, over {} ms", tries.len(), over.nanos() / MS);
        assert!(most <= AT_ONCE, "try {n}: {most} of {} at once", tries.len());
    }
    assert!(tries[0].len() == PLANNERS, "each tries");
    let back = tries.iter().flatten().max().expect("some");
    let lost = Timestamp::from_nanos(1_000 * MS);
    assert!(
        *back <= lost + Duration::from_nanos(4_600 * MS),
        "within eight times the first wait of its return"
    );
}

#[test]
fn planners_that_lost_the_list_together_do_not_come_back_together() {
    for asked in [false, true] {
        let tries = tries("list", asked, Duration::from_secs(3));
        for (n, tries) in tries.iter().enumerate() {
            let (most, over) = crowding(tries);
            println!(
                "list, asked {asked}, try {n}: {most} of {} in 10 ms, over {} ms",
                tries.len(),
                over.nanos() / MS
            );
            assert!(most <= AT_ONCE, "asked {asked}, try {n}: {most} of {} at once", tries.len());
        }
        let back = tries.iter().flatten().max().expect("some");
        let lost = Timestamp::from_nanos(1_000 * MS);
        assert!(
            *back <= lost + Duration::from_nanos(5_500 * MS),
            "a quarter of the silence that the rules allow"
        );
    }
}

#[test]
fn planners_that_started_together_do_not_ask_for_signs_of_life_together() {
    let mut pings = Vec::new();
    for mut host in planners(false) {
        let until = host.now + Duration::from_secs(20);
        let mut answered = 0;
        host.goes_on(until, |host, _| {
            if host.pings.len() > answered {
                answered = host.pings.len();
                host.only_tell(host.link("m1"), &[Message::Pong { nonce: 0 }]);
            }
        });
        assert!(host.pings.len() >= 9, "each two seconds at the latest: {}", host.pings.len());
        assert!(host.ended.is_empty(), "a live machine is not given up");
        pings.push(host.pings);
    }
    for n in 0..9 {
        let nth: Vec<Timestamp> = pings.iter().map(|pings| pings[n]).collect();
        let (most, over) = crowding(&nth);
        println!("ping {n}: {most} of {} in 10 ms, over {} ms", nth.len(), over.nanos() / MS);
        assert!(most <= AT_ONCE, "ping {n}: {most} of {} at once", nth.len());
    }
}

#[test]
fn tasks_that_wait_for_a_machine_that_rested_do_not_reach_it_together() {
    let mut offers = Vec::new();
    for mut host in planners(false) {
        let client = host.client("owner");
        host.ask(client, 1, REPLAYABLE);
        host.machine(1, Message::Closed { task: 1, send: 0, ending: Ending::Nacked, reason: Reason::Untold });
        let said = host.ask(client, 2, REPLAYABLE);
        assert!(offered(&said, 2).is_none(), "the machine rests");
        let until = host.now + Duration::from_secs(7);
        host.goes_on(until, |host, said| {
            if offered(&said, 2).is_some() {
                offers.push(host.now);
            }
        });
    }
    let (most, over) = crowding(&offers);
    println!("offers: {most} of {} in 10 ms, over {} ms", offers.len(), over.nanos() / MS);
    assert_eq!(offers.len(), PLANNERS, "each is offered before its client timeout");
    assert!(most <= AT_ONCE, "{most} of {PLANNERS} at once");
}
