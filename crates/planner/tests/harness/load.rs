//! Load clients, which run in the background of a test and count their answers.

use super::fleet::FIRST_LOAD_TASK;
use super::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

/// How long a load client waits for an answer: its own timeout of two seconds, and as much for a busy
/// machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// Results of a load client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadStats {
    pub requests: usize,
    pub placed: usize,
    pub rejected: usize,
    pub failed: usize,
    /// Requests without an answer in time, or whose connection ended without one.
    pub unanswered: usize,
    /// The longest time without a placed task.
    pub longest_gap: Duration,
    /// The time within which 99 of 100 answers came.
    pub p99: Duration,
}

/// The time within which 99 of 100 of these are over.
fn p99(mut latencies: Vec<Duration>) -> Duration {
    latencies.sort_unstable();
    let rank = (latencies.len() * 99).div_ceil(100);
    latencies.get(rank.saturating_sub(1)).copied().unwrap_or_default()
}

/// A client that sends one start request after another, in the background.
pub struct LoadClient {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<LoadStats>,
}

/// Pause between two requests of a load client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

impl LoadClient {
    /// The numbers of its tasks are derived from `number`.
    pub fn new(at: SocketAddr, number: u64) -> Self {
        Self::with_writer(at, number, |stream, bytes| stream.write_all(bytes))
    }

    /// Writes its requests in fragments of so many bytes, with a pause between them.
    pub fn fragmented(at: SocketAddr, number: u64, fragment_length: usize, pause: Duration) -> Self {
        Self::with_writer(at, number, move |stream, bytes| {
            write_fragmented(stream, bytes, fragment_length, pause)
        })
    }

    fn with_writer(
        at: SocketAddr,
        number: u64,
        write: impl Fn(&mut TcpStream, &[u8]) -> std::io::Result<()> + Send + 'static,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || run_load(at, number, &stopped, write));
        Self { stop, thread }
    }

    /// Stops sending, and returns the results.
    pub fn stop(self) -> LoadStats {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("it counts to the end")
    }
}

/// Writes bytes in fragments, with a pause between them.
pub fn write_fragmented(
    stream: &mut TcpStream,
    bytes: &[u8],
    fragment_length: usize,
    pause: Duration,
) -> std::io::Result<()> {
    for (at, part) in bytes.chunks(fragment_length).enumerate() {
        if at > 0 {
            std::thread::sleep(pause);
        }
        stream.write_all(part)?;
    }
    Ok(())
}

fn run_load(
    at: SocketAddr,
    number: u64,
    stop: &AtomicBool,
    write: impl Fn(&mut TcpStream, &[u8]) -> std::io::Result<()>,
) -> LoadStats {
    let (mut stats, mut open, mut last_served_at) = (LoadStats::default(), None, Instant::now());
    let mut latencies = Vec::new();
    for n in 1.. {
        let now = Instant::now();
        stats.longest_gap = stats.longest_gap.max(now - last_served_at);
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let task = number * FIRST_LOAD_TASK + n;
        let Some(mut stream) = open.take().or_else(|| TcpStream::connect(at).ok()) else {
            std::thread::sleep(REQUEST_INTERVAL);
            continue;
        };
        configure(&stream);
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("is set");
        stats.requests += 1;
        let sent_at = Instant::now();
        let answer =
            write(&mut stream, &start_request(task)).ok().and_then(|()| answer_to(&mut stream, task));
        latencies.extend(answer.map(|_| sent_at.elapsed()));
        match answer {
            Some(Answer::Placed) => {
                stats.placed += 1;
                stats.longest_gap = stats.longest_gap.max(last_served_at.elapsed());
                last_served_at = Instant::now();
            }
            Some(Answer::Failed) => stats.failed += 1,
            Some(Answer::Rejected) => stats.rejected += 1,
            None => {
                stats.unanswered += 1;
                continue;
            }
        }
        open = Some(stream);
        std::thread::sleep(REQUEST_INTERVAL);
    }
    LoadStats { p99: p99(latencies), ..stats }
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Placed,
    Rejected,
    Failed,
}

/// The answer to the start request of a task; `None` if the connection ends without one, or none arrives in
/// time.
pub fn answer_to(stream: &mut TcpStream, task: u64) -> Option<Answer> {
    let (mut frames, mut bytes) = (FrameBuffer::default(), [0; 1]);
    while stream.read(&mut bytes).ok()? == 1 {
        frames.extend(&bytes);
        let Some(frame) = frames.next_frame().expect("a valid frame") else { continue };
        match (frame.task == task, frame.kind) {
            (true, kind::ACCEPT) => return Some(Answer::Placed),
            (true, kind::RELEASE) => {
                let failed = mulleinhub_platform_protocol::cause(&frame) == Some(cause_code::ERROR);
                return Some(if failed { Answer::Failed } else { Answer::Rejected });
            }
            // Ends of earlier tasks.
            _ => {}
        }
    }
    None
}
