//! A day with real sockets: the stage in this process, each planner in one of its own.

use crate::process::{PlannerProcess, Usage};
use mulleinhub_event_loop::EventLoop;
use mulleinhub_interface::Timestamp;
use mulleinhub_planner::LedgerText;
use mulleinhub_scenario::{Behind, Day, Fate, PlannerDeed, Progress, Score, Stage};
use mulleinhub_simulation::planner_settings_text;
use rustix::process::Signal;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How long a planner may take to end when the day is over.
const GOODBYE: Duration = Duration::from_millis(500);

/// What a planner's settings are written from, and its files.
struct Told {
    n: usize,
    listen: SocketAddr,
    list: String,
    members: Vec<(String, String)>,
    state: PathBuf,
    orders: PathBuf,
    ahead: i64,
}

impl Told {
    fn text(&self, day: &Day) -> String {
        let books = day.books.as_ref().map(|books| LedgerText {
            terms: &books.terms,
            members: self.members.clone(),
            directives_file: Some(&self.orders),
            clock_ahead_ms: self.ahead,
        });
        planner_settings_text(day, self.n, Some(self.listen), self.list.clone(), Some(&self.state), books)
            .render()
    }

    /// What is in the store's place: now, when it was killed last, and the time before.
    fn stores(&self) -> [PathBuf; 3] {
        ["books", "books.killed", "books.before"].map(|name| self.state.join(name))
    }

    /// The store of a planner that is down is lost, or is what it was when it was killed the time before.
    fn change_store(&self, fate: Fate) -> Result<(), String> {
        let [store, _, before] = self.stores();
        let words = |e: std::io::Error| format!("{}: {e}", store.display());
        if store.exists() {
            std::fs::remove_file(&store).map_err(words)?;
        }
        match fate {
            Fate::Old if before.exists() => std::fs::copy(&before, &store).map(drop).map_err(words),
            Fate::Old | Fate::Lost => Ok(()),
        }
    }

    /// Keeps a copy of the store of a planner that was killed.
    fn copy_store(&self) -> Result<(), String> {
        let [store, killed, before] = self.stores();
        let words = |e: std::io::Error| format!("{}: {e}", store.display());
        if killed.exists() {
            std::fs::rename(&killed, &before).map_err(words)?;
        }
        if store.exists() { std::fs::copy(&store, &killed).map(drop).map_err(words) } else { Ok(()) }
    }
}

/// One planner of the day, and what its processes used that are over.
struct Planner {
    process: PlannerProcess,
    usage: Usage,
    told: Told,
}

impl Planner {
    /// An order more in its file.
    fn give_order(&self, line: &str) -> Result<(), String> {
        let orders = &self.told.orders;
        let words = |e: std::io::Error| format!("{}: {e}", orders.display());
        let mut file = File::options().append(true).open(orders).map_err(words)?;
        writeln!(file, "{line}").map_err(words)?;
        self.process.signal(Signal::HUP);
        Ok(())
    }

    /// Its settings are written anew.
    fn tell_again(&self, day: &Day) -> Result<(), String> {
        let settings = self.told.state.with_extension("conf");
        std::fs::write(&settings, self.told.text(day)).map_err(|e| format!("{}: {e}", settings.display()))?;
        self.process.signal(Signal::HUP);
        Ok(())
    }

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

/// Which program a planner is started with: by its number from 0, and the instant. Nothing is this program's
/// own.
pub type Programs<'a> = &'a dyn Fn(usize, Timestamp) -> Option<PathBuf>;

/// Plays a day to its end; settings, logs and kept lists of the planners go to `folder`.
///
/// # Errors
/// What the system refuses, and a planner that ends by itself, in words.
pub fn play(
    day: Day,
    folder: &Path,
    capture: &Path,
    programs: Programs<'_>,
    mut watch: impl FnMut(Timestamp, &Progress),
) -> Result<(Score, Timestamp, Usage), String> {
    let words = |what: &Path, e: std::io::Error| format!("{}: {e}", what.display());
    std::fs::create_dir_all(folder).map_err(|e| words(folder, e))?;
    let out = BufWriter::new(File::create(capture).map_err(|e| words(capture, e))?);
    let mut shell = EventLoop::new(Stage::new(day.clone(), out)).map_err(|e| format!("poll: {e}"))?;
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut lists = vec![String::new(); day.planners];
    let mut members: Vec<Vec<(String, String)>> = vec![Vec::new(); day.planners];
    for (door, planner, behind) in shell.state_machine.doors() {
        let at = shell.listen(any, door).map_err(|e| format!("listening for planner {planner}: {e}"))?;
        match behind {
            Behind::Machine(_) => shell.state_machine.set_address(door, at.to_string()),
            Behind::List => lists[planner] = at.to_string(),
            Behind::Books(other) => members[planner].push((format!("planner-{}", other + 1), at.to_string())),
        }
    }
    // What the system's clock is behind that of the day, in milliseconds.
    let system = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as i64);
    let begins = day.books.as_ref().map_or(0, |books| books.begins() as i64 - system);
    let mut planners = Vec::new();
    for (n, (list, mut members)) in lists.into_iter().zip(members).enumerate() {
        let listen = free_port()?;
        let name = format!("planner-{}", n + 1);
        shell.set_address(name.clone(), listen);
        if day.books.is_some() {
            let books = free_port()?;
            shell.set_address(format!("books-{}", n + 1), books);
            members.push((name.clone(), books.to_string()));
        }
        let file = |end: &str| folder.join(format!("{name}.{end}"));
        let settings = file("conf");
        let told =
            Told { n, listen, list, members, state: file("state"), orders: file("orders"), ahead: begins };
        std::fs::write(&told.orders, "").map_err(|e| words(&told.orders, e))?;
        std::fs::write(&settings, told.text(&day)).map_err(|e| words(&settings, e))?;
        let process = PlannerProcess::new(settings, file("log"), None);
        planners.push(Planner { process, usage: Usage::default(), told });
    }
    let mut looked = 0;
    loop {
        shell.run_once(Duration::from_millis(20)).map_err(|e| format!("poll: {e}"))?;
        let now = shell.now();
        while let Some(deed) = shell.state_machine.next_deed() {
            match deed {
                PlannerDeed::Start(n) => {
                    planners[n].process.set_program(programs(n, now));
                    planners[n].process.start()?;
                }
                PlannerDeed::Kill(n) => {
                    planners[n].kill();
                    planners[n].told.copy_store()?;
                }
                PlannerDeed::Stop(n) => planners[n].process.signal(Signal::STOP),
                PlannerDeed::Continue(n) => planners[n].process.signal(Signal::CONT),
                PlannerDeed::Store(n, fate) => planners[n].told.change_store(fate)?,
                PlannerDeed::Order(n, place) => {
                    let line = shell.state_machine.order(place).to_owned();
                    planners[n].give_order(&line)?;
                }
                PlannerDeed::Clock(n, ahead) => {
                    planners[n].told.ahead = begins + ahead;
                    planners[n].tell_again(&day)?;
                }
                // Only a disk of our own could be filled without rights: virtual time plays it.
                PlannerDeed::DiskFull(..) => {}
            }
            let now = shell.now();
            shell.state_machine.did(now, deed);
        }
        for (n, planner) in planners.iter_mut().enumerate() {
            if let Some(status) = planner.process.ended() {
                let log = planner.process.log.display();
                return Err(format!("planner {} ended by itself ({status}); its log: {log}", n + 1));
            }
        }
        if now.nanos() / 200_000_000 > looked {
            looked = now.nanos() / 200_000_000;
            watch(now, &shell.state_machine.progress());
        }
        if shell.state_machine.is_over(now) {
            break;
        }
    }
    // The planners end after the record: what they would still say belongs to no day.
    let end = shell.now();
    let (score, mut out) = shell.state_machine.finish(end).map_err(|e| words(capture, e))?;
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
