//! What could be earned at the most if nothing but room counted: no starts, no spreading, no knowledge to
//! gain.

use mulleinhub_emulators::Worth;
use mulleinhub_interface::{Duration, Resources, Timestamp};
use mulleinhub_scenario::Day;

/// Steps of the clock in which the bound is computed.
const STEPS: u64 = 300;

/// The bound, and what is wanted, over time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bound {
    /// Seconds of service that are wanted, and that there is room for, by worth.
    pub wanted: f64,
    pub most: f64,
    /// For each step: its instant in seconds, the wanted and possible worth of a second of it, and how many
    /// machines of the mean size would hold what is asked for.
    pub over_time: Vec<(f64, f64, f64, f64)>,
}

impl Bound {
    /// Machines that would hold what is asked for, over time.
    pub fn needed(&self) -> f64 {
        self.over_time.iter().map(|step| step.3).sum::<f64>() / self.over_time.len().max(1) as f64
    }

    /// The part of what is wanted that there is room for.
    pub fn part(&self) -> f64 {
        self.most / self.wanted.max(1e-9)
    }
}

/// Of each instant the tasks that earn most for their cores are served first, and the same by memory; the
/// smaller of the two sums is a bound, whatever is chosen: each leaves the other resource out of account.
pub fn bound(day: &Day, worth: &Worth) -> Bound {
    let Some(fleet) = &day.fleet else { return Bound::default() };
    let step = Duration::from_nanos((day.length.nanos() / STEPS).max(1));
    let accepts = (day.machine.accepts_cores, day.machine.accepts_memory);
    // Sums of asks wanted, by use case, change at begins and ends alone.
    let mut changes: Vec<(Timestamp, usize, f64, f64)> = Vec::new();
    for task in fleet.wanted.iter().flat_map(|wanted| wanted.iter()) {
        let case = task.use_case as usize;
        changes.push((task.at, case, task.cores, task.memory));
        changes.push((task.until, case, -task.cores, -task.memory));
    }
    changes.sort_by_key(|change| change.0);
    let mut sums = vec![Resources::ZERO; day.cases.len()];
    let (mut next, mut bound) = (0, Bound::default());
    for n in 0..STEPS {
        let at = Timestamp::default() + step * (n as f64 + 0.5);
        while let Some((_, case, cores, memory)) = changes.get(next).copied().filter(|change| change.0 <= at)
        {
            sums[case] += Resources::new(cores, memory);
            next += 1;
        }
        let (mut room, mut up) = (Resources::ZERO, 0.0);
        for spot in fleet.spots.iter().filter(|spot| spot.is_up(at)) {
            room += day.kinds[spot.kind].size.scaled(accepts.0, accepts.1);
            up += 1.0;
        }
        let asked = sums.iter().fold(Resources::ZERO, |all, sum| all + *sum);
        let needed = up * f64::max(asked.cores / room.cores.max(1e-9), asked.memory / room.memory.max(1e-9));
        let wanted: Vec<(f64, Resources)> = sums
            .iter()
            .enumerate()
            .map(|(case, sum)| (worth.second(case as u32, sum.cores.max(0.0), sum.memory.max(0.0)), *sum))
            .collect();
        let most = |size: fn(&Resources) -> f64| {
            let mut left = size(&room);
            let mut order: Vec<&(f64, Resources)> =
                wanted.iter().filter(|(_, sum)| size(sum) > 1e-9).collect();
            order.sort_by(|a, b| (b.0 / size(&b.1)).total_cmp(&(a.0 / size(&a.1))));
            order.into_iter().fold(0.0, |earned, (worth, sum)| {
                let part = (left / size(sum)).min(1.0);
                left -= size(sum) * part;
                earned + worth * part
            })
        };
        let all: f64 = wanted.iter().map(|(worth, _)| worth).sum();
        let possible = most(|room| room.cores).min(most(|room| room.memory)).min(all);
        let seconds = step.nanos() as f64 / 1e9;
        bound.wanted += all * seconds;
        bound.most += possible * seconds;
        bound.over_time.push(((at - Timestamp::default()).nanos() as f64 / 1e9, all, possible, needed));
    }
    bound
}
