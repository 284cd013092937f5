//! A day with real sockets: the stage in this process, each planner in one of its own.

use mulleinhub_day::{Day, PlannerDeed, Progress, Score, Stage};
use mulleinhub_interface::Time;
use mulleinhub_load::{PlannerProcess, Usage};
use mulleinhub_runner::planner_text;
use mulleinhub_shell::Shell;
use rustix::process::Signal;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::time::Duration;

/// How long a planner may take to end when the day is over.
const GOODBYE: Duration = Duration::from_millis(500);

/// One planner of the day, and what its processes used that are over.
struct Planner {
    process: PlannerProcess,
    usage: Usage,
}

impl Planner {
    fn used(&mut self, usage: Usage) {
        self.usage.cpu += usage.cpu;
        self.usage.most_memory = self.usage.most_memory.max(usage.most_memory);
    }

    fn kill(&mut self) {
        self.used(self.process.usage());
        self.process.kill();
    }

    /// Waits for it to end by itself, at most so long; what it used is known up to the last look.
    fn ends_within(&mut self, at_most: Duration) {
        let until = std::time::Instant::now() + at_most;
        let mut usage = self.process.usage();
        while self.process.runs() && std::time::Instant::now() < until {
            if self.process.ended().is_some() {
                self.used(usage);
                return self.process.kill();
            }
            // One that has just ended tells nothing any more.
            let last = self.process.usage();
            usage = if last.most_memory > 0 { last } else { usage };
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// A port that was free a moment ago.
fn free_port() -> Result<SocketAddr, String> {
    let probe = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(|e| format!("a free port: {e}"))?;
    probe.local_addr().map_err(|e| format!("a free port: {e}"))
}

/// Plays a day to its end; settings, logs and kept lists of the planners go to `folder`.
///
/// # Errors
/// What the system refuses, and a planner that ends by itself, in words.
pub fn play(
    day: Day,
    folder: &Path,
    capture: &Path,
    mut watch: impl FnMut(Time, &Progress),
) -> Result<(Score, Time, Usage), String> {
    let words = |what: &Path, e: std::io::Error| format!("{}: {e}", what.display());
    std::fs::create_dir_all(folder).map_err(|e| words(folder, e))?;
    let out = BufWriter::new(File::create(capture).map_err(|e| words(capture, e))?);
    let mut shell = Shell::new(Stage::new(day.clone(), out)).map_err(|e| format!("poll: {e}"))?;
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut lists = vec![String::new(); day.planners];
    for (door, planner, machine) in shell.party.doors() {
        let at = shell.listen(any, door).map_err(|e| format!("listening for planner {planner}: {e}"))?;
        match machine {
            Some(_) => shell.party.set_address(door, at.to_string()),
            None => lists[planner] = at.to_string(),
        }
    }
    let mut planners = Vec::new();
    for (n, list) in lists.into_iter().enumerate() {
        let listen = free_port()?;
        let name = format!("planner-{}", n + 1);
        shell.name(name.clone(), listen);
        let state = folder.join(format!("{name}.state"));
        let settings = folder.join(format!("{name}.conf"));
        let text = planner_text(&day, n, Some(listen), list, Some(&state)).show();
        std::fs::write(&settings, text).map_err(|e| words(&settings, e))?;
        let log = folder.join(format!("{name}.log"));
        planners.push(Planner { process: PlannerProcess::new(settings, log, None), usage: Usage::default() });
    }
    let mut looked = 0;
    loop {
        shell.step(Duration::from_millis(20)).map_err(|e| format!("poll: {e}"))?;
        let now = shell.now();
        while let Some(deed) = shell.party.next_deed() {
            match deed {
                PlannerDeed::Start(n) => planners[n].process.start()?,
                PlannerDeed::Kill(n) => planners[n].kill(),
                PlannerDeed::Stop(n) => planners[n].process.signal(Signal::STOP),
                PlannerDeed::Continue(n) => planners[n].process.signal(Signal::CONT),
            }
            let now = shell.now();
            shell.party.did(now, deed);
        }
        for (n, planner) in planners.iter_mut().enumerate() {
            if let Some(status) = planner.process.ended() {
                let log = planner.process.log.display();
                return Err(format!("planner {} ended by itself ({status}); its log: {log}", n + 1));
            }
        }
        if now.nanos() / 200_000_000 > looked {
            looked = now.nanos() / 200_000_000;
            watch(now, &shell.party.progress());
        }
        if shell.party.is_over(now) {
            break;
        }
    }
    // The planners end after the record: what they would still say belongs to no day.
    let end = shell.now();
    let (score, mut out) = shell.party.finish(end).map_err(|e| words(capture, e))?;
    out.flush().map_err(|e| words(capture, e))?;
    let mut usage = Usage::default();
    // They say in their logs what they did, unless they are stopped.
    planners.iter().for_each(|planner| planner.process.signal(Signal::TERM));
    for planner in &mut planners {
        planner.ends_within(GOODBYE);
        planner.kill();
        usage.cpu += planner.usage.cpu;
        usage.most_memory = usage.most_memory.max(planner.usage.most_memory);
    }
    Ok((score, end, usage))
}
