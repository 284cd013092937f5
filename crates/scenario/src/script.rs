//! The script of a day.

use crate::stage::{MOST_MACHINES, MOST_PLANNERS};
use crate::trouble::Trouble;
use garde::Validate;
use mulleinhub_emulators::{Planned, UseBook, Worth};
use mulleinhub_interface::Idempotency;
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_settings::{Args, Diagnostics, Directive, Range, Scope, SourceSpan, Value, ValueError};
use mulleinhub_workload_settings::{
    MachineKind, RuleSettings, SharedLedgerSettings, SiteSettings, UseCaseSettings, check, directive_spans,
    range_or, read_ledger_settings, read_machine_kind, read_rules, read_use_case,
};
use std::sync::Arc;

/// What a use case's tasks are like on this day.
#[derive(Clone, Debug)]
pub struct CaseDay {
    pub case: UseCaseSettings,
    pub share: f64,
    pub asks: Vec<(f64, f64)>,
    pub lives: Range<Duration>,
    pub batch: Range<usize>,
    pub work: Range<Duration>,
    pub cores_use: Range<f64>,
    pub memory_use: Range<f64>,
}

/// How machines behave; each machine draws its own from the ranges.
#[derive(Clone, Debug)]
pub struct MachineModel {
    pub accepts_cores: f64,
    pub accepts_memory: f64,
    pub look: Range<Duration>,
    pub line: Range<usize>,
    pub starts: Range<usize>,
    pub setup: Range<f64>,
    pub keeps: Range<usize>,
    pub speed: Range<f64>,
    pub cold_from: Range<f64>,
    pub tip: f64,
    pub yes_when_running: bool,
    pub displaces: bool,
    pub tells_use: bool,
    pub tells_pressure: bool,
    pub note_every: Duration,
    /// Where draining machines send tasks away: how long apart.
    pub sends_away: Option<Duration>,
}

#[derive(Clone, Debug)]
pub struct ListModel {
    pub late: Duration,
    pub period: Duration,
    pub silent_notice: Duration,
    pub lines_a_second: f64,
    pub asked: bool,
}

#[derive(Clone, Debug)]
pub struct OwnerModel {
    pub again: Range<Duration>,
    pub settle: Duration,
    pub reconnect: Duration,
}

#[derive(Clone, Debug, Validate)]
#[garde(allow_unvalidated)]
pub struct Day {
    pub name: String,
    pub seed: u64,
    #[garde(custom(a_day))]
    pub length: Duration,
    #[garde(range(min = 1, max = 999))]
    pub planners: usize,
    #[garde(range(min = 1, max = 999))]
    pub owners: usize,
    /// Connections that are kept open and say almost nothing, to all planners together.
    #[garde(range(max = 200_000))]
    pub silent: usize,
    #[garde(range(min = 1, max = 16))]
    pub halls: u32,
    #[garde(range(min = 1, max = 200))]
    pub racks: u32,
    #[garde(range(min = 1, max = 900))]
    pub machines: usize,
    #[garde(range(max = 900))]
    pub spare_machines: usize,
    /// New tasks a second, of all owners together.
    #[garde(range(min = 0.0, max = 100_000.0))]
    pub rate: f64,
    pub rules: RuleSettings,
    pub kinds: Vec<MachineKind>,
    pub cases: Vec<CaseDay>,
    pub machine: MachineModel,
    pub list: ListModel,
    pub owner: OwnerModel,
    pub delay: Range<Duration>,
    pub cross_delay: Range<Duration>,
    pub machine_price: f64,
    pub cross_hall_price: f64,
    pub troubles: Vec<Trouble>,
    /// Of each planner, in place of its default.
    #[garde(inner(range(min = 1)))]
    pub most_in_hand: Option<usize>,
    /// So many random troubles are added, drawn from the seed.
    pub random_troubles: Range<usize>,
    /// Machines and work as a trace tells them, in place of the above.
    pub fleet: Option<Arc<Fleet>>,
    /// Books that the planners keep together.
    pub books: Option<BooksDay>,
}

/// The books of a day.
#[derive(Clone, Debug, PartialEq)]
pub struct BooksDay {
    pub terms: SharedLedgerSettings,
    /// How long a planner's disk takes, in virtual time.
    pub syncs: Range<Duration>,
    /// When a month ends, from the beginning of the day.
    pub month_ends: Option<Duration>,
}

/// An instant in the middle of a month, and one at which a month ends, in milliseconds of Unix time: the
/// first of November 2026 in UTC.
const MIDDLE: u64 = 1_792_022_400_000;
const MONTH_ENDS: u64 = 1_793_491_200_000;

impl BooksDay {
    /// Days begin in October 2026: twelve times the year, and the month's place in it from 0.
    pub const FIRST_MONTH: u32 = 2026 * 12 + 9;

    /// Teams with a cap, and what it is.
    pub(crate) fn capped(&self) -> impl Iterator<Item = (String, u64)> {
        self.terms.teams.iter().filter_map(|team| Some((team.name.clone(), team.cap?)))
    }

    /// The time of day at which the day begins, in milliseconds of Unix time.
    pub fn begins(&self) -> u64 {
        self.month_ends.map_or(MIDDLE, |after| MONTH_ENDS - after.nanos() / 1_000_000)
    }
}

fn read_books_day(directive: &Directive, planners: usize, faults: &mut Diagnostics) -> BooksDay {
    let mut scope = Scope::of(directive);
    let mut terms = read_ledger_settings(directive, &mut scope, faults);
    for line in scope.each("site") {
        let mut args = Args::of(line);
        let planner: Option<usize> = args.next(faults);
        let site = SiteSettings::read(&mut args, faults);
        args.finish(faults);
        let Some(planner) = planner else { continue };
        if !(1..=planners).contains(&planner) {
            faults.add(&line.span, format!("there are planners 1 to {planners}, and no {planner}"));
        }
        if terms.sites.insert(format!("planner-{planner}"), site).is_some() {
            faults.add(&line.span, format!("the site of planner {planner} stands here for the second time"));
        }
    }
    if terms.zone != "UTC" {
        faults.add(&directive.span, "days count their months in UTC");
    }
    let (low, high) = ms(2, 8);
    let syncs = range_or(&mut scope, "syncs", low, high, faults);
    let month_ends = scope.optional("month-ends", faults);
    scope.finish(faults);
    BooksDay { terms, syncs, month_ends }
}

/// A machine of a trace: its place among the kinds and racks, and when it is up and down.
#[derive(Clone, Debug, PartialEq)]
pub struct Spot {
    pub kind: usize,
    pub rack: u32,
    pub changes: Vec<(Timestamp, bool)>,
}

impl Spot {
    /// Whether the machine is up at an instant.
    pub fn is_up(&self, at: Timestamp) -> bool {
        self.changes.iter().rev().find(|(since, _)| *since <= at).is_some_and(|(_, up)| *up)
    }
}

/// What a trace tells: a spot for each of the day's machines, the work of each owner, and what it uses.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub spots: Vec<Spot>,
    pub wanted: Vec<Arc<Vec<Planned>>>,
    pub uses: Arc<UseBook>,
}

fn a_day(span: &Duration, (): &()) -> garde::Result {
    let fine = *span >= Duration::from_secs(1) && *span <= Duration::from_secs(24 * 3600);
    if fine { Ok(()) } else { Err(garde::Error::new("a second to a day is wanted")) }
}

/// `0.5/1`: cores and GiB of memory.
#[derive(Clone, Copy)]
struct AskFor(f64, f64);

impl Value for AskFor {
    const EXPECTED: &'static str = "cores and GiB of memory, as 0.5/1";

    fn parse(text: &str) -> Result<Self, ValueError> {
        let wanted = ValueError::unexpected::<Self>;
        let (cores, memory) = text.split_once('/').ok_or_else(wanted)?;
        let (cores, memory) = (f64::parse(cores)?, f64::parse(memory)?);
        if cores > 0.0 && memory > 0.0 { Ok(Self(cores, memory)) } else { Err(wanted()) }
    }
}

fn ms(low: u64, high: u64) -> (Duration, Duration) {
    (Duration::from_nanos(low * 1_000_000), Duration::from_nanos(high * 1_000_000))
}

fn read_case_day(directive: &Directive, faults: &mut Diagnostics) -> Option<CaseDay> {
    let mut scope = Scope::of(directive);
    let case = read_use_case(directive, &mut scope, faults);
    let share = scope.optional_or("share", 1.0, faults);
    let mut asks = Vec::new();
    if let Some(line) = scope.once("asks", faults) {
        let mut args = Args::of(line);
        while args.peek().is_some() {
            asks.extend(args.next::<AskFor>(faults).map(|ask| (ask.0, ask.1)));
        }
    }
    if asks.is_empty() {
        asks.push((1.0, 1.0));
    }
    let (low, high) = ms(10_000, 20_000);
    let lives = range_or(&mut scope, "lives", low, high, faults);
    let batch = range_or(&mut scope, "batch", 1, 4, faults);
    let (low, high) = ms(150, 250);
    let work = range_or(&mut scope, "work", low, high, faults);
    let cores_use = range_or(&mut scope, "cores-use", 0.3, 0.7, faults);
    let memory_use = range_or(&mut scope, "memory-use", 0.5, 0.8, faults);
    scope.finish(faults);
    Some(CaseDay { case: case?, share, asks, lives, batch, work, cores_use, memory_use })
}

fn read_machine(directive: Option<&Directive>, place: &SourceSpan, faults: &mut Diagnostics) -> MachineModel {
    let mut scope = directive.map_or_else(|| Scope::new(&[], place.clone()), Scope::of);
    let (look_low, look_high) = ms(5, 30);
    let model = MachineModel {
        accepts_cores: scope.optional_or("accepts-cores", 2.0, faults),
        accepts_memory: scope.optional_or("accepts-memory", 1.5, faults),
        look: range_or(&mut scope, "look", look_low, look_high, faults),
        line: range_or(&mut scope, "line", 15, 30, faults),
        starts: range_or(&mut scope, "starts", 2, 4, faults),
        setup: range_or(&mut scope, "setup", 4.0, 8.0, faults),
        keeps: range_or(&mut scope, "keeps", 4, 10, faults),
        speed: range_or(&mut scope, "speed", 0.85, 1.15, faults),
        cold_from: range_or(&mut scope, "cold-from", 0.17, 0.5, faults),
        tip: scope.optional_or("tip", 2.0, faults),
        yes_when_running: scope.optional_or("yes-when-running", false, faults),
        displaces: scope.optional_or("displaces", true, faults),
        tells_use: scope.optional_or("tells-use", true, faults),
        tells_pressure: scope.optional_or("tells-pressure", true, faults),
        note_every: scope.optional_or("note-every", Duration::from_secs(1), faults),
        sends_away: scope.optional("sends-away", faults),
    };
    scope.finish(faults);
    model
}

fn read_list(directive: Option<&Directive>, place: &SourceSpan, faults: &mut Diagnostics) -> ListModel {
    let mut scope = directive.map_or_else(|| Scope::new(&[], place.clone()), Scope::of);
    let model = ListModel {
        late: scope.optional_or("late", Duration::from_secs(1), faults),
        period: scope.optional_or("period", Duration::from_nanos(500_000_000), faults),
        silent_notice: scope.optional_or("silent-notice", Duration::from_secs(8), faults),
        lines_a_second: scope.optional_or("lines-a-second", 20_000.0, faults),
        asked: scope.optional_or("asked", false, faults),
    };
    scope.finish(faults);
    model
}

fn read_owner(directive: Option<&Directive>, place: &SourceSpan, faults: &mut Diagnostics) -> OwnerModel {
    let mut scope = directive.map_or_else(|| Scope::new(&[], place.clone()), Scope::of);
    let (low, high) = ms(1_000, 3_000);
    let model = OwnerModel {
        again: range_or(&mut scope, "again", low, high, faults),
        settle: scope.optional_or("settle", Duration::from_secs(3), faults),
        reconnect: scope.optional_or("reconnect", Duration::from_nanos(300_000_000), faults),
    };
    scope.finish(faults);
    model
}

/// Reads a script's directives; nothing where a part that must stand is missing.
pub fn parse_day(directives: &[Directive], faults: &mut Diagnostics) -> Option<Day> {
    let place = SourceSpan { file: 0, bytes: 0..0 };
    let mut scope = Scope::new(directives, place.clone());
    let name = scope.optional_or("name", "a day".to_owned(), faults);
    let seed = scope.optional_or("seed", 1u64, faults);
    let length = scope.required::<Duration>("length", faults);
    let planners = scope.optional_or("planners", 3, faults);
    let owners = scope.optional_or("owners", 4, faults);
    let silent = scope.optional_or("silent", 0, faults);
    let halls = scope.optional_or("halls", 2, faults);
    let racks = scope.optional_or("racks", 4, faults);
    let machines = scope.optional_or("machines", 12, faults);
    let spare_machines = scope.optional_or("spare-machines", 0, faults);
    let rate = scope.optional_or("rate", 20.0, faults);
    let rules = read_rules(scope.once("rules", faults), faults);
    let kinds: Vec<MachineKind> =
        scope.each("kind").into_iter().filter_map(|d| read_machine_kind(d, faults)).collect();
    let case_directives = scope.each("use-case");
    let cases: Vec<CaseDay> = case_directives.iter().filter_map(|d| read_case_day(d, faults)).collect();
    let machine = read_machine(scope.once("machine", faults), &place, faults);
    let list = read_list(scope.once("list", faults), &place, faults);
    let owner = read_owner(scope.once("owner", faults), &place, faults);
    let delay =
        range_or(&mut scope, "delay", Duration::from_nanos(100_000), Duration::from_nanos(400_000), faults);
    let (low, high) = ms(1, 3);
    let cross_delay = range_or(&mut scope, "cross-delay", low, high, faults);
    let machine_price = scope.optional_or("machine-price", 0.0, faults);
    let cross_hall_price = scope.optional_or("cross-hall-price", 0.0, faults);
    let random_troubles = range_or(&mut scope, "random-troubles", 0, 0, faults);
    let most_in_hand = scope.optional("most-in-hand", faults);
    let books = scope.once("books", faults).map(|directive| read_books_day(directive, planners, faults));
    let mut troubles = Vec::new();
    for line in scope.each("at") {
        let Some(trouble) = Trouble::read(line, faults) else { continue };
        if let Some(case) = trouble.case()
            && !cases.iter().any(|c| c.case.name == case)
        {
            faults.add(&line.span, format!("there is no use case {case}"));
        }
        troubles.push(trouble);
    }
    scope.finish(faults);
    if kinds.is_empty() {
        faults.add(&place, "a kind of machine is missing: kind NAME { cores N; memory N }");
    }
    if cases.is_empty() {
        faults.add(&place, "a use case is missing: use-case NAME { ... }");
    }
    for (case, directive) in cases.iter().zip(&case_directives) {
        if case.case.to_use_case(&kinds).is_none() {
            faults.add(&directive.span, "its kind of machine is not among the kinds");
        }
    }
    let day = Day {
        name,
        seed,
        length: length?,
        planners,
        owners,
        silent,
        halls,
        racks,
        machines,
        spare_machines,
        rate,
        rules,
        kinds,
        cases,
        machine,
        list,
        owner,
        delay,
        cross_delay,
        machine_price,
        cross_hall_price,
        troubles,
        most_in_hand,
        random_troubles,
        fleet: None,
        books,
    };
    check(&day, &directive_spans(directives), &place, faults);
    if let Some(words) = day.too_large() {
        faults.add(&place, words);
    }
    faults.is_empty().then_some(day)
}

impl Day {
    /// Why the stage has no room for this many machines or planners.
    pub fn too_large(&self) -> Option<String> {
        let machines = self.machines.saturating_add(self.spare_machines);
        if machines > MOST_MACHINES {
            return Some(format!("{machines} machines, {MOST_MACHINES} at most"));
        }
        let planners = self.planners;
        (planners > MOST_PLANNERS).then(|| format!("{planners} planners, {MOST_PLANNERS} at most"))
    }

    /// What service is worth on this day: by use case, and by size over the mean ask's.
    pub fn worth(&self) -> Worth {
        let asks = self.cases.iter().flat_map(|case| case.asks.iter().map(move |ask| (case.share, *ask)));
        let weight = |of: fn((f64, f64)) -> f64| {
            let (sum, all) = asks
                .clone()
                .fold((0.0, 0.0), |(sum, all), (share, ask)| (sum + share * of(ask), all + share));
            sum / f64::max(all, 1e-9)
        };
        Worth {
            mean_cores: weight(|ask| ask.0),
            mean_memory: weight(|ask| ask.1),
            earnings: self.cases.iter().map(|case| case.case.value_per_second).collect(),
            start_seconds: self.cases.iter().map(|case| case.case.start_seconds).collect(),
        }
    }

    /// The rack of a machine, both from 0.
    pub fn rack_of(&self, n: usize) -> u32 {
        let spot = self.fleet.as_ref().and_then(|fleet| fleet.spots.get(n));
        spot.map_or(n as u32 % self.racks, |spot| spot.rack % self.racks)
    }

    /// The place of a machine's kind among the kinds.
    pub fn kind_of(&self, n: usize) -> usize {
        let spot = self.fleet.as_ref().and_then(|fleet| fleet.spots.get(n));
        spot.map_or((n / self.racks as usize) % self.kinds.len(), |spot| spot.kind)
    }

    /// The widest group in which one copy of a task stands: machines of different racks must know of each
    /// other where it is wider than a rack.
    pub(crate) fn groups_are_wide(&self) -> bool {
        use mulleinhub_interface::FailureDomain;
        let wide = |case: &CaseDay| match case.case.idempotency {
            Idempotency::Keyed { domain: group, .. } => {
                matches!(group, FailureDomain::Zone | FailureDomain::Cluster)
            }
            _ => false,
        };
        self.cases.iter().any(wide)
    }

    /// What the day does, in words, a line each.
    pub fn explain(&self) -> Vec<String> {
        let span = mulleinhub_workload_settings::format_duration;
        let mut lines = vec![format!(
            "{}: {} long, {} planners, {} machines ({} spare) in {} racks and {} halls, \
             {} owners, {} new tasks a second",
            self.name,
            span(self.length),
            self.planners,
            self.machines,
            self.spare_machines,
            self.racks,
            self.halls,
            self.owners,
            self.rate
        )];
        if self.silent > 0 {
            lines.push(format!("{} connections are kept open and say almost nothing", self.silent));
        }
        if let Some(books) = &self.books {
            for team in &books.terms.teams {
                let cap =
                    team.cap.map_or("no cap".to_owned(), |cap| format!("a cap of {cap} micro-units a month"));
                lines.push(format!("team {}: tenants {}, {cap}", team.name, team.tenants.join(", ")));
            }
            let replicas = books.terms.replicas;
            lines.extend(replicas.map(|many| format!("of ordinary work {many} other planners keep a copy")));
            lines.extend(books.month_ends.map(|after| format!("a month ends after {}", span(after))));
        }
        for case in &self.cases {
            let effect = match case.case.idempotency {
                Idempotency::Idempotent => "may run again".to_owned(),
                Idempotency::NonIdempotent => "must never run twice".to_owned(),
                Idempotency::Keyed { window, .. } => {
                    format!(
                        "one copy stands in its group, and it may be sent there again for {}",
                        span(window)
                    )
                }
            };
            lines.push(format!(
                "{}: start wanted within {}, given up after {}; {effect}",
                case.case.name,
                span(case.case.latency_objective),
                span(case.case.client_timeout)
            ));
        }
        lines.extend(self.troubles.iter().map(Trouble::words));
        if self.random_troubles.high > 0 {
            let Range { low, high } = self.random_troubles;
            lines.push(format!("and {low} to {high} random troubles, drawn from the seed"));
        }
        lines
    }
}
