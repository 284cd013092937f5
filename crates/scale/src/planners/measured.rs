//! What one run came to, whichever host played it, and the samples that results are made of.

use super::client::ClientCounts;
use super::scenario::Scenario;
use super::surroundings::Surroundings;
use super::traffic::{Flow, Peer, SchedulerTraffic};
use crate::results::{Metric, Role, Run, Sample, Size};
use mulleinhub_engine::Counts;
use mulleinhub_interface::{Duration, Timestamp};

/// The figures of one run. Each list has a place for each scheduler.
#[derive(Clone, Debug)]
pub struct Measured {
    /// Seconds that were measured.
    pub seconds: f64,
    /// Traffic of the whole run, and of what was measured.
    pub total: Vec<SchedulerTraffic>,
    pub flows: Vec<[Flow; Peer::ALL.len()]>,
    /// Tasks that began to run, of all schedulers, while it was measured.
    pub started: u64,
    /// Processor seconds while it was measured.
    pub processor: Vec<f64>,
    /// Bytes by the allocator's count, where the program counts them, and resident ones, where it is a
    /// process.
    pub memory: Option<Vec<u64>>,
    pub resident: Option<Vec<u64>>,
    /// From the start of a scheduler until it is ready, and its processor seconds until then: of those that
    /// came back after a failure, or of all that started together, where none fails.
    pub start_up: Vec<Duration>,
    pub start_up_processor: Vec<f64>,
    /// What engines count of themselves over the whole run, where they can be looked into.
    pub counts: Option<Vec<Counts>>,
    /// What clients saw over the whole run.
    pub clients: Vec<ClientCounts>,
    /// Tasks that ran when measuring ended.
    pub running: usize,
}

/// The traffic between two looks.
pub fn flows_between(
    before: &[SchedulerTraffic],
    after: &[SchedulerTraffic],
) -> Vec<[Flow; Peer::ALL.len()]> {
    let of = |(before, after): (&SchedulerTraffic, &SchedulerTraffic)| {
        Peer::ALL.map(|peer| after.with(peer).since(&before.with(peer)))
    };
    before.iter().zip(after).map(of).collect()
}

/// Tasks that began to run between two looks.
pub fn started_between(before: &[SchedulerTraffic], after: &[SchedulerTraffic]) -> u64 {
    let runs = |traffic: &[SchedulerTraffic]| traffic.iter().map(|t| t.kinds.runs).sum::<u64>();
    runs(after) - runs(before)
}

/// # Errors
/// Where a scheduler is not ready, as then nothing that follows can be measured.
pub fn check_ready(scenario: &Scenario, surroundings: &Surroundings, when: &str) -> Result<(), String> {
    let start_ups = surroundings.start_ups();
    let Some(number) = start_ups.iter().position(|start_up| !start_up.is_ready) else { return Ok(()) };
    let reached = start_ups[number].workers_greeted;
    Err(format!(
        "scheduler {} of {} is not ready when {when}: it has reached {reached} of {} workers",
        number + 1,
        scenario.schedulers(),
        scenario.workers()
    ))
}

/// How long starts took, of those that results tell.
pub fn start_ups(scenario: &Scenario, surroundings: &Surroundings) -> Vec<Duration> {
    let told = |began: Timestamp| is_told_start(scenario, began);
    surroundings.done_starts().iter().filter(|done| told(done.began)).map(|done| done.took).collect()
}

/// Whether results tell of a start that began then.
pub fn is_told_start(scenario: &Scenario, began: Timestamp) -> bool {
    !scenario.has_failures() || began >= scenario.from
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let many = values.len().max(1) as f64;
    values.sum::<f64>() / many
}

/// The role that stands for the conversation with a peer.
fn role(peer: Peer) -> Role {
    match peer {
        Peer::List => Role::Discovery,
        Peer::Worker => Role::Worker,
        Peer::Client => Role::Client,
    }
}

impl Measured {
    /// The samples of this run: see the module `planners` for what roles and metrics mean here.
    #[must_use]
    pub fn samples(&self) -> Vec<Sample> {
        let mut samples = Vec::new();
        let totals: Vec<Flow> = self.flows.iter().map(sum).collect();
        self.add_flow(Role::Scheduler, &totals, &mut samples);
        for peer in Peer::ALL {
            let flows: Vec<Flow> = self.flows.iter().map(|flows| flows[peer as usize]).collect();
            self.add_flow(role(peer), &flows, &mut samples);
        }
        let mut add =
            |metric: Metric, value: f64| samples.push(Sample { role: Role::Scheduler, metric, value });
        add(Metric::Processor, mean(self.processor.iter().map(|seconds| seconds / self.seconds)));
        if let Some(memory) = &self.memory {
            add(Metric::Memory, mean(memory.iter().map(|bytes| *bytes as f64)));
        }
        if let Some(resident) = &self.resident {
            add(Metric::Resident, mean(resident.iter().map(|bytes| *bytes as f64)));
        }
        let longest = self.start_up.iter().copied().max().unwrap_or_default();
        add(Metric::StartUp, longest.nanos() as f64 / 1e9);
        add(Metric::StartUpProcessor, mean(self.start_up_processor.iter().copied()));
        add(Metric::Started, self.started as f64 / self.seconds);
        samples
    }

    fn add_flow(&self, role: Role, flows: &[Flow], samples: &mut Vec<Sample>) {
        let mut add = |metric: Metric, of: fn(&Flow) -> u64| {
            let value = mean(flows.iter().map(|flow| of(flow) as f64 / self.seconds));
            samples.push(Sample { role, metric, value });
        };
        add(Metric::BytesIn, |flow| flow.bytes_in);
        add(Metric::BytesOut, |flow| flow.bytes_out);
        add(Metric::MessagesIn, |flow| flow.messages_in);
        add(Metric::MessagesOut, |flow| flow.messages_out);
    }

    /// As a run of results.
    #[must_use]
    pub fn run(&self, size: Size, varied: f64, held_out: bool) -> Run {
        Run { size, varied, held_out, seconds: self.seconds, samples: self.samples() }
    }
}

fn sum(flows: &[Flow; Peer::ALL.len()]) -> Flow {
    flows.iter().fold(Flow::default(), |sum, flow| sum.plus(flow))
}
