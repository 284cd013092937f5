//! What a column says when all its rows are read.

use crate::Bad;
use crate::name::Name;
use crate::orders::{Orders, Standing, Subject};
use crate::row::{Digest, Entry};
use minicbor::{Decode, Encode};
use std::collections::{BTreeMap, BTreeSet};

/// Closed months of which the sums are kept: a year, and the month that the comparison is with.
const MONTHS_KEPT: u32 = 13;
/// A worker that was lost, moved or evicted may come again for so long, in milliseconds: longer than owners
/// wait.
pub const COMES_AGAIN: u64 = 10 * 60 * 1000;

/// The two parts of a cap: what new workers may use, and the last one, for those that run or come again. In
/// micro-units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Parts {
    #[n(0)]
    pub open: u64,
    #[n(1)]
    pub last: u64,
}

impl Parts {
    pub fn sum(self) -> u64 {
        self.open.saturating_add(self.last)
    }

    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self { open: self.open.saturating_add(other.open), last: self.last.saturating_add(other.last) }
    }

    #[must_use]
    pub fn less(self, other: Self) -> Self {
        Self { open: self.open.saturating_sub(other.open), last: self.last.saturating_sub(other.last) }
    }
}

/// What a scheduler did with a team's cap in a month.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Balance {
    /// Taken out of its share, to be spent; what was put back is taken off.
    #[n(0)]
    pub drawn: Parts,
    /// What its workers cost.
    #[n(1)]
    pub spent: u64,
    /// Of that, what nothing was left for.
    #[n(2)]
    pub beyond: u64,
    /// Drawn and given away by lives whose share is void: their first share and what they got counts no
    /// more, so neither does this.
    #[n(3)]
    pub lost: Parts,
    /// Up to when `spent` counts, in milliseconds of Unix time.
    #[n(4)]
    pub at: u64,
}

/// Gifts are to one life of a receiver: one that comes back and doesn't know what it has used must not use
/// it again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct ShareTransfer {
    #[n(0)]
    pub team: Name,
    #[n(1)]
    pub month: u32,
    #[n(2)]
    pub to: Name,
    #[n(3)]
    pub life: u64,
}

/// A worker that runs.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Work {
    #[n(0)]
    pub team: Name,
    /// Micro-units a second.
    #[n(1)]
    pub rate: u64,
    /// Unix time in milliseconds.
    #[n(2)]
    pub since: u64,
}

/// A worker that was lost, moved or evicted, until when it may come again.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Displaced {
    #[n(0)]
    pub team: Name,
    #[n(1)]
    pub until: u64,
}

/// Work of a member that wasn't there, as one that holds a copy of its work log announced it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Announced {
    /// The life of that member whose work log it is.
    #[n(0)]
    pub life: u64,
    /// The last row of that log which the copy had.
    #[n(1)]
    pub number: u64,
    #[n(2)]
    pub work: BTreeMap<u64, Work>,
}

/// In place of the number of a row: what was announced is taken back.
pub const TAKEN_BACK: u64 = u64::MAX;
/// In `State::forms`: the writer can read work logs, and what others announce of them.
pub const READS_WORK_LOGS: u64 = 1;
/// In `State::forms`: ordinary work of this life stands in its work log, not here.
pub const WRITES_WORK_LOG: u64 = 2;

/// The column of the same writer that this one goes on from, as far as it was known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Before {
    #[n(0)]
    pub life: u64,
    #[n(1)]
    pub number: u64,
    #[n(2)]
    pub digest: Digest,
}

#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct State {
    #[n(0)]
    pub before: Option<Before>,
    /// Gifts to earlier lives are void.
    #[n(1)]
    pub valid_from: u64,
    /// And so is the first share of months up to this one.
    #[n(2)]
    pub void_through: u32,
    #[n(3)]
    pub month: u32,
    #[n(4)]
    pub purses: BTreeMap<(Name, u32), Balance>,
    #[n(5)]
    pub gave: BTreeMap<ShareTransfer, Parts>,
    #[n(6)]
    pub running: BTreeMap<u64, Work>,
    #[n(7)]
    pub loose: BTreeMap<u64, Displaced>,
    #[n(8)]
    pub orders: BTreeMap<Subject, Standing>,
    /// What closed months came to.
    #[n(9)]
    pub closed: BTreeMap<(Name, u32), u64>,
    /// Rows of kinds that this version can't read, in their order.
    #[n(10)]
    pub unread: Vec<minicbor::bytes::ByteVec>,
    // The first version reads a state up to here, and leaves out what follows.
    /// Tasks that were taken before a hold, until when they may come again.
    #[n(11)]
    #[cbor(default)]
    pub passes: BTreeMap<u64, Displaced>,
    /// Workers that run in the place of one that ran before.
    #[n(12)]
    #[cbor(default)]
    pub again: BTreeSet<u64>,
    /// Of those, the ones that ended for good: nobody may come in their place any more, until then.
    #[n(13)]
    #[cbor(default)]
    pub done: BTreeMap<u64, u64>,
    // The second version reads a state up to here, and leaves out what follows.
    /// What the writer announced of others' work logs, by the writers of those.
    #[n(14)]
    #[cbor(default)]
    pub announced: BTreeMap<Name, Announced>,
    /// Which forms of the log the writer reads and writes in this life. Nothing, of versions that had one.
    #[n(15)]
    #[cbor(default)]
    pub forms: u64,
}

impl State {
    pub fn purse(&self, team: &Name, month: u32) -> Balance {
        self.purses.get(&(team.clone(), month)).copied().unwrap_or_default()
    }

    /// Takes in the next row.
    ///
    /// # Errors
    /// Where it takes back what an earlier row said, which no writer does; the state is as before.
    pub fn apply(&mut self, entry: &Entry) -> Result<(), Bad> {
        let back = |what: String| Err(Bad(format!("a column goes back: {what}")));
        match entry {
            Entry::Sum(sum) => {
                // Rows that this version can't read are in the sum of a version that can.
                self.unread.clear();
                let read = Self { unread: Vec::new(), ..(**sum).clone() };
                if *self != Self::default() && *self != read {
                    return Err(Bad("a sum differs from the rows that it stands for".into()));
                }
                self.clone_from(sum);
            }
            Entry::Month(month) if *month <= self.month => {
                return back(format!("month {month} after month {}", self.month));
            }
            Entry::Month(month) => {
                self.month = *month;
                self.fold();
            }
            Entry::Balance { team, month, purse } => {
                if month.saturating_add(1) < self.month {
                    return back(format!("month {month} is closed, it is {}", self.month));
                }
                let known = self.purses.entry((team.clone(), *month)).or_default();
                if purse.spent < known.spent || purse.lost < known.lost {
                    return back(format!("team {team} has spent {}, it had {}", purse.spent, known.spent));
                }
                *known = *purse;
            }
            Entry::Gave { gift, parts } => {
                let known = self.gave.entry(gift.clone()).or_default();
                if parts.open < known.open || parts.last < known.last {
                    return back(format!("gave {parts:?} to {}, it was {known:?}", gift.to));
                }
                *known = *parts;
            }
            Entry::Began { at, work } => {
                for (key, team, rate) in work {
                    self.loose.remove(key);
                    let work = Work { team: team.clone(), rate: *rate, since: *at };
                    self.running.insert(*key, work);
                }
            }
            Entry::Over { at, work } => {
                self.loose.retain(|_, loose| loose.until > *at);
                self.passes.retain(|_, loose| loose.until > *at);
                self.done.retain(|_, until| *until > *at);
                for (key, comes_again) in work {
                    let came_again = self.again.remove(key);
                    let Some(work) = self.running.remove(key) else { continue };
                    if came_again && !*comes_again {
                        self.done.insert(*key, at.saturating_add(COMES_AGAIN));
                    }
                    if *comes_again {
                        self.loose.insert(
                            *key,
                            Displaced { team: work.team, until: at.saturating_add(COMES_AGAIN) },
                        );
                    }
                }
            }
            Entry::Heard(order) => {
                let mut orders = Orders::from(std::mem::take(&mut self.orders));
                orders.hear(&order.subject, order.standing());
                self.orders = orders.into();
            }
            Entry::Passes { at, work } => {
                for (key, team) in work {
                    let until = at.saturating_add(COMES_AGAIN);
                    self.passes.insert(*key, Displaced { team: team.clone(), until });
                }
            }
            Entry::Again { keys, .. } => {
                self.done.retain(|key, _| !keys.contains(key));
                self.again.extend(keys.iter().filter(|key| self.running.contains_key(key)));
            }
            Entry::Announced { of, number: TAKEN_BACK, .. } => {
                self.announced.remove(&of.writer);
            }
            Entry::Announced { of, number, work } => {
                let known = self.announced.entry(of.writer.clone()).or_default();
                if (known.life, known.number) != (of.life, *number) {
                    *known = Announced { life: of.life, number: *number, work: BTreeMap::new() };
                }
                known.work.extend(work.iter().cloned());
            }
            Entry::Unread(bytes) => self.unread.push(bytes.clone().into()),
        }
        Ok(())
    }

    /// The writer can read work logs, and announcements of what stood in them.
    pub fn reads_work_logs(&self) -> bool {
        self.forms & READS_WORK_LOGS != 0
    }

    /// Ordinary work of this life stands in the writer's work log.
    pub fn writes_work_log(&self) -> bool {
        self.forms & WRITES_WORK_LOG != 0
    }

    /// Whether it says at least what an earlier state of the same column said.
    pub fn covers(&self, earlier: &Self) -> bool {
        let kept = self.month.saturating_sub(1);
        let purses = earlier
            .purses
            .iter()
            .all(|((team, month), purse)| *month < kept || self.purse(team, *month).spent >= purse.spent);
        let gave = earlier.gave.iter().all(|(gift, parts)| {
            let now = self.gave.get(gift).copied().unwrap_or_default();
            gift.month < kept || (now.open >= parts.open && now.last >= parts.last)
        });
        self.month >= earlier.month && purses && gave
    }

    /// Months before the last one are closed: of each team one sum is left. The last one stays open beside
    /// the present one, for those whose clocks are behind.
    fn fold(&mut self) {
        let open = self.month.saturating_sub(1);
        let closing: Vec<(Name, u32)> =
            self.purses.keys().filter(|(_, month)| *month < open).cloned().collect();
        for key in closing {
            let purse = self.purses.remove(&key).unwrap_or_default();
            *self.closed.entry(key).or_default() += purse.spent;
        }
        self.gave.retain(|gift, _| gift.month >= open);
        let kept = self.month.saturating_sub(MONTHS_KEPT);
        self.closed.retain(|(_, month), _| *month >= kept);
    }
}
