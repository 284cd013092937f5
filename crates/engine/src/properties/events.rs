//! The events of a run, and how they are generated.

use super::{MACHINES, USE_CASES};
use mulleinhub_protocol::{Ending, Mode, Reason};
use proptest::prelude::*;

/// What happens to the scheduler. Machines are named by index, tasks by their number among all submitted.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// The client submits a task, with so many milliseconds until its deadline.
    Submit { case: usize, service: u64, patience: u64 },
    /// The client cancels a task.
    Cancel(usize),
    /// A machine answers the offer that it has had longest.
    MachineReplies(usize, Reply),
    /// A task ends at a machine, of its own accord.
    TaskEnds(usize, Ending),
    /// A machine sends its last message again.
    RepeatsLastMessage(usize),
    /// A machine reports an attempt that was never made.
    ReportsUnknownAttempt(usize, u64),
    /// A machine reports how a task fares, and its own memory.
    ReportsUsage(usize, u8, u8),
    /// The connection to a machine breaks.
    ConnectionBreaks(usize),
    /// Connections to a machine are refused, or no longer.
    TogglesRefusing(usize),
    /// A machine restarts, and has lost all.
    MachineRestarts(usize),
    /// A machine reads nothing and no connection to it is established, or no longer.
    TogglesUnresponsive(usize),
    /// The endpoint list announces the state of a machine.
    Listed(usize, Mode),
    /// The client disconnects.
    ClientDisconnects,
    /// The client connects, and asks for its open tasks.
    ClientConnects,
    /// The client hands a task over that a machine holds.
    HandsOver(usize),
    /// So many milliseconds pass in a running process.
    TimePasses(u64),
    /// The process is paused for so many milliseconds.
    ProcessPauses(u64),
}

/// How a machine answers an offer.
#[derive(Clone, Copy, Debug)]
pub(super) enum Reply {
    Accepts,
    Rejects(Reason),
    Fails,
    /// The offer is dropped without an answer.
    Drops,
}

fn event() -> impl Strategy<Value = Event> {
    let machine = 0..MACHINES;
    let reply = prop_oneof![
        6 => Just(Reply::Accepts),
        1 => prop_oneof![Just(Reason::NoCores), Just(Reason::LineFull), Just(Reason::NotHere),
                         Just(Reason::HandedBack), Just(Reason::Untold)].prop_map(Reply::Rejects),
        1 => Just(Reply::Fails),
        1 => Just(Reply::Drops),
    ];
    let ending =
        prop_oneof![Just(Ending::Done), Just(Ending::Evicted), Just(Ending::SentAway), Just(Ending::Errored)];
    let mode = prop_oneof![4 => Just(Mode::Active), 1 => Just(Mode::Leaving), 1 => Just(Mode::Left)];
    prop_oneof![
        12 => (0..USE_CASES, 0u64..2, prop_oneof![3 => Just(8_000u64), 1 => 50..8_000u64])
            .prop_map(|(case, service, patience)| Event::Submit { case, service, patience }),
        6 => (0..40usize).prop_map(Event::Cancel),
        12 => (machine.clone(), reply).prop_map(|(machine, reply)| Event::MachineReplies(machine, reply)),
        2 => (machine.clone(), ending).prop_map(|(machine, ending)| Event::TaskEnds(machine, ending)),
        1 => machine.clone().prop_map(Event::RepeatsLastMessage),
        1 => (machine.clone(), 0u64..40)
            .prop_map(|(machine, task)| Event::ReportsUnknownAttempt(machine, task)),
        2 => (machine.clone(), any::<u8>(), any::<u8>())
            .prop_map(|(machine, served, memory)| Event::ReportsUsage(machine, served, memory)),
        2 => machine.clone().prop_map(Event::ConnectionBreaks),
        1 => machine.clone().prop_map(Event::TogglesRefusing),
        2 => machine.clone().prop_map(Event::MachineRestarts),
        3 => machine.clone().prop_map(Event::TogglesUnresponsive),
        3 => (machine, mode).prop_map(|(machine, mode)| Event::Listed(machine, mode)),
        1 => Just(Event::ClientDisconnects),
        2 => Just(Event::ClientConnects),
        3 => (0..40usize).prop_map(Event::HandsOver),
        8 => prop_oneof![0..60u64, 60..900u64, 900..3_500u64].prop_map(Event::TimePasses),
        2 => prop_oneof![100..900u64, 900..9_000u64, 6_000..7_500u64].prop_map(Event::ProcessPauses),
    ]
}

/// The iteration of the scheduler after an event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Iteration {
    Full,
    /// More is unread: what was read is answered, and no timer expires.
    Early,
    /// More arrives before the next iteration.
    None,
}

/// Events, and the iteration after each.
#[derive(Clone)]
pub(super) struct Scenario(pub(super) Vec<(Event, Iteration)>);

impl std::fmt::Debug for Scenario {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|(event, iteration)| write!(f, "\n    {event:?}, then {iteration:?}"))
    }
}

pub(super) fn scenario() -> impl Strategy<Value = Scenario> {
    let iteration =
        prop_oneof![6 => Just(Iteration::Full), 2 => Just(Iteration::Early), 3 => Just(Iteration::None)];
    prop::collection::vec((event(), iteration), 1..120).prop_map(Scenario)
}
