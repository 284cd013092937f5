//! Several schedulers' books, with faults between them, as short stories.

#![cfg(not(feature = "explored"))]

mod net;

use mulleinhub_interface::{Duration, Quota, Resources, TaskKey};
use mulleinhub_protocol::{self as protocol, Message};
use mulleinhub_quota::Phase;
use mulleinhub_replicated_log::{Balance, Digest, DirectiveAction, Entry, LogId, MemberState, Subject};
use net::*;
use std::collections::BTreeMap;

/// New workers may use nine tenths of the cap; each reserves this.
const NEED: u64 = 200;

fn cap_of(workers: u64) -> u64 {
    workers * NEED * 10 / 9
}

fn presence(net: &mut Net, n: usize, of: usize) -> MemberState {
    let now = net.now;
    net.node(n).exchange.keeper().membership.member_state(now, &name(of))
}

#[test]
fn a_busy_one_gets_the_shares_of_idle_ones_and_all_together_stop_at_the_cap() {
    let mut net = Net::new(3, cap_of(300));
    let mut added = 0;
    for round in 0..60 {
        added += net.add_many(0, round * 100, 20).len();
        net.run(ms(200));
    }
    // What runs is paid out of the same part: two seconds' worth is spent on the way.
    assert!((200..=300).contains(&added), "{added} of 300 were added");
    let spent = net.node(0).exchange.keeper().team_statuses()[1].spent;
    let left: u64 = (0..3).map(|n| net.node(n).exchange.keeper().team_statuses()[1].free.open).sum();
    assert!(left * 100 < cap_of(300), "{left} is left in shares, {spent} spent");
    let asks = net.counted["share-ask"];
    assert!(asks < 40, "{asks} asks for parts of shares");
}

#[test]
fn two_thousand_asks_at_all_schedulers_with_little_left_make_few_questions_and_no_overshoot() {
    let mut net = Net::new(5, cap_of(100));
    let mut added = 0;
    for round in 0..100u64 {
        for n in 0..5 {
            added += net.add_many(n, round * 1_000 + n as u64 * 100, 4).len();
        }
        net.run(STEP);
    }
    net.run(ms(2_000));
    assert!((60..=100).contains(&added), "{added} of 100 were added");
    let asks = net.counted["share-ask"];
    assert!(asks <= 5 * 12, "2,000 asks of owners made {asks} questions");
}

#[test]
fn a_gift_is_told_only_once_it_is_on_disk_and_one_that_was_not_told_is_found_on_the_way_back() {
    let mut net = Net::new(2, cap_of(100));
    net.node(1).disk_waits = true;
    assert_eq!(net.fill(0, 0, 46).len(), 46, "its own half");
    net.run(ms(600));
    assert!(net.counted.contains_key("share-ask"), "it runs out");
    assert!(!net.counted.contains_key("share-given"), "the other's disk is held up");
    let got = |net: &mut Net| {
        net.node(0).exchange.keeper().fleet_logs().transferred_in(&name(0), 0, &"pay".into(), 24_321)
    };
    assert_eq!(got(&mut net).open, 0);
    // On disk, and killed before it is told.
    net.cut.insert((0, 1));
    net.node(1).disk_waits = false;
    net.run(ms(50));
    let disk = net.kill(1);
    net.cut.clear();
    net.run(ms(300));
    assert_eq!(got(&mut net).open, 0);
    net.start(1, disk);
    net.run(ms(2_000));
    assert!(got(&mut net).open > 0, "its column tells of the gift");
    let all = net.all();
    assert_eq!(all[0], all[1]);
}

#[test]
fn who_comes_back_with_its_store_goes_on_and_without_it_uses_nothing_of_its_old_share() {
    for keeps in [true, false] {
        let mut net = Net::new(3, cap_of(300));
        assert_eq!(net.fill(2, 0, 5).len(), 5);
        net.run(ms(1_500));
        let disk = net.kill(2);
        net.run(ms(500));
        net.start(2, if keeps { disk } else { BTreeMap::new() });
        net.run(ms(1_500));
        assert_eq!(net.node(2).exchange.keeper().phase(), Phase::Writing);
        let look = net.node(2).exchange.keeper().team_statuses()[1].clone();
        let free = look.free.open + look.available.open;
        assert_eq!(free > 10_000, keeps, "{look:?}");
        // Either way it can add: by gifts where it has nothing itself.
        assert_eq!(net.fill(2, 200, 5).len(), 5, "keeps its store: {keeps}");
    }
}

#[test]
fn one_that_comes_back_and_hears_nobody_adds_nothing_however_old_its_store_is() {
    let mut net = Net::new(3, cap_of(300));
    net.run(ms(500));
    let old = net.node(0).disk.clone();
    assert_eq!(net.fill(0, 0, 60).len(), 60);
    net.run(ms(1_500));
    net.kill(0);
    net.cut.extend([(0, 1), (0, 2)]);
    net.start(0, old);
    net.run(ms(20_000));
    assert_eq!(net.node(0).exchange.keeper().phase(), Phase::CatchingUp);
    assert!(net.add_many(0, 1_000, 10).is_empty());
    // Healed, it learns that its store is old: what it had is spent, as far as anybody knows.
    net.cut.clear();
    net.run(ms(6_000));
    assert_eq!(net.node(0).exchange.keeper().phase(), Phase::Writing);
    let look = net.node(0).exchange.keeper().team_statuses()[1].clone();
    let life = net.node(0).exchange.keeper().incarnation();
    let got =
        net.node(0).exchange.keeper().fleet_logs().transferred_in(&name(0), life, &"pay".into(), 24_321);
    assert!(look.free.open + look.available.open <= got.open, "{look:?}, gifts {got:?}");
}

#[test]
fn a_scheduler_that_is_cut_off_goes_on_with_its_share_and_no_further() {
    let mut net = Net::new(3, cap_of(300));
    net.cut.extend([(0, 1), (0, 2)]);
    net.run(ms(20_000));
    assert_eq!(presence(&mut net, 0, 1), MemberState::Dead);
    let added = net.fill(0, 0, 200).len();
    assert!((80..=100).contains(&added), "a third of 300: {added}");
    assert!(net.node(0).exchange.is_alone());
}

#[test]
fn halves_that_lost_each_other_for_long_meet_again() {
    let mut net = Net::new(24, cap_of(300));
    let across = |(a, b): &(usize, usize)| a % 2 != b % 2;
    let pairs = (0..24).flat_map(|a| (a + 1..24).map(move |b| (a, b)));
    net.cut.extend(pairs.filter(across));
    net.run(Duration::from_secs(60));
    assert_eq!(presence(&mut net, 0, 1), MemberState::Dead);
    assert_eq!(net.fill(0, 0, 5).len(), 5);
    net.cut.clear();
    net.run(Duration::from_secs(30));
    for n in 0..24 {
        assert!(
            (0..24).filter(|of| *of != n).all(|of| presence(&mut net, n, of) != MemberState::Dead),
            "{n}"
        );
    }
    let library = net.node(1).exchange.keeper().fleet_logs();
    assert!(library.balance(&name(0), &"pay".into(), 24_321).reserved.open > 0);
}

#[test]
fn what_ran_at_a_scheduler_that_died_comes_again_elsewhere_and_a_mere_word_does_not() {
    let mut net = Net::new(3, cap_of(30));
    let ran = net.fill(0, 7, 1)[0];
    net.run(ms(500));
    (1..3).for_each(|n| drop(net.fill(n, 100 * n as u64, 60)));
    net.run(ms(3_000));
    (1..3).for_each(|n| drop(net.fill(n, 1_000 * n as u64, 60)));
    assert!(net.add(1, 7).is_err(), "it runs, and its scheduler is there");
    net.kill(0);
    net.run(ms(500));
    assert!(net.add(1, 8).is_err(), "nobody knows of it");
    let again = net.add(1, 7).expect("it ran");
    assert_eq!((again.key, again.rate), (ran.key, ran.rate));
    net.run(ms(500));
    assert!(net.add(2, 7).is_err(), "it has its place again");
}

#[test]
fn an_account_is_held_everywhere_within_moments_and_what_was_taken_comes_again_anywhere() {
    let mut net = Net::new(4, cap_of(400));
    let acme = || Subject::Account("acme".into());
    net.fill(3, 1, 1);
    net.run(ms(300));
    let now = net.now;
    let room = Resources::new(2.0, 1.0);
    let taken = net.node(3).teller.admit(now, "pay/tool", TaskKey(50), room, 0.5).expect("there is room");
    net.order(0, acme(), 1, DirectiveAction::Suspend { finish_by: None });
    net.run(ms(400));
    for n in 0..4 {
        assert!(net.add(n, 60 + n as u64).is_err(), "scheduler {n}");
        let now = net.now;
        let free = net.node(n).teller.admit(now, "free/tool", TaskKey(70), room, 0.5);
        assert!(free.is_err(), "a team of the same account, without a cap");
        assert_eq!(net.node(n).teller.admit(now, "other", TaskKey(80), room, 0.5), Ok(None));
    }
    // It could not be placed, and its owner asks another scheduler.
    net.node(3).teller.on_never_ran(now, taken.expect("its tenant is of a team"));
    assert_eq!(net.fill(1, 50, 1).len(), 1);
    net.order(2, acme(), 2, DirectiveAction::Reinstate {});
    net.run(ms(400));
    assert_eq!(net.fill(3, 90, 1).len(), 1);
}

#[test]
fn hold_clear_and_hold_within_a_second_and_one_number_twice_come_to_one_answer() {
    let mut net = Net::new(3, cap_of(300));
    let acme = || Subject::Account("acme".into());
    net.cut.extend([(0, 1), (0, 2), (1, 2)]);
    net.run(ms(100));
    net.order(0, acme(), 1, DirectiveAction::Suspend { finish_by: None });
    net.order(1, acme(), 2, DirectiveAction::Reinstate {});
    net.order(2, acme(), 2, DirectiveAction::Suspend { finish_by: Some(9_999_999_999) });
    net.run(ms(500));
    assert_eq!(net.fill(1, 1, 1).len(), 1, "it knows of the clearing alone");
    net.cut.clear();
    net.run(ms(8_000));
    for n in 0..3 {
        assert!(net.add(n, 10 + n as u64).is_err(), "of one number the stricter holds");
        assert!(net.node(n).exchange.keeper().team_statuses()[1].directives_differ);
    }
    net.order(1, acme(), 3, DirectiveAction::Reinstate {});
    net.run(ms(500));
    assert!((0..3).all(|n| net.fill(n, 20 + n as u64, 1).len() == 1));
    assert!(!net.node(0).exchange.keeper().team_statuses()[1].directives_differ);
}

#[test]
fn a_lowered_cap_counts_what_was_drawn_before_for_all() {
    let mut net = Net::new(3, cap_of(300));
    assert_eq!(net.fill(0, 0, 90).len(), 90);
    net.run(ms(500));
    // Of 120 now, 90 are there: 30 more, less what runs costs.
    net.order(1, Subject::Team("pay".into()), 1, DirectiveAction::Cap { amount: cap_of(120) });
    net.run(ms(1_000));
    let mut added = 0;
    for round in 0..20 {
        (0..3).for_each(|n| added += net.add_many(n, round * 1_000 + 100 * n as u64, 10).len());
        net.run(ms(100));
    }
    assert!(added <= 30, "{added} more were added");
}

#[test]
fn a_standstill_across_a_hold_takes_nothing_by_old_news() {
    let mut net = Net::new(2, cap_of(300));
    net.order(0, Subject::Account("acme".into()), 1, DirectiveAction::Suspend { finish_by: None });
    // The other one stands still from before the order until ten seconds later.
    for _ in 0..1_000 {
        net.now = net.now + STEP;
        net.turn(0);
    }
    assert!(net.add(1, 1).is_err(), "before anything was read");
    net.turn(1);
    assert!(net.add(1, 2).is_err(), "and after its first turn");
    net.run(ms(1_000));
    assert!(net.add(1, 3).is_err(), "as it knows by then");
}

#[test]
fn a_month_that_ends_gives_a_new_share_and_charges_each_second_to_one_month() {
    let mut net = Net::new(2, cap_of(40));
    // Ten seconds before the month's end.
    net.utc_off = 1_793_491_200_000 - 1_792_022_400_000 - 10_000 - net.now.nanos() / 1_000_000;
    net.run(ms(300));
    let ran = net.fill(0, 0, 10);
    net.run(ms(2_000));
    let more: Vec<_> = (0..2).map(|n| net.fill(n, 100 * (1 + n as u64), 40)).collect();
    assert!(net.add(0, 999).is_err(), "this month is spent");
    let now = net.now;
    for (n, ticket) in more.iter().enumerate().flat_map(|(n, all)| all.iter().map(move |t| (n, *t))) {
        net.node(n).teller.on_ended(now, ticket, false);
    }
    net.run(ms(8_000));
    assert_eq!(net.fill(0, 1_000, 1).len(), 1, "the next one isn't");
    net.run(ms(2_000));
    let charged = |net: &mut Net, month| {
        let library = net.node(1).exchange.keeper().fleet_logs();
        (0..2).map(|n| library.balance(&name(n), &"pay".into(), month).spent).sum::<u64>()
    };
    let (old, new) = (charged(&mut net, 24_321), charged(&mut net, 24_322));
    // Ten run on, at 20 a second each: what the second month was charged is what they cost since it began.
    let since = (net.now.nanos() / 1_000_000 + net.utc_off + 1_792_022_400_000) - 1_793_491_200_000;
    assert_eq!(ran.len(), 10);
    let cost = since * 200 / 1_000;
    assert!(new <= cost + 20 && new + 220 >= cost, "{new} were charged, {cost} spent");
    assert!((9 * 200..=8_000).contains(&old), "{old}");
}

// Peers that speak wrongly.

fn tips(net: &mut Net, n: usize) -> Digest {
    net.node(n).exchange.keeper().fleet_logs().heads_digest()
}

#[test]
fn peers_that_speak_wrongly_are_cut_off_alone_and_nothing_of_theirs_enters() {
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
        let mut net = Net::new(3, cap_of(30));
        let before = tips(&mut net, 0);
        net.stranger_says(0, who, &messages);
        net.run(ms(100));
        assert!(net.stranger_is_cut_off(), "{who}: {messages:?}");
        assert_eq!(net.node(0).exchange.figures().bad, 1);
        assert_eq!(tips(&mut net, 0), before);
        net.run(ms(3_000));
        assert_eq!(net.fill(0, 0, 3).len(), 3, "the others go on");
    }
    // Rows that nobody asked for, or that don't follow, change nothing.
    let mut net = Net::new(3, cap_of(30));
    let before = tips(&mut net, 0);
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
    net.stranger_says(0, "s1", &[rows(99, 0, &first.0), want(99), want(2)]);
    net.run(ms(100));
    assert_eq!(tips(&mut net, 0), before);
    // It claims more rows of a column than there are, is asked for them, and sends what doesn't chain.
    let tip = protocol::Tip { writer: "s1", life: 2, number: 9_999, digest };
    net.stranger_says(
        0,
        "s1",
        &[Message::Tips { all: digest, tips: vec![tip], beats: vec![], whole: true, log: None }],
    );
    net.run(ms(2_500));
    assert!(!net.stranger_is_cut_off());
    net.stranger_says(0, "s1", &[rows(2, 0, digest)]);
    net.run(ms(100));
    assert!(net.stranger_is_cut_off(), "its rows don't chain");
    assert_eq!(tips(&mut net, 0), tips(&mut net, 2));
}

#[test]
fn bytes_that_are_no_frames_and_a_flood_of_frames_cost_the_others_nothing() {
    let mut net = Net::new(3, cap_of(300));
    net.stranger_says(0, "s1", &[]);
    net.stranger_writes(0, &[0xff; 64]);
    net.run(ms(100));
    assert!(net.stranger_is_cut_off());
    net.run(ms(6_000));
    let ping = vec![Message::Ping { nonce: 1 }; 20_000];
    net.stranger_says(0, "s2", &ping);
    let begun = net.now;
    net.order(1, Subject::Account("acme".into()), 1, DirectiveAction::Suspend { finish_by: None });
    net.run(ms(300));
    assert!(net.add(0, 1).is_err(), "the order is heard beside the flood, {:?} later", net.now - begun);
}

#[test]
fn signs_of_life_are_heard_through_others_while_the_way_is_cut() {
    let mut net = Net::new(4, cap_of(30));
    net.cut.insert((0, 1));
    net.run(Duration::from_secs(20));
    assert_eq!(presence(&mut net, 0, 1), MemberState::Alive);
    net.kill(1);
    net.run(Duration::from_secs(30));
    assert_eq!(presence(&mut net, 0, 1), MemberState::Dead);
}

/// The same stories where each scheduler has a work log with two replicas.
mod with_work_logs {
    use crate::net::with_replicas;

    macro_rules! again {
        ($($story:ident)*) => {
            $(
                #[test]
                fn $story() {
                    with_replicas(2, super::$story);
                }
            )*
        };
    }

    again! {
        halves_that_lost_each_other_for_long_meet_again
        a_busy_one_gets_the_shares_of_idle_ones_and_all_together_stop_at_the_cap
        two_thousand_asks_at_all_schedulers_with_little_left_make_few_questions_and_no_overshoot
        a_gift_is_told_only_once_it_is_on_disk_and_one_that_was_not_told_is_found_on_the_way_back
        who_comes_back_with_its_store_goes_on_and_without_it_uses_nothing_of_its_old_share
        one_that_comes_back_and_hears_nobody_adds_nothing_however_old_its_store_is
        a_scheduler_that_is_cut_off_goes_on_with_its_share_and_no_further
        what_ran_at_a_scheduler_that_died_comes_again_elsewhere_and_a_mere_word_does_not
        an_account_is_held_everywhere_within_moments_and_what_was_taken_comes_again_anywhere
        hold_clear_and_hold_within_a_second_and_one_number_twice_come_to_one_answer
        a_lowered_cap_counts_what_was_drawn_before_for_all
        a_standstill_across_a_hold_takes_nothing_by_old_news
        a_month_that_ends_gives_a_new_share_and_charges_each_second_to_one_month
        peers_that_speak_wrongly_are_cut_off_alone_and_nothing_of_theirs_enters
        bytes_that_are_no_frames_and_a_flood_of_frames_cost_the_others_nothing
        signs_of_life_are_heard_through_others_while_the_way_is_cut
    }
}
