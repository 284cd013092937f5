//! What the planner tells those who watch it, in the text format of OpenMetrics.

use hdrhistogram::Histogram;
use mulleinhub_engine::Engine;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{DescriptorEncoder, NoLabelSet};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Upper ends of the buckets, in seconds.
const ENDS: [f64; 12] = [0.000_1, 0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];

/// A histogram of the engine's, carried over bucket by bucket.
#[derive(Debug)]
struct Told {
    name: &'static str,
    help: &'static str,
    times: Histogram<u64>,
}

impl Collector for Told {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        let mut below = 0;
        let mut buckets = Vec::with_capacity(ENDS.len() + 1);
        for end in ENDS {
            let up_to = self.times.count_between(0, (end * 1e6) as u64);
            buckets.push((end, up_to - below));
            below = up_to;
        }
        buckets.push((f64::MAX, self.times.len() - below));
        let sum = self.times.mean() * self.times.len() as f64 / 1e6;
        encoder
            .encode_descriptor(self.name, self.help, None, MetricType::Histogram)?
            .encode_histogram::<NoLabelSet>(sum, self.times.len(), &buckets, None)
    }
}

pub struct Metrics;

impl Metrics {
    /// The text of all figures. They are counted by the engine; gauges only carry them over.
    pub fn text(&self, engine: &Engine) -> String {
        let (counts, times) = (engine.counts(), engine.latencies());
        let (open, deadlines) = engine.open_clients();
        let mut registry = Registry::with_prefix("mulleinhub");
        let figures = [
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
            ("clients", "Connections of clients", open as u64),
            ("client_deadlines", "Deadlines held for them", deadlines as u64),
            ("client_buffer_bytes", "Bytes of buffers held for connections", engine.buffered_bytes() as u64),
        ];
        for (name, help, value) in figures {
            let gauge: Gauge = Gauge::default();
            gauge.set(value as i64);
            registry.register(name, help, gauge);
        }
        let ended = Family::<[(&str, &str); 1], Gauge>::default();
        for (why, count) in engine.closed_clients() {
            ended.get_or_create(&[("why", why)]).set(count as i64);
        }
        registry.register("clients_ended", "Connections ended or refused by limits since the start", ended);
        let told = [
            ("take_to_send_seconds", "From taking a task to its first offer", times.to_first_attempt),
            ("take_to_answer_seconds", "From taking a task to its final answer", times.to_answer),
        ];
        for (name, help, times) in told {
            registry.register_collector(Box::new(Told { name, help, times }));
        }
        let mut text = String::new();
        encode(&mut text, &registry).expect("a string takes all");
        text
    }
}
