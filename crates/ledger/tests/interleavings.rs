//! Every interleaving of the planner's loop and the keeper at the shelf, explored:
//!
//!     cargo test --release -p mulleinhub-ledger --features explored --test interleavings

#![cfg(feature = "explored")]

use loom::sync::Arc;
use loom::thread;
use mulleinhub_interface::{Duration, Quota, Resources, TaskKey, Ticket, Timestamp};
use mulleinhub_ledger::{AdmissionHandle, SharedPools};
use mulleinhub_quota::{
    Calendar, PoolSnapshot, Prices, ReservationPools, RetryAfter, Settings, Team, TeamLimits,
};
use mulleinhub_replicated_log::SplitAmount;
use std::collections::BTreeMap;

const RESERVATION: u64 = 100;
const AWAY: RetryAfter = RetryAfter { min: Duration::ZERO, max: Duration::ZERO };
const CAPPED: TeamLimits = TeamLimits {
    has_cap: true,
    has_account: true,
    suspended: false,
    grace_period_over: false,
    nearly_spent: false,
};

fn settings() -> Settings {
    let team = |name: &str| Team {
        name: name.into(),
        account: None,
        tenants: vec![name.into()],
        cap: Some(1_000_000),
    };
    Settings {
        me: "one".into(),
        members: vec!["one".into()],
        teams: vec![team("pay"), team("ship")],
        prices: Prices { core_second: 10, memory_second: 0 },
        calendar: Calendar::in_zone("UTC").expect("is a zone"),
        open_millionths: 1_000_000,
        commitment: Duration::from_secs(10),
        catch_up_timeout: Duration::ZERO,
        replicas: None,
        locations: BTreeMap::new(),
    }
}

fn pools() -> (Arc<SharedPools>, AdmissionHandle) {
    let pools = SharedPools::new(&settings());
    let admission = AdmissionHandle::new(pools.clone(), &settings());
    for team in 0..2 {
        (&mut &*pools)
            .with_pool(team, &mut |pool| pool.refresh(Timestamp::from_nanos(u64::MAX), AWAY, CAPPED));
    }
    (pools, admission)
}

fn ask(admission: &mut AdmissionHandle, key: u64) -> Option<Ticket> {
    admission.admit(Timestamp::default(), "pay", TaskKey(key), Resources::new(1.0, 1.0), 0.0).ok().flatten()
}

fn status(pools: &SharedPools) -> PoolSnapshot {
    let mut seen = PoolSnapshot::default();
    (&mut &*pools).with_pool(0, &mut |pool| seen = pool.take_snapshot(Timestamp::default()));
    seen
}

/// Whatever was drawn is at hand, reserved or spent, however looks and blocks fall between asks and ends.
#[test]
fn concurrent_use_conserves_quota() {
    loom::model(|| {
        let (pools, mut admission) = pools();
        let ledger = {
            let pools = pools.clone();
            thread::spawn(move || {
                (&mut &*pools).with_pool(0, &mut |pool| {
                    pool.credit(SplitAmount { open: 2 * RESERVATION, running_only: 0 })
                });
                let mut back = SplitAmount::default();
                (&mut &*pools).with_pool(0, &mut |pool| {
                    back = pool.withdraw(SplitAmount { open: RESERVATION, running_only: 0 })
                });
                back.open
            })
        };
        let one = ask(&mut admission, 1);
        let two = ask(&mut admission, 2);
        one.into_iter().for_each(|ticket| admission.on_never_ran(Timestamp::default(), ticket));
        let back = ledger.join().expect("it ends");
        let seen = status(&pools);
        assert_eq!(seen.available.open + seen.committed + back, 2 * RESERVATION);
        assert_eq!(seen.committed, if two.is_some() { RESERVATION } else { 0 });
    });
}

/// A refusal is seen by the keeper's next status, or its block came before: nobody waits for a wake that is
/// lost.
#[test]
fn rejection_is_never_missed() {
    loom::model(|| {
        let (pools, mut admission) = pools();
        let ledger = {
            let pools = pools.clone();
            thread::spawn(move || {
                let wanted = pools.take_tick_request();
                let asked = status(&pools).requested;
                (wanted, asked)
            })
        };
        let refused = ask(&mut admission, 1).is_none();
        let (wanted, asked) = ledger.join().expect("it ends");
        assert!(refused);
        assert!(
            wanted || asked == RESERVATION || pools.is_tick_requested(),
            "a refusal that nobody will status at"
        );
        if wanted {
            assert_eq!(asked + status(&pools).requested, RESERVATION, "it was woken for what it sees");
        }
    });
}

/// Two teams are under two locks, and the loop never holds both: it can't wait for itself.
#[test]
fn access_to_two_teams_does_not_deadlock() {
    loom::model(|| {
        let (pools, mut admission) = pools();
        let ledger = {
            let pools = pools.clone();
            thread::spawn(move || {
                for team in 0..2 {
                    (&mut &*pools).with_pool(team, &mut |pool| {
                        pool.credit(SplitAmount { open: RESERVATION, running_only: 0 })
                    });
                }
            })
        };
        let resources = Resources::new(1.0, 1.0);
        let ship = admission.admit(Timestamp::default(), "ship", TaskKey(1), resources, 0.0);
        let pay = ask(&mut admission, 2);
        ledger.join().expect("it ends");
        if ship.is_ok() {
            assert!(pay.is_some(), "the first team's block came before the second's");
        }
    });
}
