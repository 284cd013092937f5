//! Stories and properties of admission.

use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_limits::Admission;
use proptest::prelude::*;
use std::collections::{BTreeMap, VecDeque};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_nanos(ms * 1_000_000)
}

#[test]
fn ten_thousand_at_one_instant_leave_room_for_others_and_are_called_back_one_by_one() {
    let mut admission = Admission::new(1_000);
    let aways: Vec<Duration> = (0..10_000).filter_map(|_| admission.ask(at(0), 1).err()).collect();
    assert_eq!(aways.len(), 9_125, "alone it has seven eighths of the room");
    assert!(aways.is_sorted() && aways[0] < Duration::from_secs(1) && aways[9_124] > Duration::from_secs(4));
    assert!((0..125).all(|_| admission.ask(at(300), 2).is_ok()), "another service finds room at once");
}

/// A planner that answers so many a second, and services that ask again when they were told to. Gives back
/// when the last task of each service was answered.
fn drain(most: usize, a_second: u64, services: &[usize], fair: bool) -> BTreeMap<u64, u64> {
    let mut admission = Admission::new(most);
    let mut line: VecDeque<u64> = VecDeque::new();
    let mut asks: BTreeMap<(u64, u64), u64> = BTreeMap::new();
    let mut asked = 0;
    for (service, tasks) in services.iter().enumerate() {
        for _ in 0..*tasks {
            asked += 1;
            asks.insert((0, asked), service as u64);
        }
    }
    let mut left: BTreeMap<u64, usize> = services.iter().enumerate().map(|(s, n)| (s as u64, *n)).collect();
    let mut last = BTreeMap::new();
    for ms in 0..10_000_000 {
        while let Some(entry) = asks.first_entry().filter(|entry| entry.key().0 <= ms) {
            let service = entry.remove();
            let met = match fair {
                true => admission.ask(at(ms), service),
                // As it was: whoever comes first, and no word of when to come again but a second.
                false if line.len() < most => Ok(()),
                false => Err(Duration::from_secs(1)),
            };
            match met {
                Ok(()) => line.push_back(service),
                Err(away) => {
                    asked += 1;
                    asks.insert((ms + away.nanos() / 1_000_000, asked), service);
                }
            }
        }
        if ms % (1_000 / a_second) == 0
            && let Some(service) = line.pop_front()
        {
            if fair {
                admission.done(at(ms), service);
            }
            let count = left.get_mut(&service).expect("is known");
            *count -= 1;
            if *count == 0 {
                last.insert(service, ms);
            }
        }
        if last.len() == services.len() {
            return last;
        }
    }
    panic!("{left:?} were never answered");
}

#[test]
fn small_services_beside_a_burst_are_answered_long_before_it_and_it_is_not_slower_for_that() {
    let services = [4_000, 10, 10, 10];
    let (fair, plain) = (drain(200, 100, &services, true), drain(200, 100, &services, false));
    let worst = |last: &BTreeMap<u64, u64>| last.iter().filter(|(s, _)| **s > 0).map(|(_, ms)| *ms).max();
    let (fair_worst, plain_worst) = (worst(&fair).expect("three"), worst(&plain).expect("three"));
    assert!(fair_worst * 4 < plain_worst, "{fair_worst} ms against {plain_worst} ms");
    assert!(fair[&0] < plain[&0] * 11 / 10, "{} ms against {} ms", fair[&0], plain[&0]);
}

proptest! {
    #[test]
    fn never_over_the_most_and_nobody_without_a_task_waits_for_one_with_more_than_its_share(
        most in 1usize..50,
        steps in proptest::collection::vec((any::<bool>(), 0u64..6, 0u64..400), 1..400),
    ) {
        let mut admission = Admission::new(most);
        let mut held: BTreeMap<u64, usize> = BTreeMap::new();
        let mut now = 0;
        for (asks, service, wait) in steps {
            now += wait;
            let all: usize = held.values().sum();
            prop_assert_eq!(all, admission.in_hand());
            if asks {
                match admission.ask(at(now), service) {
                    Ok(()) => *held.entry(service).or_default() += 1,
                    Err(away) => {
                        prop_assert!(away >= Duration::from_nanos(100_000_000) && away <= Duration::from_secs(10));
                        let mine = held.get(&service).copied().unwrap_or(0);
                        let services = held.values().filter(|n| **n > 0).count() + usize::from(mine == 0);
                        let share = (most / (services + 1)).max(1);
                        prop_assert!(all >= most || mine >= share, "it had less than its share");
                        prop_assert!(all * 2 >= most, "there was room for all");
                    }
                }
                prop_assert!(admission.in_hand() <= most);
            } else if let Some(count) = held.get_mut(&service).filter(|count| **count > 0) {
                *count -= 1;
                admission.done(at(now), service);
            }
        }
    }
}
