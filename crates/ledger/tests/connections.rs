//! Connections: each scheduler keeps a few, whatever their number, also where each second brings new entries.

#![cfg(not(feature = "explored"))]

mod network;

use mulleinhub_interface::{Duration, Quota, Ticket};
use network::*;

/// Neighbors that each member draws, as the exchange has it.
const NEIGHBORS: usize = 3;
/// Connections of all members on average: their neighbors, those whose neighbors they are, and those to
/// members that were neighbors until a moment ago.
const MOST_ON_AVERAGE: usize = 3 * NEIGHBORS;
/// And of each one: some are drawn by more of the others.
const MOST: usize = 5 * NEIGHBORS;
/// Each worker reserves this much, as `Network::add` has it.
const RESERVATION: u64 = 200;

fn cap_for(workers: u64) -> u64 {
    workers * RESERVATION * 10 / 9
}

/// Each scheduler starts and ends a few workers each second.
fn work(network: &mut Network, seconds: u64) {
    let mut running: Vec<(usize, Ticket)> = Vec::new();
    for second in 0..seconds {
        for n in 0..network.nodes.len() {
            let first = (second * 1_000 + n as u64) * 10;
            running.extend(network.add_many(n, first, 2).into_iter().map(|ticket| (n, ticket)));
        }
        network.run(Duration::from_secs(1));
        let now = network.now;
        for (n, ticket) in running.drain(..) {
            network.node(n).admission.on_ended(now, ticket, false);
        }
    }
}

fn connections(network: &Network) -> Vec<usize> {
    (0..network.nodes.len()).map(|n| network.connections(n)).collect()
}

#[test]
fn busy_members_keep_few_connections() {
    const MANY: usize = 24;
    let mut network = Network::new(MANY, cap_for(100_000));
    assert_eq!(network.connections(0), MANY - 1, "at its start each member calls all");
    work(&mut network, 60);
    for _ in 0..3 {
        work(&mut network, 20);
        let all = connections(&network);
        assert!(all.iter().sum::<usize>() <= MOST_ON_AVERAGE * MANY, "{all:?}");
        assert!(all.iter().all(|count| (1..=MOST).contains(count)), "{all:?}");
    }
    network.run(Duration::from_secs(2));
    let known = network.heads_digests();
    assert!(known.iter().all(|all| *all == known[0]), "all know the same rows");
}
