//! What is measured of a fleet beside counts: times until changes are in force, members ready, cuts caught
//! up.

use crate::ledgers::fleet::{Counts, Fleet, Turned};
use crate::ledgers::load::Cue;
use crate::ledgers::member::ConfigChange;
use crate::results::Metric;
use hdrhistogram::Histogram;
use mulleinhub_interface::{Duration, Timestamp};
use std::collections::BTreeSet;

/// Between two looks whether what is waited for has come.
const LOOK: Duration = Duration::from_nanos(20_000_000);
/// Times are kept in microseconds, to three digits and up to a day.
const LONGEST: u64 = 24 * 3600 * 1_000_000;
const DIGITS: u8 = 3;

fn seconds(span: Duration) -> f64 {
    span.ratio_to(Duration::from_secs(1))
}

/// A change that isn't in force everywhere yet.
#[derive(Debug)]
struct Spreading {
    change: ConfigChange,
    given: Timestamp,
    missing: BTreeSet<usize>,
}

/// All that members learn of each other after a cut.
#[derive(Debug)]
struct CatchingUp {
    healed: Timestamp,
    /// How far each member's own rows went when the cut was healed.
    ends: Vec<(u64, u64)>,
    /// Whose rows each member doesn't know that far.
    missing: Vec<Vec<usize>>,
    counts: Vec<Counts>,
}

/// Times, as they come.
pub struct Watch {
    measures: bool,
    spreading: Vec<Spreading>,
    in_force: Histogram<u64>,
    /// Members that started and aren't ready.
    starting: BTreeSet<usize>,
    /// The longest start: of all together, and of one that came back.
    together: Option<Duration>,
    returned: Option<Duration>,
    /// Processor time of all until all that started together knew the same.
    together_processor: Option<f64>,
    catching_up: Option<CatchingUp>,
    caught_up: Option<(Duration, f64)>,
    looks: bool,
}

impl Watch {
    /// Of a fleet whose members start together.
    #[must_use]
    pub fn new(fleet: &mut Fleet) -> Self {
        fleet.cue(fleet.now() + LOOK, Cue::Look);
        Self {
            measures: false,
            spreading: Vec::new(),
            in_force: Histogram::new_with_bounds(1, LONGEST, DIGITS).expect("three digits are few"),
            starting: (0..fleet.members()).collect(),
            together: None,
            returned: None,
            together_processor: None,
            catching_up: None,
            caught_up: None,
            looks: true,
        }
    }

    /// From now on changes are measured.
    pub fn measure(&mut self) {
        self.measures = true;
    }

    /// All members are ready.
    #[must_use]
    pub fn not_ready(&self) -> usize {
        self.starting.len()
    }

    /// Changes that are not in force everywhere.
    #[must_use]
    pub fn still_spreading(&self) -> usize {
        self.spreading.len()
    }

    /// A cut was healed, and not all is caught up.
    #[must_use]
    pub fn still_catches_up(&self) -> bool {
        self.catching_up.is_some()
    }

    /// A change was given. While regions are cut off none is measured: it can't get there.
    pub fn changed(&mut self, change: ConfigChange, fleet: &Fleet) {
        if !self.measures || fleet.is_cut() || self.catching_up.is_some() {
            return;
        }
        let missing = (0..fleet.members()).filter(|member| fleet.is_up(*member)).collect();
        self.spreading.push(Spreading { change, given: fleet.now(), missing });
    }

    /// A cut begins: what is under way may not get there.
    pub fn cut(&mut self) {
        self.spreading.clear();
    }

    /// All cuts are healed.
    pub fn healed(&mut self, fleet: &mut Fleet) {
        let members = 0..fleet.members();
        let end = |member| fleet.ledger(member).map_or((0, 0), |ledger| ledger.own_end());
        let ends: Vec<(u64, u64)> = members.clone().map(end).collect();
        let missing = members.clone().map(|_| members.clone().collect()).collect();
        let counts = members.map(|member| fleet.counts(member)).collect();
        self.catching_up = Some(CatchingUp { healed: fleet.now(), ends, missing, counts });
        self.look_again(fleet);
    }

    /// A member starts anew: it learns of changes while it catches up.
    pub fn restarted(&mut self, member: usize) {
        self.starting.insert(member);
    }

    /// A member is down: nothing is waited for of it.
    pub fn killed(&mut self, member: usize) {
        self.starting.remove(&member);
        self.spreading.iter_mut().for_each(|spreading| {
            spreading.missing.remove(&member);
        });
    }

    fn look_again(&mut self, fleet: &mut Fleet) {
        if !std::mem::replace(&mut self.looks, true) {
            fleet.cue(fleet.now() + LOOK, Cue::Look);
        }
    }

    /// Looks whether what is waited for has come, and has itself called again where not.
    pub fn look(&mut self, fleet: &mut Fleet) {
        self.looks = false;
        if self.together_processor.is_none() && self.starting.is_empty() && all_know_the_same(fleet) {
            self.together_processor = Some(fleet.processor());
        }
        self.look_at_catch_up(fleet);
        if self.together_processor.is_none() && !self.measures || self.catching_up.is_some() {
            self.look_again(fleet);
        }
    }

    fn look_at_catch_up(&mut self, fleet: &Fleet) {
        let Some(CatchingUp { healed, ends, missing, counts }) = &mut self.catching_up else { return };
        for (member, missing) in missing.iter_mut().enumerate() {
            match fleet.ledger(member) {
                Some(ledger) => missing.retain(|writer| !ledger.knows_end(*writer, ends[*writer])),
                None => missing.clear(),
            }
        }
        if missing.iter().all(Vec::is_empty) {
            let bytes = counts.iter().enumerate();
            let bytes: u64 = bytes.map(|(member, c)| fleet.counts(member).since(*c).bytes_in).sum();
            let each = bytes as f64 / fleet.members() as f64;
            let took = fleet.now() - *healed;
            if self.caught_up.is_none_or(|(longest, _)| longest < took) {
                self.caught_up = Some((took, each));
            }
            self.catching_up = None;
        }
    }

    /// Members had their turns at this instant.
    pub fn turned(&mut self, turned: &[Turned], fleet: &Fleet) {
        let now = fleet.now();
        for Turned { member, looked } in turned {
            let Some(ledger) = fleet.ledger(*member) else { continue };
            if self.starting.contains(member) && ledger.is_ready() {
                self.starting.remove(member);
                let took = Some(now - fleet.started_at(*member));
                let longest = if self.measures { &mut self.returned } else { &mut self.together };
                *longest = (*longest).max(took);
            }
            if *looked {
                self.spreading.iter_mut().filter(|s| ledger.knows(s.change)).for_each(|spreading| {
                    spreading.missing.remove(member);
                });
            }
        }
        for spreading in self.spreading.extract_if(.., |spreading| spreading.missing.is_empty()) {
            self.in_force.saturating_record((now - spreading.given).nanos() / 1_000);
        }
    }

    /// The metrics that were measured.
    #[must_use]
    pub fn metrics(&self, members: usize) -> Vec<(Metric, f64)> {
        let mut metrics = Vec::new();
        if !self.in_force.is_empty() {
            let at = |quantile| self.in_force.value_at_quantile(quantile) as f64 / 1e6;
            metrics.push((Metric::ChangeP50, at(0.5)));
            metrics.push((Metric::ChangeP99, at(0.99)));
            metrics.push((Metric::ChangeMax, self.in_force.max() as f64 / 1e6));
        }
        let start = self.returned.or(self.together);
        metrics.extend(start.map(|span| (Metric::StartUp, seconds(span))));
        let processor = self.together_processor.map(|all| all / members as f64);
        metrics.extend(processor.map(|each| (Metric::StartUpProcessor, each)));
        if let Some((span, bytes)) = self.caught_up {
            metrics.push((Metric::CatchUp, seconds(span)));
            metrics.push((Metric::CatchUpBytes, bytes));
        }
        metrics
    }
}

fn all_know_the_same(fleet: &Fleet) -> bool {
    let mut known = (0..fleet.members()).filter_map(|member| fleet.ledger(member));
    let first = known.next().map(|ledger| ledger.knowledge());
    known.all(|ledger| Some(ledger.knowledge()) == first)
}
