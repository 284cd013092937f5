//! All interleavings of the planner's event loop and the ledger's thread on the shared pools, explored by
//! loom:
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
const NO_RETRY_DELAY: RetryAfter = RetryAfter { min: Duration::ZERO, max: Duration::ZERO };
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
        (&mut &*pools).with_pool(team, &mut |pool| {
            pool.refresh(Timestamp::from_nanos(u64::MAX), NO_RETRY_DELAY, CAPPED)
        });
    }
    (pools, admission)
}

fn admit(admission: &mut AdmissionHandle, key: u64) -> Option<Ticket> {
    admission.admit(Timestamp::default(), "pay", TaskKey(key), Resources::new(1.0, 1.0), 0.0).ok().flatten()
}

fn snapshot(pools: &SharedPools) -> PoolSnapshot {
    let mut seen = PoolSnapshot::default();
    (&mut &*pools).with_pool(0, &mut |pool| seen = pool.take_snapshot(Timestamp::default()));
    seen
}

/// Credited quota is available, committed or withdrawn, however the ledger's calls and admissions interleave.
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
        let one = admit(&mut admission, 1);
        let two = admit(&mut admission, 2);
        one.into_iter().for_each(|ticket| admission.on_never_ran(Timestamp::default(), ticket));
        let back = ledger.join().expect("it ends");
        let seen = snapshot(&pools);
        assert_eq!(seen.available.open + seen.committed + back, 2 * RESERVATION);
        assert_eq!(seen.committed, if two.is_some() { RESERVATION } else { 0 });
    });
}

/// A rejection is seen by the ledger's next snapshot or leaves a tick requested: no wake-up is lost.
#[test]
fn rejection_is_never_missed() {
    loom::model(|| {
        let (pools, mut admission) = pools();
        let ledger = {
            let pools = pools.clone();
            thread::spawn(move || {
                let tick_requested = pools.take_tick_request();
                let requested = snapshot(&pools).requested;
                (tick_requested, requested)
            })
        };
        let rejected = admit(&mut admission, 1).is_none();
        let (tick_requested, requested) = ledger.join().expect("it ends");
        assert!(rejected);
        assert!(
            tick_requested || requested == RESERVATION || pools.is_tick_requested(),
            "a rejection that the ledger will not see"
        );
        if tick_requested {
            assert_eq!(
                requested + snapshot(&pools).requested,
                RESERVATION,
                "the snapshots contain the request"
            );
        }
    });
}

/// Two teams are under two locks, and the event loop never holds both: it can't deadlock with itself.
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
        let pay = admit(&mut admission, 2);
        ledger.join().expect("it ends");
        if ship.is_ok() {
            assert!(pay.is_some(), "the first team's block came before the second's");
        }
    });
}
