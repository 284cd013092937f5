//! Plain policies behind the same interface: random choice and least requested.
//!
//! For: comparison on the same days, never for service. They keep the rules (kind, spread, drains, effects,
//! the cold budget) and know nothing of health, slack, pressure, programs or prices.
//! May not touch: the module, the engine, the stand-ins.

use mulleinhub_interface::*;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Any machine that fits.
    Random,
    /// The one with the least asked, cores and memory weighing the same.
    LeastRequested,
    /// The one with the most asked on which it still fits.
    TightFit,
}

/// A pending task is looked at again after so long.
const TICK: Duration = Duration::from_nanos(50_000_000);
/// A send is waited for during this part of the client timeout.
const WAIT: f64 = 0.25;
/// So near its client timeout (as a part of it) a task gets its final answer.
const GIVE_UP: f64 = 0.05;

#[derive(Clone, Copy, PartialEq)]
enum State {
    Pending,
    Sent,
    Placed,
}

struct Task {
    order: TaskSpec,
    state: State,
    machine: Option<MachineId>,
    sent_at: Timestamp,
    sends: u32,
    may_run: Option<(Timestamp, MachineId)>,
    last: Option<MachineId>,
}

struct Machine {
    entry: MachineEntry,
    left: Resources,
    cold_sends: Vec<Timestamp>,
}

pub struct Baseline {
    rule: Rule,
    use_cases: Vec<UseCase>,
    kinds: Vec<Resources>,
    taking: AcceptanceRules,
    cold: SlowStart,
    listing: Discovery,
    tasks: BTreeMap<TaskId, Task>,
    machines: BTreeMap<MachineId, Machine>,
    ticking: bool,
    chance: u64,
}

impl Baseline {
    pub fn new(
        rule: Rule,
        seed: u64,
        use_cases: Vec<UseCase>,
        kinds: Vec<Resources>,
        taking: AcceptanceRules,
        cold: SlowStart,
        listing: Discovery,
    ) -> Self {
        let (tasks, machines) = (BTreeMap::new(), BTreeMap::new());
        let chance = seed | 1;
        Self { rule, use_cases, kinds, taking, cold, listing, tasks, machines, ticking: false, chance }
    }

    fn draw(&mut self, below: usize) -> usize {
        // Knuth's multiplier; the high bits are the good ones.
        self.chance =
            self.chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.chance >> 33) % below.max(1) as u64) as usize
    }

    fn is_within(&self, reach: FailureDomain, one: MachineId, other: MachineId) -> bool {
        let (Some(a), Some(b)) = (self.machines.get(&one), self.machines.get(&other)) else {
            return one == other;
        };
        match reach {
            FailureDomain::Machine => one == other,
            FailureDomain::Cell => a.entry.cell == b.entry.cell,
            FailureDomain::Zone => a.entry.zone == b.entry.zone,
            FailureDomain::Cluster => true,
        }
    }

    fn may_go(&self, now: Timestamp, task: &Task, to: MachineId, machine: &Machine) -> bool {
        let case = &self.use_cases[task.order.use_case.0];
        let size = self.kinds.get(machine.entry.kind.0).copied().unwrap_or(Resources::ZERO);
        let fits = (machine.left + self.taking.overcommit_allowance(size)).fits(task.order.request);
        if machine.entry.state != MachineState::Active || !fits || task.last == Some(to) {
            return false;
        }
        if case.machine_kind.is_some_and(|kind| kind != machine.entry.kind) {
            return false;
        }
        if let (Idempotency::Keyed { domain, .. }, Some((_, first))) = (case.idempotency, task.may_run)
            && !self.is_within(domain, first, to)
        {
            return false;
        }
        if let Some((reach, most)) = case.spread {
            let same = |other: &&Task| {
                other.order.service == task.order.service
                    && other.machine.is_some_and(|there| self.is_within(reach, there, to))
            };
            if self.tasks.values().filter(same).count() >= most {
                return false;
            }
        }
        let cold = machine.entry.started_at.is_some_and(|since| now - since < self.cold.warm_up_time);
        let share = (self.cold.attempt_budget / f64::from(self.cold.scheduler_count.max(1))).floor() as usize;
        let lately =
            machine.cold_sends.iter().filter(|at| now - **at < self.cold.budget_window * 1.5).count();
        !cold || lately < share
    }

    fn pick(&mut self, now: Timestamp, id: TaskId) -> Option<MachineId> {
        let task = &self.tasks[&id];
        let fits = self.machines.iter().filter(|(to, m)| self.may_go(now, task, **to, m));
        match self.rule {
            Rule::Random => {
                let fits: Vec<MachineId> = fits.map(|(to, _)| *to).collect();
                let n = self.draw(fits.len());
                fits.get(n).copied()
            }
            Rule::LeastRequested | Rule::TightFit => {
                let free = |m: &Machine| {
                    let size = self.kinds[m.entry.kind.0];
                    m.left.cores / size.cores + m.left.memory / size.memory
                };
                let best = match self.rule {
                    Rule::TightFit => fits.min_by(|(_, a), (_, b)| free(a).total_cmp(&free(b))),
                    _ => fits.max_by(|(_, a), (_, b)| free(a).total_cmp(&free(b))),
                };
                best.map(|(to, _)| *to)
            }
        }
    }

    fn settle(&mut self, now: Timestamp, out: &mut dyn Dispatch, id: TaskId) {
        let task = &self.tasks[&id];
        let case = &self.use_cases[task.order.use_case.0];
        let left = task.order.deadline - now;
        let barred = match (case.idempotency, task.may_run) {
            (_, None) | (Idempotency::Idempotent, _) => false,
            (Idempotency::NonIdempotent, _) => true,
            (Idempotency::Keyed { window, .. }, Some((first, _))) => now - first >= window * 0.9,
        };
        if barred || task.sends >= self.taking.max_attempts || left <= case.client_timeout * GIVE_UP {
            let anywhere = matches!(
                case.idempotency,
                Idempotency::Idempotent | Idempotency::Keyed { domain: FailureDomain::Cluster, .. }
            );
            if anywhere || task.may_run.is_none() {
                out.reject(id, Duration::ZERO);
            } else {
                out.fail(id);
            }
            self.tasks.remove(&id);
            return;
        }
        let time_out = (case.client_timeout * WAIT).min(left);
        let Some(to) = self.pick(now, id) else { return };
        let task = self.tasks.get_mut(&id).expect("is pending");
        (task.state, task.machine, task.last) = (State::Sent, Some(to), Some(to));
        task.sent_at = now;
        task.sends += 1;
        let ask = task.order.request;
        let machine = self.machines.get_mut(&to).expect("was picked");
        machine.left -= ask;
        machine.cold_sends.retain(|at| now - *at < self.cold.budget_window * 1.5);
        machine.cold_sends.push(now);
        out.send(id, to, time_out);
    }
}

struct Heard<'a> {
    b: &'a mut Baseline,
    now: Timestamp,
    out: &'a mut dyn Dispatch,
}

impl PolicyEvents for Heard<'_> {
    fn on_start(&mut self) {
        if self.b.listing.watch_required {
            self.out.watch_endpoints();
        }
    }

    fn on_new_task(&mut self, order: TaskSpec) {
        let state = State::Pending;
        let task =
            Task { order, state, machine: None, sent_at: self.now, sends: 0, may_run: None, last: None };
        self.b.tasks.insert(order.id, task);
    }

    fn on_adopted_task(&mut self, order: TaskSpec, machine: MachineId) {
        let (state, machine) = (State::Placed, Some(machine));
        self.b.tasks.insert(
            order.id,
            Task { order, state, machine, sent_at: self.now, sends: 1, may_run: None, last: machine },
        );
    }

    fn on_accepted(&mut self, task: TaskId) {
        if let Some(task) = self.b.tasks.get_mut(&task) {
            task.state = State::Placed;
        }
    }

    fn on_attempt_ended(&mut self, id: TaskId, ending: Outcome, over: bool, _: LoadReport) {
        let Some(task) = self.b.tasks.get_mut(&id) else { return };
        let Some(machine) = task.machine.take() else { return };
        let never_ran = matches!(ending, Outcome::Rejected(_) | Outcome::ConnectionFailed | Outcome::NotSent);
        if !never_ran && task.may_run.is_none() {
            task.may_run = Some((task.sent_at, machine));
        }
        let (ask, placed) = (task.order.request, task.state == State::Placed);
        task.state = State::Pending;
        if let Some(machine) = self.b.machines.get_mut(&machine) {
            machine.left += ask;
        }
        if over || placed {
            self.b.tasks.remove(&id);
        }
    }

    fn on_client_cancelled(&mut self, id: TaskId) {
        if self.b.tasks.get(&id).is_some_and(|task| task.state == State::Pending) {
            self.b.tasks.remove(&id);
        }
    }

    fn on_shutdown(&mut self, at: Timestamp) {
        self.b.tasks.values_mut().for_each(|task| task.order.deadline = task.order.deadline.min(at));
    }

    fn on_timer(&mut self, token: u64) {
        match token {
            0 => self.b.ticking = false,
            _ if self.b.listing.watch_required => self.out.watch_endpoints(),
            _ => {}
        }
    }

    fn on_watch_failed(&mut self) {
        self.out.wake_at(1, self.now + Duration::from_secs(1));
    }

    fn on_endpoint_list(&mut self, kind: ListKind, entries: &[MachineEntry]) {
        if kind != ListKind::Delta {
            self.b.machines.values_mut().for_each(|machine| machine.entry.state = MachineState::Removed);
        }
        for entry in entries {
            let left = entry.available.unwrap_or(Resources::ZERO);
            let machine = self.b.machines.entry(entry.id).or_insert(Machine {
                entry: *entry,
                left,
                cold_sends: Vec::new(),
            });
            (machine.entry, machine.left) = (*entry, left);
        }
    }

    fn on_machine_restarted(&mut self, machine: MachineId) {
        if let Some(machine) = self.b.machines.get_mut(&machine) {
            machine.entry.started_at = Some(self.now);
        }
    }

    fn on_running(&mut self, _: TaskId) {}
    fn on_usage(&mut self, _: TaskId, _: Option<f64>, _: Option<f64>) {}
    fn on_service_level(&mut self, _: TaskId, _: f64) {}
    fn on_machine_memory(&mut self, _: TaskId, _: f64) {}
    fn on_health_check(&mut self, _: MachineId, _: LoadReport) {}
}

impl Policy for Baseline {
    fn round(&mut self, now: Timestamp, out: &mut dyn Dispatch, tell: &mut dyn FnMut(&mut dyn PolicyEvents)) {
        tell(&mut Heard { b: self, now, out });
        let pending = |(id, task): (&TaskId, &Task)| (task.state == State::Pending).then_some(*id);
        let pending: Vec<TaskId> = self.tasks.iter().filter_map(pending).collect();
        let waits = !pending.is_empty();
        pending.into_iter().for_each(|id| self.settle(now, out, id));
        if waits && !std::mem::replace(&mut self.ticking, true) {
            out.wake_at(0, now + TICK);
        }
    }
}
