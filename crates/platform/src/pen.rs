//! Carries out what the module chooses, and proves what it was told.
//!
//! The module holds the pen during a round in which the desk hears, so each borrows the desk for a moment
//! only.

use crate::desk::{Desk, Due};
use crate::tasks::Open;
use mulleinhub_interface::{
    Dispatch, Duration, FailureDomain, Idempotency, MachineId, MachineState, Outcome, TaskId, Timestamp,
};
use mulleinhub_platform_protocol::{self as protocol, kind, why};
use std::cell::RefCell;

pub struct Pen<'a>(pub &'a RefCell<Desk>);

/// A final answer that is no yes: it goes to the connection that the task came on, and the task is over.
fn answer(desk: &mut Desk, task: TaskId, cause: u8, stay_away: Duration) {
    let job = &desk.tasks.by_id[&task];
    let (link, owed) = (job.owner, !job.answered);
    desk.is_answered(task);
    desk.tasks.by_id.remove(&task);
    if let Some(link) = link.filter(|_| owed) {
        let away = stay_away.nanos() / 1_000_000;
        desk.send(link, |out| protocol::write_refusal(out, task.0, cause, away));
    }
}

impl Dispatch for Pen<'_> {
    fn send(&mut self, task: TaskId, machine: MachineId, time_out: Duration) {
        let desk = &mut *self.0.borrow_mut();
        let now = desk.now;
        let job = desk.tasks.by_id.get_mut(&task).expect("the module sends tasks in hand");
        assert!(job.open.is_none(), "task {}: two sends out at once", task.0);
        assert!(now <= job.order.deadline, "task {}: a send after its client timeout", task.0);
        assert!(!job.answered, "task {}: a send after its final answer", task.0);
        let number = job.sends;
        job.sends += 1;
        let due = now + time_out;
        desk.counts.sends += 1;
        desk.timers.set(due, Due::Send(task, number));
        let write_by = desk.write_by(task, machine);
        if write_by < due {
            desk.timers.set(write_by, Due::Write(task, number));
        }
        let job = desk.tasks.by_id.get_mut(&task).expect("was there");
        job.open = Some(Open { write_by, ..Open::new(number, machine, now, due) });
        let spot = desk.machines.by_id.get_mut(&machine).expect("the module sends to listed machines");
        assert!(
            spot.entry.state == MachineState::Active,
            "task {}: a send to a machine that drains or is gone",
            task.0
        );
        if let Some(until) = spot.gate.shut_until(now, desk.site.cold.budget_window) {
            spot.waiting.push((task, number));
            desk.timers.set(until, Due::Release(machine));
        } else if !desk.write_setup(task) {
            desk.waits_for_connection(task, number, machine);
        }
    }

    fn cancel_attempt(&mut self, task: TaskId, send: u32) {
        let desk = &mut *self.0.borrow_mut();
        let Some(open) = desk.tasks.by_id.get(&task).and_then(|job| job.open) else { return };
        if open.number == send && open.placed_at.is_none() {
            desk.give_up(task, Outcome::Cancelled);
        }
    }

    fn reject(&mut self, task: TaskId, stay_away: Duration) {
        let desk = &mut *self.0.borrow_mut();
        let job = &desk.tasks.by_id[&task];
        assert!(job.open.is_none(), "task {}: nacked with a send out", task.0);
        let harmless = match desk.site.use_cases[job.order.use_case.0].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { domain: FailureDomain::Cluster, .. } => true,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => job.may_have_run.is_none(),
        };
        assert!(harmless, "task {}: nacked though it may have run", task.0);
        desk.counts.nacked += 1;
        answer(desk, task, why::FULL, stay_away);
    }

    fn fail(&mut self, task: TaskId) {
        let desk = &mut *self.0.borrow_mut();
        assert!(desk.tasks.by_id[&task].open.is_none(), "task {}: errored with a send out", task.0);
        desk.counts.errored += 1;
        answer(desk, task, why::ERROR, Duration::ZERO);
    }

    fn preempt(&mut self, task: TaskId) {
        let desk = &mut *self.0.borrow_mut();
        let Some(job) = desk.tasks.by_id.get(&task).filter(|job| job.placed().is_some()) else { return };
        if let Some(link) = desk.owners.to_tell(job.owner) {
            desk.send(link, |out| protocol::write_message(out, kind::MOVE, task.0, &[]));
        }
    }

    fn wake_at(&mut self, token: u64, at: Timestamp) {
        self.0.borrow_mut().timers.set(at, Due::Token(token));
    }

    fn watch_endpoints(&mut self) {
        self.0.borrow_mut().open_watch();
    }
}
