//! Keeps the books of one scheduler: fills its tills, writes its rows, asks others and gives to them.
//!
//! What a scheduler may still use of a team's share is reckoned from columns alone: the first share of the
//! month, and gifts to this life and those it goes on from, less what it drew and gave. Only it writes
//! those rows, so nobody else can make it less; and no row is told, used or answered for before it is on
//! disk.

mod copies;
mod figures;
mod work;

use self::figures::FigureCache;
use crate::announce::{self, Announcer};
use crate::money::{cost, part};
use crate::month::Month;
use crate::names::{self, Known};
use crate::pace::{self, LEAST_PERIOD, Pace};
use crate::reservation_pool::{Away, News, ReservationPools, Seen, Terms};
use crate::settings::Settings;
use crate::shares::{self, Demand, Use};
use mulleinhub_interface::{Duration, Pcg, Timestamp};
use mulleinhub_replicated_log::{
    Balance, Changes, Entry, KeptLogs, Kind, LogId, LogStore, MemberState, Membership, Name, Parts, Reached,
    ShareTransfer, State, Subject, Word, replicas,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Between two looks at the tills.
pub const TICK: Duration = Duration::from_nanos(100_000_000);
/// What a till knows holds for so long after a look. A keeper that stands still takes nothing new.
const FRESH: Duration = Duration::from_nanos(1_000_000_000);
/// An ask without an answer is given up after this, and whoever had nothing is left alone for that long and
/// drawn up to twice as long.
const ANSWER: Duration = Duration::from_secs(1);
const REST: Duration = Duration::from_secs(2);
/// What the others have is reckoned this often at the most.
const LOOK: Duration = Duration::from_nanos(200_000_000);
/// While it isn't known what was used of a share.
const UNKNOWN: Away =
    Away { least: Duration::from_nanos(500_000_000), most: Duration::from_nanos(1_500_000_000) };
/// After a standstill nothing new is taken until something was heard of the others, or for this long.
const AWAKE: Duration = Duration::from_nanos(500_000_000);
/// Clocks of schedulers differ by less: what an unknown former life may have begun, it began within this.
const CLOCKS_DIFFER: u64 = 60_000;
/// So that the first of a burst need not wait for the disk, this part of what is left lies drawn, also
/// while nobody asks.
const LEAST_BLOCK: u64 = 64;
/// Between two writings of all balances, more is drawn once less than this part of a block is left.
const LOW_BLOCK: u64 = 8;
/// Workers in one row.
const MOST_WORK: usize = 1_000;
/// Holders are ranked for so many replicas where our own settings ask for none.
const USUAL_REPLICAS: usize = 2;

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
struct TeamLedger {
    /// What our column says of this month.
    purse: Balance,
    /// What of it lives before this one spent.
    before: u64,
    /// Drawn blocks that are not on disk yet, by their row.
    credits: VecDeque<(u64, Parts)>,
    demand: Demand,
    most: u64,
    asking: Option<(Name, Timestamp)>,
    looked_at: Option<Timestamp>,
    rests: BTreeMap<Name, Timestamp>,
    seen: Seen,
    others_have: bool,
    /// What holds for it, and whether its hold's tasks were written down.
    terms: Terms,
}

pub struct Ledger {
    settings: Settings,
    /// The fleet logs.
    library: LogStore,
    /// Our own work log, and those of which we hold a copy.
    work: LogStore,
    /// Ordinary work of this life stands in our work log.
    is_split: bool,
    /// We neither read nor write work logs, as versions before them.
    is_older: bool,
    announcer: Announcer,
    /// Since when we are no replica of members whose work logs we hold, and when that was looked at last.
    spare_copies: BTreeMap<Name, Timestamp>,
    spare_looked_at: Timestamp,
    /// When balances are written together, in Unix time.
    balances_at: u64,
    pub roll: Membership,
    phase: Phase,
    since: Option<Timestamp>,
    met: BTreeSet<Name>,
    /// The end of our last life's column, as we had kept it.
    kept: Option<(u64, u64)>,
    month: Option<Month>,
    desks: Vec<TeamLedger>,
    /// What others say of each team.
    figures: FigureCache,
    chance: Pcg,
    due: Option<Timestamp>,
    awake_at: Option<Timestamp>,
    heard_at: Option<Timestamp>,
    wanted: Vec<Wanted>,
    replies: Vec<Reply>,
    adopted: BTreeSet<u64>,
    all_told: bool,
    /// What the names that were told last came from: changes of the books, and whom nobody hears of.
    named: Option<(u64, u64, Vec<Name>)>,
    room: Vec<News>,
    /// What is told to whoever is on call, in words.
    told: Vec<String>,
}

impl Ledger {
    /// `life` is greater at each start; `kept` is what earlier lives left on disk.
    pub fn new(settings: Settings, life: u64, seed: u64, kept: KeptLogs, beat: Duration) -> Self {
        let own = LogId { writer: settings.me.clone(), life };
        let mut library = LogStore::new(own.clone());
        let mut told = library.restore(kept.fleet);
        let mut work = LogStore::new(own);
        told.extend(work.restore(kept.work));
        let ours = library.newest(&settings.me);
        let kept = ours.and_then(|life| {
            let id = LogId { writer: settings.me.clone(), life };
            library.column(&id).map(|column| (life, column.tip().0))
        });
        let newest = ours.max(work.newest(&settings.me)).unwrap_or(0);
        library.live_after(newest);
        work.live_after(newest);
        let mut settings = settings;
        for name in &settings.members {
            settings.sites.entry(name.clone()).or_default();
        }
        let others = settings.members.iter().filter(|name| **name != settings.me).cloned();
        let desk = |_| TeamLedger {
            purse: Balance::default(),
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
            roll: Membership::new(others, beat),
            desks: settings.teams.iter().map(desk).collect(),
            figures: FigureCache::default(),
            settings,
            library,
            work,
            is_split: false,
            is_older: false,
            announcer: Announcer::default(),
            spare_copies: BTreeMap::new(),
            spare_looked_at: Timestamp::default(),
            balances_at: 0,
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

    pub fn library(&self) -> &LogStore {
        &self.library
    }

    pub fn library_mut(&mut self) -> &mut LogStore {
        &mut self.library
    }

    /// It neither declares nor reads nor writes work logs, as versions before them: for trials of fleets of
    /// both.
    #[must_use]
    pub fn without_work_logs(mut self) -> Self {
        let me = self.settings.me.clone();
        self.is_older = true;
        self.work = LogStore::new(LogId { writer: me, life: self.life() });
        self
    }

    /// The logs of a kind.
    pub fn logs(&self, kind: Kind) -> &LogStore {
        match kind {
            Kind::Fleet => &self.library,
            Kind::Work => &self.work,
        }
    }

    pub fn logs_mut(&mut self, kind: Kind) -> &mut LogStore {
        match kind {
            Kind::Fleet => &mut self.library,
            Kind::Work => &mut self.work,
        }
    }

    /// Whether ordinary work of this life stands in our work log.
    pub fn is_split(&self) -> bool {
        self.is_split
    }

    /// Whether we read work logs at all.
    pub fn reads_work_logs(&self) -> bool {
        !self.is_older
    }

    /// The members of whose work logs we hold a copy.
    pub fn copies(&self) -> impl Iterator<Item = &Name> {
        let me = &self.settings.me;
        let newest = |id: &LogId| self.work.newest(&id.writer) == Some(id.life);
        let columns = self.work.columns().map(|(id, _)| id);
        columns.filter(move |id| id.writer != *me && newest(id)).map(|id| &id.writer)
    }

    /// Who holds our work log, the first choice first, of those that `is_usable` says yes to.
    pub fn replicas(&self, is_usable: impl Fn(&Name) -> bool) -> Vec<Name> {
        let many = if self.is_split { self.settings.replicas.unwrap_or(0) } else { 0 };
        replicas(&self.settings.me, &self.settings.sites, many, is_usable)
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    pub fn life(&self) -> u64 {
        self.library.own().life
    }

    pub fn part(&mut self) -> f64 {
        self.chance.fraction()
    }

    pub fn below(&mut self, below: usize) -> usize {
        self.chance.below(below)
    }

    // What whoever hosts the books tells.

    pub fn take_changes(&mut self) -> Changes {
        Changes { fleet: self.library.take_changes(), work: self.work.take_changes() }
    }

    /// Our rows up to these are on disk.
    pub fn is_durable(&mut self, reached: Reached) {
        self.library.is_durable(reached.fleet);
        self.work.is_durable(reached.work);
    }

    /// All machines told what they hold of our earlier lives, or can't be asked: what they don't hold is
    /// over.
    pub fn all_told(&mut self) {
        self.all_told = true;
    }

    /// Something was heard of another.
    pub fn heard(&mut self, now: Timestamp) {
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
    pub fn order(&mut self, order: &mulleinhub_replicated_log::Order) {
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

    fn valid_from(&self, member: &Name) -> u64 {
        self.library.state_of(member).map_or(0, |state| state.valid_from)
    }

    /// What a member has of a team's share and has not drawn or given, as its column and the others' tell.
    /// What is under nought is told as nought.
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
    pub fn asked(
        &mut self,
        now: Timestamp,
        from: &Name,
        life: u64,
        wanted: &Wanted,
        tills: &mut dyn ReservationPools,
    ) {
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
        let gift = ShareTransfer { team: wanted.team.clone(), month: wanted.month, to: from.clone(), life };
        let before =
            self.library.state_of(&me).and_then(|state| state.gave.get(&gift)).copied().unwrap_or_default();
        let number = self.library.write(&Entry::Gave { gift, parts: before.plus(parts) });
        self.replies.push(reply(parts, number));
    }

    /// Another's answer to what we asked for: nothing, or a gift whose row comes with its column.
    pub fn answered(&mut self, now: Timestamp, from: &Name, team: &Name, parts: Parts) {
        let Some(team) = self.settings.teams.iter().position(|t| t.name == *team) else { return };
        let rest = now + REST * (1.0 + self.chance.fraction());
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
    pub fn due(&self) -> Option<Timestamp> {
        self.due
    }

    /// This process stood still for so long: what was silent meanwhile may have spoken, and what is known
    /// is old.
    pub fn stood(&mut self, now: Timestamp, still: Duration) {
        self.roll.stood(still);
        if still > FRESH {
            self.awake_at = Some(now);
        }
    }

    /// Looks at all tills. `utc` is the time of day, in milliseconds of Unix time.
    pub fn tick(&mut self, now: Timestamp, utc: u64, tills: &mut dyn ReservationPools) {
        self.due = Some(now + TICK);
        let month = self.settings.months.at(utc);
        self.refresh_figures();
        if self.phase == Phase::CatchingUp {
            self.since.get_or_insert(now);
            if !self.has_caught_up(now) {
                for team in 0..self.desks.len() {
                    let terms = self.terms(team, utc);
                    tills.with(team, &mut |till| till.refresh(Timestamp::default(), UNKNOWN, terms));
                }
                return self.tell_names(now, utc, tills);
            }
            self.begin_to_write(month, utc, tills);
        }
        let known = self.month.map_or(0, |month| month.number);
        if month.number > known {
            self.turn_month(now, month, tills);
        }
        self.fall_back_for_older(utc);
        self.tell_news(now, utc, tills);
        self.refresh_figures();
        let (fleet, all_due) = self.pace(utc);
        for team in 0..self.desks.len() {
            self.look_after(now, utc, team, fleet, all_due, tills);
        }
        self.announce(now, utc);
        self.tell_names(now, utc, tills);
        self.work.drop_taken_over();
        self.forget_copies(now);
    }

    fn has_caught_up(&self, now: Timestamp) -> bool {
        let others = self.roll.len();
        let waited = self.since.is_some_and(|since| now - since >= self.settings.catch_up);
        // Every row that was told is with most of the others by then, or with those who can't be reached.
        let most = others.div_ceil(2);
        self.met.len() >= others || (waited && self.met.len() >= most)
    }

    /// Begins a life. What earlier ones did not use is ours only if we kept all that they wrote.
    fn begin_to_write(&mut self, month: Month, utc: u64, tills: &mut dyn ReservationPools) {
        let me = self.settings.me.clone();
        let newest = self.library.newest(&me).max(self.work.newest(&me)).unwrap_or(0);
        let life = self.life().max(newest + 1);
        self.library.live_after(life - 1);
        self.work.live_after(life - 1);
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
        self.open_logs(state);
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

    fn turn_month(&mut self, now: Timestamp, month: Month, tills: &mut dyn ReservationPools) {
        let old = self.month.replace(month).map_or(0, |month| month.number);
        for team in 0..self.desks.len() {
            let (mut spent, mut owed) = (0, 0);
            tills.with(team, &mut |till| (spent, owed) = till.turn_month(now));
            let desk = &mut self.desks[team];
            desk.purse.spent = desk.before + spent;
            desk.purse.beyond = owed;
            desk.purse.at = month.begins;
            desk.credits.clear();
            if desk.purse != Balance::default() {
                let name = self.settings.teams[team].name.clone();
                self.library.write(&Entry::Balance { team: name, month: old, purse: self.desks[team].purse });
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

    /// A worker ran on while nobody counted: what it cost since then is charged by whoever has it now.
    fn charge_gap(
        &mut self,
        now: Timestamp,
        until: u64,
        team: usize,
        key: u64,
        rate: u64,
        tills: &mut dyn ReservationPools,
    ) {
        let Some(month) = self.month else { return };
        let name = &self.settings.teams[team].name;
        let states = self.fleet_states();
        let announced = announce::newest(states.iter().map(|(_, state)| *state));
        let counted = |(writer, state): &(Name, &State)| {
            let in_copy = || self.work.state_of(writer).and_then(|state| state.running.get(&key));
            let in_announced = || announced.get(writer).and_then(|announced| announced.work.get(&key));
            let work = state.running.get(&key).or_else(in_copy).or_else(in_announced);
            let work = work.filter(|work| work.team == *name)?;
            let at = [month.number, month.number - 1].map(|number| state.purse(name, number).at);
            Some(work.since.max(at[0].max(at[1])))
        };
        let Some(since) = states.iter().filter_map(counted).max() else { return };
        let span =
            |from: u64, to: u64| Duration::from_nanos(to.saturating_sub(from).saturating_mul(1_000_000));
        let here = cost(rate, span(since.max(month.begins), until));
        tills.with(team, &mut |till| till.charge(now, here));
        let before = cost(rate, span(since, month.begins.min(until)));
        if before > 0 {
            let me = self.settings.me.clone();
            let (name, number) = (name.clone(), month.number - 1);
            let mut purse = self.library.purse(&me, &name, number);
            purse.spent += before;
            purse.beyond += before;
            self.library.write(&Entry::Balance { team: name, month: number, purse });
        }
    }

    fn write_purse(&mut self, team: usize, month: u32) -> u64 {
        let (name, purse) = (self.settings.teams[team].name.clone(), self.desks[team].purse);
        self.library.write(&Entry::Balance { team: name, month, purse })
    }

    /// How often the balances of most teams are written in this life, and whether all are due now.
    fn pace(&mut self, utc: u64) -> (Pace, bool) {
        if !self.is_split {
            return (Pace::QUICK, false);
        }
        let is_active = |team: &usize| {
            let uses = self.uses(*team);
            uses.new >= 1.0 || uses.running > 0
        };
        let teams = (0..self.desks.len()).filter(is_active).count();
        let fleet = Pace::of_fleet(self.settings.members.len(), teams);
        let all_due = utc >= self.balances_at;
        if all_due {
            self.balances_at = utc.saturating_add(fleet.period.nanos() / 1_000_000);
        }
        (fleet, all_due)
    }

    /// The pace of one team's balance: a cap that is nearly spent is watched closely.
    fn pace_of(&self, team: usize, fleet: Pace) -> Pace {
        if fleet == Pace::QUICK {
            return fleet;
        }
        let Some(cap) = self.cap(team) else { return fleet };
        let open = part(cap, self.settings.near);
        let (spent, _) = self.spent(team);
        if pace::is_close(open, spent, self.desks[team].purse) { Pace::QUICK } else { fleet }
    }

    /// One team: blocks drawn and put back, what was spent written down, others asked, the till told what
    /// holds.
    fn look_after(
        &mut self,
        now: Timestamp,
        utc: u64,
        team: usize,
        fleet: Pace,
        all_due: bool,
        tills: &mut dyn ReservationPools,
    ) {
        let Some(month) = self.month else { return };
        let pace = self.pace_of(team, fleet);
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
        let block = uses.block(pace.block);
        let block = Parts { open: block.open.max(least), ..block };
        // With the balances that are written together, blocks are filled up, so that between two of them
        // little is written.
        let is_quick = pace == Pace::QUICK;
        let low = match (is_quick, all_due) {
            (true, _) => block.open / 2,
            (false, true) => block.open,
            (false, false) => block.open / LOW_BLOCK,
        };
        let puts_back = is_quick || all_due;
        let wants_open = if at_hand.open < low { block.open - at_hand.open } else { 0 } + seen.debt;
        let open = wants_open.min(free.open);
        let owed = seen.debt.saturating_sub(open);
        let ahead = block.last.saturating_sub(at_hand.open + open + at_hand.last);
        let last = if free.open > open { 0 } else { (owed + ahead).min(free.last) };
        let draws = Parts { open, last };
        let mut back = Parts::default();
        if too_much != Parts::default() {
            // A cap was lowered: what lies here of the old one goes back first.
            tills.with(team, &mut |till| back = till.take_back(too_much));
        } else if puts_back
            && draws == Parts::default()
            && uses.new < 1.0
            && seen.has.open > block.open.saturating_mul(2)
        {
            // Nobody asks for it here: it goes back into the share, from where it can be given away.
            let most = Parts { open: seen.has.open - block.open, last: 0 };
            tills.with(team, &mut |till| back = till.take_back(most));
        }
        let desk = &mut self.desks[team];
        let spent = desk.before + seen.spent;
        let due = if is_quick {
            utc.saturating_sub(desk.purse.at) * 1_000_000 >= LEAST_PERIOD.nanos()
        } else {
            all_due
        };
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
        let left = Duration::from_nanos(month.ends.saturating_sub(utc).saturating_mul(1_000_000));
        let fresh = if awake { now + FRESH.min(left) } else { Timestamp::default() };
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

    fn ask_others(&mut self, now: Timestamp, team: usize, month: u32, parts: Parts) {
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
            .filter(|(name, _)| self.roll.presence(now, name) != MemberState::Dead)
            .map(|(name, has)| (name, *has))
            .collect();
        let Some(to) = shares::whom(&mut self.chance, &asked).cloned() else { return };
        self.desks[team].asking = Some((to.clone(), now + ANSWER));
        let (life, name) = (self.life(), self.settings.teams[team].name.clone());
        self.wanted.push(Wanted { to, life, team: name, month, parts });
    }

    /// Who may come again, told to the tills where that has changed.
    fn tell_names(&mut self, now: Timestamp, utc: u64, tills: &mut dyn ReservationPools) {
        let me = &self.settings.me;
        let states = self.fleet_states();
        let silent = |writer: &&Name| *writer != me && self.roll.presence(now, writer) != MemberState::Alive;
        let silent: Vec<Name> = states.iter().map(|(writer, _)| writer).filter(silent).cloned().collect();
        let (stamp, work_stamp) = (self.library.stamp(), self.work.stamp());
        if self
            .named
            .as_ref()
            .is_some_and(|(at, work, of)| (*at, *work) == (stamp, work_stamp) && *of == silent)
        {
            return;
        }
        let known = |(writer, state)| Known {
            writer,
            life: self.library.newest(writer).unwrap_or(0),
            state,
            copy: self.copy_of(writer),
            silent: silent.contains(writer),
            is_me: writer == me,
        };
        let all: Vec<Known<'_>> = states.iter().map(|(writer, state)| (writer, *state)).map(known).collect();
        let announced = announce::newest(states.iter().filter(|_| !self.is_older).map(|(_, state)| *state));
        let names = names::may_come_again(utc, &self.settings.teams, &all, &announced);
        let is_new = self.named.as_ref().is_none_or(|(at, ..)| *at != stamp);
        self.named = Some((stamp, work_stamp, silent));
        for (team, mut names) in names.into_iter().enumerate() {
            tills.with(team, &mut |till| names = till.set_names(std::mem::take(&mut names)));
        }
        if is_new && self.is_split {
            self.promote_crossed(utc);
        }
    }

    // For whoever watches.

    pub fn looks(&self) -> Vec<Look> {
        let month = self.month.map_or(0, |month| month.number);
        let look = |(team, desk): (usize, &TeamLedger)| {
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
