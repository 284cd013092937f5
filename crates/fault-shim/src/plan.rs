//! The plan of faults: which calls fail, how, how often and when.

use std::fmt;

/// A replaced function, or a group of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Accepting a connection.
    Accept,
    /// Creating a socket.
    Socket,
    /// Connecting a socket.
    Connect,
    /// The pending error of a socket, as the end of a connect reports it.
    SocketError,
    /// Receiving from a TCP socket.
    Receive,
    /// Sending on a TCP socket.
    Send,
    /// Waiting for events.
    Wait,
    /// The wall clock.
    WallClock,
    /// Opening a file for writing, below the folder of the rule.
    Open,
    /// Writing to a file.
    Write,
    /// Flushing a file to the disk.
    Sync,
    /// Renaming a file.
    Rename,
}

/// What an affected call does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It fails with this error number.
    Error(i32),
    /// It transfers a part of the bytes only.
    Short,
    /// The clock is off by so many milliseconds.
    Step(i64),
    /// It is made so many milliseconds later, as in a process that gets too little of a processor.
    Delay(u64),
}

/// One rule of a plan: `CALL FAULT PERCENT FROM_MS UNTIL_MS`, for example `accept ECONNABORTED 20 0 4000`. The
/// times count from the start of the process; for a clock, the fault is `step=MILLISECONDS`, and any other call may
/// have `delay=MILLISECONDS`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// The call.
    pub call: Call,
    /// What happens to it.
    pub fault: Fault,
    /// In so many of a hundred calls.
    pub percent: f64,
    /// From so many milliseconds after the start.
    pub from_ms: u64,
    /// Until so many milliseconds after the start.
    pub until_ms: u64,
}

/// Why a line is no rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanError {
    /// The line.
    pub line: String,
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no rule of a fault plan: {:?}", self.line)
    }
}

impl std::error::Error for PlanError {}

impl Rule {
    /// Whether the rule is in force then.
    pub fn covers(&self, elapsed_ms: u64) -> bool {
        (self.from_ms..self.until_ms).contains(&elapsed_ms)
    }

    fn parse(line: &str) -> Option<Self> {
        let mut words = line.split_whitespace();
        let rule = Self {
            call: parse_call(words.next()?)?,
            fault: parse_fault(words.next()?)?,
            percent: words.next()?.parse().ok()?,
            from_ms: words.next()?.parse().ok()?,
            until_ms: words.next()?.parse().ok()?,
        };
        words.next().is_none().then_some(rule)
    }
}

fn parse_call(word: &str) -> Option<Call> {
    Some(match word {
        "accept" => Call::Accept,
        "socket" => Call::Socket,
        "connect" => Call::Connect,
        "so_error" => Call::SocketError,
        "recv" => Call::Receive,
        "send" => Call::Send,
        "wait" => Call::Wait,
        "wall_clock" => Call::WallClock,
        "open" => Call::Open,
        "write" => Call::Write,
        "sync" => Call::Sync,
        "rename" => Call::Rename,
        _ => return None,
    })
}

fn parse_fault(word: &str) -> Option<Fault> {
    if let Some(ms) = word.strip_prefix("step=") {
        return ms.parse().ok().map(Fault::Step);
    }
    if let Some(ms) = word.strip_prefix("delay=") {
        return ms.parse().ok().map(Fault::Delay);
    }
    let number = match word {
        "short" => return Some(Fault::Short),
        "EINTR" => libc::EINTR,
        "EIO" => libc::EIO,
        "ENOSPC" => libc::ENOSPC,
        "EMFILE" => libc::EMFILE,
        "ENFILE" => libc::ENFILE,
        "ENOBUFS" => libc::ENOBUFS,
        "ENOMEM" => libc::ENOMEM,
        "EPROTO" => libc::EPROTO,
        "ECONNABORTED" => libc::ECONNABORTED,
        "ECONNREFUSED" => libc::ECONNREFUSED,
        "ECONNRESET" => libc::ECONNRESET,
        "EADDRNOTAVAIL" => libc::EADDRNOTAVAIL,
        "ENETUNREACH" => libc::ENETUNREACH,
        "EHOSTUNREACH" => libc::EHOSTUNREACH,
        "ETIMEDOUT" => libc::ETIMEDOUT,
        _ => return None,
    };
    Some(Fault::Error(number))
}

/// Reads a plan; empty lines and lines that begin with `#` are skipped.
///
/// # Errors
/// The first line that is no rule.
pub fn parse_plan(text: &str) -> Result<Vec<Rule>, PlanError> {
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#'));
    lines.map(|line| Rule::parse(line).ok_or_else(|| PlanError { line: line.to_owned() })).collect()
}
