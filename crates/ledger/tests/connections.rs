//! Connections: each scheduler keeps a few, whatever their number, also where each second brings rows.

#![cfg(not(feature = "explored"))]

mod net;

use mulleinhub_interface::{Duration, Quota, Ticket};
use net::*;

/// Neighbors that each member draws, as the exchange has it.
const NEIGHBORS: usize = 3;
/// Connections of all members on average: their neighbors, those whose neighbors they are, and those to
/// members that were neighbors until a moment ago.
const MOST_ON_AVERAGE: usize = 3 * NEIGHBORS;
/// And of each one: some are drawn by more of the others.
const MOST: usize = 5 * NEIGHBORS;
/// Each worker reserves this, as `Net::add` has it.
const NEED: u64 = 200;

fn cap_of(workers: u64) -> u64 {
    workers * NEED * 10 / 9
}

/// Each scheduler starts and ends a few workers each second.
fn work(net: &mut Net, seconds: u64) {
    let mut running: Vec<(usize, Ticket)> = Vec::new();
    for second in 0..seconds {
        for n in 0..net.nodes.len() {
            let first = (second * 1_000 + n as u64) * 10;
            running.extend(net.add_many(n, first, 2).into_iter().map(|ticket| (n, ticket)));
        }
        net.run(Duration::from_secs(1));
        let now = net.now;
        for (n, ticket) in running.drain(..) {
            net.node(n).teller.on_ended(now, ticket, false);
        }
    }
}

fn connections(net: &Net) -> Vec<usize> {
    (0..net.nodes.len()).map(|n| net.connections(n)).collect()
}

#[test]
fn members_that_work_for_minutes_keep_a_few_connections_each() {
    const MANY: usize = 24;
    let mut net = Net::new(MANY, cap_of(100_000));
    assert_eq!(net.connections(0), MANY - 1, "at its start each member calls all");
    work(&mut net, 60);
    for _ in 0..3 {
        work(&mut net, 20);
        let all = connections(&net);
        assert!(all.iter().sum::<usize>() <= MOST_ON_AVERAGE * MANY, "{all:?}");
        assert!(all.iter().all(|many| (1..=MOST).contains(many)), "{all:?}");
    }
    net.run(Duration::from_secs(2));
    let known = net.all();
    assert!(known.iter().all(|all| *all == known[0]), "all know the same rows");
}
