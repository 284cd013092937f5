//! What the planner tells those who watch it, in the text format of OpenMetrics.

use mulleinhub_engine::Counts;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

pub struct Metrics;

impl Metrics {
    /// The text of all figures. They are counted by the engine; gauges only carry them over.
    pub fn text(&self, counts: &Counts) -> String {
        let mut registry = Registry::with_prefix("mulleinhub");
        let figures = [
            ("tasks_taken", "Tasks taken since the start", counts.taken),
            ("tasks_placed", "Tasks placed since the start", counts.placed),
            ("tasks_nacked", "Tasks nacked since the start", counts.nacked),
            ("tasks_errored", "Tasks errored since the start", counts.errored),
            ("sends", "Offers to machines since the start", counts.sends),
            ("late_yes", "Sends accepted after they were over for us", counts.late_yes),
            ("bad_frames", "Frames that were refused", counts.bad_frames),
            ("pending", "Tasks that wait", counts.pending as u64),
            ("sent", "Tasks with a send out", counts.sent as u64),
            ("running", "Tasks placed", counts.running as u64),
            ("machines", "Machines listed", counts.machines as u64),
            ("machines_ready", "Machines connected", counts.machines_ready as u64),
        ];
        for (name, help, value) in figures {
            let gauge: Gauge = Gauge::default();
            gauge.set(value as i64);
            registry.register(name, help, gauge);
        }
        let mut text = String::new();
        encode(&mut text, &registry).expect("a string takes all");
        text
    }
}
