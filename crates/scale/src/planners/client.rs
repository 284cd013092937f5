//! A hollow client: asks one scheduler for tasks at an even pace, and withdraws each at the end of its life.

use super::scenario::Scenario;
use super::settings::TASK_ROOM;
use mulleinhub_emulators::Dice;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_protocol::Shape;
use mulleinhub_sans_io::ConnectionId;
use std::collections::BTreeMap;

/// Tasks that one service asks for.
const TASKS_A_SERVICE: u64 = 10;

/// What becomes of a task.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    pub shape: Shape,
    /// It is withdrawn then; never, where nothing is said.
    pub until: Option<Timestamp>,
    pub placed: bool,
}

/// Counts of one client, over its whole life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounts {
    /// Tasks that it wanted.
    pub wanted: u64,
    /// Of them, those that were placed.
    pub served: u64,
    /// Answers that made it ask once more.
    pub asked_again: u64,
}

/// One client, which speaks to one scheduler.
#[derive(Debug)]
pub struct Client {
    pub link: Option<ConnectionId>,
    /// Its scheduler has greeted it.
    pub greeted: bool,
    pub tasks: BTreeMap<u64, Task>,
    pub counts: ClientCounts,
    number: u64,
    next: u64,
    /// Of the tasks that run from the beginning, those that it asked for.
    filled: u64,
    /// When it wanted the last task.
    wanted_at: Timestamp,
    dice: Dice,
}

impl Client {
    pub fn new(number: usize, seed: u64) -> Self {
        Self {
            link: None,
            greeted: false,
            tasks: BTreeMap::new(),
            counts: ClientCounts::default(),
            number: number as u64,
            next: 0,
            filled: 0,
            wanted_at: Timestamp::default(),
            dice: Dice::new(seed, &format!("client {number}")),
        }
    }

    /// The name in its greeting.
    pub fn name(&self) -> String {
        format!("client-{}", self.number + 1)
    }

    /// A number for a task that no client has used.
    pub fn fresh_id(&mut self) -> u64 {
        self.next += 1;
        ((self.number + 1) << 40) + self.next
    }

    /// A task that it wants anew.
    pub fn new_task(&mut self, now: Timestamp, scenario: &Scenario) -> (u64, Task) {
        let id = self.fresh_id();
        self.counts.wanted += 1;
        let shape = Shape {
            key: id,
            use_case: 0,
            service: id / TASKS_A_SERVICE,
            cores: TASK_ROOM.cores,
            memory: TASK_ROOM.memory,
            again: false,
        };
        let until = self.end_of_life(now, scenario);
        (id, Task { shape, until, placed: false })
    }

    /// Lives are drawn from an exponential distribution, so that as many tasks end as start from the instant
    /// on at which the first may end.
    fn end_of_life(&mut self, now: Timestamp, scenario: &Scenario) -> Option<Timestamp> {
        let life = scenario.life()?;
        Some(now.max(scenario.steady_from()) + self.dice.wait(life))
    }

    /// When it wants its next task; nothing where it wants no more. Counted from when it wanted the last one,
    /// however late that was asked for, so that the pace is the same in real and virtual time.
    pub fn next_ask(&mut self, scenario: &Scenario) -> Option<Timestamp> {
        if let Some(at) = self.next_of_fill(scenario) {
            self.wanted_at = at;
            return Some(at);
        }
        let rate = scenario.size.starts / scenario.schedulers() as f64;
        if rate <= 0.0 {
            return None;
        }
        let last = self.wanted_at.max(scenario.steady_from());
        self.wanted_at = last + self.dice.wait(Duration::from_secs(1) * (1.0 / rate));
        (self.wanted_at < scenario.until).then_some(self.wanted_at)
    }

    /// The next of the tasks that run from the beginning, evenly over the time that is set aside for them.
    fn next_of_fill(&mut self, scenario: &Scenario) -> Option<Timestamp> {
        let schedulers = u64::from(scenario.size.schedulers);
        let running = u64::from(scenario.size.running);
        let mine = running / schedulers + u64::from(self.number < running % schedulers);
        if self.filled >= mine {
            return None;
        }
        let part = (self.filled as f64 + 0.5) / mine as f64;
        self.filled += 1;
        let (first, last) = scenario.fill();
        Some(first + (last - first) * part)
    }
}
