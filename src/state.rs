//! What is held of each task and each machine. Nothing here decides anything.

use crate::interface::*;
use crate::peak::Peak;
use std::collections::VecDeque;

#[derive(Clone, Copy, PartialEq)]
pub enum State {
    Pending,
    Sent,
    Placed,
    /// Over for its owner; only the end of its last send is still to come.
    Over,
}

/// The places that a machine is in.
pub type Spot = (MachineId, CellId, ZoneId);

pub struct Task {
    pub order: TaskSpec,
    pub state: State,
    pub came: Timestamp,
    /// What it is sized at: its ask, or its peak use where we moved it off.
    pub size: Resources,
    /// Found no machine the last time that it was looked at.
    pub waited: bool,
    /// Sent, and not known to run yet.
    pub starting: bool,
    pub sends: u32,
    /// Sent to a machine that held no task of its service.
    pub bare: bool,
    /// Where its open send went, and when.
    pub machine: usize,
    pub sent_at: Timestamp,
    /// The first send that may have run: when, and to which machine's places.
    pub may_run: Option<(Timestamp, Spot)>,
    pub turned_down: Option<usize>,
    /// A machine erred on it.
    pub erred: bool,
    pub cores: Peak,
    pub memory: Peak,
    pub last_use: Resources,
    pub slack: Resources,
}

/// When a machine last answered a use case, until when it is taken not to, and how often in a row.
#[derive(Clone, Copy)]
pub struct Dealing {
    pub answered_at: Timestamp,
    pub barred_until: Timestamp,
    pub times: u32,
}

/// Bad service, or short memory, was noted, with no better note of its kind since; trusted until then.
pub struct Pressed {
    pub cores: Timestamp,
    pub memory: Timestamp,
}

pub struct Machine {
    pub id: MachineId,
    pub kind: KindId,
    pub cell: CellId,
    pub zone: ZoneId,
    pub size: Resources,
    /// As the list has it; one that no list names has left.
    pub mode: MachineState,
    pub since: Option<Timestamp>,
    pub left: Resources,
    /// Our own asks (below nought) and ends (above) that the view may not show yet.
    unseen: VecDeque<(Timestamp, Resources)>,
    unseen_sum: Resources,
    /// Places of our tasks whose last send has not ended, oldest first, and their services.
    pub tasks: Vec<(usize, ServiceId)>,
    /// What those of them use that a use was noted of.
    pub used: Resources,
    /// Services of our tasks that ended here last, oldest first.
    pub lately: VecDeque<ServiceId>,
    pub slack: Resources,
    pub use_cores: Peak,
    pub use_memory: Peak,
    /// The worst share of service missed within the window.
    pub poor: Peak,
    pub pressed: Pressed,
    pub starting: usize,
    pub cap: f64,
    /// When a send or a task was last lost with it.
    pub lost_at: Option<Timestamp>,
    /// By use case, as it may be one alone that the machine leaves unanswered or turns away.
    pub dealings: Vec<Dealing>,
    pub cold_sends: VecDeque<Timestamp>,
}

impl Task {
    pub fn new(order: TaskSpec, state: State, window: Duration, now: Timestamp) -> Self {
        Self {
            order,
            state,
            came: now,
            size: order.ask,
            waited: false,
            starting: false,
            sends: 0,
            bare: false,
            machine: usize::MAX,
            sent_at: now,
            may_run: None,
            turned_down: None,
            erred: false,
            cores: Peak::new(window),
            memory: Peak::new(window),
            last_use: Resources::ZERO,
            slack: Resources::ZERO,
        }
    }

    /// The most it used within the window; its ask where nothing was noted.
    pub fn peak(&self, now: Timestamp) -> Resources {
        let ask = self.order.ask;
        Resources::new(self.cores.peak(now).unwrap_or(ask.cores), self.memory.peak(now).unwrap_or(ask.memory))
    }
}

impl Machine {
    pub fn new(id: MachineId, window: Duration, cap: f64, use_cases: usize, now: Timestamp) -> Self {
        Self {
            id,
            kind: KindId(usize::MAX),
            cell: CellId(u32::MAX),
            zone: ZoneId(u32::MAX),
            size: Resources::ZERO,
            mode: MachineState::Removed,
            since: None,
            left: Resources::ZERO,
            unseen: VecDeque::with_capacity(16),
            unseen_sum: Resources::ZERO,
            tasks: Vec::with_capacity(32),
            used: Resources::ZERO,
            lately: VecDeque::with_capacity(16),
            slack: Resources::ZERO,
            use_cores: Peak::new(window),
            use_memory: Peak::new(window),
            poor: Peak::new(window),
            pressed: Pressed { cores: now, memory: now },
            starting: 0,
            cap,
            lost_at: None,
            dealings: vec![Dealing { answered_at: now, barred_until: now, times: 0 }; use_cases],
            cold_sends: VecDeque::new(),
        }
    }

    pub fn spot(&self) -> Spot {
        (self.id, self.cell, self.zone)
    }

    pub fn is_calm(&self, now: Timestamp) -> bool {
        self.pressed.cores <= now && self.pressed.memory <= now
    }

    pub fn is_within(&self, reach: FailureDomain, of: Spot) -> bool {
        match reach {
            FailureDomain::All => true,
            FailureDomain::Zone => self.zone == of.2,
            FailureDomain::Cell => self.cell == of.1,
            FailureDomain::Machine => self.id == of.0,
        }
    }

    pub fn tasks_of(&self, service: ServiceId) -> usize {
        self.tasks.iter().filter(|(_, of)| *of == service).count()
    }

    /// Neither holds a task of the service nor is taken to keep its program.
    pub fn is_bare(&self, service: ServiceId) -> bool {
        !self.lately.contains(&service) && self.tasks_of(service) == 0
    }

    /// Notes a change of our own asks that views can't show yet. A long list without a new view is merged.
    pub fn changes(&mut self, now: Timestamp, change: Resources) {
        if self.unseen.len() >= 64 {
            let (_, oldest) = self.unseen.pop_front().expect("is long");
            self.unseen.front_mut().expect("is long").1 += oldest;
        }
        self.unseen.push_back((now, change));
        self.unseen_sum += change;
    }

    /// Forgets the changes that are older than a view.
    pub fn seen(&mut self, now: Timestamp, view_age: Duration) {
        while self.unseen.front().is_some_and(|(at, _)| now - *at > view_age) {
            self.unseen.pop_front();
        }
        self.unseen_sum = self.unseen.iter().fold(Resources::ZERO, |sum, (_, change)| sum + *change);
    }

    /// Notes a send to this cold machine, and forgets those of long ago.
    pub fn sent_cold(&mut self, now: Timestamp, forget: Duration) {
        self.cold_sends.retain(|sent| now - *sent <= forget);
        self.cold_sends.push_back(now);
    }

    /// Notes that a task of the service ended here; of so many services its program is taken to be kept.
    pub fn keeps(&mut self, service: ServiceId, most: usize) {
        self.lately.retain(|kept| *kept != service);
        self.lately.push_back(service);
        if self.lately.len() > most {
            self.lately.pop_front();
        }
    }

    /// What the view shows as left, less our own asks and plus our own ends that it can't show yet.
    pub fn free(&self) -> Resources {
        self.left + self.unseen_sum
    }
}
