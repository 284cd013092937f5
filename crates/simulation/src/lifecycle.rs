//! What the scenario does to planner processes: start, kill, pause, and changes of their disk, clock and
//! directives file.

use crate::ledger::{self, Disk, Ledger};
use crate::process::Endpoint;
use crate::{Simulation, add_counts};
use mulleinhub_baselines::Baseline;
use mulleinhub_engine::{Engine, Settings as EngineSettings};
use mulleinhub_interface::PolicySettings;
use mulleinhub_planner::parse_operator_directives;
use mulleinhub_sans_io::{CloseReason, StateMachine};
use mulleinhub_scenario::{Fate, PlannerDeed};
use std::io::Write;

/// Incarnations of one planner are this far apart, so that no two planners have the same.
const INCARNATION_STEP: u64 = 1_000;

impl<W: Write> Simulation<W> {
    /// Carries out an action of the scenario and reports it to the testbed, unless it has no effect.
    pub(crate) fn apply(&mut self, action: PlannerDeed) {
        let effective = match action {
            PlannerDeed::Start(planner) => self.start(planner),
            PlannerDeed::Kill(planner) => self.kill(planner),
            PlannerDeed::Stop(planner) => self.pause(planner),
            PlannerDeed::Continue(planner) => self.resume(planner),
            PlannerDeed::Store(planner, fate) => {
                self.replace_disk(planner, fate);
                true
            }
            PlannerDeed::Order(planner, index) => {
                let line = self.testbed.order(index).to_owned() + "\n";
                self.processes[planner].directives += &line;
                self.load_directives(planner);
                true
            }
            PlannerDeed::Clock(planner, offset_ms) => {
                self.processes[planner].clock_offset_ms = offset_ms;
                true
            }
            PlannerDeed::DiskFull(planner, full) => {
                self.processes[planner].disk_full = full;
                true
            }
        };
        if effective {
            self.testbed.did(self.now, action);
        }
    }

    fn start(&mut self, planner: usize) -> bool {
        let process = &mut self.processes[planner];
        if process.engine.is_some() {
            return false;
        }
        process.starts += 1;
        process.paused = false;
        let incarnation = process.starts * INCARNATION_STEP + planner as u64;
        let settings = &self.settings[planner];
        let started = settings
            .ledger
            .as_ref()
            .map(|ledger| Ledger::start(ledger, self.start_unix_ms, incarnation, &process.disk));
        let (ledger, admission) = started.unzip();
        process.ledger = ledger;
        let engine_settings = settings.engine.clone();
        let persisted_state = process.persisted_state.clone();
        let engine = match self.baseline {
            None => Engine::new(engine_settings, incarnation, persisted_state),
            Some(ranking) => {
                let seed = engine_settings.seed ^ incarnation;
                let policy = Baseline::new(ranking, seed, policy_settings(&engine_settings));
                Engine::with_policy(Box::new(policy), engine_settings, incarnation, persisted_state)
            }
        };
        process.engine = Some(ledger::with_admission(engine, admission));
        self.load_directives(planner);
        true
    }

    fn kill(&mut self, planner: usize) -> bool {
        let process = &mut self.processes[planner];
        let Some(engine) = process.engine.take() else { return false };
        add_counts(&mut self.counts, &engine.counts());
        process.ledger = None;
        process.disks_at_kill.swap(0, 1);
        process.disks_at_kill[0] = process.disk.clone();
        process.paused = false;
        process.take_queued();
        for connection in self.wires.of_planner(planner) {
            self.wires.remove(connection);
            self.testbed.on_closed(self.now, connection, CloseReason::Broken);
        }
        true
    }

    fn pause(&mut self, planner: usize) -> bool {
        let process = &mut self.processes[planner];
        if process.engine.is_none() || process.paused {
            return false;
        }
        process.paused = true;
        true
    }

    fn resume(&mut self, planner: usize) -> bool {
        let process = &mut self.processes[planner];
        if !std::mem::replace(&mut process.paused, false) {
            return false;
        }
        for (component, event) in process.take_queued() {
            self.notify_planner(Endpoint { planner, component }, event);
        }
        // The socket buffers have capacity again for what the testbed has not yet sent.
        for connection in self.wires.of_planner(planner) {
            self.transfer_to_planner(connection);
        }
        true
    }

    fn replace_disk(&mut self, planner: usize, fate: Fate) {
        let process = &mut self.processes[planner];
        process.disk = match fate {
            Fate::Lost => Disk::default(),
            Fate::Old => process.disks_at_kill[1].clone(),
        };
    }

    /// Hands the directives file to the ledger: at the start, and again when the file changed.
    fn load_directives(&mut self, planner: usize) {
        let process = &mut self.processes[planner];
        if let Some(ledger) = &mut process.ledger {
            let directives = parse_operator_directives("orders", &process.directives)
                .unwrap_or_else(|faults| panic!("{faults}"));
            ledger.exchange().apply_directives(&directives);
            ledger.notify();
        }
    }
}

fn policy_settings(settings: &EngineSettings) -> PolicySettings {
    PolicySettings {
        use_cases: settings.use_cases.clone(),
        machine_kinds: settings.machine_kinds.clone(),
        acceptance: settings.acceptance,
        slow_start: settings.slow_start,
        discovery: settings.discovery,
        locality: settings.locality,
    }
}
