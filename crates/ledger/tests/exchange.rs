//! The exchange between several schedulers, with faults between them.

#![cfg(not(feature = "explored"))]

mod network;

use mulleinhub_interface::{Duration, Quota, Resources, TaskKey};
use mulleinhub_protocol::{self as protocol, Message};
use mulleinhub_quota::Phase;
use mulleinhub_replicated_log::{Balance, Digest, DirectiveAction, Entry, LogId, MemberState, Subject};
use network::*;
use std::collections::BTreeMap;

/// New workers may use nine tenths of the cap; each reserves this much.
const RESERVATION: u64 = 200;

fn cap_for(workers: u64) -> u64 {
    workers * RESERVATION * 10 / 9
}

fn member_state(network: &mut Network, n: usize, of: usize) -> MemberState {
    let now = network.now;
    network.node(n).exchange.ledger().membership.member_state(now, &name(of))
}

#[test]
fn busy_scheduler_uses_idle_shares_up_to_the_cap() {
    let mut network = Network::new(3, cap_for(300));
    let mut added = 0;
    for round in 0..60 {
        added += network.add_many(0, round * 100, 20).len();
        network.run(ms(200));
    }
    // Running tasks are paid from the same part: two seconds' worth is spent meanwhile.
    assert!((200..=300).contains(&added), "{added} of 300 were added");
    let spent = network.node(0).exchange.ledger().team_statuses()[1].spent;
    let left: u64 = (0..3).map(|n| network.node(n).exchange.ledger().team_statuses()[1].free.open).sum();
    assert!(left * 100 < cap_for(300), "{left} is left in shares, {spent} spent");
    let share_requests = network.message_counts["share-ask"];
    assert!(share_requests < 40, "{share_requests} share requests");
}

#[test]
fn nearly_spent_cap_causes_few_share_requests_and_no_overshoot() {
    let mut network = Network::new(5, cap_for(100));
    let mut added = 0;
    for round in 0..100u64 {
        for n in 0..5 {
            added += network.add_many(n, round * 1_000 + n as u64 * 100, 4).len();
        }
        network.run(STEP);
    }
    network.run(ms(2_000));
    assert!((60..=100).contains(&added), "{added} of 100 were added");
    let share_requests = network.message_counts["share-ask"];
    assert!(share_requests <= 5 * 12, "2,000 requests of clients made {share_requests} share requests");
}

#[test]
fn quota_transfer_is_announced_only_once_durable() {
    let mut network = Network::new(2, cap_for(100));
    network.node(1).disk_blocked = true;
    assert_eq!(network.fill(0, 0, 46).len(), 46, "its own half");
    network.run(ms(600));
    assert!(network.message_counts.contains_key("share-ask"), "it runs out");
    assert!(!network.message_counts.contains_key("share-given"), "the other's disk is held up");
    let got = |network: &mut Network| {
        network.node(0).exchange.ledger().fleet_logs().transferred_in(&name(0), 0, &"pay".into(), 24_321)
    };
    assert_eq!(got(&mut network).open, 0);
    // On disk, and killed before it is announced.
    network.partitioned.insert((0, 1));
    network.node(1).disk_blocked = false;
    network.run(ms(50));
    let disk = network.kill(1);
    network.partitioned.clear();
    network.run(ms(300));
    assert_eq!(got(&mut network).open, 0);
    network.start(1, disk);
    network.run(ms(2_000));
    assert!(got(&mut network).open > 0, "its log contains the transfer");
    let all = network.heads_digests();
    assert_eq!(all[0], all[1]);
}

#[test]
fn restart_keeps_share_with_store_and_voids_it_without() {
    for keeps in [true, false] {
        let mut network = Network::new(3, cap_for(300));
        assert_eq!(network.fill(2, 0, 5).len(), 5);
        network.run(ms(1_500));
        let disk = network.kill(2);
        network.run(ms(500));
        network.start(2, if keeps { disk } else { BTreeMap::new() });
        network.run(ms(1_500));
        assert_eq!(network.node(2).exchange.ledger().phase(), Phase::Writing);
        let status = network.node(2).exchange.ledger().team_statuses()[1].clone();
        let free = status.free.open + status.available.open;
        assert_eq!(free > 10_000, keeps, "{status:?}");
        // Either way it can admit: by quota transfers where it has nothing itself.
        assert_eq!(network.fill(2, 200, 5).len(), 5, "keeps its store: {keeps}");
    }
}

#[test]
fn isolated_restart_with_old_store_admits_nothing() {
    let mut network = Network::new(3, cap_for(300));
    network.run(ms(500));
    let old = network.node(0).disk.clone();
    assert_eq!(network.fill(0, 0, 60).len(), 60);
    network.run(ms(1_500));
    network.kill(0);
    network.partitioned.extend([(0, 1), (0, 2)]);
    network.start(0, old);
    network.run(ms(20_000));
    assert_eq!(network.node(0).exchange.ledger().phase(), Phase::CatchingUp);
    assert!(network.add_many(0, 1_000, 10).is_empty());
    // Once healed, it learns that its store is old: its former share counts as spent.
    network.partitioned.clear();
    network.run(ms(6_000));
    assert_eq!(network.node(0).exchange.ledger().phase(), Phase::Writing);
    let status = network.node(0).exchange.ledger().team_statuses()[1].clone();
    let incarnation = network.node(0).exchange.ledger().incarnation();
    let got = network.node(0).exchange.ledger().fleet_logs().transferred_in(
        &name(0),
        incarnation,
        &"pay".into(),
        24_321,
    );
    assert!(status.free.open + status.available.open <= got.open, "{status:?}, transfers {got:?}");
}

#[test]
fn partitioned_scheduler_spends_only_its_share() {
    let mut network = Network::new(3, cap_for(300));
    network.partitioned.extend([(0, 1), (0, 2)]);
    network.run(ms(20_000));
    assert_eq!(member_state(&mut network, 0, 1), MemberState::Dead);
    let added = network.fill(0, 0, 200).len();
    assert!((80..=100).contains(&added), "a third of 300: {added}");
    assert!(network.node(0).exchange.is_alone());
}

#[test]
fn long_partition_heals() {
    let mut network = Network::new(24, cap_for(300));
    let across = |(a, b): &(usize, usize)| a % 2 != b % 2;
    let pairs = (0..24).flat_map(|a| (a + 1..24).map(move |b| (a, b)));
    network.partitioned.extend(pairs.filter(across));
    network.run(Duration::from_secs(60));
    assert_eq!(member_state(&mut network, 0, 1), MemberState::Dead);
    assert_eq!(network.fill(0, 0, 5).len(), 5);
    network.partitioned.clear();
    network.run(Duration::from_secs(30));
    for n in 0..24 {
        assert!(
            (0..24).filter(|of| *of != n).all(|of| member_state(&mut network, n, of) != MemberState::Dead),
            "{n}"
        );
    }
    let log_store = network.node(1).exchange.ledger().fleet_logs();
    assert!(log_store.balance(&name(0), &"pay".into(), 24_321).reserved.open > 0);
}

#[test]
fn tasks_of_dead_scheduler_are_readmitted_and_unknown_tasks_are_not() {
    let mut network = Network::new(3, cap_for(30));
    let ran = network.fill(0, 7, 1)[0];
    network.run(ms(500));
    (1..3).for_each(|n| drop(network.fill(n, 100 * n as u64, 60)));
    network.run(ms(3_000));
    (1..3).for_each(|n| drop(network.fill(n, 1_000 * n as u64, 60)));
    assert!(network.add(1, 7).is_err(), "it runs, and its scheduler is there");
    network.kill(0);
    network.run(ms(500));
    assert!(network.add(1, 8).is_err(), "nobody knows of it");
    let readmitted = network.add(1, 7).expect("it ran");
    assert_eq!((readmitted.key, readmitted.rate), (ran.key, ran.rate));
    network.run(ms(500));
    assert!(network.add(2, 7).is_err(), "it was readmitted already");
}

#[test]
fn suspension_spreads_and_admitted_tasks_are_readmitted_anywhere() {
    let mut network = Network::new(4, cap_for(400));
    let acme = || Subject::Account("acme".into());
    network.fill(3, 1, 1);
    network.run(ms(300));
    let now = network.now;
    let resources = Resources::new(2.0, 1.0);
    let taken =
        network.node(3).admission.admit(now, "pay/tool", TaskKey(50), resources, 0.5).expect("there is room");
    network.apply_directive(0, acme(), 1, DirectiveAction::Suspend { finish_by: None });
    network.run(ms(400));
    for n in 0..4 {
        assert!(network.add(n, 60 + n as u64).is_err(), "scheduler {n}");
        let now = network.now;
        let free = network.node(n).admission.admit(now, "free/tool", TaskKey(70), resources, 0.5);
        assert!(free.is_err(), "a team of the same account, without a cap");
        assert_eq!(network.node(n).admission.admit(now, "other", TaskKey(80), resources, 0.5), Ok(None));
    }
    // It could not be placed, and its client submits it to another scheduler.
    network.node(3).admission.on_never_ran(now, taken.expect("its tenant is of a team"));
    assert_eq!(network.fill(1, 50, 1).len(), 1);
    network.apply_directive(2, acme(), 2, DirectiveAction::Reinstate {});
    network.run(ms(400));
    assert_eq!(network.fill(3, 90, 1).len(), 1);
}

#[test]
fn conflicting_directives_converge_to_the_strictest() {
    let mut network = Network::new(3, cap_for(300));
    let acme = || Subject::Account("acme".into());
    network.partitioned.extend([(0, 1), (0, 2), (1, 2)]);
    network.run(ms(100));
    network.apply_directive(0, acme(), 1, DirectiveAction::Suspend { finish_by: None });
    network.apply_directive(1, acme(), 2, DirectiveAction::Reinstate {});
    network.apply_directive(2, acme(), 2, DirectiveAction::Suspend { finish_by: Some(9_999_999_999) });
    network.run(ms(500));
    assert_eq!(network.fill(1, 1, 1).len(), 1, "it knows of the clearing alone");
    network.partitioned.clear();
    network.run(ms(8_000));
    for n in 0..3 {
        assert!(network.add(n, 10 + n as u64).is_err(), "of one number the stricter holds");
        assert!(network.node(n).exchange.ledger().team_statuses()[1].directives_differ);
    }
    network.apply_directive(1, acme(), 3, DirectiveAction::Reinstate {});
    network.run(ms(500));
    assert!((0..3).all(|n| network.fill(n, 20 + n as u64, 1).len() == 1));
    assert!(!network.node(0).exchange.ledger().team_statuses()[1].directives_differ);
}

#[test]
fn lowered_cap_includes_earlier_reservations() {
    let mut network = Network::new(3, cap_for(300));
    assert_eq!(network.fill(0, 0, 90).len(), 90);
    network.run(ms(500));
    // Of 120 now, 90 are there: 30 more, less what runs costs.
    network.apply_directive(1, Subject::Team("pay".into()), 1, DirectiveAction::Cap { amount: cap_for(120) });
    network.run(ms(1_000));
    let mut added = 0;
    for round in 0..20 {
        (0..3).for_each(|n| added += network.add_many(n, round * 1_000 + 100 * n as u64, 10).len());
        network.run(ms(100));
    }
    assert!(added <= 30, "{added} more were added");
}

#[test]
fn process_pause_across_suspension_admits_nothing() {
    let mut network = Network::new(2, cap_for(300));
    network.apply_directive(
        0,
        Subject::Account("acme".into()),
        1,
        DirectiveAction::Suspend { finish_by: None },
    );
    // The other process is paused from before the directive until ten seconds later.
    for _ in 0..1_000 {
        network.now = network.now + STEP;
        network.poll(0);
    }
    assert!(network.add(1, 1).is_err(), "before anything was read");
    network.poll(1);
    assert!(network.add(1, 2).is_err(), "and after its first turn");
    network.run(ms(1_000));
    assert!(network.add(1, 3).is_err(), "as it knows by then");
}

#[test]
fn month_end_renews_shares_and_charges_each_second_once() {
    let mut network = Network::new(2, cap_for(40));
    // Ten seconds before the month's end.
    network.utc_offset_ms = 1_793_491_200_000 - 1_792_022_400_000 - 10_000 - network.now.nanos() / 1_000_000;
    network.run(ms(300));
    let ran = network.fill(0, 0, 10);
    network.run(ms(2_000));
    let more: Vec<_> = (0..2).map(|n| network.fill(n, 100 * (1 + n as u64), 40)).collect();
    assert!(network.add(0, 999).is_err(), "this month is spent");
    let now = network.now;
    for (n, ticket) in more.iter().enumerate().flat_map(|(n, all)| all.iter().map(move |t| (n, *t))) {
        network.node(n).admission.on_ended(now, ticket, false);
    }
    network.run(ms(8_000));
    assert_eq!(network.fill(0, 1_000, 1).len(), 1, "the next one isn't");
    network.run(ms(2_000));
    let charged = |network: &mut Network, month| {
        let log_store = network.node(1).exchange.ledger().fleet_logs();
        (0..2).map(|n| log_store.balance(&name(n), &"pay".into(), month).spent).sum::<u64>()
    };
    let (old, new) = (charged(&mut network, 24_321), charged(&mut network, 24_322));
    // Ten run on, at 20 a second each: what the second month was charged is what they cost since it began.
    let since =
        (network.now.nanos() / 1_000_000 + network.utc_offset_ms + 1_792_022_400_000) - 1_793_491_200_000;
    assert_eq!(ran.len(), 10);
    let cost = since * 200 / 1_000;
    assert!(new <= cost + 20 && new + 220 >= cost, "{new} were charged, {cost} spent");
    assert!((9 * 200..=8_000).contains(&old), "{old}");
}

// Faulty peers.

fn heads_digest(network: &mut Network, n: usize) -> Digest {
    network.node(n).exchange.ledger().fleet_logs().heads_digest()
}

#[test]
fn faulty_peers_are_disconnected_and_change_nothing() {
    let digest = &[9; 16][..];
    let row = Entry::Balance {
        team: "pay".into(),
        month: 24_321,
        balance: Balance { spent: 1, ..Balance::default() },
    };
    let row = row.bytes();
    let first = Digest::first(&LogId { writer: "s1".into(), incarnation: 99 });
    let want = |life| Message::Want { writer: "s1", life, after: 0, digest, skip: 0, log: None };
    let lies: Vec<(&str, Vec<Message<'_>>)> = vec![
        ("nobody", vec![]),
        ("s0", vec![]),
        ("s1", vec![Message::Taken { task: 1 }]),
        ("s1", vec![Message::hello(protocol::Conversation::PlannerPlanner, 7, "s1", 1, 0)]),
        ("s1", vec![Message::Welcome { version: 1, features: 7, name: "s1", life: 1, silence: None }]),
    ];
    for (who, messages) in lies {
        let mut network = Network::new(3, cap_for(30));
        let before = heads_digest(&mut network, 0);
        network.intruder_sends(0, who, &messages);
        network.run(ms(100));
        assert!(network.intruder_is_disconnected(), "{who}: {messages:?}");
        assert_eq!(network.node(0).exchange.counters().protocol_errors, 1);
        assert_eq!(heads_digest(&mut network, 0), before);
        network.run(ms(3_000));
        assert_eq!(network.fill(0, 0, 3).len(), 3, "the others go on");
    }
    // Entries that were not requested, or that don't follow, change nothing.
    let mut network = Network::new(3, cap_for(30));
    let before = heads_digest(&mut network, 0);
    let rows = |life, after, digest| Message::Rows {
        writer: "s1",
        life,
        after,
        digest,
        rows: vec![protocol::RowBytes(&row)],
        skip: 0,
        rest: 0,
        log: None,
    };
    network.intruder_sends(0, "s1", &[rows(99, 0, &first.0), want(99), want(2)]);
    network.run(ms(100));
    assert_eq!(heads_digest(&mut network, 0), before);
    // It announces more entries of a log than there are, gets a request, and sends entries that don't chain.
    let head_announcement = protocol::Tip { writer: "s1", life: 2, number: 9_999, digest };
    network.intruder_sends(
        0,
        "s1",
        &[Message::Tips {
            all: digest,
            tips: vec![head_announcement],
            beats: vec![],
            whole: true,
            log: None,
        }],
    );
    network.run(ms(2_500));
    assert!(!network.intruder_is_disconnected());
    network.intruder_sends(0, "s1", &[rows(2, 0, digest)]);
    network.run(ms(100));
    assert!(network.intruder_is_disconnected(), "its rows don't chain");
    assert_eq!(heads_digest(&mut network, 0), heads_digest(&mut network, 2));
}

#[test]
fn invalid_and_excessive_frames_do_not_affect_others() {
    let mut network = Network::new(3, cap_for(300));
    network.intruder_sends(0, "s1", &[]);
    network.intruder_writes(0, &[0xff; 64]);
    network.run(ms(100));
    assert!(network.intruder_is_disconnected());
    network.run(ms(6_000));
    let ping = vec![Message::Ping { nonce: 1 }; 20_000];
    network.intruder_sends(0, "s2", &ping);
    let started = network.now;
    network.apply_directive(
        1,
        Subject::Account("acme".into()),
        1,
        DirectiveAction::Suspend { finish_by: None },
    );
    network.run(ms(300));
    assert!(
        network.add(0, 1).is_err(),
        "the order is heard beside the flood, {:?} later",
        network.now - started
    );
}

#[test]
fn heartbeats_arrive_through_other_members() {
    let mut network = Network::new(4, cap_for(30));
    network.partitioned.insert((0, 1));
    network.run(Duration::from_secs(20));
    assert_eq!(member_state(&mut network, 0, 1), MemberState::Alive);
    network.kill(1);
    network.run(Duration::from_secs(30));
    assert_eq!(member_state(&mut network, 0, 1), MemberState::Dead);
}

/// The same scenarios where each scheduler has a work log with two replicas.
mod with_work_logs {
    use crate::network::with_replica_count;

    macro_rules! repeat_with_work_logs {
        ($($scenario:ident)*) => {
            $(
                #[test]
                fn $scenario() {
                    with_replica_count(2, super::$scenario);
                }
            )*
        };
    }

    repeat_with_work_logs! {
        long_partition_heals
        busy_scheduler_uses_idle_shares_up_to_the_cap
        nearly_spent_cap_causes_few_share_requests_and_no_overshoot
        quota_transfer_is_announced_only_once_durable
        restart_keeps_share_with_store_and_voids_it_without
        isolated_restart_with_old_store_admits_nothing
        partitioned_scheduler_spends_only_its_share
        tasks_of_dead_scheduler_are_readmitted_and_unknown_tasks_are_not
        suspension_spreads_and_admitted_tasks_are_readmitted_anywhere
        conflicting_directives_converge_to_the_strictest
        lowered_cap_includes_earlier_reservations
        process_pause_across_suspension_admits_nothing
        month_end_renews_shares_and_charges_each_second_once
        faulty_peers_are_disconnected_and_change_nothing
        invalid_and_excessive_frames_do_not_affect_others
        heartbeats_arrive_through_other_members
    }
}
