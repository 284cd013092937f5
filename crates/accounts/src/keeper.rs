//! Keeps the books of one scheduler: fills its tills, writes its rows, asks others and gives to them.
//!
//! What a scheduler may still use of a team's share is reckoned from columns alone: the first share of the
//! month, and gifts to this life and those it goes on from, less what it drew and gave. Only it writes
//! those rows, so nobody else can make it less; and no row is told, used or answered for before it is on
//! disk.

use crate::money::{cost, part};
use crate::month::Month;
use crate::settings::Settings;
use crate::shares::{self, Demand, Use};
use crate::till::{Away, News, Place, Seen, Terms, Tills};
use mulleinhub_interface::{Pcg, Span, Time};
use mulleinhub_replica::{
    COMES_AGAIN, Change, ColumnId, Entry, Gift, Kept, Library, Loose, Name, Parts, Presence, Purse, Roll,
    State, Subject, Word,
};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Between two looks at the tills.
pub const TICK: Span = Span::from_nanos(100_000_000);
/// What a till knows holds for so long after a look. A keeper that stands still takes nothing new.
const FRESH: Span = Span::from_nanos(1_000_000_000);
/// What was spent is written down this often, where nothing else is: a crash leaves so much to be reckoned.
const WRITE: Span = Span::from_secs(1);
/// An ask without an answer is given up after this, and whoever had nothing is left alone for that long and
/// drawn up to twice as long.
const ANSWER: Span = Span::from_secs(1);
const REST: Span = Span::from_secs(2);
/// What the others have is reckoned this often at the most.
const LOOK: Span = Span::from_nanos(200_000_000);
/// While it isn't known what was used of a share.
const UNKNOWN: Away = Away { least: Span::from_nanos(500_000_000), most: Span::from_nanos(1_500_000_000) };
/// After a standstill nothing new is taken until something was heard of the others, or for this long.
const AWAKE: Span = Span::from_nanos(500_000_000);
/// Clocks of schedulers differ by less: what an unknown former life may have begun, it began within this.
const CLOCKS_DIFFER: u64 = 60_000;
/// So that the first of a burst need not wait for the disk, this part of what is left lies drawn, also
/// while nobody asks.
const LEAST_BLOCK: u64 = 64;
/// Workers in one row.
const MOST_WORK: usize = 1_000;

/// Whether this scheduler has begun to write in this life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It learns how far its own column is known, and what the others wrote.
    CatchingUp,
    Writing,
}

/// A part of a share that is asked of another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wanted {
    pub to: Name,
    pub life: u64,
    pub team: Name,
    pub month: u32,
    pub parts: Parts,
}

/// The answer to an ask, once it is on disk: what was given, in which row of ours.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub to: Name,
    pub team: Name,
    pub month: u32,
    pub parts: Parts,
    pub number: u64,
}

/// How a team is, as this scheduler knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Look {
    pub team: Name,
    pub month: u32,
    pub cap: Option<u64>,
    /// By all schedulers, and what of that nothing was left for.
    pub spent: u64,
    pub beyond: u64,
    /// Of our own share, not drawn yet.
    pub free: Parts,
    pub at_hand: Parts,
    pub held: bool,
    /// The order that holds was given twice with one number.
    pub differs: bool,
}

#[derive(Debug)]
struct Desk {
    /// What our column says of this month.
    purse: Purse,
    /// What of it lives before this one spent.
    before: u64,
    /// Drawn blocks that are not on disk yet, by their row.
    credits: VecDeque<(u64, Parts)>,
    demand: Demand,
    most: u64,
    asking: Option<(Name, Time)>,
    looked_at: Option<Time>,
    rests: BTreeMap<Name, Time>,
    seen: Seen,
    others_have: bool,
    /// What holds for it, and whether its hold's tasks were written down.
    terms: Terms,
}

pub struct Keeper {
    settings: Settings,
    library: Library,
    pub roll: Roll,
    phase: Phase,
    since: Option<Time>,
    met: BTreeSet<Name>,
    /// The end of our last life's column, as we had kept it.
    kept: Option<(u64, u64)>,
    month: Option<Month>,
    desks: Vec<Desk>,
    chance: Pcg,
    due: Option<Time>,
    awake_at: Option<Time>,
    heard_at: Option<Time>,
    wanted: Vec<Wanted>,
    replies: Vec<Reply>,
    adopted: BTreeSet<u64>,
    all_told: bool,
    /// What the names that were told last came from: changes of the books, and whom nobody hears of.
    named: Option<(u64, Vec<Name>)>,
    room: Vec<News>,
    /// What is told to whoever is on call, in words.
    told: Vec<String>,
}

impl Keeper {
    /// `life` is greater at each start; `kept` is what earlier lives left on disk.
    pub fn new(settings: Settings, life: u64, seed: u64, kept: Vec<Kept>, beat: Span) -> Self {
        let own = ColumnId { writer: settings.me.clone(), life };
        let mut library = Library::new(own);
        let told = library.restore(kept);
        let ours = library.newest(&settings.me);
        let kept = ours.and_then(|life| {
            let id = ColumnId { writer: settings.me.clone(), life };
            library.column(&id).map(|column| (life, column.tip().0))
        });
        library.live_after(ours.unwrap_or(0));
        let others = settings.members.iter().filter(|name| **name != settings.me).cloned();
        let desk = |_| Desk {
            purse: Purse::default(),
            before: 0,
            credits: VecDeque::new(),
            demand: Demand::default(),
            most: 0,
            asking: None,
            looked_at: None,
            rests: BTreeMap::new(),
            seen: Seen::default(),
            others_have: true,
            terms: Terms::default(),
        };
        Self {
            roll: Roll::new(others, beat),
            desks: settings.teams.iter().map(desk).collect(),
            settings,
            library,
            phase: Phase::CatchingUp,
            since: None,
            met: BTreeSet::new(),
            kept,
            month: None,
            chance: Pcg::new(seed),
            due: None,
            awake_at: None,
            heard_at: None,
            wanted: Vec::new(),
            replies: Vec::new(),
            adopted: BTreeSet::new(),
            all_told: false,
            named: None,
            room: Vec::new(),
            told,
        }
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    pub fn library(&self) -> &Library {
        &self.library
    }

    pub fn library_mut(&mut self) -> &mut Library {
        &mut self.library
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    pub fn life(&self) -> u64 {
        self.library.own().life
    }

    pub fn part(&mut self) -> f64 {
        self.chance.part()
    }

    pub fn below(&mut self, below: usize) -> usize {
        self.chance.below(below)
    }

    // What whoever hosts the books tells.

    pub fn take_changes(&mut self) -> Vec<Change> {
        self.library.take_changes()
    }

    /// Our rows up to this one are on disk.
    pub fn is_durable(&mut self, number: u64) {
        self.library.is_durable(number);
    }

    /// All machines told what they hold of our earlier lives, or can't be asked: what they don't hold is
    /// over.
    pub fn all_told(&mut self) {
        self.all_told = true;
    }

    /// Something was heard of another.
    pub fn heard(&mut self, now: Time) {
        self.heard_at = Some(now);
    }

    /// A member has told all that it knows, of our column too.
    pub fn met(&mut self, name: &Name) {
        if self.phase == Phase::CatchingUp && self.roll.holds(name) {
            self.met.insert(name.clone());
        }
    }

    pub fn has_met(&self, name: &Name) -> bool {
        self.met.contains(name)
    }

    pub fn take_wanted(&mut self) -> Vec<Wanted> {
        std::mem::take(&mut self.wanted)
    }

    pub fn take_told(&mut self) -> Vec<String> {
        std::mem::take(&mut self.told)
    }

    /// Answers whose rows are on disk.
    pub fn take_replies(&mut self) -> Vec<Reply> {
        let durable = self.library.durable();
        let (ready, waits) = std::mem::take(&mut self.replies).into_iter().partition(|r| r.number <= durable);
        self.replies = waits;
        ready
    }

    /// An order of the operators, from their file.
    pub fn order(&mut self, order: &mulleinhub_replica::Order) {
        let standing = order.standing();
        let known = self.library.orders().get(&order.subject);
        if known.is_none_or(|known| known.join(standing) != known) {
            self.library.hear_order(&order.subject, standing);
            if self.phase == Phase::Writing {
                self.library.write(&Entry::Heard(order.clone()));
            }
        }
    }

    // Shares.

    fn cap(&self, team: usize) -> Option<u64> {
        let team = &self.settings.teams[team];
        match self.library.orders().get(&Subject::Team(team.name.clone())) {
            Some(standing) => match standing.word {
                Word::Cap { amount } => Some(amount),
                _ => team.cap,
            },
            None => team.cap,
        }
    }

    /// What a member has of a team's share and has not drawn or given, as its column and the others' tell.
    /// What is under nought is told as nought.
    fn free(&self, member: &Name, team: usize, month: u32) -> Parts {
        let name = &self.settings.teams[team].name;
        let got = self.library.got(member, self.valid_from(member), name, month);
        self.left(member, team, month, got)
    }

    fn valid_from(&self, member: &Name) -> u64 {
        self.library.state_of(member).map_or(0, |state| state.valid_from)
    }

    fn left(&self, member: &Name, team: usize, month: u32, got: Parts) -> Parts {
        let of = |has: i128| u64::try_from(has).unwrap_or(0);
        let (open, last) = self.balance(member, team, month, got);
        Parts { open: of(open), last: of(last) }
    }

    /// The same where it may be under nought: a cap was lowered after more had been drawn.
    fn balance(&self, member: &Name, team: usize, month: u32, got: Parts) -> (i128, i128) {
        let Some(cap) = self.cap(team) else { return (0, 0) };
        let name = &self.settings.teams[team].name;
        let void = self.library.state_of(member).map_or(0, |state| state.void_through);
        let first = if month <= void { Parts::default() } else { self.settings.first_share(member, cap) };
        let purse = self.library.purse(member, name, month);
        let gave = self.library.gave(member, name, month);
        let of = |part: fn(Parts) -> u64| {
            let [first, got, lost, drawn, gave] =
                [first, got, purse.lost, purse.drawn, gave].map(|parts| i128::from(part(parts)));
            first + got + lost - drawn - gave
        };
        (of(|parts| parts.open), of(|parts| parts.last))
    }

    /// Our own, less our part of what others drew under a cap that was lowered since: all together must come under
    /// the new one. Beside it, what we ourselves drew too much, and whether all together did.
    fn mine(&self, team: usize, month: u32) -> (Parts, Parts, bool) {
        let me = &self.settings.me;
        if self.library.orders().get(&Subject::Team(self.settings.teams[team].name.clone())).is_none() {
            return (self.free(me, team, month), Parts::default(), false);
        }
        let got = self.all_got(team, month);
        let (mut has, mut owed, mut mine) = ([0i128; 2], [0i128; 2], [0i128; 2]);
        for member in &self.settings.members {
            let got = got.get(member).copied().unwrap_or_default();
            let (open, last) = self.balance(member, team, month, got);
            for (at, balance) in [open, last].into_iter().enumerate() {
                has[at] += balance.max(0);
                owed[at] += (-balance).max(0);
                mine[at] += if member == me { balance } else { 0 };
            }
        }
        let left = |at: usize| mine[at].max(0) * (has[at] - owed[at]).max(0) / has[at].max(1);
        let parts = |of: &dyn Fn(usize) -> i128| {
            let [open, last] = [of(0), of(1)].map(|amount| u64::try_from(amount).unwrap_or(0));
            Parts { open, last }
        };
        (parts(&left), parts(&|at| -mine[at]), owed[0] > has[0])
    }

    /// What each member got of a team's share, in one pass over all gifts.
    fn all_got(&self, team: usize, month: u32) -> BTreeMap<Name, Parts> {
        let mut got: BTreeMap<Name, Parts> = BTreeMap::new();
        let gifts = self.library.gifts_of(&self.settings.teams[team].name, month);
        for (gift, parts) in gifts.filter(|(gift, _)| gift.life >= self.valid_from(&gift.to)) {
            let sum = got.entry(gift.to.clone()).or_default();
            *sum = sum.plus(*parts);
        }
        got
    }

    /// What each of the others has.
    fn others(&self, team: usize, month: u32) -> Vec<(Name, Parts)> {
        let got = self.all_got(team, month);
        let has = |name: &Name| {
            let got = got.get(name).copied().unwrap_or_default();
            (name.clone(), self.left(name, team, month, got))
        };
        self.roll.members().map(has).collect()
    }

    /// Another asks for a part of our share. What is given is written down now; the answer follows once
    /// that is kept.
    pub fn asked(&mut self, now: Time, from: &Name, life: u64, wanted: &Wanted, tills: &mut dyn Tills) {
        let team = self.settings.teams.iter().position(|team| team.name == wanted.team);
        let reply = |parts, number| Reply {
            to: from.clone(),
            team: wanted.team.clone(),
            month: wanted.month,
            parts,
            number,
        };
        let month = self.month.map(|month| month.number);
        let Some(team) = team.filter(|_| self.phase == Phase::Writing && month == Some(wanted.month)) else {
            return self.replies.push(reply(Parts::default(), 0));
        };
        let me = self.settings.me.clone();
        let (free, ..) = self.mine(team, wanted.month);
        let uses = self.uses(team);
        let mut seen = Seen::default();
        tills.with(team, &mut |till| seen = till.look(now));
        self.desks[team].demand.saw(now, seen.asked);
        let gives = shares::gives(free.plus(seen.has), uses, wanted.parts);
        if gives == Parts::default() {
            return self.replies.push(reply(gives, 0));
        }
        let lacks = gives.less(free);
        if lacks != Parts::default() {
            let mut back = Parts::default();
            tills.with(team, &mut |till| back = till.take_back(lacks));
            self.desks[team].purse.drawn = self.desks[team].purse.drawn.less(back);
            self.write_purse(team, wanted.month);
        }
        let (free, ..) = self.mine(team, wanted.month);
        let parts = Parts { open: gives.open.min(free.open), last: gives.last.min(free.last) };
        if parts == Parts::default() {
            return self.replies.push(reply(parts, 0));
        }
        let gift = Gift { team: wanted.team.clone(), month: wanted.month, to: from.clone(), life };
        let before =
            self.library.state_of(&me).and_then(|state| state.gave.get(&gift)).copied().unwrap_or_default();
        let number = self.library.write(&Entry::Gave { gift, parts: before.plus(parts) });
        self.replies.push(reply(parts, number));
    }

    /// Another's answer to what we asked for: nothing, or a gift whose row comes with its column.
    pub fn answered(&mut self, now: Time, from: &Name, team: &Name, parts: Parts) {
        let Some(team) = self.settings.teams.iter().position(|t| t.name == *team) else { return };
        let rest = now + REST * (1.0 + self.chance.part());
        let desk = &mut self.desks[team];
        if desk.asking.as_ref().is_some_and(|(name, _)| name == from) {
            desk.asking = None;
            if parts == Parts::default() {
                desk.rests.insert(from.clone(), rest);
            }
        }
    }

    fn uses(&self, team: usize) -> Use {
        let desk = &self.desks[team];
        Use { new: desk.demand.a_second(), running: desk.seen.rate, most: desk.most }
    }

    // Time.

    /// When the next look is due.
    pub fn due(&self) -> Option<Time> {
        self.due
    }

    /// This process stood still for so long: what was silent meanwhile may have spoken, and what is known
    /// is old.
    pub fn stood(&mut self, now: Time, still: Span) {
        self.roll.stood(still);
        if still > FRESH {
            self.awake_at = Some(now);
        }
    }

    /// Looks at all tills. `utc` is the time of day, in milliseconds of Unix time.
    pub fn tick(&mut self, now: Time, utc: u64, tills: &mut dyn Tills) {
        self.due = Some(now + TICK);
        let month = self.settings.months.at(utc);
        if self.phase == Phase::CatchingUp {
            self.since.get_or_insert(now);
            if !self.has_caught_up(now) {
                for team in 0..self.desks.len() {
                    let terms = self.terms(team, utc);
                    tills.with(team, &mut |till| till.refresh(Time::default(), UNKNOWN, terms));
                }
                return self.tell_names(now, utc, tills);
            }
            self.begin_to_write(month, utc, tills);
        }
        let known = self.month.map_or(0, |month| month.number);
        if month.number > known {
            self.turn_month(now, month, tills);
        }
        self.tell_news(now, utc, tills);
        for team in 0..self.desks.len() {
            self.look_after(now, utc, team, tills);
        }
        self.tell_names(now, utc, tills);
    }

    fn has_caught_up(&self, now: Time) -> bool {
        let others = self.roll.len();
        let waited = self.since.is_some_and(|since| now - since >= self.settings.catch_up);
        // Every row that was told is with most of the others by then, or with those who can't be reached.
        let most = others.div_ceil(2);
        self.met.len() >= others || (waited && self.met.len() >= most)
    }

    /// Begins a life. What earlier ones did not use is ours only if we kept all that they wrote.
    fn begin_to_write(&mut self, month: Month, utc: u64, tills: &mut dyn Tills) {
        let me = self.settings.me.clone();
        self.library.live_after(self.library.newest(&me).unwrap_or(0));
        let mut state = self.library.taken_over();
        let known = state.before.map(|before| (before.life, before.number));
        let whole = known == self.kept;
        if !whole {
            let ahead = self.settings.months.at(utc + CLOCKS_DIFFER).number;
            state.valid_from = self.life();
            state.void_through = ahead.max(state.month);
            for team in &self.settings.teams {
                for month in [state.void_through.saturating_sub(1), state.void_through] {
                    let gave = self.library.gave(&me, &team.name, month);
                    let purse = state.purses.entry((team.name.clone(), month)).or_default();
                    purse.lost = purse.drawn.plus(gave);
                }
            }
            self.told.push(format!(
                "the store lacks rows that others know ({known:?}, here {:?}): what is left of our shares \
                 this month counts as spent",
                self.kept
            ));
        }
        let number = month.number.max(state.month);
        self.month = Some(Month { number, ..month });
        for (team, desk) in self.settings.teams.iter().zip(&mut self.desks) {
            desk.purse = state.purse(&team.name, number);
            desk.before = desk.purse.spent;
        }
        // Orders that came ahead of their rows are written by whoever heard them.
        for (subject, standing) in self.library.orders().iter() {
            state.orders.insert(subject.clone(), *standing);
        }
        let begins = state.month < number;
        self.library.open(state);
        if begins {
            self.library.write(&Entry::Month(number));
        }
        self.phase = Phase::Writing;
        // What was drawn and not spent is there for workers that run on, and for nothing new.
        for (team, desk) in self.desks.iter().enumerate().filter(|_| whole) {
            let last = desk.purse.drawn.sum().saturating_sub(desk.purse.spent);
            tills.with(team, &mut |till| till.credit(Parts { open: 0, last }));
        }
    }

    fn turn_month(&mut self, now: Time, month: Month, tills: &mut dyn Tills) {
        let old = self.month.replace(month).map_or(0, |month| month.number);
        for team in 0..self.desks.len() {
            let (mut spent, mut owed) = (0, 0);
            tills.with(team, &mut |till| (spent, owed) = till.turn_month(now));
            let desk = &mut self.desks[team];
            desk.purse.spent = desk.before + spent;
            desk.purse.beyond = owed;
            desk.purse.at = month.begins;
            desk.credits.clear();
            if desk.purse != Purse::default() {
                let name = self.settings.teams[team].name.clone();
                self.library.write(&Entry::Purse { team: name, month: old, purse: self.desks[team].purse });
            }
        }
        self.library.write(&Entry::Month(month.number));
        let me = self.settings.me.clone();
        for team in 0..self.desks.len() {
            let purse = self.library.purse(&me, &self.settings.teams[team].name, month.number);
            let desk = &mut self.desks[team];
            (desk.purse, desk.before) = (purse, purse.spent);
            (desk.asking, desk.seen.spent) = (None, 0);
        }
        self.library.drop_old();
    }

    /// What became of workers since the last look, as rows.
    fn tell_news(&mut self, now: Time, utc: u64, tills: &mut dyn Tills) {
        let (mut began, mut again, mut over) = (Vec::new(), Vec::new(), Vec::new());
        for team in 0..self.desks.len() {
            let mut all = std::mem::take(&mut self.room);
            tills.with(team, &mut |till| all = till.take_news(std::mem::take(&mut all)));
            let name = self.settings.teams[team].name.clone();
            for news in all.drain(..) {
                match news {
                    News::Began { key, rate, again: came_again } => {
                        again.extend(came_again.then_some(key));
                        began.push((key, name.clone(), rate));
                    }
                    News::Adopted { key, rate, at } => {
                        self.adopted.insert(key);
                        let until = utc.saturating_sub((now - at).nanos() / 1_000_000);
                        self.charge_gap(now, until, team, key, rate, tills);
                        again.push(key);
                        began.push((key, name.clone(), rate));
                    }
                    News::Over { key, comes_again } => {
                        self.adopted.remove(&key);
                        over.push((key, comes_again));
                    }
                }
            }
            self.room = all;
        }
        if std::mem::take(&mut self.all_told) {
            // What our earlier lives ran and no machine holds is over; its owner may come again.
            let me = self.settings.me.clone();
            let running = self.library.state_of(&me).map(|state| &state.running);
            let began: BTreeSet<u64> = began.iter().map(|(key, ..)| *key).collect();
            let here = |key: &u64| self.adopted.contains(key) || began.contains(key);
            let gone =
                running.into_iter().flatten().filter(|(key, _)| !here(key)).map(|(key, _)| (*key, true));
            let gone: Vec<(u64, bool)> = gone.collect();
            over.extend(gone);
        }
        // One that ended within a look had begun before.
        for work in began.chunks(MOST_WORK) {
            self.library.write(&Entry::Began { at: utc, work: work.to_vec() });
        }
        for keys in again.chunks(MOST_WORK) {
            self.library.write(&Entry::Again { at: utc, keys: keys.to_vec() });
        }
        for work in over.chunks(MOST_WORK) {
            self.library.write(&Entry::Over { at: utc, work: work.to_vec() });
        }
    }

    /// A worker ran on while nobody counted: what it cost since then is charged by whoever has it now.
    fn charge_gap(&mut self, now: Time, until: u64, team: usize, key: u64, rate: u64, tills: &mut dyn Tills) {
        let Some(month) = self.month else { return };
        let name = &self.settings.teams[team].name;
        let counted = |writer: &Name| {
            let state = self.library.state_of(writer)?;
            let work = state.running.get(&key).filter(|work| work.team == *name)?;
            let at = [month.number, month.number - 1].map(|number| state.purse(name, number).at);
            Some(work.since.max(at[0].max(at[1])))
        };
        let Some(since) = self.library.writers().iter().filter_map(counted).max() else { return };
        let span = |from: u64, to: u64| Span::from_nanos(to.saturating_sub(from).saturating_mul(1_000_000));
        let here = cost(rate, span(since.max(month.begins), until));
        tills.with(team, &mut |till| till.charge(now, here));
        let before = cost(rate, span(since, month.begins.min(until)));
        if before > 0 {
            let me = self.settings.me.clone();
            let (name, number) = (name.clone(), month.number - 1);
            let mut purse = self.library.purse(&me, &name, number);
            purse.spent += before;
            purse.beyond += before;
            self.library.write(&Entry::Purse { team: name, month: number, purse });
        }
    }

    fn write_purse(&mut self, team: usize, month: u32) -> u64 {
        let (name, purse) = (self.settings.teams[team].name.clone(), self.desks[team].purse);
        self.library.write(&Entry::Purse { team: name, month, purse })
    }

    /// One team: blocks drawn and put back, what was spent written down, others asked, the till told what
    /// holds.
    fn look_after(&mut self, now: Time, utc: u64, team: usize, tills: &mut dyn Tills) {
        let Some(month) = self.month else { return };
        let durable = self.library.durable();
        let mut seen = Seen::default();
        let credits = &mut self.desks[team].credits;
        let ready: Parts =
            credits.iter().filter(|(n, _)| *n <= durable).fold(Parts::default(), |s, (_, p)| s.plus(*p));
        credits.retain(|(number, _)| *number > durable);
        let comes = credits.iter().fold(Parts::default(), |sum, (_, parts)| sum.plus(*parts));
        tills.with(team, &mut |till| {
            till.credit(ready);
            seen = till.look(now);
        });
        let desk = &mut self.desks[team];
        desk.demand.saw(now, seen.asked);
        if seen.most > 0 {
            desk.most = seen.most;
        }
        desk.seen = seen;
        let uses = self.uses(team);
        let (free, too_much, all_too_much) = self.mine(team, month.number);
        let at_hand = seen.has.plus(comes);
        // What is drawn: for new ones and running ones out of the open part, else for running ones out of
        // the last.
        let least = free.open / LEAST_BLOCK;
        let block = Parts { open: uses.block().open.max(least), ..uses.block() };
        let wants_open =
            if at_hand.open < block.open / 2 { block.open - at_hand.open } else { 0 } + seen.debt;
        let open = wants_open.min(free.open);
        let owed = seen.debt.saturating_sub(open);
        let ahead = block.last.saturating_sub(at_hand.open + open + at_hand.last);
        let last = if free.open > open { 0 } else { (owed + ahead).min(free.last) };
        let draws = Parts { open, last };
        let mut back = Parts::default();
        if too_much != Parts::default() {
            // A cap was lowered: what lies here of the old one goes back first.
            tills.with(team, &mut |till| back = till.take_back(too_much));
        } else if draws == Parts::default() && uses.new < 1.0 && seen.has.open > block.open.saturating_mul(2)
        {
            // Nobody asks for it here: it goes back into the share, from where it can be given away.
            let most = Parts { open: seen.has.open - block.open, last: 0 };
            tills.with(team, &mut |till| back = till.take_back(most));
        }
        let desk = &mut self.desks[team];
        let spent = desk.before + seen.spent;
        let due = utc.saturating_sub(desk.purse.at) * 1_000_000 >= WRITE.nanos();
        if draws != Parts::default() || back != Parts::default() || (due && spent != desk.purse.spent) {
            desk.purse.drawn = desk.purse.drawn.plus(draws).less(back);
            (desk.purse.spent, desk.purse.beyond, desk.purse.at) = (spent, seen.debt, utc);
            let number = self.write_purse(team, month.number);
            if draws != Parts::default() {
                self.desks[team].credits.push_back((number, draws));
            }
        }
        let has = free.plus(at_hand);
        self.ask_others(now, team, month.number, uses.wants(has));
        let awake =
            self.awake_at.is_none_or(|at| now - at > AWAKE || self.heard_at.is_some_and(|heard| heard > at));
        let left = Span::from_nanos(month.ends.saturating_sub(utc).saturating_mul(1_000_000));
        let fresh = if awake { now + FRESH.min(left) } else { Time::default() };
        let has_some = self.desks[team].others_have || free.open >= self.desks[team].most;
        let mut terms = self.terms(team, utc);
        terms.near |= all_too_much;
        let away = if awake { shares::away(has_some && !terms.held && !terms.near, left) } else { UNKNOWN };
        let mut waiting = Vec::new();
        let begins = terms.held && !self.desks[team].terms.held;
        tills.with(team, &mut |till| {
            till.refresh(fresh, away, terms);
            if begins {
                waiting = till.waiting();
            }
        });
        self.desks[team].terms = terms;
        // What was taken before the hold goes on wherever it comes back.
        let name = &self.settings.teams[team].name;
        let work: Vec<(u64, Name)> = waiting.into_iter().map(|key| (key, name.clone())).collect();
        for work in work.chunks(MOST_WORK) {
            self.library.write(&Entry::Passes { at: utc, work: work.to_vec() });
        }
    }

    /// What holds for a team, by the orders that are known.
    fn terms(&self, team: usize, utc: u64) -> Terms {
        let account = self.settings.teams[team].account.clone();
        let bound = account.is_some();
        let order = account.and_then(|account| self.library.orders().get(&Subject::Account(account)));
        let (held, finish_by) = match order.map(|order| order.word) {
            Some(Word::Held { finish_by }) => (true, finish_by),
            _ => (false, None),
        };
        let finished = finish_by.is_some_and(|by| utc / 1_000 >= by);
        let cap = self.cap(team);
        let near = cap.is_some_and(|cap| self.spent(team).0 >= part(cap, self.settings.near));
        Terms { capped: cap.is_some(), bound, held, finished, near }
    }

    /// What all schedulers say that they spent this month, and what of that nothing was left for.
    fn spent(&self, team: usize) -> (u64, u64) {
        let month = self.month.map_or(0, |month| month.number);
        let name = &self.settings.teams[team].name;
        let writers = self.library.writers();
        let purses = writers.iter().map(|writer| self.library.purse(writer, name, month));
        purses.fold((0, 0), |(spent, beyond), purse| {
            (spent.saturating_add(purse.spent), beyond.saturating_add(purse.beyond))
        })
    }

    fn ask_others(&mut self, now: Time, team: usize, month: u32, parts: Parts) {
        let desk = &mut self.desks[team];
        if let Some((name, until)) = &desk.asking {
            if now < *until {
                return;
            }
            // It may be slow: others are asked first for a while.
            let (name, rest) = (name.clone(), now + REST);
            desk.rests.insert(name, rest);
            desk.asking = None;
        }
        if parts == Parts::default() || desk.looked_at.is_some_and(|at| now - at < LOOK) {
            return;
        }
        desk.looked_at = Some(now);
        desk.rests.retain(|_, until| now < *until);
        let open = parts.open > 0;
        let part = |has: Parts| if open { has.open } else { has.last };
        let others: Vec<(Name, u64)> =
            self.others(team, month).into_iter().map(|(name, has)| (name, part(has))).collect();
        let most = self.desks[team].most.max(1);
        self.desks[team].others_have =
            others.iter().fold(0u64, |sum, (_, has)| sum.saturating_add(*has)) >= most;
        let asked: Vec<(&Name, u64)> = others
            .iter()
            .filter(|(name, _)| !self.desks[team].rests.contains_key(name))
            .filter(|(name, _)| self.roll.presence(now, name) != Presence::Gone)
            .map(|(name, has)| (name, *has))
            .collect();
        let Some(to) = shares::whom(&mut self.chance, &asked).cloned() else { return };
        self.desks[team].asking = Some((to.clone(), now + ANSWER));
        let (life, name) = (self.life(), self.settings.teams[team].name.clone());
        self.wanted.push(Wanted { to, life, team: name, month, parts });
    }

    /// Who may come again, told to the tills where that has changed.
    fn tell_names(&mut self, now: Time, utc: u64, tills: &mut dyn Tills) {
        let me = &self.settings.me;
        let writers = self.library.writers();
        let silent = |writer: &&Name| *writer != me && self.roll.presence(now, writer) != Presence::There;
        let silent: Vec<Name> = writers.iter().filter(silent).cloned().collect();
        let stamp = self.library.stamp();
        if self.named.as_ref().is_some_and(|(at, of)| *at == stamp && *of == silent) {
            return;
        }
        let place: BTreeMap<&Name, usize> =
            self.settings.teams.iter().enumerate().map(|(at, team)| (&team.name, at)).collect();
        let mut names: Vec<HashMap<u64, Place>> = vec![HashMap::new(); self.desks.len()];
        let states: Vec<(&Name, &State)> =
            writers.iter().filter_map(|writer| Some((writer, self.library.state_of(writer)?))).collect();
        // Who took the place of one that ran, and ended for good: nobody comes in that place any more,
        // unless it began anew since.
        let mut done: HashMap<u64, u64> = HashMap::new();
        for (key, until) in states.iter().flat_map(|(_, state)| &state.done) {
            let known = done.entry(*key).or_default();
            *known = (*known).max(*until);
        }
        let mut name = |team: &Name, key: u64, ran: bool, until: u64| {
            if done.get(&key).is_some_and(|done| until <= *done) {
                return;
            }
            if let Some(at) = place.get(team) {
                let place = names[*at].entry(key).or_insert(Place { in_hand: false, ran });
                place.ran |= ran;
            }
        };
        for (writer, state) in &states {
            let may = |(_, loose): &(&u64, &Loose)| loose.until > utc;
            state.passes.iter().filter(may).for_each(|(key, l)| name(&l.team, *key, false, l.until));
            state.loose.iter().filter(may).for_each(|(key, l)| name(&l.team, *key, true, l.until));
            // What runs elsewhere has its place, unless nobody can say now that it is over.
            let silent = silent.contains(writer);
            for (key, work) in state.running.iter().filter(|_| silent) {
                name(&work.team, *key, true, work.since.saturating_add(COMES_AGAIN));
            }
        }
        for (_, state) in states.iter().filter(|(writer, _)| !silent.contains(writer)) {
            for key in state.running.keys() {
                for names in &mut names {
                    names.remove(key);
                }
            }
        }
        self.named = Some((stamp, silent));
        for (team, mut names) in names.into_iter().enumerate() {
            tills.with(team, &mut |till| names = till.set_names(std::mem::take(&mut names)));
        }
    }

    // For whoever watches.

    pub fn looks(&self) -> Vec<Look> {
        let month = self.month.map_or(0, |month| month.number);
        let look = |(team, desk): (usize, &Desk)| {
            let name = &self.settings.teams[team].name;
            let (spent, beyond) = self.spent(team);
            let orders = self.library.orders();
            let order = orders.get(&Subject::Team(name.clone()));
            let account = self.settings.teams[team].account.clone();
            let hold = account.and_then(|account| orders.get(&Subject::Account(account)));
            Look {
                team: name.clone(),
                month,
                cap: self.cap(team),
                spent,
                beyond,
                free: self.mine(team, month).0,
                at_hand: desk.seen.has,
                held: desk.terms.held,
                differs: order.into_iter().chain(hold).any(|order| order.differs),
            }
        };
        self.desks.iter().enumerate().map(look).collect()
    }
}
