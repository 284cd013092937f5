//! What a role needs at the target size, reckoned from slopes: the prediction of one profile, and the
//! differences that the other profiles' slopes give for the variables which that profile keeps fixed.

use crate::fit::{Curve, Fit, Term, fit};
use crate::profile::Variable;
use crate::results::{Host, Metric, Results, Role, Size};
use crate::targets::Target;
use crate::units::{METRICS, ROLES, Unit, unit};

/// Ends the names of profiles that run the ledger's form with replica sets.
pub const REPLICAS: &str = "-replicas";

/// The form of the ledger that a profile runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Form {
    /// Every member copies every log.
    CopiedToAll,
    /// Work logs are held by a replica set.
    ReplicaSets,
}

pub const FORMS: [Form; 2] = [Form::CopiedToAll, Form::ReplicaSets];

impl Form {
    /// The form of a profile, by its name.
    #[must_use]
    pub fn of(profile: &str) -> Self {
        if profile.ends_with(REPLICAS) { Self::ReplicaSets } else { Self::CopiedToAll }
    }

    #[must_use]
    pub fn words(self) -> &'static str {
        match self {
            Self::CopiedToAll => "copied to all",
            Self::ReplicaSets => "replica sets",
        }
    }

    /// What prose markers call the reckoned figures of this form, where a profile's name stands.
    #[must_use]
    pub fn marker(self) -> &'static str {
        match self {
            Self::CopiedToAll => "reckoned",
            Self::ReplicaSets => "reckoned-replicas",
        }
    }
}

/// Who spends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spender {
    Role(Role),
    /// The ledger member and the placing of one scheduler: control with placing.
    ControlWithPlacing,
}

/// What is spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quantity {
    Metric(Metric),
    /// Bytes in and bytes out.
    BytesBothWays,
}

impl Quantity {
    #[must_use]
    pub fn unit(self) -> Unit {
        match self {
            Self::Metric(metric) => unit(metric),
            Self::BytesBothWays => Unit::BytesPerSecond,
        }
    }
}

/// Of which tasks a role pays for the starts and the names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// Of those of the whole fleet.
    Fleet,
    /// Of one scheduler's part, where they are spread evenly.
    OwnPart,
}

impl Share {
    /// What holds for a role: ledger members that copy every log pay for all tasks, and so does who hears of
    /// every worker's changes from the list; ledger members with replica sets pay for what their writers
    /// have, and who places for what it places.
    #[must_use]
    pub fn of(role: Role, form: Form) -> Self {
        match (role, form) {
            (Role::Discovery, _) | (Role::LedgerMember, Form::CopiedToAll) => Self::Fleet,
            _ => Self::OwnPart,
        }
    }

    /// A value of a variable in a fleet of `schedulers`, as the value in a profile's fleet of `there` that
    /// costs one scheduler the same.
    fn moved(self, variable: Variable, value: f64, schedulers: f64, there: Option<f64>) -> f64 {
        let is_shared = matches!(variable, Variable::Starts | Variable::Running);
        match (self, there) {
            (Self::OwnPart, Some(there)) if is_shared => value * there / schedulers,
            _ => value,
        }
    }
}

/// The value of a profile's variable at which its slope gives what one scheduler needs at the target.
#[must_use]
pub fn target_value(target: &Target, schedulers: u32, results: &Results, role: Role) -> Option<f64> {
    let variable = Variable::of(&results.vary)?;
    let share = Share::of(role, Form::of(&results.profile));
    let value = variable.value(&target.size(schedulers));
    let there = fixed(results, Variable::Schedulers);
    Some(share.moved(variable, value, f64::from(schedulers), there))
}

/// What a profile keeps a variable at; none where its runs differ in it.
fn fixed(results: &Results, variable: Variable) -> Option<f64> {
    let mut values = results.runs.iter().map(|run| variable.value(&run.size));
    let first = values.next()?;
    values.all(|value| value == first).then_some(first)
}

/// What one number of schedulers makes of a need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    pub schedulers: u32,
    pub value: f64,
}

/// A need at the target size.
#[derive(Clone, Debug, PartialEq)]
pub struct Reckoned {
    pub form: Form,
    pub host: Host,
    pub spender: Spender,
    pub quantity: Quantity,
    /// For each number of schedulers of the target.
    pub needs: Vec<Need>,
    /// The same if every member paid for all tasks, where it is reckoned that it doesn't: no more than that.
    pub at_most: Option<Vec<Need>>,
    /// What one scheduler may spend, where the operators say.
    pub budget: Option<f64>,
    /// The profiles that it is reckoned from, the base first.
    pub profiles: Vec<String>,
    /// Variables beyond the largest run: name, largest value run, and the target's.
    pub beyond: Vec<Beyond>,
    /// Variables that no slope covers, kept as the base has them.
    pub unvaried: Vec<Unvaried>,
    /// Variables whose curves bend down and are followed along a line.
    pub straightened: Vec<Variable>,
    /// It is the sum of two others, which say where they go beyond what was run.
    pub is_sum: bool,
    /// The variable whose slope gives the most at the chosen number of schedulers, and the term of it.
    pub drives: Option<(Variable, Term)>,
}

/// A slope that is followed further than it was run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Beyond {
    pub variable: Variable,
    pub largest: f64,
    pub target: f64,
}

/// A variable that the base profile keeps fixed and no other profile changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Unvaried {
    pub variable: Variable,
    /// None where the base profile changes it along with its own variable.
    pub fixed: Option<f64>,
    pub target: f64,
}

impl Reckoned {
    /// Need over budget at each number of schedulers, where there is a budget.
    #[must_use]
    pub fn ratios(&self) -> Option<Vec<f64>> {
        let budget = self.budget?;
        Some(self.needs.iter().map(|need| need.value / budget).collect())
    }

    /// The need at a number of schedulers.
    #[must_use]
    pub fn at(&self, schedulers: u32) -> Option<f64> {
        self.needs.iter().find(|need| need.schedulers == schedulers).map(|need| need.value)
    }
}

/// A profile's slope of one metric of a role.
struct Slope<'a> {
    results: &'a Results,
    variable: Variable,
    fit: Fit,
    /// The furthest value of the variable that the target asks for.
    furthest: f64,
}

impl Slope<'_> {
    fn fixed(&self, variable: Variable) -> Option<f64> {
        fixed(self.results, variable)
    }

    /// The slope's value for a value of its variable in a fleet of `schedulers`.
    fn predict(&self, share: Share, value: f64, schedulers: f64) -> f64 {
        let there = self.fixed(Variable::Schedulers);
        self.curve().predict(share.moved(self.variable, value, schedulers, there))
    }

    /// What is followed up to the target.
    fn curve(&self) -> &Curve {
        self.fit.followed_to(self.furthest)
    }
}

/// All needs that the results give at the target size, in the order of the page.
#[must_use]
pub fn reckon(target: &Target, results: &[Results]) -> Vec<Reckoned> {
    let mut all = Vec::new();
    for form in FORMS {
        let of_form: Vec<&Results> = results.iter().filter(|one| Form::of(&one.profile) == form).collect();
        let mut here = roles(target, &of_form, form);
        placing_by_parts(&mut here);
        let with_placing = control_with_placing(&here, &all);
        here.extend(with_placing);
        let both_ways = both_ways(&here);
        here.extend(both_ways);
        all.extend(here);
    }
    all
}

fn roles(target: &Target, results: &[&Results], form: Form) -> Vec<Reckoned> {
    let mut all = Vec::new();
    for host in [Host::HollowLedgers, Host::HollowPlanners, Host::RealPlanners] {
        let of_host: Vec<&Results> = results.iter().copied().filter(|one| one.host == host).collect();
        for role in ROLES {
            for metric in METRICS.into_iter().filter(|metric| *metric != Metric::Started) {
                all.extend(reckon_metric(target, &of_host, form, host, role, metric));
            }
        }
    }
    all
}

/// One metric of a role, from the profiles of one host and form.
fn reckon_metric(
    target: &Target,
    results: &[&Results],
    form: Form,
    host: Host,
    role: Role,
    metric: Metric,
) -> Option<Reckoned> {
    let slopes = slopes(target, results, role, metric);
    let (base, others) = slopes.split_first()?;
    let share = Share::of(role, form);
    let needs = needs(target, share, base, others);
    let at_most = self::needs(target, Share::Fleet, base, others);
    let more = |(most, need): (&Need, &Need)| most.value > need.value;
    let may_be_more = at_most.iter().zip(&needs).any(more);
    let chosen = target.size(target.chosen);
    let used = |slope: &&Slope| {
        slope.variable == base.variable
            || base.fixed(slope.variable).is_some_and(|at| at != slope.variable.value(&chosen))
    };
    let used: Vec<&Slope> = slopes.iter().filter(used).collect();
    let has_budget = matches!(role, Role::Scheduler | Role::LedgerMember) || unit(metric) == Unit::Seconds;
    Some(Reckoned {
        form,
        host,
        spender: Spender::Role(role),
        quantity: Quantity::Metric(metric),
        needs,
        at_most: may_be_more.then_some(at_most),
        budget: target.budget(metric).filter(|_| has_budget),
        profiles: used.iter().map(|slope| slope.results.profile.clone()).collect(),
        beyond: beyond(&used),
        straightened: straightened(&used),
        unvaried: unvaried(target, role, base, &slopes),
        is_sum: false,
        drives: drives(target, share, base, &used),
    })
}

/// Whether the number of schedulers is a variable of its own for a role. Placing knows of the others only by
/// its part of the work: over schedulers with a fixed fleet it follows that part, which is no polynomial.
fn depends_on(role: Role, variable: Variable) -> bool {
    variable != Variable::Schedulers || role == Role::LedgerMember
}

/// How far the largest run of a profile is from the target. Of starts and running tasks each scheduler's part
/// is compared: a slope over few schedulers with much work each is another one than over many with little, as
/// what one of them does in an instant is told together.
fn distance(target: &Target, slope: &Slope) -> f64 {
    let size = target.size(target.chosen);
    let there = slope.fixed(Variable::Schedulers);
    let chosen = f64::from(target.chosen);
    let wanted = Share::OwnPart.moved(slope.variable, slope.variable.value(&size), chosen, there);
    (slope.fit.largest() / wanted).ln().abs()
}

/// One slope for each variable, in the order of `Variable::ALL`; of several, that of the profile whose
/// largest run is nearest to the target, and of equal ones the first by name.
fn slopes<'a>(target: &Target, results: &[&'a Results], role: Role, metric: Metric) -> Vec<Slope<'a>> {
    let mut sorted = results.to_vec();
    sorted.sort_by(|one, other| one.profile.cmp(&other.profile));
    let slope = |results: &'a Results, variable: Variable| {
        let fit = fit(results, role, metric).ok()?;
        Some(Slope { results, variable, fit, furthest: furthest(target, results, role) })
    };
    let of = |variable: Variable| {
        let varies = sorted.iter().filter(|one| one.vary == variable.word());
        let slopes = varies.filter_map(|results| slope(results, variable));
        slopes.reduce(
            |best, next| {
                if distance(target, &next) < distance(target, &best) { next } else { best }
            },
        )
    };
    Variable::ALL.into_iter().filter(|variable| depends_on(role, *variable)).filter_map(of).collect()
}

fn needs(target: &Target, share: Share, base: &Slope, others: &[Slope]) -> Vec<Need> {
    let need = |schedulers: &u32| Need {
        schedulers: *schedulers,
        value: combined(target, share, *schedulers, base, others),
    };
    target.schedulers.iter().map(need).collect()
}

/// The base's prediction, and for each variable that it keeps fixed the difference between the target's
/// value and the base's by the slope of the profile that changes it.
fn combined(target: &Target, share: Share, schedulers: u32, base: &Slope, others: &[Slope]) -> f64 {
    let size = target.size(schedulers);
    let here = f64::from(schedulers);
    let differences: f64 = others.iter().map(|slope| difference(share, &size, here, base, slope)).sum();
    base.predict(share, base.variable.value(&size), here) + differences
}

/// What a slope adds to the base from the value that the base keeps to that of a size.
fn difference(share: Share, size: &Size, here: f64, base: &Slope, slope: &Slope) -> f64 {
    let Some(fixed) = base.fixed(slope.variable) else { return 0.0 };
    // Where the base changes the number of schedulers, its prediction is already for the size's own.
    let there = base.fixed(Variable::Schedulers).unwrap_or(here);
    slope.predict(share, slope.variable.value(size), here) - slope.predict(share, fixed, there)
}

/// The furthest value of a profile's variable that any number of schedulers of the target asks for.
fn furthest(target: &Target, results: &Results, role: Role) -> f64 {
    let values = target.schedulers.iter().filter_map(|n| target_value(target, *n, results, role));
    values.fold(0.0, f64::max)
}

/// The slopes that are followed further than they were run, at any number of schedulers.
fn beyond(used: &[&Slope]) -> Vec<Beyond> {
    let beyond = used.iter().map(|slope| Beyond {
        variable: slope.variable,
        largest: slope.fit.largest(),
        target: slope.furthest,
    });
    beyond.filter(|beyond| beyond.target > beyond.largest).collect()
}

fn straightened(used: &[&Slope]) -> Vec<Variable> {
    let is_line = |slope: &&&Slope| *slope.curve() != slope.fit.curve;
    used.iter().filter(is_line).map(|slope| slope.variable).collect()
}

fn unvaried(target: &Target, role: Role, base: &Slope, slopes: &[Slope]) -> Vec<Unvaried> {
    let size = target.size(target.chosen);
    let is_covered = |variable: &Variable| slopes.iter().any(|slope| slope.variable == *variable);
    let of_role = Variable::ALL.into_iter().filter(|variable| depends_on(role, *variable));
    let missing = of_role.filter(|variable| !is_covered(variable));
    let unvaried = missing.map(|variable| Unvaried {
        variable,
        fixed: base.fixed(variable),
        target: variable.value(&size),
    });
    unvaried.filter(|unvaried| unvaried.fixed != Some(unvaried.target)).collect()
}

/// The variable that adds the most at the chosen number of schedulers, and its dominant term.
fn drives(target: &Target, share: Share, base: &Slope, used: &[&Slope]) -> Option<(Variable, Term)> {
    let size = target.size(target.chosen);
    let here = f64::from(target.chosen);
    let adds = |slope: &Slope| {
        if slope.variable == base.variable {
            base.predict(share, base.variable.value(&size), here) - base.curve().predict(0.0)
        } else {
            difference(share, &size, here, base, slope)
        }
    };
    let changing = used.iter().filter(|slope| !slope.fit.unchanged);
    let most = changing.max_by(|one, other| adds(one).total_cmp(&adds(other)))?;
    let there = most.fixed(Variable::Schedulers);
    let at = share.moved(most.variable, most.variable.value(&size), here, there);
    Some((most.variable, most.curve().dominant(at)))
}

/// A scheduler's traffic is that with the list, with workers and with clients, which depend on other starts:
/// where all three are there, their sum takes the place of what was reckoned for the whole.
fn placing_by_parts(here: &mut [Reckoned]) {
    let metrics = [Metric::BytesIn, Metric::BytesOut, Metric::MessagesIn, Metric::MessagesOut];
    for at in 0..here.len() {
        let whole = &here[at];
        let is_traffic = metrics.map(Quantity::Metric).contains(&whole.quantity);
        if whole.spender != Spender::Role(Role::Scheduler) || !is_traffic {
            continue;
        }
        let part = |role: Role| {
            let is = |one: &&Reckoned| {
                (one.spender, one.quantity, one.host) == (Spender::Role(role), whole.quantity, whole.host)
            };
            here.iter().find(is)
        };
        let parts = [Role::Discovery, Role::Worker, Role::Client].map(part);
        let [Some(discovery), Some(worker), Some(client)] = parts else { continue };
        let sum = added(&added(discovery, worker), client);
        here[at] = Reckoned { spender: whole.spender, budget: whole.budget, ..sum };
    }
}

/// The sums of ledger member and placing, where both were run. Placing doesn't depend on the ledger's form:
/// where a form has no placing of its own, that of the forms `before` is taken.
fn control_with_placing(here: &[Reckoned], before: &[Reckoned]) -> Vec<Reckoned> {
    let metrics = METRICS.into_iter().filter(|metric| unit(*metric) != Unit::Seconds);
    let sum = |metric: Metric| {
        let control = find(here, Role::LedgerMember, metric)?;
        let placing =
            find(here, Role::Scheduler, metric).or_else(|| find(before, Role::Scheduler, metric))?;
        Some(Reckoned { spender: Spender::ControlWithPlacing, ..added(control, placing) })
    };
    metrics.filter_map(sum).collect()
}

fn find(all: &[Reckoned], role: Role, metric: Metric) -> Option<&Reckoned> {
    let is = |one: &&Reckoned| one.spender == Spender::Role(role) && one.quantity == Quantity::Metric(metric);
    all.iter().find(is)
}

/// For each spender and host the sum of bytes in and bytes out: the stricter reading of the budget.
fn both_ways(here: &[Reckoned]) -> Vec<Reckoned> {
    let into = here.iter().filter(|one| one.quantity == Quantity::Metric(Metric::BytesIn));
    let sum = |bytes_in: &Reckoned| {
        let matches = |one: &&Reckoned| {
            one.quantity == Quantity::Metric(Metric::BytesOut)
                && (one.spender, one.host) == (bytes_in.spender, bytes_in.host)
        };
        let bytes_out = here.iter().find(matches)?;
        Some(Reckoned { quantity: Quantity::BytesBothWays, ..added(bytes_in, bytes_out) })
    };
    into.filter_map(sum).collect()
}

fn add(needs: &[Need], others: &[Need]) -> Vec<Need> {
    let add = |(one, other): (&Need, &Need)| Need { value: one.value + other.value, ..*one };
    needs.iter().zip(others).map(add).collect()
}

/// The sum of two needs; the larger one says what drives it.
fn added(one: &Reckoned, other: &Reckoned) -> Reckoned {
    let mut sum = one.clone();
    sum.needs = add(&one.needs, &other.needs);
    sum.at_most = match (&one.at_most, &other.at_most) {
        (None, None) => None,
        (most, others) => {
            Some(add(most.as_ref().unwrap_or(&one.needs), others.as_ref().unwrap_or(&other.needs)))
        }
    };
    sum.budget = one.budget.or(other.budget);
    for profile in &other.profiles {
        if !sum.profiles.contains(profile) {
            sum.profiles.push(profile.clone());
        }
    }
    sum.is_sum = true;
    sum.beyond.clear();
    sum.unvaried.clear();
    sum.straightened.clear();
    let last = |needs: &[Need]| needs.last().map_or(0.0, |need| need.value);
    if last(&other.needs) > last(&one.needs) {
        sum.drives = other.drives;
    }
    sum
}
