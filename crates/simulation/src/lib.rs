//! Runs a scenario in virtual time: the planners' engines and ledgers with the testbed around them, on one
//! thread and from one seed, so that any run can be repeated bit for bit.
//!
//! Planners are joined to the testbed by wires that take no time; all delays are those of the testbed's
//! proxies. The bytes for a paused planner wait as in socket buffers; a killed one keeps what it had
//! persisted.
//!
//! No real clocks, sockets or threads are used here.

#![warn(missing_docs)]

mod ledger;
mod lifecycle;
mod process;
mod settings_text;
mod wires;

pub use mulleinhub_baselines::Ranking;
pub use settings_text::planner_settings_text;

use ledger::Machine;
use mulleinhub_engine::{Counts, Engine};
use mulleinhub_interface::{Duration, Pcg, Timestamp};
use mulleinhub_planner::PlannerSettings;
use mulleinhub_sans_io::StateMachine;
use mulleinhub_scenario::{Day, Score, Stage};
use process::{Component, Endpoint, PlannerProcess};
use std::io::Write;
use wires::Wires;

/// Iterations at one instant after which the simulation is taken to make no progress.
const MAX_ITERATIONS_PER_INSTANT: u32 = 100_000;

/// A scenario in virtual time, with a capture that is written to `W`.
pub struct Simulation<W: Write> {
    testbed: Stage<W>,
    processes: Vec<PlannerProcess>,
    settings: Vec<PlannerSettings>,
    wires: Wires,
    /// Draws how long each sync of a ledger's disk takes.
    random: Pcg,
    /// Unix time at the start of the scenario, in milliseconds.
    start_unix_ms: u64,
    /// The shortest and the longest sync.
    sync_duration: (Duration, Duration),
    now: Timestamp,
    /// Counts of the engines that were killed.
    counts: Counts,
    /// A plain policy in place of the scheduler's own, for comparison only.
    baseline: Option<Ranking>,
}

impl<W: Write> Simulation<W> {
    /// A simulation of `day` at its start, whose capture goes to `capture`.
    ///
    /// # Panics
    /// Where the settings that the scenario gives its planners are faulty, which is a defect of the
    /// scenario's own checks.
    pub fn new(day: Day, capture: W) -> Self {
        let mut testbed = Stage::new(day.clone(), capture);
        let settings = settings_text::planner_settings(&day, &testbed);
        for (listener, ..) in testbed.doors() {
            testbed.set_address(listener, settings_text::listener_address(listener));
        }
        let ledger = day.books.as_ref();
        Self {
            testbed,
            processes: (0..day.planners).map(|_| PlannerProcess::default()).collect(),
            settings,
            wires: Wires::default(),
            random: Pcg::new(day.seed),
            start_unix_ms: ledger.map_or(0, |ledger| ledger.begins()),
            sync_duration: ledger
                .map_or((Duration::ZERO, Duration::ZERO), |ledger| (ledger.syncs.low, ledger.syncs.high)),
            now: Timestamp::default(),
            counts: Counts::default(),
            baseline: None,
        }
    }

    /// Lets a plain policy decide in place of the scheduler's own, where one is given.
    pub fn with_baseline(mut self, ranking: Option<Ranking>) -> Self {
        self.baseline = ranking;
        self
    }

    /// Runs the scenario to its end and returns its score, the counts of all engines and the capture's
    /// writer. `watch` is called about once a virtual second.
    ///
    /// # Errors
    /// Where the capture could not be written.
    pub fn run(mut self, watch: impl FnMut(Timestamp, &Stage<W>)) -> std::io::Result<(Score, Counts, W)> {
        self.run_to_end(watch);
        for engine in self.processes.iter().filter_map(|process| process.engine.as_ref()) {
            add_counts(&mut self.counts, &engine.counts());
        }
        let (score, capture) = self.testbed.finish(self.now)?;
        Ok((score, self.counts, capture))
    }

    /// The status of each planner that is up, as lines of text.
    pub fn status(&self) -> Vec<String> {
        self.processes.iter().filter_map(|process| process.engine.as_ref()).map(Engine::status).collect()
    }

    /// Runs until the scenario is over, without closing the capture. `watch` is called about once a virtual
    /// second.
    ///
    /// # Panics
    /// Where virtual time doesn't advance any more, which is a defect of the program.
    pub fn run_to_end(&mut self, mut watch: impl FnMut(Timestamp, &Stage<W>)) {
        let mut watched_second = 0;
        let mut iterations = 0;
        while !self.testbed.is_over(self.now) {
            self.run_iteration();
            let second = self.now.nanos() / 1_000_000_000;
            if second > watched_second {
                watched_second = second;
                watch(self.now, &self.testbed);
            }
            let Some(next) = self.next_wakeup() else { break };
            iterations = if next > self.now { 0 } else { iterations + 1 };
            assert!(
                iterations < MAX_ITERATIONS_PER_INSTANT,
                "virtual time stands still at {} ns",
                self.now.nanos()
            );
            self.now = self.now.max(next);
        }
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        let planners = self.processes.iter().filter_map(PlannerProcess::next_wakeup);
        planners.chain(self.testbed.next_wakeup()).min()
    }

    /// Runs the testbed and each planner once at the present instant.
    fn run_iteration(&mut self) {
        self.testbed.poll(self.now);
        self.drive_testbed();
        while let Some(action) = self.testbed.next_deed() {
            self.apply(action);
        }
        for planner in 0..self.processes.len() {
            self.poll_planner(planner);
        }
        self.transfer_unread();
    }

    fn poll_planner(&mut self, planner: usize) {
        let process = &mut self.processes[planner];
        if process.paused {
            return;
        }
        let Some(engine) = &mut process.engine else { return };
        engine.poll(self.now);
        if let Some(state) = engine.state_to_persist() {
            process.persisted_state = Some(state);
        }
        self.drive_planner(Endpoint { planner, component: Component::Engine });
        if self.poll_ledger(planner) {
            self.drive_planner(Endpoint { planner, component: Component::Ledger });
        }
    }

    /// Returns whether the planner has a ledger and its iteration ran.
    fn poll_ledger(&mut self, planner: usize) -> bool {
        let process = &mut self.processes[planner];
        let Some(ledger) = &mut process.ledger else { return false };
        let machine = Machine {
            clock_offset_ms: process.clock_offset_ms,
            disk: &mut process.disk,
            disk_full: process.disk_full,
        };
        let (shortest, longest) = self.sync_duration;
        let random = &mut self.random;
        ledger.poll(self.now, machine, || shortest + (longest - shortest) * random.fraction())
    }
}

fn add_counts(sum: &mut Counts, counts: &Counts) {
    sum.accepted += counts.accepted;
    sum.placed += counts.placed;
    sum.rejected += counts.rejected;
    sum.failed += counts.failed;
    sum.attempts += counts.attempts;
    sum.late_acceptances += counts.late_acceptances;
    sum.protocol_errors += counts.protocol_errors;
}
