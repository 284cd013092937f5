//! The settings of the schedulers of a run: the same text for real processes and for engines in virtual time.

use super::scenario::Scenario;
use mulleinhub_interface::Resources;
use std::net::SocketAddr;
use std::path::Path;

/// The size of every worker, in cores and GiB.
pub const WORKER_CORES: f64 = 64.0;
pub const WORKER_MEMORY: f64 = 256.0;

/// What every task asks for: so little that thousands of tasks fit on few workers.
pub const TASK_ROOM: Resources = Resources { cores: 0.05, memory: 0.125 };

/// A worker is busy up to here while its tasks are served in full. Schedulers move tasks off workers that are
/// busier than 0.95, and full service tells no more than this.
const FULL_UP_TO: f64 = 0.9;

/// How long a client waits for its answer.
pub const CLIENT_TIMEOUT_SECONDS: u64 = 8;

/// The name of a scheduler, by its number from 0.
pub fn scheduler_name(number: usize) -> String {
    format!("planner-{}", number + 1)
}

/// The number of the scheduler of this name.
pub fn scheduler_number(name: &str) -> Option<usize> {
    name.strip_prefix("planner-")?.parse::<usize>().ok()?.checked_sub(1)
}

/// Where a scheduler listens and keeps its list, where it is a process of its own.
pub struct ProcessPlaces<'a> {
    pub listen: SocketAddr,
    pub state_dir: &'a Path,
}

/// The settings of one scheduler.
pub fn text(scenario: &Scenario, number: usize, list: &str, places: Option<&ProcessPlaces<'_>>) -> String {
    let mut text = format!(
        "name {}\nnumber {number}\nschedulers {}\nseed {}\nhall {}\nlist {list:?}\n",
        scheduler_name(number),
        scenario.schedulers(),
        scenario.seed.wrapping_mul(1_000_003).wrapping_add(number as u64),
        scenario.zone(number),
    );
    if let Some(places) = places {
        text +=
            &format!("listen {}\nstate-dir {:?}\n", places.listen, places.state_dir.display().to_string());
    }
    text += &format!("kind standard {{\n    cores {WORKER_CORES}\n    memory {WORKER_MEMORY}GiB\n}}\n");
    text += &format!(
        "use-case small {{\n    soft-limit 1s\n    client-timeout {CLIENT_TIMEOUT_SECONDS}s\n    \
         effect replayable\n    earnings 1\n    start-seconds 5\n    full-up-to {FULL_UP_TO}\n    fade 0.5\n}}\n"
    );
    text + "taking {\n    accepts-cores 1\n    accepts-memory 1\n}\n"
}
