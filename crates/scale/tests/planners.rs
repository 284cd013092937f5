//! Schedulers and hollow workers, in virtual time and over sockets.

use mulleinhub_scale::planners::{Measured, Peer, compare, measure, reckon};
use mulleinhub_scale::profile::{Profile, parse};
use mulleinhub_scale::results::{Host, Metric, Role, Size};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::path::Path;
use std::sync::{Mutex, PoisonError};

#[global_allocator]
static GLOBAL: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Runs go one after the other: the allocator counts for the whole process, and real runs want the machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn profile(lines: &str) -> Profile {
    let text = format!("name test\nlength 6s\nwarm-up 10s\n{lines}\n");
    parse("test.profile", &text).unwrap_or_else(|faults| panic!("{faults}"))
}

fn small(seed: u64) -> Profile {
    profile(&format!(
        "host hollow-planners\nseed {seed}\nschedulers 5\nworkers 40\nregions 2\nzones 4\n\
         running 100\nstarts 20"
    ))
}

fn try_play(profile: &Profile) -> Result<Measured, String> {
    let _one = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let program = Path::new(env!("CARGO_BIN_EXE_scale-planner"));
    measure(profile, &profile.runs()[0], Some(program))
}

fn play(profile: &Profile) -> Measured {
    try_play(profile).unwrap_or_else(|words| panic!("{words}"))
}

fn refusal(profile: &Profile) -> String {
    try_play(profile).expect_err("is refused")
}

#[test]
fn the_same_seed_gives_the_same_counts_and_another_seed_others() {
    let (one, again, other) = (play(&small(1)), play(&small(1)), play(&small(2)));
    assert_eq!(one.total, again.total);
    assert_eq!(one.flows, again.flows);
    assert_eq!(one.start_up, again.start_up);
    assert_ne!(one.total, other.total);
}

#[test]
fn messages_at_the_wire_are_those_that_engines_count() {
    let measured = play(&small(3));
    let counts = measured.counts.expect("engines can be looked into");
    for (traffic, counts) in measured.total.iter().zip(counts) {
        let kinds = traffic.kinds;
        assert!(kinds.asks > 0);
        assert_eq!(kinds.asks, counts.accepted);
        assert_eq!(kinds.taken, counts.accepted);
        assert_eq!(kinds.offers, counts.attempts);
        assert_eq!(kinds.accepted, counts.placed);
        assert_eq!(kinds.placed, counts.placed);
        assert_eq!((kinds.nacked, kinds.errored), (counts.rejected, counts.failed));
        assert_eq!(kinds.placed - kinds.ended, counts.running as u64);
    }
}

#[test]
fn every_task_of_a_small_profile_is_placed_at_the_first_try() {
    let measured = play(&small(4));
    for client in &measured.clients {
        assert!(client.wanted > 20, "{client:?}");
        assert_eq!((client.served, client.asked_again), (client.wanted, 0));
    }
    let started = measured.started as f64 / measured.seconds;
    assert!((15.0..25.0).contains(&started), "{started} starts a second of 20");
}

#[test]
fn as_many_tasks_run_as_the_profile_says() {
    let fixed = play(&profile("host hollow-planners\nschedulers 4\nworkers 30\nrunning 203"));
    assert_eq!(fixed.running, 203);
    assert_eq!(fixed.started, 0);
    let even = play(&small(5)).running;
    assert!((80..=120).contains(&even), "{even} tasks run of 100");
}

/// Signs of life go to every worker: about one in 1.1 s, whatever else there is to do.
#[test]
fn an_idle_scheduler_asks_every_worker_for_signs_of_life() {
    let measured = play(&profile("host hollow-planners\nschedulers 2\nworkers 200"));
    for flows in &measured.flows {
        let to_workers = flows[Peer::Worker as usize];
        assert_eq!(to_workers.messages_in, to_workers.messages_out);
        let each = to_workers.messages_out as f64 / measured.seconds / 200.0;
        assert!((0.4..1.1).contains(&each), "{each} signs of life of a worker in a second");
        assert_eq!(flows[Peer::List as usize].messages_in, 0, "nothing changes");
    }
}

#[test]
fn a_scheduler_holds_more_memory_where_there_are_more_workers() {
    let of = |workers: u32| {
        let lines = format!("host hollow-planners\nschedulers 2\nworkers {workers}");
        play(&profile(&lines)).memory.expect("this program counts")[0]
    };
    let (few, many) = (of(50), of(500));
    let each = (many - few) / 450;
    assert!((500..20_000).contains(&each), "{each} bytes for a worker");
}

/// The list of so many comes in pieces.
#[test]
fn a_scheduler_reaches_more_workers_than_one_message_lists() {
    let measured = play(&profile("host hollow-planners\nschedulers 1\nworkers 2500\nrunning 50"));
    assert_eq!(measured.running, 50);
    let counts = measured.counts.expect("engines can be looked into");
    assert_eq!((counts[0].machines, counts[0].machines_ready), (2500, 2500));
}

/// Round trips lengthen a start: the greeting of a worker and what it holds take two of them.
#[test]
fn round_trips_between_regions_are_played() {
    let of = |round_trip: &str| {
        let lines = format!(
            "host hollow-planners\nschedulers 2\nworkers 20\nregions 2\nzones 2\n\
             round-trip between-regions {round_trip}"
        );
        play(&profile(&lines)).start_up[0].nanos()
    };
    let longer = of("100ms") - of("20ms");
    assert!((150_000_000..350_000_000).contains(&longer), "{longer} ns longer");
}

/// Workers tell a scheduler that comes back what they hold for it, and its client learns that all still runs.
#[test]
fn tasks_run_on_while_their_schedulers_fail_and_return() {
    for host in ["hollow-planners", "real-planners"] {
        let lines = format!("host {host}\nschedulers 3\nworkers 30\nrunning 90\nfailures 40");
        let measured = play(&profile(&lines));
        assert_eq!((measured.start_up.len(), measured.start_up_processor.len()), (4, 4), "{host}");
        assert_eq!(measured.running, 90, "{host}");
        for client in &measured.clients {
            assert_eq!((client.wanted, client.served, client.asked_again), (30, 30, 0), "{host}");
        }
    }
}

#[test]
fn three_real_schedulers_and_their_twins_in_virtual_time_count_alike() {
    // Few workers beside many starts: signs of life go in waves, which real starts shift.
    let lines = "schedulers 3\nworkers 20\nrunning 120\nstarts 40\nround-trip zone 0.1ms\n\
                 round-trip region 0.1ms\nround-trip between-regions 0.1ms";
    let real = profile(&format!("host real-planners\n{lines}"));
    let twin = Profile { host: Host::HollowPlanners, ..real.clone() };
    let (real, twin) = (play(&real), play(&twin));
    for client in &real.clients {
        assert!(client.wanted > 20, "{client:?}");
        assert_eq!(client.served, client.wanted);
    }
    let wanted = |measured: &Measured| measured.clients.iter().map(|c| c.wanted).sum::<u64>();
    assert_eq!(wanted(&real), wanted(&twin));
    let compared = compare(&real.run(Size::default(), 0.0, false), &twin.run(Size::default(), 0.0, false));
    for figure in compared.iter().filter(|figure| figure.role == Role::Scheduler && figure.is_traffic()) {
        let factor = figure.factor().expect("there is traffic");
        assert!((0.95..1.05).contains(&factor), "{figure:?}");
    }
    let processor =
        compared.iter().find(|figure| figure.metric == Metric::Processor).expect("both measure it");
    assert!(processor.factor().is_some_and(|factor| factor > 1.0), "{processor:?}");
    assert!(real.resident.expect("they are processes").iter().all(|bytes| *bytes > 1 << 20));
}

#[test]
fn what_these_hosts_do_not_play_is_refused_with_its_cause() {
    let of = |lines: &str| refusal(&profile(&format!("host hollow-planners\n{lines}")));
    assert!(of("schedulers 2").contains("workers"));
    assert!(of("schedulers 2\nworkers 2\nchanges 1").contains("changes"));
    assert!(of("schedulers 2\nworkers 2\ndrops 0.1").contains("drops"));
    let short = parse("p", "name p\nhost hollow-planners\nlength 1s\nwarm-up 3s\nworkers 2\nrunning 2");
    assert!(refusal(&short.expect("is a profile")).contains("warm-up"));
    let ledgers = refusal(&profile("host hollow-ledgers\nschedulers 2\nworkers 2"));
    assert!(ledgers.contains("host"), "{ledgers}");
}

#[test]
fn a_run_that_does_not_fit_is_refused_with_the_sum() {
    let huge = profile("host hollow-planners\nschedulers 1000\nworkers 50000");
    let words = refusal(&huge);
    let mib = reckon(huge.host, &huge.size).sum() >> 20;
    assert!(words.contains(&format!("{mib} MiB")), "{words}");
    let processes = refusal(&profile("host real-planners\nschedulers 201\nworkers 1"));
    assert!(processes.contains("201") && processes.contains("200"), "{processes}");
    let connections = refusal(&profile("host real-planners\nschedulers 100\nworkers 1500"));
    assert!(connections.contains("descriptors"), "{connections}");
}

#[test]
fn a_scheduler_that_is_not_ready_in_time_fails_the_run() {
    let text = "name p\nhost hollow-planners\nlength 1s\nwarm-up 2.1s\nschedulers 2\nworkers 20\n\
                regions 2\nzones 2\nround-trip between-regions 400ms";
    let words = refusal(&parse("p", text).unwrap_or_else(|faults| panic!("{faults}")));
    assert!(words.contains("not ready") && words.contains("of 20 workers"), "{words}");
}
