//! The platform's messages, as its protocol page lays them out.

pub const START: u8 = 1;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;
pub const RELEASE_HEARD: u8 = 16;
pub const NOTE: u8 = 44;
pub const TEST: u8 = 52;
pub const TEST_RESULT: u8 = 53;

pub const CLASS: u8 = 100;
pub const TIMEOUT: u8 = 103;
pub const NAME: u8 = 112;
pub const FIGURES: u8 = 115;
pub const KEY: u8 = 139;
/// The name of a note, and its figure.
pub const NOTE_NAME: u8 = 121;
pub const NOTE_VALUE: u8 = 136;
pub const CAUSE: u8 = 142;
pub const DESCRIPTION: u8 = 145;

/// Before the answer, the set-up is given up; from a node after the answer, the task has come to its end.
pub const GIVEN_UP: u8 = 16;
/// From a node after the answer: ended by its owner.
pub const CANCELLED: u8 = 31;
/// From a node: error.
pub const ERROR: u8 = 47;
/// From a node: full, it never ran.
pub const FULL: u8 = 34;

#[derive(Clone, Debug)]
pub struct Message {
    pub kind: u8,
    pub task: u64,
    pub params: Vec<(u8, Vec<u8>)>,
}

impl Message {
    pub fn new(kind: u8, task: u64) -> Self {
        Self { kind, task, params: Vec::new() }
    }

    pub fn with(mut self, code: u8, value: &[u8]) -> Self {
        self.params.push((code, value.to_vec()));
        self
    }

    pub fn release(task: u64, cause: u8) -> Self {
        Self::new(RELEASE, task).with(CAUSE, &[cause])
    }

    pub fn param(&self, code: u8) -> Option<&[u8]> {
        self.params.iter().find(|(c, _)| *c == code).map(|(_, value)| value.as_slice())
    }

    pub fn cause(&self) -> Option<u8> {
        self.param(CAUSE).and_then(|value| value.first().copied())
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut body = vec![self.kind];
        body.extend_from_slice(&self.task.to_be_bytes());
        for (code, value) in &self.params {
            body.push(*code);
            body.extend_from_slice(&(value.len() as u16).to_be_bytes());
            body.extend_from_slice(value);
        }
        let mut bytes = (body.len() as u16).to_be_bytes().to_vec();
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Takes the first whole message out of the bytes. An error where they are no message.
    pub fn take(bytes: &mut Vec<u8>) -> Result<Option<Self>, String> {
        if bytes.len() < 2 {
            return Ok(None);
        }
        let length = usize::from(u16::from_be_bytes([bytes[0], bytes[1]]));
        if !(9..=16 * 1024).contains(&length) {
            return Err(format!("length {length}"));
        }
        if bytes.len() < 2 + length {
            return Ok(None);
        }
        let body: Vec<u8> = bytes.drain(..2 + length).skip(2).collect();
        let task = u64::from_be_bytes(body[1..9].try_into().expect("eight bytes"));
        let mut message = Self::new(body[0], task);
        let mut rest = &body[9..];
        while !rest.is_empty() {
            if rest.len() < 3 {
                return Err("a parameter is cut off".to_owned());
            }
            let size = usize::from(u16::from_be_bytes([rest[1], rest[2]]));
            let value = rest.get(3..3 + size).ok_or("a parameter is cut off")?;
            message.params.push((rest[0], value.to_vec()));
            rest = &rest[3 + size..];
        }
        Ok(Some(message))
    }

    pub fn describe(&self) -> String {
        let cause = self.cause().map_or(String::new(), |cause| format!(" cause {cause}"));
        let name = match self.kind {
            START => "set-up",
            6 => "progress",
            ANSWER => "answer",
            RELEASE => "release",
            RELEASE_HEARD => "release heard",
            NOTE => "note",
            51 => "move",
            TEST => "test",
            TEST_RESULT => "test result",
            _ => "message of another type",
        };
        format!("{name} {:016x}{cause}", self.task)
    }
}
