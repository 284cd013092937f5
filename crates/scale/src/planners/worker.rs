//! A hollow worker: it holds tasks and says what a worker says of them, and runs nothing.

use super::settings::{WORKER_CORES, WORKER_MEMORY};
use mulleinhub_interface::Resources;
use mulleinhub_protocol::{Ending, Held as HeldFrame, Shape};
use mulleinhub_sans_io::ConnectionId;

/// Names a send of a scheduler, at the worker that it went to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SendId {
    pub scheduler: usize,
    pub task: u64,
    pub send: u32,
}

/// How far a send is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not accepted yet.
    Offered,
    Starts,
    Runs,
    /// Over, and its scheduler has not said that it heard.
    Over(Ending),
}

/// A send that a worker holds.
#[derive(Clone, Debug)]
pub struct Held {
    pub id: SendId,
    pub shape: Shape,
    pub owner: String,
    pub stage: Stage,
}

impl Held {
    fn room(&self) -> Resources {
        Resources::new(self.shape.cores, self.shape.memory)
    }

    fn is_accepted(&self) -> bool {
        matches!(self.stage, Stage::Starts | Stage::Runs)
    }

    /// As a greeting tells of it.
    pub fn frame(&self) -> HeldFrame<'_> {
        HeldFrame {
            task: self.id.task,
            send: self.id.send,
            shape: self.shape,
            owner: &self.owner,
            ended: if let Stage::Over(ending) = self.stage { Some(ending) } else { None },
            runs: self.stage == Stage::Runs,
        }
    }
}

/// One worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The connection of each scheduler that has greeted.
    pub links: Vec<Option<ConnectionId>>,
    held: Vec<Held>,
    /// Cores and memory of all that it accepted.
    asked: Resources,
    /// It tells how its tasks fare, at its own next instant for that.
    pub tells: bool,
}

impl Worker {
    pub fn new(schedulers: usize) -> Self {
        Self { links: vec![None; schedulers], held: Vec::new(), asked: Resources::ZERO, tells: false }
    }

    /// Cores and memory that nobody asked for.
    pub fn left(&self) -> Resources {
        Resources::new(WORKER_CORES, WORKER_MEMORY) - self.asked
    }

    pub fn offered(&mut self, id: SendId, shape: Shape, owner: &str) {
        self.held.push(Held { id, shape, owner: owner.to_owned(), stage: Stage::Offered });
    }

    fn place(&self, id: SendId) -> Option<usize> {
        self.held.iter().position(|held| held.id == id)
    }

    /// Decides on an offer: true where it is accepted, nothing where it was recalled. One that is refused is
    /// forgotten.
    pub fn decide(&mut self, id: SendId) -> Option<bool> {
        let at = self.place(id).filter(|at| self.held[*at].stage == Stage::Offered)?;
        let room = self.held[at].room();
        if !self.left().fits(room) {
            self.held.remove(at);
            return Some(false);
        }
        self.asked += room;
        self.held[at].stage = Stage::Starts;
        Some(true)
    }

    /// The start of a send is done: true where it runs now.
    pub fn started(&mut self, id: SendId) -> bool {
        let Some(at) = self.place(id).filter(|at| self.held[*at].stage == Stage::Starts) else {
            return false;
        };
        self.held[at].stage = Stage::Runs;
        true
    }

    /// Drops an offer that is not accepted yet; false where there is none.
    pub fn recall(&mut self, id: SendId) -> bool {
        let Some(at) = self.place(id).filter(|at| self.held[*at].stage == Stage::Offered) else {
            return false;
        };
        self.held.remove(at);
        true
    }

    /// Ends an accepted send; false where there is none.
    pub fn stop(&mut self, id: SendId, ending: Ending) -> bool {
        let Some(at) = self.place(id).filter(|at| self.held[*at].is_accepted()) else { return false };
        self.asked -= self.held[at].room();
        self.held[at].stage = Stage::Over(ending);
        true
    }

    /// Its scheduler has heard the end.
    pub fn heard(&mut self, id: SendId) {
        let is_over = |at: &usize| matches!(self.held[*at].stage, Stage::Over(_));
        if let Some(at) = self.place(id).filter(is_over) {
            self.held.remove(at);
        }
    }

    /// A scheduler has greeted, or has gone: its offers are over.
    pub fn forget_offers(&mut self, scheduler: usize) {
        self.held.retain(|held| held.id.scheduler != scheduler || held.stage != Stage::Offered);
    }

    /// What it holds for a scheduler.
    pub fn held_for(&self, scheduler: usize) -> impl Iterator<Item = &Held> {
        self.held.iter().filter(move |held| held.id.scheduler == scheduler)
    }

    /// The sends that run.
    pub fn running(&self) -> impl Iterator<Item = SendId> {
        self.held.iter().filter(|held| held.stage == Stage::Runs).map(|held| held.id)
    }
}
