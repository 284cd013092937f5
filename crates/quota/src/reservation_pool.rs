//! The look before a task is taken: what one team may still use here, without asking anybody.
//!
//! Money comes in as drawn blocks, from whoever keeps the books, and goes out as workers run. A new worker
//! reserves what it costs for a stretch out of the open part; from then on what it costs is paid as time
//! passes, ahead of that reserve, out of the open part and then out of the last one, which new workers
//! can't touch. So at any instant what was drawn covers what was spent and a stretch of all that runs.
//! Where nothing is left workers run on, and what they cost is a debt.
//!
//! Nothing here allocates but the telling of names, whose room the keeper gives back.

use crate::money::{accrued, cost};
use mulleinhub_interface::{Duration, TaskKey, Ticket, Timestamp};
use mulleinhub_replicated_log::Parts;
use std::collections::HashMap;

/// Names that a till has room for beside those it holds, at the most and at the least.
const MOST_SPARE_NAMES: usize = 256;
const LEAST_SPARE_NAMES: usize = 1;
/// It has room for so many times the names that came between two looks.
const SPARE_OVER_ASKED: usize = 2;
/// The most that came between two looks is forgotten after this.
const ASKS_REMEMBERED: Duration = Duration::from_secs(60);

/// Between how long and how long a refused owner is to stay away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Away {
    pub least: Duration,
    pub most: Duration,
}

impl Away {
    pub fn drawn(self, drawn: f64) -> Duration {
        self.least + (self.most - self.least) * drawn
    }
}

/// What became of a worker, for the books.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// `again` where it takes the place of one that ran before.
    Began {
        key: u64,
        rate: u64,
        again: bool,
    },
    /// It ran under another scheduler, or in an earlier life of this one.
    Adopted {
        key: u64,
        rate: u64,
        at: Timestamp,
    },
    Over {
        key: u64,
        comes_again: bool,
    },
}

/// What a key has that was taken or ran before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// It is asked for just now.
    pub in_hand: bool,
    /// It ran; else it was taken before a hold and never ran.
    pub ran: bool,
}

/// What holds for a team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Terms {
    pub capped: bool,
    /// It has an account, which orders may hold.
    pub bound: bool,
    /// New submissions are held back.
    pub held: bool,
    /// And so is what ran, as the hold's time to finish is over.
    pub finished: bool,
    /// All schedulers together are known to have spent the part that new workers may use. What lies here of
    /// it is left over from workers that ended, while others' run on beyond their shares.
    pub near: bool,
}

/// One team's.
#[derive(Debug)]
pub struct ReservationPool {
    stretch: Duration,
    at: Timestamp,
    /// Nothing new is taken by what is known here after this instant.
    fresh_until: Timestamp,
    away: Away,
    terms: Terms,
    has: Parts,
    /// For a stretch of each worker that is asked for or runs.
    reserved: u64,
    /// Spent, and not paid for yet.
    debt: u64,
    rate: u64,
    spent: u64,
    carried: u64,
    /// Who may come again, under whatever scheduler it ran or was taken.
    names: HashMap<u64, Place>,
    /// Keys that were taken here and don't run yet, and how often.
    waiting: HashMap<u64, u32>,
    /// How often a place was asked for since the room for names was looked at, the most of that lately, and
    /// when it was so many.
    asks: usize,
    most_asks: usize,
    most_asks_at: Timestamp,
    // Since the keeper's last look.
    asked: u64,
    refused: u64,
    most: u64,
    news: Vec<News>,
}

/// What the keeper sees at a look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    pub has: Parts,
    pub reserved: u64,
    pub debt: u64,
    pub rate: u64,
    pub spent: u64,
    /// What new workers would have reserved that were asked for since the last look, also where refused,
    /// and the most of one.
    pub asked: u64,
    pub most: u64,
    pub refused: u64,
}

/// All tills, each behind whatever lock its host has.
pub trait ReservationPools {
    fn with(&mut self, team: usize, act: &mut dyn FnMut(&mut ReservationPool));
}

impl ReservationPools for Vec<ReservationPool> {
    fn with(&mut self, team: usize, act: &mut dyn FnMut(&mut ReservationPool)) {
        act(&mut self[team]);
    }
}

impl ReservationPool {
    pub fn new(stretch: Duration, away: Away, terms: Terms) -> Self {
        Self {
            stretch,
            at: Timestamp::default(),
            fresh_until: Timestamp::default(),
            away,
            terms,
            has: Parts::default(),
            reserved: 0,
            debt: 0,
            rate: 0,
            spent: 0,
            carried: 0,
            names: HashMap::new(),
            waiting: HashMap::new(),
            asks: 0,
            most_asks: 0,
            most_asks_at: Timestamp::default(),
            asked: 0,
            refused: 0,
            most: 0,
            news: Vec::new(),
        }
    }

    // The look, and what becomes of who was taken.

    /// Whether one more worker of this rate may be added.
    ///
    /// # Errors
    /// For how long its owner is to stay away.
    pub fn ask(
        &mut self,
        now: Timestamp,
        team: u32,
        key: TaskKey,
        rate: u64,
        drawn: f64,
    ) -> Result<Ticket, Duration> {
        self.accrue(now);
        self.asks += 1;
        let need = cost(rate, self.stretch);
        let none = Ticket { team, key, rate, reserved_open: 0, reserved_last: 0 };
        let place = self.names.get_mut(&key.0).filter(|place| !place.in_hand && !self.terms.finished);
        if let Some(place) = place {
            place.in_hand = true;
            if place.ran {
                // It takes its own place again: no new worker, and never refused.
                return Ok(self.reserve(none, need));
            }
        } else if self.terms.held {
            self.refused += 1;
            return Err(self.away.drawn(drawn));
        }
        let taken = self.take(now, none, need);
        match taken {
            Some(_) => *self.waiting.entry(key.0).or_default() += 1,
            None => self.not_in_hand(key.0),
        }
        taken.ok_or_else(|| {
            self.refused += 1;
            self.away.drawn(drawn)
        })
    }

    /// A place for a new worker, where there is one.
    fn take(&mut self, now: Timestamp, none: Ticket, need: u64) -> Option<Ticket> {
        let is_fresh = now <= self.fresh_until;
        if !self.terms.capped {
            return (is_fresh || !self.terms.bound).then_some(none);
        }
        self.asked = self.asked.saturating_add(need);
        self.most = self.most.max(need);
        if !is_fresh || self.terms.near || self.has.open < need {
            return None;
        }
        self.has.open -= need;
        self.reserved += need;
        Some(Ticket { reserved_open: need, ..none })
    }

    fn not_in_hand(&mut self, key: u64) {
        if let Some(place) = self.names.get_mut(&key) {
            place.in_hand = false;
        }
    }

    /// It waits no longer.
    fn waits_no_more(&mut self, key: u64) {
        if let Some(many) = self.waiting.get_mut(&key) {
            *many -= 1;
            if *many == 0 {
                self.waiting.remove(&key);
            }
        }
    }

    /// Out of the last part, then out of the open one, as far as they go.
    fn reserve(&mut self, ticket: Ticket, need: u64) -> Ticket {
        let last = need.min(self.has.last);
        let open = (need - last).min(self.has.open);
        self.has = self.has.less(Parts { open, last });
        self.reserved += open + last;
        Ticket { reserved_open: open, reserved_last: last, ..ticket }
    }

    fn give_back(&mut self, ticket: Ticket) {
        self.reserved -= ticket.reserved_open + ticket.reserved_last;
        self.has = self.has.plus(Parts { open: ticket.reserved_open, last: ticket.reserved_last });
        self.pay();
    }

    /// It had its final answer and never ran.
    pub fn never_ran(&mut self, now: Timestamp, ticket: Ticket) {
        self.accrue(now);
        self.give_back(ticket);
        self.not_in_hand(ticket.key.0);
        self.waits_no_more(ticket.key.0);
    }

    /// It had its final answer and may run all the same, for a stretch at the most.
    pub fn may_run(&mut self, now: Timestamp, ticket: Ticket) {
        self.accrue(now);
        let reserve = ticket.reserved_open + ticket.reserved_last;
        self.reserved -= reserve;
        self.spent += reserve;
        self.not_in_hand(ticket.key.0);
        self.waits_no_more(ticket.key.0);
    }

    pub fn runs(&mut self, now: Timestamp, ticket: Ticket) {
        self.accrue(now);
        self.rate += ticket.rate;
        self.waits_no_more(ticket.key.0);
        let again = self.names.get(&ticket.key.0).is_some_and(|place| place.ran);
        self.news.push(News::Began { key: ticket.key.0, rate: ticket.rate, again });
    }

    /// It ran already, and is this scheduler's from now on.
    pub fn adopt(&mut self, now: Timestamp, team: u32, key: TaskKey, rate: u64) -> Ticket {
        self.accrue(now);
        let need = cost(rate, self.stretch);
        self.rate += rate;
        self.news.push(News::Adopted { key: key.0, rate, at: now });
        self.reserve(Ticket { team, key, rate, reserved_open: 0, reserved_last: 0 }, need)
    }

    pub fn over(&mut self, now: Timestamp, ticket: Ticket, comes_again: bool) {
        self.accrue(now);
        self.rate -= ticket.rate;
        self.give_back(ticket);
        if comes_again {
            self.names.insert(ticket.key.0, Place { in_hand: false, ran: true });
        } else {
            self.names.remove(&ticket.key.0);
        }
        self.news.push(News::Over { key: ticket.key.0, comes_again });
    }

    fn accrue(&mut self, now: Timestamp) {
        let passed = now - self.at;
        self.at = self.at.max(now);
        let (cost, carried) = accrued(self.rate, passed, self.carried);
        self.carried = carried;
        self.spend(cost);
    }

    fn spend(&mut self, cost: u64) {
        self.spent += cost;
        self.debt += cost;
        self.pay();
    }

    fn pay(&mut self) {
        let open = self.debt.min(self.has.open);
        let last = (self.debt - open).min(self.has.last);
        self.has = self.has.less(Parts { open, last });
        self.debt -= open + last;
        if !self.terms.capped {
            self.debt = 0;
        }
    }

    // For the keeper.

    pub fn look(&mut self, now: Timestamp) -> Seen {
        self.accrue(now);
        let seen = Seen {
            has: self.has,
            reserved: self.reserved,
            debt: self.debt,
            rate: self.rate,
            spent: self.spent,
            asked: self.asked,
            most: self.most,
            refused: self.refused,
        };
        (self.asked, self.most, self.refused) = (0, 0, 0);
        seen
    }

    /// What became of workers since the last call; the room of `empty` is used for what comes next.
    pub fn take_news(&mut self, empty: Vec<News>) -> Vec<News> {
        std::mem::replace(&mut self.news, empty)
    }

    /// What is known here holds until then.
    pub fn refresh(&mut self, fresh_until: Timestamp, away: Away, terms: Terms) {
        (self.fresh_until, self.away, self.terms) = (fresh_until, away, terms);
        self.make_room();
    }

    /// The look itself finds room for one more name, by how many came lately.
    fn make_room(&mut self) {
        let asks = std::mem::take(&mut self.asks);
        let is_old = self.at - self.most_asks_at > ASKS_REMEMBERED;
        if asks >= self.most_asks || is_old {
            (self.most_asks, self.most_asks_at) = (asks, self.at);
        }
        let spare = (self.most_asks * SPARE_OVER_ASKED).clamp(LEAST_SPARE_NAMES, MOST_SPARE_NAMES);
        if is_old {
            self.waiting.shrink_to(self.waiting.len() + spare);
        }
        self.waiting.reserve(spare);
    }

    /// Keys that were taken and don't run yet.
    pub fn waiting(&self) -> Vec<u64> {
        let mut keys: Vec<u64> = self.waiting.keys().copied().collect();
        keys.sort_unstable();
        keys
    }

    /// A drawn block, once it is on disk.
    pub fn credit(&mut self, parts: Parts) {
        self.has = self.has.plus(parts);
        self.pay();
    }

    /// Takes back what lies here unused, up to so much.
    pub fn take_back(&mut self, most: Parts) -> Parts {
        let taken = Parts { open: self.has.open.min(most.open), last: self.has.last.min(most.last) };
        self.has = self.has.less(taken);
        taken
    }

    /// What a worker cost before it was adopted.
    pub fn charge(&mut self, now: Timestamp, cost: u64) {
        self.accrue(now);
        self.spend(cost);
    }

    /// Who may come again. Those that ended here since the books were looked at stay among them.
    pub fn set_names(&mut self, mut names: HashMap<u64, Place>) -> HashMap<u64, Place> {
        for (key, place) in self.names.iter().filter(|(_, place)| place.in_hand) {
            names.insert(*key, *place);
        }
        for news in &self.news {
            if let News::Over { key, comes_again: true } = news {
                names.insert(*key, Place { in_hand: false, ran: true });
            }
        }
        std::mem::replace(&mut self.names, names)
    }

    /// A new month begins: what was spent and what lay here belong to the old one. What is reserved is owed
    /// to the new one, whose share has to cover it. What was spent and what was owed.
    pub fn turn_month(&mut self, now: Timestamp) -> (u64, u64) {
        self.accrue(now);
        let old = (std::mem::take(&mut self.spent), std::mem::replace(&mut self.debt, self.reserved));
        self.has = Parts::default();
        old
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const AWAY: Away = Away { least: Duration::from_secs(1), most: Duration::from_secs(3) };

    const CAPPED: Terms = Terms { capped: true, bound: true, held: false, finished: false, near: false };

    fn at(ms: u64) -> Timestamp {
        Timestamp::from_nanos(ms * 1_000_000)
    }

    fn till(open: u64, last: u64) -> ReservationPool {
        let mut till = ReservationPool::new(Duration::from_secs(10), AWAY, CAPPED);
        till.credit(Parts { open, last });
        till.refresh(at(1_000_000), AWAY, CAPPED);
        till
    }

    #[test]
    fn a_new_worker_reserves_a_stretch_and_what_it_costs_is_paid_ahead_of_that() {
        let mut till = till(200, 50);
        let ticket = till.ask(at(0), 0, TaskKey(1), 10, 0.0).expect("there is room");
        assert_eq!(till.ask(at(0), 0, TaskKey(2), 11, 0.5), Err(Duration::from_secs(2)));
        till.runs(at(0), ticket);
        let seen = till.look(at(4_000));
        assert_eq!((seen.has.open, seen.reserved, seen.spent), (60, 100, 40));
        assert_eq!((seen.asked, seen.most, seen.refused), (210, 110, 1));
        till.over(at(5_000), ticket, false);
        let seen = till.look(at(9_000));
        assert_eq!((seen.has.open, seen.reserved, seen.spent, seen.rate), (150, 0, 50, 0));
    }

    #[test]
    fn a_till_has_room_for_more_names_than_came_lately_and_lets_it_go() {
        let mut till = till(100_000, 0);
        let look = |till: &mut ReservationPool, ms: u64| {
            till.look(at(ms));
            till.refresh(at(1_000_000), AWAY, CAPPED);
            till.waiting.capacity() - till.waiting.len()
        };
        let first = look(&mut till, 100);
        assert!((LEAST_SPARE_NAMES..8).contains(&first), "{first}");
        let mut taken = Vec::new();
        for key in 0..100 {
            taken.push(till.ask(at(200), 0, TaskKey(key), 10, 0.0).expect("there is room"));
        }
        assert!(look(&mut till, 200) >= 200);
        assert!(look(&mut till, 50_000) >= 200, "as many may come again");
        taken.into_iter().for_each(|ticket| till.runs(at(50_000), ticket));
        let last = look(&mut till, 100_000);
        assert!((LEAST_SPARE_NAMES..8).contains(&last), "{last}");
    }

    #[test]
    fn running_workers_use_the_last_part_and_run_on_when_all_is_gone() {
        let mut till = till(100, 30);
        let ticket = till.ask(at(0), 0, TaskKey(1), 10, 0.0).expect("there is room");
        till.runs(at(0), ticket);
        assert!(till.ask(at(0), 0, TaskKey(2), 1, 0.0).is_err(), "the last part is not for new ones");
        let seen = till.look(at(5_000));
        assert_eq!((seen.has, seen.debt, seen.spent), (Parts::default(), 20, 50));
        till.credit(Parts { open: 0, last: 25 });
        assert_eq!(till.look(at(5_000)).has.last, 5);
        till.over(at(5_000), ticket, false);
        assert_eq!(till.look(at(5_000)).reserved, 0);
    }

    #[test]
    fn one_that_was_lost_takes_its_place_again_and_only_once() {
        let mut till = till(100, 150);
        let ticket = till.ask(at(0), 0, TaskKey(1), 10, 0.0).expect("there is room");
        till.runs(at(0), ticket);
        till.over(at(1_000), ticket, true);
        till.take_back(Parts { open: 1_000, last: 0 });
        assert!(till.ask(at(1_500), 0, TaskKey(2), 10, 0.0).is_err());
        let again = till.ask(at(1_500), 0, TaskKey(1), 10, 0.0).expect("it ran before");
        assert_eq!((again.reserved_open, again.reserved_last), (0, 100));
        assert!(till.ask(at(1_500), 0, TaskKey(1), 10, 0.0).is_err(), "it is asked for already");
        till.never_ran(at(1_600), again);
        assert!(till.ask(at(1_700), 0, TaskKey(1), 10, 0.0).is_ok());
    }

    #[test]
    fn nothing_new_is_added_once_all_together_have_spent_the_part_for_new_ones() {
        let mut till = till(1_000, 1_000);
        let ran = till.ask(at(0), 0, TaskKey(1), 10, 0.0).expect("there is room");
        till.runs(at(0), ran);
        till.over(at(10), ran, true);
        till.refresh(at(1_000_000), AWAY, Terms { near: true, ..CAPPED });
        assert!(till.ask(at(20), 0, TaskKey(2), 10, 0.0).is_err());
        assert!(till.ask(at(20), 0, TaskKey(1), 10, 0.0).is_ok(), "it takes its own place again");
    }

    #[test]
    fn nothing_new_is_taken_by_old_news() {
        let mut till = till(1_000, 0);
        till.refresh(at(500), AWAY, CAPPED);
        assert!(till.ask(at(500), 0, TaskKey(1), 1, 0.0).is_ok());
        assert!(till.ask(at(501), 0, TaskKey(2), 1, 0.0).is_err());
    }

    #[test]
    fn a_hold_keeps_new_ones_back_and_lets_go_on_what_ran_or_was_taken_before() {
        let held = Terms { held: true, ..CAPPED };
        let mut till = till(300, 300);
        let [ran, taken] =
            [1, 2].map(|key| till.ask(at(0), 0, TaskKey(key), 10, 0.0).expect("there is room"));
        till.runs(at(0), ran);
        assert_eq!(till.waiting(), [2]);
        till.refresh(at(1_000_000), AWAY, held);
        assert!(till.ask(at(10), 0, TaskKey(3), 10, 0.0).is_err());
        till.set_names(HashMap::from([(2, Place { in_hand: false, ran: false })]));
        till.never_ran(at(20), taken);
        till.over(at(20), ran, true);
        let again = till.ask(at(30), 0, TaskKey(1), 10, 0.0).expect("it ran");
        let taken = till.ask(at(30), 0, TaskKey(2), 10, 0.0).expect("it was taken before");
        assert_eq!(
            (again.reserved_open, again.reserved_last, taken.reserved_open, taken.reserved_last),
            (0, 100, 100, 0)
        );
        till.never_ran(at(40), again);
        till.refresh(at(1_000_000), AWAY, Terms { finished: true, ..held });
        assert!(till.ask(at(50), 0, TaskKey(1), 10, 0.0).is_err(), "the time to finish is over");
        till.refresh(at(1_000_000), AWAY, CAPPED);
        assert!(till.ask(at(60), 0, TaskKey(3), 10, 0.0).is_ok());
    }

    #[test]
    fn a_task_taken_before_a_hold_is_new_to_the_cap() {
        let mut till = till(50, 500);
        till.refresh(at(1_000_000), AWAY, Terms { held: true, ..CAPPED });
        till.set_names(HashMap::from([(2, Place { in_hand: false, ran: false })]));
        assert!(till.ask(at(0), 0, TaskKey(2), 10, 0.0).is_err());
        till.credit(Parts { open: 100, last: 0 });
        assert!(till.ask(at(0), 0, TaskKey(2), 10, 0.0).is_ok());
    }

    #[test]
    fn a_team_without_a_cap_is_held_back_by_a_hold_alone() {
        let mut till = ReservationPool::new(Duration::from_secs(10), AWAY, Terms::default());
        let ticket = till.ask(at(0), 0, TaskKey(1), 10, 0.0).expect("nothing is known against it");
        till.runs(at(0), ticket);
        assert_eq!((till.look(at(5_000)).spent, till.look(at(5_000)).debt), (50, 0));
        let bound = Terms { bound: true, ..Terms::default() };
        till.refresh(at(0), AWAY, bound);
        assert!(
            till.ask(at(5_000), 0, TaskKey(2), 10, 0.0).is_err(),
            "whether its account is held is old news"
        );
        till.refresh(at(9_000), AWAY, Terms { held: true, ..bound });
        assert!(till.ask(at(5_000), 0, TaskKey(2), 10, 0.0).is_err());
    }

    #[test]
    fn a_month_turns_and_what_runs_is_owed_to_the_new_one() {
        let mut till = till(300, 0);
        let ticket = till.ask(at(0), 0, TaskKey(1), 10, 0.0).expect("there is room");
        till.runs(at(0), ticket);
        assert_eq!(till.turn_month(at(2_000)), (20, 0));
        let seen = till.look(at(3_000));
        assert_eq!((seen.spent, seen.debt, seen.has, seen.reserved), (10, 110, Parts::default(), 100));
        till.credit(Parts { open: 200, last: 0 });
        till.over(at(3_000), ticket, false);
        assert_eq!(till.look(at(3_000)).has.open, 190);
    }
}
