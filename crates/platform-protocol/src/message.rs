//! Messages but set-ups: what they say, and how they are written.

use crate::frames::Frame;
use crate::{code, kind};

/// Why something was refused, given up or is over.
pub type Cause = u8;

/// Causes.
pub mod why {
    /// The release of a task that came to its end; before an answer, a set-up given up.
    pub const ENDED: u8 = 16;
    pub const CANCELLED: u8 = 31;
    /// Refused: it never ran.
    pub const FULL: u8 = 34;
    pub const RESET: u8 = 41;
    /// Refused: it never ran.
    pub const BUSY: u8 = 42;
    pub const ERROR: u8 = 47;
    /// It never left.
    pub const MOOT: u8 = 102;
}

/// What a machine says of an outcome, beside the cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    NoCores,
    NoMemory,
    LineFull,
    NotHere,
    Evicted,
    PushedOut,
    SentAway,
}

/// The cause, where it is there and is one byte.
pub fn cause(frame: &Frame<'_>) -> Option<Cause> {
    match frame.param(code::CAUSE) {
        Some([cause]) => Some(*cause),
        _ => None,
    }
}

/// The name and figure of a note; a figure that is no number is none.
pub fn note<'a>(frame: &Frame<'a>) -> Option<(&'a str, Option<f64>)> {
    let figure = frame.text(code::FIGURE).and_then(|text| text.parse::<f64>().ok());
    Some((frame.text(code::NOTE)?, figure.filter(|figure| figure.is_finite())))
}

/// What a refusal or release says of its reason.
pub fn why(frame: &Frame<'_>) -> Option<Why> {
    Some(match frame.text(code::NOTE)? {
        "lack_cpu" => Why::NoCores,
        "lack_ram" => Why::NoMemory,
        "backlog" => Why::LineFull,
        "unfit" => Why::NotHere,
        "killed" => Why::Evicted,
        "displaced" => Why::PushedOut,
        "dismissed" => Why::SentAway,
        _ => return None,
    })
}

/// Writes a message: its length is put in once its parameters are there.
fn message(out: &mut Vec<u8>, kind: u8, task: u64, params: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend_from_slice(&[0, 0, kind]);
    out.extend_from_slice(&task.to_be_bytes());
    params(out);
    let length = u16::try_from(out.len() - start - 2).expect("a message is bounded by its parameters");
    out[start..start + 2].copy_from_slice(&length.to_be_bytes());
}

fn param(out: &mut Vec<u8>, code: u8, value: &[u8]) {
    out.push(code);
    out.extend_from_slice(&u16::try_from(value.len()).expect("a value is bounded").to_be_bytes());
    out.extend_from_slice(value);
}

/// Any message of these parameters.
pub fn write_message(out: &mut Vec<u8>, kind: u8, task: u64, params: &[(u8, &[u8])]) {
    message(out, kind, task, |out| params.iter().for_each(|(code, value)| param(out, *code, value)));
}

pub fn write_with_cause(out: &mut Vec<u8>, kind: u8, task: u64, cause: Cause) {
    write_message(out, kind, task, &[(code::CAUSE, &[cause])]);
}

pub fn write_refusal(out: &mut Vec<u8>, task: u64, cause: Cause, stay_away_ms: u64) {
    message(out, kind::RELEASE, task, |out| {
        if stay_away_ms > 0 {
            param(out, code::STAY_AWAY, stay_away_ms.to_string().as_bytes());
        }
        param(out, code::CAUSE, &[cause]);
    });
}

/// The description goes on as it came.
pub fn write_answer(out: &mut Vec<u8>, task: u64, description: &[u8]) {
    write_message(out, kind::ANSWER, task, &[(code::DESCRIPTION, description)]);
}

/// A set-up for a machine, of the parts that go on unchanged and how long it is waited for.
pub fn write_setup(
    out: &mut Vec<u8>,
    task: u64,
    class: &str,
    patience_ms: u64,
    key: Option<&str>,
    name: &str,
    description: &[u8],
) {
    message(out, kind::SET_UP, task, |out| {
        param(out, code::CLASS, class.as_bytes());
        param(out, code::PATIENCE, patience_ms.to_string().as_bytes());
        if let Some(key) = key {
            param(out, code::KEY, key.as_bytes());
        }
        param(out, code::NAME, name.as_bytes());
        param(out, code::DESCRIPTION, description);
    });
}
