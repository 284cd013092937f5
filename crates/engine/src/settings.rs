//! What a planner is started with.

use mulleinhub_interface::Duration;
use mulleinhub_interface::{AcceptanceRules, Discovery, LocalityCosts, Resources, SlowStart, UseCase};

#[derive(Clone, Debug)]
pub struct Settings {
    /// Machines know a planner by it, over its lives.
    pub name: String,
    pub seed: u64,
    pub use_cases: Vec<UseCase>,
    pub kinds: Vec<Resources>,
    pub taking: AcceptanceRules,
    pub cold: SlowStart,
    pub listing: Discovery,
    pub home: LocalityCosts,
    pub list_address: String,
    /// Between two tries to reach a machine, at first; it doubles up to eight times that.
    pub reconnect: Duration,
    /// After so long out of reach, the tasks on a machine are taken for lost.
    pub lost_after: Duration,
    /// A machine that is asked for a sign of life, and silent for so long, has its connection ended.
    pub silence: Duration,
    /// How long a final answer is remembered for a client that comes back.
    pub remember: Duration,
    /// How long a start waits for machines to tell what they hold, before it hears clients.
    pub start_wait: Duration,
    /// Of clients' connections.
    pub clients: mulleinhub_limits::Settings,
    /// Tasks without a final answer that are held at a time; more are nacked at the door.
    pub most_in_hand: usize,
    /// Bytes that may wait for one peer that doesn't read; with more the connection is ended.
    pub most_unwritten: usize,
}
