//! Tests and properties of admission control.

use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_limits::{AdmissionControl, ClientLoad};
use proptest::prelude::*;
use std::collections::{BTreeMap, VecDeque};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_nanos(ms * 1_000_000)
}

#[test]
fn burst_leaves_capacity_for_others_and_retries_are_spread() {
    let mut admission = AdmissionControl::new(1_000);
    let retry_afters: Vec<Duration> =
        (0..10_000).filter_map(|_| admission.try_admit(at(0), 1).err()).collect();
    assert_eq!(retry_afters.len(), 9_125, "a lone service gets seven eighths of the capacity");
    assert!(
        retry_afters.is_sorted()
            && retry_afters[0] < Duration::from_secs(1)
            && retry_afters[9_124] > Duration::from_secs(4)
    );
    assert!((0..125).all(|_| admission.try_admit(at(300), 2).is_ok()), "another service is admitted at once");
}

/// Simulates a planner that completes this many tasks per second, and services that retry when told to.
/// Returns the millisecond at which the completed_at task of each service was completed.
fn drain(max: usize, per_second: u64, services: &[usize], fair: bool) -> BTreeMap<u64, u64> {
    let mut admission = AdmissionControl::new(max);
    let mut queue: VecDeque<u64> = VecDeque::new();
    let mut requests: BTreeMap<(u64, u64), u64> = BTreeMap::new();
    let mut sent = 0;
    for (service, tasks) in services.iter().enumerate() {
        for _ in 0..*tasks {
            sent += 1;
            requests.insert((0, sent), service as u64);
        }
    }
    let mut remaining: BTreeMap<u64, usize> =
        services.iter().enumerate().map(|(s, n)| (s as u64, *n)).collect();
    let mut completed_at = BTreeMap::new();
    for ms in 0..10_000_000 {
        while let Some(entry) = requests.first_entry().filter(|entry| entry.key().0 <= ms) {
            let service = entry.remove();
            let admitted = match fair {
                true => admission.try_admit(at(ms), service),
                // For comparison: first come, first served, and a fixed time to retry after.
                false if queue.len() < max => Ok(()),
                false => Err(Duration::from_secs(1)),
            };
            match admitted {
                Ok(()) => queue.push_back(service),
                Err(retry_after) => {
                    sent += 1;
                    requests.insert((ms + retry_after.nanos() / 1_000_000, sent), service);
                }
            }
        }
        if ms % (1_000 / per_second) == 0
            && let Some(service) = queue.pop_front()
        {
            if fair {
                admission.release(at(ms), service);
            }
            let count = remaining.get_mut(&service).expect("is a known service");
            *count -= 1;
            if *count == 0 {
                completed_at.insert(service, ms);
            }
        }
        if completed_at.len() == services.len() {
            return completed_at;
        }
    }
    panic!("{remaining:?} were never completed");
}

#[test]
fn small_services_finish_before_a_burst_without_slowing_it() {
    let services = [4_000, 10, 10, 10];
    let (fair, plain) = (drain(200, 100, &services, true), drain(200, 100, &services, false));
    let slowest = |completed_at: &BTreeMap<u64, u64>| {
        completed_at.iter().filter(|(s, _)| **s > 0).map(|(_, ms)| *ms).max()
    };
    let (fair_slowest, plain_slowest) = (slowest(&fair).expect("three"), slowest(&plain).expect("three"));
    assert!(fair_slowest * 4 < plain_slowest, "{fair_slowest} ms against {plain_slowest} ms");
    assert!(fair[&0] < plain[&0] * 11 / 10, "{} ms against {} ms", fair[&0], plain[&0]);
}

proptest! {
    #[test]
    fn capacity_is_never_exceeded_and_fair_share_is_guaranteed(
        max in 1usize..50,
        steps in proptest::collection::vec((any::<bool>(), 0u64..6, 0u64..400), 1..400),
    ) {
        let mut admission = AdmissionControl::new(max);
        let mut in_flight: BTreeMap<u64, usize> = BTreeMap::new();
        let mut now = 0;
        for (is_request, service, wait) in steps {
            now += wait;
            let all: usize = in_flight.values().sum();
            prop_assert_eq!(all, admission.in_flight());
            if is_request {
                match admission.try_admit(at(now), service) {
                    Ok(()) => *in_flight.entry(service).or_default() += 1,
                    Err(retry_after) => {
                        prop_assert!(retry_after >= Duration::from_nanos(100_000_000));
                        prop_assert!(retry_after <= Duration::from_secs(10));
                        let of_service = in_flight.get(&service).copied().unwrap_or(0);
                        let others = in_flight.values().filter(|n| **n > 0).count();
                        let services = others + usize::from(of_service == 0);
                        let share = (max / (services + 1)).max(1);
                        let has_share = of_service >= share;
                        prop_assert!(all >= max || has_share, "the service was below its fair share");
                        prop_assert!(all * 2 >= max, "half of the capacity was free");
                    }
                }
                prop_assert!(admission.in_flight() <= max);
            } else if let Some(count) = in_flight.get_mut(&service).filter(|count| **count > 0) {
                *count -= 1;
                admission.release(at(now), service);
            }
        }
    }
}

/// Guards against one client that takes all places with requests of ever new services (picture b).
#[test]
fn client_with_ever_new_services_leaves_places_to_others() {
    let now = Timestamp::default();
    let mut admission = AdmissionControl::new(64);
    let admitted = (0..1_000_usize).filter(|service| {
        let load = ClientLoad { in_flight: admission.in_flight(), clients: 1 };
        admission.try_admit_of(now, *service as u64, load).is_ok()
    });
    let admitted = admitted.count();
    assert!((33..64).contains(&admitted), "{admitted} of 64 places");
    let other = ClientLoad { in_flight: 0, clients: 1 };
    assert!(admission.try_admit_of(now, 7_000, other).is_ok());
    // With places to spare nobody is held to a share.
    let mut admission = AdmissionControl::new(64);
    for in_flight in 0..32 {
        let load = ClientLoad { in_flight, clients: 60 };
        assert!(admission.try_admit_of(now, in_flight as u64, load).is_ok());
    }
}
