//! The rules of the books, judged from the traffic and the instants of orders alone.
//!
//! What a team spends is integrated here from machines' own words: a copy costs from the frame in which its
//! machine accepts it to the frame that tells its end, or to its machine's. Of the books' own rows only
//! what planners say they charged is read, to be held against that.

use mulleinhub_capture::{BooksTerms, Deed, Record, Side, Stamped, TeamTerms, Terms};
use mulleinhub_protocol::{self as protocol, Message, Shape};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// An order counts as known everywhere after this, where nothing keeps schedulers apart.
const KNOWN: u64 = 3_000_000_000;
/// After the last trouble between schedulers their books have so long to become equal, and shares to move.
const HEALED: u64 = 8_000_000_000;
/// Running workers may be paid out of the last part for so long before others' shares come.
const SETTLES: u64 = 2_000_000_000;
/// What was written while nobody read comes within this once somebody does.
const UNSEEN: u64 = 50_000_000;
/// That a worker was lost is known to the others after this: its own planner waits for two seconds for a
/// machine that it can't reach.
const SPREADS: u64 = 3_000_000_000;
/// Clocks of schedulers differ by less: so near to a month's end a second may belong to either month.
const MONTHS_END: u64 = 6_000_000_000;
/// What is charged may differ from what was spent by this part, and by this long of all that runs for each
/// loss.
const PART: f64 = 0.03;
const EACH_LOSS: u64 = 3_000_000_000;

/// One rule of the books.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BooksRuling {
    pub cases: u64,
    pub breaches: Vec<String>,
    pub excused: BTreeMap<&'static str, u64>,
}

/// What the books of a day came to.
#[derive(Clone, Debug, Default)]
pub struct BooksVerdict {
    pub rules: [BooksRuling; 5],
    pub figures: BTreeMap<String, TeamFigures>,
    pub frames: u64,
    pub frame_bytes: u64,
}

/// Of one team in the last month of the day, in micro-units.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamFigures {
    pub cap: Option<u64>,
    pub spent: u64,
    pub charged: u64,
    pub workers: u64,
    /// What was left of the part for new workers when the last one was added.
    pub left: u64,
}

impl BooksVerdict {
    pub const NAMES: [&'static str; 5] = [
        "caps kept",
        "holds kept",
        "what ran goes on",
        "each second charged once",
        "copies equal after healing",
    ];

    pub fn holds(&self) -> bool {
        self.rules.iter().all(|rule| rule.breaches.is_empty())
    }
}

const CAPS: usize = 0;
const HOLDS: usize = 1;
const GOES_ON: usize = 2;
const CHARGED: usize = 3;
const EQUAL: usize = 4;

enum Wire {
    Client { planner: String, owner: String },
    Machine { planner: String, machine: u64 },
    Books { ends: [String; 2] },
}

struct Link {
    wire: Wire,
    /// Until when nobody read what the planner wrote: what comes then was written at a time nobody saw.
    unread_until: Option<u64>,
    under_way: [VecDeque<(u32, Vec<u8>)>; 2],
}

/// A copy that runs, by its machine, task and send.
type Copy = (u64, u64, u32);

struct Running {
    team: usize,
    rate: u64,
    key: u64,
    /// Who holds it, and since when.
    planner: String,
    since: u64,
    /// The way to its machine was lost since: its planner may have given it up.
    doubted: bool,
}

/// How a worker's last copy ended.
#[derive(Clone)]
struct Ended {
    at: u64,
    /// It was lost, moved or evicted.
    comes_again: bool,
    planner: String,
    since: u64,
}

/// An order about an account: held, until when what ran may go on where it says so, or cleared.
struct Hold {
    at: u64,
    account: String,
    number: u64,
    held: bool,
    finish_by: Option<u64>,
}

/// A task that a planner took.
struct Taken {
    shape: Shape,
    team: usize,
    /// What the team had spent then, and what its new workers had reserved; whether that could be known.
    spent: u128,
    excused: Option<&'static str>,
    part: u64,
}

#[derive(Default)]
struct Team {
    /// Nano-parts of micro-units, of this month.
    spent: u128,
    rate: u64,
    most_rate: u64,
    /// Of that, what was lost with a store before it was told.
    unknown: u128,
    at: u64,
    /// When each key was taken first, and how its last copy ended.
    taken: BTreeMap<u64, u64>,
    ended: BTreeMap<u64, Ended>,
    /// Every key that ever ran, and those new in this month: rate, first second, and last where it is over.
    known: BTreeSet<u64>,
    new: BTreeMap<u64, (u64, u64, Option<u64>)>,
    /// Caps that were ordered: when, number, amount.
    caps: Vec<(u64, u64, u64)>,
    workers: u64,
    left: u64,
}

/// What a planner says that it charged, of one team and month.
#[derive(minicbor::Decode)]
struct PurseTold {
    #[n(1)]
    spent: u64,
}

#[derive(minicbor::Decode)]
struct SumTold {
    #[n(4)]
    purses: BTreeMap<(String, u32), PurseTold>,
}

/// The kinds of rows that are read here.
const SUM: u16 = 1;
const PURSE: u16 = 3;

#[derive(Default)]
pub struct BooksJudge {
    terms: Option<BooksTerms>,
    links: BTreeMap<u32, Link>,
    copies: BTreeMap<Copy, Running>,
    /// Offers that are out: owner and shape by planner, task and send.
    offers: BTreeMap<(String, u64, u32), (String, Shape)>,
    tasks: BTreeMap<(String, u64), Taken>,
    /// Tasks that owners were told are placed, and where, and those that they withdrew.
    placed: BTreeMap<(String, u64), u64>,
    withdrawn: BTreeSet<(String, u64)>,
    /// The key of each task that a planner took or adopted.
    keys: BTreeMap<(String, u64), u64>,
    /// Tasks that a planner, in its present life, has told are over.
    given_up: BTreeSet<(String, u64)>,
    /// When the others last got rows of a planner; and when they had got the last of one that lost its
    /// store then.
    told_at: BTreeMap<String, u64>,
    untold: BTreeMap<String, u64>,
    /// Copies that are over: planner, team, rate, since when and until when.
    over: Vec<(String, usize, u64, u64, u64)>,
    /// What owners hand over.
    handed: BTreeMap<(String, u64), Shape>,
    holds: Vec<Hold>,
    teams: Vec<Team>,
    month: u32,
    verdict: BooksVerdict,
    /// Planners that are up, and when something last kept one from the others.
    up: BTreeSet<String>,
    stopped: BTreeSet<String>,
    troubles: BTreeSet<String>,
    troubled_at: Option<u64>,
    losses: u64,
    /// Of each column, when its writer told how far; and how far each planner has it.
    told: BTreeMap<(String, u64), Vec<(u64, u64)>>,
    has: BTreeMap<(String, String, u64), u64>,
    charged: BTreeMap<(String, String, u32), u64>,
    end: u64,
    /// The frame at hand was written at a time that nobody saw.
    unseen: bool,
}

impl BooksJudge {
    /// Whether the day keeps books at all.
    pub fn is_on(&self) -> bool {
        self.terms.is_some()
    }

    pub fn hear(&mut self, stamped: &Stamped<'_>) {
        let at = stamped.at;
        self.end = at;
        if let Record::Terms(Terms { books, .. }) = &stamped.record {
            self.teams = books.iter().flat_map(|books| &books.teams).map(|_| Team::default()).collect();
            self.terms = books.clone();
        }
        if self.terms.is_none() {
            return;
        }
        self.turn_month(at);
        match &stamped.record {
            Record::Opened { link, opener, opened } => self.opened(*link, opener, opened),
            Record::Frame { link, side, number, bytes } => {
                if let Some(known) = self.links.get_mut(link) {
                    known.under_way[usize::from(*side == Side::Opened)].push_back((*number, bytes.to_vec()));
                    self.frame(at, *link, *side, bytes, false);
                }
            }
            Record::Delivered { link, side, number } => {
                let Some(known) = self.links.get_mut(link) else { return };
                let queue = &mut known.under_way[usize::from(*side == Side::Opened)];
                while let Some((n, bytes)) = queue.pop_front() {
                    if n == *number {
                        self.frame(at, *link, *side, &bytes, true);
                        break;
                    }
                }
            }
            Record::Order { words, .. } => self.order(at, words),
            Record::Deed { deed, who, machine } => self.deed(at, *deed, who, *machine),
            Record::Unread { link, on, .. } => {
                if let Some(known) = self.links.get_mut(link) {
                    known.unread_until = Some(if *on { u64::MAX } else { at + UNSEEN });
                }
            }
            Record::Terms(_) | Record::Ended { .. } | Record::Close { .. } => {}
        }
    }

    fn opened(&mut self, link: u32, opener: &str, opened: &str) {
        let wire = if let Some(machine) = opened.strip_prefix("machine-").and_then(|n| n.parse().ok()) {
            Wire::Machine { planner: opener.to_owned(), machine }
        } else if opened.starts_with("books-") {
            let name = |end: &str| end.replace("books-", "planner-");
            Wire::Books { ends: [name(opener), name(opened)] }
        } else if opened.starts_with("planner-") {
            Wire::Client { planner: opened.to_owned(), owner: opener.to_owned() }
        } else {
            return;
        };
        self.links.insert(link, Link { wire, unread_until: None, under_way: Default::default() });
    }

    fn deed(&mut self, at: u64, deed: Deed, who: &str, machine: Option<u64>) {
        let keeps_apart = |words: &str| {
            ["and planner ", "and other planners", "and planners of", "to the disk of"]
                .iter()
                .any(|end| words.contains(end))
        };
        match deed {
            Deed::Started => {
                self.up.insert(who.to_owned());
                self.troubled_at = Some(at);
            }
            Deed::Killed => {
                self.up.remove(who);
                self.stopped.remove(who);
                self.tasks.retain(|(planner, _), _| planner != who);
                self.placed.retain(|(planner, _), _| planner != who);
                self.given_up.retain(|(planner, _)| planner != who);
                self.losses += 1;
                self.troubled_at = Some(at);
                self.has.retain(|(planner, ..), _| planner != who);
            }
            Deed::Stopped => {
                self.stopped.insert(who.to_owned());
                self.troubled_at = Some(at);
            }
            Deed::Continued => {
                self.stopped.remove(who);
                self.losses += 1;
                self.troubled_at = Some(at);
            }
            Deed::StoreLost | Deed::StoreOld => {
                self.losses += 1;
                let told = self.told_at.get(who).copied().unwrap_or(0);
                self.untold.insert(who.to_owned(), told);
                // What its workers cost since then nobody knows any more; of those that run on, until it
                // has them again.
                for (planner, team, rate, since, over) in &self.over {
                    if planner == who && *over > told {
                        let cost = u128::from(*rate) * u128::from(over - since.max(&told));
                        self.teams[*team].unknown += cost;
                    }
                }
            }
            Deed::TroubleBegins if keeps_apart(who) => drop(self.troubles.insert(who.to_owned())),
            Deed::TroubleEnds if self.troubles.remove(who) => self.troubled_at = Some(at),
            Deed::TroubleBegins | Deed::TroubleEnds => {}
            Deed::MachineDown | Deed::FellOver => {
                self.losses += 1;
                let over: Vec<Copy> =
                    self.copies.keys().filter(|(on, ..)| Some(*on) == machine).copied().collect();
                over.into_iter().for_each(|copy| self.ends(at, copy, true));
            }
            Deed::MachineUp => {}
        }
    }

    /// Why the schedulers may not have known of each other then.
    fn apart(&self, at: u64) -> Option<&'static str> {
        if self.unseen {
            Some("perhaps written while nobody read")
        } else if !self.troubles.is_empty() || !self.stopped.is_empty() {
            Some("schedulers were kept apart")
        } else if self.troubled_at.is_some_and(|then| at < then + HEALED) {
            Some("schedulers had just met again")
        } else {
            None
        }
    }

    // Money.

    fn team_of(&self, owner: &str) -> Option<usize> {
        let tenant = owner.split('/').next().unwrap_or(owner);
        let is = |team: &TeamTerms| team.tenants.iter().any(|name| name == tenant);
        self.terms.as_ref()?.teams.iter().position(is)
    }

    fn rate(&self, shape: &Shape) -> u64 {
        let Some(terms) = &self.terms else { return 0 };
        let cost = shape.cores * terms.core_second as f64 + shape.memory * terms.memory_second as f64;
        (cost.ceil() as u64).max(1)
    }

    fn accrue(&mut self, at: u64, team: usize) {
        let team = &mut self.teams[team];
        team.spent += u128::from(team.rate) * u128::from(at.saturating_sub(team.at));
        team.at = team.at.max(at);
    }

    fn turn_month(&mut self, at: u64) {
        let ends = self.terms.as_ref().and_then(|terms| terms.month_ends);
        if self.month == 0 && ends.is_some_and(|ends| at >= ends) {
            for team in 0..self.teams.len() {
                self.accrue(ends.unwrap_or(at), team);
                self.charged_once(team, "the month that ended");
                let team = &mut self.teams[team];
                (team.spent, team.workers, team.left, team.unknown) = (0, 0, 0, 0);
                team.new.clear();
            }
            self.month = 1;
        }
    }

    /// Near to a month's end it can't be told from outside which month a scheduler counts.
    fn months_end(&self, at: u64) -> bool {
        let ends = self.terms.as_ref().and_then(|terms| terms.month_ends);
        ends.is_some_and(|ends| at + MONTHS_END > ends && at < ends + MONTHS_END)
    }

    /// The part of a cap that new workers may use: the highest of those that may be believed to hold.
    fn part(&self, at: u64, team: usize) -> Option<u64> {
        let terms = self.terms.as_ref()?;
        let caps = &self.teams[team].caps;
        let settled = caps.iter().filter(|(then, ..)| then + KNOWN <= at);
        let newest = settled.map(|(_, number, _)| *number).max();
        let first = terms.teams[team].cap.filter(|_| newest.is_none());
        let of_newest =
            caps.iter().filter(|(_, number, _)| Some(*number) == newest).map(|(.., amount)| *amount);
        // Of two with one number the lower holds, once both are known.
        let of_newest = of_newest.min();
        let new = caps.iter().filter(|(then, ..)| then + KNOWN > at).map(|(.., amount)| *amount).max();
        let cap = [first, of_newest, new].into_iter().flatten().max()?;
        Some((u128::from(cap) * u128::from(terms.near) / 1_000_000) as u64)
    }

    /// What new workers of this month reserved: a stretch of each that runs, and what the others used of
    /// theirs.
    fn reserved(&self, team: usize) -> u128 {
        let stretch = self.terms.as_ref().map_or(0, |terms| terms.stretch);
        let of = |(rate, since, over): &(u64, u64, Option<u64>)| {
            let used = over.map_or(stretch, |over| over.saturating_sub(*since).min(stretch));
            u128::from(*rate) * u128::from(used)
        };
        self.teams[team].new.values().map(of).sum()
    }

    // Frames.

    fn frame(&mut self, at: u64, link: u32, side: Side, bytes: &[u8], delivered: bool) {
        let Ok(message) = protocol::decode(bytes) else { return };
        self.unseen = self.links[&link].unread_until.is_some_and(|until| at < until);
        match &self.links[&link].wire {
            Wire::Machine { planner, machine } => {
                let (planner, machine) = (planner.clone(), *machine);
                self.machine_frame(at, &planner, machine, &message, delivered);
            }
            Wire::Client { planner, owner } if !delivered => {
                let (planner, owner) = (planner.clone(), owner.clone());
                self.client_frame(at, &planner, &owner, &message);
            }
            Wire::Client { planner, owner } => match &message {
                Message::Ask { task, shape, .. } => {
                    let (planner, owner, task, shape) = (planner.clone(), owner.clone(), *task, *shape);
                    self.offers.insert((planner, task, u32::MAX), (owner, shape));
                }
                Message::HandOver { task, shape, .. } => {
                    let (task, shape) = ((planner.clone(), *task), *shape);
                    self.handed.insert(task, shape);
                }
                Message::Withdraw { task } => {
                    let task = (planner.clone(), *task);
                    self.withdrawn.insert(task);
                }
                _ => {}
            },
            Wire::Books { ends } => {
                let at_side = usize::from(side == Side::Opened);
                let (from, to) = (ends[at_side].clone(), ends[1 - at_side].clone());
                self.books_frame(at, &from, &to, &message, bytes.len(), delivered);
            }
        }
    }

    fn client_frame(&mut self, at: u64, planner: &str, owner: &str, message: &Message<'_>) {
        let Some(team) = self.team_of(owner) else { return };
        let task = match message {
            Message::Taken { task } => task,
            Message::Nacked { task, .. } => return self.nacked(at, planner, *task, team),
            Message::Placed { task, machine } => {
                self.placed.insert((planner.to_owned(), *task), *machine);
                return;
            }
            Message::Ended { task, .. } => {
                let of = (planner.to_owned(), *task);
                self.placed.remove(&of);
                let held = |copy: &Copy| copy.1 == *task;
                let copies: Vec<Copy> = self.copies.keys().filter(|copy| held(copy)).copied().collect();
                copies.into_iter().for_each(|copy| self.ends(at, copy, true));
                self.given_up.insert(of.clone());
                // From now on its planner can know that it is over, and tell the others.
                let key = self.keys.get(&of).copied();
                if let Some(ended) = key.and_then(|key| self.teams[team].ended.get_mut(&key)) {
                    ended.at = ended.at.max(at);
                }
                return;
            }
            _ => return,
        };
        let asked = self.offers.remove(&(planner.to_owned(), *task, u32::MAX));
        let Some((_, shape)) = asked else { return };
        self.keys.insert((planner.to_owned(), *task), shape.key);
        self.submitted(at, planner, *task, team, shape.key);
        let Some(part) = self.part(at, team) else { return };
        self.accrue(at, team);
        let excused =
            if self.months_end(at) { Some("within seconds of a month's end") } else { self.apart(at) };
        let taken = Taken { shape, team, spent: self.teams[team].spent, excused, part };
        self.tasks.insert((planner.to_owned(), *task), taken);
    }

    /// Whether an account is held for certain: since when, and until when what ran may go on.
    fn held(&self, at: u64, team: usize) -> Option<(u64, Option<u64>)> {
        let account = self.terms.as_ref()?.teams[team].account.as_ref()?;
        let of = self.holds.iter().filter(|hold| hold.account == *account);
        let number = of.clone().map(|hold| hold.number).max()?;
        let newest = of.filter(|hold| hold.number == number);
        // Of one number with different words the stricter holds, once all know both.
        let known = |hold: &&Hold| hold.at + KNOWN <= at;
        let held = newest.clone().filter(|hold| hold.held);
        let since = held.clone().filter(known).map(|hold| hold.at).min()?;
        let all_known = newest.clone().all(|hold| known(&hold));
        let finish_by = held.filter_map(|hold| hold.finish_by).min();
        (all_known || newest.clone().all(|hold| hold.held)).then_some((since, finish_by))
    }

    /// A planner took a task of a team.
    fn submitted(&mut self, at: u64, planner: &str, task: u64, team: usize, key: u64) {
        let held = self.held(at, team);
        let first = *self.teams[team].taken.entry(key).or_insert(at);
        let Some((since, _)) = held else { return };
        let ran = self.teams[team].known.contains(&key);
        let rule = &mut self.verdict.rules[HOLDS];
        rule.cases += 1;
        if ran || first < since + KNOWN {
            return;
        }
        match self.apart(at) {
            Some(why) => *self.verdict.rules[HOLDS].excused.entry(why).or_default() += 1,
            None => self.verdict.rules[HOLDS].breaches.push(format!(
                "{} ms: {planner} took task {task}, which is new, although its account is held since {} ms",
                at / 1_000_000,
                since / 1_000_000
            )),
        }
    }

    /// A planner refused a task of a team, at the door or later.
    fn nacked(&mut self, at: u64, planner: &str, task: u64, team: usize) {
        self.tasks.remove(&(planner.to_owned(), task));
        let asked = self.offers.remove(&(planner.to_owned(), task, u32::MAX));
        let Some((_, shape)) = asked else { return };
        let held = self.held(at, team);
        self.verdict.rules[HOLDS].cases += u64::from(held.is_some());
        let Some(ended) = self.teams[team].ended.get(&shape.key).cloned() else { return };
        let runs = self.copies.values().any(|copy| copy.team == team && copy.key == shape.key);
        let finished = held.is_some_and(|(_, by)| by.is_some());
        if !ended.comes_again || runs || finished {
            return;
        }
        let untold = self.untold.get(&ended.planner).is_some_and(|since| *since <= ended.since + SPREADS);
        let why = match self.apart(at) {
            None if at < ended.at + SPREADS => Some("it had just ended"),
            None if untold => Some("its planner lost its store before it could tell anybody"),
            why => why,
        };
        let rule = &mut self.verdict.rules[GOES_ON];
        rule.cases += 1;
        match why {
            Some(why) => *rule.excused.entry(why).or_default() += 1,
            None => rule.breaches.push(format!(
                "{} ms: {planner} refused task {task}, which had run until {} ms and was lost",
                at / 1_000_000,
                ended.at / 1_000_000
            )),
        }
    }

    fn machine_frame(
        &mut self,
        at: u64,
        planner: &str,
        machine: u64,
        message: &Message<'_>,
        delivered: bool,
    ) {
        match message {
            Message::Offer { task, send, shape, owner, .. } if !delivered => {
                let offer = ((*owner).to_owned(), *shape);
                self.offers.insert((planner.to_owned(), *task, *send), offer);
            }
            Message::Claim { task, send, owner, .. } if !delivered => {
                if let Some(shape) = self.handed.get(&(planner.to_owned(), *task)) {
                    let offer = ((*owner).to_owned(), *shape);
                    self.offers.insert((planner.to_owned(), *task, *send), offer);
                }
            }
            // Its own words count when it says them.
            Message::Accepted { task, send } if !delivered => {
                let offer = self.offers.remove(&(planner.to_owned(), *task, *send));
                if let Some((owner, shape)) = offer {
                    self.begins(at, planner, (machine, *task, *send), &owner, &shape);
                }
            }
            Message::Holds { tasks, .. } if !delivered => {
                for held in tasks {
                    let copy = (machine, held.task, held.send);
                    match held.ended {
                        Some(ending) => self.ends(at, copy, ending.comes_again()),
                        None if self.given_up.contains(&(planner.to_owned(), held.task)) => {}
                        None => match self.copies.get_mut(&copy) {
                            Some(running) => {
                                running.doubted = true;
                                if let Some(told) = self.untold.get(planner).filter(|_| running.since < at) {
                                    let since = at.saturating_sub(*told.max(&running.since));
                                    let cost = u128::from(running.rate) * u128::from(since);
                                    self.teams[running.team].unknown += cost;
                                    running.since = at;
                                }
                            }
                            None => self.begins(at, planner, copy, held.owner, &held.shape),
                        },
                    }
                }
            }
            Message::Closed { task, send, ending, .. } if !delivered => {
                self.offers.remove(&(planner.to_owned(), *task, *send));
                self.ends(at, (machine, *task, *send), ending.comes_again());
            }
            Message::Stop { task, moves: false, .. } if !delivered => {
                let of = (planner.to_owned(), *task);
                let doubted = self.copies.iter().any(|(copy, running)| copy.1 == *task && running.doubted);
                if self.placed.get(&of) == Some(&machine) && !self.withdrawn.contains(&of) && !doubted {
                    self.placed.remove(&of);
                    let words = format!(
                        "{} ms: {planner} stopped task {task}, which nobody withdrew",
                        at / 1_000_000
                    );
                    self.verdict.rules[GOES_ON].breaches.push(words);
                }
            }
            _ => {}
        }
    }

    fn begins(&mut self, at: u64, planner: &str, copy: Copy, owner: &str, shape: &Shape) {
        let Some(team) = self.team_of(owner) else { return };
        if self.handed.remove(&(planner.to_owned(), copy.1)).is_some() {
            // The same copy under another name.
            let same = |(of, runs): &(&Copy, &Running)| of.0 == copy.0 && runs.key == shape.key;
            let same: Vec<Copy> = self.copies.iter().filter(same).map(|(of, _)| *of).collect();
            same.into_iter().for_each(|copy| self.ends(at, copy, true));
        }
        self.accrue(at, team);
        let rate = self.rate(shape);
        let (planner, key) = (planner.to_owned(), shape.key);
        let running = Running { team, rate, key, planner: planner.clone(), since: at, doubted: false };
        self.copies.insert(copy, running);
        self.keys.insert((planner.to_owned(), copy.1), shape.key);
        let is_new = self.teams[team].known.insert(shape.key);
        self.verdict.rules[GOES_ON].cases += u64::from(!is_new);
        let of = &mut self.teams[team];
        of.rate += rate;
        of.most_rate = of.most_rate.max(of.rate);
        if !is_new {
            return;
        }
        of.new.insert(shape.key, (rate, at, None));
        of.workers += 1;
        let Some(taken) =
            self.tasks.remove(&(planner.to_owned(), copy.1)).filter(|t| t.shape.key == shape.key)
        else {
            return;
        };
        let reserved = self.reserved(team);
        let nanos = |amount: u64| u128::from(amount) * 1_000_000_000;
        // Each worker's reserve is rounded up to a whole unit.
        let rounding = nanos(self.teams[team].workers);
        let part = taken.part.max(self.part(at, team).unwrap_or(0));
        let near_the_end = self.months_end(at);
        let rule = &mut self.verdict.rules[CAPS];
        rule.cases += 1;
        if reserved > nanos(part) + rounding && !near_the_end {
            rule.breaches.push(format!(
                "{} ms: {planner} added task {} although new workers of its team have reserved {} of {part}",
                at / 1_000_000,
                copy.1,
                reserved / 1_000_000_000
            ));
        }
        let settles = u128::from(self.teams[team].rate) * u128::from(SETTLES);
        if taken.spent > nanos(part) + settles + self.teams[team].unknown {
            match taken.excused {
                Some(why) => *self.verdict.rules[CAPS].excused.entry(why).or_default() += 1,
                None => self.verdict.rules[CAPS].breaches.push(format!(
                    "{} ms: {planner} added task {} although its team had spent {} of {part}",
                    at / 1_000_000,
                    copy.1,
                    taken.spent / 1_000_000_000
                )),
            }
        }
        self.teams[taken.team].left = part.saturating_sub((taken.spent / 1_000_000_000) as u64);
    }

    fn ends(&mut self, at: u64, copy: Copy, comes_again: bool) {
        let Some(Running { team, rate, key, planner, since, .. }) = self.copies.remove(&copy) else { return };
        self.accrue(at, team);
        self.over.push((planner.clone(), team, rate, since, at));
        let team = &mut self.teams[team];
        team.ended.insert(key, Ended { at, comes_again, planner, since });
        team.rate -= rate;
        if let Some((.., over)) = team.new.get_mut(&key) {
            over.get_or_insert(at);
        }
    }

    fn order(&mut self, at: u64, words: &str) {
        let words: Vec<&str> = words.split_whitespace().collect();
        if let ["cap", name, number, amount] = words[..]
            && let (Ok(number), Ok(amount)) = (number.parse(), amount.parse())
            && let Some(terms) = &self.terms
            && let Some(team) = terms.teams.iter().position(|team| team.name == name)
        {
            self.teams[team].caps.push((at, number, amount));
        }
        if let ["hold" | "clear", account, number, ref rest @ ..] = words[..]
            && let Ok(number) = number.parse()
        {
            let finish_by = rest.get(1).and_then(|by| by.parse().ok());
            let (account, held) = (account.to_owned(), words[0] == "hold");
            self.holds.push(Hold { at, account, number, held, finish_by });
        }
    }

    // The books' own exchange.

    fn books_frame(
        &mut self,
        at: u64,
        from: &str,
        to: &str,
        message: &Message<'_>,
        len: usize,
        delivered: bool,
    ) {
        if !delivered {
            self.verdict.frames += 1;
            self.verdict.frame_bytes += len as u64;
        }
        match message {
            // What few copy is nobody else's to have.
            Message::Tips { tips, log: None, .. } => {
                for tip in tips {
                    if *tip.writer == *from && !delivered {
                        let told = self.told.entry((from.to_owned(), tip.life)).or_default();
                        if told.last().is_none_or(|(_, number)| *number < tip.number) {
                            told.push((at, tip.number));
                        }
                    }
                    let has = self.has.entry((from.to_owned(), tip.writer.to_owned(), tip.life)).or_default();
                    *has = (*has).max(tip.number);
                }
            }
            Message::Rows { writer, life, after, rows, skip, rest, log: None, .. } if delivered => {
                if **writer == *from && !rows.is_empty() {
                    self.told_at.insert(from.to_owned(), at);
                }
                let whole = rows.len() as u64 - u64::from(*rest > 0);
                if *skip == 0 && whole > 0 {
                    let has = self.has.entry((to.to_owned(), (*writer).to_owned(), *life)).or_default();
                    *has = (*has).max(after + whole);
                }
                rows.iter().take(whole as usize).for_each(|row| self.row(writer, row.0));
            }
            _ => {}
        }
    }

    fn row(&mut self, writer: &str, row: &[u8]) {
        let Some((kind, body)) = row.split_first_chunk::<2>() else { return };
        let purses: Vec<(String, u32, u64)> = match u16::from_be_bytes(*kind) {
            PURSE => match minicbor::decode::<(String, u32, PurseTold)>(body) {
                Ok((team, month, purse)) => vec![(team, month, purse.spent)],
                Err(_) => return,
            },
            SUM => match minicbor::decode::<SumTold>(body) {
                Ok(sum) => sum.purses.into_iter().map(|((team, month), p)| (team, month, p.spent)).collect(),
                Err(_) => return,
            },
            _ => return,
        };
        for (team, month, spent) in purses {
            let charged = self.charged.entry((writer.to_owned(), team, month)).or_default();
            *charged = (*charged).max(spent);
        }
    }

    /// What all planners said that they charged a team in the present month.
    fn charged(&self, team: usize) -> u64 {
        let Some(terms) = &self.terms else { return 0 };
        let month = terms.first_month + self.month;
        let is = |(_, of, at): &&(String, String, u32)| *of == terms.teams[team].name && *at == month;
        self.charged.iter().filter(|(key, _)| is(key)).map(|(_, spent)| *spent).sum()
    }

    fn charged_once(&mut self, team: usize, when: &str) {
        let spent = (self.teams[team].spent / 1_000_000_000) as u64;
        let charged = self.charged(team);
        if spent == 0 && charged == 0 {
            return;
        }
        // The last second's rows may not have been told.
        let losses = (1 + self.losses) as f64 * self.teams[team].most_rate as f64 * (EACH_LOSS as f64 / 1e9);
        let slack = spent as f64 * PART + losses;
        let rule = &mut self.verdict.rules[CHARGED];
        rule.cases += 1;
        let off = charged as f64 - spent as f64;
        if off.abs() > slack {
            let name = self.terms.as_ref().map_or("", |terms| &terms.teams[team].name);
            rule.breaches.push(format!(
                "team {name}, {when}: {charged} were charged where {spent} were spent, {slack:.0} may be off"
            ));
        }
    }

    /// How the day came out.
    pub fn finish(mut self) -> BooksVerdict {
        let end = self.end;
        self.unseen = false;
        for team in 0..self.teams.len() {
            self.accrue(end, team);
            self.charged_once(team, "at the end");
            let Some(terms) = &self.terms else { break };
            let of = &self.teams[team];
            let figures = TeamFigures {
                cap: terms.teams[team].cap,
                spent: (of.spent / 1_000_000_000) as u64,
                charged: self.charged(team),
                workers: of.workers,
                left: of.left,
            };
            self.verdict.figures.insert(terms.teams[team].name.clone(), figures);
        }
        self.equal(end);
        self.verdict
    }

    /// What a writer had told a while before the end, every other scheduler that is up has.
    fn equal(&mut self, end: u64) {
        let apart = self.apart(end);
        let rule = &mut self.verdict.rules[EQUAL];
        for ((writer, life), told) in &self.told {
            let newest = self.told.range((writer.clone(), life + 1)..).next();
            // What an earlier life wrote is in the first row of the later one.
            if newest.is_some_and(|((next, _), _)| next == writer) {
                continue;
            }
            let Some((at, number)) = told.iter().rfind(|(at, _)| at + KNOWN <= end) else { continue };
            for planner in self.up.iter().filter(|planner| *planner != writer) {
                let has = self.has.get(&(planner.clone(), writer.clone(), *life)).copied().unwrap_or(0);
                rule.cases += 1;
                if has >= *number {
                    continue;
                }
                match apart {
                    Some(why) => *rule.excused.entry(why).or_default() += 1,
                    None => rule.breaches.push(format!(
                        "{planner} has {has} rows of {writer}, who told {number} at {} ms",
                        at / 1_000_000
                    )),
                }
            }
        }
    }
}
