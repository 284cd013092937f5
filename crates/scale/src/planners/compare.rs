//! The same run over sockets and in virtual time, side by side.

use crate::results::{Metric, Role, Run};

/// One figure of both.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Compared {
    pub role: Role,
    pub metric: Metric,
    pub real: f64,
    pub in_virtual_time: f64,
}

impl Compared {
    /// How many times the figure in virtual time the real one is; nothing where there is none.
    #[must_use]
    pub fn factor(&self) -> Option<f64> {
        (self.in_virtual_time > 0.0).then(|| self.real / self.in_virtual_time)
    }

    /// Whether it counts bytes or messages, which both hosts should count alike.
    #[must_use]
    pub fn is_traffic(&self) -> bool {
        use Metric as M;
        matches!(self.metric, M::BytesIn | M::BytesOut | M::MessagesIn | M::MessagesOut)
    }
}

/// All figures that both runs have, in the order of the real one's.
#[must_use]
pub fn compare(real: &Run, in_virtual_time: &Run) -> Vec<Compared> {
    let both = |sample: &crate::results::Sample| {
        let other = in_virtual_time.value(sample.role, sample.metric)?;
        let (role, metric) = (sample.role, sample.metric);
        Some(Compared { role, metric, real: sample.value, in_virtual_time: other })
    };
    real.samples.iter().filter_map(both).collect()
}
