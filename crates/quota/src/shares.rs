//! Who asks whom for how much, who gives how much, and when to keep.
//!
//! Each scheduler spends out of its own share, so nobody is asked on the ordinary path. A share is moved
//! before it runs out: whoever has less than half of what it uses within a horizon asks one other for what
//! two horizons take, and whoever is asked keeps a horizon's use of its own and gives of the rest. One that
//! uses nothing gives at least half of what it has, so that a busy one need not come again for each block.
//! One ask is out at a time for each team, to one member, drawn by how much each is believed to have: a
//! burst at all schedulers makes as many asks as there are schedulers, and they don't all go to the
//! richest.

use mulleinhub_interface::{Duration, Pcg, Timestamp};
use mulleinhub_replicated_log::{Name, Parts};

/// What is kept of one's own share is the use of so long; what is asked for is that of twice as long.
/// Longer than an ask takes to be answered even where it has to come again, and short beside a month.
pub const HORIZON: f64 = 5.0;
/// Drawn blocks are the use of so long: what a crash leaves of a block counts as spent.
pub const BLOCK: f64 = 2.0;
/// How use is smoothed: what was asked for so long ago weighs a third.
const SMOOTH: f64 = 3.0;
/// Below this part of the horizon's use, more is asked for.
const LOW: f64 = 0.5;

/// What new workers want to reserve, in micro-units a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    a_second: f64,
    at: Timestamp,
}

impl Demand {
    pub fn saw(&mut self, now: Timestamp, asked: u64) {
        let passed = (now - self.at).nanos() as f64 / 1e9;
        self.at = self.at.max(now);
        if passed > 0.0 {
            let kept = (-passed / SMOOTH).exp();
            self.a_second = self.a_second * kept + asked as f64 / passed * (1.0 - kept);
        }
    }

    pub fn a_second(self) -> f64 {
        self.a_second
    }
}

/// What one scheduler uses of a team's share, in micro-units a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Use {
    pub new: f64,
    pub running: u64,
    /// The most that one worker asked for lately.
    pub most: u64,
}

impl Use {
    fn of(self, seconds: f64) -> Parts {
        let running = self.running as f64 * seconds;
        Parts { open: (self.new * seconds + running) as u64, last: running as u64 }
    }

    /// What of its share a scheduler keeps for itself.
    pub fn keeps(self) -> Parts {
        self.of(HORIZON)
    }

    /// What is drawn at a time, for so many seconds of use, and no less than two workers need.
    pub fn block(self, seconds: f64) -> Parts {
        let block = self.of(seconds);
        Parts { open: block.open.max(if self.new > 0.0 { self.most.saturating_mul(2) } else { 0 }), ..block }
    }

    /// What it asks others for, with so much at hand. The last part is wanted once the open one runs out.
    pub fn wants(self, has: Parts) -> Parts {
        let (low, high) = (self.of(HORIZON * LOW), self.of(HORIZON * 2.0));
        let needs_one = self.new > 0.0 && has.open < self.most;
        let open = if has.open < low.open || needs_one {
            (high.open + self.most).saturating_sub(has.open)
        } else {
            0
        };
        let short = has.open < low.last && has.last < low.last;
        Parts { open, last: if short { high.last - has.last } else { 0 } }
    }
}

/// What is given to one that asks, by one that has so much and uses so much itself.
pub fn gives(has: Parts, uses: Use, asked: Parts) -> Parts {
    let spare = has.less(uses.keeps());
    let idle = uses.new < 1.0 && uses.running == 0;
    let of = |asked: u64, spare: u64| match asked {
        0 => 0,
        asked if idle => asked.max(spare / 2).min(spare),
        asked => asked.min(spare),
    };
    Parts { open: of(asked.open, spare.open), last: of(asked.last, spare.last) }
}

/// Which of the others to ask, by what each is believed to have.
pub fn whom<'a>(chance: &mut Pcg, others: &[(&'a Name, u64)]) -> Option<&'a Name> {
    let all = others.iter().fold(0u64, |sum, (_, has)| sum.saturating_add(*has));
    let mut drawn = (all as f64 * chance.fraction()) as u64;
    for (name, has) in others {
        if *has > 0 && drawn < *has {
            return Some(name);
        }
        drawn = drawn.saturating_sub(*has);
    }
    None
}

/// How long those who are refused stay away: until shares have moved, where others have some; and so long
/// that those who come again in a month that is spent cost nothing, where nobody has.
pub fn away(others_have: bool, left_of_month: Duration) -> crate::Away {
    let (least, most) = if others_have { (200, 1_000) } else { (5_000, 30_000) };
    let span = |ms: u64| Duration::from_nanos(ms * 1_000_000);
    crate::Away { least: span(least).min(left_of_month), most: span(most).min(left_of_month) }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parts(open: u64, last: u64) -> Parts {
        Parts { open, last }
    }

    #[test]
    fn an_idle_one_gives_half_and_a_busy_one_what_it_does_not_need_soon() {
        let idle = Use::default();
        assert_eq!(gives(parts(1_000, 100), idle, parts(10, 0)), parts(500, 0));
        assert_eq!(gives(parts(1_000, 100), idle, parts(900, 80)), parts(900, 80));
        let busy = Use { new: 100.0, running: 20, most: 10 };
        assert_eq!(gives(parts(1_000, 100), busy, parts(900, 80)), parts(400, 0));
        assert_eq!(gives(parts(500, 0), busy, parts(900, 80)), parts(0, 0));
        assert_eq!(gives(parts(5, 5), idle, parts(900, 80)), parts(5, 5), "the last crumbs, too");
    }

    #[test]
    fn more_is_asked_for_before_the_share_runs_out_and_the_last_part_only_then() {
        let busy = Use { new: 100.0, running: 20, most: 10 };
        assert_eq!(busy.wants(parts(400, 0)), parts(0, 0));
        assert_eq!(busy.wants(parts(200, 0)), parts(1_010, 0));
        assert_eq!(busy.wants(parts(0, 0)), parts(1_210, 200));
        assert_eq!(Use::default().wants(parts(0, 0)), parts(0, 0));
        assert!(
            Use { most: 500, ..busy }.wants(parts(499, 0)).open > 0,
            "one worker needs more than there is"
        );
    }

    #[test]
    fn asks_spread_over_those_who_have_something() {
        let names = ["a", "b", "c"].map(Name::from);
        let others = [(&names[0], 0), (&names[1], 300), (&names[2], 100)];
        let mut chance = Pcg::new(7);
        let mut asked = [0; 3];
        for _ in 0..1_000 {
            let name = whom(&mut chance, &others).expect("two have some");
            asked[names.iter().position(|n| n == name).expect("one of them")] += 1;
        }
        assert!(asked[0] == 0 && asked[1] > 700 && asked[2] > 200, "{asked:?}");
        assert_eq!(whom(&mut chance, &[(&names[0], 0)]), None);
    }

    #[test]
    fn demand_follows_what_is_asked_for_and_fades() {
        let at = |ms: u64| Timestamp::from_nanos(ms * 1_000_000);
        let mut demand = Demand::default();
        (1..=100).for_each(|n| demand.saw(at(n * 100), 50));
        assert!((demand.a_second() - 500.0).abs() < 50.0, "{demand:?}");
        demand.saw(at(40_000), 0);
        assert!(demand.a_second() < 1.0);
    }
}
