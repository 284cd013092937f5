//! No thundering herd: arrivals within ten milliseconds at one machine or at the endpoint list, counted over
//! schedulers of the same settings that learnt of the same thing at the same instant.

use crate::harness::*;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_protocol::{Ending, Message, Reason};
use mulleinhub_sans_io::CloseReason;
use std::collections::BTreeMap;

const SCHEDULERS: usize = 120;
const MS: u64 = 1_000_000;

/// Schedulers that differ by their names alone, and so by their random draws.
fn schedulers(asked: bool) -> impl Iterator<Item = Harness> {
    (0..SCHEDULERS).map(move |n| {
        let mut settings = settings();
        settings.name = format!("planner-{n}");
        settings.discovery.watch_required = asked;
        Harness::ready(settings, 1)
    })
}

/// The most instants within one window of ten milliseconds, and how far the last is from the first.
fn peak(instants: &[Timestamp]) -> (usize, Duration) {
    let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
    instants.iter().for_each(|at| *counts.entry(at.nanos() / (10 * MS)).or_default() += 1);
    let (first, last) = (instants.iter().min().expect("some"), instants.iter().max().expect("some"));
    (counts.into_values().max().expect("some"), *last - *first)
}

/// All lose this peer, which refuses connections for a while: when each scheduler tries again, by the number
/// of the attempt, until it is connected.
fn attempts(to: &str, asked: bool, refuses_for: Duration) -> Vec<Vec<Timestamp>> {
    let mut attempts: Vec<Vec<Timestamp>> = Vec::new();
    for mut harness in schedulers(asked) {
        let lost_at = harness.now;
        let mut seen = harness.opened.len();
        harness.close(harness.connection_to(to), CloseReason::Broken);
        let until = lost_at + refuses_for + Duration::from_secs(10);
        let (mut number, mut is_in) = (0, false);
        let mut look = |harness: &mut Harness, _| {
            while let Some((connection, _)) =
                harness.opened.get(seen).cloned().filter(|(_, address)| address == to)
            {
                seen += 1;
                if std::mem::replace(&mut is_in, harness.now >= lost_at + refuses_for) {
                    continue;
                }
                if attempts.len() == number {
                    attempts.push(Vec::new());
                }
                attempts[number].push(harness.now);
                number += 1;
                if !is_in {
                    harness.close(connection, CloseReason::Refused);
                }
            }
        };
        look(&mut harness, Vec::new());
        harness.run_until(until, look);
    }
    attempts
}

/// No more than this part of all may arrive within ten milliseconds.
const AT_ONCE: usize = SCHEDULERS / 4;

#[test]
fn reconnects_to_machine_are_spread() {
    let attempts = attempts("m1", false, Duration::from_secs(3));
    for (n, attempts) in attempts.iter().enumerate() {
        let (most, over) = peak(attempts);
        println!(
            "machine, attempt {n}: {most} of {} in 10 ms, over {} ms",
            attempts.len(),
            over.nanos() / MS
        );
        assert!(most <= AT_ONCE, "try {n}: {most} of {} at once", attempts.len());
    }
    assert!(attempts[0].len() == SCHEDULERS, "each tries");
    let back = attempts.iter().flatten().max().expect("some");
    let lost = Timestamp::from_nanos(1_000 * MS);
    assert!(
        *back <= lost + Duration::from_nanos(4_600 * MS),
        "within eight times the first wait of its return"
    );
}

#[test]
fn reconnects_to_endpoint_list_are_spread() {
    for asked in [false, true] {
        let attempts = attempts("list", asked, Duration::from_secs(3));
        for (n, attempts) in attempts.iter().enumerate() {
            let (most, over) = peak(attempts);
            println!(
                "list, asked {asked}, try {n}: {most} of {} in 10 ms, over {} ms",
                attempts.len(),
                over.nanos() / MS
            );
            assert!(most <= AT_ONCE, "asked {asked}, try {n}: {most} of {} at once", attempts.len());
        }
        let back = attempts.iter().flatten().max().expect("some");
        let lost = Timestamp::from_nanos(1_000 * MS);
        assert!(
            *back <= lost + Duration::from_nanos(5_500 * MS),
            "a quarter of the silence that the rules allow"
        );
    }
}

#[test]
fn pings_are_spread() {
    let mut pings = Vec::new();
    for mut harness in schedulers(false) {
        let until = harness.now + Duration::from_secs(20);
        let mut answered = 0;
        harness.run_until(until, |harness, _| {
            if harness.pings.len() > answered {
                answered = harness.pings.len();
                harness.deliver(harness.connection_to("m1"), &[Message::Pong { nonce: 0 }]);
            }
        });
        assert!(harness.pings.len() >= 9, "each two seconds at the latest: {}", harness.pings.len());
        assert!(harness.closed.is_empty(), "a live machine is not given up");
        pings.push(harness.pings);
    }
    for n in 0..9 {
        let nth: Vec<Timestamp> = pings.iter().map(|pings| pings[n]).collect();
        let (most, over) = peak(&nth);
        println!("ping {n}: {most} of {} in 10 ms, over {} ms", nth.len(), over.nanos() / MS);
        assert!(most <= AT_ONCE, "ping {n}: {most} of {} at once", nth.len());
    }
}

#[test]
fn offers_after_cool_down_are_spread() {
    let mut offers = Vec::new();
    for mut harness in schedulers(false) {
        let client = harness.connect_client("client");
        harness.submit(client, 1, IDEMPOTENT);
        harness.send_from_machine(
            1,
            Message::Closed { task: 1, send: 0, ending: Ending::Nacked, reason: Reason::Untold },
        );
        let output = harness.submit(client, 2, IDEMPOTENT);
        assert!(offered(&output, 2).is_none(), "the machine rests");
        let until = harness.now + Duration::from_secs(7);
        harness.run_until(until, |harness, output| {
            if offered(&output, 2).is_some() {
                offers.push(harness.now);
            }
        });
    }
    let (most, over) = peak(&offers);
    println!("offers: {most} of {} in 10 ms, over {} ms", offers.len(), over.nanos() / MS);
    assert_eq!(offers.len(), SCHEDULERS, "each is offered before its client timeout");
    assert!(most <= AT_ONCE, "{most} of {SCHEDULERS} at once");
}
