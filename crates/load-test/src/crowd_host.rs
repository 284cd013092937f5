//! A part of the silent crowd in a process of its own, told by lines and telling by lines.
//!
//! `grow N`, `speak` and `end` come in; `up N` goes out, ten times a
//! second.

use mulleinhub_emulators::{Crowd, CrowdSettings};
use mulleinhub_event_loop::EventLoop;
use mulleinhub_interface::Duration;
use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration as StdDuration, Instant};

const TELL: StdDuration = StdDuration::from_millis(100);
/// Connections that go out from one address of ours: fewer than it has ports.
const FROM_ONE: usize = 10_000;

/// Runs one, for the hidden command; ends with its input.
///
/// # Errors
/// Where the system has no poll for it, or its output is gone.
pub fn host(number: usize, planners: &[SocketAddr], rate: f64) -> Result<(), String> {
    // Addresses in turn, so that no one of them runs out of ports.
    let most = mulleinhub_event_loop::descriptor_limit().unwrap_or(1 << 20);
    let froms = most.div_ceil(FROM_ONE).clamp(1, 200);
    let to = (0..froms)
        .flat_map(|f| planners.iter().map(move |to| format!("{to} from 127.0.{}.{}", 10 + number, 1 + f)))
        .collect();
    let settings = CrowdSettings {
        name: format!("crowd{number}"),
        many: 0,
        tenants: 20,
        planners: to,
        opens_a_second: rate,
        back_within: Duration::from_secs(2),
    };
    let mut shell =
        EventLoop::new(Crowd::new(settings, number as u64 + 1)).map_err(|e| format!("poll: {e}"))?;
    let (told, tells) = mpsc::channel::<String>();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if told.send(line).is_err() {
                return;
            }
        }
    });
    let mut last = Instant::now();
    let mut out = std::io::stdout();
    loop {
        shell.run_once(StdDuration::from_millis(10)).map_err(|e| format!("poll: {e}"))?;
        let now = shell.now();
        match tells.try_recv() {
            Ok(line) => match line.split_once(' ').unwrap_or((&line, "")) {
                ("grow", many) => shell.state_machine.grow(now, many.parse().unwrap_or(0)),
                ("speak", _) => shell.state_machine.speaks(1.0),
                _ => return Ok(()),
            },
            Err(mpsc::TryRecvError::Disconnected) => return Ok(()),
            Err(mpsc::TryRecvError::Empty) => {}
        }
        if last.elapsed() >= TELL {
            last = Instant::now();
            writeln!(out, "up {}", shell.state_machine.up())
                .and_then(|()| out.flush())
                .map_err(|e| format!("output: {e}"))?;
        }
    }
}

/// One such process, from the campaign's side.
pub struct CrowdProcess {
    child: Child,
    input: Option<ChildStdin>,
    lines: mpsc::Receiver<String>,
    /// Connections that were greeted and are up, as it told last.
    pub up: usize,
}

impl CrowdProcess {
    /// # Errors
    /// What the system refuses.
    pub fn start(number: usize, planners: &[SocketAddr], rate: f64) -> Result<Self, String> {
        let ourselves = std::env::current_exe().map_err(|e| format!("this program: {e}"))?;
        let mut child = Command::new(&ourselves)
            .args(["crowd", &number.to_string(), &rate.to_string()])
            .args(planners.iter().map(ToString::to_string))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{}: {e}", ourselves.display()))?;
        let (input, output) = (child.stdin.take(), child.stdout.take());
        let (tell, lines) = mpsc::channel();
        if let Some(output) = output {
            std::thread::spawn(move || {
                for line in std::io::BufReader::new(output).lines().map_while(Result::ok) {
                    if tell.send(line).is_err() {
                        return;
                    }
                }
            });
        }
        Ok(Self { child, input, lines, up: 0 })
    }

    /// # Errors
    /// That it is gone.
    pub fn says(&mut self, line: &str) -> Result<(), String> {
        let input = self.input.as_mut().ok_or("a crowd without an input")?;
        writeln!(input, "{line}").and_then(|()| input.flush()).map_err(|e| format!("a crowd is gone: {e}"))
    }

    pub fn look(&mut self) {
        for line in self.lines.try_iter() {
            if let Some(up) = line.strip_prefix("up ").and_then(|up| up.parse().ok()) {
                self.up = up;
            }
        }
    }
}

impl Drop for CrowdProcess {
    fn drop(&mut self) {
        self.input = None;
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
