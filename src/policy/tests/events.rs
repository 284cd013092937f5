//! Random events of a scenario.

use super::records::{MACHINES, SCHEDULERS};
use crate::interface::*;
use proptest::prelude::*;

/// An event of one scheduler. Numbers of tasks count those that wait for an answer or run.
#[derive(Clone, Debug)]
pub(super) enum Event {
    NewTask {
        case: usize,
        service: u64,
        request: f64,
        patience: u64,
    },
    AdoptedTask {
        case: usize,
        service: u64,
        machine: usize,
    },
    Accepted(usize),
    Running(usize),
    AttemptEnded(usize, Outcome),
    ClientCancelled(usize),
    Usage(usize, f64, f64),
    /// The service level of a task and the memory of its machine.
    ServiceLevel(usize, f64, f64),
    /// The task uses much, and its machine's memory is short.
    HotMachine(usize),
    /// An event of a task that has ended, or never was.
    UnknownTask(u64, usize),
    ListDelta(usize, MachineState, bool),
    ListSnapshot,
    WatchFailed,
    MachineRestarted(usize),
}

#[derive(Clone, Debug)]
pub(super) struct Step {
    pub scheduler: usize,
    pub wait: u64,
    /// The scheduler receives nothing until the wait is over, not even timeouts.
    pub is_paused: bool,
    pub events: Vec<Event>,
}

#[derive(Clone)]
pub(super) struct Scenario(pub Vec<Step>);

impl std::fmt::Debug for Scenario {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|step| write!(f, "\n    {step:?}"))
    }
}

fn outcomes() -> Vec<Outcome> {
    vec![
        Outcome::Succeeded,
        Outcome::Failed,
        Outcome::Rejected(Rejection::Unspecified),
        Outcome::Rejected(Rejection::Returned),
        Outcome::Rejected(Rejection::InsufficientCores),
        Outcome::Rejected(Rejection::InsufficientMemory),
        Outcome::Rejected(Rejection::QueueFull),
        Outcome::Rejected(Rejection::Ineligible),
        Outcome::TimedOut,
        Outcome::ConnectionFailed,
        Outcome::Lost(FailureCause::Unspecified),
        Outcome::Lost(FailureCause::Evicted),
        Outcome::Cancelled,
        Outcome::NotSent,
    ]
}

fn new_task() -> impl Strategy<Value = Event> {
    let patience = prop_oneof![3 => Just(8_000u64), 1 => 1..8_000u64];
    (0..4usize, 0..3u64, 1..8u32, patience).prop_map(|(case, service, request, patience)| Event::NewTask {
        case,
        service,
        request: f64::from(request) * 0.5,
        patience,
    })
}

fn event() -> impl Strategy<Value = Event> {
    let (machine, task) = (0..MACHINES, 0..12usize);
    let state = prop_oneof![
        4 => Just(MachineState::Active),
        1 => Just(MachineState::Draining),
        1 => Just(MachineState::Removed),
    ];
    prop_oneof![
        12 => new_task(),
        1 => (0..4usize, 0..3u64, machine.clone())
            .prop_map(|(case, service, machine)| Event::AdoptedTask { case, service, machine }),
        8 => task.clone().prop_map(Event::Accepted),
        4 => task.clone().prop_map(Event::Running),
        8 => (task.clone(), prop::sample::select(outcomes()))
            .prop_map(|(task, outcome)| Event::AttemptEnded(task, outcome)),
        4 => task.clone().prop_map(Event::ClientCancelled),
        3 => (task.clone(), 0..4u32, 0..4u32).prop_map(|(task, cores, memory)| {
            Event::Usage(task, f64::from(cores) * 2.0, f64::from(memory) * 2.0)
        }),
        3 => (task, 0..5u32, 0..5u32).prop_map(|(task, service, memory)| {
            Event::ServiceLevel(task, f64::from(service) / 4.0, f64::from(memory) * 0.4)
        }),
        3 => (0..12usize).prop_map(Event::HotMachine),
        1 => (any::<u64>(), 0..4usize).prop_map(|(id, event)| Event::UnknownTask(id, event)),
        5 => (machine.clone(), state, any::<bool>())
            .prop_map(|(machine, state, is_fresh)| Event::ListDelta(machine, state, is_fresh)),
        1 => Just(Event::ListSnapshot),
        1 => Just(Event::WatchFailed),
        1 => machine.prop_map(Event::MachineRestarted),
    ]
}

pub(super) fn scenario() -> impl Strategy<Value = Scenario> {
    let wait = prop_oneof![4 => Just(0u64), 4 => 1..100u64, 2 => 100..2_000u64];
    let events = prop::collection::vec(event(), 1..4);
    let step = (0..SCHEDULERS, wait, prop::bool::weighted(0.1), events);
    let step =
        step.prop_map(|(scheduler, wait, is_paused, events)| Step { scheduler, wait, is_paused, events });
    prop::collection::vec(step, 1..100).prop_map(Scenario)
}
