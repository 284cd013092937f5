//! Work logs: ordinary work is known to a few replicas, and comes again anywhere when its scheduler dies.

#![cfg(not(feature = "explored"))]

mod net;

use mulleinhub_interface::{Duration, Quota, Resources, TaskKey, Ticket, Timestamp};
use mulleinhub_protocol::{self as protocol, Message, SideLog};
use mulleinhub_quota::Phase;
use mulleinhub_replicated_log::{
    Digest, DirectiveAction, Entry, LogId, LogKind, LogState, MemberState, Name, Subject,
};
use net::*;
use std::collections::{BTreeMap, BTreeSet};

/// Each new worker reserves this, and costs it in its ten seconds.
const NEED: u64 = 200;
const REPLICAS: usize = 2;
const MAP: Map = Map { regions: 2, zones: 4 };

fn cap_of(workers: u64) -> u64 {
    workers * NEED * 10 / 9
}

fn room() -> Resources {
    Resources::new(2.0, 1.0)
}

/// A fleet of so many in which each has a work log.
fn fleet(many: usize, workers: u64) -> Net {
    ask_for_replicas(Some(REPLICAS));
    Net::over(many, cap_of(workers), MAP, &[])
}

fn hold(net: &mut Net, n: usize, number: u64) {
    net.order(n, Subject::Account("acme".into()), number, DirectiveAction::Suspend { finish_by: None });
    net.run(ms(400));
}

fn fleet_state(net: &mut Net, n: usize, of: usize) -> LogState {
    net.node(n).exchange.keeper().fleet_logs().latest_state(&name(of)).cloned().unwrap_or_default()
}

/// Who holds a copy of a scheduler's work log.
fn holders(net: &Net, of: usize) -> Vec<usize> {
    let holds = |n: &usize| {
        let node = net.nodes[*n].as_ref();
        node.is_some_and(|node| node.exchange.keeper().copied_writers().any(|copy| *copy == name(of)))
    };
    (0..net.nodes.len()).filter(holds).collect()
}

fn replicas_of(net: &mut Net, n: usize) -> Vec<usize> {
    let place = |of: &Name| (0..).find(|m| name(*m) == *of).expect("is a member");
    net.node(n).exchange.replicas().iter().map(place).collect()
}

/// Keys that run by a scheduler's own work log, as one knows it.
fn work_keys(net: &mut Net, n: usize, of: usize) -> BTreeSet<u64> {
    let logs = net.node(n).exchange.keeper().logs(LogKind::Work);
    logs.latest_state(&name(of)).map(|state| state.running.keys().copied().collect()).unwrap_or_default()
}

fn announced_by(net: &mut Net, of: usize) -> Vec<usize> {
    let all: Vec<usize> = (0..net.nodes.len()).filter(|n| net.nodes[*n].is_some()).collect();
    all.into_iter().filter(|n| fleet_state(net, *n, *n).announced.contains_key(&name(of))).collect()
}

/// Kinds of rows in a scheduler's own fleet log, by its disk.
fn fleet_rows(net: &mut Net, n: usize) -> BTreeMap<&'static str, usize> {
    let own = net.node(n).exchange.keeper().fleet_logs().own_id().clone();
    let rows = net.node(n).disk.iter().filter(|((kind, id, _), _)| *kind == LogKind::Fleet && *id == own);
    let mut counted = BTreeMap::new();
    for (_, (_, bytes)) in rows {
        let kind = match Entry::read(bytes).expect("it was written") {
            Entry::Started { .. } | Entry::Ended { .. } | Entry::Replacements { .. } => "work",
            Entry::Balance { .. } => "balance",
            _ => "other",
        };
        *counted.entry(kind).or_default() += 1;
    }
    counted
}

fn ends(net: &mut Net, n: usize, ticket: Ticket, comes_again: bool) {
    let now = net.now;
    net.node(n).teller.on_ended(now, ticket, comes_again);
}

fn adopts(net: &mut Net, n: usize, keys: &[u64]) -> Vec<Ticket> {
    let now = net.now;
    let teller = &mut net.node(n).teller;
    let mut adopt = |key: &u64| teller.adopt(now, "pay/tool", TaskKey(*key), room());
    keys.iter().map(|key| adopt(key).expect("its tenant is of a team")).collect()
}

fn all_told(net: &mut Net, n: usize) {
    let now = net.now;
    net.node(n).teller.on_recovery_complete(now);
}

/// All of these come again, at the schedulers in turn, while nothing new may be added.
fn come_again(net: &mut Net, at: &[usize], keys: impl Iterator<Item = u64>) {
    for (key, n) in keys.zip(at.iter().cycle()) {
        assert!(net.add(*n, key).is_ok(), "{key} at {n}: it ran");
        assert!(net.add(*n, key + 1_000_000).is_err(), "at {n}: an account is held");
    }
}

// Who knows what.

#[test]
fn ordinary_work_is_known_at_replicas_alone_and_the_fleet_log_does_not_grow_with_starts() {
    let mut net = fleet(8, 3_000);
    assert!((0..8).all(|n| net.node(n).exchange.keeper().writes_work_log()));
    let mut running = Vec::new();
    for second in 0..20u64 {
        running.extend(net.add_many(0, second * 100, 10));
        net.run(ms(1_000));
        // The half of them end in their place.
        let over = running.split_off(running.len() / 2);
        over.into_iter().for_each(|ticket| ends(&mut net, 0, ticket, false));
    }
    net.run(ms(500));
    let keys: BTreeSet<u64> = running.iter().map(|ticket| ticket.key.0).collect();
    let replicas = replicas_of(&mut net, 0);
    assert_eq!(replicas.len(), REPLICAS);
    assert_eq!(
        holders(&net, 0),
        replicas.iter().copied().collect::<BTreeSet<_>>().into_iter().collect::<Vec<_>>()
    );
    for n in 0..8 {
        assert!(fleet_state(&mut net, n, 0).running.is_empty(), "at {n}");
        let known = work_keys(&mut net, n, 0);
        assert_eq!(
            known,
            if n == 0 || replicas.contains(&n) { keys.clone() } else { BTreeSet::new() },
            "{n}"
        );
    }
    assert!(keys.len() >= 5, "{keys:?}");
    let rows = fleet_rows(&mut net, 0);
    assert_eq!(rows.get("work"), None, "{rows:?}");
    assert!(rows["balance"] <= 20 * 4, "{rows:?}");
    let regions: BTreeSet<usize> = replicas.iter().map(|n| MAP.region(*n)).collect();
    assert!(regions.contains(&1), "one lies in another region than 0: {replicas:?}");
}

#[test]
fn nothing_is_told_to_replicas_before_it_is_on_disk() {
    let mut net = fleet(4, 300);
    assert_eq!(net.fill(0, 0, 5).len(), 5);
    net.run(ms(200));
    net.node(0).disk_waits = true;
    assert_eq!(net.fill(0, 100, 5).len(), 5);
    net.run(ms(1_000));
    let replicas = replicas_of(&mut net, 0);
    for n in &replicas {
        assert_eq!(work_keys(&mut net, *n, 0), (0..5).collect());
    }
    net.node(0).disk_waits = false;
    net.run(ms(200));
    for n in &replicas {
        assert_eq!(work_keys(&mut net, *n, 0), (0..5).chain(100..105).collect());
    }
}

#[test]
fn what_was_lost_is_told_to_all_and_what_comes_again_stands_in_the_fleet_log() {
    let mut net = fleet(6, 300);
    let ran = net.fill(0, 0, 4);
    net.run(ms(300));
    hold(&mut net, 1, 1);
    ends(&mut net, 0, ran[0], true);
    ends(&mut net, 0, ran[1], false);
    net.run(ms(300));
    for n in 0..6 {
        let state = fleet_state(&mut net, n, 0);
        assert_eq!(state.displaced.keys().collect::<Vec<_>>(), [&0], "at {n}");
        assert!(state.running.is_empty());
    }
    assert!(net.add(3, 1).is_err(), "it ended for good");
    assert!(net.add(3, 2).is_err(), "it runs, and its scheduler is there");
    let again = net.add(3, 0).expect("it was lost");
    net.run(ms(300));
    for n in 0..6 {
        assert!(fleet_state(&mut net, n, 3).running.contains_key(&0), "at {n}");
        assert!(net.add(n, 0).is_err(), "at {n}: it has its place again");
    }
    ends(&mut net, 3, again, false);
    net.run(ms(300));
    assert!((0..6).all(|n| net.add(n, 0).is_err()), "it ended for good");
    assert_eq!(work_keys(&mut net, 0, 0), [2, 3].into());
}

// Members that die.

#[test]
fn what_ran_at_a_scheduler_that_died_is_announced_once_and_comes_again_anywhere() {
    let mut net = fleet(8, 600);
    assert_eq!(net.fill(0, 0, 40).len(), 40);
    hold(&mut net, 1, 1);
    assert!((1..8).all(|n| net.add(n, 1).is_err()), "it runs, and its scheduler is there");
    net.kill(0);
    net.run(ms(300));
    come_again(&mut net, &[1, 2, 3, 4, 5, 6, 7], 0..40);
    assert_eq!(announced_by(&mut net, 0).len(), 1);
    net.run(ms(1_000));
    assert!((1..8).all(|n| net.add(n, 3).is_err()), "it has its place again");
    // Nor later, as long as nothing new is to be told.
    net.run(Duration::from_secs(30));
    assert_eq!(announced_by(&mut net, 0).len(), 1);
}

#[test]
fn the_next_holder_announces_where_the_first_one_died_too() {
    let mut net = fleet(8, 600);
    assert_eq!(net.fill(0, 0, 10).len(), 10);
    net.run(ms(300));
    let first = replicas_of(&mut net, 0)[0];
    let at = (1..8).find(|n| *n != first).expect("there are more");
    hold(&mut net, at, 1);
    net.kill(first);
    net.kill(0);
    net.run(ms(4_000));
    let others: Vec<usize> = (1..8).filter(|n| *n != first).collect();
    come_again(&mut net, &others, 0..10);
}

#[test]
fn a_zone_that_dies_at_once_loses_no_work() {
    let mut net = fleet(12, 2_000);
    for n in 0..12 {
        assert_eq!(net.fill(n, 100 * n as u64, 10).len(), 10);
    }
    hold(&mut net, 0, 1);
    let dead: Vec<usize> = (0..12).filter(|n| MAP.zone(*n) == 1).collect();
    let alive: Vec<usize> = (0..12).filter(|n| MAP.zone(*n) != 1).collect();
    assert_eq!(dead.len(), 3);
    dead.iter().for_each(|n| drop(net.kill(*n)));
    let begun = net.now;
    net.run(ms(4_000));
    for n in &dead {
        come_again(&mut net, &alive, 100 * *n as u64..100 * *n as u64 + 10);
    }
    assert!(net.now - begun <= Duration::from_secs(5));
    net.run(ms(500));
    for n in &alive {
        assert!((100..110).all(|key| net.add(*n, key).is_err()), "{n}: each has one place");
    }
}

#[test]
fn a_replica_that_died_is_replaced_and_no_other_copy_moves() {
    let mut net = fleet(10, 600);
    assert_eq!(net.fill(0, 0, 10).len(), 10);
    net.run(ms(500));
    let before: Vec<Vec<usize>> = (0..10).map(|n| replicas_of(&mut net, n)).collect();
    let gone = before[0][0];
    net.kill(gone);
    net.run(Duration::from_secs(40));
    for n in (0..10).filter(|n| *n != gone) {
        let after = replicas_of(&mut net, n);
        let had = &before[n];
        if had.contains(&gone) {
            assert!(!after.contains(&gone) && after.len() == REPLICAS, "{n}: {after:?}");
        } else {
            assert_eq!(after, *had, "{n}");
        }
    }
    for n in replicas_of(&mut net, 0) {
        assert_eq!(work_keys(&mut net, n, 0), (0..10).collect(), "at {n}");
    }
}

/// One that is a replica no longer keeps its copy for a while; what it says is old.
#[test]
fn a_copy_that_is_written_no_more_hides_nothing_that_was_lost() {
    let mut net = fleet(6, 600);
    let ran = net.fill(0, 0, 3);
    net.run(ms(500));
    let before = replicas_of(&mut net, 0);
    let disk = net.kill(before[0]);
    net.run(Duration::from_secs(40));
    let meanwhile = replicas_of(&mut net, 0);
    net.start(before[0], disk);
    net.run(Duration::from_secs(5));
    assert_eq!(replicas_of(&mut net, 0), before);
    let stale = *meanwhile.iter().find(|n| !before.contains(n)).expect("another one stood in");
    assert_eq!(work_keys(&mut net, stale, 0), [0, 1, 2].into());
    hold(&mut net, before[0], 1);
    ends(&mut net, 0, ran[1], true);
    net.run(ms(300));
    assert!(net.add(stale, 1).is_ok(), "it was lost");
    assert!(holders(&net, 0).contains(&stale));
    net.run(Duration::from_secs(720));
    let mut holders_now = before;
    holders_now.sort_unstable();
    assert_eq!(holders(&net, 0), holders_now, "it lets go of it");
}

// Members that come back.

#[test]
fn one_that_comes_back_knows_its_work_by_its_store_by_an_older_one_and_by_its_replicas() {
    for store in ["kept", "older", "lost"] {
        let mut net = fleet(6, 600);
        assert_eq!(net.fill(0, 0, 5).len(), 5);
        net.run(ms(500));
        let older = net.node(0).disk.clone();
        assert_eq!(net.fill(0, 5, 15).len(), 15);
        hold(&mut net, 1, 1);
        let disk = net.kill(0);
        net.run(ms(300));
        assert_eq!(announced_by(&mut net, 0).len(), 1);
        net.start(
            0,
            match store {
                "kept" => disk,
                "older" => older,
                _ => Disk::new(),
            },
        );
        net.run(ms(2_500));
        assert_eq!(net.node(0).exchange.keeper().phase(), Phase::Writing, "{store}");
        assert_eq!(work_keys(&mut net, 0, 0), (0..20).collect(), "{store}");
        // Its machines hold twelve of them.
        let held: Vec<u64> = (0..12).collect();
        let tickets = adopts(&mut net, 0, &held);
        all_told(&mut net, 0);
        net.run(ms(500));
        assert_eq!(announced_by(&mut net, 0).len(), 0, "{store}: it is taken back");
        assert_eq!(work_keys(&mut net, 0, 0), (0..12).collect(), "{store}");
        assert!((1..6).all(|n| net.add(n, 3).is_err()), "{store}: it runs");
        come_again(&mut net, &[1, 2, 3, 4, 5], 12..20);
        tickets.into_iter().for_each(|ticket| ends(&mut net, 0, ticket, false));
        net.run(ms(300));
        assert!(work_keys(&mut net, 0, 0).is_empty());
        assert!((1..6).all(|n| net.add(n, 3).is_err()), "{store}: it ended for good");
        // The copies are of its present life.
        for n in replicas_of(&mut net, 0) {
            let logs = net.node(n).exchange.keeper().logs(LogKind::Work);
            assert_eq!(logs.logs().filter(|(id, _)| id.writer == name(0)).count(), 1, "{store}");
        }
    }
}

#[test]
fn what_ran_on_is_charged_for_the_time_that_nobody_counted() {
    let mut net = fleet(4, 3_000);
    assert_eq!(net.fill(0, 0, 10).len(), 10);
    net.run(ms(3_000));
    let begun = net.now;
    let disk = net.kill(0);
    net.run(Duration::from_secs(20));
    net.start(0, disk);
    net.run(ms(100));
    adopts(&mut net, 0, &(0..10).collect::<Vec<u64>>());
    all_told(&mut net, 0);
    net.run(ms(3_000));
    let spent = net.node(1).exchange.keeper().team_statuses()[1].spent;
    let cost = (net.now - begun).nanos() / 1_000_000 * 200 / 1_000 + 600;
    assert!(spent + 500 >= cost && spent <= cost + 500, "{spent} were charged, {cost} spent");
}

#[test]
fn what_came_again_while_its_scheduler_was_cut_off_is_known_to_run_at_both() {
    let mut net = fleet(6, 600);
    let ran = net.fill(0, 0, 2);
    net.run(ms(300));
    net.cut.extend((1..6).map(|n| (0, n)));
    net.run(Duration::from_secs(12));
    let again = net.add(3, 0).expect("its scheduler is silent, and a holder announced it");
    net.cut.clear();
    net.run(Duration::from_secs(8));
    // Crossed: now all know of both.
    for n in 0..6 {
        assert!(fleet_state(&mut net, n, 0).running.contains_key(&0), "at {n}");
        assert!(fleet_state(&mut net, n, 3).running.contains_key(&0), "at {n}");
    }
    assert_eq!(work_keys(&mut net, 0, 0), [1].into());
    hold(&mut net, 1, 1);
    ends(&mut net, 3, again, false);
    ends(&mut net, 0, ran[0], false);
    net.run(ms(300));
    assert!((0..6).all(|n| net.add(n, 0).is_err()), "it ended for good at both");
}

// Regions that lose each other.

#[test]
fn a_region_cut_off_for_an_hour_heals_within_bounds_and_nothing_is_added_beyond_the_cap() {
    cut_off_for_an_hour(Some(REPLICAS), 200_000);
}

/// As the form without work logs does. Met with this story: more small rows than one message holds went as
/// one piece, so that whoever had missed as many could never catch up.
#[test]
fn the_same_without_work_logs() {
    cut_off_for_an_hour(None, 400_000);
}

fn cut_off_for_an_hour(replicas: Option<usize>, most_bytes: u64) {
    const MANY: usize = 6;
    const WORKERS: u64 = 4_000;
    ask_for_replicas(replicas);
    let mut net = Net::over(MANY, cap_of(WORKERS), MAP, &[]);
    let across = |a: usize, b: usize| MAP.region(a) != MAP.region(b);
    let mut added = 0u64;
    let mut running: Vec<(usize, Timestamp, Ticket)> = Vec::new();
    let mut key = 0;
    let mut second = |net: &mut Net, busy: &[usize]| {
        for n in busy {
            key += 100;
            let new = net.add_many(*n, key, 2);
            added += new.len() as u64;
            running.extend(new.into_iter().map(|ticket| (*n, net.now, ticket)));
        }
        // Each runs for the ten seconds that it reserved.
        let now = net.now;
        let (over, on) = running.drain(..).partition(|(_, since, _)| now - *since >= Duration::from_secs(10));
        running = on;
        for (n, _, ticket) in over {
            ends(net, n, ticket, ticket.key.0 % 700 == 0);
        }
        net.run(ms(1_000));
        added
    };
    for _ in 0..20 {
        second(&mut net, &[0, 1, 4]);
    }
    for a in 0..MANY {
        net.cut.extend((a + 1..MANY).filter(|b| across(a, *b)).map(|b| (a, b)));
    }
    // Of each side one is idle at first and gives of its share.
    for _ in 0..1_200 {
        second(&mut net, &[0, 1, 4]);
    }
    net.order(0, Subject::Account("acme".into()), 1, DirectiveAction::Reinstate {});
    net.order(1, Subject::Team("pay".into()), 1, DirectiveAction::Cap { amount: cap_of(WORKERS) });
    for _ in 0..2_400 {
        second(&mut net, &[1, 2, 3]);
    }
    let far = if MAP.region(1) == 0 { 0 } else { 1 };
    assert!(net.all().iter().collect::<BTreeSet<_>>().len() >= 2, "the halves differ");
    assert_eq!(net.node(0).exchange.keeper().fleet_logs().directives().len(), 1);
    let before = net.bytes.clone();
    net.cut.clear();
    let healed = net.now;
    let mut busy = 0;
    let equal = |net: &mut Net| {
        let orders: Vec<usize> =
            (0..MANY).map(|n| net.node(n).exchange.keeper().fleet_logs().directives().len()).collect();
        orders.iter().all(|many| *many == 2) && net.all().iter().collect::<BTreeSet<_>>().len() == 1
    };
    while !equal(&mut net) {
        net.run(ms(50));
        busy += 1;
        assert!(busy < 20 * 30, "after 30 s they still differ");
    }
    let took = net.now - healed;
    let most = (0..MANY).map(|n| net.bytes[n] - before[n]).max().expect("there are some");
    assert!(most < most_bytes, "{most} bytes were written by one after the healing, in {took:?}");
    for _ in 0..60 {
        second(&mut net, &[0, 1, 2, 3, 4, 5]);
    }
    let added = second(&mut net, &[0]);
    let look = net.node(0).exchange.keeper().team_statuses()[1].clone();
    // Each cost what it reserved. Of the last part, running ones were paid when all was reserved.
    assert!(added * NEED <= cap_of(WORKERS), "{added} were added, {look:?}");
    assert!(look.spent <= cap_of(WORKERS) && look.overspent == 0, "{look:?}");
    assert!(added * 10 > WORKERS * 9, "{added} were added of {WORKERS}");
    for _ in 0..30 {
        second(&mut net, &[0, 1, 2, 3, 4, 5]);
    }
    assert_eq!(second(&mut net, &[0]), added, "all is spent");
    assert!(presence(&mut net, far, 2) != MemberState::Dead);
}

fn presence(net: &mut Net, n: usize, of: usize) -> MemberState {
    let now = net.now;
    net.node(n).exchange.keeper().membership.member_state(now, &name(of))
}

// Fleets of two forms.

#[test]
fn one_that_asks_for_no_replicas_reads_what_the_others_write() {
    ask_for_replicas(Some(REPLICAS));
    let mut net = Net::over(6, cap_of(600), MAP, &[]);
    let disk = net.kill(5);
    ask_for_replicas(None);
    net.start(5, disk);
    net.run(ms(2_500));
    assert!(!net.node(5).exchange.keeper().writes_work_log());
    assert!(
        (0..5).all(|n| net.node(n).exchange.keeper().writes_work_log()),
        "it declares that it reads work logs"
    );
    assert_eq!(net.fill(5, 500, 5).len(), 5);
    assert_eq!(net.fill(0, 0, 5).len(), 5);
    net.run(ms(500));
    assert_eq!(fleet_state(&mut net, 0, 5).running.len(), 5);
    hold(&mut net, 1, 1);
    net.kill(0);
    net.run(ms(5_000));
    come_again(&mut net, &[5], 0..5);
    net.kill(5);
    net.run(ms(300));
    come_again(&mut net, &[1, 2, 3, 4], 500..505);
}

#[test]
fn an_older_version_that_joins_learns_of_all_work_and_its_work_is_known() {
    let mut net = fleet(6, 900);
    for n in 0..6 {
        assert_eq!(net.fill(n, 100 * n as u64, 5).len(), 5);
    }
    // One dies and is announced before the older version comes, another one while it is there.
    hold(&mut net, 1, 1);
    net.kill(4);
    net.run(ms(3_000));
    let disk = net.kill(5);
    net.older.insert(5);
    net.start(5, disk);
    net.run(ms(4_000));
    assert_eq!(net.node(5).exchange.keeper().phase(), Phase::Writing);
    assert!((0..4).all(|n| !net.node(n).exchange.keeper().writes_work_log()), "all fall back");
    for n in 0..4 {
        let keys: BTreeSet<u64> = fleet_state(&mut net, 5, n).running.into_keys().collect();
        assert_eq!(keys, (100 * n as u64..100 * n as u64 + 5).collect());
        assert!(work_keys(&mut net, n, n).is_empty());
    }
    // What ran at the one that died, and in its own life before, which its version knows nothing of.
    come_again(&mut net, &[5], 400..405);
    come_again(&mut net, &[0, 1, 2, 5], 500..505);
    net.kill(0);
    net.run(ms(5_000));
    come_again(&mut net, &[5], 0..5);
    // What it adopts or adds is known to the others as before.
    net.kill(5);
    net.run(ms(5_000));
    come_again(&mut net, &[1, 2, 3], 0..5);
}

#[test]
fn while_an_older_version_is_known_nobody_begins_a_work_log() {
    ask_for_replicas(Some(REPLICAS));
    let mut net = Net::over(4, cap_of(300), MAP, &[3]);
    // Those that began before it was heard of fall back.
    net.run(ms(1_000));
    assert!((0..4).all(|n| !net.node(n).exchange.keeper().writes_work_log()));
    let disk = net.kill(0);
    net.start(0, disk);
    net.run(ms(2_500));
    assert!(!net.node(0).exchange.keeper().writes_work_log());
    assert_eq!(net.fill(0, 0, 5).len(), 5);
    net.run(ms(500));
    assert_eq!(fleet_state(&mut net, 3, 0).running.len(), 5);
}

/// From the older version to the newer one, to work logs, and all the way back, over each other's stores.
/// Each planner's machines hold four of its five workers when it comes back.
#[test]
fn a_roll_to_work_logs_and_back_loses_no_work() {
    const MANY: usize = 5;
    ask_for_replicas(None);
    let mut net = Net::over(MANY, cap_of(3_000), MAP, &[0, 1, 2, 3, 4]);
    let mut runs: Vec<BTreeMap<u64, Ticket>> = vec![BTreeMap::new(); MANY];
    let mut key = 0;
    for (n, runs) in runs.iter_mut().enumerate() {
        let tickets = net.fill(n, 1_000 * (n as u64 + 1), 5);
        runs.extend(tickets.into_iter().map(|ticket| (ticket.key.0, ticket)));
    }
    let mut number = 0;
    let acme = || Subject::Account("acme".into());
    for (form, older, replicas) in
        [("reads", false, None), ("work logs", false, Some(2)), ("reads", false, None), ("older", true, None)]
    {
        ask_for_replicas(replicas);
        for (n, runs) in runs.iter_mut().enumerate() {
            number += 1;
            let other = (n + 1) % MANY;
            net.run(ms(300));
            net.order(other, acme(), number, DirectiveAction::Suspend { finish_by: None });
            net.run(ms(300));
            let disk = net.kill(n);
            net.run(ms(400));
            if older {
                net.older.insert(n);
            } else {
                net.older.remove(&n);
            }
            net.start(n, disk);
            net.run(ms(2_500));
            assert_eq!(net.node(n).exchange.keeper().phase(), Phase::Writing, "{form} {n}");
            let keys: Vec<u64> = runs.keys().copied().collect();
            let (lost, held) = keys.split_first().expect("five run");
            *runs = held.iter().copied().zip(adopts(&mut net, n, held)).collect();
            all_told(&mut net, n);
            net.run(ms(500));
            assert!(net.add(other, held[0]).is_err(), "{form} {n}: it runs");
            let again = net.add(other, *lost).unwrap_or_else(|_| panic!("{form} {n}: {lost} was lost"));
            net.run(ms(300));
            ends(&mut net, other, again, false);
            number += 1;
            net.order(other, acme(), number, DirectiveAction::Reinstate {});
            net.run(ms(300));
            key += 10;
            let new = net.fill(n, 100_000 + key, 1)[0];
            runs.insert(new.key.0, new);
        }
        let is_split: Vec<bool> =
            (0..MANY).map(|n| net.node(n).exchange.keeper().writes_work_log()).collect();
        assert_eq!(is_split, vec![replicas.is_some(); MANY], "{form}");
    }
    // At the end all die but one.
    number += 1;
    net.order(0, acme(), number, DirectiveAction::Suspend { finish_by: None });
    net.run(ms(500));
    (1..MANY).for_each(|n| drop(net.kill(n)));
    net.run(ms(4_000));
    for runs in &runs[1..] {
        come_again(&mut net, &[0], runs.keys().copied());
    }
}

// Peers that speak wrongly.

/// The copy of a work log that somebody holds: its column, its rows, and the digest before each.
fn copy(net: &mut Net, n: usize, of: usize) -> (LogId, Vec<(u64, Digest, Vec<u8>)>) {
    let disk = &net.node(n).disk;
    let rows = disk.iter().filter(|((kind, id, _), _)| *kind == LogKind::Work && id.writer == name(of));
    let rows: Vec<_> = rows.collect();
    let ((_, id, _), _) = rows.last().expect("it holds a copy");
    let rows = rows.iter().map(|((.., number), (before, bytes))| (*number, *before, bytes.clone()));
    (id.clone(), rows.collect())
}

fn tip<'a>(id: &'a LogId, number: u64, digest: &'a [u8]) -> protocol::Tip<'a> {
    protocol::Tip { writer: &id.writer, life: id.incarnation, number, digest }
}

fn tells<'a>(tips: Vec<protocol::Tip<'a>>) -> Message<'a> {
    Message::Tips { all: &[7; 16], tips, beats: vec![], whole: true, log: Some(SideLog::Work) }
}

#[test]
fn peers_that_lie_about_work_logs_are_cut_off_alone() {
    let digest = &[9; 16][..];
    let other = LogId { writer: "s2".into(), incarnation: 3 };
    let mut net = fleet(4, 300);
    let ours = net.node(0).exchange.keeper().fleet_logs().own_id().clone();
    let keys = |net: &mut Net| (0..4).map(|n| work_keys(net, n, n)).collect::<Vec<_>>();
    assert_eq!(net.fill(0, 0, 3).len(), 3);
    net.run(ms(300));
    let before = keys(&mut net);
    // The log of a third, which nobody has to be asked for.
    net.stranger_says(0, "s1", &[tells(vec![tip(&other, 9, digest)])]);
    net.run(ms(100));
    assert!(net.stranger_is_cut_off(), "it tells of another's work log");
    assert_eq!(net.node(0).exchange.figures().bad, 1);
    // More rows of ours than we wrote, and then some of them.
    net.run(ms(6_000));
    net.stranger_says(0, "s3", &[tells(vec![tip(&ours, 999, digest)])]);
    net.run(ms(100));
    let row = Entry::Ended { at: 1, work: vec![(0, false)] }.bytes();
    let rows = |id: &LogId, after, digest| Message::Rows {
        writer: Box::leak(id.writer.to_string().into_boxed_str()),
        life: id.incarnation,
        after,
        digest,
        rows: vec![protocol::RowBytes(&row)],
        skip: 0,
        rest: 0,
        log: Some(SideLog::Work),
    };
    net.stranger_says(0, "s3", &[rows(&ours, 9, digest)]);
    net.run(ms(100));
    assert!(net.stranger_is_cut_off(), "it writes our log");
    assert_eq!(keys(&mut net), before);
    // Of its own log, rows that don't chain.
    net.run(ms(6_000));
    let holder = replicas_of(&mut net, 0)[0];
    let (id, kept) = copy(&mut net, holder, 0);
    let last = kept.last().expect("it holds some").0;
    net.stranger_says(holder, "s0", &[tells(vec![tip(&id, last + 5, digest)])]);
    net.run(ms(2_500));
    net.stranger_says(holder, "s0", &[rows(&id, last, digest)]);
    net.run(ms(100));
    assert!(net.stranger_is_cut_off(), "its rows don't chain");
    assert_eq!(work_keys(&mut net, holder, 0), (0..3).collect());
    net.run(ms(6_000));
    assert_eq!(net.fill(0, 50, 2).len(), 2, "the others go on");
    net.run(ms(500));
    assert_eq!(work_keys(&mut net, holder, 0), [0, 1, 2, 50, 51].into());
}

#[test]
fn a_work_log_that_forks_is_told_and_the_first_branch_stays() {
    let mut net = fleet(4, 300);
    assert_eq!(net.fill(0, 0, 3).len(), 3);
    net.run(ms(300));
    let holder = replicas_of(&mut net, 0)[0];
    let (id, kept) = copy(&mut net, holder, 0);
    let (number, before, _) = kept.last().expect("it holds some").clone();
    let row = Entry::Ended { at: 1, work: vec![(0, false)] }.bytes();
    let digest = before.after(number, &row);
    let rows = Message::Rows {
        writer: &id.writer,
        life: id.incarnation,
        after: number - 1,
        digest: &before.0,
        rows: vec![protocol::RowBytes(&row)],
        skip: 0,
        rest: 0,
        log: Some(SideLog::Work),
    };
    net.stranger_says(holder, "s0", &[tells(vec![tip(&id, number, &digest.0)])]);
    net.stranger_says(holder, "s0", &[rows]);
    net.run(ms(1_500));
    assert_eq!(net.node(holder).exchange.figures().forks, 1);
    assert_eq!(work_keys(&mut net, holder, 0), (0..3).collect());
    let now = net.now;
    let status = net.node(holder).teller.status(now);
    assert!(
        status.iter().any(|line| line.contains("work log s0") && line.contains("HAS FORKED")),
        "{status:?}"
    );
}

#[test]
fn the_status_tells_who_holds_what() {
    let mut net = fleet(4, 300);
    assert_eq!(net.fill(0, 0, 3).len(), 3);
    net.run(ms(2_500));
    let now = net.now;
    let status = net.node(0).teller.status(now);
    assert!(
        status.iter().any(|line| line.starts_with("work log: replicas 2 of 2, copies held of")),
        "{status:?}"
    );
}
