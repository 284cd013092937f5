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
use mulleinhub_replicated_log::Parts;
use std::collections::BTreeMap;

const NEED: u64 = 100;
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

fn shelf() -> (Arc<SharedPools>, AdmissionHandle) {
    let shelf = SharedPools::new(&settings());
    let teller = AdmissionHandle::new(shelf.clone(), &settings());
    for team in 0..2 {
        (&mut &*shelf)
            .with_pool(team, &mut |till| till.refresh(Timestamp::from_nanos(u64::MAX), AWAY, CAPPED));
    }
    (shelf, teller)
}

fn ask(teller: &mut AdmissionHandle, key: u64) -> Option<Ticket> {
    teller.ask(Timestamp::default(), "pay", TaskKey(key), Resources::new(1.0, 1.0), 0.0).ok().flatten()
}

fn look(shelf: &SharedPools) -> PoolSnapshot {
    let mut seen = PoolSnapshot::default();
    (&mut &*shelf).with_pool(0, &mut |till| seen = till.take_snapshot(Timestamp::default()));
    seen
}

/// Whatever was drawn is at hand, reserved or spent, however looks and blocks fall between asks and ends.
#[test]
fn no_money_is_made_or_lost() {
    loom::model(|| {
        let (shelf, mut teller) = shelf();
        let keeper = {
            let shelf = shelf.clone();
            thread::spawn(move || {
                (&mut &*shelf).with_pool(0, &mut |till| till.credit(Parts { open: 2 * NEED, last: 0 }));
                let mut back = Parts::default();
                (&mut &*shelf).with_pool(0, &mut |till| back = till.withdraw(Parts { open: NEED, last: 0 }));
                back.open
            })
        };
        let one = ask(&mut teller, 1);
        let two = ask(&mut teller, 2);
        one.into_iter().for_each(|ticket| teller.never_ran(Timestamp::default(), ticket));
        let back = keeper.join().expect("it ends");
        let seen = look(&shelf);
        assert_eq!(seen.available.open + seen.committed + back, 2 * NEED);
        assert_eq!(seen.committed, if two.is_some() { NEED } else { 0 });
    });
}

/// A refusal is seen by the keeper's next look, or its block came before: nobody waits for a wake that is
/// lost.
#[test]
fn no_refusal_is_overlooked() {
    loom::model(|| {
        let (shelf, mut teller) = shelf();
        let keeper = {
            let shelf = shelf.clone();
            thread::spawn(move || {
                let wanted = shelf.take_wanted();
                let asked = look(&shelf).requested;
                (wanted, asked)
            })
        };
        let refused = ask(&mut teller, 1).is_none();
        let (wanted, asked) = keeper.join().expect("it ends");
        assert!(refused);
        assert!(wanted || asked == NEED || shelf.is_wanted(), "a refusal that nobody will look at");
        if wanted {
            assert_eq!(asked + look(&shelf).requested, NEED, "it was woken for what it sees");
        }
    });
}

/// Two teams are under two locks, and the loop never holds both: it can't wait for itself.
#[test]
fn looks_at_two_teams_and_two_keepers_end() {
    loom::model(|| {
        let (shelf, mut teller) = shelf();
        let keeper = {
            let shelf = shelf.clone();
            thread::spawn(move || {
                for team in 0..2 {
                    (&mut &*shelf).with_pool(team, &mut |till| till.credit(Parts { open: NEED, last: 0 }));
                }
            })
        };
        let room = Resources::new(1.0, 1.0);
        let ship = teller.ask(Timestamp::default(), "ship", TaskKey(1), room, 0.0);
        let pay = ask(&mut teller, 2);
        keeper.join().expect("it ends");
        if ship.is_ok() {
            assert!(pay.is_some(), "the first team's block came before the second's");
        }
    });
}
