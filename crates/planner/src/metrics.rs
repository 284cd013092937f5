//! The planner's metrics in the OpenMetrics text format. The engine counts; this module only renders.

use hdrhistogram::Histogram;
use mulleinhub_engine::Engine;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{DescriptorEncoder, NoLabelSet};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Prefix of all metric names.
const PREFIX: &str = "mulleinhub";
/// Upper bounds of the histograms' buckets, in seconds.
const BUCKET_BOUNDS: [f64; 12] = [0.000_1, 0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];
const MICROS_PER_SECOND: f64 = 1e6;

/// One of the engine's latency histograms, whose values are microseconds.
#[derive(Debug)]
struct LatencyHistogram {
    name: &'static str,
    help: &'static str,
    latencies: Histogram<u64>,
}

impl Collector for LatencyHistogram {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        let mut counted = 0;
        let mut buckets = Vec::with_capacity(BUCKET_BOUNDS.len() + 1);
        for bound in BUCKET_BOUNDS {
            let up_to_bound = self.latencies.count_between(0, (bound * MICROS_PER_SECOND) as u64);
            buckets.push((bound, up_to_bound - counted));
            counted = up_to_bound;
        }
        let count = self.latencies.len();
        buckets.push((f64::MAX, count - counted));
        let sum = self.latencies.mean() * count as f64 / MICROS_PER_SECOND;
        encoder
            .encode_descriptor(self.name, self.help, None, MetricType::Histogram)?
            .encode_histogram::<NoLabelSet>(sum, count, &buckets, None)
    }
}

/// All metrics as text.
pub(crate) fn render(engine: &Engine) -> String {
    let mut registry = Registry::with_prefix(PREFIX);
    register_gauges(&mut registry, engine);
    register_closed_connections(&mut registry, engine);
    register_latencies(&mut registry, engine);
    let mut text = String::new();
    encode(&mut text, &registry).expect("writing to a string can't fail");
    text
}

fn register_gauges(registry: &mut Registry, engine: &Engine) {
    let counts = engine.counts();
    let (connections, deadlines) = engine.open_clients();
    let gauges = [
        ("tasks_taken", "Tasks taken since the start", counts.accepted),
        ("tasks_placed", "Tasks placed since the start", counts.placed),
        ("tasks_nacked", "Tasks nacked since the start", counts.rejected),
        ("tasks_errored", "Tasks errored since the start", counts.failed),
        ("sends", "Offers to machines since the start", counts.attempts),
        ("late_yes", "Sends accepted after they were over for us", counts.late_acceptances),
        ("bad_frames", "Frames that were refused", counts.protocol_errors),
        ("pending", "Tasks that wait", counts.pending as u64),
        ("sent", "Tasks with a send out", counts.in_flight as u64),
        ("running", "Tasks placed", counts.running as u64),
        ("machines", "Machines listed", counts.machines as u64),
        ("machines_ready", "Machines connected", counts.machines_ready as u64),
        ("ready", "1 where tasks may be given to this planner", u64::from(engine.not_ready().is_none())),
        ("clients", "Connections of clients", connections as u64),
        ("client_deadlines", "Deadlines held for them", deadlines as u64),
        ("client_buffer_bytes", "Bytes of buffers held for connections", engine.buffered_bytes() as u64),
    ];
    for (name, help, value) in gauges {
        let gauge: Gauge = Gauge::default();
        gauge.set(value as i64);
        registry.register(name, help, gauge);
    }
}

fn register_closed_connections(registry: &mut Registry, engine: &Engine) {
    let closed = Family::<[(&str, &str); 1], Gauge>::default();
    for (reason, count) in engine.closed_clients() {
        closed.get_or_create(&[("why", reason)]).set(count as i64);
    }
    registry.register("clients_ended", "Connections ended or refused by limits since the start", closed);
}

fn register_latencies(registry: &mut Registry, engine: &Engine) {
    let times = engine.latencies();
    let histograms = [
        ("take_to_send_seconds", "From taking a task to its first offer", times.to_first_attempt),
        ("take_to_answer_seconds", "From taking a task to its final answer", times.to_answer),
    ];
    for (name, help, latencies) in histograms {
        registry.register_collector(Box::new(LatencyHistogram { name, help, latencies }));
    }
}
