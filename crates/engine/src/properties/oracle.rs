//! The oracle: the rules, checked by what crosses the wire.

use super::records::{Offer, SentAttempt};
use super::simulation::Simulation;
use super::{ANSWER_SLACK, MS, SLOW_START_LIMIT, cell, settings};
use mulleinhub_interface::{FailureDomain, Idempotency};
use mulleinhub_sans_io::ConnectionId;

impl Simulation {
    /// Rule 1: a client that is connected has received its answers in time.
    pub(super) fn check_answers(&self) {
        for (id, task) in self.tasks.iter().filter(|(_, t)| t.taken && t.answer.is_none() && !t.cancelled) {
            let late = self.now > task.deadline + ANSWER_SLACK && self.client.is_some();
            assert!(!late, "rule 1: task {id} has no answer {} ms late", (self.now - task.deadline) / MS);
        }
    }

    /// Rules 1 to 4, at each offer that a machine reads. Rules 2 and 5 need all offers of an exchange: see
    /// `check_offers`.
    pub(super) fn check_offer(&mut self, index: usize, connection: ConnectionId, offer: &Offer) {
        let id = offer.task;
        let task = &self.tasks[&id];
        assert!(task.answer.is_none(), "rule 1: task {id} is offered after its answer {:?}", task.answer);
        assert!(!task.cancellation_handled, "task {id} is offered after its client cancelled it");
        // After a pause a socket buffer delivers what was written before it, and the length of a pause is
        // known to a heartbeat.
        assert!(
            self.now <= task.deadline + ANSWER_SLACK || self.reads_delayed,
            "task {id} is offered after its client timeout"
        );
        assert!(offer.time_out > 0, "task {id} is offered after its own timeout");
        self.coverage.retries += u64::from(!task.attempts.is_empty());
        self.check_retry(index, offer);
        assert!(
            !self.machines[index].inactive,
            "rule 3: task {id} is offered to machine {index}, which accepts nothing"
        );
        self.check_slow_start(index);
        let machine = &mut self.machines[index];
        machine.queue.push_back((id, offer.send, offer.shape));
        let attempt = SentAttempt {
            machine: index,
            incarnation: machine.incarnation,
            connection,
            at: self.now,
            times_out_at: self.now + offer.time_out,
            taken: false,
            accepted: false,
            is_over: false,
            disconnected: false,
            never_ran: false,
        };
        self.tasks.get_mut(&id).expect("was there above").attempts.insert(offer.send, attempt);
        let use_case = &settings().use_cases[offer.shape.use_case as usize];
        self.coverage.spread_attempts += u64::from(use_case.spread.is_some());
        self.offers_read.push((id, index));
    }

    /// Rule 2: a task that may have run is retried only as its idempotency allows.
    fn check_retry(&self, index: usize, offer: &Offer) {
        let (id, attempts) = (offer.task, &self.tasks[&offer.task].attempts);
        let Some(first) = attempts.values().find(|attempt| !attempt.never_ran) else { return };
        match settings().use_cases[offer.shape.use_case as usize].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => {
                panic!("rule 2: task {id} is not idempotent and is retried: {attempts:?}")
            }
            Idempotency::Keyed { window, .. } => {
                let (before, now) = (cell(first.machine), cell(index));
                assert_eq!(before, now, "rule 2: task {id} is retried outside of its scope");
                let is_within = self.now <= first.at + window.nanos() || self.reads_delayed;
                assert!(is_within, "rule 2: task {id} is retried after its window");
            }
        }
    }

    /// Rule 4: a machine that warms up, as far as that is known, reads few offers within its window.
    fn check_slow_start(&mut self, index: usize) {
        let (now, slow_start) = (self.now, settings().slow_start);
        let machine = &mut self.machines[index];
        let is_cold = machine.up_at.is_some_and(|up| now < up + slow_start.warm_up_time.nanos());
        if !is_cold || machine.restart_known_at.is_none() {
            return;
        }
        self.coverage.cold_offers += 1;
        machine.cold_offers.push_back(now);
        machine.cold_offers.retain(|at| now - at < slow_start.budget_window.nanos());
        let many = machine.cold_offers.len();
        assert!(
            many <= SLOW_START_LIMIT,
            "rule 4: {many} offers reach cold machine {index} within its window"
        );
    }

    /// Whether the scheduler still counts on an attempt: as far as the machine reads, it was not cancelled.
    pub(super) fn is_in_flight(&self, attempt: &SentAttempt) -> bool {
        let unread = self.machines[attempt.machine].unresponsive;
        !unread
            && !attempt.is_over
            && !attempt.disconnected
            && (attempt.accepted || self.now < attempt.times_out_at)
    }

    /// Rules 2 and 5. What was written together is checked together, since a cancellation may be read after
    /// the next offer.
    pub(super) fn check_offers(&mut self) {
        let cases = settings().use_cases;
        for id in std::mem::take(&mut self.rejected) {
            let out = self.tasks[&id].attempts.values().any(|attempt| self.is_in_flight(attempt));
            assert!(
                !out,
                "rule 2: task {id} is rejected with an attempt in flight at {}: {:?}",
                self.now, self.tasks[&id]
            );
        }
        for (id, index) in std::mem::take(&mut self.offers_read) {
            let task = &self.tasks[&id];
            let out: Vec<u32> =
                task.attempts.iter().filter(|(_, s)| self.is_in_flight(s)).map(|(n, _)| *n).collect();
            assert!(out.len() <= 1, "rule 2: attempts {out:?} of task {id} are in flight at once");
            let task = self.tasks.get_mut(&id).expect("was there above");
            // Whoever retries has given up the attempts before, whatever becomes of them.
            task.attempts.values_mut().rev().skip(1).for_each(|attempt| attempt.is_over = true);
            let task = &self.tasks[&id];
            let Some((domain, most)) = cases[task.shape.use_case as usize].spread else { continue };
            let within = |attempt: &&SentAttempt| match domain {
                FailureDomain::Machine => attempt.machine == index,
                _ => cell(attempt.machine) == cell(index),
            };
            let same = self.tasks.values().filter(|t| t.shape.service == task.shape.service);
            let in_flight = same
                .filter(|t| t.attempts.values().filter(within).any(|attempt| self.is_in_flight(attempt)))
                .count();
            assert!(
                in_flight <= most,
                "rule 5: {in_flight} tasks of service {} by machine {index}",
                task.shape.service
            );
        }
    }

    /// After all has settled, every tally and every queue is empty again.
    pub(super) fn check_no_state_left(&self) {
        let state = self.engine.state.borrow();
        assert!(state.tasks.is_empty(), "open tasks: {:?}", state.tasks);
        assert_eq!(state.clients.admission.in_flight(), 0, "admitted tasks");
        let kept = (state.answers.unresolved.len(), state.answers.answers.len(), state.answers.expiries());
        assert_eq!(kept, (0, 0, 0), "kept answers");
        assert_eq!((state.send_tokens.len(), state.outcomes.len()), (0, 0), "send tokens and outcomes");
        for slot in state.machines.values() {
            let is_empty = slot.waiting.is_empty() && slot.reported.is_empty();
            assert!(is_empty, "machine {}: offers wait", slot.id.0);
        }
        assert!(state.peers.values().all(|peer| peer.open_tasks == 0), "open tasks of a connection");
        assert!(state.timers.len() < 40, "{} timers", state.timers.len());
    }
}
