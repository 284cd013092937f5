//! How long a machine may be silent, and how long its connections are kept.

use mulleinhub_interface::{Duration, Timestamp};

/// A client must be notified within this of the end of a task that nobody could report.
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(8);
/// The part of that time after which a silent machine is lost. Seen: where machines were given up after half
/// of it, a part of the cluster that was partitioned for six seconds came back to find its tasks released,
/// and two in five tasks of that day were lost for nothing. The rest is for tasks that ended while their machine
/// was still heard of on another connection, and for what a sign of life takes on its way. Seen: incident 22ad20,
/// where half a second was not enough for ends that lay 0.57 and 0.66 seconds before the last note.
const LOST_PART: f64 = 0.9;
/// Time between two checks, as a part of the time after which a machine is lost.
const CHECK_PART: f64 = 0.06;
/// Time after which a silent machine is probed at the latest, as a part of the same: its last sign of life must be
/// recent whenever it falls silent, as a partition of six seconds is to lose no tasks.
const PROBE_PART: f64 = 0.1;
/// The part of that time that is random, so that machines heard of at one moment are not probed at one.
const PROBE_JITTER: f64 = 0.25;
/// Until when a probe that is not answered is followed by others without backoff, as a part of the same: a single
/// connection may come up late or never.
const FIRST_PROBES_PART: f64 = 0.2;
/// Where all descriptors are in use, machines are probed in turn, each after this part of the same at the latest,
/// and no faster than this part of the descriptors allows: the others are for start requests.
const TOUR_PART: f64 = 0.4;
const TOUR_DESCRIPTORS_PART: f64 = 0.5;
/// When the last probes of a silent machine begin, and the time between two of them, as parts of the same. They
/// don't wait for one another: a machine that has just become reachable again must be noticed in time.
const FINAL_PROBES_PART: f64 = 0.8;
const FINAL_PROBE_INTERVAL_PART: f64 = 0.015;
/// Time between the first probes, as a part of the time within which a connection is established.
const FIRST_PROBE_INTERVAL_PART: f64 = 0.5;
/// For how long a machine is asked for a sign of life at least before it is lost, as a part of the same: where nothing
/// ran, nobody asked.
const LEAST_WATCH_PART: f64 = 0.2;
/// When an idle connection is closed, as a part of the time after which machines close it.
const IDLE_PART: f64 = 0.6;

/// Timeouts of machines and of the connections to them.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Between two checks of a machine.
    pub check_interval: Duration,
    /// A machine silent for this long is probed by a new connection, which costs it no work, unlike a health
    /// check.
    pub probe_after: Duration,
    /// Until it has been silent for this long, further probes follow without backoff.
    pub first_probes_until: Duration,
    /// Between two of these probes.
    pub first_probe_interval: Duration,
    /// A machine silent for this long is probed at short intervals.
    pub final_probes_after: Duration,
    /// Between two of these probes.
    pub final_probe_interval: Duration,
    /// A machine silent for this long that accepts no connection is lost, with the tasks that ran there.
    pub lost_after: Duration,
    /// A machine on which a task has become known to run is lost no sooner than this after that.
    pub least_watch: Duration,
    /// A connection that is not established by then will not be.
    pub connect: Duration,
    /// Idle connections are closed by this side before the machine does.
    pub idle: Duration,
    /// Delay before the first reconnect.
    pub reconnect: Duration,
}

impl Timeouts {
    /// For machines that close idle connections after `idle_timeout`, and connections that are established
    /// within `connect_timeout`.
    pub fn new(idle_timeout: Duration, connect_timeout: Duration) -> Self {
        let lost_after = MAX_NOTIFICATION_DELAY * LOST_PART;
        Self {
            check_interval: lost_after * CHECK_PART,
            probe_after: lost_after * PROBE_PART * (1.0 - PROBE_JITTER),
            first_probes_until: lost_after * FIRST_PROBES_PART,
            first_probe_interval: connect_timeout * FIRST_PROBE_INTERVAL_PART,
            final_probes_after: lost_after * FINAL_PROBES_PART,
            final_probe_interval: lost_after * FINAL_PROBE_INTERVAL_PART,
            lost_after,
            least_watch: lost_after * LEAST_WATCH_PART,
            connect: connect_timeout,
            idle: idle_timeout * IDLE_PART,
            reconnect: connect_timeout,
        }
    }

    /// After how long a silent machine is probed where all of `descriptors` are in use, and tasks run on so many
    /// machines. The connection of each probe is kept for as long as one may take to be established.
    pub fn tour_interval(&self, machines: usize, descriptors: usize) -> Duration {
        let places = (descriptors as f64 * TOUR_DESCRIPTORS_PART).max(1.0);
        let tour = self.connect * (machines as f64 / places);
        tour.max(self.probe_after).min(self.lost_after * TOUR_PART)
    }

    /// When a machine that was last heard of then is probed at the latest; `random` is from 0 to 1.
    pub fn probe_at(&self, last_seen_at: Timestamp, random: f64) -> Timestamp {
        let latest = self.lost_after * PROBE_PART;
        last_seen_at + latest * (1.0 - PROBE_JITTER * random)
    }

    /// Whether a probe of a machine that has been silent for so long is one of the first.
    pub fn is_first_probe(&self, silence: Duration) -> bool {
        silence >= self.probe_after && silence < self.first_probes_until
    }

    /// When the next probe of a machine follows that has been silent for so long and was probed just now; none
    /// where the ordinary checks do.
    pub fn next_probe_after(&self, silence: Duration) -> Option<Duration> {
        if self.is_first_probe(silence) {
            Some(self.first_probe_interval)
        } else if silence >= self.final_probes_after && silence < self.lost_after {
            Some(self.final_probe_interval)
        } else {
            None
        }
    }
}
