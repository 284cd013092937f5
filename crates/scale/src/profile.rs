//! Profiles: what a scale run plays, in a line-based file.
//!
//! ```text
//! name ledger-teams
//! host hollow-ledgers
//! seed 1
//! length 30s                      # what is measured, after the warm-up
//! warm-up 20s
//! schedulers 30
//! regions 5
//! zones 15                        # over all regions
//! teams 10
//! running 300                     # tasks, over the whole fleet, as are the rates that follow
//! starts 10                       # a second
//! changes 0.1                     # a second
//! failures 0                      # a minute
//! round-trip zone 0.5ms
//! round-trip region 2ms
//! round-trip between-regions 100ms
//! drops 0.001                     # the chance that a connection breaks within a second
//! cut 2 from 5s for 10s           # region 2 and the others, counted from the end of the warm-up
//! replicas 2                      # members that hold a work log; absent: all hold all
//! vary teams 10 30 100 300
//! hold-out 450                    # one more run, which no slope is fitted to
//! ```

use crate::results::{Host, Size};
use mulleinhub_interface::Duration;
use mulleinhub_settings::{
    Args, Diagnostics, Directive, Name, Scope, SourceSpan, Value, ValueError, Word, parse_text, suggest,
};

/// The longest span that a profile may measure or cut.
const MOST_SPAN: Duration = Duration::from_secs(24 * 3600);
const MOST_REPLICAS: u32 = 8;
const DEFAULT_WARM_UP: Duration = Duration::from_secs(10);
const ROUND_TRIP_ZONE: Duration = Duration::from_nanos(500_000);
const ROUND_TRIP_REGION: Duration = Duration::from_nanos(2_000_000);
const ROUND_TRIP_BETWEEN_REGIONS: Duration = Duration::from_nanos(100_000_000);

/// What a profile may change from run to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Variable {
    Schedulers,
    Workers,
    Regions,
    Zones,
    Teams,
    Running,
    Starts,
    Changes,
    Failures,
}

impl Variable {
    pub const ALL: [Self; 9] = [
        Self::Schedulers,
        Self::Workers,
        Self::Regions,
        Self::Zones,
        Self::Teams,
        Self::Running,
        Self::Starts,
        Self::Changes,
        Self::Failures,
    ];

    /// The word of the profile's file and of results.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::Schedulers => "schedulers",
            Self::Workers => "workers",
            Self::Regions => "regions",
            Self::Zones => "zones",
            Self::Teams => "teams",
            Self::Running => "running",
            Self::Starts => "starts",
            Self::Changes => "changes",
            Self::Failures => "failures",
        }
    }

    /// The variable of this word.
    #[must_use]
    pub fn of(word: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|variable| variable.word() == word)
    }

    /// The least and the most that a run can be asked for.
    fn bounds(self) -> (f64, f64) {
        match self {
            // The ledger's list of members ends there.
            Self::Schedulers => (1.0, 1_024.0),
            Self::Workers => (0.0, 100_000.0),
            Self::Regions => (1.0, 100.0),
            Self::Zones => (1.0, 1_000.0),
            Self::Teams => (0.0, 10_000.0),
            Self::Running => (0.0, 1_000_000.0),
            Self::Starts | Self::Changes => (0.0, 100_000.0),
            Self::Failures => (0.0, 10_000.0),
        }
    }

    fn is_rate(self) -> bool {
        matches!(self, Self::Starts | Self::Changes | Self::Failures)
    }

    fn check(self, value: f64) -> Result<(), String> {
        let (least, most) = self.bounds();
        if !self.is_rate() && value.fract() != 0.0 {
            return Err(format!("{} is a whole number", self.word()));
        }
        if value < least || value > most {
            return Err(format!("{} is from {least} to {most}", self.word()));
        }
        Ok(())
    }

    /// This variable's part of a size.
    #[must_use]
    pub fn value(self, size: &Size) -> f64 {
        match self {
            Self::Schedulers => size.schedulers.into(),
            Self::Workers => size.workers.into(),
            Self::Regions => size.regions.into(),
            Self::Zones => size.zones.into(),
            Self::Teams => size.teams.into(),
            Self::Running => size.running.into(),
            Self::Starts => size.starts,
            Self::Changes => size.changes,
            Self::Failures => size.failures,
        }
    }

    fn set(self, size: &mut Size, value: f64) {
        let whole = value as u32;
        match self {
            Self::Schedulers => size.schedulers = whole,
            Self::Workers => size.workers = whole,
            Self::Regions => size.regions = whole,
            Self::Zones => size.zones = whole,
            Self::Teams => size.teams = whole,
            Self::Running => size.running = whole,
            Self::Starts => size.starts = value,
            Self::Changes => size.changes = value,
            Self::Failures => size.failures = value,
        }
    }
}

/// Between two schedulers, there and back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoundTrips {
    pub zone: Duration,
    pub region: Duration,
    pub between_regions: Duration,
}

/// A region that the others can't reach for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    /// Counted from 1, as in the file.
    pub region: u32,
    /// From the end of the warm-up.
    pub from: Duration,
    pub length: Duration,
}

impl Cut {
    /// When it is healed, from the end of the warm-up.
    #[must_use]
    pub fn until(&self) -> Duration {
        self.from + self.length
    }
}

/// The variable that runs change, and to what.
#[derive(Clone, Debug, PartialEq)]
pub struct Vary {
    pub variable: Variable,
    /// Rising.
    pub values: Vec<f64>,
    /// Greater than all values.
    pub held_out: Option<f64>,
}

/// What is run, and which variable is changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    pub name: String,
    pub host: Host,
    pub seed: u64,
    /// Measured, after the warm-up.
    pub length: Duration,
    pub warm_up: Duration,
    /// What holds for all runs, but for the variable that is changed.
    pub size: Size,
    pub round_trips: RoundTrips,
    /// The chance that a connection breaks within a second.
    pub drops: f64,
    pub cuts: Vec<Cut>,
    /// Members beside the writer that hold its work log; nothing in the form where all hold all.
    pub replicas: Option<u32>,
    pub vary: Option<Vary>,
}

/// One run of a profile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunPlan {
    pub size: Size,
    /// The value of the variable that is changed; nought where none is.
    pub varied: f64,
    /// Kept out of fits.
    pub held_out: bool,
}

impl RunPlan {
    /// How long a task runs, where tasks start at all.
    #[must_use]
    pub fn task_life(&self) -> Option<Duration> {
        let seconds = f64::from(self.size.running) / self.size.starts;
        (self.size.starts > 0.0).then(|| Duration::from_secs(1) * seconds)
    }
}

impl Profile {
    /// One run for each value of the variable that is changed, and the held-out one last.
    #[must_use]
    pub fn runs(&self) -> Vec<RunPlan> {
        let Some(vary) = &self.vary else {
            return vec![RunPlan { size: self.size, varied: 0.0, held_out: false }];
        };
        let fitted = vary.values.iter().map(|value| (*value, false));
        let held_out = vary.held_out.map(|value| (value, true));
        let plan = |(varied, held_out)| {
            let mut size = self.size;
            vary.variable.set(&mut size, varied);
            RunPlan { size, varied, held_out }
        };
        fitted.chain(held_out).map(plan).collect()
    }

    /// The word of the variable that is changed.
    #[must_use]
    pub fn vary_word(&self) -> &'static str {
        self.vary.as_ref().map_or("", |vary| vary.variable.word())
    }
}

/// Reads a profile. `file` is what messages call it.
///
/// # Errors
/// All faults of the text, each with its place and cause.
pub fn parse(file: &str, text: &str) -> Result<Profile, String> {
    let mut faults = Diagnostics::default();
    let directives = parse_text(file, text, &mut faults);
    let end = text.lines().next().map_or(0, str::len);
    let whole = SourceSpan { file: 0, bytes: 0..end };
    let mut reader = Reader { scope: Scope::new(&directives, whole.clone()), faults: &mut faults, whole };
    let profile = reader.profile();
    reader.scope.finish(&mut faults);
    match profile {
        Some(profile) if faults.is_empty() => Ok(profile),
        _ => Err(faults.render()),
    }
}

impl Value for Host {
    const EXPECTED: &'static str = "hollow-ledgers, hollow-planners or real-planners";

    fn parse(text: &str) -> Result<Self, ValueError> {
        match text {
            "hollow-ledgers" => Ok(Self::HollowLedgers),
            "hollow-planners" => Ok(Self::HollowPlanners),
            "real-planners" => Ok(Self::RealPlanners),
            _ => Err(ValueError::unexpected::<Self>()),
        }
    }
}

/// Reads directives one after the other, and adds up what is wrong.
struct Reader<'a, 'f> {
    scope: Scope<'a>,
    faults: &'f mut Diagnostics,
    /// Where faults are shown that no single directive has.
    whole: SourceSpan,
}

/// A value of the varied variable, with its place.
type Placed = (f64, SourceSpan);

impl<'a> Reader<'a, '_> {
    fn profile(&mut self) -> Option<Profile> {
        let name: Option<Name> = self.scope.required("name", self.faults);
        let host: Option<Host> = self.scope.required("host", self.faults);
        let seed = self.scope.optional_or("seed", 1, self.faults);
        let length = self.length();
        let warm_up = self.scope.optional_or("warm-up", DEFAULT_WARM_UP, self.faults);
        let size = self.size();
        let round_trips = self.round_trips();
        let drops = self.drops();
        let cuts = self.cuts(length);
        let replicas = self.replicas();
        let (vary, places) = self.vary();
        let profile = Profile {
            name: name?.0,
            host: host?,
            seed,
            length: length?,
            warm_up,
            size,
            round_trips,
            drops,
            cuts: cuts.iter().map(|(cut, _)| *cut).collect(),
            replicas,
            vary,
        };
        self.check_runs(&profile, &places, &cuts);
        Some(profile)
    }

    fn length(&mut self) -> Option<Duration> {
        let length: Duration = self.scope.required("length", self.faults)?;
        if length == Duration::ZERO || length > MOST_SPAN {
            let place = self.place_of("length");
            self.faults.add(&place, "length is more than nothing and a day at the most");
            return None;
        }
        Some(length)
    }

    fn size(&mut self) -> Size {
        let mut size = Size { schedulers: 1, regions: 1, zones: 1, ..Size::default() };
        for variable in Variable::ALL {
            let Some(directive) = self.scope.once(variable.word(), self.faults) else { continue };
            let mut args = Args::of(directive);
            let word = args.peek();
            if let (Some(value), Some(word)) = (args.next::<f64>(self.faults), word) {
                self.check_value(variable, value, &word.span);
                variable.set(&mut size, value);
            }
            args.finish(self.faults);
        }
        size
    }

    fn check_value(&mut self, variable: Variable, value: f64, place: &SourceSpan) {
        if let Err(words) = variable.check(value) {
            self.faults.add(place, words);
        }
    }

    fn round_trips(&mut self) -> RoundTrips {
        let mut read = [None; 3];
        for directive in self.scope.each("round-trip") {
            let mut args = Args::of(directive);
            let kinds = ["zone", "region", "between-regions"];
            let Some(at) = kinds.iter().position(|kind| args.next_if(kind)) else {
                let place = args.peek().map_or(&directive.span, |word| &word.span);
                self.faults.add(place, "zone, region or between-regions is wanted");
                continue;
            };
            if read[at].is_some() {
                let words = format!("round-trip {} stands here for the second time", kinds[at]);
                self.faults.add(&directive.span, words);
            }
            read[at] = args.next::<Duration>(self.faults).or(read[at]);
            args.finish(self.faults);
        }
        let [zone, region, between_regions] = read;
        RoundTrips {
            zone: zone.unwrap_or(ROUND_TRIP_ZONE),
            region: region.unwrap_or(ROUND_TRIP_REGION),
            between_regions: between_regions.unwrap_or(ROUND_TRIP_BETWEEN_REGIONS),
        }
    }

    fn drops(&mut self) -> f64 {
        let drops = self.scope.optional_or("drops", 0.0, self.faults);
        if drops >= 1.0 {
            let place = self.place_of("drops");
            self.faults.add(&place, "drops is a chance from 0 to below 1");
        }
        drops
    }

    fn cuts(&mut self, length: Option<Duration>) -> Vec<(Cut, SourceSpan)> {
        let directives = self.scope.each("cut");
        let cuts = directives.into_iter().filter_map(|directive| {
            let cut = self.cut(directive)?;
            if length.is_some_and(|length| cut.until() > length) {
                self.faults.add(&directive.span, "the cut lasts longer than what is measured");
            }
            Some((cut, directive.span.clone()))
        });
        cuts.collect()
    }

    fn cut(&mut self, directive: &'a Directive) -> Option<Cut> {
        let mut args = Args::of(directive);
        let region = args.next::<u32>(self.faults)?;
        let from = self.span_after("from", &mut args, directive)?;
        let length = self.span_after("for", &mut args, directive)?;
        args.finish(self.faults);
        Some(Cut { region, from, length })
    }

    fn span_after(
        &mut self,
        word: &'static str,
        args: &mut Args<'a>,
        directive: &Directive,
    ) -> Option<Duration> {
        if !args.next_if(word) {
            let place = args.peek().map_or(&directive.span, |word| &word.span);
            self.faults.add(place, format!("{word} and a span of time are wanted"));
            return None;
        }
        args.next(self.faults)
    }

    fn replicas(&mut self) -> Option<u32> {
        let replicas: u32 = self.scope.optional("replicas", self.faults)?;
        if replicas == 0 || replicas > MOST_REPLICAS {
            let place = self.place_of("replicas");
            self.faults.add(&place, format!("replicas is from 1 to {MOST_REPLICAS}"));
        }
        Some(replicas)
    }

    /// What is changed, and where its values stand, the held-out one last.
    fn vary(&mut self) -> (Option<Vary>, Vec<SourceSpan>) {
        let directive = self.scope.once("vary", self.faults);
        let hold_out = self.scope.once("hold-out", self.faults);
        let Some(directive) = directive else {
            if let Some(hold_out) = hold_out {
                self.faults.add(&hold_out.span, "hold-out needs a variable to vary");
            }
            return (None, Vec::new());
        };
        let Some(variable) = self.variable(directive) else { return (None, Vec::new()) };
        let words = directive.args.iter().skip(1);
        let values: Vec<Placed> = words.filter_map(|word| self.value_of(variable, word)).collect();
        if directive.args.len() < 2 {
            self.faults.add(&directive.span, "vary lacks values");
        }
        let held_out = hold_out.and_then(|directive| self.held_out(variable, directive));
        self.check_rises(&values, held_out.as_ref());
        let places = values.iter().chain(&held_out).map(|(_, place)| place.clone()).collect();
        let values = values.into_iter().map(|(value, _)| value).collect();
        let held_out = held_out.map(|(value, _)| value);
        (Some(Vary { variable, values, held_out }), places)
    }

    fn variable(&mut self, directive: &Directive) -> Option<Variable> {
        let Some(word) = directive.args.first() else {
            self.faults.add(&directive.span, "vary lacks a variable");
            return None;
        };
        let variable = Variable::of(&word.text);
        if variable.is_none() {
            let known = Variable::ALL.map(Variable::word);
            let words = format!("{} is no variable ({} are)", word.text, known.join(", "));
            self.faults.add_with_hint(&word.span, words, suggest(&word.text, &known));
        }
        variable
    }

    fn value_of(&mut self, variable: Variable, word: &Word) -> Option<Placed> {
        match f64::parse(&word.text) {
            Ok(value) => {
                self.check_value(variable, value, &word.span);
                Some((value, word.span.clone()))
            }
            Err(words) => {
                self.faults.add(&word.span, format!("{}: {words}", word.text));
                None
            }
        }
    }

    fn held_out(&mut self, variable: Variable, directive: &Directive) -> Option<Placed> {
        let mut args = Args::of(directive);
        let Some(word) = args.next_word() else {
            self.faults.add(&directive.span, "hold-out lacks a value");
            return None;
        };
        args.finish(self.faults);
        self.value_of(variable, word)
    }

    fn check_rises(&mut self, values: &[Placed], held_out: Option<&Placed>) {
        for pair in values.windows(2) {
            if pair[1].0 <= pair[0].0 {
                self.faults.add(&pair[1].1, "values rise from one to the next");
            }
        }
        if let (Some((last, _)), Some((value, place))) = (values.last(), held_out)
            && value <= last
        {
            self.faults.add(place, format!("the held-out value is greater than all others ({last})"));
        }
    }

    /// What only a whole run tells: whether its numbers go together.
    fn check_runs(&mut self, profile: &Profile, places: &[SourceSpan], cuts: &[(Cut, SourceSpan)]) {
        for (at, plan) in profile.runs().iter().enumerate() {
            let place = places.get(at).cloned();
            let size = plan.size;
            if size.zones < size.regions {
                let place = place.clone().unwrap_or_else(|| self.place_of("zones"));
                let words = format!("{} zones are fewer than {} regions", size.zones, size.regions);
                self.faults.add(&place, words);
            }
            if size.starts > 0.0 && size.running == 0 {
                let place = place.clone().unwrap_or_else(|| self.place_of("starts"));
                self.faults.add(&place, "tasks start and none runs: a task's life is running over starts");
            }
            for (cut, place) in cuts {
                if cut.region == 0 || cut.region > size.regions || size.regions < 2 {
                    let words = format!("there is no region {} to cut off of {}", cut.region, size.regions);
                    self.faults.add(place, words);
                }
            }
        }
    }

    fn place_of(&mut self, name: &'static str) -> SourceSpan {
        self.scope.each(name).first().map_or_else(|| self.whole.clone(), |found| found.span.clone())
    }
}
