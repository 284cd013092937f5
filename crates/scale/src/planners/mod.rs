//! What schedulers and their workers cost as the fleet grows: real engines, and all that they speak to
//! hollow.
//!
//! A run plays real schedulers (the engine and the module) against a list service, hollow workers that speak
//! the scheduler's real frames, and a client for each scheduler. In virtual time many engines share one
//! thread and are joined by wires with the profile's round trips; over sockets each scheduler is a process of
//! its own. The same party stands at the other end of both, and counts at its edge.
//!
//! All samples are means over the schedulers, seen from the scheduler: in is what comes to it. `Scheduler`
//! has the sums of its traffic, its processor time, memory and start; `Discovery`, `Worker` and `Client` have
//! the traffic of one scheduler with the list service, with all workers together, and with its clients.
//! `StartUp` lasts until all workers are reached and the client is greeted: the longest of those that came
//! back after a failure, with its tasks on the workers, or of all that started together, where the profile
//! has no failures. Processor time is that of the engine's own turns in virtual time; of a process it is all
//! of it, the system's work on its sockets included.
//!
//! A run goes so: the list service sees all workers, all schedulers start at one instant, tasks are asked for
//! evenly until as many run as the profile says, then they start and end at an even pace. For the first
//! minute after a common start, signs of life go out in waves some two seconds apart: what is measured over
//! 10 s hangs by 5% on where the waves fall, over 30 s by 1%.

mod client;
mod compare;
mod fits;
mod measured;
mod meter;
mod real_host;
mod scenario;
mod settings;
mod surroundings;
mod traffic;
mod virtual_host;
mod worker;

pub use client::ClientCounts;
pub use compare::{Compared, compare};
pub use fits::{Reckoned, reckon};
pub use measured::Measured;
pub use traffic::{Flow, Kinds, Peer, SchedulerTraffic};

use crate::profile::{Profile, RunPlan};
use crate::results::{Host, Results, Run};
use measured::{check_ready, flows_between, start_ups, started_between};
use scenario::Scenario;
use std::path::Path;
use virtual_host::VirtualHost;

/// Plays all runs of a profile whose host is `hollow-planners` or `real-planners`. Real schedulers are this
/// program with its command `planner`.
///
/// # Errors
/// Where the profile asks for what these hosts don't play, a run doesn't fit, or a run fails.
pub fn run(profile: &Profile) -> Result<Results, String> {
    run_with(profile, None)
}

/// The same, with another program for real schedulers; it is started with the path of its settings alone.
///
/// # Errors
/// As for `run`.
pub fn run_with(profile: &Profile, program: Option<&Path>) -> Result<Results, String> {
    let runs = profile.runs().into_iter().map(|plan| play(profile, &plan, program));
    let runs = runs.collect::<Result<Vec<Run>, String>>()?;
    Ok(results(profile, runs))
}

/// Plays one run of a profile on the profile's host.
///
/// # Errors
/// As for `run`.
pub fn play(profile: &Profile, plan: &RunPlan, program: Option<&Path>) -> Result<Run, String> {
    let measured = measure(profile, plan, program)?;
    Ok(measured.run(plan.size, plan.varied, plan.held_out))
}

/// All that was measured in one run on the profile's host.
///
/// # Errors
/// As for `run`.
pub fn measure(profile: &Profile, plan: &RunPlan, program: Option<&Path>) -> Result<Measured, String> {
    let scenario = Scenario::new(profile, plan)?;
    fits::check(profile.host, &plan.size)?;
    match profile.host {
        Host::HollowPlanners => in_virtual_time(&scenario),
        Host::RealPlanners => real_host::play(&scenario, program),
        Host::HollowLedgers => Err(format!("profile {}: its host is another's", profile.name)),
    }
}

/// Plays a profile of real schedulers in virtual time, to compare the two.
///
/// # Errors
/// As for `run`.
pub fn run_virtual_twin(profile: &Profile) -> Result<Results, String> {
    let name = format!("{}-virtual", profile.name);
    run(&Profile { name, host: Host::HollowPlanners, ..profile.clone() })
}

fn results(profile: &Profile, runs: Vec<Run>) -> Results {
    Results {
        profile: profile.name.clone(),
        host: profile.host,
        seed: profile.seed,
        version: env!("CARGO_PKG_VERSION").to_owned(),
        vary: profile.vary_word().to_owned(),
        runs,
    }
}

fn in_virtual_time(scenario: &Scenario) -> Result<Measured, String> {
    let mut host = VirtualHost::new(scenario)?;
    host.play_until(scenario.from);
    check_ready(scenario, host.surroundings(), "measuring begins")?;
    let before = host.look();
    host.play_until(scenario.until);
    let after = host.look();
    let (memory, running) = (host.memory(), host.surroundings().running());
    host.play_until(scenario.over());
    check_ready(scenario, host.surroundings(), "the run ends")?;
    let end = host.look();
    let seconds = |nanos: u64| nanos as f64 / 1e9;
    let spent = before.processor.iter().zip(&after.processor);
    let surroundings = host.surroundings();
    Ok(Measured {
        seconds: scenario.seconds(),
        flows: flows_between(&before.traffic, &after.traffic),
        started: started_between(&before.traffic, &after.traffic),
        total: end.traffic,
        processor: spent.map(|(before, after)| seconds(after - before)).collect(),
        memory,
        resident: None,
        start_up: start_ups(scenario, surroundings),
        start_up_processor: host.start_up_processor().iter().map(|nanos| seconds(*nanos)).collect(),
        counts: Some(end.counts),
        clients: surroundings.clients().map(|client| client.counts).collect(),
        running,
    })
}
