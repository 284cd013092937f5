//! Messages other than start requests: their parameters, and how all messages are written.

use crate::frame::Frame;
use crate::{Cause, code, kind};

/// Why a machine rejected or ended a task, beside the cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Rejected: the machine has too few free cores.
    InsufficientCores,
    /// Rejected: the machine has too little free memory.
    InsufficientMemory,
    /// Rejected: the machine's queue is full.
    QueueFull,
    /// Rejected: the machine does not run tasks of this kind.
    NotHere,
    /// Ended: the machine has killed the task.
    Evicted,
    /// Ended: a task of higher priority took its place.
    Preempted,
    /// Ended: the machine has dismissed the task.
    Dismissed,
}

/// The cause of a message, if it has one of one byte.
pub fn cause(frame: &Frame<'_>) -> Option<Cause> {
    match frame.param(code::CAUSE) {
        Some([cause]) => Some(*cause),
        _ => None,
    }
}

/// The name and the value of a note; a value that is not a finite number counts as none.
pub fn note<'a>(frame: &Frame<'a>) -> Option<(&'a str, Option<f64>)> {
    let value = frame.text(code::VALUE).and_then(|text| text.parse::<f64>().ok());
    Some((frame.text(code::NOTE)?, value.filter(|value| value.is_finite())))
}

/// The reason of a rejection or release, if the machine gives a known one.
pub fn reason(frame: &Frame<'_>) -> Option<Reason> {
    Some(match frame.text(code::NOTE)? {
        "lack_cpu" => Reason::InsufficientCores,
        "lack_ram" => Reason::InsufficientMemory,
        "backlog" => Reason::QueueFull,
        "unfit" => Reason::NotHere,
        "killed" => Reason::Evicted,
        "displaced" => Reason::Preempted,
        "dismissed" => Reason::Dismissed,
        _ => return None,
    })
}

/// Appends a message; its length field is filled in after its parameters are written.
fn append_message(out: &mut Vec<u8>, kind: u8, task: u64, params: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend_from_slice(&[0, 0, kind]);
    out.extend_from_slice(&task.to_be_bytes());
    params(out);
    let length = u16::try_from(out.len() - start - 2).expect("a message is bounded by its parameters");
    out[start..start + 2].copy_from_slice(&length.to_be_bytes());
}

fn append_param(out: &mut Vec<u8>, code: u8, value: &[u8]) {
    out.push(code);
    out.extend_from_slice(&u16::try_from(value.len()).expect("a value is bounded").to_be_bytes());
    out.extend_from_slice(value);
}

/// Appends a message with these parameters.
///
/// # Panics
/// Like all writers, if the message doesn't fit its 16-bit length field.
pub fn write_message(out: &mut Vec<u8>, kind: u8, task: u64, params: &[(u8, &[u8])]) {
    append_message(out, kind, task, |out| {
        params.iter().for_each(|(code, value)| append_param(out, *code, value));
    });
}

/// Appends a message that has only a cause.
pub fn write_with_cause(out: &mut Vec<u8>, kind: u8, task: u64, cause: Cause) {
    write_message(out, kind, task, &[(code::CAUSE, &[cause])]);
}

/// Appends a rejection; the time after which to retry is omitted if it is 0.
pub fn write_rejection(out: &mut Vec<u8>, task: u64, cause: Cause, retry_after_ms: u64) {
    append_message(out, kind::RELEASE, task, |out| {
        if retry_after_ms > 0 {
            append_param(out, code::RETRY_AFTER, retry_after_ms.to_string().as_bytes());
        }
        append_param(out, code::CAUSE, &[cause]);
    });
}

/// Appends an acceptance; the description is forwarded unchanged.
pub fn write_acceptance(out: &mut Vec<u8>, task: u64, description: &[u8]) {
    write_message(out, kind::ACCEPT, task, &[(code::DESCRIPTION, description)]);
}

/// Appends a start request for a machine, of the parts that are forwarded unchanged and the time that the
/// requester waits.
pub fn write_start_request(
    out: &mut Vec<u8>,
    task: u64,
    class: &str,
    timeout_ms: u64,
    idempotency_key: Option<&str>,
    name: &str,
    description: &[u8],
) {
    append_message(out, kind::START, task, |out| {
        append_param(out, code::CLASS, class.as_bytes());
        append_param(out, code::TIMEOUT, timeout_ms.to_string().as_bytes());
        if let Some(key) = idempotency_key {
            append_param(out, code::IDEMPOTENCY_KEY, key.as_bytes());
        }
        append_param(out, code::NAME, name.as_bytes());
        append_param(out, code::DESCRIPTION, description);
    });
}
