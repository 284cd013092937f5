//! What the oracle remembers of tasks, attempts and machines.

use mulleinhub_protocol::{Ending, Shape};
use mulleinhub_sans_io::ConnectionId;
use std::collections::{BTreeMap, VecDeque};

/// An attempt, as seen on the wire.
#[derive(Debug)]
pub(super) struct SentAttempt {
    pub(super) machine: usize,
    /// The incarnation of the machine that read the offer.
    pub(super) incarnation: u64,
    pub(super) connection: ConnectionId,
    /// When the machine read the offer.
    pub(super) at: u64,
    pub(super) times_out_at: u64,
    /// The machine accepted it, whatever the scheduler knows.
    pub(super) taken: bool,
    /// The acceptance was delivered to the scheduler.
    pub(super) accepted: bool,
    /// Its end was delivered to the scheduler, or the scheduler wrote that it waits no longer.
    pub(super) is_over: bool,
    /// The connection that carried it is over: nobody need wait for an answer.
    pub(super) disconnected: bool,
    /// The scheduler was handed the proof that it never ran.
    pub(super) never_ran: bool,
}

/// A final answer that the client received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Answer {
    Placed,
    Rejected,
    Failed,
}

/// A task that the client submitted or handed over.
#[derive(Debug)]
pub(super) struct SubmittedTask {
    pub(super) shape: Shape,
    /// The scheduler has accepted it.
    pub(super) taken: bool,
    pub(super) deadline: u64,
    pub(super) answer: Option<Answer>,
    /// The cancellation was delivered to the scheduler.
    pub(super) cancelled: bool,
    /// The iteration in which it was delivered is over.
    pub(super) cancellation_handled: bool,
    /// How often the client asked for its state and has had no answer.
    pub(super) questions: u32,
    pub(super) attempts: BTreeMap<u32, SentAttempt>,
}

impl SubmittedTask {
    pub(super) fn new(shape: Shape, deadline: u64) -> Self {
        Self {
            shape,
            taken: false,
            deadline,
            answer: None,
            cancelled: false,
            cancellation_handled: false,
            questions: 0,
            attempts: BTreeMap::new(),
        }
    }
}

/// An offer that a machine reads.
pub(super) struct Offer {
    pub(super) task: u64,
    pub(super) send: u32,
    pub(super) shape: Shape,
    /// Nanoseconds that its attempt has left.
    pub(super) time_out: u64,
}

/// A task that a machine runs.
#[derive(Debug)]
pub(super) struct RunningTask {
    pub(super) task: u64,
    pub(super) send: u32,
    pub(super) shape: Shape,
    /// The scheduler said that it is nobody's.
    pub(super) disowned: bool,
}

/// A machine, as it is and as the scheduler may know it.
pub(super) struct SimulatedMachine {
    pub(super) incarnation: u64,
    /// When this incarnation began, if it is not the first.
    pub(super) up_at: Option<u64>,
    pub(super) connection: Option<ConnectionId>,
    pub(super) greeted: bool,
    /// Connections to it are refused.
    pub(super) refuses: bool,
    /// It reads nothing, and no connection to it is established.
    pub(super) unresponsive: bool,
    /// Offers that it has read and not answered.
    pub(super) queue: VecDeque<(u64, u32, Shape)>,
    pub(super) running: Vec<RunningTask>,
    /// Ends that the scheduler has not acknowledged.
    pub(super) unacknowledged: Vec<(u64, u32, Shape, Ending)>,
    pub(super) last_message: Option<Vec<u8>>,
    /// The endpoint list says that it drains or is gone.
    pub(super) listed_inactive: bool,
    /// The scheduler has handled that.
    pub(super) inactive: bool,
    /// When the present incarnation was announced to the scheduler, by the list or by a handshake.
    pub(super) restart_known_at: Option<u64>,
    /// When it read offers while it warmed up.
    pub(super) cold_offers: VecDeque<u64>,
}

/// How often the case of each rule arose, and cancellations and timeouts by the stage at which they came.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Coverage {
    pub(super) answers: u64,
    pub(super) retries: u64,
    pub(super) drains: u64,
    pub(super) cold_offers: u64,
    pub(super) spread_attempts: u64,
    pub(super) pauses: u64,
    pub(super) claims: u64,
    pub(super) cancelled: BTreeMap<&'static str, u64>,
    pub(super) timed_out: BTreeMap<&'static str, u64>,
}

impl Coverage {
    /// Adds what another run covered.
    pub(super) fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.retries += other.retries;
        self.drains += other.drains;
        self.cold_offers += other.cold_offers;
        self.spread_attempts += other.spread_attempts;
        self.pauses += other.pauses;
        self.claims += other.claims;
        other.cancelled.into_iter().for_each(|(stage, n)| *self.cancelled.entry(stage).or_default() += n);
        other.timed_out.into_iter().for_each(|(stage, n)| *self.timed_out.entry(stage).or_default() += n);
    }
}
