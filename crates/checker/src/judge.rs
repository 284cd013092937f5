//! The judge: walks through a capture once and keeps what the rules need to know.
//!
//! A planner is held to what had been delivered to it and to what it wrote. Times are the tap's. What a
//! killed planner held is no longer its duty; while a planner was stopped it can't be late.

use crate::books::BooksVerdict;
use crate::figures::{ERRORED, Figures, NACKED, PLACED, TAKEN, WITHDRAWN};
use mulleinhub_capture::{CaseTerms, Deed, Effect, Reach, Record, Side, Stamped, Terms};
use mulleinhub_protocol::{self as protocol, Ending, ListReader, Message, Mode, Reason, Shape};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Frames that come within this of the end of an unread stretch were written at a time nobody saw.
const UNSEEN: u64 = 50_000_000;
/// What one turn of a planner writes on several connections, the tap reads within this, in whatever order.
const ONE_TURN: u64 = 20_000_000;
/// A planner's time-outs run by its own clock, from before its bytes reach the tap.
const CLOCK_SLACK: u64 = 5_000_000;

/// What broke a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// Nanoseconds of the tap's clock.
    pub at: u64,
    pub planner: String,
    pub task: Option<u64>,
    pub machine: Option<u64>,
    pub words: String,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ruling {
    /// How often the day put the rule to the test.
    pub cases: u64,
    pub breaches: Vec<Breach>,
    /// Tests whose outcome the traffic can't tell, and why.
    pub excused: BTreeMap<&'static str, u64>,
}

#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub terms: Option<Terms>,
    pub rules: [Ruling; 5],
    pub figures: Figures,
    pub machines_lost: u64,
    pub end: u64,
    /// Where the day keeps books.
    pub books: Option<BooksVerdict>,
}

impl Verdict {
    pub const NAMES: [&'static str; 5] = [
        "no task lost",
        "no effect twice",
        "drains kept",
        "no cold machine pushed over",
        "services stay spread",
    ];

    pub fn holds(&self) -> bool {
        self.rules.iter().all(|rule| rule.breaches.is_empty())
            && self.books.as_ref().is_none_or(BooksVerdict::holds)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Client,
    Machine(u64),
    List,
}

struct Wire {
    planner: String,
    kind: Kind,
    /// Pieces of a list that came on it and that is not whole yet.
    list: ListReader,
    /// The owner's name, on client links.
    owner: String,
    open: bool,
    /// When the planner had the client's hello, and when the connection was over.
    greeted_at: Option<u64>,
    ended_at: Option<u64>,
    /// The machine's life, as its welcome on this link told.
    life: Option<u64>,
    /// The planner's life in which the link was opened.
    held: Vec<(u64, u32)>,
    unread_until: Option<u64>,
    unread: bool,
    /// Frames on their way, by side and number.
    under_way: [VecDeque<(u32, Vec<u8>)>; 2],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Placed,
    Nacked,
    Errored,
}

#[derive(Debug)]
struct Sent {
    at: u64,
    machine: u64,
    wire: u32,
    send: u32,
    gives_up_at: u64,
    accepted: bool,
    /// The planner knows that it is over.
    over: bool,
    /// The planner has proof that it never ran.
    never_ran: bool,
}

#[derive(Debug)]
struct Task {
    shape: Shape,
    owner: String,
    taken: Option<u64>,
    /// When its owner asked.
    asked: u64,
    deadline: u64,
    sends: Vec<Sent>,
    answer: Option<(Answer, u64)>,
    ended: bool,
    withdrawn: bool,
    /// Questions of its owner that one more answer may follow.
    questions: u32,
    /// The wire on which its owner asked last.
    wire: u32,
    /// No answer is owed: handed over, or adopted.
    owes_none: bool,
}

impl Task {
    fn new(shape: Shape, owner: &str, wire: u32, deadline: u64) -> Self {
        Self {
            shape,
            owner: owner.to_owned(),
            taken: None,
            asked: deadline,
            deadline,
            sends: Vec::new(),
            answer: None,
            ended: false,
            withdrawn: false,
            questions: 0,
            wire,
            owes_none: false,
        }
    }

    /// One that the planner did not take from an owner's ask.
    fn of_machine(shape: Shape, owner: &str, wire: u32) -> Self {
        Self { owes_none: true, ..Self::new(shape, owner, wire, u64::MAX) }
    }
}

#[derive(Default)]
struct Planner {
    life: u32,
    up: bool,
    stopped_since: Option<u64>,
    /// Stretches in which it stood still.
    stood: Vec<(u64, u64)>,
    tasks: BTreeMap<u64, Task>,
    /// Machines told to drain or to be gone, since when.
    closed: BTreeMap<u64, u64>,
}

/// A breach that would be none if so many of these sends proved to have been called back in the same turn.
struct Suspicion {
    rule: usize,
    breach: Breach,
    needed: usize,
    sends: Vec<(u64, u32)>,
}

#[derive(Default)]
pub struct Judge {
    verdict: Verdict,
    wires: BTreeMap<u32, Wire>,
    planners: BTreeMap<String, Planner>,
    /// Since when a machine is up, cold.
    up_since: BTreeMap<u64, u64>,
    cold_offers: BTreeMap<u64, VecDeque<(u64, f64)>>,
    cold_met: BTreeMap<u64, bool>,
    suspicions: Vec<Suspicion>,
}

impl Judge {
    pub fn hear(&mut self, stamped: &Stamped<'_>) {
        let at = stamped.at;
        self.verdict.end = at;
        self.confirm(at);
        match &stamped.record {
            Record::Terms(terms) => self.verdict.terms = Some(terms.clone()),
            Record::Opened { link, opener, opened } => self.opened(*link, opener, opened),
            Record::Frame { link, side, number, bytes } => {
                self.verdict.figures.frames += 1;
                self.verdict.figures.frame_bytes += bytes.len() as u64;
                if let Some(wire) = self.wires.get_mut(link) {
                    wire.under_way[usize::from(*side == Side::Opened)].push_back((*number, bytes.to_vec()));
                }
                self.frame(at, *link, *side, bytes, false);
            }
            Record::Delivered { link, side, number } => {
                let Some(wire) = self.wires.get_mut(link) else { return };
                let queue = &mut wire.under_way[usize::from(*side == Side::Opened)];
                while let Some((n, bytes)) = queue.pop_front() {
                    if n == *number {
                        self.frame(at, *link, *side, &bytes, true);
                        break;
                    }
                }
            }
            Record::Ended { link, .. } => self.ended(at, *link),
            Record::Unread { link, on, .. } => {
                if let Some(wire) = self.wires.get_mut(link) {
                    wire.unread = *on;
                    wire.unread_until = (!on).then_some(at);
                }
            }
            Record::Deed { deed, who, machine } => self.deed(at, *deed, who, *machine),
            Record::Order { .. } | Record::Close { .. } => {}
        }
    }

    fn opened(&mut self, link: u32, opener: &str, opened: &str) {
        if opened.starts_with("books-") {
            return;
        }
        let machine = opened.strip_prefix("machine-").and_then(|n| n.parse().ok());
        let (planner, kind, owner) = match machine {
            Some(machine) => (opener, Kind::Machine(machine), ""),
            None if opened == "list" => (opener, Kind::List, ""),
            None => (opened, Kind::Client, opener),
        };
        self.wires.insert(
            link,
            Wire {
                planner: planner.to_owned(),
                kind,
                list: ListReader::default(),
                owner: owner.to_owned(),
                open: true,
                greeted_at: None,
                ended_at: None,
                life: None,
                held: Vec::new(),
                unread_until: None,
                unread: false,
                under_way: Default::default(),
            },
        );
    }

    fn ended(&mut self, at: u64, link: u32) {
        let Some(wire) = self.wires.get_mut(&link) else { return };
        wire.open = false;
        wire.ended_at.get_or_insert(at);
        let planner = wire.planner.clone();
        if !matches!(wire.kind, Kind::Machine(_)) {
            return;
        }
        if let Some(planner) = self.planners.get_mut(&planner) {
            let sends = planner.tasks.values_mut().flat_map(|task| &mut task.sends);
            // Not known to be over for the planner, but it need not wait for it any longer.
            sends.filter(|sent| sent.wire == link && !sent.accepted).for_each(|sent| sent.over = true);
        }
    }

    fn deed(&mut self, at: u64, deed: Deed, who: &str, machine: Option<u64>) {
        match deed {
            Deed::Started => {
                let planner = self.planners.entry(who.to_owned()).or_default();
                planner.life += 1;
                planner.up = true;
                planner.tasks.clear();
                planner.closed.clear();
                planner.stopped_since = None;
            }
            Deed::Killed => {
                self.settle_planner(at, who, true);
                let planner = self.planners.entry(who.to_owned()).or_default();
                planner.up = false;
                planner.tasks.clear();
            }
            Deed::Stopped => self.planners.entry(who.to_owned()).or_default().stopped_since = Some(at),
            Deed::Continued => {
                let planner = self.planners.entry(who.to_owned()).or_default();
                if let Some(since) = planner.stopped_since.take() {
                    planner.stood.push((since, at));
                }
            }
            Deed::MachineUp => {
                if let Some(machine) = machine {
                    self.up_since.insert(machine, at);
                    self.cold_offers.remove(&machine);
                    self.cold_met.insert(machine, false);
                }
            }
            Deed::MachineDown => {
                self.verdict.machines_lost += 1;
                self.lost_with(machine);
            }
            Deed::FellOver => {
                self.lost_with(machine);
                let words = "it fell over, and stays down".to_owned();
                self.breach(3, Breach { at, planner: String::new(), task: None, machine, words });
            }
            Deed::TroubleBegins | Deed::TroubleEnds | Deed::StoreLost | Deed::StoreOld => {}
        }
    }

    /// Its tasks run no longer: whatever planners know, they hold nothing there.
    fn lost_with(&mut self, machine: Option<u64>) {
        for planner in self.planners.values_mut() {
            let sends = planner.tasks.values_mut().flat_map(|task| &mut task.sends);
            sends.filter(|sent| Some(sent.machine) == machine).for_each(|sent| sent.over = true);
        }
    }

    fn breach(&mut self, rule: usize, breach: Breach) {
        self.verdict.rules[rule].breaches.push(breach);
    }

    fn case(&self, shape: &Shape) -> Option<CaseTerms> {
        self.verdict.terms.as_ref()?.cases.get(shape.use_case as usize).cloned()
    }

    /// At this instant the owner had no connection on which it could be answered.
    fn is_away(&self, planner: &str, owner: &str, at: u64) -> bool {
        let there = |wire: &Wire| {
            wire.planner == planner
                && wire.owner == owner
                && wire.greeted_at.is_some_and(|greeted| greeted <= at)
                && wire.ended_at.is_none_or(|ended| ended > at)
        };
        !self.wires.values().any(there)
    }

    /// Connections of this owner of which something that the planner wrote was not read.
    fn unread(&self, planner: &str, owner: &str) -> impl Iterator<Item = &Wire> {
        self.wires.values().filter(move |w| w.planner == planner && w.owner == owner && w.unread)
    }

    /// What the planner answered after this instant may stand on one that ended, where nobody saw it. Met: an
    /// answer in time on a connection that was not read any more, and again on the next one, when asked for.
    fn was_unread(&self, planner: &str, owner: &str, since: u64) -> bool {
        self.unread(planner, owner).any(|wire| wire.ended_at.is_some_and(|ended| ended > since))
    }

    /// The frame may have been written long before the tap read it.
    fn is_unseen(&self, at: u64, link: u32) -> bool {
        let wire = &self.wires[&link];
        wire.unread || wire.unread_until.is_some_and(|until| at < until + UNSEEN)
    }

    /// One frame: written into the tap, or (`delivered`) handed on by it.
    fn frame(&mut self, at: u64, link: u32, side: Side, bytes: &[u8], delivered: bool) {
        let Ok(message) = protocol::decode(bytes) else { return };
        let Some(wire) = self.wires.get(&link) else { return };
        let (planner, kind) = (wire.planner.clone(), wire.kind);
        match (kind, side, delivered) {
            (Kind::Client, Side::Opener, true) => self.asked(at, link, &planner, &message),
            (Kind::Client, Side::Opener, false) => self.asking(at, link, &planner, &message),
            (Kind::Client, Side::Opened, false) => self.answered(at, link, &planner, &message),
            (Kind::Machine(machine), Side::Opener, false) => self.sent(at, link, &planner, machine, &message),
            (Kind::Machine(machine), Side::Opener, true) => {
                if let Message::Offer { shape, .. } = message {
                    self.reaches(at, machine, &shape);
                }
            }
            (Kind::Machine(machine), Side::Opened, true) => self.told(at, link, &planner, machine, &message),
            (Kind::List, Side::Opened, true) => match message {
                Message::List { kind, entries, .. } => self.listed(at, &planner, kind, &entries),
                Message::ListPiece { kind, version, number, last, entries } => {
                    // A planner is held to a list from its last piece on.
                    let Some(wire) = self.wires.get_mut(&link) else { return };
                    if let Ok(Some(whole)) = wire.list.take(kind, version, number, last, &entries) {
                        self.listed(at, &planner, whole.kind, &whole.entries());
                    }
                }
                _ => {}
            },
            _ => {}
        }
    }

    // What owners ask.

    /// An owner wrote: its patience begins.
    fn asking(&mut self, at: u64, link: u32, planner: &str, message: &Message<'_>) {
        let Message::Ask { task, shape, patience, .. } = message else { return };
        let owner = self.wires[&link].owner.clone();
        let planner = self.planners.entry(planner.to_owned()).or_default();
        planner
            .tasks
            .entry(*task)
            .or_insert_with(|| Task { asked: at, ..Task::new(*shape, &owner, link, at + patience) });
    }

    fn asked(&mut self, at: u64, link: u32, planner: &str, message: &Message<'_>) {
        if let (Message::Hello { .. }, Some(wire)) = (message, self.wires.get_mut(&link)) {
            wire.greeted_at = Some(at);
        }
        let owner = self.wires[&link].owner.clone();
        let Some(planner) = self.planners.get_mut(planner) else { return };
        match message {
            Message::Ask { task, .. } | Message::Learn { task } => {
                if let Some(task) = planner.tasks.get_mut(task) {
                    task.questions += 1;
                    task.wire = link;
                }
            }
            Message::Withdraw { task } => {
                if let Some(task) = planner.tasks.get_mut(task) {
                    task.withdrawn = true;
                }
            }
            Message::HandOver { task, shape, .. } => {
                planner.tasks.entry(*task).or_insert_with(|| Task::of_machine(*shape, &owner, link));
            }
            _ => {}
        }
    }

    // What planners answer: the first rule, and the nacks of the second.

    fn answered(&mut self, at: u64, link: u32, name: &str, message: &Message<'_>) {
        let (id, answer) = match message {
            Message::Taken { task } => {
                let Some(planner) = self.planners.get_mut(name) else { return };
                let Some(task) = planner.tasks.get_mut(task) else { return };
                if task.taken.is_none() && !task.owes_none {
                    task.taken = Some(at);
                    let case = task.shape.use_case;
                    self.verdict.rules[0].cases += 1;
                    self.verdict.figures.count(case, TAKEN);
                }
                return;
            }
            Message::Ended { task, ending } => {
                *self.verdict.figures.endings.entry(ending.name()).or_default() += 1;
                let Some(planner) = self.planners.get_mut(name) else { return };
                if let Some(task) = planner.tasks.get_mut(task) {
                    task.ended = true;
                    task.sends.iter_mut().for_each(|sent| sent.over = true);
                }
                return;
            }
            Message::Placed { task, .. } => (*task, Answer::Placed),
            Message::Nacked { task, .. } => (*task, Answer::Nacked),
            Message::Errored { task } => (*task, Answer::Errored),
            _ => return,
        };
        let Some(planner) = self.planners.get_mut(name) else { return };
        let Some(task) = planner.tasks.get_mut(&id) else { return };
        let breach =
            |words: String| Breach { at, planner: name.to_owned(), task: Some(id), machine: None, words };
        let (shape, taken, deadline, owner) = (task.shape, task.taken, task.deadline, task.owner.clone());
        let asked = task.asked;
        if let Some((before, _)) = task.answer {
            if before != answer && !task.ended {
                self.breach(0, breach(format!("answered {answer:?} after {before:?}")));
            } else if task.questions == 0 {
                self.breach(0, breach(format!("answered {answer:?} twice, and nobody had asked again")));
            } else {
                task.questions -= 1;
            }
            return;
        }
        task.answer = Some((answer, at));
        task.questions = 0;
        let may_have_run = task.sends.iter().any(|sent| !sent.never_ran);
        if answer != Answer::Placed {
            task.sends.iter_mut().for_each(|sent| sent.over = true);
        }
        let Some(taken) = taken else { return };
        let column = match answer {
            Answer::Placed => PLACED,
            Answer::Nacked => NACKED,
            Answer::Errored => ERRORED,
        };
        self.verdict.figures.count(shape.use_case, column);
        self.verdict.figures.take_to_answer.saturating_record((at - taken) / 1000);
        let slack = self.verdict.terms.as_ref().map_or(0, |terms| terms.answer_slack);
        if at > deadline + slack {
            let planner = &self.planners[name];
            // It could not be in time if it stood still when the time was over.
            // Or if the ask lay unread meanwhile, which a planner that had just started can't tell.
            let stood = planner.stood.iter().any(|(from, to)| {
                let over_it = *from <= deadline + slack && *to + slack >= at;
                let lay = *from <= asked && asked <= *to && at <= deadline + slack + (to - asked);
                over_it || lay
            });
            if self.is_away(name, &owner, deadline + slack) {
                *self.verdict.rules[0].excused.entry("late because its owner was away").or_default() += 1;
            } else if self.is_unseen(at, link) || self.was_unread(name, &owner, asked) {
                *self.verdict.rules[0].excused.entry("written while nobody read").or_default() += 1;
            } else if stood {
                *self.verdict.rules[0].excused.entry("late because the planner stood still").or_default() +=
                    1;
            } else {
                let late = (at - deadline) / 1_000_000;
                self.breach(0, breach(format!("answered {late} ms after the client timeout")));
            }
        }
        if answer == Answer::Nacked && may_have_run {
            self.verdict.rules[1].cases += 1;
            if let Some(case) = self.case(&shape) {
                let harmless = match case.effect {
                    Effect::Replayable => true,
                    Effect::Referenced => case.group == Reach::All,
                    Effect::SingleUse => false,
                };
                if !harmless {
                    self.breach(1, breach(format!("nacked a {} task that may have run", case.name)));
                }
            }
        }
    }

    // What planners send: rules one, two, three and five.

    fn sent(&mut self, at: u64, link: u32, name: &str, machine: u64, message: &Message<'_>) {
        match message {
            Message::Offer { task, send, shape, time_out, owner } => {
                self.offer(at, link, name, machine, *task, *send, shape, *time_out, owner);
            }
            Message::Recall { task, send }
            | Message::Stop { task, send, .. }
            | Message::Disown { task, send } => {
                if let Some(sent) = self.send_of(name, *task, *send, machine) {
                    sent.over |= !sent.accepted;
                    self.called_back(name, *task, *send);
                }
            }
            _ => {}
        }
    }

    /// What seemed out was called back in the turn that sent again.
    fn called_back(&mut self, planner: &str, task: u64, send: u32) {
        self.suspicions.retain_mut(|suspicion| {
            if suspicion.breach.planner == planner {
                let before = suspicion.sends.len();
                suspicion.sends.retain(|sent| *sent != (task, send));
                suspicion.needed = suspicion.needed.saturating_sub(before - suspicion.sends.len());
            }
            suspicion.needed > 0
        });
    }

    /// Nothing of that turn can come any more: what is still suspected is so.
    fn confirm(&mut self, at: u64) {
        while self.suspicions.first().is_some_and(|s| s.breach.at + ONE_TURN < at) {
            let suspicion = self.suspicions.remove(0);
            self.breach(suspicion.rule, suspicion.breach);
        }
    }

    fn send_of(&mut self, planner: &str, task: u64, send: u32, machine: u64) -> Option<&mut Sent> {
        let task = self.planners.get_mut(planner)?.tasks.get_mut(&task)?;
        task.sends.iter_mut().rev().find(|sent| sent.send == send && sent.machine == machine)
    }

    #[allow(clippy::too_many_arguments)]
    fn offer(
        &mut self,
        at: u64,
        link: u32,
        name: &str,
        machine: u64,
        id: u64,
        send: u32,
        shape: &Shape,
        time_out: u64,
        owner: &str,
    ) {
        let breach = |words: String| Breach {
            at,
            planner: name.to_owned(),
            task: Some(id),
            machine: Some(machine),
            words,
        };
        let unseen = self.is_unseen(at, link);
        let ended = !self.wires[&link].open;
        let case = self.case(shape);
        let mut broken: Vec<(usize, Breach)> = Vec::new();
        let mut suspected: Vec<Suspicion> = Vec::new();
        let planner = self.planners.entry(name.to_owned()).or_default();
        let task = planner.tasks.entry(id).or_insert_with(|| Task::of_machine(*shape, owner, u32::MAX));
        self.verdict.figures.offers += 1;
        if task.sends.is_empty() {
            self.verdict.figures.tasks_offered += 1;
            if let Some(taken) = task.taken {
                self.verdict.figures.take_to_send.saturating_record((at - taken) / 1000);
            }
        }
        // Rule one: nothing after the final answer.
        if let Some((answer, _)) = task.answer
            && !unseen
        {
            broken.push((0, breach(format!("sent after it was answered {answer:?}"))));
        }
        // Rule two: one send at a time, and again only as far as the effect allows.
        if !task.sends.is_empty() {
            self.verdict.rules[1].cases += 1;
        }
        // Where the tap doesn't read, a call back may wait unseen.
        let unread = |sent: &Sent| self.wires.get(&sent.wire).is_some_and(|wire| wire.unread);
        let is_out = |sent: &&Sent| {
            !sent.over && (sent.accepted || (at + CLOCK_SLACK < sent.gives_up_at && !unread(sent)))
        };
        let out = task.sends.iter().find(is_out);
        if let (Some(sent), false) = (out, unseen) {
            let words = format!("sent again while send {} is out at machine {}", sent.send, sent.machine);
            let sends = vec![(id, sent.send)];
            suspected.push(Suspicion { rule: 1, breach: breach(words), needed: 1, sends });
        }
        if let (Some(case), Some(first)) = (&case, task.sends.iter().find(|sent| !sent.never_ran)) {
            let (first_at, first_machine) = (first.at, first.machine);
            match case.effect {
                Effect::Replayable => {}
                Effect::SingleUse => {
                    broken.push((1, breach("sent again though an earlier send may have run".to_owned())));
                }
                Effect::Referenced => {
                    let in_group = is_in(&self.verdict.terms, case.group, first_machine, machine);
                    if !in_group {
                        let words = format!(
                            "sent outside the group of machine {first_machine}, where it may have run"
                        );
                        broken.push((1, breach(words)));
                    } else if at > first_at + case.window && !unseen {
                        let late = (at - first_at) / 1_000_000;
                        broken.push((
                            1,
                            breach(format!("sent again {late} ms after a send that may have run")),
                        ));
                    }
                }
            }
        }
        // Rule three: nothing to a machine that was told to drain or to be gone.
        if let Some(since) = planner.closed.get(&machine) {
            let grace = self.verdict.terms.as_ref().map_or(0, |terms| terms.drain_grace);
            if at > since + grace && !unseen {
                let late = (at - since) / 1_000_000;
                broken.push((2, breach(format!("sent {late} ms after its drain was told"))));
            }
        }
        let sent = Sent {
            at,
            machine,
            wire: link,
            send,
            gives_up_at: at.saturating_add(time_out),
            accepted: false,
            // The connection had ended already, and the planner was about to learn of it.
            over: ended,
            never_ran: false,
        };
        planner.tasks.get_mut(&id).expect("is there").sends.push(sent);
        // Rule five: this send included, so many of one service and no more.
        if let Some((reach, most)) = case.as_ref().and_then(|case| case.spread) {
            self.verdict.rules[4].cases += 1;
            let terms = &self.verdict.terms;
            let held = |(id, task): (&u64, &Task)| {
                let out = |sent: &&Sent| is_out(sent) && is_in(terms, reach, sent.machine, machine);
                let same = task.shape.service == shape.service;
                task.sends.iter().find(out).filter(|_| same).map(|sent| (*id, sent.send))
            };
            let sends: Vec<(u64, u32)> = self.planners[name].tasks.iter().filter_map(held).collect();
            let (count, most) = (sends.len(), most as usize);
            if count > most && !unseen {
                let words = format!("{count} tasks of service {:x}, {most} at most", shape.service);
                suspected.push(Suspicion { rule: 4, breach: breach(words), needed: count - most, sends });
            }
        }
        self.suspicions.extend(suspected);
        for (rule, breach) in broken {
            self.breach(rule, breach);
        }
    }

    /// What a machine told, and the planner has been handed.
    fn told(&mut self, at: u64, link: u32, name: &str, machine: u64, message: &Message<'_>) {
        match message {
            Message::Accepted { task, send } => {
                if let Some(sent) = self.send_of(name, *task, *send, machine) {
                    sent.accepted = !sent.over;
                }
            }
            Message::Closed { task, send, ending, reason } => {
                if *ending == Ending::Nacked {
                    let reason = match reason {
                        Reason::Untold => "no reason told",
                        Reason::NoCores => "no cores",
                        Reason::NoMemory => "no memory",
                        Reason::LineFull => "line full",
                        Reason::NotHere => "not here",
                        Reason::HandedBack => "handed back",
                    };
                    *self.verdict.figures.nacks.entry(reason).or_default() += 1;
                }
                if let Some(sent) = self.send_of(name, *task, *send, machine) {
                    sent.over = true;
                    sent.never_ran |= matches!(ending, Ending::Nacked | Ending::Recalled);
                }
            }
            Message::Welcome { life, .. } => {
                if let Some(wire) = self.wires.get_mut(&link) {
                    wire.life = Some(*life);
                }
            }
            Message::Holds { tasks, last } => {
                self.holds(at, link, name, machine, tasks);
                if *last {
                    self.lacks(link, name, machine);
                }
            }
            _ => {}
        }
    }

    fn holds(&mut self, at: u64, link: u32, name: &str, machine: u64, tasks: &[protocol::Held<'_>]) {
        let Some(wire) = self.wires.get_mut(&link) else { return };
        wire.held.extend(tasks.iter().map(|held| (held.task, held.send)));
        let Some(planner) = self.planners.get_mut(name) else { return };
        for held in tasks {
            let task = planner
                .tasks
                .entry(held.task)
                .or_insert_with(|| Task::of_machine(held.shape, held.owner, u32::MAX));
            let known = task.sends.iter_mut().find(|sent| sent.send == held.send && sent.machine == machine);
            match known {
                Some(sent) if held.ended.is_some() => sent.over = true,
                Some(sent) => {
                    sent.accepted |= !sent.over;
                    sent.wire = link;
                }
                None if held.ended.is_none() => task.sends.push(Sent {
                    at,
                    machine,
                    wire: link,
                    send: held.send,
                    gives_up_at: at,
                    accepted: true,
                    over: false,
                    never_ran: false,
                }),
                None => {}
            }
        }
    }

    /// The telling is whole. What an older connection to the same life carried and the machine lacks never
    /// ran.
    fn lacks(&mut self, link: u32, name: &str, machine: u64) {
        let wire = &self.wires[&link];
        let (life, held) = (wire.life, wire.held.clone());
        let Some(planner) = self.planners.get_mut(name) else { return };
        for (id, task) in &mut planner.tasks {
            let here = |sent: &&mut Sent| sent.machine == machine && sent.wire != link;
            for sent in task.sends.iter_mut().filter(here) {
                let same_life = life.is_some() && self.wires.get(&sent.wire).is_some_and(|w| w.life == life);
                if !held.contains(&(*id, sent.send)) && same_life && !sent.accepted {
                    (sent.over, sent.never_ran) = (true, true);
                } else if !held.contains(&(*id, sent.send)) {
                    sent.over = true;
                }
            }
        }
    }

    // The list: the third rule's tests.

    fn listed(&mut self, at: u64, name: &str, kind: protocol::ListKind, entries: &[protocol::Entry<'_>]) {
        let Some(planner) = self.planners.get_mut(name) else { return };
        for entry in entries {
            if entry.mode == Mode::Active {
                planner.closed.remove(&entry.machine);
            } else {
                planner.closed.entry(entry.machine).or_insert_with(|| {
                    self.verdict.rules[2].cases += 1;
                    at
                });
            }
        }
        if kind == protocol::ListKind::Whole {
            let listed: BTreeSet<u64> = entries.iter().map(|entry| entry.machine).collect();
            let named = |machine: &u64| listed.contains(machine);
            let all: Vec<u64> =
                self.verdict.terms.iter().flat_map(|t| &t.machines).map(|m| m.machine).collect();
            for machine in all.iter().filter(|machine| !named(machine)) {
                planner.closed.entry(*machine).or_insert(at);
            }
        }
    }

    // Cold machines: the fourth rule.

    fn reaches(&mut self, at: u64, machine: u64, shape: &Shape) {
        let Some(terms) = &self.verdict.terms else { return };
        let Some(since) = self.up_since.get(&machine).copied() else { return };
        let Some(spot) = terms.machines.iter().find(|m| m.machine == machine) else { return };
        let age = at.saturating_sub(since);
        if age >= terms.warm_after {
            return;
        }
        if let Some(met) = self.cold_met.get_mut(&machine)
            && !std::mem::replace(met, true)
        {
            self.verdict.rules[3].cases += 1;
        }
        let mean = terms.cases.iter().map(|c| c.work as f64).sum::<f64>() / terms.cases.len().max(1) as f64;
        let weight = terms.cases.get(shape.use_case as usize).map_or(1.0, |c| c.work as f64 / mean.max(1.0));
        let offers = self.cold_offers.entry(machine).or_default();
        offers.push_back((at, weight));
        while offers.front().is_some_and(|(then, _)| at - then >= terms.fall) {
            offers.pop_front();
        }
        let warmth = age as f64 / terms.warm_after as f64;
        let pace = spot.cold_from + (1.0 - spot.cold_from) * warmth;
        let bears = terms.tip * spot.starts_a_second * pace * terms.fall as f64 / 1e9;
        let sum: f64 = offers.iter().map(|(_, weight)| weight).sum();
        // A tenth for chance, as the operators' own count allows.
        if offers.len() > terms.young_limit as usize && sum > bears * 1.1 {
            let words = format!("{} offers reached it within its window, it bears {bears:.1}", offers.len());
            self.breach(3, Breach { at, planner: String::new(), task: None, machine: Some(machine), words });
        }
    }

    // The end.

    /// What a planner owes when it is killed, or when the day is over.
    fn settle_planner(&mut self, at: u64, name: &str, killed: bool) {
        let slack = self.verdict.terms.as_ref().map_or(0, |terms| terms.answer_slack);
        let Some(planner) = self.planners.get(name) else { return };
        let mut breaches = Vec::new();
        let mut withdrawn = Vec::new();
        for (id, task) in &planner.tasks {
            if task.taken.is_none() || task.answer.is_some() {
                continue;
            }
            if task.withdrawn || task.ended {
                withdrawn.push(task.shape.use_case);
                continue;
            }
            let due = task.deadline + slack;
            let excuse = if killed && at <= due {
                "held by a planner when it was killed"
            } else if at <= due {
                "not due when the day ended"
            } else if planner.stopped_since.is_some_and(|since| since <= due)
                || planner.stood.iter().any(|(from, to)| *from <= due && *to + slack >= at)
            {
                "unanswered while the planner stood still"
            } else if self.unread(name, &task.owner).next().is_some() {
                "perhaps written while nobody read"
            } else if self.is_away(name, &task.owner, due) {
                "its owner was away and never came back"
            } else {
                let words =
                    format!("never answered; its owner {} waited until {} ms", task.owner, due / 1_000_000);
                breaches.push(Breach { at, planner: name.to_owned(), task: Some(*id), machine: None, words });
                continue;
            };
            *self.verdict.rules[0].excused.entry(excuse).or_default() += 1;
        }
        withdrawn.into_iter().for_each(|case| self.verdict.figures.count(case, WITHDRAWN));
        breaches.into_iter().for_each(|breach| self.breach(0, breach));
    }

    pub fn finish(mut self) -> Verdict {
        self.confirm(u64::MAX);
        let names: Vec<String> = self.planners.keys().cloned().collect();
        for name in names {
            if self.planners[&name].up {
                self.settle_planner(self.verdict.end, &name, false);
            }
        }
        for rule in &mut self.verdict.rules {
            rule.breaches.sort_by_key(|breach| breach.at);
        }
        self.verdict
    }
}

fn is_in(terms: &Option<Terms>, reach: Reach, one: u64, other: u64) -> bool {
    let spot = |machine: u64| {
        let terms = terms.as_ref()?;
        terms.machines.iter().find(|m| m.machine == machine).map(|m| (m.cell, m.zone))
    };
    match reach {
        Reach::Machine => one == other,
        Reach::Cell => spot(one).map(|s| s.0) == spot(other).map(|s| s.0),
        Reach::Zone => spot(one).map(|s| s.1) == spot(other).map(|s| s.1),
        Reach::All => true,
    }
}
