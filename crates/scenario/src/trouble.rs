//! Troubles: how a script states them, how they are said in words, and random ones.

use mulleinhub_emulators::Dice;
use mulleinhub_interface::Duration;
use mulleinhub_settings::{Args, Diagnostics, Directive, Fraction, Range, Value, suggest};
use mulleinhub_workload_settings::format_duration;

/// What is struck.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    All,
    /// By numbers from 1, as scripts state them.
    Machine(u64),
    Rack(u32),
    Hall(u32),
    Kind(String),
    Planner(usize),
    /// The links between a planner (or all) and machines, owners or the list.
    Link {
        planner: Option<usize>,
        far: Far,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Far {
    Machine(u64),
    Rack(u32),
    Owners,
    List,
    Machines,
    /// Other planners, with whom books are kept.
    Planner(usize),
    Planners,
    /// Planners whose numbers don't leave the same rest when halved.
    OtherHalf,
}

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    Hang,
    Slow {
        by: Range<f64>,
    },
    FastErrors {
        part: Range<f64>,
    },
    Neighbour {
        part: Range<f64>,
        every: Range<Duration>,
    },
    Unanswered {
        case: String,
        part: Range<f64>,
        errs: bool,
    },
    Heavy {
        case: String,
        part: Range<f64>,
        by: Range<f64>,
    },
    Restart {
        down: Range<Duration>,
    },
    Gone,
    Drain {
        then_gone: Option<Range<Duration>>,
    },
    Grow {
        part: Range<f64>,
    },
    Surge {
        by: Range<f64>,
    },
    HotService {
        part: Range<f64>,
    },
    Kill {
        down: Range<Duration>,
        store: Store,
    },
    Stop,
    Stalls {
        stop: Range<Duration>,
        every: Range<Duration>,
    },
    Roll {
        down: Range<Duration>,
        every: Range<Duration>,
    },
    Reconnect {
        part: Range<f64>,
    },
    AskAgain {
        part: Range<f64>,
    },
    ListSilent,
    ListLate {
        by: Range<Duration>,
    },
    Cut,
    Reset,
    HalfOpen,
    StallLink,
    Delay {
        by: Range<Duration>,
    },
    SlowReader,
    Storm {
        part: Range<f64>,
        within: Range<Duration>,
    },
    SilentBurst {
        part: Range<f64>,
    },
    SlowSenders {
        part: Range<f64>,
    },
    /// The operators give an order, a line of their orders file.
    Order {
        line: String,
    },
    Clock {
        ahead: bool,
        by: Range<Duration>,
    },
    DiskFull,
    OneWay,
}

/// What a killed planner finds on its disk when it comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Store {
    Kept,
    Lost,
    /// As it was when it was killed the time before.
    Old,
}

/// One trouble of a day, with what is left to chance.
#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    pub at: Range<Duration>,
    pub length: Range<Duration>,
    pub what: What,
    pub target: Target,
    /// Of the target, this part is struck, one at the least.
    pub share: Range<f64>,
    pub chance: f64,
}

/// The kinds by the words of scripts, and what each may strike.
const KINDS: [(&str, Struck); 34] = [
    ("hang", Struck::Machines),
    ("slow", Struck::Machines),
    ("fast-errors", Struck::Machines),
    ("neighbour", Struck::Machines),
    ("unanswered", Struck::Machines),
    ("errs", Struck::Machines),
    ("heavy", Struck::Machines),
    ("restart", Struck::Machines),
    ("gone", Struck::Machines),
    ("drain", Struck::Machines),
    ("grow", Struck::Nothing),
    ("surge", Struck::Nothing),
    ("hot-service", Struck::Nothing),
    ("kill", Struck::Planners),
    ("stop", Struck::Planners),
    ("stalls", Struck::Planners),
    ("roll", Struck::Planners),
    ("reconnect", Struck::Nothing),
    ("ask-again", Struck::Nothing),
    ("list-silent", Struck::Nothing),
    ("list-late", Struck::Nothing),
    ("cut", Struck::Connections),
    ("reset", Struck::Connections),
    ("half-open", Struck::Connections),
    ("stall-link", Struck::Connections),
    ("delay", Struck::Connections),
    ("slow-reader", Struck::Connections),
    ("storm", Struck::Nothing),
    ("silent-burst", Struck::Nothing),
    ("slow-senders", Struck::Nothing),
    ("order", Struck::Planners),
    ("clock", Struck::Planners),
    ("disk-full", Struck::Planners),
    ("one-way", Struck::Connections),
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Struck {
    Machines,
    Planners,
    Connections,
    Nothing,
}

fn share_range(low: f64, high: f64) -> Range<f64> {
    Range { low, high }
}

fn spans(low_ms: u64, high_ms: u64) -> Range<Duration> {
    Range { low: Duration::from_nanos(low_ms * 1_000_000), high: Duration::from_nanos(high_ms * 1_000_000) }
}

/// An option's word and its range of parts, spans or factors.
fn option<T: Value>(args: &mut Args<'_>, word: &str, default: T, faults: &mut Diagnostics) -> T {
    if args.next_if(word) { args.next(faults).unwrap_or(default) } else { default }
}

fn part(args: &mut Args<'_>, word: &str, low: f64, high: f64, faults: &mut Diagnostics) -> Range<f64> {
    let range = Range { low: Fraction(low), high: Fraction(high) };
    let range = option(args, word, range, faults);
    share_range(range.low.0, range.high.0)
}

impl Trouble {
    /// Reads `at WHEN [for SPAN] KIND [TARGET] [options]`.
    pub fn read(directive: &Directive, faults: &mut Diagnostics) -> Option<Self> {
        let mut args = Args::of(directive);
        let at = args.next::<Range<Duration>>(faults)?;
        let length = if args.next_if("for") { args.next::<Range<Duration>>(faults)? } else { spans(0, 0) };
        let Some(kind) = args.next_word() else {
            faults.add(&directive.span, "the kind of trouble is missing, as hang or restart");
            return None;
        };
        let names: Vec<&str> = KINDS.iter().map(|(name, _)| *name).collect();
        let Some((_, struck)) = KINDS.iter().find(|(name, _)| *name == kind.text) else {
            let words = format!("{} is no trouble", kind.text);
            faults.add_with_hint(&kind.span, words, suggest(&kind.text, &names));
            return None;
        };
        let target = read_target(*struck, &mut args, faults)?;
        let case = |args: &mut Args<'_>, faults: &mut Diagnostics| {
            if args.next_if("case") {
                args.next::<String>(faults)
            } else {
                faults.add(&directive.span, format!("{} needs: case NAME", kind.text));
                None
            }
        };
        let what = match kind.text.as_str() {
            "hang" => What::Hang,
            "slow" => What::Slow { by: option(&mut args, "by", share_range(2.0, 8.0), faults) },
            "fast-errors" => What::FastErrors { part: part(&mut args, "part", 0.3, 1.0, faults) },
            "neighbour" => What::Neighbour {
                part: part(&mut args, "part", 0.3, 0.75, faults),
                every: option(&mut args, "every", spans(1_000, 5_000), faults),
            },
            "unanswered" | "errs" => What::Unanswered {
                case: case(&mut args, faults)?,
                part: part(&mut args, "part", 0.7, 1.0, faults),
                errs: kind.text == "errs",
            },
            "heavy" => What::Heavy {
                case: case(&mut args, faults)?,
                part: part(&mut args, "part", 0.05, 0.2, faults),
                by: option(&mut args, "by", share_range(2.0, 5.0), faults),
            },
            "restart" => What::Restart { down: option(&mut args, "down", spans(500, 3_000), faults) },
            "gone" => What::Gone,
            "drain" => {
                What::Drain { then_gone: args.next_if("then-gone").then(|| args.next(faults)).flatten() }
            }
            "grow" => What::Grow { part: part(&mut args, "part", 1.0, 1.0, faults) },
            "surge" => What::Surge { by: option(&mut args, "by", share_range(1.5, 2.5), faults) },
            "hot-service" => What::HotService { part: part(&mut args, "part", 0.1, 0.3, faults) },
            "kill" => {
                let down = option(&mut args, "down", spans(300, 3_000), faults);
                let word = if args.next_if("store") { args.next_word() } else { None };
                let store = match word.map(|word| word.text.as_str()) {
                    None => Store::Kept,
                    Some("lost") => Store::Lost,
                    Some("old") => Store::Old,
                    Some(other) => {
                        faults.add(&directive.span, format!("store {other}: lost or old is wanted"));
                        Store::Kept
                    }
                };
                What::Kill { down, store }
            }
            "stop" => What::Stop,
            "stalls" => What::Stalls {
                stop: option(&mut args, "stop", spans(300, 2_000), faults),
                every: option(&mut args, "every", spans(2_000, 4_000), faults),
            },
            "roll" => What::Roll {
                down: option(&mut args, "down", spans(200, 1_500), faults),
                every: option(&mut args, "every", spans(1_500, 4_000), faults),
            },
            "reconnect" => What::Reconnect { part: part(&mut args, "part", 0.3, 1.0, faults) },
            "ask-again" => What::AskAgain { part: part(&mut args, "part", 0.1, 0.6, faults) },
            "list-silent" => What::ListSilent,
            "list-late" => What::ListLate { by: option(&mut args, "by", spans(1_000, 4_000), faults) },
            "cut" => What::Cut,
            "reset" => What::Reset,
            "half-open" => What::HalfOpen,
            "stall-link" => What::StallLink,
            "delay" => What::Delay { by: option(&mut args, "by", spans(20, 300), faults) },
            "slow-reader" => What::SlowReader,
            "storm" => What::Storm {
                part: part(&mut args, "part", 1.0, 1.0, faults),
                within: option(&mut args, "within", spans(2_000, 2_000), faults),
            },
            "silent-burst" => What::SilentBurst { part: part(&mut args, "part", 1.0, 1.0, faults) },
            "order" => What::Order { line: args.next::<String>(faults)? },
            "clock" => {
                let ahead = args.next_if("ahead") || !args.next_if("behind");
                What::Clock { ahead, by: args.next(faults)? }
            }
            "disk-full" => What::DiskFull,
            "one-way" => What::OneWay,
            "slow-senders" => What::SlowSenders { part: part(&mut args, "part", 0.01, 0.1, faults) },
            _ => unreachable!("is one of the kinds"),
        };
        let share = part(&mut args, "share", 1.0, 1.0, faults);
        let chance = part(&mut args, "chance", 1.0, 1.0, faults).low;
        args.finish(faults);
        Some(Self { at, length, what, target, share, chance })
    }

    /// One that keeps planners' books apart, or strikes what they rest on.
    pub fn random_between(
        dice: &mut Dice,
        length: Duration,
        planners: usize,
        teams: &[(String, u64)],
    ) -> Self {
        let lasts = dice.span(length * 0.05, length * 0.3);
        let begin = dice.span(length * 0.08, length - lasts * 1.5);
        let at = Range { low: begin, high: begin };
        let planner = 1 + dice.below(planners);
        let other = 1 + dice.below(planners);
        let between = |far| Target::Link { planner: Some(planner), far };
        let halves = Target::Link { planner: None, far: Far::OtherHalf };
        let one_of = Target::Planner(planner);
        let down = spans(300, 6_000);
        let (what, target) = match dice.below(12) {
            0 => (What::Cut, between(Far::Planners)),
            1 => (What::Cut, halves),
            2 => (What::HalfOpen, between(Far::Planners)),
            3 => (What::OneWay, between(Far::Planner(other))),
            4 => (What::StallLink, halves),
            5 => (What::Delay { by: spans(50, 800) }, between(Far::Planners)),
            6 => (What::Kill { down, store: Store::Lost }, one_of),
            7 => (What::Kill { down, store: Store::Old }, one_of),
            8 => (What::Kill { down, store: Store::Kept }, Target::All),
            9 => (What::Clock { ahead: dice.happens(0.5), by: spans(200, 3_000) }, one_of),
            10 => (What::DiskFull, one_of),
            _ => {
                let (team, cap) = &teams[dice.below(teams.len())];
                let amount = (*cap as f64 * dice.between(0.5, 1.5)) as u64;
                let number = 1 + dice.below(9);
                (What::Order { line: format!("cap {team} {number} {amount}") }, one_of)
            }
        };
        let share = if target == Target::All { share_range(0.3, 0.8) } else { one() };
        Self { at, length: Range { low: lasts, high: lasts }, what, target, share, chance: 1.0 }
    }

    /// The use case that it names, if any.
    pub fn case(&self) -> Option<&str> {
        match &self.what {
            What::Unanswered { case, .. } | What::Heavy { case, .. } => Some(case),
            _ => None,
        }
    }

    /// One of random kind, target, time and strength, within a day of this length.
    /// Those of silent connections are drawn where the day has some.
    pub fn random(
        dice: &mut Dice,
        length: Duration,
        cases: &[String],
        planners: usize,
        racks: u32,
        silent: bool,
    ) -> Self {
        let case = cases[dice.below(cases.len())].clone();
        let lasts = dice.span(length * 0.08, length * 0.35);
        let begin = dice.span(length * 0.08, (length - lasts).max(length * 0.1));
        let at = Range { low: begin, high: begin };
        let planner = 1 + dice.below(planners);
        let rack = 1 + dice.below(racks as usize) as u32;
        let some = share_range(0.05, 0.35);
        let far = match dice.below(3) {
            0 => Far::Rack(rack),
            1 => Far::Machines,
            _ => Far::Owners,
        };
        let link = Target::Link { planner: Some(planner), far };
        let all = Target::All;
        let (what, target, share) = match dice.below(if silent { 32 } else { 26 }) {
            0 => (What::Hang, all, some),
            1 => (What::Slow { by: share_range(2.0, 8.0) }, all, some),
            2 => (What::FastErrors { part: share_range(0.3, 1.0) }, all, some),
            3 => {
                let every = spans(1_000, 5_000);
                (What::Neighbour { part: share_range(0.3, 0.75), every }, all, share_range(0.2, 0.5))
            }
            4 | 5 => {
                let errs = dice.happens(0.3);
                (What::Unanswered { case, part: share_range(0.7, 1.0), errs }, all, share_range(0.3, 0.6))
            }
            6 => (What::Heavy { case, part: share_range(0.05, 0.2), by: share_range(2.0, 5.0) }, all, one()),
            7 | 8 => (What::Restart { down: spans(300, 3_000) }, Target::Rack(rack), one()),
            9 => (What::Gone, all, share_range(0.05, 0.15)),
            10 => (What::Drain { then_gone: Some(spans(2_500, 6_000)) }, all, share_range(0.1, 0.3)),
            11 => (What::Grow { part: share_range(0.5, 1.0) }, all, one()),
            12 => (What::Surge { by: share_range(1.4, 2.5) }, all, one()),
            13 => (What::HotService { part: share_range(0.05, 0.3) }, all, one()),
            14 => {
                (What::Kill { down: spans(200, 4_000), store: Store::Kept }, Target::Planner(planner), one())
            }
            15 => (What::Stop, Target::Planner(planner), one()),
            16 => (
                What::Stalls { stop: spans(300, 2_000), every: spans(2_000, 4_000) },
                all,
                share_range(0.3, 0.9),
            ),
            17 => (What::Roll { down: spans(200, 1_500), every: spans(1_500, 4_000) }, all, one()),
            18 => (What::Reconnect { part: share_range(0.3, 1.0) }, all, one()),
            19 => (What::AskAgain { part: share_range(0.1, 0.6) }, all, one()),
            20 => (What::ListSilent, all, one()),
            21 => (What::Cut, link, one()),
            22 => (What::Reset, link, one()),
            23 => (What::HalfOpen, link, one()),
            24 => (What::StallLink, link, one()),
            25 => (What::SlowReader, link, one()),
            26 | 27 => (What::Storm { part: share_range(0.3, 1.0), within: spans(200, 2_000) }, all, one()),
            28 | 29 => (What::SilentBurst { part: share_range(0.3, 1.0) }, all, one()),
            _ => (What::SlowSenders { part: share_range(0.01, 0.2) }, all, one()),
        };
        let lasts = match what {
            // A process that stands still for long is one that was killed.
            What::Stop | What::StallLink => {
                dice.span(Duration::from_nanos(300_000_000), Duration::from_secs(3))
            }
            What::HalfOpen => lasts.min(Duration::from_secs(8)),
            _ => lasts,
        };
        Self { at, length: Range { low: lasts, high: lasts }, what, target, share, chance: 1.0 }
    }

    /// What it does, in a sentence.
    pub fn words(&self) -> String {
        let span = |range: &Range<Duration>| match range.low == range.high {
            true => format_duration(range.low),
            false => format!("{} to {}", format_duration(range.low), format_duration(range.high)),
        };
        let share = |range: &Range<f64>| match range.low == range.high {
            true => format!("{:.0}%", range.low * 100.0),
            false => format!("{:.0}% to {:.0}%", range.low * 100.0, range.high * 100.0),
        };
        let times = |range: &Range<f64>| match range.low == range.high {
            true => format!("{}", range.low),
            false => format!("{} to {}", range.low, range.high),
        };
        let who = self.target.words(&self.what);
        let who = if self.share.low < 1.0 { format!("{} of {who}", share(&self.share)) } else { who };
        let does = match &self.what {
            What::Hang => format!("{who} take bytes and answer nothing"),
            What::Slow { by } => format!("{who} run {} times slower", times(by)),
            What::FastErrors { part } => format!("{who} fail {} of the starts at once", share(part)),
            What::Neighbour { part, every } => {
                format!("another program takes {} of {who}, on and off every {}", share(part), span(every))
            }
            What::Unanswered { case, part, errs: false } => {
                format!("{who} leave {} of the {case} tasks unanswered", share(part))
            }
            What::Unanswered { case, part, .. } => {
                format!("{who} answer {} of the {case} tasks with errors", share(part))
            }
            What::Heavy { case, part, by } => {
                format!("{} of the {case} tasks on {who} use {} times as much", share(part), times(by))
            }
            What::Restart { down } => {
                format!("{who} restart and are down for {}; their tasks are lost", span(down))
            }
            What::Gone => format!("{who} are gone without a word"),
            What::Drain { then_gone: None } => format!("{who} drain"),
            What::Drain { then_gone: Some(after) } => {
                format!("{who} drain and are gone after {}", span(after))
            }
            What::Grow { part } => format!("{} of the spare machines come up, cold", share(part)),
            What::Surge { by } => format!("owners want {} times as many new tasks", times(by)),
            What::HotService { part } => format!("{} of the new tasks belong to one service", share(part)),
            What::Kill { down, store } => {
                let store = match store {
                    Store::Kept => "",
                    Store::Lost => " without its store",
                    Store::Old => " with its store of the kill before",
                };
                format!("{who} killed, and started again{store} after {}", span(down))
            }
            What::Order { line } => format!("the operators order at {who}: {line}"),
            What::Clock { ahead, by } => {
                format!("the clock of {who} is {} by {}", if *ahead { "ahead" } else { "behind" }, span(by))
            }
            What::DiskFull => format!("nothing can be written to the disk of {who}"),
            What::OneWay => format!("what the first writes on {who} is swallowed, and nobody is told"),
            What::Stop => format!("{who} stopped and then continued"),
            What::Stalls { stop, every } => {
                format!("{who} stand still for {} every {}, all at the same moment", span(stop), span(every))
            }
            What::Roll { down, every } => {
                format!(
                    "{who} restarted one after the other, one every {}, each down for {}",
                    span(every),
                    span(down)
                )
            }
            What::Reconnect { part } => {
                format!("{} of the owners drop their connections and come again", share(part))
            }
            What::AskAgain { part } => {
                format!("owners stop {} of their services and ask for all their tasks again", share(part))
            }
            What::ListSilent => "the list service tells nothing".to_owned(),
            What::ListLate { by } => format!("the list is later by {}", span(by)),
            What::Cut => format!("{who} are cut and can't be opened"),
            What::Reset => format!("{who} are reset in the middle of a frame"),
            What::HalfOpen => format!("{who} carry nothing, and neither side is told"),
            What::StallLink => format!("{who} stall; what was sent arrives together afterwards"),
            What::Delay { by } => format!("{who} take {} longer", span(by)),
            What::Storm { part, within } => format!(
                "{} of the silent connections and owners drop, and come back within {}",
                share(part),
                span(within)
            ),
            What::SilentBurst { part } => {
                format!("{} of the silent connections speak at the same moment", share(part))
            }
            What::SlowSenders { part } => {
                format!("{} of the silent connections send a frame, a byte a second", share(part))
            }
            What::SlowReader => format!("nothing is read from the planner's side of {who}"),
        };
        let at = span(&self.at);
        let lasts = if self.length.high > Duration::ZERO {
            format!(" for {}", span(&self.length))
        } else {
            String::new()
        };
        let chance = if self.chance < 1.0 {
            format!(" (with a chance of {:.0}%)", self.chance * 100.0)
        } else {
            String::new()
        };
        format!("at {at}{lasts}: {does}{chance}")
    }

    /// A short name for progress lines.
    pub fn name(&self) -> &'static str {
        match &self.what {
            What::Hang => "hang",
            What::Slow { .. } => "slow",
            What::FastErrors { .. } => "fast-errors",
            What::Neighbour { .. } => "neighbour",
            What::Unanswered { errs: false, .. } => "unanswered",
            What::Unanswered { .. } => "errs",
            What::Heavy { .. } => "heavy",
            What::Restart { .. } => "restart",
            What::Gone => "gone",
            What::Drain { .. } => "drain",
            What::Grow { .. } => "grow",
            What::Surge { .. } => "surge",
            What::HotService { .. } => "hot-service",
            What::Kill { .. } => "kill",
            What::Stop => "stop",
            What::Stalls { .. } => "stalls",
            What::Roll { .. } => "roll",
            What::Reconnect { .. } => "reconnect",
            What::AskAgain { .. } => "ask-again",
            What::ListSilent => "list-silent",
            What::ListLate { .. } => "list-late",
            What::Cut => "cut",
            What::Reset => "reset",
            What::HalfOpen => "half-open",
            What::StallLink => "stall-link",
            What::Delay { .. } => "delay",
            What::SlowReader => "slow-reader",
            What::Storm { .. } => "storm",
            What::SilentBurst { .. } => "silent-burst",
            What::SlowSenders { .. } => "slow-senders",
            What::Order { .. } => "order",
            What::Clock { .. } => "clock",
            What::DiskFull => "disk-full",
            What::OneWay => "one-way",
        }
    }

    pub(crate) fn struck(&self) -> Struck {
        KINDS.iter().find(|(name, _)| *name == self.name()).map_or(Struck::Nothing, |(_, struck)| *struck)
    }
}

fn one() -> Range<f64> {
    share_range(1.0, 1.0)
}

fn read_target(struck: Struck, args: &mut Args<'_>, faults: &mut Diagnostics) -> Option<Target> {
    if struck == Struck::Nothing {
        return Some(Target::All);
    }
    if struck == Struck::Connections && args.next_if("halves") {
        return Some(Target::Link { planner: None, far: Far::OtherHalf });
    }
    if struck == Struck::Connections && args.next_if("planners") {
        return Some(Target::Link { planner: None, far: Far::Planners });
    }
    if args.next_if("all") {
        return Some(match struck {
            Struck::Connections => Target::Link { planner: None, far: Far::Machines },
            _ => Target::All,
        });
    }
    let word = args.peek();
    let bad = |faults: &mut Diagnostics, wanted: &str| {
        if let Some(word) = word {
            faults.add(&word.span, format!("{} is no target here ({wanted})", word.text));
        }
        None
    };
    match struck {
        Struck::Machines if args.next_if("machine") => args.next(faults).map(Target::Machine),
        Struck::Machines if args.next_if("rack") => args.next(faults).map(Target::Rack),
        Struck::Machines if args.next_if("hall") => args.next(faults).map(Target::Hall),
        Struck::Machines if args.next_if("kind") => args.next(faults).map(Target::Kind),
        Struck::Planners if args.next_if("planner") => args.next(faults).map(Target::Planner),
        Struck::Planners if args.next_if("hall") => args.next(faults).map(Target::Hall),
        Struck::Connections if args.next_if("planner") => {
            let planner = Some(args.next(faults)?);
            let far = if args.next_if("machine") {
                Far::Machine(args.next(faults)?)
            } else if args.next_if("rack") {
                Far::Rack(args.next(faults)?)
            } else if args.next_if("owners") {
                Far::Owners
            } else if args.next_if("list") {
                Far::List
            } else if args.next_if("planner") {
                Far::Planner(args.next(faults)?)
            } else if args.next_if("planners") {
                Far::Planners
            } else {
                Far::Machines
            };
            Some(Target::Link { planner, far })
        }
        // Left out: all of them.
        _ if word.is_none_or(|w| {
            ["share", "by", "part", "case", "down", "chance", "ahead", "behind", "store"]
                .contains(&w.text.as_str())
        }) =>
        {
            Some(match struck {
                Struck::Connections => Target::Link { planner: None, far: Far::Machines },
                _ => Target::All,
            })
        }
        Struck::Machines => bad(faults, "machine N, rack N, hall N, kind NAME or all"),
        Struck::Planners => bad(faults, "planner N, hall N or all"),
        _ => bad(
            faults,
            "planner N [machine N, rack N, owners, list, planner N or planners], planners, halves or all",
        ),
    }
}

impl Target {
    fn words(&self, what: &What) -> String {
        let planners = !matches!(
            what,
            What::Hang
                | What::Slow { .. }
                | What::FastErrors { .. }
                | What::Neighbour { .. }
                | What::Unanswered { .. }
                | What::Heavy { .. }
                | What::Restart { .. }
                | What::Gone
                | What::Drain { .. }
        );
        match self {
            Self::All if planners => "all planners".to_owned(),
            Self::All => "all machines".to_owned(),
            Self::Machine(n) => format!("machine {n}"),
            Self::Rack(n) => format!("the machines of rack {n}"),
            Self::Hall(n) if planners => format!("the planners of hall {n}"),
            Self::Hall(n) => format!("the machines of hall {n}"),
            Self::Kind(name) => format!("machines of kind {name}"),
            Self::Planner(n) => format!("planner {n}"),
            Self::Link { planner, far } => {
                let planner = planner.map_or("all planners".to_owned(), |n| format!("planner {n}"));
                let far = match far {
                    Far::Machine(n) => format!("machine {n}"),
                    Far::Rack(n) => format!("rack {n}"),
                    Far::Owners => "owners".to_owned(),
                    Far::List => "the list".to_owned(),
                    Far::Machines => "machines".to_owned(),
                    Far::Planner(n) => format!("planner {n}"),
                    Far::Planners => "other planners".to_owned(),
                    Far::OtherHalf => "planners of the other half".to_owned(),
                };
                format!("the links between {planner} and {far}")
            }
        }
    }
}
