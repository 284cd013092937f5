//! Schedulers in processes of their own, over loopback sockets, with hollow workers in this process.
//!
//! Round trips of the profile are not played: loopback has its own, far shorter ones.

use super::measured::{Measured, check_ready, flows_between, is_told_start, start_ups, started_between};
use super::scenario::{Deed, Scenario};
use super::settings::{self, ProcessPlaces, scheduler_name};
use super::surroundings::{LIST_DOOR, Surroundings};
use super::traffic::SchedulerTraffic;
use mulleinhub_event_loop::EventLoop;
use mulleinhub_interface::Timestamp;
use mulleinhub_load_test::PlannerProcess;
use mulleinhub_sans_io::ListenerId;
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The most processes of one run.
pub const MOST_PROCESSES: usize = 200;
/// Descriptors that are left for what is no connection of the run.
const SPARE_DESCRIPTORS: usize = 100;
/// The longest wait of one step.
const STEP: Duration = Duration::from_millis(5);
/// How often it is looked whether a process has ended by itself.
const LOOKS: u64 = 200_000_000;

/// A look at the counts of a run.
struct Look {
    at: Timestamp,
    traffic: Vec<SchedulerTraffic>,
    /// Processor seconds of each scheduler so far.
    processor: Vec<f64>,
    resident: Vec<u64>,
}

/// One scheduler over its lives.
struct Process {
    planner: PlannerProcess,
    /// Processor seconds of its former lives.
    spent: f64,
    starting: bool,
}

struct RealHost<'a> {
    scenario: &'a Scenario,
    shell: EventLoop<Surroundings>,
    processes: Vec<Process>,
    deeds: VecDeque<(Timestamp, Deed, usize)>,
    /// Processor seconds of each start that is done and told.
    start_up_processor: Vec<f64>,
    looked: u64,
}

/// Plays a run; nothing as `program` is this program with its command `planner`.
///
/// # Errors
/// Where the system refuses something, a process ends by itself, or the run doesn't fit.
pub fn play(scenario: &Scenario, program: Option<&Path>) -> Result<Measured, String> {
    check_fits(scenario)?;
    let folder = tempfile::tempdir().map_err(|e| format!("a folder for settings: {e}"))?;
    let mut host = RealHost::new(scenario, folder.path(), program)?;
    host.step_until(scenario.from)?;
    check_ready(scenario, &host.shell.state_machine, "measuring begins")?;
    let before = host.look();
    host.step_until(scenario.until)?;
    let after = host.look();
    let running = host.shell.state_machine.running();
    host.step_until(scenario.over())?;
    check_ready(scenario, &host.shell.state_machine, "the run ends")?;
    let surroundings = &host.shell.state_machine;
    let spent = before.processor.iter().zip(&after.processor);
    Ok(Measured {
        seconds: (after.at - before.at).nanos() as f64 / 1e9,
        flows: flows_between(&before.traffic, &after.traffic),
        started: started_between(&before.traffic, &after.traffic),
        total: surroundings.traffic().to_vec(),
        processor: spent.map(|(before, after)| after - before).collect(),
        memory: None,
        resident: Some(after.resident),
        start_up: start_ups(scenario, surroundings),
        start_up_processor: host.start_up_processor.clone(),
        counts: None,
        clients: surroundings.clients().map(|client| client.counts).collect(),
        running,
    })
}

fn check_fits(scenario: &Scenario) -> Result<(), String> {
    let (schedulers, workers) = (scenario.schedulers(), scenario.workers());
    if schedulers > MOST_PROCESSES {
        return Err(format!("schedulers: {schedulers} processes, {MOST_PROCESSES} at most"));
    }
    let wanted = workers + workers * schedulers + 2 * schedulers + SPARE_DESCRIPTORS;
    match mulleinhub_event_loop::descriptor_limit() {
        Some(most) if wanted > most => Err(format!(
            "{workers} listeners and {schedulers} x {workers} connections want {wanted} descriptors, \
             {most} are allowed"
        )),
        _ => Ok(()),
    }
}

/// A port that was free a moment ago, at a loopback address of the scheduler's own. Met at a common address:
/// one of the many connections to others took the port before its scheduler listened there.
fn free_port(number: usize) -> Result<SocketAddr, String> {
    let own = Ipv4Addr::new(127, 0, 1, 1 + number as u8);
    let probe = TcpListener::bind((own, 0)).map_err(|e| format!("a free port: {e}"))?;
    probe.local_addr().map_err(|e| format!("a free port: {e}"))
}

impl<'a> RealHost<'a> {
    fn new(scenario: &'a Scenario, folder: &Path, program: Option<&Path>) -> Result<Self, String> {
        let mut shell = EventLoop::new(Surroundings::new(scenario)).map_err(|e| format!("poll: {e}"))?;
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listening = |e: std::io::Error| format!("a listener: {e}");
        for worker in 0..scenario.workers() {
            let address = shell.listen(any, ListenerId(worker as u32)).map_err(listening)?;
            shell.state_machine.set_address(worker, &address.to_string());
        }
        let list = shell.listen(any, LIST_DOOR).map_err(listening)?.to_string();
        let mut processes = Vec::new();
        for number in 0..scenario.schedulers() {
            let listen = free_port(number)?;
            shell.set_address(scheduler_name(number), listen);
            let file = |end: &str| folder.join(format!("{}.{end}", scheduler_name(number)));
            let places = ProcessPlaces { listen, state_dir: &file("state") };
            let text = settings::text(scenario, number, &list, Some(&places));
            let path: PathBuf = file("conf");
            std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
            let planner = PlannerProcess::new(path, file("log"), program);
            processes.push(Process { planner, spent: 0.0, starting: false });
        }
        let deeds = scenario.deeds();
        Ok(Self { scenario, shell, processes, deeds, start_up_processor: Vec::new(), looked: 0 })
    }

    fn step_until(&mut self, until: Timestamp) -> Result<(), String> {
        while self.shell.now() < until {
            let left = Duration::from_nanos((until - self.shell.now()).nanos());
            self.shell.run_once(STEP.min(left)).map_err(|e| format!("poll: {e}"))?;
            self.do_deeds()?;
            self.note_ready();
            let looks = self.shell.now().nanos() / LOOKS;
            if looks > self.looked {
                self.looked = looks;
                self.check_processes()?;
            }
        }
        Ok(())
    }

    fn do_deeds(&mut self) -> Result<(), String> {
        let now = self.shell.now();
        while let Some((_, deed, number)) = self.deeds.pop_front_if(|(at, ..)| *at <= now) {
            let process = &mut self.processes[number];
            match deed {
                Deed::Start => {
                    process.planner.start()?;
                    process.starting = true;
                    let now = self.shell.now();
                    self.shell.state_machine.starts(now, number);
                }
                Deed::Fail => {
                    process.spent += process.planner.usage().cpu.as_secs_f64();
                    process.planner.kill();
                }
            }
        }
        Ok(())
    }

    fn note_ready(&mut self) {
        let start_ups = self.shell.state_machine.start_ups().iter();
        for (start_up, process) in start_ups.zip(&mut self.processes) {
            if !start_up.is_ready || !std::mem::take(&mut process.starting) {
                continue;
            }
            if is_told_start(self.scenario, start_up.began) {
                self.start_up_processor.push(process.planner.usage().cpu.as_secs_f64());
            }
        }
    }

    fn check_processes(&mut self) -> Result<(), String> {
        for (number, process) in self.processes.iter_mut().enumerate() {
            if let Some(status) = process.planner.ended() {
                let log = std::fs::read_to_string(&process.planner.log).unwrap_or_default();
                let last = log.lines().last().unwrap_or_default();
                let number = number + 1;
                let many = self.scenario.schedulers();
                return Err(format!("scheduler {number} of {many} ended by itself ({status}): {last}"));
            }
        }
        Ok(())
    }

    fn look(&self) -> Look {
        let usage: Vec<_> = self.processes.iter().map(|process| process.planner.usage()).collect();
        let spent = self.processes.iter().map(|process| process.spent);
        Look {
            at: self.shell.now(),
            traffic: self.shell.state_machine.traffic().to_vec(),
            processor: usage
                .iter()
                .zip(spent)
                .map(|(usage, spent)| spent + usage.cpu.as_secs_f64())
                .collect(),
            resident: usage.iter().map(|usage| usage.resident * 1024).collect(),
        }
    }
}
