//! The planners of a campaign, each with an address of its own.

use crate::process::{PlannerProcess, kib};
use mulleinhub_scenario::Day;
use mulleinhub_simulation::planner_settings_text;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;

pub struct Planner {
    pub address: SocketAddr,
    pub process: PlannerProcess,
}

impl Planner {
    /// Writes the settings of the n-th planner and starts it. `program` is run in place of this one.
    ///
    /// # Errors
    /// What the system refuses, in words.
    pub fn start(
        day: &Day,
        n: usize,
        list: String,
        folder: &Path,
        program: Option<&Path>,
        clients: &str,
    ) -> Result<Self, String> {
        // An address of its own for each: their ports can't be taken by the many connections to others.
        let host = Ipv4Addr::new(127, 0, 1, 1 + n as u8);
        let probe = TcpListener::bind((host, 0)).map_err(|e| format!("a free port: {e}"))?;
        let address = probe.local_addr().map_err(|e| format!("a free port: {e}"))?;
        drop(probe);
        let text = planner_settings_text(day, n, Some(address), list, None, None).render() + clients;
        let settings = folder.join(format!("planner-{}.conf", n + 1));
        std::fs::write(&settings, text).map_err(|e| format!("{}: {e}", settings.display()))?;
        let log = folder.join(format!("planner-{}.log", n + 1));
        let mut process = PlannerProcess::new(settings, log, program);
        process.start()?;
        Ok(Self { address, process })
    }

    /// # Errors
    /// That it has ended by itself, and where its log is.
    pub fn lives(&mut self) -> Result<(), String> {
        match self.process.ended() {
            Some(status) => {
                Err(format!("a planner ended by itself ({status}); its log: {}", self.process.log.display()))
            }
            None => Ok(()),
        }
    }
}

/// What the kernel holds in its own caches, in KiB: sockets of both ends among it.
pub fn kernel_memory() -> u64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    kib(&text, "Slab:").unwrap_or(0)
}
