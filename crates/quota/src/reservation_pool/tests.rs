use super::*;

const RETRY_AFTER: RetryAfter = RetryAfter { min: Duration::from_secs(1), max: Duration::from_secs(3) };

const CAPPED: TeamLimits = TeamLimits {
    has_cap: true,
    has_account: true,
    suspended: false,
    grace_period_over: false,
    nearly_spent: false,
};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_nanos(ms * 1_000_000)
}

fn pool(open: u64, last: u64) -> ReservationPool {
    let mut pool = ReservationPool::new(Duration::from_secs(10), RETRY_AFTER, CAPPED);
    pool.credit(SplitAmount { open, running_only: last });
    pool.refresh(at(1_000_000), RETRY_AFTER, CAPPED);
    pool
}

#[test]
fn running_cost_is_paid_before_the_commitment() {
    let mut pool = pool(200, 50);
    let ticket = pool.admit(at(0), 0, TaskKey(1), 10, 0.0).expect("enough is available");
    assert_eq!(pool.admit(at(0), 0, TaskKey(2), 11, 0.5), Err(Duration::from_secs(2)));
    pool.start(at(0), ticket);
    let snapshot = pool.take_snapshot(at(4_000));
    assert_eq!((snapshot.available.open, snapshot.committed, snapshot.spent), (60, 100, 40));
    assert_eq!((snapshot.requested, snapshot.largest_request, snapshot.rejected), (210, 110, 1));
    pool.end(at(5_000), ticket, false);
    let snapshot = pool.take_snapshot(at(9_000));
    assert_eq!((snapshot.available.open, snapshot.committed, snapshot.spent, snapshot.rate), (150, 0, 50, 0));
}

#[test]
fn spare_capacity_follows_recent_requests() {
    let mut pool = pool(100_000, 0);
    let refresh = |pool: &mut ReservationPool, ms: u64| {
        pool.take_snapshot(at(ms));
        pool.refresh(at(1_000_000), RETRY_AFTER, CAPPED);
        pool.pending.capacity() - pool.pending.len()
    };
    let first = refresh(&mut pool, 100);
    assert!((MIN_SPARE_KEYS..8).contains(&first), "{first}");
    let mut admitted = Vec::new();
    for key in 0..100 {
        admitted.push(pool.admit(at(200), 0, TaskKey(key), 10, 0.0).expect("enough is available"));
    }
    assert!(refresh(&mut pool, 200) >= 200);
    assert!(refresh(&mut pool, 50_000) >= 200, "the peak is remembered");
    admitted.into_iter().for_each(|ticket| pool.start(at(50_000), ticket));
    let last = refresh(&mut pool, 100_000);
    assert!((MIN_SPARE_KEYS..8).contains(&last), "{last}");
}

#[test]
fn running_workers_use_last_part_then_go_into_debt() {
    let mut pool = pool(100, 30);
    let ticket = pool.admit(at(0), 0, TaskKey(1), 10, 0.0).expect("enough is available");
    pool.start(at(0), ticket);
    assert!(
        pool.admit(at(0), 0, TaskKey(2), 1, 0.0).is_err(),
        "the running-only part is not for new workers"
    );
    let snapshot = pool.take_snapshot(at(5_000));
    assert_eq!((snapshot.available, snapshot.debt, snapshot.spent), (SplitAmount::default(), 20, 50));
    pool.credit(SplitAmount { open: 0, running_only: 25 });
    assert_eq!(pool.take_snapshot(at(5_000)).available.running_only, 5);
    pool.end(at(5_000), ticket, false);
    assert_eq!(pool.take_snapshot(at(5_000)).committed, 0);
}

#[test]
fn lost_worker_is_readmitted_only_once() {
    let mut pool = pool(100, 150);
    let ticket = pool.admit(at(0), 0, TaskKey(1), 10, 0.0).expect("enough is available");
    pool.start(at(0), ticket);
    pool.end(at(1_000), ticket, true);
    pool.withdraw(SplitAmount { open: 1_000, running_only: 0 });
    assert!(pool.admit(at(1_500), 0, TaskKey(2), 10, 0.0).is_err());
    let readmitted = pool.admit(at(1_500), 0, TaskKey(1), 10, 0.0).expect("it ran before");
    assert_eq!((readmitted.reserved_open, readmitted.reserved_last), (0, 100));
    assert!(pool.admit(at(1_500), 0, TaskKey(1), 10, 0.0).is_err(), "an admission is pending");
    pool.release_unstarted(at(1_600), readmitted);
    assert!(pool.admit(at(1_700), 0, TaskKey(1), 10, 0.0).is_ok());
}

#[test]
fn nearly_spent_cap_rejects_new_workers() {
    let mut pool = pool(1_000, 1_000);
    let ran = pool.admit(at(0), 0, TaskKey(1), 10, 0.0).expect("enough is available");
    pool.start(at(0), ran);
    pool.end(at(10), ran, true);
    pool.refresh(at(1_000_000), RETRY_AFTER, TeamLimits { nearly_spent: true, ..CAPPED });
    assert!(pool.admit(at(20), 0, TaskKey(2), 10, 0.0).is_err());
    assert!(pool.admit(at(20), 0, TaskKey(1), 10, 0.0).is_ok(), "it is readmitted");
}

#[test]
fn stale_pool_rejects_new_workers() {
    let mut pool = pool(1_000, 0);
    pool.refresh(at(500), RETRY_AFTER, CAPPED);
    assert!(pool.admit(at(500), 0, TaskKey(1), 1, 0.0).is_ok());
    assert!(pool.admit(at(501), 0, TaskKey(2), 1, 0.0).is_err());
}

#[test]
fn suspension_rejects_new_and_readmits_known_workers() {
    let suspended = TeamLimits { suspended: true, ..CAPPED };
    let mut pool = pool(300, 300);
    let [ran, admitted] =
        [1, 2].map(|key| pool.admit(at(0), 0, TaskKey(key), 10, 0.0).expect("enough is available"));
    pool.start(at(0), ran);
    assert_eq!(pool.pending_keys(), [2]);
    pool.refresh(at(1_000_000), RETRY_AFTER, suspended);
    assert!(pool.admit(at(10), 0, TaskKey(3), 10, 0.0).is_err());
    pool.set_readmissions(HashMap::from([(2, Readmission { in_use: false, ran: false })]));
    pool.release_unstarted(at(20), admitted);
    pool.end(at(20), ran, true);
    let readmitted = pool.admit(at(30), 0, TaskKey(1), 10, 0.0).expect("it ran");
    let admitted = pool.admit(at(30), 0, TaskKey(2), 10, 0.0).expect("it was admitted before");
    assert_eq!(
        (readmitted.reserved_open, readmitted.reserved_last, admitted.reserved_open, admitted.reserved_last),
        (0, 100, 100, 0)
    );
    pool.release_unstarted(at(40), readmitted);
    pool.refresh(at(1_000_000), RETRY_AFTER, TeamLimits { grace_period_over: true, ..suspended });
    assert!(pool.admit(at(50), 0, TaskKey(1), 10, 0.0).is_err(), "the grace period is over");
    pool.refresh(at(1_000_000), RETRY_AFTER, CAPPED);
    assert!(pool.admit(at(60), 0, TaskKey(3), 10, 0.0).is_ok());
}

#[test]
fn task_admitted_before_suspension_is_new_to_the_cap() {
    let mut pool = pool(50, 500);
    pool.refresh(at(1_000_000), RETRY_AFTER, TeamLimits { suspended: true, ..CAPPED });
    pool.set_readmissions(HashMap::from([(2, Readmission { in_use: false, ran: false })]));
    assert!(pool.admit(at(0), 0, TaskKey(2), 10, 0.0).is_err());
    pool.credit(SplitAmount { open: 100, running_only: 0 });
    assert!(pool.admit(at(0), 0, TaskKey(2), 10, 0.0).is_ok());
}

#[test]
fn team_without_cap_is_rejected_only_when_suspended() {
    let mut pool = ReservationPool::new(Duration::from_secs(10), RETRY_AFTER, TeamLimits::default());
    let ticket = pool.admit(at(0), 0, TaskKey(1), 10, 0.0).expect("it has no cap");
    pool.start(at(0), ticket);
    assert_eq!((pool.take_snapshot(at(5_000)).spent, pool.take_snapshot(at(5_000)).debt), (50, 0));
    let with_account = TeamLimits { has_account: true, ..TeamLimits::default() };
    pool.refresh(at(0), RETRY_AFTER, with_account);
    assert!(
        pool.admit(at(5_000), 0, TaskKey(2), 10, 0.0).is_err(),
        "whether its account is suspended is not known"
    );
    pool.refresh(at(9_000), RETRY_AFTER, TeamLimits { suspended: true, ..with_account });
    assert!(pool.admit(at(5_000), 0, TaskKey(2), 10, 0.0).is_err());
}

#[test]
fn commitments_are_owed_by_the_new_month() {
    let mut pool = pool(300, 0);
    let ticket = pool.admit(at(0), 0, TaskKey(1), 10, 0.0).expect("enough is available");
    pool.start(at(0), ticket);
    assert_eq!(pool.close_month(at(2_000)), (20, 0));
    let snapshot = pool.take_snapshot(at(3_000));
    assert_eq!(
        (snapshot.spent, snapshot.debt, snapshot.available, snapshot.committed),
        (10, 110, SplitAmount::default(), 100)
    );
    pool.credit(SplitAmount { open: 200, running_only: 0 });
    pool.end(at(3_000), ticket, false);
    assert_eq!(pool.take_snapshot(at(3_000)).available.open, 190);
}
