//! A scheduler process with the fault shim in it, and its successors at the same address.

use crate::addresses::{Role, address_of};
use crate::plan::Plan;
use crate::world::RunError;
use mulleinhub_fault_shim::{LOG_VARIABLE, PLAN_VARIABLE, SEED_VARIABLE};
use rustix::process::{Pid, Signal, kill_process};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const PLANNER: &str = "mulleinhub-planner";
const SHIM: &str = "libmulleinhub_fault_shim.so";

/// A scheduler.
pub struct Scheduler {
    /// Where clients connect.
    pub address: SocketAddr,
    /// Increases with each process.
    pub incarnation: u32,
    /// When SIGTERM was sent to the present process.
    pub terminated_at: Option<Instant>,
    /// When the present process gets SIGKILL.
    pub kill_at: Option<Instant>,
    /// When a paused process is continued.
    pub continue_at: Option<Instant>,
    /// When the next process starts.
    pub restart_at: Option<Instant>,
    /// The present process, if one runs.
    pub child: Option<Child>,
    index: usize,
    folder: PathBuf,
}

impl Scheduler {
    /// A scheduler that does not run yet.
    pub fn new(index: usize, folder: &Path) -> Result<Self, RunError> {
        let address = TcpListener::bind((address_of(Role::Scheduler, index), 0))?.local_addr()?;
        Ok(Self {
            address,
            incarnation: 0,
            terminated_at: None,
            kill_at: None,
            continue_at: None,
            restart_at: None,
            child: None,
            index,
            folder: folder.to_owned(),
        })
    }

    fn file(&self, name: &str) -> PathBuf {
        self.folder.join(format!("n{}.{name}", self.index))
    }

    /// Writes its configuration.
    pub fn configure(&self, plan: &Plan, discovery: SocketAddr, known: &str) -> Result<(), RunError> {
        std::fs::write(self.file("config"), configuration(plan, self.index, self.address, discovery, known))?;
        Ok(())
    }

    /// Starts a process.
    pub fn start(&mut self, plan: &Plan, programs: &Path) -> Result<(), RunError> {
        let shim = programs.join(SHIM);
        let planner = programs.join(PLANNER);
        for program in [&shim, &planner] {
            if !program.exists() {
                return Err(RunError::MissingProgram(program.clone()));
            }
        }
        std::fs::write(self.file("plan"), &plan.shim[self.index])?;
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.file("log"))?;
        self.incarnation += 1;
        let seed = plan.seed * 1_000 + self.index as u64 * 10 + u64::from(self.incarnation);
        let limit = format!("ulimit -n {} && exec {} platform", plan.descriptors, planner.display());
        let child = Command::new("sh")
            .args(["-c", &limit])
            .env("LB_CONFIG", self.file("config"))
            .env("LB_LISTEN", self.address.to_string())
            .env("LB_NAME", format!("n{}", self.index))
            .env("RUST_LOG", "info,mulleinhub_platform=debug")
            .env("LD_PRELOAD", shim)
            .env(PLAN_VARIABLE, self.file("plan"))
            .env(LOG_VARIABLE, self.file("faults"))
            .env(SEED_VARIABLE, seed.to_string())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        (self.terminated_at, self.kill_at, self.continue_at, self.restart_at) = (None, None, None, None);
        Ok(())
    }

    /// Sends a signal to the present process, if one runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // One that has just ended gets none.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Kills the present process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The exit status of a process that has ended by itself; it is taken then.
    pub fn take_exit(&mut self) -> Option<Option<i32>> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        self.child = None;
        Some(status.code())
    }

    /// The lines of the log of injected faults.
    pub fn injected(&self) -> Vec<String> {
        let text = std::fs::read_to_string(self.file("faults")).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        self.kill();
    }
}

fn nanos(duration: Duration) -> u128 {
    duration.as_nanos()
}

fn configuration(
    plan: &Plan,
    index: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &str,
) -> String {
    let Plan { seed, schedulers, slow_start_budget, descriptors, .. } = plan;
    let (timeout, idle) = (nanos(plan.client_timeout), nanos(plan.idle_timeout));
    format!(
        r#"{{"name":"n{index}","listen":"{listen}","seed":"{seed:016x}","bulletin":"{discovery}",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":{descriptors}}},"known":{known},
        "settings":{{"balancers":{schedulers},"index":{index},"myZone":0,"discovery":"push",
        "localities":["hall"],"shapes":["big"],
        "classes":[{{"name":"front","effect":"repeatable","target":1000000000,"deadline":{timeout},"gain":9}},
                   {{"name":"batch","effect":"by_key","group":"cell","window":3000000000,
                     "target":1000000000,"deadline":{timeout},"gain":9}},
                   {{"name":"once","effect":"once","target":1000000000,"deadline":{timeout},"gain":9}}],
        "limits":{{"cancel":true,"connectTimeout":250000000,"keepalive":{idle},"maxAttempts":4}},
        "rules":{{"askWithin":10000000000,"fall":1000000000,"warmAfter":10000000000}},
        "specifics":{{"acceptsCores":2.0,"acceptsMemory":1.2,"kindCores":[32],"memoryByKind":[64],
                      "precedence":[0,0,0],"yesAt":"accepted","youngLimit":{slow_start_budget},
                      "tellsPressure":false}},"tariffs":{{}}}}}}"#
    )
}
