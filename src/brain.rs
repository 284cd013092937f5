//! All decisions of mulleinhub, with every table and tuned value.
//!
//! Called once a round with all that came in: `brain.round(now, &mut writer, |r| { r.new_task(..); .. })`;
//! the round ends with the placing. Types and writer trait: `crates/interface`; the design: docs/design.md.
//! Beside it stand these mechanisms, six at most:
//! 1. bars: machines rest by use case after trouble, longer each time; fresh machines have a cap
//! 2. late views: a nack for room counts until a view can show it; a list without news fades
//! 3. stretch: where few machines have the room asked for, what machines accept beyond it counts too
//! 4. pressure: machines that serve poorly, or start slowly, come last; these and lines of starts rank as
//!    fuller
//! 5. surcharges of rank: the service's own order, an empty machine
//! 6. order of pending tasks: earnings, those in time for their first start before late ones

use crate::interface::*;
use crate::slab::Slab;
use crate::state::{Dealing, Machine, Spot, State, Task};
use std::collections::VecDeque;

// The design's figures.
const PEAK_WINDOW: Duration = Duration::from_secs(30);
const CORES_WEIGHT: f64 = 0.38;
const MEMORY_WEIGHT: f64 = 0.62;
const TIE: f64 = 0.05;
/// The page has 0.8 (ours). A move costs a start, and until it is nearly used up a machine does little harm.
const HOT: f64 = 0.95;

/// Where yes comes before the start, a silent machine is waited for this part of the client timeout.
const SILENCE_SHARE: f64 = 0.1;
/// One that answers others, or may only be slow in starting, is waited for this part: a send called back goes
/// on as a copy that nobody waits for, and lines grow by it.
const PATIENCE_SHARE: f64 = 0.75;
/// Where nothing tells of pressure, a start so much slower than usual does; each moves usual by the step.
const SLOW: f64 = 3.0;
const USUAL_STEP: f64 = 1.0 / 16.0;
/// Pending tasks are looked at again after this part of the shortest soft limit, if nothing comes in before.
const RETRY_SHARE: f64 = 0.05;
/// A task that still waits so near its client timeout (as a part of it) gets its final answer.
const GIVE_UP_SHARE: f64 = 0.03;
/// A referenced task is sent again only within this part of its window, so that the send arrives inside it.
const WINDOW_SHARE: f64 = 0.9;
/// The cold budget is counted over this many times the rule's window: sends may bunch up on their way.
const FALL_STRETCH: f64 = 1.5;
/// Starts under way that a fresh machine bears from all schedulers; each start in time adds one of ours.
const FRESH_CAP: f64 = 6.0;
/// A machine in trouble rests for this part of the client timeout, doubled by each trouble, at most so often.
const REST_SHARE: f64 = 0.35;
const MOST_DOUBLINGS: u32 = 5;
/// Waits are longer by up to this part: what many learn at one instant they must not come back to at one.
/// Met: 120 that had lost a machine or the list together sent again in the same ten milliseconds.
const DRAWN: f64 = 0.25;
/// How old a view may be when it comes: our sends younger than this are not in it.
const VIEW_AGE: Duration = Duration::from_nanos(800_000_000);
/// A list that tells nothing is trusted for this part of the longest silence that the rules allow.
const NEWS_SHARE: f64 = 0.25;
/// Service under this is poor; a machine noted so counts as pressed for so long unless a better note comes.
const SERVED_WELL: f64 = 0.95;
const PRESSED: Duration = Duration::from_secs(3);
/// Machines keep programs for a while; so many services whose tasks of ours ended last are taken to be kept.
const KEPT: usize = 8;
/// What a machine without the service's program must be emptier by, as a share of its size, for each place it
/// is further down in an order of the service's own, the same for all schedulers: none of many sees
/// where the others started a program, and all see the same least asked machine. So many places count.
const BARE: f64 = 6.0 * TIE;
const HOMES: usize = 6;
/// A machine ranks as fuller by this part of the service that it missed at worst within the peak window: what
/// was hot lately (a slow machine, a neighbour, a hot service) soon is again.
const POOR: f64 = 0.3;
/// And by this for each start under way, of ours and as many of each other scheduler: a machine begins few
/// at a time. Met: one that had just been opened was the least requested for all, and 25 starts lined up
/// there within two seconds.
const LINE: f64 = TIE / 2.0;
/// Where machines in use have a price, one with hardly an ask is opened last, whatever else it has.
const OPENING: f64 = 1.0 + BARE * HOMES as f64;
const EMPTY: f64 = 0.02;

const TICK: u64 = 0;
const WATCH: u64 = 1;

impl Dealing {
    /// Twice as long each time, up to a bound. What ends while it rests was sent before: the same trouble.
    /// Met: one hang with many sends out, each of which doubled the rest, and a machine idle for a minute.
    fn bar(&mut self, now: Timestamp, rest: Duration) {
        if now < self.barred_until {
            return;
        }
        self.barred_until = now + rest * f64::from(1u32 << self.times);
        self.times = (self.times + 1).min(MOST_DOUBLINGS);
    }
}

/// Whether a start that takes so long is far slower than usual, where usual is known.
fn is_slow(took: Duration, usual: Duration) -> bool {
    usual > Duration::ZERO && took > usual * SLOW
}

/// A pressed machine comes last, whoever causes it: neighbours, surges, our guess. A better note of the same
/// kind ends it. Met: one that had just evicted took tasks again, as cores were calm there.
fn pressed(now: Timestamp, is: bool) -> Timestamp {
    if is { now + PRESSED } else { now }
}

/// What fits: the machine's place, its rank and its key in the service's order, whether it lacks the program,
/// and how it departs from the ordinary path.
type Fit = (usize, f64, u64, bool, usize);

pub struct PlacementPolicy {
    use_cases: Vec<UseCase>,
    kinds: Vec<Resources>,
    taking: AcceptanceRules,
    cold: SlowStart,
    listing: Discovery,
    home: LocalityCosts,
    low: u8,
    /// How long a start usually takes, on a machine with and without the program.
    usual_start: [Duration; 2],
    chance: Pcg,
    /// When this life of the scheduler began.
    begun: Timestamp,
    pub(crate) tasks: Slab<TaskId, Task>,
    pub(crate) machines: Slab<MachineId, Machine>,
    pub(crate) pending: Vec<usize>,
    moved: VecDeque<(TaskKey, Resources)>,
    fits: Vec<Fit>,
    /// Where tasks of the service that is placed now are, and how many.
    held: Vec<(Spot, usize)>,
    tick_set: bool,
    /// Starts under way on all machines together: a large fleet is not walked to find that there are none.
    pub(crate) starting: usize,
    watch_failures: u32,
    /// When the list last told anything, and the mean share that it showed as left.
    news_at: Timestamp,
    mean_left: Resources,
}

/// One round: what came in is told to it, and it ends with the placing.
pub struct SchedulingRound<'a, W: Dispatch> {
    b: &'a mut PlacementPolicy,
    now: Timestamp,
    out: &'a mut W,
}

impl PlacementPolicy {
    pub fn new(
        seed: u64,
        use_cases: Vec<UseCase>,
        kinds: Vec<Resources>,
        taking: AcceptanceRules,
        cold: SlowStart,
        listing: Discovery,
        home: LocalityCosts,
    ) -> Self {
        let low = use_cases.iter().map(|u| u.priority).min().unwrap_or(0);
        Self {
            use_cases,
            kinds,
            taking,
            cold,
            listing,
            home,
            low,
            usual_start: [Duration::ZERO; 2],
            chance: Pcg::new(seed),
            begun: Timestamp::default(),
            tasks: Slab::with_capacity(4096),
            machines: Slab::with_capacity(64),
            pending: Vec::with_capacity(1024),
            moved: VecDeque::with_capacity(64),
            fits: Vec::with_capacity(64),
            held: Vec::with_capacity(64),
            tick_set: false,
            starting: 0,
            watch_failures: 0,
            news_at: Timestamp::default(),
            mean_left: Resources::ZERO,
        }
    }

    pub fn round<W: Dispatch, T>(
        &mut self,
        now: Timestamp,
        out: &mut W,
        tell: impl FnOnce(&mut SchedulingRound<'_, W>) -> T,
    ) -> T {
        let mut round = SchedulingRound { b: self, now, out };
        let told = tell(&mut round);
        round.place_pending();
        told
    }

    fn use_case(&self, place: usize) -> &UseCase {
        &self.use_cases[self.tasks[place].order.use_case.0]
    }

    fn is_low(&self, place: usize) -> bool {
        self.use_case(place).priority == self.low
    }

    /// The shortest wait that makes sense: a small part of the tightest soft limit.
    fn retry_after(&self) -> Duration {
        let tightest = self.use_cases.iter().map(|u| u.soft_limit).min().unwrap_or(Duration::from_secs(1));
        tightest * RETRY_SHARE + Duration::from_nanos(1)
    }

    /// The wait, and a part of it more that is drawn.
    fn drawn(&mut self, wait: Duration) -> Duration {
        wait * (1.0 + DRAWN * self.chance.part())
    }

    /// A view without news fades to the mean of all machines, or whoever gets none fills those once empty.
    fn fade(&self, now: Timestamp) -> f64 {
        let silence = (now - self.news_at).over(self.listing.ask_within * NEWS_SHARE);
        1.0 - 1.0 / silence.max(1.0)
    }

    /// What nobody asked for of a machine.
    fn free(&self, m: &Machine, fade: f64) -> Resources {
        let mean = m.size.times(self.mean_left.cores, self.mean_left.memory);
        m.free() + (mean - m.left).times(fade, fade)
    }

    /// Not warm yet, if it started then.
    fn is_fresh(&self, start: Option<Timestamp>, now: Timestamp) -> bool {
        start.is_some_and(|at| now - at < self.cold.warm_after)
    }

    /// Started lately, or lost: what was lost comes back cold, long before the list tells of its start.
    fn is_cold(&self, m: &Machine, now: Timestamp) -> bool {
        self.is_fresh(m.since, now) || self.is_fresh(m.lost_at, now)
    }
}

impl<W: Dispatch> SchedulingRound<'_, W> {
    pub fn on_start(&mut self) {
        self.b.begun = self.now;
        self.on_timer(WATCH);
    }

    pub fn on_new_task(&mut self, order: TaskSpec) {
        let mut task = Task::new(order, State::Pending, PEAK_WINDOW, self.now);
        if let Some(at) = self.b.moved.iter().position(|(key, _)| *key == order.key) {
            task.size = self.b.moved.remove(at).map_or(order.ask, |(_, peak)| peak);
        }
        let place = self.b.tasks.insert(order.id, task);
        self.b.pending.push(place);
    }

    pub fn on_adopted_task(&mut self, order: TaskSpec, machine: MachineId) {
        let at = self.machine(machine);
        let mut task = Task::new(order, State::Placed, PEAK_WINDOW, self.now);
        task.machine = at;
        task.sends = 1;
        let place = self.b.tasks.insert(order.id, task);
        self.b.machines[at].tasks.push((place, order.service));
    }

    pub fn on_accepted(&mut self, id: TaskId) {
        let Some(place) = self.b.tasks.place(id) else { return };
        let task = &mut self.b.tasks[place];
        if task.state == State::Sent {
            task.state = State::Placed;
            self.b.machines[task.machine].dealings[task.order.use_case.0].answered_at = self.now;
            if self.b.taking.yes_when_running {
                self.on_running(id);
            }
        }
    }

    /// A start is done: in good time, it lets more starts be under way on its machine.
    pub fn on_running(&mut self, id: TaskId) {
        let Some(place) = self.b.tasks.place(id) else { return };
        let (now, soft_limit) = (self.now, self.b.use_case(place).soft_limit);
        let task = &mut self.b.tasks[place];
        if std::mem::take(&mut task.starting) {
            let m = &mut self.b.machines[task.machine];
            m.starting -= 1;
            self.b.starting -= 1;
            let took = now - task.sent_at;
            let dealing = &mut m.dealings[task.order.use_case.0];
            (dealing.barred_until, dealing.times) = (now, 0);
            // Far slower than usual: a slow or crowded machine, also where nothing else tells of pressure.
            let usual = &mut self.b.usual_start[usize::from(task.bare)];
            if !self.b.taking.tells_pressure && is_slow(took, *usual) {
                m.pressed.cores = now + PRESSED;
            }
            *usual = usual.toward(took, USUAL_STEP);
            if took < soft_limit {
                m.cap += 1.0;
            }
        }
    }

    /// The use of a task; of high-priority ones, ask minus peak use becomes slack of their machine.
    pub fn on_usage(&mut self, id: TaskId, cores: Option<f64>, memory: Option<f64>) {
        let now = self.now;
        let Some((place, at)) = self.placed(id) else { return };
        let high = !self.b.is_low(place);
        let task = &mut self.b.tasks[place];
        let (ask, before) = (task.order.ask, task.last_use);
        if let Some(cores) = cores {
            task.cores.note(now, cores);
            task.last_use.cores = cores;
        }
        if let Some(memory) = memory {
            task.memory.note(now, memory);
            task.last_use.memory = memory;
        }
        let m = &mut self.b.machines[at];
        m.used += task.last_use - before;
        if high {
            let slack = (ask - task.peak(now)).at_least(Resources::ZERO);
            m.slack += slack - task.slack;
            task.slack = slack;
        }
    }

    /// Poor service tells how busy the cores are, by the use case's own curve.
    pub fn on_service_level(&mut self, id: TaskId, share: f64) {
        let Some((place, at)) = self.placed(id) else { return };
        let busy = self.b.use_case(place).full_up_to + (1.0 - share) * self.b.use_case(place).fade;
        let m = &mut self.b.machines[at];
        m.poor.note(self.now, 1.0 - share);
        m.use_cores.note(self.now, busy);
        m.pressed.cores = pressed(self.now, share < SERVED_WELL);
        self.shed(at);
    }

    pub fn on_machine_memory(&mut self, id: TaskId, share: f64) {
        let Some((_, at)) = self.placed(id) else { return };
        let m = &mut self.b.machines[at];
        m.use_memory.note(self.now, share);
        m.pressed.memory = pressed(self.now, share > HOT);
        self.shed(at);
    }

    pub fn on_health_check(&mut self, machine: MachineId, report: LoadReport) {
        let (Some(at), Some(unused)) = (self.b.machines.place(machine), report.unused) else { return };
        let m = &mut self.b.machines[at];
        let (cores, memory) = (1.0 - unused.cores / m.size.cores, 1.0 - unused.memory / m.size.memory);
        m.use_cores.note(self.now, cores);
        m.use_memory.note(self.now, memory);
        m.pressed.cores = pressed(self.now, cores > HOT);
        m.pressed.memory = pressed(self.now, memory > HOT);
        self.shed(at);
    }

    /// It is cold, long before the list tells of its start.
    pub fn on_machine_restarted(&mut self, machine: MachineId) {
        if let Some(at) = self.b.machines.place(machine) {
            self.b.machines[at].lost_at = Some(self.now);
        }
    }

    fn placed(&self, id: TaskId) -> Option<(usize, usize)> {
        let place = self.b.tasks.place(id)?;
        let task = &self.b.tasks[place];
        (task.state == State::Placed).then_some((place, task.machine))
    }

    /// The end of a send. Where `over` is not set, the final answer is still ours to give.
    pub fn on_attempt_ended(&mut self, id: TaskId, ending: Outcome, over: bool, report: LoadReport) {
        let Some(place) = self.b.tasks.place(id) else { return };
        let rest = self.b.use_case(place).client_timeout * REST_SHARE;
        let (now, rest) = (self.now, self.b.drawn(rest));
        let task = &mut self.b.tasks[place];
        let (at, state, ask, case) = (task.machine, task.state, task.order.ask, task.order.use_case.0);
        if task.sends == 0 || state == State::Pending {
            return;
        }
        let m = &mut self.b.machines[at];
        m.tasks.retain(|(t, _)| *t != place);
        if state == State::Placed {
            m.keeps(task.order.service, KEPT);
        }
        m.slack -= task.slack;
        m.used -= task.last_use;
        m.changes(now, ask);
        m.starting -= usize::from(task.starting);
        self.b.starting -= usize::from(task.starting);
        task.starting = false;
        match ending {
            // Others were answered since this was sent, or it was moved: a long line, no dead machine.
            Outcome::TimedOut | Outcome::Cancelled
                if state != State::Sent || m.dealings[case].answered_at > task.sent_at => {}
            // Let it rest, longer each time.
            Outcome::NoConnection
            | Outcome::Lost(FailureCause::Unspecified)
            | Outcome::Rejected(Rejection::QueueFull) => {
                m.dealings.iter_mut().for_each(|dealing| dealing.bar(now, rest));
            }
            // Where another machine erred on it too, it is the task. Met: set-ups that no machine could use,
            // each of which had four machines rest.
            Outcome::Failed if std::mem::replace(&mut task.erred, true) => {}
            // Errors, silence, or a nack without a reason: it may be this use case alone that suffers.
            Outcome::Failed
            | Outcome::TimedOut
            | Outcome::Cancelled
            | Outcome::Rejected(Rejection::Unspecified) => {
                m.dealings[case].bar(now, rest);
            }
            // The machine knows its room: for as long as a view may be stale, there is less than this ask.
            Outcome::Rejected(nack @ (Rejection::InsufficientCores | Rejection::InsufficientMemory)) => {
                let beyond = self.b.taking.beyond(m.size);
                let less = (ask.times(0.99, 0.99) - beyond - m.free()).at_most(Resources::ZERO);
                let cores = nack == Rejection::InsufficientCores;
                m.changes(now, less.times(f64::from(cores), f64::from(!cores)));
            }
            // Out of memory, whoever used it up.
            Outcome::Lost(FailureCause::Evicted) | Outcome::Rejected(Rejection::Returned) => {
                m.pressed.memory = now + PRESSED;
                m.poor.note(now, 1.0);
            }
            _ => {}
        }
        let never_ran = matches!(ending, Outcome::Rejected(_) | Outcome::NoConnection | Outcome::NotSent);
        if !never_ran && state == State::Sent && task.may_run.is_none() {
            task.may_run = Some((task.sent_at, m.spot()));
        }
        task.slack = Resources::ZERO;
        task.turned_down = Some(at);
        let machine = m.id;
        if over || state != State::Sent {
            self.b.tasks.remove(place);
        } else {
            // Looked at in this very round: a time-out at the deadline leaves no time to wait for a tick.
            (task.state, task.waited) = (State::Pending, false);
            self.b.pending.push(place);
        }
        if matches!(ending, Outcome::NoConnection | Outcome::Lost(FailureCause::Unspecified)) {
            self.b.machines[at].lost_at = Some(now);
        }
        self.on_health_check(machine, report);
    }

    pub fn on_client_cancelled(&mut self, id: TaskId) {
        let Some(place) = self.b.tasks.place(id) else { return };
        match self.b.tasks[place].state {
            State::Pending => {
                self.b.pending.retain(|p| *p != place);
                self.b.tasks.remove(place);
            }
            // Of one that runs, neither its slack nor its heat is there for long.
            State::Sent | State::Placed => {
                let task = &mut self.b.tasks[place];
                task.state = State::Over;
                self.b.machines[task.machine].slack -= std::mem::take(&mut task.slack);
            }
            State::Over => {}
        }
    }

    /// Whoever is to end owes its answers by then. Met: waits longer than the time that is left to it.
    pub fn on_shutdown(&mut self, at: Timestamp) {
        self.b.tasks.iter_mut().for_each(|(_, task)| task.order.deadline = task.order.deadline.min(at));
    }

    pub fn on_timer(&mut self, token: u64) {
        match token {
            TICK => self.b.tick_set = false,
            _ if self.b.listing.asked => self.out.watch_endpoints(),
            _ => {}
        }
    }

    /// A call for the list failed, or the watch broke: ask again, less often each time, well within the rule.
    pub fn on_watch_failed(&mut self) {
        let wait = self.b.retry_after() * f64::from(8u32 << self.b.watch_failures.min(4));
        self.b.watch_failures += 1;
        let wait = self.b.drawn(wait.min(self.b.listing.ask_within * NEWS_SHARE));
        self.out.wake_at(WATCH, self.now + wait);
    }

    pub fn on_endpoint_list(&mut self, kind: ListKind, entries: &[MachineEntry]) {
        let now = self.now;
        let fresh = (FRESH_CAP / f64::from(self.b.cold.schedulers.max(1))).max(1.0);
        if kind != ListKind::Cached {
            self.b.watch_failures = 0;
        }
        if kind != ListKind::Delta {
            self.b.machines.iter_mut().for_each(|(_, m)| m.mode = MachineState::Removed);
        }
        for entry in entries {
            let at = self.machine(entry.id);
            let size = self.b.kinds.get(entry.kind.0).copied().unwrap_or(Resources::ZERO);
            let fresh_start = self.b.is_fresh(entry.since, now);
            let m = &mut self.b.machines[at];
            (m.kind, m.cell, m.zone, m.size) = (entry.kind, entry.cell, entry.zone, size);
            m.mode = entry.mode;
            m.left = entry.left.unwrap_or(m.left);
            if fresh_start && m.since != entry.since {
                m.cap = fresh;
                m.dealings.iter_mut().for_each(|d| (d.barred_until, d.times) = (now, 0));
            }
            m.since = entry.since;
        }
        // Not one that drains, nor a cold one: it may come back, and what was dealt to it still counts.
        let is_over =
            |m: &Machine| m.mode == MachineState::Removed && m.tasks.is_empty() && !self.b.is_cold(m, now);
        let over = self.b.machines.iter().find(|(_, m)| is_over(m)).map(|(at, _)| at);
        over.and_then(|at| self.b.machines.remove(at));
        // Whoever is not named has not changed: its view is as fresh as the named ones'.
        self.b.news_at = now;
        let (mut left, mut size) = (Resources::ZERO, Resources::ZERO);
        for (_, m) in self.b.machines.iter_mut() {
            m.seen(now, VIEW_AGE);
            if m.mode == MachineState::Active {
                left += m.left;
                size += m.size;
            }
        }
        self.b.mean_left = left.times(1.0 / size.cores.max(1e-9), 1.0 / size.memory.max(1e-9));
    }

    /// The machine's place; one that no list has named yet is never sent to.
    fn machine(&mut self, id: MachineId) -> usize {
        let (known, cases) = (self.b.machines.place(id), self.b.use_cases.len());
        known.unwrap_or_else(|| {
            self.b.machines.insert(id, Machine::new(id, PEAK_WINDOW, f64::INFINITY, cases, self.now))
        })
    }

    /// A hot machine sheds our low-priority tasks, newest first, until what is left would be under the mark;
    /// its peak is then forgotten, so that a fresh report must come before more go.
    fn shed(&mut self, at: usize) {
        let now = self.now;
        let m = &mut self.b.machines[at];
        let peak =
            Resources::new(m.use_cores.peak(now).unwrap_or(0.0), m.use_memory.peak(now).unwrap_or(0.0));
        let total = peak.times(m.size.cores, m.size.memory);
        let most = m.size.times(HOT, HOT);
        if most.fits(total) {
            return;
        }
        m.use_cores.forget();
        m.use_memory.forget();
        // What is being stopped, by us or its owner, is over soon. Met: one heat, and two tasks gone for it.
        let stops = m.tasks.iter().map(|(place, _)| &self.b.tasks[*place]).filter(|t| t.state == State::Over);
        let stops = stops.fold(Resources::ZERO, |sum, task| sum + task.last_use);
        let (total, used) = (total - stops, m.used - stops);
        if most.fits(total) {
            return;
        }
        // Others see the heat too: ours to shed is our part of the use.
        let ours = Resources::new(used.cores / total.cores.max(1e-9), used.memory / total.memory.max(1e-9));
        let mut over = (total - most).times(ours.cores.min(1.0), ours.memory.min(1.0));
        for n in (0..self.b.machines[at].tasks.len()).rev() {
            let (place, _) = self.b.machines[at].tasks[n];
            let task = &self.b.tasks[place];
            // One that came again stays: moving it on would only pass the heat around.
            let stays = task.order.again || task.state != State::Placed || task.last_use == Resources::ZERO;
            if stays || !self.b.is_low(place) || !self.has_calm_room(place) {
                continue;
            }
            let task = &mut self.b.tasks[place];
            // Less than a whole task is shed by chance.
            let part = (over.cores / task.last_use.cores).max(over.memory / task.last_use.memory);
            if part < self.b.chance.part() {
                break;
            }
            over -= task.last_use;
            let peak = task.peak(now);
            task.state = State::Over;
            self.out.preempt(task.order.id);
            if self.b.moved.len() == self.b.moved.capacity() {
                self.b.moved.pop_front();
            }
            self.b.moved.push_back((task.order.key, peak));
        }
    }

    /// Sends to a machine that has answered nothing since are called back while others can still be tried.
    fn recall_from_silent(&mut self) {
        for (_, m) in self.b.machines.iter().filter(|(_, m)| m.starting > 0) {
            for (place, _) in &m.tasks {
                let after = self.b.use_case(*place).client_timeout * SILENCE_SHARE;
                let task = &self.b.tasks[*place];
                let silent = m.dealings[task.order.use_case.0].answered_at <= task.sent_at
                    && self.now - task.sent_at >= after;
                if task.state == State::Sent && silent {
                    self.out.cancel_attempt(task.order.id, task.sends - 1);
                }
            }
        }
    }

    /// Where would a moved task go? Only room on a calm machine makes a move worth its price.
    fn has_calm_room(&self, place: usize) -> bool {
        let (task, use_case, fade) = (&self.b.tasks[place], self.b.use_case(place), self.b.fade(self.now));
        let mut held = Vec::new();
        self.find_held(task.order.service, use_case, &mut held);
        self.b.machines.iter().any(|(at, m)| {
            m.is_calm(self.now)
                && self.may_go(task, use_case, at, m, &held)
                && self.has_room(task, true, m, self.b.free(m, fade))
        })
    }

    /// A start that is still under way after far longer than usual tells as much as one that is done so late.
    /// Met: a slow machine on which more than a third of what was placed ended before it ever ran.
    fn note_slow_starts(&mut self) {
        let usual = self.b.usual_start;
        for (_, m) in self.b.machines.iter_mut().filter(|(_, m)| m.starting > 0) {
            let starts_slowly = |task: &Task| {
                task.starting && is_slow(self.now - task.sent_at, usual[usize::from(task.bare)])
            };
            if m.tasks.iter().any(|(place, _)| starts_slowly(&self.b.tasks[*place])) {
                m.pressed.cores = self.now + PRESSED;
            }
        }
    }

    /// The final answer of a task without an open send: no, where that is allowed, else failure.
    fn give_up(&mut self, place: usize) {
        let use_case = self.b.use_case(place);
        let task = &self.b.tasks[place];
        let anywhere = matches!(
            use_case.effect,
            Idempotency::Idempotent | Idempotency::Keyed { domain: FailureDomain::All, .. }
        );
        if anywhere || task.may_run.is_none() {
            self.out.reject(task.order.id, Duration::ZERO);
        } else {
            self.out.fail(task.order.id);
        }
        self.b.tasks.remove(place);
    }

    /// What placing a task now would earn; a first start within the soft limit counts once more.
    fn gain(&self, place: usize) -> f64 {
        let (task, use_case) = (&self.b.tasks[place], self.b.use_case(place));
        let in_time = !task.order.again && self.now - task.came < use_case.soft_limit;
        use_case.earnings * if in_time { 2.0 } else { 1.0 }
    }

    /// Pending tasks, best earnings first, then oldest: each is sent, waits on, or is given up.
    fn place_pending(&mut self) {
        let mut pending = std::mem::take(&mut self.b.pending);
        pending.sort_unstable_by(|a, b| {
            let (one, two) = (&self.b.tasks[*a], &self.b.tasks[*b]);
            self.gain(*b).total_cmp(&self.gain(*a)).then(one.came.cmp(&two.came))
        });
        // The whole line is walked at ticks only, which keeps the cost of a long line down.
        let between = self.b.tick_set;
        if !between && self.b.starting > 0 && !self.b.taking.tells_pressure {
            self.note_slow_starts();
        }
        pending.retain(|place| (between && self.b.tasks[*place].waited) || !self.settle(*place));
        self.b.pending = pending;
        if !between && self.b.starting > 0 && self.b.taking.recalls && !self.b.taking.yes_when_running {
            self.recall_from_silent();
        }
        let waiting = !self.b.pending.is_empty() || self.b.starting > 0;
        if waiting && !self.b.tick_set {
            self.b.tick_set = true;
            let wake = self.now + self.b.retry_after();
            self.out.wake_at(TICK, wake);
        }
    }

    /// Sends a pending task or gives it up; false where it waits on.
    fn settle(&mut self, place: usize) -> bool {
        let now = self.now;
        let use_case = self.b.use_case(place);
        let task = &self.b.tasks[place];
        let time_left = task.order.deadline - now;
        let resend_barred = match (use_case.effect, task.may_run) {
            (_, None) | (Idempotency::Idempotent, _) => false,
            (Idempotency::NonIdempotent, _) => true,
            (Idempotency::Keyed { window, .. }, Some((first, _))) => now - first >= window * WINDOW_SHARE,
        };
        if resend_barred
            || task.sends >= self.b.taking.max_sends
            || time_left <= use_case.client_timeout * GIVE_UP_SHARE
        {
            self.give_up(place);
            return true;
        }
        let patient = self.b.taking.recalls || self.b.taking.yes_when_running;
        let share = if patient { PATIENCE_SHARE } else { SILENCE_SHARE };
        let time_out = (use_case.client_timeout * share).min(time_left);
        let Some(at) = self.pick(place) else {
            self.b.tasks[place].waited = true;
            return false;
        };
        let cold = self.b.is_cold(&self.b.machines[at], now);
        let bare = self.b.machines[at].is_bare(self.b.tasks[place].order.service);
        let task = &mut self.b.tasks[place];
        task.bare = bare;
        (task.state, task.starting) = (State::Sent, true);
        (task.machine, task.sent_at) = (at, now);
        task.sends += 1;
        let m = &mut self.b.machines[at];
        m.tasks.push((place, task.order.service));
        m.starting += 1;
        self.b.starting += 1;
        m.changes(now, Resources::ZERO - task.order.ask);
        if cold {
            m.sent_cold(now, self.b.cold.fall * FALL_STRETCH);
        }
        self.out.send(task.order.id, m.id, time_out);
        true
    }

    /// The design's choice: filters, room, least requested, random within the tie. Where less than half of
    /// all machines have the room asked for, all schedulers would pile on these few: what they accept counts.
    fn pick(&mut self, place: usize) -> Option<usize> {
        let (mut fits, mut held) = (std::mem::take(&mut self.b.fits), std::mem::take(&mut self.b.held));
        fits.clear();
        let (task, use_case, home) = (&self.b.tasks[place], self.b.use_case(place), self.b.home);
        let TaskSpec { ask, service, .. } = task.order;
        self.find_held(service, use_case, &mut held);
        let (low, fade) = (use_case.priority == self.b.low, self.b.fade(self.now));
        let schedulers = f64::from(self.b.cold.schedulers.max(1));
        let (mut open, mut fit) = (0, [0; 3]);
        for (at, m) in self.b.machines.iter() {
            if !self.may_go(task, use_case, at, m, &held) {
                continue;
            }
            let free = self.b.free(m, fade);
            let calm = m.is_calm(self.now);
            let away = m.zone != home.zone && home.cross_zone_price > 0.0;
            open += usize::from(calm && !away);
            let departs = match self.has_room(task, low, m, free) {
                true if calm => usize::from(away),
                true if task.waited => 2,
                false if calm && (free + self.b.taking.beyond(m.size)).fits(ask) => 1,
                _ => continue,
            };
            fit[departs] += 1;
            let asked = m.size - free + ask;
            let mut rank =
                CORES_WEIGHT * asked.cores / m.size.cores + MEMORY_WEIGHT * asked.memory / m.size.memory;
            rank += m.poor.peak(self.now).unwrap_or(0.0) * POOR + m.starting as f64 * LINE * schedulers;
            let shut = home.machine_price > 0.0 && m.size.times(EMPTY, EMPTY).fits(m.size - free);
            rank += if shut { OPENING } else { 0.0 };
            let order = mix(service.0, m.id.0) >> 1 | u64::from(away) << 63;
            fits.push((at, rank, order, m.is_bare(service), departs));
        }
        let most = if 2 * fit[0] >= open.max(1) { 0 } else { 2 - usize::from(fit[0] + fit[1] > 0) };
        fits.retain(|(.., departs)| *departs <= most);
        // A start without the program takes many times the work and misses the soft limit.
        let homes = HOMES.min(fits.len());
        if homes < fits.len() {
            fits.select_nth_unstable_by_key(homes, |(_, _, order, ..)| *order);
        }
        fits[..homes].sort_unstable_by_key(|(_, _, order, ..)| *order);
        for (n, (_, rank, _, bare, _)) in fits.iter_mut().enumerate() {
            *rank += if *bare { BARE * n.min(HOMES) as f64 } else { 0.0 };
        }
        let best = fits.iter().map(|(_, rank, ..)| *rank).fold(f64::INFINITY, f64::min);
        fits.retain(|(_, rank, ..)| *rank <= best + TIE);
        let pick = fits.get(self.b.chance.below(fits.len())).map(|(at, ..)| *at);
        (self.b.fits, self.b.held) = (fits, held);
        pick
    }

    /// Where tasks of this service are, for use cases that spread over more than one machine. Met: counted
    /// anew for each machine, which took all of a scheduler's part of a core where services spread over zones
    /// of 133.
    fn find_held(&self, service: ServiceId, use_case: &UseCase, held: &mut Vec<(Spot, usize)>) {
        held.clear();
        if use_case.spread.is_some_and(|(reach, _)| reach != FailureDomain::Machine) {
            let there = self.b.machines.iter().map(|(_, m)| (m.spot(), m.tasks_of(service)));
            held.extend(there.filter(|(_, tasks)| *tasks > 0));
        }
    }

    /// Rules and trust: may this task go to this machine at all?
    fn may_go(
        &self,
        task: &Task,
        use_case: &UseCase,
        at: usize,
        m: &Machine,
        held: &[(Spot, usize)],
    ) -> bool {
        let now = self.now;
        let barred = now < m.dealings[task.order.use_case.0].barred_until || task.turned_down == Some(at);
        if m.mode != MachineState::Active || barred || m.starting as f64 >= m.cap {
            return false;
        }
        if use_case.kind.is_some_and(|kind| kind != m.kind) || m.size.cores <= 0.0 || m.size.memory <= 0.0 {
            return false;
        }
        if let (Idempotency::Keyed { domain, .. }, Some((_, first))) = (use_case.effect, task.may_run)
            && !m.is_within(domain, first)
        {
            return false;
        }
        if let Some((reach, most)) = use_case.spread {
            let service = task.order.service;
            let there = held.iter().filter(|(spot, _)| m.is_within(reach, *spot));
            let held = match reach {
                FailureDomain::Machine => m.tasks_of(service),
                _ => there.map(|(_, tasks)| *tasks).sum(),
            };
            if held >= most {
                return false;
            }
        }
        if self.b.is_cold(m, now) {
            let window = self.b.cold.fall * FALL_STRETCH;
            // Met: seven in ten restarted, and each sent what its life before had sent there already.
            let forgot = now - self.b.begun <= window && m.since.is_some_and(|at| at < self.b.begun);
            let sent = m.cold_sends.iter().filter(|sent| now - **sent <= window).count();
            return !forgot && sent < self.dealt(m);
        }
        true
    }

    /// What a cold machine always bears is dealt out one by one over all schedulers, from a seat that its id
    /// gives: the sum holds whoever stalls or dies, and some may send where a share is under one.
    fn dealt(&self, m: &Machine) -> usize {
        let SlowStart { young_limit, schedulers, number, .. } = self.b.cold;
        let (limit, all) = (young_limit as u64, u64::from(schedulers.max(1)));
        let first = mix(m.id.0, limit) % all;
        let seat = (u64::from(number) + all - first) % all;
        ((limit + all - 1 - seat) / all) as usize
    }

    /// Room asked, plus predicted slack for low-priority tasks, as far as the machine accepts.
    fn has_room(&self, task: &Task, low: bool, m: &Machine, free: Resources) -> bool {
        let slack = if low { m.slack } else { Resources::ZERO };
        (free + slack).fits(task.size) && (free + self.b.taking.beyond(m.size)).fits(task.order.ask)
    }
}
