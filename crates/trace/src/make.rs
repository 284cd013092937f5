//! Small made traces in each layout, from a stated model and a seed, with faults that are counted as they are
//! put in.
//!
//! The model: jobs come as a Poisson process whose rate swings twice between its half and one and a half
//! times over the trace, and one job of `burst` tasks in the middle; sizes of jobs are drawn from powers of
//! two, asks from a few sizes, lives evenly on a logarithmic scale; use is about half of the ask. Some
//! machines come late, some vanish, one is taken away and brought back in the same instant.

use crate::fault::Fault;
use flate2::Compression;
use flate2::write::GzEncoder;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};

#[derive(Clone, Debug)]
pub struct Model {
    pub layout: String,
    pub seed: u64,
    pub machines: u64,
    pub jobs: u64,
    /// Of the trace, in seconds.
    pub length: u64,
    /// Tasks of one job that are all wanted at one instant; none for 0.
    pub burst: u64,
    /// Puts in so many faults of each kind that the layout can have.
    pub faults: u64,
    pub gzip: bool,
    /// Each table comes in so many numbered parts.
    pub parts: usize,
}

impl Default for Model {
    fn default() -> Self {
        Self {
            layout: "google-2011".to_owned(),
            seed: 1,
            machines: 100,
            jobs: 500,
            length: 600,
            burst: 0,
            faults: 0,
            gzip: false,
            parts: 1,
        }
    }
}

/// What was made.
#[derive(Clone, Debug, Default)]
pub struct Made {
    pub files: Vec<PathBuf>,
    pub rows: BTreeMap<String, u64>,
    pub tasks: u64,
    pub faults: BTreeMap<Fault, u64>,
}

struct Job {
    at: u64,
    class: u32,
    priority: u32,
    tasks: u64,
    /// A part of the greatest machine.
    cores: f64,
    memory: f64,
    /// How long its tasks live, in microseconds.
    life: u64,
    apart: bool,
}

/// A row and its instant, by which a table that follows the clock is sorted.
type Rows = Vec<(u64, String)>;

const SECOND: u64 = 1_000_000;

struct Maker {
    dice: Pcg64Mcg,
    model: Model,
    made: Made,
    tables: BTreeMap<&'static str, Rows>,
}

/// Writes a trace into a folder.
///
/// # Errors
/// Where the layout isn't one that is made here, or the system refuses a file.
pub fn make(model: &Model, folder: &Path) -> Result<Made, String> {
    let mut maker = Maker {
        dice: Pcg64Mcg::seed_from_u64(model.seed),
        model: model.clone(),
        made: Made::default(),
        tables: BTreeMap::new(),
    };
    let jobs = maker.jobs();
    match model.layout.as_str() {
        "google-2011" => {
            maker.google(&jobs);
            maker.tables.values_mut().for_each(|rows| rows.sort_by_key(|(at, _)| *at));
            maker.google_faults();
        }
        "alibaba-2018" => {
            maker.alibaba(&jobs);
            maker.alibaba_faults();
        }
        other => return Err(format!("{other}: traces are made as google-2011 or alibaba-2018")),
    }
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    maker.write(folder)?;
    Ok(maker.made)
}

impl Maker {
    fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.dice.random::<f64>()
    }

    fn jobs(&mut self) -> Vec<Job> {
        const ASKS: [(f64, f64); 5] =
            [(0.00625, 0.0077), (0.0125, 0.0159), (0.025, 0.0318), (0.0625, 0.0636), (0.125, 0.0466)];
        let length = self.model.length as f64;
        let mut jobs = Vec::new();
        let mut at = 0.0;
        while (jobs.len() as u64) < self.model.jobs {
            let swing = 1.0 + 0.5 * (at / length * 4.0 * std::f64::consts::PI).sin();
            let gap = -(1.0 - self.dice.random::<f64>()).ln() * length / self.model.jobs as f64 / swing;
            at += gap;
            let ask = ASKS[self.dice.random_range(0..ASKS.len())];
            let class = [0, 0, 0, 1, 1, 2, 3][self.dice.random_range(0..7)];
            let tasks = 1 << self.dice.random_range(0..5u32);
            // From a twentieth of the trace to all of it.
            let life = length * 20f64.powf(-self.dice.random::<f64>());
            jobs.push(Job {
                at: (at * SECOND as f64) as u64,
                class,
                priority: if class >= 2 { 9 } else { self.dice.random_range(0..9) },
                tasks,
                cores: ask.0,
                memory: ask.1,
                life: (life * SECOND as f64) as u64,
                apart: class == 3 && tasks <= 4,
            });
        }
        // However the gaps came out, the last job comes shortly before the end.
        let scale = length * 0.95 / at.max(1e-9);
        jobs.iter_mut().for_each(|job| job.at = (job.at as f64 * scale) as u64);
        if self.model.burst > 0 {
            jobs.push(Job {
                at: self.model.length * SECOND / 2,
                class: 0,
                priority: 0,
                tasks: self.model.burst,
                cores: ASKS[0].0,
                memory: ASKS[0].1,
                life: self.model.length * SECOND / 20,
                apart: false,
            });
        }
        self.made.tasks = jobs.iter().map(|job| job.tasks).sum();
        jobs
    }

    /// A machine that is there from the begin.
    fn runs_on(&self, number: u64) -> u64 {
        let machine = 1 + number % self.model.machines.max(1);
        if machine.is_multiple_of(17) { 1 } else { machine }
    }

    fn row(&mut self, table: &'static str, at: u64, row: String) {
        self.tables.entry(table).or_default().push((at, row));
    }

    fn met(&mut self, fault: Fault, count: u64) {
        *self.made.faults.entry(fault).or_default() += count;
    }

    fn google(&mut self, jobs: &[Job]) {
        // The published clock begins 600 s before the first event.
        const BEGIN: u64 = 600 * SECOND;
        let end = BEGIN + self.model.length * SECOND;
        for machine in 1..=self.model.machines {
            let (cores, memory) = [(0.5, 0.25), (0.5, 0.5), (1.0, 1.0)][(machine % 3) as usize];
            let up = if machine % 17 == 0 { BEGIN + self.model.length * SECOND / 4 } else { 0 };
            let size = format!("{cores},{memory}");
            self.row("machine_events", up, format!("{up},{machine},0,p{},{size}", machine % 3));
            if machine % 13 == 0 {
                let gone = BEGIN + self.model.length * SECOND * 3 / 5;
                self.row("machine_events", gone, format!("{gone},{machine},1,p{},{size}", machine % 3));
            }
            if machine == 2 {
                let at = BEGIN + self.model.length * SECOND * 2 / 5;
                self.row("machine_events", at, format!("{at},{machine},1,p2,{size}"));
                self.row("machine_events", at, format!("{at},{machine},0,p2,{size}"));
            }
        }
        for (n, job) in jobs.iter().enumerate() {
            let (id, at) = (n as u64 + 1_000, BEGIN + job.at);
            self.row("job_events", at, format!("{at},,{id},0,u{},{},j{id},l{}", n % 7, job.class, n % 50));
            for index in 0..job.tasks {
                let row = |at: u64, kind: u32, machine: String| {
                    let apart = u32::from(job.apart);
                    format!(
                        "{at},,{id},{index},{machine},{kind},u{},{},{},{},{},0.001,{apart}",
                        n % 7,
                        job.class,
                        job.priority,
                        job.cores,
                        job.memory
                    )
                };
                let machine = self.runs_on(id + index);
                let started = at + 100_000 + (id * 31 + index * 17) % 400_000;
                let stay = (job.life as f64 * self.between(0.9, 1.1)) as u64;
                let ended = started + stay.max(SECOND);
                self.row("task_events", at, row(at, 0, String::new()));
                self.row("task_events", started, row(started, 1, machine.to_string()));
                if ended < end {
                    self.row("task_events", ended, row(ended, 4, machine.to_string()));
                }
                // Measured over windows of up to a fifth of the trace.
                let window = (self.model.length * SECOND / 5).max(SECOND);
                let mut from = started;
                while from < ended.min(end) {
                    let until = (from + window).min(ended).min(end);
                    let (cores, memory) =
                        (job.cores * self.between(0.3, 0.7), job.memory * self.between(0.4, 0.8));
                    let row =
                        format!("{from},{until},{id},{index},{machine},{cores:.6},{memory:.6},{memory:.6}");
                    self.row("task_usage", until, row);
                    from = until;
                }
            }
        }
        let after = (1u64 << 63) - 1;
        self.row("task_events", after, format!("{after},,1000,0,1,4,u0,0,0,0.1,0.1,0.001,0"));
    }

    /// Rows that are wrong are rows of their own, so that each is met once.
    fn google_faults(&mut self) {
        let count = self.model.faults;
        if count == 0 {
            return;
        }
        let end = (600 + self.model.length) * SECOND;
        let table = self.tables.get("task_events").cloned().unwrap_or_default();
        let known: Vec<(u64, String)> =
            table.into_iter().filter(|(at, row)| *at < end && row.contains(",0,u")).collect();
        // Updates of a pending task's ask, each at its own instant late in the trace.
        let mut at = end;
        for n in 0..count {
            let of = &known[n as usize % known.len()].1;
            let mut words: Vec<String> = of.split(',').map(str::to_owned).collect();
            "7".clone_into(&mut words[5]);
            let mut update = |maker: &mut Self, fault: Fault, change: &dyn Fn(&mut Vec<String>, u64)| {
                at += 1_000;
                let mut row = words.clone();
                row[0] = at.to_string();
                change(&mut row, at);
                maker.row("task_events", at, row.join(","));
                maker.met(fault, 1);
            };
            update(self, Fault::MissingField, &|row, _| row.truncate(10));
            update(self, Fault::EmptyField, &|row, _| row[10].clear());
            update(self, Fault::BadNumber, &|row, _| "much".clone_into(&mut row[9]));
            update(self, Fault::Negative, &|row, _| "-0.5".clone_into(&mut row[9]));
            update(self, Fault::Absurd, &|row, _| "99".clone_into(&mut row[10]));
            update(self, Fault::UnknownValue, &|row, _| "11".clone_into(&mut row[5]));
            update(self, Fault::EndWithoutStart, &|row, _| {
                (row[2], row[5]) = ((9_000_000 + n).to_string(), "4".to_owned());
            });
            update(self, Fault::UndeclaredMachine, &|row, _| {
                (row[4], row[5]) = ((8_000_000 + n).to_string(), "1".to_owned());
            });
            update(self, Fault::OutOfOrder, &|row, at| row[0] = (at - 2_500).to_string());
            update(self, Fault::TooLate, &|row, _| row[0] = "1000".to_owned());
            // The same row twice, one behind the other.
            at += 1_000;
            let mut twice = words.clone();
            twice[0] = at.to_string();
            self.row("task_events", at, twice.join(","));
            self.row("task_events", at, twice.join(","));
            self.met(Fault::Duplicate, 1);
            let (job, index) = (&words[2], &words[3]);
            let wanted: u64 = words[0].parse().unwrap_or(0);
            let (from, until) = (wanted.saturating_sub(1_000_000), end + n * 20_000);
            self.row("task_usage", until, format!("{from},{until},{job},{index},1,0.01,0.01,0.01"));
            self.met(Fault::UsageBeforeStart, 1);
            let until = end + n * 20_000 + 10_000;
            self.row("task_usage", until, format!("{end},{until},7000000,{n},1,0.01,0.01,0.01"));
            self.met(Fault::UsageWithoutTask, 1);
        }
        // Sentinels stay last.
        let after = (1u64 << 63) - 1;
        if let Some(rows) = self.tables.get_mut("task_events") {
            let (last, rest): (Rows, Rows) = rows.drain(..).partition(|(at, _)| *at == after);
            rows.extend(rest);
            rows.extend(last);
        }
    }

    fn alibaba(&mut self, jobs: &[Job]) {
        let seconds = |at: u64| at / SECOND;
        for machine in 1..=self.model.machines {
            let up = if machine % 17 == 0 { self.model.length / 4 } else { 0 };
            let domain = machine % 8;
            self.row("machine_meta", up, format!("m_{machine},{up},{domain},d{domain},96,100,USING"));
            if machine % 13 == 0 {
                let gone = self.model.length * 3 / 5;
                self.row(
                    "machine_meta",
                    gone,
                    format!("m_{machine},{gone},{domain},d{domain},96,100,OFFLINE"),
                );
            }
        }
        for (n, job) in jobs.iter().enumerate() {
            let (start, end) = (seconds(job.at), seconds(job.at + job.life).max(seconds(job.at) + 1));
            if job.class == 3 {
                for index in 0..job.tasks {
                    let container = format!("c_{}", n as u64 * 100 + index);
                    let machine = self.runs_on(n as u64 + index);
                    let (cores, memory) = ((job.cores * 9_600.0) as u64, job.memory * 100.0);
                    self.row(
                        "container_meta",
                        start,
                        format!(
                            "{container},m_{machine},{start},app_{n},started,{cores},{cores},{memory:.3}"
                        ),
                    );
                    for window in 1..4 {
                        let (cpu, mem) = (self.between(20.0, 70.0) as u64, self.between(40.0, 80.0) as u64);
                        let at = start + window * 300;
                        let row = format!("{container},m_{machine},{at},{cpu},{mem},1.2,0.3,2.1,0.1,0.1,3");
                        self.row("container_usage", at, row);
                    }
                }
                continue;
            }
            let (cpu, mem) = ((job.cores * 9_600.0) as u64, job.memory * 100.0);
            let over = end < self.model.length;
            let (status, end_time) =
                if over { ("Terminated", end.to_string()) } else { ("Running", String::new()) };
            let tasks = job.tasks;
            self.row(
                "batch_task",
                start,
                format!("task_M{n},{tasks},j_{n},{},{status},{start},{end_time},{cpu},{mem:.3}", n % 12),
            );
            for number in 1..=tasks.min(20) {
                let machine = self.runs_on(n as u64 + number);
                let (avg, mem) = (cpu as f64 * self.between(0.3, 0.7), mem * self.between(0.4, 0.8));
                self.row(
                    "batch_instance",
                    start,
                    format!(
                        "ins_{n}_{number},task_M{n},j_{n},{},{status},{start},{end_time},m_{machine},\
                         {number},{tasks},{avg:.1},{cpu},{mem:.4},{mem:.4}",
                        n % 12
                    ),
                );
            }
        }
    }

    fn alibaba_faults(&mut self) {
        for n in 0..self.model.faults {
            let name = |kind: &str| format!("c_{kind}_{n}");
            let full = |kind: &str, cpu: &str, mem: &str, status: &str| {
                format!("{},m_1,1,app_x{n},{status},{cpu},{cpu},{mem}", name(kind))
            };
            let wrong = [
                (Fault::MissingField, format!("{},m_1,1,app_x{n},started,100,100", name("missing"))),
                (Fault::EmptyField, full("empty", "100", "", "started")),
                (Fault::BadNumber, full("bad", "100", "much", "started")),
                (Fault::Negative, full("negative", "100", "-3", "started")),
                (Fault::Absurd, full("absurd", "100", "100000", "started")),
                (Fault::UnknownValue, full("unknown", "100", "1", "dreaming")),
                (Fault::EndWithoutStart, full("end", "100", "1", "stopped")),
                (Fault::Duplicate, full("twice", "100", "1", "started")),
            ];
            for (fault, row) in wrong {
                if fault == Fault::Duplicate {
                    self.row("container_meta", 1, row.clone());
                }
                self.row("container_meta", 1, row);
                self.met(fault, 1);
            }
            let undeclared = format!("c_lost_{n},m_none_{n},1,app_x{n},started,100,100,1");
            self.row("container_meta", 1, undeclared);
            self.met(Fault::UndeclaredMachine, 1);
            self.row("container_usage", 1, format!("c_nobody_{n},m_1,300,10,10,,,,,,"));
            self.met(Fault::UsageWithoutTask, 1);
        }
    }

    fn write(&mut self, folder: &Path) -> Result<(), String> {
        for (table, rows) in std::mem::take(&mut self.tables) {
            self.made.rows.insert(table.to_owned(), rows.len() as u64);
            let parts = self.model.parts.max(1);
            let each = rows.len().div_ceil(parts).max(1);
            for (n, part) in rows.chunks(each).enumerate() {
                let end = if self.model.gzip { "csv.gz" } else { "csv" };
                let path = if parts == 1 {
                    folder.join(format!("{table}.{end}"))
                } else {
                    folder.join(table).join(format!("part-{n:05}-of-{parts:05}.{end}"))
                };
                let words = |e: std::io::Error| format!("{}: {e}", path.display());
                if let Some(parent) = path.parent() {
                    std::fs::create_dir_all(parent).map_err(words)?;
                }
                let file = BufWriter::new(File::create(&path).map_err(words)?);
                if self.model.gzip {
                    let mut out = GzEncoder::new(file, Compression::default());
                    lines(&mut out, part).map_err(words)?;
                    out.finish().and_then(|mut file| file.flush()).map_err(words)?;
                } else {
                    let mut out = file;
                    lines(&mut out, part).and_then(|()| out.flush()).map_err(words)?;
                }
                self.made.files.push(path);
            }
        }
        Ok(())
    }
}

fn lines(out: &mut impl Write, rows: &[(u64, String)]) -> std::io::Result<()> {
    rows.iter().try_for_each(|(_, row)| writeln!(out, "{row}"))
}
