use super::*;

fn parts(open: u64, last: u64) -> SplitAmount {
    SplitAmount { open, running_only: last }
}

#[test]
fn idle_donor_gives_half_and_busy_donor_keeps_its_horizon() {
    let idle = Usage::default();
    assert_eq!(amount_to_give(parts(1_000, 100), idle, parts(10, 0)), parts(500, 0));
    assert_eq!(amount_to_give(parts(1_000, 100), idle, parts(900, 80)), parts(900, 80));
    let busy = Usage { new: 100.0, running: 20, largest_request: 10 };
    assert_eq!(amount_to_give(parts(1_000, 100), busy, parts(900, 80)), parts(400, 0));
    assert_eq!(amount_to_give(parts(500, 0), busy, parts(900, 80)), parts(0, 0));
    assert_eq!(amount_to_give(parts(5, 5), idle, parts(900, 80)), parts(5, 5), "small remainders, too");
}

#[test]
fn share_is_requested_before_it_runs_out_and_last_part_after() {
    let busy = Usage { new: 100.0, running: 20, largest_request: 10 };
    assert_eq!(busy.shortfall(parts(400, 0)), parts(0, 0));
    assert_eq!(busy.shortfall(parts(200, 0)), parts(1_010, 0));
    assert_eq!(busy.shortfall(parts(0, 0)), parts(1_210, 200));
    assert_eq!(Usage::default().shortfall(parts(0, 0)), parts(0, 0));
    assert!(
        Usage { largest_request: 500, ..busy }.shortfall(parts(499, 0)).open > 0,
        "one worker needs more than there is"
    );
}

#[test]
fn donors_are_chosen_in_proportion_to_their_shares() {
    let names = ["a", "b", "c"].map(Name::from);
    let others = [(&names[0], 0), (&names[1], 300), (&names[2], 100)];
    let mut random = Pcg::new(7);
    let mut chosen = [0; 3];
    for _ in 0..1_000 {
        let name = choose_donor(&mut random, &others).expect("two have some");
        chosen[names.iter().position(|n| n == name).expect("one of them")] += 1;
    }
    assert!(chosen[0] == 0 && chosen[1] > 700 && chosen[2] > 200, "{chosen:?}");
    assert_eq!(choose_donor(&mut random, &[(&names[0], 0)]), None);
}

#[test]
fn demand_rate_follows_requests_and_decays() {
    let at = |ms: u64| Timestamp::from_nanos(ms * 1_000_000);
    let mut demand = DemandRate::default();
    (1..=100).for_each(|n| demand.record(at(n * 100), 50));
    assert!((demand.per_second() - 500.0).abs() < 50.0, "{demand:?}");
    demand.record(at(40_000), 0);
    assert!(demand.per_second() < 1.0);
}
