//! The campaign of silent connections: rising numbers of them, the busy few beside, a burst and a storm.

use crate::busy::{Busy, BusySettings, Seen};
use crate::crowd_host::CrowdProcess;
use crate::planners::{Planner, kernel_memory};
use crate::process::Usage;
use crate::report::{self, Row};
use crate::town::{self, Town};
use mulleinhub_event_loop::EventLoop;
use mulleinhub_interface::Duration;
use mulleinhub_sans_io::StateMachine;
use mulleinhub_scenario::Day;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration as StdDuration, Instant};

/// What is measured, and for how long.
#[derive(Clone, Debug)]
pub struct Campaign {
    /// Numbers of silent connections, rising.
    pub steps: Vec<usize>,
    pub planners: usize,
    /// Processes that hold the crowd.
    pub crowds: usize,
    /// Asks a second of the busy, all together.
    pub rate: f64,
    /// Connections of the busy to each planner.
    pub busy: usize,
    pub silent_for: StdDuration,
    pub busy_for: StdDuration,
    /// Planners that are killed and started again at one moment.
    pub storm_planners: usize,
    /// Another planner's program, to compare with.
    pub program: Option<PathBuf>,
    /// Planners ask after so long a silence, in seconds; another program's own where there is one.
    pub idle_after: u64,
    pub csv: PathBuf,
    pub svg: PathBuf,
    pub at_most: StdDuration,
}

/// Connections that a crowd opens in a second.
const OPENS: f64 = 40_000.0;
/// Without one more connection for so long, no more are to be had.
const STUCK: StdDuration = StdDuration::from_secs(10);
/// After the load has changed, before anything is measured.
const SETTLES: StdDuration = StdDuration::from_secs(1);
/// Before an ask is due, the busy look again and again.
const CLOSE: Duration = Duration::from_nanos(1_500_000);

struct Field {
    planners: Vec<Planner>,
    crowds: Vec<CrowdProcess>,
    busy: EventLoop<Busy>,
    until: Instant,
    _town: Town,
    _folder: tempfile::TempDir,
}

impl Field {
    fn new(campaign: &Campaign) -> Result<Self, String> {
        let day: Day = town::day(campaign.planners)?;
        let town = Town::start(&day)?;
        let folder = tempfile::tempdir().map_err(|e| format!("a folder for settings: {e}"))?;
        let clients = match campaign.program {
            Some(_) => String::new(),
            None => format!("clients {{\n    idle-after {}s\n}}\n", campaign.idle_after),
        };
        let mut planners = Vec::new();
        for (n, list) in town.lists.iter().enumerate() {
            let program = campaign.program.as_deref();
            planners.push(Planner::start(&day, n, list.clone(), folder.path(), program, &clients)?);
        }
        let addresses: Vec<SocketAddr> = planners.iter().map(|planner| planner.address).collect();
        let crowds = (0..campaign.crowds)
            .map(|n| CrowdProcess::start(n, &addresses, OPENS / campaign.crowds as f64))
            .collect::<Result<_, _>>()?;
        // The case that may run again; asks are small beside the machines.
        let case = day.cases.iter().position(|case| case.case.spread.is_some_and(|(_, most)| most == 1));
        let patience = day.cases[case.unwrap_or(0)].case.client_timeout;
        let busy = EventLoop::new(Busy::new(BusySettings {
            planners: addresses.iter().map(ToString::to_string).collect(),
            each: campaign.busy,
            rate: campaign.rate,
            use_case: case.unwrap_or(0) as u32,
            ask: (0.05, 0.05),
            patience,
        }));
        let busy = busy.map_err(|e| format!("poll: {e}"))?;
        let until = Instant::now() + campaign.at_most;
        Ok(Self { planners, crowds, busy, until, _town: town, _folder: folder })
    }

    fn step(&mut self) -> Result<(), String> {
        // The system's poll wakes to whole milliseconds; an ask's instant is met more closely without it.
        let now = self.busy.now();
        let soon = self.busy.state_machine.next_wakeup().is_some_and(|at| at - now < CLOSE);
        let wait = if soon { StdDuration::ZERO } else { StdDuration::from_millis(1) };
        self.busy.run_once(wait).map_err(|e| format!("poll: {e}"))?;
        self.crowds.iter_mut().for_each(CrowdProcess::look);
        self.planners.iter_mut().try_for_each(Planner::lives)?;
        if Instant::now() > self.until {
            return Err("the time for the campaign is over; what was measured is written, and run again it \
                        goes on"
                .to_owned());
        }
        Ok(())
    }

    fn go_on(&mut self, span: StdDuration) -> Result<(), String> {
        let end = Instant::now() + span;
        while Instant::now() < end {
            self.step()?;
        }
        Ok(())
    }

    fn up(&self) -> usize {
        self.crowds.iter().map(|crowd| crowd.up).sum()
    }

    /// The busy ask for so long, and wait for answers a while.
    fn busy_for(&mut self, span: StdDuration) -> Result<(Seen, u64), String> {
        self.busy.state_machine.reset();
        let now = self.busy.now();
        self.busy.state_machine.asks(now, true);
        self.go_on(span)?;
        let now = self.busy.now();
        self.busy.state_machine.asks(now, false);
        let end = Instant::now() + StdDuration::from_secs(2);
        while self.busy.state_machine.open() > 0 && Instant::now() < end {
            self.step()?;
        }
        let seen = self.busy.state_machine.seen.clone();
        let answered = seen.placed.len() + seen.nacked + seen.errored;
        let unanswered = seen.asked.saturating_sub(answered);
        Ok((seen, unanswered))
    }

    fn usage(&self) -> Usage {
        self.planners.iter().map(|planner| planner.process.usage()).fold(Usage::default(), |sum, usage| {
            Usage {
                cpu: sum.cpu + usage.cpu,
                resident: sum.resident + usage.resident,
                most_memory: sum.most_memory + usage.most_memory,
            }
        })
    }

    /// Seconds of CPU that planners use in a second while nobody asks.
    fn cpu_for(&mut self, span: StdDuration) -> Result<f64, String> {
        let (before, began) = (self.usage().cpu, Instant::now());
        self.go_on(span)?;
        Ok(self.usage().cpu.saturating_sub(before).as_secs_f64() / began.elapsed().as_secs_f64())
    }

    /// Opens up to so many; gives back how many a second were opened.
    fn open(&mut self, idle: usize) -> Result<f64, String> {
        let (before, began) = (self.up(), Instant::now());
        let crowds = self.crowds.len();
        for (n, crowd) in self.crowds.iter_mut().enumerate() {
            crowd.says(&format!("grow {}", idle / crowds + usize::from(n < idle % crowds)))?;
        }
        let (mut up, mut moved) = (before, Instant::now());
        while up < idle && moved.elapsed() < STUCK {
            self.step()?;
            if self.up() > up {
                (up, moved) = (self.up(), Instant::now());
            }
        }
        Ok((up - before) as f64 / (moved - began).as_secs_f64().max(1e-3))
    }
}

fn fill(row: &mut Row, seen: &Seen, unanswered: u64) {
    (row.asked, row.unanswered) = (seen.asked, unanswered);
    row.taken_p50_us = seen.taken.value_at_quantile(0.5);
    row.taken_p99_us = seen.taken.value_at_quantile(0.99);
    row.taken_p999_us = seen.taken.value_at_quantile(0.999);
    row.placed_p50_us = seen.placed.value_at_quantile(0.5);
    row.placed_p99_us = seen.placed.value_at_quantile(0.99);
    row.placed_p999_us = seen.placed.value_at_quantile(0.999);
}

/// Runs a campaign, or goes on with one whose rows are there; tells what it does and found, line by line.
///
/// # Errors
/// What the system refuses, a planner that ends by itself, and the end of the time given.
pub fn run(campaign: &Campaign, mut tell: impl FnMut(&str)) -> Result<(), String> {
    let program = campaign.program.as_deref().and_then(|path| path.file_name());
    let program = program.map_or("this".to_owned(), |name| name.to_string_lossy().into_owned());
    let blank = |what: &str, idle: usize| Row {
        what: what.to_owned(),
        program: program.clone(),
        planners: campaign.planners,
        rate: campaign.rate,
        idle,
        ..Row::default()
    };
    let mut rows = report::read(&campaign.csv)?;
    let same = |a: &Row, b: &Row| {
        (&a.what, a.idle, &a.program, a.planners, a.rate) == (&b.what, b.idle, &b.program, b.planners, b.rate)
    };
    if let Some(other) = rows.iter().find(|row| !same(row, &blank(&row.what, row.idle))) {
        return Err(format!(
            "{}: holds rows of {} planners of {} at {} asks a second; name another file",
            campaign.csv.display(),
            other.planners,
            other.program,
            other.rate
        ));
    }
    let done = |rows: &[Row], row: &Row| rows.iter().any(|other| same(other, row));
    let most = campaign.steps.last().copied().unwrap_or(0);
    let wanted = campaign.steps.iter().map(|idle| blank("silent", *idle));
    if wanted.chain([blank("burst", most), blank("storm", most)]).all(|row| done(&rows, &row)) {
        tell("all of this was measured already");
        return finish(campaign, &rows, tell);
    }
    let mut field = Field::new(campaign)?;
    let began = Instant::now();
    while !field.busy.state_machine.all_up() {
        field.step()?;
        if began.elapsed() > StdDuration::from_secs(10) {
            return Err("planners didn't greet the busy within 10 s".to_owned());
        }
    }
    // What is used once, whoever is connected, is no connection's.
    field.busy_for(StdDuration::from_secs(2))?;
    let (alone, kernel) = (field.usage(), kernel_memory());
    let cpu_alone = field.cpu_for(campaign.silent_for)?;
    for idle in &campaign.steps {
        let mut row = blank("silent", *idle);
        if done(&rows, &row) {
            tell(&format!("{idle} silent: measured already"));
            continue;
        }
        tell(&format!("{idle} silent: opening"));
        row.opened_a_second = field.open(*idle)?;
        field.go_on(SETTLES)?;
        row.up = field.up();
        let cpu = field.cpu_for(campaign.silent_for)?;
        let after = field.usage();
        let each = row.up.max(1) as f64;
        if row.up > 0 {
            row.silent_cpu_ms = (cpu - cpu_alone) * 1e3 / (each / 1e4);
            row.ours_bytes = after.resident.saturating_sub(alone.resident) as f64 * 1024.0 / each;
            row.kernel_bytes = kernel_memory().saturating_sub(kernel) as f64 * 1024.0 / each;
        }
        let (seen, unanswered) = field.busy_for(campaign.busy_for)?;
        fill(&mut row, &seen, unanswered);
        tell(&format!(
            "{idle} silent: {} up, {:.0} opened a second; {:.0} bytes of ours and {:.0} of the kernel each; \
             {:.2} ms CPU a second for each 10,000; taken p50 {} us, p99 {}, p99.9 {}; placed p99 {}; \
             {unanswered} of {} unanswered",
            row.up,
            row.opened_a_second,
            row.ours_bytes,
            row.kernel_bytes,
            row.silent_cpu_ms,
            row.taken_p50_us,
            row.taken_p99_us,
            row.taken_p999_us,
            row.placed_p99_us,
            row.asked
        ));
        let short = row.up < *idle;
        rows.push(row);
        report::write(&campaign.csv, &rows)?;
        if short {
            tell("no more are to be had: descriptors of a planner or of a crowd are at their limit");
            break;
        }
    }
    if !done(&rows, &blank("burst", most)) {
        field.open(most)?;
        rows.push(burst(&mut field, campaign, blank("burst", most), &mut tell)?);
        report::write(&campaign.csv, &rows)?;
    }
    if !done(&rows, &blank("storm", most)) {
        field.open(most)?;
        rows.push(storm(&mut field, campaign, blank("storm", most), &mut tell)?);
        report::write(&campaign.csv, &rows)?;
    }
    finish(campaign, &rows, tell)
}

/// All that were silent speak at one moment, three times, while the busy ask.
fn burst(
    field: &mut Field,
    campaign: &Campaign,
    mut row: Row,
    tell: &mut impl FnMut(&str),
) -> Result<Row, String> {
    field.busy.state_machine.reset();
    let now = field.busy.now();
    field.busy.state_machine.asks(now, true);
    let part = (campaign.busy_for / 3).max(StdDuration::from_secs(1));
    for _ in 0..3 {
        field.crowds.iter_mut().try_for_each(|crowd| crowd.says("speak"))?;
        field.go_on(part)?;
    }
    let now = field.busy.now();
    field.busy.state_machine.asks(now, false);
    field.go_on(SETTLES)?;
    let seen = field.busy.state_machine.seen.clone();
    let unanswered = field.busy.state_machine.open() as u64;
    row.up = field.up();
    fill(&mut row, &seen, unanswered);
    tell(&format!(
        "burst: {} speak at one moment, three times: taken p50 {} us, p99 {}, p99.9 {}, longest {}; {} of {} \
         unanswered",
        row.up,
        row.taken_p50_us,
        row.taken_p99_us,
        row.taken_p999_us,
        seen.taken.max(),
        row.unanswered,
        row.asked
    ));
    Ok(row)
}

/// Planners are killed and started again while the busy ask; all their connections come back within two
/// seconds.
fn storm(
    field: &mut Field,
    campaign: &Campaign,
    mut row: Row,
    tell: &mut impl FnMut(&str),
) -> Result<Row, String> {
    let before = field.up();
    field.busy.state_machine.reset();
    let now = field.busy.now();
    field.busy.state_machine.asks(now, true);
    field.go_on(SETTLES)?;
    let struck = campaign.storm_planners.min(field.planners.len());
    field.planners[..struck].iter_mut().for_each(|planner| planner.process.kill());
    // The ends of their connections are seen before they are there again.
    field.go_on(StdDuration::from_millis(50))?;
    field.planners[..struck].iter_mut().try_for_each(|planner| planner.process.start())?;
    let began = Instant::now();
    let mut busy_back = None;
    while began.elapsed() < StdDuration::from_secs(60) {
        field.step()?;
        if busy_back.is_none() && field.busy.state_machine.all_up() {
            busy_back = Some(began.elapsed());
        }
        if busy_back.is_some() && began.elapsed() > StdDuration::from_millis(500) && field.up() >= before {
            break;
        }
    }
    let all_back = began.elapsed();
    let now = field.busy.now();
    field.busy.state_machine.asks(now, false);
    field.go_on(SETTLES)?;
    let seen = field.busy.state_machine.seen.clone();
    row.up = field.up();
    fill(&mut row, &seen, field.busy.state_machine.open() as u64);
    row.busy_back_ms = busy_back.map_or(0, |span| span.as_millis() as u64);
    row.all_back_ms = if row.up >= before { all_back.as_millis() as u64 } else { 0 };
    tell(&format!(
        "storm: {struck} of the planners were killed and started again with {before} silent \
         connections in all; the busy were greeted after {} ms, all after {} ms ({} up); \
         taken p99 {} us meanwhile; {} of {} unanswered",
        row.busy_back_ms, row.all_back_ms, row.up, row.taken_p99_us, row.unanswered, row.asked
    ));
    Ok(row)
}

fn finish(campaign: &Campaign, rows: &[Row], mut tell: impl FnMut(&str)) -> Result<(), String> {
    report::plot(&campaign.svg, rows)?;
    let most = rows.iter().filter(|row| row.what == "silent").map(|row| row.up).max().unwrap_or(0);
    match report::doubles_at(rows) {
        Some(idle) => tell(&format!("p99 of the busy doubles at {idle} silent connections")),
        None => tell(&format!("p99 of the busy does not double up to {most} silent connections")),
    }
    tell(&format!("rows: {}; plot: {}", campaign.csv.display(), campaign.svg.display()));
    Ok(())
}
