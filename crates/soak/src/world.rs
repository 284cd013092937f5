//! One run: everything around the schedulers, in one thread.

use crate::checker::{ProcessEnd, check};
use crate::clients::{Answer, Clients, ProcessView, Requests};
use crate::connection::Connection;
use crate::discovery::{Discovery, list_entry};
use crate::machines::{Machine, Observation, Observed};
use crate::plan::{Action, Plan, RUN_TIME};
use crate::process::Scheduler;
use mulleinhub_platform_protocol::{cause, kind, write_with_cause};
use rustix::process::Signal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Between two steps.
const STEP: Duration = Duration::from_millis(1);
/// A run in which this program itself was held up for longer is not counted: its own times are wrong then.
const MAX_STALL: Duration = Duration::from_millis(100);
/// All schedulers must be ready within this at the start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Requests are sent until so long before the end.
const QUIET_TIME: Duration = Duration::from_millis(4_500);
/// The longest timeout that counts for SIGKILL, and what comes on top of it.
const MAX_KILL_TIMEOUT: Duration = Duration::from_secs(3);
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// From the end of a process to the start of the next one, and until clients hand running tasks over.
const RESTART_DELAY: Duration = Duration::from_millis(300);
const HANDOVER_DELAY: Duration = Duration::from_millis(1_000);
/// How long a machine keeps on holding answers up, and how many releases overtake.
const OVERTAKING: usize = 2;
const RELOADS: usize = 4;

/// Why a run could not be played.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A file, a socket or a process.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A program that has to be built before.
    #[error("{0} is missing: build the workspace first")]
    MissingProgram(PathBuf),
    /// A scheduler that was not ready in time at the start, before any fault.
    #[error("scheduler {0} is not ready")]
    NotReady(usize),
}

/// How a run ended.
pub struct RunReport {
    /// What broke a rule.
    pub violations: Vec<String>,
    injected: usize,
    actions: usize,
    requests: usize,
    placed: usize,
    longest_stall: Duration,
}

impl RunReport {
    /// Whether faults were injected and this program was not held up.
    pub fn counts(&self) -> bool {
        self.injected > 0 && self.longest_stall <= MAX_STALL
    }

    /// One line.
    pub fn summary(&self) -> String {
        let Self { violations, injected, actions, requests, placed, longest_stall } = self;
        let verdict = match (violations.is_empty(), self.counts()) {
            (true, true) => "kept",
            (true, false) => "not counted",
            _ => "broken",
        };
        format!(
            "{verdict}, {} violations, {requests} requests, {placed} placed, {injected} failed calls, \
             {actions} actions, own longest stall {longest_stall:?}",
            violations.len()
        )
    }
}

/// A health check of a process that was started.
struct ReadinessProbe {
    scheduler: usize,
    started_at: Instant,
    connection: Option<Connection>,
}

/// A task that is to be handed over.
struct Handover {
    at: Instant,
    task: u64,
    machine: usize,
}

/// Everything of one run.
pub struct World<'a> {
    pub plan: &'a Plan,
    programs: &'a Path,
    pub started_at: Instant,
    pub machines: Vec<Machine>,
    pub discovery: Discovery,
    pub schedulers: Vec<Scheduler>,
    clients: Vec<Clients>,
    pub requests: Requests,
    pub observed: Vec<Observed>,
    pub process_ends: Vec<ProcessEnd>,
    /// How long each started process took to be ready, once it was.
    pub ready_times: Vec<Option<Duration>>,
    /// Unexpected ends.
    pub crashes: Vec<String>,
    probes: Vec<ReadinessProbe>,
    handovers: Vec<Handover>,
    next_task: u64,
    actions_done: usize,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Plays a run.
///
/// # Errors
/// If a program is missing, or the system refuses what the run needs.
pub fn play(plan: &Plan, programs: &Path, logs: Option<&Path>) -> Result<RunReport, RunError> {
    let temporary = tempfile::tempdir()?;
    let folder = logs.map_or(temporary.path().to_owned(), |logs| logs.join(format!("seed-{}", plan.seed)));
    std::fs::create_dir_all(&folder)?;
    let mut world = World::new(plan, programs, &folder)?;
    world.await_start()?;
    let longest_stall = world.run()?;
    let now = Instant::now();
    world.schedulers.iter_mut().for_each(Scheduler::kill);
    let placed = world
        .requests
        .values()
        .filter(|request| request.answer.is_some_and(|(_, answer)| answer == Answer::Placed));
    Ok(RunReport {
        violations: check(&world, now),
        injected: world.schedulers.iter().map(|scheduler| scheduler.injected().len()).sum(),
        actions: world.actions_done,
        requests: world.requests.len(),
        placed: placed.count(),
        longest_stall,
    })
}

impl<'a> World<'a> {
    fn new(plan: &'a Plan, programs: &'a Path, folder: &Path) -> Result<Self, RunError> {
        let machines =
            (0..plan.machines).map(|n| Machine::new(n, plan.seed)).collect::<Result<Vec<_>, _>>()?;
        let entries =
            machines.iter().map(|machine| list_entry(&machine.uid, machine.address, "in_service", 0));
        let discovery = Discovery::new(entries.collect())?;
        let schedulers =
            (0..plan.schedulers).map(|n| Scheduler::new(n, folder)).collect::<Result<Vec<_>, _>>()?;
        let addresses: Vec<SocketAddr> = schedulers.iter().map(|scheduler| scheduler.address).collect();
        let clients = (0..).zip(addresses).map(|(n, address)| Clients::new(n, address, plan.seed)).collect();
        Ok(Self {
            plan,
            programs,
            started_at: Instant::now(),
            machines,
            discovery,
            schedulers,
            clients,
            requests: Requests::new(),
            observed: Vec::new(),
            process_ends: Vec::new(),
            ready_times: Vec::new(),
            crashes: Vec::new(),
            probes: Vec::new(),
            handovers: Vec::new(),
            next_task: 0,
            actions_done: 0,
        })
    }

    fn start_process(&mut self, scheduler: usize, now: Instant) -> Result<(), RunError> {
        let known = self.discovery.known_events();
        self.schedulers[scheduler].configure(self.plan, self.discovery.address, &known)?;
        self.schedulers[scheduler].start(self.plan, self.programs)?;
        self.probes.push(ReadinessProbe { scheduler, started_at: now, connection: None });
        Ok(())
    }

    /// Starts all schedulers, and waits until they are ready.
    fn await_start(&mut self) -> Result<(), RunError> {
        let began_at = Instant::now();
        for scheduler in 0..self.schedulers.len() {
            self.start_process(scheduler, began_at)?;
        }
        while !self.probes.is_empty() {
            let now = Instant::now();
            self.discovery.step(now);
            self.probe(now);
            if now - began_at > START_TIMEOUT {
                return Err(RunError::NotReady(self.probes[0].scheduler));
            }
            std::thread::sleep(STEP);
        }
        Ok(())
    }

    /// The run itself; returns how long this program was held up at the most.
    fn run(&mut self) -> Result<Duration, RunError> {
        self.started_at = Instant::now();
        let mut last_step = self.started_at;
        let mut longest_stall = Duration::ZERO;
        while self.started_at.elapsed() < RUN_TIME {
            let now = Instant::now();
            longest_stall = longest_stall.max(now - last_step);
            last_step = now;
            self.step(now)?;
            std::thread::sleep(STEP);
        }
        Ok(longest_stall)
    }

    fn step(&mut self, now: Instant) -> Result<(), RunError> {
        self.act(now)?;
        self.discovery.step(now);
        self.machines.iter_mut().for_each(|machine| machine.step(now, &mut self.observed));
        self.control_processes(now)?;
        self.hand_over(now);
        let sends = now - self.started_at < RUN_TIME - QUIET_TIME;
        for (scheduler, clients) in self.schedulers.iter().zip(&mut self.clients) {
            let view = ProcessView {
                incarnation: scheduler.incarnation,
                runs: scheduler.child.is_some(),
                terminated_at: scheduler.terminated_at,
                sends,
                client_timeout: self.plan.client_timeout,
            };
            clients.step(now, &view, &mut self.next_task, &mut self.requests);
        }
        self.probe(now);
        Ok(())
    }

    fn act(&mut self, now: Instant) -> Result<(), RunError> {
        while let Some((at, action)) = self.plan.actions.get(self.actions_done) {
            if now - self.started_at < *at {
                return Ok(());
            }
            self.actions_done += 1;
            self.perform(*action, now)?;
        }
        Ok(())
    }

    fn perform(&mut self, action: Action, now: Instant) -> Result<(), RunError> {
        let out = &mut self.observed;
        match action {
            Action::Restart(at) => self.terminate(at, now),
            Action::Kill(at) => {
                if self.schedulers[at].child.is_some() {
                    self.schedulers[at].kill();
                    self.process_ended(at, now, true);
                }
            }
            Action::Pause(at, length) => {
                self.schedulers[at].signal(Signal::STOP);
                self.schedulers[at].continue_at = Some(now + length);
            }
            Action::Reload(at) => (0..RELOADS).for_each(|_| self.schedulers[at].signal(Signal::HUP)),
            Action::MachineDies(at) => self.machines[at].die(now, out),
            Action::MachineVanishes(at) => self.machines[at].vanish(now, out),
            Action::MachineCutOff(at, length) => self.machines[at].cut_off(now, Some(now + length)),
            Action::MachineDrains(at) => self.drain(at, now),
            Action::MachineStarts => self.start_machine(now)?,
            Action::ConnectionsReset(at) => self.machines[at].reset_connections(),
            Action::ConnectionsClosed(at) => self.machines[at].close_connections(),
            Action::AnswersHeldUp(at, delay) => self.machines[at].hold_up_answers(now, delay),
            Action::ReleasesOvertake(at) => self.machines[at].let_releases_overtake(OVERTAKING),
            Action::DiscoverySilent => self.discovery.fall_silent(now),
            Action::DiscoveryCloses => self.discovery.close_all(now),
            Action::ClientsLeave(at) => self.clients[at].leave(now, &mut self.requests),
        }
        Ok(())
    }

    fn terminate(&mut self, at: usize, now: Instant) {
        let timeout = self.plan.client_timeout.min(MAX_KILL_TIMEOUT);
        let scheduler = &mut self.schedulers[at];
        if scheduler.child.is_some() && scheduler.terminated_at.is_none() {
            scheduler.signal(Signal::TERM);
            scheduler.terminated_at = Some(now);
            scheduler.kill_at = Some(now + timeout + KILL_MARGIN);
        }
    }

    fn drain(&mut self, at: usize, now: Instant) {
        let machine = &mut self.machines[at];
        if !machine.is_up() {
            return;
        }
        machine.drain(now);
        let entry = list_entry(&machine.uid, machine.address, "terminating", 0);
        self.discovery.publish(vec![entry]);
    }

    fn start_machine(&mut self, now: Instant) -> Result<(), RunError> {
        let mut machine = Machine::new(self.machines.len(), self.plan.seed)?;
        let boot_ms = unix_ms();
        machine.started_cold = Some((now, boot_ms));
        self.discovery.publish(vec![list_entry(&machine.uid, machine.address, "in_service", boot_ms)]);
        self.machines.push(machine);
        Ok(())
    }

    /// Continues, kills and restarts processes as they are due, and finds those that ended by themselves.
    fn control_processes(&mut self, now: Instant) -> Result<(), RunError> {
        for at in 0..self.schedulers.len() {
            if self.schedulers[at].continue_at.is_some_and(|due| due <= now) {
                self.schedulers[at].continue_at = None;
                self.schedulers[at].signal(Signal::CONT);
            }
            if self.schedulers[at].kill_at.is_some_and(|due| due <= now)
                && self.schedulers[at].child.is_some()
            {
                self.schedulers[at].kill();
                self.process_ended(at, now, false);
            }
            if let Some(status) = self.schedulers[at].take_exit() {
                if self.schedulers[at].terminated_at.is_none() || status != Some(0) {
                    self.crashes.push(format!("scheduler {at} ended with {status:?}"));
                }
                self.process_ended(at, now, false);
            }
            if self.schedulers[at].restart_at.is_some_and(|due| due <= now) {
                self.start_process(at, now)?;
            }
        }
        Ok(())
    }

    /// A process is gone: its successor is due, and clients hand its running tasks over.
    fn process_ended(&mut self, at: usize, now: Instant, outright: bool) {
        let scheduler = &mut self.schedulers[at];
        scheduler.restart_at = Some(now + RESTART_DELAY);
        let incarnation = scheduler.incarnation;
        self.process_ends.push(ProcessEnd { scheduler: at, incarnation, at: now, outright });
        let due = now + HANDOVER_DELAY;
        for (task, request) in &self.requests {
            let holder = request.handed_over.map_or(request.scheduler, |(_, to)| to);
            let is_placed = request.answer.is_some_and(|(_, answer)| answer == Answer::Placed);
            if holder == at
                && is_placed
                && request.told_at.is_none()
                && let Some(acceptance) = request.acceptance
            {
                self.handovers.push(Handover { at: due, task: *task, machine: acceptance.machine });
            }
        }
    }

    fn hand_over(&mut self, now: Instant) {
        let (due, later) = std::mem::take(&mut self.handovers).into_iter().partition(|it| it.at <= now);
        self.handovers = later;
        let due: Vec<Handover> = due;
        for handover in due {
            let is_live = |at: &usize| {
                self.schedulers[*at].child.is_some()
                    && self.schedulers[*at].terminated_at.is_none()
                    && self.clients[*at].is_connected()
            };
            let Some(to) = (0..self.schedulers.len()).find(is_live) else { continue };
            self.clients[to].hand_over(handover.task, &self.machines[handover.machine].uid);
            let request = self.requests.entry(handover.task);
            request.and_modify(|request| request.handed_over = Some((now, to)));
        }
    }

    /// Asks started processes whether they are ready.
    fn probe(&mut self, now: Instant) {
        for mut probe in std::mem::take(&mut self.probes) {
            let scheduler = &self.schedulers[probe.scheduler];
            if scheduler.child.is_none() {
                continue;
            }
            if probe.connection.as_ref().is_none_or(|connection| connection.closed) {
                probe.connection = Connection::connect(scheduler.address);
                if let Some(connection) = &mut probe.connection {
                    let mut check = Vec::new();
                    write_with_cause(&mut check, kind::HEALTH_CHECK, u64::MAX, 0);
                    connection.send(&check);
                }
            }
            if let Some(connection) = &mut probe.connection {
                connection.flush();
                connection.read(false);
                if let Ok(Some(frame)) = connection.frames.next_frame()
                    && (frame.kind, cause(&frame)) == (kind::HEALTH_RESULT, Some(1))
                {
                    self.ready_times.push(Some(now - probe.started_at));
                    continue;
                }
            }
            self.probes.push(probe);
        }
    }

    /// Processes that were started so long ago and are not ready yet.
    pub fn late_processes(&self, now: Instant, limit: Duration) -> usize {
        self.probes.iter().filter(|probe| now - probe.started_at > limit).count()
    }

    /// Observations of one kind of event.
    pub fn observations(&self) -> impl Iterator<Item = (usize, Instant, Observation)> + '_ {
        self.observed.iter().map(|observed| (observed.machine, observed.at, observed.what))
    }
}
