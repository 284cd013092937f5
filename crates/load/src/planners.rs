//! Planners in processes of their own, and what the system tells of them.

use mulleinhub_day::Day;
use mulleinhub_runner::planner_text;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// What a process used up to now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub cpu: Duration,
    /// Resident now, in KiB.
    pub resident: u64,
}

pub struct Planner {
    program: PathBuf,
    /// Before the settings: a word of this program, or nothing.
    word: Option<&'static str>,
    settings: PathBuf,
    log: PathBuf,
    pub address: SocketAddr,
    child: Option<Child>,
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
        let text = planner_text(day, n, Some(address), list, None).show() + clients;
        let settings = folder.join(format!("planner-{}.conf", n + 1));
        std::fs::write(&settings, text).map_err(|e| format!("{}: {e}", settings.display()))?;
        let ourselves = std::env::current_exe().map_err(|e| format!("this program: {e}"))?;
        let mut planner = Self {
            program: program.map_or(ourselves, Path::to_owned),
            word: program.is_none().then_some("planner"),
            settings,
            log: folder.join(format!("planner-{}.log", n + 1)),
            address,
            child: None,
        };
        planner.again()?;
        Ok(planner)
    }

    /// Starts it, after a kill.
    ///
    /// # Errors
    /// What the system refuses.
    pub fn again(&mut self) -> Result<(), String> {
        let log = std::fs::File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|e| format!("{}: {e}", self.log.display()))?;
        let child = Command::new(&self.program)
            .args(self.word)
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{}: {e}", self.program.display()))?;
        self.child = Some(child);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// # Errors
    /// That it has ended by itself, and where its log is.
    pub fn lives(&mut self) -> Result<(), String> {
        match self.child.as_mut().map(Child::try_wait) {
            Some(Ok(Some(status))) => {
                Err(format!("a planner ended by itself ({status}); its log: {}", self.log.display()))
            }
            _ => Ok(()),
        }
    }

    pub fn usage(&self) -> Usage {
        self.child.as_ref().map_or(Usage::default(), |child| usage_of(child.id()))
    }
}

impl Drop for Planner {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Nothing where the system doesn't tell.
fn usage_of(pid: u32) -> Usage {
    let schedstat = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
    let cpu = schedstat.split(' ').next().and_then(|nanos| nanos.parse().ok()).unwrap_or(0);
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let resident = kib(&status, "VmRSS:").unwrap_or(0);
    Usage { cpu: Duration::from_nanos(cpu), resident }
}

fn kib(text: &str, name: &str) -> Option<u64> {
    let words = text.lines().find_map(|line| line.strip_prefix(name))?;
    words.trim().strip_suffix(" kB")?.trim().parse().ok()
}

/// What the kernel holds in its own caches, in KiB: sockets of both ends among it.
pub fn kernel_memory() -> u64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    kib(&text, "Slab:").unwrap_or(0)
}
