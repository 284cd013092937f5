//! The settings of one scheduler.

use mulleinhub_interface::{
    AcceptanceRules, Discovery, Duration, LocalityCosts, Resources, SlowStart, UseCase,
};

/// What a scheduler is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The scheduler's name; machines know it by this name over its incarnations.
    pub name: String,
    /// Seeds the random draws, together with the name and the incarnation.
    pub seed: u64,
    /// The use cases that clients may submit tasks of.
    pub use_cases: Vec<UseCase>,
    /// The capacity of each kind of machine.
    pub machine_kinds: Vec<Resources>,
    /// When machines accept tasks.
    pub acceptance: AcceptanceRules,
    /// How machines that have just started are loaded.
    pub slow_start: SlowStart,
    /// How the endpoint list is learnt.
    pub discovery: Discovery,
    /// What placement away from this scheduler costs.
    pub locality: LocalityCosts,
    /// The address of the endpoint list service.
    pub endpoint_list_address: String,
    /// The first backoff between two attempts to connect to a machine; it doubles up to eight times that.
    pub reconnect_backoff: Duration,
    /// After so long without a connection, the tasks on a machine are lost.
    pub lost_after: Duration,
    /// A machine that was pinged and is silent for so long has its connection closed.
    pub ping_timeout: Duration,
    /// How long a final answer is kept for a client that comes back.
    pub answer_retention: Duration,
    /// How long a start waits for machines to report their tasks before it serves clients.
    pub startup_grace: Duration,
    /// The limits on clients' connections.
    pub client_limits: mulleinhub_limits::Settings,
    /// Open tasks without a final answer at a time; more are rejected on arrival.
    pub max_open_tasks: usize,
    /// Bytes that may wait for one peer that doesn't read; with more its connection is closed.
    pub max_unsent_bytes: usize,
}
