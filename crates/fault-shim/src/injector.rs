//! Decides for each call whether it is affected, and logs what was injected.

use crate::plan::{Call, Fault, Rule, parse_plan};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// Environment variable with the path of the plan.
pub const PLAN_VARIABLE: &str = "FAULT_PLAN";
/// Environment variable with the path of the log.
pub const LOG_VARIABLE: &str = "FAULT_LOG";
/// Environment variable with the seed of the draws.
pub const SEED_VARIABLE: &str = "FAULT_SEED";
/// Environment variable with the folder whose files the rules for files affect: its path, or the last part of it,
/// as in `.state/`, for folders whose names are not known before.
pub const FOLDER_VARIABLE: &str = "FAULT_FOLDER";

const MS_PER_SECOND: u64 = 1_000;
const NANOS_PER_MS: u64 = 1_000_000;
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// The plan of this process.
pub(crate) struct Injector {
    rules: Vec<Rule>,
    log: Option<libc::c_int>,
    pub(crate) folder: Option<String>,
    started_at_ms: u64,
    draws: AtomicU64,
    /// Length of the clock step that was last logged.
    logged_step: AtomicU64,
}

/// Milliseconds of the monotonic clock, which no rule affects.
fn monotonic_ms() -> u64 {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the kernel writes to a timespec that lives on the stack.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &raw mut now) };
    (now.tv_sec as u64 * NANOS_PER_SECOND + now.tv_nsec as u64) / NANOS_PER_MS
}

/// Sleeps that long; a signal ends the sleep early.
fn sleep(ms: u64) {
    let (seconds, nanos) = (ms / MS_PER_SECOND, ms % MS_PER_SECOND * NANOS_PER_MS);
    let length = libc::timespec { tv_sec: seconds as libc::time_t, tv_nsec: nanos as libc::c_long };
    let no_rest = std::ptr::null_mut::<libc::timespec>();
    // SAFETY: the length lives on the stack, and the kernel accepts that nobody asks for the rest.
    unsafe { libc::syscall(libc::SYS_nanosleep, &raw const length, no_rest) };
}

fn open_log(path: &str) -> Option<libc::c_int> {
    let path = std::ffi::CString::new(path).ok()?;
    let flags = libc::O_WRONLY | libc::O_CREAT | libc::O_APPEND | libc::O_CLOEXEC;
    // SAFETY: the path is a string that ends with a zero byte.
    let fd = unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), flags, 0o644) };
    libc::c_int::try_from(fd).ok().filter(|fd| *fd >= 0)
}

/// One step of the splitmix64 generator.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

impl Injector {
    fn from_environment() -> Self {
        let text = std::env::var(PLAN_VARIABLE).ok().and_then(|path| std::fs::read_to_string(path).ok());
        let rules = text.map(|text| parse_plan(&text).unwrap_or_else(|error| panic!("{error}")));
        let seed = std::env::var(SEED_VARIABLE).ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
        Self {
            rules: rules.unwrap_or_default(),
            log: std::env::var(LOG_VARIABLE).ok().and_then(|path| open_log(&path)),
            folder: std::env::var(FOLDER_VARIABLE).ok(),
            started_at_ms: monotonic_ms(),
            draws: AtomicU64::new(mix(seed)),
            logged_step: AtomicU64::new(0),
        }
    }

    /// Whether the rules for files affect this path.
    pub(crate) fn affects_path(&self, path: &[u8]) -> bool {
        let Some(folder) = self.folder.as_deref().filter(|folder| !folder.is_empty()) else { return false };
        path.windows(folder.len()).any(|part| part == folder.as_bytes())
    }

    /// The fault of this call, if it is affected. It is logged, and a delay is over on return.
    pub(crate) fn fault(&self, call: Call) -> Option<Fault> {
        if self.rules.is_empty() {
            return None;
        }
        let elapsed_ms = monotonic_ms() - self.started_at_ms;
        let is_affected =
            |rule: &&Rule| rule.call == call && rule.covers(elapsed_ms) && self.draw() < rule.percent;
        let fault = self.rules.iter().find(is_affected)?.fault;
        if !matches!(fault, Fault::Step(ms) if self.logged_step.swap(ms as u64, Ordering::Relaxed) == ms as u64)
        {
            self.log(elapsed_ms, call, fault);
        }
        if let Fault::Delay(ms) = fault {
            sleep(ms);
        }
        Some(fault)
    }

    /// A number from 0 to 100.
    fn draw(&self) -> f64 {
        let state = self.draws.fetch_add(1, Ordering::Relaxed);
        (mix(state) >> 11) as f64 / (1u64 << 53) as f64 * 100.0
    }

    fn log(&self, elapsed_ms: u64, call: Call, fault: Fault) {
        let Some(fd) = self.log else { return };
        let line = format!("{elapsed_ms} {call:?} {fault:?}\n");
        // SAFETY: the buffer lives until the call returns. A log that can't be written stays incomplete, which
        // whoever counts its lines finds out.
        unsafe { libc::syscall(libc::SYS_write, fd, line.as_ptr(), line.len()) };
    }
}

/// The injector of this process, made at the first affected call. None while it is being made: reading the
/// plan makes calls itself.
pub(crate) fn injector() -> Option<&'static Injector> {
    static INJECTOR: OnceLock<Injector> = OnceLock::new();
    static STATE: AtomicU64 = AtomicU64::new(0);
    if let Some(injector) = INJECTOR.get() {
        return Some(injector);
    }
    if STATE.swap(1, Ordering::SeqCst) == 0 {
        let _ = INJECTOR.set(Injector::from_environment());
    }
    INJECTOR.get()
}
