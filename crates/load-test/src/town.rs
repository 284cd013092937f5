//! Machines and a list service behind real sockets, in a thread of their own: a day's stage without owners.

use mulleinhub_event_loop::EventLoop;
use mulleinhub_interface::Duration;
use mulleinhub_scenario::{Behind, Day, PlannerDeed, Stage, parse_day};
use mulleinhub_settings::{Diagnostics, parse_text};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration as StdDuration;

const TOWN: &str = include_str!("../../../days/town.day");

/// The town's day: no owner asks for anything, and machines answer at once.
pub fn day(planners: usize) -> Result<Day, String> {
    let mut faults = Diagnostics::default();
    let text = format!(
        "name load\nlength 24h\nplanners {planners}\nowners 1\nrate 0\nracks 4\nmachines 24\n\
         delay 0ms\ncross-delay 0ms\n{TOWN}"
    );
    let mut day =
        parse_day(&parse_text("load.day", &text, &mut faults), &mut faults).ok_or(faults.render())?;
    (day.machine.look.low, day.machine.look.high) = (Duration::ZERO, Duration::ZERO);
    (day.machine.line.low, day.machine.line.high) = (10_000, 10_000);
    (day.machine.starts.low, day.machine.starts.high) = (10_000, 10_000);
    (day.machine.cold_from.low, day.machine.cold_from.high) = (1.0, 1.0);
    Ok(day)
}

/// A town that plays until it is dropped.
pub struct Town {
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    /// Where each planner finds its list.
    pub lists: Vec<String>,
}

impl Town {
    /// # Errors
    /// Where the system refuses a listener.
    pub fn start(day: &Day) -> Result<Self, String> {
        let mut shell =
            EventLoop::new(Stage::new(day.clone(), std::io::sink())).map_err(|e| format!("poll: {e}"))?;
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut lists = vec![String::new(); day.planners];
        for (door, planner, behind) in shell.state_machine.doors() {
            let at = shell.listen(any, door).map_err(|e| format!("a machine's listener: {e}"))?;
            match behind {
                Behind::Machine(_) => shell.state_machine.set_address(door, at.to_string()),
                Behind::List => lists[planner] = at.to_string(),
                Behind::Books(_) => {}
            }
        }
        let over = Arc::new(AtomicBool::new(false));
        let told = over.clone();
        let thread = std::thread::spawn(move || {
            while !told.load(Ordering::Relaxed) {
                if shell.run_once(StdDuration::from_millis(20)).is_err() {
                    return;
                }
                while let Some(deed) = shell.state_machine.next_deed() {
                    // Planners are started by the campaign; the town only believes it.
                    let now = shell.now();
                    if matches!(deed, PlannerDeed::Start(_)) {
                        shell.state_machine.did(now, deed);
                    }
                }
            }
        });
        Ok(Self { over, thread: Some(thread), lists })
    }
}

impl Drop for Town {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
